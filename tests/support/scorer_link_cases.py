"""A front end with scripted scorers, a settable clock and failing calls, driven step by step.

What is sent is put straight to the table of requests, so that each order of events can be forced.
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

BY_POOL = 9  # a scorer that the pool knows and the module does not: it is sent what the test says alone


def reset(sock):
    """Close a connection by a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


def attempt(worker, ended, id=b"12345678", body=b"", within_ms=8000.0, **more):
    """An attempt of which `ended` hears how it ended, and whether a byte had been written."""
    return scorer_streams.Attempt(
        worker, lambda stream, end, answer: ended.append((end or answer.ending, stream.begun)), id=id,
        class_name="view", function=ROW, body=body, deadline_ms=scorer_pool.monotonic_ms() + within_ms,
        **more,
    )  # fmt: skip


def order(worker, ended, copies=1):
    """The same for an order."""
    return scorer_streams.LoadOrder(
        worker, lambda stream, end, answer: ended.append((end or answer.ending, stream.begun)), ROW, copies
    )


class Case(unittest.TestCase):
    """Has a clock that moves when told to, and calls that fail when told to, from its start."""

    def setUp(self):
        """Install the clock and the faults."""
        self.clock, self.faults = SettableClock(), SystemFaults()
        for context in (self.clock.installed(), self.faults.installed()):
            self.enterContext(context)

    def rig(self, *peers, known=(), **more):
        """The module knows of `known` alone; `peers` are known to the pool, from `BY_POOL` on."""
        rig = Rig(*known, **more)
        self.addCleanup(rig.close)
        # Handshakes are dear: no link is dialled that nothing waits for.
        rig.front.scorer_pool.wire = msgspec.structs.replace(rig.front.scorer_pool.wire, handshake_price=1.0)
        rig.front.requests._classes = rig.front.deployment.settings.classes
        for number, peer in enumerate(peers, BY_POOL):
            rig.scorers.append(peer)
            rig.front.scorer_pool.update(number, self.address(peer), io.ScorerState.READY, 0.0)
        self.told = []  # events, in order
        tell = rig.front.loop.enqueue
        rig.front.loop.enqueue = lambda event: self.told.append(event) or tell(event)
        return rig

    def address(self, peer):
        """Where a scorer listens."""
        return peer.listener.getsockname()

    def endings(self):
        """How attempts ended, as the module was told."""
        return [event.result for event in self.told if isinstance(event, io.AttemptEnded)]

    def order_endings(self):
        """How orders ended, as the module was told."""
        return [event.result for event in self.told if isinstance(event, io.LoadOrderAnswered)]

    def link_up(self, rig, peer, worker=BY_POOL):
        """A first link to a scorer, with nothing open on it; and no spare."""
        ended, answers, peer.copies = [], peer.copies, 0
        rig.front.scorer_pool.start_load(order(worker, ended, copies=0))
        rig.until(lambda: ended and self.links(rig, worker)[0].up, "a link is up")
        [link] = self.links(rig, worker)
        peer.frames.clear()
        peer.copies = answers
        return link

    def links(self, rig, worker=BY_POOL):
        """The links to a scorer, oldest first."""
        return rig.front.scorer_pool.scorers[worker].links

    def asked(self, rig, op="view", **fields):
        """A client, and the key of its request, which the module holds: it knows of no scorer."""
        client = rig.client()
        before = set(rig.front.requests.open)
        client.call(op, **fields)
        rig.until(lambda: set(rig.front.requests.open) - before, "the request is open")
        [key] = set(rig.front.requests.open) - before
        return client, key

    def leave(self, rig, client, key, how):
        """The client goes, and the front end reads that before anything else happens."""
        [port] = [port for port in rig.front.client_port.clients if key in port.open.values()]
        if how == "withdraw":
            client.withdraw(client.seqid)
        else:
            client.sock.close()
            client.ended = True
        self.read(port.connection)
        self.assertNotIn(key, rig.front.requests.open)

    def read(self, connection):
        """Have this connection alone read what has come for it."""
        self.assertTrue(ready(connection._sock))
        connection._ready(READ)

    def to(self, peer):
        """For faults: whether a socket is a link to this scorer."""
        port = peer.listener.getsockname()[1]

        def leads_there(sock):
            try:
                return sock.getpeername()[1] == port
            except OSError as error:
                assert error.errno in (errno.ENOTCONN, errno.EINVAL)
                return False

        return leads_there

    def block(self, peer, after_bytes=None):
        """Links to this scorer take so many bytes more, and then none."""
        if after_bytes:
            self.faults.shorten("sendmsg", after_bytes, where=self.to(peer))
        return self.faults.shorten("sendmsg", 0, times=10**9, where=self.to(peer))

    def unblock(self, fault):
        """Links take bytes again."""
        fault.times = fault.hits

    def turn(self, rig, times=3):
        """So many turns of the loop and of the peers."""
        for _ in range(times):
            rig.front.loop.run_iteration(0.005)
            for peer in [*rig.scorers, *rig.clients]:
                peer.pump()
