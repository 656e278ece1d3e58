"""The claims that one replica stores: by call, merged, bounded, expired, and summed up for comparison.

Pure. Digests are sums by owner and by digest bucket: the second of the owner's own clock in which it
requested the call, a label that is never compared with another clock. Claims of one bucket expire together,
so two replicas can compare buckets that have expired at neither, and find true differences only.
"""

import heapq
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

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

EMPTY_ENTRY_MS = 250.0  # an entry that gets no claim is removed after so long
SETTLED_MS = 400.0  # what changed later than that may be on its way to the other replicas
MAX_CONFLICTS = 16  # for the log

ReplicasOf = Callable[[str], tuple[str, ...]]


@dataclass(slots=True)
class CallEntry:
    """One call: the claim of each request, and until when it counts here."""

    created_ms: float
    replicas: tuple[str, ...]
    claims: dict[ClaimId, Claim] = field(default_factory=dict)
    expires_ms: dict[ClaimId, float] = field(default_factory=dict)
    waiters: dict[str, int] = field(default_factory=dict)  # owner to the number of its request

    def active_claims(self) -> list[Claim]:
        """Claims that keep the call from being granted, an owner's own earlier ones among them."""
        return [claim for claim in self.claims.values() if claim.phase is not ClaimPhase.RELEASED]


class StoredGrant(NamedTuple):
    """A claim and until when it counts, by the machine's monotonic clock."""

    key: str
    claim: Claim
    expires_ms: float


class Conflict(NamedTuple):
    """Two claims on one call of which one must be wrong."""

    key: str
    one: Claim
    other: Claim


@dataclass(slots=True)
class _BucketSum:
    """Claims of one bucket that the same replicas store."""

    value: int = 0
    count: int = 0
    first_expiry_ms: float = float("inf")
    changed_ms: float = 0.0


def claim_digest(key: str, claim: Claim) -> int:
    """A hash of a claim without its answer, which may be dropped; to be summed in any order."""
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
    """A sum of claim digests as messages carry it: 64 bits in hexadecimal."""
    return f"{value % 2**64:016x}"


class ClaimStore:
    """Owns the stored claims, within limits of count and bytes."""

    def __init__(self, settings: ReplicationSettings, replicas_of: ReplicasOf) -> None:
        self.settings, self.replicas_of = settings, replicas_of
        self.calls: dict[str, CallEntry] = {}
        self.answer_bytes = 0
        # Repeat windows by class, where a policy has one; they are never longer than the settings'.
        self.class_windows_ms: dict[str, float] = {}
        self.counts: Counter[ReplicationCounter] = Counter()
        self.conflicts: list[Conflict] = []  # whoever logs them clears this
        # Claims to write to disk before anything is sent that depends on them; None without a disk.
        self.unwritten: list[StoredGrant] | None = None
        # What expires when; a claim may count for longer by then. None stands for the entry itself.
        self._expiries: list[tuple[float, str, ClaimId | tuple[()]]] = []
        self._buckets: dict[tuple[str, int], dict[tuple[str, ...], _BucketSum]] = {}

    def get_or_create(self, now_ms: float, key: str) -> CallEntry | None:
        """The call's entry, created where there is none; None where the store is full."""
        entry = self.calls.get(key)
        if entry is None:
            if len(self.calls) >= self.settings.limits.max_calls:
                self.counts[ReplicationCounter.STORE_FULL] += 1
                return None
            entry = self.calls[key] = CallEntry(now_ms, self.replicas_of(key))
            heapq.heappush(self._expiries, (now_ms + EMPTY_ENTRY_MS, key, ()))  # no claim may follow
        return entry

    def merge(self, now_ms: float, key: str, entry: CallEntry, claim: Claim, remaining_ms: float) -> None:
        """Merge one claim; the time that it counts only grows, by no more than the delay of a line."""
        expires_ms = self._extend(now_ms, key, entry, claim, remaining_ms)
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
            after = Claim(
                after.owner, after.request_number, after.version, after.bucket, after.phase, after.digest
            )
        self._add_to_bucket(now_ms, key, entry, after, 1)
        entry.claims[claim.claim_id] = after
        self._check_answers(key, entry)

    def _extend(self, now_ms: float, key: str, entry: CallEntry, claim: Claim, remaining_ms: float) -> float:
        """Let a claim count for this time, if that is longer; until when it counts then."""
        known_ms = entry.expires_ms.get(claim.claim_id)
        expires_ms = max(known_ms or 0.0, now_ms + min(remaining_ms, self.claim_lifetime_ms()))
        if expires_ms != known_ms:
            entry.expires_ms[claim.claim_id] = expires_ms
            heapq.heappush(self._expiries, (expires_ms, key, claim.claim_id))
        return expires_ms

    def _check_answers(self, key: str, entry: CallEntry) -> None:
        """Record a conflict where the call has two different answers."""
        summary = summarize_claims(list(entry.claims.values()), set())
        if summary.state is CallState.CONFLICT:
            answered = [claim for claim in summary.active_claims if claim.phase is ClaimPhase.ANSWERED]
            self._record_conflict(ReplicationCounter.CONFLICTING_ANSWERS, key, answered[0], answered[-1])

    def _record_conflict(self, counter: ReplicationCounter, key: str, one: Claim, other: Claim) -> None:
        self.counts[counter] += 1
        if len(self.conflicts) < MAX_CONFLICTS:
            self.conflicts.append(Conflict(key, one, other))

    def claim_lifetime_ms(self, key: str = "") -> float:
        """How long a claim counts by the slowest clock; with a key, by the call's class.

        Replicas pass on the remaining time as it is: if it were stretched each time, two replicas would keep
        a claim alive for ever.
        """
        window_ms = self.class_windows_ms.get(key.rpartition(":")[0], self.settings.repeat_window_ms)
        lifetime_ms = self.settings.max_call_ms + min(window_ms, self.settings.repeat_window_ms)
        return lifetime_ms * (1.0 + 2.0 * self.settings.clock_skew)

    def _add_to_bucket(self, now_ms: float, key: str, entry: CallEntry, claim: Claim, sign: int) -> None:
        """Add a claim to its bucket's sum (sign 1), or take it out (-1)."""
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
        """Remove what has expired."""
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, key, claim_id = heapq.heappop(self._expiries)
            entry = self.calls.get(key)
            if entry is None:
                continue
            if claim_id:
                self._remove_claim(now_ms, key, entry, claim_id)
            if not entry.claims:  # an owner that still waits has a deadline of its own
                del self.calls[key]

    def _remove_claim(self, now_ms: float, key: str, entry: CallEntry, claim_id: ClaimId) -> None:
        """Remove a claim, unless it counts for longer by now."""
        expires_ms = entry.expires_ms.get(claim_id)
        if expires_ms is not None and expires_ms <= now_ms:
            self._add_to_bucket(now_ms, key, entry, entry.claims.pop(claim_id), -1)
            del entry.expires_ms[claim_id]

    def change_placement(self, now_ms: float, replicas_of: ReplicasOf) -> None:
        """Sum up all claims by other replicas from now on."""
        self.replicas_of = replicas_of
        self._buckets.clear()
        self.answer_bytes = 0
        for key, entry in self.calls.items():
            entry.replicas = replicas_of(key)
            for claim in entry.claims.values():
                self._add_to_bucket(now_ms, key, entry, claim, 1)

    def unexpired_claims(self, now_ms: float) -> list[StoredGrant]:
        """All claims that still count."""
        return [
            StoredGrant(key, claim, entry.expires_ms[claim_id])
            for key, entry in self.calls.items()
            for claim_id, claim in entry.claims.items()
            if entry.expires_ms[claim_id] > now_ms
        ]

    # --- comparison ---------------------------------------------------------------------------

    def bucket_digests(self, now_ms: float, name: str) -> dict[str, m.BucketDigest]:
        """By owner, the latest adjacent buckets that another replica should store just as they are here.

        They do not change any more, and have not expired for a clock that is a little faster.
        """
        return {
            owner: _adjacent_buckets(values) for owner, values in self._settled_sums(now_ms, name).items()
        }

    def _settled_sums(self, now_ms: float, name: str) -> dict[str, dict[int, int]]:
        """By owner and bucket, the sums that another replica should have, too."""
        # The difference between the slowest and the fastest clock over a claim's lifetime, and a line's
        # delay.
        margin_ms = 2.0 * self.settings.clock_skew * self.claim_lifetime_ms() + self.settings.max_wait_ms
        settled: dict[str, dict[int, int]] = {}
        for (owner, bucket), sums in self._buckets.items():
            shared = [part for replicas, part in sums.items() if name in replicas]
            if shared and all(
                part.first_expiry_ms - now_ms > margin_ms and now_ms - part.changed_ms > SETTLED_MS
                for part in shared
            ):
                settled.setdefault(owner, {})[bucket] = sum(part.value for part in shared)
        return settled

    def differing_ranges(self, name: str, theirs: dict[str, m.BucketDigest]) -> list[m.BucketRange]:
        """The ranges whose digests at another replica are not the same as here."""
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
        """The claims of a call that still count, as they are sent to another replica."""
        entry = self.calls.get(key)
        if entry is None:
            return
        for claim_id, claim in entry.claims.items():
            if (remaining_ms := entry.expires_ms[claim_id] - now_ms) > 0:
                yield m.StoredClaim(key, claim, remaining_ms)


def _adjacent_buckets(values: dict[int, int]) -> m.BucketDigest:
    """The digest of the last bucket and of those before it without a gap."""
    last = first = max(values)
    while first - 1 in values:
        first -= 1
    total = sum(value for bucket, value in values.items() if first <= bucket)
    return m.BucketDigest(first, last + 1, format_digest(total))
