"""The simulated fleets of the trial: what must hold in each run, and that it counts what it says."""

from dataclasses import replace

import pytest

from fawnwharf.recovery_core import trial
from fawnwharf.recovery_core.coordinated_fleet import CoordinatedFleet
from fawnwharf.recovery_core.register import RecoveryPhase
from fawnwharf.recovery_core.simulated_site import Scenario, SecondStats
from fawnwharf.recovery_core.uncoordinated_fleet import UncoordinatedFleet

LAST, MINORITY = (trial.scenario_of(name, 12) for name in ("last", "minority"))


@pytest.fixture(scope="module")
def runs():
    return {kind: kind(LAST, 3).run() for kind in (UncoordinatedFleet, CoordinatedFleet)}


def test_with_coordination_no_scorer_falls_and_the_store_is_never_crowded(runs):
    plan, nothing = runs[CoordinatedFleet], runs[UncoordinatedFleet]
    found, bare = trial.figures(plan), trial.figures(nothing)
    assert found["fell"] == 0
    assert found["fetches"] == len(plan.functions)
    most = plan.limits.fetches
    assert found["waiting"] <= most < bare["waiting"]
    assert 2 * found["asked"] < bare["asked"]
    stages = [stage for _, stage in plan.phases]
    assert stages == list(RecoveryPhase)
    assert found["90 %"] < 90


def test_the_same_seed_gives_the_same_return(runs):
    again = CoordinatedFleet(LAST, 3).run()
    assert again.seconds == runs[CoordinatedFleet].seconds
    assert again.phases == runs[CoordinatedFleet].phases
    assert [f.up_ms for f in again.fronts] == [f.up_ms for f in runs[UncoordinatedFleet].fronts]


def test_before_the_roster_only_the_coordinated_fleet_serves_and_before_its_phases_only_safe_calls(runs):
    before = range(int(LAST.roster_ms / 1000) - 2)  # those that came then have given up
    assert sum(runs[UncoordinatedFleet].seconds[s].served for s in before) == 0.0
    began = int(
        next(at for at, stage in runs[CoordinatedFleet].phases if stage is RecoveryPhase.PRIORITY_CALLS)
        / 1000
    )
    assert sum(runs[CoordinatedFleet].seconds[s].served for s in before) > 0.0
    lone = [row for row in runs[CoordinatedFleet].seconds[: began - 1] if row.served]
    assert lone
    assert all(row.priority_served <= 0.6 * row.priority_offered for row in lone)


def test_a_minority_serves_no_call_that_may_run_twice():
    run = CoordinatedFleet(MINORITY, 3).run()
    assert run.phases == []
    assert run.allowed.alone
    assert run.fallen == 0
    assert not run._admits(99_000.0, run.up[0], "transfer-settle")
    assert run._admits(99_000.0, run.up[0], "points-view")
    assert run._admits(99_000.0, run.up[0], "lineup-save")
    assert sum(row.served for row in run.seconds) > 0


def test_a_fleet_without_a_loss_serves_everything():
    calm = Scenario(
        12, back_ms=1.0, zone_late_ms=0.0, gone=0.0, roster_ms=1.0, scorers_ms=1.0, end_ms=40_000.0
    )
    for kind in (UncoordinatedFleet, CoordinatedFleet):
        rows = kind(replace(calm, burst_ms=39_000.0), 1).run().seconds[30:38]
        assert sum(row.served for row in rows) >= 0.995 * sum(row.offered for row in rows)


def test_when_a_share_of_the_service_is_reached():
    shares = [0.0] * 5 + [6.0] * 4 + [1.0] * 3 + [6.0] * 30
    rows = [SecondStats(10.0, served) for served in shares]
    assert trial.reached(rows, 0.5) == 12
    assert trial.reached(rows, 0.9) == len(rows)
    found = {"nothing": [{"served": 0.5, "fell": 2.0}] * 2, "plan": [{"served": 0.75, "fell": 0.0}] * 2}
    assert "| 2.0 | 0.0 | -2.0 [-2.0, -2.0] |" in trial.shown("x", 12, found)
