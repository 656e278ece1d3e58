"""Real processes that restart after a power loss, one of them with a wrong disk.

The disk is an older copy, that of another member, empty, or has a flipped bit.
"""

import contextlib
import resource
import shutil
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from support.power_losses import PowerFleet

from fawnwharf.consensus.records import leading_records
from fawnwharf.durable_store import file_format as f

TIMING = {"hold_ms": 100.0, "listen_ms": 1_000.0, "most_ms": 300.0, "settle_ms": 100.0}
PACE = {"again_ms": 50.0, "spread_ms": 20.0, "stand_ms": 50.0, "stage_ms": 100.0}
ALONE_S = 0.4  # how long calls are sent to two front ends, one of which has a doubtful store


class DiskFleet(PowerFleet):
    """`one` is the member with the wrong disk; the second runs beside it, the third starts last."""

    def __init__(self, seed):
        super().__init__(seed, timing=TIMING, pace=PACE)
        self.begin()
        self.served("the fleet to serve")
        self.one, self.second, self.third = self.fronts.values()
        self.began = 0  # notes before this power loss

    def disk(self, front):
        return front.folder / "durable"

    def said(self, front, event):
        return [n.fields for n in self.notes[self.began :] if (n.front, n.event) == (front.name, event)]

    def lose(self):
        """Cut the power while a call runs; return the call."""
        request = self.running()
        self.cut()
        self.began = len(self.notes)
        return request

    def refused(self, *fronts):
        """Check that starts fail and change nothing; return the single error line of each front end."""
        before = [contents(self.disk(front)) for front in fronts]
        for front in fronts:
            self.start(front)
        self.until(lambda: all(front.process is None for front in fronts), "a start to end")
        assert [contents(self.disk(front)) for front in fronts] == before
        for front in fronts:
            assert front.status == 2 and len(front.lines) == 1, list(front.lines)
        return [front.last_line for front in fronts]

    def ready(self, *fronts):
        for front in fronts:
            self.start(front)
        self.until_ready(fronts, "front ends")

    def in_doubt(self, request, why):
        """Check that a front end with a doubtful store grants nothing and later recovers.

        It runs beside the second front end, then with all. The lost call never runs again, and new calls are
        served in the end.
        """
        one, second, third = self.one, self.second, self.third
        self.ready(one, *([] if second.alive else [second]))
        assert self.said(one, "recovery store read")[-1]["why"].startswith(why)
        assert self.said(one, "grants read")[-1]["trusted"] is False
        assert self.said(second, "grants read")[-1]["trusted"] is True
        asked = [self.again(request, zone) for zone in (one.zone, second.zone)]
        asked += [self.ask(zone) for zone in (one.zone, second.zone)]
        self.rest(ALONE_S)
        assert not [twin for twin in asked if twin.outcome == "served"] and self.runs(request) == 1
        assert not self.sure(one) and self.sure(second)
        self.ready(third)
        self.until(lambda: self.sure(one), f"{one.name} to know what was granted")
        for front in self.fronts.values():
            assert self.outcome(request, front.zone) == "failed"
        assert self.runs(request) == 1
        self.served("a new call")
        self.until(lambda: self.said(one, "recovery store confirmed"), "doubt to end")
        assert not self.faults

    def sure(self, front):
        return bool(found := self.said(front, "replica")) and found[-1]["complete"]


def contents(folder):
    files = {path.name: path for path in folder.glob("*") if path.name != "durable.lock"}
    return {name: (path.read_bytes(), path.stat().st_ino) for name, path in files.items()}


def last(folder, pattern):
    return max(folder.glob(pattern), key=lambda path: f.parse_file_name(path.name)[1])


def proven(log):
    """An offset in the first group if a later group confirms that it is on disk; 0 otherwise."""
    data = log.read_bytes()
    groups = [content for _, content in leading_records(data)[0][1:]]
    if not groups:
        return 0
    synced, number = (
        msgspec.json.decode(groups[-1], type=f.CommitGroup).synced,
        leading_records(data)[0][1][0],
    )
    return data.index(groups[0]) + 5 if synced >= number else 0


def flip(path, place):
    data = bytearray(path.read_bytes())
    data[place] ^= 4
    with path.open("r+b") as file:  # written in place to keep the inode
        file.write(data)
    return place


def swap(one, other):
    beside = one.with_name("beside")
    one.rename(beside)
    other.rename(one)
    beside.rename(other)


def recovery(what, folder):
    command = [sys.executable, "-m", "fawnwharf", "recovery", what, str(folder)]
    return subprocess.run(command, capture_output=True, text=True, timeout=30.0)


@pytest.fixture(scope="module")
def fleet():
    found = DiskFleet(seed=8)
    yield found
    found.close()


def test_a_folder_put_back_from_a_copy_is_rejected_and_repaired_in_doubt(fleet):
    disk = fleet.disk(fleet.one)
    copy = disk.with_name("copy")
    shutil.copytree(disk, copy)
    request = fleet.lose()
    shutil.rmtree(disk)
    copy.rename(disk)
    fleet.start(fleet.second)
    [line] = fleet.refused(fleet.one)
    assert f"{disk.name}/snap-" in line and line.endswith("a copy of another file, and may be an older one")
    assert recovery("repair", disk).returncode == 0
    fleet.in_doubt(request, "repaired: snap-")


def test_swapped_folders_are_rejected_and_an_empty_one_comes_up_in_doubt(fleet):
    request = fleet.lose()
    one, second = fleet.one, fleet.second
    disks = fleet.disk(one), fleet.disk(second)
    swap(*disks)
    for line, front, other in zip(fleet.refused(one, second), (one, second), (second, one), strict=True):
        assert f"the disk of member {other.name}, not of {front.name}" in line
    mended = recovery("repair", disks[0])
    assert mended.returncode == 0 and mended.stdout.strip() == "nothing to repair"
    swap(*disks)  # the disks are undamaged in their own places, as `in_doubt` checks for the second
    shutil.rmtree(disks[0])
    fleet.in_doubt(request, "empty")


def test_a_flipped_bit_in_what_was_synced_is_rejected_and_repaired_in_doubt(fleet):
    disk = fleet.disk(fleet.one)
    fleet.served("a call, in the log of this life")
    fleet.until(lambda: proven(last(disk, "log-*.seg")), "its groups to be proven")
    request = fleet.lose()
    snap, log = last(disk, "snap-*.snap"), last(disk, "log-*.seg")
    fleet.start(fleet.second)
    place = flip(snap, snap.stat().st_size // 2)
    assert f"{snap.name}: damaged: the snapshot is incomplete" in fleet.refused(fleet.one)[0]
    flip(snap, place)
    flip(log, proven(log))
    assert f"{log.name}: damaged at byte " in fleet.refused(fleet.one)[0]
    assert recovery("repair", disk).returncode == 0
    fleet.in_doubt(request, f"repaired: {log.name}: damaged at byte ")


def processes(front):
    """The process ids of a front end and of its store's writer."""
    pid = front.process.pid
    return [pid, *map(int, Path(f"/proc/{pid}/task/{pid}/children").read_text().split())]


def full(front, on):
    """Simulate a full disk, or end it, by limiting the file size of the front end's processes."""
    for pid in processes(front):
        with contextlib.suppress(ProcessLookupError):
            most = 0 if on else resource.RLIM_INFINITY
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (most, resource.RLIM_INFINITY))


def test_a_full_disk_grants_nothing_and_serves_on_and_what_was_granted_before_it_holds(fleet):
    one, second, third = fleet.one, fleet.second, fleet.third
    fleet.served("a call before")
    assert len(processes(one)) == 2
    began = len(fleet.notes)

    def noted(front, event):
        return [n for n in fleet.notes[began:] if (n.front, n.event) == (front.name, event)]

    full(one, True)
    fleet.until(lambda: fleet.ask(one.zone) and noted(one, "not durable now"), "the full disk to be seen")
    fleet.until(lambda: not fleet.sure(one), f"{one.name} to grant nothing")
    fleet.served("a call by two of three keepers")  # it arrives at the front end with the full disk
    assert fleet.sure(second) and fleet.sure(third)
    full(second, True)
    fleet.until(lambda: fleet.ask(second.zone) and noted(second, "not durable now"), "the second one")
    fleet.until(lambda: not fleet.sure(second), f"{second.name} to grant nothing")
    asked = [fleet.ask(front.zone) for front in fleet.fronts.values()]
    fleet.until(lambda: all(r.outcome for r in asked), "calls without keepers to end")
    assert {r.outcome for r in asked} <= {"refused", "failed"} and not any(map(fleet.runs, asked))
    for front in (one, second):
        full(front, False)
        fleet.until(lambda front=front: noted(front, "durable again"), f"{front.name} to be durable again")
    fleet.until(lambda: fleet.sure(one) and fleet.sure(second), "both to grant again")
    fleet.served("a call after")
    request = fleet.lose()
    fleet.ready(one, second, third)
    for front in fleet.fronts.values():
        assert fleet.outcome(request, front.zone) == "failed"
    assert fleet.runs(request) == 1 and not fleet.faults
    assert all(front.alive for front in fleet.fronts.values())
