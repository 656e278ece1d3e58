"""Scores of predictions by proper scoring rules, and the costs of the prefetch orders that rest on them.

Pure.

Brier score (Brier 1950) and log loss, both decaying, against the baseline 'nothing moves'; the skill is one
less the ratio of a predictor's score to the baseline's. A reliability table has ten bins (predicted against
seen). A predictor is used only while its skill over enough predictions is above a margin and its prefetch
orders saved more than they cost, as a score can be good where being right saves little.
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
MAX_OPEN = 20_000  # predictions of one predictor whose end is awaited
KEYS_PER_SLICE = 100  # of one slice
Key = tuple[Session, str]  # a session and where it is expected
Open = tuple[float, float]  # an open prediction: its chance, and when it is due
MIN_PROBABILITY = 0.001  # for the log loss: guards against an infinite one


@dataclass(slots=True)
class ScoreSums:
    """Decaying sums of one predictor."""

    weight: float = 0.0
    brier: float = 0.0
    base: float = 0.0  # the Brier score of 'nothing moves' on the same
    loss: float = 0.0  # log loss, natural logarithm
    base_loss: float = 0.0
    net: float = 0.0  # what stages earned less what they cost, in mean calls
    spent: float = 0.0
    bins: list[list[float]] = field(default_factory=lambda: [[0.0, 0.0, 0.0] for _ in range(BIN_COUNT)])
    at_ms: float = 0.0

    def fade(self, now_ms: float, span_ms: float) -> None:
        """Let all sums decay to now, with the time constant `span_ms`."""
        part, self.at_ms = math.exp((self.at_ms - now_ms) / span_ms), now_ms
        for name in ("weight", "brier", "base", "loss", "base_loss", "net", "spent"):
            setattr(self, name, getattr(self, name) * part)
        for row in self.bins:
            row[:] = [value * part for value in row]

    def add(self, chance: float, came: bool) -> None:
        """Add a prediction with its chance, and whether the move came."""
        seen = float(came)
        self.weight += 1.0
        self.brier += (chance - seen) ** 2
        self.base += seen
        self.loss -= math.log(_apart(chance if came else 1.0 - chance))
        self.base_loss -= math.log(MIN_PROBABILITY if came else 1.0 - MIN_PROBABILITY)
        row = self.bins[min(BIN_COUNT - 1, int(chance * BIN_COUNT))]
        row[0] += 1.0
        row[1] += chance
        row[2] += seen

    @property
    def skill(self) -> float:
        """One less the Brier score over the baseline's: 0 is as good as 'nothing moves', less is worse."""
        return 1.0 - self.brier / self.base if self.base > 0 else (-1.0 if self.brier > 0 else 0.0)


def _apart(chance: float) -> float:
    return min(1.0 - MIN_PROBABILITY, max(MIN_PROBABILITY, chance))


class PredictionScores:
    """The scores of all predictors.

    A prediction is open until its session is found there or its time is over, with `grace_ms` for moves to be
    noticed. One that is repeated in each pass counts each time with the chance it had then, since the first
    one alone would be the least certain.
    """

    def __init__(self, settings: PrefetchSettings) -> None:
        self.settings = settings
        self.grace_ms = settings.fast_ms + settings.beat_ms
        self.sums: dict[str, ScoreSums] = {}
        self.dropped = 0  # predictions that were not scored, as too many were open
        self.missed = 0  # moves that no predictor foresaw
        self._open: dict[str, dict[Key, list[Open]]] = {}  # by predictor
        self._count: dict[str, int] = {}
        self._dues: dict[str, list[tuple[float, int, Key]]] = {}  # heaps, of the same
        self._numbers = itertools.count()

    def predicted(self, now_ms: float, moves: list[PredictedMove]) -> None:
        """Take the predictions of one pass."""
        run_slices(self.noting(now_ms, moves))

    def noting(self, now_ms: float, moves: list[PredictedMove]) -> Slices[None]:
        """The same as `predicted`, in slices."""
        for n, move in enumerate(moves):
            if n % KEYS_PER_SLICE == KEYS_PER_SLICE - 1:
                yield
            held = self._open.setdefault(move.predictor, {})
            if self._count.get(move.predictor, 0) >= MAX_OPEN:
                self.dropped += 1
                continue
            self._count[move.predictor] = self._count.get(move.predictor, 0) + 1
            due = now_ms + move.within_ms + self.grace_ms
            key = (move.session, move.destination)
            held.setdefault(key, []).append((move.probability, due))
            heapq.heappush(self._dues.setdefault(move.predictor, []), (due, next(self._numbers), key))

    def seen(self, now_ms: float, beat: m.ScanResult) -> None:
        """Score the predictions that came true in one pass, and those whose time is over."""
        run_slices(self.scoring(now_ms, beat))

    def scoring(self, now_ms: float, beat: m.ScanResult) -> Slices[None]:
        """The same as `seen`, in slices."""
        for sums in self.sums.values():
            sums.fade(now_ms, self.settings.score_ms)
        moved = yield from self._moved(beat)
        for by, held in self._open.items():
            closing = yield from self._closing(by, moved, now_ms)
            yield from self._close(by, held, closing, moved, now_ms)

    def _moved(self, beat: m.ScanResult) -> Slices[dict[Key, None]]:
        """The moves of a pass; those that nobody predicted are counted."""
        moved: dict[Key, None] = {}
        for n, move in enumerate(beat.moved):
            if n % KEYS_PER_SLICE == KEYS_PER_SLICE - 1:
                yield
            key = (move.session, move.destination)
            moved[key] = None
            self.missed += not any(key in held for held in self._open.values())
        return moved

    def _closing(self, by: str, moved: dict[Key, None], now_ms: float) -> Slices[dict[Key, None]]:
        """What may be scored of one predictor: what moved, and what is overdue."""
        due, found = self._dues.get(by, []), dict.fromkeys(moved)
        while due and due[0][0] < now_ms:
            found[heapq.heappop(due)[2]] = None
            if len(found) % (2 * KEYS_PER_SLICE) == 0:
                yield
        return found

    def _close(
        self,
        by: str,
        held: dict[Key, list[Open]],
        keys: dict[Key, None],
        moved: dict[Key, None],
        now_ms: float,
    ) -> Slices[None]:
        """Score the predictions of `keys` that came true or are overdue; the others stay open."""
        done = 0
        for key in keys:
            if key not in held:
                continue
            done += 1 + len(held[key])
            if done > KEYS_PER_SLICE:
                done = 0
                yield
            came, made = key in moved, held.pop(key)
            over = [one for one in made if came or one[1] < now_ms]
            self._count[by] -= len(over)
            for chance, due in over:
                self._of(by, now_ms).add(chance, came and due >= now_ms)
            if len(over) < len(made):
                held[key] = [one for one in made if one[1] >= now_ms]

    def charge(self, now_ms: float, by: str, cost: float) -> None:
        """Charge a predictor for an unused prefetch order, in mean calls' worth."""
        sums = self._of(by, now_ms)
        sums.net -= cost
        sums.spent += cost

    def credit(self, now_ms: float, by: str, gain: float) -> None:
        """Credit a predictor for a used prefetch order: what calls would have lost without it."""
        self._of(by, now_ms).net += gain

    def good(self, by: str) -> bool:
        """Whether a predictor was good enough of late to be used."""
        sums = self.sums.get(by)
        if sums is None or sums.weight < self.settings.least:
            return False
        return (
            sums.skill > self.settings.margin
            and sums.loss < sums.base_loss
            and sums.net >= -self.settings.allow
        )

    def best(self, names: list[str]) -> str | None:
        """Of these predictors the one with the highest skill that may be used; None where there is none."""
        able = [name for name in names if self.good(name)]
        return max(able, key=lambda name: (self.sums[name].skill, name), default=None)

    def table(self, by: str) -> list[tuple[float, float, float]]:
        """The reliability table by tenths of chance.

        The count, the mean chance, and the part that came true.
        """
        rows = self.sums.get(by, ScoreSums()).bins
        return [(n, p / n if n else 0.0, seen / n if n else 0.0) for n, p, seen in rows]

    def _of(self, by: str, now_ms: float) -> ScoreSums:
        return self.sums.setdefault(by, ScoreSums(at_ms=now_ms))
