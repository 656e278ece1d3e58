"""Foresight in a running front end: what it hears in, its word to others, orders and moves out.

Free of I/O and clock. A host hands in each batch of events (`events`), others' words (`heard`), plans
(`announced`), and calls `beat` until it says to wait: a look at all sessions is done in slices, so that none
holds up the serving loop. Times are milliseconds of the monotonic clock.

Logs of state are a star: keepers hear all, and all hear the keepers. So keepers alone foresee and order; a
front end that is none only tells what it counted.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from msgspec import Struct

from fawnwharf import interface as io
from fawnwharf.foresight import messages as m
from fawnwharf.foresight.core import Foresight
from fawnwharf.foresight.known import Copies, Functions, Scorers, Told
from fawnwharf.foresight.planner import View
from fawnwharf.foresight.predictors import Belongs, Parts, Place, Whither, _homeless, _unplaced
from fawnwharf.foresight.settings import Foresight as Bounds
from fawnwharf.foresight.settings import Prices
from fawnwharf.replication.placement import weight
from fawnwharf.sites import LetGo, Move, Session, Stage

OPEN_MOST = 50_000  # calls whose answers are awaited
TELLS_MOST = 200  # functions of one word
ORDER_LAG_MS = 200.0  # by then the module has counted what was wanted of it


class Seen(Struct):
    """What a host sees at a beat."""

    heard: Sequence[str] = ()  # keepers that are heard, this one among them if it is one
    waiting: int = 0  # calls that wait in the module
    refused: int = 0  # calls that were refused so far, a count that only grows
    ordered: int | None = None  # orders within the window of the ration, as the module has them
    disturbed: frozenset[str] = frozenset()  # sites that are lost, or power up, as far as the host knows


class Word(Struct, frozen=True):
    """What one front end tells others: calls by session and site, functions, and whether it is calm."""

    counts: m.Word
    functions: tuple[Told, ...] = ()
    calm: bool = True


class Beat(Struct):
    """What is to be done now, and in how many milliseconds `beat` is to be called again."""

    words: list[Word] = []  # to keepers; of a keeper to all
    wanted: list[io.CopiesWanted] = []  # events for the module
    stages: list[Stage] = []  # the same by function and site
    let_gos: list[LetGo] = []  # staged, and not needed: nothing renews it any more
    moves: list[Move] = []  # expected, as of the last whole look
    again_ms: float = 0.0


class Staging:
    """Owns one front end's foresight, and what it rests on."""

    def __init__(
        self,
        me: str,
        bounds: Bounds,
        site: io.Settings,
        prices: Prices,
        whither: Whither | None = None,
        place: Place = _unplaced,
        belongs: Belongs = _homeless,
    ) -> None:
        """`whither` says where a session goes whose site is closed; without it, by hash over the others."""
        self.me, self.bounds = me, bounds
        self.scorers = Scorers(site)
        self.functions = Functions(bounds.sessions)
        self.copies = Copies(self.scorers, self.functions, site.idle_life_ms)
        self.core = Foresight(bounds, site, prices, me, whither or self._whither, place, belongs)
        self.dropped: dict[str, int] = {}
        self._open: OrderedDict[str, Session] = OrderedDict()
        self._wanted: list[tuple[float, int]] = []  # when, how many
        self._look_ms = float("-inf")
        self._calm = True
        self._refused = 0
        self._usual = 0.0  # calls that wait, in calm

    # --- what happens ---------------------------------------------------------------------------

    def events(self, now_ms: float, unix_ms: float, events: Iterable[io.Event]) -> None:
        """A batch, before the module has it."""
        for event in events:
            kind = type(event)
            if kind is io.RequestArrived:
                self.scorers.arrived(now_ms)
                self.functions.arrived(now_ms, event)
                if len(self._open) >= OPEN_MOST:
                    self._open.popitem(last=False)
                if event.tenant and event.function:
                    self._open[event.request] = Session(event.tenant, event.function)
            elif kind is io.AttemptEnded:
                self._ended(now_ms, event)
            elif kind is io.OrderAnswered:
                self._answered(now_ms, event)
            elif kind is io.ClientLeft:
                self._open.pop(event.request, None)
            elif kind is io.RosterChanged:
                self.scorers.roster(now_ms, now_ms - unix_ms, event)
            elif kind is io.Elsewhere:
                for row, copies in event.copies.items():
                    self.copies.seen(now_ms - event.age_ms, row, event.worker, copies)

    def _ended(self, now_ms: float, event: io.AttemptEnded) -> None:
        session = self._open.get(event.request)
        if session is None:
            return
        if event.closed:
            del self._open[event.request]
        if event.ending in (io.Ending.CONNECT_FAILED, io.Ending.RESET, io.Ending.TIMEOUT):
            self.scorers.rest(now_ms, event.worker)
        self.scorers.gave(now_ms, event.worker)
        if event.ending not in (io.Ending.GOOD, io.Ending.ERROR):
            return
        site = self.scorers.zone(event.worker)
        if site:
            self.called(now_ms, session, site)
        if event.ending is io.Ending.GOOD:
            self.copies.seen(now_ms, session.row, event.worker, 1)
            if event.warmth in (io.Warmth.UNTOLD, io.Warmth.FOUND):
                self.functions.ran(session.row, event.took_ms)
            elif event.warmth is io.Warmth.BEGAN_LOAD:
                facts = self.functions.facts(session.row)
                run_ms = facts.run_ms if facts else 0.0
                self.functions.loaded(session.row, max(1.0, event.took_ms - run_ms))

    def _answered(self, now_ms: float, event: io.OrderAnswered) -> None:
        self.scorers.ordered.append(now_ms)
        if event.ending is io.Ending.GOOD:
            self.copies.seen(now_ms, event.function, event.worker, event.copies)
        elif event.ending not in (io.Ending.CANCELLED, io.Ending.NOT_SENT):
            self.scorers.rest(now_ms, event.worker)

    def called(self, now_ms: float, session: Session, site: str) -> None:
        """A call ran somewhere; `events` tells it by itself."""
        self.core.called(now_ms, session, site)

    def heard(self, now_ms: float, owner: str, word: Word) -> None:
        """Another front end's word; `owner` is of one life of it."""
        self.core.heard(now_ms, owner, word.counts)
        for told in word.functions:
            self.functions.heard(told)

    def gone(self, owner: str) -> None:
        """That life is over."""
        self.core.watch.gone(owner)

    def announced(self, now_ms: float, plan: m.Announced) -> bool:
        """What is to become of a site. False: an older one than is known."""
        return self.core.announced(now_ms, plan)

    # --- looks ----------------------------------------------------------------------------------

    def beat(self, now_ms: float, seen: Seen) -> Beat:
        """Does the next slice; to be called again after `again_ms`."""
        found = Beat()
        due = self._look_ms + self.bounds.beat_ms
        if now_ms < due:
            found.again_ms = due - now_ms
            return found
        self._look_ms = now_ms
        self.scorers.at(now_ms)
        self._weather(seen)
        found.words.append(Word(self.core.word(), self.functions.tells(now_ms, TELLS_MOST), self._calm))
        for order in self.core.step(now_ms, self._view(now_ms, seen)):
            if isinstance(order, LetGo):
                found.let_gos.append(order)
            else:
                found.stages.append(order.stage)
                found.wanted += self._want(now_ms, order)
        found.moves = self.core.moves
        found.again_ms = self.bounds.beat_ms
        return found

    def _weather(self, seen: Seen) -> None:
        refused, self._refused = seen.refused - self._refused, seen.refused
        self._calm = seen.waiting <= max(3.0, 2.0 * self._usual) and refused <= 1
        if self._calm:
            self._usual += 0.05 * (seen.waiting - self._usual)

    def _want(self, now_ms: float, order: m.Order) -> list[io.CopiesWanted]:
        facts = self.functions.facts(order.stage.row)
        self._wanted.append((now_ms, len(order.scorers)))
        found = []
        for name in order.scorers:
            self.scorers.gave(now_ms, int(name))
            found.append(
                io.CopiesWanted(int(name), order.stage.row, facts.class_name, 1, facts.lanes, facts.load_ms)
            )
        return found

    def _view(self, now_ms: float, seen: Seen) -> View:
        scorers, unit_mb = self.scorers, self.bounds.unit_mb
        self._wanted = [one for one in self._wanted if now_ms - one[0] < ORDER_LAG_MS]
        left, most = scorers.ration(seen.ordered, sum(count for _, count in self._wanted))
        return View(
            me=self.me,
            heard=tuple(seen.heard),
            calm=self._calm,
            disturbed=seen.disturbed,
            ration=left,
            ration_most=most,
            waiting=seen.waiting,
            facts=self.functions.facts,
            order=lambda row, site: [str(worker) for worker in scorers.order(row, site)],
            cold_room=lambda name: scorers.cold_room(int(name)),
            spare_mb=lambda site: unit_mb * scorers.units(site) - self.copies.held_mb(site),
            standing=lambda row, site: self.copies.standing(now_ms, row, site),
            memory_mb=unit_mb * max(1.0, scorers.units()),
            mean_ps=scorers.rate_ps() * max(1, len(seen.heard)),
        )

    def _whither(self, session: Session, site: str) -> Parts:
        others = [other for other in self.scorers.sites() if other != site]
        if not others:
            return ()
        return ((max(others, key=lambda other: weight("site", other, session.org, session.row)), 1.0),)
