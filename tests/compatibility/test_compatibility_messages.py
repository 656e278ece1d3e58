"""Messages and records from commit 9d9ccab are decoded, and encoded again to the same bytes."""

import importlib
import json
import os
import pkgutil
import re
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from compatibility_boundaries import BOUNDARIES, boundary_of, entries

import fawnwharf
from fawnwharf.migration import messages as migrations
from fawnwharf.policy_rollout import policy_file
from fawnwharf.recovery_core import queries, register
from fawnwharf.recovery_service import permit_messages
from fawnwharf.replication import claims
from fawnwharf.sessions import settings as session_settings
from fawnwharf.zones import plan
from fawnwharf.zones import settings as zone_settings

ENTRIES = entries()
# Tools, which are not part of a serving front end.
APART = ("fawnwharf.testbed", "fawnwharf.fakes", "fawnwharf.__main__")
# Fields that are newer than the full entry of their class, with the full entry that has them.
ADDED_FIELDS = {
    ("recovery/claim/full", "content"): "recovery/claim/content/full",
    ("policy/kept/full", "replication"): "policy/kept/replication/full",
    ("successor/message/kept/full", "highest_seqid"): "successor/message/kept/highest_seqid/full",
}


def structs_in(value):
    """The classes of all messages and records within a decoded value."""
    found = set()
    if isinstance(value, msgspec.Struct):
        found.add(type(value))
        for name in value.__struct_fields__:
            found |= structs_in(getattr(value, name))
    elif isinstance(value, dict):
        for item in value.values():
            found |= structs_in(item)
    elif isinstance(value, list | tuple):
        for item in value:
            found |= structs_in(item)
    return found


def structs_of(kind, found):
    """The classes of all messages and records that a described type may contain."""
    if isinstance(kind, msgspec.inspect.StructType):
        if kind.cls in found:
            return found
        found.add(kind.cls)
        for field in kind.fields:
            structs_of(field.type, found)
    for name in ("types", "item_types"):
        for each in getattr(kind, name, ()):
            structs_of(each, found)
    for name in ("item_type", "key_type", "value_type"):
        if (each := getattr(kind, name, None)) is not None:
            structs_of(each, found)
    return found


def set_fields_in(value, found):
    """Add the fields of each class within a decoded value that are not at their defaults."""
    if isinstance(value, msgspec.Struct):
        here = found.setdefault(type(value), set())
        for field in msgspec.structs.fields(value):
            held, factory = getattr(value, field.name), field.default_factory
            default = factory() if factory is not msgspec.NODEFAULT else field.default
            if default is msgspec.NODEFAULT or held != default:
                here.add(field.encode_name)
            set_fields_in(held, found)
    elif isinstance(value, dict):
        for item in value.values():
            set_fields_in(item, found)
    elif isinstance(value, list | tuple):
        for item in value:
            set_fields_in(item, found)


def declared():
    """All message and record classes that the program declares, except in its tools."""
    found = set()
    for info in pkgutil.walk_packages(fawnwharf.__path__, "fawnwharf."):
        if info.name.startswith(APART):
            continue
        module = importlib.import_module(info.name)
        for value in vars(module).values():
            if isinstance(value, type) and issubclass(value, msgspec.Struct):
                found.add(value)
    return found


def read(name, data):
    """Decode an entry's bytes without the program's types."""
    return msgspec.msgpack.decode(data) if BOUNDARIES[name].binary else json.loads(data)


def parts_of(value):
    """All objects (dicts) within decoded JSON or msgpack."""
    if isinstance(value, dict):
        yield value
        for item in value.values():
            yield from parts_of(item)
    elif isinstance(value, list):
        for item in value:
            yield from parts_of(item)


@pytest.mark.parametrize("entry", ENTRIES)
def test_a_recorded_entry_is_decoded_and_encoded_to_the_same_bytes(entry):
    """A renamed key, tag or type leads to other bytes, or to a decoding error."""
    boundary = BOUNDARIES[boundary_of(entry)]
    value = boundary.decode(ENTRIES[entry])
    assert value is not None
    assert boundary.encode(value) == ENTRIES[entry]


@pytest.mark.parametrize("entry", ENTRIES)
def test_an_unknown_key_changes_nothing_and_takes_nothing_away(entry):
    """Unknown keys are ignored or rejected as before, and nothing else is lost with them."""
    boundary = BOUNDARIES[boundary_of(entry)]
    raw = read(boundary_of(entry), ENTRIES[entry])
    if not isinstance(raw, dict):
        return  # an array has no keys
    raw["a key of a later version"] = 1
    data = msgspec.msgpack.encode(raw) if boundary.binary else msgspec.json.encode(raw)
    if boundary.strict:
        with pytest.raises(msgspec.ValidationError, match="a key of a later version"):
            boundary.decode(data)
    else:
        assert boundary.encode(boundary.decode(data)) == ENTRIES[entry]


@pytest.mark.parametrize("entry", [entry for entry in ENTRIES if entry.endswith("/full")])
def test_a_full_entry_has_every_field_of_its_classes_at_a_value_of_its_own(entry):
    """No field of the root is at its default, as a decoder that ignores the key would return that as well."""
    boundary = BOUNDARIES[boundary_of(entry)]
    value = boundary.decode(ENTRIES[entry])
    values = value if isinstance(value, list | tuple) else [value]
    for one in values:
        for field in msgspec.structs.fields(one):
            if field.default is msgspec.NODEFAULT or field.encode_name == "version":
                continue
            if field.encode_name == "recovery" and boundary_of(entry) == "recovery/register":
                continue  # the version, which has one value
            if added := ADDED_FIELDS.get((entry, field.encode_name)):
                one = boundary.decode(ENTRIES[added])
            assert getattr(one, field.name) != field.default, field.name


def test_each_boundary_has_entries_and_each_entry_has_a_boundary():
    """Each form has a full and a minimal entry."""
    named = {boundary_of(entry) for entry in ENTRIES}
    assert named == set(BOUNDARIES)
    forms = {entry.rpartition("/")[0] for entry in ENTRIES}
    assert {f"{form}/{which}" for form in forms for which in ("full", "minimal")} == set(ENTRIES)


def test_each_class_that_a_boundary_may_carry_occurs_in_its_entries():
    """This includes nested classes."""
    for name, boundary in BOUNDARIES.items():
        may = structs_of(msgspec.inspect.type_info(boundary.kind), set())
        met = set()
        for entry, data in ENTRIES.items():
            if boundary_of(entry) == name:
                met |= structs_in(boundary.decode(data))
        assert may == met, name


def test_each_field_of_each_class_is_recorded_at_another_value_than_its_default():
    """This includes nested classes. A renamed field that is always at its default would go unnoticed."""
    found: dict[type, set[str]] = {}
    for entry, data in ENTRIES.items():
        set_fields_in(BOUNDARIES[boundary_of(entry)].decode(data), found)
    missing = {
        (each, field.encode_name)
        for each, there in found.items()
        for field in msgspec.structs.fields(each)
        if field.encode_name not in there
    }
    assert missing == {  # which have one value
        (policy_file.StoredPolicy, "version"),
        (session_settings.Wishes, "version"),
        (zone_settings.DrainRequest, "version"),
        (plan.Plan, "version"),
        (register.RecoveryRegister, "recovery"),
    }


def test_each_tagged_class_of_the_program_has_an_entry():
    """This holds for the classes of all unions."""
    tagged = {each for each in declared() if each.__struct_config__.tag is not None}
    met = set()
    for entry, data in ENTRIES.items():
        met |= structs_in(BOUNDARIES[boundary_of(entry)].decode(data))
    assert len(tagged) > 70
    assert {each.__qualname__ for each in tagged - met} == set()


def test_no_tag_is_taken_from_a_class_name():
    """A tag that is written as a string does not change when its class is renamed."""
    root = Path(fawnwharf.__file__).parent
    found = [
        str(path.relative_to(root))
        for path in sorted(root.rglob("*.py"))
        if re.search(r"\btag=(?![\"'])", path.read_text(encoding="utf-8"))
    ]
    assert found == []


@pytest.mark.parametrize(
    "members",
    [
        [
            claims.ClaimPhase.RELEASED,
            claims.ClaimPhase.ANSWERED,
            claims.ClaimPhase.FAILED,
            claims.ClaimPhase.GRANTED,
        ],
        [None, migrations.Step.SWITCHED, migrations.Step.SETTLED, migrations.Step.RELEASED],
        [
            permit_messages.DelegatedLoadResult.NOT_MADE,
            permit_messages.DelegatedLoadResult.MADE,
            permit_messages.DelegatedLoadResult.LOADED,
            permit_messages.DelegatedLoadResult.FAILED,
        ],
        [
            queries.QueryTopic.MEMBERS,
            queries.QueryTopic.PLAN,
            queries.QueryTopic.GRANTS,
            queries.QueryTopic.ROSTER,
            queries.QueryTopic.USAGE,
        ],
        [
            register.RecoveryPhase.LISTENING,
            register.RecoveryPhase.RETRIES,
            register.RecoveryPhase.PRIORITY_CALLS,
            register.RecoveryPhase.ALL_CALLS,
            register.RecoveryPhase.COPY_REFRESH,
            register.RecoveryPhase.NORMAL,
        ],
    ],
)
def test_numbers_that_stand_for_members_of_enumerations_are_as_recorded(members):
    """The number of each member is its index in the list, and there are no other members."""
    numbers = {member: number for number, member in enumerate(members) if member is not None}
    assert {member: int(member) for member in type(members[-1])} == numbers


def test_the_sampler_adds_nothing_to_a_complete_corpus(tmp_path):
    """Runs in a separate process, because the other tests must not depend on the sampler."""
    code = (
        "import sys, pathlib, shutil, sample_corpus as s;"
        "copy = pathlib.Path(sys.argv[1]) / 'corpus';"
        "shutil.copytree(s.CORPUS, copy, ignore=shutil.ignore_patterns('folders', 'settings'));"
        "before = {p.name: p.read_bytes() for p in copy.iterdir() if p.is_file()};"
        "s.CORPUS = copy; s.main([]);"
        "assert before == {p.name: p.read_bytes() for p in copy.iterdir() if p.is_file()}"
    )
    here = Path(__file__).parent
    env = {**os.environ, "PYTHONPATH": str(Path(fawnwharf.__file__).parents[1])}
    done = subprocess.run(
        [sys.executable, "-c", code, str(tmp_path)], cwd=here, env=env, capture_output=True, text=True
    )
    assert done.returncode == 0, done.stderr
