"""Randomized orders of events on real scorer connections, and the invariants that hold in each."""

import errno
import os
import random
import socket
import unittest

from peers import ScorerPeer
from support.scorer_link_cases import BY_POOL, Case, attempt, order, reset

from fawnwharf import interface as io
from fawnwharf.net.end_reasons import EndReason, attempt_result
from fawnwharf.net.scorer_streams import Attempt

SEEDS, STEPS = 40, 60
DIAL_MS, LIFE_MS = 250.0, 900.0
MAX_EXCESS_MS = 150.0  # by which the forwarded remaining time may exceed the actual one
BOUNDS = {"max_attempts": 3, "cancel": True, "second_copies": True, "dial_timeout": DIAL_MS}
NEVER_WRITTEN = (io.AttemptResult.NOT_SENT, io.AttemptResult.CONNECT_FAILED)


class IsolatedScorer(ScorerPeer):
    """A scorer that listens on a loopback address which only this process uses.

    Many ports are opened and closed here. On a shared address, another test process that dials one of its own
    closed scorers could reach a scorer of this process.
    """

    def __init__(self, id):
        super().__init__(id, copies=None)
        self.listener.close()
        high, low = divmod(os.getpid() % 65_536, 256)
        self.listener = socket.create_server((f"127.77.{high}.{low}", 0))
        self.listener.setblocking(False)


class RandomizedRun:
    """One seeded order of events; checks the invariants after each step."""

    def __init__(self, case, seed):
        self.case, self.random = case, random.Random(seed)
        self.peers = [IsolatedScorer(f"s-{number}") for number in range(2)]
        self.rig = case.rig(*self.peers, settings={"bounds": BOUNDS})
        self.pool = self.rig.front.scorer_pool
        if self.random.random() < 0.5:  # connections are dialled for spreading
            self.pool.wire = self.rig.front.deployment.wire
        self.streams, self.ends, self.begun = [], {}, {}
        self.seen = {peer: 0 for peer in self.peers}
        self.blocked, self.up_since = [], 0.0
        self.steps = [
            self.send, self.send, self.send, self.order, self.cancel, self.cancel_unsent, self.advance,
            self.advance, self.iterate, self.iterate, self.answer, self.answer, self.break_connection,
            self.drain, self.ready, self.restart, self.swap_addresses, self.block, self.unblock, self.fault,
            self.run_maintenance,
        ]  # fmt: skip

    def run(self):
        for _ in range(STEPS):
            self.random.choice(self.steps)()
            self.check()
        self.unblock()
        self.ready()
        for _ in range(int(LIFE_MS / 100.0) + 3):
            self.case.clock.advance(100.0)
            self.iterate()
            self.check()
        return self

    # --- events -------------------------------------------------------------------------------

    def random_scorer(self):
        return BY_POOL + self.random.randrange(len(self.peers))

    def add(self, stream):
        self.streams.append(stream)
        stream.ended = self.ended

    def ended(self, stream, end, answer):
        self.case.assertNotIn(stream, self.ends, "a second end")
        self.ends[stream] = end or answer.ending
        self.begun[stream] = stream.begun

    def send(self):
        more = {"begin_by_ms": self.case.clock.monotonic_ms + 120.0} if self.random.random() < 0.3 else {}
        id, body = b"%08d" % len(self.streams), b"x" * self.random.choice((0, 300))
        self.add(stream := attempt(self.random_scorer(), [], id=id, body=body, within_ms=LIFE_MS, **more))
        self.pool.send(stream)

    def order(self):
        self.add(stream := order(self.random_scorer(), [], copies=self.random.randrange(2)))
        self.pool.send_load_order(stream)

    def open(self):
        return [stream for stream in self.streams if stream not in self.ends]

    def cancel(self):
        if found := self.open():
            self.pool.cancel(self.random.choice(found))

    def cancel_unsent(self):
        if found := self.open():
            stream = self.random.choice(found)
            self.pool.cancel_unsent(stream)
            self.case.assertTrue(stream in self.ends or stream.begun)

    def advance(self):
        self.case.clock.advance(self.random.choice((3.0, 25.0, 79.0, 130.0)))

    def iterate(self):
        self.case.turn(self.rig, times=1)

    def answer(self):
        frames = [(peer, item) for peer in self.peers for item in peer.frames]
        if frames:
            peer, item = self.random.choice(frames)
            code = self.random.choice((0, 0, 2, 3, 4))
            try:
                peer.answer(item, code, "")
            except OSError as error:  # the connection has ended
                self.case.assertIn(error.errno, (errno.EPIPE, errno.ECONNRESET, errno.EBADF))

    def break_connection(self):
        links = [link for peer in self.peers for link in peer.links if not link.ended]
        if links:
            link = self.random.choice(links)
            (reset if self.random.random() < 0.5 else type(link.sock).close)(link.sock)
            link.ended = True

    def change(self, state, number=None, address=None):
        number = self.random_scorer() if number is None else number
        self.pool.update(number, address, state, self.up_since)
        if state is not io.ScorerState.READY:
            unsent = [s for s in self.open() if s.scorer == number and s.is_new_work and not s.begun]
            self.case.assertEqual(unsent, [], "unwritten new work after a drain")

    def drain(self):
        self.change(self.random.choice((io.ScorerState.DRAINING, io.ScorerState.GONE)))

    def ready(self):
        for number, peer in enumerate(self.peers, BY_POOL):
            self.change(io.ScorerState.READY, number, self.case.address(peer))

    def restart(self):
        self.up_since += 1.0
        self.change(io.ScorerState.READY)

    def swap_addresses(self):
        """Give each scorer the address of the other one."""
        self.peers.reverse()
        self.ready()

    def block(self):
        if not self.blocked:
            after = self.random.choice((None, 30))
            self.blocked.append(self.case.block(self.random.choice(self.peers), after))

    def unblock(self):
        for fault in self.blocked:
            self.case.unblock(fault)
        self.blocked = []

    def fault(self):
        call, error = self.random.choice(
            (("connect", errno.EADDRNOTAVAIL), ("socket", errno.EMFILE), ("so_error", errno.ECONNREFUSED),
             ("so_error", errno.ENOBUFS), ("sendmsg", errno.ENOMEM), ("sendmsg", errno.EPIPE))
        )  # fmt: skip
        ports = [peer.listener.getsockname()[1] for peer in self.peers]
        where = {"sendmsg": lambda sock: sock.getpeername()[1] in ports}.get(call, lambda sock: True)
        self.case.faults.fail(call, error, where=where)

    def run_maintenance(self):
        self.pool.run_maintenance()

    # --- invariants ---------------------------------------------------------------------------

    def check(self):
        by_id = {stream.id: stream for stream in self.streams}
        for peer in self.peers:
            for _, frame in peer.frames[self.seen[peer] :]:
                self.arrived(frame, by_id.get(frame.id))
            self.seen[peer] = len(peer.frames)
        links = [link for scorer in self.pool.scorers.values() for link in scorer.links]
        self.case.assertEqual(self.pool._connection_count, len(links))
        for link in links:
            buffers = link.connection._outbox
            unwritten = sum(buffer.size - buffer.written for buffer in buffers)
            self.case.assertEqual(link.connection.unwritten_bytes, unwritten)

    def arrived(self, frame, stream):
        self.case.assertIsNotNone(stream, f"frame of an unknown stream: {frame}")
        self.case.assertTrue(
            self.begun.get(stream, True), "frame of a stream that had ended before it was written"
        )
        if "ms" in frame.fields:
            remaining_ms = stream.deadline_ms - self.case.clock.monotonic_ms
            self.case.assertLessEqual(int(frame.fields["ms"]), max(1.0, remaining_ms) + MAX_EXCESS_MS)

    def check_ends(self):
        for stream in self.streams:
            if isinstance(stream, Attempt):
                self.case.assertIn(stream, self.ends, "attempt without an end after its deadline")
            end = self.ends.get(stream)
            if isinstance(end, EndReason) and end is not EndReason.CANCELLED and not self.begun[stream]:
                self.case.assertIn(attempt_result(end, False), NEVER_WRITTEN)


class RandomizedRuns(Case):
    def test_in_any_order_each_stream_ends_once_and_is_not_sent_afterwards(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                run = RandomizedRun(self, seed).run()
                run.check_ends()
                self.assertEqual([line for line in run.rig.lines if "fault in" in line], [])
            self.doCleanups()  # closes the front end, as all of them together would need too many descriptors
            self.setUp()


if __name__ == "__main__":
    unittest.main()
