"""Load orders delegated to front ends with spare rate: budget, rate limits and late messages."""

from dataclasses import replace

import pytest
from support.load_permits import LIMITS, RATE_LIMIT_WINDOW_MS, Fleet, run_with_restarts
from test_recovery_service_permit_issuing import ROWS, request_all

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
    """The most orders of one front end within a rate limit window."""
    found = 0
    for name in fleet.names:
        times = [at for at, by, *_ in fleet.orders if by == name]
        found = max(
            [found, *(sum(at - RATE_LIMIT_WINDOW_MS < other <= at for other in times) for at in times)]
        )
    return found


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("lost", [0.0, 0.15])
def test_the_budget_and_each_rate_limit_hold_while_orders_are_delegated_and_coordinators_die(seed, lost):
    fleet = run_with_restarts(Fleet(seed, lost=lost, rate_limit=4), seed, request_all)
    assert 0 < fleet.most <= LIMITS.fetches
    assert most_of_one(fleet) <= 4
    assert any(name not in fleet.replicas for _, name, *_ in fleet.orders)


def test_all_rate_limits_are_used_where_coordinators_have_no_orders_left():
    stood = {}
    for lends in (True, False):
        fleet = Fleet(3, rate_limit=4)
        if not lends:
            for front in fleet.fronts.values():
                front.delegated.report_spare_rate = lambda *_: []
        request_all(fleet)
        fleet.run(4_500.0)
        stood[lends] = len(fleet.copies)
        assert fleet.most <= LIMITS.fetches and most_of_one(fleet) <= 4
    assert stood[False] <= 4 * len(fleet.replicas) < stood[True] <= 4 * len(fleet.names)


def test_a_function_is_loaded_once_though_its_delegated_order_is_answered_late():
    fleet = Fleet(5, rate_limit=4, lost=0.0)
    request_all(fleet)
    fleet.run(12_000.0)
    assert len({function for _, _, function, *_ in fleet.orders}) == len(fleet.orders)
    assert {function for _, function in fleet.copies} <= set(ROWS) and len(fleet.copies) > 40


# --- the delegate -----------------------------------------------------------------------------------


def loan(told, worker=7, function="f", incarnation=3):
    return m.DelegatedLoadOrder(incarnation, told.number, worker, function, "view")


def spare(delegated, now_ms=1_000.0, room=6.0):
    [messages_sent] = delegated.report_spare_rate(now_ms, {"n0", "n1"}, room, 6)
    assert messages_sent.to == ("n0", "n1")
    return messages_sent.message


def test_a_front_end_offers_each_coordinator_an_equal_part_and_nothing_without_a_limit():
    delegated = DelegatedLoadExecutor(3)
    assert spare(delegated).count == 3
    assert delegated.report_spare_rate(1_000.0 + SPARE_REPORT_MS - 1.0, {"n0"}, 6.0, 6) == []
    assert spare(delegated, 1_000.0 + SPARE_REPORT_MS, 100.0).count == 4  # bounded
    assert delegated.report_spare_rate(5_000.0, {"n0", "n1"}, 1.0, 6) == []
    assert delegated.report_spare_rate(5_000.0, {"n0"}, float("inf"), 6) == []
    assert delegated.report_spare_rate(5_000.0, set(), 6.0, 6) == []
    assert delegated.report_spare_rate(6_200.0, {"n0"}, 6.0, 1_250) and not delegated.report_spare_rate(
        11_199.0, {"n0"}, 6.0, 1_250
    )


@pytest.mark.parametrize(
    ("late_ms", "incarnation", "may", "taken"),
    [
        (SPARE_VALID_MS, 3, True, True),
        (SPARE_VALID_MS + 1.0, 3, True, False),
        (10.0, 2, True, False),  # offered by an earlier incarnation
        (10.0, 3, False, False),  # loads are no longer allowed
    ],
)
def test_a_delegated_order_is_accepted_only_while_its_spare_rate_report_is_fresh(
    late_ms, incarnation, may, taken
):
    delegated = DelegatedLoadExecutor(3)
    told = spare(delegated)
    outs = delegated.accept(1_000.0 + late_ms, "n0", loan(told, incarnation=incarnation), loads_allowed=may)
    assert [type(out) for out in outs] == ([LoadOrder] if taken else [SendPermitMessage] if not may else [])
    assert delegated.is_own(7, "f") is taken
    if not may:
        assert outs == [
            SendPermitMessage(("n0",), m.DelegatedLoadReport(7, "f", m.DelegatedLoadResult.NOT_MADE))
        ]


@pytest.mark.parametrize(
    ("made", "ending", "copies", "said"),
    [
        (True, io.AttemptResult.GOOD, 1, m.DelegatedLoadResult.LOADED),
        (True, io.AttemptResult.FULL, 0, m.DelegatedLoadResult.FAILED),
        (True, io.AttemptResult.RESET, 0, m.DelegatedLoadResult.FAILED),
        (True, io.AttemptResult.GOOD, 0, None),  # answers a query
        (False, io.AttemptResult.FULL, 0, None),
        (False, io.AttemptResult.GOOD, 1, m.DelegatedLoadResult.LOADED),  # an earlier copy
    ],
)
def test_what_came_of_a_delegated_order_is_reported_to_its_load_coordinator_once(made, ending, copies, said):
    delegated = DelegatedLoadExecutor(3)
    delegated.accept(1_010.0, "n0", loan(spare(delegated)), loads_allowed=True)
    if made:
        delegated.ordered(7, "f")
        assert [w.message.result for w in delegated.tick(1_020.0)] == [m.DelegatedLoadResult.MADE]
    event = io.LoadOrderAnswered(7, "f", ending, copies, 400.0)
    proves = ending in (io.AttemptResult.GOOD, io.AttemptResult.FULL, io.AttemptResult.ERROR)
    told = [w.message.result for w in delegated.answered(event, counts_copies=proves)]
    assert told == ([] if said is None else [said])
    assert delegated.is_own(7, "f") is (said is None)
    late = [w.message.result for w in delegated.tick(1_010.0 + (ORDER_TIMEOUT_MS if made else ORDER_MADE_MS))]
    assert late == (
        [] if said is not None else [m.DelegatedLoadResult.FAILED if made else m.DelegatedLoadResult.NOT_MADE]
    )
    assert not delegated.is_own(7, "f") and delegated.answered(event, counts_copies=proves) == []


# --- the coordinator --------------------------------------------------------------------------------


def test_a_coordinator_delegates_by_the_latest_fresh_report_and_no_more_than_offered():
    spare_rates = SpareRates()
    spare_rates.receive(0.0, "n4", m.SpareRate(1, 1, 2))
    spare_rates.receive(10.0, "n5", m.SpareRate(9, 4, 1))
    spare_rates.receive(20.0, "n5", m.SpareRate(9, 4, 1))  # a duplicate
    spare_rates.receive(30.0, "n5", m.SpareRate(9, 3, 5))  # late
    assert [spare_rates.take(60.0) for _ in range(4)] == [("n5", 9, 4), ("n4", 1, 1), ("n4", 1, 1), None]
    spare_rates.receive(100.0, "n5", m.SpareRate(2, 1, 1))  # of another incarnation
    assert spare_rates.take(101.0 + SPARE_FRESH_MS) is None and spare_rates.take(100.0 + SPARE_FRESH_MS) == (
        "n5",
        2,
        1,
    )
    spare_rates.receive(300.0, "n5", m.SpareRate(2, 2, 3))
    spare_rates.retain(frozenset({"n4"}))
    assert spare_rates.take(301.0) is None


def test_a_permit_is_free_after_the_typical_load_time_if_its_delegate_reports_nothing():
    fleet = Fleet(2, rate_limit=0)
    front = fleet.fronts["n0"]
    for name in fleet.names:
        front.receive(0.0, name, m.SpareRate(1, 1, 8))
    front.coordination._environment = replace(front.coordination._environment, orders_left=lambda: 0.0)
    fleet.run(900.0)
    function = next(function for function in ROWS if front.permits.coordinator(function) == "n0")
    front.receive(900.0, "n5", m.SpareRate(1, 2, 8))
    front.receive(900.0, "n5", m.LoadRequests((m.LoadRequest(function, "view", 5.0),)))
    outs = front.coordination.orders(1_500.0 - 500.0)
    if not outs:  # its permits may be usable a little later
        front.receive(1_300.0, "n5", m.SpareRate(1, 3, 8))
        outs = front.coordination.orders(1_350.0)
    [lend] = [out for out in outs if isinstance(out, SendPermitMessage)]
    assert lend.to == ("n5",) and lend.message.function == function
    way = front.coordination.open_orders[function]
    assert front.coordination.overdue(way.since_ms + front.permits.typical_load_ms - 1.0) == []
    assert function in front.coordination.open_orders
    front.coordination.overdue(way.since_ms + front.permits.typical_load_ms)
    assert function not in front.coordination.open_orders
    assert front.coordination.counts["load orders not made"] == 1
    assert not front.coordination.receive_report(
        5_000.0, "n5", m.DelegatedLoadReport(way.scorer, function, m.DelegatedLoadResult.LOADED)
    )


def test_the_check_detects_permits_that_do_not_wait_for_delegated_orders(monkeypatch):
    monkeypatch.setattr("fawnwharf.recovery_service.permit_issuing.DELEGATION_MS", -500.0)
    assert (
        max(
            run_with_restarts(Fleet(seed, lost=0.15, rate_limit=4), seed, request_all).most
            for seed in range(6)
        )
        > LIMITS.fetches
    )
