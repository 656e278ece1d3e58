"""Many front ends: what each does alone has to add up."""

import sys
from collections import Counter

from bench import Drive, of

from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult

SOLD = {"t": 100.0}


def fleet(size, **settings):
    """Front ends that differ in their seeds only."""
    return [
        Drive(workers=20, seed=seed * 7919 + 5, fleet_size=size, quotas_rps=SOLD, **settings)
        for seed in range(size)
    ]


def standing(drive, actions):
    """Carry out questions and orders where copies of everything stand; the sends that follow."""
    sends = of(actions, io.Send)
    for hold in of(actions, io.OrderCopies):
        sends += standing(drive, drive.count(hold.scorer, 1, hold.function))
    return sends


def test_a_hot_function_is_spread_by_front_ends_that_see_a_part_each():
    drives = fleet(100)
    homes = Counter()
    for turn in range(5):
        for drive in drives:
            drive.now += 1000.0
            for send in standing(drive, drive.ask(f"r{turn}", lanes=2, tenant="t")):
                homes[send.scorer] += turn == 4
                drive.now += 100.0
                drive.end(send, crowd=3)
    assert sum(homes.values()) == 100
    assert len(homes) >= 10
    assert homes.most_common(1)[0][1] <= 30


def test_a_rare_function_keeps_one_home_at_all_front_ends():
    homes = {standing(drive, drive.ask("r", lanes=2, tenant="t"))[0].scorer for drive in fleet(50)}
    assert len(homes) == 1


def test_front_ends_together_keep_a_scorers_slow_start_limit():
    drives = fleet(
        100,
        slow_start_ms=10_000.0,
        slow_start_initial_share=0.2,
        slow_start_window_ms=1000.0,
        slow_start_multiple=2.0,
    )
    sent = []
    for drive in drives:
        drive.now = 20_000.0
        drive.feed(io.RosterChanged([io.ScorerEntry(n, up_since_ms=20_000.0) for n in range(1, 21)], False))
        for n in range(10):
            drive.now += 100.0
            sent += [(drive.now, s.scorer) for s in standing(drive, drive.ask(f"r{n}", tenant="t"))]
    # 100 front ends with one or two requests a second each: some 100 a worker and second at the most
    most = Counter(worker for _, worker in sent).most_common(1)[0][1]
    rate = 100 * 10 / 20  # requests a worker can be held to do in the second, by what arrives
    assert 0 < most <= 2.0 * 0.28 * rate


def test_a_scorer_without_capacity_is_passed_over_for_a_while():
    drive = fleet(100)[0]
    [send] = standing(drive, drive.ask("first", tenant="t"))
    home = send.scorer
    drive.end(send)
    drive.now += 60_000.0  # so rare that one worker is enough
    [send] = standing(drive, drive.ask("full", tenant="t"))
    assert send.scorer == home
    again = standing(drive, drive.end(send, AttemptResult.FULL, closed=False))
    again += standing(drive, drive.sweep(drive.now + 200))
    assert [(a.request, a.scorer != home) for a in again] == [("full", True)]
    drive.end(again[0], attempt=1)
    drive.now += 700.0
    sends = standing(drive, drive.ask("next", tenant="t"))
    sends += standing(drive, drive.sweep(drive.now + 200))
    assert sends
    assert sends[0].scorer != home


def overdue(spec, budget):
    d = Drive(workers=4, zones=("a", "b"), fleet_size=100)
    d.ask("r1", spec=spec, budget=budget)
    for worker in (1, 2, 3, 4):
        d.count(worker, 1)
    [send] = [action for _, action in d.log if isinstance(action, io.Send)]
    for _ in range(50):  # the worker goes on answering all else
        d.sweep(d.now + 40)
        d.count(send.scorer, 1)
    sends = [(now, action) for now, action in d.log if isinstance(action, io.Send)]
    return send, sends


def test_a_lost_answer_of_a_responding_scorer_brings_a_hedged_request_in_time():
    _send, sends = overdue("safe", 2500.0)
    assert len(sends) > 1
    assert sends[1][0] <= 700.0
    assert len({action.scorer for _, action in sends}) == len(sends)


def test_a_hedged_request_with_an_idempotency_key_stays_in_its_group():
    send, sends = overdue("keyed", 4000.0)
    assert len(sends) == 2
    assert sends[1][1].scorer % 2 == send.scorer % 2


def test_no_hedged_request_for_an_at_most_once_request():
    _, sends = overdue("unsafe", 4000.0)
    assert len(sends) == 1


def test_hedged_requests_are_few_when_all_is_slow():
    d = Drive(workers=8, fleet_size=100)
    for n in range(100):
        d.ask(f"r{n}", fn=f"f{n}")
        for worker in range(1, 9):
            d.count(worker, 1, f"f{n}")
    for _ in range(20):
        d.sweep(d.now + 40)
    sends = Counter(action.request for _, action in d.log if isinstance(action, io.Send))
    assert len(sends) == 100
    assert sum(count > 1 for count in sends.values()) <= 13


def test_attempts_out_past_the_promise_leave_the_own_limit():
    drive = fleet(100)[0]
    limit = drive.router.limit
    for n in range(12):
        standing(drive, drive.ask(f"r{n}", fn=f"f{n}", tenant="t"))
    held = len(drive.router.recent_attempts)
    assert held <= limit + 1 < 12
    drive.sweep(drive.now + 1200)
    assert not any(drive.now - a.sent_ms > 1100 for a in drive.router.recent_attempts)


def steps(workers):
    """Calls made while a front end serves and sweeps, once it knows the workers and the function."""
    d = Drive(workers=workers, fleet_size=100, quotas_rps={"t": 5.0 * workers})
    count = 0

    def watch(_frame, event, _argument):
        nonlocal count
        count += event in ("call", "c_call")

    def serve(n):
        d.now += 500.0
        for send in standing(d, d.ask(f"r{n}", lanes=2, tenant="t")):
            d.now += 100.0
            d.end(send)
        d.sweep(d.now + 200)

    serve(0)
    d.router.refreshed_ms = d.now + 1e9  # the sums over the fleet are taken once a second, not by event
    sys.setprofile(watch)
    for n in range(1, 20):
        serve(n)
    sys.setprofile(None)
    return count


def test_an_event_costs_about_the_same_in_a_fleet_ten_times_as_large():
    small, large = steps(100), steps(1000)
    assert large < 1.5 * small
