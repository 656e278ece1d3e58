"""A small model in virtual time: a fleet that returns from a power loss, by the plan or from nothing.

It leaves out what the question does not depend on: zones of scorers, cores and queues of scorers beyond the
lanes of a copy, lost messages, their delay (1 to 5 ms), copies that expire. It keeps the order in which
machines come back, the roster that comes last, the store with its limit of concurrent fetches, concurrent
loads of a scorer, cold scorers that fall when too many calls come to them within `fall_ms`, and clients that
come again.

Front ends here share nothing and do as the decision module does: the first copy where the hash order has it,
further copies for calls that are held, at most 8 concurrent loads of their own, a slow start limit of their
own. `planned.py` has those that return by the plan. The same seed gives the same machines and first tries for
both.
"""

import heapq
import random
from dataclasses import dataclass, field

from fawnwharf.interface import Settings
from fawnwharf.recovery_core.budget import fleet_limits
from fawnwharf.replication.placement import rendezvous_weight

FUNCTION_KINDS = {  # part of the functions, promise, give-up, worth, late share, loads, runs; ms
    "points-view": (0.58, 800.0, 3000.0, 1.0, 0.2, (420.0, 1100.0), (85.0, 150.0)),
    "lineup-save": (0.23, 600.0, 2500.0, 5.0, 0.2, (380.0, 900.0), (85.0, 150.0)),
    "transfer-settle": (0.19, 800.0, 2000.0, 5.0, 0.1, (410.0, 860.0), (130.0, 230.0)),
}
PRIORITY_WEIGHTS = {name: kind[3] for name, kind in FUNCTION_KINDS.items()}
CALLS_PS, SCORER_PS = 2.0, 12.0  # of a front end, of a scorer, in calm
LANES, LOADS_MOST, OWN_LOADS = 8, 4, 8  # of a copy; at a time of a scorer; of a front end that shares nothing
FETCH_PART, COLD_SAFETY, HELD_PART = 0.6, 0.6, 0.5  # the module's, but for the first
TRIES = 3  # of a client, for one call
SITE = Settings(slow_start_ms=10_000.0, slow_start_initial_share=0.2, max_retry_after_ms=4_000.0)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario; milliseconds from the power loss.

    A third of the front ends never comes back, a zone comes later.
    """

    fronts: int
    back_ms: float = 60_000.0
    zone_late_ms: float = 15_000.0
    gone: float = 1 / 3
    roster_ms: float = 62_000.0
    scorers_ms: float = 60_000.0
    burst_ms: float = 63_000.0  # all clients within a second from then on, at four times the rate
    end_ms: float = 100_000.0
    quorum: bool = True  # a majority of the voters comes back


@dataclass(slots=True)
class Scorer:
    """A scorer with its copies."""

    up_ms: float
    copies: dict[int, list[float]] = field(default_factory=dict)  # by function: when each lane is free
    ready: dict[int, float] = field(default_factory=dict)
    sent: list[float] = field(default_factory=list)


@dataclass(slots=True)
class FrontEnd:
    """A front end, with what it believes."""

    name: str
    up_ms: float
    known: dict[int, list[int]] = field(default_factory=dict)  # believed copies, by function
    held: dict[int, float] = field(default_factory=dict)  # calls that wait for a load, by function
    loads: list[float] = field(default_factory=list)  # own ones under way, until when
    taken: list[float] = field(default_factory=list)
    sent: dict[int, list[float]] = field(default_factory=dict)


@dataclass(slots=True)
class CallAttempt:
    """One try of a call."""

    client: str
    front: FrontEnd | None
    function: int
    at_ms: float
    left: int


class UncoordinatedFleet:
    """One return.

    `seconds`: by second of a try, the worth that came and that was served in time; the same of the classes
    worth most.
    """

    def __init__(self, scene: Scenario, seed: int) -> None:
        self.scene = scene
        n, chance = scene.fronts, random.Random(f"return {seed} {scene.fronts}")
        self.places = 4 + n // 10  # of the store: fetches at a time, others wait
        self.limits = fleet_limits(SITE, round(self.places / FETCH_PART), SCORER_PS)
        voters = 7 if n >= 1000 else 5 if n >= 200 else 3
        ups = self._ups(chance, voters)
        self.fronts = [FrontEnd(f"n{i}", ups[i]) for i in range(n)]
        self.voters = tuple(f"n{i}" for i in range(voters))
        self.scorers = [
            Scorer(chance.uniform(0.0, scene.scorers_ms))
            for _ in range(max(3, round(n * CALLS_PS / SCORER_PS)))
        ]
        self.facts: list[tuple[str, float, float]] = []
        for _ in range(40 + 4 * n):
            kind = chance.choices(list(FUNCTION_KINDS), [k[0] for k in FUNCTION_KINDS.values()])[0]
            self.facts.append(
                (kind, chance.uniform(*FUNCTION_KINDS[kind][5]), chance.uniform(*FUNCTION_KINDS[kind][6]))
            )
        rates = [(rank + 1) ** -0.6 for rank in range(len(self.facts))]
        self.rates = [n * CALLS_PS * rate / sum(rates) for rate in rates]
        self.order = [
            sorted(range(len(self.scorers)), key=lambda s, f=f: rendezvous_weight(str(s), str(f)))[:8]
            for f in range(len(self.facts))
        ]
        self.heap: list[tuple[float, int, str, object]] = []
        self.count = 0
        self.seconds = [[0.0, 0.0, 0.0, 0.0] for _ in range(int(scene.end_ms / 1000) + 60)]
        self.fetches: dict[int, int] = {}  # asked of the store, by second
        self.waiting = 0  # at the store, the most at a time
        self.store = [0.0] * self.places
        self.fell = 0  # cold scorers
        self.up: list[FrontEnd] = []
        self.begun: list[float] = []  # fetches under way or waiting, until when
        self.slow = [1.0]  # loads, as multiples of what they take in calm
        self._arrivals(chance)

    def _ups(self, chance: random.Random, voters: int) -> list[float]:
        scene, n = self.scene, self.scene.fronts
        while True:
            gone = set(chance.sample(range(n), round(n * scene.gone)))
            if (2 * sum(v not in gone for v in range(voters)) > voters) == scene.quorum:
                late = [scene.zone_late_ms * (i % 3 == 2) for i in range(n)]
                drawn = [chance.uniform(0.0, scene.back_ms) for _ in range(n)]
                return [float("inf") if i in gone else late[i] + drawn[i] for i in range(n)]

    def _arrivals(self, chance: random.Random) -> None:
        scene, total = self.scene, self.scene.fronts * CALLS_PS
        functions = range(len(self.facts))
        times, at = [], 0.0
        while (at := at + chance.expovariate(total) * 1000.0) < scene.end_ms:
            times.append(at)
        times += [scene.burst_ms + chance.uniform(0, 1000.0) for _ in range(int(4 * total))]
        for i, (at, f) in enumerate(
            zip(times, chance.choices(functions, self.rates, k=len(times)), strict=True)
        ):
            self._push(at, "try", CallAttempt(f"c{i}", None, f, at, TRIES - 1))
        for front in self.fronts:
            if front.up_ms < scene.end_ms:
                self._push(front.up_ms, "up", front)

    def _push(self, at_ms: float, what: str, value: object) -> None:
        self.count += 1
        heapq.heappush(self.heap, (at_ms, self.count, what, value))

    def run(self) -> "UncoordinatedFleet":
        """Run up to the scenario's end."""
        while self.heap:
            now, _, what, value = heapq.heappop(self.heap)
            if now < self.scene.end_ms:
                getattr(self, f"_{what}")(now, value)
        return self

    # --- front ends ---------------------------------------------------------------------------

    def _up(self, now: float, front: FrontEnd) -> None:
        self.up.append(front)

    def _try(self, now: float, one: CallAttempt) -> None:
        worth = PRIORITY_WEIGHTS[self.facts[one.function][0]]
        second = self.seconds[int(one.at_ms / 1000)]
        second[0] += worth
        second[2] += worth * (worth > 1.0)
        if not self.up:
            self._again(now, one, 1_000.0)
            return
        one.front = self.up[rendezvous_weight("at", one.client, str(one.left)) % len(self.up)]
        one.front.taken.append(now)
        self._begin(now, one)

    def _begin(self, now: float, one: CallAttempt) -> None:
        self._bare(now, one)

    def _again(self, now: float, one: CallAttempt, after_ms: float) -> None:
        """It was not served; its client comes again, a few times."""
        if one.left:
            at = now + after_ms
            self._push(at, "try", CallAttempt(one.client, None, one.function, at, one.left - 1))

    def _done(self, one: CallAttempt, end_ms: float) -> None:
        _, promise, give_up, worth, late, *_ = FUNCTION_KINDS[self.facts[one.function][0]]
        took = end_ms - one.at_ms
        second = self.seconds[int(one.at_ms / 1000)]
        part = worth * (1.0 if took <= promise else late if took <= give_up else 0.0)
        second[1] += part
        second[3] += part * (worth > 1.0)
        if took > give_up:
            self._again(one.at_ms + give_up, one, 0.0)

    def _age(self, now: float, s: int) -> float:
        return now - self.scorers[s].up_ms

    def _send(self, now: float, one: CallAttempt, s: int) -> None:
        """The call is at the scorer: too many on a cold one, and it falls."""
        scorer, (_, _, run) = self.scorers[s], self.facts[one.function]
        age = self._age(now, s)
        if age < SITE.slow_start_ms:
            scorer.sent = [at for at in scorer.sent if at > now - SITE.slow_start_window_ms] + [now]
            rate = (
                SITE.slow_start_multiple
                * self.limits.warmth(age)
                * SCORER_PS
                * SITE.slow_start_window_ms
                / 1000.0
            )
            if len(scorer.sent) > max(1.0, rate):
                self._falls(s)
                scorer.up_ms, scorer.copies, scorer.ready, scorer.sent = now + 3_000.0, {}, {}, []
                self._again(now, one, 500.0)
                return
        lanes = scorer.copies[one.function]
        begins = max(now, heapq.heappop(lanes))
        heapq.heappush(lanes, begins + run)
        self._done(one, begins + run)

    def _falls(self, s: int) -> None:
        self.fell += 1

    def _load(self, now: float, f: int, s: int) -> float:
        """Order a copy; when it stands. One that stands or comes is what the order is answered by."""
        scorer = self.scorers[s]
        if f in scorer.ready:
            return max(now, scorer.ready[f])
        load = self.facts[f][1]
        loading = sorted(at for at in scorer.ready.values() if at > now)
        begins = loading[-LOADS_MOST] if len(loading) >= LOADS_MOST else now
        self.fetches[int(now / 1000)] = self.fetches.get(int(now / 1000), 0) + 1
        begins = max(begins, self.store[0])
        heapq.heapreplace(self.store, begins + FETCH_PART * load)
        self.begun = [at for at in self.begun if at > now] + [begins + FETCH_PART * load]
        self.waiting = max(self.waiting, len(self.begun))
        ready = begins + load
        self.slow.append((ready - now) / load)
        scorer.ready[f], scorer.copies[f] = ready, [ready] * LANES
        return ready

    # --- from nothing -------------------------------------------------------------------------

    def _bare(self, now: float, one: CallAttempt) -> None:
        front, f = one.front, one.function
        give_up = FUNCTION_KINDS[self.facts[f][0]][2]
        if now - one.at_ms >= HELD_PART * give_up - 1e-3:
            self._again(now, one, SITE.max_retry_after_ms)
            return
        if now < self.scene.roster_ms:
            half = one.at_ms + HELD_PART * give_up
            if half < self.scene.roster_ms:
                self._again(half, one, SITE.max_retry_after_ms)
                return
            self._push(self.scene.roster_ms, "bare", one)
            return
        known = front.known.setdefault(f, [])
        able = [s for s in known if f in self.scorers[s].copies and self._within(now, front, s)]
        ready = [s for s in able if self.scorers[s].ready[f] <= now]
        if ready:
            s = min(ready, key=lambda s: self.scorers[s].copies[f][0])
            front.sent.setdefault(s, []).append(now)
            self._send(now, one, s)
            return
        front.loads = [at for at in front.loads if at > now]
        front.held[f] = front.held.get(f, 0) + 1
        pending = sum(self.scorers[s].ready.get(f, 0.0) > now for s in known)
        live = [s for s in self.order[f] if self._age(now, s) >= 0 and f not in self.scorers[s].ready]
        live = live if known else [s for s in self.order[f] if self._age(now, s) >= 0][:1]
        if front.held[f] / LANES > pending and live and len(front.loads) < OWN_LOADS:
            known.append(live[0])
            front.loads.append(self._load(now, f, live[0]))
        due = min((self.scorers[s].ready.get(f, 0.0) for s in able), default=0.0)
        self._push(max(now + 100.0, min(due, one.at_ms + HELD_PART * give_up)), "waits", one)

    def _waits(self, now: float, one: CallAttempt) -> None:
        one.front.held[one.function] -= 1
        self._bare(now, one)

    def _within(self, now: float, front: FrontEnd, s: int) -> bool:
        """The module's cold budget: of one's own sends, by one's own arrivals, and a chance of one's own."""
        warmth = self.limits.warmth(self._age(now, s))
        if warmth >= 1.0:
            return True
        front.taken = [at for at in front.taken if at > now - 10_000.0]
        sent = front.sent[s] = [at for at in front.sent.get(s, []) if at > now - SITE.slow_start_window_ms]
        rate = COLD_SAFETY * len(front.taken) / 10_000.0 / len(self.scorers)
        budget = SITE.slow_start_multiple * warmth * SITE.slow_start_window_ms * rate
        return len(sent) + 1 <= budget + rendezvous_weight(front.name, str(s)) / 2**64
