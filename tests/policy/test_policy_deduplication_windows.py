"""Retries with an idempotency key fall inside their window and group; an at-most-once request has none."""

import math

import pytest
from bench import Drive, of

from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult, DeduplicationGroup, Effect, ScorerState
from fawnwharf.policy.admission import WINDOW_MARGIN_MS

GIVE_UP_MS = 4_000.0


def drive(
    window_ms,
    group=DeduplicationGroup.ALL,
    effect=Effect.DEDUPLICATED,
    workers=4,
    deadline_ms=GIVE_UP_MS,
    zones=("a",),
):
    d = Drive(workers, zones)
    spec = io.ClassSpec("class", 1_000.0, deadline_ms, effect, group, window_ms)
    d.feed(io.ClassChanged(spec))
    return d


def first_send(d, name="r", budget=GIVE_UP_MS):
    """A copy stands at each worker that is asked, so that any of them may take it."""
    actions = d.ask(name, spec="class", budget=budget)
    for hold in of(actions, io.OrderCopies):
        actions = actions + d.count(hold.scorer, 1, hold.function)
    [send] = of(actions, io.Send)
    return send


def end(d, send, ending, attempt=0):
    """What is sent on it, once a sign that was asked for has come."""
    actions = d.end(send, ending, attempt=attempt, closed=False)
    for hold in of(actions, io.OrderCopies):
        actions = actions + d.count(hold.scorer, 1, hold.function)
    return of(actions, io.Send)


@pytest.mark.parametrize("window_ms", [1_500.0, 150.0, WINDOW_MARGIN_MS, 50.0, 0.0])
def test_a_retry_with_an_idempotency_key_may_be_written_only_for_what_is_left_of_the_window(window_ms):
    d = drive(window_ms)
    send = first_send(d)
    assert send.within_ms == math.inf
    d.now += 30.0
    again = end(d, send, AttemptResult.RESET)
    left = window_ms - WINDOW_MARGIN_MS - 30.0
    assert [repeat.within_ms for repeat in again] == ([left] if left > 0 else [])


@pytest.mark.parametrize("effect", [Effect.IDEMPOTENT, Effect.AT_MOST_ONCE, Effect.DEDUPLICATED])
@pytest.mark.parametrize(
    "ending", [AttemptResult.FULL, AttemptResult.MISS, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT]
)
def test_what_never_ran_is_sent_again_without_a_limit(effect, ending):
    d = drive(0.0, effect=effect)
    [again] = end(d, first_send(d), ending)
    assert again.within_ms == math.inf


@pytest.mark.parametrize(
    "ending", [AttemptResult.RESET, AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.CANCELLED]
)
def test_an_at_most_once_request_that_may_have_run_is_never_sent_again(ending):
    d = drive(1e9, effect=Effect.AT_MOST_ONCE)
    send = first_send(d)
    d.now += 5.0
    assert not end(d, send, ending)
    assert not of(d.sweep(GIVE_UP_MS), io.Send)


def test_the_window_counts_from_the_first_attempt_that_may_have_run():
    d = drive(1_500.0)
    send = first_send(d)
    d.now += 400.0
    [second] = end(d, send, AttemptResult.FULL)  # it never ran: nothing counts yet
    assert second.within_ms == math.inf
    d.now += 300.0
    [third] = end(d, second, AttemptResult.RESET, attempt=1)
    assert third.within_ms == 1_500.0 - WINDOW_MARGIN_MS - 300.0
    d.now += 300.0
    [fourth] = end(d, third, AttemptResult.NOT_SENT, attempt=2)
    assert fourth.within_ms == 1_500.0 - WINDOW_MARGIN_MS - 600.0


def held(d):
    """All workers rest for a moment, so that a repeat is held."""
    for worker in d.router.scorers.values():
        d.feed(io.RosterChanged([io.ScorerEntry(worker.id, ScorerState.DRAINING)], complete=False))


def back(d):
    return d.feed(io.RosterChanged(d.entries, complete=True))


@pytest.mark.parametrize(("wait_ms", "sent"), [(600.0, True), (720.0, False)])
def test_the_window_is_checked_when_a_queued_retry_is_sent_not_when_it_is_queued(wait_ms, sent):
    d = drive(800.0)
    send = first_send(d)
    held(d)
    d.now += 20.0
    assert not end(d, send, AttemptResult.RESET)
    d.now = wait_ms
    assert [s.within_ms for s in of(back(d), io.Send)] == [800.0 - WINDOW_MARGIN_MS - wait_ms] * sent


@pytest.mark.parametrize("way", ["suspect", "hasten", "lost"])
@pytest.mark.parametrize(
    ("effect", "window_ms"),
    [(Effect.AT_MOST_ONCE, 1e9), (Effect.DEDUPLICATED, 300.0), (Effect.DEDUPLICATED, 3e3)],
)
def test_retries_and_hedged_requests_keep_to_class_and_window(way, effect, window_ms):
    d = drive(window_ms, effect=effect)
    send = first_send(d)
    worker = d.router.scorers[send.scorer]
    d.now += 350.0
    d.router.now, d.router.actions = d.now, []
    attempt = d.router.attempts["r", 0]
    if way == "suspect":
        d.router._suspect(worker)
    elif way == "hasten":
        d.router.functions["f"].runs.timed.extend([(d.now, 10.0)] * 5)
        d.router._hedge(d.router.requests["r"], attempt)
        d.router._dispatch_all()
    else:
        d.router.functions["f"].runs.timed.extend([(d.now, 10.0)] * 5)
        d.router._record_loss(worker, attempt.function)
        d.router._record_loss(worker, attempt.function)
        d.router._mark_lost_attempts()
    sends = of(d.router.actions, io.Send)
    if effect is Effect.DEDUPLICATED and window_ms == 3e3:
        assert [s.within_ms for s in sends] == [window_ms - WINDOW_MARGIN_MS - 350.0]
    else:
        assert sends == []


@pytest.mark.parametrize("group", [DeduplicationGroup.ZONE, DeduplicationGroup.CELL])
def test_a_retry_stays_in_the_group_of_the_first_attempt_though_the_roster_moves_its_scorer(
    group,
):
    d = drive(3_000.0, group)

    def entry(worker, side):
        return io.ScorerEntry(worker, zone="ab"[side], cell=side)

    d.feed(io.RosterChanged([entry(n, n % 2) for n in range(1, 5)], complete=True))
    send = first_send(d)
    side = send.scorer % 2
    moved = [entry(send.scorer, 1 - side)]
    d.feed(io.RosterChanged(moved, complete=False))
    d.now += 10.0
    [again] = end(d, send, AttemptResult.RESET)
    assert again.scorer % 2 == side
    assert again.scorer != send.scorer


def test_a_request_outlives_the_scorer_of_its_first_attempt():
    """A class with ten minutes: its first worker is forgotten before there is a place for a repeat."""
    d = drive(600_000.0, DeduplicationGroup.ZONE, workers=2, deadline_ms=600_000.0)
    send = first_send(d, budget=600_000.0)
    d.now += 10.0
    gone = io.ScorerEntry(send.scorer, ScorerState.GONE, zone="a")
    other = io.ScorerEntry(3 - send.scorer, ScorerState.DRAINING, zone="a")
    d.feed(io.RosterChanged([gone, other], complete=False))
    assert not end(d, send, AttemptResult.RESET)
    while send.scorer in d.router.scorers:
        d.now += 5_000.0
        d.feed(io.TimerDue(0))
        assert d.now < 200_000.0
    actions = d.feed(io.RosterChanged([io.ScorerEntry(3 - send.scorer, zone="a")], complete=False))
    actions += d.sweep(d.now + 100.0)
    for hold in of(actions, io.OrderCopies):
        actions = actions + d.count(hold.scorer, 1, hold.function)
    [again] = of(actions, io.Send)
    assert again.scorer == 3 - send.scorer
