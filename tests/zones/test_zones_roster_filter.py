"""The roster filter of a plan, and the roster overlay that applies it."""

from support.zone_plans import plan

from fawnwharf import config
from fawnwharf.net.roster_overlay import RosterOverlay
from fawnwharf.zones import plan as p
from fawnwharf.zones import roster_filter


def scorers(*names, phase="in_service"):
    return [config.Member(name, phase, "127.0.0.1:1", locality=name[0], size=2.0) for name in names]


def phases(fleet):
    return {member.id: member.phase for member in fleet.members}


def test_a_plan_closes_scorers_and_never_opens_a_draining_one():
    overlay = RosterOverlay()
    fleet = config.Fleet([*scorers("a1", "b1"), *scorers("b2", phase="terminating")], complete=True)
    assert phases(overlay.apply(fleet)) == {"a1": "in_service", "b1": "in_service", "b2": "terminating"}
    plan_without_b = plan(a=(p.SERVING, 2, 0.5, "x"), b=(p.OUT, 2, 0.5, "x"))
    assert phases(overlay.set_filter("zones", roster_filter.roster_filter_for_plan(plan_without_b, "a"))) == {
        "b1": "terminating"
    }
    assert phases(overlay.apply(config.Fleet(scorers("b3")))) == {"b3": "terminating"}
    assert [m.id for m in roster_filter.in_zone(overlay.members.values(), "b")] == ["b1", "b3"]
    reopened = overlay.set_filter("zones", roster_filter.roster_filter_for_plan(None, "a"))
    assert phases(reopened) == {"b1": "in_service", "b3": "in_service"}
    assert roster_filter.zone_sizes(overlay.members.values()) == {"a": 2.0, "b": 4.0}


def test_the_roster_keeps_what_a_change_does_not_repeat():
    overlay = RosterOverlay()
    overlay.apply(config.Fleet(scorers("b1"), complete=True))
    terminated = config.Member("b1", "terminated")
    [change] = overlay.apply(config.Fleet([terminated])).members
    assert (change.phase, change.host_port, change.locality) == ("terminated", "127.0.0.1:1", "b")
    assert overlay.members == {}
