"""Thrift's framed transport and strict binary protocol, for the one service that clients call.

Decodes bytes to messages and encodes answers to bytes. No I/O.
"""

import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

MAX_FRAME_BYTES = 48 * 1024  # far more than a body of 16 KiB and its fields need
MAX_HEADER_BYTES = 256  # of an oversized frame; its sequence number is read from these
MAX_BODY_BYTES = 16 * 1024
MAX_NAME_LENGTH = 64  # bytes of a method's name
MAX_DEPTH = 16  # of nested values in a skipped field
MAX_MAP_ENTRIES = 64  # in a map of text fields
LENGTH_BYTES = 4  # the size of the length before each frame

VERSION = 0x80010000
VERSION_MASK = 0xFFFF0000

# Kinds of messages.
CALL = 1
REPLY = 2
EXCEPTION = 3
ONEWAY = 4

# Types of fields.
STOP = 0
BOOL = 2
BYTE = 3
DOUBLE = 4
I16 = 6
I32 = 8
I64 = 10
STRING = 11
STRUCT = 12
MAP = 13
SET = 14
LIST = 15
HANDLE_TYPES = {1: MAP, 2: STRING}  # of the arguments of `handle`, by number
WIDTHS = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}  # in bytes

# Kinds of application exceptions.
UNKNOWN_METHOD = 1
INVALID_TYPE = 2
PROTOCOL_ERROR = 7

_I16 = struct.Struct(">h")
_I32 = struct.Struct(">i")
_U32 = struct.Struct(">I")
_FIELD = struct.Struct(">bh")
_MAP = struct.Struct(">bbi")

# The values of a struct's fields, by field number and type.
_Fields = dict[tuple[int, int], Any]


class MalformedMessageError(ValueError):
    """A frame that is not a valid message; its text is sent to the client.

    `seqid`: the sequence number of the request, None if unknown; `kind`: the kind of the application
    exception that answers it; `cause`: the text without numbers, under which such errors are counted.
    """

    def __init__(
        self, text: str, seqid: int | None = None, kind: int = PROTOCOL_ERROR, cause: str = ""
    ) -> None:
        super().__init__(text)
        self.seqid = seqid
        self.kind = kind
        self.cause = cause or text


class TruncatedMessageError(MalformedMessageError):
    """A message that ends within its header."""


@dataclass(slots=True)
class Handle:
    """A call of the method `handle`: a request's text fields by name, and its body.

    `end_bytes` is where the message ends in the client's stream, counted from where its `FrameReader` began.
    """

    seqid: int
    fields: dict[str, str]
    body: bytes
    end_bytes: int = field(default=0, compare=False)


@dataclass(slots=True)
class Withdraw:
    """The withdrawal of a request; `seqid` is that request's sequence number."""

    seqid: int


@dataclass(slots=True)
class Status:
    """A readiness check."""

    seqid: int


Message = Handle | Withdraw | Status


class FrameReader:
    """Splits a received byte stream into frames; buffers at most one incomplete frame."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._skip = 0  # bytes of an oversized frame that are still to be discarded
        self.received_bytes = 0  # since the beginning, with those of a frame that was resumed

    @property
    def has_partial_frame(self) -> bool:
        """Whether the last frame is incomplete."""
        return bool(self._buffer or self._skip)

    @property
    def partial_bytes(self) -> int:
        """The number of buffered bytes of an incomplete frame."""
        return len(self._buffer)

    @property
    def is_skipping(self) -> bool:
        """Whether the rest of an oversized frame is still to be discarded."""
        return self._skip > 0

    def state(self) -> tuple[bytes, int]:
        """The bytes of an incomplete frame, and the number of bytes still to be discarded."""
        return bytes(self._buffer), self._skip

    def resume(self, partial: bytes, skip: int) -> None:
        """Continue from the state of another reader."""
        self._buffer = bytearray(partial)
        self._skip = skip
        self.received_bytes = len(partial)

    def feed(self, data: bytes) -> list[Message | MalformedMessageError]:
        """Add received bytes; return the messages that are complete now, and an error for each invalid one.

        After an error without a sequence number the stream is unusable, and the rest is not decoded.
        """
        self._buffer += data
        self.received_bytes += len(data)
        found: list[Message | MalformedMessageError] = []
        start = 0
        while True:
            start = self._discard(start)
            if len(self._buffer) - start < LENGTH_BYTES:
                break
            (size,) = _U32.unpack_from(self._buffer, start)
            first = start + LENGTH_BYTES
            if size > MAX_FRAME_BYTES:
                if (error := self._oversized(first, size)) is None:
                    break
                found.append(error)
                if error.seqid is None:
                    break
                self._skip = size
                start = first
                continue
            if len(self._buffer) - first < size:
                break
            message = _parse_message(bytes(self._buffer[first : first + size]))
            start = first + size
            if isinstance(message, Handle):
                message.end_bytes = self.received_bytes - (len(self._buffer) - start)
            found.append(message)
        del self._buffer[:start]
        return found

    def _discard(self, start: int) -> int:
        """Skip the rest of an oversized frame; return where the next frame begins."""
        step = min(self._skip, len(self._buffer) - start)
        self._skip -= step
        return start + step

    def _oversized(self, start: int, size: int) -> MalformedMessageError | None:
        """The error for an oversized frame; None until its sequence number has been received."""
        error = MalformedMessageError(f"a frame of {size} bytes", cause="a frame that is too long")
        if size < 2**31:
            try:
                error.seqid = _head(bytes(self._buffer[start : start + MAX_HEADER_BYTES]))[2]
            except TruncatedMessageError:
                return None
            except MalformedMessageError:
                pass
        return error


def _head(data: bytes) -> tuple[int, str, int, int]:
    """Return the kind, the method's name, the sequence number, and the position of the arguments.

    Raises TruncatedMessageError if the header is incomplete, MalformedMessageError if it is invalid.
    """
    try:
        (version,) = _U32.unpack_from(data, 0)
        if version & VERSION_MASK != VERSION:
            raise MalformedMessageError("not the strict binary protocol")
        (length,) = _I32.unpack_from(data, 4)
        if not 0 <= length <= MAX_NAME_LENGTH:
            raise MalformedMessageError("the name has no sensible length")
        name = data[8 : 8 + length].decode("ascii", "replace")
        (seqid,) = _I32.unpack_from(data, 8 + length)
    except struct.error:
        raise TruncatedMessageError("the message is cut short") from None
    return version & 0xFF, name, seqid, 12 + length


def _parse_message(data: bytes) -> Message | MalformedMessageError:
    seqid: int | None = None
    try:
        kind, name, seqid, start = _head(data)
        reader = _PARSERS.get(name)
        if reader is None:
            return MalformedMessageError("no such method", seqid, UNKNOWN_METHOD)
        if kind not in (CALL, ONEWAY):
            return MalformedMessageError("not a call", seqid, INVALID_TYPE)
        return reader(seqid, _ArgumentReader(data, start).read())
    except MalformedMessageError as error:
        error.seqid = seqid
        return error
    except (struct.error, UnicodeDecodeError, IndexError):
        return MalformedMessageError("the arguments can't be read", seqid)


class _ArgumentReader:
    """Decodes the fields of a struct; unused fields are checked and skipped."""

    def __init__(self, data: bytes, start: int) -> None:
        self._data = data
        self._position = start

    def read(self) -> _Fields:
        """Return all fields; raises MalformedMessageError, struct.error or IndexError for invalid bytes."""
        found: _Fields = {}
        while (kind := self._read_byte()) != STOP:
            (number,) = _I16.unpack_from(self._data, self._position)
            self._position += 2
            found[number, kind] = self._read_value(kind, 0)
        if self._position != len(self._data):
            raise MalformedMessageError("bytes follow the arguments")
        return found

    def _read_byte(self) -> int:
        self._position += 1
        return self._data[self._position - 1]

    def _read_i32(self) -> int:
        value: int = _I32.unpack_from(self._data, self._position)[0]
        self._position += 4
        return value

    def _read_count(self, min_width: int) -> int:
        """A number of elements; rejected if the rest of the frame is too short for them."""
        count = self._read_i32()
        if not 0 <= count <= (len(self._data) - self._position) // max(1, min_width):
            raise MalformedMessageError("a length that the frame can't hold")
        return count

    def _read_string(self) -> bytes:
        length = self._read_count(1)
        self._position += length
        return self._data[self._position - length : self._position]

    def _read_value(self, kind: int, depth: int) -> object:
        if depth > MAX_DEPTH:
            raise MalformedMessageError("values nested too deep")
        if kind == STRING:
            return self._read_string()
        if kind == I32:
            return self._read_i32()
        if kind == MAP:
            return self._read_map(depth)
        if kind in WIDTHS:
            self._position += WIDTHS[kind]
            return self._data[self._position - 1]
        if kind in (LIST, SET):
            inner = self._read_byte()
            for _ in range(self._read_count(1)):
                self._read_value(inner, depth + 1)
            return None
        if kind == STRUCT:
            while (inner := self._read_byte()) != STOP:
                self._position += 2
                self._read_value(inner, depth + 1)
            return None
        raise MalformedMessageError("an unknown type of field")

    def _read_map(self, depth: int) -> dict[bytes, object]:
        """Decode a map; returns the entries whose keys are strings."""
        key_kind = self._read_byte()
        value_kind = self._read_byte()
        count = self._read_count(2)
        if count > MAX_MAP_ENTRIES:
            raise MalformedMessageError("too many fields")
        found: dict[bytes, object] = {}
        for _ in range(count):
            name = self._read_value(key_kind, depth + 1)
            item = self._read_value(value_kind, depth + 1)
            if isinstance(name, bytes):
                found[name] = item
        return found


def _check_types(arguments: _Fields, types: dict[int, int]) -> None:
    """Raise MalformedMessageError if an argument has another type than the service gives it, by number."""
    for number, kind in arguments:
        if types.get(number, kind) != kind:
            raise MalformedMessageError(
                f"argument {number} has another type", cause="an argument of another type"
            )


def _parse_handle(seqid: int, arguments: _Fields) -> Handle:
    _check_types(arguments, HANDLE_TYPES)
    fields = arguments.get((1, MAP))
    body: bytes = arguments.get((2, STRING), b"")
    if not isinstance(fields, dict):
        raise MalformedMessageError("no fields")
    if len(body) > MAX_BODY_BYTES:
        raise MalformedMessageError("the body is too large")
    texts = {name.decode(): value.decode() for name, value in fields.items() if isinstance(value, bytes)}
    return Handle(seqid, texts, body)


def _parse_withdraw(_seqid: int, arguments: _Fields) -> Withdraw:
    target = arguments.get((1, I32))
    if not isinstance(target, int):
        raise MalformedMessageError("no sequence number to withdraw")
    return Withdraw(target)


def _parse_status(seqid: int, _arguments: _Fields) -> Status:
    return Status(seqid)


_PARSERS: dict[str, Callable[[int, _Fields], Message]] = {
    "handle": _parse_handle,
    "withdraw": _parse_withdraw,
    "status": _parse_status,
}


# --- answers --------------------------------------------------------------------------------


def _text(data: bytes) -> bytes:
    return _U32.pack(len(data)) + data


def _fields(fields: dict[str, str]) -> bytes:
    pairs = b"".join(_text(name.encode()) + _text(value.encode()) for name, value in fields.items())
    return _MAP.pack(STRING, STRING, len(fields)) + pairs


def _frame(kind: int, name: bytes, seqid: int, payload: bytes) -> bytes:
    message = _U32.pack(VERSION | kind) + _text(name) + _I32.pack(seqid) + payload
    return _U32.pack(len(message)) + message


def answer(name: str, seqid: int, body: bytes, fields: dict[str, str], good: bool) -> bytes:
    """Encode a normal answer of the method `name`; `good`: the flag for success or readiness."""
    inner = _FIELD.pack(STRING, 1) + _text(body) + _FIELD.pack(MAP, 2) + _fields(fields)
    inner += _FIELD.pack(BOOL, 3) + bytes((good, STOP))
    return _frame(REPLY, name.encode(), seqid, _FIELD.pack(STRUCT, 0) + inner + bytes((STOP,)))


def _encode_exception(number: int, seqid: int, fields: dict[str, str]) -> bytes:
    inner = _FIELD.pack(MAP, 1) + _fields(fields) + bytes((STOP,))
    return _frame(REPLY, b"handle", seqid, _FIELD.pack(STRUCT, number) + inner + bytes((STOP,)))


def throttled(seqid: int, fields: dict[str, str]) -> bytes:
    """Encode the declared exception for a rejected request, with its fields."""
    return _encode_exception(1, seqid, fields)


def broken(seqid: int, fields: dict[str, str]) -> bytes:
    """Encode the declared exception for a failed request, with its fields."""
    return _encode_exception(2, seqid, fields)


def application_exception(seqid: int, text: str, kind: int) -> bytes:
    """Encode the answer to a malformed message; `kind`: one of the kinds of application exceptions."""
    inner = _FIELD.pack(STRING, 1) + _text(text.encode()) + _FIELD.pack(I32, 2) + _I32.pack(kind)
    return _frame(EXCEPTION, b"handle", seqid, inner + bytes((STOP,)))
