"""A client connection that is handed off from one process of a front end to its replacement."""

import socket
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HandedOffConnection:
    """A connection without open requests, and the state that the receiving process needs to continue it.

    `partial` has the bytes received so far of an incomplete message. `skip` is how many bytes of an oversized
    message are still to be discarded. `has_sent` says whether the client has sent a complete message.
    `unwritten` has the bytes of answers that were not written yet. `empty_ms` is when the receive buffer was
    last known to be empty, on the monotonic clock, which both processes share; None if that is not known.
    """

    sock: socket.socket
    partial: bytes = b""
    skip: int = 0
    has_sent: bool = True
    unwritten: bytes = b""
    empty_ms: float | None = None
