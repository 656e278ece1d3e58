"""One member's part in policy rollouts.

Its lease holder, its coordinator while it leads, operators' requests.

Pure: messages of other members, decisions of the consensus log and ticks come in with a time, effects go out
in order. `Say` is for other members only; `Decide` is to be proposed to the consensus log at once. Nothing
depends on the delivery of a message: holders ask again, a coordinator repeats what is not answered, and an
operator's request is repeated until a leader's status tells what came of it.
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
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator, RolloutTiming
from fawnwharf.zones.log_lines import ConsensusStatus

OUTCOMES_MOST = 8  # of a reign, that are told
WISHES_MOST = 4
WISH_MS = 10_000.0  # a word that no leader answers for so long is given up
TO_STEWARD = (m.Vote, m.LeaseRequest, m.EpochAdopted)
OF_OPERATORS = (m.Propose, m.Rollback, m.Cancel)


@dataclass(slots=True)
class Wish:
    """An operator's request that was made at this member."""

    message: m.Propose | m.Rollback | m.Cancel
    digest: str  # of what it asks for; "": not known
    began_ms: float
    outcome: m.RequestOutcome
    term: int = 0  # of the leader that told the outcome
    said_ms: float = 0.0


@dataclass(slots=True)
class RolloutMember:
    """Owns the lease holder and the coordinator of one member, and the operators' requests made at it."""

    name: str
    members: tuple[str, ...]
    known: DeploymentCapabilities
    timing: RolloutTiming
    life: int
    seat: Callable[[float], ConsensusStatus]  # how its voter stands
    votes: bool = False
    disk: str = ""
    holder: LeaseHolder = field(init=False)
    steward: RolloutCoordinator | None = None
    counts: dict[str, int] = field(default_factory=dict)  # what was dropped, by cause
    standings: dict[str, m.MemberStatus] = field(default_factory=dict)  # others', as last told
    wishes: deque[Wish] = field(default_factory=lambda: deque(maxlen=WISHES_MOST))  # that were said here
    term: int = 0  # the largest of a leader that was heard
    outcomes: deque[m.RequestOutcome] = field(default_factory=lambda: deque(maxlen=OUTCOMES_MOST))
    unread: int = 0  # a reign that could not begin
    taken: dict[str, int] = field(default_factory=dict)  # in this reign, by front end: the last word's number
    lives: IncarnationCounter = field(
        default_factory=IncarnationCounter
    )  # the steward knows them as counted, their members as told

    def __post_init__(self) -> None:
        self.holder = LeaseHolder(self.known, self.timing, self.life, self.disk)
        if self.votes:
            self.steward = RolloutCoordinator(self.timing, self.members)

    def _count(self, cause: str) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + 1

    def leads(self, now_ms: float) -> bool:
        """Whether this member leads for certain at this moment."""
        if self.steward is None or not self.steward.term:
            return False
        seat = self.seat(now_ms)
        return seat.fresh and seat.term == self.steward.term

    # --- what comes in --------------------------------------------------------------------------

    def heard(self, now_ms: float, sender: str, said: tuple[Any, ...]) -> list[m.Effect]:
        """Take messages of another member; what can't be decoded is dropped and counted."""
        effects: list[m.Effect] = []
        for data in said:
            try:
                message = m.decode_message(data)
            except msgspec.ValidationError:
                self._count("bad word")
                continue
            effects += self._take(now_ms, sender, message)
        return self._out(now_ms, effects)

    def _take(self, now_ms: float, sender: str, message: m.Message) -> list[m.Effect]:
        if isinstance(message, OF_OPERATORS):
            return self._wished(now_ms, sender, message)
        if not isinstance(message, TO_STEWARD):
            return self.holder.heard(now_ms, sender, message)
        if self.steward is None:
            return []
        if not (life := self.lives.observe(sender, message.life)):
            self._count("of an earlier life")
            return []
        message = msgspec.structs.replace(message, life=life)
        return self.steward.heard(now_ms, sender, message, self.leads(now_ms))

    def _out(self, now_ms: float, effects: list[m.Effect]) -> list[m.Effect]:
        """Deliver what is for this member itself at once; the rest is returned, in order."""
        found, waiting = [], deque(effects)
        while waiting:
            effect = waiting.popleft()
            if isinstance(effect, m.Send):
                if isinstance(effect.message, m.LeaseGrant):
                    effect = self._as_told(effect)
                mine = effect.to == self.name or (effect.to == m.LEADER and self.leads(now_ms))
                if mine:
                    waiting.extend(self._take(now_ms, self.name, effect.message))
                    continue
            elif isinstance(effect, m.LogEvent):
                self._noted(effect)
            found.append(effect)
        if self.wishes and self.steward is not None and self.steward.term:
            self._learn_outcomes(self.standing(now_ms))
        return found

    def _as_told(self, say: m.Send) -> m.Send:
        """A grant, with the incarnation's own number in place of its count."""
        life = self.lives.number_of(say.to, say.message.life)
        return msgspec.structs.replace(say, message=msgspec.structs.replace(say.message, life=life))

    def decided(self, now_ms: float, text: str) -> list[m.Effect]:
        """Take a register that the consensus log decided, at any voter."""
        effects: list[m.Effect] = []
        try:
            if self.steward is not None and self.steward.term:
                effects = self.steward.decided(now_ms, text, self.leads(now_ms))
            number = parse_register(text).last.number
        except DocumentError:
            return self._out(now_ms, self.holder.decided(now_ms, text))  # it says so, and is not ready
        if number > self.holder.register.last.number:
            effects += self.holder.decided(now_ms, text)
        return self._out(now_ms, effects)

    def not_put(self, now_ms: float) -> list[m.Effect]:
        """Take that what was to be decided never came into the log."""
        return self._out(now_ms, self.steward.not_put(now_ms)) if self.steward else []

    def take_members(
        self, now_ms: float, members: tuple[str, ...], known: DeploymentCapabilities
    ) -> list[m.Effect]:
        """Take another list of members, and what the deployment then knows."""
        self.members, self.known, self.holder.known = members, known, known
        self.holder.stance = None  # what an absent key means may be another thing
        self.standings = {name: told for name, told in self.standings.items() if name in members}
        self.lives.retain(members)
        if self.steward is None:
            return []
        return self._out(now_ms, self.steward.take_members(now_ms, members))

    # --- reigns ---------------------------------------------------------------------------------

    def turned(self, now_ms: float) -> list[m.Effect]:
        """Take that the voter may have begun or ceased to lead.

        A term begins here when the voter leads, its last decision is certainly the fleet's last, and nothing
        in its log is undecided.
        """
        steward = self.steward
        if steward is None:
            return []
        seat, effects = self.seat(now_ms), []
        if steward.term and steward.term != seat.term:
            effects.append(m.LogEvent("steward rests", {"term": steward.term}))
            steward.rest()
            self.outcomes.clear()
            self.taken.clear()
        if not steward.term and seat.fresh and seat.settled and seat.term != self.unread:
            effects += steward.lead(now_ms, seat.term, seat.policy)
            self.unread = 0 if steward.term else seat.term
            self.term = max(self.term, steward.term)
            self.holder.open_ms = min(self.holder.open_ms, now_ms)
        return self._out(now_ms, effects) if effects else []

    # --- time -----------------------------------------------------------------------------------

    def due_ms(self) -> float:
        """When `tick` has to be called at the latest."""
        dues = [self.holder.due_ms()]
        if self.steward is not None and (due := self.steward.due_ms()) is not None:
            dues.append(due)
        asked = [w.said_ms for w in self.wishes if w.outcome.state == "asked"]
        return min([*dues, *(said_ms + self.timing.again_ms for said_ms in asked)])

    def tick(self, now_ms: float) -> list[m.Effect]:
        """Do what is due: lease questions, repeats, time-outs."""
        effects = self.turned(now_ms)
        more: list[m.Effect] = []
        if self.steward is not None and (due := self.steward.due_ms()) is not None and now_ms >= due:
            more += self.steward.tick(now_ms, self.leads(now_ms))
        if now_ms >= self.holder.due_ms():
            more += self.holder.tick(now_ms)
        for wish in self.wishes:
            more += self._wish_again(now_ms, wish)
        return effects + self._out(now_ms, more)

    # --- operators' words: at the leader ----------------------------------------------------------

    def _wished(self, now_ms: float, by: str, word: m.Propose | m.Rollback | m.Cancel) -> list[m.Effect]:
        """Take an operator's request at the leader.

        Each is taken once, and only if it is meant for this term: an old one may be repeated by a log that
        was cut off, and had its outcome long ago.
        """
        if not self.leads(now_ms) or word.term != self.steward.term or word.wish <= self.taken.get(by, 0):
            return []
        self.taken[by] = word.wish
        if isinstance(word, m.Cancel):
            return self._called_off(now_ms, by, word)
        steward, text = self.steward, word.text if isinstance(word, m.Propose) else ""
        last, before = steward.register.last, steward.register.before
        if isinstance(word, m.Rollback):
            if word.number != last.number or before is None:
                why = f"{last.number} is the last, not {word.number}" if before else "there is none before it"
                self.outcomes.append(m.RequestOutcome(by, word.wish, "refused", 0, why))
                return [m.LogEvent("refused", {"why": why})]
            text = before.encode()
        try:
            same = steward.open is None and parse_document(text).digest == last.digest
        except DocumentError:
            same = False  # the steward says why
        if same:  # said to a leader that knows nothing of it, or for nothing
            state = "in force" if steward.settled else "decided"
            self.outcomes.append(m.RequestOutcome(by, word.wish, state, last.number))
            return []
        effects = steward.propose(now_ms, text)
        first = next(effect for effect in effects if isinstance(effect, m.LogEvent))
        if first.event == "prepare":
            self.outcomes.append(m.RequestOutcome(by, word.wish, "preparing", first.fields["number"]))
        else:
            self.outcomes.append(m.RequestOutcome(by, word.wish, "refused", 0, first.fields["why"][:300]))
        return effects

    def _called_off(self, now_ms: float, by: str, word: m.Cancel) -> list[m.Effect]:
        opened = self.steward.open.document.number if self.steward.open else 0
        if word.number not in (0, opened):
            effects: list[m.Effect] = [m.LogEvent("refused", {"why": f"{word.number} is not being prepared"})]
        else:
            effects = self.steward.call_off(now_ms, word.why)
        refused = [e for e in effects if isinstance(e, m.LogEvent) and e.event == "refused"]
        why = refused[0].fields["why"] if refused else "called off"
        self.outcomes.append(
            m.RequestOutcome(by, word.wish, "refused" if refused else "ended", opened, why[:300])
        )
        return effects

    def _noted(self, note: m.LogEvent) -> None:
        """Update the outcomes of requests by a coordinator's note."""
        if note.event not in ("ended", "decided", "in force"):
            return
        for place, outcome in enumerate(self.outcomes):
            if outcome.number == note.fields["number"] and outcome.state not in m.FINAL_STATES:
                why = str(note.fields.get("why", ""))[:300]
                self.outcomes[place] = msgspec.structs.replace(outcome, state=note.event, why=why)

    # --- operators' words: where they are given -----------------------------------------------------

    def ask(self, now_ms: float, wish: int, said: Any) -> list[m.Effect]:
        """Take an operator's request at this member, checked by itself."""
        register, digest = self.holder.register, ""
        if said.propose is not None:
            text = msgspec.json.encode(said.propose).decode()
            digest, message = parse_document(text).digest, m.Propose(text, wish, self.term)
        elif said.back:
            message = m.Rollback(register.last.number, wish, self.term)
            digest = register.before.digest if register.before else ""
        else:
            leader = max(self.standings.values(), key=lambda told: told.term, default=None)
            opened = leader.open if leader and leader.term else 0
            message = m.Cancel(said.call_off[:200], opened, wish, self.term)
        self.wishes.append(
            Wish(message, digest, now_ms, m.RequestOutcome(self.name, wish, "asked"), 0, now_ms)
        )
        return self._out(now_ms, [m.Send(m.LEADER, message)])

    def refuse(self, now_ms: float, wish: int, why: str) -> None:
        """Note a request that can't be taken, and why."""
        outcome = m.RequestOutcome(self.name, wish, "refused", 0, why[:300])
        self.wishes.append(Wish(m.Cancel("", 0, wish), "", now_ms, outcome))

    def _wish_again(self, now_ms: float, wish: Wish) -> list[m.Effect]:
        if wish.outcome.state != "asked":
            return []
        if now_ms - wish.began_ms >= WISH_MS:
            wish.outcome = m.RequestOutcome(self.name, wish.message.wish, "ended", 0, "no leader answered")
            return []
        if now_ms - wish.said_ms < self.timing.again_ms:
            return []
        wish.said_ms = now_ms
        wish.message = msgspec.structs.replace(wish.message, term=self.term)  # by now it may be another's
        return [m.Send(m.LEADER, wish.message)]

    # --- standings ------------------------------------------------------------------------------

    def standing_of(self, now_ms: float, sender: str, data: Any) -> None:
        """Take another member's status; what can't be decoded is dropped and counted."""
        try:
            told = m.decode_member_status(data)
        except msgspec.ValidationError:
            self._count("bad standing")
            return
        self.standings[sender] = told
        if told.term > self.term:
            self.term = told.term
            self.holder.open_ms = min(self.holder.open_ms, now_ms)  # a new leader: ask it at once
        if told.term == self.term and told.term:
            self._learn_outcomes(told)

    def _learn_outcomes(self, leader: m.MemberStatus) -> None:
        known = {outcome.wish: outcome for outcome in leader.outcomes if outcome.by == self.name}
        for wish in self.wishes:
            if leader.term < wish.term:
                continue
            if (outcome := known.get(wish.message.wish)) is not None:
                wish.outcome, wish.term = outcome, leader.term
            elif leader.term > wish.term:
                wish.outcome = _after(wish, leader)

    def standing(self, now_ms: float) -> m.MemberStatus:
        """This member's status, as it is told to the others."""
        holder, steward = self.holder, self.steward
        last, told = holder.register.last, {}
        if steward is not None and steward.term:
            last = steward.register.last
            told = {
                "term": steward.term,
                "open": steward.open.document.number if steward.open else 0,
                "missing": tuple(steward.missing(now_ms)[:8]),
                "settled": steward.settled,
                "outcomes": tuple(self.outcomes),
            }
        return m.MemberStatus(
            ready=holder.ready,
            how=holder.last.how if holder.last else "waiting",
            number=last.number,
            digest=last.digest,
            prepared=holder.prepared.number if holder.prepared else 0,
            life=self.life,
            fault=holder.fault[:300],
            wishes=tuple(wish.outcome for wish in self.wishes),
            counts=dict(self.counts),
            **told,
        )


def _after(wish: Wish, leader: m.MemberStatus) -> m.RequestOutcome:
    """What came of a word of which an earlier leader told, by what is decided under this one."""
    last = wish.outcome
    if last.state not in ("preparing", "decided"):
        return last
    if leader.number >= last.number and (last.state == "decided" or leader.digest == wish.digest):
        return msgspec.structs.replace(last, state="in force" if leader.settled else "decided")
    why = "its leader was replaced before it was decided"
    return msgspec.structs.replace(last, state="ended", why=why)
