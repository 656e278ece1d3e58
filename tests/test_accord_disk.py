"""The disks of voters."""

import os

import pytest

from fawnwharf.consensus import messages as m
from fawnwharf.consensus import voter_store as disks
from fawnwharf.consensus.voter_store import DiskError, VoterStore


def saved(term):
    return m.PersistentState(
        term, "a#0", m.Snapshot(1, 1, "plan", 1, ("a#0",)), (m.Entry(term, "plan", text="p" * term),)
    )


def filled(folder, count=3):
    disk = VoterStore(folder, "fleet", "a")
    for term in range(1, count + 1):
        disk.save(saved(term))
    disk.close()
    return disk


def test_a_disk_gives_back_what_was_saved_last_under_the_same_identity(tmp_path):
    made = filled(tmp_path)
    again = VoterStore(tmp_path, "fleet", "a")
    assert (again.saved, again.record_number, again.identity, again.is_new) == (
        saved(3),
        3,
        made.identity,
        False,
    )
    again.save(saved(4))
    again.close()
    assert VoterStore(tmp_path, "fleet", "a").saved == saved(4)


def test_a_file_cut_at_any_byte_gives_back_one_of_the_states_that_were_saved(tmp_path):
    made = filled(tmp_path)
    data = made.path.read_bytes()
    identity_end = len(disks.encode_record(0, made.identity))
    states = [m.PersistentState(), saved(1), saved(2), saved(3)]
    seen = []
    for size in range(identity_end, len(data) + 1):
        made.path.write_bytes(data[:size])
        disk = VoterStore(tmp_path, "fleet", "a")
        seen.append(states.index(disk.saved))
        disk.save(saved(9))  # and it goes on from there
        disk.close()
        assert len(disks.scan_records(made.path.read_bytes())[0]) == seen[-1] + 2
    assert seen == sorted(seen) and set(seen) == {0, 1, 2, 3}


def test_damage_before_whole_records_is_refused_and_left_as_it_is(tmp_path):
    made = filled(tmp_path)
    data = bytearray(made.path.read_bytes())
    middle = len(disks.encode_record(0, made.identity)) + 30
    data[middle] ^= 1
    made.path.write_bytes(data)
    with pytest.raises(DiskError, match="damaged at byte"):
        VoterStore(tmp_path, "fleet", "a")
    assert made.path.read_bytes() == data


def test_another_members_or_fleets_or_versions_disk_is_refused_by_name(tmp_path):
    filled(tmp_path)
    for fleet, name, why in (("fleet", "b", "of member a, not of b"), ("other", "a", "of fleet fleet")):
        with pytest.raises(DiskError, match=why):
            VoterStore(tmp_path, fleet, name)
    label = disks.DiskIdentity(9, "fleet", "a", "00000000")
    (tmp_path / "voter.log").write_bytes(disks.encode_record(0, label))
    with pytest.raises(DiskError, match="version 9"):
        VoterStore(tmp_path, "fleet", "a")


def test_a_folder_in_use_or_that_is_a_file_is_refused(tmp_path):
    held = VoterStore(tmp_path / "a", "fleet", "a")
    with pytest.raises(DiskError, match="in use by a live process"):
        VoterStore(tmp_path / "a", "fleet", "a")
    held.close()
    VoterStore(tmp_path / "a", "fleet", "a").close()
    (tmp_path / "file").write_text("")
    with pytest.raises(DiskError, match="file"):
        VoterStore(tmp_path / "file", "fleet", "a")


def test_a_file_that_has_grown_is_written_anew_and_keeps_its_last_state(tmp_path, monkeypatch):
    monkeypatch.setattr(disks, "REWRITE_BYTES", 2_000)
    disk = VoterStore(tmp_path, "fleet", "a")
    for term in range(1, 60):
        disk.save(saved(term))
    assert disk.path.stat().st_size <= 2_000
    disk.close()
    again = VoterStore(tmp_path, "fleet", "a")
    assert (again.saved, again.identity, again.record_number) == (saved(59), disk.identity, 59)


def test_a_disk_that_fails_says_so_and_keeps_no_half_record(tmp_path, monkeypatch):
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
