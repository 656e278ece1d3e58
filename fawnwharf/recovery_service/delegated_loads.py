"""Orders that a loader lends: its seat, another front end's ration. Pure; both sides.

A loader whose module has no order left asks one that said it has. The seat stays the loader's until it hears
what came of the order, or a load's usual time is over; a loan that comes late is void, by the clock of the
one that told that it could order. So an order begins `LENT_MS` after its loader was lost at the latest.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from fawnwharf import interface as io
from fawnwharf.recovery_service import permit_messages as m
from fawnwharf.recovery_service.actions import Action, LoadOrder, SendPermitMessage

SPARE_REPORT_MS, SPARE_REPORT_PER_MEMBER_MS = (
    200.0,
    4.0,
)  # pace of telling, and for each front end that is heard
SPARE_FRESH_MS = 150.0  # for so long a loader counts on what was told
SPARE_VALID_MS = 250.0  # a loan is taken up so long after that was told, at the latest
ORDER_MADE_MS = 100.0  # by then the module has made an order, or it makes none
DELEGATION_MS = SPARE_VALID_MS + ORDER_MADE_MS
ORDER_TIMEOUT_MS = 10_000.0  # an order without an answer
MAX_SPARE_ORDERS, MAX_SPARE_REPORTS = 8, 8  # orders told at a time; words of one's own that are kept in mind


@dataclass(slots=True)
class _ReportedSpareRate:
    life: int
    number: int
    count: int
    heard_ms: float


class SpareRates:
    """A loader's: who could order for it."""

    def __init__(self) -> None:
        self._spares: dict[str, _ReportedSpareRate] = {}

    def told(self, now_ms: float, sender: str, word: m.SpareRate) -> None:
        known = self._spares.pop(sender, None)
        if known is not None and known.life == word.life and word.number <= known.number:
            self._spares[sender] = known
        else:
            self._spares[sender] = _ReportedSpareRate(word.life, word.number, word.count, now_ms)

    def take(self, now_ms: float) -> tuple[str, int, int] | None:
        """One order of whoever told last: its name, life, and the number of what it told."""
        for name, spare in reversed(self._spares.items()):
            if now_ms - spare.heard_ms <= SPARE_FRESH_MS and spare.count > 0:
                spare.count -= 1
                return name, spare.life, spare.number
        return None

    def keep(self, heard: frozenset[str]) -> None:
        self._spares = {name: spare for name, spare in self._spares.items() if name in heard}


@dataclass(slots=True)
class _OpenDelegatedLoad:
    loader: str
    since_ms: float
    made: bool = False


class DelegatedLoadExecutor:
    """One that orders for loaders: what it told them, and their orders under way here."""

    def __init__(self, life: int) -> None:
        self.life, self.counts = life, dict[str, int]()
        self._number, self._told_ms = 0, float("-inf")
        self._told: dict[int, float] = {}  # numbers of what was told: when
        self._loans: dict[tuple[int, str], _OpenDelegatedLoad] = {}
        self._out: list[SendPermitMessage] = []

    def _count(self, cause: str) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + 1

    def spare(
        self, now_ms: float, loaders: Iterable[str], room: float, heard: int
    ) -> list[SendPermitMessage]:
        """Tells them how many orders this one could make, each an equal part; `room`: orders left here,
        infinite where there is no ration, and no loader lacks any."""
        if room == float("inf"):
            return []
        to = tuple(sorted(loaders))
        free = min(MAX_SPARE_ORDERS, int(min(room, MAX_SPARE_ORDERS))) - len(self._loans)
        if (
            not to
            or free < len(to)
            or now_ms - self._told_ms < max(SPARE_REPORT_MS, SPARE_REPORT_PER_MEMBER_MS * heard)
        ):
            return []
        self._number, self._told_ms = self._number + 1, now_ms
        self._told[self._number] = now_ms
        while len(self._told) > MAX_SPARE_REPORTS:
            del self._told[next(iter(self._told))]
        return [SendPermitMessage(to, m.SpareRate(self.life, self._number, free // len(to)))]

    def lend(self, now_ms: float, sender: str, word: m.DelegatedLoadOrder, may: bool) -> list[Action]:
        """A loader's order, to be made here; `may`: loads are allowed."""
        told_ms, place = self._told.get(word.number, float("-inf")), (word.worker, word.row)
        if word.life != self.life or now_ms - told_ms > SPARE_VALID_MS:
            self._count("loans that came late")
            return []  # the loader does not count on it after a load's usual time
        if not may or place in self._loans:
            return [self._word(sender, place, m.DelegatedLoadResult.NOT)]
        self._loans[place] = _OpenDelegatedLoad(sender, now_ms)
        return [
            LoadOrder(io.PrefetchRequested(word.worker, word.row, word.kind, 1, word.lanes, word.load_ms))
        ]

    def _word(self, to: str, place: tuple[int, str], what: m.DelegatedLoadResult) -> SendPermitMessage:
        return SendPermitMessage((to,), m.DelegatedLoadReport(place[0], place[1], int(what)))

    def is_own(self, worker: int, row: str) -> bool:
        return (worker, row) in self._loans

    def ordered(self, worker: int, row: str) -> None:
        """The module made it: the next turn says so."""
        loan = self._loans.get((worker, row))
        if loan is not None and not loan.made:
            loan.made = True
            self._out.append(self._word(loan.loader, (worker, row), m.DelegatedLoadResult.MADE))

    def answered(self, event: io.LoadOrderAnswered, proves: bool) -> list[SendPermitMessage]:
        """`proves`: the answer counts copies."""
        place = event.scorer, event.function
        loan = self._loans.get(place)
        if loan is None:
            return []
        if proves and event.copies:
            del self._loans[place]
            return [self._word(loan.loader, place, m.DelegatedLoadResult.STANDS)]
        if not loan.made or event.result is io.AttemptResult.GOOD:
            return []  # that answers a question
        del self._loans[place]
        return [self._word(loan.loader, place, m.DelegatedLoadResult.FAILED)]

    def tick(self, now_ms: float) -> list[SendPermitMessage]:
        found, self._out = self._out, []
        for place, loan in list(self._loans.items()):
            waited_ms = now_ms - loan.since_ms
            if waited_ms >= (ORDER_TIMEOUT_MS if loan.made else ORDER_MADE_MS):
                del self._loans[place]
                found.append(
                    self._word(
                        loan.loader,
                        place,
                        m.DelegatedLoadResult.FAILED if loan.made else m.DelegatedLoadResult.NOT,
                    )
                )
        return found
