"""The store of a voter's persistent state: a file to which complete records are appended and synced.

The first record (`consensus/records.py`) names the fleet, the member and the disk. Each later record holds
the complete state, so only the last one is used. An incomplete record at the end was never acknowledged and
is removed. Damage before a complete record can't result from a crash, so the file is rejected.

When the file has grown too large, it is replaced by a new file that is renamed over it. This is also done at
the first save after an error: after a failed sync the system may drop the written data and still report
success for the next sync of the same file, so nothing is appended to that file any more.

The last record found at a start may not have been synced before a crash. It is written again in place and
synced before anything depends on it. This needs no additional space, so a full disk does not prevent a start.
"""

import contextlib
import fcntl
import os
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

from fawnwharf.consensus.messages import PersistentState
from fawnwharf.consensus.records import (
    HEADER_BYTES,
    RECORD_MAGIC,
    DiskError,
    Record,
    encode_record,
    scan_records,
)
from fawnwharf.file_writes import sync_directory, write_all

VERSION = 1  # of the identity, the first record; other records have no version
REWRITE_ABOVE_BYTES = 1024 * 1024  # a save that would make the file larger replaces it
_CLOSED_DESCRIPTOR = -1  # means that no file is open


class DiskIdentity(Struct, frozen=True):
    """The fleet, the member and the disk that a folder belongs to; the first record of its file.

    `fleet` and `name` are the names of the fleet and of the member in the membership file. `disk_id` is drawn
    at random when the folder is created. It distinguishes this disk from an earlier one of the same member,
    which may have voted differently.
    """

    version: int
    fleet: str
    name: str
    disk_id: Annotated[str, Meta(pattern="^[0-9a-f]{8,32}$")] = field(name="mark")

    @property
    def voter_identity(self) -> str:
        """The identity in voter lists of the voter whose state is on this disk, such as `a#0f3c9b21`."""
        return f"{self.name}#{self.disk_id}"


class VoterStore:
    """Owns a member's folder until it is closed.

    `saved` is the state on disk: the one read when the folder was opened, or the last one written since.
    `identity` identifies the disk; `is_new` is true if the folder held no identity before. `record_number` is
    the number of the last record with a state, 0 before the first.
    """

    def __init__(
        self, folder: str | Path, fleet: str, name: str, draw_disk_id: Callable[[], str] | None = None
    ) -> None:
        """Creates the folder if missing, locks it against other processes and reads its state.

        `fleet` and `name` must match the identity on disk. `draw_disk_id` returns the disk identifier of a
        new folder, 8 to 32 hexadecimal digits; the default draws it at random.

        Raises DiskError if the folder can't be used; no complete record is changed in that case.
        """
        self.folder = Path(folder)
        self.path = self.folder / "voter.log"
        self.is_new = False
        self.saved = PersistentState()
        self.record_number = 0
        # The file that is appended to; while it is closed, the next save replaces it.
        self._file = _CLOSED_DESCRIPTOR
        self._size = 0
        self._lock = self._acquire_lock()
        try:
            self._open(fleet, name, draw_disk_id or _random_disk_id)
        except OSError as error:
            self.close()
            raise self._error(error.strerror or "not usable") from None
        except DiskError:
            self.close()
            raise

    def _error(self, reason: str) -> DiskError:
        return DiskError(f"{self.path}: {reason}")

    def _acquire_lock(self) -> int:
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

    def _open(self, fleet: str, name: str, draw_disk_id: Callable[[], str]) -> None:
        data = self.path.read_bytes() if self.path.exists() else b""
        self.is_new = _has_truncated_identity(data)
        if self.is_new:
            self.identity = DiskIdentity(VERSION, fleet, name, draw_disk_id())
            self._rewrite(encode_record(0, self.identity))
        else:
            self._restore(data, fleet, name)

    def _restore(self, data: bytes, fleet: str, name: str) -> None:
        found, end, damaged = scan_records(data)
        if damaged:
            raise self._error(f"damaged at byte {end}, before complete records")
        if not found:
            raise self._error("no complete record")
        self._decode(found)
        self._check_identity(fleet, name)
        numbers = [number for number, _ in found[1:]]
        if any(following <= number for number, following in pairwise(numbers)):
            raise self._error("records out of order")
        self.record_number = numbers[-1] if numbers else 0
        self._sync_last_record(
            data[:end], HEADER_BYTES + len(found[-1].content), is_truncated=end < len(data)
        )

    def _decode(self, found: list[Record]) -> None:
        try:
            self.identity = msgspec.json.decode(found[0].content, type=DiskIdentity)
            if len(found) > 1:
                self.saved = msgspec.json.decode(found[-1].content, type=PersistentState)
        except msgspec.DecodeError as error:
            raise self._error(f"not the records of a voter: {error}") from None

    def _check_identity(self, fleet: str, name: str) -> None:
        found = self.identity
        if found.version != VERSION:
            raise self._error(f"version {found.version}, and this program knows {VERSION}")
        if found.fleet != fleet:
            raise self._error(f"of fleet {found.fleet}, not of {fleet}")
        if found.name != name:
            raise self._error(f"the disk of member {found.name}, not of {name}")

    def _sync_last_record(self, records: bytes, last_size: int, *, is_truncated: bool) -> None:
        """Opens the existing file, removes an incomplete record at its end and syncs the last complete one.

        Earlier records need no sync: each was synced before the next one was written.
        """
        self._file = os.open(self.path, os.O_RDWR)
        self._size = len(records)
        if is_truncated:
            os.ftruncate(self._file, len(records))
        os.lseek(self._file, len(records) - last_size, os.SEEK_SET)
        write_all(self._file, records[len(records) - last_size :])
        os.fsync(self._file)
        sync_directory(self.folder)

    def save(self, saved: PersistentState) -> None:
        """Writes a state and returns when it is durable.

        Raises DiskError if that fails; nothing may depend on the state in that case.
        """
        record = encode_record(self.record_number + 1, saved)
        try:
            if self._file != _CLOSED_DESCRIPTOR and self._size + len(record) <= REWRITE_ABOVE_BYTES:
                self._append(record)
            else:
                self._rewrite(encode_record(0, self.identity) + record)
        except OSError as error:
            self._close_file()
            raise self._error(error.strerror or "not writable") from None
        self.record_number += 1
        self.saved = saved

    def _append(self, record: bytes) -> None:
        write_all(self._file, record)
        os.fsync(self._file)
        self._size += len(record)

    def _rewrite(self, data: bytes) -> None:
        """Replaces the file by a new one; when this returns, the rename is durable as well."""
        self._close_file()
        replacement = self.path.with_suffix(".new")
        self._file = os.open(replacement, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        self._size = len(data)
        try:
            write_all(self._file, data)
            os.fsync(self._file)
            os.rename(replacement, self.path)
            sync_directory(self.folder)
        except OSError:
            self._close_file()
            raise

    def _close_file(self) -> None:
        file = self._file
        self._file = _CLOSED_DESCRIPTOR
        if file != _CLOSED_DESCRIPTOR:
            with contextlib.suppress(OSError):  # all acknowledged data is already synced
                os.close(file)

    def close(self) -> None:
        """Closes the file and releases the folder."""
        self._close_file()
        os.close(self._lock)


def _random_disk_id() -> str:
    return os.urandom(8).hex()


def _has_truncated_identity(data: bytes) -> bool:
    """Whether a file ends within its first record, as after a crash in the first start, before any vote.

    Complete records after an incomplete one mean damage instead.
    """
    if not RECORD_MAGIC.startswith(data[: len(RECORD_MAGIC)]):
        return False
    length = int.from_bytes(data[len(RECORD_MAGIC) : len(RECORD_MAGIC) + 4], "big")
    is_short = len(data) < HEADER_BYTES or len(data) < HEADER_BYTES + length
    return is_short and not scan_records(data).has_later_records
