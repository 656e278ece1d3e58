"""The store of a voter's persistent state: reading, rejection, rewriting and failed writes."""

import os

import pytest

from fawnwharf.consensus import messages as m
from fawnwharf.consensus import voter_store
from fawnwharf.consensus.voter_store import DiskError, VoterStore


def saved(term):
    return m.PersistentState(
        term, "a#0", m.Snapshot(1, 1, "plan", 1, ("a#0",)), (m.Entry(term, "plan", text="p" * term),)
    )


def written_store(folder, count=3):
    disk = VoterStore(folder, "fleet", "a")
    for term in range(1, count + 1):
        disk.save(saved(term))
    disk.close()
    return disk


def test_a_store_returns_the_last_saved_state_under_the_same_identity(tmp_path):
    written = written_store(tmp_path)
    again = VoterStore(tmp_path, "fleet", "a")
    assert (again.saved, again.record_number, again.identity, again.is_new) == (
        saved(3),
        3,
        written.identity,
        False,
    )
    again.save(saved(4))
    again.close()
    assert VoterStore(tmp_path, "fleet", "a").saved == saved(4)


def test_a_file_truncated_at_any_byte_holds_one_of_the_saved_states(tmp_path):
    written = written_store(tmp_path)
    data = written.path.read_bytes()
    identity_end = len(voter_store.encode_record(0, written.identity))
    states = [m.PersistentState(), saved(1), saved(2), saved(3)]
    seen = []
    for size in range(identity_end, len(data) + 1):
        written.path.write_bytes(data[:size])
        disk = VoterStore(tmp_path, "fleet", "a")
        seen.append(states.index(disk.saved))
        disk.save(saved(9))  # and it goes on from there
        disk.close()
        assert len(voter_store.scan_records(written.path.read_bytes())[0]) == seen[-1] + 2
    assert seen == sorted(seen)
    assert set(seen) == {0, 1, 2, 3}


def test_damage_before_whole_records_is_rejected_and_the_file_unchanged(tmp_path):
    written = written_store(tmp_path)
    data = bytearray(written.path.read_bytes())
    middle = len(voter_store.encode_record(0, written.identity)) + 30
    data[middle] ^= 1
    written.path.write_bytes(data)
    with pytest.raises(DiskError, match="damaged at byte"):
        VoterStore(tmp_path, "fleet", "a")
    assert written.path.read_bytes() == data


def test_a_disk_of_another_member_fleet_or_version_is_rejected(tmp_path):
    written_store(tmp_path)
    for fleet, name, reason in (("fleet", "b", "of member a, not of b"), ("other", "a", "of fleet fleet")):
        with pytest.raises(DiskError, match=reason):
            VoterStore(tmp_path, fleet, name)
    identity = voter_store.DiskIdentity(9, "fleet", "a", "00000000")
    (tmp_path / "voter.log").write_bytes(voter_store.encode_record(0, identity))
    with pytest.raises(DiskError, match="version 9"):
        VoterStore(tmp_path, "fleet", "a")


def test_a_folder_that_is_in_use_or_a_file_is_rejected(tmp_path):
    locked = VoterStore(tmp_path / "a", "fleet", "a")
    with pytest.raises(DiskError, match="in use by a live process"):
        VoterStore(tmp_path / "a", "fleet", "a")
    locked.close()
    VoterStore(tmp_path / "a", "fleet", "a").close()
    (tmp_path / "file").write_text("")
    with pytest.raises(DiskError, match="file"):
        VoterStore(tmp_path / "file", "fleet", "a")


def test_a_file_that_has_grown_is_rewritten_with_its_last_state(tmp_path, monkeypatch):
    monkeypatch.setattr(voter_store, "REWRITE_ABOVE_BYTES", 2_000)
    disk = VoterStore(tmp_path, "fleet", "a")
    for term in range(1, 60):
        disk.save(saved(term))
    assert disk.path.stat().st_size <= 2_000
    disk.close()
    again = VoterStore(tmp_path, "fleet", "a")
    assert (again.saved, again.identity, again.record_number) == (saved(59), disk.identity, 59)


def test_a_failed_save_raises_and_leaves_no_partial_record(tmp_path, monkeypatch):
    disk = VoterStore(tmp_path, "fleet", "a")
    disk.save(saved(1))
    real = os.write

    def full(file, data):
        if len(data) < 20:
            raise OSError(28, "No space left on device")
        return real(file, data[: max(1, len(data) // 2)])

    monkeypatch.setattr(os, "write", full)
    with pytest.raises(DiskError, match="No space left"):
        disk.save(saved(2))
    monkeypatch.undo()
    assert disk.saved == saved(1)
    disk.save(saved(3))
    disk.close()
    assert VoterStore(tmp_path, "fleet", "a").saved == saved(3)
