"""Scripted cases of the Raft voter: elections, replication, leases, membership changes and snapshots."""

import math

import msgspec
import pytest

from fawnwharf.consensus import messages as m
from fawnwharf.consensus.committed_log import LATEST_VALUE_KINDS
from fawnwharf.consensus.timing import Timing
from fawnwharf.consensus.voter import SNAPSHOT_AFTER_ENTRIES, Voter, bootstrap_state
from fawnwharf.consensus.voter_state import Role
from fawnwharf.testbed.explore import replace_voters

TIMING = Timing(heartbeat_ms=100.0, election_timeout_ms=500.0, max_clock_drift_ratio=0.1)


class VoterGroup:
    """Voters whose messages are delivered at once and in order, except to and from partitioned voters."""

    def __init__(self, *names, members=None, voter_class=Voter):
        self.now_ms, self.voter_class, self.partitioned = 0.0, voter_class, set()
        members = members or names
        initial = replace_voters(bootstrap_state(members[0]), members)
        self.saved_states = {name: initial if name in members else m.PersistentState() for name in names}
        self.voters = {name: self.create(name) for name in names}
        self.committed, self.in_flight = {name: [] for name in names}, []

    def create(self, name):
        return self.voter_class(name, self.saved_states[name], TIMING, self.now_ms, sum(name.encode()))

    def __getitem__(self, name):
        return self.voters[name]

    def restart(self, name):
        self.voters[name] = self.create(name)

    def carry_out(self, name, actions):
        for action in actions:
            if isinstance(action, m.Persist):
                self.saved_states[name] = action.saved
            elif isinstance(action, m.Send):
                self.in_flight.append(action.message)
            else:
                self.committed[name].append((action.index, action.kind, action.text or action.voters))

    def deliver_all(self):
        while self.in_flight:
            message = self.in_flight.pop(0)
            if not {message.sender, message.to} & self.partitioned and message.to in self.voters:
                self.carry_out(message.to, self[message.to].receive(self.now_ms, message))

    def elect(self, name):
        """Expires the election timer of one voter at a time when no voter is bound to a leader any more."""
        self.now_ms += 2_000.0
        self[name].due_ms = self.now_ms
        self.carry_out(name, self[name].tick(self.now_ms))
        self.deliver_all()
        return self[name]

    def propose(self, name, plan):
        index, actions = self[name].propose(self.now_ms, plan)
        self.carry_out(name, actions)
        self.deliver_all()
        return index

    def heartbeat(self, name):
        self.now_ms += TIMING.heartbeat_ms
        self.carry_out(name, self[name].tick(self.now_ms))
        self.deliver_all()


def test_a_plan_is_committed_by_a_majority_and_reaches_all_voters():
    group = VoterGroup("a", "b", "c")
    assert group.elect("a").is_leader
    index = group.propose("a", "one")
    group.heartbeat("a")
    assert [group[name].plan for name in "abc"] == [(index, "one")] * 3
    assert all((index, "plan", "one") in group.committed[name] for name in "abc")
    assert group["a"].holds_read_lease(group.now_ms)
    assert not group["b"].holds_read_lease(group.now_ms)


def test_a_leader_in_a_minority_commits_nothing_and_loses_its_read_lease():
    group = VoterGroup("a", "b", "c", "d", "e")
    group.elect("a")
    group.propose("a", "one")
    group.partitioned = {"c", "d", "e"}
    group.propose("a", "two")
    assert group["a"].plan[1] == "one"
    contact_ms = group.now_ms
    assert group["a"].holds_read_lease(contact_ms + TIMING.lease_ms - 1)
    assert not group["a"].holds_read_lease(contact_ms + TIMING.lease_ms + 1)
    group.now_ms = contact_ms + 2 * TIMING.election_timeout_ms
    group["a"].tick(group.now_ms)
    assert group["a"].role is Role.FOLLOWER


def test_uncommitted_entries_of_a_partitioned_leader_are_replaced():
    group = VoterGroup("a", "b", "c")
    group.elect("a")
    group.partitioned = {"a"}
    group.propose("a", "lost")
    group.elect("b")
    index = group.propose("b", "kept")
    group.partitioned = set()
    group.heartbeat("b")
    group.heartbeat("b")
    assert [group[name].plan for name in "abc"] == [(index, "kept")] * 3
    assert not any("lost" in str(entry) for entry in group.saved_states["a"].entries)


def test_an_entry_of_an_earlier_term_is_not_committed_by_counting_replicas():
    """Figure 8 of the Raft paper: an entry that a majority has stored may still be overwritten."""
    snapshot = m.Snapshot(1, 1, voters=("a", "b", "c"))
    earlier_term_entry, own_term_entry = m.Entry(2, "plan", text="old"), m.Entry(4, "none")
    leader = Voter(
        "a", m.PersistentState(4, "a", snapshot, (earlier_term_entry, own_term_entry)), TIMING, 0.0, 1
    )
    leader.role = Role.LEADER
    assert leader.receive(0.0, m.AppendEntriesResponse("c", "a", 4, True, 2, 0.0)) == [
        m.Send(m.AppendEntriesRequest("a", "c", 4, 2, 2, (own_term_entry,), 1, 0.0))
    ]
    committed = leader.receive(0.0, m.AppendEntriesResponse("c", "a", 4, True, 3, 0.0))
    assert [action.index for action in committed if isinstance(action, m.Committed)] == [2, 3]


def test_a_voter_bound_to_a_leader_ignores_vote_requests_of_later_terms():
    group = VoterGroup("a", "b", "c")
    group.elect("a")
    term = group["b"].saved.term
    request = m.VoteRequest("c", "b", term + 7, 99, term + 6)
    assert group["b"].receive(group.now_ms + 1, request) == []
    assert group["b"].saved.term == term
    after_timeout_ms = group.now_ms + TIMING.election_timeout_ms + 1
    assert any(isinstance(action, m.Persist) for action in group["b"].receive(after_timeout_ms, request))


def test_a_restarted_voter_is_bound_for_one_election_timeout():
    group = VoterGroup("a", "b", "c")
    group.elect("a")
    group.restart("b")
    request = m.VoteRequest("c", "b", 99, 99, 98)
    assert group["b"].receive(group.now_ms + TIMING.election_timeout_ms - 1, request) == []
    assert group["b"].receive(group.now_ms + TIMING.election_timeout_ms + 1, request) != []


def test_a_vote_is_granted_once_per_term_across_restarts():
    group = VoterGroup("a", "b", "c")
    group.now_ms = 2_000.0
    first = group["c"].receive(group.now_ms, m.VoteRequest("a", "c", 5, 9, 4))
    group.carry_out("c", first)
    assert [action.message.granted for action in first if isinstance(action, m.Send)] == [True]
    assert [type(action) for action in first] == [m.Persist, m.Send]
    group.restart("c")
    second = group["c"].receive(group.now_ms + 2_000.0, m.VoteRequest("b", "c", 5, 9, 4))
    assert [action.message.granted for action in second] == [False]


def test_pre_votes_keep_a_partitioned_voter_from_unseating_the_leader():
    group = VoterGroup("a", "b", "c")
    group.elect("a")
    group.partitioned = {"c"}
    for _ in range(8):
        group.now_ms += 1_100.0
        group["a"].acknowledged_ms = {"b": group.now_ms}
        group["b"].leader_contact_ms = group.now_ms
        group.carry_out("c", group["c"].tick(group.now_ms))
        group.deliver_all()
    term = group["a"].saved.term
    group.partitioned = set()
    group.heartbeat("a")
    assert (group["a"].is_leader, group["c"].saved.term) == (True, term)


def test_a_refused_pre_vote_brings_a_lagging_voter_to_the_current_term():
    group = VoterGroup("a", "b", "c")
    group["a"].saved = msgspec.structs.replace(group["a"].saved, term=9)
    group.partitioned = {"b"}
    group.elect("c")
    assert group["c"].saved.term == 9
    assert group.elect("c").is_leader


def test_a_long_log_is_compacted_and_a_lagging_follower_gets_the_snapshot():
    group = VoterGroup("a", "b", "c")
    group.elect("a")
    group.partitioned = {"c"}
    for n in range(2 * SNAPSHOT_AFTER_ENTRIES):
        group.propose("a", f"plan {n}")
    assert len(group.saved_states["a"].entries) <= SNAPSHOT_AFTER_ENTRIES + 2
    group.partitioned = set()
    group.heartbeat("a")
    group.heartbeat("a")
    assert group["c"].plan == group["a"].plan
    assert group.committed["c"][-1][2] == f"plan {2 * SNAPSHOT_AFTER_ENTRIES - 1}"
    group.restart("c")
    assert group["c"].plan[1]


def test_registers_of_three_kinds_share_one_log():
    group = VoterGroup("a", "b", "c")
    leader = group.elect("a")
    group.partitioned = {"c"}
    texts = [("policy", "p1"), ("plan", "one"), ("recovery", "r1"), ("policy", "p2"), ("recovery", "r2")]
    texts += [("plan", f"n{n}") for n in range(40)]
    for kind, text in texts:
        _index, actions = leader.propose(group.now_ms, text, kind)
        group.carry_out("a", actions)
        group.deliver_all()
        group.now_ms += 10.0
        group.carry_out("a", leader.tick(group.now_ms))
        group.deliver_all()
    assert [leader.last_committed(kind)[1] for kind in LATEST_VALUE_KINDS] == ["n39", "p2", "r2"]
    snapshot = leader.saved.snapshot
    assert (snapshot.policy, snapshot.recovery) == ("p2", "r2")  # compacted by now
    assert snapshot.index > snapshot.recovery_index > snapshot.policy_index == leader.policy[0]
    group.partitioned = set()
    for _ in range(6):
        group.now_ms += 110.0
        group.carry_out("a", leader.tick(group.now_ms))
        group.deliver_all()
    last = [leader.last_committed(kind) for kind in LATEST_VALUE_KINDS]
    assert [group["c"].last_committed(kind) for kind in LATEST_VALUE_KINDS] == last
    received = [entry for entry in group.committed["c"] if entry[1] in ("policy", "recovery")]
    assert received == [
        (last[1][0], "policy", "p2"),
        (last[2][0], "recovery", "r2"),
    ]  # the values in the snapshot, each reported once
    group.restart("c")
    assert [group["c"].last_committed(kind) for kind in LATEST_VALUE_KINDS[1:]] == last[1:]


def test_state_saved_before_the_recovery_register_existed_is_read():
    snapshot = {"index": 9, "term": 2, "voters": ["a"], "plan": "p", "plan_index": 8}
    snapshot |= {"policy": "x", "policy_index": 7}
    saved = {
        "term": 2,
        "voted": "a",
        "base": snapshot,
        "entries": [{"term": 2, "kind": "policy", "plan": "y"}],
    }
    voter = Voter("a", msgspec.convert(saved, m.PersistentState), Timing(), 0.0, 1)
    assert (voter.last_committed("recovery"), voter.policy) == ((0, ""), (7, "x"))
    voter.tick(voter.due_ms)
    voter.propose(voter.due_ms, "r", "recovery")
    assert (voter.last_committed("recovery")[1], voter.policy) == ("r", (10, "y"))


def test_voters_join_a_bootstrapped_voter_one_by_one():
    group = VoterGroup("a", "b", "c", members=("a",))
    group.now_ms = 5_000.0
    group.carry_out("b", group["b"].tick(group.now_ms))
    assert group.in_flight == []
    assert group["b"].role is Role.FOLLOWER
    assert group.elect("a").is_leader
    for voters in (("a", "b"), ("a", "b", "c")):
        index, actions = group["a"].propose_voters(group.now_ms, voters)
        assert index
        group.carry_out("a", actions)
        group.deliver_all()
    group.heartbeat("a")
    assert [group[name].saved.voters for name in "abc"] == [("a", "b", "c")] * 3


def test_a_membership_change_is_one_voter_after_the_last_change_is_committed():
    group = VoterGroup("a", "b", "c", "d", "e", members=("a", "b", "c"))
    group.elect("a")
    for invalid in (("a", "b", "c", "d", "e"), ("a",), ("a", "b", "c"), (), ("a", "b", "c", "c")):
        assert group["a"].propose_voters(group.now_ms, invalid) == (None, [])
    assert group["b"].propose_voters(group.now_ms, ("a", "b", "c", "d")) == (None, [])
    group.partitioned = {"b", "c"}
    index, actions = group["a"].propose_voters(group.now_ms, ("a", "b", "c", "d"))
    group.carry_out("a", actions)
    group.deliver_all()
    assert index
    assert group["a"].propose_voters(group.now_ms, ("a", "b", "c", "d", "e"))[0] is None


def test_a_leader_that_removes_itself_commits_that_and_steps_down():
    group = VoterGroup("a", "b", "c")
    group.elect("a")
    _, actions = group["a"].propose_voters(group.now_ms, ("b", "c"))
    group.carry_out("a", actions)
    group.deliver_all()
    assert group["a"].role is Role.FOLLOWER
    assert group.elect("b").is_leader
    assert group["c"].saved.voters == ("b", "c")


def test_messages_for_other_voters_or_of_past_terms_change_nothing():
    group = VoterGroup("a", "b", "c")
    group.elect("a")
    before = group["b"].saved
    assert group["b"].receive(group.now_ms, m.VoteRequest("c", "a", 99, 9, 9)) == []
    assert group["b"].receive(group.now_ms, m.VoteRequest("b", "b", 99, 9, 9)) == []
    outdated_request = m.AppendEntriesRequest(
        "c", "b", before.term - 1, 1, 1, (m.Entry(1, "plan", text="x"),), 9, 0.0
    )
    [response] = group["b"].receive(group.now_ms, outdated_request)
    assert not response.message.success
    assert group["b"].saved == before


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
def test_invalid_messages_are_rejected(data):
    with pytest.raises(msgspec.ValidationError):
        m.message_from_object(data)


def test_messages_are_decoded_as_they_were_encoded():
    entry = m.Entry(3, "voters", voters=("a", "b"))
    snapshot = m.Snapshot(4, 2, "text", 3, ("a",))
    messages = [
        m.PreVoteRequest("a", "b", 3, 1, 2),
        m.VoteRequest("a", "b", 3, 1, 2),
        m.VoteResponse("a", "b", 3, True),
        m.AppendEntriesRequest("a", "b", 3, 1, 2, (entry,), 1, 12.5),
        m.InstallSnapshotRequest("a", "b", 3, snapshot, 1.0),
        m.AppendEntriesResponse("a", "b", 3, False, 4, 12.5),
    ]
    for message in messages:
        assert m.message_from_object(msgspec.json.decode(msgspec.json.encode(message))) == message


def test_a_lease_ends_before_any_voter_may_vote_for_another_leader():
    for drift in (0.0, 0.1, 0.3):
        timing = Timing(election_timeout_ms=1000.0, max_clock_drift_ratio=drift)
        lease_real_ms = timing.lease_ms / (1 - drift)  # the leader's clock runs slow
        election_timeout_real_ms = timing.election_timeout_ms / (1 + drift)  # the voters' clocks run fast
        assert lease_real_ms <= election_timeout_real_ms or math.isclose(
            lease_real_ms, election_timeout_real_ms
        )
