"""The store of a voter's persistent state: reading, rejection, rewriting and failed writes."""

import os

import pytest

from fawnwharf.consensus import messages as m
from fawnwharf.consensus import voter_store
from fawnwharf.consensus.voter_store import DiskError, VoterStore


def state_of_term(term):
    return m.PersistentState(
        term, "a#0", m.Snapshot(1, 1, "plan", 1, ("a#0",)), (m.Entry(term, "plan", text="p" * term),)
    )


def written_store(folder, count=3):
    store = VoterStore(folder, "fleet", "a")
    for term in range(1, count + 1):
        store.save(state_of_term(term))
    store.close()
    return store


def test_a_store_returns_the_last_saved_state_under_the_same_identity(tmp_path):
    closed_store = written_store(tmp_path)
    reopened = VoterStore(tmp_path, "fleet", "a")
    assert (reopened.saved, reopened.record_number, reopened.identity, reopened.is_new) == (
        state_of_term(3),
        3,
        closed_store.identity,
        False,
    )
    reopened.save(state_of_term(4))
    reopened.close()
    assert VoterStore(tmp_path, "fleet", "a").saved == state_of_term(4)


def test_a_file_truncated_at_any_byte_holds_one_of_the_saved_states(tmp_path):
    closed_store = written_store(tmp_path)
    data = closed_store.path.read_bytes()
    identity_end = len(voter_store.encode_record(0, closed_store.identity))
    states = [m.PersistentState(), state_of_term(1), state_of_term(2), state_of_term(3)]
    found_states = []
    for size in range(identity_end, len(data) + 1):
        closed_store.path.write_bytes(data[:size])
        store = VoterStore(tmp_path, "fleet", "a")
        found_states.append(states.index(store.saved))
        store.save(state_of_term(9))  # the store can be written again
        store.close()
        assert len(voter_store.scan_records(closed_store.path.read_bytes())[0]) == found_states[-1] + 2
    assert found_states == sorted(found_states)
    assert set(found_states) == {0, 1, 2, 3}


def test_damage_before_whole_records_is_rejected_and_the_file_unchanged(tmp_path):
    closed_store = written_store(tmp_path)
    data = bytearray(closed_store.path.read_bytes())
    damaged_offset = len(voter_store.encode_record(0, closed_store.identity)) + 30
    data[damaged_offset] ^= 1
    closed_store.path.write_bytes(data)
    with pytest.raises(DiskError, match="damaged at byte"):
        VoterStore(tmp_path, "fleet", "a")
    assert closed_store.path.read_bytes() == data


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
    open_store = VoterStore(tmp_path / "a", "fleet", "a")
    with pytest.raises(DiskError, match="in use by a live process"):
        VoterStore(tmp_path / "a", "fleet", "a")
    open_store.close()
    VoterStore(tmp_path / "a", "fleet", "a").close()
    (tmp_path / "file").write_text("")
    with pytest.raises(DiskError, match="file"):
        VoterStore(tmp_path / "file", "fleet", "a")


def test_a_file_that_has_grown_is_rewritten_with_its_last_state(tmp_path, monkeypatch):
    monkeypatch.setattr(voter_store, "REWRITE_ABOVE_BYTES", 2_000)
    store = VoterStore(tmp_path, "fleet", "a")
    for term in range(1, 60):
        store.save(state_of_term(term))
    assert store.path.stat().st_size <= 2_000
    store.close()
    reopened = VoterStore(tmp_path, "fleet", "a")
    assert (reopened.saved, reopened.identity, reopened.record_number) == (
        state_of_term(59),
        store.identity,
        59,
    )


def test_a_failed_save_raises_and_leaves_no_partial_record(tmp_path, monkeypatch):
    store = VoterStore(tmp_path, "fleet", "a")
    store.save(state_of_term(1))
    real_write = os.write

    def write_until_full(file, data):
        if len(data) < 20:
            raise OSError(28, "No space left on device")
        return real_write(file, data[: max(1, len(data) // 2)])

    monkeypatch.setattr(os, "write", write_until_full)
    with pytest.raises(DiskError, match="No space left"):
        store.save(state_of_term(2))
    monkeypatch.undo()
    assert store.saved == state_of_term(1)
    store.save(state_of_term(3))
    store.close()
    assert VoterStore(tmp_path, "fleet", "a").saved == state_of_term(3)
