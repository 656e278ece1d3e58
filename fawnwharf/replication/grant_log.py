"""The files of a replica: every claim that it ever sent anything about, to be found again after a restart.

Records are appended before anything is sent that depends on them, and not synced: a file outlives its
process, but not a power loss. So it is trusted only within one boot of the machine, whose monotonic clock
goes on from one process to the next. After another boot the replica has forgotten its grants, and receives
those of the others or waits.

Claims count for a bounded time, so files need no compaction: a new one is begun whenever the last one has
been written for so long, and the one before it is removed.
"""

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from fawnwharf.consensus.records import DiskError, encode_record, scan_records
from fawnwharf.replication.claim_store import StoredGrant
from fawnwharf.replication.claims import CallKey, Claim

VERSION = 1
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
BATCH = 2_000  # claims in a record, where a file begins with all that are stored
INCOMPLETE = (
    -1
)  # instead of a membership's number: from here on the replica does not know all that it granted
FILE_PREFIX = "keeper-"

NO_FILE = "no file"
OTHER_BOOT = "of another boot"


class Head(Struct, frozen=True):
    """The first record: whose file it is, and what it continues."""

    version: int
    fleet: str
    name: str
    boot: str
    inode: int  # of the file itself: a copy of it is not trusted
    # The membership by which the replica knew all that it had granted; 0 where it did not.
    complete_for: int = msgspec.field(name="sure")
    generation: Annotated[int, Meta(ge=1)]
    # It begins with all that was stored; else the file before it is needed for a while.
    has_all: bool = msgspec.field(name="whole")
    began_ms: float


class Batch(Struct, frozen=True):
    """A later record: claims, and whether the replica knows all from here on."""

    grants: list[tuple[CallKey, Claim, float]] = msgspec.field(name="kept")
    # The membership by which it does, or INCOMPLETE; 0: as before.
    complete_for: int = msgspec.field(default=0, name="sure")


def boot_id() -> str:
    """The id of this boot of the machine; empty where the system has none, and nothing is trusted then."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""


class GrantLog:
    """Owns the folder: its lock, the file that is written, and the one before."""

    def __init__(
        self, folder: Path, fleet: str, name: str, now_ms: float, lifetime_ms: float, boot: str
    ) -> None:
        """Read what is there, where claims count for `lifetime_ms` at the most.

        Raises DiskError where the folder belongs to another member or can't be used. What can't be trusted is
        left out, and `distrust_reason` has the reason.
        """
        self.folder, self._fleet, self._name, self._boot = folder, fleet, name, boot
        self._lifetime_ms = lifetime_ms
        self.grants: list[StoredGrant] = []
        self.complete_for = 0  # the membership by which all was known, at the end
        self.distrust_reason = ""  # empty: `grants` is all that ever counted
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
        """The files, the oldest first."""
        found = [
            path
            for path in self.folder.glob(f"{FILE_PREFIX}*.log")
            if path.stem.removeprefix(FILE_PREFIX).isdigit()
        ]
        return sorted(found, key=_generation_of)

    def _read(self, now_ms: float) -> None:
        """Read the last two files, and decide whether they are trusted."""
        files = self._files()
        if not files:
            self.distrust_reason = NO_FILE
            return
        heads = [self._read_file(path) for path in files[-2:]]
        self._generation = _generation_of(files[-1])
        trusted = [head for head in heads if head is not None]
        if len(trusted) < len(heads):
            self.distrust_reason = self.distrust_reason or "damaged"
        elif not self._boot or any(head.boot != self._boot for head in trusted):
            self.distrust_reason = OTHER_BOOT
            self.grants = []
        elif self._lacks_earlier_file(now_ms, trusted):
            self.distrust_reason = "the file before the last one is missing"

    def _lacks_earlier_file(self, now_ms: float, heads: list[Head]) -> bool:
        """Whether claims may still count of which no file is left."""
        last = heads[-1]
        alone = len(heads) < 2 or heads[0].generation != last.generation - 1
        return not last.has_all and alone and now_ms - last.began_ms < self._lifetime_ms

    def _read_file(self, path: Path) -> Head | None:
        """Add a file's claims; its head where it can be trusted."""
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
        head, batches = decoded
        if (head.fleet, head.name) != (self._fleet, self._name):
            raise DiskError(f"{path}: of {head.name} in fleet {head.fleet}")
        self.complete_for = head.complete_for
        for batch in batches:
            self.grants += [StoredGrant(*grant) for grant in batch.grants]
            if batch.complete_for:
                self.complete_for = max(0, batch.complete_for)
        if damaged or [number for number, _ in records] != list(range(1, len(records) + 1)):
            self.distrust_reason = f"{path.name}: damaged"
        elif head.version != VERSION:
            self.distrust_reason = f"{path.name}: version {head.version}"
        elif head.inode != inode:
            self.distrust_reason = f"{path.name}: a copy"
        return None if self.distrust_reason else head

    # --- writing ------------------------------------------------------------------------------

    def begin(self, now_ms: float, complete_for: int, grants: list[StoredGrant] | None) -> None:
        """Begin a new file, with these claims, if they are all that are stored.

        Without them the last file stays beside the new one. Raises DiskError.
        """
        before = self._files()
        self._close_file()
        self._generation += 1
        path = self.folder / f"{FILE_PREFIX}{self._generation}.log"
        temporary = path.with_suffix(".new")
        try:
            self._file = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o644)
            self._last_number = 0
            self._append(self._file, self._head(self._file, now_ms, complete_for, grants is not None))
            rows = grants or []
            for start in range(0, len(rows), BATCH):
                self._append(self._file, Batch(list(rows[start : start + BATCH])))
            os.rename(temporary, path)
        except OSError as error:
            self._close_file()
            raise DiskError(f"{path}: {error.strerror}") from None
        self._began_ms = now_ms
        for old in before if grants is not None else before[:-1]:
            with contextlib.suppress(OSError):
                old.unlink()

    def _head(self, file: int, now_ms: float, complete_for: int, has_all: bool) -> Head:
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
        """Write claims, before anything is sent that depends on them.

        Raises DiskError; then nothing may depend on them, and nothing more is written after what may be a
        part of a record.
        """
        if self._file is None:
            raise DiskError(f"{self.folder}: not begun")
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


def _decode(records: list[tuple[int, bytes]]) -> tuple[Head, list[Batch]] | None:
    """The head and the batches of a file; None where one of them can't be decoded."""
    if not records:
        return None
    try:
        head = msgspec.json.decode(records[0][1], type=Head)
        return head, [msgspec.json.decode(content, type=Batch) for _, content in records[1:]]
    except msgspec.DecodeError:
        return None
