"""Injects faults and events into the randomized simulation, at the rates of `FaultRates`."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from fawnwharf.policy_rollout.messages import ActivePolicy
from fawnwharf.policy_rollout.simulation_types import SimulatedMember

if TYPE_CHECKING:
    from fawnwharf.policy_rollout.simulation import Simulation

INTERVAL_MS = 100.0  # of true time between two injections
INTERVALS_PER_SECOND = 1_000.0 / INTERVAL_MS
MAX_UNNOTICED_PAUSE_MS = 500.0  # a leader that is paused for longer is replaced
MAX_CANCEL_DELAY_MS = 80.0
REMAINING_MEMBERS_FRACTION = 0.9  # chance of each member to stay on the list when the list changes


class FaultInjector:
    """Owns the open calls; all other state belongs to the simulation."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._random = simulation.random
        self._rates = simulation.faults
        self._call_policies: dict[str, ActivePolicy] = {}  # by call

    def start(self) -> None:
        """Schedule the first injection, at the end of the first interval."""
        self._simulation.schedule(INTERVAL_MS, self._inject)

    def _happens(self, rate: float) -> bool:
        """Decide at random whether an event with this rate per second happens in this interval."""
        return self._random.random() < rate / INTERVALS_PER_SECOND

    def _inject(self) -> None:
        simulation = self._simulation
        simulation.schedule(INTERVAL_MS, self._inject)
        up = [member for member in simulation.members.values() if member.holder]
        if up:
            self._check_call(self._random.choice(up))
            self._inject_faults(up)
        if self._happens(self._rates.leader_changes):
            simulation.replace_leader()
        leader = simulation.members.get(simulation.model.leader)
        if leader is not None and leader.paused_until_ms <= simulation.now_ms:
            self._operate(leader)

    def _inject_faults(self, up: list[SimulatedMember]) -> None:
        """Partition, pause or kill running members at random."""
        rates = self._rates
        now_ms = self._simulation.now_ms
        if self._happens(rates.partitions):
            until_ms = now_ms + self._random.uniform(0.0, rates.max_partition_ms)
            self._random.choice(up).partitioned_until_ms = until_ms
        if self._happens(rates.pauses):
            self._pause(self._random.choice(up))
        if self._happens(rates.kills):
            name = self._random.choice(up).name
            self._simulation.kill(name, self._random.uniform(1.0, rates.max_down_ms))

    def _pause(self, member: SimulatedMember) -> None:
        simulation = self._simulation
        pause_ms = self._random.uniform(0.0, self._rates.max_pause_ms)
        member.paused_until_ms = simulation.now_ms + pause_ms
        if member.name == simulation.model.leader:
            simulation.decided_ms = None
            if member.paused_until_ms - simulation.now_ms > MAX_UNNOTICED_PAUSE_MS:
                simulation.replace_leader()

    def _operate(self, leader: SimulatedMember) -> None:
        """Simulate operators at the leader at random: propose, cancel, change the list of members."""
        simulation = self._simulation
        if self._happens(self._rates.proposals):
            simulation.propose(self._random.randrange(1, 100))
            if self._random.random() < self._rates.cancelled:
                delay_ms = self._random.uniform(0.0, MAX_CANCEL_DELAY_MS)
                simulation.schedule(delay_ms, partial(self._cancel, leader))
        if self._happens(self._rates.member_changes) and leader.coordinator is not None:
            simulation.names = tuple(
                name
                for name in simulation.members
                if name == simulation.model.leader or self._random.random() < REMAINING_MEMBERS_FRACTION
            )
            effects = leader.coordinator.set_members(simulation.names)
            simulation.carry_out_coordinator(leader, effects)

    def _cancel(self, member: SimulatedMember) -> None:
        is_up = member.holder is not None and member.paused_until_ms <= self._simulation.now_ms
        if is_up and member.coordinator is not None:
            self._simulation.carry_out_coordinator(member, member.coordinator.cancel())

    def _check_call(self, member: SimulatedMember) -> None:
        """Check that a member's last call kept the policy it was bound to, and begin another call."""
        holder = member.holder
        if holder is None:
            return
        call = f"{member.name}.{member.incarnation}"
        policy = self._call_policies.pop(call, None)
        if policy is not None and holder.policy_of_call(call) != policy:
            self._simulation.model.violated(f"the policy of an open call of {member.name} changed")
        holder.release_call(call)
        self._call_policies[call] = holder.bind_call(self._simulation.clock_ms(member), call)
        self._simulation.result.calls += 1
