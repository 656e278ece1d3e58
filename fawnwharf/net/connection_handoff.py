"""A client connection that is handed off from one process of a front end to its replacement."""

import socket
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReceivedCall:
    """A call that was read from a client connection, and that no process has run yet.

    `seqid`, `fields` and `body` are those of the message. `received_ms` is when its bytes arrived, on the
    monotonic clock, which all processes of a machine share.
    """

    seqid: int
    fields: dict[str, str]
    body: bytes
    received_ms: float


@dataclass(frozen=True, slots=True)
class HandedOffConnection:
    """A connection, and the state that the receiving process needs to continue it.

    `partial` has the bytes received so far of an incomplete message. `skip` is how many bytes of an oversized
    message are still to be discarded. `has_sent` says whether the client has sent a complete message.
    `unwritten` has the bytes of answers that were not written yet. `empty_ms` is when the receive buffer was
    last known to be empty, on the monotonic clock, which both processes share; None if that is not known.
    `waiting_calls` are to be run by the receiving process. `remote_calls` has the sequence numbers of the
    calls that the sending process still runs; it forwards their answers. `highest_seqid` is the highest
    sequence number that a request has used; 0 if that is not known.
    """

    sock: socket.socket
    partial: bytes = b""
    skip: int = 0
    has_sent: bool = True
    unwritten: bytes = b""
    empty_ms: float | None = None
    waiting_calls: tuple[ReceivedCall, ...] = ()
    remote_calls: tuple[int, ...] = ()
    highest_seqid: int = 0
