"""The writer that loses what was not synced: what a loss of power leaves of files, names and promises."""

import json
import os
import random
import signal
import subprocess
import sys
import time

import pytest
from support.promise_process import WRITING, found_in

from fawnwharf.durable_store import operations
from fawnwharf.durable_store.folder import DiskFolder, lock_folder
from fawnwharf.durable_store.folder_reader import UnreadableFolderError
from fawnwharf.durable_store.writer_process import WriterProcess
from fawnwharf.fakes import lossy
from fawnwharf.fakes.lossy import LossyFolder


@pytest.fixture
def instead(tmp_path, monkeypatch):
    """Settings of the writer in the environment; what it is to do is added by who uses them."""

    def settings(**words):
        monkeypatch.setenv(lossy.VARIABLE, json.dumps({"folder": str(tmp_path / "power")} | words))
        for name, value in lossy.SAYS.items():
            monkeypatch.setenv(name, value)

    (tmp_path / "power").mkdir()
    settings()
    return settings


def told_and_found(tmp_path, until, tear):
    """A store's last promise when the power went, and what its folder holds then."""
    path = tmp_path / "durable"
    child = subprocess.Popen([sys.executable, "-c", WRITING, str(path)], stderr=subprocess.PIPE, text=True)
    last = 0
    for line in child.stderr:
        last = int(line.split()[-1]) if "told" in line else 0
        if last % 100 >= until:
            break
    assert lossy.cut(tmp_path / "power", tear) == 1
    child.send_signal(signal.SIGKILL)
    # It may see its writer end before it is killed itself, and end by a refused promise.
    last = max([last, *(int(line.split()[-1]) for line in child.stderr if line.startswith("told "))])
    child.wait()
    return last, found_in(path)


@pytest.mark.parametrize("tear", [False, True], ids=["all is lost", "the last write is torn"])
def test_what_a_store_told_is_there_after_losses_of_power(tmp_path, instead, tear):
    for seed, until in enumerate((15, 40, 65)):
        instead(seed=seed)
        last, found = told_and_found(tmp_path, until, tear)
        assert found >= last >= until


def test_a_store_that_tells_before_it_syncs_is_found(tmp_path, instead):
    instead(bug="told before sync")
    try:
        last, found = told_and_found(tmp_path, 40, tear=False)
    except UnreadableFolderError:  # not even a snapshot whose name is there
        return
    assert found < last


def carried(writer, *job):
    writer.start(operations.DiskJob(job))
    end = time.monotonic() + 20.0
    while (outcome := writer.poll()) is None and time.monotonic() < end:
        time.sleep(0.001)
    assert outcome is not None and not outcome.error


@pytest.mark.parametrize("end", ["power", "kill of who writes"])
def test_what_was_not_synced_goes_with_the_power_and_not_with_the_process(tmp_path, instead, end):
    path = tmp_path / "durable"
    writer = WriterProcess(path, lock_folder(path))
    carried(
        writer,
        operations.CreateFile("a"),
        operations.AppendBytes("a", b"synced"),
        operations.SyncFile("a"),
        operations.SyncFolder(),
    )
    carried(
        writer,
        operations.AppendBytes("a", b", not synced"),
        operations.CreateFile("b"),
        operations.AppendBytes("b", b"b"),
        operations.SyncFile("b"),
    )
    assert DiskFolder(path).read("a")[0] == b"synced" and "b" not in DiskFolder(path).names()
    if end == "power":
        lossy.cut(tmp_path / "power", tear=False)
        writer.process.wait(20.0)
        assert (path / "a").read_bytes() == b"synced" and not (path / "b").exists()
    else:
        writer.close(20.0)
        assert (path / "a").read_bytes() == b"synced, not synced" and (path / "b").read_bytes() == b"b"
        assert not list((tmp_path / "power").glob("writer-*"))


def test_a_cut_leaves_processes_alone_that_only_have_a_writers_number(tmp_path):
    (tmp_path / f"writer-{os.getpid()}").write_bytes(b"another program")
    assert lossy.cut(tmp_path, tear=False) == 0


def test_any_blocks_and_any_names_are_there_after_a_torn_write(tmp_path):
    """Over seeds all ends come: nothing, a part with a hole, all; and each the same by the same seed."""
    data, ends = bytes(range(1, 201)), {}
    for seed in range(40):
        for again in range(2):
            path = tmp_path / f"{seed}-{again}"
            path.mkdir()
            files = LossyFolder(path, tmp_path / f"cache-{seed}-{again}")
            files.begin("a")
            files.append("a", data[:30])
            files.sync("a")
            files.sync_directory()
            files.append("a", data[30:])
            files.rename("a", "b")
            files.tear(random.Random(seed), 0.5)
            [name] = DiskFolder(path).names()
            end = name, (path / name).read_bytes()
            assert ends.setdefault(seed, end) == end
            assert end[1].startswith(data[:30]) and len(end[1]) <= len(data)
            assert all(byte in (0, data[n]) for n, byte in enumerate(end[1]))
    found = set(ends.values())
    assert {name for name, _ in found} == {"a", "b"}
    assert {data[:30], data} < {content for _, content in found}
    assert any(0 in content for _, content in found)
