"""Real processes with stores: all killed at once and restarted in another boot; one killed while granting."""

import json
import signal
import subprocess
import sys

import pytest
from support.power_losses import WINDOW_MS, PowerFleet

from fawnwharf.durable_store import folder
from fawnwharf.durable_store.file_format import StoreLimits
from fawnwharf.recovery_core.trust import StateKind, StoreCondition, TrustLevel
from fawnwharf.recovery_service.recovery_store import RecoveryStore, RecoveryStoreSettings

GRANTING = """
import json, sys
from fawnwharf.durable_store.file_format import StoreLimits
from fawnwharf.testbed.promises import fleet_file
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.recovery_service.recovery_store import RecoveryStore, RecoveryStoreSettings
from fawnwharf.replication import messages as m
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.replication.settings import ReplicationSettings

members, name, folder, boot = fleet_file("abc"), "n0", sys.argv[1], sys.argv[2]
settings = RecoveryStoreSettings(folder, "f", name, boot, StoreLimits(wait_ms=20_000.0))
kept = RecoveryStore(settings, lambda what, more: None, fleet_is_new=True)
core = ReplicationCore(name, 1, members, ReplicationSettings(1, "members"), monotonic_ms(), fresh=True)
disk = kept.open_grant_storage(core, None)
loop = EventLoop(lambda now_ms, events: None, lambda text: print(text, file=sys.stderr))
kept.attach(loop)

def say(effects):
    for effect in effects:
        if isinstance(effect, m.Send) and isinstance(effect.message, m.ClaimReply) and effect.message.granted:
            print(effect.message.key, flush=True)

number = 0
while True:
    number += 1
    ask = m.Send((name,), m.ClaimRequest(f"k{number}", "n1#1", number, members.number, 0))
    line = json.loads(__import__("msgspec").json.encode(m.LogLine("f", "n1", 1, ask.recipients, ask.message)))
    say(disk.persist(core.receive_line(monotonic_ms(), "n1", line), say))
    loop.run_iteration(0.002)
"""


def test_a_replica_killed_while_granting_finds_every_grant_that_it_sent(tmp_path):
    boot = tmp_path / "boot"
    boot.write_text("one")
    child = subprocess.Popen(
        [sys.executable, "-c", GRANTING, str(tmp_path / "d"), str(boot)], stdout=subprocess.PIPE, text=True
    )
    said = []
    for line in child.stdout:
        said.append(line.strip())
        if len(said) == 40:
            break
    child.send_signal(signal.SIGKILL)
    said += [line.strip() for line in child.stdout if line.endswith("\n")]
    child.wait()
    folder.unlock_folder(folder.lock_folder(tmp_path / "d", within_s=20.0))
    boot.write_text("another")
    settings = RecoveryStoreSettings(tmp_path / "d", "f", "n0", str(boot), StoreLimits())
    kept = RecoveryStore(settings, lambda what, more: None)
    try:
        assert (kept.condition, kept.same_boot, kept.closed_cleanly, kept.complete_membership_number) == (
            StoreCondition.INTACT,
            False,
            False,
            1,
        )
        found = {name.split("/", 2)[2]: value for name, value, trust in kept.read(StateKind.GRANT)}
        assert set(said) <= found.keys() and all(value[1] is None for value in found.values())
        assert {trust for _, _, trust in kept.read(StateKind.GRANT)} == {TrustLevel.NOW}
    finally:
        kept.close()


def test_what_may_have_run_is_not_run_again_after_a_power_loss_and_new_calls_go_at_once():
    fleet = PowerFleet(seed=5)
    try:
        fleet.begin()
        request = (
            fleet.running()
        )  # its scorer runs in the test process and answers nothing before the power loss
        fleet.cut()
        fleet.up()
        for zone in ("b", "c"):
            assert fleet.outcome(request, zone) == "failed"
        assert fleet.runs(request) == 1
        read = [note.fields for note in fleet.notes if note.event == "grants read"][-3:]
        assert [row["trusted"] for row in read] == [True] * 3 and any(row["calls"] for row in read)
        stores = [note.fields for note in fleet.notes if note.event == "recovery store read"][-3:]
        assert [(row["same_boot"], row["why"]) for row in stores] == [(False, "")] * 3
        assert not [note for note in fleet.notes if note.event == "recovery store incomplete"]
        assert not fleet.faults
    finally:
        fleet.close()


@pytest.mark.parametrize("stores", [True, False])
def test_replicas_grant_at_once_after_a_power_loss_with_stores_and_wait_with_files(stores):
    fleet = PowerFleet(seed=6, stores=stores)
    try:
        fleet.begin()
        took_ms = fleet.back()
        notes = [note.fields for note in fleet.notes if note.event == "replica"]
        assert [row["complete"] for row in notes[3:6]] == [stores] * 3
        assert stores or took_ms > 0.4 * WINDOW_MS
        print(json.dumps({"stores": stores, "served_ms": round(took_ms)}))
    finally:
        fleet.close()


def test_front_ends_that_close_cleanly_record_it_and_continue_as_before():
    fleet = PowerFleet(seed=7)
    try:
        fleet.begin()
        fleet.served("the fleet to serve")
        for front in fleet.fronts.values():
            front.process.send_signal(signal.SIGTERM)
        fleet.until(lambda: all(front.process is None for front in fleet.fronts.values()), "all to end")
        assert [front.status for front in fleet.fronts.values()] == [0] * 3
        fleet.up()
        stores = [note.fields for note in fleet.notes if note.event == "recovery store read"][-3:]
        assert [(row["incarnation"], row["same_boot"], row["in_order"], row["why"]) for row in stores] == [
            (2, True, True, "")
        ] * 3
        fleet.served("a call of the next incarnation")
        assert not fleet.faults
    finally:
        fleet.close()
