"""A stand-in change log: one for each front end, whose events start from 1 with each of its lives."""

import contextlib
import socket
from typing import Any

import msgspec

from fawnwharf.config import Address
from fawnwharf.net.connection import Connection
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.event_loop import READ, EventLoop
from fawnwharf.net.timer_wheel import monotonic_ms

PULSE_MS = 1_000.0


class _Follower:
    def __init__(self, log: "ChangeLogServer", sock: socket.socket) -> None:
        self.log, self.since, self._asked = log, None, bytearray()
        self.connection = Connection.accepted(log.loop, sock, self)

    def on_up(self) -> None:
        pass

    def on_data(self, data: bytes) -> None:
        self._asked += data
        line, end, _ = bytes(self._asked).partition(b"\n")
        if end and self.since is None:
            self.since = int(line.split()[1])
            for event in self.log.events[self.since :]:
                self.connection.write(msgspec.json.encode(event) + b"\n")

    def on_flushed(self) -> None:
        pass

    def on_end(self, end: EndReason) -> None:
        self.log.followers.pop(self, None)


class ChangeLogServer:
    """Owns the events of one front end's life; `told_ms` is when each was written."""

    def __init__(self, loop: EventLoop, host: str) -> None:
        self.loop, self.followers = loop, dict[_Follower, None]()
        self.events: list[dict[str, Any]] = []
        self.told_ms: list[float] = []
        self._closed = self.dark = False
        self._listen((host, 0))
        self.address: Address = self._listener.getsockname()[:2]
        self._timer = loop.timers.after(PULSE_MS, self._pulse)

    def _listen(self, address: Address) -> None:
        self._listener = socket.create_server(address)
        self._listener.setblocking(False)
        self.loop.watch(self._listener, READ, self._accept)

    def power_cut(self) -> None:
        """It is gone, and follows no more what becomes of scorers."""
        if not self.dark:
            self.close()
            self.dark = True

    def power_back(self, members: list[dict[str, Any]], again: bool) -> None:
        """It tells all as it is now. `again`: its events were lost too, and their numbers start from 1."""
        self._closed = self.dark = False
        self._listen(self.address)
        if again:
            self.events, self.told_ms = [], []
        self.add(members, complete=True)
        self._timer = self.loop.timers.after(PULSE_MS, self._pulse)

    @property
    def unheard(self) -> bool:
        """Somebody asked for what comes after a number that it has not reached, and passes over the rest."""
        return any(f.since is not None and f.since > len(self.events) for f in self.followers)

    def begin(self, members: list[dict[str, Any]]) -> dict[str, Any]:
        """A new life of the front end: what its configuration has as `known`."""
        for follower in list(self.followers):
            follower.connection.close(EndReason.SUPERSEDED)
        self.events, self.told_ms = [], []
        self.add(members, complete=True)
        return {"seq": 1, "results": list(self.events)}

    def known(self, members: list[dict[str, Any]]) -> dict[str, Any]:
        """For a second process of the same life: all as it is now, and it goes on with the same numbers."""
        seq = len(self.events)
        event = {"seq": seq, "fleet": {"revision": seq, "complete": True, "members": members}}
        return {"seq": seq, "results": [event]}

    def add(self, members: list[dict[str, Any]], complete: bool = False) -> None:
        seq = len(self.events) + 1
        event = {"seq": seq, "fleet": {"revision": seq, "complete": complete, "members": members}}
        self.events.append(event)
        self.told_ms.append(monotonic_ms())
        line = msgspec.json.encode(event) + b"\n"
        for follower in self.followers:
            if follower.since is not None:
                follower.connection.write(line)

    def _accept(self, _mask: int) -> None:
        with contextlib.suppress(OSError):  # until none is left
            while True:
                sock, _ = self._listener.accept()
                self.followers[_Follower(self, sock)] = None

    def _pulse(self) -> None:
        for follower in self.followers:
            if follower.since is not None:
                follower.connection.write(b"%d\n" % len(self.events))
        self._timer = self.loop.timers.after(PULSE_MS, self._pulse)

    def close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._timer.cancel()
        self.loop.unwatch(self._listener)
        self._listener.close()
        for follower in list(self.followers):
            follower.connection.close(EndReason.SUPERSEDED)
