"""Counting incarnations whose numbers have no order, as after a clock was set back or a disk was lost."""

import random

import pytest

from fawnwharf.incarnations import MAX_KNOWN_INCARNATIONS, MAX_MEMBERS, IncarnationCounter


@pytest.mark.parametrize(
    ("numbers", "counts"),
    [
        ([7, 7, 7], [1, 1, 1]),
        ([7, 9, 9], [1, 2, 2]),
        ([9, 7, 7], [1, 2, 2]),  # a smaller number is a new incarnation as well
        ([9, 7, 9, 7], [1, 2, 0, 2]),  # a late message of an earlier incarnation
        ([3, 2, 1, 3, 2, 1], [1, 2, 3, 0, 0, 3]),
    ],
)
def test_incarnations_are_counted_as_they_are_observed(numbers, counts):
    counter = IncarnationCounter()
    assert [counter.observe("n1", number) for number in numbers] == counts
    assert counter.last_count("n1") == max(counts)
    assert counter.last_count("n2") == 0


def test_the_number_of_a_recent_count_is_known():
    counter = IncarnationCounter()
    numbers = random.Random(4).sample(range(1, 10**6), 3 * MAX_KNOWN_INCARNATIONS)
    counts = [counter.observe("n1", number) for number in numbers]
    assert counts == list(range(1, len(numbers) + 1))
    found = [counter.number_of("n1", count) for count in counts]
    assert found == [0] * 2 * MAX_KNOWN_INCARNATIONS + numbers[-MAX_KNOWN_INCARNATIONS:]
    beyond = counter.number_of("n1", len(numbers) + 1)
    assert beyond == counter.number_of("n1", 0) == counter.number_of("n2", 1) == 0


def test_stored_members_are_limited_and_removed_members_are_forgotten():
    counter = IncarnationCounter()
    for n in range(MAX_MEMBERS + 5):
        counter.observe(f"n{n}", 1)
    assert len(counter._members) == MAX_MEMBERS
    assert counter.last_count("n0") == 0
    counter.retain((f"n{MAX_MEMBERS}",))
    assert list(counter._members) == [f"n{MAX_MEMBERS}"]
