"""The messages between a process and its successor in a hot restart, and their encoding. No I/O.

The socket between them preserves message boundaries. `name=` is the encoded name of a field where it
differs from the attribute. Each docstring says which process sends the message.
"""

import msgspec
from msgspec import field

VERSION = 1  # of these messages; there is no hand-off between processes of different versions
MAX_CHUNK_BYTES = 60_000  # of data in one message; longer data is sent as several chunks


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """Successor, as its first message: requests the hand-off for the front end at the address `listen`.

    `needs_exclusive_extensions`: the successor will have extensions that only one process may hold, so the
    predecessor must release all of its own before it answers.
    """

    version: int
    listen: tuple[str, int]
    needs_exclusive_extensions: bool = field(default=False, name="parts")


class Rejected(msgspec.Struct, tag="no", frozen=True):
    """Predecessor: rejects the hand-off."""

    reason: str = field(name="why")


class Chunk(msgspec.Struct, tag="part", frozen=True):
    """Predecessor: a chunk of the learned state, of a connection's unwritten bytes, or of an answer.

    The last chunk is followed by the ListenerHandoff, ConnectionHandoff or ForwardedAnswer to which the data
    belongs.
    """

    data: bytes


class ListenerHandoff(msgspec.Struct, tag="door", frozen=True):
    """Predecessor: the learned state is complete. Carries the descriptor of the clients' listener."""


class AcceptsOpenCalls(msgspec.Struct, tag="accepts_open_calls", frozen=True):
    """Successor, before SuccessorReady: it accepts connections with open and with waiting calls.

    Sent only if the predecessor's state says that it hands off such connections: older versions end the
    channel at a message that they don't know.
    """


class SuccessorReady(msgspec.Struct, tag="ready", frozen=True):
    """Successor: it accepts connections. The predecessor stops accepting and hands off its connections."""


class WaitingCall(msgspec.Struct, tag="waiting_call", frozen=True):
    """Predecessor: a call that it has read and not run. The ConnectionHandoff that it belongs to follows.

    `seqid`, `fields` and `body` are those of the client's message. `received_ms` is when it arrived, on the
    monotonic clock, which both processes share.
    """

    seqid: int
    fields: dict[str, str]
    body: bytes
    received_ms: float


class OpenCalls(msgspec.Struct, tag="open_calls", frozen=True):
    """Predecessor: calls that it still runs. The ConnectionHandoff that they belong to follows.

    The predecessor watches their deadlines and forwards their answers; the successor watches for their
    withdrawal. `number` identifies the connection in ForwardedAnswer and ForwardedWithdrawal. `seqids` has
    the calls' sequence numbers.
    """

    number: int
    seqids: tuple[int, ...]


class ConnectionHandoff(msgspec.Struct, tag="kept", frozen=True):
    """Predecessor: a client connection. Carries its descriptor.

    - `partial`: the bytes received so far of an incomplete message from the client.
    - `skip`: number of further bytes of an oversized message, which the receiver must discard.
    - `has_sent`: whether the client has ever sent a complete message on the connection.
    - `empty_ms`: when the connection last had no unread bytes, on the monotonic clock, which both processes
      share; None if that is not known.
    - `highest_seqid`: the highest sequence number of a request on it; older processes don't tell it.
    """

    partial: bytes = b""
    skip: int = 0
    has_sent: bool = field(default=True, name="spoke")
    empty_ms: float | None = None
    highest_seqid: int | msgspec.UnsetType = msgspec.UNSET


class ForwardedAnswer(msgspec.Struct, tag="answer", frozen=True):
    """Predecessor: the answer of an open call is complete; the chunks before it have its encoded message."""

    number: int
    seqid: int


class ForwardedWithdrawal(msgspec.Struct, tag="withdrawal", frozen=True):
    """Successor: the client no longer waits for an open call that the predecessor runs."""

    number: int
    seqid: int


class OperatorCommand(msgspec.Struct, tag="told", frozen=True):
    """Either process: an admin command that applies to both.

    `path` is the path of the HTTP request, such as `/maintenance/enter`. `scorer_id` is "" for commands
    without a scorer.
    """

    path: str
    scorer_id: str = field(default="", name="target")


class HandoffComplete(msgspec.Struct, tag="done", frozen=True):
    """Predecessor: it has sent everything and is about to end. Successor: it has received everything.

    The successor sends nothing after it, the predecessor only commands. The predecessor ends only after the
    successor's answer: what it has not read would be lost otherwise.
    """


Message = (
    Hello
    | Rejected
    | Chunk
    | ListenerHandoff
    | AcceptsOpenCalls
    | SuccessorReady
    | WaitingCall
    | OpenCalls
    | ConnectionHandoff
    | ForwardedAnswer
    | ForwardedWithdrawal
    | OperatorCommand
    | HandoffComplete
)

# Messages that belong to the next message of another kind, and are of no use without it.
Part = Chunk | WaitingCall | OpenCalls

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encodes a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message | None:
    """Decodes a message; None if the bytes are not a valid message."""
    try:
        message: Message = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return None
    return message


def chunks(data: bytes) -> list[Chunk]:
    """Divides data into chunks of at most MAX_CHUNK_BYTES."""
    return [Chunk(data[start : start + MAX_CHUNK_BYTES]) for start in range(0, len(data), MAX_CHUNK_BYTES)]
