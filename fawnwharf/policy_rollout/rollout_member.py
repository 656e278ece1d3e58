"""One member's part in policy rollouts.

A member has a lease holder, a coordinator that is active while the member leads, and operators' requests.

Pure: messages of other members, decisions of the consensus log and ticks come in with a time, effects go out
in order. `Send` is for other members only; `ProposeRegister` is to be proposed to the consensus log at once.
Nothing depends on the delivery of a message: holders ask again, a coordinator repeats what is not answered,
and an operator's request is repeated until a leader's status tells its outcome.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from fawnwharf.incarnations import IncarnationCounter
from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import (
    DeploymentCapabilities,
    DocumentError,
    parse_document,
    parse_register,
)
from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.operator_requests import LeaderRequests, SubmittedRequests
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator, RolloutTiming
from fawnwharf.policy_rollout.settings import PolicyRequest
from fawnwharf.zones.log_lines import ConsensusStatus

MAX_CANCEL_REASON = 200
MAX_MISSING = 8  # members whose vote is missing, in a status


@dataclass(slots=True)
class RolloutMember:
    """Owns the lease holder and the coordinator of one member, and the operators' requests made at it."""

    name: str
    members: tuple[str, ...]
    capabilities: DeploymentCapabilities
    timing: RolloutTiming
    incarnation: int
    consensus_status: Callable[[float], ConsensusStatus]  # the state of its voter
    is_voter: bool = False  # whether it has a voter of the consensus log, and so may become leader
    stored_register: str = ""
    holder: LeaseHolder = field(init=False)
    coordinator: RolloutCoordinator | None = None
    dropped: dict[str, int] = field(default_factory=dict)  # messages, by cause
    statuses: dict[str, m.MemberStatus] = field(default_factory=dict)  # of other members, as last received
    submitted: SubmittedRequests = field(init=False)
    leader_requests: LeaderRequests = field(default_factory=LeaderRequests)
    term: int = 0  # the largest one of a leader that was received
    # The term in which this member led but could not start, as the register was unreadable; 0: none.
    term_with_unreadable_register: int = 0
    # The coordinator knows incarnations by their counts, their members by their numbers.
    incarnations: IncarnationCounter = field(default_factory=IncarnationCounter)

    def __post_init__(self) -> None:
        self.holder = LeaseHolder(self.capabilities, self.timing, self.incarnation, self.stored_register)
        self.submitted = SubmittedRequests(self.name, self.timing.resend_interval_ms)
        if self.is_voter:
            self.coordinator = RolloutCoordinator(self.timing, self.members)

    def _count_dropped(self, cause: str) -> None:
        self.dropped[cause] = self.dropped.get(cause, 0) + 1

    def is_leader(self, now_ms: float) -> bool:
        """Whether this member leads for certain at this moment."""
        if self.coordinator is None or not self.coordinator.term:
            return False
        status = self.consensus_status(now_ms)
        return status.holds_read_lease and status.term == self.coordinator.term

    # --- messages and decisions -----------------------------------------------------------------

    def receive(self, now_ms: float, sender: str, messages: tuple[Any, ...]) -> list[m.Effect]:
        """Handle messages of another member; what can't be decoded is dropped and counted."""
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
        """Carry out an operator's request, if this member leads in the term that it is meant for."""
        coordinator = self.coordinator
        if coordinator is None or not self.is_leader(now_ms) or message.term != coordinator.term:
            return []
        return self.leader_requests.receive(now_ms, origin, message, coordinator)

    def _deliver(self, now_ms: float, effects: list[m.Effect]) -> list[m.Effect]:
        """Deliver what is for this member itself at once; the rest is returned, in order."""
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
        """A lease grant with the incarnation's number in place of its count; other messages as they are."""
        if not isinstance(send.message, m.LeaseGrant):
            return send
        number = self.incarnations.number_of(send.to, send.message.incarnation)
        return m.Send(send.to, msgspec.structs.replace(send.message, incarnation=number))

    def receive_decision(self, now_ms: float, text: str) -> list[m.Effect]:
        """Take a register that the consensus log decided, at any voter."""
        effects: list[m.Effect] = []
        try:
            if self.coordinator is not None and self.coordinator.term:
                effects = self.coordinator.receive_decision(now_ms, text, self.is_leader(now_ms))
            number = parse_register(text).last.number
        except DocumentError:
            # The holder logs the cause, and is not ready any more.
            return self._deliver(now_ms, self.holder.receive_decision(now_ms, text))
        if number > self.holder.register.last.number:
            effects += self.holder.receive_decision(now_ms, text)
        return self._deliver(now_ms, effects)

    def proposal_not_logged(self, now_ms: float) -> list[m.Effect]:
        """Note that what was to be decided never came into the log."""
        if self.coordinator is None:
            return []
        return self._deliver(now_ms, self.coordinator.proposal_not_logged())

    def set_members(
        self, now_ms: float, members: tuple[str, ...], capabilities: DeploymentCapabilities
    ) -> list[m.Effect]:
        """Change the list of members, and what the deployment has then."""
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
        """Handle that the voter may have begun or ceased to lead.

        A term begins here when the voter leads, its last decision is certainly the fleet's last, and nothing
        in its log is undecided.
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
            self._request_lease_at_once(now_ms)
        return self._deliver(now_ms, effects) if effects else []

    def _request_lease_at_once(self, now_ms: float) -> None:
        self.holder.next_request_ms = min(self.holder.next_request_ms, now_ms)

    # --- time -----------------------------------------------------------------------------------

    def due_ms(self) -> float:
        """When `tick` has to be called at the latest."""
        deadlines = [self.holder.due_ms(), self.submitted.due_ms()]
        if self.coordinator is not None:
            deadlines.append(self.coordinator.due_ms())
        return min(deadline for deadline in deadlines if deadline is not None)

    def tick(self, now_ms: float) -> list[m.Effect]:
        """Do what is due: lease requests, retries, time-outs."""
        effects = self.leadership_changed(now_ms)
        more: list[m.Effect] = []
        if self.coordinator is not None:
            due_ms = self.coordinator.due_ms()
            if due_ms is not None and now_ms >= due_ms:
                more += self.coordinator.tick(now_ms, self.is_leader(now_ms))
        if now_ms >= self.holder.due_ms():
            more += self.holder.tick(now_ms)
        more += self.submitted.retry(now_ms, self.term)
        return effects + self._deliver(now_ms, more)

    # --- operators' requests that are made here --------------------------------------------------

    def submit(self, now_ms: float, request: PolicyRequest) -> list[m.Effect]:
        """Take an operator's request at this member, checked by itself."""
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
        """The number of the open proposal, as the leader of the latest term reported it; 0 for none."""
        leader = max(self.statuses.values(), key=lambda status: status.term, default=None)
        return leader.open_proposal_number if leader and leader.term else 0

    def reject(self, now_ms: float, request_number: int, reason: str) -> None:
        """Note a request that can't be taken, and why."""
        self.submitted.reject(now_ms, request_number, reason)

    # --- statuses -------------------------------------------------------------------------------

    def receive_status(self, now_ms: float, sender: str, data: Any) -> None:
        """Take another member's status; what can't be decoded is dropped and counted."""
        try:
            status = m.decode_member_status(data)
        except msgspec.ValidationError:
            self._count_dropped("invalid status")
            return
        self.statuses[sender] = status
        if status.term > self.term:
            self.term = status.term
            self._request_lease_at_once(now_ms)  # from the new leader
        if status.term == self.term and status.term:
            self.submitted.record_outcomes(status)

    def status(self, now_ms: float) -> m.MemberStatus:
        """This member's status, as the others receive it."""
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
            members_without_vote=tuple(coordinator.members_without_vote(now_ms)[:MAX_MISSING]),
            is_in_force=coordinator.is_in_force,
            leader_outcomes=tuple(self.leader_requests.outcomes),
        )
