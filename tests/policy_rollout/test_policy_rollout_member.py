"""Policy rollouts with real zone members in virtual time: messages in their logs, decisions by voters."""

import random

import msgspec
import pytest
from support.zone_files import members
from support.zone_fleet import ZoneFleet

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.rollout_member import RolloutMember
from fawnwharf.policy_rollout.rollout_state import RolloutTiming
from fawnwharf.policy_rollout.settings import PolicyRequest
from fawnwharf.policy_rollout.simulation import CAPABILITIES
from fawnwharf.zones.effects import MessagesReceived, RegisterDecided
from fawnwharf.zones.log_lines import ClientMessage

STEP_S = 0.005


def _drop_nothing(_sender, _line):
    return False


class RolloutFleet(ZoneFleet):
    """A fleet whose members take part in policy rollouts; `drops` selects the lines that are lost."""

    def __init__(self, zones="abc", capabilities=None, lost=0.0):
        self.rollouts, self.log_events, self.disk_of = {}, [], {}
        self.lost, self.random, self.capabilities = lost, random.Random(5), capabilities or {}
        self.drops = _drop_nothing
        super().__init__(members(zones, 3))

    def start(self, name, identity, seed=99):
        super().start(name, identity, seed)
        core, before = self.cores[name], self.rollouts.get(name)
        names = tuple(entry.name for entry in self.file.members)
        self.rollouts[name] = RolloutMember(
            name,
            names,
            self.capabilities.get(name, CAPABILITIES),
            RolloutTiming(),
            before.incarnation + 1 if before else 1,
            core.consensus_status,
            core.voter is not None,
            self.disk_of.get(name, ""),
        )

    def do(self, name, effects):
        super().do(name, effects)
        member = self.rollouts[name]
        for effect in effects:
            if isinstance(effect, MessagesReceived):
                self.carry_out(name, member.receive(self.now, effect.sender, effect.messages))
                if effect.status is not None:
                    member.receive_status(self.now, effect.sender, effect.status)
            elif isinstance(effect, RegisterDecided):
                self.carry_out(name, member.receive_decision(self.now, effect.text))
        self.carry_out(name, member.leadership_changed(self.now))

    def carry_out(self, name, effects):
        member, core = self.rollouts[name], self.cores[name]
        for effect in effects:
            if isinstance(effect, m.Send):
                to = () if effect.to == m.LEADER else (effect.to,)
                self.broadcast(name, core.state.make_line(messages=[ClientMessage(effect.message, to)]))
            elif isinstance(effect, m.ProposeRegister):
                proposed, more = core.propose_register(self.now, effect.register)
                self.do(name, more)
                if not proposed:
                    self.carry_out(name, member.proposal_not_logged(self.now))
            elif isinstance(effect, m.StoreRegister):
                self.disk_of[name] = effect.register
            elif isinstance(effect, m.RolloutLogEvent):
                self.log_events.append((name, effect.event, effect.fields))

    def broadcast(self, name, line):
        for other in self.file.members:
            lost = self.random.random() < self.lost
            voter = self.file.find_member(name).voter_address or other.voter_address
            if other.name != name and voter and not lost:
                self.send(name, other.name, line, False)

    def send(self, name, to, line, ballots):
        if not self.drops(name, line):
            super().send(name, to, line, ballots)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            super().run(STEP_S)
            leased_numbers = set()
            for name in [name for name in self.rollouts if name not in self.dead]:
                member = self.rollouts[name]
                if self.now >= member.due_ms():
                    self.carry_out(name, member.tick(self.now))
                self.broadcast(name, self.cores[name].state.make_line(policy=member.status(self.now)))
                if member.holder.has_lease(self.now):
                    leased_numbers.add(member.holder.register.last.number)
            assert len(leased_numbers) <= 1
        return leased_numbers

    def until(self, condition, seconds=12.0):
        for _ in range(round(seconds / STEP_S)):
            if condition():
                return
            self.run(STEP_S)
        raise AssertionError(f"condition not met within {seconds} s of virtual time")

    def leader(self):
        return next(
            (n for n in self.rollouts if n not in self.dead and self.rollouts[n].is_leader(self.now)), None
        )

    def follower(self):
        return next(n for n in self.rollouts if n not in self.dead and n != self.leader())

    def request(self, name, number, **request):
        self.carry_out(name, self.rollouts[name].submit(self.now, PolicyRequest(1, number, **request)))

    def outcome(self, name, number):
        return next(
            request.outcome
            for request in self.rollouts[name].submitted
            if request.outcome.request_number == number
        )

    def final_outcome(self, name, number):
        self.until(lambda: self.outcome(name, number).state in m.FINAL_STATES)
        return self.outcome(name, number)


def quota_document(rps):
    return {"version": 1, "tenants": {"t": {"quota_rps": rps}}}


def started_fleet(*arguments, **more):
    fleet = RolloutFleet(*arguments, **more)
    fleet.until(lambda: all(member.holder.has_lease(fleet.now) for member in fleet.rollouts.values()), 20.0)
    fleet.run(3.0)  # longer than any lease that an earlier leader can have granted
    return fleet


def test_a_change_requested_at_any_member_is_in_force_at_all_and_its_outcome_is_reported_there():
    fleet = started_fleet("abcab")
    for number, name in enumerate(("n4", fleet.leader(), fleet.follower()), 1):
        at = fleet.now
        fleet.request(name, number, propose=quota_document(number))
        fleet.until(lambda number=number: fleet.run(STEP_S) == {number})
        assert fleet.now - at < 400.0
        fleet.until(lambda: all(member.holder.has_lease(fleet.now) for member in fleet.rollouts.values()))
        assert fleet.final_outcome(name, number).state == "in force"
        policy = fleet.rollouts["n4"].holder.policy_at(fleet.now)
        assert (policy.number, policy.basis) == (number, "leased")
        assert policy.document.value("tenants", "t", "quota_rps") == number
    fleet.request("n4", 9, rollback=True)
    assert fleet.final_outcome("n4", 9) == m.RequestOutcome("n4", 9, "in force", 4)
    assert fleet.rollouts["n0"].holder.register.last.value("tenants", "t", "quota_rps") == 2


@pytest.mark.parametrize("voters_receive_proposal", [True, False])
def test_a_leader_that_dies_between_proposing_and_deciding_leaves_one_outcome(voters_receive_proposal):
    fleet = started_fleet()
    first_leader, name = fleet.leader(), fleet.follower()
    # The leader's proposal reaches the other voters or not; all answers of the other voters are lost.
    fleet.drops = lambda sender, line: (
        line.voter_message is not None and (sender != first_leader or not voters_receive_proposal)
    )
    fleet.request(name, 1, propose=quota_document(5))
    coordinator = fleet.rollouts[first_leader].coordinator
    fleet.until(lambda: coordinator.proposal is not None and coordinator.proposal.deciding)
    fleet.run(0.04)
    assert fleet.outcome(name, 1).state == "preparing"
    assert coordinator.proposal.deciding
    fleet.dead.add(first_leader)
    fleet.drops = _drop_nothing
    outcome = fleet.final_outcome(name, 1)
    assert fleet.leader() not in (None, first_leader)
    expected = (
        ("in force", 1, "")
        if voters_receive_proposal
        else ("ended", 1, "its leader was replaced before it was decided")
    )
    assert (outcome.state, outcome.number, outcome.reason) == expected
    number = 1 if voters_receive_proposal else 0
    fleet.start(first_leader, f"{first_leader}#0")
    fleet.until(lambda: fleet.rollouts[first_leader].holder.has_lease(fleet.now))
    assert {member.holder.register.last.number for member in fleet.rollouts.values()} == {number}
    assert all(member.holder.prepared is None for member in fleet.rollouts.values())
    fleet.request(first_leader, 2, propose=quota_document(6))
    assert fleet.final_outcome(first_leader, 2).number == number + 1


def test_a_leader_that_is_partitioned_steps_down_and_its_messages_are_ignored():
    fleet = started_fleet()
    first_leader, name = fleet.leader(), fleet.follower()
    zone = fleet.file.find_member(first_leader).zone
    fleet.part(zone)
    fleet.request(first_leader, 1, propose=quota_document(5))  # the partitioned leader still leads
    fleet.until(lambda: fleet.leader() not in (None, first_leader))
    fleet.request(name, 1, propose=quota_document(6))
    assert fleet.final_outcome(name, 1).state == "in force"
    assert fleet.rollouts[first_leader].holder.policy_at(fleet.now).basis in ("floor", "strict")
    assert fleet.rollouts[first_leader].coordinator.term == 0
    fleet.cut.clear()
    fleet.until(lambda: fleet.rollouts[first_leader].holder.has_lease(fleet.now))
    assert {member.holder.register.last.number for member in fleet.rollouts.values()} == {1}
    assert fleet.final_outcome(first_leader, 1).state == "ended"


def test_one_rejection_ends_a_proposal_everywhere_and_names_member_and_reason():
    other = msgspec.structs.replace(CAPABILITIES, tenants=frozenset({"u"}))
    fleet = started_fleet("abca", capabilities={"n3": other})
    fleet.request("n1", 1, propose=quota_document(5))
    outcome = fleet.final_outcome("n1", 1)
    assert (outcome.state, outcome.reason) == ("ended", "n3: tenants.t: no such tenant")
    fleet.run(1.0)
    assert all(member.holder.register.last.number == 0 for member in fleet.rollouts.values())
    assert all(member.holder.prepared is None for member in fleet.rollouts.values())


def test_a_prepared_proposal_is_cancelled_and_a_decided_one_is_not():
    fleet = started_fleet("abca")
    name = fleet.follower()
    fleet.drops = lambda sender, _: sender == "n3"  # its vote is lost
    fleet.request(name, 1, propose=quota_document(5))
    fleet.until(lambda: fleet.outcome(name, 1).state == "preparing")
    fleet.request(name, 2, cancel="a slip")
    outcome = fleet.final_outcome(name, 1)
    assert (outcome.state, outcome.reason) == ("ended", "cancelled a slip")
    assert fleet.final_outcome(name, 2).state == "ended"
    fleet.drops = _drop_nothing
    fleet.request(name, 3, cancel="")
    assert fleet.final_outcome(name, 3) == m.RequestOutcome(
        name, 3, "refused", 0, "nothing is being prepared"
    )
    fleet.until(lambda: all(member.holder.has_lease(fleet.now) for member in fleet.rollouts.values()))
    fleet.request(name, 4, rollback=True)
    assert fleet.final_outcome(name, 4).reason == "there is none before it"


def test_nothing_depends_on_the_delivery_of_a_message():
    fleet = started_fleet("abcab", lost=0.3)
    for number in range(1, 5):
        name = f"n{number}"
        fleet.request(name, number, propose=quota_document(number))
        assert fleet.final_outcome(name, number) == m.RequestOutcome(name, number, "in force", number)
    fleet.run(2.0)
    assert {member.holder.register.last.number for member in fleet.rollouts.values()} == {4}


def test_a_late_duplicate_of_a_proposal_changes_nothing():
    fleet = started_fleet()
    first_leader, name = fleet.leader(), fleet.follower()
    fleet.request(name, 1, propose=quota_document(5))
    assert fleet.final_outcome(name, 1).state == "in force"
    old = fleet.rollouts[name].submitted.requests[0].message
    fleet.request(name, 2, propose=quota_document(6))
    assert fleet.final_outcome(name, 2).state == "in force"
    fleet.dead.add(first_leader)
    fleet.until(lambda: fleet.leader() not in (None, first_leader))
    fleet.run(3.0)
    leader = fleet.leader()
    fleet.carry_out(leader, fleet.rollouts[leader].receive(fleet.now, name, (msgspec.to_builtins(old),)))
    fleet.run(1.0)
    assert {fleet.rollouts[n].holder.register.last.number for n in fleet.rollouts if n not in fleet.dead} == {
        2
    }
    fleet.request(name, 3, propose=quota_document(6))  # already in force, so no new number is needed
    assert fleet.final_outcome(name, 3) == m.RequestOutcome(name, 3, "in force", 2)


def test_a_restarted_member_uses_its_disk_for_limits_only_and_is_not_ready_before_a_leader_answers():
    fleet = started_fleet()
    leader = fleet.leader()
    restarted, name = [n for n in fleet.rollouts if n != leader]
    fleet.request(name, 1, propose=quota_document(8))
    fleet.final_outcome(name, 1)
    fleet.until(lambda: fleet.rollouts[restarted].holder.register.last.number == 1)
    fleet.dead.add(restarted)
    fleet.request(name, 2, propose=quota_document(6))
    assert fleet.final_outcome(name, 2).state == "in force"  # after the lease of the dead member has expired
    fleet.drops = lambda sender, line: sender == leader and line.messages is not None
    fleet.start(restarted, f"{restarted}#0")
    fleet.run(1.0)
    holder = fleet.rollouts[restarted].holder
    policy = holder.policy_at(fleet.now)
    assert not holder.ready
    assert policy.basis == "waiting"
    assert not fleet.rollouts[restarted].status(0).ready
    assert policy.document.value("tenants", "t", "quota_rps") <= 4.0
    fleet.drops = _drop_nothing
    fleet.until(lambda: holder.ready)
    assert holder.register.last.number == 2


def test_invalid_messages_and_statuses_are_counted_and_change_nothing_else():
    fleet = started_fleet()
    core, member = fleet.cores["n0"], fleet.rollouts["n0"]
    line = {"fleet": "f", "sender": "n1"}
    for words in (7, [{}], [{"said": 1, "to": "n0"}], [{"said": 1, "to": ["?"]}]):
        [event] = core.receive_line(fleet.now, "n1", line | {"words": words})
        assert event.event == "malformed messages"
    [received] = core.receive_line(
        fleet.now, "n1", line | {"words": [{"said": {"type": "Grant"}}, {"said": 3}]}
    )
    assert member.receive(fleet.now, "n1", received.messages) == []
    member.receive_status(fleet.now, "n1", {"ready": 3})
    assert member.dropped == {"invalid message": 2, "invalid status": 1}
    assert core.state.drop_counts.dropped["malformed messages"] == 4
    assert not core.receive_line(fleet.now, "n1", line | {"words": [{"said": 1, "to": ["n2"]}]})
    assert fleet.run(1.0) == {0}
