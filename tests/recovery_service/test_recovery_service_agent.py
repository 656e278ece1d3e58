"""Recovery agents of a fleet of five in virtual time: the phases from a power loss to normal operation."""

import msgspec
import pytest
from support.recovery_agents import TIMING, Agents

from fawnwharf.durable_store.folder_reader import FolderPosition
from fawnwharf.recovery_core.phases import RecoveryPhase, RecoveryRegister
from fawnwharf.recovery_core.queries import Answer, Query, QueryState, QueryTopic
from fawnwharf.recovery_service import messages as w
from fawnwharf.recovery_service.recovery_leader import LeaderTiming, MemberLists, RecoveryLeader
from fawnwharf.recovery_service.status_display import displayed_status

RETURN = list(RecoveryPhase)


def phase_sequence(fleet, name, since=0):
    """The phases that one member applied, without consecutive repeats."""
    found = []
    for who, stage, _, _ in fleet.applied_phases[since:]:
        if who == name and (not found or found[-1] is not stage):
            found.append(stage)
    return found


def test_a_new_fleet_reaches_normal_operation_and_records_its_boots():
    fleet = Agents().until_normal()
    assert all(
        agent.allowed(fleet.now).spill and agent.allowed(fleet.now).status for agent in fleet.agents.values()
    )
    assert fleet.agents["n0"].power_loss == 0
    register = fleet.agents[fleet.leader].leader.coordinator.register
    assert set(register.boots.values()) == {"boot 1"} and len(register.boots) == 3


def test_all_come_back_through_all_phases_in_order():
    fleet = Agents().until_normal()
    since = len(fleet.applied_phases)
    fleet.power_loss("boot 2")
    assert fleet.phases() == {RecoveryPhase.LISTENING}
    assert not any(agent.allowed(fleet.now).status for agent in fleet.agents.values())
    fleet.until_phase(RecoveryPhase.NORMAL, cut=1)
    for name in fleet.names:
        assert phase_sequence(fleet, name, since) == RETURN, name
    statuses = [
        allowed.status
        for who, stage, _, allowed in fleet.applied_phases[since:]
        if stage < RecoveryPhase.PRIORITY_CALLS
    ]
    assert not any(statuses)
    whys = [fields["why"] for _, event, fields in fleet.log_events if event == "recovery phase decided"]
    assert whys.count("power loss") == 1 and whys[-1] == "served"


def test_a_single_restart_in_normal_operation_starts_no_recovery_and_its_boot_is_recorded():
    fleet = Agents().until_normal()
    since = len(fleet.applied_phases)
    fleet.power_loss("boot 2", "n1")
    fleet.until(lambda: fleet.agents["n1"].phase(fleet.now) is RecoveryPhase.NORMAL)
    fleet.run(1.0)
    assert {cut for _, _, cut, _ in fleet.applied_phases[since:]} == {0}
    assert phase_sequence(fleet, "n1", since) == [RecoveryPhase.LISTENING, RecoveryPhase.NORMAL]
    fleet.run(TIMING.settle_ms / 1000 + 1)
    leader = fleet.agents[fleet.leader]
    assert leader.power_loss == 0 and "boot 2" in leader.leader.coordinator.register.boots.values()


def test_processes_that_end_without_their_machines_are_no_power_loss():
    fleet = Agents().until_normal()
    since = len(fleet.applied_phases)
    fleet.power_loss("")
    fleet.until_phase(RecoveryPhase.NORMAL)
    found = {(stage, cut) for _, stage, cut, _ in fleet.applied_phases[since:]}
    assert found == {(RecoveryPhase.LISTENING, 0), (RecoveryPhase.NORMAL, 0)}


@pytest.mark.parametrize("stage", RETURN[:-1])
def test_a_leader_that_is_killed_at_a_phase_is_followed_by_one_that_goes_on_from_there(stage):
    fleet = Agents().until_normal()
    fleet.power_loss("boot 2")
    fleet.until(lambda: fleet.leader and fleet.agents[fleet.leader].leader.coordinator.register.cut == 1)
    fleet.until(lambda: fleet.agents[fleet.leader].leader.coordinator.register.stage >= stage)
    first, since = fleet.leader, len(fleet.applied_phases)
    fleet.end(first)
    fleet.until(lambda: fleet.leader not in (None, first))
    fleet.until_phase(RecoveryPhase.NORMAL, cut=1)
    for name in fleet.up:
        seen = [
            s for s in phase_sequence(fleet, name, since) if s is not None
        ]  # a member may have been partitioned between
        assert seen == sorted(seen) and seen[-1] is RecoveryPhase.NORMAL
    assert {fleet.agents[name].power_loss for name in fleet.up} == {1}


@pytest.mark.parametrize("stage", RETURN[:-1])
def test_a_second_power_loss_at_a_phase_begins_again(stage):
    fleet = Agents().until_normal()
    fleet.power_loss("boot 2")
    fleet.until(lambda: any(a.phase(fleet.now) is stage and a.power_loss == 1 for a in fleet.agents.values()))
    fleet.power_loss("boot 3")
    since = len(fleet.applied_phases)
    fleet.until_phase(RecoveryPhase.NORMAL, cut=2)
    for name in fleet.names:
        assert phase_sequence(fleet, name, since)[-len(RETURN) + 1 :] == RETURN[1:]


def test_a_minority_counts_as_partitioned_after_a_timeout_and_follows_once_the_others_return():
    fleet = Agents().until_normal()
    fleet.end(*fleet.names)
    fleet.run(0.1)
    fleet.begin("boot 2", "n0", "n3")
    fleet.run(TIMING.alone_ms / 1000 - 1)
    assert fleet.phases() == {RecoveryPhase.LISTENING}
    fleet.until(lambda: fleet.phases() == {None})
    for name in ("n0", "n3"):
        allowed = fleet.agents[name].allowed(fleet.now)
        assert allowed.alone and allowed.status and allowed.part == 0.2 and not allowed.spill
        without = fleet.agents[name].queries.fallbacks()
        assert QueryTopic.MEMBERS in without and QueryTopic.PLAN in without
    fleet.begin("boot 2", "n1", "n2", "n4")
    fleet.until_phase(RecoveryPhase.NORMAL, cut=1)
    lone = [stage for stage in phase_sequence(fleet, "n0") if stage is not None]
    assert RecoveryPhase.RETRIES not in lone[-3:] and lone[-1] is RecoveryPhase.NORMAL


@pytest.mark.parametrize("seed", range(4))
def test_lost_and_late_messages_only_cost_time(seed):
    fleet = Agents(seed=seed, lost=0.3, late_ms=150.0).until_normal()
    since = len(fleet.applied_phases)
    fleet.power_loss("boot 2")
    fleet.until_phase(RecoveryPhase.NORMAL, cut=1)
    normal = [entry for entry in fleet.applied_phases[since:] if entry[1] is RecoveryPhase.NORMAL]
    assert normal and all(cut == 1 for _, _, cut, _ in normal)


def test_a_leader_that_kept_power_does_not_announce_normal_operation_to_the_others():
    fleet = Agents().until_normal()
    leader = fleet.leader
    others = [name for name in fleet.names if name != leader]
    since = len(fleet.applied_phases)
    fleet.power_loss("boot 2", *others)
    fleet.until_phase(RecoveryPhase.NORMAL, cut=1)
    for name in others:
        assert phase_sequence(fleet, name, since) == RETURN, name
    through = [
        allowed for who, stage, cut, allowed in fleet.applied_phases[since:] if who == leader and cut == 1
    ]
    assert all(allowed.status for allowed in through)


def test_slow_loads_and_failed_scorers_step_the_phase_back():
    fleet = Agents().until_normal()
    fleet.power_loss("boot 2")
    fleet.until_phase(RecoveryPhase.ALL_CALLS, cut=1)
    fleet.status_reports["n4"] = w.StatusReport(0, True, True, failed_scorers=1)
    fleet.until_phase(RecoveryPhase.PRIORITY_CALLS, cut=1)
    fleet.status_reports["n3"] = w.StatusReport(0, True, True, w.CallCounts(1, 9), w.CallCounts(1, 9))
    fleet.run(1.5)
    assert (
        fleet.phases() == {RecoveryPhase.PRIORITY_CALLS} and fleet.agents["n0"].allowed(fleet.now).part < 1.0
    )
    fleet.status_reports.clear()
    fleet.until_phase(RecoveryPhase.NORMAL, cut=1)
    whys = [fields["why"] for _, event, fields in fleet.log_events if event == "recovery phase decided"]
    assert "1 scorers fell" in whys


def test_calls_are_merged_by_their_number_and_loads_by_theirs():
    fleet = Agents().until_normal()
    lead = fleet.agents["n0"].leader
    for name, good, loads, slow in (("n0", 9, 10, 1.0), ("n1", 1, 30, 3.0)):
        lead.receive_status(
            fleet.now,
            name,
            w.StatusReport(
                9, True, name == "n0", w.CallCounts(good, 10), w.CallCounts(good, 10), loads, slow
            ),
        )
    for name in ("n2", "n3", "n4"):
        lead.reports.pop(name)
    seen = lead.observe(fleet.now)
    assert (seen.members, seen.heard, seen.asked, seen.first, seen.served) == (5, 2, 2, 0.5, 0.5)
    assert seen.slow == 2.5 and seen.sure == pytest.approx(1 / 3)
    assert not lead.receive_status(fleet.now, "n1", w.StatusReport(0, True, True))


def test_messages_of_another_incarnation_fleet_log_or_member_are_dropped_and_counted():
    fleet = Agents().until_normal()
    agent, now = fleet.agents["n0"], fleet.now
    before = displayed_status(agent, now)
    ask, answer = Query("g", 1, 1, 0), Answer("f", 99, 1, 0, 1, True)
    said = [
        (agent.receive_by_zones, "n1", ask, "another fleet"),
        (agent.receive_by_zones, "x", ask, "unknown member"),
        (agent.receive_by_replication, "x", ask, "unknown member"),
        (agent.receive_by_zones, "n1", Query("f", 1, 1, int(QueryTopic.USAGE)), "wrong log"),
        (agent.receive_by_replication, "n1", Query("f", 1, 1, int(QueryTopic.MEMBERS)), "wrong log"),
        (agent.receive_by_replication, "n1", w.StatusReport(1, True, True), "wrong log"),
        (agent.receive_by_replication, "n1", answer, "wrong log"),
        (
            agent.receive_by_zones,
            "n1",
            w.KnownPosition(99, FolderPosition("m", 1, 1)),
            "to another incarnation",
        ),
        (
            agent.receive_by_zones,
            "n3",
            w.PhaseAnnouncement(1, 99, 0.0, RecoveryRegister().encode()),
            "announcement by no leader",
        ),
        (
            agent.receive_by_zones,
            "n1",
            w.PhaseAnnouncement(0, 99, 0.0, RecoveryRegister().encode()),
            "of an earlier incarnation",
        ),
        (agent.receive_by_zones, "n1", w.StatusReport(0, True, True), "of an earlier incarnation"),
    ]
    for hear, sender, word, why in said:
        was = agent.drops.get(why, 0)
        assert hear(now, sender, word) == [] and agent.drops.get(why, 0) == was + 1, why
    agent.receive_by_zones(now, "n1", answer)
    assert agent.queries.dropped["to another life"] == 1
    after = displayed_status(agent, now)
    assert msgspec.structs.replace(after, counts={}, voters=()) == msgspec.structs.replace(
        before, counts={}, voters=()
    )
    for data in (1, {}, {"type": "Standing"}, {"type": "Other"}, {"type": "Told", "life": -1}):
        with pytest.raises(msgspec.ValidationError):
            w.recovery_message_from(data)


def test_uncertain_or_unsettled_state_is_not_reported():
    fleet = Agents().until_normal()
    agent = fleet.agents["n0"]
    ask = Query("f", 7, 3, int(QueryTopic.PLAN))
    (said,) = agent.receive_by_zones(fleet.now, "n4", ask)
    assert said.message.trusted and said.message.number > 0 and said.to == ("n4",)
    for change in ({"settled": False}, {"votes": False}):
        agent.status = fleet.local_status("n0").__class__(**{
            key: getattr(fleet.local_status("n0"), key) for key in fleet.local_status("n0").__slots__
        } | change)  # fmt: skip
        (said,) = agent.receive_by_zones(fleet.now, "n4", ask)
        assert (said.message.trusted, said.message.number, said.message.digest, said.message.incarnation) == (
            False,
            0,
            "",
            7,
        )
    assert (
        fleet.agents["n4"].receive_by_zones(fleet.now, "n0", ask) == []
    )  # it is no voter and answers no such queries


def test_a_restarted_member_is_reminded_of_its_earlier_folder_position():
    fleet = Agents().until_normal()
    agent = fleet.agents["n0"]
    agent.receive_by_zones(fleet.now, "n4", w.BootReport(10, "b", FolderPosition("m", 5, 200)))
    assert agent.receive_by_zones(fleet.now, "n4", w.BootReport(10, "b", FolderPosition("m", 5, 210))) == []
    for sign in (
        FolderPosition("m", 6, 101),
        FolderPosition("m", 5, 205),
    ):  # of a copy that was taken during incarnation 5
        life = 11 if sign.incarnation == 6 else 12
        for _ in range(3):
            (said,) = agent.receive_by_zones(fleet.now, "n4", w.BootReport(life, "b", sign))
            assert said.to == ("n4",) and said.message.incarnation == life
            assert said.message.position in (FolderPosition("m", 5, 210), FolderPosition("m", 6, 101))
        assert agent.receive_by_zones(fleet.now, "n4", w.BootReport(life, "b", sign)) == []
    assert agent.receive_by_zones(fleet.now, "n4", w.BootReport(13, "b", FolderPosition("other", 1, 1))) == []
    (reported,) = fleet.agents["n4"].receive_by_zones(
        fleet.now, "n0", w.KnownPosition(1, FolderPosition("m", 5, 210))
    )
    assert reported.position == FolderPosition("m", 5, 210)


def test_a_late_announcement_counts_from_when_it_was_sent():
    fleet = Agents().until_normal()
    agent, leader = fleet.agents["n4"], fleet.leader
    told = w.PhaseAnnouncement(
        1, fleet.agents[leader].leader.term, fleet.now, agent.follower.register.encode()
    )
    before = agent.follower.confirmed_ms
    agent.receive_by_zones(fleet.now + 9_000.0, leader, told)
    assert before <= agent.follower.confirmed_ms <= fleet.now + 30.0


def test_a_restarted_member_follows_no_leader_that_has_not_answered_it():
    fleet = Agents().until_normal()
    leader = fleet.leader
    fleet.end("n4")
    fleet.begin("boot 2", "n4")
    agent = fleet.agents["n4"]
    told = w.PhaseAnnouncement(1, 99, fleet.now, RecoveryRegister(number=9, stage=5).encode())
    boot, ask = agent.receive_by_zones(fleet.now, leader, told)
    assert isinstance(boot.message, w.BootReport) and isinstance(ask.message, Query) and ask.to == (leader,)
    assert agent.follower.register is None and agent.receive_by_zones(fleet.now, leader, told) == []
    agent.receive_by_zones(
        fleet.now, leader, Answer("f", agent.identity.incarnation, ask.message.sequence, 0, 1, False)
    )
    assert (
        agent.queries.state(QueryTopic.MEMBERS) is QueryState.WAITING
    )  # the answer did not tell the membership
    agent.receive_by_zones(fleet.now, leader, told)
    assert agent.phase(fleet.now) is RecoveryPhase.NORMAL


@pytest.mark.parametrize(
    ("by_zone", "away", "part"),
    [
        ((("a",), ("b",), ("c",)), "c", 1.0),
        ((("a",), ("b",), ("c",)), "bc", 0.0),
        ((("a", "b"), ("c", "d"), ("e", "f")), "ef", 1.0),
        ((("a", "b"), ("c", "d"), ("e", "f")), "cf", 0.5),  # a call on these two has one replica left
        ((("a", "b"), ("c", "d")), "c", 0.75),  # two zones: both replicas of a call are needed
        ((), "", 1.0),
    ],
)
def test_replicas_of_one_zone_that_do_not_come_back_are_not_waited_for(by_zone, away, part):
    keepers = tuple(name for names in by_zone for name in names)
    assert (
        MemberLists(keepers, (), keepers, by_zone=by_zone).known_grants(lambda name: name not in away) == part
    )


def test_a_leader_merges_replicas_by_their_zones():
    lists = MemberLists(tuple("abcd"), tuple("abc"), tuple("abc"), by_zone=(("a",), ("b",), ("c",)))
    lead = RecoveryLeader(TIMING, lists, LeaderTiming(1_000.0, 1_000.0, 100.0))
    for name in "abd":
        lead.receive_status(0.0, name, w.StatusReport(1, True, True))
    assert lead.observe(10.0).sure == 1.0 and lead.observe(10.0).heard == 3
    lead.receive_status(10.0, "b", w.StatusReport(1, True, False))
    assert lead.observe(10.0).sure == 0.0
