"""Events at the links to scorers in many seeded orders, on real connections, and what holds in each."""

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
LATE_MOST_MS = 150.0  # of the time that is passed on
BOUNDS = {"max_attempts": 3, "cancel": True, "second_copies": True, "dial_timeout": DIAL_MS}
NEVER_WRITTEN = (io.AttemptResult.NOT_SENT, io.AttemptResult.CONNECT_FAILED)


class ApartScorer(ScorerPeer):
    """Listens at an address of this process's own: where so many ports are taken and given back, another
    process on this machine, which dials a scorer of its own that has gone, may reach one of these."""

    def __init__(self, id):
        super().__init__(id, copies=None)
        self.listener.close()
        high, low = divmod(os.getpid() % 65_536, 256)
        self.listener = socket.create_server((f"127.77.{high}.{low}", 0))
        self.listener.setblocking(False)


class Shuffle:
    """One seeded order of events; checks after each step what must hold in any order."""

    def __init__(self, case, seed):
        self.case, self.chance = case, random.Random(seed)
        self.peers = [ApartScorer(f"s-{number}") for number in range(2)]
        self.rig = case.rig(*self.peers, settings={"bounds": BOUNDS})
        self.pool = self.rig.front.scorer_pool
        if self.chance.random() < 0.5:  # calls find links of their own
            self.pool.wire = self.rig.front.deployment.wire
        self.streams, self.ends, self.begun = [], {}, {}
        self.seen = {peer: 0 for peer in self.peers}
        self.blocked, self.up_since = [], 0.0
        self.steps = [
            self.send, self.send, self.send, self.order, self.cancel, self.take_back, self.advance,
            self.advance, self.turn, self.turn, self.answer, self.answer, self.break_link, self.drain,
            self.ready, self.restart, self.move, self.block, self.unblock, self.fault, self.tidy,
        ]  # fmt: skip

    def run(self):
        for _ in range(STEPS):
            self.chance.choice(self.steps)()
            self.check()
        self.unblock()
        self.ready()
        for _ in range(int(LIFE_MS / 100.0) + 3):
            self.case.clock.advance(100.0)
            self.turn()
            self.check()
        return self

    # --- events -------------------------------------------------------------------------------

    def worker(self):
        return BY_POOL + self.chance.randrange(len(self.peers))

    def add(self, stream):
        self.streams.append(stream)
        stream.ended = self.ended

    def ended(self, stream, end, answer):
        self.case.assertNotIn(stream, self.ends, "a second end")
        self.ends[stream] = end or answer.ending
        self.begun[stream] = stream.begun

    def send(self):
        more = {"begin_by_ms": self.case.clock.monotonic_ms + 120.0} if self.chance.random() < 0.3 else {}
        id, body = b"%08d" % len(self.streams), b"x" * self.chance.choice((0, 300))
        self.add(stream := attempt(self.worker(), [], id=id, body=body, within_ms=LIFE_MS, **more))
        self.pool.send(stream)

    def order(self):
        self.add(stream := order(self.worker(), [], copies=self.chance.randrange(2)))
        self.pool.start_load(stream)

    def open(self):
        return [stream for stream in self.streams if stream not in self.ends]

    def cancel(self):
        if found := self.open():
            self.pool.cancel(self.chance.choice(found))

    def take_back(self):
        if found := self.open():
            stream = self.chance.choice(found)
            self.pool.cancel_unsent(stream)
            self.case.assertTrue(stream in self.ends or stream.begun)

    def advance(self):
        self.case.clock.advance(self.chance.choice((3.0, 25.0, 79.0, 130.0)))

    def turn(self):
        self.case.turn(self.rig, times=1)

    def answer(self):
        frames = [(peer, item) for peer in self.peers for item in peer.frames]
        if frames:
            peer, item = self.chance.choice(frames)
            code = self.chance.choice((0, 0, 2, 3, 4))
            try:
                peer.answer(item, code, "")
            except OSError as error:  # the link has ended
                self.case.assertIn(error.errno, (errno.EPIPE, errno.ECONNRESET, errno.EBADF))

    def break_link(self):
        links = [link for peer in self.peers for link in peer.links if not link.ended]
        if links:
            link = self.chance.choice(links)
            (reset if self.chance.random() < 0.5 else type(link.sock).close)(link.sock)
            link.ended = True

    def change(self, state, number=None, address=None):
        number = self.worker() if number is None else number
        self.pool.update(number, address, state, self.up_since)
        if state is not io.ScorerState.READY:
            unsent = [s for s in self.open() if s.scorer == number and s.is_new_work and not s.begun]
            self.case.assertEqual(unsent, [], "new work that is unwritten when a drain is told")

    def drain(self):
        self.change(self.chance.choice((io.ScorerState.DRAINING, io.ScorerState.GONE)))

    def ready(self):
        for number, peer in enumerate(self.peers, BY_POOL):
            self.change(io.ScorerState.READY, number, self.case.address(peer))

    def restart(self):
        self.up_since += 1.0
        self.change(io.ScorerState.READY)

    def move(self):
        """Each scorer has the other one's address now."""
        self.peers.reverse()
        self.ready()

    def block(self):
        if not self.blocked:
            after = self.chance.choice((None, 30))
            self.blocked.append(self.case.block(self.chance.choice(self.peers), after))

    def unblock(self):
        for fault in self.blocked:
            self.case.unblock(fault)
        self.blocked = []

    def fault(self):
        call, error = self.chance.choice(
            (("connect", errno.EADDRNOTAVAIL), ("socket", errno.EMFILE), ("so_error", errno.ECONNREFUSED),
             ("so_error", errno.ENOBUFS), ("sendmsg", errno.ENOMEM), ("sendmsg", errno.EPIPE))
        )  # fmt: skip
        ports = [peer.listener.getsockname()[1] for peer in self.peers]
        where = {"sendmsg": lambda sock: sock.getpeername()[1] in ports}.get(call, lambda sock: True)
        self.case.faults.fail(call, error, where=where)

    def tidy(self):
        self.pool.run_maintenance()

    # --- what always holds --------------------------------------------------------------------

    def check(self):
        by_id = {stream.id: stream for stream in self.streams}
        for peer in self.peers:
            for _, frame in peer.frames[self.seen[peer] :]:
                self.arrived(frame, by_id.get(frame.id))
            self.seen[peer] = len(peer.frames)
        links = [link for scorer in self.pool.scorers.values() for link in scorer.links]
        self.case.assertEqual(self.pool._link_count, len(links))
        for link in links:
            pieces = link.connection._outbox
            left = sum(piece.size - piece.written for piece in pieces)
            self.case.assertEqual(link.connection.waiting_bytes, left)

    def arrived(self, frame, stream):
        self.case.assertIsNotNone(stream, f"a frame that nobody sent: {frame}")
        self.case.assertTrue(self.begun.get(stream, True), "a frame of what had ended unwritten")
        if "ms" in frame.fields:
            left = stream.deadline_ms - self.case.clock.monotonic_ms
            self.case.assertLessEqual(int(frame.fields["ms"]), max(1.0, left) + LATE_MOST_MS)

    def check_ends(self):
        for stream in self.streams:
            if isinstance(stream, Attempt):
                self.case.assertIn(stream, self.ends, "no end, though its time is over")
            end = self.ends.get(stream)
            if isinstance(end, EndReason) and end is not EndReason.CALLED_OFF and not self.begun[stream]:
                self.case.assertIn(attempt_result(end, False), NEVER_WRITTEN)


class Shuffles(Case):
    def test_in_any_order_each_stream_has_one_end_and_nothing_leaves_after_it(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                shuffle = Shuffle(self, seed).run()
                shuffle.check_ends()
                self.assertEqual([line for line in shuffle.rig.lines if "fault in" in line], [])
            self.doCleanups()  # so many front ends would take too many descriptors at once
            self.setUp()


if __name__ == "__main__":
    unittest.main()
