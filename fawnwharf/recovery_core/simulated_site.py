"""The parts of a fleet in virtual time: scenarios, functions, scorers, front ends, calls and statistics."""

from dataclasses import dataclass, field
from typing import NamedTuple

from fawnwharf.interface import Settings


class FunctionKind(NamedTuple):
    """Functions of one class; times in milliseconds, ranges from which they are drawn."""

    share: float  # of all functions
    latency_target_ms: float
    deadline_ms: float
    priority_weight: float
    late_share: float  # of the weight, for an answer between target and deadline
    load_ms: tuple[float, float]
    run_ms: tuple[float, float]


FUNCTION_KINDS = {
    "points-view": FunctionKind(0.58, 800.0, 3000.0, 1.0, 0.2, (420.0, 1100.0), (85.0, 150.0)),
    "lineup-save": FunctionKind(0.23, 600.0, 2500.0, 5.0, 0.2, (380.0, 900.0), (85.0, 150.0)),
    "transfer-settle": FunctionKind(0.19, 800.0, 2000.0, 5.0, 0.1, (410.0, 860.0), (130.0, 230.0)),
}
PRIORITY_WEIGHTS = {name: kind.priority_weight for name, kind in FUNCTION_KINDS.items()}
CALLS_PS = 2.0  # of a front end's clients, usually
SCORER_PS = 12.0  # calls that a warm scorer is usually sent
LANES = 8  # concurrent calls of a copy
MAX_SCORER_LOADS = 4  # concurrent loads of a scorer
MAX_OWN_LOADS = 8  # concurrent loads that an uncoordinated front end orders
FETCH_SHARE = 0.6  # of a load, in which it occupies the store
COLD_SAFETY = 0.6  # the decision module's safety factor of cold scorers
MAX_HOLD_SHARE = 0.5  # of the deadline, for which the decision module holds a call
RETRIES = 2  # of a client, for one call
SITE = Settings(slow_start_ms=10_000.0, slow_start_initial_share=0.2, max_retry_after_ms=4_000.0)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario; milliseconds from the power loss.

    A third of the front ends never comes back, a zone comes later.
    """

    fronts: int
    back_ms: float = 60_000.0
    zone_late_ms: float = 15_000.0
    gone: float = 1 / 3
    roster_ms: float = 62_000.0
    scorers_ms: float = 60_000.0
    burst_ms: float = 63_000.0  # all clients within a second from then on, at four times the rate
    end_ms: float = 100_000.0
    quorum: bool = True  # a majority of the voters comes back


class SimulatedFunction(NamedTuple):
    """One function."""

    kind_name: str
    load_ms: float
    run_ms: float

    @property
    def kind(self) -> FunctionKind:
        """Its class."""
        return FUNCTION_KINDS[self.kind_name]


@dataclass(slots=True)
class Scorer:
    """A scorer with its copies."""

    up_ms: float
    copies: dict[int, list[float]] = field(default_factory=dict)  # by function: when each lane is free
    ready_ms: dict[int, float] = field(default_factory=dict)  # by function
    sent_ms: list[float] = field(default_factory=list)

    def restart(self, up_ms: float) -> None:
        """Lose all copies and come up again at this time."""
        self.up_ms = up_ms
        self.copies = {}
        self.ready_ms = {}
        self.sent_ms = []


@dataclass(slots=True)
class FrontEnd:
    """A front end, with what it believes."""

    name: str
    up_ms: float
    known: dict[int, list[int]] = field(default_factory=dict)  # scorers with a copy, by function
    held: dict[int, float] = field(default_factory=dict)  # calls that wait for a load, by function
    loads: list[float] = field(default_factory=list)  # own ones in progress, until when
    arrivals: list[float] = field(default_factory=list)
    sent: dict[int, list[float]] = field(default_factory=dict)  # by scorer


@dataclass(slots=True)
class CallAttempt:
    """One attempt of a call, at one front end."""

    client: str
    front: FrontEnd
    function: int
    at_ms: float
    retries_left: int


@dataclass(slots=True)
class SecondStats:
    """The priority weight of the attempts of one second.

    Offered, and served in time; of all classes and of the priority classes.
    """

    offered: float = 0.0
    served: float = 0.0
    priority_offered: float = 0.0
    priority_served: float = 0.0
