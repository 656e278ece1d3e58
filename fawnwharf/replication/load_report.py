"""What one life of one front end tells others of its work: sends to cold scorers, orders to load that are
under way, copies that answers proved. Pure; times are of the monotonic clock, in milliseconds.

What is told of sends and loads is all there is, so that a later word takes the place of an earlier one; of
copies it is what changed, or was told long ago.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from fawnwharf import interface as io
from fawnwharf.replication import messages as m

SCORERS_MOST, LOADS_MOST, NEWS_MOST = 64, 64, 96  # in a word
COPIES_MOST, ORDERS_MOST, SENDS_MOST = 1_000, 512, 4_000  # kept in mind; sends by scorer
LOAD_LONG_MS = 10_000.0  # an order without an answer for so long is no load any more
AGAIN = 1 / 3  # of a copy's time: so long after it was told, a later proof of it is news

_PROVES = (
    io.AttemptResult.GOOD,
    io.AttemptResult.FULL,
    io.AttemptResult.ERROR,
)  # an order's answer that counts copies

Place = tuple[int, str]  # scorer and function


@dataclass(slots=True)
class _Copy:
    copies: int
    proof_ms: float
    told: int = -1  # copies, as told last
    told_ms: float = -math.inf  # the proof's, as told last


@dataclass(slots=True)
class LoadReporter:
    """One owner's work, as the table of requests sees it go and come back."""

    cold_ms: float
    fall_ms: float
    copies_ms: float
    number: int = 0  # of the last word
    cut: int = 0  # copies and loads that found no room in a word, in all
    known: set[int] = field(default_factory=set)  # scorers
    _cold: dict[int, float] = field(default_factory=dict)  # scorers, until when
    _sent: dict[int, deque[float]] = field(default_factory=dict)
    _orders: dict[Place, list[float]] = field(default_factory=dict)
    _copies: dict[Place, _Copy] = field(default_factory=dict)  # the latest proof last
    _news: dict[Place, None] = field(default_factory=dict)

    # --- what is seen ---------------------------------------------------------------------------

    def roster(self, now_ms: float, unix_ms: float, entries: Iterable[io.ScorerEntry], whole: bool) -> None:
        """Scorers as the module is told of them; `unix_ms` is now on the clock of their starts."""
        entries = list(entries)
        if whole:
            self._lose(self.known - {entry.scorer for entry in entries})
        for entry in entries:
            if entry.state is io.ScorerState.GONE:
                self._lose({entry.scorer})
                continue
            self.known.add(entry.scorer)
            age = math.inf if entry.up_since_ms is None else max(0.0, unix_ms - entry.up_since_ms)
            if age < self.cold_ms:
                self._cold[entry.scorer] = now_ms + self.cold_ms - age
                for place in [p for p in self._copies if p[0] == entry.scorer]:
                    if self._copies[place].proof_ms < now_ms - age:
                        self._forget(place)

    def _lose(self, workers: set[int]) -> None:
        self.known -= workers
        for worker in workers:
            self._cold.pop(worker, None)
            self._sent.pop(worker, None)
        for place in [p for p in self._copies if p[0] in workers] if workers else ():
            self._forget(place)

    def _forget(self, place: Place) -> None:
        self._copies.pop(place, None)
        self._news.pop(place, None)

    def cold(self, now_ms: float) -> set[int]:
        """Scorers that started within `cold_ms`."""
        for worker in [worker for worker, until in self._cold.items() if until <= now_ms]:
            del self._cold[worker]
            self._sent.pop(worker, None)
        return set(self._cold)

    @property
    def loads(self) -> bool:
        """Whether an order to load is under way."""
        return bool(self._orders)

    def sent(self, now_ms: float, worker: int) -> None:
        if self._cold.get(worker, -math.inf) > now_ms:
            self._sent.setdefault(worker, deque(maxlen=SENDS_MOST)).append(now_ms)

    def ended(
        self, now_ms: float, worker: int, function: str, ending: io.AttemptResult, warmth: io.Warmth
    ) -> None:
        """An attempt: a good answer proves a copy, a miss that there is none."""
        if ending is io.AttemptResult.GOOD:
            known = self._copies.get((worker, function))
            self._prove(now_ms, (worker, function), max(1, known.copies if known else 0))
        elif ending is io.AttemptResult.MISS or warmth is io.Warmth.LOAD_FAILED:
            self._prove(now_ms, (worker, function), 0)

    def ordered(self, now_ms: float, worker: int, function: str, copies: int) -> None:
        """An order; one of no copies is a question."""
        if copies and len(self._orders) < ORDERS_MOST:
            self._orders.setdefault((worker, function), []).append(now_ms)

    def order_ended(
        self, now_ms: float, worker: int, function: str, wanted: int, ending: io.AttemptResult, copies: int
    ) -> None:
        if wanted and (begun := self._orders.get((worker, function))):
            begun.pop(0)
            if not begun:
                del self._orders[worker, function]
        if ending in _PROVES:
            self._prove(now_ms, (worker, function), copies)

    def _prove(self, now_ms: float, place: Place, copies: int) -> None:
        copy = self._copies.pop(place, None) or _Copy(copies, now_ms)
        copy.copies, copy.proof_ms = min(copies, 1_000), now_ms
        self._copies[place] = copy
        if copy.told != copy.copies or now_ms - copy.told_ms >= AGAIN * self.copies_ms:
            self._news.pop(place, None)
            self._news[place] = None
        if len(self._copies) > COPIES_MOST:
            self._forget(next(iter(self._copies)))

    # --- what is told ---------------------------------------------------------------------------

    def word(self, now_ms: float, after: dict[str, int], wants: str = "", since: int = 0) -> m.LoadReport:
        """The next word; `after` names the last answer of each keeper, `wants` the one that is to tell all
        that is news since its answer `since`."""
        self.number += 1
        cold, sent = self.cold(now_ms), {}
        for worker, times in self._sent.items():
            while times and times[0] <= now_ms - self.fall_ms:
                times.popleft()
            if times and worker in cold:
                sent[worker] = len(times)
        for place, begun in list(self._orders.items()):
            self._orders[place] = [at for at in begun if now_ms - at <= LOAD_LONG_MS]
            if not self._orders[place]:
                del self._orders[place]
        loads = sorted(((at, place) for place, (*_, at) in self._orders.items()), reverse=True)
        news = self._newest(now_ms)
        cut = max(0, len(loads) - LOADS_MOST) + len(self._news)
        self.cut += cut
        return m.LoadReport(
            self.number,
            after,
            wants,
            since,
            {str(w): n for w, n in sorted(sent.items(), key=lambda item: -item[1])[:SCORERS_MOST]},
            tuple(m.PendingLoad(*place, round(now_ms - at, 1)) for at, place in loads[:LOADS_MOST]),
            tuple(m.ProvenCopy(*place, c.copies, round(now_ms - c.proof_ms, 1)) for place, c in news),
            cut,
        )

    def _newest(self, now_ms: float) -> list[tuple[Place, _Copy]]:
        """News of copies, the latest first; what is left waits, and what is old is none."""
        found = []
        for place in list(reversed(self._news)):
            copy = self._copies[place]
            if now_ms - copy.proof_ms > self.copies_ms:
                del self._news[place]
            elif len(found) < NEWS_MOST:
                del self._news[place]
                copy.told, copy.told_ms = copy.copies, copy.proof_ms
                found.append((place, copy))
        return found
