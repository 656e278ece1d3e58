"""Searches of a change of policy's states, which must find bugs planted on purpose."""

from dataclasses import replace as bounded

import pytest
from msgspec.structs import replace

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import parse_register
from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.model_checker import SEARCHES, Bounds, ModelChecker
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator
from fawnwharf.policy_rollout.simulation import Simulation


class DecidesEarly(RolloutCoordinator):
    """Puts a change to the vote while some act on without knowing of it."""

    def _missing(self, now_ms):
        return super()._missing(now_ms)[2:]


class InForceEarly(RolloutCoordinator):
    """Grants the next epoch before every lease of the earlier one is over."""

    def _early(self):
        return super()._early()[2:]


class LeaseByOwnClock(RolloutCoordinator):
    """Leaves the skew of clocks out of account."""

    def _grant(self, name, life, sent_ms, heard_ms, register):
        return super()._grant(name, life, sent_ms, heard_ms - self.timing.lease_ms, register)


class TakesTwo(RolloutCoordinator):
    def _busy(self):
        return ""


class EndsWhatIsDecided(RolloutCoordinator):
    def call_off(self, now_ms, why=""):
        return self._end(why) if self.open else []


class NewLeaderKnowsItAll(RolloutCoordinator):
    def lead(self, now_ms, term, text):
        effects = super().lead(now_ms, term, text)
        self.clear_ms = now_ms
        return effects


class ForgetsLives(RolloutCoordinator):
    """Takes an earlier life's yes for the next one's."""

    def _lives(self, name, life):
        self.lives[name] = life


class TrustsItsDisk(LeaseHolder):
    def __post_init__(self):
        super().__post_init__()
        self.ready, self.lease = True, (self.register.last.number, 1e9)


class KeepsItsLease(LeaseHolder):
    """Says that it changed over, and changes when its lease is over."""

    def decided(self, now_ms, text):
        if not self.leased(now_ms):
            return super().decided(now_ms, text)
        number = parse_register(text).last.number
        return [m.Send(m.LEADER, m.EpochAdopted(self.life, now_ms, number, self.granted))]


class TakesAnyGrant(LeaseHolder):
    """Counts its lease from when the answer came."""

    def grant(self, now_ms, word):
        return super().grant(now_ms, replace(word, sent_ms=now_ms))


KINDS = {RolloutCoordinator: "steward", LeaseHolder: "holder"}
SMALL = Bounds(turns=3, asks=1, states=60_000)
LEADERS = Bounds(turns=2, asks=0, leaders=1, states=60_000)
PLANTED = [
    (DecidesEarly, SMALL),
    (InForceEarly, Bounds(turns=0, asks=0, states=60_000)),
    (LeaseByOwnClock, SMALL),
    (TakesTwo, Bounds(turns=0, asks=0, proposals=2)),
    (EndsWhatIsDecided, Bounds(turns=0, asks=0, called_off=1)),
    (NewLeaderKnowsItAll, LEADERS),
    (TrustsItsDisk, Bounds(turns=0, asks=0, kills=1)),
    (ForgetsLives, Bounds(turns=0, asks=0, kills=1)),
]


@pytest.mark.parametrize("name", SEARCHES)
def test_no_state_that_is_reached_is_broken(name):
    found = ModelChecker(bounded(SEARCHES[name], states=700)).run()
    assert found.broken == "", found.path


@pytest.mark.parametrize(("kind", "bounds"), PLANTED)
def test_the_search_finds_what_was_planted(kind, bounds):
    found = ModelChecker(bounds, **{KINDS[kind.__mro__[1]]: kind}).run()
    assert found.broken and found.path


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_long_walks_break_nothing(seed):
    outcome = Simulation(2 + seed, seed).run(10_000)
    events = outcome.events
    assert outcome.broken == ""
    assert events["decided"] > 40 and events["ended"] > 1 and events["leaders"] > 5 and outcome.calls > 500


WALKED = (DecidesEarly, InForceEarly, LeaseByOwnClock, TakesTwo, EndsWhatIsDecided, NewLeaderKnowsItAll,
          TrustsItsDisk, KeepsItsLease, TakesAnyGrant, ForgetsLives)  # fmt: skip


@pytest.mark.parametrize("kind", WALKED)
def test_walks_find_what_was_planted(kind):
    kinds = tuple(kind if issubclass(kind, real) else real for real in (RolloutCoordinator, LeaseHolder))
    assert any(
        Simulation(size, seed, kinds=kinds).run(20_000).broken for seed in range(1, 5) for size in (3, 5)
    )
