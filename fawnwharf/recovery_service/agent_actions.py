"""What the recovery agent is told of its own front end, and the effects that it hands back."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from msgspec import Struct

from fawnwharf.durable_store.folder_reader import FolderPosition
from fawnwharf.recovery_core.phases import AllowedActions, LogEvent, ProposeRegister
from fawnwharf.recovery_core.register import PermitAssignment, RecoveryPhase
from fawnwharf.recovery_service.messages import RecoveryMessage, StatusReport


class SendMessage(Struct, frozen=True):
    """Send this to these members, or to all that listen where none is named."""

    to: tuple[str, ...]
    message: RecoveryMessage
    by_zones: bool = True  # by the zones' logs, else by the replication logs


class ApplyPhase(Struct, frozen=True):
    """Go by this from now on."""

    allowed: AllowedActions
    phase: RecoveryPhase | None  # None: partitioned
    power_loss: int
    front_ends: int = 1  # among which what is allowed is divided
    assignment: PermitAssignment | None = None  # None: by who is reachable


class PositionReported(Struct, frozen=True):
    """Others know this position of the own folder, from before this incarnation."""

    position: FolderPosition


Effect = SendMessage | ProposeRegister | LogEvent | ApplyPhase | PositionReported


class DropReason(StrEnum):
    """Why a message was dropped, as counted."""

    UNKNOWN_MEMBER = "unknown member"
    OTHER_INCARNATION = "to another incarnation"
    EARLIER_INCARNATION = "of an earlier incarnation"
    WRONG_LOG = "wrong log"
    OTHER_FLEET = "another fleet"
    NO_LEADER = "announcement by no leader"
    MALFORMED = "malformed message"


class PlanVersion(NamedTuple):
    """The last plan in a voter's log, decided or not."""

    number: int
    digest: str


@dataclass(frozen=True, slots=True)
class LocalStatus:
    """What this front end knows of itself at a moment."""

    settled: bool  # its store has rewritten all: what was found may be reported
    complete: bool  # its store has all that it ever reported
    knows_grants: bool  # its replica knows all that it granted; True where it has none
    votes: bool  # its voter may vote by its disk
    plan: PlanVersion
    position: FolderPosition
    knows_use: bool = False  # it knows what was called before
    roster_received: bool = False  # from the change log, in this incarnation
    has_scorers: bool = False  # some take calls
    reachable: int = 1  # front ends, itself among them
    report: StatusReport | None = None  # its calls, loads and scorers
