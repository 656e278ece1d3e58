"""Logs whose lines are for some readers only, still in the change log's form.

A reader asks `since N` with a number out of nowhere, which gets it what counts of the log, as ever, and says
in its own log, which this side follows, that it was the one (`Hello`). From then on it is sent what is for
it and what is for anybody, numbered for itself. Until then it is sent all. Lines that pass while a reader is
away are lost to it: what is said here is said again, or made good by comparing.
"""

import secrets
from collections.abc import Callable
from typing import Any

from fawnwharf.config import Address
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.zones.member_log import LogServer, MemberLogFollower, line_encoder

NAMES_MOST = 4_000


class DirectedLogServer(LogServer):
    """Owns a listener and its readers, each with numbers of its own."""

    def __init__(self, loop: EventLoop, address: Address, life: int, readers_most: int) -> None:
        super().__init__(loop, address, life, readers_most)
        self._names: dict[int, str] = {}  # by the number that a reader asked with
        self._sent: dict[Any, int] = {}  # lines, by reader
        self.followed: Callable[[str], None] = lambda _name: None  # it hears all that is said from now on
        self.lines = self.bytes = 0  # that went out

    def named(self, name: str, asked: int) -> None:
        """Who it was that asked since this number."""
        if self._names.get(asked) == name:
            return
        while len(self._names) >= NAMES_MOST:
            del self._names[next(iter(self._names))]
        self._names[asked] = name
        if any(reader.since == asked for reader in self.readers):
            self.followed(name)

    def greet(self, name: str, line: Any) -> None:
        """A Hello to the member of this name. It may not follow this log yet, and would then send all of its
        own for ever: so it is told again to whoever comes."""
        self.say(line, (name,), counts_as=("hello", name))

    def forget(self, name: str) -> None:
        """Its log is not followed any more."""
        self._current_lines.pop(("hello", name), None)

    def say(self, line: Any, to: tuple[str, ...] = (), counts_as: str | None = None) -> None:
        """A line for these readers, for all where none is named."""
        if counts_as is not None:
            self._current_lines[counts_as] = line
        data = line_encoder.encode(line)
        for reader in self.readers:
            if reader.since is None or (to and self._names.get(reader.since, to[0]) not in to):
                continue
            self._sent[reader] = number = self._sent.get(reader, 0) + 1
            text = b'{"seq":%d,"life":%d,"line":%b}\n' % (number, self.incarnation, data)
            self.lines, self.bytes = self.lines + 1, self.bytes + len(text)
            reader.connection.write(text)

    def begin(self, reader: Any) -> None:
        """What counts, and the numbers begin."""
        self._sent = {known: number for known, number in self._sent.items() if known in self.readers}
        self._sent[reader] = 1
        head = {"seq": 1, "life": self.incarnation, "whole": True}
        for item in [{**head, "line": line} for line in self._current_lines.values()] or [head]:
            reader.connection.write(line_encoder.encode(item) + b"\n")
        if name := self._names.get(reader.since):
            self.followed(name)

    def unwritten(self) -> bool:
        return any(reader.connection.waiting_bytes for reader in self.readers if reader.since is not None)

    def number(self, reader: Any) -> int:
        return self._sent.get(reader, 0)


class DirectedLog(MemberLogFollower):
    """Follows one member's log, and tells who follows it."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        told: Callable[[Any], None],
        log: Callable[[str], None],
        hello: Callable[[int], None],
    ) -> None:
        """`hello` has to say, in the own log, by which number this one asked."""
        super().__init__(loop, address, told, log)
        self._hello = hello

    def on_up(self) -> None:
        self.seq = self.incarnation = 0
        asked = secrets.randbits(50) + 2
        self._connection.write(b"since %d\n" % asked)
        self._hello(asked)
