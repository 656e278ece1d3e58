"""A voter store loses no acknowledged state through failed calls, short writes, kills or power losses."""

import errno
import os
from contextlib import suppress
from itertools import product

import pytest
from support.file_faults import ALWAYS, Faults, FileFaults, Killed

from fawnwharf.consensus import messages as m
from fawnwharf.consensus import voter_store
from fawnwharf.consensus.voter_store import DiskError, VoterStore

SAVES_PER_RUN = 8
REWRITE_ABOVE_BYTES = 900  # the size of a few saves, so that a run rewrites its file twice


@pytest.fixture(autouse=True)
def _small_files(monkeypatch):
    monkeypatch.setattr(voter_store, "REWRITE_ABOVE_BYTES", REWRITE_ABOVE_BYTES)


def state_of_term(term):
    return m.PersistentState(
        term, "a#0", m.Snapshot(1, 1, "plan", 1, ("a#0",)), (m.Entry(term, "plan", text="p" * 40),)
    )


class StoreUnderFaults:
    """A voter store in one folder with injected faults, and the last terms saved in it."""

    def __init__(self, folder):
        self.faults = FileFaults(folder)
        self.acknowledged = 0  # the last term whose save succeeded
        self.attempted = 0  # the last term whose save was started

    def open(self):
        return VoterStore(self.faults.folder, "fleet", "a")

    def run_process(self, saves=SAVES_PER_RUN):
        """Open the store and save a number of states; after a failed save, go on with the next one."""
        store = None
        for _ in range(3):
            with suppress(DiskError):
                store = store or self.open()
        for _ in range(saves if store else 0):
            self.attempted += 1
            with suppress(DiskError):
                store.save(state_of_term(self.attempted))
                self.acknowledged = self.attempted
        if store:
            store.close()

    def check(self):
        """Check that the next start finds the acknowledged state or a later one, and can save again."""
        store = self.open()
        found = store.saved.term
        assert self.acknowledged <= found <= self.attempted
        assert store.saved == (state_of_term(found) if found else m.PersistentState())
        self.acknowledged = found  # a restarted voter may answer from the state that it found
        self.faults.cut(late_names=False)
        store = self.open()
        assert store.saved.term == found
        self.attempted += 1
        store.save(state_of_term(self.attempted))
        self.acknowledged = self.attempted
        self.faults.cut(late_names=False)
        assert self.open().saved == state_of_term(self.attempted)


CRASHES = {
    "kill": lambda faults: faults.kill(),
    "power loss": lambda faults: faults.cut(late_names=False),
    "power loss, late names": lambda faults: faults.cut(late_names=True),
}


def file_calls_of_a_process(folder):
    store_run = StoreUnderFaults(folder)
    with store_run.faults.installed():
        store_run.run_process()
        return list(store_run.faults.calls_made)


def run_in_used_folder(folder, plan, crash):
    """Run a process without faults, then one with the planned faults; crash and check the store."""
    store_run = StoreUnderFaults(folder)
    with store_run.faults.installed():
        store_run.run_process(3)
        calls_before = store_run.faults.count
        plan.fail_at += calls_before if plan.fail_at >= 0 else 0
        plan.kill_at += calls_before if plan.kill_at >= 0 else 0
        store_run.faults.plan = plan
        with suppress(Killed):
            store_run.run_process()
        CRASHES[crash](store_run.faults)
        store_run.check()
    return store_run


def run_in_new_folder(folder, plan, crash):
    """Like `run_in_used_folder`, with the faults planned from the first call in a new folder on."""
    store_run = StoreUnderFaults(folder)
    with store_run.faults.installed():
        store_run.faults.plan = plan
        with suppress(Killed):
            store_run.run_process()
        CRASHES[crash](store_run.faults)
        store_run.check()
    return store_run


@pytest.mark.parametrize("crash", CRASHES)
@pytest.mark.parametrize("new_folder", [True, False], ids=["new folder", "used folder"])
@pytest.mark.parametrize("times", [1, 3, ALWAYS])
def test_no_acknowledged_state_is_lost_when_any_call_fails(tmp_path, crash, new_folder, times):
    count = len(file_calls_of_a_process(tmp_path / "measured"))
    run_case = run_in_new_folder if new_folder else run_in_used_folder
    for at, (error, half) in product(range(count), ((errno.ENOSPC, True), (errno.EIO, False))):
        store_run = run_case(tmp_path / f"{at}-{error}", Faults(at, times, error, half=half), crash)
        if times < ALWAYS:
            assert store_run.acknowledged == store_run.attempted  # later saves succeeded without a restart


@pytest.mark.parametrize("crash", CRASHES)
@pytest.mark.parametrize("new_folder", [True, False], ids=["new folder", "used folder"])
def test_no_acknowledged_state_is_lost_by_a_crash_at_any_call(tmp_path, crash, new_folder):
    count = len(file_calls_of_a_process(tmp_path / "measured"))
    run_case = run_in_new_folder if new_folder else run_in_used_folder
    for at, half in product(range(count), (False, True)):
        run_case(tmp_path / f"{at}-{half}", Faults(kill_at=at, half=half), crash)


def test_short_writes_are_continued(tmp_path):
    store_run = StoreUnderFaults(tmp_path)
    with store_run.faults.installed():
        store_run.faults.plan = Faults(most_bytes=7)
        store_run.run_process()
        assert store_run.acknowledged == store_run.attempted == SAVES_PER_RUN
        store_run.faults.cut(late_names=False)
        store_run.check()


def test_nothing_is_appended_to_a_file_after_a_failed_sync(tmp_path):
    store_run = StoreUnderFaults(tmp_path)
    with store_run.faults.installed():
        store = store_run.open()
        store.save(state_of_term(1))
        inode = store.path.stat().st_ino
        calls_before = store_run.faults.count
        store_run.faults.plan = Faults(fail_at=calls_before + 1)  # the sync after the write
        with pytest.raises(DiskError, match="Input/output error"):
            store.save(state_of_term(2))
        assert store_run.faults.calls_made[calls_before:] == ["write", "fsync"]
        store.save(state_of_term(3))
        assert store.path.stat().st_ino != inode
        store_run.faults.cut(late_names=False)
        assert store_run.open().saved == state_of_term(3)


def test_saves_after_a_failed_folder_sync_are_found_under_the_name(tmp_path):
    store_run = StoreUnderFaults(tmp_path)
    with store_run.faults.installed():
        store = store_run.open()
        for term in range(1, 30):
            calls_before = store_run.faults.count
            store_run.faults.plan = Faults(fail_at=calls_before + 5)  # the folder sync of a rewrite
            with suppress(DiskError):
                store.save(state_of_term(term))
            if store_run.faults.calls_made[calls_before + 3 : calls_before + 4] == ["rename"]:
                break
        store_run.faults.works()
        shorter = m.PersistentState(50, "a#0")  # would have fitted into the old file
        store.save(shorter)
        store_run.faults.kill()
        assert store_run.open().saved == shorter


def test_an_unsynced_record_is_synced_when_a_start_finds_it(tmp_path):
    store_run = StoreUnderFaults(tmp_path)
    with store_run.faults.installed():
        store = store_run.open()
        store.save(state_of_term(1))
        store_run.faults.plan = Faults(kill_at=store_run.faults.count + 1)  # between write and sync
        with pytest.raises(Killed):
            store.save(state_of_term(2))
        store_run.faults.kill()
        assert store_run.open().saved == state_of_term(2)  # the voter may acknowledge this state now
        store_run.faults.cut(late_names=False)
        assert store_run.open().saved == state_of_term(2)


def test_a_full_disk_allows_a_start_and_rejects_saves_until_space_is_free(tmp_path):
    store_run = StoreUnderFaults(tmp_path)
    with store_run.faults.installed():
        store_run.run_process(2)
        store = store_run.open()
        store_run.faults.fail(error=errno.ENOSPC)
        for _ in range(3):
            with pytest.raises(DiskError, match="No space left"):
                store.save(state_of_term(3))
        assert store.saved == state_of_term(2)
        store_run.faults.works()
        store.save(state_of_term(4))
        store_run.faults.cut(late_names=False)
        assert store_run.open().saved == state_of_term(4)


def test_a_truncated_first_record_starts_a_new_disk_and_damage_does_not(tmp_path):
    store = VoterStore(tmp_path, "fleet", "a")
    store.close()
    identity_record = store.path.read_bytes()
    for size in range(len(identity_record)):
        store.path.write_bytes(identity_record[:size])
        again = VoterStore(tmp_path, "fleet", "a")
        assert again.is_new
        assert again.identity.disk_id != store.identity.disk_id
        again.save(state_of_term(1))
        again.close()
        store = VoterStore(tmp_path, "fleet", "a")
        assert (store.saved, store.identity) == (state_of_term(1), again.identity)
        store.close()
    complete_data = store.path.read_bytes()
    for data in (b"\0" * len(complete_data), b"x" + complete_data[1:], identity_record[:20] + complete_data):
        store.path.write_bytes(data)
        with pytest.raises(DiskError):
            VoterStore(tmp_path, "fleet", "a")
        assert store.path.read_bytes() == data


def test_a_failed_start_releases_the_folder(tmp_path):
    store_run = StoreUnderFaults(tmp_path)
    with store_run.faults.installed():
        store_run.run_process(2)
        descriptors_before = len(os.listdir("/proc/self/fd"))
        for call_offset in range(5):  # lock, log, write, sync, folder
            store_run.faults.plan = Faults(fail_at=store_run.faults.count + call_offset, fail_for=ALWAYS)
            with pytest.raises(DiskError):
                store_run.open()
            store_run.faults.works()
        assert len(os.listdir("/proc/self/fd")) == descriptors_before
        assert store_run.open().saved == state_of_term(2)
