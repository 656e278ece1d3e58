"""What is staged at scorers of a site: asked first, ordered where none stands, else at the next one."""

from fawnwharf import interface as io
from fawnwharf.migration import messages as m
from fawnwharf.session_types import Session
from fawnwharf.sessions.effects import Copies
from fawnwharf.sessions.stages import AGAIN_MS, RETRIES_MOST, Stages

FACTS = m.Facts("view", 2, 300.0)
ROW, KEY = "row", (Session("org", "row"), m.Turn(1, "n0"))


def wanted(stages, count=1, facts=FACTS):
    return stages.want(0.0, Copies(KEY, ROW, count, facts, 5_000.0))


def answer(stages, worker, copies, ending=io.AttemptResult.GOOD, now=10.0):
    return stages.answered(now, io.LoadOrderAnswered(worker, ROW, ending, copies, 5.0))


def test_a_copy_that_stands_is_found_by_the_question_alone():
    stages = Stages(lambda _row: [7, 8], True, 10_000.0)
    assert wanted(stages) == [io.OrderCopies(7, ROW, 0)]
    assert answer(stages, 8, 1) == [] and stages.came == []
    assert answer(stages, 7, 1) == [] and stages.came == [(KEY, True)] and not stages.wanted


def test_where_none_stands_one_is_ordered_until_it_does():
    stages = Stages(lambda _row: [7, 8], True, 10_000.0)
    wanted(stages)
    order = io.PrefetchRequested(7, ROW, "view", 1, 2, 300.0)
    assert answer(stages, 7, 0) == [order]
    assert stages.tick(20.0) == [] and stages.tick(10.0 + AGAIN_MS) == [order]  # the ration had no room
    assert answer(stages, 7, 1) == [] and stages.came == [(KEY, True)]


def test_what_the_ration_has_left_goes_to_the_one_that_waits_for_longest():
    under_way = set()
    stages = Stages(lambda _row: [7], True, 10_000.0, lambda worker, row: row in under_way)
    rows = [f"r{n}" for n in range(RETRIES_MOST + 2)]
    for n, row in enumerate(rows):
        stages.want(0.0, Copies((Session("org", row), m.Turn(1, "n0")), row, 1, FACTS, 5_000.0))
        stages.answered(10.0 + n, io.LoadOrderAnswered(7, row, io.AttemptResult.GOOD, 0, 5.0))
    ordered = [order.function for order in stages.tick(10.0)]
    assert ordered == []  # the module is yet to hear of them
    assert [order.function for order in stages.tick(60.0)] == rows[:RETRIES_MOST]  # it took none
    late = Copies((Session("org", "late"), m.Turn(1, "n0")), "late", 1, FACTS, 5_000.0)
    assert stages.want(70.0, late) == [io.OrderCopies(7, "late", 0)]
    assert (
        stages.answered(80.0, io.LoadOrderAnswered(7, "late", io.AttemptResult.GOOD, 0, 5.0)) == []
    )  # behind them
    under_way |= {*rows[:-1]}
    assert [order.function for order in stages.tick(110.0)] == [rows[-1], "late"]
    under_way |= {rows[-1], "late"}
    assert stages.tick(2_000.0) == []  # loads that take long are not ordered again


def test_a_scorer_that_can_not_is_passed_over_and_without_any_it_can_not_stand():
    stages = Stages(lambda _row: [7, 8], True, 10_000.0)
    wanted(stages)
    assert answer(stages, 7, 0, io.AttemptResult.FULL) == [io.OrderCopies(8, ROW, 0)]
    assert answer(stages, 8, 0, io.AttemptResult.TIMEOUT) == [] and stages.came == [(KEY, False)]


def test_several_copies_stand_at_as_many_scorers():
    stages = Stages(lambda _row: [7, 8, 9], True, 10_000.0)
    assert wanted(stages, 2) == [io.OrderCopies(7, ROW, 0), io.OrderCopies(8, ROW, 0)]
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
