"""Connections closed by the front end.

A request that was read completely is answered. A request that crosses the close is never sent to a scorer.
"""

import socket
import unittest
from unittest import mock

from peers import ScorerPeer
from support.client_cases import Case, arrived_requests, call_frame

from fawnwharf.net import client_port, client_timeouts, clients, event_loop


class UnreadAtTheClose(Case):
    """A complete request is unread on a connection that is about to be closed."""

    def idle(self):
        """Return a rig and a client that has sent a request before and is idle now."""
        self.scorer = ScorerPeer()
        rig = self.rig(self.scorer)
        client = rig.client()
        rig.settle(client)
        return rig, client

    def check_served(self, rig, client, count=1):
        """Answer each run, and check that the client receives all answers on an open connection."""
        answered = []

        def all_answered():
            for run in self.scorer.runs[len(answered) :]:
                answered.append(run)
                self.scorer.answer(run)
            return len(client.answers) == count + 1

        rig.until(all_answered, "all requests are answered")
        self.assertEqual(set(client.kinds().values()), {"answer"})
        self.assertFalse(client.ended)

    def test_closed_by_the_idle_timeout(self):
        rig, client = self.idle()
        client.call()
        with mock.patch.object(client_port, "IDLE_TIMEOUT_MS", -1.0):
            rig.front.client_port.run_maintenance()
        self.check_served(rig, client)

    def test_closed_by_the_idle_timeout_after_its_socket_was_deferred(self):
        rig, client = self.idle()
        server_side = self.server_side(rig, client)
        client.call()
        with (
            mock.patch.object(event_loop.EventLoop, "_event_limit", return_value=0),
            mock.patch.object(client_port, "IDLE_TIMEOUT_MS", -1.0),
        ):
            rig.front.loop.run_iteration(0.0)
            self.assertTrue(rig.front.loop.was_deferred(server_side.connection._sock))
            rig.front.client_port.run_maintenance()
        self.assertTrue(server_side.open)
        self.check_served(rig, client)

    def test_closed_with_all_idle_connections(self):
        rig, client = self.idle()
        client.call()
        rig.front.client_port.end_idle()
        self.check_served(rig, client)

    def test_closed_to_make_capacity(self):
        rig, client = self.idle()
        client.call()
        rig.front.client_port.max_connections = 1
        rig.front.client_port._idle_releaser.release_some(rig.front.client_port.max_connections)
        self.check_served(rig, client)

    def test_closed_with_more_unread_bytes_than_a_release_reads(self):
        rig, client = self.idle()
        client.sock.setblocking(True)
        client.sock.sendall(b"".join(call_frame(n, pad="x" * 4000) for n in range(1, 31)))
        client.sock.setblocking(False)
        rig.front.client_port.end_idle()
        self.check_served(rig, client, 30)

    def test_the_rest_of_an_overdue_partial_request_is_unread(self):
        rig, client = self.idle()
        data = call_frame(1)
        client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client.sock.sendall(data[:50])
        server_side = self.server_side(rig, client)
        rig.until(lambda: server_side.has_partial_message, "the first part is read")
        client.sock.sendall(data[50:])
        with mock.patch.object(client_timeouts, "MESSAGE_TIMEOUT_MS", -1.0):
            rig.front.client_port.run_maintenance()
        self.check_served(rig, client)

    def test_while_reading_is_paused_nothing_is_read_or_closed(self):
        rig, client = self.idle()
        rig.front.client_port.set_paused(True)
        client.call()
        with (
            mock.patch.object(client_port, "IDLE_TIMEOUT_MS", -1.0),
            mock.patch.object(client_timeouts, "MESSAGE_TIMEOUT_MS", -1.0),
        ):
            rig.front.client_port.run_maintenance()
        rig.front.client_port.end_idle()
        self.assertEqual(rig.front.requests.open, {})
        self.assertFalse(self.server_side(rig, client).connection.finishing)
        rig.front.client_port.set_paused(False)
        self.check_served(rig, client)


class Linger(Case):
    def released(self):
        """Return a rig, an idle client and its server side, which the front end has just begun to close."""
        rig = self.rig(ScorerPeer())
        client = rig.client()
        rig.settle(client)
        server_side = self.server_side(rig, client)
        rig.front.client_port.end_idle()
        self.assertTrue(server_side.connection.finishing)
        return rig, client, server_side

    def test_a_request_that_crosses_the_close_gets_an_orderly_end_and_is_never_sent(self):
        rig, client, server_side = self.released()
        client.call()
        rig.until(lambda: server_side.connection.closed, "the linger time has passed")
        self.assertEqual(arrived_requests(self), [])
        self.assertEqual(client.sock.recv(1) if not client.ended else b"", b"")  # no reset

    def test_an_unread_answer_is_not_lost_when_a_request_crosses_the_close(self):
        rig = self.rig(ScorerPeer())
        client = rig.client()
        client.status(1)
        server_side = None
        while server_side is None or not server_side.has_sent:
            rig.front.loop.run_iteration(0.01)  # the client does not read meanwhile
            server_side = self.server_side(rig, client)
        rig.front.loop.run_iteration(0.0)
        rig.front.client_port.end_idle()
        client.call()
        while not server_side.connection.closed:
            rig.front.loop.run_iteration(0.01)
        rig.until(lambda: client.ended, "the client reads the end of the connection")
        self.assertEqual(client.kinds(), {1: "answer"})

    def test_it_lasts_longer_than_a_clients_retry_delay(self):
        rig, _, server_side = self.released()
        closed = []
        # Timers that are late together are called in the order in which they were due.
        rig.front.loop.timers.after(50.0, lambda: closed.append(server_side.connection.closed))
        rig.until(lambda: closed, "the client's retry delay has passed")
        self.assertEqual(closed, [False])

    def test_it_ends_early_if_the_client_closes(self):
        with mock.patch.object(clients, "IDLE_LINGER_MS", 60_000.0):
            rig, client, server_side = self.released()
        client.sock.close()
        client.ended = True
        rig.front.loop.run_iteration(1.0)
        self.assertTrue(server_side.connection.closed)

    def test_bytes_received_meanwhile_are_discarded(self):
        with mock.patch.object(clients, "IDLE_LINGER_MS", 60_000.0):
            rig, client, server_side = self.released()
        for _ in range(50):
            client.sock.send(call_frame(1) * 20)
            rig.front.loop.run_iteration(0.0)
        self.assertEqual(server_side.state(), (b"", 0))
        self.assertEqual((arrived_requests(self), server_side.connection.unwritten_bytes), ([], 0))


class Capacity(Case):
    """Which connections are closed to make capacity for new ones."""

    def test_a_connection_with_an_open_or_recent_partial_request_is_not_closed(self):
        rig = self.rig(ScorerPeer(copies=None))
        busy, partial, idle = rig.client(), rig.client(), rig.client()
        for client in (busy, partial, idle):
            rig.settle(client)
        self.open_request(rig, busy)
        partial.sock.sendall(call_frame(1)[:60])
        rig.until(lambda: self.server_side(rig, partial).has_partial_message, "a part is read")
        rig.front.client_port.max_connections = 6  # up to three are closed at a time
        with mock.patch.object(client_timeouts, "PARTIAL_MESSAGE_MS", 60_000.0):
            rig.front.client_port._idle_releaser.release_some(rig.front.client_port.max_connections)
            rig.front.client_port._idle_releaser.release_some(rig.front.client_port.max_connections)
        finishing = [self.server_side(rig, c).connection.finishing for c in (busy, partial, idle)]
        self.assertEqual(finishing, [False, False, True])

    def test_a_new_connection_is_not_closed(self):
        rig = self.rig(ScorerPeer())
        client, idle = rig.client(), rig.client()
        rig.settle(idle)
        rig.front.client_port.max_connections = 6
        with mock.patch.object(client_timeouts, "MIN_SILENT_MS", 60_000.0):
            rig.front.client_port._idle_releaser.release_some(rig.front.client_port.max_connections)
        finishing = [self.server_side(rig, c).connection.finishing for c in (client, idle)]
        self.assertEqual(finishing, [False, True])

    def test_a_connection_with_a_stalled_partial_message_is_closed_last(self):
        rig = self.rig(ScorerPeer())
        partial, idle = rig.client(), rig.client()
        partial.sock.sendall(call_frame(1)[:60])
        rig.settle(idle)
        rig.until(lambda: self.server_side(rig, partial).has_partial_message, "a part is read")
        with mock.patch.object(client_timeouts, "PARTIAL_MESSAGE_MS", -1.0):
            by_idleness = [client for client, _ in rig.front.client_port._idle_releaser._by_idleness()]
        self.assertEqual(by_idleness, [self.server_side(rig, idle), self.server_side(rig, partial)])

    def check_served_during_flood(self, first_bytes):
        """Open many connections that send only `first_bytes`, and check that a good request is served."""
        scorer = ScorerPeer()
        rig = self.rig(scorer, limits={"sockets": 32})
        flood = [socket.create_connection(rig.front.address) for _ in range(150)]
        for sock in flood:
            self.addCleanup(sock.close)
            sock.sendall(first_bytes)
        good = rig.client()
        good.call()
        for sock in [socket.create_connection(rig.front.address) for _ in range(150)]:
            self.addCleanup(sock.close)
            sock.sendall(first_bytes)
        rig.until(lambda: scorer.runs, "the good client's request runs")
        scorer.answer(scorer.runs[0])
        rig.until(lambda: good.answers, "the good client's request is answered")
        self.assertEqual(good.kinds(), {1: "answer"})

    def test_a_request_is_served_during_a_flood_of_silent_connections(self):
        self.check_served_during_flood(b"")

    def test_a_request_is_served_during_a_flood_of_partial_requests(self):
        self.check_served_during_flood(call_frame(1)[:60])


class BadBytesAmidRequests(Case):
    """One read has complete requests before and after bytes without a readable sequence number."""

    BAD = b"\x00\x00\x00\x04GET "

    def test_each_complete_request_has_one_answer(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client = rig.client()
        client.sock.sendall(call_frame(1) + self.BAD + call_frame(2) + call_frame(3))
        rig.until(lambda: client.ended, "the connection ends")
        self.assertEqual([answer[:2] for answer in client.answers], [(n, "broken") for n in (1, 2, 3)])
        self.assertEqual((rig.front.requests.open, scorer.runs, arrived_requests(self)), ({}, [], []))

    def test_a_reused_open_sequence_number_fails_that_request_once_and_those_after_it(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        client.sock.sendall(call_frame(5) + call_frame(5) + call_frame(6) + call_frame(6))
        rig.until(lambda: client.ended, "the connection ends")
        self.assertEqual(sorted(answer[:2] for answer in client.answers), [(5, "broken"), (6, "broken")])

    def test_a_request_withdrawn_after_the_bad_bytes_gets_no_answer(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        key = self.open_request(rig, client)
        client.sock.sendall(self.BAD)
        client.withdraw(1)
        rig.until(lambda: client.ended, "the connection ends")
        self.assertNotIn(key, rig.front.requests.open)
        self.assertEqual(client.answers, [])

    def test_an_internal_error_fails_all_completely_read_requests(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        self.open_request(rig, client)
        with mock.patch.object(clients, "call_from", side_effect=KeyError("boom")):
            client.sock.sendall(call_frame(2) + call_frame(3))
            rig.until(lambda: client.ended, "the connection ends")
        self.assertEqual(client.kinds(), dict.fromkeys((1, 2, 3), "broken"))

    def test_requests_of_other_clients_are_not_affected(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        bad, good = rig.client(), rig.client()
        self.open_request(rig, good)
        bad.sock.sendall(call_frame(1) + self.BAD)
        rig.until(lambda: bad.ended and scorer.runs, "the bad connection ends and the good request runs")
        scorer.answer(scorer.runs[0])
        rig.until(lambda: good.answers, "the good request is answered")
        self.assertEqual(good.kinds(), {1: "answer"})


if __name__ == "__main__":
    unittest.main()
