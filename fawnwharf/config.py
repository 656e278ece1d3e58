"""Reads, checks and gives defaults to configuration and settings; nothing else in the program does.

Both hosts of the decision module use it: the adapter for the settings of an instance, the front end for its
whole configuration. Unknown keys are ignored, absent and null keys keep their defaults, and a faulty key
raises `ConfigError`, whose text names it. Durations are milliseconds.
"""

import ipaddress
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from fawnwharf import interface as io

Count = Annotated[int, Meta(ge=0)]
Least = Annotated[int, Meta(ge=1)]
Span = Annotated[float, Meta(ge=0)]  # milliseconds
Address = tuple[str, int]


class ConfigError(ValueError):
    """A faulty configuration; the text names the key."""


# --- the settings of an instance, as the documents name them --------------------------------


class _Class(Struct):
    name: str
    promise: Span = 1000.0
    give_up: Span = 2500.0
    effect: io.Effect = io.Effect.AT_MOST_ONCE
    group: io.DeduplicationGroup = io.DeduplicationGroup.ALL
    dedup_window: Span = 0.0
    worth: float = 1.0
    late_share: float = 0.0


class _Tenant(Struct):
    name: str
    quota_rps: Span | None = None


class _Bounds(Struct):
    cancel: bool = True
    second_copies: bool = True
    max_attempts: Least = 1
    retry_after: bool = False
    max_retry_after: Span = 0.0
    dial_timeout: Span = 250.0
    keepalive: Span = 15_000.0
    streams_per_conn: Least = 32
    max_open: Least = 20_000


class _Family(Struct):
    may_order: bool = True
    idle_life: Span = 10_000.0
    load_window: Span = 0.0
    free_loads: Span = 0.0
    load_part: Span = 0.0
    load_wait: Span = 10_000.0
    not_loaded: str = "miss"
    notes_peers_in_hand: bool = False
    idle_memory_cost: Span = 0.0


class _Rules(Struct):
    cold: Span = 10_000.0
    cold_share: Span = 0.2
    fall: Span = 1_000.0
    fall_multiple: Span = 2.0


class _Costs(Struct):
    handshake: Span = 0.0
    origin: Span = 0.0
    waste: Span = 0.0
    probe: Span = 0.0


class _Settings(Struct):
    classes: list[_Class] = []
    tenants: list[_Tenant] = []
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    family_info: _Family = msgspec.field(default_factory=_Family)
    invariants: _Rules = msgspec.field(default_factory=_Rules)
    costs: _Costs = msgspec.field(default_factory=_Costs)
    fleet_size: Least = 1
    locality: str = ""
    tick: Span = 1.0
    weight_source: str = "none"


class _Limits(Struct):
    cores: Span = 1.0
    memory_mb: Least = 192
    sockets: Annotated[int, Meta(ge=32)] = 1024


class _Known(Struct):
    seq: Count = 0
    results: list[dict[str, Any]] = []


class _Deployment(Struct):
    settings: _Settings
    changelog: str
    name: str = ""
    listen: str = ""
    control: str = ""
    seed: str | int = 0
    limits: _Limits = msgspec.field(default_factory=_Limits)
    known: _Known = msgspec.field(default_factory=_Known)


# --- what the program works with -------------------------------------------------------------


class Wire(Struct, frozen=True):
    """The settings that sockets need and decisions do not."""

    dial_timeout_ms: float = 250.0
    keepalive_ms: float = 15_000.0
    streams_per_conn: int = 32
    max_open: int = 20_000
    load_wait_ms: float = 10_000.0
    tells_crowd: bool = False
    handshake_price: float = 0.0  # points taken off for a new connection for each first try
    tenants: frozenset[str] = frozenset()  # empty: a site without tenants


class Costs(Struct, frozen=True):
    """Prices of a fetch, of wasted work, of a load order and of memory, as parts of the result."""

    origin: float = 0.0
    waste: float = 0.0
    probe: float = 0.0
    memory: float = 0.0


class Deployment(Struct, frozen=True):
    """The whole configuration of one front end.

    `listen`, `changelog` and `control` are numeric addresses; `control` is the operators' and may be None,
    for no such address. `memory_mb` and `sockets` are the limits of the process; `known_seq` and
    `known_events` are what the change log had told when the configuration was written.
    """

    name: str
    listen: Address
    changelog: Address
    seed: int
    memory_mb: int
    sockets: int
    known_seq: int
    known_events: list[dict[str, Any]]
    settings: io.Settings
    wire: Wire
    control: Address | None = None  # for operators alone; None: there is no such address
    costs: Costs = Costs()


class Member(Struct, frozen=True):
    """A scorer as an event of the change log gives it; `up_since_ms` is Unix time in milliseconds."""

    id: str
    phase: Literal["in_service", "terminating", "terminated"]
    host_port: str = ""
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    size: float = 1.0
    up_since_ms: float = 0.0


class Fleet(Struct, frozen=True):
    """The list of scorers in an event of the change log.

    `complete` tells a whole list from a list of changes; `revision` is the list's number.
    """

    members: list[Member]
    complete: bool = False
    revision: int = 0


def _without_nulls(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _without_nulls(item) for key, item in value.items() if item is not None}
    if isinstance(value, list):
        return [_without_nulls(item) for item in value]
    return value


def _read(data: Any, kind: Any, prefix: str = "") -> Any:
    try:
        return msgspec.convert(_without_nulls(data), kind)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        key = (prefix + place.rstrip("`")).lstrip(".")
        raise ConfigError(f"{key or 'configuration'}: {text}") from None


def settings_from(config: Any) -> io.Settings:
    """The decision module's settings, from the object that an instance is given.

    Raises `ConfigError` with the name of a faulty key.
    """
    return _settings(_read(config, _Settings, "settings"))


def _settings(read: _Settings) -> io.Settings:
    bounds, family, rules = read.bounds, read.family_info, read.invariants
    return io.Settings(
        classes={spec.name: _class(spec) for spec in read.classes},
        quotas_rps={t.name: t.quota_rps for t in read.tenants if t.quota_rps is not None},
        fleet_size=read.fleet_size,
        zone=read.locality,
        tick_ms=read.tick,
        weights_fixed=read.weight_source in ("nominal", "rough"),
        load_orders_allowed=family.may_order,
        cancellation_allowed=bounds.cancel,
        hedging=bounds.second_copies,
        max_attempts=bounds.max_attempts,
        max_retry_after_ms=bounds.max_retry_after if bounds.retry_after else 0.0,
        idle_life_ms=family.idle_life,
        loads_on_miss=family.not_loaded == "load",
        load_window_ms=family.load_window,
        free_loads=family.free_loads,
        load_part=family.load_part,
        slow_start_ms=rules.cold,
        slow_start_initial_share=rules.cold_share,
        slow_start_window_ms=rules.fall,
        slow_start_multiple=rules.fall_multiple,
    )


def _class(spec: _Class) -> io.ClassSpec:
    return io.ClassSpec(
        name=spec.name,
        latency_target_ms=spec.promise,
        deadline_ms=spec.give_up,
        effect=spec.effect,
        group=spec.group,
        dedup_window_ms=spec.dedup_window,
        priority_weight=spec.worth,
        late_share=spec.late_share,
    )


def _wire(read: _Settings) -> Wire:
    bounds, family = read.bounds, read.family_info
    return Wire(
        dial_timeout_ms=bounds.dial_timeout,
        keepalive_ms=bounds.keepalive,
        streams_per_conn=bounds.streams_per_conn,
        max_open=bounds.max_open,
        load_wait_ms=family.load_wait,
        tells_crowd=family.notes_peers_in_hand,
        handshake_price=read.costs.handshake,
        tenants=frozenset(tenant.name for tenant in read.tenants),
    )


def _costs(read: _Settings) -> Costs:
    costs = read.costs
    return Costs(costs.origin, costs.waste, costs.probe, read.family_info.idle_memory_cost)


def address_from(text: str, key: str) -> Address:
    """A numeric address and port; names are not looked up, as there is no DNS.

    Raises `ConfigError` under the name `key`.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ConfigError(f"{key}: not an address and port: {text[:60]!r}") from None
    if not 0 <= number < 65536:
        raise ConfigError(f"{key}: no such port: {number}")
    return host.strip("[]"), number


def _seed(seed: str | int) -> int:
    try:
        return seed if isinstance(seed, int) else int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed: not a hexadecimal number: {seed[:40]!r}") from None


def deployment_from(data: Any, environment: Mapping[str, str]) -> Deployment:
    """The configuration of a front end from decoded JSON; variables ROUTER_* of `environment` go first.

    Raises `ConfigError` with the name of a faulty key.
    """
    read = _read(data, _Deployment)
    listen = environment.get("ROUTER_LISTEN") or read.listen
    control = environment.get("ROUTER_CONTROL") or read.control
    return Deployment(
        name=environment.get("ROUTER_NAME") or read.name,
        listen=address_from(listen, "listen"),
        changelog=address_from(read.changelog, "changelog"),
        seed=_seed(read.seed),
        memory_mb=read.limits.memory_mb,
        sockets=read.limits.sockets,
        known_seq=read.known.seq,
        known_events=read.known.results,
        settings=_settings(read.settings),
        wire=_wire(read.settings),
        control=address_from(control, "control") if control else None,
        costs=_costs(read.settings),
    )


def load(path: str | None = None, environment: Mapping[str, str] = os.environ) -> Deployment:
    """The configuration at `path`, or where ROUTER_CONFIG says.

    Raises `ConfigError` where there is no path, the file can't be read, or a key is faulty.
    """
    place = path or environment.get("ROUTER_CONFIG")
    if not place:
        raise ConfigError("ROUTER_CONFIG: not set, and no path given")
    try:
        data = msgspec.json.decode(Path(place).read_bytes())
    except OSError as error:
        raise ConfigError(f"ROUTER_CONFIG: {error.strerror}: {place}") from None
    except msgspec.DecodeError as error:
        raise ConfigError(f"ROUTER_CONFIG: not JSON: {error}") from None
    return deployment_from(data, environment)


def fleet_from(data: Any) -> Fleet:
    """The list in an event of the change log; raises `ConfigError` with the name of a faulty key."""
    return _read(data, Fleet, "fleet")
