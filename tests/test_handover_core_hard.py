"""Hand-overs in virtual time when things go wrong: kills at each step, cuts, a drain whose new home fails."""

import itertools
from dataclasses import replace

import pytest
from cores import Cores

from fawnwharf.migration import messages as m
from fawnwharf.migration.hand import UNSTAGED
from fawnwharf.migration.homes import is_open, mover_of
from fawnwharf.migration.many import Begin, Drain, Dwell, Leave, Live
from fawnwharf.migration.mover import ASKING, SETTLING, STAGING, SWITCHING
from fawnwharf.migration.router import Router
from fawnwharf.migration.settings import DrainSettings
from fawnwharf.migration.walk import CALM, RULES, Walk
from fawnwharf.migration.windows import Windows
from fawnwharf.replication.call_owner import RunCall
from fawnwharf.session_types import Placement, PredictedMove, Session


class Fleet(Walk):
    """A walk without weather, whose kills and cuts the test asks for."""

    def __init__(self, sessions=1):
        self.out = []
        super().__init__(1, replace(CALM, delay_ms=(2.0, 9.0)), sessions=sessions)
        self.stage_fails = 0.0

    def _carry_out(self, node, out):
        self.out += [(node.name, effect) for effect in out if not isinstance(effect, m.Say)]
        super()._carry_out(node, out)

    def begin(self, name, destination, session=None, source="x", number=0, haste=False):
        node, session = self.nodes[name], session or self.sessions[0]
        move = PredictedMove(session, source, destination, 0.0, 1.0, "test")
        self._carry_out(node, node.mover.begin(self._clock(node), move, number, 1, haste))

    def kill(self, *names):
        for name in names:
            node = self.nodes[name]
            node.keeper = node.mover = node.router = None

    def cut(self, side, span_ms):
        for one, other in itertools.permutations(self.nodes, 2):
            if (one[0] in side) != (other[0] in side):
                self.cuts[one, other] = (self.now, self.now + span_ms)

    def at_step(self, name, step):
        """Go on until its hand-over is there."""
        for _ in range(2_000):
            hand = self.nodes[name].mover.hands.get(self.sessions[0])
            if hand and hand.step == step:
                return
            self.until(self.now + 0.5)
        raise AssertionError(f"never {step}")

    def call(self, name, session=None):
        node, call = self.nodes[name], f"t{next(self.calls)}"
        now = self._clock(node)
        self._carry_out(node, node.router.begin(now, call, session or self.sessions[0], now + 500.0))
        node.router.sent(call)

    def homes(self, session=None):
        session = session or self.sessions[0]
        found = [node.router.home(session) for node in self.nodes.values() if node.up]
        return {(home.number, home.site) for home in found if home}

    def settled(self):
        """Whether nothing is open at any keeper, and all agree."""
        kept = [node.keeper.record(s) for node in self.nodes.values() if node.keeper for s in self.sessions]
        return not any(is_open(r) for r in kept) and all(len(self.homes(s)) <= 1 for s in self.sessions)


@pytest.mark.parametrize("step", [ASKING, STAGING, SWITCHING, SETTLING])
@pytest.mark.parametrize("dead", ["coordinator", "receiver", "both"])
def test_whoever_is_killed_at_whatever_step_the_session_is_whole_at_one_site(step, dead):
    fleet = Fleet()
    fleet.until(100.0)
    fleet.begin("z1", "y")
    fleet.at_step("z1", step)
    hand = fleet.nodes["z1"].mover.hands[fleet.sessions[0]]
    receiver = hand.receiver or "y1"
    fleet.kill(*{"coordinator": ["z1"], "receiver": [receiver], "both": ["z1", receiver]}[dead])
    for n in range(400):
        if n % 20 == 0:
            fleet.call("x0")
            fleet.call("z0")
        fleet.until(fleet.now + 50.0)
    assert not fleet.outcome.broken
    [(number, site)] = fleet.homes()
    assert (number, site) in ((0, "x"), (1, "y"))
    if step in (SWITCHING, SETTLING) or dead == "receiver":
        assert site == "y"  # what may have been granted is completed; another receiver takes over
    assert fleet.settled()


@pytest.mark.parametrize("alone", ["x", "y", "z"])
def test_a_cut_during_the_switch_leaves_one_number_after_it(alone):
    fleet = Fleet()
    fleet.until(100.0)
    fleet.begin("z1", "y")
    fleet.at_step("z1", SWITCHING)
    fleet.cut(alone, 2_500.0)
    seen = set()
    for _ in range(50):
        for name in ("x1", "y1", "z1"):  # the same clients on both sides
            fleet.call(name)
        fleet.until(fleet.now + 50.0)
        seen |= fleet.homes()
    assert seen <= {(0, "x"), (1, "y")} and not fleet.outcome.broken
    for _ in range(300):
        fleet.until(fleet.now + 50.0)
        if fleet.nodes["x0"].up:
            fleet.call("x0")
    assert len(fleet.homes()) == 1 and fleet.settled() and not fleet.outcome.broken


def test_the_same_call_on_both_sides_runs_once_as_claims_are_by_call_and_not_by_site():
    cores = Cores()
    one, other = cores.owners[:2]
    kept = tuple(cores.keepers)
    old, new = (Router(n, site, RULES, lambda _: kept, 0.0) for n, site in ((one, "x"), (other, "y")))
    session = Session("org", "row")
    old.meet(0.0, Placement(session, "x", 0))
    new.meet(0.0, Placement(session, "y", 1))
    sites = [at.begin(0.0, "k", session, 1_000.0)[0].home.site for at in (old, new)]
    assert sites == ["x", "y"]
    for name in (one, other):
        cores.begin(name)
    assert sum(isinstance(effect, RunCall) for _, effect in cores.told) == 1


def test_in_haste_what_is_lost_is_said_and_the_dead_site_is_not_asked():
    fleet = Fleet()
    fleet.until(100.0)
    fleet.kill("x0", "x1")
    fleet.until(200.0)
    fleet.begin("z1", "y", haste=True)
    fleet.until(400.0)
    [moved] = [effect for _, effect in fleet.out if isinstance(effect, m.Moved)]
    assert moved.home.site == "y" and "quota spent since it was last told" in moved.lost
    fleet.until(4_000.0)
    assert fleet.settled() and fleet.homes() == {(1, "y")}


def test_a_front_end_that_comes_back_cold_learns_the_home_with_its_first_call():
    fleet = Fleet()
    fleet.until(100.0)
    fleet.kill("x1")
    fleet.begin("z1", "y")
    fleet.until(3_000.0)
    fleet._start_anew(fleet.nodes["x1"])
    assert fleet.nodes["x1"].router.home(fleet.sessions[0]) is None
    fleet.call("x1")
    fleet.until(3_100.0)
    assert fleet.homes() == {(1, "y")}


def drained(fleet, drain, fails=None):
    """Drive a drain; `fails`: a site that dies when half of it is done."""
    begun, seen = {}, 0
    for _ in range(800):
        found = drain.tick(fleet.now)
        if fails and len(drain.moved) > 100 and fleet.nodes[f"{fails}0"].up:
            fleet.kill(f"{fails}0", f"{fails}1")
            homes = {s: Placement(s, at, 1) for s, at in drain.moved.items()}
            found += drain.lost(fleet.now, fails, True, homes)
        for begin in found:
            if isinstance(begin, Begin):
                up = [name for name, node in fleet.nodes.items() if node.up]
                session = begin.move.session
                begun[session] = begun.get(session, 0) + 1
                name = mover_of(session, up)
                fleet.begin(
                    name, begin.move.destination, session, begin.move.source, begin.number, begin.haste
                )
        fleet.until(fleet.now + 20.0)
        for _, effect in fleet.out[seen:]:
            if isinstance(effect, m.Ended):
                drain.ended(fleet.now, effect.home, effect.why)
        seen = len(fleet.out)
        if drain.done:
            break
    return begun


def test_a_site_is_drained_of_200_sessions_its_new_home_fails_half_way_and_returns_cold():
    fleet = Fleet(200)
    fleet.until(100.0)
    rules = DrainSettings(at_once=32, starts_per_s=200.0)
    lives = [(Live(s, 1.0 + n, 1.0, 60_000.0), 0) for n, s in enumerate(fleet.sessions)]
    drain = Drain("x", fleet.now, 60_000.0, lives, {"y": 150, "z": 150}, rules, Dwell(rules))
    drained(fleet, drain, "y")
    fleet.until(fleet.now + 9_000.0)
    assert not fleet.outcome.broken and drain.done
    homes = {session: max({0: "x", **fleet.decided.get(session, {})}.items()) for session in fleet.sessions}
    at = [site for _, site in homes.values()]
    assert at.count("z") == 150 == list(drain.moved.values()).count("z")  # its room, and no more
    assert sum("no site has room" in why or "back" in why for why in drain.left.values()) == 50
    fleet._start_anew(fleet.nodes["y1"])
    fleet._start_anew(fleet.nodes["y0"])
    for session in fleet.sessions:
        fleet.call("y1", session)
    fleet.until(fleet.now + 3_000.0)
    known = {s: fleet.nodes["y1"].router.home(s) for s in fleet.sessions if homes[s][0]}
    assert all((home.number, home.site) == homes[s] for s, home in known.items())


# --- what to move, and how soon again ---------------------------------------------------------------

A, B, C = (Session("org", row) for row in "abc")


def test_a_drain_goes_by_worth_under_its_budgets_and_leaves_what_is_too_short_or_too_dear():
    rules = DrainSettings(at_once=2, starts_per_s=10.0, burst=1)
    more = [(Live(A, 5.0, 1.0, 9e4), 3), (Live(B, 9.0, 1.0, 9e4), 0), (Live(C, 9.0, 1.0, 10.0), 0)]
    dear = (Live(Session("org", "d"), 1.0, 2.0, 9e4), 0)
    drain = Drain("x", 0.0, 10_000.0, [*more, dear], {"y": 5}, rules, Dwell(rules))
    found = drain.tick(0.0)
    assert {one.session.row for one in found if isinstance(one, Leave)} == {"c", "d"}
    assert [(b.move.session, b.number) for b in found if isinstance(b, Begin)] == [(B, 0)]
    assert drain.tick(50.0) == []  # one each tenth of a second
    assert [b.move.session for b in drain.tick(100.0)] == [A]
    drain.ended(200.0, Placement(A, "x", 3), "not staged in time")
    assert drain.room == {"y": 4}
    assert [one.why for one in drain.tick(9_700.0)] == ["no time is left"]


def test_a_session_that_bounces_stays_longer_each_time():
    rules = DrainSettings()
    dwell, now, waits, here = Dwell(rules), 0.0, [], "x"
    for _ in range(7):
        there = "y" if here == "x" else "x"
        dwell.moved(now, A, here, there)
        here = there
        waits.append(dwell.left_ms(now, A))
        assert not dwell.may(now + waits[-1] - 1.0, A, 2.0, 1.0)
        now += waits[-1]
        assert dwell.may(now, A, 2.0, 1.0)
    assert waits == [10_000.0, 20_000.0, 40_000.0, 80_000.0, 10_000.0, 20_000.0, 40_000.0]


@pytest.mark.parametrize(("here", "there", "may"), [(1.0, 0.9, False), (1.0, 0.8, True), (0.0, 0.0, False)])
def test_a_little_better_is_not_worth_a_move(here, there, may):
    assert Dwell(DrainSettings()).may(0.0, A, here, there) is may


def test_a_site_that_stages_late_has_fewer_at_once_and_more_again_as_it_keeps_up():
    windows = Windows(8, 1_000.0)
    for n in range(8):
        assert windows.may("y")
        windows.begun(n, "y")
    assert not windows.may("y") and windows.may("z")
    for n in range(3):
        windows.ended(10.0, n, UNSTAGED)
    assert windows.sizes["y"] == 4 and not windows.may("y")  # 5 are under way
    windows.ended(20.0, 3, "keepers did not answer")  # no fault of the site's
    windows.ended(20.0, 4, "switched")
    assert 4 < windows.sizes["y"] < 5 and windows.may("y")
    windows.ended(30.0, 4, "switched")  # it is over already
    windows.ended(2_000.0, 5, UNSTAGED)
    assert 2 < windows.sizes["y"] < 3


def test_a_drain_goes_on_with_others_where_one_site_takes_no_more():
    rules = DrainSettings(at_once=10, starts_per_s=1_000.0, burst=100)
    windows = Windows(2, 1_000.0)
    lives = [(Live(Session("o", f"r{n}"), 1.0, 0.1, 60_000.0), 0) for n in range(8)]
    prefers = lambda session: "y" if session.row < "r5" else "z"  # noqa: E731
    drain = Drain("x", 0.0, 60_000.0, lives, {"y": 50, "z": 50}, rules, Dwell(rules), False, prefers, windows)
    begun = [begin.move.destination for begin in drain.tick(0.0)]
    assert begun == ["y", "y", "z", "z"]
    drain.ended(5.0, Placement(Session("o", "r0"), "y", 1), "switched")
    assert [begin.move.destination for begin in drain.tick(10.0)] == ["y"]
