"""Clients whose bytes are not read as they come: they do not read their answers, send more than a turn
reads, or reading is paused."""

from typing import TYPE_CHECKING

from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.event_loop import EventLoop

if TYPE_CHECKING:
    from fawnwharf.net.clients import ClientConnection

UNSENT_PAUSE_BYTES = 64 * 1024  # bytes that wait for a client: from here on it is read at a slower pace
SCAN_MS = 40.0  # which is this: an end or a withdrawal behind unread requests is seen within 0.1 s
MAX_READS = 36  # in one look: the largest requests that may be open on one connection, and some more
MAX_UNSENT_ANSWERS = 64  # answers that wait: a client of the protocol is owed half of them at the most
MAX_TOTAL_UNSENT_BYTES = (
    32 * 1024 * 1024
)  # bytes that wait for all clients together: part of the memory limit


class SlowClients:
    """Looks at them now and then: at their end, and at what they have sent meanwhile."""

    def __init__(self, loop: EventLoop, clients: dict["ClientConnection", None]) -> None:
        self._loop, self._clients = loop, clients
        self.paused = False  # nothing is read: what comes is another process's
        self._held: dict[ClientConnection, None] = {}  # since the last look
        self._looks = False  # a look is to come

    def regulate(self, client: "ClientConnection") -> None:
        """Have a client read as its bytes come, or at a slower pace."""
        connection = client.connection
        slower = self.paused or connection.waiting_bytes >= UNSENT_PAUSE_BYTES
        connection.set_reading(connection.finishing or not slower)
        if not (connection.reads or connection.closed):
            self.look_later(client)

    def look_later(self, client: "ClientConnection") -> None:
        """Look at a client soon whose end may lie behind bytes that are not read yet."""
        self._held[client] = None
        if not self._looks:
            self._looks = True
            self._loop.timers.after(SCAN_MS, self._look)

    def pause(self, on: bool) -> None:
        """Read no further on any connection, or go on."""
        self.paused = on
        for client in self._clients:
            self.regulate(client)

    def _look(self) -> None:
        self._looks = False
        held, self._held = self._held, {}
        for client in held:
            self._loop.run_guarded(self._look_at, client)

    def _look_at(self, client: "ClientConnection") -> None:
        client.check()
        if not (self.paused or client.connection.reads):  # where paused, it is for another process
            self._read(client)
        self.regulate(client)

    def _read(self, client: "ClientConnection") -> None:
        connection = client.connection
        for _ in range(MAX_READS):
            ended = connection.closed or connection.finishing
            if ended or connection.queued_buffers > MAX_UNSENT_ANSWERS or self._loop.batch_full:
                return
            if connection.read_now():
                return

    def unread(self) -> int:
        """How many bytes wait for all clients together."""
        return sum(client.connection.waiting_bytes for client in self._clients)

    def shed(self) -> None:
        """Drop whoever has taken nothing for longest, while too much waits for all together."""
        while self.unread() > MAX_TOTAL_UNSENT_BYTES:
            slow = [
                client for client in self._clients if client.connection.waiting_bytes > UNSENT_PAUSE_BYTES
            ]
            if not slow:
                return
            min(slow, key=lambda client: client.connection.used_ms).connection.close(EndReason.STUFFED)
