"""Thrift's framed transport and strict binary protocol, for the one service that clients call.

Pure: bytes in, messages out, and back. Nothing here knows of sockets, time or decisions.
"""

import struct
from dataclasses import dataclass

MAX_FRAME_BYTES = 48 * 1024  # a body of 16 KiB and its fields take far less
MAX_HEADER_BYTES = 256  # bytes kept of an oversized frame, to read its sequence number from
MAX_BODY_BYTES = 16 * 1024
MAX_NAME_LENGTH = 64
MAX_DEPTH = 16  # of nested values in a field that is passed over
MAX_MAP_ENTRIES = 64  # in a map of fields

VERSION = 0x80010000
CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4
STOP, BOOL, BYTE, DOUBLE, I16, I32, I64 = 0, 2, 3, 4, 6, 8, 10
STRING, STRUCT, MAP, SET, LIST = 11, 12, 13, 14, 15
WIDTHS = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}
UNKNOWN_METHOD, INVALID_TYPE, PROTOCOL_ERROR = 1, 2, 7

_I32 = struct.Struct(">i")
_U32 = struct.Struct(">I")
_FIELD = struct.Struct(">bh")
_MAP = struct.Struct(">bbi")


class MalformedMessageError(ValueError):
    """A frame that is no valid message; `seqid` is None where it can't be told what it answers to."""

    def __init__(self, text: str, seqid: int | None = None, kind: int = PROTOCOL_ERROR) -> None:
        super().__init__(text)
        self.seqid, self.kind = seqid, kind


class TruncatedMessageError(MalformedMessageError):
    """A message that ends within its head."""


@dataclass(slots=True)
class Handle:
    seqid: int
    fields: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Withdraw:
    seqid: int  # of the request that is withdrawn


@dataclass(slots=True)
class Status:
    seqid: int


Message = Handle | Withdraw | Status


class FrameReader:
    """Splits a stream into frames; keeps at most one frame that is not whole yet."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._skip = 0  # bytes of an oversized frame still to be thrown away

    @property
    def waits(self) -> bool:
        """Whether a message has begun and is not whole yet."""
        return bool(self._buffer or self._skip)

    @property
    def skips(self) -> bool:
        return self._skip > 0

    def state(self) -> tuple[bytes, int]:
        """What is kept of a message that is not whole yet, and how many bytes are still to be thrown away."""
        return bytes(self._buffer), self._skip

    def resume(self, partial: bytes, skip: int) -> None:
        """Go on from another reader's state."""
        self._buffer, self._skip = bytearray(partial), skip

    def feed(self, data: bytes) -> list[Message | MalformedMessageError]:
        self._buffer += data
        found: list[Message | MalformedMessageError] = []
        start = 0
        while True:
            start = self._pass_over(start)
            if len(self._buffer) - start < 4:
                break
            (size,) = _U32.unpack_from(self._buffer, start)
            if size > MAX_FRAME_BYTES:
                if (fault := self._oversized(start + 4, size)) is None:
                    break
                found.append(fault)
                if found[-1].seqid is None:
                    break  # the connection is of no use any more
                self._skip, start = size, start + 4
                continue
            if len(self._buffer) - start - 4 < size:
                break
            found.append(_message(bytes(self._buffer[start + 4 : start + 4 + size])))
            start += 4 + size
        del self._buffer[:start]
        return found

    def _pass_over(self, start: int) -> int:
        step = min(self._skip, len(self._buffer) - start)
        self._skip -= step
        return start + step

    def _oversized(self, start: int, size: int) -> MalformedMessageError | None:
        """What it answers to, once enough of it has come to tell; None until then."""
        fault = MalformedMessageError(f"a frame of {size} bytes")
        if size < 2**31:
            try:
                fault.seqid = _head(bytes(self._buffer[start : start + MAX_HEADER_BYTES]))[2]
            except TruncatedMessageError:
                return None
            except MalformedMessageError:
                pass
        return fault


def _head(data: bytes) -> tuple[int, str, int, int]:
    """Kind, name, sequence number and where the arguments begin."""
    try:
        (version,) = _U32.unpack_from(data, 0)
        if version & 0xFFFF0000 != VERSION:
            raise MalformedMessageError("not the strict binary protocol")
        (length,) = _I32.unpack_from(data, 4)
        if not 0 <= length <= MAX_NAME_LENGTH:
            raise MalformedMessageError("the name has no sensible length")
        name = data[8 : 8 + length].decode("ascii", "replace")
        (seqid,) = _I32.unpack_from(data, 8 + length)
    except struct.error:
        raise TruncatedMessageError("the message is cut short") from None
    return version & 0xFF, name, seqid, 12 + length


def _message(data: bytes) -> Message | MalformedMessageError:
    seqid = None
    try:
        kind, name, seqid, start = _head(data)
        reader = _READERS.get(name)
        if reader is None:
            return MalformedMessageError("no such method", seqid, UNKNOWN_METHOD)
        if kind not in (CALL, ONEWAY):
            return MalformedMessageError("not a call", seqid, INVALID_TYPE)
        return reader(seqid, _Arguments(data, start).read())
    except MalformedMessageError as error:
        error.seqid = seqid
        return error
    except (struct.error, UnicodeDecodeError, IndexError):
        return MalformedMessageError("the arguments can't be read", seqid)


class _Arguments:
    """Reads a struct's fields; those that the service does not use are checked and passed over."""

    def __init__(self, data: bytes, at: int) -> None:
        self.data, self.at = data, at

    def read(self) -> dict[tuple[int, int], object]:
        found: dict[tuple[int, int], object] = {}
        while (kind := self._byte()) != STOP:
            (number,) = struct.unpack_from(">h", self.data, self.at)
            self.at += 2
            found[number, kind] = self._value(kind, 0)
        if self.at != len(self.data):
            raise MalformedMessageError("bytes follow the arguments")
        return found

    def _byte(self) -> int:
        self.at += 1
        return self.data[self.at - 1]

    def _int(self) -> int:
        (value,) = _I32.unpack_from(self.data, self.at)
        self.at += 4
        return value

    def _count(self, least_width: int) -> int:
        """A number of elements; one that the rest of the frame can't hold is refused before any work."""
        count = self._int()
        if not 0 <= count <= (len(self.data) - self.at) // max(1, least_width):
            raise MalformedMessageError("a length that the frame can't hold")
        return count

    def _string(self) -> bytes:
        length = self._count(1)
        self.at += length
        return self.data[self.at - length : self.at]

    def _value(self, kind: int, depth: int) -> object:
        if depth > MAX_DEPTH:
            raise MalformedMessageError("values nested too deep")
        if kind == STRING:
            return self._string()
        if kind == I32:
            return self._int()
        if kind == MAP:
            return self._map(depth)
        if kind in WIDTHS:
            self.at += WIDTHS[kind]
            return self.data[self.at - 1]
        if kind in (LIST, SET):
            inner = self._byte()
            for _ in range(self._count(1)):
                self._value(inner, depth + 1)
            return None
        if kind == STRUCT:
            while (inner := self._byte()) != STOP:
                self.at += 2
                self._value(inner, depth + 1)
            return None
        raise MalformedMessageError("an unknown type of field")

    def _map(self, depth: int) -> dict[object, object]:
        key, value = self._byte(), self._byte()
        count = self._count(2)
        if count > MAX_MAP_ENTRIES:
            raise MalformedMessageError("too many fields")
        found = {}
        for _ in range(count):
            name = self._value(key, depth + 1)
            item = self._value(value, depth + 1)
            if isinstance(name, bytes):
                found[name] = item
        return found


def _handle(seqid: int, arguments: dict[tuple[int, int], object]) -> Handle:
    fields, body = arguments.get((1, MAP)), arguments.get((2, STRING), b"")
    if not isinstance(fields, dict):
        raise MalformedMessageError("no fields")
    if len(body) > MAX_BODY_BYTES:
        raise MalformedMessageError("the body is too large")
    texts = {name.decode(): value.decode() for name, value in fields.items() if isinstance(value, bytes)}
    return Handle(seqid, texts, body)


def _withdraw(seqid: int, arguments: dict[tuple[int, int], object]) -> Withdraw:
    target = arguments.get((1, I32))
    if not isinstance(target, int):
        raise MalformedMessageError("no sequence number to withdraw")
    return Withdraw(target)


def _status(seqid: int, arguments: dict[tuple[int, int], object]) -> Status:
    return Status(seqid)


_READERS = {"handle": _handle, "withdraw": _withdraw, "status": _status}


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
    inner = _FIELD.pack(STRING, 1) + _text(body) + _FIELD.pack(MAP, 2) + _fields(fields)
    inner += _FIELD.pack(BOOL, 3) + bytes((good, STOP))
    return _frame(REPLY, name.encode(), seqid, _FIELD.pack(STRUCT, 0) + inner + bytes((STOP,)))


def _thrown(number: int, seqid: int, fields: dict[str, str]) -> bytes:
    inner = _FIELD.pack(MAP, 1) + _fields(fields) + bytes((STOP,))
    return _frame(REPLY, b"handle", seqid, _FIELD.pack(STRUCT, number) + inner + bytes((STOP,)))


def throttled(seqid: int, fields: dict[str, str]) -> bytes:
    return _thrown(1, seqid, fields)


def broken(seqid: int, fields: dict[str, str]) -> bytes:
    return _thrown(2, seqid, fields)


def application_exception(seqid: int, text: str, kind: int) -> bytes:
    inner = _FIELD.pack(STRING, 1) + _text(text.encode()) + _FIELD.pack(I32, 2) + _I32.pack(kind)
    return _frame(EXCEPTION, b"handle", seqid, inner + bytes((STOP,)))
