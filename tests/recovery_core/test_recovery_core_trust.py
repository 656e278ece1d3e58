"""Which stored state is trusted after a start: all combinations of the trust table, and its invariants."""

from dataclasses import replace
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

ALL_STATES = [
    StoredState(*row)
    for row in product(StateKind, StateAge, (True, False), (True, False), MajorityAnswer, StoreCondition)
]

# Trust levels of an intact store after a power loss, without a majority: fresh, stale, expired state.
LEVELS_AFTER_POWER_LOSS = {
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
    for closed_cleanly in (True, False):
        levels = [trust_level(StoredState(kind, age, closed_cleanly, False)).name for age in StateAge]
        assert levels == LEVELS_AFTER_POWER_LOSS[kind].split()


def test_the_trust_table_keeps_its_invariants():
    assert len(ALL_STATES) == 9 * 3 * 2 * 2 * 4 * 2
    level_by_state = {state: trust_level(state) for state in ALL_STATES}
    for state, level in level_by_state.items():
        kind, age, _, is_same_boot, majority, store = (getattr(state, name) for name in state.__slots__)
        less_trusted = [replace(state, age=later) for later in StateAge if later > age]
        less_trusted += [replace(state, closed_cleanly=False), replace(state, same_boot=False)]
        less_trusted += [replace(state, store=StoreCondition.PARTIAL)]
        assert all(level_by_state[other] <= level for other in less_trusted), state
        if kind is StateKind.TERM:
            keeps_identity = store is StoreCondition.INTACT and majority is not MajorityAnswer.CONFLICTING
            assert may_vote(level) == keeps_identity
        elif kind is StateKind.GRANT:
            assert level is (TrustLevel.GONE if age is StateAge.EXPIRED else TrustLevel.NOW)
        elif majority in (MajorityAnswer.NEWER, MajorityAnswer.CONFLICTING):
            assert level is TrustLevel.GONE
        elif not is_same_boot and majority is MajorityAnswer.NO_ANSWER:
            assert level is not TrustLevel.NOW
        if kind in (StateKind.LOADS, StateKind.COPIES) and not is_same_boot:
            assert level is TrustLevel.GONE
        if store is StoreCondition.PARTIAL and majority is MajorityAnswer.NO_ANSWER:
            assert level <= PARTIAL_STORE_TRUST[kind]
        if majority is MajorityAnswer.CONFIRMED:
            assert level is not TrustLevel.MAJORITY
    assert knows_all_grants(StoreCondition.INTACT)
    assert not knows_all_grants(StoreCondition.PARTIAL)


WALL_CLOCK_MS = st.floats(-1e8, 1e8)
CLOCK_SKEW = 0.1


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.floats(0, 9_000), st.sampled_from("skm"), WALL_CLOCK_MS), max_size=8),
    st.floats(1 - CLOCK_SKEW, 1 + CLOCK_SKEW),
)
def test_no_clock_shortens_a_grant(incarnations, rate):
    """A grant is valid at every reading within its window, whatever the wall clocks show.

    Incarnations of a replica end with a restart (s), a power loss (k), or a move of the disk to a machine
    that has been up for a long time (m).
    """
    window_ms = 10_000.0
    duration_ms = window_ms * (1 + CLOCK_SKEW) / (1 - CLOCK_SKEW)
    boot, mono_ms, true_ms = 0, 5_000.0, 0.0
    written = ClockReading("0", mono_ms, 0.0)
    for elapsed_ms, end, wall_ms in incarnations:
        true_ms += elapsed_ms
        mono_ms += elapsed_ms * rate
        if end != "s":
            boot += 1
            mono_ms = 0.0 if end == "k" else 1e9
        read = ClockReading(str(boot), mono_ms, wall_ms)
        remaining = remaining_ms(written, read, duration_ms)
        assert remaining == remaining_ms(written, ClockReading(read.boot, mono_ms, -wall_ms), duration_ms)
        if true_ms < window_ms:
            assert remaining > 0
            limits = AgeSettings(window_ms=duration_ms).of(StateKind.GRANT)
            assert age_of(StateKind.GRANT, written, read, limits) is StateAge.FRESH
        if end != "s":
            assert remaining == duration_ms


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.sampled_from(StateKind),
    st.booleans(),
    st.floats(0, 1e7),
    st.floats(0, 1e7),
    WALL_CLOCK_MS,
    WALL_CLOCK_MS,
)
def test_older_state_is_never_more_trusted_and_no_wall_clock_adds_trust(
    kind, closed_cleanly, younger_ms, more_ms, wall_ms, wall_step_ms
):
    limits = AgeSettings().of(kind)
    written = ClockReading("b", 1_000.0, 0.0)
    levels = []
    for elapsed_ms in (younger_ms, younger_ms + more_ms):
        age = age_of(kind, written, ClockReading("b", 1_000.0 + elapsed_ms, wall_ms), limits)
        levels.append(trust_level(StoredState(kind, age, closed_cleanly, True)))
    assert levels[1] <= levels[0]
    for wall_clock_ms in (wall_ms, wall_ms + wall_step_ms):
        age = age_of(kind, written, ClockReading("c", 5.0, wall_clock_ms), limits)
        level = trust_level(StoredState(kind, age, closed_cleanly, False))
        assert kind in (StateKind.TERM, StateKind.GRANT) or level is not TrustLevel.NOW


def test_a_boot_is_distinguished_from_a_restart():
    written = ClockReading("b", 50.0, 0.0)
    assert same_boot(written, ClockReading("b", 60.0, -1e9))
    for other in (ClockReading("c", 60.0, 0.0), ClockReading("", 60.0, 0.0), ClockReading("b", 40.0, 0.0)):
        assert not same_boot(written, other)
    assert not same_boot(ClockReading("", 50.0, 0.0), ClockReading("", 60.0, 0.0))


@pytest.mark.parametrize(
    ("same_boot_here", "current", "scope"),
    [
        (True, {"a": "1", "b": "1"}, RestartScope.PROCESS),
        (True, {}, RestartScope.PROCESS),
        (False, {"a": "2", "b": "1"}, RestartScope.MACHINE),
        (False, {"a": "2", "b": "2"}, RestartScope.FLEET),
        (True, {"a": "2", "b": "2"}, RestartScope.FLEET),
        (False, {"a": "2"}, RestartScope.UNKNOWN),
        (False, {"a": "2", "x": "2", "y": "2"}, RestartScope.UNKNOWN),  # only voters count
    ],
)
def test_scope_of_a_restart(same_boot_here, current, scope):
    assert restart_scope(same_boot_here, ("a", "b", "c"), {"a": "1", "b": "1", "c": "1"}, current) is scope
