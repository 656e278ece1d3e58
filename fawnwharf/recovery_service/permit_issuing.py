"""First copies and cold scorers' calls while the fleet returns: what this front end gives out, and what it
asks of others.

Pure: times, words and answers come in, and what is to be done goes out (`outs.py`). Loaders and wardens are
chosen among the keepers that are heard, as only keepers hear all; where none is heard, a front end gives to
itself, within its part. Wants are told to a function's loader once a turn and again while nothing comes of
them, and each is answered: so a word that is lost costs time alone.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from fawnwharf import interface as io
from fawnwharf.recovery_core.budget import FleetLimits, start_offset_ms
from fawnwharf.recovery_core.phases import AllowedActions
from fawnwharf.recovery_core.register import PermitAssignment
from fawnwharf.recovery_service import permit_messages as m
from fawnwharf.recovery_service.actions import Action, CopyAvailable, SendPermitMessage
from fawnwharf.recovery_service.coordinated_slow_start import CoordinatedSlowStart
from fawnwharf.recovery_service.delegated_loads import DELEGATION_MS, DelegatedLoadExecutor
from fawnwharf.recovery_service.load_coordination import (
    COUNTING_RESULTS,
    MIN_ETA_MS,
    RETRY_MS,
    LoadCoordination,
)
from fawnwharf.recovery_service.load_permits import LoadPermits

TICK_MS = 50.0  # words are gathered for so long
RESEND_MS = 1_000.0  # a want of which nothing came is told again
FORGET_MS = 10_000.0  # nobody here has wanted it for so long
VIEW_LAG_MS = 1_750.0  # within which all see who is heard: a quiet member's time, and a look
TYPICAL_LOAD_MS = 2_000.0  # a load takes no longer, as a rule
SPREAD_MS = 1_000.0  # loaders begin within that, where they are dealt by what is heard
ANNOUNCEMENT_VALID_MS = 5_000.0  # for so long one goes by a register that it was told (`Timing.alone_ms`)
EXPIRY_SCAN_MS = 250.0  # and sees so late at the most that it is over
MAX_LOAD_REQUESTS, MAX_PLACEMENTS, MAX_REPORT_VERSIONS = 4_096, 20_000, 20_000


@dataclass(slots=True)
class _LocalLoadRequest:
    """A function that calls here want."""

    kind: str
    lanes: int
    load_ms: float | None
    worth_ps: float
    wanted_ms: float  # last
    told_ms: float = float("-inf")  # to `to`
    to: str = ""
    due_ms: float | None = None  # a copy may stand then, by its loader's word


class PermitIssuer:
    """Owns what is wanted here and of here, and where first copies stand as far as is known."""

    def __init__(
        self,
        name: str,
        life: int,
        limits: FleetLimits,
        order: Callable[[str], Sequence[int]],
        lag_ms: float = VIEW_LAG_MS,
        usual_ms: float = TYPICAL_LOAD_MS,
        room: Callable[[], float] = lambda: math.inf,
    ) -> None:
        """`life` is another one with each start; `order`: a function's scorers that take calls, by its hash
        order; `room`: orders that the module may still make."""
        self.name, self.life, self.limits = name, life, limits
        self.wards = CoordinatedSlowStart(name, life, limits, lag_ms)
        self.seats = LoadPermits(name, limits, lag_ms, usual_ms + DELEGATION_MS)
        self.places: dict[str, tuple[int, str]] = {}  # where a function's first copy stands, and who told
        self.loading = LoadCoordination(name, self.seats, order, self.places.__contains__, room)
        self.helping, self._room = DelegatedLoadExecutor(life), room
        self._counts: dict[str, int] = {}
        self._allowed = AllowedActions()
        self._cut = -1
        self.word_ms = ANNOUNCEMENT_VALID_MS
        self._opening = -1  # this life went by stages of that cut before anything was given in it
        self._heard: frozenset[str] = frozenset()
        self._mine: dict[str, _LocalLoadRequest] = {}
        self._lost: dict[str, int] = {}  # scorers where a copy was told to stand, and did not
        self._last: dict[str, tuple[str, int, int]] = {}  # of a function's copy: who told last, life, number
        self._news: dict[str, None] = {}  # functions of which all are to be told
        self._askers: dict[str, dict[str, None]] = {}  # who is to be told of which
        self._number = 0

    def _count(self, cause: str) -> None:
        self._counts[cause] = self._counts.get(cause, 0) + 1

    @property
    def counts(self) -> dict[str, int]:
        """What was dropped, or came late, by cause."""
        found = {**self._counts, **self.loading.counts, **self.wards.counts, **self.helping.counts}
        if dropped := self.loading.loader.dropped:
            found["wants of others beyond what is kept"] = dropped
        return found

    # --- who gives out what -----------------------------------------------------------------------

    def set(
        self,
        now_ms: float,
        heard: Iterable[str],
        keepers: Iterable[str],
        allowed: AllowedActions,
        cut: int,
        dealt: PermitAssignment | None = None,
    ) -> None:
        """What is seen now; to be told at each change. `heard`: members that gave a sign lately; `dealt`: by
        the register that it follows.

        The first dealing of a cut waits for nothing at one that went by a stage of it before `worth`: no
        earlier life of its own gave in it. One that was told later waits as for any other."""
        heard = frozenset(heard) | {self.name}
        givers = tuple(sorted(heard & frozenset(keepers))) or (self.name,)
        deal, first = None, False
        if dealt is not None and dealt.deals:
            givers, deal = dealt.givers, (dealt.cut, dealt.deals)
            first = dealt.deals == 1 and self._opening == dealt.cut
        elif allowed.loads:
            self._opening = -1  # alone, or through the cut of others
        elif dealt is not None:
            self._opening = dealt.cut
        lag_ms = self.word_ms + EXPIRY_SCAN_MS if deal is not None and not first else 0.0
        self.seats.set(now_ms, givers, allowed.part, cut, deal, lag_ms, first)
        self.wards.set(now_ms, givers, allowed.part, deal, lag_ms, first)
        if allowed.loads and (not self._allowed.loads or cut != self._cut):
            spread_ms = SPREAD_MS if deal is None else 0.0
            self.loading.loader.begins_ms = now_ms + start_offset_ms(self.name, cut, spread_ms)
        for name in heard - self._heard - {self.name} if allowed.loads else ():  # it is told all that stands
            own = [row for row, (_, by) in self.places.items() if by == self.name]
            self._askers.setdefault(name, {}).update(dict.fromkeys(own))
        for name in self._askers.keys() - heard:
            del self._askers[name]
        self.loading.spares.keep(heard)
        self._allowed, self._cut, self._heard = allowed, cut, heard
        if allowed.spill:
            self._mine.clear()
            self.loading.rest()

    def scorer(self, now_ms: float, id: int, age_ms: float) -> None:
        """It takes calls, and started so long ago. One that started anew holds no copy."""
        known_ms = self.wards.age_ms(now_ms, id)
        if known_ms is not None and age_ms < known_ms - RETRY_MS:
            self._empty(now_ms, id)
        self.wards.scorer(now_ms, id, age_ms)

    def gone(self, now_ms: float, id: int) -> list[Action]:
        self._empty(now_ms, id)
        return [*self.wards.gone(id)]

    def _empty(self, now_ms: float, id: int) -> None:
        for row in [row for row, (worker, _) in self.places.items() if worker == id]:
            self.lost(now_ms, row, id)

    # --- calls here -------------------------------------------------------------------------------

    def want(
        self,
        now_ms: float,
        row: str,
        worth_ps: float,
        kind: str,
        lanes: int = 1,
        load_ms: float | None = None,
    ) -> None:
        """Calls here want it, or the use before the cut says that they will."""
        if row in self.places:
            return
        mine = self._mine.get(row)
        if mine is None:
            if len(self._mine) >= MAX_LOAD_REQUESTS:
                self._count("wants beyond what is kept")
                return
            mine = self._mine[row] = _LocalLoadRequest(kind, lanes, load_ms, worth_ps, now_ms)
        mine.worth_ps, mine.wanted_ms = max(mine.worth_ps, worth_ps), now_ms

    def place(self, row: str) -> int | None:
        """The scorer where its first copy stands."""
        found = self.places.get(row)
        return None if found is None else found[0]

    def lost(self, now_ms: float, row: str, worker: int) -> None:
        """No copy stands there any more, as an answer or the roster told."""
        if self.place(row) != worker:
            return
        if self.places.pop(row)[1] == self.name:
            self._news[row] = None
        self.loading.loader.remove(row)
        if len(self._lost) < MAX_LOAD_REQUESTS:
            self._lost[row] = worker

    def eta_ms(self, now_ms: float, row: str) -> float:
        """When a copy may stand, from now; 0: it stands."""
        if row in self.places:
            return 0.0
        if self.seats.owner(row) == self.name:
            return self.loading.eta_ms(now_ms, row)
        mine = self._mine.get(row)
        if mine is None or mine.due_ms is None:
            return self.loading.loader.fetch_ms + 2 * TICK_MS
        return max(MIN_ETA_MS, mine.due_ms - now_ms)

    def ask(self, now_ms: float, scorer: int, key: str) -> float | None:
        """0: send; > 0: not before; None: asked, a `Ticket` tells."""
        return self.wards.ask(now_ms, scorer, key)

    def drop(self, key: str) -> None:
        """The call waits for no ticket any more."""
        self.wards.drop(key)

    # --- words ------------------------------------------------------------------------------------

    def hear(self, now_ms: float, sender: str, word: m.PermitMessage) -> list[Action]:
        if isinstance(word, m.LoadRequests):
            self._wanted(now_ms, sender, word.rows)
        elif isinstance(word, m.CopyReport):
            return self._stands(now_ms, sender, word)
        elif isinstance(word, m.PermitRequest):
            return [*self.wards.asked(now_ms, sender, word)]
        elif isinstance(word, m.SpareRate):
            self.loading.spares.told(now_ms, sender, word)
        elif isinstance(word, m.DelegatedLoadOrder):
            return self.helping.lend(now_ms, sender, word, self._loads)
        elif isinstance(word, m.DelegatedLoadReport):
            if self.loading.lent(now_ms, sender, word):
                return self._stood(now_ms, word.row, word.worker)
        else:
            return [*self.wards.given(now_ms, sender, word)]
        return []

    def _wanted(self, now_ms: float, sender: str, rows: Iterable[m.LoadRequest]) -> None:
        """Its loader is asked; each is answered with the next turn, also what stands already."""
        for wanted in rows:
            if self.seats.owner(wanted.row) != self.name:
                self._count("wanted of another loader")
                continue
            if wanted.lost is not None:
                self.lost(now_ms, wanted.row, wanted.lost)
            if sender != self.name:
                self._askers.setdefault(sender, {})[wanted.row] = None
            if wanted.row not in self.places:
                self.loading.want(now_ms, wanted)

    def _stands(self, now_ms: float, sender: str, word: m.CopyReport) -> list[Action]:
        found: list[Action] = []
        for told in word.rows:
            row, last = told.row, self._last.get(told.row)
            if last is not None and last[:2] == (sender, word.life) and word.number <= last[2]:
                self._count("a word on copies that came late")
                continue
            self._last.pop(row, None)
            self._last[row] = (sender, word.life, word.number)
            if len(self._last) > MAX_REPORT_VERSIONS:
                del self._last[next(iter(self._last))]
            if told.eta_ms == 0.0:
                found += self._note(row, told.worker, sender)
                continue
            place, mine = self.places.get(row), self._mine.get(row)
            if place is not None and sender in (place[1], self.seats.owner(row)):
                del self.places[row]
            if mine is not None and told.eta_ms is not None:
                mine.due_ms = now_ms + told.eta_ms
        return found

    def _note(self, row: str, worker: int, teller: str) -> list[CopyAvailable]:
        """A copy stands; calls that wait for it are told, if it is news."""
        if row not in self.places and len(self.places) >= MAX_PLACEMENTS:
            self._count("places beyond what is kept")
            return []
        new = self.place(row) != worker
        self.places[row] = (worker, teller)
        self._mine.pop(row, None)
        self._lost.pop(row, None)
        return [CopyAvailable(row)] if new else []

    # --- loads ------------------------------------------------------------------------------------

    def ordered(self, now_ms: float, worker: int, row: str) -> None:
        """The module made an order; to be told of each that goes out."""
        self.loading.ordered(now_ms, worker, row)
        self.helping.ordered(worker, row)

    def is_own(self, worker: int, row: str) -> bool:
        """Whether an order there is one that a loader wants, this one or one that lent it."""
        return self.loading.is_own(worker, row) or self.helping.is_own(worker, row)

    def answered(self, now_ms: float, event: io.LoadOrderAnswered) -> list[Action]:
        """A scorer's answer to an order or a question, whoever's that was."""
        if event.result in COUNTING_RESULTS and not event.copies:
            self.lost(now_ms, event.function, event.scorer)
        found: list[Action] = [*self.helping.answered(event, event.result in COUNTING_RESULTS)]
        if self.loading.answered(now_ms, event):
            found += self._stood(now_ms, event.function, event.scorer)
        return found

    def _stood(self, now_ms: float, row: str, worker: int) -> list[Action]:
        """A copy stands that was ordered here."""
        self._news[row] = None
        found: list[Action] = [*self._note(row, worker, self.name)]
        return [*found, *(self.loading.orders(now_ms) if self._loads else ())]  # the seat is free

    @property
    def _loads(self) -> bool:
        return self._allowed.loads and not self._allowed.spill

    # --- turns ------------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[Action]:
        """What is due; to be called every `TURN_MS`."""
        found: list[Action] = [*self.loading.overdue(now_ms), *self.helping.tick(now_ms)]
        if self._loads:
            found += self._wants(now_ms)
            found += self._spare(now_ms)
            found += self.loading.orders(now_ms)
        return [*found, *self._told(now_ms), *self.wards.tick(now_ms)]

    def _spare(self, now_ms: float) -> list[SendPermitMessage]:
        """Others keep this one waiting: it could order for them."""
        loaders = {mine.to for mine in self._mine.values() if mine.to} - {self.name}
        return self.helping.spare(now_ms, loaders, self._room(), len(self._heard)) if loaders else []

    def _wants(self, now_ms: float) -> list[SendPermitMessage]:
        """What calls here want, worth most first, to each loader; to this one itself without a word."""
        by_loader: dict[str, list[tuple[str, _LocalLoadRequest]]] = {}
        for row, mine in list(self._mine.items()):
            if now_ms - mine.wanted_ms > FORGET_MS:
                del self._mine[row]
                continue
            owner = self.seats.owner(row)
            if owner and (mine.to != owner or now_ms - mine.told_ms >= RESEND_MS):
                by_loader.setdefault(owner, []).append((row, mine))
        found = []
        for owner, items in sorted(by_loader.items()):
            rows = []
            for row, mine in sorted(items, key=lambda item: (-item[1].worth_ps, item[0]))[
                : m.MAX_FUNCTIONS_PER_MESSAGE
            ]:
                if mine.to != owner:
                    mine.due_ms = None
                mine.to, mine.told_ms = owner, now_ms
                lost = self._lost.get(row)
                rows.append(m.LoadRequest(row, mine.kind, mine.worth_ps, mine.lanes, mine.load_ms, lost))
            if owner == self.name:
                self._wanted(now_ms, self.name, rows)
            else:
                found.append(SendPermitMessage((owner,), m.LoadRequests(tuple(rows))))
        return found

    def _told(self, now_ms: float) -> list[SendPermitMessage]:
        """What stands or no longer does, to all; what is wanted, to those that want it; a line each."""
        found = [self._word((), now_ms, self._news)] if self._news else []
        for name in list(self._askers):
            if self._askers[name]:
                found.append(self._word((name,), now_ms, self._askers[name]))
            if not self._askers[name]:
                del self._askers[name]
        return found

    def _word(self, to: tuple[str, ...], now_ms: float, rows: dict[str, None]) -> SendPermitMessage:
        """Of these functions the first that a line holds, which are taken out."""
        self._number += 1
        told = []
        for row in list(rows)[: m.MAX_FUNCTIONS_PER_MESSAGE]:
            del rows[row]
            if (worker := self.place(row)) is not None:
                told.append(m.CopyPlacement(row, worker))
            elif self.loading.knows(row) and self.seats.owner(row) == self.name:
                told.append(m.CopyPlacement(row, 0, max(1.0, self.loading.eta_ms(now_ms, row))))
            else:
                told.append(m.CopyPlacement(row, 0, None))
        return SendPermitMessage(to, m.CopyReport(self.life, self._number, tuple(told)))
