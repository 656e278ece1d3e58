"""Policy rollouts at real zone members in virtual time: messages by their logs, decisions by voters."""

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


def _hold_nothing(_sender, _line):
    return False


class RolloutFleet(ZoneFleet):
    """A fleet whose members take part in rollouts; their messages are sent as the service does it."""

    def __init__(self, zones="abc", capabilities=None, lost=0.0):
        self.rollouts, self.log_events, self.disk_of = {}, [], {}
        self.lost, self.random, self.capabilities = lost, random.Random(5), capabilities or {}
        self.hold = _hold_nothing
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
                self.act(name, member.receive(self.now, effect.sender, effect.messages))
                if effect.status is not None:
                    member.receive_status(self.now, effect.sender, effect.status)
            elif isinstance(effect, RegisterDecided):
                self.act(name, member.receive_decision(self.now, effect.text))
        self.act(name, member.leadership_changed(self.now))

    def act(self, name, effects):
        member, core = self.rollouts[name], self.cores[name]
        for effect in effects:
            if isinstance(effect, m.Send):
                to = () if effect.to == m.LEADER else (effect.to,)
                self.tell(name, core.state.make_line(messages=[ClientMessage(effect.message, to)]))
            elif isinstance(effect, m.ProposeRegister):
                put, more = core.propose_register(self.now, effect.register)
                self.do(name, more)
                if not put:
                    self.act(name, member.proposal_not_logged(self.now))
            elif isinstance(effect, m.StoreRegister):
                self.disk_of[name] = effect.register
            elif isinstance(effect, m.RolloutLogEvent):
                self.log_events.append((name, effect.event, effect.fields))

    def tell(self, name, line):
        for other in self.file.members:
            lost = self.random.random() < self.lost
            voter = self.file.find_member(name).voter_address or other.voter_address
            if other.name != name and voter and not lost:
                self.send(name, other.name, line, False)

    def send(self, name, to, line, ballots):
        if not self.hold(name, line):
            super().send(name, to, line, ballots)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            super().run(STEP_S)
            acting = set()
            for name in [name for name in self.rollouts if name not in self.dead]:
                member = self.rollouts[name]
                if self.now >= member.due_ms():
                    self.act(name, member.tick(self.now))
                self.tell(name, self.cores[name].state.make_line(policy=member.status(self.now)))
                if member.holder.has_lease(self.now):
                    acting.add(member.holder.register.last.number)
            assert len(acting) <= 1
        return acting

    def until(self, condition, seconds=12.0):
        for _ in range(round(seconds / STEP_S)):
            if condition():
                return
            self.run(STEP_S)
        raise AssertionError("waited in vain")

    def leader(self):
        return next(
            (n for n in self.rollouts if n not in self.dead and self.rollouts[n].is_leader(self.now)), None
        )

    def follower(self):
        return next(n for n in self.rollouts if n not in self.dead and n != self.leader())

    def request(self, name, number, **request):
        self.act(name, self.rollouts[name].submit(self.now, PolicyRequest(1, number, **request)))

    def outcome(self, name, number):
        return next(
            request.outcome
            for request in self.rollouts[name].submitted
            if request.outcome.request_number == number
        )

    def done(self, name, number):
        self.until(lambda: self.outcome(name, number).state in m.FINAL_STATES)
        return self.outcome(name, number)


def quota(rps):
    return {"version": 1, "tenants": {"t": {"quota_rps": rps}}}


def begun(*arguments, **more):
    fleet = RolloutFleet(*arguments, **more)
    fleet.until(lambda: all(member.holder.has_lease(fleet.now) for member in fleet.rollouts.values()), 20.0)
    fleet.run(3.0)  # the leases of a leader before this one would be over
    return fleet


def test_a_change_requested_at_any_member_is_in_force_at_all_and_its_outcome_is_reported_there():
    fleet = begun("abcab")
    for number, name in enumerate(("n4", fleet.leader(), fleet.follower()), 1):
        at = fleet.now
        fleet.request(name, number, propose=quota(number))
        fleet.until(lambda number=number: fleet.run(STEP_S) == {number})
        assert fleet.now - at < 400.0
        fleet.until(lambda: all(member.holder.has_lease(fleet.now) for member in fleet.rollouts.values()))
        assert fleet.done(name, number).state == "in force"
        policy = fleet.rollouts["n4"].holder.policy_at(fleet.now)
        assert (policy.number, policy.basis) == (number, "leased")
        assert policy.document.value("tenants", "t", "quota_rps") == number
    fleet.request("n4", 9, rollback=True)
    assert fleet.done("n4", 9) == m.RequestOutcome("n4", 9, "in force", 4)
    assert fleet.rollouts["n0"].holder.register.last.value("tenants", "t", "quota_rps") == 2


@pytest.mark.parametrize("reaches", [True, False])
def test_a_leader_that_dies_between_proposing_and_deciding_leaves_one_outcome(reaches):
    fleet = begun()
    first, name = fleet.leader(), fleet.follower()
    # It asks its voters, or doesn't get that far; what they answer, and what it says after, is lost.
    fleet.hold = lambda sender, line: line.voter_message is not None and (sender != first or not reaches)
    fleet.request(name, 1, propose=quota(5))
    coordinator = fleet.rollouts[first].coordinator
    fleet.until(lambda: coordinator.proposal is not None and coordinator.proposal.deciding)
    fleet.run(0.04)
    assert fleet.outcome(name, 1).state == "preparing"
    assert coordinator.proposal.deciding
    fleet.dead.add(first)
    fleet.hold = _hold_nothing
    found = fleet.done(name, 1)
    assert fleet.leader() not in (None, first)
    expected = (
        ("in force", 1, "") if reaches else ("ended", 1, "its leader was replaced before it was decided")
    )
    assert (found.state, found.number, found.reason) == expected
    number = 1 if reaches else 0
    fleet.start(first, f"{first}#0")
    fleet.until(lambda: fleet.rollouts[first].holder.has_lease(fleet.now))
    assert {member.holder.register.last.number for member in fleet.rollouts.values()} == {number}
    assert all(member.holder.prepared is None for member in fleet.rollouts.values())
    fleet.request(first, 2, propose=quota(6))
    assert fleet.done(first, 2).number == number + 1


def test_a_leader_that_is_partitioned_steps_down_and_its_messages_are_ignored():
    fleet = begun()
    first, name = fleet.leader(), fleet.follower()
    zone = fleet.file.find_member(first).zone
    fleet.part(zone)
    fleet.request(first, 1, propose=quota(5))  # to itself: it does not know yet
    fleet.until(lambda: fleet.leader() not in (None, first))
    fleet.request(name, 1, propose=quota(6))
    assert fleet.done(name, 1).state == "in force"
    assert fleet.rollouts[first].holder.policy_at(fleet.now).basis in ("floor", "strict")
    assert fleet.rollouts[first].coordinator.term == 0
    fleet.cut.clear()
    fleet.until(lambda: fleet.rollouts[first].holder.has_lease(fleet.now))
    assert {member.holder.register.last.number for member in fleet.rollouts.values()} == {1}
    assert fleet.done(first, 1).state == "ended"


def test_one_rejection_ends_a_proposal_everywhere_and_names_member_and_reason():
    other = msgspec.structs.replace(CAPABILITIES, tenants=frozenset({"u"}))
    fleet = begun("abca", capabilities={"n3": other})
    fleet.request("n1", 1, propose=quota(5))
    found = fleet.done("n1", 1)
    assert (found.state, found.reason) == ("ended", "n3: tenants.t: no such tenant")
    fleet.run(1.0)
    assert all(member.holder.register.last.number == 0 for member in fleet.rollouts.values())
    assert all(member.holder.prepared is None for member in fleet.rollouts.values())


def test_a_prepared_proposal_is_cancelled_and_a_decided_one_is_not():
    fleet = begun("abca")
    name = fleet.follower()
    fleet.hold = lambda sender, _: sender == "n3"  # its yes does not come
    fleet.request(name, 1, propose=quota(5))
    fleet.until(lambda: fleet.outcome(name, 1).state == "preparing")
    fleet.request(name, 2, cancel="a slip")
    found = fleet.done(name, 1)
    assert (found.state, found.reason) == ("ended", "cancelled a slip")
    assert fleet.done(name, 2).state == "ended"
    fleet.hold = _hold_nothing
    fleet.request(name, 3, cancel="")
    assert fleet.done(name, 3) == m.RequestOutcome(name, 3, "refused", 0, "nothing is being prepared")
    fleet.until(lambda: all(member.holder.has_lease(fleet.now) for member in fleet.rollouts.values()))
    fleet.request(name, 4, rollback=True)
    assert fleet.done(name, 4).reason == "there is no earlier policy"


def test_nothing_depends_on_the_delivery_of_a_message():
    fleet = begun("abcab", lost=0.3)
    for number in range(1, 5):
        name = f"n{number}"
        fleet.request(name, number, propose=quota(number))
        assert fleet.done(name, number) == m.RequestOutcome(name, number, "in force", number)
    fleet.run(2.0)
    assert {member.holder.register.last.number for member in fleet.rollouts.values()} == {4}


def test_a_late_duplicate_of_a_proposal_changes_nothing():
    fleet = begun()
    first, name = fleet.leader(), fleet.follower()
    fleet.request(name, 1, propose=quota(5))
    assert fleet.done(name, 1).state == "in force"
    old = fleet.rollouts[name].submitted.requests[0].message
    fleet.request(name, 2, propose=quota(6))
    assert fleet.done(name, 2).state == "in force"
    fleet.dead.add(first)
    fleet.until(lambda: fleet.leader() not in (None, first))
    fleet.run(3.0)
    leader = fleet.leader()
    fleet.act(leader, fleet.rollouts[leader].receive(fleet.now, name, (msgspec.to_builtins(old),)))
    fleet.run(1.0)
    assert {fleet.rollouts[n].holder.register.last.number for n in fleet.rollouts if n not in fleet.dead} == {
        2
    }
    fleet.request(name, 3, propose=quota(6))  # what is in force already is no change
    assert fleet.done(name, 3) == m.RequestOutcome(name, 3, "in force", 2)


def test_a_restarted_member_uses_its_disk_for_limits_only_and_is_not_ready_before_a_leader_answers():
    fleet = begun()
    leader = fleet.leader()
    back, name = [n for n in fleet.rollouts if n != leader]
    fleet.request(name, 1, propose=quota(8))
    fleet.done(name, 1)
    fleet.until(lambda: fleet.rollouts[back].holder.register.last.number == 1)
    fleet.dead.add(back)
    fleet.request(name, 2, propose=quota(6))
    assert fleet.done(name, 2).state == "in force"  # once its lease was over
    fleet.hold = lambda sender, line: sender == leader and line.messages is not None
    fleet.start(back, f"{back}#0")
    fleet.run(1.0)
    holder = fleet.rollouts[back].holder
    policy = holder.policy_at(fleet.now)
    assert not holder.ready
    assert policy.basis == "waiting"
    assert not fleet.rollouts[back].status(0).ready
    assert policy.document.value("tenants", "t", "quota_rps") <= 4.0
    fleet.hold = _hold_nothing
    fleet.until(lambda: holder.ready)
    assert holder.register.last.number == 2


def test_invalid_messages_and_statuses_are_counted_and_change_nothing_else():
    fleet = begun()
    core, member = fleet.cores["n0"], fleet.rollouts["n0"]
    line = {"fleet": "f", "sender": "n1"}
    for words in (7, [{}], [{"said": 1, "to": "n0"}], [{"said": 1, "to": ["?"]}]):
        [note] = core.receive_line(fleet.now, "n1", line | {"words": words})
        assert note.event == "malformed messages"
    [heard] = core.receive_line(fleet.now, "n1", line | {"words": [{"said": {"type": "Grant"}}, {"said": 3}]})
    assert member.receive(fleet.now, "n1", heard.messages) == []
    member.receive_status(fleet.now, "n1", {"ready": 3})
    assert member.dropped == {"invalid message": 2, "invalid status": 1}
    assert core.state.drop_counts.dropped["malformed messages"] == 4
    assert not core.receive_line(fleet.now, "n1", line | {"words": [{"said": 1, "to": ["n2"]}]})
    assert fleet.run(1.0) == {0}
