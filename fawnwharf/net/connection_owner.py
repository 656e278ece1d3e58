"""The callbacks of a connection, which its owner implements."""

from typing import Protocol

from fawnwharf.net.end_reasons import EndReason


class ConnectionOwner(Protocol):
    """The component that a connection notifies of its events."""

    def on_up(self) -> None:
        """The connection that was dialled is established."""

    def on_data(self, data: bytes) -> None:
        """Bytes were received. An exception ends the connection as `EndReason.PROTOCOL_ERROR`."""

    def on_flushed(self) -> None:
        """This iteration's write has been attempted, and the connection is still open."""

    def on_end(self, end: EndReason) -> None:
        """The connection has ended for this reason. Called exactly once, as the last callback."""


class HalfCloseOwner(ConnectionOwner, Protocol):
    """An owner that is also notified when the peer ends its output.

    Output that the owner queues in this callback is still written before the connection ends.
    """

    def on_half_close(self) -> None:
        """The peer has ended its output, but may still read."""


class _NoOwner:
    """The owner of connections that have ended.

    It breaks the reference cycle between owner and connection. Otherwise both would stay in memory until a
    full garbage collection, which becomes rarer as the process grows.
    """

    def on_up(self) -> None: ...

    def on_data(self, data: bytes) -> None: ...

    def on_flushed(self) -> None: ...

    def on_end(self, end: EndReason) -> None: ...


NO_OWNER = _NoOwner()
