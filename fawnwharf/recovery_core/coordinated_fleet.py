"""The model of `world` with front ends that return by the plan: the real cores of phases and budgets.

One `Conductor` decides, and all hear it at once; a leader is there `ELECTS_MS` after a majority of the
voters. Before that front ends have no leader, and hear each other. A front end takes calls once it has asked.
"""

from fawnwharf.interface import Effect
from fawnwharf.recovery_core import partitioned
from fawnwharf.recovery_core.budget import (
    AdmissionRateLimiter,
    LoadCoordinator,
    SlowStartCoordinator,
    choose_load_coordinators,
    start_offset_ms,
)
from fawnwharf.recovery_core.coordinator import RecoveryCoordinator
from fawnwharf.recovery_core.phases import (
    AllowedActions,
    FleetObservation,
    PhaseTiming,
    ProposeRegister,
    RecoveryPhase,
    RecoveryRegister,
    allowed_in_phase,
)
from fawnwharf.recovery_core.uncoordinated_fleet import (
    FUNCTION_KINDS,
    PRIORITY_WEIGHTS,
    SITE,
    CallAttempt,
    FrontEnd,
    Scenario,
    UncoordinatedFleet,
)
from fawnwharf.replication.placement import rendezvous_weight

ASKS_MS, ELECTS_MS, TICK_MS, CHOOSE_MS = 2_000.0, 2_000.0, 250.0, 2_000.0
EFFECTS = {
    "points-view": Effect.IDEMPOTENT,
    "lineup-save": Effect.DEDUPLICATED,
    "transfer-settle": Effect.AT_MOST_ONCE,
}
KEPT_BACK = 0.3  # of the burst at a door, for the classes worth most


class CoordinatedFleet(UncoordinatedFleet):
    """Owns what is decided together, and who hands out what."""

    def __init__(self, scene: Scenario, seed: int) -> None:
        super().__init__(scene, seed)
        self.doors = {front.name: AdmissionRateLimiter(self.limits) for front in self.fronts}
        self.wardens: dict[str, SlowStartCoordinator] = {}
        self.warden = [("", -1)] * len(self.scorers)  # of each scorer: the front end, and its lot
        self.began = {front.name: front.up_ms for front in self.fronts}
        self.conductor = RecoveryCoordinator(PhaseTiming(), self.voters)
        old = RecoveryRegister(number=3, fronts=scene.fronts, boots=dict.fromkeys(self.voters, "before"))
        self.text, self.leads_ms, self.may = old.encode(), 0.0, AllowedActions()
        self.stages: list[tuple[float, RecoveryPhase]] = []
        self.loaders: dict[str, LoadCoordinator] = {}
        self.lots: dict[tuple[str, int], int] = {}
        self.wanted: frozenset[str] = frozenset()
        self.choose_ms = 0.0
        self.place: dict[int, int] = {}  # where each function's first copy stands, as loaders have told
        self.fell_now = 0
        self._push(TICK_MS, "tick", None)

    def _up(self, now: float, front: FrontEnd) -> None:
        super()._up(now, front)
        for s, (_, most) in enumerate(self.warden):
            if (lot := rendezvous_weight("warden", front.name, str(s))) > most:
                self.warden[s] = front.name, lot

    # --- stages -------------------------------------------------------------------------------

    def _tick(self, now: float, _: object) -> None:
        self._push(now + TICK_MS, "tick", None)
        if not self.up:
            return
        up = [front.name for front in self.up]
        asked = sum(now - front.up_ms >= ASKS_MS for front in self.up)
        here = [v for v in self.voters if v in up]
        self.leads_ms = (self.leads_ms or now) if 2 * len(here) > len(self.voters) else 0.0
        if self.leads_ms and now - self.leads_ms >= ELECTS_MS:
            self._conduct(now, len(up), asked, here)
        if (
            not self.leads_ms
            or self.conductor.register.stage < RecoveryPhase.PRIORITY_CALLS
            or not self.stages
        ):
            self.may = partitioned.allowed_when_partitioned(
                PRIORITY_WEIGHTS,
                partitioned.budget_share(len(up), self.scene.fronts),
                has_roster=True,
                queries_finished=asked > 0,
            )
        most = max(1, int(self.limits.fetches * self.may.part)) if self.may.loads else 0
        if now >= self.choose_ms:
            self.choose_ms = now + CHOOSE_MS
            self._choose(now, choose_load_coordinators(up, most, 1), self._wanted(now))
        for loader in self.loaders.values() if self.may.loads else ():
            self._order(now, loader)
        rate = self.limits.calls_rps(self._age(now, s) for s in self._live(now))
        for front in self.up:
            self.doors[front.name].set_rate(now, SITE.slow_start_multiple * rate / len(up))

    def _live(self, now: float) -> list[int]:
        return [s for s, scorer in enumerate(self.scorers) if scorer.up_ms <= now]

    def _conduct(self, now: float, heard: int, asked: int, here: list[str]) -> None:
        if not self.conductor.leads:
            self.conductor.begin_term(now, self.text, self.voters)
        at = max(1, int(now / 1000) - 1)  # the last whole seconds of tries
        came, served, first, first_served = map(sum, zip(*self.seconds[at - 1 : at + 1], strict=True))
        slow = self.slow[-20:]
        seen = FleetObservation(
            members=self.scene.fronts,
            heard=heard,
            asked=asked,
            sure=1.0 if asked else 0.0,
            first=first_served / first if first else 0.0,
            served=served / came if came else 0.0,
            slow=sum(slow) / len(slow),
            fell=self.fell_now,
        )
        self.fell_now = 0
        for effect in self.conductor.tick(now, seen, dict.fromkeys(here, "after"), holds_lease=True):
            if isinstance(effect, ProposeRegister):
                self.text = effect.register
                self.conductor.decided(now, self.text)
        register = self.conductor.register
        self.may = allowed_in_phase(RecoveryPhase(register.stage), PRIORITY_WEIGHTS, register.part)
        if not self.stages or self.stages[-1][1] != register.stage:
            self.stages.append((now, RecoveryPhase(register.stage)))

    # --- loads --------------------------------------------------------------------------------

    def _owner(self, f: int, chosen: tuple[str, ...]) -> str:
        """`loader_of`, with its lots kept: there are many functions."""
        for name in chosen:
            if (name, f) not in self.lots:
                self.lots[name, f] = rendezvous_weight("loads", name, str(f))
        return max(chosen, key=lambda name: self.lots[name, f])

    def _wanted(self, now: float) -> frozenset[str]:
        """Classes of which any front end takes calls; copies of others would stand idle."""
        return frozenset(
            kind for kind in PRIORITY_WEIGHTS if any(self._takes(now, front, kind) for front in self.up)
        )

    def _choose(self, now: float, chosen: tuple[str, ...], wanted: frozenset[str]) -> None:
        """Other loaders, or classes: what is not ordered yet is theirs, by the use before the cut."""
        if (chosen, wanted) == (tuple(self.loaders), self.wanted):
            return
        before, self.loaders, self.wanted = self.loaders, {}, wanted
        for name in chosen:
            self.loaders[name] = before.get(name) or LoadCoordinator(
                begins_ms=now + start_offset_ms(name, 1, 1_000.0)
            )
            self.loaders[name].requests, self.loaders[name].queue = {}, []
        under_way = {int(f) for loader in before.values() for f in loader.in_progress}
        for f in range(len(self.facts)) if chosen else ():
            if f not in self.place and f not in under_way and self.facts[f][0] in wanted:
                self._want(f)

    def _want(self, f: int) -> None:
        loader = self.loaders[self._owner(f, tuple(self.loaders))]
        loader.request(str(f), self.rates[f] * PRIORITY_WEIGHTS[self.facts[f][0]])

    def _order(self, now: float, loader: LoadCoordinator) -> None:
        for name in loader.next_orders(now):
            f = int(name)
            s = next((s for s in self.order[f] if self._age(now, s) >= 0), -1)
            took = self._load(now, f, s) - now if s >= 0 else 500.0
            self._push(now + took, "loaded", (loader, f, s, took))

    def _loaded(self, now: float, what: tuple[LoadCoordinator, int, int, float]) -> None:
        loader, f, s, took = what
        good = s >= 0 and self.scorers[s].ready.get(f, float("inf")) <= now
        loader.finish_order(str(f), good, took)
        if good:
            self.place[f] = s
        if self.may.loads and loader in self.loaders.values():
            self._order(now, loader)

    def _falls(self, s: int) -> None:
        super()._falls(s)
        self.fell_now += 1
        for f in [f for f, at in self.place.items() if at == s]:
            del self.place[f]
            for loader in self.loaders.values():
                loader.remove(str(f))
            if self.loaders:
                self._want(f)

    # --- calls --------------------------------------------------------------------------------

    def _begin(self, now: float, one: CallAttempt) -> None:
        kind = self.facts[one.function][0]
        doors = self.doors[one.front.name]
        if not self._takes(now, one.front, kind):
            self._again(now, one, doors.retry_after_ms(now, one.client, 1_000.0))
            return
        if not self.may.spill and not doors.try_admit(
            now, 0.0 if PRIORITY_WEIGHTS[kind] > 1.0 else KEPT_BACK
        ):
            self._again(now, one, doors.retry_after_ms(now, one.client))
            return
        self._placed(now, one)

    def _takes(self, now: float, front: FrontEnd, kind: str) -> bool:
        """Alone it serves what is safe alone: nothing here is known or granted then."""
        if kind not in self.may.classes or now - front.up_ms < ASKS_MS:
            return False
        standing = partitioned.CallKnowledge(since_start_ms=now - front.up_ms)
        found = partitioned.decide_call(EFFECTS[kind], standing, self.conductor.timing.window_ms)
        return not self.may.alone or found is partitioned.CallDecision.SERVE

    def _placed(self, now: float, one: CallAttempt) -> None:
        """To the copy that stands, with its warden's ticket; it is waited for while that can be in time."""
        f, doors = one.function, self.doors[one.front.name]
        kind, _, run = self.facts[f]
        left = FUNCTION_KINDS[kind][1] - (now - one.at_ms) - run
        s = self.place.get(f)
        if s is None:
            if not self.loaders:
                self._again(now, one, doors.retry_after_ms(now, one.client, 1_000.0))
                return
            loader = self.loaders[self._owner(f, tuple(self.loaders))]
            if str(f) not in loader.requests and str(f) not in loader.in_progress:
                self._want(f)
            wait = loader.eta_ms(str(f))
        else:
            wait = self._ticket(now, s)
        if wait <= 0.0:
            self._send(now, one, s)
            return
        if wait <= left:
            self._push(now + min(wait, 100.0), "placed", one)
            return
        self._again(now, one, doors.retry_after_ms(now, one.client, wait))
        return

    def _ticket(self, now: float, s: int) -> float:
        age = self._age(now, s)
        if age >= SITE.slow_start_ms:
            return 0.0
        name = self.warden[s][0]
        warden = self.wardens.setdefault(name, SlowStartCoordinator(self.limits))
        if str(s) not in warden.since and self.began[name] < self.scorers[s].up_ms:
            warden.has_no_predecessor(str(s))
        return warden.acquire(now, str(s), age)
