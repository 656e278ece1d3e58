"""What a keeper finds again after its process ended: every claim that it ever told anybody of, on file.

Records are appended before anything that rests on them is said, and not synced: a file outlives its process,
but not a loss of power. So it is trusted only within one boot of the machine, whose monotonic clock goes on
from one process to the next; after another boot the keeper has forgotten, and hears the others or waits.

Claims count for a bounded time, so that files need no clearing out: a new one is begun whenever the last has
been written for so long, and the one before that is thrown away.
"""

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from fawnwharf.consensus.records import encode_record, scan_records
from fawnwharf.consensus.voter_store import DiskError
from fawnwharf.replication.claims import CallKey, Claim

VERSION = 1
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
BATCH = 2_000  # claims in a record, where a file begins with what is held
INCOMPLETE = -1  # in the place of a list of members: from here on the keeper does not know all it granted

StoredGrant = tuple[
    str, Claim, float
]  # key, claim, and until when it counts, by the machine's monotonic clock


class Head(Struct, frozen=True):
    """Whose file it is, and what it goes on from."""

    version: int
    fleet: str
    name: str
    boot: str
    inode: int  # of the file itself: a copy of it is not trusted
    sure: int  # the list of members by which the keeper knew all that it had granted; 0: it did not
    generation: Annotated[int, Meta(ge=1)]
    whole: bool  # it begins with all that was held; else the one before it is needed for a while
    began_ms: float


class Batch(Struct, frozen=True):
    kept: list[tuple[CallKey, Claim, float]]
    sure: int = 0  # from here on it knew all, by this list, or NO_MORE; 0: as before


def boot_id() -> str:
    """Of this boot of the machine; empty where the system does not tell, and nothing is trusted then."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""


class GrantLog:
    """Owns the folder: its lock, the file that is written, and the one before."""

    def __init__(self, folder: Path, fleet: str, name: str, now_ms: float, life_ms: float, boot: str) -> None:
        """Reads what is there. Raises DiskError where the folder is another's or can't be used; what can't
        be trusted is set aside, and `why` says so."""
        self.folder, self._fleet, self._name, self._boot = folder, fleet, name, boot
        self._life_ms = life_ms
        self.kept: list[StoredGrant] = []
        self.sure = 0  # the list of members by which it knew all, at the end
        self.why = ""  # it is not trusted; empty: what is kept is all that was ever told
        self._file: int | None = None
        self._number = self._generation = 0
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

    # --- reading --------------------------------------------------------------------------------

    def _files(self) -> list[Path]:
        found = [path for path in self.folder.glob("keeper-*.log") if path.stem[7:].isdigit()]
        return sorted(found, key=lambda path: int(path.stem[7:]))

    def _read(self, now_ms: float) -> None:
        files = self._files()
        heads: list[Head | None] = []
        for path in files[-2:]:
            heads.append(self._read_one(path))
        self._generation = int(files[-1].stem[7:]) if files else 0
        if not files:
            self.why = "no file"
        elif any(head is None for head in heads):
            self.why = self.why or "damaged"
        elif not self._boot or any(head.boot != self._boot for head in heads):
            self.why = "of another boot"
        else:
            last = heads[-1]
            alone = len(heads) < 2 or heads[0].generation != last.generation - 1
            if not last.whole and alone and now_ms - last.began_ms < self._life_ms:
                self.why = "the file before the last one is missing"
        self.kept = [] if self.why in ("of another boot", "no file") else self.kept

    def _read_one(self, path: Path) -> Head | None:
        try:
            data = path.read_bytes()
            inode = path.stat().st_ino
        except OSError as error:
            raise DiskError(f"{path}: {error.strerror}") from None
        found, _, damaged = scan_records(data)
        try:
            head = msgspec.json.decode(found[0][1], type=Head) if found else None
            batches = [msgspec.json.decode(content, type=Batch) for _, content in found[1:]]
        except msgspec.DecodeError:
            head, batches = None, []
        if head is None:
            self.why = f"{path.name}: no head"
            return None
        if (head.fleet, head.name) != (self._fleet, self._name):
            raise DiskError(f"{path}: of {head.name} in fleet {head.fleet}")
        self.kept += [kept for batch in batches for kept in batch.kept]
        self.sure = head.sure
        for batch in batches:
            self.sure = max(0, batch.sure) if batch.sure else self.sure
        if damaged or [number for number, _ in found] != list(range(1, len(found) + 1)):
            self.why = f"{path.name}: damaged"
        elif head.version != VERSION:
            self.why = f"{path.name}: version {head.version}"
        elif head.inode != inode:
            self.why = f"{path.name}: a copy"
        return None if self.why else head

    # --- writing --------------------------------------------------------------------------------

    def begin(self, now_ms: float, sure: int, held: list[StoredGrant] | None) -> None:
        """A new file, with all that is held where that is told; the last one stays beside one that is not
        whole. Raises DiskError."""
        before = self._files()
        self._close_file()
        self._generation += 1
        path = self.folder / f"keeper-{self._generation}.log"
        beside = path.with_suffix(".new")
        try:
            self._file = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o644)
            head = Head(
                VERSION, self._fleet, self._name, self._boot, os.fstat(self._file).st_ino, max(0, sure),
                self._generation, held is not None, now_ms,
            )  # fmt: skip
            self._number = 0
            self._append(head)
            for n in range(0, len(held or ()), BATCH):
                self._append(Batch(held[n : n + BATCH]))
            os.rename(beside, path)
        except OSError as error:
            self._close_file()
            raise DiskError(f"{path}: {error.strerror}") from None
        self._began_ms = now_ms
        for path in before if held is not None else before[:-1]:
            with contextlib.suppress(OSError):
                path.unlink()

    def _append(self, value: Struct) -> None:
        self._number += 1
        data = encode_record(self._number, value)
        if os.write(self._file, data) != len(data):
            raise OSError(28, "no room for a whole record")

    def write(self, now_ms: float, kept: list[StoredGrant], sure: int) -> None:
        """Before anything that rests on these is said. Raises DiskError: then nothing may rest on them, and
        nothing more is written behind what may be half a record."""
        if self._file is None:
            raise DiskError(f"{self.folder}: not begun")
        if now_ms - self._began_ms >= self._life_ms:
            self.begin(now_ms, sure, None)
        try:
            self._append(Batch(kept, sure))
        except OSError as error:
            self._close_file()
            raise DiskError(f"{self.folder}: {error.strerror}") from None

    def _close_file(self) -> None:
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def close(self) -> None:
        self._close_file()
        os.close(self._lock)
