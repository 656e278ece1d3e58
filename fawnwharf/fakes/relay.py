"""Relays: TCP passed on between two parties, with the faults that lie between machines.

A cut link says nothing: bytes wait, ends are not passed on, and new connections never come up. That last one
rests on a listener whose queue is full, at which Linux drops what asks. Healing lets everything go on that
waited, as a network does. Delays keep the order of bytes.
"""

import contextlib
import random
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from fawnwharf.config import Address
from fawnwharf.net.connection import Connection
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.event_loop import READ, EventLoop
from fawnwharf.net.timer_wheel import monotonic_ms

FORWARD, BACKWARD = "forward", "backward"  # from who dials to who listens, and back
WAITING_MOST = 256 * 1024  # bytes held for one direction before its sender is read no more
LOST_MS = 200.0  # what a lost packet costs: it is sent again after so long
DIAL_MS = 2_000.0
PASSING_MS = 400.0  # from a relay to its target, at the most, on one busy machine
BACKLOG = 256


@dataclass(frozen=True, slots=True)
class Fault:
    """What one direction suffers; the default is a good link."""

    cut: bool = False
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    lossy: float = 0.0  # part of the pieces that are sent again
    stall_after: int | None = None  # so many bytes more go through, then nothing


@dataclass(frozen=True, slots=True)
class HeldBytes:
    """Bytes to who listens that a fault has held up for longer than the loss of a packet does."""

    due_ms: float  # when a good link would have passed them on
    passed_ms: float
    data: bytes


class _Side(Connection):
    def abort(self) -> None:
        """End it by a reset, as a machine that was started anew would."""
        if not self.closed:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.close(EndReason.SUPERSEDED)


class _End:
    """One end of a pipe, as the owner of its connection."""

    def __init__(self, pipe: "_Pipe", direction: str) -> None:
        self.pipe, self.direction = pipe, direction
        self.connection: _Side | None = None

    def on_up(self) -> None:
        self.pipe.push(BACKWARD)
        self.pipe.push(FORWARD)

    def on_data(self, data: bytes) -> None:
        self.pipe.came(self.direction, data)

    def on_flushed(self) -> None:
        pass

    def on_end(self, end: EndReason) -> None:
        self.pipe.ended(self.direction, end)


class _Pipe:
    """One connection that is passed on: two sides, and what is on its way between them."""

    def __init__(self, relay: "Relay", sock: socket.socket) -> None:
        self.relay = relay
        self.ways: dict[str, deque[tuple[float, bytes | None]]] = {FORWARD: deque(), BACKWARD: deque()}
        self.held = {FORWARD: 0, BACKWARD: 0}
        self.last_ms = {FORWARD: 0.0, BACKWARD: 0.0}
        self.reset = {FORWARD: False, BACKWARD: False}
        self.timers: set[str] = set()
        self.near, self.far = _End(self, FORWARD), _End(self, BACKWARD)
        self.near.connection = _Side.accepted(relay.loop, sock, self.near)
        made = _Side.dial(relay.loop, relay.target, self.far, DIAL_MS)
        if isinstance(made, EndReason):
            self.near.connection.abort()
            relay.pipes.pop(self, None)
            return
        self.far.connection = made
        relay.dialled(made._sock)

    def _out(self, way: str) -> _Side | None:
        return (self.far if way == FORWARD else self.near).connection

    def _in(self, way: str) -> _Side | None:
        return (self.near if way == FORWARD else self.far).connection

    def came(self, way: str, data: bytes) -> None:
        fault, chance, now = self.relay.faults[way], self.relay.chance, monotonic_ms()
        delay = fault.delay_ms + chance.uniform(0.0, fault.jitter_ms)
        if fault.lossy and chance.random() < fault.lossy:
            delay += LOST_MS
        due = self.last_ms[way] = max(self.last_ms[way], now + delay)
        self.ways[way].append((due if delay else now, data))
        self.held[way] += len(data)
        if self.held[way] > WAITING_MOST:
            self._in(way).set_reading(False)
        self.push(way)

    def ended(self, way: str, end: EndReason) -> None:
        self.reset[way] = end is not EndReason.CLOSED_BY_PEER
        self.ways[way].append((max(self.last_ms[way], monotonic_ms()), None))
        self.push(way)

    def push(self, way: str) -> None:
        """Pass on what is due."""
        out, queue = self._out(way), self.ways[way]
        while queue and out is not None and not out.closed and out.up:
            due, data = queue[0]
            fault = self.relay.faults[way]
            if fault.cut or fault.stall_after == 0:
                return
            if (left := due - monotonic_ms()) > 0:
                self._later(way, left)
                return
            queue.popleft()
            if data is None:
                if self.reset[way]:
                    out.abort()
                else:
                    out.finish(EndReason.CLOSED_BY_PEER)
                return
            if fault.stall_after is not None and len(data) > fault.stall_after:
                queue.appendleft((due, data[fault.stall_after :]))
                data = data[: fault.stall_after]
            if fault.stall_after is not None:
                self.relay.faults[way] = replace(fault, stall_after=fault.stall_after - len(data))
            self.held[way] -= len(data)
            self.relay.bytes[way] += len(data)
            if way == FORWARD:
                self.relay.passed(due, data)
            out.write(data)
            source = self._in(way)
            if self.held[way] <= WAITING_MOST // 2 and source is not None:
                source.set_reading(True)
        if all(side.connection is None or side.connection.closed for side in (self.near, self.far)):
            self.relay.pipes.pop(self, None)
        elif queue and out is not None and out.closed:
            queue.clear()  # nobody is left to take it

    def _later(self, way: str, delay_ms: float) -> None:
        if way in self.timers:
            return
        self.timers.add(way)

        def due() -> None:
            self.timers.discard(way)
            self.push(way)

        self.relay.loop.timers.after(delay_ms, due)

    def abort(self) -> None:
        for side in (self.near, self.far):
            if side.connection is not None:
                side.connection.abort()
        self.relay.pipes.pop(self, None)


class Relay:
    """Owns a listener, whose connections it passes on to one target, and the faults between the two."""

    def __init__(
        self,
        loop: EventLoop,
        host: str,
        target: Address,
        seed: int = 0,
        dialled: Callable[[Address], None] | None = None,
        usual_ms: float = 0.0,
    ) -> None:
        """`dialled` is told the address from which each connection to the target comes. `usual_ms`: what a
        good link takes, each way."""
        self.loop, self.target, self.chance = loop, target, random.Random(seed)
        self._dialled = dialled
        self.good = Fault(delay_ms=usual_ms)
        self.faults = {FORWARD: self.good, BACKWARD: self.good}
        self.pipes: dict[_Pipe, None] = {}
        self.bytes = {FORWARD: 0, BACKWARD: 0}
        self.touched_ms = -1e18  # when a fault was last there
        self._held_up: list[HeldBytes] = []
        self._fillers: list[socket.socket] = []
        self._blocked = self._closed = self._refuses = False
        self._listener = self._listening((host, 0))
        self.address: Address = self._listener.getsockname()[:2]

    def _listening(self, address: Address) -> socket.socket:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(BACKLOG)
        listener.setblocking(False)
        self.loop.watch(listener, READ, self._accept)
        return listener

    def refuse(self, on: bool) -> None:
        """While nobody listens at the target, a dial is refused here as it would be there."""
        if self._closed or on == self._refuses:
            return
        self._refuses = on
        if self._blocked:
            return  # nothing comes up as it is; healing looks again
        if on:
            self.loop.unwatch(self._listener)
            self._listener.close()
        else:
            self._listener = self._listening(self.address)

    @property
    def host_port(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"

    @property
    def faulty(self) -> bool:
        return any(fault != self.good for fault in self.faults.values())

    def dialled(self, sock: socket.socket) -> None:
        if self._dialled:
            self._dialled(sock.getsockname()[:2])

    def passed(self, due_ms: float, data: bytes) -> None:
        """Note bytes to who listens that are passed on now."""
        now_ms = monotonic_ms()
        if now_ms - due_ms > LOST_MS:
            self._held_up.append(HeldBytes(due_ms, now_ms, data))

    def due_ms(self, data: bytes, came_ms: float) -> float:
        """When a good link would have passed on the bytes that came to who listens at `came_ms`."""
        dues = [
            held.due_ms
            for held in self._held_up
            if 0.0 <= came_ms - held.passed_ms <= PASSING_MS and data in held.data
        ]
        return min(dues, default=came_ms)

    def set(self, way: str | None = None, **faults: object) -> None:
        """Put faults on one direction, or on both."""
        for direction in (way,) if way else (FORWARD, BACKWARD):
            self.faults[direction] = replace(self.faults[direction], **faults)
        self._settle()

    def heal(self) -> None:
        self.faults = {FORWARD: self.good, BACKWARD: self.good}
        self.touched_ms = monotonic_ms()
        self._settle()

    def reset(self) -> None:
        """All that is open ends by a reset, on both sides."""
        self.touched_ms = monotonic_ms()
        for pipe in list(self.pipes):
            pipe.abort()

    def _settle(self) -> None:
        if self.faulty:
            self.touched_ms = monotonic_ms()
        self._block(any(fault.cut for fault in self.faults.values()))
        for pipe in list(self.pipes):
            pipe.push(FORWARD)
            pipe.push(BACKWARD)

    def _accept(self, _mask: int) -> None:
        with contextlib.suppress(OSError):  # until none is left
            while not self._blocked:
                sock, _ = self._listener.accept()
                pipe = _Pipe(self, sock)
                if not pipe.near.connection.closed:
                    self.pipes[pipe] = None

    def _block(self, on: bool) -> None:
        """While a link is cut nothing that dials comes up: the listener's queue is kept full."""
        if on == self._blocked or self._closed:
            return
        self._blocked = on
        if on:
            if self._refuses:
                self._listener = self._listening(self.address)
            self.loop.unwatch(self._listener)
            self._listener.listen(0)
            for _ in range(2):
                filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                filler.setblocking(False)
                filler.connect_ex(self.address)
                self._fillers.append(filler)
            return
        fillers, self._fillers = self._fillers, []
        names = {filler.getsockname() for filler in fillers}
        for filler in fillers:
            filler.close()
        if self._refuses:
            self._listener.close()
            return
        self._listener.listen(BACKLOG)
        with contextlib.suppress(OSError):
            while True:
                sock, peer = self._listener.accept()
                if peer in names:
                    sock.close()
                else:
                    self.pipes[_Pipe(self, sock)] = None
        self.loop.watch(self._listener, READ, self._accept)

    def close(self) -> None:
        if self._closed:
            return
        if not self._blocked and not self._refuses:
            self.loop.unwatch(self._listener)
        self._closed = True
        for filler in self._fillers:
            filler.close()
        self._listener.close()
        for pipe in list(self.pipes):
            pipe.abort()
