"""What the files of durable state hold: heads, groups of changes, pieces of snapshots; and the bounds. Pure.

Keys of entries are (kind, key). Values are JSON, which the store passes on as bytes. Times named `at_ms` are
Unix milliseconds and serve people and trust alone; durations are milliseconds of the monotonic clock.
"""

import re
from collections.abc import Iterable, Iterator
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from fawnwharf.consensus.records import HEADER_BYTES, encode_record

VERSION = 1
SYNCED, SOON, HINT = "synced", "soon", "hint"
SNAPSHOT, LOG = "snapshot", "log"
TEMPORARY_SUFFIX = ".new"
DELETED = b"null"
ENTRY_OVERHEAD_BYTES = 24  # what an entry takes beside its kind, key and value
_NAME = re.compile(r"^(?:snap-(\d{1,18})\.snap|log-(\d{1,18})\.seg)(\.new)?$")

EntryKey = tuple[str, str]
Entries = dict[EntryKey, bytes]


class EntryKind(Struct, frozen=True):
    """One kind of what is kept: its mode, and its bounds."""

    name: Annotated[str, Meta(min_length=1, max_length=32)]
    mode: Literal["synced", "soon", "hint"]
    most: Annotated[int, Meta(ge=1)] = 1_000  # entries
    value_bytes: Annotated[int, Meta(ge=1, le=1024 * 1024)] = 16 * 1024
    reserved: bool = False  # taken also where all entries together have reached their bound


class StoreLimits(Struct, frozen=True):
    state_bytes: int = 16 * 1024 * 1024  # all entries together
    segment_bytes: int = 1024 * 1024  # past this, or the last snapshot's size, a new log follows
    piece_bytes: int = 256 * 1024  # of a snapshot, written between two groups
    soon_ms: float = 100.0
    hint_ms: float = 2_000.0
    wait_ms: float = 1_000.0  # the longest that a ticket waits
    slow_ms: float = 250.0  # a job that takes longer is said
    retry_ms: float = 100.0  # after a failure, and twice as long after each further one
    retry_most_ms: float = 5_000.0
    churn: int = 1_000  # changes that wait, beyond twice the entries: all is written anew then

    @property
    def folder_bytes(self) -> int:
        """More than a folder of this program's can hold: two snapshots, two logs, what came beside."""
        return 8 * (self.state_bytes + self.segment_bytes)


class FileHeader(Struct, frozen=True):
    """Whose file it is. `mark` tells this folder from one that the same member had before."""

    version: int
    fleet: str
    name: str
    mark: Annotated[str, Meta(pattern="^[0-9a-f]{8,32}$")]
    life: Annotated[int, Meta(ge=1)]  # counts the openings of the folder
    boot: str  # of the machine, in which it was written; empty: not known
    at_ms: float
    what: Literal["snapshot", "log"]
    number: int  # snapshot: up to which it holds all; log: of its first group
    inode: int = 0  # of the file itself: a copy of it may be older
    repaired: str = ""  # why the folder was repaired, since when it holds what was left


class CommitGroup(Struct, frozen=True, omit_defaults=True):
    """What changed in a turn; null: the entry is gone. `synced`: up to which number all was on disk before
    this was written."""

    synced: int
    at_ms: float
    changes: list[tuple[str, str, msgspec.Raw]] = []
    ended: bool = False


class SnapshotChunk(Struct, frozen=True):
    entries: list[tuple[str, str, msgspec.Raw]]


class SnapshotFooter(Struct, frozen=True):
    count: int


def snapshot_name(seq: int) -> str:
    return f"snap-{seq}.snap"


def log_name(seq: int) -> str:
    return f"log-{seq}.seg"


def parse_file_name(name: str) -> tuple[str, int, bool] | None:
    """What a file of this name is, its sequence number, whether it is finished; None: none of the store's."""
    found = _NAME.match(name)
    if found is None:
        return None
    what = SNAPSHOT if found[1] else LOG
    return what, int(found[1] or found[2]), not found[3]


def entry_size(key: EntryKey, value: bytes) -> int:
    return len(key[0]) + len(key[1]) + len(value) + ENTRY_OVERHEAD_BYTES


def encode_snapshot(entries: Entries, piece_bytes: int) -> Iterator[bytes]:
    """A snapshot's records after its head, piece by piece."""
    number, piece, held = 1, [], 0
    for (kind, key), value in entries.items():
        piece.append((kind, key, msgspec.Raw(value)))
        held += entry_size((kind, key), value) + HEADER_BYTES
        if held >= piece_bytes:
            yield encode_record(number, SnapshotChunk(piece))
            number, piece, held = number + 1, [], 0
    yield encode_record(number, SnapshotChunk(piece)) + encode_record(
        number + 1, SnapshotFooter(len(entries))
    )


def encode_group(
    number: int, synced: int, at_ms: float, changes: Iterable[tuple[EntryKey, bytes | None]], ended: bool
) -> bytes:
    rows = [(kind, key, msgspec.Raw(DELETED if value is None else value)) for (kind, key), value in changes]
    return encode_record(number, CommitGroup(synced, at_ms, rows, ended))
