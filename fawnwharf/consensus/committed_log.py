"""Reads the latest values and the voter lists from a voter's log, and compacts the log.

The log holds values of three kinds: the zone plan ("plan"), the policy of the fleet ("policy") and the state
of a recovery after a failure of the whole fleet ("recovery"). Only the latest value of each kind is in force.
Consensus does not interpret the values. All functions here are pure functions of the persistent state.
"""

from typing import NamedTuple

import msgspec

from fawnwharf.consensus.messages import Entry, PersistentState, Snapshot

LATEST_VALUE_KINDS = ("plan", "policy", "recovery")  # the last committed entry of each kind is in force


class LatestValue(NamedTuple):
    """The latest value of one kind and the log index of its entry; "" and 0 before the first value."""

    log_index: int
    text: str


def entry_at(saved: PersistentState, index: int) -> Entry:
    """The entry at a log index, which must lie after the snapshot and not after the last entry.

    The index is not checked: one after the last entry raises IndexError, one inside the snapshot returns a
    wrong entry.
    """
    return saved.entries[index - saved.snapshot.index - 1]


def last_committed(saved: PersistentState, commit_index: int, kind: str) -> LatestValue:
    """The latest value of a kind up to the commit index; index 0 and "" if there is none."""
    for index in range(commit_index, saved.snapshot.index, -1):
        entry = entry_at(saved, index)
        if entry.kind == kind:
            return LatestValue(index, entry.text)
    return _snapshot_value(saved.snapshot, kind)


def last_including_uncommitted(saved: PersistentState, kind: str) -> LatestValue:
    """The latest value of a kind in the whole log, committed or not; index 0 and "" if there is none."""
    return last_committed(saved, saved.last_index, kind)


def snapshot_values(snapshot: Snapshot) -> dict[str, LatestValue]:
    """The latest value of each kind in a snapshot, ordered by log index; values never set come first."""
    values = {kind: _snapshot_value(snapshot, kind) for kind in LATEST_VALUE_KINDS}
    return dict(sorted(values.items(), key=lambda item: item[1].log_index))


def _snapshot_value(snapshot: Snapshot, kind: str) -> LatestValue:
    return LatestValue(getattr(snapshot, f"{kind}_index"), getattr(snapshot, kind))


def has_uncommitted_voters(saved: PersistentState, commit_index: int) -> bool:
    """Whether the log contains a voter list that is not committed yet."""
    uncommitted = saved.entries[max(0, commit_index - saved.snapshot.index) :]
    return any(entry.kind == "voters" for entry in uncommitted)


def compact_log(saved: PersistentState, commit_index: int) -> PersistentState:
    """Returns a copy of the state in which the snapshot replaces all committed entries.

    The voter decides when to compact (`SNAPSHOT_AFTER_ENTRIES`).
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
