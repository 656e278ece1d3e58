"""Input and output of a front end's prefetcher: observations, counter messages and the result of a pass."""

from collections.abc import Sequence
from typing import Annotated

from msgspec import Meta, Struct

from fawnwharf import interface as io
from fawnwharf.prefetch import messages as m
from fawnwharf.prefetch.known import FunctionReport
from fawnwharf.session_types import PredictedMove, PrefetchOrder, PrefetchRelease

TOLD_MOST = 100  # functions of a word that is taken
SLICE_MS = 4.0  # from slice to slice: the wheel's tick


class Seen(Struct):
    """What a host sees at a pass."""

    heard: Sequence[str] = ()  # keepers that are heard, this one among them if it is one
    waiting: int = 0  # calls that wait in the module
    refused: int = 0  # calls that were refused so far: a count that only grows
    ordered: int | None = None  # orders within the ration's window as the module has them; None: not known
    disturbed: frozenset[str] = frozenset()  # sites that are lost, or power up
    out: frozenset[str] = frozenset()  # sites that take no calls: drained, or lost, by the plan


class Word(Struct, frozen=True):
    """What one front end tells others: calls by session and zone, functions, and whether it has no surge."""

    counts: m.CounterMessage
    functions: Annotated[tuple[FunctionReport, ...], Meta(max_length=TOLD_MOST)] = ()
    calm: bool = True


class Beat(Struct):
    """What is to be done now, and in how many milliseconds `beat` is to be called again."""

    words: list[Word] = []  # of a keeper to all, of others to the keepers
    wanted: list[io.PrefetchRequested] = []  # events for the module
    stages: list[PrefetchOrder] = []  # the same by function and site
    let_gos: list[PrefetchRelease] = []  # staged, and not needed: nothing renews it any more
    moves: list[PredictedMove] | None = None  # that are expected; None: no look has ended since the last beat
    again_ms: float = SLICE_MS
