"""What a keeper's grant costs on a store and on a file: python tests/bench_kept.py [CALLS].

One process and its loop, asks at an even pace, each call answered once it is granted."""

import json
import statistics
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from fawnwharf.durable_store.file_format import StoreLimits
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.recovery_service.recovery_store import RecoveryStore, RecoveryStoreSettings
from fawnwharf.replication import messages as m
from fawnwharf.replication.claims import Claim, ClaimPhase
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.replication.grant_log import BOOT_ID
from fawnwharf.replication.grant_storage import GrantLogStorage
from fawnwharf.replication.settings import ReplicationSettings
from fawnwharf.testbed.promises import fleet_file

MEMBERS = fleet_file("abc")
ANSWER = "QUJD" * 50


def line(message):
    return msgspec.to_builtins(m.LogLine("f", "n1", 1, ("n0",), message))


def run(kind, folder, rate, calls):
    """Times from ask to grant in ms; CPU of the loop a call, in µs, less that of an idle loop's pace."""
    core = ReplicationCore("n0", 1, MEMBERS, ReplicationSettings(1, "members"), monotonic_ms(), fresh=True)
    loop = EventLoop(lambda now_ms, events: None, lambda text: print(text, file=sys.stderr))
    kept = None
    if kind == "store":
        settings = RecoveryStoreSettings(folder, "f", "n0", str(BOOT_ID), StoreLimits())
        kept = RecoveryStore(settings, lambda what, more: None, fleet_is_new=True)
        disk = kept.open_grant_storage(core, None)
        kept.attach(loop)
        while not kept.settled:
            loop.run_iteration(0.01)
    else:
        disk = GrantLogStorage(Path(folder), core, core.replica, lambda what, more: None)
    asked, took, refused = {}, [], 0

    def say(effects):
        nonlocal refused
        for effect in effects:
            word = getattr(effect, "message", None)
            if isinstance(word, m.ClaimReply) and word.request_number in asked:
                began = asked.pop(word.request_number)
                refused += not word.granted
                took.append(monotonic_ms() - began)
                claim = Claim(
                    "n1#1",
                    word.request_number,
                    calls + word.request_number,
                    0,
                    ClaimPhase.ANSWERED,
                    "d" * 32,
                    ANSWER,
                )
                hear(m.ClaimUpdate(word.key, claim))

    def hear(message):
        say(disk.persist(core.receive_line(monotonic_ms(), "n1", line(message)), say))

    pause, number, begun = 1.0 / rate, 0, time.monotonic()
    cpu = time.process_time()
    while len(took) + len(asked) < calls or asked:
        while number < calls and time.monotonic() >= begun + number * pause:
            number += 1
            asked[number] = monotonic_ms()
            hear(m.ClaimRequest(f"transfer-settle:{number:032x}", "n1#1", number, 1, 0))
        say(disk.persist(core.tick(monotonic_ms()), say))
        loop.run_iteration(min(0.02, max(0.0, begun + number * pause - time.monotonic())))
    cpu = time.process_time() - cpu
    disk.close()
    if kept:
        kept.close()
    took.sort()
    return {
        "grants on": kind, "asks a second": rate, "median_ms": round(statistics.median(took), 2),
        "p99_ms": round(took[len(took) * 99 // 100], 2), "cpu_us_a_call": round(cpu / calls * 1e6),
        "not granted": refused,
    }  # fmt: skip


if __name__ == "__main__":
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 2_000
    for rate in (50, 200, 1_000):
        for kind in ("file", "store", "file", "store"):
            with tempfile.TemporaryDirectory() as place:
                print(json.dumps(run(kind, place, rate, min(count, 10 * rate))), flush=True)
