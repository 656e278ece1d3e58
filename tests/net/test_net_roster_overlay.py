"""One overlay for all that may close scorers: operators, a plan, hints on bad ones, in every order."""

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
# What each may lay, as each lays it, and what that closes. Of zone b, half is b2 (by the hash of its id).
LAYERS = {
    "operators": [(None, ""), (frozenset(("a1", "b1")).__contains__, "a1 b1"), ("b2".__eq__, "b2")],
    "zones": [(None, ""), (OUT, "b1 b2"), (HALF, "b1")],
    "state": [(frozenset(), ""), (frozenset(("a2", "b1")), "a2 b1"), (frozenset(("a1",)), "a1")],
}


def closer(who, laid):
    if who == "zones":
        return roster_filter.roster_filter_for_plan(laid, "a")
    if who == "state":
        return outlier_ejection.excluding(laid)
    return laid and (lambda member: laid(member.id))


def told(id, phase="in_service"):
    return Member(id, phase, "127.0.0.1:1", locality=id[0], size=1.0)


def phases(fleet):
    return {member.id: member.phase for member in fleet.members}


@pytest.mark.parametrize("order", itertools.permutations(LAYERS))
@pytest.mark.parametrize("back", itertools.permutations(LAYERS))
def test_a_scorer_is_closed_while_anyone_closes_it_in_whatever_order_they_come_and_go(order, back):
    overlay, closing = RosterOverlay(), {}
    overlay.apply(Fleet([told(id) for id in IDS], complete=True))
    steps = [(who, 1) for who in order] + [(who, 0) for who in back]
    before = set()
    for who, place in steps:
        laid, closes = LAYERS[who][place]
        closing[who] = set(closes.split())
        closed = set().union(*closing.values())
        changes = phases(overlay.set_filter(who, closer(who, laid)))
        assert changes == {id: "terminating" if id in closed else "in_service" for id in closed ^ before}
        before = closed
    assert not before


class Model:
    """What is gone by, from the roster as told and from who closes what; and what has been told of it."""

    def __init__(self):
        self.overlay = RosterOverlay()
        self.roster, self.closing, self.gone_by = {}, {}, {}

    def phase(self, id):
        closed = any(id in ids for ids in self.closing.values())
        return "terminating" if closed and self.roster[id] == "in_service" else self.roster[id]

    def tell(self, found, complete):
        if complete:
            self.roster, self.gone_by = {}, {}
        self.roster |= found
        fleet = Fleet([told(id, phase) for id, phase in found.items()], complete)
        assert phases(laid := self.overlay.apply(fleet)) == {id: self.phase(id) for id in found}
        self.gone_by |= phases(laid)
        self.roster = {id: phase for id, phase in self.roster.items() if phase != "terminated"}
        self.gone_by = {id: phase for id, phase in self.gone_by.items() if phase != "terminated"}

    def lay(self, who, place):
        laid, closes = LAYERS[who][place]
        self.closing[who] = set(closes.split())
        changes = phases(self.overlay.set_filter(who, closer(who, laid)))
        assert all(self.gone_by[id] != phase for id, phase in changes.items())  # nothing is told twice
        self.gone_by |= changes

    def check(self):
        assert self.gone_by == {id: self.phase(id) for id in self.roster}
        for who in LAYERS:
            others = set().union(*(ids for other, ids in self.closing.items() if other != who))
            left = {id for id, phase in self.roster.items() if phase == "in_service"} - others
            assert {member.id for member in self.overlay.open_except_for(who)} == left


TELLS = strategies.tuples(
    strategies.dictionaries(
        strategies.sampled_from(IDS), strategies.sampled_from(("in_service", "terminating", "terminated"))
    ),
    strategies.booleans(),
)
LAYS = strategies.tuples(strategies.sampled_from(sorted(LAYERS)), strategies.integers(0, 2))


@given(strategies.lists(TELLS | LAYS, max_size=16))
def test_what_is_told_adds_up_to_what_is_to_be_gone_by_whatever_happens_between(steps):
    model = Model()
    model.tell(dict.fromkeys(IDS, "in_service"), True)
    for what, how in steps:
        (model.lay if isinstance(what, str) else model.tell)(what, how)
        model.check()


class Recorder:
    """A seam that keeps what it hears, and what is known by then."""

    busy = False

    def __init__(self):
        self.front, self.heard = None, []

    def on_fleet(self, fleet):
        self.heard += [(m.id, m.phase, self.front.roster_overlay.members[m.id].phase) for m in fleet.members]

    def on_events(self, events): ...

    def close(self): ...


class AtTheSeam(unittest.TestCase):
    def test_a_seam_hears_what_the_change_log_told_and_the_module_what_is_left_of_it(self):
        one, two = ScorerPeer("s-1"), ScorerPeer("s-2")
        extension = Recorder()
        rig = Rig(one, two)
        self.addCleanup(rig.close)
        rig.front._extension, extension.front = extension, rig.front
        workers = rig.front.router.scorers
        rig.until(lambda: len(workers) == 2, "both are known")
        for who in ("zones", "state"):
            rig.front.apply_fleet(rig.front.roster_overlay.set_filter(who, lambda member: member.id == "s-1"))
        rig.log.say({"seq": 2, "fleet": {"members": [one.member(), two.member()]}})
        rig.until(lambda: rig.front.change_log.seq == 2 and not rig.front._pending_change, "it is taken")
        self.assertEqual(extension.heard, [(id, "in_service", "in_service") for id in ("s-1", "s-2")])
        found = {id: workers[scorer_number(id)].entry.state for id in ("s-1", "s-2")}
        self.assertEqual(found, {"s-1": ScorerState.DRAINING, "s-2": ScorerState.READY})
        rig.front.apply_fleet(rig.front.roster_overlay.set_filter("zones", None))
        rig.front.apply_fleet(rig.front.roster_overlay.set_filter("state", None))
        rig.until(lambda: workers[scorer_number("s-1")].entry.state is ScorerState.READY, "it is open again")
