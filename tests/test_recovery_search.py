"""States with power losses among them: nothing decided is undone, no promise lost; planted bugs are found."""

import pytest

from fawnwharf.consensus import messages as am
from fawnwharf.consensus.voter import Voter
from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.rollout_coordinator import LeaseRecord, RolloutCoordinator
from fawnwharf.recovery_core import trust as t
from fawnwharf.recovery_core.claim_model import Rules
from fawnwharf.recovery_core.model_checker import (
    SEARCHES,
    PolicyBounds,
    PolicySearch,
    VotersBounds,
    VotersSearch,
    search_promises,
)


@pytest.mark.parametrize("name", SEARCHES)
def test_no_state_that_is_reached_is_broken(name):
    found = SEARCHES[name](1_500)
    assert found.broken == "", found.path
    assert found.states >= 1_500 or (found.complete and found.states > 1_000)


# --- voters -----------------------------------------------------------------------------------

BOUNDS = VotersBounds(depth=40, states=20_000, kills=0, repeats=0, patience=2, beats=0, plans=1, cuts=1)


class SaysBeforeItSaves(Voter):
    """Answers that it has what a leader sent, and saves it later."""

    def _on_append_request(self, now_ms, message):
        return [a for a in super()._on_append_request(now_ms, message) if not isinstance(a, am.Persist)]


class DecidesAtOnce(Voter):
    def _majority(self, voters):
        return 1 if self.is_leader else super()._majority(voters)


class OneDiskLies(VotersSearch):
    """It says that it has synced, and gives back what it began with."""

    def found_again(self, place, disk):
        return self.start.voters[place][8] if place == 0 else disk


def test_the_search_finds_voters_that_say_before_they_save():
    for kind in (SaysBeforeItSaves, DecidesAtOnce):
        found = VotersSearch(kind, ("a", "b", "c"), BOUNDS).search()
        assert found.broken and found.path


def test_a_disk_that_lies_undoes_a_decision_and_the_search_says_so():
    found = OneDiskLies(Voter, ("a", "b", "c"), BOUNDS).search()
    assert "disks" in found.broken and "power is lost" in found.path[-1]


# --- a change of policy -----------------------------------------------------------------------


class ComesBackReady(LeaseHolder):
    """Acts by what its disk says, under the lease of the incarnation before."""

    def __post_init__(self):
        super().__post_init__()
        if self.incarnation > 1:
            self.ready, self.lease = True, LeaseRecord(self.register.last.number, 1e9)


def test_the_search_finds_holders_that_trust_their_disks():
    found = PolicySearch(
        PolicyBounds(ticks=1, lease_requests=0, states=20_000), RolloutCoordinator, ComesBackReady
    ).run()
    assert found.broken and any("power is lost" in step for step in found.path)


# --- promises ---------------------------------------------------------------------------------


def by_wall(written, read, whole_ms):
    return max(0.0, whole_ms - max(0.0, read.wall_ms - written.wall_ms))


def less_the_time_since_boot(written, read, whole_ms):
    gone = read.mono_ms - written.mono_ms if t.same_boot(written, read) else read.mono_ms
    return max(0.0, whole_ms - gone)


def of_this_boot_alone(written, read, whole_ms):
    return t.remaining_ms(written, read, whole_ms) if t.same_boot(written, read) else 0.0


PLANTED = {
    "by the wall clock": (Rules(left_ms=by_wall), {}),
    "less the time since boot": (Rules(left_ms=less_the_time_since_boot), {}),
    "of this boot alone": (Rules(left_ms=of_this_boot_alone), {}),
    "granted before it is written": (Rules(writes_first=False), {}),
    "an empty disk grants at once": (Rules(knows_all=lambda store: True), {"lost": 1}),
    "it forgets that it did not know all": (Rules(keeps_doubt=False), {"lost": 1, "cuts": 2, "turns": 0}),
}


@pytest.mark.parametrize("name", PLANTED)
def test_the_search_finds_promises_that_are_lost(name):
    rules, more = PLANTED[name]
    found = search_promises(rules, 60_000, **({"cuts": 1, "turns": 1} | more))
    assert found.broken and any("power is lost" in step for step in found.path)
