"""Messages between coordinators and lease holders, and the effects that both ask of their owners.

Values alone.

Documents travel as text, so that a front end of another version can still read the rest of the message, and
answer no with the key. Times are milliseconds of the holder's own clock and come back to it unread. A
coordinator's messages carry `term`, as in the consensus log, and `turn`, which counts what it began and ended
in that term: a message with a smaller pair is older, and begins or ends nothing.
"""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from fawnwharf.policy_rollout.document import MAX_TEXT_LENGTH, Document
from fawnwharf.zones.settings import Name

Number = Annotated[int, Meta(ge=0, lt=2**53)]
Text = Annotated[str, Meta(max_length=MAX_TEXT_LENGTH)]
ShortText = Annotated[str, Meta(max_length=300)]
EpochOrNone = Annotated[int, Meta(ge=-1, lt=2**53)]  # an epoch's number; -1: none


class _Message(Struct, frozen=True):
    pass


class Propose(_Message, frozen=True, tag="Propose"):
    """An operator's proposal, from the front end where it was made to the leader's coordinator.

    `wish` is its number there: a repeat has the same number. `term` is the term that it is meant for.
    """

    text: Text
    wish: Number = 0
    term: Number = 0


class Rollback(_Message, frozen=True, tag="Back"):
    """An operator's request to go from this decided number back to the one before it, as a new change."""

    number: Number
    wish: Number = 0
    term: Number = 0


class Cancel(_Message, frozen=True, tag="CallOff"):
    """An operator's request to end the proposal with this number; 0 stands for any."""

    why: ShortText = ""
    number: Number = 0
    wish: Number = 0
    term: Number = 0


class Prepare(_Message, frozen=True, tag="Prepare"):
    """Asks whether a member can go by this document, which is in force nowhere and may never be."""

    term: Number
    turn: Number
    number: Number
    text: Text


class Vote(_Message, frozen=True, tag="Vote"):
    """Yes, or no with key and cause. A yes is of one incarnation: the next one knows nothing of it."""

    life: Number
    term: Number
    turn: Number
    number: Number
    fault: ShortText = ""


class Abort(_Message, frozen=True, tag="Abort"):
    """The proposal was not decided, and will not be: forget it."""

    term: Number
    turn: Number
    number: Number
    why: ShortText = ""


class Decided(_Message, frozen=True, tag="Decided"):
    """The log's register; as good from any member as from the leader, since a number is decided once."""

    register: Annotated[str, Meta(max_length=64 * 1024)]


class LeaseRequest(_Message, frozen=True, tag="Status"):
    """A holder's heartbeat and its question for a lease, which counts from `sent_ms`.

    What it knows to be decided binds it: it takes no lease of an earlier number any more.
    """

    life: Number  # another one after each restart: what is meant for, or said by, an earlier one is not taken
    sent_ms: float
    known: EpochOrNone  # the last decided that it knows
    granted: EpochOrNone  # the last for which it had a lease in this life: that one has been in force


class EpochAdopted(_Message, frozen=True, tag="Changed"):
    """A holder does not act by anything before this number any more; also a question for a lease."""

    life: Number
    sent_ms: float
    number: Number
    granted: EpochOrNone = -1


class LeaseGrant(_Message, frozen=True, tag="Grant"):
    """The answer to one Status or Changed: a lease for an epoch, or none where `lease_ms` is 0."""

    term: Number
    turn: Number
    life: Number
    sent_ms: float
    number: Number
    lease_ms: Annotated[float, Meta(ge=0.0)]
    open: Number = 0  # the number that is being prepared; 0: none, and a prepared one is to be forgotten
    register: Annotated[str, Meta(max_length=64 * 1024)] = ""  # where the asker does not know the last


Message = (
    Propose | Rollback | Cancel | Prepare | Vote | Abort | Decided | LeaseRequest | EpochAdopted | LeaseGrant
)


def decode_message(data: object) -> Message:
    """The message in a decoded line; raises msgspec.ValidationError for anything else."""
    return msgspec.convert(data, Message, strict=True)


# --- how a member stands, told to all that follow its log -----------------------------------------

RequestState = Literal["asked", "preparing", "ended", "refused", "decided", "in force"]
FINAL_STATES = ("ended", "refused", "in force")


class RequestOutcome(Struct, frozen=True):
    """What came of an operator's word so far: given at front end `by` under the number `wish`."""

    by: Annotated[str, Meta(max_length=48)]
    wish: Number
    state: RequestState
    number: Number = 0  # of the policy
    why: ShortText = ""


class MemberStatus(Struct, frozen=True):
    """For operators and for those that wait for an outcome. The last five are of a leader's steward."""

    ready: bool
    how: Annotated[str, Meta(max_length=16)]
    number: Number  # the last decided that it knows
    digest: Annotated[str, Meta(max_length=32)]
    prepared: Number = 0  # that it was asked to prepare for
    life: Number = 0
    fault: ShortText = ""  # of a decided document that it can't read
    wishes: Annotated[tuple[RequestOutcome, ...], Meta(max_length=16)] = ()  # of the last words given here
    counts: Annotated[dict[str, int], Meta(max_length=64)] = {}
    term: Number = 0  # of its reign; 0: it does not lead
    open: Number = 0  # what is being prepared or decided
    missing: Annotated[tuple[str, ...], Meta(max_length=8)] = ()  # whose yes is wanted still, of these some
    settled: bool = False  # the last decided is in force
    outcomes: Annotated[tuple[RequestOutcome, ...], Meta(max_length=16)] = ()


def decode_member_status(data: object) -> MemberStatus:
    """Raises msgspec.ValidationError."""
    return msgspec.convert(data, MemberStatus)


# --- what is done by the owner ------------------------------------------------------------------


class Send(Struct, frozen=True):
    """Effect: send a message to a member; LEADER stands for whoever leads the voters."""

    to: Name  # LEADER: whoever leads the voters
    message: Message


class ProposeRegister(Struct, frozen=True):
    """Effect: propose this register to the consensus log, once.

    `Steward.decided` tells what came of it, or `Steward.not_put` where it never came into the log.
    """

    register: str


class StoreRegister(Struct, frozen=True):
    """Effect: write to disk, without haste.

    For people, and for the limits of a front end that hears no leader.
    """

    register: str


class ActivePolicy(Struct, frozen=True):
    """Effect: calls are judged by this from now on.

    `number` of a strict one is the later of its documents.
    """

    number: int
    digest: str
    document: Document
    how: Literal["leased", "strict", "floor", "waiting"] = "leased"


class LogEvent(Struct, frozen=True):
    """Effect: a line for the operators' log."""

    event: str
    fields: dict[str, Any]


LEADER = "@leader"
Effect = Send | ProposeRegister | StoreRegister | ActivePolicy | LogEvent
