"""The durable store of one front end: the entries in a folder, read and changed from the event loop.

Only two calls wait for the disk: `open_store`, which reads the folder, and `Store.close`, for a bounded time.
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

CommitCallback = Callable[[bool, str], None]  # on_disk, and the reason if that is not certain
CLOSE_POLL_INTERVAL_S = 0.005


def unix_ms() -> float:
    """The Unix time in milliseconds."""
    return time.time() * 1_000.0


class Store:
    """Owns the core, the job runner, and the callbacks of commit tickets."""

    def __init__(self, core: StoreCore, runner: JobRunner, recovered: FolderState) -> None:
        """`recovered` is the state read from the folder at the start."""
        self.core = core
        self.runner = runner
        self.recovered = recovered
        self._callbacks: dict[int, CommitCallback] = {}
        self._release: Callable[[], None] = lambda: None

    def on_release(self, release: Callable[[], None]) -> None:
        """Set the function that `close` calls last, to unlock the folder."""
        self._release = release

    def get(self, kind: str, key: str) -> Any:
        """The latest value of an entry, on disk or not; None if there is no entry."""
        value = self.core.entries.get((kind, key))
        return None if value is None else msgspec.json.decode(value)

    def items(self, kind: str) -> list[tuple[str, Any]]:
        """The keys and values of all entries of a kind."""
        encoded = [(key[1], value) for key, value in self.core.entries.items() if key[0] == kind]
        return [(key, msgspec.json.decode(value)) for key, value in encoded]

    def put(
        self, now_ms: float, kind: str, key: str, value: Any, callback: CommitCallback | None = None
    ) -> None:
        """Set an entry, or delete it if the value is None.

        `callback` is called once, from `advance`, and only for a kind that is `SYNCED`. Raises
        ChangeRejectedError if the change is rejected; the entry then stays as it is.
        """
        ticket = self.core.put(now_ms, kind, key, value)
        if ticket and callback is not None:
            self._callbacks[ticket] = callback

    def advance(self, now_ms: float) -> None:
        """Process the last job's result, call the callbacks of decided tickets, and start the next job.

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
        """Time of the next call of `advance`; None: after the next change or result."""
        return self.core.due_ms()

    def status(self, now_ms: float) -> StoreStatus:
        """The store's status."""
        return self.core.status(now_ms)

    def position(self) -> FolderPosition:
        """The last position that is certain to be on disk, which may be sent to other members."""
        return self.core.position()

    def close(self, clock: Callable[[], float], within_ms: float = 2_000.0) -> bool:
        """Write everything to disk, mark the shutdown as graceful, and release the folder.

        Returns whether everything was on disk in time. In any case, the folder is released when the job in
        progress has ended.
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
    """The member that owns a store, and what the process that opens the store knows."""

    fleet: str
    name: str
    boot: str = ""  # boot ID of the machine; empty if unknown
    empty_ok: bool = False  # whether the folder may be empty, as the member is new
    reported: tuple[FolderPosition, ...] = ()  # positions of this folder that other members know


@dataclass(frozen=True, slots=True)
class Sources:
    """The clock, the disk ID generator and the core class of a store, which tests replace."""

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
        cause = f"{size} bytes, more than a folder with a limit of {limits.state_bytes} bytes can reach"
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
    """Create a store on any file system. Raises UnreadableFolderError and OSError."""
    sources = sources or Sources()
    recovered = inspect_folder(files, owner.fleet, owner.name, limits)
    if recovered.fresh and not owner.empty_ok:
        raise UnreadableFolderError("", "empty, but this member is not declared as new")
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
    """Open the store in a folder.

    The lock is tried for `within_s` seconds, because the writer of a killed process holds it until its last
    job is done. Raises DiskError with one line that names the path and the cause. The folder is then
    unchanged, except that a missing folder and its lock file have been created.
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
