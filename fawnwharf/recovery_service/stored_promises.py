"""A keeper's grants, on disk before they are said: in place of `replication.onfile` where there is a store.

All that comes to the keeper's shelf is kept. What says 'granted', and a call of this front end's own that may
go by its own keeper's grant, waits for a ticket; all else goes at once. A grant whose ticket ends unsure is
never said, and stands in the way of others as if it had been: it may be found on the disk later.
"""

import contextlib
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol

import msgspec

from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.recovery_core.trust import StateKind, TrustLevel
from fawnwharf.replication.call_owner import OwnerAction, RunCall
from fawnwharf.replication.claims import Claim, ClaimPhase
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.replication.grant_storage import without_grant
from fawnwharf.replication.messages import Send, StateChunk

SWEEP_MS = 1_000.0  # pace at which entries go whose time is over
OTHER_BOOT_AGE_MS = 3_000_000.0  # age of what another boot wrote: nobody knows how long the machine was down

Later = Callable[[list[OwnerAction]], None]
Note = Callable[[str, dict[str, Any]], None]


class PromiseStore(Protocol):
    """The store, as it is used here: `onstore.Kept`."""

    sure: int
    why: str

    @property
    def failing(self) -> str: ...
    def read(self, kind: StateKind) -> list[tuple[str, Any, TrustLevel]]: ...
    def dropped(self, kind: StateKind) -> None: ...
    def keep(self, kind: StateKind, key: str, value: Any | None) -> bool: ...
    def keep_sure(self, members: int) -> None: ...
    def on_disk(self, told: Callable[[bool, str], None]) -> None: ...
    def doubt(self, why: str) -> None: ...
    def on_doubt(self, tell: Callable[[], None]) -> None: ...


@dataclass(slots=True, eq=False)
class _PendingCommit:
    """What waits for one ticket: effects in their order, and the own calls whose grants it tells of."""

    held: list[OwnerAction] = field(default_factory=list)
    own: dict[str, int] = field(default_factory=dict)  # call -> number of the ask


class StoredPromises:
    """Owns what of a keeper's shelf is in the store, and what waits until it is on disk."""

    def __init__(
        self, kept: PromiseStore, core: ReplicationCore, note: Note, folder: Path | None = None
    ) -> None:
        """What this keeper granted before is on its shelf then, and it grants at once where it is sure that
        this is all. `folder`: where a life without a store would have left a file; one that is there makes
        the store one in part."""
        self._kept, self._core, self._note = kept, core, note
        self._entries: dict[str, tuple[Claim, float]] = {}  # by name, and until when
        self._ends: list[tuple[float, str]] = []
        self._open: dict[
            str, tuple[int, _PendingCommit]
        ] = {}  # own calls whose grants wait: ask, and for what
        self._shy: _PendingCommit | None = None  # until it is on disk that this keeper knows not all
        self._sweep_ms = 0.0
        self._lacks_ms = 0.0  # until when a claim counts that the shelf has and the store could not take
        self.counts: dict[str, int] = {}
        kept.on_doubt(self._doubted)
        self._files_aside(folder)
        now, shelf = monotonic_ms(), core.replica.claim_store
        room = self._found(now)
        self._sure_kept = kept.sure
        trusted = room and kept.sure == core.placement.number
        if trusted:
            core.replica.mark_complete()
        shelf.unwritten = []
        self.summary = {"calls": len(shelf.calls), "trusted": trusted, "why": kept.why}

    def _files_aside(self, folder: Path | None) -> None:
        """Guards against lives without the store in between: what they granted it does not know."""
        files = sorted(folder.glob("keeper-*.log")) if folder is not None else []
        if not files:
            return
        self._kept.doubt("a life without the store")

        def told(on_disk: bool, _why: str) -> None:
            for path in files if on_disk else ():
                with contextlib.suppress(OSError):
                    path.rename(path.with_suffix(".aside"))

        self._kept.on_disk(told)

    def _found(self, now_ms: float) -> bool:
        """What was kept, on the shelf; False: not all had room there."""
        shelf, room = self._core.replica.claim_store, True
        for name, value, trusted in self._kept.read(StateKind.GRANT):
            if trusted is not TrustLevel.NOW:
                continue
            left_ms, since_ms, age_ms, data = value
            claim, key = msgspec.convert(data, Claim), name.split("/", 2)[2]
            age_ms = OTHER_BOOT_AGE_MS if since_ms is None else min(OTHER_BOOT_AGE_MS, age_ms + since_ms)
            if since_ms is None:  # from now on it counts by this boot's clock
                self._kept.keep(StateKind.GRANT, name, [left_ms, age_ms, claim])
            if (entry := shelf.get_or_create(now_ms, key)) is None:
                room = False
                continue
            shelf.merge(now_ms, key, entry, claim, left_ms)
            entry.created_ms = min(entry.created_ms, now_ms - age_ms)
            self._entries[name] = claim, now_ms + left_ms
            heapq.heappush(self._ends, (now_ms + left_ms, name))
        self._kept.dropped(StateKind.GRANT)
        return room

    def _doubted(self) -> None:
        """The store turned out to be in part while this keeper goes by it."""
        self._sure_kept = 0
        self._core.replica.mark_incomplete(monotonic_ms())

    def close(self) -> None: ...

    # --- what is kept ---------------------------------------------------------------------------

    def _keep(self, now_ms: float, key: str, claim: Claim, until_ms: float) -> bool:
        name = f"{claim.owner}/{claim.request_number}/{key}"
        if self._entries.get(name) == (claim, until_ms):
            return True
        entry = self._core.replica.claim_store.calls.get(key)
        age_ms = now_ms - entry.created_ms if entry is not None else 0.0
        value = [round(until_ms - now_ms, 1), round(age_ms, 1), claim]
        if not self._kept.keep(StateKind.GRANT, name, value):
            self._count("not kept")
            if claim.answer is None:
                return False
            value[2] = msgspec.structs.replace(claim, answer=None)
            if not self._kept.keep(StateKind.GRANT, name, value):
                return False
        self._entries[name] = claim, until_ms
        heapq.heappush(self._ends, (until_ms, name))
        return True

    def _sweep(self, now_ms: float) -> None:
        """What is over goes."""
        if now_ms < self._sweep_ms:
            return
        self._sweep_ms = now_ms + SWEEP_MS
        while self._ends and self._ends[0][0] <= now_ms:
            _, name = heapq.heappop(self._ends)
            found = self._entries.get(name)
            if found is not None and found[1] <= now_ms:  # else it counts for longer by now
                del self._entries[name]
                self._kept.keep(StateKind.GRANT, name, None)

    def _keep_sure(self, now_ms: float) -> None:
        """Whether this keeper knows all, and would after a restart, where that has changed. That it does not
        is on disk before another keeper hears anything that rests on it."""
        keeper = self._core.replica
        keeper.storage_failed = False
        whole = now_ms >= self._lacks_ms
        sure = self._core.placement.number if whole and keeper.is_complete(now_ms) else 0
        keeper.storage_failed = bool(self._kept.failing)  # nothing more is granted meanwhile
        if sure == self._sure_kept:
            return
        self._sure_kept = sure
        self._kept.keep_sure(sure)
        self._shy = None if sure else self._shy or _PendingCommit()

    def _count(self, cause: str) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + 1

    # --- what may be said -----------------------------------------------------------------------

    def persist(self, effects: list[OwnerAction], later: Later) -> list[OwnerAction]:
        """What may be said and done now; what rests on grants that are not on disk yet goes to `later` once
        they are, or as it is without them."""
        now, core = monotonic_ms(), self._core
        shelf = core.replica.claim_store
        rows, shelf.unwritten = shelf.unwritten, []
        self._sweep(now)
        batch, refused = _PendingCommit(), set()
        for key, claim, until_ms in rows:
            if not self._keep(now, key, claim, until_ms):
                refused.add(key)
                self._lacks_ms = max(self._lacks_ms, until_ms)
            mine = core.call_owner.calls.get(key)
            own = mine is not None and claim.claim_id == (core.owner_id, mine.request_number)
            if own and mine.claim_required and claim.phase is ClaimPhase.GRANTED:
                batch.own[key] = mine.request_number
                self._open[key] = mine.request_number, batch
        shy = self._shy
        self._keep_sure(now)
        found: list[OwnerAction] = []
        for effect in effects:
            if isinstance(effect, RunCall) and effect.claimed and effect.key in self._open:
                core.call_owner.hold(effect.key)
                self._open[effect.key][1].held.append(effect)
            elif isinstance(effect, Send) and getattr(effect.message, "granted", False):
                if effect.message.key in refused:
                    found.append(without_grant(effect))
                else:
                    batch.held.append(effect)
            elif (
                isinstance(effect, Send) and isinstance(effect.message, StateChunk) and self._shy is not None
            ):
                self._shy.held.append(effect)
            else:
                found.append(effect)
        if self._shy is not None and self._shy is not shy:
            self._wait(self._shy, later)
        for key in batch.own.keys() & refused:
            self._open.pop(key)
            found += core.revoke_grant(now, key, batch.own.pop(key))
        if batch.held or batch.own:
            self._wait(batch, later)
        return found

    def _wait(self, batch: _PendingCommit, later: Later) -> None:
        self._kept.on_disk(lambda on_disk, why: self._told(batch, on_disk, later))

    def _told(self, batch: _PendingCommit, on_disk: bool, later: Later) -> None:
        now, core = monotonic_ms(), self._core
        if self._shy is batch:
            self._shy = None
            if not on_disk:
                self._sure_kept = -1  # once more
        for key in batch.own:
            if (held := self._open.get(key)) is not None and held[1] is batch:
                del self._open[key]
        self._count("on disk" if on_disk else "unsure")
        found: list[OwnerAction] = []
        for effect in batch.held:
            if isinstance(effect, RunCall):
                if on_disk and core.call_owner.release(effect.key, batch.own.get(effect.key, 0)):
                    found.append(effect)
            elif on_disk:
                found.append(effect)
            elif not isinstance(effect.message, StateChunk):  # pieces are wanted again
                found.append(without_grant(effect))
        if not on_disk:
            for key, ask in batch.own.items():
                found += core.revoke_grant(now, key, ask)
        later(found)
