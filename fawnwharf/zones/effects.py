"""Effects that a member's core asks its owner to carry out. All are plain values."""

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
    """Write a line to this member's voter log, for the member `to`; other voters receive and ignore it."""

    to: str
    line: LogLine


class ApplyPlan(Struct, frozen=True):
    """Apply this plan from now on.

    `index` is the plan's index in the consensus log. A plan of None means that no plan is known to be the
    latest: the front end then works as if zones were off.
    """

    plan: Plan | None
    index: int


class MessagesReceived(Struct, frozen=True):
    """Pass another member's messages and status on to a log client, which decodes them.

    `client` is the receiving log client (`log_lines.POLICY` or `RECOVERY`). `status` is the sender's status
    for that client, None if the line has none.
    """

    sender: str
    messages: tuple[Any, ...]
    status: Any
    client: str = POLICY


class RegisterDecided(Struct, frozen=True):
    """Pass a register that the consensus log has decided on to its log client."""

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
