"""The change log of the soak, and the fault proxy before it. Times are seconds of the monotonic clock."""

import json
import random
import socket
import time
from collections import deque
from enum import Enum

from peers import Buffered, Listening
from processes import flush

HEARTBEAT_S = 1.0
TRICKLE_BYTES, TRICKLE_S = 2, 0.5
MAX_DELAY_S = 6.0


class Fault(Enum):
    """What the proxy does to connections to the change log."""

    NONE = "none"
    REFUSES = "refuses"
    SILENT = "silent"  # accepts, and passes nothing on
    ONE_WAY = "one way"  # passes on what the front end writes, nothing of the log
    TRICKLES = "trickles"
    DELAYS = "delays"
    HALF_LINES = "half lines"  # ends each connection within a line
    FLAPS = "flaps"


class EventLog(Listening):
    """Writes numbered events and heartbeats; `lag` hides the last events, as a replica that is behind."""

    def __init__(self, members: list[dict]) -> None:
        super().__init__()
        self.events = [{"seq": 1, "fleet": {"revision": 1, "complete": True, "members": members}}]
        self.lag = 0
        self._next: dict[Buffered, int] = {}
        self._heartbeat_s: dict[Buffered, float] = {}
        self._outboxes: dict[Buffered, bytearray] = {}

    @property
    def known(self) -> dict:
        """What a configuration that is written now has as `known`."""
        return {"seq": self.events[-1]["seq"], "results": list(self.events)}

    def add(self, *members: dict) -> None:
        """Append an event with changes of members."""
        seq = self.events[-1]["seq"] + 1
        revision = self.events[-1]["fleet"]["revision"] + 1
        self.events.append({"seq": seq, "fleet": {"revision": revision, "members": list(members)}})

    def renumber(self, members: list[dict]) -> None:
        """Lose all events and begin with a new list as number 1; connections end."""
        revision = self.events[-1]["fleet"]["revision"] + 1
        self.events = [{"seq": 1, "fleet": {"revision": revision, "complete": True, "members": members}}]
        for link in self.links:
            link.sock.close()
        self.links.clear()

    def pump(self) -> None:
        """Accept, read requests, and write events and heartbeats that are due."""
        super().pump()
        for link in self.links:
            if not link.ended and b"\n" in link.data:
                self._write(link)

    def _write(self, link: Buffered) -> None:
        if link not in self._next:
            self._next[link] = int(link.data.split()[1]) + 1
            self._outboxes[link] = bytearray()
            self._heartbeat_s[link] = time.monotonic()
        visible = self.events[: max(1, len(self.events) - self.lag)]
        for event in visible:
            if event["seq"] >= self._next[link]:
                self._outboxes[link] += json.dumps(event).encode() + b"\n"
                self._next[link] = event["seq"] + 1
        if time.monotonic() >= self._heartbeat_s[link]:
            self._heartbeat_s[link] += HEARTBEAT_S
            self._outboxes[link] += b'{"seq":%d}\n' % visible[-1]["seq"]
        flush(link, self._outboxes[link])


class _Pipe:
    """One connection through the proxy."""

    def __init__(self, near: socket.socket, target: tuple[str, int]) -> None:
        self.near = Buffered(near)
        self.far = Buffered(socket.create_connection(target))
        self.to_far, self.to_near = bytearray(), bytearray()
        self.held: deque[tuple[float, bytes]] = deque()
        self.next_trickle_s = 0.0

    def close(self) -> None:
        """Close both sides."""
        self.near.sock.close()
        self.far.sock.close()


class DiscoveryProxy:
    """Passes connections on to the change log, with a fault that can be set at any time."""

    def __init__(self, target: tuple[str, int], seed: int) -> None:
        self._target = target
        self._chance = random.Random(seed)
        self._listener: socket.socket | None = None
        self._address = ("127.0.0.1", 0)
        self._pipes: list[_Pipe] = []
        self._fault = Fault.NONE
        self._flap_s = 0.0
        self._delay_s = 0.0
        self.healthy_since_s = time.monotonic()
        self._listen()

    @property
    def host_port(self) -> str:
        """Where front ends connect to."""
        return f"{self._address[0]}:{self._address[1]}"

    def _listen(self) -> None:
        self._listener = socket.create_server(self._address)
        self._listener.setblocking(False)
        self._address = self._listener.getsockname()

    def set(self, fault: Fault) -> None:
        """Have this fault from now on."""
        self._fault = fault
        self._delay_s = self._chance.uniform(0.5, MAX_DELAY_S)
        self._flap_s = 0.0
        self._open(fault is not Fault.REFUSES)
        self.healthy_since_s = time.monotonic() if fault is Fault.NONE else float("inf")

    def _open(self, is_open: bool) -> None:
        if is_open and self._listener is None:
            self._listen()
        elif not is_open and self._listener is not None:
            self._listener.close()
            self._listener = None
            self._close_pipes()

    def _close_pipes(self) -> None:
        for pipe in self._pipes:
            pipe.close()
        self._pipes.clear()

    def pump(self) -> None:
        """Accept, and pass on what the fault lets through."""
        if self._fault is Fault.FLAPS and time.monotonic() >= self._flap_s:
            self._flap_s = time.monotonic() + self._chance.uniform(1.0, 10.0)
            self._open(self._listener is None)
        while self._listener is not None:
            try:
                near, _ = self._listener.accept()
            except OSError:
                break
            self._pipes.append(_Pipe(near, self._target))
        for pipe in list(self._pipes):
            self._pump(pipe)

    def _pump(self, pipe: _Pipe) -> None:
        pipe.near.pump()
        if self._fault is Fault.SILENT:
            if pipe.near.ended:
                self._end(pipe)
            return
        pipe.far.pump()
        pipe.to_far += pipe.near.data
        pipe.near.data.clear()
        flush(pipe.far, pipe.to_far)
        if self._fault is not Fault.ONE_WAY:
            self._pass_back(pipe)
        if pipe.near.ended or pipe.far.ended:
            self._end(pipe)

    def _pass_back(self, pipe: _Pipe) -> None:
        """Pass on what the log has written, as the fault has it."""
        now_s = time.monotonic()
        delay_s = self._delay_s if self._fault is Fault.DELAYS else 0.0
        if self._fault is Fault.TRICKLES:
            if now_s < pipe.next_trickle_s or not pipe.far.data:
                return
            pipe.next_trickle_s = now_s + TRICKLE_S
            pipe.to_near += pipe.far.data[:TRICKLE_BYTES]
            del pipe.far.data[:TRICKLE_BYTES]
        elif self._fault is Fault.HALF_LINES and pipe.far.data:
            pipe.to_near += pipe.far.data[: len(pipe.far.data) // 2]
            flush(pipe.near, pipe.to_near)
            pipe.near.ended = True
        elif pipe.far.data:
            pipe.held.append((now_s + delay_s, bytes(pipe.far.data)))
            pipe.far.data.clear()
        while pipe.held and pipe.held[0][0] <= now_s:
            pipe.to_near += pipe.held.popleft()[1]
        flush(pipe.near, pipe.to_near)

    def _end(self, pipe: _Pipe) -> None:
        pipe.close()
        self._pipes.remove(pipe)

    def close(self) -> None:
        """Close the listener and all connections."""
        self._open(False)
