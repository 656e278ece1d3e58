"""Agents of several front ends in virtual time: hand-overs in order and in haste, with kills and restarts."""

import pytest
from support.session_agents import RULES, Fleet

from fawnwharf.migration import messages as m
from fawnwharf.session_types import Placement, PredictedMove, Session

ROW = Session("acme", "7f3a9c21e0b4d655")


def sessions(count):
    return [Session("acme", f"{n:016x}") for n in range(count)]


def ask(fleet, front, session, site):
    front.agent.ask(fleet.now, [(session, site)])
    fleet.carry(front)


def used(fleet, front, session):
    """A session that is in use at a front end, and known to its keepers."""
    fleet.calls(front, session)
    fleet.run(400.0)


def answer(front, session=ROW):
    return front.agent.asking.answers[session]


def test_an_operators_move_by_a_front_end_that_keeps_nothing_in_order():
    fleet = Fleet()
    front = next(f for f in fleet.others() if f.site == "a")
    used(fleet, front, ROW)
    ask(fleet, front, ROW, "b")
    fleet.until(lambda: answer(front).over)
    assert (answer(front).why, answer(front).site, answer(front).number) == ("switched", "b", 1)
    fleet.until(lambda: any(end["done"] for end in fleet.ends()))
    assert fleet.home(ROW) == "b" and fleet.call(front, ROW).site == "b"
    assert sum(len(f.staged) for f in fleet.fronts.values() if f.site == "b") == 1
    assert [moved["lost"] for moved in fleet.moved()] == [[]]
    fleet.until(lambda: any(f.let_go for f in fleet.fronts.values() if f.site == "a"))
    fleet.check()


@pytest.mark.parametrize(
    ("session", "site", "why"),
    [
        (Session("acme", "0000000000000000"), "b", "no such session"),
        (ROW, "a", "at home there"),
        (ROW, "z", "no such site"),
        (ROW, "c", "the site is closed"),
    ],
)
def test_a_move_that_can_not_be_has_a_cause_and_changes_nothing(session, site, why):
    fleet = Fleet()
    front = next(f for f in fleet.others() if f.site == "a")
    used(fleet, front, ROW)
    fleet.closed = {"c": "operators"}
    fleet.run(100.0)
    ask(fleet, front, session, site)
    fleet.until(lambda: answer(front, session).over)
    assert answer(front, session).why == why and not fleet.moved()
    assert set(fleet.homes(ROW)) == {0}
    fleet.check()


def test_a_keeper_that_came_late_is_told_at_once_what_was_said_before_it_heard():
    fleet = Fleet()
    front = next(f for f in fleet.others() if f.site == "a")
    late = front.agent.mover_for(ROW)
    fleet.cut = {(front.name, late)}
    fleet.call(front, ROW)
    fleet.run(400.0)
    fleet.cut = set()
    asker = next(f for f in fleet.keepers() if f.name != late)
    assert fleet.fronts[late].agent.keeper.record(ROW).site == ""
    front.agent.followed(fleet.now, late)  # it has no call any more
    fleet.run(300.0)
    ask(fleet, asker, ROW, "b")
    fleet.until(lambda: answer(asker).over)
    assert answer(asker).why == "switched" and fleet.home(ROW) == "b"
    assert {"org": "acme", "row": ROW.row, "why": "switched", "at": asker.name} in [
        fields for event, fields in fleet.notes if event == "move answered"
    ]
    before = fleet.lines
    fleet.run(RULES.handover.still_ms / 8)
    assert fleet.lines - before < 60  # once, not over and over
    fleet.check()


def test_a_move_ends_where_copies_can_not_stand_and_the_session_stays():
    fleet = Fleet()
    fleet.stands = False
    front = next(f for f in fleet.others() if f.site == "a")
    used(fleet, front, ROW)
    ask(fleet, front, ROW, "b")
    fleet.until(lambda: answer(front).over)
    assert answer(front).why == "not staged in time" and fleet.home(ROW) == "a"
    fleet.check()


def test_a_site_is_emptied_and_its_sessions_return():
    fleet = Fleet()
    fronts = [f for f in fleet.fronts.values() if f.site == "a"]
    all_of_them = sessions(30)
    for n, session in enumerate(all_of_them):
        used(fleet, fronts[n % 2], session)
    fleet.closed = {"a": "leaving"}
    fleet.until(lambda: all(fleet.home(session) in ("b", "c") for session in all_of_them))
    assert {fleet.home(session) for session in all_of_them} == {"b", "c"}  # spread by room
    fleet.until(lambda: all(not f.agent.mover.hands for f in fleet.keepers()))
    fleet.closed = {}
    fleet.until(lambda: all(fleet.home(session) == "a" for session in all_of_them))
    assert fleet.keepers()[0].agent.moves.waiting() == {}
    fleet.check()


@pytest.mark.parametrize("when", ["while it is emptied", "after it was"])
def test_a_mover_that_restarts_brings_back_what_its_drain_had_moved(when):
    fleet = Fleet()
    front = next(f for f in fleet.others() if f.site == "a")  # clients stay there
    all_of_them = sessions(24)
    for session in all_of_them:
        used(fleet, front, session)
    restarts = next(f for f in fleet.keepers() if f.site == "b")
    its = {s.row for s in all_of_them if front.agent.mover_for(s) == restarts.name}
    mine = lambda: {moved["row"] for moved in fleet.moved()} & its  # noqa: E731
    fleet.closed = {"a": "operators"}
    fleet.until(lambda: mine() if when == "while it is emptied" else mine() == its)
    fleet.kill(restarts.name)
    fleet.start(restarts)
    fleet.until(lambda: all(fleet.home(s) in ("b", "c") for s in all_of_them))
    fleet.run(3 * RULES.drain.dwell_ms)
    moves = [moved for moved in fleet.moved() if moved["whence"] == "a"]
    assert len(moves) == len({moved["row"] for moved in moves})  # none went back meanwhile
    fleet.closed = {}
    fleet.until(lambda: all(fleet.home(session) == "a" for session in all_of_them))
    fleet.check()


def test_a_mover_that_dies_for_good_has_its_sessions_brought_back_by_another():
    fleet = Fleet()
    front = next(f for f in fleet.others() if f.site == "a")
    all_of_them = sessions(12)
    for session in all_of_them:
        used(fleet, front, session)
    fleet.closed = {"a": "operators"}
    fleet.until(lambda: all(fleet.home(s) in ("b", "c") for s in all_of_them))
    fleet.until(lambda: all(not f.agent.mover.hands for f in fleet.keepers()))
    fleet.kill(next(f.name for f in fleet.keepers() if f.site == "b"))
    fleet.run(1_000.0)
    fleet.closed = {}
    fleet.until(lambda: all(fleet.home(session) == "a" for session in all_of_them))
    fleet.check()


def test_a_return_that_was_not_staged_in_time_is_tried_again_and_fewer_at_once():
    fleet = Fleet()
    front = next(f for f in fleet.others() if f.site == "a")
    used(fleet, front, ROW)
    fleet.closed = {"a": "operators"}
    fleet.until(lambda: fleet.home(ROW) in ("b", "c"))
    mover = fleet.fronts[front.agent.mover_for(ROW)].agent
    fleet.until(lambda: not mover.mover.hands)
    fleet.stands, fleet.closed = False, {}
    fleet.until(lambda: mover.ended_by["not staged in time"] == 1)
    assert mover.moves.windows.sizes["a"] == RULES.drain.at_once / 2
    fleet.stands = True
    fleet.until(lambda: fleet.home(ROW) == "a", 6_000.0)
    fleet.check()


def test_what_begins_at_a_closed_site_leaves_it_too():
    fleet = Fleet()
    fleet.closed = {"a": "out"}
    front = next(f for f in fleet.others() if f.site == "a")
    used(fleet, front, ROW)
    fleet.until(lambda: fleet.home(ROW) in ("b", "c"))
    fleet.check()


def test_a_dead_sites_sessions_have_homes_elsewhere_in_haste():
    fleet = Fleet()
    front = next(f for f in fleet.others() if f.site == "a")
    all_of_them = sessions(12)
    for session in all_of_them:
        used(fleet, front, session)
    fleet.kill("a0", "a1")
    fleet.run(1_000.0)
    fleet.closed = {"a": "out"}
    took = fleet.until(lambda: {moved["row"] for moved in fleet.moved()} == {s.row for s in all_of_them})
    assert took < 3_000.0  # nobody waits with the next one for those that are silent
    assert all(moved["lost"] for moved in fleet.moved())
    assert {fields["haste"] for event, fields in fleet.notes if event == "site emptied"} == {True}
    fleet.check()


@pytest.mark.parametrize("step", ["staging", "switching", "settling"])
def test_a_mover_that_dies_at_a_step_leaves_the_session_whole(step):
    fleet = Fleet(seed=3)
    front = next(f for f in fleet.others() if f.site == "a")
    used(fleet, front, ROW)
    mover = fleet.fronts[front.agent.mover_for(ROW)]
    if step == "settling":  # a call at the old site keeps it from settling
        fleet.call(front, ROW, took_ms=700.0)
    ask(fleet, front, ROW, "b" if mover.site != "b" else "c")
    for _ in range(10_000):
        hand = mover.agent.mover.hands.get(ROW)
        if hand is not None and hand.step == step:
            break
        fleet.run(0.5)
    assert hand is not None and hand.step == step
    fleet.kill(mover.name)
    fleet.until(lambda: not any(is_open(fleet, f) for f in fleet.keepers() if f.agent))
    assert fleet.home(ROW) is not None
    fleet.check()


def is_open(fleet, front):
    record = front.agent.keeper.record(ROW)
    return record.grant is not None or record.step is not m.Step.RELEASED


def test_a_keeper_that_starts_anew_hears_the_others_before_it_grants():
    fleet = Fleet()
    front = next(f for f in fleet.others() if f.site == "a")
    used(fleet, front, ROW)
    ask(fleet, front, ROW, "b")
    fleet.until(lambda: fleet.ends())
    keeper = next(f for f in fleet.keepers() if f.site == "c")
    fleet.kill(keeper.name)
    fleet.start(keeper)
    fleet.run(100.0)
    assert not keeper.agent.sure(fleet.now)
    took = fleet.until(lambda: keeper.agent.sure(fleet.now))
    assert took < 3_000.0 and keeper.agent.keeper.record(ROW).number == 1
    fleet.check()


def test_a_front_end_that_started_anew_with_a_smaller_life_holds_nothing_up():
    fleet = Fleet()
    front, other = fleet.others()[0], fleet.others()[1]
    used(fleet, front, ROW)
    ask(fleet, front, ROW, "b" if front.site != "b" else "c")
    fleet.until(lambda: fleet.ends())
    fleet.kill(other.name)
    fleet.start(other, life=1)
    fleet.run(700.0)
    ask(fleet, front, ROW, front.site)
    took = fleet.until(lambda: len(fleet.ends()) == 2)
    assert fleet.ends()[-1]["done"] and took < RULES.handover.again_ms
    fleet.check()


def test_a_front_end_that_is_silent_learns_the_home_when_it_is_back():
    fleet = Fleet()
    front, other = [f for f in fleet.fronts.values() if f.site == "a"]
    used(fleet, front, ROW)
    used(fleet, other, ROW)
    cut = {(other.name, f.name) for f in fleet.fronts.values()} | {
        (f.name, other.name) for f in fleet.fronts.values()
    }
    fleet.cut = cut
    fleet.run(1_000.0)
    asker = next(f for f in fleet.keepers() if f.agent and f is not other)
    ask(fleet, asker, ROW, "b")
    fleet.until(lambda: fleet.moved())
    assert other.agent.router.home(ROW).number == 0
    fleet.cut = set()
    fleet.until(lambda: other.agent.router.home(ROW).number == 1, 2 * RULES.handover.still_ms)
    fleet.check()


def test_only_what_is_all_but_certain_changes_a_home():
    fleet = Fleet()
    front = next(f for f in fleet.others() if f.site == "a")
    used(fleet, front, ROW)
    for chance, homes in ((0.6, {"a"}), (1.0, {"b"})):
        for keeper in fleet.keepers():
            keeper.agent.expected(fleet.now, [PredictedMove(ROW, "a", "b", 500.0, chance, "announced")])
        fleet.run(3_000.0)
        assert {fleet.home(ROW)} == homes
    assert len(fleet.moved()) == 1
    fleet.check()


def test_two_keepers_that_start_anew_do_not_tell_each_other_all_over_and_over():
    fleet = Fleet()
    one, other, _ = fleet.keepers()
    for session in sessions(20):
        used(fleet, fleet.others()[0], session)
    fleet.kill(one.name, other.name)
    fleet.start(one)
    fleet.start(other)
    fleet.run(2_000.0)
    before = fleet.lines
    one.agent.router.homes.clear()
    fleet.run(4_000.0)
    wants = 2 * 2 * (4_000.0 / (5 * RULES.handover.again_ms) + 1)
    calls = 20 * 3 * (4_000.0 / (RULES.handover.still_ms / 4) + 1)
    assert fleet.lines - before < wants + calls + 20
    assert not one.agent.sure(fleet.now)
    fleet.until(lambda: one.agent.sure(fleet.now), 2 * RULES.handover.window_ms)


def test_another_set_of_keepers_grants_nothing_until_every_home_was_told_again():
    fleet = Fleet()
    keeper = fleet.keepers()[0]
    names = [name for name in fleet.sites() if name != keeper.name]
    agent = keeper.agent
    agent.place(fleet.now, fleet.sites(), [*fleet.placement.replicas[1:], names[0]])
    assert not agent.sure(fleet.now + 1_000.0)
    assert agent.sure(fleet.now + RULES.handover.window_ms + 1.0)


def test_a_word_of_no_member_and_a_home_of_no_session_change_nothing():
    fleet = Fleet()
    front = fleet.keepers()[0]
    told = m.Told(Placement(ROW, "b", 7), "a", m.Step.SWITCHED)
    front.agent.hear(fleet.now, "stranger", 1, [told])
    assert front.agent.router.home(ROW) is None and front.agent.counts["no member"] == 1
    other = fleet.others()[0]
    other.agent.hear(
        fleet.now, front.name, front.life, [m.Please(PredictedMove(ROW, "a", "b", 0.0, 1.0, "x"))]
    )
    assert other.agent.take() == []
