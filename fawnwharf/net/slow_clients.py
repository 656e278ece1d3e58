"""Reads slow clients at a limited pace, and bounds the memory that their unsent answers take.

Slow clients do not read their answers, or send more than one iteration reads. While reading is paused, all
clients count as slow.
"""

from typing import TYPE_CHECKING

from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.event_loop import EventLoop

if TYPE_CHECKING:
    from fawnwharf.net.clients import ClientConnection

# A client with this many unsent bytes is read only once per scan.
UNSENT_PAUSE_BYTES = 64 * 1024
SCAN_MS = 40.0  # so that a disconnect or a withdrawal behind unread requests is detected within 100 ms
MAX_READS = 36  # per scan: enough for the largest requests that may be open on one connection
MAX_UNSENT_ANSWERS = 64  # of one client; the protocol allows half as many open requests


class SlowClients:
    """Periodically checks whether slow clients have disconnected, and reads what they have sent."""

    def __init__(
        self, loop: EventLoop, clients: dict["ClientConnection", None], max_unsent_bytes: int
    ) -> None:
        """`clients` is the port's own collection, which changes as connections open and close.

        `max_unsent_bytes` limits what is queued for all of them together.
        """
        self.max_unsent_bytes = max_unsent_bytes
        self.paused = False  # no client is read, because unread bytes belong to another process
        self._loop = loop
        self._clients = clients
        self._to_check: dict[ClientConnection, None] = {}  # at the next scan
        self._scan_scheduled = False

    def regulate(self, client: "ClientConnection") -> None:
        """Choose whether a client is read as its bytes arrive or only once per scan."""
        connection = client.connection
        is_slow = self.paused or connection.unwritten_bytes >= UNSENT_PAUSE_BYTES
        connection.set_reading(connection.finishing or not is_slow)
        if not (connection.reads or connection.closed):
            self.check_later(client)

    def check_later(self, client: "ClientConnection") -> None:
        """Check a client at the next scan, because it may have disconnected behind unread bytes."""
        self._to_check[client] = None
        if not self._scan_scheduled:
            self._scan_scheduled = True
            self._loop.timers.after(SCAN_MS, self._scan)

    def pause(self, on: bool) -> None:
        """Pause reading on all connections, or resume it."""
        self.paused = on
        for client in self._clients:
            self.regulate(client)

    def _scan(self) -> None:
        self._scan_scheduled = False
        clients = self._to_check
        self._to_check = {}
        for client in clients:
            self._loop.run_guarded(self._check, client)

    def _check(self, client: "ClientConnection") -> None:
        client.check_peer_ended()
        if not (self.paused or client.connection.reads):  # while paused, unread bytes are another process's
            self._read(client)
        self.regulate(client)

    def _read(self, client: "ClientConnection") -> None:
        connection = client.connection
        for _ in range(MAX_READS):
            ended = connection.closed or connection.finishing
            if ended or connection.queued_buffers > MAX_UNSENT_ANSWERS or self._loop.batch_full:
                return
            if connection.read_once():
                return

    def unsent_bytes(self) -> int:
        """Return how many bytes are queued for all clients together."""
        return sum(client.connection.unwritten_bytes for client in self._clients)

    def enforce_limit(self) -> None:
        """Close the slow clients that have been inactive for longest, until the total limit is met."""
        while self.unsent_bytes() > self.max_unsent_bytes:
            slow = [
                client for client in self._clients if client.connection.unwritten_bytes > UNSENT_PAUSE_BYTES
            ]
            if not slow:
                return
            min(slow, key=lambda client: client.connection.used_ms).connection.close(
                EndReason.PEER_NOT_READING
            )
