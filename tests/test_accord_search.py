"""Searches of voters' states, which must find bugs planted on purpose."""

import msgspec
import pytest

from fawnwharf.consensus import messages as m
from fawnwharf.consensus.voter import Voter
from fawnwharf.testbed.explore import Bounds, Explorer
from fawnwharf.testbed.walk import STORM, Walk


class VotesTwice(Voter):
    def _on_vote_request(self, now_ms, message):
        self.saved = msgspec.structs.replace(self.saved, voted_for="")
        return super()._on_vote_request(now_ms, message)


class SaysBeforeItSaves(Voter):
    def _on_vote_request(self, now_ms, message):
        return [
            action
            for action in super()._on_vote_request(now_ms, message)
            if not isinstance(action, m.Persist)
        ]


class DecidesByAMinority(Voter):
    def _majority(self, voters):
        return len(voters) // 2


class LeaseWithoutCheck(Voter):
    def _holds_lease(self, now_ms):
        return True


class VotesForAnyLog(Voter):
    def _is_up_to_date(self, message):
        return True


CALM = Bounds(depth=30, kills=0, repeats=0, patience=2, beats=0, plans=1, states=6_000)
KILL = Bounds(depth=30, kills=1, repeats=0, patience=2, beats=0, plans=0, states=12_000)
CHANGE = Bounds(depth=30, kills=0, repeats=0, patience=2, beats=0, plans=0, changes=1, states=6_000)


@pytest.mark.parametrize("bounds", [CALM, KILL, CHANGE])
def test_no_state_that_is_reached_is_broken(bounds):
    found = Explorer(Voter, ("a", "b", "c", "d"), bounds, members=3).search()
    assert (found.broken, found.states) == ("", bounds.states)


@pytest.mark.parametrize(
    ("kind", "bounds"),
    [(VotesTwice, CALM), (DecidesByAMinority, CALM), (SaysBeforeItSaves, KILL)],
)
def test_the_search_finds_what_was_planted(kind, bounds):
    found = Explorer(kind, ("a", "b", "c"), bounds).search()
    assert found.broken and found.path


@pytest.mark.parametrize(("size", "spare"), [(3, 1), (5, 2)])
def test_long_walks_break_nothing(size, spare):
    outcome = Walk(Voter, size, 11 * size, STORM, spare).run(15_000)
    assert outcome.broken == ""
    assert outcome.decided > 200 and outcome.leaders > 10 and outcome.kills > 20 and outcome.fresh > 1_000


@pytest.mark.parametrize("kind", [VotesTwice, DecidesByAMinority, LeaseWithoutCheck, VotesForAnyLog])
def test_walks_find_what_was_planted(kind):
    found = (Walk(kind, size, seed, STORM, 1).run(40_000).broken for seed in range(1, 9) for size in (3, 5))
    assert any(found)
