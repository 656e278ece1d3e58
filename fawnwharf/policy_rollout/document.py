"""The policy document: the values that may be changed while front ends run.

This module does no I/O. A document is JSON and is accepted as a whole or rejected; a malformed one raises
DocumentError, whose text is 'key: cause'. An absent key has the value of the deployment's settings. A key
that this version does not know is an error: if one front end ignored it, two front ends would apply different
policies under the same number.

    {"version": 1, "number": 7,
     "classes": {"gold": {"promise_ms": 300, "give_up_ms": 900}},    milliseconds
     "tenants": {"acme": {"quota_rps": 200}},                        calls per second in the whole fleet
     "admission": {"z1": 0.8}, "spill": {"z1": 0.5},                 fractions, by zone
     "modes": {"gold": "before"}, "window_ms": {"gold": 6000},       replication, by class
     "staging": {"fetches_rps": 5, "free_part": 0.2, "cold_part": 0.1, "memory_mb": 64}}

The keys are those of the first version. `promise_ms` is the latency target and `give_up_ms` the deadline of a
class, `spill` the spillover that a zone takes, as a fraction of its size, and `staging` the limits of
prefetching (`free_part` of the load budget, `cold_part` of cold scorers' budgets, `memory_mb` at each site).
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
MAX_TEXT_LENGTH = 24_000  # characters; two documents and the register around them fit into one log entry
MAX_ERROR_LENGTH = 200  # characters
MAX_SHOWN_NAME_LENGTH = 48  # characters of a malformed name in an error

# Whether a call is replicated: never, after it is answered, or before.
ReplicationMode = Literal["off", "after", "before"]
Rate = Annotated[float, Meta(ge=0.0, le=10_000_000.0)]
Value = float | str
KeyPath = tuple[str, ...]  # ("classes", "gold", "promise_ms"); "*" stands for any name
MODES_BY_STRICTNESS = ("off", "after", "before")  # the strictest last


class DocumentError(ValueError):
    """A document that is not valid; the text is 'key: cause' in one line.

    The texts are sent to other members in votes and statuses and stay as they are.
    """


def _stricter_mode(one: str, other: str) -> str:
    return max(one, other, key=MODES_BY_STRICTNESS.index)


class KeyRule(Struct, frozen=True):
    """How the values of one kind of key are decoded and combined.

    `value_type` is the type that a value is decoded to. `stricter` returns the stricter of two values; it is
    None if the values have no such order, and then the value of the older document is used.
    `halved_in_fallback` tells whether `fallback_limits` halves the value.
    """

    value_type: Any
    stricter: Callable[[Any, Any], Any] | None
    halved_in_fallback: bool = False


KEY_RULES: dict[KeyPath, KeyRule] = {
    ("classes", "*", "promise_ms"): KeyRule(DurationMs, None),
    ("classes", "*", "give_up_ms"): KeyRule(DurationMs, min),
    ("tenants", "*", "quota_rps"): KeyRule(Rate, min, halved_in_fallback=True),
    ("admission", "*"): KeyRule(Fraction, min, halved_in_fallback=True),
    ("spill", "*"): KeyRule(Fraction, min, halved_in_fallback=True),
    ("modes", "*"): KeyRule(ReplicationMode, _stricter_mode),
    ("window_ms", "*"): KeyRule(DurationMs, max),
    ("staging", "fetches_rps"): KeyRule(Rate, min, halved_in_fallback=True),
    ("staging", "free_part"): KeyRule(Fraction, min, halved_in_fallback=True),
    ("staging", "cold_part"): KeyRule(Fraction, min, halved_in_fallback=True),
    ("staging", "memory_mb"): KeyRule(Rate, min, halved_in_fallback=True),
}


def _matching_pattern(path: KeyPath) -> KeyPath | None:
    """The pattern in `KEY_RULES` that a path matches, in full or as a prefix; None if there is none."""
    for pattern in KEY_RULES:
        if len(path) > len(pattern):
            continue
        if all(part in ("*", name) for part, name in zip(pattern, path, strict=False)):
            return pattern
    return None


def _rule_of(path: KeyPath) -> KeyRule:
    """The rule for a complete path; raises DocumentError for an unknown one."""
    pattern = _matching_pattern(path)
    if pattern is None:
        raise DocumentError(f"{'.'.join(path)}: unknown key")
    return KEY_RULES[pattern]


class Document(Struct, frozen=True):
    """One policy: its document number and its values, sorted by path. Hashable and compared by contents."""

    number: Annotated[int, Meta(ge=0, lt=2**53)] = 0
    values: tuple[tuple[KeyPath, Value], ...] = ()

    def value(self, *path: str) -> Value | None:
        """The value at a path, a number or a text; None if the document does not have the key."""
        return dict(self.values).get(path)

    def limit(self, *path: str) -> float | None:
        """The value at a path as a number; None if the document does not have the key.

        Raises ValueError for a value that is not a number.
        """
        value = self.value(*path)
        return None if value is None else float(value)

    def section(self, *path: str) -> dict[str, Value]:
        """All values directly below a path, by name: `section("spill")` returns fractions by zone."""
        depth = len(path)
        return {
            key[depth]: value for key, value in self.values if len(key) == depth + 1 and key[:depth] == path
        }

    def limits(self, *path: str) -> dict[str, float]:
        """All values directly below a path, by name, as numbers."""
        return {name: float(value) for name, value in self.section(*path).items()}

    def as_nested_dict(self) -> dict[str, Any]:
        """The document as nested dicts, as in the JSON, without version and number."""
        root: dict[str, Any] = {}
        for path, value in self.values:
            branch = root
            for part in path[:-1]:
                branch = branch.setdefault(part, {})
            branch[path[-1]] = value
        return root

    def encode(self) -> str:
        """The document as JSON text, with sorted keys."""
        complete = {"version": VERSION, "number": self.number, **self.as_nested_dict()}
        return msgspec.json.encode(complete, order="sorted").decode()

    @property
    def digest(self) -> str:
        """Digest of the values without the number, so a rollback has the digest of the earlier policy."""
        text = msgspec.json.encode(self.as_nested_dict(), order="sorted")
        return hashlib.blake2b(text, digest_size=12).hexdigest()

    def numbered(self, number: int) -> "Document":
        """The same values under another number."""
        return Document(number, self.values)


def make_document(number: int, values: Mapping[KeyPath, Value]) -> Document:
    """Create a document from values by path."""
    return Document(number, tuple(sorted(values.items())))


# --- decoding ---------------------------------------------------------------------------------


@functools.lru_cache(maxsize=32)  # the same text arrives again with each retry and from each member
def parse_document(text: str | bytes) -> Document:
    """Parse a document and check its values, without a deployment; raises DocumentError."""
    if len(text) > MAX_TEXT_LENGTH:
        raise DocumentError(f"document: {len(text)} characters, and {MAX_TEXT_LENGTH} are the most")
    try:
        decoded = msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise DocumentError(f"document: not JSON: {_one_line(error)}") from None
    return document_from_object(decoded)


def document_from_object(decoded: Any) -> Document:
    """Create a document from decoded JSON and check its values; raises DocumentError."""
    if not isinstance(decoded, dict):
        raise DocumentError("document: not an object")
    if decoded.get("version") != VERSION:
        raise DocumentError(f"version: {decoded.get('version')!r}, and this program knows {VERSION}")
    number = decoded.get("number", 0)
    if type(number) is not int or not 0 <= number < 2**53:
        raise DocumentError(f"number: {number!r} is none")
    values: dict[KeyPath, Value] = {}
    for name, part in decoded.items():
        if name not in ("version", "number"):
            _collect_values((name,), part, values)
    _check_values(values)
    return make_document(number, values)


def _check_values(values: Mapping[KeyPath, Value]) -> None:
    """Check the values of one document against each other; raises DocumentError."""
    for path, value in values.items():
        if path[-1] == "quota_rps" and value == 0.0:
            raise DocumentError(f"{'.'.join(path)}: shuts out tenant {path[1]}")
        if path[-1] == "promise_ms":
            give_up_ms = values.get((*path[:2], "give_up_ms"))
            if give_up_ms is not None and float(value) > float(give_up_ms):
                raise DocumentError(f"{'.'.join(path)}: longer than give_up_ms")


def _collect_values(path: KeyPath, decoded: Any, values: dict[KeyPath, Value]) -> None:
    """Add all values below a path to `values`; raises DocumentError."""
    key = ".".join(path)
    pattern = _matching_pattern(path)
    if pattern is None:
        raise DocumentError(f"{key}: unknown key")
    if pattern[len(path) - 1] == "*":
        _check_name(path)
    if len(path) < len(pattern):
        if not isinstance(decoded, dict):
            raise DocumentError(f"{key}: not an object")
        for name, part in decoded.items():
            _collect_values((*path, name), part, values)
        return
    try:
        values[path] = msgspec.convert(decoded, KEY_RULES[pattern].value_type)
    except msgspec.ValidationError as error:
        raise DocumentError(f"{key}: {_one_line(error)}") from None


def _check_name(path: KeyPath) -> None:
    """Check the last part of a path, the name of a class, tenant or zone; raises DocumentError."""
    try:
        msgspec.convert(path[-1], Name)
    except msgspec.ValidationError:
        shown = path[-1][:MAX_SHOWN_NAME_LENGTH]
        raise DocumentError(f"{'.'.join(path[:-1])}: {shown!r} is no name") from None


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())[:MAX_ERROR_LENGTH]


# --- compatibility with a deployment ------------------------------------------------------------


class DeploymentCapabilities(Struct, frozen=True):
    """What one deployment supports; documents are checked against it.

    `configured_defaults` holds the values of the settings as a document with the number 0. They apply where a
    document does not have a key.
    """

    classes: frozenset[str]
    tenants: frozenset[str]
    zones: frozenset[str]
    replicates: bool = True  # calls are replicated over front ends; else modes and windows have no effect
    prefetches: bool = True  # what sessions will need is prefetched
    max_give_up_ms: float = math.inf  # the longest deadline of a class that replication supports
    window_range_ms: tuple[float, float] = (0.0, math.inf)  # the shortest and longest window that can be kept
    configured_defaults: Document = Document()


NAME_KIND_BY_SECTION = {
    "classes": "class",
    "modes": "class",
    "window_ms": "class",
    "tenants": "tenant",
    "admission": "zone",
    "spill": "zone",
}


def find_incompatibility(document: Document, capabilities: DeploymentCapabilities) -> str | None:
    """Why this deployment can't apply the document, as 'key: cause'; None if it can."""
    for path, value in document.values:
        if found := _incompatible_name(path, capabilities) or _incompatible_value(path, value, capabilities):
            return found
    complete = with_defaults(capabilities.configured_defaults, document)
    if capabilities.zones and all(complete.value("admission", zone) == 0.0 for zone in capabilities.zones):
        return "admission: shuts out every zone"
    for name in capabilities.classes:
        promise_ms = complete.limit("classes", name, "promise_ms")
        give_up_ms = complete.limit("classes", name, "give_up_ms")
        if promise_ms is not None and give_up_ms is not None and promise_ms > give_up_ms:
            return f"classes.{name}.promise_ms: longer than give_up_ms"
    return None


def _incompatible_name(path: KeyPath, capabilities: DeploymentCapabilities) -> str | None:
    """The error for a name that the deployment does not have; None if it has the name."""
    kind = NAME_KIND_BY_SECTION.get(path[0])
    if kind is None:
        return None
    known = {"class": capabilities.classes, "tenant": capabilities.tenants, "zone": capabilities.zones}[kind]
    return None if path[1] in known else f"{path[0]}.{path[1]}: no such {kind}"


def _incompatible_value(path: KeyPath, value: Value, capabilities: DeploymentCapabilities) -> str | None:
    """Why the deployment can't apply one value; None if it can."""
    key = ".".join(path)
    if path[0] == "modes":
        if value != "off" and not capabilities.replicates:
            return f"{key}: nothing is replicated here"
        return None
    limit = float(value)
    if path[0] == "staging" and limit > 0.0 and not capabilities.prefetches:
        return f"{key}: nothing is prefetched here"
    if path[-1] == "give_up_ms" and limit > capabilities.max_give_up_ms:
        return f"{key}: longer than the {capabilities.max_give_up_ms:g} that replicated calls may take"
    shortest, longest = capabilities.window_range_ms
    if path[0] == "window_ms" and not shortest <= limit <= longest:
        return f"{key}: not from {shortest:g} to {longest:g}, as can be stored here"
    return None


# --- combining documents ------------------------------------------------------------------------


def with_defaults(base: Document, document: Document) -> Document:
    """The document with absent keys filled in from `base`."""
    return make_document(document.number, dict(base.values) | dict(document.values))


def stricter(one: Document, other: Document) -> Document:
    """Combine two documents, key by key, to the value that admits less or stores more.

    The result has the higher number. The operation is commutative, associative and idempotent for each key
    whose values have an order. Latency targets have no order: the value of the document with the lower number
    is used. A key that only one document has is taken from it; call `with_defaults` first if the settings
    have a value for it.
    """
    old, new = sorted((one, other), key=lambda document: (document.number, document.values))
    values = dict(old.values)
    for path, value in new.values:
        choose = _rule_of(path).stricter
        if path not in values:
            values[path] = value
        elif choose is not None:
            values[path] = choose(values[path], value)
    return make_document(new.number, values)


def fallback_limits(document: Document) -> Document:
    """The document with each limit halved that `KeyRule.halved_in_fallback` marks.

    For a front end without a lease that knows no next policy: that policy may be stricter than the last one.
    """
    values = {
        path: float(value) / 2 if _rule_of(path).halved_in_fallback else value
        for path, value in document.values
    }
    return make_document(document.number, values)


# --- the register -----------------------------------------------------------------------------


class PolicyRegister(Struct, frozen=True):
    """The value of this package in the consensus log.

    It has the last decided document and the one decided before it, None if there was none. The earlier
    document is needed while some front ends may still apply it.
    """

    last: Document = Document()
    before: Document | None = None

    def encode(self) -> str:
        """The register as JSON text."""
        parts = {"last": self.last, "before": self.before}
        inner = [f'"{name}":{document.encode()}' for name, document in parts.items() if document]
        return '{"policy":1,' + ",".join(inner) + "}"

    def with_next(self, document: Document) -> "PolicyRegister":
        """A new register with this document as the last one, and the present last one before it."""
        return PolicyRegister(document, self.last)


@functools.lru_cache(maxsize=32)
def parse_register(text: str) -> PolicyRegister:
    """Parse a register; an empty text means that nothing is decided yet. Raises DocumentError."""
    if not text:
        return PolicyRegister()
    try:
        decoded = msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError) as error:
        raise DocumentError(f"register: not JSON: {_one_line(error)}") from None
    if not isinstance(decoded, dict) or decoded.get("policy") != 1 or "last" not in decoded:
        raise DocumentError("register: none of this version")
    before = decoded.get("before")
    return PolicyRegister(
        document_from_object(decoded["last"]), document_from_object(before) if before else None
    )
