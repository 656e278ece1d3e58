"""The state of one front end's decisions: samples, scorers, copies of functions, requests and attempts.

All times are in milliseconds on the caller's clock.
"""

import hashlib
import math
from collections import deque
from dataclasses import dataclass, field

from fawnwharf import interface as io

TYPE_CHECKING = False  # type checkers treat it as True; `typing` is not imported for it

SAMPLE_WINDOW_MS = 10_000.0  # age limit of the samples of a median
MAX_SAMPLES = 64  # samples per median; more would hardly change it
SWEEP_MS = 40.0  # period of the sweep timer
ANSWER_LEAD_MS = 20.0  # a final answer is given this long before the client stops waiting
REFRESH_MS = 1_000.0  # period at which sums over all scorers are recomputed
COPY_STALE_MS = 1_000.0  # a copy that was not seen for this long may be gone
# Window of the arrival rate, and minimum time between two probes of a scorer that has no copy.
ARRIVAL_WINDOW_MS = 5_000.0
SILENCE_LIMIT_MS = 300.0  # a scorer that gives no answer for this long is probed
MAX_PROBED_SCORERS = 4  # scorers that are probed for copies of a function without a known copy
PROBE_WAIT_MS = 12.0  # a load waits at most this long for the answers to probes
DECAY_MS = 30_000.0  # time constant with which arrival counts and slowdowns decay
BURST_ARRIVALS = 3  # the last arrivals, from which the rate during a burst is computed
# Requests of classes with a deadline up to this one get their own timer: the sweep is too coarse for them.
OWN_TIMER_DEADLINE_MS = 5 * (SWEEP_MS + ANSWER_LEAD_MS)
MAX_SIZE_SAMPLES = 1_000  # stored sizes of the ready fleet; each roster change adds one
# Length of the first ejection. After it one call tries the scorer, and each such trial doubles the length.
FIRST_EJECTION_MS = 2_000.0
MAX_EJECTION_MS = 8_000.0  # length of the longest ejection
HEDGE_TOKENS_PER_REQUEST = 0.1  # each request adds this many tokens; a hedged request costs one
MAX_HEDGE_TOKENS = 3.0  # tokens that can be saved up
LATE_RUNS = 2.0  # a request is late when less time than this many run times is left
MAX_FUNCTIONS = 2_000  # functions whose state is kept
FORGET_MS = 60_000.0  # state of functions not called, and of scorers gone, is dropped after this time
QUERY_PAUSE_MS = 1_000.0  # between two queries for a scorer's state; doubles with each rejected query
MAX_LATE_PART = 0.5  # a request with more than this part of its latency target left is not late


def mix_bits(bits: int) -> int:
    """Mix 64 bits with the finalizer of splitmix64."""
    bits = (bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9 % 2**64
    bits = (bits ^ (bits >> 27)) * 0x94D049BB133111EB % 2**64
    return bits ^ (bits >> 31)


def name_hash(name: str) -> int:
    """A 64-bit hash of a name that is the same in every process."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


class Samples:
    """Timed values of the last `SAMPLE_WINDOW_MS`; their median is cached for `SWEEP_MS`."""

    def __init__(self) -> None:
        self.timed_values = deque[tuple[float, float]](maxlen=MAX_SAMPLES)
        self.computed_ms = -math.inf
        self.cached_median: float | None = None

    def median(self, now_ms: float) -> float | None:
        """The median; None if there are no values."""
        if now_ms - self.computed_ms >= SWEEP_MS:
            while self.timed_values and self.timed_values[0][0] < now_ms - SAMPLE_WINDOW_MS:
                self.timed_values.popleft()
            values = sorted(value for _, value in self.timed_values)
            self.cached_median = values[len(values) // 2] if values else None
            self.computed_ms = now_ms
        return self.cached_median


@dataclass(slots=True, eq=False)
class Scorer:
    """What this front end knows about a scorer."""

    id: int
    entry: io.ScorerEntry
    hash_bits: int  # 64-bit hash of its number, for the hash orders
    in_flight: int = 0  # attempts of this front end
    started_ms: float = -math.inf  # from the roster, or assumed when a suspect came back without copies
    awaiting_since_ms: float | None = None  # start of the wait for an answer; None: none is expected
    slowdown: float = 1.0  # ratio of its run times to the functions' usual run times; decays to 1
    slowdown_ms: float = -math.inf  # when `slowdown` was last updated
    probe_sent_ms: float | None = None  # when the probe that is still unanswered was sent
    suspect_since_ms: float | None = None  # when it became suspect; None: it is not
    # on the requests of this front end in flight there, as of the last refresh
    in_flight_limit: float = math.inf
    slow_start_sends: deque[float] = field(default_factory=deque)  # times of sends that its slow start counts
    recent_sends: deque[float] = field(default_factory=deque)  # times of sends in the last slow start window
    last_function: "Function | None" = None  # the function last used there
    gone_ms: float | None = None  # when it was first seen to be gone from the roster
    loss_records: dict[str, "LossRecord"] = field(default_factory=dict)  # by class
    remote_load: io.RemoteLoadReport = field(default_factory=lambda: io.RemoteLoadReport(0))  # the last one
    remote_load_ms: float = -math.inf  # time of the oldest message that `remote_load` is based on
    # Send times, for the lease on its state (see roster_lease.py).
    confirmed_ms: float = -math.inf  # of the last message with a good answer: it was in service then
    rejected_ms: float = -math.inf  # of the last rejected message; only a later confirmation counts
    query_rejected_ms: float = -math.inf  # of the last rejected query; only a later good answer counts
    restart_suspected_ms: float | None = None  # when a restart that no event reported became possible
    query_sent_ms: float = -math.inf  # of the last query for its state
    next_query_ms: float = -math.inf  # earliest time of the next query
    query_pause_ms: float = QUERY_PAUSE_MS  # pause after a query

    def takes_new(self) -> bool:
        """Whether it accepts new calls and loads; a draining scorer may only be probed."""
        return self.entry.state == io.ScorerState.READY


@dataclass(slots=True, eq=False)
class LossRecord:
    """Calls of one class that a scorer lost or answered with errors while it answers other calls."""

    losses: float = 0.0  # decays with each good answer
    ejected_until_ms: float = -math.inf
    ejection_ms: float = FIRST_EJECTION_MS  # length of the next ejection


@dataclass(slots=True, eq=False)
class ScorerCopies:
    """A function's copies at one scorer, and the load orders and probes for them."""

    copies: int = 0  # as last reported or assumed; see `RouterState._copies`
    seen_ms: float = -math.inf  # when a copy was last used, or their number reported or assumed
    counted_ms: float = -math.inf  # when an answer last reported their number
    in_flight: int = 0  # attempts of this front end
    open_probes: int = 0  # unanswered probes
    probe_sent_ms: float = -math.inf  # when the last probe was sent
    order_ms: float | None = None  # when the load order in progress was sent; None: there is none
    order_count: int = 0  # number of copies that this order asks for
    speculative: bool = False  # whether this order was sent while a warm copy existed
    blocked_until_ms: float = -math.inf  # no calls or loads of the function there before this time
    idle_since_ms: float | None = None  # when a speculative copy was loaded that no call has used yet
    lanes_without_it: int = 0  # lanes of the copies loaded before that speculative copy


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at a scorer."""

    request: str
    scorer: int
    function: "Function"
    sent_ms: float
    is_uncrowded: bool  # at most one other attempt of this front end was in flight at the scorer
    warm_candidates: int  # number of scorers with copies that it was chosen from
    zone: str  # of the scorer at the time of the send: the roster may move or drop the scorer later
    cell: int  # likewise
    open: bool = True  # it has not ended
    lost: bool = False  # it is considered lost, as its answer is long overdue
    may_have_run: bool = True


@dataclass(slots=True, eq=False)
class Request:
    """A client's request without a final answer."""

    id: str
    function: "Function"
    spec: io.ClassSpec
    arrived_ms: float
    deadline_ms: float
    over_quota: bool  # beyond the tenant's quota, or a client's retry: it has low priority
    queued_ms: float  # when it last entered the queue
    random_bits: int  # 64 bits that select the first scorer to try, where a function has several
    target_ms: float  # time by which an answer meets the latency target
    answer_due_ms: float  # time at which the front end answers by itself if no scorer has
    attempts: list[Attempt] = field(default_factory=list)

    def first_possible_run(self) -> Attempt | None:
        """The first attempt that may have run; None if there is none."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


@dataclass(slots=True, eq=False)
class Function:
    """A function, its queue, and what is known of its copies, run times and load times."""

    name: str
    class_name: str  # name of the class of its calls
    lanes: int  # calls that one copy runs at once
    reported_load_time_ms: float | None  # load time given in its first request or prefetch
    hash_bits: int  # 64-bit hash of its name
    queue: list[Request] = field(default_factory=list)
    copies_by_scorer: dict[int, ScorerCopies] = field(default_factory=dict)
    hash_order: list[Scorer] = field(default_factory=list)  # scorers in hash order
    hash_order_sizes: dict[int, float] | None = None  # the `RouterState.scorer_sizes` of that order
    known_scorers: list[Scorer] | None = None  # cached: the scorers with an entry in `copies_by_scorer`
    run_times: Samples = field(default_factory=Samples)  # run times; Te of the CIDRE paper
    load_times: Samples = field(default_factory=Samples)  # load times; Tp of the paper
    queue_waits: Samples = field(default_factory=Samples)  # waits in the queue; Td of the paper
    speculative_idle_ms: float = 0.0  # how long the last speculative copy was idle before its first call; Ti
    speculates: bool = True  # speculative loads are on
    last_probe_ms: float = -math.inf  # when a probe for it was last sent to any scorer
    decaying_arrivals: float = 0.0  # count of arrivals at this front end; it decays with `DECAY_MS`
    # last arrival times
    last_arrivals_ms: deque[float] = field(default_factory=lambda: deque(maxlen=BURST_ARRIVALS))
    spread: int = 1  # number of scorers, from the start of the hash order, that all front ends' calls need
    reported_concurrency: float = 0.0  # smoothed calls of all front ends in flight, as answers report
    session_zone: str = ""  # zone that its latest request named; empty: this front end's zone
    last_needed_ms: float = -math.inf  # when it was last called or prefetched

    def is_busy(self) -> bool:
        """Whether a request is queued, or an attempt, a load order or a probe is in progress."""
        all_copies = self.copies_by_scorer.values()
        return bool(self.queue) or any(
            scorer_copies.in_flight or scorer_copies.open_probes or scorer_copies.order_ms is not None
            for scorer_copies in all_copies
        )


class RouterState:
    """The state that all parts of the router share, and the queries that they share.

    The parts are mixin classes of `Router`. Each defines its own methods and calls those of others on `self`.
    """

    if TYPE_CHECKING:
        # Methods that are called from other mixins; they are documented where they are defined.
        # Router
        def _dispatch(self, fn: Function) -> None: ...
        def _dispatch_all(self, scorer: Scorer | None = None) -> None: ...
        def _send_queued(self, fn: Function) -> None: ...

        # Admission
        def _is_late(self, request: Request) -> bool: ...
        def _may_run_at(self, request: Request, scorer: Scorer) -> bool: ...
        def _may_send_again(self, request: Request) -> bool: ...
        def _may_send_here(self, request: Request, scorer: Scorer, part: float) -> bool: ...
        def _requeue(self, request: Request) -> None: ...

        # Health
        def _cost(self, scorer: Scorer, fn: Function) -> float: ...
        def _expect_answer(self, scorer: Scorer) -> None: ...
        def _is_usable(self, scorer: Scorer, fn: Function) -> bool: ...
        def _slowdown_of(self, scorer: Scorer) -> float: ...

        # Loads
        def _awaits_probe(self, fn: Function) -> bool: ...
        def _probe(self, fn: Function, scorer: Scorer, copies: int = 0) -> None: ...
        def _refresh_copies(self) -> None: ...

        # RosterLease
        def _confirm_in_service(self, scorer: Scorer, sent_ms: float) -> bool: ...
        def _count_unsent(self, request: Request) -> None: ...
        def _has_lease(self, scorer: Scorer) -> bool: ...
        def _lease_left_ms(self, scorer: Scorer) -> float: ...
        def _may_be_in_service(self, scorer: Scorer) -> bool: ...
        def _note_possible_restart(self, scorer: Scorer) -> None: ...
        def _query_state(self, fn: Function, scorer: Scorer) -> bool: ...

        # Routing and SlowStart
        def _begin_slow_start(self, scorer: Scorer, started_ms: float, since_ms: float) -> None: ...
        def _can_take(self, scorer: Scorer, fn: Function) -> bool: ...
        def _in_flight_bound(self, scorer: Scorer, fn: Function) -> float: ...
        def _is_warm(self, fn: Function) -> bool: ...
        def _known_scorers(self, fn: Function) -> list[Scorer]: ...
        def _record_ready_size(self) -> None: ...
        def _ordered(self, fn: Function) -> list[Scorer]: ...
        def _rotated_order(self, fn: Function, request: Request) -> list[Scorer]: ...
        def _size(self, scorer: Scorer) -> float: ...
        def _within_slow_start_limit(self, scorer: Scorer) -> bool: ...

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.settings = settings
        self.seed = seed
        self.draw_seed = seed  # seed of the random draws per scorer, which must not change over time
        self.now = 0.0  # time of the events being handled, in milliseconds
        self.first_event_ms = math.inf  # time of the first event
        self.actions = list[io.Action]()
        # The roster and what is derived from it.
        self.scorers = dict[int, Scorer]()  # by number
        self.ready = list[Scorer]()  # those that accept new work
        self.watched = dict[int, Scorer]()  # those from which an answer is expected, and suspects
        self.suspect_count = 0  # number of ready scorers that are suspect
        # The time up to which every event of the change log is known to have been received.
        self.roster_confirmed_ms = 0.0 if math.isinf(settings.roster_lease_ms) else -math.inf
        self.scorer_sizes = dict[int, float]()  # full sizes of the ready scorers, by number
        self.ready_size = 1.0  # size of all ready scorers; those in slow start count in part
        self.ready_size_history = deque[tuple[float, float]](maxlen=MAX_SIZE_SAMPLES)  # time and size
        self.largest_ready_size = 0.01  # the largest sum of `scorer_sizes` so far
        self.largest_listed_size = 0.01  # likewise, with the draining scorers
        # Requests.
        self.classes = settings.classes
        self.functions = dict[str, Function]()  # by name
        self.waiting = set[Function]()  # those that may have queued requests
        self.requests = dict[str, Request]()  # open ones, by id
        self.attempts = dict[tuple[str, int], Attempt]()  # in flight, by request id and attempt number
        self.recent_attempts = set[Attempt]()  # in flight for no longer than the latency target
        self.arrivals_ms = deque[float]()  # arrival times within `arrival_window_ms`
        self.load_orders_ms = deque[float]()  # times of load orders within the window of the load rate limit
        self.quota_tokens = dict[str, tuple[float, float]]()  # by tenant: tokens, time of the last refill
        self.hedge_tokens = MAX_HEDGE_TOKENS
        # Limits that are computed from the settings and the roster.
        self.front_ends = max(1, settings.fleet_size)
        # Front ends outnumber the calls that a scorer may have in flight: this one's share is below one call.
        self.many_front_ends = False
        self.total_quota_per_ms = sum(settings.quotas_rps.values()) / 1000  # of all tenants and front ends
        self.safe_mean_cache = dict[int, float]()  # results of `slow_start.safe_mean`, by its first argument
        self.attempt_limit = math.inf  # on this front end's recent attempts in flight
        self.mean_concurrency_limit = 0.0  # on all front ends' calls in flight at a scorer, on average
        self.max_slowdown = math.inf  # scorers with a larger slowdown are tried last
        self.silence_limit_ms = SILENCE_LIMIT_MS
        self.latency_target_ms = min(
            (spec.latency_target_ms for spec in settings.classes.values()), default=1000.0
        )
        self.run_times = Samples()  # run times of all functions
        self.run_ms = self.latency_target_ms / 5  # smoothed run time at scorers that are not crowded
        # window in which arrivals are counted
        self.arrival_window_ms = settings.load_window_ms or ARRIVAL_WINDOW_MS
        self.shutdown_deadline_ms = math.inf  # of a graceful shutdown: every request is answered by then
        # The sweep timer and the periodic work.
        self.sweep_timer_set = False
        self.refreshed_ms = -math.inf
        self.last_cleanup_ms = -math.inf

    def _run_time_ms(self, fn: Function) -> float:
        """The median run time of a function; of all functions if it has no samples. Te of the paper."""
        return fn.run_times.median(self.now) or self.run_times.median(self.now) or 200.0

    def _load_time_ms(self, fn: Function) -> float:
        """The median load time of a function; the one its requests give if it has no samples. Tp."""
        return fn.load_times.median(self.now) or fn.reported_load_time_ms or 1000.0

    def _copies(self, fn: Function, scorer: Scorer) -> int:
        """A function's copies at a scorer; 0 after a restart or at the end of their idle lifetime."""
        scorer_copies = fn.copies_by_scorer.get(scorer.id)
        if scorer_copies is None:
            return 0
        expired = (
            scorer_copies.in_flight == 0 and self.now - scorer_copies.seen_ms > self.settings.idle_lifetime_ms
        )
        return 0 if expired or scorer_copies.seen_ms <= scorer.started_ms else scorer_copies.copies

    def _copies_at(self, fn: Function, scorer: Scorer) -> ScorerCopies:
        """The entry of a function for a scorer; it is created if there is none."""
        scorer.last_function = fn
        if scorer.id not in fn.copies_by_scorer:
            fn.copies_by_scorer[scorer.id] = ScorerCopies()
            fn.known_scorers = None
        return fn.copies_by_scorer[scorer.id]

    def _is_in_other_zone(self, scorer: Scorer, fn: Function) -> bool:
        """Whether the scorer is outside the zone that is near for the function; such calls cost more."""
        return scorer.entry.zone != (fn.session_zone or self.settings.zone)

    def _has_remote_load(self, scorer: Scorer, span_ms: float) -> bool:
        """Whether other front ends reported on a scorer within `span_ms` and since its start."""
        return scorer.remote_load_ms > max(scorer.started_ms, self.now - span_ms)

    def _function(self, event: io.RequestArrived | io.PrefetchRequested) -> Function:
        """The function that an event names; a new one is created from the event's fields."""
        fn = self.functions.get(event.function)
        if fn is None:
            if len(self.functions) >= MAX_FUNCTIONS:
                self._drop_unused_state()
            name = event.function
            fn = Function(name, event.class_name, max(1, event.lanes), event.load_ms, name_hash(name))
            self.functions[name] = fn
        return fn

    def _apply_remote_load(self, fn: Function, scorers: list[Scorer]) -> None:
        """Record the copies that other front ends reported, as if an answer had reported them then."""
        for scorer in scorers:
            report = scorer.remote_load
            if fn.name not in report.copies and fn.name not in report.loading:
                continue
            scorer_copies = self._copies_at(fn, scorer)
            copies = report.copies.get(fn.name, 0)
            if copies > 0 and scorer.remote_load_ms > scorer_copies.seen_ms:
                scorer_copies.copies = max(copies, self._copies(fn, scorer))
                scorer_copies.seen_ms = scorer.remote_load_ms

    def _drop_unused_state(self) -> None:
        """Drop the state of functions and scorers that were not used for `FORGET_MS`, to bound the memory.

        If there are too many functions, the ones not called for longest are dropped as well.
        """
        self.last_cleanup_ms = self.now
        past_ms = self.now - FORGET_MS
        last_functions = {scorer.last_function for scorer in self.scorers.values()}
        surplus = MAX_FUNCTIONS // 2 if len(self.functions) >= MAX_FUNCTIONS else 0
        oldest_first = sorted(self.functions.values(), key=lambda fn: fn.last_needed_ms)
        for number, fn in enumerate(oldest_first):
            is_old = number < surplus or fn.last_needed_ms < past_ms
            if is_old and not fn.is_busy() and fn not in last_functions:
                del self.functions[fn.name]
        for scorer in list(self.scorers.values()):
            if scorer.entry.state is io.ScorerState.GONE:
                scorer.gone_ms = scorer.gone_ms or self.now
                if scorer.gone_ms < past_ms and not scorer.in_flight:
                    self._drop_scorer(scorer.id)

    def _drop_scorer(self, number: int) -> None:
        """Drop the state of a scorer that is gone, and of the copies there."""
        self.scorers.pop(number, None)
        self.watched.pop(number, None)
        for fn in self.functions.values():
            fn.copies_by_scorer.pop(number, None)
