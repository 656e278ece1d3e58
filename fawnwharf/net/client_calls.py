"""The calls that are open on a client connection, by where each of them waits for its answer."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from fawnwharf.net.requests import RequestTable


class OpenCall(Protocol):
    """A call that has no answer yet."""

    def withdraw(self) -> None:
        """End the call without an answer, because its client no longer waits."""


@dataclass(frozen=True, slots=True)
class TableCall:
    """A call in the request table, or in the component in front of it that accepted the call.

    Only `table` knows the key. The client port may submit later calls to another one.
    """

    table: "RequestTable"
    key: str

    def withdraw(self) -> None:
        """Withdraw it from where it was accepted."""
        self.table.withdraw(self.key)


@dataclass(frozen=True, slots=True)
class RemoteCall:
    """A call that the process which handed off the connection still runs, and whose answer it forwards."""

    seqid: int
    withdraw_remote: Callable[[int], None]  # gets the sequence number

    def withdraw(self) -> None:
        """Have the other process withdraw it."""
        self.withdraw_remote(self.seqid)
