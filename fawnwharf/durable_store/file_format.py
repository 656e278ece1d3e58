"""Format of the store's files: file headers, commit groups, snapshot chunks and footers, file names. Pure.

An entry is addressed by its kind and its key. Its value is JSON, which the store passes on as bytes. Fields
named `at_ms` are Unix milliseconds and are informative only; durations are in milliseconds.
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
DELETED = b"null"
ENTRY_OVERHEAD_BYTES = 24  # counted for each entry beside its kind, key and value
_FILE_NAME = re.compile(r"^(?:snap-(\d{1,18})\.snap|log-(\d{1,18})\.seg)(\.new)?$")

EntryKey = tuple[str, str]  # kind and key
Entries = dict[EntryKey, bytes]
EntryRow = tuple[str, str, msgspec.Raw]  # kind, key and value, as they are written


class Durability(StrEnum):
    """When changes of a kind are synced to disk."""

    SYNCED = "synced"  # with the next group; each change has a commit ticket
    DELAYED = "soon"  # within `StoreLimits.soon_ms`
    BEST_EFFORT = "hint"  # written within `StoreLimits.hint_ms`, and synced with the next group that is


class EntryKind(Struct, frozen=True):
    """One kind of entries: its durability and its limits."""

    name: Annotated[str, Meta(min_length=1, max_length=32)]
    durability: Durability
    max_entries: Annotated[int, Meta(ge=1)] = 1_000
    max_value_bytes: Annotated[int, Meta(ge=1, le=1024 * 1024)] = 16 * 1024
    reserved: bool = False  # accepted even when all entries together have reached their limit


class StoreLimits(Struct, frozen=True):
    """Sizes and times of a store. The names of the fields are keys of the recovery settings."""

    state_bytes: int = 16 * 1024 * 1024  # all entries together
    segment_bytes: int = 1024 * 1024  # a log larger than this and than the last snapshot is replaced
    piece_bytes: int = 256 * 1024  # one chunk of a snapshot, written between two groups
    soon_ms: float = 100.0  # delay of `Durability.DELAYED`
    hint_ms: float = 2_000.0  # delay of `Durability.BEST_EFFORT`
    wait_ms: float = 1_000.0  # timeout of a commit ticket
    slow_ms: float = 250.0  # a job that takes longer is reported as slow
    retry_ms: float = 100.0  # after the first failure; doubled with each further one
    retry_most_ms: float = 5_000.0
    churn: int = 1_000  # pending changes beyond twice the entries, above which everything is rewritten

    @property
    def folder_bytes(self) -> int:
        """A size that no folder of this program reaches: two snapshots, two logs, temporary files."""
        return 8 * (self.state_bytes + self.segment_bytes)


class FileHeader(Struct, frozen=True):
    """The first record of each file: which member's disk it belongs to, and where its content begins."""

    version: int
    fleet: str
    name: str
    disk_id: Annotated[str, Meta(pattern="^[0-9a-f]{8,32}$")] = msgspec.field(name="mark")
    incarnation: Annotated[int, Meta(ge=1)] = msgspec.field(name="life")  # counts openings of the folder
    boot: str  # boot of the machine in which the file was written; empty if unknown
    at_ms: float
    file_kind: FileKind = msgspec.field(name="what")
    number: int  # snapshot: the last group it contains; log: its first group
    inode: int = 0  # of the file itself: a copy has another one and may be older
    repaired: str = ""  # why the folder was repaired; empty once other members confirmed the content


class CommitGroup(Struct, frozen=True, omit_defaults=True):
    """All changes that are written together; a value of null deletes its entry."""

    synced: int  # the last group that was on disk before this one was written
    at_ms: float
    changes: list[EntryRow] = []
    closed_cleanly: bool = msgspec.field(default=False, name="ended")


class SnapshotChunk(Struct, frozen=True):
    """A part of a snapshot's entries."""

    entries: list[EntryRow]


class SnapshotFooter(Struct, frozen=True):
    """The last record of a snapshot: the number of its entries."""

    count: int


class FileName(NamedTuple):
    """A parsed file name of the store."""

    file_kind: FileKind
    sequence: int
    is_complete: bool  # not a temporary file


def snapshot_name(sequence: int) -> str:
    """The file name of a snapshot."""
    return f"snap-{sequence}.snap"


def log_name(sequence: int) -> str:
    """The file name of a log."""
    return f"log-{sequence}.seg"


def parse_file_name(name: str) -> FileName | None:
    """Parse a file name; None if the store has no files of this name."""
    match = _FILE_NAME.match(name)
    if match is None:
        return None
    return FileName(SNAPSHOT if match[1] else LOG, int(match[1] or match[2]), not match[3])


def store_files(names: Iterable[str]) -> dict[str, FileName]:
    """The files of the store among these names, with their parsed names."""
    parsed = ((name, parse_file_name(name)) for name in names)
    return {name: file for name, file in parsed if file is not None}


def entry_size(key: EntryKey, value: bytes) -> int:
    """The bytes that an entry counts for in the limits."""
    kind, name = key
    return len(kind) + len(name) + len(value) + ENTRY_OVERHEAD_BYTES


def encode_snapshot(entries: Entries, chunk_bytes: int) -> Iterator[bytes]:
    """The records of a snapshot after its header, chunk by chunk."""
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
    """The record of a commit group; a change to None deletes its entry."""
    rows = [(*key, msgspec.Raw(DELETED if value is None else value)) for key, value in changes]
    return encode_record(number, CommitGroup(synced, at_ms, rows, closed_cleanly))
