"""The record format of files that outlive a process: length, checksum, number and JSON. No I/O.

A record that is cut short or has a flipped bit is not a whole record; what that means for a file is for its
reader to decide.
"""

import struct
import zlib
from collections.abc import Iterator
from typing import NamedTuple

import msgspec
from msgspec import Struct

RECORD_MAGIC = b"fwv1"  # the first bytes of each record; 1 is the version of this format
MAX_RECORD_BYTES = 32 * 1024 * 1024  # of the JSON of one record

_HEADER = struct.Struct(">4sIIQ")  # magic, length of the JSON, CRC-32 of number and JSON, number
HEADER_BYTES = _HEADER.size


class DiskError(Exception):
    """A folder can't be used; the text names the path and the reason.

    Raised by the stores that keep files in this format: for damaged or foreign content, for a folder that
    another process holds, and in place of an OSError. The functions of this module do not raise it.
    """


class Record(NamedTuple):
    """A complete record: its number, which the writer chose, and its JSON."""

    number: int
    content: bytes


class FoundRecord(NamedTuple):
    """A complete record and the byte offset right after it."""

    record: Record
    end_offset: int


class LeadingRecords(NamedTuple):
    """The complete records from the start of a file, and the byte offset right after the last of them."""

    records: list[Record]
    end_offset: int


class ScannedRecords(NamedTuple):
    """The leading records of a file, and whether it is damaged in the middle.

    `has_later_records` is true where a complete record follows after `end_offset`: the bytes between were
    damaged later, and not merely cut short by a crash.
    """

    records: list[Record]
    end_offset: int
    has_later_records: bool


def record_checksum(number: int, data: bytes) -> int:
    """The CRC-32 of a record's number, as 8 bytes in network order, and its JSON."""
    return zlib.crc32(data, zlib.crc32(number.to_bytes(8, "big")))


def encode_record(number: int, value: Struct) -> bytes:
    """The bytes of one record: header, then the value as JSON."""
    data = msgspec.json.encode(value)
    return _HEADER.pack(RECORD_MAGIC, len(data), record_checksum(number, data), number) + data


def record_at(data: bytes, start: int) -> FoundRecord | None:
    """The complete record at a byte offset; None where the data end, a record is cut short or damaged."""
    if len(data) - start < HEADER_BYTES:
        return None
    magic, length, expected, number = _HEADER.unpack_from(data, start)
    end = start + HEADER_BYTES + length
    if magic != RECORD_MAGIC or length > MAX_RECORD_BYTES or end > len(data):
        return None
    content = data[start + HEADER_BYTES : end]
    if record_checksum(number, content) != expected:
        return None
    return FoundRecord(Record(number, content), end)


def search_records(data: bytes, start: int) -> Iterator[Record]:
    """Each complete record that begins after a byte offset (not at it), whatever lies between them."""
    offset = data.find(RECORD_MAGIC, start + 1)
    while offset >= 0:
        found = record_at(data, offset)
        if found is not None:
            yield found.record
        offset = data.find(RECORD_MAGIC, offset + 1 if found is None else found.end_offset)


def leading_records(data: bytes) -> LeadingRecords:
    """Reads complete records from the start of a file up to its end or the first damage."""
    records: list[Record] = []
    end_offset = 0
    while (found := record_at(data, end_offset)) is not None:
        records.append(found.record)
        end_offset = found.end_offset
    return LeadingRecords(records, end_offset)


def scan_records(data: bytes) -> ScannedRecords:
    """The leading records, and whether complete ones follow after damage."""
    records, end_offset = leading_records(data)
    has_later_records = next(search_records(data, end_offset), None) is not None
    return ScannedRecords(records, end_offset, has_later_records)
