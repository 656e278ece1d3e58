"""Events that zones write into the operators' log: a name, and the fields of the event's type."""

from typing import Any, ClassVar

import msgspec
from msgspec import Struct

from fawnwharf.zones.evidence import ZoneEvidence


class ZoneLogEvent(Struct, frozen=True):
    """An event in the operators' log."""

    event: ClassVar[str]
    rate_limited: ClassVar[bool] = False  # written once a second at most

    @property
    def fields(self) -> dict[str, Any]:
        """The fields as they are written."""
        fields: dict[str, Any] = msgspec.to_builtins(self)
        return fields


class ZonesEnabled(ZoneLogEvent, frozen=True):
    """This front end takes part in the fleet's decisions."""

    event = "zones enabled"
    member: str
    zone: str
    voter: bool


class MembershipLoaded(ZoneLogEvent, frozen=True):
    """A later membership file is in use."""

    event = "membership loaded"
    number: int
    members: int


class MembershipIgnored(ZoneLogEvent, frozen=True):
    """A valid membership file is not used."""

    event = "membership ignored"
    number: int
    reason: str


class MembershipRejected(ZoneLogEvent, frozen=True):
    """A faulty membership file is not used; the last one stays in use."""

    event = "membership rejected"
    error: str


class OperatorRequestLoaded(ZoneLogEvent, frozen=True):
    """A later operator request is in use."""

    event = "operator request loaded"
    number: int
    drained: tuple[str, ...]


class OperatorRequestRejected(ZoneLogEvent, frozen=True):
    """A faulty operator request is not used; the last one stays in use."""

    event = "operator request rejected"
    error: str


class RoleChanged(ZoneLogEvent, frozen=True):
    """This member's voter became the leader, or ceased to be it."""

    event = "role"
    role: str
    term: int


class VotersProposed(ZoneLogEvent, frozen=True):
    """The leader proposes another voter list."""

    event = "voters proposed"
    index: int
    before: tuple[str, ...]
    after: tuple[str, ...]


class VotersDecided(ZoneLogEvent, frozen=True):
    """Another voter list was decided."""

    event = "voters"
    index: int
    voters: tuple[str, ...]


class ZoneChange(Struct, frozen=True):
    """How a proposed plan changes one zone."""

    before: str
    after: str
    reason: str


class PlanProposed(ZoneLogEvent, frozen=True):
    """The leader proposes another plan; `evidence` has what each member reported of each zone."""

    event = "plan proposed"
    number: int
    changed: dict[str, ZoneChange]
    evidence: dict[str, dict[str, ZoneEvidence]]


class PlanChangeRejected(ZoneLogEvent, frozen=True):
    """A zone stays open because all zones would be out without it."""

    event = "plan change rejected"
    rate_limited = True
    zone: str
    reason: str


class PlanDecided(ZoneLogEvent, frozen=True):
    """A plan was decided; `zones` has the state and the open fraction of each zone."""

    event = "plan"
    index: int
    term: int
    zones: dict[str, str]


class PlanExpired(ZoneLogEvent, frozen=True):
    """The plan was not confirmed to be the latest for its time of validity."""

    event = "plan expired"
    index: int


class FollowingPlan(ZoneLogEvent, frozen=True):
    """This front end applies a plan; `admission` is the fraction of its calls that it admits."""

    event = "following"
    index: int
    scorers_changed: int
    admission: float
    number: int
    zones: dict[str, str]
    unreachable: tuple[tuple[str, str], ...]


class OperatingStandalone(ZoneLogEvent, frozen=True):
    """This front end applies no plan, and works as without zones."""

    event = "standalone"
    index: int
    scorers_changed: int
    admission: float


class DiskFailed(ZoneLogEvent, frozen=True):
    """The voter's state could not be written."""

    event = "disk failed: no part in votes until a restart"
    reason: str


class OlderVoterState(ZoneLogEvent, frozen=True):
    """A voter came back with an older copy of its stored state, and its messages are ignored.

    `disk_writes` counts the times that its state was saved, as its message says; `reported_before` is the
    largest count that it reported before.
    """

    event = "older disk"
    rate_limited = True
    voter: str
    disk_writes: int
    reported_before: int


class MalformedMessages(ZoneLogEvent, frozen=True):
    """A line had malformed messages of log clients."""

    event = "malformed messages"
    rate_limited = True
    sender: str
    counts: dict[str, int]


class LogLineRejected(ZoneLogEvent, frozen=True):
    """A line of another member's log was rejected, and its connection closed."""

    event = "log line rejected"
    rate_limited = True
    reason: str
    counts: dict[str, int]
