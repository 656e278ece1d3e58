"""Values that the packages for moving sessions exchange. Durations are milliseconds.

Field names on the wire are those of the first version; `msgspec.field(name=...)` maps them.
"""

from typing import Annotated

from msgspec import Meta, Struct, field

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
    source: Identifier = field(name="whence")
    destination: Identifier = field(name="whither")
    within_ms: DurationMs
    probability: Fraction = field(name="chance")
    predictor: Identifier = field(name="by")  # the name of the predictor that made it


class PrefetchOrder(Struct, frozen=True):
    """So many loaded copies of a function are to stand at a zone, for so long if they are not used."""

    row: Identifier
    site: Identifier
    copies: Annotated[int, Meta(ge=1, le=16)]
    until_ms: DurationMs
    reason: Identifier = field(name="why")


class PrefetchRelease(Struct, frozen=True):
    """Copies that were prefetched there are not needed: they may expire."""

    row: Identifier
    site: Identifier


class Placement(Struct, frozen=True, gc=False):
    """The placement of a session: its zone, and the number of the migration that made it so (0: none did)."""

    session: Session
    site: Identifier
    number: Annotated[int, Meta(ge=0, le=1 << 53)]
