"""The messages between a process and its successor in a hot restart, and their encoding. No I/O.

The socket between them keeps message boundaries. An attribute whose name differs from the recorded one keeps
that name on the wire by `name=`.
"""

import msgspec
from msgspec import field

VERSION = 1  # of these messages; processes of different versions hand nothing off
MAX_CHUNK_BYTES = 60_000  # of data in one message; more goes in several chunks


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """Successor, first: which front end it is a new process of.

    `needs_exclusive_extensions`: it will have extensions that only one process may hold, so the predecessor
    must release all of its own before it answers.
    """

    version: int
    listen: tuple[str, int]
    needs_exclusive_extensions: bool = field(default=False, name="parts")


class Rejected(msgspec.Struct, tag="no", frozen=True):
    """Predecessor: nothing is handed off."""

    reason: str = field(name="why")


class Chunk(msgspec.Struct, tag="part", frozen=True):
    """Predecessor: a chunk of the encoded learned state, or of the unwritten bytes of the next connection.

    The last one of a sequence is followed by a ListenerHandoff or a ConnectionHandoff.
    """

    data: bytes


class ListenerHandoff(msgspec.Struct, tag="door", frozen=True):
    """Predecessor: the learned state is complete. Carries the descriptor of the clients' listener."""


class SuccessorReady(msgspec.Struct, tag="ready", frozen=True):
    """Successor: it accepts from now on. The predecessor stops accepting and hands its connections off."""


class ConnectionHandoff(msgspec.Struct, tag="kept", frozen=True):
    """Predecessor: a client connection on which no request is open. Carries its descriptor.

    - `partial`: the bytes read of a message from the client that is not complete yet.
    - `skip`: number of bytes of an oversized message that are still to come and to be discarded.
    - `spoke`: whether the client has ever sent a complete message on it.
    - `empty_ms`: a time on the monotonic clock, which both processes share: when it last had no unread bytes;
      None if that is not known.
    """

    partial: bytes = b""
    skip: int = 0
    spoke: bool = True
    empty_ms: float | None = None


class OperatorCommand(msgspec.Struct, tag="told", frozen=True):
    """Either way: an operator's command that applies to both processes.

    `path` is that of the HTTP request, such as `/maintenance/enter`. `scorer_id` is "" for commands without a
    scorer.
    """

    path: str
    scorer_id: str = field(default="", name="target")


class HandoffComplete(msgspec.Struct, tag="done", frozen=True):
    """Predecessor: it ends and sends nothing more. Successor: it has received everything, and the same.

    Protects what is in transit: where one end of such a socket closes with unread messages, the next read of
    the other end fails, whatever was received before.
    """


Message = (
    Hello
    | Rejected
    | Chunk
    | ListenerHandoff
    | SuccessorReady
    | ConnectionHandoff
    | OperatorCommand
    | HandoffComplete
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """The bytes of a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message | None:
    """The message; None for bytes that are no valid message."""
    try:
        message: Message = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return None
    return message


def chunks(data: bytes) -> list[Chunk]:
    """Data divided into chunks of a message each."""
    return [Chunk(data[start : start + MAX_CHUNK_BYTES]) for start in range(0, len(data), MAX_CHUNK_BYTES)]
