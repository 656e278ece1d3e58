"""Voters: scripted cases."""

import math

import msgspec
import pytest

from fawnwharf.consensus import messages as m
from fawnwharf.consensus.committed_log import REGISTER_KINDS
from fawnwharf.consensus.timing import Timing
from fawnwharf.consensus.voter import SNAPSHOT_AFTER, Voter, bootstrap_state
from fawnwharf.consensus.voter_state import Role
from fawnwharf.testbed.explore import replace_voters

TIMING = Timing(heartbeat_ms=100.0, election_timeout_ms=500.0, clock_skew=0.1)


class Fleet:
    """Voters whose messages arrive in order and at once, but where a link is cut."""

    def __init__(self, *names, members=None, kind=Voter):
        self.now, self.kind, self.cut = 0.0, kind, set()
        members = members or names
        made = replace_voters(bootstrap_state(members[0]), members)
        self.disks = {name: made if name in members else m.PersistentState() for name in names}
        self.voters = {name: self.born(name) for name in names}
        self.decided, self.held = {name: [] for name in names}, []

    def born(self, name):
        return self.kind(name, self.disks[name], TIMING, self.now, sum(name.encode()))

    def __getitem__(self, name):
        return self.voters[name]

    def restart(self, name):
        self.voters[name] = self.born(name)

    def do(self, name, actions):
        for action in actions:
            if isinstance(action, m.Persist):
                self.disks[name] = action.saved
            elif isinstance(action, m.Send):
                self.held.append(action.message)
            else:
                self.decided[name].append((action.index, action.kind, action.text or action.voters))

    def settle(self):
        while self.held:
            message = self.held.pop(0)
            if not {message.sender, message.to} & self.cut and message.to in self.voters:
                self.do(message.to, self[message.to].receive(self.now, message))

    def elect(self, name):
        """The one that runs out of patience first, with all others free to vote."""
        self.now += 2_000.0
        self[name].due_ms = self.now
        self.do(name, self[name].tick(self.now))
        self.settle()
        return self[name]

    def propose(self, name, plan):
        index, actions = self[name].propose(self.now, plan)
        self.do(name, actions)
        self.settle()
        return index

    def beat(self, name):
        self.now += TIMING.heartbeat_ms
        self.do(name, self[name].tick(self.now))
        self.settle()


def test_a_plan_is_decided_once_a_majority_holds_it_and_all_hear_of_it():
    fleet = Fleet("a", "b", "c")
    assert fleet.elect("a").is_leader
    index = fleet.propose("a", "one")
    fleet.beat("a")
    assert [fleet[name].plan for name in "abc"] == [(index, "one")] * 3
    assert all((index, "plan", "one") in fleet.decided[name] for name in "abc")
    assert fleet["a"].holds_read_lease(fleet.now) and not fleet["b"].holds_read_lease(fleet.now)


def test_a_minority_decides_nothing_and_knows_within_a_lease_that_its_plan_may_be_old():
    fleet = Fleet("a", "b", "c", "d", "e")
    fleet.elect("a")
    fleet.propose("a", "one")
    fleet.cut = {"c", "d", "e"}
    fleet.propose("a", "two")
    assert fleet["a"].plan[1] == "one"
    heard = fleet.now
    assert fleet["a"].holds_read_lease(heard + TIMING.lease_ms - 1)
    assert not fleet["a"].holds_read_lease(heard + TIMING.lease_ms + 1)
    fleet.now = heard + 2 * TIMING.election_timeout_ms
    fleet["a"].tick(fleet.now)
    assert fleet["a"].role is Role.FOLLOWER


def test_what_a_cut_off_leader_left_open_gives_way_to_what_the_majority_decided():
    fleet = Fleet("a", "b", "c")
    fleet.elect("a")
    fleet.cut = {"a"}
    fleet.propose("a", "lost")
    fleet.elect("b")
    index = fleet.propose("b", "kept")
    fleet.cut = set()
    fleet.beat("b")
    fleet.beat("b")
    assert [fleet[name].plan for name in "abc"] == [(index, "kept")] * 3
    assert not any("lost" in str(entry) for entry in fleet.disks["a"].entries)


def test_an_entry_of_an_earlier_term_is_not_decided_by_counting_its_holders():
    """Figure 8 of the paper: held by a majority, and still to be overwritten by one with a later entry."""
    snapshot = m.Snapshot(1, 1, voters=("a", "b", "c"))
    old, own = m.Entry(2, "plan", text="old"), m.Entry(4, "none")
    leader = Voter("a", m.PersistentState(4, "a", snapshot, (old, own)), TIMING, 0.0, 1)
    leader.role = Role.LEADER
    assert leader.receive(0.0, m.AppendEntriesResponse("c", "a", 4, True, 2, 0.0)) == [
        m.Send(m.AppendEntriesRequest("a", "c", 4, 2, 2, (own,), 1, 0.0))
    ]
    decided = leader.receive(0.0, m.AppendEntriesResponse("c", "a", 4, True, 3, 0.0))
    assert [action.index for action in decided if isinstance(action, m.Committed)] == [2, 3]


def test_a_voter_that_hears_a_leader_votes_for_nobody_else_and_keeps_its_term():
    fleet = Fleet("a", "b", "c")
    fleet.elect("a")
    term = fleet["b"].saved.term
    stray = m.VoteRequest("c", "b", term + 7, 99, term + 6)
    assert fleet["b"].receive(fleet.now + 1, stray) == []
    assert fleet["b"].saved.term == term
    late = fleet.now + TIMING.election_timeout_ms + 1
    assert any(isinstance(action, m.Persist) for action in fleet["b"].receive(late, stray))


def test_a_voter_that_has_just_come_back_is_bound_as_if_it_had_heard_a_leader():
    fleet = Fleet("a", "b", "c")
    fleet.elect("a")
    fleet.restart("b")
    stray = m.VoteRequest("c", "b", 99, 99, 98)
    assert fleet["b"].receive(fleet.now + TIMING.election_timeout_ms - 1, stray) == []
    assert fleet["b"].receive(fleet.now + TIMING.election_timeout_ms + 1, stray) != []


def test_a_vote_is_given_once_a_term_also_after_a_kill():
    fleet = Fleet("a", "b", "c")
    fleet.now = 2_000.0
    first = fleet["c"].receive(fleet.now, m.VoteRequest("a", "c", 5, 9, 4))
    fleet.do("c", first)
    assert [action.message.granted for action in first if isinstance(action, m.Send)] == [True]
    assert [type(action) for action in first] == [m.Persist, m.Send]
    fleet.restart("c")
    second = fleet["c"].receive(fleet.now + 2_000.0, m.VoteRequest("b", "c", 5, 9, 4))
    assert [action.message.granted for action in second] == [False]


def test_a_voter_cut_off_asks_before_it_stands_and_unseats_nobody():
    fleet = Fleet("a", "b", "c")
    fleet.elect("a")
    fleet.cut = {"c"}
    for _ in range(8):
        fleet.now += 1_100.0
        fleet["a"].acknowledged_ms = {"b": fleet.now}
        fleet["b"].leader_contact_ms = fleet.now
        fleet.do("c", fleet["c"].tick(fleet.now))
        fleet.settle()
    term = fleet["a"].saved.term
    fleet.cut = set()
    fleet.beat("a")
    assert (fleet["a"].is_leader, fleet["c"].saved.term) == (True, term)


def test_a_voter_left_behind_by_terms_catches_up_by_a_refusal():
    fleet = Fleet("a", "b", "c")
    fleet["a"].saved = msgspec.structs.replace(fleet["a"].saved, term=9)
    fleet.cut = {"b"}
    fleet.elect("c")
    assert fleet["c"].saved.term == 9
    assert fleet.elect("c").is_leader


def test_a_long_log_is_folded_and_one_that_lags_gets_the_base():
    fleet = Fleet("a", "b", "c")
    fleet.elect("a")
    fleet.cut = {"c"}
    for n in range(2 * SNAPSHOT_AFTER):
        fleet.propose("a", f"plan {n}")
    assert len(fleet.disks["a"].entries) <= SNAPSHOT_AFTER + 2
    fleet.cut = set()
    fleet.beat("a")
    fleet.beat("a")
    assert fleet["c"].plan == fleet["a"].plan
    assert fleet.decided["c"][-1][2] == f"plan {2 * SNAPSHOT_AFTER - 1}"
    fleet.restart("c")
    assert fleet["c"].plan[1]


def test_texts_of_three_kinds_are_decided_in_one_log_and_none_takes_anothers_place():
    fleet = Fleet("a", "b", "c")
    leader = fleet.elect("a")
    fleet.cut = {"c"}
    texts = [("policy", "p1"), ("plan", "one"), ("recovery", "r1"), ("policy", "p2"), ("recovery", "r2")]
    texts += [("plan", f"n{n}") for n in range(40)]
    for kind, text in texts:
        index, actions = leader.propose(fleet.now, text, kind)
        fleet.do("a", actions)
        fleet.settle()
        fleet.now += 10.0
        fleet.do("a", leader.tick(fleet.now))
        fleet.settle()
    assert [leader.last(kind)[1] for kind in REGISTER_KINDS] == ["n39", "p2", "r2"]
    snapshot = leader.saved.snapshot
    assert (snapshot.policy, snapshot.recovery) == ("p2", "r2")  # folded by now
    assert snapshot.index > snapshot.recovery_index > snapshot.policy_index == leader.policy[0]
    fleet.cut = set()
    for _ in range(6):
        fleet.now += 110.0
        fleet.do("a", leader.tick(fleet.now))
        fleet.settle()
    last = [leader.last(kind) for kind in REGISTER_KINDS]
    assert [fleet["c"].last(kind) for kind in REGISTER_KINDS] == last
    told = [entry for entry in fleet.decided["c"] if entry[1] in ("policy", "recovery")]
    assert told == [(last[1][0], "policy", "p2"), (last[2][0], "recovery", "r2")]  # of the base, once each
    fleet.restart("c")
    assert [fleet["c"].last(kind) for kind in REGISTER_KINDS[1:]] == last[1:]


def test_what_was_saved_before_there_was_a_third_kind_is_read():
    snapshot = {"index": 9, "term": 2, "voters": ["a"], "plan": "p", "plan_index": 8}
    snapshot |= {"policy": "x", "policy_index": 7}
    saved = {
        "term": 2,
        "voted": "a",
        "base": snapshot,
        "entries": [{"term": 2, "kind": "policy", "plan": "y"}],
    }
    voter = Voter("a", msgspec.convert(saved, m.PersistentState), Timing(), 0.0, 1)
    assert (voter.last("recovery"), voter.policy) == ((0, ""), (7, "x"))
    voter.tick(voter.due_ms)
    voter.propose(voter.due_ms, "r", "recovery")
    assert (voter.last("recovery")[1], voter.policy) == ("r", (10, "y"))


def test_voters_join_a_founder_one_by_one_and_an_empty_disk_counts_for_nothing_before():
    fleet = Fleet("a", "b", "c", members=("a",))
    fleet.now = 5_000.0
    fleet.do("b", fleet["b"].tick(fleet.now))
    assert fleet.held == [] and fleet["b"].role is Role.FOLLOWER
    assert fleet.elect("a").is_leader
    for voters in (("a", "b"), ("a", "b", "c")):
        index, actions = fleet["a"].propose_voters(fleet.now, voters)
        assert index
        fleet.do("a", actions)
        fleet.settle()
    fleet.beat("a")
    assert [fleet[name].saved.voters for name in "abc"] == [("a", "b", "c")] * 3


def test_a_list_of_voters_changes_by_one_and_only_when_the_last_one_is_decided():
    fleet = Fleet("a", "b", "c", "d", "e", members=("a", "b", "c"))
    fleet.elect("a")
    for wrong in (("a", "b", "c", "d", "e"), ("a",), ("a", "b", "c"), (), ("a", "b", "c", "c")):
        assert fleet["a"].propose_voters(fleet.now, wrong) == (None, [])
    assert fleet["b"].propose_voters(fleet.now, ("a", "b", "c", "d")) == (None, [])
    fleet.cut = {"b", "c"}
    index, actions = fleet["a"].propose_voters(fleet.now, ("a", "b", "c", "d"))
    fleet.do("a", actions)
    fleet.settle()
    assert index and fleet["a"].propose_voters(fleet.now, ("a", "b", "c", "d", "e"))[0] is None


def test_a_leader_that_takes_itself_off_the_list_leads_it_to_the_end_and_steps_down():
    fleet = Fleet("a", "b", "c")
    fleet.elect("a")
    _, actions = fleet["a"].propose_voters(fleet.now, ("b", "c"))
    fleet.do("a", actions)
    fleet.settle()
    assert fleet["a"].role is Role.FOLLOWER
    assert fleet.elect("b").is_leader and fleet["c"].saved.voters == ("b", "c")


def test_messages_for_others_and_of_the_past_change_nothing():
    fleet = Fleet("a", "b", "c")
    fleet.elect("a")
    before = fleet["b"].saved
    assert fleet["b"].receive(fleet.now, m.VoteRequest("c", "a", 99, 9, 9)) == []
    assert fleet["b"].receive(fleet.now, m.VoteRequest("b", "b", 99, 9, 9)) == []
    old = m.AppendEntriesRequest("c", "b", before.term - 1, 1, 1, (m.Entry(1, "plan", text="x"),), 9, 0.0)
    [answer] = fleet["b"].receive(fleet.now, old)
    assert not answer.message.success and fleet["b"].saved == before


@pytest.mark.parametrize(
    "data",
    [
        None,
        7,
        {},
        {"type": "Vote"},
        {"type": "Nonsense", "sender": "a", "to": "b", "term": 1},
        {"type": "Vote", "sender": "a", "to": "b", "term": -1, "last_index": 1, "last_term": 1},
        {"type": "Vote", "sender": "a", "to": "b", "term": 2**60, "last_index": 1, "last_term": 1},
        {"type": "Voted", "sender": "", "to": "b", "term": 1, "granted": True},
        {"type": "Voted", "sender": "a", "to": "b", "term": 1, "granted": "yes"},
        {"type": "PreVoted", "sender": "a" * 97, "to": "b", "term": 1, "granted": True},
    ],
)
def test_what_is_no_message_is_refused(data):
    with pytest.raises(msgspec.ValidationError):
        m.message_from(data)


def test_messages_survive_the_line():
    entry = m.Entry(3, "voters", voters=("a", "b"))
    snapshot = m.Snapshot(4, 2, "text", 3, ("a",))
    said = [
        m.PreVoteRequest("a", "b", 3, 1, 2),
        m.VoteRequest("a", "b", 3, 1, 2),
        m.VoteResponse("a", "b", 3, True),
        m.AppendEntriesRequest("a", "b", 3, 1, 2, (entry,), 1, 12.5),
        m.InstallSnapshotRequest("a", "b", 3, snapshot, 1.0),
        m.AppendEntriesResponse("a", "b", 3, False, 4, 12.5),
    ]
    for message in said:
        assert m.message_from(msgspec.json.decode(msgspec.json.encode(message))) == message


def test_a_lease_is_over_before_any_voter_is_free_for_another_leader():
    for skew in (0.0, 0.1, 0.3):
        timing = Timing(election_timeout_ms=1000.0, clock_skew=skew)
        leader_true = timing.lease_ms / (1 - skew)  # its clock runs slow
        voter_true = timing.election_timeout_ms / (1 + skew)  # theirs run fast
        assert leader_true <= voter_true or math.isclose(leader_true, voter_true)
