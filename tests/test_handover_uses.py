"""Copies of a site are let go only where nobody else uses them: what front ends and keepers say of that."""

from fawnwharf.migration import messages as m
from fawnwharf.migration.homes import Keeper
from fawnwharf.migration.router import Router
from fawnwharf.migration.settings import Settings
from fawnwharf.session_types import Placement, PrefetchRelease, Session

RULES = Settings()
S = Session("org", "row")
KEEPERS = ("k0", "k1", "k2")


def placed(_key):
    return KEEPERS


def router():
    at = Router("f", "x", RULES, placed, 0.0, fresh=True)
    at.meet(0.0, Placement(S, "x", 0))
    return at


def test_a_use_of_the_old_site_that_begins_while_a_hand_over_settles_is_told_once():
    at = router()
    at.told(0.0, "mover", m.Told(Placement(S, "y", 1), "x", m.Step.SWITCHED))
    other = Session("other", "row")
    found = [say.message for say in at.begin(1.0, "c", other, 500.0) if isinstance(say, m.Say)]
    assert m.Left(S, 1, 0, 1) in found and at.watches
    assert not [x for x in at.begin(2.0, "d", other, 500.0) if isinstance(x, m.Say)]
    assert at.tick(3.0) == []
    at.tick(501.0)
    assert not at.watches


def test_calls_that_cross_to_the_old_site_are_told_of_and_keep_copies():
    crossing = set()
    at = Router("f", "z", RULES, placed, 0.0, fresh=True)
    at.uses = lambda row, site: (row, site) in crossing
    at.told(0.0, "mover", m.Told(Placement(S, "y", 1), "x", m.Step.SWITCHED))
    at.begin(1.0, "c", Session("third", "row"), 2_000.0)
    assert at.tick(50.0) == []
    crossing.add(("row", "x"))
    assert at.tick(100.0) == [m.Say(("mover",), m.Left(S, 1, 0, 1))]
    assert at.tick(150.0) == []
    settle_ms = RULES.settle_ms * RULES.stretch
    at.tick(settle_ms + 1.0)
    assert not at.watches  # nobody waits for its word any more


def test_a_front_end_with_calls_there_lets_nothing_go():
    at = router()
    at.uses = lambda row, site: True
    at.meet(0.0, Placement(S, "y", 1))
    at.release(0.0, "mover", m.Release(S, 1))
    assert at.let(1.0, "k0", m.Let(S, 1, True)) == [] == at.let(1.0, "k1", m.Let(S, 1, True))
    assert at.counts == {"kept: others use it, or may": 1}


def test_a_keeper_knows_of_another_session_at_home_there_until_it_is_still():
    keeper = Keeper("k0", KEEPERS, RULES, 0.0, 1, fresh=True)
    keeper.receive(0.0, "f", m.Met(Placement(Session("other", "row"), "x", 0)))
    keeper.receive(0.0, "f", m.Met(Placement(Session("third", "else"), "x", 0)))
    may = m.MayLetGo(Placement(S, "y", 1), "x")
    assert [say.message for say in keeper.receive(1.0, "f", may)] == [m.Let(S, 1, True, True)]
    late_ms = 1.25 * RULES.still_ms
    assert [say.message for say in keeper.receive(late_ms, "f", may)] == [m.Let(S, 1, True)]
    keeper.receive(late_ms, "f", m.Met(Placement(Session("other", "row"), "x", 0)))
    keeper.receive(late_ms, "f", m.Told(Placement(Session("other", "row"), "z", 1), "x", m.Step.SWITCHED))
    assert [say.message for say in keeper.receive(late_ms, "f", may)] == [m.Let(S, 1, True)]


def test_every_keeper_that_is_heard_is_asked_and_one_that_knows_of_a_use_is_enough():
    at = router()
    at.heard_keepers = lambda: {"k0", "q"}  # `q` keeps other sessions
    at.meet(0.0, Placement(S, "y", 1))
    [say] = at.release(0.0, "mover", m.Release(S, 1))
    assert say == m.Say((*KEEPERS, "q"), m.MayLetGo(Placement(S, "y", 1), "x"))
    at.let(1.0, "k0", m.Let(S, 1, True))
    assert at.let(1.0, "k1", m.Let(S, 1, True)) == []  # two of its keepers, but `q` has not spoken
    assert at.let(2.0, "q", m.Let(S, 1, False)) == [PrefetchRelease("row", "x")]
    at.release(10.0, "mover", m.Release(S, 1))
    assert at.let(11.0, "q", m.Let(S, 1, False, True)) == []
    assert at.let(12.0, "k0", m.Let(S, 1, True)) == [] == at.let(12.0, "k1", m.Let(S, 1, True))
