"""Accepting client connections: errors of one connection, resource shortages, and failures after accept."""

import errno
import os
import unittest
from unittest import mock

from peers import ScorerPeer
from support.client_cases import Case, wait
from support.system_faults import SystemFaults

from fawnwharf.net import acceptor
from fawnwharf.net.connection import READ_AGAIN_MS, Connection
from fawnwharf.net.end_reasons import EndReason

SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Accepting(Case):
    def setUp(self):
        self.faults = SystemFaults()
        installed = self.faults.installed()
        installed.__enter__()
        self.addCleanup(installed.__exit__, None, None, None)

    def at_listener(self, rig):
        """Restrict a fault to the listening socket."""
        return lambda sock: sock is rig.front.client_port.listener

    def test_after_an_error_of_one_connection_the_next_is_accepted_in_the_same_iteration(self):
        for error in sorted(acceptor.SINGLE_CONNECTION_ERRORS):
            with self.subTest(errno.errorcode[error]):
                rig = self.rig(ScorerPeer())
                fault = self.faults.fail("accept", error, where=self.at_listener(rig))
                rig.client()
                rig.front.loop.run_iteration(1.0)
                self.assertEqual((fault.hits, len(rig.front.client_port.clients)), (1, 1))

    def test_a_resource_shortage_pauses_accepting_without_a_busy_loop(self):
        for error in SHORTAGES:
            with self.subTest(errno.errorcode[error]):
                rig = self.rig(ScorerPeer())
                client = rig.client()
                rig.settle(client)
                fault = self.faults.fail("accept", error, times=1_000, where=self.at_listener(rig))
                late = rig.client()
                late.status(1)
                wait(rig, 4 * acceptor.ACCEPT_PAUSE_MS)
                self.assertLessEqual(fault.hits, 5)  # one per pause
                rig.settle(client)
                fault.times = 0
                rig.until(lambda late=late: late.answers, "the connection is accepted after the shortage")

    def test_an_unknown_error_pauses_accepting(self):
        rig = self.rig(ScorerPeer())
        fault = self.faults.fail("accept", errno.EINVAL, times=1_000, where=self.at_listener(rig))
        late = rig.client()
        late.status(1)
        wait(rig, 4 * acceptor.ACCEPT_PAUSE_MS)
        self.assertLessEqual(fault.hits, 5)
        fault.times = 0
        rig.until(lambda: late.answers, "the connection is accepted after the error")

    def test_endless_errors_cause_no_busy_loop(self):
        rig = self.rig(ScorerPeer())
        fault = self.faults.fail("accept", errno.EPROTO, times=100_000, where=self.at_listener(rig))
        late = rig.client()
        late.status(1)
        wait(rig, 4 * acceptor.ACCEPT_PAUSE_MS)
        self.assertLessEqual(fault.hits, 5 * acceptor.MAX_ACCEPTS)
        fault.times = 0
        rig.until(lambda: late.answers, "the connection is accepted after the errors")

    def test_a_selector_without_memory_after_a_pause_is_retried(self):
        rig = self.rig(ScorerPeer())
        self.faults.fail("accept", errno.EMFILE, where=self.at_listener(rig))
        late = rig.client()
        late.status(1)
        rig.front.loop.run_iteration(1.0)
        no_memory = OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))
        with mock.patch.object(rig.front.loop._selector, "register", side_effect=no_memory) as register:
            rig.until(lambda: register.called, "watching the listener has failed")
        rig.until(lambda: late.answers, "the connection is accepted after a retry")

    def test_freed_capacity_ends_the_pause(self):
        rig = self.rig(ScorerPeer())
        client = rig.client()
        rig.settle(client)
        self.faults.fail("accept", errno.EMFILE, where=self.at_listener(rig))
        late = rig.client()
        late.status(1)
        with mock.patch.object(acceptor, "ACCEPT_PAUSE_MS", 60_000.0):
            rig.front.loop.run_iteration(1.0)
            client.sock.close()
            client.ended = True
            rig.until(lambda: late.answers, "the freed descriptor is used for the next connection")


class AfterAccept(Case):
    """A connection that fails after its accept and before it is watched by the selector."""

    def check_only_first_is_lost(self, rig):
        lost, good = rig.client(), rig.client()
        good.status(1)
        rig.until(lambda: lost.ended and good.answers, "the first is closed and the second is served")
        self.assertEqual(len(rig.front.client_port.clients), 1)

    def test_a_socket_option_that_cannot_be_set_loses_only_that_connection(self):
        rig = self.rig(ScorerPeer())
        original, failed = Connection.accepted, []

        def accepted(loop, sock, *arguments, **options):
            if not failed:
                failed.append(sock)
                raise OSError(errno.EINVAL, os.strerror(errno.EINVAL))
            return original(loop, sock, *arguments, **options)

        with mock.patch.object(Connection, "accepted", accepted):
            self.check_only_first_is_lost(rig)
        self.assertEqual(failed[0].fileno(), -1)  # closed explicitly: `failed` keeps it from being collected

    def test_a_selector_without_memory_loses_only_that_connection(self):
        rig = self.rig(ScorerPeer())
        register, failed = rig.front.loop._selector.register, []

        def register_without_memory(sock, mask, data):
            if not failed:
                failed.append(sock)
                raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))
            return register(sock, mask, data)

        with mock.patch.object(rig.front.loop._selector, "register", register_without_memory):
            self.check_only_first_is_lost(rig)
        self.assertEqual(failed[0].fileno(), -1)


class Reading(Case):
    def test_a_read_without_memory_is_retried_after_a_pause(self):
        for error in (errno.ENOBUFS, errno.ENOMEM):
            with self.subTest(errno.errorcode[error]):
                faults = SystemFaults()
                with faults.installed():
                    rig = self.rig(ScorerPeer())
                    client = rig.client()
                    rig.settle(client)
                    sock = self.server_side(rig, client).connection._sock
                    fault = faults.fail("recvmsg", error, times=10_000, where=lambda s, sock=sock: s is sock)
                    client.status(7)
                    wait(rig, 4 * READ_AGAIN_MS)
                    self.assertIn(fault.hits, range(2, 6))  # no busy loop
                    fault.times = 0
                    rig.until(lambda client=client: 7 in client.kinds(), "the status call is read")

    def test_an_interrupted_read_is_repeated(self):
        faults = SystemFaults()
        with faults.installed():
            rig = self.rig(ScorerPeer())
            client = rig.client()
            rig.settle(client)
            fault = faults.fail("recvmsg", errno.EINTR)
            rig.settle(client)
        self.assertEqual(fault.hits, 1)

    def test_any_other_error_of_a_read_ends_the_connection_and_withdraws_what_is_open(self):
        reasons = {
            errno.ECONNRESET: EndReason.RESET_BY_PEER,
            errno.EPIPE: EndReason.RESET_BY_PEER,
            errno.ETIMEDOUT: EndReason.UNREACHABLE,
            errno.EHOSTUNREACH: EndReason.UNREACHABLE,
            errno.ENETDOWN: EndReason.UNREACHABLE,
            errno.EIO: EndReason.UNREACHABLE,
        }
        for error, reason in reasons.items():
            with self.subTest(errno.errorcode[error]):
                faults = SystemFaults()
                with faults.installed():
                    rig = self.rig(ScorerPeer(copies=None))
                    client, other = rig.client(), rig.client()
                    self.open_request(rig, client)
                    other_key = self.open_request(rig, other)
                    server_side = self.server_side(rig, client)
                    sock = server_side.connection._sock
                    faults.fail("recvmsg", error, where=lambda s, sock=sock: s is sock)
                    with mock.patch.object(server_side, "on_end", wraps=server_side.on_end) as ended:
                        client.status(7)
                        rig.until(lambda client=client: client.ended, "the connection ends")
                ended.assert_called_once_with(reason)
                self.assertEqual(list(rig.front.requests.open), [other_key])


if __name__ == "__main__":
    unittest.main()
