"""Events in one batch that concern the same request, and classes with deadlines from 0 ms to ten minutes."""

import itertools

import pytest
import test_policy_replay as replay
from bench import Drive, of

from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult, Effect

MIXED = {
    "none": io.ClassSpec("none", 0.0, 0.0, Effect.IDEMPOTENT),
    "tiny": io.ClassSpec("tiny", 0.0, 40.0, Effect.IDEMPOTENT),
    "brief": io.ClassSpec("brief", 100.0, 150.0, Effect.DEDUPLICATED, io.DeduplicationGroup.ZONE, 120.0),
    "usual": io.ClassSpec("usual", 800.0, 2_500.0, Effect.AT_MOST_ONCE),
    "long": io.ClassSpec("long", 20_000.0, 30_000.0, Effect.DEDUPLICATED, io.DeduplicationGroup.CELL, 50.0),
    "ages": io.ClassSpec("ages", 300_000.0, 600_000.0, Effect.IDEMPOTENT),
}


def driver_with_queued_request():
    """A driver with a request in flight and a queued one; returns it with the send of the first."""
    driver = Drive(2)
    driver.warm()
    sends = of(driver.ask("out"), io.Send)
    assert [send.request for send in sends] == ["out"]
    driver.ask("queued")
    driver.now += 50.0
    return driver, sends[0]


@pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
@pytest.mark.parametrize(
    "ending", [AttemptResult.FULL, AttemptResult.RESET, AttemptResult.CONNECT_FAILED, AttemptResult.GOOD]
)
def test_nothing_is_sent_or_ordered_for_cancelled_requests_in_any_order_of_the_batch(order, ending):
    driver, send = driver_with_queued_request()
    ended = io.AttemptEnded("out", 0, send.scorer, ending, 50.0, ending is AttemptResult.GOOD)
    events = [ended, io.TimerDue(0), io.RequestCancelled("out"), io.RequestCancelled("queued")]
    actions = driver.feed(*[events[n] for n in order], events[3])
    loads = [copy_order for copy_order in of(actions, io.OrderCopies) if copy_order.copies]
    assert not of(actions, io.Send)
    assert not loads
    assert not of(actions, io.Reject)
    assert not of(actions, io.Fail)
    assert not driver.router.requests
    assert not of(driver.sweep(driver.now + 3_000.0), io.Send)


def test_a_request_that_arrives_and_is_cancelled_in_one_batch_causes_no_action():
    driver = Drive(2)
    driver.warm()
    arrived = io.RequestArrived("r", "f", "safe", "", 2_500.0, load_ms=500.0)
    actions = driver.feed(arrived, io.RequestCancelled("r"))
    assert not of(actions, io.Send)
    assert not of(actions, io.OrderCopies)
    assert not driver.router.requests


def test_a_request_that_is_due_and_cancelled_in_the_same_batch_gets_no_final_answer():
    driver, _ = driver_with_queued_request()
    driver.now = 2_700.0
    actions = driver.feed(io.TimerDue(0), io.RequestCancelled("out"))
    assert [type(action) for action in actions if getattr(action, "request", "") == "out"] == [io.Cancel]


@pytest.mark.parametrize("budget", [40.0, 100.0, 150.0])
def test_a_class_with_a_deadline_of_a_few_sweeps_is_served(budget):
    driver = Drive(2)
    driver.feed(io.ClassChanged(io.ClassSpec("tiny", budget / 2, budget, Effect.IDEMPOTENT)))
    driver.warm()
    actions = driver.ask("r", spec="tiny", budget=budget)
    [send] = of(actions, io.Send)
    [timer] = [action for action in of(actions, io.SetTimer) if action.token]
    assert 0.7 * budget <= timer.delay_ms < budget
    driver.now += 0.5 * budget
    assert not of(driver.feed(io.TimerDue(0)), io.Reject)  # a sweep before the answer is due
    driver.now += timer.delay_ms - 0.5 * budget
    assert [type(a) for a in driver.feed(io.TimerDue(timer.token))] == [io.Cancel, io.Reject]
    assert not driver.end(send, AttemptResult.CANCELLED, closed=False)


@pytest.mark.parametrize(
    "settings",
    [
        {},
        {"quotas_rps": {"t0": 0.0}},
        {"quotas_rps": {"t0": 50.0, "t1": 20.0}, "fleet_size": 60, "loads_on_miss": True},
        {"load_window_ms": 1_000.0, "free_loads": 2.0, "slow_start_ms": 0.0, "slow_start_window_ms": 0.0},
        {
            "slow_start_initial_share": 0.0,
            "slow_start_multiple": 0.0,
            "weights_fixed": True,
            "max_retry_after_ms": 100.0,
        },
    ],
)
@pytest.mark.parametrize("workers", [1, 6])
def test_classes_with_very_different_deadlines_get_their_answers_in_time(monkeypatch, settings, workers):
    monkeypatch.setattr(replay, "CLASSES", MIXED | {"safe": MIXED["usual"]})
    monkeypatch.setattr(replay, "CLASS_NAMES", [*MIXED, "unheard of"])
    world = {"workers": workers, "zones": 2, "functions": 14, "rps": 20.0, "roster_share": 0.02}
    monkeypatch.setitem(replay.SETTINGS, "mixed", (world, {"max_attempts": 3, **settings}))
    late_requests = []

    class World(replay.World):
        def leave(self, request):
            if request in self.router.requests and self.now >= self.router.requests[request].deadline_ms:
                late_requests.append((request, self.now))
            super().leave(request)

    World("mixed").run(2_500)
    assert late_requests == []


@pytest.mark.parametrize("fleet_size", [1, 60])
@pytest.mark.parametrize("quotas", [{}, {"t": 10.0}])
def test_without_a_class_or_a_scorer_each_request_gets_its_answer(fleet_size, quotas):
    router = io.Settings(fleet_size=fleet_size, quotas_rps=quotas)
    driver = Drive(1)
    driver.router = type(driver.router)(router, 1)
    driver.feed(io.RosterChanged([], complete=True))
    driver.ask("r", spec="unheard of", budget=500.0)
    answers = of(driver.sweep(500.0), io.Reject)
    assert [answer.request for answer in answers] == ["r"]
