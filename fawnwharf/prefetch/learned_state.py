"""Hands what one process has learnt to its successor on the same machine. Pure: bytes out, and back.

Included: past moves, stays and session ends by tenant, the predictors' scores, what is known of functions.
Left out: counters and sessions, which belong to one incarnation and come back with the next calls; plans,
which are announced anew; prefetched copies, which stand and expire if unused; the flux of the last seconds.
Times are of the monotonic clock, which is the same for all processes of one machine until it reboots; after
that nothing is taken.
"""

import msgspec
from msgspec import Struct

from fawnwharf.prefetch.known import FunctionReport, FunctionTable
from fawnwharf.prefetch.move_history import Age, Move, Stay
from fawnwharf.prefetch.prediction_scores import ScoreSums
from fawnwharf.prefetch.prefetcher import Prefetcher

VERSION = 1
MAX_ROWS = 5_000  # of each table of the history
MAX_FUNCTIONS = 2_000
MAX_SIZE = 2 * 1024 * 1024  # bytes
SCORE_FIELDS = ("weight", "brier", "base", "loss", "base_loss", "net", "spent")


class LearnedState(Struct):
    """What is handed over; `at_ms` is when it was written."""

    version: int
    at_ms: float
    day_ms: float
    phases: int
    moves: list[Move]
    stays: list[Stay]
    ages: list[Age]
    scores: dict[str, tuple[float, ...]]
    functions: list[FunctionReport]


def encode_learned_state(now_ms: float, core: Prefetcher, functions: FunctionTable) -> bytes:
    """Encode what `core` and `functions` have learnt, within the bounds on rows and functions."""
    moves, stays, ages = core.learnt.past.rows(now_ms, MAX_ROWS)
    scores = {}
    for name, sums in core.scores.sums.items():
        sums.fade(now_ms, core.bounds.score_ms)
        scores[name] = tuple(getattr(sums, key) for key in SCORE_FIELDS)
    told = functions.last(MAX_FUNCTIONS)
    bounds = core.bounds
    return msgspec.msgpack.encode(
        LearnedState(VERSION, now_ms, bounds.day_ms, bounds.phases, moves, stays, ages, scores, told)
    )


def restore_learned_state(now_ms: float, data: bytes, core: Prefetcher, functions: FunctionTable) -> bool:
    """Take what an earlier process handed over; False where it can't be used.

    That is so where it is malformed, of another version, of other day settings, or from before a reboot.
    """
    if len(data) > MAX_SIZE:
        return False
    try:
        held = msgspec.msgpack.decode(data, type=LearnedState)
    except (msgspec.DecodeError, RecursionError):
        return False
    bounds = core.bounds
    same = (held.version, held.day_ms, held.phases) == (VERSION, bounds.day_ms, bounds.phases)
    if not same or not 0.0 <= held.at_ms <= now_ms:
        return False
    core.learnt.past.take(held.at_ms, held.moves, held.stays, held.ages)
    for name, values in held.scores.items():
        if len(values) == len(SCORE_FIELDS):
            sums = ScoreSums(at_ms=held.at_ms)
            for key, value in zip(SCORE_FIELDS, values, strict=True):
                setattr(sums, key, value)
            core.scores.sums[name] = sums
    for told in held.functions:
        functions.heard(told)
    return True
