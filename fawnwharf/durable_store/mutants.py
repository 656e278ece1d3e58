"""Mutants of the store: variants with a deliberate bug, which the crash simulation has to detect."""

import contextlib
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from dataclasses import dataclass
from unittest import mock

from fawnwharf.consensus import records
from fawnwharf.durable_store.core import StoreCore
from fawnwharf.durable_store.job_steps import Rewrite, Step
from fawnwharf.durable_store.operations import (
    AppendBytes,
    DiskJob,
    JobResult,
    RenameFile,
    SyncFile,
    SyncFolder,
)
from fawnwharf.durable_store.status import TicketResult

JobChange = Callable[[DiskJob], DiskJob]


def unchanged(job: DiskJob) -> DiskJob:
    """Return the job as it is."""
    return job


def _without_folder_sync(job: DiskJob) -> DiskJob:
    return DiskJob(tuple(operation for operation in job.operations if not isinstance(operation, SyncFolder)))


def _rename_before_sync(job: DiskJob) -> DiskJob:
    """Rename files before their content is synced."""
    new_names = {
        operation.old: operation.new for operation in job.operations if isinstance(operation, RenameFile)
    }
    operations = [
        operation
        for operation in job.operations
        if not (isinstance(operation, SyncFile) and operation.name in new_names)
    ]
    return DiskJob((*operations, *(SyncFile(name) for name in new_names.values())))


def _report_before_sync(job: DiskJob) -> DiskJob:
    """Report groups as being on disk after they are written, without a sync."""
    if any(isinstance(operation, RenameFile) for operation in job.operations):
        return job
    return DiskJob(tuple(operation for operation in job.operations if not isinstance(operation, SyncFile)))


class EarlyRemoval(StoreCore):
    """Removes older files before their replacement exists."""

    def _rewrite_all(self) -> Rewrite:
        yield from self._remove_older(self._sequence + 1)
        yield from super()._rewrite_all()


class RetriedSync(StoreCore):
    """Repeats a failed sync, as if the data were still in memory."""

    _repeated_step: Step | None = None

    def finish_job(self, now_ms: float, result: JobResult) -> list[TicketResult]:
        """Record a failed step of a group, to repeat its syncs."""
        if result.error and self._step is not None and self._log and not self._rewrite:
            self._repeated_step = self._step
            self._step = None
            return []
        return super().finish_job(now_ms, result)

    def next_job(self, now_ms: float) -> DiskJob | None:
        """Return the syncs of the failed step, if there is one."""
        step = self._repeated_step
        self._repeated_step = None
        if step is None:
            return super().next_job(now_ms)
        self._step = step
        self._step_ms = now_ms
        return DiskJob(
            tuple(operation for operation in step.job.operations if isinstance(operation, SyncFile))
        )


class UnrecordedSyncs(StoreCore):
    """Records no earlier sync in its groups, so that damage is mistaken for a torn tail."""

    def _append_group(self, *, is_last: bool = False) -> AppendBytes:
        synced = self.synced
        self.synced = 0
        try:
            return super()._append_group(is_last=is_last)
        finally:
            self.synced = synced


@contextlib.contextmanager
def _checksum_of_number() -> Iterator[None]:
    """Compute the checksum from the record's number alone."""
    with mock.patch.object(records, "record_checksum", lambda number, _data: number * 2_654_435_761 % 2**32):
        yield


@dataclass(frozen=True, slots=True)
class Mutant:
    """One bug: changed jobs, a different core, or a patch that is active during a run."""

    change_job: JobChange = unchanged
    core: type[StoreCore] = StoreCore
    patch: Callable[[], AbstractContextManager[None]] = contextlib.nullcontext


UNCHANGED = Mutant()
MUTANTS = {
    "no sync of the folder": Mutant(change_job=_without_folder_sync),
    "rename before sync": Mutant(change_job=_rename_before_sync),
    "told before sync": Mutant(change_job=_report_before_sync),
    "checksum over the number alone": Mutant(patch=_checksum_of_number),
    "older files removed first": Mutant(core=EarlyRemoval),
    "a failed sync done again": Mutant(core=RetriedSync),
    "damage read as a torn tail": Mutant(core=UnrecordedSyncs),
}
