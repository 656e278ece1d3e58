"""Opens the socket that clients connect to, and waits for an address that is still in use."""

import errno
import signal
import socket
from collections.abc import Callable

from fawnwharf.config import Address
from fawnwharf.net.receive_age import enable_receive_timestamps
from fawnwharf.net.timer_wheel import monotonic_ms, sleep_s

BACKLOG = 1024
# A previous process that is shutting down holds its address until it has accepted the last connections. A
# starting process has to be ready within 10 s.
MAX_IN_USE_S = 6.0
IN_USE_RETRY_S = 0.05


def open_listener(address: Address, shared: bool) -> socket.socket:
    """Return a non-blocking socket that listens on the address; raises OSError on failure.

    `shared` lets another process listen on the same address (SO_REUSEPORT).
    """
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
    """Whether SIGTERM or SIGINT is pending; both are blocked during startup."""
    return bool({signal.SIGTERM, signal.SIGINT} & signal.sigpending())


def listen_when_free(listen: Callable[[], socket.socket], most_s: float = MAX_IN_USE_S) -> socket.socket:
    """Call `listen` until its address is free, and return the socket that it opened.

    Raises OSError if the address stays in use for more than `most_s` seconds or a termination signal arrives.
    Any other error of `listen` is raised at once.
    """
    end_s = monotonic_ms() / 1000.0 + most_s
    while True:
        try:
            return listen()
        except OSError as error:
            if error.errno != errno.EADDRINUSE or termination_pending() or monotonic_ms() / 1000.0 >= end_s:
                raise
        sleep_s(IN_USE_RETRY_S)
