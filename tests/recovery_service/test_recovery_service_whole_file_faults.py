"""Small files that are replaced as a whole: a failing or last system call leaves the old or the new file."""

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


CALLS = 7  # system calls of a write: open, write, sync, rename, the folder's open and sync, and one spare


def plans():
    """Fault plans for each system call of one write."""
    for at, half in product(range(CALLS), (False, True)):
        yield Faults(fail_at=at, error=errno.ENOSPC, half=half)
        yield Faults(fail_at=at, error=errno.EIO, fail_for=ALWAYS, half=half)
        yield Faults(kill_at=at, half=half)
    yield Faults(most_bytes=3)


@pytest.mark.parametrize("end", ENDS)
def test_stored_policies_survive_whichever_write_call_fails_or_is_the_last(tmp_path, end):
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


def test_a_policy_file_truncated_at_any_byte_is_rejected(tmp_path):
    path = tmp_path / "policy.kept"
    write(path, 5)
    data = path.read_bytes()
    for size in range(len(data)):
        path.write_bytes(data[:size])
        assert policy_file.read_policy_file(path) == policy_file.StoredPolicy()


def test_learned_state_stays_unchanged_where_the_new_file_can_not_be_written(tmp_path, monkeypatch):
    directory = HandoffDirectory(str(tmp_path), "front", ("127.0.0.1", 1))
    directory.write_learned_state(b"before")
    faults = FileFaults(tmp_path)
    with faults.installed():
        faults.fail(error=errno.EIO)  # fails the rename; a buffered write is not intercepted
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
