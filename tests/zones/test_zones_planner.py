"""The zone planner: what it makes of the members' evidence, in virtual time."""

import itertools

from support.zone_files import DEAD, GOOD, SLOW, members, settings

from fawnwharf.zones import plan as p
from fawnwharf.zones import settings as s
from fawnwharf.zones.evidence import ZoneEvidence
from fawnwharf.zones.planner import ZonePlanner
from fawnwharf.zones.report import Report


class Bench:
    """A planner whose fleet reports what the test sets, every quarter of a second."""

    def __init__(self, fleet, **more):
        self.members, self.settings = fleet, settings(**more)
        self.planner, self.now, self.plan = ZonePlanner(self.settings, 0.0), 0.0, p.Plan()
        self.numbers, self.plans = itertools.count(1), []
        self.silent, self.seen = set(), lambda _member, _zone: GOOD

    def run(self, seconds, request=None):
        end = self.now + 1000.0 * seconds
        while self.now < end:
            self.now += 250.0
            for member in self.members.members:
                if member.name in self.silent:
                    continue
                views = {zone: self.seen(member, zone) for zone in self.members.zones}
                report = Report(
                    member.name,
                    member.zone,
                    next(self.numbers),
                    {zone: seen for zone, seen in views.items() if seen},
                    dict.fromkeys(self.members.zones, 8.0),
                    operator_request=request or s.DrainRequest(),
                )
                self.planner.receive(self.now, report)
            following = self.planner.next_plan(self.now, self.members, self.plan)
            if following:
                self.plan = p.plan_from(following.encode())
                self.plans.append((self.now, self.plan))
        return self

    def states(self):
        return {name: zone.state for name, zone in self.plan.zones.items()}

    def lose(self, zone):
        self.silent = {member.name for member in self.members.members if member.zone == zone}
        self.seen = lambda _member, other: DEAD if other == zone else GOOD

    def heal(self):
        self.silent, self.seen = set(), lambda _member, _zone: GOOD


SIX = members("aabbcc", 3 + 2)
WIDE = members("abcaabca", 3)


def test_a_lost_zone_is_out_after_the_damping_and_recovers_in_steps():
    bench = Bench(SIX).run(3)
    assert set(bench.states().values()) == {p.SERVING}
    bench.lose("b")
    lost = bench.now
    bench.run(6)
    assert bench.states() == {"a": p.SERVING, "b": p.OUT, "c": p.SERVING}
    went = next(at for at, plan in bench.plans if plan.zones["b"].state == p.OUT)
    # Nobody there is heard and all agree: that is sure after its own short time.
    rules = bench.planner.settings
    assert (
        lost + rules.evidence.reporter_silence_ms <= went <= lost + rules.evidence.reporter_silence_ms + 1_000
    )
    bench.heal()
    bench.run(20)
    shares = [plan.zones["b"].fraction for _, plan in bench.plans if plan.zones["b"].state != p.OUT]
    assert shares[shares.index(0.25) :] == [0.25, 0.5, 0.75, 1.0]
    assert bench.states()["b"] == p.SERVING


def test_a_zone_whose_front_ends_still_report_takes_the_whole_failover_delay():
    bench = Bench(SIX).run(3)
    bench.seen = lambda _member, zone: DEAD if zone == "b" else GOOD
    lost = bench.now
    bench.run(6)
    went = next(at for at, plan in bench.plans if plan.zones["b"].state == p.OUT)
    assert went - lost >= bench.settings.damping.failover_delay_ms


def test_a_zone_that_is_lost_for_less_than_a_second_stays():
    bench = Bench(SIX).run(3)
    bench.lose("b")
    bench.run(0.75)
    bench.heal()
    bench.run(5)
    assert len(bench.plans) == 1


def test_a_planner_that_was_paused_starts_to_count_again():
    bench = Bench(SIX).run(3)
    bench.seen = lambda _member, zone: DEAD if zone == "b" else GOOD
    bench.run(1)  # not long enough
    bench.now += 60_000.0  # it stood still: whether b was dead all the time is not known to it
    went_on = bench.now
    bench.run(6)
    went = next(at for at, plan in bench.plans if plan.zones["b"].state == p.OUT)
    assert went - went_on >= bench.settings.damping.failover_delay_ms


def test_one_wrong_observer_changes_nothing():
    bench = Bench(SIX).run(3)
    bench.seen = lambda member, zone: DEAD if member.name == "n0" and zone != "a" else GOOD
    bench.run(30)
    assert len(bench.plans) == 1


def test_an_observer_that_finds_all_zones_dead_is_isolated_and_not_trusted():
    fleet = members("abc", 3)
    bench = Bench(fleet).run(3)
    bench.seen = lambda member, _zone: DEAD if member.name == "n0" else GOOD
    bench.run(30)
    assert len(bench.plans) == 1


def test_a_zone_that_one_other_cannot_reach_keeps_serving_and_the_pair_is_unreachable():
    bench = Bench(SIX).run(3)
    bench.seen = lambda member, zone: DEAD if (member.zone, zone) == ("a", "b") else GOOD
    bench.run(6)
    assert set(bench.states().values()) == {p.SERVING}
    assert bench.plan.unreachable_pairs == (("a", "b"),)
    bench.heal()
    bench.run(6)
    assert bench.plan.unreachable_pairs == ()


def test_a_slow_zone_serves_its_own_calls_and_takes_no_spillover():
    bench = Bench(SIX).run(3)
    bench.seen = lambda _member, zone: SLOW if zone == "c" else GOOD
    bench.run(8)
    assert set(bench.states().values()) == {p.SERVING}
    assert [bench.plan.zones[zone].spillover for zone in "abc"] == [0.5, 0.5, 0.0]


def test_a_minority_zone_that_finds_all_others_dead_moves_no_traffic():
    bench = Bench(SIX).run(3)
    bench.seen = lambda member, zone: DEAD if member.zone == "c" and zone != "c" else GOOD
    bench.run(10)
    assert set(bench.states().values()) == {p.SERVING}


def test_a_zone_without_front_ends_keeps_its_scorers_in_service():
    bench = Bench(SIX).run(3)
    bench.silent = {"n2", "n3"}
    bench.run(10)
    assert set(bench.states().values()) == {p.SERVING}


def test_evidence_that_flaps_faster_than_the_damping_changes_nothing():
    bench = Bench(SIX).run(3)
    for _ in range(20):
        bench.seen = lambda _member, zone: DEAD if zone == "b" else GOOD
        bench.run(1)
        bench.heal()
        bench.run(1)
    assert len(bench.plans) == 1


def test_a_zone_that_fails_again_waits_twice_as_long_each_time():
    bench = Bench(SIX).run(3)
    pauses = []
    for _ in range(4):
        bench.lose("b")
        bench.run(8)
        assert bench.states()["b"] == p.OUT
        healed = bench.now
        bench.heal()
        while bench.states()["b"] == p.OUT:
            bench.run(0.25)
        pauses.append(bench.now - healed)
    assert [round(pause / 3000) for pause in pauses] == [1, 2, 4, 8]


def test_a_zone_that_fails_while_it_recovers_is_out_sooner():
    bench = Bench(SIX).run(3)
    bench.lose("b")
    bench.run(6)
    bench.heal()
    while bench.states()["b"] != p.RECOVERING:
        bench.run(0.25)
    bench.lose("b")
    again = bench.now
    while bench.states()["b"] != p.OUT:
        bench.run(0.25)
    assert bench.now - again <= 3_250.0


def test_the_last_zone_is_never_put_out():
    fleet = members("aab", 3)
    bench = Bench(fleet).run(3)
    bench.seen = lambda _member, _zone: DEAD
    bench.run(20)
    assert any(zone.open_fraction for zone in bench.plan.zones.values())


def test_a_zone_drains_before_it_is_out_and_is_restored_by_a_later_operator_request():
    bench = Bench(SIX).run(3)
    bench.run(1, s.DrainRequest(number=1, drained=("a",)))
    assert bench.states()["a"] == p.DRAINING
    bench.run(5, s.DrainRequest(number=1, drained=("a",)))
    assert bench.states()["a"] == p.OUT
    bench.run(20, s.DrainRequest(number=1, drained=("a",)))
    assert bench.states()["a"] == p.OUT
    bench.run(1, s.DrainRequest(number=2))
    assert bench.states()["a"] == p.RECOVERING
    bench.run(12, s.DrainRequest(number=2))
    assert bench.states()["a"] == p.SERVING


def test_an_hour_of_noise_changes_nothing():
    bench = Bench(members("abcabcabc", 3))
    drawn = itertools.count(7)

    def noisy(_member, _zone):
        draw = next(drawn) * 2654435761 % 1000
        if draw < 40:
            return DEAD
        return (
            SLOW
            if draw < 150
            else None
            if draw < 250
            else ZoneEvidence(responses=6, timeouts=3, slow_responses=1)
        )

    bench.seen = noisy
    bench.run(3600)
    assert len(bench.plans) == 1


def test_the_remaining_front_ends_of_a_zone_are_counted_while_it_does_not_serve():
    bench = Bench(WIDE).run(3)
    assert bench.plan.zones["a"].front_ends == 0
    bench.seen = lambda _member, zone: DEAD if zone == "a" else GOOD
    bench.silent = {"n3"}
    bench.run(5)
    assert (bench.states()["a"], bench.plan.zones["a"].front_ends) == (p.OUT, 3)
    before = len(bench.plans)
    bench.silent = {"n3", "n4"}
    bench.run(3)
    assert bench.plan.zones["a"].front_ends == 2
    assert len(bench.plans) == before + 1
