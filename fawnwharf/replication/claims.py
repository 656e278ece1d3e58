"""Claims on one call: how their versions merge, and the state of the call that follows from all of them.

A claim belongs to one request of one incarnation of a front end, its owner. Only the owner writes it, with
increasing version numbers. The larger of two versions wins, so merging is commutative, associative and
idempotent. Two records of one version that differ indicate a disk or memory fault: the stricter one wins, by
an order that all replicas share, and the fault is reported.

Requests may share the key of a call although they ask for different things: clients choose call ids and
idempotency keys. A claim therefore states the content of its request, and an answer is given only to requests
with the same content. Versions of this program that state no content leave it unset.

Nothing here reads a clock. A sender states how long a claim remains valid, and the receiver counts that time
from the arrival, so a delay can only extend the validity.
"""

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType

OwnerId = Annotated[str, Meta(min_length=3, max_length=80, pattern=r"^[0-9A-Za-z_.:-]+#[0-9]+$")]
CallKey = Annotated[str, Meta(min_length=1, max_length=160)]
ClaimId = tuple[str, int]  # owner and number of the request
ContentDigest = Annotated[str, Meta(min_length=1, max_length=32)]
RequestContent = ContentDigest | UnsetType  # the digest of what a request asks for, unset if it is not known


class ClaimPhase(IntEnum):
    """The phase of a call at its owner; the larger one wins if two records contradict each other."""

    RELEASED = 0  # the owner did not run it and will not
    ANSWERED = 1  # it ran, and the client may have received this answer
    FAILED = 2  # it may have run, and its result will never be known
    GRANTED = 3  # the owner may run it at any time


# Thousands of claims are stored. They contain only plain values, so the garbage collector can skip them.
class Claim(Struct, frozen=True, order=True, gc=False):
    """An owner's latest statement about one of its requests for a call, independent of other requests.

    `digest` is the digest of the answer, even if the answer is too long to be stored. `answer` is base64.
    """

    owner: OwnerId
    request_number: Annotated[int, Meta(ge=1)] = msgspec.field(name="ask")
    version: Annotated[int, Meta(ge=1)] = msgspec.field(name="number")
    # The second of the owner's clock in which it requested the call. It is only a label and is never compared
    # with a clock.
    bucket: Annotated[int, Meta(ge=0, le=1 << 53)] = msgspec.field(name="slot")
    phase: ClaimPhase
    digest: Annotated[str, Meta(max_length=32)] = ""
    answer: Annotated[str, Meta(max_length=24_000)] | None = None
    content: RequestContent = UNSET  # the same in all versions of a claim

    @property
    def claim_id(self) -> ClaimId:
        """Owner and request number, shared by all versions of one claim."""
        return self.owner, self.request_number

    @property
    def precedence(self) -> tuple[int, int, str, str, int]:
        """The sort key of the versions of one claim, a total order in which the largest wins."""
        return self.version, int(self.phase), self.digest, self.answer or "", self.bucket


def merge_claims(one: Claim, other: Claim) -> Claim:
    """The winning one of two versions of a claim, with the content that either of them states."""
    winner = max(one, other, key=lambda claim: claim.precedence)
    content = _merge_content(one.content, other.content)
    return winner if winner.content == content else msgspec.structs.replace(winner, content=content)


def _merge_content(one: RequestContent, other: RequestContent) -> RequestContent:
    """The content that is known; if both are and differ, which is a fault, the larger one."""
    if one is UNSET:
        return other
    return one if other is UNSET else max(one, other)


def contradicts(one: Claim, other: Claim) -> bool:
    """Whether two claims of one version differ, ignoring an answer or content that one of them lacks."""
    if one.version != other.version:
        return False
    if (one.phase, one.digest, one.bucket) != (other.phase, other.digest, other.bucket):
        return True
    if UNSET not in (one.content, other.content) and one.content != other.content:
        return True
    return None not in (one.answer, other.answer) and one.answer != other.answer


class CallState(IntEnum):
    """The state of a call as seen by a front end that receives a repeat of it."""

    FREE = 0  # no front end has claimed it
    ANSWERED = 1
    RUNNING = 2  # its owner is alive, so an answer may follow
    UNKNOWN = 3  # it may have run, and no front end will report the result
    CONFLICT = 4  # two different answers, at most one of which is from the first run
    KEY_IN_USE = 5  # only requests with other content have used its key


class ClaimSummary(Struct, frozen=True):
    """The state of a call, the claim that determines it, and all claims that are not released."""

    state: CallState
    claim: Claim | None = None
    active_claims: tuple[Claim, ...] = ()

    @property
    def answer(self) -> str | None:
        """The answer of an answered call, in base64; None if it is not stored."""
        return self.claim.answer if self.claim is not None else None


def summarize_claims(claims: list[Claim], live_owners: set[str]) -> ClaimSummary:
    """Derive the strictest state that these claims allow; an owner that is not alive will not answer."""
    active = sorted(claim for claim in claims if claim.phase is not ClaimPhase.RELEASED)
    answered = [claim for claim in active if claim.phase is ClaimPhase.ANSWERED]
    if len({claim.digest for claim in answered}) > 1:
        return ClaimSummary(CallState.CONFLICT, answered[0], tuple(active))
    if answered:
        with_answer = [claim for claim in answered if claim.answer is not None]
        return ClaimSummary(CallState.ANSWERED, (with_answer or answered)[0], tuple(active))
    running = [claim for claim in active if claim.phase is ClaimPhase.GRANTED and claim.owner in live_owners]
    if running:
        return ClaimSummary(CallState.RUNNING, running[0], tuple(active))
    return (
        ClaimSummary(CallState.UNKNOWN, active[0], tuple(active)) if active else ClaimSummary(CallState.FREE)
    )


def summarize_for_request(
    claims: list[Claim], live_owners: set[str], content: RequestContent
) -> ClaimSummary:
    """Derive the strictest state that these claims allow for a request with this content.

    The claims of requests with the same content decide. A claim of unknown content may be of the same
    request, so the call may have run, but its answer may be that of another request.
    """
    if not claims:
        return ClaimSummary(CallState.FREE)
    summary = summarize_claims([claim for claim in claims if claim.content == content], live_owners)
    if summary.state is not CallState.FREE:
        return summary
    summary = summarize_claims([claim for claim in claims if claim.content is UNSET], live_owners)
    if summary.state in (CallState.ANSWERED, CallState.CONFLICT):
        return msgspec.structs.replace(summary, state=CallState.UNKNOWN)
    if summary.state is not CallState.FREE:
        return summary
    summary = summarize_claims(claims, live_owners)
    if summary.state is CallState.FREE:
        return summary
    return msgspec.structs.replace(summary, state=CallState.KEY_IN_USE)
