"""A replica: to whom it grants a call, and when it may grant at all.

Pure; times are milliseconds of its own clock, which is never compared with another one. A call is granted to
one request at a time. An owner that has the grants of a quorum of the call's replicas may run it, so that of
two owners at most one may. That holds as long as no replica forgets: a restarted one grants nothing until it
has received all that the others store, or until all that it may have granted before has expired
(`is_complete`).
"""

from dataclasses import dataclass, field

from fawnwharf.replication import messages as m
from fawnwharf.replication.claim_store import CallEntry, ClaimStore
from fawnwharf.replication.claims import Claim, ClaimPhase
from fawnwharf.replication.counters import ReplicationCounter
from fawnwharf.replication.placement import ReplicaPlacement
from fawnwharf.replication.settings import ReplicationSettings
from fawnwharf.replication.state_transfer import StateTransfer

EXPIRY_SCAN_MS = 250.0
MAX_REPLY_CLAIMS = 16  # of one call
MAX_CALL_REQUESTS = 64  # of one call: with so many it is not granted until some have expired


def front_end_of(owner_id: str) -> str:
    """The name of the front end of which this owner is an incarnation."""
    return owner_id.partition("#")[0]


@dataclass(slots=True)
class Completeness:
    """What a replica needs before it may grant: whom it still has to hear, and since when."""

    since_ms: float
    reached: bool
    missing: set[str] = field(default_factory=set)  # replicas of which not everything has been received
    # Memberships before, until their replicas were heard.
    earlier: list[ReplicaPlacement] = field(default_factory=list)

    def earlier_replicas(self) -> set[str]:
        """All replicas of the earlier memberships."""
        return {name for placement in self.earlier for name in placement.replicas}

    def restart(self, now_ms: float, missing: set[str]) -> None:
        """Begin again, with these replicas to hear."""
        self.since_ms = now_ms
        self.reached = False
        self.missing = missing


class Replica:
    """Owns the claims that this front end stores for the fleet, and the right to grant calls."""

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
        """`complete`: nothing was ever granted under this name that is not here, as in a new fleet."""
        self.name, self.placement, self.settings = name, placement, settings
        self.claim_store = ClaimStore(settings, placement.replicas_of)
        self.state_transfer = StateTransfer(self.claim_store, incarnation)
        self.live_owners: set[str] = set()
        self.storage_failed = False  # what it grants can't be stored
        self._completeness = Completeness(now_ms, complete, set() if complete else self._other_replicas())
        self._max_requested_membership = 0  # the largest number in another replica's request
        self._expiry_due_ms = now_ms
        self._comparison_due_ms = now_ms + settings.compare_interval_ms

    def _other_replicas(self) -> set[str]:
        return {name for name in self.placement.replicas if name != self.name}

    # --- whether it may grant -----------------------------------------------------------------

    def max_grant_age_ms(self) -> float:
        """How long an owner may act on a grant, by the slowest clock."""
        return self.settings.max_wait_ms * (1.0 + 2.0 * self.settings.clock_skew)

    def is_complete(self, now_ms: float) -> bool:
        """Whether it knows all that it ever granted and that still counts, so that it may grant calls.

        What an earlier incarnation granted was in force only together with the grant of another replica,
        which has it. So all others have to be heard, from a moment on when nobody may act on those grants any
        more, as until then the other grant may still be on its way. Or all of it has expired.
        """
        if self.storage_failed or self._max_requested_membership > self.placement.number:
            return False
        state = self._completeness
        if not state.reached and (
            self._earlier_replicas_heard() if state.earlier else self._others_heard_or_expired(now_ms)
        ):
            state.reached = True
            state.earlier.clear()
        return state.reached

    def _earlier_replicas_heard(self) -> bool:
        """Whether no quorum of an earlier membership is left that has not reported what it granted.

        By an earlier membership grants go on until its replicas have heard of the later one, so time proves
        nothing here.
        """
        state = self._completeness
        missing_zones = [
            sum(bool(state.missing & set(names)) for names in placement.by_zone.values())
            for placement in state.earlier
        ]
        quorum_impossible = max(missing_zones) <= self.settings.replica_zones // 2
        return quorum_impossible and not state.missing & self._other_replicas()

    def _others_heard_or_expired(self, now_ms: float) -> bool:
        expiry_ms = self.claim_store.claim_lifetime_ms() + self.max_grant_age_ms()
        return not self._completeness.missing or now_ms - self._completeness.since_ms >= expiry_ms

    def mark_complete(self) -> None:
        """A disk had all that was ever granted."""
        self._completeness.reached = True
        self._completeness.missing.clear()

    def mark_incomplete(self, now_ms: float) -> None:
        """A disk that seemed complete is an older copy: hear the other replicas, or wait."""
        self._completeness.restart(now_ms, self._completeness.missing | self._other_replicas())
        self.state_transfer.restart()

    def change_placement(self, now_ms: float, placement: ReplicaPlacement) -> None:
        """Take a later membership: calls may move here from other replicas, which have to be heard."""
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
        """Grant the call, or reply who has it."""
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
        claim = Claim(request.owner, request.number, request.number, request.bucket, ClaimPhase.GRANTED)
        lifetime_ms = self.claim_store.claim_lifetime_ms(request.key)
        self.claim_store.merge(now_ms, request.key, entry, claim, lifetime_ms)
        entry.waiters.pop(request.owner, None)

    def _add_waiter(self, entry: CallEntry, request: m.ClaimRequest) -> None:
        """Report to this owner what becomes of the call, where there is space for one more."""
        if request.owner in entry.waiters or len(entry.waiters) < self.settings.limits.max_waiters:
            entry.waiters[request.owner] = request.number

    def _reply(
        self,
        now_ms: float,
        request: m.ClaimRequest,
        entry: CallEntry | None,
        *,
        granted: bool,
        complete: bool,
    ) -> m.Send:
        waiter = request.owner, request.number
        return self._report(now_ms, request.key, waiter, entry, granted=granted, complete=complete)

    def _report(
        self,
        now_ms: float,
        key: str,
        waiter: tuple[str, int],
        entry: CallEntry | None,
        *,
        granted: bool = False,
        complete: bool = True,
    ) -> m.Send:
        """How a call stands, for one request of one owner."""
        owner, number = waiter
        active = entry.active_claims() if entry is not None else []
        claims = [claim for claim in active if claim.claim_id != waiter][:MAX_REPLY_CLAIMS]
        reply = m.ClaimReply(
            key=key,
            owner=owner,
            request_number=number,
            granted=granted,
            complete=complete,
            claims=tuple(claims),
            live_owners=tuple(sorted({claim.owner for claim in claims} & self.live_owners)),
            age_ms=now_ms - entry.created_ms if entry is not None and claims else 0.0,
        )
        return m.Send((front_end_of(owner),), reply)

    def handle_claim_update(self, now_ms: float, update: m.ClaimUpdate) -> list[m.Send]:
        """Take an owner's later message, also where its request never arrived: it has no less information."""
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
        return self._notify_waiters(now_ms, update.key, entry)

    def _notify_waiters(self, now_ms: float, key: str, entry: CallEntry) -> list[m.Send]:
        """Report to all owners that wait how the call stands now."""
        sends: list[m.Send] = []
        for owner, number in list(entry.waiters.items()):
            if owner not in self.live_owners:
                del entry.waiters[owner]
                continue
            sends.append(self._report(now_ms, key, (owner, number), entry))
            if not any(claim.phase is ClaimPhase.GRANTED for claim in entry.active_claims()):
                del entry.waiters[owner]  # nothing more will come
        return sends

    def change_live_owners(self, now_ms: float, live_owners: set[str]) -> list[m.Send]:
        """Take which owners are alive now, and report to those that wait for one that is gone."""
        gone = self.live_owners - live_owners
        self.live_owners = set(live_owners)
        sends: list[m.Send] = []
        if gone:
            for key, entry in self.claim_store.calls.items():
                if entry.waiters and gone & {owner for owner, _ in entry.claims}:
                    sends += self._notify_waiters(now_ms, key, entry)
        return sends

    # --- other replicas -----------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[m.Send]:
        """Do what is due: remove what has expired, send and request chunks, compare."""
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
        """When `tick` is needed next."""
        due_ms = min(self._expiry_due_ms, self._comparison_due_ms)
        return min(due_ms, self.state_transfer.due_ms) if self.state_transfer.busy else due_ms

    def handle_state_request(self, sender: str, request: m.StateRequest) -> None:
        """Begin to send another replica what is stored here.

        One with a later membership gets all of it, and nothing more is granted by the earlier one.
        """
        later = request.membership_number > self.placement.number
        self._max_requested_membership = max(self._max_requested_membership, request.membership_number)
        known = sender in self.placement.replicas or sender in self._completeness.earlier_replicas()
        if not later and not known:
            self.claim_store.counts[ReplicationCounter.STATE_REQUESTS_NOT_FROM_REPLICA] += 1
            return
        self.state_transfer.start(sender, request, lambda replicas: later or sender in replicas)

    def handle_state_chunk(self, now_ms: float, sender: str, chunk: m.StateChunk) -> list[m.Send]:
        """Take a chunk of another replica, and report to owners that wait what it shows."""
        sends: list[m.Send] = []

        def take(stored: m.StoredClaim) -> bool:
            entry = self.claim_store.get_or_create(now_ms, stored.key)
            if entry is not None:
                self.claim_store.merge(now_ms, stored.key, entry, stored.claim, stored.remaining_ms)
                sends.extend(self._notify_waiters(now_ms, stored.key, entry))
            return entry is not None

        if self.state_transfer.receive_chunk(now_ms, sender, chunk, take):
            self._completeness.missing.discard(sender)
        return sends

    def handle_store_digests(self, now_ms: float, sender: str, digests: m.StoreDigests) -> list[m.Send]:
        """Compare what another replica stores with what is stored here."""
        if sender not in self.placement.replicas:
            self.claim_store.counts[ReplicationCounter.DIGESTS_NOT_FROM_REPLICA] += 1
            return []
        return self.state_transfer.compare(now_ms, sender, digests, self.placement.number)
