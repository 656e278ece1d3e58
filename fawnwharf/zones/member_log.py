"""Logs of members over TCP, in the form of the change log.

A reader requests `since N` and gets numbered lines of JSON, and at least the last number every second. A line
is `{"seq":N,"life":L,"line":{...}}`. Each start of a process is an incarnation with numbers of its own. A
reader that requests a number that is not stored any more, or is of another incarnation, gets the lines that
are still current, marked `whole`, and goes on from their number. No more than a bound is buffered for a
reader that does not read: it is disconnected, and gets the current lines when it connects again.
"""

import contextlib
import socket
from collections import deque
from collections.abc import Callable, Hashable
from typing import Any

import msgspec

from fawnwharf.config import Address
from fawnwharf.net.change_log import ChangeLog
from fawnwharf.net.connection import Connection
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.event_loop import READ, EventLoop
from fawnwharf.net.timer_wheel import monotonic_ms

MAX_LINE_BYTES = 512 * 1024  # of a member's log
MAX_STORED_LINES = 256  # for readers that connect again
MAX_STORED_BYTES = 1024 * 1024
MAX_UNREAD_BYTES = 1024 * 1024  # that wait for one reader
MAX_REQUEST_BYTES = 64  # of a reader
MAX_NUMBER_DIGITS = 16  # in a request
REQUEST_TIMEOUT_MS = 2_000.0
HEARTBEAT_MS = 1_000.0  # between two statements of the last number
MAX_ACCEPTS = 32  # in one iteration of the loop
MAX_BACKOFF_MS = 1_000.0  # between dials to a member that is away

line_encoder = msgspec.json.Encoder()


class MemberLogFollower(ChangeLog):
    """Follows one member's log; a line that is rejected costs the connection and nothing else."""

    max_backoff_ms = MAX_BACKOFF_MS
    max_line_bytes = MAX_LINE_BYTES

    def __init__(
        self, loop: EventLoop, address: Address, receive: Callable[[Any], None], log: Callable[[str], None]
    ) -> None:
        """`receive` takes the content of each line; it raises ValueError for one that no member writes."""
        super().__init__(loop, address, 0, receive, log)
        self.incarnation = 0  # the incarnation that is followed
        self.lines = 0  # that were received

    @property
    def up(self) -> bool:
        """Whether the connection is established."""
        return self._connection is not None and self._connection.up

    @property
    def heard_ms(self) -> float:
        """When anything was last received from the log, if only its number."""
        return self._connection.last_received_ms if self._connection else 0.0

    def event(self, read: Any, _known: bool = False) -> bool:
        """Handle a decoded line; False where it is malformed or does not follow the last one.

        Overrides the method of `ChangeLog`, for which `_of_start` marks the snapshot at a start; here each
        line says itself whether it belongs to a snapshot.
        """
        if not isinstance(read, dict):
            return False
        seq, life, whole = read.get("seq"), read.get("life"), read.get("whole") is True
        if type(seq) is not int or type(life) is not int or seq < 0 or life <= 0:
            return False
        if not whole:
            if life != self.incarnation:
                return self._restart()
            if seq <= self.seq:
                return True
            if seq != self.seq + 1:
                return self._restart()
        if "line" in read and not self._receive(read["line"]):
            return False
        self.incarnation, self.seq = life, seq
        return True

    def _restart(self) -> bool:
        """Request all current lines with the next connection."""
        self.seq = self.incarnation = 0
        return False

    def _receive(self, line: Any) -> bool:
        """Pass a line on; False where it was rejected."""
        try:
            self._deliver(line)
        except ValueError as error:
            self._log(f"{self._address[0]}:{self._address[1]}: {error}")
            return False
        self.lines += 1
        return True

    def _stumble(self, _why: str) -> bool:
        """Give the connection up, without the change log's further attempts."""
        if self._connection:
            self._connection.close(EndReason.BAD_BYTES)
        return False


class _Reader:
    """One connection that follows the log."""

    def __init__(self, server: "LogServer", sock: socket.socket) -> None:
        self.since: int | None = None  # None until it has sent its request
        self.accepted_ms = monotonic_ms()
        self.connection = Connection.accepted(server.loop, sock, self, MAX_REQUEST_BYTES)
        self._server = server
        self._received = bytearray()

    def on_up(self) -> None:
        """Do nothing: the connection was accepted."""

    def on_data(self, data: bytes) -> None:
        """Take the reader's one request; anything else ends the connection."""
        if self.since is not None:
            self.connection.close(EndReason.BAD_BYTES)
            return
        self._received += data
        line, newline, rest = bytes(self._received).partition(b"\n")
        if not newline:
            if len(self._received) > MAX_REQUEST_BYTES:
                self.connection.close(EndReason.BAD_BYTES)
            return
        command, _, number = line.partition(b" ")
        if rest or command != b"since" or not number.isdigit() or len(number) > MAX_NUMBER_DIGITS:
            self.connection.close(EndReason.BAD_BYTES)
            return
        self.since = int(number)
        self._server.begin(self)

    def on_flushed(self) -> None:
        """Disconnect a reader that does not read."""
        if self.connection.waiting_bytes > MAX_UNREAD_BYTES:
            self.connection.close(EndReason.STUFFED)

    def on_end(self, _end: EndReason) -> None:
        """Forget the reader."""
        self._server.readers.pop(self, None)


class LogServer:
    """Owns a listener, the log behind it, and its readers."""

    def __init__(self, loop: EventLoop, address: Address, incarnation: int, max_readers: int) -> None:
        """`incarnation` is that of this process. Raises OSError where the address cannot be bound."""
        self.loop = loop
        self.incarnation = incarnation
        self.seq = 0
        self.readers: dict[_Reader, None] = {}
        self._max_readers = max_readers
        self._stored: deque[tuple[int, bytes]] = deque()
        self._stored_bytes = 0
        self._current_lines: dict[Hashable, Any] = {}  # the current line of each key
        self._listener = _listen(address)
        self.address: Address = self._listener.getsockname()[:2]
        self._closed = False
        loop.watch(self._listener, READ, self._accept)
        loop.timers.after(HEARTBEAT_MS, self._heartbeat)

    def write(self, line: Any, counts_as: Hashable = None) -> None:
        """Write a line for all readers.

        With a key, it is current until the next line with that key, and sent to each new reader.
        """
        self.seq += 1
        if counts_as is not None:
            self._current_lines[counts_as] = line
        data = line_encoder.encode({"seq": self.seq, "life": self.incarnation, "line": line}) + b"\n"
        self._store(data)
        for reader in self.readers:
            if reader.since is not None:
                reader.connection.write(data)

    def _store(self, data: bytes) -> None:
        self._stored.append((self.seq, data))
        self._stored_bytes += len(data)
        while len(self._stored) > MAX_STORED_LINES or self._stored_bytes > MAX_STORED_BYTES:
            _, dropped = self._stored.popleft()
            self._stored_bytes -= len(dropped)

    def begin(self, reader: _Reader) -> None:
        """Send what a reader that has requested lines lacks.

        These are the lines after its number where all are stored, or else the current ones.
        """
        since = reader.since or 0
        first = self._stored[0][0] if self._stored else self.seq + 1
        if since == 0 or not first - 1 <= since <= self.seq:
            self._send_current(reader)
            return
        for seq, data in self._stored:
            if seq > since:
                reader.connection.write(data)

    def _send_current(self, reader: _Reader) -> None:
        head = {"seq": self.seq, "life": self.incarnation, "whole": True}
        numbered = [{**head, "line": line} for line in self._current_lines.values()]
        for item in numbered or [head]:
            reader.connection.write(line_encoder.encode(item) + b"\n")

    def number(self, _reader: _Reader) -> int:
        """The number of the last line that a reader was sent."""
        return self.seq

    def _accept(self, _mask: int) -> None:
        for _ in range(MAX_ACCEPTS):
            try:
                sock, _ = self._listener.accept()
            except OSError:  # none is left, or no descriptor: the next iteration tries again
                return
            if len(self.readers) >= self._max_readers:
                with contextlib.suppress(OSError):
                    sock.close()
                continue
            self.readers[_Reader(self, sock)] = None

    def _heartbeat(self) -> None:
        """Send its last number to each reader, and disconnect those that do not send a request."""
        if self._closed:
            return
        now = monotonic_ms()
        for reader in list(self.readers):
            if reader.since is not None:
                reader.connection.write(b"%d\n" % self.number(reader))
            elif now - reader.accepted_ms > REQUEST_TIMEOUT_MS:
                reader.connection.close(EndReason.SILENT)
        self.loop.timers.after(HEARTBEAT_MS, self._heartbeat)

    def close(self) -> None:
        """Close the listener and all readers' connections."""
        self._closed = True
        self.loop.unwatch(self._listener)
        self._listener.close()
        for reader in list(self.readers):
            reader.connection.close(EndReason.STOPPED)


def _listen(address: Address) -> socket.socket:
    """A listener that does not block; raises OSError where the address cannot be bound."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(256)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener
