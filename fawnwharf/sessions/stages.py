"""Which scorers of this zone hold prefetched copies, and which are to be loaded or released.

Pure; milliseconds.

A scorer is probed first, as what front ends believe of copies is out of date where another one had them
unloaded. Orders go through the decision module (`CopiesWanted`), within its rate limit or not at all: what it
did not order is asked for again, until it stands or is not wanted any more. Those requests wait in a queue,
the oldest first, so that what the rate limit leaves goes to the one that has the least time; no later request
goes before them.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from fawnwharf import interface as io
from fawnwharf.sessions.effects import Copies, Key

AGAIN_MS = 1_000.0  # a question, or an order, of which nothing was heard is made again
BATCH_MS = 20.0  # after which the module has heard of an order
ROWS_MOST = 20_000  # functions of which it is known where they stand
RETRIES_MOST = 4  # orders of those in line that are made again in one look
LET_MOST = 4  # scorers that are told to unload one function


@dataclass(slots=True)
class _Wanted:
    copies: Copies
    asked: dict[int, float] = field(default_factory=dict)  # scorers, and when
    empty: set[int] = field(default_factory=set)  # that answered that none stands
    ordered: dict[int, float] = field(default_factory=dict)
    stand: set[int] = field(default_factory=set)
    failed: set[int] = field(default_factory=set)


Orders = list[io.PrefetchRequested | io.OrderCopies]  # a Hold of no copies is a question


class Stages:
    """Owns what is wanted here, and where copies were seen in this zone."""

    def __init__(
        self,
        order: Callable[[str], Sequence[int]],
        may_order: bool,
        idle_lifetime_ms: float,
        under_way: Callable[[int, str], bool] | None = None,
    ) -> None:
        """`order` gives a function's scorers here that take calls, in the order of its calls.

        `under_way` says whether the module has an order for it there; where that is not known, each is
        repeated after a second.
        """
        self.under_way, self._line = under_way, False  # whether some wait that the module did not order
        self.order, self.may_order, self.life_ms = order, may_order, idle_lifetime_ms
        self.wanted: dict[Key, _Wanted] = {}
        self.came: list[tuple[Key, bool]] = []  # what stands, or can't; whoever goes by it clears it
        self._rows: dict[str, set[Key]] = {}
        self._seen: dict[str, dict[int, float]] = {}

    # --- where copies are -------------------------------------------------------------------------

    def seen(self, now_ms: float, row: str, worker: int, copies: int) -> None:
        """Take an answer that told how many copies stand at a scorer."""
        places = self._seen.pop(row, None) or {}
        if copies:
            places[worker] = now_ms
        else:
            places.pop(worker, None)
        while len(self._seen) >= ROWS_MOST:
            del self._seen[next(iter(self._seen))]
        if places:
            self._seen[row] = places

    def where(self, now_ms: float, row: str) -> list[int]:
        """Scorers of this zone with copies that may still be there, in the order of the function's calls.

        These are the first of that order, as others' calls went there, and those where copies were seen.
        """
        places = {w for w, at_ms in self._seen.get(row, {}).items() if now_ms - at_ms < 2 * self.life_ms}
        order = self.order(row)
        return [worker for n, worker in enumerate(order) if not n or worker in places][:LET_MOST]

    def let_go(self, row: str) -> None:
        """Forget where copies of a function were seen."""
        self._seen.pop(row, None)

    # --- what is wanted ---------------------------------------------------------------------------

    def want(self, now_ms: float, copies: Copies) -> Orders:
        """Take a request for copies; the probes and orders to make now."""
        if not self.may_order or copies.facts is None:
            # Nothing can be ordered, or nobody alive knows its class: calls bring what they need.
            self.came.append((copies.key, True))
            return []
        self.wanted[copies.key] = wanted = _Wanted(copies)
        self._rows.setdefault(copies.row, set()).add(copies.key)
        return self._order(now_ms, wanted)

    def _order(self, now_ms: float, wanted: _Wanted, most: int | None = None) -> Orders:
        """The probes and orders to make at the first scorers that take calls.

        Scorers that could not load are left out; there are so many orders at the most, and none where other
        requests are queued, unless told so.
        """
        what, facts = wanted.copies, wanted.copies.facts
        able = [worker for worker in self.order(what.row) if worker not in wanted.failed][: what.count]
        if not able:
            self._over(what.key, False)
            return []
        lacking = [worker for worker in able if worker not in wanted.stand]
        if not lacking:
            self._over(what.key, True)
            return []
        if most is None:
            most = 0 if self._line else len(lacking)
        found: Orders = []
        for worker in lacking:
            if worker not in wanted.empty:
                if now_ms - wanted.asked.get(worker, float("-inf")) >= AGAIN_MS:
                    wanted.asked[worker] = now_ms
                    found.append(io.OrderCopies(worker, what.row, 0))
            elif not self._is_ordered(now_ms, wanted, worker):
                self._line = self._line or most < 1 or worker in wanted.ordered
                if most > 0:
                    most -= 1
                    wanted.ordered[worker] = now_ms
                    load_ms = facts.load_ms or None
                    found.append(io.PrefetchRequested(worker, what.row, facts.kind, 1, facts.lanes, load_ms))
        return found

    def _is_ordered(self, now_ms: float, wanted: _Wanted, worker: int) -> bool:
        """Whether the module has it, as far as is known."""
        passed_ms = now_ms - wanted.ordered.get(worker, float("-inf"))
        if self.under_way is None:
            return passed_ms < AGAIN_MS
        return passed_ms < BATCH_MS or self.under_way(worker, wanted.copies.row)

    def _over(self, key: Key, stands: bool) -> None:
        self.drop(key)
        self.came.append((key, stands))

    def drop(self, key: Key) -> None:
        """Drop a request."""
        if (wanted := self.wanted.pop(key, None)) is not None:
            keys = self._rows[wanted.copies.row]
            keys.discard(key)
            if not keys:
                del self._rows[wanted.copies.row]

    def answered(self, now_ms: float, event: io.LoadOrderAnswered) -> Orders:
        """Take a scorer's answer to an order or a probe, whoever's that was."""
        good = event.result is io.AttemptResult.GOOD
        if good:
            self.seen(now_ms, event.function, event.scorer, event.copies)
        found = []
        for key in list(self._rows.get(event.function, ())):
            wanted = self.wanted[key]
            if good:
                (wanted.stand if event.copies else wanted.empty).add(event.scorer)
            elif event.scorer in wanted.asked:
                wanted.failed.add(event.scorer)
            found += self._order(now_ms, wanted)
        return found

    def tick(self, now_ms: float) -> Orders:
        """Do what is due, the requests that wait for longest first."""
        found, left, self._line = [], RETRIES_MOST, False
        for key, wanted in list(self.wanted.items()):
            if now_ms >= wanted.copies.until_ms:
                self.drop(key)
                continue
            orders = self._order(now_ms, wanted, left)
            left -= sum(isinstance(order, io.PrefetchRequested) for order in orders)
            found += orders
        return found
