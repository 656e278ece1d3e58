"""Values that the packages for moving sessions exchange. Durations are milliseconds."""

from typing import Annotated

from msgspec import Meta, Struct

Text = Annotated[str, Meta(min_length=1, max_length=128)]
Span = Annotated[float, Meta(ge=0.0, le=3_600_000.0)]
Part = Annotated[float, Meta(ge=0.0, le=1.0)]


class Session(Struct, frozen=True, order=True, gc=False):
    """A live series of calls by one tenant (`org`) to one function (`row`)."""

    org: Text
    row: Text


class Move(Struct, frozen=True, gc=False):
    """A prediction: a session is expected to move to another zone within a time, with this probability."""

    session: Session
    whence: Text
    whither: Text
    within_ms: Span
    chance: Part
    by: Text  # the predictor


class Stage(Struct, frozen=True):
    """A prefetch order: so many loaded copies of a function are to stand at a zone, for so long if unused."""

    row: Text
    site: Text
    copies: Annotated[int, Meta(ge=1, le=16)]
    until_ms: Span
    why: Text


class LetGo(Struct, frozen=True):
    """Copies that were prefetched there are not needed: they may expire."""

    row: Text
    site: Text


class Home(Struct, frozen=True, gc=False):
    """The placement of a session: its zone, and the number of the migration that made it so (0: none did)."""

    session: Session
    site: Text
    number: Annotated[int, Meta(ge=0, le=1 << 53)]
