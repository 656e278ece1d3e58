"""The records of files that outlive a process: appended, checked, numbered. Pure.

A record is a length, a CRC-32 of what follows, a number, and JSON. What is cut short or flipped is no whole
record; what that means for a file is its reader's to say.
"""

import struct
import zlib
from collections.abc import Iterator

import msgspec
from msgspec import Struct

MAGIC = b"fwv1"
MAX_RECORD_BYTES = 32 * 1024 * 1024

_HEAD = struct.Struct(">4sIIQ")  # magic, length of the JSON, CRC-32 of number and JSON, number
HEADER_BYTES = _HEAD.size


class DiskError(Exception):
    """The folder can't be used; the text names the path and why."""


def checksum(number: int, data: bytes) -> int:
    return zlib.crc32(data, zlib.crc32(number.to_bytes(8, "big")))


def encode_record(number: int, value: Struct) -> bytes:
    data = msgspec.json.encode(value)
    return _HEAD.pack(MAGIC, len(data), checksum(number, data), number) + data


def record_at(data: bytes, at: int) -> tuple[int, bytes, int] | None:
    """Number, JSON and end of the whole record at a place; None where there is none."""
    if len(data) - at < _HEAD.size:
        return None
    magic, length, check, number = _HEAD.unpack_from(data, at)
    end = at + _HEAD.size + length
    if magic != MAGIC or length > MAX_RECORD_BYTES or end > len(data):
        return None
    content = data[at + _HEAD.size : end]
    return (number, content, end) if checksum(number, content) == check else None


def records_after(data: bytes, at: int) -> Iterator[tuple[int, bytes]]:
    """Number and JSON of each whole record that begins after a place, whatever lies between them."""
    place = data.find(MAGIC, at + 1)
    while place >= 0:
        found = record_at(data, place)
        if found is not None:
            yield found[:2]
        place = data.find(MAGIC, place + 1 if found is None else found[2])


def leading_records(data: bytes) -> tuple[list[tuple[int, bytes]], int]:
    """The whole records from the start, and where they end."""
    found: list[tuple[int, bytes]] = []
    at = 0
    while (record := record_at(data, at)) is not None:
        number, content, at = record
        found.append((number, content))
    return found, at


def scan_records(data: bytes) -> tuple[list[tuple[int, bytes]], int, bool]:
    """The whole records from the start, where they end, and whether a later whole one shows damage
    before it."""
    found, at = leading_records(data)
    return found, at, next(records_after(data, at), None) is not None
