"""Writes to scorers: deadlines, the forwarded remaining time, and partially written frames."""

import unittest
from unittest import mock

from peers import ScorerPeer
from support.scorer_link_cases import BY_POOL, Case, attempt, order

from fawnwharf import interface as io
from fawnwharf.net import scorer_connection, timer_wheel
from fawnwharf.net.end_reasons import EndReason

WITHIN_MS = 100.0  # the time limit of a retry for sending its first byte
BODY = b"x" * 500


class ForwardedTime(Case):
    def forwarded_ms(self, scorer):
        """The remaining time in the frame that a scorer received."""
        [(_, frame)] = scorer.runs
        return int(frame.fields["ms"])

    def test_it_is_the_remaining_time_when_a_late_connection_is_established(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        _, key = self.asked(rig, ttl="8000")
        rig.front.requests.send(io.Send(key, BY_POOL))
        self.clock.advance(1_000.0)
        rig.until(lambda: scorer.runs, "the scorer receives the attempt")
        self.assertLessEqual(self.forwarded_ms(scorer), 7_000)

    def test_it_is_the_remaining_time_when_a_blocked_connection_accepts_the_frame(self):
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
        self.assertLessEqual(self.forwarded_ms(scorer), 5_000)

    def test_it_is_the_remaining_time_of_a_retry_after_two_connections(self):
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
        self.assertLessEqual(self.forwarded_ms(second), 6_000)

    def test_unwritten_bytes_are_counted_exactly(self):
        scorer, ended = ScorerPeer(copies=None), []
        rig = self.rig(scorer)
        link = self.link_up(rig, scorer)
        blocked = self.block(scorer)
        streams = [attempt(BY_POOL, ended, id=b"%08d" % n, body=BODY) for n in range(3)]
        for stream in streams:
            rig.front.scorer_pool.send(stream)
        rig.front.scorer_pool.send_load_order(order(BY_POOL, ended))
        self.assertGreaterEqual(link.connection.unwritten_bytes, 3 * len(BODY))
        self.turn(rig)
        self.assertEqual(
            link.connection.unwritten_bytes, sum(buffer.size for buffer in link.connection._outbox)
        )
        rig.front.scorer_pool.cancel(streams[1])
        self.unblock(blocked)
        rig.until(lambda: len(scorer.frames) == 3, "the other frames are written")
        self.assertEqual(link.connection.unwritten_bytes, 0)


class Expiry(Case):
    """The deadline, or the time limit of a retry, passes before the first byte is sent."""

    def sent(self, rig, **more):
        _, key = self.asked(rig)
        rig.front.requests.send(io.Send(key, BY_POOL, **more))
        return key

    def assert_never_sent(self, rig, scorer):
        rig.until(lambda: self.endings(), "the attempt ends")
        rig.settle(rig.client())
        self.assertEqual((self.endings(), scorer.frames), ([io.AttemptResult.NOT_SENT], []))

    def test_when_the_attempt_is_sent(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        self.link_up(rig, scorer)
        _, key = self.asked(rig)
        self.clock.advance(WITHIN_MS)
        rig.front.requests.send(io.Send(key, BY_POOL, WITHIN_MS))
        self.assertEqual(self.endings(), [io.AttemptResult.NOT_SENT])
        self.assert_never_sent(rig, scorer)

    def test_when_the_connection_is_established(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        self.sent(rig, within_ms=WITHIN_MS)
        [link] = self.links(rig)
        self.clock.advance(WITHIN_MS)
        self.assertTrue(link.connection._sock.getpeername())  # it is established, which is read first
        link.connection._ready(0)
        self.assertEqual(self.endings(), [io.AttemptResult.NOT_SENT])
        self.assert_never_sent(rig, scorer)

    def test_just_before_the_write(self):
        for more, span_ms in (({"within_ms": WITHIN_MS}, WITHIN_MS), ({}, 8_000.0)):
            with self.subTest(span_ms=span_ms):
                scorer = ScorerPeer()
                rig = self.rig(scorer)
                link = self.link_up(rig, scorer)
                self.sent(rig, **more)
                self.clock.advance(span_ms)
                link.connection.flush()  # before a timer has run
                self.assertEqual((self.endings(), link.streams), ([io.AttemptResult.NOT_SENT], {}))
                self.assertEqual(link.connection.unwritten_bytes, 0)
                self.assert_never_sent(rig, scorer)

    def test_on_a_blocked_connection(self):
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

    def test_on_a_connection_that_is_never_writable(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        link = self.link_up(rig, scorer)
        with mock.patch.object(link.connection, "flush"):  # the system never reports the socket as writable
            self.sent(rig, within_ms=WITHIN_MS)
            self.clock.advance(WITHIN_MS + 5.0)
            self.turn(rig, times=1)
            self.assertEqual((self.endings(), link.streams), ([io.AttemptResult.NOT_SENT], {}))
        self.assert_never_sent(rig, scorer)

    def test_when_the_connection_ends_before_another_is_dialled(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        link = self.link_up(rig, scorer)
        self.sent(rig, within_ms=WITHIN_MS)
        self.clock.advance(WITHIN_MS)
        link.connection.close(EndReason.CLOSED_BY_PEER)
        self.assertEqual((self.endings(), self.links(rig)), ([io.AttemptResult.NOT_SENT], []))

    def test_an_attempt_begun_in_time_continues_until_its_deadline(self):
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

    def test_an_attempt_begun_in_time_ends_at_its_deadline(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        rig.front.scorer_pool.send(given := attempt(BY_POOL, ended := [], within_ms=500.0))
        given.begin_by_ms = self.clock.monotonic_ms + WITHIN_MS
        rig.until(lambda: scorer.runs, "the scorer receives the attempt")
        for _ in range(2):
            self.clock.advance(255.0)
            self.turn(rig)
        self.assertEqual(ended, [(EndReason.TIMED_OUT, True)])


class PartialWrites(Case):
    """A connection accepts a part of a frame, and then no more."""

    def write_part(self, more=(), **fields):
        """Write a part of a frame, with the streams in `more` queued after it."""
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

    def test_a_partial_frame_ends_the_connection_in_time_and_is_never_completed(self):
        rig, scorer, link, blocked, (client, key) = self.write_part()
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

    def test_a_partial_frame_is_not_continued_after_the_process_was_stalled(self):
        rig, scorer, link, blocked, _ = self.write_part()
        self.unblock(blocked)
        self.clock.advance(scorer_connection.MAX_PARTIAL_WRITE_MS)
        link.connection._blocked = False
        link.connection.flush()  # before a timer has run
        self.assertTrue(link.connection.closed)
        rig.settle(rig.client())
        self.assertEqual(scorer.frames, [])

    def test_a_partial_frame_is_completed_within_the_time_limit(self):
        rig, scorer, link, blocked, _ = self.write_part()
        self.clock.advance(scorer_connection.MAX_PARTIAL_WRITE_MS - 10.0)
        self.unblock(blocked)
        rig.until(lambda: scorer.runs, "the scorer receives the attempt")
        self.clock.advance(20.0)
        self.turn(rig)
        self.assertFalse(link.connection.closed)
        self.assertEqual(scorer.runs[0][1].body, BODY)

    def test_unwritten_frames_after_a_partial_one_are_sent_on_another_connection(self):
        ended = []
        other = attempt(BY_POOL, ended, id=b"abcdefgh", body=b"other")
        rig, scorer, link, blocked, _ = self.write_part(more=[other])
        self.clock.advance(scorer_connection.MAX_PARTIAL_WRITE_MS + 5.0)
        rig.until(lambda: link.connection.closed, "the connection ends")
        self.unblock(blocked)
        rig.until(lambda: scorer.runs, "the scorer receives the other attempt")
        [(_, frame)] = scorer.runs
        self.assertEqual((frame.body, ended), (b"other", []))

    def test_partial_cancellations_and_orders_are_not_completed_late(self):
        for kind in ("cancel", "order"):
            with self.subTest(kind):
                scorer, ended = ScorerPeer(copies=None), []
                rig = self.rig(scorer)
                link = self.link_up(rig, scorer)
                if kind == "cancel":
                    rig.front.scorer_pool.send(stream := attempt(BY_POOL, ended))
                    rig.until(lambda scorer=scorer: scorer.runs, "the scorer receives the attempt")
                blocked = self.block(scorer, after_bytes=5)
                if kind == "cancel":
                    rig.front.scorer_pool.cancel(stream)
                else:
                    rig.front.scorer_pool.send_load_order(order(BY_POOL, ended))
                self.turn(rig)
                before = len(scorer.frames)
                self.clock.advance(scorer_connection.MAX_PARTIAL_WRITE_MS + 5.0)
                rig.until(lambda link=link: link.connection.closed, "the connection ends")
                self.unblock(blocked)
                rig.settle(rig.client())
                self.assertEqual(len(scorer.frames), before)

    def test_the_router_is_told_that_it_did_not_run_unless_it_must_not_run_twice(self):
        results = {}
        for op in ("view", "save", "settle"):
            rig, _, link, _, _ = self.write_part(op=op)
            self.clock.advance(scorer_connection.MAX_PARTIAL_WRITE_MS + 5.0)
            rig.until(lambda link=link: link.connection.closed, "the connection ends")
            results[op] = self.endings()
        not_run = [io.AttemptResult.CONNECT_FAILED]
        self.assertEqual(results, {"view": not_run, "save": not_run, "settle": [io.AttemptResult.RESET]})

    def test_a_slowly_reading_client_keeps_its_connection(self):
        rig = self.rig()
        client = rig.client()
        port = client.sock.getsockname()[1]
        is_client = lambda sock: sock.getpeername()[1] == port  # noqa: E731
        self.faults.shorten("sendmsg", 3, where=is_client)
        blocked = self.faults.shorten("sendmsg", 0, times=10**9, where=is_client)
        client.status(7)
        rig.until(lambda: blocked.hits, "the answer is partially written")
        self.clock.advance(1_000.0)
        self.turn(rig)
        self.unblock(blocked)
        rig.until(lambda: client.answers, "the client receives the answer")

    def test_an_empty_buffer_does_not_block_the_queue(self):
        rig = self.rig()
        client = rig.client()
        rig.settle(client)
        [port] = rig.front.client_port.clients
        port.connection.write(b"")
        rig.settle(client)
        self.assertEqual(len(port.connection._outbox), 0)


class TimeLimits(unittest.TestCase):
    def test_the_partial_write_limit_leaves_time_for_a_tick_and_an_iteration(self):
        self.assertLess(scorer_connection.MAX_PARTIAL_WRITE_MS + timer_wheel.TICK_MS, 90.0)


if __name__ == "__main__":
    unittest.main()
