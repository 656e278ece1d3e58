"""The queries of a starting front end: topics, targets, order and timeouts.

Pure. Times are milliseconds of the front end's monotonic clock. Topics are queried one after the other, each
until it is answered or times out. After a timeout the front end continues with a fallback and still accepts a
late answer. A majority always means a majority of all members on the list, not of the members that are up. So
a failed member, which sends nothing, never counts as an answer. Because of the timeouts a front end never
waits forever for a member.
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
    """The topics in the order in which they are queried; the values are sent."""

    MEMBERS = 0
    PLAN = 1  # zone plan and policy
    GRANTS = 2
    ROSTER = 3
    USAGE = 4

    @property
    def label(self) -> str:
        """The topic's name in the status that members exchange; it must not change."""
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
    """The state of a query; the values appear in the status and must not change."""

    NOT_ASKED = "not asked yet"
    WAITING = "asked"
    ANSWERED = "answered"
    TIMED_OUT = "gone on without; an answer is still taken"


@dataclass(frozen=True, slots=True)
class QueryStep:
    """How one topic is queried, and how the front end continues without an answer."""

    target: QueryTarget
    needed: AnswersNeeded
    timeout_ms: float
    fallback: str  # text in the status that says how the front end continues; must not change


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

    The answer repeats `incarnation` and `sequence`, so that an answer to an earlier incarnation is dropped.
    """

    fleet: Name
    incarnation: Number = msgspec.field(name="life")
    sequence: Number = msgspec.field(name="turn")
    topic: TopicNumber = msgspec.field(name="what")


class Answer(Struct, frozen=True, tag="Answer"):
    """An answer; `number` and `digest` identify the membership file, the last plan or the roster."""

    fleet: Name
    incarnation: Number = msgspec.field(name="life")  # of the front end that sent the query
    sequence: Number = msgspec.field(name="turn")
    topic: TopicNumber = msgspec.field(name="what")
    sender_incarnation: Number = msgspec.field(name="sender_life")
    # Whether the sender trusts its answer: it comes from an intact store or was learned since its start.
    trusted: bool = msgspec.field(name="sure")
    number: Number = 0
    digest: Annotated[str, Meta(max_length=64)] = ""
    leased: bool = False  # a leader confirms under its lease that this is the last one


class SendQuery(Struct, frozen=True):
    """Action: send a query."""

    to: str
    message: Query


@dataclass(frozen=True, slots=True)
class QueryPace:
    """The pace of queries; the field names are keys of the recovery settings."""

    again_ms: float = 200.0  # interval at which an unanswered query is repeated
    spread_ms: float = 200.0  # over which front ends that start together spread their queries


LATE_RETRY_FACTOR = 5  # multiple of `again_ms` at which a query that has timed out is repeated


@dataclass(frozen=True, slots=True)
class Querier:
    """The front end that sends the queries, and what it knows when it starts."""

    name: str
    fleet: str
    incarnation: int
    lists: Mapping[QueryTarget, tuple[str, ...]]  # all members of the membership file, up or not
    # Number and digest of what its own intact store contains, by topic. Without an entry its own answer does
    # not count in a majority. A replica with an intact store has an entry for GRANTS and does not query them.
    own: Mapping[QueryTopic, tuple[int, str]] = field(default_factory=dict)


@dataclass(slots=True)
class OpenQuery:
    """The state of one topic's query, and the answers so far."""

    state: QueryState = QueryState.NOT_ASKED
    since_ms: float = 0.0  # when the query began
    retry_ms: float = 0.0  # when it is sent next
    answers: dict[str, Answer] = field(default_factory=dict)  # by sender


class StartupQueries:
    """Owns the queries of one incarnation of a front end, and their answers."""

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
        self.newer_membership = 0  # largest number of a voter's membership file that is newer than its own
        self.dropped: dict[str, int] = {}  # number of dropped answers, by reason
        self.queries = {topic: OpenQuery() for topic in QueryTopic}
        self.incarnations: dict[str, int] = {}  # last known incarnation, by sender
        self._begin(now_ms, QueryTopic.MEMBERS)

    # --- state ----------------------------------------------------------------------------------

    def state(self, topic: QueryTopic) -> QueryState:
        """The state of the topic's query."""
        return self.queries[topic].state

    @property
    def finished(self) -> bool:
        """Whether each query was answered or timed out."""
        done = (QueryState.ANSWERED, QueryState.TIMED_OUT)
        return all(query.state in done for query in self.queries.values())

    def fallbacks(self) -> dict[QueryTopic, str]:
        """The fallbacks of the topics that timed out and are not answered."""
        return {
            topic: self.steps[topic].fallback
            for topic, query in self.queries.items()
            if query.state is QueryState.TIMED_OUT
        }

    def majority_answer(self, topic: QueryTopic) -> MajorityAnswer:
        """What the answers say about this front end's own data; an argument of `trust.trust_level`."""
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
        """The latest time for the next call of `tick`; None once everything is answered."""
        times = []
        for topic, query in self.queries.items():
            if query.state is QueryState.WAITING:
                times.append(query.since_ms + self.steps[topic].timeout_ms)
            if query.state in (QueryState.WAITING, QueryState.TIMED_OUT):
                times.append(query.retry_ms)
        return min(times, default=None)

    def tick(self, now_ms: float) -> list[SendQuery]:
        """Handle timeouts and return the queries to send; to be called at `due_ms` at the latest."""
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
        """Process an answer; an invalid answer is dropped and counted."""
        if reason := self._drop_reason(sender, answer):
            self.dropped[reason] = self.dropped.get(reason, 0) + 1
            return
        topic = QueryTopic(answer.topic)
        self._note_incarnation(sender, answer.sender_incarnation)
        if not answer.trusted:
            return  # the sender is up but does not know the answer
        self.queries[topic].answers[sender] = answer
        if topic is QueryTopic.MEMBERS and answer.number > self.own.get(topic, (0, ""))[0]:
            self.newer_membership = max(self.newer_membership, answer.number)
        self._check_answered(now_ms, topic)

    def _note_incarnation(self, sender: str, incarnation: int) -> None:
        """Drop answers of a sender's earlier incarnation, because it may have lost that state since."""
        if incarnation <= self.incarnations.get(sender, 0):
            return
        self.incarnations[sender] = incarnation
        for query in self.queries.values():
            if query.state is not QueryState.ANSWERED:
                query.answers.pop(sender, None)

    def query_one(self, to: str, topic: QueryTopic) -> SendQuery:
        """A query to one member; its answer shows that the member knows this incarnation."""
        return SendQuery(to, self._next_query(topic))

    def answer_by_itself(self, now_ms: float, topic: QueryTopic) -> None:
        """Note that the front end knows the answer itself and need not wait for others."""
        if topic not in self.own:
            self.own[topic] = (0, "")
            self._check_answered(now_ms, topic)

    def _drop_reason(self, sender: str, answer: Answer) -> str:
        """The reason to drop an answer, empty for a valid one; a key of counters that must not change."""
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
        """Mark the topic as answered if it has enough answers, and begin the next query if it was waiting."""
        query = self.queries[topic]
        if query.state in (QueryState.NOT_ASKED, QueryState.ANSWERED) or not self._has_enough_answers(topic):
            return
        waited = query.state is QueryState.WAITING
        query.state = QueryState.ANSWERED
        if waited:
            self._begin_next(now_ms, topic)

    def _has_enough_answers(self, topic: QueryTopic) -> bool:
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
