"""Parses and validates the front end's configuration and the settings of the decision module.

Both hosts of the decision module use it: the simulator's adapter for the settings of an instance, and the
front end for its whole configuration. Unknown keys are ignored, and absent and null keys get their defaults.
An invalid value raises `ConfigError` with the name of its key. Durations are in milliseconds.
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
    """The configuration is invalid; the text names the key."""


# --- the configuration file; `name=` is the key in the file where it differs from the attribute ------


class _Class(Struct):
    """The rules for the calls of one request class."""

    name: str
    latency_target: Milliseconds = msgspec.field(name="promise", default=1000.0)
    deadline: Milliseconds = msgspec.field(name="give_up", default=2500.0)
    effect: io.Effect = io.Effect.AT_MOST_ONCE
    group: io.DeduplicationGroup = io.DeduplicationGroup.ALL
    dedup_window: Milliseconds = 0.0
    priority_weight: float = msgspec.field(name="worth", default=1.0)
    late_share: float = 0.0


class _Tenant(Struct):
    """A tenant, and its quota in calls per second over all front ends; None means unlimited."""

    name: str
    quota_rps: NonNegativeFloat | None = None


class _Bounds(Struct):
    """Which actions a front end may take, and the limits of its connections."""

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
    """What the scorers of this site support, and their timeouts and limits."""

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
    """The slow start of a scorer: it gets fewer requests after its start."""

    duration: Milliseconds = msgspec.field(name="cold", default=10_000.0)
    initial_share: NonNegativeFloat = msgspec.field(name="cold_share", default=0.2)
    window: Milliseconds = msgspec.field(name="fall", default=1_000.0)
    multiple: NonNegativeFloat = msgspec.field(name="fall_multiple", default=2.0)


class _Costs(Struct):
    """Prices of operations, as fractions of the result."""

    handshake: NonNegativeFloat = 0.0
    origin: NonNegativeFloat = 0.0
    waste: NonNegativeFloat = 0.0
    probe: NonNegativeFloat = 0.0


class _Settings(Struct):
    """The settings of one instance of the decision module, and of its connections."""

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
    """The resource limits of the process."""

    cores: NonNegativeFloat = 1.0
    memory_mb: PositiveInt = 192
    sockets: Annotated[int, Meta(ge=32)] = 1024


class _KnownEvents(Struct):
    """The events that the change log had sent when the configuration was written."""

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


# --- the validated configuration, as the program uses it --------------------------------------


class ConnectionSettings(Struct, frozen=True):
    """The settings of connections and requests that the decision module does not need."""

    dial_timeout_ms: float = 250.0  # connection timeout to a scorer
    keepalive_ms: float = 15_000.0  # scorers close a connection that is idle for this long
    streams_per_conn: int = 32  # maximum number of requests in flight on one scorer connection
    max_open: int = 20_000  # maximum number of open requests of clients
    load_wait_ms: float = 10_000.0  # timeout of a load order
    reports_concurrency: bool = False  # answers of scorers report the number of calls in flight
    handshake_price: float = 0.0  # points deducted for a new connection, per first attempt
    tenants: frozenset[str] = frozenset()  # empty: the site has no tenants


class Costs(Struct, frozen=True):
    """Prices of a fetch from the origin, wasted work, a load order and idle memory.

    They are fractions of the result.
    """

    origin: float = 0.0
    waste: float = 0.0
    probe: float = 0.0
    memory: float = 0.0


class Deployment(Struct, frozen=True):
    """The whole configuration of one front end.

    - `listen`: address for clients. `control`: address for operators. Both are numeric, as is `changelog`.
    - `memory_mb`, `sockets`: limits of the process on memory and on file descriptors.
    - `initial_change_log_seq`, `initial_change_log_events`: the last sequence number and the events that the
      change log had sent when the configuration was written.
    """

    name: str
    listen: Address
    changelog: Address
    seed: int
    memory_mb: int
    sockets: int
    initial_change_log_seq: int = msgspec.field(name="known_seq")
    initial_change_log_events: list[dict[str, Any]] = msgspec.field(name="known_events")
    settings: io.Settings
    wire: ConnectionSettings
    control: Address | None = None  # None: operators have no address
    costs: Costs = Costs()


class Member(Struct, frozen=True):
    """A scorer in an event of the change log; `up_since_ms` is its start as Unix time in milliseconds."""

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

    `complete`: whether this lists all scorers; otherwise only those that changed. `revision` is its number.
    """

    members: list[Member]
    complete: bool = False
    revision: int = 0


def _without_nulls(value: Any) -> Any:
    """Removes keys whose value is null from decoded JSON, so that they get their defaults."""
    if isinstance(value, dict):
        return {key: _without_nulls(item) for key, item in value.items() if item is not None}
    if isinstance(value, list):
        return [_without_nulls(item) for item in value]
    return value


def _convert(data: Any, kind: type[T], prefix: str = "") -> T:
    """Converts decoded JSON to a type.

    Raises `ConfigError` with the name of an invalid key, which begins with `prefix`.
    """
    try:
        return msgspec.convert(_without_nulls(data), kind)
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(" - at `$")
        key = (prefix + path.rstrip("`")).lstrip(".")
        raise ConfigError(f"{key or 'configuration'}: {text}") from None


def settings_from(config: Any) -> io.Settings:
    """The decision module's settings from the decoded `settings` object.

    Raises `ConfigError` with the name of an invalid key.
    """
    return _decision_settings(_convert(config, _Settings, "settings"))


def _decision_settings(parsed: _Settings) -> io.Settings:
    """The decision module's settings from the parsed settings."""
    bounds = parsed.bounds
    family = parsed.family
    slow_start = parsed.slow_start
    quotas = {tenant.name: tenant.quota_rps for tenant in parsed.tenants if tenant.quota_rps is not None}
    return io.Settings(
        classes={spec.name: _class(spec) for spec in parsed.classes},
        quotas_rps=quotas,
        fleet_size=parsed.fleet_size,
        zone=parsed.zone,
        tick_ms=parsed.tick,
        weights_fixed=parsed.weight_source in ("nominal", "rough"),
        load_orders_allowed=family.load_orders_allowed,
        cancellation_allowed=bounds.cancellation_allowed,
        hedging=bounds.hedging,
        max_attempts=bounds.max_attempts,
        max_retry_after_ms=bounds.max_retry_after if bounds.retry_after else 0.0,
        idle_lifetime_ms=family.idle_life,
        loads_on_miss=family.on_miss == "load",
        load_window_ms=family.load_window,
        free_loads=family.free_loads,
        loads_per_arrival=family.load_part,
        slow_start_ms=slow_start.duration,
        slow_start_initial_share=slow_start.initial_share,
        slow_start_window_ms=slow_start.window,
        slow_start_multiple=slow_start.multiple,
    )


def _class(spec: _Class) -> io.ClassSpec:
    """The rules of one request class from its parsed settings."""
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


def _connection_settings(parsed: _Settings) -> ConnectionSettings:
    """The connection settings from the parsed settings."""
    bounds = parsed.bounds
    family = parsed.family
    return ConnectionSettings(
        dial_timeout_ms=bounds.dial_timeout,
        keepalive_ms=bounds.keepalive,
        streams_per_conn=bounds.streams_per_conn,
        max_open=bounds.max_open,
        load_wait_ms=family.load_wait,
        reports_concurrency=family.reports_concurrency,
        handshake_price=parsed.costs.handshake,
        tenants=frozenset(tenant.name for tenant in parsed.tenants),
    )


def _costs(parsed: _Settings) -> Costs:
    """The prices from the parsed settings."""
    costs = parsed.costs
    return Costs(costs.origin, costs.waste, costs.probe, parsed.family.idle_memory_cost)


def address_from(text: str, key: str) -> Address:
    """Parses a numeric address and port; host names are rejected, as the site has no DNS.

    Raises `ConfigError` that names `key`.
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
    """The seed as a number; a string is hexadecimal."""
    if isinstance(seed, int):
        return seed
    try:
        return int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed: not a hexadecimal number: {seed[:40]!r}") from None


def deployment_from(data: Any, environment: Mapping[str, str]) -> Deployment:
    """The configuration of a front end from decoded JSON.

    ROUTER_LISTEN, ROUTER_CONTROL and ROUTER_NAME of `environment` override it. Raises `ConfigError` with the
    name of an invalid key.
    """
    parsed = _convert(data, _Deployment)
    listen = environment.get("ROUTER_LISTEN") or parsed.listen
    control = environment.get("ROUTER_CONTROL") or parsed.control
    return Deployment(
        name=environment.get("ROUTER_NAME") or parsed.name,
        listen=address_from(listen, "listen"),
        changelog=address_from(parsed.changelog, "changelog"),
        seed=_seed(parsed.seed),
        memory_mb=parsed.limits.memory_mb,
        sockets=parsed.limits.sockets,
        initial_change_log_seq=parsed.known.seq,
        initial_change_log_events=parsed.known.results,
        settings=_decision_settings(parsed.settings),
        wire=_connection_settings(parsed.settings),
        control=address_from(control, "control") if control else None,
        costs=_costs(parsed.settings),
    )


def load(path: str | None = None, environment: Mapping[str, str] = os.environ) -> Deployment:
    """Loads the configuration from `path`, or from the file that ROUTER_CONFIG names.

    Raises `ConfigError` if there is no path, the file can't be read, or a key is invalid.
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
    """The scorers in an event of the change log; raises `ConfigError` with the name of an invalid key."""
    return _convert(data, Fleet, "fleet")
