"""Retries with an idempotency key keep to their window and group; at-most-once requests get none."""

import math

import pytest
from bench import Drive, of

from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult, DeduplicationGroup, Effect, ScorerState
from fawnwharf.policy.admission import WINDOW_MARGIN_MS

DEADLINE_MS = 4_000.0


def driver_of_class(
    window_ms,
    group=DeduplicationGroup.ALL,
    effect=Effect.DEDUPLICATED,
    workers=4,
    deadline_ms=DEADLINE_MS,
    zones=("a",),
):
    driver = Drive(workers, zones)
    spec = io.ClassSpec("class", 1_000.0, deadline_ms, effect, group, window_ms)
    driver.feed(io.ClassChanged(spec))
    return driver


def first_send(driver, name="r", budget=DEADLINE_MS):
    """Send a request while every probed scorer has a copy; returns the send."""
    actions = driver.ask(name, spec="class", budget=budget)
    for order in of(actions, io.OrderCopies):
        actions = actions + driver.count(order.scorer, 1, order.function)
    [send] = of(actions, io.Send)
    return send


def end(driver, send, result, attempt=0):
    """End an attempt and answer the probes that follow; returns the sends."""
    actions = driver.end(send, result, attempt=attempt, closed=False)
    for order in of(actions, io.OrderCopies):
        actions = actions + driver.count(order.scorer, 1, order.function)
    return of(actions, io.Send)


@pytest.mark.parametrize("window_ms", [1_500.0, 150.0, WINDOW_MARGIN_MS, 50.0, 0.0])
def test_a_retry_with_an_idempotency_key_may_be_written_only_for_what_is_left_of_the_window(window_ms):
    driver = driver_of_class(window_ms)
    send = first_send(driver)
    assert send.within_ms == math.inf
    driver.now += 30.0
    retry = end(driver, send, AttemptResult.RESET)
    left = window_ms - WINDOW_MARGIN_MS - 30.0
    assert [repeat.within_ms for repeat in retry] == ([left] if left > 0 else [])


@pytest.mark.parametrize("effect", [Effect.IDEMPOTENT, Effect.AT_MOST_ONCE, Effect.DEDUPLICATED])
@pytest.mark.parametrize(
    "result", [AttemptResult.FULL, AttemptResult.MISS, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT]
)
def test_a_request_that_did_not_run_is_retried_without_a_time_limit(effect, result):
    driver = driver_of_class(0.0, effect=effect)
    [retry] = end(driver, first_send(driver), result)
    assert retry.within_ms == math.inf


@pytest.mark.parametrize(
    "result", [AttemptResult.RESET, AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.CANCELLED]
)
def test_an_at_most_once_request_that_may_have_run_is_never_sent_again(result):
    driver = driver_of_class(1e9, effect=Effect.AT_MOST_ONCE)
    send = first_send(driver)
    driver.now += 5.0
    assert not end(driver, send, result)
    assert not of(driver.sweep(DEADLINE_MS), io.Send)


def test_the_window_counts_from_the_first_attempt_that_may_have_run():
    driver = driver_of_class(1_500.0)
    send = first_send(driver)
    driver.now += 400.0
    [second] = end(driver, send, AttemptResult.FULL)  # it did not run: the window has not begun
    assert second.within_ms == math.inf
    driver.now += 300.0
    [third] = end(driver, second, AttemptResult.RESET, attempt=1)
    assert third.within_ms == 1_500.0 - WINDOW_MARGIN_MS - 300.0
    driver.now += 300.0
    [fourth] = end(driver, third, AttemptResult.NOT_SENT, attempt=2)
    assert fourth.within_ms == 1_500.0 - WINDOW_MARGIN_MS - 600.0


def drain_all(driver):
    """Drain all scorers, so that a retry is queued."""
    for scorer in driver.router.scorers.values():
        driver.feed(io.RosterChanged([io.ScorerEntry(scorer.id, ScorerState.DRAINING)], complete=False))


def restore_all(driver):
    return driver.feed(io.RosterChanged(driver.entries, complete=True))


@pytest.mark.parametrize(("wait_ms", "sent"), [(600.0, True), (720.0, False)])
def test_the_window_is_checked_when_a_queued_retry_is_sent_not_when_it_is_queued(wait_ms, sent):
    driver = driver_of_class(800.0)
    send = first_send(driver)
    drain_all(driver)
    driver.now += 20.0
    assert not end(driver, send, AttemptResult.RESET)
    driver.now = wait_ms
    assert [s.within_ms for s in of(restore_all(driver), io.Send)] == [
        800.0 - WINDOW_MARGIN_MS - wait_ms
    ] * sent


@pytest.mark.parametrize("cause", ["suspect", "hedge", "lost"])
@pytest.mark.parametrize(
    ("effect", "window_ms"),
    [(Effect.AT_MOST_ONCE, 1e9), (Effect.DEDUPLICATED, 300.0), (Effect.DEDUPLICATED, 3e3)],
)
def test_retries_and_hedged_requests_keep_to_class_and_window(cause, effect, window_ms):
    driver = driver_of_class(window_ms, effect=effect)
    send = first_send(driver)
    scorer = driver.router.scorers[send.scorer]
    driver.now += 350.0
    driver.router.now, driver.router.actions = driver.now, []
    attempt = driver.router.attempts["r", 0]
    if cause == "suspect":
        driver.router._suspect(scorer)
    elif cause == "hedge":
        driver.router.functions["f"].run_times.timed_values.extend([(driver.now, 10.0)] * 5)
        driver.router._hedge(driver.router.requests["r"], attempt)
        driver.router._dispatch_all()
    else:
        driver.router.functions["f"].run_times.timed_values.extend([(driver.now, 10.0)] * 5)
        driver.router._record_loss(scorer, attempt.function)
        driver.router._record_loss(scorer, attempt.function)
        driver.router._mark_lost_attempts()
    sends = of(driver.router.actions, io.Send)
    if effect is Effect.DEDUPLICATED and window_ms == 3e3:
        assert [s.within_ms for s in sends] == [window_ms - WINDOW_MARGIN_MS - 350.0]
    else:
        assert sends == []


@pytest.mark.parametrize("group", [DeduplicationGroup.ZONE, DeduplicationGroup.CELL])
def test_a_retry_stays_in_the_group_of_the_first_attempt_though_the_roster_moves_its_scorer(
    group,
):
    driver = driver_of_class(3_000.0, group)

    def entry(scorer, side):
        return io.ScorerEntry(scorer, zone="ab"[side], cell=side)

    driver.feed(io.RosterChanged([entry(n, n % 2) for n in range(1, 5)], complete=True))
    send = first_send(driver)
    side = send.scorer % 2
    moved = [entry(send.scorer, 1 - side)]
    driver.feed(io.RosterChanged(moved, complete=False))
    driver.now += 10.0
    [retry] = end(driver, send, AttemptResult.RESET)
    assert retry.scorer % 2 == side
    assert retry.scorer != send.scorer


def test_a_request_outlives_the_scorer_of_its_first_attempt():
    """The class allows ten minutes, so the first scorer is forgotten before a retry is possible."""
    driver = driver_of_class(600_000.0, DeduplicationGroup.ZONE, workers=2, deadline_ms=600_000.0)
    send = first_send(driver, budget=600_000.0)
    driver.now += 10.0
    gone = io.ScorerEntry(send.scorer, ScorerState.GONE, zone="a")
    other = io.ScorerEntry(3 - send.scorer, ScorerState.DRAINING, zone="a")
    driver.feed(io.RosterChanged([gone, other], complete=False))
    assert not end(driver, send, AttemptResult.RESET)
    while send.scorer in driver.router.scorers:
        driver.now += 5_000.0
        driver.feed(io.TimerDue(0))
        assert driver.now < 200_000.0
    actions = driver.feed(io.RosterChanged([io.ScorerEntry(3 - send.scorer, zone="a")], complete=False))
    actions += driver.sweep(driver.now + 100.0)
    for order in of(actions, io.OrderCopies):
        actions = actions + driver.count(order.scorer, 1, order.function)
    [retry] = of(actions, io.Send)
    assert retry.scorer == 3 - send.scorer
