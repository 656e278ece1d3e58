"""Many front ends: decisions that each makes alone must be right for all of them together."""

import sys
from collections import Counter

from bench import Drive, of

from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult

QUOTAS = {"t": 100.0}


def front_end_drivers(size, **settings):
    """Drivers of front ends that differ only in their seeds."""
    return [
        Drive(workers=20, seed=seed * 7919 + 5, fleet_size=size, quotas_rps=QUOTAS, **settings)
        for seed in range(size)
    ]


def answer_with_copies(driver, actions):
    """Answer probes and load orders as if every function were loaded; returns the sends that follow."""
    sends = of(actions, io.Send)
    for order in of(actions, io.OrderCopies):
        sends += answer_with_copies(driver, driver.count(order.scorer, 1, order.function))
    return sends


def test_a_busy_function_is_spread_by_front_ends_that_each_see_few_of_its_calls():
    drivers = front_end_drivers(100)
    scorers = Counter()
    for turn in range(5):
        for driver in drivers:
            driver.now += 1000.0
            for send in answer_with_copies(driver, driver.ask(f"r{turn}", lanes=2, tenant="t")):
                scorers[send.scorer] += turn == 4
                driver.now += 100.0
                driver.end(send, crowd=3)
    assert sum(scorers.values()) == 100
    assert len(scorers) >= 10
    assert scorers.most_common(1)[0][1] <= 30


def test_a_rarely_called_function_has_the_same_scorer_at_all_front_ends():
    scorers = {
        answer_with_copies(driver, driver.ask("r", lanes=2, tenant="t"))[0].scorer
        for driver in front_end_drivers(50)
    }
    assert len(scorers) == 1


def test_front_ends_together_keep_a_scorers_slow_start_limit():
    drivers = front_end_drivers(
        100,
        slow_start_ms=10_000.0,
        slow_start_initial_share=0.2,
        slow_start_window_ms=1000.0,
        slow_start_multiple=2.0,
    )
    sent = []
    for driver in drivers:
        driver.now = 20_000.0
        driver.feed(io.RosterChanged([io.ScorerEntry(n, up_since_ms=20_000.0) for n in range(1, 21)], False))
        for n in range(10):
            driver.now += 100.0
            sent += [
                (driver.now, s.scorer) for s in answer_with_copies(driver, driver.ask(f"r{n}", tenant="t"))
            ]
    # Each of 100 front ends may send one or two requests per second: at most about 100 per scorer.
    largest_count = Counter(scorer for _, scorer in sent).most_common(1)[0][1]
    rate = 100 * 10 / 20  # requests per second and scorer, as far as the arrivals show
    assert 0 < largest_count <= 2.0 * 0.28 * rate


def test_a_scorer_without_capacity_is_avoided_for_some_time():
    driver = front_end_drivers(100)[0]
    [send] = answer_with_copies(driver, driver.ask("first", tenant="t"))
    warm_scorer = send.scorer
    driver.end(send)
    driver.now += 60_000.0  # so rarely called that one scorer is enough
    [send] = answer_with_copies(driver, driver.ask("full", tenant="t"))
    assert send.scorer == warm_scorer
    retries = answer_with_copies(driver, driver.end(send, AttemptResult.FULL, closed=False))
    retries += answer_with_copies(driver, driver.sweep(driver.now + 200))
    assert [(a.request, a.scorer != warm_scorer) for a in retries] == [("full", True)]
    driver.end(retries[0], attempt=1)
    driver.now += 700.0
    sends = answer_with_copies(driver, driver.ask("next", tenant="t"))
    sends += answer_with_copies(driver, driver.sweep(driver.now + 200))
    assert sends
    assert sends[0].scorer != warm_scorer


def sends_without_answer(spec, budget):
    driver = Drive(workers=4, zones=("a", "b"), fleet_size=100)
    driver.ask("r1", spec=spec, budget=budget)
    for scorer in (1, 2, 3, 4):
        driver.count(scorer, 1)
    [send] = [action for _, action in driver.log if isinstance(action, io.Send)]
    for _ in range(50):  # the scorer still answers probes
        driver.sweep(driver.now + 40)
        driver.count(send.scorer, 1)
    sends = [(now, action) for now, action in driver.log if isinstance(action, io.Send)]
    return send, sends


def test_a_lost_answer_of_a_responding_scorer_causes_a_hedged_request_in_time():
    _send, sends = sends_without_answer("safe", 2500.0)
    assert len(sends) > 1
    assert sends[1][0] <= 700.0
    assert len({action.scorer for _, action in sends}) == len(sends)


def test_a_hedged_request_with_an_idempotency_key_stays_in_its_group():
    send, sends = sends_without_answer("keyed", 4000.0)
    assert len(sends) == 2
    assert sends[1][1].scorer % 2 == send.scorer % 2


def test_no_hedged_request_for_an_at_most_once_request():
    _, sends = sends_without_answer("unsafe", 4000.0)
    assert len(sends) == 1


def test_hedged_requests_are_few_when_all_scorers_are_slow():
    driver = Drive(workers=8, fleet_size=100)
    for n in range(100):
        driver.ask(f"r{n}", fn=f"f{n}")
        for scorer in range(1, 9):
            driver.count(scorer, 1, f"f{n}")
    for _ in range(20):
        driver.sweep(driver.now + 40)
    sends = Counter(action.request for _, action in driver.log if isinstance(action, io.Send))
    assert len(sends) == 100
    assert sum(count > 1 for count in sends.values()) <= 13


def test_attempts_in_flight_past_the_latency_target_do_not_count_towards_the_limit():
    driver = front_end_drivers(100)[0]
    limit = driver.router.attempt_limit
    for n in range(12):
        answer_with_copies(driver, driver.ask(f"r{n}", fn=f"f{n}", tenant="t"))
    recent = len(driver.router.recent_attempts)
    assert recent <= limit + 1 < 12
    driver.sweep(driver.now + 1200)
    assert not any(driver.now - a.sent_ms > 1100 for a in driver.router.recent_attempts)


def function_calls(workers):
    """The Python function calls for some requests and sweeps, once the scorers and the function are known."""
    driver = Drive(workers=workers, fleet_size=100, quotas_rps={"t": 5.0 * workers})
    count = 0

    def watch(_frame, event, _argument):
        nonlocal count
        count += event in ("call", "c_call")

    def serve(n):
        driver.now += 500.0
        for send in answer_with_copies(driver, driver.ask(f"r{n}", lanes=2, tenant="t")):
            driver.now += 100.0
            driver.end(send)
        driver.sweep(driver.now + 200)

    serve(0)
    # Without the sums over all scorers, which are computed once a second and not for each event.
    driver.router.refreshed_ms = driver.now + 1e9
    sys.setprofile(watch)
    for n in range(1, 20):
        serve(n)
    sys.setprofile(None)
    return count


def test_an_event_costs_about_the_same_with_ten_times_as_many_scorers():
    small, large = function_calls(100), function_calls(1000)
    assert large < 1.5 * small
