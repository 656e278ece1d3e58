"""Slow start: the limits on requests to a scorer that has just started, for all front ends and for each one.

The probability that all front ends exceed the limit by chance is computed exactly. Then Routers with
different seeds run through restarts and bursts, and each window of each scorer in slow start is checked.
"""

import math

import pytest
from bench import Drive, of
from support.slow_start_world import SLOW_START_WINDOW_MS, Fleet, SaturatedFrontEnds, rule

from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult, ScorerState
from fawnwharf.policy import slow_start

ALLOWED = (
    0.0,
    0.05,
    0.3,
    0.6,
    1.0,
    2.0,
    4.0,
    9.0,
    15.0,
    21.0,
    26.0,
    29.9,
    30.0,
    40.0,
    52.0,
    75.0,
    100.0,
    150.0,
)


def probability_of(parts, violation):
    """The exact probability that the sum of floor(share + u) over independent draws reaches `violation`."""
    whole, chances = sum(math.floor(part) for part in parts), [1.0]
    for part in parts:
        fraction, longer = part % 1.0, [0.0] * (len(chances) + 1)
        for count, chance in enumerate(chances):
            longer[count] += chance * (1 - fraction)
            longer[count + 1] += chance * fraction
        chances = longer
    return sum(chances[max(0, violation - whole) :])


def share_distributions(mean, front_ends):
    """Shares with the sum `mean`, distributed evenly and unevenly over front ends."""
    yield [mean / front_ends] * front_ends
    for busy in {1, max(1, front_ends // 5), max(1, front_ends // 2)}:
        rest = front_ends - busy
        yield [mean / busy] * busy + [0.0] * rest
        if rest:
            yield [0.6 * mean / busy] * busy + [0.4 * mean / rest] * rest


@pytest.mark.parametrize("front_ends", [1, 2, 5, 30, 200])
def test_all_front_ends_exceed_the_limit_by_chance_less_than_once_in_a_million(front_ends):
    for allowed in ALLOWED:
        violation = math.floor(rule(allowed)) + 1
        mean = min(allowed, slow_start.safe_mean(slow_start.least_violation(allowed), front_ends))
        assert slow_start.least_violation(allowed) <= violation
        for parts in share_distributions(mean, front_ends):
            assert probability_of(parts, violation) <= slow_start.FAILURE_PROBABILITY, (allowed, mean)


def test_the_limit_for_all_follows_its_formula_and_never_decreases_as_n_grows():
    steps = [0.01 * n for n in range(6_000)]
    bounds = [slow_start.bound(allowed) for allowed in steps]
    assert bounds == sorted(bounds)
    assert all(found <= rule(allowed) for found, allowed in zip(bounds, steps, strict=True))


def test_few_front_ends_and_large_shares_may_use_all_of_n():
    for front_ends, allowed in ((1, 0.5), (2, 4.0), (2, 60.0), (5, 20.0), (30, 52.0), (200, 12_000.0)):
        violation = slow_start.least_violation(allowed)
        assert slow_start.safe_mean(violation, front_ends) >= allowed or allowed + front_ends <= violation


def run_restarts(fleet, restarted):
    """Restart scorers and front ends.

    Seven in ten front ends are killed at once, the others a tenth at a time; other scorers restart in the
    meantime.
    """
    fleet.start_all_front_ends()
    fleet.run(2_500.0)
    for scorer in restarted:
        fleet.remove_scorer(scorer)
    fleet.run(3_000.0)
    for scorer in restarted:
        fleet.begin_slow_start(scorer)
    fleet.run(4_700.0)
    front_ends = list(range(fleet.front_ends))
    killed = front_ends[: max(1, 7 * len(front_ends) // 10)]
    for n in killed:
        fleet.kill_front_end(n)
    fleet.run(4_900.0)
    for n in killed:
        fleet.start_front_end(n)
    late = max(restarted) + 1
    fleet.remove_scorer(late)
    rest = front_ends[len(killed) :]
    tenth = max(1, len(front_ends) // 10)
    for step, first in enumerate(range(0, len(rest), tenth)):
        fleet.run(5_000.0 + 400.0 * step)
        for n in rest[first : first + tenth]:
            fleet.kill_front_end(n)
            fleet.start_front_end(n)
    fleet.begin_slow_start(late)
    fleet.run(7_500.0)


@pytest.mark.parametrize(
    ("front_ends", "workers", "load"), [(2, 3, 1.2), (2, 3, 3.0), (30, 6, 1.5), (200, 6, 1.5)]
)
def test_no_window_exceeds_the_limit_for_all_during_restarts_and_bursts(front_ends, workers, load):
    fleet = Fleet(front_ends, 1, workers=workers, load=load)
    run_restarts(fleet, range(1, workers // 2 + 1))
    windows, most = fleet.check()
    assert windows > 20
    assert most > 0.15


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(("front_ends", "unanswered_per_call"), [(2, 7), (30, 2), (200, 2)])
@pytest.mark.parametrize("quota", [0.95, 0.0])
def test_front_ends_that_all_use_their_whole_share_keep_the_limit_for_all(
    quota, front_ends, unanswered_per_call, seed
):
    """Uneven traffic, up to eight times as many arrivals as answers, and front ends that restart."""
    fleet = SaturatedFrontEnds(front_ends, seed, quota, unanswered_per_call)
    fleet.run_traffic(3_000.0 if quota else 6_000.0)
    fleet.begin_slow_start(range(1, 6))
    most = fleet.send_all_allowed(fleet.now + 3_000.0)
    assert most > 0
    fleet.restart(0.7)
    fleet.send_all_allowed(fleet.now + 2_500.0)
    fleet.restart(0.1)
    fleet.send_all_allowed(fleet.now + 1_500.0)


@pytest.mark.parametrize("front_ends", [2, 30, 200])
def test_front_ends_that_start_together_with_all_scorers_in_slow_start_serve(front_ends):
    """For one window no front end knows what was sent before its start; then each uses its share."""
    fleet = Fleet(front_ends, 1, workers=6, load=1.0)
    for scorer in fleet.entries:
        fleet.last_start[scorer] = 0.0
        fleet.entries[scorer] = io.ScorerEntry(scorer, up_since_ms=0.0)
    fleet.now = 1.0
    fleet.start_all_front_ends()
    fleet.run(SLOW_START_WINDOW_MS)
    assert front_ends == 2 or not fleet.answered
    fleet.run(3 * SLOW_START_WINDOW_MS)
    assert fleet.answered > 20
    fleet.check()


# --- one front end --------------------------------------------------------------------------------


def slow_start_driver(**settings):
    settings = {
        "slow_start_ms": 10_000.0,
        "slow_start_initial_share": 0.2,
        "slow_start_window_ms": 1_000.0,
        "slow_start_multiple": 2.0,
    } | settings
    driver = Drive(settings.pop("workers", 2), loads_on_miss=True, **settings)
    driver.now = 20_000.0
    return driver


def report_start(driver, scorer=1, up_since_ms=None):
    since = driver.now if up_since_ms is None else up_since_ms
    return driver.feed(io.RosterChanged([io.ScorerEntry(scorer, up_since_ms=since)], complete=False))


def remaining_sends(driver, scorer=1):
    """The number of requests that may be sent to a scorer now."""
    starting, before = driver.router.scorers[scorer], len(driver.router.scorers[scorer].slow_start_sends)
    while driver.router._within_slow_start_limit(starting) and len(starting.slow_start_sends) < before + 999:
        starting.slow_start_sends.append(driver.now)
    count = len(starting.slow_start_sends) - before
    for _ in range(count):
        starting.slow_start_sends.pop()
    return count


def sends_for(driver, name, fn):
    """Send a request while every probed scorer has a copy; returns the sends."""
    actions = driver.ask(name, fn)
    sends = of(actions, io.Send)
    for order in of(actions, io.OrderCopies):
        sends += of(driver.count(order.scorer, max(1, order.copies), fn), io.Send)
    return sends


def answer_calls(driver, count, span_ms=5_000.0):
    """Send and answer `count` calls, spread over `span_ms`."""
    for n in range(count):
        driver.now += span_ms / count
        name = f"a{driver.now}-{n}"
        for send in sends_for(driver, name, f"g{n}"):
            driver.end(send)
        driver.feed(io.RequestCancelled(name))


@pytest.mark.parametrize("fleet_size", [1, 2, 200])
@pytest.mark.parametrize("total_quota", [0.0, 40.0])
@pytest.mark.parametrize("workers", [1, 2])
@pytest.mark.parametrize(
    "unusual",
    [
        {"slow_start_ms": 0.0}, {"slow_start_ms": 1.0}, {"slow_start_initial_share": 0.0},
        {"slow_start_initial_share": 1.0}, {"slow_start_multiple": 0.0}, {"slow_start_window_ms": 0.0},
        {"weights_fixed": True},
        {"slow_start_initial_share": 0.0, "slow_start_ms": 0.0, "slow_start_window_ms": 1.0},
    ],
)  # fmt: skip
def test_unusual_settings_keep_the_limit_and_never_divide_by_zero(unusual, workers, total_quota, fleet_size):
    driver = slow_start_driver(
        workers=workers,
        fleet_size=fleet_size,
        quotas_rps={"t": total_quota} if total_quota else {},
        **unusual,
    )
    for scorer in range(1, workers + 1):
        entry = io.ScorerEntry(scorer, units=0.0, up_since_ms=driver.now)
        driver.feed(io.RosterChanged([entry], complete=False))
    settings, capacity = driver.router.settings, max(40.0, total_quota) / 1000.0 / workers
    for n in range(40):
        driver.now += 25.0
        driver.ask(f"r{n}", f"f{n}")
        share = min(
            1.0,
            settings.slow_start_initial_share
            + (1 - settings.slow_start_initial_share) * 25.0 * (n + 1) / 10_000.0,
        )
        if (
            settings.slow_start_ms > 1
            and settings.slow_start_initial_share < 1
            and settings.slow_start_window_ms > 0
        ):
            allowed = settings.slow_start_multiple * share * settings.slow_start_window_ms * capacity
            assert remaining_sends(driver) <= rule(allowed)
        else:
            assert remaining_sends(driver) == 999  # there is no slow start or no limit


def test_no_sends_in_slow_start_until_sends_of_a_previous_incarnation_left_the_window():
    driver = Drive(
        2, loads_on_miss=True, quotas_rps={"t": 4_000.0}, slow_start_window_ms=1_000.0, fleet_size=200
    )
    driver.router.first_event_ms = math.inf
    driver.now = 5_000.0
    driver.feed(io.TimerDue(0))  # the first event of the router
    for scorer in (1, 2):
        report_start(driver, scorer, 4_000.0)
    answer_calls(driver, 300, 1_000.0)
    assert not remaining_sends(driver)
    assert not driver.router.scorers[1].slow_start_sends
    driver.now += slow_start.TRANSIT_MARGIN_MS + 1.0
    driver.feed()
    assert remaining_sends(driver)


@pytest.mark.parametrize(("front_ends", "expected"), [(1, 8), (2, 3), (30, 0), (200, 0)])
def test_few_front_ends_use_what_the_limit_leaves_besides_previous_incarnations(front_ends, expected):
    driver = Drive(
        1, loads_on_miss=True, quotas_rps={"t": 50.0}, slow_start_window_ms=1_000.0, fleet_size=front_ends
    )
    report_start(driver)  # N is 20; the limit for all is 16 more
    allowed = 2.0 * 0.2 * 50.0
    assert remaining_sends(driver) == expected
    violation = math.floor(rule(allowed)) + 1  # each limit exceeds its share by less than one
    assert allowed + front_ends * (1 + 2 * expected) <= violation or not expected


def test_sends_between_a_start_and_its_report_count_and_earlier_ones_do_not():
    for up_since, counted in ((19_500.0, 5), (20_000.0, 0)):
        driver = slow_start_driver(workers=1)
        driver.now = 19_700.0
        answer_calls(driver, 5, 200.0)
        driver.now = 20_000.0
        report_start(driver, 1, up_since)
        assert len(driver.router.scorers[1].slow_start_sends) == counted


def test_a_second_start_drops_the_sends_to_the_previous_incarnation():
    driver = slow_start_driver(workers=1, quotas_rps={"t": 50.0})
    answer_calls(driver, 100)
    driver.now += 1.0
    report_start(driver, 1)
    answer_calls(driver, 1, 100.0)
    assert len(driver.router.scorers[1].slow_start_sends) == 1
    driver.now += 100.0
    report_start(driver, 1)
    assert not driver.router.scorers[1].slow_start_sends
    report_start(driver, 1, driver.now - 150.0)  # an older start changes nothing
    assert driver.router.scorers[1].started_ms == driver.now


def test_all_sends_of_the_window_count_after_an_unreported_restart():
    driver = slow_start_driver(workers=1, quotas_rps={"t": 50.0})
    answer_calls(driver, 1, 10.0)
    driver.now += 200.0
    driver.router._suspect(driver.router.scorers[1])
    driver.count(1, 0, "g0")
    assert driver.router._capacity_share(driver.router.scorers[1]) < 1.0
    assert len(driver.router.scorers[1].slow_start_sends) == 1


@pytest.mark.parametrize(
    "ending",
    [
        AttemptResult.FULL,
        AttemptResult.MISS,
        AttemptResult.RESET,
        AttemptResult.CANCELLED,
        AttemptResult.NOT_SENT,
    ],
)
def test_each_send_counts_whatever_its_result_and_load_orders_do_not(ending):
    driver = slow_start_driver(workers=1, quotas_rps={"t": 50.0})
    answer_calls(driver, 100)
    driver.now += 1.0
    report_start(driver, 1)
    driver.now += 1.0
    sends = sends_for(driver, "r", "f")
    for attempt, send in enumerate(list(sends)):
        sends += of(driver.end(send, ending, attempt=attempt, closed=False), io.Send)
    driver.feed(io.PrefetchRequested(1, "h", "safe"))
    assert len(driver.router.scorers[1].slow_start_sends) == len(sends) >= 1


def test_a_draining_scorer_still_counts_in_the_largest_listed_size():
    driver = slow_start_driver(workers=2, quotas_rps={"t": 50.0})
    entries = [
        io.ScorerEntry(1),
        io.ScorerEntry(2, ScorerState.DRAINING),
        io.ScorerEntry(3, up_since_ms=driver.now),
    ]
    driver.feed(io.RosterChanged(entries, complete=True))
    assert driver.router.largest_listed_size == 3.0


def test_answer_rates_of_many_front_ends_with_few_answers_each_do_not_add_up_to_too_much():
    """If it were counted from the first sample on, a single answer would be a rate of one per second."""
    driver = slow_start_driver(fleet_size=200, quotas_rps={"t": 40.0})
    answer_calls(driver, 2, 200.0)
    assert driver.router._answer_rate() == pytest.approx(2 / 10_000.0)
    answer_calls(driver, 100, 1_000.0)  # more than the samples can hold
    assert driver.router._answer_rate() == pytest.approx(0.1, rel=0.05)
