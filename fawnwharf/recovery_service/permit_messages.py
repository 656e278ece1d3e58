"""Messages between front ends about load orders and slow start permits, carried by the replication logs.

Values that are checked as they arrive; no logic. Messages may be lost, and those of an earlier incarnation
may arrive late. So each response names its request, and reports about copies are numbered by their sender.
"""

from enum import IntEnum
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

MAX_FUNCTIONS_PER_MESSAGE = 200
MAX_PERMITS_PER_REQUEST = 256  # of one scorer

Count = Annotated[int, Meta(ge=0, le=1 << 53)]
Span = Annotated[float, Meta(ge=0.0, le=3_600_000.0)]
FunctionName = Annotated[str, Meta(min_length=1, max_length=128)]
ClassName = Annotated[str, Meta(min_length=1, max_length=128)]
Lanes = Annotated[int, Meta(ge=1, le=4_096)]


class LoadRequest(Struct, frozen=True, array_like=True):
    """A function that calls wait for: their class, their weight a second, and what a load order takes."""

    function: FunctionName
    class_name: ClassName
    weight_ps: Annotated[float, Meta(ge=0.0, le=1e12)]
    lanes: Lanes = 1
    load_ms: Span | None = None
    lost: Count | None = None  # the scorer where a copy was reported, and is not


class LoadRequests(Struct, frozen=True, tag="want"):
    """To the load coordinator of these functions."""

    requests: Annotated[tuple[LoadRequest, ...], Meta(max_length=MAX_FUNCTIONS_PER_MESSAGE)] = field(
        name="rows"
    )


class CopyPlacement(Struct, frozen=True, array_like=True):
    """A function's first copy: its scorer (`eta_ms` 0), when it is expected, or that there is none (None)."""

    function: FunctionName
    scorer: Count = 0
    eta_ms: Span | None = 0.0


class CopyReport(Struct, frozen=True, tag="stands"):
    """From a load coordinator: copies that exist, to all; those that are expected, to who waits for them.

    Of two reports of one incarnation the one with the larger number is later.
    """

    incarnation: Count = field(name="life")
    number: Count
    placements: Annotated[tuple[CopyPlacement, ...], Meta(max_length=MAX_FUNCTIONS_PER_MESSAGE)] = field(
        name="rows"
    )


class PermitRequest(Struct, frozen=True, tag="asked"):
    """To the slow start coordinator of a scorer: so many calls wait for the scorer here."""

    scorer: Count
    number: Count  # of the request, unique within an incarnation
    incarnation: Count = field(name="life")
    count: Annotated[int, Meta(ge=1, le=MAX_PERMITS_PER_REQUEST)]


class PermitResponse(Struct, frozen=True, tag="given"):
    """One wait for each requested call: 0 is a permit, else no permit is free within so many milliseconds."""

    scorer: Count
    number: Count
    incarnation: Count = field(name="life")  # of the one that requested
    waits_ms: Annotated[tuple[Span, ...], Meta(max_length=MAX_PERMITS_PER_REQUEST)] = field(name="free_ms")


class SpareRate(Struct, frozen=True, tag="spare"):
    """To load coordinators that this front end waits for: it could make so many orders for each of them."""

    incarnation: Count = field(name="life")
    number: Count
    count: Annotated[int, Meta(ge=1, le=64)]


class DelegatedLoadOrder(Struct, frozen=True, tag="lend"):
    """A coordinator's load order, to be made by the front end that reported spare rate `number`."""

    incarnation: Count = field(name="life")
    number: Count
    scorer: Count = field(name="worker")
    function: FunctionName = field(name="row")
    class_name: ClassName = field(name="kind")
    lanes: Lanes = 1
    load_ms: Span | None = None


class DelegatedLoadResult(IntEnum):
    """What became of a delegated load order."""

    NOT_MADE = 0
    MADE = 1
    LOADED = 2
    FAILED = 3


class DelegatedLoadReport(Struct, frozen=True, tag="lent"):
    """What became of a delegated load order, to its coordinator."""

    scorer: Count = field(name="worker")
    function: FunctionName = field(name="row")
    result: Annotated[int, Meta(ge=0, le=3)] = field(name="what")


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
    """Check a message that arrived; raise `msgspec.ValidationError` for what is none."""
    message: PermitMessage = msgspec.convert(data, PermitMessage)
    return message
