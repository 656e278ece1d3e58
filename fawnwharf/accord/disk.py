"""What a voter has to find again, on disk: one file of whole records, appended and synced.

The first record (`accord/records.py`) names the fleet, the member and the disk; each later one holds all that
is to be kept, so that the last whole one says everything. A record that is cut short at the end was never
answered for and is cut off; damage before a whole record is no such thing, and the file is refused. The file
is written anew, beside and then over the old one, once it has grown.
"""

import fcntl
import os
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from fawnwharf.accord.messages import Saved
from fawnwharf.accord.records import DiskError, encode, records

VERSION = 1
REWRITE_BYTES = 1024 * 1024


class Label(Struct, frozen=True):
    """Whose disk it is. `mark` tells this disk from one that the same member had before."""

    version: int
    fleet: str
    name: str
    mark: Annotated[str, Meta(pattern="^[0-9a-f]{8,32}$")]

    @property
    def identity(self) -> str:
        return f"{self.name}#{self.mark}"


class Disk:
    """Owns a member's folder while it lives; `saved` is what was last kept."""

    def __init__(
        self, folder: str | Path, fleet: str, name: str, draw: Callable[[], str] | None = None
    ) -> None:
        """`draw` gives the mark of a new disk. Raises DiskError, and has then changed nothing."""
        self.folder = Path(folder)
        self.path = self.folder / "voter.log"
        self._lock = self._locked()
        try:
            data = self.path.read_bytes() if self.path.exists() else b""
            self.fresh = not data
            if data:
                self.label, self.saved, self.number, whole = self._found(data, fleet, name)
            else:
                mark = draw() if draw else os.urandom(8).hex()
                self.label, self.saved, self.number, whole = Label(VERSION, fleet, name, mark), Saved(), 0, 0
            self._file = os.open(self.path, os.O_RDWR | os.O_CREAT, 0o600)
            if data:
                os.ftruncate(self._file, whole)
                os.lseek(self._file, whole, os.SEEK_SET)
                self._size = whole
            else:
                self._size = 0
                self._append(encode(0, self.label))
                self._sync_folder()
        except OSError as error:
            raise self._fault(error.strerror or "not usable") from None
        except DiskError:
            os.close(self._lock)
            raise

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

    def _found(self, data: bytes, fleet: str, name: str) -> tuple[Label, Saved, int, int]:
        found, whole, damaged = records(data)
        if damaged:
            raise self._fault(f"damaged at byte {whole}, before records that are whole")
        if not found:
            raise self._fault("no whole record")
        try:
            label = msgspec.json.decode(found[0][1], type=Label)
            saved = msgspec.json.decode(found[-1][1], type=Saved) if len(found) > 1 else Saved()
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
        return label, saved, numbers[-1] if numbers else 0, whole

    def save(self, saved: Saved) -> None:
        """Keep it; it is on disk when this returns. Raises DiskError, and then nothing may rest on it."""
        record = encode(self.number + 1, saved)
        try:
            if self._size + len(record) > REWRITE_BYTES:
                self._rewrite(record)
            else:
                self._append(record)
        except OSError as error:
            raise self._fault(error.strerror or "not writable") from None
        self.number, self.saved = self.number + 1, saved

    def _append(self, record: bytes) -> None:
        start = self._size
        try:
            rest = memoryview(record)
            while rest:
                rest = rest[os.write(self._file, rest) :]
            os.fsync(self._file)
        except OSError:
            os.ftruncate(self._file, start)  # half a record must not stand before the next one
            os.lseek(self._file, start, os.SEEK_SET)
            raise
        self._size += len(record)

    def _rewrite(self, record: bytes) -> None:
        beside = self.path.with_suffix(".new")
        data = encode(0, self.label) + record
        file = os.open(beside, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            rest = memoryview(data)
            while rest:
                rest = rest[os.write(file, rest) :]
            os.fsync(file)
            os.rename(beside, self.path)
        except OSError:
            os.close(file)
            raise
        self._sync_folder()
        os.close(self._file)
        self._file, self._size = file, len(data)

    def _sync_folder(self) -> None:
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self) -> None:
        os.close(self._file)
        os.close(self._lock)
