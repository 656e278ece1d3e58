"""Connections that the front end closes: what was read whole is answered, what crosses is never sent on."""

import socket
import unittest
from unittest import mock

from peers import ScorerPeer
from support.client_cases import Case, arrivals, call_frame

from fawnwharf.net import client_port, clients, event_loop


class UnreadAtTheClose(Case):
    """A request that came whole lies unread on a connection which is chosen for closing."""

    def idle(self):
        """A rig with a client that has asked before and is idle now."""
        self.scorer = ScorerPeer()
        rig = self.rig(self.scorer)
        client = rig.client()
        rig.settle(client)
        return rig, client

    def is_served(self, rig, client, count=1):
        answered = []

        def all_answered():
            for run in self.scorer.runs[len(answered) :]:
                answered.append(run)
                self.scorer.answer(run)
            return len(client.answers) == count + 1

        rig.until(all_answered, "it is answered")
        self.assertEqual(set(client.kinds().values()), {"answer"})
        self.assertFalse(client.ended)

    def test_by_the_look_after_idle_ones(self):
        rig, client = self.idle()
        client.call()
        with mock.patch.object(client_port, "IDLE_TIMEOUT_MS", -1.0):
            rig.front.client_port.run_maintenance()
        self.is_served(rig, client)

    def test_by_the_look_where_the_gathering_ended_before_it(self):
        rig, client = self.idle()
        served = self.served(rig, client)
        client.call()
        with (
            mock.patch.object(event_loop.EventLoop, "_event_limit", return_value=0),
            mock.patch.object(client_port, "IDLE_TIMEOUT_MS", -1.0),
        ):
            rig.front.loop.run_iteration(0.0)
            self.assertTrue(rig.front.loop.was_deferred(served.connection._sock))
            rig.front.client_port.run_maintenance()
        self.assertTrue(served.open)
        self.is_served(rig, client)

    def test_by_the_end_of_all_idle_ones(self):
        rig, client = self.idle()
        client.call()
        rig.front.client_port.end_idle()
        self.is_served(rig, client)

    def test_by_one_that_needs_room(self):
        rig, client = self.idle()
        client.call()
        rig.front.client_port.max_connections = 1
        rig.front.client_port._idle_releaser.release_some(rig.front.client_port.max_connections)
        self.is_served(rig, client)

    def test_with_more_unread_than_a_release_reads(self):
        rig, client = self.idle()
        client.sock.setblocking(True)
        client.sock.sendall(b"".join(call_frame(n, pad="x" * 4000) for n in range(1, 31)))
        client.sock.setblocking(False)
        rig.front.client_port.end_idle()
        self.is_served(rig, client, 30)

    def test_the_rest_of_a_request_that_began_too_long_ago(self):
        rig, client = self.idle()
        data = call_frame(1)
        client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client.sock.sendall(data[:50])
        served = self.served(rig, client)
        rig.until(lambda: served.has_partial_message, "it has begun")
        client.sock.sendall(data[50:])
        with mock.patch.object(clients, "MESSAGE_TIMEOUT_MS", -1.0):
            rig.front.client_port.run_maintenance()
        self.is_served(rig, client)

    def test_while_what_lies_unread_is_for_another_process_nothing_is_read_or_closed(self):
        rig, client = self.idle()
        rig.front.client_port.set_paused(True)
        client.call()
        with (
            mock.patch.object(client_port, "IDLE_TIMEOUT_MS", -1.0),
            mock.patch.object(clients, "MESSAGE_TIMEOUT_MS", -1.0),
        ):
            rig.front.client_port.run_maintenance()
        rig.front.client_port.end_idle()
        self.assertEqual(rig.front.requests.open, {})
        self.assertFalse(self.served(rig, client).connection.finishing)
        rig.front.client_port.set_paused(False)
        self.is_served(rig, client)


class Linger(Case):
    def released(self):
        """A rig, an idle client, and the front end's side of it, which has just begun to end."""
        rig = self.rig(ScorerPeer())
        client = rig.client()
        rig.settle(client)
        served = self.served(rig, client)
        rig.front.client_port.end_idle()
        self.assertTrue(served.connection.finishing)
        return rig, client, served

    def test_a_request_that_crosses_the_close_gets_an_orderly_end_and_is_never_sent_on(self):
        rig, client, served = self.released()
        client.call()
        rig.until(lambda: served.connection.closed, "the linger is over")
        self.assertEqual(arrivals(self), [])
        self.assertEqual(client.sock.recv(1) if not client.ended else b"", b"")  # no reset

    def test_an_answer_that_was_not_read_yet_outlives_a_request_that_crosses_the_close(self):
        rig = self.rig(ScorerPeer())
        client = rig.client()
        client.status(1)
        served = None
        while served is None or not served.has_sent:
            rig.front.loop.run_iteration(0.01)  # the client does not read meanwhile
            served = self.served(rig, client)
        rig.front.loop.run_iteration(0.0)
        rig.front.client_port.end_idle()
        client.call()
        while not served.connection.closed:
            rig.front.loop.run_iteration(0.01)
        rig.until(lambda: client.ended, "the end is read")
        self.assertEqual(client.kinds(), {1: "answer"})

    def test_it_lasts_for_longer_than_a_client_sends_again_what_crossed_the_close(self):
        rig, _, served = self.released()
        closed = []
        # Timers that are late together are called in their order.
        rig.front.loop.timers.after(50.0, lambda: closed.append(served.connection.closed))
        rig.until(lambda: closed, "that time is over")
        self.assertEqual(closed, [False])

    def test_it_ends_early_where_the_client_ends_too(self):
        with mock.patch.object(clients, "IDLE_LINGER_MS", 60_000.0):
            rig, client, served = self.released()
        client.sock.close()
        client.ended = True
        rig.front.loop.run_iteration(1.0)
        self.assertTrue(served.connection.closed)

    def test_what_comes_meanwhile_is_not_kept(self):
        with mock.patch.object(clients, "IDLE_LINGER_MS", 60_000.0):
            rig, client, served = self.released()
        for _ in range(50):
            client.sock.send(call_frame(1) * 20)
            rig.front.loop.run_iteration(0.0)
        self.assertEqual(served.state(), (b"", 0))
        self.assertEqual((arrivals(self), served.connection.waiting_bytes), ([], 0))


class Room(Case):
    def test_one_with_something_open_or_begun_of_late_is_not_ended(self):
        rig = self.rig(ScorerPeer(copies=None))
        asked, begun, idle = rig.client(), rig.client(), rig.client()
        for client in (asked, begun, idle):
            rig.settle(client)
        self.asked(rig, asked)
        begun.sock.sendall(call_frame(1)[:60])
        rig.until(lambda: self.served(rig, begun).has_partial_message, "one has begun")
        rig.front.client_port.max_connections = 6  # up to three are ended at a time
        with mock.patch.object(clients, "PARTIAL_MESSAGE_MS", 60_000.0):
            rig.front.client_port._idle_releaser.release_some(rig.front.client_port.max_connections)
            rig.front.client_port._idle_releaser.release_some(rig.front.client_port.max_connections)
        finishing = [self.served(rig, c).connection.finishing for c in (asked, begun, idle)]
        self.assertEqual(finishing, [False, False, True])

    def test_one_that_has_just_connected_is_spared(self):
        rig = self.rig(ScorerPeer())
        client, idle = rig.client(), rig.client()
        rig.settle(idle)
        rig.front.client_port.max_connections = 6
        with mock.patch.object(clients, "MIN_SILENT_MS", 60_000.0):
            rig.front.client_port._idle_releaser.release_some(rig.front.client_port.max_connections)
        finishing = [self.served(rig, c).connection.finishing for c in (client, idle)]
        self.assertEqual(finishing, [False, True])

    def test_one_that_stopped_within_a_message_is_ended_after_the_others(self):
        rig = self.rig(ScorerPeer())
        begun, idle = rig.client(), rig.client()
        begun.sock.sendall(call_frame(1)[:60])
        rig.settle(idle)
        rig.until(lambda: self.served(rig, begun).has_partial_message, "one has begun")
        with mock.patch.object(clients, "PARTIAL_MESSAGE_MS", -1.0):
            by_idleness = [client for client, _ in rig.front.client_port._idle_releaser._by_idleness()]
        self.assertEqual(by_idleness, [self.served(rig, idle), self.served(rig, begun)])

    def flood(self, first_bytes):
        scorer = ScorerPeer()
        rig = self.rig(scorer, limits={"sockets": 32})
        bad = [socket.create_connection(rig.front.address) for _ in range(150)]
        for sock in bad:
            self.addCleanup(sock.close)
            sock.sendall(first_bytes)
        good = rig.client()
        good.call()
        for sock in [socket.create_connection(rig.front.address) for _ in range(150)]:
            self.addCleanup(sock.close)
            sock.sendall(first_bytes)
        rig.until(lambda: scorer.runs, "the good client's request runs")
        scorer.answer(scorer.runs[0])
        rig.until(lambda: good.answers, "and is answered")
        self.assertEqual(good.kinds(), {1: "answer"})

    def test_a_flood_of_silent_connections_is_worked_off_and_a_good_request_served(self):
        self.flood(b"")

    def test_a_flood_of_half_written_requests_is_worked_off_and_a_good_request_served(self):
        self.flood(call_frame(1)[:60])


class BadBytesAmidRequests(Case):
    """One read brings whole requests before and after bytes that can't be numbered."""

    BAD = b"\x00\x00\x00\x04GET "

    def test_each_request_in_it_has_its_one_answer(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client = rig.client()
        client.sock.sendall(call_frame(1) + self.BAD + call_frame(2) + call_frame(3))
        rig.until(lambda: client.ended, "the connection ends")
        self.assertEqual([answer[:2] for answer in client.answers], [(n, "broken") for n in (1, 2, 3)])
        self.assertEqual((rig.front.requests.open, scorer.runs, arrivals(self)), ({}, [], []))

    def test_an_open_number_used_again_fails_that_request_once_and_those_after_it(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        client.sock.sendall(call_frame(5) + call_frame(5) + call_frame(6) + call_frame(6))
        rig.until(lambda: client.ended, "the connection ends")
        self.assertEqual(sorted(answer[:2] for answer in client.answers), [(5, "broken"), (6, "broken")])

    def test_one_withdrawn_after_the_bad_bytes_is_owed_nothing(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        key = self.asked(rig, client)
        client.sock.sendall(self.BAD)
        client.withdraw(1)
        rig.until(lambda: client.ended, "the connection ends")
        self.assertNotIn(key, rig.front.requests.open)
        self.assertEqual(client.answers, [])

    def test_a_fault_in_this_program_fails_what_was_read_whole(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        self.asked(rig, client)
        with mock.patch.object(clients, "call_from", side_effect=KeyError("boom")):
            client.sock.sendall(call_frame(2) + call_frame(3))
            rig.until(lambda: client.ended, "the connection ends")
        self.assertEqual(client.kinds(), dict.fromkeys((1, 2, 3), "broken"))

    def test_requests_of_others_are_left_alone(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        bad, good = rig.client(), rig.client()
        self.asked(rig, good)
        bad.sock.sendall(call_frame(1) + self.BAD)
        rig.until(lambda: bad.ended and scorer.runs, "one ends, one runs")
        scorer.answer(scorer.runs[0])
        rig.until(lambda: good.answers, "it is answered")
        self.assertEqual(good.kinds(), {1: "answer"})


if __name__ == "__main__":
    unittest.main()
