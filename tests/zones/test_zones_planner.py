"""The zone planner in virtual time: which plans it makes from the members' evidence."""

import itertools

from support.zone_files import DEAD, GOOD, SLOW, members, settings

from fawnwharf.zones import plan as p
from fawnwharf.zones import settings as s
from fawnwharf.zones.evidence import ZoneEvidence
from fawnwharf.zones.planner import ZonePlanner
from fawnwharf.zones.report import Report


class PlannerHarness:
    """A planner whose members report the evidence that the test sets, four times a second."""

    def __init__(self, membership, **changes):
        self.members, self.settings = membership, settings(**changes)
        self.planner, self.now_ms, self.plan = ZonePlanner(self.settings, 0.0), 0.0, p.Plan()
        self.report_numbers, self.plans = itertools.count(1), []
        self.silent_members, self.evidence_for = set(), lambda _member, _zone: GOOD

    def run(self, seconds, request=None):
        end_ms = self.now_ms + 1000.0 * seconds
        while self.now_ms < end_ms:
            self.now_ms += 250.0
            for member in self.members.members:
                if member.name in self.silent_members:
                    continue
                evidence = {zone: self.evidence_for(member, zone) for zone in self.members.zones}
                report = Report(
                    member.name,
                    member.zone,
                    next(self.report_numbers),
                    {zone: found for zone, found in evidence.items() if found},
                    dict.fromkeys(self.members.zones, 8.0),
                    operator_request=request or s.DrainRequest(),
                )
                self.planner.receive(self.now_ms, report)
            next_plan = self.planner.next_plan(self.now_ms, self.members, self.plan)
            if next_plan:
                self.plan = p.plan_from(next_plan.encode())
                self.plans.append((self.now_ms, self.plan))
        return self

    def states(self):
        return {name: zone.state for name, zone in self.plan.zones.items()}

    def lose_zone(self, zone):
        self.silent_members = {member.name for member in self.members.members if member.zone == zone}
        self.evidence_for = lambda _member, other: DEAD if other == zone else GOOD

    def end_failure(self):
        self.silent_members, self.evidence_for = set(), lambda _member, _zone: GOOD


TWO_FRONT_ENDS_PER_ZONE = members("aabbcc", 3 + 2)
EIGHT_FRONT_ENDS_IN_THREE_ZONES = members("abcaabca", 3)


def test_a_lost_zone_is_out_after_the_damping_and_recovers_in_steps():
    harness = PlannerHarness(TWO_FRONT_ENDS_PER_ZONE).run(3)
    assert set(harness.states().values()) == {p.SERVING}
    harness.lose_zone("b")
    lost_ms = harness.now_ms
    harness.run(6)
    assert harness.states() == {"a": p.SERVING, "b": p.OUT, "c": p.SERVING}
    out_ms = next(at_ms for at_ms, plan in harness.plans if plan.zones["b"].state == p.OUT)
    # All front ends of the zone are silent and all other zones agree, so the short failover delay applies.
    settings_in_use = harness.planner.settings
    assert (
        lost_ms + settings_in_use.evidence.reporter_silence_ms
        <= out_ms
        <= lost_ms + settings_in_use.evidence.reporter_silence_ms + 1_000
    )
    harness.end_failure()
    harness.run(20)
    fractions = [plan.zones["b"].fraction for _, plan in harness.plans if plan.zones["b"].state != p.OUT]
    assert fractions[fractions.index(0.25) :] == [0.25, 0.5, 0.75, 1.0]
    assert harness.states()["b"] == p.SERVING


def test_a_zone_whose_front_ends_still_report_takes_the_whole_failover_delay():
    harness = PlannerHarness(TWO_FRONT_ENDS_PER_ZONE).run(3)
    harness.evidence_for = lambda _member, zone: DEAD if zone == "b" else GOOD
    lost_ms = harness.now_ms
    harness.run(6)
    out_ms = next(at_ms for at_ms, plan in harness.plans if plan.zones["b"].state == p.OUT)
    assert out_ms - lost_ms >= harness.settings.damping.failover_delay_ms


def test_a_zone_that_is_lost_for_less_than_a_second_stays():
    harness = PlannerHarness(TWO_FRONT_ENDS_PER_ZONE).run(3)
    harness.lose_zone("b")
    harness.run(0.75)
    harness.end_failure()
    harness.run(5)
    assert len(harness.plans) == 1


def test_a_planner_that_was_paused_starts_to_count_again():
    harness = PlannerHarness(TWO_FRONT_ENDS_PER_ZONE).run(3)
    harness.evidence_for = lambda _member, zone: DEAD if zone == "b" else GOOD
    harness.run(1)  # shorter than the failover delay
    harness.now_ms += 60_000.0  # a pause, after which the planner can't know if b was dead all the time
    resumed_ms = harness.now_ms
    harness.run(6)
    out_ms = next(at_ms for at_ms, plan in harness.plans if plan.zones["b"].state == p.OUT)
    assert out_ms - resumed_ms >= harness.settings.damping.failover_delay_ms


def test_one_wrong_observer_changes_nothing():
    harness = PlannerHarness(TWO_FRONT_ENDS_PER_ZONE).run(3)
    harness.evidence_for = lambda member, zone: DEAD if member.name == "n0" and zone != "a" else GOOD
    harness.run(30)
    assert len(harness.plans) == 1


def test_an_observer_that_finds_all_zones_dead_is_isolated_and_not_trusted():
    membership = members("abc", 3)
    harness = PlannerHarness(membership).run(3)
    harness.evidence_for = lambda member, _zone: DEAD if member.name == "n0" else GOOD
    harness.run(30)
    assert len(harness.plans) == 1


def test_a_zone_that_one_other_cannot_reach_keeps_serving_and_the_pair_is_unreachable():
    harness = PlannerHarness(TWO_FRONT_ENDS_PER_ZONE).run(3)
    harness.evidence_for = lambda member, zone: DEAD if (member.zone, zone) == ("a", "b") else GOOD
    harness.run(6)
    assert set(harness.states().values()) == {p.SERVING}
    assert harness.plan.unreachable_pairs == (("a", "b"),)
    harness.end_failure()
    harness.run(6)
    assert harness.plan.unreachable_pairs == ()


def test_a_slow_zone_serves_its_own_calls_and_takes_no_spillover():
    harness = PlannerHarness(TWO_FRONT_ENDS_PER_ZONE).run(3)
    harness.evidence_for = lambda _member, zone: SLOW if zone == "c" else GOOD
    harness.run(8)
    assert set(harness.states().values()) == {p.SERVING}
    assert [harness.plan.zones[zone].spillover for zone in "abc"] == [0.5, 0.5, 0.0]


def test_a_minority_zone_that_finds_all_others_dead_moves_no_traffic():
    harness = PlannerHarness(TWO_FRONT_ENDS_PER_ZONE).run(3)
    harness.evidence_for = lambda member, zone: DEAD if member.zone == "c" and zone != "c" else GOOD
    harness.run(10)
    assert set(harness.states().values()) == {p.SERVING}


def test_a_zone_without_front_ends_keeps_its_scorers_in_service():
    harness = PlannerHarness(TWO_FRONT_ENDS_PER_ZONE).run(3)
    harness.silent_members = {"n2", "n3"}
    harness.run(10)
    assert set(harness.states().values()) == {p.SERVING}


def test_evidence_that_flaps_faster_than_the_damping_changes_nothing():
    harness = PlannerHarness(TWO_FRONT_ENDS_PER_ZONE).run(3)
    for _ in range(20):
        harness.evidence_for = lambda _member, zone: DEAD if zone == "b" else GOOD
        harness.run(1)
        harness.end_failure()
        harness.run(1)
    assert len(harness.plans) == 1


def test_a_zone_that_fails_again_waits_twice_as_long_each_time():
    harness = PlannerHarness(TWO_FRONT_ENDS_PER_ZONE).run(3)
    recovery_delays_ms = []
    for _ in range(4):
        harness.lose_zone("b")
        harness.run(8)
        assert harness.states()["b"] == p.OUT
        healed_ms = harness.now_ms
        harness.end_failure()
        while harness.states()["b"] == p.OUT:
            harness.run(0.25)
        recovery_delays_ms.append(harness.now_ms - healed_ms)
    assert [round(delay_ms / 3000) for delay_ms in recovery_delays_ms] == [1, 2, 4, 8]


def test_a_zone_that_fails_while_it_recovers_is_out_sooner():
    harness = PlannerHarness(TWO_FRONT_ENDS_PER_ZONE).run(3)
    harness.lose_zone("b")
    harness.run(6)
    harness.end_failure()
    while harness.states()["b"] != p.RECOVERING:
        harness.run(0.25)
    harness.lose_zone("b")
    lost_again_ms = harness.now_ms
    while harness.states()["b"] != p.OUT:
        harness.run(0.25)
    assert harness.now_ms - lost_again_ms <= 3_250.0


def test_the_last_zone_is_never_put_out():
    membership = members("aab", 3)
    harness = PlannerHarness(membership).run(3)
    harness.evidence_for = lambda _member, _zone: DEAD
    harness.run(20)
    assert any(zone.open_fraction for zone in harness.plan.zones.values())


def test_a_zone_drains_before_it_is_out_and_is_restored_by_a_later_operator_request():
    harness = PlannerHarness(TWO_FRONT_ENDS_PER_ZONE).run(3)
    harness.run(1, s.DrainRequest(number=1, drained=("a",)))
    assert harness.states()["a"] == p.DRAINING
    harness.run(5, s.DrainRequest(number=1, drained=("a",)))
    assert harness.states()["a"] == p.OUT
    harness.run(20, s.DrainRequest(number=1, drained=("a",)))
    assert harness.states()["a"] == p.OUT
    harness.run(1, s.DrainRequest(number=2))
    assert harness.states()["a"] == p.RECOVERING
    harness.run(12, s.DrainRequest(number=2))
    assert harness.states()["a"] == p.SERVING


def test_an_hour_of_noise_changes_nothing():
    harness = PlannerHarness(members("abcabcabc", 3))
    draw_numbers = itertools.count(7)

    def noisy_evidence(_member, _zone):
        draw = next(draw_numbers) * 2654435761 % 1000
        if draw < 40:
            return DEAD
        return (
            SLOW
            if draw < 150
            else None
            if draw < 250
            else ZoneEvidence(responses=6, timeouts=3, slow_responses=1)
        )

    harness.evidence_for = noisy_evidence
    harness.run(3600)
    assert len(harness.plans) == 1


def test_the_remaining_front_ends_of_a_zone_are_counted_while_it_does_not_serve():
    harness = PlannerHarness(EIGHT_FRONT_ENDS_IN_THREE_ZONES).run(3)
    assert harness.plan.zones["a"].front_ends == 0
    harness.evidence_for = lambda _member, zone: DEAD if zone == "a" else GOOD
    harness.silent_members = {"n3"}
    harness.run(5)
    assert (harness.states()["a"], harness.plan.zones["a"].front_ends) == (p.OUT, 3)
    plan_count = len(harness.plans)
    harness.silent_members = {"n3", "n4"}
    harness.run(3)
    assert harness.plan.zones["a"].front_ends == 2
    assert len(harness.plans) == plan_count + 1
