"""The binary frames between front ends and scorers. Pure: bytes in, frames out, and back."""

import struct
import zlib
from dataclasses import dataclass

FROM_FRONT_END, FROM_SCORER = 128, 129
RUN, ABANDON, LOAD, UNLOAD = 1, 2, 5, 7
OK, MISS, FULL, ERROR, EXPIRED = 0, 2, 3, 4, 5
MAX_BODY_BYTES = 256 * 1024  # far over any body that a client may be passed; a length beyond it is no frame

APPROXIMATE_HEADER_BYTES = 100  # bytes of a frame without its token and its body

_HEADER = struct.Struct(">BBHI8s")
_CHECK = struct.Struct(">I")


@dataclass(slots=True)
class Frame:
    code: int
    id: bytes
    fields: dict[str, str]
    body: bytes


def encode(code: int, id: bytes, fields: str = "", body: bytes = b"", mark: int = FROM_FRONT_END) -> bytes:
    data = fields.encode()
    check = zlib.crc32(body, zlib.crc32(data))
    return _HEADER.pack(mark, code, len(data), len(body), id) + data + body + _CHECK.pack(check)


def fields_from(data: bytes) -> dict[str, str]:
    """`name=value,name=value`; a part without a name or a sign says nothing and is passed over."""
    parts = (part.partition("=") for part in data.decode("utf-8", "replace").split(",") if part)
    return {name: value for name, sign, value in parts if sign and name}


def run(id: bytes, kind: str, function: str, wait_ms: float, token: str, body: bytes) -> bytes:
    fields = f"kind={kind},obj={function},ms={max(1, int(wait_ms))}"
    return encode(RUN, id, f"{fields},token={token}" if token else fields, body)


def abandon(id: bytes) -> bytes:
    return encode(ABANDON, id)


def load(id: bytes, function: str, copies: int) -> bytes:
    return encode(LOAD, id, f"obj={function},slots_up={copies}")


def unload(function: str) -> bytes:
    """The function's idle copies are to go; no answer. Its key stands as the id: 16 hex digits, else
    ValueError."""
    id = bytes.fromhex(function)
    if len(id) != 8:
        raise ValueError(f"not a function's key: {function[:40]!r}")
    return encode(UNLOAD, id)


class FrameReader:
    """Splits a scorer's stream into frames; keeps at most one that is not whole yet."""

    def __init__(self, mark: int = FROM_SCORER) -> None:
        self._buffer = bytearray()
        self._mark = mark
        self.fault = ""  # set once bytes came that are no frame: nothing after them can be read

    @property
    def waits(self) -> bool:
        """Whether a frame has begun and is not whole yet."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Frame]:
        """The frames that are now whole, up to a fault."""
        self._buffer += data
        found: list[Frame] = []
        start = 0
        while len(self._buffer) - start >= _HEADER.size:
            mark, code, fields, body, id = _HEADER.unpack_from(self._buffer, start)
            if mark != self._mark or body > MAX_BODY_BYTES:
                self.fault = f"mark {mark}, body of {body} bytes"
                break
            end = start + _HEADER.size + fields + body
            if len(self._buffer) < end + _CHECK.size:
                break
            content = bytes(self._buffer[start + _HEADER.size : end])
            if zlib.crc32(content) != _CHECK.unpack_from(self._buffer, end)[0]:
                self.fault = "the check does not fit"
                break
            found.append(Frame(code, id, fields_from(content[:fields]), content[fields:]))
            start = end + _CHECK.size
        del self._buffer[:start]
        return found
