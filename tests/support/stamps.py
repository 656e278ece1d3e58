"""Receive timestamps that follow a settable clock instead of the system's clock."""

import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from support.clocks import SettableClock

SO_TIMESTAMPNS = 35  # Linux
STAMP = struct.Struct("@qq")


class ReceiveStamps:
    """Gives received bytes the wall clock time of their sender's last write as the timestamp."""

    def __init__(self, clock: SettableClock) -> None:
        self._clock = clock
        self._written_ms: dict[tuple, float] = {}  # by the sender's address

    def written(self, address: tuple) -> None:
        """Record that this sender writes now."""
        self._written_ms[address] = self._clock.wall_ms

    def note(self, address: tuple) -> list[tuple[int, int, bytes]]:
        """Return the ancillary data of a read from this sender."""
        if (written_ms := self._written_ms.get(address)) is None:
            return []
        seconds, rest_ms = divmod(written_ms, 1_000.0)
        return [(socket.SOL_SOCKET, SO_TIMESTAMPNS, STAMP.pack(int(seconds), int(rest_ms * 1e6)))]

    @contextmanager
    def installed(self) -> Iterator["ReceiveStamps"]:
        """Give all sockets created or accepted inside this context these timestamps only."""
        with mock.patch.object(socket, "socket", _socket_class(self, socket.socket)):
            yield self


def _socket_class(stamps: ReceiveStamps, base: type[socket.socket]) -> type[socket.socket]:
    class StampedSocket(base):  # type: ignore[valid-type, misc]
        sender: tuple = ()  # set by accept, as the address of a reset connection can't be queried

        def accept(self):
            sock, sender = super().accept()
            sock.sender = sender
            return sock, sender

        def recvmsg(self, size, *more):
            data, _, flags, address = super().recvmsg(size, *more)
            return data, stamps.note(self.sender), flags, address

    return StampedSocket
