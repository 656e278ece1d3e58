"""The interface between the client port and the request table."""

from typing import Protocol

from fawnwharf.net.requests import Call


class RequestSink(Protocol):
    """Accepts and withdraws calls: the request table, or a layer in front of it."""

    def take(self, call: Call) -> str | None:
        """Accept a call; return the key of the open request, or None if the call was answered at once."""

    def withdraw(self, key: str) -> None:
        """Forget a request whose client no longer waits."""
