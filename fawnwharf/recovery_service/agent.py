"""One member's part in a recovery: what it asks and answers, the stage by which it goes, and where its voter
leads, the stage of all.

Pure: words of others, decisions of the voters' log and ticks come in with a time, effects go out in order.
`Say` is for others; `Decide` is to be put to the voters' log at once, as kind `recovery`. Nothing rests on
the delivery of a word. A front end takes the leader's word from the moment on when it has had an answer of
that voter in this life: it has told its boot before it asked, and a log keeps its order, so the word was said
by one that knew of this life.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

import msgspec

from fawnwharf.durable_store.folder_reader import FolderPosition
from fawnwharf.recovery_core import partitioned
from fawnwharf.recovery_core.phases import (
    AllowedActions,
    LogEvent,
    PhaseFollower,
    PhaseTiming,
    ProposeRegister,
    RecoveryPhase,
    RegisterError,
)
from fawnwharf.recovery_core.queries import (
    Answer,
    Querier,
    Query,
    QueryPace,
    QueryState,
    QueryTarget,
    QueryTopic,
    StartupQueries,
)
from fawnwharf.recovery_core.register import PermitAssignment
from fawnwharf.recovery_service import messages as w
from fawnwharf.recovery_service.recovery_leader import MemberLists, RecoveryLeader
from fawnwharf.zones.log_lines import ConsensusStatus

CHANGE_LOG = "change log"  # as one that answers; it is no member
TICK_MS, CALM_TICK_MS = 50.0, 250.0
CALM_INTERVAL_FACTOR = 4  # in calm a front end tells how it stands so many times less often
ISSUED_ALONE_MS = 2_000.0  # what was given out alone ends within that
MAX_SIGNATURE_REPORTS = 3  # a sign is told to one that started anew


class SendMessage(msgspec.Struct, frozen=True):
    """By zones' logs where `zone`, else by logs of state; to all that hear this one where none is named."""

    to: tuple[str, ...]
    word: w.RecoveryMessage
    zone: bool = True


class ApplyPhase(msgspec.Struct, frozen=True):
    """Go by this from now on."""

    allowed: AllowedActions
    stage: RecoveryPhase | None  # None: alone
    cut: int
    fronts: int = 1  # front ends among which what is allowed is divided
    dealt: PermitAssignment | None = None  # None: by what is heard


class SignatureReported(msgspec.Struct, frozen=True):
    """Others heard this of the own folder before this life."""

    sign: FolderPosition


Effect = SendMessage | ProposeRegister | LogEvent | ApplyPhase | SignatureReported


@dataclass(frozen=True, slots=True)
class LocalStatus:
    """What this front end knows of itself at a moment."""

    settled: bool  # its store has all anew: what was found may be told
    whole: bool  # its store has all that it ever told
    sure: bool  # its keeper knows all that it granted; True where it keeps nothing
    votes: bool  # its voter may vote by the disk that it has
    plan: tuple[int, str]  # number and digest of the last plan in its voter's log, decided or not
    sign: FolderPosition
    uses: bool = False  # it knows what was used before
    rostered: bool = False  # the change log was heard, in this life
    scorers: bool = False  # some take calls
    heard: int = 1  # front ends that it hears, itself among them
    standing: w.StatusReport | None = None  # its calls, loads and scorers


@dataclass(slots=True)
class _ReportedSignatures:
    """A folder's signs, as its member told them: of this life of it, and the farthest before that."""

    life: int
    last: FolderPosition
    before: FolderPosition | None = None
    told: int = 0


@dataclass(slots=True)
class RecoveryAgent:
    """Owns what one life of a front end asks, by which stage it goes, and its part in leading."""

    name: str
    fleet: str
    life: int
    mark: str  # of the machine's boot
    lists: MemberLists
    own: LocalStatus
    seat: Callable[[float], ConsensusStatus]  # how its voter stands
    worths: Mapping[str, float]  # of classes
    timing: PhaseTiming
    now_ms: float
    pace: QueryPace = QueryPace()
    stand_ms: float = 500.0
    stage_ms: float = 300.0
    asking: StartupQueries = field(init=False)
    follower: PhaseFollower = field(init=False)
    lead: RecoveryLeader = field(init=False)
    counts: dict[str, int] = field(default_factory=dict)  # what was dropped, by cause
    signs: dict[str, dict[str, _ReportedSignatures]] = field(default_factory=dict)  # by member and disk
    _told: dict[str, tuple[int, float]] = field(default_factory=dict)  # leader's life and least lateness
    _heard_ms: dict[str, float] = field(default_factory=dict)  # when voters said something last
    _term: int = 0  # the largest of a leader that was followed
    _going: tuple[AllowedActions, RecoveryPhase | None, int, int, PermitAssignment | None] | None = None
    _gave_ms: float = float("-inf")  # loads were allowed here, and by no stage
    _stand_due_ms: float = 0.0
    _ask_due_ms: float = 0.0  # of a leader that has not answered yet
    _asked: bool = False  # it was noted

    def __post_init__(self) -> None:
        lists, own = self.lists, self.own
        found: dict[QueryTopic, tuple[int, str]] = {}
        if self.name in lists.voters and own.votes and own.whole:
            found |= {QueryTopic.MEMBERS: (lists.number, lists.digest), QueryTopic.PLAN: own.plan}
        if own.sure or self.name not in lists.keepers:
            found[QueryTopic.GRANTS] = (0, "")
        asked_of = {
            QueryTarget.VOTERS: lists.voters,
            QueryTarget.REPLICAS: lists.keepers,
            QueryTarget.CHANGE_LOG: (CHANGE_LOG,),
        }
        querier = Querier(self.name, self.fleet, self.life, asked_of, found)
        self.asking = StartupQueries(querier, self.now_ms, self.pace)
        self.follower = PhaseFollower(self.timing, self.now_ms)
        self.lead = RecoveryLeader(self.timing, lists, self.heard_ms, 3.0 * self.stand_ms, self.stage_ms)
        self._stand_due_ms = self._ask_due_ms = self.now_ms

    @property
    def heard_ms(self) -> float:
        """Who told something within that time is heard, also in calm."""
        return 3.0 * CALM_INTERVAL_FACTOR * self.stand_ms

    @property
    def asked(self) -> bool:
        return self.asking.finished

    @property
    def cut(self) -> int:
        return self.follower.register.cut if self.follower.register is not None else 0

    def stage(self, now_ms: float) -> RecoveryPhase | None:
        return self.follower.phase(now_ms)

    def allowed(self, now_ms: float) -> AllowedActions:
        """What this front end does now."""
        found = self.follower.allowed(now_ms, self.worths)
        if found is None:
            own, members = self.own, len(self.lists.members)
            share = partitioned.budget_share(own.heard, members)
            found = partitioned.allowed_when_partitioned(
                self.worths, share, has_roster=own.scorers, queries_finished=self.asked
            )
        return found if self.asked else replace(found, status=False)

    def _count(self, cause: str) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + 1

    def heard_lately(self, now_ms: float) -> tuple[str, ...]:
        """Voters of whom something came."""
        return tuple(sorted(n for n, at_ms in self._heard_ms.items() if now_ms - at_ms < self.heard_ms))

    def confirmed(self) -> bool:
        """Most voters go by this list of members, or by an earlier one, and the keeper here knows all that it
        granted: nothing that was not found is missed any more."""
        asking, lists = self.asking, self.lists
        if asking.state(QueryTopic.MEMBERS) is not QueryState.ANSWERED or not (
            self.own.sure and self.own.settled
        ):
            return False
        said = [(a.number, a.digest) for a in asking.queries[QueryTopic.MEMBERS].answers.values()]
        return all(n < lists.number or (n, d) == (lists.number, lists.digest) for n, d in said)

    # --- what comes in --------------------------------------------------------------------------

    def hear_zone(self, now_ms: float, sender: str, word: w.RecoveryMessage) -> list[Effect]:
        """A word of a member, by its zones' log."""
        if sender not in self.lists.members:
            self._count("of no member")
            return []
        if sender in self.lists.voters:
            self._heard_ms[sender] = now_ms
        if isinstance(word, Query):
            return self._answer(now_ms, sender, word, zone=True)
        if isinstance(word, Answer):
            return self._answered(now_ms, sender, word, QueryTarget.VOTERS)
        if isinstance(word, w.BootReport):
            self.lead.booted(now_ms, sender, word)
            return self._signed(sender, word)
        if isinstance(word, w.KnownSignature):
            if word.life != self.life:
                self._count("to another life")
                return []
            return [SignatureReported(word.sign)]
        if isinstance(word, w.StatusReport):
            if not self.lead.stands(now_ms, sender, word):
                self._count("of an earlier life")
            return []
        return self._told_stage(now_ms, sender, word)

    def hear_state(self, now_ms: float, sender: str, word: w.RecoveryMessage) -> list[Effect]:
        """A word of a member, by its log of state: questions to keepers, and their answers."""
        if sender not in self.lists.members:
            self._count("of no member")
            return []
        if isinstance(word, Query):
            return self._answer(now_ms, sender, word, zone=False)
        if isinstance(word, Answer):
            return self._answered(now_ms, sender, word, QueryTarget.REPLICAS)
        self._count("by the wrong log")
        return []

    def _answer(self, now_ms: float, sender: str, ask: Query, zone: bool) -> list[Effect]:
        """What is not sure, or found in a store that has not all anew yet, is not told: such an answer says
        of whom it is, and no more."""
        own, what = self.own, QueryTopic(ask.topic)
        if ask.fleet != self.fleet:
            self._count("another fleet's")
            return []
        if (what in (QueryTopic.MEMBERS, QueryTopic.PLAN)) is not zone or what is QueryTopic.ROSTER:
            self._count("by the wrong log")
            return []
        if self.name not in (self.lists.voters if zone else self.lists.keepers):
            return []
        number, digest, sure, leased = 0, "", own.sure, False
        if what is QueryTopic.MEMBERS:
            number, digest, sure = self.lists.number, self.lists.digest, own.votes
        elif what is QueryTopic.PLAN:
            (number, digest), sure, leased = own.plan, own.votes, self.seat(now_ms).holds_read_lease
        elif what is QueryTopic.USAGE:
            sure = own.uses
        answer = Answer(self.fleet, ask.incarnation, ask.sequence, ask.topic, self.life, False)
        if own.settled and sure:
            told = {"trusted": True, "number": number, "digest": digest, "leased": leased}
            answer = msgspec.structs.replace(answer, **told)
        return [SendMessage((sender,), answer, zone)]

    def _answered(self, now_ms: float, sender: str, answer: Answer, of: QueryTarget) -> list[Effect]:
        if answer.topic > QueryTopic.USAGE or self.asking.steps[QueryTopic(answer.topic)].target is not of:
            self._count("by the wrong log")
            return []
        self.asking.receive(now_ms, sender, answer)
        return self._go(now_ms)

    def _signed(self, sender: str, boot: w.BootReport) -> list[Effect]:
        """Tell one that started anew how far its folder had come by its own earlier word; it may be an older
        copy."""
        sign, disks = boot.sign, self.signs.setdefault(sender, {})
        if not sign.disk_id or not sign.incarnation:  # it has no store, or that has not written all anew yet
            return []
        heard = disks.get(sign.disk_id)
        if heard is None:
            while len(disks) > 1:
                del disks[next(iter(disks))]
            disks[sign.disk_id] = _ReportedSignatures(boot.life, sign)
            return []
        if boot.life != heard.life:
            heard.before = max(heard.last, heard.before or heard.last, key=_signature_order)
            heard.life, heard.told = boot.life, 0
        heard.last = sign
        if heard.before is None or heard.told >= MAX_SIGNATURE_REPORTS or sender == self.name:
            return []
        heard.told += 1
        return [SendMessage((sender,), w.KnownSignature(boot.life, heard.before))]

    def _told_stage(self, now_ms: float, sender: str, word: w.PhaseAnnouncement) -> list[Effect]:
        if sender not in self.lists.voters or word.term < self._term:
            self._count("a stage of no leader")
            return []
        if self.asking.incarnations.get(sender, 0) > word.life:
            self._count("of an earlier life")
            return []
        if sender != self.name and self.follower.register is None and sender not in self.asking.incarnations:
            if now_ms < self._ask_due_ms:
                return []
            self._ask_due_ms = now_ms + self.pace.again_ms
            return [
                self._boot(),
                SendMessage((sender,), self.asking.query_one(sender, QueryTopic.MEMBERS).message),
            ]
        late = now_ms - word.at_ms  # and the two clocks' difference, which the least of it stands for
        life, least = self._told.get(sender, (0, 0.0))
        least = min(least, late) if life == word.life else late
        self._told[sender], self._term = (word.life, least), word.term
        notes = self.follower.receive(word.register, word.at_ms + least)
        return [*notes, *self._go(now_ms)]

    # --- the voters' log ------------------------------------------------------------------------

    def decided(self, now_ms: float, text: str) -> list[Effect]:
        """A register that the voters' log decided, at whichever voter."""
        try:
            effects = self.lead.decided(now_ms, text)
        except RegisterError as error:
            return [LogEvent("recovery not read", {"why": str(error)})]
        return [*effects, *self._leading(now_ms)]

    def not_put(self) -> None:
        """What was to be decided never came into the log."""
        self.lead.conductor.proposal_failed()

    def turned(self, now_ms: float) -> list[Effect]:
        """The voter may lead, or not lead any more."""
        return self.lead.turned(now_ms, self.seat(now_ms))

    def take_lists(self, now_ms: float, lists: MemberLists) -> list[Effect]:
        """There is a later file of members."""
        self.lists = self.lead.lists = lists
        self.asking.lists |= {QueryTarget.VOTERS: lists.voters, QueryTarget.REPLICAS: lists.keepers}
        self.signs = {name: signs for name, signs in self.signs.items() if name in lists.members}
        self.lead.forget()
        return self._go(now_ms)

    # --- time -----------------------------------------------------------------------------------

    def due_ms(self, now_ms: float) -> float:
        """When `tick` is wanted next."""
        calm = self._going is not None and self._going[1] is RecoveryPhase.NORMAL and not self.lead.term
        dues = [now_ms + (CALM_TICK_MS if calm else TICK_MS), self._stand_due_ms]
        if (due := self.asking.due_ms()) is not None:
            dues.append(due)
        return min(dues)

    def tick(self, now_ms: float, own: LocalStatus) -> list[Effect]:
        """Call it at `due_ms` at the latest. `own` counts until the next one."""
        self.own = own
        if own.sure:
            self.asking.answer_by_itself(now_ms, QueryTopic.GRANTS)
        if own.rostered and self.asking.state(QueryTopic.ROSTER) not in (
            QueryState.NOT_ASKED,
            QueryState.ANSWERED,
        ):
            said = Answer(self.fleet, self.life, self.asking.sequence, int(QueryTopic.ROSTER), 1, True)
            self.asking.receive(now_ms, CHANGE_LOG, said)
        effects: list[Effect] = [*self.turned(now_ms)]
        for said in self.asking.tick(now_ms):
            if said.to != CHANGE_LOG:
                zone = self.asking.steps[QueryTopic(said.message.topic)].target is QueryTarget.VOTERS
                effects.append(SendMessage((said.to,), said.message, zone))
        if any(isinstance(effect, SendMessage) for effect in effects):
            effects.insert(0, self._boot())  # a voter that answers knows it
        effects += self._go(now_ms)
        if now_ms >= self._stand_due_ms:
            calm = self._going is not None and self._going[1] is RecoveryPhase.NORMAL
            self._stand_due_ms = now_ms + self.stand_ms * (CALM_INTERVAL_FACTOR if calm else 1)
            effects += [self._boot(), SendMessage((), self._standing(now_ms))]
        self.lead.booted(now_ms, self.name, w.BootReport(self.life, self.mark, own.sign))
        self.lead.stands(now_ms, self.name, self._standing(now_ms))
        return [*effects, *self._leading(now_ms)]

    def _boot(self) -> SendMessage:
        return SendMessage((), w.BootReport(self.life, self.mark, self.own.sign))

    def _standing(self, now_ms: float) -> w.StatusReport:
        gave = now_ms - self._gave_ms < ISSUED_ALONE_MS
        known = {"life": self.life, "asked": self.asked, "sure": self.own.sure, "gave": gave}
        if self.own.standing is None:
            return w.StatusReport(**known)
        return msgspec.structs.replace(self.own.standing, **known)

    def _leading(self, now_ms: float) -> list[Effect]:
        """What the leader decides, and its word to all; it is one of those itself."""
        effects: list[Effect] = [*self.lead.tick(now_ms, self.seat(now_ms))]
        if (text := self.lead.word(now_ms, self.seat(now_ms))) is not None:
            told = w.PhaseAnnouncement(self.life, self.lead.term, now_ms, text)
            effects.append(SendMessage((), told))
            effects += self._told_stage(now_ms, self.name, told)
        return effects

    def _go(self, now_ms: float) -> list[Effect]:
        """What follows for this front end, where that is another thing than before."""
        effects: list[Effect] = []
        if self.asked and not self._asked:
            self._asked = True
            effects.append(LogEvent("asked", {"without": list(self.asking.fallbacks().values())}))
        stage, register = self.stage(now_ms), self.follower.register
        fronts = self.own.heard if stage is None or register is None else register.fronts
        going = (
            self.allowed(now_ms),
            stage,
            self.cut,
            max(1, fronts),
            self.follower.permit_assignment(now_ms),
        )
        if going[0].loads and not going[0].spill and (stage is None or stage < RecoveryPhase.PRIORITY_CALLS):
            self._gave_ms = now_ms
        if going == self._going:
            return effects
        before, self._going = self._going, going
        effects.append(ApplyPhase(*going))
        if before is None or (before[1:3], before[0].part) != (going[1:3], going[0].part):
            stage = "alone" if going[1] is None else going[1].label
            fields = {"stage": stage, "cut": going[2], "part": going[0].part, "status": going[0].status}
            effects.append(LogEvent("stage", fields))
        if before is not None and before[1] is not going[1]:
            self._stand_due_ms = min(self._stand_due_ms, now_ms)  # by another pace from now on
        return effects


def _signature_order(sign: FolderPosition) -> tuple[int, int]:
    return sign.incarnation, sign.number
