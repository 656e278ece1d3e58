"""Simulates a burst of calls from all clients to front ends that have just restarted, in virtual time.

`python -m fawnwharf.recovery_service.simulation [pairs]` runs pairs of simulations. One run of each pair uses
load coordinators, slow start coordinators and admission; the other uses only the decision module. It prints
means and differences.

The decision module, `PermitIssuer`, `RecoveryAdmission` and `LoadOrderGate` are the real ones. Scorers, the
model store and messages (1 to 5 ms) are simplified. Not simulated are the claim gate, zones, most phases
(`RETRIES` until the burst, then `ALL_CALLS`), the slowdown of a loaded store, and scorers' queues beyond
their lanes.
"""

import random
import sys
from collections.abc import Sequence
from functools import partial

from fawnwharf import interface as io
from fawnwharf.net.requests import Call, Failed, Outcome, Rejected, Succeeded
from fawnwharf.recovery_core.budget import fleet_limits
from fawnwharf.recovery_core.phases import allowed_in_phase
from fawnwharf.recovery_core.register import RecoveryPhase
from fawnwharf.recovery_core.simulated_site import FUNCTION_KINDS, PRIORITY_WEIGHTS
from fawnwharf.recovery_service.actions import Action, LoadOrder, SendPermitMessage
from fawnwharf.recovery_service.permit_issuing import TICK_MS
from fawnwharf.recovery_service.permit_messages import PermitMessage
from fawnwharf.recovery_service.simulated_front_end import CoordinatedFrontEnd, SimulatedFrontEnd
from fawnwharf.recovery_service.simulated_scorers import (
    FETCH_SHARE,
    LANES,
    SCORER_RPS,
    STORE_FETCHES,
    EventQueue,
    FunctionTimes,
    SimulatedScorer,
    SimulatedScorers,
)
from fawnwharf.replication.placement import rendezvous_weight

FRONT_ENDS = 6
SCORERS = 6
FUNCTIONS = 60
STEADY_RPS = 60.0
BEGIN_MS = 10_000.0
BURST_MS = 13_000.0
CALLS = 240  # in the burst
STEADY_SECONDS = 20
ATTEMPTS = 3  # most attempts of a client for one call
END_MS = 33_000.0
WHEEL_MS = 4.0

STUDENT_T95 = {2: 12.71, 5: 2.78, 10: 2.26, 20: 2.09}  # two-sided 95 % quantiles by number of pairs

Figures = dict[str, float]


def site_settings() -> io.Settings:
    """The settings of all front ends."""
    classes = {
        name: io.ClassSpec(name, kind[1], kind[2], io.Effect.IDEMPOTENT, priority_weight=kind[3])
        for name, kind in FUNCTION_KINDS.items()
    }
    return io.Settings(
        classes=classes,
        quotas_rps={"t": STEADY_RPS},
        fleet_size=FRONT_ENDS,
        max_attempts=2,
        max_retry_after_ms=4_000.0,
    )


class Simulation:
    """One simulation run."""

    def __init__(self, seed: int, *, coordinated: bool) -> None:
        self.queue = EventQueue(BEGIN_MS)
        self.random = random.Random(f"given {seed}")
        self.limits = fleet_limits(site_settings(), round(STORE_FETCHES / FETCH_SHARE), SCORER_RPS)
        scorers = [SimulatedScorer(n, BEGIN_MS + self.random.uniform(0.0, 3_000.0)) for n in range(SCORERS)]
        self.functions = self._functions()
        self.scorers = SimulatedScorers(self.queue, self.limits, scorers, self.functions, self._came_up)
        self.rejected = self.failed = 0
        self.calls = self.in_time = 0
        self.weight = self.weight_in_time = 0.0
        self.coordinated: list[CoordinatedFrontEnd] = []
        if coordinated:
            self.coordinated = [self._coordinated_front_end(n) for n in range(FRONT_ENDS)]
        self.front_ends: Sequence[SimulatedFrontEnd] = self.coordinated or [
            SimulatedFrontEnd(f"n{n}", n + 1, site_settings(), self.queue, self.scorers)
            for n in range(FRONT_ENDS)
        ]
        for scorer in scorers:
            self.queue.after(max(0.0, scorer.up_ms - BEGIN_MS), partial(self._came_up, scorer))
        if coordinated:
            self._plan_permits()
        self.queue.after(WHEEL_MS, self._advance_wheels)
        self._plan_calls()

    def _functions(self) -> dict[str, FunctionTimes]:
        functions = {}
        shares = [kind[0] for kind in FUNCTION_KINDS.values()]
        for n in range(FUNCTIONS):
            name = self.random.choices(list(FUNCTION_KINDS), shares)[0]
            kind = FUNCTION_KINDS[name]
            load_ms = self.random.uniform(*kind[5])
            functions[f"f{n}"] = FunctionTimes(name, load_ms, self.random.uniform(*kind[6]))
        return functions

    def _coordinated_front_end(self, n: int) -> CoordinatedFrontEnd:
        return CoordinatedFrontEnd(f"n{n}", n + 1, site_settings(), self.scorers, self.limits, self)

    def _plan_permits(self) -> None:
        self._tick()
        for n, front_end in enumerate(self.coordinated):
            self.queue.after(50.0 * n, partial(self._follow, front_end, RecoveryPhase.RETRIES))
            self.queue.after(BURST_MS - BEGIN_MS, partial(self._follow, front_end, RecoveryPhase.ALL_CALLS))

    def _plan_calls(self) -> None:
        times = [BURST_MS + self.random.uniform(0.0, 1_000.0) for _ in range(CALLS)]
        steady_calls = int(STEADY_RPS * STEADY_SECONDS)
        times += [BURST_MS + self.random.uniform(0.0, END_MS - BURST_MS) for _ in range(steady_calls)]
        rates = [(rank + 1) ** -0.6 for rank in range(FUNCTIONS)]
        functions = self.random.choices(list(self.functions), rates, k=len(times))
        for n, (at_ms, function) in enumerate(zip(times, functions, strict=True)):
            self.queue.after(at_ms - BEGIN_MS, partial(self._call, f"c{n}", function, ATTEMPTS))

    def run(self) -> "Simulation":
        """Run to the end."""
        self.queue.run(END_MS)
        return self

    # --- front ends ---------------------------------------------------------------------------

    def hash_order(self, function: str) -> list[int]:
        """A function's scorers that are up, by its hash order."""
        return sorted(self.scorers.up(), key=lambda scorer: rendezvous_weight(str(scorer), function))

    def _came_up(self, scorer: SimulatedScorer) -> None:
        for front_end in self.front_ends:
            front_end.scorer_seen(scorer.number, scorer.up_ms, self.queue.now_ms)

    def _follow(self, front_end: CoordinatedFrontEnd, phase: RecoveryPhase) -> None:
        names = [front_end.name for front_end in self.front_ends]
        front_end.set_reachable(self.queue.now_ms, names, allowed_in_phase(phase, PRIORITY_WEIGHTS))
        self._set_admitted_rate(front_end)

    def _set_admitted_rate(self, front_end: CoordinatedFrontEnd) -> None:
        fleet_rps = self.limits.fall_multiple * self.limits.calls_rps(self.scorers.ages_ms())
        phase = RecoveryPhase.ALL_CALLS if self.queue.now_ms >= BURST_MS else RecoveryPhase.RETRIES
        front_end.set_admitted_rate(allowed_in_phase(phase, PRIORITY_WEIGHTS), fleet_rps / FRONT_ENDS)

    def _tick(self) -> None:
        self.queue.after(TICK_MS, self._tick)
        now_ms = self.queue.now_ms
        for front_end in self.coordinated:
            self.carry_out(front_end, front_end.issuer.tick(now_ms))
            if int(now_ms / TICK_MS) % 10 == 0:
                self._set_admitted_rate(front_end)

    def _advance_wheels(self) -> None:
        self.queue.after(WHEEL_MS, self._advance_wheels)
        for front_end in self.coordinated:
            front_end.wheel.advance(self.queue.now_ms)

    def carry_out(self, front_end: SimulatedFrontEnd, actions: list[Action]) -> None:
        """Carry out actions of permit issuing."""
        assert isinstance(front_end, CoordinatedFrontEnd)
        for action in actions:
            if isinstance(action, SendPermitMessage):
                self._send(front_end, action)
            elif not isinstance(action, LoadOrder):
                front_end.admission.notify(action)
            elif isinstance(action.event, io.OrderCopies):
                front_end.table.order(action.event)
            else:
                front_end.table.notify(action.event)

    def _send(self, sender: SimulatedFrontEnd, action: SendPermitMessage) -> None:
        for receiver in self.coordinated:
            if receiver is not sender and (not action.to or receiver.name in action.to):
                delay_ms = self.random.uniform(1.0, 5.0)
                self.queue.after(delay_ms, partial(self._receive, receiver, sender.name, action.message))

    def _receive(self, receiver: CoordinatedFrontEnd, sender: str, message: PermitMessage) -> None:
        self.carry_out(receiver, receiver.issuer.receive(self.queue.now_ms, sender, message))

    # --- clients ------------------------------------------------------------------------------

    def _call(self, client: str, function: str, attempts_left: int) -> None:
        times = self.functions[function]
        kind = FUNCTION_KINDS[times.class_name]
        latency_target_ms, give_up_ms, weight = kind[1], kind[2], kind[3]
        called_ms = self.queue.now_ms
        if attempts_left == ATTEMPTS:
            self.calls += 1
            self.weight += weight
        ended = False

        def reply(outcome: Outcome) -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            if not isinstance(outcome, Succeeded):
                self._retry(outcome, client, function, attempts_left)
            elif self.queue.now_ms - called_ms <= latency_target_ms:
                self.in_time += 1
                self.weight_in_time += weight

        number = rendezvous_weight(client, str(attempts_left)).to_bytes(8, "big")
        call = Call(
            number, times.class_name, "t", function, give_up_ms, b"", "", LANES, None, times.load_ms, reply
        )
        self.queue.after(give_up_ms, lambda: reply(Failed()))
        at = rendezvous_weight("at", client, str(attempts_left)) % FRONT_ENDS
        self.front_ends[at].sink.take(call)

    def _retry(self, outcome: Outcome, client: str, function: str, attempts_left: int) -> None:
        wait_ms = 0.0
        if isinstance(outcome, Rejected):
            self.rejected += 1
            wait_ms = outcome.hold_off_ms
        elif isinstance(outcome, Failed):
            self.failed += 1
        if attempts_left > 1:
            self.queue.after(wait_ms, lambda: self._call(client, function, attempts_left - 1))


def figures(run: Simulation) -> Figures:
    """The figures of one run that are compared."""
    store = run.scorers.store
    return {
        "fetches, worst second": max(store.by_second.values(), default=0),
        "fetches at a time, at most": store.most_open,
        "fetches": sum(store.by_second.values()),
        "scorers failed": run.scorers.failures,
        "in time": round(run.in_time / run.calls, 3),
        "weight in time": round(run.weight_in_time / run.weight, 3),
        "rejected": run.rejected,
        "failed": run.failed,
    }


def main(pairs: int) -> None:
    """Run the pairs; print means, differences with 95 % confidence intervals, and worst values."""
    seeds = range(1, pairs + 1)
    alone = [figures(Simulation(seed, coordinated=False).run()) for seed in seeds]
    coordinated = [figures(Simulation(seed, coordinated=True).run()) for seed in seeds]
    for name in alone[0]:
        _print_figure(name, [run[name] for run in alone], [run[name] for run in coordinated])


def _print_figure(name: str, alone: list[float], coordinated: list[float]) -> None:
    pairs = len(alone)
    differences = [after - before for before, after in zip(alone, coordinated, strict=True)]
    mean = sum(differences) / pairs
    variance = sum((difference - mean) ** 2 for difference in differences) / (pairs - 1)
    half = STUDENT_T95[pairs] * (variance / pairs) ** 0.5
    means = f"{sum(alone) / pairs:9.2f} {sum(coordinated) / pairs:9.2f}"
    worst = f"worst {max(alone)} {max(coordinated)}"
    print(f"{name:28}{means}  {mean:+9.3f} +- {half:.3f}   {worst}")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
