"""The door before the gate: one final answer each, advice that is honest, classes, repeats, tickets."""

import base64
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.recovery_admission import CLASSES, LIMITS, WORTHS, Ground

from fawnwharf.net.requests import Call, Failed, Rejected, Succeeded
from fawnwharf.recovery_core.phases import AllowedActions, RecoveryPhase
from fawnwharf.recovery_service.actions import CopyAvailable, SlowStartPermit
from fawnwharf.recovery_service.claim_status import StoredClaims
from fawnwharf.recovery_service.recovery_admission import WAIT_FRACTION
from fawnwharf.replication import settings as s
from fawnwharf.replication.claim_gate import ClaimGate, call_key
from fawnwharf.replication.claims import Claim, ClaimPhase
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.testbed.promises import fleet_file


def test_in_calm_all_is_passed_on_as_it_comes():
    ground = Ground(RecoveryPhase.NORMAL, rate_ps=0.0)
    key, got = ground.ask()
    assert key == "r1" and got == [] and ground.issuer.wanted == []
    ground.admission.withdraw(key)
    assert ground.withdrawn == ["r1"] and not ground.admission.busy


@pytest.mark.parametrize(
    "stage, passed",
    [
        (RecoveryPhase.LISTENING, []),
        (RecoveryPhase.RETRIES, []),
        (RecoveryPhase.PRIORITY_CALLS, ["settle"]),
        (RecoveryPhase.ALL_CALLS, [*CLASSES]),
    ],
)
def test_classes_are_taken_by_their_phase_and_the_rest_is_rejected_at_once(stage, passed):
    ground = Ground(stage)
    ground.issuer.places["f"] = 7
    for class_name in CLASSES:
        key, got = ground.ask(class_name)
        assert (key is not None) == (class_name in passed) == (got == [])
        if got:
            assert isinstance(got[0], Rejected) and 1_000.0 <= got[0].hold_off_ms <= LIMITS.retry_most_ms
    assert [call.class_name for call in ground.calls.values()] == passed


def test_a_call_without_a_copy_is_requested_and_rejected_with_no_time_before_the_eta():
    ground = Ground()
    for eta_ms in (700.0, 1_500.0, 3_000.0):
        ground.issuer.etas["f"] = eta_ms
        advice = [ground.ask()[1][0].hold_off_ms for _ in range(20)]
        assert eta_ms <= min(advice) and max(advice) <= 1.25 * eta_ms + 1.0 and len(set(advice)) == 20
    assert [function for function, *_ in ground.issuer.wanted] == ["f"] * 60 and ground.issuer.wanted[-1][
        1
    ] > 1.0
    ground.issuer.etas["f"] = 9_000.0  # clients take no such advice
    assert 2_000.0 <= ground.ask()[1][0].hold_off_ms <= 4_000.0


def test_where_clients_take_no_advice_none_is_given():
    ground = Ground(limits=replace(LIMITS, retry_most_ms=0.0))
    ground.issuer.etas["f"] = 2_000.0
    assert ground.ask() == (None, [Rejected(0.0)])


def test_a_call_whose_copy_comes_within_its_promise_is_held_till_then_and_not_longer():
    ground = Ground()
    ground.issuer.etas["f"] = 300.0
    key, got = ground.ask()
    late_key, late = ground.ask(function="g")
    assert key and ground.calls == {} and ground.admission.busy
    ground.pass_by(250.0)
    ground.issuer.places["f"] = 7
    ground.admission.notify(CopyAvailable("f"))
    [call] = ground.calls.values()
    assert call.budget_ms == pytest.approx(1_750.0)
    call.reply(Succeeded(b"x"))
    assert got == [Succeeded(b"x")]
    ground.issuer.etas["g"] = 800.0  # it takes longer than was said
    ground.pass_by(WAIT_FRACTION * 1_000.0 - 250.0 - 8.0)
    assert late == []
    ground.pass_by(16.0)
    assert late[0].hold_off_ms >= 800.0 and not ground.admission.busy
    ground.admission.notify(CopyAvailable("g"))
    ground.admission.withdraw(late_key)  # it crossed the answer: nothing is left to withdraw here
    assert len(ground.calls) == 1


def test_a_short_budget_is_not_held_beyond():
    ground = Ground()
    assert isinstance(ground.ask(budget_ms=350.0)[1][0], Rejected)
    assert ground.ask(budget_ms=450.0)[0]


def test_beyond_the_rate_each_gets_a_turn_of_its_own_and_the_priority_classes_keep_a_share():
    ground = Ground(rate_ps=20.0)  # a burst of ten
    ground.issuer.places["f"] = 7
    views = [ground.ask("view") for _ in range(12)]
    settles = [ground.ask("settle") for _ in range(12)]
    let = [sum(key is not None for key, _ in asked) for asked in (views, settles)]
    assert sum(let) == 10 and 2 <= let[1] <= 4
    waits = [got[0].hold_off_ms for _, got in views + settles if got]
    assert min(waits) >= 50.0 and max(waits) <= (24 - 10 + 1) * 50.0 and len(set(waits)) == len(waits)


def test_a_call_to_a_warming_scorer_goes_by_its_permit():
    ground = Ground()
    ground.issuer.places.update(f=7, g=8)
    ground.issuer.free = {7: None, 8: 200.0}
    key, got = ground.ask()
    assert ground.issuer.asked == [key] and ground.calls == {}
    other, left = ground.ask()
    ground.admission.withdraw(other)
    assert ground.issuer.asked == [key]
    ground.admission.notify(SlowStartPermit(other, 0.0))
    assert ground.calls == {}
    ground.admission.notify(SlowStartPermit(key, 0.0))
    assert len(ground.calls) == 1
    ground.admission.withdraw(key)
    ground.calls["r1"].reply(Succeeded(b"crossed"))
    assert ground.withdrawn == ["r1"] and got == left == []
    turn, got = ground.ask(function="g")  # not before a turn: it asks again then
    ground.pass_by(150.0)
    assert len(ground.calls) == 1
    ground.issuer.free[8] = 0.0
    ground.pass_by(60.0)
    assert len(ground.calls) == 2 and got == []
    ground.issuer.free[8] = 900.0
    assert ground.ask(function="g")[1][0].hold_off_ms >= 900.0


def test_calm_and_renewal_let_go_what_is_held_and_a_step_back_rejects_what_is_not_taken():
    for stage, passed in (
        (RecoveryPhase.NORMAL, 1),
        (RecoveryPhase.COPY_REFRESH, 1),
        (RecoveryPhase.PRIORITY_CALLS, 0),
    ):
        ground = Ground()
        _, got = ground.ask("view")
        ground.go_by(stage)
        assert len(ground.calls) == passed and len(got) == 1 - passed


def test_an_answer_that_makes_a_client_leave_takes_its_other_held_calls_along():
    ground = Ground()
    ground.ask()
    other, left = ground.ask()
    ground.at_once = True
    held = ground.admission._waiting
    held[next(iter(held))].reply = lambda outcome: ground.admission.withdraw(other)
    ground.go_by(RecoveryPhase.NORMAL)
    assert len(ground.passed) == 1 and left == [] and not ground.admission.busy


def test_alone_only_what_stays_right_if_all_others_serve_too():
    class Asks:
        is_repeat = staticmethod(lambda call: False)
        requires_grant = staticmethod(lambda name: True)

    may = AllowedActions(status=True, classes=frozenset(WORTHS), loads=True, part=0.3, alone=True)
    for promises, passed in ((Asks(), ["settle", "view"]), (None, ["view"])):
        ground = Ground(may, promises=promises)
        ground.issuer.places["f"] = 7
        for class_name in CLASSES:
            ground.ask(class_name)
        assert [call.class_name for call in ground.calls.values()] == passed
        ground.pass_by(13_500.0)
        assert ground.ask("keyed")[0]  # no repeat from before can come any more


class Promised(Ground):
    """With the real gate and keeper below."""

    def __init__(self, stage):
        rules, file = s.ReplicationSettings(1, "m", replica_zones=1), fleet_file("a")
        keeper = ReplicationCore("n0", 1, file, rules, 0.0).placement.replicas[0]
        self.core = ReplicationCore(keeper, 1, file, rules, 0.0, fresh=True)
        self.timers = self  # the gate's timers never ring here
        self.gate = ClaimGate(self, self, self.core, rules, CLASSES, self.carry)
        super().__init__(stage, promises=StoredClaims(self.gate, self.core))
        self.admission.sink = self.gate

    def after(self, delay_ms, callback):
        return type("Timer", (), {"cancel": lambda self: None})()

    def carry(self, effects):
        for effect in effects:
            if hasattr(effect, "key"):
                self.gate.apply(effect)

    def knows(self, class_name, id, phase, answer=None):
        call = Call(
            id,
            class_name,
            "t",
            "f",
            1.0,
            b"",
            "" if class_name != "keyed" else id.hex(),
            1,
            None,
            None,
            print,
        )
        claim = Claim("n9#3", 1, 1, 0, phase, "d", answer)
        shelf, name = self.core.replica.claim_store, call_key(call)
        shelf.merge(1.0, name, shelf.get_or_create(1.0, name), claim, 10_000.0)


def test_repeats_of_promised_calls_have_their_answer_before_new_calls_are_taken():
    ground = Promised(RecoveryPhase.RETRIES)
    ground.knows("settle", (1).to_bytes(8, "big"), ClaimPhase.ANSWERED, base64.b64encode(b"kept").decode())
    ground.knows("settle", (2).to_bytes(8, "big"), ClaimPhase.GRANTED)
    ground.knows("settle", (3).to_bytes(8, "big"), ClaimPhase.RELEASED)
    answers = [ground.ask("settle")[1] for _ in range(4)]
    assert answers[:2] == [[Succeeded(b"kept")], [Failed()]]  # it may have run, and nobody is left who knows
    assert all(isinstance(got[0], Rejected) and got[0].hold_off_ms >= 1_000.0 for got in answers[2:])
    assert ground.calls == {} and ground.admission.counts["repeats"] == 2
    ground.go_by(RecoveryPhase.LISTENING)
    ground.numbers = 0
    assert isinstance(ground.ask("settle")[1][0], Rejected)  # not before its stage


DOES = ["take"] * 3 + ["answer", "withdraw", "go_by", "wait", "stood", "ticket", "copy", "gone", "at_once"]
ACTS = st.lists(
    st.tuples(
        st.sampled_from(DOES),
        st.integers(0, 30),
    ),
    max_size=60,
)


@settings(max_examples=200, deadline=None)
@given(ACTS)
def test_one_final_answer_whatever_the_order_of_take_answer_withdraw_and_phases(acts):
    ground, asked, left = Ground(rate_ps=40.0), [], set()
    rows = ("f", "g", "h")
    ground.issuer.free = {1: 0.0, 2: None, 3: 250.0}
    for what, n in acts:
        function = rows[n % 3]
        if what == "take":
            key, got = ground.ask([*CLASSES][n % 3], function=rows[n // 3 % 3])
            asked.append((key, got))
            assert (key is None) == bool(got)
        elif what == "answer" and ground.calls:
            ground.calls.pop([*ground.calls][n % len(ground.calls)]).reply(
                [Succeeded(b"x"), Failed(), Rejected(1.0)][n % 3]
            )
        elif what == "withdraw" and asked:
            key, got = asked[n % len(asked)]
            if key is not None and not got and key not in left:
                left.add(key)
                ground.admission.withdraw(key)
                for gone in ground.withdrawn:  # the table answers no more
                    ground.calls.pop(gone, None)
        elif what == "go_by":
            ground.go_by(RecoveryPhase(n % 6), 40.0)
        elif what == "wait":
            ground.pass_by(20.0 * n)
        elif what in ("copy", "stood"):
            ground.issuer.places[function] = 1 + n % 3
            ground.admission.notify(CopyAvailable(function))
        elif what == "ticket" and ground.issuer.asked:
            ground.admission.notify(SlowStartPermit(ground.issuer.asked.pop(0), [0.0, 100.0, 900.0][n % 3]))
        elif what == "gone":
            ground.issuer.places.pop(function, None)
        elif what == "at_once":
            ground.at_once = n % 2 == 1
        assert all(len(got) <= 1 for _, got in asked)
        assert not any(got for key, got in asked if key in left)
    ground.pass_by(3_000.0)  # nothing waits here for longer
    for call in list(ground.calls.values()):
        call.reply(Failed())
    for key, got in asked:
        assert len(got) == (key not in left)
    assert (
        not ground.admission.busy
        and not ground.admission._awaiting_copy
        and ground.admission._waiting_bytes == 0
    )
