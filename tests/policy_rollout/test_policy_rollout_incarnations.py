"""Leases for a restarted member with a lower incarnation number, after its clock or its disk was reset."""

import msgspec

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import DeploymentCapabilities
from fawnwharf.policy_rollout.rollout_member import RolloutMember
from fawnwharf.policy_rollout.rollout_state import RolloutTiming
from fawnwharf.zones.log_lines import ConsensusStatus


def leader():
    """A leading voter that may grant leases: its term began longer ago than a lease lasts."""
    capabilities = DeploymentCapabilities(frozenset(), frozenset(), frozenset({"a"}))
    member = RolloutMember(
        "n0",
        ("n0", "n1"),
        capabilities,
        RolloutTiming(),
        50,
        lambda _: ConsensusStatus(1, True, True, ""),
        True,
    )
    now = 0.0
    for _ in range(40):
        member.leadership_changed(now)
        member.tick(now)
        now += 100.0
    return member, now


def grants(member, now, incarnation, sent_ms):
    """The answers to a member that requests a lease."""
    request = m.LeaseRequest(incarnation, sent_ms, member.coordinator.register.last.number, -1)
    effects = member.receive(now, "n1", (msgspec.to_builtins(request),))
    return [
        effect.message
        for effect in effects
        if isinstance(effect, m.Send) and isinstance(effect.message, m.LeaseGrant)
    ]


def test_a_member_whose_next_incarnation_has_a_smaller_number_gets_a_lease_for_that_one():
    member, now = leader()
    [grant] = grants(member, now, 9_000, 10.0)
    assert grant.incarnation == 9_000
    assert grant.lease_ms > 0
    [grant] = grants(member, now + 50.0, 4_000, 5.0)  # the disk was lost and the clock set back
    assert grant.incarnation == 4_000
    assert grant.lease_ms > 0
    assert grant.sent_ms == 5.0
    assert grants(member, now + 60.0, 9_000, 20.0) == []  # a delayed request
    assert member.dropped["of an earlier incarnation"] == 1
    [grant] = grants(member, now + 70.0, 4_000, 6.0)
    assert grant.incarnation == 4_000
    assert grant.lease_ms > 0
