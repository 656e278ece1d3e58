"""The simulation of `uncoordinated_fleet` with front ends that follow the recovery phases.

It uses the production code of the phases and budgets. One `RecoveryCoordinator` decides the phases, and all
front ends receive its register without delay. A leader is elected `ELECTION_MS` after a majority of the
voters is up. Until then the front ends hear each other but have no leader. A front end admits calls once its
startup queries are finished.
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
    SITE_SETTINGS,
    CallAttempt,
    FrontEnd,
    Scenario,
)
from fawnwharf.recovery_core.uncoordinated_fleet import UncoordinatedFleet
from fawnwharf.replication.placement import rendezvous_weight

QUERIES_MS = 2_000.0  # duration of a front end's startup queries
ELECTION_MS = 2_000.0
TICK_MS = 250.0
LOAD_COORDINATOR_INTERVAL_MS = 2_000.0  # between two choices of the load coordinators
START_SPREAD_MS = 1_000.0  # over which the load coordinators spread their first loads
NO_COPY_RETRY_MS = 1_000.0
PERMIT_CHECK_MS = 100.0
FAILED_LOAD_MS = 500.0  # time in which an order fails if no scorer is up
POWER_LOSS_NUMBER = 1
EFFECTS = {
    "points-view": Effect.IDEMPOTENT,
    "lineup-save": Effect.DEDUPLICATED,
    "transfer-settle": Effect.AT_MOST_ONCE,
}
RESERVED_SHARE = 0.3  # of the admission burst, for the priority classes


class CoordinatedFleet(UncoordinatedFleet):
    """A simulated recovery with a recovery coordinator, load coordinators and slow start coordinators."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        super().__init__(scenario, seed)
        self.limiters = {front_end.name: AdmissionRateLimiter(self.limits) for front_end in self.front_ends}
        self.started_ms = {front_end.name: front_end.up_ms for front_end in self.front_ends}
        self.coordinator = RecoveryCoordinator(PhaseTiming(), self.voters)
        self.allowed = AllowedActions()
        self.phases: list[tuple[float, RecoveryPhase]] = []  # each phase and the time at which it began
        self.first_copies: dict[int, int] = {}  # the scorer of each function's first copy
        self._slow_start_coordinators: dict[str, SlowStartCoordinator] = {}
        self._coordinator_of_scorer = [("", -1)] * len(self.scorers)  # front end and its hash, by scorer
        register_before = RecoveryRegister(
            number=3, fronts=scenario.front_ends, boots=dict.fromkeys(self.voters, "before")
        )
        self._register_text = register_before.encode()
        self._majority_since_ms = 0.0  # 0: no majority is up
        self._load_coordinators: dict[str, LoadCoordinator] = {}
        self._load_hashes: dict[tuple[str, int], int] = {}
        self._loaded_classes: frozenset[str] = frozenset()  # classes whose functions are loaded
        self._next_load_coordinators_ms = 0.0
        self._crashes_since_tick = 0
        self._schedule(TICK_MS, self._tick)

    def _start_front_end(self, front_end: FrontEnd, now_ms: float) -> None:
        super()._start_front_end(front_end, now_ms)
        for scorer_id, (_, largest) in enumerate(self._coordinator_of_scorer):
            weight = rendezvous_weight("warden", front_end.name, str(scorer_id))
            if weight > largest:
                self._coordinator_of_scorer[scorer_id] = front_end.name, weight

    # --- phases -------------------------------------------------------------------------------

    def _tick(self, now_ms: float) -> None:
        self._schedule(now_ms + TICK_MS, self._tick)
        if not self.up:
            return
        names = [front_end.name for front_end in self.up]
        finished_queries = sum(now_ms - front_end.up_ms >= QUERIES_MS for front_end in self.up)
        voters_up = [voter for voter in self.voters if voter in names]
        has_majority = 2 * len(voters_up) > len(self.voters)
        self._majority_since_ms = (self._majority_since_ms or now_ms) if has_majority else 0.0
        if self._majority_since_ms and now_ms - self._majority_since_ms >= ELECTION_MS:
            self._coordinate(now_ms, finished_queries, voters_up)
        is_early = self.coordinator.register.stage < RecoveryPhase.PRIORITY_CALLS
        if not self._majority_since_ms or is_early or not self.phases:
            self.allowed = partitioned.allowed_when_partitioned(
                PRIORITY_WEIGHTS,
                partitioned.budget_share(len(names), self.scenario.front_ends),
                has_roster=True,
                queries_finished=finished_queries > 0,
            )
        self._order_loads(now_ms, names)
        rate = self.limits.calls_rps(
            self._age_ms(now_ms, scorer_id) for scorer_id in self._live_scorers(now_ms)
        )
        for name in names:
            self.limiters[name].set_rate(now_ms, SITE_SETTINGS.slow_start_multiple * rate / len(names))

    def _live_scorers(self, now_ms: float) -> list[int]:
        return [scorer_id for scorer_id, scorer in enumerate(self.scorers) if scorer.up_ms <= now_ms]

    def _coordinate(self, now_ms: float, finished_queries: int, voters_up: list[str]) -> None:
        """Run a tick of the coordinator; all front ends receive its register."""
        if not self.coordinator.leads:
            self.coordinator.begin_term(now_ms, self._register_text, self.voters)
        observation = self._observe(now_ms, finished_queries)
        boots = dict.fromkeys(voters_up, "after")
        for effect in self.coordinator.tick(now_ms, observation, boots, holds_lease=True):
            if isinstance(effect, ProposeRegister):
                self._register_text = effect.register
                self.coordinator.decided(now_ms, self._register_text)
        register = self.coordinator.register
        phase = RecoveryPhase(register.stage)
        self.allowed = allowed_in_phase(phase, PRIORITY_WEIGHTS, register.part)
        if not self.phases or self.phases[-1][1] != phase:
            self.phases.append((now_ms, phase))

    def _observe(self, now_ms: float, finished_queries: int) -> FleetObservation:
        """What the leader observes, from the last two complete seconds."""
        last = max(1, int(now_ms / 1000) - 1)
        recent_seconds = self.seconds[last - 1 : last + 1]
        offered = sum(second.offered for second in recent_seconds)
        priority_offered = sum(second.priority_offered for second in recent_seconds)
        slowdowns = self.slowdowns[-20:]
        observation = FleetObservation(
            members=self.scenario.front_ends,
            heard=len(self.up),
            asked=finished_queries,
            sure=1.0 if finished_queries else 0.0,
            first=sum(second.priority_served for second in recent_seconds) / priority_offered
            if priority_offered
            else 0.0,
            served=sum(second.served for second in recent_seconds) / offered if offered else 0.0,
            slow=sum(slowdowns) / len(slowdowns),
            fell=self._crashes_since_tick,
        )
        self._crashes_since_tick = 0
        return observation

    # --- loads --------------------------------------------------------------------------------

    def _order_loads(self, now_ms: float, names: list[str]) -> None:
        count = max(1, int(self.limits.fetches * self.allowed.part)) if self.allowed.loads else 0
        if now_ms >= self._next_load_coordinators_ms:
            self._next_load_coordinators_ms = now_ms + LOAD_COORDINATOR_INTERVAL_MS
            chosen = choose_load_coordinators(names, count, POWER_LOSS_NUMBER)
            self._replace_load_coordinators(now_ms, chosen, self._wanted_classes(now_ms))
        if self.allowed.loads:
            for coordinator in self._load_coordinators.values():
                self._order_copies(now_ms, coordinator)

    def _load_coordinator_of(self, function: int) -> LoadCoordinator:
        """The result of `budget.load_coordinator_of`, with cached hashes because there are many functions."""
        for name in self._load_coordinators:
            if (name, function) not in self._load_hashes:
                self._load_hashes[name, function] = rendezvous_weight("loads", name, str(function))
        coordinator_name = max(self._load_coordinators, key=lambda name: self._load_hashes[name, function])
        return self._load_coordinators[coordinator_name]

    def _wanted_classes(self, now_ms: float) -> frozenset[str]:
        """Classes of which at least one front end admits calls; copies for other classes would be idle."""
        return frozenset(
            name
            for name in PRIORITY_WEIGHTS
            if any(self._admits(now_ms, front_end, name) for front_end in self.up)
        )

    def _replace_load_coordinators(
        self, now_ms: float, chosen: tuple[str, ...], classes: frozenset[str]
    ) -> None:
        """Set the load coordinators and the classes to load.

        Every function of these classes that is not loaded or being loaded is requested from its coordinator,
        with the value from its usage before the power loss.
        """
        if (chosen, classes) == (tuple(self._load_coordinators), self._loaded_classes):
            return
        before = self._load_coordinators
        self._load_coordinators = {}
        self._loaded_classes = classes
        for name in chosen:
            begins_ms = now_ms + start_offset_ms(name, POWER_LOSS_NUMBER, START_SPREAD_MS)
            coordinator = before.get(name) or LoadCoordinator(begins_ms=begins_ms)
            coordinator.requests = {}
            coordinator.queue = []
            self._load_coordinators[name] = coordinator
        if not chosen:
            return
        in_progress = {int(name) for coordinator in before.values() for name in coordinator.in_progress}
        for number, function in enumerate(self.functions):
            is_ordered = number in self.first_copies or number in in_progress
            if not is_ordered and function.kind_name in classes:
                self._request(number)

    def _request(self, function: int) -> None:
        weight = PRIORITY_WEIGHTS[self.functions[function].kind_name]
        self._load_coordinator_of(function).request(str(function), self.rates[function] * weight)

    def _order_copies(self, now_ms: float, coordinator: LoadCoordinator) -> None:
        for name in coordinator.next_orders(now_ms):
            function = int(name)
            up = (
                scorer_id for scorer_id in self.hash_order[function] if self._age_ms(now_ms, scorer_id) >= 0
            )
            scorer_id = next(up, -1)
            took_ms = self._load(now_ms, function, scorer_id) - now_ms if scorer_id >= 0 else FAILED_LOAD_MS
            finish = partial(self._finish_load, coordinator, function, scorer_id, took_ms)
            self._schedule(now_ms + took_ms, finish)

    def _finish_load(
        self, coordinator: LoadCoordinator, function: int, scorer_id: int, took_ms: float, now_ms: float
    ) -> None:
        is_loaded = scorer_id >= 0 and self.scorers[scorer_id].ready_ms.get(function, float("inf")) <= now_ms
        coordinator.finish_order(str(function), is_loaded, took_ms)
        if is_loaded:
            self.first_copies[function] = scorer_id
        if self.allowed.loads and coordinator in self._load_coordinators.values():
            self._order_copies(now_ms, coordinator)

    def _crash_scorer(self, scorer_id: int) -> None:
        super()._crash_scorer(scorer_id)
        self._crashes_since_tick += 1
        for function in [function for function, at in self.first_copies.items() if at == scorer_id]:
            del self.first_copies[function]
            for coordinator in self._load_coordinators.values():
                coordinator.remove(str(function))
            if self._load_coordinators:
                self._request(function)

    # --- calls --------------------------------------------------------------------------------

    def _start_attempt(self, now_ms: float, call: CallAttempt) -> None:
        kind_name = self.functions[call.function].kind_name
        limiter = self.limiters[call.front_end.name]
        if not self._admits(now_ms, call.front_end, kind_name):
            self._retry(now_ms, call, limiter.retry_after_ms(now_ms, call.client, NO_COPY_RETRY_MS))
            return
        reserved = 0.0 if PRIORITY_WEIGHTS[kind_name] > 1.0 else RESERVED_SHARE
        if not self.allowed.spill and not limiter.try_admit(now_ms, reserved):
            self._retry(now_ms, call, limiter.retry_after_ms(now_ms, call.client))
            return
        self._send_or_wait(call, now_ms)

    def _admits(self, now_ms: float, front_end: FrontEnd, kind_name: str) -> bool:
        """Whether a front end admits calls of a class.

        A partitioned front end serves only calls that are safe without a leader. In this simulation it then
        knows no answers and has no grants.
        """
        if kind_name not in self.allowed.classes or now_ms - front_end.up_ms < QUERIES_MS:
            return False
        if not self.allowed.alone:
            return True
        knowledge = partitioned.CallKnowledge(since_start_ms=now_ms - front_end.up_ms)
        window_ms = self.coordinator.timing.window_ms
        decision = partitioned.decide_call(EFFECTS[kind_name], knowledge, window_ms)
        return decision is partitioned.CallDecision.SERVE

    def _send_or_wait(self, call: CallAttempt, now_ms: float) -> None:
        """Send a call to the first copy if there is a copy and a slow start permit.

        Otherwise the call waits if it can still meet its latency target, and is rejected if not.
        """
        function = self.functions[call.function]
        remaining_ms = function.kind.latency_target_ms - (now_ms - call.at_ms) - function.run_ms
        scorer_id = self.first_copies.get(call.function)
        limiter = self.limiters[call.front_end.name]
        if scorer_id is not None:
            wait_ms = self._acquire_permit(now_ms, scorer_id)
            if wait_ms <= 0.0:
                self._send(now_ms, call, scorer_id)
                return
        elif not self._load_coordinators:
            self._retry(now_ms, call, limiter.retry_after_ms(now_ms, call.client, NO_COPY_RETRY_MS))
            return
        else:
            wait_ms = self._wait_for_copy(call.function)
        if wait_ms <= remaining_ms:
            pause_ms = min(wait_ms, PERMIT_CHECK_MS) or PERMIT_CHECK_MS
            self._schedule(now_ms + pause_ms, partial(self._send_or_wait, call))
            return
        self._retry(now_ms, call, limiter.retry_after_ms(now_ms, call.client, wait_ms))

    def _wait_for_copy(self, function: int) -> float:
        """The estimated time in ms until a copy is loaded; requests the load if necessary."""
        coordinator = self._load_coordinator_of(function)
        if str(function) not in coordinator.requests and str(function) not in coordinator.in_progress:
            self._request(function)
        return coordinator.eta_ms(str(function))

    def _acquire_permit(self, now_ms: float, scorer_id: int) -> float:
        """The time in ms to wait before a call may be sent to a scorer; 0 if it may be sent now."""
        age_ms = self._age_ms(now_ms, scorer_id)
        if age_ms >= SITE_SETTINGS.slow_start_ms:
            return 0.0
        name, _ = self._coordinator_of_scorer[scorer_id]
        coordinator = self._slow_start_coordinators.setdefault(name, SlowStartCoordinator(self.limits))
        came_up_later = self.started_ms[name] < self.scorers[scorer_id].up_ms
        if str(scorer_id) not in coordinator.since and came_up_later:
            coordinator.has_no_predecessor(str(scorer_id))
        return coordinator.acquire(now_ms, str(scorer_id), age_ms)
