"""Rare conditions: no free descriptor, a long iteration, a disconnect behind another message."""

import errno
import socket
from unittest import mock

from peers import ScorerPeer
from support.scorer_link_cases import BY_POOL, Case
from support.system_faults import SystemFaults
from test_net_clock_steps import clock, rig, settled_client, without_receive_timestamps

from fawnwharf import interface as io
from fawnwharf.admin import admin_listener
from fawnwharf.net import receive_age
from fawnwharf.net.event_loop import EventLoop

__all__ = ["clock", "rig"]


def test_a_shortage_at_the_admin_listener_causes_no_busy_loop(clock):
    faults = SystemFaults()
    with faults.installed():
        loop = EventLoop(lambda now_ms, events: None, lambda line: None)
        listener = admin_listener.AdminListener(loop, ("127.0.0.1", 0), 1024, mock.Mock())
        operator = socket.create_connection(listener.address)
        fault = faults.fail("accept", errno.EMFILE, times=2)
        for _ in range(20):
            loop.run_iteration(0.0)
        assert fault.hits == 1
        clock.advance(admin_listener.ACCEPT_RETRY_MS + 5.0)
        loop.run_iteration(0.0)
        loop.run_iteration(0.0)
        assert fault.hits == 2
        clock.advance(admin_listener.ACCEPT_RETRY_MS + 5.0)
        loop.run_iteration(0.0)
        loop.run_iteration(0.0)
        assert len(listener.connections) == 1
        listener.close()
        operator.close()
        loop.close()


def test_a_call_that_wakes_the_loop_after_a_long_iteration_keeps_its_whole_time(rig, clock, monkeypatch):
    without_receive_timestamps(monkeypatch)
    client = settled_client(rig)
    rig.front.loop.run_iteration(0.0)
    rig.front.loop.timers.after(0.0, lambda: clock.advance(60.0))  # the duration of the long iteration
    clock.advance(5.0)
    rig.front.loop.run_iteration(0.0)
    select = rig.front.loop._selector.select

    def idle_select(_timeout=None):
        clock.advance(150.0)  # nothing arrives in this time; then the call ends the wait
        client.call(ttl="8000")
        return select(0.5)

    monkeypatch.setattr(rig.front.loop, "_wait_s", lambda max_wait_s: 0.25)
    monkeypatch.setattr(rig.front.loop._selector, "select", idle_select)
    rig.front.loop.run_iteration()
    [request] = rig.front.requests.open.values()
    assert request.deadline_ms - clock.monotonic_ms == 8_000.0


class ClosedBehindAnotherMessage(Case):
    def test_an_attempt_that_waits_for_its_connection_is_not_written(self):
        self.enterContext(mock.patch.object(receive_age, "SO_TIMESTAMPNS", -1))
        for last_message in ("status", "withdraw"):
            with self.subTest(last_message):
                scorer = ScorerPeer()
                rig = self.rig(scorer)
                client, key = self.asked(rig)
                rig.front.requests.send(io.Send(key, BY_POOL))  # starts to connect to the scorer
                client.status(9) if last_message == "status" else client.withdraw(77)
                client.sock.close()
                rig.clients.remove(client)
                self.clock.advance(200.0)  # the process is stalled
                rig.settle(rig.client())
                self.assertEqual(scorer.runs, [])
                self.assertEqual(self.endings(), [io.AttemptResult.NOT_SENT])
