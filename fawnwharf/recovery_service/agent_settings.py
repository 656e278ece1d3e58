"""Which front end a recovery agent belongs to, and what it goes by."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from fawnwharf.recovery_core.phases import PhaseTiming
from fawnwharf.recovery_core.queries import QueryPace

CALM_INTERVAL_FACTOR = 4  # in calm a front end reports its status so many times less often
MISSED_REPORTS = 3  # a member without so many reports is not heard of any more


@dataclass(frozen=True, slots=True)
class AgentIdentity:
    """Which incarnation of which front end this is."""

    name: str
    fleet: str
    incarnation: int
    boot: str  # of its machine; empty where the system has none


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """What an agent goes by; durations in milliseconds."""

    weights: Mapping[str, float]  # of classes
    timing: PhaseTiming
    query_pace: QueryPace = field(default_factory=QueryPace)
    report_interval_ms: float = 500.0
    announce_interval_ms: float = 300.0

    @property
    def report_valid_ms(self) -> float:
        """For how long a member's report counts in a recovery."""
        return MISSED_REPORTS * self.report_interval_ms

    @property
    def calm_report_valid_ms(self) -> float:
        """For how long it counts in calm."""
        return MISSED_REPORTS * CALM_INTERVAL_FACTOR * self.report_interval_ms
