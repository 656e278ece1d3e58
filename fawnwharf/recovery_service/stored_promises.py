"""Stores a replica's grants on disk before they are sent; replaces `GrantLogStorage` if there is a store.

Every claim in the replica's claim store is stored. Two kinds of effects wait for a commit ticket: replies
that grant a claim, and local calls that run by the grant of the local replica. All other effects are
carried out at once. If it is uncertain whether a grant is on disk, the grant is never sent, but it still
excludes other claims, as it may be found on the disk later.
"""

import contextlib
import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple, Protocol

import msgspec

from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.recovery_core.trust import StateKind, TrustLevel
from fawnwharf.recovery_service.stored_state import RecoveredGrant, TrustedEntry
from fawnwharf.replication.call_owner import OwnerAction, RunCall
from fawnwharf.replication.claims import Claim, ClaimPhase
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.replication.grant_storage import without_grant
from fawnwharf.replication.messages import ClaimReply, Send, StateChunk
from fawnwharf.replication.replica import Replica

SWEEP_MS = 1_000.0  # interval of deleting expired entries
OTHER_BOOT_AGE_MS = 3_000_000.0  # assumed age of entries of another boot, as the downtime is unknown
UNCERTAIN = -1  # stored membership number is unknown and has to be written again

Later = Callable[[list[OwnerAction]], None]


class GrantStore(Protocol):
    """The methods of `RecoveryStore` that are used here."""

    complete_membership_number: int
    doubt: str

    @property
    def failing(self) -> str:
        """Why changes are not durable now; empty if they are."""

    def read(self, kind: StateKind) -> list[TrustedEntry]:
        """The recovered entries of a kind."""

    def release(self, kind: StateKind) -> None:
        """Free the recovered entries of a kind."""

    def keep(self, kind: StateKind, key: str, value: Any | None) -> bool:
        """Store an entry; return False if it is rejected."""

    def keep_complete_membership_number(self, number: int) -> None:
        """Store under which membership version the replica knows all its grants; 0: under none."""

    def when_committed(self, callback: Callable[[bool, str], None]) -> None:
        """Call back when all earlier changes are on disk, or when that has become uncertain."""

    def mark_incomplete(self, reason: str) -> None:
        """Mark the store incomplete."""

    def on_incomplete(self, callback: Callable[[], None]) -> None:
        """Register a callback for whenever the store turns out to be incomplete."""


class CommitEvent(StrEnum):
    """Counted events of stored grants; the values name the counters."""

    REJECTED = "rejected by the store"
    COMMITTED = "on disk"
    UNSURE = "unsure"


class _StoredClaim(NamedTuple):
    claim: Claim
    until_ms: float


@dataclass(slots=True, eq=False)
class _PendingCommit:
    """What waits for one commit ticket: effects in order, and the local calls whose grants it covers."""

    effects: list[OwnerAction] = field(default_factory=list)
    own_calls: dict[str, int] = field(default_factory=dict)  # number of the claim request, by key


class _OpenCall(NamedTuple):
    """A local call whose grant is not on disk yet."""

    request_number: int
    commit: _PendingCommit


class StoredGrants:
    """Writes a replica's claims to the recovery store, and holds back effects until they are on disk."""

    def __init__(self, store: GrantStore, core: ReplicationCore, folder: Path | None = None) -> None:
        """Restore the claim store; the replica grants at once if these are certainly all its grants.

        `folder` is where an incarnation without a recovery store would have left a file. Such a file makes
        the store incomplete.
        """
        self._store = store
        self._core = core
        self._replica = _replica_of(core)
        self._claims: dict[str, _StoredClaim] = {}  # by key of the entry
        self._expiry: list[tuple[float, str]] = []  # heap
        self._open_calls: dict[str, _OpenCall] = {}
        # Set until it is on disk that the replica does not know all its grants.
        self._incomplete_commit: _PendingCommit | None = None
        self._sweep_due_ms = 0.0
        self._unstored_until_ms = 0.0  # when the last claim that the recovery store rejected expires
        self.counts = Counter[CommitEvent]()
        store.on_incomplete(self._store_incomplete)
        self._move_files_aside(folder)
        restored_all = self._restore(monotonic_ms())
        self._stored_membership_number = store.complete_membership_number
        trusted = restored_all and store.complete_membership_number == core.placement.number
        if trusted:
            self._replica.mark_complete()
        claims = self._replica.claim_store
        claims.unwritten = []
        self.summary = {"calls": len(claims.calls), "trusted": trusted, "why": store.doubt}

    def _move_files_aside(self, folder: Path | None) -> None:
        """Mark the store incomplete if an incarnation ran without it, as it lacks that one's grants."""
        files = sorted(folder.glob("keeper-*.log")) if folder is not None else []
        if not files:
            return
        self._store.mark_incomplete("a life without the store")

        def committed(on_disk: bool, _reason: str) -> None:
            for path in files if on_disk else ():
                with contextlib.suppress(OSError):
                    path.rename(path.with_suffix(".aside"))

        self._store.when_committed(committed)

    def _restore(self, now_ms: float) -> bool:
        """Put the stored claims into the claim store; return False if it has no capacity for all."""
        restored_all = True
        for entry in self._store.read(StateKind.GRANT):
            if entry.trust is TrustLevel.NOW:
                restored_all &= self._restore_claim(now_ms, entry.key, RecoveredGrant(*entry.value))
        self._store.release(StateKind.GRANT)
        return restored_all

    def _restore_claim(self, now_ms: float, name: str, grant: RecoveredGrant) -> bool:
        claim = msgspec.convert(grant.claim, Claim)
        key = name.split("/", 2)[2]
        age_ms = OTHER_BOOT_AGE_MS
        if grant.since_ms is not None:
            age_ms = min(OTHER_BOOT_AGE_MS, grant.age_ms + grant.since_ms)
        else:  # store it again with times of this boot's clock
            self._store.keep(StateKind.GRANT, name, [grant.remaining_ms, age_ms, claim])
        claims = self._replica.claim_store
        entry = claims.get_or_create(now_ms, key)
        if entry is None:
            return False
        claims.merge(now_ms, key, entry, claim, grant.remaining_ms)
        entry.created_ms = min(entry.created_ms, now_ms - age_ms)
        self._note_stored(name, claim, now_ms + grant.remaining_ms)
        return True

    def _note_stored(self, name: str, claim: Claim, until_ms: float) -> None:
        self._claims[name] = _StoredClaim(claim, until_ms)
        heapq.heappush(self._expiry, (until_ms, name))

    def _store_incomplete(self) -> None:
        """Let the replica fetch its state again, because the store turned out to be incomplete."""
        self._stored_membership_number = 0
        self._replica.mark_incomplete(monotonic_ms())

    def close(self) -> None:
        """Do nothing: the recovery store is closed by its owner."""

    # --- what is stored -------------------------------------------------------------------------

    def _keep(self, now_ms: float, key: str, claim: Claim, until_ms: float) -> bool:
        """Store a claim, if need be without its answer to save space; return False if it is rejected."""
        name = f"{claim.owner}/{claim.request_number}/{key}"
        if self._claims.get(name) == (claim, until_ms):
            return True
        entry = self._replica.claim_store.calls.get(key)
        age_ms = now_ms - entry.created_ms if entry is not None else 0.0
        value = [round(until_ms - now_ms, 1), round(age_ms, 1), claim]
        if not self._store.keep(StateKind.GRANT, name, value):
            self.counts[CommitEvent.REJECTED] += 1
            if claim.answer is None:
                return False
            value[2] = msgspec.structs.replace(claim, answer=None)
            if not self._store.keep(StateKind.GRANT, name, value):
                return False
        self._note_stored(name, claim, until_ms)
        return True

    def _sweep(self, now_ms: float) -> None:
        """Delete expired entries."""
        if now_ms < self._sweep_due_ms:
            return
        self._sweep_due_ms = now_ms + SWEEP_MS
        while self._expiry and self._expiry[0][0] <= now_ms:
            _, name = heapq.heappop(self._expiry)
            stored = self._claims.get(name)
            if stored is not None and stored.until_ms <= now_ms:  # otherwise it was extended
                del self._claims[name]
                self._store.keep(StateKind.GRANT, name, None)

    def _keep_complete_membership_number(self, now_ms: float) -> None:
        """Store whether this replica knows all its grants, and will after a restart, if that has changed.

        If it does not, that is on disk before another replica receives anything that depends on it.
        """
        replica = self._replica
        replica.storage_failed = False
        stored_all = now_ms >= self._unstored_until_ms
        number = self._core.placement.number if stored_all and replica.is_complete(now_ms) else 0
        replica.storage_failed = bool(self._store.failing)  # the replica grants nothing while this is set
        if number == self._stored_membership_number:
            return
        self._stored_membership_number = number
        self._store.keep_complete_membership_number(number)
        self._incomplete_commit = None if number else self._incomplete_commit or _PendingCommit()

    # --- what may be sent -----------------------------------------------------------------------

    def persist(self, effects: list[OwnerAction], later: Later) -> list[OwnerAction]:
        """Store new claims and return the effects that may be carried out now.

        Effects that depend on grants not yet on disk are passed to `later` once the grants are on disk. If
        that remains uncertain, they are passed on without the grants.
        """
        now_ms = monotonic_ms()
        self._sweep(now_ms)
        commit = _PendingCommit()
        rejected = self._keep_unwritten(now_ms, commit)
        incomplete_before = self._incomplete_commit
        self._keep_complete_membership_number(now_ms)
        ready = [effect for effect in effects if not self._hold_back(effect, commit, rejected)]
        ready = [self._without_rejected(effect, rejected) for effect in ready]
        if self._incomplete_commit is not None and self._incomplete_commit is not incomplete_before:
            self._wait(self._incomplete_commit, later)
        for key in commit.own_calls.keys() & rejected:
            self._open_calls.pop(key)
            ready += self._core.revoke_grant(now_ms, key, commit.own_calls.pop(key))
        if commit.effects or commit.own_calls:
            self._wait(commit, later)
        return ready

    def _keep_unwritten(self, now_ms: float, commit: _PendingCommit) -> set[str]:
        """Store the new claims; return the keys of those that were rejected."""
        claims = self._replica.claim_store
        unwritten, claims.unwritten = claims.unwritten or [], []
        rejected: set[str] = set()
        for key, claim, until_ms in unwritten:
            if not self._keep(now_ms, key, claim, until_ms):
                rejected.add(key)
                self._unstored_until_ms = max(self._unstored_until_ms, until_ms)
            call = self._core.call_owner.calls.get(key)
            is_own = call is not None and claim.claim_id == (self._core.owner_id, call.request_number)
            if call is not None and is_own and call.claim_required and claim.phase is ClaimPhase.GRANTED:
                commit.own_calls[key] = call.request_number
                self._open_calls[key] = _OpenCall(call.request_number, commit)
        return rejected

    def _hold_back(self, effect: OwnerAction, commit: _PendingCommit, rejected: set[str]) -> bool:
        """Let an effect wait for its commit ticket if it needs one; return whether it waits."""
        if isinstance(effect, RunCall):
            if not effect.claimed or effect.key not in self._open_calls:
                return False
            self._core.call_owner.hold(effect.key)
            self._open_calls[effect.key].commit.effects.append(effect)
            return True
        if not isinstance(effect, Send):
            return False
        message = effect.message
        if isinstance(message, ClaimReply) and message.granted:
            if message.key in rejected:
                return False
            commit.effects.append(effect)
            return True
        if isinstance(message, StateChunk) and self._incomplete_commit is not None:
            self._incomplete_commit.effects.append(effect)
            return True
        return False

    @staticmethod
    def _without_rejected(effect: OwnerAction, rejected: set[str]) -> OwnerAction:
        if not isinstance(effect, Send) or not isinstance(effect.message, ClaimReply):
            return effect
        is_rejected = effect.message.granted and effect.message.key in rejected
        return without_grant(effect) if is_rejected else effect

    def _wait(self, commit: _PendingCommit, later: Later) -> None:
        self._store.when_committed(lambda on_disk, _reason: self._committed(commit, on_disk, later))

    def _committed(self, commit: _PendingCommit, on_disk: bool, later: Later) -> None:
        now_ms = monotonic_ms()
        if self._incomplete_commit is commit:
            self._incomplete_commit = None
            if not on_disk:
                self._stored_membership_number = UNCERTAIN
        for key in commit.own_calls:
            call = self._open_calls.get(key)
            if call is not None and call.commit is commit:
                del self._open_calls[key]
        self.counts[CommitEvent.COMMITTED if on_disk else CommitEvent.UNSURE] += 1
        effects = [effect for effect in commit.effects if self._may_go(effect, commit, on_disk)]
        if not on_disk:
            effects = [without_grant(effect) for effect in effects]
            for key, number in commit.own_calls.items():
                effects += self._core.revoke_grant(now_ms, key, number)
        later(effects)

    def _may_go(self, effect: OwnerAction, commit: _PendingCommit, on_disk: bool) -> bool:
        """Whether an effect that waited is carried out, with or without its grant."""
        if isinstance(effect, RunCall):
            return on_disk and self._core.call_owner.release(effect.key, commit.own_calls.get(effect.key, 0))
        # Chunks that are not sent are requested again.
        return on_disk or not (isinstance(effect, Send) and isinstance(effect.message, StateChunk))


def _replica_of(core: ReplicationCore) -> Replica:
    """Return the front end's replica; raises ValueError if it has none."""
    if core.replica is None:
        raise ValueError(f"{core.name}: storing grants requires a replica")
    return core.replica
