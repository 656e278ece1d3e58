"""What is trusted after a start: all combinations of the table, and its laws."""

from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fawnwharf.recovery_core.trust import (
    PARTIAL_STORE_TRUST,
    AgeSettings,
    ClockReading,
    MajorityAnswer,
    RestartScope,
    StateAge,
    StateKind,
    StoreCondition,
    StoredState,
    TrustLevel,
    age_of,
    knows_all_grants,
    may_vote,
    remaining_ms,
    restart_scope,
    same_boot,
    trust_level,
)

SPACE = [
    StoredState(*row)
    for row in product(StateKind, StateAge, (True, False), (True, False), MajorityAnswer, StoreCondition)
]

# What a majority's silence leaves of a whole store after a power loss, by age.
AFTER_A_CUT = {
    StateKind.TERM: "NOW NOW NOW",
    StateKind.PLAN: "MAJORITY MAJORITY MAJORITY",
    StateKind.POLICY: "MAJORITY MAJORITY MAJORITY",
    StateKind.GRANT: "NOW NOW GONE",
    StateKind.ROSTER: "HINT HINT GONE",
    StateKind.USAGE: "HINT HINT GONE",
    StateKind.COPIES: "GONE GONE GONE",
    StateKind.LOADS: "GONE GONE GONE",
    StateKind.PLACEMENTS: "MAJORITY MAJORITY HINT",
}


@pytest.mark.parametrize("kind", StateKind)
def test_trust_levels_after_a_power_loss(kind):
    for in_order in (True, False):
        assert [trust_level(StoredState(kind, age, in_order, False)).name for age in StateAge] == AFTER_A_CUT[
            kind
        ].split()


def test_the_whole_table_obeys_its_laws():
    assert len(SPACE) == 9 * 3 * 2 * 2 * 4 * 2
    held = {found: trust_level(found) for found in SPACE}
    for found, level in held.items():
        k, a, o, b, others, s = (getattr(found, n) for n in found.__slots__)
        worse = [StoredState(k, later, o, b, others, s) for later in StateAge if later > a]
        worse += [StoredState(k, a, False, b, others, s), StoredState(k, a, o, False, others, s)]
        worse += [StoredState(k, a, o, b, others, StoreCondition.PARTIAL)]
        assert all(held[other] <= level for other in worse), found
        if k is StateKind.TERM:
            sound = s is StoreCondition.INTACT and others is not MajorityAnswer.CONFLICTING
            assert may_vote(level) == sound
        elif k is StateKind.GRANT:
            assert level is (TrustLevel.GONE if a is StateAge.EXPIRED else TrustLevel.NOW)
        elif others in (MajorityAnswer.NEWER, MajorityAnswer.CONFLICTING):
            assert level is TrustLevel.GONE
        elif not b and others is MajorityAnswer.NO_ANSWER:
            assert level is not TrustLevel.NOW
        if k in (StateKind.LOADS, StateKind.COPIES) and not b:
            assert level is TrustLevel.GONE
        if s is StoreCondition.PARTIAL and others is MajorityAnswer.NO_ANSWER:
            assert level <= PARTIAL_STORE_TRUST[k]
        if others is MajorityAnswer.CONFIRMED:
            assert level is not TrustLevel.MAJORITY
    assert knows_all_grants(StoreCondition.INTACT)
    assert not knows_all_grants(StoreCondition.PARTIAL)


WALL = st.floats(-1e8, 1e8)
SKEW = 0.1


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.floats(0, 9_000), st.sampled_from("skm"), WALL), max_size=8),
    st.floats(1 - SKEW, 1 + SKEW),
)
def test_no_clock_shortens_a_grant(spans, rate):
    """A grant counts at every reading within its window, whatever the wall clocks say.

    Incarnations of a replica end by a restart (s), a power loss (k), or a move of the disk to a machine that
    has been up for long (m).
    """
    window_ms = 10_000.0
    whole_ms = window_ms * (1 + SKEW) / (1 - SKEW)
    boot, mono, true_ms = 0, 5_000.0, 0.0
    written = ClockReading("0", mono, 0.0)
    for span, end, wall in spans:
        true_ms += span
        mono += span * rate
        if end != "s":
            boot += 1
            mono = 0.0 if end == "k" else 1e9
        read = ClockReading(str(boot), mono, wall)
        left = remaining_ms(written, read, whole_ms)
        assert left == remaining_ms(written, ClockReading(read.boot, mono, -wall), whole_ms)
        if true_ms < window_ms:
            assert left > 0
            assert (
                age_of(StateKind.GRANT, written, read, AgeSettings(window_ms=whole_ms).of(StateKind.GRANT))
                is StateAge.FRESH
            )
        if end != "s":
            assert left == whole_ms


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.sampled_from(StateKind), st.booleans(), st.floats(0, 1e7), st.floats(0, 1e7), WALL, WALL)
def test_older_state_is_never_more_trusted_and_no_wall_clock_gives_trust(
    kind, in_order, one, more, wall, step
):
    span = AgeSettings().of(kind)
    written = ClockReading("b", 1_000.0, 0.0)
    ages = [age_of(kind, written, ClockReading("b", 1_000.0 + at, wall), span) for at in (one, one + more)]
    assert trust_level(StoredState(kind, ages[1], in_order, True)) <= trust_level(
        StoredState(kind, ages[0], in_order, True)
    )
    for at in (wall, wall + step):
        level = trust_level(
            StoredState(kind, age_of(kind, written, ClockReading("c", 5.0, at), span), in_order, False)
        )
        assert kind in (StateKind.TERM, StateKind.GRANT) or level is not TrustLevel.NOW


def test_a_boot_is_distinguished_from_a_restart():
    written = ClockReading("b", 50.0, 0.0)
    assert same_boot(written, ClockReading("b", 60.0, -1e9))
    for other in (ClockReading("c", 60.0, 0.0), ClockReading("", 60.0, 0.0), ClockReading("b", 40.0, 0.0)):
        assert not same_boot(written, other)
    assert not same_boot(ClockReading("", 50.0, 0.0), ClockReading("", 60.0, 0.0))


@pytest.mark.parametrize(
    ("mine", "now", "found"),
    [
        (True, {"a": "1", "b": "1"}, RestartScope.PROCESS),
        (True, {}, RestartScope.PROCESS),
        (False, {"a": "2", "b": "1"}, RestartScope.MACHINE),
        (False, {"a": "2", "b": "2"}, RestartScope.FLEET),
        (True, {"a": "2", "b": "2"}, RestartScope.FLEET),
        (False, {"a": "2"}, RestartScope.UNKNOWN),
        (False, {"a": "2", "x": "2", "y": "2"}, RestartScope.UNKNOWN),  # who is no voter counts for nothing
    ],
)
def test_scope_of_a_restart(mine, now, found):
    assert restart_scope(mine, ("a", "b", "c"), {"a": "1", "b": "1", "c": "1"}, now) is found
