"""What front ends say to each other about loads and cold scorers' calls, by the logs of state. Values,
checked as they come; no logic.

Words may be lost, and what a life before said may come late. So each answer names what it answers, and what
is told of copies is numbered by whoever tells it.
"""

from enum import IntEnum
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

MAX_FUNCTIONS_PER_MESSAGE = 200  # of one word
MAX_PERMITS_PER_REQUEST = 256  # asked for at a time, of one scorer

Count = Annotated[int, Meta(ge=0, le=1 << 53)]
Span = Annotated[float, Meta(ge=0.0, le=3_600_000.0)]
FunctionName = Annotated[str, Meta(min_length=1, max_length=128)]
ClassName = Annotated[str, Meta(min_length=1, max_length=128)]


class LoadRequest(Struct, frozen=True, array_like=True):
    """A function that calls here want: its class, what they are worth a second, and what an order takes."""

    row: FunctionName
    kind: ClassName
    worth_ps: Annotated[float, Meta(ge=0.0, le=1e12)]
    lanes: Annotated[int, Meta(ge=1, le=4_096)] = 1
    load_ms: Span | None = None
    lost: Count | None = None  # the scorer where a copy was told to stand, and does not


class LoadRequests(Struct, frozen=True, tag="want"):
    """To the loader of these functions."""

    rows: Annotated[tuple[LoadRequest, ...], Meta(max_length=MAX_FUNCTIONS_PER_MESSAGE)]


class CopyPlacement(Struct, frozen=True, array_like=True):
    """A function's first copy: where it stands (`eta_ms` 0), in how many milliseconds it may, or no more
    (None)."""

    row: FunctionName
    worker: Count = 0
    eta_ms: Span | None = 0.0


class CopyReport(Struct, frozen=True, tag="stands"):
    """From a loader: what stands, to all; what is to be expected, to those that want it. Of two words of one
    life the one with the larger number is later."""

    life: Count
    number: Count
    rows: Annotated[tuple[CopyPlacement, ...], Meta(max_length=MAX_FUNCTIONS_PER_MESSAGE)]


class PermitRequest(Struct, frozen=True, tag="asked"):
    """To the warden of a cold scorer: so many calls wait for it here."""

    scorer: Count
    number: Count  # of the question; another one of the same life is another number
    life: Count
    count: Annotated[int, Meta(ge=1, le=MAX_PERMITS_PER_REQUEST)]


class PermitResponse(Struct, frozen=True, tag="given"):
    """Its answer, by call: 0 is a ticket, else not before so many milliseconds."""

    scorer: Count
    number: Count
    life: Count  # of the one that asked
    free_ms: Annotated[tuple[Span, ...], Meta(max_length=MAX_PERMITS_PER_REQUEST)]


class SpareRate(Struct, frozen=True, tag="spare"):
    """To loaders that keep one waiting: it could make so many orders for each of them."""

    life: Count
    number: Count
    count: Annotated[int, Meta(ge=1, le=64)]


class DelegatedLoadOrder(Struct, frozen=True, tag="lend"):
    """A loader's order, to be made by the one that told `number` in `life`."""

    life: Count
    number: Count
    worker: Count
    row: FunctionName
    kind: ClassName
    lanes: Annotated[int, Meta(ge=1, le=4_096)] = 1
    load_ms: Span | None = None


class DelegatedLoadResult(IntEnum):
    NOT = 0  # it was not made
    MADE = 1
    STANDS = 2
    FAILED = 3


class DelegatedLoadReport(Struct, frozen=True, tag="lent"):
    """What came of a loan, to its loader."""

    worker: Count
    row: FunctionName
    what: Annotated[int, Meta(ge=0, le=3)]


PermitMessage = (
    LoadRequests
    | CopyReport
    | PermitRequest
    | PermitResponse
    | SpareRate
    | DelegatedLoadOrder
    | DelegatedLoadReport
)


def permit_message_from(data: Any) -> PermitMessage:
    """Raises msgspec.ValidationError for what no member says."""
    return msgspec.convert(data, PermitMessage)
