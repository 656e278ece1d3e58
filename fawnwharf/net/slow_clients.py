"""Clients whose bytes are not read as they come: they do not read their answers, send more than a turn
reads, or reading is paused."""

from typing import TYPE_CHECKING

from fawnwharf.net.end_reasons import End
from fawnwharf.net.loop import Loop

if TYPE_CHECKING:
    from fawnwharf.net.clients import Client

UNREAD_STOP = 64 * 1024  # bytes that wait for a client: from here on it is read at a slower pace
LOOK_MS = 40.0  # which is this: an end or a withdrawal behind unread requests is seen within 0.1 s
READS_MOST = 36  # in one look: the largest requests that may be open on one connection, and some more
PIECES_MOST = 64  # answers that wait: a client of the protocol is owed half of them at the most
UNREAD_ALL_MOST = 32 * 1024 * 1024  # bytes that wait for all clients together: part of the memory limit


class SlowClients:
    """Looks at them now and then: at their end, and at what they have sent meanwhile."""

    def __init__(self, loop: Loop, clients: dict["Client", None]) -> None:
        self._loop, self._clients = loop, clients
        self.paused = False  # nothing is read: what comes is another process's
        self._held: dict[Client, None] = {}  # since the last look
        self._looks = False  # a look is to come

    def regulate(self, client: "Client") -> None:
        """Have a client read as its bytes come, or at a slower pace."""
        connection = client.connection
        slower = self.paused or connection.waiting_bytes >= UNREAD_STOP
        connection.read_on(connection.finishing or not slower)
        if not (connection.reads or connection.closed):
            self.look_later(client)

    def look_later(self, client: "Client") -> None:
        """Look at a client soon whose end may lie behind bytes that are not read yet."""
        self._held[client] = None
        if not self._looks:
            self._looks = True
            self._loop.wheel.after(LOOK_MS, self._look)

    def pause(self, on: bool) -> None:
        """Read no further on any connection, or go on."""
        self.paused = on
        for client in self._clients:
            self.regulate(client)

    def _look(self) -> None:
        self._looks = False
        held, self._held = self._held, {}
        for client in held:
            self._loop.guarded(self._look_at, client)

    def _look_at(self, client: "Client") -> None:
        client.check()
        if not (self.paused or client.connection.reads):  # where paused, it is for another process
            self._read(client)
        self.regulate(client)

    def _read(self, client: "Client") -> None:
        connection = client.connection
        for _ in range(READS_MOST):
            ended = connection.closed or connection.finishing
            if ended or connection.waiting_pieces > PIECES_MOST or self._loop.crowded:
                return
            if connection.read_now():
                return

    def unread(self) -> int:
        """How many bytes wait for all clients together."""
        return sum(client.connection.waiting_bytes for client in self._clients)

    def shed(self) -> None:
        """Drop whoever has taken nothing for longest, while too much waits for all together."""
        while self.unread() > UNREAD_ALL_MOST:
            slow = [client for client in self._clients if client.connection.waiting_bytes > UNREAD_STOP]
            if not slow:
                return
            min(slow, key=lambda client: client.connection.used_ms).connection.close(End.STUFFED)
