"""Leases on the states of scorers: what proves them, when they end, and which queries renew them."""

import itertools

import pytest
from bench import Drive, of

from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult
from fawnwharf.policy.roster_lease import MAX_QUERY_PAUSE_MS, UNCONFIRMED_MS

LEASE_MS = 6_900.0
CALL_EVERY_MS = 500.0  # so that the copy is never asked for because it is stale


def leased(**settings):
    """A router whose change log has just confirmed the roster, and the scorer that has a copy."""
    drive = Drive(roster_lease_ms=LEASE_MS, **settings)
    drive.feed(io.RosterConfirmed(0.0))
    return drive, drive.warm()


def serve(drive, name):
    """One call that is served at once; its send."""
    [send] = of(drive.ask(name), io.Send)
    drive.now += 100.0
    drive.end(send)
    return send


def serve_until_unconfirmed(drive):
    """Calls are served while the change log says nothing, until it counts as out of reach."""
    while drive.now < UNCONFIRMED_MS:
        drive.sweep(drive.now + CALL_EVERY_MS)
        serve(drive, f"at {drive.now}")


def queries(actions):
    return [order for order in of(actions, io.OrderCopies) if not order.copies]


def new_work(actions):
    return of(actions, io.Send) + [order for order in of(actions, io.OrderCopies) if order.copies]


def test_nothing_is_proved_at_the_start():
    drive = Drive(roster_lease_ms=LEASE_MS)
    actions = drive.ask("r1")
    assert queries(actions)
    assert not new_work(actions)
    asked = queries(actions)[0]
    assert new_work(drive.count(asked.scorer, 1))[0].scorer == asked.scorer


def test_a_send_carries_what_is_left_of_the_lease():
    drive, _ = leased()
    confirmed_ms = drive.now - 100.0  # the last good answer was to a call sent then
    drive.now += 300.0
    [send] = of(drive.ask("r1"), io.Send)
    assert send.within_ms == pytest.approx(LEASE_MS - (drive.now - confirmed_ms))


def test_a_load_order_carries_what_is_left_of_the_lease_and_a_query_needs_none():
    drive, home = leased()
    drive.now += 200.0
    drive.ask("r1")
    [order] = of(drive.ask("r2"), io.OrderCopies)
    assert order.copies == 1
    assert order.scorer != home
    assert order.within_ms == pytest.approx(LEASE_MS - drive.now)
    assert queries(Drive(roster_lease_ms=LEASE_MS).ask("r1"))[0].within_ms == float("inf")


def test_good_answers_renew_a_lease_while_the_change_log_is_out_of_reach():
    drive, home = leased()
    for _ in range(60):
        drive.sweep(drive.now + CALL_EVERY_MS)
        assert serve(drive, f"at {drive.now}").scorer == home


def test_a_rejected_call_has_its_scorer_queried_before_it_gets_more():
    drive, home = leased()
    serve_until_unconfirmed(drive)
    [send] = of(drive.ask("r1"), io.Send)
    drive.end(send, AttemptResult.FULL)
    assert not [work for work in new_work(drive.sweep(drive.now + 400.0)) if work.scorer == home]
    asked = [query for _, query in drive.log if isinstance(query, io.OrderCopies) and query.scorer == home]
    assert asked[-1].copies == 0
    assert of(drive.count(home, 1), io.Send)[0].scorer == home
    assert drive.router.lease_counters.doubts == 1


def test_a_rejected_call_changes_nothing_while_the_change_log_confirms():
    drive, _ = leased()
    drive.now += 300.0
    [send] = of(drive.ask("r1"), io.Send)
    drive.end(send, AttemptResult.FULL)
    assert drive.router.lease_counters.doubts == 0
    assert drive.router._has_lease(drive.router.scorers[send.scorer])


def test_a_rejection_by_a_scorer_that_served_nothing_lately_has_it_queried_whatever_the_log_confirms():
    drive, home = leased()
    drive.now += 300.0
    drive.feed(io.RosterConfirmed(1_000.0))
    [send] = of(drive.ask("r1"), io.Send)
    drive.router.scorers[home].confirmed_ms -= 2_500.0
    drive.end(send, AttemptResult.FULL)
    assert drive.router.lease_counters.doubts == 1
    drive.sweep(drive.now + 200.0)
    drive.count(home, 0, ending=AttemptResult.FULL)
    drive.now += 500.0
    drive.feed(io.RosterConfirmed(0.0))
    assert not drive.router._has_lease(drive.router.scorers[home])
    assert drive.router.lease_counters.rejected_queries == 1


def test_a_scorer_that_rejects_queries_is_asked_more_and_more_seldom():
    drive, home = leased(workers=1)
    drive.now += 60_000.0
    asked_ms = []
    for number in range(200):
        actions = drive.ask(f"r{number}") + drive.sweep(drive.now + 200.0)
        for query in queries(actions):
            asked_ms.append(drive.now)
            drive.count(query.scorer, 0, query.function, AttemptResult.FULL)
        assert not new_work(actions)
    pauses = [later - earlier for earlier, later in itertools.pairwise(asked_ms)]
    assert pauses[0] < pauses[1] < pauses[2]
    assert min(pauses[2:]) >= MAX_QUERY_PAUSE_MS
    assert home == 1


def test_a_scorer_that_rejected_a_query_returns_cold():
    drive, home = leased(workers=1)
    drive.now += 60_000.0
    [query] = queries(drive.ask("r1"))
    drive.count(home, 0, query.function, AttemptResult.FULL)
    drive.now += 1_100.0
    [query] = queries(drive.ask("r2"))
    drive.count(home, 0, query.function)
    assert drive.router.lease_counters.suspected_restarts == 1
    assert drive.router._warmth(drive.router.scorers[home]) < 0.3


def test_a_connection_lost_unseen_by_the_change_log_means_a_cold_return():
    drive, home = leased(workers=1)
    serve_until_unconfirmed(drive)
    [send] = of(drive.ask("r1"), io.Send)
    drive.end(send, AttemptResult.RESET)
    drive.now += 10.0
    drive.count(home, 1)
    assert drive.router.lease_counters.suspected_restarts == 1


def test_a_guessed_start_is_no_earlier_than_a_reported_one():
    drive, home = leased(workers=1)
    serve_until_unconfirmed(drive)
    [send] = of(drive.ask("r1"), io.Send)
    drive.end(send, AttemptResult.RESET)
    reported_ms = drive.now + 500.0
    drive.now += 1_000.0
    drive.feed(io.RosterChanged([io.ScorerEntry(home, zone="a", up_since_ms=reported_ms)], complete=False))
    drive.feed(io.LoadOrderAnswered(home, "f", AttemptResult.GOOD, 1, 900.0))  # sent before that start
    assert drive.router.lease_counters.suspected_restarts == 1
    assert drive.router.scorers[home].started_ms == reported_ms


def test_a_confirmed_roster_serves_what_waits_at_once():
    drive, home = leased(workers=1)
    drive.now += 60_000.0
    assert queries(drive.ask("r1"))
    drive.now += 30.0
    orders = new_work(drive.feed(io.RosterConfirmed(0.0)))
    assert [order.scorer for order in orders] == [home]


def test_an_old_proof_of_the_change_log_renews_little():
    drive = Drive(roster_lease_ms=LEASE_MS)
    drive.feed(io.RosterConfirmed(LEASE_MS + 1.0))
    assert not new_work(drive.ask("r1"))


def test_without_queries_nothing_is_sent_after_the_end_of_a_lease():
    drive = Drive(roster_lease_ms=LEASE_MS, load_orders_allowed=False, loads_on_miss=True)
    drive.feed(io.RosterConfirmed(0.0))
    assert of(drive.ask("r1"), io.Send)
    drive.now += LEASE_MS + 1.0
    assert not of(drive.ask("r2"), io.Send)
