"""A client connection on its way from one process of a front end to the one that takes its place."""

import socket
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HandedOffConnection:
    """A connection on which no request is open, and all that its next owner has to know of it."""

    sock: socket.socket
    partial: bytes = b""  # of a message that is not whole yet
    skip: int = 0  # bytes of an oversized message that are still to be thrown away
    spoke: bool = True  # a whole message has come on it
    unwritten: bytes = b""
    empty_ms: float | None = None  # when nothing lay unread on it, by the monotonic clock, which both share
