"""What foresight tells and is told, beyond what `sites` has. Values alone; milliseconds of the monotonic
clock of whoever tells, and never compared with another machine's."""

from collections.abc import Collection
from typing import Annotated, Literal, Protocol

from msgspec import Meta, Struct

from fawnwharf.sites import Part, Session, Span, Stage, Text

Number = Annotated[int, Meta(ge=0, le=1 << 53)]
ENTRIES_MOST = 500  # of one word: a line that is longer is a fault, or an attack


class Count(Struct, frozen=True, array_like=True, gc=False):
    """Calls of a session at a site that one owner saw, since the word of the number `since`."""

    session: Session
    site: Text
    since: Annotated[int, Meta(ge=0, le=1 << 31)]
    calls: Annotated[int, Meta(ge=0, le=(1 << 31) - 1)]


class Word(Struct, frozen=True):
    """Counters of one owner that rose since its word before; each stands for itself, so a lost word is made
    good by the next one that names the same session."""

    number: Annotated[int, Meta(ge=1, le=1 << 31)]
    counts: Annotated[tuple[Count, ...], Meta(max_length=ENTRIES_MOST)] = ()


class Step(Struct, frozen=True):
    """From then on so much of a site is open. `in_ms` is from when the plan is told."""

    in_ms: Span
    open: Part


class Announced(Struct, frozen=True):
    """What is to become of a site: a drain, a return in steps, or that it stands by. A later plan of the same
    site has a larger number; one without steps takes back what was said."""

    site: Text
    number: Number
    kind: Literal["drain", "return", "standby"]
    steps: Annotated[tuple[Step, ...], Meta(max_length=20)] = ()


class Order(Struct, frozen=True):
    """A stage, and the scorers that are to hold a copy each, in the order in which its calls will look."""

    stage: Stage
    scorers: tuple[Text, ...]


class Moved(Struct, frozen=True, gc=False):
    """A session's calls are found at another site than before, first at `at_ms`: a move is sure only
    later."""

    session: Session
    whence: Text
    whither: Text
    at_ms: float = 0.0


class Ended(Struct, frozen=True, gc=False):
    """A session was still for so long that it is over."""

    session: Session
    site: Text
    age_ms: float


class Calls(Protocol):
    """Of a session at a site."""

    session: Session
    site: str


class Beat(Struct, frozen=True):
    """What came of one look at the counters."""

    moved: tuple[Moved, ...] = ()
    ended: tuple[Ended, ...] = ()
    called: Collection[Calls] = ()  # sessions and the sites at which they called
