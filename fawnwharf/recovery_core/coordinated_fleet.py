"""The model of `uncoordinated_fleet` with front ends that return by phases.

It uses the real cores of phases and budgets.

One `RecoveryCoordinator` decides, and all front ends receive its register at once; a leader is there
`ELECTION_MS` after a majority of the voters. Before that front ends have no leader, and hear each other. A
front end admits calls once its queries are finished.
"""

from functools import partial

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
    allowed_in_phase,
)
from fawnwharf.recovery_core.register import RecoveryPhase, RecoveryRegister
from fawnwharf.recovery_core.simulated_site import (
    PRIORITY_WEIGHTS,
    SITE,
    CallAttempt,
    FrontEnd,
    Scenario,
)
from fawnwharf.recovery_core.uncoordinated_fleet import UncoordinatedFleet
from fawnwharf.replication.placement import rendezvous_weight

QUERIES_MS = 2_000.0
ELECTION_MS = 2_000.0
TICK_MS = 250.0
CHOICE_INTERVAL_MS = 2_000.0  # of load coordinators
START_SPREAD_MS = 1_000.0
NO_COPY_RETRY_MS = 1_000.0
PERMIT_CHECK_MS = 100.0
FAILED_LOAD_MS = 500.0  # until an order without a scorer has failed
POWER_LOSS = 1
EFFECTS = {
    "points-view": Effect.IDEMPOTENT,
    "lineup-save": Effect.DEDUPLICATED,
    "transfer-settle": Effect.AT_MOST_ONCE,
}
RESERVED_SHARE = 0.3  # of the burst, for the priority classes


class CoordinatedFleet(UncoordinatedFleet):
    """Owns the decisions of the coordinator, and the front ends that issue permits."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        super().__init__(scenario, seed)
        self.limiters = {front.name: AdmissionRateLimiter(self.limits) for front in self.fronts}
        self.began_ms = {front.name: front.up_ms for front in self.fronts}
        self.coordinator = RecoveryCoordinator(PhaseTiming(), self.voters)
        self.allowed = AllowedActions()
        self.phases: list[tuple[float, RecoveryPhase]] = []  # as they were entered
        self.placement: dict[int, int] = {}  # the scorer of each function's first copy
        self._slow_start_coordinators: dict[str, SlowStartCoordinator] = {}
        self._coordinator_of_scorer = [("", -1)] * len(self.scorers)  # the front end, and its hash
        old = RecoveryRegister(number=3, fronts=scenario.fronts, boots=dict.fromkeys(self.voters, "before"))
        self._register_text = old.encode()
        self._majority_since_ms = 0.0  # 0: no majority of the voters is up
        self._load_coordinators: dict[str, LoadCoordinator] = {}
        self._hashes: dict[tuple[str, int], int] = {}
        self._wanted: frozenset[str] = frozenset()  # classes whose functions are loaded
        self._next_choice_ms = 0.0
        self._fallen_since_tick = 0
        self._schedule(TICK_MS, self._tick)

    def _come_up(self, front: FrontEnd, now: float) -> None:
        super()._come_up(front, now)
        for place, (_, largest) in enumerate(self._coordinator_of_scorer):
            weight = rendezvous_weight("warden", front.name, str(place))
            if weight > largest:
                self._coordinator_of_scorer[place] = front.name, weight

    # --- phases -------------------------------------------------------------------------------

    def _tick(self, now: float) -> None:
        self._schedule(now + TICK_MS, self._tick)
        if not self.up:
            return
        names = [front.name for front in self.up]
        finished = sum(now - front.up_ms >= QUERIES_MS for front in self.up)
        voters_up = [voter for voter in self.voters if voter in names]
        has_majority = 2 * len(voters_up) > len(self.voters)
        self._majority_since_ms = (self._majority_since_ms or now) if has_majority else 0.0
        if self._majority_since_ms and now - self._majority_since_ms >= ELECTION_MS:
            self._coordinate(now, finished, voters_up)
        is_early = self.coordinator.register.stage < RecoveryPhase.PRIORITY_CALLS
        if not self._majority_since_ms or is_early or not self.phases:
            self.allowed = partitioned.allowed_when_partitioned(
                PRIORITY_WEIGHTS,
                partitioned.budget_share(len(names), self.scenario.fronts),
                has_roster=True,
                queries_finished=finished > 0,
            )
        self._order_loads(now, names)
        rate = self.limits.calls_rps(self._age_ms(now, place) for place in self._live_scorers(now))
        for name in names:
            self.limiters[name].set_rate(now, SITE.slow_start_multiple * rate / len(names))

    def _live_scorers(self, now: float) -> list[int]:
        return [place for place, scorer in enumerate(self.scorers) if scorer.up_ms <= now]

    def _coordinate(self, now: float, finished: int, voters_up: list[str]) -> None:
        """A tick of the coordinator; all front ends receive its register."""
        if not self.coordinator.leads:
            self.coordinator.begin_term(now, self._register_text, self.voters)
        seen = self._observe(now, finished)
        boots = dict.fromkeys(voters_up, "after")
        for effect in self.coordinator.tick(now, seen, boots, holds_lease=True):
            if isinstance(effect, ProposeRegister):
                self._register_text = effect.register
                self.coordinator.decided(now, self._register_text)
        register = self.coordinator.register
        phase = RecoveryPhase(register.stage)
        self.allowed = allowed_in_phase(phase, PRIORITY_WEIGHTS, register.part)
        if not self.phases or self.phases[-1][1] != phase:
            self.phases.append((now, phase))

    def _observe(self, now: float, finished: int) -> FleetObservation:
        """What the leader knows, by the last two complete seconds."""
        last = max(1, int(now / 1000) - 1)
        recent = self.seconds[last - 1 : last + 1]
        offered = sum(second.offered for second in recent)
        priority_offered = sum(second.priority_offered for second in recent)
        slowdowns = self.slowdowns[-20:]
        seen = FleetObservation(
            members=self.scenario.fronts,
            heard=len(self.up),
            asked=finished,
            sure=1.0 if finished else 0.0,
            first=sum(second.priority_served for second in recent) / priority_offered
            if priority_offered
            else 0.0,
            served=sum(second.served for second in recent) / offered if offered else 0.0,
            slow=sum(slowdowns) / len(slowdowns),
            fell=self._fallen_since_tick,
        )
        self._fallen_since_tick = 0
        return seen

    # --- loads --------------------------------------------------------------------------------

    def _order_loads(self, now: float, names: list[str]) -> None:
        count = max(1, int(self.limits.fetches * self.allowed.part)) if self.allowed.loads else 0
        if now >= self._next_choice_ms:
            self._next_choice_ms = now + CHOICE_INTERVAL_MS
            chosen = choose_load_coordinators(names, count, POWER_LOSS)
            self._choose(now, chosen, self._wanted_classes(now))
        if self.allowed.loads:
            for coordinator in self._load_coordinators.values():
                self._order(now, coordinator)

    def _owner(self, function: int) -> LoadCoordinator:
        """`load_coordinator_of`, with its hashes cached, as there are many functions."""
        for name in self._load_coordinators:
            if (name, function) not in self._hashes:
                self._hashes[name, function] = rendezvous_weight("loads", name, str(function))
        owner = max(self._load_coordinators, key=lambda name: self._hashes[name, function])
        return self._load_coordinators[owner]

    def _wanted_classes(self, now: float) -> frozenset[str]:
        """Classes of which any front end admits calls; copies of others would be idle."""
        return frozenset(
            name for name in PRIORITY_WEIGHTS if any(self._admits(now, front, name) for front in self.up)
        )

    def _choose(self, now: float, chosen: tuple[str, ...], wanted: frozenset[str]) -> None:
        """Let other front ends coordinate loads, or load other classes.

        What is not ordered yet is requested of them, by the usage before the power loss.
        """
        if (chosen, wanted) == (tuple(self._load_coordinators), self._wanted):
            return
        before = self._load_coordinators
        self._load_coordinators = {}
        self._wanted = wanted
        for name in chosen:
            begins_ms = now + start_offset_ms(name, POWER_LOSS, START_SPREAD_MS)
            coordinator = before.get(name) or LoadCoordinator(begins_ms=begins_ms)
            coordinator.requests = {}
            coordinator.queue = []
            self._load_coordinators[name] = coordinator
        if not chosen:
            return
        in_progress = {int(name) for coordinator in before.values() for name in coordinator.in_progress}
        for number, function in enumerate(self.functions):
            is_ordered = number in self.placement or number in in_progress
            if not is_ordered and function.kind_name in wanted:
                self._request(number)

    def _request(self, function: int) -> None:
        weight = PRIORITY_WEIGHTS[self.functions[function].kind_name]
        self._owner(function).request(str(function), self.rates[function] * weight)

    def _order(self, now: float, coordinator: LoadCoordinator) -> None:
        for name in coordinator.next_orders(now):
            function = int(name)
            up = (place for place in self.hash_order[function] if self._age_ms(now, place) >= 0)
            place = next(up, -1)
            took_ms = self._load(now, function, place) - now if place >= 0 else FAILED_LOAD_MS
            finish = partial(self._finish_load, coordinator, function, place, took_ms)
            self._schedule(now + took_ms, finish)

    def _finish_load(
        self, coordinator: LoadCoordinator, function: int, place: int, took_ms: float, now: float
    ) -> None:
        is_loaded = place >= 0 and self.scorers[place].ready_ms.get(function, float("inf")) <= now
        coordinator.finish_order(str(function), is_loaded, took_ms)
        if is_loaded:
            self.placement[function] = place
        if self.allowed.loads and coordinator in self._load_coordinators.values():
            self._order(now, coordinator)

    def _fall(self, place: int) -> None:
        super()._fall(place)
        self._fallen_since_tick += 1
        for function in [function for function, at in self.placement.items() if at == place]:
            del self.placement[function]
            for coordinator in self._load_coordinators.values():
                coordinator.remove(str(function))
            if self._load_coordinators:
                self._request(function)

    # --- calls --------------------------------------------------------------------------------

    def _begin(self, now: float, call: CallAttempt) -> None:
        kind_name = self.functions[call.function].kind_name
        limiter = self.limiters[call.front.name]
        if not self._admits(now, call.front, kind_name):
            self._retry(now, call, limiter.retry_after_ms(now, call.client, NO_COPY_RETRY_MS))
            return
        reserved = 0.0 if PRIORITY_WEIGHTS[kind_name] > 1.0 else RESERVED_SHARE
        if not self.allowed.spill and not limiter.try_admit(now, reserved):
            self._retry(now, call, limiter.retry_after_ms(now, call.client))
            return
        self._place(call, now)

    def _admits(self, now: float, front: FrontEnd, kind_name: str) -> bool:
        """Whether a front end admits calls of a class.

        While partitioned it serves what is safe alone: nothing here is known or granted then.
        """
        if kind_name not in self.allowed.classes or now - front.up_ms < QUERIES_MS:
            return False
        if not self.allowed.alone:
            return True
        knowledge = partitioned.CallKnowledge(since_start_ms=now - front.up_ms)
        window_ms = self.coordinator.timing.window_ms
        decision = partitioned.decide_call(EFFECTS[kind_name], knowledge, window_ms)
        return decision is partitioned.CallDecision.SERVE

    def _place(self, call: CallAttempt, now: float) -> None:
        """Send a call to the copy, with a slow start permit; wait for both while the call can be in time."""
        function = self.functions[call.function]
        remaining_ms = function.kind.latency_target_ms - (now - call.at_ms) - function.run_ms
        place = self.placement.get(call.function)
        limiter = self.limiters[call.front.name]
        if place is not None:
            wait_ms = self._acquire_permit(now, place)
            if wait_ms <= 0.0:
                self._send(now, call, place)
                return
        elif not self._load_coordinators:
            self._retry(now, call, limiter.retry_after_ms(now, call.client, NO_COPY_RETRY_MS))
            return
        else:
            wait_ms = self._wait_for_copy(call.function)
        if wait_ms <= remaining_ms:
            pause_ms = min(wait_ms, PERMIT_CHECK_MS) or PERMIT_CHECK_MS
            self._schedule(now + pause_ms, partial(self._place, call))
            return
        self._retry(now, call, limiter.retry_after_ms(now, call.client, wait_ms))

    def _wait_for_copy(self, function: int) -> float:
        """In how long a copy may be loaded; it is requested, if it was not."""
        coordinator = self._owner(function)
        if str(function) not in coordinator.requests and str(function) not in coordinator.in_progress:
            self._request(function)
        return coordinator.eta_ms(str(function))

    def _acquire_permit(self, now: float, place: int) -> float:
        """0 if a call may be sent to a scorer now; else the time to wait."""
        age_ms = self._age_ms(now, place)
        if age_ms >= SITE.slow_start_ms:
            return 0.0
        name, _ = self._coordinator_of_scorer[place]
        coordinator = self._slow_start_coordinators.setdefault(name, SlowStartCoordinator(self.limits))
        came_up_later = self.began_ms[name] < self.scorers[place].up_ms
        if str(place) not in coordinator.since and came_up_later:
            coordinator.has_no_predecessor(str(place))
        return coordinator.acquire(now, str(place), age_ms)
