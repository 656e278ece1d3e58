"""Model checking with power losses: no decision is undone, no grant is lost, and mutants are found."""

import pytest

from fawnwharf.consensus import messages as consensus_messages
from fawnwharf.consensus.voter import Voter
from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator
from fawnwharf.policy_rollout.rollout_state import LeaseRecord
from fawnwharf.recovery_core import trust
from fawnwharf.recovery_core.claim_model import Rules
from fawnwharf.recovery_core.model_checker import (
    SEARCHES,
    PolicyBounds,
    PolicySearch,
    VotersBounds,
    VotersSearch,
    search_claims,
)


@pytest.mark.parametrize("name", SEARCHES)
def test_no_reachable_state_is_broken(name):
    result = SEARCHES[name](1_500)
    assert result.broken == "", result.path
    assert result.states >= 1_500 or (result.complete and result.states > 1_000)


# --- voters -----------------------------------------------------------------------------------

VOTERS_BOUNDS = VotersBounds(
    depth=40, states=20_000, kills=0, repeats=0, patience=2, beats=0, plans=1, power_losses=1
)


class AnswersBeforePersisting(Voter):
    """Mutant: acknowledges a leader's entries before they are persisted."""

    def _on_append_request(self, now_ms, message):
        return [
            action
            for action in super()._on_append_request(now_ms, message)
            if not isinstance(action, consensus_messages.Persist)
        ]


class DecidesWithoutMajority(Voter):
    """Mutant: a leader commits an entry that is only on its own disk."""

    def _majority(self, voters):
        return 1 if self.is_leader else super()._majority(voters)


class OneDiskIgnoresSyncs(VotersSearch):
    """The first voter's disk reports syncs as done, but has its initial content after a power loss."""

    def recovered(self, place, disk):
        return self.start.voters[place][8] if place == 0 else disk


def test_the_search_finds_voters_that_answer_before_they_save():
    for voter_type in (AnswersBeforePersisting, DecidesWithoutMajority):
        result = VotersSearch(voter_type, ("a", "b", "c"), VOTERS_BOUNDS).search()
        assert result.broken
        assert result.path


def test_the_search_finds_a_decision_undone_by_a_disk_that_ignores_syncs():
    result = OneDiskIgnoresSyncs(Voter, ("a", "b", "c"), VOTERS_BOUNDS).search()
    assert "disks" in result.broken
    assert "power is lost" in result.path[-1]


# --- policy rollout ---------------------------------------------------------------------------


class TrustsItsDiskAfterRestart(LeaseHolder):
    """Mutant: applies the policy on its disk under the lease of its previous incarnation."""

    def __post_init__(self):
        super().__post_init__()
        if self.incarnation > 1:
            self.ready, self.lease = True, LeaseRecord(self.register.last.number, 1e9)


def test_the_search_finds_lease_holders_that_trust_their_disks():
    result = PolicySearch(
        PolicyBounds(ticks=1, lease_requests=0, states=20_000), RolloutCoordinator, TrustsItsDiskAfterRestart
    ).run()
    assert result.broken
    assert any("power is lost" in step for step in result.path)


# --- claims -----------------------------------------------------------------------------------


def remaining_by_wall_clock(written, read, duration_ms):
    return max(0.0, duration_ms - max(0.0, read.wall_ms - written.wall_ms))


def remaining_minus_time_since_boot(written, read, duration_ms):
    elapsed_ms = read.mono_ms - written.mono_ms if trust.same_boot(written, read) else read.mono_ms
    return max(0.0, duration_ms - elapsed_ms)


def remaining_only_in_same_boot(written, read, duration_ms):
    return trust.remaining_ms(written, read, duration_ms) if trust.same_boot(written, read) else 0.0


MUTANTS = {
    "remaining time by the wall clock": (Rules(remaining_ms=remaining_by_wall_clock), {}),
    "remaining time minus the time since boot": (Rules(remaining_ms=remaining_minus_time_since_boot), {}),
    "grants count only in the same boot": (Rules(remaining_ms=remaining_only_in_same_boot), {}),
    "grants before writing to disk": (Rules(writes_before_granting=False), {}),
    "grants at once with an empty disk": (Rules(knows_all_grants=lambda _store: True), {"lost_disks": 1}),
    "does not store that grants are unknown": (
        Rules(stores_unknown_grants=False),
        {"lost_disks": 1, "power_losses": 2, "ticks": 0},
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_the_search_finds_grants_that_are_lost(name):
    rules, bounds = MUTANTS[name]
    result = search_claims(rules, 60_000, **({"power_losses": 1, "ticks": 1} | bounds))
    assert result.broken
    assert any("power is lost" in step for step in result.path)
