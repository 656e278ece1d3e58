"""The listening socket that clients connect to."""

import socket

from fawnwharf.config import Address
from fawnwharf.net.connection import stamp_reads

BACKLOG = 1024


def listening(address: Address, shared: bool) -> socket.socket:
    """A socket that listens there. `shared`: another process may listen on the same address."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        stamp_reads(listener)
        listener.bind(address)
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener
