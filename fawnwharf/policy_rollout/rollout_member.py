"""One member's part in policy rollouts.

A member has a lease holder, a coordinator that is active while the member leads, and operators' requests.

This module does no I/O. Its inputs are messages of other members, decisions of the consensus log and ticks,
each with a time; its outputs are effects, in order. The owner sends each `Send` to another member and
proposes each `ProposeRegister` to the consensus log at once. Messages may be lost: holders repeat their
requests, a coordinator resends unanswered messages, and an operator's request is resent until a leader's
status reports its outcome.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from fawnwharf.incarnations import IncarnationCounter
from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.delayed_relaxation import ReplicationRule
from fawnwharf.policy_rollout.document import (
    DeploymentCapabilities,
    DocumentError,
    parse_document,
    parse_register,
)
from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.operator_requests import LeaderRequests, SubmittedRequests
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator
from fawnwharf.policy_rollout.rollout_state import RolloutTiming
from fawnwharf.policy_rollout.settings import PolicyRequest
from fawnwharf.zones.log_lines import ConsensusStatus

MAX_CANCEL_REASON = 200
MAX_REPORTED_MEMBERS = 8  # members without a vote that a status lists


@dataclass(slots=True)
class RolloutMember:
    """Owns one member's lease holder, its coordinator and the operators' requests made at it."""

    name: str
    members: tuple[str, ...]
    capabilities: DeploymentCapabilities
    timing: RolloutTiming
    incarnation: int
    consensus_status: Callable[[float], ConsensusStatus]  # the state of this member's voter at a time in ms
    is_voter: bool = False  # whether it has a voter of the consensus log and so may become leader
    stored_register: str = ""
    stored_rules: dict[str, ReplicationRule] = field(default_factory=dict)
    holder: LeaseHolder = field(init=False)
    coordinator: RolloutCoordinator | None = None
    dropped: dict[str, int] = field(default_factory=dict)  # number of dropped messages, by cause
    statuses: dict[str, m.MemberStatus] = field(default_factory=dict)  # the latest of each other member
    submitted: SubmittedRequests = field(init=False)
    leader_requests: LeaderRequests = field(default_factory=LeaderRequests)
    term: int = 0  # the highest term that a leader has reported
    # The term in which this member leads but could not start because the register is unreadable; 0: none.
    term_with_unreadable_register: int = 0
    # Maps the incarnation numbers of members, which may decrease, to counts, which the coordinator uses.
    incarnations: IncarnationCounter = field(default_factory=IncarnationCounter)

    def __post_init__(self) -> None:
        self.holder = LeaseHolder(
            self.capabilities, self.timing, self.incarnation, self.stored_register, self.stored_rules
        )
        self.submitted = SubmittedRequests(self.name, self.timing.resend_interval_ms)
        if self.is_voter:
            self.coordinator = RolloutCoordinator(self.timing, self.members)

    def _count_dropped(self, cause: str) -> None:
        self.dropped[cause] = self.dropped.get(cause, 0) + 1

    def is_leader(self, now_ms: float) -> bool:
        """Whether this member certainly leads now."""
        if self.coordinator is None or not self.coordinator.term:
            return False
        status = self.consensus_status(now_ms)
        return status.holds_read_lease and status.term == self.coordinator.term

    # --- messages and decisions -----------------------------------------------------------------

    def receive(self, now_ms: float, sender: str, messages: tuple[Any, ...]) -> list[m.Effect]:
        """Handle another member's messages; those that can't be decoded are dropped and counted."""
        effects: list[m.Effect] = []
        for data in messages:
            try:
                message = m.decode_message(data)
            except msgspec.ValidationError:
                self._count_dropped("invalid message")
                continue
            effects += self._handle(now_ms, sender, message)
        return self._deliver(now_ms, effects)

    def _handle(self, now_ms: float, sender: str, message: m.Message) -> list[m.Effect]:
        if isinstance(message, m.Propose | m.Rollback | m.Cancel):
            return self._receive_request(now_ms, sender, message)
        if not isinstance(message, m.Vote | m.LeaseRequest | m.DocumentAdopted):
            return self.holder.receive(now_ms, sender, message)
        if self.coordinator is None:
            return []
        count = self.incarnations.observe(sender, message.incarnation)
        if not count:
            self._count_dropped("of an earlier incarnation")
            return []
        counted = msgspec.structs.replace(message, incarnation=count)
        return self.coordinator.receive(now_ms, sender, counted, self.is_leader(now_ms))

    def _receive_request(self, now_ms: float, origin: str, message: m.RequestMessage) -> list[m.Effect]:
        """Carry out an operator's request if this member leads in the request's term."""
        coordinator = self.coordinator
        if coordinator is None or not self.is_leader(now_ms) or message.term != coordinator.term:
            return []
        return self.leader_requests.receive(now_ms, origin, message, coordinator)

    def _deliver(self, now_ms: float, effects: list[m.Effect]) -> list[m.Effect]:
        """Handle messages to this member itself at once; return the other effects in order."""
        outgoing: list[m.Effect] = []
        queue = deque(effects)
        while queue:
            effect = queue.popleft()
            if isinstance(effect, m.RolloutLogEvent):
                self.leader_requests.record_event(effect)
            elif isinstance(effect, m.Send):
                effect = self._with_incarnation_number(effect)
                if effect.to == self.name or (effect.to == m.LEADER and self.is_leader(now_ms)):
                    queue.extend(self._handle(now_ms, self.name, effect.message))
                    continue
            outgoing.append(effect)
        if self.submitted and self.coordinator is not None and self.coordinator.term:
            self.submitted.record_outcomes(self.status(now_ms))
        return outgoing

    def _with_incarnation_number(self, send: m.Send) -> m.Send:
        """Replace the incarnation's count by its number in a lease grant; other messages are unchanged."""
        if not isinstance(send.message, m.LeaseGrant):
            return send
        number = self.incarnations.number_of(send.to, send.message.incarnation)
        return m.Send(send.to, msgspec.structs.replace(send.message, incarnation=number))

    def receive_decision(self, now_ms: float, text: str) -> list[m.Effect]:
        """Handle a register that the consensus log decided; called at every voter."""
        effects: list[m.Effect] = []
        try:
            if self.coordinator is not None and self.coordinator.term:
                effects = self.coordinator.receive_decision(now_ms, text, self.is_leader(now_ms))
            number = parse_register(text).last.number
        except DocumentError:
            # The holder logs the error and is no longer ready.
            return self._deliver(now_ms, self.holder.receive_decision(now_ms, text))
        if number > self.holder.register.last.number:
            effects += self.holder.receive_decision(now_ms, text)
        return self._deliver(now_ms, effects)

    def proposal_not_logged(self, now_ms: float) -> list[m.Effect]:
        """Handle that a proposed register will never be in the log."""
        if self.coordinator is None:
            return []
        return self._deliver(now_ms, self.coordinator.proposal_not_logged())

    def set_members(
        self, now_ms: float, members: tuple[str, ...], capabilities: DeploymentCapabilities
    ) -> list[m.Effect]:
        """Change the list of members and the capabilities of the deployment."""
        self.members = members
        self.capabilities = capabilities
        self.holder.capabilities = capabilities
        self.holder.active_basis = None  # the meaning of absent keys may have changed
        self.statuses = {name: status for name, status in self.statuses.items() if name in members}
        self.incarnations.retain(members)
        if self.coordinator is None:
            return []
        return self._deliver(now_ms, self.coordinator.set_members(members))

    # --- terms ----------------------------------------------------------------------------------

    def leadership_changed(self, now_ms: float) -> list[m.Effect]:
        """Handle a possible gain or loss of leadership by the voter.

        The coordinator starts when the voter leads with a read lease, so that its last decision is certainly
        the fleet's last, and every entry of its log is committed.
        """
        coordinator = self.coordinator
        if coordinator is None:
            return []
        status = self.consensus_status(now_ms)
        effects: list[m.Effect] = []
        if coordinator.term and coordinator.term != status.term:
            effects.append(m.RolloutLogEvent("rollout coordinator stopped", {"term": coordinator.term}))
            coordinator.step_down()
            self.leader_requests.clear()
        if (
            not coordinator.term
            and status.holds_read_lease
            and status.fully_committed
            and status.term != self.term_with_unreadable_register
        ):
            effects += coordinator.lead(now_ms, status.term, status.policy)
            self.term_with_unreadable_register = 0 if coordinator.term else status.term
            self.term = max(self.term, coordinator.term)
            self._schedule_lease_request_now(now_ms)
        return self._deliver(now_ms, effects) if effects else []

    def _schedule_lease_request_now(self, now_ms: float) -> None:
        self.holder.next_request_ms = min(self.holder.next_request_ms, now_ms)

    # --- time -----------------------------------------------------------------------------------

    def due_ms(self) -> float:
        """The latest time at which `tick` must be called."""
        deadlines = [self.holder.due_ms(), self.submitted.due_ms()]
        if self.coordinator is not None:
            deadlines.append(self.coordinator.due_ms())
        return min(deadline for deadline in deadlines if deadline is not None)

    def tick(self, now_ms: float) -> list[m.Effect]:
        """Send due lease requests and retries, and handle timeouts."""
        effects = self.leadership_changed(now_ms)
        undelivered: list[m.Effect] = []
        if self.coordinator is not None:
            due_ms = self.coordinator.due_ms()
            if due_ms is not None and now_ms >= due_ms:
                undelivered += self.coordinator.tick(now_ms, self.is_leader(now_ms))
        if now_ms >= self.holder.due_ms():
            undelivered += self.holder.tick(now_ms)
        undelivered += self.submitted.retry(now_ms, self.term)
        return effects + self._deliver(now_ms, undelivered)

    # --- operators' requests that are made here --------------------------------------------------

    def submit(self, now_ms: float, request: PolicyRequest) -> list[m.Effect]:
        """Send a valid operator's request, made at this member, to the leader."""
        register = self.holder.register
        message: m.RequestMessage
        digest = ""
        if request.propose is not None:
            text = msgspec.json.encode(request.propose).decode()
            digest = parse_document(text).digest
            message = m.Propose(text, request.number, self.term)
        elif request.rollback:
            digest = register.before.digest if register.before else ""
            message = m.Rollback(register.last.number, request.number, self.term)
        else:
            reason = (request.cancel or "")[:MAX_CANCEL_REASON]
            message = m.Cancel(reason, self._open_number(), request.number, self.term)
        return self._deliver(now_ms, [self.submitted.submit(now_ms, message, digest)])

    def _open_number(self) -> int:
        """The document number of the open proposal, as the latest leader reported it; 0 if none is open."""
        leader = max(self.statuses.values(), key=lambda status: status.term, default=None)
        return leader.open_proposal_number if leader and leader.term else 0

    def reject(self, now_ms: float, request_number: int, reason: str) -> None:
        """Record a request that is refused at this member, with the reason."""
        self.submitted.reject(now_ms, request_number, reason)

    # --- statuses -------------------------------------------------------------------------------

    def receive_status(self, now_ms: float, sender: str, data: Any) -> None:
        """Record another member's status; one that can't be decoded is dropped and counted."""
        try:
            status = m.decode_member_status(data)
        except msgspec.ValidationError:
            self._count_dropped("invalid status")
            return
        self.statuses[sender] = status
        if status.term > self.term:
            self.term = status.term
            self._schedule_lease_request_now(now_ms)  # from the new leader
        if status.term == self.term and status.term:
            self.submitted.record_outcomes(status)

    def status(self, now_ms: float) -> m.MemberStatus:
        """The status that this member publishes to the others."""
        holder = self.holder
        last = holder.register.last
        status = m.MemberStatus(
            ready=holder.ready,
            basis=holder.active.basis if holder.active else "waiting",
            number=last.number,
            digest=last.digest,
            prepared=holder.prepared.number if holder.prepared else 0,
            incarnation=self.incarnation,
            error=holder.error[: m.MAX_SHORT_TEXT],
            submitted_requests=tuple(request.outcome for request in self.submitted),
            dropped=dict(self.dropped),
        )
        coordinator = self.coordinator
        if coordinator is None or not coordinator.term:
            return status
        return msgspec.structs.replace(
            status,
            number=coordinator.register.last.number,
            digest=coordinator.register.last.digest,
            term=coordinator.term,
            open_proposal_number=coordinator.proposal.number if coordinator.proposal else 0,
            members_without_vote=tuple(coordinator.members_without_vote(now_ms)[:MAX_REPORTED_MEMBERS]),
            is_in_force=coordinator.is_in_force,
            leader_outcomes=tuple(self.leader_requests.outcomes),
        )
