"""The store of durable state on a real folder, whose file calls fail, fall short or are its last."""

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

TURNS = 12
ENDS = {
    "kill": lambda faults: faults.kill(),
    "cut": lambda faults: faults.cut(late_names=False),
    "cut, late names": lambda faults: faults.cut(late_names=True),
}


class Site:
    """One folder, and the model of what was told of it."""

    def __init__(self, folder, bug=UNCHANGED):
        folder.mkdir()
        self.faults = FileFaults(folder)
        self.world = SimulatedFolder(bug, DiskFolder(folder))

    def live(self, seed, turns=TURNS):
        self.world.open()
        self.world.run(Random(seed), turns)

    def found(self, end):
        """What a start after that finds is what was told, or given to the disk later."""
        ENDS[end](self.faults)
        self.world.disk = DiskFolder(self.faults.folder)
        self.world.check(self.world.inspect())

    def works_again(self):
        """Without a restart: a change is told to be on disk, and it is."""
        self.faults.works()
        told = []
        for _ in range(60):
            if not self.world.store.status(self.world.now_ms).failing:
                break
            self.world.advance([], 100.0)
        self.world.store.put(self.world.now_ms, "term", "k1", None)  # there is room for four
        self.world.store.put(self.world.now_ms, "term", "k0", "put", lambda *how: told.append(how))
        for _ in range(60):
            self.world.advance([], 10.0)
        assert told == [(True, "")]


def calls_of_a_life(folder):
    site = Site(folder)
    with site.faults.installed():
        site.live(1)
        before = site.faults.count
        site.world.shut_down()
        site.found("kill")
        site.live(2)
        return site.faults.count - before


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("times", [1, 3, ALWAYS])
def test_reported_changes_are_found_when_any_file_call_fails_once_or_repeatedly(tmp_path, end, times):
    count = calls_of_a_life(tmp_path / "measured")
    for at, (error, half) in product(range(0, count), ((errno.ENOSPC, True), (errno.EIO, False))):
        site = Site(tmp_path / f"{at}-{error}")
        with site.faults.installed():
            site.live(1)
            site.world.shut_down()
            site.found("kill")
            site.faults.plan = Faults(site.faults.count + at, times, error, half=half)
            with suppress(OSError):  # of the start
                site.live(2)
                if times < ALWAYS:
                    site.works_again()
            site.found(end)
            site.live(3)
            site.works_again()
            site.found("cut")
            assert site.world.inspect().entries["term", "k0"] == b'"put"'


@pytest.mark.parametrize("name", ["a failed sync done again", "no sync of the folder", "told before sync"])
def test_file_faults_detect_the_mutants(tmp_path, name):
    count, broken = calls_of_a_life(tmp_path / "measured"), 0
    for at in range(count):
        site = Site(tmp_path / str(at), MUTANTS[name])
        with site.faults.installed():
            site.live(1)
            site.found("kill")
            site.faults.plan = Faults(site.faults.count + at)
            site.live(2)
            try:
                site.found("cut")
            except (InvariantViolationError, UnreadableFolderError):
                broken += 1
    assert broken


@pytest.mark.parametrize("end", ENDS)
def test_a_kill_at_any_file_call_loses_no_reported_change(tmp_path, end):
    count = calls_of_a_life(tmp_path / "measured")
    for at, half in product(range(count), (False, True)):
        site = Site(tmp_path / f"{at}-{half}")
        with site.faults.installed():
            site.live(1)
            site.found("kill")
            site.faults.plan = Faults(kill_at=site.faults.count + at, half=half)
            with suppress(Killed):
                site.live(2)
            site.found(end)
            site.live(3)
            site.works_again()
            site.found("cut")


def test_short_writes_are_continued(tmp_path):
    site = Site(tmp_path / "folder")
    with site.faults.installed():
        site.faults.plan = Faults(most_bytes=5)
        site.live(1)
        site.world.shut_down()
        assert site.world.store.core.finished
        site.found("cut")
        assert site.world.inspect().closed_cleanly


def test_a_log_truncated_at_any_byte_gives_back_the_groups_before_it(tmp_path):
    site = Site(tmp_path / "folder")
    folder, heads, turns = site.faults.folder, [], 0
    with site.faults.installed():
        site.live(1)
        while len(heads) <= 4:  # a head and some groups
            site.world.run(Random(turns := turns + 1), 1)
            last = max(folder.glob("log-*.seg"), key=lambda path: int(path.stem[4:]))
            data = last.read_bytes()
            heads = [at for at in range(len(data)) if data.startswith(b"fwv1", at)]
        site.faults.kill()
    numbers = []
    for size in range(heads[1], len(data) + 1):
        with open(last, "r+b") as file:
            file.truncate(0)
            file.write(data[:size])
        found = site.world.inspect()
        numbers.append(found.position.number)
        site.world.check_written(found)
        assert found.torn_bytes == size - max(at for at in [*heads, len(data)] if at <= size)
    assert numbers == sorted(numbers)
    assert len(set(numbers)) == len(heads)
