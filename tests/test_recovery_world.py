"""The small world of the trial: what must hold in each run, and that it counts what it says."""

from dataclasses import replace

import pytest

from fawnwharf.recovery_core import trial
from fawnwharf.recovery_core.coordinated_fleet import CoordinatedFleet
from fawnwharf.recovery_core.phases import RecoveryPhase
from fawnwharf.recovery_core.uncoordinated_fleet import Scenario, UncoordinatedFleet

LAST, MINORITY = (trial.scene_of(name, 12) for name in ("last", "minority"))


@pytest.fixture(scope="module")
def runs():
    return {kind: kind(LAST, 3).run() for kind in (UncoordinatedFleet, CoordinatedFleet)}


def test_by_the_plan_no_scorer_falls_and_the_store_is_never_crowded(runs):
    plan, nothing = runs[CoordinatedFleet], runs[UncoordinatedFleet]
    found, bare = trial.figures(plan), trial.figures(nothing)
    assert found["fell"] == 0 and found["fetches"] == len(plan.facts)  # one copy each
    most = plan.limits.fetches
    assert found["waiting"] <= most < bare["waiting"] and 2 * found["asked"] < bare["asked"]
    stages = [stage for _, stage in plan.stages]
    assert stages == list(RecoveryPhase) and found["90 %"] < 90


def test_the_same_seed_is_the_same_return(runs):
    again = CoordinatedFleet(LAST, 3).run()
    assert again.seconds == runs[CoordinatedFleet].seconds and again.stages == runs[CoordinatedFleet].stages
    assert [f.up_ms for f in again.fronts] == [f.up_ms for f in runs[UncoordinatedFleet].fronts]


def test_before_the_roster_the_plan_alone_serves_and_before_its_stages_safe_calls_alone(runs):
    before = range(int(LAST.roster_ms / 1000) - 2)  # those that came then have given up
    assert sum(runs[UncoordinatedFleet].seconds[s][1] for s in before) == 0.0
    began = int(
        next(at for at, stage in runs[CoordinatedFleet].stages if stage is RecoveryPhase.PRIORITY_CALLS)
        / 1000
    )
    assert sum(runs[CoordinatedFleet].seconds[s][1] for s in before) > 0.0
    lone = [row for row in runs[CoordinatedFleet].seconds[: began - 1] if row[1]]
    assert lone and all(row[3] <= 0.6 * row[2] for row in lone)


def test_a_minority_serves_no_call_that_may_run_twice():
    run = CoordinatedFleet(MINORITY, 3).run()
    assert run.stages == [] and run.may.alone and run.fell == 0
    assert not run._takes(99_000.0, run.up[0], "transfer-settle")
    assert run._takes(99_000.0, run.up[0], "points-view") and run._takes(99_000.0, run.up[0], "lineup-save")
    assert sum(row[1] for row in run.seconds) > 0


def test_in_a_fleet_that_lost_nothing_all_is_served():
    calm = Scenario(
        12, back_ms=1.0, zone_late_ms=0.0, gone=0.0, roster_ms=1.0, scorers_ms=1.0, end_ms=40_000.0
    )
    for kind in (UncoordinatedFleet, CoordinatedFleet):
        rows = kind(replace(calm, burst_ms=39_000.0), 1).run().seconds[30:38]
        assert sum(row[1] for row in rows) >= 0.995 * sum(row[0] for row in rows)


def test_when_a_part_of_the_service_is_reached():
    rows = [[10.0, 0.0]] * 5 + [[10.0, 6.0]] * 4 + [[10.0, 1.0]] * 3 + [[10.0, 6.0]] * 30
    assert trial.reached(rows, 0.5) == 12 and trial.reached(rows, 0.9) == len(rows)
    found = {"nothing": [{"served": 0.5, "fell": 2.0}] * 2, "plan": [{"served": 0.75, "fell": 0.0}] * 2}
    assert "| 2.0 | 0.0 | -2.0 [-2.0, -2.0] |" in trial.shown("x", 12, found)
