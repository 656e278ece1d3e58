"""The entries of a front end's recovery store, and their recovery at a start. Does no I/O.

Every entry has the clock reading at which it was put. All kinds are DELAYED or BEST_EFFORT, except for the
commit ticket. State that has to be on disk before it is reported waits for a commit ticket that is put after
it: the log on disk has no gaps, so everything before the ticket is on disk, too. So one ticket serves a whole
event loop iteration, and no entry is rejected because the disk fails.
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
    """The name, durability and limits of one kind of entry."""

    name: str
    mode: f.Durability
    max_entries: int
    max_value_bytes: int
    max_total_bytes: int


# These kinds have no rule: former locations of copies and load counts would hardly ever be recent enough, and
# terms are in the voters' file.
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
    # Reserved space: a full store must still record that it is incomplete, and accept commit tickets.
    f.EntryKind(START, f.Durability.DELAYED, 1, 256, reserved=True),
    f.EntryKind(DOUBT, f.Durability.DELAYED, 1, 4_096, reserved=True),
    f.EntryKind(COMPLETE, f.Durability.DELAYED, 1, 64, reserved=True),
    f.EntryKind(COMMIT_TICKET, f.Durability.SYNCED, 1, 64, reserved=True),
]
MAX_REASON_LENGTH = 500  # characters; each takes at most six bytes as JSON


class StampedEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry as it is stored; `boot` is a digest of the boot id."""

    boot: str
    mono_ms: float
    wall_ms: float
    value: Any

    @property
    def clock(self) -> ClockReading:
        """The clock reading at which the entry was put."""
        return ClockReading(self.boot, self.mono_ms, self.wall_ms)


class RecoveredEntry(NamedTuple):
    """One recovered entry."""

    key: str
    value: Any
    age: StateAge


class TrustedEntry(NamedTuple):
    """One recovered entry with its trust level."""

    key: str
    value: Any
    trust: TrustLevel


class RecoveredGrant(NamedTuple):
    """The value of a recovered grant; the first two times are added at recovery."""

    remaining_ms: float  # time until it expires, as of the start
    since_ms: float | None  # time since it was stored, as of the start; None if another boot wrote it
    age_ms: float  # its age when it was stored
    claim: Any


class EntryKey(NamedTuple):
    """An entry's place in the store."""

    kind: str
    key: str


class RecoveredState(NamedTuple):
    """The state recovered from a folder."""

    incarnation: int  # number by which others knew the previous incarnation
    same_boot: bool
    closed_cleanly: bool
    doubt: str  # why the store is incomplete; empty if it is complete
    # Whether no earlier incarnation knew this reason; then a replica may not trust its own record either.
    is_new_doubt: bool
    # Membership version under which the replica knew all its grants; 0: it did not know them.
    complete_membership_number: int
    entries: dict[StateKind, list[RecoveredEntry]]
    obsolete: list[EntryKey]  # expired or unreadable entries, to be deleted


def boot_digest(boot: str) -> str:
    """The digest of a boot id that entries contain; empty if the system has none."""
    return hashlib.blake2b(boot.encode(), digest_size=6).hexdigest() if boot else ""


def encode_entry(clock: ClockReading, value: Any) -> bytes:
    """Encode an entry with the clock reading at which it is put."""
    return msgspec.json.encode(
        StampedEntry(clock.boot, round(clock.mono_ms, 1), float(round(clock.wall_ms)), value)
    )


def recover_state(
    found: folder_reader.FolderState, now: ClockReading, limits: AgeSettings, *, fleet_is_new: bool
) -> RecoveredState:
    """Evaluate the contents of a folder.

    `now` is the clock reading of this start, with the boot as `boot_digest` returns it. `fleet_is_new` tells
    that nobody in the fleet has granted anything, so that an empty folder has lost nothing.
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
    """Decode an entry and determine its age; None if it can't be read.

    A grant is stored as a list that begins with its lifetime. It is returned with its remaining lifetime and
    the time since it was stored instead; the latter is None if another boot wrote it.
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
    """Why the folder itself shows that the store is incomplete; empty if it does not."""
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
    """The recovered entries of a kind, with trust levels by the store's current condition."""
    trusted = []
    for entry in state.entries.get(kind, ()):
        trust = _trust(kind, entry.age, state.same_boot, state.closed_cleanly, condition)
        if trust is not TrustLevel.GONE:
            trusted.append(TrustedEntry(entry.key, entry.value, trust))
    return trusted
