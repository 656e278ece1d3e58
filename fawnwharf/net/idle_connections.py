"""Room for new client connections: which idle ones are ended, and in which order."""

from collections import deque
from typing import TYPE_CHECKING

from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.timer_wheel import monotonic_ms

if TYPE_CHECKING:
    from fawnwharf.net.clients import ClientConnection

# One that said nothing yet may be about to: others that are idle give way before it for so long.
MIN_SILENT_AGE_MS = 250.0
SCAN_MS = 50.0  # a look over all clients serves for so long: a crowd must not cost one for each accept
RELEASE_SHARE = 0.5  # of all connections are ended at a time, where there is no room for another


class IdleConnectionReleaser:
    """Ends connections with nothing open on them while there is no room for new ones."""

    def __init__(self, loop: EventLoop, clients: dict["ClientConnection", None]) -> None:
        self._loop, self._clients = loop, clients
        self._idlest: deque[tuple[ClientConnection, float]] = deque()  # whom to end first, by the last look
        self._looked_ms = 0.0

    def make(self, most: int) -> None:
        """End some: those that should have spoken by now, then those that have been idle for longest, then
        those with half a message of which nothing comes any more. `most`: connections that there may be."""
        wanted = max(1, int(most * RELEASE_SHARE))
        wanted -= sum(client.connection.finishing for client in self._clients)
        for _ in range(2):  # from the last look, then from a new one
            while self._idlest and monotonic_ms() - self._looked_ms < SCAN_MS:
                if wanted <= 0 or self._loop.batch_full:
                    return
                client, used_ms = self._idlest.popleft()
                if client.idle and client.connection.used_ms == used_ms:
                    wanted -= client.release()
            if wanted <= 0:
                return
            self._idlest, self._looked_ms = self._by_idleness(), monotonic_ms()

    def forget(self) -> None:
        """Keep no connection from the last look: some may have ended."""
        self._idlest.clear()

    def _by_idleness(self) -> "deque[tuple[ClientConnection, float]]":
        now = monotonic_ms()

        def rank(client: "ClientConnection") -> tuple[bool, bool, float]:
            used_ms = client.connection.used_ms
            return client.begun, client.spoke or used_ms >= now - MIN_SILENT_AGE_MS, used_ms

        able = [client for client in self._clients if client.idle and client.may_give_way(now)]
        return deque((client, client.connection.used_ms) for client in sorted(able, key=rank))
