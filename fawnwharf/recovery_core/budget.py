"""Budgets of the whole fleet while it returns: the store's fetches, slow start calls, clients' calls. Pure.

None of them is divided by the number of front ends: with a thousand of them a share is far below one call,
and what all take by chance comes at once. Instead each scarce resource has one front end that issues permits
for it, the same for all that hear the same members: a few load coordinators order all first copies, and one
slow start coordinator issues the calls of each cold scorer. Times are milliseconds of the monotonic clock.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from fawnwharf import interface as io
from fawnwharf.replication.placement import rendezvous_weight

MAX_LOAD_REQUESTS = 20_000  # of one load coordinator
MAX_PERMITS = 4_096  # calls issued within a window, of one scorer
SORT_INTERVAL_MS = 250.0  # of load requests by their value
FETCH_SMOOTHING = 0.2  # weight of the last fetch in the estimate
PERMIT_MS = 50.0  # a permit is used within this time, or not at all
SAFETY_FACTOR = 0.9  # of a cold scorer's capacity; the rest is for calls sent while its coordinator changed


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """What the fleet may do at once.

    `fetches` is how many concurrent loads the store handles well, `scorer_rps` what a warm scorer is usually
    sent; both are configured or measured. The rest are the site's settings.
    """

    fetches: int
    scorer_rps: float
    cold_ms: float
    cold_share: float
    fall_ms: float
    fall_multiple: float
    retry_most_ms: float  # the longest Retry-After that clients accept; 0: none

    def warmth(self, age_ms: float) -> float:
        """The share of its capacity that a scorer of that age has at the least."""
        part = min(1.0, max(0.0, age_ms) / max(1.0, self.cold_ms))
        return min(1.0, self.cold_share + (1.0 - self.cold_share) * part)

    def max_calls(self, age_ms: float) -> int:
        """Calls within `fall_ms` that a cold scorer of that age may get from all front ends together.

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


# --- who issues permits ---------------------------------------------------------------------
# The first words of each hash are part of the decision; they stay as they are.


def choose_load_coordinators(members: Iterable[str], count: int, power_loss: int) -> tuple[str, ...]:
    """The load coordinators among the members that are heard, with one fetch at a time each.

    There are as many as the store takes fetches; another power loss chooses others.
    """

    def rank(name: str) -> tuple[int, str]:
        return -rendezvous_weight("loader", str(power_loss), name), name

    return tuple(sorted(set(members), key=rank)[:count])


def load_coordinator_of(function: str, chosen: tuple[str, ...]) -> str:
    """The load coordinator of a function, of those that are chosen; empty for none."""
    return max(chosen, key=lambda name: (rendezvous_weight("loads", name, function), name), default="")


def slow_start_coordinator_of(scorer: str, members: Iterable[str]) -> str:
    """The slow start coordinator of a scorer, of the members that are heard; empty for none."""
    return max(members, key=lambda name: (rendezvous_weight("warden", name, scorer), name), default="")


def start_offset_ms(name: str, power_loss: int, spread_ms: float) -> float:
    """By how much this front end starts its loads later than the first, so that they are spread."""
    return rendezvous_weight("start", str(power_loss), name) / 2**64 * spread_ms


@dataclass(slots=True)
class LoadCoordinator:
    """Owns the load requests of one load coordinator, by their value, and its fetches in progress."""

    max_concurrent: int = 1
    begins_ms: float = 0.0
    fetch_ms: float = 500.0  # as measured lately; an estimate for `eta_ms` only
    requests: dict[str, float] = field(default_factory=dict)  # value a second, by function
    in_progress: set[str] = field(default_factory=set)
    loaded: set[str] = field(default_factory=set)
    queue: list[str] = field(default_factory=list)  # by falling value, as of the last sort
    sorted_ms: float = float("-inf")
    dropped: int = 0

    def request(self, function: str, value_ps: float) -> None:
        """Take a request for a function's first copy, by waiting calls or by usage before the power loss.

        `value_ps` is the priority weight of its calls a second; the larger request counts.
        """
        if function in self.loaded or function in self.in_progress:
            return
        if function not in self.requests:
            if len(self.requests) >= MAX_LOAD_REQUESTS:
                self.dropped += 1
                return
            self.queue.append(function)
        self.requests[function] = max(self.requests.get(function, 0.0), value_ps)

    def next_orders(self, now_ms: float, least: float = 0.0) -> list[str]:
        """The functions to order now, if their value is at least `least` a second.

        One copy each, at the first scorer in its hash order.
        """
        if now_ms < self.begins_ms:
            return []
        if now_ms - self.sorted_ms >= SORT_INTERVAL_MS:
            self.queue = sorted(self.requests, key=lambda function: (-self.requests[function], function))
            self.sorted_ms = now_ms
        orders = []
        while self.queue and len(self.in_progress) < self.max_concurrent:
            if self.requests[self.queue[0]] < least:
                break
            function = self.queue.pop(0)
            del self.requests[function]
            self.in_progress.add(function)
            orders.append(function)
        return orders

    def finish_order(self, function: str, loaded: bool, took_ms: float) -> None:
        """Take the result of an order; a function that failed is requested again, as the last one."""
        self.in_progress.discard(function)
        if not loaded:
            self.request(function, 0.0)
            return
        self.fetch_ms += FETCH_SMOOTHING * (took_ms - self.fetch_ms)
        if (
            len(self.loaded) < MAX_LOAD_REQUESTS
        ):  # one that is not noted is ordered again, and is there at once
            self.loaded.add(function)

    def remove(self, function: str) -> None:
        """Note that no copy of a function is loaded any more."""
        self.loaded.discard(function)

    def eta_ms(self, function: str) -> float:
        """In how long a copy may be loaded, if everything continues as before; for Retry-After."""
        if function in self.loaded:
            return 0.0
        value = self.requests.get(function, 0.0)
        before = sum(other > value for other in self.requests.values()) if function in self.requests else 0
        return self.fetch_ms * (1.0 + before / self.max_concurrent)


@dataclass(slots=True)
class SlowStartCoordinator:
    """Owns the calls of some cold scorers: each permit is issued to one front end."""

    limits: FleetLimits
    issued: dict[str, deque[float]] = field(default_factory=dict)  # times, by scorer
    since: dict[str, float] = field(default_factory=dict)  # when it began to coordinate a scorer

    def acquire(self, now_ms: float, scorer: str, age_ms: float) -> float:
        """Acquire a permit for a call.

        0 permits it within `PERMIT_MS`; else the least time until one may be free. Permits of one window
        count for `PERMIT_MS` longer, as they may be used late. A new coordinator does not know what the one
        before issued, and waits that long.
        """
        span_ms = self.limits.fall_ms + PERMIT_MS
        since_ms = self.since.setdefault(scorer, now_ms)
        if now_ms - since_ms < span_ms:
            return max(1.0, span_ms - (now_ms - since_ms))
        issued = self.issued.setdefault(scorer, deque())
        while issued and issued[0] <= now_ms - span_ms:
            issued.popleft()
        if len(issued) >= min(MAX_PERMITS, self.limits.max_calls(age_ms)):
            return max(1.0, issued[0] + span_ms - now_ms)
        issued.append(now_ms)
        return 0.0

    def has_no_predecessor(self, scorer: str) -> None:
        """Note that nobody coordinated a scorer before: it came up after this front end heard all others."""
        self.since[scorer] = float("-inf")

    def forget(self, scorer: str) -> None:
        """Forget a scorer that is out of slow start."""
        self.issued.pop(scorer, None)
        self.since.pop(scorer, None)


@dataclass(slots=True)
class AdmissionRateLimiter:
    """A token bucket; each call beyond the rate is assigned a time of its own at which to come back.

    Retry-After is honest: no client is sent a time before which nothing can be free. Times that are longer
    than clients accept are spread over the later half of what they accept.
    """

    limits: FleetLimits
    rate_ps: float = 0.0  # calls a second that are admitted; 0: none
    burst_ms: float = 500.0
    tokens: float = 0.0
    refilled_ms: float = 0.0
    last_slot_ms: float = 0.0  # the last time that was assigned

    def set_rate(self, now_ms: float, rate_ps: float) -> None:
        """Set the rate, in calls a second."""
        self._refill(now_ms)
        self.rate_ps = rate_ps

    @property
    def _max_tokens(self) -> float:
        return max(1.0, self.rate_ps * self.burst_ms / 1000.0)

    def _refill(self, now_ms: float) -> None:
        earned = self.rate_ps * (now_ms - self.refilled_ms) / 1000.0
        self.tokens = min(self._max_tokens, self.tokens + earned)
        self.refilled_ms = now_ms

    def try_admit(self, now_ms: float, reserved: float = 0.0) -> bool:
        """Whether a call is admitted now.

        `reserved` is the share of the burst that is kept for classes of a higher priority than its own.
        """
        self._refill(now_ms)
        if self.rate_ps <= 0 or self.tokens < 1.0 + reserved * (self._max_tokens - 1.0):
            return False
        self.tokens -= 1.0
        return True

    def retry_after_ms(self, now_ms: float, client: str, not_before_ms: float = 0.0) -> float:
        """In how long a client may come again; nothing can be free before `not_before_ms` from now.

        Each call beyond the rate gets the next slot, and a moment within it by a hash of its own.
        """
        slot_ms = 1000.0 / self.rate_ps if self.rate_ps > 0 else 1_000.0
        offset = rendezvous_weight("turn", client) / 2**64
        self.last_slot_ms = max(self.last_slot_ms, now_ms) + slot_ms
        wait_ms = max(self.last_slot_ms - now_ms, not_before_ms) + offset * slot_ms
        if not_before_ms > 0:  # many wait for the same: they are spread over a fifth of it as well
            wait_ms += offset * 0.2 * not_before_ms
        max_ms = self.limits.retry_most_ms
        if wait_ms > max_ms:
            self.last_slot_ms = min(self.last_slot_ms, now_ms + max_ms)
            return max_ms * (0.5 + 0.5 * offset)
        return wait_ms


def priority_classes(weights: Mapping[str, float]) -> frozenset[str]:
    """The classes of the highest priority: the upper half of the different weights.

    Never all classes, unless there is only one weight.
    """
    tiers = sorted(set(weights.values()), reverse=True)
    upper = tiers[: max(1, len(tiers) // 2)]
    return frozenset(name for name, weight in weights.items() if weight in upper)
