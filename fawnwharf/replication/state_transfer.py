"""State transfer between replicas: requests, chunks and comparisons. Pure.

One chunk is sent a tick, so that no call waits for it. Chunks are received in order: one that is missing,
repeated or does not fit its digest ends the transfer, and all of it is requested again.
"""

from collections.abc import Callable
from dataclasses import dataclass

from fawnwharf.replication import messages as m
from fawnwharf.replication.claim_store import ClaimStore, claim_digest, format_digest
from fawnwharf.replication.counters import ReplicationCounter

RETRY_MS = 700.0  # before the same state is requested again
MAX_TRANSFERS = 2  # that are sent at the same time
CHUNK_CLAIMS = 100  # in a chunk, and the rest of the last call's
CHUNK_SCANNED_CALLS = 1_000  # calls that are looked at for a chunk
CHUNK_INTERVAL_MS = 5.0
MAX_RANGES = 64  # in a request


@dataclass(slots=True)
class _OutgoingTransfer:
    """A transfer to another replica."""

    request_number: int
    incarnation: int
    remaining_keys: list[str]
    requested_claims: Callable[[str], int]  # how many claims of a call are requested
    part: int = 0
    digest: int = 0

    def next_keys(self) -> list[str]:
        """The next few calls that are requested, after a look at a bounded number."""
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
    """Owns the transfers to and from other replicas."""

    def __init__(self, store: ClaimStore, incarnation: int) -> None:
        self.store, self.incarnation = store, incarnation
        self._incoming: dict[str, _IncomingTransfer] = {}
        self._outgoing: dict[str, _OutgoingTransfer] = {}
        self._last_differences: dict[str, list[m.BucketRange]] = {}
        self._last_number = 0
        self.due_ms = 0.0  # of the next chunks
        self.received_claims = 0

    @property
    def busy(self) -> bool:
        """Whether chunks are to be sent."""
        return bool(self._outgoing)

    def restart(self) -> None:
        """Drop all incoming transfers, to request them again."""
        self._incoming.clear()

    # --- incoming -----------------------------------------------------------------------------

    def request(
        self, now_ms: float, name: str, membership_number: int, ranges: tuple[m.BucketRange, ...] = ()
    ) -> list[m.Send]:
        """Request everything, or some ranges, of a replica, unless a transfer from it is running."""
        transfer = self._incoming.get(name)
        if transfer is not None and now_ms - transfer.requested_ms <= RETRY_MS:
            return []
        self._last_number += 1
        self._incoming[name] = _IncomingTransfer(self._last_number, now_ms, everything=not ranges)
        request = m.StateRequest(self._last_number, self.incarnation, membership_number, ranges[:MAX_RANGES])
        return [m.Send((name,), request)]

    def receive_chunk(
        self, now_ms: float, sender: str, chunk: m.StateChunk, take: Callable[[m.StoredClaim], bool]
    ) -> bool:
        """Take a chunk; True where it was the last one of all that a complete sender stores.

        `take` stores one claim and returns whether there was space.
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
        stored_all = all([take(stored) for stored in chunk.claims])  # each one, also after the first failure
        if chunk.last or not stored_all:
            del self._incoming[sender]
        return stored_all and chunk.last and chunk.complete and transfer.everything

    def compare(
        self, now_ms: float, sender: str, digests: m.StoreDigests, membership_number: int
    ) -> list[m.Send]:
        """Request what differs from another replica twice in a row; after once it may be on its way."""
        differing = self.store.differing_ranges(sender, digests.buckets)
        owners_before = {found.owner for found in self._last_differences.get(sender, [])}
        self._last_differences[sender] = differing
        lasting = tuple(found for found in differing if found.owner in owners_before)
        if not lasting:
            return []
        self.store.counts[ReplicationCounter.DIFFERENCES_REQUESTED] += 1
        return self.request(now_ms, sender, membership_number, lasting)

    # --- outgoing -----------------------------------------------------------------------------

    def start(self, name: str, request: m.StateRequest, shared: Callable[[tuple[str, ...]], bool]) -> None:
        """Begin the transfer that another replica requests; it replaces an earlier one.

        `shared` decides by a call's replicas whether that replica may have it.
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
        """The next chunk of each of the first few outgoing transfers."""
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
