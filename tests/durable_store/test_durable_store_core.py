"""The durable store on a disk in memory: what is told when, and crash tests."""

import contextlib
import random

import pytest

from fawnwharf.durable_store import crash_simulation, repairs, simulated_folder
from fawnwharf.durable_store import file_format as f
from fawnwharf.durable_store.core import StoreCore
from fawnwharf.durable_store.entry_table import ChangeRejectedError
from fawnwharf.durable_store.folder_reader import FolderState, UnreadableFolderError
from fawnwharf.durable_store.mutants import MUTANTS
from fawnwharf.durable_store.operations import AppendBytes, JobResult, SyncFile, execute_job
from fawnwharf.durable_store.store import inspect_folder
from fawnwharf.fakes.disks import MemoryDisk, Plan, PowerCut

LIMITS = f.StoreLimits(10_000, 600, 200, 40.0, 300.0, 400.0, 100.0, 30.0, 200.0)
KINDS = [
    f.EntryKind("term", f.Durability.SYNCED, 4, 500),
    f.EntryKind("use", f.Durability.DELAYED),
    f.EntryKind("copies", f.Durability.BEST_EFFORT),
]
HEAD = f.FileHeader(f.VERSION, "fleet", "a", "ab" * 8, 1, "boot", 0.0, f.SNAPSHOT, 0)


def core(disk=None, now=0.0):
    """A core with a log open, and its disk."""
    disk, made = disk or MemoryDisk(), StoreCore(LIMITS, KINDS, HEAD, FolderState(), lambda: 0.0)
    settle(made, disk, now)
    return made, disk


def settle(made, disk, now):
    ended = []
    while (job := made.next_job(now)) is not None:
        ended += made.finish_job(now, execute_job(disk, job))
    return ended


# --- what is told, and when ---------------------------------------------------------------------------


def test_one_sync_commits_all_changes_that_arrived_during_the_last_one():
    made, disk = core()
    first = made.put(0.0, "term", "t", 1)
    job = made.next_job(0.0)
    later = [made.put(1.0, "term", key, 2) for key in "tuv"]
    assert made.next_job(1.0) is None
    assert [end[:2] for end in made.finish_job(2.0, execute_job(disk, job))] == [(first, True)]
    job = made.next_job(2.0)
    assert [type(op) for op in job.operations] == [AppendBytes, SyncFile]
    assert [end[:2] for end in made.finish_job(3.0, execute_job(disk, job))] == [
        (each, True) for each in later
    ]


def test_delayed_changes_are_synced_within_their_delay_and_best_effort_ones_with_others():
    made, disk = core()
    made.put(0.0, "use", "u", 1)
    made.put(0.0, "copies", "c", 1)
    assert made.due_ms() == LIMITS.soon_ms
    assert made.next_job(LIMITS.soon_ms - 1) is None
    job = made.next_job(LIMITS.soon_ms)
    assert isinstance(job.operations[-1], SyncFile)
    made.finish_job(50.0, execute_job(disk, job))
    assert made.status(60.0).behind_ms == 0.0
    made.put(60.0, "copies", "c", 2)
    mark = made.next_job(50.0 + LIMITS.soon_ms)  # what proves the last group goes with it
    assert [type(op) for op in mark.operations] == [AppendBytes]


def test_a_ticket_ends_unknown_when_the_disk_is_slow_and_at_once_when_it_fails():
    made, disk = core()
    slow = made.put(0.0, "term", "t", 1)
    job = made.next_job(0.0)
    assert made.expire_tickets(LIMITS.wait_ms - 1) == []
    assert made.status(LIMITS.wait_ms).slow_ms == LIMITS.wait_ms
    assert [end[:2] for end in made.expire_tickets(LIMITS.wait_ms)] == [(slow, False)]
    behind = made.put(LIMITS.wait_ms, "term", "u", 1)
    ended = made.finish_job(500.0, JobResult("log-1.seg: Input/output error"))
    assert [end[:2] for end in ended] == [(behind, False)]
    assert job is not None
    with pytest.raises(ChangeRejectedError, match="Input/output"):
        made.put(500.0, "term", "t", 2)
    assert made.entries["term", "t"] == b"1"
    made.put(501.0, "use", "u", 7)  # taken, and said not to be durable
    assert "Input/output" in made.status(600.0).failing
    assert made.status(600.0).behind_ms == 600.0
    assert made.next_job(500.0 + LIMITS.retry_ms - 1) is None
    settle(made, disk, 500.0 + LIMITS.retry_ms)
    assert made.status(700.0).failing == ""
    assert made.status(700.0).behind_ms == 0.0
    assert inspect_folder(disk, "fleet", "a", LIMITS).entries == made.entries
    assert made.put(700.0, "term", "t", 3) > 0


def test_a_failing_disk_is_retried_with_exponential_backoff():
    made, _ = core()
    made.put(0.0, "term", "t", 1)
    made.next_job(0.0)
    made.finish_job(0.0, JobResult("gone"))
    pauses, now = [], 0.0
    for _ in range(5):
        pauses.append(made.due_ms() - now)
        now = made.due_ms()
        made.next_job(now)
        made.finish_job(now, JobResult("gone"))
    assert pauses == [30.0, 60.0, 120.0, 200.0, 200.0]


def test_limits_of_kinds_and_of_all_entries_are_enforced_and_named():
    made, _ = core()
    with pytest.raises(ChangeRejectedError, match="term: 502 bytes, and 500"):
        made.put(0.0, "term", "t", "x" * 500)
    for key in "abcd":
        made.put(0.0, "term", key, 1)
    with pytest.raises(ChangeRejectedError, match="term: 4 entries"):
        made.put(0.0, "term", "e", 1)
    made.put(0.0, "term", "a", None)
    made.put(0.0, "term", "e", 1)
    with pytest.raises(ChangeRejectedError, match="10000 bytes in all"):
        made.put(0.0, "use", "u", "x" * 9_900)
    assert made.status(0.0).state_bytes == sum(
        f.entry_size(key, value) for key, value in made.entries.items()
    )


def test_logs_rotate_while_groups_are_written_and_the_folder_stays_small():
    made, disk = core()
    sizes, names = [], set()
    for turn in range(400):
        made.put(turn * 50.0, "use", f"u{turn % 30}", "x" * 40)
        settle(made, disk, turn * 50.0 + LIMITS.soon_ms)
        sizes.append(sum(disk.names().values()))
        names |= disk.names().keys()
    assert len(names) > 20
    assert max(sizes) < 12_000
    assert sizes[-1] < 8_000
    assert inspect_folder(disk, "fleet", "a", LIMITS).entries == made.entries


def test_transient_changes_on_a_slow_disk_are_bounded_and_none_is_lost():
    made, disk = core()
    made.put(0.0, "use", "old", 1)
    settle(made, disk, 100.0)
    made.put(100.0, "term", "t", 1)
    job = made.next_job(100.0)  # and the disk stands still
    made.put(101.0, "use", "old", None)
    for n in range(5_000):
        made.put(101.0, "use", f"u{n}", float("nan") if n % 2 else n)
        made.put(101.0, "use", f"u{n}", None)
        assert len(made._pending.keys) < 1_100
    ticket = made.put(102.0, "term", "u", 2)
    made.finish_job(200.0, execute_job(disk, job))
    assert [(end.ticket, end.on_disk) for end in settle(made, disk, 200.0)] == [(ticket, True)]
    held = inspect_folder(disk, "fleet", "a", LIMITS).entries
    assert held == made.entries == {("term", "t"): b"1", ("term", "u"): b"2"}


def test_nothing_of_a_folder_is_reported_before_a_new_incarnation_has_rewritten_it():
    """What a killed process wrote is read, but may go with the next power cut."""
    made, disk = core()
    made.put(0.0, "term", "t", 1)
    execute_job(disk, without_sync(made.next_job(0.0)))
    found = inspect_folder(disk, "fleet", "a", LIMITS)
    assert found.entries == {("term", "t"): b"1"}
    again = StoreCore(LIMITS, KINDS, HEAD, found, lambda: 0.0)
    assert not again.settled
    assert again.position().incarnation == 0
    settle(again, disk, 0.0)
    assert again.settled
    assert disk.reboot(random.Random(1), 0.0).names().keys() >= {"snap-2.snap", "log-2.seg"}


def without_sync(job):
    return type(job)(tuple(op for op in job.operations if not isinstance(op, SyncFile)))


# --- crash tests, a sample ----------------------------------------------------------------------------


def test_a_scripted_run_survives_a_power_loss_at_every_operation_and_sampled_bytes():
    assert crash_simulation.check_points(61, 10_000) > 500
    whole = simulated_folder.SimulatedFolder()
    crash_simulation.run_script(whole)
    assert [what for what, _ in whole.disk.marks].count("rename") >= 6  # logs followed each other


def test_random_runs_survive_power_losses_kills_failures_flipped_bits_and_older_copies():
    ends = crash_simulation.check_random(2_000, 1)
    assert len(ends) >= 9
    assert ends["power loss or kill: state as reported"] > 800


@pytest.mark.parametrize("name", MUTANTS)
def test_the_crash_simulation_detects_the_mutants(name):
    with pytest.raises(simulated_folder.InvariantViolationError):
        crash_simulation.check_random(1_500, 1, MUTANTS[name])


def test_an_interrupted_repair_leaves_a_folder_that_is_rejected_or_repaired():
    seen = set()
    for cut in range(12):
        for share in crash_simulation.SURVIVING_SHARES:
            made, disk = core()
            for n in range(6):
                made.put(0.0, "term", "t", n)
                settle(made, disk, 0.0)
            disk.flip("log-1.seg", 8 * 400)
            files = {name: disk.read(name) for name in disk.names()}
            plan = repairs.plan_repair(files)
            disk.plan.cut_at = disk.count + cut
            with contextlib.suppress(PowerCut):
                outcome = execute_job(disk, repairs.first_repair_job(plan))
                execute_job(disk, repairs.second_repair_job(plan, outcome.inode, 0.0))
            disk = disk.reboot(random.Random(cut), share)
            try:
                found = inspect_folder(disk, "fleet", "a", LIMITS)
                assert found.entries == plan.state.entries
                assert "damaged" in found.repaired
                seen.add("repaired")
            except UnreadableFolderError:
                seen.add("refused")
    assert seen == {"repaired", "refused"}


def test_a_full_disk_fails_and_recovers_with_all_changes():
    made, disk = core()
    disk.plan = Plan(room=sum(disk.names().values()) + 100)
    ticket = made.put(0.0, "term", "t", "x" * 300)
    ended = made.finish_job(0.0, execute_job(disk, made.next_job(0.0)))
    assert [(end.ticket, end.on_disk) for end in ended] == [(ticket, False)]
    assert "No space" in ended[0].why
    for turn in range(1, 20):
        assert settle(made, disk, turn * 250.0) == []
    disk.plan = Plan()
    settle(made, disk, 10_000.0)
    assert made.status(10_000.0).failing == ""
    assert inspect_folder(disk, "fleet", "a", LIMITS).entries == made.entries
    assert len(disk.names()) == 2  # what was begun on the full disk is gone
