"""What front ends say to each other about calls. Values, checked as they come in; no logic.

Each stands on a line of its sender's log, for those whom the line names. Lines are lost where a log breaks
for long; they come in order, but a keeper or an owner that starts again begins a new life with new numbers.
"""

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from fawnwharf.replication.claims import CallKey, Claim, OwnerId
from fawnwharf.zones.settings import Name

Count = Annotated[int, Meta(ge=0, le=1 << 53)]
DurationMs = Annotated[float, Meta(ge=0.0, le=3_600_000.0)]
MAX_CHUNK_CLAIMS = 2_000  # claims
TenantName = Annotated[str, Meta(max_length=128)]
Digest = Annotated[str, Meta(max_length=32)]


class ClaimRequest(Struct, frozen=True, tag="ask"):
    """An owner wants a call for itself. `members` is the number of the list that chose the keepers."""

    key: CallKey
    owner: OwnerId
    number: Annotated[int, Meta(ge=1)]
    members_number: Count = msgspec.field(name="members")
    bucket: Count = msgspec.field(name="slot")


class ClaimUpdate(Struct, frozen=True, tag="tell"):
    """An owner's later word on a call that it had asked for."""

    key: CallKey
    claim: Claim


class ClaimReply(Struct, frozen=True, tag="word"):
    """A keeper's answer to an Ask, or its news for one that waits for another's call."""

    key: CallKey
    owner: OwnerId  # that it is for: a later life of the same front end has no use of it
    request_number: Count = msgspec.field(name="number")  # of the Ask
    granted: bool
    complete: bool = msgspec.field(
        default=True, name="sure"
    )  # False: it does not know, as it may have forgotten; True: the claims are all it has
    claims: Annotated[tuple[Claim, ...], Meta(max_length=64)] = ()  # of others, that count
    live_owners: Annotated[tuple[OwnerId, ...], Meta(max_length=64)] = msgspec.field(
        default=(), name="alive"
    )  # of their owners
    age_ms: DurationMs = 0.0  # since the first of them came here


class BucketRange(Struct, frozen=True):
    """Slots of one owner."""

    owner: OwnerId
    first: Count
    until: Count


class StateRequest(Struct, frozen=True, tag="want"):
    """A keeper asks another one for all, or for some slots. `members` is the number of
    its list: who is asked by a later one than its own grants nothing more by that."""

    number: Count
    incarnation: Count = msgspec.field(name="life")  # of the one that asks
    members_number: Count = msgspec.field(default=0, name="members")
    ranges: Annotated[tuple[BucketRange, ...], Meta(max_length=64)] = msgspec.field(
        default=(), name="wanted"
    )  # none: all


class StoredClaim(Struct, frozen=True):
    key: CallKey
    claim: Claim
    remaining_ms: DurationMs = msgspec.field(name="left_ms")


class StateChunk(Struct, frozen=True, tag="piece"):
    """A part of what a keeper holds. The last one has the digest of all parts."""

    request_number: Count = msgspec.field(name="number")  # of the Want
    incarnation: Count = msgspec.field(
        name="life"
    )  # of the one that asked: what a life before it wanted is no answer to this one
    part: Count
    last: bool
    claims: Annotated[tuple[StoredClaim, ...], Meta(max_length=MAX_CHUNK_CLAIMS)] = msgspec.field(name="held")
    digest: Digest = ""
    complete: bool = msgspec.field(default=True, name="sure")  # the sender knows all that it should


class BucketDigest(Struct, frozen=True):
    """Neighbouring slots of one owner, and what all that is held of them sums up to."""

    first: Count
    until: Count
    digest: Digest


class StoreDigests(Struct, frozen=True, tag="digests"):
    """What a keeper holds that another one should hold too, by owner."""

    buckets: Annotated[dict[OwnerId, BucketDigest], Meta(max_length=4_000)] = msgspec.field(name="slots")


class Hello(Struct, frozen=True, tag="hello"):
    """Who it is that asked for a log since this number: from then on it need not be told what is for
    others."""

    reader_number: Count = msgspec.field(name="asked")


class UsageCounters(Struct, frozen=True, tag="use"):
    """How many calls of each tenant came to an owner since it started."""

    number: Count
    counts: Annotated[dict[TenantName, Count], Meta(max_length=512)]


class UsageRates(Struct, frozen=True, tag="sums"):
    """Calls a second by tenant, of as many front ends as a keeper hears."""

    rates: Annotated[dict[TenantName, Annotated[float, Meta(ge=0.0, le=1e9)]], Meta(max_length=512)]
    front_ends: Count = msgspec.field(name="heard")


ScorerKey = Annotated[str, Meta(pattern=r"^[0-9]{1,12}$")]


class FailureReport(Struct, frozen=True, tag="named"):
    """Scorers that gave an owner bad signs alone, lately, and how many."""

    number: Count
    failures: Annotated[dict[ScorerKey, Count], Meta(max_length=64)] = msgspec.field(name="bad")


class ReportedOutliers(Struct, frozen=True, tag="hints"):
    """Scorers that several front ends name, and how many."""

    scorers: Annotated[dict[ScorerKey, Count], Meta(max_length=64)]


Function = Annotated[str, Meta(max_length=256)]
ScorerNumber = Annotated[int, Meta(ge=0, le=1 << 40)]  # a scorer's


class PendingLoad(Struct, frozen=True, array_like=True):
    """An order to load that is under way, and since when."""

    scorer: ScorerNumber
    function: Function
    age_ms: DurationMs


class ProvenCopy(Struct, frozen=True, array_like=True):
    """Copies that an answer proved, 0 where it proved that none stands, and how long ago."""

    scorer: ScorerNumber
    function: Function
    copies: Annotated[int, Meta(ge=0, le=1_000)]
    age_ms: DurationMs


class LoadReport(Struct, frozen=True, tag="work"):
    """What an owner has sent and ordered, and what that proved. It asks for what others have."""

    number: Count
    last_answers: Annotated[dict[Name, Count], Meta(max_length=16)] = msgspec.field(
        default_factory=dict, name="after"
    )  # last answer had of each keeper
    full_answer_from: Annotated[str, Meta(max_length=48)] = msgspec.field(
        default="", name="wants"
    )  # keeper that is to tell all; the others only answer
    since: Count = 0  # last answer of that one that told all
    sent: Annotated[dict[ScorerKey, Count], Meta(max_length=64)] = {}  # to cold scorers, of late
    loading: Annotated[tuple[PendingLoad, ...], Meta(max_length=64)] = ()
    copies: Annotated[tuple[ProvenCopy, ...], Meta(max_length=96)] = ()  # news
    omitted: Count = msgspec.field(default=0, name="cut")  # copies and loads that found no room


class RemoteLoadReport(Struct, frozen=True, tag="others"):
    """A keeper's answer to a Work: what all others have, without what its owner has."""

    report_number: Count = msgspec.field(name="number")  # of the Work
    incarnation: Count = msgspec.field(name="life")  # of its owner
    answer_number: Count = msgspec.field(name="answer")
    front_ends: Count = msgspec.field(
        default=0, name="heard"
    )  # front ends, the one that asks among them; 0: another keeper tells all
    age_ms: DurationMs = 0.0  # of the oldest word that the sends rest on
    sent: Annotated[dict[ScorerKey, Count], Meta(max_length=64)] = {}
    loading: Annotated[tuple[PendingLoad, ...], Meta(max_length=256)] = ()
    copies: Annotated[tuple[ProvenCopy, ...], Meta(max_length=256)] = ()  # news since the answer that was had
    omitted: Count = msgspec.field(default=0, name="cut")


class Status(Struct, frozen=True, tag="status"):
    """How a front end stands, for operators."""

    counts: Annotated[dict[str, Count], Meta(max_length=64)]
    open_calls: Count = msgspec.field(default=0, name="open")  # own calls that are asked for or under way
    is_replica: bool = msgspec.field(default=False, name="keeps")
    complete: bool = msgspec.field(default=False, name="sure")
    calls: Count = 0
    answer_bytes: Count = msgspec.field(default=0, name="bytes")
    members_number: Count = msgspec.field(default=0, name="members")
    wait_ms: tuple[DurationMs, DurationMs] = (
        0.0,
        0.0,
    )  # of its last calls before they went: median, 99th percentile
    sent_bytes: Count = 0  # to others, since its start
    lags_ms: Annotated[
        dict[Name, DurationMs], Meta(max_length=2_000)
    ] = {}  # since each followed log gave a sign
    buckets: Annotated[dict[OwnerId, BucketDigest], Meta(max_length=4_000)] = msgspec.field(
        default_factory=dict, name="slots"
    )  # of all that is kept


class ClientMessage(Struct, frozen=True, tag="ride"):
    """A word of another subsystem that goes by these logs: its own messages check what it says."""

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
    """Something for one, or for a few."""

    recipients: tuple[str, ...] = msgspec.field(name="to")
    message: Message


class LogLine(Struct, frozen=True):
    """One line of a member's log of state."""

    fleet: Name
    sender: Name
    incarnation: Count = msgspec.field(name="life")
    recipients: Annotated[tuple[Name, ...], Meta(max_length=16)] = msgspec.field(
        name="to"
    )  # none: for anybody
    message: Message = msgspec.field(name="say")


def parse_line(data: Any) -> LogLine:
    """Raises msgspec.ValidationError for what no member says."""
    return msgspec.convert(data, LogLine)
