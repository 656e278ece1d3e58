"""The second address: its listener and its connections, each with one call."""

import socket
from collections.abc import Callable

from fawnwharf.admin.http import AdminRequest, AdminResponse, RequestReader, encode_response
from fawnwharf.config import Address
from fawnwharf.net.connection import Connection
from fawnwharf.net.end_reasons import End
from fawnwharf.net.listener import once_free
from fawnwharf.net.loop import READ, Loop
from fawnwharf.net.timer_wheel import Timer, monotonic_ms

BACKLOG = 64
MAX_READ_BYTES = 4 * 1024
MAX_ACCEPTS = 16  # in a turn
ACCEPT_PAUSE_MS = 50.0  # where the system has no descriptor or memory left
MAX_CONNECTIONS, MIN_CONNECTIONS = 16, 4  # connections; a few operators at a time, and some that say nothing
DESCRIPTORS_PER_CONNECTION = 32  # of the descriptors: one in so many
REQUEST_TIMEOUT_MS = 5_000.0  # for a call to come in whole


class AdminConnection:
    """One operator's connection, and its one call."""

    def __init__(self, port: "AdminListener", sock: socket.socket) -> None:
        self.port, self.since_ms = port, monotonic_ms()
        self._reader = RequestReader()
        self.connection = Connection.accepted(port.loop, sock, self, MAX_READ_BYTES, first=True)

    @property
    def answered(self) -> bool:
        return self._reader.done is not None

    def on_up(self) -> None: ...

    def on_flushed(self) -> None: ...

    def on_data(self, data: bytes) -> None:
        if not self.answered and (found := self._reader.feed(data)) is not None:
            self.answer(found if isinstance(found, AdminResponse) else self.port.take(found))

    def answer(self, answer: AdminResponse) -> None:
        self._reader.done = answer
        self.connection.write(encode_response(answer))
        self.connection.finish(End.RETIRED)

    def on_end(self, end: End) -> None:
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


class AdminListener:
    """Owns the listener for operators and their connections, a few of the descriptors."""

    def __init__(
        self, loop: Loop, address: Address, sockets: int, take: Callable[[AdminRequest], AdminResponse]
    ) -> None:
        self.loop, self.take = loop, take
        self.callers: dict[AdminConnection, None] = {}
        self._most = max(MIN_CONNECTIONS, min(MAX_CONNECTIONS, sockets // DESCRIPTORS_PER_CONNECTION))
        self._listener = once_free(lambda: _listening(address))
        self.address: Address = self._listener.getsockname()[:2]
        self._pause: Timer | None = None
        loop.watch(self._listener, READ, self._accept, first=True)

    def _accept(self, _mask: int) -> None:
        for _ in range(MAX_ACCEPTS):
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError:  # one that left, or no descriptor
                self._rest()
                return
            while len(self.callers) >= self._most:
                self._give_way()
            self.callers[AdminConnection(self, sock)] = None

    def _rest(self) -> None:
        """Leave callers to the system's queue for a moment, rather than spin on them."""
        if self._pause is None:
            self.loop.forget(self._listener)
            self._pause = self.loop.wheel.after(ACCEPT_PAUSE_MS, self._go_on)

    def _go_on(self) -> None:
        self._pause = None
        if self._listener.fileno() >= 0:
            self.loop.watch(self._listener, READ, self._accept, first=True)

    def _give_way(self) -> None:
        """Guards callers that ask against those that never do: one answered goes first, else the oldest."""
        first = min(self.callers, key=lambda caller: (not caller.answered, caller.since_ms))
        first.connection.close(End.IDLE)

    def tidy(self) -> None:
        since = monotonic_ms() - REQUEST_TIMEOUT_MS
        for caller in [caller for caller in self.callers if caller.since_ms < since]:
            if not caller.answered:
                caller.answer(AdminResponse(408, "the call did not come in whole"))

    def close(self) -> None:
        self.loop.forget(self._listener)
        self._listener.close()
        for caller in list(self.callers):
            caller.connection.close(End.STOPPED)
