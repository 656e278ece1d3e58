"""Slow start: what all front ends together may send a scorer that has just started, and what each may.

The probability that chance takes them past the bound is computed; then Routers with seeds of their own meet a
day of restarts and storms, and each window of each cold worker is looked at.
"""

import math

import pytest
from bench import Drive, of
from support.slow_start_world import FALL_MS, Fleet, Saturated, rule

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


def chance_of(parts, past):
    """The probability that the sum of floor(part + u) over independent draws reaches `past`, exactly."""
    whole, chances = sum(math.floor(part) for part in parts), [1.0]
    for part in parts:
        fraction, longer = part % 1.0, [0.0] * (len(chances) + 1)
        for count, chance in enumerate(chances):
            longer[count] += chance * (1 - fraction)
            longer[count + 1] += chance * fraction
        chances = longer
    return sum(chances[max(0, past - whole) :])


def spreads(mean, front_ends):
    """The same sum of parts spread evenly and unevenly over front ends."""
    yield [mean / front_ends] * front_ends
    for busy in {1, max(1, front_ends // 5), max(1, front_ends // 2)}:
        rest = front_ends - busy
        yield [mean / busy] * busy + [0.0] * rest
        if rest:
            yield [0.6 * mean / busy] * busy + [0.4 * mean / rest] * rest


@pytest.mark.parametrize("front_ends", [1, 2, 5, 30, 200])
def test_chance_takes_all_front_ends_past_the_bound_less_than_once_in_a_million(front_ends):
    for allowed in ALLOWED:
        past = math.floor(rule(allowed)) + 1
        mean = min(allowed, slow_start.safe_mean(slow_start.least_violation(allowed), front_ends))
        assert slow_start.least_violation(allowed) <= past
        for parts in spreads(mean, front_ends):
            assert chance_of(parts, past) <= slow_start.FAILURE_PROBABILITY, (allowed, mean)


def test_the_bound_is_the_rules_and_never_falls_as_n_grows():
    steps = [0.01 * n for n in range(6_000)]
    bounds = [slow_start.bound(allowed) for allowed in steps]
    assert bounds == sorted(bounds)
    assert all(found <= rule(allowed) for found, allowed in zip(bounds, steps, strict=True))


def test_few_front_ends_and_large_parts_lose_nothing_to_chance():
    for front_ends, allowed in ((1, 0.5), (2, 4.0), (2, 60.0), (5, 20.0), (30, 52.0), (200, 12_000.0)):
        past = slow_start.least_violation(allowed)
        assert slow_start.safe_mean(past, front_ends) >= allowed or allowed + front_ends <= past


def restarts(fleet, cold):
    """Scorers leave and come back in slow start, in a storm.

    Seven in ten front ends are killed at once, the others a tenth at a time; other scorers come back
    meanwhile.
    """
    fleet.start_all()
    fleet.run(2_500.0)
    for worker in cold:
        fleet.leave(worker)
    fleet.run(3_000.0)
    for worker in cold:
        fleet.begin(worker)
    fleet.run(4_700.0)
    front_ends = list(range(fleet.front_ends))
    killed = front_ends[: max(1, 7 * len(front_ends) // 10)]
    for n in killed:
        fleet.kill(n)
    fleet.run(4_900.0)
    for n in killed:
        fleet.start(n)
    late = max(cold) + 1
    fleet.leave(late)
    rest = front_ends[len(killed) :]
    tenth = max(1, len(front_ends) // 10)
    for step, first in enumerate(range(0, len(rest), tenth)):
        fleet.run(5_000.0 + 400.0 * step)
        for n in rest[first : first + tenth]:
            fleet.kill(n)
            fleet.start(n)
    fleet.begin(late)
    fleet.run(7_500.0)


@pytest.mark.parametrize(
    ("front_ends", "workers", "load"), [(2, 3, 1.2), (2, 3, 3.0), (30, 6, 1.5), (200, 6, 1.5)]
)
def test_no_window_holds_more_than_the_bound_on_a_day_of_restarts_and_storms(front_ends, workers, load):
    fleet = Fleet(front_ends, 1, workers=workers, load=load)
    restarts(fleet, range(1, workers // 2 + 1))
    windows, most = fleet.check()
    assert windows > 20
    assert most > 0.15


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(("front_ends", "swell"), [(2, 7), (30, 2), (200, 2)])
@pytest.mark.parametrize("quota", [0.95, 0.0])
def test_front_ends_that_all_use_their_whole_part_keep_the_bound(quota, front_ends, swell, seed):
    """Uneven traffic, arrivals that swell to eight times what is answered, and front ends that begin anew."""
    fleet = Saturated(front_ends, seed, quota, swell)
    fleet.traffic(3_000.0 if quota else 6_000.0)
    fleet.begin(range(1, 6))
    most = fleet.use(fleet.now + 3_000.0)
    assert most > 0
    fleet.restart(0.7)
    fleet.use(fleet.now + 2_500.0)
    fleet.restart(0.1)
    fleet.use(fleet.now + 1_500.0)


@pytest.mark.parametrize("front_ends", [2, 30, 200])
def test_a_fleet_that_starts_together_with_all_scorers_in_slow_start_serves(front_ends):
    """For `fall_ms` no front end knows what was sent before its start; then each uses its part."""
    fleet = Fleet(front_ends, 1, workers=6, load=1.0)
    for worker in fleet.entries:
        fleet.last_start[worker] = 0.0
        fleet.entries[worker] = io.ScorerEntry(worker, up_since_ms=0.0)
    fleet.now = 1.0
    fleet.start_all()
    fleet.run(FALL_MS)
    assert front_ends == 2 or not fleet.served
    fleet.run(3 * FALL_MS)
    assert fleet.served > 20
    fleet.check()


# --- one front end --------------------------------------------------------------------------------


def cold_drive(**settings):
    settings = {
        "slow_start_ms": 10_000.0,
        "slow_start_initial_share": 0.2,
        "slow_start_window_ms": 1_000.0,
        "slow_start_multiple": 2.0,
    } | settings
    d = Drive(settings.pop("workers", 2), loads_on_miss=True, **settings)
    d.now = 20_000.0
    return d


def tell_start(d, worker=1, up_since_ms=None):
    since = d.now if up_since_ms is None else up_since_ms
    return d.feed(io.RosterChanged([io.ScorerEntry(worker, up_since_ms=since)], complete=False))


def room(d, worker=1):
    """How many more may go there at this moment."""
    cold, before = d.router.scorers[worker], len(d.router.scorers[worker].slow_start_sends)
    while d.router._within_slow_start_limit(cold) and len(cold.slow_start_sends) < before + 999:
        cold.slow_start_sends.append(d.now)
    count = len(cold.slow_start_sends) - before
    for _ in range(count):
        cold.slow_start_sends.pop()
    return count


def sends_for(d, name, fn):
    """What is sent for a request; a copy stands wherever one is asked after."""
    actions = d.ask(name, fn)
    sends = of(actions, io.Send)
    for hold in of(actions, io.OrderCopies):
        sends += of(d.count(hold.scorer, max(1, hold.copies), fn), io.Send)
    return sends


def answer(d, count, span_ms=5_000.0):
    """So many calls are answered, spread over a time."""
    for n in range(count):
        d.now += span_ms / count
        name = f"a{d.now}-{n}"
        for send in sends_for(d, name, f"g{n}"):
            d.end(send)
        d.feed(io.RequestCancelled(name))


@pytest.mark.parametrize("fleet_size", [1, 2, 200])
@pytest.mark.parametrize("sold", [0.0, 40.0])
@pytest.mark.parametrize("workers", [1, 2])
@pytest.mark.parametrize(
    "odd",
    [
        {"slow_start_ms": 0.0}, {"slow_start_ms": 1.0}, {"slow_start_initial_share": 0.0},
        {"slow_start_initial_share": 1.0}, {"slow_start_multiple": 0.0}, {"slow_start_window_ms": 0.0},
        {"weights_fixed": True},
        {"slow_start_initial_share": 0.0, "slow_start_ms": 0.0, "slow_start_window_ms": 1.0},
    ],
)  # fmt: skip
def test_odd_settings_divide_by_nothing_and_keep_to_n(odd, workers, sold, fleet_size):
    d = cold_drive(workers=workers, fleet_size=fleet_size, quotas_rps={"t": sold} if sold else {}, **odd)
    for worker in range(1, workers + 1):
        entry = io.ScorerEntry(worker, units=0.0, up_since_ms=d.now)
        d.feed(io.RosterChanged([entry], complete=False))
    settings, capacity = d.router.settings, max(40.0, sold) / 1000.0 / workers
    for n in range(40):
        d.now += 25.0
        d.ask(f"r{n}", f"f{n}")
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
            assert room(d) <= rule(allowed)
        else:
            assert room(d) == 999  # it is warm, or there is no such rule


def test_nothing_goes_to_a_scorer_in_slow_start_before_a_former_incarnations_sends_have_left_the_window():
    d = Drive(2, loads_on_miss=True, quotas_rps={"t": 4_000.0}, slow_start_window_ms=1_000.0, fleet_size=200)
    d.router.began_ms = math.inf
    d.now = 5_000.0
    d.feed(io.TimerDue(0))  # its first event
    for worker in (1, 2):
        tell_start(d, worker, 4_000.0)
    answer(d, 300, 1_000.0)
    assert not room(d)
    assert not d.router.scorers[1].slow_start_sends
    d.now += slow_start.TRANSIT_MARGIN_MS + 1.0
    d.feed()
    assert room(d)


@pytest.mark.parametrize(("front_ends", "spare"), [(1, 8), (2, 3), (30, 0), (200, 0)])
def test_few_front_ends_use_what_the_bound_leaves_beside_what_former_lives_sent(front_ends, spare):
    d = Drive(
        1, loads_on_miss=True, quotas_rps={"t": 50.0}, slow_start_window_ms=1_000.0, fleet_size=front_ends
    )
    tell_start(d)  # N is 20: 16 more are within the bound
    allowed = 2.0 * 0.2 * 50.0
    assert room(d) == spare
    past = math.floor(rule(allowed)) + 1  # each floor exceeds its part by less than one
    assert allowed + front_ends * (1 + 2 * spare) <= past or not spare


def test_sends_that_crossed_the_news_of_a_start_count_and_earlier_ones_do_not():
    for up_since, counted in ((19_500.0, 5), (20_000.0, 0)):
        d = cold_drive(workers=1)
        d.now = 19_700.0
        answer(d, 5, 200.0)
        d.now = 20_000.0
        tell_start(d, 1, up_since)
        assert len(d.router.scorers[1].slow_start_sends) == counted


def test_a_second_start_forgets_sends_to_the_incarnation_before_it():
    d = cold_drive(workers=1, quotas_rps={"t": 50.0})
    answer(d, 100)
    d.now += 1.0
    tell_start(d, 1)
    answer(d, 1, 100.0)
    assert len(d.router.scorers[1].slow_start_sends) == 1
    d.now += 100.0
    tell_start(d, 1)
    assert not d.router.scorers[1].slow_start_sends
    tell_start(d, 1, d.now - 150.0)  # an older word changes nothing
    assert d.router.scorers[1].started_ms == d.now


def test_all_sends_of_the_window_count_where_a_scorer_came_back_without_copies_unreported():
    d = cold_drive(workers=1, quotas_rps={"t": 50.0})
    answer(d, 1, 10.0)
    d.now += 200.0
    d.router._suspect(d.router.scorers[1])
    d.count(1, 0, "g0")
    assert d.router._warmth(d.router.scorers[1]) < 1.0
    assert len(d.router.scorers[1].slow_start_sends) == 1


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
def test_each_send_counts_whatever_came_of_it_and_orders_do_not(ending):
    d = cold_drive(workers=1, quotas_rps={"t": 50.0})
    answer(d, 100)
    d.now += 1.0
    tell_start(d, 1)
    d.now += 1.0
    sends = sends_for(d, "r", "f")
    for attempt, send in enumerate(list(sends)):
        sends += of(d.end(send, ending, attempt=attempt, closed=False), io.Send)
    d.feed(io.PrefetchRequested(1, "h", "safe"))
    assert len(d.router.scorers[1].slow_start_sends) == len(sends) >= 1


def test_a_draining_scorer_still_counts_in_the_fleet_that_the_quotas_were_sold_for():
    d = cold_drive(workers=2, quotas_rps={"t": 50.0})
    entries = [
        io.ScorerEntry(1),
        io.ScorerEntry(2, ScorerState.DRAINING),
        io.ScorerEntry(3, up_since_ms=d.now),
    ]
    d.feed(io.RosterChanged(entries, complete=True))
    assert d.router.largest_listed_size == 3.0


def test_answers_of_many_front_ends_with_few_each_do_not_add_up_to_more_than_there_were():
    """Counted from the first of its samples on, one answer would be a rate of one a second."""
    d = cold_drive(fleet_size=200, quotas_rps={"t": 40.0})
    answer(d, 2, 200.0)
    assert d.router._answer_rate() == pytest.approx(2 / 10_000.0)
    answer(d, 100, 1_000.0)  # more than its samples hold
    assert d.router._answer_rate() == pytest.approx(0.1, rel=0.05)
