"""Zones: files, plans, evidence, the judge, and a fleet of members in virtual time."""

import heapq
import itertools

import msgspec
import pytest

from fawnwharf import config
from fawnwharf.accord.messages import Saved
from fawnwharf.accord.voter import founding
from fawnwharf.interface import Ending
from fawnwharf.net.overlay import Overlay
from fawnwharf.zones import plan as p
from fawnwharf.zones import roster
from fawnwharf.zones import settings as s
from fawnwharf.zones.evidence import Observer, Seen, View, view
from fawnwharf.zones.judge import Judge, Report
from fawnwharf.zones.member import Ballot, Follow, Keep, LineFault, Member, Note, Publish

GOOD, DEAD, SLOW = Seen(heard=9), Seen(silent=6, refused=3), Seen(heard=9, slow=8)


def members_data(zones="aab", voters=3, regions=None):
    """Members n0, n1, ... of these zones; the first ones are voters."""
    regions = regions or {}
    list_of = [
        {"name": f"n{n}", "zone": zone, "region": regions.get(zone, "r"), "address": f"127.0.0.1:{5000 + n}"}
        | ({"ballots": f"127.0.0.1:{6000 + n}"} if n < voters else {})
        for n, zone in enumerate(zones)
    ]
    return {"version": 1, "fleet": "f", "number": 1, "members": list_of}


def members(zones="aab", voters=3, **more):
    return s.members_from(members_data(zones, voters, **more))


def settings(**more):
    return s.settings_from({"version": 1, "members": "m.json", "folder": "state"} | more)


# --- files --------------------------------------------------------------------------------------


def wrong(change, zones="aab", voters=3):
    data = members_data(zones, voters)
    change(data)
    return data


@pytest.mark.parametrize(
    ("data", "text"),
    [
        (b'{"version": 1, "fle', "members: not JSON"),
        (wrong(lambda d: d.update(version=2)), "version: 2"),
        (wrong(lambda d: d["members"][1].update(name="n0")), r"members\[1\].name: n0 stands twice"),
        (wrong(lambda d: d["members"][1].update(address="127.0.0.1:5000")), r"members\[1\].address"),
        (wrong(lambda d: d["members"][1].update(region="x")), r"members\[1\].region: zone a stands in two"),
        (wrong(lambda d: d["members"][1].pop("ballots")), "members: 2 voters, and it takes 3, 5 or 7"),
        (wrong(lambda d: d["members"][2].update(zone="a") or d["members"].append(
            {"name": "z", "zone": "b", "address": "127.0.0.1:1"})), "zone b has no voter"),
        (wrong(lambda d: d.update(members=[])), "members"),
        (wrong(lambda d: d.update(number=0)), "number"),
        (wrong(lambda d: d["members"][0].update(address="somewhere")), r"members\[0\].address"),
    ],
)  # fmt: skip
def test_a_faulty_file_of_members_is_refused_by_its_key(data, text):
    with pytest.raises(s.FileFault, match=text):
        s.members_from(data)


@pytest.mark.parametrize(
    ("more", "text"),
    [
        ({"version": 9}, "version"),
        ({"spill": {"share": 1.5}}, "spill.share"),
        ({"spill": {"zones": {"a": -0.1}}}, r"spill.zones\[...\]"),
        ({"ramp": {"shares": [0.5, 0.25]}}, "ramp.shares: not in rising order"),
        ({"damping": {"out_ms": 0}}, "damping.out_ms"),
        ({"voting": {"beat_ms": 500}}, "voting.beat_ms"),
        ({"evidence": {"report_ms": 1500}}, "evidence.report_life_ms"),
        ({"voting": {"valid_ms": 600}}, "voting.fresh_ms"),
    ],
)
def test_a_faulty_file_of_settings_is_refused_by_its_key(more, text):
    with pytest.raises(s.FileFault, match=text):
        settings(**more)


def test_wishes_that_would_put_all_zones_out_or_name_none_are_refused():
    for drained, text in ((["a", "b"], "all zones would be out"), (["c"], r"drained\[0\]: no zone c")):
        with pytest.raises(s.FileFault, match=text):
            s.wishes_from({"version": 1, "number": 1, "drained": drained}, {"a", "b"})
    assert s.wishes_from({"version": 1, "number": 1, "drained": ["a"]}, {"a", "b"}).drained == ("a",)


# --- plans --------------------------------------------------------------------------------------


def plan(**zones):
    """State, size, spill and region of each zone."""
    made = {}
    for name, (state, size, spill, region) in zones.items():
        share = 1.0 if state == p.SERVING else 0.5 if state == p.RETURNING else 0.0
        made[name] = p.Zone(state=state, share=share, size=size, spill=spill, region=region)
    return p.Plan(number=1, zones=made)


def test_a_lost_zones_calls_go_to_its_region_first_and_no_further_than_the_limit():
    three = plan(a=(p.OUT, 8, 0.5, "x"), b=(p.SERVING, 8, 0.5, "x"), c=(p.SERVING, 8, 0.5, "y"))
    assert p.flows(three) == {"a": {"b": 4.0, "c": 4.0}}
    assert p.admission(three, "a") == 1.0
    roomy = plan(a=(p.OUT, 4, 0.5, "x"), b=(p.SERVING, 8, 0.5, "x"), c=(p.SERVING, 8, 0.5, "y"))
    assert p.flows(roomy) == {"a": {"b": 4.0}}
    assert p.open_zones(roomy, "a") == {"b"} and p.open_zones(roomy, "b") == {"b", "c"}


def test_two_zones_lost_share_what_room_there_is_and_the_rest_is_not_admitted():
    lost = plan(
        a=(p.OUT, 8, 0.5, "x"),
        b=(p.OUT, 4, 0.5, "x"),
        c=(p.SERVING, 8, 0.25, "x"),
        d=(p.SERVING, 8, 0.25, "y"),
    )
    sent = p.flows(lost)
    assert sum(parts.get("c", 0) for parts in sent.values()) == pytest.approx(2.0)
    assert sum(parts.get("d", 0) for parts in sent.values()) == pytest.approx(2.0)
    assert p.admission(lost, "a") == pytest.approx(p.admission(lost, "b"), abs=0.1)
    assert p.admission(lost, "a") < 0.5 and p.admission(lost, "c") == 1.0


def test_a_zone_that_returns_takes_its_own_share_and_nobody_elses():
    back = plan(a=(p.RETURNING, 8, 0.5, "x"), b=(p.OUT, 8, 0.5, "x"), c=(p.SERVING, 8, 1.0, "x"))
    assert "a" not in p.flows(back)["b"]
    assert p.admission(back, "a") > 0.5
    opened = [n for n in range(400) if p.is_open(back, "a", f"s-{n}")]
    assert 150 < len(opened) < 250
    more = msgspec.structs.replace(back.zones["a"], share=0.75)
    wider = msgspec.structs.replace(back, zones=back.zones | {"a": more})
    assert all(p.is_open(wider, "a", f"s-{n}") for n in opened)  # none that was open closes again


def test_zones_that_do_not_reach_each_other_do_not_spill_there():
    base = plan(a=(p.OUT, 4, 0.5, "x"), b=(p.SERVING, 8, 0.5, "x"), c=(p.SERVING, 8, 0.5, "y"))
    cut = msgspec.structs.replace(base, apart=(("a", "b"),))
    assert p.flows(cut) == {"a": {"c": 4.0}} and p.open_zones(cut, "a") == {"c"}


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("{", "not a plan"),
        ('{"version":2}', "version 2"),
        ('{"version":1,"zones":{"a":{"state":"out"}}}', "all zones would be out"),
        ('{"version":1,"zones":{"a":{}},"apart":[["a","a"]]}', "apart"),
        ('{"version":1,"zones":{"a":{"spill":2}}}', "not a plan"),
    ],
)
def test_a_plan_that_must_not_be_followed_is_refused(text, why):
    with pytest.raises(p.PlanFault, match=why):
        p.plan_from(text)


# --- the roster ---------------------------------------------------------------------------------


def scorers(*ids, phase="in_service"):
    return [config.Member(id, phase, "127.0.0.1:1", locality=id[0], size=2.0) for id in ids]


def phases(fleet):
    return {member.id: member.phase for member in fleet.members}


def test_a_plan_closes_scorers_and_never_opens_one_that_drains():
    overlay = Overlay()
    fleet = config.Fleet([*scorers("a1", "b1"), *scorers("b2", phase="terminating")], complete=True)
    assert phases(overlay.told(fleet)) == {"a1": "in_service", "b1": "in_service", "b2": "terminating"}
    out = plan(a=(p.SERVING, 2, 0.5, "x"), b=(p.OUT, 2, 0.5, "x"))
    assert phases(overlay.close("zones", roster.closer(out, "a"))) == {"b1": "terminating"}
    assert phases(overlay.told(config.Fleet(scorers("b3")))) == {"b3": "terminating"}
    assert [m.id for m in roster.in_zone(overlay.members.values(), "b")] == ["b1", "b3"]
    back = overlay.close("zones", roster.closer(None, "a"))
    assert phases(back) == {"b1": "in_service", "b3": "in_service"}
    assert roster.sizes(overlay.members.values()) == {"a": 2.0, "b": 4.0}


def test_the_roster_keeps_what_a_change_does_not_tell_again():
    overlay = Overlay()
    overlay.told(config.Fleet(scorers("b1"), complete=True))
    gone = config.Member("b1", "terminated")
    [told] = overlay.told(config.Fleet([gone])).members
    assert (told.phase, told.host_port, told.locality) == ("terminated", "127.0.0.1:1", "b")
    assert overlay.members == {}


# --- evidence -----------------------------------------------------------------------------------


def test_signs_amount_to_a_view_only_when_there_are_enough():
    rules = s.Evidence()
    table = {
        None: View.UNKNOWN,
        Seen(refused=2): View.UNKNOWN,
        Seen(refused=3): View.DEAD,
        Seen(heard=1, silent=4): View.DEAD,
        Seen(heard=2, silent=4): View.GOOD,
        Seen(heard=4, slow=2): View.SLOW,
        Seen(heard=4, slow=1): View.GOOD,
        Seen(heard=40, refused=3, run=3, quiet_ms=400.0): View.DEAD,
        Seen(heard=40, refused=3, run=3, quiet_ms=399.0): View.GOOD,
        Seen(heard=40, refused=9, run=2, quiet_ms=900.0): View.GOOD,  # so few scorers are not a zone
    }
    for seen, expected in table.items():
        assert view(seen, rules) is expected, seen


def test_an_observer_forgets_what_is_older_than_its_window():
    observer = Observer(s.Evidence(window_ms=1_000.0), promise_ms=200.0)
    observer.ended(0.0, "a", 1, Ending.GOOD, 50.0)
    observer.ended(400.0, "a", 1, Ending.GOOD, 300.0)
    observer.ended(900.0, "a", 1, Ending.CANCELLED, 250.0)
    observer.ended(900.0, "a", 1, Ending.CANCELLED, 20.0)
    observer.ended(900.0, "b", 2, Ending.NOT_SENT, 0.0)
    observer.dialled(900.0, "b", 2, False)
    a, b = Seen(heard=2, slow=1, silent=1, run=1, quiet_ms=550.0), Seen(refused=1, run=1, quiet_ms=50.0)
    assert observer.seen(950.0) == {"a": a, "b": b}
    a, b = Seen(heard=1, slow=1, silent=1, run=1, quiet_ms=950.0), Seen(refused=1, run=1, quiet_ms=450.0)
    assert observer.seen(1_350.0) == {"a": a, "b": b}
    assert observer.seen(5_000.0) == {}


def test_a_run_of_bad_signs_is_counted_by_scorers_and_ended_by_one_good_sign():
    observer = Observer(s.Evidence(), promise_ms=200.0)
    observer.dialled(0.0, "a", 1, True)
    for at, scorer in ((100.0, 1), (200.0, 1), (300.0, 2), (400.0, 3)):
        observer.dialled(at, "a", scorer, False)
    assert observer.seen(500.0)["a"] == Seen(heard=1, refused=4, run=3, quiet_ms=500.0)
    assert view(observer.seen(500.0)["a"], s.Evidence()) is View.DEAD
    assert observer.quiet_ms(500.0, "a") == 500.0
    observer.ended(600.0, "a", 2, Ending.GOOD, 10.0)
    assert observer.seen(600.0)["a"] == Seen(heard=2, refused=4)


# --- the judge ----------------------------------------------------------------------------------


class Bench:
    """A judge whose fleet reports what the test says, every quarter of a second."""

    def __init__(self, fleet, **more):
        self.members, self.settings = fleet, settings(**more)
        self.judge, self.now, self.plan = Judge(self.settings, 0.0), 0.0, p.Plan()
        self.numbers, self.plans = itertools.count(1), []
        self.silent, self.seen = set(), lambda member, zone: GOOD

    def run(self, seconds, wishes=None):
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
                    wishes=wishes or s.Wishes(),
                )
                self.judge.heard(self.now, report)
            following = self.judge.next_plan(self.now, self.members, self.plan)
            if following:
                self.plan = p.plan_from(following.encode())
                self.plans.append((self.now, self.plan))
        return self

    def states(self):
        return {name: zone.state for name, zone in self.plan.zones.items()}

    def lose(self, zone):
        self.silent = {member.name for member in self.members.members if member.zone == zone}
        self.seen = lambda member, other: DEAD if other == zone else GOOD

    def heal(self):
        self.silent, self.seen = set(), lambda member, zone: GOOD


SIX = members("aabbcc", 3 + 2)
WIDE = members("abcaabca", 3)


def test_a_lost_zone_is_out_after_the_damping_and_comes_back_in_steps():
    bench = Bench(SIX).run(3)
    assert set(bench.states().values()) == {p.SERVING}
    bench.lose("b")
    lost = bench.now
    bench.run(6)
    assert bench.states() == {"a": p.SERVING, "b": p.OUT, "c": p.SERVING}
    went = next(at for at, plan in bench.plans if plan.zones["b"].state == p.OUT)
    # Nobody there is heard and all agree: that is sure after its own short time.
    rules = bench.judge.settings
    assert lost + rules.evidence.hush_ms <= went <= lost + rules.evidence.hush_ms + 1_000
    bench.heal()
    bench.run(20)
    shares = [plan.zones["b"].share for _, plan in bench.plans if plan.zones["b"].state != p.OUT]
    assert shares[shares.index(0.25) :] == [0.25, 0.5, 0.75, 1.0] and bench.states()["b"] == p.SERVING


def test_a_zone_whose_front_ends_still_speak_takes_the_whole_damping():
    bench = Bench(SIX).run(3)
    bench.seen = lambda member, zone: DEAD if zone == "b" else GOOD
    lost = bench.now
    bench.run(6)
    went = next(at for at, plan in bench.plans if plan.zones["b"].state == p.OUT)
    assert went - lost >= bench.settings.damping.out_ms


def test_a_zone_that_is_dark_for_less_than_a_second_stays():
    bench = Bench(SIX).run(3)
    bench.lose("b")
    bench.run(0.75)
    bench.heal()
    bench.run(5)
    assert len(bench.plans) == 1


def test_who_did_not_watch_for_a_while_begins_to_count_anew():
    bench = Bench(SIX).run(3)
    bench.seen = lambda member, zone: DEAD if zone == "b" else GOOD
    bench.run(1)  # not long enough
    bench.now += 60_000.0  # it stood still: whether b was dead all the time is not known to it
    went_on = bench.now
    bench.run(6)
    went = next(at for at, plan in bench.plans if plan.zones["b"].state == p.OUT)
    assert went - went_on >= bench.settings.damping.out_ms


def test_one_bad_observer_moves_nothing():
    bench = Bench(SIX).run(3)
    bench.seen = lambda member, zone: DEAD if member.name == "n0" and zone != "a" else GOOD
    bench.run(30)
    assert len(bench.plans) == 1


def test_one_that_sees_all_dead_is_cut_off_itself_and_counts_for_nothing():
    fleet = members("abc", 3)
    bench = Bench(fleet).run(3)
    bench.seen = lambda member, zone: DEAD if member.name == "n0" else GOOD
    bench.run(30)
    assert len(bench.plans) == 1


def test_a_zone_cut_off_from_one_other_keeps_serving_and_the_pair_is_apart():
    bench = Bench(SIX).run(3)
    bench.seen = lambda member, zone: DEAD if (member.zone, zone) == ("a", "b") else GOOD
    bench.run(6)
    assert set(bench.states().values()) == {p.SERVING} and bench.plan.apart == (("a", "b"),)
    bench.heal()
    bench.run(6)
    assert bench.plan.apart == ()


def test_a_slow_zone_serves_its_own_and_takes_no_spill():
    bench = Bench(SIX).run(3)
    bench.seen = lambda member, zone: SLOW if zone == "c" else GOOD
    bench.run(8)
    assert set(bench.states().values()) == {p.SERVING}
    assert [bench.plan.zones[zone].spill for zone in "abc"] == [0.5, 0.5, 0.0]


def test_a_minority_zone_that_calls_all_others_dead_moves_no_traffic():
    bench = Bench(SIX).run(3)
    bench.seen = lambda member, zone: DEAD if member.zone == "c" and zone != "c" else GOOD
    bench.run(10)
    assert set(bench.states().values()) == {p.SERVING}


def test_front_ends_that_are_gone_do_not_take_their_scorers_along():
    bench = Bench(SIX).run(3)
    bench.silent = {"n2", "n3"}
    bench.run(10)
    assert set(bench.states().values()) == {p.SERVING}


def test_evidence_that_flaps_faster_than_the_damping_changes_nothing():
    bench = Bench(SIX).run(3)
    for _ in range(20):
        bench.seen = lambda member, zone: DEAD if zone == "b" else GOOD
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


def test_a_zone_that_fails_while_it_returns_is_out_sooner():
    bench = Bench(SIX).run(3)
    bench.lose("b")
    bench.run(6)
    bench.heal()
    while bench.states()["b"] != p.RETURNING:
        bench.run(0.25)
    bench.lose("b")
    again = bench.now
    while bench.states()["b"] != p.OUT:
        bench.run(0.25)
    assert bench.now - again <= 3_250.0


def test_the_last_zone_is_never_put_out():
    fleet = members("aab", 3)
    bench = Bench(fleet).run(3)
    bench.seen = lambda member, zone: DEAD
    bench.run(20)
    assert any(zone.open for zone in bench.plan.zones.values())


def test_a_drained_zone_leaves_first_and_is_restored_by_a_later_wish():
    bench = Bench(SIX).run(3)
    bench.run(1, s.Wishes(number=1, drained=("a",)))
    assert bench.states()["a"] == p.LEAVING
    bench.run(5, s.Wishes(number=1, drained=("a",)))
    assert bench.states()["a"] == p.OUT
    bench.run(20, s.Wishes(number=1, drained=("a",)))
    assert bench.states()["a"] == p.OUT
    bench.run(1, s.Wishes(number=2))
    assert bench.states()["a"] == p.RETURNING
    bench.run(12, s.Wishes(number=2))
    assert bench.states()["a"] == p.SERVING


def test_an_hour_of_noise_raises_no_alarm():
    bench = Bench(members("abcabcabc", 3))
    drawn = itertools.count(7)

    def noisy(member, zone):
        draw = next(drawn) * 2654435761 % 1000
        if draw < 40:
            return DEAD
        return SLOW if draw < 150 else None if draw < 250 else Seen(heard=6, silent=3, slow=1)

    bench.seen = noisy
    bench.run(3600)
    assert len(bench.plans) == 1


# --- members in virtual time --------------------------------------------------------------------


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
                self.disks[entry.name] = founding(entry.name + "#0") if n == 0 else Saved()
            self.start(entry.name, f"{entry.name}#0", seed + n)

    def start(self, name, identity, seed=99):
        entry = self.file.named(name)
        mine = identity if entry.ballots else ""
        core = Member(name, self.file, self.settings, self.now, seed, mine, self.disks.get(name))
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
                self.do(name, core.line(self.now, sender, data, ballots))
        self.now = end
        return self

    def do(self, name, effects):
        for effect in effects:
            if isinstance(effect, Keep):
                self.disks[name] = effect.saved
            elif isinstance(effect, Publish):
                voter = self.file.named(name).ballots
                for other in self.file.members:
                    if other.name != name and (voter or other.ballots):
                        self.send(name, other.name, effect.line, False)
            elif isinstance(effect, Ballot):
                self.send(name, effect.to, effect.line, True)
            elif isinstance(effect, Follow):
                self.following[name] = effect
            elif isinstance(effect, Note):
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
        return {name for name, core in self.cores.items() if name not in self.dead and core.valid(self.now)}

    def state(self, name, zone):
        return self.cores[name].plan.zones[zone].state


def test_a_fleet_comes_together_from_one_founder_and_all_follow_its_plan():
    fleet = Fleet(members("abcabcabc", 3)).run(15)
    assert len(fleet.leaders()) == 1
    leader = fleet.cores[fleet.leaders()[0]]
    assert {v.partition("#")[0] for v in leader.voter.saved.voters} == {"n0", "n1", "n2"}
    assert fleet.valid() == set(fleet.cores)
    assert {effect.index for effect in fleet.following.values()} == {leader.index}


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
    went = min(at for at, _, note in fleet.notes if note.event == "proposed" and at > lost)
    rules = fleet.settings
    assert went - led <= rules.evidence.report_ms
    assert went - lost <= 2 * rules.voting.election_ms + 2 * rules.evidence.report_ms


def test_a_minority_decides_nothing_knows_that_its_plan_is_old_and_takes_the_new_one():
    fleet = Fleet(members("abcabcabc", 3)).run(15)
    before = fleet.cores["n0"].index
    fleet.part("a")
    fleet.seen = lost("a")
    cut = fleet.now
    fleet.run(10)
    inside = {"n0", "n3", "n6"}
    assert fleet.valid() == set(fleet.cores) - inside
    assert {fleet.cores[name].index for name in inside} == {before}
    assert all(fleet.following[name].plan is None for name in inside)
    old = [at for at, name, note in fleet.notes if name in inside and note.event == "plan old"]
    most = fleet.settings.voting.valid_ms + fleet.settings.voting.fresh_ms
    assert len(old) == 3 and max(old) - cut <= most
    assert fleet.state("n1", "a") == p.OUT
    fleet.cut.clear()
    fleet.seen = lambda member, zone: GOOD
    fleet.run(3)
    assert fleet.valid() == set(fleet.cores)
    assert len({fleet.cores[name].index for name in fleet.cores}) == 1


def test_a_voter_with_an_empty_disk_is_another_voter_and_is_taken_in_as_such():
    fleet = Fleet(members("abcabc", 3)).run(15)
    fleet.dead.add("n1")
    fleet.run(3)
    fleet.disks["n1"] = Saved()
    fleet.start("n1", "n1#1")
    fleet.run(15)
    leader = fleet.cores[fleet.leaders()[0]]
    assert set(leader.voter.saved.voters) == {"n0#0", "n1#1", "n2#0"}
    assert leader.voter.commit == leader.voter.saved.last_index


def test_members_change_during_a_failover_and_one_voter_gives_way_to_another():
    file = members("abcabc", 3)
    fleet = Fleet(file).run(15)
    data = members_data("abcabc", 3) | {"number": 2}
    data["members"][4]["ballots"] = data["members"][1].pop("ballots")
    later = s.members_from(data)
    fleet.seen = lambda member, other: DEAD if other == "c" and member.zone != "c" else GOOD
    fleet.file = later
    fleet.disks["n4"] = Saved()
    for name in ("n0", "n1", "n2", "n3", "n5"):
        fleet.do(name, fleet.cores[name].take_members(fleet.now, later))
    fleet.start("n4", "n4#0")
    fleet.run(20)
    [name] = fleet.leaders()
    assert {v.partition("#")[0] for v in fleet.cores[name].voter.saved.voters} == {"n0", "n2", "n4"}
    assert fleet.cores[name].plan.apart  # c serves its own: the others do not reach it
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
    before = core.plan, core.index, core.fresh_ms, dict(core.judge.reports)
    with pytest.raises(LineFault):
        core.line(fleet.now, "n1", data, False)
    assert before == (core.plan, core.index, core.fresh_ms, dict(core.judge.reports))


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
    with pytest.raises(LineFault):
        core.line(fleet.now, "n1", {"fleet": "f", "sender": "n1", "ballot": ballot}, True)
    for bad in ({}, {"type": "Vote"}, 7):
        with pytest.raises(LineFault):
            core.line(fleet.now, "n1", {"fleet": "f", "sender": "n1", "ballot": bad}, True)
    stray = ballot | {"sender": "n4#0"}
    assert core.line(fleet.now, "n4", {"fleet": "f", "sender": "n4", "ballot": stray}, True) == []
    assert core.voter.saved.term == term and core.counts.dropped["ballot of no voter"] == 1


def test_an_old_leaders_word_on_an_older_plan_makes_nothing_fresh():
    fleet = Fleet(members("abc", 3)).run(10)
    core = fleet.cores["n0"]
    core.fresh_ms = None
    line = {"fleet": "f", "sender": "n1", "fresh": True, "index": core.index - 1, "term": 1}
    core.line(fleet.now, "n1", line, False)
    assert not core.valid(fleet.now)
    core.line(fleet.now, "n1", line | {"index": core.index}, False)
    assert core.valid(fleet.now)


def test_a_voter_whose_disk_is_an_older_copy_of_itself_is_not_heard():
    fleet = Fleet(members("abcabc", 3)).run(15)
    core = fleet.cores["n0"]
    most = core.heard_saves["n1#0"]
    vote = {"type": "Vote", "sender": "n1#0", "to": "n0#0", "term": 999, "last_index": 999, "last_term": 999}
    line = {"fleet": "f", "sender": "n1", "ballot": vote, "saves": most - 1}
    later = fleet.now + 60_000.0  # bound to nobody any more
    [note] = core.line(later, "n1", line, True)
    assert note.event == "older disk" and core.voter.saved.term < 999
    effects = core.line(later, "n1", line | {"saves": most}, True)
    assert any(isinstance(effect, Keep) for effect in effects)


def test_a_disk_is_told_as_written_as_often_as_it_was():
    fleet = Fleet(members("abc", 3))
    kept = dict.fromkeys(fleet.cores, 0)
    do = fleet.do

    def count(name, effects):
        for effect in effects:
            kept[name] += isinstance(effect, Keep)
            if isinstance(effect, Ballot):
                assert effect.line.saves == kept[name]
        do(name, effects)

    fleet.do = count
    fleet.run(12)
    assert min(kept.values()) > 2


def test_the_front_ends_that_are_left_of_a_zone_are_counted_while_it_does_not_serve():
    bench = Bench(WIDE).run(3)
    assert bench.plan.zones["a"].fronts == 0
    bench.seen = lambda member, zone: DEAD if zone == "a" else GOOD
    bench.silent = {"n3"}
    bench.run(5)
    assert (bench.states()["a"], bench.plan.zones["a"].fronts) == (p.OUT, 3)
    before = len(bench.plans)
    bench.silent = {"n3", "n4"}
    bench.run(3)
    assert bench.plan.zones["a"].fronts == 2 and len(bench.plans) == before + 1
