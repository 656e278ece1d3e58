"""Logs whose lines may be addressed to some readers only, in the format of the change log.

A reader requests `since N` with a random number N and receives the current lines, as in any log. In its own
log, which this side follows, it sends a `Hello` with N to identify itself. From then on it receives only the
lines addressed to it or to all, with its own sequence numbers; until then it receives every line. A reader
misses the lines sent while it is disconnected: their senders repeat them or find the loss by comparison.
"""

import secrets
from collections.abc import Callable, Hashable
from typing import Any, cast

from fawnwharf.config import Address
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.log_writer import LogWriter
from fawnwharf.zones.member_log import LogServer, MemberLogFollower, line_encoder

MAX_READER_NAMES = 4_000
MIN_READER_NUMBER = 2  # the smallest number in a reader's request
READER_NUMBER_BITS = 50


class DirectedLogServer(LogServer):
    """Serves a log to its readers, each with its own sequence numbers."""

    def __init__(self, loop: EventLoop, address: Address, incarnation: int, max_readers: int) -> None:
        super().__init__(loop, address, incarnation, max_readers)
        self._names: dict[int, str] = {}  # member names by the number in the reader's request
        self._sent: dict[Any, int] = {}  # the last sequence number of each reader
        # Called with a member's name once the member receives all lines that are sent from now on.
        self.on_follower: Callable[[str], None] = lambda _name: None
        self.sent_lines = self.sent_bytes = 0

    def register_reader(self, name: str, reader_number: int) -> None:
        """Record which member sent the request with this number."""
        if self._names.get(reader_number) == name:
            return
        while len(self._names) >= MAX_READER_NAMES:
            del self._names[next(iter(self._names))]
        self._names[reader_number] = name
        if any(reader.since == reader_number for reader in self.readers):
            self.on_follower(name)

    def publish_hello(self, name: str, line: Any) -> None:
        """Send a Hello to the member of this name and repeat it to every new reader.

        The member may not follow this log yet. If it missed the Hello, it would continue to send all of its
        lines to this reader.
        """
        self.send(line, (name,), counts_as=("hello", name))

    def withdraw_hello(self, name: str) -> None:
        """Stop repeating the Hello to a member whose log is no longer followed."""
        self._current_lines.pop(("hello", name), None)

    def send(self, line: Any, recipients: tuple[str, ...] = (), counts_as: Hashable = None) -> None:
        """Write a line to these recipients, or to all readers if none is named.

        With a `counts_as` key, the line stays current until the next line with that key, and every new reader
        receives it.
        """
        if counts_as is not None:
            self._current_lines[counts_as] = line
        data = line_encoder.encode(line)
        for reader in self.readers:
            if reader.since is None:
                continue
            if recipients and self._names.get(reader.since, recipients[0]) not in recipients:
                continue
            self._sent[reader] = number = self._sent.get(reader, 0) + 1
            text = b'{"seq":%d,"life":%d,"line":%b}\n' % (number, self.incarnation, data)
            self.sent_lines += 1
            self.sent_bytes += len(text)
            reader.connection.write(text)

    def begin(self, reader: Any) -> None:
        """Send the current lines to a new reader, whose sequence numbers begin with them."""
        self._sent = {known: number for known, number in self._sent.items() if known in self.readers}
        self._sent[reader] = 1
        head = {"seq": 1, "life": self.incarnation, "whole": True}
        for item in [{**head, "line": line} for line in self._current_lines.values()] or [head]:
            reader.connection.write(line_encoder.encode(item) + b"\n")
        if name := self._names.get(reader.since):
            self.on_follower(name)

    def has_unsent_bytes(self) -> bool:
        """Whether any reader's connection has bytes that are not written yet."""
        return any(reader.connection.unwritten_bytes for reader in self.readers if reader.since is not None)

    def number(self, reader: Any) -> int:
        """The sequence number of the last line sent to a reader."""
        return self._sent.get(reader, 0)


class DirectedLog(MemberLogFollower):
    """Follows one member's log and identifies this follower to the member."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        on_line: Callable[[Any], None],
        log: Callable[[str], None],
        send_hello: Callable[[int], None],
    ) -> None:
        """`send_hello` must announce the number of this reader's request in this member's own log."""
        super().__init__(loop, address, on_line, cast(LogWriter, log))  # it only calls `log` with a text
        self._send_hello = send_hello

    def _number_to_request(self) -> int:
        """A new random number, which is announced to the member; overrides the method of `ChangeLog`."""
        self.seq = self.incarnation = 0
        reader_number = secrets.randbits(READER_NUMBER_BITS) + MIN_READER_NUMBER
        self._send_hello(reader_number)
        return reader_number
