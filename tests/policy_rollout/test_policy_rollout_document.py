"""Policy documents: parsing, errors, and the algebraic laws of `stricter` and `fallback_limits`."""

import json
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fawnwharf.policy_rollout.document import (
    KEY_RULES,
    MAX_TEXT_LENGTH,
    MODES_BY_STRICTNESS,
    DeploymentCapabilities,
    Document,
    DocumentError,
    PolicyRegister,
    fallback_limits,
    find_incompatibility,
    make_document,
    parse_document,
    parse_register,
    stricter,
    with_defaults,
)

EXAMPLE = (Path(__file__).parents[2] / "deploy" / "policy.json").read_text()
BASE = make_document(0, {("classes", "gold", "give_up_ms"): 900.0, ("admission", "b"): 0.0})
CAPABILITIES = DeploymentCapabilities(
    frozenset({"gold"}), frozenset({"acme"}), frozenset({"a", "b"}), configured_defaults=BASE
)


def text(**keys):
    return json.dumps({"version": 1, **keys})


def test_the_example_survives_a_round_trip():
    document = parse_document(EXAMPLE)
    assert document.value("classes", "gold", "promise_ms") == 300.0
    assert document.section("staging")["memory_mb"] == 64.0
    assert parse_document(document.encode()) == document
    assert hash(document)
    assert find_incompatibility(document, CAPABILITIES) is None
    register = PolicyRegister(document.numbered(3), document.numbered(2))
    assert parse_register(register.encode()) == register
    assert parse_register(PolicyRegister().encode()) == PolicyRegister() == parse_register("")


def test_the_digest_is_of_contents_alone():
    one, other = text(spill={"a": 0.5, "b": 1}, number=4), text(number=9, spill={"b": 1.0, "a": 0.5})
    assert parse_document(one).digest == parse_document(other).digest
    assert parse_document(one).digest != parse_document(text(spill={"a": 0.5})).digest


@pytest.mark.parametrize(
    ("data", "line"),
    [
        (EXAMPLE[: len(EXAMPLE) // 2], "document: not JSON"),
        ("[]", "document: not an object"),
        (" " * MAX_TEXT_LENGTH + "{}", "document: 24002 characters"),
        ('{"spill": {}}', "version: None"),
        ('{"version": 2}', "version: 2, and this program knows 1"),
        (text(number=-1), "number: -1"),
        (text(colour={}), "colour: unknown key"),
        (text(classes={"gold": {"prmise_ms": 1}}), "classes.gold.prmise_ms: unknown key"),
        (text(staging={"fetches": 1}), "staging.fetches: unknown key"),
        (text(spill={"a": 1.5}), "spill.a: Expected `float` <= 1.0"),
        (text(spill={"a": {"b": 1}}), "spill.a: Expected `float`, got `object`"),
        (text(spill=[1]), "spill: not an object"),
        (text(spill={"a b": 1}), "spill: 'a b' is no name"),
        (text(window_ms={"gold": 0}), "window_ms.gold: Expected `float` > 0.0"),
        (text(modes={"gold": "sometimes"}), "modes.gold: Invalid enum value 'sometimes'"),
        (text(tenants={"acme": {"quota_rps": 0}}), "tenants.acme.quota_rps: shuts out tenant acme"),
        (text(classes={"g": {"promise_ms": 9, "give_up_ms": 8}}), "classes.g.promise_ms: longer"),
    ],
)
def test_a_malformed_document_is_one_line_with_its_key(data, line):
    with pytest.raises(DocumentError) as caught:
        parse_document(data)
    assert str(caught.value).startswith(line)
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("keys", "capabilities", "line"),
    [
        ({"classes": {"tin": {"promise_ms": 1}}}, {}, "classes.tin: no such class"),
        ({"modes": {"tin": "off"}}, {}, "modes.tin: no such class"),
        ({"tenants": {"nobody": {"quota_rps": 1}}}, {}, "tenants.nobody: no such tenant"),
        ({"spill": {"moon": 0.1}}, {}, "spill.moon: no such zone"),
        ({"admission": {"a": 0}}, {}, "admission: shuts out every zone"),
        ({"admission": {"a": 0, "b": 0.1}}, {}, None),
        ({"modes": {"gold": "after"}}, {"replicates": False}, "modes.gold: nothing is replicated here"),
        (
            {"staging": {"memory_mb": 1}},
            {"prefetches": False},
            "staging.memory_mb: nothing is prefetched here",
        ),
        ({"classes": {"gold": {"promise_ms": 901}}}, {}, "classes.gold.promise_ms: longer than give_up_ms"),
    ],
)
def test_incompatibilities_with_a_deployment(keys, capabilities, line):
    fields = {f: getattr(CAPABILITIES, f) for f in CAPABILITIES.__struct_fields__} | capabilities
    assert find_incompatibility(parse_document(text(**keys)), DeploymentCapabilities(**fields)) == line


def test_stricter_by_key():
    loose = make_document(1, {
        ("classes", "c", "promise_ms"): 100.0, ("classes", "c", "give_up_ms"): 900.0, ("spill", "a"): 0.2,
        ("tenants", "t", "quota_rps"): 9.0, ("modes", "c"): "off", ("window_ms", "c"): 5.0,
    })  # fmt: skip
    tight = make_document(2, {
        ("classes", "c", "promise_ms"): 50.0, ("classes", "c", "give_up_ms"): 800.0, ("spill", "a"): 0.4,
        ("tenants", "t", "quota_rps"): 5.0, ("modes", "c"): "before", ("window_ms", "c"): 9.0,
    })  # fmt: skip
    strict = stricter(loose, tight)
    assert strict.section("classes", "c") == {"promise_ms": 100.0, "give_up_ms": 800.0}
    assert [value for path, value in strict.values if path[0] != "classes"] == ["before", 0.2, 5.0, 9.0]
    assert strict.number == 2


_SPAN = st.integers(1, 9).map(float)
VALUES = {
    path: st.sampled_from(MODES_BY_STRICTNESS) if path[0] == "modes" else _SPAN.map(lambda n: n / 10)
    for path in KEY_RULES
}


@st.composite
def documents(draw, promises=True):
    keys = draw(st.sets(st.sampled_from(sorted(p for p in KEY_RULES if promises or KEY_RULES[p].stricter))))
    named = {tuple("n" if part == "*" else part for part in path): draw(VALUES[path]) for path in keys}
    return make_document(draw(st.integers(0, 5)), named)


@settings(max_examples=150, deadline=None)
@given(documents(False), documents(False), documents(False))
def test_laws_of_ordered_keys(a, b, c):
    assert stricter(a, b) == stricter(b, a)
    assert stricter(a, stricter(b, c)) == stricter(stricter(a, b), c)
    assert stricter(a, a) == a
    assert stricter(stricter(a, b), a).values == stricter(a, b).values  # at least as strict as a


@settings(max_examples=100, deadline=None)
@given(documents(), documents())
def test_laws_of_all_keys(a, b):
    assert stricter(a, b) == stricter(b, a)
    assert stricter(a, a) == a
    assert fallback_limits(a) == stricter(fallback_limits(a), a)  # stricter than the document
    assert {path for path, _ in fallback_limits(a).values} == {path for path, _ in a.values}
    assert with_defaults(Document(), a) == a
    assert with_defaults(a, a) == a
