"""Passing faults and late moments that the review of the joined parts found, each forced."""

import errno
import socket
from unittest import mock

from peers import ScorerPeer
from support.scorer_link_cases import BY_POOL, Case
from support.system_faults import SystemFaults
from test_net_clock_steps import clock, rig, settled_client, without_stamps

from fawnwharf import interface as io
from fawnwharf.admin import admin_listener
from fawnwharf.net import receive_age
from fawnwharf.net.event_loop import EventLoop

__all__ = ["clock", "rig"]


def test_a_shortage_at_the_second_address_does_not_spin_the_loop(clock):
    faults = SystemFaults()
    with faults.installed():
        loop = EventLoop(lambda now_ms, events: None, lambda line: None)
        control = admin_listener.AdminListener(loop, ("127.0.0.1", 0), 1024, mock.Mock())
        caller = socket.create_connection(control.address)
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
        assert len(control.connections) == 1
        control.close()
        caller.close()
        loop.close()


def test_a_call_that_wakes_the_loop_after_a_turn_of_much_work_has_its_time(rig, clock, monkeypatch):
    without_stamps(monkeypatch)
    client = settled_client(rig)
    rig.front.loop.run_iteration(0.0)
    rig.front.loop.timers.after(0.0, lambda: clock.advance(60.0))  # so long a turn works
    clock.advance(5.0)
    rig.front.loop.run_iteration(0.0)
    select = rig.front.loop._selector.select

    def asleep(_timeout=None):
        clock.advance(150.0)  # nothing comes for so long; then the call ends the wait
        client.call(ttl="8000")
        return select(0.5)

    monkeypatch.setattr(rig.front.loop, "_wait_s", lambda most: 0.25)
    monkeypatch.setattr(rig.front.loop._selector, "select", asleep)
    rig.front.loop.run_iteration()
    [request] = rig.front.requests.open.values()
    assert request.deadline_ms - clock.monotonic_ms == 8_000.0


class ClosedBehindAnotherMessage(Case):
    def test_an_attempt_that_waits_for_its_dial_is_not_written(self):
        self.enterContext(mock.patch.object(receive_age, "SO_TIMESTAMPNS", -1))
        for tail in ("status", "withdraw"):
            with self.subTest(tail):
                scorer = ScorerPeer()
                made = self.rig(scorer)
                client, key = self.asked(made)
                made.front.requests.send(io.Send(key, BY_POOL))  # a dial is under way
                client.status(9) if tail == "status" else client.withdraw(77)
                client.sock.close()
                made.clients.remove(client)
                self.clock.advance(200.0)  # the process is held up
                made.settle(made.client())
                self.assertEqual(scorer.runs, [])
                self.assertEqual(self.endings(), [io.AttemptResult.NOT_SENT])
