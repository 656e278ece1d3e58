"""The rollout coordinator at the voters' leader: carries one change through, and grants leases.

No I/O, no clock and no randomness but what is passed in; times are milliseconds of its own clock, which may
run fast or slow against a holder's by `skew` and must not step back. Leases are after Gray and Cheriton,
'Leases' (1989): a lease counts from the sending of its holder's request, so that no delay of the answer
makes it longer, and the coordinator takes it to be over by the slowest clock that a holder may have, on the
fastest of its own.

A change is an atomic commit whose decision is the voters' (Gray and Lamport, 'Consensus on Transaction
Commit', 2006): all that are alive agree, one decision stands in the log, and the end of no coordinator leaves
it open.

A new leader does not know which leases the one before it granted. So it assumes that every holder has one for
a lease's time from when its term began, unless a holder shows that the last document has been in force: then
no lease of an earlier one is left.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import (
    Document,
    DocumentError,
    PolicyRegister,
    parse_document,
    parse_register,
)

MAX_NAMED_MEMBERS = 5  # in the cause of an abort


@dataclass(frozen=True, slots=True)
class RolloutTiming:
    """Times in milliseconds, and the part by which a clock's rate may differ from true time."""

    lease_ms: float = 2_000.0
    renew_ms: float = 500.0  # interval of holders' lease requests
    prepare_ms: float = (
        6_000.0  # for all to vote; longer than `max_lease_ms`, which a member that is cut off takes
    )
    resend_interval_ms: float = 500.0  # interval at which an unanswered message is sent again
    skew: float = 0.1

    @property
    def max_lease_ms(self) -> float:
        """The longest time that a lease of `lease_ms` by one clock can last by any other clock."""
        return self.lease_ms * (1 + self.skew) / (1 - self.skew)


class LeaseRecord(NamedTuple):
    """A granted lease: the number of its document, and when it is over by the coordinator's clock."""

    number: int
    expires_ms: float


class ReceivedRequest(NamedTuple):
    """A holder's newest lease request: `sent_ms` by its clock, `received_ms` by the coordinator's."""

    incarnation: int
    sent_ms: float
    received_ms: float


@dataclass(slots=True)
class OpenProposal:
    """The one proposal in progress."""

    document: Document
    sequence: int
    deadline_ms: float
    agreed: frozenset[str] = frozenset()
    deciding: bool = False  # it was proposed to the log: from here nothing ends it

    @property
    def number(self) -> int:
        """The number of the proposed document."""
        return self.document.number


@dataclass(slots=True)
class RolloutCoordinator:
    """Owns the open proposal, the votes for it, and the record of who may hold which lease."""

    timing: RolloutTiming
    members: tuple[str, ...] = ()
    term: int = 0  # that it leads; 0: it does not lead
    sequence: int = 0
    register: PolicyRegister = field(default_factory=PolicyRegister)
    is_in_force: bool = False  # the last decided document, in the fleet: no lease of an earlier one is left
    # The end of the longest lease that an earlier leader can have granted. Until then nothing is decided, and
    # nothing declared in force unless a holder proves it.
    unknown_leases_until_ms: float = 0.0
    leases: dict[str, LeaseRecord] = field(default_factory=dict)  # by holder
    requests: dict[str, ReceivedRequest] = field(default_factory=dict)  # by holder
    incarnations: dict[str, int] = field(default_factory=dict)  # the last of each that was observed
    informed_members: frozenset[str] = frozenset()  # those that have reported the last decision as known
    proposal: OpenProposal | None = None
    highest_number: int = 0  # the largest number given in this term
    repeat_ms: float = 0.0  # when messages are sent again
    ticked_ms: float = 0.0

    # --- terms ----------------------------------------------------------------------------------

    def lead(self, now_ms: float, term: int, text: str) -> list[m.Effect]:
        """Begin a term.

        This member's voter leads, what it decided last is certainly the fleet's last
        (`Voter.holds_read_lease`), and nothing in its log is undecided. `text` is the register there; empty
        for none yet.
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
        """End the term: the voter does not lead any more.

        It is up to the next coordinator to end what was being prepared.
        """
        self.term = 0
        self.proposal = None
        self.is_in_force = False
        self.leases = {}
        self.requests = {}
        self.incarnations = {}
        self.informed_members = frozenset()

    def due_ms(self) -> float | None:
        """When `tick` has to be called next; None for not before a message arrives."""
        if not self.term or (self.proposal is None and self.is_in_force):
            return None
        deadlines = [self.unknown_leases_until_ms]
        deadlines.extend(lease.expires_ms for lease in self.leases.values())
        if self.proposal:
            deadlines.append(self.proposal.deadline_ms)
        return min([self.repeat_ms, *(deadline for deadline in deadlines if deadline > self.ticked_ms)])

    def receive(
        self, now_ms: float, sender: str, message: m.Message, holds_read_lease: bool
    ) -> list[m.Effect]:
        """Handle any message for a coordinator; others change nothing. `holds_read_lease` as for requests."""
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
        """Begin an operator's proposal; rejected with a cause while another one is in progress."""
        if not self.term:
            return [_rejected("this member does not lead")]
        if cause := self._cause_to_reject():
            return [_rejected(cause)]
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

    def _cause_to_reject(self) -> str:
        """Why no proposal can begin now; empty where one can."""
        if self.proposal is not None:
            return f"number {self.proposal.number} is under way"
        return "" if self.is_in_force else f"number {self.register.last.number} is not in force yet"

    def _prepare_messages(self, proposal: OpenProposal) -> list[m.Effect]:
        message = self._prepare_message(proposal)
        return [m.Send(to, message) for to in self.members if to not in proposal.agreed]

    def _prepare_message(self, proposal: OpenProposal) -> m.Prepare:
        return m.Prepare(self.term, proposal.sequence, proposal.number, proposal.document.encode())

    def receive_vote(self, now_ms: float, sender: str, vote: m.Vote) -> list[m.Effect]:
        """Handle a member's answer to the proposal."""
        if self.proposal is None or self.proposal.deciding or sender not in self.members:
            return []
        if (vote.term, vote.sequence) != (self.term, self.proposal.sequence):
            return []  # on another proposal, or of another term
        if vote.incarnation < self.incarnations.get(sender, 0):
            return []
        self._note_incarnation(sender, vote.incarnation)
        if vote.error:
            return self._abort(self.proposal, f"{sender}: {vote.error}")
        self.proposal.agreed |= {sender}
        return self._decide_if_agreed(now_ms)

    def cancel(self, reason: str = "") -> list[m.Effect]:
        """End what is being prepared, on an operator's request, while nothing is decided."""
        if self.proposal is None:
            return [_rejected("nothing is being prepared")]
        if self.proposal.deciding:
            return [_rejected(f"number {self.proposal.number} is being decided")]
        return self._abort(self.proposal, f"cancelled {reason}".strip())

    def set_members(self, members: tuple[str, ...]) -> list[m.Effect]:
        """Change the list of members; a member that is removed keeps its lease until that is over."""
        effects: list[m.Effect] = []
        if members != self.members and self.proposal and not self.proposal.deciding:
            effects = self._abort(self.proposal, "the list of members changed")
        self.members = members
        return effects

    def _abort(self, proposal: OpenProposal, reason: str) -> list[m.Effect]:
        self.sequence += 1  # so that a prepare that arrives late does not begin it again
        self.proposal = None
        message = m.Abort(self.term, self.sequence, proposal.number, reason[: m.MAX_SHORT_TEXT])
        event = m.RolloutLogEvent("ended", {"number": proposal.number, "reason": reason})
        return [*(m.Send(to, message) for to in self.members), event]

    def _may_hold_lease(self, now_ms: float, name: str) -> bool:
        """Whether a member may have a lease of this term, of whatever number, at this moment."""
        return name in self.leases and now_ms < self.leases[name].expires_ms

    def members_without_vote(self, now_ms: float) -> list[str]:
        """The members whose vote is missing, for operators; empty where nothing is being prepared."""
        if self.proposal is None or self.proposal.deciding:
            return []
        return self._missing_votes(now_ms, self.proposal)

    def _missing_votes(self, now_ms: float, proposal: OpenProposal) -> list[str]:
        """Whose vote is missing: also of members that were removed, until their leases are over."""
        names = {*self.members, *self.leases} - proposal.agreed
        return sorted(name for name in names if self._may_hold_lease(now_ms, name))

    def _decide_if_agreed(self, now_ms: float) -> list[m.Effect]:
        """Propose the decision to the log once no vote is missing."""
        proposal = self.proposal
        if proposal is None or proposal.deciding or self._missing_votes(now_ms, proposal):
            return []
        if now_ms < self.unknown_leases_until_ms:
            return []  # the leader before may have granted leases to some that are on no list any more
        if not proposal.agreed:
            return []  # no live member would apply it
        proposal.deciding = True
        return [m.ProposeRegister(self.register.with_next(proposal.document).encode())]

    # --- the decision ---------------------------------------------------------------------------

    def proposal_not_logged(self) -> list[m.Effect]:
        """Note that what was proposed to the log certainly never came into it."""
        if self.proposal is None or not self.proposal.deciding:
            return []
        return self._abort(self.proposal, "the voters' log did not accept it")

    def receive_decision(self, now_ms: float, text: str, holds_read_lease: bool) -> list[m.Effect]:
        """Take the log's register, as it was decided while this one leads.

        `holds_read_lease` as for lease requests. Raises DocumentError for a malformed text; what it proposed
        itself never is.
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
        """Declare the register in force, once no lease of an earlier number can be left.

        `proven` tells that it has been in force already.
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
            if name in self.informed_members and name in self.members:  # an answer to its last request
                effects.append(m.Send(name, self._grant(name, request, "")))
        return effects

    # --- leases ---------------------------------------------------------------------------------

    def receive_lease_request(
        self, now_ms: float, sender: str, message: m.LeaseRequest, holds_read_lease: bool
    ) -> list[m.Effect]:
        """Answer a holder's request for a lease.

        `holds_read_lease` is `Voter.holds_read_lease` at this moment; without it nothing is granted, as there
        may be another coordinator.
        """
        if not self.term or not holds_read_lease or sender not in self.members:
            return []
        if message.incarnation < self.incarnations.get(sender, 0):
            return []
        self._note_incarnation(sender, message.incarnation)
        before = self.requests.get(sender)
        if before and message.incarnation == before.incarnation and message.sent_ms < before.sent_ms:
            return []  # overtaken by a later request, which was more up to date
        request = ReceivedRequest(message.incarnation, message.sent_ms, now_ms)
        self.requests[sender] = request
        self._note_known_number(sender, message.known_number)
        last = self.register.last.number
        effects = self._declare_in_force(now_ms, proven=message.granted_number == last)
        text = "" if message.known_number >= last else self.register.encode()
        if effects and not text:
            return effects  # its grant is among those
        effects.append(m.Send(sender, self._grant(sender, request, text)))
        proposal = self.proposal
        if proposal and sender not in proposal.agreed and not proposal.deciding:
            effects.append(m.Send(sender, self._prepare_message(proposal)))
        return effects

    def _note_known_number(self, sender: str, known: int) -> None:
        """Note the last decision that a holder knows: it does not use an earlier lease any more."""
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
        """Note that a holder does not act by anything before that number any more."""
        request = m.LeaseRequest(message.incarnation, message.sent_ms, message.number, message.granted_number)
        effects = self.receive_lease_request(now_ms, sender, request, holds_read_lease)
        return effects if self.is_in_force else []  # an answer follows once a lease can be granted

    def _note_incarnation(self, name: str, incarnation: int) -> None:
        """Note a member's incarnation: one that was restarted has lost what it agreed to."""
        if incarnation <= self.incarnations.get(name, 0):
            return
        self.incarnations[name] = incarnation
        self.informed_members -= {name}
        if self.proposal:
            self.proposal.agreed -= {name}

    def _grant(self, name: str, request: ReceivedRequest, register: str) -> m.LeaseGrant:
        """The answer to a holder: a lease where it may have one.

        A holder that has not agreed to what is being decided gets none, as it would have to be waited for
        again. Nor does one that has not shown that it can read the last document: it would hold up every
        change, also the one that helps it.
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
        """Do what is due; call it at `due_ms` at the latest. `holds_read_lease` as for requests."""
        self.ticked_ms = now_ms
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
