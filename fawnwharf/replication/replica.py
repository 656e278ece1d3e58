"""One keeper: whom it grants a call, and when it may grant at all.

Pure; times are milliseconds of its own clock, which is never compared with another's. A call is granted to
one ask at a time. Whoever has the grants of more than half of a call's keepers may run it, so that of two
owners at most one may. That holds as long as no keeper forgets: one that has started anew grants nothing
until it has heard all that the others hold, or until all that it may have granted before is over (`sure`).
"""

from fawnwharf.replication import messages as m
from fawnwharf.replication.claim_store import CallEntry, ClaimStore
from fawnwharf.replication.claims import Claim, ClaimPhase
from fawnwharf.replication.placement import ReplicaPlacement
from fawnwharf.replication.settings import ReplicationSettings
from fawnwharf.replication.state_transfer import StateTransfer

FORGET_MS = 250.0  # pace of the look after what is over
CLAIMS_MOST = 16  # of one call, in one word
ASKS_MOST = 64  # of one call: with so many it is granted no more until some are over


class Replica:
    """Owns the calls that this front end keeps for the fleet."""

    def __init__(
        self,
        name: str,
        placement: ReplicaPlacement,
        settings: ReplicationSettings,
        now_ms: float,
        life: int,
        fresh: bool = False,
    ) -> None:
        """`fresh`: nothing was ever granted under this name that is not here, as the fleet begins or a disk
        has it all."""
        self.name, self.placement, self.settings = name, placement, settings
        self.claim_store = ClaimStore(settings, placement.replicas_of)
        self.state_transfer = StateTransfer(settings, self.claim_store, life)
        self.live_owners: set[str] = set()  # owners that are heard
        self._since_ms = now_ms
        self._due_ms = {"forget": now_ms, "compare": now_ms + settings.compare_interval_ms}
        self._earlier_placements: list[ReplicaPlacement] = []  # lists before, until their keepers were heard
        self._max_requested_members = 0  # the largest number of a list that another keeper went by
        self.storage_failed = False  # what it grants can't be written down
        self._complete = fresh
        self._unheard_replicas = set() if fresh else self._other_replicas()

    def _other_replicas(self) -> set[str]:
        return {name for name in self.placement.replicas if name != self.name}

    # --- whether it may grant -------------------------------------------------------------------

    def max_grant_age_ms(self) -> float:
        """For so long an owner may rest on a grant."""
        return self.settings.max_wait_ms * (1.0 + 2.0 * self.settings.clock_skew)

    def is_complete(self, now_ms: float) -> bool:
        """Whether it knows all that it ever granted and that still counts.

        What it granted in a life before, more than half of a call's keepers hold, so one of the others: it
        has to hear all of them, from a moment on when nobody may rest on those grants any more, as till
        then the other half may still be on its way. Or it waits until all that is over."""
        if self.storage_failed or self._max_requested_members > self.placement.number:
            return False
        if self._complete:
            return True
        if self._earlier_placements:
            # By another list, grants go on until its keepers have heard of this one. Time proves nothing
            # here; that most zones' keepers were heard proves that no majority of them is left.
            unheard = [
                sum(bool(self._unheard_replicas & set(names)) for names in old.by_zone.values())
                for old in self._earlier_placements
            ]
            self._complete = (
                max(unheard) <= self.settings.replica_zones // 2
                and not self._unheard_replicas & self._other_replicas()
            )
        else:
            over_ms = self.claim_store.claim_lifetime_ms() + self.max_grant_age_ms()
            self._complete = not self._unheard_replicas or now_ms - self._since_ms >= over_ms
        if self._complete:
            self._earlier_placements.clear()
        return self._complete

    def mark_complete(self) -> None:
        """A disk had all that it ever granted."""
        self._complete = True
        self._unheard_replicas.clear()

    def mark_incomplete(self, now_ms: float) -> None:
        """A disk that had all turned out to be an older copy: it hears the others, or waits."""
        self._complete, self._since_ms = False, now_ms
        self._unheard_replicas |= self._other_replicas()
        self.state_transfer.start_over()

    def change_placement(self, now_ms: float, placement: ReplicaPlacement) -> None:
        """Another list of members: calls may have come here from other keepers, whom it has to hear."""
        if placement.number <= self.placement.number:
            return
        before, self.placement = self.placement, placement
        if before.by_zone == placement.by_zone:
            return
        self.claim_store.change_placement(now_ms, placement.replicas_of)
        self._earlier_placements.append(before)
        self._complete, self._since_ms = False, now_ms
        self._unheard_replicas = self._other_replicas() | (self._earlier_replicas() - {self.name})
        self.state_transfer.start_over()

    def _earlier_replicas(self) -> set[str]:
        return {name for old in self._earlier_placements for name in old.replicas}

    # --- owners ---------------------------------------------------------------------------------

    def handle_claim_request(self, now_ms: float, sender: str, ask: m.ClaimRequest) -> list[m.Send]:
        """Grant the call, or say who has it."""
        sure = self.is_complete(now_ms) and ask.membership_number == self.placement.number
        if self.name not in self.placement.replicas_of(ask.key):
            self.claim_store.count("no keeper of it")
            sure = False
        entry = self.claim_store.get_or_create(now_ms, ask.key)
        if entry is None:
            return [self._reply(now_ms, ask.owner, ask.number, ask.key, None, False, False)]
        if (ask.owner, ask.number) in entry.claims:
            self.claim_store.count("asked again")
            return []
        if len(entry.claims) >= ASKS_MOST:
            self.claim_store.count("too many asks")
            sure = False
        free = not entry.active_claims()
        if free and sure:
            claim = Claim(ask.owner, ask.number, ask.number, ask.bucket, ClaimPhase.GRANTED)
            self.claim_store.merge(now_ms, ask.key, entry, claim, self.claim_store.claim_lifetime_ms(ask.key))
            entry.waiters.pop(ask.owner, None)
        elif not free and (
            ask.owner in entry.waiters or len(entry.waiters) < self.settings.limits.max_waiters
        ):
            entry.waiters[ask.owner] = ask.number
        return [self._reply(now_ms, ask.owner, ask.number, ask.key, entry, free and sure, sure or not free)]

    def _reply(
        self,
        now_ms: float,
        owner: str,
        number: int,
        key: str,
        entry: CallEntry | None,
        granted: bool,
        sure: bool,
    ) -> m.Send:
        claims = (
            [c for c in entry.active_claims() if c.claim_id != (owner, number)][:CLAIMS_MOST] if entry else []
        )
        word = m.ClaimReply(
            key=key,
            owner=owner,
            request_number=number,
            granted=granted,
            complete=sure,
            claims=tuple(claims),
            live_owners=tuple(sorted({claim.owner for claim in claims} & self.live_owners)),
            age_ms=now_ms - entry.created_ms if claims else 0.0,
        )
        return m.Send((owner.partition("#")[0],), word)

    def handle_claim_update(self, now_ms: float, sender: str, tell: m.ClaimUpdate) -> list[m.Send]:
        """An owner's later word. It is taken also where the ask never came: it says no less."""
        if tell.claim.phase is ClaimPhase.RELEASED and tell.key not in self.claim_store.calls:
            return []
        entry = self.claim_store.get_or_create(now_ms, tell.key)
        if entry is None:
            return []
        crowded = len(entry.claims) >= ASKS_MOST and tell.claim.claim_id not in entry.claims
        if crowded and tell.claim.phase is ClaimPhase.RELEASED:  # not granted here, it stands in nobody's way
            return []
        self.claim_store.merge(
            now_ms, tell.key, entry, tell.claim, self.claim_store.claim_lifetime_ms(tell.key)
        )
        return self._notify_waiters(now_ms, tell.key, entry)

    def _notify_waiters(self, now_ms: float, key: str, entry: CallEntry) -> list[m.Send]:
        """To those that wait: how the call stands now."""
        found: list[m.Send] = []
        for owner, number in list(entry.waiters.items()):
            if owner not in self.live_owners:
                del entry.waiters[owner]
                continue
            found.append(self._reply(now_ms, owner, number, key, entry, granted=False, sure=True))
            if not any(claim.phase is ClaimPhase.GRANTED for claim in entry.active_claims()):
                del entry.waiters[owner]  # nothing more will come
        return found

    def change_live_owners(self, now_ms: float, alive: set[str]) -> list[m.Send]:
        """Which owners are heard now; those that wait for one that is gone are told."""
        gone, self.live_owners = self.live_owners - alive, set(alive)
        found: list[m.Send] = []
        if gone:
            for key, entry in self.claim_store.calls.items():
                if entry.waiters and gone & {owner for owner, _ in entry.claims}:
                    found += self._notify_waiters(now_ms, key, entry)
        return found

    # --- among keepers --------------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[m.Send]:
        """Whatever is due: what is over goes, pieces are told, what is missing is wanted, and compared."""
        found: list[m.Send] = []
        if now_ms >= self._due_ms["forget"]:
            self._due_ms["forget"] = now_ms + FORGET_MS
            self.claim_store.remove_expired(now_ms)
        sure = self.is_complete(now_ms)
        if not sure and now_ms - self._since_ms >= self.max_grant_age_ms():
            for name in sorted(self._unheard_replicas):
                found += self.state_transfer.want(now_ms, name, self.placement.number)
        found += self.state_transfer.pieces(now_ms, sure)
        if now_ms >= self._due_ms["compare"]:
            self._due_ms["compare"] = now_ms + self.settings.compare_interval_ms
            for name in sorted(self._other_replicas()):
                found.append(m.Send((name,), m.StoreDigests(self.claim_store.bucket_digests(now_ms, name))))
        return found

    def due_ms(self, now_ms: float) -> float:
        due = min(self._due_ms.values())
        return min(due, self.state_transfer.due_ms) if self.state_transfer.busy else due

    def handle_state_request(self, now_ms: float, sender: str, want: m.StateRequest) -> list[m.Send]:
        """Another keeper wants what is here. One that goes by a later list has all, and nothing is granted
        by the earlier one any more."""
        ahead = want.membership_number > self.placement.number
        self._max_requested_members = max(self._max_requested_members, want.membership_number)
        if not ahead and sender not in self.placement.replicas and sender not in self._earlier_replicas():
            self.claim_store.count("want of no keeper")
            return []
        self.state_transfer.wanted(sender, want, lambda keepers: ahead or sender in keepers)
        return []

    def handle_state_chunk(self, now_ms: float, sender: str, piece: m.StateChunk) -> list[m.Send]:
        found: list[m.Send] = []

        def take(held: m.StoredClaim) -> bool:
            entry = self.claim_store.get_or_create(now_ms, held.key)
            if entry is not None:
                self.claim_store.merge(now_ms, held.key, entry, held.claim, held.remaining_ms)
                found.extend(self._notify_waiters(now_ms, held.key, entry))
            return entry is not None

        if self.state_transfer.piece(now_ms, sender, piece, take):
            self._unheard_replicas.discard(sender)
        return found

    def handle_store_digests(self, now_ms: float, sender: str, digests: m.StoreDigests) -> list[m.Send]:
        if sender not in self.placement.replicas:
            self.claim_store.count("digests of no keeper")
            return []
        return self.state_transfer.compare(now_ms, sender, digests, self.placement.number)
