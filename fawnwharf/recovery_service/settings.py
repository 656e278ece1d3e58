"""The operators' file that joins recovery to a front end, `deploy/recovery.json`. Pure.

JSON, taken whole or not at all; a faulty one raises FileFault, whose text names the key. Durations are
milliseconds.
"""

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from fawnwharf.durable_store import file_format
from fawnwharf.recovery_core import phases, queries
from fawnwharf.zones.settings import DurationMs, SettingsFileError

VERSION = 1
BOOT_FILE = "/proc/sys/kernel/random/boot_id"

Part = Annotated[float, Meta(gt=0.0, le=1.0)]


class Store(file_format.StoreLimits, frozen=True, forbid_unknown_fields=True):
    """Bounds of the durable store."""


class Timing(Struct, frozen=True, forbid_unknown_fields=True):
    """How the stages of a recovery are left, as `stages.Timing`. The leader's count for the fleet."""

    listen_ms: DurationMs = 3_000.0
    window_ms: DurationMs = 13_500.0
    hold_ms: DurationMs = 1_000.0
    most_ms: DurationMs = 8_000.0
    over_ms: DurationMs = 1_000.0
    settle_ms: DurationMs = 30_000.0
    valid_ms: DurationMs = 2_000.0
    alone_ms: DurationMs = 5_000.0
    good: Part = 0.9
    slow: Annotated[float, Meta(gt=1.0, le=100.0)] = 2.5

    @property
    def of_stages(self) -> phases.PhaseTiming:
        return phases.PhaseTiming(**msgspec.structs.asdict(self))


class Pace(Struct, frozen=True, forbid_unknown_fields=True):
    """Of questions and of words."""

    again_ms: DurationMs = 200.0  # what is not answered is asked again
    spread_ms: DurationMs = 200.0  # front ends that start together ask spread over this
    stand_ms: DurationMs = 200.0  # a front end tells the leader how it stands
    stage_ms: DurationMs = 300.0  # the leader tells the stage

    @property
    def of_asking(self) -> queries.QueryPace:
        return queries.QueryPace(self.again_ms, self.spread_ms)


class Settings(Struct, frozen=True, forbid_unknown_fields=True):
    """The one file that switches recovery on."""

    version: int
    folder: Annotated[str, Meta(min_length=1, max_length=1024)]  # relative: from the settings' own folder
    fetches: Annotated[int, Meta(ge=1, le=1_000_000)]  # loads at a time that the model store takes well
    scorer_rps: Annotated[float, Meta(gt=0.0, le=1e6)]  # what a warm scorer is sent in calm
    boot_file: Annotated[str, Meta(max_length=1024)] = BOOT_FILE  # the mark of a boot; empty: none
    store: Store = Store()
    timing: Timing = Timing()
    pace: Pace = Pace()


def settings_from(data: bytes | Any) -> Settings:
    """Raises FileFault."""
    try:
        raw = msgspec.json.decode(data) if isinstance(data, bytes) else data
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise SettingsFileError(f"settings: not JSON: {' '.join(str(error).split())[:200]}") from None
    if isinstance(raw, dict) and raw.get("version") != VERSION:
        raise SettingsFileError(f"version: {raw.get('version')!r}, and this program knows {VERSION}")
    try:
        found = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        raise SettingsFileError(f"{place.rstrip('`').lstrip('.') or 'settings'}: {text}") from None
    for key, value in msgspec.structs.asdict(found.store).items():
        if not 0 < value < 2**40:
            raise SettingsFileError(f"store.{key}: not between 0 and 2^40")
    store, timing, pace = found.store, found.timing, found.pace
    if store.piece_bytes > store.state_bytes:
        raise SettingsFileError("store.piece_bytes: more than store.state_bytes")
    if store.retry_ms > store.retry_most_ms:
        raise SettingsFileError("store.retry_ms: more than store.retry_most_ms")
    if timing.valid_ms > timing.alone_ms:
        raise SettingsFileError("timing.valid_ms: longer than timing.alone_ms")
    if pace.stage_ms * 2 > timing.valid_ms:
        raise SettingsFileError("pace.stage_ms: two do not fit into timing.valid_ms")
    return found
