"""Parses a client's call: from the text fields of a Thrift message to validated, typed values. No I/O."""

import re
from collections.abc import Callable
from dataclasses import dataclass

from fawnwharf.interface import ClassSpec, Effect
from fawnwharf.net import thrift
from fawnwharf.net.request_ids import content_digest
from fawnwharf.net.requests import Call, Outcome

TTL_TOLERANCE = 1.1  # a ttl may exceed its class's deadline by this factor, to allow for rounding
MAX_TENANT_LENGTH = 128  # characters of a tenant's name

_HEX16 = re.compile(r"[0-9a-fA-F]{16}\Z")
_TOKEN = re.compile(r"[0-9A-Za-z_.:-]{1,128}\Z")
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?\Z")


@dataclass(frozen=True, slots=True)
class FigureRange:
    """The values that a client's estimate may have, from `least` to `most`; `is_whole`: no fractions."""

    least: float
    most: float
    is_whole: bool = False


# The estimates in `props`, by name. Other names there are ignored.
FIGURE_RANGES = {
    "lanes": FigureRange(1, 4_096, is_whole=True),
    "memory_mb": FigureRange(0, 1024 * 1024),  # a TiB for one copy
    "load_ms": FigureRange(0, 3_600_000),  # an hour
}


@dataclass(frozen=True, slots=True)
class ParsedCall:
    """A validated client request; scorers accept all its values.

    `budget_ms` is the time limit in milliseconds, counted from when the client sent the request. `token` is
    the idempotency key, or empty. `lanes`, `memory_mb` and `load_ms` are the client's estimates.
    """

    id: bytes
    class_name: str
    tenant: str
    function: str
    budget_ms: float
    body: bytes
    token: str
    lanes: int
    memory_mb: float | None
    load_ms: float | None

    @property
    def content(self) -> int:
        """The digest of what it asks for."""
        return content_digest(self.class_name, self.tenant, self.function, self.token, self.body)

    def open(self, age_ms: float, reply: Callable[[Outcome], None], check_client: Callable[[], None]) -> Call:
        """Return the call in the form that the request table accepts.

        `age_ms` is how long it has already waited, which is subtracted from its budget. `reply` receives the
        outcome. `check_client` is called to find out whether the client has disconnected.
        """
        return Call(
            id=self.id,
            class_name=self.class_name,
            tenant=self.tenant,
            function=self.function,
            budget_ms=max(0.0, self.budget_ms - age_ms),
            body=self.body,
            token=self.token,
            lanes=self.lanes,
            memory_mb=self.memory_mb,
            load_ms=self.load_ms,
            reply=reply,
            check_client=check_client,
        )


def _number(text: str | None, name: str) -> float | None:
    if text is None:
        return None
    if not _NUMBER.match(text):
        raise thrift.MalformedMessageError(f"{name}: not a number")
    return float(text)


def _spec(fields: dict[str, str], classes: dict[str, ClassSpec]) -> ClassSpec:
    spec = classes.get(fields.get("op", ""))
    if spec is None:
        raise thrift.MalformedMessageError("op: no such class")
    return spec


def _budget_ms(fields: dict[str, str], spec: ClassSpec) -> float:
    budget = _number(fields.get("ttl"), "ttl")
    if not budget or budget > TTL_TOLERANCE * spec.deadline_ms:
        raise thrift.MalformedMessageError("ttl: missing, or not a time to wait")
    return budget


def _figures(fields: dict[str, str]) -> dict[str, float]:
    """Parse the client's estimates by name; each given one has to be sound, also one that is repeated."""
    figures = {}
    for part in fields.get("props", "").split(";"):
        name, _, text = part.partition(":")
        if (allowed := FIGURE_RANGES.get(name)) is not None:
            figures[name] = _figure(name, text, allowed)
    return figures


def _figure(name: str, text: str, allowed: FigureRange) -> float:
    value = _number(text, name)
    if value is None or not allowed.least <= value <= allowed.most:
        raise thrift.MalformedMessageError(f"{name}: out of range")
    if allowed.is_whole and not value.is_integer():
        raise thrift.MalformedMessageError(f"{name}: not a whole number")
    return value


def call_from(
    message: thrift.Handle, classes: dict[str, ClassSpec], tenants: frozenset[str] = frozenset()
) -> ParsedCall:
    """Parse the fields of a call.

    `classes` has the known classes by name. `tenants` has the known tenants; if it is empty, any tenant is
    accepted. Raises MalformedMessageError for a value that no scorer would accept.
    """
    fields = message.fields
    spec = _spec(fields, classes)
    token = fields.get("dedupe", "")
    if tenants and fields.get("org") not in tenants:
        raise thrift.MalformedMessageError("org: no such tenant")
    for name in ("call", "row"):
        if not _HEX16.match(fields.get(name, "")):
            raise thrift.MalformedMessageError(f"{name}: not 16 hex digits")
    if (token or spec.effect is Effect.DEDUPLICATED) and not _TOKEN.match(token):
        raise thrift.MalformedMessageError("dedupe: missing, or not a key")
    budget_ms = _budget_ms(fields, spec)
    figures = _figures(fields)
    return ParsedCall(
        id=bytes.fromhex(fields["call"]),
        class_name=spec.name,
        tenant=fields.get("org", "")[:MAX_TENANT_LENGTH],
        function=fields["row"],
        budget_ms=budget_ms,
        body=message.body,
        token=token,
        lanes=int(figures.get("lanes", 1)),
        memory_mb=figures.get("memory_mb"),
        load_ms=figures.get("load_ms"),
    )
