"""Small files that are written whole: each call failing or the last one leaves the old one or the new one."""

import errno
import os
from contextlib import suppress
from itertools import product

import pytest
from support.file_faults import ALWAYS, Faults, FileFaults, Killed

from fawnwharf.admin.handoff_directory import HandoffDirectory
from fawnwharf.policy_rollout import policy_file

ENDS = {
    "kill": lambda faults: faults.kill(),
    "cut": lambda faults: faults.cut(late_names=False),
    "cut, late names": lambda faults: faults.cut(late_names=True),
}


def write(path, life):
    policy_file.write_policy_file(path, policy_file.StoredPolicy(incarnation=life, register="r" * 50))


CALLS = 7  # of a write: open, write, sync, name, and the folder's open and sync; one is spare


def plans():
    """What goes wrong, by the number of the call in one write."""
    for at, half in product(range(CALLS), (False, True)):
        yield Faults(fail_at=at, error=errno.ENOSPC, half=half)
        yield Faults(fail_at=at, error=errno.EIO, fail_for=ALWAYS, half=half)
        yield Faults(kill_at=at, half=half)
    yield Faults(most_bytes=3)


@pytest.mark.parametrize("end", ENDS)
def test_what_was_kept_of_policies_is_found_whatever_call_failed_or_was_the_last(tmp_path, end):
    for number, plan in enumerate(plans()):
        folder = tmp_path / f"{number}"
        folder.mkdir()
        faults, path = FileFaults(folder), folder / "policy.kept"
        with faults.installed():
            write(path, 5)
            plan.fail_at += faults.count if plan.fail_at >= 0 else 0
            plan.kill_at += faults.count if plan.kill_at >= 0 else 0
            faults.plan = plan
            told = 5
            with suppress(OSError, Killed):
                write(path, 6)
                told = 6
            ENDS[end](faults)
            assert told <= policy_file.read_policy_file(path).incarnation <= 6
            write(path, 7)
            faults.cut(late_names=False)
            assert policy_file.read_policy_file(path) == policy_file.StoredPolicy(
                incarnation=7, register="r" * 50
            )


def test_a_file_of_policies_truncated_at_any_byte_is_none(tmp_path):
    path = tmp_path / "policy.kept"
    write(path, 5)
    data = path.read_bytes()
    for size in range(len(data)):
        path.write_bytes(data[:size])
        assert policy_file.read_policy_file(path) == policy_file.StoredPolicy()


def test_what_was_learnt_stays_as_it_was_where_the_new_file_has_no_room_or_no_name(tmp_path, monkeypatch):
    directory = HandoffDirectory(str(tmp_path), "front", ("127.0.0.1", 1))
    directory.write_learned_state(b"before")
    faults = FileFaults(tmp_path)
    with faults.installed():
        faults.fail(error=errno.EIO)  # of the name; a buffered write is none of the calls
        with pytest.raises(OSError, match="Input/output"):
            directory.write_learned_state(b"after")
        faults.works()
        assert directory.read_learned_state() == b"before"
    os.unlink(directory.state_path.with_suffix(".new"))
    directory.state_path.with_suffix(".new").symlink_to("/dev/full")
    with pytest.raises(OSError, match="No space left"):
        directory.write_learned_state(b"after")
    assert directory.read_learned_state() == b"before"
    directory.state_path.with_suffix(".new").unlink()
    directory.write_learned_state(b"after")
    assert directory.read_learned_state() == b"after"
