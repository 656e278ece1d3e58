"""Listening sockets: the one that clients connect to, and the wait for an address that is still held."""

import errno
import signal
import socket
from collections.abc import Callable

from fawnwharf.config import Address
from fawnwharf.net.receive_age import enable_receive_timestamps
from fawnwharf.net.timer_wheel import monotonic_ms, sleep_s

BACKLOG = 1024
# The process before may be ending still: it holds its address until its last look after new connections.
MAX_IN_USE_S = 6.0  # and a process that starts is to be ready within 10 s
IN_USE_RETRY_S = 0.05


def open_listener(address: Address, shared: bool) -> socket.socket:
    """A socket that listens there. `shared`: another process may listen on the same address."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        enable_receive_timestamps(listener)
        listener.bind(address)
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener


def termination_pending() -> bool:
    """Whether a signal to end has come and is held back, as it is during a start."""
    return bool({signal.SIGTERM, signal.SIGINT} & signal.sigpending())


def listen_when_free(listen: Callable[[], socket.socket], most_s: float = MAX_IN_USE_S) -> socket.socket:
    """What `listen` makes, as soon as its address is free; raises OSError where it is not for too long, or
    where this process has been told to end meanwhile."""
    until = monotonic_ms() / 1000.0 + most_s
    while True:
        try:
            return listen()
        except OSError as error:
            if error.errno != errno.EADDRINUSE or termination_pending() or monotonic_ms() / 1000.0 >= until:
                raise
        sleep_s(IN_USE_RETRY_S)
