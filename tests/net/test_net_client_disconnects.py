"""Clients that have gone: nothing is begun for them, wherever the end of their connection lies."""

import socket
import unittest
from unittest import mock

from peers import ScorerPeer
from support.client_cases import Case, arrivals, call_frame, given_up, junk_statuses, wait

from fawnwharf import interface as io
from fawnwharf.net import clients, connection, event_loop, scorer_frames, slow_clients
from fawnwharf.net.front_end import scorer_number


class BehindUnreadBytes(Case):
    """The client's end can't be read yet, and a send for one of its requests comes due."""

    def no_send(self, rig, key, scorer):
        rig.front.requests.send(io.Send(key, scorer_number("s-1")))
        self.assertNotIn(key, rig.front.requests.open)
        wait(rig, 100.0)
        self.assertEqual(scorer.runs, [])
        self.assertEqual([event.request for event in self.told(io.RequestCancelled)], [key])
        [ended] = self.told(io.AttemptEnded)
        self.assertEqual((ended.request, ended.result), (key, io.AttemptResult.NOT_SENT))

    def test_a_send_for_a_client_that_left_while_reading_was_paused_is_not_made(self):
        scorer = ScorerPeer(copies=None)
        rig = self.rig(scorer)
        client = rig.client()
        key = self.asked(rig, client)
        with mock.patch.object(slow_clients, "SCAN_MS", 60_000.0):
            rig.front.client_port.set_paused(True)
            client.sock.sendall(call_frame(2))
            client.sock.close()
            client.ended = True
            rig.front.loop.run_iteration(0.0)
            self.assertIn(key, rig.front.requests.open)  # no read has shown the end
            self.no_send(rig, key, scorer)
        self.assertEqual(len(arrivals(self)), 1)

    def test_a_send_for_a_client_that_the_gathering_left_behind_is_not_made(self):
        scorer = ScorerPeer(copies=None)
        rig = self.rig(scorer)
        first, left = rig.client(), rig.client()
        self.asked(rig, first)
        key = self.asked(rig, left)
        descriptor = self.served(rig, first).connection._sock.fileno()
        first.call()
        left.sock.close()
        left.ended = True
        with (
            mock.patch.object(event_loop, "MAX_EVENTS", 1),
            mock.patch.object(event_loop, "STALL_THRESHOLD_MS", 60_000.0),  # as if never held up
        ):
            rig.front.loop._deferred = {descriptor}  # so it is read before the one that left
            rig.front.loop.run_iteration(0.0)
        self.assertIn(key, rig.front.requests.open)
        self.no_send(rig, key, scorer)

    def test_a_request_behind_which_the_client_left_long_ago_is_not_begun(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client = rig.client()
        rig.settle(client)
        client.sock.setblocking(True)
        client.sock.sendall(call_frame(1) + junk_statuses(64 * 1024))  # four reads
        client.sock.close()
        client.ended = True
        rig.until(lambda: not rig.front.client_port.clients, "the connection has ended")
        self.assertEqual(arrivals(self), [])
        self.assertEqual(scorer.frames, [])

    def test_requests_that_are_read_after_the_end_was_seen_are_not_begun(self):
        scorer = ScorerPeer(copies=None)
        rig = self.rig(scorer)
        client = rig.client()
        self.asked(rig, client)
        rig.front.client_port.set_paused(True)
        client.sock.sendall(call_frame(2) + call_frame(3))
        client.sock.shutdown(socket.SHUT_WR)
        rig.until(lambda: not rig.front.requests.open, "the first one is withdrawn")
        rig.front.client_port.set_paused(False)
        rig.until(lambda: client.ended, "the connection has ended")
        self.assertEqual(client.kinds(), dict.fromkeys((1, 2, 3), "broken"))
        self.assertEqual(len(arrivals(self)), 1)


class NotRead(Case):
    """Reading is off, so no read can show the end, and nothing comes due either."""

    def test_a_client_that_leaves_while_reading_is_paused_is_found_gone(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        key = self.asked(rig, client)
        rig.front.client_port.set_paused(True)
        client.sock.sendall(call_frame(2))
        client.sock.close()
        client.ended = True
        rig.until(lambda: not rig.front.requests.open, "its request is withdrawn")
        rig.until(lambda: self.told(io.RequestCancelled), "the module hears of it")
        self.assertEqual([event.request for event in self.told(io.RequestCancelled)], [key])

    def test_a_client_that_stays_while_reading_is_paused_keeps_its_request(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        key = self.asked(rig, client)
        rig.front.client_port.set_paused(True)
        client.sock.sendall(call_frame(2))
        wait(rig, 3 * slow_clients.SCAN_MS)
        self.assertEqual(list(rig.front.requests.open), [key])
        rig.front.client_port.set_paused(False)
        rig.until(lambda: len(rig.front.requests.open) == 2, "what lay unread is read")

    def test_a_client_that_reads_no_answers_and_leaves_is_found_gone(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        self.asked(rig, client)
        served = self.served(rig, client)
        served._write(b"x" * 7_000_000)
        rig.front.loop.run_iteration(0.0)
        self.assertFalse(served.connection.reads)
        client.sock.shutdown(socket.SHUT_WR)
        while rig.front.requests.open:
            rig.front.loop.run_iteration(0.05)  # the client reads nothing meanwhile
        self.assertTrue(served.output_ended)  # rather than the request's time over
        self.assertFalse(served.connection.closed)  # it may still read what it is owed

    def test_where_the_system_can_not_tell_the_end_nothing_is_withdrawn(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        key = self.asked(rig, client)
        rig.front.client_port.set_paused(True)
        client.sock.shutdown(socket.SHUT_WR)
        with mock.patch("select.poll", side_effect=OSError(38, "not there")):
            wait(rig, 3 * slow_clients.SCAN_MS)
            self.assertEqual(list(rig.front.requests.open), [key])


class InTheSameTurn(Case):
    """What would have a request sent comes together with the client's end."""

    def leaves(self, rig, client, scorer, answer):
        """The client leaves as the scorer answers; one turn sees both."""
        answer()
        client.sock.close()
        client.ended = True
        runs = len(scorer.runs)
        rig.until(
            lambda: self.told(io.RequestCancelled) or not rig.front.client_port.clients, "its end is seen"
        )
        wait(rig, 100.0)
        scorer.pump()
        self.assertEqual(len(scorer.runs), runs)
        self.assertEqual(rig.front.requests.open, {})

    def test_an_answer_that_has_a_request_tried_again_comes_with_the_end(self):
        for code in (scorer_frames.MISS, scorer_frames.FULL, scorer_frames.ERROR):
            with self.subTest(code=code):
                scorer = ScorerPeer()
                rig = self.rig(scorer)
                client = rig.client()
                self.asked(rig, client)
                rig.until(lambda scorer=scorer: scorer.runs, "it runs")
                answer = lambda scorer=scorer, code=code: scorer.answer(scorer.runs[0], code, "")  # noqa: E731
                self.leaves(rig, client, scorer, answer)

    def test_a_copy_for_which_a_request_was_held_comes_with_the_end(self):
        scorer = ScorerPeer(copies=None)
        rig = self.rig(scorer)
        client = rig.client()
        self.asked(rig, client)
        rig.until(lambda: scorer.of(scorer_frames.LOAD), "a copy is asked for")

        def answer():
            for order in scorer.of(scorer_frames.LOAD):
                scorer.answer(order, 0, "slots_up=4")

        self.leaves(rig, client, scorer, answer)

    def test_a_link_that_ends_comes_with_the_end(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client = rig.client()
        self.asked(rig, client)
        rig.until(lambda: scorer.runs, "it runs")

        def answer():
            for link in scorer.links:
                link.sock.close()
                link.ended = True
            scorer.links.clear()

        self.leaves(rig, client, scorer, answer)

    def test_an_end_within_a_long_turn_is_seen_before_a_send(self):
        scorer = ScorerPeer(copies=None)
        rig = self.rig(scorer)
        client = rig.client()
        key = self.asked(rig, client)
        client.sock.close()
        client.ended = True
        rig.front.loop.iteration_ms -= 2 * connection.FRESH_MS  # the turn has run for so long by now
        rig.front.requests.send(io.Send(key, scorer_number("s-1")))
        self.assertNotIn(key, rig.front.requests.open)
        wait(rig, 50.0)
        self.assertEqual(scorer.runs, [])

    def test_an_end_right_behind_a_request_that_lay_unread_for_long_is_seen_at_once(self):
        rig = self.rig(ScorerPeer())
        client = rig.client()
        rig.settle(client)
        client.sock.sendall(call_frame(1))
        client.sock.close()
        client.ended = True
        age_ms = 2 * connection.FRESH_MS
        with mock.patch.object(connection.Connection, "_age", return_value=age_ms):
            rig.until(lambda: not rig.front.client_port.clients, "the connection has ended")
        self.assertEqual(arrivals(self), [])

    def test_on_the_ordinary_way_nothing_is_asked_of_the_system(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client = rig.client()
        with (
            mock.patch.object(connection, "FRESH_MS", 60_000.0),  # however busy the machine is
            mock.patch("select.poll") as poll,
        ):
            client.call()
            rig.until(lambda: scorer.runs, "it runs")
            scorer.answer(scorer.runs[0])
            rig.until(lambda: client.answers, "it is answered")
        poll.assert_not_called()


class ReadForLong(Case):
    def test_an_end_behind_more_than_some_turns_read_is_found_by_the_look(self):
        rig = self.rig(ScorerPeer(copies=None))
        with mock.patch.object(clients, "MAX_READ_BYTES", 8):  # so that the rest takes thousands of turns
            client = rig.client()
            self.asked(rig, client)
            served = self.served(rig, client)
        client.sock.setblocking(True)
        client.sock.sendall(junk_statuses(256 * 1024))
        client.sock.shutdown(socket.SHUT_WR)  # a close with answers unread would reset it
        client.sock.setblocking(False)
        rig.until(lambda: not rig.front.requests.open, "its request is withdrawn")
        self.assertTrue(served.output_ended)
        self.assertTrue(served.connection.unread())  # and the end is not read yet


class HalfClose(Case):
    def test_a_client_that_ends_its_output_gets_its_one_answer_and_then_the_end(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client = rig.client()
        client.call()
        rig.until(lambda: scorer.runs, "it runs")
        client.call(seqid=2, row="0000000000000002")
        client.sock.shutdown(socket.SHUT_WR)
        rig.until(lambda: client.ended and given_up(scorer), "it has ended, and the run is given up")
        self.assertEqual([answer[:2] for answer in client.answers], [(1, "broken"), (2, "broken")])
        self.assertEqual((rig.front.requests.open, list(rig.front.client_port.clients)), ({}, []))

    def test_answers_that_were_on_their_way_are_written_whole_first(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client = rig.client()
        self.asked(rig, client)
        served, filler = self.served(rig, client), b"x" * 7_000_000
        served._write(filler)
        rig.front.loop.run_iteration(0.0)
        self.assertTrue(served.connection.waiting_bytes)
        client.sock.shutdown(socket.SHUT_WR)
        rig.until(lambda: rig.clients.clear() or not rig.front.requests.open, "its end is seen")
        got = bytearray()
        while chunk := self.read(rig, client):
            got += chunk
        client.data = got[len(filler) :]
        client.ended = True
        client.pump()
        self.assertEqual(got[: len(filler)], filler)
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
        served = self.served(rig, client)
        client.sock.shutdown(socket.SHUT_WR)
        rig.front.loop.run_iteration(1.0)
        self.assertTrue(served.connection.closed)


class OrderOfATurn(Case):
    def test_a_withdrawal_is_read_before_a_crowd_of_new_requests(self):
        rig = self.rig(ScorerPeer(copies=None))
        client, crowd = rig.client(), [rig.client() for _ in range(12)]
        key = self.asked(rig, client)
        for peer in crowd:
            rig.settle(peer)
        for number, peer in enumerate(crowd):
            peer.call(call=f"{number + 2:016x}")
        client.withdraw(1)
        with mock.patch.object(event_loop, "MAX_EVENTS", 2):
            crowd_fds = {self.served(rig, peer).connection._sock.fileno() for peer in crowd}
            rig.front.loop._deferred = crowd_fds  # all of these were left behind
            rig.front.loop.run_iteration(0.0)
        self.assertNotIn(key, rig.front.requests.open)

    def test_a_connection_that_is_read_on_after_a_pause_keeps_its_place_in_the_order(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        self.asked(rig, client)
        priorities = event_loop.ReadPriority
        for priority, first in ((priorities.FIRST, True), (priorities.ACTIVE, False)):
            sock = socket.socketpair()
            sock[0].setblocking(False)
            self.addCleanup(sock[1].close)
            order = connection.serve_first if first else None
            here = connection.Connection(rig.front.loop, sock[0], mock.Mock(), order=order)
            self.addCleanup(here.close, connection.EndReason.STOPPED)
            here.set_reading(False)
            here.set_reading(True)
            self.assertEqual(rig.front.loop._priority(sock[0].fileno()), priority)

    def test_new_requests_have_their_part_of_each_turn(self):
        rig = self.rig(ScorerPeer(copies=None))
        known, new = [rig.client() for _ in range(6)], rig.client()
        rig.settle(new)
        for peer in known:
            self.asked(rig, peer)
        for peer in known:
            peer.call()
        new.call()
        with mock.patch.object(event_loop, "MAX_EVENTS", 2):
            rig.front.loop.run_iteration(0.0)
        self.assertTrue(self.served(rig, new).open)


if __name__ == "__main__":
    unittest.main()
