"""Injected system call errors on scorer connections, one at a time."""

import errno
import os
import unittest
from unittest import mock

from peers import ScorerPeer
from support.scorer_link_cases import BY_POOL, Case, attempt

from fawnwharf import interface as io
from fawnwharf.net import connection, connection_writer, scorer_pool
from fawnwharf.net.end_reasons import (
    LOCAL_REASONS,
    REASON_BY_ERRNO,
    EndReason,
    SystemCall,
    attempt_result,
    end_reason_of,
)
from fawnwharf.net.front_end import scorer_number

LOCAL = ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EINTR")
# Transient errors of this machine, by system call.
TRANSIENT = {
    "socket": LOCAL,
    "connect": (*LOCAL, "EAGAIN", "EADDRNOTAVAIL", "ENETUNREACH", "ENETDOWN"),
    "so_error": (*LOCAL, "EADDRNOTAVAIL", "ENETDOWN"),
    "sendmsg": ("ENOBUFS", "ENOMEM", "EINTR"),
}
# Errors caused by the peer or the network, and their end reasons.
OF_PEER = {
    "connect": {
        "ECONNREFUSED": EndReason.REFUSED, "EHOSTUNREACH": EndReason.UNREACHABLE,
        "ETIMEDOUT": EndReason.UNREACHABLE,
    },
    "so_error": {
        "ECONNREFUSED": EndReason.REFUSED, "EHOSTUNREACH": EndReason.UNREACHABLE,
        "ETIMEDOUT": EndReason.UNREACHABLE,
        "ENETUNREACH": EndReason.UNREACHABLE,
    },
    "sendmsg": {
        "ECONNRESET": EndReason.RESET_BY_PEER, "EPIPE": EndReason.RESET_BY_PEER,
        "ETIMEDOUT": EndReason.UNREACHABLE,
    },
}  # fmt: skip
RETRY_MS = scorer_pool.REDIAL_DELAY_MS + 5.0
DIAL_MS = 250.0
BOUNDS = {"max_attempts": 3, "cancel": True, "second_copies": True, "dial_timeout": DIAL_MS}


def errno_of(name):
    return getattr(errno, name)


class Dials(Case):
    """Streams that wait for a connection while dials fail."""

    def send_with_fault(self, call, name, times=1):
        """Send an attempt whose dial fails with this error."""
        scorer, ended = ScorerPeer(copies=None), []
        rig = self.rig(scorer, settings={"bounds": BOUNDS})
        fault = self.faults.fail(call, errno_of(name), times=times)
        rig.front.scorer_pool.send(attempt(BY_POOL, ended))
        return rig, scorer, ended, fault

    def test_a_dial_is_retried_after_a_transient_error(self):
        for call in ("socket", "connect", "so_error"):
            for name in TRANSIENT[call]:
                with self.subTest(call=call, error=name):
                    rig, scorer, ended, fault = self.send_with_fault(call, name)
                    self.turn(rig)
                    self.assertEqual((fault.hits, ended, self.links(rig)), (1, [], []))
                    self.clock.advance(RETRY_MS)
                    rig.until(lambda scorer=scorer: scorer.runs, "the scorer receives the attempt")
                    self.assertEqual(ended, [])

    def test_a_lasting_error_ends_waiting_streams_as_not_sent_after_the_dial_timeout(self):
        for call in ("socket", "connect", "so_error"):
            with self.subTest(call):
                rig, scorer, ended, fault = self.send_with_fault(call, TRANSIENT[call][0], times=10**9)
                started_ms = self.clock.monotonic_ms
                while not ended:
                    self.clock.advance(5.0)
                    self.turn(rig, times=1)
                fault.times = fault.hits
                self.assertEqual(attempt_result(*ended[0]), io.AttemptResult.NOT_SENT)
                self.assertLessEqual(abs(self.clock.monotonic_ms - started_ms - DIAL_MS), 10.0)
                self.assertTrue(2 <= fault.hits <= DIAL_MS / scorer_pool.REDIAL_DELAY_MS + 1, fault.hits)
                self.assertEqual((self.links(rig), rig.front.scorer_pool._connection_count), ([], 0))

    def test_a_lasting_error_ends_each_stream_only_after_its_own_wait(self):
        rig, scorer, ended, fault = self.send_with_fault("connect", "EADDRNOTAVAIL", times=10**9)
        self.clock.advance(DIAL_MS / 2)
        later_ended = []
        rig.front.scorer_pool.send(attempt(BY_POOL, later_ended, id=b"abcdefgh"))
        self.clock.advance(DIAL_MS / 2 + 5.0)
        self.turn(rig)
        self.assertEqual((len(ended), later_ended), (1, []))
        fault.times = fault.hits
        self.clock.advance(RETRY_MS)
        rig.until(lambda: scorer.runs, "the scorer receives the later attempt")

    def test_an_error_caused_by_the_peer_ends_waiting_streams_at_once(self):
        for call in ("connect", "so_error"):
            for name, end in OF_PEER[call].items():
                with self.subTest(call=call, error=name):
                    rig, _, ended, _ = self.send_with_fault(call, name)
                    rig.until(lambda ended=ended: ended, "the attempt ends")
                    self.assertEqual(ended, [(end, False)])
                    self.assertEqual(attempt_result(*ended[0]), io.AttemptResult.CONNECT_FAILED)

    def test_errors_map_to_the_expected_end_reasons(self):
        calls = {
            "socket": SystemCall.SOCKET, "connect": SystemCall.CONNECT, "so_error": SystemCall.CONNECTED,
            "sendmsg": SystemCall.SEND,
        }  # fmt: skip
        for call, names in TRANSIENT.items():
            for name in names:
                self.assertIn(end_reason_of(OSError(errno_of(name), ""), calls[call]), LOCAL_REASONS)
        for call, rows in OF_PEER.items():
            for name, end in rows.items():
                self.assertIs(end_reason_of(OSError(errno_of(name), ""), calls[call]), end)
        for call in calls.values():
            self.assertIs(end_reason_of(OSError(errno.EXDEV, ""), call), EndReason.UNREACHABLE)
            self.assertNotIn(errno.EXDEV, REASON_BY_ERRNO[call])

    def test_a_drain_before_the_redial_ends_waiting_streams_at_once(self):
        for state in (io.ScorerState.DRAINING, io.ScorerState.GONE):
            with self.subTest(state.name):
                rig, scorer, ended, fault = self.send_with_fault("connect", "EADDRNOTAVAIL")
                self.turn(rig)
                rig.front.scorer_pool.update(BY_POOL, None, state, 0.0)
                self.assertEqual(ended, [(EndReason.OUT_OF_SERVICE, False)])
                self.clock.advance(RETRY_MS)
                self.turn(rig)
                self.assertEqual(scorer.links, [])

    def test_an_attempt_cancelled_before_the_redial_is_not_dialled_for(self):
        rig, scorer, ended, _ = self.send_with_fault("connect", "ENETUNREACH")
        [stream] = rig.front.scorer_pool.scorers[BY_POOL].waiting
        rig.front.scorer_pool.cancel(stream)
        self.clock.advance(RETRY_MS)
        self.turn(rig)
        self.assertEqual((ended, scorer.links), ([(EndReason.CANCELLED, False)], []))

    def test_a_redial_uses_an_address_that_changed_before_it(self):
        rig, scorer, ended, _ = self.send_with_fault("connect", "ENETUNREACH")
        rig.scorers.append(moved := ScorerPeer(copies=None))
        rig.front.scorer_pool.update(BY_POOL, self.address(moved), io.ScorerState.READY, 0.0)
        self.clock.advance(RETRY_MS)
        rig.until(lambda: moved.runs, "the scorer receives the attempt at the new address")
        self.assertEqual((scorer.links, ended), ([], []))

    def test_a_transient_error_counts_neither_against_the_scorer_nor_as_an_attempt(self):
        for call, name in (("connect", "EADDRNOTAVAIL"), ("socket", "EMFILE"), ("so_error", "ENOBUFS")):
            with self.subTest(call):
                scorer = ScorerPeer()
                rig = self.rig(known=[scorer])
                client = rig.client()
                rig.until(lambda rig=rig: rig.front.client_port.clients, "the client is accepted")
                fault = self.faults.fail(call, errno_of(name), times=2)
                client.call()
                for hits in (1, 2):
                    rig.until(lambda fault=fault, hits=hits: fault.hits == hits, "a dial fails")
                    self.clock.advance(RETRY_MS)
                rig.until(lambda scorer=scorer: scorer.runs, "the scorer receives the attempt")
                scorer.answer(scorer.runs[0])
                rig.until(lambda client=client: client.answers, "the answer arrives")
                routed = rig.front.router.scorers[scorer_number(scorer.id)]
                self.assertEqual((client.kinds(), routed.suspect_since_ms), ({1: "answer"}, None))

    def test_a_dial_that_fails_after_creating_its_socket_leaks_no_descriptor(self):
        scorer, ended = ScorerPeer(copies=None), []
        rig = self.rig(scorer)
        before = len(os.listdir("/proc/self/fd"))
        with mock.patch.object(rig.front.loop, "watch", side_effect=OSError(errno.ENOSPC, "watch")):
            rig.front.scorer_pool.send(attempt(BY_POOL, ended))
        self.assertEqual(len(os.listdir("/proc/self/fd")), before)
        with (
            mock.patch.object(rig.front.loop, "watch", side_effect=KeyError("watch")),
            self.assertRaises(KeyError),
        ):
            connection.Connection.dial(rig.front.loop, self.address(scorer), mock.Mock(), DIAL_MS)
        self.assertEqual(len(os.listdir("/proc/self/fd")), before)
        self.clock.advance(RETRY_MS)
        rig.until(lambda: scorer.runs, "the scorer receives the attempt")

    def test_a_connection_works_without_its_socket_options(self):
        scorer, ended = ScorerPeer(copies=None), []
        rig = self.rig(scorer)
        with mock.patch.object(connection.socket.socket, "setsockopt", side_effect=OSError(1, "no")):
            rig.front.scorer_pool.send(attempt(BY_POOL, ended))
        rig.until(lambda: scorer.runs, "the scorer receives the attempt")


class Writes(Case):
    def test_a_write_is_retried_after_a_transient_error_without_spinning(self):
        for name in TRANSIENT["sendmsg"]:
            with self.subTest(name):
                scorer, ended = ScorerPeer(copies=None), []
                rig = self.rig(scorer)
                link = self.link_up(rig, scorer)
                fault = self.faults.fail(
                    "sendmsg", errno_of(name), times=10**9, where=self.is_connected_to(scorer)
                )
                rig.front.scorer_pool.send(attempt(BY_POOL, ended))
                self.turn(rig, times=20)
                self.assertEqual((fault.hits, ended, link.connection.closed), (1, [], False))
                fault.times = fault.hits
                self.clock.advance(connection_writer.WRITE_PAUSE_MS + 5.0)
                rig.until(lambda scorer=scorer: scorer.runs, "the scorer receives the attempt")

    def test_an_error_caused_by_the_peer_ends_the_connection_and_the_attempt_is_sent_on_another(self):
        for name, end in OF_PEER["sendmsg"].items():
            with self.subTest(name):
                scorer, ended = ScorerPeer(copies=None), []
                rig = self.rig(scorer)
                link = self.link_up(rig, scorer)
                self.faults.fail("sendmsg", errno_of(name), where=self.is_connected_to(scorer))
                ends, on_end = [], link.on_end
                link.on_end = lambda end, ends=ends, on_end=on_end: (ends.append(end), on_end(end))
                rig.front.scorer_pool.send(attempt(BY_POOL, ended))
                rig.until(
                    lambda scorer=scorer: scorer.runs, "the scorer receives the attempt on another connection"
                )
                self.assertEqual((ends, ended), ([end], []))

    def test_a_client_is_answered_after_a_transient_error(self):
        rig = self.rig()
        client = rig.client()
        port = client.sock.getsockname()[1]
        self.faults.fail("sendmsg", errno.ENOBUFS, where=lambda sock: sock.getpeername()[1] == port)
        client.status(7)
        self.turn(rig)
        self.assertEqual(client.answers, [])
        self.clock.advance(connection_writer.WRITE_PAUSE_MS + 5.0)
        rig.until(lambda: client.answers, "the client receives the answer")

    def test_a_transient_error_within_a_frame_does_not_let_it_be_completed_late(self):
        scorer, ended = ScorerPeer(copies=None), []
        rig = self.rig(scorer)
        link = self.link_up(rig, scorer)
        self.faults.shorten("sendmsg", 30, where=self.is_connected_to(scorer))
        fault = self.faults.fail("sendmsg", errno.ENOMEM, times=10**9, where=self.is_connected_to(scorer))
        rig.front.scorer_pool.send(attempt(BY_POOL, ended))
        rig.until(lambda: fault.hits, "the frame is partially written")
        while not link.connection.closed:
            self.clock.advance(10.0)
            self.turn(rig, times=1)
        fault.times = fault.hits
        rig.settle(rig.client())
        self.assertEqual((ended, scorer.frames), ([(EndReason.LOCAL_FAULT, True)], []))
        self.assertEqual(attempt_result(*ended[0], whole=False), io.AttemptResult.NOT_SENT)


if __name__ == "__main__":
    unittest.main()
