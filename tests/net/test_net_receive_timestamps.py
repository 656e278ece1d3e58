"""Receive timestamps: used if they agree with the clock, and ignored if they do not or are missing."""

import socket
import time
import unittest

from fawnwharf.net import connection, receive_age
from fawnwharf.net.event_loop import EventLoop, ReceiveTimestampCheck


class Trust(unittest.TestCase):
    def test_ages_are_used_while_they_are_plausible(self):
        cases = (  # age, time between iterations, whether previously read, expected age
            (30.0, 40.0, True, 30.0),  # the process was stalled
            (4_000.0, 4_100.0, True, 4_000.0),  # the process was stalled for long
            (-5.0, 40.0, True, 0.0),  # the clock was set back a little
            (70_000.0, 40.0, False, 0.0),  # the clock was set by a lot
            (900.0, 40.0, False, 900.0),  # the connection waited to be accepted
        )
        for age_ms, gap_ms, previously_read, expected_ms in cases:
            with self.subTest(age_ms=age_ms, gap_ms=gap_ms):
                self.assertEqual(expected_ms, ReceiveTimestampCheck().age_ms(age_ms, gap_ms, previously_read))

    def test_timestamps_of_a_clock_seconds_behind_are_ignored_after_a_few_reads(self):
        trust = ReceiveTimestampCheck()
        ages = [trust.age_ms(5_000.0, 40.0, True) for _ in range(50)]
        self.assertEqual(0.0, sum(ages[3:]))
        self.assertEqual(0.0, trust.age_ms(5_000.0, 40.0, False))

    def test_timestamps_of_a_clock_seconds_ahead_are_ignored(self):
        trust = ReceiveTimestampCheck()
        for _ in range(10):
            trust.age_ms(-3_000.0, 40.0, True)
        self.assertEqual(0.0, trust.age_ms(30.0, 40.0, False))

    def test_a_few_old_reads_among_many_change_nothing(self):
        trust = ReceiveTimestampCheck()
        for n in range(400):
            trust.age_ms(6_000.0 if n % 20 == 0 else 10.0, 40.0, True)
        self.assertEqual(25.0, trust.age_ms(25.0, 40.0, True))


class Reads(unittest.TestCase):
    class Owner:
        def __init__(self):
            self.ages = []

        def on_data(self, data):
            self.ages.append(self.connection.age_ms)

        def on_up(self):
            pass

        on_flushed = on_up

        def on_end(self, end):
            pass

    def test_reads_continue_without_timestamps_and_with_those_of_another_clock(self):
        loop = EventLoop(lambda now, events: None, lambda text: None)
        self.addCleanup(loop.close)
        near, far = socket.socketpair()
        self.addCleanup(far.close)
        owner = self.Owner()
        owner.connection = connection.Connection.accepted(loop, _NoDelay(near), owner)
        for _ in range(3):
            far.send(b"x")
            loop.run_iteration(1.0)
        self.assertEqual([0.0] * 3, owner.ages)
        seconds = int(time.time()) - 7
        timestamp = (socket.SOL_SOCKET, receive_age.SO_TIMESTAMPNS, receive_age.TIMESTAMP.pack(seconds, 0))
        ages = [owner.connection._age([timestamp]) for _ in range(8)]
        self.assertEqual([0.0] * 4, ages[4:])
        owner.connection.close(connection.EndReason.STOPPED)


class _NoDelay:
    """Wraps one end of a socket pair, and ignores the options of TCP sockets."""

    def __init__(self, sock):
        self._sock = sock

    def setsockopt(self, *_):
        pass

    def __getattr__(self, name):
        return getattr(self._sock, name)


if __name__ == "__main__":
    unittest.main()
