"""Settings of the prefetcher, and the prices that its orders are weighed by. Pure.

Classes, tenants, limits and prices are those of the site's settings; the file `sessions.json` has only paces
and bounds. A faulty file raises FileFault, faulty settings raise ConfigError; either text names the key.
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
    """The settings: times are milliseconds, rates are per second, shares are parts of one."""

    beat_ms: DurationMs = 1_000.0  # pace of looks at the counters, and of words
    still_ms: DurationMs = 30_000.0  # after so long without a call a session is over
    sessions: Annotated[int, Meta(ge=10, le=100_000)] = 100_000
    fast_ms: DurationMs = 4_000.0  # fading windows of calls
    slow_ms: DurationMs = 40_000.0
    day_ms: Annotated[float, Meta(ge=1_000.0)] = 86_400_000.0  # after which moves are held to repeat
    phases: Annotated[int, Meta(ge=1, le=1_440)] = 96
    learn_ms: Annotated[float, Meta(ge=1_000.0)] = 7 * 86_400_000.0  # e-folding of what was learnt
    score_ms: DurationMs = 600_000.0  # e-folding of scores: 'of late'
    margin: Fraction = 0.05  # by which a predictor has to beat 'nothing moves'
    allow: Annotated[float, Meta(ge=0.0)] = 2.0  # what its stages may lose of late, in mean calls
    least: Annotated[int, Meta(ge=1)] = 100  # scored predictions that a verdict rests on
    floor: Fraction = 0.05  # predictions with less chance are not made
    most: Annotated[int, Meta(ge=1, le=20_000)] = 500  # predictions of one look
    fetches_ps: Annotated[float, Meta(ge=0.0)] = 8.0  # of the fleet, for stages
    pace_ps: Annotated[float, Meta(ge=0.0)] = 8.0  # stages of one front end
    free_part: Fraction = 0.5  # of the ration, left for calls that wait now
    dwell_ms: DurationMs = 20_000.0  # a function that was let go at a site isn't staged there again
    hysteresis: Annotated[float, Meta(ge=1.0, le=10.0)] = 1.5  # unless its worth is so many times its price
    quiet_ms: DurationMs = 3_000.0  # after a surge, a loss or a power-up nothing is staged
    copies: Annotated[int, Meta(ge=1, le=16)] = 2  # of a function at a site
    lead_ms: DurationMs = 2_000.0  # before a move that is certain its copies are ordered, beside their queue
    slack: Annotated[float, Meta(ge=1.0, le=10.0)] = 1.3  # of a load's time, as a crowd slows the store
    renewals: Annotated[int, Meta(ge=0, le=100)] = 3  # of a stage that nobody has used yet
    core_part: Fraction = 0.08  # of a load's time takes a core
    unit_mb: Annotated[float, Meta(gt=0.0)] = 4_096.0  # memory of a scorer of size 1: rosters don't tell
    mode: Mode = "foresight"  # the others are what it is measured by
    told: str = ""  # trials alone: a file of moves told ahead, which the mode `oracle` goes by


class Prices(Struct, frozen=True):
    """What a point is lost by, as parts of the result, each in mean calls' worth."""

    origin: float = 0.0  # a fetch from the store
    waste: float = 0.0  # work that served nothing, as much as a mean call's
    probe: float = 0.0  # an order
    memory: float = 0.0  # copies that are idle, all the memory, all the time


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
    """The part `foresight` of the operators' file; other parts are checked by their own readers.

    Raises FileFault.
    """
    read: _File = decode_versioned_file(data, _File, "sessions", VERSION)
    if read.foresight.slow_ms <= read.foresight.fast_ms:
        raise SettingsFileError("foresight.slow_ms: not longer than foresight.fast_ms")
    if (read.foresight.mode == "oracle") != bool(read.foresight.told):
        raise SettingsFileError("foresight.told: goes with foresight.mode oracle, and that with it")
    return read.foresight


def decode_site_settings(config: Mapping[str, Any]) -> tuple[io.Settings, Prices]:
    """The site's settings and prices, from the object that an instance is given. Raises ConfigError."""
    settings = settings_from(config)
    parts = {key: config.get(key) or {} for key in ("costs", "family_info")}
    kept = {key: {k: v for k, v in part.items() if v is not None} for key, part in parts.items()}
    try:
        read = msgspec.convert(kept, _Site)
    except msgspec.ValidationError as error:
        raise ConfigError(f"settings: {error}") from None
    costs = read.costs
    return settings, Prices(costs.origin, costs.waste, costs.probe, read.family_info.idle_memory_cost)
