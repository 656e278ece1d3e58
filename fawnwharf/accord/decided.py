"""What a voter's log says, given how far it is decided. Pure."""

import msgspec

from fawnwharf.accord import messages as m


def entry_at(saved: m.Saved, index: int) -> m.Entry:
    """The entry of an index that is in the log and not folded away."""
    return saved.entries[index - saved.base.index - 1]


def last_plan(saved: m.Saved, commit: int) -> tuple[int, str]:
    """The last decided plan and its index; (0, "") before the first."""
    for index in range(commit, saved.base.index, -1):
        entry = entry_at(saved, index)
        if entry.kind == "plan":
            return index, entry.plan
    return saved.base.plan_index, saved.base.plan


def open_voters(saved: m.Saved, commit: int) -> bool:
    """Whether a list of voters stands in the log that is not decided yet."""
    open_entries = saved.entries[max(0, commit - saved.base.index) :]
    return any(entry.kind == "voters" for entry in open_entries)


def folded(saved: m.Saved, commit: int) -> m.Saved:
    """The same with what is decided folded into the base: the log stays short however long the fleet
    lives."""
    base = saved.base
    decided = saved.entries[: commit - base.index]
    plans = [n for n, entry in enumerate(decided) if entry.kind == "plan"]
    lists = [entry.voters for entry in decided if entry.kind == "voters"]
    made = m.Base(
        index=commit,
        term=saved.term_at(commit) or 0,
        plan=decided[plans[-1]].plan if plans else base.plan,
        plan_index=base.index + 1 + plans[-1] if plans else base.plan_index,
        voters=lists[-1] if lists else base.voters,
    )
    return msgspec.structs.replace(saved, base=made, entries=saved.entries[len(decided) :])
