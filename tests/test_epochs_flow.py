"""Stewards and holders together in virtual time, and the parts of a holder that a change touches."""

import pytest

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import DeploymentCapabilities, Register, make_document, parse_register
from fawnwharf.policy_rollout.lease_holder import DelayedRelaxation, LeaseHolder
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator, RolloutTiming
from fawnwharf.policy_rollout.rollout_measurement import measure_rollout
from fawnwharf.policy_rollout.simulation import KNOWN, Simulation
from fawnwharf.policy_rollout.simulation_types import NO_FAULTS

TIMING = RolloutTiming()
OLD, NEW = (make_document(n, {("tenants", "t", "quota_rps"): rps}) for n, rps in ((1, 10.0), (2, 20.0)))


def fleet(size=6, seed=1):
    walk = Simulation(size, seed, NO_FAULTS)
    walk.run(10**6, until_ms=3_000.0)
    return walk


def acting(walk):
    return {node.holder.register.last.number for node in walk.nodes.values() if walk._acts(node)}


def runs(walk, ms):
    outcome = walk.run(10**6, until_ms=walk.now + ms)
    assert outcome.broken == ""
    return outcome


def test_a_change_comes_into_force_everywhere_within_round_trips():
    walk = fleet()
    assert acting(walk) == {0}
    walk.propose(5)
    runs(walk, 100)
    assert acting(walk) == {1} and sum(walk._acts(n) for n in walk.nodes.values()) == 6
    assert {n.holder.judged_by(walk.now * n.rate).document.value("tenants", "t", "quota_rps")
            for n in walk.nodes.values()} == {5.0}  # fmt: skip
    walk.propose(9)  # and back by another change
    runs(walk, 100)
    walk.propose(5)
    runs(walk, 100)
    assert acting(walk) == {3}
    assert (
        parse_register(walk.log).last.digest == make_document(0, {("tenants", "t", "quota_rps"): 5.0}).digest
    )


@pytest.mark.parametrize("back_ms", [1_000.0, 6_000.0])
def test_a_third_dead_that_returns_between_prepare_and_decision_or_after(back_ms):
    walk = fleet()
    walk.propose(5)
    for name in ("f4", "f5"):
        walk.kill(name, back_ms)
    runs(walk, 900)
    assert acting(walk) == {0} and walk.log == ""  # their leases may still count
    runs(walk, 2_000)
    assert acting(walk) == {1}
    runs(walk, 6_000)
    assert acting(walk) == {1} and all(walk._acts(n) for n in walk.nodes.values())


def test_one_that_is_cut_off_goes_by_the_stricter_and_the_next_waits_for_its_lease():
    walk = fleet()
    cut = walk.nodes["f5"]
    walk.propose(5)
    while not walk.log:
        walk.run(walk.outcome.steps + 1)
    cut.cut_ms = walk.now + 60_000.0
    runs(walk, 1_000)
    assert acting(walk) == {0} and walk._acts(cut)
    runs(walk, 2_000)
    assert acting(walk) == {1} and not walk._acts(cut)
    assert cut.holder.judged_by(walk.now * cut.rate).how == "strict"  # it was asked, and heard no more


def test_any_no_ends_it_everywhere():
    walk = fleet()
    odd = walk.nodes["f3"].holder
    odd.known = DeploymentCapabilities(frozenset(), frozenset(), frozenset())
    walk.propose(5)
    runs(walk, 5_000)
    assert walk.log == "" and acting(walk) == {0} and walk.outcome.events["ended"] == 1
    assert all(node.holder.prepared is None for node in walk.nodes.values())
    odd.known = KNOWN
    walk.propose(6)
    runs(walk, 100)
    assert acting(walk) == {2}  # the number that was ended is not given again


def test_a_changed_list_an_operator_and_time_end_it():
    said = [m.LogEvent("ended", {"number": 1, "why": why}) for why in
            ("the list of members changed", "called off late", "no answer from a, b")]  # fmt: skip
    for n, note in enumerate(said):
        steward = RolloutCoordinator(TIMING, ("a", "b"))
        steward.lead(0.0, 1, "")
        steward.propose(0.0, '{"version":1}')
        refused = steward.propose(0.0, '{"version":1}')
        assert refused[0].fields == {"why": "number 1 is under way"}
        ends = (
            lambda s: s.take_members(1.0, ("a",)),
            lambda s: s.call_off(1.0, "late"),
            lambda s: s.tick(TIMING.prepare_ms, True),
        )
        for name in ("a", "b"):
            steward.leases[name] = 0, 1e9
        assert ends[n](steward)[-1] == note


def test_nothing_ends_what_is_put_to_the_vote():
    steward = RolloutCoordinator(TIMING, ("a",))
    steward.lead(0.0, 1, "")
    steward.propose(0.0, '{"version":1}')
    assert steward.vote(1.0, "a", m.Vote(1, 1, 2, 1)) == []  # the leader before may have granted leases
    (decide,) = steward.tick(TIMING.over_ms, True)[:1]
    assert isinstance(decide, m.ProposeRegister)
    assert steward.call_off(1.0)[0].event == "refused"
    assert steward.take_members(1.0, ("a", "b")) == [] and steward.tick(1e6, True) == []
    assert steward.vote(1.0, "a", m.Vote(1, 1, 2, 1, "late: no")) == []
    assert steward.decided(1e6, decide.register, True)[0].event == "decided"


def test_without_the_word_of_the_voters_nothing_is_granted():
    steward = RolloutCoordinator(TIMING, ("a",))
    steward.lead(0.0, 1, "")
    assert steward.status(0.0, "a", m.LeaseRequest(1, 0.0, 0, 0), False) == []
    assert steward.status(0.0, "a", m.LeaseRequest(1, 0.0, 0, 0), True)[0].message.lease_ms == TIMING.lease_ms


def test_a_new_leader_waits_a_lease_out_unless_the_last_one_was_in_force():
    steward = RolloutCoordinator(TIMING, ("a", "b"))
    steward.lead(0.0, 2, Register(NEW, OLD).encode())
    (answer,) = steward.status(0.0, "a", m.LeaseRequest(1, 0.0, 2, -1), True)
    assert answer.message.lease_ms == 0.0
    assert steward.tick(TIMING.over_ms - 1, True) and not steward.settled
    steward.tick(TIMING.over_ms, True)
    assert steward.settled
    steward.lead(0.0, 3, Register(NEW, OLD).encode())
    steward.status(0.0, "b", m.LeaseRequest(1, 0.0, 2, 2), True)
    assert steward.settled


def test_a_restart_comes_up_in_the_newest_whatever_its_disk_says():
    holder = LeaseHolder(KNOWN, TIMING, 2, Register(OLD).encode())
    assert holder.judged_by(0.0).how == "waiting"
    assert holder.judged_by(0.0).document.value("tenants", "t", "quota_rps") == 5.0  # half of its disk's
    grant = m.LeaseGrant(1, 1, 1, 0.0, 1, 2_000.0, 0, Register(OLD).encode())
    assert holder.grant(1.0, grant) == []  # meant for its earlier life
    holder.grant(1.0, m.LeaseGrant(1, 1, 2, 0.0, 2, 0.0, 0, Register(NEW, OLD).encode()))
    assert holder.ready and holder.judged_by(1.0).how == "strict" and holder.register.last == NEW
    holder.grant(2.0, m.LeaseGrant(1, 1, 2, 1.0, 2, 2_000.0))
    assert holder.judged_by(2.0).document == NEW
    assert holder.judged_by(2_001.0).how == "floor"


def test_an_epoch_that_this_version_does_not_know_ends_readiness():
    holder = LeaseHolder(KNOWN, TIMING, 1)
    holder.grant(0.0, m.LeaseGrant(1, 1, 1, 0.0, 0, 0.0, 0, Register().encode()))
    assert holder.ready
    (vote,) = holder.prepare(1.0, "a", m.Prepare(1, 2, 1, '{"version":1,"shape":{}}'))
    assert vote.message.fault == "shape: unknown key"
    note = holder.decided(1.0, '{"policy":1,"last":{"version":1,"number":1,"shape":{}}}')[0]
    assert note.fields == {"why": "shape: unknown key"} and not holder.ready


def test_a_call_keeps_its_epoch():
    holder = LeaseHolder(KNOWN, TIMING, 1)
    holder.grant(0.0, m.LeaseGrant(1, 1, 1, 0.0, 1, 0.0, 0, Register(OLD).encode()))
    holder.grant(0.0, m.LeaseGrant(1, 1, 1, 0.0, 1, 2_000.0))
    first = holder.take(1.0, "x")
    holder.decided(2.0, Register(NEW, OLD).encode())
    holder.grant(3.0, m.LeaseGrant(1, 2, 1, 2.0, 2, 2_000.0))
    assert (holder.of("x"), holder.take(3.0, "y").document) == (first, NEW) and first.document == OLD
    holder.done("x")
    assert holder.of("x") is None


def test_keeping_is_stricter_at_once_and_easier_after_the_old_window():
    def policy(mode, window_ms):
        return make_document(1, {("modes", "c"): mode, ("window_ms", "c"): window_ms})

    easing = DelayedRelaxation(0.1)
    easing.follow(0.0, policy("after", 900.0))
    easing.follow(10.0, policy("before", 1_800.0))
    assert easing.now == {"c": ("before", 1_800.0)}
    easing.follow(20.0, policy("off", 600.0))
    easing.step(20.0 + 2_199.0)
    assert easing.now == {"c": ("before", 1_800.0)}
    easing.step(20.0 + 2_201.0)
    assert easing.now == {"c": ("off", 600.0)}


@pytest.mark.parametrize("case", ["calm", "down", "dies", "cut"])
def test_worst_cases_hold(case):
    took = measure_rollout(12, case, 3)
    assert took.all_ms < (100 if case in ("calm", "down") else TIMING.over_ms / 0.9 + 100)
    assert took.messages < 6 * 12
