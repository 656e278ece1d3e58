"""Faulty settings, membership files and operator requests are rejected by their key."""

import pytest
from support.zone_files import members_data, settings

from fawnwharf.zones import settings as s


def faulty(change, zones="aab", voters=3):
    data = members_data(zones, voters)
    change(data)
    return data


@pytest.mark.parametrize(
    ("data", "expected_text"),
    [
        (b'{"version": 1, "fle', "members: not JSON"),
        (faulty(lambda d: d.update(version=2)), "version: 2"),
        (faulty(lambda d: d["members"][1].update(name="n0")), r"members\[1\].name: n0 is used twice"),
        (faulty(lambda d: d["members"][1].update(address="127.0.0.1:5000")), r"members\[1\].address"),
        (faulty(lambda d: d["members"][1].update(region="x")),
            r"members\[1\].region: zone a is in two regions"),
        (faulty(lambda d: d["members"][1].pop("ballots")), "members: 2 voters, but 3, 5 or 7 are required"),
        (faulty(lambda d: d["members"][2].update(zone="a") or d["members"].append(
            {"name": "z", "zone": "b", "address": "127.0.0.1:1"})), "zone b has no voter"),
        (faulty(lambda d: d.update(members=[])), "members"),
        (faulty(lambda d: d.update(number=0)), "number"),
        (faulty(lambda d: d["members"][0].update(address="somewhere")), r"members\[0\].address"),
    ],
)  # fmt: skip
def test_a_faulty_membership_file_is_rejected_by_its_key(data, expected_text):
    with pytest.raises(s.SettingsFileError, match=expected_text):
        s.membership_from(data)


@pytest.mark.parametrize(
    ("changes", "expected_text"),
    [
        ({"version": 9}, "version"),
        ({"spill": {"share": 1.5}}, "spill.share"),
        ({"spill": {"zones": {"a": -0.1}}}, r"spill.zones\[...\]"),
        ({"ramp": {"shares": [0.5, 0.25]}}, "ramp.shares: not in ascending order"),
        ({"damping": {"out_ms": 0}}, "damping.out_ms"),
        ({"voting": {"beat_ms": 500}}, "voting.beat_ms"),
        ({"evidence": {"report_ms": 1500}}, "evidence.report_life_ms"),
        ({"voting": {"valid_ms": 600}}, "voting.fresh_ms"),
    ],
)
def test_a_faulty_settings_file_is_rejected_by_its_key(changes, expected_text):
    with pytest.raises(s.SettingsFileError, match=expected_text):
        settings(**changes)


def test_operator_requests_for_all_zones_or_an_unknown_zone_are_rejected():
    for drained, expected_text in (
        (["a", "b"], "all zones would be out"),
        (["c"], r"drained\[0\]: no zone c"),
    ):
        with pytest.raises(s.SettingsFileError, match=expected_text):
            s.operator_request_from({"version": 1, "number": 1, "drained": drained}, {"a", "b"})
    assert s.operator_request_from({"version": 1, "number": 1, "drained": ["a"]}, {"a", "b"}).drained == (
        "a",
    )
