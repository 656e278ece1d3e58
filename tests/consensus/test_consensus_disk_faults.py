"""No state that a voter store acknowledged is lost when file calls fail, write less or are the last ones."""

import errno
import os
from contextlib import suppress
from itertools import product

import pytest
from support.file_faults import ALWAYS, Faults, FileFaults, Killed

from fawnwharf.consensus import messages as m
from fawnwharf.consensus import voter_store
from fawnwharf.consensus.voter_store import DiskError, VoterStore

SAVES = 8
REWRITE_BYTES = 900  # a few saves: a run rewrites its file twice


@pytest.fixture(autouse=True)
def _small_files(monkeypatch):
    monkeypatch.setattr(voter_store, "REWRITE_ABOVE_BYTES", REWRITE_BYTES)


def saved(term):
    return m.PersistentState(
        term, "a#0", m.Snapshot(1, 1, "plan", 1, ("a#0",)), (m.Entry(term, "plan", text="p" * 40),)
    )


class World:
    """One folder, and which terms a voter may have acknowledged from it."""

    def __init__(self, folder):
        self.faults = FileFaults(folder)
        self.acknowledged = 0  # the last term whose save returned
        self.attempted = 0  # the last one that was to be saved

    def open(self):
        return VoterStore(self.faults.folder, "fleet", "a")

    def run_process(self, saves=SAVES):
        """One process: a save that fails is followed by the next one."""
        disk = None
        for _ in range(3):
            with suppress(DiskError):
                disk = disk or self.open()
        for _ in range(saves if disk else 0):
            self.attempted += 1
            with suppress(DiskError):
                disk.save(saved(self.attempted))
                self.acknowledged = self.attempted
        if disk:
            disk.close()

    def check(self):
        """The next start finds what was acknowledged or attempted later, and continues from it."""
        disk = self.open()
        found = disk.saved.term
        assert self.acknowledged <= found <= self.attempted
        assert disk.saved == (saved(found) if found else m.PersistentState())
        self.acknowledged = found  # a voter answers by what it found
        self.faults.cut(late_names=False)
        disk = self.open()
        assert disk.saved.term == found
        self.attempted += 1
        disk.save(saved(self.attempted))
        self.acknowledged = self.attempted
        self.faults.cut(late_names=False)
        assert self.open().saved == saved(self.attempted)


CRASHES = {
    "kill": lambda faults: faults.kill(),
    "cut": lambda faults: faults.cut(late_names=False),
    "cut, late names": lambda faults: faults.cut(late_names=True),
}


def calls_of_a_process(folder):
    world = World(folder)
    with world.faults.installed():
        world.run_process()
        return list(world.faults.made)


def run(folder, plan, end):
    world = World(folder)
    with world.faults.installed():
        world.run_process(3)
        made = world.faults.count
        plan.fail_at += made if plan.fail_at >= 0 else 0
        plan.kill_at += made if plan.kill_at >= 0 else 0
        world.faults.plan = plan
        with suppress(Killed):
            world.run_process()
        CRASHES[end](world.faults)
        world.check()
    return world


def run_in_new_folder(folder, plan, end):
    """The same in a new folder."""
    world = World(folder)
    with world.faults.installed():
        world.faults.plan = plan
        with suppress(Killed):
            world.run_process()
        CRASHES[end](world.faults)
        world.check()
    return world


@pytest.mark.parametrize("end", CRASHES)
@pytest.mark.parametrize("first", [True, False], ids=["new folder", "used folder"])
@pytest.mark.parametrize("times", [1, 3, ALWAYS])
def test_no_acknowledged_state_is_lost_when_any_call_fails(tmp_path, end, first, times):
    count = len(calls_of_a_process(tmp_path / "measured"))
    run_case = run_in_new_folder if first else run
    for at, (error, half) in product(range(count), ((errno.ENOSPC, True), (errno.EIO, False))):
        world = run_case(tmp_path / f"{at}-{error}", Faults(at, times, error, half=half), end)
        if times < ALWAYS:
            assert world.acknowledged == world.attempted  # it went on by itself


@pytest.mark.parametrize("end", CRASHES)
@pytest.mark.parametrize("first", [True, False], ids=["new folder", "used folder"])
def test_no_acknowledged_state_is_lost_by_a_crash_at_any_call(tmp_path, end, first):
    count = len(calls_of_a_process(tmp_path / "measured"))
    run_case = run_in_new_folder if first else run
    for at, half in product(range(count), (False, True)):
        run_case(tmp_path / f"{at}-{half}", Faults(kill_at=at, half=half), end)


def test_short_writes_are_continued(tmp_path):
    world = World(tmp_path)
    with world.faults.installed():
        world.faults.plan = Faults(most_bytes=7)
        world.run_process()
        assert world.acknowledged == world.attempted == SAVES
        world.faults.cut(late_names=False)
        world.check()


def test_nothing_is_appended_to_a_file_after_a_failed_sync(tmp_path):
    world = World(tmp_path)
    with world.faults.installed():
        disk = world.open()
        disk.save(saved(1))
        inode = disk.path.stat().st_ino
        made = world.faults.count
        world.faults.plan = Faults(fail_at=made + 1)  # the sync after the write
        with pytest.raises(DiskError, match="Input/output error"):
            disk.save(saved(2))
        assert world.faults.made[made:] == ["write", "fsync"]
        disk.save(saved(3))
        assert disk.path.stat().st_ino != inode
        world.faults.cut(late_names=False)
        assert world.open().saved == saved(3)


def test_saves_after_a_failed_folder_sync_are_found_under_the_name(tmp_path):
    world = World(tmp_path)
    with world.faults.installed():
        disk = world.open()
        for term in range(1, 30):
            made = world.faults.count
            world.faults.plan = Faults(fail_at=made + 5)  # the folder's sync, where the file is rewritten
            with suppress(DiskError):
                disk.save(saved(term))
            if world.faults.made[made + 3 : made + 4] == ["rename"]:
                break
        world.faults.works()
        shorter = m.PersistentState(50, "a#0")  # the old file would have had room for it
        disk.save(shorter)
        world.faults.kill()
        assert world.open().saved == shorter


def test_an_unsynced_record_is_synced_when_a_start_finds_it(tmp_path):
    world = World(tmp_path)
    with world.faults.installed():
        disk = world.open()
        disk.save(saved(1))
        world.faults.plan = Faults(kill_at=world.faults.count + 1)  # between write and sync
        with pytest.raises(Killed):
            disk.save(saved(2))
        world.faults.kill()
        assert world.open().saved == saved(2)  # and it may acknowledge that
        world.faults.cut(late_names=False)
        assert world.open().saved == saved(2)


def test_a_full_disk_allows_a_start_and_rejects_saves_until_space_is_free(tmp_path):
    world = World(tmp_path)
    with world.faults.installed():
        world.run_process(2)
        disk = world.open()
        world.faults.fail(error=errno.ENOSPC)
        for _ in range(3):
            with pytest.raises(DiskError, match="No space left"):
                disk.save(saved(3))
        assert disk.saved == saved(2)
        world.faults.works()
        disk.save(saved(4))
        world.faults.cut(late_names=False)
        assert world.open().saved == saved(4)


def test_a_truncated_first_record_starts_a_new_disk_and_damage_does_not(tmp_path):
    disk = VoterStore(tmp_path, "fleet", "a")
    disk.close()
    label = disk.path.read_bytes()
    for size in range(len(label)):
        disk.path.write_bytes(label[:size])
        again = VoterStore(tmp_path, "fleet", "a")
        assert again.is_new
        assert again.identity.disk_id != disk.identity.disk_id
        again.save(saved(1))
        again.close()
        disk = VoterStore(tmp_path, "fleet", "a")
        assert (disk.saved, disk.identity) == (saved(1), again.identity)
        disk.close()
    whole = disk.path.read_bytes()
    for data in (b"\0" * len(whole), b"x" + whole[1:], label[:20] + whole):
        disk.path.write_bytes(data)
        with pytest.raises(DiskError):
            VoterStore(tmp_path, "fleet", "a")
        assert disk.path.read_bytes() == data


def test_a_failed_start_releases_the_folder(tmp_path):
    world = World(tmp_path)
    with world.faults.installed():
        world.run_process(2)
        before = len(os.listdir("/proc/self/fd"))
        for after in range(5):  # lock, log, write, sync, folder
            world.faults.plan = Faults(fail_at=world.faults.count + after, fail_for=ALWAYS)
            with pytest.raises(DiskError):
                world.open()
            world.faults.works()
        assert len(os.listdir("/proc/self/fd")) == before
        assert world.open().saved == saved(2)
