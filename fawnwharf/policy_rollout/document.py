"""The policy document: what may be changed while front ends run. Pure: text in, a value or one line out.

JSON, taken whole or not at all; a faulty one raises DocumentError, whose text is 'key: cause'. What is absent
is as the deployment's settings have it. A key that this version does not know is a fault, never passed over:
two front ends of which one leaves a key aside would decide by different policies under one number.

    {"version": 1, "number": 7,
     "classes": {"gold": {"promise_ms": 300, "give_up_ms": 900}},    milliseconds
     "tenants": {"acme": {"quota_rps": 200}},                        calls a second, over the fleet
     "admission": {"z1": 0.8}, "spill": {"z1": 0.5},                 parts of one, by zone
     "modes": {"gold": "before"}, "window_ms": {"gold": 6000},       keeping, by class
     "staging": {"fetches_rps": 5, "free_part": 0.2, "cold_part": 0.1, "memory_mb": 64}}
"""

import functools
import hashlib
import math
from collections.abc import Callable, Mapping
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from fawnwharf.zones.settings import DurationMs, Fraction, Name

VERSION = 1
MAX_TEXT_LENGTH = 24_000  # characters: two of them, and what is around them, fit into one decision of the log

Mode = Literal["off", "after", "before"]
Rate = Annotated[float, Meta(ge=0.0, le=10_000_000.0)]
Value = float | str
Path = tuple[str, ...]  # ("classes", "gold", "promise_ms"); "*" stands for any name
MODES_BY_STRICTNESS = ("off", "after", "before")  # rising


class DocumentError(ValueError):
    """A document that can't be taken; the text is 'key: cause' in one line."""


def _more_careful(one: Value, other: Value) -> Value:
    return max(one, other, key=MODES_BY_STRICTNESS.index)


class KeyRule(Struct, frozen=True):
    """One kind of key: the type of its value, which of two values is stricter, and whether it is a limit.

    `stricter` is None where there is no order; then the older document's value stands. `halved` marks a
    limit, of which `floor` takes half.
    """

    kind: Any
    stricter: Callable[[Any, Any], Any] | None
    halved: bool = False  # a limit, of which `floor` takes half


KEY_RULES: dict[Path, KeyRule] = {
    ("classes", "*", "promise_ms"): KeyRule(DurationMs, None),
    ("classes", "*", "give_up_ms"): KeyRule(DurationMs, min),
    ("tenants", "*", "quota_rps"): KeyRule(Rate, min, True),
    ("admission", "*"): KeyRule(Fraction, min, True),
    ("spill", "*"): KeyRule(Fraction, min, True),
    ("modes", "*"): KeyRule(Mode, _more_careful),
    ("window_ms", "*"): KeyRule(DurationMs, max),
    ("staging", "fetches_rps"): KeyRule(Rate, min, True),
    ("staging", "free_part"): KeyRule(Fraction, min, True),
    ("staging", "cold_part"): KeyRule(Fraction, min, True),
    ("staging", "memory_mb"): KeyRule(Rate, min, True),
}


def _shape(path: Path) -> Path | None:
    """The kind of key that a path is; also of the beginning of one."""
    for shape in KEY_RULES:
        if len(path) <= len(shape) and all(s in ("*", p) for s, p in zip(shape, path, strict=False)):
            return shape
    return None


class Document(Struct, frozen=True):
    """One policy: the number of its epoch, and its values by path, sorted. Hashable, equal by contents."""

    number: Annotated[int, Meta(ge=0, lt=2**53)] = 0
    values: tuple[tuple[Path, Value], ...] = ()

    def value(self, *path: str) -> Value | None:
        """The value under a path; None where it is left to the settings."""
        return dict(self.values).get(path)

    def section(self, *path: str) -> dict[str, Value]:
        """All values directly under a path: `section("spill")` gives shares by zone."""
        depth = len(path)
        return {p[depth]: v for p, v in self.values if len(p) == depth + 1 and p[:depth] == path}

    def nested(self) -> dict[str, Any]:
        """The values as nested objects, as in the JSON, without version and number."""
        found: dict[str, Any] = {}
        for path, value in self.values:
            place = found
            for part in path[:-1]:
                place = place.setdefault(part, {})
            place[path[-1]] = value
        return found

    def encode(self) -> str:
        """The document as JSON text, with sorted keys."""
        whole = {"version": VERSION, "number": self.number, **self.nested()}
        return msgspec.json.encode(whole, order="sorted").decode()

    @property
    def digest(self) -> str:
        """Digest of the values, without the number.

        A return to an earlier policy has that one's digest again, under a new number.
        """
        text = msgspec.json.encode(self.nested(), order="sorted")
        return hashlib.blake2b(text, digest_size=12).hexdigest()

    def numbered(self, number: int) -> "Document":
        """The same values under another number."""
        return Document(number, self.values)


def make_document(number: int, values: Mapping[Path, Value]) -> Document:
    """A document of these values."""
    return Document(number, tuple(sorted(values.items())))


# --- reading ----------------------------------------------------------------------------------


@functools.lru_cache(maxsize=32)  # the same text comes again with each repeat, and from each that asks
def parse_document(text: str | bytes) -> Document:
    """Parse a document and check it by itself. Raises DocumentError."""
    if len(text) > MAX_TEXT_LENGTH:
        raise DocumentError(f"document: {len(text)} characters, and {MAX_TEXT_LENGTH} are the most")
    try:
        raw = msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise DocumentError(f"document: not JSON: {_line(error)}") from None
    return document_from_object(raw)


def document_from_object(raw: Any) -> Document:
    """The same, from what was decoded already."""
    if not isinstance(raw, dict):
        raise DocumentError("document: not an object")
    if raw.get("version") != VERSION:
        raise DocumentError(f"version: {raw.get('version')!r}, and this program knows {VERSION}")
    number = raw.get("number", 0)
    if type(number) is not int or not 0 <= number < 2**53:
        raise DocumentError(f"number: {number!r} is none")
    values: dict[Path, Value] = {}
    for name, part in raw.items():
        if name not in ("version", "number"):
            _read((name,), part, values)
    for path, value in values.items():
        if path[-1] == "quota_rps" and value == 0.0:
            raise DocumentError(f"{'.'.join(path)}: shuts out tenant {path[1]}")
        if path[-1] == "promise_ms" and value > values.get((*path[:2], "give_up_ms"), value):
            raise DocumentError(f"{'.'.join(path)}: longer than give_up_ms")
    return make_document(number, values)


def _read(path: Path, raw: Any, values: dict[Path, Value]) -> None:
    key, shape = ".".join(path), _shape(path)
    if shape is None:
        raise DocumentError(f"{key}: unknown key")
    if shape[len(path) - 1] == "*":
        try:
            msgspec.convert(path[-1], Name)
        except msgspec.ValidationError:
            raise DocumentError(f"{'.'.join(path[:-1])}: {path[-1][:48]!r} is no name") from None
    if len(path) < len(shape):
        if not isinstance(raw, dict):
            raise DocumentError(f"{key}: not an object")
        for name, part in raw.items():
            _read((*path, name), part, values)
        return
    try:
        values[path] = msgspec.convert(raw, KEY_RULES[shape].kind)
    except msgspec.ValidationError as error:
        raise DocumentError(f"{key}: {_line(error)}") from None


def _line(error: Exception) -> str:
    return " ".join(str(error).split())[:200]


class DeploymentCapabilities(Struct, frozen=True):
    """What one deployment has, for a document to be checked against.

    `base` are the settings' own values as a document with the number 0: the meaning of absent keys.
    """

    classes: frozenset[str]
    tenants: frozenset[str]
    zones: frozenset[str]
    keeps: bool = True  # it keeps state over front ends, so that modes and windows mean something
    stages: bool = True  # it stages what sessions will need
    give_up_most_ms: float = math.inf  # of a class, as what is kept counts on
    window_ms: tuple[float, float] = (0.0, math.inf)  # the least and the most that can be kept
    base: Document = Document()


def find_incompatibility(document: Document, known: DeploymentCapabilities) -> str | None:
    """None where this deployment can go by it, else 'key: cause'."""
    names = {
        "classes": ("class", known.classes),
        "modes": ("class", known.classes),
        "window_ms": ("class", known.classes),
        "tenants": ("tenant", known.tenants),
        "admission": ("zone", known.zones),
        "spill": ("zone", known.zones),
    }
    for path, value in document.values:
        key, section = ".".join(path), path[0]
        if section in names and path[1] not in names[section][1]:
            return f"{section}.{path[1]}: no such {names[section][0]}"
        if section == "modes" and value != "off" and not known.keeps:
            return f"{key}: nothing is kept here"
        if section == "staging" and value > 0.0 and not known.stages:
            return f"{key}: nothing is staged here"
        if path[-1] == "give_up_ms" and value > known.give_up_most_ms:
            return f"{key}: longer than the {known.give_up_most_ms:g} that kept calls may take"
        if section == "window_ms" and not known.window_ms[0] <= value <= known.window_ms[1]:
            return f"{key}: not from {known.window_ms[0]:g} to {known.window_ms[1]:g}, as can be kept here"
    full = with_defaults(known.base, document)
    if known.zones and all(full.value("admission", zone) == 0.0 for zone in known.zones):
        return "admission: shuts out every zone"
    for name in known.classes:
        promise, give_up = (full.value("classes", name, key) for key in ("promise_ms", "give_up_ms"))
        if promise is not None and give_up is not None and promise > give_up:
            return f"classes.{name}.promise_ms: longer than give_up_ms"
    return None


# --- laws -------------------------------------------------------------------------------------


def with_defaults(base: Document, document: Document) -> Document:
    """The document with what it leaves absent filled in from the settings."""
    return make_document(document.number, dict(base.values) | dict(document.values))


def stricter(one: Document, other: Document) -> Document:
    """Key by key the value that admits less or keeps more: a meet of two policies, under the later number.

    Commutative, associative and idempotent for each key that has an order. Latency targets have none: the
    value of the document with the smaller number stands. A key that only one of them has is no limit in the
    other; fill in by `over` first where the settings have one.
    """
    old, new = sorted((one, other), key=lambda document: (document.number, document.values))
    values, more = dict(old.values), dict(new.values)
    for path, value in more.items():
        order = KEY_RULES[_shape(path)].stricter
        if path not in values:
            values[path] = value
        elif order is not None:
            values[path] = order(values[path], value)
    return make_document(new.number, values)


def fallback_limits(document: Document) -> Document:
    """Half of each limit, for one that knows of no next policy: it may be tighter than what is known."""
    return make_document(
        document.number,
        {path: value / 2 if KEY_RULES[_shape(path)].halved else value for path, value in document.values},
    )


# --- the register -----------------------------------------------------------------------------


class Register(Struct, frozen=True):
    """The value in the consensus log: the last decided document, and the one before it.

    The one before has to be known for as long as some front end may still act by it.
    """

    last: Document = Document()
    before: Document | None = None

    def encode(self) -> str:
        """The register as JSON text."""
        parts = {"last": self.last, "before": self.before}
        inner = [f'"{name}":{document.encode()}' for name, document in parts.items() if document]
        return '{"policy":1,' + ",".join(inner) + "}"

    def followed_by(self, document: Document) -> "Register":
        """The register after a further decision."""
        return Register(document, self.last)


@functools.lru_cache(maxsize=32)
def parse_register(text: str) -> Register:
    """Parse a register; an empty text stands for no decision yet. Raises DocumentError."""
    if not text:
        return Register()
    try:
        raw = msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError) as error:
        raise DocumentError(f"register: not JSON: {_line(error)}") from None
    if not isinstance(raw, dict) or raw.get("policy") != 1 or "last" not in raw:
        raise DocumentError("register: none of this version")
    before = raw.get("before")
    return Register(document_from_object(raw["last"]), document_from_object(before) if before else None)
