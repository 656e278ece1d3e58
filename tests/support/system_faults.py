"""Fault injection for the system calls of sockets.

`SystemFaults` replaces `socket.socket` by a subclass while it is installed. Each planned fault applies to the
next matching calls, so a test decides which calls fail, how, and how often.
"""

import errno
import os
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from unittest import mock

Predicate = Callable[[socket.socket], bool]


def _any_socket(_sock: socket.socket) -> bool:
    return True


@dataclass
class Fault:
    """A planned fault: the system call that it affects, what it does, and how often."""

    call: str
    error: int = 0  # errno to fail with; 0 if the call is shortened instead
    max_bytes: int = 0  # that a shortened read or write transfers
    times: int = 1  # number of calls to affect
    where: Predicate = _any_socket
    hits: int = 0  # number of calls affected so far


class SystemFaults:
    """Plans faults of system calls, and injects them while it is installed.

    The calls are socket, accept, connect, shutdown, recv, recvmsg, send, sendmsg, and `so_error` (the read of
    `SO_ERROR`, which is the result of a connect that did not finish at once).
    """

    def __init__(self) -> None:
        self.planned: list[Fault] = []
        self.calls: dict[str, int] = {}

    def fail(self, call: str, error: int, times: int = 1, where: Predicate = _any_socket) -> Fault:
        """Let the next `times` matching calls fail with `error`."""
        return self._plan(Fault(call, error=error, times=times, where=where))

    def shorten(self, call: str, max_bytes: int, times: int = 1, where: Predicate = _any_socket) -> Fault:
        """Let the next `times` matching reads or writes transfer at most `max_bytes`."""
        return self._plan(Fault(call, max_bytes=max_bytes, times=times, where=where))

    def _plan(self, fault: Fault) -> Fault:
        self.planned.append(fault)
        return fault

    def take(self, call: str, sock: socket.socket) -> Fault | None:
        """Return the fault that affects this call, if any."""
        self.calls[call] = self.calls.get(call, 0) + 1
        for fault in self.planned:
            if fault.call == call and fault.hits < fault.times and fault.where(sock):
                fault.hits += 1
                return fault
        return None

    def raise_for(self, call: str, sock: socket.socket) -> Fault | None:
        """Raise the OSError of a fault that fails this call; return a fault that shortens it."""
        fault = self.take(call, sock)
        if fault and fault.error:
            raise OSError(fault.error, os.strerror(fault.error))
        return fault

    @contextmanager
    def installed(self) -> Iterator["SystemFaults"]:
        """Let faults affect all sockets created or accepted inside this context."""
        with mock.patch.object(socket, "socket", _socket_class(self, socket.socket)):
            yield self


def _socket_class(faults: SystemFaults, base: type[socket.socket]) -> type[socket.socket]:
    return _faulty_transfers(faults, _faulty_connections(faults, base))


def _faulty_connections(faults: SystemFaults, base: type[socket.socket]) -> type[socket.socket]:
    """Return a socket class with faults in the calls that open and close connections."""

    class FaultyConnections(base):  # type: ignore[valid-type, misc]
        def __init__(self, family=-1, type=-1, proto=-1, fileno=None):
            if fileno is None:
                faults.raise_for("socket", None)
            super().__init__(family, type, proto, fileno)

        def accept(self):
            faults.raise_for("accept", self)
            return super().accept()

        def connect(self, address):
            faults.raise_for("connect", self)
            return super().connect(address)

        def connect_ex(self, address):
            fault = faults.take("connect", self)
            return fault.error if fault else super().connect_ex(address)

        def getsockopt(self, level, option, *size):
            if (level, option) == (socket.SOL_SOCKET, socket.SO_ERROR):
                fault = faults.take("so_error", self)
                if fault:
                    return fault.error
            return super().getsockopt(level, option, *size)

        def shutdown(self, how):
            faults.raise_for("shutdown", self)
            return super().shutdown(how)

    return FaultyConnections


def _faulty_transfers(faults: SystemFaults, base: type[socket.socket]) -> type[socket.socket]:
    """Return a socket class with faults in the calls that read and write."""

    class FaultyTransfers(base):  # type: ignore[valid-type, misc]
        def recv(self, size, *flags):
            fault = faults.raise_for("recv", self)
            return super().recv(min(size, fault.max_bytes) if fault else size, *flags)

        def recvmsg(self, size, *more):
            fault = faults.raise_for("recvmsg", self)
            return super().recvmsg(min(size, fault.max_bytes) if fault else size, *more)

        def send(self, data, *flags):
            fault = faults.raise_for("send", self)
            return super().send(data[: fault.max_bytes] if fault else data, *flags)

        def sendmsg(self, buffers, *more):
            fault = faults.raise_for("sendmsg", self)
            if not fault:
                return super().sendmsg(buffers, *more)
            if not fault.max_bytes:
                raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
            return super().send(b"".join(buffers)[: fault.max_bytes])

    return FaultyTransfers
