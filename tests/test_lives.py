"""Lives of members whose numbers have no order: clocks that were set back, disks that were lost."""

import random

import msgspec
import pytest

from fawnwharf.incarnations import MAX_KNOWN_INCARNATIONS, MAX_MEMBERS, IncarnationCounter
from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import DeploymentCapabilities
from fawnwharf.policy_rollout.rollout_coordinator import RolloutTiming
from fawnwharf.policy_rollout.rollout_member import RolloutMember
from fawnwharf.zones.log_lines import ConsensusStatus


@pytest.mark.parametrize(
    ("heard", "counted"),
    [
        ([7, 7, 7], [1, 1, 1]),
        ([7, 9, 9], [1, 2, 2]),
        ([9, 7, 7], [1, 2, 2]),  # a smaller number is another life as well
        ([9, 7, 9, 7], [1, 2, 0, 2]),  # and what follows of the earlier one is late
        ([3, 2, 1, 3, 2, 1], [1, 2, 3, 0, 0, 3]),
    ],
)
def test_lives_are_counted_as_they_are_heard(heard, counted):
    lives = IncarnationCounter()
    assert [lives.observe("n1", number) for number in heard] == counted
    assert lives.last_count("n1") == max(counted) and lives.last_count("n2") == 0


def test_a_count_leads_back_to_its_number_while_it_is_known():
    lives, chance = IncarnationCounter(), random.Random(4)
    numbers = chance.sample(range(1, 10**6), 3 * MAX_KNOWN_INCARNATIONS)
    counts = [lives.observe("n1", number) for number in numbers]
    assert counts == list(range(1, len(numbers) + 1))
    told = [lives.number_of("n1", count) for count in counts]
    assert told == [0] * 2 * MAX_KNOWN_INCARNATIONS + numbers[-MAX_KNOWN_INCARNATIONS:]
    assert (
        lives.number_of("n1", len(numbers) + 1) == lives.number_of("n1", 0) == lives.number_of("n2", 1) == 0
    )


def test_what_is_known_is_bounded_and_members_that_go_are_forgotten():
    lives = IncarnationCounter()
    for n in range(MAX_MEMBERS + 5):
        lives.observe(f"n{n}", 1)
    assert len(lives._members) == MAX_MEMBERS and lives.last_count("n0") == 0
    lives.retain((f"n{MAX_MEMBERS}",))
    assert list(lives._members) == [f"n{MAX_MEMBERS}"]


def leader():
    """The agent of a voter that leads, a lease's time after it began: it may grant."""
    known = DeploymentCapabilities(frozenset(), frozenset(), frozenset({"a"}))
    made = RolloutMember(
        "n0", ("n0", "n1"), known, RolloutTiming(), 50, lambda now: ConsensusStatus(1, True, True, ""), True
    )
    now = 0.0
    for _ in range(40):
        made.turned(now)
        made.tick(now)
        now += 100.0
    return made, now


def asks(agent, now, life, sent_ms):
    """What is answered to one that asks for a lease."""
    status = m.LeaseRequest(life, sent_ms, agent.steward.register.last.number, -1)
    effects = agent.heard(now, "n1", (msgspec.to_builtins(status),))
    return [
        say.message for say in effects if isinstance(say, m.Send) and isinstance(say.message, m.LeaseGrant)
    ]


def test_a_member_whose_next_life_has_a_smaller_number_gets_a_lease_for_that_one():
    agent, now = leader()
    [grant] = asks(agent, now, 9_000, 10.0)
    assert grant.life == 9_000 and grant.lease_ms > 0
    [grant] = asks(agent, now + 50.0, 4_000, 5.0)  # without its disk, by a clock of an earlier day
    assert grant.life == 4_000 and grant.lease_ms > 0 and grant.sent_ms == 5.0
    assert asks(agent, now + 60.0, 9_000, 20.0) == []  # what was on its way still
    assert agent.counts["of an earlier life"] == 1
    [grant] = asks(agent, now + 70.0, 4_000, 6.0)
    assert grant.life == 4_000 and grant.lease_ms > 0
