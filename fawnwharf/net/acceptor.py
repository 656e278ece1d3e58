"""Accepting connections from a listening socket: which errors concern one connection, and which all."""

import errno
import socket
from collections.abc import Callable

from fawnwharf.net.end_reasons import EndReason, end_reason_of
from fawnwharf.net.event_loop import READ, EventLoop, ReadPriority
from fawnwharf.net.log_writer import LogWriter
from fawnwharf.net.timer_wheel import Timer, monotonic_ms

MAX_ACCEPTS = 64  # in one iteration
# Where the system has no descriptor or memory left, or the listener fails in an unknown way.
ACCEPT_PAUSE_MS = 50.0
# Errors of a connection that ended, or of its network, before it was accepted: the next may be usable.
SINGLE_CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EINTR,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,  # rejected by a firewall
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENONET,
        errno.ETIMEDOUT,
    }
)


class Acceptor:
    """Owns the listening socket, and accepts while it is on, there is capacity, and descriptors are left."""

    def __init__(
        self,
        loop: EventLoop,
        listener: socket.socket,
        admit: Callable[[socket.socket, float], None],
        capacity: Callable[[], int],
        log: LogWriter,
    ) -> None:
        """Take the listening socket over; nothing is accepted before `set_accepting`.

        `admit` receives an accepted socket and the monotonic time in milliseconds since which it may have
        been waiting; it may raise OSError, and the socket is then closed here. `capacity` returns how many
        more connections to accept in this iteration; after it was 0, `resume` reports new capacity.
        """
        self.loop = loop
        self.log = log
        self._listener = listener
        self._admit = admit
        self._capacity = capacity
        self._closed = False
        self._accepting = False
        self._pause: Timer | None = None
        # Since when connections may be waiting in the queue; None: it was emptied.
        self._waiting_ms: float | None = monotonic_ms()
        # The last iteration that found the listener ready, or began to watch it.
        self._checked_ms = self._waiting_ms
        self._failures = 0  # attempts of this iteration that accepted no connection

    @property
    def listener(self) -> socket.socket | None:
        """The listening socket; None once it is closed."""
        return None if self._closed else self._listener

    def set_accepting(self, on: bool) -> None:
        """Accept new connections, or leave them to another process that has the same listener."""
        if self._closed or on == self._accepting:
            return
        self._accepting = on
        if self._pause is None:
            self._watch(on)

    def _watch(self, on: bool) -> None:
        if on:
            self._checked_ms = max(self._checked_ms, self.loop.iteration_ms)
            self.loop.watch(self._listener, READ, self._ready, order=lambda: ReadPriority.IDLE)
        else:
            self.loop.unwatch(self._listener)

    def _ready(self, _mask: int) -> None:
        descriptor = self._listener.fileno()
        if self._waiting_ms is None or self._checked_ms < self.loop.empty_ms(descriptor):
            self._waiting_ms = self.loop.ready_since_ms(descriptor)
        self._checked_ms = self.loop.iteration_ms
        wanted = min(MAX_ACCEPTS, self._capacity())
        if not wanted:
            self.pause()
            return
        self._failures = 0
        for _ in range(wanted):
            if not self._accept_one():
                return
        if self._failures == wanted:
            self.pause()

    def _accept_one(self) -> bool:
        """Accept one connection; return whether there may be more to accept now."""
        try:
            accepted, _ = self._listener.accept()
        except BlockingIOError:
            self._waiting_ms = None
            return False
        except OSError as error:
            return self._failed(error)
        self._take(accepted)
        return True

    def _take(self, accepted: socket.socket) -> None:
        try:
            self._admit(accepted, self.loop.iteration_ms if self._waiting_ms is None else self._waiting_ms)
        except OSError as error:
            # Reset already, or the selector has no memory: this one is lost, the next may be usable.
            accepted.close()
            self.log(f"accepted connection not usable: {error}", "accept")

    def _failed(self, error: OSError) -> bool:
        if error.errno in SINGLE_CONNECTION_ERRORS:
            self._failures += 1
            return True
        if end_reason_of(error) is not EndReason.NO_DESCRIPTOR:
            self.log(f"accept: {error}", "accept")
        self.pause()
        return False

    def pause(self) -> None:
        """Leave new connections in the system's queue for `ACCEPT_PAUSE_MS`, instead of a busy loop."""
        if not self._closed and self._accepting and self._pause is None:
            self._watch(False)
            self._pause = self.loop.timers.after(ACCEPT_PAUSE_MS, self.resume)

    def resume(self) -> None:
        """End a pause: there may be capacity, or the system may have descriptors again."""
        if self._pause is None:
            return
        self._pause.cancel()
        self._pause = None
        if self._closed or not self._accepting:
            return
        try:
            self._watch(True)
        except OSError as error:  # the selector has no memory: a listener that is not watched would be lost
            self.log(f"accept: {error}", "accept")
            self._pause = self.loop.timers.after(ACCEPT_PAUSE_MS, self.resume)

    def drain(self) -> bool:
        """Accept all that the system's queue holds, then close the listener; return whether that is done.

        Closing a listener resets the connections in its queue. Returns False while there is no capacity for
        all of them, or the system has no descriptor.
        """
        self.set_accepting(False)
        for _ in range(MAX_ACCEPTS):
            if self._closed:
                return True
            if not self._capacity():
                return False
            try:
                accepted, _ = self._listener.accept()
            except BlockingIOError:
                self.close()
            except OSError as error:
                if error.errno not in SINGLE_CONNECTION_ERRORS:
                    return False
            else:
                self._take(accepted)
        return self._closed

    def close(self) -> None:
        """Stop listening; the connections that are still in the system's queue are reset."""
        self.set_accepting(False)
        if not self._closed:
            self._listener.close()
            self._closed = True
