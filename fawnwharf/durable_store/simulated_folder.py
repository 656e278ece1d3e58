"""A simulated folder used by successive incarnations of a store, and a reference model of its content."""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from fawnwharf.durable_store import file_format
from fawnwharf.durable_store.entry_table import ChangeRejectedError
from fawnwharf.durable_store.file_format import Durability, EntryKind, StoreLimits
from fawnwharf.durable_store.folder_reader import FolderPosition, FolderState, rollback_reason
from fawnwharf.durable_store.mutants import UNCHANGED, Mutant
from fawnwharf.durable_store.operations import DiskJob, FileSystem, JobResult, execute_job
from fawnwharf.durable_store.store import Sources, Store, StoreOwner, create_store, inspect_folder
from fawnwharf.durable_store.writer_process import OutputCallback
from fawnwharf.fakes.disks import MemoryDisk

KINDS = [
    EntryKind("term", Durability.SYNCED, 4),
    EntryKind("use", Durability.DELAYED, 12),
    EntryKind("copies", Durability.BEST_EFFORT, 12),
]
LIMITS = StoreLimits(
    state_bytes=64 * 1024,
    segment_bytes=700,
    piece_bytes=250,
    soon_ms=40.0,
    hint_ms=300.0,
    wait_ms=400.0,
    slow_ms=100.0,
    retry_ms=30.0,
    retry_most_ms=200.0,
)
ITERATIONS = 40  # of the event loop, in one run
_CLOSE_ITERATIONS = 60  # maximum for a graceful shutdown

Change = tuple[str, str, object]  # kind, key, value


class InvariantViolationError(AssertionError):
    """The store has violated one of its guarantees."""


class SimulatedRunner:
    """Executes jobs immediately, and returns their results some iterations later."""

    output = None
    unsent = False

    def __init__(self, disk: FileSystem, mutant: Mutant, on_start: Callable[[], None], delay: int) -> None:
        """`delay` is the number of calls of `poll` until the result is returned."""
        self.disk = disk
        self.on_output_opened: OutputCallback = lambda _output: None
        self.on_output_closing: OutputCallback = lambda _output: None
        self._mutant = mutant
        self._on_start = on_start
        self._delay = delay
        self._result: JobResult | None = None
        self._remaining = 0

    def start(self, job: DiskJob) -> None:
        """Execute a job."""
        self._on_start()
        self._remaining = self._delay
        self._result = execute_job(self.disk, self._mutant.change_job(job))

    def poll(self) -> JobResult | None:
        """Return the result of the last job once, after the delay."""
        self._remaining -= 1
        if self._remaining > 0:
            return None
        result = self._result
        self._result = None
        return result

    def close(self) -> None:
        """Do nothing, as there is no process to end."""


def _unknown_position() -> FolderPosition:
    return FolderPosition("", 0, 0)


def _empty_committed() -> dict[int, file_format.Entries]:
    return {0: {}}


@dataclass
class SimulatedFolder:
    """Owns the folder, the store of the current incarnation, and the reference model of the folder."""

    mutant: Mutant = UNCHANGED
    disk: MemoryDisk = field(default_factory=MemoryDisk)
    written: dict[int, file_format.Entries] = field(default_factory=_empty_committed)  # by group number
    last_reported_when_written: dict[int, int] = field(default_factory=dict)  # by group number
    last_reported: int = 0  # number of the last group reported as being on disk
    sent_position: FolderPosition = field(default_factory=_unknown_position)  # latest, to other members
    now_ms: float = 0.0
    last_closed: int = 0  # last incarnation whose graceful shutdown was completed
    closing: set[int] = field(default_factory=set)  # incarnations that were told to shut down
    current: Store | None = None

    @property
    def store(self) -> Store:
        """The store of the current incarnation."""
        if self.current is None:
            raise RuntimeError("no incarnation was started")
        return self.current

    def inspect(self) -> FolderState:
        """Read the folder's state as a starting store does. Raises UnreadableFolderError."""
        return inspect_folder(self.disk, "fleet", "a", LIMITS)

    def open(self, delay: int = 1, churn: int = 1_000) -> None:
        """Start an incarnation whose jobs take `delay` iterations. Raises UnreadableFolderError."""
        limits = msgspec.structs.replace(LIMITS, churn=churn)
        runner = SimulatedRunner(self.disk, self.mutant, self._note_written, delay)
        sources = Sources(lambda: self.now_ms, lambda: "ab" * 8, self.mutant.core)
        owner = StoreOwner("fleet", "a", "boot", empty_ok=True)
        self.current = create_store(self.disk, runner, owner, KINDS, limits, sources)

    def _note_written(self) -> None:
        core = self.store.core
        self.written.setdefault(core.number, dict(core.entries))
        self.last_reported_when_written.setdefault(core.number, self.last_reported)

    def check(self, found: FolderState) -> None:
        """Check the state found after a power loss or a kill, and continue the model from this state."""
        number = found.position.number
        self.check_written(found)
        if number < self.last_reported:
            raise InvariantViolationError(
                f"group {number} is found, but group {self.last_reported} was reported"
            )
        self._check_shutdown(found)
        if found.position.disk_id and (why := rollback_reason(found, [self.sent_position])):
            raise InvariantViolationError(f"a power loss is mistaken for an older copy: {why}")
        self.written = {at: entries for at, entries in self.written.items() if at <= number}
        self.last_reported_when_written = {
            at: last_reported for at, last_reported in self.last_reported_when_written.items() if at <= number
        }

    def _check_shutdown(self, found: FolderState) -> None:
        incarnation = found.position.incarnation
        wrongly_closed = found.closed_cleanly and incarnation not in self.closing
        wrongly_open = not found.closed_cleanly and 0 < incarnation == self.last_closed
        if wrongly_closed or wrongly_open:
            raise InvariantViolationError(
                f"graceful shutdown: found {found.closed_cleanly} in incarnation {incarnation}; "
                f"incarnation {self.last_closed} completed the last one"
            )

    def check_written(self, found: FolderState) -> None:
        """Check that the entries found are exactly those of the group at this position."""
        number = found.position.number
        if self.written.get(number) != found.entries:
            raise InvariantViolationError(
                f"the entries found at group {number} are not those that were written"
            )

    def advance(self, changes: list[Change], pause_ms: float) -> None:
        """Simulate one event loop iteration with these changes, and a pause after it."""
        for kind, key, value in changes:
            first = self.store.core.number + 1  # the first group that can contain the change

            def note_commit(on_disk: bool, _why: str, first: int = first) -> None:
                self.last_reported = max(self.last_reported, first if on_disk else 0)

            with contextlib.suppress(ChangeRejectedError):
                self.store.put(self.now_ms, kind, key, value, note_commit)
        self.store.advance(self.now_ms)
        positions = (self.sent_position, self.store.position())
        self.sent_position = max(positions, key=lambda position: (position.incarnation, position.number))
        self.now_ms += pause_ms

    def shut_down(self) -> None:
        """Shut down gracefully, if the disk permits it."""
        self.store.core.shut_down()
        self.closing.add(self.store.recovered.position.incarnation + 1)
        for _ in range(_CLOSE_ITERATIONS):
            self.advance([], 10.0)
            if self.store.core.finished:
                position = self.store.position()
                self.last_closed = position.incarnation
                self.last_reported = max(self.last_reported, position.number)
                return

    def run(self, rng: Random, iterations: int = ITERATIONS) -> None:
        """Simulate some iterations with random changes."""
        for _ in range(iterations):
            changes: list[Change] = []
            for _ in range(rng.choice((0, 0, 1, 1, 3))):
                kind = rng.choice(("term", "use", "use", "copies"))
                value = None if rng.random() < 0.15 else "v" * rng.randrange(90) + str(rng.random())
                changes.append((kind, f"k{rng.randrange(5)}", value))
            self.advance(changes, rng.choice((0.0, 5.0, 30.0)))
