"""Accepts connections from a listening socket, and pauses after errors that affect all connections."""

import errno
import socket
from collections.abc import Callable

from fawnwharf.net.end_reasons import EndReason, end_reason_of
from fawnwharf.net.event_loop import READ, EventLoop, ReadPriority
from fawnwharf.net.log_writer import LogWriter
from fawnwharf.net.timer_wheel import Timer, monotonic_ms

MAX_ACCEPTS = 64  # in one iteration
# Pause after the system ran out of descriptors or memory, or after an unknown error of the listener.
ACCEPT_PAUSE_MS = 50.0
# The connection ended, or its network failed, before it was accepted. The next connection may be usable.
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
    """Owns the listening socket, and accepts connections while it is enabled and there is capacity."""

    def __init__(
        self,
        loop: EventLoop,
        listener: socket.socket,
        admit: Callable[[socket.socket, float], None],
        capacity: Callable[[], int],
        log: LogWriter,
    ) -> None:
        """Take over the listening socket; no connection is accepted before `set_accepting`.

        `admit` receives an accepted socket and the earliest time (monotonic, in milliseconds) from which it
        may have been waiting. If `admit` raises OSError, the socket is closed. `capacity` returns how many
        more connections to accept in this iteration; once it has returned 0, call `resume` when there is
        capacity again.
        """
        self.loop = loop
        self.log = log
        self._listener = listener
        self._admit = admit
        self._capacity = capacity
        self._closed = False
        self._accepting = False
        self._pause_timer: Timer | None = None
        # The earliest time from which connections may be waiting in the accept queue; None if it was emptied.
        self._waiting_since_ms: float | None = monotonic_ms()
        # Start of the last iteration that found the listener ready or began to watch it.
        self._checked_ms = self._waiting_since_ms
        self._failures = 0  # accept calls of this iteration that failed for a single connection

    @property
    def listener(self) -> socket.socket | None:
        """The listening socket; None once it is closed."""
        return None if self._closed else self._listener

    def set_accepting(self, on: bool) -> None:
        """Accept new connections, or leave them to another process that shares the listener."""
        if self._closed or on == self._accepting:
            return
        self._accepting = on
        if self._pause_timer is None:
            self._watch(on)

    def _watch(self, on: bool) -> None:
        if on:
            self._checked_ms = max(self._checked_ms, self.loop.iteration_ms)
            self.loop.watch(self._listener, READ, self._ready, order=lambda: ReadPriority.IDLE)
        else:
            self.loop.unwatch(self._listener)

    def _ready(self, _mask: int) -> None:
        descriptor = self._listener.fileno()
        if self._waiting_since_ms is None or self._checked_ms < self.loop.empty_ms(descriptor):
            self._waiting_since_ms = self.loop.ready_since_ms(descriptor)
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
            self._waiting_since_ms = None
            return False
        except OSError as error:
            return self._handle_accept_error(error)
        self._admit_socket(accepted)
        return True

    def _admit_socket(self, accepted: socket.socket) -> None:
        try:
            self._admit(
                accepted, self.loop.iteration_ms if self._waiting_since_ms is None else self._waiting_since_ms
            )
        except OSError as error:
            # Already reset, or the selector has no memory: the next connection may be usable.
            accepted.close()
            self.log(f"accepted connection is not usable: {error}", "accept")

    def _handle_accept_error(self, error: OSError) -> bool:
        if error.errno in SINGLE_CONNECTION_ERRORS:
            self._failures += 1
            return True
        if end_reason_of(error) is not EndReason.NO_DESCRIPTOR:
            self.log(f"accept: {error}", "accept")
        self.pause()
        return False

    def pause(self) -> None:
        """Leave new connections in the accept queue for `ACCEPT_PAUSE_MS`, to avoid a busy loop."""
        if not self._closed and self._accepting and self._pause_timer is None:
            self._watch(False)
            self._pause_timer = self.loop.timers.after(ACCEPT_PAUSE_MS, self.resume)

    def resume(self) -> None:
        """End a pause, because there may be capacity or descriptors again."""
        if self._pause_timer is None:
            return
        self._pause_timer.cancel()
        self._pause_timer = None
        if self._closed or not self._accepting:
            return
        try:
            self._watch(True)
        except OSError as error:  # the selector has no memory; without a retry the listener stays unwatched
            self.log(f"accept: {error}", "accept")
            self._pause_timer = self.loop.timers.after(ACCEPT_PAUSE_MS, self.resume)

    def drain(self) -> bool:
        """Accept all connections in the accept queue, then close the listener; return whether it is closed.

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
                self._admit_socket(accepted)
        return self._closed

    def close(self) -> None:
        """Stop listening; connections that are still in the accept queue are reset."""
        self.set_accepting(False)
        if not self._closed:
            self._listener.close()
            self._closed = True
