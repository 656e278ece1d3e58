"""The latest values and voter lists that a voter's log holds up to an index, and log compaction.

The log keeps a few texts of which only the latest counts, one of each kind: the zone plan ("plan"), the
policy of the fleet ("policy") and the state of a recovery after a failure of the whole fleet ("recovery").
Consensus does not read them. All functions here are pure functions of the persistent state.
"""

from typing import NamedTuple

import msgspec

from fawnwharf.consensus.messages import Entry, PersistentState, Snapshot

LATEST_VALUE_KINDS = ("plan", "policy", "recovery")  # of each kind, the last committed entry is in force


class LatestValue(NamedTuple):
    """The latest value of one kind, and the log index of the entry that set it; 0 and "" before the first."""

    log_index: int
    text: str


def entry_at(saved: PersistentState, index: int) -> Entry:
    """The entry at a log index, which must be after the snapshot and not after the last entry.

    That is not checked: an index after the last entry raises IndexError, one in the snapshot gives a wrong
    entry.
    """
    return saved.entries[index - saved.snapshot.index - 1]


def last_committed(saved: PersistentState, commit_index: int, kind: str) -> LatestValue:
    """The latest value of a kind among the entries up to an index; index 0 and "" where there is none."""
    for index in range(commit_index, saved.snapshot.index, -1):
        entry = entry_at(saved, index)
        if entry.kind == kind:
            return LatestValue(index, entry.text)
    return _snapshot_value(saved.snapshot, kind)


def last_including_uncommitted(saved: PersistentState, kind: str) -> LatestValue:
    """The latest value of a kind in the whole log, committed or not; index 0 and "" where there is none."""
    return last_committed(saved, saved.last_index, kind)


def snapshot_values(snapshot: Snapshot) -> dict[str, LatestValue]:
    """The latest value of every kind in a snapshot, ordered by their indexes; those never set come first."""
    values = {kind: _snapshot_value(snapshot, kind) for kind in LATEST_VALUE_KINDS}
    return dict(sorted(values.items(), key=lambda item: item[1].log_index))


def _snapshot_value(snapshot: Snapshot, kind: str) -> LatestValue:
    return LatestValue(getattr(snapshot, f"{kind}_index"), getattr(snapshot, kind))


def has_uncommitted_voters(saved: PersistentState, commit_index: int) -> bool:
    """Whether the log holds a voter list that is not committed yet."""
    uncommitted = saved.entries[max(0, commit_index - saved.snapshot.index) :]
    return any(entry.kind == "voters" for entry in uncommitted)


def with_committed_in_snapshot(saved: PersistentState, commit_index: int) -> PersistentState:
    """A new state with all committed entries moved into the snapshot, which bounds the log's length.

    `saved` is unchanged. When to do this is the voter's decision (`SNAPSHOT_AFTER_ENTRIES`).
    """
    committed = saved.entries[: commit_index - saved.snapshot.index]
    voter_lists = [entry.voters for entry in committed if entry.kind == "voters"]
    plan = last_committed(saved, commit_index, "plan")
    policy = last_committed(saved, commit_index, "policy")
    recovery = last_committed(saved, commit_index, "recovery")
    snapshot = Snapshot(
        index=commit_index,
        term=saved.term_at(commit_index) or 0,
        plan=plan.text,
        plan_index=plan.log_index,
        voters=voter_lists[-1] if voter_lists else saved.snapshot.voters,
        policy=policy.text,
        policy_index=policy.log_index,
        recovery=recovery.text,
        recovery_index=recovery.log_index,
    )
    return msgspec.structs.replace(saved, snapshot=snapshot, entries=saved.entries[len(committed) :])
