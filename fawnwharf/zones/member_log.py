"""Logs of members over TCP, in the change log's line form.

A reader asks `since N` and gets numbered lines of JSON, and at least the last number every second. A line is
`{"seq":N,"life":L,"line":{...}}`. Each start of a process is an incarnation with numbers of its own; a reader
that asks since a number that is not at hand, or of another incarnation, gets the lines that are still
current, marked `whole`, and goes on from their number. Nothing is buffered for a reader that does not read:
it is dropped, and gets the current lines when it comes again.
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

LINE_MOST = 512 * 1024  # of a member's log, in bytes
KEPT_MOST, KEPT_BYTES_MOST = 256, 1024 * 1024  # lines at hand for readers that come again
UNREAD_MOST = 1024 * 1024  # bytes that wait for one reader
ASK_MOST = 64  # bytes of what a reader asks
ASK_MS = 2_000.0  # for it to ask
PULSE_MS = 1_000.0
ACCEPTS_MOST = 32  # in a turn
PAUSE_MOST_MS = 1_000.0  # between dials to a member that is away

line_encoder = msgspec.json.Encoder()


class MemberLogFollower(ChangeLog):
    """Follows one member's log; a line that can't be taken costs the connection and nothing else."""

    pause_most_ms, line_most = PAUSE_MOST_MS, LINE_MOST

    def __init__(
        self, loop: EventLoop, address: Address, told: Callable[[Any], None], log: Callable[[str], None]
    ) -> None:
        """`told` takes what each line says; a ValueError of it says that no member writes such a line."""
        super().__init__(loop, address, 0, told, log)
        self.life = 0
        self.lines = 0

    @property
    def up(self) -> bool:
        """Whether the connection is established."""
        return self._connection is not None and self._connection.up

    @property
    def heard_ms(self) -> float:
        """When the log was last heard, if only its number."""
        return self._connection.heard_ms if self._connection else 0.0

    def event(self, read: Any, of_start: bool = False) -> bool:
        """Take a parsed line; False where it is malformed."""
        if not isinstance(read, dict):
            return False
        seq, life, whole = read.get("seq"), read.get("life"), read.get("whole") is True
        if type(seq) is not int or type(life) is not int or seq < 0 or life <= 0:
            return False
        if life != self.life and not whole:
            self.seq = self.life = 0  # asked again from the start, it tells what counts
            return False
        if not whole and seq <= self.seq:
            return True
        if not whole and seq != self.seq + 1:
            self.seq = self.life = 0
            return False
        if "line" in read:
            try:
                self._told(read["line"])
            except ValueError as error:
                self._log(f"{self._address[0]}:{self._address[1]}: {error}")
                return False
            self.lines += 1
        self.life, self.seq = life, seq
        return True

    def _stumble(self, why: str) -> bool:
        if self._connection:
            self._connection.close(EndReason.BAD_BYTES)
        return False


class _Reader:
    """One that follows the log here."""

    def __init__(self, server: "LogServer", sock: socket.socket) -> None:
        self.server, self.since = server, None
        self.began_ms = monotonic_ms()
        self._asked = bytearray()
        self.connection = Connection.accepted(server.loop, sock, self, ASK_MOST)

    def on_up(self) -> None:
        """Nothing to do: the connection was accepted."""
        pass

    def on_data(self, data: bytes) -> None:
        """Take the reader's one request."""
        if self.since is not None:  # it has asked, and has nothing more to say
            self.connection.close(EndReason.BAD_BYTES)
            return
        self._asked += data
        line, end, rest = bytes(self._asked).partition(b"\n")
        word, _, number = line.partition(b" ")
        if not end:
            if len(self._asked) > ASK_MOST:
                self.connection.close(EndReason.BAD_BYTES)
        elif rest or word != b"since" or not number.isdigit() or len(number) > 16:
            self.connection.close(EndReason.BAD_BYTES)
        else:
            self.since = int(number)
            self.server.begin(self)

    def on_flushed(self) -> None:
        """Drop a reader that does not read."""
        if self.connection.waiting_bytes > UNREAD_MOST:
            self.connection.close(EndReason.STUFFED)

    def on_end(self, end: EndReason) -> None:
        """Forget the reader."""
        self.server.readers.pop(self, None)


class LogServer:
    """Owns a listener, the log behind it, and its readers."""

    def __init__(self, loop: EventLoop, address: Address, life: int, readers_most: int) -> None:
        """Raises OSError where the address can't be had."""
        self.loop, self.life, self.seq = loop, life, 0
        self.readers: dict[_Reader, None] = {}
        self._most = readers_most
        self._kept: deque[tuple[int, bytes]] = deque()
        self._kept_bytes = 0
        self._counting: dict[Hashable, Any] = {}  # the last line of each kind that still counts
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._listener = socket.socket(family, socket.SOCK_STREAM)
        try:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._listener.bind(address)
            self._listener.listen(256)
        except OSError:
            self._listener.close()
            raise
        self._listener.setblocking(False)
        self.address: Address = self._listener.getsockname()[:2]
        self._closed = False
        loop.watch(self._listener, READ, self._accept)
        loop.timers.after(PULSE_MS, self._pulse)

    def write(self, line: Any, counts_as: Hashable = None) -> None:
        """Write a line for all readers.

        With a key, it is current until the next line of that key, and sent to whoever comes.
        """
        self.seq += 1
        if counts_as is not None:
            self._counting[counts_as] = line
        data = line_encoder.encode({"seq": self.seq, "life": self.life, "line": line}) + b"\n"
        self._kept.append((self.seq, data))
        self._kept_bytes += len(data)
        while len(self._kept) > KEPT_MOST or self._kept_bytes > KEPT_BYTES_MOST:
            self._kept_bytes -= len(self._kept.popleft()[1])
        for reader in self.readers:
            if reader.since is not None:
                reader.connection.write(data)

    def begin(self, reader: _Reader) -> None:
        """Send what a reader lacks.

        The lines after its number where all are at hand, else the current ones.
        """
        first = self._kept[0][0] if self._kept else self.seq + 1
        if reader.since == 0 or not first - 1 <= reader.since <= self.seq:
            head = {"seq": self.seq, "life": self.life, "whole": True}
            told = [{**head, "line": line} for line in self._counting.values()] or [head]
            for item in told:
                reader.connection.write(line_encoder.encode(item) + b"\n")
            return
        for seq, data in self._kept:
            if seq > reader.since:
                reader.connection.write(data)

    def number(self, reader: _Reader) -> int:
        """The number of the last line that a reader was sent."""
        return self.seq

    def _accept(self, _mask: int) -> None:
        for _ in range(ACCEPTS_MOST):
            try:
                sock, _ = self._listener.accept()
            except OSError:  # none is left, or no descriptor: the next turn looks again
                return
            if len(self.readers) >= self._most:
                with contextlib.suppress(OSError):
                    sock.close()
                continue
            self.readers[_Reader(self, sock)] = None

    def _pulse(self) -> None:
        if self._closed:
            return
        now = monotonic_ms()
        for reader in list(self.readers):
            if reader.since is not None:
                reader.connection.write(b"%d\n" % self.number(reader))
            elif now - reader.began_ms > ASK_MS:
                reader.connection.close(EndReason.SILENT)
        self.loop.timers.after(PULSE_MS, self._pulse)

    def close(self) -> None:
        """Close the listener and all readers' connections."""
        self._closed = True
        self.loop.unwatch(self._listener)
        self._listener.close()
        for reader in list(self.readers):
            reader.connection.close(EndReason.STOPPED)
