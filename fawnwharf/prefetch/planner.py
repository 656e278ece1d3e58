"""Plans prefetch orders: ranks expected moves by value per cost, within four budgets. No I/O.

The planner is a greedy knapsack over its inputs. For each function and zone, one front end orders. It is
chosen by rendezvous hashing over the reachable front ends (Thaler and Ravishankar 1998); when it fails, the
next one takes over. Two front ends that reach different members may both order. This costs only one extra
order, as loaded copies are counted.
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

MAX_HELD = 4_096  # prefetched (function, zone) pairs of one front end
AWAY_MS = 500.0  # a prefetch load may end this long before its calls come
MAX_RELEASED = 20_000  # remembered releases
MAX_SPAN_MS = 3_600_000.0  # longest duration that an order message may contain
CALLS_PER_SLICE = 400
DEMANDS_PER_SLICE = 12
MAX_HASH_ORDERS = 64  # hash orders computed in one pass


@dataclass(slots=True)
class _HeldCopies:
    until_ms: float
    since_ms: float
    predictor_shares: dict[str, float]  # predictor -> its share of the chance
    sessions: frozenset[Session]
    price: float
    gain: float
    memory_mb: float
    renewed: int = 0


@dataclass(slots=True)
class _Demand:
    """Expected moves to one zone whose sessions use one function."""

    moves: list[PredictedMove] = field(default_factory=list)

    @property
    def chance(self) -> float:
        best: dict[Session, float] = {}
        for move in self.moves:
            best[move.session] = max(move.probability, best.get(move.session, 0.0))
        return 1.0 - math.prod(1.0 - chance for chance in best.values())


@dataclass(slots=True)
class _Candidate:
    """Copies that are worth ordering, with their value per cost."""

    value: float
    copies: int
    held: _HeldCopies
    key: tuple[str, str]  # function, zone
    chance: float


@dataclass(slots=True)
class _Budgets:
    """What is left of the four budgets during one pass."""

    fetches: float
    orders: float  # load orders within the load rate limit
    spare_mb: dict[str, float] = field(default_factory=dict)  # zone -> free memory
    cold_room: dict[str, float] = field(default_factory=dict)  # scorer -> loads that it may still take


class Planner:
    """Owns the orders of one front end, and tracks the copies loaded for them and their use."""

    def __init__(
        self, settings: PrefetchSettings, site: Settings, prices: Prices, scores: PredictionScores
    ) -> None:
        self.settings, self.site, self.prices, self.scores = settings, site, prices, scores
        self.held: dict[tuple[str, str], _HeldCopies] = {}
        self.skipped: dict[str, int] = {}
        self.ordered = self.used = self.wasted = 0
        self._fleet_bucket = TokenBucket(settings.fetches_ps)
        self._own_bucket = TokenBucket(settings.pace_ps)
        self._dwell_until_ms: dict[
            tuple[str, str], float
        ] = {}  # released (function, zone) -> end of its dwell time
        self._quiet_until_ms = -math.inf
        self._disturbed_at_ms: dict[str, float] = {}
        self._mean = mean_worth(site.classes)

    def go_by(self, settings: PrefetchSettings) -> None:
        """Replace the settings."""
        self.settings, self._fleet_bucket.rate_ps = settings, settings.fetches_ps

    def shares(self, calls: dict[str, float]) -> None:
        """Update the mean worth of a call from the number of calls by class."""
        self._mean = mean_worth(self.site.classes, calls) if sum(calls.values()) > 0 else self._mean

    def _skip(self, cause: str) -> None:
        self.skipped[cause] = self.skipped.get(cause, 0) + 1

    def seen(self, now_ms: float, beat: m.ScanResult) -> list[PrefetchRelease]:
        """Record the use of prefetched copies, release expired ones, and score their predictors."""
        return run_slices(self.marking(now_ms, beat))

    def marking(self, now_ms: float, beat: m.ScanResult) -> Slices[list[PrefetchRelease]]:
        """Do the same as `seen`, in slices."""
        for n, calls in enumerate(beat.called if self.held else ()):
            if n % CALLS_PER_SLICE == CALLS_PER_SLICE - 1:
                yield
            key = (calls.session.row, calls.site)
            if (held := self.held.get(key)) is not None:
                self.used += 1
                self._settle(now_ms, key, held.gain)
        yield
        releases = []
        for key, held in list(self.held.items()):
            if now_ms >= held.until_ms:
                self.wasted += 1
                self._settle(now_ms, key, -held.price)
                self._start_dwell(now_ms, key)
                releases.append(PrefetchRelease(*key))
        return releases

    def step(
        self,
        now_ms: float,
        moves: Sequence[PredictedMove],
        view: PlannerView,
        rate_ps: Callable[[Session], float],
    ) -> list[m.AssignedOrder | PrefetchRelease]:
        """Return the orders and releases of one pass; `rate_ps` returns a session's calls per second."""
        return run_slices(self.planning(now_ms, moves, view, rate_ps))

    def planning(
        self,
        now_ms: float,
        moves: Sequence[PredictedMove],
        view: PlannerView,
        rate_ps: Callable[[Session], float],
    ) -> Slices[list[m.AssignedOrder | PrefetchRelease]]:
        """Do the same as `step`, in slices."""
        self._note_disturbances(now_ms, view)
        found: list[m.AssignedOrder | PrefetchRelease] = [*self._release_for_calls(now_ms, view)]
        if now_ms < self._quiet_until_ms:
            self._skip("not calm")
            return found
        yield
        demands = yield from self._group_demands(moves)
        candidates = yield from self._rank(now_ms, demands, view, rate_ps)
        return found + (yield from self._order_candidates(now_ms, candidates, view))

    def _note_disturbances(self, now_ms: float, view: PlannerView) -> None:
        for site in view.disturbed:
            self._disturbed_at_ms[site] = now_ms
        self._disturbed_at_ms = {
            s: t for s, t in self._disturbed_at_ms.items() if now_ms - t < self.settings.quiet_ms
        }
        if not view.calm:
            self._quiet_until_ms = now_ms + self.settings.quiet_ms

    def _release_for_calls(self, now_ms: float, view: PlannerView) -> list[PrefetchRelease]:
        """Release unused copies to make room for calls: all in a surge, else those in disturbed zones."""
        found = []
        for key in list(self.held):
            if not view.calm or key[1] in view.disturbed:
                self._settle(now_ms, key, 0.0)  # no predictor is charged
                self._start_dwell(now_ms, key)
                found.append(PrefetchRelease(*key))
        return found

    def _group_demands(self, moves: Sequence[PredictedMove]) -> Slices[dict[tuple[str, str], _Demand]]:
        """Group the moves by function and zone, without the moves to disturbed zones."""
        demands: dict[tuple[str, str], _Demand] = {}
        for n, move in enumerate(moves):
            if n % CALLS_PER_SLICE == CALLS_PER_SLICE - 1:
                yield
            if move.destination in self._disturbed_at_ms:
                self._skip("a disturbed site")
            else:
                demands.setdefault((move.session.row, move.destination), _Demand()).moves.append(move)
        return demands

    def _rank(
        self,
        now_ms: float,
        demands: dict[tuple[str, str], _Demand],
        view: PlannerView,
        rate_ps: Callable[[Session], float],
    ) -> Slices[list[_Candidate]]:
        """Return the candidates that are worth ordering, the best value per cost first."""
        candidates = []
        for n, (key, demand) in enumerate(demands.items()):
            if n % DEMANDS_PER_SLICE == DEMANDS_PER_SLICE - 1:
                yield
            candidate = self._evaluate(now_ms, key, demand, view, rate_ps)
            if candidate is not None:
                candidates.append(candidate)
        candidates.sort(key=lambda candidate: (-candidate.value, candidate.key))
        return candidates

    def _evaluate(
        self,
        now_ms: float,
        key: tuple[str, str],
        demand: _Demand,
        view: PlannerView,
        rate_ps: Callable[[Session], float],
    ) -> _Candidate | None:
        """Return what to order for a demand; None if another front end orders, or it is not worth it."""
        row, site = key
        facts = view.facts(row)
        spec = self.site.classes.get(facts.class_name) if facts else None
        if facts is None or spec is None:
            self._skip("an unknown function")
            return None
        old = self.held.get(key)
        if ordering_front_end(row, site, view.heard) != view.me or not self._due(now_ms, old):
            return None
        chance = demand.chance
        rate = sum({move.session: move.probability * rate_ps(move.session) for move in demand.moves}.values())
        standing = view.standing(row, site)
        needed = max(1, math.ceil(rate * facts.run_ms / 1000.0 / max(1, facts.lanes)))
        copies = min(self.settings.copies, needed) - (0 if old is not None else standing)
        if copies < 1:
            return None
        gain = waiting_loss(spec, facts, rate / max(chance, 1e-9), self.settings.slack) / self._mean
        if old is not None and standing >= copies:
            price = copies * self.prices.probe  # the fetch is already paid
        else:
            price = copies * self._price(demand, facts, chance, site, view)
        if not self._pays(now_ms, key, chance, chance * gain, price):
            self._skip("not worth it")
            return None
        held = self._record_held(now_ms, demand, facts, copies, gain)
        if old is not None:
            held.renewed, held.price = old.renewed + 1, old.price + copies * self.prices.probe
        return _Candidate(chance * gain / max(price, 1e-6), copies, held, key, chance)

    def _due(self, now_ms: float, old: _HeldCopies | None) -> bool:
        """Return whether to order: nothing is held, or it expires soon and may still be refreshed."""
        if old is None:
            return True
        soon = old.until_ms - now_ms <= 2 * self.settings.beat_ms
        return soon and old.renewed < self.settings.renewals

    def _copy_life_ms(self, facts: FunctionProfile) -> float:
        return max(self.site.idle_lifetime_ms, facts.load_ms)

    def _price(
        self, demand: _Demand, facts: FunctionProfile, chance: float, site: str, view: PlannerView
    ) -> float:
        """Return the expected cost of one copy."""
        idle_ms = min(max(move.within_ms for move in demand.moves), self._copy_life_ms(facts))
        idle = IdleCopy(idle_ms, view.memory_mb, view.pushes_out(site), view.mean_ps)
        return copy_cost(self.settings, self.prices, facts, chance, idle)

    def _pays(self, now_ms: float, key: tuple[str, str], chance: float, worth: float, price: float) -> bool:
        """Return whether the worth exceeds the price.

        Hysteresis: a copy that was released here recently needs a higher worth than a new one.
        """
        recently_released = now_ms < self._dwell_until_ms.get(key, -math.inf)
        if recently_released and chance < 0.5:
            return False
        return worth > price * (self.settings.hysteresis if recently_released else 1.0)

    def _record_held(
        self, now_ms: float, demand: _Demand, facts: FunctionProfile, copies: int, gain: float
    ) -> _HeldCopies:
        """Return the record of ordered copies; each predictor has its share of the total chance."""
        predictor_shares: dict[str, float] = {}
        for move in demand.moves:
            predictor_shares[move.predictor] = predictor_shares.get(move.predictor, 0.0) + move.probability
        total = sum(predictor_shares.values())
        until = min(facts.load_ms + self._copy_life_ms(facts), MAX_SPAN_MS)
        wasted = copies * (unused_load_cost(self.settings, self.prices, facts) + self.prices.probe)
        sessions = frozenset(move.session for move in demand.moves)
        shares = {name: part / total for name, part in predictor_shares.items()}
        return _HeldCopies(now_ms + until, now_ms, shares, sessions, wasted, gain, facts.memory_mb * copies)

    def _order_candidates(
        self, now_ms: float, candidates: Sequence[_Candidate], view: PlannerView
    ) -> Slices[list[m.AssignedOrder | PrefetchRelease]]:
        """Order the candidates in their ranked order, as far as the budgets allow."""
        yield
        share = fetch_shares(view, self.site.fleet_size)
        budgets = self._budgets(now_ms, view, share)
        found: list[m.AssignedOrder | PrefetchRelease] = []
        hash_orders = 0
        for candidate in candidates:
            if len(self.held) >= MAX_HELD:
                self._skip("too many held")
                break
            if cause := self._missing_budget(candidate, budgets, view):
                self._skip(cause)
                continue
            if (hash_orders := hash_orders + 1) > MAX_HASH_ORDERS:
                self._skip("too many hash orders")
                break
            yield
            scorers = self._scorers(candidate, budgets, view)
            if scorers is None:
                self._skip("cold scorers")
                continue
            self._spend(candidate, scorers, budgets, share)
            found.append(self._order(now_ms, candidate, scorers))
        return found

    def _budgets(self, now_ms: float, view: PlannerView, share: float) -> _Budgets:
        fetches = min(self._fleet_bucket.left(now_ms) / share, self._own_bucket.left(now_ms))
        kept = 0.0
        if math.isfinite(view.ration):
            kept = self.settings.free_part * view.ration_most + view.waiting
        return _Budgets(fetches, view.ration - kept)

    def _extra_mb(self, candidate: _Candidate) -> float:
        """Return the memory that a candidate needs beyond what is already held for it, in megabytes."""
        return candidate.held.memory_mb - (
            self.held[candidate.key].memory_mb if candidate.key in self.held else 0.0
        )

    def _missing_budget(self, candidate: _Candidate, budgets: _Budgets, view: PlannerView) -> str:
        """Return which budget is too small for a candidate, or an empty string."""
        if min(budgets.fetches, budgets.orders) < candidate.copies:
            return "no fetch left" if budgets.fetches < candidate.copies else "no ration left"
        site = candidate.key[1]
        if site not in budgets.spare_mb:
            mine = sum(held.memory_mb for (_, at), held in self.held.items() if at == site)
            budgets.spare_mb[site] = view.spare_mb(site) - mine
        return "no memory to spare" if budgets.spare_mb[site] < self._extra_mb(candidate) else ""

    def _scorers(self, candidate: _Candidate, budgets: _Budgets, view: PlannerView) -> list[str] | None:
        """Return the first scorers in hash order that may load one copy each; None if there are too few."""
        found: list[str] = []
        room = budgets.cold_room
        for scorer in view.order(*candidate.key):
            if room.setdefault(scorer, view.cold_room(scorer)) >= 1.0:
                found.append(scorer)
            if len(found) == candidate.copies:
                return found
        return None

    def _spend(self, candidate: _Candidate, scorers: list[str], budgets: _Budgets, share: float) -> None:
        for scorer in scorers:
            budgets.cold_room[scorer] -= 1.0
        budgets.fetches -= candidate.copies
        budgets.orders -= candidate.copies
        budgets.spare_mb[candidate.key[1]] -= self._extra_mb(candidate)
        self._fleet_bucket.tokens -= candidate.copies * share
        self._own_bucket.tokens -= candidate.copies

    def _order(self, now_ms: float, candidate: _Candidate, scorers: list[str]) -> m.AssignedOrder:
        row, site = candidate.key
        self.held[candidate.key] = candidate.held
        self._dwell_until_ms.pop(candidate.key, None)
        self.ordered += candidate.copies
        why = "+".join(sorted(candidate.held.predictor_shares)) + f" {candidate.chance:.2f}"
        return m.AssignedOrder(
            PrefetchOrder(row, site, candidate.copies, candidate.held.until_ms - now_ms, why), tuple(scorers)
        )

    def failed(self, now_ms: float, row: str, site: str) -> bool:
        """Record that an order did not lead to a copy; return False if none was held.

        No predictor is charged, and the order is not retried at once.
        """
        if (row, site) not in self.held:
            return False
        self._settle(now_ms, (row, site), 0.0)
        self._start_dwell(now_ms, (row, site))
        return True

    def _settle(self, now_ms: float, key: tuple[str, str], net: float) -> None:
        held = self.held.pop(key)
        for predictor, part in held.predictor_shares.items():
            if net < 0:
                self.scores.charge(now_ms, predictor, -net * part)
            elif net > 0:
                self.scores.credit(now_ms, predictor, net * part)

    def _start_dwell(self, now_ms: float, key: tuple[str, str]) -> None:
        self._dwell_until_ms.pop(key, None)
        self._dwell_until_ms[key] = now_ms + self.settings.dwell_ms
        while len(self._dwell_until_ms) > MAX_RELEASED:
            del self._dwell_until_ms[next(iter(self._dwell_until_ms))]
