"""Randomized simulation: coordinators and holders in virtual time, with clock skew and faults of every kind.

Deeper than `check.py`, and with real timers. One seed gives one run. Messages are lost, repeated, reordered
and delayed; holders are cut off, killed, restarted, and paused without noticing; leaders change, with what
they had proposed decided or lost; the list of members changes.

    python -m fawnwharf.policy_rollout.simulation [--steps N] [--seeds N]     broken or not
    python -m fawnwharf.policy_rollout.simulation --measure                   times and messages of a
                                                                    change, by
fleet
"""

import argparse
import heapq
import itertools
import random
import sys

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import DeploymentCapabilities, Document, parse_register
from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator, RolloutTiming
from fawnwharf.policy_rollout.simulation_types import NO_FAULTS, FaultRates, SimulatedMember, SimulationResult

KNOWN = DeploymentCapabilities(frozenset({"c"}), frozenset({"t"}), frozenset())


class Simulation:
    """One fleet, and the reference model, which knows all that was ever decided."""

    def __init__(
        self,
        size: int,
        seed: int,
        weather: FaultRates = FaultRates(),  # noqa: B008 - frozen
        kinds: tuple[type[RolloutCoordinator], type[LeaseHolder]] = (RolloutCoordinator, LeaseHolder),
        timing: RolloutTiming = RolloutTiming(),  # noqa: B008 - frozen
        watched: bool = True,
    ) -> None:
        self.weather, self.kinds, self.timing, self.watched = weather, kinds, timing, watched
        self.chance, self.now, self.order = random.Random(seed), 0.0, itertools.count()
        self.queue: list[tuple[float, int, str, tuple]] = []
        self.outcome = SimulationResult()
        self.log, self.pending, self.term, self.crown = "", "", 0, ""
        self.decided = {0: Document().digest}
        self.opened: dict[int, int] = {}
        self.decided_ms: float | None = None  # while its leader is not disturbed
        self.taken: dict[str, m.ActivePolicy] = {}
        names = tuple(f"f{n}" for n in range(size))
        self.members = names
        self.nodes: dict[str, SimulatedMember] = {}
        for n, name in enumerate(names):
            rate = 1 + self.chance.uniform(-timing.skew, timing.skew)
            node = SimulatedMember(name, rate, kinds[0](timing, names) if n < 3 else None)
            self.nodes[name] = node
            self._soon("_born", self.chance.uniform(0.0, timing.renew_ms), name)
        self._soon("_leads", 0.0, "f0")
        if weather is not NO_FAULTS:
            self._soon("_weather", 100.0)

    # --- the walk -------------------------------------------------------------------------------

    def run(self, steps: int, until_ms: float = float("inf")) -> SimulationResult:
        """Run so many steps, or up to a time, or to the first broken rule."""
        while self.outcome.steps < steps and not self.outcome.broken and self.queue[0][0] <= until_ms:
            self.now, _, what, about = heapq.heappop(self.queue)
            self.outcome.steps += 1
            getattr(self, what)(*about)
            if self.watched:
                self._check()
        self.outcome.true_ms = self.now
        return self.outcome

    def _soon(self, what: str, delay_ms: float, *about: object) -> None:
        heapq.heappush(self.queue, (self.now + delay_ms, next(self.order), what, about))

    def _clock(self, node: SimulatedMember) -> float:
        return self.now * node.rate

    def _break(self, why: str) -> None:
        self.outcome.broken = self.outcome.broken or f"{why}, at {self.now:.1f} ms"

    def _wind(self, node: SimulatedMember, what: str, due_ms: float | None) -> None:
        if due_ms is not None and due_ms != node.wound.get(what):
            node.wound[what] = due_ms
            self._soon("_rings", max(0.01, due_ms / node.rate - self.now), node.name, what, due_ms)

    def _rings(self, name: str, what: str, due_ms: float) -> None:
        node = self.nodes[name]
        if node.wound.get(what) != due_ms:
            return  # wound anew since
        if node.halted_ms > self.now:
            self._soon("_rings", node.halted_ms - self.now, name, what, due_ms)
            return
        del node.wound[what]
        if what == "holder" and node.holder:
            self._holder_does(node, node.holder.tick(self._clock(node)))
        elif what == "steward" and node.holder:
            self._steward_does(node, node.steward.tick(self._clock(node), self.crown == name))

    def _born(self, name: str) -> None:
        node = self.nodes[name]
        node.life += 1
        node.least = parse_register(self.log).last.number
        node.holder = self.kinds[1](KNOWN, self.timing, node.life, node.disk)
        self._holder_does(node, node.holder.tick(self._clock(node)))

    # --- leaders and their log ------------------------------------------------------------------

    def _leads(self, name: str) -> None:
        node = self.nodes[name]
        if self.crown:
            return
        if node.holder is None or node.halted_ms > self.now:
            self._soon("_leads", 50.0, self.chance.choice(list(self.nodes)[:3]))
            return
        if self.pending and self.chance.random() < 0.5:
            self._commit()
        self.pending, self.crown, self.term = "", name, self.term + 1
        node.steward.members = self.members
        self._steward_does(node, node.steward.lead(self._clock(node), self.term, self.log))

    def _unseat(self) -> None:
        """Another is to lead; this one learns it later, or never."""
        if not self.crown:
            return
        self.outcome.events["leaders"] += 1
        old, self.crown, self.decided_ms = self.nodes[self.crown], "", None
        if self.chance.random() < 0.5:
            self._soon("_rests", self.chance.uniform(0.0, 1_000.0), old.name, old.steward.term)
        self._soon("_leads", self.chance.uniform(100.0, 1_500.0), self.chance.choice(list(self.nodes)[:3]))

    def _rests(self, name: str, term: int) -> None:
        if self.nodes[name].steward.term == term:
            self.nodes[name].steward.rest()

    def _commit(self) -> None:
        last = parse_register(self.pending).last
        if self.decided.setdefault(last.number, last.digest) != last.digest:
            self._break(f"two documents with the number {last.number}")
        self.log, self.pending = self.pending, ""

    def _logged(self, name: str, term: int, text: str) -> None:
        if self.crown != name or self.term != term or self.pending != text:
            return
        node = self.nodes[name]
        if node.halted_ms > self.now:
            self._soon("_logged", node.halted_ms - self.now, name, term, text)
            return
        self._commit()
        self.decided_ms = self.now
        self._steward_does(node, node.steward.decided(self._clock(node), self.log, True))

    # --- effects --------------------------------------------------------------------------------

    def _steward_does(self, node: SimulatedMember, effects: list[m.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, m.Send):
                self._watch(node, effect.message)
                self._send(node.name, effect.to, effect.message)
            elif isinstance(effect, m.ProposeRegister):
                self._put(node, effect.register)
            elif isinstance(effect, m.LogEvent):
                self.outcome.events[effect.event] += 1
                if effect.event == "in force" and self.decided_ms is not None:
                    took_ms = self.now - self.decided_ms
                    self.outcome.longest_ms = max(self.outcome.longest_ms, took_ms)
                    if took_ms * node.rate > self.timing.over_ms + 1.0:
                        self._break(f"in force only {took_ms:.0f} ms after its decision")
                    self.decided_ms = None
        self._wind(node, "steward", node.steward.due_ms())

    def _put(self, node: SimulatedMember, text: str) -> None:
        if node.name != self.crown or node.steward.term != self.term:
            return
        if self.pending:
            self._break("two numbers at once put to the vote")
        if self.weather.lost and self.chance.random() < 0.02:
            self._steward_does(node, node.steward.not_put(self._clock(node)))
            return
        number = parse_register(text).last.number
        for other in self.nodes.values():
            prepared = other.holder and other.holder.prepared
            if self._acts(other) and (prepared is None or prepared.number != number):
                self._break(f"{number} is put to the vote, and {other.name} acts on without knowing of it")
        self.pending = text
        self._soon("_logged", self.chance.uniform(2.0, 20.0), node.name, self.term, text)

    def _watch(self, node: SimulatedMember, message: m.Message) -> None:
        term = node.steward.term
        if isinstance(message, m.Prepare) and self.opened.setdefault(term, message.number) != message.number:
            self._break(f"two numbers at once: {self.opened[term]} and {message.number}")
        if isinstance(message, m.Abort | m.Decided):
            self.opened.pop(term, None)
        if isinstance(message, m.Abort) and node.name == self.crown:
            pending = self.pending and parse_register(self.pending).last.number
            if message.number in (pending, parse_register(self.log).last.number):
                self._break(f"{message.number} is ended after its decision")

    def _holder_does(self, node: SimulatedMember, effects: list[m.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, m.StoreRegister):
                node.disk = effect.register
            elif isinstance(effect, m.Send):
                to = self.crown if effect.to == m.LEADER else effect.to
                if to:
                    self._send(node.name, to, effect.message)
        self._wind(node, "holder", node.holder.due_ms())

    def _send(self, sender: str, to: str, message: m.Message) -> None:
        self.outcome.messages[type(message).__name__] += 1
        chance, weather = self.chance, self.weather
        for _ in range(1 + (chance.random() < weather.repeated)):
            if chance.random() >= weather.lost:
                most = weather.late_ms if chance.random() < weather.late else weather.delay_ms[1]
                self._soon("_arrives", chance.uniform(weather.delay_ms[0], most), sender, to, message)

    def _arrives(self, sender: str, to: str, message: m.Message) -> None:
        node, other = self.nodes[to], self.nodes[sender]
        held_ms = max(node.halted_ms, *((0.0,) if sender == to else (node.cut_ms, other.cut_ms)))
        if node.holder is None:
            return
        if held_ms > self.now:
            if self.chance.random() < 0.5:
                self._soon("_arrives", held_ms - self.now + self.chance.random(), sender, to, message)
            return
        now_ms, fresh = self._clock(node), self.crown == to
        if isinstance(message, m.LeaseRequest | m.EpochAdopted | m.Vote):
            self._steward_does(node, node.steward.heard(now_ms, sender, message, fresh))
        else:
            self._holder_does(node, node.holder.heard(now_ms, sender, message))

    # --- what must never be ---------------------------------------------------------------------

    def _acts(self, node: SimulatedMember) -> bool:
        return node.holder is not None and node.holder._stance(self._clock(node))[0] == "leased"

    def _check(self) -> None:
        acting = set()
        for node in self.nodes.values():
            if node.holder is None:
                continue
            last = node.holder.register.last
            if node.holder.ready and last.number < node.least:
                self._break(f"{node.name} came up in {last.number}, and {node.least} was decided")
            if self._acts(node):
                acting.add(last.number)
                if self.decided.get(last.number) != last.digest:
                    self._break(f"{node.name} acts by {last.number}, which was not decided so")
        if len(acting) > 1:
            self._break(f"in force at once: {sorted(acting)}")

    # --- the weather ----------------------------------------------------------------------------

    def propose(self, quota: int) -> None:
        """Let the leader's coordinator propose a change of a quota."""
        node = self.nodes[self.crown]
        text = f'{{"version":1,"tenants":{{"t":{{"quota_rps":{quota}}}}}}}'
        self._steward_does(node, node.steward.propose(self._clock(node), text))

    def _weather(self) -> None:
        """Inject faults and events; runs every tenth of a second of true time."""
        self._soon("_weather", 100.0)
        chance, weather = self.chance, self.weather
        up = [node for node in self.nodes.values() if node.holder]
        if up:
            self._calls(chance.choice(up))
            self._strike(up)
        if chance.random() < weather.leaders / 10:
            self._unseat()
        node = self.nodes.get(self.crown)
        if node is not None and node.halted_ms <= self.now:
            self._operate(node)

    def _strike(self, up: list[SimulatedMember]) -> None:
        """Cut off, pause or kill members of those that are up, by chance."""
        chance, weather = self.chance, self.weather
        if chance.random() < weather.cuts / 10:
            chance.choice(up).cut_ms = self.now + chance.uniform(0.0, weather.cut_ms)
        if chance.random() < weather.halts / 10:
            node = chance.choice(up)
            node.halted_ms = self.now + chance.uniform(0.0, weather.halt_ms)
            if node.name == self.crown:
                self.decided_ms = None
                if node.halted_ms - self.now > 500.0:
                    self._unseat()
        if chance.random() < weather.kills / 10:
            self.kill(chance.choice(up).name, chance.uniform(1.0, weather.away_ms))

    def _operate(self, node: SimulatedMember) -> None:
        """Let operators act at the leader, by chance: propose, call off, change the list of members."""
        chance, weather = self.chance, self.weather
        if chance.random() < weather.proposals / 10:
            self.propose(chance.randrange(1, 100))
            if chance.random() < weather.called_off:
                self._soon("_called_off", chance.uniform(0.0, 80.0), node.name)
        if chance.random() < weather.lists / 10:
            self.members = tuple(n for n in self.nodes if n == self.crown or chance.random() < 0.9)
            self._steward_does(node, node.steward.take_members(self._clock(node), self.members))

    def _called_off(self, name: str) -> None:
        node = self.nodes[name]
        if node.holder and node.halted_ms <= self.now:
            self._steward_does(node, node.steward.call_off(self._clock(node)))

    def _calls(self, node: SimulatedMember) -> None:
        """Check that a call keeps the epoch by which it was taken up to its end."""
        call = f"{node.name}.{node.life}"
        if call in self.taken and node.holder.of(call) != self.taken.pop(call):
            self._break(f"a call of {node.name} is judged by another epoch")
        node.holder.done(call)
        self.taken[call] = node.holder.take(self._clock(node), call)
        self.outcome.calls += 1

    def kill(self, name: str, away_ms: float) -> None:
        """Kill a member, which comes back after `away_ms`."""
        self.outcome.events["kills"] += 1
        node = self.nodes[name]
        node.holder, node.wound = None, {}
        if node.steward:
            node.steward.rest()
        if name == self.crown:
            self._unseat()
        self._soon("_born", away_ms, name)


def main() -> int:
    """Run the simulations, or measure; the exit status is 1 where a rule was broken."""
    parser = argparse.ArgumentParser(description="Walk at random through changes of policy.")
    parser.add_argument("--steps", type=int, default=100_000, help="of each walk")
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--measure", action="store_true")
    given = parser.parse_args()
    if given.measure:
        from fawnwharf.policy_rollout.rollout_measurement import table

        print(table())
        return 0
    broken, total = "", SimulationResult()
    for seed in range(given.seeds):
        outcome = Simulation(3 + seed % 5, seed).run(given.steps)
        total.steps += outcome.steps
        total.events += outcome.events
        total.longest_ms = max(total.longest_ms, outcome.longest_ms)
        if outcome.broken:
            broken = f"seed {seed}: {outcome.broken}"
            print(broken)
    print(f"{total.steps} steps, {dict(total.events)}, longest to in force {total.longest_ms:.0f} ms")
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(main())
