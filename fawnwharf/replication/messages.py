"""The messages that front ends exchange about replicated calls, validated during decoding; no logic.

Each message is a line of its sender's log, addressed to the members that the line names. Lines arrive in
order, but are lost while a log is disconnected for long. A member that restarts begins a new incarnation with
new numbers.
"""

from typing import Annotated, Any

import msgspec
from msgspec import UNSET, Meta, Struct

from fawnwharf.replication.claims import CallKey, Claim, OwnerId, RequestContent
from fawnwharf.zones.settings import Name

Count = Annotated[int, Meta(ge=0, le=1 << 53)]
DurationMs = Annotated[float, Meta(ge=0.0, le=3_600_000.0)]
MAX_CHUNK_CLAIMS = 2_000
TenantName = Annotated[str, Meta(max_length=128)]
Digest = Annotated[str, Meta(max_length=32)]


# --- claims: between an owner and the replicas of its call --------------------------------------


class ClaimRequest(Struct, frozen=True, tag="ask"):
    """An owner requests a call from its replicas, which the membership with this number determines."""

    key: CallKey
    owner: OwnerId
    number: Annotated[int, Meta(ge=1)]
    membership_number: Count = msgspec.field(name="members")
    bucket: Count = msgspec.field(name="slot")
    content: RequestContent = UNSET


class ClaimUpdate(Struct, frozen=True, tag="tell"):
    """An owner's later statement about a call that it requested."""

    key: CallKey
    claim: Claim


class ClaimReply(Struct, frozen=True, tag="word"):
    """A replica's reply to a request, or its update to an owner that waits for another owner's call.

    `complete` is False if the replica may have lost claims, in which case missing claims prove nothing.
    """

    key: CallKey
    owner: OwnerId  # the recipient; a later incarnation of the same front end ignores the reply
    request_number: Count = msgspec.field(name="number")
    granted: bool
    complete: bool = msgspec.field(default=True, name="sure")
    # Of other requests, without released ones. An answer is only given to a request with the same content.
    claims: Annotated[tuple[Claim, ...], Meta(max_length=64)] = ()
    # The owners of these claims that are alive.
    live_owners: Annotated[tuple[OwnerId, ...], Meta(max_length=64)] = msgspec.field(default=(), name="alive")
    age_ms: DurationMs = 0.0  # time since the replica created its entry of the call


# --- state transfer: between replicas -----------------------------------------------------------


class BucketRange(Struct, frozen=True):
    """The digest buckets of one owner from `first` (inclusive) to `until` (exclusive)."""

    owner: OwnerId
    first: Count
    until: Count


class StateRequest(Struct, frozen=True, tag="want"):
    """A replica requests all claims of another replica, or those in some buckets.

    A replica that receives a request with a later membership than its own stops granting calls.
    """

    number: Count
    incarnation: Count = msgspec.field(name="life")  # of the replica that requests
    membership_number: Count = msgspec.field(default=0, name="members")
    # Empty: all claims.
    ranges: Annotated[tuple[BucketRange, ...], Meta(max_length=64)] = msgspec.field(default=(), name="wanted")


class StoredClaim(Struct, frozen=True):
    """A claim and its remaining lifetime at the sender."""

    key: CallKey
    claim: Claim
    remaining_ms: DurationMs = msgspec.field(name="left_ms")


class StateChunk(Struct, frozen=True, tag="piece"):
    """One chunk of the requested claims, with the digest of all chunks so far."""

    request_number: Count = msgspec.field(name="number")
    incarnation: Count = msgspec.field(name="life")  # of the replica that requested
    part: Count
    last: bool
    claims: Annotated[tuple[StoredClaim, ...], Meta(max_length=MAX_CHUNK_CLAIMS)] = msgspec.field(name="held")
    digest: Digest = ""
    # Whether the sender knows all claims that it should store.
    complete: bool = msgspec.field(default=True, name="sure")


class BucketDigest(Struct, frozen=True):
    """Contiguous digest buckets of one owner and the digest of all claims in them."""

    first: Count
    until: Count
    digest: Digest


class StoreDigests(Struct, frozen=True, tag="digests"):
    """The digests of the claims, by owner, that both the sender and the recipient should store."""

    buckets: Annotated[dict[OwnerId, BucketDigest], Meta(max_length=4_000)] = msgspec.field(name="slots")


class Hello(Struct, frozen=True, tag="hello"):
    """Identifies the sender as the reader that requested the log with this number."""

    reader_number: Count = msgspec.field(name="asked")


# --- tenants' usage -----------------------------------------------------------------------------


class UsageCounters(Struct, frozen=True, tag="use"):
    """The number of calls of each tenant that an owner received since it started."""

    number: Count
    counts: Annotated[dict[TenantName, Count], Meta(max_length=512)]


class UsageRates(Struct, frozen=True, tag="sums"):
    """Calls per second by tenant, summed over all front ends whose counters a replica receives."""

    rates: Annotated[dict[TenantName, Annotated[float, Meta(ge=0.0, le=1e9)]], Meta(max_length=512)]
    front_ends: Count = msgspec.field(name="heard")


# --- failing scorers ----------------------------------------------------------------------------

ScorerKey = Annotated[str, Meta(pattern=r"^[0-9]{1,12}$")]


class FailureReport(Struct, frozen=True, tag="named"):
    """The scorers whose recent attempts by an owner all failed, with the number of failures."""

    number: Count
    failures: Annotated[dict[ScorerKey, Count], Meta(max_length=64)] = msgspec.field(name="bad")


class ReportedOutliers(Struct, frozen=True, tag="hints"):
    """The scorers that several front ends report, with the number of these front ends."""

    scorers: Annotated[dict[ScorerKey, Count], Meta(max_length=64)]


# --- load reports -------------------------------------------------------------------------------

FunctionName = Annotated[str, Meta(max_length=256)]
ScorerNumber = Annotated[int, Meta(ge=0, le=1 << 40)]


class PendingLoad(Struct, frozen=True, array_like=True):
    """A load order in flight and its age."""

    scorer: ScorerNumber
    function: FunctionName
    age_ms: DurationMs


class ProvenCopy(Struct, frozen=True, array_like=True):
    """The number of copies that an answer proved (0: proved that there is none) and the proof's age."""

    scorer: ScorerNumber
    function: FunctionName
    copies: Annotated[int, Meta(ge=0, le=1_000)]
    age_ms: DurationMs


class LoadReport(Struct, frozen=True, tag="work"):
    """An owner's sends, load orders and proven copies; also requests the reports of the other owners."""

    number: Count
    # The number of the last answer received from each replica.
    last_answers: Annotated[dict[Name, Count], Meta(max_length=16)] = msgspec.field(
        default_factory=dict, name="after"
    )
    # The replica asked to answer with the others' reports; all other replicas only acknowledge.
    full_answer_from: Annotated[str, Meta(max_length=48)] = msgspec.field(default="", name="wants")
    since: Count = 0  # the number of the last full answer from that replica
    sent: Annotated[dict[ScorerKey, Count], Meta(max_length=64)] = {}  # to scorers in slow start, recently
    loading: Annotated[tuple[PendingLoad, ...], Meta(max_length=64)] = ()
    copies: Annotated[tuple[ProvenCopy, ...], Meta(max_length=96)] = ()  # those that changed
    omitted: Count = msgspec.field(default=0, name="cut")  # copies and loads beyond the limits above


class RemoteLoadReport(Struct, frozen=True, tag="others"):
    """A replica's answer to a load report: the reports of all other owners."""

    report_number: Count = msgspec.field(name="number")
    incarnation: Count = msgspec.field(name="life")  # of the report's owner
    answer_number: Count = msgspec.field(name="answer")
    # The number of front ends whose reports are included, plus the recipient; 0 in an acknowledgement.
    front_ends: Count = msgspec.field(default=0, name="heard")
    age_ms: DurationMs = 0.0  # of the oldest report included in `sent`
    sent: Annotated[dict[ScorerKey, Count], Meta(max_length=64)] = {}
    loading: Annotated[tuple[PendingLoad, ...], Meta(max_length=256)] = ()
    copies: Annotated[tuple[ProvenCopy, ...], Meta(max_length=256)] = ()  # changed since the answer `since`
    omitted: Count = msgspec.field(default=0, name="cut")


# --- status, other subsystems, and the line that carries all of them ----------------------------


class Status(Struct, frozen=True, tag="status"):
    """The status of a front end for operators."""

    counts: Annotated[dict[str, Count], Meta(max_length=64)]
    open_calls: Count = msgspec.field(default=0, name="open")  # own calls that are requested or running
    is_replica: bool = msgspec.field(default=False, name="keeps")
    complete: bool = msgspec.field(default=False, name="sure")
    calls: Count = 0
    answer_bytes: Count = msgspec.field(default=0, name="bytes")
    membership_number: Count = msgspec.field(default=0, name="members")
    # How long the latest calls waited for a quorum: median and 99th percentile.
    wait_ms: tuple[DurationMs, DurationMs] = (0.0, 0.0)
    sent_bytes: Count = 0  # to other members since the start
    # How long each followed log has been silent.
    lags_ms: Annotated[dict[Name, DurationMs], Meta(max_length=2_000)] = {}
    # Digests of all stored claims.
    buckets: Annotated[dict[OwnerId, BucketDigest], Meta(max_length=4_000)] = msgspec.field(
        default_factory=dict, name="slots"
    )


class ClientMessage(Struct, frozen=True, tag="ride"):
    """A message of another subsystem that uses these logs and validates the contents itself."""

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
    """An action: send a message to these members, or to all followers of the log if none is named."""

    recipients: tuple[str, ...]
    message: Message


class LogLine(Struct, frozen=True):
    """A line of a member's log of replicated state, for these recipients, or for all if none is named."""

    fleet: Name
    sender: Name
    incarnation: Count = msgspec.field(name="life")
    recipients: Annotated[tuple[Name, ...], Meta(max_length=16)] = msgspec.field(name="to")
    message: Message = msgspec.field(name="say")


def parse_line(data: Any) -> LogLine:
    """Convert decoded JSON to a line; raises msgspec.ValidationError for a line that no member writes."""
    return msgspec.convert(data, LogLine)
