"""A simulation in virtual time of a fleet that recovers from a power loss without coordination.

The model includes the order in which machines come back, the late roster, the store's limit of concurrent
fetches, each scorer's concurrent loads, cold scorers that crash when too many calls arrive within the slow
start window, and clients that retry. It omits what does not affect the comparison: zones of scorers, cores
and queues of scorers beyond the lanes of a copy, lost messages, message delays (1 to 5 ms), and copies that
expire.

The front ends share no state and follow the rules of the decision module. The first copy is loaded by the
first scorer in the hash order, and more copies are loaded for held calls. Each front end has at most 8
concurrent loads and its own slow start limit. `coordinated_fleet.py` simulates front ends that follow the
recovery phases. The same seed gives the same machines and first attempts in both simulations.
"""

import heapq
import random
from collections.abc import Callable
from functools import partial
from typing import Self

from fawnwharf.recovery_core.budget import fleet_limits
from fawnwharf.recovery_core.simulated_site import (
    CALLS_PER_SECOND,
    CLIENT_RETRIES,
    FETCH_SHARE,
    FUNCTION_KINDS,
    LANES,
    MAX_HOLD_SHARE,
    MAX_OWN_LOADS,
    MAX_SCORER_LOADS,
    PRIORITY_WEIGHTS,
    SCORER_CALLS_PER_SECOND,
    SITE_SETTINGS,
    SLOW_START_SAFETY_FACTOR,
    CallAttempt,
    FrontEnd,
    Scenario,
    Scorer,
    SecondStats,
    SimulatedFunction,
)
from fawnwharf.replication.placement import rendezvous_weight

NO_FRONT_END_RETRY_MS = 1_000.0  # after an attempt that found no front end
CRASH_RETRY_MS = 500.0
SCORER_RESTART_MS = 3_000.0
HELD_CHECK_MS = 100.0
ARRIVALS_SPAN_MS = 10_000.0  # over which a front end measures its rate of arriving calls

Handler = Callable[[float], None]  # its argument is the time in ms


class UncoordinatedFleet:
    """One simulated recovery.

    `seconds` holds the statistics of the attempts made in each second.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        count = scenario.front_ends
        rng = random.Random(f"return {seed} {count}")
        self.store_slots = 4 + count // 10  # concurrent fetches at the store; other fetches wait
        self.limits = fleet_limits(
            SITE_SETTINGS, round(self.store_slots / FETCH_SHARE), SCORER_CALLS_PER_SECOND
        )
        voters = 7 if count >= 1000 else 5 if count >= 200 else 3
        up_times_ms = self._draw_up_times(rng, voters)
        self.front_ends = [FrontEnd(f"n{index}", up_times_ms[index]) for index in range(count)]
        self.voters = tuple(f"n{index}" for index in range(voters))
        scorers = max(3, round(count * CALLS_PER_SECOND / SCORER_CALLS_PER_SECOND))
        self.scorers = [Scorer(rng.uniform(0.0, scenario.scorers_ms)) for _ in range(scorers)]
        self.functions = [self._draw_function(rng) for _ in range(40 + 4 * count)]
        rates = [(rank + 1) ** -0.6 for rank in range(len(self.functions))]
        self.rates = [count * CALLS_PER_SECOND * rate / sum(rates) for rate in rates]
        self.hash_order = [self._order_scorers(function) for function in range(len(self.functions))]
        self.seconds = [SecondStats() for _ in range(int(scenario.end_ms / 1000) + 60)]
        self.fetches: dict[int, int] = {}  # number of fetches requested, by second
        self.max_waiting = 0  # maximum number of fetches that were in progress or queued at the store
        self.crashed_scorers = 0  # crashes of cold scorers
        self.up: list[FrontEnd] = []  # front ends that have come back
        self.slowdowns = [1.0]  # durations of loads, as multiples of the usual duration
        self._store_free_ms = [0.0] * self.store_slots  # heap: when each slot is free
        self._fetches_until_ms: list[float] = []  # ends of the fetches in progress or queued
        self._events: list[tuple[float, int, Handler]] = []
        self._event_count = 0
        self._draw_arrivals(rng)

    def _draw_up_times(self, rng: random.Random, voters: int) -> list[float]:
        """The time in ms at which each front end comes back; infinity for those that never do."""
        scenario = self.scenario
        count = scenario.front_ends
        while True:
            lost = set(rng.sample(range(count), round(count * scenario.lost_share)))
            returning_voters = sum(voter not in lost for voter in range(voters))
            if (2 * returning_voters > voters) == scenario.voter_majority_returns:
                break
        late = [scenario.zone_late_ms * (index % 3 == 2) for index in range(count)]
        drawn = [rng.uniform(0.0, scenario.return_spread_ms) for _ in range(count)]
        return [float("inf") if index in lost else late[index] + drawn[index] for index in range(count)]

    def _draw_function(self, rng: random.Random) -> SimulatedFunction:
        shares = [kind.share for kind in FUNCTION_KINDS.values()]
        name = rng.choices(list(FUNCTION_KINDS), shares)[0]
        kind = FUNCTION_KINDS[name]
        return SimulatedFunction(name, rng.uniform(*kind.load_ms), rng.uniform(*kind.run_ms))

    def _order_scorers(self, function: int) -> list[int]:
        def weight(scorer_id: int) -> int:
            return rendezvous_weight(str(scorer_id), str(function))

        return sorted(range(len(self.scorers)), key=weight)[:8]

    def _draw_arrivals(self, rng: random.Random) -> None:
        scenario = self.scenario
        total_rps = scenario.front_ends * CALLS_PER_SECOND
        times = []
        at_ms = 0.0
        while (at_ms := at_ms + rng.expovariate(total_rps) * 1000.0) < scenario.end_ms:
            times.append(at_ms)
        times += [scenario.burst_ms + rng.uniform(0, 1000.0) for _ in range(int(4 * total_rps))]
        functions = rng.choices(range(len(self.functions)), self.rates, k=len(times))
        for number, (at_ms, function) in enumerate(zip(times, functions, strict=True)):
            self._schedule(at_ms, partial(self._attempt, f"c{number}", function, at_ms, CLIENT_RETRIES))
        for front_end in self.front_ends:
            if front_end.up_ms < scenario.end_ms:
                self._schedule(front_end.up_ms, partial(self._start_front_end, front_end))

    def _schedule(self, at_ms: float, handler: Handler) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at_ms, self._event_count, handler))

    def run(self) -> Self:
        """Run to the end of the scenario."""
        while self._events:
            now_ms, _, handler = heapq.heappop(self._events)
            if now_ms < self.scenario.end_ms:
                handler(now_ms)
        return self

    # --- front ends ---------------------------------------------------------------------------

    def _start_front_end(self, front_end: FrontEnd, _now_ms: float) -> None:
        self.up.append(front_end)

    def _attempt(self, client: str, function: int, at_ms: float, retries_left: int, now_ms: float) -> None:
        weight = PRIORITY_WEIGHTS[self.functions[function].kind_name]
        second = self.seconds[int(at_ms / 1000)]
        second.offered += weight
        second.priority_offered += weight * (weight > 1.0)
        if not self.up:
            self._schedule_retry(client, function, retries_left, now_ms + NO_FRONT_END_RETRY_MS)
            return
        front_end = self.up[rendezvous_weight("at", client, str(retries_left)) % len(self.up)]
        front_end.arrivals_ms.append(now_ms)
        self._start_attempt(now_ms, CallAttempt(client, front_end, function, at_ms, retries_left))

    def _start_attempt(self, now_ms: float, call: CallAttempt) -> None:
        self._serve(call, now_ms)

    def _retry(self, now_ms: float, call: CallAttempt, after_ms: float) -> None:
        """Schedule the client's retry of an attempt that was not served, if it has retries left."""
        self._schedule_retry(call.client, call.function, call.retries_left, now_ms + after_ms)

    def _schedule_retry(self, client: str, function: int, retries_left: int, at_ms: float) -> None:
        if retries_left:
            self._schedule(at_ms, partial(self._attempt, client, function, at_ms, retries_left - 1))

    def _finish(self, call: CallAttempt, end_ms: float) -> None:
        kind = self.functions[call.function].kind
        took_ms = end_ms - call.at_ms
        share = 1.0
        if took_ms > kind.latency_target_ms:
            share = kind.late_share if took_ms <= kind.deadline_ms else 0.0
        value = kind.priority_weight * share
        second = self.seconds[int(call.at_ms / 1000)]
        second.served += value
        second.priority_served += value * (kind.priority_weight > 1.0)
        if took_ms > kind.deadline_ms:
            self._retry(call.at_ms + kind.deadline_ms, call, 0.0)

    def _age_ms(self, now_ms: float, scorer_id: int) -> float:
        return now_ms - self.scorers[scorer_id].up_ms

    def _send(self, now_ms: float, call: CallAttempt, scorer_id: int) -> None:
        """Run the call at the scorer; a cold scorer crashes if this is one call too many."""
        scorer = self.scorers[scorer_id]
        if self._is_overloaded(now_ms, scorer_id):
            self._crash_scorer(scorer_id)
            scorer.restart(now_ms + SCORER_RESTART_MS)
            self._retry(now_ms, call, CRASH_RETRY_MS)
            return
        lanes = scorer.copies[call.function]
        run_ms = self.functions[call.function].run_ms
        begins_ms = max(now_ms, heapq.heappop(lanes))
        heapq.heappush(lanes, begins_ms + run_ms)
        self._finish(call, begins_ms + run_ms)

    def _is_overloaded(self, now_ms: float, scorer_id: int) -> bool:
        """Whether one more call overloads a cold scorer."""
        scorer = self.scorers[scorer_id]
        age_ms = self._age_ms(now_ms, scorer_id)
        if age_ms >= SITE_SETTINGS.slow_start_ms:
            return False
        window_ms = SITE_SETTINGS.slow_start_window_ms
        scorer.sent_ms = [at for at in scorer.sent_ms if at > now_ms - window_ms] + [now_ms]
        max_calls = (
            SITE_SETTINGS.slow_start_multiple
            * self.limits.warmth(age_ms)
            * SCORER_CALLS_PER_SECOND
            * window_ms
            / 1000.0
        )
        return len(scorer.sent_ms) > max(1.0, max_calls)

    def _crash_scorer(self, _scorer_id: int) -> None:
        self.crashed_scorers += 1

    def _load(self, now_ms: float, function: int, scorer_id: int) -> float:
        """Order a copy; returns the time in ms at which it is loaded.

        If the scorer has a copy or is loading one, no other copy is loaded.
        """
        scorer = self.scorers[scorer_id]
        if function in scorer.ready_ms:
            return max(now_ms, scorer.ready_ms[function])
        load_ms = self.functions[function].load_ms
        loading = sorted(at for at in scorer.ready_ms.values() if at > now_ms)
        begins_ms = loading[-MAX_SCORER_LOADS] if len(loading) >= MAX_SCORER_LOADS else now_ms
        begins_ms = self._fetch(now_ms, begins_ms, FETCH_SHARE * load_ms)
        ready_ms = begins_ms + load_ms
        self.slowdowns.append((ready_ms - now_ms) / load_ms)
        scorer.ready_ms[function] = ready_ms
        scorer.copies[function] = [ready_ms] * LANES
        return ready_ms

    def _fetch(self, now_ms: float, begins_ms: float, fetch_ms: float) -> float:
        """Request a fetch of `fetch_ms` from the store; returns the time in ms at which it begins."""
        second = int(now_ms / 1000)
        self.fetches[second] = self.fetches.get(second, 0) + 1
        begins_ms = max(begins_ms, self._store_free_ms[0])
        heapq.heapreplace(self._store_free_ms, begins_ms + fetch_ms)
        self._fetches_until_ms = [at for at in self._fetches_until_ms if at > now_ms] + [begins_ms + fetch_ms]
        self.max_waiting = max(self.max_waiting, len(self._fetches_until_ms))
        return begins_ms

    # --- calls and loads without coordination -------------------------------------------------

    def _serve(self, call: CallAttempt, now_ms: float) -> None:
        function = call.function
        hold_until_ms = call.at_ms + MAX_HOLD_SHARE * self.functions[function].kind.deadline_ms
        if now_ms >= hold_until_ms - 1e-3:
            self._retry(now_ms, call, SITE_SETTINGS.max_retry_after_ms)
            return
        if now_ms < self.scenario.roster_ms:
            if hold_until_ms < self.scenario.roster_ms:
                self._retry(hold_until_ms, call, SITE_SETTINGS.max_retry_after_ms)
            else:
                self._schedule(self.scenario.roster_ms, partial(self._serve, call))
            return
        known = call.front_end.known_copies.setdefault(function, [])
        usable = [
            scorer_id
            for scorer_id in known
            if function in self.scorers[scorer_id].copies
            and self._is_within_limit(now_ms, call.front_end, scorer_id)
        ]
        ready = [scorer_id for scorer_id in usable if self.scorers[scorer_id].ready_ms[function] <= now_ms]
        if ready:
            scorer_id = min(ready, key=lambda scorer_id: self.scorers[scorer_id].copies[function][0])
            call.front_end.sent_ms.setdefault(scorer_id, []).append(now_ms)
            self._send(now_ms, call, scorer_id)
            return
        self._hold(now_ms, call, usable, hold_until_ms)

    def _hold(self, now_ms: float, call: CallAttempt, usable: list[int], until_ms: float) -> None:
        """Hold a call until a copy is loaded; order another copy if too few are being loaded."""
        front_end = call.front_end
        function = call.function
        front_end.load_ends_ms = [at for at in front_end.load_ends_ms if at > now_ms]
        front_end.held_calls[function] = front_end.held_calls.get(function, 0) + 1
        known = front_end.known_copies[function]
        loading = sum(self.scorers[scorer_id].ready_ms.get(function, 0.0) > now_ms for scorer_id in known)
        scorer_ids = self._scorers_for_copy(now_ms, function, known)
        too_few = front_end.held_calls[function] / LANES > loading
        if too_few and scorer_ids and len(front_end.load_ends_ms) < MAX_OWN_LOADS:
            known.append(scorer_ids[0])
            front_end.load_ends_ms.append(self._load(now_ms, function, scorer_ids[0]))
        due_ms = min(
            (self.scorers[scorer_id].ready_ms.get(function, 0.0) for scorer_id in usable), default=0.0
        )
        self._schedule(
            max(now_ms + HELD_CHECK_MS, min(due_ms, until_ms)), partial(self._retry_held_call, call)
        )

    def _scorers_for_copy(self, now_ms: float, function: int, known: list[int]) -> list[int]:
        """Scorers for another copy, in hash order; for the first copy only the first scorer that is up."""
        up = [scorer_id for scorer_id in self.hash_order[function] if self._age_ms(now_ms, scorer_id) >= 0]
        if not known:
            return up[:1]
        return [scorer_id for scorer_id in up if function not in self.scorers[scorer_id].ready_ms]

    def _retry_held_call(self, call: CallAttempt, now_ms: float) -> None:
        call.front_end.held_calls[call.function] -= 1
        self._serve(call, now_ms)

    def _is_within_limit(self, now_ms: float, front_end: FrontEnd, scorer_id: int) -> bool:
        """The decision module's slow start limit, from the front end's own calls, arrivals and hash."""
        warmth = self.limits.warmth(self._age_ms(now_ms, scorer_id))
        if warmth >= 1.0:
            return True
        window_ms = SITE_SETTINGS.slow_start_window_ms
        front_end.arrivals_ms = [at for at in front_end.arrivals_ms if at > now_ms - ARRIVALS_SPAN_MS]
        sent = [at for at in front_end.sent_ms.get(scorer_id, []) if at > now_ms - window_ms]
        front_end.sent_ms[scorer_id] = sent
        rate = SLOW_START_SAFETY_FACTOR * len(front_end.arrivals_ms) / ARRIVALS_SPAN_MS / len(self.scorers)
        budget = SITE_SETTINGS.slow_start_multiple * warmth * window_ms * rate
        return len(sent) + 1 <= budget + rendezvous_weight(front_end.name, str(scorer_id)) / 2**64
