"""Agents at real members of zones in virtual time: words by their logs, decisions by their voters' log."""

import random

import msgspec
import pytest
from support.zone_files import members
from support.zone_fleet import ZoneFleet

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.rollout_coordinator import RolloutTiming
from fawnwharf.policy_rollout.rollout_member import RolloutMember
from fawnwharf.policy_rollout.settings import OperatorRequest
from fawnwharf.policy_rollout.simulation import KNOWN
from fawnwharf.zones.effects import MessagesReceived, RegisterDecided
from fawnwharf.zones.log_lines import ClientMessage

STEP_S = 0.005


class Agents(ZoneFleet):
    """A fleet whose members have agents; their words are carried as the service does it."""

    def __init__(self, zones="abc", known=None, lost=0.0):
        self.agents, self.notes_of, self.disk_of = {}, [], {}
        self.lost, self.chance, self.known = lost, random.Random(5), known or {}
        self.hold = lambda name, line: False
        super().__init__(members(zones, 3))

    def start(self, name, identity, seed=99):
        super().start(name, identity, seed)
        core, before = self.cores[name], self.agents.get(name)
        names = tuple(entry.name for entry in self.file.members)
        self.agents[name] = RolloutMember(
            name, names, self.known.get(name, KNOWN), RolloutTiming(), before.life + 1 if before else 1,
            core.consensus_status, core.voter is not None, self.disk_of.get(name, ""),
        )  # fmt: skip

    def do(self, name, effects):
        super().do(name, effects)
        agent = self.agents[name]
        for effect in effects:
            if isinstance(effect, MessagesReceived):
                self.act(name, agent.heard(self.now, effect.sender, effect.messages))
                if effect.status is not None:
                    agent.standing_of(self.now, effect.sender, effect.status)
            elif isinstance(effect, RegisterDecided):
                self.act(name, agent.decided(self.now, effect.text))
        self.act(name, agent.turned(self.now))

    def act(self, name, effects):
        agent, core = self.agents[name], self.cores[name]
        for effect in effects:
            if isinstance(effect, m.Send):
                to = () if effect.to == m.LEADER else (effect.to,)
                self.tell(name, core.state.make_line(messages=[ClientMessage(effect.message, to)]))
            elif isinstance(effect, m.ProposeRegister):
                put, more = core.propose_register(self.now, effect.register)
                self.do(name, more)
                if not put:
                    self.act(name, agent.not_put(self.now))
            elif isinstance(effect, m.StoreRegister):
                self.disk_of[name] = effect.register
            elif isinstance(effect, m.LogEvent):
                self.notes_of.append((name, effect.event, effect.fields))

    def tell(self, name, line):
        for other in self.file.members:
            lost = self.chance.random() < self.lost
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
            for name in [name for name in self.agents if name not in self.dead]:
                agent = self.agents[name]
                if self.now >= agent.due_ms():
                    self.act(name, agent.tick(self.now))
                self.tell(name, self.cores[name].state.make_line(policy=agent.standing(self.now)))
                if agent.holder.leased(self.now):
                    acting.add(agent.holder.register.last.number)
            assert len(acting) <= 1
        return acting

    def until(self, condition, seconds=12.0):
        for _ in range(round(seconds / STEP_S)):
            if condition():
                return
            self.run(STEP_S)
        raise AssertionError("waited in vain")

    def leader(self):
        return next((n for n in self.agents if n not in self.dead and self.agents[n].leads(self.now)), None)

    def follower(self):
        return next(n for n in self.agents if n not in self.dead and n != self.leader())

    def say(self, name, wish, **word):
        self.act(name, self.agents[name].ask(self.now, wish, OperatorRequest(1, wish, **word)))

    def outcome(self, name, wish):
        return next(w.outcome for w in self.agents[name].wishes if w.outcome.wish == wish)

    def done(self, name, wish):
        self.until(lambda: self.outcome(name, wish).state in m.FINAL_STATES)
        return self.outcome(name, wish)


def quota(rps):
    return {"version": 1, "tenants": {"t": {"quota_rps": rps}}}


def begun(*arguments, **more):
    fleet = Agents(*arguments, **more)
    fleet.until(lambda: all(agent.holder.leased(fleet.now) for agent in fleet.agents.values()), 20.0)
    fleet.run(3.0)  # the leases of a leader before this one would be over
    return fleet


def test_a_change_said_at_any_member_is_in_force_at_all_and_its_outcome_is_told_there():
    fleet = begun("abcab")
    for wish, name in enumerate(("n4", fleet.leader(), fleet.follower()), 1):
        at = fleet.now
        fleet.say(name, wish, propose=quota(wish))
        fleet.until(lambda wish=wish: fleet.run(STEP_S) == {wish})
        assert fleet.now - at < 400.0
        fleet.until(lambda: all(agent.holder.leased(fleet.now) for agent in fleet.agents.values()))
        assert fleet.done(name, wish).state == "in force"
        judged = fleet.agents["n4"].holder.judged_by(fleet.now)
        assert (judged.number, judged.how) == (wish, "leased")
        assert judged.document.value("tenants", "t", "quota_rps") == wish
    fleet.say("n4", 9, back=True)
    assert fleet.done("n4", 9) == m.RequestOutcome("n4", 9, "in force", 4)
    assert fleet.agents["n0"].holder.register.last.value("tenants", "t", "quota_rps") == 2


@pytest.mark.parametrize("reaches", [True, False])
def test_a_leader_that_dies_between_putting_and_deciding_leaves_one_outcome(reaches):
    fleet = begun()
    first, name = fleet.leader(), fleet.follower()
    # It asks its voters, or doesn't get that far; what they answer, and what it says after, is lost.
    fleet.hold = lambda sender, line: line.voter_message is not None and (sender != first or not reaches)
    fleet.say(name, 1, propose=quota(5))
    steward = fleet.agents[first].steward
    fleet.until(lambda: steward.open is not None and steward.open.deciding)
    fleet.run(0.04)
    assert fleet.outcome(name, 1).state == "preparing" and steward.open.deciding
    fleet.dead.add(first)
    fleet.hold = lambda sender, line: False
    found = fleet.done(name, 1)
    assert fleet.leader() not in (None, first)
    expected = (
        ("in force", 1, "") if reaches else ("ended", 1, "its leader was replaced before it was decided")
    )
    assert (found.state, found.number, found.why) == expected
    number = 1 if reaches else 0
    fleet.start(first, f"{first}#0")
    fleet.until(lambda: fleet.agents[first].holder.leased(fleet.now))
    assert {agent.holder.register.last.number for agent in fleet.agents.values()} == {number}
    assert all(agent.holder.prepared is None for agent in fleet.agents.values())
    fleet.say(first, 2, propose=quota(6))
    assert fleet.done(first, 2).number == number + 1


def test_a_leader_that_is_cut_off_rests_and_its_words_count_for_nothing():
    fleet = begun()
    first, name = fleet.leader(), fleet.follower()
    zone = fleet.file.find_member(first).zone
    fleet.part(zone)
    fleet.say(first, 1, propose=quota(5))  # to itself: it does not know yet
    fleet.until(lambda: fleet.leader() not in (None, first))
    fleet.say(name, 1, propose=quota(6))
    assert fleet.done(name, 1).state == "in force"
    assert fleet.agents[first].holder.judged_by(fleet.now).how in ("floor", "strict")
    assert fleet.agents[first].steward.term == 0
    fleet.cut.clear()
    fleet.until(lambda: fleet.agents[first].holder.leased(fleet.now))
    assert {agent.holder.register.last.number for agent in fleet.agents.values()} == {1}
    assert fleet.done(first, 1).state == "ended"


def test_one_no_ends_it_everywhere_and_names_who_and_why():
    other = msgspec.structs.replace(KNOWN, tenants=frozenset({"u"}))
    fleet = begun("abca", known={"n3": other})
    fleet.say("n1", 1, propose=quota(5))
    found = fleet.done("n1", 1)
    assert (found.state, found.why) == ("ended", "n3: tenants.t: no such tenant")
    fleet.run(1.0)
    assert all(agent.holder.register.last.number == 0 for agent in fleet.agents.values())
    assert all(agent.holder.prepared is None for agent in fleet.agents.values())


def test_what_is_prepared_is_called_off_and_what_is_decided_is_not():
    fleet = begun("abca")
    name = fleet.follower()
    fleet.hold = lambda sender, line: sender == "n3"  # its yes does not come
    fleet.say(name, 1, propose=quota(5))
    fleet.until(lambda: fleet.outcome(name, 1).state == "preparing")
    fleet.say(name, 2, call_off="a slip")
    found = fleet.done(name, 1)
    assert (found.state, found.why) == ("ended", "called off a slip")
    assert fleet.done(name, 2).state == "ended"
    fleet.hold = lambda sender, line: False
    fleet.say(name, 3, call_off="")
    assert fleet.done(name, 3) == m.RequestOutcome(name, 3, "refused", 0, "nothing is being prepared")
    fleet.until(lambda: all(agent.holder.leased(fleet.now) for agent in fleet.agents.values()))
    fleet.say(name, 4, back=True)
    assert fleet.done(name, 4).why == "there is none before it"


def test_nothing_rests_on_the_delivery_of_a_word():
    fleet = begun("abcab", lost=0.3)
    for wish in range(1, 5):
        name = f"n{wish}"
        fleet.say(name, wish, propose=quota(wish))
        assert fleet.done(name, wish) == m.RequestOutcome(name, wish, "in force", wish)
    fleet.run(2.0)
    assert {agent.holder.register.last.number for agent in fleet.agents.values()} == {4}


def test_an_old_proposal_that_comes_again_changes_nothing():
    fleet = begun()
    first, name = fleet.leader(), fleet.follower()
    fleet.say(name, 1, propose=quota(5))
    assert fleet.done(name, 1).state == "in force"
    old = fleet.agents[name].wishes[0].message
    fleet.say(name, 2, propose=quota(6))
    assert fleet.done(name, 2).state == "in force"
    fleet.dead.add(first)
    fleet.until(lambda: fleet.leader() not in (None, first))
    fleet.run(3.0)
    leader = fleet.leader()
    fleet.act(leader, fleet.agents[leader].heard(fleet.now, name, (msgspec.to_builtins(old),)))
    fleet.run(1.0)
    assert {fleet.agents[n].holder.register.last.number for n in fleet.agents if n not in fleet.dead} == {2}
    fleet.say(name, 3, propose=quota(6))  # what is in force already is no change
    assert fleet.done(name, 3) == m.RequestOutcome(name, 3, "in force", 2)


def test_one_that_comes_back_goes_by_its_disk_for_limits_alone_and_is_not_ready_before_it_is_told():
    fleet = begun()
    leader = fleet.leader()
    back, name = [n for n in fleet.agents if n != leader]
    fleet.say(name, 1, propose=quota(8))
    fleet.done(name, 1)
    fleet.until(lambda: fleet.agents[back].holder.register.last.number == 1)
    fleet.dead.add(back)
    fleet.say(name, 2, propose=quota(6))
    assert fleet.done(name, 2).state == "in force"  # once its lease was over
    fleet.hold = lambda sender, line: sender == leader and line.messages is not None
    fleet.start(back, f"{back}#0")
    fleet.run(1.0)
    holder = fleet.agents[back].holder
    judged = holder.judged_by(fleet.now)
    assert not holder.ready and judged.how == "waiting" and not fleet.agents[back].standing(0).ready
    assert judged.document.value("tenants", "t", "quota_rps") <= 4.0
    fleet.hold = lambda sender, line: False
    fleet.until(lambda: holder.ready)
    assert holder.register.last.number == 2


def test_bad_words_and_standings_are_counted_and_cost_nothing_else():
    fleet = begun()
    core, agent = fleet.cores["n0"], fleet.agents["n0"]
    line = {"fleet": "f", "sender": "n1"}
    for words in (7, [{}], [{"said": 1, "to": "n0"}], [{"said": 1, "to": ["?"]}]):
        [note] = core.receive_line(fleet.now, "n1", line | {"words": words})
        assert note.event == "malformed messages"
    [heard] = core.receive_line(fleet.now, "n1", line | {"words": [{"said": {"type": "Grant"}}, {"said": 3}]})
    assert agent.heard(fleet.now, "n1", heard.messages) == []
    agent.standing_of(fleet.now, "n1", {"ready": 3})
    assert (
        agent.counts == {"bad word": 2, "bad standing": 1}
        and core.state.drop_counts.dropped["malformed messages"] == 4
    )
    assert not core.receive_line(fleet.now, "n1", line | {"words": [{"said": 1, "to": ["n2"]}]})
    assert fleet.run(1.0) == {0}
