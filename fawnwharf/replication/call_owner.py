"""The owner of calls: how a front end claims a call before running it and reacts to others' claims.

No I/O. Times are milliseconds of this front end's own clock. The owner requests a call from the call's
replicas and runs it when a quorum of them grants it within `wait_ms`. Owners ignore grants that arrive later,
so a replica that has lost its state knows when it may grant again. Without a quorum, either another front end
owns the call or its state is unknown. The call then waits for the running one, is answered from a stored
answer, fails, or is rejected, and the owner releases the grants that it received.
"""

import math
from collections import Counter
from collections.abc import Iterable

import msgspec
from msgspec import Struct

from fawnwharf.interface import Effect
from fawnwharf.replication import messages as m
from fawnwharf.replication.claims import (
    CallState,
    Claim,
    ClaimPhase,
    ClaimSummary,
)
from fawnwharf.replication.counters import ReplicationCounter
from fawnwharf.replication.owned_call import CallProgress, CallTerms, OwnedCall
from fawnwharf.replication.placement import ReplicaPlacement, rendezvous_weight
from fawnwharf.replication.settings import ReplicationSettings

MAX_OPEN_CALLS = 20_000
BUCKET_MS = 1_000.0
PUSHBACK_RANGE_MS = (120.0, 400.0)  # jittered, so that two concurrent requests do not collide again


# --- actions --------------------------------------------------------------------------------


class RunCall(Struct, frozen=True):
    """Run the call; `claimed` is true if a quorum of its replicas has granted it.

    `window_ms`: an earlier attempt may have run, so no attempt may begin later than this from now.
    """

    key: str
    claimed: bool
    window_ms: float = math.inf


class LimitRun(Struct, frozen=True):
    """An earlier attempt of a running call may have run: none may begin later than `window_ms` from now."""

    key: str
    window_ms: float


class AnswerCall(Struct, frozen=True):
    """Reply with the stored answer of an earlier run; None if that answer is not stored."""

    key: str
    answer: str | None


class FailCall(Struct, frozen=True):
    """Fail the call: it may have run, and its result is unknown."""

    key: str
    reason: str


class RejectCall(Struct, frozen=True):
    """Reject the call: it did not run here, and the client may retry after `pushback_ms`."""

    key: str
    pushback_ms: float
    reason: str


OwnerAction = m.Send | RunCall | LimitRun | AnswerCall | FailCall | RejectCall


class CallOwner:
    """Manages this front end's open calls, by key."""

    def __init__(self, owner_id: str, placement: ReplicaPlacement, settings: ReplicationSettings) -> None:
        self.owner_id, self.placement, self.settings = owner_id, placement, settings
        self.calls: dict[str, OwnedCall] = {}
        self.counts: Counter[ReplicationCounter] = Counter()
        self._last_number = 0

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    # --- a call begins ------------------------------------------------------------------------

    def begin(self, now_ms: float, key: str, terms: CallTerms) -> list[OwnerAction]:
        """Request a call; a call with this key must not be open here."""
        if len(self.calls) >= MAX_OPEN_CALLS:
            self.counts[ReplicationCounter.REJECTED_TOO_MANY_OPEN] += 1
            if terms.claim_required:
                return [RejectCall(key, self._jittered_pushback_ms(key), "too many open calls")]
            return [RunCall(key, claimed=False)]
        call = OwnedCall(
            key=key,
            effect=terms.effect,
            request_number=self._next_number(),
            requested_ms=now_ms,
            wait_ms=min(self.settings.max_wait_ms, self.settings.wait_fraction * terms.latency_target_ms),
            deadline_ms=now_ms + terms.budget_ms,
            bucket=int(now_ms / BUCKET_MS),
            dedup_window_ms=terms.dedup_window_ms,
            claim_required=terms.claim_required,
            replicas=self.placement.replicas_of(key),
            content=terms.content,
        )
        self.calls[key] = call
        self.counts[ReplicationCounter.CALLS_REQUESTED] += 1
        request = m.ClaimRequest(
            key, self.owner_id, call.request_number, self.placement.number, call.bucket, call.content
        )
        send = m.Send(call.replicas, request)
        if terms.claim_required:
            return [send]
        call.progress = CallProgress.RUNNING
        return [RunCall(key, claimed=False), send]

    def receive_reply(self, now_ms: float, sender: str, reply: m.ClaimReply) -> list[OwnerAction]:
        """Handle a replica's reply to a request, or its update on a call that waits for another owner."""
        call = self.calls.get(reply.key)
        if call is None or reply.owner != self.owner_id or reply.request_number != call.request_number:
            self.counts[ReplicationCounter.REPLIES_WITHOUT_REQUEST] += 1
            return []
        if sender not in call.replicas:
            self.counts[ReplicationCounter.REPLIES_NOT_FROM_REPLICA] += 1
            return []
        call.add_reply(now_ms, sender, reply)
        if call.progress is CallProgress.REQUESTED:
            return self._evaluate(now_ms, call)
        if call.progress is CallProgress.RUNNING:
            return self._check_answered_elsewhere(call) or self._limit_run(call)
        if call.progress is CallProgress.WAITING:
            return self._check_other_owner(call)
        return []

    # --- grants that are stored asynchronously --------------------------------------------------

    def hold(self, key: str) -> None:
        """Delay a claimed call until the local replica's grant is on disk."""
        self.calls[key].progress = CallProgress.PERSISTING

    def release(self, key: str, number: int) -> bool:
        """Let a delayed call run; False if it is no longer open."""
        call = self.calls.get(key)
        if call is None or call.request_number != number or call.progress is not CallProgress.PERSISTING:
            return False
        call.progress = CallProgress.RUNNING
        return True

    def revoke_grant(self, now_ms: float, key: str, number: int, replica: str) -> list[OwnerAction]:
        """Reevaluate a call without the local replica's grant, which could not be stored."""
        call = self.calls.get(key)
        if call is None or call.request_number != number:
            return []
        if call.progress not in (CallProgress.REQUESTED, CallProgress.PERSISTING):
            return []
        if (reply := call.replies.get(replica)) is None:
            return []
        call.replies[replica] = msgspec.structs.replace(reply, granted=False, complete=False)
        call.progress = CallProgress.REQUESTED
        return self._evaluate(now_ms, call)

    # --- evaluation ---------------------------------------------------------------------------

    def _evaluate(self, now_ms: float, call: OwnedCall) -> list[OwnerAction]:
        """Run the call, give up its claim, or wait for more replies."""
        quorum = len(call.replicas) // 2 + 1
        in_time = call.accepts_grants(now_ms)
        granted = sum(reply.granted for reply in call.replies.values())
        if granted >= quorum and in_time:
            call.progress = CallProgress.RUNNING
            self.counts[ReplicationCounter.CALLS_CLAIMED] += 1
            return [RunCall(call.key, claimed=True)]
        denied = sum(not reply.granted for reply in call.replies.values())
        quorum_possible = len(call.replicas) - denied >= quorum and in_time
        summary = call.summary(self.owner_id)
        if quorum_possible and summary.state is not CallState.ANSWERED:
            return []
        if in_time and call.may_learn_content(summary):
            return []
        return self._continue_unclaimed(call)

    def _continue_unclaimed(self, call: OwnedCall) -> list[OwnerAction]:
        """Proceed without a quorum: other owners have the call, or too few replicas granted it."""
        summary = call.summary(self.owner_id)
        if summary.state is not CallState.FREE:
            return [*self._release_grants(call), *self._follow_others(call, summary)]
        incomplete = any(not reply.granted and not reply.complete for reply in call.replies.values())
        if call.effect is not Effect.AT_MOST_ONCE or self.settings.on_unclaimed == "serve":
            self.counts[
                ReplicationCounter.UNCLAIMED_INCOMPLETE
                if incomplete
                else ReplicationCounter.UNCLAIMED_TOO_FEW
            ] += 1
            call.progress = CallProgress.RUNNING
            return [RunCall(call.key, claimed=False)]
        self.counts[
            ReplicationCounter.REJECTED_INCOMPLETE if incomplete else ReplicationCounter.REJECTED_TOO_FEW
        ] += 1
        reason = "replicas are incomplete" if incomplete else "too few replicas"
        return [*self._release_grants(call), *self._reject(call, reason)]

    def _follow_others(self, call: OwnedCall, summary: ClaimSummary) -> list[OwnerAction]:
        """Handle a call that another owner has claimed or has finished."""
        if summary.state is CallState.ANSWERED:
            return self._answer(call, summary.answer)
        if summary.state is CallState.RUNNING:
            call.progress = CallProgress.WAITING
            self.counts[ReplicationCounter.CALLS_JOINED] += 1
            return []
        if summary.state is CallState.CONFLICT:
            return self._fail(call, ReplicationCounter.FAILED_CONFLICT, "two different answers")
        if summary.state is CallState.KEY_IN_USE:
            self.counts[ReplicationCounter.REJECTED_KEY_IN_USE] += 1
            return self._reject(call, "its key is in use by a request with other content")
        window_ms = call.dedup_window_left_ms()
        if call.effect is Effect.DEDUPLICATED and window_ms > 0.0:
            call.progress = CallProgress.RUNNING
            call.limit()
            self.counts[ReplicationCounter.CALLS_RETRIED_IN_WINDOW] += 1
            return [RunCall(call.key, claimed=False, window_ms=window_ms)]
        return self._fail(call, ReplicationCounter.FAILED_MAY_HAVE_RUN, "it may have run")

    def _limit_run(self, call: OwnedCall) -> list[OwnerAction]:
        """Limit a deduplicated call that runs without a claim, if another owner may have run it before."""
        may_have_run = call.summary(self.owner_id).state is not CallState.FREE
        if call.effect is not Effect.DEDUPLICATED or not may_have_run or not call.limit():
            return []
        return [LimitRun(call.key, call.dedup_window_left_ms())]

    def _check_other_owner(self, call: OwnedCall) -> list[OwnerAction]:
        """Handle an update on a call that waits for another owner."""
        summary = call.summary(self.owner_id)
        if summary.state is CallState.RUNNING:
            return []
        if summary.state is CallState.FREE:  # the other owner released it without running it
            self.counts[ReplicationCounter.REJECTED_CONCURRENT] += 1
            return self._reject(call, "concurrent request elsewhere")
        return self._follow_others(call, summary)

    def _check_answered_elsewhere(self, call: OwnedCall) -> list[OwnerAction]:
        """Answer a call that runs without a claim if another front end has already answered it."""
        summary = call.summary(self.owner_id)
        if call.claim_required or summary.state is not CallState.ANSWERED or summary.answer is None:
            return []
        return [*self._release_grants(call), *self._answer(call, summary.answer)]

    # --- a call ends --------------------------------------------------------------------------

    def call_ended(
        self, key: str, phase: ClaimPhase, digest: str = "", answer: str | None = None
    ) -> list[OwnerAction]:
        """Report the result of a call that ran to the replicas."""
        call = self.calls.pop(key, None)
        if call is None or call.progress is not CallProgress.RUNNING:
            return []
        return [self._update(call, call.replicas, phase, digest, answer)]

    def client_left(self, key: str) -> list[OwnerAction]:
        """Release a call whose client left before it ran."""
        call = self.calls.get(key)
        if call is None or call.progress is CallProgress.RUNNING:
            return []
        self._close(call)
        return self._release_grants(call)

    def _release_grants(self, call: OwnedCall) -> list[OwnerAction]:
        """Release the call at all replicas except those that denied it, which stored no grant."""
        granting = tuple(
            name for name in call.replicas if name not in call.replies or call.replies[name].granted
        )
        return [self._update(call, granting, ClaimPhase.RELEASED)] if granting else []

    def _update(
        self,
        call: OwnedCall,
        replicas: tuple[str, ...],
        phase: ClaimPhase,
        digest: str = "",
        answer: str | None = None,
    ) -> m.Send:
        number = self._next_number()
        claim = Claim(
            self.owner_id, call.request_number, number, call.bucket, phase, digest, answer, call.content
        )
        return m.Send(replicas, m.ClaimUpdate(call.key, claim))

    def _close(self, call: OwnedCall) -> None:
        call.progress = CallProgress.ENDED
        self.calls.pop(call.key, None)

    def _answer(self, call: OwnedCall, answer: str | None) -> list[OwnerAction]:
        self.counts[ReplicationCounter.CALLS_ANSWERED_FROM_STORE] += 1
        self._close(call)
        return [AnswerCall(call.key, answer)]

    def _fail(self, call: OwnedCall, counter: ReplicationCounter, reason: str) -> list[OwnerAction]:
        self.counts[counter] += 1
        self._close(call)
        return [FailCall(call.key, reason)]

    def _reject(self, call: OwnedCall, reason: str) -> list[OwnerAction]:
        pushback_ms = self._jittered_pushback_ms(call.key)
        self._close(call)
        return [RejectCall(call.key, pushback_ms, reason)]

    def _jittered_pushback_ms(self, key: str) -> float:
        low, high = PUSHBACK_RANGE_MS
        spread = rendezvous_weight(self.owner_id, key, str(self._last_number)) / 2**64
        return low + (high - low) * spread

    # --- time ---------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[OwnerAction]:
        """Proceed with the calls whose wait has timed out."""
        actions: list[OwnerAction] = []
        for call in list(self.calls.values()):
            if call.progress is CallProgress.REQUESTED and not call.accepts_grants(now_ms):
                self.counts[ReplicationCounter.CLAIM_TIMEOUTS] += 1
                actions += self._continue_unclaimed(call)
            elif call.progress is CallProgress.WAITING and now_ms >= call.deadline_ms:
                actions += self._fail(call, ReplicationCounter.FAILED_NO_RESULT, "no result in time")
        return actions

    def due_ms(self) -> float:
        """When `tick` must be called next; infinite if no call waits."""
        return min(self._due_times_ms(), default=float("inf"))

    def _due_times_ms(self) -> Iterable[float]:
        for call in self.calls.values():
            if call.progress is CallProgress.REQUESTED:
                yield call.requested_ms + call.wait_ms
            elif call.progress is CallProgress.WAITING:
                yield call.deadline_ms
