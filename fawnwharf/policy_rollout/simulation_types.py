"""Values of the randomized simulation: rates of faults, its result, and the members simulated."""

from collections import Counter
from dataclasses import dataclass, field

from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator


@dataclass(frozen=True, slots=True)
class FaultRates:
    """Rates of faults: chances per message, or per second of true time."""

    lost: float = 0.05
    repeated: float = 0.05
    delay_ms: tuple[float, float] = (1.0, 30.0)
    late: float = 0.02  # part of the messages that take up to `late_ms`
    late_ms: float = 4_000.0
    cuts: float = 0.2
    cut_ms: float = 5_000.0
    kills: float = 0.2
    away_ms: float = 3_000.0
    halts: float = 0.1
    halt_ms: float = 4_000.0
    leaders: float = 0.05
    proposals: float = 1.0
    called_off: float = 0.1  # part of the proposals, soon after they were made
    lists: float = 0.02


NO_FAULTS = FaultRates(0.0, 0.0, (0.5, 5.0), 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0)


@dataclass(slots=True)
class SimulationResult:
    """The result of a run; `broken` is empty where all rules held."""

    steps: int = 0
    true_ms: float = 0.0
    messages: Counter = field(default_factory=Counter)
    events: Counter = field(default_factory=Counter)
    calls: int = 0
    longest_ms: float = 0.0  # from a decision to in force, with one leader that was not disturbed
    broken: str = ""


@dataclass(slots=True)
class SimulatedMember:
    """One member: a clock, a holder while it lives, and a coordinator where it may lead."""

    name: str
    rate: float
    steward: RolloutCoordinator | None
    holder: LeaseHolder | None = None
    disk: str = ""
    life: int = 0
    least: int = 0
    halted_ms: float = 0.0
    cut_ms: float = 0.0
    wound: dict[str, float] = field(default_factory=dict)
