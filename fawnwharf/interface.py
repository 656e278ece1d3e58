"""Types, events and actions of the decision module. No logic lives here.

Times are milliseconds of the caller's clock, durations too. A front end feeds events to
``Router.handle`` and carries out the actions that come back, in order.
"""

import math
from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Effect(Enum):
    """What a repeat of a request of a class does."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    AT_MOST_ONCE = "at_most_once"


class DeduplicationGroup(Enum):
    """The workers that drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ScorerState(IntEnum):
    """A worker's state in the roster."""

    READY = 1
    DRAINING = 2
    GONE = 3


class AttemptResult(Enum):
    """How an attempt, an order or a probe ended."""

    GOOD = "GOOD"
    ERROR = "BAD"
    FULL = "FULL"
    TIMEOUT = "LATE"
    CONNECT_FAILED = "NOCONN"
    RESET = "RST"
    CANCELLED = "CXL"
    NOT_SENT = "NOP"
    MISS = "MISS"


# The results that prove that a call never began to run.
NEVER_RAN = (
    AttemptResult.FULL,
    AttemptResult.CONNECT_FAILED,
    AttemptResult.NOT_SENT,
    AttemptResult.MISS,
)


class Warmth(IntEnum):
    """What an answer tells of the copy that it found; UNTOLD where it tells nothing."""

    UNTOLD = 0
    FOUND = 1
    BEGAN_LOAD = 2
    WAITED_FOR_LOAD = 3
    LOAD_FAILED = 4


# --- settings, handed in once at the start -------------------------------------------------


@dataclass(slots=True)
class ClassSpec:
    name: str
    latency_target_ms: float = 1000.0
    deadline_ms: float = 2500.0
    effect: Effect = Effect.AT_MOST_ONCE
    group: DeduplicationGroup = DeduplicationGroup.ALL
    dedup_window_ms: float = 0.0
    priority_weight: float = 1.0
    late_share: float = 0.0


@dataclass(slots=True)
class Settings:
    classes: dict[str, ClassSpec] = field(default_factory=dict)
    quotas_rps: dict[str, float] = field(default_factory=dict)  # tenant to its share, all front ends together
    fleet_size: int = 1  # front ends
    zone: str = ""
    tick_ms: float = 1.0
    weights_fixed: bool = False  # a worker's units tell its size, and stay as they are
    load_orders_allowed: bool = True
    cancellation_allowed: bool = True
    hedging: bool = True
    max_attempts: int = 1
    max_retry_after_ms: float = 0.0  # 0: clients take no advice
    idle_life_ms: float = 10000.0
    loads_on_miss: bool = False  # a call that finds no copy begins a load by itself
    load_window_ms: float = 0.0  # 0: loads are not rationed
    free_loads: float = 0.0
    load_part: float = 0.0
    slow_start_ms: float = 10000.0
    slow_start_initial_share: float = 0.2
    slow_start_window_ms: float = 1000.0
    slow_start_multiple: float = 2.0


# --- events ---------------------------------------------------------------------------------


@dataclass(slots=True)
class ScorerEntry:
    scorer: int
    state: ScorerState = ScorerState.READY
    kind: str = ""
    zone: str = ""
    cell: int = 0
    units: float = 1.0
    up_since_ms: float | None = None  # None: long past


@dataclass(slots=True)
class RosterChanged:
    entries: list[ScorerEntry]
    complete: bool  # False: changed entries only


@dataclass(slots=True)
class RequestArrived:
    request: str
    function: str
    class_name: str
    tenant: str
    budget_ms: float  # until the client gives up
    lanes: int = 1
    memory_mb: float | None = None
    load_ms: float | None = None
    hint_ms: float | None = None
    site: str = ""  # the zone where its session is at home; empty: this front end's own


@dataclass(slots=True)
class RequestCancelled:
    request: str


@dataclass(slots=True)
class AttemptEnded:
    request: str
    attempt: int
    scorer: int
    result: AttemptResult
    took_ms: float
    closed: bool  # the request has its final answer
    warmth: Warmth = Warmth.UNTOLD
    reported_concurrency: int | None = None  # requests for the function that the worker held before this one
    report: dict[str, float] | None = None


@dataclass(slots=True)
class LoadOrderAnswered:
    scorer: int
    function: str
    result: AttemptResult
    copies: int
    took_ms: float


@dataclass(slots=True)
class TimerDue:
    token: int


ALL = "\0all"  # no tenant's name: the share of all together, where a limit was handed in
UNLIMITED_RPS = 1e9


@dataclass(slots=True)
class LimitsChanged:
    """What may be taken here of a tenant's calls, or of all tenants' together, in calls a second; what goes
    beyond it is refused at once."""

    calls_rps: float = UNLIMITED_RPS
    tenant: str = ALL


@dataclass(slots=True)
class ClassChanged:
    """Calls of this class that arrive from now on are judged by this; those that are here stay as they
    are. Nothing that was learnt is lost."""

    spec: ClassSpec


@dataclass(slots=True)
class RemoteLoadReport:
    """What other front ends told of one worker. It takes the place of what was told of it before, and
    fades: `sent` counts for `fall_ms`, `loading` for a load's usual time, `copies` as if an answer had
    told of them at that time. None of it counts across a start of the worker."""

    scorer: int
    sent: int | None = None  # calls that all others sent there within the last `fall_ms`; None: unknown
    copies: dict[str, int] = field(default_factory=dict)  # that answers proved to others, by function
    loading: tuple[str, ...] = ()  # functions of which others have an order to load there under way
    age_ms: float = 0.0  # of the oldest word that it rests on


@dataclass(slots=True)
class PrefetchRequested:
    """Copies are wanted at a worker before calls come. One more is ordered, or what is about to lapse is
    renewed, within the ration and once held calls have theirs; else nothing happens."""

    scorer: int
    function: str
    class_name: str
    copies: int = 1  # that are to stand there in all; nothing is ordered where they do
    lanes: int = 1
    load_ms: float | None = None


@dataclass(slots=True)
class ShutdownStarted:
    """This front end is about to be ended: each request, open or still to come, is to have its final answer
    within `within_ms` of this moment, however long its client would wait."""

    within_ms: float


Event = (
    RosterChanged
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


# --- actions --------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    """Send a request to a worker. Where it can't begin to be written within `within_ms` of this moment, it
    must not be sent any more: it ends as one that was not sent. Finite only for the repeat of a keyed request
    whose first attempt may have run: what is left of its window, less a margin for the way there."""

    request: str
    scorer: int
    within_ms: float = field(default=math.inf, repr=False)


@dataclass(slots=True)
class Cancel:
    request: str
    attempt: int


@dataclass(slots=True)
class Reject:
    """The final answer that promises the client that trying again is harmless."""

    request: str
    hold_off_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """The final answer that promises nothing."""

    request: str


@dataclass(slots=True)
class OrderCopies:
    """Order a worker to hold `copies` copies of a function; 0 only asks how many stand."""

    scorer: int
    function: str
    copies: int


@dataclass(slots=True)
class SetTimer:
    delay_ms: float
    token: int


@dataclass(slots=True)
class Log:
    text: str


Action = Send | Cancel | Reject | Fail | OrderCopies | SetTimer | Log
