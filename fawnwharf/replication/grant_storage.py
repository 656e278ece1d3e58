"""Storage of a replica's grants: read at the start, and written before the actions that depend on them."""

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
    """Stores a replica's grants before they are sent."""

    summary: dict[str, Any]  # of the grants that were read, for operators

    def persist(
        self, actions: list[OwnerAction], later: Callable[[list[OwnerAction]], None]
    ) -> list[OwnerAction]:
        """Return the actions whose grants are stored; pass the others to `later` once theirs are."""

    def close(self) -> None:
        """Close the storage."""


class GrantStorageFactory(Protocol):
    """Opens a grant storage that replaces the replica's own grant log."""

    def open_grant_storage(self, core: ReplicationCore, folder: Path | None) -> GrantStorage:
        """Load the stored grants into the core's replica; `folder` is the folder of its own grant log."""


class GrantLogStorage:
    """Stores grants in a grant log; if a write fails, revokes its grants and stops granting calls."""

    def __init__(
        self,
        folder: Path,
        core: ReplicationCore,
        replica: Replica,
        log_event: Callable[[str, dict[str, Any]], None],
    ) -> None:
        """Load the grants that this replica made earlier into its claim store.

        Raises DiskError if the folder can't be used or read. A folder that is only unwritable does not
        prevent the start.
        """
        self._core, self._replica, self._log_event = core, replica, log_event
        store, now_ms = replica.claim_store, monotonic_ms()
        self.log = GrantLog(
            folder, core.membership.fleet, core.name, now_ms, store.claim_lifetime_ms(), boot_id()
        )
        for key, claim, expires_ms in self.log.grants:
            if expires_ms > now_ms:
                store.restore(now_ms, key, claim, expires_ms - now_ms)
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
        """The number of the membership for which the replica knows all its grants, else INCOMPLETE."""
        return self._core.placement.number if self._replica.is_complete(now_ms) else INCOMPLETE

    def _fail(self, error: DiskError) -> None:
        self._replica.storage_failed = True
        self._log_event("grant log failed: nothing is granted here until a restart", {"why": str(error)})

    def persist(
        self, actions: list[OwnerAction], later: Callable[[list[OwnerAction]], None] | None = None
    ) -> list[OwnerAction]:
        """Write the replica's new grants; returns the actions, without these grants if the write fails.

        The write completes before this returns, so `later` is never called.
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
    """Open the storage of grants; None if they stay in memory only or this member is not a replica.

    Raises ConfigError if the folder can't be used.
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
    """The action that replaces this one when the local replica's new grants could not be stored."""
    if isinstance(action, RunCall) and action.claimed:
        return RejectCall(action.key, DISK_PUSHBACK_MS, "grant log failed")
    return without_grant(action)


def without_grant(action: OwnerAction) -> OwnerAction:
    """Remove the grant from a replica's reply; other actions stay unchanged."""
    if isinstance(action, Send) and isinstance(action.message, ClaimReply):
        reply = msgspec.structs.replace(action.message, granted=False, complete=False)
        return Send(action.recipients, reply)
    return action
