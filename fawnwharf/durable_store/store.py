"""The store: a folder's entries, as one front end reads and changes them in its loop.

Nothing here waits for the disk but `open_folder`, which reads, and `close`, which is given a bound.
"""

import os
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec

from fawnwharf.consensus.records import DiskError
from fawnwharf.durable_store import file_format as f
from fawnwharf.durable_store.core import ChangeRejectedError, StoreCore, StoreStatus
from fawnwharf.durable_store.folder import DiskFolder, lock_folder
from fawnwharf.durable_store.folder_reader import (
    FolderPosition,
    FolderState,
    UnreadableFolderError,
    files_in_use,
    read_folder,
    rollback_reason,
)
from fawnwharf.durable_store.operations import FileSystem
from fawnwharf.durable_store.writer_process import JobRunner, WriterProcess

__all__ = ["ChangeRejectedError", "Store", "inspect_folder", "open_store"]

CommitCallback = Callable[[bool, str], None]  # whether it is on disk; if not, why that is unsure
POLL_INTERVAL_S = 0.005  # pace of looks at the writer while the store ends


def unix_ms() -> float:
    return time.time() * 1_000.0


class Store:
    """Owns the core, the runner and who is told of which ticket."""

    def __init__(
        self,
        core: StoreCore,
        runner: JobRunner,
        found: FolderState,
        release: Callable[[], None] = lambda: None,
    ) -> None:
        """`found`: what was there at the start; `release` gives the folder back."""
        self.core, self.runner, self.found, self._release = core, runner, found, release
        self._told: dict[int, CommitCallback] = {}

    def get(self, kind: str, key: str) -> Any:
        """The entry as it was last put, on disk or not; None where there is none."""
        value = self.core.entries.get((kind, key))
        return None if value is None else msgspec.json.decode(value)

    def items(self, kind: str) -> list[tuple[str, Any]]:
        mine = [(key[1], value) for key, value in self.core.entries.items() if key[0] == kind]
        return [(key, msgspec.json.decode(value)) for key, value in mine]

    def put(self, now_ms: float, kind: str, key: str, value: Any, told: CommitCallback | None = None) -> None:
        """The entry is this from now on; None: there is none. `told` is called once, from `turn`, and only
        for a `synced` kind. Raises Refused, and then nothing has changed."""
        ticket = self.core.put(now_ms, kind, key, value)
        if ticket and told is not None:
            self._told[ticket] = told

    def turn(self, now_ms: float) -> None:
        """At the end of each turn of the loop, and when `due_ms` is reached or the writer's output is
        readable: takes in what came of the last job, tells who waited, gives out the next job."""
        ended = []
        outcome = self.runner.poll()
        if outcome is not None:
            ended += self.core.done(now_ms, outcome)
        ended += self.core.late(now_ms)
        job = self.core.take(now_ms)
        if job is not None:
            self.runner.start(job)
        for end in ended:
            told = self._told.pop(end.ticket, None)
            if told is not None:
                told(end.on_disk, end.why)

    def due_ms(self) -> float | None:
        return self.core.due_ms()

    def standing(self, now_ms: float) -> StoreStatus:
        return self.core.standing(now_ms)

    def sign(self) -> FolderPosition:
        return self.core.sign()

    def close(self, clock: Callable[[], float], within_ms: float = 2_000.0) -> bool:
        """Brings everything to disk and says there that it ended in order; whether that was done in time. The
        folder is given back in any case, once the job that is out is done."""
        self.core.end()
        until = clock() + within_ms
        while not self.core.ended and (now := clock()) < until:
            self.turn(now)
            if not self.core.ended:
                time.sleep(POLL_INTERVAL_S)
        self.runner.close()
        self._release()
        return self.core.ended


def inspect_folder(files: FileSystem, fleet: str, name: str, limits: f.StoreLimits) -> FolderState:
    """What the files of a folder hold. Raises Unreadable, OSError."""
    names = files.names()
    order = files_in_use(names)
    size = sum(names[each] for each in order)
    if size > limits.folder_bytes:
        raise UnreadableFolderError(
            "", f"{size} bytes, more than a folder of {limits.state_bytes} can have grown to"
        )
    return read_folder({each: files.read(each) for each in order}, names, fleet, name)


def create_store(
    files: FileSystem,
    runner: JobRunner,
    fleet: str,
    name: str,
    kinds: list[f.EntryKind],
    limits: f.StoreLimits,
    boot: str,
    draw: Callable[[], str],
    unix: Callable[[], float],
    empty_ok: bool,
    heard: Iterable[FolderPosition] = (),
    release: Callable[[], None] = lambda: None,
    core: type[StoreCore] = StoreCore,
) -> Store:
    """A store on any file system. Raises Unreadable, OSError."""
    found = inspect_folder(files, fleet, name, limits)
    if found.fresh and not empty_ok:
        raise UnreadableFolderError("", "empty, and this member is not said to be new")
    if why := rollback_reason(found, heard):
        raise UnreadableFolderError(found.read[-1], why)
    head = f.FileHeader(
        f.VERSION, fleet, name, found.sign.mark or draw(), found.sign.life + 1, boot, unix(), f.SNAPSHOT, 0,
        repaired=found.repaired,
    )  # fmt: skip
    return Store(core(limits, kinds, head, found, unix), runner, found, release)


def open_store(
    path: str | Path, fleet: str, name: str, kinds: list[f.EntryKind], limits: f.StoreLimits | None = None,
    boot: str = "", empty_ok: bool = False, heard: Iterable[FolderPosition] = (), within_s: float = 0.0,
) -> Store:  # fmt: skip
    """The store in a folder. `boot` names this boot of the machine; `empty_ok`: the member is new; `heard`:
    how far others have heard that this folder had come; `within_s`: for so long the lock is asked for, as the
    writer of a process that was killed has it until its last job is done. Raises DiskError, one line that
    names path and cause, and has then changed nothing but made a folder that was not there."""
    path, limits = Path(path), limits or f.StoreLimits()
    held = lock_folder(path, within_s=within_s)
    writer = WriterProcess(path, held)
    try:
        store = create_store(
            DiskFolder(path), writer, fleet, name, kinds, limits, boot, lambda: os.urandom(8).hex(),
            unix_ms, empty_ok, heard, lambda: os.close(held),
        )  # fmt: skip
        writer.begin()
        return store
    except (UnreadableFolderError, OSError) as error:
        os.close(held)
        if isinstance(error, UnreadableFolderError):
            text = f"{path / error.name if error.name else path}: {error.why}"
        else:
            text = f"{error.filename or path}: {error.strerror}"
        raise DiskError(text) from None
