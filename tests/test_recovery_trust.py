"""What is trusted after a start: the whole product of the table, and its laws."""

from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fawnwharf.recovery_core.trust import (
    PART,
    Age,
    Clock,
    Found,
    Kind,
    Others,
    Scope,
    Spans,
    Store,
    Trust,
    age_of,
    knows_all,
    left_ms,
    may_vote,
    same_boot,
    scope,
    trust,
)

SPACE = [Found(*row) for row in product(Kind, Age, (True, False), (True, False), Others, Store)]

# What a majority's silence leaves of a whole store after a power loss, by age.
AFTER_A_CUT = {
    Kind.TERM: "NOW NOW NOW",
    Kind.PLAN: "MAJORITY MAJORITY MAJORITY",
    Kind.POLICY: "MAJORITY MAJORITY MAJORITY",
    Kind.PROMISE: "NOW NOW GONE",
    Kind.ROSTER: "HINT HINT GONE",
    Kind.USE: "HINT HINT GONE",
    Kind.COPIES: "GONE GONE GONE",
    Kind.LOADS: "GONE GONE GONE",
    Kind.HOMES: "MAJORITY MAJORITY HINT",
}


@pytest.mark.parametrize("kind", Kind)
def test_after_a_power_loss(kind):
    for in_order in (True, False):
        assert [trust(Found(kind, age, in_order, False)).name for age in Age] == AFTER_A_CUT[kind].split()


def test_the_whole_product_keeps_the_laws():
    assert len(SPACE) == 9 * 3 * 2 * 2 * 4 * 2
    held = {found: trust(found) for found in SPACE}
    for found, level in held.items():
        k, a, o, b, others, s = (getattr(found, n) for n in found.__slots__)
        worse = [Found(k, later, o, b, others, s) for later in Age if later > a]
        worse += [Found(k, a, False, b, others, s), Found(k, a, o, False, others, s)]
        worse += [Found(k, a, o, b, others, Store.PART)]
        assert all(held[other] <= level for other in worse), found
        if k is Kind.TERM:
            sound = s is Store.WHOLE and others is not Others.OTHER
            assert may_vote(level) == sound
        elif k is Kind.PROMISE:
            assert level is (Trust.GONE if a is Age.OLD else Trust.NOW)
        elif others in (Others.LATER, Others.OTHER):
            assert level is Trust.GONE
        elif not b and others is Others.SILENT:
            assert level is not Trust.NOW
        if k in (Kind.LOADS, Kind.COPIES) and not b:
            assert level is Trust.GONE
        if s is Store.PART and others is Others.SILENT:
            assert level <= PART[k]
        if others is Others.SAME:
            assert level is not Trust.MAJORITY
    assert knows_all(Store.WHOLE) and not knows_all(Store.PART)


WALL = st.floats(-1e8, 1e8)
SKEW = 0.1


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.floats(0, 9_000), st.sampled_from("skm"), WALL), max_size=8),
    st.floats(1 - SKEW, 1 + SKEW),
)
def test_no_clock_makes_a_promise_shorter(spans, rate):
    """Lives of a keeper, each ended by a restart (s), a power loss (k) or a move of the disk to a machine
    that is up for long (m). Whatever the wall clocks say, it counts at every reading within its window."""
    window_ms = 10_000.0
    whole_ms = window_ms * (1 + SKEW) / (1 - SKEW)
    boot, mono, true_ms = 0, 5_000.0, 0.0
    written = Clock("0", mono, 0.0)
    for span, end, wall in spans:
        true_ms += span
        mono += span * rate
        if end != "s":
            boot += 1
            mono = 0.0 if end == "k" else 1e9
        read = Clock(str(boot), mono, wall)
        left = left_ms(written, read, whole_ms)
        assert left == left_ms(written, Clock(read.boot, mono, -wall), whole_ms)
        if true_ms < window_ms:
            assert left > 0
            assert (
                age_of(Kind.PROMISE, written, read, Spans(window_ms=whole_ms).of(Kind.PROMISE)) is Age.FRESH
            )
        if end != "s":
            assert left == whole_ms


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.sampled_from(Kind), st.booleans(), st.floats(0, 1e7), st.floats(0, 1e7), WALL, WALL)
def test_older_is_never_more_trusted_and_no_wall_clock_makes_trust(kind, in_order, one, more, wall, step):
    span = Spans().of(kind)
    written = Clock("b", 1_000.0, 0.0)
    ages = [age_of(kind, written, Clock("b", 1_000.0 + at, wall), span) for at in (one, one + more)]
    assert trust(Found(kind, ages[1], in_order, True)) <= trust(Found(kind, ages[0], in_order, True))
    for at in (wall, wall + step):
        level = trust(Found(kind, age_of(kind, written, Clock("c", 5.0, at), span), in_order, False))
        assert kind in (Kind.TERM, Kind.PROMISE) or level is not Trust.NOW


def test_a_boot_is_told_from_a_restart():
    written = Clock("b", 50.0, 0.0)
    assert same_boot(written, Clock("b", 60.0, -1e9))
    for other in (Clock("c", 60.0, 0.0), Clock("", 60.0, 0.0), Clock("b", 40.0, 0.0)):
        assert not same_boot(written, other)
    assert not same_boot(Clock("", 50.0, 0.0), Clock("", 60.0, 0.0))


@pytest.mark.parametrize(
    ("mine", "now", "found"),
    [
        (True, {"a": "1", "b": "1"}, Scope.PROCESS),
        (True, {}, Scope.PROCESS),
        (False, {"a": "2", "b": "1"}, Scope.MACHINE),
        (False, {"a": "2", "b": "2"}, Scope.FLEET),
        (True, {"a": "2", "b": "2"}, Scope.FLEET),
        (False, {"a": "2"}, Scope.UNKNOWN),
        (False, {"a": "2", "x": "2", "y": "2"}, Scope.UNKNOWN),  # who is no voter counts for nothing
    ],
)
def test_what_ended(mine, now, found):
    assert scope(mine, ("a", "b", "c"), {"a": "1", "b": "1", "c": "1"}, now) is found
