"""The settings file that enables recovery on a front end, `deploy/recovery.json`.

The file is JSON and accepted or rejected as a whole; a malformed file raises SettingsFileError, whose text
names the key. The names of the fields are the keys of the file. Durations are in milliseconds.
"""

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from fawnwharf.durable_store import file_format
from fawnwharf.recovery_core import phases, queries
from fawnwharf.zones.settings import DurationMs, SettingsFileError

VERSION = 1
BOOT_FILE = "/proc/sys/kernel/random/boot_id"
MAX_STORE_LIMIT = 2**40

Share = Annotated[float, Meta(gt=0.0, le=1.0)]


class StoreSettings(file_format.StoreLimits, frozen=True, forbid_unknown_fields=True):
    """Limits of the durable store."""


class TimingSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """When the recovery phases end, as in `phases.PhaseTiming`; the leader's values apply to the fleet."""

    listen_ms: DurationMs = 3_000.0
    window_ms: DurationMs = 13_500.0
    hold_ms: DurationMs = 1_000.0
    most_ms: DurationMs = 8_000.0
    over_ms: DurationMs = 1_000.0
    settle_ms: DurationMs = 30_000.0
    valid_ms: DurationMs = 2_000.0
    alone_ms: DurationMs = 5_000.0
    good: Share = 0.9
    slow: Annotated[float, Meta(gt=1.0, le=100.0)] = 2.5

    @property
    def of_phases(self) -> phases.PhaseTiming:
        """The same settings in the recovery core's type."""
        return phases.PhaseTiming(**msgspec.structs.asdict(self))


class PaceSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Intervals of queries and of messages."""

    again_ms: DurationMs = 200.0  # a query without an answer is sent again after this
    spread_ms: DurationMs = 200.0  # front ends that start together spread their queries over this
    stand_ms: DurationMs = 200.0  # interval of a front end's status reports to the leader
    stage_ms: DurationMs = 300.0  # interval of the leader's announcements

    @property
    def of_queries(self) -> queries.QueryPace:
        """The same settings in the recovery core's type."""
        return queries.QueryPace(self.again_ms, self.spread_ms)


class Settings(Struct, frozen=True, forbid_unknown_fields=True):
    """The whole settings file."""

    version: int
    folder: Annotated[str, Meta(min_length=1, max_length=1024)]  # relative to the folder of this file
    fetches: Annotated[int, Meta(ge=1, le=1_000_000)]  # concurrent loads that the model store supports
    scorer_rps: Annotated[float, Meta(gt=0.0, le=1e6)]  # calls per second to a warm scorer normally
    boot_file: Annotated[str, Meta(max_length=1024)] = BOOT_FILE  # file with the boot id; empty: none
    store: StoreSettings = StoreSettings()
    timing: TimingSettings = TimingSettings()
    pace: PaceSettings = PaceSettings()


def settings_from(data: bytes | Any) -> Settings:
    """Parse the settings from JSON or decoded JSON; raises SettingsFileError if they are malformed."""
    settings = _converted(data)
    _check_store(settings.store)
    if settings.timing.valid_ms > settings.timing.alone_ms:
        raise SettingsFileError("timing.valid_ms: longer than timing.alone_ms")
    if settings.pace.stage_ms * 2 > settings.timing.valid_ms:
        raise SettingsFileError("pace.stage_ms: two do not fit into timing.valid_ms")
    return settings


def _converted(data: bytes | Any) -> Settings:
    try:
        raw = msgspec.json.decode(data) if isinstance(data, bytes) else data
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise SettingsFileError(f"settings: not JSON: {' '.join(str(error).split())[:200]}") from None
    if isinstance(raw, dict) and raw.get("version") != VERSION:
        raise SettingsFileError(f"version: {raw.get('version')!r}, and this program knows {VERSION}")
    try:
        return msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        raise SettingsFileError(f"{place.rstrip('`').lstrip('.') or 'settings'}: {text}") from None


def _check_store(store: StoreSettings) -> None:
    for key, value in msgspec.structs.asdict(store).items():
        if not 0 < value < MAX_STORE_LIMIT:
            raise SettingsFileError(f"store.{key}: not between 0 and 2^40")
    if store.piece_bytes > store.state_bytes:
        raise SettingsFileError("store.piece_bytes: more than store.state_bytes")
    if store.retry_ms > store.retry_most_ms:
        raise SettingsFileError("store.retry_ms: more than store.retry_most_ms")
