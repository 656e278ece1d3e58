"""The decision module's own load orders, held back by the phase of a recovery."""

from dataclasses import replace

import pytest
from support.recovery_admission import CLASSES, WORTHS, Ground

from fawnwharf import interface as io
from fawnwharf.net.scorer_streams import Answer
from fawnwharf.policy import Router
from fawnwharf.recovery_core.phases import RecoveryPhase, allowed_in_phase
from fawnwharf.recovery_service.actions import CopyAvailable
from fawnwharf.recovery_service.load_order_gate import LoadOrderGate

ANSWER = Answer(io.AttemptResult.GOOD, b"", io.Warmth.UNTOLD, 0, 1)


class Holding:
    def __init__(self, own=()):
        self.out, self.asked, self.told, self.made, self.now = [], [], [], [], 5_000.0
        self.own, self.places = set(own), {"f": 7}
        self.requests = {}
        self.order_gate = LoadOrderGate(
            self.out.append, self.asked.append, self.told.append, self.requests, lambda: self.now
        )

    def answered(self, now, event):
        return []

    def is_own(self, worker, function):
        return (worker, function) in self.own

    def place(self, function):
        return self.places.get(function)

    def ordered(self, now, worker, function):
        self.made.append((worker, function))

    def go_by(self, stage):
        self.order_gate.apply(allowed_in_phase(stage, WORTHS), self)


def test_before_renewal_the_decision_modules_own_orders_do_not_go_out_and_change_nothing_it_believes():
    ground = Holding(own=[(7, "own")])
    ground.go_by(RecoveryPhase.ALL_CALLS)
    race, own, question = io.OrderCopies(8, "f", 2), io.OrderCopies(7, "own", 1), io.OrderCopies(9, "f", 0)
    for order in (race, own, question):
        ground.order_gate.carry(order)
    assert ground.out == [own, question] and ground.made == [(7, "own")]
    assert ground.told == [io.LoadOrderAnswered(8, "f", io.AttemptResult.NOT_SENT, 0, 0.0)]
    [asked] = ground.asked  # where its copy stands, once a second
    assert (asked.scorer, asked.function, asked.copies) == (7, "f", 0)
    ground.order_gate.carry(race)
    assert len(ground.asked) == 1
    asked.ended(asked, None, ANSWER)
    assert (ground.told[-1].scorer, ground.told[-1].copies) == (7, 1)
    for stage in (RecoveryPhase.COPY_REFRESH, RecoveryPhase.NORMAL):
        ground.go_by(stage)
        ground.order_gate.carry(race)
    assert ground.out[2:] == [race, race] and ground.order_gate.rejected == 2


@pytest.mark.parametrize("place", range(6))
def test_the_decision_module_sends_where_the_load_coordinators_copy_stands_though_it_ordered_nothing(place):
    site = io.Settings(classes=dict(CLASSES), quotas_rps={"t": 100.0}, tick_ms=1.0)
    router, ground, now = Router(site, 1), Holding(), 1_000.0
    entries = [io.ScorerEntry(n) for n in range(6)]
    events = [io.RosterChanged(entries, True), io.RequestArrived("r1", "f", "view", "t", 2_000.0)]
    ground.places["f"] = place
    ground.go_by(RecoveryPhase.ALL_CALLS)
    sent = []
    for _ in range(8):
        for action in router.handle(now, events):
            if isinstance(action, io.OrderCopies):
                ground.order_gate.carry(action)
            elif isinstance(action, io.Send):
                sent.append((now, action.scorer))
        events, ground.told[:] = [*ground.told], []
        for order in ground.out:  # questions of the module's own
            assert order.copies == 0
            copies = int(order.scorer == place)
            events.append(io.LoadOrderAnswered(order.scorer, "f", io.AttemptResult.GOOD, copies, 1.0))
        for order in ground.asked:
            order.ended(order, None, ANSWER)
        ground.out.clear(), ground.asked.clear()
        now += 2.0
    assert [worker for _, worker in sent] == [place] and sent[0][0] <= 1_010.0


def test_a_decision_module_that_tries_all_scorers_for_calls_that_wait_learns_of_a_few_at_once():
    site = io.Settings(classes=dict(CLASSES), quotas_rps={"t": 1e4}, tick_ms=1.0)
    router, ground = Router(site, 1), Holding()
    ground.go_by(RecoveryPhase.ALL_CALLS)
    calls = [io.RequestArrived(f"r{n}", "f", "view", "t", 60_000.0) for n in range(3)]
    events = [io.RosterChanged([io.ScorerEntry(n) for n in range(100)], True), *calls]
    held = []
    while ground.now < 8_000.0:
        for action in router.handle(ground.now, events):
            if isinstance(action, io.OrderCopies):
                ground.order_gate.carry(action)
        ground.order_gate.events(ground.now, events)
        none = [io.LoadOrderAnswered(o.scorer, "f", io.AttemptResult.GOOD, 0, 1.0) for o in ground.out]
        events, ground.told[:] = [*ground.told, *none, io.TimerDue(0)], []
        ground.out.clear()
        ground.now += 5.0
        held.append(ground.order_gate.rejected)
    assert 3 <= held[199] <= 8 < held[-1] <= 24  # it goes on trying, some a second
    ground.go_by(RecoveryPhase.COPY_REFRESH)
    assert ground.told and not ground.order_gate._delayed


def test_a_call_that_found_no_copy_tells_that_it_is_gone():
    ground, lost = Holding(), []
    ground.copy_lost = lambda function, worker: lost.append((function, worker))
    ground.answered = lambda now, event: [event]
    ground.go_by(RecoveryPhase.ALL_CALLS)
    ground.requests["r1"] = type("Open", (), {"call": type("Of", (), {"function": "f"})})
    miss = io.AttemptEnded("r1", 0, 7, io.AttemptResult.MISS, 1.0, False)
    good, other = replace(miss, result=io.AttemptResult.GOOD), replace(miss, request="r2")
    answer = io.LoadOrderAnswered(7, "g", io.AttemptResult.GOOD, 1, 1.0)
    assert ground.order_gate.events(1.0, [miss, good, other, answer]) == [answer] and lost == [("f", 7)]


def test_what_became_of_calls_is_reported_by_cause_since_the_last_report_and_not_in_calm():
    ground = Ground(RecoveryPhase.PRIORITY_CALLS)
    assert ground.admission.take_recent_counts() == {}
    ground.issuer.places["f"] = 7
    ground.ask("view")  # not its stage
    ground.ask("settle")
    ground.issuer.etas["g"] = 5_000.0
    ground.ask("settle", function="g")
    ground.issuer.etas["h"] = 300.0
    ground.ask("settle", function="h")
    told = ground.admission.take_recent_counts()
    assert told == {"rejected: class": 1, "admitted": 1, "rejected: copy": 1, "waiting": 1}
    ground.issuer.places["h"] = 7
    ground.admission.notify(CopyAvailable("h"))
    assert (
        ground.admission.take_recent_counts() == {"admitted after a wait": 1, "waiting": 1}
        and ground.admission.take_recent_counts() == {}
    )
    ground.go_by(RecoveryPhase.NORMAL)
    ground.ask("view")
    assert ground.admission.take_recent_counts() == {}
