"""The durable store on a disk in memory: when changes are reported, and crash tests."""

import contextlib
import random

import pytest

from fawnwharf.durable_store import crash_simulation, file_format, repairs, simulated_folder
from fawnwharf.durable_store.core import StoreCore
from fawnwharf.durable_store.entry_table import ChangeRejectedError
from fawnwharf.durable_store.folder_reader import FolderState, UnreadableFolderError
from fawnwharf.durable_store.mutants import MUTANTS
from fawnwharf.durable_store.operations import AppendBytes, JobResult, SyncFile, execute_job
from fawnwharf.durable_store.store import inspect_folder
from fawnwharf.fakes.disks import MemoryDisk, Plan, PowerCut

LIMITS = file_format.StoreLimits(10_000, 600, 200, 40.0, 300.0, 400.0, 100.0, 30.0, 200.0)
KINDS = [
    file_format.EntryKind("term", file_format.Durability.SYNCED, 4, 500),
    file_format.EntryKind("use", file_format.Durability.DELAYED),
    file_format.EntryKind("copies", file_format.Durability.BEST_EFFORT),
]
HEADER = file_format.FileHeader(
    file_format.VERSION, "fleet", "a", "ab" * 8, 1, "boot", 0.0, file_format.SNAPSHOT, 0
)


def open_core(disk=None, now=0.0):
    """Create a store core with an open log, and its disk."""
    disk, store_core = disk or MemoryDisk(), StoreCore(LIMITS, KINDS, HEADER, FolderState(), lambda: 0.0)
    run_due_jobs(store_core, disk, now)
    return store_core, disk


def run_due_jobs(store_core, disk, now):
    """Execute all jobs that are due now; return the results of the commit tickets."""
    results = []
    while (job := store_core.next_job(now)) is not None:
        results += store_core.finish_job(now, execute_job(disk, job))
    return results


# --- when changes are reported ------------------------------------------------------------------------


def test_one_sync_commits_all_changes_that_arrived_during_the_last_one():
    store_core, disk = open_core()
    first_ticket = store_core.put(0.0, "term", "t", 1)
    job = store_core.next_job(0.0)
    later_tickets = [store_core.put(1.0, "term", key, 2) for key in "tuv"]
    assert store_core.next_job(1.0) is None
    assert [result[:2] for result in store_core.finish_job(2.0, execute_job(disk, job))] == [
        (first_ticket, True)
    ]
    job = store_core.next_job(2.0)
    assert [type(op) for op in job.operations] == [AppendBytes, SyncFile]
    assert [result[:2] for result in store_core.finish_job(3.0, execute_job(disk, job))] == [
        (each, True) for each in later_tickets
    ]


def test_delayed_changes_are_synced_within_their_delay_and_best_effort_ones_with_others():
    store_core, disk = open_core()
    store_core.put(0.0, "use", "u", 1)
    store_core.put(0.0, "copies", "c", 1)
    assert store_core.due_ms() == LIMITS.soon_ms
    assert store_core.next_job(LIMITS.soon_ms - 1) is None
    job = store_core.next_job(LIMITS.soon_ms)
    assert isinstance(job.operations[-1], SyncFile)
    store_core.finish_job(50.0, execute_job(disk, job))
    assert store_core.status(60.0).behind_ms == 0.0
    store_core.put(60.0, "copies", "c", 2)
    sync_record_job = store_core.next_job(50.0 + LIMITS.soon_ms)  # records that the last group is synced
    assert [type(op) for op in sync_record_job.operations] == [AppendBytes]


def test_a_ticket_ends_unknown_when_the_disk_is_slow_and_at_once_when_it_fails():
    store_core, disk = open_core()
    slow_ticket = store_core.put(0.0, "term", "t", 1)
    job = store_core.next_job(0.0)
    assert store_core.expire_tickets(LIMITS.wait_ms - 1) == []
    assert store_core.status(LIMITS.wait_ms).slow_ms == LIMITS.wait_ms
    assert [result[:2] for result in store_core.expire_tickets(LIMITS.wait_ms)] == [(slow_ticket, False)]
    waiting_ticket = store_core.put(LIMITS.wait_ms, "term", "u", 1)
    results = store_core.finish_job(500.0, JobResult("log-1.seg: Input/output error"))
    assert [result[:2] for result in results] == [(waiting_ticket, False)]
    assert job is not None
    with pytest.raises(ChangeRejectedError, match="Input/output"):
        store_core.put(500.0, "term", "t", 2)
    assert store_core.entries["term", "t"] == b"1"
    store_core.put(501.0, "use", "u", 7)  # accepted, although the status says it is not durable
    assert "Input/output" in store_core.status(600.0).failing
    assert store_core.status(600.0).behind_ms == 600.0
    assert store_core.next_job(500.0 + LIMITS.retry_ms - 1) is None
    run_due_jobs(store_core, disk, 500.0 + LIMITS.retry_ms)
    assert store_core.status(700.0).failing == ""
    assert store_core.status(700.0).behind_ms == 0.0
    assert inspect_folder(disk, "fleet", "a", LIMITS).entries == store_core.entries
    assert store_core.put(700.0, "term", "t", 3) > 0


def test_a_failing_disk_is_retried_with_exponential_backoff():
    store_core, _ = open_core()
    store_core.put(0.0, "term", "t", 1)
    store_core.next_job(0.0)
    store_core.finish_job(0.0, JobResult("gone"))
    delays_ms, now = [], 0.0
    for _ in range(5):
        delays_ms.append(store_core.due_ms() - now)
        now = store_core.due_ms()
        store_core.next_job(now)
        store_core.finish_job(now, JobResult("gone"))
    assert delays_ms == [30.0, 60.0, 120.0, 200.0, 200.0]


def test_limits_of_kinds_and_of_all_entries_are_enforced_and_named():
    store_core, _ = open_core()
    with pytest.raises(ChangeRejectedError, match="term: 502 bytes, and 500"):
        store_core.put(0.0, "term", "t", "x" * 500)
    for key in "abcd":
        store_core.put(0.0, "term", key, 1)
    with pytest.raises(ChangeRejectedError, match="term: 4 entries"):
        store_core.put(0.0, "term", "e", 1)
    store_core.put(0.0, "term", "a", None)
    store_core.put(0.0, "term", "e", 1)
    with pytest.raises(ChangeRejectedError, match="10000 bytes in all"):
        store_core.put(0.0, "use", "u", "x" * 9_900)
    assert store_core.status(0.0).state_bytes == sum(
        file_format.entry_size(key, value) for key, value in store_core.entries.items()
    )


def test_logs_rotate_while_groups_are_written_and_the_folder_stays_small():
    store_core, disk = open_core()
    sizes, file_names = [], set()
    for iteration in range(400):
        store_core.put(iteration * 50.0, "use", f"u{iteration % 30}", "x" * 40)
        run_due_jobs(store_core, disk, iteration * 50.0 + LIMITS.soon_ms)
        sizes.append(sum(disk.names().values()))
        file_names |= disk.names().keys()
    assert len(file_names) > 20
    assert max(sizes) < 12_000
    assert sizes[-1] < 8_000
    assert inspect_folder(disk, "fleet", "a", LIMITS).entries == store_core.entries


def test_transient_changes_on_a_slow_disk_are_bounded_and_none_is_lost():
    store_core, disk = open_core()
    store_core.put(0.0, "use", "old", 1)
    run_due_jobs(store_core, disk, 100.0)
    store_core.put(100.0, "term", "t", 1)
    job = store_core.next_job(100.0)  # and the disk does not respond
    store_core.put(101.0, "use", "old", None)
    for n in range(5_000):
        store_core.put(101.0, "use", f"u{n}", float("nan") if n % 2 else n)
        store_core.put(101.0, "use", f"u{n}", None)
        assert len(store_core._pending.keys) < 1_100
    ticket = store_core.put(102.0, "term", "u", 2)
    store_core.finish_job(200.0, execute_job(disk, job))
    assert [(result.ticket, result.on_disk) for result in run_due_jobs(store_core, disk, 200.0)] == [
        (ticket, True)
    ]
    stored_entries = inspect_folder(disk, "fleet", "a", LIMITS).entries
    assert stored_entries == store_core.entries == {("term", "t"): b"1", ("term", "u"): b"2"}


def test_nothing_of_a_folder_is_reported_before_a_new_incarnation_has_rewritten_it():
    """Data that a killed process wrote can be read, but the next power loss may still remove it."""
    store_core, disk = open_core()
    store_core.put(0.0, "term", "t", 1)
    execute_job(disk, without_sync(store_core.next_job(0.0)))
    found = inspect_folder(disk, "fleet", "a", LIMITS)
    assert found.entries == {("term", "t"): b"1"}
    restarted_core = StoreCore(LIMITS, KINDS, HEADER, found, lambda: 0.0)
    assert not restarted_core.settled
    assert restarted_core.position().incarnation == 0
    run_due_jobs(restarted_core, disk, 0.0)
    assert restarted_core.settled
    assert disk.reboot(random.Random(1), 0.0).names().keys() >= {"snap-2.snap", "log-2.seg"}


def without_sync(job):
    return type(job)(tuple(op for op in job.operations if not isinstance(op, SyncFile)))


# --- a sample of the crash tests ----------------------------------------------------------------------


def test_a_scripted_run_survives_a_power_loss_at_every_operation_and_sampled_bytes():
    assert crash_simulation.check_points(61, 10_000) > 500
    folder = simulated_folder.SimulatedFolder()
    crash_simulation.run_script(folder)
    assert [operation for operation, _ in folder.disk.marks].count("rename") >= 6  # logs were rotated


def test_random_runs_survive_power_losses_kills_failures_flipped_bits_and_older_copies():
    run_counts = crash_simulation.check_random(2_000, 1)
    assert len(run_counts) >= 9
    assert run_counts["power loss or kill: state as reported"] > 800


@pytest.mark.parametrize("name", MUTANTS)
def test_the_crash_simulation_detects_the_mutants(name):
    with pytest.raises(simulated_folder.InvariantViolationError):
        crash_simulation.check_random(1_500, 1, MUTANTS[name])


def test_an_interrupted_repair_leaves_a_folder_that_is_rejected_or_repaired():
    outcomes = set()
    for operations_before_cut in range(12):
        for share in crash_simulation.SURVIVING_SHARES:
            store_core, disk = open_core()
            for n in range(6):
                store_core.put(0.0, "term", "t", n)
                run_due_jobs(store_core, disk, 0.0)
            disk.flip("log-1.seg", 8 * 400)
            files = {name: disk.read(name) for name in disk.names()}
            plan = repairs.plan_repair(files)
            disk.plan.cut_at = disk.count + operations_before_cut
            with contextlib.suppress(PowerCut):
                job_result = execute_job(disk, repairs.first_repair_job(plan))
                execute_job(disk, repairs.second_repair_job(plan, job_result.inode, 0.0))
            disk = disk.reboot(random.Random(operations_before_cut), share)
            try:
                found = inspect_folder(disk, "fleet", "a", LIMITS)
                assert found.entries == plan.state.entries
                assert "damaged" in found.repaired
                outcomes.add("repaired")
            except UnreadableFolderError:
                outcomes.add("rejected")
    assert outcomes == {"repaired", "rejected"}


def test_a_full_disk_fails_and_recovers_with_all_changes():
    store_core, disk = open_core()
    disk.plan = Plan(room=sum(disk.names().values()) + 100)
    ticket = store_core.put(0.0, "term", "t", "x" * 300)
    results = store_core.finish_job(0.0, execute_job(disk, store_core.next_job(0.0)))
    assert [(result.ticket, result.on_disk) for result in results] == [(ticket, False)]
    assert "No space" in results[0].why
    for iteration in range(1, 20):
        assert run_due_jobs(store_core, disk, iteration * 250.0) == []
    disk.plan = Plan()
    run_due_jobs(store_core, disk, 10_000.0)
    assert store_core.status(10_000.0).failing == ""
    assert inspect_folder(disk, "fleet", "a", LIMITS).entries == store_core.entries
    assert len(disk.names()) == 2  # the files created on the full disk were removed
