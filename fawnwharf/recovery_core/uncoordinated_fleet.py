"""A small model in virtual time: a fleet that returns from a power loss, without coordination.

It leaves out what the question does not depend on: zones of scorers, cores and queues of scorers beyond the
lanes of a copy, lost messages, their delay (1 to 5 ms), copies that expire. It keeps the order in which
machines come back, the roster that comes last, the store with its limit of concurrent fetches, concurrent
loads of a scorer, cold scorers that fall when too many calls arrive within the slow start window, and clients
that retry.

Front ends here share nothing and do as the decision module does: the first copy where the hash order has it,
further copies for calls that are held, at most 8 concurrent loads of their own, a slow start limit of their
own. `coordinated_fleet.py` has those that return by the phases. The same seed gives the same machines and
first attempts for both.
"""

import heapq
import random
from collections.abc import Callable
from functools import partial
from typing import Self

from fawnwharf.recovery_core.budget import fleet_limits
from fawnwharf.recovery_core.simulated_site import (
    CALLS_PS,
    COLD_SAFETY,
    FETCH_SHARE,
    FUNCTION_KINDS,
    LANES,
    MAX_HOLD_SHARE,
    MAX_OWN_LOADS,
    MAX_SCORER_LOADS,
    PRIORITY_WEIGHTS,
    RETRIES,
    SCORER_PS,
    SITE,
    CallAttempt,
    FrontEnd,
    Scenario,
    Scorer,
    SecondStats,
    SimulatedFunction,
)
from fawnwharf.replication.placement import rendezvous_weight

NO_FRONT_END_RETRY_MS = 1_000.0
FALLEN_RETRY_MS = 500.0
SCORER_RESTART_MS = 3_000.0
HELD_CHECK_MS = 100.0
ARRIVALS_SPAN_MS = 10_000.0  # over which a front end measures its own calls

Handler = Callable[[float], None]  # is called with the time


class UncoordinatedFleet:
    """One return.

    `seconds` are the statistics by second of an attempt.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        count = scenario.fronts
        chance = random.Random(f"return {seed} {count}")
        self.store_places = 4 + count // 10  # concurrent fetches; others wait
        self.limits = fleet_limits(SITE, round(self.store_places / FETCH_SHARE), SCORER_PS)
        voters = 7 if count >= 1000 else 5 if count >= 200 else 3
        ups = self._draw_up_times(chance, voters)
        self.fronts = [FrontEnd(f"n{place}", ups[place]) for place in range(count)]
        self.voters = tuple(f"n{place}" for place in range(voters))
        scorers = max(3, round(count * CALLS_PS / SCORER_PS))
        self.scorers = [Scorer(chance.uniform(0.0, scenario.scorers_ms)) for _ in range(scorers)]
        self.functions = [self._draw_function(chance) for _ in range(40 + 4 * count)]
        rates = [(rank + 1) ** -0.6 for rank in range(len(self.functions))]
        self.rates = [count * CALLS_PS * rate / sum(rates) for rate in rates]
        self.hash_order = [self._order_scorers(function) for function in range(len(self.functions))]
        self.seconds = [SecondStats() for _ in range(int(scenario.end_ms / 1000) + 60)]
        self.fetches: dict[int, int] = {}  # requested of the store, by second
        self.max_waiting = 0  # fetches in progress or queued at the store, the most at a time
        self.fallen = 0  # cold scorers
        self.up: list[FrontEnd] = []
        self.slowdowns = [1.0]  # durations of loads, as multiples of the usual one
        self._store_free_ms = [0.0] * self.store_places
        self._fetches_until_ms: list[float] = []  # of those in progress or queued
        self._events: list[tuple[float, int, Handler]] = []
        self._event_count = 0
        self._draw_arrivals(chance)

    def _draw_up_times(self, chance: random.Random, voters: int) -> list[float]:
        """When each front end comes back; infinity for those that don't."""
        scenario = self.scenario
        count = scenario.fronts
        while True:
            gone = set(chance.sample(range(count), round(count * scenario.gone)))
            if (2 * sum(voter not in gone for voter in range(voters)) > voters) == scenario.quorum:
                break
        late = [scenario.zone_late_ms * (place % 3 == 2) for place in range(count)]
        drawn = [chance.uniform(0.0, scenario.back_ms) for _ in range(count)]
        return [float("inf") if place in gone else late[place] + drawn[place] for place in range(count)]

    def _draw_function(self, chance: random.Random) -> SimulatedFunction:
        shares = [kind.share for kind in FUNCTION_KINDS.values()]
        name = chance.choices(list(FUNCTION_KINDS), shares)[0]
        kind = FUNCTION_KINDS[name]
        return SimulatedFunction(name, chance.uniform(*kind.load_ms), chance.uniform(*kind.run_ms))

    def _order_scorers(self, function: int) -> list[int]:
        def weight(scorer: int) -> int:
            return rendezvous_weight(str(scorer), str(function))

        return sorted(range(len(self.scorers)), key=weight)[:8]

    def _draw_arrivals(self, chance: random.Random) -> None:
        scenario = self.scenario
        total_ps = scenario.fronts * CALLS_PS
        times = []
        at_ms = 0.0
        while (at_ms := at_ms + chance.expovariate(total_ps) * 1000.0) < scenario.end_ms:
            times.append(at_ms)
        times += [scenario.burst_ms + chance.uniform(0, 1000.0) for _ in range(int(4 * total_ps))]
        functions = chance.choices(range(len(self.functions)), self.rates, k=len(times))
        for number, (at_ms, function) in enumerate(zip(times, functions, strict=True)):
            self._schedule(at_ms, partial(self._attempt, f"c{number}", function, at_ms, RETRIES))
        for front in self.fronts:
            if front.up_ms < scenario.end_ms:
                self._schedule(front.up_ms, partial(self._come_up, front))

    def _schedule(self, at_ms: float, handler: Handler) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at_ms, self._event_count, handler))

    def run(self) -> Self:
        """Run up to the scenario's end."""
        while self._events:
            now, _, handler = heapq.heappop(self._events)
            if now < self.scenario.end_ms:
                handler(now)
        return self

    # --- front ends ---------------------------------------------------------------------------

    def _come_up(self, front: FrontEnd, _now: float) -> None:
        self.up.append(front)

    def _attempt(self, client: str, function: int, at_ms: float, retries_left: int, now: float) -> None:
        weight = PRIORITY_WEIGHTS[self.functions[function].kind_name]
        second = self.seconds[int(at_ms / 1000)]
        second.offered += weight
        second.priority_offered += weight * (weight > 1.0)
        if not self.up:
            self._schedule_retry(client, function, retries_left, now + NO_FRONT_END_RETRY_MS)
            return
        front = self.up[rendezvous_weight("at", client, str(retries_left)) % len(self.up)]
        front.arrivals.append(now)
        self._begin(now, CallAttempt(client, front, function, at_ms, retries_left))

    def _begin(self, now: float, call: CallAttempt) -> None:
        self._serve(call, now)

    def _retry(self, now: float, call: CallAttempt, after_ms: float) -> None:
        """The attempt was not served; its client comes again, a few times."""
        self._schedule_retry(call.client, call.function, call.retries_left, now + after_ms)

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

    def _age_ms(self, now: float, scorer: int) -> float:
        return now - self.scorers[scorer].up_ms

    def _send(self, now: float, call: CallAttempt, place: int) -> None:
        """The call is at the scorer; too many on a cold one, and it falls."""
        scorer = self.scorers[place]
        if self._falls(now, place):
            self._fall(place)
            scorer.restart(now + SCORER_RESTART_MS)
            self._retry(now, call, FALLEN_RETRY_MS)
            return
        lanes = scorer.copies[call.function]
        run_ms = self.functions[call.function].run_ms
        begins_ms = max(now, heapq.heappop(lanes))
        heapq.heappush(lanes, begins_ms + run_ms)
        self._finish(call, begins_ms + run_ms)

    def _falls(self, now: float, place: int) -> bool:
        """Whether one more call is too many for a cold scorer."""
        scorer = self.scorers[place]
        age_ms = self._age_ms(now, place)
        if age_ms >= SITE.slow_start_ms:
            return False
        window_ms = SITE.slow_start_window_ms
        scorer.sent_ms = [at for at in scorer.sent_ms if at > now - window_ms] + [now]
        usual = SITE.slow_start_multiple * self.limits.warmth(age_ms) * SCORER_PS * window_ms / 1000.0
        return len(scorer.sent_ms) > max(1.0, usual)

    def _fall(self, _place: int) -> None:
        self.fallen += 1

    def _load(self, now: float, function: int, place: int) -> float:
        """Order a copy; when it is loaded.

        An order of a copy that is loaded, or being loaded, is answered by that one.
        """
        scorer = self.scorers[place]
        if function in scorer.ready_ms:
            return max(now, scorer.ready_ms[function])
        load_ms = self.functions[function].load_ms
        loading = sorted(at for at in scorer.ready_ms.values() if at > now)
        begins_ms = loading[-MAX_SCORER_LOADS] if len(loading) >= MAX_SCORER_LOADS else now
        begins_ms = self._fetch(now, begins_ms, FETCH_SHARE * load_ms)
        ready_ms = begins_ms + load_ms
        self.slowdowns.append((ready_ms - now) / load_ms)
        scorer.ready_ms[function] = ready_ms
        scorer.copies[function] = [ready_ms] * LANES
        return ready_ms

    def _fetch(self, now: float, begins_ms: float, fetch_ms: float) -> float:
        """Request a fetch of the store; when it begins."""
        second = int(now / 1000)
        self.fetches[second] = self.fetches.get(second, 0) + 1
        begins_ms = max(begins_ms, self._store_free_ms[0])
        heapq.heapreplace(self._store_free_ms, begins_ms + fetch_ms)
        self._fetches_until_ms = [at for at in self._fetches_until_ms if at > now] + [begins_ms + fetch_ms]
        self.max_waiting = max(self.max_waiting, len(self._fetches_until_ms))
        return begins_ms

    # --- without coordination -----------------------------------------------------------------

    def _serve(self, call: CallAttempt, now: float) -> None:
        function = call.function
        half_ms = call.at_ms + MAX_HOLD_SHARE * self.functions[function].kind.deadline_ms
        if now >= half_ms - 1e-3:
            self._retry(now, call, SITE.max_retry_after_ms)
            return
        if now < self.scenario.roster_ms:
            if half_ms < self.scenario.roster_ms:
                self._retry(half_ms, call, SITE.max_retry_after_ms)
            else:
                self._schedule(self.scenario.roster_ms, partial(self._serve, call))
            return
        known = call.front.known.setdefault(function, [])
        able = [
            place
            for place in known
            if function in self.scorers[place].copies and self._is_within_limit(now, call.front, place)
        ]
        ready = [place for place in able if self.scorers[place].ready_ms[function] <= now]
        if ready:
            place = min(ready, key=lambda place: self.scorers[place].copies[function][0])
            call.front.sent.setdefault(place, []).append(now)
            self._send(now, call, place)
            return
        self._hold(now, call, able, half_ms)

    def _hold(self, now: float, call: CallAttempt, able: list[int], until_ms: float) -> None:
        """Hold a call for a copy; order a further one if too few are being loaded."""
        front = call.front
        function = call.function
        front.loads = [at for at in front.loads if at > now]
        front.held[function] = front.held.get(function, 0) + 1
        known = front.known[function]
        loading = sum(self.scorers[place].ready_ms.get(function, 0.0) > now for place in known)
        places = self._places_for_copy(now, function, known)
        too_few = front.held[function] / LANES > loading
        if too_few and places and len(front.loads) < MAX_OWN_LOADS:
            known.append(places[0])
            front.loads.append(self._load(now, function, places[0]))
        due_ms = min((self.scorers[place].ready_ms.get(function, 0.0) for place in able), default=0.0)
        self._schedule(max(now + HELD_CHECK_MS, min(due_ms, until_ms)), partial(self._check_held, call))

    def _places_for_copy(self, now: float, function: int, known: list[int]) -> list[int]:
        """Scorers for a further copy in hash order; for a first one the first scorer that is up."""
        up = [place for place in self.hash_order[function] if self._age_ms(now, place) >= 0]
        if not known:
            return up[:1]
        return [place for place in up if function not in self.scorers[place].ready_ms]

    def _check_held(self, call: CallAttempt, now: float) -> None:
        call.front.held[call.function] -= 1
        self._serve(call, now)

    def _is_within_limit(self, now: float, front: FrontEnd, place: int) -> bool:
        """The decision module's slow start limit, by the front end's own sends, arrivals and hash."""
        warmth = self.limits.warmth(self._age_ms(now, place))
        if warmth >= 1.0:
            return True
        window_ms = SITE.slow_start_window_ms
        front.arrivals = [at for at in front.arrivals if at > now - ARRIVALS_SPAN_MS]
        sent = [at for at in front.sent.get(place, []) if at > now - window_ms]
        front.sent[place] = sent
        rate = COLD_SAFETY * len(front.arrivals) / ARRIVALS_SPAN_MS / len(self.scorers)
        budget = SITE.slow_start_multiple * warmth * window_ms * rate
        return len(sent) + 1 <= budget + rendezvous_weight(front.name, str(place)) / 2**64
