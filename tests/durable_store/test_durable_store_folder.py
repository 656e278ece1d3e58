"""The durable store in real folders: kills, slow disks, what is refused, and the command."""

import os
import shutil
import signal
import subprocess
import sys
import time

import msgspec
import pytest
from typer.testing import CliRunner

from fawnwharf.cli import app
from fawnwharf.consensus.records import encode_record, leading_records
from fawnwharf.consensus.voter_store import DiskError
from fawnwharf.durable_store import file_format as f
from fawnwharf.durable_store import folder
from fawnwharf.durable_store.event_loop_store import EventLoopStore
from fawnwharf.durable_store.file_format import Durability
from fawnwharf.durable_store.folder_reader import FolderPosition
from fawnwharf.durable_store.store import StoreOwner, inspect_folder, open_store
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.timer_wheel import monotonic_ms

LIMITS = f.StoreLimits(10_000, 600, 200, 40.0, 300.0, 400.0, 100.0, 30.0, 200.0)
KINDS = [f.EntryKind("term", Durability.SYNCED, 4, 500), f.EntryKind("use", Durability.DELAYED)]


def opened(path, limits=LIMITS, **words):
    owner = StoreOwner("fleet", words.pop("name", "a"), **words)
    return open_store(path, owner, KINDS, limits)


def until(store, done, within_s=20.0):
    end = time.monotonic() + within_s
    while not done() and time.monotonic() < end:
        store.advance(monotonic_ms())
        time.sleep(0.001)
    assert done()


def filled(path, count=5):
    store = opened(path, empty_ok=True, limits=f.StoreLimits(wait_ms=20_000.0))
    told = []
    for n in range(count):
        store.put(monotonic_ms(), "term", "t", n, lambda on_disk, _why: told.append(on_disk))
        until(store, lambda n=n: len(told) > n)
    assert told == [True] * count
    assert store.close(monotonic_ms, 20_000.0)
    return store


def test_a_folder_gives_back_reported_changes_and_whether_it_was_closed_cleanly(tmp_path):
    filled(tmp_path / "d")
    store = opened(tmp_path / "d")
    assert store.recovered.closed_cleanly
    assert store.recovered.position.incarnation == 1
    assert store.get("term", "t") == 4
    with pytest.raises(DiskError, match="in use by a live process"):
        opened(tmp_path / "d")
    store.close(monotonic_ms, 20_000.0)
    assert sorted(os.listdir(tmp_path / "d")) == ["durable.lock", "log-2.seg", "snap-2.snap"]


WRITING = """
import sys, time
from fawnwharf.durable_store.file_format import Durability, EntryKind, StoreLimits
from fawnwharf.durable_store.store import StoreOwner, open_store
from fawnwharf.net.timer_wheel import monotonic_ms
kinds = [EntryKind("term", Durability.SYNCED)]
limits = StoreLimits(segment_bytes=3_000, wait_ms=20_000)
store = open_store(sys.argv[1], StoreOwner("fleet", "a", empty_ok=True), kinds, limits)
n = store.get("term", "t") or 0
while True:
    n += 1
    store.put(monotonic_ms(), "term", "t", n, lambda ok, why, n=n: print(n, flush=True) if ok else None)
    for _ in range(3):
        store.advance(monotonic_ms())
        time.sleep(0.0005)
"""


def test_a_process_killed_during_writes_leaves_all_reported_changes(tmp_path):
    for seen in (20, 37):
        child = subprocess.Popen(
            [sys.executable, "-c", WRITING, str(tmp_path)], stdout=subprocess.PIPE, text=True
        )  # fmt: skip
        last = 0
        for line in child.stdout:
            last = int(line)
            if last % 100 >= seen:
                break
        child.send_signal(signal.SIGKILL)
        last = max([last, *(int(line) for line in child.stdout)])
        child.wait()
        folder.unlock_folder(
            folder.lock_folder(tmp_path, within_s=20.0)
        )  # its writer may still be at the last job
        found = inspect_folder(folder.DiskFolder(tmp_path), "fleet", "a", f.StoreLimits())
        assert int(found.entries["term", "t"]) >= last
        assert not found.closed_cleanly


def test_a_slow_disk_blocks_no_iteration_and_a_killed_writer_is_replaced(tmp_path):
    store = opened(tmp_path, empty_ok=True)
    until(store, lambda: store.core.settled)
    writer = store.runner.process
    os.kill(writer.pid, signal.SIGSTOP)  # as a disk that does not answer
    told = []
    store.put(monotonic_ms(), "term", "t", "x" * 400, lambda on_disk, why: told.append((on_disk, why)))
    longest = 0.0
    end = time.monotonic() + 20.0
    while not told and time.monotonic() < end:
        begun = time.process_time()
        store.advance(monotonic_ms())
        longest = max(longest, time.process_time() - begun)
        time.sleep(0.002)
    assert told == [(False, "the disk is slow")]
    assert longest < 0.1
    assert store.status(monotonic_ms()).slow_ms >= LIMITS.wait_ms - 1
    os.kill(writer.pid, signal.SIGKILL)
    until(store, lambda: store.status(monotonic_ms()).failing)
    assert "the writer ended" in store.status(monotonic_ms()).failing
    until(store, lambda: not store.status(monotonic_ms()).failing)
    assert store.runner.process.pid != writer.pid
    assert store.close(monotonic_ms, 20_000.0)


def test_changes_of_one_loop_iteration_are_committed_together_and_faults_are_logged(tmp_path):
    said, told, loop = [], [], EventLoop(lambda _now_ms, _events: None, print)
    store = EventLoopStore(loop, opened(tmp_path, empty_ok=True), lambda text, _fields: said.append(text))

    def turn_until(done):
        end = time.monotonic() + 20.0
        while not done() and time.monotonic() < end:
            loop.run_iteration(1.0)
        assert done()

    turn_until(lambda: store.store.core.settled and not store.store.core.job_in_progress)
    said.clear()  # on a busy machine the start may be slow
    for n in range(4):
        store.put("term", f"t{n}", n, lambda on_disk, _why: told.append(on_disk))
    before = store.store.core.number
    turn_until(lambda: len(told) == 4)
    assert store.store.core.number == before + 1
    os.kill(store.store.runner.process.pid, signal.SIGSTOP)
    store.put("term", "t0", 5, lambda _on_disk, why: told.append(why))
    turn_until(lambda: "the disk is slow" in told and said[-1:] == ["the disk is slow"])
    os.kill(store.store.runner.process.pid, signal.SIGKILL)
    turn_until(lambda: said[-2:] == ["not durable now", "durable again"])
    assert store.close(20_000.0)
    loop.close()


def test_a_job_larger_than_a_pipe_reaches_the_disk(tmp_path):
    store = opened(tmp_path, empty_ok=True, limits=f.StoreLimits(wait_ms=20_000.0, piece_bytes=2_000_000))
    for n in range(100):
        store.put(monotonic_ms(), "use", f"u{n}", "x" * 10_000)
    assert store.close(monotonic_ms, 20_000.0)
    assert len(inspect_folder(folder.DiskFolder(tmp_path), "fleet", "a", f.StoreLimits()).entries) == 100


def rewritten(path, **what):
    """Heads of all files changed, checksums right."""
    for name in os.listdir(path):
        if f.parse_file_name(name):
            data = (path / name).read_bytes()
            records, _ = leading_records(data)
            head = msgspec.json.decode(records[0][1], type=f.FileHeader)
            rest = data[len(encode_record(0, head)) :]
            (path / name).write_bytes(encode_record(0, msgspec.structs.replace(head, **what)) + rest)


def flipped(path, name, back):
    data = bytearray((path / name).read_bytes())
    data[-back] ^= 4
    (path / name).write_bytes(data)


FAULTS = {
    "another fleet": (lambda path: rewritten(path, fleet="f2"), r"snap-1.snap: of fleet f2, not of fleet"),
    "swapped": (lambda path: rewritten(path, name="b"), r"snap-1.snap: the disk of member b, not of a"),
    "version": (lambda path: rewritten(path, version=9), r"snap-1.snap: version 9, and this program"),
    "snapshot": (lambda path: flipped(path, "snap-1.snap", 9), r"snap-1.snap: damaged"),
    "middle": (lambda path: flipped(path, "log-1.seg", 200), r"log-1.seg: damaged at byte \d+: group"),
    "missing": (lambda path: (path / "snap-1.snap").unlink(), r"log-1.seg: the snapshot before it is"),
    "empty": (lambda path: [each.unlink() for each in path.iterdir()], r"d: empty, but this member is not"),
}  # fmt: skip


@pytest.mark.parametrize("fault", FAULTS)
def test_an_unreadable_folder_is_rejected_with_path_and_cause(tmp_path, fault):
    filled(tmp_path / "d")
    FAULTS[fault][0](tmp_path / "d")
    before = contents(tmp_path / "d")
    with pytest.raises(DiskError, match=FAULTS[fault][1]) as raised:
        opened(tmp_path / "d")
    assert str(raised.value).startswith(str(tmp_path / "d"))
    assert "\n" not in str(raised.value)
    assert contents(tmp_path / "d") == before | {folder.LOCK_FILE: b""}


def contents(path):
    return {each.name: each.read_bytes() for each in path.iterdir()}


def test_a_copy_of_the_files_is_rejected_and_a_rollback_is_detected_by_reported_positions(tmp_path):
    filled(tmp_path / "d")
    shutil.copytree(tmp_path / "d", tmp_path / "copy")
    with pytest.raises(DiskError, match="a copy of another file, and may be an older one"):
        opened(tmp_path / "copy")
    mark = inspect_folder(folder.DiskFolder(tmp_path / "d"), "fleet", "a", f.StoreLimits()).position.disk_id
    opened(tmp_path / "d", reported=[FolderPosition(mark, 1, 3), FolderPosition("other", 9, 9)]).close(
        monotonic_ms, 20_000.0
    )
    with pytest.raises(DiskError, match="rolled back: stands at life 2, number"):
        opened(tmp_path / "d", reported=[FolderPosition(mark, 2, 900)])


def test_a_file_and_a_folder_that_cannot_be_created_are_rejected(tmp_path):
    (tmp_path / "file").write_text("x")
    with pytest.raises(DiskError, match="file: not a folder"):
        opened(tmp_path / "file", empty_ok=True)
    with pytest.raises(DiskError, match="file/d: not writable"):
        opened(tmp_path / "file" / "d", empty_ok=True)


# --- the command ----------------------------------------------------------------------------------------


def asked(*words):
    return CliRunner().invoke(app, ["recovery", *map(str, words)])


def test_verify_shows_a_folder_and_errors_end_with_one_line(tmp_path):
    filled(tmp_path / "d")
    done = asked("verify", tmp_path / "d")
    assert done.exit_code == 0
    assert "last shutdown: graceful" in done.output
    assert "term: 1" in done.output
    (tmp_path / "none").mkdir()
    (tmp_path / "file").write_text("x")
    for path, why in (("none", "contains no"), ("gone", "no such folder"), ("file", "not a folder")):
        done = asked("verify", tmp_path / path)
        assert done.exit_code == 2
        assert why in done.stderr
        assert len(done.stderr.splitlines()) == 1
        assert str(tmp_path / path) in done.stderr
    assert os.listdir(tmp_path / "none") == []
    store = opened(tmp_path / "d")
    assert asked("repair", tmp_path / "d").exit_code == 2
    store.close(monotonic_ms, 20_000.0)


def test_repair_shows_losses_sets_files_aside_and_the_next_incarnation_reports_it(tmp_path):
    filled(tmp_path / "d")
    flipped(tmp_path / "d", "log-1.seg", 200)
    before = contents(tmp_path / "d")
    done = asked("verify", tmp_path / "d")
    assert done.exit_code == 2
    assert f"{tmp_path / 'd' / 'log-1.seg'}: damaged at byte" in done.stderr
    done = asked("repair", tmp_path / "d", "--dry-run")
    assert done.exit_code == 0
    assert "lost: log-1.seg: from byte" in done.output
    assert contents(tmp_path / "d") == before
    assert asked("repair", tmp_path / "d").exit_code == 0
    names = os.listdir(tmp_path / "d")
    assert {"snap-1.snap.aside", "log-1.seg.aside", "snap-2.snap"} <= set(names)
    store = opened(tmp_path / "d")
    assert "damaged" in store.recovered.repaired
    assert store.get("term", "t") < 4
    assert not store.recovered.closed_cleanly
    until(store, lambda: store.core.settled)
    assert "repaired, and not confirmed" in told_of(store, tmp_path / "d")
    store = opened(tmp_path / "d")
    store.core.confirm()
    store.close(monotonic_ms, 20_000.0)
    assert inspect_folder(folder.DiskFolder(tmp_path / "d"), "fleet", "a", f.StoreLimits()).repaired == ""
    assert asked("repair", tmp_path / "d").output == "nothing to repair\n"


def told_of(store, path):
    assert store.close(monotonic_ms, 20_000.0)
    return asked("verify", path).output
