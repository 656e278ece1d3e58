"""The rollout coordinator at the voters' leader: rolls out one policy document at a time and grants leases.

The coordinator does no I/O and reads no clock and no random source: callers pass the time in. Times are
milliseconds of the coordinator's own clock. Its rate may differ from a holder's clock by `skew`, and it must
not step back.

Leases follow Gray and Cheriton, 'Leases' (1989). A holder counts its lease from the moment it sent the
request, so a delayed answer does not extend the lease. The coordinator treats a lease as expired only after
the longest time it can last if the holder's clock is the slowest allowed and its own the fastest.

A rollout is an atomic commit that the voters decide (Gray and Lamport, 'Consensus on Transaction Commit',
2006): all live members vote yes, the consensus log records one decision, and the failure of a coordinator
does not leave the rollout undecided.

A new leader does not know which leases its predecessor granted. It assumes that every holder has a lease that
was granted just before the new term began. A holder that proves that the last document has been in force ends
this wait: then no lease for an earlier document is left.
"""

from dataclasses import dataclass, field

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import (
    DocumentError,
    PolicyRegister,
    parse_document,
    parse_register,
)
from fawnwharf.policy_rollout.rollout_state import LeaseRecord, OpenProposal, ReceivedRequest, RolloutTiming

MAX_NAMED_MEMBERS = 5  # members listed in the reason of an abort


@dataclass(slots=True)
class RolloutCoordinator:
    """Owns the open proposal, the votes on it, and the leases that members may hold."""

    timing: RolloutTiming
    members: tuple[str, ...] = ()
    term: int = 0  # the term in which this member leads; 0 while it does not lead
    sequence: int = 0
    register: PolicyRegister = field(default_factory=PolicyRegister)
    # Whether the last decided document is in force in the fleet: no lease for an earlier document is left.
    is_in_force: bool = False
    # When the longest lease that an earlier leader can have granted expires. Before that time nothing is
    # decided, and no document is declared in force unless a holder proves that it has been.
    unknown_leases_until_ms: float = 0.0
    leases: dict[str, LeaseRecord] = field(default_factory=dict)  # by holder
    requests: dict[str, ReceivedRequest] = field(default_factory=dict)  # the newest request, by holder
    incarnations: dict[str, int] = field(default_factory=dict)  # the latest seen incarnation, by member
    informed_members: frozenset[str] = frozenset()  # members that reported that they know the last decision
    proposal: OpenProposal | None = None
    highest_number: int = 0  # the highest document number decided or assigned so far
    repeat_ms: float = 0.0  # when unanswered messages are sent again
    last_tick_ms: float = 0.0

    # --- terms ----------------------------------------------------------------------------------

    def lead(self, now_ms: float, term: int, text: str) -> list[m.Effect]:
        """Begin a term.

        Preconditions: this member's voter leads and holds the read lease (`Voter.holds_read_lease`), so that
        no later decision can exist, and its log has no undecided entry. `text` is the encoded register from
        the log; it is empty before the first decision.
        """
        self.step_down()
        try:
            self.register = parse_register(text)
        except DocumentError as error:
            return [m.RolloutLogEvent("policy register unreadable", {"reason": str(error), "term": term})]
        self.term = term
        self.sequence = 1
        self.highest_number = self.register.last.number
        self.unknown_leases_until_ms = now_ms + self.timing.max_lease_ms
        self.is_in_force = self.register.before is None
        fields = {"term": term, "number": self.highest_number}
        return [m.RolloutLogEvent("rollout coordinator started", fields)]

    def step_down(self) -> None:
        """End the term, because the voter no longer leads.

        The next coordinator ends a proposal that was being prepared.
        """
        self.term = 0
        self.proposal = None
        self.is_in_force = False
        self.leases = {}
        self.requests = {}
        self.incarnations = {}
        self.informed_members = frozenset()

    def due_ms(self) -> float | None:
        """When `tick` must be called next; None if no call is needed before the next message."""
        if not self.term or (self.proposal is None and self.is_in_force):
            return None
        deadlines = [self.unknown_leases_until_ms]
        deadlines.extend(lease.expires_ms for lease in self.leases.values())
        if self.proposal:
            deadlines.append(self.proposal.deadline_ms)
        return min([self.repeat_ms, *(deadline for deadline in deadlines if deadline > self.last_tick_ms)])

    def receive(
        self, now_ms: float, sender: str, message: m.Message, holds_read_lease: bool
    ) -> list[m.Effect]:
        """Handle a message for the coordinator and ignore any other.

        `holds_read_lease` is as for `receive_lease_request`.
        """
        match message:
            case m.Vote():
                return self.receive_vote(now_ms, sender, message)
            case m.LeaseRequest():
                return self.receive_lease_request(now_ms, sender, message, holds_read_lease)
            case m.DocumentAdopted():
                return self.receive_document_adopted(now_ms, sender, message, holds_read_lease)
            case m.Propose():
                return self.propose(now_ms, message.text)
            case m.Cancel():
                return self.cancel(message.reason)
            case _:
                return []

    # --- a proposal -----------------------------------------------------------------------------

    def propose(self, now_ms: float, text: str) -> list[m.Effect]:
        """Begin an operator's proposal, or reject it with a reason, for example while another one is open."""
        if not self.term:
            return [_rejected("this member does not lead")]
        if reason := self._rejection_reason():
            return [_rejected(reason)]
        try:
            document = parse_document(text)
        except DocumentError as error:
            return [_rejected(str(error))]
        self.highest_number += 1
        self.sequence += 1
        numbered = document.numbered(self.highest_number)
        self.proposal = OpenProposal(numbered, self.sequence, now_ms + self.timing.prepare_ms)
        self.repeat_ms = now_ms + self.timing.resend_interval_ms
        fields = {"number": numbered.number, "digest": document.digest, "members": len(self.members)}
        return [
            m.RolloutLogEvent("prepare", fields),
            *self._prepare_messages(self.proposal),
            *self._decide_if_agreed(now_ms),
        ]

    def _rejection_reason(self) -> str:
        """Why no proposal can begin now; empty if one can."""
        if self.proposal is not None:
            return f"number {self.proposal.number} is under way"
        return "" if self.is_in_force else f"number {self.register.last.number} is not in force yet"

    def _prepare_messages(self, proposal: OpenProposal) -> list[m.Effect]:
        message = self._prepare_message(proposal)
        return [m.Send(to, message) for to in self.members if to not in proposal.agreed]

    def _prepare_message(self, proposal: OpenProposal) -> m.Prepare:
        return m.Prepare(self.term, proposal.sequence, proposal.number, proposal.document.encode())

    def receive_vote(self, now_ms: float, sender: str, vote: m.Vote) -> list[m.Effect]:
        """Handle a member's vote on the open proposal."""
        if self.proposal is None or self.proposal.deciding or sender not in self.members:
            return []
        if (vote.term, vote.sequence) != (self.term, self.proposal.sequence):
            return []  # a vote on another proposal, or from another term
        if vote.incarnation < self.incarnations.get(sender, 0):
            return []
        self._record_incarnation(sender, vote.incarnation)
        if vote.error:
            return self._abort(self.proposal, f"{sender}: {vote.error}")
        self.proposal.agreed |= {sender}
        return self._decide_if_agreed(now_ms)

    def cancel(self, reason: str = "") -> list[m.Effect]:
        """Abort the open proposal at an operator's request; rejected once the log is deciding it."""
        if self.proposal is None:
            return [_rejected("nothing is being prepared")]
        if self.proposal.deciding:
            return [_rejected(f"number {self.proposal.number} is being decided")]
        return self._abort(self.proposal, f"cancelled {reason}".strip())

    def set_members(self, members: tuple[str, ...]) -> list[m.Effect]:
        """Change the list of members; a removed member keeps its lease until that expires."""
        effects: list[m.Effect] = []
        if members != self.members and self.proposal and not self.proposal.deciding:
            effects = self._abort(self.proposal, "the list of members changed")
        self.members = members
        return effects

    def _abort(self, proposal: OpenProposal, reason: str) -> list[m.Effect]:
        self.sequence += 1  # a `Prepare` that arrives late is then too old to begin the proposal again
        self.proposal = None
        message = m.Abort(self.term, self.sequence, proposal.number, reason[: m.MAX_SHORT_TEXT])
        event = m.RolloutLogEvent("ended", {"number": proposal.number, "reason": reason})
        return [*(m.Send(to, message) for to in self.members), event]

    def _may_hold_lease(self, now_ms: float, name: str) -> bool:
        """Whether a member may now hold a lease granted in this term, for any document."""
        return name in self.leases and now_ms < self.leases[name].expires_ms

    def members_without_vote(self, now_ms: float) -> list[str]:
        """The members whose vote is missing, for the status; empty while nothing is being prepared."""
        if self.proposal is None or self.proposal.deciding:
            return []
        return self._missing_votes(now_ms, self.proposal)

    def _missing_votes(self, now_ms: float, proposal: OpenProposal) -> list[str]:
        """Lease holders that have not voted yes; includes removed members until their leases expire."""
        names = {*self.members, *self.leases} - proposal.agreed
        return sorted(name for name in names if self._may_hold_lease(now_ms, name))

    def _decide_if_agreed(self, now_ms: float) -> list[m.Effect]:
        """Propose the document to the consensus log once no vote is missing."""
        proposal = self.proposal
        if proposal is None or proposal.deciding or self._missing_votes(now_ms, proposal):
            return []
        if now_ms < self.unknown_leases_until_ms:
            return []  # the previous leader may have granted leases to members that have since been removed
        if not proposal.agreed:
            return []  # no live member would apply the document
        proposal.deciding = True
        return [m.ProposeRegister(self.register.with_next(proposal.document).encode())]

    # --- the decision ---------------------------------------------------------------------------

    def proposal_not_logged(self) -> list[m.Effect]:
        """Abort the proposal, because it is certain that the log will never contain it."""
        if self.proposal is None or not self.proposal.deciding:
            return []
        return self._abort(self.proposal, "the voters' log did not accept it")

    def receive_decision(self, now_ms: float, text: str, holds_read_lease: bool) -> list[m.Effect]:
        """Adopt a register that the log decided while this coordinator leads.

        `holds_read_lease` is as for `receive_lease_request`. Raises DocumentError for a malformed text, which
        this coordinator itself never proposes.
        """
        register = parse_register(text)
        if not self.term or register.last.number <= self.register.last.number:
            return []
        self.register = register
        self.proposal = None
        self.is_in_force = False
        self.highest_number = max(self.highest_number, register.last.number)
        self.sequence += 1
        self.informed_members = frozenset()
        self.repeat_ms = now_ms + self.timing.resend_interval_ms
        event = m.RolloutLogEvent("decided", {"number": register.last.number, "digest": register.last.digest})
        in_force = self._declare_in_force(now_ms) if holds_read_lease else []
        return [event, *self._decision_messages(), *in_force]

    def _decision_messages(self) -> list[m.Effect]:
        message = m.Decided(self.register.encode())
        return [m.Send(to, message) for to in self.members if to not in self.informed_members]

    def _holders_of_earlier_documents(self) -> list[str]:
        return [name for name, lease in self.leases.items() if lease.number < self.register.last.number]

    def _declare_in_force(self, now_ms: float, *, proven: bool = False) -> list[m.Effect]:
        """Declare the last document in force, once no lease for an earlier one can be left.

        `proven` means that a holder has shown that the document was in force before.
        """
        if self.is_in_force or not self.term:
            return []
        if not proven:
            earlier = self._holders_of_earlier_documents()
            if now_ms < self.unknown_leases_until_ms:
                return []
            if any(self._may_hold_lease(now_ms, name) for name in earlier):
                return []
        self.is_in_force = True
        for name in self._holders_of_earlier_documents():
            del self.leases[name]
        effects: list[m.Effect] = [m.RolloutLogEvent("in force", {"number": self.register.last.number})]
        for name, request in self.requests.items():
            if name in self.informed_members and name in self.members:  # answers the member's last request
                effects.append(m.Send(name, self._grant(name, request, "")))
        return effects

    # --- leases ---------------------------------------------------------------------------------

    def receive_lease_request(
        self, now_ms: float, sender: str, message: m.LeaseRequest, holds_read_lease: bool
    ) -> list[m.Effect]:
        """Answer a holder's request for a lease.

        `holds_read_lease` is the present value of `Voter.holds_read_lease`. Without the read lease nothing is
        granted, because another coordinator may be active.
        """
        if not self.term or not holds_read_lease or sender not in self.members:
            return []
        if message.incarnation < self.incarnations.get(sender, 0):
            return []
        self._record_incarnation(sender, message.incarnation)
        before = self.requests.get(sender)
        if before and message.incarnation == before.incarnation and message.sent_ms < before.sent_ms:
            return []  # a later request has already arrived
        request = ReceivedRequest(message.incarnation, message.sent_ms, now_ms)
        self.requests[sender] = request
        self._record_known_number(sender, message.known_number)
        last = self.register.last.number
        effects = self._declare_in_force(now_ms, proven=message.granted_number == last)
        text = "" if message.known_number >= last else self.register.encode()
        if effects and not text:
            return effects  # they include the grant for this holder
        effects.append(m.Send(sender, self._grant(sender, request, text)))
        proposal = self.proposal
        if proposal and sender not in proposal.agreed and not proposal.deciding:
            effects.append(m.Send(sender, self._prepare_message(proposal)))
        return effects

    def _record_known_number(self, sender: str, known: int) -> None:
        """Record the last decision that a holder knows: a lease for an earlier one is no longer used."""
        last = self.register.last.number
        if known < last:
            self.informed_members -= {sender}
            return
        self.informed_members |= {sender}
        if sender in self.leases and self.leases[sender].number < last:
            del self.leases[sender]

    def receive_document_adopted(
        self, now_ms: float, sender: str, message: m.DocumentAdopted, holds_read_lease: bool
    ) -> list[m.Effect]:
        """Record that a holder no longer applies any document before this number."""
        request = m.LeaseRequest(message.incarnation, message.sent_ms, message.number, message.granted_number)
        effects = self.receive_lease_request(now_ms, sender, request, holds_read_lease)
        return effects if self.is_in_force else []  # the holder is answered once a lease can be granted

    def _record_incarnation(self, name: str, incarnation: int) -> None:
        """Record a member's incarnation and discard its earlier vote: a restarted member has lost it."""
        if incarnation <= self.incarnations.get(name, 0):
            return
        self.incarnations[name] = incarnation
        self.informed_members -= {name}
        if self.proposal:
            self.proposal.agreed -= {name}

    def _grant(self, name: str, request: ReceivedRequest, register: str) -> m.LeaseGrant:
        """The answer to a holder's request, with a lease if the holder may have one.

        A holder that has not voted for the proposal that is being decided gets no lease: the rollout would
        have to wait for that lease as well. A holder that has not shown that it can read the last document
        gets none either: it would delay every rollout, including the one that would replace that document.
        """
        last = self.register.last.number
        proposal = self.proposal
        not_agreed = proposal is not None and proposal.deciding and name not in proposal.agreed
        may_have_lease = self.is_in_force and name in self.informed_members and not not_agreed
        lease_ms = self.timing.lease_ms if may_have_lease else 0.0
        if lease_ms:
            before = self.leases[name].expires_ms if name in self.leases else 0.0
            expires_ms = max(before, request.received_ms + self.timing.max_lease_ms)
            self.leases[name] = LeaseRecord(last, expires_ms)
        return m.LeaseGrant(
            self.term,
            self.sequence,
            request.incarnation,
            request.sent_ms,
            last,
            lease_ms,
            proposal.number if proposal else 0,
            register,
        )

    # --- time -----------------------------------------------------------------------------------

    def tick(self, now_ms: float, holds_read_lease: bool) -> list[m.Effect]:
        """Handle timeouts and resends; must be called no later than `due_ms`.

        `holds_read_lease` is as for `receive_lease_request`.
        """
        self.last_tick_ms = now_ms
        if not self.term or not holds_read_lease:
            self.repeat_ms = now_ms + self.timing.resend_interval_ms
            return []
        proposal = self.proposal
        if proposal and not proposal.deciding and now_ms >= proposal.deadline_ms:
            silent = ", ".join(self._missing_votes(now_ms, proposal)[:MAX_NAMED_MEMBERS])
            return self._abort(proposal, f"no answer from {silent or 'any member'}")
        effects = [*self._decide_if_agreed(now_ms), *self._declare_in_force(now_ms)]
        if now_ms >= self.repeat_ms and (self.proposal or not self.is_in_force):
            self.repeat_ms = now_ms + self.timing.resend_interval_ms
            effects += self._repeated_messages()
        return effects

    def _repeated_messages(self) -> list[m.Effect]:
        if self.proposal and not self.proposal.deciding:
            return self._prepare_messages(self.proposal)
        return [] if self.is_in_force else self._decision_messages()


def _rejected(reason: str) -> m.RolloutLogEvent:
    return m.RolloutLogEvent("rejected", {"reason": reason})
