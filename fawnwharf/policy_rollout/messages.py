"""Messages between rollout coordinators and lease holders, and the effects that both return to their owners.

Messages carry policy documents as text, so that a front end of another version can still read the rest of the
message and reject the proposal with the key that it does not know. Times are milliseconds of the holder's own
clock; the coordinator returns them unchanged.

A coordinator's messages carry its `term`, as in the consensus log, and a `sequence`, which increases whenever
a proposal begins or ends in that term. A message with a lower (term, sequence) pair is older and has no
effect on proposals.

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
NumberOrMinusOne = Annotated[int, Meta(ge=-1, lt=2**53)]  # a document number; -1: none
MAX_SHORT_TEXT = 300

# Which documents the policy of a front end is made of.
# "leased": the last decided document, under a lease.
# "strict": the stricter value of two documents, key by key, while it is unknown which one is in force.
# "floor": the last decided document with its limits halved, while no leader renews the lease.
# "waiting": as "floor", on a front end that has not received a decided document that it can read since its
# start; calls wait.
PolicyBasisKind = Literal["leased", "strict", "floor", "waiting"]


class _Message(Struct, frozen=True):
    """Base of all messages."""


class Propose(_Message, frozen=True, tag="Propose"):
    """An operator's proposal, from the front end that received it to the leader's coordinator.

    `request_number` identifies the request at that front end; a retry has the same number. `term` is the term
    of the leader that the request is addressed to.
    """

    text: Text
    request_number: Number = field(default=0, name="wish")
    term: Number = 0


class Rollback(_Message, frozen=True, tag="Back"):
    """An operator's request to roll back from document `number` to the previous one, as a new proposal."""

    number: Number
    request_number: Number = field(default=0, name="wish")
    term: Number = 0


class Cancel(_Message, frozen=True, tag="CallOff"):
    """An operator's request to abort the open proposal with this document number; 0 means any."""

    reason: ShortText = field(default="", name="why")
    number: Number = 0
    request_number: Number = field(default=0, name="wish")
    term: Number = 0


class Prepare(_Message, frozen=True, tag="Prepare"):
    """Asks a member whether it can apply this document, which is proposed but not decided."""

    term: Number
    sequence: Number = field(name="turn")
    number: Number
    text: Text


class Vote(_Message, frozen=True, tag="Vote"):
    """The answer to `Prepare`: yes, or no with the key and cause in `error`.

    A yes is valid for one incarnation of the member only: a restarted member has lost it.
    """

    incarnation: Number = field(name="life")
    term: Number
    sequence: Number = field(name="turn")
    number: Number
    error: ShortText = field(default="", name="fault")


class Abort(_Message, frozen=True, tag="Abort"):
    """The proposal will never be decided; receivers discard it."""

    term: Number
    sequence: Number = field(name="turn")
    number: Number
    reason: ShortText = field(default="", name="why")


class Decided(_Message, frozen=True, tag="Decided"):
    """The decided register, as encoded by `PolicyRegister`.

    It is valid from any sender, because each document number is decided only once.
    """

    register: RegisterText


class LeaseRequest(_Message, frozen=True, tag="Status"):
    """A holder's heartbeat and request for a lease, whose duration counts from `sent_ms`.

    The holder no longer accepts a lease for a document before `known_number`.
    """

    incarnation: Number = field(name="life")  # messages for or from another incarnation are ignored
    sent_ms: float
    known_number: NumberOrMinusOne = field(name="known")  # the last decided document that the holder knows
    # The last document that the holder has had a lease for since its start.
    granted_number: NumberOrMinusOne = field(name="granted")


class DocumentAdopted(_Message, frozen=True, tag="Changed"):
    """A holder no longer applies documents before this number; also a request for a lease."""

    incarnation: Number = field(name="life")
    sent_ms: float
    number: Number  # of the adopted document
    granted_number: NumberOrMinusOne = field(default=-1, name="granted")  # as in `LeaseRequest`


class LeaseGrant(_Message, frozen=True, tag="Grant"):
    """The answer to one `LeaseRequest` or `DocumentAdopted`: a lease, or none if `lease_ms` is 0."""

    term: Number
    sequence: Number = field(name="turn")
    incarnation: Number = field(name="life")
    sent_ms: float
    number: Number
    lease_ms: Annotated[float, Meta(ge=0.0)]  # counts from `sent_ms`; 0: no lease
    # The document number of the open proposal; 0: none, so the holder discards its prepared document.
    open_proposal_number: Number = field(default=0, name="open")
    register: RegisterText = ""  # set if the holder does not know the last decision


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
    """Convert decoded JSON to a message; raises msgspec.ValidationError for anything else."""
    message: Message = msgspec.convert(data, Message, strict=True)
    return message


# --- the status of a member, published to all readers of its log -----------------------------------

# The states of an operator's request.
# "asked": sent, but not answered by a leader yet.
# "preparing": members vote on it.
# "ended": aborted, cancelled or timed out before a decision (final).
# "refused": not accepted by the leader, or not valid at the front end where it was made (final).
# "decided": in the consensus log; it will come into force.
# "in force": no member applies an earlier document any more (final).
RequestState = Literal["asked", "preparing", "ended", "refused", "decided", "in force"]
FINAL_STATES = ("ended", "refused", "in force")


class RequestOutcome(Struct, frozen=True):
    """The state of an operator's request that was made at front end `origin` under `request_number`."""

    origin: Annotated[str, Meta(max_length=48)] = field(name="by")
    request_number: Number = field(name="wish")
    state: RequestState
    number: Number = 0  # the document number; 0 until one is assigned
    reason: ShortText = field(default="", name="why")


class MemberStatus(Struct, frozen=True):
    """A member's rollout status, for operators and for members that wait for the outcome of a request.

    The fields from `term` on are set only while the member's coordinator leads.
    """

    ready: bool
    basis: Annotated[str, Meta(max_length=16)] = field(name="how")
    number: Number  # of the last decided document that the member knows
    digest: Annotated[str, Meta(max_length=32)]
    prepared: Number = 0  # the number of the document that the member voted for; 0: none
    incarnation: Number = field(default=0, name="life")
    error: ShortText = field(default="", name="fault")  # why the member can't read the decided document
    # The operators' requests that were made at this member.
    submitted_requests: Annotated[tuple[RequestOutcome, ...], Meta(max_length=16)] = field(
        default=(), name="wishes"
    )
    dropped: Annotated[dict[str, int], Meta(max_length=64)] = field(default_factory=dict, name="counts")
    term: Number = 0  # the term in which the member leads; 0 while it does not lead
    # The document number of the proposal that is being prepared or decided; 0: none.
    open_proposal_number: Number = field(default=0, name="open")
    # The first few members whose vote on that proposal is missing.
    members_without_vote: Annotated[tuple[str, ...], Meta(max_length=8)] = field(default=(), name="missing")
    # Whether the document `number` is in force in the fleet: no lease for an earlier one is left.
    is_in_force: bool = field(default=False, name="settled")
    # The requests of all members that this leader has received.
    leader_outcomes: Annotated[tuple[RequestOutcome, ...], Meta(max_length=16)] = field(
        default=(), name="outcomes"
    )


def decode_member_status(data: object) -> MemberStatus:
    """Convert decoded JSON to a status; raises msgspec.ValidationError for anything else."""
    return msgspec.convert(data, MemberStatus)


# --- effects: carried out by the owner of a coordinator or a holder --------------------------------

LEADER = "@leader"  # a recipient: whichever member leads the voters


class Send(Struct, frozen=True):
    """Effect: send a message to a member, or to the leader if `to` is LEADER."""

    to: Name
    message: Message


class ProposeRegister(Struct, frozen=True):
    """Effect: propose this register to the consensus log, once.

    The owner then calls `RolloutCoordinator.receive_decision` with the decision, or
    `RolloutCoordinator.proposal_not_logged` if the register will never be in the log.
    """

    register: str


class StoreRegister(Struct, frozen=True):
    """Effect: write the register to disk; a delay does no harm.

    After a restart the stored register only gives the limits until a leader answers.
    """

    register: str


class ActivePolicy(Struct, frozen=True):
    """Effect: this front end applies this policy to new calls from now on.

    The number of a policy with the basis "strict" is that of the later of its two documents.
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
