"""Settings files with all keys are read as by commit 9d9ccab, and invalid ones rejected with its texts."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import pytest
from compatibility_boundaries import CORPUS

from fawnwharf import config
from fawnwharf import interface as io
from fawnwharf.policy_rollout import document as policy_document
from fawnwharf.policy_rollout import settings as policy
from fawnwharf.prefetch import settings as prefetch
from fawnwharf.recovery_service import settings as recovery
from fawnwharf.replication import settings as state
from fawnwharf.sessions import settings as sessions
from fawnwharf.zones import settings as zones
from fawnwharf.zones.files import load_file

SETTINGS = CORPUS / "settings"
ERRORS = json.loads((SETTINGS / "errors.json").read_text(encoding="utf-8"))
SITES = {"a", "b", "c"}


class Kind(NamedTuple):
    """How a kind of file is decoded, and the class that declares all its keys, if there is one."""

    read: Callable[[bytes], Any]
    declared: Any = None


def deployed(data: bytes) -> config.Deployment:
    """Decode a configuration, without environment variables."""
    return config.deployment_from(msgspec.json.decode(data), {})


KINDS = {
    "deployment": Kind(deployed),
    "zones-members": Kind(zones.membership_from, zones.Membership),
    "zones-settings": Kind(zones.settings_from, zones.ZoneSettings),
    "zones-wishes": Kind(lambda data: zones.operator_request_from(data, SITES), zones.DrainRequest),
    "state": Kind(state.parse_settings, state.ReplicationSettings),
    "recovery": Kind(recovery.settings_from, recovery.Settings),
    "sessions": Kind(sessions.settings_from, sessions.Settings),
    "sessions-foresight": Kind(prefetch.decode_prefetch_settings),
    "sessions-wishes": Kind(lambda data: sessions.wishes_from(data, SITES), sessions.Wishes),
    "policy-settings": Kind(policy.decode_settings, policy.RolloutSettings),
    "policy-request": Kind(policy.decode_operator_request, policy.PolicyRequest),
    "policy-document": Kind(policy_document.parse_document),
}


def raw(kind: str) -> Any:
    """Decode a recorded file without the program's types."""
    name = "sessions" if kind == "sessions-foresight" else kind
    return json.loads((SETTINGS / f"{name}.json").read_text(encoding="utf-8"))


def defaults_in(value: Any, place: str = "") -> list[str]:
    """The fields of a value, and of nested values, that are at their defaults."""
    found = []
    for field in msgspec.structs.fields(value) if isinstance(value, msgspec.Struct) else ():
        held, key = getattr(value, field.name), f"{place}.{field.encode_name}"
        factory = field.default_factory
        default = factory() if factory is not msgspec.NODEFAULT else field.default
        if isinstance(held, msgspec.Struct):
            found += defaults_in(held, key)
        elif field.encode_name != "version" and held == default:
            found.append(key)
    return found


@pytest.mark.parametrize("kind", [kind for kind, each in KINDS.items() if each.declared])
def test_every_key_of_a_file_arrives_under_its_name(kind):
    """The file has all keys of the class, none at its default, and all values come from the file."""
    data = raw(kind)
    found = KINDS[kind].read(msgspec.json.encode(data))
    assert type(found) is KINDS[kind].declared
    assert json.loads(msgspec.json.encode(found)) == data
    allowed = [".call_off", ".back"] if kind == "policy-request" else []
    assert defaults_in(found) == allowed  # a file may have only one of the three keys


@pytest.mark.parametrize("key, value", [("call_off", "why not"), ("back", True)])
def test_the_other_requests_on_policy_are_read(key, value):
    """They are as the command line writes them."""
    found = policy.decode_operator_request(msgspec.json.encode({"version": 1, "number": 2, key: value}))
    assert {"call_off": found.cancel, "back": found.rollback}[key] == value


def test_the_prefetcher_s_part_of_the_sessions_file_arrives():
    """It has all its keys, none at its default."""
    data = raw("sessions")
    found = prefetch.decode_prefetch_settings(msgspec.json.encode(data))
    assert json.loads(msgspec.json.encode(found)) == data["foresight"] and defaults_in(found) == []


def test_a_policy_document_arrives_and_is_encoded_to_equal_values():
    """Each path has its value, and the digest by which front ends compare policies is unchanged."""
    data = raw("policy-document")
    found = policy_document.parse_document(msgspec.json.encode(data))
    assert json.loads(found.encode()) == data
    assert found.number == 7 and len(found.values) == len(policy_document.KEY_RULES)
    assert found.digest == ERRORS["policy-document"]["digest"]
    assert found.value("classes", "gold", "give_up_ms") == 900.0 and found.section("modes") == {
        "gold": "before"
    }


def test_every_key_of_a_deployment_arrives():
    """The file has all declared keys, and each value is where the program reads it."""
    data = raw("deployment")
    read = msgspec.convert(data, config._Deployment)
    assert json.loads(msgspec.json.encode(read)) == data and defaults_in(read) == []
    found = deployed(msgspec.json.encode(data))
    gold = io.ClassSpec(
        "gold", 300.0, 900.0, io.Effect.DEDUPLICATED, io.DeduplicationGroup.ZONE, 6000.0, 2.5, 0.25
    )
    assert found.settings == io.Settings(
        {"gold": gold}, {"acme": 200.0}, 4, "z1", 2.5, True, False, False, False, 3, 1500.0, 11000.0, True,
        1200.0, 4.5, 0.125, 10250.0, 0.25, 1100.0, 2.25,
    )  # fmt: skip
    assert found.wire == config.ConnectionSettings(
        275.0, 16500.0, 33, 20001, 10500.0, True, 0.01, frozenset({"acme"})
    )
    assert found.costs == config.Costs(0.02, 0.03, 0.04, 0.0625)
    assert (found.name, found.seed, found.memory_mb, found.sockets) == ("fe-7", 31, 256, 2048)
    assert found.listen == ("127.0.0.1", 7901) and found.changelog == ("127.0.0.1", 7900)
    assert found.control == ("127.0.0.1", 7902)
    assert found.initial_change_log_seq == 3 and found.initial_change_log_events == data["known"]["results"]


def test_variables_of_the_environment_go_before_the_file():
    """Their names are unchanged."""
    named = {"ROUTER_NAME": "fe-9", "ROUTER_LISTEN": "127.0.0.9:1", "ROUTER_CONTROL": "127.0.0.9:2"}
    found = config.deployment_from(raw("deployment"), named)
    assert (found.name, found.listen, found.control) == ("fe-9", ("127.0.0.9", 1), ("127.0.0.9", 2))
    place = {"ROUTER_CONFIG": str(SETTINGS / "deployment.json")}
    assert config.load(None, place).name == "fe-7"


def test_settings_reach_the_parts_that_go_by_them():
    """This covers values that are passed on under other names."""
    found = recovery.settings_from(msgspec.json.encode(raw("recovery")))
    stages, data = found.timing.of_phases, raw("recovery")
    assert (stages.listen_ms, stages.settle_ms) == (data["timing"]["listen_ms"], data["timing"]["settle_ms"])
    assert (stages.good, stages.slow) == (data["timing"]["good"], data["timing"]["slow"])
    assert found.pace.of_queries.again_ms == data["pace"]["again_ms"]
    data = raw("policy-settings")
    timing = policy.decode_settings(msgspec.json.encode(data)).timing
    assert (timing.lease_ms, timing.renew_ms, timing.skew) == (
        data["lease_ms"], data["renew_ms"], data["skew"],
    )  # fmt: skip
    assert (timing.prepare_ms, timing.resend_interval_ms) == (data["prepare_ms"], data["again_ms"])


def changed(kind: str, change: list[Any]) -> Any:
    """A recorded file with one change: a renamed key or another value."""
    what, path, value = change
    data = place = raw(kind)
    for key in path[:-1]:
        place = place[key]
    if what == "misspelt":
        place[value] = place.pop(path[-1])
    else:
        place[path[-1]] = value
    return data


def told(kind: str, data: Any, folder: Path) -> str:
    """The error text when a file is read as at a start; empty if the file is accepted."""
    path = folder / "file.json"
    path.write_text(json.dumps(data), encoding="utf-8")
    try:
        if kind == "deployment":
            config.load(str(path), {})
        elif kind == "policy-document":
            KINDS[kind].read(path.read_bytes())
        else:
            load_file(path, KINDS[kind].read, "option")
    except (config.ConfigError, policy_document.DocumentError) as error:
        return str(error).replace(str(folder), "FOLDER")
    return ""


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("number", [0, 1])
def test_a_faulty_file_is_refused_by_the_recorded_text(kind, number, tmp_path):
    """One key is misspelt, or one value has a wrong type. A misspelt key that was ignored still is."""
    case = ERRORS[kind]["cases"][number]
    assert told(kind, changed(kind, case["change"]), tmp_path) == case["text"]
    assert case["change"][0] == ("misspelt", "wrong")[number]


@pytest.mark.parametrize("kind", KINDS)
def test_a_recorded_file_is_taken_as_a_start_reads_it(kind, tmp_path):
    """There is no error."""
    assert told(kind, raw(kind), tmp_path) == ""
