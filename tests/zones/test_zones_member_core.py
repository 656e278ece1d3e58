"""Member cores of a fleet in virtual time: elections, plans, membership changes and malformed lines."""

import msgspec
import pytest
from support.zone_files import DEAD, GOOD, members, members_data
from support.zone_fleet import ZoneFleet

from fawnwharf.consensus.messages import PersistentState
from fawnwharf.zones import plan as p
from fawnwharf.zones import settings as s
from fawnwharf.zones.effects import MessagesReceived, RegisterDecided, SaveVoterState, SendVoterMessage
from fawnwharf.zones.log_lines import ClientMessage, LogLineError


def test_a_fleet_forms_from_one_bootstrapped_voter_and_all_follow_its_plan():
    fleet = ZoneFleet(members("abcabcabc", 3)).run(15)
    assert len(fleet.leaders()) == 1
    leader = fleet.cores[fleet.leaders()[0]]
    assert {v.partition("#")[0] for v in leader.voter.saved.voters} == {"n0", "n1", "n2"}
    assert fleet.members_with_valid_plan() == set(fleet.cores)
    assert {effect.index for effect in fleet.applied_plans.values()} == {leader.plan_index}


def loss_of(zone):
    return lambda member, other: DEAD if (other == zone) != (member.zone == zone) else GOOD


def test_a_zone_lost_together_with_the_leader_is_put_out_by_the_remaining_members():
    fleet = ZoneFleet(members("abcabcabc", 3)).run(15)
    zone = fleet.file.find_member(fleet.leaders()[0]).zone
    fleet.dead = {member.name for member in fleet.file.members if member.zone == zone}
    fleet.evidence_for = lambda _member, other: DEAD if other == zone else GOOD
    fleet.run(12)
    remaining = set(fleet.cores) - fleet.dead
    assert fleet.members_with_valid_plan() == remaining
    assert {fleet.zone_state(name, zone) for name in remaining} == {p.OUT}


def test_a_new_leader_uses_what_it_observed_as_a_follower():
    fleet = ZoneFleet(members("abcabcabc", 3)).run(15)
    zone = fleet.file.find_member(fleet.leaders()[0]).zone
    lost_ms = fleet.now
    fleet.dead = {member.name for member in fleet.file.members if member.zone == zone}
    fleet.evidence_for = lambda _member, other: DEAD if other == zone else GOOD
    fleet.run(6)
    became_leader_ms = min(
        at_ms for at_ms, _, event in fleet.zone_events if event.event == "role" and at_ms > lost_ms
    )
    proposed_ms = min(
        at_ms for at_ms, _, event in fleet.zone_events if event.event == "plan proposed" and at_ms > lost_ms
    )
    settings = fleet.settings
    assert proposed_ms - became_leader_ms <= settings.evidence.report_interval_ms
    assert (
        proposed_ms - lost_ms
        <= 2 * settings.consensus.election_timeout_ms + 2 * settings.evidence.report_interval_ms
    )


def test_a_minority_decides_nothing_lets_its_plan_expire_and_takes_the_new_one():
    fleet = ZoneFleet(members("abcabcabc", 3)).run(15)
    before = fleet.cores["n0"].plan_index
    fleet.part("a")
    fleet.evidence_for = loss_of("a")
    cut_ms = fleet.now
    fleet.run(10)
    isolated = {"n0", "n3", "n6"}
    assert fleet.members_with_valid_plan() == set(fleet.cores) - isolated
    assert {fleet.cores[name].plan_index for name in isolated} == {before}
    assert all(fleet.applied_plans[name].plan is None for name in isolated)
    expired_ms = [
        at_ms
        for at_ms, name, event in fleet.zone_events
        if name in isolated and event.event == "plan expired"
    ]
    max_expiry_ms = (
        fleet.settings.consensus.plan_validity_ms + fleet.settings.consensus.confirmation_interval_ms
    )
    assert len(expired_ms) == 3
    assert max(expired_ms) - cut_ms <= max_expiry_ms
    assert fleet.zone_state("n1", "a") == p.OUT
    fleet.cut.clear()
    fleet.evidence_for = lambda _member, _zone: GOOD
    fleet.run(3)
    assert fleet.members_with_valid_plan() == set(fleet.cores)
    assert len({fleet.cores[name].plan_index for name in fleet.cores}) == 1


def test_a_voter_with_an_empty_disk_joins_as_another_voter():
    fleet = ZoneFleet(members("abcabc", 3)).run(15)
    fleet.dead.add("n1")
    fleet.run(3)
    fleet.disks["n1"] = PersistentState()
    fleet.start("n1", "n1#1")
    fleet.run(15)
    leader = fleet.cores[fleet.leaders()[0]]
    assert set(leader.voter.saved.voters) == {"n0#0", "n1#1", "n2#0"}
    assert leader.voter.commit_index == leader.voter.saved.last_index


def test_membership_changes_during_a_failover_and_one_voter_replaces_another():
    membership = members("abcabc", 3)
    fleet = ZoneFleet(membership).run(15)
    data = members_data("abcabc", 3) | {"number": 2}
    data["members"][4]["ballots"] = data["members"][1].pop("ballots")
    later = s.membership_from(data)
    fleet.evidence_for = lambda member, other: DEAD if other == "c" and member.zone != "c" else GOOD
    fleet.file = later
    fleet.disks["n4"] = PersistentState()
    for name in ("n0", "n1", "n2", "n3", "n5"):
        fleet.do(name, fleet.cores[name].apply_membership(later))
    fleet.start("n4", "n4#0")
    fleet.run(20)
    [name] = fleet.leaders()
    assert {v.partition("#")[0] for v in fleet.cores[name].voter.saved.voters} == {"n0", "n2", "n4"}
    # Zone c keeps serving its own calls, although the other zones do not reach it.
    assert fleet.cores[name].plan.unreachable_pairs
    assert fleet.members_with_valid_plan() == set(fleet.cores)


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
def test_a_malformed_line_raises_an_error_and_changes_nothing(data):
    fleet = ZoneFleet(members("abc", 3)).run(10)
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


def test_a_forged_voter_message_raises_an_error_and_one_of_a_non_voter_is_counted():
    fleet = ZoneFleet(members("abcabc", 3)).run(10)
    core = fleet.cores["n0"]
    term = core.voter.saved.term
    vote_request = {
        "type": "Vote",
        "sender": "n2#0",
        "to": "n0#0",
        "term": term + 9,
        "last_index": 99,
        "last_term": 99,
    }
    with pytest.raises(LogLineError):
        core.receive_voter_line(fleet.now, "n1", {"fleet": "f", "sender": "n1", "ballot": vote_request})
    for malformed in ({}, {"type": "Vote"}, 7):
        with pytest.raises(LogLineError):
            core.receive_voter_line(fleet.now, "n1", {"fleet": "f", "sender": "n1", "ballot": malformed})
    message_of_non_voter = vote_request | {"sender": "n4#0"}
    assert (
        core.receive_voter_line(
            fleet.now, "n4", {"fleet": "f", "sender": "n4", "ballot": message_of_non_voter}
        )
        == []
    )
    assert core.voter.saved.term == term
    assert core.state.drop_counts.dropped["voter message of a non-voter"] == 1


def test_a_confirmation_of_an_older_plan_has_no_effect():
    fleet = ZoneFleet(members("abc", 3)).run(10)
    core = fleet.cores["n0"]
    core.state.plan_tracker.confirmed_ms = None
    line = {"fleet": "f", "sender": "n1", "fresh": True, "index": core.plan_index - 1, "term": 1}
    core.receive_line(fleet.now, "n1", line)
    assert not core.is_plan_valid(fleet.now)
    core.receive_line(fleet.now, "n1", line | {"index": core.plan_index})
    assert core.is_plan_valid(fleet.now)


def test_messages_of_a_voter_with_an_older_copy_of_its_disk_are_ignored():
    fleet = ZoneFleet(members("abcabc", 3)).run(15)
    core = fleet.cores["n0"]
    last_disk_writes = core.voter_role.reported_disk_writes["n1#0"]
    vote_request = {
        "type": "Vote",
        "sender": "n1#0",
        "to": "n0#0",
        "term": 999,
        "last_index": 999,
        "last_term": 999,
    }
    line = {"fleet": "f", "sender": "n1", "ballot": vote_request, "saves": last_disk_writes - 1}
    later_ms = fleet.now + 60_000.0  # when no voter is bound to a leader any more
    [event] = core.receive_voter_line(later_ms, "n1", line)
    assert event.event == "older disk"
    assert core.voter.saved.term < 999
    effects = core.receive_voter_line(later_ms, "n1", line | {"saves": last_disk_writes})
    assert any(isinstance(effect, SaveVoterState) for effect in effects)


def test_messages_are_passed_to_their_log_client_which_is_policy_by_default():
    fleet = ZoneFleet(members("abc", 3))
    line = {"fleet": "f", "sender": "n1", "policy": 1, "recovery": 2}
    line["words"] = [{"said": "p"}, {"said": "r", "rider": "recovery"}, {"said": "q", "to": ["n2"]}]
    effects = fleet.cores["n0"].receive_line(1.0, "n1", line)
    received = {
        effect.client: (effect.messages, effect.status)
        for effect in effects
        if isinstance(effect, MessagesReceived)
    }
    assert received == {"policy": (("p",), 1), "recovery": (("r",), 2)}
    encoded = msgspec.json.encode(ClientMessage("p", ("n2",)))
    assert encoded == b'{"said":"p","to":["n2"]}'  # the encoding of earlier versions, without a client


def test_registers_of_both_kinds_are_decided_at_all_voters_and_are_in_the_consensus_status():
    fleet, registers = ZoneFleet(members("abc", 3)).run(15), {}
    [leader] = fleet.leaders()
    carry_out_effects = fleet.do

    def record_registers(name, effects):
        registers.setdefault(name, []).extend(
            (e.kind, e.text) for e in effects if isinstance(e, RegisterDecided)
        )
        carry_out_effects(name, effects)

    fleet.do = record_registers
    for text, kind in (("one", "policy"), ("two", "recovery"), ("three", "policy")):
        entered, effects = fleet.cores[leader].propose_register(fleet.now, text, kind)
        assert entered
        fleet.do(leader, effects)
        fleet.run(0.5)
    assert list(registers.values()) == [[("policy", "one"), ("recovery", "two"), ("policy", "three")]] * 3
    status = fleet.cores[leader].consensus_status(fleet.now)
    assert (status.policy, status.recovery, status.holds_read_lease, len(status.voters)) == (
        "three",
        "two",
        True,
        3,
    )


def test_voter_messages_state_how_often_the_disk_was_written():
    fleet = ZoneFleet(members("abc", 3))
    save_counts = dict.fromkeys(fleet.cores, 0)
    carry_out_effects = fleet.do

    def count_saves(name, effects):
        for effect in effects:
            save_counts[name] += isinstance(effect, SaveVoterState)
            if isinstance(effect, SendVoterMessage):
                assert effect.line.disk_writes == save_counts[name]
        carry_out_effects(name, effects)

    fleet.do = count_saves
    fleet.run(12)
    assert min(save_counts.values()) > 2
