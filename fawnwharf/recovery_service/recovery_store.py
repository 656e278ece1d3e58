"""The recovery store of a running front end: its folder and the boot id, on the event loop."""

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from fawnwharf.config import ConfigError, Deployment, Fleet
from fawnwharf.consensus.records import DiskError
from fawnwharf.durable_store import file_format as f
from fawnwharf.durable_store.entry_table import ChangeRejectedError
from fawnwharf.durable_store.event_loop_store import EventLoopStore, LogCallback
from fawnwharf.durable_store.folder_reader import FolderPosition, FolderState, rollback_reason
from fawnwharf.durable_store.store import CommitCallback, Store, StoreOwner, open_store, unix_ms
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.recovery_core.trust import AgeSettings, ClockReading, StateKind, StoreCondition, TrustLevel
from fawnwharf.recovery_service import stored_state as s
from fawnwharf.recovery_service.settings import settings_from
from fawnwharf.recovery_service.stored_promises import StoredGrants
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.replication.settings import parse_settings as state_settings
from fawnwharf.zones.files import load_file
from fawnwharf.zones.settings import membership_from

LOCK_S = 3.0  # the writer of a killed process keeps the folder until its last job is done
CLOSE_MS = 1_000.0  # for the last groups, and the note that it ended in order


def read_boot_id(path: str) -> str:
    """The id of this boot of the machine; empty where there is none, and each start is another boot then."""
    try:
        return Path(path).read_text().strip() if path else ""
    except OSError:
        return ""


@dataclass(frozen=True, slots=True)
class RecoveryStoreSettings:
    """What a recovery store is opened with."""

    folder: str | Path
    fleet: str
    member: str
    boot_file: str
    limits: f.StoreLimits
    age_limits: AgeSettings = field(default_factory=AgeSettings)


class RecoveryStore:
    """Owns the folder's store, and how far what was found in it is trusted; a seam of the front end."""

    def __init__(
        self, settings: RecoveryStoreSettings, log: LogCallback, *, fleet_is_new: bool = False
    ) -> None:
        """Read the folder; wait up to `LOCK_S` for its lock.

        `fleet_is_new` is whether the fleet begins: an empty folder has lost nothing then. Raises ConfigError
        with one line.
        """
        self.boot = read_boot_id(settings.boot_file)
        self._boot_digest = s.boot_digest(self.boot)
        self._log = log
        self.store = self._open(settings)
        found = self.store.recovered
        now = self._clock()
        self._recovered = s.recover_state(found, now, settings.age_limits, fleet_is_new=fleet_is_new)
        self.same_boot = self._recovered.same_boot
        self.closed_cleanly = found.closed_cleanly
        self.complete_membership_number = self._recovered.complete_membership_number
        self.doubt = self._recovered.doubt
        self.condition = StoreCondition.PARTIAL if self.doubt else StoreCondition.INTACT
        self.was_empty = found.fresh
        self.folder_incarnation = found.position.incarnation + 1
        # By which others know this incarnation: larger than the one before, also by a clock that was set
        # back.
        self.incarnation = max(
            self._recovered.incarnation + 1, self.folder_incarnation, int(unix_ms() * 1_000)
        )
        self._found_position = found.position
        self._reported_position = FolderPosition("", 0, 0)
        self._latest_reported = (0, 0)  # incarnation and number, by others
        self._confirmed = (0, 0)  # the same, as of when others confirmed the store
        self._incomplete_callbacks: list[Callable[[], None]] = []
        self._on_loop: EventLoopStore | None = None
        self._closed = False
        self._tickets = 0
        self._logged_rejection = ""
        self._write_start(now)
        self._bytes = {rule.name: 0 for rule in s.ENTRY_RULES.values()}
        for (name, key), data in self.store.core.entries.items():
            if name in self._bytes:
                self._bytes[name] += f.entry_size((name, key), data)

    def _open(self, settings: RecoveryStoreSettings) -> Store:
        try:
            owner = StoreOwner(settings.fleet, settings.member, self.boot, empty_ok=True)
            return open_store(settings.folder, owner, s.STORE_KINDS, settings.limits, within_s=LOCK_S)
        except DiskError as error:
            raise ConfigError(f"recovery.folder: {error}") from None

    def _clock(self) -> ClockReading:
        return ClockReading(self._boot_digest, monotonic_ms(), unix_ms())

    def _write_start(self, now: ClockReading) -> None:
        """Put what this start changes; the store's first snapshot is not written yet, and will have it so."""
        for name, key in self._recovered.obsolete:
            self._put(name, key, None)
        if self._recovered.is_new_doubt:
            self.mark_incomplete(self._recovered.doubt)
        self._put(s.START, s.LAST, s.encode_entry(now, self.incarnation))

    # --- life -----------------------------------------------------------------------------------

    def attach(self, front: FrontEnd | EventLoop) -> None:
        """Begin, on the front end's loop."""
        loop = front if isinstance(front, EventLoop) else front.loop
        self._on_loop = EventLoopStore(loop, self.store, self._log)
        fields = {
            "incarnation": self.folder_incarnation,
            "same_boot": self.same_boot,
            "in_order": self.closed_cleanly,
            "why": self.doubt,
            "entries": len(self.store.core.entries),
            "torn": self.store.recovered.torn_bytes,
        }
        self._log("recovery store read", fields)

    def close(self) -> None:
        """Write what there is to disk, within `CLOSE_MS`; the folder is released in any case."""
        if self._closed:
            return
        self._closed = True
        if self._on_loop is not None:
            self._on_loop.close(CLOSE_MS)
        else:
            self.store.close(monotonic_ms, CLOSE_MS)

    def on_fleet(self, fleet: Fleet) -> None:
        """Take a roster, as a seam; it changes nothing here."""

    def on_events(self, events: list[Any]) -> None:
        """Take the decision module's events, as a seam; they change nothing here."""

    @property
    def busy(self) -> bool:
        """Whether a graceful shutdown has to wait for this part."""
        return False

    def open_grant_storage(self, core: ReplicationCore, folder: Path | None) -> StoredGrants:
        """The storage of the front end's replica; `folder` is where its own file would be without a store."""
        return StoredGrants(self, core, folder)

    # --- what was found -------------------------------------------------------------------------

    @property
    def settled(self) -> bool:
        """Whether what was found is on disk for certain; nothing of it is reported to others before."""
        return bool(self.store.core.settled)

    @property
    def failing(self) -> str:
        """Why nothing is durable now; empty: it is."""
        return str(self.store.status(monotonic_ms()).failing)

    def read(self, kind: StateKind) -> list[s.TrustedEntry]:
        """What was found of a kind at the start, with its trust level by the store's condition now.

        A promise's value is a list as `RecoveredPromise`.
        """
        return s.read_entries(self._recovered, kind, self.condition)

    def release(self, kind: StateKind) -> None:
        """Free what was found of a kind, as it is not read any more."""
        self._recovered.entries.pop(kind, None)

    def position(self) -> FolderPosition:
        """The position of this folder, for others; of incarnation 0 until it is settled."""
        position = self.store.position()
        if position.incarnation:
            self._reported_position = position
        return position

    def receive_position(self, position: FolderPosition) -> bool:
        """Take a position of this folder that another member knows.

        False: it is later than the folder, which is an older copy then; the store is incomplete from then on.
        """
        number = (position.incarnation, position.number)
        if position.disk_id != self._found_position.disk_id or number <= self._confirmed:
            return True
        is_of_this_start = (
            position.incarnation > self._found_position.incarnation and self._reported_position.incarnation
        )
        own = self._reported_position if is_of_this_start else self._found_position
        reason = rollback_reason(FolderState(position=own), [position])[: s.MAX_REASON_LENGTH]
        if reason:
            self._latest_reported = max(self._latest_reported, number)
            if self.doubt != reason:
                self.mark_incomplete(reason)
        return not reason

    def mark_incomplete(self, reason: str) -> None:
        """Take the store for incomplete, also in later incarnations, until others confirm what was found."""
        self.condition = StoreCondition.PARTIAL
        self.doubt = reason
        self.complete_membership_number = 0
        self._put(s.DOUBT, s.LAST, s.encode_entry(self._clock(), reason))
        self._put(s.COMPLETE, s.LAST, None)
        self._log("recovery store incomplete", {"why": reason})
        for callback in self._incomplete_callbacks:
            callback()

    def on_incomplete(self, callback: Callable[[], None]) -> None:
        """Have this called whenever the store turns out to be incomplete."""
        self._incomplete_callbacks.append(callback)

    def confirm(self) -> None:
        """Take the store for complete, also in later incarnations, as others confirmed what was found.

        What a replica knows of its grants is another matter.
        """
        self.condition = StoreCondition.INTACT
        self.doubt = ""
        self._confirmed = self._latest_reported
        self._put(s.DOUBT, s.LAST, None)
        self.store.core.confirm()
        if self._on_loop is not None:
            self._on_loop.loop.schedule_flush(self._on_loop)

    # --- what is stored -------------------------------------------------------------------------

    def keep(
        self, kind: StateKind, key: str, value: Any | None, committed: CommitCallback | None = None
    ) -> bool:
        """Store an entry's value, JSON or a Struct; None deletes it.

        False: it was rejected, and nothing has changed. `committed` is called once, when it is on disk or
        with the reason why that is unsure; where it is rejected, before this returns.
        """
        rule = s.ENTRY_RULES[kind]
        data = None if value is None else s.encode_entry(self._clock(), value)
        growth = self._growth(rule, key, data)
        if data is not None and growth > 0 and self._bytes[rule.name] + growth > rule.max_total_bytes:
            reason = f"{rule.name}: {rule.max_total_bytes} bytes in all is the most"
        else:
            reason = self._put(rule.name, key, data)
        if reason:
            self._log_rejection(reason)
            if committed is not None:
                committed(False, reason)
            return False
        self._bytes[rule.name] += growth
        if committed is not None:
            self.when_committed(committed)
        return True

    def _growth(self, rule: s.EntryRule, key: str, data: bytes | None) -> int:
        """By how many bytes an entry grows."""
        place = (rule.name, key)
        before = self.store.core.entries.get(place)
        size = f.entry_size(place, data) if data else 0
        return size - (f.entry_size(place, before) if before else 0)

    def _log_rejection(self, reason: str) -> None:
        if reason != self._logged_rejection and not self._closed:
            self._logged_rejection = reason
            self._log("recovery store rejected an entry", {"why": reason})

    def homes(self) -> list[tuple[str, Any]]:
        """Stored placements of sessions; no hints, as a number that is over may be another session's."""
        entries = self.read(StateKind.PLACEMENTS)
        return [(entry.key, entry.value) for entry in entries if entry.trust is not TrustLevel.HINT]

    def keep_home(self, key: str, value: Any | None) -> bool:
        """Store one session's placement, as `keep`."""
        return self.keep(StateKind.PLACEMENTS, key, value)

    def keep_complete_membership_number(self, number: int) -> None:
        """Store that the replica knows all that it granted, by this list of members; 0: it does not."""
        self.complete_membership_number = number
        data = s.encode_entry(self._clock(), number) if number else None
        self._put(s.COMPLETE, s.LAST, data)

    def when_committed(self, callback: CommitCallback) -> None:
        """Have this called once: when all that was put before is on disk, or with why that is unsure.

        While the disk fails it is called at once.
        """
        self._tickets += 1
        reason = self._put(s.COMMIT_TICKET, s.LAST, msgspec.json.encode(self._tickets), callback)
        if reason:
            callback(False, reason)

    def _put(self, name: str, key: str, data: bytes | None, committed: CommitCallback | None = None) -> str:
        """Why it was rejected; empty: it was not."""
        if self._closed:
            return "closed"
        value = None if data is None else msgspec.Raw(data)
        try:
            if self._on_loop is not None:
                self._on_loop.put(name, key, value, committed)
            else:
                self.store.put(monotonic_ms(), name, key, value, committed)
        except ChangeRejectedError as error:
            return str(error)
        return ""


def open_recovery_store(
    deployment: Deployment, settings_path: str, state_path: str, log: LogCallback, *, fleet_is_new: bool
) -> RecoveryStore:
    """Open a front end's store by the settings of recovery and of replicated state. Raises ConfigError."""
    settings = load_file(Path(settings_path), settings_from, "recovery")
    state = load_file(Path(state_path), state_settings, "state")
    members = load_file(Path(state_path).parent / state.membership_file, membership_from, "state")
    store_settings = RecoveryStoreSettings(
        folder=Path(settings_path).parent / settings.folder,
        fleet=members.fleet,
        member=deployment.name,
        boot_file=settings.boot_file,
        limits=settings.store,
        age_limits=AgeSettings(window_ms=state.max_claim_lifetime_ms * (1.0 + 2.0 * state.clock_skew)),
    )
    return RecoveryStore(store_settings, log, fleet_is_new=fleet_is_new)
