"""A replica's grants on disk before they are sent: read at a start, written with each batch of actions."""

from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import msgspec

from fawnwharf.config import ConfigError
from fawnwharf.consensus.records import DiskError
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.replication.call_owner import OwnerAction, RejectCall, RunCall
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.replication.grant_log import INCOMPLETE, GrantLog, boot_id
from fawnwharf.replication.messages import ClaimReply, Send
from fawnwharf.replication.replica import Replica

DISK_PUSHBACK_MS = 250.0


class GrantStorage(Protocol):
    """Where a replica's grants are stored before they are sent."""

    summary: dict[str, Any]  # for operators

    def persist(
        self, actions: list[OwnerAction], later: Callable[[list[OwnerAction]], None]
    ) -> list[OwnerAction]:
        """The actions whose grants are stored; the others go to `later` once theirs are."""

    def close(self) -> None:
        """End storing."""


class GrantStorageFactory(Protocol):
    """Something that stores a replica's grants in the place of its own file."""

    def open_grant_storage(self, core: ReplicationCore, folder: Path | None) -> GrantStorage:
        """Read what is stored into the core's replica; `folder` is that of its own file."""


class GrantLogStorage:
    """Owns a replica's grant log; where it can't be written, grants are revoked and no more are given."""

    def __init__(
        self,
        folder: Path,
        core: ReplicationCore,
        replica: Replica,
        log_event: Callable[[str, dict[str, Any]], None],
    ) -> None:
        """Read what this replica granted before into its store.

        Raises DiskError where the folder can't be used or read; one that only can't be written refuses no
        start.
        """
        self._core, self._replica, self._log_event = core, replica, log_event
        store, now_ms = replica.claim_store, monotonic_ms()
        self.log = GrantLog(
            folder, core.membership.fleet, core.name, now_ms, store.claim_lifetime_ms(), boot_id()
        )
        for key, claim, expires_ms in self.log.grants:
            entry = store.get_or_create(now_ms, key) if expires_ms > now_ms else None
            if entry is not None:
                store.merge(now_ms, key, entry, claim, expires_ms - now_ms)
        trusted = not self.log.distrust_reason and self.log.complete_for == core.placement.number
        if trusted:
            replica.mark_complete()
        self.log.grants = []
        self._written_complete_for = self._complete_for(now_ms)
        try:
            self.log.begin(now_ms, self._written_complete_for, store.unexpired_claims(now_ms))
        except DiskError as error:
            self._fail(error)
        store.unwritten = []
        self.summary: dict[str, Any] = {
            "calls": len(store.calls),
            "trusted": trusted,
            "why": self.log.distrust_reason,
        }

    def close(self) -> None:
        """Close the log."""
        self.log.close()

    def _complete_for(self, now_ms: float) -> int:
        """The membership by which the replica knows all that it granted; INCOMPLETE where it does not."""
        return self._core.placement.number if self._replica.is_complete(now_ms) else INCOMPLETE

    def _fail(self, error: DiskError) -> None:
        self._replica.storage_failed = True
        self._log_event("grant log failed: nothing is granted here until a restart", {"why": str(error)})

    def persist(
        self, actions: list[OwnerAction], later: Callable[[list[OwnerAction]], None] | None = None
    ) -> list[OwnerAction]:
        """Write what the replica granted; the actions, without those grants where that fails.

        All actions may be carried out at once, so `later` gets none.
        """
        del later
        store = self._replica.claim_store
        grants, store.unwritten = store.unwritten or [], []
        now_ms = monotonic_ms()
        complete_for = self._complete_for(now_ms)
        if (grants or complete_for != self._written_complete_for) and not self._replica.storage_failed:
            self._written_complete_for = complete_for
            try:
                self.log.write(now_ms, grants, complete_for)
            except DiskError as error:
                self._fail(error)
                return [_without_own_grant(action) for action in actions]
        return actions


def open_grant_storage(
    core: ReplicationCore,
    folder: Path | None,
    factory: GrantStorageFactory | None,
    log_event: Callable[[str, dict[str, Any]], None],
) -> GrantStorage | None:
    """Open what grants are stored in; None for memory only, or where this member is no replica.

    Raises ConfigError where the folder can't be used.
    """
    if core.replica is None:
        return None
    if factory is not None:
        return factory.open_grant_storage(core, folder)
    if folder is None:
        return None
    try:
        return GrantLogStorage(folder, core, core.replica, log_event)
    except DiskError as error:
        raise ConfigError(f"state.folder: {error}") from None


def _without_own_grant(action: OwnerAction) -> OwnerAction:
    """An action as it is where what was just granted here does not count."""
    if isinstance(action, RunCall) and action.claimed:
        return RejectCall(action.key, DISK_PUSHBACK_MS, "grant log failed")
    return without_grant(action)


def without_grant(action: OwnerAction) -> OwnerAction:
    """A replica's reply without its grant; other actions as they are."""
    if isinstance(action, Send) and isinstance(action.message, ClaimReply):
        reply = msgspec.structs.replace(action.message, granted=False, complete=False)
        return Send(action.recipients, reply)
    return action
