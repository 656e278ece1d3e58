"""The roster overlay with the filters of operators, zone plan and outlier ejection, in every order."""

import itertools
import unittest

import pytest
from hypothesis import given, strategies
from peers import Rig, ScorerPeer

from fawnwharf.config import Fleet, Member
from fawnwharf.interface import ScorerState
from fawnwharf.net.front_end import scorer_number
from fawnwharf.net.roster_overlay import RosterOverlay
from fawnwharf.replication import outlier_ejection
from fawnwharf.zones import plan as p
from fawnwharf.zones import roster_filter

IDS = ("a1", "a2", "b1", "b2")
OUT = p.Plan(zones={"a": p.PlannedZone(size=2.0), "b": p.PlannedZone(p.OUT, size=2.0)})
HALF = p.Plan(zones={"a": p.PlannedZone(size=2.0), "b": p.PlannedZone(p.RECOVERING, 0.5, size=2.0)})
# By component: the values that it may set, and the scorers that its filter then excludes. In the recovering
# zone b, scorer b2 is in service, by the hash of its id.
FILTERS = {
    "operators": [(None, ""), (frozenset(("a1", "b1")).__contains__, "a1 b1"), ("b2".__eq__, "b2")],
    "zones": [(None, ""), (OUT, "b1 b2"), (HALF, "b1")],
    "state": [(frozenset(), ""), (frozenset(("a2", "b1")), "a2 b1"), (frozenset(("a1",)), "a1")],
}


def filter_of(who, value):
    if who == "zones":
        return roster_filter.roster_filter_for_plan(value, "a")
    if who == "state":
        return outlier_ejection.excluding(value)
    return value and (lambda member: value(member.id))


def reported(id, phase="in_service"):
    return Member(id, phase, "127.0.0.1:1", locality=id[0], size=1.0)


def phases(fleet):
    return {member.id: member.phase for member in fleet.members}


@pytest.mark.parametrize("set_order", itertools.permutations(FILTERS))
@pytest.mark.parametrize("removal_order", itertools.permutations(FILTERS))
def test_a_scorer_is_excluded_while_any_filter_excludes_it(set_order, removal_order):
    overlay, excluded_by = RosterOverlay(), {}
    overlay.apply(Fleet([reported(id) for id in IDS], complete=True))
    steps = [(who, 1) for who in set_order] + [(who, 0) for who in removal_order]
    before = set()
    for who, index in steps:
        value, ids = FILTERS[who][index]
        excluded_by[who] = set(ids.split())
        excluded = set().union(*excluded_by.values())
        changes = phases(overlay.set_filter(who, filter_of(who, value)))
        assert changes == {id: "terminating" if id in excluded else "in_service" for id in excluded ^ before}
        before = excluded
    assert not before


class Model:
    """Reference model: the reported roster, the exclusions, and the phases that the overlay returned."""

    def __init__(self):
        self.overlay = RosterOverlay()
        self.roster, self.excluded_by, self.returned = {}, {}, {}

    def phase(self, id):
        excluded = any(id in ids for ids in self.excluded_by.values())
        return "terminating" if excluded and self.roster[id] == "in_service" else self.roster[id]

    def report(self, found, complete):
        if complete:
            self.roster, self.returned = {}, {}
        self.roster |= found
        fleet = Fleet([reported(id, phase) for id, phase in found.items()], complete)
        assert phases(filtered := self.overlay.apply(fleet)) == {id: self.phase(id) for id in found}
        self.returned |= phases(filtered)
        self.roster = {id: phase for id, phase in self.roster.items() if phase != "terminated"}
        self.returned = {id: phase for id, phase in self.returned.items() if phase != "terminated"}

    def set_filter(self, who, index):
        value, ids = FILTERS[who][index]
        self.excluded_by[who] = set(ids.split())
        changes = phases(self.overlay.set_filter(who, filter_of(who, value)))
        assert all(self.returned[id] != phase for id, phase in changes.items())  # only real changes
        self.returned |= changes

    def check(self):
        assert self.returned == {id: self.phase(id) for id in self.roster}
        for who in FILTERS:
            others = set().union(*(ids for other, ids in self.excluded_by.items() if other != who))
            left = {id for id, phase in self.roster.items() if phase == "in_service"} - others
            assert {member.id for member in self.overlay.in_service_except_for(who)} == left


REPORTS = strategies.tuples(
    strategies.dictionaries(
        strategies.sampled_from(IDS), strategies.sampled_from(("in_service", "terminating", "terminated"))
    ),
    strategies.booleans(),
)
FILTER_CHANGES = strategies.tuples(strategies.sampled_from(sorted(FILTERS)), strategies.integers(0, 2))


@given(strategies.lists(REPORTS | FILTER_CHANGES, max_size=16))
def test_the_returned_changes_add_up_to_the_filtered_roster(steps):
    model = Model()
    model.report(dict.fromkeys(IDS, "in_service"), True)
    for subject, detail in steps:
        (model.set_filter if isinstance(subject, str) else model.report)(subject, detail)
        model.check()


class Recorder:
    """An extension that records each fleet event, and the reported phases at that time."""

    busy = False

    def __init__(self):
        self.front, self.recorded = None, []

    def on_fleet(self, fleet):
        self.recorded += [
            (m.id, m.phase, self.front.roster_overlay.members[m.id].phase) for m in fleet.members
        ]

    def on_events(self, events): ...

    def close(self): ...


class Extensions(unittest.TestCase):
    def test_an_extension_receives_the_reported_roster_and_the_router_the_filtered_one(self):
        one, two = ScorerPeer("s-1"), ScorerPeer("s-2")
        extension = Recorder()
        rig = Rig(one, two)
        self.addCleanup(rig.close)
        rig.front._extension, extension.front = extension, rig.front
        scorers = rig.front.router.scorers
        rig.until(lambda: len(scorers) == 2, "both scorers are known")
        for who in ("zones", "state"):
            rig.front.apply_filtered_roster(
                rig.front.roster_overlay.set_filter(who, lambda member: member.id == "s-1")
            )
        rig.log.say({"seq": 2, "fleet": {"members": [one.member(), two.member()]}})
        rig.until(
            lambda: rig.front.change_log.seq == 2 and not rig.front._pending_change, "the event is applied"
        )
        self.assertEqual(extension.recorded, [(id, "in_service", "in_service") for id in ("s-1", "s-2")])
        found = {id: scorers[scorer_number(id)].entry.state for id in ("s-1", "s-2")}
        self.assertEqual(found, {"s-1": ScorerState.DRAINING, "s-2": ScorerState.READY})
        rig.front.apply_filtered_roster(rig.front.roster_overlay.set_filter("zones", None))
        rig.front.apply_filtered_roster(rig.front.roster_overlay.set_filter("state", None))
        rig.until(
            lambda: scorers[scorer_number("s-1")].entry.state is ScorerState.READY,
            "the scorer is in service again",
        )
