"""What a start asks: order, bounds, and which answers count."""

from hypothesis import given, settings
from hypothesis import strategies as st

from fawnwharf.recovery_core.queries import (
    QUERY_STEPS,
    Answer,
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
    more = {"sender_life": 1, "sure": True, "turn": to.turn} | more
    return Answer(**({"fleet": "f", "life": to.life, "what": int(what)} | more))


def asking(me="x", own=None, now=0.0):
    return StartupQueries(me, "f", 7, LISTS, now, own)


def test_each_is_asked_of_its_own_and_in_order():
    core, now, seen = asking(), 0.0, []
    while not core.done:
        now = core.due_ms()
        for say in core.tick(now):
            what = QueryTopic(say.message.what)
            seen.append(what)
            core.heard(now, say.to, answer(core, what))
    assert list(dict.fromkeys(seen)) == list(QueryTopic) and now < 1_000.0 and core.without() == {}
    assert core.due_ms() is None


def test_with_nobody_there_it_goes_on_within_its_bounds_and_takes_what_comes_late():
    core, now = asking(), 0.0
    while not core.done:
        now = core.due_ms()
        core.tick(now)
    assert now == sum(step.bound_ms for step in QUERY_STEPS.values())
    assert core.without() == {what: step.without for what, step in QUERY_STEPS.items()}
    core.tick(core.due_ms())
    core.heard(now, "log", answer(core, QueryTopic.ROSTER))
    assert (
        core.stand(QueryTopic.ROSTER) is QueryState.ANSWERED
        and core.stand(QueryTopic.PLAN) is QueryState.TIMED_OUT
    )


def test_a_majority_is_of_the_list_and_its_own_word_counts_from_a_whole_store_alone():
    for own, found in ((None, QueryState.WAITING), ({QueryTopic.MEMBERS: (3, "d")}, QueryState.ANSWERED)):
        core = asking("v1", own)
        core.tick(500.0)
        core.heard(500.0, "v2", answer(core, QueryTopic.MEMBERS, number=3, digest="d"))
        core.heard(500.0, "v2", answer(core, QueryTopic.MEMBERS, number=3, digest="d"))  # twice is once
        assert core.stand(QueryTopic.MEMBERS) is found


def test_what_does_not_count():
    core = asking()
    core.tick(500.0)
    for sender, more in (
        ("v1", {"fleet": "g"}),
        ("v1", {"life": 6}),
        ("v1", {"turn": 99}),
        ("k1", {}),
        ("v1", {"what": int(QueryTopic.ROSTER)}),
    ):
        core.heard(500.0, sender, answer(core, **({"what": QueryTopic.MEMBERS} | more)))
    core.heard(500.0, "v2", answer(core, QueryTopic.MEMBERS, sender_life=5))
    core.heard(500.0, "v2", answer(core, QueryTopic.MEMBERS, sender_life=4))
    core.heard(500.0, "v3", answer(core, QueryTopic.MEMBERS, sure=False))
    assert core.stand(QueryTopic.MEMBERS) is QueryState.WAITING
    assert core.dropped == {
        "another fleet's": 1,
        "to another life": 2,
        "not asked": 2,
        "of an earlier life": 1,
    }
    core.heard(
        500.0, "v2", answer(core, QueryTopic.MEMBERS, sender_life=6, sure=False)
    )  # it has lost it since
    core.heard(500.0, "v3", answer(core, QueryTopic.MEMBERS))
    assert core.stand(QueryTopic.MEMBERS) is QueryState.WAITING
    core.heard(500.0, "v1", answer(core, QueryTopic.MEMBERS, number=9))
    assert core.stand(QueryTopic.MEMBERS) is QueryState.ANSWERED and core.behind == 9


def test_a_keeper_asks_all_others_unless_its_own_store_is_whole():
    for own, found in (({}, QueryState.WAITING), ({QueryTopic.GRANTS: (0, "")}, QueryState.ANSWERED)):
        core = asking("k1", own)
        for now in (600.0, 2_100.0):
            core.tick(now)
        assert core.stand(QueryTopic.GRANTS) is found
    core = asking("k1")
    for now in (600.0, 2_100.0, 2_400.0):
        core.tick(now)
    core.heard(2_400.0, "k2", answer(core, QueryTopic.GRANTS))
    assert (
        core.stand(QueryTopic.GRANTS) is QueryState.WAITING
    )  # a majority is not enough: v1 may hold the rest
    core.heard(2_400.0, "v1", answer(core, QueryTopic.GRANTS))
    assert core.stand(QueryTopic.GRANTS) is QueryState.ANSWERED


def test_what_others_say_of_the_own_plan():
    for answers, found in (
        ([("v1", 4, "p", False), ("v2", 3, "o", False)], MajorityAnswer.CONFIRMED),
        ([("v1", 4, "p", False), ("v2", 5, "q", False)], MajorityAnswer.LATER),
        ([("v1", 4, "x", False), ("v2", 4, "p", False)], MajorityAnswer.CONFLICTING),
        ([("v1", 4, "p", False)], MajorityAnswer.NO_ANSWER),
        ([("v1", 4, "p", True)], MajorityAnswer.CONFIRMED),  # a leader's, under its lease
    ):
        core = asking(own={QueryTopic.PLAN: (4, "p")})
        for now in (600.0, 900.0):
            core.tick(now)
        for sender, number, digest, leased in answers:
            more = {"number": number, "digest": digest, "leased": leased}
            core.heard(900.0, sender, answer(core, QueryTopic.PLAN, **more))
        assert core.others(QueryTopic.PLAN) is found


WORDS = st.tuples(
    st.sampled_from(["v1", "v2", "v3", "k1", "k2", "log", "x"]),
    st.sampled_from(QueryTopic),
    st.integers(0, 2),
    st.booleans(),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(WORDS, max_size=40), st.floats(1.0, 400.0))
def test_it_always_ends_in_time_and_never_by_less_than_a_majority(words, pace):
    core, now, sure = asking(), 0.0, {}
    for sender, what, life, good in words:
        now += pace
        core.tick(now)
        before = dict(core.lives)
        core.heard(now, sender, answer(core, what, sender_life=life, sure=good))
        if good and sender in LISTS[QUERY_STEPS[what].of] and life >= before.get(sender, 0):
            sure.setdefault(what, set()).add(sender)
    for what in (QueryTopic.MEMBERS, QueryTopic.PLAN):
        if core.stand(what) is QueryState.ANSWERED:
            assert len(sure[what]) >= 2
    while now < 6_000.0:
        now += pace
        core.tick(now)
    assert core.done
