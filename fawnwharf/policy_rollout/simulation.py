"""Randomized simulation: coordinators and holders in virtual time, with clock skew and injected faults.

Its runs are longer than the paths of `model_checker.py` and use the real timing. A seed determines a run.
Messages are lost, duplicated, reordered and delayed. Members are partitioned, killed, restarted, and paused
without notice. Leaders are replaced, and their open proposals are decided or lost. The list of members
changes.

    python -m fawnwharf.policy_rollout.simulation [--steps N] [--seeds N]   check the invariants
    python -m fawnwharf.policy_rollout.simulation --measure                 measure rollouts
"""

import argparse
import heapq
import itertools
import random
import sys
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import DeploymentCapabilities, parse_register
from fawnwharf.policy_rollout.fault_injection import FaultInjector
from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.reference_model import ReferenceModel
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator
from fawnwharf.policy_rollout.rollout_state import RolloutTiming
from fawnwharf.policy_rollout.simulation_types import NO_FAULTS, FaultRates, SimulatedMember, SimulationResult

CAPABILITIES = DeploymentCapabilities(frozenset({"c"}), frozenset({"t"}), frozenset())
VOTERS = 3
HOLDER, COORDINATOR = "holder", "coordinator"  # the timers of a member
MAX_DECISION_MS = 20.0  # how long the log takes for a decision
MIN_DECISION_MS = 2.0
NOT_LOGGED_FRACTION = 0.02  # of the proposals to the log
# Of the messages sent during a partition, the fraction that arrives after it; the others are lost.
DELAYED_IN_PARTITION_FRACTION = 0.5
DECIDED_BY_NEXT_LEADER_FRACTION = 0.5  # of the proposals that are open when the leader is replaced
MAX_CAMPAIGN_MS = 1_500.0  # time until another member leads
MIN_CAMPAIGN_MS = 100.0
CAMPAIGN_RETRY_MS = 50.0  # until another voter campaigns in place of one that is down or paused
NOTICED_REPLACEMENT_FRACTION = 0.5  # of the replaced leaders that learn of their replacement
MAX_NOTICE_MS = 1_000.0  # until a replaced leader learns of it
MIN_TIMER_DELAY_MS = 0.01


class ImplementationTypes(NamedTuple):
    """The classes to be simulated: the real ones, or mutants with a deliberate bug."""

    coordinator: type[RolloutCoordinator] = RolloutCoordinator
    holder: type[LeaseHolder] = LeaseHolder


class ScheduledEvent(NamedTuple):
    """A callback at a time; events with the same time run in the order in which they were scheduled."""

    at_ms: float
    order: int
    callback: Callable[[], None]


class Simulation:
    """One simulated fleet, checked against the reference model."""

    def __init__(
        self,
        size: int,
        seed: int,
        faults: FaultRates | None = None,
        types: ImplementationTypes | None = None,
        *,
        checked: bool = True,
    ) -> None:
        """`size` members, the first three of which are voters; invariants are checked only if `checked`."""
        self.faults = faults or FaultRates()
        self.types = types or ImplementationTypes()
        self.timing = RolloutTiming()
        self.checked = checked
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self.result = SimulationResult()
        self.model = ReferenceModel()
        self.decided_ms: float | None = None  # time of the last decision, while its leader is undisturbed
        self._order = itertools.count()
        self._queue: list[ScheduledEvent] = []
        self.names = tuple(f"f{n}" for n in range(size))
        self.members: dict[str, SimulatedMember] = {}
        for n, name in enumerate(self.names):
            self._add_member(name, votes=n < VOTERS)
        self.schedule(0.0, partial(self._campaign, self.names[0]))
        if self.faults is not NO_FAULTS:
            FaultInjector(self).start()

    def _add_member(self, name: str, *, votes: bool) -> None:
        skew = self.timing.skew
        rate = 1 + self.random.uniform(-skew, skew)
        coordinator = self.types.coordinator(self.timing, self.names) if votes else None
        self.members[name] = SimulatedMember(name, rate, coordinator)
        self.schedule(self.random.uniform(0.0, self.timing.renew_ms), partial(self._start, name))

    # --- virtual time ---------------------------------------------------------------------------

    def run(self, steps: int, until_ms: float = float("inf")) -> SimulationResult:
        """Run up to a number of events, a time or the first violation of an invariant."""
        result = self.result
        while result.steps < steps and not result.broken and self._queue[0].at_ms <= until_ms:
            event = heapq.heappop(self._queue)
            self.now_ms = event.at_ms
            result.steps += 1
            event.callback()
            if self.checked:
                self._check()
        result.true_ms = self.now_ms
        return result

    def schedule(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Call `callback` after a delay."""
        heapq.heappush(self._queue, ScheduledEvent(self.now_ms + delay_ms, next(self._order), callback))

    def clock_ms(self, member: SimulatedMember) -> float:
        """The present time by a member's own clock."""
        return self.now_ms * member.clock_rate

    def _check(self) -> None:
        """Check the invariants, and record the first violation with its time."""
        if not self.model.violation:
            lease_members = {member.name for member in self.members.values() if self.has_lease(member)}
            self.model.check_members(self.members.values(), lease_members)
        if self.model.violation and not self.result.broken:
            self.result.broken = f"{self.model.violation}, at {self.now_ms:.1f} ms"

    def has_lease(self, member: SimulatedMember) -> bool:
        """Whether a member has a valid lease now."""
        return member.holder is not None and member.holder.has_lease(self.clock_ms(member))

    def _set_timer(self, member: SimulatedMember, what: str, due_ms: float | None) -> None:
        if due_ms is None or due_ms == member.timers.get(what):
            return
        member.timers[what] = due_ms
        delay_ms = max(MIN_TIMER_DELAY_MS, due_ms / member.clock_rate - self.now_ms)
        self.schedule(delay_ms, partial(self._timer_due, member.name, what, due_ms))

    def _timer_due(self, name: str, what: str, due_ms: float) -> None:
        member = self.members[name]
        if member.timers.get(what) != due_ms:
            return  # the timer was set again or removed since
        if member.paused_until_ms > self.now_ms:
            delay_ms = member.paused_until_ms - self.now_ms
            self.schedule(delay_ms, partial(self._timer_due, name, what, due_ms))
            return
        del member.timers[what]
        if member.holder is None:
            return
        if what == HOLDER:
            self._carry_out_holder(member, member.holder.tick(self.clock_ms(member)))
        elif member.coordinator is not None:
            leads = self.model.leader == name
            effects = member.coordinator.tick(self.clock_ms(member), leads)
            self.carry_out_coordinator(member, effects)

    # --- starts and leaders ---------------------------------------------------------------------

    def _start(self, name: str) -> None:
        """Start or restart a member."""
        member = self.members[name]
        member.incarnation += 1
        member.min_number = self.model.last_number()
        member.holder = self.types.holder(CAPABILITIES, self.timing, member.incarnation, member.disk)
        self._carry_out_holder(member, member.holder.tick(self.clock_ms(member)))

    def kill(self, name: str, down_ms: float) -> None:
        """Kill a member, which is restarted after `down_ms`."""
        self.result.events["kills"] += 1
        member = self.members[name]
        member.holder = None
        member.timers = {}
        if member.coordinator:
            member.coordinator.step_down()
        if name == self.model.leader:
            self.replace_leader()
        self.schedule(down_ms, partial(self._start, name))

    def _random_voter(self) -> str:
        return self.random.choice(list(self.members)[:VOTERS])

    def _campaign(self, name: str) -> None:
        """Make a voter the leader if there is none; if it is down or paused, another voter campaigns."""
        member = self.members[name]
        model = self.model
        if model.leader:
            return
        if member.holder is None or member.coordinator is None or member.paused_until_ms > self.now_ms:
            self.schedule(CAMPAIGN_RETRY_MS, partial(self._campaign, self._random_voter()))
            return
        if model.pending and self.random.random() < DECIDED_BY_NEXT_LEADER_FRACTION:
            model.commit()
        model.pending = ""
        model.leader = name
        model.term += 1
        member.coordinator.members = self.names
        effects = member.coordinator.lead(self.clock_ms(member), model.term, model.log)
        self.carry_out_coordinator(member, effects)

    def replace_leader(self) -> None:
        """End the leader's term and schedule a campaign; the old leader learns of it later or never."""
        if not self.model.leader:
            return
        self.result.events["leaders"] += 1
        old = self.members[self.model.leader]
        self.model.leader = ""
        self.decided_ms = None
        if self.random.random() < NOTICED_REPLACEMENT_FRACTION and old.coordinator is not None:
            delay_ms = self.random.uniform(0.0, MAX_NOTICE_MS)
            self.schedule(delay_ms, partial(self._step_down, old.coordinator, old.coordinator.term))
        delay_ms = self.random.uniform(MIN_CAMPAIGN_MS, MAX_CAMPAIGN_MS)
        self.schedule(delay_ms, partial(self._campaign, self._random_voter()))

    def _step_down(self, coordinator: RolloutCoordinator, term: int) -> None:
        if coordinator.term == term:
            coordinator.step_down()

    # --- effects --------------------------------------------------------------------------------

    def carry_out_coordinator(self, member: SimulatedMember, effects: list[m.Effect]) -> None:
        """Carry out the effects of a member's coordinator."""
        if member.coordinator is None:
            return
        for effect in effects:
            if isinstance(effect, m.Send):
                self.model.check_sent(member, effect.message)
                self._send(member.name, effect.to, effect.message)
            elif isinstance(effect, m.ProposeRegister):
                self._propose_to_log(member, member.coordinator, effect.register)
            elif isinstance(effect, m.RolloutLogEvent):
                self.result.events[effect.event] += 1
                if effect.event == "in force":
                    self._check_time_to_in_force(member)
        self._set_timer(member, COORDINATOR, member.coordinator.due_ms())

    def _check_time_to_in_force(self, member: SimulatedMember) -> None:
        """Check how long a decision took to come into force under an undisturbed leader."""
        if self.decided_ms is None:
            return
        took_ms = self.now_ms - self.decided_ms
        self.decided_ms = None
        self.result.longest_ms = max(self.result.longest_ms, took_ms)
        if took_ms * member.clock_rate > self.timing.max_lease_ms + 1.0:
            self.model.violated(f"in force only {took_ms:.0f} ms after its decision")

    def _propose_to_log(self, member: SimulatedMember, coordinator: RolloutCoordinator, text: str) -> None:
        model = self.model
        if member.name != model.leader or coordinator.term != model.term:
            return
        model.check_no_pending()
        if self.faults.lost and self.random.random() < NOT_LOGGED_FRACTION:
            self.carry_out_coordinator(member, coordinator.proposal_not_logged())
            return
        lease_members = [other for other in self.members.values() if self.has_lease(other)]
        model.check_proposed(parse_register(text).last.number, lease_members)
        model.pending = text
        delay_ms = self.random.uniform(MIN_DECISION_MS, MAX_DECISION_MS)
        self.schedule(delay_ms, partial(self._decide, member.name, model.term, text))

    def _decide(self, name: str, term: int, text: str) -> None:
        """Let the log decide a proposal, unless the leader was replaced before."""
        model = self.model
        if model.leader != name or model.term != term or model.pending != text:
            return
        member = self.members[name]
        if member.paused_until_ms > self.now_ms:
            delay_ms = member.paused_until_ms - self.now_ms
            self.schedule(delay_ms, partial(self._decide, name, term, text))
            return
        model.commit()
        self.decided_ms = self.now_ms
        if member.coordinator is not None:
            effects = member.coordinator.receive_decision(
                self.clock_ms(member), model.log, holds_read_lease=True
            )
            self.carry_out_coordinator(member, effects)

    def _carry_out_holder(self, member: SimulatedMember, effects: list[m.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, m.StoreRegister):
                member.disk = effect.register
            elif isinstance(effect, m.Send):
                to = self.model.leader if effect.to == m.LEADER else effect.to
                if to:
                    self._send(member.name, to, effect.message)
        if member.holder is not None:
            self._set_timer(member, HOLDER, member.holder.due_ms())

    def _send(self, sender: str, to: str, message: m.Message) -> None:
        """Send a message, which may be lost, delayed or duplicated at random."""
        self.result.messages[type(message).__name__] += 1
        rates = self.faults
        for _ in range(1 + (self.random.random() < rates.duplicated)):
            if self.random.random() < rates.lost:
                continue
            is_late = self.random.random() < rates.late
            max_delay_ms = rates.max_late_ms if is_late else rates.max_delay_ms
            delay_ms = self.random.uniform(rates.min_delay_ms, max_delay_ms)
            self.schedule(delay_ms, partial(self._arrive, sender, to, message))

    def _arrive(self, sender: str, to: str, message: m.Message) -> None:
        member = self.members[to]
        if member.holder is None:
            return
        unreachable_until_ms = member.paused_until_ms
        if sender != to:
            other = self.members[sender]
            partitioned_ms = max(member.partitioned_until_ms, other.partitioned_until_ms)
            unreachable_until_ms = max(unreachable_until_ms, partitioned_ms)
        if unreachable_until_ms > self.now_ms:
            if self.random.random() < DELAYED_IN_PARTITION_FRACTION:
                delay_ms = unreachable_until_ms - self.now_ms + self.random.random()
                self.schedule(delay_ms, partial(self._arrive, sender, to, message))
            return
        clock_ms = self.clock_ms(member)
        if not isinstance(message, m.LeaseRequest | m.DocumentAdopted | m.Vote):
            self._carry_out_holder(member, member.holder.receive(clock_ms, sender, message))
        elif member.coordinator is not None:
            holds_read_lease = self.model.leader == to
            effects = member.coordinator.receive(clock_ms, sender, message, holds_read_lease)
            self.carry_out_coordinator(member, effects)

    # --- operators ------------------------------------------------------------------------------

    def propose(self, quota_rps: int) -> None:
        """Propose a document with this quota at the leader's coordinator."""
        member = self.members[self.model.leader]
        if member.coordinator is None:
            return
        text = f'{{"version":1,"tenants":{{"t":{{"quota_rps":{quota_rps}}}}}}}'
        effects = member.coordinator.propose(self.clock_ms(member), text)
        self.carry_out_coordinator(member, effects)


def main() -> int:
    """Run the simulations or the measurement; the exit status is 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(description="Simulate policy rollouts with random faults.")
    parser.add_argument("--steps", type=int, default=100_000, help="of each run")
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--measure", action="store_true")
    options = parser.parse_args()
    if options.measure:
        from fawnwharf.policy_rollout.rollout_measurement import markdown_table

        print(markdown_table())
        return 0
    return _run_seeds(options.seeds, options.steps)


def _run_seeds(seeds: int, steps: int) -> int:
    """Run one simulation per seed and print the totals; returns 1 if an invariant was violated."""
    any_broken = False
    total = SimulationResult()
    for seed in range(seeds):
        result = Simulation(3 + seed % 5, seed).run(steps)
        total.steps += result.steps
        total.events += result.events
        total.longest_ms = max(total.longest_ms, result.longest_ms)
        if result.broken:
            any_broken = True
            print(f"seed {seed}: {result.broken}")
    print(f"{total.steps} steps, {dict(total.events)}, longest to in force {total.longest_ms:.0f} ms")
    return int(any_broken)


if __name__ == "__main__":
    sys.exit(main())
