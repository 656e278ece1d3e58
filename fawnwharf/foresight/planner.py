"""What is staged for moves that are expected: ranked by worth for its cost, under four budgets.

Pure; a greedy knapsack over what is handed in. One front end orders for a function at a site, by rendezvous
hash over those that are heard (Thaler and Ravishankar 1998): when it is gone, the next one stands in. Two
that hear different ones may both order, which costs an order, as copies that stand count for it.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from fawnwharf.foresight import messages as m
from fawnwharf.foresight.score import Scores
from fawnwharf.foresight.settings import Foresight, Prices
from fawnwharf.foresight.slices import Slices, drained
from fawnwharf.foresight.worth import Facts, cost, fetched, loss, mean_worth
from fawnwharf.interface import Settings
from fawnwharf.replication.placement import weight
from fawnwharf.sites import LetGo, Move, Session, Stage

BURST_S = 2.0  # of the fleet's fetches, and of the own pace
HELD_MOST = 4_096  # stages of one front end
AWAY_MS = 500.0  # a stage's load may end so much before its calls come
RESTS_MOST = 20_000
CALLED, WISHES, ORDERS_MOST = 400, 12, 64  # of one slice; hash orders worked out at one look


@dataclass(slots=True)
class View:
    """What a front end sees at a look. Functions are asked for what they say only of what may be staged."""

    me: str
    heard: Sequence[str]  # front ends that are heard, this one among them
    calm: bool  # no surge: no calls beyond what is usual wait, none are refused
    disturbed: frozenset[str]  # sites that were lost, or power up
    ration: float  # orders to load that the module's ration leaves now; infinite where there is none
    ration_most: float  # and would leave if none had been given
    waiting: int  # calls that wait for a load now
    facts: Callable[[str], Facts | None]  # of a function; None: not known
    order: Callable[[str, str], Sequence[str]]  # function, site: scorers as its calls will look
    cold_room: Callable[[str], float]  # loads that a scorer may take now, beside its calls: infinite if warm
    spare_mb: Callable[[str], float]  # memory that a site can give to stages, copies staged before not in it
    standing: Callable[[str, str], int]  # function, site: copies that stand or load
    memory_mb: float = 1e6  # of the fleet
    mean_ps: float = 1.0  # calls a second of the fleet
    pushes_out: Callable[[str], float] = lambda _site: 0.0  # the part of a copy in use that a stage displaces


@dataclass(slots=True)
class _Held:
    until_ms: float
    since_ms: float
    by: dict[str, float]  # predictors, by their parts
    sessions: frozenset[Session]
    price: float
    gain: float
    memory_mb: float
    renewed: int = 0


@dataclass(slots=True)
class Bucket:
    """A token bucket that is full at the start."""

    rate_ps: float
    tokens: float = -1.0
    at_ms: float = 0.0

    def left(self, now_ms: float) -> float:
        most = max(1.0, self.rate_ps * BURST_S) if self.rate_ps > 0 else 0.0
        if self.tokens < 0:
            self.tokens = most
        else:
            self.tokens = min(most, self.tokens + self.rate_ps * max(0.0, now_ms - self.at_ms) / 1000.0)
        self.at_ms = now_ms
        return self.tokens


@dataclass(slots=True)
class _Wish:
    """Moves to one site that one function's copies would serve."""

    moves: list[Move] = field(default_factory=list)

    @property
    def chance(self) -> float:
        best: dict[Session, float] = {}
        for move in self.moves:
            best[move.session] = max(move.chance, best.get(move.session, 0.0))
        return 1.0 - math.prod(1.0 - chance for chance in best.values())


def orderer(row: str, site: str, heard: Sequence[str]) -> str:
    """The front end that orders for a function at a site."""
    return max(heard, key=lambda name: (weight("stage", name, row, site), name))


def parts(view: View, fleet_size: int) -> float:
    """Front ends that share the fleet's fetches: those that are heard, or all where they are half or
    less, so that both sides of a cut together fetch no more than the fleet may, or little more."""
    return shared(len(view.heard), fleet_size)


def shared(heard: int, fleet_size: int) -> float:
    fleet = max(1, fleet_size)
    return float(heard if 2 * heard > fleet else fleet)


class Planner:
    """A front end's: its orders, what it holds, what was not used."""

    def __init__(self, settings: Foresight, site: Settings, prices: Prices, scores: Scores) -> None:
        self.settings, self.site, self.prices, self.scores = settings, site, prices, scores
        self.held: dict[tuple[str, str], _Held] = {}
        self.skipped: dict[str, int] = {}
        self.ordered = self.used = self.wasted = 0
        self._fleet = Bucket(settings.fetches_ps)
        self._pace = Bucket(settings.pace_ps)
        self._rests: dict[tuple[str, str], float] = {}  # let go: until when
        self._quiet_ms = -math.inf
        self._disturbed: dict[str, float] = {}
        self._mean = mean_worth(site.classes)

    def go_by(self, settings: Foresight) -> None:
        """Others of the same shape, from now on."""
        self.settings, self._fleet.rate_ps = settings, settings.fetches_ps

    def shares(self, calls: dict[str, float]) -> None:
        """How many calls of each class there were, for the mean worth."""
        self._mean = mean_worth(self.site.classes, calls) if sum(calls.values()) > 0 else self._mean

    def _skip(self, cause: str) -> None:
        self.skipped[cause] = self.skipped.get(cause, 0) + 1

    def seen(self, now_ms: float, beat: m.Beat) -> list[LetGo]:
        """Marks stages that are used, and lets those go that are over; their predictors earn or pay."""
        return drained(self.marking(now_ms, beat))

    def marking(self, now_ms: float, beat: m.Beat) -> Slices[list[LetGo]]:
        for n, calls in enumerate(beat.called if self.held else ()):
            if n % CALLED == CALLED - 1:
                yield
            key = (calls.session.row, calls.site)
            if (held := self.held.get(key)) is not None:
                self.used += 1
                self._settle(now_ms, key, held.gain)
        yield
        gone = []
        for key, held in list(self.held.items()):
            if now_ms >= held.until_ms:
                self.wasted += 1
                self._settle(now_ms, key, -held.price)
                self._rest(now_ms, key)
                gone.append(LetGo(*key))
        return gone

    def step(
        self, now_ms: float, moves: Sequence[Move], view: View, rate_ps: Callable[[Session], float]
    ) -> list[m.Order | LetGo]:
        """The orders of this look, and what is let go. `rate_ps` tells a session's calls a second."""
        return drained(self.planning(now_ms, moves, view, rate_ps))

    def planning(
        self, now_ms: float, moves: Sequence[Move], view: View, rate_ps: Callable[[Session], float]
    ) -> Slices[list[m.Order | LetGo]]:
        found: list[m.Order | LetGo] = []
        for site in view.disturbed:
            self._disturbed[site] = now_ms
        self._disturbed = {s: t for s, t in self._disturbed.items() if now_ms - t < self.settings.quiet_ms}
        if not view.calm:
            self._quiet_ms = now_ms + self.settings.quiet_ms
        # Foresight yields first: what it holds unused makes room for calls that wait now.
        hushed = now_ms < self._quiet_ms
        for key in list(self.held):
            if not view.calm or key[1] in view.disturbed:
                self._settle(now_ms, key, 0.0)  # nobody's fault
                self._rest(now_ms, key)
                found.append(LetGo(*key))
        if hushed:
            self._skip("not calm")
            return found
        wishes: dict[tuple[str, str], _Wish] = {}
        yield
        for n, move in enumerate(moves):
            if n % CALLED == CALLED - 1:
                yield
            if move.whither in self._disturbed:
                self._skip("a disturbed site")
            else:
                wishes.setdefault((move.session.row, move.whither), _Wish()).moves.append(move)
        ranked = []
        for n, (key, wish) in enumerate(wishes.items()):
            if n % WISHES == WISHES - 1:
                yield
            weighed = self._weigh(now_ms, key, wish, view, rate_ps)
            if weighed is not None:
                ranked.append((*weighed, key, wish))
        ranked.sort(key=lambda item: (-item[0], item[3]))
        return found + (yield from self._take(now_ms, ranked, view))

    def _weigh(
        self,
        now_ms: float,
        key: tuple[str, str],
        wish: _Wish,
        view: View,
        rate_ps: Callable[[Session], float],
    ) -> tuple[float, float, _Held] | None:
        """(worth for its price, copies, what would be held), or None where it is not worth staging."""
        row, site = key
        facts = view.facts(row)
        spec = self.site.classes.get(facts.class_name) if facts else None
        if facts is None or spec is None:
            return self._skip("an unknown function")
        if orderer(row, site, view.heard) != view.me:
            return None
        old = self.held.get(key)
        if old is not None:
            soon = old.until_ms - now_ms <= 2 * self.settings.beat_ms
            if not soon or old.renewed >= self.settings.renewals:
                return None
        chance = wish.chance
        within = max(move.within_ms for move in wish.moves)
        life = max(self.site.idle_life_ms, facts.load_ms)
        rate = sum({move.session: move.chance * rate_ps(move.session) for move in wish.moves}.values())
        needed = max(1, math.ceil(rate * facts.run_ms / 1000.0 / max(1, facts.lanes)))
        standing = view.standing(row, site)
        copies = min(self.settings.copies, needed) - (0 if old is not None else standing)
        if copies < 1:
            return None
        gain = loss(spec, facts, rate / max(chance, 1e-9), self.settings.slack) / self._mean
        idle = min(within, life)
        price = copies * cost(
            self.settings,
            self.prices,
            facts,
            chance,
            idle,
            view.memory_mb,
            view.pushes_out(site),
            view.mean_ps,
        )
        if old is not None and standing >= copies:
            price = copies * self.prices.probe  # what it was fetched for is spent either way
        worth = chance * gain
        # Hysteresis: what was let go here of late has to be worth more than what was never tried.
        again = now_ms < self._rests.get(key, -math.inf)
        if worth <= price * (self.settings.hysteresis if again else 1.0) or (again and chance < 0.5):
            return self._skip("not worth it")
        by: dict[str, float] = {}
        for move in wish.moves:
            by[move.by] = by.get(move.by, 0.0) + move.chance
        total = sum(by.values())
        until = min(facts.load_ms + life, 3_600_000.0)
        wasted = copies * (fetched(self.settings, self.prices, facts) + self.prices.probe)
        sessions = frozenset(move.session for move in wish.moves)
        parts = {name: part / total for name, part in by.items()}
        size = facts.memory_mb * copies
        held = _Held(now_ms + until, now_ms, parts, sessions, wasted, gain, size)
        if old is not None:
            held.renewed, held.price = old.renewed + 1, old.price + copies * self.prices.probe
        return worth / max(price, 1e-6), copies, held

    def _take(self, now_ms: float, ranked: list, view: View) -> Slices[list[m.Order | LetGo]]:
        yield
        share = parts(view, self.site.fleet_size)
        left = min(self._fleet.left(now_ms) / share, self._pace.left(now_ms))
        kept = (
            self.settings.free_part * view.ration_most + view.waiting if math.isfinite(view.ration) else 0.0
        )
        ration = view.ration - kept
        spare: dict[str, float] = {}
        room: dict[str, float] = {}
        found: list[m.Order | LetGo] = []
        asked = 0
        for _, copies, held, key, wish in ranked:
            row, site = key
            if len(self.held) >= HELD_MOST:
                self._skip("too many held")
                break
            if min(left, ration) < copies:
                self._skip("no fetch left" if left < copies else "no ration left")
                continue
            if site not in spare:
                mine = sum(h.memory_mb for (_, at), h in self.held.items() if at == site)
                spare[site] = view.spare_mb(site) - mine
            more = held.memory_mb - (self.held[key].memory_mb if key in self.held else 0.0)
            if spare[site] < more:
                self._skip("no memory to spare")
                continue
            scorers = []
            if (asked := asked + 1) > ORDERS_MOST:
                self._skip("too many hash orders")
                break
            yield
            for scorer in view.order(row, site):
                if room.setdefault(scorer, view.cold_room(scorer)) >= 1.0:
                    scorers.append(scorer)
                if len(scorers) == copies:
                    break
            if len(scorers) < copies:
                self._skip("cold scorers")
                continue
            for scorer in scorers:
                room[scorer] -= 1.0
            left, ration = left - copies, ration - copies
            self._fleet.tokens -= copies * share
            self._pace.tokens -= copies
            spare[site] -= more
            self.held[key] = held
            self._rests.pop(key, None)
            self.ordered += copies
            why = "+".join(sorted(held.by)) + f" {wish.chance:.2f}"
            found.append(m.Order(Stage(row, site, copies, held.until_ms - now_ms, why), tuple(scorers)))
        return found

    def failed(self, now_ms: float, row: str, site: str) -> bool:
        """What was ordered did not come to stand: nobody's fault, and not tried at once again."""
        if (row, site) not in self.held:
            return False
        self._settle(now_ms, (row, site), 0.0)
        self._rest(now_ms, (row, site))
        return True

    def _settle(self, now_ms: float, key: tuple[str, str], net: float) -> None:
        held = self.held.pop(key)
        for by, part in held.by.items():
            if net < 0:
                self.scores.charge(now_ms, by, -net * part)
            elif net > 0:
                self.scores.credit(now_ms, by, net * part)

    def _rest(self, now_ms: float, key: tuple[str, str]) -> None:
        self._rests.pop(key, None)
        self._rests[key] = now_ms + self.settings.dwell_ms
        while len(self._rests) > RESTS_MOST:
            del self._rests[next(iter(self._rests))]
