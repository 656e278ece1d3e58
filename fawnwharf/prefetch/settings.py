"""Settings of the prefetcher, and the prices used to weigh its orders. No I/O.

Classes, tenants, limits and prices come from the site's settings; the file `sessions.json` contains only
rates and bounds. An invalid file raises SettingsFileError, and invalid settings raise ConfigError; both
messages name the key.
"""

from collections.abc import Mapping
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from fawnwharf import interface as io
from fawnwharf.config import ConfigError, settings_from
from fawnwharf.zones.settings import DurationMs, Fraction, SettingsFileError, decode_versioned_file

VERSION = 1

Mode = Literal["foresight", "none", "react", "everything", "oracle"]


class PrefetchSettings(Struct, frozen=True):
    """The settings: times are in milliseconds, rates per second, and fractions from 0 to 1."""

    beat_ms: DurationMs = 1_000.0  # interval of passes over the counters and of messages
    still_ms: DurationMs = 30_000.0  # a session without a call for this time has ended
    sessions: Annotated[int, Meta(ge=10, le=100_000)] = 100_000
    fast_ms: DurationMs = 4_000.0  # time constants of the decaying windows of calls
    slow_ms: DurationMs = 40_000.0
    day_ms: Annotated[float, Meta(ge=1_000.0)] = 86_400_000.0  # period of repeated moves
    phases: Annotated[int, Meta(ge=1, le=1_440)] = 96
    learn_ms: Annotated[float, Meta(ge=1_000.0)] = 7 * 86_400_000.0  # time constant of the move history
    score_ms: DurationMs = 600_000.0  # time constant of the predictors' scores
    margin: Fraction = 0.05  # least skill over 'nothing moves' for a predictor to be used
    allow: Annotated[float, Meta(ge=0.0)] = 2.0  # net loss that its orders may have, in mean calls
    least: Annotated[int, Meta(ge=1)] = 100  # scored predictions needed before a predictor is used
    floor: Fraction = 0.05  # predictions with a lower probability are not made
    most: Annotated[int, Meta(ge=1, le=20_000)] = 500  # predictions of one pass
    fetches_ps: Annotated[float, Meta(ge=0.0)] = 8.0  # prefetch rate of the fleet
    pace_ps: Annotated[float, Meta(ge=0.0)] = 8.0  # prefetch rate of one front end
    free_part: Fraction = 0.5  # fraction of the load rate limit reserved for waiting calls
    dwell_ms: DurationMs = 20_000.0  # a released copy is not prefetched again in the zone for this time
    hysteresis: Annotated[float, Meta(ge=1.0, le=10.0)] = 1.5  # unless it is worth this multiple of its price
    quiet_ms: DurationMs = 3_000.0  # no prefetching for this time after a surge, a loss or a power-up
    copies: Annotated[int, Meta(ge=1, le=16)] = 2  # most copies of a function in a zone
    lead_ms: DurationMs = 2_000.0  # certain moves are ordered this early, plus the time of their queue
    slack: Annotated[float, Meta(ge=1.0, le=10.0)] = (
        1.3  # factor on load times when many loads slow the store
    )
    renewals: Annotated[int, Meta(ge=0, le=100)] = 3  # refreshes of a copy that is not used yet
    core_part: Fraction = 0.08  # fraction of a load's time that uses a core
    unit_mb: Annotated[float, Meta(gt=0.0)] = 4_096.0  # memory of a scorer of size 1, which rosters lack
    mode: Mode = "foresight"  # the other modes are baselines for comparison
    told: str = ""  # for trials only: file of future moves for the mode `oracle`


class Prices(Struct, frozen=True):
    """Prices of resources, in units of the value of a mean call."""

    origin: float = 0.0  # one fetch from the store
    waste: float = 0.0  # wasted work of the length of a mean call
    probe: float = 0.0  # one order
    memory: float = 0.0  # idle copies that fill the fleet's memory, per call that the fleet gets meanwhile


class _Costs(Struct):
    origin: Annotated[float, Meta(ge=0)] = 0.0
    waste: Annotated[float, Meta(ge=0)] = 0.0
    probe: Annotated[float, Meta(ge=0)] = 0.0


class _Info(Struct):
    idle_memory_cost: Annotated[float, Meta(ge=0)] = 0.0


class _Site(Struct):
    costs: _Costs = msgspec.field(default_factory=_Costs)
    family_info: _Info = msgspec.field(default_factory=_Info)


class _File(Struct):
    version: int
    foresight: PrefetchSettings = msgspec.field(default_factory=PrefetchSettings)


def decode_prefetch_settings(data: bytes) -> PrefetchSettings:
    """Decode the part `foresight` of the operators' file; other parts are checked by their own readers.

    Raises SettingsFileError.
    """
    read: _File = decode_versioned_file(data, _File, "sessions", VERSION)
    if read.foresight.slow_ms <= read.foresight.fast_ms:
        raise SettingsFileError("foresight.slow_ms: must be longer than foresight.fast_ms")
    if (read.foresight.mode == "oracle") != bool(read.foresight.told):
        raise SettingsFileError(
            "foresight.told: required for foresight.mode oracle, and allowed only with it"
        )
    return read.foresight


def decode_site_settings(config: Mapping[str, Any]) -> tuple[io.Settings, Prices]:
    """Decode the site's settings and prices from the configuration object; raises ConfigError."""
    settings = settings_from(config)
    parts = {key: config.get(key) or {} for key in ("costs", "family_info")}
    kept = {key: {k: v for k, v in part.items() if v is not None} for key, part in parts.items()}
    try:
        read = msgspec.convert(kept, _Site)
    except msgspec.ValidationError as error:
        raise ConfigError(f"settings: {error}") from None
    costs = read.costs
    return settings, Prices(costs.origin, costs.waste, costs.probe, read.family_info.idle_memory_cost)
