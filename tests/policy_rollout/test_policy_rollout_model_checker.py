"""Searches of a policy rollout's states, which must find mutants: cores with a bug on purpose."""

from dataclasses import replace as bounded

import pytest
from msgspec.structs import replace

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import parse_register
from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.model_checker import SEARCHES, Bounds, ModelChecker
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator
from fawnwharf.policy_rollout.rollout_state import LeaseRecord
from fawnwharf.policy_rollout.simulation import ImplementationTypes, Simulation


class DecidesEarly(RolloutCoordinator):
    """Puts a change to the vote while some act on without knowing of it."""

    def _missing_votes(self, now_ms, proposal):
        return super()._missing_votes(now_ms, proposal)[2:]


class InForceEarly(RolloutCoordinator):
    """Grants the next epoch before every lease of the earlier one is over."""

    def _holders_of_earlier_documents(self):
        return super()._holders_of_earlier_documents()[2:]


class LeaseByOwnClock(RolloutCoordinator):
    """Leaves the skew of clocks out of account."""

    def _grant(self, name, request, register):
        earlier = request._replace(received_ms=request.received_ms - self.timing.lease_ms)
        return super()._grant(name, earlier, register)


class TakesTwo(RolloutCoordinator):
    def _rejection_reason(self):
        return ""


class EndsWhatIsDecided(RolloutCoordinator):
    def cancel(self, reason=""):
        return self._abort(self.proposal, reason) if self.proposal else []


class NewLeaderKnowsItAll(RolloutCoordinator):
    def lead(self, now_ms, term, text):
        effects = super().lead(now_ms, term, text)
        self.unknown_leases_until_ms = now_ms
        return effects


class ForgetsIncarnations(RolloutCoordinator):
    """Takes an earlier incarnation's yes for the next one's."""

    def _record_incarnation(self, name, incarnation):
        self.incarnations[name] = incarnation


class TrustsItsDisk(LeaseHolder):
    def __post_init__(self):
        super().__post_init__()
        self.ready, self.lease = True, LeaseRecord(self.register.last.number, 1e9)


class KeepsItsLease(LeaseHolder):
    """Says that it changed over, and changes when its lease is over."""

    def receive_decision(self, now_ms, text):
        if not self.has_lease(now_ms):
            return super().receive_decision(now_ms, text)
        number = parse_register(text).last.number
        return [m.Send(m.LEADER, m.DocumentAdopted(self.incarnation, now_ms, number, self.granted_number))]


class TakesAnyGrant(LeaseHolder):
    """Counts its lease from when the answer came."""

    def receive_grant(self, now_ms, message):
        return super().receive_grant(now_ms, replace(message, sent_ms=now_ms))


TYPES = {RolloutCoordinator: "coordinator_type", LeaseHolder: "holder_type"}
SMALL = Bounds(ticks=3, lease_requests=1, states=60_000)
LEADERS = Bounds(ticks=2, lease_requests=0, leader_changes=1, states=60_000)
MUTANTS = [
    (DecidesEarly, SMALL),
    (InForceEarly, Bounds(ticks=0, lease_requests=0, states=60_000)),
    (LeaseByOwnClock, SMALL),
    (TakesTwo, Bounds(ticks=0, lease_requests=0, proposals=2)),
    (EndsWhatIsDecided, Bounds(ticks=0, lease_requests=0, cancellations=1)),
    (NewLeaderKnowsItAll, LEADERS),
    (TrustsItsDisk, Bounds(ticks=0, lease_requests=0, kills=1)),
    (ForgetsIncarnations, Bounds(ticks=0, lease_requests=0, kills=1)),
]


@pytest.mark.parametrize("name", SEARCHES)
def test_no_state_that_is_reached_is_broken(name):
    found = ModelChecker(bounded(SEARCHES[name], states=700)).run()
    assert found.broken == "", found.path


@pytest.mark.parametrize(("mutant", "bounds"), MUTANTS)
def test_the_search_finds_mutants(mutant, bounds):
    found = ModelChecker(bounds, **{TYPES[mutant.__mro__[1]]: mutant}).run()
    assert found.broken
    assert found.path


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_long_simulations_violate_no_invariant(seed):
    result = Simulation(2 + seed, seed).run(10_000)
    events = result.events
    assert result.broken == ""
    assert events["decided"] > 40
    assert events["ended"] > 1
    assert events["leaders"] > 5
    assert result.calls > 500


SIMULATED_MUTANTS = (
    DecidesEarly, InForceEarly, LeaseByOwnClock, TakesTwo, EndsWhatIsDecided, NewLeaderKnowsItAll,
    TrustsItsDisk, KeepsItsLease, TakesAnyGrant, ForgetsIncarnations,
)  # fmt: skip


@pytest.mark.parametrize("mutant", SIMULATED_MUTANTS)
def test_simulations_find_mutants(mutant):
    real_types = (RolloutCoordinator, LeaseHolder)
    types = ImplementationTypes(*(mutant if issubclass(mutant, real) else real for real in real_types))
    assert any(
        Simulation(size, seed, types=types).run(20_000).broken for seed in range(1, 5) for size in (3, 5)
    )
