"""Closes idle client connections when the connection limit is reached."""

from collections import deque
from typing import TYPE_CHECKING

from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.timer_wheel import monotonic_ms

if TYPE_CHECKING:
    from fawnwharf.net.clients import ClientConnection

# A new connection may be about to send its first message. Up to this age, other idle connections are closed
# before it.
MIN_SILENT_AGE_MS = 250.0
SCAN_MS = 50.0  # a scan of all clients is reused for this long, as accepts may be frequent
RELEASE_SHARE = 0.5  # share of the connection limit that is released at a time


class IdleConnectionReleaser:
    """Closes client connections without open requests to make room for new connections."""

    def __init__(self, loop: EventLoop, clients: dict["ClientConnection", None]) -> None:
        """`clients`: the client port's own collection of connections, which it keeps up to date."""
        self._loop = loop
        self._clients = clients
        # The result of the last scan, in the order of closing, each with the time at which it was last used.
        self._idlest: deque[tuple[ClientConnection, float]] = deque()
        self._scanned_ms = 0.0

    def release_some(self, max_connections: int) -> None:
        """Close idle connections until a share of the connection limit `max_connections` is released.

        The order is: connections that should have sent their first message by now, other connections by idle
        time, connections with a partial message that makes no progress.
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
