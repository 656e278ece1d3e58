"""Calls that arrive while no process has the exclusive extensions: they are held and watched."""

from types import SimpleNamespace
from unittest import mock

import pytest
from peers import ScorerPeer
from support.handoff_peers import HandoffRig, become_ready, connect_successor

from fawnwharf.admin import exclusive_extensions
from fawnwharf.admin import handoff_messages as messages
from fawnwharf.config import ConfigError
from fawnwharf.net import call_hold
from fawnwharf.net.timer_wheel import monotonic_ms

LATE_MS = 500.0  # an answer counts until so long after a call's time


@pytest.fixture
def rig():
    extension = mock.Mock(busy=False)
    rig = HandoffRig(ScorerPeer(copies=4), extension=extension)
    rig.extension = extension
    yield rig
    rig.front._extension = None
    rig.close()


def asking_successor(rig):
    """The end of a successor that needs the extensions, and that the front end has heard."""
    successor = connect_successor(rig, needs_exclusive_extensions=True)
    rig.until(lambda: rig.admin.hot_restart.handoff.phase.name == "REQUESTED", "it is heard")
    return successor


def released(rig):
    """The end of a successor for which the extensions were released, with nothing open."""
    successor = asking_successor(rig)
    successor.until(messages.ListenerHandoff)
    return successor


def test_a_call_that_no_process_may_run_is_rejected_in_its_time(rig):
    """Guards against clients that no process read until the longest open call had ended."""
    client = rig.client()
    rig.settle(client)
    released(rig)
    before_ms = monotonic_ms()
    client.call(ttl="300")
    rig.until(lambda: client.answers[-1:] and client.answers[-1][0] == 1, "the call is answered")
    assert monotonic_ms() - before_ms < 300.0 + LATE_MS
    assert client.kinds()[1] == "throttled"
    assert not rig.scorers[0].runs


def test_a_call_behind_a_long_one_runs_before_the_release_if_its_time_allows(rig):
    long = rig.called(rig.scorers[0])
    other = rig.client()
    successor = asking_successor(rig)
    began_ms = monotonic_ms()
    for client in (long, other):
        client.call(ttl="600")
    rig.until(lambda: len(rig.scorers[0].runs) == 3, "both calls run")
    assert monotonic_ms() - began_ms < 600.0
    assert not rig.extension.suspend.called
    for run in rig.scorers[0].runs:
        rig.scorers[0].answer(run)
    successor.until(messages.ListenerHandoff)
    assert rig.extension.suspend.called


def test_a_call_with_more_time_than_the_release_may_take_waits_for_the_successor(rig, monkeypatch):
    monkeypatch.setattr(exclusive_extensions, "RELEASE_DRAIN_TIMEOUT_MS", 400.0)
    rig.called(rig.scorers[0])
    other = rig.client()
    successor = asking_successor(rig)
    other.call(ttl="700")
    successor.until(messages.ListenerHandoff)
    assert len(rig.scorers[0].runs) == 1
    become_ready(successor)
    successor.until(messages.ConnectionHandoff, 2)
    [waiting] = successor.of(messages.WaitingCall)
    assert waiting.fields["ttl"] == "700"
    assert [each.seqids for each in successor.of(messages.OpenCalls)] == [(1,)]


def test_a_held_call_is_handed_over_with_its_connection_and_its_time_of_arrival(rig):
    client = rig.client()
    rig.settle(client)
    successor = released(rig)
    before_ms = monotonic_ms()
    client.call(body=b"body")
    rig.settle(client)
    after_ms = monotonic_ms()
    become_ready(successor)
    handed = successor.until(messages.ConnectionHandoff)
    [waiting] = successor.of(messages.WaitingCall)
    assert (waiting.seqid, waiting.body) == (1, b"body")
    assert not successor.of(messages.OpenCalls)
    assert before_ms - 100.0 <= waiting.received_ms <= after_ms
    assert successor.received.index(waiting) < successor.received.index(handed)


def test_a_call_withdrawn_while_it_is_held_never_runs(rig):
    withdrawn, closed, half_closed = rig.client(), rig.client(), rig.client()
    for client in (withdrawn, closed, half_closed):
        rig.settle(client)
    successor = released(rig)
    for client in (withdrawn, closed, half_closed):
        client.call(op="settle", ttl="900")
        rig.settle(client)
    withdrawn.withdraw(1)
    closed.sock.close()
    closed.ended = True
    half_closed.sock.shutdown(1)
    rig.until(lambda: half_closed.ended and len(rig.front.client_port.clients) == 1, "the two have ended")
    rig.settle(withdrawn)
    successor.close()
    rig.until(lambda: rig.admin.hot_restart.extensions.are_held, "the front end serves on")
    rig.run_for(100.0)
    assert not rig.scorers[0].runs
    assert half_closed.kinds()[1] == "broken"
    assert 1 not in withdrawn.kinds()


def test_readiness_checks_and_new_connections_are_answered_while_calls_are_held(rig):
    released(rig)
    client = rig.client()
    rig.settle(client)
    assert client.answers[-1][2][3] is True


def test_held_calls_run_here_when_the_successor_is_lost(rig):
    client = rig.client()
    rig.settle(client)
    successor = released(rig)
    client.call()
    rig.settle(client)
    assert not rig.scorers[0].runs
    rig.extension.resume.side_effect = [ConfigError("held"), None]
    successor.close()
    rig.until(lambda: rig.scorers[0].runs, "the call runs")
    assert rig.extension.resume.call_count == 2
    rig.scorers[0].answer(rig.scorers[0].runs[0])
    rig.until(lambda: 1 in client.kinds(), "the call is answered")
    client.call()
    rig.until(lambda: len(rig.scorers[0].runs) == 2, "the next call is not held")


def test_a_call_on_a_connection_that_came_back_is_held_until_the_extensions_are_held(rig):
    client = rig.client()
    rig.settle(client)
    successor = released(rig)
    client.call(ttl="500")
    rig.settle(client)
    rig.extension.resume.side_effect = ConfigError("held")
    with mock.patch("fawnwharf.admin.handoff_channel.send", side_effect=BlockingIOError):
        successor.sock.sendmsg([messages.encode(messages.SuccessorReady())])
        rig.until(lambda: not rig.front.client_port.clients, "the connection is queued")
        successor.close()
        rig.until(lambda: rig.front.client_port.clients, "the connection comes back")
    rig.until(lambda: 1 in client.kinds(), "the call is answered in its time")
    assert client.kinds()[1] == "throttled"
    assert not rig.scorers[0].runs


def test_too_many_held_calls_are_rejected_at_once(rig):
    client = rig.client()
    rig.settle(client)
    released(rig)
    with mock.patch.object(call_hold, "MAX_HELD_CALLS", 2):
        for _ in range(3):
            client.call()
        rig.settle(client)
    assert client.kinds()[3] == "throttled"
    with mock.patch.object(call_hold, "MAX_HELD_BYTES", 10):
        client.call(body=b"x" * 11)
        rig.settle(client)
    assert client.kinds()[4] == "throttled"
    assert not {1, 2} & set(client.kinds())


def test_an_older_successor_gets_connections_without_their_held_calls_which_are_rejected(rig):
    client = rig.client()
    rig.settle(client)
    successor = released(rig)
    client.call()
    rig.settle(client)
    become_ready(successor, accepts_open_calls=False)
    handed = successor.until(messages.ConnectionHandoff)
    assert not successor.of(messages.WaitingCall)
    rig.until(lambda: 1 in client.kinds() or successor.data_before(handed), "the call is answered")


def test_held_calls_run_in_the_order_of_their_arrival():
    timers = SimpleNamespace(after=lambda *_: mock.Mock())
    hold, order = call_hold.CallHold(timers, lambda _: False), []
    client = SimpleNamespace(run_held=lambda seqid, _call: order.append(seqid))
    for seqid in (3, 1, 2):
        message = SimpleNamespace(seqid=seqid, fields={}, body=b"")
        call = SimpleNamespace(body=b"", budget_ms=100.0)
        hold.add(client, message, call, 0.0)
    with mock.patch.object(call_hold, "replace", lambda call, **_: call):
        hold.run_all()
        hold.run_all()
    assert order == [3, 1, 2]
