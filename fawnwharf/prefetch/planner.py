"""Plans prefetch orders: ranks expected moves by value for price, within four budgets. Pure.

A greedy knapsack over what is handed in. For each function and zone one front end orders, chosen by
rendezvous hashing over those that are heard (Thaler and Ravishankar 1998); when it is gone, the next one
takes over. Two that hear different members may both order, which costs one order, as copies that stand are
counted.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from fawnwharf.interface import Settings
from fawnwharf.prefetch import messages as m
from fawnwharf.prefetch.budgets import PlannerView, TokenBucket, fetch_shares, ordering_front_end
from fawnwharf.prefetch.copy_value import (
    FunctionProfile,
    IdleCopy,
    copy_cost,
    mean_worth,
    unused_load_cost,
    waiting_loss,
)
from fawnwharf.prefetch.prediction_scores import PredictionScores
from fawnwharf.prefetch.settings import PrefetchSettings, Prices
from fawnwharf.prefetch.slices import Slices, run_slices
from fawnwharf.session_types import PredictedMove, PrefetchOrder, PrefetchRelease, Session

MAX_HELD = 4_096  # stages of one front end
AWAY_MS = 500.0  # a stage's load may end so much before its calls come
MAX_RELEASED = 20_000
MAX_SPAN_MS = 3_600_000.0  # of an order: what the message may say
CALLS_PER_SLICE = 400
WISHES_PER_SLICE = 12
MAX_HASH_ORDERS = 64  # that are computed in one pass


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
class _Wish:
    """Expected moves to one zone that copies of one function would serve."""

    moves: list[PredictedMove] = field(default_factory=list)

    @property
    def chance(self) -> float:
        best: dict[Session, float] = {}
        for move in self.moves:
            best[move.session] = max(move.probability, best.get(move.session, 0.0))
        return 1.0 - math.prod(1.0 - chance for chance in best.values())


@dataclass(slots=True)
class _Candidate:
    """Copies that are worth ordering, with their value for the price."""

    value: float
    copies: int
    held: _Held
    key: tuple[str, str]  # function, zone
    chance: float


@dataclass(slots=True)
class _Budgets:
    """What is left of the four budgets within one pass."""

    fetches: float
    orders: float  # of the load rate limit
    spare_mb: dict[str, float] = field(default_factory=dict)  # by zone
    cold_room: dict[str, float] = field(default_factory=dict)  # by scorer


class Planner:
    """Owns the orders of one front end, the copies it has had loaded, and their use."""

    def __init__(
        self, settings: PrefetchSettings, site: Settings, prices: Prices, scores: PredictionScores
    ) -> None:
        self.settings, self.site, self.prices, self.scores = settings, site, prices, scores
        self.held: dict[tuple[str, str], _Held] = {}
        self.skipped: dict[str, int] = {}
        self.ordered = self.used = self.wasted = 0
        self._fleet = TokenBucket(settings.fetches_ps)
        self._pace = TokenBucket(settings.pace_ps)
        self._rests: dict[tuple[str, str], float] = {}  # let go: until when
        self._quiet_ms = -math.inf
        self._disturbed: dict[str, float] = {}
        self._mean = mean_worth(site.classes)

    def go_by(self, settings: PrefetchSettings) -> None:
        """Use other settings of the same shape from now on."""
        self.settings, self._fleet.rate_ps = settings, settings.fetches_ps

    def shares(self, calls: dict[str, float]) -> None:
        """Take the number of calls by class, for the mean worth of a call."""
        self._mean = mean_worth(self.site.classes, calls) if sum(calls.values()) > 0 else self._mean

    def _skip(self, cause: str) -> None:
        self.skipped[cause] = self.skipped.get(cause, 0) + 1

    def seen(self, now_ms: float, beat: m.ScanResult) -> list[PrefetchRelease]:
        """Mark prefetched copies that are used, and release those whose time is over.

        Predictors are scored.
        """
        return run_slices(self.marking(now_ms, beat))

    def marking(self, now_ms: float, beat: m.ScanResult) -> Slices[list[PrefetchRelease]]:
        """The same as `seen`, in slices."""
        for n, calls in enumerate(beat.called if self.held else ()):
            if n % CALLS_PER_SLICE == CALLS_PER_SLICE - 1:
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
                gone.append(PrefetchRelease(*key))
        return gone

    def step(
        self,
        now_ms: float,
        moves: Sequence[PredictedMove],
        view: PlannerView,
        rate_ps: Callable[[Session], float],
    ) -> list[m.AssignedOrder | PrefetchRelease]:
        """The orders of this pass, and the copies that are released.

        `rate_ps` gives a session's calls a second.
        """
        return run_slices(self.planning(now_ms, moves, view, rate_ps))

    def planning(
        self,
        now_ms: float,
        moves: Sequence[PredictedMove],
        view: PlannerView,
        rate_ps: Callable[[Session], float],
    ) -> Slices[list[m.AssignedOrder | PrefetchRelease]]:
        """The same as `step`, in slices."""
        self._note_disturbances(now_ms, view)
        found: list[m.AssignedOrder | PrefetchRelease] = [*self._release_for_calls(now_ms, view)]
        if now_ms < self._quiet_ms:
            self._skip("not calm")
            return found
        yield
        wishes = yield from self._wishes(moves)
        candidates = yield from self._rank(now_ms, wishes, view, rate_ps)
        return found + (yield from self._take(now_ms, candidates, view))

    def _note_disturbances(self, now_ms: float, view: PlannerView) -> None:
        for site in view.disturbed:
            self._disturbed[site] = now_ms
        self._disturbed = {s: t for s, t in self._disturbed.items() if now_ms - t < self.settings.quiet_ms}
        if not view.calm:
            self._quiet_ms = now_ms + self.settings.quiet_ms

    def _release_for_calls(self, now_ms: float, view: PlannerView) -> list[PrefetchRelease]:
        """Unused copies that make room for calls: all of them in a surge, else those at disturbed zones."""
        found = []
        for key in list(self.held):
            if not view.calm or key[1] in view.disturbed:
                self._settle(now_ms, key, 0.0)  # nobody's fault
                self._rest(now_ms, key)
                found.append(PrefetchRelease(*key))
        return found

    def _wishes(self, moves: Sequence[PredictedMove]) -> Slices[dict[tuple[str, str], _Wish]]:
        """The moves by function and zone, without those to disturbed zones."""
        wishes: dict[tuple[str, str], _Wish] = {}
        for n, move in enumerate(moves):
            if n % CALLS_PER_SLICE == CALLS_PER_SLICE - 1:
                yield
            if move.destination in self._disturbed:
                self._skip("a disturbed site")
            else:
                wishes.setdefault((move.session.row, move.destination), _Wish()).moves.append(move)
        return wishes

    def _rank(
        self,
        now_ms: float,
        wishes: dict[tuple[str, str], _Wish],
        view: PlannerView,
        rate_ps: Callable[[Session], float],
    ) -> Slices[list[_Candidate]]:
        """What is worth ordering, the best value for the price first."""
        candidates = []
        for n, (key, wish) in enumerate(wishes.items()):
            if n % WISHES_PER_SLICE == WISHES_PER_SLICE - 1:
                yield
            candidate = self._weigh(now_ms, key, wish, view, rate_ps)
            if candidate is not None:
                candidates.append(candidate)
        candidates.sort(key=lambda one: (-one.value, one.key))
        return candidates

    def _weigh(
        self,
        now_ms: float,
        key: tuple[str, str],
        wish: _Wish,
        view: PlannerView,
        rate_ps: Callable[[Session], float],
    ) -> _Candidate | None:
        """What to order for a wish; None where this front end has nothing to order, or it is not worth it."""
        row, site = key
        facts = view.facts(row)
        spec = self.site.classes.get(facts.class_name) if facts else None
        if facts is None or spec is None:
            self._skip("an unknown function")
            return None
        old = self.held.get(key)
        if ordering_front_end(row, site, view.heard) != view.me or not self._due(now_ms, old):
            return None
        chance = wish.chance
        rate = sum({move.session: move.probability * rate_ps(move.session) for move in wish.moves}.values())
        standing = view.standing(row, site)
        needed = max(1, math.ceil(rate * facts.run_ms / 1000.0 / max(1, facts.lanes)))
        copies = min(self.settings.copies, needed) - (0 if old is not None else standing)
        if copies < 1:
            return None
        gain = waiting_loss(spec, facts, rate / max(chance, 1e-9), self.settings.slack) / self._mean
        if old is not None and standing >= copies:
            price = copies * self.prices.probe  # what it was fetched for is spent either way
        else:
            price = copies * self._price(wish, facts, chance, site, view)
        if not self._pays(now_ms, key, chance, chance * gain, price):
            self._skip("not worth it")
            return None
        held = self._held_for(now_ms, wish, facts, copies, gain)
        if old is not None:
            held.renewed, held.price = old.renewed + 1, old.price + copies * self.prices.probe
        return _Candidate(chance * gain / max(price, 1e-6), copies, held, key, chance)

    def _due(self, now_ms: float, old: _Held | None) -> bool:
        """Whether to order copies: none are held, or they are to be refreshed, `renewals` times at most."""
        if old is None:
            return True
        soon = old.until_ms - now_ms <= 2 * self.settings.beat_ms
        return soon and old.renewed < self.settings.renewals

    def _life_ms(self, facts: FunctionProfile) -> float:
        return max(self.site.idle_life_ms, facts.load_ms)

    def _price(
        self, wish: _Wish, facts: FunctionProfile, chance: float, site: str, view: PlannerView
    ) -> float:
        """The price of one copy."""
        idle_ms = min(max(move.within_ms for move in wish.moves), self._life_ms(facts))
        idle = IdleCopy(idle_ms, view.memory_mb, view.pushes_out(site), view.mean_ps)
        return copy_cost(self.settings, self.prices, facts, chance, idle)

    def _pays(self, now_ms: float, key: tuple[str, str], chance: float, worth: float, price: float) -> bool:
        """Whether the worth exceeds the price.

        Hysteresis: what was released here of late has to be worth more than what was never tried.
        """
        again = now_ms < self._rests.get(key, -math.inf)
        if again and chance < 0.5:
            return False
        return worth > price * (self.settings.hysteresis if again else 1.0)

    def _held_for(
        self, now_ms: float, wish: _Wish, facts: FunctionProfile, copies: int, gain: float
    ) -> _Held:
        """What is held once the copies are ordered; the predictors share it by their parts of the chance."""
        by: dict[str, float] = {}
        for move in wish.moves:
            by[move.predictor] = by.get(move.predictor, 0.0) + move.probability
        total = sum(by.values())
        until = min(facts.load_ms + self._life_ms(facts), MAX_SPAN_MS)
        wasted = copies * (unused_load_cost(self.settings, self.prices, facts) + self.prices.probe)
        sessions = frozenset(move.session for move in wish.moves)
        shares = {name: part / total for name, part in by.items()}
        return _Held(now_ms + until, now_ms, shares, sessions, wasted, gain, facts.memory_mb * copies)

    def _take(
        self, now_ms: float, candidates: Sequence[_Candidate], view: PlannerView
    ) -> Slices[list[m.AssignedOrder | PrefetchRelease]]:
        """Orders for the candidates in their order, as far as the budgets go."""
        yield
        share = fetch_shares(view, self.site.fleet_size)
        budgets = self._budgets(now_ms, view, share)
        found: list[m.AssignedOrder | PrefetchRelease] = []
        asked = 0
        for one in candidates:
            if len(self.held) >= MAX_HELD:
                self._skip("too many held")
                break
            if cause := self._lacks(one, budgets, view):
                self._skip(cause)
                continue
            if (asked := asked + 1) > MAX_HASH_ORDERS:
                self._skip("too many hash orders")
                break
            yield
            scorers = self._scorers(one, budgets, view)
            if scorers is None:
                self._skip("cold scorers")
                continue
            self._spend(one, scorers, budgets, share)
            found.append(self._order(now_ms, one, scorers))
        return found

    def _budgets(self, now_ms: float, view: PlannerView, share: float) -> _Budgets:
        fetches = min(self._fleet.left(now_ms) / share, self._pace.left(now_ms))
        kept = 0.0
        if math.isfinite(view.ration):
            kept = self.settings.free_part * view.ration_most + view.waiting
        return _Budgets(fetches, view.ration - kept)

    def _more_mb(self, one: _Candidate) -> float:
        """Memory that a candidate takes beyond what is held for it already."""
        return one.held.memory_mb - (self.held[one.key].memory_mb if one.key in self.held else 0.0)

    def _lacks(self, one: _Candidate, budgets: _Budgets, view: PlannerView) -> str:
        """Which budget has no room for a candidate; empty where all have."""
        if min(budgets.fetches, budgets.orders) < one.copies:
            return "no fetch left" if budgets.fetches < one.copies else "no ration left"
        site = one.key[1]
        if site not in budgets.spare_mb:
            mine = sum(held.memory_mb for (_, at), held in self.held.items() if at == site)
            budgets.spare_mb[site] = view.spare_mb(site) - mine
        return "no memory to spare" if budgets.spare_mb[site] < self._more_mb(one) else ""

    def _scorers(self, one: _Candidate, budgets: _Budgets, view: PlannerView) -> list[str] | None:
        """The first scorers in hash order that may load a copy each; None where there are too few."""
        found: list[str] = []
        room = budgets.cold_room
        for scorer in view.order(*one.key):
            if room.setdefault(scorer, view.cold_room(scorer)) >= 1.0:
                found.append(scorer)
            if len(found) == one.copies:
                return found
        return None

    def _spend(self, one: _Candidate, scorers: list[str], budgets: _Budgets, share: float) -> None:
        for scorer in scorers:
            budgets.cold_room[scorer] -= 1.0
        budgets.fetches -= one.copies
        budgets.orders -= one.copies
        budgets.spare_mb[one.key[1]] -= self._more_mb(one)
        self._fleet.tokens -= one.copies * share
        self._pace.tokens -= one.copies

    def _order(self, now_ms: float, one: _Candidate, scorers: list[str]) -> m.AssignedOrder:
        row, site = one.key
        self.held[one.key] = one.held
        self._rests.pop(one.key, None)
        self.ordered += one.copies
        why = "+".join(sorted(one.held.by)) + f" {one.chance:.2f}"
        return m.AssignedOrder(
            PrefetchOrder(row, site, one.copies, one.held.until_ms - now_ms, why), tuple(scorers)
        )

    def failed(self, now_ms: float, row: str, site: str) -> bool:
        """Take that an order did not lead to a copy; False where none was held.

        No predictor is charged, and it is not tried again at once.
        """
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
        while len(self._rests) > MAX_RELEASED:
            del self._rests[next(iter(self._rests))]
