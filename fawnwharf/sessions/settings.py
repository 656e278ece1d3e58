"""The operators' files for sessions: settings and requests. Pure.

JSON, taken whole or not at all; a faulty one raises FileFault, whose text names the key. Durations are
milliseconds.
"""

from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct
from msgspec.structs import replace

from fawnwharf.interface import ClassSpec
from fawnwharf.migration.settings import DrainSettings
from fawnwharf.migration.settings import Settings as Handover
from fawnwharf.session_types import Identifier, Session
from fawnwharf.zones.settings import Name, SettingsFileError, decode_versioned_file

VERSION = 1
MOVES_MOST = 1_000  # of one file


class Settings(Struct, frozen=True):
    """The file that switches sessions on; relative paths are from its own folder."""

    version: int
    folder: str = ""  # for what operators ask; that of state where it is not said, and this file's own else
    handover: Handover = msgspec.field(default_factory=Handover)
    drain: DrainSettings = msgspec.field(default_factory=DrainSettings)
    trace: str = ""  # trials alone: a file that gets a line for each call, and each session received
    foresight: dict[str, Any] | None = None  # checked by its own part; without it nothing is foreseen


class Asked(Struct, frozen=True):
    """A request: one session is to be placed at a zone."""

    org: Identifier
    row: Identifier
    site: Name

    @property
    def session(self) -> Session:
        """The session that it is about."""
        return Session(self.org, self.row)


class Wishes(Struct, frozen=True):
    """What operators ask of this member.

    Migrations are begun once, where a file with a larger number comes while it serves; zones are kept empty
    for as long as they are listed here.
    """

    version: int = VERSION
    number: Annotated[int, Meta(ge=0, le=1 << 53)] = 0
    moves: Annotated[tuple[Asked, ...], Meta(max_length=MOVES_MOST)] = ()
    drained: Annotated[tuple[Name, ...], Meta(max_length=64)] = ()


def settings_from(data: bytes) -> Settings:
    """Parse the file and check it by key; the part `foresight` is left to the prefetcher's own check."""
    found: Settings = decode_versioned_file(data, Settings, "sessions", VERSION)
    rules, drain = found.handover, found.drain
    if rules.lapse_ms < rules.stage_ms:
        raise SettingsFileError("handover.lapse_ms: less than handover.stage_ms")
    if rules.settle_ms < rules.give_up_ms * rules.stretch:
        raise SettingsFileError("handover.settle_ms: less than handover.give_up_ms, stretched by the skew")
    if rules.still_ms < rules.settle_ms:
        raise SettingsFileError("handover.still_ms: less than handover.settle_ms")
    if drain.dwell_most_ms < drain.dwell_ms:
        raise SettingsFileError("drain.dwell_most_ms: less than drain.dwell_ms")
    return found


def by_classes(settings: Settings, classes: dict[str, ClassSpec]) -> Settings:
    """The settings with the times that classes make longer: no call may last longer than they say."""
    rules = settings.handover
    longest = max([rules.give_up_ms, *(spec.deadline_ms for spec in classes.values())])
    settle = max(rules.settle_ms, 2 * longest * rules.stretch)
    changed = replace(rules, give_up_ms=longest, settle_ms=settle, still_ms=max(rules.still_ms, settle))
    return replace(settings, handover=changed)


def wishes_from(data: bytes, sites: set[str]) -> Wishes:
    """Parse requests: they may name zones of the fleet, and have to leave one that serves."""
    wishes: Wishes = decode_versioned_file(data, Wishes, "moves", VERSION)
    for n, asked in enumerate(wishes.moves):
        if asked.site not in sites:
            raise SettingsFileError(f"moves[{n}].site: no site {asked.site}")
    for n, site in enumerate(wishes.drained):
        if site not in sites:
            raise SettingsFileError(f"drained[{n}]: no site {site}")
    if sites and set(wishes.drained) >= sites:
        raise SettingsFileError("drained: no site would be left")
    return wishes


def wishes_place(settings: Settings, path: Path, state_folder: Path | None) -> Path:
    """The file of operators' requests, the same for the command line and the front end.

    `path` is that of the settings, `state_folder` what the settings of state name, if anything.
    """
    own = path.parent / settings.folder if settings.folder else state_folder or path.parent
    return own / "moves.json"
