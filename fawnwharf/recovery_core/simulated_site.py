"""Parts of the simulated fleets: scenarios, functions, scorers, front ends, calls and statistics."""

from dataclasses import dataclass, field
from typing import NamedTuple

from fawnwharf.interface import Settings


class FunctionKind(NamedTuple):
    """Functions of one class; times are in milliseconds, and pairs are the ranges of uniform draws."""

    share: float  # of all functions
    latency_target_ms: float
    deadline_ms: float
    priority_weight: float
    late_share: float  # of the weight, for an answer between latency target and deadline
    load_ms: tuple[float, float]
    run_ms: tuple[float, float]


FUNCTION_KINDS = {
    "points-view": FunctionKind(0.58, 800.0, 3000.0, 1.0, 0.2, (420.0, 1100.0), (85.0, 150.0)),
    "lineup-save": FunctionKind(0.23, 600.0, 2500.0, 5.0, 0.2, (380.0, 900.0), (85.0, 150.0)),
    "transfer-settle": FunctionKind(0.19, 800.0, 2000.0, 5.0, 0.1, (410.0, 860.0), (130.0, 230.0)),
}
PRIORITY_WEIGHTS = {name: kind.priority_weight for name, kind in FUNCTION_KINDS.items()}
CALLS_PER_SECOND = 2.0  # usual rate of one front end's clients
SCORER_CALLS_PER_SECOND = 12.0  # usual rate at a warm scorer
LANES = 8  # concurrent calls of a copy
MAX_SCORER_LOADS = 4  # concurrent loads of a scorer
MAX_OWN_LOADS = 8  # concurrent loads that an uncoordinated front end orders
FETCH_SHARE = 0.6  # of a load's duration, in which it occupies the store
SLOW_START_SAFETY_FACTOR = 0.6  # the decision module's safety factor for cold scorers
MAX_HOLD_SHARE = 0.5  # of the deadline, for which the decision module holds a call
CLIENT_RETRIES = 2  # per call
SITE_SETTINGS = Settings(slow_start_ms=10_000.0, slow_start_initial_share=0.2, max_retry_after_ms=4_000.0)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario; times are milliseconds since the power loss."""

    front_ends: int
    return_spread_ms: float = 60_000.0  # front ends come back within this time, at random
    zone_late_ms: float = 15_000.0  # one of three zones comes back later by this time
    lost_share: float = 1 / 3  # of the front ends, that never comes back
    roster_ms: float = 62_000.0  # when the roster arrives
    scorers_ms: float = 60_000.0  # scorers come back within this time, at random
    burst_ms: float = 63_000.0  # start of a burst: for one second, four times the usual rate is added
    end_ms: float = 100_000.0
    voter_majority_returns: bool = True


class SimulatedFunction(NamedTuple):
    """One function; times are in milliseconds."""

    kind_name: str
    load_ms: float
    run_ms: float

    @property
    def kind(self) -> FunctionKind:
        """The function's class."""
        return FUNCTION_KINDS[self.kind_name]


@dataclass(slots=True)
class Scorer:
    """A scorer with its copies."""

    up_ms: float  # when it last came up
    copies: dict[int, list[float]] = field(
        default_factory=dict
    )  # time at which each lane is free, by function
    ready_ms: dict[int, float] = field(default_factory=dict)  # time at which the copy is loaded, by function
    sent_ms: list[float] = field(default_factory=list)  # times of calls within the slow start window

    def restart(self, up_ms: float) -> None:
        """Lose all copies and come up again at `up_ms`."""
        self.up_ms = up_ms
        self.copies = {}
        self.ready_ms = {}
        self.sent_ms = []


@dataclass(slots=True)
class FrontEnd:
    """A front end with its own, possibly outdated view of the fleet."""

    name: str
    up_ms: float
    known_copies: dict[int, list[int]] = field(default_factory=dict)  # scorers with a copy, by function
    held_calls: dict[int, float] = field(default_factory=dict)  # number of calls that wait, by function
    load_ends_ms: list[float] = field(default_factory=list)  # ends of the loads that it ordered
    arrivals_ms: list[float] = field(default_factory=list)  # recent arrivals of calls
    sent_ms: dict[int, list[float]] = field(default_factory=dict)  # times of recent calls, by scorer


@dataclass(slots=True)
class CallAttempt:
    """One attempt of a call, at one front end."""

    client: str
    front_end: FrontEnd
    function: int
    at_ms: float
    retries_left: int


@dataclass(slots=True)
class SecondStats:
    """Sums of the priority weights of the attempts made in one second.

    `priority_offered` and `priority_served` count only calls of the priority classes.
    """

    offered: float = 0.0
    served: float = 0.0  # served in time
    priority_offered: float = 0.0
    priority_served: float = 0.0
