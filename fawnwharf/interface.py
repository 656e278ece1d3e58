"""Types, events and actions of the decision module; this module has no logic.

A front end passes events to ``Router.handle`` and carries out the returned actions in order. Times are in
milliseconds on the caller's clock, and durations are in milliseconds.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Effect(Enum):
    """How often a request of a class may be executed, and so when it may be sent again."""

    IDEMPOTENT = "idempotent"  # any number of times, at any scorer
    DEDUPLICATED = "deduplicated"  # has an idempotency key; scorers of a group drop duplicates for some time
    AT_MOST_ONCE = "at_most_once"  # must not be sent again once an attempt may have run


class DeduplicationGroup(Enum):
    """The scorers that share idempotency keys, and so drop duplicates of each other's requests."""

    ALL = "all"  # all scorers
    ZONE = "zone"  # the scorers of one zone
    CELL = "cell"  # the scorers of one cell


class ScorerState(IntEnum):
    """A scorer's state in the roster."""

    READY = 1  # accepts new calls and loads
    DRAINING = 2  # finishes its calls in flight and gets no new ones
    GONE = 3  # no longer listed


class AttemptResult(Enum):
    """How an attempt, a load order or a probe ended; the values are the names on the wire."""

    GOOD = "GOOD"  # answered without an error
    ERROR = "BAD"  # answered with an error; it may have run
    FULL = "FULL"  # rejected by the scorer, as it lacks capacity or drains; it did not run
    TIMEOUT = "LATE"  # no answer in time; it may have run
    CONNECT_FAILED = "NOCONN"  # no connection could be made; it did not run
    RESET = "RST"  # the connection ended before the answer; it may have run
    CANCELLED = "CXL"  # cancelled by the front end; it may have run
    NOT_SENT = "NOP"  # not written to a connection; it did not run
    MISS = "MISS"  # the scorer had no copy of the function; it did not run


# Results that prove that a call did not run.
NEVER_RAN = (
    AttemptResult.FULL,
    AttemptResult.CONNECT_FAILED,
    AttemptResult.NOT_SENT,
    AttemptResult.MISS,
)


class Warmth(IntEnum):
    """What an answer reports about the copy of the function that served its call."""

    NOT_REPORTED = 0  # the answer reports nothing
    FOUND = 1  # a copy was loaded already
    STARTED_LOAD = 2  # the call started the load of a copy
    WAITED_FOR_LOAD = 3  # the call waited for a load in progress
    LOAD_FAILED = 4  # the load failed


# --- settings, passed in once at the start --------------------------------------------------


@dataclass(slots=True)
class ClassSpec:
    """The rules for the calls of one class."""

    name: str
    latency_target_ms: float = 1000.0  # an answer should come within this time after the arrival
    deadline_ms: float = 2500.0  # usual time for which a client waits for an answer
    effect: Effect = Effect.AT_MOST_ONCE
    group: DeduplicationGroup = DeduplicationGroup.ALL  # only for `Effect.DEDUPLICATED`
    dedup_window_ms: float = 0.0  # scorers drop duplicates for this time after the first arrival
    priority_weight: float = 1.0  # value of an answer within the latency target, relative to other classes
    late_share: float = 0.0  # part of that value that a later answer still has


@dataclass(slots=True)
class Settings:
    """The settings of one front end's decisions."""

    classes: dict[str, ClassSpec] = field(default_factory=dict)  # by name
    quotas_rps: dict[str, float] = field(default_factory=dict)  # by tenant, for all front ends together
    fleet_size: int = 1  # number of front ends
    zone: str = ""  # zone of this front end
    tick_ms: float = 1.0  # period at which the caller delivers events
    weights_fixed: bool = False  # whether `ScorerEntry.units` is a scorer's size; else every size is one
    load_orders_allowed: bool = True  # load orders and probes may be sent
    cancellation_allowed: bool = True  # attempts in flight may be cancelled
    hedging: bool = True  # a request may have more than one attempt in flight
    max_attempts: int = 1  # per request
    max_retry_after_ms: float = 0.0  # Retry-After of a rejection; 0: clients ignore it, so none is given
    idle_lifetime_ms: float = 10000.0  # idle lifetime: an unused copy is unloaded after this time
    loads_on_miss: bool = False  # a call that finds no copy starts a load at its scorer
    load_window_ms: float = 0.0  # window of the load rate limit; 0: no limit
    free_loads: float = 0.0  # number of loads always allowed in a window
    loads_per_arrival: float = 0.0  # further loads allowed in a window, as a part of the arrivals in it
    slow_start_ms: float = 10000.0  # duration of the slow start, until a scorer has its full capacity
    slow_start_initial_share: float = 0.2  # part of the full capacity that a scorer has at its start
    slow_start_window_ms: float = 1000.0  # window of the limit on requests to a scorer in slow start
    slow_start_multiple: float = 2.0  # that limit, as a multiple of the scorer's capacity at the time
    # A confirmation that a scorer is in service is valid for this time; infinite: the roster never expires.
    roster_lease_ms: float = math.inf


# --- events ---------------------------------------------------------------------------------


@dataclass(slots=True)
class ScorerEntry:
    """One scorer of the roster."""

    scorer: int  # number of the scorer
    state: ScorerState = ScorerState.READY
    kind: str = ""  # hardware or software family
    zone: str = ""
    cell: int = 0  # part of a zone
    units: float = 1.0  # size relative to other scorers; see `Settings.weights_fixed`
    up_since_ms: float | None = None  # when it started; None: unknown, treated as long ago


@dataclass(slots=True)
class RosterChanged:
    """The roster, or a change of it, was received."""

    entries: list[ScorerEntry]
    complete: bool  # True: scorers that are not in `entries` are gone; False: only changed entries


@dataclass(slots=True)
class RosterConfirmed:
    """Every event that the change log had `age_ms` before now was received."""

    age_ms: float


@dataclass(slots=True)
class RequestArrived:
    """A client's request was received."""

    request: str  # unique among the open requests
    function: str
    class_name: str
    tenant: str
    budget_ms: float  # time until the client stops waiting
    lanes: int = 1  # calls of the function that one copy runs at once
    memory_mb: float | None = None  # memory of a copy; None: not given
    load_ms: float | None = None  # usual load time of a copy; None: not given
    hint_ms: float | None = None  # hint in the request, which no decision uses; None: not given
    site: str = ""  # zone where the request's session is placed; empty: this front end's zone


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
    took_ms: float  # time from the send to the end
    closed: bool  # whether the request got its final answer from this attempt
    warmth: Warmth = Warmth.NOT_REPORTED
    # Calls of the function in flight at the scorer when this one arrived; None: not reported.
    reported_concurrency: int | None = None
    report: dict[str, float] | None = None  # load report of the scorer; None: not reported


@dataclass(slots=True)
class LoadOrderAnswered:
    """A load order or a probe ended, with or without an answer."""

    scorer: int
    function: str
    result: AttemptResult
    copies: int  # copies loaded there now
    took_ms: float  # time from the send to the end


@dataclass(slots=True)
class TimerDue:
    """A timer that a `SetTimer` action set has expired."""

    token: int


ALL = "\0all"  # stands for all tenants together in quotas and limits; no tenant can have this name
UNLIMITED_RPS = 1e9


@dataclass(slots=True)
class LimitsChanged:
    """The rate at which this front end admits calls of a tenant, or of all tenants together, has changed.

    Calls beyond the rate for all tenants together are rejected at once.
    """

    calls_rps: float = UNLIMITED_RPS
    tenant: str = ALL


@dataclass(slots=True)
class ClassChanged:
    """The rules of a class have changed for the calls that arrive from now on.

    Open requests keep the rules under which they arrived, and the learned state is kept.
    """

    spec: ClassSpec


@dataclass(slots=True)
class RemoteLoadReport:
    """What other front ends reported about one scorer.

    It replaces the previous report and expires: `sent` is valid for `Settings.slow_start_window_ms`,
    `loading` for a usual load time, and `copies` for as long as if an answer had reported them at the same
    time. A restart of the scorer invalidates the whole report.
    """

    scorer: int
    sent: int | None = None  # calls sent by all others within the last slow start window; None: unknown
    copies: dict[str, int] = field(default_factory=dict)  # by function, as reported in answers to others
    loading: tuple[str, ...] = ()  # functions for which others have load orders in progress there
    age_ms: float = 0.0  # age of the oldest message that the report is based on


@dataclass(slots=True)
class PrefetchRequested:
    """Copies are wanted at a scorer before calls arrive.

    One more copy is ordered, or copies that are about to expire are refreshed. This happens only within the
    load rate limit and after the loads for queued requests.
    """

    scorer: int
    function: str
    class_name: str
    copies: int = 1  # total wanted there; nothing is ordered if as many are loaded
    lanes: int = 1  # calls that one copy runs at once
    load_ms: float | None = None  # usual load time of a copy; None: not given


@dataclass(slots=True)
class ShutdownStarted:
    """This front end shuts down.

    Every request, open or still to arrive, gets its final answer within `within_ms` from now, even if its
    client would wait longer.
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

    If the caller can't begin to write the request within `within_ms` from now, it must not send it, and the
    attempt ends as `AttemptResult.NOT_SENT`. The time is what is left of the scorer's roster lease. For the
    retry of a request with an idempotency key whose first attempt may have run, it is also at most what is
    left of the deduplication window, less a margin for the transit to the scorer.
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
    """Give a request the final answer that tells the client that a retry is safe."""

    request: str
    hold_off_ms: float = 0.0  # Retry-After; 0: none is given


@dataclass(slots=True)
class Fail:
    """Give a request the final answer that it may have run, so that a retry may not be safe."""

    request: str


@dataclass(slots=True)
class OrderCopies:
    """Order a scorer to have `copies` copies of a function loaded; with 0 it is a probe for their number.

    An order whose first byte can't be written within `within_ms` from now must not be sent. A probe may be
    sent at any time.
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
