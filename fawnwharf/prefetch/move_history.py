"""History of moves and session ends as decaying counts, bounded in size. Pure.

Moves are counted by tenant, pair of zones and phase of a day that repeats on the monotonic clock, together
with the time that sessions were at risk (occurrence and exposure, as in survival analysis); ends are counted
by tenant and age. A process starts with an empty history, and knows only the phases that it has seen.
"""

import heapq
import math
from typing import TypeVar

from fawnwharf.prefetch import messages as m
from fawnwharf.prefetch.session_monitor import SessionMonitor, SessionRate
from fawnwharf.prefetch.settings import PrefetchSettings
from fawnwharf.prefetch.slices import Slices, run_slices
from fawnwharf.session_types import Session

PRIOR_MS = 10_000.0  # of a session's time without a move, held to be seen: guards against rates of few moves
MAX_KEYS = 50_000
AGES = 16  # doublings of a second
ROWS_PER_SLICE = 30  # of one slice

Move = tuple[str, str, int, str, float]  # tenant, source, phase, destination, moves
Stay = tuple[str, str, int, float]  # tenant, site, phase, milliseconds
Age = tuple[str, int, float, float]  # tenant, doubling, ends, milliseconds

Key = TypeVar("Key")
Row = TypeVar("Row")
RankedRow = TypeVar("RankedRow", Move, Stay, Age)


class MoveHistory:
    """Estimates hazards of moves, and the chance that a session lives on, from the history."""

    def __init__(self, settings: PrefetchSettings) -> None:
        self.settings = settings
        self.dropped = 0
        self._moves: dict[tuple[str, str, int], dict[str, list[float]]] = {}  # destination: [moves, when]
        self._stays: dict[tuple[str, str, int], list[float]] = {}  # [milliseconds, when]
        self._ages: dict[tuple[str, int], list[float]] = {}  # [ends, milliseconds, when]
        self._last_ms: float | None = None

    def phase(self, now_ms: float) -> int:
        """The phase of the day at a moment, from 0 on."""
        day = self.settings.day_ms
        return int((now_ms % day) / day * self.settings.phases) % self.settings.phases

    def learn(self, now_ms: float, watch: SessionMonitor, beat: m.ScanResult) -> None:
        """Take the result of one pass."""
        run_slices(self.learning(now_ms, watch, beat))

    def learning(self, now_ms: float, watch: SessionMonitor, beat: m.ScanResult) -> Slices[None]:
        """The same as `learn`, in slices."""
        span = 0.0 if self._last_ms is None else min(now_ms - self._last_ms, 10 * self.settings.beat_ms)
        self._last_ms = now_ms
        phase = self.phase(now_ms)
        for n, ((org, site), group) in enumerate(list(watch.groups.items())):
            if n % ROWS_PER_SLICE == ROWS_PER_SLICE - 1:
                yield
            stay = self._row(self._stays, (org, site, phase), [0.0, now_ms])
            self._fade(stay, now_ms)
            stay[0] += span * len(group)
            if group and span:
                began_ms = group.one().began_ms  # one of each group stands for its ages: bounded work
                self._age(now_ms, org, now_ms - began_ms, 0.0, span * len(group))
        for n, moved in enumerate(beat.moved):
            if n % ROWS_PER_SLICE == ROWS_PER_SLICE - 1:
                yield
            key = (moved.session.org, moved.source, self.phase(moved.at_ms))
            count = self._row(self._moves, key, {}).setdefault(moved.destination, [0.0, now_ms])
            self._fade(count, now_ms)
            count[0] += 1.0
        for n, ended in enumerate(beat.ended):
            if n % ROWS_PER_SLICE == ROWS_PER_SLICE - 1:
                yield
            self._age(now_ms, ended.session.org, ended.age_ms, 1.0, 0.0)

    def hazards(self, now_ms: float, org: str, site: str, span_ms: float) -> dict[str, float]:
        """Expected moves within a span of a session of this tenant at this zone, by destination.

        These are cumulative hazards: the chance of one move at least is 1 - exp(-sum).
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
                exposed = self._now(stay, now_ms) + PRIOR_MS
                for destination, count in rows.items():
                    found[destination] = (
                        found.get(destination, 0.0) + self._now(count, now_ms) * (until - at) / exposed
                    )
            at = until
        return found

    def ending(self, now_ms: float, org: str, age_ms: float) -> float:
        """The rate of ends, per millisecond, of sessions of that age; constant within a doubling of age."""
        row = self._ages.get((org, _doubling(age_ms)))
        if row is None:
            return 0.0
        ends, exposed = (row[n] * math.exp((row[2] - now_ms) / self.settings.learn_ms) for n in (0, 1))
        return ends / (exposed + PRIOR_MS)

    def lives(self, now_ms: float, session: Session, track: SessionRate, span_ms: float) -> float:
        """The chance that a session is alive although it was silent of late, and goes on calling for a span.

        With calls at rate r and ends at rate e, the sessions that are silent for x and alive relate to those
        that have ended as exp(-(r + e) x) to e / (r + e) (1 - exp(-(r + e) x)) (as in Schmittlein et al.
        1987).
        """
        ends = self.ending(now_ms, session.org, track.last_ms - track.began_ms)
        if ends <= 0.0:
            return 1.0
        calls = track.rate_ps(self.settings, track.last_ms) / 1000.0
        silent = math.exp(-(calls + ends) * max(0.0, now_ms - track.last_ms))
        alive = silent / (silent + ends / (calls + ends) * (1.0 - silent))
        return alive * math.exp(-span_ms * ends)

    def rows(self, now_ms: float, most: int) -> tuple[list[Move], list[Stay], list[Age]]:
        """The history decayed to now, at most `most` rows of each table, the largest ones."""
        moves = [
            (*key, destination, self._now(count, now_ms))
            for key, row in self._moves.items()
            for destination, count in row.items()
        ]
        stays = [(*key, self._now(stay, now_ms)) for key, stay in self._stays.items()]
        ages: list[Age] = []
        for (org, doubling), row in self._ages.items():
            part = math.exp((row[2] - now_ms) / self.settings.learn_ms)
            ages.append((org, doubling, row[0] * part, row[1] * part))
        return _largest(most, moves), _largest(most, stays), _largest(most, ages)

    def take(self, at_ms: float, moves: list[Move], stays: list[Stay], ages: list[Age]) -> None:
        """Take the history of another process, as of `at_ms` of this clock, into an empty one."""
        for org, site, phase, destination, count in moves:
            self._row(self._moves, (org, site, phase), {})[destination] = [count, at_ms]
        for org, site, phase, stay_ms in stays:
            self._row(self._stays, (org, site, phase), [0.0, at_ms])[:] = [stay_ms, at_ms]
        for org, doubling, ends, stay_ms in ages:
            self._row(self._ages, (org, doubling), [0.0, 0.0, at_ms])[:] = [ends, stay_ms, at_ms]

    def _age(self, now_ms: float, org: str, age_ms: float, ends: float, exposed_ms: float) -> None:
        row = self._row(self._ages, (org, _doubling(age_ms)), [0.0, 0.0, now_ms])
        part = math.exp((row[2] - now_ms) / self.settings.learn_ms)
        row[0], row[1], row[2] = row[0] * part + ends, row[1] * part + exposed_ms, now_ms

    def _row(self, table: dict[Key, Row], key: Key, fresh: Row) -> Row:
        """The row of a key; a new one replaces the oldest where the table is full."""
        if key not in table:
            if len(table) >= MAX_KEYS:
                del table[next(iter(table))]
                self.dropped += 1
            table[key] = fresh
        return table[key]

    def _fade(self, row: list[float], now_ms: float) -> None:
        row[0], row[1] = self._now(row, now_ms), now_ms

    def _now(self, row: list[float], now_ms: float) -> float:
        return row[0] * math.exp((row[1] - now_ms) / self.settings.learn_ms)


def _largest(most: int, rows: list[RankedRow]) -> list[RankedRow]:
    """At most `most` rows, those with the largest last value first."""
    return heapq.nlargest(most, rows, key=lambda row: row[-1])


def _doubling(age_ms: float) -> int:
    return min(AGES - 1, max(0, int(math.log2(max(1.0, age_ms / 1000.0)))))
