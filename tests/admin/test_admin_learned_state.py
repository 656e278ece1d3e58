"""The learned state of a process, encoded and restored by its successor."""

import pytest
from bench import Drive
from hypothesis import given
from hypothesis import strategies as st

from fawnwharf.admin import learned_state


def trained_drive():
    """A decision module that has served calls to several functions."""
    drive = Drive(workers=4)
    for turn in range(6):
        worker = drive.warm(f"f{turn % 3}")
        drive.now += 40.0
    scorer = drive.router.scorers[worker]
    scorer.slowdown, scorer.slowdown_ms = 2.5, drive.now - 30.0
    return drive


def is_equal(one, two):
    """Whether two values are equal except for the rounding of ages."""
    if isinstance(one, float):
        return two == pytest.approx(one, abs=1e-6)
    if isinstance(one, list | tuple):
        return len(one) == len(two) and all(map(is_equal, one, two))
    if isinstance(one, dict):
        return one.keys() == two.keys() and all(is_equal(one[key], two[key]) for key in one)
    if hasattr(one, "__struct_fields__"):
        return all(is_equal(getattr(one, name), getattr(two, name)) for name in one.__struct_fields__)
    return one == two


@pytest.mark.parametrize("later", [0.0, 700.0])
def test_learned_state_is_the_same_in_a_process_with_another_clock(later):
    drive = trained_drive()
    learned = learned_state.decode(
        learned_state.encode(learned_state.capture(drive.router, {"s-2", "s-1"}, drive.now, 5_000.0))
    )
    other = Drive(workers=4).router
    learned_state.restore(other, learned, 123_456.0 + later, 5_000.0 + later)
    again = learned_state.capture(other, set(learned.scorers_in_maintenance), 123_456.0, 5_000.0)
    assert learned.scorers_in_maintenance == ["s-1", "s-2"]
    assert len(learned.functions) == 3
    assert any(f.copies_at_scorers for f in learned.functions)
    learned.scorers.sort(key=lambda s: s.scorer_number)
    again.scorers.sort(key=lambda s: s.scorer_number)
    assert is_equal(learned, again)


def test_learned_state_of_scorers_missing_in_the_roster_is_ignored():
    drive = trained_drive()
    learned = learned_state.capture(drive.router, set(), drive.now, 0.0)
    other = Drive(workers=1).router
    learned_state.restore(other, learned, 500.0, 0.0)
    assert {scorer for fn in other.functions.values() for scorer in fn.copies_by_scorer} <= {1}


@given(at=st.integers(0, 400), bit=st.integers(0, 7), cut=st.booleans())
def test_damaged_or_truncated_learned_state_is_rejected(at, bit, cut):
    data = bytearray(
        learned_state.encode(learned_state.LearnedState(1.0, ["s-1"], request_ages_ms=[1.0] * 50))
    )
    at %= len(data)
    if cut:
        del data[at:]
    else:
        data[at] ^= 1 << bit
    assert learned_state.decode(bytes(data)) is None


@pytest.mark.parametrize(
    ("age", "expected"), [(0.0, True), (20_000.0, True), (20_001.0, False), (-1.0, False)]
)
def test_learned_state_that_is_old_or_of_another_boot_is_not_fresh(age, expected):
    assert learned_state.is_fresh(learned_state.LearnedState(50_000.0, []), 50_000.0 + age) is expected
