"""What a keeper has granted, on file before it is said: read at a start, and written turn by turn."""

from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import msgspec

from fawnwharf.consensus.voter_store import DiskError
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.replication.call_owner import OwnerAction, RejectCall, RunCall
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.replication.grant_log import INCOMPLETE, GrantLog, boot_id
from fawnwharf.replication.messages import ClaimReply, Send

DISK_PUSHBACK_MS = 250.0


class GrantStorage(Protocol):
    """Where a keeper's grants are before they are said."""

    summary: dict[str, Any]  # for operators

    def persist(
        self, effects: list[OwnerAction], later: Callable[[list[OwnerAction]], None]
    ) -> list[OwnerAction]:
        """What may be said and done now that what it rests on is written; the rest goes to `later`."""

    def close(self) -> None: ...


class GrantStorageFactory(Protocol):
    """Something that writes a keeper's grants in the place of its own file."""

    def open_grant_storage(self, core: ReplicationCore, folder: Path | None) -> GrantStorage: ...


class GrantLogStorage:
    """Owns a keeper's disk; what can't be written is taken back, and nothing is granted from then on."""

    def __init__(
        self, folder: Path, core: ReplicationCore, name: str, note: Callable[[str, dict[str, Any]], None]
    ) -> None:
        """What this keeper granted before is on its shelf then, where its disk is to be trusted. Raises
        DiskError where the folder can't be used or read; one that takes nothing refuses no start."""
        self._core, self._note = core, note
        keeper, shelf = core.replica, core.replica.claim_store
        now = monotonic_ms()
        self.disk = GrantLog(folder, core.members.fleet, name, now, shelf.claim_lifetime_ms(), boot_id())
        for key, claim, until_ms in self.disk.kept:
            entry = shelf.get_or_create(now, key) if until_ms > now else None
            if entry is not None:
                shelf.merge(now, key, entry, claim, until_ms - now)
        trusted = not self.disk.why and self.disk.sure == core.placement.number
        if trusted:
            keeper.mark_complete()
        self.disk.kept = []
        self._sure_told = self._sure_by(now)
        try:
            self.disk.begin(now, self._sure_told, shelf.unexpired_claims(now))
        except DiskError as error:
            self._fails(error)
        shelf.unwritten = []
        self.summary = {"calls": len(shelf.calls), "trusted": trusted, "why": self.disk.why}

    def close(self) -> None:
        self.disk.close()

    def _sure_by(self, now_ms: float) -> int:
        """The list of members by which this keeper knows all that it granted; NO_MORE where it does not."""
        return self._core.placement.number if self._core.replica.is_complete(now_ms) else INCOMPLETE

    def _fails(self, error: DiskError) -> None:
        self._core.replica.storage_failed = True
        self._note("disk failed: nothing is granted here until a restart", {"why": str(error)})

    def persist(
        self, effects: list[OwnerAction], later: Callable[[list[OwnerAction]], None] | None = None
    ) -> list[OwnerAction]:
        """What may be said and done now that what it rests on is on file, which is all; where that fails,
        nothing is granted any more."""
        keeper, shelf = self._core.replica, self._core.replica.claim_store
        kept, shelf.unwritten = shelf.unwritten, []
        now = monotonic_ms()
        sure = self._sure_by(now)
        if (kept or sure != self._sure_told) and not keeper.storage_failed:
            self._sure_told = sure
            try:
                self.disk.write(now, kept, sure)
            except DiskError as error:
                self._fails(error)
                return [_without(effect) for effect in effects]
        return effects


def _without(effect: OwnerAction) -> OwnerAction:
    """An effect as it is where what was just granted here does not count."""
    if isinstance(effect, RunCall) and effect.claimed:
        return RejectCall(effect.key, DISK_PUSHBACK_MS, "disk failed")
    return without_grant(effect)


def without_grant(effect: OwnerAction) -> OwnerAction:
    """A keeper's word without a grant."""
    if isinstance(effect, Send) and isinstance(effect.message, ClaimReply):
        word = msgspec.structs.replace(effect.message, granted=False, complete=False)
        return Send(effect.recipients, word)
    return effect
