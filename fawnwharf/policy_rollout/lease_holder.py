"""The lease holder at each front end: determines the policy that applies to calls now.

The holder does no I/O and reads no clock and no random source: callers pass the time in. Times are
milliseconds of the holder's own clock.

The holder applies a document as it is only under a lease for it. Without a lease, while the fleet may be
changing from one document to another, it applies the stricter of both, key by key, which admits no more than
either document would. Without a lease and without a known next document, it applies the stricter of the last
document and its fallback limits.

A decision binds the holder as soon as it knows it: a lease for an earlier document is no longer valid. After
a restart the holder has no lease and does not rely on the register stored on its disk. It is not ready before
a leader's coordinator has sent it the last decided document.
"""

from dataclasses import dataclass, field
from math import isfinite
from typing import NamedTuple

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.delayed_relaxation import DelayedRelaxation, ReplicationRule
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
from fawnwharf.policy_rollout.rollout_state import LeaseRecord, RolloutTiming

NO_LEASE = LeaseRecord(-1, 0.0)


class PolicyBasis(NamedTuple):
    """Which documents make up the policy: one (leased, or with fallback limits) or the stricter of two."""

    kind: m.PolicyBasisKind
    document: Document
    other: Document | None = None  # the second document where the stricter of two applies


@dataclass(slots=True)
class LeaseHolder:
    """Owns one front end's lease, the last decided register that it knows, and the prepared document."""

    capabilities: DeploymentCapabilities
    timing: RolloutTiming
    incarnation: int  # differs after each restart
    stored_register: str = ""  # from disk; used only for limits, until a leader has answered
    # From disk: the replication rules that were in effect, by class.
    stored_rules: dict[str, ReplicationRule] = field(default_factory=dict)
    register: PolicyRegister = field(default_factory=PolicyRegister)
    ready: bool = False
    lease: LeaseRecord = NO_LEASE
    granted_number: int = -1  # of the last document leased since the start; -1: none
    # The proposed document that the holder voted for, until the proposal is decided or aborted.
    prepared: Document | None = None
    newest_message: tuple[int, int] = (0, 0)  # (term, sequence) of a coordinator's newest message
    next_request_ms: float = 0.0
    policy_by_call: dict[str, m.ActivePolicy] = field(default_factory=dict)  # of each open call, by its key
    active: m.ActivePolicy | None = None  # the policy last announced to the owner
    active_basis: PolicyBasis | None = None  # the basis of `active`
    relaxation: DelayedRelaxation = field(init=False)
    error: str = ""  # why the last decided register can't be read; empty if it can

    def __post_init__(self) -> None:
        max_call_ms = self.capabilities.max_give_up_ms  # infinite if calls are not replicated
        max_call_ms = max_call_ms if isfinite(max_call_ms) else 0.0
        self.relaxation = DelayedRelaxation(self.timing.skew, max_call_ms, dict(self.stored_rules))
        if self.stored_register:
            try:
                self.register = parse_register(self.stored_register)
            except DocumentError:
                self.stored_register = ""

    # --- the current policy ---------------------------------------------------------------------

    def has_lease(self, now_ms: float) -> bool:
        """Whether the holder has a valid lease for the last decided document."""
        lease = self.lease
        return self.ready and now_ms < lease.expires_ms and lease.number == self.register.last.number

    def _basis(self, now_ms: float) -> PolicyBasis:
        """The documents that the current policy is made of."""
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
        """The policy at this time, with absent keys filled in from the settings; has no side effects."""
        active, before = self.active, self.active_basis
        is_same = before is not None and before.document is self.register.last
        if active and is_same and active.basis == "leased" and self.has_lease(now_ms):
            return active  # the usual case for a call
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
        """Bind a call to the current policy, which applies to it until its final answer."""
        return self.policy_by_call.setdefault(call, self.policy_at(now_ms))

    def policy_of_call(self, call: str) -> m.ActivePolicy | None:
        """The policy bound to an open call; None for an unknown call."""
        return self.policy_by_call.get(call)

    def release_call(self, call: str) -> None:
        """Forget the policy of a call that has ended."""
        self.policy_by_call.pop(call, None)

    def _announce_change(self, now_ms: float) -> list[m.Effect]:
        """Return the current policy as an effect if it differs from the last announced one."""
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
        """The latest time at which `tick` must be called."""
        deadlines = [self.next_request_ms]
        deadlines.extend(pending.effective_ms for pending in self.relaxation.pending.values())
        if self.active is not None and self.active.basis == "leased":
            deadlines.append(self.lease.expires_ms)
        return min(deadlines)

    def tick(self, now_ms: float) -> list[m.Effect]:
        """Apply an expired lease and send a due lease request; must be called no later than `due_ms`."""
        effects = self._announce_change(now_ms)
        if now_ms >= self.next_request_ms:
            self.next_request_ms = now_ms + self.timing.renew_ms
            known = self.register.last.number if self.ready else -1
            request = m.LeaseRequest(self.incarnation, now_ms, known, self.granted_number)
            effects.append(m.Send(m.LEADER, request))
        return effects

    # --- messages -------------------------------------------------------------------------------

    def receive(self, now_ms: float, sender: str, message: m.Message) -> list[m.Effect]:
        """Handle a message for the holder; ignore any other."""
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
        """Vote yes on a proposal, or no with the key and the cause.

        A yes commits the holder only to applying the stricter of both documents while it has no lease.
        """
        order = message.term, message.sequence
        if order < self.newest_message or message.number <= self.register.last.number:
            return []
        if not self.ready:
            return []  # without a lease its vote is not needed
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
        """Discard a proposal that was aborted."""
        order = message.term, message.sequence
        if order < self.newest_message:
            return []
        self.newest_message = order
        if self.prepared is not None and self.prepared.number <= message.number:
            self.prepared = None
        return self._announce_change(now_ms)

    def receive_decision(self, now_ms: float, text: str) -> list[m.Effect]:
        """Adopt a decided register from any sender and report that to the leader's coordinator."""
        effects = self._adopt_register(text)
        if self.ready:
            effects.append(self._adopted_message(now_ms))
        return effects + self._announce_change(now_ms)

    def _adopted_message(self, now_ms: float) -> m.Send:
        number = self.register.last.number
        message = m.DocumentAdopted(self.incarnation, now_ms, number, self.granted_number)
        return m.Send(m.LEADER, message)

    def _adopt_register(self, text: str, *, replace: bool = False) -> list[m.Effect]:
        """Adopt the register if it is later; with `replace`, also if the one from disk has a higher number.

        A register that this version can't read ends readiness, because other members may already apply it.
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
        """Give up the lease because the decided register can't be read; a repeated error is not logged."""
        is_new = error != self.error
        self.error = error
        self.ready = False
        self.lease = NO_LEASE
        self.granted_number = -1
        return [m.RolloutLogEvent("policy register unreadable", {"reason": error})] if is_new else []

    def receive_grant(self, now_ms: float, message: m.LeaseGrant) -> list[m.Effect]:
        """Handle a coordinator's answer to a lease request.

        An answer to another incarnation is ignored, and so is a lease for another document than the last.
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
        """Record the lease of a grant, if it is one for the last decided document."""
        number = message.number
        if not self.ready or not message.lease_ms or number != self.register.last.number:
            return
        expires_ms = message.sent_ms + message.lease_ms
        if self.lease.number != number or expires_ms > self.lease.expires_ms:
            self.lease = LeaseRecord(number, expires_ms)
        if now_ms < expires_ms:
            self.granted_number = number
