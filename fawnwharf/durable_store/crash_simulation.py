"""Crash tests of the store: scripted and random runs on a disk in memory, cut anywhere.

    python -m fawnwharf.durable_store.crash_simulation --runs 100000 --seed 1

What is found after a cut has to be what the entries were when some group was given to the disk, no earlier
than the last one that anybody was told of. A power cut or a kill is never taken for damage, and flipped bits
are never read over.
"""

import argparse
import collections
import contextlib
import itertools
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

import msgspec

from fawnwharf.consensus.records import records_after
from fawnwharf.durable_store import file_format as f
from fawnwharf.durable_store.folder_reader import (
    FolderPosition,
    FolderState,
    UnreadableFolderError,
    rollback_reason,
)
from fawnwharf.durable_store.mutants import MUTANTS, UNCHANGED, Mutant
from fawnwharf.durable_store.operations import DiskJob, JobResult, execute_job
from fawnwharf.durable_store.store import ChangeRejectedError, Store, create_store, inspect_folder
from fawnwharf.fakes.disks import MemoryDisk, Plan, PowerCut

KINDS = [f.EntryKind("term", f.SYNCED, 4), f.EntryKind("use", f.SOON, 12), f.EntryKind("copies", f.HINT, 12)]
LIMITS = f.StoreLimits(64 * 1024, 700, 250, 40.0, 300.0, 400.0, 100.0, 30.0, 200.0)
TURNS = 40
OPS_A_LIFE = 90  # about as many as a life has: cuts and failures are drawn from them
SHARES = (0.0, 0.5, 0.9, 1.0)  # of what was not synced, that is there after a cut


class InvariantViolationError(AssertionError):
    """What the store ought to hold and did not."""


class _Runner:
    """Carries jobs out at once; their outcome is known some turns later."""

    def __init__(self, disk: MemoryDisk, bug: Mutant, given: Callable[[], None], hold: int) -> None:
        self.disk, self._bug, self._given, self._hold = disk, bug, given, hold
        self._outcome: JobResult | None = None
        self._left = 0

    def start(self, job: DiskJob) -> None:
        self._given()
        self._left = self._hold
        self._outcome = execute_job(self.disk, self._bug.bend(job))

    def poll(self) -> JobResult | None:
        self._left -= 1
        if self._left > 0:
            return None
        found, self._outcome = self._outcome, None
        return found

    @property
    def unsent(self) -> bool:
        return False

    def close(self) -> None:
        pass


@dataclass
class CrashSimulation:
    """One folder through several lives, and what may be found in it."""

    bug: Mutant = UNCHANGED
    disk: MemoryDisk = field(default_factory=MemoryDisk)
    views: dict[int, f.Entries] = field(default_factory=lambda: {0: {}})  # by number, as given to the disk
    told_by: dict[int, int] = field(default_factory=dict)  # what `floor` was as each was given
    floor: int = 0  # the last of them that anybody was told of
    heard: FolderPosition = FolderPosition("", 0, 0)  # the most that others were told
    now_ms: float = 0.0
    ended: int = 0  # the last life that was told to have ended in order
    ending: set[int] = field(default_factory=set)  # all lives that were to end
    store: Store | None = None

    def found(self) -> FolderState:
        return inspect_folder(self.disk, "fleet", "a", LIMITS)

    def open(self, hold: int = 1, churn: int = 1_000) -> None:
        """Begins a life. Raises Unreadable."""
        limits = msgspec.structs.replace(LIMITS, churn=churn)
        runner = _Runner(self.disk, self.bug, self._given, hold)
        self.store = create_store(
            self.disk, runner, "fleet", "a", KINDS, limits, "boot", lambda: "ab" * 8,
            lambda: self.now_ms, True, core=self.bug.core,
        )  # fmt: skip

    def _given(self) -> None:
        core = self.store.core
        self.views.setdefault(core.number, dict(core.entries))
        self.told_by.setdefault(core.number, self.floor)

    def check(self, found: FolderState) -> None:
        """What is found after a cut or a kill; it is gone on from there."""
        number = found.sign.number
        self.was_given(found)
        if number < self.floor:
            raise InvariantViolationError(f"number {number} is found, and {self.floor} was told of")
        life = found.sign.life
        if found.ended and life not in self.ending or not found.ended and 0 < life == self.ended:
            raise InvariantViolationError(
                f"ended in order: found {found.ended} in life {life}, {self.ended} did"
            )
        if found.sign.mark and (why := rollback_reason(found, [self.heard])):
            raise InvariantViolationError(f"a cut is taken for an older copy: {why}")
        self.views = {at: view for at, view in self.views.items() if at <= number}
        self.told_by = {at: floor for at, floor in self.told_by.items() if at <= number}

    def was_given(self, found: FolderState) -> None:
        if self.views.get(found.sign.number) != found.entries:
            raise InvariantViolationError(
                f"what is found at number {found.sign.number} was never given to the disk so"
            )

    def turn(self, puts: list[tuple[str, str, object]], pause_ms: float) -> None:
        for kind, key, value in puts:
            first = self.store.core.number + 1  # the first group that can hold it

            def told(on_disk: bool, _why: str, first: int = first) -> None:
                self.floor = max(self.floor, first if on_disk else 0)

            with contextlib.suppress(ChangeRejectedError):
                self.store.put(self.now_ms, kind, key, value, told)
        self.store.turn(self.now_ms)
        self.heard = max(self.heard, self.store.sign(), key=lambda sign: (sign.life, sign.number))
        self.now_ms += pause_ms

    def end(self) -> None:
        """In order, if the disk lets it."""
        self.store.core.end()
        self.ending.add(self.store.found.sign.life + 1)
        for _ in range(60):
            self.turn([], 10.0)
            if self.store.core.ended:
                sign = self.store.sign()
                self.ended, self.floor = sign.life, max(self.floor, sign.number)
                return

    def live(self, chance: Random, turns: int = TURNS) -> None:
        """Some turns with changes drawn."""
        for _ in range(turns):
            puts = []
            for _ in range(chance.choice((0, 0, 1, 1, 3))):
                kind = chance.choice(("term", "use", "use", "copies"))
                value = None if chance.random() < 0.15 else "v" * chance.randrange(90) + str(chance.random())
                puts.append((kind, f"k{chance.randrange(5)}", value))
            self.turn(puts, chance.choice((0.0, 5.0, 30.0)))


# --- every point of a scripted run ------------------------------------------------------------------


def _scripted(world: CrashSimulation) -> None:
    """The same run each time, with logs that follow each other and an end in order."""
    world.open()
    world.live(Random(7), 30)
    world.end()


def points(step: int = 1) -> Iterator[tuple[int, int]]:
    """Operation and byte of each cut: before each operation, and at each `step`-th byte of each append."""
    whole = CrashSimulation()
    _scripted(whole)
    for at, (what, size) in enumerate(whole.disk.marks):
        yield at, -1
        if what == "append":
            yield from ((at, byte) for byte in range(0, size + 1, step))


def cut_run(at: int, byte: int, share: float, again: int, bug: Mutant = UNCHANGED) -> None:
    """The scripted run, cut; and, unless `again` is negative, a second cut in the next start."""
    chance = Random(at * 1_000_003 + byte)
    world = CrashSimulation(bug, MemoryDisk(Plan(cut_at=at, cut_byte=byte)))
    with contextlib.suppress(PowerCut):
        _scripted(world)
    world.disk = world.disk.reboot(chance, share)
    world.check(world.found())
    world.disk.plan.cut_at = again
    with contextlib.suppress(PowerCut):
        world.open()
        world.live(chance, 6)
    world.disk = world.disk.reboot(chance, chance.choice(SHARES))
    world.check(world.found())


# --- random runs --------------------------------------------------------------------------------------


def random_run(seed: int, bug: Mutant = UNCHANGED) -> str:
    """Some lives with faults of their own; says how it ended. Raises Broken."""
    chance, world = Random(seed), CrashSimulation(bug)
    older_copy: MemoryDisk | None = None
    for _ in range(chance.randrange(1, 4)):
        cut = _life(chance, world)
        if world.disk.plan.lies_from >= 0:
            return _lied(chance, world)
        kill = not cut and chance.random() < 0.4
        world.disk = world.disk.restart() if kill else world.disk.reboot(chance, chance.choice(SHARES))
        world.check(world.found())
        older_copy = older_copy or world.disk.copy(chance.random() < 0.5)
    last = chance.random()
    if last < 0.25 and world.disk.names():
        return _flipped(chance, world)
    if last < 0.4:
        return _rolled_back(world, older_copy)
    return "cut or killed, as it was told"


def _life(chance: Random, world: CrashSimulation) -> bool:
    """Whether the power went."""
    plan = world.disk.plan = Plan()
    begun, trouble = world.disk.count, chance.random()
    if chance.random() < 0.75:
        plan.cut_at, plan.cut_byte = begun + chance.randrange(OPS_A_LIFE), chance.randrange(-1, 160)
    if trouble < 0.2:
        plan.fail_at, plan.fail_for = begun + chance.randrange(OPS_A_LIFE), chance.choice((1, 1, 2, 6))
    elif trouble < 0.3:
        plan.room = sum(world.disk.names().values()) + chance.randrange(4_000)
    elif trouble < 0.36:
        plan.lies_from = begun + chance.randrange(OPS_A_LIFE)
    try:
        world.open(chance.choice((1, 1, 1, 3, 8)), chance.choice((1_000, 1_000, -9)))
        world.live(chance, chance.randrange(1, TURNS))
        if chance.random() < 0.3:
            world.end()
    except PowerCut:
        return True
    return False


def _lied(chance: Random, world: CrashSimulation) -> str:
    """A disk that said yes to syncs and did nothing: what is read is still nothing but what was given."""
    world.disk = world.disk.reboot(chance, chance.choice(SHARES))
    try:
        found = world.found()
    except UnreadableFolderError:
        return "lied: refused"
    world.was_given(found)
    if found.sign.number >= world.floor:
        return "lied: nothing lost"
    if not found.fresh and not rollback_reason(found, [world.heard]):
        raise InvariantViolationError("lost what was told of, and what others have heard does not show it")
    return "lied: told changes lost, shown by others' word or an empty folder"


def _flipped(chance: Random, world: CrashSimulation) -> str:
    before = world.found()
    if not before.read:
        return "cut or killed, as it was told"
    name = chance.choice(before.read)
    data, _ = world.disk.read(name)
    bit = chance.randrange(len(data) * 8)
    world.disk.flip(name, bit)
    try:
        found = world.found()
    except UnreadableFolderError:
        return "flipped: refused"
    world.was_given(found)
    if found.sign.number >= world.floor:
        return "flipped: nothing told of was in it"
    proofs = [world.told_by.get(number, 0) for number, _ in records_after(data, bit // 8)]
    if any(told > found.sign.number for told in proofs):
        raise InvariantViolationError(
            f"a flipped bit is read over, and a later group was written when {max(proofs)} was told"
        )
    if not rollback_reason(found, [world.heard]):
        raise InvariantViolationError(
            "a flipped last group is lost, and what others have heard does not show it"
        )
    return "flipped in the last group: cut as a tail, shown by others' word alone"


def _rolled_back(world: CrashSimulation, older_copy: MemoryDisk) -> str:
    same = older_copy.names() == world.disk.names()
    world.disk = older_copy
    try:
        found = world.found()
    except UnreadableFolderError:
        return "older copy: refused, as its files are others"
    if found.fresh:
        return "older copy: an empty folder"
    if rollback_reason(found, [world.heard]):
        return "older copy: shown by others' word alone"
    if not same and found.sign.number < world.floor:
        raise InvariantViolationError("an older copy is not known")
    return "older copy: nothing told of was later"


def check_points(step: int, most: int, bug: Mutant = UNCHANGED) -> int:
    """Cuts of the scripted run, in all ways; their number. Raises Broken."""
    count = 0
    for (at, byte), (place, share) in itertools.product(points(step), enumerate(SHARES)):
        if count >= most:
            break
        with bug.patch():
            _named(f"point {at}.{byte} share {share}", cut_run, at, byte, share, (at + 3 * place) % 14, bug)
        count += 1
    return count


def _named(name: str, run: Callable, *arguments: object) -> str:
    try:
        return run(*arguments)
    except (InvariantViolationError, UnreadableFolderError) as error:
        raise InvariantViolationError(f"{name}: {error}") from None


def check_random(runs: int, seed: int, bug: Mutant = UNCHANGED) -> dict[str, int]:
    """Random runs of seeds from this one on; how many ended how. Raises Broken."""
    ends: dict[str, int] = collections.Counter()
    with bug.patch():
        for each in range(seed, seed + runs):
            ends[_named(f"seed {each}", random_run, each, bug)] += 1
    return ends


def main(words: list[str]) -> int:
    """Status 1 where something is broken."""
    parser = argparse.ArgumentParser(
        prog="fawnwharf.durable_store.crash_simulation", description=__doc__.split("\n")[0]
    )
    parser.add_argument("--runs", type=int, default=10_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--points", type=int, default=0, help="cuts at each so many bytes; 0: none")
    parser.add_argument("--planted", choices=[*MUTANTS, ""], default="")
    asked = parser.parse_args(words)
    bug, begun = MUTANTS.get(asked.planted, UNCHANGED), time.monotonic()
    try:
        if asked.points:
            print(f"{check_points(asked.points, 10**9, bug):8} cuts of the scripted run")
        for end, count in sorted(check_random(asked.runs, asked.seed, bug).items()):
            print(f"{count:8} {end}")
    except InvariantViolationError as error:
        print(f"broken: {error}")
        return 1
    print(f"{asked.runs} runs from seed {asked.seed}, {time.monotonic() - begun:.0f} s, nothing broken")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
