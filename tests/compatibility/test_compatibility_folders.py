"""Folders recorded by commit 9d9ccab are read completely; each test uses a copy."""

import shutil
from pathlib import Path

import pytest
from compatibility_folders import FOLDERS, copied, framed, records_of

from fawnwharf.consensus import messages as consensus
from fawnwharf.consensus import records
from fawnwharf.consensus.voter_store import DiskError, VoterStore
from fawnwharf.durable_store import file_format
from fawnwharf.durable_store.store import StoreOwner, open_store
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.policy_rollout import policy_file
from fawnwharf.policy_rollout.document import parse_document, parse_register
from fawnwharf.replication.claims import Claim, ClaimPhase
from fawnwharf.replication.grant_log import GrantLog

FIRST, SECOND = "n0#00112233445566aa", "n1#00112233445566bb"
BASE = consensus.Snapshot(5, 2, '{"number":3}', 4, (FIRST, SECOND), '{"policy":1}', 3, '{"recovery":1}', 2)
STORE_KINDS = [
    file_format.EntryKind("term", file_format.Durability.SYNCED),
    file_format.EntryKind("use", file_format.Durability.DELAYED),
]
HELD = [
    ("key-0", Claim("n0#7", 1, 2, 100, ClaimPhase.RELEASED, "", None), 30_000.0),
    ("key-1", Claim("n1#8", 2, 3, 101, ClaimPhase.ANSWERED, "d", "YW5zd2Vy"), 31_000.0),
    ("key-2", Claim("n2#9", 3, 4, 102, ClaimPhase.FAILED, "dd", None), 32_000.0),
    ("key-3", Claim("n3#10", 4, 5, 103, ClaimPhase.GRANTED, "ddd", None), 33_000.0),
]


def names(folder: Path) -> set[str]:
    """All files within a folder except lock files."""
    files = (path for path in folder.rglob("*") if path.is_file() and path.suffix != ".lock")
    return {str(path.relative_to(folder)) for path in files}


def test_a_voter_finds_its_term_its_vote_and_its_log(tmp_path):
    """It also finds the disk's identity. The last record of the file is the state that was saved last."""
    folder = copied("voter", tmp_path)
    before = (folder / "voter.log").read_bytes()
    disk = VoterStore(folder, "fleet-1", "n0")
    try:
        assert not disk.is_new and disk.record_number == 4
        assert disk.identity.voter_identity == FIRST
        entries = (consensus.Entry(2, "plan", '{"number":4}'), consensus.Entry(3, "voters", "", (FIRST,)))
        assert disk.saved == consensus.PersistentState(3, SECOND, BASE, entries)
        assert (folder / "voter.log").read_bytes() == before
        disk.save(disk.saved)
    finally:
        disk.close()
    after = (folder / "voter.log").read_bytes()
    last = list(records_of(before))[-1][1]
    assert after == before + framed(5, last)
    assert names(folder) == names(FOLDERS / "voter")


def test_a_voter_s_folder_of_another_member_is_refused_as_before(tmp_path):
    """The recorded identity is compared, not adopted."""
    folder = copied("voter", tmp_path)
    with pytest.raises(DiskError, match="the disk of member n0, not of n1"):
        VoterStore(folder, "fleet-1", "n1")
    with pytest.raises(DiskError, match="of fleet fleet-1, not of fleet-2"):
        VoterStore(folder, "fleet-2", "n0")


def test_a_store_finds_its_snapshot_and_its_segment(tmp_path):
    """Values of the first incarnation come from the snapshot, changes and removals from the segment."""
    folder = copied("store", tmp_path)
    assert names(folder) == {"snap-2.snap", "log-2.seg"}
    store = open_store(folder, StoreOwner("fleet-1", "n0", boot="boot-3"), STORE_KINDS)
    try:
        found = store.recovered
        assert (found.fresh, found.boot, found.closed_cleanly, found.torn_bytes) == (False, "boot-2", True, 0)
        assert found.position.incarnation == 2 and len(found.position.disk_id) == 16
        texts = {"t0": (2, 0), "t1": (1, 1), "t2": (2, 1), "t4": (2, 2)}
        assert dict(store.items("term")) == {
            key: {"life": life, "n": n, "text": "\u00e9"} for key, (life, n) in texts.items()
        }
        assert dict(store.items("use")) == {"u1": [2, 1], "u2": [2, 2]}
    finally:
        assert store.close(monotonic_ms, 20_000.0)
    assert names(folder) == {"snap-3.snap", "log-3.seg"}


def test_a_replica_finds_its_claims_and_the_list_by_which_it_was_sure(tmp_path):
    """It reads both files in the boot in which they were written."""
    folder = copied("replica", tmp_path)
    disk = GrantLog(folder, "fleet-1", "n0", 13_000.0, 10_000.0, "boot-1")
    try:
        assert (disk.distrust_reason, disk.complete_for, disk.grants) == ("", 5, HELD)
    finally:
        disk.close()
    assert names(folder) == names(FOLDERS / "replica") == {"keeper-1.log", "keeper-2.log"}


def test_a_replica_does_not_trust_its_files_of_another_boot_or_copies(tmp_path):
    """Entries that were not synced may be lost."""
    folder = copied("replica", tmp_path)
    disk = GrantLog(folder, "fleet-1", "n0", 13_000.0, 10_000.0, "boot-2")
    assert (disk.distrust_reason, disk.grants) == ("of another boot", [])
    disk.close()
    shutil.copytree(FOLDERS / "replica", tmp_path / "as recorded")
    disk = GrantLog(tmp_path / "as recorded", "fleet-1", "n0", 13_000.0, 10_000.0, "boot-1")
    assert "a copy" in disk.distrust_reason
    disk.close()


def test_the_kept_policy_is_read_and_written_to_equal_bytes(tmp_path):
    """This covers its incarnation and both documents of its register."""
    folder = copied("policy", tmp_path)
    kept = policy_file.read_policy_file(folder / "policy.json")
    assert (kept.version, kept.incarnation) == (1, 41)
    register = parse_register(kept.register)
    texts = [f'{{"version":1,"number":{n},"tenants":{{"acme":{{"quota_rps":{n}00}}}}}}' for n in (7, 6)]
    assert [register.last, register.before] == [parse_document(text) for text in texts]
    assert register.encode() == kept.register
    policy_file.write_policy_file(tmp_path / "again.json", kept)
    assert (tmp_path / "again.json").read_bytes() == (FOLDERS / "policy" / "policy.json").read_bytes()


@pytest.mark.parametrize("name", ["voter/voter.log", "store/log-2.seg", "replica/keeper-1.log"])
def test_the_framing_of_records_is_as_recorded(name):
    """Magic, length, checksum and number, read without the program, and written by it to the same bytes."""
    data = (FOLDERS / name).read_bytes()
    rows = list(records_of(data))
    found, end = records.leading_records(data)
    assert end == len(data) and [number for number, _ in found] == [number for number, _ in rows]
    assert b"".join(records.encode_record(number, value) for number, value in rows) == data
    assert b"".join(framed(number, value) for number, value in rows) == data
