"""Receive stamps: taken where they fit the clock, and left where they are another clock's or absent."""

import socket
import time
import unittest

from fawnwharf.net import connection, receive_age
from fawnwharf.net.event_loop import EventLoop, ReceiveTimestampCheck


class Trust(unittest.TestCase):
    def test_ages_are_taken_as_long_as_they_fit(self):
        cases = (  # age, gap between turns, looked at, what is gone by
            (30.0, 40.0, True, 30.0),  # the process was held up
            (4_000.0, 4_100.0, True, 4_000.0),  # for long
            (-5.0, 40.0, True, 0.0),  # the clock was set a little
            (70_000.0, 40.0, False, 0.0),  # and by much
            (900.0, 40.0, False, 900.0),  # waited to be accepted
        )
        for age, gap, looked_at, taken in cases:
            with self.subTest(age=age, gap=gap):
                self.assertEqual(taken, ReceiveTimestampCheck().age_ms(age, gap, looked_at))

    def test_stamps_of_a_clock_that_is_seconds_behind_are_left_after_a_few_reads(self):
        trust = ReceiveTimestampCheck()
        ages = [trust.age_ms(5_000.0, 40.0, True) for _ in range(50)]
        self.assertEqual(0.0, sum(ages[3:]))
        self.assertEqual(0.0, trust.age_ms(5_000.0, 40.0, False))

    def test_stamps_of_a_clock_that_runs_away_are_left_too(self):
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

    def test_reads_without_stamps_and_with_another_clocks_go_on(self):
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
        note = (socket.SOL_SOCKET, receive_age.SO_TIMESTAMPNS, receive_age.TIMESTAMP.pack(seconds, 0))
        ages = [owner.connection._age([note]) for _ in range(8)]
        self.assertEqual([0.0] * 4, ages[4:])
        owner.connection.close(connection.EndReason.STOPPED)


class _NoDelay:
    """A socket pair's end in place of a TCP socket."""

    def __init__(self, sock):
        self._sock = sock

    def setsockopt(self, *_):
        pass

    def __getattr__(self, name):
        return getattr(self._sock, name)


if __name__ == "__main__":
    unittest.main()
