"""What follows from a plan: spillover, admission, open zones and scorers."""

import msgspec
import pytest
from support.zone_plans import plan

from fawnwharf.zones import plan as p


def test_a_lost_zones_calls_go_to_its_region_first_and_no_further_than_the_limit():
    three = plan(a=(p.OUT, 8, 0.5, "x"), b=(p.SERVING, 8, 0.5, "x"), c=(p.SERVING, 8, 0.5, "y"))
    assert p.spillover_flows(three) == {"a": {"b": 4.0, "c": 4.0}}
    assert p.admitted_fraction(three, "a") == 1.0
    roomy = plan(a=(p.OUT, 4, 0.5, "x"), b=(p.SERVING, 8, 0.5, "x"), c=(p.SERVING, 8, 0.5, "y"))
    assert p.spillover_flows(roomy) == {"a": {"b": 4.0}}
    assert p.open_zones(roomy, "a") == {"b"}
    assert p.open_zones(roomy, "b") == {"b", "c"}


def test_two_lost_zones_share_the_capacity_and_the_rest_is_not_admitted():
    lost = plan(
        a=(p.OUT, 8, 0.5, "x"),
        b=(p.OUT, 4, 0.5, "x"),
        c=(p.SERVING, 8, 0.25, "x"),
        d=(p.SERVING, 8, 0.25, "y"),
    )
    sent = p.spillover_flows(lost)
    assert sum(parts.get("c", 0) for parts in sent.values()) == pytest.approx(2.0)
    assert sum(parts.get("d", 0) for parts in sent.values()) == pytest.approx(2.0)
    assert p.admitted_fraction(lost, "a") == pytest.approx(p.admitted_fraction(lost, "b"), abs=0.1)
    assert p.admitted_fraction(lost, "a") < 0.5
    assert p.admitted_fraction(lost, "c") == 1.0


def test_a_recovering_zone_takes_its_own_fraction_and_no_spillover():
    back = plan(a=(p.RECOVERING, 8, 0.5, "x"), b=(p.OUT, 8, 0.5, "x"), c=(p.SERVING, 8, 1.0, "x"))
    assert "a" not in p.spillover_flows(back)["b"]
    assert p.admitted_fraction(back, "a") > 0.5
    opened = [n for n in range(400) if p.is_scorer_open(back, "a", f"s-{n}")]
    assert 150 < len(opened) < 250
    more = msgspec.structs.replace(back.zones["a"], fraction=0.75)
    wider = msgspec.structs.replace(back, zones=back.zones | {"a": more})
    assert all(p.is_scorer_open(wider, "a", f"s-{n}") for n in opened)  # none that was open closes again


def test_there_is_no_spillover_to_an_unreachable_zone():
    base = plan(a=(p.OUT, 4, 0.5, "x"), b=(p.SERVING, 8, 0.5, "x"), c=(p.SERVING, 8, 0.5, "y"))
    cut = msgspec.structs.replace(base, unreachable_pairs=(("a", "b"),))
    assert p.spillover_flows(cut) == {"a": {"c": 4.0}}
    assert p.open_zones(cut, "a") == {"c"}


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("{", "not a plan"),
        ('{"version":2}', "version 2"),
        ('{"version":1,"zones":{"a":{"state":"out"}}}', "all zones would be out"),
        ('{"version":1,"zones":{"a":{}},"apart":[["a","a"]]}', "apart"),
        ('{"version":1,"zones":{"a":{"spill":2}}}', "not a plan"),
    ],
)
def test_a_plan_that_must_not_be_followed_is_rejected(text, why):
    with pytest.raises(p.PlanError, match=why):
        p.plan_from(text)
