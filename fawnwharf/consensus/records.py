"""The record format of files that outlive a process: length, checksum, number and JSON. No I/O.

A record that is cut short or has a flipped bit is not a whole record; what that means for a file is for its
reader to decide.
"""

import struct
import zlib
from collections.abc import Iterator

import msgspec
from msgspec import Struct

MAGIC = b"fwv1"
MAX_RECORD_BYTES = 32 * 1024 * 1024

_HEADER = struct.Struct(">4sIIQ")  # magic, length of the JSON, CRC-32 of number and JSON, number
HEADER_BYTES = _HEADER.size


class DiskError(Exception):
    """A folder can't be used; the text names the path and the reason."""


def checksum(number: int, data: bytes) -> int:
    """The CRC-32 of a record's number and JSON."""
    return zlib.crc32(data, zlib.crc32(number.to_bytes(8, "big")))


def encode_record(number: int, value: Struct) -> bytes:
    """The bytes of one record."""
    data = msgspec.json.encode(value)
    return _HEADER.pack(MAGIC, len(data), checksum(number, data), number) + data


def record_at(data: bytes, start: int) -> tuple[int, bytes, int] | None:
    """Number, JSON and end of the whole record at an offset; None where there is none."""
    if len(data) - start < HEADER_BYTES:
        return None
    magic, length, expected, number = _HEADER.unpack_from(data, start)
    end = start + HEADER_BYTES + length
    if magic != MAGIC or length > MAX_RECORD_BYTES or end > len(data):
        return None
    content = data[start + HEADER_BYTES : end]
    return (number, content, end) if checksum(number, content) == expected else None


def records_after(data: bytes, start: int) -> Iterator[tuple[int, bytes]]:
    """Number and JSON of each whole record that begins after an offset, whatever lies between them."""
    offset = data.find(MAGIC, start + 1)
    while offset >= 0:
        found = record_at(data, offset)
        if found is not None:
            yield found[:2]
        offset = data.find(MAGIC, offset + 1 if found is None else found[2])


def leading_records(data: bytes) -> tuple[list[tuple[int, bytes]], int]:
    """The whole records from the start of a file, and the offset where they end."""
    found: list[tuple[int, bytes]] = []
    end = 0
    while (record := record_at(data, end)) is not None:
        number, content, end = record
        found.append((number, content))
    return found, end


def scan_records(data: bytes) -> tuple[list[tuple[int, bytes]], int, bool]:
    """The leading whole records, their end, and whether a whole one after that shows damage before it."""
    found, end = leading_records(data)
    return found, end, next(records_after(data, end), None) is not None
