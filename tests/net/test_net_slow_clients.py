"""Clients that read slowly or not at all: none is closed while it reads, and their memory use is bounded."""

import contextlib
import unittest
from unittest import mock

from peers import ScorerPeer
from support.client_cases import Case, arrived_requests, call_frame, status_frames

from fawnwharf import interface as io
from fawnwharf.net import clients, slow_clients

LONG_ANSWER_BYTES = 230_000
UNREAD_ANSWER = b"x" * 7_000_000  # more than the system's buffers hold
READ_BYTES = 64 * 1024  # that a slow reader reads at a time


class SlowReader(Case):
    def blocked(self, *peers):
        """Return a rig, a client that has not read an answer, and the front end's side of it."""
        rig = self.rig(*(peers or [ScorerPeer(copies=None)]))
        client = rig.client()
        rig.settle(client)
        rig.clients.remove(client)  # so that only the test reads its answers from here on
        self.addCleanup(client.sock.close)
        server_side = self.server_side(rig, client)
        server_side.connection.write(UNREAD_ANSWER)
        rig.front.loop.run_iteration(0.0)
        self.assertFalse(server_side.connection.reads)
        return rig, client, server_side

    def test_a_client_with_32_long_unread_answers_gets_all_of_them(self):
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
                scorer.answer(run, body=b"y" * LONG_ANSWER_BYTES)
                scorer.links[0].sock.setblocking(False)
            return len(answered) == 32 and not rig.front.requests.open

        rig.until(all_answered, "all requests are answered")
        [server_side] = rig.front.client_port.clients
        self.assertGreater(server_side.connection.unwritten_bytes, clients.MAX_READ_BYTES)

        def all_read():
            client.data += self.read_some(client)
            return len(client.data) >= 32 * LONG_ANSWER_BYTES and not server_side.connection.unwritten_bytes

        rig.until(all_read, "all answers are read")
        client.pump()
        self.assertEqual(client.kinds(), {1000: "answer"} | dict.fromkeys(range(1, 33), "answer"))
        self.assertFalse(client.ended)

    def read_some(self, client):
        try:
            return client.sock.recv(READ_BYTES)
        except BlockingIOError:
            return b""

    def test_a_request_and_its_withdrawal_are_read_while_answers_wait(self):
        rig, client, _ = self.blocked()
        client.call(seqid=1)
        rig.until(lambda: rig.front.requests.open, "the request is read")
        client.call(seqid=2, body=b"z" * 16_000, call=f"{2:016x}")
        client.withdraw(1)
        rig.until(
            lambda: self.events_of(io.RequestCancelled), "the withdrawal behind another request is read"
        )
        rig.until(lambda: len(arrived_requests(self)) == 2, "the other request is read")
        self.assertEqual(len(rig.front.requests.open), 1)

    def test_it_is_read_as_its_bytes_arrive_once_its_answers_are_read(self):
        rig, client, server_side = self.blocked()
        while server_side.connection.unwritten_bytes >= slow_clients.UNSENT_PAUSE_BYTES:
            self.read_some(client)
            rig.front.loop.run_iteration(0.0)
        self.assertTrue(server_side.connection.reads)

    def test_the_queue_of_a_client_that_sends_without_reading_is_bounded(self):
        rig, client, server_side = self.blocked()
        calls_per_read = clients.MAX_READ_BYTES // len(status_frames(0)) + 1
        with mock.patch.object(slow_clients, "SCAN_MS", 0.0):
            sent = 0
            for _ in range(100):
                with contextlib.suppress(BlockingIOError):
                    sent += client.sock.send(status_frames(64 * 1024))
                rig.front.loop.run_iteration(0.01)
        self.assertGreater(sent, 4 * clients.MAX_READ_BYTES)
        self.assertLessEqual(
            server_side.connection.queued_buffers, slow_clients.MAX_UNSENT_ANSWERS + calls_per_read
        )

    def test_beyond_the_total_limit_the_client_that_read_nothing_for_longest_is_closed(self):
        rig, _, longest_unread = self.blocked()
        other = rig.client()
        rig.settle(other)
        rig.clients.remove(other)
        self.addCleanup(other.sock.close)
        other_server_side = self.server_side(rig, other)
        limit = longest_unread.connection.unwritten_bytes * 3 // 2
        with mock.patch.object(rig.front.client_port.slow_clients, "max_unsent_bytes", limit):
            other_server_side.connection.write(UNREAD_ANSWER)
            rig.front.loop.run_iteration(0.0)
        self.assertTrue(longest_unread.connection.closed)
        self.assertFalse(other_server_side.connection.closed)

    def test_a_client_that_disconnects_with_unread_answers_is_freed(self):
        rig, client, server_side = self.blocked()
        client.sock.close()
        rig.until(lambda: server_side.connection.closed, "the connection ends")
        self.assertEqual(list(rig.front.client_port.clients), [])


if __name__ == "__main__":
    unittest.main()
