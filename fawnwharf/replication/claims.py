"""What the fleet knows of one call, by who said it: claims, how differing copies merge, and how they read.

A claim belongs to one ask of one life of one front end, which alone writes it, with numbers that only rise.
So of two copies the one with the larger number stands. That is commutative,
associative and idempotent. Two records of one owner with one number and different contents are a fault (a
disk or a memory that went wrong); the stricter one stands, by an order that all share, and it is told.

Nothing here has a clock: `left_ms` is how long a claim still counts at the one who says so, and whoever takes
it over counts from when it came. A delay can only lengthen a window.
"""

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

OwnerId = Annotated[str, Meta(min_length=3, max_length=80, pattern=r"^[0-9A-Za-z_.:-]+#[0-9]+$")]
CallKey = Annotated[str, Meta(min_length=1, max_length=160)]


class ClaimPhase(IntEnum):
    """What an owner says of a call, by rising strictness where two records contradict each other."""

    RELEASED = 0  # it never ran here, and will not
    ANSWERED = 1  # it ran, and the client has, or may have, this answer
    FAILED = 2  # it may have run, and nothing more will be known
    GRANTED = 3  # it may run at any moment


class Claim(Struct, frozen=True, order=True, gc=False):  # thousands are held, of plain values
    """An owner's last word on one of its asks for a call: what it says of a later ask says nothing of an
    earlier one. `digest` is of the answer, also where that is too long to be kept."""

    owner: OwnerId
    request_number: Annotated[int, Meta(ge=1)] = msgspec.field(name="ask")  # the number of the ask
    version: Annotated[int, Meta(ge=1)] = msgspec.field(name="number")
    bucket: Annotated[int, Meta(ge=0, le=1 << 53)] = msgspec.field(
        name="slot"
    )  # second of the owner's clock in which it asked; a label only
    phase: ClaimPhase
    digest: Annotated[str, Meta(max_length=32)] = ""
    answer: Annotated[str, Meta(max_length=24_000)] | None = None  # base64

    @property
    def claim_id(self) -> tuple[str, int]:
        return self.owner, self.request_number

    @property
    def precedence(self) -> tuple[int, int, str, str, int]:
        """An order of all that can have been said on one ask, without ties; larger wins."""
        return self.version, int(self.phase), self.digest, self.answer or "", self.bucket


def merge_claims(one: Claim, other: Claim) -> Claim:
    """Of two words of the same owner on the same ask, the one that stands."""
    return max(one, other, key=lambda claim: claim.precedence)


def contradicts(one: Claim, other: Claim) -> bool:
    """Whether an owner has said two things under one number; an answer dropped for room is no
    contradiction."""
    if one.version != other.version:
        return False
    same = (one.phase, one.digest, one.bucket) == (other.phase, other.digest, other.bucket)
    return not same or None not in (one.answer, other.answer) and one.answer != other.answer


class CallState(IntEnum):
    """How all claims on a call read for somebody who is asked for it again."""

    FREE = 0  # nobody has it
    ANSWERED = 1
    RUNNING = 2  # its owner lives: an answer may come
    UNKNOWN = 3  # it may have run, and nobody will say what came of it
    CONFLICT = 4  # two answers that differ: at most one of them is what happened first


class ClaimSummary(Struct, frozen=True):
    state: CallState = msgspec.field(name="standing")
    claim: Claim | None = None  # the answered one, or the one that stands in the way
    active_claims: tuple[Claim, ...] = msgspec.field(default=(), name="all")


def summarize_claims(claims: list[Claim], alive: set[str]) -> ClaimSummary:
    """The strictest reading of others' claims; `alive` are owners that are heard."""
    live = sorted(claim for claim in claims if claim.phase is not ClaimPhase.RELEASED)
    answered = [claim for claim in live if claim.phase is ClaimPhase.ANSWERED]
    if len({claim.digest for claim in answered}) > 1:
        return ClaimSummary(CallState.CONFLICT, answered[0], tuple(live))
    if answered:
        kept = [claim for claim in answered if claim.answer is not None]
        return ClaimSummary(CallState.ANSWERED, (kept or answered)[0], tuple(live))
    under_way = [claim for claim in live if claim.phase is ClaimPhase.GRANTED and claim.owner in alive]
    if under_way:
        return ClaimSummary(CallState.RUNNING, under_way[0], tuple(live))
    return ClaimSummary(CallState.UNKNOWN, live[0], tuple(live)) if live else ClaimSummary(CallState.FREE)
