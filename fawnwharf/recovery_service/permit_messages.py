"""Messages between front ends about load orders and slow start permits, carried by the replication logs.

Messages are validated on arrival. They may be lost, and messages of an earlier incarnation may arrive late.
So each response names its request, and each sender numbers its copy reports.
"""

from enum import IntEnum
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

MAX_FUNCTIONS_PER_MESSAGE = 200
MAX_PERMITS_PER_REQUEST = 256  # for one scorer

Count = Annotated[int, Meta(ge=0, le=1 << 53)]
Span = Annotated[float, Meta(ge=0.0, le=3_600_000.0)]
FunctionName = Annotated[str, Meta(min_length=1, max_length=128)]
ClassName = Annotated[str, Meta(min_length=1, max_length=128)]
Lanes = Annotated[int, Meta(ge=1, le=4_096)]


class LoadRequest(Struct, frozen=True, array_like=True):
    """A function that calls wait for: their class and weight per second, and the load order's parameters."""

    function: FunctionName
    class_name: ClassName
    weight_ps: Annotated[float, Meta(ge=0.0, le=1e12)]
    lanes: Lanes = 1
    load_ms: Span | None = None
    lost: Count | None = None  # the scorer where a reported copy was not found


class LoadRequests(Struct, frozen=True, tag="want"):
    """Load requests, sent to the load coordinator of their functions."""

    requests: Annotated[tuple[LoadRequest, ...], Meta(max_length=MAX_FUNCTIONS_PER_MESSAGE)] = field(
        name="rows"
    )


class CopyPlacement(Struct, frozen=True, array_like=True):
    """The state of a function's first copy.

    `eta_ms` is 0 if the copy exists at `scorer`, the time until it is expected, or None if there is no copy.
    """

    function: FunctionName
    scorer: Count = 0
    eta_ms: Span | None = 0.0


class CopyReport(Struct, frozen=True, tag="stands"):
    """A load coordinator's report: existing copies to all members, expected copies to those that wait.

    Of two reports of one incarnation, the one with the larger number is later.
    """

    incarnation: Count = field(name="life")
    number: Count
    placements: Annotated[tuple[CopyPlacement, ...], Meta(max_length=MAX_FUNCTIONS_PER_MESSAGE)] = field(
        name="rows"
    )


class PermitRequest(Struct, frozen=True, tag="asked"):
    """A request for `count` permits, sent to the slow start coordinator of a scorer."""

    scorer: Count
    number: Count  # of the request, unique within an incarnation
    incarnation: Count = field(name="life")
    count: Annotated[int, Meta(ge=1, le=MAX_PERMITS_PER_REQUEST)]


class PermitResponse(Struct, frozen=True, tag="given"):
    """One wait in milliseconds for each requested permit: 0 grants it, else none is free before that time."""

    scorer: Count
    number: Count
    incarnation: Count = field(name="life")  # of the requesting front end
    waits_ms: Annotated[tuple[Span, ...], Meta(max_length=MAX_PERMITS_PER_REQUEST)] = field(name="free_ms")


class SpareRate(Struct, frozen=True, tag="spare"):
    """An offer to load coordinators that the sender waits for: it can make `count` orders for each."""

    incarnation: Count = field(name="life")
    number: Count
    count: Annotated[int, Meta(ge=1, le=64)]


class DelegatedLoadOrder(Struct, frozen=True, tag="lend"):
    """A coordinator's load order, to be made by the front end whose spare rate report has this number."""

    incarnation: Count = field(name="life")
    number: Count
    scorer: Count = field(name="worker")
    function: FunctionName = field(name="row")
    class_name: ClassName = field(name="kind")
    lanes: Lanes = 1
    load_ms: Span | None = None


class DelegatedLoadResult(IntEnum):
    """The result of a delegated load order."""

    NOT_MADE = 0
    MADE = 1
    LOADED = 2
    FAILED = 3


class DelegatedLoadReport(Struct, frozen=True, tag="lent"):
    """The result of a delegated load order, sent to its coordinator."""

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
    """Decode a received message; raises `msgspec.ValidationError` if it is malformed."""
    message: PermitMessage = msgspec.convert(data, PermitMessage)
    return message
