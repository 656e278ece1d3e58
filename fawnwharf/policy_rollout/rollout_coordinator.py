"""The rollout coordinator at the voters' leader: takes one change through, and grants the leases behind it.

No I/O, no clock and no randomness but what is handed in; times are milliseconds of its own clock, which may
run fast or slow against a holder's by `skew` and must not step back. Leases are after Gray and Cheriton,
'Leases' (1989): a lease counts from the sending of its holder's question, so that no delay of the answer
makes it longer, and the coordinator takes it to be over by the slowest clock that a holder may have, on the
fastest of its own.

A change is an atomic commit whose decision is the voters' (Gray and Lamport, 'Consensus on Transaction
Commit', 2006): all that are alive agree, one decision stands in the log, and the end of no coordinator leaves
it open.

A new leader does not know which leases the one before it granted. So it assumes that every holder has one for
a lease's time from when it began, unless a holder shows that the last epoch has been in force: then no lease
of an earlier one is left.
"""

from dataclasses import dataclass, field

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import (
    Document,
    DocumentError,
    Register,
    parse_document,
    parse_register,
)


@dataclass(frozen=True, slots=True)
class RolloutTiming:
    """Times in milliseconds, and the part by which a clock's rate may differ from true time."""

    lease_ms: float = 2_000.0
    renew_ms: float = 500.0  # pace of holders' questions
    prepare_ms: float = 6_000.0  # for all to answer; longer than `over_ms`, which one that is cut off takes
    again_ms: float = 500.0  # pace at which what is not answered is said again
    skew: float = 0.1

    @property
    def over_ms(self) -> float:
        """The time by any clock after which a lease of `lease_ms` by any other clock is over."""
        return self.lease_ms * (1 + self.skew) / (1 - self.skew)


@dataclass(slots=True)
class OpenProposal:
    """The one proposal in progress."""

    document: Document
    turn: int
    until_ms: float
    yes: frozenset[str] = frozenset()
    deciding: bool = False  # it is put to the vote: from here nothing ends it


@dataclass(slots=True)
class RolloutCoordinator:
    """Owns what is proposed, who has agreed, and who may hold which lease."""

    timing: RolloutTiming
    members: tuple[str, ...] = ()
    term: int = 0  # of its reign; 0: it does not lead
    turn: int = 0
    register: Register = field(default_factory=Register)
    settled: bool = False  # the last decided is in force: nobody has a lease of an earlier one
    clear_ms: float = 0.0  # until then holders may have leases that nobody here granted
    leases: dict[str, tuple[int, float]] = field(default_factory=dict)  # by holder: epoch, over when
    asked: dict[str, tuple[int, float, float]] = field(default_factory=dict)  # life, sent, heard here
    lives: dict[str, int] = field(default_factory=dict)  # the last that each was heard in
    told: frozenset[str] = frozenset()  # those that are known to know the last decided
    open: OpenProposal | None = None
    top: int = 0  # the largest number given in this reign
    again_ms: float = 0.0
    ticked_ms: float = 0.0

    # --- reigns ---------------------------------------------------------------------------------

    def lead(self, now_ms: float, term: int, text: str) -> list[m.Effect]:
        """Begin a term.

        This member's voter leads, what it decided last is certainly the fleet's last (`Voter.fresh`), and
        nothing in its log is undecided. `text` is the register there; empty for none yet.
        """
        self.rest()
        try:
            self.register = parse_register(text)
        except DocumentError as error:
            return [m.LogEvent("policy not read", {"why": str(error), "term": term})]
        self.term, self.turn = term, 1
        self.top = self.register.last.number
        self.clear_ms = now_ms + self.timing.over_ms
        self.settled = self.register.before is None
        return [m.LogEvent("steward", {"term": term, "number": self.top})]

    def rest(self) -> None:
        """End the term: the voter does not lead any more.

        What was being prepared is the next coordinator's to end.
        """
        self.term, self.open, self.settled = 0, None, False
        self.leases, self.asked, self.lives, self.told = {}, {}, {}, frozenset()

    def due_ms(self) -> float | None:
        """When `tick` is wanted next; None for not before something comes in."""
        if not self.term or (self.open is None and self.settled):
            return None
        ends = [self.clear_ms, *(until for _, until in self.leases.values())]
        if self.open:
            ends.append(self.open.until_ms)
        return min([self.again_ms, *(end for end in ends if end > self.ticked_ms)])

    def heard(self, now_ms: float, sender: str, message: m.Message, fresh: bool) -> list[m.Effect]:
        """Take any message that is for a coordinator; others change nothing. `fresh` as for `status`."""
        if isinstance(message, m.Vote):
            return self.vote(now_ms, sender, message)
        if isinstance(message, m.LeaseRequest):
            return self.status(now_ms, sender, message, fresh)
        if isinstance(message, m.EpochAdopted):
            return self.changed(now_ms, sender, message, fresh)
        if isinstance(message, m.Propose):
            return self.propose(now_ms, message.text)
        return self.call_off(now_ms, message.why) if isinstance(message, m.Cancel) else []

    # --- a proposal -----------------------------------------------------------------------------

    def propose(self, now_ms: float, text: str) -> list[m.Effect]:
        """Take an operator's proposal; refused with a cause while another one is in progress."""
        if not self.term:
            return [_refused("this one does not lead")]
        if cause := self._busy():
            return [_refused(cause)]
        try:
            document = parse_document(text)
        except DocumentError as error:
            return [_refused(str(error))]
        self.top += 1
        self.turn += 1
        self.open = OpenProposal(document.numbered(self.top), self.turn, now_ms + self.timing.prepare_ms)
        self.again_ms = now_ms + self.timing.again_ms
        fields = {"number": self.top, "digest": document.digest, "members": len(self.members)}
        return [m.LogEvent("prepare", fields), *self._prepare(), *self._next(now_ms)]

    def _busy(self) -> str:
        if self.open is not None:
            return f"number {self.open.document.number} is under way"
        return "" if self.settled else f"number {self.register.last.number} is not in force yet"

    def _prepare(self) -> list[m.Effect]:
        return [m.Send(to, self._preparing()) for to in self.members if to not in self.open.yes]

    def _preparing(self) -> m.Prepare:
        document = self.open.document
        return m.Prepare(self.term, self.open.turn, document.number, document.encode())

    def vote(self, now_ms: float, sender: str, vote: m.Vote) -> list[m.Effect]:
        """Take a member's answer to the proposal."""
        if self.open is None or self.open.deciding or sender not in self.members:
            return []
        if (vote.term, vote.turn) != (self.term, self.open.turn):
            return []  # on another proposal, or another reign's
        if vote.life < self.lives.get(sender, 0):
            return []
        self._lives(sender, vote.life)
        if vote.fault:
            return self._end(f"{sender}: {vote.fault}")
        self.open.yes |= {sender}
        return self._next(now_ms)

    def call_off(self, now_ms: float, why: str = "") -> list[m.Effect]:
        """End what is being prepared, on an operator's request, while nothing is decided."""
        if self.open is None:
            return [_refused("nothing is being prepared")]
        if self.open.deciding:
            return [_refused(f"number {self.open.document.number} is being decided")]
        return self._end(f"called off {why}".strip())

    def take_members(self, now_ms: float, members: tuple[str, ...]) -> list[m.Effect]:
        """Take another list of members; whoever is taken off keeps its lease until that is over."""
        effects: list[m.Effect] = []
        if members != self.members and self.open and not self.open.deciding:
            effects = self._end("the list of members changed")
        self.members = members
        return effects

    def _end(self, why: str) -> list[m.Effect]:
        number = self.open.document.number
        self.turn += 1  # so that a prepare that comes late begins nothing anew
        self.open = None
        word = m.Abort(self.term, self.turn, number, why[:300])
        return [
            *(m.Send(to, word) for to in self.members),
            m.LogEvent("ended", {"number": number, "why": why}),
        ]

    def _held(self, now_ms: float, name: str) -> bool:
        """Whether a member may have a lease of this term, of whatever number, at this moment."""
        return name in self.leases and now_ms < self.leases[name][1]

    def missing(self, now_ms: float) -> list[str]:
        """Whose agreement is still wanted, for operators; empty where nothing is being prepared."""
        return self._missing(now_ms) if self.open and not self.open.deciding else []

    def _missing(self, now_ms: float) -> list[str]:
        """Whose agreement is still wanted: also of those taken off the list, until their leases are over."""
        names = {*self.members, *self.leases}
        return sorted(n for n in names if n not in self.open.yes and self._held(now_ms, n))

    def _next(self, now_ms: float) -> list[m.Effect]:
        """Ask for the decision once nobody is missing."""
        if self.open is None or self.open.deciding or self._missing(now_ms):
            return []
        if now_ms < self.clear_ms:
            return []  # the leader before may have granted to some that are on no list any more
        if not self.open.yes:
            return []  # nobody lives that would go by it
        self.open.deciding = True
        return [m.ProposeRegister(self.register.followed_by(self.open.document).encode())]

    # --- the decision ---------------------------------------------------------------------------

    def not_put(self, now_ms: float) -> list[m.Effect]:
        """Take that what was proposed to the log certainly never came into it."""
        return self._end("the voters' log did not take it") if self.open and self.open.deciding else []

    def decided(self, now_ms: float, text: str, fresh: bool) -> list[m.Effect]:
        """Take the log's register, as it was decided while this one leads. `fresh` as for `status`.

        Raises DocumentError for a malformed text; what it asked for itself never is.
        """
        register = parse_register(text)
        if not self.term or register.last.number <= self.register.last.number:
            return []
        self.register, self.open, self.settled = register, None, False
        self.top = max(self.top, register.last.number)
        self.turn += 1
        self.told = frozenset()
        self.again_ms = now_ms + self.timing.again_ms
        note = m.LogEvent("decided", {"number": register.last.number, "digest": register.last.digest})
        return [note, *self._tell(), *(self._settle(now_ms) if fresh else [])]

    def _tell(self) -> list[m.Effect]:
        word = m.Decided(self.register.encode())
        return [m.Send(to, word) for to in self.members if to not in self.told]

    def _early(self) -> list[str]:
        return [name for name, (number, _) in self.leases.items() if number < self.register.last.number]

    def _settle(self, now_ms: float, proof: bool = False) -> list[m.Effect]:
        """Declare the register in force, once no lease of an earlier number can be left.

        `proof` tells that it has been in force already.
        """
        if self.settled or not self.term:
            return []
        if not proof and (now_ms < self.clear_ms or any(self._held(now_ms, name) for name in self._early())):
            return []
        self.settled = True
        for name in self._early():
            del self.leases[name]
        effects: list[m.Effect] = [m.LogEvent("in force", {"number": self.register.last.number})]
        for name, (life, sent_ms, heard_ms) in self.asked.items():
            if name in self.told and name in self.members:  # an answer to what it asked last
                effects.append(m.Send(name, self._grant(name, life, sent_ms, heard_ms, "")))
        return effects

    # --- leases ---------------------------------------------------------------------------------

    def status(self, now_ms: float, sender: str, word: m.LeaseRequest, fresh: bool) -> list[m.Effect]:
        """Answer a holder's question for a lease.

        `fresh` is `Voter.fresh` at this moment; without it nothing is granted, as there may be another
        coordinator.
        """
        if not self.term or not fresh or sender not in self.members:
            return []
        if word.life < self.lives.get(sender, 0):
            return []
        self._lives(sender, word.life)
        life, sent_ms, _ = self.asked.get(sender, (0, 0.0, 0.0))
        if word.life == life and word.sent_ms < sent_ms:
            return []  # overtaken by a later one, which told more
        self.asked[sender] = word.life, word.sent_ms, now_ms
        last = self.register.last.number
        effects: list[m.Effect] = []
        if word.known < last:
            self.told -= {sender}
        else:
            self.told |= {sender}
            if sender in self.leases and self.leases[sender][0] < last:
                del self.leases[sender]
        effects += self._settle(now_ms, proof=word.granted == last)
        text = "" if word.known >= last else self.register.encode()
        if effects and not text:
            return effects  # its grant is among those
        effects.append(m.Send(sender, self._grant(sender, word.life, word.sent_ms, now_ms, text)))
        if self.open and sender not in self.open.yes and not self.open.deciding:
            effects.append(m.Send(sender, self._preparing()))
        return effects

    def changed(self, now_ms: float, sender: str, word: m.EpochAdopted, fresh: bool) -> list[m.Effect]:
        """Take that a holder does not act by anything before that number any more."""
        status = m.LeaseRequest(word.life, word.sent_ms, word.number, word.granted)
        effects = self.status(now_ms, sender, status, fresh)
        return effects if self.settled else []  # an answer follows once there is a lease to be had

    def _lives(self, name: str, life: int) -> None:
        """Note a member's incarnation: one that was restarted has forgotten what it agreed to."""
        if life > self.lives.get(name, 0):
            self.lives[name] = life
            self.told -= {name}
            if self.open:
                self.open.yes -= {name}

    def _grant(self, name: str, life: int, sent_ms: float, heard_ms: float, register: str) -> m.LeaseGrant:
        """The answer to a holder: a lease where there may be one.

        A holder that has not agreed to what is being decided gets none, as it would have to be waited for
        again. Nor does one that has not shown that it can read the last document: it would hold up every
        change, also the one that helps it.
        """
        last, opened = self.register.last.number, self.open
        late = opened is not None and opened.deciding and name not in opened.yes
        able = self.settled and name in self.told and not late
        lease_ms = self.timing.lease_ms if able else 0.0
        if lease_ms:
            before = self.leases.get(name, (last, 0.0))[1]
            self.leases[name] = last, max(before, heard_ms + self.timing.over_ms)
        number = opened.document.number if opened else 0
        return m.LeaseGrant(self.term, self.turn, life, sent_ms, last, lease_ms, number, register)

    # --- time -----------------------------------------------------------------------------------

    def tick(self, now_ms: float, fresh: bool) -> list[m.Effect]:
        """Do what is due; call it at `due_ms` at the latest. `fresh` as for `status`."""
        self.ticked_ms = now_ms
        if not self.term or not fresh:
            self.again_ms = now_ms + self.timing.again_ms
            return []
        if self.open and not self.open.deciding and now_ms >= self.open.until_ms:
            return self._end(f"no answer from {', '.join(self._missing(now_ms)[:5]) or 'anybody'}")
        effects = [*self._next(now_ms), *self._settle(now_ms)]
        if now_ms >= self.again_ms and (self.open or not self.settled):
            self.again_ms = now_ms + self.timing.again_ms
            if self.open and not self.open.deciding:
                effects += self._prepare()
            elif not self.settled:
                effects += self._tell()
        return effects


def _refused(why: str) -> m.LogEvent:
    return m.LogEvent("refused", {"why": why})
