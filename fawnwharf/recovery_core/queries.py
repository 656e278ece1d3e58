"""What a starting front end queries, of whom, in which order, and how long it waits.

Pure; times are milliseconds of its own monotonic clock. One topic is queried after the other, each until it
is answered or its timeout is over; then the front end continues at the stated lower level, and takes the
answer whenever it comes. A majority is one of all members on the list, never of those that happen to be up:
so the silence of a failed member is no answer. As nothing waits beyond its timeout, no member is waited for
forever.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from fawnwharf.recovery_core.trust import MajorityAnswer
from fawnwharf.replication.placement import rendezvous_weight
from fawnwharf.zones.settings import Name

Number = Annotated[int, Meta(ge=0, lt=2**53)]
TopicNumber = Annotated[int, Meta(ge=0, le=4)]


class QueryTopic(IntEnum):
    """What is queried, in this order; the numbers are sent."""

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
    """Who is queried."""

    VOTERS = "voters"
    REPLICAS = "keepers"
    CHANGE_LOG = "change log"


class AnswersNeeded(Enum):
    """How many answers are needed."""

    MAJORITY = "of all on the list, itself counted where it is one of them"
    ALL = "all others on the list"
    ONE = "any"


class QueryState(Enum):
    """How far a query has come; the values appear in the status."""

    NOT_ASKED = "not asked yet"
    WAITING = "asked"
    ANSWERED = "answered"
    TIMED_OUT = "gone on without; an answer is still taken"


@dataclass(frozen=True, slots=True)
class QueryStep:
    """How one topic is queried, and the level at which the front end continues without an answer."""

    target: QueryTarget
    needed: AnswersNeeded
    timeout_ms: float
    fallback: str  # as it appears in the status


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
    """A query.

    `incarnation` and `sequence` come back with the answer: an answer to an earlier incarnation is dropped.
    """

    fleet: Name
    incarnation: Number = msgspec.field(name="life")
    sequence: Number = msgspec.field(name="turn")
    topic: TopicNumber = msgspec.field(name="what")


class Answer(Struct, frozen=True, tag="Answer"):
    """An answer; `number` and `digest` are of the membership file, of the last plan, or of the roster."""

    fleet: Name
    incarnation: Number = msgspec.field(name="life")  # of the front end that asked
    sequence: Number = msgspec.field(name="turn")
    topic: TopicNumber = msgspec.field(name="what")
    sender_incarnation: Number = msgspec.field(name="sender_life")
    trusted: bool = msgspec.field(name="sure")  # by the sender: from an intact store, or since its start
    number: Number = 0
    digest: Annotated[str, Meta(max_length=64)] = ""
    leased: bool = False  # a leader says under its lease that this is the last one


class SendQuery(Struct, frozen=True):
    """Action: send a query."""

    to: str
    message: Query


@dataclass(frozen=True, slots=True)
class QueryPace:
    """How fast queries are repeated and spread. The names of the fields are keys of the recovery settings."""

    again_ms: float = 200.0  # what is not answered is queried again
    spread_ms: float = 200.0  # front ends that start together spread their queries over this


LATE_RETRY_FACTOR = 5  # a query that has timed out is repeated so much less often


@dataclass(frozen=True, slots=True)
class Querier:
    """The front end that asks, and what it knows at its start."""

    name: str
    fleet: str
    incarnation: int
    lists: Mapping[QueryTarget, tuple[str, ...]]  # all that there are by the membership file, up or not
    own: Mapping[QueryTopic, tuple[int, str]] = field(default_factory=dict)
    """Number and digest of what its own intact store says. Without it, its own answer counts in no majority.
    A replica whose store is intact has an entry for GRANTS and asks nobody."""


@dataclass(slots=True)
class OpenQuery:
    """One topic's state and the answers so far."""

    state: QueryState = QueryState.NOT_ASKED
    since_ms: float = 0.0
    retry_ms: float = 0.0
    answers: dict[str, Answer] = field(default_factory=dict)  # by sender


class StartupQueries:
    """Owns the queries of one incarnation of a front end, and the answers."""

    def __init__(
        self,
        querier: Querier,
        now_ms: float,
        pace: QueryPace | None = None,
        steps: Mapping[QueryTopic, QueryStep] = QUERY_STEPS,
    ) -> None:
        self.name = querier.name
        self.fleet = querier.fleet
        self.incarnation = querier.incarnation
        self.lists = dict(querier.lists)
        self.own = dict(querier.own)
        self.steps = steps
        self.pace = pace or QueryPace()
        self.sequence = 0
        self.newer_membership = 0  # the largest number of a membership file that a voter has, beyond the own
        self.dropped: dict[str, int] = {}  # answers that were dropped, by reason
        self.queries = {topic: OpenQuery() for topic in QueryTopic}
        self.incarnations: dict[str, int] = {}  # the last one of each sender
        self._begin(now_ms, QueryTopic.MEMBERS)

    # --- state ----------------------------------------------------------------------------------

    def state(self, topic: QueryTopic) -> QueryState:
        """How far a query has come."""
        return self.queries[topic].state

    @property
    def finished(self) -> bool:
        """Whether nothing is waited for any more."""
        done = (QueryState.ANSWERED, QueryState.TIMED_OUT)
        return all(query.state in done for query in self.queries.values())

    def fallbacks(self) -> dict[QueryTopic, str]:
        """The lower levels at which the front end continues, by topic."""
        return {
            topic: self.steps[topic].fallback
            for topic, query in self.queries.items()
            if query.state is QueryState.TIMED_OUT
        }

    def majority_answer(self, topic: QueryTopic) -> MajorityAnswer:
        """What those queried say of the own copy, for `trust_level`."""
        query = self.queries[topic]
        if query.state is not QueryState.ANSWERED:
            return MajorityAnswer.NO_ANSWER
        leased = [answer for answer in query.answers.values() if answer.leased]
        reported = [(answer.number, answer.digest) for answer in leased or query.answers.values()]
        own_number, own_digest = self.own.get(topic, (0, ""))
        if max((number for number, _ in reported), default=0) > own_number:
            return MajorityAnswer.NEWER
        same = all(digest == own_digest for number, digest in reported if number == own_number)
        return MajorityAnswer.CONFIRMED if same else MajorityAnswer.CONFLICTING

    # --- time -----------------------------------------------------------------------------------

    def due_ms(self) -> float | None:
        """When `tick` has to be called; None once everything is answered."""
        times = []
        for topic, query in self.queries.items():
            if query.state is QueryState.WAITING:
                times.append(query.since_ms + self.steps[topic].timeout_ms)
            if query.state in (QueryState.WAITING, QueryState.TIMED_OUT):
                times.append(query.retry_ms)
        return min(times, default=None)

    def tick(self, now_ms: float) -> list[SendQuery]:
        """Do what is due; call it at `due_ms` at the latest."""
        actions: list[SendQuery] = []
        for topic, query in self.queries.items():
            timeout_ms = self.steps[topic].timeout_ms
            if query.state is QueryState.WAITING and now_ms >= query.since_ms + timeout_ms:
                query.state = QueryState.TIMED_OUT
                self._begin_next(now_ms, topic)
            if query.state in (QueryState.WAITING, QueryState.TIMED_OUT) and now_ms >= query.retry_ms:
                factor = 1 if query.state is QueryState.WAITING else LATE_RETRY_FACTOR
                query.retry_ms = now_ms + self.pace.again_ms * factor
                actions += self._send_queries(topic)
        return actions

    def _begin(self, now_ms: float, topic: QueryTopic) -> None:
        query = self.queries[topic]
        offset = rendezvous_weight(self.name, str(self.incarnation), topic.label.upper()) / 2**64
        query.state = QueryState.WAITING
        query.since_ms = now_ms
        query.retry_ms = now_ms + offset * self.pace.spread_ms
        self._check_answered(now_ms, topic)

    def _begin_next(self, now_ms: float, topic: QueryTopic) -> None:
        for later in QueryTopic:
            if later > topic and self.queries[later].state is QueryState.NOT_ASKED:
                self._begin(now_ms, later)
                return

    def _targets(self, topic: QueryTopic) -> list[str]:
        return [name for name in self.lists.get(self.steps[topic].target, ()) if name != self.name]

    def _send_queries(self, topic: QueryTopic) -> list[SendQuery]:
        query = self._next_query(topic)
        answered = self.queries[topic].answers
        return [SendQuery(to, query) for to in self._targets(topic) if to not in answered]

    def _next_query(self, topic: QueryTopic) -> Query:
        self.sequence += 1
        return Query(self.fleet, self.incarnation, self.sequence, int(topic))

    # --- answers --------------------------------------------------------------------------------

    def receive(self, now_ms: float, sender: str, answer: Answer) -> None:
        """Take an answer; one that doesn't count is dropped and counted."""
        if reason := self._drop_reason(sender, answer):
            self.dropped[reason] = self.dropped.get(reason, 0) + 1
            return
        topic = QueryTopic(answer.topic)
        self._note_incarnation(sender, answer.sender_incarnation)
        if not answer.trusted:
            return  # the sender is up, but does not know
        self.queries[topic].answers[sender] = answer
        if topic is QueryTopic.MEMBERS and answer.number > self.own.get(topic, (0, ""))[0]:
            self.newer_membership = max(self.newer_membership, answer.number)
        self._check_answered(now_ms, topic)

    def _note_incarnation(self, sender: str, incarnation: int) -> None:
        """Drop the answers of a sender's earlier incarnation, which may rest on what it has lost since."""
        if incarnation <= self.incarnations.get(sender, 0):
            return
        self.incarnations[sender] = incarnation
        for query in self.queries.values():
            if query.state is not QueryState.ANSWERED:
                query.answers.pop(sender, None)

    def query_one(self, to: str, topic: QueryTopic) -> SendQuery:
        """Query one member again: its answer says at least that it knows of this incarnation."""
        return SendQuery(to, self._next_query(topic))

    def answer_by_itself(self, now_ms: float, topic: QueryTopic) -> None:
        """Note that the front end has the answer by itself, and need not wait for others."""
        if topic not in self.own:
            self.own[topic] = (0, "")
            self._check_answered(now_ms, topic)

    def _drop_reason(self, sender: str, answer: Answer) -> str:
        """Why an answer doesn't count; empty if it does."""
        if answer.fleet != self.fleet:
            return "another fleet's"
        if answer.incarnation != self.incarnation or answer.sequence > self.sequence:
            return "to another life"
        if answer.topic not in list(QueryTopic) or sender not in self._targets(QueryTopic(answer.topic)):
            return "not asked"
        if answer.sender_incarnation < self.incarnations.get(sender, 0):
            return "of an earlier life"
        return ""

    def _check_answered(self, now_ms: float, topic: QueryTopic) -> None:
        """Begin the next query, if the answers to this one are enough."""
        query = self.queries[topic]
        if query.state in (QueryState.NOT_ASKED, QueryState.ANSWERED) or not self._is_enough(topic):
            return
        waited = query.state is QueryState.WAITING
        query.state = QueryState.ANSWERED
        if waited:
            self._begin_next(now_ms, topic)

    def _is_enough(self, topic: QueryTopic) -> bool:
        step = self.steps[topic]
        answers = self.queries[topic].answers
        if any(answer.leased for answer in answers.values()):
            return True
        members = self.lists.get(step.target, ())
        match step.needed:
            case AnswersNeeded.MAJORITY:
                own_answer = self.name in members and topic in self.own
                return 2 * (len(answers) + own_answer) > len(members)
            case AnswersNeeded.ALL:
                return topic in self.own or all(name in answers for name in members if name != self.name)
            case AnswersNeeded.ONE:
                return bool(answers)
