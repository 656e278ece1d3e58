"""Messages between front ends on replicated calls, checked as they are decoded; no logic.

Each message stands on a line of its sender's log, for the members that the line names. Lines are lost where a
log is disconnected for long. They arrive in order, but a member that restarts begins a new incarnation with
new numbers.
"""

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from fawnwharf.replication.claims import CallKey, Claim, OwnerId
from fawnwharf.zones.settings import Name

Count = Annotated[int, Meta(ge=0, le=1 << 53)]
DurationMs = Annotated[float, Meta(ge=0.0, le=3_600_000.0)]
MAX_CHUNK_CLAIMS = 2_000
TenantName = Annotated[str, Meta(max_length=128)]
Digest = Annotated[str, Meta(max_length=32)]


# --- claims: between an owner and the replicas of its call --------------------------------------


class ClaimRequest(Struct, frozen=True, tag="ask"):
    """An owner requests a call for itself, of the replicas that the membership of this number chooses."""

    key: CallKey
    owner: OwnerId
    number: Annotated[int, Meta(ge=1)]
    membership_number: Count = msgspec.field(name="members")
    bucket: Count = msgspec.field(name="slot")


class ClaimUpdate(Struct, frozen=True, tag="tell"):
    """An owner's later message on a call that it had requested."""

    key: CallKey
    claim: Claim


class ClaimReply(Struct, frozen=True, tag="word"):
    """A replica's reply to a request, or its update to an owner that waits for another's call.

    `complete` is False where the replica may have forgotten claims, so that `claims` proves nothing.
    """

    key: CallKey
    owner: OwnerId  # whom it is for: a later incarnation of the same front end ignores it
    request_number: Count = msgspec.field(name="number")
    granted: bool
    complete: bool = msgspec.field(default=True, name="sure")
    claims: Annotated[tuple[Claim, ...], Meta(max_length=64)] = ()  # of other requests, not released
    # Those owners of the claims that are alive.
    live_owners: Annotated[tuple[OwnerId, ...], Meta(max_length=64)] = msgspec.field(default=(), name="alive")
    age_ms: DurationMs = 0.0  # since the first of the claims arrived at the replica


# --- state transfer: between replicas -----------------------------------------------------------


class BucketRange(Struct, frozen=True):
    """Digest buckets of one owner, from `first` up to and without `until`."""

    owner: OwnerId
    first: Count
    until: Count


class StateRequest(Struct, frozen=True, tag="want"):
    """A replica requests all claims of another one, or those of some buckets.

    A replica that gets a request by a later membership than its own grants nothing more by its own.
    """

    number: Count
    incarnation: Count = msgspec.field(name="life")  # of the replica that requests
    membership_number: Count = msgspec.field(default=0, name="members")
    # Empty: all claims.
    ranges: Annotated[tuple[BucketRange, ...], Meta(max_length=64)] = msgspec.field(default=(), name="wanted")


class StoredClaim(Struct, frozen=True):
    """A claim, and how long it still counts at the sender."""

    key: CallKey
    claim: Claim
    remaining_ms: DurationMs = msgspec.field(name="left_ms")


class StateChunk(Struct, frozen=True, tag="piece"):
    """A part of the requested claims, with the digest of all parts so far."""

    request_number: Count = msgspec.field(name="number")
    incarnation: Count = msgspec.field(name="life")  # of the replica that requested
    part: Count
    last: bool
    claims: Annotated[tuple[StoredClaim, ...], Meta(max_length=MAX_CHUNK_CLAIMS)] = msgspec.field(name="held")
    digest: Digest = ""
    complete: bool = msgspec.field(default=True, name="sure")  # the sender knows all that it should


class BucketDigest(Struct, frozen=True):
    """Adjacent digest buckets of one owner, and the digest of all claims in them."""

    first: Count
    until: Count
    digest: Digest


class StoreDigests(Struct, frozen=True, tag="digests"):
    """What a replica stores that another one should store, too, by owner."""

    buckets: Annotated[dict[OwnerId, BucketDigest], Meta(max_length=4_000)] = msgspec.field(name="slots")


class Hello(Struct, frozen=True, tag="hello"):
    """The sender is the reader that requested a log since this number; it needs no lines for others."""

    reader_number: Count = msgspec.field(name="asked")


# --- tenants' usage -----------------------------------------------------------------------------


class UsageCounters(Struct, frozen=True, tag="use"):
    """How many calls of each tenant came to an owner since it started."""

    number: Count
    counts: Annotated[dict[TenantName, Count], Meta(max_length=512)]


class UsageRates(Struct, frozen=True, tag="sums"):
    """Calls a second by tenant, over all front ends that a replica receives counters of."""

    rates: Annotated[dict[TenantName, Annotated[float, Meta(ge=0.0, le=1e9)]], Meta(max_length=512)]
    front_ends: Count = msgspec.field(name="heard")


# --- failing scorers ----------------------------------------------------------------------------

ScorerKey = Annotated[str, Meta(pattern=r"^[0-9]{1,12}$")]


class FailureReport(Struct, frozen=True, tag="named"):
    """Scorers of which an owner has seen only failures of late, and how many."""

    number: Count
    failures: Annotated[dict[ScorerKey, Count], Meta(max_length=64)] = msgspec.field(name="bad")


class ReportedOutliers(Struct, frozen=True, tag="hints"):
    """Scorers that several front ends report, and how many front ends do."""

    scorers: Annotated[dict[ScorerKey, Count], Meta(max_length=64)]


# --- load reports -------------------------------------------------------------------------------

FunctionName = Annotated[str, Meta(max_length=256)]
ScorerNumber = Annotated[int, Meta(ge=0, le=1 << 40)]


class PendingLoad(Struct, frozen=True, array_like=True):
    """A load order in flight, and since when."""

    scorer: ScorerNumber
    function: FunctionName
    age_ms: DurationMs


class ProvenCopy(Struct, frozen=True, array_like=True):
    """How many copies an answer proved, 0 where it proved that there is none, and how long ago."""

    scorer: ScorerNumber
    function: FunctionName
    copies: Annotated[int, Meta(ge=0, le=1_000)]
    age_ms: DurationMs


class LoadReport(Struct, frozen=True, tag="work"):
    """What an owner has sent and ordered, and which copies that proved; a request for the others', too."""

    number: Count
    # The number of the last answer received from each replica.
    last_answers: Annotated[dict[Name, Count], Meta(max_length=16)] = msgspec.field(
        default_factory=dict, name="after"
    )
    # The replica that is to answer with the others' reports; the rest only acknowledges.
    full_answer_from: Annotated[str, Meta(max_length=48)] = msgspec.field(default="", name="wants")
    since: Count = 0  # the last such answer of that replica
    sent: Annotated[dict[ScorerKey, Count], Meta(max_length=64)] = {}  # to scorers in slow start, recently
    loading: Annotated[tuple[PendingLoad, ...], Meta(max_length=64)] = ()
    copies: Annotated[tuple[ProvenCopy, ...], Meta(max_length=96)] = ()  # those that changed
    omitted: Count = msgspec.field(default=0, name="cut")  # copies and loads beyond the limits above


class RemoteLoadReport(Struct, frozen=True, tag="others"):
    """A replica's answer to a load report: what all other owners have reported."""

    report_number: Count = msgspec.field(name="number")
    incarnation: Count = msgspec.field(name="life")  # of the report's owner
    answer_number: Count = msgspec.field(name="answer")
    # Front ends whose reports it rests on, with the one that reports; 0 in a mere acknowledgement.
    front_ends: Count = msgspec.field(default=0, name="heard")
    age_ms: DurationMs = 0.0  # of the oldest report that `sent` rests on
    sent: Annotated[dict[ScorerKey, Count], Meta(max_length=64)] = {}
    loading: Annotated[tuple[PendingLoad, ...], Meta(max_length=256)] = ()
    copies: Annotated[tuple[ProvenCopy, ...], Meta(max_length=256)] = ()  # changed since the answer `since`
    omitted: Count = msgspec.field(default=0, name="cut")


# --- status, other subsystems, and the line that carries all of them ----------------------------


class Status(Struct, frozen=True, tag="status"):
    """The state of a front end, for operators."""

    counts: Annotated[dict[str, Count], Meta(max_length=64)]
    open_calls: Count = msgspec.field(default=0, name="open")  # own calls that are requested or running
    is_replica: bool = msgspec.field(default=False, name="keeps")
    complete: bool = msgspec.field(default=False, name="sure")
    calls: Count = 0
    answer_bytes: Count = msgspec.field(default=0, name="bytes")
    membership_number: Count = msgspec.field(default=0, name="members")
    # How long its last calls waited for a quorum: median and 99th percentile.
    wait_ms: tuple[DurationMs, DurationMs] = (0.0, 0.0)
    sent_bytes: Count = 0  # to other members, since its start
    # How long each followed log has been silent.
    lags_ms: Annotated[dict[Name, DurationMs], Meta(max_length=2_000)] = {}
    # Digests of all stored claims.
    buckets: Annotated[dict[OwnerId, BucketDigest], Meta(max_length=4_000)] = msgspec.field(
        default_factory=dict, name="slots"
    )


class ClientMessage(Struct, frozen=True, tag="ride"):
    """A message of another subsystem that uses these logs; that subsystem checks its contents."""

    client: Name = msgspec.field(name="rider")
    message: Any = msgspec.field(name="word")


Message = (
    Status
    | Hello
    | UsageCounters
    | UsageRates
    | FailureReport
    | ReportedOutliers
    | LoadReport
    | RemoteLoadReport
    | ClaimRequest
    | ClaimUpdate
    | ClaimReply
    | StateRequest
    | StateChunk
    | StoreDigests
    | ClientMessage
)


class Send(Struct, frozen=True):
    """The action to send a message to these members; to all that follow the log where none is named."""

    recipients: tuple[str, ...]
    message: Message


class LogLine(Struct, frozen=True):
    """One line of a member's log of replicated state, for these members or, where none is named, for all."""

    fleet: Name
    sender: Name
    incarnation: Count = msgspec.field(name="life")
    recipients: Annotated[tuple[Name, ...], Meta(max_length=16)] = msgspec.field(name="to")
    message: Message = msgspec.field(name="say")


def parse_line(data: Any) -> LogLine:
    """The line of this decoded JSON; raises msgspec.ValidationError for what no member writes."""
    return msgspec.convert(data, LogLine)
