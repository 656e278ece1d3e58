"""Zones: files, plans, the roster and evidence."""

import msgspec
import pytest
from support.zone_files import members_data, settings

from fawnwharf import config
from fawnwharf.interface import AttemptResult
from fawnwharf.net.roster_overlay import RosterOverlay
from fawnwharf.zones import plan as p
from fawnwharf.zones import roster_closing
from fawnwharf.zones import settings as s
from fawnwharf.zones.evidence import EvidenceCollector, ZoneEvidence, ZoneHealth, zone_health

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
    with pytest.raises(s.SettingsFileError, match=text):
        s.membership_from(data)


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
    with pytest.raises(s.SettingsFileError, match=text):
        settings(**more)


def test_wishes_that_would_put_all_zones_out_or_name_none_are_refused():
    for drained, text in ((["a", "b"], "all zones would be out"), (["c"], r"drained\[0\]: no zone c")):
        with pytest.raises(s.SettingsFileError, match=text):
            s.operator_request_from({"version": 1, "number": 1, "drained": drained}, {"a", "b"})
    assert s.operator_request_from({"version": 1, "number": 1, "drained": ["a"]}, {"a", "b"}).drained == (
        "a",
    )


# --- plans --------------------------------------------------------------------------------------


def plan(**zones):
    """State, size, spill and region of each zone."""
    made = {}
    for name, (state, size, spill, region) in zones.items():
        share = 1.0 if state == p.SERVING else 0.5 if state == p.RECOVERING else 0.0
        made[name] = p.PlannedZone(state=state, fraction=share, size=size, spillover=spill, region=region)
    return p.Plan(number=1, zones=made)


def test_a_lost_zones_calls_go_to_its_region_first_and_no_further_than_the_limit():
    three = plan(a=(p.OUT, 8, 0.5, "x"), b=(p.SERVING, 8, 0.5, "x"), c=(p.SERVING, 8, 0.5, "y"))
    assert p.spillover_flows(three) == {"a": {"b": 4.0, "c": 4.0}}
    assert p.admitted_fraction(three, "a") == 1.0
    roomy = plan(a=(p.OUT, 4, 0.5, "x"), b=(p.SERVING, 8, 0.5, "x"), c=(p.SERVING, 8, 0.5, "y"))
    assert p.spillover_flows(roomy) == {"a": {"b": 4.0}}
    assert p.open_zones(roomy, "a") == {"b"} and p.open_zones(roomy, "b") == {"b", "c"}


def test_two_zones_lost_share_what_room_there_is_and_the_rest_is_not_admitted():
    lost = plan(
        a=(p.OUT, 8, 0.5, "x"),
        b=(p.OUT, 4, 0.5, "x"),
        c=(p.SERVING, 8, 0.25, "x"),
        d=(p.SERVING, 8, 0.25, "y"),
    )
    sent = p.spillover_flows(lost)
    assert sum(parts.get("c", 0) for parts in sent.values()) == pytest.approx(2.0)
    assert sum(parts.get("d", 0) for parts in sent.values()) == pytest.approx(2.0)
    assert p.admitted_fraction(lost, "a") == pytest.approx(p.admitted_fraction(lost, "b"), abs=0.1)
    assert p.admitted_fraction(lost, "a") < 0.5 and p.admitted_fraction(lost, "c") == 1.0


def test_a_zone_that_returns_takes_its_own_share_and_nobody_elses():
    back = plan(a=(p.RECOVERING, 8, 0.5, "x"), b=(p.OUT, 8, 0.5, "x"), c=(p.SERVING, 8, 1.0, "x"))
    assert "a" not in p.spillover_flows(back)["b"]
    assert p.admitted_fraction(back, "a") > 0.5
    opened = [n for n in range(400) if p.is_open(back, "a", f"s-{n}")]
    assert 150 < len(opened) < 250
    more = msgspec.structs.replace(back.zones["a"], fraction=0.75)
    wider = msgspec.structs.replace(back, zones=back.zones | {"a": more})
    assert all(p.is_open(wider, "a", f"s-{n}") for n in opened)  # none that was open closes again


def test_zones_that_do_not_reach_each_other_do_not_spill_there():
    base = plan(a=(p.OUT, 4, 0.5, "x"), b=(p.SERVING, 8, 0.5, "x"), c=(p.SERVING, 8, 0.5, "y"))
    cut = msgspec.structs.replace(base, unreachable=(("a", "b"),))
    assert p.spillover_flows(cut) == {"a": {"c": 4.0}} and p.open_zones(cut, "a") == {"c"}


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
    with pytest.raises(p.PlanError, match=why):
        p.plan_from(text)


# --- the roster ---------------------------------------------------------------------------------


def scorers(*ids, phase="in_service"):
    return [config.Member(id, phase, "127.0.0.1:1", locality=id[0], size=2.0) for id in ids]


def phases(fleet):
    return {member.id: member.phase for member in fleet.members}


def test_a_plan_closes_scorers_and_never_opens_one_that_drains():
    overlay = RosterOverlay()
    fleet = config.Fleet([*scorers("a1", "b1"), *scorers("b2", phase="terminating")], complete=True)
    assert phases(overlay.apply(fleet)) == {"a1": "in_service", "b1": "in_service", "b2": "terminating"}
    out = plan(a=(p.SERVING, 2, 0.5, "x"), b=(p.OUT, 2, 0.5, "x"))
    assert phases(overlay.set_filter("zones", roster_closing.plan_closer(out, "a"))) == {"b1": "terminating"}
    assert phases(overlay.apply(config.Fleet(scorers("b3")))) == {"b3": "terminating"}
    assert [m.id for m in roster_closing.in_zone(overlay.members.values(), "b")] == ["b1", "b3"]
    back = overlay.set_filter("zones", roster_closing.plan_closer(None, "a"))
    assert phases(back) == {"b1": "in_service", "b3": "in_service"}
    assert roster_closing.zone_sizes(overlay.members.values()) == {"a": 2.0, "b": 4.0}


def test_the_roster_keeps_what_a_change_does_not_tell_again():
    overlay = RosterOverlay()
    overlay.apply(config.Fleet(scorers("b1"), complete=True))
    gone = config.Member("b1", "terminated")
    [told] = overlay.apply(config.Fleet([gone])).members
    assert (told.phase, told.host_port, told.locality) == ("terminated", "127.0.0.1:1", "b")
    assert overlay.members == {}


# --- evidence -----------------------------------------------------------------------------------


def test_signs_amount_to_a_view_only_when_there_are_enough():
    rules = s.EvidenceSettings()
    table = {
        None: ZoneHealth.UNKNOWN,
        ZoneEvidence(connect_failures=2): ZoneHealth.UNKNOWN,
        ZoneEvidence(connect_failures=3): ZoneHealth.DEAD,
        ZoneEvidence(responses=1, timeouts=4): ZoneHealth.DEAD,
        ZoneEvidence(responses=2, timeouts=4): ZoneHealth.GOOD,
        ZoneEvidence(responses=4, slow_responses=2): ZoneHealth.SLOW,
        ZoneEvidence(responses=4, slow_responses=1): ZoneHealth.GOOD,
        ZoneEvidence(
            responses=40, connect_failures=3, failing_scorers=3, since_success_ms=400.0
        ): ZoneHealth.DEAD,
        ZoneEvidence(
            responses=40, connect_failures=3, failing_scorers=3, since_success_ms=399.0
        ): ZoneHealth.GOOD,
        ZoneEvidence(
            responses=40, connect_failures=9, failing_scorers=2, since_success_ms=900.0
        ): ZoneHealth.GOOD,  # so few scorers are not a zone
    }
    for seen, expected in table.items():
        assert zone_health(seen, rules) is expected, seen


def test_an_observer_forgets_what_is_older_than_its_window():
    observer = EvidenceCollector(s.EvidenceSettings(window_ms=1_000.0), latency_objective_ms=200.0)
    observer.record_ending(0.0, "a", 1, AttemptResult.GOOD, 50.0)
    observer.record_ending(400.0, "a", 1, AttemptResult.GOOD, 300.0)
    observer.record_ending(900.0, "a", 1, AttemptResult.CANCELLED, 250.0)
    observer.record_ending(900.0, "a", 1, AttemptResult.CANCELLED, 20.0)
    observer.record_ending(900.0, "b", 2, AttemptResult.NOT_SENT, 0.0)
    observer.record_probe(900.0, "b", 2, connected=False)
    a, b = (
        ZoneEvidence(responses=2, slow_responses=1, timeouts=1, failing_scorers=1, since_success_ms=550.0),
        ZoneEvidence(connect_failures=1, failing_scorers=1, since_success_ms=50.0),
    )
    assert observer.evidence(950.0) == {"a": a, "b": b}
    a, b = (
        ZoneEvidence(responses=1, slow_responses=1, timeouts=1, failing_scorers=1, since_success_ms=950.0),
        ZoneEvidence(connect_failures=1, failing_scorers=1, since_success_ms=450.0),
    )
    assert observer.evidence(1_350.0) == {"a": a, "b": b}
    assert observer.evidence(5_000.0) == {}


def test_a_run_of_bad_signs_is_counted_by_scorers_and_ended_by_one_good_sign():
    observer = EvidenceCollector(s.EvidenceSettings(), latency_objective_ms=200.0)
    observer.record_probe(0.0, "a", 1, connected=True)
    for at, scorer in ((100.0, 1), (200.0, 1), (300.0, 2), (400.0, 3)):
        observer.record_probe(at, "a", scorer, connected=False)
    assert observer.evidence(500.0)["a"] == ZoneEvidence(
        responses=1, connect_failures=4, failing_scorers=3, since_success_ms=500.0
    )
    assert zone_health(observer.evidence(500.0)["a"], s.EvidenceSettings()) is ZoneHealth.DEAD
    assert observer.since_success_ms(500.0, "a") == 500.0
    observer.record_ending(600.0, "a", 2, AttemptResult.GOOD, 10.0)
    assert observer.evidence(600.0)["a"] == ZoneEvidence(responses=2, connect_failures=4)
