"""A front end with scripted scorers, a settable clock and injected system call errors.

Tests pass attempts and load orders directly to the front end, bypassing the router's decisions, so that each
order of events can be forced.
"""

import errno
import socket
import unittest

import msgspec
from peers import ROW, Rig, ready

from fawnwharf import interface as io
from fawnwharf.net import scorer_pool, scorer_streams
from fawnwharf.net.event_loop import READ
from support.clocks import SettableClock
from support.system_faults import SystemFaults

BY_POOL = 9  # the first scorer that only the pool knows, so that the router sends nothing to it


def reset(sock):
    """Close a connection by a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


def attempt(scorer, ended, id=b"12345678", body=b"", within_ms=8000.0, **more):
    """Create an attempt; at its end, adds the end and whether some bytes were written to `ended`."""
    return scorer_streams.Attempt(
        scorer, lambda stream, end, answer: ended.append((end or answer.ending, stream.begun)), id=id,
        class_name="view", function=ROW, body=body, deadline_ms=scorer_pool.monotonic_ms() + within_ms,
        **more,
    )  # fmt: skip


def order(scorer, ended, copies=1):
    """Create a load order, as `attempt` does."""
    return scorer_streams.LoadOrder(
        scorer, lambda stream, end, answer: ended.append((end or answer.ending, stream.begun)), ROW, copies
    )


class Case(unittest.TestCase):
    """A test with a clock that it advances, and system call errors that it injects."""

    def setUp(self):
        """Install the clock and the fault injection."""
        self.clock, self.faults = SettableClock(), SystemFaults()
        for context in (self.clock.installed(), self.faults.installed()):
            self.enterContext(context)

    def rig(self, *peers, known=(), **more):
        """Start a front end whose router knows only `known`, and whose pool also has `peers`."""
        rig = Rig(*known, **more)
        self.addCleanup(rig.close)
        # Handshakes count as expensive, so that no connection is dialled for spreading.
        rig.front.scorer_pool.wire = msgspec.structs.replace(rig.front.scorer_pool.wire, handshake_price=1.0)
        rig.front.requests._classes = rig.front.deployment.settings.classes
        for number, peer in enumerate(peers, BY_POOL):
            rig.scorers.append(peer)
            rig.front.scorer_pool.update(number, self.address(peer), io.ScorerState.READY, 0.0)
        self.events = []  # for the router, in order
        enqueue = rig.front.loop.enqueue
        rig.front.loop.enqueue = lambda event: self.events.append(event) or enqueue(event)
        return rig

    def address(self, peer):
        """The address at which a scorer listens."""
        return peer.listener.getsockname()

    def endings(self):
        """The attempt results that were reported to the router."""
        return [event.result for event in self.events if isinstance(event, io.AttemptEnded)]

    def order_endings(self):
        """The results of load orders that were reported to the router."""
        return [event.result for event in self.events if isinstance(event, io.LoadOrderAnswered)]

    def link_up(self, rig, peer, scorer=BY_POOL):
        """Establish the only connection to a scorer, without open streams."""
        ended, copies, peer.copies = [], peer.copies, 0
        rig.front.scorer_pool.send_load_order(order(scorer, ended, copies=0))
        rig.until(lambda: ended and self.links(rig, scorer)[0].up, "a connection is established")
        [link] = self.links(rig, scorer)
        peer.frames.clear()
        peer.copies = copies
        return link

    def links(self, rig, scorer=BY_POOL):
        """The connections to a scorer, oldest first."""
        return rig.front.scorer_pool.scorers[scorer].links

    def asked(self, rig, op="view", **fields):
        """A client and the key of its open request, for which the router knows no scorer."""
        client = rig.client()
        before = set(rig.front.requests.open)
        client.call(op, **fields)
        rig.until(lambda: set(rig.front.requests.open) - before, "the request is open")
        [key] = set(rig.front.requests.open) - before
        return client, key

    def leave(self, rig, client, key, how):
        """Withdraw a request or close its client, and have the front end read that at once."""
        [port] = [
            port for port in rig.front.client_port.clients if key in [call.key for call in port.open.values()]
        ]
        if how == "withdraw":
            client.withdraw(client.seqid)
        else:
            client.sock.close()
            client.ended = True
        self.read(port.connection)
        self.assertNotIn(key, rig.front.requests.open)

    def read(self, connection):
        """Have only this connection read its received bytes."""
        self.assertTrue(ready(connection._sock))
        connection._ready(READ)

    def is_connected_to(self, peer):
        """A condition for fault injection: whether a socket is a connection to this scorer."""
        port = peer.listener.getsockname()[1]

        def is_connected(sock):
            try:
                return sock.getpeername()[1] == port
            except OSError as error:
                assert error.errno in (errno.ENOTCONN, errno.EINVAL)
                return False

        return is_connected

    def block(self, peer, after_bytes=None):
        """Let connections to this scorer accept `after_bytes` more bytes, and then none."""
        if after_bytes:
            self.faults.shorten("sendmsg", after_bytes, where=self.is_connected_to(peer))
        return self.faults.shorten("sendmsg", 0, times=10**9, where=self.is_connected_to(peer))

    def unblock(self, fault):
        """Let blocked connections accept bytes again."""
        fault.times = fault.hits

    def turn(self, rig, times=3):
        """Run this number of iterations of the event loop and of the peers."""
        for _ in range(times):
            rig.front.loop.run_iteration(0.005)
            for peer in [*rig.scorers, *rig.clients]:
                peer.pump()
