"""Model checker and random walks: they find no violation in the voter, and do find those of mutants."""

import msgspec
import pytest

from fawnwharf.consensus import messages as m
from fawnwharf.consensus.voter import Voter
from fawnwharf.testbed.explore import Bounds, Explorer
from fawnwharf.testbed.walk import STORM, Walk


class VotesTwicePerTerm(Voter):
    def _on_vote_request(self, now_ms, message):
        self.saved = msgspec.structs.replace(self.saved, voted_for="")
        return super()._on_vote_request(now_ms, message)


class SendsBeforePersisting(Voter):
    def _on_vote_request(self, now_ms, message):
        return [
            action
            for action in super()._on_vote_request(now_ms, message)
            if not isinstance(action, m.Persist)
        ]


class CommitsByMinority(Voter):
    def _majority(self, voters):
        return len(voters) // 2


class LeaseWithoutQuorum(Voter):
    def _holds_lease(self, _now_ms):
        return True


class VotesForAnyLogPosition(Voter):
    def _is_up_to_date(self, _message):
        return True


WITHOUT_FAULTS = Bounds(depth=30, kills=0, repeats=0, patience=2, beats=0, plans=1, states=6_000)
WITH_CRASHES = Bounds(depth=30, kills=1, repeats=0, patience=2, beats=0, plans=0, states=12_000)
WITH_MEMBERSHIP_CHANGE = Bounds(
    depth=30, kills=0, repeats=0, patience=2, beats=0, plans=0, changes=1, states=6_000
)


@pytest.mark.parametrize("bounds", [WITHOUT_FAULTS, WITH_CRASHES, WITH_MEMBERSHIP_CHANGE])
def test_the_search_finds_no_violation_in_the_voter(bounds):
    found = Explorer(Voter, ("a", "b", "c", "d"), bounds, members=3).search()
    assert (found.broken, found.states) == ("", bounds.states)


@pytest.mark.parametrize(
    ("kind", "bounds"),
    [
        (VotesTwicePerTerm, WITHOUT_FAULTS),
        (CommitsByMinority, WITHOUT_FAULTS),
        (SendsBeforePersisting, WITH_CRASHES),
    ],
)
def test_the_search_finds_the_violations_of_mutants(kind, bounds):
    found = Explorer(kind, ("a", "b", "c"), bounds).search()
    assert found.broken
    assert found.path


@pytest.mark.parametrize(("size", "spare"), [(3, 1), (5, 2)])
def test_random_walks_find_no_violation_in_the_voter(size, spare):
    outcome = Walk(Voter, size, 11 * size, STORM, spare).run(15_000)
    assert outcome.broken == ""
    assert outcome.decided > 200
    assert outcome.leaders > 10
    assert outcome.kills > 20
    assert outcome.fresh > 1_000


@pytest.mark.parametrize(
    "kind", [VotesTwicePerTerm, CommitsByMinority, LeaseWithoutQuorum, VotesForAnyLogPosition]
)
def test_random_walks_find_the_violations_of_mutants(kind):
    found = (Walk(kind, size, seed, STORM, 1).run(40_000).broken for seed in range(1, 9) for size in (3, 5))
    assert any(found)
