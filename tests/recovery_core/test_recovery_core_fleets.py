"""The simulated fleets of the trial: invariants of each run, and the figures computed from it."""

from dataclasses import replace

import pytest

from fawnwharf.recovery_core import trial
from fawnwharf.recovery_core.coordinated_fleet import CoordinatedFleet
from fawnwharf.recovery_core.register import RecoveryPhase
from fawnwharf.recovery_core.simulated_site import Scenario, SecondStats
from fawnwharf.recovery_core.uncoordinated_fleet import UncoordinatedFleet

ROSTER_LAST, MINORITY = (trial.scenario_of(name, 12) for name in ("last", "minority"))


@pytest.fixture(scope="module")
def runs():
    return {
        fleet_type: fleet_type(ROSTER_LAST, 3).run() for fleet_type in (UncoordinatedFleet, CoordinatedFleet)
    }


def test_with_coordination_no_scorer_crashes_and_the_store_is_never_overloaded(runs):
    coordinated, uncoordinated = runs[CoordinatedFleet], runs[UncoordinatedFleet]
    figures, uncoordinated_figures = trial.figures(coordinated), trial.figures(uncoordinated)
    assert figures["fell"] == 0
    assert figures["fetches"] == len(coordinated.functions)
    assert figures["waiting"] <= coordinated.limits.fetches < uncoordinated_figures["waiting"]
    assert 2 * figures["asked"] < uncoordinated_figures["asked"]
    phases = [phase for _, phase in coordinated.phases]
    assert phases == list(RecoveryPhase)
    assert figures["90 %"] < 90


def test_the_same_seed_gives_the_same_recovery(runs):
    repeated = CoordinatedFleet(ROSTER_LAST, 3).run()
    assert repeated.seconds == runs[CoordinatedFleet].seconds
    assert repeated.phases == runs[CoordinatedFleet].phases
    up_times_ms = [front_end.up_ms for front_end in repeated.front_ends]
    assert up_times_ms == [front_end.up_ms for front_end in runs[UncoordinatedFleet].front_ends]


def test_before_the_roster_only_the_coordinated_fleet_serves_and_before_its_phases_only_safe_calls(runs):
    coordinated = runs[CoordinatedFleet]
    # Attempts of these seconds reach their deadline before the roster arrives.
    before_roster = range(int(ROSTER_LAST.roster_ms / 1000) - 2)
    assert sum(runs[UncoordinatedFleet].seconds[second].served for second in before_roster) == 0.0
    priority_calls_ms = next(
        at_ms for at_ms, phase in coordinated.phases if phase is RecoveryPhase.PRIORITY_CALLS
    )
    assert sum(coordinated.seconds[second].served for second in before_roster) > 0.0
    before_phase = coordinated.seconds[: int(priority_calls_ms / 1000) - 1]
    served_while_partitioned = [stats for stats in before_phase if stats.served]
    assert served_while_partitioned
    assert all(stats.priority_served <= 0.6 * stats.priority_offered for stats in served_while_partitioned)


def test_a_minority_serves_no_call_that_may_run_twice():
    run = CoordinatedFleet(MINORITY, 3).run()
    assert run.phases == []
    assert run.allowed.alone
    assert run.crashed_scorers == 0
    assert not run._admits(99_000.0, run.up[0], "transfer-settle")
    assert run._admits(99_000.0, run.up[0], "points-view")
    assert run._admits(99_000.0, run.up[0], "lineup-save")
    assert sum(stats.served for stats in run.seconds) > 0


def test_a_fleet_without_a_loss_serves_everything():
    without_loss = Scenario(
        12,
        return_spread_ms=1.0,
        zone_late_ms=0.0,
        lost_share=0.0,
        roster_ms=1.0,
        scorers_ms=1.0,
        end_ms=40_000.0,
    )
    for fleet_type in (UncoordinatedFleet, CoordinatedFleet):
        seconds = fleet_type(replace(without_loss, burst_ms=39_000.0), 1).run().seconds[30:38]
        served = sum(stats.served for stats in seconds)
        assert served >= 0.995 * sum(stats.offered for stats in seconds)


def test_when_a_share_of_the_service_is_reached():
    served_weights = [0.0] * 5 + [6.0] * 4 + [1.0] * 3 + [6.0] * 30
    seconds = [SecondStats(10.0, served) for served in served_weights]
    assert trial.reached(seconds, 0.5) == 12
    assert trial.reached(seconds, 0.9) == len(seconds)
    figures = {
        "uncoordinated": [{"served": 0.5, "fell": 2.0}] * 2,
        "coordinated": [{"served": 0.75, "fell": 0.0}] * 2,
    }
    assert "| 2.0 | 0.0 | -2.0 [-2.0, -2.0] |" in trial.table_rows("x", 12, figures)
