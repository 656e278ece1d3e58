"""What a voter's log says, given how far it is decided. Pure."""

import msgspec

from fawnwharf.consensus import messages as m

REGISTER_KINDS = ("plan", "policy", "recovery")  # of texts, of each of which the last one says all


def entry_at(saved: m.PersistentState, index: int) -> m.Entry:
    """The entry of an index that is in the log and not folded away."""
    return saved.entries[index - saved.base.index - 1]


def last_committed(saved: m.PersistentState, commit: int, kind: str) -> tuple[int, str]:
    """The last decided text of a kind and its index; (0, "") before the first."""
    for index in range(commit, saved.base.index, -1):
        entry = entry_at(saved, index)
        if entry.kind == kind:
            return index, entry.plan
    return dict(snapshot_registers(saved.base))[kind]


def last_appended(saved: m.PersistentState, kind: str) -> tuple[int, str]:
    """The same of what is in the log, decided or not."""
    return last_committed(saved, saved.last_index, kind)


def snapshot_registers(base: m.Snapshot) -> list[tuple[str, tuple[int, str]]]:
    """What is folded, by kind: the index and text of the last decision, in the order of their indexes."""
    found = [(kind, (getattr(base, f"{kind}_index"), getattr(base, kind))) for kind in REGISTER_KINDS]
    return sorted(found, key=lambda item: item[1][0])


def has_uncommitted_voters(saved: m.PersistentState, commit: int) -> bool:
    """Whether a list of voters stands in the log that is not decided yet."""
    open_entries = saved.entries[max(0, commit - saved.base.index) :]
    return any(entry.kind == "voters" for entry in open_entries)


def compacted(saved: m.PersistentState, commit: int) -> m.PersistentState:
    """The same with what is decided folded into the base: the log stays short however long the fleet
    lives."""
    base = saved.base
    decided = saved.entries[: commit - base.index]
    last: dict[str, int | str] = {}
    for kind in REGISTER_KINDS:
        last[f"{kind}_index"], last[kind] = last_committed(saved, commit, kind)
    lists = [entry.voters for entry in decided if entry.kind == "voters"]
    made = m.Snapshot(
        index=commit,
        term=saved.term_at(commit) or 0,
        voters=lists[-1] if lists else base.voters,
        **last,
    )
    return msgspec.structs.replace(saved, base=made, entries=saved.entries[len(decided) :])
