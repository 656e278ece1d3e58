"""Clients that have disconnected: no attempt is sent for them, even if the disconnect is not read yet."""

import socket
import unittest
from unittest import mock

from peers import ScorerPeer
from support.client_cases import Case, abandon_frames, arrived_requests, call_frame, status_frames, wait

from fawnwharf import interface as io
from fawnwharf.net import clients, connection, event_loop, scorer_frames, slow_clients
from fawnwharf.net.front_end import scorer_number


class BehindUnreadBytes(Case):
    """A disconnect that can't be read yet, while an attempt of the client's request has to be sent."""

    def check_not_sent(self, rig, key, scorer):
        rig.front.requests.send(io.Send(key, scorer_number("s-1")))
        self.assertNotIn(key, rig.front.requests.open)
        wait(rig, 100.0)
        self.assertEqual(scorer.runs, [])
        self.assertEqual([event.request for event in self.events_of(io.RequestCancelled)], [key])
        [ended] = self.events_of(io.AttemptEnded)
        self.assertEqual((ended.request, ended.result), (key, io.AttemptResult.NOT_SENT))

    def test_no_attempt_is_sent_for_a_client_that_disconnected_while_reading_was_paused(self):
        scorer = ScorerPeer(copies=None)
        rig = self.rig(scorer)
        client = rig.client()
        key = self.open_request(rig, client)
        with mock.patch.object(slow_clients, "SCAN_MS", 60_000.0):
            rig.front.client_port.set_paused(True)
            client.sock.sendall(call_frame(2))
            client.sock.close()
            client.ended = True
            rig.front.loop.run_iteration(0.0)
            self.assertIn(key, rig.front.requests.open)  # the disconnect is not read yet
            self.check_not_sent(rig, key, scorer)
        self.assertEqual(len(arrived_requests(self)), 1)

    def test_no_attempt_is_sent_for_a_client_whose_disconnect_was_deferred(self):
        scorer = ScorerPeer(copies=None)
        rig = self.rig(scorer)
        first, disconnected = rig.client(), rig.client()
        self.open_request(rig, first)
        key = self.open_request(rig, disconnected)
        descriptor = self.server_side(rig, first).connection._sock.fileno()
        first.call()
        disconnected.sock.close()
        disconnected.ended = True
        with (
            mock.patch.object(event_loop, "MAX_EVENTS", 1),
            mock.patch.object(event_loop, "STALL_THRESHOLD_MS", 60_000.0),  # no iteration counts as stalled
        ):
            rig.front.loop._deferred = {descriptor}  # read before the client that disconnected
            rig.front.loop.run_iteration(0.0)
        self.assertIn(key, rig.front.requests.open)
        self.check_not_sent(rig, key, scorer)

    def test_no_attempt_is_sent_for_a_request_with_a_disconnect_far_behind_it(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client = rig.client()
        rig.settle(client)
        client.sock.setblocking(True)
        client.sock.sendall(call_frame(1) + status_frames(64 * 1024))  # takes four reads
        client.sock.close()
        client.ended = True
        rig.until(lambda: not rig.front.client_port.clients, "the connection has ended")
        self.assertEqual(arrived_requests(self), [])
        self.assertEqual(scorer.frames, [])

    def test_no_attempt_is_sent_for_requests_read_after_the_end_was_detected(self):
        scorer = ScorerPeer(copies=None)
        rig = self.rig(scorer)
        client = rig.client()
        self.open_request(rig, client)
        rig.front.client_port.set_paused(True)
        client.sock.sendall(call_frame(2) + call_frame(3))
        client.sock.shutdown(socket.SHUT_WR)
        rig.until(lambda: not rig.front.requests.open, "the first one is withdrawn")
        rig.front.client_port.set_paused(False)
        rig.until(lambda: client.ended, "the connection has ended")
        self.assertEqual(client.kinds(), dict.fromkeys((1, 2, 3), "broken"))
        self.assertEqual(len(arrived_requests(self)), 1)


class NotRead(Case):
    """A disconnect while the client is not read and no attempt has to be sent."""

    def test_a_disconnect_while_reading_is_paused_is_detected(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        key = self.open_request(rig, client)
        rig.front.client_port.set_paused(True)
        client.sock.sendall(call_frame(2))
        client.sock.close()
        client.ended = True
        rig.until(lambda: not rig.front.requests.open, "its request is withdrawn")
        rig.until(lambda: self.events_of(io.RequestCancelled), "the router receives the withdrawal")
        self.assertEqual([event.request for event in self.events_of(io.RequestCancelled)], [key])

    def test_a_client_that_stays_while_reading_is_paused_keeps_its_request(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        key = self.open_request(rig, client)
        rig.front.client_port.set_paused(True)
        client.sock.sendall(call_frame(2))
        wait(rig, 3 * slow_clients.SCAN_MS)
        self.assertEqual(list(rig.front.requests.open), [key])
        rig.front.client_port.set_paused(False)
        rig.until(lambda: len(rig.front.requests.open) == 2, "the unread request is read")

    def test_a_disconnect_of_a_client_that_reads_no_answers_is_detected(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        self.open_request(rig, client)
        server_side = self.server_side(rig, client)
        server_side.connection.write(b"x" * 7_000_000)
        rig.front.loop.run_iteration(0.0)
        self.assertFalse(server_side.connection.reads)
        client.sock.shutdown(socket.SHUT_WR)
        while rig.front.requests.open:
            rig.front.loop.run_iteration(0.05)  # the client reads nothing meanwhile
        self.assertTrue(server_side.output_ended)  # so the request did not end by its deadline
        self.assertFalse(server_side.connection.closed)  # the client may still read its answers

    def test_nothing_is_withdrawn_if_the_system_cannot_report_the_end(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        key = self.open_request(rig, client)
        rig.front.client_port.set_paused(True)
        client.sock.shutdown(socket.SHUT_WR)
        with mock.patch("select.poll", side_effect=OSError(38, "not there")):
            wait(rig, 3 * slow_clients.SCAN_MS)
            self.assertEqual(list(rig.front.requests.open), [key])


class InTheSameIteration(Case):
    """The client disconnects in the iteration in which an event would cause an attempt of its request."""

    def check_disconnect_with(self, rig, client, scorer, answer):
        """Disconnect the client as the scorer answers, and check that nothing more is sent."""
        answer()
        client.sock.close()
        client.ended = True
        runs = len(scorer.runs)
        rig.until(
            lambda: self.events_of(io.RequestCancelled) or not rig.front.client_port.clients,
            "the disconnect is detected",
        )
        wait(rig, 100.0)
        scorer.pump()
        self.assertEqual(len(scorer.runs), runs)
        self.assertEqual(rig.front.requests.open, {})

    def test_an_answer_that_causes_a_retry_arrives_with_the_disconnect(self):
        for code in (scorer_frames.MISS, scorer_frames.FULL, scorer_frames.ERROR):
            with self.subTest(code=code):
                scorer = ScorerPeer()
                rig = self.rig(scorer)
                client = rig.client()
                self.open_request(rig, client)
                rig.until(lambda scorer=scorer: scorer.runs, "the request runs")
                answer = lambda scorer=scorer, code=code: scorer.answer(scorer.runs[0], code, "")  # noqa: E731
                self.check_disconnect_with(rig, client, scorer, answer)

    def test_an_answered_load_order_arrives_with_the_disconnect(self):
        scorer = ScorerPeer(copies=None)
        rig = self.rig(scorer)
        client = rig.client()
        self.open_request(rig, client)
        rig.until(lambda: scorer.of(scorer_frames.LOAD), "a load is ordered")

        def answer():
            for order in scorer.of(scorer_frames.LOAD):
                scorer.answer(order, 0, "slots_up=4")

        self.check_disconnect_with(rig, client, scorer, answer)

    def test_the_scorer_connection_ends_with_the_disconnect(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client = rig.client()
        self.open_request(rig, client)
        rig.until(lambda: scorer.runs, "the request runs")

        def close_connections():
            for link in scorer.links:
                link.sock.close()
                link.ended = True
            scorer.links.clear()

        self.check_disconnect_with(rig, client, scorer, close_connections)

    def test_a_disconnect_during_a_long_iteration_is_detected_before_a_send(self):
        scorer = ScorerPeer(copies=None)
        rig = self.rig(scorer)
        client = rig.client()
        key = self.open_request(rig, client)
        client.sock.close()
        client.ended = True
        # As if the iteration had begun earlier.
        rig.front.loop.iteration_ms -= 2 * connection.PEER_CHECK_AFTER_MS
        rig.front.requests.send(io.Send(key, scorer_number("s-1")))
        self.assertNotIn(key, rig.front.requests.open)
        wait(rig, 50.0)
        self.assertEqual(scorer.runs, [])

    def test_a_disconnect_right_behind_a_request_that_was_unread_for_long_is_detected_at_once(self):
        rig = self.rig(ScorerPeer())
        client = rig.client()
        rig.settle(client)
        client.sock.sendall(call_frame(1))
        client.sock.close()
        client.ended = True
        age_ms = 2 * connection.PEER_CHECK_AFTER_MS
        with mock.patch.object(connection.Connection, "_age", return_value=age_ms):
            rig.until(lambda: not rig.front.client_port.clients, "the connection has ended")
        self.assertEqual(arrived_requests(self), [])

    def test_a_normal_request_needs_no_extra_system_call(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client = rig.client()
        with (
            mock.patch.object(connection, "PEER_CHECK_AFTER_MS", 60_000.0),  # so that load does not matter
            mock.patch("select.poll") as poll,
        ):
            client.call()
            rig.until(lambda: scorer.runs, "the request runs")
            scorer.answer(scorer.runs[0])
            rig.until(lambda: client.answers, "the request is answered")
        poll.assert_not_called()


class ManyUnreadBytes(Case):
    def test_a_disconnect_behind_many_unread_bytes_is_detected_by_the_scan(self):
        rig = self.rig(ScorerPeer(copies=None))
        with mock.patch.object(
            clients, "MAX_READ_BYTES", 8
        ):  # reading the rest takes thousands of iterations
            client = rig.client()
            self.open_request(rig, client)
            server_side = self.server_side(rig, client)
        client.sock.setblocking(True)
        client.sock.sendall(status_frames(256 * 1024))
        client.sock.shutdown(socket.SHUT_WR)  # a close with unread answers would reset the connection
        client.sock.setblocking(False)
        rig.until(lambda: not rig.front.requests.open, "its request is withdrawn")
        self.assertTrue(server_side.output_ended)
        self.assertTrue(server_side.connection.unread())  # the end is not read yet


class HalfClose(Case):
    def test_a_client_that_ends_its_output_gets_its_one_answer_and_then_the_end(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client = rig.client()
        client.call()
        rig.until(lambda: scorer.runs, "the first request runs")
        client.call(seqid=2, row="0000000000000002")
        client.sock.shutdown(socket.SHUT_WR)
        rig.until(
            lambda: client.ended and abandon_frames(scorer),
            "the connection ends and the attempt is cancelled",
        )
        self.assertEqual([answer[:2] for answer in client.answers], [(1, "broken"), (2, "broken")])
        self.assertEqual((rig.front.requests.open, list(rig.front.client_port.clients)), ({}, []))

    def test_answers_that_were_queued_are_written_completely_first(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client = rig.client()
        self.open_request(rig, client)
        server_side, filler = self.server_side(rig, client), b"x" * 7_000_000
        server_side.connection.write(filler)
        rig.front.loop.run_iteration(0.0)
        self.assertTrue(server_side.connection.unwritten_bytes)
        client.sock.shutdown(socket.SHUT_WR)
        rig.until(lambda: rig.clients.clear() or not rig.front.requests.open, "the half-close is detected")
        received = bytearray()
        while chunk := self.read(rig, client):
            received += chunk
        client.data = received[len(filler) :]
        client.ended = True
        client.pump()
        self.assertEqual(received[: len(filler)], filler)
        self.assertEqual(client.kinds(), {1: "broken"})

    def read(self, rig, client):
        while True:
            rig.front.loop.run_iteration(0.0)
            try:
                return client.sock.recv(1 << 20)
            except BlockingIOError:
                continue

    def test_a_client_with_nothing_open_that_ends_is_closed_at_once(self):
        rig = self.rig(ScorerPeer())
        client = rig.client()
        rig.settle(client)
        server_side = self.server_side(rig, client)
        client.sock.shutdown(socket.SHUT_WR)
        rig.front.loop.run_iteration(1.0)
        self.assertTrue(server_side.connection.closed)


class ReadOrder(Case):
    def test_a_withdrawal_is_read_before_a_crowd_of_new_requests(self):
        rig = self.rig(ScorerPeer(copies=None))
        client, others = rig.client(), [rig.client() for _ in range(12)]
        key = self.open_request(rig, client)
        for peer in others:
            rig.settle(peer)
        for number, peer in enumerate(others):
            peer.call(call=f"{number + 2:016x}")
        client.withdraw(1)
        with mock.patch.object(event_loop, "MAX_EVENTS", 2):
            descriptors = {self.server_side(rig, peer).connection._sock.fileno() for peer in others}
            rig.front.loop._deferred = descriptors  # all of these were deferred
            rig.front.loop.run_iteration(0.0)
        self.assertNotIn(key, rig.front.requests.open)

    def test_a_connection_keeps_its_priority_after_a_reading_pause(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        self.open_request(rig, client)
        priorities = event_loop.ReadPriority
        for priority, first in ((priorities.FIRST, True), (priorities.ACTIVE, False)):
            sock = socket.socketpair()
            sock[0].setblocking(False)
            self.addCleanup(sock[1].close)
            order = connection.first_priority if first else None
            paused = connection.Connection(rig.front.loop, sock[0], mock.Mock(), order=order)
            self.addCleanup(paused.close, connection.EndReason.STOPPED)
            paused.set_reading(False)
            paused.set_reading(True)
            self.assertEqual(rig.front.loop._priority(sock[0].fileno()), priority)

    def test_new_requests_have_their_share_of_each_iteration(self):
        rig = self.rig(ScorerPeer(copies=None))
        known, new = [rig.client() for _ in range(6)], rig.client()
        rig.settle(new)
        for peer in known:
            self.open_request(rig, peer)
        for peer in known:
            peer.call()
        new.call()
        with mock.patch.object(event_loop, "MAX_EVENTS", 2):
            rig.front.loop.run_iteration(0.0)
        self.assertTrue(self.server_side(rig, new).open)


if __name__ == "__main__":
    unittest.main()
