"""The interface between the clients' port and the request table: what takes calls and withdraws them."""

from typing import Protocol

from fawnwharf.net.requests import Call


class RequestSink(Protocol):
    """What takes calls and withdraws them: the request table, or what stands before it."""

    def take(self, call: Call) -> str | None:
        """Take a call: the key of the open request, or None where the call was answered at once."""

    def withdraw(self, key: str) -> None:
        """Forget a request whose client waits no more."""
