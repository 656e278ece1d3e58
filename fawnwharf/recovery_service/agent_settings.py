"""The identity and settings of a recovery agent."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from fawnwharf.recovery_core.phases import PhaseTiming
from fawnwharf.recovery_core.queries import QueryPace

NORMAL_INTERVAL_FACTOR = 4  # in normal operation the interval of status reports is this many times longer
MISSED_REPORTS = 3  # a member counts as silent after this many missed reports


@dataclass(frozen=True, slots=True)
class AgentIdentity:
    """One incarnation of one front end."""

    name: str
    fleet: str
    incarnation: int
    boot: str  # boot id of its machine; empty if the system has none


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of a recovery agent; durations in milliseconds."""

    weights: Mapping[str, float]  # priority weights by class
    timing: PhaseTiming
    query_pace: QueryPace = field(default_factory=QueryPace)
    report_interval_ms: float = 500.0
    announce_interval_ms: float = 300.0

    @property
    def report_valid_ms(self) -> float:
        """How long a member's report is valid during a recovery, in milliseconds."""
        return MISSED_REPORTS * self.report_interval_ms

    @property
    def normal_report_valid_ms(self) -> float:
        """How long a member's report is valid in normal operation, in milliseconds."""
        return MISSED_REPORTS * NORMAL_INTERVAL_FACTOR * self.report_interval_ms
