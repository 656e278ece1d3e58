"""Decides what is written to disk and when, and when callers are notified. Does no I/O.

The caller passes in the time, executes the jobs that it gets, and passes their results back. One job is in
progress at a time; changes that arrive meanwhile are collected for the next commit group. At the start and
after a failure, no log is open. All entries are then rewritten, into a snapshot and a new log, before any
change is reported as being on disk.
"""

from collections.abc import Callable, Generator
from typing import Any

import msgspec

from fawnwharf.consensus.records import encode_record
from fawnwharf.durable_store import file_format
from fawnwharf.durable_store.disk_faults import DiskFaults
from fawnwharf.durable_store.entry_table import ChangeRejectedError, EntryTable
from fawnwharf.durable_store.file_format import Durability
from fawnwharf.durable_store.folder_reader import FolderPosition, FolderState
from fawnwharf.durable_store.job_steps import Rewrite, Step, removal
from fawnwharf.durable_store.operations import (
    AppendBytes,
    CreateFile,
    DiskJob,
    DiskOperation,
    JobResult,
    RenameFile,
    SyncFile,
    SyncFolder,
)
from fawnwharf.durable_store.pending_changes import PendingChanges
from fawnwharf.durable_store.status import StoreStatus, TicketResult


class StoreCore:
    """Owns the entries, the changes that are not written yet, and the commit tickets."""

    def __init__(
        self,
        limits: file_format.StoreLimits,
        kinds: list[file_format.EntryKind],
        header: file_format.FileHeader,
        recovered: FolderState,
        unix_ms: Callable[[], float],
    ) -> None:
        """`header` is a template for files of this incarnation; `recovered` is the folder's state."""
        self.limits = limits
        self.number = recovered.position.number  # of the last commit group
        self.synced = self.number
        self.counts: dict[str, int] = {}
        self.finished = False  # whether the last group of a graceful shutdown is on disk
        self._table = EntryTable(recovered.entries, kinds, limits.state_bytes)
        self._header = header
        self._unix_ms = unix_ms
        self._position = FolderPosition(header.disk_id, 0, 0)
        self._shutting_down = False

        self._pending = PendingChanges(limits)
        self._last_ticket = 0
        self._waiting_tickets: dict[int, float] = {}  # tickets of the next group, with their deadlines
        self._tickets_in_progress: dict[int, float] = {}  # tickets of the group being written, with deadlines
        self._unsynced_since_ms: float | None = None  # time of the oldest change, `BEST_EFFORT` excluded

        self._sequence = recovered.last_sequence
        self._file_names = set(recovered.file_names)
        self._log = ""  # name of the open log; empty if none is open
        self._log_bytes = 0  # size of the open log
        self._log_first_group = 0  # number of the first group in the open log
        self._snapshot_bytes = 0
        self._synced_in_log = 0  # largest value of `synced` that the open log records
        self._synced_ms = 0.0  # when `synced` last changed

        self._rewrite: Rewrite | None = None  # the rewrite in progress, if any
        self._rewrite_result: JobResult | None = None
        self._rewrite_is_next = False  # jobs of groups and of rewrites alternate
        self._step: Step | None = None  # the job in progress
        self._step_is_of_rewrite = False
        self._step_ms = 0.0
        self._faults = DiskFaults(limits)

    # --- changes ------------------------------------------------------------------------------------

    @property
    def entries(self) -> file_format.Entries:
        """All entries with their latest values, on disk or not."""
        return self._table.entries

    def put(self, now_ms: float, kind: str, key: str, value: Any) -> int:
        """Set an entry to a value that JSON can represent, or delete it for None.

        Returns a commit ticket for a kind that is `SYNCED`, else 0. Raises ChangeRejectedError.
        """
        durability = self._table.kinds[kind].durability
        data = None if value is None else msgspec.json.encode(value)
        if data == file_format.DELETED:  # NaN is encoded as null
            data = None
        if self._shutting_down:
            raise ChangeRejectedError("the store is ending")
        if durability == Durability.SYNCED and self._faults.reason:
            raise ChangeRejectedError(f"not durable now: {self._faults.reason}")
        self._table.change((kind, key), data)
        self._pending.add(now_ms, (kind, key), durability, len(self.entries))
        if self._unsynced_since_ms is None and durability != Durability.BEST_EFFORT:
            self._unsynced_since_ms = now_ms
        if durability != Durability.SYNCED:
            return 0
        self._last_ticket += 1
        self._waiting_tickets[self._last_ticket] = now_ms + self.limits.wait_ms
        return self._last_ticket

    def shut_down(self) -> None:
        """Reject further changes. The last group written contains the pending ones and marks the shutdown."""
        self._shutting_down = True

    def confirm(self) -> None:
        """Record that other members confirmed the recovered state; new files then mention no repair."""
        self._header = msgspec.structs.replace(self._header, repaired="")
        if self._log and self._rewrite is None:
            self._rewrite = self._rotate()

    # --- jobs ---------------------------------------------------------------------------------------

    def due_ms(self) -> float | None:
        """Time of the next call of `next_job` or `expire_tickets`; None: after the next change or result."""
        times: list[float | None] = [
            *list(self._waiting_tickets.values())[:1],
            *list(self._tickets_in_progress.values())[:1],
        ]
        if self._step is None:
            times += [self._group_due_ms(), self._rewrite_due_ms()]
        return min((time for time in times if time is not None), default=None)

    @property
    def job_in_progress(self) -> bool:
        """Whether `next_job` returned a job whose result has not been passed in yet."""
        return self._step is not None

    def _group_due_ms(self) -> float | None:
        if not self._log or self.finished:
            return None
        times = self._pending.due_ms()
        if self._next_group_is_last:
            times.append(0.0)
        elif self._synced_in_log < self.synced:
            times.append(self._synced_ms + self.limits.soon_ms)
        return min(times, default=None)

    @property
    def _next_group_is_last(self) -> bool:
        return self._shutting_down and self._rewrite is None

    def _rewrite_due_ms(self) -> float | None:
        if self._rewrite is not None:
            return 0.0
        return None if self._log or self.finished else self._faults.retry_ms

    def next_job(self, now_ms: float) -> DiskJob | None:
        """The next job for the disk; None if there is none or one is still in progress."""
        if self._step is not None:
            return None
        if self._pending.overflowed:
            self._pending.overflowed = False
            self._log = ""
            self._rewrite = None
        group_is_due = _is_due(self._group_due_ms(), now_ms)
        step = None
        if _is_due(self._rewrite_due_ms(), now_ms) and (self._rewrite_is_next or not group_is_due):
            step = self._next_rewrite_step()
        self._step_is_of_rewrite = step is not None
        if step is None and _is_due(self._group_due_ms(), now_ms):
            step = self._next_group()
        self._rewrite_is_next = not self._rewrite_is_next
        self._step = step
        self._step_ms = now_ms
        return None if step is None else step.job

    def finish_job(self, now_ms: float, result: JobResult) -> list[TicketResult]:
        """Process the result of the job in progress; return the tickets that it decides."""
        step = self._step
        self._step = None
        if step is None:
            return []
        if result.error:
            return self._fail(now_ms, result.error)
        if self._step_is_of_rewrite:
            self._rewrite_result = result
        if step.opens:
            self._log = step.opens
            self._log_bytes = step.opens_bytes
            self._faults.clear()
        if not step.commits:
            return []
        return self._commit(now_ms, step)

    def _commit(self, now_ms: float, step: Step) -> list[TicketResult]:
        self.synced = step.commits
        self._synced_ms = now_ms
        self._position = FolderPosition(self._header.disk_id, self._header.incarnation, self.synced)
        self._unsynced_since_ms = self._pending.oldest_durable_ms()
        self.finished = step.is_last
        tickets = self._tickets_in_progress
        self._tickets_in_progress = {}
        return [TicketResult(ticket, True) for ticket in tickets]

    def expire_tickets(self, now_ms: float) -> list[TicketResult]:
        """Fail the tickets whose deadline has passed."""
        queues = (self._tickets_in_progress, self._waiting_tickets)
        expired = [
            ticket for queue in queues for ticket, deadline_ms in queue.items() if deadline_ms <= now_ms
        ]
        for ticket in expired:
            self._tickets_in_progress.pop(ticket, None)
            self._waiting_tickets.pop(ticket, None)
        self._count("late", len(expired))
        return [TicketResult(ticket, False, "the disk is slow") for ticket in expired]

    def _fail(self, now_ms: float, why: str) -> list[TicketResult]:
        # A failed sync may have lost earlier data of the same file, and a second sync would not report that.
        # So the file is abandoned, and all entries are rewritten.
        self._faults.record(now_ms, why)
        self._log = ""
        self._rewrite = None
        self._count("failures", 1)
        tickets = [*self._tickets_in_progress, *self._waiting_tickets]
        self._tickets_in_progress = {}
        self._waiting_tickets = {}
        self._pending.drop_urgency()
        return [TicketResult(ticket, False, why) for ticket in tickets]

    def status(self, now_ms: float) -> StoreStatus:
        """The store's status; times in milliseconds."""
        job_ms = 0.0 if self._step is None else now_ms - self._step_ms
        since_ms = self._unsynced_since_ms
        return StoreStatus(
            failing=self._faults.reason,
            slow_ms=job_ms if job_ms > self.limits.slow_ms else 0.0,
            behind_ms=0.0 if since_ms is None else now_ms - since_ms,
            entries=len(self.entries),
            state_bytes=self._table.size_bytes,
            number=self.number,
            synced=self.synced,
            counts=dict(self.counts),
        )

    def position(self) -> FolderPosition:
        """The last position that is certain to be on disk, which may be sent to other members.

        Its incarnation is 0 until the store is settled.
        """
        return self._position

    @property
    def settled(self) -> bool:
        """Whether the state recovered at the start is certain to be on disk.

        Data that a killed process wrote can be read, but a power loss may still remove it. Until it has been
        rewritten, no message to other members may rely on it.
        """
        return self._position.incarnation > 0

    def _count(self, counter: str, by: int) -> None:
        if by:
            self.counts[counter] = self.counts.get(counter, 0) + by

    # --- commit groups ------------------------------------------------------------------------------

    def _next_group(self) -> Step:
        is_last = self._next_group_is_last
        needs_sync = is_last or self._pending.need_sync
        operations: list[DiskOperation] = [self._append_group(is_last=is_last)]
        if needs_sync:
            operations.append(SyncFile(self._log))
        self._count("syncs" if needs_sync else "marks", 1)
        commits = self.number if needs_sync else 0
        return Step(DiskJob(tuple(operations)), commits, is_last=is_last)

    def _append_group(self, *, is_last: bool = False) -> AppendBytes:
        """Append all pending changes as the next group; their tickets are in progress from then on."""
        self.number += 1
        changes = [(key, self.entries.get(key)) for key in self._pending.keys]
        data = file_format.encode_group(self.number, self.synced, self._unix_ms(), changes, is_last)
        self._synced_in_log = self.synced
        self._log_bytes += len(data)
        self._clear_pending()
        max_bytes = max(self.limits.segment_bytes, self._snapshot_bytes)
        if self._rewrite is None and not is_last and self._log_bytes > max_bytes:
            self._rewrite = self._rotate()
        return AppendBytes(self._log, data)

    def _clear_pending(self) -> None:
        self._tickets_in_progress.update(self._waiting_tickets)
        self._waiting_tickets = {}
        self._pending.clear()

    # --- snapshots and logs -------------------------------------------------------------------------

    def _next_rewrite_step(self) -> Step | None:
        if self._rewrite is None:
            self._rewrite = self._rewrite_all()
            self._rewrite_result = None
        result = self._rewrite_result
        self._rewrite_result = None
        try:
            return self._rewrite.send(result)
        except StopIteration:
            self._rewrite = None
            return None

    def _rewrite_all(self) -> Rewrite:
        """Write all entries into a new snapshot and open a new log, while no log is open."""
        self._sequence += 1
        self.number += 1
        number = self.number
        entries = dict(self.entries)
        temporary = {name for name in self._file_names if name.endswith(file_format.TEMPORARY_SUFFIX)}
        self._clear_pending()
        if temporary:  # removed first, because they may be what fills a full disk
            yield Step(removal(temporary))
            self._file_names -= temporary
        yield from self._write_snapshot(self._sequence, number, entries)
        yield from self._open_log(self._sequence, None)
        yield from self._remove_older(self._sequence)

    def _rotate(self) -> Rewrite:
        """Open a new log and write its snapshot, while groups are still being written."""
        self._sequence += 1
        sequence = self._sequence
        entries: list[file_format.Entries] = []
        yield from self._open_log(sequence, entries)
        yield from self._write_snapshot(sequence, self._log_first_group - 1, entries[0])
        yield from self._remove_older(sequence)

    def _create_file(
        self, file_kind: file_format.FileKind, name: str
    ) -> Generator[Step, JobResult | None, file_format.FileHeader]:
        temporary = name + file_format.TEMPORARY_SUFFIX
        self._file_names |= {name, temporary}
        result = yield Step(DiskJob((CreateFile(temporary),)))
        inode = 0 if result is None else result.inode
        return msgspec.structs.replace(self._header, inode=inode, file_kind=file_kind, at_ms=self._unix_ms())

    def _write_snapshot(self, sequence: int, number: int, entries: file_format.Entries) -> Rewrite:
        name = file_format.snapshot_name(sequence)
        temporary = name + file_format.TEMPORARY_SUFFIX
        header = yield from self._create_file(file_format.SNAPSHOT, name)
        data = encode_record(0, msgspec.structs.replace(header, number=number))
        written = 0
        for chunk in file_format.encode_snapshot(entries, self.limits.piece_bytes):
            written += len(data) + len(chunk)
            yield Step(DiskJob((AppendBytes(temporary, data + chunk), SyncFile(temporary))))
            data = b""
        commits = 0 if self._log else number
        yield Step(DiskJob((RenameFile(temporary, name), SyncFolder())), commits)
        self._snapshot_bytes = written
        self._file_names.discard(temporary)

    def _open_log(self, sequence: int, final_entries: list[file_format.Entries] | None) -> Rewrite:
        """Open a new log.

        With `final_entries`, the log that is still open gets a last group, and the entries as of that group
        are appended to this list.
        """
        name = file_format.log_name(sequence)
        temporary = name + file_format.TEMPORARY_SUFFIX
        header = yield from self._create_file(file_format.LOG, name)
        operations: list[DiskOperation] = []
        if final_entries is not None:
            operations = [self._append_group(), SyncFile(self._log)]
            final_entries.append(dict(self.entries))
        commits = self.number if operations else 0
        self._log_first_group = self.number + 1
        data = encode_record(0, msgspec.structs.replace(header, number=self._log_first_group))
        self._synced_in_log = self.number  # the first group number in the new header implies it
        operations += [
            AppendBytes(temporary, data),
            SyncFile(temporary),
            RenameFile(temporary, name),
            SyncFolder(),
        ]
        yield Step(DiskJob(tuple(operations)), commits, name, len(data))
        self._file_names.discard(temporary)

    def _remove_older(self, sequence: int) -> Rewrite:
        files = file_format.store_files(self._file_names)
        older = {name for name, file in files.items() if file.sequence < sequence}
        if older:
            yield Step(removal(older))
            self._file_names -= older


def _is_due(due_ms: float | None, now_ms: float) -> bool:
    return due_ms is not None and due_ms <= now_ms
