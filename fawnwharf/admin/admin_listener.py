"""The admin listener, and its connections with one request each."""

import socket
from collections.abc import Callable

from fawnwharf.admin.http import AdminRequest, AdminResponse, RequestReader, encode_response
from fawnwharf.config import Address
from fawnwharf.net.connection import Connection, first_priority
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.event_loop import READ, EventLoop
from fawnwharf.net.listener import listen_when_free
from fawnwharf.net.timer_wheel import Timer, monotonic_ms

BACKLOG = 64
MAX_READ_BYTES = 4 * 1024
MAX_ACCEPTS_PER_ITERATION = 16  # of the event loop
ACCEPT_RETRY_MS = 50.0  # after a failed accept, for example because no descriptor or memory is left
# One connection is allowed for each 32 descriptors that the process may use, within these bounds.
PROCESS_DESCRIPTORS_PER_CONNECTION = 32
MAX_CONNECTION_LIMIT = 16  # enough for a few operators and some connections that send nothing
MIN_CONNECTION_LIMIT = 4
REQUEST_TIMEOUT_MS = 5_000.0  # from the accept until the request is complete


class AdminConnection:
    """A connection of one operator, with one request."""

    def __init__(self, listener: "AdminListener", sock: socket.socket) -> None:
        """Takes over an accepted socket."""
        self.listener = listener
        self.accepted_ms = monotonic_ms()
        self._reader = RequestReader()
        self.connection = Connection.accepted(listener.loop, sock, self, MAX_READ_BYTES, order=first_priority)

    @property
    def is_response_written(self) -> bool:
        """Whether the response was written to the connection, which may still be sending it."""
        return self._reader.result is not None

    def on_up(self) -> None:
        """Called by Connection when it is established; nothing to do for an accepted socket."""

    def on_flushed(self) -> None:
        """Called by Connection when all bytes are sent; nothing to do, as there is one response."""

    def on_data(self, data: bytes) -> None:
        """Processes received bytes, and answers the request once it is complete."""
        if self.is_response_written:
            return
        found = self._reader.feed(data)
        if isinstance(found, AdminRequest):
            self.answer(self.listener.handle(found))
        elif found is not None:
            self.answer(found)

    def answer(self, response: AdminResponse) -> None:
        """Writes the response and ends the connection."""
        self._reader.result = response
        self.connection.write(encode_response(response))
        self.connection.finish(EndReason.SUPERSEDED)

    def on_end(self, _end: EndReason) -> None:
        """Called by Connection when it has ended."""
        self.listener.connections.pop(self, None)


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
    """Owns the admin listener and its connections, which use few of the process's descriptors."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        max_descriptors: int,
        handle: Callable[[AdminRequest], AdminResponse],
    ) -> None:
        """Listens on an address; `max_descriptors` is the number that the process may use.

        Raises OSError if it can't listen on the address.
        """
        self.loop = loop
        self.handle = handle
        self.connections: dict[AdminConnection, None] = {}  # in the order of their acceptance
        self._limit = max(
            MIN_CONNECTION_LIMIT,
            min(MAX_CONNECTION_LIMIT, max_descriptors // PROCESS_DESCRIPTORS_PER_CONNECTION),
        )
        self._listener = listen_when_free(lambda: _listening(address))
        self.address: Address = self._listener.getsockname()[:2]
        self._pause: Timer | None = None
        loop.watch(self._listener, READ, self._accept, first=True)

    def _accept(self, _mask: int) -> None:
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError:  # the peer has closed the connection, or no descriptor is left
                self._pause_accepting()
                return
            while len(self.connections) >= self._limit:
                self._evict_one()
            self.connections[AdminConnection(self, sock)] = None

    def _pause_accepting(self) -> None:
        """Stops accepting for ACCEPT_RETRY_MS, to avoid a busy loop."""
        if self._pause is None:
            self.loop.unwatch(self._listener)
            self._pause = self.loop.timers.after(ACCEPT_RETRY_MS, self._resume_accepting)

    def _resume_accepting(self) -> None:
        self._pause = None
        if self._listener.fileno() >= 0:
            self.loop.watch(self._listener, READ, self._accept, first=True)

    def _evict_one(self) -> None:
        """Closes a connection to make room for a new one: the oldest answered one, else the oldest one."""
        evicted = min(self.connections, key=lambda each: (not each.is_response_written, each.accepted_ms))
        evicted.connection.close(EndReason.IDLE)

    def close_overdue(self) -> None:
        """Answers and ends connections whose request is incomplete REQUEST_TIMEOUT_MS after the accept.

        The owner calls this periodically.
        """
        oldest_ms = monotonic_ms() - REQUEST_TIMEOUT_MS
        expired = [
            each for each in self.connections if each.accepted_ms < oldest_ms and not each.is_response_written
        ]
        for connection in expired:
            connection.answer(AdminResponse(408, "the call did not come in whole"))

    def close(self) -> None:
        """Stops listening and ends all connections."""
        self.loop.unwatch(self._listener)
        self._listener.close()
        for each in list(self.connections):
            each.connection.close(EndReason.STOPPED)
