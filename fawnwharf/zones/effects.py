"""Effects that the core of a member asks its owner to carry out. Values alone."""

from typing import Any

from msgspec import Struct

from fawnwharf.consensus import messages as m
from fawnwharf.zones.log_events import ZoneLogEvent
from fawnwharf.zones.log_lines import POLICY, LogLine
from fawnwharf.zones.plan import Plan


class SaveVoterState(Struct, frozen=True):
    """Write the voter's state to disk before any later effect of the same list is carried out."""

    saved: m.PersistentState


class PublishLine(Struct, frozen=True):
    """Write a line to this member's log."""

    line: LogLine


class SendVoterMessage(Struct, frozen=True):
    """Write a line to this member's voter log; only the member `to` needs it."""

    to: str
    line: LogLine


class ApplyPlan(Struct, frozen=True):
    """Apply this plan from now on.

    `index` is that of the plan in the consensus log. A plan of None means that no plan is
    known to be the latest: the front end works as without zones then.
    """

    plan: Plan | None
    index: int


class MessagesReceived(Struct, frozen=True):
    """Pass another member's messages on to a log client, which decodes them and the status.

    `client` is the package that they are for (`log_lines.POLICY`, `RECOVERY`); `status` is the sender's
    status in that package, None where the line has none.
    """

    sender: str
    messages: tuple[Any, ...]
    status: Any
    client: str = POLICY


class RegisterDecided(Struct, frozen=True):
    """Pass a register on to its log client: the consensus log decided it."""

    index: int
    text: str
    kind: str = POLICY


Effect = (
    SaveVoterState
    | PublishLine
    | SendVoterMessage
    | ApplyPlan
    | MessagesReceived
    | RegisterDecided
    | ZoneLogEvent
)
