"""Bounds the memory that incomplete messages of all clients take together."""

from typing import TYPE_CHECKING

from fawnwharf.net.cause_log import CauseLog
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.timer_wheel import monotonic_ms

if TYPE_CHECKING:
    from fawnwharf.net.clients import ClientConnection

RELEASE_MS = 20.0  # between two passes while the limit is exceeded


class PartialMessages:
    """Knows the size of each client's incomplete message, and closes idle connections past the limit.

    A connection with an open request, or on which bytes arrive, is not closed: its message is read on.
    """

    def __init__(self, loop: EventLoop, causes: CauseLog, max_bytes: int) -> None:
        """`max_bytes` limits all incomplete messages together."""
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self._loop, self._causes = loop, causes
        self._sizes: dict[ClientConnection, int] = {}  # those that received bytes last come last
        self._is_scheduled = False

    def update(self, client: "ClientConnection", size_bytes: int) -> None:
        """Note the size of a client's incomplete message; 0 if there is none."""
        self.forget(client)
        if size_bytes:
            self._sizes[client] = size_bytes
            self.total_bytes += size_bytes
        self._schedule_if_exceeded()

    def forget(self, client: "ClientConnection") -> None:
        """A client has ended, or another process has it."""
        self.total_bytes -= self._sizes.pop(client, 0)

    def _release(self) -> None:
        """Read what has arrived on the most idle connections, and close those that remain incomplete."""
        self._is_scheduled = False
        now_ms = monotonic_ms()
        for client in list(self._sizes):
            if self.total_bytes <= self.max_bytes or self._loop.batch_full:
                break
            if client.idle and client.may_be_released(now_ms) and client.release():
                self._note(client)
                self.forget(client)
        self._schedule_if_exceeded()

    def _schedule_if_exceeded(self) -> None:
        if self.total_bytes > self.max_bytes and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.timers.after(RELEASE_MS, self._release)

    def _note(self, client: "ClientConnection") -> None:
        self._causes.note("client: an incomplete message, too many are open", lambda: client.peer_name)
