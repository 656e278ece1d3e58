"""The age of received bytes: how long they had been in the receive buffer when their iteration began.

The age is subtracted from a call's time budget, because the client's time also runs while the process stalls.
"""

import contextlib
import socket
import struct

from fawnwharf.net.event_loop import STALL_THRESHOLD_MS, EventLoop

SO_TIMESTAMPNS = 35  # Linux: each read reports when its bytes arrived
TIMESTAMP = struct.Struct("@qq")
MAX_ANCILLARY_BYTES = socket.CMSG_SPACE(TIMESTAMP.size)


def enable_receive_timestamps(listener: socket.socket) -> None:
    """Have the system timestamp received bytes; call it before listening, as accepted sockets inherit it."""
    with contextlib.suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


class ReceiveAge:
    """The part of a `Connection` that determines the age of the bytes that it reads."""

    loop: EventLoop
    age_ms: float  # age of the last byte of the latest read
    oldest_age_ms: float  # upper limit for the age of the first byte of that read
    _sock: socket.socket
    _has_read: bool  # whether any bytes were read
    _unread_since_ms: float | None  # set if a read did not read everything, or if reading was paused
    _unread_noted_ms: float  # the iteration in which that was set, or in which reading was resumed

    @property
    def reads(self) -> bool:
        """Whether bytes are read as they arrive."""
        raise NotImplementedError

    @property
    def empty_ms(self) -> float:
        """The latest time at which no bytes were unread, on the monotonic clock."""
        if self.reads and self._unread_since_ms is None and not self.loop.was_deferred(self._sock):
            return self.loop.iteration_ms  # the socket was not ready when the iteration began
        return self._empty_ms()

    def assume_unread_since(self, since_ms: float) -> None:
        """Assume that bytes have been unread since this time on the monotonic clock.

        For an accepted or taken over connection: its bytes may have arrived before it was watched.
        """
        self._unread_since_ms = since_ms
        self._unread_noted_ms = self.loop.iteration_ms

    def _empty_ms(self) -> float:
        """Return the latest time at which it is known that no bytes were unread."""
        checked_ms = self.loop.empty_ms(self._sock.fileno())
        # A later iteration that watched the socket and did not find it ready proves that it was empty.
        if self._unread_since_ms is None or (self.reads and self._unread_noted_ms < checked_ms):
            return checked_ms
        return min(checked_ms, self._unread_since_ms)

    def _age(self, ancillary: list[tuple[int, int, bytes]]) -> float:
        """Return the age in milliseconds of the last byte just read, by the system's timestamp.

        A timestamp from before a clock step is not trusted; the longest possible age is returned instead.
        """
        loop = self.loop
        since_ms = self._empty_ms()  # the bytes arrived after this
        for level, kind, data in ancillary:
            if (level, kind, len(data)) != (socket.SOL_SOCKET, SO_TIMESTAMPNS, TIMESTAMP.size):
                continue
            if since_ms <= loop.clock.stepped_ms:
                break
            seconds, nanoseconds = TIMESTAMP.unpack(data)
            age_ms = loop.iteration_unix_ms - seconds * 1e3 - nanoseconds / 1e6
            gap_ms = loop.iteration_ms - loop.previous_iteration_ms
            trusted_ms = loop.timestamps.age_ms(age_ms, gap_ms, previously_read=self._has_read)
            if loop.timestamps.trusted:
                return trusted_ms
        return self._max_age_ms()

    def _max_age_ms(self) -> float:
        """Return the longest time that bytes read now may have waited; 0 if it is negligible."""
        loop = self.loop
        since_ms = self._empty_ms()
        unread_ms = loop.iteration_ms - since_ms if since_ms < loop.previous_iteration_ms else 0.0
        return max(loop.stall_ms, unread_ms if unread_ms > STALL_THRESHOLD_MS else 0.0)
