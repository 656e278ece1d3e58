"""The grant log of a replica: files with every claim that its messages depended on, read after a restart.

Records are appended, without a sync, before any message that depends on them is sent. A file therefore
survives its process but not a power loss, so it is trusted only within the same boot of the machine, during
which the monotonic clock continues across processes. After another boot the replica has lost its grants: it
obtains the claims of the other replicas or waits until its own have expired.

Claims have a limited lifetime, so the files need no compaction. A new file is started whenever the current
one has been written for that lifetime, and the file before it is removed.
"""

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from fawnwharf.consensus.records import DiskError, Record, encode_record, scan_records
from fawnwharf.replication.claim_store import StoredGrant
from fawnwharf.replication.claims import CallKey, Claim

VERSION = 1
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
MAX_BATCH_CLAIMS = 2_000  # per record, when a file begins with all stored claims
INCOMPLETE = -1  # in place of a membership number: the replica no longer knows all grants it has made
FILE_PREFIX = "keeper-"

NO_FILE = "no file"
OTHER_BOOT = "of another boot"


class Head(Struct, frozen=True):
    """The first record of a file: its owner, and how it continues the previous file."""

    version: int
    fleet: str
    name: str
    boot: str
    inode: int  # of this file, so that a copy is detected and not trusted
    # The number of the membership for which the replica knew all its grants; 0 if it did not.
    complete_for: int = msgspec.field(name="sure")
    generation: Annotated[int, Meta(ge=1)]
    # Whether the file begins with all stored claims. Otherwise the previous file is needed for one lifetime.
    has_all: bool = msgspec.field(name="whole")
    began_ms: float


class Batch(Struct, frozen=True):
    """A later record: claims, and whether the replica knows all its grants from here on."""

    grants: list[tuple[CallKey, Claim, float]] = msgspec.field(name="kept")
    # The number of the membership for which it does, or INCOMPLETE; 0 if unchanged.
    complete_for: int = msgspec.field(default=0, name="sure")


def boot_id() -> str:
    """The id of this boot of the machine; empty if the system has none, in which case no file is trusted."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""


class GrantLog:
    """Manages the folder: its lock, the current file and the previous one."""

    def __init__(
        self, folder: Path, fleet: str, name: str, now_ms: float, lifetime_ms: float, boot: str
    ) -> None:
        """Lock the folder and read its files; claims are valid for `lifetime_ms` at most.

        Raises DiskError if the folder belongs to another member or can't be used. If the files can't be
        trusted, `distrust_reason` states why.
        """
        self.folder, self._fleet, self._name, self._boot = folder, fleet, name, boot
        self._lifetime_ms = lifetime_ms
        self.grants: list[StoredGrant] = []
        self.complete_for = 0  # the last membership number for which all grants were known, or 0
        self.distrust_reason = ""  # empty if `grants` has all grants that may still be valid
        self._file: int | None = None
        self._last_number = self._generation = 0
        self._began_ms = now_ms
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock = os.open(folder / "keeper.lock", os.O_RDWR | os.O_CREAT, 0o644)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise DiskError(f"{folder}: {error.strerror}") from None
        try:
            self._read(now_ms)
        except DiskError:
            os.close(self._lock)
            raise

    # --- reading ------------------------------------------------------------------------------

    def _files(self) -> list[Path]:
        """The log files, oldest first."""
        found = [
            path
            for path in self.folder.glob(f"{FILE_PREFIX}*.log")
            if path.stem.removeprefix(FILE_PREFIX).isdigit()
        ]
        return sorted(found, key=_generation_of)

    def _read(self, now_ms: float) -> None:
        """Read the last two files and decide whether they can be trusted."""
        files = self._files()
        if not files:
            self.distrust_reason = NO_FILE
            return
        headers = [self._read_file(path) for path in files[-2:]]
        self._generation = _generation_of(files[-1])
        trusted = [header for header in headers if header is not None]
        if len(trusted) < len(headers):
            self.distrust_reason = self.distrust_reason or "damaged"
        elif not self._boot or any(header.boot != self._boot for header in trusted):
            self.distrust_reason = OTHER_BOOT
            self.grants = []
        elif self._lacks_earlier_file(now_ms, trusted):
            self.distrust_reason = "the file before the last one is missing"

    def _lacks_earlier_file(self, now_ms: float, headers: list[Head]) -> bool:
        """Whether claims may still be valid whose file is missing."""
        last = headers[-1]
        alone = len(headers) < 2 or headers[0].generation != last.generation - 1
        return not last.has_all and alone and now_ms - last.began_ms < self._lifetime_ms

    def _read_file(self, path: Path) -> Head | None:
        """Add the claims of a file; returns its header if the file can be trusted."""
        try:
            data = path.read_bytes()
            inode = path.stat().st_ino
        except OSError as error:
            raise DiskError(f"{path}: {error.strerror}") from None
        records, _, damaged = scan_records(data)
        decoded = _decode(records)
        if decoded is None:
            self.distrust_reason = f"{path.name}: no head"
            return None
        header, batches = decoded
        if (header.fleet, header.name) != (self._fleet, self._name):
            raise DiskError(
                f"{path}: of {header.name} in fleet {header.fleet}, "
                f"not of {self._name} in fleet {self._fleet}"
            )
        self.complete_for = header.complete_for
        for batch in batches:
            self.grants += [StoredGrant(*grant) for grant in batch.grants]
            if batch.complete_for:
                self.complete_for = max(0, batch.complete_for)
        if damaged or [number for number, _ in records] != list(range(1, len(records) + 1)):
            self.distrust_reason = f"{path.name}: damaged"
        elif header.version != VERSION:
            self.distrust_reason = f"{path.name}: version {header.version}"
        elif header.inode != inode:
            self.distrust_reason = f"{path.name}: a copy"
        return None if self.distrust_reason else header

    # --- writing ------------------------------------------------------------------------------

    def begin(self, now_ms: float, complete_for: int, grants: list[StoredGrant] | None) -> None:
        """Start a new file that begins with all stored claims, or with none if `grants` is None.

        In the latter case the previous file is kept beside the new one. Raises DiskError.
        """
        before = self._files()
        self._close_file()
        self._generation += 1
        path = self.folder / f"{FILE_PREFIX}{self._generation}.log"
        temporary = path.with_suffix(".new")
        try:
            self._file = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o644)
            self._last_number = 0
            self._append(self._file, self._header(self._file, now_ms, complete_for, grants is not None))
            rows = grants or []
            for start in range(0, len(rows), MAX_BATCH_CLAIMS):
                self._append(self._file, Batch(list(rows[start : start + MAX_BATCH_CLAIMS])))
            os.rename(temporary, path)
        except OSError as error:
            self._close_file()
            raise DiskError(f"{path}: {error.strerror}") from None
        self._began_ms = now_ms
        for old in before if grants is not None else before[:-1]:
            with contextlib.suppress(OSError):
                old.unlink()

    def _header(self, file: int, now_ms: float, complete_for: int, has_all: bool) -> Head:
        return Head(
            version=VERSION,
            fleet=self._fleet,
            name=self._name,
            boot=self._boot,
            inode=os.fstat(file).st_ino,
            complete_for=max(0, complete_for),
            generation=self._generation,
            has_all=has_all,
            began_ms=now_ms,
        )

    def _append(self, file: int, value: Struct) -> None:
        self._last_number += 1
        data = encode_record(self._last_number, value)
        if os.write(file, data) != len(data):
            raise OSError(28, "no space for a complete record")

    def write(self, now_ms: float, grants: list[StoredGrant], complete_for: int) -> None:
        """Append claims before any message that depends on them is sent.

        If this raises DiskError, no message may depend on the claims. Nothing more is written then, because
        the file may end in a partial record.
        """
        if self._file is None:
            raise DiskError(f"{self.folder}: no grant log file is open")
        if now_ms - self._began_ms >= self._lifetime_ms:
            self.begin(now_ms, complete_for, None)
        try:
            self._append(self._file, Batch(list(grants), complete_for))
        except OSError as error:
            self._close_file()
            raise DiskError(f"{self.folder}: {error.strerror}") from None

    def _close_file(self) -> None:
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def close(self) -> None:
        """Close the file and release the lock."""
        self._close_file()
        os.close(self._lock)


def _generation_of(path: Path) -> int:
    return int(path.stem.removeprefix(FILE_PREFIX))


def _decode(records: list[Record]) -> tuple[Head, list[Batch]] | None:
    """The header and the batches of a file; None if one of them can't be decoded."""
    if not records:
        return None
    try:
        header = msgspec.json.decode(records[0][1], type=Head)
        return header, [msgspec.json.decode(content, type=Batch) for _, content in records[1:]]
    except msgspec.DecodeError:
        return None
