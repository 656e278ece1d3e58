"""The store: a folder's entries, as one front end reads and changes them in its event loop.

Nothing here waits for the disk except `open_store`, which reads, and `Store.close`, whose wait is bounded.
"""

import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from fawnwharf.consensus.records import DiskError
from fawnwharf.durable_store import file_format
from fawnwharf.durable_store.core import StoreCore
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
from fawnwharf.durable_store.status import StoreStatus
from fawnwharf.durable_store.writer_process import JobRunner, WriterProcess

CommitCallback = Callable[[bool, str], None]  # whether the change is on disk; if not, why that is unknown
CLOSE_POLL_INTERVAL_S = 0.005


def unix_ms() -> float:
    """The wall clock, in Unix milliseconds."""
    return time.time() * 1_000.0


class Store:
    """Owns the core, the job runner, and the callbacks of commit tickets."""

    def __init__(self, core: StoreCore, runner: JobRunner, recovered: FolderState) -> None:
        """`recovered` is the folder's state at the start."""
        self.core = core
        self.runner = runner
        self.recovered = recovered
        self._callbacks: dict[int, CommitCallback] = {}
        self._release: Callable[[], None] = lambda: None

    def on_release(self, release: Callable[[], None]) -> None:
        """Set what `close` calls last, to unlock the folder."""
        self._release = release

    def get(self, kind: str, key: str) -> Any:
        """An entry's value as it was last changed, on disk or not; None if there is no entry."""
        value = self.core.entries.get((kind, key))
        return None if value is None else msgspec.json.decode(value)

    def items(self, kind: str) -> list[tuple[str, Any]]:
        """All entries of a kind: keys and values."""
        own = [(key[1], value) for key, value in self.core.entries.items() if key[0] == kind]
        return [(key, msgspec.json.decode(value)) for key, value in own]

    def put(
        self, now_ms: float, kind: str, key: str, value: Any, callback: CommitCallback | None = None
    ) -> None:
        """Set an entry, or delete it for None.

        `callback` is called once, from `advance`, and only for a kind that is `SYNCED`. Raises
        ChangeRejectedError; then nothing has changed.
        """
        ticket = self.core.put(now_ms, kind, key, value)
        if ticket and callback is not None:
            self._callbacks[ticket] = callback

    def advance(self, now_ms: float) -> None:
        """Take the last job's result, call the callbacks of decided tickets, and start the next job.

        Call it at the end of each event loop iteration, when `due_ms` is reached, and when the writer's
        output is readable.
        """
        decided = []
        result = self.runner.poll()
        if result is not None:
            decided += self.core.finish_job(now_ms, result)
        decided += self.core.expire_tickets(now_ms)
        job = self.core.next_job(now_ms)
        if job is not None:
            self.runner.start(job)
        for ticket in decided:
            callback = self._callbacks.pop(ticket.ticket, None)
            if callback is not None:
                callback(ticket.on_disk, ticket.why)

    def due_ms(self) -> float | None:
        """When `advance` has to be called; None: not before something happens."""
        return self.core.due_ms()

    def status(self, now_ms: float) -> StoreStatus:
        """The store's status."""
        return self.core.status(now_ms)

    def position(self) -> FolderPosition:
        """What other members may be sent of how far this folder has come."""
        return self.core.position()

    def close(self, clock: Callable[[], float], within_ms: float = 2_000.0) -> bool:
        """Write everything to disk, mark the shutdown as graceful, and release the folder.

        Returns whether that was done in time. The folder is released in any case, once the job in progress
        has ended.
        """
        self.core.shut_down()
        deadline_ms = clock() + within_ms
        while not self.core.finished and (now_ms := clock()) < deadline_ms:
            self.advance(now_ms)
            if not self.core.finished:
                time.sleep(CLOSE_POLL_INTERVAL_S)
        self.runner.close()
        self._release()
        return self.core.finished


@dataclass(frozen=True, slots=True)
class StoreOwner:
    """Whose store it is, and what the process that opens it knows."""

    fleet: str
    name: str
    boot: str = ""  # this boot of the machine; empty if unknown
    empty_ok: bool = False  # the member is new, so that its folder may be empty
    reported: tuple[FolderPosition, ...] = ()  # how far other members know this folder to have come


@dataclass(frozen=True, slots=True)
class Sources:
    """Where a store takes time and identities from; tests replace them."""

    unix_ms: Callable[[], float] = unix_ms
    draw_disk_id: Callable[[], str] = lambda: os.urandom(8).hex()
    core: type[StoreCore] = StoreCore


def inspect_folder(files: FileSystem, fleet: str, name: str, limits: file_format.StoreLimits) -> FolderState:
    """Read the state of a folder; an empty `fleet` or `name` accepts any.

    Raises UnreadableFolderError and OSError.
    """
    names = files.names()
    order = files_in_use(names)
    size = sum(names[each] for each in order)
    if size > limits.folder_bytes:
        cause = f"{size} bytes, more than a folder of {limits.state_bytes} can have grown to"
        raise UnreadableFolderError("", cause)
    return read_folder({each: files.read(each) for each in order}, names, fleet, name)


def create_store(
    files: FileSystem,
    runner: JobRunner,
    owner: StoreOwner,
    kinds: list[file_format.EntryKind],
    limits: file_format.StoreLimits,
    sources: Sources | None = None,
) -> Store:
    """A store on any file system. Raises UnreadableFolderError and OSError."""
    sources = sources or Sources()
    recovered = inspect_folder(files, owner.fleet, owner.name, limits)
    if recovered.fresh and not owner.empty_ok:
        raise UnreadableFolderError("", "empty, and this member is not said to be new")
    if why := rollback_reason(recovered, owner.reported):
        raise UnreadableFolderError(recovered.files_read[-1], why)
    header = file_format.FileHeader(
        version=file_format.VERSION,
        fleet=owner.fleet,
        name=owner.name,
        disk_id=recovered.position.disk_id or sources.draw_disk_id(),
        incarnation=recovered.position.incarnation + 1,
        boot=owner.boot,
        at_ms=sources.unix_ms(),
        file_kind=file_format.SNAPSHOT,
        number=0,
        repaired=recovered.repaired,
    )
    core = sources.core(limits, kinds, header, recovered, sources.unix_ms)
    return Store(core, runner, recovered)


def open_store(
    path: str | Path,
    owner: StoreOwner,
    kinds: list[file_format.EntryKind],
    limits: file_format.StoreLimits | None = None,
    within_s: float = 0.0,
) -> Store:
    """The store in a folder.

    `within_s` is for how long the lock is tried, as the writer of a killed process has it until its last job
    is done. Raises DiskError with one line that names path and cause; nothing has changed then, except that a
    folder that did not exist was created.
    """
    folder = Path(path)
    lock = lock_folder(folder, within_s=within_s)
    writer = WriterProcess(folder, lock)
    try:
        store = create_store(DiskFolder(folder), writer, owner, kinds, limits or file_format.StoreLimits())
    except UnreadableFolderError as error:
        os.close(lock)
        raise DiskError(f"{folder / error.name if error.name else folder}: {error.why}") from None
    except OSError as error:
        os.close(lock)
        raise DiskError(f"{error.filename or folder}: {error.strerror}") from None
    store.on_release(lambda: os.close(lock))
    writer.begin()
    return store
