"""The durable store in real folders: killed processes, slow disks, rejected folders, and the command."""

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
from fawnwharf.durable_store import file_format, folder
from fawnwharf.durable_store.event_loop_store import EventLoopStore
from fawnwharf.durable_store.file_format import Durability
from fawnwharf.durable_store.folder_reader import FolderPosition
from fawnwharf.durable_store.store import StoreOwner, inspect_folder, open_store
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.timer_wheel import monotonic_ms

LIMITS = file_format.StoreLimits(10_000, 600, 200, 40.0, 300.0, 400.0, 100.0, 30.0, 200.0)
KINDS = [
    file_format.EntryKind("term", Durability.SYNCED, 4, 500),
    file_format.EntryKind("use", Durability.DELAYED),
]


def open_test_store(path, limits=LIMITS, **options):
    owner = StoreOwner("fleet", options.pop("name", "a"), **options)
    return open_store(path, owner, KINDS, limits)


def advance_until(store, condition, within_s=20.0):
    """Advance the store until the condition holds; fail after `within_s` seconds."""
    deadline = time.monotonic() + within_s
    while not condition() and time.monotonic() < deadline:
        store.advance(monotonic_ms())
        time.sleep(0.001)
    assert condition()


def create_filled_store(path, count=5):
    """Write an entry `count` times, each in its own commit group, and close the store."""
    store = open_test_store(path, empty_ok=True, limits=file_format.StoreLimits(wait_ms=20_000.0))
    results = []
    for n in range(count):
        store.put(monotonic_ms(), "term", "t", n, lambda on_disk, _why: results.append(on_disk))
        advance_until(store, lambda n=n: len(results) > n)
    assert results == [True] * count
    assert store.close(monotonic_ms, 20_000.0)
    return store


def test_a_folder_gives_back_reported_changes_and_whether_it_was_closed_cleanly(tmp_path):
    create_filled_store(tmp_path / "d")
    store = open_test_store(tmp_path / "d")
    assert store.recovered.closed_cleanly
    assert store.recovered.position.incarnation == 1
    assert store.get("term", "t") == 4
    with pytest.raises(DiskError, match="in use by a live process"):
        open_test_store(tmp_path / "d")
    store.close(monotonic_ms, 20_000.0)
    assert sorted(os.listdir(tmp_path / "d")) == ["durable.lock", "log-2.seg", "snap-2.snap"]


WRITER_PROGRAM = """
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
    for stop_after in (20, 37):
        child = subprocess.Popen(
            [sys.executable, "-c", WRITER_PROGRAM, str(tmp_path)], stdout=subprocess.PIPE, text=True
        )  # fmt: skip
        last = 0
        for line in child.stdout:
            last = int(line)
            if last % 100 >= stop_after:
                break
        child.send_signal(signal.SIGKILL)
        last = max([last, *(int(line) for line in child.stdout)])
        child.wait()
        folder.unlock_folder(
            folder.lock_folder(tmp_path, within_s=20.0)
        )  # waits for the killed process's writer to finish its last job
        found = inspect_folder(folder.DiskFolder(tmp_path), "fleet", "a", file_format.StoreLimits())
        assert int(found.entries["term", "t"]) >= last
        assert not found.closed_cleanly


def test_a_slow_disk_blocks_no_iteration_and_a_killed_writer_is_replaced(tmp_path):
    store = open_test_store(tmp_path, empty_ok=True)
    advance_until(store, lambda: store.core.settled)
    writer = store.runner.process
    os.kill(writer.pid, signal.SIGSTOP)  # simulates a disk that does not respond
    results = []
    store.put(monotonic_ms(), "term", "t", "x" * 400, lambda on_disk, why: results.append((on_disk, why)))
    longest_s = 0.0
    deadline = time.monotonic() + 20.0
    while not results and time.monotonic() < deadline:
        started_s = time.process_time()
        store.advance(monotonic_ms())
        longest_s = max(longest_s, time.process_time() - started_s)
        time.sleep(0.002)
    assert results == [(False, "the disk is slow")]
    assert longest_s < 0.1
    assert store.status(monotonic_ms()).slow_ms >= LIMITS.wait_ms - 1
    os.kill(writer.pid, signal.SIGKILL)
    advance_until(store, lambda: store.status(monotonic_ms()).failing)
    assert "the writer ended" in store.status(monotonic_ms()).failing
    advance_until(store, lambda: not store.status(monotonic_ms()).failing)
    assert store.runner.process.pid != writer.pid
    assert store.close(monotonic_ms, 20_000.0)


def test_changes_of_one_loop_iteration_are_committed_together_and_faults_are_logged(tmp_path):
    logged, results, loop = [], [], EventLoop(lambda _now_ms, _events: None, print)
    store = EventLoopStore(
        loop, open_test_store(tmp_path, empty_ok=True), lambda text, _fields: logged.append(text)
    )

    def run_loop_until(condition):
        deadline = time.monotonic() + 20.0
        while not condition() and time.monotonic() < deadline:
            loop.run_iteration(1.0)
        assert condition()

    run_loop_until(lambda: store.store.core.settled and not store.store.core.job_in_progress)
    logged.clear()  # the start may be logged as slow on a busy machine
    for n in range(4):
        store.put("term", f"t{n}", n, lambda on_disk, _why: results.append(on_disk))
    before = store.store.core.number
    run_loop_until(lambda: len(results) == 4)
    assert store.store.core.number == before + 1
    os.kill(store.store.runner.process.pid, signal.SIGSTOP)
    store.put("term", "t0", 5, lambda _on_disk, why: results.append(why))
    run_loop_until(lambda: "the disk is slow" in results and logged[-1:] == ["the disk is slow"])
    os.kill(store.store.runner.process.pid, signal.SIGKILL)
    run_loop_until(lambda: logged[-2:] == ["not durable now", "durable again"])
    assert store.close(20_000.0)
    loop.close()


def test_a_job_larger_than_a_pipe_reaches_the_disk(tmp_path):
    store = open_test_store(
        tmp_path, empty_ok=True, limits=file_format.StoreLimits(wait_ms=20_000.0, piece_bytes=2_000_000)
    )
    for n in range(100):
        store.put(monotonic_ms(), "use", f"u{n}", "x" * 10_000)
    assert store.close(monotonic_ms, 20_000.0)
    assert (
        len(inspect_folder(folder.DiskFolder(tmp_path), "fleet", "a", file_format.StoreLimits()).entries)
        == 100
    )


def rewrite_headers(path, **header_fields):
    """Change the headers of all files, with valid checksums."""
    for name in os.listdir(path):
        if file_format.parse_file_name(name):
            data = (path / name).read_bytes()
            records, _ = leading_records(data)
            header = msgspec.json.decode(records[0][1], type=file_format.FileHeader)
            rest = data[len(encode_record(0, header)) :]
            (path / name).write_bytes(
                encode_record(0, msgspec.structs.replace(header, **header_fields)) + rest
            )


def flip_bit(path, name, offset_from_end):
    """Flip a bit of the byte at this distance from the end of a file."""
    data = bytearray((path / name).read_bytes())
    data[-offset_from_end] ^= 4
    (path / name).write_bytes(data)


DAMAGE_CASES = {
    "another fleet": (
        lambda path: rewrite_headers(path, fleet="f2"),
        r"snap-1.snap: of fleet f2, not of fleet",
    ),
    "swapped": (lambda path: rewrite_headers(path, name="b"), r"snap-1.snap: the disk of member b, not of a"),
    "version": (lambda path: rewrite_headers(path, version=9), r"snap-1.snap: version 9, and this program"),
    "snapshot": (lambda path: flip_bit(path, "snap-1.snap", 9), r"snap-1.snap: damaged"),
    "middle": (lambda path: flip_bit(path, "log-1.seg", 200), r"log-1.seg: damaged at byte \d+: group"),
    "missing": (lambda path: (path / "snap-1.snap").unlink(), r"log-1.seg: the snapshot before it is"),
    "empty": (lambda path: [file.unlink() for file in path.iterdir()], r"d: empty, but this member is not"),
}  # fmt: skip


@pytest.mark.parametrize("damage", DAMAGE_CASES)
def test_an_unreadable_folder_is_rejected_with_path_and_cause(tmp_path, damage):
    create_filled_store(tmp_path / "d")
    DAMAGE_CASES[damage][0](tmp_path / "d")
    before = folder_contents(tmp_path / "d")
    with pytest.raises(DiskError, match=DAMAGE_CASES[damage][1]) as error_info:
        open_test_store(tmp_path / "d")
    assert str(error_info.value).startswith(str(tmp_path / "d"))
    assert "\n" not in str(error_info.value)
    assert folder_contents(tmp_path / "d") == before | {folder.LOCK_FILE: b""}


def folder_contents(path):
    return {file.name: file.read_bytes() for file in path.iterdir()}


def test_a_copy_of_the_files_is_rejected_and_a_rollback_is_detected_by_reported_positions(tmp_path):
    create_filled_store(tmp_path / "d")
    shutil.copytree(tmp_path / "d", tmp_path / "copy")
    with pytest.raises(DiskError, match="a copy of another file, and may be an older one"):
        open_test_store(tmp_path / "copy")
    disk_id = inspect_folder(
        folder.DiskFolder(tmp_path / "d"), "fleet", "a", file_format.StoreLimits()
    ).position.disk_id
    open_test_store(
        tmp_path / "d", reported=[FolderPosition(disk_id, 1, 3), FolderPosition("other", 9, 9)]
    ).close(monotonic_ms, 20_000.0)
    with pytest.raises(DiskError, match="rolled back: stands at life 2, number"):
        open_test_store(tmp_path / "d", reported=[FolderPosition(disk_id, 2, 900)])


def test_a_file_and_a_folder_that_cannot_be_created_are_rejected(tmp_path):
    (tmp_path / "file").write_text("x")
    with pytest.raises(DiskError, match="file: not a folder"):
        open_test_store(tmp_path / "file", empty_ok=True)
    with pytest.raises(DiskError, match="file/d: not writable"):
        open_test_store(tmp_path / "file" / "d", empty_ok=True)


# --- the command ----------------------------------------------------------------------------------------


def run_recovery_command(*options):
    return CliRunner().invoke(app, ["recovery", *map(str, options)])


def test_verify_shows_a_folder_and_errors_end_with_one_line(tmp_path):
    create_filled_store(tmp_path / "d")
    result = run_recovery_command("verify", tmp_path / "d")
    assert result.exit_code == 0
    assert "last shutdown: graceful" in result.output
    assert "term: 1" in result.output
    (tmp_path / "none").mkdir()
    (tmp_path / "file").write_text("x")
    for path, why in (("none", "contains no"), ("gone", "no such folder"), ("file", "not a folder")):
        result = run_recovery_command("verify", tmp_path / path)
        assert result.exit_code == 2
        assert why in result.stderr
        assert len(result.stderr.splitlines()) == 1
        assert str(tmp_path / path) in result.stderr
    assert os.listdir(tmp_path / "none") == []
    store = open_test_store(tmp_path / "d")
    assert run_recovery_command("repair", tmp_path / "d").exit_code == 2
    store.close(monotonic_ms, 20_000.0)


def test_repair_shows_losses_sets_files_aside_and_the_next_incarnation_reports_it(tmp_path):
    create_filled_store(tmp_path / "d")
    flip_bit(tmp_path / "d", "log-1.seg", 200)
    before = folder_contents(tmp_path / "d")
    result = run_recovery_command("verify", tmp_path / "d")
    assert result.exit_code == 2
    assert f"{tmp_path / 'd' / 'log-1.seg'}: damaged at byte" in result.stderr
    result = run_recovery_command("repair", tmp_path / "d", "--dry-run")
    assert result.exit_code == 0
    assert "lost: log-1.seg: from byte" in result.output
    assert folder_contents(tmp_path / "d") == before
    assert run_recovery_command("repair", tmp_path / "d").exit_code == 0
    names = os.listdir(tmp_path / "d")
    assert {"snap-1.snap.aside", "log-1.seg.aside", "snap-2.snap"} <= set(names)
    store = open_test_store(tmp_path / "d")
    assert "damaged" in store.recovered.repaired
    assert store.get("term", "t") < 4
    assert not store.recovered.closed_cleanly
    advance_until(store, lambda: store.core.settled)
    assert "repaired, and not confirmed" in close_and_verify(store, tmp_path / "d")
    store = open_test_store(tmp_path / "d")
    store.core.confirm()
    store.close(monotonic_ms, 20_000.0)
    assert (
        inspect_folder(folder.DiskFolder(tmp_path / "d"), "fleet", "a", file_format.StoreLimits()).repaired
        == ""
    )
    assert run_recovery_command("repair", tmp_path / "d").output == "nothing to repair\n"


def close_and_verify(store, path):
    assert store.close(monotonic_ms, 20_000.0)
    return run_recovery_command("verify", path).output
