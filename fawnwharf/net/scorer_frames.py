"""Encoding and decoding of the binary frames between front ends and scorers. Does no I/O."""

import struct
import zlib
from dataclasses import dataclass

# Direction of a frame, its first byte.
FROM_FRONT_END, FROM_SCORER = 128, 129
# Codes of requests.
RUN, ABANDON, LOAD, UNLOAD = 1, 2, 5, 7
# Codes of answers.
OK, MISS, FULL, ERROR, EXPIRED = 0, 2, 3, 4, 5
# Far above any body that a client may receive; a frame with a longer body is malformed.
MAX_BODY_BYTES = 256 * 1024

APPROXIMATE_HEADER_BYTES = 100  # header and text fields of a frame, without the token
KEY_BYTES = 8  # length of a request's id and of a function's key

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
    """Encode a frame; `fields`: text as `name=value,name=value`; `request_id`: 8 bytes."""
    data = fields.encode()
    checksum = zlib.crc32(body, zlib.crc32(data))
    header = _HEADER.pack(direction, code, len(data), len(body), request_id)
    return header + data + body + _CHECKSUM.pack(checksum)


def parse_fields(data: bytes) -> dict[str, str]:
    """Parse `name=value,name=value`; ignores parts without a name or an equals sign."""
    parts = (part.partition("=") for part in data.decode("utf-8", "replace").split(",") if part)
    return {name: value for name, sign, value in parts if sign and name}


def run(request_id: bytes, kind: str, function: str, wait_ms: float, token: str, body: bytes) -> bytes:
    """Encode the frame that runs a request.

    `kind`: the name of the request's class; `wait_ms`: the time until the deadline, sent as an integer of at
    least 1; `token`: the idempotency key, empty if there is none.
    """
    fields = f"kind={kind},obj={function},ms={max(1, int(wait_ms))}"
    return encode(RUN, request_id, f"{fields},token={token}" if token else fields, body)


def abandon(request_id: bytes) -> bytes:
    """Encode the frame that cancels a request."""
    return encode(ABANDON, request_id)


def load(request_id: bytes, function: str, copies: int) -> bytes:
    """Encode the frame that orders copies of a function; with `copies` 0, it queries their number."""
    return encode(LOAD, request_id, f"obj={function},slots_up={copies}")


def unload(function: str) -> bytes:
    """Encode the frame that unloads a function's idle copies; the scorer sends no answer to it.

    Its id field contains the function's key. Raises ValueError for a key that is not 16 hex digits.
    """
    key = bytes.fromhex(function)
    if len(key) != KEY_BYTES:
        raise ValueError(f"function key is not {KEY_BYTES} bytes in hex: {function[:40]!r}")
    return encode(UNLOAD, key)


class FrameReader:
    """Splits a received byte stream into frames; buffers at most one incomplete frame."""

    def __init__(self, direction: int = FROM_SCORER) -> None:
        self._buffer = bytearray()
        self._direction = direction
        self.fault = ""  # describes a malformed frame; nothing after that can be decoded

    @property
    def has_partial_frame(self) -> bool:
        """Whether the last frame is incomplete."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes; return the frames that are complete now, up to the first malformed one."""
        self._buffer += data
        frames: list[Frame] = []
        start = 0
        while len(self._buffer) - start >= _HEADER.size:
            direction, code, fields_bytes, body_bytes, request_id = _HEADER.unpack_from(self._buffer, start)
            if direction != self._direction or body_bytes > MAX_BODY_BYTES:
                self.fault = f"direction {direction}, body of {body_bytes} bytes"
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
