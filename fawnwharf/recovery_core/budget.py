"""Fleet-wide budgets during a recovery: store fetches, slow start calls and client calls. Pure.

No budget is divided evenly among the front ends. With a thousand front ends a share would be far below one
call, and front ends that spend their shares at random times can exceed the budget together. Instead, one
front end issues the permits for each scarce resource. All front ends that hear the same members choose the
same issuer. A few load coordinators order all first copies, and one slow start coordinator per cold scorer
issues the permits for calls to it. Times are milliseconds of the monotonic clock.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from fawnwharf import interface as io
from fawnwharf.replication.placement import rendezvous_weight

MAX_LOAD_REQUESTS = 20_000  # per load coordinator
MAX_PERMITS = 4_096  # per scorer and slow start window
RETRY_SPREAD_SHARE = 0.2  # of the minimum wait, over which retries are spread
SORT_INTERVAL_MS = 250.0  # between two sorts of the load requests by value
FETCH_SMOOTHING = 0.2  # weight of the latest fetch in the moving average
PERMIT_MS = 50.0  # lifetime of a permit
# Share of a cold scorer's capacity that is issued; the rest covers calls sent while its coordinator changes.
SAFETY_FACTOR = 0.9


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """Limits on what all front ends do together.

    `fetches` is the number of concurrent loads that the store sustains. `scorer_rps` is the usual number of
    calls per second to a warm scorer. The other limits come from the site's settings.
    """

    fetches: int
    scorer_rps: float
    cold_ms: float  # duration of a scorer's slow start
    cold_share: float  # share of its capacity that a scorer has when it starts
    fall_ms: float  # length of the slow start window
    fall_multiple: float  # calls that a scorer handles within a window, as a multiple of the usual number
    retry_most_ms: float  # the longest Retry-After that clients accept; 0: none

    def warmth(self, age_ms: float) -> float:
        """The minimum share of its capacity that a scorer of this age has."""
        progress = min(1.0, max(0.0, age_ms) / max(1.0, self.cold_ms))
        return min(1.0, self.cold_share + (1.0 - self.cold_share) * progress)

    def max_calls(self, age_ms: float) -> int:
        """Calls within `fall_ms` that all front ends together may send to a cold scorer of this age.

        The minimum is one, because the scorer would never receive a call otherwise.
        """
        usual = self.scorer_rps * self.fall_ms / 1000.0
        return max(1, int(SAFETY_FACTOR * self.fall_multiple * self.warmth(age_ms) * usual))

    def calls_rps(self, ages_ms: Iterable[float]) -> float:
        """Calls per second that scorers of these ages handle together at their usual rate."""
        return sum(self.warmth(age) for age in ages_ms) * self.scorer_rps


def fleet_limits(settings: io.Settings, fetches: int, scorer_rps: float) -> FleetLimits:
    """The limits from the site's settings, the store's concurrent fetches and a warm scorer's usual rate."""
    return FleetLimits(
        fetches=max(1, fetches),
        scorer_rps=scorer_rps,
        cold_ms=settings.slow_start_ms,
        cold_share=settings.slow_start_initial_share,
        fall_ms=settings.slow_start_window_ms,
        fall_multiple=settings.slow_start_multiple,
        retry_most_ms=settings.max_retry_after_ms,
    )


# --- permit issuers -------------------------------------------------------------------------
# The first argument of each hash must not change: front ends of different versions must agree on the issuers.


def choose_load_coordinators(members: Iterable[str], count: int, power_loss: int) -> tuple[str, ...]:
    """Choose `count` load coordinators among the members that are heard.

    Each load coordinator orders one fetch at a time, so `count` is the number of concurrent fetches of the
    store. The hash contains the number of the power loss, so each power loss gets other coordinators.
    """

    def rank(name: str) -> tuple[int, str]:
        return -rendezvous_weight("loader", str(power_loss), name), name

    return tuple(sorted(set(members), key=rank)[:count])


def load_coordinator_of(function: str, chosen: tuple[str, ...]) -> str:
    """The load coordinator of a function among the chosen ones; empty if there are none."""
    return max(chosen, key=lambda name: (rendezvous_weight("loads", name, function), name), default="")


def slow_start_coordinator_of(scorer: str, members: Iterable[str]) -> str:
    """The slow start coordinator of a scorer among the members that are heard; empty if there are none."""
    return max(members, key=lambda name: (rendezvous_weight("warden", name, scorer), name), default="")


def start_offset_ms(name: str, power_loss: int, spread_ms: float) -> float:
    """Delay before this front end starts its loads; the front ends' delays are spread over `spread_ms`."""
    return rendezvous_weight("start", str(power_loss), name) / 2**64 * spread_ms


@dataclass(slots=True)
class LoadCoordinator:
    """Owns the load requests of one load coordinator, sorted by value, and its loads in progress.

    The value of a request is the priority weight of the function's calls per second.
    """

    max_concurrent: int = 1  # loads in progress
    begins_ms: float = 0.0  # no load is ordered before this time
    fetch_ms: float = 500.0  # moving average of load durations; only `eta_ms` uses it
    requests: dict[str, float] = field(default_factory=dict)  # value by function
    in_progress: set[str] = field(default_factory=set)
    loaded: set[str] = field(default_factory=set)
    queue: list[str] = field(default_factory=list)  # highest value first, as of the last sort
    sorted_ms: float = float("-inf")  # time of the last sort
    dropped: int = 0  # requests beyond MAX_LOAD_REQUESTS

    def request(self, function: str, value_ps: float) -> None:
        """Request a function's first copy, for waiting calls or because of its usage before the power loss.

        `value_ps` is the priority weight of its calls per second. Of several requests for a function the
        largest value counts.
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
        """Start loads and return their functions, highest value first.

        Only functions whose value is at least `least` are returned. Each is loaded once, by the first scorer
        in its hash order.
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
        """Note the result of a load; a failed load is requested again with the lowest value."""
        self.in_progress.discard(function)
        if not loaded:
            self.request(function, 0.0)
            return
        self.fetch_ms += FETCH_SMOOTHING * (took_ms - self.fetch_ms)
        # A loaded function that is missing here is ordered again; the scorer then reports its copy at once.
        if len(self.loaded) < MAX_LOAD_REQUESTS:
            self.loaded.add(function)

    def remove(self, function: str) -> None:
        """Note that no copy of a function is loaded anymore."""
        self.loaded.discard(function)

    def eta_ms(self, function: str) -> float:
        """Estimated time until a copy is loaded, at the present pace of loads; used for Retry-After."""
        if function in self.loaded:
            return 0.0
        value = self.requests.get(function, 0.0)
        ahead = sum(other > value for other in self.requests.values()) if function in self.requests else 0
        return self.fetch_ms * (1.0 + ahead / self.max_concurrent)


@dataclass(slots=True)
class SlowStartCoordinator:
    """Issues permits for calls to cold scorers; each permit allows one front end to send one call."""

    limits: FleetLimits
    issued: dict[str, deque[float]] = field(default_factory=dict)  # issue times of recent permits, by scorer
    since: dict[str, float] = field(default_factory=dict)  # when it became the coordinator of a scorer

    def acquire(self, now_ms: float, scorer: str, age_ms: float) -> float:
        """Acquire a permit for one call; returns 0.0 if it is issued, otherwise the minimum wait in ms.

        The call must be sent within `PERMIT_MS`. A permit counts for the slow start window and `PERMIT_MS`
        more, because it may be used late. A new coordinator does not know which permits its predecessor
        issued, so it issues none for the same time.
        """
        counted_ms = self.limits.fall_ms + PERMIT_MS
        since_ms = self.since.setdefault(scorer, now_ms)
        if now_ms - since_ms < counted_ms:
            return max(1.0, counted_ms - (now_ms - since_ms))
        issued = self.issued.setdefault(scorer, deque())
        while issued and issued[0] <= now_ms - counted_ms:
            issued.popleft()
        if len(issued) >= min(MAX_PERMITS, self.limits.max_calls(age_ms)):
            return max(1.0, issued[0] + counted_ms - now_ms)
        issued.append(now_ms)
        return 0.0

    def has_no_predecessor(self, scorer: str) -> None:
        """Note that the scorer had no other coordinator: it came up after this front end heard all others."""
        self.since[scorer] = float("-inf")

    def forget(self, scorer: str) -> None:
        """Forget a scorer that is out of slow start."""
        self.issued.pop(scorer, None)
        self.since.pop(scorer, None)


@dataclass(slots=True)
class AdmissionRateLimiter:
    """A token bucket that assigns each rejected call its own time for a retry.

    No Retry-After ends before a token can be available. Waits that are longer than clients accept are spread
    over the later half of the longest wait that clients accept.
    """

    limits: FleetLimits
    rate_ps: float = 0.0  # admitted calls per second; 0: none
    burst_ms: float = 500.0  # the bucket holds the tokens of this time
    tokens: float = 0.0
    refilled_ms: float = 0.0  # time of the last refill
    last_slot_ms: float = 0.0  # start of the latest retry slot that was assigned

    def set_rate(self, now_ms: float, rate_ps: float) -> None:
        """Set the rate, in calls per second."""
        self._refill(now_ms)
        self.rate_ps = rate_ps

    @property
    def _max_tokens(self) -> float:
        return max(1.0, self.rate_ps * self.burst_ms / 1000.0)

    def _refill(self, now_ms: float) -> None:
        added = self.rate_ps * (now_ms - self.refilled_ms) / 1000.0
        self.tokens = min(self._max_tokens, self.tokens + added)
        self.refilled_ms = now_ms

    def try_admit(self, now_ms: float, reserved: float = 0.0) -> bool:
        """Take a token if one is available; returns whether the call is admitted.

        `reserved` is the share of the burst that is reserved for calls of higher priority.
        """
        self._refill(now_ms)
        if self.rate_ps <= 0 or self.tokens < 1.0 + reserved * (self._max_tokens - 1.0):
            return False
        self.tokens -= 1.0
        return True

    def retry_after_ms(self, now_ms: float, client: str, not_before_ms: float = 0.0) -> float:
        """The wait after which a rejected client may retry, at least `not_before_ms`.

        Each rejected call gets the next free slot and an offset within it from a hash of the client.
        """
        slot_ms = 1000.0 / self.rate_ps if self.rate_ps > 0 else 1_000.0
        offset = rendezvous_weight("turn", client) / 2**64
        self.last_slot_ms = max(self.last_slot_ms, now_ms) + slot_ms
        wait_ms = max(self.last_slot_ms - now_ms, not_before_ms) + offset * slot_ms
        if not_before_ms > 0:  # spreads clients that wait for the same copy or permit
            wait_ms += offset * RETRY_SPREAD_SHARE * not_before_ms
        max_ms = self.limits.retry_most_ms
        if wait_ms > max_ms:
            self.last_slot_ms = min(self.last_slot_ms, now_ms + max_ms)
            return max_ms * (0.5 + 0.5 * offset)
        return wait_ms


def priority_classes(weights: Mapping[str, float]) -> frozenset[str]:
    """The classes whose priority weight is in the upper half of the distinct weights.

    These are all classes only if all have the same weight.
    """
    distinct_weights = sorted(set(weights.values()), reverse=True)
    upper_half = distinct_weights[: max(1, len(distinct_weights) // 2)]
    return frozenset(name for name, weight in weights.items() if weight in upper_half)
