"""Budgets of the whole fleet while it returns: the store's fetches, slow start calls, clients' calls. Pure.

None of them is divided by the number of front ends: with a thousand of them a part is far below one call, and
what all take by chance comes at once. Instead each scarce resource has one front end that hands it out, the
same for all that hear the same: a few load coordinators (*loaders*) order all first copies, and one slow
start coordinator (*warden*) hands out the calls of each cold scorer. Times are milliseconds of the own
monotonic clock.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from fawnwharf import interface as io
from fawnwharf.replication.placement import rendezvous_weight

MAX_LOAD_REQUESTS = 20_000  # wanted of one loader
MAX_PERMITS = 4_096  # calls given out within a window, of one scorer
PERMIT_MS = 50.0  # a ticket is used within so long, or not at all
SAFETY_FACTOR = 0.9  # of a cold scorer's room; the rest is for what was sent as its warden changed


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """What the fleet may do at once.

    `fetches` is how many concurrent loads the store takes well, `scorer_rps` what a warm scorer is sent
    usually; both are operators' or measured. The rest are the site's settings.
    """

    fetches: int
    scorer_rps: float
    cold_ms: float
    cold_share: float
    fall_ms: float
    fall_multiple: float
    retry_most_ms: float  # clients take no longer advice; 0: they take none

    def warmth(self, age_ms: float) -> float:
        """The part of its capacity that a scorer of that age has at the least."""
        part = min(1.0, max(0.0, age_ms) / max(1.0, self.cold_ms))
        return min(1.0, self.cold_share + (1.0 - self.cold_share) * part)

    def room(self, age_ms: float) -> int:
        """Calls within `fall_ms` that a cold scorer of that age may get from all together.

        At least one, as it would never be used otherwise.
        """
        usual = self.scorer_rps * self.fall_ms / 1000.0
        return max(1, int(SAFETY_FACTOR * self.fall_multiple * self.warmth(age_ms) * usual))

    def calls_rps(self, ages_ms: Iterable[float]) -> float:
        """What scorers of these ages take together per second, at their usual pace."""
        return sum(self.warmth(age) for age in ages_ms) * self.scorer_rps


def fleet_limits(settings: io.Settings, fetches: int, scorer_rps: float) -> FleetLimits:
    """The limits by the site's settings and these two numbers."""
    return FleetLimits(
        fetches=max(1, fetches),
        scorer_rps=scorer_rps,
        cold_ms=settings.slow_start_ms,
        cold_share=settings.slow_start_initial_share,
        fall_ms=settings.slow_start_window_ms,
        fall_multiple=settings.slow_start_multiple,
        retry_most_ms=settings.max_retry_after_ms,
    )


# --- who gives out what ---------------------------------------------------------------------


def choose_load_coordinators(heard: Iterable[str], most: int, cut: int) -> tuple[str, ...]:
    """The load coordinators, one fetch at a time each: as many as the store takes fetches.

    Another power loss chooses others.
    """
    return tuple(
        sorted(set(heard), key=lambda name: (-rendezvous_weight("loader", str(cut), name), name))[:most]
    )


def load_coordinator_of(function: str, chosen: tuple[str, ...]) -> str:
    """The load coordinator of a function, of those that are chosen; empty for none."""
    return max(chosen, key=lambda name: (rendezvous_weight("loads", name, function), name), default="")


def slow_start_coordinator_of(scorer: str, heard: Iterable[str]) -> str:
    """The slow start coordinator of a scorer, of those that are heard; empty for none."""
    return max(heard, key=lambda name: (rendezvous_weight("warden", name, scorer), name), default="")


def start_offset_ms(me: str, cut: int, spread_ms: float) -> float:
    """By how much this front end starts its loads later than the first, so that they do not start in step."""
    return rendezvous_weight("start", str(cut), me) / 2**64 * spread_ms


@dataclass(slots=True)
class LoadCoordinator:
    """Owns the load requests of one load coordinator, by their worth, and its fetches in progress."""

    at_a_time: int = 1
    begins_ms: float = 0.0
    fetch_ms: float = 500.0  # as measured lately; an estimate for `eta_ms` alone
    wants: dict[str, float] = field(default_factory=dict)  # worth a second, as far as it is told
    under_way: set[str] = field(default_factory=set)
    stands: set[str] = field(default_factory=set)
    queue: list[str] = field(default_factory=list)  # by falling worth, as of the last sort
    sorted_ms: float = float("-inf")
    dropped: int = 0

    def want(self, function: str, worth_ps: float) -> None:
        """Take that a front end's calls want a function, or that they will by its use before the power loss.

        The larger request holds.
        """
        if function in self.stands or function in self.under_way:
            return
        if function not in self.wants and len(self.wants) >= MAX_LOAD_REQUESTS:
            self.dropped += 1
            return
        if function not in self.wants:
            self.queue.append(function)
        self.wants[function] = max(self.wants.get(function, 0.0), worth_ps)

    def orders(self, now_ms: float, least: float = 0.0) -> list[str]:
        """What to order now, if worth `least` a second.

        One copy each, at the first scorer in its hash order.
        """
        if now_ms < self.begins_ms:
            return []
        if now_ms - self.sorted_ms >= 250.0:
            self.queue = sorted(self.wants, key=lambda f: (-self.wants[f], f))
            self.sorted_ms = now_ms
        found = []
        while self.queue and len(self.under_way) < self.at_a_time and self.wants[self.queue[0]] >= least:
            function = self.queue.pop(0)
            del self.wants[function]
            self.under_way.add(function)
            found.append(function)
        return found

    def ended(self, function: str, good: bool, took_ms: float) -> None:
        """Take the answer to an order; one that failed is requested again, as the last."""
        self.under_way.discard(function)
        if good:
            self.fetch_ms += 0.2 * (took_ms - self.fetch_ms)
            if (
                len(self.stands) < MAX_LOAD_REQUESTS
            ):  # one that is not noted is ordered again, and stands at once
                self.stands.add(function)
        else:
            self.want(function, 0.0)

    def gone(self, function: str) -> None:
        """Take that no copy of a function stands any more."""
        self.stands.discard(function)

    def eta_ms(self, function: str) -> float:
        """When a copy may stand, from now, if all goes on as before; for honest advice."""
        if function in self.stands:
            return 0.0
        worth = self.wants.get(function, 0.0)
        before = sum(w > worth for w in self.wants.values()) if function in self.wants else 0
        return self.fetch_ms * (1.0 + before / self.at_a_time)


@dataclass(slots=True)
class SlowStartCoordinator:
    """Owns the calls of some cold scorers: each is handed out to one front end at a time."""

    limits: FleetLimits
    given: dict[str, deque[float]] = field(default_factory=dict)
    since: dict[str, float] = field(default_factory=dict)  # warden of it from then on

    def ask(self, now_ms: float, scorer: str, age_ms: float) -> float:
        """Ask for a call: 0 allows it within `TICKET_MS`, else in how long one may be free, at the least.

        Permits of one window count for `TICKET_MS` longer, as they may be used late. A new coordinator does
        not know what the one before handed out, and waits that long.
        """
        span_ms = self.limits.fall_ms + PERMIT_MS
        since = self.since.setdefault(scorer, now_ms)
        if now_ms - since < span_ms:
            return max(1.0, span_ms - (now_ms - since))
        given = self.given.setdefault(scorer, deque())
        while given and given[0] <= now_ms - span_ms:
            given.popleft()
        if len(given) >= min(MAX_PERMITS, self.limits.room(age_ms)):
            return max(1.0, given[0] + span_ms - now_ms)
        given.append(now_ms)
        return 0.0

    def known_from(self, scorer: str) -> None:
        """Take that nobody coordinated a scorer before: it came up after this front end heard all others."""
        self.since[scorer] = float("-inf")

    def warm(self, scorer: str) -> None:
        """Forget a scorer that is out of slow start."""
        self.given.pop(scorer, None)
        self.since.pop(scorer, None)


@dataclass(slots=True)
class AdmissionRateLimiter:
    """Early refusal: calls beyond the rate are told when their turn is, each a turn of its own.

    Advice is honest: nobody is told a time before which nothing can be free. What is longer than clients
    accept is spread over the later half of what they accept.
    """

    limits: FleetLimits
    rate_ps: float = 0.0  # calls a second that are let in; 0: none
    burst_ms: float = 500.0
    tokens: float = 0.0
    at_ms: float = 0.0
    turn_ms: float = 0.0  # the last turn that was given away

    def pace(self, now_ms: float, rate_ps: float) -> None:
        """Set the rate, in calls a second."""
        self._fill(now_ms)
        self.rate_ps = rate_ps

    def _fill(self, now_ms: float) -> None:
        most = max(1.0, self.rate_ps * self.burst_ms / 1000.0)
        self.tokens = min(most, self.tokens + self.rate_ps * (now_ms - self.at_ms) / 1000.0)
        self.at_ms = now_ms

    def let_in(self, now_ms: float, kept_back: float = 0.0) -> bool:
        """Whether a call may go in.

        `kept_back` is the part of the burst that is not for its class, as others are worth more.
        """
        self._fill(now_ms)
        most = max(1.0, self.rate_ps * self.burst_ms / 1000.0)
        if self.rate_ps <= 0 or self.tokens < 1.0 + kept_back * (most - 1.0):
            return False
        self.tokens -= 1.0
        return True

    def pushback_ms(self, now_ms: float, client: str, not_before_ms: float = 0.0) -> float:
        """After how long to come again; before `not_before_ms` from now nothing can be free.

        Each call beyond the rate takes the next turn, and a moment within it by a hash of its own.
        """
        slot_ms = 1000.0 / self.rate_ps if self.rate_ps > 0 else 1_000.0
        part = rendezvous_weight("turn", client) / 2**64
        self.turn_ms = max(self.turn_ms, now_ms) + slot_ms
        wait_ms = max(self.turn_ms - now_ms, not_before_ms) + part * slot_ms
        if not_before_ms > 0:  # many wait for the same: spread over a fifth of it as well
            wait_ms += part * 0.2 * not_before_ms
        most_ms = self.limits.retry_most_ms
        if wait_ms > most_ms:
            self.turn_ms = min(self.turn_ms, now_ms + most_ms)
            return most_ms * (0.5 + 0.5 * part)
        return wait_ms


def priority_classes(worths: Mapping[str, float]) -> frozenset[str]:
    """The classes worth most: the upper half of the different worths, never all unless there is but one."""
    tiers = sorted(set(worths.values()), reverse=True)
    upper = tiers[: max(1, len(tiers) // 2)]
    return frozenset(name for name, worth in worths.items() if worth in upper)
