"""States with power losses: nothing decided is undone, no grant lost; mutants are found."""

import pytest

from fawnwharf.consensus import messages as am
from fawnwharf.consensus.voter import Voter
from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator
from fawnwharf.policy_rollout.rollout_state import LeaseRecord
from fawnwharf.recovery_core import trust as t
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
    found = SEARCHES[name](1_500)
    assert found.broken == "", found.path
    assert found.states >= 1_500 or (found.complete and found.states > 1_000)


# --- voters -----------------------------------------------------------------------------------

BOUNDS = VotersBounds(
    depth=40, states=20_000, kills=0, repeats=0, patience=2, beats=0, plans=1, power_losses=1
)


class SaysBeforeItSaves(Voter):
    """Answers that it has what a leader sent, and saves it later."""

    def _on_append_request(self, now_ms, message):
        return [a for a in super()._on_append_request(now_ms, message) if not isinstance(a, am.Persist)]


class DecidesAtOnce(Voter):
    def _majority(self, voters):
        return 1 if self.is_leader else super()._majority(voters)


class OneDiskLies(VotersSearch):
    """It says that it has synced, and gives back what it began with."""

    def recovered(self, place, disk):
        return self.start.voters[place][8] if place == 0 else disk


def test_the_search_finds_voters_that_answer_before_they_save():
    for kind in (SaysBeforeItSaves, DecidesAtOnce):
        found = VotersSearch(kind, ("a", "b", "c"), BOUNDS).search()
        assert found.broken
        assert found.path


def test_the_search_finds_a_decision_undone_by_a_disk_that_ignores_syncs():
    found = OneDiskLies(Voter, ("a", "b", "c"), BOUNDS).search()
    assert "disks" in found.broken
    assert "power is lost" in found.path[-1]


# --- a change of policy -----------------------------------------------------------------------


class ComesBackReady(LeaseHolder):
    """Acts by what its disk says, under the lease of the incarnation before."""

    def __post_init__(self):
        super().__post_init__()
        if self.incarnation > 1:
            self.ready, self.lease = True, LeaseRecord(self.register.last.number, 1e9)


def test_the_search_finds_lease_holders_that_trust_their_disks():
    found = PolicySearch(
        PolicyBounds(ticks=1, lease_requests=0, states=20_000), RolloutCoordinator, ComesBackReady
    ).run()
    assert found.broken
    assert any("power is lost" in step for step in found.path)


# --- promises ---------------------------------------------------------------------------------


def by_wall(written, read, duration_ms):
    return max(0.0, duration_ms - max(0.0, read.wall_ms - written.wall_ms))


def less_the_time_since_boot(written, read, duration_ms):
    elapsed_ms = read.mono_ms - written.mono_ms if t.same_boot(written, read) else read.mono_ms
    return max(0.0, duration_ms - elapsed_ms)


def of_this_boot_alone(written, read, duration_ms):
    return t.remaining_ms(written, read, duration_ms) if t.same_boot(written, read) else 0.0


MUTANTS = {
    "by the wall clock": (Rules(remaining_ms=by_wall), {}),
    "less the time since boot": (Rules(remaining_ms=less_the_time_since_boot), {}),
    "of this boot alone": (Rules(remaining_ms=of_this_boot_alone), {}),
    "granted before it is written": (Rules(writes_before_granting=False), {}),
    "an empty disk grants at once": (Rules(knows_all_grants=lambda _store: True), {"lost_disks": 1}),
    "it forgets that it did not know all": (
        Rules(stores_unknown_grants=False),
        {"lost_disks": 1, "power_losses": 2, "ticks": 0},
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_the_search_finds_grants_that_are_lost(name):
    rules, more = MUTANTS[name]
    found = search_claims(rules, 60_000, **({"power_losses": 1, "ticks": 1} | more))
    assert found.broken
    assert any("power is lost" in step for step in found.path)
