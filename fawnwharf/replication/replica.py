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
        self.shelf = ClaimStore(settings, placement.of)
        self.catchup = StateTransfer(settings, self.shelf, life)
        self.alive: set[str] = set()  # owners that are heard
        self._since_ms = now_ms
        self._due = {"forget": now_ms, "compare": now_ms + settings.compare_ms}
        self._olds: list[ReplicaPlacement] = []  # lists before, until their keepers were heard
        self._behind = 0  # the largest number of a list that another keeper went by
        self.broken = False  # what it grants can't be written down
        self._sure = fresh
        self._missing = set() if fresh else self._others()

    def _others(self) -> set[str]:
        return {name for name in self.placement.keepers if name != self.name}

    # --- whether it may grant -------------------------------------------------------------------

    def lapse_ms(self) -> float:
        """For so long an owner may rest on a grant."""
        return self.settings.wait_most_ms * (1.0 + 2.0 * self.settings.skew)

    def sure(self, now_ms: float) -> bool:
        """Whether it knows all that it ever granted and that still counts.

        What it granted in a life before, more than half of a call's keepers hold, so one of the others: it
        has to hear all of them, from a moment on when nobody may rest on those grants any more, as till
        then the other half may still be on its way. Or it waits until all that is over."""
        if self.broken or self._behind > self.placement.number:
            return False
        if self._sure:
            return True
        if self._olds:
            # By another list, grants go on until its keepers have heard of this one. Time proves nothing
            # here; that most zones' keepers were heard proves that no majority of them is left.
            unheard = [
                sum(bool(self._missing & set(names)) for names in old.by_zone.values()) for old in self._olds
            ]
            self._sure = max(unheard) <= self.settings.zones // 2 and not self._missing & self._others()
        else:
            over_ms = self.shelf.stretched() + self.lapse_ms()
            self._sure = not self._missing or now_ms - self._since_ms >= over_ms
        if self._sure:
            self._olds.clear()
        return self._sure

    def knows_all(self) -> None:
        """A disk had all that it ever granted."""
        self._sure = True
        self._missing.clear()

    def forgot(self, now_ms: float) -> None:
        """A disk that had all turned out to be an older copy: it hears the others, or waits."""
        self._sure, self._since_ms = False, now_ms
        self._missing |= self._others()
        self.catchup.start_over()

    def move(self, now_ms: float, placement: ReplicaPlacement) -> None:
        """Another list of members: calls may have come here from other keepers, whom it has to hear."""
        if placement.number <= self.placement.number:
            return
        before, self.placement = self.placement, placement
        if before.by_zone == placement.by_zone:
            return
        self.shelf.placed_anew(now_ms, placement.of)
        self._olds.append(before)
        self._sure, self._since_ms = False, now_ms
        self._missing = self._others() | (self._earlier() - {self.name})
        self.catchup.start_over()

    def _earlier(self) -> set[str]:
        return {name for old in self._olds for name in old.keepers}

    # --- owners ---------------------------------------------------------------------------------

    def ask(self, now_ms: float, sender: str, ask: m.ClaimRequest) -> list[m.Send]:
        """Grant the call, or say who has it."""
        sure = self.sure(now_ms) and ask.members == self.placement.number
        if self.name not in self.placement.of(ask.key):
            self.shelf.count("no keeper of it")
            sure = False
        entry = self.shelf.entry(now_ms, ask.key)
        if entry is None:
            return [self._word(now_ms, ask.owner, ask.number, ask.key, None, False, False)]
        if (ask.owner, ask.number) in entry.claims:
            self.shelf.count("asked again")
            return []
        if len(entry.claims) >= ASKS_MOST:
            self.shelf.count("too many asks")
            sure = False
        free = not entry.standing()
        if free and sure:
            claim = Claim(ask.owner, ask.number, ask.number, ask.slot, ClaimPhase.TAKEN)
            self.shelf.put(now_ms, ask.key, entry, claim, self.shelf.stretched(ask.key))
            entry.waiters.pop(ask.owner, None)
        elif not free and (ask.owner in entry.waiters or len(entry.waiters) < self.settings.bounds.waiters):
            entry.waiters[ask.owner] = ask.number
        return [self._word(now_ms, ask.owner, ask.number, ask.key, entry, free and sure, sure or not free)]

    def _word(
        self,
        now_ms: float,
        owner: str,
        number: int,
        key: str,
        entry: CallEntry | None,
        granted: bool,
        sure: bool,
    ) -> m.Send:
        claims = [c for c in entry.standing() if c.id != (owner, number)][:CLAIMS_MOST] if entry else []
        word = m.ClaimReply(
            key=key,
            owner=owner,
            number=number,
            granted=granted,
            sure=sure,
            claims=tuple(claims),
            alive=tuple(sorted({claim.owner for claim in claims} & self.alive)),
            age_ms=now_ms - entry.first_ms if claims else 0.0,
        )
        return m.Send((owner.partition("#")[0],), word)

    def tell(self, now_ms: float, sender: str, tell: m.ClaimUpdate) -> list[m.Send]:
        """An owner's later word. It is taken also where the ask never came: it says no less."""
        if tell.claim.phase is ClaimPhase.CLEAR and tell.key not in self.shelf.calls:
            return []
        entry = self.shelf.entry(now_ms, tell.key)
        if entry is None:
            return []
        crowded = len(entry.claims) >= ASKS_MOST and tell.claim.id not in entry.claims
        if crowded and tell.claim.phase is ClaimPhase.CLEAR:  # not granted here, it stands in nobody's way
            return []
        self.shelf.put(now_ms, tell.key, entry, tell.claim, self.shelf.stretched(tell.key))
        return self._news(now_ms, tell.key, entry)

    def _news(self, now_ms: float, key: str, entry: CallEntry) -> list[m.Send]:
        """To those that wait: how the call stands now."""
        found: list[m.Send] = []
        for owner, number in list(entry.waiters.items()):
            if owner not in self.alive:
                del entry.waiters[owner]
                continue
            found.append(self._word(now_ms, owner, number, key, entry, granted=False, sure=True))
            if not any(claim.phase is ClaimPhase.TAKEN for claim in entry.standing()):
                del entry.waiters[owner]  # nothing more will come
        return found

    def owners(self, now_ms: float, alive: set[str]) -> list[m.Send]:
        """Which owners are heard now; those that wait for one that is gone are told."""
        gone, self.alive = self.alive - alive, set(alive)
        found: list[m.Send] = []
        if gone:
            for key, entry in self.shelf.calls.items():
                if entry.waiters and gone & {owner for owner, _ in entry.claims}:
                    found += self._news(now_ms, key, entry)
        return found

    # --- among keepers --------------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[m.Send]:
        """Whatever is due: what is over goes, pieces are told, what is missing is wanted, and compared."""
        found: list[m.Send] = []
        if now_ms >= self._due["forget"]:
            self._due["forget"] = now_ms + FORGET_MS
            self.shelf.forget(now_ms)
        sure = self.sure(now_ms)
        if not sure and now_ms - self._since_ms >= self.lapse_ms():
            for name in sorted(self._missing):
                found += self.catchup.want(now_ms, name, self.placement.number)
        found += self.catchup.pieces(now_ms, sure)
        if now_ms >= self._due["compare"]:
            self._due["compare"] = now_ms + self.settings.compare_ms
            for name in sorted(self._others()):
                found.append(m.Send((name,), m.StoreDigests(self.shelf.slots(now_ms, name))))
        return found

    def due_ms(self, now_ms: float) -> float:
        due = min(self._due.values())
        return min(due, self.catchup.due_ms) if self.catchup.busy else due

    def want(self, now_ms: float, sender: str, want: m.StateRequest) -> list[m.Send]:
        """Another keeper wants what is here. One that goes by a later list has all, and nothing is granted
        by the earlier one any more."""
        ahead = want.members > self.placement.number
        self._behind = max(self._behind, want.members)
        if not ahead and sender not in self.placement.keepers and sender not in self._earlier():
            self.shelf.count("want of no keeper")
            return []
        self.catchup.wanted(sender, want, lambda keepers: ahead or sender in keepers)
        return []

    def piece(self, now_ms: float, sender: str, piece: m.StateChunk) -> list[m.Send]:
        found: list[m.Send] = []

        def take(held: m.StoredClaim) -> bool:
            entry = self.shelf.entry(now_ms, held.key)
            if entry is not None:
                self.shelf.put(now_ms, held.key, entry, held.claim, held.left_ms)
                found.extend(self._news(now_ms, held.key, entry))
            return entry is not None

        if self.catchup.piece(now_ms, sender, piece, take):
            self._missing.discard(sender)
        return found

    def digests(self, now_ms: float, sender: str, digests: m.StoreDigests) -> list[m.Send]:
        if sender not in self.placement.keepers:
            self.shelf.count("digests of no keeper")
            return []
        return self.catchup.compare(now_ms, sender, digests, self.placement.number)
