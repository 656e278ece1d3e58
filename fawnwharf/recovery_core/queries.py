"""What a starting front end asks, of whom, in which order, and how long it waits.

Pure; times are milliseconds of its own monotonic clock. One thing is asked after the other, each until it is
answered or its bound is over; then it goes on at the stated lower level, and takes the answer whenever it
comes. A majority is one of all that are on the list, never of those that happen to be up: so the silence of
the dead is no answer. And as nothing waits beyond its bound, whoever will not come is not waited for.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Annotated

from msgspec import Meta, Struct

from fawnwharf.recovery_core.trust import MajorityAnswer
from fawnwharf.replication.placement import rendezvous_weight
from fawnwharf.zones.settings import Name

Number = Annotated[int, Meta(ge=0, lt=2**53)]


class QueryTopic(IntEnum):
    """What is asked, in this order; the numbers are sent."""

    MEMBERS = 0
    PLAN = 1  # and policy
    GRANTS = 2
    ROSTER = 3
    USAGE = 4

    @property
    def label(self) -> str:
        """The topic's name in the status that members exchange; it stays as it is."""
        return _TOPIC_LABELS[self]


_TOPIC_LABELS = ("members", "plan", "promises", "roster", "use")


class QueryTarget(Enum):
    """Who is asked."""

    VOTERS = "voters"
    REPLICAS = "keepers"
    CHANGE_LOG = "change log"


class AnswersNeeded(Enum):
    """How many answers are needed."""

    MAJORITY = "of all on the list, itself counted where it is one of them"
    ALL = "all others on the list"
    ONE = "any"


class QueryState(Enum):
    """How far a question has come."""

    NOT_ASKED = "not asked yet"
    WAITING = "asked"
    ANSWERED = "answered"
    TIMED_OUT = "gone on without; an answer is still taken"


@dataclass(frozen=True, slots=True)
class QueryStep:
    """How one question is asked, and what it is to go on without an answer."""

    of: QueryTarget
    need: AnswersNeeded
    bound_ms: float
    without: str  # the level at which it goes on


QUERY_STEPS: Mapping[QueryTopic, QueryStep] = {
    QueryTopic.MEMBERS: QueryStep(
        QueryTarget.VOTERS,
        AnswersNeeded.MAJORITY,
        600.0,
        "its own file of members is a hint: nothing that takes a majority",
    ),
    QueryTopic.PLAN: QueryStep(
        QueryTarget.VOTERS,
        AnswersNeeded.MAJORITY,
        1_500.0,
        "no plan; the stricter of the policy on its disk and the floor",
    ),
    QueryTopic.GRANTS: QueryStep(
        QueryTarget.REPLICAS,
        AnswersNeeded.ALL,
        1_000.0,
        "grants nothing until all that it may have granted is over",
    ),
    QueryTopic.ROSTER: QueryStep(
        QueryTarget.CHANGE_LOG,
        AnswersNeeded.ONE,
        1_000.0,
        "addresses of the last roster that come up when dialled, all cold",
    ),
    QueryTopic.USAGE: QueryStep(
        QueryTarget.REPLICAS,
        AnswersNeeded.ONE,
        400.0,
        "an even part of each budget, functions by worth alone",
    ),
}


class Query(Struct, frozen=True, tag="Ask"):
    """A question.

    `life` and `turn` come back with the answer: what an earlier incarnation asked is not answered to this
    one.
    """

    fleet: Name
    life: Number
    turn: Number
    what: Annotated[int, Meta(ge=0, le=4)]


class Answer(Struct, frozen=True, tag="Answer"):
    """The answer; `number` and `digest` are of the file of members, of the last plan, or of the roster."""

    fleet: Name
    life: Number  # the asker's
    turn: Number
    what: Annotated[int, Meta(ge=0, le=4)]
    sender_life: Number
    sure: bool  # it trusts what it says: from a whole store, or heard in this life
    number: Number = 0
    digest: Annotated[str, Meta(max_length=64)] = ""
    leased: bool = False  # a leader's word, under its lease, that this is the last one


class SendQuery(Struct, frozen=True):
    """Effect: send a question."""

    to: str
    message: Query


@dataclass(frozen=True, slots=True)
class QueryPace:
    """How fast questions are repeated and spread."""

    again_ms: float = 200.0  # what is not answered is asked again
    spread_ms: float = 200.0  # front ends that start together ask spread over this


@dataclass(slots=True)
class _Open:
    stand: QueryState = QueryState.NOT_ASKED
    since_ms: float = 0.0
    again_ms: float = 0.0
    answers: dict[str, Answer] = field(default_factory=dict)


class StartupQueries:
    """Owns what one incarnation of a front end has asked, and the answers."""

    def __init__(
        self,
        me: str,
        fleet: str,
        life: int,
        lists: Mapping[QueryTarget, tuple[str, ...]],
        now_ms: float,
        own: Mapping[QueryTopic, tuple[int, str]] | None = None,
        pace: QueryPace | None = None,
        steps: Mapping[QueryTopic, QueryStep] = QUERY_STEPS,
    ) -> None:
        """`lists`: all that there are by the file of members, up or not.

        `own`: number and digest of what its own intact store says; without it, its own answer counts in no
        majority. A replica whose store is intact gives `own` for PROMISES and asks nobody.
        """
        self.me, self.fleet, self.life = me, fleet, life
        self.lists, self.own, self.steps = dict(lists), dict(own or {}), steps
        self.pace = pace or QueryPace()
        self.turn = 0
        self.behind = 0  # the largest number of a file of members that a voter went by, beyond the own one
        self.dropped: dict[str, int] = {}
        self.opens = {what: _Open() for what in QueryTopic}
        self.lives: dict[str, int] = {}
        self._begin(now_ms, QueryTopic.MEMBERS)

    # --- what stands ----------------------------------------------------------------------------

    def stand(self, what: QueryTopic) -> QueryState:
        """How far a question has come."""
        return self.opens[what].stand

    @property
    def done(self) -> bool:
        """Whether nothing is waited for any more."""
        return all(o.stand in (QueryState.ANSWERED, QueryState.TIMED_OUT) for o in self.opens.values())

    def without(self) -> dict[QueryTopic, str]:
        """The levels at which it goes on, as far as they are lower than they might be."""
        return {w: self.steps[w].without for w, o in self.opens.items() if o.stand is QueryState.TIMED_OUT}

    def others(self, what: QueryTopic) -> MajorityAnswer:
        """What those asked say of the own copy, for `trust`."""
        open_ = self.opens[what]
        if open_.stand is not QueryState.ANSWERED:
            return MajorityAnswer.NO_ANSWER
        leased = [a for a in open_.answers.values() if a.leased]
        said = [(a.number, a.digest) for a in leased or open_.answers.values()]
        number, digest = self.own.get(what, (0, ""))
        most = max((n for n, _ in said), default=0)
        if most > number:
            return MajorityAnswer.LATER
        same = all(d == digest for n, d in said if n == number)
        return MajorityAnswer.CONFIRMED if same else MajorityAnswer.CONFLICTING

    # --- time -----------------------------------------------------------------------------------

    def due_ms(self) -> float | None:
        """When `tick` is wanted; None where all is answered."""
        dues = []
        for what, o in self.opens.items():
            if o.stand is QueryState.WAITING:
                dues.append(o.since_ms + self.steps[what].bound_ms)
            if o.stand in (QueryState.WAITING, QueryState.TIMED_OUT):
                dues.append(o.again_ms)
        return min(dues, default=None)

    def tick(self, now_ms: float) -> list[SendQuery]:
        """Do what is due; call it at `due_ms` at the latest."""
        said: list[SendQuery] = []
        for what, o in self.opens.items():
            if o.stand is QueryState.WAITING and now_ms >= o.since_ms + self.steps[what].bound_ms:
                o.stand = QueryState.TIMED_OUT
                self._next(now_ms, what)
            if o.stand in (QueryState.WAITING, QueryState.TIMED_OUT) and now_ms >= o.again_ms:
                o.again_ms = now_ms + self.pace.again_ms * (1 if o.stand is QueryState.WAITING else 5)
                said += self._ask(what)
        return said

    def _begin(self, now_ms: float, what: QueryTopic) -> None:
        o = self.opens[what]
        part = rendezvous_weight(self.me, str(self.life), what.label.upper()) / 2**64
        o.stand, o.since_ms, o.again_ms = QueryState.WAITING, now_ms, now_ms + part * self.pace.spread_ms
        self._look(now_ms, what)

    def _next(self, now_ms: float, what: QueryTopic) -> None:
        for later in QueryTopic:
            if later > what and self.opens[later].stand is QueryState.NOT_ASKED:
                self._begin(now_ms, later)
                return

    def _targets(self, what: QueryTopic) -> list[str]:
        return [name for name in self.lists.get(self.steps[what].of, ()) if name != self.me]

    def _ask(self, what: QueryTopic) -> list[SendQuery]:
        self.turn += 1
        ask = Query(self.fleet, self.life, self.turn, int(what))
        heard = self.opens[what].answers
        return [SendQuery(to, ask) for to in self._targets(what) if to not in heard]

    # --- answers --------------------------------------------------------------------------------

    def heard(self, now_ms: float, sender: str, answer: Answer) -> None:
        """Take an answer; what doesn't count is dropped and counted."""
        if why := self._unfit(sender, answer):
            self.dropped[why] = self.dropped.get(why, 0) + 1
            return
        what = QueryTopic(answer.what)
        if answer.sender_life > self.lives.get(sender, 0):
            self.lives[sender] = answer.sender_life
            for o in self.opens.values():  # what its earlier life said, it may have said of what is lost
                if o.stand is not QueryState.ANSWERED:
                    o.answers.pop(sender, None)
        if not answer.sure:
            return  # heard, and no word on it
        self.opens[what].answers[sender] = answer
        if what is QueryTopic.MEMBERS and answer.number > self.own.get(what, (0, ""))[0]:
            self.behind = max(self.behind, answer.number)
        self._look(now_ms, what)

    def ask_one(self, to: str, what: QueryTopic) -> SendQuery:
        """Ask one again, whatever came so far: an answer tells at least that it knows of this incarnation."""
        self.turn += 1
        return SendQuery(to, Query(self.fleet, self.life, self.turn, int(what)))

    def knows(self, now_ms: float, what: QueryTopic) -> None:
        """Take that it has the answer by itself, and need not wait for the others."""
        if what not in self.own:
            self.own[what] = (0, "")
            self._look(now_ms, what)

    def _unfit(self, sender: str, answer: Answer) -> str:
        if answer.fleet != self.fleet:
            return "another fleet's"
        if answer.life != self.life or answer.turn > self.turn:
            return "to another life"
        if answer.what not in list(QueryTopic) or sender not in self._targets(QueryTopic(answer.what)):
            return "not asked"
        if answer.sender_life < self.lives.get(sender, 0):
            return "of an earlier life"
        return ""

    def _look(self, now_ms: float, what: QueryTopic) -> None:
        """Whether that is enough, and what comes next then."""
        o = self.opens[what]
        if o.stand in (QueryState.NOT_ASKED, QueryState.ANSWERED) or not self._enough(what):
            return
        waited, o.stand = o.stand is QueryState.WAITING, QueryState.ANSWERED
        if waited:
            self._next(now_ms, what)

    def _enough(self, what: QueryTopic) -> bool:
        need, answers = self.steps[what].need, self.opens[what].answers
        if any(a.leased for a in answers.values()):
            return True
        everyone = self.lists.get(self.steps[what].of, ())
        if need is AnswersNeeded.MAJORITY:
            mine = self.me in everyone and what in self.own
            return 2 * (len(answers) + mine) > len(everyone)
        if need is AnswersNeeded.ALL:
            return what in self.own or all(name in answers for name in everyone if name != self.me)
        return bool(answers)
