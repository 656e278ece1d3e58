"""Rollout coordinators with real voters, connected as in a front end, in steps of virtual time."""

from fawnwharf.consensus import messages as consensus
from fawnwharf.consensus.timing import Timing as Voting
from fawnwharf.consensus.voter import Voter, bootstrap_state
from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import parse_register
from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator
from fawnwharf.policy_rollout.rollout_state import RolloutTiming
from fawnwharf.policy_rollout.simulation import CAPABILITIES
from fawnwharf.testbed.explore import replace_voters

NAMES, STEP_MS = ("a", "b", "c"), 10.0


class Member:
    """One voter with its coordinator and its lease holder, without sockets or a disk."""

    def __init__(self, fleet, name, index):
        saved = replace_voters(bootstrap_state("a"), NAMES)
        self.fleet, self.name = fleet, name
        self.voter = Voter(name, saved, Voting(), 0.0, 7_919 * index)
        self.coordinator, self.holder = (
            RolloutCoordinator(RolloutTiming(), NAMES),
            LeaseHolder(CAPABILITIES, RolloutTiming(), 1),
        )

    def carry_out(self, effects):
        for effect in effects:
            if isinstance(effect, m.ProposeRegister):
                index, actions = self.voter.propose(self.fleet.now, effect.register, "policy")
                self.carry_out_voter_actions(actions)
                if index is None:
                    self.carry_out(self.coordinator.proposal_not_logged())
            elif isinstance(effect, m.Send):
                self.fleet.send(self.name, effect.to, effect.message)

    def carry_out_voter_actions(self, actions):
        now, voter = self.fleet.now, self.voter
        for action in actions:
            if isinstance(action, consensus.Send):
                self.fleet.send(self.name, action.message.to, action.message)
            elif (
                isinstance(action, consensus.Committed) and action.kind == "policy" and self.coordinator.term
            ):
                self.carry_out(
                    self.coordinator.receive_decision(now, action.text, voter.holds_read_lease(now))
                )

    def receive(self, sender, message):
        now = self.fleet.now
        if isinstance(message, consensus.Message):
            self.carry_out_voter_actions(self.voter.receive(now, message))
        elif isinstance(message, m.Vote | m.LeaseRequest | m.DocumentAdopted):
            self.carry_out(self.coordinator.receive(now, sender, message, self.voter.holds_read_lease(now)))
        else:
            self.carry_out(self.holder.receive(now, sender, message))

    def step(self):
        now, voter = self.fleet.now, self.voter
        self.carry_out_voter_actions(voter.tick(now))
        is_certain = voter.holds_read_lease(now) and voter.commit_index == voter.saved.last_index
        if self.coordinator.term and self.coordinator.term != (voter.is_leader and voter.saved.term):
            self.coordinator.step_down()
        if is_certain and not self.coordinator.term:
            self.carry_out(self.coordinator.lead(now, voter.saved.term, voter.policy[1]))
        if (due_ms := self.coordinator.due_ms()) is not None and now >= due_ms:
            self.carry_out(self.coordinator.tick(now, voter.holds_read_lease(now)))
        if now >= self.holder.due_ms():
            self.carry_out(self.holder.tick(now))


class Fleet:
    def __init__(self):
        self.now, self.in_flight, self.dead = 0.0, [], set()
        self.members = {name: Member(self, name, index) for index, name in enumerate(NAMES)}

    @property
    def leader(self):
        return next(
            (
                name
                for name, member in self.members.items()
                if member.coordinator.term and name not in self.dead
            ),
            None,
        )

    def send(self, sender, to, message):
        to = self.leader if to == m.LEADER else to
        if to and sender not in self.dead:
            self.in_flight.append((sender, to, message))

    def run(self, ms):
        for _ in range(int(ms / STEP_MS)):
            self.now += STEP_MS
            in_flight, self.in_flight = self.in_flight, []
            for sender, to, message in in_flight:
                if not {sender, to} & self.dead:
                    self.members[to].receive(sender, message)
            leased_numbers = set()
            for name, member in self.members.items():
                if name not in self.dead:
                    member.step()
                if member.holder.has_lease(self.now):
                    leased_numbers.add(member.holder.register.last.number)
            assert len(leased_numbers) <= 1
        return leased_numbers

    def propose(self, quota_rps):
        member = self.members[self.leader]
        text = f'{{"version":1,"tenants":{{"t":{{"quota_rps":{quota_rps}}}}}}}'
        member.carry_out(member.coordinator.propose(self.now, text))


def test_a_change_is_decided_by_real_voters_and_outlives_its_leader():
    fleet = Fleet()
    assert fleet.run(6_000) == {0}
    fleet.propose(5)
    assert fleet.run(200) == {1}
    fleet.propose(6)
    first = fleet.leader
    for _ in range(200):
        if parse_register(fleet.members[first].voter.policy[1]).last.number >= 2:
            break
        fleet.run(STEP_MS)
    else:
        raise AssertionError("the second proposal was never decided")
    fleet.dead.add(first)  # the decision is made, but no other member has received it
    assert fleet.run(8_000) == {2}
    assert fleet.leader not in (None, first)
    fleet.propose(7)
    assert fleet.run(200) == {3}


def test_a_prepared_proposal_ends_with_its_leader():
    fleet = Fleet()
    fleet.run(6_000)
    fleet.propose(5)
    first = fleet.leader
    fleet.run(STEP_MS)
    fleet.dead.add(first)
    assert fleet.run(8_000) == {0}
    others = [member for name, member in fleet.members.items() if name != first]
    assert all(member.holder.prepared is None and member.voter.policy[1] == "" for member in others)
