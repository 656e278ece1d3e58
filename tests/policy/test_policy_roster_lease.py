"""Roster leases: what confirms a scorer, when its lease expires, and which queries renew it."""

import itertools

import pytest
from bench import Drive, of

from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult
from fawnwharf.policy.roster_lease import MAX_QUERY_PAUSE_MS, UNCONFIRMED_MS

LEASE_MS = 6_900.0
CALL_EVERY_MS = 500.0  # often enough that the copy is never stale and probed


def driver_with_lease(**settings):
    """A driver whose change log has just confirmed the roster, and the scorer that has a copy."""
    driver = Drive(roster_lease_ms=LEASE_MS, **settings)
    driver.feed(io.RosterConfirmed(0.0))
    return driver, driver.warm()


def serve(driver, name):
    """Serve one call; returns its send."""
    [send] = of(driver.ask(name), io.Send)
    driver.now += 100.0
    driver.end(send)
    return send


def serve_until_unconfirmed(driver):
    """Serve calls without a confirmation of the change log, until it counts as out of reach."""
    while driver.now < UNCONFIRMED_MS:
        driver.sweep(driver.now + CALL_EVERY_MS)
        serve(driver, f"at {driver.now}")


def queries(actions):
    return [order for order in of(actions, io.OrderCopies) if not order.copies]


def new_work(actions):
    return of(actions, io.Send) + [order for order in of(actions, io.OrderCopies) if order.copies]


def test_no_scorer_is_confirmed_at_the_start():
    driver = Drive(roster_lease_ms=LEASE_MS)
    actions = driver.ask("r1")
    assert queries(actions)
    assert not new_work(actions)
    probed = queries(actions)[0]
    assert new_work(driver.count(probed.scorer, 1))[0].scorer == probed.scorer


def test_a_send_carries_what_is_left_of_the_lease():
    driver, _ = driver_with_lease()
    confirmed_ms = driver.now - 100.0  # the send time of the last call with a good answer
    driver.now += 300.0
    [send] = of(driver.ask("r1"), io.Send)
    assert send.within_ms == pytest.approx(LEASE_MS - (driver.now - confirmed_ms))


def test_a_load_order_carries_what_is_left_of_the_lease_and_a_query_needs_none():
    driver, warm_scorer = driver_with_lease()
    driver.now += 200.0
    driver.ask("r1")
    [order] = of(driver.ask("r2"), io.OrderCopies)
    assert order.copies == 1
    assert order.scorer != warm_scorer
    assert order.within_ms == pytest.approx(LEASE_MS - driver.now)
    assert queries(Drive(roster_lease_ms=LEASE_MS).ask("r1"))[0].within_ms == float("inf")


def test_good_answers_renew_a_lease_while_the_change_log_is_out_of_reach():
    driver, warm_scorer = driver_with_lease()
    for _ in range(60):
        driver.sweep(driver.now + CALL_EVERY_MS)
        assert serve(driver, f"at {driver.now}").scorer == warm_scorer


def test_a_scorer_that_rejects_a_call_is_queried_before_it_gets_more():
    driver, warm_scorer = driver_with_lease()
    serve_until_unconfirmed(driver)
    [send] = of(driver.ask("r1"), io.Send)
    driver.end(send, AttemptResult.FULL)
    assert not [work for work in new_work(driver.sweep(driver.now + 400.0)) if work.scorer == warm_scorer]
    probed = [
        query for _, query in driver.log if isinstance(query, io.OrderCopies) and query.scorer == warm_scorer
    ]
    assert probed[-1].copies == 0
    assert of(driver.count(warm_scorer, 1), io.Send)[0].scorer == warm_scorer
    assert driver.router.lease_counters.doubts == 1


def test_a_rejected_call_changes_nothing_while_the_change_log_confirms():
    driver, _ = driver_with_lease()
    driver.now += 300.0
    [send] = of(driver.ask("r1"), io.Send)
    driver.end(send, AttemptResult.FULL)
    assert driver.router.lease_counters.doubts == 0
    assert driver.router._has_lease(driver.router.scorers[send.scorer])


def test_a_rejection_by_a_scorer_that_served_nothing_recently_suspends_its_lease():
    driver, warm_scorer = driver_with_lease()
    driver.now += 300.0
    driver.feed(io.RosterConfirmed(1_000.0))
    [send] = of(driver.ask("r1"), io.Send)
    driver.router.scorers[warm_scorer].confirmed_ms -= 2_500.0
    driver.end(send, AttemptResult.FULL)
    assert driver.router.lease_counters.doubts == 1
    driver.sweep(driver.now + 200.0)
    driver.count(warm_scorer, 0, ending=AttemptResult.FULL)
    driver.now += 500.0
    driver.feed(io.RosterConfirmed(0.0))
    assert not driver.router._has_lease(driver.router.scorers[warm_scorer])
    assert driver.router.lease_counters.rejected_queries == 1


def test_a_scorer_that_rejects_queries_is_queried_less_and_less_often():
    driver, warm_scorer = driver_with_lease(workers=1)
    driver.now += 60_000.0
    query_times_ms = []
    for number in range(200):
        actions = driver.ask(f"r{number}") + driver.sweep(driver.now + 200.0)
        for query in queries(actions):
            query_times_ms.append(driver.now)
            driver.count(query.scorer, 0, query.function, AttemptResult.FULL)
        assert not new_work(actions)
    pauses = [later - earlier for earlier, later in itertools.pairwise(query_times_ms)]
    assert pauses[0] < pauses[1] < pauses[2]
    assert min(pauses[2:]) >= MAX_QUERY_PAUSE_MS
    assert warm_scorer == 1


def test_a_scorer_that_rejected_a_query_returns_in_slow_start():
    driver, warm_scorer = driver_with_lease(workers=1)
    driver.now += 60_000.0
    [query] = queries(driver.ask("r1"))
    driver.count(warm_scorer, 0, query.function, AttemptResult.FULL)
    driver.now += 1_100.0
    [query] = queries(driver.ask("r2"))
    driver.count(warm_scorer, 0, query.function)
    assert driver.router.lease_counters.suspected_restarts == 1
    assert driver.router._capacity_share(driver.router.scorers[warm_scorer]) < 0.3


def test_a_connection_reset_while_the_change_log_is_out_of_reach_leads_to_a_slow_start():
    driver, warm_scorer = driver_with_lease(workers=1)
    serve_until_unconfirmed(driver)
    [send] = of(driver.ask("r1"), io.Send)
    driver.end(send, AttemptResult.RESET)
    driver.now += 10.0
    driver.count(warm_scorer, 1)
    assert driver.router.lease_counters.suspected_restarts == 1


def test_an_assumed_start_is_no_earlier_than_a_reported_one():
    driver, warm_scorer = driver_with_lease(workers=1)
    serve_until_unconfirmed(driver)
    [send] = of(driver.ask("r1"), io.Send)
    driver.end(send, AttemptResult.RESET)
    reported_ms = driver.now + 500.0
    driver.now += 1_000.0
    driver.feed(
        io.RosterChanged([io.ScorerEntry(warm_scorer, zone="a", up_since_ms=reported_ms)], complete=False)
    )
    # The answer is to an order sent before that start.
    driver.feed(io.LoadOrderAnswered(warm_scorer, "f", AttemptResult.GOOD, 1, 900.0))
    assert driver.router.lease_counters.suspected_restarts == 1
    assert driver.router.scorers[warm_scorer].started_ms == reported_ms


def test_a_confirmed_roster_serves_queued_requests_at_once():
    driver, warm_scorer = driver_with_lease(workers=1)
    driver.now += 60_000.0
    assert queries(driver.ask("r1"))
    driver.now += 30.0
    orders = new_work(driver.feed(io.RosterConfirmed(0.0)))
    assert [order.scorer for order in orders] == [warm_scorer]


def test_an_old_confirmation_of_the_change_log_renews_no_lease():
    driver = Drive(roster_lease_ms=LEASE_MS)
    driver.feed(io.RosterConfirmed(LEASE_MS + 1.0))
    assert not new_work(driver.ask("r1"))


def test_without_queries_nothing_is_sent_after_the_end_of_a_lease():
    driver = Drive(roster_lease_ms=LEASE_MS, load_orders_allowed=False, loads_on_miss=True)
    driver.feed(io.RosterConfirmed(0.0))
    assert of(driver.ask("r1"), io.Send)
    driver.now += LEASE_MS + 1.0
    assert not of(driver.ask("r2"), io.Send)
