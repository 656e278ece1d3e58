"""Work divided into slices, so that it does not block the event loop.

Slices are bounded by counts, not by a clock.
"""

from collections.abc import Generator
from typing import TypeVar

Kind = TypeVar("Kind")
Slices = Generator[None, None, Kind]  # one slice up to each yield; returns the result of the work


def run_slices(slices: Slices[Kind]) -> Kind:
    """Run all slices and return the result."""
    while True:
        try:
            next(slices)
        except StopIteration as end:
            result: Kind = end.value
            return result
