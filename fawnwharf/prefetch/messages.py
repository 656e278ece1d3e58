"""Messages and result types of the prefetcher.

Times are milliseconds of the sender's monotonic clock and are never compared with another machine's clock.
"""

from collections.abc import Collection
from typing import Annotated, Literal, Protocol

from msgspec import Meta, Struct

from fawnwharf.session_types import DurationMs, Fraction, Identifier, PrefetchOrder, Session

Number = Annotated[int, Meta(ge=0, le=1 << 53)]
MAX_ENTRIES = 500  # counters in one message; a longer one is an error or an attack


class CallCounter(Struct, frozen=True, array_like=True, gc=False):
    """Calls of a session in a zone that one front end counted since its message number `since`."""

    session: Session
    site: Identifier
    since: Annotated[int, Meta(ge=0, le=1 << 31)]
    calls: Annotated[int, Meta(ge=0, le=(1 << 31) - 1)]


class CounterMessage(Struct, frozen=True):
    """Counters of one front end that increased since its last message.

    Each entry is the counter's total, so the next message with that session compensates for a lost one.
    """

    number: Annotated[int, Meta(ge=1, le=1 << 31)]
    counts: Annotated[tuple[CallCounter, ...], Meta(max_length=MAX_ENTRIES)] = ()


class PlanStep(Struct, frozen=True):
    """`in_ms` after the plan is announced, the fraction `open` of a zone accepts sessions."""

    in_ms: DurationMs
    open: Fraction


class AnnouncedPlan(Struct, frozen=True):
    """An announced change of a zone: a drain, a return in steps, or standby.

    A later plan of the same zone has a larger number; a plan without steps cancels the previous one.
    """

    site: Identifier
    number: Number
    kind: Literal["drain", "return", "standby"]
    steps: Annotated[tuple[PlanStep, ...], Meta(max_length=20)] = ()


class AssignedOrder(Struct, frozen=True):
    """A prefetch order, and the scorers that load one copy each, in the hash order of the calls."""

    stage: PrefetchOrder
    scorers: tuple[Identifier, ...]


class SessionMoved(Struct, frozen=True, gc=False):
    """A session's calls go to another zone than before, starting at `at_ms`."""

    session: Session
    source: Identifier
    destination: Identifier
    at_ms: float = 0.0


class SessionEnded(Struct, frozen=True, gc=False):
    """A session ended because it made no calls for too long; `age_ms` is how long it lasted."""

    session: Session
    site: Identifier
    age_ms: float


class SessionCalls(Protocol):
    """The calls of a session in a zone."""

    session: Session
    site: str


class ScanResult(Struct, frozen=True):
    """The result of one pass over the counters."""

    moved: tuple[SessionMoved, ...] = ()
    ended: tuple[SessionEnded, ...] = ()
    called: Collection[SessionCalls] = ()  # sessions with the zones that they called
