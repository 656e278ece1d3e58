"""The recovery store of a running front end: the store folder and the boot id, used on the event loop."""

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

LOCK_S = 3.0  # lock timeout; the writer of a killed process holds the lock until its last job is done
CLOSE_MS = 1_000.0  # timeout for writing the last groups and the mark of a clean shutdown


def read_boot_id(path: str) -> str:
    """The machine's boot id; empty if unavailable, and then each start counts as a new boot."""
    try:
        return Path(path).read_text().strip() if path else ""
    except OSError:
        return ""


@dataclass(frozen=True, slots=True)
class RecoveryStoreSettings:
    """The settings with which a recovery store is opened."""

    folder: str | Path
    fleet: str
    member: str
    boot_file: str
    limits: f.StoreLimits
    age_limits: AgeSettings = field(default_factory=AgeSettings)


class RecoveryStore:
    """The store of a folder, and how far the recovered entries are trusted; attached to the front end."""

    def __init__(
        self, settings: RecoveryStoreSettings, log: LogCallback, *, fleet_is_new: bool = False
    ) -> None:
        """Read the folder; wait up to `LOCK_S` for its lock.

        `fleet_is_new` tells that the fleet starts for the first time, so that an empty folder has lost
        nothing. Raises ConfigError with one line.
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
        # The number by which others know this incarnation. It exceeds the previous one even if the clock was
        # set back.
        self.incarnation = max(
            self._recovered.incarnation + 1, self.folder_incarnation, int(unix_ms() * 1_000)
        )
        self._found_position = found.position
        self._reported_position = FolderPosition("", 0, 0)
        self._latest_reported = (0, 0)  # incarnation and number of the latest position known to others
        self._confirmed = (0, 0)  # its value when others last confirmed the store
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
        """Put the changes of this start; the store's first snapshot, not written yet, will include them."""
        for name, key in self._recovered.obsolete:
            self._put(name, key, None)
        if self._recovered.is_new_doubt:
            self.mark_incomplete(self._recovered.doubt)
        self._put(s.START, s.LAST, s.encode_entry(now, self.incarnation))

    # --- start and stop -------------------------------------------------------------------------

    def attach(self, front: FrontEnd | EventLoop) -> None:
        """Start writing on the front end's event loop."""
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
        """Write pending changes to disk within `CLOSE_MS`; the folder is released in any case."""
        if self._closed:
            return
        self._closed = True
        if self._on_loop is not None:
            self._on_loop.close(CLOSE_MS)
        else:
            self.store.close(monotonic_ms, CLOSE_MS)

    def on_fleet(self, fleet: Fleet) -> None:
        """Ignore a roster; required of every attached part."""

    def on_events(self, events: list[Any]) -> None:
        """Ignore the decision module's events; required of every attached part."""

    @property
    def busy(self) -> bool:
        """Whether a graceful shutdown has to wait for this part."""
        return False

    def open_grant_storage(self, core: ReplicationCore, folder: Path | None) -> StoredGrants:
        """Open the replica's grant storage; `folder` is where its own file would be without this store."""
        return StoredGrants(self, core, folder)

    # --- what was found -------------------------------------------------------------------------

    @property
    def settled(self) -> bool:
        """Whether the recovered entries are certainly on disk; they are not reported to others before."""
        return bool(self.store.core.settled)

    @property
    def failing(self) -> str:
        """Why changes are not durable now; empty if they are."""
        return str(self.store.status(monotonic_ms()).failing)

    def read(self, kind: StateKind) -> list[s.TrustedEntry]:
        """The entries of a kind recovered at the start, with trust levels by the store's current condition.

        The value of a grant is a list with the fields of `RecoveredGrant`.
        """
        return s.read_entries(self._recovered, kind, self.condition)

    def release(self, kind: StateKind) -> None:
        """Free the recovered entries of a kind that will not be read any more."""
        self._recovered.entries.pop(kind, None)

    def position(self) -> FolderPosition:
        """The position of this folder, for other members; its incarnation is 0 until the store is settled."""
        position = self.store.position()
        if position.incarnation:
            self._reported_position = position
        return position

    def receive_position(self, position: FolderPosition) -> bool:
        """Check a position of this folder that another member knows.

        Returns False if the position is later than the folder, so that the folder is an older copy. The store
        then counts as incomplete.
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
        """Mark the store incomplete, also for later incarnations, until others confirm its contents."""
        self.condition = StoreCondition.PARTIAL
        self.doubt = reason
        self.complete_membership_number = 0
        self._put(s.DOUBT, s.LAST, s.encode_entry(self._clock(), reason))
        self._put(s.COMPLETE, s.LAST, None)
        self._log("recovery store incomplete", {"why": reason})
        for callback in self._incomplete_callbacks:
            callback()

    def on_incomplete(self, callback: Callable[[], None]) -> None:
        """Register a callback for whenever the store turns out to be incomplete."""
        self._incomplete_callbacks.append(callback)

    def confirm(self) -> None:
        """Mark the store complete, also for later incarnations, because others confirmed its contents.

        This does not imply that the replica knows all its grants.
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
        """Store an entry's value, JSON or a Struct; None deletes the entry.

        Returns False if the change was rejected and nothing has changed. `committed` is called once: when the
        entry is on disk, or with the reason why that is uncertain. After a rejection it is called before this
        returns.
        """
        rule = s.ENTRY_RULES[kind]
        data = None if value is None else s.encode_entry(self._clock(), value)
        growth = self._growth(rule, key, data)
        if data is not None and growth > 0 and self._bytes[rule.name] + growth > rule.max_total_bytes:
            reason = f"{rule.name}: exceeds {rule.max_total_bytes} bytes in total"
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
        """By how many bytes an entry grows; negative if it shrinks."""
        place = (rule.name, key)
        before = self.store.core.entries.get(place)
        size = f.entry_size(place, data) if data else 0
        return size - (f.entry_size(place, before) if before else 0)

    def _log_rejection(self, reason: str) -> None:
        if reason != self._logged_rejection and not self._closed:
            self._logged_rejection = reason
            self._log("recovery store rejected an entry", {"why": reason})

    def homes(self) -> list[tuple[str, Any]]:
        """Stored placements of sessions, without hints: an expired number may belong to another session."""
        entries = self.read(StateKind.PLACEMENTS)
        return [(entry.key, entry.value) for entry in entries if entry.trust is not TrustLevel.HINT]

    def keep_home(self, key: str, value: Any | None) -> bool:
        """Store one session's placement, as `keep` does."""
        return self.keep(StateKind.PLACEMENTS, key, value)

    def keep_complete_membership_number(self, number: int) -> None:
        """Store that the replica knows all its grants under this membership version; 0: it does not."""
        self.complete_membership_number = number
        data = s.encode_entry(self._clock(), number) if number else None
        self._put(s.COMPLETE, s.LAST, data)

    def when_committed(self, callback: CommitCallback) -> None:
        """Call back once: when all earlier changes are on disk, or with the reason why that is uncertain.

        While the disk fails, the callback runs at once.
        """
        self._tickets += 1
        reason = self._put(s.COMMIT_TICKET, s.LAST, msgspec.json.encode(self._tickets), callback)
        if reason:
            callback(False, reason)

    def _put(self, name: str, key: str, data: bytes | None, committed: CommitCallback | None = None) -> str:
        """Put a change; return why it was rejected, or an empty string."""
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
    """Open a front end's store with the settings of recovery and of replicated state; raises ConfigError."""
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
