"""The record format of persistent files: length, checksum, number and JSON. Does no I/O.

A truncated record or one with a wrong checksum is not a complete record. The reader of a file decides what to
do about it.
"""

import struct
import zlib
from collections.abc import Iterator
from typing import NamedTuple

import msgspec
from msgspec import Struct

RECORD_MAGIC = b"fwv1"  # the first bytes of each record; 1 is the version of the record format
MAX_RECORD_BYTES = 32 * 1024 * 1024  # length of the JSON of one record

_HEADER = struct.Struct(">4sIIQ")  # magic, length of the JSON, CRC-32 of number and JSON, number
HEADER_BYTES = _HEADER.size


class DiskError(Exception):
    """A folder can't be used; the text names the path and the reason.

    Stores that keep files in this format raise it for damaged content, for files of another owner, for a
    folder that another process has locked, and in place of an OSError. This module does not raise it.
    """


class Record(NamedTuple):
    """A complete record: the number that the writer chose, and the JSON."""

    number: int
    content: bytes


class FoundRecord(NamedTuple):
    """A complete record and the byte offset of its end."""

    record: Record
    end_offset: int


class LeadingRecords(NamedTuple):
    """The complete records at the start of a file, and the byte offset where the last of them ends."""

    records: list[Record]
    end_offset: int


class ScannedRecords(NamedTuple):
    """The leading records of a file, and whether it is damaged in the middle.

    `has_later_records` is true if a complete record follows somewhere after `end_offset`. Then the bytes at
    `end_offset` are damaged; a crash during a write would only have truncated the last record.
    """

    records: list[Record]
    end_offset: int
    has_later_records: bool


def record_checksum(number: int, data: bytes) -> int:
    """The CRC-32 of a record's number (8 bytes, big-endian) followed by its JSON."""
    return zlib.crc32(data, zlib.crc32(number.to_bytes(8, "big")))


def encode_record(number: int, value: Struct) -> bytes:
    """Encodes one record: the header, then the value as JSON."""
    data = msgspec.json.encode(value)
    return _HEADER.pack(RECORD_MAGIC, len(data), record_checksum(number, data), number) + data


def record_at(data: bytes, start: int) -> FoundRecord | None:
    """The complete record at a byte offset; None at the end of the data, or if it is truncated or damaged."""
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
    """Yields each complete record that starts after a byte offset, skipping any bytes between records."""
    offset = data.find(RECORD_MAGIC, start + 1)
    while offset >= 0:
        found = record_at(data, offset)
        if found is not None:
            yield found.record
        offset = data.find(RECORD_MAGIC, offset + 1 if found is None else found.end_offset)


def leading_records(data: bytes) -> LeadingRecords:
    """Reads the complete records from the start of a file up to its end or the first damaged byte."""
    records: list[Record] = []
    end_offset = 0
    while (found := record_at(data, end_offset)) is not None:
        records.append(found.record)
        end_offset = found.end_offset
    return LeadingRecords(records, end_offset)


def scan_records(data: bytes) -> ScannedRecords:
    """Reads the leading records, and checks whether complete records follow after damage."""
    records, end_offset = leading_records(data)
    has_later_records = next(search_records(data, end_offset), None) is not None
    return ScannedRecords(records, end_offset, has_later_records)
