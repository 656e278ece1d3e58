"""When a frame may leave for a scorer, what time it passes on, and what becomes of one written in part."""

import unittest
from unittest import mock

from peers import ScorerPeer
from support.scorer_link_cases import BY_POOL, Case, attempt, order

from fawnwharf import interface as io
from fawnwharf.net import scorer_connection, timer_wheel
from fawnwharf.net.end_reasons import EndReason

WITHIN_MS = 100.0  # of a repeat, until its first byte must have left
BODY = b"x" * 500


class TimePassedOn(Case):
    def passed_on(self, scorer):
        [(_, frame)] = scorer.runs
        return int(frame.fields["ms"])

    def test_it_is_what_is_left_when_a_late_connection_is_up(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        _, key = self.asked(rig, ttl="8000")
        rig.front.requests.send(io.Send(key, BY_POOL))
        self.clock.advance(1_000.0)
        rig.until(lambda: scorer.runs, "the scorer receives the attempt")
        self.assertLessEqual(self.passed_on(scorer), 7_000)

    def test_it_is_what_is_left_when_a_blocked_link_takes_it(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        self.link_up(rig, scorer)
        blocked = self.block(scorer)
        _, key = self.asked(rig, ttl="8000")
        rig.front.requests.send(io.Send(key, BY_POOL))
        for _ in range(3):
            self.turn(rig)
            self.clock.advance(1_000.0)
        self.unblock(blocked)
        rig.until(lambda: scorer.runs, "the scorer receives the attempt")
        self.assertLessEqual(self.passed_on(scorer), 5_000)

    def test_it_is_what_is_left_for_a_retry_that_waited_for_two_connections(self):
        first, second = ScorerPeer(), ScorerPeer()
        rig = self.rig(first, second)
        _, key = self.asked(rig, ttl="8000")
        rig.front.requests.send(io.Send(key, BY_POOL))
        rig.until(lambda: first.runs, "the scorer receives the attempt")
        first.answer(first.runs[0], 3, "")
        rig.until(lambda: self.endings(), "the answer FULL arrives")
        self.clock.advance(1_000.0)
        rig.front.requests.send(io.Send(key, BY_POOL + 1))
        self.clock.advance(1_000.0)
        rig.until(lambda: second.runs, "the scorer receives the attempt")
        self.assertLessEqual(self.passed_on(second), 6_000)

    def test_bytes_that_wait_are_counted_as_they_are(self):
        scorer, ended = ScorerPeer(copies=None), []
        rig = self.rig(scorer)
        link = self.link_up(rig, scorer)
        blocked = self.block(scorer)
        streams = [attempt(BY_POOL, ended, id=b"%08d" % n, body=BODY) for n in range(3)]
        for stream in streams:
            rig.front.scorer_pool.send(stream)
        rig.front.scorer_pool.start_load(order(BY_POOL, ended))
        self.assertGreaterEqual(link.connection.waiting_bytes, 3 * len(BODY))
        self.turn(rig)
        self.assertEqual(link.connection.waiting_bytes, sum(piece.size for piece in link.connection._outbox))
        rig.front.scorer_pool.cancel(streams[1])
        self.unblock(blocked)
        rig.until(lambda: len(scorer.frames) == 3, "the other frames are written")
        self.assertEqual(link.connection.waiting_bytes, 0)


class TooLate(Case):
    """A deadline or the span of a repeat runs out before the first byte has left."""

    def sent(self, rig, **more):
        _, key = self.asked(rig)
        rig.front.requests.send(io.Send(key, BY_POOL, **more))
        return key

    def assert_never_sent(self, rig, scorer):
        rig.until(lambda: self.endings(), "the attempt ends")
        rig.settle(rig.client())
        self.assertEqual((self.endings(), scorer.frames), ([io.AttemptResult.NOT_SENT], []))

    def test_as_it_is_placed(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        self.link_up(rig, scorer)
        _, key = self.asked(rig)
        self.clock.advance(WITHIN_MS)
        rig.front.requests.send(io.Send(key, BY_POOL, WITHIN_MS))
        self.assertEqual(self.endings(), [io.AttemptResult.NOT_SENT])
        self.assert_never_sent(rig, scorer)

    def test_as_a_connection_comes_up(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        self.sent(rig, within_ms=WITHIN_MS)
        [link] = self.links(rig)
        self.clock.advance(WITHIN_MS)
        self.assertTrue(link.connection._sock.getpeername())  # it is up, and that is read first
        link.connection._ready(0)
        self.assertEqual(self.endings(), [io.AttemptResult.NOT_SENT])
        self.assert_never_sent(rig, scorer)

    def test_as_it_is_about_to_be_written(self):
        for more, span_ms in (({"within_ms": WITHIN_MS}, WITHIN_MS), ({}, 8_000.0)):
            with self.subTest(span_ms=span_ms):
                scorer = ScorerPeer()
                rig = self.rig(scorer)
                link = self.link_up(rig, scorer)
                self.sent(rig, **more)
                self.clock.advance(span_ms)
                link.connection.flush()  # before a timer has run
                self.assertEqual((self.endings(), link.streams), ([io.AttemptResult.NOT_SENT], {}))
                self.assertEqual(link.connection.waiting_bytes, 0)
                self.assert_never_sent(rig, scorer)

    def test_while_it_waits_on_a_blocked_link(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        self.link_up(rig, scorer)
        blocked = self.block(scorer)
        self.sent(rig, within_ms=WITHIN_MS)
        self.turn(rig)
        self.clock.advance(WITHIN_MS + 5.0)
        self.assert_never_sent(rig, scorer)
        self.unblock(blocked)
        rig.settle(rig.client())
        self.assertEqual(scorer.frames, [])

    def test_while_its_link_takes_nothing_at_all(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        link = self.link_up(rig, scorer)
        with mock.patch.object(link.connection, "flush"):  # the system never says that it can be written
            self.sent(rig, within_ms=WITHIN_MS)
            self.clock.advance(WITHIN_MS + 5.0)
            self.turn(rig, times=1)
            self.assertEqual((self.endings(), link.streams), ([io.AttemptResult.NOT_SENT], {}))
        self.assert_never_sent(rig, scorer)

    def test_as_its_link_ended_and_another_is_to_be_dialled(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        link = self.link_up(rig, scorer)
        self.sent(rig, within_ms=WITHIN_MS)
        self.clock.advance(WITHIN_MS)
        link.connection.close(EndReason.CLOSED_BY_PEER)
        self.assertEqual((self.endings(), self.links(rig)), ([io.AttemptResult.NOT_SENT], []))

    def test_one_that_began_in_time_goes_on_until_its_deadline(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        self.sent(rig, within_ms=WITHIN_MS)
        rig.until(lambda: scorer.runs, "the scorer receives the attempt")
        self.clock.advance(WITHIN_MS + 5.0)
        self.turn(rig)
        self.assertEqual(self.endings(), [])
        scorer.answer(scorer.runs[0])
        rig.until(lambda: self.endings(), "the answer arrives")
        self.assertEqual(self.endings(), [io.AttemptResult.GOOD])

    def test_one_that_began_in_time_ends_at_its_deadline(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        rig.front.scorer_pool.send(given := attempt(BY_POOL, ended := [], within_ms=500.0))
        given.begin_by_ms = self.clock.monotonic_ms + WITHIN_MS
        rig.until(lambda: scorer.runs, "the scorer receives the attempt")
        for _ in range(2):
            self.clock.advance(255.0)
            self.turn(rig)
        self.assertEqual(ended, [(EndReason.TIMED_OUT, True)])


class InPart(Case):
    """A frame of which the link takes a part, and then no more."""

    def part(self, more=(), **fields):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        link = self.link_up(rig, scorer)
        blocked = self.block(scorer, after_bytes=40)
        client, key = self.asked(rig, body=BODY, **fields)
        rig.front.requests.send(io.Send(key, BY_POOL))
        for stream in more:
            rig.front.scorer_pool.send(stream)
        rig.until(
            lambda: link.connection._outbox and link.connection._outbox[0].begun,
            "the frame is partially written",
        )
        return rig, scorer, link, blocked, (client, key)

    def test_it_ends_its_link_in_time_and_is_never_completed(self):
        rig, scorer, link, blocked, (client, key) = self.part()
        self.leave(rig, client, key, "close")
        self.clock.advance(scorer_connection.MAX_PARTIAL_WRITE_MS - 1.0)
        self.turn(rig)
        self.assertFalse(link.connection.closed)
        self.clock.advance(10.0)
        self.turn(rig)
        self.assertTrue(link.connection.closed)
        self.unblock(blocked)
        rig.settle(rig.client())
        self.assertEqual(scorer.frames, [])

    def test_it_ends_its_link_where_the_process_was_held_up_and_the_link_takes_more(self):
        rig, scorer, link, blocked, _ = self.part()
        self.unblock(blocked)
        self.clock.advance(scorer_connection.MAX_PARTIAL_WRITE_MS)
        link.connection._blocked = False
        link.connection.flush()  # before a timer has run
        self.assertTrue(link.connection.closed)
        rig.settle(rig.client())
        self.assertEqual(scorer.frames, [])

    def test_it_is_completed_where_the_link_takes_more_in_time(self):
        rig, scorer, link, blocked, _ = self.part()
        self.clock.advance(scorer_connection.MAX_PARTIAL_WRITE_MS - 10.0)
        self.unblock(blocked)
        rig.until(lambda: scorer.runs, "the scorer receives the attempt")
        self.clock.advance(20.0)
        self.turn(rig)
        self.assertFalse(link.connection.closed)
        self.assertEqual(scorer.runs[0][1].body, BODY)

    def test_what_lies_behind_it_unwritten_is_sent_on_another_link(self):
        ended = []
        other = attempt(BY_POOL, ended, id=b"abcdefgh", body=b"other")
        rig, scorer, link, blocked, _ = self.part(more=[other])
        self.clock.advance(scorer_connection.MAX_PARTIAL_WRITE_MS + 5.0)
        rig.until(lambda: link.connection.closed, "the connection ends")
        self.unblock(blocked)
        rig.until(lambda: scorer.runs, "the scorer receives the other attempt")
        [(_, frame)] = scorer.runs
        self.assertEqual((frame.body, ended), (b"other", []))

    def test_frames_that_give_up_and_orders_are_not_completed_late_either(self):
        for kind in ("give up", "order"):
            with self.subTest(kind):
                scorer, ended = ScorerPeer(copies=None), []
                rig = self.rig(scorer)
                link = self.link_up(rig, scorer)
                if kind == "give up":
                    rig.front.scorer_pool.send(stream := attempt(BY_POOL, ended))
                    rig.until(lambda scorer=scorer: scorer.runs, "the scorer receives the attempt")
                blocked = self.block(scorer, after_bytes=5)
                if kind == "give up":
                    rig.front.scorer_pool.cancel(stream)
                else:
                    rig.front.scorer_pool.start_load(order(BY_POOL, ended))
                self.turn(rig)
                before = len(scorer.frames)
                self.clock.advance(scorer_connection.MAX_PARTIAL_WRITE_MS + 5.0)
                rig.until(lambda link=link: link.connection.closed, "the connection ends")
                self.unblock(blocked)
                rig.settle(rig.client())
                self.assertEqual(len(scorer.frames), before)

    def test_the_module_is_told_that_it_never_ran_but_where_it_must_not_run_twice(self):
        endings = {}
        for op in ("view", "save", "settle"):
            rig, _, link, _, _ = self.part(op=op)
            self.clock.advance(scorer_connection.MAX_PARTIAL_WRITE_MS + 5.0)
            rig.until(lambda link=link: link.connection.closed, "the connection ends")
            endings[op] = self.endings()
        never = [io.AttemptResult.CONNECT_FAILED]
        self.assertEqual(endings, {"view": never, "save": never, "settle": [io.AttemptResult.RESET]})

    def test_a_client_that_reads_slowly_keeps_its_connection(self):
        rig = self.rig()
        client = rig.client()
        port = client.sock.getsockname()[1]
        at_client = lambda sock: sock.getpeername()[1] == port  # noqa: E731
        self.faults.shorten("sendmsg", 3, where=at_client)
        blocked = self.faults.shorten("sendmsg", 0, times=10**9, where=at_client)
        client.status(7)
        rig.until(lambda: blocked.hits, "the answer is partially written")
        self.clock.advance(1_000.0)
        self.turn(rig)
        self.unblock(blocked)
        rig.until(lambda: client.answers, "the client receives the answer")

    def test_an_empty_piece_keeps_nothing_behind_it_back(self):
        rig = self.rig()
        client = rig.client()
        rig.settle(client)
        [port] = rig.front.client_port.clients
        port.connection.write(b"")
        rig.settle(client)
        self.assertEqual(len(port.connection._outbox), 0)


class Spans(unittest.TestCase):
    def test_the_limit_on_parts_leaves_room_for_a_tick_and_a_turn(self):
        self.assertLess(scorer_connection.MAX_PARTIAL_WRITE_MS + timer_wheel.TICK_MS, 90.0)


if __name__ == "__main__":
    unittest.main()
