"""The model checker and the simulation of policy rollouts find no violation, except in mutants.

A mutant is a coordinator or a lease holder with a deliberate bug.
"""

from dataclasses import replace as replace_bounds

import pytest
from msgspec.structs import replace

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import parse_register
from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.model_checker import SEARCHES, Bounds, ModelChecker
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator
from fawnwharf.policy_rollout.rollout_state import LeaseRecord
from fawnwharf.policy_rollout.simulation import ImplementationTypes, Simulation


class ProposesBeforeAllVotes(RolloutCoordinator):
    """Proposes a document to the log while the votes of two lease holders are missing."""

    def _missing_votes(self, now_ms, proposal):
        return super()._missing_votes(now_ms, proposal)[2:]


class DeclaresInForceEarly(RolloutCoordinator):
    """Declares a document in force before all leases for earlier documents have expired."""

    def _holders_of_earlier_documents(self):
        return super()._holders_of_earlier_documents()[2:]


class IgnoresClockSkew(RolloutCoordinator):
    """Assumes that leases expire earlier than they can by a slow clock."""

    def _grant(self, name, request, register):
        earlier = request._replace(received_ms=request.received_ms - self.timing.lease_ms)
        return super()._grant(name, earlier, register)


class AllowsTwoProposals(RolloutCoordinator):
    """Begins a proposal while another one is open."""

    def _rejection_reason(self):
        return ""


class CancelsDuringDecision(RolloutCoordinator):
    """Aborts a proposal that the log may already have decided."""

    def cancel(self, reason=""):
        return self._abort(self.proposal, reason) if self.proposal else []


class IgnoresEarlierLeases(RolloutCoordinator):
    """Does not wait for the leases that an earlier leader may have granted."""

    def lead(self, now_ms, term, text):
        effects = super().lead(now_ms, term, text)
        self.unknown_leases_until_ms = now_ms
        return effects


class KeepsVotesAcrossRestarts(RolloutCoordinator):
    """Counts the vote of an earlier incarnation of a member for the next one."""

    def _record_incarnation(self, name, incarnation):
        self.incarnations[name] = incarnation


class TrustsStoredRegister(LeaseHolder):
    """Is ready after a restart, with a lease for the document stored on its disk."""

    def __post_init__(self):
        super().__post_init__()
        self.ready, self.lease = True, LeaseRecord(self.register.last.number, 1e9)


class KeepsLeaseAfterDecision(LeaseHolder):
    """Reports that it has adopted a document while it still uses its lease for the earlier one."""

    def receive_decision(self, now_ms, text):
        if not self.has_lease(now_ms):
            return super().receive_decision(now_ms, text)
        number = parse_register(text).last.number
        return [m.Send(m.LEADER, m.DocumentAdopted(self.incarnation, now_ms, number, self.granted_number))]


class CountsLeaseFromAnswer(LeaseHolder):
    """Counts its lease from the arrival of the grant instead of the sending of the request."""

    def receive_grant(self, now_ms, message):
        return super().receive_grant(now_ms, replace(message, sent_ms=now_ms))


TYPE_ARGUMENTS = {RolloutCoordinator: "coordinator_type", LeaseHolder: "holder_type"}
SMALL_BOUNDS = Bounds(ticks=3, lease_requests=1, states=60_000)
LEADER_CHANGE_BOUNDS = Bounds(ticks=2, lease_requests=0, leader_changes=1, states=60_000)
MUTANTS = [
    (ProposesBeforeAllVotes, SMALL_BOUNDS),
    (DeclaresInForceEarly, Bounds(ticks=0, lease_requests=0, states=60_000)),
    (IgnoresClockSkew, SMALL_BOUNDS),
    (AllowsTwoProposals, Bounds(ticks=0, lease_requests=0, proposals=2)),
    (CancelsDuringDecision, Bounds(ticks=0, lease_requests=0, cancellations=1)),
    (IgnoresEarlierLeases, LEADER_CHANGE_BOUNDS),
    (TrustsStoredRegister, Bounds(ticks=0, lease_requests=0, kills=1)),
    (KeepsVotesAcrossRestarts, Bounds(ticks=0, lease_requests=0, kills=1)),
]


@pytest.mark.parametrize("name", SEARCHES)
def test_no_state_that_is_reached_is_broken(name):
    found = ModelChecker(replace_bounds(SEARCHES[name], states=700)).run()
    assert found.broken == "", found.path


@pytest.mark.parametrize(("mutant", "bounds"), MUTANTS)
def test_the_search_finds_mutants(mutant, bounds):
    found = ModelChecker(bounds, **{TYPE_ARGUMENTS[mutant.__mro__[1]]: mutant}).run()
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
    ProposesBeforeAllVotes, DeclaresInForceEarly, IgnoresClockSkew, AllowsTwoProposals,
    CancelsDuringDecision, IgnoresEarlierLeases, TrustsStoredRegister, KeepsLeaseAfterDecision,
    CountsLeaseFromAnswer, KeepsVotesAcrossRestarts,
)  # fmt: skip


@pytest.mark.parametrize("mutant", SIMULATED_MUTANTS)
def test_simulations_find_mutants(mutant):
    real_types = (RolloutCoordinator, LeaseHolder)
    types = ImplementationTypes(*(mutant if issubclass(mutant, real) else real for real in real_types))
    assert any(
        Simulation(size, seed, types=types).run(20_000).broken for seed in range(1, 5) for size in (3, 5)
    )
