"""Recovery of a store at a start: trust by boot and incarnation, persistent doubt, limits and hints."""

import msgspec
import pytest
from support.memory_stores import LIMITS, Site

from fawnwharf.config import ConfigError, Fleet, Member
from fawnwharf.durable_store import repairs
from fawnwharf.durable_store.file_format import Durability, StoreLimits
from fawnwharf.durable_store.folder_reader import FolderPosition
from fawnwharf.durable_store.operations import execute_job
from fawnwharf.fakes.disks import Plan, PowerCut
from fawnwharf.recovery_core.trust import StateKind, StoreCondition, TrustLevel
from fawnwharf.recovery_service import hints, recovery_store
from fawnwharf.recovery_service import stored_state as k


@pytest.fixture
def site(monkeypatch, tmp_path):
    return Site(monkeypatch, tmp_path)


def on_disk(site, kept, kind, key, value):
    told = []
    kept.keep(kind, key, value, lambda good, why: told.append(good))
    site.pump(kept)
    assert told == [True]


def closed_cleanly(site, kept):
    kept.store.close(lambda: site.now)


def test_trust_follows_the_table_by_boot_and_by_how_the_last_incarnation_ended(site):
    cases = [
        ("kill", False, TrustLevel.NOW, TrustLevel.HINT),
        ("kill", True, TrustLevel.NOW, TrustLevel.NOW),
        ("cut", False, TrustLevel.MAJORITY, TrustLevel.HINT),
        ("cut", True, TrustLevel.MAJORITY, TrustLevel.HINT),
    ]
    for number, (end, order, plan, use) in enumerate(cases):
        name = f"m{number}"
        kept = site.kept(name, fresh=True)
        on_disk(site, kept, StateKind.PLAN, "last", {"number": 7})
        kept.keep(StateKind.USAGE, "last", [1])
        site.pump(kept, 200.0)
        if order:
            closed_cleanly(site, kept)
        site.machine(name).kill() if end == "kill" else site.machine(name).cut(share=1.0)
        kept = site.kept(name)
        assert (kept.condition, kept.same_boot, kept.closed_cleanly, kept.folder_incarnation) == (
            StoreCondition.INTACT, end == "kill", order, 2,
        )  # fmt: skip
        assert kept.read(StateKind.PLAN) == [("last", {"number": 7}, plan)]
        assert kept.read(StateKind.USAGE) == [("last", [1], use)]
        site.now += 20_000.0
        site.machine(name).kill()
        [(_, _, later)] = site.kept(name).read(StateKind.PLAN)
        assert later is TrustLevel.MAJORITY


def test_an_incarnation_has_a_larger_number_than_the_one_before_also_by_a_clock_that_was_set_back(
    site, monkeypatch
):
    numbers = []
    for unix_ms in (5_000_000.0, 5_000_000.0, 1_000.0, 9_000_000.0, 0.0):
        monkeypatch.setattr(recovery_store, "unix_ms", lambda unix_ms=unix_ms: unix_ms)
        kept = site.kept(fresh=not numbers)
        site.pump(kept, 200.0)
        numbers.append(kept.incarnation)
        closed_cleanly(site, kept)
        site.machine().kill()
    assert numbers == [5_000_000_000, 5_000_000_001, 5_000_000_002, 9_000_000_000, 9_000_000_001]


def test_a_grant_expires_by_the_clock_within_a_boot_and_counts_in_full_in_another(site):
    kept = site.kept(fresh=True)
    on_disk(site, kept, StateKind.GRANT, "a", [5_000.0, "x"])
    site.now += 3_000.0
    site.machine().kill()
    kept = site.kept()
    assert kept.read(StateKind.GRANT) == [("a", [2_000.0, 3_000.0, "x"], TrustLevel.NOW)]
    site.machine().cut()
    site.now += 60_000.0
    kept = site.kept()
    assert kept.read(StateKind.GRANT) == [("a", [5_000.0, None, "x"], TrustLevel.NOW)]
    site.now = 500.0  # same boot id but an earlier clock reading: another boot
    site.machine().kill()
    kept = site.kept()
    assert not kept.same_boot and kept.read(StateKind.GRANT)[0][1][:2] == [5_000.0, None]
    site.now = 5_000.0
    on_disk(site, kept, StateKind.GRANT, "a", [100.0, "x"])
    site.now += 200.0
    site.machine().kill()
    kept = site.kept()
    assert kept.read(StateKind.GRANT) == [] and kept.store.items("promise") == []  # expired and deleted


def test_where_the_system_tells_no_boot_each_start_is_another_one(site, tmp_path):
    for boot_file in ("", str(tmp_path / "none")):
        kept = site.kept("m", fresh=True, boot_file=boot_file)
        assert kept.boot == ""
        site.machine("m").kill()
        assert not site.kept("m", boot_file=boot_file).same_boot


def test_an_empty_folder_of_an_existing_fleet_is_partial_until_others_confirm(site):
    kept = site.kept()
    assert (kept.condition, kept.doubt, kept.was_empty) == (StoreCondition.PARTIAL, "empty", True)
    on_disk(site, kept, StateKind.PLAN, "last", 1)
    for end in ("kill", "cut", "cut"):
        getattr(site.machine(), end)()
        kept = site.kept()
        assert (kept.condition, kept.doubt, kept.was_empty) == (StoreCondition.PARTIAL, "empty", False)
        assert kept.read(StateKind.PLAN)[0][2] is TrustLevel.MAJORITY
    kept.confirm()
    assert kept.condition is StoreCondition.INTACT
    site.pump(kept, 200.0)
    site.machine().cut()
    assert site.kept().condition is StoreCondition.INTACT


@pytest.mark.parametrize("share", [0.0, 0.5, 1.0])
def test_no_power_loss_during_the_first_start_makes_an_empty_folder_count_as_complete(site, share):
    site.kept("whole")
    operations = site.machine("whole").disk.count
    assert operations > 5
    for at in range(operations):
        machine = site.machine(f"m{at}")
        machine.disk.plan = Plan(cut_at=at)
        with pytest.raises(PowerCut):
            site.kept(f"m{at}")
        machine.cut(at, share)
        assert site.kept(f"m{at}").condition is StoreCondition.PARTIAL


def test_an_empty_folder_of_a_new_fleet_has_lost_nothing(site):
    assert site.kept(fresh=True).condition is StoreCondition.INTACT
    site.machine().cut()
    assert site.kept().condition is StoreCondition.INTACT


def test_a_repaired_folder_is_partial_and_its_record_of_known_grants_is_dropped_once(site):
    kept = site.kept(fresh=True)
    kept.keep_complete_membership_number(3)
    for n in range(5):
        on_disk(site, kept, StateKind.PLAN, "last", n)
    disk = site.machine().disk
    [log] = [name for name in disk.names() if name.endswith(".seg")]
    disk.flip(log, 8 * (disk.names()[log] // 2))
    with pytest.raises(ConfigError, match=r"recovery.folder: .*damaged"):
        site.kept()
    plan = repairs.plan_repair({name: disk.read(name) for name in disk.names()})
    outcome = execute_job(disk, repairs.first_repair_job(plan))
    execute_job(disk, repairs.second_repair_job(plan, outcome.inode, 1e12))
    kept = site.kept()
    assert (
        kept.condition is StoreCondition.PARTIAL
        and kept.doubt.startswith("repaired")
        and kept.complete_membership_number == 0
    )
    kept.keep_complete_membership_number(3)  # it waited and knows all grants again; that is stored
    site.pump(kept, 200.0)
    site.machine().cut()
    kept = site.kept()
    assert (kept.condition, kept.complete_membership_number) == (StoreCondition.PARTIAL, 3)
    kept.confirm()
    site.pump(kept, 200.0)
    site.machine().cut()
    assert site.kept().condition is StoreCondition.INTACT


def test_an_older_copy_is_detected_by_positions_known_to_others_and_not_by_its_own(site):
    kept = site.kept(fresh=True)
    kept.keep_complete_membership_number(3)
    on_disk(site, kept, StateKind.PLAN, "last", 1)
    machine = site.machine()
    older = machine.disk.copy()
    machine.kill()
    kept = site.kept()
    on_disk(site, kept, StateKind.PLAN, "last", 2)
    heard = kept.position()
    assert (
        heard.incarnation == 2
        and kept.receive_position(heard)
        and kept.receive_position(FolderPosition("cd" * 8, 9, 9))
    )
    machine.disk = older
    kept, told = site.kept(), []
    kept.on_incomplete(lambda: told.append(kept.condition))
    assert (
        kept.condition is StoreCondition.INTACT and kept.complete_membership_number == 3
    )  # the folder alone does not show it
    assert not kept.receive_position(heard)
    assert (
        told == [StoreCondition.PARTIAL]
        and kept.complete_membership_number == 0
        and kept.doubt.startswith("rolled back")
    )
    assert not kept.receive_position(heard) and told == [StoreCondition.PARTIAL]  # notified once
    site.pump(kept, 200.0)
    machine.cut()
    kept = site.kept()
    assert (kept.condition, kept.complete_membership_number) == (StoreCondition.PARTIAL, 0)
    far = FolderPosition(heard.disk_id, 9, 9)
    assert not kept.receive_position(far)
    kept.confirm()
    assert (
        kept.receive_position(far) and kept.condition is StoreCondition.INTACT
    )  # others have confirmed the store since
    site.pump(kept, 200.0)
    kept = site.kept()
    assert kept.condition is StoreCondition.INTACT and not kept.receive_position(
        far
    )  # a new start is told again


def test_a_copy_taken_within_the_last_incarnation_is_detected_after_settling_too(site):
    kept = site.kept(fresh=True)
    on_disk(site, kept, StateKind.PLAN, "last", 1)
    older, between = site.machine().disk.copy(), kept.position()
    for number in range(2, 6):
        on_disk(site, kept, StateKind.PLAN, "last", number)
    heard = kept.position()
    site.machine().disk = older
    kept = site.kept()
    now = kept.position()
    assert (heard.incarnation, now.incarnation) == (1, 2) and kept.settled and heard.number > now.number
    assert (
        kept.receive_position(now)
        and kept.receive_position(between)
        and kept.condition is StoreCondition.INTACT
    )
    assert (
        not kept.receive_position(heard)
        and kept.condition is StoreCondition.PARTIAL
        and kept.doubt.startswith("rolled back")
    )
    assert f"life 1, number {between.number}" in kept.doubt


def test_entries_beyond_the_limits_are_rejected_and_logged_once(site):
    kept = site.kept(fresh=True)
    told, whole = [], "x" * (k.ENTRY_RULES[StateKind.PLACEMENTS].max_value_bytes - 100)
    rule = k.ENTRY_RULES[StateKind.PLACEMENTS]
    for n in range(rule.max_total_bytes // rule.max_value_bytes + 20):
        kept.keep(StateKind.PLACEMENTS, str(n), whole, lambda good, why: told.append((good, why)))
        site.pump(kept)
    assert told[0] == (True, "") and told[-1] == (False, "homes: exceeds 1048576 bytes in total")
    assert sum(what == "recovery store rejected an entry" for what, _ in site.log_events) == 1
    assert kept.keep(StateKind.PLACEMENTS, "0", None) and kept.keep(StateKind.PLACEMENTS, "new", whole)
    assert not kept.keep(StateKind.GRANT, "p", "x" * 40_000) and kept.keep(StateKind.GRANT, "p", [1.0])


def test_commits_are_reported_once_on_disk_and_as_uncertain_while_the_disk_fails(site):
    kept, told = site.kept(fresh=True), []
    site.machine().writer_held = True
    kept.keep(StateKind.PLAN, "last", 1, lambda good, why: told.append(good))
    site.pump(kept)
    assert told == []
    site.machine().writer_held = False
    site.pump(kept)
    assert told == [True]
    site.machine().fail_operations()
    kept.keep(StateKind.PLAN, "last", 2, lambda good, why: told.append(good))
    site.pump(kept)
    assert told == [True, False] and "Input/output" in kept.failing
    assert kept.keep(StateKind.PLAN, "last", 3, lambda good, why: told.append(good))  # stored, but uncertain
    assert told == [True, False, False]
    site.machine().repair()
    site.pump(kept, 1_000.0)
    assert not kept.failing
    site.machine().cut(share=0.0)
    assert site.kept().read(StateKind.PLAN)[0][1] == 3


def test_recovered_entries_are_settled_once_the_start_has_rewritten_them(site):
    kept = site.kept(fresh=True)
    site.machine().kill()
    kept = site.kept(settle=False)
    assert not kept.settled and kept.position().incarnation == 0
    site.pump(kept)
    assert kept.settled and kept.position().incarnation == 2
    kept.close()
    kept.close()
    assert not kept.keep(StateKind.PLAN, "last", 1)


def test_invalid_settings_fail_the_start_and_name_the_key(site):
    with pytest.raises(ConfigError, match=r"recovery.folder: .*more than a folder"):
        kept = site.kept(fresh=True)
        on_disk(site, kept, StateKind.PLAN, "last", "x" * 20_000)
        site.kept(limits=StoreLimits(state_bytes=10, segment_bytes=10))


def test_the_last_roster_is_kept_when_it_changed_and_read_as_scorers(site):
    kept, recorder = site.kept(fresh=True), hints.RosterRecorder()
    one = Member("7", "in_service", "h:1", "z1", "big", 2, 1.5)
    recorder.update(Fleet([one]))
    assert recorder.due(0.0) is None  # not complete yet
    recorder.update(Fleet([one, Member("8", "terminating", "h:2")], complete=True))
    kept.keep(StateKind.ROSTER, hints.ENTRY_KEY, recorder.due(0.0))
    two = msgspec.structs.replace(one, id="9")
    recorder.update(Fleet([one, two], complete=True))
    assert recorder.due(1_999.0) is None
    value = recorder.due(2_000.0)
    assert len(value) == 2 and recorder.due(9_000.0) is None
    site.pump(kept, 300.0)
    assert k.ENTRY_RULES[StateKind.ROSTER].mode == Durability.BEST_EFFORT
    site.machine().cut(share=1.0)
    assert hints.stored_roster(site.kept().read(StateKind.ROSTER)) == [one]
    assert hints.stored_roster([(hints.ENTRY_KEY, [["broken"]], TrustLevel.HINT)]) == []


def test_the_use_of_the_last_windows_is_due_by_function_and_class_within_its_limit(site):
    recorder = hints.UsageRecorder(0.0)
    for n in range(5):
        recorder.record(n * 2_000.0, "f", "gold", 20)
        recorder.record(n * 2_000.0, f"rare {n}", "gold")
    assert recorder.due(9_999.0) is None
    assert recorder.due(10_000.0)[:2] == [["f", "gold", 10.0], ["rare 0", "gold", 0.1]]
    for n in range(3 * hints.MAX_FUNCTIONS):
        recorder.record(10_000.0, f"g{n:05}", "low", 1 + (n % 3 == 0))
    assert recorder.due(11_000.0) is None  # written once in five windows
    value = recorder.due(20_000.0)
    assert len(value) == hints.MAX_FUNCTIONS and {rps for _, _, rps in value} == {0.2}
    assert recorder.due(60_000.0) is None  # no calls arrived
    kept = site.kept(fresh=True, limits=LIMITS)
    assert kept.keep(StateKind.USAGE, hints.ENTRY_KEY, value)
    site.pump(kept, 300.0)
    site.machine().cut(share=1.0)
    assert hints.stored_usage(site.kept().read(StateKind.USAGE))["g00000", "low"] == 0.2
