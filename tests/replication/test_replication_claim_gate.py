"""The claim gate before the request table: each client gets one answer, and a claimed call runs once."""

import base64

import msgspec
import pytest

from fawnwharf.interface import ClassSpec, Effect
from fawnwharf.net.requests import Call, Failed, Rejected, Succeeded
from fawnwharf.replication import messages as m
from fawnwharf.replication import settings as s
from fawnwharf.replication.call_owner import CallProgress
from fawnwharf.replication.claim_gate import DEADLINE_MARGIN_MS, WAIT_MARGIN_MS, ClaimGate, call_key
from fawnwharf.replication.claims import Claim, ClaimPhase
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.testbed.promises import fleet_file

CLASSES = {
    "once": ClassSpec("once", latency_target_ms=400.0, effect=Effect.AT_MOST_ONCE),
    "keyed": ClassSpec("keyed", latency_target_ms=400.0, effect=Effect.DEDUPLICATED, dedup_window_ms=3_000.0),
    "view": ClassSpec("view", latency_target_ms=400.0, effect=Effect.IDEMPOTENT),
}


class Timer:
    def __init__(self, callback):
        self.callback = callback

    def cancel(self):
        self.callback = None


class Ground:
    """A loop whose timers the test fires, a request table that it answers for, and one front end.

    That front end is the only replica, or its replicas send nothing.
    """

    def __init__(self, zones="a", fresh=True):
        self.timers, self.planned = self, []
        rules = s.ReplicationSettings(
            1,
            "m",
            replica_zones=1 if zones == "a" else 3,
            limits=s.ClaimStoreLimits(max_single_answer_bytes=64),
        )
        file = fleet_file(zones)
        replicas = ReplicationCore("n0", 1, file, rules, 0.0).placement.replicas
        name = next(e.name for e in file.members if zones == "a" or e.name not in replicas)
        self.core = ReplicationCore(name, 1, file, rules, 0.0, fresh=fresh)
        self.calls, self.withdrawn, self.full = {}, [], False
        self.gate = ClaimGate(self, self, self.core, rules, CLASSES, self.carry)
        self.said = []

    def after(self, delay_ms, callback):
        self.planned.append((delay_ms, Timer(callback)))
        return self.planned[-1][1]

    def carry(self, effects):
        for effect in effects:
            if isinstance(effect, m.Send):
                self.said.append(effect)
            else:
                self.gate.apply(effect)

    def take(self, call):
        if self.full:
            call.reply(Rejected(9.0))
            return None
        key = f"r{len(self.calls) + 1}"
        self.calls[key] = call
        return key

    def withdraw(self, key):
        self.withdrawn.append(key)

    def ask(self, kind="once", number=1, token=""):
        got = []
        call = Call(
            id=bytes([number] * 8), class_name=kind, tenant="t", function="f", budget_ms=2_000.0,
            body=b"body", token=token, lanes=1, memory_mb=None, load_ms=None, reply=got.append,
        )  # fmt: skip
        return self.gate.take(call), got

    def claims(self):
        store = self.core.replica.claim_store
        return [claim for entry in store.calls.values() for claim in entry.claims.values()]


def test_a_call_of_mode_off_passes_through():
    ground = Ground()
    key, got = ground.ask("view")
    assert key == "r1"
    assert not ground.core.replica.claim_store.calls
    ground.gate.withdraw(key)
    assert ground.withdrawn == ["r1"]
    assert got == []


def test_two_attempts_of_a_call_at_one_front_end_run_once_and_share_the_answer():
    ground = Ground()
    _, one = ground.ask()
    _, other = ground.ask()
    assert len(ground.calls) == 1
    assert one == other == []
    ground.calls["r1"].reply(Succeeded(b"x"))
    assert one == other == [Succeeded(b"x")]
    _, third = ground.ask()
    assert third == [Succeeded(b"x")]
    assert len(ground.calls) == 1
    assert not ground.gate.busy


def test_a_running_at_most_once_call_continues_when_its_client_leaves():
    ground = Ground()
    key, got = ground.ask()
    ground.gate.withdraw(key)
    assert ground.withdrawn == []
    ground.calls["r1"].reply(Succeeded(b"x"))
    assert got == []
    assert ground.ask()[1] == [Succeeded(b"x")]


def test_a_deduplicated_call_is_withdrawn_as_failed_when_its_client_leaves():
    ground = Ground()
    key, _ = ground.ask("keyed", token="k")
    ground.gate.withdraw(key)
    assert ground.withdrawn == ["r1"]
    assert ground.gate.calls == {}
    assert [claim.phase for claim in ground.claims()] == [ClaimPhase.FAILED]


def test_a_call_is_released_when_its_client_leaves_before_it_runs():
    ground = Ground("abcabc")
    key, got = ground.ask()
    assert ground.calls == {}
    assert ground.gate.busy
    ground.gate.withdraw(key)
    reported = [say.message for say in ground.said if isinstance(say.message, m.ClaimUpdate)]
    assert [tell.claim.phase for tell in reported] == [ClaimPhase.RELEASED]
    assert ground.gate.calls == {}
    assert not ground.gate.busy
    assert got == []


def test_a_rejected_call_is_released_and_a_failed_one_may_have_run():
    ground = Ground()
    _, one = ground.ask(number=1)
    ground.calls["r1"].reply(Rejected(50.0))
    _, other = ground.ask(number=2)
    ground.calls["r2"].reply(Failed())
    assert (one, other) == ([Rejected(50.0)], [Failed()])
    assert sorted(claim.phase for claim in ground.claims()) == [ClaimPhase.RELEASED, ClaimPhase.FAILED]
    assert ground.ask(number=2)[1] == [Failed()]  # at once: nobody will ever know
    ground.ask(number=1)
    assert len(ground.calls) == 3
    ground.full = True
    assert ground.ask(number=3)[1] == [Rejected(9.0)]
    assert ground.gate.calls.keys() == {call_key(ground.calls["r3"])}


@pytest.mark.parametrize("kind", ["once", "keyed"])
def test_a_stored_answer_is_sent_at_once_and_nothing_stays_open(kind):
    """A key for what has its answer would stand open at the client's connection for good."""
    ground = Ground()
    _, first = ground.ask(kind, token="t1")
    ground.calls["r1"].reply(Succeeded(b"done"))
    key, again = ground.ask(kind, token="t1")
    assert first == again == [Succeeded(b"done")]
    assert key is None
    assert not ground.gate.busy
    assert not ground.gate.calls


def test_a_repeat_fails_when_the_answer_was_too_long_to_store():
    ground = Ground()
    ground.ask()
    ground.calls["r1"].reply(Succeeded(b"x" * 65))
    assert ground.ask()[1] == [Failed()]
    assert [(claim.phase, claim.answer) for claim in ground.claims()] == [(ClaimPhase.ANSWERED, None)]


def test_a_waiting_call_ends_before_its_clients_deadline():
    ground = Ground("abcabc")
    begun = []
    begin = ground.core.begin_call
    ground.core.begin_call = lambda now, key, terms: begun.append(terms) or begin(now, key, terms)
    ground.ask()
    assert begun[0].budget_ms == 2_000.0 - WAIT_MARGIN_MS
    [owned] = ground.core.call_owner.calls.values()
    owned.progress = CallProgress.WAITING
    effects = ground.core.call_owner.tick(owned.deadline_ms)
    ground.carry(effects)
    assert [type(effect).__name__ for effect in effects] == ["FailCall"]
    assert not ground.gate.busy


def test_a_waiting_call_fails_once_at_its_deadline():
    ground = Ground()
    ground.ask()
    _, got = ground.ask()
    delay, timer = ground.planned[-1]
    assert delay == 2_000.0 - DEADLINE_MARGIN_MS  # the answer has a way to go
    timer.callback()
    assert got == [Failed()]
    ground.calls["r1"].reply(Succeeded(b"x"))
    assert got == [Failed()]


def test_a_running_call_is_withdrawn_when_it_was_answered_elsewhere():
    ground = Ground("abcabc")
    _, got = ground.ask("keyed", token="k")
    assert list(ground.calls) == ["r1"]
    [name] = ground.gate.calls
    answered = Claim("n9#1", 1, 2, 0, ClaimPhase.ANSWERED, "d", base64.b64encode(b"x").decode())
    replica = ground.core.placement.replicas_of(name)[0]
    word = m.ClaimReply(name, ground.core.owner_id, 1, False, True, (answered,))
    line = {"fleet": "f", "sender": replica, "life": 1, "to": [ground.core.name]}
    ground.carry(ground.core.receive_line(10.0, replica, line | {"say": msgspec.to_builtins(word)}))
    assert got == [Succeeded(b"x")]
    assert ground.withdrawn == ["r1"]
    assert ground.gate.calls == {}


def test_too_many_waiting_calls_are_rejected_at_once(monkeypatch):
    monkeypatch.setattr("fawnwharf.replication.claim_gate.MAX_HELD_CALLS", 2)
    ground = Ground("abcabc")
    got = [ground.ask(number=n)[1] for n in range(1, 5)]
    assert got == [[], [], [Rejected(250.0)], [Rejected(250.0)]]


def test_attempts_of_one_call_share_a_key_and_other_calls_have_others():
    ground = Ground()
    for kind, number, token in (("keyed", 1, "k"), ("keyed", 2, "k"), ("keyed", 1, "l"), ("once", 1, "")):
        ground.ask(kind, number, token)
    names = [call_key(call) for call in ground.calls.values()]
    assert len(names) == len(set(names)) == 3
