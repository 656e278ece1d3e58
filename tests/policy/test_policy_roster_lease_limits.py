"""Roster leases with a hot restart and with load orders that wait, and the number of queries."""

import pytest
from bench import Drive, of

from fawnwharf import interface as io
from fawnwharf.admin import learned_state
from fawnwharf.net.scorer_streams import LoadOrder
from fawnwharf.net.timer_wheel import monotonic_ms

LEASE_MS = 6_900.0
CALLS = 40


def test_a_hot_restart_hands_over_copies_and_no_lease():
    old = Drive(roster_lease_ms=LEASE_MS)
    old.feed(io.RosterConfirmed(0.0))
    warm_scorer = old.warm()
    learned = learned_state.capture(old.router, set(), old.now, 5_000.0)
    new = Drive(roster_lease_ms=LEASE_MS)
    new.now = old.now
    learned_state.restore(new.router, learned, new.now, 5_000.0)
    actions = new.ask("r1")
    assert not of(actions, io.Send)
    assert warm_scorer in [order.scorer for order in of(actions, io.OrderCopies) if not order.copies]
    assert of(new.count(warm_scorer, 1), io.Send)[0].scorer == warm_scorer


def test_a_load_order_whose_lease_expired_while_it_waited_is_not_sent_but_a_query_is():
    order, query = (LoadOrder(1, lambda *_: None, "f", copies, monotonic_ms() - 1.0) for copies in (1, 0))
    assert order.is_expired()
    assert not query.is_expired()


@pytest.mark.parametrize("scorers", [120, 3_200])
def test_the_number_of_queries_depends_on_the_calls_and_not_on_the_scorers(scorers):
    settings = {"fleet_size": 200, "quotas_rps": {"acme": 1_000.0}, "loads_on_miss": True, "max_attempts": 3}
    driver = Drive(workers=scorers, roster_lease_ms=LEASE_MS, **settings)
    driver.feed(io.RosterConfirmed(0.0))
    driver.now += 20_000.0
    queries = 0
    for number in range(CALLS):
        actions = driver.ask(f"r{number}", fn=f"f{number}", tenant="acme")
        for order in of(actions, io.OrderCopies):
            assert not order.copies
            queries += 1
            sends = of(driver.count(order.scorer, 0, order.function), io.Send)
            for send in sends:
                driver.end(send)
        driver.now += 50.0
    assert driver.router.many_front_ends
    assert 0 < queries <= CALLS
