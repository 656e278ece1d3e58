"""The lease holder at each front end: the policy by which a call is decided at this moment.

No I/O, no clock and no randomness but what is passed in; times are milliseconds of its own clock. It acts by
a document only under a lease for it. Between two documents it uses the stricter of both, key by key, which
admits no more than either policy would; where it has lost its lease and knows of no next document, it uses
the stricter of the last one and its fallback limits.

Whatever it knows to be decided binds it at once: from then on no lease of an earlier number counts. After a
restart it has no lease and nothing that may be relied on, whatever its disk says; it is not ready before a
leader's coordinator has sent it the last decided document.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.delayed_relaxation import DelayedRelaxation
from fawnwharf.policy_rollout.document import (
    DeploymentCapabilities,
    Document,
    DocumentError,
    PolicyRegister,
    fallback_limits,
    find_incompatibility,
    parse_document,
    parse_register,
    stricter,
    with_defaults,
)
from fawnwharf.policy_rollout.rollout_coordinator import LeaseRecord, RolloutTiming

NO_LEASE = LeaseRecord(-1, 0.0)


class PolicyBasis(NamedTuple):
    """The documents in effect: one under a lease, the stricter of two, or one with its fallback limits."""

    kind: m.PolicyBasisKind
    document: Document
    other: Document | None = None


@dataclass(slots=True)
class LeaseHolder:
    """Owns one front end's lease, what it knows to be decided, and what it was asked to prepare."""

    capabilities: DeploymentCapabilities
    timing: RolloutTiming
    incarnation: int  # another one after each restart
    stored_register: str = ""  # as stored before; used for the limits only while no leader is reached
    register: PolicyRegister = field(default_factory=PolicyRegister)
    ready: bool = False
    lease: LeaseRecord = NO_LEASE
    granted_number: int = -1  # of the last document that it had a lease for since its start; -1: none
    prepared: Document | None = (
        None  # the proposal that it has agreed to, and that is neither decided nor aborted
    )
    newest_message: tuple[int, int] = (0, 0)  # (term, sequence) of a coordinator's newest message
    next_request_ms: float = 0.0
    policy_by_call: dict[str, m.ActivePolicy] = field(default_factory=dict)  # of each open call, by its key
    active: m.ActivePolicy | None = None  # as announced to the owner
    active_basis: PolicyBasis | None = None  # of `active`
    relaxation: DelayedRelaxation = field(init=False)
    error: str = ""  # of a decided document that this version does not know

    def __post_init__(self) -> None:
        self.relaxation = DelayedRelaxation(self.timing.skew)
        if self.stored_register:
            try:
                self.register = parse_register(self.stored_register)
            except DocumentError:
                self.stored_register = ""

    # --- the policy of this moment --------------------------------------------------------------

    def has_lease(self, now_ms: float) -> bool:
        """Whether it has a lease for the last decided document."""
        lease = self.lease
        return self.ready and now_ms < lease.expires_ms and lease.number == self.register.last.number

    def _basis(self, now_ms: float) -> PolicyBasis:
        """The documents in effect at this moment."""
        last, before = self.register.last, self.register.before
        if self.has_lease(now_ms):
            return PolicyBasis("leased", last)
        if not self.ready:
            return PolicyBasis("waiting", last)
        if self.prepared is not None:
            return PolicyBasis("strict", last, self.prepared)
        if before is not None and self.granted_number != last.number:
            return PolicyBasis("strict", before, last)
        return PolicyBasis("floor", last)

    def policy_at(self, now_ms: float) -> m.ActivePolicy:
        """The policy of this moment, with absent keys filled in from the settings; changes nothing."""
        active, before = self.active, self.active_basis
        is_same = before is not None and before.document is self.register.last
        if active and is_same and active.basis == "leased" and self.has_lease(now_ms):
            return active  # the usual case for a call: it needs no new basis
        basis = self._basis(now_ms)
        if active is not None and basis == before:
            return active
        complete = with_defaults(self.capabilities.configured_defaults, basis.document)
        if basis.kind == "leased":
            return m.ActivePolicy(complete.number, basis.document.digest, complete, basis.kind)
        if basis.other is not None:
            complete = stricter(complete, with_defaults(self.capabilities.configured_defaults, basis.other))
        else:
            complete = stricter(complete, fallback_limits(complete))
        return m.ActivePolicy(complete.number, complete.digest, complete, basis.kind)

    def bind_call(self, now_ms: float, call: str) -> m.ActivePolicy:
        """Begin a call: the policy of this moment applies to it up to its final answer."""
        return self.policy_by_call.setdefault(call, self.policy_at(now_ms))

    def policy_of_call(self, call: str) -> m.ActivePolicy | None:
        """The policy of an open call; None for an unknown one."""
        return self.policy_by_call.get(call)

    def release_call(self, call: str) -> None:
        """End a call."""
        self.policy_by_call.pop(call, None)

    def _announce_change(self, now_ms: float) -> list[m.Effect]:
        """The policy of this moment as an effect, if it is another one than before."""
        new = self.policy_at(now_ms)
        self.relaxation.apply_due(now_ms)
        if new == self.active:
            return []
        self.active = new
        self.active_basis = self._basis(now_ms)
        self.relaxation.follow(now_ms, new.document)
        return [new]

    # --- time -----------------------------------------------------------------------------------

    def due_ms(self) -> float:
        """When `tick` has to be called at the latest."""
        deadlines = [self.next_request_ms]
        deadlines.extend(pending.effective_ms for pending in self.relaxation.pending.values())
        if self.active is not None and self.active.basis == "leased":
            deadlines.append(self.lease.expires_ms)
        return min(deadlines)

    def tick(self, now_ms: float) -> list[m.Effect]:
        """Do what is due; call it at `due_ms` at the latest, as a lease that is over ends here."""
        effects = self._announce_change(now_ms)
        if now_ms >= self.next_request_ms:
            self.next_request_ms = now_ms + self.timing.renew_ms
            known = self.register.last.number if self.ready else -1
            request = m.LeaseRequest(self.incarnation, now_ms, known, self.granted_number)
            effects.append(m.Send(m.LEADER, request))
        return effects

    # --- messages -------------------------------------------------------------------------------

    def receive(self, now_ms: float, sender: str, message: m.Message) -> list[m.Effect]:
        """Handle any message that is for a holder; others change nothing."""
        match message:
            case m.LeaseGrant():
                return self.receive_grant(now_ms, message)
            case m.Prepare():
                return self.receive_prepare(now_ms, sender, message)
            case m.Abort():
                return self.receive_abort(now_ms, message)
            case m.Decided():
                return self.receive_decision(now_ms, message.register)
            case _:
                return []

    def receive_prepare(self, now_ms: float, sender: str, message: m.Prepare) -> list[m.Effect]:
        """Answer a proposal with yes, or with no, key and cause.

        A yes binds to nothing but the stricter of both documents, and to that only while there is no lease.
        """
        order = message.term, message.sequence
        if order < self.newest_message or message.number <= self.register.last.number:
            return []
        if not self.ready:
            return []  # it has no lease, so nobody waits for it
        self.newest_message = order
        document: Document | None = None
        try:
            document = parse_document(message.text)
            error = find_incompatibility(document, self.capabilities) or ""
        except DocumentError as caught:
            error = str(caught)
        self.prepared = None if error else document
        short = error[: m.MAX_SHORT_TEXT]
        vote = m.Vote(self.incarnation, message.term, message.sequence, message.number, short)
        return [m.Send(sender, vote), *self._announce_change(now_ms)]

    def receive_abort(self, now_ms: float, message: m.Abort) -> list[m.Effect]:
        """Discard a proposal that was ended."""
        order = message.term, message.sequence
        if order < self.newest_message:
            return []
        self.newest_message = order
        if self.prepared is not None and self.prepared.number <= message.number:
            self.prepared = None
        return self._announce_change(now_ms)

    def receive_decision(self, now_ms: float, text: str) -> list[m.Effect]:
        """Adopt the register, whoever sent it, and report that to the leader's coordinator."""
        effects = self._adopt_register(text)
        if self.ready:
            effects.append(self._adopted_message(now_ms))
        return effects + self._announce_change(now_ms)

    def _adopted_message(self, now_ms: float) -> m.Send:
        number = self.register.last.number
        message = m.DocumentAdopted(self.incarnation, now_ms, number, self.granted_number)
        return m.Send(m.LEADER, message)

    def _adopt_register(self, text: str, *, replace: bool = False) -> list[m.Effect]:
        """Adopt a later register; with `replace` adopt this one, whatever the disk said.

        A register that this version can't read ends its readiness, as others may act by it already.
        """
        try:
            register = parse_register(text)
        except DocumentError as error:
            return self._lose_readiness(str(error))
        if not replace and register.last.number <= self.register.last.number:
            return []
        self.register = register
        self.error = ""
        if self.prepared is not None and self.prepared.number <= register.last.number:
            self.prepared = None
        return [m.StoreRegister(text)]

    def _lose_readiness(self, error: str) -> list[m.Effect]:
        """Give up the lease, as the decided register can't be read; each cause is logged once."""
        is_new = error != self.error
        self.error = error
        self.ready = False
        self.lease = NO_LEASE
        self.granted_number = -1
        return [m.RolloutLogEvent("policy register unreadable", {"reason": error})] if is_new else []

    def receive_grant(self, now_ms: float, message: m.LeaseGrant) -> list[m.Effect]:
        """Handle a coordinator's answer.

        One for another incarnation, or of an older document, is ignored.
        """
        if message.incarnation != self.incarnation:
            return []
        effects: list[m.Effect] = []
        if message.register and (not self.ready or message.number > self.register.last.number):
            effects = self._adopt_register(message.register, replace=not self.ready)
            if self.error:
                return effects + self._announce_change(now_ms)
            self.ready = True
            effects.append(self._adopted_message(now_ms))
        order = message.term, message.sequence
        if order >= self.newest_message:
            self.newest_message = order
            if self.prepared is not None and message.open_proposal_number != self.prepared.number:
                self.prepared = None
        self._take_lease(now_ms, message)
        return effects + self._announce_change(now_ms)

    def _take_lease(self, now_ms: float, message: m.LeaseGrant) -> None:
        """Take the lease in a grant, where it has one for the last decided document."""
        number = message.number
        if not self.ready or not message.lease_ms or number != self.register.last.number:
            return
        expires_ms = message.sent_ms + message.lease_ms
        if self.lease.number != number or expires_ms > self.lease.expires_ms:
            self.lease = LeaseRecord(number, expires_ms)
        if now_ms < expires_ms:
            self.granted_number = number
