"""Member logs over sockets: a follower gets each line once and in order.

A malformed line closes its connection and has no other effect.
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

TIMEOUT_S = 10.0


class MemberLogCase(unittest.TestCase):
    def setUp(self):
        self.loop = EventLoop(lambda _now_ms, _events: None, mock.Mock())
        self.addCleanup(self.loop.close)
        self.received, self.log_lines = [], []

    def wait_until(self, condition, awaited):
        deadline_s = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < deadline_s, f"timed out waiting until {awaited}"
            self.loop.run_iteration(0.005)

    def server(self, incarnation=1, max_readers=8, address=("127.0.0.1", 0)):
        server = LogServer(self.loop, address, incarnation, max_readers)
        self.addCleanup(lambda: server._closed or server.close())
        return server

    def follow(self, address, receive=None):
        feed = MemberLogFollower(self.loop, address, receive or self.received.append, self.log_lines.append)
        self.addCleanup(feed.close)
        feed.connect()
        return feed


class FollowingTests(MemberLogCase):
    def test_a_reader_gets_the_current_lines_and_then_each_new_line_once(self):
        server = self.server()
        for n in range(5):
            server.write({"n": n}, counts_as="n")
        feed = self.follow(server.address)
        self.wait_until(lambda: self.received, "the current line is received")
        server.write({"m": 1})
        server.write({"n": 5}, counts_as="n")
        self.wait_until(lambda: feed.seq == 7, "all lines are received")
        assert self.received == [{"n": 4}, {"m": 1}, {"n": 5}]

    def test_a_reader_that_reconnects_continues_from_its_number(self):
        server = self.server()
        server.write({"n": 0}, counts_as="n")
        feed = self.follow(server.address)
        self.wait_until(lambda: self.received, "the first line is received")
        feed._connection.close(member_log.EndReason.SUPERSEDED)
        server.write({"n": 1})
        server.write({"n": 2})
        self.wait_until(lambda: feed.seq == 3, "the other lines are received")
        assert self.received == [{"n": 0}, {"n": 1}, {"n": 2}]

    def test_a_reader_that_was_away_for_too_long_gets_the_current_lines_only(self):
        server = self.server()
        server.write({"n": 0}, counts_as="n")
        feed = self.follow(server.address)
        self.wait_until(lambda: self.received, "the first line is received")
        feed._connection.close(member_log.EndReason.SUPERSEDED)
        for n in range(1, member_log.MAX_STORED_LINES + 10):
            server.write({"n": n}, counts_as="n")
        self.wait_until(lambda: feed.seq == member_log.MAX_STORED_LINES + 10, "the last line is received")
        assert self.received == [{"n": 0}, {"n": member_log.MAX_STORED_LINES + 9}]

    def test_a_new_incarnation_is_read_from_its_start_whatever_number_was_reached(self):
        for line_count in (1, 9):
            with self.subTest(line_count=line_count):
                self.received.clear()
                server = self.server(incarnation=5)
                for n in range(4):
                    server.write({"old": n})
                feed = self.follow(server.address)
                self.wait_until(lambda feed=feed: feed.seq == 4, "the old incarnation is followed")
                server.close()
                again = self.server(incarnation=6, address=server.address)
                for n in range(line_count):
                    again.write({"new": n}, counts_as="new")
                last = {"new": line_count - 1}
                self.wait_until(lambda last=last: last in self.received, "the new incarnation is followed")
                again.write({"new": "more"})
                self.wait_until(lambda: {"new": "more"} in self.received, "a further line is received")
                assert (feed.incarnation, feed.seq) == (6, line_count + 1)

    def test_heartbeats_keep_a_log_connected_and_a_silent_one_is_reconnected(self):
        server = self.server()
        feed = self.follow(server.address)
        self.wait_until(lambda: feed.up and server.readers, "the log is followed")
        heartbeat_before_ms = feed._connection.last_received_ms
        self.wait_until(
            lambda: feed._connection.last_received_ms > heartbeat_before_ms, "a heartbeat is received"
        )
        later_ms = connection.monotonic_ms() + 5_000.0
        with mock.patch("fawnwharf.net.change_log.monotonic_ms", return_value=later_ms):
            feed.run_maintenance()
        assert "silent" in self.log_lines[-1]


class ReaderTests(MemberLogCase):
    def open_connection(self, server, data):
        sock = socket.create_connection(server.address)
        self.addCleanup(sock.close)
        sock.setblocking(False)
        sock.sendall(data)
        return sock

    def is_closed(self, sock):
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
                sock = self.open_connection(server, data)
                self.wait_until(lambda sock=sock: self.is_closed(sock), "the connection is closed")
        self.wait_until(lambda: not server.readers, "no reader is left")

    def test_a_reader_without_a_request_is_disconnected(self):
        with (
            mock.patch.object(member_log, "REQUEST_TIMEOUT_MS", 50.0),
            mock.patch.object(member_log, "HEARTBEAT_MS", 60.0),
        ):
            server = self.server()
            sock = self.open_connection(server, b"sin")
            self.wait_until(lambda: self.is_closed(sock), "the connection is closed")

    def test_readers_above_the_maximum_are_closed(self):
        server = self.server(max_readers=2)
        open_sockets = [self.open_connection(server, b"since 0\n") for _ in range(2)]
        self.wait_until(lambda: len(server.readers) == 2, "both readers are connected")
        extra_socket = self.open_connection(server, b"since 0\n")
        self.wait_until(lambda: self.is_closed(extra_socket), "the connection is closed")
        assert not any(self.is_closed(sock) for sock in open_sockets)

    def test_a_reader_that_does_not_read_is_disconnected_and_nothing_is_buffered_for_it(self):
        server = self.server()
        sock = self.open_connection(server, b"since 0\n")
        self.wait_until(
            lambda: any(reader.since is not None for reader in server.readers), "the request is received"
        )
        with mock.patch.object(member_log, "MAX_UNREAD_BYTES", 10_000):
            deadline_s = time.monotonic() + TIMEOUT_S
            while server.readers:
                assert time.monotonic() < deadline_s
                server.write({"text": "x" * 50_000})
                self.loop.run_iteration(0.0)
        assert server._stored_bytes <= member_log.MAX_STORED_BYTES
        sock.close()


class MalformedLineTests(MemberLogCase):
    """A follower that is connected to a listener by which the test sends arbitrary lines."""

    def setUp(self):
        super().setUp()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.addCleanup(self.listener.close)

    def accept_connection(self):
        accepted = []

        def try_accept():
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return False
            accepted.append(sock)
            return True

        self.wait_until(try_accept, "the follower connects")
        self.addCleanup(accepted[0].close)
        return accepted[0]

    def send_lines(self, sock, *lines):
        for line in lines:
            sock.sendall(line if isinstance(line, bytes) else json.dumps(line).encode() + b"\n")

    def test_a_rejected_line_closes_the_connection_and_is_requested_again(self):
        def receive_unless_forged(line):
            if line == "forged":
                raise ValueError("forged line")
            self.received.append(line)

        feed = self.follow(self.listener.getsockname(), receive_unless_forged)
        first = {"seq": 3, "life": 8, "whole": True, "line": "first"}
        malformed_lines = [
            b"{not json\n",
            {"seq": 5, "life": 8, "line": "a number is missing"},
            {"seq": 4, "life": 9, "line": "another incarnation, and not whole"},
            {"seq": 4, "life": 8, "line": "forged"},
            {"seq": "4", "life": 8},
            {"seq": 4, "life": 0},
            {"seq": True, "life": 8},
            [4],
            9,  # a heartbeat with a larger number than the last line
        ]
        for n, line in enumerate(malformed_lines):
            with self.subTest(line=line):
                sock = self.accept_connection()
                self.send_lines(sock, first)
                self.wait_until(lambda n=n: len(self.received) == n + 1, "the valid line is received")
                self.send_lines(sock, line)
                self.wait_until(lambda: not feed.up, "the connection is closed")
                sock.close()
        assert self.received == ["first"] * len(malformed_lines)

    def test_a_partial_line_is_ignored_and_one_without_an_end_is_not_buffered(self):
        feed = self.follow(self.listener.getsockname())
        sock = self.accept_connection()
        self.send_lines(sock, {"seq": 1, "life": 8, "whole": True, "line": "whole"}, b'{"seq":2,"life":8,"li')
        self.wait_until(lambda: self.received, "the complete line is received")
        sock.close()
        sock = self.accept_connection()
        self.send_lines(sock, {"seq": 2, "life": 8, "line": "second"})
        self.wait_until(lambda: len(self.received) == 2, "the second line is received")
        with mock.patch.object(MemberLogFollower, "max_line_bytes", 1_000):
            self.send_lines(sock, b"x" * 5_000)
            self.wait_until(lambda: not feed.up, "the connection is closed")
        assert self.received == ["whole", "second"]

    def test_a_repeated_line_is_received_once(self):
        feed = self.follow(self.listener.getsockname())
        sock = self.accept_connection()
        line = {"seq": 2, "life": 8, "line": "second"}
        self.send_lines(sock, {"seq": 1, "life": 8, "whole": True, "line": "first"}, line, line, line)
        self.wait_until(lambda: feed.seq == 2, "the second line is received")
        self.send_lines(sock, {"seq": 3, "life": 8, "line": "third"})
        self.wait_until(lambda: feed.seq == 3, "the third line is received")
        assert self.received == ["first", "second", "third"]


if __name__ == "__main__":
    unittest.main()
