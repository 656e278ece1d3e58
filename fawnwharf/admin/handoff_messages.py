"""The messages between a process and its successor in a hot restart, and their encoding. No I/O.

The socket between them keeps message boundaries. An attribute whose name differs from the recorded one keeps
that name on the wire by `name=`.
"""

import msgspec
from msgspec import field

VERSION = 1
MAX_CHUNK_BYTES = 60_000  # of one message; more goes in several chunks


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """Successor, first: which front end it is a new process of."""

    version: int
    listen: tuple[str, int]
    needs_extensions: bool = field(default=False, name="parts")  # those that only one process may have


class Rejected(msgspec.Struct, tag="no", frozen=True):
    """Predecessor: nothing is handed off."""

    reason: str = field(name="why")


class Chunk(msgspec.Struct, tag="part", frozen=True):
    """Predecessor: a chunk of the learned state, or of the unwritten bytes of the next connection."""

    data: bytes


class ListenerHandoff(msgspec.Struct, tag="door", frozen=True):
    """Predecessor: the learned state is complete. Carries the listener's descriptor."""


class Ready(msgspec.Struct, tag="ready", frozen=True):
    """Successor: it accepts from now on, and connections may come."""


class ConnectionHandoff(msgspec.Struct, tag="kept", frozen=True):
    """Predecessor: a client connection on which no request is open. Carries its descriptor."""

    partial: bytes = b""  # of a message that is not complete yet
    skip: int = 0  # bytes of an oversized message that are still to be discarded
    spoke: bool = True  # a complete message has come on it
    empty_ms: float | None = None  # when nothing was unread on it, by the monotonic clock that both share


class OperatorCommand(msgspec.Struct, tag="told", frozen=True):
    """Either way: an operator's command that applies to both processes."""

    path: str
    target: str = ""


class Done(msgspec.Struct, tag="done", frozen=True):
    """Predecessor: it ends and sends nothing more. Successor: it has received everything, and the same.

    Protects what is in transit: where one end of such a socket closes with unread messages, the next read of
    the other end fails, whatever was received before.
    """


Message = Hello | Rejected | Chunk | ListenerHandoff | Ready | ConnectionHandoff | OperatorCommand | Done

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """The bytes of a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message | None:
    """The message; None for bytes that are no message of this version."""
    try:
        message: Message = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return None
    return message


def chunks(data: bytes) -> list[Chunk]:
    """Data divided into chunks of a message each."""
    return [Chunk(data[start : start + MAX_CHUNK_BYTES]) for start in range(0, len(data), MAX_CHUNK_BYTES)]
