"""One owner: how it gets a call for itself before it runs it, and what it makes of others' claims.

Pure; times are milliseconds of its own clock. A call is asked of its keepers and goes when more than half of
them granted it within `wait_ms`; a grant is never rested on for longer, so that a keeper that forgot it knows
when it is safe to grant anew. If that can't be, the call is another's, or nobody knows: then it is joined,
answered from what was kept, failed or refused, and whatever was granted is given back.
"""

from dataclasses import dataclass, field

import msgspec
from msgspec import Struct

from fawnwharf.interface import Effect
from fawnwharf.replication import messages as m
from fawnwharf.replication.claims import (
    CallState,
    Claim,
    ClaimPhase,
    ClaimSummary,
    merge_claims,
    summarize_claims,
)
from fawnwharf.replication.placement import ReplicaPlacement, rendezvous_weight
from fawnwharf.replication.settings import ReplicationSettings

OPEN_MOST = 20_000
SLOT_MS = 1_000.0
PUSHBACK_MS = (120.0, 400.0)  # for one that met another's ask: spread, so that they do not meet again
DEDUP_MARGIN_MS = 300.0  # a keyed repeat has to reach the scorers so long before their window ends


# --- effects --------------------------------------------------------------------------------


class RunCall(Struct, frozen=True):
    """Run it. `kept`: more than half of its keepers know that it may run."""

    key: str
    claimed: bool


class AnswerCall(Struct, frozen=True):
    """It was answered before, with this; None: with something that is not kept."""

    key: str
    answer: str | None


class FailCall(Struct, frozen=True):
    """It may have run, and what came of it is not known."""

    key: str
    reason: str


class RejectCall(Struct, frozen=True):
    """It did not run here, and may be asked again after `pushback_ms`."""

    key: str
    pushback_ms: float
    reason: str


OwnerAction = m.Send | RunCall | AnswerCall | FailCall | RejectCall


@dataclass(slots=True)
class OwnedCall:
    """One call that this owner has asked for."""

    key: str
    effect: Effect
    request_number: int
    requested_ms: float
    wait_ms: float
    deadline_ms: float  # of the client
    bucket: int
    dedup_ms: float
    claim_required: bool  # it goes only when it is kept
    replicas: tuple[str, ...]
    replies: dict[str, m.ClaimReply] = field(default_factory=dict)
    state: str = "asking"  # held until a grant is on disk, going, waiting for another's, over
    claimed: bool = False


class CallOwner:
    """Owns this front end's claims, by key."""

    def __init__(self, owner: str, placement: ReplicaPlacement, settings: ReplicationSettings) -> None:
        self.owner_id, self.placement, self.settings = owner, placement, settings
        self.calls: dict[str, OwnedCall] = {}
        self.counts: dict[str, int] = {}
        self._numbers = 0

    def _count(self, cause: str) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + 1

    def _number(self) -> int:
        self._numbers += 1
        return self._numbers

    # --- a call comes ---------------------------------------------------------------------------

    def begin(
        self,
        now_ms: float,
        key: str,
        effect: Effect,
        promise_ms: float,
        budget_ms: float,
        dedup_ms: float = 0.0,
        must: bool = True,
    ) -> list[OwnerAction]:
        """Ask for a call; `must`: it may run only when that is kept. Keys must not be under way here."""
        if len(self.calls) >= OPEN_MOST:
            self._count("too many")
            return [RejectCall(key, self._spread(key), "too many")] if must else [RunCall(key, False)]
        wait = min(self.settings.max_wait_ms, self.settings.wait_fraction * promise_ms)
        mine = OwnedCall(
            key=key,
            effect=effect,
            request_number=self._number(),
            requested_ms=now_ms,
            wait_ms=wait,
            deadline_ms=now_ms + budget_ms,
            bucket=int(now_ms / SLOT_MS),
            dedup_ms=dedup_ms,
            claim_required=must,
            replicas=self.placement.replicas_of(key),
        )
        self.calls[key] = mine
        self._count("asked")
        ask = m.ClaimRequest(key, self.owner_id, mine.request_number, self.placement.number, mine.bucket)
        if must:
            return [m.Send(mine.replicas, ask)]
        mine.state = "going"
        return [RunCall(key, False), m.Send(mine.replicas, ask)]

    def receive_reply(self, now_ms: float, sender: str, word: m.ClaimReply) -> list[OwnerAction]:
        """A keeper's answer, or its news."""
        mine = self.calls.get(word.key)
        if mine is None or word.owner != self.owner_id or word.request_number != mine.request_number:
            self._count("a word on nothing")
            return []
        if sender not in mine.replicas:
            self._count("a word of no keeper")
            return []
        mine.replies[sender] = word
        if mine.state == "asking":
            return self._weigh(now_ms, mine)
        if mine.state == "going":
            return self._early(mine)
        if mine.state == "waiting":
            return self._look(now_ms, mine)
        return []

    # --- where grants are on disk later than they are made ----------------------------------------

    def hold(self, key: str) -> None:
        """A call that may go waits until its own keeper's grant is on disk. Who leaves meanwhile gives it
        back."""
        self.calls[key].state = "held"

    def release(self, key: str, number: int) -> bool:
        """It goes now; False: it is not there any more."""
        mine = self.calls.get(key)
        if mine is None or (mine.request_number, mine.state) != (number, "held"):
            return False
        mine.state = "going"
        return True

    def revoke_grant(self, now_ms: float, key: str, number: int, keeper: str) -> list[OwnerAction]:
        """What its own keeper granted does not count: the others' words are weighed alone."""
        mine = self.calls.get(key)
        if mine is None or mine.request_number != number or mine.state not in ("asking", "held"):
            return []
        if (word := mine.replies.get(keeper)) is None:
            return []
        mine.replies[keeper] = msgspec.structs.replace(word, granted=False, complete=False)
        mine.state, mine.claimed = "asking", False
        return self._weigh(now_ms, mine)

    def _weigh(self, now_ms: float, mine: OwnedCall) -> list[OwnerAction]:
        """Whether it may go, may never, or has to wait for more words."""
        enough = len(mine.replicas) // 2 + 1
        granted = sum(word.granted for word in mine.replies.values())
        if granted >= enough and now_ms - mine.requested_ms <= mine.wait_ms:
            mine.state, mine.claimed = "going", True
            self._count("kept")
            return [RunCall(mine.key, True)]
        denied = sum(not word.granted for word in mine.replies.values())
        open_yet = len(mine.replicas) - denied >= enough and now_ms - mine.requested_ms <= mine.wait_ms
        if open_yet and self._reading(mine).state is not CallState.ANSWERED:
            return []
        return self._not_mine(now_ms, mine)

    def _not_mine(self, now_ms: float, mine: OwnedCall) -> list[OwnerAction]:
        """Others have it, or too few keepers answer."""
        found = self._reading(mine)
        if found.state is not CallState.FREE:
            return [*self._give_back(mine), *self._others(now_ms, mine, found)]
        denied = any(not word.granted and not word.complete for word in mine.replies.values())
        why = "keepers are not sure" if denied else "too few keepers"
        if mine.effect is not Effect.AT_MOST_ONCE or self.settings.on_unclaimed == "serve":
            mine.state = "going"
            self._count(f"not kept: {why}")
            return [RunCall(mine.key, False)]
        self._count(f"turned away: {why}")
        return [*self._give_back(mine), *self._end(mine, RejectCall(mine.key, self._spread(mine.key), why))]

    def _reading(self, mine: OwnedCall) -> ClaimSummary:
        """All that keepers told of others' asks, by their last words."""
        claims: dict[tuple[str, int], Claim] = {}
        alive: set[str] = set()
        for word in mine.replies.values():
            alive |= set(word.live_owners)
            for claim in word.claims:
                if claim.claim_id != (self.owner_id, mine.request_number):
                    claims[claim.claim_id] = merge_claims(claim, claims.get(claim.claim_id, claim))
        return summarize_claims(list(claims.values()), alive)

    def _others(self, now_ms: float, mine: OwnedCall, found: ClaimSummary) -> list[OwnerAction]:
        """What becomes of a call that another owner has, or had."""
        if found.state is CallState.ANSWERED:
            self._count("answered from what was kept")
            return self._end(mine, AnswerCall(mine.key, found.claim.answer))
        if found.state is CallState.RUNNING:
            mine.state = "waiting"
            self._count("joined")
            return []
        if found.state is CallState.CONFLICT:
            self._count("conflict")
            return self._end(mine, FailCall(mine.key, "two answers that differ"))
        age = max((word.age_ms for word in mine.replies.values()), default=0.0)
        if mine.effect is Effect.DEDUPLICATED and age < mine.dedup_ms - mine.wait_ms - DEDUP_MARGIN_MS:
            mine.state = "going"  # the scorers drop it if it ran
            self._count("run again within its window")
            return [RunCall(mine.key, False)]
        self._count("given up: may have run")
        return self._end(mine, FailCall(mine.key, "it may have run"))

    def _look(self, now_ms: float, mine: OwnedCall) -> list[OwnerAction]:
        """News for one that waits for another's call."""
        found = self._reading(mine)
        if found.state is CallState.RUNNING:
            return []
        if found.state is CallState.FREE:  # they gave it back: it never ran
            self._count("turned away: met another's ask")
            return self._end(mine, RejectCall(mine.key, self._spread(mine.key), "met another's ask"))
        return self._others(now_ms, mine, found)

    def _early(self, mine: OwnedCall) -> list[OwnerAction]:
        """One that runs without waiting for keepers: it was answered elsewhere before."""
        found = self._reading(mine)
        if mine.claim_required or found.state is not CallState.ANSWERED or found.claim.answer is None:
            return []
        self._count("answered from what was kept")
        return [*self._give_back(mine), *self._end(mine, AnswerCall(mine.key, found.claim.answer))]

    # --- a call ends ----------------------------------------------------------------------------

    def call_ended(
        self, now_ms: float, key: str, phase: ClaimPhase, digest: str = "", answer: str | None = None
    ) -> list[OwnerAction]:
        """What came of a call that went: its keepers are told."""
        mine = self.calls.pop(key, None)
        if mine is None or mine.state != "going":
            return []
        claim = Claim(self.owner_id, mine.request_number, self._number(), mine.bucket, phase, digest, answer)
        return [m.Send(mine.replicas, m.ClaimUpdate(key, claim))]

    def client_left(self, now_ms: float, key: str) -> list[OwnerAction]:
        """The client is gone before the call went."""
        mine = self.calls.get(key)
        if mine is None or mine.state == "going":
            return []
        return [*self._give_back(mine), *self._end(mine, None)]

    def _give_back(self, mine: OwnedCall) -> list[OwnerAction]:
        """To keepers that granted it, or may yet: who denied it has nothing to forget."""
        to = tuple(name for name in mine.replicas if name not in mine.replies or mine.replies[name].granted)
        if not to:
            return []
        claim = Claim(self.owner_id, mine.request_number, self._number(), mine.bucket, ClaimPhase.RELEASED)
        return [m.Send(to, m.ClaimUpdate(mine.key, claim))]

    def _end(self, mine: OwnedCall, effect: OwnerAction | None) -> list[OwnerAction]:
        mine.state = "over"
        self.calls.pop(mine.key, None)
        return [effect] if effect else []

    def _spread(self, key: str) -> float:
        low, high = PUSHBACK_MS
        return low + (high - low) * (rendezvous_weight(self.owner_id, key, str(self._numbers)) / 2**64)

    # --- time -----------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[OwnerAction]:
        found: list[OwnerAction] = []
        for mine in list(self.calls.values()):
            if mine.state == "asking" and now_ms - mine.requested_ms > mine.wait_ms:
                self._count("waited in vain")
                found += self._not_mine(now_ms, mine)
            elif mine.state == "waiting" and now_ms >= mine.deadline_ms:
                self._count("given up: no news of another's")
                found += self._end(mine, FailCall(mine.key, "no news of it in time"))
        return found

    def due_ms(self) -> float:
        """When `tick` is wanted next; infinite where nothing waits."""
        dues = [
            mine.requested_ms + mine.wait_ms if mine.state == "asking" else mine.deadline_ms
            for mine in self.calls.values()
            if mine.state in ("asking", "waiting")
        ]
        return min(dues, default=float("inf"))
