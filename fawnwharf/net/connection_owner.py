"""Who is told what happens on a connection."""

from typing import Protocol

from fawnwharf.net.end_reasons import EndReason


class ConnectionOwner(Protocol):
    """Whoever is told what happens on a connection."""

    def on_up(self) -> None: ...

    def on_data(self, data: bytes) -> None: ...

    def on_flushed(self) -> None: ...

    def on_end(self, end: EndReason) -> None: ...


class HalfCloseOwner(ConnectionOwner, Protocol):
    """One that is also told that the peer has ended its output, and may still queue what the peer is owed."""

    def on_half_close(self) -> None: ...


class _NoOwner:
    """Owns connections that have ended. Guards the memory: owner and connection would hold each other until
    a full collection, which comes ever more seldom."""

    def on_up(self) -> None: ...

    def on_data(self, data: bytes) -> None: ...

    def on_flushed(self) -> None: ...

    def on_end(self, end: EndReason) -> None: ...


NO_OWNER = _NoOwner()
