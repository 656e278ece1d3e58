"""The router: probes, loads, choice of scorers, copy refresh, and the final answers that it gives itself."""

from bench import Drive, of

from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult
from fawnwharf.policy.state import MAX_FUNCTIONS


def test_an_unknown_function_is_probed_for_then_loaded_once():
    driver = Drive()
    probes = of(driver.ask("r1"), io.OrderCopies)
    assert probes
    assert all(ask.copies == 0 for ask in probes)
    loads = of(driver.answer_asks(probes), io.OrderCopies)
    assert [load.copies for load in loads] == [1]
    assert not of(driver.sweep(280), io.OrderCopies)
    assert [s.scorer for s in of(driver.count(loads[0].scorer, 1), io.Send)] == [loads[0].scorer]


def test_a_copy_found_by_a_probe_is_used_instead_of_a_load():
    driver = Drive()
    probes = of(driver.ask("r1"), io.OrderCopies)
    actions = driver.answer_asks(probes, {probes[2].scorer: 1})
    assert [send.scorer for send in of(actions, io.Send)] == [probes[2].scorer]
    assert not of(actions, io.OrderCopies) or all(load.copies == 0 for load in of(actions, io.OrderCopies))


def test_unanswered_probes_delay_a_load_only_briefly():
    driver = Drive()
    driver.ask("r1")
    assert [order.copies for order in of(driver.sweep(40), io.OrderCopies)] == [1]


def test_a_lane_that_becomes_free_before_a_speculative_load_completes_is_used():
    driver = Drive()
    warm_scorer = driver.warm()
    [first] = of(driver.ask("r1"), io.Send)
    speculative_orders = of(driver.ask("r2"), io.OrderCopies)
    assert first.scorer == warm_scorer
    assert [load.copies for load in speculative_orders] == [1]
    driver.now += 50
    assert [s.request for s in of(driver.end(first), io.Send)] == ["r2"]


def test_a_speculative_load_that_completes_before_a_lane_becomes_free_is_used():
    driver = Drive()
    warm_scorer = driver.warm()
    driver.ask("r1")
    [load] = of(driver.ask("r2"), io.OrderCopies)
    driver.now += 300
    [send] = of(driver.count(load.scorer, 1), io.Send)
    assert send.request == "r2"
    assert send.scorer == load.scorer != warm_scorer


def test_free_lanes_and_speculative_loads_in_the_own_zone_come_first():
    for own in ("a", "b"):
        driver = Drive(workers=8, zones=("a", "b"), zone=own)
        zones = {entry.scorer: entry.zone for entry in driver.entries}
        driver.warm()
        [first] = of(driver.ask("r1"), io.Send)
        # If a copy is loaded, the speculative load of the next one goes to the own zone.
        [load] = of(driver.ask("r2"), io.OrderCopies)
        assert zones[load.scorer] == own
        [second] = of(driver.count(load.scorer, 1), io.Send)
        [third] = [scorer for scorer in zones if zones[scorer] != own and scorer != first.scorer][:1]
        driver.count(third, 1)
        driver.end(first)
        driver.end(second)
        sends = [send for n in range(3) for send in of(driver.ask(f"r{3 + n}"), io.Send)]
        assert [zones[send.scorer] == own for send in sends] == sorted(
            (zones[scorer] == own for scorer in (first.scorer, second.scorer, third)), reverse=True
        )


def test_a_stale_copy_of_the_own_zone_is_probed_briefly_before_a_call_crosses_zones():
    for answers in (True, False):
        # Scorer 1 is in the own zone.
        driver = Drive(workers=2, zones=("a", "b"), zone="b", slow_start_window_ms=1.0)
        driver.warm()
        driver.now += 1500
        driver.count(2, 1)
        driver.now += 10  # the far copy was just reported, the near one is stale
        driver.router.functions["f"].copies_by_scorer[1].copies = 1
        driver.router.functions["f"].copies_by_scorer[1].seen_ms = driver.now - 1500
        [probe] = driver.ask("r1")[:1]
        assert (probe.scorer, probe.copies) == (1, 0)
        assert not of(driver.log[-1:], io.Send)
        [send] = of(driver.count(1, 1) if answers else driver.sweep(driver.now + 40), io.Send)
        assert send.scorer == (1 if answers else 2)


def test_the_bound_is_wider_in_the_own_zone():
    for own, most in (("b", 16), ("c", 8)):  # 2.4 and 1.5 times the fair share
        driver = Drive(workers=6, zones=("a", "b"), zone=own)
        for fn, places in (("g", (2, 4, 6)), ("f", (1, 3))):
            driver.ask(f"first-{fn}", fn, lanes=64)
            for place in places:
                driver.count(place, 1, fn)
        for n in range(20):
            driver.ask(f"g{n}", "g", lanes=64)
        sends = [send.scorer for n in range(20) for send in of(driver.ask(f"f{n}", "f", lanes=64), io.Send)]
        assert next(n for n, scorer in enumerate(sends) if scorer != sends[0]) == most


def test_a_copy_about_to_expire_is_refreshed_a_few_times_and_not_in_a_shortage():
    for is_short in (False, True):
        driver = Drive(idle_lifetime_ms=10_000.0, load_window_ms=5000.0, free_loads=6.0)
        warm_scorer, last = driver.warm(), driver.now
        if is_short:
            driver.ask("queued", "g", budget=90_000.0)
        refreshes = []
        while driver.now < last + 60_000.0:
            driver.now += 1000.0
            for order in of(driver.feed(io.TimerDue(0)), io.OrderCopies):
                if order.function == "f":  # probes for the queued request get no answer
                    refreshes += [(order.scorer, order.copies)] * (order.copies > 0)
                    driver.count(order.scorer, 1)
        assert refreshes == ([] if is_short else [(warm_scorer, 1)] * 3)


def test_refreshes_leave_half_of_the_load_rate_limit_to_loads():
    driver = Drive(idle_lifetime_ms=10_000.0, load_window_ms=5000.0, free_loads=6.0)
    homes = {}
    for n in range(6):
        driver.now += 1000.0
        homes[f"f{n}"] = driver.warm(f"f{n}")
    for name, warm_scorer in homes.items():
        driver.count(warm_scorer, 1, name)
    last, orders = driver.now, 0
    while driver.now < last + 11_000.0:
        driver.now += 1000.0
        for order in of(driver.feed(io.TimerDue(0)), io.OrderCopies):
            orders += order.copies > 0
            driver.count(order.scorer, 1, order.function)
    assert orders == 3


def test_lanes_of_loads_in_progress_count_towards_the_demand():
    driver = Drive()
    driver.warm(lanes=2)
    driver.ask("r1", lanes=2)
    driver.ask("r2", lanes=2)
    loads = of(driver.ask("r3", lanes=2), io.OrderCopies)
    assert len(loads) == 1
    assert not of(driver.ask("r4", lanes=2), io.OrderCopies)
    assert len(of(driver.ask("r5", lanes=2), io.OrderCopies)) == 1


def test_speculative_loads_stop_if_a_copy_idles_longer_than_a_run_and_resume_if_waits_exceed_a_load():
    driver = Drive()
    warm_scorer = driver.warm(load_ms=200)
    [first] = of(driver.ask("r1"), io.Send)
    [load] = of(driver.ask("r2"), io.OrderCopies)
    driver.end(first)
    driver.now += 20
    driver.count(load.scorer, 1)
    driver.now += 150  # the speculative copy is idle for longer than the run time of 100 ms
    driver.router.scorers[load.scorer].entry.state = io.ScorerState.DRAINING  # so that it gets no call
    actions = driver.ask("r3")
    assert not [order for order in of(actions, io.OrderCopies) if order.copies]
    waited = driver.now
    load_orders = [h for h in of(driver.sweep(waited + 190), io.OrderCopies) if h.copies]
    assert not load_orders  # the load time is 200 ms
    driver.count(warm_scorer, 1)  # a sign that the scorer responds
    assert [h for h in of(driver.sweep(waited + 260), io.OrderCopies) if h.copies]


def test_the_number_of_functions_is_bounded_and_those_in_use_are_kept():
    driver = Drive()
    driver.warm("kept")
    [send] = of(driver.ask("r1", "kept"), io.Send)
    driver.ask("r2", "queued")
    for n in range(3 * MAX_FUNCTIONS):
        driver.now += 0.01
        for action in of(driver.ask(f"n{n}", f"f{n}"), io.OrderCopies):
            driver.count(action.scorer, 0, action.function, AttemptResult.FULL)
        driver.feed(io.RequestCancelled(f"n{n}"))
    assert len(driver.router.functions) <= MAX_FUNCTIONS
    assert {"kept", "queued"} <= driver.router.functions.keys()
    driver.end(send)


def test_scorers_long_gone_and_functions_not_called_are_forgotten():
    driver = Drive()
    _, warm_scorer = driver.warm("g"), driver.warm()
    [send] = of(driver.ask("r1"), io.Send)
    driver.feed(io.RosterChanged([io.ScorerEntry(warm_scorer, io.ScorerState.GONE)], complete=False))
    for _ in range(2):
        for _ in range(100):
            driver.now += 1000
            driver.feed(io.TimerDue(0))
        known = warm_scorer in driver.router.scorers
        assert known is bool(driver.router.attempts)  # it is kept while an attempt there is in flight
        if known:
            driver.end(send, AttemptResult.RESET)
    assert "g" not in driver.router.functions
    assert len(driver.router.scorers) == 3
    assert not [fn for fn in driver.router.functions.values() if warm_scorer in fn.copies_by_scorer]


def test_all_front_ends_choose_the_same_scorer_for_a_function():
    assert Drive().warm() == Drive().warm()


def test_a_miss_removes_the_assumed_copy_and_causes_a_load():
    driver = Drive()
    warm_scorer = driver.warm()
    [send] = of(driver.ask("r1"), io.Send)
    actions = driver.end(send, AttemptResult.MISS, closed=False)
    assert send.scorer == warm_scorer
    assert not of(actions, io.Send)
    assert [
        order.copies for order in of(actions + driver.sweep(driver.now + 40), io.OrderCopies) if order.copies
    ] == [1]


def test_a_copy_is_not_assumed_after_its_idle_lifetime():
    driver = Drive(idle_lifetime_ms=5000.0)
    driver.warm()
    driver.now += 5001
    assert len(of(driver.ask("r1"), io.OrderCopies)) > 1  # not only the previous one


def test_requests_beyond_the_in_flight_bound_go_to_another_scorer():
    driver = Drive(workers=4)
    warm_scorer = driver.warm(lanes=16)
    other = next(n for n in (1, 2, 3, 4) if n != warm_scorer)
    driver.count(other, 1)
    sends = [of(driver.ask(f"r{n}", lanes=16), io.Send)[0].scorer for n in range(6)]
    assert sends[0] == warm_scorer
    assert other in sends


# --- final answers -------------------------------------------------------------------------


def test_a_queued_request_gets_its_final_answer_before_the_client_leaves():
    driver = Drive(workers=0)
    driver.ask("r1", spec="short", budget=500.0)
    driver.sweep(600)
    finals = [(now, a) for now, a in driver.log if isinstance(a, io.Reject | io.Fail)]
    assert [a.request for _, a in finals] == ["r1"]
    assert 400 <= finals[0][0] <= 480


def test_a_late_request_that_was_never_sent_is_rejected_before_half_its_time_with_retry_after():
    driver = Drive(workers=0, max_retry_after_ms=900.0)
    driver.ask("r1", budget=2500.0)
    driver.sweep(2500)
    [(at, rejection)] = [(now, a) for now, a in driver.log if isinstance(a, io.Reject | io.Fail)]
    assert 600 < at < 1250
    assert rejection == io.Reject("r1", 900.0)


def test_a_request_that_can_meet_its_target_stays_queued_beyond_half_its_time():
    driver = Drive(workers=0)
    driver.ask("r1", spec="short", budget=700.0)
    assert not of(driver.sweep(490), io.Reject)
    assert of(driver.sweep(700), io.Reject)


def test_a_clients_retry_takes_no_quota_and_is_rejected_if_no_lane_is_free():
    driver = Drive(quotas_rps={"acme": 1.0}, max_retry_after_ms=900.0)
    warm_scorer = driver.warm()
    [send] = of(driver.ask("later", budget=450.0, tenant="acme"), io.Send)  # 0.18 of the deadline
    [rejection] = of(driver.ask("later too", budget=450.0, tenant="acme"), io.Reject)
    assert send.scorer == warm_scorer
    assert rejection == io.Reject("later too", 900.0)
    driver.ask("first", tenant="acme")  # the quota is unused, so it may wait
    assert not driver.router.requests["first"].over_quota
    assert "later too" not in driver.router.requests
    driver.ask("impatient", fn="g", budget=700.0)  # 0.28 of the deadline: a first try
    assert "impatient" in driver.router.requests
