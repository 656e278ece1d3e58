"""What is written to disk, and when; who is told, and when. Pure: times handed in, jobs out, outcomes in.

One job is out at a time, and what comes meanwhile gathers for the next group. No log is open at first, nor
after a failure: then all is written anew, a snapshot and then a log, before anything is told to be on disk.
"""

from collections.abc import Callable, Generator
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct

from fawnwharf.consensus.records import encode_record
from fawnwharf.durable_store import file_format as f
from fawnwharf.durable_store.folder_reader import FolderPosition, FolderState
from fawnwharf.durable_store.operations import (
    AppendBytes,
    CreateFile,
    DiskJob,
    JobResult,
    RemoveFile,
    RenameFile,
    SyncFile,
    SyncFolder,
)


class ChangeRejectedError(Exception):
    """A change that was not taken; the text says why. Nothing has changed."""


class TicketResult(NamedTuple):
    """A ticket's end. `on_disk` false: unsure, it may or may not be found later; nothing may rest on it."""

    ticket: int
    on_disk: bool
    why: str = ""


class StoreStatus(Struct, frozen=True):
    """How the store stands. `failing`: why nothing is durable now; `slow_ms`: for how long a job is out,
    where that is long; `behind_ms`: for how long the oldest change that is owed to the disk has waited."""

    failing: str = ""
    slow_ms: float = 0.0
    behind_ms: float = 0.0
    entries: int = 0
    state_bytes: int = 0
    number: int = 0
    synced: int = 0
    counts: dict[str, int] = {}


class _Step(NamedTuple):
    """A job, and up to which number all is on disk once it is done (0: no further than before); the log that
    is open then, and how long it is (empty: as before)."""

    job: DiskJob
    commits: int = 0
    opens: str = ""
    opens_bytes: int = 0
    ends: bool = False  # the last one


_Script = Generator[_Step, JobResult, None]


class StoreCore:
    """Owns the entries, what of them is not written yet, and who waits for it."""

    def __init__(
        self,
        limits: f.StoreLimits,
        kinds: list[f.EntryKind],
        head: f.FileHeader,
        found: FolderState,
        unix_ms: Callable[[], float],
    ) -> None:
        """`head`: a template for files of this life. What is found of kinds unknown here is kept as it is."""
        self.limits, self.kinds, self._unix_ms = limits, {kind.name: kind for kind in kinds}, unix_ms
        self._head, self._sign = head, FolderPosition(head.mark, 0, 0)
        self.entries = found.entries
        self.number = self.synced = found.sign.number
        self.counts: dict[str, int] = {}
        self._bytes = sum(f.entry_size(key, value) for key, value in found.entries.items())
        self._held: dict[str, int] = {}  # entries by kind
        for kind, _ in found.entries:
            self._held[kind] = self._held.get(kind, 0) + 1
        self._seq, self._names = found.seq, set(found.names)
        self._dirty: dict[f.EntryKey, None] = {}
        self._churned = False  # more changed than `_dirty` may name
        self._since: dict[str, float] = {}  # mode -> when the first change of the next group came
        self._tickets = 0
        self._waiting: dict[int, float] = {}  # ticket -> until when, for the next group
        self._out: dict[int, float] = {}  # the same, for the group that is out
        self._segment, self._segment_bytes, self._snapshot_bytes = "", 0, 0
        self._marked = 0  # the last `synced` that a record in the log tells
        self._synced_ms = 0.0  # when that came about
        self._log_from = 0  # the number of the log's first group
        self._script: _Script | None = None
        self._answer: JobResult | None = None
        self._turn_of_script = self._script_out = False
        self._behind_ms: float | None = None  # since when a change that is no hint is owed to the disk
        self._step: _Step | None = None  # the one that is out
        self._step_ms = 0.0
        self._failing, self._failures, self._retry_ms = "", 0, 0.0
        self._ending = self.ended = False

    # --- changes ------------------------------------------------------------------------------------

    def put(self, now_ms: float, kind: str, key: str, value: Any) -> int:
        """An entry is this from now on, JSON or None for gone; gives a ticket for a `synced` kind, else 0.
        Raises Refused."""
        rules, place = self.kinds[kind], (kind, key)
        data = None if value is None else msgspec.json.encode(value)
        if data == f.DELETED:  # as JSON has it, of what is no number
            data = None
        before = self.entries.get(place)
        if self._ending:
            raise ChangeRejectedError("the store is ending")
        if rules.mode == f.SYNCED and self._failing:
            raise ChangeRejectedError(f"not durable now: {self._failing}")
        grows = self._grows(place, before, data)
        if data is not None:
            if len(data) > rules.value_bytes:
                raise ChangeRejectedError(f"{kind}: {len(data)} bytes, and {rules.value_bytes} is the most")
            if before is None and self._held.get(kind, 0) >= rules.most:
                raise ChangeRejectedError(f"{kind}: {rules.most} entries is the most")
            if not rules.reserved and grows > 0 and self._bytes + grows > self.limits.state_bytes:
                raise ChangeRejectedError(f"{kind}: {self.limits.state_bytes} bytes in all is the most")
        self._bytes += grows
        self._held[kind] = self._held.get(kind, 0) + (data is not None) - (before is not None)
        if data is None:
            self.entries.pop(place, None)
        else:
            self.entries[place] = data
        self._dirty[place] = None
        if len(self._dirty) > 2 * len(self.entries) + self.limits.churn:
            # A slow disk must not let them grow for ever.
            self._dirty, self._churned = {}, True
        self._since.setdefault(rules.mode, now_ms)
        if self._behind_ms is None and rules.mode != f.HINT:
            self._behind_ms = now_ms
        if rules.mode != f.SYNCED:
            return 0
        self._tickets += 1
        self._waiting[self._tickets] = now_ms + self.limits.wait_ms
        return self._tickets

    def _grows(self, key: f.EntryKey, before: bytes | None, after: bytes | None) -> int:
        return sum(
            f.entry_size(key, each) * by for each, by in ((after, 1), (before, -1)) if each is not None
        )

    def end(self) -> None:
        """Nothing more is taken; the next groups bring what there is to disk, the last one says so."""
        self._ending = True

    def confirm(self) -> None:
        """Others have confirmed what was found: a repair is no longer told of in files from now on."""
        self._head = msgspec.structs.replace(self._head, repaired="")
        if self._segment and self._script is None:
            self._script = self._rotate()

    # --- the disk's turns ---------------------------------------------------------------------------

    def due_ms(self) -> float | None:
        """When `take` or `late` is to be asked next; None: not before something happens."""
        times = list(self._waiting.values())[:1] + list(self._out.values())[:1]
        if self._step is None:
            times += [self._group_due_ms(), self._script_due_ms()]
        return min((each for each in times if each is not None), default=None)

    @property
    def job_out(self) -> bool:
        return self._step is not None

    def _group_due_ms(self) -> float | None:
        if not self._segment or self.ended:
            return None
        after = {f.SYNCED: 0.0, f.SOON: self.limits.soon_ms, f.HINT: self.limits.hint_ms}
        times = [since + after[mode] for mode, since in self._since.items()]
        if self._final:
            times.append(0.0)
        elif self._marked < self.synced:
            times.append(self._synced_ms + self.limits.soon_ms)
        return min(times, default=None)

    @property
    def _final(self) -> bool:
        return self._ending and self._script is None

    def _script_due_ms(self) -> float | None:
        if self._script is not None:
            return 0.0
        return None if self._segment or self.ended else self._retry_ms

    def take(self, now_ms: float) -> DiskJob | None:
        """The next job for the disk; None where there is none now, or one is out."""
        if self._step is not None:
            return None
        if self._churned:
            self._segment, self._script, self._churned = "", None, False
        group, script = self._group_due_ms(), self._script_due_ms()
        step, self._script_out = None, False
        due = group is not None and group <= now_ms
        if script is not None and script <= now_ms and (self._turn_of_script or not due):
            step = self._next_of_script()
            self._script_out = step is not None
        if step is None and (due := self._group_due_ms()) is not None and due <= now_ms:
            step = self._next_group()
        self._turn_of_script = not self._turn_of_script
        self._step, self._step_ms = step, now_ms
        return None if step is None else step.job

    def done(self, now_ms: float, outcome: JobResult) -> list[TicketResult]:
        """What came of the job that is out."""
        step, self._step = self._step, None
        if step is None:
            return []
        if outcome.failed:
            return self._fail(now_ms, outcome.failed)
        if self._script_out:
            self._answer = outcome
        if step.opens:
            self._segment, self._segment_bytes = step.opens, step.opens_bytes
            self._failing, self._failures = "", 0
        if not step.commits:
            return []
        self.synced, self._synced_ms = step.commits, now_ms
        self._sign = FolderPosition(self._head.mark, self._head.life, self.synced)
        self._behind_ms = min((at for mode, at in self._since.items() if mode != f.HINT), default=None)
        self.ended = step.ends
        told, self._out = self._out, {}
        return [TicketResult(ticket, True) for ticket in told]

    def late(self, now_ms: float) -> list[TicketResult]:
        """The tickets that have waited for as long as they may."""
        queues = (self._out, self._waiting)
        gone = [each for queue in queues for each, until in queue.items() if until <= now_ms]
        for ticket in gone:
            self._out.pop(ticket, None)
            self._waiting.pop(ticket, None)
        self._count("late", len(gone))
        return [TicketResult(ticket, False, "the disk is slow") for ticket in gone]

    def _fail(self, now_ms: float, why: str) -> list[TicketResult]:
        # A failed sync may have lost what came before it in the same file, and a second one would not say so.
        self._failing, self._failures = why, self._failures + 1
        pause = self.limits.retry_ms * 2 ** min(self._failures - 1, 16)
        self._retry_ms = now_ms + min(pause, self.limits.retry_most_ms)
        self._segment, self._script = "", None
        self._count("failures", 1)
        told = [*self._out, *self._waiting]
        self._out, self._waiting = {}, {}
        self._since.pop(f.SYNCED, None)
        return [TicketResult(ticket, False, why) for ticket in told]

    def standing(self, now_ms: float) -> StoreStatus:
        out_ms = now_ms - self._step_ms if self._step is not None else 0.0
        behind = 0.0 if self._behind_ms is None else now_ms - self._behind_ms
        return StoreStatus(
            self._failing, out_ms if out_ms > self.limits.slow_ms else 0.0, behind,
            len(self.entries), self._bytes, self.number, self.synced, dict(self.counts),
        )  # fmt: skip

    def sign(self) -> FolderPosition:
        """What others may be told of how far this folder has come; of life 0 until it is settled."""
        return self._sign

    @property
    def settled(self) -> bool:
        """What was found is on disk for certain. What a killed process wrote is read, but a power cut may
        still take it: nothing that others are told may rest on it before."""
        return self._sign.life > 0

    def _count(self, what: str, by: int) -> None:
        if by:
            self.counts[what] = self.counts.get(what, 0) + by

    # --- groups -------------------------------------------------------------------------------------

    def _next_group(self) -> _Step:
        final = self._final
        synced = final or bool(self._since.keys() & {f.SYNCED, f.SOON})
        ops = [self._group(final)]
        if synced:
            ops.append(SyncFile(self._segment))
        self._count("syncs" if synced else "marks", 1)
        return _Step(DiskJob(tuple(ops)), self.number if synced else 0, ends=final)

    def _group(self, final: bool = False) -> AppendBytes:
        """All that changed, under the next number; its tickets go out with it."""
        self.number += 1
        changes = [(key, self.entries.get(key)) for key in self._dirty]
        data = f.encode_group(self.number, self.synced, self._unix_ms(), changes, final)
        self._marked = self.synced
        self._segment_bytes += len(data)
        self._clear()
        most = max(self.limits.segment_bytes, self._snapshot_bytes)
        if self._script is None and not final and self._segment_bytes > most:
            self._script = self._rotate()
        return AppendBytes(self._segment, data)

    def _clear(self) -> None:
        self._out.update(self._waiting)
        self._dirty, self._waiting, self._since = {}, {}, {}

    # --- snapshots and logs -------------------------------------------------------------------------

    def _next_of_script(self) -> _Step | None:
        if self._script is None:
            self._script, self._answer = self._anew(), None
        try:
            step = self._script.send(self._answer)
        except StopIteration:
            self._script = step = None
        self._answer = None
        return step

    def _anew(self) -> _Script:
        """Everything, into new files, while no log is open."""
        self._seq += 1
        self.number += 1
        number, entries = self.number, dict(self.entries)
        beside = {name for name in self._names if name.endswith(f.TEMPORARY_SUFFIX)}
        self._clear()
        if beside:  # on a full disk they may be what fills it
            yield _Step(DiskJob(tuple(RemoveFile(name) for name in sorted(beside))))
            self._names -= beside
        yield from self._snapshot(self._seq, number, entries)
        yield from self._log(self._seq, None)
        yield from self._remove_older(self._seq)

    def _rotate(self) -> _Script:
        """A new log, and a snapshot beside it, while groups go on."""
        self._seq += 1
        entries: list[f.Entries] = []
        seq = self._seq
        yield from self._log(seq, entries)
        yield from self._snapshot(seq, self._log_from - 1, entries[0])
        yield from self._remove_older(seq)

    def _begin(self, name: str) -> Generator[_Step, JobResult, f.FileHeader]:
        self._names |= {name, name + f.TEMPORARY_SUFFIX}
        outcome = yield _Step(DiskJob((CreateFile(name + f.TEMPORARY_SUFFIX),)))
        what = f.parse_file_name(name)[0]
        return msgspec.structs.replace(self._head, inode=outcome.inode, what=what, at_ms=self._unix_ms())

    def _snapshot(self, seq: int, number: int, entries: f.Entries) -> _Script:
        name = f.snapshot_name(seq)
        head = yield from self._begin(name)
        data, written = encode_record(0, msgspec.structs.replace(head, number=number)), 0
        for piece in f.encode_snapshot(entries, self.limits.piece_bytes):
            written += len(data) + len(piece)
            yield _Step(
                DiskJob(
                    (
                        AppendBytes(name + f.TEMPORARY_SUFFIX, data + piece),
                        SyncFile(name + f.TEMPORARY_SUFFIX),
                    )
                )
            )
            data = b""
        commits = 0 if self._segment else number
        yield _Step(DiskJob((RenameFile(name + f.TEMPORARY_SUFFIX, name), SyncFolder())), commits)
        self._snapshot_bytes = written
        self._names.discard(name + f.TEMPORARY_SUFFIX)

    def _log(self, seq: int, entries: list[f.Entries] | None) -> _Script:
        """A new log. One that is open gets a last group, and `entries` is given what they are after it."""
        name = f.log_name(seq)
        head = yield from self._begin(name)
        ops: list[Any] = []
        if entries is not None:
            ops = [self._group(), SyncFile(self._segment)]
            entries.append(dict(self.entries))
        commits = self.number if ops else 0
        self._log_from = self.number + 1
        data = encode_record(0, msgspec.structs.replace(head, number=self._log_from))
        self._marked = self.number  # the new head tells as much
        beside = name + f.TEMPORARY_SUFFIX
        ops += [AppendBytes(beside, data), SyncFile(beside), RenameFile(beside, name), SyncFolder()]
        yield _Step(DiskJob(tuple(ops)), commits, name, len(data))
        self._names.discard(beside)

    def _remove_older(self, seq: int) -> _Script:
        older = sorted(n for n in self._names if f.parse_file_name(n)[1] < seq)
        if older:
            yield _Step(DiskJob(tuple(RemoveFile(name) for name in older)))
            self._names -= set(older)
