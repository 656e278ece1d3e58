"""The soak in short: seeded runs of one process through failing discovery; `tests/soak/` has the rest."""

import pytest
from soak.plan import plan_from
from soak.run import play

SEEDS = (1, 2, 3, 4, 5)


@pytest.mark.parametrize("seed", SEEDS)
def test_all_rules_are_kept_and_service_goes_on_through_an_outage_of_discovery(seed):
    report = play(plan_from(seed))
    assert report.faults == []
    assert report.outage_share > 0.5
