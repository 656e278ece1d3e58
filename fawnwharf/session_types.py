"""Values that the packages for moving sessions exchange. Durations are milliseconds."""

from typing import Annotated

from msgspec import Meta, Struct

Identifier = Annotated[str, Meta(min_length=1, max_length=128)]
DurationMs = Annotated[float, Meta(ge=0.0, le=3_600_000.0)]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]


class Session(Struct, frozen=True, order=True, gc=False):
    """A live series of calls by one tenant (`org`) to one function (`row`)."""

    org: Identifier
    row: Identifier


class PredictedMove(Struct, frozen=True, gc=False):
    """A prediction: a session is expected to move to another zone within a time, with this probability."""

    session: Session
    whence: Identifier
    whither: Identifier
    within_ms: DurationMs
    chance: Fraction
    by: Identifier  # the predictor


class PrefetchOrder(Struct, frozen=True):
    """A prefetch order: so many loaded copies of a function are to stand at a zone, for so long if unused."""

    row: Identifier
    site: Identifier
    copies: Annotated[int, Meta(ge=1, le=16)]
    until_ms: DurationMs
    why: Identifier


class PrefetchRelease(Struct, frozen=True):
    """Copies that were prefetched there are not needed: they may expire."""

    row: Identifier
    site: Identifier


class Placement(Struct, frozen=True, gc=False):
    """The placement of a session: its zone, and the number of the migration that made it so (0: none did)."""

    session: Session
    site: Identifier
    number: Annotated[int, Meta(ge=0, le=1 << 53)]
