"""State transfer between replicas: requests, chunks and comparisons. No I/O.

A replica sends at most one chunk per transfer and interval, so that no call waits for a transfer. Chunks that
arrive out of order are dropped. After a lost chunk the transfer makes no progress and is requested again as a
whole. A chunk that does not match its digest ends the transfer, which is then also requested again.
"""

from collections.abc import Callable
from dataclasses import dataclass

from fawnwharf.replication import messages as m
from fawnwharf.replication.claim_store import ClaimStore, claim_digest, format_digest
from fawnwharf.replication.counters import ReplicationCounter

RETRY_MS = 700.0  # without progress, before the same state is requested again
MAX_TRANSFERS = 2  # outgoing transfers that advance at the same time
CHUNK_CLAIMS = 100  # a chunk ends with the call that reaches this number
CHUNK_SCANNED_CALLS = 1_000  # calls scanned for one chunk
CHUNK_INTERVAL_MS = 5.0
MAX_RANGES = 64  # per request


@dataclass(slots=True)
class _OutgoingTransfer:
    """A transfer to another replica."""

    request_number: int
    incarnation: int
    remaining_keys: list[str]
    requested_claims: Callable[[str], int]  # the number of claims requested of a call
    part: int = 0
    digest: int = 0

    def next_keys(self) -> list[str]:
        """The requested calls of the next chunk, found in a limited scan."""
        keys: list[str] = []
        count = 0
        for _ in range(min(CHUNK_SCANNED_CALLS, len(self.remaining_keys))):
            key = self.remaining_keys.pop()
            if claims := self.requested_claims(key):
                keys.append(key)
                count += claims
                if count >= CHUNK_CLAIMS:
                    break
        return keys


@dataclass(slots=True)
class _IncomingTransfer:
    """A transfer from another replica."""

    request_number: int
    requested_ms: float
    everything: bool
    part: int = 0
    digest: int = 0


class StateTransfer:
    """Manages the transfers to and from other replicas."""

    def __init__(self, store: ClaimStore, incarnation: int) -> None:
        self.store, self.incarnation = store, incarnation
        self._incoming: dict[str, _IncomingTransfer] = {}
        self._outgoing: dict[str, _OutgoingTransfer] = {}
        self._last_differences: dict[str, list[m.BucketRange]] = {}
        self._last_number = 0
        self.due_ms = 0.0  # when the next chunks are due
        self.received_claims = 0

    @property
    def busy(self) -> bool:
        """Whether there are chunks left to send."""
        return bool(self._outgoing)

    def restart(self) -> None:
        """Drop all incoming transfers, so that they are requested again."""
        self._incoming.clear()

    # --- incoming -----------------------------------------------------------------------------

    def request(
        self, now_ms: float, name: str, membership_number: int, ranges: tuple[m.BucketRange, ...] = ()
    ) -> list[m.Send]:
        """Request all claims or some ranges from a replica, unless a transfer from it is in progress."""
        transfer = self._incoming.get(name)
        if transfer is not None and now_ms - transfer.requested_ms <= RETRY_MS:
            return []
        self._last_number += 1
        self._incoming[name] = _IncomingTransfer(self._last_number, now_ms, everything=not ranges)
        request = m.StateRequest(self._last_number, self.incarnation, membership_number, ranges[:MAX_RANGES])
        return [m.Send((name,), request)]

    def receive_chunk(
        self, now_ms: float, sender: str, chunk: m.StateChunk, store_claim: Callable[[m.StoredClaim], bool]
    ) -> bool:
        """Store a chunk; True if it completes a transfer of all claims from a complete sender.

        `store_claim` stores one claim and returns whether there was space for it.
        """
        transfer = self._incoming.get(sender)
        if (
            transfer is None
            or (chunk.incarnation, chunk.request_number) != (self.incarnation, transfer.request_number)
            or chunk.part != transfer.part
        ):
            self.store.counts[ReplicationCounter.CHUNKS_OUT_OF_ORDER] += 1
            return False
        digest = transfer.digest + sum(claim_digest(stored.key, stored.claim) for stored in chunk.claims)
        if format_digest(digest) != chunk.digest:
            self.store.counts[ReplicationCounter.CHUNKS_WITH_WRONG_DIGEST] += 1
            del self._incoming[sender]
            return False
        transfer.part += 1
        transfer.digest = digest
        transfer.requested_ms = now_ms
        self.received_claims += len(chunk.claims)
        # A list, because the claims after a failure must be stored as well.
        stored_all = all([store_claim(stored) for stored in chunk.claims])
        if chunk.last or not stored_all:
            del self._incoming[sender]
        return stored_all and chunk.last and chunk.complete and transfer.everything

    def compare(
        self, now_ms: float, sender: str, digests: m.StoreDigests, membership_number: int
    ) -> list[m.Send]:
        """Request the owners' ranges that differ twice in a row; a single difference may be in transit."""
        differing = self.store.differing_ranges(sender, digests.buckets)
        owners_before = {bucket_range.owner for bucket_range in self._last_differences.get(sender, [])}
        self._last_differences[sender] = differing
        lasting = tuple(bucket_range for bucket_range in differing if bucket_range.owner in owners_before)
        if not lasting:
            return []
        self.store.counts[ReplicationCounter.DIFFERENCES_REQUESTED] += 1
        return self.request(now_ms, sender, membership_number, lasting)

    # --- outgoing -----------------------------------------------------------------------------

    def start(self, name: str, request: m.StateRequest, shared: Callable[[tuple[str, ...]], bool]) -> None:
        """Start the transfer that another replica requested; it replaces an earlier one to that replica.

        `shared` decides from the replicas of a call whether the requesting replica may receive it.
        """
        ranges = {requested.owner: requested for requested in request.ranges}

        def requested_claims(key: str) -> int:
            entry = self.store.calls.get(key)
            if entry is None or not shared(entry.replicas):
                return 0
            requested = not ranges or any(
                claim.owner in ranges
                and ranges[claim.owner].first <= claim.bucket < ranges[claim.owner].until
                for claim in entry.claims.values()
            )
            return len(entry.claims) if requested else 0

        self._outgoing[name] = _OutgoingTransfer(
            request.number, request.incarnation, list(self.store.calls), requested_claims
        )

    def next_chunks(self, now_ms: float, complete: bool) -> list[m.Send]:
        """The next chunk of each of the first MAX_TRANSFERS outgoing transfers, if they are due."""
        if now_ms < self.due_ms:
            return []
        self.due_ms = now_ms + CHUNK_INTERVAL_MS
        return [
            m.Send((name,), self._next_chunk(now_ms, name, complete))
            for name in list(self._outgoing)[:MAX_TRANSFERS]
        ]

    def _next_chunk(self, now_ms: float, name: str, complete: bool) -> m.StateChunk:
        transfer = self._outgoing[name]
        claims = [stored for key in transfer.next_keys() for stored in self.store.stored_claims(now_ms, key)]
        transfer.digest += sum(claim_digest(stored.key, stored.claim) for stored in claims)
        part = transfer.part
        transfer.part += 1
        last = not transfer.remaining_keys
        if last:
            del self._outgoing[name]
        return m.StateChunk(
            transfer.request_number,
            transfer.incarnation,
            part,
            last,
            tuple(claims),
            format_digest(transfer.digest),
            complete,
        )
