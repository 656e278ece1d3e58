"""The binary frames between front ends and scorers: encoding and decoding, without any input or output."""

import struct
import zlib
from dataclasses import dataclass

FROM_FRONT_END, FROM_SCORER = 128, 129  # the first byte of a frame: its direction
RUN, ABANDON, LOAD, UNLOAD = 1, 2, 5, 7  # codes of requests
OK, MISS, FULL, ERROR, EXPIRED = 0, 2, 3, 4, 5  # codes of answers
MAX_BODY_BYTES = 256 * 1024  # far above any body that a client may receive; a longer one is malformed

APPROXIMATE_HEADER_BYTES = 100  # bytes of a frame without its token and its body
KEY_BYTES = 8  # of a request's id and of a function's key

_HEADER = struct.Struct(">BBHI8s")
_CHECKSUM = struct.Struct(">I")


@dataclass(slots=True)
class Frame:
    """A decoded frame: its code, the id of the request, the text fields and the body."""

    code: int
    id: bytes
    fields: dict[str, str]
    body: bytes


def encode(
    code: int, request_id: bytes, fields: str = "", body: bytes = b"", direction: int = FROM_FRONT_END
) -> bytes:
    """The bytes of a frame; `fields` as `name=value,name=value`, `request_id` of 8 bytes."""
    data = fields.encode()
    checksum = zlib.crc32(body, zlib.crc32(data))
    header = _HEADER.pack(direction, code, len(data), len(body), request_id)
    return header + data + body + _CHECKSUM.pack(checksum)


def parse_fields(data: bytes) -> dict[str, str]:
    """Parse `name=value,name=value`; a part without a name or an equals sign is ignored."""
    parts = (part.partition("=") for part in data.decode("utf-8", "replace").split(",") if part)
    return {name: value for name, sign, value in parts if sign and name}


def run(request_id: bytes, kind: str, function: str, wait_ms: float, token: str, body: bytes) -> bytes:
    """The frame that runs a request.

    `kind`: the class's name; `wait_ms`: the remaining time in milliseconds, sent as a whole number of at
    least 1; `token`: the idempotency key, empty where there is none.
    """
    fields = f"kind={kind},obj={function},ms={max(1, int(wait_ms))}"
    return encode(RUN, request_id, f"{fields},token={token}" if token else fields, body)


def abandon(request_id: bytes) -> bytes:
    """The frame that cancels a request."""
    return encode(ABANDON, request_id)


def load(request_id: bytes, function: str, copies: int) -> bytes:
    """The frame that orders copies of a function to be loaded; with none, it queries how many there are."""
    return encode(LOAD, request_id, f"obj={function},slots_up={copies}")


def unload(function: str) -> bytes:
    """The frame that unloads a function's idle copies; it gets no answer.

    The function's key stands in place of the request's id. Raises ValueError for a key that is not 16 hex
    digits.
    """
    key = bytes.fromhex(function)
    if len(key) != KEY_BYTES:
        raise ValueError(f"not a function's key: {function[:40]!r}")
    return encode(UNLOAD, key)


class FrameReader:
    """Splits a received byte stream into frames; buffers at most one incomplete frame."""

    def __init__(self, direction: int = FROM_SCORER) -> None:
        self._buffer = bytearray()
        self._direction = direction
        self.fault = ""  # what was malformed; nothing after it can be decoded

    @property
    def has_partial_frame(self) -> bool:
        """Whether a frame has begun and is not complete yet."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes and return the frames that are now complete, up to a malformed one."""
        self._buffer += data
        frames: list[Frame] = []
        start = 0
        while len(self._buffer) - start >= _HEADER.size:
            direction, code, fields_bytes, body_bytes, request_id = _HEADER.unpack_from(self._buffer, start)
            if direction != self._direction or body_bytes > MAX_BODY_BYTES:
                self.fault = f"mark {direction}, body of {body_bytes} bytes"
                break
            end = start + _HEADER.size + fields_bytes + body_bytes
            if len(self._buffer) < end + _CHECKSUM.size:
                break
            content = bytes(self._buffer[start + _HEADER.size : end])
            if zlib.crc32(content) != _CHECKSUM.unpack_from(self._buffer, end)[0]:
                self.fault = "wrong checksum"
                break
            fields = parse_fields(content[:fields_bytes])
            frames.append(Frame(code, request_id, fields, content[fields_bytes:]))
            start = end + _CHECKSUM.size
        del self._buffer[:start]
        return frames
