"""Claims on one call: how their versions merge, and the state of the call that follows from all of them.

A claim belongs to one request of one incarnation of a front end, its owner. Only the owner writes it, with
increasing version numbers. The larger of two versions wins, so merging is commutative, associative and
idempotent. Two records with the same owner and version but different contents indicate a disk or memory
fault: the stricter one wins, by an order that all replicas share, and the fault is reported.

Nothing here reads a clock. A sender states how long a claim remains valid, and the receiver counts that time
from the arrival, so a delay can only extend the validity.
"""

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

OwnerId = Annotated[str, Meta(min_length=3, max_length=80, pattern=r"^[0-9A-Za-z_.:-]+#[0-9]+$")]
CallKey = Annotated[str, Meta(min_length=1, max_length=160)]
ClaimId = tuple[str, int]  # owner and number of the request


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

    @property
    def claim_id(self) -> ClaimId:
        """Owner and request number, shared by all versions of one claim."""
        return self.owner, self.request_number

    @property
    def precedence(self) -> tuple[int, int, str, str, int]:
        """The sort key of the versions of one claim, a total order in which the largest wins."""
        return self.version, int(self.phase), self.digest, self.answer or "", self.bucket


def merge_claims(one: Claim, other: Claim) -> Claim:
    """The winning one of two versions of a claim."""
    return max(one, other, key=lambda claim: claim.precedence)


def contradicts(one: Claim, other: Claim) -> bool:
    """Whether two claims of one version differ, ignoring an answer dropped for lack of space."""
    if one.version != other.version:
        return False
    if (one.phase, one.digest, one.bucket) != (other.phase, other.digest, other.bucket):
        return True
    return None not in (one.answer, other.answer) and one.answer != other.answer


class CallState(IntEnum):
    """The state of a call as seen by a front end that receives a repeat of it."""

    FREE = 0  # no front end has claimed it
    ANSWERED = 1
    RUNNING = 2  # its owner is alive, so an answer may follow
    UNKNOWN = 3  # it may have run, and no front end will report the result
    CONFLICT = 4  # two different answers, at most one of which is from the first run


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
