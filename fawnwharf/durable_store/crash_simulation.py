"""Crash simulation of the store: scripted and random runs on a disk in memory, interrupted anywhere.

    python -m fawnwharf.durable_store.crash_simulation --runs 100000 --seed 1

What is found after a power loss has to be the entries as they were when some group was written, no earlier
than the last one that anybody was notified of. A power loss or a kill is never taken for damage, and a record
with flipped bits is never accepted.
"""

import argparse
import collections
import contextlib
import itertools
import sys
import time
from collections.abc import Iterator, Sequence
from random import Random

from fawnwharf.consensus.records import search_records
from fawnwharf.durable_store.folder_reader import UnreadableFolderError, rollback_reason
from fawnwharf.durable_store.mutants import MUTANTS, UNCHANGED, Mutant
from fawnwharf.durable_store.simulated_folder import ITERATIONS, InvariantViolationError, SimulatedFolder
from fawnwharf.fakes.disks import MemoryDisk, Plan, PowerCut

OPERATIONS_PER_INCARNATION = 90  # about; power losses and failures are drawn from them
SHARES = (0.0, 0.5, 0.9, 1.0)  # of what was not synced, that is there after a power loss
AS_REPORTED = "cut or killed, as it was told"


# --- every point of a scripted run ------------------------------------------------------------------


def run_script(folder: SimulatedFolder) -> None:
    """The same run each time, with several logs and a graceful shutdown."""
    folder.open()
    folder.run(Random(7), 30)
    folder.shut_down()


def interruption_points(step: int = 1) -> Iterator[tuple[int, int]]:
    """Operation and byte of each power loss.

    Before each operation (byte -1), and at each `step`-th byte of each append.
    """
    complete = SimulatedFolder()
    run_script(complete)
    for at, (operation, size) in enumerate(complete.disk.marks):
        yield at, -1
        if operation == "append":
            yield from ((at, byte) for byte in range(0, size + 1, step))


def interrupted_run(at: int, byte: int, share: float, second_at: int, mutant: Mutant = UNCHANGED) -> None:
    """The scripted run, interrupted, and a start after it.

    `second_at` is the operation of a second power loss, during that start; negative: none. Raises
    InvariantViolationError and UnreadableFolderError.
    """
    chance = Random(at * 1_000_003 + byte)
    folder = SimulatedFolder(mutant, MemoryDisk(Plan(cut_at=at, cut_byte=byte)))
    with contextlib.suppress(PowerCut):
        run_script(folder)
    folder.disk = folder.disk.reboot(chance, share)
    folder.check(folder.inspect())
    folder.disk.plan.cut_at = second_at
    with contextlib.suppress(PowerCut):
        folder.open()
        folder.run(chance, 6)
    folder.disk = folder.disk.reboot(chance, chance.choice(SHARES))
    folder.check(folder.inspect())


# --- random runs --------------------------------------------------------------------------------------


def random_run(seed: int, mutant: Mutant = UNCHANGED) -> str:
    """Some incarnations with random faults; says how it ended. Raises InvariantViolationError."""
    chance = Random(seed)
    folder = SimulatedFolder(mutant)
    older_copy: MemoryDisk | None = None
    for _ in range(chance.randrange(1, 4)):
        power_lost = _run_incarnation(chance, folder)
        if folder.disk.plan.lies_from >= 0:
            return _end_of_ignored_syncs(chance, folder)
        killed = not power_lost and chance.random() < 0.4
        if killed:
            folder.disk = folder.disk.restart()
        else:
            folder.disk = folder.disk.reboot(chance, chance.choice(SHARES))
        folder.check(folder.inspect())
        older_copy = older_copy or folder.disk.copy(chance.random() < 0.5)
    last = chance.random()
    if last < 0.25 and folder.disk.names():
        return _end_of_flipped_bit(chance, folder)
    if last < 0.4 and older_copy is not None:
        return _end_of_older_copy(folder, older_copy)
    return AS_REPORTED


def _run_incarnation(chance: Random, folder: SimulatedFolder) -> bool:
    """Whether the power was lost."""
    folder.disk.plan = _draw_plan(chance, folder.disk)
    try:
        folder.open(chance.choice((1, 1, 1, 3, 8)), chance.choice((1_000, 1_000, -9)))
        folder.run(chance, chance.randrange(1, ITERATIONS))
        if chance.random() < 0.3:
            folder.shut_down()
    except PowerCut:
        return True
    return False


def _draw_plan(chance: Random, disk: MemoryDisk) -> Plan:
    """What goes wrong with the disk in one incarnation."""
    plan = Plan()
    first = disk.count
    fault = chance.random()
    if chance.random() < 0.75:
        plan.cut_at = first + chance.randrange(OPERATIONS_PER_INCARNATION)
        plan.cut_byte = chance.randrange(-1, 160)
    if fault < 0.2:
        plan.fail_at = first + chance.randrange(OPERATIONS_PER_INCARNATION)
        plan.fail_for = chance.choice((1, 1, 2, 6))
    elif fault < 0.3:
        plan.room = sum(disk.names().values()) + chance.randrange(4_000)
    elif fault < 0.36:
        plan.lies_from = first + chance.randrange(OPERATIONS_PER_INCARNATION)
    return plan


def _end_of_ignored_syncs(chance: Random, folder: SimulatedFolder) -> str:
    """A disk that confirmed syncs and did nothing: what is read is still only what was written."""
    folder.disk = folder.disk.reboot(chance, chance.choice(SHARES))
    try:
        found = folder.inspect()
    except UnreadableFolderError:
        return "lied: refused"
    folder.check_written(found)
    if found.position.number >= folder.floor:
        return "lied: nothing lost"
    if not found.fresh and not rollback_reason(found, [folder.reported]):
        raise InvariantViolationError("lost what was reported, and what other members know does not show it")
    return "lied: told changes lost, shown by others' word or an empty folder"


def _end_of_flipped_bit(chance: Random, folder: SimulatedFolder) -> str:
    before = folder.inspect()
    if not before.files_read:
        return AS_REPORTED
    name = chance.choice(before.files_read)
    data, _ = folder.disk.read(name)
    bit = chance.randrange(len(data) * 8)
    folder.disk.flip(name, bit)
    try:
        found = folder.inspect()
    except UnreadableFolderError:
        return "flipped: refused"
    folder.check_written(found)
    if found.position.number >= folder.floor:
        return "flipped: nothing told of was in it"
    floors = [folder.floor_when_written.get(number, 0) for number, _ in search_records(data, bit // 8)]
    if any(floor > found.position.number for floor in floors):
        raise InvariantViolationError(
            f"a flipped bit is accepted, and a later group was written when {max(floors)} was reported"
        )
    if not rollback_reason(found, [folder.reported]):
        raise InvariantViolationError(
            "a flipped last group is lost, and what other members know does not show it"
        )
    return "flipped in the last group: cut as a tail, shown by others' word alone"


def _end_of_older_copy(folder: SimulatedFolder, older_copy: MemoryDisk) -> str:
    same_files = older_copy.names() == folder.disk.names()
    folder.disk = older_copy
    try:
        found = folder.inspect()
    except UnreadableFolderError:
        return "older copy: refused, as its files are others"
    if found.fresh:
        return "older copy: an empty folder"
    if rollback_reason(found, [folder.reported]):
        return "older copy: shown by others' word alone"
    if not same_files and found.position.number < folder.floor:
        raise InvariantViolationError("an older copy is not detected")
    return "older copy: nothing told of was later"


# --- all of them --------------------------------------------------------------------------------------


def check_points(step: int, max_runs: int, mutant: Mutant = UNCHANGED) -> int:
    """Interrupt the scripted run in all ways; the number of runs. Raises InvariantViolationError."""
    count = 0
    for (at, byte), (index, share) in itertools.product(interruption_points(step), enumerate(SHARES)):
        if count >= max_runs:
            break
        with mutant.patch(), _named(f"point {at}.{byte} share {share}"):
            interrupted_run(at, byte, share, (at + 3 * index) % 14, mutant)
        count += 1
    return count


def check_random(runs: int, seed: int, mutant: Mutant = UNCHANGED) -> dict[str, int]:
    """Random runs of successive seeds; how many ended how. Raises InvariantViolationError."""
    ends: dict[str, int] = collections.Counter()
    with mutant.patch():
        for run_seed in range(seed, seed + runs):
            with _named(f"seed {run_seed}"):
                ends[random_run(run_seed, mutant)] += 1
    return ends


@contextlib.contextmanager
def _named(name: str) -> Iterator[None]:
    """Add the name of the run to its error."""
    try:
        yield
    except (InvariantViolationError, UnreadableFolderError) as error:
        raise InvariantViolationError(f"{name}: {error}") from None


def main(arguments: Sequence[str]) -> int:
    """Run the simulation; the exit status is 1 if an invariant is violated."""
    parser = argparse.ArgumentParser(
        prog="fawnwharf.durable_store.crash_simulation", description=(__doc__ or "").split("\n")[0]
    )
    parser.add_argument("--runs", type=int, default=10_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--points", type=int, default=0, help="cuts at each so many bytes; 0: none")
    parser.add_argument("--planted", choices=[*MUTANTS, ""], default="")
    options = parser.parse_args(arguments)
    mutant = MUTANTS.get(options.planted, UNCHANGED)
    start_s = time.monotonic()
    try:
        if options.points:
            print(f"{check_points(options.points, 10**9, mutant):8} cuts of the scripted run")
        for end, count in sorted(check_random(options.runs, options.seed, mutant).items()):
            print(f"{count:8} {end}")
    except InvariantViolationError as error:
        print(f"broken: {error}")
        return 1
    duration_s = time.monotonic() - start_s
    print(f"{options.runs} runs from seed {options.seed}, {duration_s:.0f} s, nothing broken")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
