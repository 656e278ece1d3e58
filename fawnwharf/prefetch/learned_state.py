"""Encodes what one process has learned, for its successor on the same machine, and restores it. No I/O.

Included: past moves, stays and session ends by tenant; the predictors' scores; the profiles of functions.
Omitted: counters and sessions, which belong to one incarnation and come back with the next calls; plans,
which are announced again; prefetched copies, which stay loaded and expire if unused; the recent move rates.
Times are of the monotonic clock, which all processes of a machine share until it reboots. State from before a
reboot is rejected.
"""

import msgspec
from msgspec import Struct

from fawnwharf.prefetch.known import FunctionReport, FunctionTable
from fawnwharf.prefetch.move_history import AgeRow, MoveRow, StayRow
from fawnwharf.prefetch.prediction_scores import ScoreSums
from fawnwharf.prefetch.prefetcher import Prefetcher

VERSION = 1
MAX_ROWS = 5_000  # rows of each table of the move history
MAX_FUNCTIONS = 2_000
MAX_SIZE = 2 * 1024 * 1024  # bytes
SCORE_FIELDS = ("weight", "brier", "base", "loss", "base_loss", "net", "spent")


class LearnedState(Struct):
    """The state passed to the successor; `at_ms` is the time of encoding."""

    version: int
    at_ms: float
    day_ms: float
    phases: int
    moves: list[MoveRow]
    stays: list[StayRow]
    ages: list[AgeRow]
    scores: dict[str, tuple[float, ...]]
    functions: list[FunctionReport]


def encode_learned_state(now_ms: float, core: Prefetcher, functions: FunctionTable) -> bytes:
    """Encode the learned state of `core` and `functions`, up to the limits on rows and functions."""
    moves, stays, ages = core.learnt.past.rows(now_ms, MAX_ROWS)
    scores = {}
    for name, sums in core.scores.sums.items():
        sums.fade(now_ms, core.bounds.score_ms)
        scores[name] = tuple(getattr(sums, key) for key in SCORE_FIELDS)
    reports = functions.last(MAX_FUNCTIONS)
    bounds = core.bounds
    return msgspec.msgpack.encode(
        LearnedState(VERSION, now_ms, bounds.day_ms, bounds.phases, moves, stays, ages, scores, reports)
    )


def restore_learned_state(now_ms: float, data: bytes, core: Prefetcher, functions: FunctionTable) -> bool:
    """Restore the state of an earlier process; return False if it can't be used.

    It can't be used if it is malformed, has another version or other day settings, or predates a reboot.
    """
    if len(data) > MAX_SIZE:
        return False
    try:
        held = msgspec.msgpack.decode(data, type=LearnedState)
    except (msgspec.DecodeError, RecursionError):
        return False
    bounds = core.bounds
    is_compatible = (held.version, held.day_ms, held.phases) == (VERSION, bounds.day_ms, bounds.phases)
    if not is_compatible or not 0.0 <= held.at_ms <= now_ms:
        return False
    core.learnt.past.take(held.at_ms, held.moves, held.stays, held.ages)
    for name, values in held.scores.items():
        if len(values) == len(SCORE_FIELDS):
            sums = ScoreSums(at_ms=held.at_ms)
            for key, value in zip(SCORE_FIELDS, values, strict=True):
                setattr(sums, key, value)
            core.scores.sums[name] = sums
    for report in held.functions:
        functions.heard(report)
    return True
