"""Events that zones write to the operators' log; each has a name and the fields of its type."""

from typing import Any, ClassVar

import msgspec
from msgspec import Struct

from fawnwharf.zones.evidence import ZoneEvidence


class ZoneLogEvent(Struct, frozen=True):
    """An event in the operators' log."""

    event: ClassVar[str]
    rate_limited: ClassVar[bool] = False  # written at most once per `service.EVENT_INTERVAL_MS`

    @property
    def fields(self) -> dict[str, Any]:
        """The fields as they are written to the log."""
        fields: dict[str, Any] = msgspec.to_builtins(self)
        return fields


class ZonesEnabled(ZoneLogEvent, frozen=True):
    """Zones are enabled at this front end, which is a member of the fleet."""

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
    """A valid membership file is not used, for the given reason."""

    event = "membership ignored"
    number: int
    reason: str


class MembershipRejected(ZoneLogEvent, frozen=True):
    """A faulty membership file is not used; the previous one stays in use."""

    event = "membership rejected"
    error: str


class OperatorRequestLoaded(ZoneLogEvent, frozen=True):
    """A later operator request is in use."""

    event = "operator request loaded"
    number: int
    drained: tuple[str, ...]


class OperatorRequestRejected(ZoneLogEvent, frozen=True):
    """A faulty operator request is not used; the previous one stays in use."""

    event = "operator request rejected"
    error: str


class RoleChanged(ZoneLogEvent, frozen=True):
    """This member's voter became the leader or stepped down."""

    event = "role"
    role: str
    term: int


class VotersProposed(ZoneLogEvent, frozen=True):
    """The leader proposes a new voter list."""

    event = "voters proposed"
    index: int
    before: tuple[str, ...]
    after: tuple[str, ...]


class VotersDecided(ZoneLogEvent, frozen=True):
    """A new voter list was decided."""

    event = "voters"
    index: int
    voters: tuple[str, ...]


class ZoneChange(Struct, frozen=True):
    """How a proposed plan changes one zone."""

    before: str
    after: str
    reason: str


class PlanProposed(ZoneLogEvent, frozen=True):
    """The leader proposes a new plan; `evidence` has each member's evidence on each zone."""

    event = "plan proposed"
    number: int
    changed: dict[str, ZoneChange]
    evidence: dict[str, dict[str, ZoneEvidence]]


class PlanChangeRejected(ZoneLogEvent, frozen=True):
    """A zone stays open because otherwise all zones would be out."""

    event = "plan change rejected"
    rate_limited = True
    zone: str
    reason: str


class PlanDecided(ZoneLogEvent, frozen=True):
    """A plan was decided; `zones` has the state and the fraction of each zone."""

    event = "plan"
    index: int
    term: int
    zones: dict[str, str]


class PlanExpired(ZoneLogEvent, frozen=True):
    """The plan was not confirmed to be the latest one within its validity period."""

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
    """This front end applies no plan and works as if zones were off."""

    event = "standalone"
    index: int
    scorers_changed: int
    admission: float


class DiskFailed(ZoneLogEvent, frozen=True):
    """The voter's state could not be written to disk."""

    event = "disk failed: no part in votes until a restart"
    reason: str


class OlderVoterState(ZoneLogEvent, frozen=True):
    """A voter restarted with an older copy of its stored state; its messages are ignored.

    `disk_writes` is how often its state was saved according to its message; `reported_before` is the largest
    number that it has reported before.
    """

    event = "older disk"
    rate_limited = True
    voter: str
    disk_writes: int
    reported_before: int


class MalformedMessages(ZoneLogEvent, frozen=True):
    """A line contained malformed messages of log clients."""

    event = "malformed messages"
    rate_limited = True
    sender: str
    counts: dict[str, int]


class LogLineRejected(ZoneLogEvent, frozen=True):
    """A line of another member's log was rejected, and the connection to that member closed."""

    event = "log line rejected"
    rate_limited = True
    reason: str
    counts: dict[str, int]
