"""What is staged at scorers of a site: asked first, ordered where none stands, else at the next one."""

from fawnwharf import interface as io
from fawnwharf.handover import messages as m
from fawnwharf.sessions.effects import Copies
from fawnwharf.sessions.stages import AGAIN_MS, Stages
from fawnwharf.sites import Session

FACTS = m.Facts("view", 2, 300.0)
ROW, KEY = "row", (Session("org", "row"), m.Turn(1, "n0"))


def wanted(stages, count=1, facts=FACTS):
    return stages.want(0.0, Copies(KEY, ROW, count, facts, 5_000.0))


def answer(stages, worker, copies, ending=io.Ending.GOOD, now=10.0):
    return stages.answered(now, io.OrderAnswered(worker, ROW, ending, copies, 5.0))


def test_a_copy_that_stands_is_found_by_the_question_alone():
    stages = Stages(lambda _row: [7, 8], True, 10_000.0)
    assert wanted(stages) == [io.Hold(7, ROW, 0)]
    assert answer(stages, 8, 1) == [] and stages.came == []
    assert answer(stages, 7, 1) == [] and stages.came == [(KEY, True)] and not stages.wanted


def test_where_none_stands_one_is_ordered_until_it_does():
    stages = Stages(lambda _row: [7, 8], True, 10_000.0)
    wanted(stages)
    order = io.CopiesWanted(7, ROW, "view", 1, 2, 300.0)
    assert answer(stages, 7, 0) == [order]
    assert stages.tick(20.0) == [] and stages.tick(10.0 + AGAIN_MS) == [order]  # the ration had no room
    assert answer(stages, 7, 1) == [] and stages.came == [(KEY, True)]


def test_a_scorer_that_can_not_is_passed_over_and_without_any_it_can_not_stand():
    stages = Stages(lambda _row: [7, 8], True, 10_000.0)
    wanted(stages)
    assert answer(stages, 7, 0, io.Ending.FULL) == [io.Hold(8, ROW, 0)]
    assert answer(stages, 8, 0, io.Ending.TIMEOUT) == [] and stages.came == [(KEY, False)]


def test_several_copies_stand_at_as_many_scorers():
    stages = Stages(lambda _row: [7, 8, 9], True, 10_000.0)
    assert wanted(stages, 2) == [io.Hold(7, ROW, 0), io.Hold(8, ROW, 0)]
    answer(stages, 7, 2)
    assert stages.came == []
    answer(stages, 8, 1)
    assert stages.came == [(KEY, True)]


def test_nothing_is_asked_where_nothing_may_be_ordered_or_its_time_is_over():
    stages = Stages(lambda _row: [7], False, 10_000.0)
    assert wanted(stages) == [] and stages.came == [(KEY, True)]
    stages = Stages(lambda _row: [7], True, 10_000.0)
    assert wanted(stages, facts=None) == [] and stages.came == [(KEY, True)]
    stages = Stages(lambda _row: [7], True, 10_000.0)
    wanted(stages)
    assert stages.tick(5_000.0) == [] and not stages.wanted
    assert answer(stages, 7, 1) == [] and stages.came == []


def test_old_copies_are_let_go_where_calls_look_first_and_where_some_were_seen_of_late():
    stages = Stages(lambda _row: [7, 8, 9], True, 10_000.0)
    stages.seen(0.0, ROW, 9, 1)
    assert stages.where(1_000.0, ROW) == [7, 9]
    stages.seen(2_000.0, ROW, 9, 0)
    assert stages.where(2_000.0, ROW) == [7]
