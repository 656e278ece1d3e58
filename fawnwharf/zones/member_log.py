"""Member logs over TCP, with the same protocol as the change log.

A reader requests `since N` and receives numbered lines of JSON, and the last number once a second. A line is
`{"seq":N,"life":L,"line":{...}}`, where `life` is the incarnation of the writing process. Each incarnation
starts its own numbering.

If the lines after N are not stored any more, or N is of another incarnation, the reader gets the lines that
are still current, marked `whole`, and continues from their number. A reader that does not read is
disconnected once the buffer limit is reached, and gets the current lines when it connects again.
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

MAX_LINE_BYTES = 512 * 1024  # in a member's log
MAX_STORED_LINES = 256  # for readers that reconnect
MAX_STORED_BYTES = 1024 * 1024
MAX_UNREAD_BYTES = 1024 * 1024  # buffered for one reader
MAX_REQUEST_BYTES = 64  # in a reader's request
MAX_REQUEST_NUMBER_DIGITS = 16
REQUEST_TIMEOUT_MS = 2_000.0  # from a reader's connection to its request
HEARTBEAT_MS = 1_000.0  # interval at which readers are sent the last number
MAX_ACCEPTS_PER_ITERATION = 32  # connections accepted in one event loop iteration
MAX_BACKOFF_MS = 1_000.0  # between connection attempts to an unreachable member

line_encoder = msgspec.json.Encoder()


class MemberLogFollower(ChangeLog):
    """Follows one member's log; a rejected line closes the connection, which is then opened again."""

    max_backoff_ms = MAX_BACKOFF_MS
    max_line_bytes = MAX_LINE_BYTES

    def __init__(
        self, loop: EventLoop, address: Address, receive: Callable[[Any], None], log: Callable[[str], None]
    ) -> None:
        """`receive` is called with the content of each line and raises ValueError to reject it."""
        super().__init__(loop, address, 0, receive, log)
        self.incarnation = 0  # the incarnation of the writer that is followed
        self.lines = 0  # the number of lines received

    @property
    def up(self) -> bool:
        """Whether the connection is established."""
        return self._connection is not None and self._connection.up

    @property
    def heard_ms(self) -> float:
        """When anything, such as a heartbeat, was last received from the log."""
        return self._connection.last_received_ms if self._connection else 0.0

    def event(self, read: Any, _known: bool = False) -> bool:
        """Handle a decoded line; False if it is malformed, is rejected or does not follow the last one.

        Overrides the method of `ChangeLog`. Here the mark `whole` in a line says whether the line belongs to
        the current lines that a reader gets first.
        """
        if not isinstance(read, dict):
            return False
        seq, incarnation, is_whole = read.get("seq"), read.get("life"), read.get("whole") is True
        if type(seq) is not int or type(incarnation) is not int or seq < 0 or incarnation <= 0:
            return False
        if not is_whole:
            if incarnation != self.incarnation:
                return self._restart()
            if seq <= self.seq:
                return True
            if seq != self.seq + 1:
                return self._restart()
        if "line" in read and not self._receive(read["line"]):
            return False
        self.incarnation, self.seq = incarnation, seq
        return True

    def _restart(self) -> bool:
        """Let the next connection request all current lines."""
        self.seq = self.incarnation = 0
        return False

    def _receive(self, line: Any) -> bool:
        """Pass a line on; False if it was rejected."""
        try:
            self._deliver(line)
        except ValueError as error:
            self._log(f"{self._address[0]}:{self._address[1]}: {error}")
            return False
        self.lines += 1
        return True

    def _handle_bad_line(self, _why: str) -> bool:
        """Close the connection, without the further attempts that the change log makes."""
        if self._connection:
            self._connection.close(EndReason.PROTOCOL_ERROR)
        return False


class _Reader:
    """The connection of one reader of the log."""

    def __init__(self, server: "LogServer", sock: socket.socket) -> None:
        self.since: int | None = None  # the requested number; None before the request
        self.accepted_ms = monotonic_ms()
        self.connection = Connection.accepted(server.loop, sock, self, MAX_REQUEST_BYTES)
        self._server = server
        self._received = bytearray()

    def on_up(self) -> None:
        """Do nothing: the connection was accepted."""

    def on_data(self, data: bytes) -> None:
        """Read the reader's only request; close the connection on anything else."""
        if self.since is not None:
            self.connection.close(EndReason.PROTOCOL_ERROR)
            return
        self._received += data
        line, newline, rest = bytes(self._received).partition(b"\n")
        if not newline:
            if len(self._received) > MAX_REQUEST_BYTES:
                self.connection.close(EndReason.PROTOCOL_ERROR)
            return
        command, _, number = line.partition(b" ")
        if rest or command != b"since" or not number.isdigit() or len(number) > MAX_REQUEST_NUMBER_DIGITS:
            self.connection.close(EndReason.PROTOCOL_ERROR)
            return
        self.since = int(number)
        self._server.begin(self)

    def on_flushed(self) -> None:
        """Disconnect a reader that reads too slowly."""
        if self.connection.unwritten_bytes > MAX_UNREAD_BYTES:
            self.connection.close(EndReason.PEER_NOT_READING)

    def on_end(self, _end: EndReason) -> None:
        """Forget the reader."""
        self._server.readers.pop(self, None)


class LogServer:
    """Owns a listener, its log and the readers of the log."""

    def __init__(self, loop: EventLoop, address: Address, incarnation: int, max_readers: int) -> None:
        """`incarnation` is that of this process. Raises OSError if the address cannot be bound."""
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
        self._heartbeat_ms = monotonic_ms()
        self._schedule_heartbeat()

    def write(self, line: Any, counts_as: Hashable = None) -> None:
        """Write a line for all readers.

        With a key in `counts_as`, the line is current until the next line with that key, and each new reader
        gets it.
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
        """Send a reader the lines after the requested number, or the current lines if not all are stored."""
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
        """The number of the last line that was sent to a reader."""
        return self.seq

    def _accept(self, _mask: int) -> None:
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            try:
                sock, _ = self._listener.accept()
            except OSError:  # none is pending, or no descriptor is free: the next iteration tries again
                return
            if len(self.readers) >= self._max_readers:
                with contextlib.suppress(OSError):
                    sock.close()
                continue
            self.readers[_Reader(self, sock)] = None

    def _heartbeat(self) -> None:
        """Send each reader its last number, and disconnect readers that sent no request in time."""
        if self._closed:
            return
        now = monotonic_ms()
        for reader in list(self.readers):
            if reader.since is not None:
                reader.connection.write(b"%d\n" % self.number(reader))
            elif now - reader.accepted_ms > REQUEST_TIMEOUT_MS:
                reader.connection.close(EndReason.SILENT)
        self._schedule_heartbeat()

    def _schedule_heartbeat(self) -> None:
        """Schedule the next one by the last one's due time: readers count them to tell their age."""
        self._heartbeat_ms += HEARTBEAT_MS
        self.loop.timers.after(max(0.0, self._heartbeat_ms - monotonic_ms()), self._heartbeat)

    def close(self) -> None:
        """Close the listener and all readers' connections."""
        self._closed = True
        self.loop.unwatch(self._listener)
        self._listener.close()
        for reader in list(self.readers):
            reader.connection.close(EndReason.STOPPED)


def _listen(address: Address) -> socket.socket:
    """Open a non-blocking listener; raises OSError if the address cannot be bound."""
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
