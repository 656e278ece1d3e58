"""Types, events and actions of the decision module. No logic lives here.

Times are milliseconds of the caller's clock, durations too. A front end feeds events to
``Router.handle`` and carries out the actions that come back, in order.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Effect(Enum):
    """What a second execution of a request of a class does."""

    IDEMPOTENT = "idempotent"  # it may run any number of times, on any scorer
    DEDUPLICATED = "deduplicated"  # it has an idempotency key: scorers of a group drop duplicates for a while
    AT_MOST_ONCE = "at_most_once"  # it must not be sent again once an attempt may have run


class DeduplicationGroup(Enum):
    """The scorers that share idempotency keys, so that they drop each other's duplicates of a request."""

    ALL = "all"  # all scorers
    ZONE = "zone"  # those of one zone
    CELL = "cell"  # those of one cell


class ScorerState(IntEnum):
    """A scorer's state in the roster."""

    READY = 1  # takes new calls and loads
    DRAINING = 2  # finishes the calls that it has; gets no new ones
    GONE = 3  # is no longer listed


class AttemptResult(Enum):
    """How an attempt, a load order or a probe ended; the values are the names on the wire."""

    GOOD = "GOOD"  # answered without an error
    ERROR = "BAD"  # answered with an error; it may have run
    FULL = "FULL"  # rejected by the scorer for lack of capacity; it did not run
    TIMEOUT = "LATE"  # no answer in time; it may have run
    CONNECT_FAILED = "NOCONN"  # no connection could be made; it did not run
    RESET = "RST"  # the connection ended before the answer; it may have run
    CANCELLED = "CXL"  # cancelled by the front end; it may have run
    NOT_SENT = "NOP"  # not written to a connection; it did not run
    MISS = "MISS"  # the scorer had no copy of the function; it did not run


# The results that prove that a call never began to run.
NEVER_RAN = (
    AttemptResult.FULL,
    AttemptResult.CONNECT_FAILED,
    AttemptResult.NOT_SENT,
    AttemptResult.MISS,
)


class Warmth(IntEnum):
    """What an answer reports of the copy that its call found."""

    UNTOLD = 0  # the answer reports nothing
    FOUND = 1  # a copy was loaded
    BEGAN_LOAD = 2  # the call began the load of a copy
    WAITED_FOR_LOAD = 3  # the call waited for a load that was in progress
    LOAD_FAILED = 4  # the load failed


# --- settings, handed in once at the start -------------------------------------------------


@dataclass(slots=True)
class ClassSpec:
    """The rules for the calls of one class."""

    name: str
    latency_target_ms: float = 1000.0  # an answer should come within this time of the arrival
    deadline_ms: float = 2500.0  # the client waits for an answer for so long
    effect: Effect = Effect.AT_MOST_ONCE
    group: DeduplicationGroup = DeduplicationGroup.ALL  # only for `Effect.DEDUPLICATED`
    dedup_window_ms: float = 0.0  # scorers drop duplicates for so long after the first arrival
    priority_weight: float = 1.0  # value of an answer in time, relative to other classes
    late_share: float = 0.0  # part of that value that an answer after the latency target has


@dataclass(slots=True)
class Settings:
    """The settings of one front end's decisions."""

    classes: dict[str, ClassSpec] = field(default_factory=dict)  # by name
    quotas_rps: dict[str, float] = field(default_factory=dict)  # by tenant, for all front ends together
    fleet_size: int = 1  # number of front ends
    zone: str = ""  # of this front end
    tick_ms: float = 1.0  # period at which the caller delivers events
    weights_fixed: bool = False  # `ScorerEntry.units` gives a scorer's size; else all count as one unit
    load_orders_allowed: bool = True  # load orders and probes may be sent
    cancellation_allowed: bool = True  # attempts in flight may be cancelled
    hedging: bool = True  # a request may have more than one attempt in flight
    max_attempts: int = 1  # of one request
    max_retry_after_ms: float = 0.0  # Retry-After of a rejection; 0: clients do not follow it
    idle_life_ms: float = 10000.0  # an unused copy is unloaded after so long
    loads_on_miss: bool = False  # a call that finds no copy begins a load by itself
    load_window_ms: float = 0.0  # window of the load rate limit; 0: no limit
    free_loads: float = 0.0  # loads that the limit always allows in a window
    load_part: float = 0.0  # further loads that it allows, as a part of the arrivals in the window
    slow_start_ms: float = 10000.0  # a scorer reaches its whole capacity so long after its start
    slow_start_initial_share: float = 0.2  # part of its capacity that it has at its start
    slow_start_window_ms: float = 1000.0  # window of the limit on requests to a scorer in slow start
    slow_start_multiple: float = 2.0  # that limit, as a multiple of the capacity at the time
    # What proves that a scorer is in service holds for so long; infinite: the roster is never out of date.
    roster_lease_ms: float = math.inf


# --- events ---------------------------------------------------------------------------------


@dataclass(slots=True)
class ScorerEntry:
    """One scorer of the roster."""

    scorer: int  # its number
    state: ScorerState = ScorerState.READY
    kind: str = ""  # hardware or software family
    zone: str = ""
    cell: int = 0  # part of a zone
    units: float = 1.0  # size relative to other scorers; see `Settings.weights_fixed`
    up_since_ms: float | None = None  # when it started; None: unknown, long ago


@dataclass(slots=True)
class RosterChanged:
    """The list of scorers, or a change of it, was received."""

    entries: list[ScorerEntry]
    complete: bool  # True: scorers that are missing here are gone; False: changed entries only


@dataclass(slots=True)
class RosterConfirmed:
    """The change log has no event that was not received, as of `age_ms` before this moment."""

    age_ms: float


@dataclass(slots=True)
class RequestArrived:
    """A client's request was received."""

    request: str  # unique among the open requests
    function: str
    class_name: str
    tenant: str
    budget_ms: float  # until the client stops waiting
    lanes: int = 1  # calls of the function that one copy runs at once
    memory_mb: float | None = None  # of a copy; None: not given
    load_ms: float | None = None  # usual load time of a copy; None: not given
    hint_ms: float | None = None  # hint that came with the request; None: not given. No decision uses it
    site: str = ""  # the zone where its session is placed; empty: this front end's own


@dataclass(slots=True)
class RequestCancelled:
    """A client left before its request was answered."""

    request: str


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended, with or without an answer."""

    request: str
    attempt: int  # from 0, in the order of the `Send` actions of the request
    scorer: int
    result: AttemptResult
    took_ms: float  # from the send to the end
    closed: bool  # the request has its final answer
    warmth: Warmth = Warmth.UNTOLD
    reported_concurrency: int | None = None  # calls of the function in flight at the scorer before this one;
    # None: not reported
    report: dict[str, float] | None = None  # load report of the scorer; None: not reported


@dataclass(slots=True)
class LoadOrderAnswered:
    """A load order or a probe ended, with or without an answer."""

    scorer: int
    function: str
    result: AttemptResult
    copies: int  # that are loaded there now
    took_ms: float  # from the send to the end


@dataclass(slots=True)
class TimerDue:
    """The time of a `SetTimer` action has come."""

    token: int


ALL = "\0all"  # no tenant's name: the quota of all tenants together, where a limit was handed in
UNLIMITED_RPS = 1e9


@dataclass(slots=True)
class LimitsChanged:
    """The rate of calls that this front end admits of a tenant, or of all tenants together, changed.

    Calls beyond the rate of all tenants together are rejected at once.
    """

    calls_rps: float = UNLIMITED_RPS
    tenant: str = ALL


@dataclass(slots=True)
class ClassChanged:
    """The rules of a class changed, for the calls that arrive from now on.

    Open requests keep the rules that they arrived under. Nothing that was learnt is lost.
    """

    spec: ClassSpec


@dataclass(slots=True)
class RemoteLoadReport:
    """What other front ends reported on one scorer.

    It replaces the report before it and expires: `sent` counts for `Settings.slow_start_window_ms`, `loading`
    for a usual load time, `copies` as if an answer had reported them at that time. Nothing of it counts after
    a restart of the scorer.
    """

    scorer: int
    sent: int | None = None  # calls of all others within the last slow start window; None: unknown
    copies: dict[str, int] = field(default_factory=dict)  # by function, as answers to others proved
    loading: tuple[str, ...] = ()  # functions for which others have load orders in progress there
    age_ms: float = 0.0  # of the oldest message that the report rests on


@dataclass(slots=True)
class PrefetchRequested:
    """Copies are wanted at a scorer before calls come.

    One more copy is ordered, or copies that are about to expire are refreshed, within the load rate limit and
    after the loads for waiting requests; else nothing happens.
    """

    scorer: int
    function: str
    class_name: str
    copies: int = 1  # wanted there in all; nothing is ordered where they are loaded
    lanes: int = 1  # calls that one copy runs at once
    load_ms: float | None = None  # usual load time of a copy; None: not given


@dataclass(slots=True)
class ShutdownStarted:
    """This front end shuts down.

    Each request, open or still to come, gets its final answer within `within_ms` of this moment, however long
    its client would wait.
    """

    within_ms: float


Event = (
    RosterChanged
    | RosterConfirmed
    | RequestArrived
    | RequestCancelled
    | AttemptEnded
    | LoadOrderAnswered
    | TimerDue
    | LimitsChanged
    | ClassChanged
    | RemoteLoadReport
    | PrefetchRequested
    | ShutdownStarted
)

# Takes the router and one event of the type that it is registered for.
EventHandler = Callable[..., None]


# --- actions --------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    """Send a request to a scorer, as its next attempt.

    If the caller can't begin to write it within `within_ms` of this moment, it must not send it: the attempt
    then ends as `AttemptResult.NOT_SENT`. The time is the least of what is left of the scorer's lease
    (`Settings.roster_lease_ms`) and, for the retry of a request with an idempotency key whose first attempt
    may have run, of its deduplication window, less a margin for the way to the scorer.
    """

    request: str
    scorer: int
    within_ms: float = field(default=math.inf, repr=False)


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt in flight."""

    request: str
    attempt: int  # from 0, in the order of the `Send` actions of the request


@dataclass(slots=True)
class Reject:
    """Give a request the final answer that promises the client that a retry is harmless."""

    request: str
    hold_off_ms: float = 0.0  # Retry-After; 0: none


@dataclass(slots=True)
class Fail:
    """Give a request the final answer that promises nothing: it may have run."""

    request: str


@dataclass(slots=True)
class OrderCopies:
    """Order a scorer to have `copies` copies of a function loaded; 0 is a probe for their number.

    An order whose first byte can't be written within `within_ms` must not be sent; a probe always may.
    """

    scorer: int
    function: str
    copies: int
    within_ms: float = field(default=math.inf, repr=False)


@dataclass(slots=True)
class SetTimer:
    """Deliver `TimerDue` with this token after `delay_ms`."""

    delay_ms: float
    token: int


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Send | Cancel | Reject | Fail | OrderCopies | SetTimer | Log
