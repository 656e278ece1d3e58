"""The second address: its listener and its connections, each with one call."""

import socket
from collections.abc import Callable

from fawnwharf.admin.http import Answer, Asked, CallReader, encode
from fawnwharf.config import Address
from fawnwharf.net.connection import Connection
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.event_loop import READ, EventLoop
from fawnwharf.net.listener import listen_when_free
from fawnwharf.net.timer_wheel import Timer, monotonic_ms

BACKLOG = 64
READ_MOST = 4 * 1024
ACCEPTS_MOST = 16  # in a turn
ACCEPT_PAUSE_MS = 50.0  # where the system has no descriptor or memory left
HELD_MOST, HELD_LEAST = 16, 4  # connections; a few operators at a time, and some that say nothing
HELD_PART = 32  # of the descriptors: one in so many
UNFINISHED_MS = 5_000.0  # for a call to come in whole


class Caller:
    """One operator's connection, and its one call."""

    def __init__(self, port: "ControlPort", sock: socket.socket) -> None:
        self.port, self.since_ms = port, monotonic_ms()
        self._reader = CallReader()
        self.connection = Connection.accepted(port.loop, sock, self, READ_MOST, first=True)

    @property
    def answered(self) -> bool:
        return self._reader.done is not None

    def on_up(self) -> None: ...

    def on_flushed(self) -> None: ...

    def on_data(self, data: bytes) -> None:
        if not self.answered and (found := self._reader.feed(data)) is not None:
            self.answer(found if isinstance(found, Answer) else self.port.take(found))

    def answer(self, answer: Answer) -> None:
        self._reader.done = answer
        self.connection.write(encode(answer))
        self.connection.finish(EndReason.RETIRED)

    def on_end(self, end: EndReason) -> None:
        self.port.callers.pop(self, None)


def _listening(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener


class ControlPort:
    """Owns the listener for operators and their connections, a few of the descriptors."""

    def __init__(
        self, loop: EventLoop, address: Address, sockets: int, take: Callable[[Asked], Answer]
    ) -> None:
        self.loop, self.take = loop, take
        self.callers: dict[Caller, None] = {}
        self._most = max(HELD_LEAST, min(HELD_MOST, sockets // HELD_PART))
        self._listener = listen_when_free(lambda: _listening(address))
        self.address: Address = self._listener.getsockname()[:2]
        self._pause: Timer | None = None
        loop.watch(self._listener, READ, self._accept, first=True)

    def _accept(self, _mask: int) -> None:
        for _ in range(ACCEPTS_MOST):
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError:  # one that left, or no descriptor
                self._rest()
                return
            while len(self.callers) >= self._most:
                self._give_way()
            self.callers[Caller(self, sock)] = None

    def _rest(self) -> None:
        """Leave callers to the system's queue for a moment, rather than spin on them."""
        if self._pause is None:
            self.loop.unwatch(self._listener)
            self._pause = self.loop.timers.after(ACCEPT_PAUSE_MS, self._go_on)

    def _go_on(self) -> None:
        self._pause = None
        if self._listener.fileno() >= 0:
            self.loop.watch(self._listener, READ, self._accept, first=True)

    def _give_way(self) -> None:
        """Guards callers that ask against those that never do: one answered goes first, else the oldest."""
        first = min(self.callers, key=lambda caller: (not caller.answered, caller.since_ms))
        first.connection.close(EndReason.IDLE)

    def tidy(self) -> None:
        since = monotonic_ms() - UNFINISHED_MS
        for caller in [caller for caller in self.callers if caller.since_ms < since]:
            if not caller.answered:
                caller.answer(Answer(408, "the call did not come in whole"))

    def close(self) -> None:
        self.loop.unwatch(self._listener)
        self._listener.close()
        for caller in list(self.callers):
            caller.connection.close(EndReason.STOPPED)
