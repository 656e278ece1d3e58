"""Orders that a loader lends: its seat, another front end's ration. Pure; both sides.

A loader whose module has no order left asks one that said it has. The seat stays the loader's until it hears
what came of the order, or a load's usual time is over; a loan that comes late is void, by the clock of the
one that told that it could order. So an order begins `LENT_MS` after its loader was lost at the latest.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from fawnwharf import interface as io
from fawnwharf.recovery_service import given_words as m
from fawnwharf.recovery_service.outs import Order, Out, Words

SPARE_MS, SPARE_EACH_MS = 200.0, 4.0  # pace of telling, and for each front end that is heard
FRESH_MS = 150.0  # for so long a loader counts on what was told
VOID_MS = 250.0  # a loan is taken up so long after that was told, at the latest
MADE_MS = 100.0  # by then the module has made an order, or it makes none
LENT_MS = VOID_MS + MADE_MS
GONE_MS = 10_000.0  # an order without an answer
SPARE_MOST, KEPT = 8, 8  # orders told at a time; words of one's own that are kept in mind


@dataclass(slots=True)
class _Spare:
    life: int
    number: int
    count: int
    heard_ms: float


class Spares:
    """A loader's: who could order for it."""

    def __init__(self) -> None:
        self._spares: dict[str, _Spare] = {}

    def told(self, now_ms: float, sender: str, word: m.Spare) -> None:
        known = self._spares.pop(sender, None)
        if known is not None and known.life == word.life and word.number <= known.number:
            self._spares[sender] = known
        else:
            self._spares[sender] = _Spare(word.life, word.number, word.count, now_ms)

    def take(self, now_ms: float) -> tuple[str, int, int] | None:
        """One order of whoever told last: its name, life, and the number of what it told."""
        for name, spare in reversed(self._spares.items()):
            if now_ms - spare.heard_ms <= FRESH_MS and spare.count > 0:
                spare.count -= 1
                return name, spare.life, spare.number
        return None

    def keep(self, heard: frozenset[str]) -> None:
        self._spares = {name: spare for name, spare in self._spares.items() if name in heard}


@dataclass(slots=True)
class _Loan:
    loader: str
    since_ms: float
    made: bool = False


class Helping:
    """One that orders for loaders: what it told them, and their orders under way here."""

    def __init__(self, life: int) -> None:
        self.life, self.counts = life, dict[str, int]()
        self._number, self._told_ms = 0, float("-inf")
        self._told: dict[int, float] = {}  # numbers of what was told: when
        self._loans: dict[tuple[int, str], _Loan] = {}
        self._out: list[Words] = []

    def _count(self, cause: str) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + 1

    def spare(self, now_ms: float, loaders: Iterable[str], room: float, heard: int) -> list[Words]:
        """Tells them how many orders this one could make, each an equal part; `room`: orders left here,
        infinite where there is no ration, and no loader lacks any."""
        if room == float("inf"):
            return []
        to = tuple(sorted(loaders))
        free = min(SPARE_MOST, int(min(room, SPARE_MOST))) - len(self._loans)
        if not to or free < len(to) or now_ms - self._told_ms < max(SPARE_MS, SPARE_EACH_MS * heard):
            return []
        self._number, self._told_ms = self._number + 1, now_ms
        self._told[self._number] = now_ms
        while len(self._told) > KEPT:
            del self._told[next(iter(self._told))]
        return [Words(to, m.Spare(self.life, self._number, free // len(to)))]

    def lend(self, now_ms: float, sender: str, word: m.Lend, may: bool) -> list[Out]:
        """A loader's order, to be made here; `may`: loads are allowed."""
        told_ms, place = self._told.get(word.number, float("-inf")), (word.worker, word.row)
        if word.life != self.life or now_ms - told_ms > VOID_MS:
            self._count("loans that came late")
            return []  # the loader does not count on it after a load's usual time
        if not may or place in self._loans:
            return [self._word(sender, place, m.What.NOT)]
        self._loans[place] = _Loan(sender, now_ms)
        return [Order(io.PrefetchRequested(word.worker, word.row, word.kind, 1, word.lanes, word.load_ms))]

    def _word(self, to: str, place: tuple[int, str], what: m.What) -> Words:
        return Words((to,), m.Lent(place[0], place[1], int(what)))

    def is_own(self, worker: int, row: str) -> bool:
        return (worker, row) in self._loans

    def ordered(self, worker: int, row: str) -> None:
        """The module made it: the next turn says so."""
        loan = self._loans.get((worker, row))
        if loan is not None and not loan.made:
            loan.made = True
            self._out.append(self._word(loan.loader, (worker, row), m.What.MADE))

    def answered(self, event: io.LoadOrderAnswered, proves: bool) -> list[Words]:
        """`proves`: the answer counts copies."""
        place = event.scorer, event.function
        loan = self._loans.get(place)
        if loan is None:
            return []
        if proves and event.copies:
            del self._loans[place]
            return [self._word(loan.loader, place, m.What.STANDS)]
        if not loan.made or event.result is io.AttemptResult.GOOD:
            return []  # that answers a question
        del self._loans[place]
        return [self._word(loan.loader, place, m.What.FAILED)]

    def tick(self, now_ms: float) -> list[Words]:
        found, self._out = self._out, []
        for place, loan in list(self._loans.items()):
            waited_ms = now_ms - loan.since_ms
            if waited_ms >= (GONE_MS if loan.made else MADE_MS):
                del self._loans[place]
                found.append(self._word(loan.loader, place, m.What.FAILED if loan.made else m.What.NOT))
        return found
