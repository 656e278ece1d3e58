"""The settings of recovery: each fault is reported in one line that names the key."""

from pathlib import Path

import msgspec
import pytest

from fawnwharf.recovery_core import phases, queries
from fawnwharf.recovery_service.settings import settings_from
from fawnwharf.zones.settings import SettingsFileError

GOOD = {"version": 1, "folder": "here", "fetches": 4, "scorer_rps": 50}


def test_the_example_is_read_and_absent_keys_are_the_cores_own():
    place = Path(__file__).parents[2] / "deploy" / "recovery.json"
    found = settings_from(place.read_bytes())
    assert found.boot_file == "/proc/sys/kernel/random/boot_id"
    assert found.timing.of_phases == phases.PhaseTiming()
    assert found.pace.of_queries == queries.QueryPace()


@pytest.mark.parametrize(
    ("change", "begin"),
    [
        ({"version": 2}, "version: 2"),
        ({"folder": ""}, "folder: "),
        ({"fetches": 0}, "fetches: "),
        ({"scorer_rps": "x"}, "scorer_rps: "),
        ({"unknown": 1}, "settings: "),
        ({"store": {"soon_ms": 0}}, "store.soon_ms: "),
        ({"store": {"soon": 1}}, "store: "),
        ({"store": {"retry_ms": 9e5}}, "store.retry_ms: more"),
        ({"store": {"piece_bytes": 2**30}}, "store.piece_bytes: more"),
        ({"timing": {"good": 2}}, "timing.good: "),
        ({"timing": {"valid_ms": 6000}}, "timing.valid_ms: longer"),
        ({"pace": {"stage_ms": 1500}}, "pace.stage_ms: two"),
    ],
)
def test_faults_name_the_key_in_one_line(change, begin):
    with pytest.raises(SettingsFileError) as found:
        settings_from(msgspec.json.encode(GOOD | change))
    assert str(found.value).startswith(begin) and "\n" not in str(found.value)


@pytest.mark.parametrize("data", [b"", b"[]", b"{", b"[" * 100_000, b"\xff"])
def test_data_that_is_no_settings_file_is_rejected(data):
    with pytest.raises(SettingsFileError):
        settings_from(data)
