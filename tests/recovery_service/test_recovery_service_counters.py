"""The counters of a front end for its status report."""

from types import SimpleNamespace

from fawnwharf import interface as io
from fawnwharf.net.requests import Rejected, Succeeded
from fawnwharf.recovery_service import call_outcomes
from fawnwharf.recovery_service.call_outcomes import CallOutcomeRecorder
from fawnwharf.recovery_service.counters import REPORT_WINDOW_MS, FrontEndCounters
from fawnwharf.recovery_service.messages import CallCounts

WEIGHTS = {"view": 1.0, "save": 5.0}


def order(worker, copies=1, took_ms=100.0, ending=io.AttemptResult.GOOD, function="f"):
    return io.LoadOrderAnswered(worker, function, ending, copies, took_ms)


def attempt(worker, ending):
    return io.AttemptEnded("r", 1, worker, ending, 1.0, True)


def test_reports_cover_the_calls_of_the_last_second_by_class():
    counters = FrontEndCounters(WEIGHTS, 10_000.0)
    for at_ms, name, good in (
        (0, "save", False),
        (900, "save", True),
        (950, "view", False),
        (999, "view", True),
    ):
        counters.call_ended(at_ms, name, good)
    told = counters.report(1_000.0)
    assert (told.priority_calls, told.calls) == (CallCounts(1, 2), CallCounts(2, 4))
    told = counters.report(REPORT_WINDOW_MS + 500)
    assert (told.priority_calls, told.calls) == (CallCounts(1, 1), CallCounts(2, 3))
    assert counters.report(9_000.0).calls.share == 1.0  # no calls: none was served late


def test_slowdown_is_relative_to_stated_or_normal_load_times():
    counters = FrontEndCounters(WEIGHTS, 10_000.0)
    counters.event(0.0, order(1), 0.0)
    assert counters.report(1.0).loads == 0  # the normal duration is unknown
    counters.event(2.0, io.RequestArrived("r", "f", "view", "t", 1.0, load_ms=50.0), 0.0)
    counters.event(3.0, order(1, took_ms=1.0), 0.0)  # the copy existed before
    assert counters.report(3.0).loads == 0
    counters.event(4.0, order(2, took_ms=150.0), 0.0)
    assert (counters.report(5.0).loads, counters.report(5.0).slowdown) == (1, 3.0)
    counters.event(6.0, order(2, copies=0), 0.0)
    counters.event(7.0, order(2, took_ms=50.0), 0.0)  # the copy was lost and loaded again
    assert counters.report(8.0).slowdown == 2.0
    counters.normal_operation = True
    counters.event(5_000.0, order(3, function="g", took_ms=40.0), 0.0)
    assert counters.normal_load_ms == 40.0
    counters.normal_operation = False
    counters.event(5_001.0, order(4, function="g", took_ms=400.0), 0.0)
    assert counters.report(5_002.0).slowdown == 10.0 and counters.normal_load_ms == 40.0


def test_a_warming_scorer_that_had_answered_fails_once_and_others_do_not():
    counters = FrontEndCounters(WEIGHTS, 10_000.0)
    for worker, age_ms, seen in ((1, 500.0, True), (2, 500.0, False), (3, 20_000.0, True)):
        if seen:
            counters.event(0.0, attempt(worker, io.AttemptResult.GOOD), age_ms)
        for _ in range(5):
            counters.event(1.0, attempt(worker, io.AttemptResult.RESET), age_ms)
    assert counters.failed_scorers == 1 and counters.report(2.0).failed_scorers == 1
    counters.event(3.0, attempt(1, io.AttemptResult.GOOD), 900.0)
    for ending in (
        io.AttemptResult.RESET,
        io.AttemptResult.RESET,
        io.AttemptResult.GOOD,
        io.AttemptResult.RESET,
    ):
        counters.event(4.0, attempt(1, ending), 900.0)
    assert counters.failed_scorers == 1


class Below:
    def __init__(self):
        self.calls, self.left, self.at_once = {}, [], None

    def take(self, call):
        if self.at_once is not None:
            call.reply(self.at_once)
            return None
        self.calls[key := f"r{len(self.calls)}"] = call
        return key

    def withdraw(self, key):
        self.left.append(key)


def test_a_call_is_counted_once_by_its_end_and_its_client_has_its_answer(monkeypatch):
    now, told, answers = [0.0], [], []
    monkeypatch.setattr(call_outcomes, "monotonic_ms", lambda: now[0])
    below = Below()
    table = CallOutcomeRecorder(
        below, {"view": io.ClassSpec("view", latency_target_ms=100.0)}, lambda *end: told.append(end)
    )

    def call():
        return SimpleNamespace(class_name="view", reply=answers.append)

    keys = [table.take(call()) for _ in range(5)]
    below.calls["r0"].reply(Succeeded(b"x"))
    now[0] = 50.0
    table.withdraw(keys[1])  # within its latency target: not counted
    below.calls["r1"].reply(Rejected(1.0))
    now[0] = 150.0
    below.calls["r2"].reply(Succeeded(b"late"))
    below.calls["r3"].reply(Rejected(1.0))
    table.withdraw(keys[4])
    assert [good for _, _, good in told] == [True, False, False, False]
    assert below.left == ["r1", "r4"] and answers[0] == Succeeded(b"x") and len(answers) == 4
    below.at_once = Rejected(2.0)
    assert table.take(call()) is None and len(told) == 5 and not table._open
    table.counting, below.at_once = False, None
    key = table.take(call())
    below.calls[key].reply(Succeeded(b"y"))
    table.withdraw(key)
    assert key == "r5" and len(told) == 5 and below.left[-1] == "r5"
