"""Operators' requests, at the front end where they were made and at the leader that carries them out.

This module does no I/O. A front end resends a request until a leader's status reports its outcome. The leader
accepts each request once, and only in the term that the request names: after a partition, the log of a member
may deliver again a request that has had its outcome.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import DocumentError, parse_document
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator

MAX_OUTCOMES = 8  # outcomes of one term that the leader's status lists
MAX_SUBMITTED_REQUESTS = 4  # requests that a front end remembers
ANSWER_TIMEOUT_MS = 10_000.0  # a request without a leader's answer ends after this time


# --- at the front end where they were made ----------------------------------------------------------


@dataclass(slots=True)
class SubmittedRequest:
    """An operator's request that was made at this member."""

    message: m.RequestMessage
    digest: str  # of the requested policy; "": not known
    submitted_ms: float
    outcome: m.RequestOutcome
    term: int = 0  # the term of the leader that reported the outcome
    sent_ms: float = 0.0

    @property
    def is_unanswered(self) -> bool:
        """Whether no leader has reported an outcome yet."""
        return self.outcome.state == "asked"


@dataclass(slots=True)
class SubmittedRequests:
    """Owns the last requests that were made at one member."""

    origin: str  # the member's name
    retry_interval_ms: float  # interval at which an unanswered request is sent again
    requests: deque[SubmittedRequest] = field(default_factory=lambda: deque(maxlen=MAX_SUBMITTED_REQUESTS))

    def __len__(self) -> int:
        return len(self.requests)

    def __iter__(self) -> Iterator[SubmittedRequest]:
        return iter(self.requests)

    def submit(self, now_ms: float, message: m.RequestMessage, digest: str) -> m.Send:
        """Send a request to the leader; `retry` sends it again."""
        outcome = m.RequestOutcome(self.origin, message.request_number, "asked")
        self.requests.append(SubmittedRequest(message, digest, now_ms, outcome, 0, now_ms))
        return m.Send(m.LEADER, message)

    def reject(self, now_ms: float, request_number: int, reason: str) -> None:
        """Record a request that is refused at this member, with the reason."""
        short = reason[: m.MAX_SHORT_TEXT]
        outcome = m.RequestOutcome(self.origin, request_number, "refused", 0, short)
        message = m.Cancel("", 0, request_number)
        self.requests.append(SubmittedRequest(message, "", now_ms, outcome))

    def due_ms(self) -> float | None:
        """The latest time at which `retry` must be called; None if no request waits for an answer."""
        sent = [request.sent_ms for request in self.requests if request.is_unanswered]
        return min(sent) + self.retry_interval_ms if sent else None

    def retry(self, now_ms: float, term: int) -> list[m.Effect]:
        """Resend unanswered requests to the leader of this term; end those past `ANSWER_TIMEOUT_MS`."""
        effects: list[m.Effect] = []
        for request in self.requests:
            if not request.is_unanswered:
                continue
            if now_ms - request.submitted_ms >= ANSWER_TIMEOUT_MS:
                number = request.message.request_number
                request.outcome = m.RequestOutcome(self.origin, number, "ended", 0, "no leader answered")
            elif now_ms - request.sent_ms >= self.retry_interval_ms:
                request.sent_ms = now_ms
                request.message = msgspec.structs.replace(request.message, term=term)
                effects.append(m.Send(m.LEADER, request.message))
        return effects

    def record_outcomes(self, leader: m.MemberStatus) -> None:
        """Update the requests' outcomes from a leader's status."""
        reported = {
            outcome.request_number: outcome
            for outcome in leader.leader_outcomes
            if outcome.origin == self.origin
        }
        for request in self.requests:
            if leader.term < request.term:
                continue
            outcome = reported.get(request.message.request_number)
            if outcome is not None:
                request.outcome = outcome
                request.term = leader.term
            elif leader.term > request.term:
                request.outcome = _outcome_under_next_leader(request, leader)


def _outcome_under_next_leader(request: SubmittedRequest, leader: m.MemberStatus) -> m.RequestOutcome:
    """The outcome of a request, last reported by an earlier leader, according to the new leader's status."""
    last = request.outcome
    if last.state not in ("preparing", "decided"):
        return last
    is_same = last.state == "decided" or leader.digest == request.digest
    if leader.number >= last.number and is_same:
        return msgspec.structs.replace(last, state="in force" if leader.is_in_force else "decided")
    reason = "its leader was replaced before it was decided"
    return msgspec.structs.replace(last, state="ended", reason=reason)


# --- at the leader ------------------------------------------------------------------------------


@dataclass(slots=True)
class LeaderRequests:
    """Owns the outcomes of the requests that a leader accepted in its term."""

    outcomes: deque[m.RequestOutcome] = field(default_factory=lambda: deque(maxlen=MAX_OUTCOMES))
    # The number of the last request from each front end, by its name.
    latest_request_number: dict[str, int] = field(default_factory=dict)

    def clear(self) -> None:
        """Forget all requests, at the end of a term."""
        self.outcomes.clear()
        self.latest_request_number.clear()

    def receive(
        self, now_ms: float, origin: str, message: m.RequestMessage, coordinator: RolloutCoordinator
    ) -> list[m.Effect]:
        """Carry out a request; a duplicate has no effect."""
        if message.request_number <= self.latest_request_number.get(origin, 0):
            return []
        self.latest_request_number[origin] = message.request_number
        match message:
            case m.Cancel():
                return self._cancel(origin, message, coordinator)
            case m.Rollback():
                return self._roll_back(now_ms, origin, message, coordinator)
            case m.Propose():
                return self._propose(now_ms, origin, message, message.text, coordinator)

    def _cancel(self, origin: str, message: m.Cancel, coordinator: RolloutCoordinator) -> list[m.Effect]:
        number = coordinator.proposal.number if coordinator.proposal else 0
        effects: list[m.Effect]
        if message.number not in (0, number):
            reason = f"{message.number} is not being prepared"
            effects = [m.RolloutLogEvent("rejected", {"reason": reason})]
        else:
            effects = coordinator.cancel(message.reason)
        rejected = _first_event(effects, "rejected")
        if rejected is not None:
            self._add(origin, message, "refused", number, rejected.fields["reason"])
        else:
            self._add(origin, message, "ended", number, "cancelled")
        return effects

    def _roll_back(
        self, now_ms: float, origin: str, message: m.Rollback, coordinator: RolloutCoordinator
    ) -> list[m.Effect]:
        last, before = coordinator.register.last, coordinator.register.before
        if before is not None and message.number == last.number:
            return self._propose(now_ms, origin, message, before.encode(), coordinator)
        reason = "there is none before it"
        if before is not None:
            reason = f"{last.number} is the last, not {message.number}"
        self._add(origin, message, "refused", 0, reason)
        return [m.RolloutLogEvent("rejected", {"reason": reason})]

    def _propose(
        self,
        now_ms: float,
        origin: str,
        message: m.RequestMessage,
        text: str,
        coordinator: RolloutCoordinator,
    ) -> list[m.Effect]:
        if _is_last_decision(text, coordinator):
            # An earlier leader carried out the request, or it changes nothing.
            state: m.RequestState = "in force" if coordinator.is_in_force else "decided"
            self._add(origin, message, state, coordinator.register.last.number)
            return []
        effects = coordinator.propose(now_ms, text)
        prepare = _first_event(effects, "prepare")
        rejected = _first_event(effects, "rejected")
        if prepare is not None:
            self._add(origin, message, "preparing", prepare.fields["number"])
        elif rejected is not None:
            self._add(origin, message, "refused", 0, rejected.fields["reason"])
        return effects

    def _add(
        self, origin: str, message: m.RequestMessage, state: m.RequestState, number: int, reason: str = ""
    ) -> None:
        short = reason[: m.MAX_SHORT_TEXT]
        self.outcomes.append(m.RequestOutcome(origin, message.request_number, state, number, short))

    def record_event(self, event: m.RolloutLogEvent) -> None:
        """Update the outcomes of requests from a log event of the coordinator."""
        state = event.event
        if state not in ("ended", "decided", "in force"):
            return
        for index, outcome in enumerate(self.outcomes):
            if outcome.number == event.fields["number"] and outcome.state not in m.FINAL_STATES:
                reason = str(event.fields.get("reason", ""))[: m.MAX_SHORT_TEXT]
                self.outcomes[index] = msgspec.structs.replace(outcome, state=state, reason=reason)


def _is_last_decision(text: str, coordinator: RolloutCoordinator) -> bool:
    """Whether a proposed document has the values of the last decided one while no proposal is open."""
    if coordinator.proposal is not None:
        return False
    try:
        return parse_document(text).digest == coordinator.register.last.digest
    except DocumentError:
        return False  # `RolloutCoordinator.propose` reports the error


def _first_event(effects: list[m.Effect], name: str) -> m.RolloutLogEvent | None:
    """The first log event with this name among the effects; None if there is none."""
    for effect in effects:
        if isinstance(effect, m.RolloutLogEvent) and effect.event == name:
            return effect
    return None
