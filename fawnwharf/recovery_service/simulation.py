"""All clients at once at front ends that have just returned, in virtual time: with loaders, wardens and
doors, and with the module alone. `python -m fawnwharf.recovery_service.simulation [pairs]` prints means and
differences.

Real are the module, `Giving`, `Door` and `Holds`; small are scorers, the store and words (1 to 5 ms). Left
out: the gate, zones, stages (the last before renewal holds all the time), that a crowded store slows down,
and scorers' queues beyond their lanes.
"""

import heapq
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field

from fawnwharf import interface as io
from fawnwharf.net.requests import Call, Failed, Outcome, Rejected, Succeeded
from fawnwharf.net.scorer_streams import Answer, LoadOrder
from fawnwharf.net.timer_wheel import TimerWheel
from fawnwharf.policy import Router
from fawnwharf.recovery_core.budget import fleet_limits
from fawnwharf.recovery_core.phases import RecoveryPhase, allowed_in_phase
from fawnwharf.recovery_core.uncoordinated_fleet import FUNCTION_KINDS, PRIORITY_WEIGHTS
from fawnwharf.recovery_service.actions import Action, SendPermitMessage
from fawnwharf.recovery_service.actions import LoadOrder as Ordered
from fawnwharf.recovery_service.load_order_gate import LoadOrderGate
from fawnwharf.recovery_service.permit_issuing import TICK_MS, PermitIssuer
from fawnwharf.recovery_service.recovery_admission import RecoveryAdmission
from fawnwharf.replication.placement import rendezvous_weight

FRONTS, SCORERS, FUNCTIONS, LANES, LOADS_MOST = 6, 6, 60, 8, 4
PLACES, FETCH_PART = 4, 0.6  # fetches at a time that the store serves; their part of a load
SCORER_PS, CALM_PS = 12.0, 60.0
BEGIN_MS, BURST_MS, CALLS, TRIES, END_MS = 10_000.0, 13_000.0, 240, 3, 33_000.0
DOWN_MS = 3_000.0  # of a scorer that fell

T95 = {2: 12.71, 5: 2.78, 10: 2.26, 20: 2.09}  # Student's, by pairs

Answered = Callable[[io.AttemptResult, int], None]


def site() -> io.Settings:
    classes = {
        n: io.ClassSpec(n, k[1], k[2], io.Effect.IDEMPOTENT, priority_weight=k[3])
        for n, k in FUNCTION_KINDS.items()
    }
    return io.Settings(
        classes=classes,
        quotas_rps={"t": CALM_PS},
        fleet_size=FRONTS,
        max_attempts=2,
        max_retry_after_ms=4_000.0,
    )


@dataclass(slots=True)
class Scorer:
    id: int
    up_ms: float
    life: int = 0
    lanes: dict[str, list[float]] = field(default_factory=dict)  # when each is free, by function
    loading: dict[str, list[Answered]] = field(default_factory=dict)
    fetching: int = 0
    sent: list[float] = field(default_factory=list)


class Front:
    """One front end: a table of its own below the real door, before the real module."""

    def __init__(self, world: "World", name: str, life: int) -> None:
        self.world, self.name = world, name
        self.router = Router(site(), life)
        self.timers = TimerWheel(lambda: world.now)
        self.open: dict[str, Call] = {}
        self.inbox: list[io.Event] = []
        self.numbers = 0
        self.carry_hold: Callable[[io.OrderCopies], None] = self.order
        self.take: Callable[[Call], str | None] = self.taken
        self.giving: PermitIssuer | None = None
        if world.planned:
            self.giving = PermitIssuer(name, life, world.limits, world.order)
            self.holds = LoadOrderGate(self.order, self.ask, self.tell, {}, lambda: world.now)
            self.door = RecoveryAdmission(self, self, site().classes, world.limits, clock=lambda: world.now)
            self.carry_hold, self.door.below = self.holds.carry, _Below(self)
            self.take = self.door.take

    def tell(self, event: io.Event) -> None:
        if not self.inbox:
            self.world.at(0.5, self.decide)
        self.inbox.append(event)

    def decide(self) -> None:
        events, self.inbox = self.inbox, []
        if self.giving is not None:
            self.world.carry(self, self.holds.events(self.world.now, events))
        for action in self.router.handle(self.world.now, events):
            if isinstance(action, io.Send):
                self.send(action)
            elif isinstance(action, io.OrderCopies):
                self.carry_hold(action)
            elif isinstance(action, io.SetTimer):
                self.world.at(action.delay_ms, lambda t=action.token: self.tell(io.TimerDue(t)))
            elif isinstance(action, io.Reject | io.Fail) and (call := self.open.pop(action.request, None)):
                call.reply(Rejected(action.hold_off_ms) if isinstance(action, io.Reject) else Failed())

    def taken(self, call: Call) -> str:
        self.numbers += 1
        key = f"r{self.numbers}"
        self.open[key] = call
        call.context = 0  # attempts
        arrived = io.RequestArrived(key, call.function, call.class_name, "t", call.budget_ms, LANES)
        self.tell(arrived)
        return key

    def send(self, action: io.Send) -> None:
        key, worker = action.request, action.scorer
        call = self.open.get(key)
        if call is None:
            self.tell(io.AttemptEnded(key, 0, worker, io.AttemptResult.NOT_SENT, 0.0, closed=True))
            return
        number, call.context, began = call.context, call.context + 1, self.world.now

        def ended(ending: io.AttemptResult, _: int) -> None:
            if ending is io.AttemptResult.GOOD and (call := self.open.pop(key, None)):
                call.reply(Succeeded(b""))
            took, closed = self.world.now - began, key not in self.open
            self.tell(io.AttemptEnded(key, number, worker, ending, took, closed))

        self.world.run_at(worker, call.function, ended)

    def order(self, action: io.OrderCopies) -> None:
        began = self.world.now

        def ended(ending: io.AttemptResult, copies: int) -> None:
            took = self.world.now - began
            self.tell(io.LoadOrderAnswered(action.scorer, action.function, ending, copies, took))

        self.world.hold_at(action.scorer, action.function, action.copies, ended)

    def ask(self, order: LoadOrder) -> None:
        def ended(ending: io.AttemptResult, copies: int) -> None:
            order.ended(order, None, Answer(ending, b"", io.Warmth.UNTOLD, 0, copies))

        self.world.hold_at(order.scorer, order.function, 0, ended)


@dataclass(slots=True)
class _Below:
    """The table as the door sees it."""

    front: Front

    def take(self, call: Call) -> str | None:
        return self.front.taken(call)

    def withdraw(self, key: str) -> None:
        self.front.open.pop(key, None)


class World:
    """One run; `seconds`: fetches asked of the store, by second."""

    def __init__(self, seed: int, planned: bool) -> None:
        self.planned, self.now, self.heap, self.count = planned, BEGIN_MS, [], 0
        chance = self.chance = random.Random(f"given {seed}")
        self.limits = fleet_limits(site(), round(PLACES / FETCH_PART), SCORER_PS)
        self.scorers = [Scorer(n, BEGIN_MS + chance.uniform(0.0, 3_000.0)) for n in range(SCORERS)]
        self.facts = {}
        for n in range(FUNCTIONS):
            kind = chance.choices(list(FUNCTION_KINDS), [k[0] for k in FUNCTION_KINDS.values()])[0]
            self.facts[f"f{n}"] = (
                kind,
                chance.uniform(*FUNCTION_KINDS[kind][5]),
                chance.uniform(*FUNCTION_KINDS[kind][6]),
            )
        self.rates = [(rank + 1) ** -0.6 for rank in range(FUNCTIONS)]
        self.store = [0.0] * PLACES
        self.seconds: dict[int, int] = {}
        self.under_way = self.waiting = self.fell = self.refused = self.failed = 0
        self.came = self.in_time = self.worth = self.worth_in_time = 0.0
        self.fronts = [Front(self, f"n{n}", n + 1) for n in range(FRONTS)]
        self.roster()
        if planned:
            self.turns()
            for n in range(FRONTS):
                self.at(
                    0.0 if not n else 50.0 * n, lambda n=n: self.see(self.fronts[n], RecoveryPhase.RETRIES)
                )
                self.at(BURST_MS - BEGIN_MS, lambda n=n: self.see(self.fronts[n], RecoveryPhase.ALL_CALLS))
        self.at(4.0, self.wheels)
        functions, late = list(self.facts), chance.uniform
        times = [BURST_MS + late(0.0, 1_000.0) for _ in range(CALLS)]
        times += [BURST_MS + late(0.0, END_MS - BURST_MS) for _ in range(int(CALM_PS * 20))]
        rows = chance.choices(functions, self.rates, k=len(times))
        for n, (at, row) in enumerate(zip(times, rows, strict=True)):
            self.at(at - BEGIN_MS, lambda n=n, row=row: self.call(f"c{n}", row, TRIES))

    def at(self, delay_ms: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (self.now + delay_ms, self.count, call))

    def run(self) -> "World":
        while self.heap and self.heap[0][0] < END_MS:
            self.now, _, call = heapq.heappop(self.heap)
            call()
        return self

    # --- front ends ---------------------------------------------------------------------------

    def order(self, row: str) -> list[int]:
        up = [s.id for s in self.scorers if s.up_ms <= self.now]
        return sorted(up, key=lambda id: rendezvous_weight(str(id), row))

    def roster(self) -> None:
        for scorer in self.scorers:
            self.at(max(0.0, scorer.up_ms - self.now), lambda scorer=scorer: self.came_up(scorer))

    def came_up(self, scorer: Scorer) -> None:
        for front in self.fronts:
            entry = io.ScorerEntry(scorer.id, up_since_ms=scorer.up_ms)
            front.tell(io.RosterChanged([entry], False))
            if front.giving is not None:
                front.giving.scorer(self.now, scorer.id, self.now - scorer.up_ms)

    def see(self, front: Front, stage: RecoveryPhase) -> None:
        names, may = [f.name for f in self.fronts], allowed_in_phase(stage, PRIORITY_WEIGHTS)
        front.giving.set(self.now, names, names, may, 1)
        front.holds.go_by(may, front.giving)
        self.pace(front)

    def pace(self, front: Front) -> None:
        ages = [self.now - s.up_ms for s in self.scorers if s.up_ms <= self.now]
        rate = self.limits.fall_multiple * self.limits.calls_rps(ages) / FRONTS
        stage = RecoveryPhase.ALL_CALLS if self.now >= BURST_MS else RecoveryPhase.RETRIES
        front.door.go_by(allowed_in_phase(stage, PRIORITY_WEIGHTS), rate, front.giving)

    def turns(self) -> None:
        self.at(TICK_MS, self.turns)
        for front in self.fronts:
            self.carry(front, front.giving.tick(self.now))
            if int(self.now / TICK_MS) % 10 == 0:
                self.pace(front)

    def wheels(self) -> None:
        self.at(4.0, self.wheels)
        for front in self.fronts if self.planned else ():
            front.timers.advance(self.now)

    def carry(self, front: Front, outs: list[Action]) -> None:
        for out in outs:
            if isinstance(out, SendPermitMessage):
                for other in self.fronts:
                    if other is not front and (not out.to or other.name in out.to):
                        self.at(self.chance.uniform(1.0, 5.0), self.heard(other, front.name, out))
            elif isinstance(out, Ordered):
                front.order(out.what) if isinstance(out.what, io.OrderCopies) else front.tell(out.what)
            else:
                front.door.told(out)

    def heard(self, to: Front, sender: str, out: SendPermitMessage) -> Callable[[], None]:
        return lambda: self.carry(to, to.giving.hear(self.now, sender, out.word))

    # --- clients ------------------------------------------------------------------------------

    def call(self, client: str, row: str, left: int) -> None:
        kind, _, _ = self.facts[row]
        _, promise, give_up, worth, *_ = FUNCTION_KINDS[kind]
        front, came = self.fronts[rendezvous_weight("at", client, str(left)) % FRONTS], self.now
        if left == TRIES:
            self.came, self.worth = self.came + 1, self.worth + worth
        over = False

        def reply(outcome: Outcome) -> None:
            nonlocal over
            if over:
                return
            over = True
            if isinstance(outcome, Succeeded) and self.now - came <= promise:
                self.in_time, self.worth_in_time = self.in_time + 1, self.worth_in_time + worth
            elif not isinstance(outcome, Succeeded):
                self.refused += isinstance(outcome, Rejected)
                self.failed += isinstance(outcome, Failed)
                wait = outcome.hold_off_ms if isinstance(outcome, Rejected) else 0.0
                if left > 1:
                    self.at(wait, lambda: self.call(client, row, left - 1))

        id = rendezvous_weight(client, str(left)).to_bytes(8, "big")
        call = Call(id, kind, "t", row, give_up, b"", "", LANES, None, self.facts[row][1], reply)
        self.at(give_up, lambda: reply(Failed()))
        front.take(call)

    # --- scorers ------------------------------------------------------------------------------

    def run_at(self, worker: int, row: str, ended: Answered) -> None:
        scorer, now = self.scorers[worker], self.now
        age = now - scorer.up_ms
        if age < 0:
            return self.at(1.0, lambda: ended(io.AttemptResult.CONNECT_FAILED, 0))
        if age < self.limits.cold_ms:
            scorer.sent = [at for at in scorer.sent if at > now - self.limits.fall_ms] + [now]
            room = self.limits.fall_multiple * self.limits.warmth(age) * SCORER_PS
            if len(scorer.sent) > max(1.0, room * self.limits.fall_ms / 1_000.0):
                return self.falls(scorer, ended)
        if row not in scorer.lanes:
            return self.at(1.0, lambda: ended(io.AttemptResult.MISS, 0))
        begins = max(now, heapq.heappop(scorer.lanes[row]))
        heapq.heappush(scorer.lanes[row], begins + self.facts[row][2])
        life = scorer.life

        def done() -> None:
            ended(io.AttemptResult.GOOD if scorer.life == life else io.AttemptResult.RESET, 0)

        self.at(begins + self.facts[row][2] - now + 1.0, done)

    def falls(self, scorer: Scorer, ended: Answered) -> None:
        self.fell += 1
        scorer.up_ms, scorer.life = self.now + DOWN_MS, scorer.life + 1
        waiting = [answer for answers in scorer.loading.values() for answer in answers]
        scorer.lanes, scorer.loading, scorer.fetching, scorer.sent = {}, {}, 0, []
        for answer in [ended, *waiting]:
            self.at(1.0, lambda answer=answer: answer(io.AttemptResult.RESET, 0))
        self.at(DOWN_MS, lambda: self.came_up(scorer))

    def hold_at(self, worker: int, row: str, copies: int, ended: Answered) -> None:
        scorer = self.scorers[worker]
        if scorer.up_ms > self.now:
            return self.at(1.0, lambda: ended(io.AttemptResult.CONNECT_FAILED, 0))
        stand = len(scorer.lanes.get(row, ())) // LANES
        if stand >= copies:
            return self.at(1.0, lambda: ended(io.AttemptResult.GOOD, stand))
        if row in scorer.loading:
            return scorer.loading[row].append(ended)
        scorer.loading[row] = [ended]
        self.load(scorer, row)

    def load(self, scorer: Scorer, row: str) -> None:
        """At once, if the scorer has room for one more; the store serves some at a time."""
        if scorer.fetching >= LOADS_MOST:
            return self.at(20.0, lambda life=scorer.life: scorer.life == life and self.load(scorer, row))
        scorer.fetching += 1
        now, load, life = self.now, self.facts[row][1], scorer.life
        second = int(now / 1_000)
        self.seconds[second] = self.seconds.get(second, 0) + 1
        self.under_way += 1
        self.waiting = max(self.waiting, self.under_way)
        begins = max(now, self.store[0])
        heapq.heapreplace(self.store, begins + FETCH_PART * load)
        self.at(begins + FETCH_PART * load - now, self.fetched)

        def loaded() -> None:
            if scorer.life != life:
                return
            scorer.fetching -= 1
            scorer.lanes.setdefault(row, []).extend([self.now] * LANES)
            heapq.heapify(scorer.lanes[row])
            for answer in scorer.loading.pop(row):
                answer(io.AttemptResult.GOOD, len(scorer.lanes[row]) // LANES)

        self.at(begins + load - now, loaded)

    def fetched(self) -> None:
        self.under_way -= 1


def figures(run: World) -> dict[str, float]:
    return {
        "asked, worst second": max(run.seconds.values(), default=0),
        "at the store, at most": run.waiting,
        "fetches": sum(run.seconds.values()),
        "scorers fell": run.fell,
        "in time": round(run.in_time / run.came, 3),
        "worth in time": round(run.worth_in_time / run.worth, 3),
        "refused": run.refused,
        "failed": run.failed,
    }


def main(pairs: int) -> None:
    seeds = range(1, pairs + 1)
    rows = [[figures(World(seed, planned).run()) for planned in (False, True)] for seed in seeds]
    for name in rows[0][0]:
        alone, given = ([row[i][name] for row in rows] for i in (0, 1))
        diffs = [b - a for a, b in zip(alone, given, strict=True)]
        mean = sum(diffs) / pairs
        half = T95[pairs] * (sum((d - mean) ** 2 for d in diffs) / (pairs - 1) / pairs) ** 0.5
        told = f"{sum(alone) / pairs:9.2f} {sum(given) / pairs:9.2f}  {mean:+9.3f} +- {half:.3f}"
        print(f"{name:24}{told}   worst {max(alone)} {max(given)}")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
