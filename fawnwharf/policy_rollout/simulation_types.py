"""Types of the randomized simulation: fault rates, the result and the simulated members."""

from collections import Counter
from dataclasses import dataclass, field

from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator


@dataclass(frozen=True, slots=True)
class FaultRates:
    """Rates of faults and events, as fractions of messages or per second of true time."""

    lost: float = 0.05  # fraction of messages
    duplicated: float = 0.05  # fraction of messages
    min_delay_ms: float = 1.0
    max_delay_ms: float = 30.0
    late: float = 0.02  # fraction of messages that take up to `max_late_ms`
    max_late_ms: float = 4_000.0
    partitions: float = 0.2  # per second, as are the other rates below
    max_partition_ms: float = 5_000.0
    kills: float = 0.2
    max_down_ms: float = 3_000.0
    pauses: float = 0.1
    max_pause_ms: float = 4_000.0
    leader_changes: float = 0.05
    proposals: float = 1.0
    cancelled: float = 0.1  # fraction of proposals that are cancelled soon after they were made
    member_changes: float = 0.02


NO_FAULTS = FaultRates(
    lost=0.0,
    duplicated=0.0,
    min_delay_ms=0.5,
    max_delay_ms=5.0,
    late=0.0,
    max_late_ms=0.0,
    partitions=0.0,
    max_partition_ms=0.0,
    kills=0.0,
    max_down_ms=0.0,
    pauses=0.0,
    max_pause_ms=0.0,
    leader_changes=0.0,
    proposals=0.0,
    cancelled=0.0,
    member_changes=0.0,
)


@dataclass(slots=True)
class SimulationResult:
    """The result of a run; `broken` is empty if all invariants held."""

    steps: int = 0
    true_ms: float = 0.0
    messages: Counter[str] = field(default_factory=Counter)  # by type
    events: Counter[str] = field(default_factory=Counter)
    calls: int = 0
    longest_ms: float = 0.0  # longest time from a decision to in force under an undisturbed leader
    broken: str = ""


@dataclass(slots=True)
class SimulatedMember:
    """One member: its clock, its holder while it is up, and its coordinator if it may lead."""

    name: str
    clock_rate: float
    coordinator: RolloutCoordinator | None
    holder: LeaseHolder | None = None  # None while it is down
    disk: str = ""
    incarnation: int = 0
    min_number: int = 0  # the document number that it must know at least when it is ready
    paused_until_ms: float = 0.0
    partitioned_until_ms: float = 0.0
    timers: dict[str, float] = field(default_factory=dict)  # due times by its own clock, by purpose
