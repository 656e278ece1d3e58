"""Crash simulation of the store: scripted and random runs on a disk in memory, interrupted at any point.

    python -m fawnwharf.durable_store.crash_simulation --runs 100000 --seed 1

After a power loss, the folder must contain exactly the entries as of one commit group. This group must not be
older than the last one that was reported as being on disk. A power loss or a kill must never be mistaken for
damage, and a record with flipped bits must never be accepted.
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

OPERATIONS_PER_INCARNATION = 90  # approximate; power losses and failures are drawn from this range
SURVIVING_SHARES = (0.0, 0.5, 0.9, 1.0)  # share of unsynced data that survives a power loss
AS_REPORTED = "power loss or kill: state as reported"


# --- a scripted run, interrupted at every point ------------------------------------------------------


def run_script(folder: SimulatedFolder) -> None:
    """Perform a fixed run with several logs and a graceful shutdown."""
    folder.open()
    folder.run(Random(7), 30)
    folder.shut_down()


def interruption_points(step: int = 1) -> Iterator[tuple[int, int]]:
    """Yield the operation index and byte offset of each power loss.

    There is one before each operation (offset -1), and one at every `step`-th byte of each append.
    """
    complete = SimulatedFolder()
    run_script(complete)
    for operation_index, (operation, size) in enumerate(complete.disk.marks):
        yield operation_index, -1
        if operation == "append":
            yield from ((operation_index, byte) for byte in range(0, size + 1, step))


def interrupted_run(
    operation_index: int, byte: int, share: float, second_at: int, mutant: Mutant = UNCHANGED
) -> None:
    """Interrupt the scripted run with a power loss, and start a store again afterwards.

    The power is lost at byte `byte` of the operation, and `share` of the unsynced data survives. A second
    power loss happens during the start, at the operation `second_at`, unless this is negative. Raises
    InvariantViolationError and UnreadableFolderError.
    """
    rng = Random(operation_index * 1_000_003 + byte)
    folder = SimulatedFolder(mutant, MemoryDisk(Plan(cut_at=operation_index, cut_byte=byte)))
    with contextlib.suppress(PowerCut):
        run_script(folder)
    folder.disk = folder.disk.reboot(rng, share)
    folder.check(folder.inspect())
    folder.disk.plan.cut_at = second_at
    with contextlib.suppress(PowerCut):
        folder.open()
        folder.run(rng, 6)
    folder.disk = folder.disk.reboot(rng, rng.choice(SURVIVING_SHARES))
    folder.check(folder.inspect())


# --- random runs --------------------------------------------------------------------------------------


def random_run(seed: int, mutant: Mutant = UNCHANGED) -> str:
    """Run some incarnations with random faults; return the outcome. Raises InvariantViolationError."""
    rng = Random(seed)
    folder = SimulatedFolder(mutant)
    older_copy: MemoryDisk | None = None
    for _ in range(rng.randrange(1, 4)):
        power_lost = _run_incarnation(rng, folder)
        if folder.disk.plan.lies_from >= 0:
            return _outcome_of_ignored_syncs(rng, folder)
        killed = not power_lost and rng.random() < 0.4
        if killed:
            folder.disk = folder.disk.restart()
        else:
            folder.disk = folder.disk.reboot(rng, rng.choice(SURVIVING_SHARES))
        folder.check(folder.inspect())
        older_copy = older_copy or folder.disk.copy(rng.random() < 0.5)
    ending = rng.random()
    if ending < 0.25 and folder.disk.names():
        return _outcome_of_flipped_bit(rng, folder)
    if ending < 0.4 and older_copy is not None:
        return _outcome_of_older_copy(folder, older_copy)
    return AS_REPORTED


def _run_incarnation(rng: Random, folder: SimulatedFolder) -> bool:
    """Run one incarnation with random faults; return whether the power was lost."""
    folder.disk.plan = _draw_plan(rng, folder.disk)
    try:
        folder.open(rng.choice((1, 1, 1, 3, 8)), rng.choice((1_000, 1_000, -9)))
        folder.run(rng, rng.randrange(1, ITERATIONS))
        if rng.random() < 0.3:
            folder.shut_down()
    except PowerCut:
        return True
    return False


def _draw_plan(rng: Random, disk: MemoryDisk) -> Plan:
    """Choose the disk faults of one incarnation."""
    plan = Plan()
    first = disk.count
    fault = rng.random()
    if rng.random() < 0.75:
        plan.cut_at = first + rng.randrange(OPERATIONS_PER_INCARNATION)
        plan.cut_byte = rng.randrange(-1, 160)
    if fault < 0.2:
        plan.fail_at = first + rng.randrange(OPERATIONS_PER_INCARNATION)
        plan.fail_for = rng.choice((1, 1, 2, 6))
    elif fault < 0.3:
        plan.room = sum(disk.names().values()) + rng.randrange(4_000)
    elif fault < 0.36:
        plan.lies_from = first + rng.randrange(OPERATIONS_PER_INCARNATION)
    return plan


def _outcome_of_ignored_syncs(rng: Random, folder: SimulatedFolder) -> str:
    """Check a disk that ignored syncs: changes may be lost, but whatever is read was once written."""
    folder.disk = folder.disk.reboot(rng, rng.choice(SURVIVING_SHARES))
    try:
        found = folder.inspect()
    except UnreadableFolderError:
        return "ignored syncs: folder rejected"
    folder.check_written(found)
    if found.position.number >= folder.last_reported:
        return "ignored syncs: no reported change lost"
    if not found.fresh and not rollback_reason(found, [folder.sent_position]):
        raise InvariantViolationError(
            "reported changes are lost, and the positions known to other members do not show it"
        )
    return "ignored syncs: reported changes lost, detected by other members' positions or an empty folder"


def _outcome_of_flipped_bit(rng: Random, folder: SimulatedFolder) -> str:
    """Flip one bit: it must be detected, unless only the last group is lost, which reads as a torn tail."""
    before = folder.inspect()
    if not before.files_read:
        return AS_REPORTED
    name = rng.choice(before.files_read)
    data, _ = folder.disk.read(name)
    bit = rng.randrange(len(data) * 8)
    folder.disk.flip(name, bit)
    try:
        found = folder.inspect()
    except UnreadableFolderError:
        return "flipped bit: folder rejected"
    folder.check_written(found)
    if found.position.number >= folder.last_reported:
        return "flipped bit: no reported change lost"
    reported_numbers = [
        folder.last_reported_when_written.get(number, 0) for number, _ in search_records(data, bit // 8)
    ]
    if any(last_reported > found.position.number for last_reported in reported_numbers):
        raise InvariantViolationError(
            f"a flipped bit is accepted, although a later record shows that group {max(reported_numbers)} "
            "was reported"
        )
    if not rollback_reason(found, [folder.sent_position]):
        raise InvariantViolationError(
            "the last group is lost by a flipped bit, and the positions known to other members do not show it"
        )
    return "flipped bit in the last group: read as a torn tail, detected only by other members' positions"


def _outcome_of_older_copy(folder: SimulatedFolder, older_copy: MemoryDisk) -> str:
    """Replace the folder by an older copy, which must be detected if a reported change is lost."""
    same_files = older_copy.names() == folder.disk.names()
    folder.disk = older_copy
    try:
        found = folder.inspect()
    except UnreadableFolderError:
        return "older copy: folder rejected, as its files are copies"
    if found.fresh:
        return "older copy: an empty folder"
    if rollback_reason(found, [folder.sent_position]):
        return "older copy: detected only by other members' positions"
    if not same_files and found.position.number < folder.last_reported:
        raise InvariantViolationError("an older copy is not detected")
    return "older copy: no reported change lost"


# --- all runs ----------------------------------------------------------------------------------------


def check_points(step: int, max_runs: int, mutant: Mutant = UNCHANGED) -> int:
    """Interrupt the scripted run at all points; return the number of runs. Raises InvariantViolationError."""
    count = 0
    for (operation_index, byte), (index, share) in itertools.product(
        interruption_points(step), enumerate(SURVIVING_SHARES)
    ):
        if count >= max_runs:
            break
        with mutant.patch(), _name_in_errors(f"point {operation_index}.{byte} share {share}"):
            interrupted_run(operation_index, byte, share, (operation_index + 3 * index) % 14, mutant)
        count += 1
    return count


def check_random(runs: int, seed: int, mutant: Mutant = UNCHANGED) -> dict[str, int]:
    """Perform random runs of successive seeds; count them by outcome. Raises InvariantViolationError."""
    outcome_counts: dict[str, int] = collections.Counter()
    with mutant.patch():
        for run_seed in range(seed, seed + runs):
            with _name_in_errors(f"seed {run_seed}"):
                outcome_counts[random_run(run_seed, mutant)] += 1
    return outcome_counts


@contextlib.contextmanager
def _name_in_errors(name: str) -> Iterator[None]:
    """Add the name of the run to the error it raises."""
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
    parser.add_argument(
        "--points", type=int, default=0, help="bytes between two power losses of the scripted run; 0: skip it"
    )
    parser.add_argument("--planted", choices=[*MUTANTS, ""], default="")
    options = parser.parse_args(arguments)
    mutant = MUTANTS.get(options.planted, UNCHANGED)
    start_s = time.monotonic()
    try:
        if options.points:
            print(f"{check_points(options.points, 10**9, mutant):8} interruptions of the scripted run")
        for outcome, count in sorted(check_random(options.runs, options.seed, mutant).items()):
            print(f"{count:8} {outcome}")
    except InvariantViolationError as error:
        print(f"invariant violated: {error}")
        return 1
    duration_s = time.monotonic() - start_s
    print(f"{options.runs} runs from seed {options.seed}, {duration_s:.0f} s, no invariant violated")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
