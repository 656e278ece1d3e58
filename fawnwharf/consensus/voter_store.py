"""What a voter has to find again, on disk: one file of whole records, appended and synced.

The first record (`consensus/records.py`) names the fleet, the member and the disk; each later one holds
all that
is to be kept, so that the last whole one says everything. A record that is cut short at the end was never
answered for and is cut off; damage before a whole record is no such thing, and the file is refused.

The file is written anew, beside and then over the old one, once it has grown, and at the next save after a
failure: after a failed sync the system may drop what was written and report success for the next sync of the
same file, so nothing more is appended to it. The last record that a start finds may have been written and not
synced before a kill: it is written again and synced before anything rests on it. That takes no room, so that
a full disk refuses no start.
"""

import contextlib
import fcntl
import os
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from fawnwharf.consensus.messages import PersistentState
from fawnwharf.consensus.records import HEADER_BYTES, MAGIC, DiskError, encode_record, scan_records
from fawnwharf.file_writes import sync_folder, write_all

VERSION = 1
REWRITE_BYTES = 1024 * 1024


class DiskIdentity(Struct, frozen=True):
    """Whose disk it is. `mark` tells this disk from one that the same member had before."""

    version: int
    fleet: str
    name: str
    mark: Annotated[str, Meta(pattern="^[0-9a-f]{8,32}$")]

    @property
    def identity(self) -> str:
        return f"{self.name}#{self.mark}"


class VoterStore:
    """Owns a member's folder while it lives; `saved` is what was last kept."""

    def __init__(
        self, folder: str | Path, fleet: str, name: str, draw: Callable[[], str] | None = None
    ) -> None:
        """`draw` gives the mark of a new disk. Raises DiskError, and no whole record has changed then."""
        self.folder = Path(folder)
        self.path = self.folder / "voter.log"
        self._file, self._size = -1, 0  # the log that is appended to; -1: the next save writes a new one
        self._lock = self._locked()
        try:
            data = self.path.read_bytes() if self.path.exists() else b""
            self.fresh = _unfinished(data)
            if self.fresh:
                mark = draw() if draw else os.urandom(8).hex()
                self.label, self.saved, self.number = (
                    DiskIdentity(VERSION, fleet, name, mark),
                    PersistentState(),
                    0,
                )
                self._write_anew(encode_record(0, self.label))
            else:
                found, whole = self._records(data)
                self.label, self.saved, self.number = self._found(found, fleet, name)
                self._settle(data, whole, HEADER_BYTES + len(found[-1][1]))
        except (OSError, DiskError) as error:
            self.close()
            if isinstance(error, DiskError):
                raise
            raise self._fault(error.strerror or "not usable") from None

    def _fault(self, why: str) -> DiskError:
        return DiskError(f"{self.path}: {why}")

    def _locked(self) -> int:
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            lock = os.open(self.folder / "voter.lock", os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise DiskError(f"{self.folder}: {error.strerror}") from None
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(lock)
            raise DiskError(f"{self.folder}: in use by a live process") from None
        return lock

    def _records(self, data: bytes) -> tuple[list[tuple[int, bytes]], int]:
        """The whole records, and where they end."""
        found, whole, damaged = scan_records(data)
        if damaged:
            raise self._fault(f"damaged at byte {whole}, before records that are whole")
        if not found:
            raise self._fault("no whole record")
        return found, whole

    def _found(
        self, found: list[tuple[int, bytes]], fleet: str, name: str
    ) -> tuple[DiskIdentity, PersistentState, int]:
        try:
            label = msgspec.json.decode(found[0][1], type=DiskIdentity)
            saved = (
                msgspec.json.decode(found[-1][1], type=PersistentState)
                if len(found) > 1
                else PersistentState()
            )
        except msgspec.DecodeError as error:
            raise self._fault(f"not a voter's records: {error}") from None
        if label.version != VERSION:
            raise self._fault(f"version {label.version}, and this program knows {VERSION}")
        if label.fleet != fleet:
            raise self._fault(f"of fleet {label.fleet}, not of {fleet}")
        if label.name != name:
            raise self._fault(f"the disk of member {label.name}, not of {name}")
        numbers = [number for number, _ in found[1:]]
        if any(later <= earlier for earlier, later in zip(numbers, numbers[1:], strict=False)):
            raise self._fault("records out of order")
        return label, saved, numbers[-1] if numbers else 0

    def _settle(self, data: bytes, whole: int, last: int) -> None:
        """Opens the file that was found; its last record, of so many bytes, is on disk afterwards, and what
        was cut short behind it is gone. All before it was synced when it was begun."""
        self._file, self._size = os.open(self.path, os.O_RDWR), whole
        if whole < len(data):
            os.ftruncate(self._file, whole)
        os.lseek(self._file, whole - last, os.SEEK_SET)
        write_all(self._file, data[whole - last : whole])
        os.fsync(self._file)
        sync_folder(self.folder)

    def save(self, saved: PersistentState) -> None:
        """Keep it; it is on disk when this returns. Raises DiskError, and then nothing may rest on it."""
        record = encode_record(self.number + 1, saved)
        try:
            if self._file >= 0 and self._size + len(record) <= REWRITE_BYTES:
                self._append(record)
            else:
                self._write_anew(encode_record(0, self.label) + record)
        except OSError as error:
            self._close_file()
            raise self._fault(error.strerror or "not writable") from None
        self.number, self.saved = self.number + 1, saved

    def _append(self, record: bytes) -> None:
        write_all(self._file, record)
        os.fsync(self._file)
        self._size += len(record)

    def _write_anew(self, data: bytes) -> None:
        """A new file in the place of the last; its name is on disk as well when this returns."""
        self._close_file()
        beside = self.path.with_suffix(".new")
        self._file, self._size = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), len(data)
        try:
            write_all(self._file, data)
            os.fsync(self._file)
            os.rename(beside, self.path)
            sync_folder(self.folder)
        except OSError:
            self._close_file()
            raise

    def _close_file(self) -> None:
        file, self._file = self._file, -1
        if file >= 0:
            with contextlib.suppress(OSError):  # what counts was synced
                os.close(file)

    def close(self) -> None:
        self._close_file()
        os.close(self._lock)


def _unfinished(data: bytes) -> bool:
    """Whether a file ends within its first record: a kill in the first start, when nothing was promised yet.
    Whole records after that are damage instead."""
    if not MAGIC.startswith(data[: len(MAGIC)]):
        return False
    length = int.from_bytes(data[len(MAGIC) : len(MAGIC) + 4], "big")
    short = len(data) < HEADER_BYTES or len(data) < HEADER_BYTES + length
    return short and not scan_records(data)[2]
