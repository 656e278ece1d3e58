"""The claim store of one replica: merges claims by call, expires them, and digests them for comparison.

No I/O. Digests are sums over the claims of one owner and one bucket. A bucket is the second of the owner's
own clock in which it requested the call, and is never compared with another clock. All claims of a bucket
expire together, so two replicas can compare the buckets that have expired at neither of them and find only
true differences.
"""

import heapq
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from fawnwharf.replication import messages as m
from fawnwharf.replication.claims import (
    CallState,
    Claim,
    ClaimId,
    ClaimPhase,
    contradicts,
    merge_claims,
    summarize_claims,
)
from fawnwharf.replication.counters import ReplicationCounter
from fawnwharf.replication.placement import rendezvous_weight
from fawnwharf.replication.settings import ReplicationSettings

EMPTY_ENTRY_LIFETIME_MS = 250.0  # entries that get no claim are removed after this time
SETTLE_DELAY_MS = 400.0  # more recent changes may still be in transit to the other replicas
MAX_UNLOGGED_CONFLICTS = 16

ReplicasOf = Callable[[str], tuple[str, ...]]


@dataclass(slots=True)
class CallEntry:
    """One call: the claim of each request and its expiry time here."""

    created_ms: float
    replicas: tuple[str, ...]
    claims: dict[ClaimId, Claim] = field(default_factory=dict)
    expires_ms: dict[ClaimId, float] = field(default_factory=dict)
    waiters: dict[str, m.ClaimRequest] = field(default_factory=dict)  # by owner

    def active_claims(self) -> list[Claim]:
        """The claims that prevent a grant of the call, including the requesting owner's earlier ones."""
        return [claim for claim in self.claims.values() if claim.phase is not ClaimPhase.RELEASED]


class StoredGrant(NamedTuple):
    """A claim and its expiry time on the machine's monotonic clock."""

    key: str
    claim: Claim
    expires_ms: float


class Conflict(NamedTuple):
    """Two claims on one call that cannot both be right."""

    key: str
    one: Claim
    other: Claim


@dataclass(slots=True)
class _BucketSum:
    """The digest sum of those claims of one bucket that the same set of replicas stores."""

    value: int = 0
    count: int = 0
    first_expiry_ms: float = float("inf")
    changed_ms: float = 0.0


def claim_digest(key: str, claim: Claim) -> int:
    """The hash of a claim without its answer and content, which may be missing. Summed in any order."""
    return rendezvous_weight(
        key,
        claim.owner,
        str(claim.request_number),
        str(claim.version),
        str(claim.bucket),
        str(int(claim.phase)),
        claim.digest,
    )


def format_digest(value: int) -> str:
    """Format a sum of claim digests for messages: 64 bits in hexadecimal."""
    return f"{value % 2**64:016x}"


class ClaimStore:
    """Stores claims within limits on their number and bytes."""

    def __init__(self, settings: ReplicationSettings, replicas_of: ReplicasOf) -> None:
        self.settings, self.replicas_of = settings, replicas_of
        self.calls: dict[str, CallEntry] = {}
        self.answer_bytes = 0
        # Repeat windows by class, if a policy sets one. The window of the settings is the upper limit.
        self.class_windows_ms: dict[str, float] = {}
        self.counts: Counter[ReplicationCounter] = Counter()
        self.conflicts: list[Conflict] = []  # the reader that logs them clears the list
        # Claims to write to disk before sending any message that depends on them; None without storage.
        self.unwritten: list[StoredGrant] | None = None
        # A heap of expiry times. A claim's validity may have been extended since. () is the entry itself.
        self._expiries: list[tuple[float, str, ClaimId | tuple[()]]] = []
        self._buckets: dict[tuple[str, int], dict[tuple[str, ...], _BucketSum]] = {}

    def get_or_create(self, now_ms: float, key: str) -> CallEntry | None:
        """The entry of a call, created if needed; None if the store is full."""
        entry = self.calls.get(key)
        if entry is None:
            if len(self.calls) >= self.settings.limits.max_calls:
                self.counts[ReplicationCounter.STORE_FULL] += 1
                return None
            entry = self.calls[key] = CallEntry(now_ms, self.replicas_of(key))
            # In case no claim follows.
            heapq.heappush(self._expiries, (now_ms + EMPTY_ENTRY_LIFETIME_MS, key, ()))
        return entry

    def restore(self, now_ms: float, key: str, claim: Claim, remaining_ms: float) -> CallEntry | None:
        """Merge a claim that was stored on disk or at another replica; None if the store is full.

        When its call was first requested is not known. So a new entry counts as being as old as a valid one
        can be, as its age tells whether scorers still drop repeats.
        """
        is_new = key not in self.calls
        entry = self.get_or_create(now_ms, key)
        if entry is None:
            return None
        if is_new:
            entry.created_ms = now_ms - self.claim_lifetime_ms(key)
        self.merge(now_ms, key, entry, claim, remaining_ms)
        return entry

    def merge(self, now_ms: float, key: str, entry: CallEntry, claim: Claim, remaining_ms: float) -> None:
        """Merge one claim. Its expiry time is only ever extended, at most by the delay of a line."""
        expires_ms = self._extend_expiry(now_ms, key, entry, claim, remaining_ms)
        before = entry.claims.get(claim.claim_id)
        if before is not None and contradicts(before, claim):
            self._record_conflict(ReplicationCounter.CONTRADICTING_CLAIMS, key, before, claim)
        after = claim if before is None else merge_claims(before, claim)
        if self.unwritten is not None:
            self.unwritten.append(StoredGrant(key, after, expires_ms))
        if after == before:
            return
        if before is not None:
            self._add_to_bucket(now_ms, key, entry, before, -1)
        if after.answer and self.answer_bytes + len(after.answer) > self.settings.limits.max_answer_bytes:
            self.counts[ReplicationCounter.ANSWERS_DROPPED] += 1
            after = msgspec.structs.replace(after, answer=None)
        self._add_to_bucket(now_ms, key, entry, after, 1)
        entry.claims[claim.claim_id] = after
        if after.phase is ClaimPhase.ANSWERED:
            self._check_answers(key, entry, after)

    def _extend_expiry(
        self, now_ms: float, key: str, entry: CallEntry, claim: Claim, remaining_ms: float
    ) -> float:
        """Extend a claim's expiry to this remaining time if that is later; returns the expiry time."""
        known_ms = entry.expires_ms.get(claim.claim_id)
        expires_ms = max(known_ms or 0.0, now_ms + min(remaining_ms, self.claim_lifetime_ms()))
        if expires_ms != known_ms:
            entry.expires_ms[claim.claim_id] = expires_ms
            heapq.heappush(self._expiries, (expires_ms, key, claim.claim_id))
        return expires_ms

    def _check_answers(self, key: str, entry: CallEntry, new: Claim) -> None:
        """Record a conflict if requests with the content of a new answer have two different answers."""
        same = [claim for claim in entry.claims.values() if claim.content == new.content]
        summary = summarize_claims(same, set())
        if summary.state is CallState.CONFLICT:
            answered = [claim for claim in summary.active_claims if claim.phase is ClaimPhase.ANSWERED]
            self._record_conflict(ReplicationCounter.CONFLICTING_ANSWERS, key, answered[0], answered[-1])

    def _record_conflict(self, counter: ReplicationCounter, key: str, one: Claim, other: Claim) -> None:
        self.counts[counter] += 1
        if len(self.conflicts) < MAX_UNLOGGED_CONFLICTS:
            self.conflicts.append(Conflict(key, one, other))

    def claim_lifetime_ms(self, key: str = "") -> float:
        """How long a claim remains valid, allowing for the slowest clock; with a key, for that call's class.

        Replicas pass on the remaining time unchanged. If each of them added the allowance again, two replicas
        could keep a claim alive forever.
        """
        window_ms = self.class_windows_ms.get(key.rpartition(":")[0], self.settings.repeat_window_ms)
        lifetime_ms = self.settings.max_call_ms + min(window_ms, self.settings.repeat_window_ms)
        return lifetime_ms * (1.0 + 2.0 * self.settings.clock_skew)

    def _add_to_bucket(self, now_ms: float, key: str, entry: CallEntry, claim: Claim, sign: int) -> None:
        """Add a claim to its bucket's sum (sign 1) or subtract it (sign -1)."""
        sums = self._buckets.setdefault((claim.owner, claim.bucket), {})
        bucket = sums.setdefault(entry.replicas, _BucketSum())
        bucket.value += sign * claim_digest(key, claim)
        bucket.count += sign
        bucket.changed_ms = now_ms
        bucket.first_expiry_ms = min(bucket.first_expiry_ms, entry.expires_ms[claim.claim_id])
        self.answer_bytes += sign * len(claim.answer or "")
        if not bucket.count:
            del sums[entry.replicas]
            if not sums:
                del self._buckets[claim.owner, claim.bucket]

    def remove_expired(self, now_ms: float) -> None:
        """Remove expired claims and empty entries."""
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, key, claim_id = heapq.heappop(self._expiries)
            entry = self.calls.get(key)
            if entry is None:
                continue
            if claim_id:
                self._remove_claim(now_ms, key, entry, claim_id)
            if not entry.claims:  # waiting owners time out by their own deadlines
                del self.calls[key]

    def _remove_claim(self, now_ms: float, key: str, entry: CallEntry, claim_id: ClaimId) -> None:
        """Remove a claim unless its expiry has been extended."""
        expires_ms = entry.expires_ms.get(claim_id)
        if expires_ms is not None and expires_ms <= now_ms:
            self._add_to_bucket(now_ms, key, entry, entry.claims.pop(claim_id), -1)
            del entry.expires_ms[claim_id]

    def change_placement(self, now_ms: float, replicas_of: ReplicasOf) -> None:
        """Adopt a new placement and recompute all bucket sums."""
        self.replicas_of = replicas_of
        self._buckets.clear()
        self.answer_bytes = 0
        for key, entry in self.calls.items():
            entry.replicas = replicas_of(key)
            for claim in entry.claims.values():
                self._add_to_bucket(now_ms, key, entry, claim, 1)

    def unexpired_claims(self, now_ms: float) -> list[StoredGrant]:
        """All claims that have not expired."""
        return [
            StoredGrant(key, claim, entry.expires_ms[claim_id])
            for key, entry in self.calls.items()
            for claim_id, claim in entry.claims.items()
            if entry.expires_ms[claim_id] > now_ms
        ]

    # --- comparison ---------------------------------------------------------------------------

    def bucket_digests(self, now_ms: float, name: str) -> dict[str, m.BucketDigest]:
        """By owner, the latest contiguous buckets that should be identical at another replica.

        These buckets no longer change, and have not yet expired on a slightly faster clock either.
        """
        return {
            owner: _adjacent_buckets(values) for owner, values in self._settled_sums(now_ms, name).items()
        }

    def _settled_sums(self, now_ms: float, name: str) -> dict[str, dict[int, int]]:
        """By owner and bucket, the sums that another replica should also have."""
        # The drift between the slowest and the fastest clock in a claim's lifetime, plus the delay of a line.
        margin_ms = 2.0 * self.settings.clock_skew * self.claim_lifetime_ms() + self.settings.max_wait_ms
        settled: dict[str, dict[int, int]] = {}
        for (owner, bucket), sums in self._buckets.items():
            shared = [part for replicas, part in sums.items() if name in replicas]
            if shared and all(
                part.first_expiry_ms - now_ms > margin_ms and now_ms - part.changed_ms > SETTLE_DELAY_MS
                for part in shared
            ):
                settled.setdefault(owner, {})[bucket] = sum(part.value for part in shared)
        return settled

    def differing_ranges(self, name: str, theirs: dict[str, m.BucketDigest]) -> list[m.BucketRange]:
        """The ranges whose digests at another replica differ from those here."""
        own: dict[str, int] = {}
        for (owner, bucket), sums in self._buckets.items():
            digest = theirs.get(owner)
            if digest is not None and digest.first <= bucket < digest.until:
                shared = sum(part.value for replicas, part in sums.items() if name in replicas)
                own[owner] = own.get(owner, 0) + shared
        return [
            m.BucketRange(owner, digest.first, digest.until)
            for owner, digest in sorted(theirs.items())
            if format_digest(own.get(owner, 0)) != digest.digest
        ]

    def stored_claims(self, now_ms: float, key: str) -> Iterator[m.StoredClaim]:
        """The unexpired claims of a call in the form in which they are sent to another replica."""
        entry = self.calls.get(key)
        if entry is None:
            return
        for claim_id, claim in entry.claims.items():
            if (remaining_ms := entry.expires_ms[claim_id] - now_ms) > 0:
                yield m.StoredClaim(key, claim, remaining_ms)


def _adjacent_buckets(values: dict[int, int]) -> m.BucketDigest:
    """The digest of the last bucket and the buckets contiguous before it."""
    last = first = max(values)
    while first - 1 in values:
        first -= 1
    total = sum(value for bucket, value in values.items() if first <= bucket)
    return m.BucketDigest(first, last + 1, format_digest(total))
