"""Rules of the router: final answers, retries, draining, slow start, the load rate limit and quotas."""

from bench import Drive, of

from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult

# --- final answers -------------------------------------------------------------------------


def test_a_request_without_time_left_is_rejected_at_once():
    driver = Drive()
    actions = driver.ask("r1", budget=0.0)
    assert [a.request for a in of(actions, io.Reject)] == ["r1"]
    assert not of(actions, io.Send)


def test_no_action_follows_the_cancellation_of_a_request():
    driver = Drive()
    driver.warm()
    [send] = of(driver.ask("r1"), io.Send)
    driver.feed(io.RequestCancelled("r1"))
    later = driver.end(send, AttemptResult.CANCELLED, closed=True) + driver.sweep(driver.now + 3000)
    assert not of(later, io.Send)
    assert not of(later, io.Reject)
    assert not of(later, io.Fail)


# --- retries by class ----------------------------------------------------------------------


def test_an_at_most_once_request_is_not_retried_nor_rejected_once_it_may_have_run():
    driver = Drive()
    driver.warm(spec="unsafe")
    [send] = of(driver.ask("r1", spec="unsafe", budget=4000.0), io.Send)
    actions = driver.end(send, AttemptResult.ERROR, closed=False)
    assert not of(actions, io.Send)
    assert not of(actions, io.Reject)
    assert [a.request for a in of(actions, io.Fail)] == ["r1"]


def test_an_at_most_once_request_is_retried_after_proof_that_it_did_not_run():
    driver = Drive()
    warm_scorer = driver.warm(spec="unsafe")
    other = next(n for n in (1, 2, 3, 4) if n != warm_scorer)
    driver.count(other, 1)
    [send] = of(driver.ask("r1", spec="unsafe", budget=4000.0), io.Send)
    assert send.request in [
        a.request for a in of(driver.end(send, AttemptResult.FULL, closed=False), io.Send)
    ]


def keyed_retry(after):
    driver = Drive(workers=4, zones=("a", "b"))
    driver.ask("r1", spec="keyed", budget=4000.0)
    for scorer in (1, 2, 3, 4):
        driver.count(scorer, 1)
    send = next(action for _, action in reversed(driver.log) if isinstance(action, io.Send))
    driver.sweep(driver.now + after)
    for scorer in (1, 2, 3, 4):
        driver.count(scorer, 1)
    return send, driver.end(send, AttemptResult.ERROR, closed=False), driver


def test_a_retry_with_an_idempotency_key_stays_in_its_group():
    send, actions, _ = keyed_retry(after=100)
    [retry] = of(actions, io.Send)
    assert retry.scorer != send.scorer
    assert retry.scorer % 2 == send.scorer % 2


def test_a_request_with_an_idempotency_key_is_not_retried_after_the_window():
    _, actions, driver = keyed_retry(after=2410)
    actions += driver.sweep(4000)
    assert not of(actions, io.Send)
    assert not of(actions, io.Reject)
    assert len(of(actions, io.Fail)) == 1


# --- draining ------------------------------------------------------------------------------


def test_a_draining_or_gone_scorer_gets_no_new_calls_or_loads():
    for state in (io.ScorerState.DRAINING, io.ScorerState.GONE):
        driver = Drive()
        warm_scorer = driver.warm()
        driver.feed(io.RosterChanged([io.ScorerEntry(warm_scorer, state)], complete=False))
        actions = driver.ask("r1")
        actions += driver.answer_asks(actions)
        actions += driver.sweep(driver.now + 100)
        assert not [a for a in of(actions, io.Send) if a.scorer == warm_scorer]
        assert not [a for a in of(actions, io.OrderCopies) if a.scorer == warm_scorer and a.copies]
        assert [a for a in of(actions, io.OrderCopies) if a.copies]


# --- slow start ----------------------------------------------------------------------------


def test_a_scorer_in_slow_start_gets_no_more_than_its_limit_in_any_window():
    driver = Drive(
        workers=1,
        slow_start_ms=10_000.0,
        slow_start_initial_share=0.2,
        slow_start_window_ms=1000.0,
        slow_start_multiple=2.0,
    )
    driver.now = 20_000.0
    driver.feed(io.RosterChanged([io.ScorerEntry(1, up_since_ms=20_000.0)], complete=False))
    driver.ask("r")
    driver.now += 1
    for send in of(driver.count(1, 16), io.Send):
        driver.end(send)
    for n in range(200):
        driver.now += 10
        for send in of(driver.ask(f"r{n}"), io.Send):
            driver.now += 1
            driver.end(send)
            driver.count(1, 16)
    times = [now for now, action in driver.log if isinstance(action, io.Send)]
    most = max(sum(start <= t < start + 1000 for t in times) for start in times)
    # About 90 requests per second arrive for the one scorer; the limit is 2 x (0.2 to 0.4) of that.
    assert 1 <= most <= 60


def test_sends_after_the_slow_start_are_not_recorded():
    driver = Drive(workers=1)
    driver.now = 100.0
    driver.feed(io.RosterChanged([io.ScorerEntry(1, zone="a", up_since_ms=50.0)], complete=False))
    driver.now += driver.router.settings.slow_start_ms
    driver.warm()
    for n in range(50):
        [send] = of(driver.ask(f"r{n}"), io.Send)
        driver.end(send)
    assert len(driver.router.scorers[1].slow_start_sends) == 0


def test_a_restart_discards_what_was_known_of_copies():
    driver = Drive()
    warm_scorer = driver.warm()
    driver.feed(io.RosterChanged([io.ScorerEntry(warm_scorer, up_since_ms=driver.now)], complete=False))
    assert not of(driver.ask("r1"), io.Send)


# --- load rate limit -----------------------------------------------------------------------


def test_the_load_rate_limit_allows_exactly_its_number_of_loads():
    driver = Drive(load_window_ms=5000.0, free_loads=2.0, loads_per_arrival=0.2)
    for n in range(9):
        driver.answer_asks(driver.ask(f"r{n}", fn=f"f{n}"))
    loads = [a for _, a in driver.log if isinstance(a, io.OrderCopies) and a.copies]
    assert len(loads) == 3  # 2 + 0.2 x 9
    driver.answer_asks(driver.ask("r9", fn="f9"))
    driver.sweep(40)
    assert len([a for _, a in driver.log if isinstance(a, io.OrderCopies) and a.copies]) == 4


# --- quotas and limits ---------------------------------------------------------------------


def test_requests_beyond_the_quota_are_sent_after_those_within_it():
    driver = Drive(quotas_rps={"big": 1.0, "small": 100.0})
    driver.warm()
    [first] = of(driver.ask("r1", tenant="small"), io.Send)
    driver.ask("b1", tenant="big")
    driver.ask("b2", tenant="big")
    driver.ask("s1", tenant="small")
    order = []
    send = first
    for _ in range(3):
        sends = of(driver.end(send), io.Send)
        if not sends:
            break
        [send] = sends
        order.append(send.request)
    assert order.index("s1") < (order.index("b2") if "b2" in order else 9)


def test_slow_loads_lower_the_limit_on_loads_in_progress_and_timely_ones_raise_it():
    driver = Drive()
    start = driver.router.load_limit
    loads = of(driver.answer_asks(driver.ask("r1", load_ms=100.0)), io.OrderCopies)
    driver.now += 1000
    driver.count(loads[0].scorer, 1)
    low = driver.router.load_limit
    loads = of(driver.answer_asks(driver.ask("r2", fn="g")), io.OrderCopies)
    driver.now += 200
    driver.count(loads[0].scorer, 1, "g")
    assert low < start
    assert driver.router.load_limit > low


def test_a_request_with_little_time_is_rejected_before_the_next_sweep():
    driver = Drive(workers=0)
    driver.ask("r1", budget=2500.0)  # its arrival starts the sweep timer
    driver.now += 1
    assert [a.request for a in of(driver.ask("r2", budget=25.0), io.Reject)] == ["r2"]


def test_removed_scorers_do_not_raise_the_limit_of_the_others():
    driver = Drive(workers=4, quotas_rps={"t": 40.0})
    before = driver.router.scorers[1].in_flight_limit
    driver.feed(io.RosterChanged([io.ScorerEntry(n, io.ScorerState.GONE) for n in (2, 3, 4)], complete=False))
    driver.sweep(40)
    assert driver.router.scorers[1].in_flight_limit == before < 20


def test_a_limit_rejects_calls_beyond_it_at_once_and_can_be_lifted():
    driver = Drive(max_retry_after_ms=700.0, fleet_size=4)
    driver.warm()
    driver.now += 1000.0
    driver.feed(io.LimitsChanged(2.0))
    rejections = []
    for n in range(6):
        rejections += of(driver.ask(f"r{n}"), io.Reject)
    # The limit does not start with a burst.
    assert [rejection.request for rejection in rejections] == [f"r{n}" for n in range(6)]
    driver.now += 1000.0
    assert [len(of(driver.ask(f"s{n}"), io.Reject)) for n in range(4)] == [0, 0, 1, 1]
    assert {rejection.hold_off_ms for rejection in rejections} == {700.0}
    driver.feed(io.LimitsChanged())
    assert not of(driver.ask("r9"), io.Reject)


def test_a_limit_of_zero_rejects_every_call():
    driver = Drive()
    driver.feed(io.LimitsChanged(0.0))
    assert [type(action) for action in driver.ask("r1")] == [io.Reject]


def test_a_limit_replaces_a_tenants_equal_share_of_its_quota():
    driver = Drive(fleet_size=4, quotas_rps={"t": 40.0, "u": 40.0})
    driver.warm()

    def over(tenant, count=60):
        taken = []
        for _ in range(count):
            driver.now += 10.0
            taken.append(driver.router._is_over_quota(tenant))
        return sum(taken)

    assert over("t") > 30  # its share is ten calls per second
    driver.feed(io.LimitsChanged(200.0, "t"))
    driver.now += 1000.0
    assert over("t") == 0
    assert over("u") > 30
    driver.feed(io.LimitsChanged(10.0, "t"))
    driver.now += 1000.0
    assert over("t") > 30


def test_a_call_without_a_ready_scorer_is_queued_and_rejected_with_quotas_too():
    driver = Drive(workers=2, quotas_rps={"t": 100.0})
    driver.feed(io.RosterChanged([], complete=True))
    driver.ask("r1", tenant="t")
    assert [rejection.request for rejection in of(driver.sweep(2500), io.Reject)] == ["r1"]
