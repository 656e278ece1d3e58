"""Spillover, admission, open zones and open scorers that follow from a plan."""

import msgspec
import pytest
from support.zone_plans import plan

from fawnwharf.zones import plan as p


def test_a_lost_zones_calls_go_to_its_region_first_and_no_further_than_the_limit():
    in_two_regions = plan(a=(p.OUT, 8, 0.5, "x"), b=(p.SERVING, 8, 0.5, "x"), c=(p.SERVING, 8, 0.5, "y"))
    assert p.spillover_flows(in_two_regions) == {"a": {"b": 4.0, "c": 4.0}}
    assert p.admitted_fraction(in_two_regions, "a") == 1.0
    smaller_loss = plan(a=(p.OUT, 4, 0.5, "x"), b=(p.SERVING, 8, 0.5, "x"), c=(p.SERVING, 8, 0.5, "y"))
    assert p.spillover_flows(smaller_loss) == {"a": {"b": 4.0}}
    assert p.open_zones(smaller_loss, "a") == {"b"}
    assert p.open_zones(smaller_loss, "b") == {"b", "c"}


def test_two_lost_zones_share_the_capacity_and_the_rest_is_not_admitted():
    two_zones_out = plan(
        a=(p.OUT, 8, 0.5, "x"),
        b=(p.OUT, 4, 0.5, "x"),
        c=(p.SERVING, 8, 0.25, "x"),
        d=(p.SERVING, 8, 0.25, "y"),
    )
    flows = p.spillover_flows(two_zones_out)
    assert sum(parts.get("c", 0) for parts in flows.values()) == pytest.approx(2.0)
    assert sum(parts.get("d", 0) for parts in flows.values()) == pytest.approx(2.0)
    assert p.admitted_fraction(two_zones_out, "a") == pytest.approx(
        p.admitted_fraction(two_zones_out, "b"), abs=0.1
    )
    assert p.admitted_fraction(two_zones_out, "a") < 0.5
    assert p.admitted_fraction(two_zones_out, "c") == 1.0


def test_a_recovering_zone_takes_its_own_fraction_and_no_spillover():
    recovering = plan(a=(p.RECOVERING, 8, 0.5, "x"), b=(p.OUT, 8, 0.5, "x"), c=(p.SERVING, 8, 1.0, "x"))
    assert "a" not in p.spillover_flows(recovering)["b"]
    assert p.admitted_fraction(recovering, "a") > 0.5
    open_scorers = [n for n in range(400) if p.is_scorer_open(recovering, "a", f"s-{n}")]
    assert 150 < len(open_scorers) < 250
    wider_zone = msgspec.structs.replace(recovering.zones["a"], fraction=0.75)
    wider_plan = msgspec.structs.replace(recovering, zones=recovering.zones | {"a": wider_zone})
    assert all(p.is_scorer_open(wider_plan, "a", f"s-{n}") for n in open_scorers)  # open scorers stay open


def test_there_is_no_spillover_to_an_unreachable_zone():
    reachable_plan = plan(a=(p.OUT, 4, 0.5, "x"), b=(p.SERVING, 8, 0.5, "x"), c=(p.SERVING, 8, 0.5, "y"))
    unreachable_plan = msgspec.structs.replace(reachable_plan, unreachable_pairs=(("a", "b"),))
    assert p.spillover_flows(unreachable_plan) == {"a": {"c": 4.0}}
    assert p.open_zones(unreachable_plan, "a") == {"c"}


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("{", "not a plan"),
        ('{"version":2}', "version 2"),
        ('{"version":1,"zones":{"a":{"state":"out"}}}', "all zones would be out"),
        ('{"version":1,"zones":{"a":{}},"apart":[["a","a"]]}', "apart"),
        ('{"version":1,"zones":{"a":{"spill":2}}}', "not a plan"),
    ],
)
def test_a_plan_that_must_not_be_followed_is_rejected(text, reason):
    with pytest.raises(p.PlanError, match=reason):
        p.plan_from(text)
