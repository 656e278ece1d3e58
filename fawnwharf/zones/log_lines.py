"""Lines of a member's log, and the effects that a member asks of its owner. Values alone."""

from dataclasses import dataclass, field
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from fawnwharf.consensus import messages as m
from fawnwharf.zones import settings as s
from fawnwharf.zones.plan import Plan
from fawnwharf.zones.planner import Report

MAX_TEXT = m.MAX_DATA_LENGTH
MAX_MESSAGES = 1_024  # in one line


POLICY, RECOVERY = "policy", "recovery"  # riders, and the kinds of their registers in the voters' log


class ClientMessage(Struct, frozen=True, omit_defaults=True):
    """A message of a log client: to these members, or to whoever leads the voters where none is named."""

    body: Any = msgspec.field(name="said")
    recipients: Annotated[tuple[s.Name, ...], Meta(max_length=s.MAX_MEMBERS)] = msgspec.field(
        name="to", default=()
    )
    client: s.Name = msgspec.field(name="rider", default=POLICY)


ClientMessages = Annotated[tuple[ClientMessage, ...], Meta(max_length=MAX_MESSAGES)]


class LogLine(Struct, frozen=True, omit_defaults=True):
    """One line of a member's log, besides its number; one of the fields from `report` on is there."""

    fleet: s.Name
    sender: s.Name
    report: Report | None = None
    plan: Annotated[str, Meta(max_length=MAX_TEXT)] | None = None
    fresh: bool = False  # the leader's word, at this moment: no later plan is decided than this index
    index: Annotated[int, Meta(ge=0)] = 0  # of the plan, or of what is fresh
    term: Annotated[int, Meta(ge=0)] = 0
    voter_message: Any = msgspec.field(name="ballot", default=None)  # a message of the voting
    disk_writes: Annotated[int, Meta(ge=0)] = msgspec.field(
        name="saves", default=0
    )  # times that the voter's disk was written, ever, as of this ballot
    messages: Any = msgspec.field(
        name="words", default=None
    )  # of a rider, checked by themselves: bad ones cost nothing else
    policy: Any = None  # how this member stands to changes of policy
    recovery: Any = None  # and in a recovery


class LogLineError(ValueError):
    """A line that costs its sender the connection; the text says why."""


# --- effects --------------------------------------------------------------------------------


class SaveVoterState(Struct, frozen=True):
    """Effect: save the voter's state to disk."""

    saved: m.PersistentState


class PublishLine(Struct, frozen=True):
    """Effect: write a line to the own log."""

    line: LogLine


class SendVoterMessage(Struct, frozen=True):
    """Effect: write a line to the log of ballots; only `to`, a member's name, has use of it."""

    to: str
    line: LogLine


class FollowPlan(Struct, frozen=True):
    """Effect: go by this plan from now on.

    None stands for no plan that is known to be the last: each front end is on its own then.
    """

    plan: Plan | None
    index: int


class MessagesReceived(Struct, frozen=True):
    """Effect, for a log client.

    Another member's messages to this one, and its status; None where it tells none.
    """

    sender: str
    messages: tuple[Any, ...]
    status: Any
    client: str = POLICY


class RegisterDecided(Struct, frozen=True):
    """Effect: the consensus log decided this register, of policy or of recovery."""

    index: int
    text: str
    kind: str = POLICY


class LogEvent(Struct, frozen=True):
    """Effect: a line for the operators' log, an event and its fields."""

    event: str
    fields: dict[str, Any]


Effect = (
    SaveVoterState
    | PublishLine
    | SendVoterMessage
    | FollowPlan
    | MessagesReceived
    | RegisterDecided
    | LogEvent
)


class ConsensusStatus(Struct, frozen=True):
    """The state of a member's voter at one moment."""

    term: int = 0  # of its reign; 0: it does not lead
    fresh: bool = False  # its last decided registers are the fleet's last, for certain
    settled: bool = False  # nothing of its log is undecided
    policy: str = ""  # the last decided register of each kind
    recovery: str = ""
    voters: tuple[str, ...] = ()  # identities, by the list in force


@dataclass(slots=True)
class DropCounts:
    """What was dropped, by cause."""

    dropped: dict[str, int] = field(default_factory=dict)

    def add(self, cause: str) -> None:
        """Count something that was dropped."""
        self.dropped[cause] = self.dropped.get(cause, 0) + 1


def messages_for(name: str, data: Any) -> dict[str, tuple[Any, ...]]:
    """The messages to this member, or to whoever leads, by log client; raises msgspec.ValidationError."""
    found: dict[str, tuple[Any, ...]] = {}
    for word in msgspec.convert(data, ClientMessages):
        if not word.recipients or name in word.recipients:
            found[word.client] = (*found.get(word.client, ()), word.body)
    return found
