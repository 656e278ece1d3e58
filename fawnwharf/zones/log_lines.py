"""Lines of a member log, the messages of log clients in them, and the counts of what was dropped.

Values alone. A field whose outside name differs keeps that name on the wire.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from fawnwharf.consensus import messages as m
from fawnwharf.zones import settings as s
from fawnwharf.zones.report import Report

MAX_TEXT = m.MAX_TEXT_CHARACTERS
MAX_MESSAGES = 1_024  # in one line

# The log clients; they are also the kinds of their registers in the consensus log.
POLICY = "policy"
RECOVERY = "recovery"


class ClientMessage(Struct, frozen=True, omit_defaults=True):
    """A message of a log client to these members, or to the leader of the voters where none is named.

    A log client is another package that sends by the member logs: `client` is POLICY (policy_rollout) or
    RECOVERY (recovery_service). Only that package decodes `body`.
    """

    body: Any = msgspec.field(name="said")
    recipients: Annotated[tuple[s.Name, ...], Meta(max_length=s.MAX_MEMBERS)] = msgspec.field(
        name="to", default=()
    )
    client: s.Name = msgspec.field(name="rider", default=POLICY)


ClientMessages = Annotated[tuple[ClientMessage, ...], Meta(max_length=MAX_MESSAGES)]


class LogLine(Struct, frozen=True, omit_defaults=True):
    """One line of a member log, without its number; it has one of the fields from `report` on.

    A member log is the stream of lines by which a member sends its current state to all other members. It is
    neither the consensus log nor the operators' log.
    """

    fleet: s.Name
    sender: s.Name
    report: Report | None = None
    plan: Annotated[str, Meta(max_length=MAX_TEXT)] | None = None
    # The leader states that the plan of this `index` of the consensus log is still the latest decided one;
    # members may follow it for `plan_validity_ms` more.
    confirms_plan: bool = msgspec.field(name="fresh", default=False)
    index: Annotated[int, Meta(ge=0)] = 0
    term: Annotated[int, Meta(ge=0)] = 0
    # A message of the consensus protocol, and how often the voter's state was written to its disk before it.
    voter_message: Any = msgspec.field(name="ballot", default=None)
    disk_writes: Annotated[int, Meta(ge=0)] = msgspec.field(name="saves", default=0)
    # Messages of log clients. They are validated apart: malformed ones do not cost the line.
    messages: Any = msgspec.field(name="words", default=None)
    # The status of each log client at this member: of policy_rollout, and of recovery_service.
    policy: Any = None
    recovery: Any = None


class LogLineError(ValueError):
    """A line that no correct member writes; it costs its sender the connection."""


class ConsensusStatus(Struct, frozen=True):
    """The state of a member's voter at one moment."""

    term: int = 0  # of its leadership; 0 while it does not lead
    holds_read_lease: bool = False  # its last decided registers are certainly the fleet's last ones
    fully_committed: bool = False  # its log has no undecided entry, of its own term or an earlier one
    # The last decided register of each log client, as text: of `policy_rollout`, and of `recovery_service`.
    policy: str = ""
    recovery: str = ""
    voters: tuple[str, ...] = ()  # the identities in the voter list in force


class DropCause(StrEnum):
    """Why a line, or a part of it, was dropped."""

    UNKNOWN_MEMBER = "unknown member"
    # A leader's confirmation (`LogLine.confirms_plan`) of a plan that is older than the known one.
    OLDER_PLAN = "freshness of an older plan"
    UNKNOWN_PLAN = "freshness of an unknown plan"
    MALFORMED_MESSAGES = "malformed messages"
    MALFORMED_PLAN = "malformed decided plan"
    MALFORMED_LINE = "malformed line"
    NON_VOTER = "voter message of a non-voter"
    OLDER_DISK = "voter message from an older disk"


@dataclass(slots=True)
class DropCounts:
    """How often something was dropped, by cause."""

    dropped: dict[str, int] = field(default_factory=dict)

    def add(self, cause: DropCause) -> None:
        """Count one dropped item."""
        self.dropped[cause.value] = self.dropped.get(cause.value, 0) + 1


def messages_for(name: str, data: Any) -> dict[str, tuple[Any, ...]]:
    """The bodies of the messages to this member or to the leader, by log client.

    Raises msgspec.ValidationError.
    """
    found: dict[str, tuple[Any, ...]] = {}
    for message in msgspec.convert(data, ClientMessages):
        if not message.recipients or name in message.recipients:
            found[message.client] = (*found.get(message.client, ()), message.body)
    return found
