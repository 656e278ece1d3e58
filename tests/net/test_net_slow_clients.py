"""Clients that read slowly or not at all: none is dropped while it reads, none costs too much."""

import contextlib
import unittest
from unittest import mock

from peers import ScorerPeer
from support.client_cases import Case, arrived_requests, call_frame, status_frames

from fawnwharf import interface as io
from fawnwharf.net import clients, slow_clients

LONG = 230_000  # bytes of a long answer
STUCK = b"x" * 7_000_000  # more than the system's buffers take
STEP = 64 * 1024  # bytes that a slow reader takes at a time


class SlowReader(Case):
    def stuck(self, *peers):
        """A rig whose client has not read what was written; its own side, and the front end's."""
        rig = self.rig(*(peers or [ScorerPeer(copies=None)]))
        client = rig.client()
        rig.settle(client)
        rig.clients.remove(client)  # from here on it reads when the test says so
        self.addCleanup(client.sock.close)
        server_side = self.server_side(rig, client)
        server_side._write(STUCK)
        rig.front.loop.run_iteration(0.0)
        self.assertFalse(server_side.connection.reads)
        return rig, client, server_side

    def test_one_with_32_long_answers_unread_gets_all_of_them(self):
        scorer = ScorerPeer(copies=32)
        rig = self.rig(scorer)
        client = rig.client()
        rig.settle(client)
        rig.clients.remove(client)
        self.addCleanup(client.sock.close)
        client.sock.sendall(b"".join(call_frame(n) for n in range(1, 33)))
        answered = []

        def all_answered():
            for run in scorer.runs[len(answered) :]:
                answered.append(run)
                scorer.links[0].sock.setblocking(True)
                scorer.answer(run, body=b"y" * LONG)
                scorer.links[0].sock.setblocking(False)
            return len(answered) == 32 and not rig.front.requests.open

        rig.until(all_answered, "all are answered, and none is read")
        [server_side] = rig.front.client_port.clients
        self.assertGreater(server_side.connection.waiting_bytes, clients.MAX_READ_BYTES)

        def all_read():
            client.data += self.step(client)
            return len(client.data) >= 32 * LONG and not server_side.connection.waiting_bytes

        rig.until(all_read, "all are read")
        client.pump()
        self.assertEqual(client.kinds(), {1000: "answer"} | dict.fromkeys(range(1, 33), "answer"))
        self.assertFalse(client.ended)

    def step(self, client):
        try:
            return client.sock.recv(STEP)
        except BlockingIOError:
            return b""

    def test_a_request_and_its_withdrawal_are_seen_while_answers_wait(self):
        rig, client, _ = self.stuck()
        client.call(seqid=1)
        rig.until(lambda: rig.front.requests.open, "the request is read")
        client.call(seqid=2, body=b"z" * 16_000, call=f"{2:016x}")
        client.withdraw(1)
        rig.until(
            lambda: self.events_of(io.RequestCancelled), "the withdrawal behind another request is seen"
        )
        rig.until(lambda: len(arrived_requests(self)) == 2, "and that request")
        self.assertEqual(len(rig.front.requests.open), 1)

    def test_it_is_read_as_its_bytes_come_as_soon_as_there_is_room(self):
        rig, client, server_side = self.stuck()
        while server_side.connection.waiting_bytes >= slow_clients.UNSENT_PAUSE_BYTES:
            self.step(client)
            rig.front.loop.run_iteration(0.0)
        self.assertTrue(server_side.connection.reads)

    def test_one_that_reads_nothing_and_sends_on_is_kept_to_a_bound(self):
        rig, client, server_side = self.stuck()
        one_read = clients.MAX_READ_BYTES // len(status_frames(0)) + 1
        with mock.patch.object(slow_clients, "SCAN_MS", 0.0):
            sent = 0
            for _ in range(100):
                with contextlib.suppress(BlockingIOError):
                    sent += client.sock.send(status_frames(64 * 1024))
                rig.front.loop.run_iteration(0.01)
        self.assertGreater(sent, 4 * clients.MAX_READ_BYTES)
        self.assertLessEqual(
            server_side.connection.queued_buffers, slow_clients.MAX_UNSENT_ANSWERS + one_read
        )

    def test_where_too_much_waits_for_all_the_one_that_took_nothing_for_longest_is_dropped(self):
        rig, _, longest = self.stuck()
        other = rig.client()
        rig.settle(other)
        rig.clients.remove(other)
        self.addCleanup(other.sock.close)
        other_served = self.server_side(rig, other)
        most = longest.connection.waiting_bytes * 3 // 2
        with mock.patch.object(slow_clients, "MAX_TOTAL_UNSENT_BYTES", most):
            other_served._write(STUCK)
            rig.front.loop.run_iteration(0.0)
        self.assertTrue(longest.connection.closed)
        self.assertFalse(other_served.connection.closed)

    def test_one_that_leaves_with_answers_unread_is_freed(self):
        rig, client, server_side = self.stuck()
        client.sock.close()
        rig.until(lambda: server_side.connection.closed, "the connection ends")
        self.assertEqual(list(rig.front.client_port.clients), [])


if __name__ == "__main__":
    unittest.main()
