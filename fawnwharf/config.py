"""Reads, checks and gives defaults to configuration and settings; nothing else in the program does.

Both hosts of the decision module use it: the adapter for the settings of an instance, the front end for its
whole configuration. Unknown keys are ignored, absent and null keys keep their defaults, and a faulty key
raises `ConfigError`, whose text names it. Durations are milliseconds.
"""

import ipaddress
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct

from fawnwharf import interface as io

NonNegativeInt = Annotated[int, Meta(ge=0)]
PositiveInt = Annotated[int, Meta(ge=1)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]
Milliseconds = Annotated[float, Meta(ge=0)]
Address = tuple[str, int]  # numeric host and port
T = TypeVar("T")


class ConfigError(ValueError):
    """A faulty configuration; the text names the key."""


# --- the settings of an instance; `name=` gives the key of the documents where it differs ------


class _Class(Struct):
    """The rules for the calls of one class."""

    name: str
    latency_target: Milliseconds = msgspec.field(name="promise", default=1000.0)
    deadline: Milliseconds = msgspec.field(name="give_up", default=2500.0)
    effect: io.Effect = io.Effect.AT_MOST_ONCE
    group: io.DeduplicationGroup = io.DeduplicationGroup.ALL
    dedup_window: Milliseconds = 0.0
    priority_weight: float = msgspec.field(name="worth", default=1.0)
    late_share: float = 0.0


class _Tenant(Struct):
    """A tenant, and its quota in calls a second for all front ends together; None: unlimited."""

    name: str
    quota_rps: NonNegativeFloat | None = None


class _Bounds(Struct):
    """What a front end may do, and limits of its connections."""

    cancellation_allowed: bool = msgspec.field(name="cancel", default=True)
    hedging: bool = msgspec.field(name="second_copies", default=True)
    max_attempts: PositiveInt = 1
    retry_after: bool = False
    max_retry_after: Milliseconds = 0.0
    dial_timeout: Milliseconds = 250.0
    keepalive: Milliseconds = 15_000.0
    streams_per_conn: PositiveInt = 32
    max_open: PositiveInt = 20_000


class _Family(Struct):
    """What the site's kind of scorers allows and does."""

    load_orders_allowed: bool = msgspec.field(name="may_order", default=True)
    idle_life: Milliseconds = 10_000.0
    load_window: Milliseconds = 0.0
    free_loads: NonNegativeFloat = 0.0
    load_part: NonNegativeFloat = 0.0
    load_wait: Milliseconds = 10_000.0
    on_miss: str = msgspec.field(name="not_loaded", default="miss")
    reports_concurrency: bool = msgspec.field(name="notes_peers_in_hand", default=False)
    idle_memory_cost: NonNegativeFloat = 0.0


class _SlowStart(Struct):
    """The limit on requests to a scorer that has just started."""

    duration: Milliseconds = msgspec.field(name="cold", default=10_000.0)
    initial_share: NonNegativeFloat = msgspec.field(name="cold_share", default=0.2)
    window: Milliseconds = msgspec.field(name="fall", default=1_000.0)
    multiple: NonNegativeFloat = msgspec.field(name="fall_multiple", default=2.0)


class _Costs(Struct):
    """Prices, as parts of the result."""

    handshake: NonNegativeFloat = 0.0
    origin: NonNegativeFloat = 0.0
    waste: NonNegativeFloat = 0.0
    probe: NonNegativeFloat = 0.0


class _Settings(Struct):
    """The settings of an instance."""

    classes: list[_Class] = []
    tenants: list[_Tenant] = []
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    family: _Family = msgspec.field(name="family_info", default_factory=_Family)
    slow_start: _SlowStart = msgspec.field(name="invariants", default_factory=_SlowStart)
    costs: _Costs = msgspec.field(default_factory=_Costs)
    fleet_size: PositiveInt = 1
    zone: str = msgspec.field(name="locality", default="")
    tick: Milliseconds = 1.0
    weight_source: str = "none"


class _ProcessLimits(Struct):
    """The limits of the process."""

    cores: NonNegativeFloat = 1.0
    memory_mb: PositiveInt = 192
    sockets: Annotated[int, Meta(ge=32)] = 1024


class _KnownEvents(Struct):
    """What the change log had sent when the configuration was written."""

    seq: NonNegativeInt = 0
    results: list[dict[str, Any]] = []


class _Deployment(Struct):
    """The configuration file of a front end."""

    settings: _Settings
    changelog: str
    name: str = ""
    listen: str = ""
    control: str = ""
    seed: str | int = 0
    limits: _ProcessLimits = msgspec.field(default_factory=_ProcessLimits)
    known: _KnownEvents = msgspec.field(default_factory=_KnownEvents)


# --- what the program works with -------------------------------------------------------------


class Wire(Struct, frozen=True):
    """The settings that sockets need and decisions do not."""

    dial_timeout_ms: float = 250.0  # for a connection to a scorer
    keepalive_ms: float = 15_000.0  # scorers keep an idle connection open for so long
    streams_per_conn: int = 32  # requests in flight on one connection
    max_open: int = 20_000  # open requests of clients
    load_wait_ms: float = 10_000.0  # timeout of a load order
    reports_concurrency: bool = False  # answers of scorers report the calls in flight
    handshake_price: float = 0.0  # points taken off for a new connection, by first attempt
    tenants: frozenset[str] = frozenset()  # empty: a site without tenants


class Costs(Struct, frozen=True):
    """Prices of a fetch, of wasted work, of a load order and of memory, as parts of the result."""

    origin: float = 0.0
    waste: float = 0.0
    probe: float = 0.0
    memory: float = 0.0


class Deployment(Struct, frozen=True):
    """The whole configuration of one front end.

    `listen`, `changelog` and `control` are numeric addresses; `control` is for operators. `memory_mb` and
    `sockets` are the limits of the process; `known_seq` and `known_events` are what the change log had sent
    when the configuration was written.
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
    control: Address | None = None  # None: there is no such address
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

    `complete` distinguishes a complete list from a list of changes; `revision` is the list's number.
    """

    members: list[Member]
    complete: bool = False
    revision: int = 0


def _without_nulls(value: Any) -> Any:
    """Decoded JSON without the keys whose value is null, so that these get their defaults."""
    if isinstance(value, dict):
        return {key: _without_nulls(item) for key, item in value.items() if item is not None}
    if isinstance(value, list):
        return [_without_nulls(item) for item in value]
    return value


def _read(data: Any, kind: type[T], prefix: str = "") -> T:
    """Decoded JSON as a value of a type; `prefix` goes before the key that an error names.

    Raises `ConfigError` with the name of a faulty key.
    """
    try:
        return msgspec.convert(_without_nulls(data), kind)
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(" - at `$")
        key = (prefix + path.rstrip("`")).lstrip(".")
        raise ConfigError(f"{key or 'configuration'}: {text}") from None


def settings_from(config: Any) -> io.Settings:
    """The decision module's settings, from the object that an instance is given.

    Raises `ConfigError` with the name of a faulty key.
    """
    return _settings(_read(config, _Settings, "settings"))


def _settings(read: _Settings) -> io.Settings:
    """The settings of decisions, from those that were read."""
    bounds = read.bounds
    family = read.family
    slow_start = read.slow_start
    quotas = {tenant.name: tenant.quota_rps for tenant in read.tenants if tenant.quota_rps is not None}
    return io.Settings(
        classes={spec.name: _class(spec) for spec in read.classes},
        quotas_rps=quotas,
        fleet_size=read.fleet_size,
        zone=read.zone,
        tick_ms=read.tick,
        weights_fixed=read.weight_source in ("nominal", "rough"),
        load_orders_allowed=family.load_orders_allowed,
        cancellation_allowed=bounds.cancellation_allowed,
        hedging=bounds.hedging,
        max_attempts=bounds.max_attempts,
        max_retry_after_ms=bounds.max_retry_after if bounds.retry_after else 0.0,
        idle_life_ms=family.idle_life,
        loads_on_miss=family.on_miss == "load",
        load_window_ms=family.load_window,
        free_loads=family.free_loads,
        load_part=family.load_part,
        slow_start_ms=slow_start.duration,
        slow_start_initial_share=slow_start.initial_share,
        slow_start_window_ms=slow_start.window,
        slow_start_multiple=slow_start.multiple,
    )


def _class(spec: _Class) -> io.ClassSpec:
    """The rules of a class, from those that were read."""
    return io.ClassSpec(
        name=spec.name,
        latency_target_ms=spec.latency_target,
        deadline_ms=spec.deadline,
        effect=spec.effect,
        group=spec.group,
        dedup_window_ms=spec.dedup_window,
        priority_weight=spec.priority_weight,
        late_share=spec.late_share,
    )


def _wire(read: _Settings) -> Wire:
    """The settings of sockets, from those that were read."""
    bounds = read.bounds
    family = read.family
    return Wire(
        dial_timeout_ms=bounds.dial_timeout,
        keepalive_ms=bounds.keepalive,
        streams_per_conn=bounds.streams_per_conn,
        max_open=bounds.max_open,
        load_wait_ms=family.load_wait,
        reports_concurrency=family.reports_concurrency,
        handshake_price=read.costs.handshake,
        tenants=frozenset(tenant.name for tenant in read.tenants),
    )


def _costs(read: _Settings) -> Costs:
    """The prices, from the settings that were read."""
    costs = read.costs
    return Costs(costs.origin, costs.waste, costs.probe, read.family.idle_memory_cost)


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
    """A seed as a number; as text it is hexadecimal."""
    if isinstance(seed, int):
        return seed
    try:
        return int(seed, 16)
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
    file = path or environment.get("ROUTER_CONFIG")
    if not file:
        raise ConfigError("ROUTER_CONFIG: not set, and no path given")
    try:
        data = msgspec.json.decode(Path(file).read_bytes())
    except OSError as error:
        raise ConfigError(f"ROUTER_CONFIG: {error.strerror}: {file}") from None
    except msgspec.DecodeError as error:
        raise ConfigError(f"ROUTER_CONFIG: not JSON: {error}") from None
    return deployment_from(data, environment)


def fleet_from(data: Any) -> Fleet:
    """The list in an event of the change log; raises `ConfigError` with the name of a faulty key."""
    return _read(data, Fleet, "fleet")
