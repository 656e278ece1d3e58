"""One loader's work: what is wanted of it, its orders under way, and when a copy may stand.

Pure. Orders go through the module (`CopiesWanted`), within its ration or not at all. So one that is not made
is asked for again, after its scorer was asked whether a copy stands there by another's order.
"""

from bisect import bisect_right
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from fawnwharf import interface as io
from fawnwharf.recovery_core.budget import LoadCoordinator
from fawnwharf.recovery_service.actions import LoadOrder, SendPermitMessage
from fawnwharf.recovery_service.delegated_loads import SpareRates
from fawnwharf.recovery_service.load_permits import LoadPermits
from fawnwharf.recovery_service.permit_messages import (
    DelegatedLoadOrder,
    DelegatedLoadReport,
    DelegatedLoadResult,
    LoadRequest,
)

ORDER_MS = 100.0  # by then the module has made an order of what it was told, or it makes none
UNMADE_MS = 1_000.0  # an order that was not made, and of which its scorer says nothing for so long
ORDER_TIMEOUT_MS = 10_000.0  # an order without an answer for so long has failed
RETRY_MS, UNMADE_RETRY_MS = 500.0, 250.0  # after an order that failed, or that the module did not make
SORT_MS = 250.0  # pace of the look at who is ahead of whom
MIN_ETA_MS = 50.0  # no copy is expected earlier
MAX_FUNCTIONS = 20_000  # functions

COUNTING_RESULTS = (
    io.AttemptResult.GOOD,
    io.AttemptResult.FULL,
    io.AttemptResult.ERROR,
)  # an order's answer that counts copies


@dataclass(slots=True)
class _FunctionLoad:
    kind: str
    lanes: int
    load_ms: float | None
    worth_ps: float = 0.0  # the largest that was told
    failed: dict[int, float] = field(default_factory=dict)  # scorers, until when


@dataclass(slots=True)
class _OpenLoadOrder:
    worker: int
    told_ms: float  # to the module; once the order went, when that was
    went: bool = False
    asked_ms: float | None = None  # the scorer, as the module made no order
    lent: str = ""  # to whom; it counts as gone out
    made: bool = False  # there


class LoadCoordination:
    """Owns what is wanted of this loader, and its orders."""

    def __init__(
        self,
        me: str,
        seats: LoadPermits,
        order: Callable[[str], Sequence[int]],
        stands: Callable[[str], bool],
        room: Callable[[], float],
    ) -> None:
        """`order`: a function's scorers that take calls, by its hash order; `stands`: a copy does; `room`:
        orders that the module may still make."""
        self.me, self.seats, self._order, self._stands, self._room = me, seats, order, stands, room
        self.spares = SpareRates()
        self._left = 0.0  # of the room, as of this look
        self.loader = LoadCoordinator(max_concurrent=0)
        self.counts: dict[str, int] = {}
        self.under_way: dict[str, _OpenLoadOrder] = {}
        self._facts: dict[str, _FunctionLoad] = {}
        self._later: dict[str, tuple[float, float]] = {}  # from when, worth
        self._worths: tuple[float, list[float]] = (float("-inf"), [])

    def _count(self, cause: str) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + 1

    def rest(self) -> None:
        """It is calm: each orders what it needs."""
        self._later.clear()
        self.loader.requests, self.loader.queue = {}, []
        self._facts = {row: facts for row, facts in self._facts.items() if row in self.under_way}

    # --- what is wanted ---------------------------------------------------------------------------

    def want(self, now_ms: float, wanted: LoadRequest) -> None:
        if wanted.row in self.under_way:
            return
        if wanted.row not in self._facts:
            if len(self._facts) >= MAX_FUNCTIONS:
                self._count("functions beyond what is kept")
                return
            self._facts[wanted.row] = _FunctionLoad(wanted.kind, wanted.lanes, wanted.load_ms)
        facts = self._facts[wanted.row]
        facts.worth_ps = max(facts.worth_ps, wanted.worth_ps)
        self.loader.remove(wanted.row)  # whoever wants it goes by what stands
        self._put(now_ms, wanted.row, wanted.worth_ps)

    def knows(self, row: str) -> bool:
        return row in self._facts

    def _put(self, now_ms: float, row: str, worth_ps: float, at_ms: float = 0.0) -> None:
        """To be ordered when it may be; the larger word on its worth holds."""
        due_ms, worth = max(at_ms, self.seats.due_ms(now_ms, row)), worth_ps
        if row in self._later:
            due_ms, worth = max(due_ms, self._later[row][0]), max(worth, self._later[row][1])
        if due_ms > now_ms:
            self._later[row] = (due_ms, worth)
        else:
            self._later.pop(row, None)
            self.loader.request(row, worth)

    def eta_ms(self, now_ms: float, row: str) -> float:
        """As `Loader.eta_ms`, of many."""
        fetch_ms, way = self.loader.fetch_ms, self.under_way.get(row)
        if way is not None:
            return max(MIN_ETA_MS, way.told_ms + fetch_ms - now_ms)
        if now_ms - self._worths[0] >= SORT_MS:
            self._worths = (now_ms, sorted(self.loader.requests.values()))
        worths, later = self._worths[1], self._later.get(row)
        worth = self.loader.requests.get(row, later[1] if later else 0.0)
        ahead = len(worths) - bisect_right(worths, worth) + len(self.under_way)
        begins_ms = max(self.loader.begins_ms, later[0] if later else now_ms, self.seats.first_ms(now_ms))
        seats = max(1, self.seats.mine) * self.seats.rest
        return max(0.0, begins_ms - now_ms) + fetch_ms * (1.0 + ahead / seats)

    # --- orders -----------------------------------------------------------------------------------

    def orders(self, now_ms: float) -> list[LoadOrder | SendPermitMessage]:
        found: list[LoadOrder | SendPermitMessage] = []
        for row, (due_ms, worth) in list(self._later.items()):
            if due_ms <= now_ms:
                self._put(now_ms, row, worth)
        self.loader.max_concurrent = self.seats.ready(now_ms)
        self._left = self._room() if self.loader.requests else 0.0  # it looks through all functions
        while self.loader.max_concurrent and (rows := self.loader.next_orders(now_ms)):
            for row in rows:
                self.loader.in_progress.discard(row)
                if (order := self._begin(now_ms, row)) is not None:
                    found.append(order)
        return found

    def _begin(self, now_ms: float, row: str) -> LoadOrder | SendPermitMessage | None:
        if self.seats.owner(row) != self.me or self._stands(row):
            return None  # it is another's by now, or was told to stand
        facts = self._facts[row]
        if (due_ms := self.seats.due_ms(now_ms, row)) > now_ms:
            self._later[row] = (due_ms, facts.worth_ps)
            return None
        facts.failed = {worker: until for worker, until in facts.failed.items() if until > now_ms}
        able = [worker for worker in self._order(row) if worker not in facts.failed]
        if not able:
            self._later[row] = (now_ms + RETRY_MS, facts.worth_ps)
            return None
        self.loader.in_progress.add(row)
        own = sum(not way.went for way in self.under_way.values())  # that the module is yet to make
        if self._left - own < 1.0 and (helper := self.spares.take(now_ms)) is not None:
            name, life, number = helper
            self.under_way[row] = _OpenLoadOrder(able[0], now_ms, went=True, lent=name)
            self._count("orders that were lent")
            lend = DelegatedLoadOrder(life, number, able[0], row, facts.kind, facts.lanes, facts.load_ms)
            return SendPermitMessage((name,), lend)
        self.under_way[row] = _OpenLoadOrder(able[0], now_ms)
        return LoadOrder(io.PrefetchRequested(able[0], row, facts.kind, 1, facts.lanes, facts.load_ms))

    def ordered(self, now_ms: float, worker: int, row: str) -> None:
        """The module made an order of what it was told: its load is under way."""
        way = self.under_way.get(row)
        if way is not None and way.worker == worker and not way.went:
            way.went, way.told_ms = True, now_ms

    def is_own(self, worker: int, row: str) -> bool:
        """Whether an order there is one that this loader wants."""
        way = self.under_way.get(row)
        return way is not None and way.worker == worker

    def answered(self, now_ms: float, event: io.LoadOrderAnswered) -> bool:
        """A scorer's answer to an order or a question, whoever's that was. Whether a copy stands that was
        ordered here."""
        row, way = event.function, self.under_way.get(event.function)
        if way is None or way.worker != event.scorer:
            return False
        if event.result in COUNTING_RESULTS and event.copies:
            del self.under_way[row]
            took_ms = now_ms - way.told_ms if way.went else self.loader.fetch_ms
            self.loader.finish_order(row, True, took_ms)
            self._rests(now_ms, took_ms)
            return True
        if way.lent:
            return False  # whoever made the order tells
        # None stands: that answers a question, maybe the module's own of before. An order that is under way
        # it does not end, and one that the module is yet to make neither.
        counted = event.result is io.AttemptResult.GOOD
        if way.went != counted and (way.went or way.asked_ms is not None):
            self._failed(now_ms, row, way, way.went)
        return False

    def lent(self, now_ms: float, sender: str, word: DelegatedLoadReport) -> bool:
        """What came of a loan. Whether a copy stands by it."""
        row, way, what = word.row, self.under_way.get(word.row), DelegatedLoadResult(word.what)
        if way is None or (way.lent, way.worker) != (sender, word.worker):
            self._count("words on loans that were over")
        elif what is DelegatedLoadResult.MADE:
            way.made, way.told_ms = True, now_ms
        elif what is DelegatedLoadResult.STANDS:
            del self.under_way[row]
            self.loader.finish_order(row, True, now_ms - way.told_ms)
            self._rests(now_ms, now_ms - way.told_ms)
            return True
        else:
            way.went = what is DelegatedLoadResult.FAILED
            self._failed(now_ms, row, way, way.went)
        return False

    def _failed(self, now_ms: float, row: str, way: _OpenLoadOrder, there: bool) -> None:
        """It is wanted again, as the last; elsewhere for a while, if that was the scorer's fault. One that
        was never made keeps its place."""
        del self.under_way[row]
        self.loader.in_progress.discard(row)
        facts = self._facts[row]
        if there:
            facts.failed[way.worker] = now_ms + 2 * RETRY_MS
        if way.went:
            self._rests(now_ms, now_ms - way.told_ms)
            facts.worth_ps = 0.0
        self._count("orders that failed" if way.went else "orders that were not made")
        self._put(now_ms, row, facts.worth_ps, now_ms + (RETRY_MS if way.went else UNMADE_RETRY_MS))

    def _rests(self, now_ms: float, took_ms: float) -> None:
        """Where the budget is a part of one fetch, it is that part of the time."""
        if self.seats.rest < 1.0:
            self.loader.begins_ms = now_ms + took_ms * (1.0 / self.seats.rest - 1.0)

    def overdue(self, now_ms: float) -> list[LoadOrder]:
        """The module made no order: it has none to spare, or holds that a copy stands. The scorer knows."""
        found: list[LoadOrder] = []
        for row, way in list(self.under_way.items()):
            waited_ms = now_ms - way.told_ms
            if way.lent and not way.made and waited_ms >= self.seats.usual_ms:
                way.went = False  # it was void, or nothing was heard of it
                self._failed(now_ms, row, way, False)
            elif way.went and waited_ms >= ORDER_TIMEOUT_MS:
                self._failed(now_ms, row, way, True)
            elif not way.went and way.asked_ms is None and waited_ms >= ORDER_MS:
                way.asked_ms = now_ms
                found.append(LoadOrder(io.OrderCopies(way.worker, row, 0)))
            elif not way.went and waited_ms >= ORDER_MS + UNMADE_MS:
                self._failed(now_ms, row, way, True)
        return found
