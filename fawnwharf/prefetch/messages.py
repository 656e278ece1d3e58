"""Messages and results of the prefetcher, beyond those in `sites`. Values alone.

Times are milliseconds of the sender's monotonic clock and are never compared with another machine's.
"""

from collections.abc import Collection
from typing import Annotated, Literal, Protocol

from msgspec import Meta, Struct

from fawnwharf.session_types import DurationMs, Fraction, Identifier, PrefetchOrder, Session

Number = Annotated[int, Meta(ge=0, le=1 << 53)]
MAX_ENTRIES = 500  # of one word: a line that is longer is a fault, or an attack


class CallCounter(Struct, frozen=True, array_like=True, gc=False):
    """Calls of a session at a zone that one owner counted since its message with the number `since`."""

    session: Session
    site: Identifier
    since: Annotated[int, Meta(ge=0, le=1 << 31)]
    calls: Annotated[int, Meta(ge=0, le=(1 << 31) - 1)]


class CounterMessage(Struct, frozen=True):
    """Counters of one owner that rose since its last message.

    Each entry is the counter's value, so that a lost message is made up for by the next one with that
    session.
    """

    number: Annotated[int, Meta(ge=1, le=1 << 31)]
    counts: Annotated[tuple[CallCounter, ...], Meta(max_length=MAX_ENTRIES)] = ()


class PlanStep(Struct, frozen=True):
    """From `in_ms` after the plan was told, this part of a zone is open."""

    in_ms: DurationMs
    open: Fraction


class AnnouncedPlan(Struct, frozen=True):
    """What is to become of a zone: a drain, a return in steps, or standby.

    A later plan of the same zone has a larger number; one without steps cancels what was announced.
    """

    site: Identifier
    number: Number
    kind: Literal["drain", "return", "standby"]
    steps: Annotated[tuple[PlanStep, ...], Meta(max_length=20)] = ()


class AssignedOrder(Struct, frozen=True):
    """A prefetch order, and the scorers that are to load a copy each.

    They come in the order in which calls will look.
    """

    stage: PrefetchOrder
    scorers: tuple[Identifier, ...]


class SessionMoved(Struct, frozen=True, gc=False):
    """A session's calls are found at another zone than before, first at `at_ms`."""

    session: Session
    source: Identifier
    destination: Identifier
    at_ms: float = 0.0


class SessionEnded(Struct, frozen=True, gc=False):
    """A session had no calls for so long that it counts as over; `age_ms` is how long it lasted."""

    session: Session
    site: Identifier
    age_ms: float


class SessionCalls(Protocol):
    """The calls of a session at a zone."""

    session: Session
    site: str


class ScanResult(Struct, frozen=True):
    """The result of one pass over the counters."""

    moved: tuple[SessionMoved, ...] = ()
    ended: tuple[SessionEnded, ...] = ()
    called: Collection[SessionCalls] = ()  # sessions and the sites at which they called
