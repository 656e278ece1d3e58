"""Records the folders in `corpus/folders`, as the program leaves them.

The recorded ones are from commit 9d9ccab, before identifiers were renamed. To add folders for new forms, run
`PYTHONPATH=tests python tests/compatibility/record_folders.py NAME ...`. Existing folders are never
rewritten. No test uses this module.
"""

import json
import shutil
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from compatibility_folders import FOLDERS
from compatibility_process import FILES, Front

from fawnwharf.consensus import messages as consensus
from fawnwharf.consensus.voter_store import VoterStore
from fawnwharf.durable_store import file_format
from fawnwharf.durable_store.store import StoreOwner, open_store
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.policy_rollout import policy_file
from fawnwharf.policy_rollout.document import PolicyRegister, parse_document
from fawnwharf.replication.claims import Claim, ClaimPhase
from fawnwharf.replication.grant_log import GrantLog
from fawnwharf.zones.bootstrap import bootstrap

KINDS = [
    file_format.EntryKind("term", file_format.Durability.SYNCED),
    file_format.EntryKind("use", file_format.Durability.DELAYED),
]
IDENTITIES = ("n0#00112233445566aa", "n1#00112233445566bb")
POLICY = '{"version":1,"number":%d,"tenants":{"acme":{"quota_rps":%d}}}'


def voter(folder: Path) -> None:
    """Record a voter's file after four saves."""
    disk = VoterStore(folder, "fleet-1", "n0", lambda: "00112233445566aa")
    base = consensus.Snapshot(5, 2, '{"number":3}', 4, IDENTITIES, '{"policy":1}', 3, '{"recovery":1}', 2)
    entries = (consensus.Entry(2, "plan", '{"number":4}'), consensus.Entry(3, "voters", "", IDENTITIES[:1]))
    disk.save(consensus.PersistentState(1, IDENTITIES[1]))
    disk.save(consensus.PersistentState(2, IDENTITIES[0], base))
    disk.save(consensus.PersistentState(2, IDENTITIES[0], base, entries[:1]))
    disk.save(consensus.PersistentState(3, IDENTITIES[1], base, entries))
    disk.close()


def store(folder: Path) -> None:
    """Record a durable store after two incarnations: a snapshot, and a segment with changes and removals."""
    for life in (1, 2):
        held = open_store(folder, StoreOwner("fleet-1", "n0", f"boot-{life}", empty_ok=life == 1), KINDS)
        told: list[bool] = []
        for n in range(3):
            value = {"life": life, "n": n, "text": "\u00e9"}
            held.put(
                monotonic_ms(),
                "term",
                f"t{n * life}",
                value,
                lambda on_disk, why, told=told: told.append(on_disk),
            )
            held.put(monotonic_ms(), "use", f"u{n}", [life, n])
            while len(told) <= n:
                held.advance(monotonic_ms())
                time.sleep(0.002)
        held.put(monotonic_ms(), "use", "u0", None)
        if not held.close(monotonic_ms, 20_000.0) or told != [True] * 3:
            raise RuntimeError("not on disk")


def replica(folder: Path) -> None:
    """Record the two files of a replica: one that begins with all its claims, and the next."""
    disk = GrantLog(folder, "fleet-1", "n0", 1_000.0, 10_000.0, "boot-1")
    claims = [
        Claim(f"n{n}#{n + 7}", n + 1, n + 2, 100 + n, phase, "d" * n, "YW5zd2Vy" if n == 1 else None)
        for n, phase in enumerate(ClaimPhase)
    ]
    disk.begin(1_000.0, 4, [("key-0", claims[0], 30_000.0)])
    disk.write(2_000.0, [("key-1", claims[1], 31_000.0), ("key-2", claims[2], 32_000.0)], 0)
    disk.write(12_000.0, [("key-3", claims[3], 33_000.0)], 5)
    disk.close()


def policy(folder: Path) -> None:
    """Record the stored policy file."""
    last, before = (parse_document(POLICY % (n, n * 100)) for n in (7, 6))
    policy_file.write_policy_file(
        folder / "policy.json",
        policy_file.StoredPolicy(incarnation=41, register=PolicyRegister(last, before).encode()),
    )


def process(folder: Path) -> None:
    """Record the files of a front end process with all subsystems after two incarnations."""
    folder.mkdir(parents=True)
    for name, data in FILES.items():
        (folder / name).write_text(json.dumps(data), encoding="utf-8")
    front = Front(folder)
    try:
        bootstrap(folder / "zones.json", "fe-1")
        for more in (["--fresh"], []):
            one = front.start(*more)
            for _ in range(5):
                front.site.served()
            until = time.monotonic() + 6.0  # for recovery messages, a plan and usage counts
            front.site.until(lambda until=until: time.monotonic() > until, "it has served for a while")
            print(one.log)
            if front.end(one) != 0:
                raise RuntimeError(one.log)
    finally:
        front.close()
    recovery = json.loads((folder / "recovery.json").read_text(encoding="utf-8")) | {"boot_file": "boot"}
    (folder / "recovery.json").write_text(json.dumps(recovery, indent=1) + "\n", encoding="utf-8")


RECORDED: dict[str, Callable[[Path], None]] = {
    "voter": voter,
    "store": store,
    "replica": replica,
    "policy": policy,
    "process": process,
}


def main(names: list[str]) -> None:
    """Record these folders, or all of them, without lock files."""
    for name in names or list(RECORDED):
        if (FOLDERS / name).exists():
            continue
        with tempfile.TemporaryDirectory() as place:
            RECORDED[name](Path(place) / name)
            shutil.copytree(Path(place) / name, FOLDERS / name, ignore=shutil.ignore_patterns("*.lock"))


if __name__ == "__main__":
    main(sys.argv[1:])
