"""Queries of a starting front end: order, timeouts, and which answers count."""

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


def answer(to, what, **more):
    more = {"sender_incarnation": 1, "trusted": True, "sequence": to.sequence} | more
    return Answer(**({"fleet": "f", "incarnation": to.incarnation, "topic": int(what)} | more))


def startup_queries(me="x", own=None, now=0.0):
    return StartupQueries(Querier(me, "f", 7, LISTS, own or {}), now)


def test_topics_are_queried_of_their_targets_in_order():
    core, now, seen = startup_queries(), 0.0, []
    while not core.finished:
        now = core.due_ms()
        for say in core.tick(now):
            what = QueryTopic(say.message.topic)
            seen.append(what)
            core.receive(now, say.to, answer(core, what))
    assert list(dict.fromkeys(seen)) == list(QueryTopic)
    assert now < 1_000.0
    assert core.fallbacks() == {}
    assert core.due_ms() is None


def test_without_answers_it_continues_after_timeouts_and_takes_late_answers():
    core, now = startup_queries(), 0.0
    while not core.finished:
        now = core.due_ms()
        core.tick(now)
    assert now == sum(step.timeout_ms for step in QUERY_STEPS.values())
    assert core.fallbacks() == {what: step.fallback for what, step in QUERY_STEPS.items()}
    core.tick(core.due_ms())
    core.receive(now, "log", answer(core, QueryTopic.ROSTER))
    assert core.state(QueryTopic.ROSTER) is QueryState.ANSWERED
    assert core.state(QueryTopic.PLAN) is QueryState.TIMED_OUT


def test_a_majority_is_of_the_list_and_its_own_answer_counts_from_an_intact_store_only():
    for own, found in ((None, QueryState.WAITING), ({QueryTopic.MEMBERS: (3, "d")}, QueryState.ANSWERED)):
        core = startup_queries("v1", own)
        core.tick(500.0)
        core.receive(500.0, "v2", answer(core, QueryTopic.MEMBERS, number=3, digest="d"))
        core.receive(500.0, "v2", answer(core, QueryTopic.MEMBERS, number=3, digest="d"))  # twice is once
        assert core.state(QueryTopic.MEMBERS) is found


def test_answers_that_do_not_count_are_dropped_by_reason():
    core = startup_queries()
    core.tick(500.0)
    for sender, more in (
        ("v1", {"fleet": "g"}),
        ("v1", {"incarnation": 6}),
        ("v1", {"sequence": 99}),
        ("k1", {}),
        ("v1", {"topic": int(QueryTopic.ROSTER)}),
    ):
        core.receive(500.0, sender, answer(core, QueryTopic.MEMBERS, **more))
    core.receive(500.0, "v2", answer(core, QueryTopic.MEMBERS, sender_incarnation=5))
    core.receive(500.0, "v2", answer(core, QueryTopic.MEMBERS, sender_incarnation=4))
    core.receive(500.0, "v3", answer(core, QueryTopic.MEMBERS, trusted=False))
    assert core.state(QueryTopic.MEMBERS) is QueryState.WAITING
    assert core.dropped == {
        "another fleet's": 1,
        "to another life": 2,
        "not asked": 2,
        "of an earlier life": 1,
    }
    core.receive(
        500.0, "v2", answer(core, QueryTopic.MEMBERS, sender_incarnation=6, trusted=False)
    )  # it has lost it since
    core.receive(500.0, "v3", answer(core, QueryTopic.MEMBERS))
    assert core.state(QueryTopic.MEMBERS) is QueryState.WAITING
    core.receive(500.0, "v1", answer(core, QueryTopic.MEMBERS, number=9))
    assert core.state(QueryTopic.MEMBERS) is QueryState.ANSWERED
    assert core.newer_membership == 9


def test_a_replica_queries_all_others_unless_its_own_store_is_intact():
    for own, found in (({}, QueryState.WAITING), ({QueryTopic.GRANTS: (0, "")}, QueryState.ANSWERED)):
        core = startup_queries("k1", own)
        for now in (600.0, 2_100.0):
            core.tick(now)
        assert core.state(QueryTopic.GRANTS) is found
    core = startup_queries("k1")
    for now in (600.0, 2_100.0, 2_400.0):
        core.tick(now)
    core.receive(2_400.0, "k2", answer(core, QueryTopic.GRANTS))
    assert (
        core.state(QueryTopic.GRANTS) is QueryState.WAITING
    )  # a majority is not enough: v1 may hold the rest
    core.receive(2_400.0, "v1", answer(core, QueryTopic.GRANTS))
    assert core.state(QueryTopic.GRANTS) is QueryState.ANSWERED


def test_what_a_majority_answers_on_the_own_plan():
    for answers, found in (
        ([("v1", 4, "p", False), ("v2", 3, "o", False)], MajorityAnswer.CONFIRMED),
        ([("v1", 4, "p", False), ("v2", 5, "q", False)], MajorityAnswer.NEWER),
        ([("v1", 4, "x", False), ("v2", 4, "p", False)], MajorityAnswer.CONFLICTING),
        ([("v1", 4, "p", False)], MajorityAnswer.NO_ANSWER),
        ([("v1", 4, "p", True)], MajorityAnswer.CONFIRMED),  # a leader's, under its lease
    ):
        core = startup_queries(own={QueryTopic.PLAN: (4, "p")})
        for now in (600.0, 900.0):
            core.tick(now)
        for sender, number, digest, leased in answers:
            more = {"number": number, "digest": digest, "leased": leased}
            core.receive(900.0, sender, answer(core, QueryTopic.PLAN, **more))
        assert core.majority_answer(QueryTopic.PLAN) is found


WORDS = st.tuples(
    st.sampled_from(["v1", "v2", "v3", "k1", "k2", "log", "x"]),
    st.sampled_from(QueryTopic),
    st.integers(0, 2),
    st.booleans(),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(WORDS, max_size=40), st.floats(1.0, 400.0))
def test_it_always_finishes_in_time_and_never_by_less_than_a_majority(words, pace):
    core, now, sure = startup_queries(), 0.0, {}
    for sender, what, life, good in words:
        now += pace
        core.tick(now)
        before = dict(core.incarnations)
        core.receive(now, sender, answer(core, what, sender_incarnation=life, trusted=good))
        if good and sender in LISTS[QUERY_STEPS[what].target] and life >= before.get(sender, 0):
            sure.setdefault(what, set()).add(sender)
    for what in (QueryTopic.MEMBERS, QueryTopic.PLAN):
        if core.state(what) is QueryState.ANSWERED:
            assert len(sure[what]) >= 2
    while now < 6_000.0:
        now += pace
        core.tick(now)
    assert core.finished
