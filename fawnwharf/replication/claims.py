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

from msgspec import Meta, Struct

OwnerId = Annotated[str, Meta(min_length=3, max_length=80, pattern=r"^[0-9A-Za-z_.:-]+#[0-9]+$")]
CallKey = Annotated[str, Meta(min_length=1, max_length=160)]


class ClaimPhase(IntEnum):
    """What an owner says of a call, by rising strictness where two records contradict each other."""

    CLEAR = 0  # it never ran here, and will not
    ANSWERED = 1  # it ran, and the client has, or may have, this answer
    FAILED = 2  # it may have run, and nothing more will be known
    TAKEN = 3  # it may run at any moment


class Claim(Struct, frozen=True, order=True, gc=False):  # thousands are held, of plain values
    """An owner's last word on one of its asks for a call: what it says of a later ask says nothing of an
    earlier one. `digest` is of the answer, also where that is too long to be kept."""

    owner: OwnerId
    ask: Annotated[int, Meta(ge=1)]  # the number of the ask
    number: Annotated[int, Meta(ge=1)]
    slot: Annotated[
        int, Meta(ge=0, le=1 << 53)
    ]  # second of the owner's clock in which it asked; a label only
    phase: ClaimPhase
    digest: Annotated[str, Meta(max_length=32)] = ""
    answer: Annotated[str, Meta(max_length=24_000)] | None = None  # base64

    @property
    def id(self) -> tuple[str, int]:
        return self.owner, self.ask

    @property
    def strictness(self) -> tuple[int, int, str, str, int]:
        """An order of all that can have been said on one ask, without ties; larger wins."""
        return self.number, int(self.phase), self.digest, self.answer or "", self.slot


def merge_claims(one: Claim, other: Claim) -> Claim:
    """Of two words of the same owner on the same ask, the one that stands."""
    return max(one, other, key=lambda claim: claim.strictness)


def contradicts(one: Claim, other: Claim) -> bool:
    """Whether an owner has said two things under one number; an answer dropped for room is no
    contradiction."""
    if one.number != other.number:
        return False
    same = (one.phase, one.digest, one.slot) == (other.phase, other.digest, other.slot)
    return not same or None not in (one.answer, other.answer) and one.answer != other.answer


class CallState(IntEnum):
    """How all claims on a call read for somebody who is asked for it again."""

    FREE = 0  # nobody has it
    ANSWERED = 1
    UNDER_WAY = 2  # its owner lives: an answer may come
    LOST = 3  # it may have run, and nobody will say what came of it
    CONFLICT = 4  # two answers that differ: at most one of them is what happened first


class ClaimSummary(Struct, frozen=True):
    standing: CallState
    claim: Claim | None = None  # the answered one, or the one that stands in the way
    all: tuple[Claim, ...] = ()


def summarize_claims(claims: list[Claim], alive: set[str]) -> ClaimSummary:
    """The strictest reading of others' claims; `alive` are owners that are heard."""
    live = sorted(claim for claim in claims if claim.phase is not ClaimPhase.CLEAR)
    answered = [claim for claim in live if claim.phase is ClaimPhase.ANSWERED]
    if len({claim.digest for claim in answered}) > 1:
        return ClaimSummary(CallState.CONFLICT, answered[0], tuple(live))
    if answered:
        kept = [claim for claim in answered if claim.answer is not None]
        return ClaimSummary(CallState.ANSWERED, (kept or answered)[0], tuple(live))
    under_way = [claim for claim in live if claim.phase is ClaimPhase.TAKEN and claim.owner in alive]
    if under_way:
        return ClaimSummary(CallState.UNDER_WAY, under_way[0], tuple(live))
    return ClaimSummary(CallState.LOST, live[0], tuple(live)) if live else ClaimSummary(CallState.FREE)
