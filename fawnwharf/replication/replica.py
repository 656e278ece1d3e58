"""A replica: which request it grants a call to, and when it may grant calls at all.

No I/O. Times are milliseconds of its own clock, which is never compared with another one. A replica grants a
call to one request at a time. An owner with grants from a quorum of the call's replicas may run the call, so
of two owners at most one may. This requires that no replica forgets its grants. A restarted replica therefore
grants nothing until it has received the claims of all others, or until every grant that it may have made
before has expired (`is_complete`). If one replica is a quorum, no other one knows its grants.
"""

from dataclasses import dataclass, field

import msgspec

from fawnwharf.replication import messages as m
from fawnwharf.replication.claim_store import CallEntry, ClaimStore
from fawnwharf.replication.claims import Claim, ClaimPhase
from fawnwharf.replication.counters import ReplicationCounter
from fawnwharf.replication.placement import ReplicaPlacement
from fawnwharf.replication.settings import ReplicationSettings
from fawnwharf.replication.state_transfer import StateTransfer

EXPIRY_SCAN_MS = 250.0
MAX_REPLY_CLAIMS = 16  # of one call
MAX_CALL_REQUESTS = 64  # of one call: at this limit the call is not granted until some have expired


def front_end_of(owner_id: str) -> str:
    """The name of the front end that this owner is an incarnation of."""
    return owner_id.partition("#")[0]


def _without_answer_to_others(claim: Claim, request: m.ClaimRequest) -> Claim:
    """The claim, without its answer unless the request has the same content."""
    if claim.answer is None or claim.content == request.content:
        return claim
    return msgspec.structs.replace(claim, answer=None)


@dataclass(slots=True)
class Completeness:
    """Whether a replica may grant calls, and which replicas it still needs state from, since when."""

    since_ms: float
    reached: bool
    # Since when this replica may have forgotten grants of its own; None if it knows them all.
    forgot_ms: float | None = None
    missing: set[str] = field(default_factory=set)  # replicas whose claims were not all received
    # Earlier memberships whose replicas have not all sent their claims.
    earlier: list[ReplicaPlacement] = field(default_factory=list)

    def earlier_replicas(self) -> set[str]:
        """All replicas of the earlier memberships."""
        return {name for placement in self.earlier for name in placement.replicas}

    def restart(self, now_ms: float, missing: set[str]) -> None:
        """Start over: state is needed from these replicas."""
        self.since_ms = now_ms
        self.reached = False
        self.missing = missing


class Replica:
    """Stores claims for the fleet and grants calls."""

    def __init__(
        self,
        name: str,
        placement: ReplicaPlacement,
        settings: ReplicationSettings,
        now_ms: float,
        incarnation: int,
        *,
        complete: bool = False,
    ) -> None:
        """`complete` states that every grant made under this name is known here, as in a new fleet."""
        self.name, self.placement, self.settings = name, placement, settings
        self.claim_store = ClaimStore(settings, placement.replicas_of)
        self.state_transfer = StateTransfer(self.claim_store, incarnation)
        self.live_owners: set[str] = set()
        self.storage_failed = False  # grants can't be stored
        self._completeness = Completeness(now_ms, complete)
        if not complete:
            self._completeness.forgot_ms = now_ms
            self._completeness.missing = self._other_replicas()
        self._max_requested_membership = 0  # the largest membership number in another replica's request
        self._expiry_due_ms = now_ms
        self._comparison_due_ms = now_ms + settings.compare_interval_ms

    def _other_replicas(self) -> set[str]:
        return {name for name in self.placement.replicas if name != self.name}

    # --- whether it may grant -----------------------------------------------------------------

    def max_grant_age_ms(self) -> float:
        """How long an owner may act on a grant, allowing for the slowest clock."""
        return self.settings.max_wait_ms * (1.0 + 2.0 * self.settings.clock_skew)

    def is_complete(self, now_ms: float) -> bool:
        """Whether the replica knows all its grants that are still valid, so that it may grant calls.

        Unless one replica is a quorum, a grant of an earlier incarnation only took effect together with the
        grant of another replica, which stores it. The replica must therefore receive the claims of all
        others, requested after the time in which an owner may act on the old grants, because until then the
        other grant may still be in transit. Alternatively, all old grants have expired.
        """
        if self.storage_failed or self._max_requested_membership > self.placement.number:
            return False
        state = self._completeness
        if not state.reached and (
            self._earlier_replicas_heard(now_ms) if state.earlier else self._others_heard_or_expired(now_ms)
        ):
            state.reached = True
            state.forgot_ms = None
            state.earlier.clear()
        return state.reached

    def _earlier_replicas_heard(self, now_ms: float) -> bool:
        """Whether the replicas not yet heard cannot form a quorum of any earlier membership.

        Replicas of an earlier membership continue to grant calls until they learn of the later one, so a
        timeout is no proof here. All other replicas of the current membership must also have been heard.
        This replica itself counts as not heard while grants that it has forgotten may be valid.
        """
        state = self._completeness
        unheard = state.missing | ({self.name} if self._may_have_forgotten(now_ms) else set())
        missing_zones = [
            sum(bool(unheard & set(names)) for names in placement.by_zone.values())
            for placement in state.earlier
        ]
        quorum_impossible = max(missing_zones) <= self.settings.replica_zones // 2
        return quorum_impossible and not state.missing & self._other_replicas()

    def _others_heard_or_expired(self, now_ms: float) -> bool:
        if not self._may_have_forgotten(now_ms):
            return True
        return not self._completeness.missing and self.placement.max_quorum() > 1

    def _may_have_forgotten(self, now_ms: float) -> bool:
        """Whether a grant of this replica's own may be valid that it does not know."""
        forgot_ms = self._completeness.forgot_ms
        expiry_ms = self.claim_store.claim_lifetime_ms() + self.max_grant_age_ms()
        return forgot_ms is not None and now_ms - forgot_ms < expiry_ms

    def mark_complete(self) -> None:
        """Mark the replica complete, because its storage has every grant that it made."""
        self._completeness.reached = True
        self._completeness.forgot_ms = None
        self._completeness.missing.clear()

    def mark_incomplete(self, now_ms: float) -> None:
        """Mark the replica incomplete, because its storage turned out to be an outdated copy."""
        self._completeness.forgot_ms = now_ms
        self._completeness.restart(now_ms, self._completeness.missing | self._other_replicas())
        self.state_transfer.restart()

    def change_placement(self, now_ms: float, placement: ReplicaPlacement) -> None:
        """Adopt a later membership. Calls may move here from other replicas, whose claims are then needed."""
        if placement.number <= self.placement.number:
            return
        before, self.placement = self.placement, placement
        if before.by_zone == placement.by_zone:
            return
        self.claim_store.change_placement(now_ms, placement.replicas_of)
        state = self._completeness
        state.earlier.append(before)
        state.restart(now_ms, self._other_replicas() | (state.earlier_replicas() - {self.name}))
        self.state_transfer.restart()

    # --- owners -------------------------------------------------------------------------------

    def handle_claim_request(self, now_ms: float, request: m.ClaimRequest) -> list[m.Send]:
        """Grant the call, or reply with the claims on it."""
        may_grant = self.is_complete(now_ms) and request.membership_number == self.placement.number
        if self.name not in self.placement.replicas_of(request.key):
            self.claim_store.counts[ReplicationCounter.REQUESTS_TO_WRONG_REPLICA] += 1
            may_grant = False
        entry = self.claim_store.get_or_create(now_ms, request.key)
        if entry is None:
            return [self._reply(now_ms, request, None, granted=False, complete=False)]
        if (request.owner, request.number) in entry.claims:
            self.claim_store.counts[ReplicationCounter.REQUESTS_REPEATED] += 1
            return []
        if len(entry.claims) >= MAX_CALL_REQUESTS:
            self.claim_store.counts[ReplicationCounter.TOO_MANY_REQUESTS] += 1
            may_grant = False
        free = not entry.active_claims()
        granted = free and may_grant
        if granted:
            self._grant(now_ms, entry, request)
        elif not free:
            self._add_waiter(entry, request)
        return [self._reply(now_ms, request, entry, granted=granted, complete=may_grant or not free)]

    def _grant(self, now_ms: float, entry: CallEntry, request: m.ClaimRequest) -> None:
        claim = Claim(
            owner=request.owner,
            request_number=request.number,
            version=request.number,
            bucket=request.bucket,
            phase=ClaimPhase.GRANTED,
            content=request.content,
        )
        lifetime_ms = self.claim_store.claim_lifetime_ms(request.key)
        self.claim_store.merge(now_ms, request.key, entry, claim, lifetime_ms)
        entry.waiters.pop(request.owner, None)

    def _add_waiter(self, entry: CallEntry, request: m.ClaimRequest) -> None:
        """Register this owner for updates on the call, up to the limit of waiters."""
        if request.owner in entry.waiters or len(entry.waiters) < self.settings.limits.max_waiters:
            entry.waiters[request.owner] = request

    def _reply(
        self,
        now_ms: float,
        request: m.ClaimRequest,
        entry: CallEntry | None,
        *,
        granted: bool = False,
        complete: bool = True,
    ) -> m.Send:
        """Make a reply with the state of a call for one owner's request."""
        active = entry.active_claims() if entry is not None else []
        others = [claim for claim in active if claim.claim_id != (request.owner, request.number)]
        # Those that may be left out are the ones that decide least.
        claims = sorted(others, key=lambda claim: claim.content != request.content)[:MAX_REPLY_CLAIMS]
        reply = m.ClaimReply(
            key=request.key,
            owner=request.owner,
            request_number=request.number,
            granted=granted,
            complete=complete,
            claims=tuple(_without_answer_to_others(claim, request) for claim in claims),
            live_owners=tuple(sorted({claim.owner for claim in claims} & self.live_owners)),
            age_ms=now_ms - entry.created_ms if entry is not None and claims else 0.0,
        )
        return m.Send((front_end_of(request.owner),), reply)

    def handle_claim_update(self, now_ms: float, update: m.ClaimUpdate) -> list[m.Send]:
        """Handle an owner's update. It suffices by itself, even if the owner's request never arrived."""
        claim = update.claim
        released = claim.phase is ClaimPhase.RELEASED
        if released and update.key not in self.claim_store.calls:
            return []
        entry = self.claim_store.get_or_create(now_ms, update.key)
        if entry is None:
            return []
        full = len(entry.claims) >= MAX_CALL_REQUESTS and claim.claim_id not in entry.claims
        if full and released:  # it was not granted here, so it blocks no other request
            return []
        lifetime_ms = self.claim_store.claim_lifetime_ms(update.key)
        self.claim_store.merge(now_ms, update.key, entry, claim, lifetime_ms)
        return self._notify_waiters(now_ms, entry)

    def _notify_waiters(self, now_ms: float, entry: CallEntry) -> list[m.Send]:
        """Send the current state of the call to all waiting owners."""
        sends: list[m.Send] = []
        for owner, request in list(entry.waiters.items()):
            if owner not in self.live_owners:
                del entry.waiters[owner]
                continue
            sends.append(self._reply(now_ms, request, entry))
            if not any(claim.phase is ClaimPhase.GRANTED for claim in entry.active_claims()):
                del entry.waiters[owner]  # no further update will follow
        return sends

    def change_live_owners(self, now_ms: float, live_owners: set[str]) -> list[m.Send]:
        """Replace the set of live owners, and notify the owners that wait for one that is no longer alive."""
        dead_owners = self.live_owners - live_owners
        self.live_owners = set(live_owners)
        sends: list[m.Send] = []
        if dead_owners:
            for entry in self.claim_store.calls.values():
                if entry.waiters and dead_owners & {owner for owner, _ in entry.claims}:
                    sends += self._notify_waiters(now_ms, entry)
        return sends

    # --- other replicas -----------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[m.Send]:
        """Perform the timed work that is due: remove expired claims, transfer state, send digests."""
        if now_ms >= self._expiry_due_ms:
            self._expiry_due_ms = now_ms + EXPIRY_SCAN_MS
            self.claim_store.remove_expired(now_ms)
        sends: list[m.Send] = []
        complete = self.is_complete(now_ms)
        if not complete and now_ms - self._completeness.since_ms >= self.max_grant_age_ms():
            for name in sorted(self._completeness.missing):
                sends += self.state_transfer.request(now_ms, name, self.placement.number)
        sends += self.state_transfer.next_chunks(now_ms, complete)
        if now_ms >= self._comparison_due_ms:
            self._comparison_due_ms = now_ms + self.settings.compare_interval_ms
            sends += [
                m.Send((name,), m.StoreDigests(self.claim_store.bucket_digests(now_ms, name)))
                for name in sorted(self._other_replicas())
            ]
        return sends

    def due_ms(self) -> float:
        """When `tick` must be called next."""
        due_ms = min(self._expiry_due_ms, self._comparison_due_ms)
        return min(due_ms, self.state_transfer.due_ms) if self.state_transfer.busy else due_ms

    def handle_state_request(self, sender: str, request: m.StateRequest) -> None:
        """Start to send the claims stored here to another replica.

        A replica with a later membership gets all claims, and this one grants nothing more until it has that
        membership as well.
        """
        later = request.membership_number > self.placement.number
        self._max_requested_membership = max(self._max_requested_membership, request.membership_number)
        known = sender in self.placement.replicas or sender in self._completeness.earlier_replicas()
        if not later and not known:
            self.claim_store.counts[ReplicationCounter.STATE_REQUESTS_NOT_FROM_REPLICA] += 1
            return
        self.state_transfer.start(sender, request, lambda replicas: later or sender in replicas)

    def handle_state_chunk(self, now_ms: float, sender: str, chunk: m.StateChunk) -> list[m.Send]:
        """Store a chunk from another replica and notify the waiting owners."""
        sends: list[m.Send] = []

        def store_claim(stored: m.StoredClaim) -> bool:
            entry = self.claim_store.restore(now_ms, stored.key, stored.claim, stored.remaining_ms)
            if entry is not None:
                sends.extend(self._notify_waiters(now_ms, entry))
            return entry is not None

        if self.state_transfer.receive_chunk(now_ms, sender, chunk, store_claim):
            self._completeness.missing.discard(sender)
        return sends

    def handle_store_digests(self, now_ms: float, sender: str, digests: m.StoreDigests) -> list[m.Send]:
        """Compare another replica's digests with the claims stored here."""
        if sender not in self.placement.replicas:
            self.claim_store.counts[ReplicationCounter.DIGESTS_NOT_FROM_REPLICA] += 1
            return []
        return self.state_transfer.compare(now_ms, sender, digests, self.placement.number)
