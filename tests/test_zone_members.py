"""A fleet of members of zones in virtual time."""

import heapq
import itertools

import msgspec
import pytest
from support.zone_files import DEAD, GOOD, members, members_data, settings

from fawnwharf.consensus.messages import PersistentState
from fawnwharf.consensus.voter import bootstrap_state
from fawnwharf.zones import plan as p
from fawnwharf.zones import settings as s
from fawnwharf.zones.effects import (
    FollowPlan,
    MessagesReceived,
    PublishLine,
    RegisterDecided,
    SaveVoterState,
    SendVoterMessage,
)
from fawnwharf.zones.log_events import LogEvent
from fawnwharf.zones.log_lines import ClientMessage, LogLineError
from fawnwharf.zones.member_core import MemberCore
from fawnwharf.zones.voter_role import VoterStart


class Fleet:
    """Members' cores, with links that the test cuts; what is cut is lost."""

    def __init__(self, file, seed=1, **more):
        self.file, self.settings, self.now = file, settings(**more), 0.0
        self.order, self.events = itertools.count(), []
        self.cut, self.dead = set(), set()
        self.seen = lambda member, zone: GOOD
        self.disks, self.cores, self.notes, self.lines = {}, {}, [], 0
        self.following = {}
        for n, entry in enumerate(file.members):
            if entry.ballots:
                self.disks[entry.name] = bootstrap_state(entry.name + "#0") if n == 0 else PersistentState()
            self.start(entry.name, f"{entry.name}#0", seed + n)

    def start(self, name, identity, seed=99):
        entry = self.file.named(name)
        voter = (
            VoterStart(identity, seed, self.disks.get(name) or PersistentState()) if entry.ballots else None
        )
        core = MemberCore(name, self.file, self.settings, self.now, voter)
        self.cores[name] = core
        self.dead.discard(name)
        self.push(name, core)

    def push(self, name, core):
        heapq.heappush(self.events, (max(core.due_ms(), self.now + 1.0), next(self.order), name, core, None))

    def run(self, seconds):
        end = self.now + 1000.0 * seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, name, core, line = heapq.heappop(self.events)
            if self.cores[name] is not core or name in self.dead:
                continue
            if line is None:
                entry = self.file.named(name)
                seen = {zone: self.seen(entry, zone) for zone in self.file.zones}
                seen = {zone: signs for zone, signs in seen.items() if signs}
                self.do(name, core.tick(self.now, seen, dict.fromkeys(self.file.zones, 8.0), 0.0))
                self.push(name, core)
            else:
                sender, data, ballots = line
                receive = core.receive_voter_line if ballots else core.receive_line
                self.do(name, receive(self.now, sender, data))
        self.now = end
        return self

    def do(self, name, effects):
        for effect in effects:
            if isinstance(effect, SaveVoterState):
                self.disks[name] = effect.saved
            elif isinstance(effect, PublishLine):
                voter = self.file.named(name).ballots
                for other in self.file.members:
                    if other.name != name and (voter or other.ballots):
                        self.send(name, other.name, effect.line, False)
            elif isinstance(effect, SendVoterMessage):
                self.send(name, effect.to, effect.line, True)
            elif isinstance(effect, FollowPlan):
                self.following[name] = effect
            elif isinstance(effect, LogEvent):
                self.notes.append((self.now, name, effect))

    def send(self, name, to, line, ballots):
        self.lines += 1
        if (name, to) in self.cut or to not in self.cores or to in self.dead:
            return
        data = msgspec.json.decode(msgspec.json.encode(line))
        delay = 2.0 + (self.lines * 7919 % 13)
        heapq.heappush(
            self.events, (self.now + delay, next(self.order), to, self.cores[to], (name, data, ballots))
        )

    def part(self, zone):
        """Cut a zone's members off from all others, both ways."""
        inside = {member.name for member in self.file.members if member.zone == zone}
        names = {member.name for member in self.file.members}
        self.cut |= {(a, b) for a in names for b in names if (a in inside) != (b in inside)}

    def leaders(self):
        return [
            n for n, core in self.cores.items() if n not in self.dead and core.voter and core.voter.is_leader
        ]

    def valid(self):
        return {
            name
            for name, core in self.cores.items()
            if name not in self.dead and core.is_plan_valid(self.now)
        }

    def state(self, name, zone):
        return self.cores[name].plan.zones[zone].state


def test_a_fleet_comes_together_from_one_founder_and_all_follow_its_plan():
    fleet = Fleet(members("abcabcabc", 3)).run(15)
    assert len(fleet.leaders()) == 1
    leader = fleet.cores[fleet.leaders()[0]]
    assert {v.partition("#")[0] for v in leader.voter.saved.voters} == {"n0", "n1", "n2"}
    assert fleet.valid() == set(fleet.cores)
    assert {effect.index for effect in fleet.following.values()} == {leader.plan_index}


def lost(zone):
    return lambda member, other: DEAD if (other == zone) != (member.zone == zone) else GOOD


def test_a_zone_lost_with_the_leader_in_it_is_put_out_by_those_that_are_left():
    fleet = Fleet(members("abcabcabc", 3)).run(15)
    zone = fleet.file.named(fleet.leaders()[0]).zone
    fleet.dead = {member.name for member in fleet.file.members if member.zone == zone}
    fleet.seen = lambda member, other: DEAD if other == zone else GOOD
    fleet.run(12)
    rest = set(fleet.cores) - fleet.dead
    assert fleet.valid() == rest
    assert {fleet.state(name, zone) for name in rest} == {p.OUT}


def test_a_new_leader_need_not_watch_anew_what_it_saw_as_a_follower():
    fleet = Fleet(members("abcabcabc", 3)).run(15)
    zone = fleet.file.named(fleet.leaders()[0]).zone
    lost = fleet.now
    fleet.dead = {member.name for member in fleet.file.members if member.zone == zone}
    fleet.seen = lambda member, other: DEAD if other == zone else GOOD
    fleet.run(6)
    led = min(at for at, _, note in fleet.notes if note.event == "role" and at > lost)
    went = min(at for at, _, note in fleet.notes if note.event == "plan proposed" and at > lost)
    rules = fleet.settings
    assert went - led <= rules.evidence.report_interval_ms
    assert went - lost <= 2 * rules.consensus.election_timeout_ms + 2 * rules.evidence.report_interval_ms


def test_a_minority_decides_nothing_knows_that_its_plan_is_old_and_takes_the_new_one():
    fleet = Fleet(members("abcabcabc", 3)).run(15)
    before = fleet.cores["n0"].plan_index
    fleet.part("a")
    fleet.seen = lost("a")
    cut = fleet.now
    fleet.run(10)
    inside = {"n0", "n3", "n6"}
    assert fleet.valid() == set(fleet.cores) - inside
    assert {fleet.cores[name].plan_index for name in inside} == {before}
    assert all(fleet.following[name].plan is None for name in inside)
    old = [at for at, name, note in fleet.notes if name in inside and note.event == "plan expired"]
    most = fleet.settings.consensus.plan_validity_ms + fleet.settings.consensus.freshness_interval_ms
    assert len(old) == 3 and max(old) - cut <= most
    assert fleet.state("n1", "a") == p.OUT
    fleet.cut.clear()
    fleet.seen = lambda member, zone: GOOD
    fleet.run(3)
    assert fleet.valid() == set(fleet.cores)
    assert len({fleet.cores[name].plan_index for name in fleet.cores}) == 1


def test_a_voter_with_an_empty_disk_is_another_voter_and_is_taken_in_as_such():
    fleet = Fleet(members("abcabc", 3)).run(15)
    fleet.dead.add("n1")
    fleet.run(3)
    fleet.disks["n1"] = PersistentState()
    fleet.start("n1", "n1#1")
    fleet.run(15)
    leader = fleet.cores[fleet.leaders()[0]]
    assert set(leader.voter.saved.voters) == {"n0#0", "n1#1", "n2#0"}
    assert leader.voter.commit_index == leader.voter.saved.last_index


def test_members_change_during_a_failover_and_one_voter_gives_way_to_another():
    file = members("abcabc", 3)
    fleet = Fleet(file).run(15)
    data = members_data("abcabc", 3) | {"number": 2}
    data["members"][4]["ballots"] = data["members"][1].pop("ballots")
    later = s.membership_from(data)
    fleet.seen = lambda member, other: DEAD if other == "c" and member.zone != "c" else GOOD
    fleet.file = later
    fleet.disks["n4"] = PersistentState()
    for name in ("n0", "n1", "n2", "n3", "n5"):
        fleet.do(name, fleet.cores[name].take_membership(later))
    fleet.start("n4", "n4#0")
    fleet.run(20)
    [name] = fleet.leaders()
    assert {v.partition("#")[0] for v in fleet.cores[name].voter.saved.voters} == {"n0", "n2", "n4"}
    assert fleet.cores[name].plan.unreachable  # c serves its own: the others do not reach it
    assert fleet.valid() == set(fleet.cores)


@pytest.mark.parametrize(
    "data",
    [
        None,
        [],
        {"fleet": "f"},
        {"fleet": "other", "sender": "n1"},
        {"fleet": "f", "sender": "n2"},
        {"fleet": "f", "sender": "n1", "plan": "x" * 70_000},
        {"fleet": "f", "sender": "n1", "plan": "{", "index": 999},
        {"fleet": "f", "sender": "n1", "report": {"name": "n2", "zone": "a", "number": 1}},
        {"fleet": "f", "sender": "n1", "report": {"name": "n1", "zone": "a", "number": -1}},
    ],
)
def test_a_line_that_no_member_writes_is_a_fault_and_changes_nothing(data):
    fleet = Fleet(members("abc", 3)).run(10)
    core = fleet.cores["n0"]
    before = (
        core.plan,
        core.plan_index,
        core.state.plan_tracker.confirmed_ms,
        dict(core.state.planner.reports.received),
    )
    with pytest.raises(LogLineError):
        core.receive_line(fleet.now, "n1", data)
    assert before == (
        core.plan,
        core.plan_index,
        core.state.plan_tracker.confirmed_ms,
        dict(core.state.planner.reports.received),
    )


def test_a_forged_ballot_is_a_fault_and_one_of_no_voter_is_counted():
    fleet = Fleet(members("abcabc", 3)).run(10)
    core = fleet.cores["n0"]
    term = core.voter.saved.term
    ballot = {
        "type": "Vote",
        "sender": "n2#0",
        "to": "n0#0",
        "term": term + 9,
        "last_index": 99,
        "last_term": 99,
    }
    with pytest.raises(LogLineError):
        core.receive_voter_line(fleet.now, "n1", {"fleet": "f", "sender": "n1", "ballot": ballot})
    for bad in ({}, {"type": "Vote"}, 7):
        with pytest.raises(LogLineError):
            core.receive_voter_line(fleet.now, "n1", {"fleet": "f", "sender": "n1", "ballot": bad})
    stray = ballot | {"sender": "n4#0"}
    assert core.receive_voter_line(fleet.now, "n4", {"fleet": "f", "sender": "n4", "ballot": stray}) == []
    assert (
        core.voter.saved.term == term and core.state.drop_counts.dropped["voter message of a non-voter"] == 1
    )


def test_an_old_leaders_word_on_an_older_plan_makes_nothing_fresh():
    fleet = Fleet(members("abc", 3)).run(10)
    core = fleet.cores["n0"]
    core.state.plan_tracker.confirmed_ms = None
    line = {"fleet": "f", "sender": "n1", "fresh": True, "index": core.plan_index - 1, "term": 1}
    core.receive_line(fleet.now, "n1", line)
    assert not core.is_plan_valid(fleet.now)
    core.receive_line(fleet.now, "n1", line | {"index": core.plan_index})
    assert core.is_plan_valid(fleet.now)


def test_a_voter_whose_disk_is_an_older_copy_of_itself_is_not_heard():
    fleet = Fleet(members("abcabc", 3)).run(15)
    core = fleet.cores["n0"]
    most = core.voter_role.reported_disk_writes["n1#0"]
    vote = {"type": "Vote", "sender": "n1#0", "to": "n0#0", "term": 999, "last_index": 999, "last_term": 999}
    line = {"fleet": "f", "sender": "n1", "ballot": vote, "saves": most - 1}
    later = fleet.now + 60_000.0  # bound to nobody any more
    [note] = core.receive_voter_line(later, "n1", line)
    assert note.event == "older disk" and core.voter.saved.term < 999
    effects = core.receive_voter_line(later, "n1", line | {"saves": most})
    assert any(isinstance(effect, SaveVoterState) for effect in effects)


def test_words_of_two_riders_are_told_apart_and_one_of_before_there_were_two_is_the_policys():
    fleet = Fleet(members("abc", 3))
    line = {"fleet": "f", "sender": "n1", "policy": 1, "recovery": 2}
    line["words"] = [{"said": "p"}, {"said": "r", "rider": "recovery"}, {"said": "q", "to": ["n2"]}]
    found = fleet.cores["n0"].receive_line(1.0, "n1", line)
    heard = {
        effect.client: (effect.messages, effect.status)
        for effect in found
        if isinstance(effect, MessagesReceived)
    }
    assert heard == {"policy": (("p",), 1), "recovery": (("r",), 2)}
    word = msgspec.json.encode(ClientMessage("p", ("n2",)))
    assert word == b'{"said":"p","to":["n2"]}'  # as it was said before


def test_registers_of_both_kinds_are_decided_at_all_voters_and_stand_in_the_seat():
    fleet, found = Fleet(members("abc", 3)).run(15), {}
    [leader] = fleet.leaders()
    do = fleet.do

    def kept(name, effects):
        found.setdefault(name, []).extend((e.kind, e.text) for e in effects if isinstance(e, RegisterDecided))
        do(name, effects)

    fleet.do = kept
    for text, kind in (("one", "policy"), ("two", "recovery"), ("three", "policy")):
        put, effects = fleet.cores[leader].propose_register(fleet.now, text, kind)
        assert put
        fleet.do(leader, effects)
        fleet.run(0.5)
    assert list(found.values()) == [[("policy", "one"), ("recovery", "two"), ("policy", "three")]] * 3
    seat = fleet.cores[leader].consensus_status(fleet.now)
    assert (seat.policy, seat.recovery, seat.fresh, len(seat.voters)) == ("three", "two", True, 3)


def test_a_disk_is_told_as_written_as_often_as_it_was():
    fleet = Fleet(members("abc", 3))
    kept = dict.fromkeys(fleet.cores, 0)
    do = fleet.do

    def count(name, effects):
        for effect in effects:
            kept[name] += isinstance(effect, SaveVoterState)
            if isinstance(effect, SendVoterMessage):
                assert effect.line.disk_writes == kept[name]
        do(name, effects)

    fleet.do = count
    fleet.run(12)
    assert min(kept.values()) > 2
