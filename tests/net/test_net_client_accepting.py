"""Accepting: errors of one connection, shortages of the system, and what fails after accept."""

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
        return lambda sock: sock is rig.front.client_port.listener

    def test_an_error_of_one_connection_leaves_the_next_one_to_be_accepted_in_the_same_turn(self):
        for error in sorted(acceptor.SINGLE_CONNECTION_ERRORS):
            with self.subTest(errno.errorcode[error]):
                rig = self.rig(ScorerPeer())
                fault = self.faults.fail("accept", error, where=self.at_listener(rig))
                rig.client()
                rig.front.loop.run_iteration(1.0)
                self.assertEqual((fault.hits, len(rig.front.client_port.clients)), (1, 1))

    def test_a_shortage_is_waited_out_without_spinning_and_the_rest_goes_on(self):
        for error in SHORTAGES:
            with self.subTest(errno.errorcode[error]):
                rig = self.rig(ScorerPeer())
                client = rig.client()
                rig.settle(client)
                fault = self.faults.fail("accept", error, times=1_000, where=self.at_listener(rig))
                late = rig.client()
                late.status(1)
                wait(rig, 4 * acceptor.ACCEPT_PAUSE_MS)
                self.assertLessEqual(fault.hits, 5)  # one in each pause
                rig.settle(client)
                fault.times = 0
                rig.until(lambda late=late: late.answers, "it is accepted once the shortage is over")

    def test_an_error_that_is_unknown_here_is_waited_out_too(self):
        rig = self.rig(ScorerPeer())
        fault = self.faults.fail("accept", errno.EINVAL, times=1_000, where=self.at_listener(rig))
        late = rig.client()
        late.status(1)
        wait(rig, 4 * acceptor.ACCEPT_PAUSE_MS)
        self.assertLessEqual(fault.hits, 5)
        fault.times = 0
        rig.until(lambda: late.answers, "it is accepted in the end")

    def test_errors_without_an_end_do_not_spin(self):
        rig = self.rig(ScorerPeer())
        fault = self.faults.fail("accept", errno.EPROTO, times=100_000, where=self.at_listener(rig))
        late = rig.client()
        late.status(1)
        wait(rig, 4 * acceptor.ACCEPT_PAUSE_MS)
        self.assertLessEqual(fault.hits, 5 * acceptor.MAX_ACCEPTS)
        fault.times = 0
        rig.until(lambda: late.answers, "it is accepted in the end")

    def test_a_selector_without_memory_after_a_pause_is_waited_out(self):
        rig = self.rig(ScorerPeer())
        self.faults.fail("accept", errno.EMFILE, where=self.at_listener(rig))
        late = rig.client()
        late.status(1)
        rig.front.loop.run_iteration(1.0)
        lack = OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))
        with mock.patch.object(rig.front.loop._selector, "register", side_effect=lack) as register:
            rig.until(lambda: register.called, "the listener can't be watched")
        rig.until(lambda: late.answers, "it is, later")

    def test_room_that_comes_free_ends_the_pause(self):
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
            rig.until(lambda: late.answers, "its descriptor serves the next one")


class AfterAccept(Case):
    """A connection that fails between its accept and its place in the selector."""

    def one_lost(self, rig):
        lost, good = rig.client(), rig.client()
        good.status(1)
        rig.until(lambda: lost.ended and good.answers, "one is closed, the next one is served")
        self.assertEqual(len(rig.front.client_port.clients), 1)

    def test_an_option_that_can_not_be_set_costs_that_connection_only(self):
        rig = self.rig(ScorerPeer())
        made, failed = Connection.accepted, []

        def accepted(loop, sock, *arguments, **more):
            if not failed:
                failed.append(sock)
                raise OSError(errno.EINVAL, os.strerror(errno.EINVAL))
            return made(loop, sock, *arguments, **more)

        with mock.patch.object(Connection, "accepted", accepted):
            self.one_lost(rig)
        self.assertEqual(failed[0].fileno(), -1)  # closed, and not by a collection

    def test_a_selector_without_memory_costs_that_connection_only(self):
        rig = self.rig(ScorerPeer())
        register, failed = rig.front.loop._selector.register, []

        def full(sock, mask, data):
            if not failed:
                failed.append(sock)
                raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))
            return register(sock, mask, data)

        with mock.patch.object(rig.front.loop._selector, "register", full):
            self.one_lost(rig)
        self.assertEqual(failed[0].fileno(), -1)


class Reading(Case):
    def test_a_want_of_memory_is_waited_out_and_what_lies_unread_is_read(self):
        for error in (errno.ENOBUFS, errno.ENOMEM):
            with self.subTest(errno.errorcode[error]):
                faults = SystemFaults()
                with faults.installed():
                    rig = self.rig(ScorerPeer())
                    client = rig.client()
                    rig.settle(client)
                    here = self.served(rig, client).connection._sock
                    fault = faults.fail("recvmsg", error, times=10_000, where=lambda s, here=here: s is here)
                    client.status(7)
                    wait(rig, 4 * READ_AGAIN_MS)
                    self.assertIn(fault.hits, range(2, 6))  # it did not spin
                    fault.times = 0
                    rig.until(lambda client=client: 7 in client.kinds(), "it is read in the end")

    def test_an_interrupted_read_is_made_again(self):
        faults = SystemFaults()
        with faults.installed():
            rig = self.rig(ScorerPeer())
            client = rig.client()
            rig.settle(client)
            fault = faults.fail("recvmsg", errno.EINTR)
            rig.settle(client)
        self.assertEqual(fault.hits, 1)

    def test_any_other_error_of_a_read_ends_the_connection_and_withdraws_what_is_open(self):
        ends = {
            errno.ECONNRESET: EndReason.RESET_BY_PEER,
            errno.EPIPE: EndReason.RESET_BY_PEER,
            errno.ETIMEDOUT: EndReason.UNREACHABLE,
            errno.EHOSTUNREACH: EndReason.UNREACHABLE,
            errno.ENETDOWN: EndReason.UNREACHABLE,
            errno.EIO: EndReason.UNREACHABLE,
        }
        for error, end in ends.items():
            with self.subTest(errno.errorcode[error]):
                faults = SystemFaults()
                with faults.installed():
                    rig = self.rig(ScorerPeer(copies=None))
                    client, other = rig.client(), rig.client()
                    self.asked(rig, client)
                    kept = self.asked(rig, other)
                    served = self.served(rig, client)
                    here = served.connection._sock
                    faults.fail("recvmsg", error, where=lambda s, here=here: s is here)
                    with mock.patch.object(served, "on_end", wraps=served.on_end) as ended:
                        client.status(7)
                        rig.until(lambda client=client: client.ended, "the connection ends")
                ended.assert_called_once_with(end)
                self.assertEqual(list(rig.front.requests.open), [kept])


if __name__ == "__main__":
    unittest.main()
