"""Rollout coordinators at real voters: what an owner has to do with both, in steps of virtual time."""

from fawnwharf.consensus import messages as a
from fawnwharf.consensus.timing import Timing as Voting
from fawnwharf.consensus.voter import Voter, bootstrap_state
from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import parse_register
from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator, RolloutTiming
from fawnwharf.policy_rollout.simulation import CAPABILITIES
from fawnwharf.testbed.explore import replace_voters

NAMES, STEP_MS = ("a", "b", "c"), 10.0


class Member:
    """One voter with its coordinator and its holder; `serve` does the same with sockets and a disk."""

    def __init__(self, fleet, name, n):
        saved = replace_voters(bootstrap_state("a"), NAMES)
        self.fleet, self.name = fleet, name
        self.voter = Voter(name, saved, Voting(), 0.0, 7_919 * n)
        self.coordinator, self.holder = (
            RolloutCoordinator(RolloutTiming(), NAMES),
            LeaseHolder(CAPABILITIES, RolloutTiming(), 1),
        )

    def does(self, effects):
        for effect in effects:
            if isinstance(effect, m.ProposeRegister):
                index, actions = self.voter.propose(self.fleet.now, effect.register, "policy")
                self.votes(actions)
                if index is None:
                    self.does(self.coordinator.proposal_not_logged())
            elif isinstance(effect, m.Send):
                self.fleet.say(self.name, effect.to, effect.message)

    def votes(self, actions):
        now, voter = self.fleet.now, self.voter
        for action in actions:
            if isinstance(action, a.Send):
                self.fleet.say(self.name, action.message.to, action.message)
            elif isinstance(action, a.Committed) and action.kind == "policy" and self.coordinator.term:
                self.does(self.coordinator.receive_decision(now, action.text, voter.holds_read_lease(now)))

    def takes(self, sender, message):
        now = self.fleet.now
        if isinstance(message, a.Message):
            self.votes(self.voter.receive(now, message))
        elif isinstance(message, m.Vote | m.LeaseRequest | m.DocumentAdopted):
            self.does(self.coordinator.receive(now, sender, message, self.voter.holds_read_lease(now)))
        else:
            self.does(self.holder.receive(now, sender, message))

    def step(self):
        now, voter = self.fleet.now, self.voter
        self.votes(voter.tick(now))
        settled = voter.holds_read_lease(now) and voter.commit_index == voter.saved.last_index
        if self.coordinator.term and self.coordinator.term != (voter.is_leader and voter.saved.term):
            self.coordinator.step_down()
        if settled and not self.coordinator.term:
            self.does(self.coordinator.lead(now, voter.saved.term, voter.policy[1]))
        if (due := self.coordinator.due_ms()) is not None and now >= due:
            self.does(self.coordinator.tick(now, voter.holds_read_lease(now)))
        if now >= self.holder.due_ms():
            self.does(self.holder.tick(now))


class Fleet:
    def __init__(self):
        self.now, self.flying, self.dead = 0.0, [], set()
        self.members = {name: Member(self, name, n) for n, name in enumerate(NAMES)}

    @property
    def leader(self):
        return next((n for n, o in self.members.items() if o.coordinator.term and n not in self.dead), None)

    def say(self, sender, to, message):
        to = self.leader if to == m.LEADER else to
        if to and sender not in self.dead:
            self.flying.append((sender, to, message))

    def run(self, ms):
        for _ in range(int(ms / STEP_MS)):
            self.now += STEP_MS
            flying, self.flying = self.flying, []
            for sender, to, message in flying:
                if not {sender, to} & self.dead:
                    self.members[to].takes(sender, message)
            acting = set()
            for name, member in self.members.items():
                if name not in self.dead:
                    member.step()
                if member.holder.has_lease(self.now):
                    acting.add(member.holder.register.last.number)
            assert len(acting) <= 1
        return acting

    def propose(self, rps):
        member = self.members[self.leader]
        text = f'{{"version":1,"tenants":{{"t":{{"quota_rps":{rps}}}}}}}'
        member.does(member.coordinator.propose(self.now, text))


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
        raise AssertionError("never decided")
    fleet.dead.add(first)  # decided, and nobody was told
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
    others = [o for n, o in fleet.members.items() if n != first]
    assert all(o.holder.prepared is None and o.voter.policy[1] == "" for o in others)
