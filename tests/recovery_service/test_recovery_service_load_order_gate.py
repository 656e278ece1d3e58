"""The decision module's own load orders, rejected by the gate until the recovery phase allows them."""

from dataclasses import replace

import pytest
from support.recovery_admission import CLASSES, WEIGHTS, AdmissionHarness

from fawnwharf import interface as io
from fawnwharf.net.scorer_streams import Answer
from fawnwharf.policy import Router
from fawnwharf.recovery_core.phases import RecoveryPhase, allowed_in_phase
from fawnwharf.recovery_service.actions import CopyAvailable
from fawnwharf.recovery_service.load_order_gate import LoadOrderGate

ANSWER = Answer(io.AttemptResult.GOOD, b"", io.Warmth.NOT_REPORTED, 0, 1)


class GateHarness:
    def __init__(self, own=()):
        self.out, self.asked, self.told, self.made, self.now = [], [], [], [], 5_000.0
        self.own, self.copy_scorers = set(own), {"f": 7}
        self.requests = {}
        self.order_gate = LoadOrderGate(
            self.out.append, self.asked.append, self.told.append, self.requests, lambda: self.now
        )

    def answered(self, now, event):
        return []

    def is_own(self, worker, function):
        return (worker, function) in self.own

    def place(self, function):
        return self.copy_scorers.get(function)

    def ordered(self, now, worker, function):
        self.made.append((worker, function))

    def apply_phase(self, stage):
        self.order_gate.apply(allowed_in_phase(stage, WEIGHTS), self)


def test_before_copy_refresh_the_modules_own_orders_are_not_sent_and_change_none_of_its_state():
    harness = GateHarness(own=[(7, "own")])
    harness.apply_phase(RecoveryPhase.ALL_CALLS)
    race, own, question = io.OrderCopies(8, "f", 2), io.OrderCopies(7, "own", 1), io.OrderCopies(9, "f", 0)
    for order in (race, own, question):
        harness.order_gate.carry(order)
    assert harness.out == [own, question] and harness.made == [(7, "own")]
    assert harness.told == [io.LoadOrderAnswered(8, "f", io.AttemptResult.NOT_SENT, 0, 0.0)]
    [asked] = harness.asked  # the scorer of the copy, queried once a second
    assert (asked.scorer, asked.function, asked.copies) == (7, "f", 0)
    harness.order_gate.carry(race)
    assert len(harness.asked) == 1
    asked.ended(asked, None, ANSWER)
    assert (harness.told[-1].scorer, harness.told[-1].copies) == (7, 1)
    for stage in (RecoveryPhase.COPY_REFRESH, RecoveryPhase.NORMAL):
        harness.apply_phase(stage)
        harness.order_gate.carry(race)
    assert harness.out[2:] == [race, race] and harness.order_gate.rejected == 2


@pytest.mark.parametrize("place", range(6))
def test_the_decision_module_sends_calls_to_a_coordinators_copy_that_it_did_not_order(place):
    site = io.Settings(classes=dict(CLASSES), quotas_rps={"t": 100.0}, tick_ms=1.0)
    router, harness, now = Router(site, 1), GateHarness(), 1_000.0
    entries = [io.ScorerEntry(n) for n in range(6)]
    events = [io.RosterChanged(entries, True), io.RequestArrived("r1", "f", "view", "t", 2_000.0)]
    harness.copy_scorers["f"] = place
    harness.apply_phase(RecoveryPhase.ALL_CALLS)
    sent = []
    for _ in range(8):
        for action in router.handle(now, events):
            if isinstance(action, io.OrderCopies):
                harness.order_gate.carry(action)
            elif isinstance(action, io.Send):
                sent.append((now, action.scorer))
        events, harness.told[:] = [*harness.told], []
        for order in harness.out:  # queries of the module itself
            assert order.copies == 0
            copies = int(order.scorer == place)
            events.append(io.LoadOrderAnswered(order.scorer, "f", io.AttemptResult.GOOD, copies, 1.0))
        for order in harness.asked:
            order.ended(order, None, ANSWER)
        harness.out.clear(), harness.asked.clear()
        now += 2.0
    assert [worker for _, worker in sent] == [place] and sent[0][0] <= 1_010.0


def test_only_a_few_rejections_a_second_are_returned_to_the_module_at_once():
    site = io.Settings(classes=dict(CLASSES), quotas_rps={"t": 1e4}, tick_ms=1.0)
    router, harness = Router(site, 1), GateHarness()
    harness.apply_phase(RecoveryPhase.ALL_CALLS)
    calls = [io.RequestArrived(f"r{n}", "f", "view", "t", 60_000.0) for n in range(3)]
    events = [io.RosterChanged([io.ScorerEntry(n) for n in range(100)], True), *calls]
    held = []
    while harness.now < 8_000.0:
        for action in router.handle(harness.now, events):
            if isinstance(action, io.OrderCopies):
                harness.order_gate.carry(action)
        harness.order_gate.events(harness.now, events)
        none = [io.LoadOrderAnswered(o.scorer, "f", io.AttemptResult.GOOD, 0, 1.0) for o in harness.out]
        events, harness.told[:] = [*harness.told, *none, io.TimerDue(0)], []
        harness.out.clear()
        harness.now += 5.0
        held.append(harness.order_gate.rejected)
    assert 3 <= held[199] <= 8 < held[-1] <= 24  # it continues to try some each second
    harness.apply_phase(RecoveryPhase.COPY_REFRESH)
    assert harness.told and not harness.order_gate._delayed


def test_a_call_without_a_copy_reports_the_copy_as_lost():
    harness, lost = GateHarness(), []
    harness.copy_lost = lambda function, worker: lost.append((function, worker))
    harness.answered = lambda now, event: [event]
    harness.apply_phase(RecoveryPhase.ALL_CALLS)
    harness.requests["r1"] = type("Open", (), {"call": type("Of", (), {"function": "f"})})
    miss = io.AttemptEnded("r1", 0, 7, io.AttemptResult.MISS, 1.0, False)
    good, other = replace(miss, result=io.AttemptResult.GOOD), replace(miss, request="r2")
    answer = io.LoadOrderAnswered(7, "g", io.AttemptResult.GOOD, 1, 1.0)
    assert harness.order_gate.events(1.0, [miss, good, other, answer]) == [answer] and lost == [("f", 7)]


def test_call_outcomes_are_reported_since_the_last_report_and_not_in_normal_operation():
    harness = AdmissionHarness(RecoveryPhase.PRIORITY_CALLS)
    assert harness.admission.take_recent_counts() == {}
    harness.issuer.copy_scorers["f"] = 7
    harness.ask("view")  # its class is not admitted in this phase
    harness.ask("settle")
    harness.issuer.etas["g"] = 5_000.0
    harness.ask("settle", function="g")
    harness.issuer.etas["h"] = 300.0
    harness.ask("settle", function="h")
    told = harness.admission.take_recent_counts()
    assert told == {"rejected: class": 1, "admitted": 1, "rejected: copy": 1, "waiting": 1}
    harness.issuer.copy_scorers["h"] = 7
    harness.admission.notify(CopyAvailable("h"))
    assert (
        harness.admission.take_recent_counts() == {"admitted after a wait": 1, "waiting": 1}
        and harness.admission.take_recent_counts() == {}
    )
    harness.apply_phase(RecoveryPhase.NORMAL)
    harness.ask("view")
    assert harness.admission.take_recent_counts() == {}
