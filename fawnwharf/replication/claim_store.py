"""What one keeper holds: claims by call, merged, bounded, forgotten in time, and summed up for comparing.

Pure. The sums are by owner and by the second of the owner's own clock in which it asked (`slot`, a label that
nobody else's clock is compared with): claims of one slot end together, so that two keepers can compare slots
that are over for neither, and find only true differences.
"""

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from fawnwharf.replication import messages as m
from fawnwharf.replication.claims import (
    CallState,
    Claim,
    ClaimPhase,
    contradicts,
    merge_claims,
    summarize_claims,
)
from fawnwharf.replication.placement import rendezvous_weight
from fawnwharf.replication.settings import ReplicationSettings

EMPTY_MS = 250.0  # an entry of which nothing came is forgotten
SETTLED_MS = 400.0  # what changed later than that may be on its way to the other keepers
NOTED_MOST = 16


@dataclass(slots=True)
class CallEntry:
    """One call: each ask's claim and until when it counts here."""

    created_ms: float
    replicas: tuple[str, ...]
    claims: dict[tuple[str, int], Claim] = field(default_factory=dict)  # by owner and ask
    expires_ms: dict[tuple[str, int], float] = field(default_factory=dict)
    waiters: dict[str, int] = field(default_factory=dict)  # owner to the number of its Ask

    def active_claims(self) -> list[Claim]:
        """Claims that stand in the way of whoever asks; an owner's own earlier ones too."""
        return [claim for claim in self.claims.values() if claim.phase is not ClaimPhase.RELEASED]


@dataclass(slots=True)
class _Sum:
    """Claims of one slot that the same keepers share."""

    value: int = 0
    count: int = 0
    first_over_ms: float = float("inf")
    changed_ms: float = 0.0


def claim_digest(key: str, claim: Claim) -> int:
    """Sums of these do not depend on an order. The answer is left out: it may be dropped for room."""
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
    return f"{value % 2**64:016x}"


class ClaimStore:
    """Owns the claims, within bounds of count and bytes."""

    def __init__(self, settings: ReplicationSettings, keepers_of: Callable[[str], tuple[str, ...]]) -> None:
        self.settings, self.replicas_of = settings, keepers_of
        self.calls: dict[str, CallEntry] = {}
        self.answer_bytes = 0  # of answers
        self.class_windows_ms: dict[
            str, float
        ] = {}  # by class, where a policy has one; no longer than the settings'
        self.counts: dict[str, int] = {}
        self.conflicts: list[tuple[str, Claim, Claim]] = []  # whoever reads it clears it
        # When what ends; some are over earlier than they end by now. An entry of its own has no id.
        self._expiries: list[tuple[float, str, tuple[str, int] | tuple[()]]] = []
        self.unwritten: list[tuple[str, Claim, float]] | None = None  # where a disk is to have them first
        self._buckets: dict[tuple[str, int], dict[tuple[str, ...], _Sum]] = {}

    def count(self, cause: str) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + 1

    def get_or_create(self, now_ms: float, key: str) -> CallEntry | None:
        """The call's entry, made where there is none; None where there is no room."""
        found = self.calls.get(key)
        if found is None:
            if len(self.calls) >= self.settings.limits.max_calls:
                self.count("full")
                return None
            found = self.calls[key] = CallEntry(now_ms, self.replicas_of(key))
            heapq.heappush(self._expiries, (now_ms + EMPTY_MS, key, ()))  # nothing may come of it
        return found

    def merge(self, now_ms: float, key: str, entry: CallEntry, claim: Claim, left_ms: float) -> None:
        """Merge one claim; its time only ever grows, by no more than what a line takes to come."""
        before = entry.claims.get(claim.claim_id)
        until = max(
            entry.expires_ms.get(claim.claim_id, 0.0), now_ms + min(left_ms, self.claim_lifetime_ms())
        )
        if until != entry.expires_ms.get(claim.claim_id):
            entry.expires_ms[claim.claim_id] = until
            heapq.heappush(self._expiries, (until, key, claim.claim_id))
        if before is not None and contradicts(before, claim):
            self._record_conflict("contradiction", key, before, claim)
        after = claim if before is None else merge_claims(before, claim)
        if self.unwritten is not None:
            self.unwritten.append((key, after, until))
        if after == before:
            return
        if before is not None:
            self._add_to_bucket(now_ms, key, entry, before, -1, until)
        if after.answer and self.answer_bytes + len(after.answer) > self.settings.limits.max_answer_bytes:
            self.count("answer dropped")
            after = Claim(
                after.owner, after.request_number, after.version, after.bucket, after.phase, after.digest
            )
        self._add_to_bucket(now_ms, key, entry, after, 1, until)
        entry.claims[claim.claim_id] = after
        found = summarize_claims(list(entry.claims.values()), set())
        if found.state is CallState.CONFLICT:
            answered = [other for other in found.active_claims if other.phase is ClaimPhase.ANSWERED]
            self._record_conflict("conflict", key, answered[0], answered[-1])

    def claim_lifetime_ms(self, key: str = "") -> float:
        """The time that a claim counts, by the slowest clock; of a call, by its class. Keepers
        pass on what is left as it is: stretched each time, what two of them tell each other would never
        end."""
        window_ms = self.class_windows_ms.get(key.rpartition(":")[0], self.settings.repeat_window_ms)
        longest_ms = self.settings.max_call_ms + min(window_ms, self.settings.repeat_window_ms)
        return longest_ms * (1.0 + 2.0 * self.settings.clock_skew)

    def _record_conflict(self, cause: str, key: str, one: Claim, other: Claim) -> None:
        self.count(cause)
        if len(self.conflicts) < NOTED_MOST:
            self.conflicts.append((key, one, other))

    def _add_to_bucket(
        self, now_ms: float, key: str, entry: CallEntry, claim: Claim, sign: int, until_ms: float
    ) -> None:
        parts = self._buckets.setdefault((claim.owner, claim.bucket), {})
        part = parts.setdefault(entry.replicas, _Sum())
        part.value += sign * claim_digest(key, claim)
        part.count += sign
        part.changed_ms = now_ms
        part.first_over_ms = min(part.first_over_ms, until_ms)
        self.answer_bytes += sign * len(claim.answer or "")
        if not part.count:
            del parts[entry.replicas]
            if not parts:
                del self._buckets[claim.owner, claim.bucket]

    def remove_expired(self, now_ms: float) -> None:
        """What is over goes."""
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, key, id = heapq.heappop(self._expiries)
            entry = self.calls.get(key)
            if entry is None:
                continue
            until_ms = entry.expires_ms.get(id) if id else None
            if until_ms is not None and until_ms <= now_ms:  # else it counts for longer by now
                self._add_to_bucket(now_ms, key, entry, entry.claims.pop(id), -1, until_ms)
                del entry.expires_ms[id]
            if not entry.claims:  # who still waits has a deadline of its own
                del self.calls[key]

    def change_placement(self, now_ms: float, keepers_of: Callable[[str], tuple[str, ...]]) -> None:
        """Other keepers: sums are by those."""
        self.replicas_of = keepers_of
        self._buckets.clear()
        for key, entry in self.calls.items():
            entry.replicas = keepers_of(key)
            for id, claim in entry.claims.items():
                self._add_to_bucket(now_ms, key, entry, claim, 1, entry.expires_ms[id])
                self.answer_bytes -= len(claim.answer or "")

    def unexpired_claims(self, now_ms: float) -> list[tuple[str, Claim, float]]:
        return [
            (key, claim, entry.expires_ms[id])
            for key, entry in self.calls.items()
            for id, claim in entry.claims.items()
            if entry.expires_ms[id] > now_ms
        ]

    # --- comparing ------------------------------------------------------------------------------

    def bucket_digests(self, now_ms: float, name: str) -> dict[str, m.BucketDigest]:
        """By owner, the slots that another keeper should hold as they are here: they change no more, and are
        not over for a clock that is a little faster. Neighbouring ones only."""
        # What a slower and a faster clock make of the longest time, and what a line takes.
        margin = 2.0 * self.settings.clock_skew * self.claim_lifetime_ms() + self.settings.max_wait_ms
        found: dict[str, dict[int, int]] = {}
        for (owner, slot), parts in self._buckets.items():
            shared = [part for keepers, part in parts.items() if name in keepers]
            if shared and all(
                part.first_over_ms - now_ms > margin and now_ms - part.changed_ms > SETTLED_MS
                for part in shared
            ):
                found.setdefault(owner, {})[slot] = sum(part.value for part in shared)
        told_slots = {}
        for owner, values in found.items():
            last = first = max(values)
            while first - 1 in values:
                first -= 1
            total = sum(value for slot, value in values.items() if first <= slot)
            told_slots[owner] = m.BucketDigest(first, last + 1, format_digest(total))
        return told_slots

    def differing_ranges(self, name: str, theirs: dict[str, m.BucketDigest]) -> list[m.BucketRange]:
        """Of what another keeper holds, which slots are not the same here."""
        sums: dict[str, int] = {}
        for (owner, slot), parts in self._buckets.items():
            span = theirs.get(owner)
            if span is not None and span.first <= slot < span.until:
                shared = sum(part.value for keepers, part in parts.items() if name in keepers)
                sums[owner] = sums.get(owner, 0) + shared
        return [
            m.BucketRange(owner, span.first, span.until)
            for owner, span in sorted(theirs.items())
            if format_digest(sums.get(owner, 0)) != span.digest
        ]

    def stored_claims(self, now_ms: float, key: str) -> Iterator[m.StoredClaim]:
        entry = self.calls.get(key)
        for id, claim in entry.claims.items() if entry else ():
            if (left := entry.expires_ms[id] - now_ms) > 0:
                yield m.StoredClaim(key, claim, left)
