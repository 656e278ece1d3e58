"""Format of the store's files: headers, commit groups, snapshot chunks and footers, file names. No I/O.

An entry is identified by its kind and its key. Its value is JSON, which the store handles as bytes. Fields
named `at_ms` are Unix times in milliseconds and for information only. Durations are in milliseconds.
"""

import re
from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import Annotated, Literal, NamedTuple

import msgspec
from msgspec import Meta, Struct

from fawnwharf.consensus.records import HEADER_BYTES, encode_record

VERSION = 1
SNAPSHOT: Literal["snapshot"] = "snapshot"
LOG: Literal["log"] = "log"
FileKind = Literal["snapshot", "log"]
TEMPORARY_SUFFIX = ".new"
DELETED = b"null"  # the stored value of a deleted entry
ENTRY_OVERHEAD_BYTES = 24  # added to the size of each entry's kind, key and value
_FILE_NAME = re.compile(r"^(?:snap-(\d{1,18})\.snap|log-(\d{1,18})\.seg)(\.new)?$")

EntryKey = tuple[str, str]  # kind and key
Entries = dict[EntryKey, bytes]
EntryRow = tuple[str, str, msgspec.Raw]  # kind, key and encoded value


class Durability(StrEnum):
    """When changes of a kind are synced to disk."""

    SYNCED = "synced"  # synced with the next group; each change has a commit ticket
    DELAYED = "soon"  # synced within `StoreLimits.soon_ms`
    BEST_EFFORT = "hint"  # written within `StoreLimits.hint_ms`; synced with the next synced group


class EntryKind(Struct, frozen=True):
    """One kind of entries: its durability and its limits."""

    name: Annotated[str, Meta(min_length=1, max_length=32)]
    durability: Durability
    max_entries: Annotated[int, Meta(ge=1)] = 1_000
    max_value_bytes: Annotated[int, Meta(ge=1, le=1024 * 1024)] = 16 * 1024
    reserved: bool = False  # accepted even beyond `StoreLimits.state_bytes`


class StoreLimits(Struct, frozen=True):
    """Limits and delays of a store. The field names are keys of the recovery settings."""

    state_bytes: int = 16 * 1024 * 1024  # limit of all entries together
    segment_bytes: int = 1024 * 1024  # a log larger than both this and the last snapshot is replaced
    piece_bytes: int = 256 * 1024  # size of a snapshot chunk; groups are written between chunks
    soon_ms: float = 100.0  # maximum delay of `Durability.DELAYED`
    hint_ms: float = 2_000.0  # maximum delay of `Durability.BEST_EFFORT`
    wait_ms: float = 1_000.0  # timeout of a commit ticket
    slow_ms: float = 250.0  # a job that takes longer is reported as slow
    retry_ms: float = 100.0  # delay after the first failure; doubled after each further one
    retry_most_ms: float = 5_000.0  # maximum delay after a failure
    churn: int = 1_000  # with more pending changes than this plus twice the entries, all is rewritten

    @property
    def folder_bytes(self) -> int:
        """An upper bound of a folder's size, well above two snapshots, two logs and temporary files."""
        return 8 * (self.state_bytes + self.segment_bytes)


class FileHeader(Struct, frozen=True):
    """The first record of each file: the member and disk that it belongs to, and where its content starts."""

    version: int
    fleet: str
    name: str
    disk_id: Annotated[str, Meta(pattern="^[0-9a-f]{8,32}$")] = msgspec.field(name="mark")
    incarnation: Annotated[int, Meta(ge=1)] = msgspec.field(name="life")  # how often the folder was opened
    boot: str  # boot ID of the machine when the file was written; empty if unknown
    at_ms: float
    file_kind: FileKind = msgspec.field(name="what")
    number: int  # of the last group in a snapshot, or of the first group in a log
    inode: int = 0  # of this file; a copied file, which may be out of date, has a different inode
    repaired: str = ""  # why the folder was repaired; empty after other members confirmed it


class CommitGroup(Struct, frozen=True, omit_defaults=True):
    """Changes that are written together; a null value deletes the entry."""

    synced: int  # number of the last group on disk when this one was written
    at_ms: float
    changes: list[EntryRow] = []
    closed_cleanly: bool = msgspec.field(default=False, name="ended")


class SnapshotChunk(Struct, frozen=True):
    """Some of a snapshot's entries."""

    entries: list[EntryRow]


class SnapshotFooter(Struct, frozen=True):
    """The last record of a snapshot: the number of its entries."""

    count: int


class FileName(NamedTuple):
    """A parsed file name of the store."""

    file_kind: FileKind
    sequence: int
    is_complete: bool  # false for a temporary file


def snapshot_name(sequence: int) -> str:
    """The file name of a snapshot."""
    return f"snap-{sequence}.snap"


def log_name(sequence: int) -> str:
    """The file name of a log."""
    return f"log-{sequence}.seg"


def parse_file_name(name: str) -> FileName | None:
    """Parse a file name; return None if it is not a file of the store."""
    match = _FILE_NAME.match(name)
    if match is None:
        return None
    return FileName(SNAPSHOT if match[1] else LOG, int(match[1] or match[2]), not match[3])


def store_files(names: Iterable[str]) -> dict[str, FileName]:
    """Select the store's files among these names, and parse their names."""
    parsed = ((name, parse_file_name(name)) for name in names)
    return {name: file for name, file in parsed if file is not None}


def entry_size(key: EntryKey, value: bytes) -> int:
    """The size in bytes of an entry, as the limits count it."""
    kind, name = key
    return len(kind) + len(name) + len(value) + ENTRY_OVERHEAD_BYTES


def encode_snapshot(entries: Entries, chunk_bytes: int) -> Iterator[bytes]:
    """Yield the records of a snapshot after its header, one chunk at a time."""
    record_number = 1
    rows: list[EntryRow] = []
    size = 0
    for key, value in entries.items():
        rows.append((*key, msgspec.Raw(value)))
        size += entry_size(key, value) + HEADER_BYTES
        if size >= chunk_bytes:
            yield encode_record(record_number, SnapshotChunk(rows))
            record_number += 1
            rows = []
            size = 0
    last_chunk = encode_record(record_number, SnapshotChunk(rows))
    yield last_chunk + encode_record(record_number + 1, SnapshotFooter(len(entries)))


def encode_group(
    number: int,
    synced: int,
    at_ms: float,
    changes: Iterable[tuple[EntryKey, bytes | None]],
    closed_cleanly: bool,
) -> bytes:
    """Encode the record of a commit group; a change to None deletes the entry."""
    rows = [(*key, msgspec.Raw(DELETED if value is None else value)) for key, value in changes]
    return encode_record(number, CommitGroup(synced, at_ms, rows, closed_cleanly))
