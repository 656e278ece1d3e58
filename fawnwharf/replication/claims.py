"""Claims on one call: how differing versions merge, and what all of them together mean for the call.

A claim belongs to one request of one incarnation of one front end (its owner), which alone writes it, with
version numbers that only rise. Of two versions the larger one wins, so merging is commutative, associative
and idempotent. Two records of one owner with one version and different contents are a fault of a disk or of
memory: the stricter one wins, by an order that all replicas share, and the fault is reported.

Nothing here reads a clock: a sender states how long a claim still counts, and the receiver counts from the
arrival. A delay can only lengthen that time.
"""

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

OwnerId = Annotated[str, Meta(min_length=3, max_length=80, pattern=r"^[0-9A-Za-z_.:-]+#[0-9]+$")]
CallKey = Annotated[str, Meta(min_length=1, max_length=160)]
ClaimId = tuple[str, int]  # owner and number of the request


class ClaimPhase(IntEnum):
    """The phase of a call at its owner; where two records contradict each other, the larger one wins."""

    RELEASED = 0  # it did not run there and will not
    ANSWERED = 1  # it ran, and the client has, or may have, this answer
    FAILED = 2  # it may have run, and nothing more will be known
    GRANTED = 3  # it may run at any moment


class Claim(Struct, frozen=True, order=True, gc=False):  # thousands are stored, with plain values only
    """An owner's latest message on one of its requests for a call; it has no bearing on other requests.

    `digest` is that of the answer, also where the answer is too long to be stored; `answer` is base64.
    """

    owner: OwnerId
    request_number: Annotated[int, Meta(ge=1)] = msgspec.field(name="ask")
    version: Annotated[int, Meta(ge=1)] = msgspec.field(name="number")
    # The second of the owner's clock in which it requested the call; a label that is never compared with a
    # clock.
    bucket: Annotated[int, Meta(ge=0, le=1 << 53)] = msgspec.field(name="slot")
    phase: ClaimPhase
    digest: Annotated[str, Meta(max_length=32)] = ""
    answer: Annotated[str, Meta(max_length=24_000)] | None = None

    @property
    def claim_id(self) -> ClaimId:
        """Owner and number of the request: versions of one claim share it."""
        return self.owner, self.request_number

    @property
    def precedence(self) -> tuple[int, int, str, str, int]:
        """The key by which versions of one claim are ordered, without ties; the larger one wins."""
        return self.version, int(self.phase), self.digest, self.answer or "", self.bucket


def merge_claims(one: Claim, other: Claim) -> Claim:
    """Of two versions of one claim, the one that wins."""
    return max(one, other, key=lambda claim: claim.precedence)


def contradicts(one: Claim, other: Claim) -> bool:
    """Whether two claims of one version differ; an answer dropped for lack of space is no difference."""
    if one.version != other.version:
        return False
    if (one.phase, one.digest, one.bucket) != (other.phase, other.digest, other.bucket):
        return True
    return None not in (one.answer, other.answer) and one.answer != other.answer


class CallState(IntEnum):
    """What all claims on a call mean for a front end that gets a repeat of it."""

    FREE = 0  # no front end has it
    ANSWERED = 1
    RUNNING = 2  # its owner is alive, so an answer may come
    UNKNOWN = 3  # it may have run, and no front end will report the result
    CONFLICT = 4  # two different answers: at most one of them is what happened first


class ClaimSummary(Struct, frozen=True):
    """The state of a call, the claim that decides it, and all claims that are not released."""

    state: CallState
    claim: Claim | None = None
    active_claims: tuple[Claim, ...] = ()

    @property
    def answer(self) -> str | None:
        """The stored answer of an answered call, in base64; None where it is not stored."""
        return self.claim.answer if self.claim is not None else None


def summarize_claims(claims: list[Claim], live_owners: set[str]) -> ClaimSummary:
    """The strictest reading of these claims; an owner that is not alive answers nothing more."""
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
