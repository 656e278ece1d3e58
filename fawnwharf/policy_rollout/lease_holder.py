"""The lease holder at each front end: by which policy a call is judged at this moment.

No I/O, no clock and no randomness but what is handed in; times are milliseconds of its own clock. It acts by
an epoch only under a lease for it. Between two epochs it goes by the stricter of both, key by key, which
admits no more than either policy would; where it has lost its lease and knows of no next epoch, by the
stricter of the last one and `floor`.

Whatever it knows to be decided binds it at once: from then on no lease of an earlier number counts. After a
restart it has no lease and nothing that may be relied on, whatever its disk says; it is not ready before a
leader's coordinator has told it the last decided document.
"""

from dataclasses import dataclass, field

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import (
    MODES_BY_STRICTNESS,
    DeploymentCapabilities,
    Document,
    DocumentError,
    Register,
    fallback_limits,
    find_incompatibility,
    parse_document,
    parse_register,
    stricter,
    with_defaults,
)
from fawnwharf.policy_rollout.rollout_coordinator import RolloutTiming


@dataclass(slots=True)
class DelayedRelaxation:
    """Modes and windows of replication, following the policy: stricter at once, looser only with a delay.

    A call that was taken under an old window may be repeated until that has passed. So a shorter window, or a
    less careful mode, takes effect only after the old window, by the slowest clock.
    """

    skew: float
    now: dict[str, tuple[str, float]] = field(default_factory=dict)  # by class: mode, window in ms
    later: dict[str, tuple[str, float, float]] = field(default_factory=dict)  # and from when

    def follow(self, now_ms: float, document: Document) -> None:
        """Take the document that is in force from now on."""
        modes, windows = document.section("modes"), document.section("window_ms")
        self.step(now_ms)
        for name in {*modes, *windows, *self.now}:
            new = str(modes.get(name, "off")), float(windows.get(name, 0.0))
            old = self.now.get(name, new)
            kept = max(old[0], new[0], key=MODES_BY_STRICTNESS.index), max(old[1], new[1])
            self.now[name] = kept
            if kept == new:
                self.later.pop(name, None)
            elif self.later.get(name, ("", -1.0))[:2] != new:
                self.later[name] = *new, now_ms + old[1] * (1 + self.skew) / (1 - self.skew)

    def step(self, now_ms: float) -> None:
        """Apply what was delayed until now."""
        for name, (mode, window, at_ms) in list(self.later.items()):
            if now_ms >= at_ms:
                self.now[name] = mode, window
                del self.later[name]


@dataclass(slots=True)
class LeaseHolder:
    """Owns one front end's lease, what it knows to be decided, and what it was asked to prepare for."""

    known: DeploymentCapabilities
    timing: RolloutTiming
    life: int  # a larger one after each restart
    disk: str = ""  # what `Keep` left there; nothing rests on it but the limits while no leader is heard
    register: Register = field(default_factory=Register)
    ready: bool = False
    lease: tuple[int, float] = (-1, 0.0)  # number, over when
    granted: int = -1
    prepared: Document | None = None
    word: tuple[int, int] = (0, 0)  # term and turn of the newest word of a steward
    open_ms: float = 0.0  # when to ask next
    calls: dict[str, m.ActivePolicy] = field(default_factory=dict)  # by what each was taken
    last: m.ActivePolicy | None = None  # as told to the owner
    stance: tuple[str, Document, Document | None] | None = None  # of `last`
    keeping: DelayedRelaxation | None = None
    fault: str = ""  # of a decided document that this version does not know

    def __post_init__(self) -> None:
        self.keeping = DelayedRelaxation(self.timing.skew)
        if self.disk:
            try:
                self.register = parse_register(self.disk)
            except DocumentError:
                self.disk = ""

    # --- what calls are judged by ---------------------------------------------------------------

    def leased(self, now_ms: float) -> bool:
        """Whether it has a lease for the last decided document."""
        number, until_ms = self.lease
        return self.ready and number == self.register.last.number and now_ms < until_ms

    def _stance(self, now_ms: float) -> tuple[str, Document, Document | None]:
        """By what it decides: the lease; or the stricter of two documents; or one document and its floor."""
        last, before = self.register.last, self.register.before
        if self.leased(now_ms):
            return "leased", last, None
        if not self.ready:
            return "waiting", last, None
        if self.prepared is not None:
            return "strict", last, self.prepared
        if before is not None and self.granted != last.number:
            return "strict", before, last
        return "floor", last, None

    def judged_by(self, now_ms: float) -> m.ActivePolicy:
        """The policy of this moment, over the settings."""
        stance = self._stance(now_ms)
        if self.last is not None and stance == self.stance:
            return self.last
        how, one, other = stance
        whole = with_defaults(self.known.base, one)
        if other is not None:
            whole = stricter(whole, with_defaults(self.known.base, other))
        elif how != "leased":
            whole = stricter(whole, fallback_limits(whole))
        return m.ActivePolicy(whole.number, one.digest if how == "leased" else whole.digest, whole, how)

    def take(self, now_ms: float, call: str) -> m.ActivePolicy:
        """Begin a call: the policy of this moment judges it up to its final answer."""
        return self.calls.setdefault(call, self.judged_by(now_ms))

    def of(self, call: str) -> m.ActivePolicy | None:
        """The policy of an open call; None for an unknown one."""
        return self.calls.get(call)

    def done(self, call: str) -> None:
        """End a call."""
        self.calls.pop(call, None)

    def _given_out(self, now_ms: float) -> list[m.Effect]:
        """Tell the owner the policy of this moment, if it is another one than before."""
        new = self.judged_by(now_ms)
        self.keeping.step(now_ms)
        if new == self.last:
            return []
        self.last, self.stance = new, self._stance(now_ms)
        self.keeping.follow(now_ms, new.document)
        return [new]

    # --- time -----------------------------------------------------------------------------------

    def due_ms(self) -> float:
        """When `tick` has to be called at the latest."""
        dues = [self.open_ms, *(at_ms for _, _, at_ms in self.keeping.later.values())]
        if self.last is not None and self.last.how == "leased":
            dues.append(self.lease[1])
        return min(dues)

    def tick(self, now_ms: float) -> list[m.Effect]:
        """Do what is due; call it at `due_ms` at the latest, as a lease that is over ends here."""
        effects = self._given_out(now_ms)
        if now_ms >= self.open_ms:
            self.open_ms = now_ms + self.timing.renew_ms
            known = self.register.last.number if self.ready else -1
            effects.append(m.Send(m.LEADER, m.LeaseRequest(self.life, now_ms, known, self.granted)))
        return effects

    def heard(self, now_ms: float, sender: str, message: m.Message) -> list[m.Effect]:
        """Take any message that is for a holder; others change nothing."""
        if isinstance(message, m.LeaseGrant):
            return self.grant(now_ms, message)
        if isinstance(message, m.Prepare):
            return self.prepare(now_ms, sender, message)
        if isinstance(message, m.Abort):
            return self.abort(now_ms, message)
        return self.decided(now_ms, message.register) if isinstance(message, m.Decided) else []

    # --- what comes in --------------------------------------------------------------------------

    def prepare(self, now_ms: float, sender: str, word: m.Prepare) -> list[m.Effect]:
        """Answer a proposal with yes, or with no, key and cause.

        A yes binds to nothing but the stricter of both documents, and to that only while there is no lease.
        """
        if (word.term, word.turn) < self.word or word.number <= self.register.last.number:
            return []
        if not self.ready:
            return []  # it has no lease, so nobody waits for it
        self.word = word.term, word.turn
        try:
            document = parse_document(word.text)
            fault = find_incompatibility(document, self.known) or ""
        except DocumentError as error:
            document, fault = None, str(error)
        self.prepared = None if fault else document
        vote = m.Vote(self.life, word.term, word.turn, word.number, fault[:300])
        return [m.Send(sender, vote), *self._given_out(now_ms)]

    def abort(self, now_ms: float, word: m.Abort) -> list[m.Effect]:
        """Take that a proposal was ended."""
        if (word.term, word.turn) < self.word:
            return []
        self.word = word.term, word.turn
        if self.prepared is not None and self.prepared.number <= word.number:
            self.prepared = None
        return self._given_out(now_ms)

    def decided(self, now_ms: float, text: str) -> list[m.Effect]:
        """Take the register from whoever has it: change over, and tell the leader's coordinator."""
        effects = self._learn(text)
        if self.ready:
            effects.append(self._changed(now_ms))
        return effects + self._given_out(now_ms)

    def _changed(self, now_ms: float) -> m.Send:
        number = self.register.last.number
        return m.Send(m.LEADER, m.EpochAdopted(self.life, now_ms, number, self.granted))

    def _learn(self, text: str, anew: bool = False) -> list[m.Effect]:
        """Take a later register; with `anew` take this one, whatever the disk said.

        A register that this version can't read ends its readiness, as others may act by it already.
        """
        try:
            register = parse_register(text)
        except DocumentError as error:
            new, self.fault = str(error) != self.fault, str(error)
            self.ready, self.lease, self.granted = False, (-1, 0.0), -1
            return [m.LogEvent("policy not read", {"why": self.fault})] if new else []
        if not anew and register.last.number <= self.register.last.number:
            return []
        self.register, self.fault = register, ""
        if self.prepared is not None and self.prepared.number <= register.last.number:
            self.prepared = None
        return [m.StoreRegister(text)]

    def grant(self, now_ms: float, word: m.LeaseGrant) -> list[m.Effect]:
        """Take a coordinator's answer.

        One for an earlier incarnation, or of an older document, is ignored.
        """
        if word.life != self.life:
            return []
        effects: list[m.Effect] = []
        if word.register and (not self.ready or word.number > self.register.last.number):
            effects = self._learn(word.register, anew=not self.ready)
            if self.fault:
                return effects + self._given_out(now_ms)
            self.ready = True
            effects.append(self._changed(now_ms))
        if (word.term, word.turn) >= self.word:
            self.word = word.term, word.turn
            if self.prepared is not None and word.open != self.prepared.number:
                self.prepared = None
        until_ms = word.sent_ms + word.lease_ms
        if self.ready and word.lease_ms and word.number == self.register.last.number:
            if self.lease[0] != word.number or until_ms > self.lease[1]:
                self.lease = word.number, until_ms
            if now_ms < until_ms:
                self.granted = word.number
        return effects + self._given_out(now_ms)
