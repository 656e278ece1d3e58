"""Member logs over sockets: a follower gets each line once and in order.

A malformed line costs the connection that it came by, and nothing else.
"""

import json
import socket
import time
import unittest
from unittest import mock

from fawnwharf.net import connection
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.zones import member_log
from fawnwharf.zones.member_log import LogServer, MemberLogFollower

PATIENCE_S = 10.0


class Case(unittest.TestCase):
    def setUp(self):
        self.loop = EventLoop(lambda _now_ms, _events: None, mock.Mock())
        self.addCleanup(self.loop.close)
        self.told, self.dropped = [], []

    def until(self, condition, what):
        end = time.monotonic() + PATIENCE_S
        while not condition():
            assert time.monotonic() < end, f"waited in vain until {what}"
            self.loop.run_iteration(0.005)

    def server(self, life=1, most=8, address=("127.0.0.1", 0)):
        server = LogServer(self.loop, address, life, most)
        self.addCleanup(lambda: server._closed or server.close())
        return server

    def follow(self, address, told=None):
        feed = MemberLogFollower(self.loop, address, told or self.told.append, self.dropped.append)
        self.addCleanup(feed.close)
        feed.connect()
        return feed


class Following(Case):
    def test_a_reader_gets_the_current_lines_and_then_each_new_line_once(self):
        server = self.server()
        for n in range(5):
            server.write({"n": n}, counts_as="n")
        feed = self.follow(server.address)
        self.until(lambda: self.told, "what counts is told")
        server.write({"m": 1})
        server.write({"n": 5}, counts_as="n")
        self.until(lambda: feed.seq == 7, "all is told")
        assert self.told == [{"n": 4}, {"m": 1}, {"n": 5}]

    def test_a_reader_that_reconnects_continues_from_its_number(self):
        server = self.server()
        server.write({"n": 0}, counts_as="n")
        feed = self.follow(server.address)
        self.until(lambda: self.told, "the first is told")
        feed._connection.close(member_log.EndReason.RETIRED)
        server.write({"n": 1})
        server.write({"n": 2})
        self.until(lambda: feed.seq == 3, "the others are told")
        assert self.told == [{"n": 0}, {"n": 1}, {"n": 2}]

    def test_a_reader_that_was_away_for_too_long_gets_the_current_lines_only(self):
        server = self.server()
        server.write({"n": 0}, counts_as="n")
        feed = self.follow(server.address)
        self.until(lambda: self.told, "the first is told")
        feed._connection.close(member_log.EndReason.RETIRED)
        for n in range(1, member_log.MAX_STORED_LINES + 10):
            server.write({"n": n}, counts_as="n")
        self.until(lambda: feed.seq == member_log.MAX_STORED_LINES + 10, "it has caught up")
        assert self.told == [{"n": 0}, {"n": member_log.MAX_STORED_LINES + 9}]

    def test_a_new_incarnation_is_read_from_its_start_whatever_number_was_reached(self):
        for later in (1, 9):
            with self.subTest(later=later):
                self.told.clear()
                server = self.server(life=5)
                for n in range(4):
                    server.write({"old": n})
                feed = self.follow(server.address)
                self.until(lambda feed=feed: feed.seq == 4, "the old life is followed")
                server.close()
                again = self.server(life=6, address=server.address)
                for n in range(later):
                    again.write({"new": n}, counts_as="new")
                last = {"new": later - 1}
                self.until(lambda last=last: last in self.told, "the new life is followed")
                again.write({"new": "more"})
                self.until(lambda: {"new": "more"} in self.told, "and goes on")
                assert (feed.incarnation, feed.seq) == (6, later + 1)

    def test_heartbeats_keep_a_log_alive_and_a_silent_one_is_dialed_again(self):
        server = self.server()
        feed = self.follow(server.address)
        self.until(lambda: feed.up and server.readers, "it is followed")
        heard = feed._connection.last_received_ms
        self.until(lambda: feed._connection.last_received_ms > heard, "a pulse comes")
        later_ms = connection.monotonic_ms() + 5_000.0
        with mock.patch("fawnwharf.net.change_log.monotonic_ms", return_value=later_ms):
            feed.run_maintenance()
        assert "silent" in self.dropped[-1]


class Readers(Case):
    def asked(self, server, data):
        sock = socket.create_connection(server.address)
        self.addCleanup(sock.close)
        sock.setblocking(False)
        sock.sendall(data)
        return sock

    def ended(self, sock):
        try:
            return sock.recv(65536) == b""
        except BlockingIOError:
            return False
        except ConnectionResetError:
            return True

    def test_an_invalid_request_ends_the_connection(self):
        server = self.server()
        for data in (
            b"since x\n",
            b"since -1\n",
            b"since\n",
            b"GET / HTTP/1.1\r\n\r\n",
            b"x" * 200,
            b"since 0\nmore",
        ):
            with self.subTest(data=data):
                sock = self.asked(server, data)
                self.until(lambda sock=sock: self.ended(sock), "it is ended")
        self.until(lambda: not server.readers, "none is kept")

    def test_a_reader_without_a_request_is_disconnected(self):
        with (
            mock.patch.object(member_log, "REQUEST_TIMEOUT_MS", 50.0),
            mock.patch.object(member_log, "HEARTBEAT_MS", 60.0),
        ):
            server = self.server()
            sock = self.asked(server, b"sin")
            self.until(lambda: self.ended(sock), "it is ended")

    def test_readers_above_the_maximum_are_closed(self):
        server = self.server(most=2)
        kept = [self.asked(server, b"since 0\n") for _ in range(2)]
        self.until(lambda: len(server.readers) == 2, "both are there")
        third = self.asked(server, b"since 0\n")
        self.until(lambda: self.ended(third), "it is closed")
        assert not any(self.ended(sock) for sock in kept)

    def test_a_reader_that_does_not_read_is_disconnected_and_nothing_is_buffered_for_it(self):
        server = self.server()
        sock = self.asked(server, b"since 0\n")
        self.until(lambda: any(reader.since is not None for reader in server.readers), "it has asked")
        with mock.patch.object(member_log, "MAX_UNREAD_BYTES", 10_000):
            end = time.monotonic() + PATIENCE_S
            while server.readers:
                assert time.monotonic() < end
                server.write({"text": "x" * 50_000})
                self.loop.run_iteration(0.0)
        assert server._stored_bytes <= member_log.MAX_STORED_BYTES
        sock.close()


class Lines(Case):
    """A far end that writes what the test says."""

    def setUp(self):
        super().setUp()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.addCleanup(self.listener.close)

    def far(self):
        found = []

        def came():
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return False
            found.append(sock)
            return True

        self.until(came, "it is dialled")
        self.addCleanup(found[0].close)
        return found[0]

    def say(self, sock, *lines):
        for line in lines:
            sock.sendall(line if isinstance(line, bytes) else json.dumps(line).encode() + b"\n")

    def test_a_rejected_line_costs_the_connection_and_is_requested_again(self):
        def told(line):
            if line == "forged":
                raise ValueError("no member writes that")
            self.told.append(line)

        feed = self.follow(self.listener.getsockname(), told)
        first = {"seq": 3, "life": 8, "whole": True, "line": "first"}
        bad = [
            b"{not json\n",
            {"seq": 5, "life": 8, "line": "a number is missing"},
            {"seq": 4, "life": 9, "line": "another life, and not whole"},
            {"seq": 4, "life": 8, "line": "forged"},
            {"seq": "4", "life": 8},
            {"seq": 4, "life": 0},
            {"seq": True, "life": 8},
            [4],
            9,  # it says that it told more than came
        ]
        for n, line in enumerate(bad):
            with self.subTest(line=line):
                sock = self.far()
                self.say(sock, first)
                self.until(lambda n=n: len(self.told) == n + 1, "the good line is taken")
                self.say(sock, line)
                self.until(lambda: not feed.up, "the connection is given up")
                sock.close()
        assert self.told == ["first"] * len(bad)

    def test_a_partial_line_is_ignored_and_one_without_an_end_is_not_buffered(self):
        feed = self.follow(self.listener.getsockname())
        sock = self.far()
        self.say(sock, {"seq": 1, "life": 8, "whole": True, "line": "whole"}, b'{"seq":2,"life":8,"li')
        self.until(lambda: self.told, "the whole one is taken")
        sock.close()
        sock = self.far()
        self.say(sock, {"seq": 2, "life": 8, "line": "second"})
        self.until(lambda: len(self.told) == 2, "the second is taken")
        with mock.patch.object(MemberLogFollower, "max_line_bytes", 1_000):
            self.say(sock, b"x" * 5_000)
            self.until(lambda: not feed.up, "the connection is given up")
        assert self.told == ["whole", "second"]

    def test_a_repeated_line_is_received_once(self):
        feed = self.follow(self.listener.getsockname())
        sock = self.far()
        line = {"seq": 2, "life": 8, "line": "second"}
        self.say(sock, {"seq": 1, "life": 8, "whole": True, "line": "first"}, line, line, line)
        self.until(lambda: feed.seq == 2, "it is taken")
        self.say(sock, {"seq": 3, "life": 8, "line": "third"})
        self.until(lambda: feed.seq == 3, "the next is taken")
        assert self.told == ["first", "second", "third"]


if __name__ == "__main__":
    unittest.main()
