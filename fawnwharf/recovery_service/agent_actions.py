"""Effects that the recovery agent returns, and the status of its own front end that it is given."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from msgspec import Struct

from fawnwharf.durable_store.folder_reader import FolderPosition
from fawnwharf.recovery_core.phases import AllowedActions, LogEvent, ProposeRegister
from fawnwharf.recovery_core.register import PermitAssignment, RecoveryPhase
from fawnwharf.recovery_service.messages import RecoveryMessage, StatusReport


class SendMessage(Struct, frozen=True):
    """Send a message to the named members, or to all members if `to` is empty."""

    to: tuple[str, ...]
    message: RecoveryMessage
    by_zones: bool = True  # through the zones log; False: through the replication log


class ApplyPhase(Struct, frozen=True):
    """Apply a recovery phase and its permissions to the front end."""

    allowed: AllowedActions
    phase: RecoveryPhase | None  # None: partitioned
    power_loss: int
    front_ends: int = 1  # the number of front ends that share the allowed rate
    assignment: PermitAssignment | None = None  # None: permits are assigned by reachability


class PositionReported(Struct, frozen=True):
    """Another member knows this position of the local store folder from an earlier incarnation."""

    position: FolderPosition


Effect = SendMessage | ProposeRegister | LogEvent | ApplyPhase | PositionReported


class DropReason(StrEnum):
    """Why a message was dropped; the values name the counters."""

    UNKNOWN_MEMBER = "unknown member"
    OTHER_INCARNATION = "to another incarnation"
    EARLIER_INCARNATION = "of an earlier incarnation"
    WRONG_LOG = "wrong log"
    OTHER_FLEET = "another fleet"
    NO_LEADER = "announcement by no leader"
    MALFORMED = "malformed message"


class PlanVersion(NamedTuple):
    """The last zone plan in a voter's log, decided or not."""

    number: int
    digest: str


@dataclass(frozen=True, slots=True)
class LocalStatus:
    """The state of the local front end at one moment."""

    settled: bool  # its store has rewritten all recovered entries, so they may be reported
    complete: bool  # its store has everything that it ever reported
    knows_grants: bool  # its replica knows all its grants; True without a replica
    votes: bool  # its voter is allowed to vote, by the state on its disk
    plan: PlanVersion
    position: FolderPosition
    knows_use: bool = False  # it knows which functions were called before
    roster_received: bool = False  # from the change log, in this incarnation
    has_scorers: bool = False  # some scorer accepts calls
    reachable: int = 1  # the number of reachable front ends, including itself
    report: StatusReport | None = None  # counters of its calls, loads and scorers
