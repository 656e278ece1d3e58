"""Stores with a planted bug each: what the crash tests have to find."""

import contextlib
from collections.abc import Callable, Iterator
from unittest import mock

from fawnwharf.consensus import records
from fawnwharf.durable_store.core import StoreCore
from fawnwharf.durable_store.operations import DiskJob, RenameFile, SyncFile, SyncFolder

Bend = Callable[[DiskJob], DiskJob]


def straight(job: DiskJob) -> DiskJob:
    return job


def _no_folder(job: DiskJob) -> DiskJob:
    return DiskJob(tuple(op for op in job.ops if not isinstance(op, SyncFolder)))


def _early_rename(job: DiskJob) -> DiskJob:
    """The name comes first, and a sync of what it names after it."""
    names = {op.old: op.new for op in job.ops if isinstance(op, RenameFile)}
    ops = [op for op in job.ops if not (isinstance(op, SyncFile) and op.name in names)]
    return DiskJob((*ops, *(SyncFile(new) for new in names.values())))


def _early_word(job: DiskJob) -> DiskJob:
    """Groups are told of once they are written."""
    if any(isinstance(op, RenameFile) for op in job.ops):
        return job
    return DiskJob(tuple(op for op in job.ops if not isinstance(op, SyncFile)))


class EarlyRemoval(StoreCore):
    """Throws older files away before what takes their place is there."""

    def _anew(self):
        yield from self._remove_older(self._seq + 1)
        yield from super()._anew()


class SyncsAgain(StoreCore):
    """Takes a failed sync for one that can be done again."""

    def done(self, now_ms, outcome):
        if outcome.failed and self._step is not None and self._segment and not self._script:
            self._again, self._step = self._step, None
            return []
        return super().done(now_ms, outcome)

    def take(self, now_ms):
        again, self._again = getattr(self, "_again", None), None
        if again is None:
            return super().take(now_ms)
        self._step, self._step_ms = again, now_ms
        return DiskJob(tuple(op for op in again.job.ops if isinstance(op, SyncFile)))


class NoLooks(StoreCore):
    """Tells of no earlier sync, so that damage reads as a torn tail."""

    def _group(self, final=False):
        said, self.synced = self.synced, 0
        try:
            return super()._group(final)
        finally:
            self.synced = said


@contextlib.contextmanager
def _number_alone() -> Iterator[None]:
    """The checksum is taken over the record's number, and not over what it holds."""
    with mock.patch.object(records, "checksum", lambda number, data: number * 2_654_435_761 % 2**32):
        yield


class Mutant:
    """One planted bug: a way to bend jobs, another core, or a patch that holds during a run."""

    def __init__(
        self,
        bend: Bend = straight,
        core: type[StoreCore] = StoreCore,
        patch: Callable = contextlib.nullcontext,
    ) -> None:
        self.bend, self.core, self.patch = bend, core, patch


UNCHANGED = Mutant()
MUTANTS = {
    "no sync of the folder": Mutant(bend=_no_folder),
    "rename before sync": Mutant(bend=_early_rename),
    "told before sync": Mutant(bend=_early_word),
    "checksum over the number alone": Mutant(patch=_number_alone),
    "older files removed first": Mutant(core=EarlyRemoval),
    "a failed sync done again": Mutant(core=SyncsAgain),
    "damage read as a torn tail": Mutant(core=NoLooks),
}
