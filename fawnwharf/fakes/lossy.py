"""A writer of durable state on a machine that can lose its power: what was not synced is in its memory.

It takes the place of `durable_store.writer_process` where `FAWNWHARF_TEST_WRITER` names this module. Files,
and the names
of a folder, are in the real folder once they were synced, or once the writer ends in order, as a page cache
outlives the processes that wrote. `SIGUSR1` is the loss of power with a last write that is torn: of each
file any blocks of what was not synced are there, and any changes of names, as its seed draws. `SIGKILL` is
the same with nothing of them. `FAWNWHARF_LOSSY` is its settings in JSON.
"""

import contextlib
import os
import random
import signal
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from msgspec import Struct

from fawnwharf.durable_store import writer_process
from fawnwharf.durable_store.operations import DiskJob, JobResult, execute_job

BLOCK = 64  # bytes that are on the disk together, as on the disk in memory
VARIABLE = "FAWNWHARF_LOSSY"
SAYS = {
    writer_process.TEST_WRITER_VARIABLE: "fawnwharf.fakes.lossy"
}  # the environment that puts it in the writer's place


class Lossy(Struct, frozen=True, forbid_unknown_fields=True):
    """`folder` gets a file for each of these writers that lives, named by its process id, and what is not in
    its place yet; it is on the file system of what is written. `bug`: one of those planted in
    `durable_store.mutants`, by name."""

    folder: str
    seed: int = 0
    share: float = 0.5  # of blocks and changes of names that are there after SIGUSR1
    bug: str = ""


@dataclass(slots=True, eq=False)
class _File:
    at: Path  # where the real one is now
    handle: int
    inode: int
    size: int = 0  # of what was synced
    unsynced: bytearray = field(default_factory=bytearray)


class LossyFolder:
    """One folder, as an `operations.FileSystem`; `cache` holds files whose names are not synced yet."""

    def __init__(self, path: str | Path, cache: Path) -> None:
        self.path, self._cache, self._count = Path(path), cache, 0
        self._files: dict[str, _File] = {}  # by the name that whoever writes knows it by
        self._changes: list[dict[str, _File | None]] = []  # of names, not synced
        cache.mkdir(parents=True, exist_ok=True)

    def begin(self, name: str) -> int:
        self._count += 1
        at = self._cache / str(self._count)
        handle = os.open(at, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        file = self._files[name] = _File(at, handle, os.fstat(handle).st_ino)
        self._changes.append({name: file})
        return file.inode

    def append(self, name: str, data: bytes) -> None:
        self._files[name].unsynced += data

    def sync(self, name: str) -> None:
        file = self._files[name]
        _write(file, bytes(file.unsynced))
        os.fsync(file.handle)
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGUSR1})  # both, or neither
        file.size += len(file.unsynced)
        file.unsynced.clear()
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGUSR1})

    def rename(self, old: str, new: str) -> None:
        self._files[new] = self._files.pop(old)
        self._changes.append({new: self._files[new], old: None})

    def sync_directory(self) -> None:
        self._place(self._changes)
        folder = os.open(self.path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def remove(self, name: str) -> None:
        self._files.pop(name, None)
        self._changes.append({name: None})

    def names(self) -> dict[str, int]:
        found = {each.name: each.stat().st_size for each in self.path.iterdir() if each.is_file()}
        for change in self._changes:
            for name, file in change.items():
                found.pop(name, None)
                if file is not None:
                    found[name] = 0
        return found | {name: file.size + len(file.unsynced) for name, file in self._files.items()}

    def read(self, name: str) -> tuple[bytes, int]:
        if (file := self._files.get(name)) is None:
            return (self.path / name).read_bytes(), (self.path / name).stat().st_ino
        return os.pread(file.handle, file.size, 0) + bytes(file.unsynced), file.inode

    # --- ends ---------------------------------------------------------------------------------------

    def settle(self) -> None:
        """All is in the folder, as after the end of a process on a machine that goes on."""
        for file in self._files.values():
            _write(file, bytes(file.unsynced))
        self._place(self._changes)

    def tear(self, chance: random.Random, share: float) -> None:
        """The power went: each block and each change of a name that was not synced is there by chance."""
        named = [file for change in self._changes for file in change.values() if file is not None]
        for file in dict.fromkeys([*named, *self._files.values()]):  # in an order that is the same each time
            kept = torn(file.size, bytes(file.unsynced), chance, share)
            os.ftruncate(file.handle, file.size)  # of a sync that was under way
            _write(file, kept)
        self._place([change for change in self._changes if chance.random() < share])

    def _place(self, changes: list[dict[str, _File | None]]) -> None:
        while changes:
            for name, file in changes[0].items():
                if file is not None and file.at.exists():
                    os.rename(file.at, self.path / name)
                    file.at = self.path / name
            for name, file in changes[0].items():
                if file is None:
                    (self.path / name).unlink(missing_ok=True)
            changes.pop(0)


def _write(file: _File, data: bytes) -> None:
    """Behind what was synced, and once more there if it was cut short."""
    done = 0
    while done < len(data):
        done += os.pwrite(file.handle, data[done:], file.size + done)


def torn(size: int, unsynced: bytes, chance: random.Random, share: float) -> bytes:
    """What of the bytes behind `size` is there after a cut: blocks of the file each by this chance, zeros for
    those that are missing before a later one."""
    kept = bytearray()
    for at in range(size - size % BLOCK, size + len(unsynced), BLOCK):
        start, end = max(at, size) - size, min(at + BLOCK - size, len(unsynced))
        if chance.random() < share:
            kept += bytes(start - len(kept)) + unsynced[start:end]
    return bytes(kept)


def cut(folder: Path, tear: bool) -> int:
    """All writers whose settings name this folder lose their power; how many did. What they leave is as it is
    once their folders' locks are free."""
    found = 0
    for mark in folder.glob("writer-*"):
        pid = int(mark.name[7:])
        with contextlib.suppress(OSError):
            if mark.read_bytes() == Path(f"/proc/{pid}/cmdline").read_bytes():  # the number may be another's
                os.kill(pid, signal.SIGUSR1 if tear else signal.SIGKILL)
                found += 1
        mark.unlink(missing_ok=True)
    return found


def main(path: str) -> None:
    """As `durable_store.writer_process.main`."""
    asked = msgspec.json.decode(os.environ[VARIABLE], type=Lossy)
    folder, pid = Path(asked.folder), os.getpid()
    files = LossyFolder(path, folder / f"cache-{pid}")

    def carry(job: DiskJob) -> JobResult:
        return execute_job(files, job)

    if asked.bug:
        from fawnwharf.durable_store.mutants import MUTANTS

        change_job = MUTANTS[asked.bug].change_job

        def carry(job: DiskJob) -> JobResult:
            return execute_job(files, change_job(job))

    def power(_number: int, _frame: object) -> None:
        files.tear(random.Random(f"{asked.seed}/{path}"), asked.share)
        os._exit(1)

    signal.signal(signal.SIGUSR1, power)
    mark = folder / f"writer-{pid}"
    mark.with_name(f"new-{pid}").write_bytes(Path("/proc/self/cmdline").read_bytes())
    os.rename(mark.with_name(f"new-{pid}"), mark)
    writer_process.serve(carry)
    files.settle()
    mark.unlink(missing_ok=True)
