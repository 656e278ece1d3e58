"""What a front end keeps in its recovery store, and what a start recovers of what it finds there. Pure.

Every entry bears the clock's reading at which it was put. All kinds are `soon` or `hint` for the store: what
has to be on disk before it is reported gets its commit ticket from an entry that is put after it, as a log is
there up to some group and no further. So one ticket serves a whole iteration of the loop, and nothing is
rejected because the disk fails.
"""

import hashlib
from collections.abc import Mapping
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
    """One kind's name in the store, its mode, and its bounds."""

    name: str
    mode: f.Durability
    max_entries: int
    max_value_bytes: int
    max_total_bytes: int


# Kinds without a rule: 'where copies were' and 'load counts' would hardly ever be recent enough, and terms
# are in the voters' file.
ENTRY_RULES = {
    StateKind.GRANT: EntryRule("promise", f.Durability.DELAYED, 40_000, 32 * 1024, 8 * 1024 * 1024),
    StateKind.PLAN: EntryRule("plan", f.Durability.DELAYED, 16, 256 * 1024, 1024 * 1024),
    StateKind.POLICY: EntryRule("policy", f.Durability.DELAYED, 16, 256 * 1024, 1024 * 1024),
    StateKind.PLACEMENTS: EntryRule("homes", f.Durability.DELAYED, 10_000, 4 * 1024, 1024 * 1024),
    StateKind.ROSTER: EntryRule("roster", f.Durability.BEST_EFFORT, 16, 1024 * 1024, 1024 * 1024),
    StateKind.USAGE: EntryRule("use", f.Durability.BEST_EFFORT, 16, 512 * 1024, 512 * 1024),
}
# The store's own kinds, one entry each.
START = "start"
DOUBT = "doubt"
COMPLETE = "sure"
COMMIT_TICKET = "turn"
LAST = "last"  # key of a kind's only entry
STORE_KINDS = [
    f.EntryKind(rule.name, rule.mode, rule.max_entries, rule.max_value_bytes) for rule in ENTRY_RULES.values()
] + [
    # A store that is full must not forget that it is incomplete, nor reject the ticket of what it took.
    f.EntryKind(START, f.Durability.DELAYED, 1, 256, reserved=True),
    f.EntryKind(DOUBT, f.Durability.DELAYED, 1, 4_096, reserved=True),
    f.EntryKind(COMPLETE, f.Durability.DELAYED, 1, 64, reserved=True),
    f.EntryKind(COMMIT_TICKET, f.Durability.SYNCED, 1, 64, reserved=True),
]
MAX_REASON_LENGTH = 500  # characters of a reason, each of at most six bytes as JSON


class StampedEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry as it is in the store; `boot` is the digest of the boot id, as each entry has it."""

    boot: str
    mono_ms: float
    wall_ms: float
    value: Any

    @property
    def clock(self) -> ClockReading:
        """The clock's reading at which it was put."""
        return ClockReading(self.boot, self.mono_ms, self.wall_ms)


class RecoveredEntry(NamedTuple):
    """One entry that was found."""

    key: str
    value: Any
    age: StateAge


class TrustedEntry(NamedTuple):
    """One entry that was found, and how far it may be used."""

    key: str
    value: Any
    trust: TrustLevel


class RecoveredGrant(NamedTuple):
    """The value of a promise's entry; the times are those that the store adds."""

    remaining_ms: float  # at the start
    since_ms: float | None  # for how long it had been stored at the start; None where another boot wrote it
    age_ms: float  # when it was stored
    claim: Any


class EntryKey(NamedTuple):
    """An entry's place in the store."""

    kind: str
    key: str


class RecoveredState(NamedTuple):
    """What a folder is found to be."""

    incarnation: int  # that the one before was known by
    same_boot: bool
    closed_cleanly: bool
    doubt: str  # why the store is incomplete; empty: it is complete
    is_new_doubt: (
        bool  # no earlier incarnation knew of it, so that what a replica knew of itself counts no more
    )
    complete_membership_number: (
        int  # the list of members by which the replica knew all that it had granted; 0: it did not
    )
    entries: dict[StateKind, list[RecoveredEntry]]
    obsolete: list[EntryKey]  # what is over or can't be read, to be deleted


def boot_digest(boot: str) -> str:
    """A boot id as entries bear it; empty where the system has none."""
    return hashlib.blake2b(boot.encode(), digest_size=6).hexdigest() if boot else ""


def encode_entry(clock: ClockReading, value: Any) -> bytes:
    """An entry's bytes, with the time at which it is put."""
    return msgspec.json.encode(
        StampedEntry(clock.boot, round(clock.mono_ms, 1), float(round(clock.wall_ms)), value)
    )


def recover_state(
    found: folder_reader.FolderState, now: ClockReading, limits: AgeSettings, *, fleet_is_new: bool
) -> RecoveredState:
    """Evaluate what a folder has.

    `now` is of this start, its boot as `boot_digest` has it. `fleet_is_new` is whether nobody in the fleet
    has promised anything, so that an empty folder has lost nothing.
    """
    last_start = _decode_entry(found.entries.get((START, LAST), b""))
    is_same_boot = last_start is not None and same_boot(last_start.clock, now)
    incarnation = last_start.value if last_start is not None and type(last_start.value) is int else 0
    entries: dict[StateKind, list[RecoveredEntry]] = {}
    obsolete: list[EntryKey] = []
    unreadable = ""
    kinds = {rule.name: kind for kind, rule in ENTRY_RULES.items()}
    for (name, key), data in found.entries.items():
        kind = kinds.get(name)
        if kind is None:
            continue
        entry = _recover_entry(kind, key, data, now, limits)
        if entry is None:
            unreadable = unreadable or f"{name}: an entry that can't be read"
            obsolete.append(EntryKey(name, key))
        elif (
            _trust(kind, entry.age, is_same_boot, found.closed_cleanly, StoreCondition.INTACT)
            is TrustLevel.GONE
        ):
            obsolete.append(EntryKey(name, key))
        else:
            entries.setdefault(kind, []).append(entry)
    known_doubt = _stored_doubt(found.entries)
    doubt = unreadable or _folder_doubt(found, fleet_is_new=fleet_is_new) or known_doubt
    is_new_doubt = bool(doubt) and (bool(unreadable) or doubt != known_doubt)
    return RecoveredState(
        incarnation,
        is_same_boot,
        found.closed_cleanly,
        doubt,
        is_new_doubt,
        0 if is_new_doubt else _stored_complete_membership_number(found.entries),
        entries,
        obsolete,
    )


def _decode_entry(data: bytes) -> StampedEntry | None:
    try:
        return msgspec.json.decode(data, type=StampedEntry)
    except msgspec.DecodeError:
        return None


def _recover_entry(
    kind: StateKind, key: str, data: bytes, now: ClockReading, limits: AgeSettings
) -> RecoveredEntry | None:
    """An entry and its age; None where it can't be read.

    A promise is stored as a list that begins with how long it counts. It is read with what is left of that,
    and for how long it was stored, None where another boot wrote it.
    """
    entry = _decode_entry(data)
    if entry is None:
        return None
    if kind is not StateKind.GRANT:
        return RecoveredEntry(key, entry.value, age_of(kind, entry.clock, now, limits.of(kind)))
    value = entry.value
    if not isinstance(value, list) or not value or not isinstance(value[0], int | float):
        return None
    left_ms = remaining_ms(entry.clock, now, value[0])
    since_ms = now.mono_ms - entry.mono_ms if same_boot(entry.clock, now) else None
    age = age_of(kind, entry.clock, now, AgeLimits(value[0], value[0]))
    return RecoveredEntry(key, [left_ms, since_ms, *value[1:]], age)


def _folder_doubt(found: folder_reader.FolderState, *, fleet_is_new: bool) -> str:
    """What the folder itself says against it."""
    if found.repaired:
        return f"repaired: {found.repaired}"[:MAX_REASON_LENGTH]
    return "empty" if found.fresh and not fleet_is_new else ""


def _stored_doubt(entries: Mapping[f.EntryKey, bytes]) -> str:
    data = entries.get((DOUBT, LAST))
    if data is None:
        return ""
    entry = _decode_entry(data)
    return str(entry.value) if entry is not None else "a doubt that can't be read"


def _stored_complete_membership_number(entries: Mapping[f.EntryKey, bytes]) -> int:
    entry = _decode_entry(entries.get((COMPLETE, LAST), b""))
    return entry.value if entry is not None and isinstance(entry.value, int) else 0


def _trust(
    kind: StateKind, age: StateAge, is_same_boot: bool, closed_cleanly: bool, condition: StoreCondition
) -> TrustLevel:
    return trust_level(StoredState(kind, age, closed_cleanly, is_same_boot, store=condition))


def read_entries(state: RecoveredState, kind: StateKind, condition: StoreCondition) -> list[TrustedEntry]:
    """What was found of a kind, with its trust level by the store's condition now."""
    trusted = []
    for entry in state.entries.get(kind, ()):
        trust = _trust(kind, entry.age, state.same_boot, state.closed_cleanly, condition)
        if trust is not TrustLevel.GONE:
            trusted.append(TrustedEntry(entry.key, entry.value, trust))
    return trusted
