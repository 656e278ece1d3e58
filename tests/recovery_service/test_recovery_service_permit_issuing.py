"""Load and slow start coordinators: the model store's budget, scorer capacity and late messages."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.load_permits import LIMITS, WEIGHTS, Fleet, run_with_restarts

from fawnwharf import interface as io
from fawnwharf.recovery_core.budget import (
    choose_load_coordinators,
    load_coordinator_of,
    slow_start_coordinator_of,
)
from fawnwharf.recovery_core.phases import RecoveryPhase, allowed_in_phase
from fawnwharf.recovery_service import permit_messages as m
from fawnwharf.recovery_service.actions import LoadOrder, SendPermitMessage
from fawnwharf.recovery_service.coordinated_slow_start import CoordinatedSlowStart
from fawnwharf.recovery_service.load_permits import LoadPermits
from fawnwharf.recovery_service.permit_issuing import PermitIssuer, PermitTiming
from fawnwharf.recovery_service.permit_view import PermitView

ROWS = [f"f{i}" for i in range(60)]


def request_all(fleet, names=None):
    for name in names or fleet.up:
        for i, function in enumerate(ROWS):
            fleet.fronts[name].request_copy(fleet.now, m.LoadRequest(function, "view", 60.0 - i))


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("lost", [0.0, 0.15])
def test_no_more_fetches_at_a_time_than_the_budget_while_load_coordinators_die_and_come_back(seed, lost):
    fleet = run_with_restarts(Fleet(seed, lost=lost), seed, request_all)
    assert 0 < fleet.most <= LIMITS.fetches
    for name in fleet.up & set(fleet.replicas):
        assert set(fleet.fronts[name].copies) == set(ROWS)
    for name in fleet.up:
        assert not len(fleet.fronts[name].requests)


def test_loads_of_a_dead_coordinator_are_not_ordered_again_within_the_typical_load_time():
    again = 0
    for seed in range(8):
        fleet = Fleet(seed, loads=(400.0, 480.0))
        request_all(fleet)
        fleet.run(2_000.0)
        before = next(o for o in reversed(fleet.orders) if o[4] > fleet.now)
        fleet.kill(before[1])
        fleet.run(6_000.0)
        left = [o for o in fleet.orders if not o[3]]
        assert left
        for at_ms, name, function, _, _ in left:
            later = [o[0] for o in fleet.orders if o[2] == function and o[0] > at_ms and o[1] != name]
            again += len(later)
            assert all(at - at_ms >= fleet.typical_load_ms for at in later)
    assert again  # another coordinator took over


def test_a_function_gained_from_another_coordinator_waits_for_the_typical_load_time():
    permits = LoadPermits("n0", LIMITS, 300.0, 500.0)
    permits.update(0.0, PermitView(("n0", "n1"), 1.0, 1))
    rows = {permits.coordinator(function): function for function in ROWS}
    permits.update(2_000.0, PermitView(("n0",), 1.0, 1))
    assert (
        permits.coordinator(rows["n1"]) == "n0" and permits.ready(2_000.0) == 2
    )  # the two gained permits wait
    assert permits.due_ms(2_000.0, rows["n1"]) == 2_500.0 and permits.due_ms(2_000.0, rows["n0"]) == 2_000.0
    assert permits.due_ms(2_500.0, rows["n1"]) == 2_500.0
    assert permits.ready(2_799.0) == 2 and permits.ready(2_800.0) == 4


def test_functions_are_assigned_by_load_permits_so_that_none_is_idle_while_another_has_many():
    permits = LoadPermits("n0", replace(LIMITS, fetches=3), 300.0, 500.0)
    permits.update(0.0, PermitView(("n0", "n1"), 1.0, 1))
    owners = [permits.coordinator(f"f{i}") for i in range(3_000)]
    assert set(owners) == {"n0", "n1"} and abs(owners.count("n0") - 1_000 * permits.own_count) < 150


def test_the_largest_weight_is_ordered_first_and_each_function_once():
    fleet = Fleet(3)
    request_all(fleet)
    fleet.run(30_000.0)
    rows = [function for _, _, function, *_ in fleet.orders]
    assert sorted(rows) == sorted(ROWS)
    permits = choose_load_coordinators(fleet.replicas, LIMITS.fetches, 1)
    for name in permits:
        own = [function for _, by, function, *_ in fleet.orders if by == name]
        assert own == sorted(
            (function for function in ROWS if load_coordinator_of(function, permits) == name), key=ROWS.index
        )


def test_a_request_is_sent_once_a_tick_and_not_repeated_while_its_answer_is_fresh():
    fleet = Fleet(1)
    fleet.run(900.0)
    request_all(fleet, ["n5"])
    fleet.run(1_000.0)
    assert fleet.messages_sent <= 2 * len(
        fleet.replicas
    )  # one request to each coordinator, one answer from each


def orders(outs):
    return [out.event for out in outs if isinstance(out, LoadOrder)]


def test_an_order_that_the_decision_module_does_not_make_is_queried_and_made_again_elsewhere_if_it_fails():
    front = PermitIssuer(
        "n0", 1, replace(LIMITS, fetches=1), lambda function: [7, 8], PermitTiming(100.0, 200.0)
    )
    front.update(0.0, {"n0"}, {"n0"}, allowed_in_phase(RecoveryPhase.ALL_CALLS, WEIGHTS), 1)
    front.request_copy(0.0, m.LoadRequest("f", "view", 1.0, 2, 400.0))
    [order] = orders(front.tick(2_000.0))
    assert order == io.PrefetchRequested(7, "f", "view", 1, 2, 400.0)
    assert orders(front.tick(2_050.0)) == [] and orders(front.tick(2_150.0)) == [io.OrderCopies(7, "f", 0)]
    front.answered(2_260.0, io.LoadOrderAnswered(7, "f", io.AttemptResult.GOOD, 0, 1.0))
    assert orders(front.tick(2_300.0)) == []
    assert orders(front.tick(2_800.0)) == [order]
    front.ordered(2_800.0, 7, "f")
    front.request_copy(2_850.0, m.LoadRequest("g", "view", 9.0))
    front.answered(
        2_850.0, io.LoadOrderAnswered(7, "f", io.AttemptResult.GOOD, 0, 1.0)
    )  # the answer to an earlier query
    assert orders(front.tick(2_870.0)) == orders(front.tick(3_400.0)) == []  # its load is in progress
    front.answered(3_450.0, io.LoadOrderAnswered(7, "f", io.AttemptResult.FULL, 0, 1.0))
    assert [order.scorer for order in orders(front.tick(3_500.0))] == [7]
    front.answered(3_550.0, io.LoadOrderAnswered(7, "g", io.AttemptResult.GOOD, 1, 1.0))
    assert [order.scorer for order in orders(front.tick(4_000.0))] == [8]
    front.ordered(4_000.0, 8, "f")
    assert front.answered(4_400.0, io.LoadOrderAnswered(8, "f", io.AttemptResult.GOOD, 1, 400.0))
    assert front.place("f") == 8


def test_a_late_message_does_not_bring_back_a_copy_that_is_gone():
    front = PermitIssuer("n5", 1, LIMITS, lambda function: [7], PermitTiming(100.0, 200.0))
    front.update(0.0, {"n0", "n5"}, {"n0"}, allowed_in_phase(RecoveryPhase.ALL_CALLS, WEIGHTS), 1)
    first, gone = (
        m.CopyReport(9, 1, (m.CopyPlacement("f", 7),)),
        m.CopyReport(9, 2, (m.CopyPlacement("f", 0, None),)),
    )
    assert front.receive(1.0, "n0", first) and front.place("f") == 7
    front.receive(2.0, "n0", gone)
    assert front.receive(3.0, "n0", first) == [] and front.place("f") is None
    assert front.counts == {"copy reports that came late": 1}
    assert front.receive(4.0, "n0", m.CopyReport(10, 1, (m.CopyPlacement("f", 7),))) and front.place("f") == 7


def test_a_copy_that_is_lost_is_requested_of_its_load_coordinator_again_by_the_scorer_where_it_was():
    fleet = Fleet(2)
    fleet.fronts["n5"].request_copy(0.0, m.LoadRequest("f", "view", 1.0))
    fleet.run(4_000.0)
    worker = fleet.fronts["n5"].place("f")
    fleet.copies.clear()
    fleet.fronts["n5"].copy_lost("f", worker)
    fleet.fronts["n5"].request_copy(fleet.now, m.LoadRequest("f", "view", 1.0))
    fleet.run(8_000.0)
    assert len(fleet.orders) == 2 and fleet.copies == {(worker, "f")}
    assert all(front.place("f") == worker for front in fleet.fronts.values())


def test_the_eta_is_what_the_load_coordinator_says_less_what_went_by():
    front = PermitIssuer("n5", 1, LIMITS, lambda function: [7], PermitTiming(100.0, 200.0))
    front.update(0.0, {"n0", "n5"}, {"n0"}, allowed_in_phase(RecoveryPhase.ALL_CALLS, WEIGHTS), 1)
    front.request_copy(0.0, m.LoadRequest("f", "view", 1.0))
    assert front.eta_ms(0.0, "f") >= 500.0
    front.receive(100.0, "n0", m.CopyReport(9, 1, (m.CopyPlacement("f", 0, 2_000.0),)))
    assert front.eta_ms(600.0, "f") == 1_500.0
    front.receive(700.0, "n0", m.CopyReport(9, 2, (m.CopyPlacement("f", 7),)))
    assert front.eta_ms(700.0, "f") == 0.0


def test_tables_are_bounded_and_dropped_entries_are_counted(monkeypatch):
    monkeypatch.setattr("fawnwharf.recovery_service.local_load_requests.MAX_LOAD_REQUESTS", 2)
    monkeypatch.setattr("fawnwharf.recovery_service.permit_issuing.MAX_PLACEMENTS", 1)
    front = PermitIssuer("n5", 1, LIMITS, lambda function: [7], PermitTiming(100.0, 200.0))
    front.update(0.0, {"n0", "n5"}, {"n0"}, allowed_in_phase(RecoveryPhase.ALL_CALLS, WEIGHTS), 1)
    for function in "abc":
        front.request_copy(0.0, m.LoadRequest(function, "view", 1.0))
    [messages_sent] = [out for out in front.tick(50.0) if isinstance(out, SendPermitMessage)]
    assert [wanted.function for wanted in messages_sent.message.requests] == ["a", "b"]
    front.receive(60.0, "n0", m.CopyReport(9, 1, (m.CopyPlacement("x", 7), m.CopyPlacement("y", 7))))
    assert front.counts == {"load requests beyond the limit": 1, "copies beyond the limit": 1}


def test_a_front_end_that_reaches_no_replica_loads_for_itself_part_of_the_time():
    front = PermitIssuer("n5", 1, LIMITS, lambda function: [7], PermitTiming(100.0, 200.0))
    front.update(
        0.0, {"n4", "n5"}, {"n0"}, allowed_in_phase(RecoveryPhase.ALL_CALLS, WEIGHTS, 0.05), 1
    )  # a fifth of one fetch
    made = []
    for now in range(0, 20_000, 50):
        front.request_copy(now, m.LoadRequest(f"f{now}", "view", 1.0))
        for order in orders(front.tick(now)):
            made.append(now)
            front.ordered(now, order.scorer, order.function)
            front.answered(now + 40, io.LoadOrderAnswered(7, order.function, io.AttemptResult.GOOD, 1, 40.0))
    assert 60 <= len(made) <= 20_000 * 0.2 / 40 + 1


# --- slow start coordinators ----------------------------------------------------------------------

ACTS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "ask", "ask", "down", "up", "wait"]),
        st.integers(0, 5),
        st.integers(1, 12),
    ),
    max_size=160,
)


@settings(max_examples=100, deadline=None)
@given(ACTS, st.integers(0, 99), st.sampled_from([0.0, 0.2]))
def test_never_more_permits_within_a_scorers_window_than_its_capacity_whoever_gives_them_out(
    acts, seed, lost
):
    fleet = Fleet(seed, lost=lost)
    fleet.run(1_700.0)
    for what, i, n in acts:
        name = f"n{i}"
        if what == "ask" and name in fleet.up:
            fleet.request_permits(name, n)
        elif what == "down" and name in fleet.up and len(fleet.up) > 1:
            fleet.kill(name)
        elif what == "up" and name not in fleet.up:
            fleet.start(name)
        fleet.run(fleet.now + (100.0 * n if what == "wait" else 9.0 * n))
    for n, at in enumerate(fleet.sent):
        within = sum(at - LIMITS.fall_ms < other <= at for other in fleet.sent[: n + 1])
        assert within <= LIMITS.max_calls(at)


def test_a_new_slow_start_coordinator_waits_for_the_one_before_to_see_it_too():
    old, new = (CoordinatedSlowStart(name, 1, LIMITS, 300.0) for name in ("n0", "n1"))
    loser = next(
        i for i in range(50) if slow_start_coordinator_of(str(i), ("n0", "n1")) == "n1"
    )  # coordinated by n1 once n1 is reachable
    for front, givers in ((old, ("n0",)), (new, ("n0", "n1"))):
        front.update(0.0 if front is old else 3_000.0, PermitView(givers, 1.0, 1))
        front.scorer_seen(3_000.0, loser, 3_000.0)
    used = []
    for now in range(3_000, 6_000):
        if now == 3_299:
            old.update(now, PermitView(("n0", "n1"), 1.0, 1))
        used += [now for front in (old, new) if now != 3_299 and front.request(now, loser, f"{now}") == 0.0]
    assert min(at for at in used if at > 3_299) >= 3_300 + LIMITS.fall_ms
    assert max(sum(at - 1_000 < other <= at for other in used) for at in used) <= LIMITS.max_calls(6_000.0)


def test_all_permits_are_issued_and_further_calls_get_distinct_retry_times():
    fleet = Fleet(1)
    for now in range(2_000, 5_000, 50):
        fleet.run(now)
        for name in sorted(fleet.up):
            fleet.request_permits(name, 3)
    window = [at for at in fleet.sent if 3_000.0 <= at < 4_050.0]
    assert LIMITS.max_calls(3_000.0) - 1 <= len(window) <= LIMITS.max_calls(4_050.0)
    slow_start = [front.slow_start for front in fleet.fronts.values()]
    warden = next(one for one in slow_start if one.scorers[7].coordinator == one.member)
    waits = [warden.request(fleet.now, 7, f"w{i}") for i in range(20)]
    assert all(wait > 0 for wait in waits) and len(set(waits)) > 10 and waits == sorted(waits)


def test_the_coordinator_of_a_scorer_that_came_up_after_all_agreed_issues_at_once():
    front = CoordinatedSlowStart("n0", 1, LIMITS, 300.0)
    front.update(0.0, PermitView(("n0",), 1.0, 1))
    front.scorer_seen(100.0, 1, 0.0)
    front.scorer_seen(500.0, 2, 100.0)
    assert front.request(500.0, 1, "a") > 0 and front.request(500.0, 2, "b") == 0.0
    assert front.request(500.0, 3, "of nobody") == 0.0 and front.request(11_000.0, 1, "warm") == 0.0


def test_a_permit_that_arrives_late_is_void():
    front = CoordinatedSlowStart("n1", 1, LIMITS, 300.0)
    front.update(0.0, PermitView(("n0",), 1.0, 1))
    front.scorer_seen(0.0, 7, 0.0)
    assert front.request(10.0, 7, "a") is None
    [messages_sent] = front.tick(10.0)
    answer = m.PermitResponse(7, messages_sent.message.number, 1, (0.0,))
    assert front.receive_response(61.0, answer) == [] and front.counts == {"permits that came late": 1}
    [messages_sent] = front.tick(62.0)
    answer = m.PermitResponse(7, messages_sent.message.number, 1, (0.0,))
    assert [ticket.key for ticket in front.receive_response(70.0, answer)] == ["a"]
    assert front.receive_response(70.0, answer) == []
