"""Closing idle client connections when the connection limit is reached: which ones, and in which order."""

from collections import deque
from typing import TYPE_CHECKING

from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.timer_wheel import monotonic_ms

if TYPE_CHECKING:
    from fawnwharf.net.clients import ClientConnection

# A connection without any message so far may be about to send its first: for this long, other idle
# connections are closed before it.
MIN_SILENT_AGE_MS = 250.0
SCAN_MS = 50.0  # a scan of all clients is reused for this long, so that not every accept costs one
RELEASE_SHARE = 0.5  # of the connection limit is closed at a time when the limit is reached


class IdleConnectionReleaser:
    """Closes connections without open requests while there is no capacity for new ones."""

    def __init__(self, loop: EventLoop, clients: dict["ClientConnection", None]) -> None:
        """`clients` is the port's own collection of connections, which changes as they come and go."""
        self._loop = loop
        self._clients = clients
        # By the last scan, those to close first in front; each with the time at which it was last used.
        self._idlest: deque[tuple[ClientConnection, float]] = deque()
        self._scanned_ms = 0.0

    def release_some(self, max_connections: int) -> None:
        """Close idle connections until a share of the connection limit `max_connections` is released.

        Closed first are connections that should have sent a message by now, then those that have been idle
        for longest, then those with a partial message of which nothing more arrives.
        """
        wanted = max(1, int(max_connections * RELEASE_SHARE))
        wanted -= sum(client.connection.finishing for client in self._clients)
        for _ in range(2):  # from the last scan, then from a new one
            while self._idlest and monotonic_ms() - self._scanned_ms < SCAN_MS:
                if wanted <= 0 or self._loop.batch_full:
                    return
                client, used_ms = self._idlest.popleft()
                if client.idle and client.connection.used_ms == used_ms:
                    wanted -= client.release()
            if wanted <= 0:
                return
            self._idlest = self._by_idleness()
            self._scanned_ms = monotonic_ms()

    def clear(self) -> None:
        """Discard the result of the last scan, which may refer to connections that have ended."""
        self._idlest.clear()

    def _by_idleness(self) -> "deque[tuple[ClientConnection, float]]":
        now = monotonic_ms()

        def rank(client: "ClientConnection") -> tuple[bool, bool, float]:
            used_ms = client.connection.used_ms
            return client.has_partial_message, client.has_sent or used_ms >= now - MIN_SILENT_AGE_MS, used_ms

        candidates = [client for client in self._clients if client.idle and client.may_be_released(now)]
        return deque((client, client.connection.used_ms) for client in sorted(candidates, key=rank))
