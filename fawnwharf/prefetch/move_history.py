"""History of moves and session ends as exponentially decaying counts of bounded size. No I/O.

Moves are counted by tenant, pair of zones and phase of the day, where days are periods of the monotonic
clock. The time that sessions were at risk is counted with them (occurrence and exposure, as in survival
analysis). Session ends are counted by tenant and age. A process starts with an empty history and knows only
the phases that it has seen.
"""

import heapq
import math
from typing import TypeVar

from fawnwharf.prefetch import messages as m
from fawnwharf.prefetch.session_monitor import SessionMonitor, SessionRate
from fawnwharf.prefetch.settings import PrefetchSettings
from fawnwharf.prefetch.slices import Slices, run_slices
from fawnwharf.session_types import Session

PRIOR_MS = 10_000.0  # prior exposure without a move; keeps rates from few moves low
MAX_KEYS = 50_000  # rows of each table
AGE_CLASSES = 16  # age classes; each is twice as long as the one before, from 1 s
ROWS_PER_SLICE = 30

MoveRow = tuple[str, str, int, str, float]  # tenant, source, phase, destination, moves
StayRow = tuple[str, str, int, float]  # tenant, site, phase, milliseconds
AgeRow = tuple[str, int, float, float]  # tenant, age_class, ends, milliseconds

Key = TypeVar("Key")
Row = TypeVar("Row")
RankedRow = TypeVar("RankedRow", MoveRow, StayRow, AgeRow)


class MoveHistory:
    """Estimates the hazards of moves and the survival probability of sessions from the history."""

    def __init__(self, settings: PrefetchSettings) -> None:
        self.settings = settings
        self.dropped = 0
        self._moves: dict[tuple[str, str, int], dict[str, list[float]]] = {}  # destination: [moves, when]
        self._stays: dict[tuple[str, str, int], list[float]] = {}  # [milliseconds, when]
        self._ages: dict[tuple[str, int], list[float]] = {}  # [ends, milliseconds, when]
        self._last_ms: float | None = None

    def phase(self, now_ms: float) -> int:
        """Return the phase of the day at a time, counted from 0."""
        day = self.settings.day_ms
        return int((now_ms % day) / day * self.settings.phases) % self.settings.phases

    def learn(self, now_ms: float, watch: SessionMonitor, beat: m.ScanResult) -> None:
        """Add the result of one pass."""
        run_slices(self.learning(now_ms, watch, beat))

    def learning(self, now_ms: float, watch: SessionMonitor, beat: m.ScanResult) -> Slices[None]:
        """Do the same as `learn`, in slices."""
        span = 0.0 if self._last_ms is None else min(now_ms - self._last_ms, 10 * self.settings.beat_ms)
        self._last_ms = now_ms
        phase = self.phase(now_ms)
        for n, ((org, site), group) in enumerate(list(watch.groups.items())):
            if n % ROWS_PER_SLICE == ROWS_PER_SLICE - 1:
                yield
            stay = self._row(self._stays, (org, site, phase), [0.0, now_ms])
            self._decay_row(stay, now_ms)
            stay[0] += span * len(group)
            if group and span:
                began_ms = group.one().began_ms  # one session represents its group's age, to bound the work
                self._count_age(now_ms, org, now_ms - began_ms, 0.0, span * len(group))
        for n, moved in enumerate(beat.moved):
            if n % ROWS_PER_SLICE == ROWS_PER_SLICE - 1:
                yield
            key = (moved.session.org, moved.source, self.phase(moved.at_ms))
            count = self._row(self._moves, key, {}).setdefault(moved.destination, [0.0, now_ms])
            self._decay_row(count, now_ms)
            count[0] += 1.0
        for n, ended in enumerate(beat.ended):
            if n % ROWS_PER_SLICE == ROWS_PER_SLICE - 1:
                yield
            self._count_age(now_ms, ended.session.org, ended.age_ms, 1.0, 0.0)

    def hazards(self, now_ms: float, org: str, site: str, span_ms: float) -> dict[str, float]:
        """Return a session's expected moves from zone `site` within `span_ms`, by destination.

        These are cumulative hazards: the probability of at least one move is 1 - exp(-sum).
        """
        found: dict[str, float] = {}
        width = self.settings.day_ms / self.settings.phases
        at, end = now_ms, now_ms + min(span_ms, self.settings.day_ms)
        while at < end - 1e-6:
            until = min(end, (math.floor(at / width + 1e-9) + 1) * width)
            key = (org, site, self.phase(at + 1e-6))
            rows = self._moves.get(key)
            if rows:
                stay = self._stays.get(key, [0.0, now_ms])
                exposed = self._decayed(stay, now_ms) + PRIOR_MS
                for destination, count in rows.items():
                    found[destination] = (
                        found.get(destination, 0.0) + self._decayed(count, now_ms) * (until - at) / exposed
                    )
            at = until
        return found

    def ending(self, now_ms: float, org: str, age_ms: float) -> float:
        """Return the rate of session ends per millisecond at an age; it is constant in each age class."""
        row = self._ages.get((org, _age_class(age_ms)))
        if row is None:
            return 0.0
        ends, exposed = (row[n] * math.exp((row[2] - now_ms) / self.settings.learn_ms) for n in (0, 1))
        return ends / (exposed + PRIOR_MS)

    def lives(self, now_ms: float, session: Session, track: SessionRate, span_ms: float) -> float:
        """Return the probability that a session is still alive and stays alive for `span_ms`.

        With calls at rate r and ends at rate e, the ratio of live sessions that are silent for a time x to
        ended sessions is exp(-(r + e) x) to e / (r + e) (1 - exp(-(r + e) x)) (Schmittlein et al. 1987).
        """
        ends = self.ending(now_ms, session.org, track.last_ms - track.began_ms)
        if ends <= 0.0:
            return 1.0
        calls = track.rate_ps(self.settings, track.last_ms) / 1000.0
        silent = math.exp(-(calls + ends) * max(0.0, now_ms - track.last_ms))
        alive = silent / (silent + ends / (calls + ends) * (1.0 - silent))
        return alive * math.exp(-span_ms * ends)

    def rows(self, now_ms: float, most: int) -> tuple[list[MoveRow], list[StayRow], list[AgeRow]]:
        """Return the `most` largest rows of each table, decayed to `now_ms`."""
        moves = [
            (*key, destination, self._decayed(count, now_ms))
            for key, row in self._moves.items()
            for destination, count in row.items()
        ]
        stays = [(*key, self._decayed(stay, now_ms)) for key, stay in self._stays.items()]
        ages: list[AgeRow] = []
        for (org, age_class), row in self._ages.items():
            factor = math.exp((row[2] - now_ms) / self.settings.learn_ms)
            ages.append((org, age_class, row[0] * factor, row[1] * factor))
        return _largest(most, moves), _largest(most, stays), _largest(most, ages)

    def take(self, at_ms: float, moves: list[MoveRow], stays: list[StayRow], ages: list[AgeRow]) -> None:
        """Load the history of another process, as of `at_ms`, into this empty one."""
        for org, site, phase, destination, count in moves:
            self._row(self._moves, (org, site, phase), {})[destination] = [count, at_ms]
        for org, site, phase, stay_ms in stays:
            self._row(self._stays, (org, site, phase), [0.0, at_ms])[:] = [stay_ms, at_ms]
        for org, age_class, ends, stay_ms in ages:
            self._row(self._ages, (org, age_class), [0.0, 0.0, at_ms])[:] = [ends, stay_ms, at_ms]

    def _count_age(self, now_ms: float, org: str, age_ms: float, ends: float, exposed_ms: float) -> None:
        row = self._row(self._ages, (org, _age_class(age_ms)), [0.0, 0.0, now_ms])
        factor = math.exp((row[2] - now_ms) / self.settings.learn_ms)
        row[0], row[1], row[2] = row[0] * factor + ends, row[1] * factor + exposed_ms, now_ms

    def _row(self, table: dict[Key, Row], key: Key, fresh: Row) -> Row:
        """Return the row of a key; a new row replaces the oldest one if the table is full."""
        if key not in table:
            if len(table) >= MAX_KEYS:
                del table[next(iter(table))]
                self.dropped += 1
            table[key] = fresh
        return table[key]

    def _decay_row(self, row: list[float], now_ms: float) -> None:
        row[0], row[1] = self._decayed(row, now_ms), now_ms

    def _decayed(self, row: list[float], now_ms: float) -> float:
        return row[0] * math.exp((row[1] - now_ms) / self.settings.learn_ms)


def _largest(most: int, rows: list[RankedRow]) -> list[RankedRow]:
    """Return at most `most` rows, ordered by their last value, the largest first."""
    return heapq.nlargest(most, rows, key=lambda row: row[-1])


def _age_class(age_ms: float) -> int:
    return min(AGE_CLASSES - 1, max(0, int(math.log2(max(1.0, age_ms / 1000.0)))))
