"""Logs whose lines are for some readers only, in the change log's form.

A reader asks `since N` with a random number, which gets it the current lines, as in any log, and states in
its own log, which this side follows, that it was the one (`Hello`). From then on it is sent what is for it
and what is for all, with numbers of its own; until then it is sent everything. Lines that pass while a reader
is disconnected are lost to it: what is sent here is sent again, or made good by comparison.
"""

import secrets
from collections.abc import Callable, Hashable
from typing import Any, cast

from fawnwharf.config import Address
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.log_writer import LogWriter
from fawnwharf.zones.member_log import LogServer, MemberLogFollower, line_encoder

MAX_NAMES = 4_000
FIRST_NUMBER = 2  # of those in readers' requests
NUMBER_BITS = 50


class DirectedLogServer(LogServer):
    """Owns a listener and its readers, each of which has numbers of its own."""

    def __init__(self, loop: EventLoop, address: Address, incarnation: int, max_readers: int) -> None:
        super().__init__(loop, address, incarnation, max_readers)
        self._names: dict[int, str] = {}  # by the number in a reader's request
        self._sent: dict[Any, int] = {}  # lines, by reader
        # Called with the name of a member from which on everything that is sent reaches it.
        self.on_follower: Callable[[str], None] = lambda _name: None
        self.sent_lines = self.sent_bytes = 0

    def identify(self, name: str, reader_number: int) -> None:
        """Take which member's request had this number."""
        if self._names.get(reader_number) == name:
            return
        while len(self._names) >= MAX_NAMES:
            del self._names[next(iter(self._names))]
        self._names[reader_number] = name
        if any(reader.since == reader_number for reader in self.readers):
            self.on_follower(name)

    def greet(self, name: str, line: Any) -> None:
        """Send a Hello to the member of this name.

        It may not follow this log yet, and would then send all of its lines for ever: so it is sent again to
        whoever comes.
        """
        self.send(line, (name,), counts_as=("hello", name))

    def forget(self, name: str) -> None:
        """Drop the Hello to a member whose log is not followed any more."""
        self._current_lines.pop(("hello", name), None)

    def send(self, line: Any, recipients: tuple[str, ...] = (), counts_as: Hashable = None) -> None:
        """Write a line for these readers, for all where none is named.

        With a key, it is current until the next line of that key, and sent to whoever comes.
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
        """Send the current lines to a new reader, whose numbers begin with them."""
        self._sent = {known: number for known, number in self._sent.items() if known in self.readers}
        self._sent[reader] = 1
        head = {"seq": 1, "life": self.incarnation, "whole": True}
        for item in [{**head, "line": line} for line in self._current_lines.values()] or [head]:
            reader.connection.write(line_encoder.encode(item) + b"\n")
        if name := self._names.get(reader.since):
            self.on_follower(name)

    def unwritten(self) -> bool:
        """Whether a reader's connection has bytes that are not written yet."""
        return any(reader.connection.waiting_bytes for reader in self.readers if reader.since is not None)

    def number(self, reader: Any) -> int:
        """The number of the last line that a reader was sent."""
        return self._sent.get(reader, 0)


class DirectedLog(MemberLogFollower):
    """Follows one member's log, and lets it know who follows."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        on_line: Callable[[Any], None],
        log: Callable[[str], None],
        send_hello: Callable[[int], None],
    ) -> None:
        """`send_hello` has to state, in the own log, the number of this reader's request."""
        super().__init__(loop, address, on_line, cast(LogWriter, log))  # it only calls it with a text
        self._send_hello = send_hello

    def on_up(self) -> None:
        """Request the log with a new number."""
        if self._connection is None:
            return
        self.seq = self.incarnation = 0
        reader_number = secrets.randbits(NUMBER_BITS) + FIRST_NUMBER
        self._connection.write(b"since %d\n" % reader_number)
        self._send_hello(reader_number)
