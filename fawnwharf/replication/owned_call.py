"""One call as its owner sees it: its terms, the replicas' replies, and how far it is. No I/O."""

import math
from dataclasses import dataclass, field
from enum import Enum, auto

from msgspec import UNSET, Struct

from fawnwharf.interface import Effect
from fawnwharf.replication import messages as m
from fawnwharf.replication.claims import (
    CallState,
    Claim,
    ClaimId,
    ClaimSummary,
    RequestContent,
    merge_claims,
    summarize_for_request,
)

DEDUP_MARGIN_MS = 300.0  # a retry must reach the scorers this long before their idempotency window ends
SAME_TIME_MS = (
    1.0  # replies of several replicas about one request differ by less, if their lines take as long
)


class CallTerms(Struct, frozen=True):
    """The requirements of a call's class and client that determine how it is claimed."""

    effect: Effect
    latency_target_ms: float
    budget_ms: float  # until the client's deadline
    dedup_window_ms: float = 0.0  # how long the scorers drop repeats of it
    claim_required: bool = True  # it may run only with a quorum
    content: RequestContent = UNSET  # what it asks for


class CallProgress(Enum):
    """The progress of a call at its owner."""

    REQUESTED = auto()
    PERSISTING = auto()  # a quorum granted it, but the local replica's grant is not on disk yet
    RUNNING = auto()
    WAITING = auto()  # for the result from another owner
    ENDED = auto()


@dataclass(slots=True)
class OwnedCall:
    """One call that this owner has requested."""

    key: str
    effect: Effect
    request_number: int
    requested_ms: float
    wait_ms: float
    deadline_ms: float  # when its client stops waiting
    bucket: int
    dedup_window_ms: float
    claim_required: bool  # it may run only with a quorum
    replicas: tuple[str, ...]
    content: RequestContent
    replies: dict[str, m.ClaimReply] = field(default_factory=dict)  # the last one of each replica
    progress: CallProgress = CallProgress.REQUESTED
    first_request_ms: float = math.inf  # the first request for it that any replica has had, by any owner
    limited_from_ms: float = math.inf  # the same, as of when the call's run was last limited

    def add_reply(self, now_ms: float, sender: str, reply: m.ClaimReply) -> None:
        """Store a replica's reply, instead of its earlier one."""
        self.replies[sender] = reply
        if reply.claims:
            self.first_request_ms = min(self.first_request_ms, now_ms - reply.age_ms)

    def dedup_window_left_ms(self) -> float:
        """How much longer a repeat is harmless, because the scorers still store the idempotency key.

        Counted from the last reply, or up to `wait_ms` later.
        """
        age_ms = max((reply.age_ms for reply in self.replies.values()), default=0.0)
        return self.dedup_window_ms - age_ms - self.wait_ms - DEDUP_MARGIN_MS

    def limit(self) -> bool:
        """Note that its run is limited by all replies so far; whether that is a new limit."""
        is_new = self.first_request_ms < self.limited_from_ms - SAME_TIME_MS
        self.limited_from_ms = min(self.limited_from_ms, self.first_request_ms)
        return is_new

    def accepts_grants(self, now_ms: float) -> bool:
        """Whether grants that arrive now still count."""
        return now_ms - self.requested_ms <= self.wait_ms

    def may_learn_content(self, summary: ClaimSummary) -> bool:
        """Whether a replica that has not replied yet may know the content of the claim that decides."""
        if summary.state is not CallState.UNKNOWN or summary.claim is None or self.content is UNSET:
            return False
        return summary.claim.content is UNSET and len(self.replies) < len(self.replicas)

    def summary(self, owner_id: str) -> ClaimSummary:
        """Summarize the other requests' claims in the latest replies of all replicas."""
        claims: dict[ClaimId, Claim] = {}
        live_owners: set[str] = set()
        for reply in self.replies.values():
            live_owners |= set(reply.live_owners)
            for claim in reply.claims:
                if claim.claim_id != (owner_id, self.request_number):
                    claims[claim.claim_id] = merge_claims(claim, claims.get(claim.claim_id, claim))
        return summarize_for_request(list(claims.values()), live_owners, self.content)
