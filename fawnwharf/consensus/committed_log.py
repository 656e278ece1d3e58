"""The registers and voter lists that a voter's log holds up to an index, and log compaction.

Pure functions of the persistent state.
"""

import msgspec
from msgspec import Struct

from fawnwharf.consensus.messages import Entry, PersistentState, Snapshot

REGISTER_KINDS = ("plan", "policy", "recovery")  # of each kind, the last committed entry is in force


class Register(Struct, frozen=True):
    """The newest value of one kind, and the index of the entry that set it; 0 and "" before the first."""

    kind: str
    index: int
    text: str


def entry_at(saved: PersistentState, index: int) -> Entry:
    """The entry at an index that is in the log and not compacted."""
    return saved.entries[index - saved.snapshot.index - 1]


def last_committed(saved: PersistentState, commit_index: int, kind: str) -> tuple[int, str]:
    """Index and text of the last entry of a register kind up to an index; (0, "") before the first."""
    for index in range(commit_index, saved.snapshot.index, -1):
        entry = entry_at(saved, index)
        if entry.kind == kind:
            return index, entry.text
    register = _snapshot_register(saved.snapshot, kind)
    return register.index, register.text


def last_appended(saved: PersistentState, kind: str) -> tuple[int, str]:
    """Index and text of the last entry of a register kind in the log, committed or not."""
    return last_committed(saved, saved.last_index, kind)


def snapshot_registers(snapshot: Snapshot) -> list[Register]:
    """The registers of a snapshot, ordered by their indexes."""
    registers = [_snapshot_register(snapshot, kind) for kind in REGISTER_KINDS]
    return sorted(registers, key=lambda register: register.index)


def _snapshot_register(snapshot: Snapshot, kind: str) -> Register:
    return Register(kind, getattr(snapshot, f"{kind}_index"), getattr(snapshot, kind))


def has_uncommitted_voters(saved: PersistentState, commit_index: int) -> bool:
    """Whether the log holds a voter list that is not committed yet."""
    uncommitted = saved.entries[max(0, commit_index - saved.snapshot.index) :]
    return any(entry.kind == "voters" for entry in uncommitted)


def compacted(saved: PersistentState, commit_index: int) -> PersistentState:
    """The same state with all committed entries moved into the snapshot, which bounds the log's length."""
    committed = saved.entries[: commit_index - saved.snapshot.index]
    voter_lists = [entry.voters for entry in committed if entry.kind == "voters"]
    plan_index, plan = last_committed(saved, commit_index, "plan")
    policy_index, policy = last_committed(saved, commit_index, "policy")
    recovery_index, recovery = last_committed(saved, commit_index, "recovery")
    snapshot = Snapshot(
        index=commit_index,
        term=saved.term_at(commit_index) or 0,
        plan=plan,
        plan_index=plan_index,
        voters=voter_lists[-1] if voter_lists else saved.snapshot.voters,
        policy=policy,
        policy_index=policy_index,
        recovery=recovery,
        recovery_index=recovery_index,
    )
    return msgspec.structs.replace(saved, snapshot=snapshot, entries=saved.entries[len(committed) :])
