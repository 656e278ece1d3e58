"""Accepting from a listening socket: which errors concern one connection, and which all."""

import errno
import socket
from collections.abc import Callable

from fawnwharf.net.end_reasons import EndReason, end_reason_of
from fawnwharf.net.event_loop import READ, EventLoop, ReadPriority
from fawnwharf.net.log_writer import LogWriter
from fawnwharf.net.timer_wheel import Timer, monotonic_ms

MAX_ACCEPTS = 64  # in a turn
# Where the system has no descriptor or memory left, or the listener fails in a way that is unknown here.
ACCEPT_PAUSE_MS = 50.0
# Errors of a connection that ended, or of its network, before it was accepted: the next one may be well.
SINGLE_CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EINTR,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,  # turned away by a firewall
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENONET,
        errno.ETIMEDOUT,
    }
)


class Acceptor:
    """Owns the listening socket; accepts while it is on, there is room, and the system gives descriptors."""

    def __init__(
        self,
        loop: EventLoop,
        listener: socket.socket,
        admit: Callable[[socket.socket, float], None],
        room: Callable[[], int],
        log: LogWriter,
    ) -> None:
        """`admit` takes an accepted socket, and since when it may have waited by the monotonic clock; or it
        raises OSError and leaves it. `room`: how many more to accept in this turn; where it is 0, `go_on`
        says when there may be room again."""
        self.loop, self.log = loop, log
        self.socket: socket.socket | None = listener
        self._admit, self._room = admit, room
        self._on = False
        self._pause: Timer | None = None
        # Since when connections may wait in the queue; None: it was emptied.
        self._waiting_ms: float | None = monotonic_ms()
        self._looked_ms = self._waiting_ms  # the last turn that found it ready, or began to watch it
        self._in_vain = 0  # tries of this turn that brought no connection

    def accept(self, on: bool) -> None:
        """Accept new connections, or leave them to whoever else has the listener."""
        if self.socket is None or on == self._on:
            return
        self._on = on
        if self._pause is None:
            self._watch(on)

    def _watch(self, on: bool) -> None:
        if on:
            self._looked_ms = max(self._looked_ms, self.loop.iteration_ms)
            self.loop.watch(self.socket, READ, self._ready, order=lambda: ReadPriority.IDLE)
        else:
            self.loop.unwatch(self.socket)

    def _ready(self, _mask: int) -> None:
        if self._waiting_ms is None or self._looked_ms < self.loop.empty_ms(self.socket.fileno()):
            self._waiting_ms = self.loop.ready_since_ms(self.socket.fileno())
        self._looked_ms = self.loop.iteration_ms
        most = min(MAX_ACCEPTS, self._room())
        if not most:
            self.pause()
            return
        self._in_vain = 0
        for _ in range(most):
            if not self._accept_one():
                return
        if self._in_vain == most:
            self.pause()

    def _accept_one(self) -> bool:
        """Whether there may be more to accept now."""
        try:
            accepted, _ = self.socket.accept()
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
            # Reset already, or the selector has no memory: this one is lost, the next may be well.
            accepted.close()
            self.log(f"accepted connection not usable: {error}", "accept")

    def _failed(self, error: OSError) -> bool:
        if error.errno in SINGLE_CONNECTION_ERRORS:
            self._in_vain += 1
            return True
        if end_reason_of(error) is not EndReason.NO_DESCRIPTOR:
            self.log(f"accept: {error}", "accept")
        self.pause()
        return False

    def pause(self) -> None:
        """Leave new connections to the system's queue for a moment, rather than spin on them."""
        if self.socket is not None and self._on and self._pause is None:
            self._watch(False)
            self._pause = self.loop.timers.after(ACCEPT_PAUSE_MS, self.go_on)

    def go_on(self) -> None:
        """There may be room, or the system may have descriptors again."""
        if self._pause is None:
            return
        self._pause.cancel()
        self._pause = None
        if self.socket is None or not self._on:
            return
        try:
            self._watch(True)
        except OSError as error:  # the selector has no memory: a listener that nobody watches would be lost
            self.log(f"accept: {error}", "accept")
            self._pause = self.loop.timers.after(ACCEPT_PAUSE_MS, self.go_on)

    def drain(self) -> bool:
        """Accept all that the system's queue holds, then close the listener: closing it resets what it holds.
        False while there is no room for all of it, or the system has no descriptor."""
        self.accept(False)
        for _ in range(MAX_ACCEPTS):
            if self.socket is None:
                return True
            if not self._room():
                return False
            try:
                accepted, _ = self.socket.accept()
            except BlockingIOError:
                self.close()
            except OSError as error:
                if error.errno not in SINGLE_CONNECTION_ERRORS:
                    return False
            else:
                self._take(accepted)
        return self.socket is None

    def close(self) -> None:
        """Stop listening; what the system's queue still holds is reset."""
        self.accept(False)
        if self.socket is not None:
            self.socket.close()
            self.socket = None
