"""What the parts that move sessions between sites say to each other. Values alone; milliseconds."""

from typing import Annotated

from msgspec import Meta, Struct

Text = Annotated[str, Meta(min_length=1, max_length=128)]
Span = Annotated[float, Meta(ge=0.0, le=3_600_000.0)]
Part = Annotated[float, Meta(ge=0.0, le=1.0)]


class Session(Struct, frozen=True, order=True, gc=False):
    """A live series of calls by one tenant to one function."""

    org: Text
    row: Text


class Move(Struct, frozen=True, gc=False):
    """A session is expected at another site within a time."""

    session: Session
    whence: Text
    whither: Text
    within_ms: Span
    chance: Part
    by: Text  # the predictor


class Stage(Struct, frozen=True):
    """So many loaded copies of a function are to stand at a site, for so long if nobody uses them."""

    row: Text
    site: Text
    copies: Annotated[int, Meta(ge=1, le=16)]
    until_ms: Span
    why: Text


class LetGo(Struct, frozen=True):
    """What was staged there is not needed: it may lapse."""

    row: Text
    site: Text


class Home(Struct, frozen=True, gc=False):
    """At which site a session is at home, and the number of the hand-over that made it so."""

    session: Session
    site: Text
    number: Annotated[int, Meta(ge=0, le=1 << 53)]
