"""Bounds the memory that incomplete messages of all clients take together."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fawnwharf.net.clients import ClientConnection


class PartialMessages:
    """Knows the size of each client's incomplete message, and ends the most idle clients past the limit."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self._sizes: dict[ClientConnection, int] = {}

    def update(self, client: "ClientConnection", size_bytes: int) -> None:
        """Note the size of a client's incomplete message; 0 if there is none."""
        self.total_bytes += size_bytes - self._sizes.pop(client, 0)
        if size_bytes:
            self._sizes[client] = size_bytes  # the last one: the order is that of their latest bytes
        while self.total_bytes > self.max_bytes and len(self._sizes) > 1:
            most_idle = next(iter(self._sizes))
            self.forget(most_idle)
            most_idle.end_partial_message()

    def forget(self, client: "ClientConnection") -> None:
        """A client has ended, or another process has it."""
        self.total_bytes -= self._sizes.pop(client, 0)
