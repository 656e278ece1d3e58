"""Lines of a member log, the messages of log clients in them, and the counts of dropped items.

Where `field(name=...)` is given, that name is used on the wire instead of the attribute's name.
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

# The names of the log clients, which are also the kinds of their registers in the consensus log.
POLICY = "policy"
RECOVERY = "recovery"


class ClientMessage(Struct, frozen=True, omit_defaults=True):
    """A message of a log client to the named recipients, or to the leader of the voters if none is named.

    A log client is another package that sends messages by the member logs: `client` is POLICY
    (policy_rollout) or RECOVERY (recovery_service). Only that package decodes `body`.
    """

    body: Any = msgspec.field(name="said")
    recipients: Annotated[tuple[s.Name, ...], Meta(max_length=s.MAX_MEMBERS)] = msgspec.field(
        name="to", default=()
    )
    client: s.Name = msgspec.field(name="rider", default=POLICY)


ClientMessages = Annotated[tuple[ClientMessage, ...], Meta(max_length=MAX_MESSAGES)]


class LogLine(Struct, frozen=True, omit_defaults=True):
    """One line of a member log, without its number; only the fields of one kind of line are set.

    A member log is the stream of lines by which a member sends its current state to other members. It is
    neither the consensus log nor the operators' log.
    """

    fleet: s.Name
    sender: s.Name
    report: Report | None = None
    plan: Annotated[str, Meta(max_length=MAX_TEXT)] | None = None
    # The leader confirms that the plan with this `index` in the consensus log is still the latest one.
    # Members may follow it for another `plan_validity_ms`.
    confirms_plan: bool = msgspec.field(name="fresh", default=False)
    index: Annotated[int, Meta(ge=0)] = 0
    term: Annotated[int, Meta(ge=0)] = 0
    # A message of the consensus protocol, and how often the voter had written its state to disk before it.
    voter_message: Any = msgspec.field(name="ballot", default=None)
    disk_writes: Annotated[int, Meta(ge=0)] = msgspec.field(name="saves", default=0)
    # Messages of log clients. They are validated separately, so that the rest of the line stays usable.
    messages: Any = msgspec.field(name="words", default=None)
    # The status of each log client (policy_rollout and recovery_service) at this member.
    policy: Any = None
    recovery: Any = None


class LogLineError(ValueError):
    """A line that no correct member writes; the connection to its sender is closed."""


class ConsensusStatus(Struct, frozen=True):
    """The state of a member's voter at one moment."""

    term: int = 0  # the term in which it leads; 0 while it is not the leader
    holds_read_lease: bool = False  # its last decided registers are certainly the latest ones of the fleet
    fully_committed: bool = False  # all entries in its log are committed
    # The text of the last decided register of each log client: `policy_rollout` and `recovery_service`.
    policy: str = ""
    recovery: str = ""
    voters: tuple[str, ...] = ()  # the identities in the voter list in force


class DropCause(StrEnum):
    """The reason why a line or a part of it was dropped."""

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
    """The number of dropped items, by cause."""

    dropped: dict[str, int] = field(default_factory=dict)

    def add(self, cause: DropCause) -> None:
        """Count one dropped item."""
        self.dropped[cause.value] = self.dropped.get(cause.value, 0) + 1


def messages_for(name: str, data: Any) -> dict[str, tuple[Any, ...]]:
    """The bodies of the messages to this member or to the leader, by log client.

    Raises msgspec.ValidationError for malformed messages.
    """
    found: dict[str, tuple[Any, ...]] = {}
    for message in msgspec.convert(data, ClientMessages):
        if not message.recipients or name in message.recipients:
            found[message.client] = (*found.get(message.client, ()), message.body)
    return found
