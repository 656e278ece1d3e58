"""Orders that loaders lend to front ends with ration to spare: budget, rations, words that come late."""

import pytest
from support.load_permits import LIMITS, RATION_MS, Fleet, storm
from test_rejoin_giving import ROWS, want_all

from fawnwharf import interface as io
from fawnwharf.recovery_service import permit_messages as m
from fawnwharf.recovery_service.actions import LoadOrder, SendPermitMessage
from fawnwharf.recovery_service.delegated_loads import (
    ORDER_MADE_MS,
    ORDER_TIMEOUT_MS,
    SPARE_FRESH_MS,
    SPARE_REPORT_MS,
    SPARE_VALID_MS,
    DelegatedLoadExecutor,
    SpareRates,
)


def most_of_one(fleet):
    """Orders of one front end within its ration's time, at the most."""
    found = 0
    for name in fleet.names:
        times = [at for at, by, *_ in fleet.orders if by == name]
        found = max([found, *(sum(at - RATION_MS < other <= at for other in times) for at in times)])
    return found


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("lost", [0.0, 0.15])
def test_the_budget_and_each_ration_hold_while_orders_are_lent_and_loaders_die(seed, lost):
    fleet = storm(Fleet(seed, lost=lost, ration=4), seed, want_all)
    assert 0 < fleet.most <= LIMITS.fetches
    assert most_of_one(fleet) <= 4
    assert any(name not in fleet.keepers for _, name, *_ in fleet.orders)


def test_rations_of_all_are_used_where_loaders_have_none_left():
    stood = {}
    for lends in (True, False):
        fleet = Fleet(3, ration=4)
        if not lends:
            for front in fleet.fronts.values():
                front.helping.spare = lambda *_: []
        want_all(fleet)
        fleet.run(4_500.0)
        stood[lends] = len(fleet.stands)
        assert fleet.most <= LIMITS.fetches and most_of_one(fleet) <= 4
    assert stood[False] <= 4 * len(fleet.keepers) < stood[True] <= 4 * len(fleet.names)


def test_a_function_is_loaded_once_though_its_loan_is_answered_late():
    fleet = Fleet(5, ration=4, lost=0.0)
    want_all(fleet)
    fleet.run(12_000.0)
    assert len({row for _, _, row, *_ in fleet.orders}) == len(fleet.orders)
    assert {row for _, row in fleet.stands} <= set(ROWS) and len(fleet.stands) > 40


# --- the one that orders ----------------------------------------------------------------------------


def loan(told, worker=7, row="f", life=3):
    return m.DelegatedLoadOrder(life, told.number, worker, row, "view")


def spare(helping, now_ms=1_000.0, room=6.0):
    [words] = helping.spare(now_ms, {"n0", "n1"}, room, 6)
    assert words.to == ("n0", "n1")
    return words.word


def test_it_tells_an_equal_part_of_its_room_at_its_pace_and_nothing_without_a_ration():
    helping = DelegatedLoadExecutor(3)
    assert spare(helping).count == 3
    assert helping.spare(1_000.0 + SPARE_REPORT_MS - 1.0, {"n0"}, 6.0, 6) == []
    assert spare(helping, 1_000.0 + SPARE_REPORT_MS, 100.0).count == 4  # bounded
    assert helping.spare(5_000.0, {"n0", "n1"}, 1.0, 6) == []
    assert helping.spare(5_000.0, {"n0"}, float("inf"), 6) == []
    assert helping.spare(5_000.0, set(), 6.0, 6) == []
    assert helping.spare(6_200.0, {"n0"}, 6.0, 1_250) and not helping.spare(11_199.0, {"n0"}, 6.0, 1_250)


@pytest.mark.parametrize(
    ("late_ms", "life", "may", "taken"),
    [
        (SPARE_VALID_MS, 3, True, True),
        (SPARE_VALID_MS + 1.0, 3, True, False),
        (10.0, 2, True, False),  # told by an earlier life of it
        (10.0, 3, False, False),  # loads are not allowed by now
    ],
)
def test_a_loan_is_taken_while_what_was_told_is_fresh_by_its_own_clock(late_ms, life, may, taken):
    helping = DelegatedLoadExecutor(3)
    told = spare(helping)
    outs = helping.lend(1_000.0 + late_ms, "n0", loan(told, life=life), may)
    assert [type(out) for out in outs] == ([LoadOrder] if taken else [SendPermitMessage] if not may else [])
    assert helping.is_own(7, "f") is taken
    if not may:
        assert outs == [SendPermitMessage(("n0",), m.DelegatedLoadReport(7, "f", m.DelegatedLoadResult.NOT))]


@pytest.mark.parametrize(
    ("made", "ending", "copies", "said"),
    [
        (True, io.AttemptResult.GOOD, 1, m.DelegatedLoadResult.STANDS),
        (True, io.AttemptResult.FULL, 0, m.DelegatedLoadResult.FAILED),
        (True, io.AttemptResult.RESET, 0, m.DelegatedLoadResult.FAILED),
        (True, io.AttemptResult.GOOD, 0, None),  # of a question
        (False, io.AttemptResult.FULL, 0, None),
        (False, io.AttemptResult.GOOD, 1, m.DelegatedLoadResult.STANDS),  # a copy of before
    ],
)
def test_what_came_of_a_loan_is_told_to_its_loader_once(made, ending, copies, said):
    helping = DelegatedLoadExecutor(3)
    helping.lend(1_010.0, "n0", loan(spare(helping)), True)
    if made:
        helping.ordered(7, "f")
        assert [w.word.what for w in helping.tick(1_020.0)] == [m.DelegatedLoadResult.MADE]
    event = io.LoadOrderAnswered(7, "f", ending, copies, 400.0)
    proves = ending in (io.AttemptResult.GOOD, io.AttemptResult.FULL, io.AttemptResult.ERROR)
    told = [w.word.what for w in helping.answered(event, proves)]
    assert told == ([] if said is None else [said])
    assert helping.is_own(7, "f") is (said is None)
    late = [w.word.what for w in helping.tick(1_010.0 + (ORDER_TIMEOUT_MS if made else ORDER_MADE_MS))]
    assert late == (
        [] if said is not None else [m.DelegatedLoadResult.FAILED if made else m.DelegatedLoadResult.NOT]
    )
    assert not helping.is_own(7, "f") and helping.answered(event, proves) == []


# --- the loader -------------------------------------------------------------------------------------


def test_a_loader_counts_on_who_told_last_while_that_is_fresh_and_on_no_more_than_was_told():
    spares = SpareRates()
    spares.told(0.0, "n4", m.SpareRate(1, 1, 2))
    spares.told(10.0, "n5", m.SpareRate(9, 4, 1))
    spares.told(20.0, "n5", m.SpareRate(9, 4, 1))  # twice the same
    spares.told(30.0, "n5", m.SpareRate(9, 3, 5))  # late
    assert [spares.take(60.0) for _ in range(4)] == [("n5", 9, 4), ("n4", 1, 1), ("n4", 1, 1), None]
    spares.told(100.0, "n5", m.SpareRate(2, 1, 1))  # of another life
    assert spares.take(101.0 + SPARE_FRESH_MS) is None and spares.take(100.0 + SPARE_FRESH_MS) == ("n5", 2, 1)
    spares.told(300.0, "n5", m.SpareRate(2, 2, 3))
    spares.keep(frozenset({"n4"}))
    assert spares.take(301.0) is None


def test_a_seat_whose_loan_is_not_heard_of_is_free_after_a_loads_usual_time():
    fleet = Fleet(2, ration=0)
    front = fleet.fronts["n0"]
    for name in fleet.names:
        front.hear(0.0, name, m.SpareRate(1, 1, 8))
    front.loading._room = lambda: 0.0
    fleet.run(900.0)
    row = next(row for row in ROWS if front.seats.owner(row) == "n0")
    front.hear(900.0, "n5", m.SpareRate(1, 2, 8))
    front.hear(900.0, "n5", m.LoadRequests((m.LoadRequest(row, "view", 5.0),)))
    outs = front.loading.orders(1_500.0 - 500.0)
    if not outs:  # its seats may be used a little later
        front.hear(1_300.0, "n5", m.SpareRate(1, 3, 8))
        outs = front.loading.orders(1_350.0)
    [lend] = [out for out in outs if isinstance(out, SendPermitMessage)]
    assert lend.to == ("n5",) and lend.word.row == row
    way = front.loading.under_way[row]
    assert front.loading.overdue(way.told_ms + front.seats.usual_ms - 1.0) == []
    assert row in front.loading.under_way
    front.loading.overdue(way.told_ms + front.seats.usual_ms)
    assert row not in front.loading.under_way
    assert front.loading.counts["orders that were not made"] == 1
    assert not front.loading.lent(
        5_000.0, "n5", m.DelegatedLoadReport(way.worker, row, m.DelegatedLoadResult.STANDS)
    )


def test_seats_that_do_not_wait_for_what_was_lent_are_found(monkeypatch):
    monkeypatch.setattr("fawnwharf.recovery_service.permit_issuing.DELEGATION_MS", -500.0)
    assert (
        max(storm(Fleet(seed, lost=0.15, ration=4), seed, want_all).most for seed in range(6))
        > LIMITS.fetches
    )
