"""Scores predictions by proper scoring rules, and accounts for the costs of orders based on them. No I/O.

The scores are the Brier score (Brier 1950) and the log loss, both with exponential decay. They are compared
with the baseline 'nothing moves'. The skill is one minus the ratio of a predictor's Brier score to the
baseline's. A reliability table of ten bins compares predicted with observed frequencies. A predictor is used
only while its skill over enough predictions exceeds a margin and its prefetch orders do not lose more than an
allowance. The score alone is not enough, as correct predictions may save little.
"""

import heapq
import itertools
import math
from dataclasses import dataclass, field

from fawnwharf.prefetch import messages as m
from fawnwharf.prefetch.settings import PrefetchSettings
from fawnwharf.prefetch.slices import Slices, run_slices
from fawnwharf.session_types import PredictedMove, Session

BIN_COUNT = 10
MAX_OPEN_PREDICTIONS = 20_000  # unresolved predictions of one predictor
KEYS_PER_SLICE = 100
Key = tuple[Session, str]  # a session and the zone where it is expected
OpenPrediction = tuple[float, float]  # an unresolved prediction: its probability, and when it is due
MIN_PROBABILITY = 0.001  # clips probabilities, as the log loss would be infinite at 0 and 1


@dataclass(slots=True)
class ScoreSums:
    """Decaying sums of one predictor."""

    weight: float = 0.0  # number of scored predictions
    brier: float = 0.0  # Brier score
    base: float = 0.0  # the Brier score of 'nothing moves' on the same predictions
    loss: float = 0.0  # log loss, natural logarithm
    base_loss: float = 0.0
    net: float = 0.0  # gain of prefetch orders minus their cost, in units of a mean call
    spent: float = 0.0  # cost of unused prefetch orders, in the same unit
    # Per tenth of probability: [count, sum of probabilities, moves that happened].
    bins: list[list[float]] = field(default_factory=lambda: [[0.0, 0.0, 0.0] for _ in range(BIN_COUNT)])
    at_ms: float = 0.0

    def fade(self, now_ms: float, span_ms: float) -> None:
        """Decay all sums up to `now_ms` with the time constant `span_ms`."""
        part, self.at_ms = math.exp((self.at_ms - now_ms) / span_ms), now_ms
        for name in ("weight", "brier", "base", "loss", "base_loss", "net", "spent"):
            setattr(self, name, getattr(self, name) * part)
        for row in self.bins:
            row[:] = [value * part for value in row]

    def add(self, chance: float, happened: bool) -> None:
        """Add a prediction's probability and whether the move happened."""
        seen = float(happened)
        self.weight += 1.0
        self.brier += (chance - seen) ** 2
        self.base += seen
        self.loss -= math.log(_clip_probability(chance if happened else 1.0 - chance))
        self.base_loss -= math.log(MIN_PROBABILITY if happened else 1.0 - MIN_PROBABILITY)
        row = self.bins[min(BIN_COUNT - 1, int(chance * BIN_COUNT))]
        row[0] += 1.0
        row[1] += chance
        row[2] += seen

    @property
    def skill(self) -> float:
        """One minus the Brier score over the baseline's: 0 equals 'nothing moves', below 0 is worse."""
        return 1.0 - self.brier / self.base if self.base > 0 else (-1.0 if self.brier > 0 else 0.0)


def _clip_probability(chance: float) -> float:
    return min(1.0 - MIN_PROBABILITY, max(MIN_PROBABILITY, chance))


class PredictionScores:
    """The scores of all predictors.

    A prediction is open until its session is found in the predicted zone or its time is over, plus `grace_ms`
    for moves to be detected. A prediction repeated in several passes counts each time with its probability in
    that pass, since the first one alone would be the least certain.
    """

    def __init__(self, settings: PrefetchSettings) -> None:
        self.settings = settings
        self.grace_ms = settings.fast_ms + settings.beat_ms
        self.sums: dict[str, ScoreSums] = {}
        self.dropped = 0  # predictions not scored because too many were open
        self.missed = 0  # moves that no predictor predicted
        self._open: dict[str, dict[Key, list[OpenPrediction]]] = {}  # by predictor
        self._open_count: dict[str, int] = {}
        self._due_heaps: dict[str, list[tuple[float, int, Key]]] = {}  # heaps by predictor
        self._sequence = itertools.count()

    def predicted(self, now_ms: float, moves: list[PredictedMove]) -> None:
        """Record the predictions of one pass."""
        run_slices(self.noting(now_ms, moves))

    def noting(self, now_ms: float, moves: list[PredictedMove]) -> Slices[None]:
        """Do the same as `predicted`, in slices."""
        for n, move in enumerate(moves):
            if n % KEYS_PER_SLICE == KEYS_PER_SLICE - 1:
                yield
            held = self._open.setdefault(move.predictor, {})
            if self._open_count.get(move.predictor, 0) >= MAX_OPEN_PREDICTIONS:
                self.dropped += 1
                continue
            self._open_count[move.predictor] = self._open_count.get(move.predictor, 0) + 1
            due = now_ms + move.within_ms + self.grace_ms
            key = (move.session, move.destination)
            held.setdefault(key, []).append((move.probability, due))
            heapq.heappush(self._due_heaps.setdefault(move.predictor, []), (due, next(self._sequence), key))

    def seen(self, now_ms: float, beat: m.ScanResult) -> None:
        """Score the predictions that came true in one pass and those that are overdue."""
        run_slices(self.scoring(now_ms, beat))

    def scoring(self, now_ms: float, beat: m.ScanResult) -> Slices[None]:
        """Do the same as `seen`, in slices."""
        for sums in self.sums.values():
            sums.fade(now_ms, self.settings.score_ms)
        moved = yield from self._observed_moves(beat)
        for predictor, held in self._open.items():
            closing = yield from self._keys_to_score(predictor, moved, now_ms)
            yield from self._score_keys(predictor, held, closing, moved, now_ms)

    def _observed_moves(self, beat: m.ScanResult) -> Slices[dict[Key, None]]:
        """Return the moves of a pass, and count those that were not predicted."""
        moved: dict[Key, None] = {}
        for n, move in enumerate(beat.moved):
            if n % KEYS_PER_SLICE == KEYS_PER_SLICE - 1:
                yield
            key = (move.session, move.destination)
            moved[key] = None
            self.missed += not any(key in held for held in self._open.values())
        return moved

    def _keys_to_score(
        self, predictor: str, moved: dict[Key, None], now_ms: float
    ) -> Slices[dict[Key, None]]:
        """Return the keys of one predictor that may be scored: those that moved and those overdue."""
        due, found = self._due_heaps.get(predictor, []), dict.fromkeys(moved)
        while due and due[0][0] < now_ms:
            found[heapq.heappop(due)[2]] = None
            if len(found) % (2 * KEYS_PER_SLICE) == 0:
                yield
        return found

    def _score_keys(
        self,
        predictor: str,
        held: dict[Key, list[OpenPrediction]],
        keys: dict[Key, None],
        moved: dict[Key, None],
        now_ms: float,
    ) -> Slices[None]:
        """Score the predictions of `keys` that came true or are overdue; keep the others open."""
        work = 0
        for key in keys:
            if key not in held:
                continue
            work += 1 + len(held[key])
            if work > KEYS_PER_SLICE:
                work = 0
                yield
            happened, predictions = key in moved, held.pop(key)
            resolved = [one for one in predictions if happened or one[1] < now_ms]
            self._open_count[predictor] -= len(resolved)
            for chance, due in resolved:
                self._of(predictor, now_ms).add(chance, happened and due >= now_ms)
            if len(resolved) < len(predictions):
                held[key] = [one for one in predictions if one[1] >= now_ms]

    def charge(self, now_ms: float, predictor: str, cost: float) -> None:
        """Charge a predictor for an unused prefetch order, in units of a mean call."""
        sums = self._of(predictor, now_ms)
        sums.net -= cost
        sums.spent += cost

    def credit(self, now_ms: float, predictor: str, gain: float) -> None:
        """Credit a predictor for a used prefetch order with what calls would have lost without it."""
        self._of(predictor, now_ms).net += gain

    def good(self, predictor: str) -> bool:
        """Return whether a predictor was recently good enough to be used."""
        sums = self.sums.get(predictor)
        if sums is None or sums.weight < self.settings.least:
            return False
        return (
            sums.skill > self.settings.margin
            and sums.loss < sums.base_loss
            and sums.net >= -self.settings.allow
        )

    def best(self, names: list[str]) -> str | None:
        """Return the usable predictor with the highest skill among `names`, or None."""
        usable = [name for name in names if self.good(name)]
        return max(usable, key=lambda name: (self.sums[name].skill, name), default=None)

    def table(self, predictor: str) -> list[tuple[float, float, float]]:
        """Return the reliability table by tenths of probability.

        Each row has the count, the mean probability, and the fraction that came true.
        """
        rows = self.sums.get(predictor, ScoreSums()).bins
        return [(n, p / n if n else 0.0, seen / n if n else 0.0) for n, p, seen in rows]

    def _of(self, predictor: str, now_ms: float) -> ScoreSums:
        return self.sums.setdefault(predictor, ScoreSums(at_ms=now_ms))
