"""Work in slices, so that none of it holds up the event loop.

Slices are bounded by counts, not by a clock.
"""

from collections.abc import Generator
from typing import TypeVar

Kind = TypeVar("Kind")
Slices = Generator[None, None, Kind]  # a slice up to each yield; what comes of it all is returned


def run_slices(slices: Slices[Kind]) -> Kind:
    """Run all slices, one after the other, and return the result."""
    while True:
        try:
            next(slices)
        except StopIteration as end:
            result: Kind = end.value
            return result
