"""The prefetcher of a running front end: what it hears comes in, messages, orders and moves go out.

Free of I/O and clock. A host hands in each batch of events (`events`), others' messages (`heard`) and plans
(`announced`), and calls `beat` again after as long as that says: a pass over all sessions is done in slices,
so that none holds up the event loop. Times are milliseconds of the monotonic clock.

The logs of state are a star: replicas hear all members, and all hear the replicas. So only replicas predict
and order; a front end that is none only tells what it counted.
"""

import math
from collections.abc import Iterable

import msgspec

from fawnwharf import interface as io
from fawnwharf.prefetch import learned_state
from fawnwharf.prefetch import messages as m
from fawnwharf.prefetch.baseline_strategies import BaselineStrategies, KnownMove
from fawnwharf.prefetch.budgets import PlannerView, share_count
from fawnwharf.prefetch.known import CopyTable, FunctionTable, ScorerView
from fawnwharf.prefetch.predictors import (
    HomeZone,
    NextZones,
    ReturnPosition,
    ZoneRules,
    ZoneShares,
    _homeless,
    _unplaced,
)
from fawnwharf.prefetch.prefetcher import Prefetcher
from fawnwharf.prefetch.session_monitor import MAX_OWNERS
from fawnwharf.prefetch.settings import PrefetchSettings as Bounds
from fawnwharf.prefetch.settings import Prices
from fawnwharf.prefetch.slices import Slices
from fawnwharf.replication.placement import rendezvous_weight
from fawnwharf.session_types import PrefetchRelease, Session
from fawnwharf.sessions.staging_messages import SLICE_MS, Beat, Seen, Word
from fawnwharf.zones.evidence import EvidenceCollector
from fawnwharf.zones.evidence import ZoneHealth as Sight
from fawnwharf.zones.evidence import zone_health as sight
from fawnwharf.zones.plan import DRAINING, OUT, RECOVERING, Plan
from fawnwharf.zones.settings import EvidenceSettings, RampSettings

OPEN_MOST = 50_000  # calls whose answers are awaited
COUNTS, FUNCTIONS, PARTS = 100, 25, 40  # of one word; words of one look
NAME_MOST = 128  # characters, as `sites.Text` has it
ORDER_LAG_MS = 200.0  # by then the module has counted what was wanted of it
LOADS = 3.0  # a stage that did not stand after so many loads, and a second, has failed
WAITING_LEAST, WAITING_PART, REFUSED_PART = 3.0, 0.1, 0.02  # in calm; of a second's calls, of calls
GAIN, GAIN_SURGE = 0.05, 0.01  # of a look in what is usual: what lasts becomes usual in the end
OTHERS_PART = 1 / 3  # of those that told lately: if so many are in a surge, all hold back


def announced_from(plan: Plan, ramp: RampSettings) -> list[m.AnnouncedPlan]:
    """What a plan in force announces.

    These are the steps of zones that return, the zones that are drained, and those on standby.
    """
    found = []
    for site, zone in sorted(plan.zones.items()):
        kind, steps = "return", ()
        if zone.state == DRAINING:
            kind, steps = "drain", (m.PlanStep(0.0, 0.0),)
        elif zone.state == OUT:
            kind = "standby"
        elif zone.state == RECOVERING:
            shares = [zone.fraction, *(share for share in ramp.fractions if share > zone.fraction), 1.0]
            steps = tuple(m.PlanStep(n * ramp.step_ms, share) for n, share in enumerate(shares))
        found.append(m.AnnouncedPlan(site, plan.number, kind, steps))
    return found


class Staging:
    """Owns one front end's prefetcher, and what it depends on."""

    def __init__(
        self,
        me: str,
        bounds: Bounds,
        site: io.Settings,
        prices: Prices,
        destination: NextZones | None = None,
        place: ReturnPosition = _unplaced,
        belongs: HomeZone = _homeless,
    ) -> None:
        """`destination` gives the next zones of a session whose zone is closed; without it, a hash does."""
        self.me, self.bounds = me, bounds
        self.scorers = ScorerView(site)
        self.functions = FunctionTable(bounds.sessions)
        self.copies = CopyTable(self.scorers, self.functions, site.idle_lifetime_ms)
        destination, rules = destination or self._next_zones, self.scorers.settings
        self.core = Prefetcher(bounds, rules, prices, me, ZoneRules(destination, place, belongs))
        self.ways = BaselineStrategies(
            bounds, rules, self.core.watch, destination, belongs, self.scorers.sites
        )
        self.calm = True
        self.counts: dict[str, int] = {}
        promise_ms = min((spec.latency_target_ms for spec in site.classes.values()), default=1_000.0)
        self._evidence = EvidenceSettings()
        self._observer = EvidenceCollector(self._evidence, promise_ms)
        self._open: dict[str, Session] = {}
        self._wanted: list[tuple[float, int]] = []  # when, how many
        self._pending: dict[tuple[str, str], tuple[float, set[int]]] = {}  # ordered, not yet answered
        self._calm_of: dict[str, tuple[float, bool]] = {}
        self._look_ms, self._slices = float("-inf"), None
        self._budgets: dict[str, float] = {}  # of a policy, over the settings'
        self._cold = rules.slow_start_multiple
        self._parts = 0  # words that this look may still say
        self._seen = Seen()
        self._by_class = dict.fromkeys(site.classes, 0.0)  # own calls, fading: what a mean one is worth
        self._refused, self._arrived, self._usual = 0, 0, 0.0  # as of the last look; `usual`: that wait

    @property
    def budgets(self) -> dict[str, float]:
        """The settings' own budgets, by a policy's keys; for memory they have none but what there is."""
        own = self.bounds
        return {"fetches_rps": own.fetches_ps, "free_part": 1.0 - own.free_part, "cold_part": 1.0}

    def go_by(self, budgets: dict[str, float]) -> None:
        """Apply a policy's budgets, by their keys in its document; absent ones are as the settings have them.

        They hold for all that is ordered from now on; what stands expires as it would have.
        """
        if budgets == self._budgets:
            return
        self._budgets, own = dict(budgets), self.bounds
        fetches_ps = budgets.get("fetches_rps", own.fetches_ps)
        free_part = 1.0 - budgets["free_part"] if "free_part" in budgets else own.free_part
        self.core.go_by(msgspec.structs.replace(own, fetches_ps=fetches_ps, free_part=free_part))
        self.ways.fetches(fetches_ps)
        self.scorers.settings.slow_start_multiple = self._cold * budgets.get("cold_part", 1.0)

    def _spare_mb(self, site: str) -> float:
        """Rosters tell sizes, not memory: `unit_mb` is a guess, and so are functions that told none."""
        spare = self.bounds.unit_mb * self.scorers.units(site) - self.copies.held_mb(site)
        if (most := self._budgets.get("memory_mb")) is None:
            return spare
        heard, fleet = len(self._seen.heard), self.scorers.settings.fleet_size
        return min(spare, most / share_count(heard, fleet))

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # --- what happens ---------------------------------------------------------------------------

    def events(self, now_ms: float, unix_ms: float, events: Iterable[io.Event]) -> None:
        """Take a batch of events, before the module gets it."""
        for event in events:
            kind = type(event)
            if kind is io.RequestArrived:
                self._came(now_ms, event)
            elif kind is io.AttemptEnded:
                self._ended(now_ms, event)
            elif kind is io.LoadOrderAnswered:
                self._answered(now_ms, event)
            elif kind is io.RequestCancelled:
                self._open.pop(event.request, None)
            elif kind is io.RosterChanged:
                self.scorers.roster(now_ms, now_ms - unix_ms, event)
            elif kind is io.ClassChanged:
                self.scorers.settings.classes[event.spec.name] = event.spec
            elif kind is io.RemoteLoadReport:
                for row, copies in event.copies.items():
                    self.copies.seen(now_ms - event.age_ms, row, event.scorer, copies)

    def _came(self, now_ms: float, event: io.RequestArrived) -> None:
        self._arrived += 1
        if event.class_name in self._by_class:
            self._by_class[event.class_name] += 1.0
        self.scorers.arrived(now_ms)
        if not all(0 < len(name) <= NAME_MOST for name in (event.tenant, event.function, event.class_name)):
            return  # no word could tell of it
        self.functions.arrived(now_ms, event)
        # Calls that the module refuses end without an event; those asked for longest go.
        if len(self._open) >= OPEN_MOST:
            for request in list(self._open)[: OPEN_MOST // 8]:
                del self._open[request]
        self._open[event.request] = Session(event.tenant, event.function)

    def _ended(self, now_ms: float, event: io.AttemptEnded) -> None:
        site = self.scorers.zone(event.scorer)
        self._observer.record_ending(now_ms, site, event.scorer, event.result, event.took_ms)
        if event.result in (
            io.AttemptResult.CONNECT_FAILED,
            io.AttemptResult.RESET,
            io.AttemptResult.TIMEOUT,
        ):
            self.scorers.rest(now_ms, event.scorer)
        self.scorers.gave(now_ms, event.scorer)
        session = self._open.get(event.request)
        if session is None:
            return
        if event.closed:
            del self._open[event.request]
        if event.result not in (io.AttemptResult.GOOD, io.AttemptResult.ERROR) or not site:
            return
        self.called(now_ms, session, site)
        if event.result is io.AttemptResult.GOOD:
            self.copies.used(now_ms, session.row, site, event.scorer)
            if event.warmth in (io.Warmth.NOT_REPORTED, io.Warmth.FOUND):
                self.functions.ran(session.row, event.took_ms)
            elif event.warmth is io.Warmth.STARTED_LOAD and (facts := self.functions.facts(session.row)):
                self.functions.loaded(session.row, max(1.0, event.took_ms - facts.run_ms))

    def _answered(self, now_ms: float, event: io.LoadOrderAnswered) -> None:
        self.scorers.load_orders_ms.append(now_ms)
        key = (event.function, self.scorers.zone(event.scorer))
        pending = self._pending.get(key)
        asked = pending is not None and event.scorer in pending[1]
        if event.result is io.AttemptResult.GOOD:
            self.copies.seen(now_ms, event.function, event.scorer, event.copies)
            if asked and event.copies:
                pending[1].discard(event.scorer)
                if not pending[1]:
                    del self._pending[key]
        elif event.result not in (io.AttemptResult.CANCELLED, io.AttemptResult.NOT_SENT):
            self.scorers.rest(now_ms, event.scorer)
            if asked:
                self._failed(now_ms, key)

    def _failed(self, now_ms: float, key: tuple[str, str]) -> None:
        del self._pending[key]
        if self.core.planner.failed(now_ms, *key):
            self._count("a stage that failed")

    def called(self, now_ms: float, session: Session, site: str) -> None:
        """Take a call that ran somewhere; `events` does so by itself."""
        self.core.called(now_ms, session, site)

    def heard(self, now_ms: float, owner: str, word: Word) -> None:
        """Take another front end's message; `owner` names one incarnation of it."""
        self.core.heard(now_ms, owner, word.counts)
        for told in word.functions:
            self.functions.heard(told)
        for count in word.counts.counts:
            self.copies.used(now_ms, count.session.row, count.site)
        if owner in self._calm_of or len(self._calm_of) < MAX_OWNERS:
            self._calm_of[owner] = now_ms, word.calm

    def gone(self, owner: str) -> None:
        """Take that an incarnation is over."""
        self.core.watch.gone(owner)
        self._calm_of.pop(owner, None)

    def announced(self, now_ms: float, plan: m.AnnouncedPlan) -> bool:
        """Take a plan for a zone; False for an older one than is known."""
        return self.core.announced(now_ms, plan)

    def foretold(self, now_ms: float, unix_ms: float, moves: list[KnownMove]) -> None:
        """For trials: take the moves that the mode `oracle` goes by (`ways.foretold_from`)."""
        self.ways.foretold(now_ms, unix_ms, moves)

    def learnt(self, now_ms: float) -> bytes:
        """What was learnt, for the next process (`foresight.memory` says what is in it)."""
        return learned_state.encode_learned_state(now_ms, self.core, self.functions)

    def learn(self, now_ms: float, data: bytes) -> bool:
        """Take what another process has learnt, before any call came here; False where nothing was taken."""
        return learned_state.restore_learned_state(now_ms, data, self.core, self.functions)

    # --- looks ----------------------------------------------------------------------------------

    def beat(self, now_ms: float, seen: Seen) -> Beat:
        """Do the next slice."""
        found, self._seen = Beat(), seen
        self.scorers.at(now_ms)
        if self._slices is None:
            if (left_ms := self._look_ms + self.bounds.beat_ms - now_ms) > 0:
                found.again_ms = left_ms
                return found
            self._begin(now_ms)
        elif self._parts > 0 and self._say(now_ms, found):
            self._parts -= 1
        else:
            try:
                next(self._slices)
            except StopIteration as end:
                self._slices = None
                self._end(now_ms, end.value, found)
        return found

    def _begin(self, now_ms: float) -> None:
        self._look_ms, self._parts = now_ms, PARTS
        self._weather(now_ms)
        self.core.planner.shares(self._by_class)
        kept = math.exp(-self.bounds.beat_ms / self.bounds.slow_ms)
        self._by_class = {name: kept * calls for name, calls in self._by_class.items()}
        self.core.watch.number += 1
        for key, (at_ms, _) in list(self._pending.items()):
            facts = self.functions.facts(key[0])
            if now_ms - at_ms > 1_000.0 + LOADS * (facts.load_ms if facts else 0.0):
                self._failed(now_ms, key)
        self._slices = self._look(now_ms)

    def _say(self, now_ms: float, found: Beat) -> bool:
        watch, functions = self.core.watch, self.functions.tells(now_ms, FUNCTIONS)
        if not watch.untold and not functions and self._parts < PARTS:
            return False
        found.words.append(Word(watch.part(COUNTS), functions, self.calm))
        return True

    def _look(self, now_ms: float) -> Slices[list[m.AssignedOrder | PrefetchRelease]]:
        while self.copies.sweep(now_ms):
            yield
        mode = self.bounds.mode
        if self.me not in self._seen.heard or mode == "none":
            yield from self.core.watch.look(now_ms)
            return []
        if mode == "foresight":
            return (yield from self.core.look(now_ms, lambda: self._view(now_ms)))
        yield from self.core.watch.look(now_ms)
        return (yield from self.ways.look(now_ms, self._view(now_ms), self._out(now_ms)))

    def _end(self, now_ms: float, orders: list[m.AssignedOrder | PrefetchRelease], found: Beat) -> None:
        found.moves = list(self.core.moves)
        found.again_ms = max(SLICE_MS, self._look_ms + self.bounds.beat_ms - now_ms)
        for order in orders:
            if isinstance(order, PrefetchRelease):
                found.let_gos.append(order)
                continue
            stage, facts = order.stage, self.functions.facts(order.stage.row)
            if facts is None:
                continue
            found.stages.append(stage)
            self._wanted.append((now_ms, len(order.scorers)))
            self._pending[stage.row, stage.site] = now_ms, {int(name) for name in order.scorers}
            for name in order.scorers:
                self.scorers.gave(now_ms, int(name))
                found.wanted.append(
                    io.PrefetchRequested(
                        int(name), stage.row, facts.class_name, 1, facts.lanes, facts.load_ms
                    )
                )

    def _weather(self, now_ms: float) -> None:
        """Calm, or a surge: more calls wait or are refused than is usual, here or at many others."""
        seen = self._seen
        refused, self._refused = seen.refused - self._refused, seen.refused
        arrived, self._arrived = self._arrived, 0
        least = max(WAITING_LEAST, WAITING_PART * self.scorers.rate_ps())
        self.calm = seen.waiting <= least + 2.0 * self._usual and refused <= max(1.0, REFUSED_PART * arrived)
        self._usual += (GAIN if self.calm else GAIN_SURGE) * (seen.waiting - self._usual)

    def _all_calm(self, now_ms: float) -> bool:
        recent = [calm for at_ms, calm in self._calm_of.values() if now_ms - at_ms < 3 * self.bounds.beat_ms]
        return self.calm and recent.count(False) < max(1.0, OTHERS_PART * (len(recent) + 1))

    def _out(self, now_ms: float) -> frozenset[str]:
        """Sites that take no calls, by the host or by what was seen here."""
        seen = self._observer.evidence(now_ms).items()
        dead = {site for site, signs in seen if sight(signs, self._evidence) is Sight.DEAD}
        return self._seen.out | dead

    def _view(self, now_ms: float) -> PlannerView:
        seen, scorers = self._seen, self.scorers
        self._wanted = [one for one in self._wanted if now_ms - one[0] < ORDER_LAG_MS]
        left, most = scorers.ration(seen.ordered, sum(count for _, count in self._wanted))
        return PlannerView(
            me=self.me,
            heard=tuple(seen.heard),
            calm=self._all_calm(now_ms),
            disturbed=seen.disturbed | self._out(now_ms),
            ration=left,
            ration_most=most,
            waiting=seen.waiting,
            facts=self.functions.facts,
            order=lambda row, site: [str(worker) for worker in scorers.order(row, site)],
            cold_room=lambda name: scorers.cold_room(int(name)),
            spare_mb=self._spare_mb,
            standing=lambda row, site: self.copies.standing(now_ms, row, site),
            memory_mb=self.bounds.unit_mb * max(1.0, scorers.units()),
            mean_ps=scorers.rate_ps() * max(1, scorers.settings.fleet_size),
        )

    def _next_zones(self, session: Session, site: str) -> ZoneShares:
        others = [other for other in self.scorers.sites() if other != site]
        if not others:
            return ()
        return (
            (max(others, key=lambda other: rendezvous_weight("site", other, session.org, session.row)), 1.0),
        )
