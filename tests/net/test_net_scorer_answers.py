"""Scorer connections: closes, dials, answers and ids at the same time as sends."""

import errno
import itertools
import unittest
from unittest import mock

from peers import ScorerPeer
from support.scorer_link_cases import BY_POOL, Case, attempt, order, reset

from fawnwharf import interface as io
from fawnwharf.net import scorer_frames, scorer_pool
from fawnwharf.net.end_reasons import EndReason

CLASSES = ("view", "save", "settle")
DIAL_MS = 250.0
BOUNDS = {"max_attempts": 3, "cancel": True, "second_copies": True, "dial_timeout": DIAL_MS}
RESET, NOT_SENT = io.AttemptResult.RESET, io.AttemptResult.NOT_SENT


class Closes(Case):
    """A connection ends at the time at which something is sent on it."""

    def test_a_send_just_after_an_idle_close_dials_a_new_connection(self):
        scorer, ended = ScorerPeer(copies=None), []
        rig = self.rig(scorer)
        self.link_up(rig, scorer)
        self.clock.advance(60_000.0)
        rig.front.scorer_pool.run_maintenance()
        rig.front.scorer_pool.send(attempt(BY_POOL, ended))
        rig.until(lambda: scorer.runs, "the scorer receives the attempt")
        self.assertEqual((scorer.runs[0][0], ended), (scorer.links[1], []))

    def test_maintenance_just_after_a_send_does_not_close_the_connection(self):
        scorer, ended = ScorerPeer(copies=None), []
        rig = self.rig(scorer)
        link = self.link_up(rig, scorer)
        self.clock.advance(rig.front.scorer_pool._reuse_idle_ms)  # the longest idle time for reuse
        rig.front.scorer_pool.send(attempt(BY_POOL, ended))
        self.clock.advance(60.0)
        rig.front.scorer_pool.run_maintenance()
        self.assertFalse(link.connection.closed)
        rig.until(lambda: scorer.runs, "the scorer receives the attempt")
        self.assertEqual((scorer.runs[0][0], ended), (scorer.links[0], []))

    def test_an_unwritten_attempt_survives_a_reset_of_its_connection(self):
        scorer, ended = ScorerPeer(copies=None), []
        rig = self.rig(scorer)
        link = self.link_up(rig, scorer)
        rig.front.scorer_pool.send(attempt(BY_POOL, ended))
        reset(scorer.links[0].sock)
        self.read(link.connection)
        rig.until(lambda: scorer.runs, "the scorer receives the attempt on another connection")
        self.assertEqual(ended, [])

    def test_an_answer_received_before_a_reset_during_a_write_counts(self):
        for op in CLASSES:
            with self.subTest(op):
                scorer = ScorerPeer()
                rig = self.rig(scorer)
                link = self.link_up(rig, scorer)
                client, key = self.asked(rig, op)
                rig.front.requests.send(io.Send(key, BY_POOL))
                rig.until(lambda scorer=scorer: scorer.runs, "the scorer receives the attempt")
                rig.front.scorer_pool.send(attempt(BY_POOL, [], id=b"abcdefgh"))
                scorer.answer(scorer.runs[0], body=b"done")
                reset(scorer.links[0].sock)
                link.connection.flush()  # after the reads of this iteration
                self.assertTrue(link.connection.closed)
                self.assertEqual(self.endings(), [io.AttemptResult.GOOD])
                rig.until(lambda client=client: client.answers, "the answer arrives")

    def test_a_close_after_a_partial_write_means_not_sent_unless_it_must_not_run_twice(self):
        for how, op in itertools.product((reset, lambda sock: sock.close()), CLASSES):
            with self.subTest(op=op, how=how):
                scorer = ScorerPeer()
                rig = self.rig(scorer)
                link = self.link_up(rig, scorer)
                _, key = self.asked(rig, op, body=b"x" * 500)
                self.block(scorer, after_bytes=100)
                rig.front.requests.send(io.Send(key, BY_POOL))
                self.turn(rig, times=1)
                how(scorer.links[0].sock)
                self.read(link.connection)
                self.assertEqual(self.endings(), [RESET if op == "settle" else NOT_SENT])

    def test_a_close_after_a_complete_write_means_that_it_may_have_run(self):
        for how, op in itertools.product((reset, lambda sock: sock.close()), CLASSES):
            with self.subTest(op=op, how=how):
                scorer = ScorerPeer()
                rig = self.rig(scorer)
                link = self.link_up(rig, scorer)
                _, key = self.asked(rig, op)
                rig.front.requests.send(io.Send(key, BY_POOL))
                rig.until(lambda scorer=scorer: scorer.runs, "the scorer receives the attempt")
                how(scorer.links[0].sock)
                self.read(link.connection)
                self.assertEqual(self.endings(), [RESET])

    def test_a_cancelled_partial_write_may_have_run_as_the_rest_is_still_sent(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        link = self.link_up(rig, scorer)
        _, key = self.asked(rig, "settle", body=b"x" * 500)
        blocked = self.block(scorer, after_bytes=100)
        rig.front.requests.send(io.Send(key, BY_POOL))
        self.turn(rig, times=1)
        rig.front.requests.cancel(io.Cancel(key, 0))
        self.assertEqual((self.endings(), link.streams), ([io.AttemptResult.CANCELLED], {}))
        self.unblock(blocked)
        rig.until(lambda: scorer.of(scorer_frames.ABANDON), "the scorer receives the cancellation")


class Dials(Case):
    """A dial succeeds, fails or times out, or its scorer changes meanwhile."""

    def test_one_that_is_established_after_its_time_limit_is_closed_unused(self):
        scorer, ended = ScorerPeer(copies=None), []
        rig = self.rig(scorer, settings={"bounds": BOUNDS})
        rig.front.scorer_pool.send(attempt(BY_POOL, ended))
        [link] = self.links(rig)
        self.clock.advance(DIAL_MS + 5.0)
        rig.front.loop.timers.advance()  # the dial times out when it is established, but before that is read
        self.assertEqual((ended, link.connection.closed), ([(EndReason.DIAL_TIMED_OUT, False)], True))
        rig.until(lambda: scorer.links and scorer.links[0].ended, "the scorer sees the close")
        self.assertEqual((scorer.frames, rig.front.scorer_pool._connection_count), ([], 0))

    def test_one_that_is_established_in_the_iteration_of_its_time_limit_is_used(self):
        scorer, ended = ScorerPeer(copies=None), []
        rig = self.rig(scorer, settings={"bounds": BOUNDS})
        rig.front.scorer_pool.send(attempt(BY_POOL, ended))
        self.clock.advance(DIAL_MS + 5.0)
        rig.until(lambda: scorer.runs, "the scorer receives the attempt")
        self.assertEqual(ended, [])

    def test_one_to_a_gone_scorer_is_not_used_for_the_next_scorer_at_its_address(self):
        scorer, ended = ScorerPeer(copies=None), []
        rig = self.rig(scorer)
        pool, address = rig.front.scorer_pool, self.address(scorer)
        pool.send(attempt(BY_POOL, ended))
        [old] = self.links(rig)
        pool.update(BY_POOL, None, io.ScorerState.GONE, 0.0)
        pool.update(77, address, io.ScorerState.READY, 0.0)
        pool.send(attempt(77, ended, id=b"abcdefgh"))
        [new] = self.links(rig, 77)
        rig.until(
            lambda: scorer.runs and old.connection.closed, "the new scorer receives its own attempt only"
        )
        self.assertEqual(ended, [(EndReason.OUT_OF_SERVICE, False)])
        self.assertEqual([frame.id for _, frame in scorer.frames], [b"abcdefgh"])
        self.assertEqual(new.streams.keys(), {b"abcdefgh"})

    def test_one_to_a_previous_address_of_the_scorer_is_not_used(self):
        old, new, ended = ScorerPeer(copies=None), ScorerPeer(copies=None), []
        rig = self.rig(old)
        rig.scorers.append(new)
        rig.front.scorer_pool.send(attempt(BY_POOL, ended))
        [link] = self.links(rig)
        rig.front.scorer_pool.update(BY_POOL, self.address(new), io.ScorerState.READY, 0.0)
        rig.until(
            lambda: new.runs and link.connection.closed, "the scorer receives the attempt at the new address"
        )
        self.assertEqual((old.frames, ended), ([], []))

    def test_a_failed_dial_to_the_old_address_does_not_affect_the_new_one(self):
        old, new, ended = ScorerPeer(copies=None), ScorerPeer(copies=None), []
        rig = self.rig(old)
        rig.scorers.append(new)
        rig.front.scorer_pool.send(attempt(BY_POOL, ended))
        [link] = self.links(rig)
        rig.front.scorer_pool.update(BY_POOL, self.address(new), io.ScorerState.READY, 0.0)
        link.connection.close(EndReason.REFUSED)
        self.assertEqual(ended, [])
        rig.until(lambda: new.runs, "the scorer receives the attempt at the new address")

    def test_a_failed_dial_to_the_old_address_does_not_affect_a_delayed_redial_of_the_new_one(self):
        old, new, ended = ScorerPeer(copies=None), ScorerPeer(copies=None), []
        rig = self.rig(old)
        rig.scorers.append(new)
        rig.front.scorer_pool.send(attempt(BY_POOL, ended))
        [link] = self.links(rig)
        self.faults.fail("connect", errno.EADDRNOTAVAIL)
        rig.front.scorer_pool.update(BY_POOL, self.address(new), io.ScorerState.READY, 0.0)
        link.connection.close(EndReason.REFUSED)
        self.assertEqual(ended, [])
        self.clock.advance(scorer_pool.REDIAL_DELAY_MS + 5.0)
        rig.until(lambda: new.runs, "the scorer receives the attempt at the new address")

    def test_a_second_dial_does_not_extend_the_wait_of_a_stream(self):
        scorer, ended = ScorerPeer(copies=None), []
        rig = self.rig(scorer, settings={"bounds": BOUNDS | {"streams_per_conn": 1}})
        rig.front.scorer_pool.send(attempt(BY_POOL, ended))
        self.clock.advance(DIAL_MS / 2)
        rig.front.scorer_pool.send(attempt(BY_POOL, [], id=b"abcdefgh"))
        first, second = self.links(rig)
        self.clock.advance(DIAL_MS / 2 + 5.0)
        rig.front.loop.timers.advance()  # before either is known to be established
        self.assertEqual((first.connection.closed, second.connection.closed), (True, False))
        self.assertEqual(ended, [(EndReason.NEVER_SENT, False)])
        rig.until(lambda: scorer.runs, "the scorer receives the second attempt")
        self.assertEqual([frame.id for _, frame in scorer.runs], [b"abcdefgh"])

    def test_unwritten_attempts_at_a_restart_go_to_the_new_process(self):
        scorer, ended = ScorerPeer(copies=None), []
        rig = self.rig(scorer)
        link = self.link_up(rig, scorer)
        rig.front.scorer_pool.send(attempt(BY_POOL, ended))
        rig.front.scorer_pool.update(BY_POOL, None, io.ScorerState.READY, 5.0)
        self.assertTrue(link.connection.closed)
        rig.until(lambda: scorer.runs, "the scorer receives the attempt")
        self.assertEqual((scorer.runs[0][0], ended), (scorer.links[1], []))

    def test_connections_to_the_previous_process_do_not_count_against_the_limit(self):
        scorer, ended = ScorerPeer(copies=None), []
        rig = self.rig(scorer, settings={"bounds": BOUNDS | {"streams_per_conn": 1}})
        for number in range(scorer_pool.MAX_CONNECTIONS):
            rig.front.scorer_pool.send(attempt(BY_POOL, ended, id=b"%08d" % number))
        rig.until(lambda: len(scorer.runs) == scorer_pool.MAX_CONNECTIONS, "all connections are in use")
        rig.front.scorer_pool.update(BY_POOL, None, io.ScorerState.READY, 5.0)
        rig.front.scorer_pool.send(attempt(BY_POOL, ended, id=b"abcdefgh"))
        rig.until(
            lambda: len(scorer.runs) > scorer_pool.MAX_CONNECTIONS, "the new process receives the attempt"
        )
        self.assertEqual(ended, [])


class ConnectionLimits(Case):
    def test_nothing_is_dialled_for_unwritten_attempts_when_the_pool_is_closed(self):
        scorer, ended = ScorerPeer(copies=None), []
        rig = self.rig(scorer)
        self.link_up(rig, scorer)
        rig.front.scorer_pool.send(attempt(BY_POOL, ended))
        rig.front.scorer_pool.close()
        self.assertEqual((ended, rig.front.scorer_pool._connection_count), ([(EndReason.STOPPED, False)], 0))

    def test_an_idle_connection_is_closed_if_another_scorer_needs_one(self):
        peers = [ScorerPeer(f"s-{number}", copies=None) for number in range(3)]
        rig = self.rig(*peers)
        rig.front.scorer_pool.max_connections = 2
        ended = []
        for number, peer in enumerate(peers):
            self.clock.advance(1.0)
            rig.front.scorer_pool.send(attempt(BY_POOL + number, ended))
            rig.until(lambda peer=peer: peer.runs, "the scorer receives the attempt")
            peer.answer(peer.runs[0])
            rig.until(lambda number=number: len(ended) > number, "the answer arrives")
        self.assertEqual(ended, [(io.AttemptResult.GOOD, True)] * 3)
        self.assertEqual([len(self.links(rig, BY_POOL + number)) for number in range(3)], [0, 1, 1])

    def test_a_connection_with_an_open_stream_is_not_closed_for_another_scorer(self):
        peers = [ScorerPeer(f"s-{number}", copies=None) for number in range(2)]
        rig = self.rig(*peers)
        rig.front.scorer_pool.max_connections = 1
        ended = []
        rig.front.scorer_pool.send(attempt(BY_POOL, ended))
        rig.until(lambda: peers[0].runs, "the scorer receives the attempt")
        rig.front.scorer_pool.send(attempt(BY_POOL + 1, ended))
        self.assertEqual(ended, [(EndReason.NO_DESCRIPTOR, False)])
        self.assertEqual(len(self.links(rig)), 1)


class Answers(Case):
    def test_a_duplicate_good_answer_ends_no_later_attempt_with_the_same_id(self):
        scorer, ended = ScorerPeer(copies=None), []
        rig = self.rig(scorer)
        rig.front.scorer_pool.send(attempt(BY_POOL, ended))
        rig.until(lambda: scorer.runs, "the scorer receives the attempt")
        scorer.answer(scorer.runs[0], body=b"first")
        rig.until(lambda: ended, "the answer arrives")
        rig.front.scorer_pool.send(attempt(BY_POOL, ended))
        scorer.answer(scorer.runs[0], body=b"first")
        rig.until(lambda: len(scorer.runs) == 2, "the scorer receives the next attempt")
        rig.settle(rig.client())
        self.assertEqual(ended, [(io.AttemptResult.GOOD, True)])
        self.assertIsNot(scorer.runs[0][0], scorer.runs[1][0])

    def test_an_id_that_is_open_twice_is_answered_on_each_connection_separately(self):
        scorer, first, second = ScorerPeer(copies=None), [], []
        rig = self.rig(scorer)
        rig.front.scorer_pool.send(attempt(BY_POOL, first))
        rig.until(lambda: scorer.runs, "the scorer receives the first attempt")
        rig.front.scorer_pool.send(attempt(BY_POOL, second))
        rig.until(lambda: len(scorer.runs) == 2, "the scorer receives the second attempt")
        scorer.answer(scorer.runs[1], 3, "")
        rig.until(lambda: second, "the second attempt gets FULL")
        self.assertEqual((first, second), ([], [(io.AttemptResult.FULL, True)]))
        scorer.answer(scorer.runs[0])
        rig.until(lambda: first, "the first is answered")
        self.assertEqual(first, [(io.AttemptResult.GOOD, True)])

    def test_a_late_answer_and_its_duplicate_end_nothing_after_a_cancellation(self):
        scorer, ended, later = ScorerPeer(copies=None), [], []
        rig = self.rig(scorer)
        rig.front.scorer_pool.send(given_up := attempt(BY_POOL, ended))
        rig.until(lambda: scorer.runs, "the scorer receives the attempt")
        rig.front.scorer_pool.cancel(given_up)
        rig.front.scorer_pool.send(attempt(BY_POOL, later, id=b"abcdefgh"))
        for _ in range(2):
            scorer.answer(scorer.runs[0], body=b"late")
        rig.until(lambda: len(scorer.runs) == 2, "the scorer receives the later attempt")
        rig.settle(rig.client())
        self.assertEqual((ended, later), ([(EndReason.CANCELLED, True)], []))
        self.assertFalse(self.links(rig)[0].connection.closed)

    def test_an_answer_to_an_attempt_that_is_not_completely_written_is_ignored(self):
        for after_bytes in (None, 30):
            with self.subTest(after_bytes=after_bytes):
                scorer, ended = ScorerPeer(copies=None), []
                rig = self.rig(scorer)
                link = self.link_up(rig, scorer)
                blocked = self.block(scorer, after_bytes)
                rig.front.scorer_pool.send(attempt(BY_POOL, ended))
                self.turn(rig)
                before = scorer_frames.Frame(0, b"12345678", {}, b"")
                scorer.answer((scorer.links[0], before), body=b"of an earlier one")
                self.read(link.connection)
                self.assertEqual((ended, list(link.streams)), ([], [b"12345678"]))
                self.unblock(blocked)
                rig.until(lambda scorer=scorer: scorer.runs, "the scorer receives the attempt")
                scorer.answer(scorer.runs[0])
                rig.until(lambda ended=ended: ended, "the answer arrives")
                self.assertEqual(ended, [(io.AttemptResult.GOOD, True)])

    def test_an_answer_truncated_by_a_close_is_ignored(self):
        for op in CLASSES:
            with self.subTest(op):
                scorer = ScorerPeer()
                rig = self.rig(scorer)
                client, key = self.asked(rig, op)
                rig.front.requests.send(io.Send(key, BY_POOL))
                rig.until(lambda scorer=scorer: scorer.runs, "the scorer receives the attempt")
                link, frame = scorer.runs[0]
                whole = scorer_frames.encode(0, frame.id, body=b"x" * 50, direction=scorer_frames.FROM_SCORER)
                link.sock.sendall(whole[:-1])
                link.sock.close()
                rig.until(lambda: self.endings(), "the attempt ends")
                self.assertEqual((self.endings(), client.answers), ([RESET], []))

    def test_a_truncated_answer_without_further_bytes_ends_the_connection(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client, key = self.asked(rig)
        rig.front.requests.send(io.Send(key, BY_POOL))
        rig.until(lambda: scorer.runs, "the scorer receives the attempt")
        scorer.links[0].sock.sendall(b"\x81\0")
        [link] = self.links(rig)
        rig.until(lambda: link._reader.has_partial_frame, "a partial frame is received")
        while not self.endings():
            self.clock.advance(50.0)
            self.turn(rig, times=1)
        self.assertEqual((self.endings(), client.answers), ([RESET], []))

    def test_an_order_with_the_id_of_an_open_call_uses_another_connection(self):
        scorer, ended = ScorerPeer(copies=None), []
        rig = self.rig(scorer)
        next_id = (1 << 62) - 5
        rig.front.scorer_pool._order_ids = itertools.count(next_id)
        rig.front.scorer_pool.send(attempt(BY_POOL, ended, id=next_id.to_bytes(8, "big")))
        rig.until(lambda: scorer.runs, "the scorer receives the call")
        rig.front.scorer_pool.send_load_order(order(BY_POOL, ended))
        rig.until(lambda: scorer.of(scorer_frames.LOAD), "the scorer receives the order")
        [(link, frame)], [(of_call, call)] = scorer.of(scorer_frames.LOAD), scorer.runs
        self.assertEqual(frame.id, call.id)
        self.assertIsNot(link, of_call)
        scorer.answer((link, frame), 0, "slots_up=1")
        rig.until(lambda: ended, "the order is answered")
        self.assertIn(call.id, self.links(rig)[0].streams)

    def test_the_number_of_remembered_ids_of_good_answers_is_bounded(self):
        scorer, ended = ScorerPeer(copies=None), []
        rig = self.rig(scorer)
        link = self.link_up(rig, scorer)
        with mock.patch("fawnwharf.net.scorer_connection.MAX_ANSWERED_IDS", 4):
            for number in range(6):
                rig.front.scorer_pool.send(attempt(BY_POOL, ended, id=b"%08d" % number))
                rig.until(lambda number=number: len(scorer.runs) > number, "the scorer receives the attempt")
                scorer.answer(scorer.runs[number])
                rig.until(lambda number=number: len(ended) > number, "the answer arrives")
        self.assertEqual([link.accepts(b"%08d" % number) for number in range(6)], [True] * 2 + [False] * 4)


if __name__ == "__main__":
    unittest.main()
