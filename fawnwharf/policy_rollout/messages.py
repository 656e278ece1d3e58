"""Messages between rollout coordinators and lease holders, and the effects that both return to their owners.

This module holds values only.

Policy documents travel as text, so that a front end of another version can still read the rest of the message
and reject the proposal with the key that it does not know. Times are milliseconds of the holder's own clock
and come back to it unchanged. The messages of a coordinator carry `term`, as in the consensus log, and
`sequence`, which counts the proposals that were begun and ended in that term: a message with a smaller pair
is older, and begins or ends nothing.

Field names on the wire are those of the first version; `msgspec.field(name=...)` maps them.
"""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

from fawnwharf.policy_rollout.document import MAX_TEXT_LENGTH, Document
from fawnwharf.zones.settings import Name

# A counter; docs/design/policy_rollout.md has a table of all counters.
Number = Annotated[int, Meta(ge=0, lt=2**53)]
Text = Annotated[str, Meta(max_length=MAX_TEXT_LENGTH)]
ShortText = Annotated[str, Meta(max_length=300)]
RegisterText = Annotated[str, Meta(max_length=64 * 1024)]
NumberOrMinusOne = Annotated[int, Meta(ge=-1, lt=2**53)]  # the number of a document; -1: none
MAX_SHORT_TEXT = 300

# Which documents the limits of a front end are made of. "leased": the last decided document, under a lease.
# "strict": the stricter value of two documents, key by key, while it is not known which one is in force.
# "floor": the last decided document with half of each limit, while no leader renews the lease.
# "waiting": as "floor", for a front end that has received no decided document since its start, or none that
# it can read; calls wait.
PolicyBasisKind = Literal["leased", "strict", "floor", "waiting"]


class _Message(Struct, frozen=True):
    """Base of all messages."""


class Propose(_Message, frozen=True, tag="Propose"):
    """An operator's proposal, from the front end that received it to the leader's coordinator.

    `request_number` is its number at that front end: a retry has the same number. `term` is the term of the
    leader that it is meant for.
    """

    text: Text
    request_number: Number = field(default=0, name="wish")
    term: Number = 0


class Rollback(_Message, frozen=True, tag="Back"):
    """An operator's request to return from this decided number to the one before it, as a new change."""

    number: Number
    request_number: Number = field(default=0, name="wish")
    term: Number = 0


class Cancel(_Message, frozen=True, tag="CallOff"):
    """An operator's request to end the proposal with this number; 0 stands for any."""

    reason: ShortText = field(default="", name="why")
    number: Number = 0
    request_number: Number = field(default=0, name="wish")
    term: Number = 0


class Prepare(_Message, frozen=True, tag="Prepare"):
    """Asks whether a member can apply this document, which is not in force anywhere and may never be."""

    term: Number
    sequence: Number = field(name="turn")
    number: Number
    text: Text


class Vote(_Message, frozen=True, tag="Vote"):
    """The answer to `Prepare`: yes, or no with key and cause in `error`.

    A yes belongs to one incarnation of the member: the next incarnation does not know of it.
    """

    incarnation: Number = field(name="life")
    term: Number
    sequence: Number = field(name="turn")
    number: Number
    error: ShortText = field(default="", name="fault")


class Abort(_Message, frozen=True, tag="Abort"):
    """The proposal was not decided and will not be: receivers discard it."""

    term: Number
    sequence: Number = field(name="turn")
    number: Number
    reason: ShortText = field(default="", name="why")


class Decided(_Message, frozen=True, tag="Decided"):
    """The decided register, as `PolicyRegister` encodes it.

    Valid from any member, since each number is decided once.
    """

    register: RegisterText


class LeaseRequest(_Message, frozen=True, tag="Status"):
    """A holder's heartbeat and its request for a lease, which counts from `sent_ms`.

    What the holder knows to be decided binds it: it accepts no lease of an earlier number any more.
    """

    incarnation: Number = field(name="life")  # messages for, or of, another incarnation are ignored
    sent_ms: float
    known_number: NumberOrMinusOne = field(name="known")  # the last decided one that it knows
    # The last document that it had a lease for since its start.
    granted_number: NumberOrMinusOne = field(name="granted")


class DocumentAdopted(_Message, frozen=True, tag="Changed"):
    """A holder no longer acts by anything before this number; also a request for a lease."""

    incarnation: Number = field(name="life")
    sent_ms: float
    number: Number  # of the document that it has adopted
    granted_number: NumberOrMinusOne = field(default=-1, name="granted")  # as in `LeaseRequest`


class LeaseGrant(_Message, frozen=True, tag="Grant"):
    """The answer to one `LeaseRequest` or `DocumentAdopted`: a lease, or none where `lease_ms` is 0."""

    term: Number
    sequence: Number = field(name="turn")
    incarnation: Number = field(name="life")
    sent_ms: float
    number: Number
    lease_ms: Annotated[float, Meta(ge=0.0)]  # counts from `sent_ms`; 0: no lease
    # The document number of the open proposal; 0: none, so the holder discards what it has prepared.
    open_proposal_number: Number = field(default=0, name="open")
    register: RegisterText = ""  # given where the holder does not know the last decision


Message = (
    Propose
    | Rollback
    | Cancel
    | Prepare
    | Vote
    | Abort
    | Decided
    | LeaseRequest
    | DocumentAdopted
    | LeaseGrant
)
RequestMessage = Propose | Rollback | Cancel


def decode_message(data: object) -> Message:
    """The message in a decoded line; raises msgspec.ValidationError for anything else."""
    message: Message = msgspec.convert(data, Message, strict=True)
    return message


# --- the status of a member, sent to all that read its log ----------------------------------------

# The states of an operator's request, in their order. "asked": sent, and no leader has answered.
# "preparing": members vote on it. "ended": aborted, cancelled or timed out before a decision (final).
# "refused": the leader did not begin it (final). "decided": in the consensus log; it will come into force.
# "in force": no member acts by an earlier document any more (final).
RequestState = Literal["asked", "preparing", "ended", "refused", "decided", "in force"]
FINAL_STATES = ("ended", "refused", "in force")


class RequestOutcome(Struct, frozen=True):
    """The present state of an operator's request, made at front end `origin` under this request number."""

    origin: Annotated[str, Meta(max_length=48)] = field(name="by")
    request_number: Number = field(name="wish")
    state: RequestState
    number: Number = 0  # of the document; 0 while it has none
    reason: ShortText = field(default="", name="why")


class MemberStatus(Struct, frozen=True):
    """Read by operators and by whoever waits for an outcome.

    From `term` on, the fields are set by a leader's coordinator only.
    """

    ready: bool
    basis: Annotated[str, Meta(max_length=16)] = field(name="how")
    number: Number  # the last decided one that it knows
    digest: Annotated[str, Meta(max_length=32)]
    prepared: Number = 0  # the number of the document that it was asked to prepare; 0: none
    incarnation: Number = field(default=0, name="life")
    error: ShortText = field(default="", name="fault")  # of a decided document that it can't read
    # The operators' requests that were made at this member.
    submitted_requests: Annotated[tuple[RequestOutcome, ...], Meta(max_length=16)] = field(
        default=(), name="wishes"
    )
    dropped: Annotated[dict[str, int], Meta(max_length=64)] = field(default_factory=dict, name="counts")
    term: Number = 0  # that it leads; 0: it does not lead
    # The document number of the proposal that is being prepared or decided; 0: none.
    open_proposal_number: Number = field(default=0, name="open")
    # Some of the members whose vote on that proposal is missing.
    members_without_vote: Annotated[tuple[str, ...], Meta(max_length=8)] = field(default=(), name="missing")
    # Whether the document `number` is in force in the fleet: no lease of an earlier one is left.
    is_in_force: bool = field(default=False, name="settled")
    # The requests of all members that this leader has received.
    leader_outcomes: Annotated[tuple[RequestOutcome, ...], Meta(max_length=16)] = field(
        default=(), name="outcomes"
    )


def decode_member_status(data: object) -> MemberStatus:
    """The status in decoded data; raises msgspec.ValidationError for anything else."""
    return msgspec.convert(data, MemberStatus)


# --- effects: what the owner of a coordinator or a holder carries out ------------------------------

LEADER = "@leader"  # addresses whichever member leads the voters


class Send(Struct, frozen=True):
    """Effect: send a message to a member; LEADER stands for whichever member leads the voters."""

    to: Name
    message: Message


class ProposeRegister(Struct, frozen=True):
    """Effect: propose this register to the consensus log, once.

    `RolloutCoordinator.receive_decision` is called with the decision, or
    `RolloutCoordinator.proposal_not_logged` where the register never came into the log.
    """

    register: str


class StoreRegister(Struct, frozen=True):
    """Effect: write the register to disk, without haste.

    It serves people, and the limits of a front end that reaches no leader.
    """

    register: str


class ActivePolicy(Struct, frozen=True):
    """Effect: this front end decides calls by this policy from now on.

    `number` of a strict one is that of the later of its two documents.
    """

    number: int
    digest: str
    document: Document
    basis: PolicyBasisKind = "leased"


class RolloutLogEvent(Struct, frozen=True):
    """Effect: an entry for the operators' log."""

    event: str
    fields: dict[str, Any]


Effect = Send | ProposeRegister | StoreRegister | ActivePolicy | RolloutLogEvent
