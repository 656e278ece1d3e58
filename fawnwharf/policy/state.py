"""What a front end knows: samples, scorers, the copies there, requests and their attempts.

Times are milliseconds of the caller's clock.
"""

import hashlib
import math
from collections import deque
from dataclasses import dataclass, field

from fawnwharf import interface as io

TYPE_CHECKING = False  # type checkers take it for true; the decisions import no module for it

SAMPLE_WINDOW_MS = 10_000.0  # window of the medians
MAX_SAMPLES = 64  # samples of a median; more would not move it
SWEEP_MS = 40.0  # period of the timer
ANSWER_LEAD_MS = 20.0  # a final answer is given so long before its client leaves
REFRESH_MS = 1_000.0  # period of the sums over the fleet
COPY_STALE_MS = 1_000.0  # a copy that was not seen for so long may be gone
ARRIVAL_WINDOW_MS = (
    5_000.0  # window of the arrival rate, and pause between two probes of a place without a copy
)
SILENCE_LIMIT_MS = 300.0  # a scorer that owes an answer for so long is probed
MAX_PROBED_SCORERS = 4  # scorers that are probed for the copies of an unknown function
PROBE_WAIT_MS = 12.0  # a load waits so long for the answers to probes
DECAY_MS = 30_000.0  # time constant of a function's arrivals and of slowdowns
BURST_ARRIVALS = 3  # so many arrivals at once count as a rate by themselves
OWN_TIMER_DEADLINE_MS = 5 * (
    SWEEP_MS + ANSWER_LEAD_MS
)  # requests of classes with no longer deadline have timers of their own
MAX_SIZE_SAMPLES = 1_000  # sizes of the ready fleet that are stored: each change of the roster brings one
FIRST_EJECTION_MS = (
    2_000.0  # the first ejection; a call then tries the scorer, and each trial doubles the time
)
MAX_EJECTION_MS = 8_000.0  # the longest ejection
HEDGE_TOKENS_PER_REQUEST = 0.1  # hedged requests that each request allows
MAX_HEDGE_TOKENS = 3.0  # hedged requests that may be saved up
LATE_RUNS = 2.0  # a request with less time than so many runs left is late
MAX_FUNCTIONS = 2_000  # functions that are remembered
FORGET_MS = 60_000.0  # functions not called, and scorers gone, for so long are forgotten
QUERY_PAUSE_MS = 1_000.0  # between two queries for a scorer's state; it doubles with each rejected one
MAX_LATE_PART = 0.5  # a request with more than this part of its latency target left is never late


def mix_bits(bits: int) -> int:
    """64 bits, well mixed: the end of splitmix64."""
    bits = (bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9 % 2**64
    bits = (bits ^ (bits >> 27)) * 0x94D049BB133111EB % 2**64
    return bits ^ (bits >> 31)


def mark(name: str) -> int:
    """A stable hash of a name, in 64 bits."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


class Samples:
    """Timed values of the last `WINDOW_MS`; their median is computed once in `SWEEP_MS` at the most."""

    def __init__(self) -> None:
        self.timed = deque[tuple[float, float]](maxlen=MAX_SAMPLES)
        self.at_ms = -math.inf
        self.value: float | None = None

    def median(self, now_ms: float) -> float | None:
        """The median; None without values."""
        if now_ms - self.at_ms >= SWEEP_MS:
            while self.timed and self.timed[0][0] < now_ms - SAMPLE_WINDOW_MS:
                self.timed.popleft()
            values = sorted(value for _, value in self.timed)
            self.value = values[len(values) // 2] if values else None
            self.at_ms = now_ms
        return self.value


@dataclass(slots=True, eq=False)
class Scorer:
    """A scorer as this front end knows it."""

    id: int
    entry: io.ScorerEntry
    hash_bits: int  # its number as 64 well-mixed bits, for the hash orders
    in_flight: int = 0  # own attempts
    started_ms: float = -math.inf  # by the roster, or guessed when a silent scorer came back without copies
    awaiting_since_ms: float | None = None  # since when an answer is expected and nothing came
    slowdown: float = 1.0  # its run times, as a multiple of the functions' run times elsewhere
    slowdown_ms: float = -math.inf  # when that was last seen; it decays
    probed_ms: float | None = None  # when the probe was sent that has no answer yet
    suspect_ms: float | None = None  # since when it is held failed
    limit: float = math.inf  # own requests that it can work on well, as of the last refresh
    slow_start_sends: deque[float] = field(default_factory=deque)  # sends that count for its slow start
    recent_sends: deque[float] = field(default_factory=deque)  # sends of the last slow start window
    last_function: "Function | None" = None  # the function last seen there
    gone_ms: float | None = None  # since when it is gone from the roster
    loss_records: dict[str, "LossRecord"] = field(default_factory=dict)  # by class
    remote_load: io.RemoteLoadReport = field(default_factory=lambda: io.RemoteLoadReport(0))  # the last
    remote_load_ms: float = -math.inf  # of the oldest message that the report rests on
    confirmed_ms: float = -math.inf  # what it took and answered well was sent then: it was in service
    rejected_ms: float = -math.inf  # it rejected what was sent then: only a later proof counts
    query_rejected_ms: float = -math.inf  # it rejected a query that was sent then: only a later answer counts
    restart_suspected_ms: float | None = None  # since when its process may be another one, unreported
    query_sent_ms: float = -math.inf  # when the last query for its state was sent
    next_query_ms: float = -math.inf  # no such query before then
    query_pause_ms: float = QUERY_PAUSE_MS  # after the next one

    def takes_new(self) -> bool:
        """Whether it takes new calls and loads; a draining scorer is only probed."""
        return self.entry.state == io.ScorerState.READY


@dataclass(slots=True, eq=False)
class LossRecord:
    """Answers of a class that a scorer lost or turned to errors, though it answers other calls."""

    losses: float = 0.0
    ejected_until_ms: float = -math.inf
    ejection_ms: float = FIRST_EJECTION_MS  # length of the next ejection


@dataclass(slots=True, eq=False)
class ScorerCopies:
    """A function's copies at one scorer, and the load orders and probes for them."""

    copies: int = 0
    seen_ms: float = -math.inf  # when something last showed that one is loaded
    counted_ms: float = -math.inf  # when an answer last gave their number
    in_flight: int = 0  # own attempts
    open_probes: int = 0  # probes without an answer
    probed_ms: float = -math.inf  # when the last probe was sent
    order_ms: float | None = None  # when the load order in progress was sent
    order_count: int = 0  # copies that it names
    speculative: bool = False  # that order was sent while a warm copy existed
    blocked_ms: float = -math.inf  # takes nothing until then
    idle_since_ms: float | None = None  # since when a speculative copy is loaded and was not needed
    lanes_without_it: int = 0  # lanes that were there before that copy


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at a scorer."""

    request: str
    scorer: int
    function: "Function"
    sent_ms: float
    is_uncrowded: bool  # the scorer had next to no other call of this front end when it left
    warm_candidates: int  # warm scorers that it was drawn from
    zone: str  # of the scorer when it left: the roster may move the scorer, or forget it
    cell: int
    open: bool = True
    lost: bool = False
    may_have_run: bool = True


@dataclass(slots=True, eq=False)
class Request:
    """A client's request that has no final answer yet."""

    id: str
    function: "Function"
    spec: io.ClassSpec
    arrived_ms: float
    deadline_ms: float
    over_quota: bool  # beyond the tenant's quota, or a client's later try
    queued_ms: float  # since when it waits in the queue
    random_bits: int  # where among the first scorers of a widely spread function it starts
    target_ms: float  # an answer by then is within the latency target
    answer_due_ms: float  # without an answer by then it is given one here, so that it comes in time
    attempts: list[Attempt] = field(default_factory=list)

    def first_run(self) -> Attempt | None:
        """The first attempt that may have run."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


@dataclass(slots=True, eq=False)
class Function:
    """A function, its queue, and what is known of its copies, run times and load times."""

    name: str
    kind: str  # class of its calls
    lanes: int  # calls that a copy runs at once
    load_told_ms: float | None  # load time as requests give it
    hash_bits: int
    queue: list[Request] = field(default_factory=list)
    copies_by_scorer: dict[int, ScorerCopies] = field(default_factory=dict)
    hash_order: list[Scorer] = field(default_factory=list)  # scorers in hash order
    hash_order_sizes: dict[int, float] | None = None  # the sizes that the order was made of
    known: list[Scorer] | None = None  # those with an entry in `copies_by_scorer`, in hash order
    runs: Samples = field(default_factory=Samples)  # run times: Te of the paper
    loads: Samples = field(default_factory=Samples)  # load times: Tp
    waits: Samples = field(default_factory=Samples)  # waits in the queue: Td
    idle_ms: float = 0.0  # Ti: how long the last speculative copy stood unused before its first call
    load_path: bool = True  # speculative loads are on
    probed_ms: float = -math.inf  # when a probe for it was last sent anywhere
    arrived: float = 0.0  # own arrivals, decaying
    last_ms: deque[float] = field(default_factory=lambda: deque(maxlen=BURST_ARRIVALS))  # last arrivals
    spread: int = 1  # first scorers in order that the whole fleet's calls need
    reported_concurrency: float = 0.0  # calls of all front ends in flight, as answers report
    site: str = ""  # the zone that is near for its calls, where requests name one
    needed_ms: float = -math.inf  # when it was last called or prefetched

    def is_busy(self) -> bool:
        """Whether a request waits, or an attempt, a load order or a probe is in progress."""
        places = self.copies_by_scorer.values()
        return bool(self.queue) or any(
            scorer_copies.in_flight or scorer_copies.open_probes or scorer_copies.order_ms is not None
            for scorer_copies in places
        )


class RouterState:
    """The state that all parts of the router share, and what is read from it.

    The parts are mixins of one object: each owns its methods and calls those of the others on `self`.
    """

    if TYPE_CHECKING:
        # What the parts call of each other; see the part for the meaning.
        # Router
        def _dispatch(self, fn: Function) -> None: ...
        def _dispatch_all(self, there: Scorer | None = None) -> None: ...
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
        self.chance = seed  # bits of this front end's own, for draws that stay as they are
        self.now = 0.0
        self.began_ms = math.inf
        self.actions = list[io.Action]()
        # The roster and what follows from it.
        self.scorers = dict[int, Scorer]()
        self.ready = list[Scorer]()
        self.watched = dict[int, Scorer]()  # those that owe an answer, or are suspect
        self.suspects = 0
        # As of when the change log had no further event.
        self.roster_proved_ms = 0.0 if math.isinf(settings.roster_lease_ms) else -math.inf
        self.members = dict[int, float]()  # sizes of the ready scorers
        self.ready_size = 1.0  # size of the ready fleet; scorers in slow start count in part
        self.ready_size_history = deque[tuple[float, float]](
            maxlen=MAX_SIZE_SAMPLES
        )  # timed sizes of the ready fleet
        self.largest_fleet = 0.01  # the largest ready fleet seen
        self.largest_listed_size = 0.01  # the largest fleet seen, with its draining scorers
        # Calls.
        self.classes = settings.classes
        self.functions = dict[str, Function]()
        self.waiting = set[Function]()  # those with a queue
        self.requests = dict[str, Request]()
        self.attempts = dict[tuple[str, int], Attempt]()
        self.recent_attempts = set[Attempt]()  # in flight for no longer than the latency target
        self.arrivals_ms = deque[float]()  # within `stretch_ms`
        self.load_orders_ms = deque[float]()  # within the window of the load rate limit
        self.quota_tokens = dict[str, tuple[float, float]]()  # by tenant: tokens, as of when
        self.hedge_tokens = MAX_HEDGE_TOKENS
        # Limits that are worked out from the settings and the roster.
        self.front_ends = max(1, settings.fleet_size)
        self.has_many_front_ends = False  # this front end's part of a scorer is less than one call
        self.total_quota_per_ms = (
            sum(settings.quotas_rps.values()) / 1000
        )  # quotas of all front ends, a millisecond
        self.safe_mean_cache = dict[int, float]()  # results of `slow_start.safe_mean`, by its first argument
        self.limit = math.inf  # own attempts in flight
        self.mean_concurrency_limit = 0.0  # calls of all front ends in flight at a scorer
        self.max_slowdown = math.inf
        self.silence_limit_ms = SILENCE_LIMIT_MS
        self.latency_target_ms = min(
            (spec.latency_target_ms for spec in settings.classes.values()), default=1000.0
        )
        self.runs = Samples()
        self.run_ms = self.latency_target_ms / 5
        self.stretch_ms = settings.load_window_ms or ARRIVAL_WINDOW_MS  # over which arrivals are counted
        self.shutdown_deadline_ms = math.inf  # graceful shutdown: no request may stay open for longer
        # The timer.
        self.sweeping = False
        self.refreshed_ms = -math.inf
        self.forgot_ms = -math.inf

    def _run_time_ms(self, fn: Function) -> float:
        """The median run time of a function, of all functions while it has none: Te."""
        return fn.runs.median(self.now) or self.runs.median(self.now) or 200.0

    def _load_time_ms(self, fn: Function) -> float:
        """The median load time of a function, as its requests give it while none was seen: Tp."""
        return fn.loads.median(self.now) or fn.load_told_ms or 1000.0

    def _copies(self, fn: Function, scorer: Scorer) -> int:
        """A function's copies at a scorer; none after a restart or once their idle lifetime has passed."""
        held = fn.copies_by_scorer.get(scorer.id)
        if held is None:
            return 0
        expired = held.in_flight == 0 and self.now - held.seen_ms > self.settings.idle_life_ms
        return 0 if expired or held.seen_ms <= scorer.started_ms else held.copies

    def _copies_at(self, fn: Function, scorer: Scorer) -> ScorerCopies:
        """The entry of a function at a scorer, made if there is none."""
        scorer.last_function = fn
        if scorer.id not in fn.copies_by_scorer:
            fn.copies_by_scorer[scorer.id] = ScorerCopies()
            fn.known = None
        return fn.copies_by_scorer[scorer.id]

    def _is_far(self, scorer: Scorer, fn: Function) -> bool:
        """Whether a call there crosses zones, which has a price."""
        return scorer.entry.zone != (fn.site or self.settings.zone)

    def _has_remote_load(self, scorer: Scorer, span_ms: float) -> bool:
        """Whether others reported on a scorer within `span_ms`, and since it started."""
        return scorer.remote_load_ms > max(scorer.started_ms, self.now - span_ms)

    def _function(self, event: io.RequestArrived | io.PrefetchRequested) -> Function:
        """The function that an event names, with what the event gives of it if it was not known."""
        fn = self.functions.get(event.function)
        if fn is None:
            if len(self.functions) >= MAX_FUNCTIONS:
                self._forget()
            name = event.function
            fn = Function(name, event.class_name, max(1, event.lanes), event.load_ms, mark(name))
            self.functions[name] = fn
        return fn

    def _apply_remote_load(self, fn: Function, scorers: list[Scorer]) -> None:
        """Take the copies that others reported at these scorers, as if by an answer of that time."""
        for scorer in scorers:
            report = scorer.remote_load
            if fn.name not in report.copies and fn.name not in report.loading:
                continue
            scorer_copies = self._copies_at(fn, scorer)
            copies = report.copies.get(fn.name, 0)
            if copies > 0 and scorer.remote_load_ms > scorer_copies.seen_ms:
                scorer_copies.copies = max(copies, self._copies(fn, scorer))
                scorer_copies.seen_ms = scorer.remote_load_ms

    def _forget(self) -> None:
        """Forget what is long past, and of too many functions those that were not called for longest.

        This bounds the memory.
        """
        self.forgot_ms = self.now
        past_ms = self.now - FORGET_MS
        last_there = {scorer.last_function for scorer in self.scorers.values()}
        surplus = MAX_FUNCTIONS // 2 if len(self.functions) >= MAX_FUNCTIONS else 0
        oldest_first = sorted(self.functions.values(), key=lambda fn: fn.needed_ms)
        for number, fn in enumerate(oldest_first):
            is_old = number < surplus or fn.needed_ms < past_ms
            if is_old and not fn.is_busy() and fn not in last_there:
                del self.functions[fn.name]
        for scorer in list(self.scorers.values()):
            if scorer.entry.state is io.ScorerState.GONE:
                scorer.gone_ms = scorer.gone_ms or self.now
                if scorer.gone_ms < past_ms and not scorer.in_flight:
                    self._forget_scorer(scorer.id)

    def _forget_scorer(self, number: int) -> None:
        """Forget a scorer that is gone, and what was known of copies there."""
        self.scorers.pop(number, None)
        self.watched.pop(number, None)
        for fn in self.functions.values():
            fn.copies_by_scorer.pop(number, None)
