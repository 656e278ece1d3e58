"""What a front end keeps in its store, and what a start makes of what it finds there. Pure.

Every entry bears the clock's reading at which it was put. All kinds are `soon` or `hint` for the store: what
is to be on disk before it is said has its ticket from an entry put after it, as a log is there up to some
group and no further. So one ticket serves all of a turn, and nothing is refused because the disk fails.
"""

import hashlib
from typing import Any, NamedTuple

import msgspec

from fawnwharf.durable_store import file_format as f
from fawnwharf.durable_store import folder_reader
from fawnwharf.recovery_core.trust import (
    AgeLimits,
    AgeSettings,
    ClockReading,
    StateAge,
    StateKind,
    StoreCondition,
    StoredState,
    TrustLevel,
    age_of,
    remaining_ms,
    same_boot,
    trust_level,
)


class EntryRule(NamedTuple):
    """One kind's name in the store, its mode, and its bounds: entries, bytes of one, bytes of all."""

    name: str
    mode: f.Durability
    most: int
    value_bytes: int
    all_bytes: int


# 'Where copies stood' and 'load counts' are hardly ever more than gone, and terms are in the voters' file.
ENTRY_RULES = {
    StateKind.GRANT: EntryRule("promise", f.Durability.DELAYED, 40_000, 32 * 1024, 8 * 1024 * 1024),
    StateKind.PLAN: EntryRule("plan", f.Durability.DELAYED, 16, 256 * 1024, 1024 * 1024),
    StateKind.POLICY: EntryRule("policy", f.Durability.DELAYED, 16, 256 * 1024, 1024 * 1024),
    StateKind.PLACEMENTS: EntryRule("homes", f.Durability.DELAYED, 10_000, 4 * 1024, 1024 * 1024),
    StateKind.ROSTER: EntryRule("roster", f.Durability.BEST_EFFORT, 16, 1024 * 1024, 1024 * 1024),
    StateKind.USAGE: EntryRule("use", f.Durability.BEST_EFFORT, 16, 512 * 1024, 512 * 1024),
}
START, DOUBT, COMPLETE, COMMIT_TICKET = "start", "doubt", "sure", "turn"  # the store's own, one entry each
LAST = "last"
STORE_KINDS = [
    f.EntryKind(rule.name, rule.mode, rule.most, rule.value_bytes) for rule in ENTRY_RULES.values()
] + [
    # A store that is full must not forget that it is in part, nor refuse the ticket of what it took.
    f.EntryKind(START, f.Durability.DELAYED, 1, 256, reserved=True),
    f.EntryKind(DOUBT, f.Durability.DELAYED, 1, 4_096, reserved=True),
    f.EntryKind(COMPLETE, f.Durability.DELAYED, 1, 64, reserved=True),
    f.EntryKind(COMMIT_TICKET, f.Durability.SYNCED, 1, 64, reserved=True),
]
MAX_REASON_LENGTH = 500  # characters of a cause, of six bytes at the most as JSON


class StampedEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry as it is in the store. `boot`: the mark's digest, as it stands in each of them."""

    boot: str
    mono_ms: float
    wall_ms: float
    value: Any

    @property
    def clock(self) -> ClockReading:
        return ClockReading(self.boot, self.mono_ms, self.wall_ms)


class RecoveredEntry(NamedTuple):
    key: str
    value: Any
    age: StateAge


class RecoveredState(NamedTuple):
    """What a folder is found to be. `doubt`: why the store is in part, empty: it is whole; `new`: no life
    before this one knew of that, so that what a keeper knew of itself counts no more. `number`: that the life
    before was known by."""

    number: int
    same_boot: bool
    in_order: bool
    doubt: str
    new: bool
    sure: int  # the list of members by which the keeper knew all that it had granted; 0: it did not
    rows: dict[StateKind, list[RecoveredEntry]]
    old: list[tuple[str, str]]  # what is over or can't be read: it goes


def boot_digest(mark: str) -> str:
    """A boot's mark as entries bear it; one that the system does not tell stays empty."""
    return hashlib.blake2b(mark.encode(), digest_size=6).hexdigest() if mark else ""


def encode_entry(clock: ClockReading, value: Any) -> bytes:
    return msgspec.json.encode(
        StampedEntry(clock.boot, round(clock.mono_ms, 1), float(round(clock.wall_ms)), value)
    )


def recover_state(
    found: folder_reader.FolderState, now: ClockReading, fresh: bool, spans: AgeSettings
) -> RecoveredState:
    """`now`: of this start, its boot as `short` has it. `fresh`: nobody in the fleet has promised anything,
    so that an empty folder has lost nothing."""
    entries, same, number = found.entries, False, 0
    if (data := entries.get((START, LAST))) is not None and (last := _decode_entry(data)) is not None:
        same = same_boot(last.clock, now)
        number = last.value if type(last.value) is int else 0
    rows: dict[StateKind, list[RecoveredEntry]] = {}
    old, faulty = [], ""
    by_name = {rule.name: kind for kind, rule in ENTRY_RULES.items()}
    for (name, key), data in entries.items():
        if (kind := by_name.get(name)) is None:
            continue
        row = _recover_entry(kind, key, data, now, spans)
        if row is None:
            faulty = faulty or f"{name}: an entry that can't be read"
        if (
            row is None
            or _trust(kind, row.age, same, found.closed_cleanly, StoreCondition.INTACT) is TrustLevel.GONE
        ):
            old.append((name, key))
        else:
            rows.setdefault(kind, []).append(row)
    before = _stored_doubt(entries, DOUBT)
    doubt = faulty or _folder_doubt(found, fresh) or before
    new = bool(doubt) and (bool(faulty) or doubt != before)
    return RecoveredState(
        number,
        same,
        found.closed_cleanly,
        doubt,
        new,
        0 if new else _stored_complete_list(entries),
        rows,
        old,
    )


def _decode_entry(data: bytes) -> StampedEntry | None:
    try:
        return msgspec.json.decode(data, type=StampedEntry)
    except msgspec.DecodeError:
        return None


def _recover_entry(
    kind: StateKind, key: str, data: bytes, now: ClockReading, spans: AgeSettings
) -> RecoveredEntry | None:
    """None where it is none. What is kept of a promise is a list that begins with how long it counts; it is
    read with what is left of that, and since when it stands, None where another boot wrote it."""
    if (found := _decode_entry(data)) is None:
        return None
    if kind is not StateKind.GRANT:
        return RecoveredEntry(key, found.value, age_of(kind, found.clock, now, spans.of(kind)))
    value = found.value
    if not isinstance(value, list) or not value or not isinstance(value[0], int | float):
        return None
    left = remaining_ms(found.clock, now, value[0])
    since = now.mono_ms - found.mono_ms if same_boot(found.clock, now) else None
    return RecoveredEntry(
        key, [left, since, *value[1:]], age_of(kind, found.clock, now, AgeLimits(value[0], value[0]))
    )


def _folder_doubt(found: folder_reader.FolderState, fresh: bool) -> str:
    """What the folder itself says against it."""
    if found.repaired:
        return f"repaired: {found.repaired}"[:MAX_REASON_LENGTH]
    return "empty" if found.fresh and not fresh else ""


def _stored_doubt(entries: f.Entries, name: str) -> str:
    if (data := entries.get((name, LAST))) is None:
        return ""
    found = _decode_entry(data)
    return str(found.value) if found is not None else "a doubt that can't be read"


def _stored_complete_list(entries: f.Entries) -> int:
    found = _decode_entry(entries.get((COMPLETE, LAST), b""))
    return found.value if found is not None and isinstance(found.value, int) else 0


def _trust(kind: StateKind, age: StateAge, same: bool, in_order: bool, store: StoreCondition) -> TrustLevel:
    return trust_level(StoredState(kind, age, in_order, same, store=store))


def read_entries(
    start: RecoveredState, kind: StateKind, store: StoreCondition
) -> list[tuple[str, Any, TrustLevel]]:
    """What was found of a kind, by the table, as the store is held to be now."""
    return [
        (row.key, row.value, held)
        for row in start.rows.get(kind, ())
        if (held := _trust(kind, row.age, start.same_boot, start.in_order, store)) is not TrustLevel.GONE
    ]
