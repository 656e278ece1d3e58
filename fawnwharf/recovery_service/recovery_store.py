"""The store of a running front end: its folder and the boot's mark, on the loop."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from fawnwharf.config import ConfigError, Deployment, Fleet
from fawnwharf.consensus.records import DiskError
from fawnwharf.durable_store import file_format as f
from fawnwharf.durable_store.core import ChangeRejectedError
from fawnwharf.durable_store.event_loop_store import EventLoopStore
from fawnwharf.durable_store.folder_reader import FolderPosition, FolderState, rollback_reason
from fawnwharf.durable_store.store import StoreOwner, open_store, unix_ms
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.recovery_core.trust import AgeSettings, ClockReading, StateKind, StoreCondition, TrustLevel
from fawnwharf.recovery_service import stored_state as k
from fawnwharf.recovery_service.settings import settings_from
from fawnwharf.recovery_service.stored_promises import StoredPromises
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.replication.settings import parse_settings as state_settings
from fawnwharf.zones.files import load_file
from fawnwharf.zones.settings import membership_from

LOCK_S = 3.0  # a writer of a process that was killed has the folder until its last job is done
CLOSE_MS = 1_000.0  # for the last groups, and the word that it ended in order

Note = Callable[[str, dict[str, Any]], None]
SyncCallback = Callable[[bool, str], None]  # whether it is on disk; if not, why that is unsure


def read_boot_id(path: str) -> str:
    """Of this boot of the machine; empty where nobody tells, and each start is another boot then."""
    try:
        return Path(path).read_text().strip() if path else ""
    except OSError:
        return ""


class RecoveryStore:
    """Owns the folder's store, and what is held true of what was found in it; a Seam of the front end."""

    def __init__(
        self, folder: str | Path, fleet: str, member: str, boot_file: str, limits: f.StoreLimits, note: Note,
        fresh: bool = False, spans: AgeSettings | None = None,
    ) -> None:  # fmt: skip
        """Reads the folder; waits up to `LOCK_S` for its lock. `fresh`: the fleet begins, an empty folder has
        lost nothing. Raises ConfigError with one line."""
        self.boot, self._note = read_boot_id(boot_file), note
        self._mark = k.boot_digest(self.boot)
        try:
            owner = StoreOwner(fleet, member, self.boot, empty_ok=True)
            self.store = open_store(folder, owner, k.STORE_KINDS, limits, within_s=LOCK_S)
        except DiskError as error:
            raise ConfigError(f"recovery.folder: {error}") from None
        found = self.store.recovered
        now = self._clock()
        self._start = k.recover_state(found, now, fresh, spans or AgeSettings())
        self.same_boot, self.in_order, self.sure = (
            self._start.same_boot,
            found.closed_cleanly,
            self._start.sure,
        )
        self.whole = StoreCondition.PARTIAL if self._start.doubt else StoreCondition.INTACT
        self.why, self.fresh, self.life = self._start.doubt, found.fresh, found.position.incarnation + 1
        # By which others know this life: larger than the one before, also by a clock that was set back.
        self.number = max(self._start.number + 1, self.life, int(unix_ms() * 1_000))
        self._found, self._told = found.position, FolderPosition("", 0, 0)
        self._later = self._passed = (0, 0)  # life and number that others told, and that were confirmed over
        self._doubted: list[Callable[[], None]] = []  # who is told of a doubt that comes up later
        self._loop: EventLoopStore | None = None
        self._closed = False
        self._turns, self._refused = 0, ""
        self._anew(now)
        self._bytes = {rule.name: 0 for rule in k.ENTRY_RULES.values()}
        for (name, key), data in self.store.core.entries.items():
            if name in self._bytes:
                self._bytes[name] += f.entry_size((name, key), data)

    def _clock(self) -> ClockReading:
        return ClockReading(self._mark, monotonic_ms(), unix_ms())

    def _anew(self, now: ClockReading) -> None:
        """What this start makes of the entries; the store has not written anything yet, and its first
        snapshot has it so."""
        start = self._start
        for name, key in start.old:
            self._put(name, key, None)
        if start.new:
            self._doubt(start.doubt)
        self._put(k.START, k.LAST, k.encode_entry(now, self.number))

    # --- life -----------------------------------------------------------------------------------

    def attach(self, front: FrontEnd | EventLoop) -> None:
        """Begin, on the front end's loop."""
        self._loop = EventLoopStore(getattr(front, "loop", front), self.store, self._note)
        self._note("store read", {
            "life": self.life, "same_boot": self.same_boot, "in_order": self.in_order, "why": self.why,
            "entries": len(self.store.core.entries), "torn": self.store.recovered.torn_bytes,
        })  # fmt: skip

    def close(self) -> None:
        """What there is goes to disk, within `CLOSE_MS`; the folder is given back in any case."""
        if self._closed:
            return
        self._closed = True
        if self._loop is not None:
            self._loop.close(CLOSE_MS)
        else:
            self.store.close(monotonic_ms, CLOSE_MS)

    def on_fleet(self, fleet: Fleet) -> None: ...

    def on_events(self, events: list[Any]) -> None: ...

    @property
    def busy(self) -> bool:
        return False

    def open_grant_storage(self, core: ReplicationCore, folder: Path | None) -> StoredPromises:
        """For the front end's keeper; `folder`: where it would have its own file without a store."""
        return StoredPromises(self, core, self._note, folder)

    # --- what was found -------------------------------------------------------------------------

    @property
    def settled(self) -> bool:
        """What was found is on disk for certain; nothing of it is told to others before."""
        return self.store.core.settled

    @property
    def failing(self) -> str:
        """Why nothing is durable now; empty: it is."""
        return self.store.status(monotonic_ms()).failing

    def read(self, kind: StateKind) -> list[tuple[str, Any, TrustLevel]]:
        """Key, value and trust of what was found at the start, by the table, as the store is held to be now.
        A promise's value is a list that begins with what was left of its time at the start, and for how long
        it had stood, None where another boot wrote it; both in ms."""
        return k.read_entries(self._start, kind, self.whole)

    def dropped(self, kind: StateKind) -> None:
        """What was found of a kind is read by nobody any more."""
        self._start.rows.pop(kind, None)

    def sign(self) -> FolderPosition:
        """How far this folder has come, for others; of life 0 until it is settled."""
        sign = self.store.position()
        self._told = sign if sign.incarnation else self._told
        return sign

    def heard_sign(self, sign: FolderPosition) -> bool:
        """Another member's word of a sign that it heard of this one. False: it is a later one than this
        folder has, which is an older copy; the store is in part from then on."""
        if sign.disk_id != self._found.disk_id or (sign.incarnation, sign.number) <= self._passed:
            return True
        here = (
            sign.incarnation > self._found.incarnation and self._told.incarnation
        )  # of this life; else of what was found
        mine = self._told if here else self._found
        why = rollback_reason(FolderState(position=mine), [sign])
        if why:
            self._later = max(self._later, (sign.incarnation, sign.number))
            if self.why != why[: k.MAX_REASON_LENGTH]:
                self._doubt(why[: k.MAX_REASON_LENGTH])
        return not why

    def doubt(self, why: str) -> None:
        """The store is in part, and stays so over further lives, until others confirm what was found."""
        self._doubt(why)

    def _doubt(self, why: str) -> None:
        self.whole, self.why, self.sure = StoreCondition.PARTIAL, why, 0
        self._put(k.DOUBT, k.LAST, k.encode_entry(self._clock(), why))
        self._put(k.COMPLETE, k.LAST, None)
        self._note("the store is in part", {"why": why})
        for tell in self._doubted:
            tell()

    def on_doubt(self, tell: Callable[[], None]) -> None:
        self._doubted.append(tell)

    def confirm(self) -> None:
        """Others confirmed what was found: the store is whole from now on, and in lives to come. Raises
        nothing; what a keeper knows of its grants is another matter."""
        self.whole, self.why, self._passed = StoreCondition.INTACT, "", self._later
        self._put(k.DOUBT, k.LAST, None)
        self.store.core.confirm()
        if self._loop is not None:
            self._loop.loop.schedule_flush(self._loop)

    # --- what is kept ---------------------------------------------------------------------------

    def keep(self, kind: StateKind, key: str, value: Any | None, told: SyncCallback | None = None) -> bool:
        """The entry is this from now on, JSON or a Struct; None: there is none. False: it was refused, and
        nothing has changed. `told` once, that it is on disk or why that is unsure; where it is refused before
        this returns."""
        rule = k.ENTRY_RULES[kind]
        data = None if value is None else k.encode_entry(self._clock(), value)
        before = self.store.core.entries.get((rule.name, key))
        grows = sum(f.entry_size((rule.name, key), one) * by for one, by in ((data, 1), (before, -1)) if one)
        if data is not None and grows > 0 and self._bytes[rule.name] + grows > rule.all_bytes:
            why = f"{rule.name}: {rule.all_bytes} bytes in all is the most"
        elif not (why := self._put(rule.name, key, data)):
            self._bytes[rule.name] += grows
            if told is not None:
                self.on_disk(told)
            return True
        if why != self._refused and not self._closed:
            self._refused = why
            self._note("not kept", {"why": why})
        if told is not None:
            told(False, why)
        return False

    def homes(self) -> list[tuple[str, Any]]:
        """Homes of sessions that were kept; no hints: a number that is over may have been given anew."""
        return [
            (key, value)
            for key, value, trust in self.read(StateKind.PLACEMENTS)
            if trust is not TrustLevel.HINT
        ]

    def keep_home(self, key: str, value: Any | None) -> bool:
        """As `keep`, of one session."""
        return self.keep(StateKind.PLACEMENTS, key, value)

    def keep_sure(self, members: int) -> None:
        """The keeper knows all that it granted, by this list of members; 0: it does not."""
        self.sure = members
        self._put(k.COMPLETE, k.LAST, k.encode_entry(self._clock(), members) if members else None)

    def on_disk(self, told: SyncCallback) -> None:
        """`told` once: all that was kept before this is on disk, or why that is unsure. While the disk fails
        it is told at once."""
        self._turns += 1
        if why := self._put(k.COMMIT_TICKET, k.LAST, msgspec.json.encode(self._turns), told):
            told(False, why)

    def _put(self, name: str, key: str, data: bytes | None, told: SyncCallback | None = None) -> str:
        """Why it was refused; empty: it was not."""
        if self._closed:
            return "closed"
        value = None if data is None else msgspec.Raw(data)
        try:
            if self._loop is not None:
                self._loop.put(name, key, value, told)
            else:
                self.store.put(monotonic_ms(), name, key, value, told)
        except ChangeRejectedError as error:
            return str(error)
        return ""


def open_recovery_store(
    deployment: Deployment, place: str, state: str, note: Note, fresh: bool
) -> RecoveryStore:
    """The store of a front end, by the files of recovery and of replicated state. Raises ConfigError."""
    settings = load_file(Path(place), settings_from, "recovery")
    rules = load_file(Path(state), state_settings, "state")
    members = load_file(Path(state).parent / rules.membership_file, membership_from, "state")
    spans = AgeSettings(window_ms=rules.max_claim_lifetime_ms * (1.0 + 2.0 * rules.clock_skew))
    folder = Path(place).parent / settings.folder
    return RecoveryStore(
        folder, members.fleet, deployment.name, settings.boot_file, settings.store, note, fresh, spans
    )
