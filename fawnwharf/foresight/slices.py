"""Work that is done in slices, so that none holds up the loop. A slice is bounded by what it counts, not by
a clock."""

from collections.abc import Generator
from typing import TypeVar

Kind = TypeVar("Kind")
Slices = Generator[None, None, Kind]  # a slice up to each yield; what comes of it all is returned


def drained(slices: Slices[Kind]) -> Kind:
    """All slices, one after the other."""
    while True:
        try:
            next(slices)
        except StopIteration as end:
            return end.value
