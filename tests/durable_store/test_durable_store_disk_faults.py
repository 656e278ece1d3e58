"""The durable store on a real folder with failing file calls, short writes, kills and power losses."""

import errno
from contextlib import suppress
from itertools import product
from random import Random

import pytest
from support.file_faults import ALWAYS, Faults, FileFaults, Killed

from fawnwharf.durable_store.folder import DiskFolder
from fawnwharf.durable_store.folder_reader import UnreadableFolderError
from fawnwharf.durable_store.mutants import MUTANTS, UNCHANGED
from fawnwharf.durable_store.simulated_folder import InvariantViolationError, SimulatedFolder

ITERATIONS = 12
INTERRUPTIONS = {
    "kill": lambda faults: faults.kill(),
    "cut": lambda faults: faults.cut(late_names=False),
    "cut, late names": lambda faults: faults.cut(late_names=True),
}


class FolderRun:
    """One real folder with injected file faults, and the reference model of its content."""

    def __init__(self, folder, mutant=UNCHANGED):
        folder.mkdir()
        self.faults = FileFaults(folder)
        self.model = SimulatedFolder(mutant, DiskFolder(folder))

    def run_incarnation(self, seed, iterations=ITERATIONS):
        self.model.open()
        self.model.run(Random(seed), iterations)

    def check_after(self, interruption):
        """Interrupt the store, and check that the folder contains all reported changes."""
        INTERRUPTIONS[interruption](self.faults)
        self.model.disk = DiskFolder(self.faults.folder)
        self.model.check(self.model.inspect())

    def check_recovery(self):
        """Check that, once file calls work again, a change is committed without a restart."""
        self.faults.works()
        results = []
        for _ in range(60):
            if not self.model.store.status(self.model.now_ms).failing:
                break
            self.model.advance([], 100.0)
        self.model.store.put(self.model.now_ms, "term", "k1", None)  # the limit is four entries of this kind
        self.model.store.put(self.model.now_ms, "term", "k0", "put", lambda *result: results.append(result))
        for _ in range(60):
            self.model.advance([], 10.0)
        assert results == [(True, "")]


def count_file_calls(folder):
    """Count the file calls of a graceful shutdown and of the incarnation after it."""
    run = FolderRun(folder)
    with run.faults.installed():
        run.run_incarnation(1)
        before = run.faults.count
        run.model.shut_down()
        run.check_after("kill")
        run.run_incarnation(2)
        return run.faults.count - before


@pytest.mark.parametrize("interruption", INTERRUPTIONS)
@pytest.mark.parametrize("times", [1, 3, ALWAYS])
def test_reported_changes_are_found_when_any_file_call_fails_once_or_repeatedly(
    tmp_path, interruption, times
):
    count = count_file_calls(tmp_path / "measured")
    for at, (error, half) in product(range(0, count), ((errno.ENOSPC, True), (errno.EIO, False))):
        run = FolderRun(tmp_path / f"{at}-{error}")
        with run.faults.installed():
            run.run_incarnation(1)
            run.model.shut_down()
            run.check_after("kill")
            run.faults.plan = Faults(run.faults.count + at, times, error, half=half)
            with suppress(OSError):  # opening the store may fail
                run.run_incarnation(2)
                if times < ALWAYS:
                    run.check_recovery()
            run.check_after(interruption)
            run.run_incarnation(3)
            run.check_recovery()
            run.check_after("cut")
            assert run.model.inspect().entries["term", "k0"] == b'"put"'


@pytest.mark.parametrize("name", ["a failed sync done again", "no sync of the folder", "told before sync"])
def test_file_faults_detect_the_mutants(tmp_path, name):
    count, detected = count_file_calls(tmp_path / "measured"), 0
    for at in range(count):
        run = FolderRun(tmp_path / str(at), MUTANTS[name])
        with run.faults.installed():
            run.run_incarnation(1)
            run.check_after("kill")
            run.faults.plan = Faults(run.faults.count + at)
            run.run_incarnation(2)
            try:
                run.check_after("cut")
            except (InvariantViolationError, UnreadableFolderError):
                detected += 1
    assert detected


@pytest.mark.parametrize("interruption", INTERRUPTIONS)
def test_a_kill_at_any_file_call_loses_no_reported_change(tmp_path, interruption):
    count = count_file_calls(tmp_path / "measured")
    for at, half in product(range(count), (False, True)):
        run = FolderRun(tmp_path / f"{at}-{half}")
        with run.faults.installed():
            run.run_incarnation(1)
            run.check_after("kill")
            run.faults.plan = Faults(kill_at=run.faults.count + at, half=half)
            with suppress(Killed):
                run.run_incarnation(2)
            run.check_after(interruption)
            run.run_incarnation(3)
            run.check_recovery()
            run.check_after("cut")


def test_short_writes_are_continued(tmp_path):
    run = FolderRun(tmp_path / "folder")
    with run.faults.installed():
        run.faults.plan = Faults(most_bytes=5)
        run.run_incarnation(1)
        run.model.shut_down()
        assert run.model.store.core.finished
        run.check_after("cut")
        assert run.model.inspect().closed_cleanly


def test_a_log_truncated_at_any_byte_gives_back_the_groups_before_it(tmp_path):
    run = FolderRun(tmp_path / "folder")
    folder, record_starts, iterations = run.faults.folder, [], 0
    with run.faults.installed():
        run.run_incarnation(1)
        while len(record_starts) <= 4:  # a file header and some groups
            run.model.run(Random(iterations := iterations + 1), 1)
            log_path = max(folder.glob("log-*.seg"), key=lambda path: int(path.stem[4:]))
            data = log_path.read_bytes()
            record_starts = [at for at in range(len(data)) if data.startswith(b"fwv1", at)]
        run.faults.kill()
    numbers = []
    for size in range(record_starts[1], len(data) + 1):
        with open(log_path, "r+b") as file:
            file.truncate(0)
            file.write(data[:size])
        found = run.model.inspect()
        numbers.append(found.position.number)
        run.model.check_written(found)
        assert found.torn_bytes == size - max(at for at in [*record_starts, len(data)] if at <= size)
    assert numbers == sorted(numbers)
    assert len(set(numbers)) == len(record_starts)
