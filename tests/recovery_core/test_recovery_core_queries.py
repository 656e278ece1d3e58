"""Queries of a starting front end: order, timeouts, and which answers are valid."""

from hypothesis import given, settings
from hypothesis import strategies as st

from fawnwharf.recovery_core.queries import (
    QUERY_STEPS,
    Answer,
    Querier,
    QueryState,
    QueryTarget,
    QueryTopic,
    StartupQueries,
)
from fawnwharf.recovery_core.trust import MajorityAnswer

LISTS = {
    QueryTarget.VOTERS: ("v1", "v2", "v3"),
    QueryTarget.REPLICAS: ("k1", "k2", "v1"),
    QueryTarget.CHANGE_LOG: ("log",),
}


def answer(queries, topic, /, **overrides):
    overrides = {"sender_incarnation": 1, "trusted": True, "sequence": queries.sequence} | overrides
    return Answer(**({"fleet": "f", "incarnation": queries.incarnation, "topic": int(topic)} | overrides))


def startup_queries(name="x", own=None, now_ms=0.0):
    return StartupQueries(Querier(name, "f", 7, LISTS, own or {}), now_ms)


def test_topics_are_queried_of_their_targets_in_order():
    queries, now_ms, queried_topics = startup_queries(), 0.0, []
    while not queries.finished:
        now_ms = queries.due_ms()
        for action in queries.tick(now_ms):
            topic = QueryTopic(action.message.topic)
            queried_topics.append(topic)
            queries.receive(now_ms, action.to, answer(queries, topic))
    assert list(dict.fromkeys(queried_topics)) == list(QueryTopic)
    assert now_ms < 1_000.0
    assert queries.fallbacks() == {}
    assert queries.due_ms() is None


def test_without_answers_it_continues_after_timeouts_and_takes_late_answers():
    queries, now_ms = startup_queries(), 0.0
    while not queries.finished:
        now_ms = queries.due_ms()
        queries.tick(now_ms)
    assert now_ms == sum(step.timeout_ms for step in QUERY_STEPS.values())
    assert queries.fallbacks() == {topic: step.fallback for topic, step in QUERY_STEPS.items()}
    queries.tick(queries.due_ms())
    queries.receive(now_ms, "log", answer(queries, QueryTopic.ROSTER))
    assert queries.state(QueryTopic.ROSTER) is QueryState.ANSWERED
    assert queries.state(QueryTopic.PLAN) is QueryState.TIMED_OUT


def test_a_majority_is_of_the_list_and_its_own_answer_counts_from_an_intact_store_only():
    for own, expected in ((None, QueryState.WAITING), ({QueryTopic.MEMBERS: (3, "d")}, QueryState.ANSWERED)):
        queries = startup_queries("v1", own)
        queries.tick(500.0)
        queries.receive(500.0, "v2", answer(queries, QueryTopic.MEMBERS, number=3, digest="d"))
        queries.receive(500.0, "v2", answer(queries, QueryTopic.MEMBERS, number=3, digest="d"))  # counts once
        assert queries.state(QueryTopic.MEMBERS) is expected


def test_invalid_answers_are_dropped_and_counted_by_reason():
    queries = startup_queries()
    queries.tick(500.0)
    for sender, overrides in (
        ("v1", {"fleet": "g"}),
        ("v1", {"incarnation": 6}),
        ("v1", {"sequence": 99}),
        ("k1", {}),
        ("v1", {"topic": int(QueryTopic.ROSTER)}),
    ):
        queries.receive(500.0, sender, answer(queries, QueryTopic.MEMBERS, **overrides))
    queries.receive(500.0, "v2", answer(queries, QueryTopic.MEMBERS, sender_incarnation=5))
    queries.receive(500.0, "v2", answer(queries, QueryTopic.MEMBERS, sender_incarnation=4))
    queries.receive(500.0, "v3", answer(queries, QueryTopic.MEMBERS, trusted=False))
    assert queries.state(QueryTopic.MEMBERS) is QueryState.WAITING
    assert queries.dropped == {
        "another fleet's": 1,
        "to another life": 2,
        "not asked": 2,
        "of an earlier life": 1,
    }
    # The restart of v2 drops its earlier answer; its new incarnation does not know the answer.
    queries.receive(500.0, "v2", answer(queries, QueryTopic.MEMBERS, sender_incarnation=6, trusted=False))
    queries.receive(500.0, "v3", answer(queries, QueryTopic.MEMBERS))
    assert queries.state(QueryTopic.MEMBERS) is QueryState.WAITING
    queries.receive(500.0, "v1", answer(queries, QueryTopic.MEMBERS, number=9))
    assert queries.state(QueryTopic.MEMBERS) is QueryState.ANSWERED
    assert queries.newer_membership == 9


def test_a_replica_queries_all_others_unless_its_own_store_is_intact():
    for own, expected in (({}, QueryState.WAITING), ({QueryTopic.GRANTS: (0, "")}, QueryState.ANSWERED)):
        queries = startup_queries("k1", own)
        for now_ms in (600.0, 2_100.0):
            queries.tick(now_ms)
        assert queries.state(QueryTopic.GRANTS) is expected
    queries = startup_queries("k1")
    for now_ms in (600.0, 2_100.0, 2_400.0):
        queries.tick(now_ms)
    queries.receive(2_400.0, "k2", answer(queries, QueryTopic.GRANTS))
    # A majority is not enough, because v1 may have other grants.
    assert queries.state(QueryTopic.GRANTS) is QueryState.WAITING
    queries.receive(2_400.0, "v1", answer(queries, QueryTopic.GRANTS))
    assert queries.state(QueryTopic.GRANTS) is QueryState.ANSWERED


def test_what_a_majority_answers_about_the_own_plan():
    for answers, expected in (
        ([("v1", 4, "p", False), ("v2", 3, "o", False)], MajorityAnswer.CONFIRMED),
        ([("v1", 4, "p", False), ("v2", 5, "q", False)], MajorityAnswer.NEWER),
        ([("v1", 4, "x", False), ("v2", 4, "p", False)], MajorityAnswer.CONFLICTING),
        ([("v1", 4, "p", False)], MajorityAnswer.NO_ANSWER),
        ([("v1", 4, "p", True)], MajorityAnswer.CONFIRMED),  # a leader under its lease
    ):
        queries = startup_queries(own={QueryTopic.PLAN: (4, "p")})
        for now_ms in (600.0, 900.0):
            queries.tick(now_ms)
        for sender, number, digest, leased in answers:
            overrides = {"number": number, "digest": digest, "leased": leased}
            queries.receive(900.0, sender, answer(queries, QueryTopic.PLAN, **overrides))
        assert queries.majority_answer(QueryTopic.PLAN) is expected


ANSWERS = st.tuples(
    st.sampled_from(["v1", "v2", "v3", "k1", "k2", "log", "x"]),  # sender
    st.sampled_from(QueryTopic),
    st.integers(0, 2),  # the sender's incarnation
    st.booleans(),  # whether the sender trusts its answer
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(ANSWERS, max_size=40), st.floats(1.0, 400.0))
def test_queries_always_finish_in_time_and_never_with_less_than_a_majority(answers, interval_ms):
    queries, now_ms, senders_by_topic = startup_queries(), 0.0, {}
    for sender, topic, incarnation, trusted in answers:
        now_ms += interval_ms
        queries.tick(now_ms)
        before = dict(queries.incarnations)
        queries.receive(
            now_ms, sender, answer(queries, topic, sender_incarnation=incarnation, trusted=trusted)
        )
        if trusted and sender in LISTS[QUERY_STEPS[topic].target] and incarnation >= before.get(sender, 0):
            senders_by_topic.setdefault(topic, set()).add(sender)
    for topic in (QueryTopic.MEMBERS, QueryTopic.PLAN):
        if queries.state(topic) is QueryState.ANSWERED:
            assert len(senders_by_topic[topic]) >= 2
    while now_ms < 6_000.0:
        now_ms += interval_ms
        queries.tick(now_ms)
    assert queries.finished
