"""The operators' file for replicated state. Pure: bytes in, a value or one line out.

JSON, taken whole or not at all; a faulty one raises FileFault, whose text names the key. Durations are
milliseconds. Who belongs to the fleet stands in the same file of members that zones use.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from fawnwharf.zones.settings import (
    DurationMs,
    Fraction,
    Membership,
    Name,
    SettingsFileError,
    decode_versioned_file,
)

VERSION = 1
KEEPER_ZONES = (1, 3, 5)

ClaimMode = Literal["before", "after", "off"]


class StoreLimits(Struct, frozen=True):
    """What a front end holds of others' calls. Answers go first, then nothing new is taken."""

    calls: Annotated[int, Meta(ge=1, le=1_000_000)] = 15_000
    bytes: Annotated[int, Meta(ge=1_024, le=1 << 30)] = 4 * 1024 * 1024  # of answers
    answer_bytes: Annotated[int, Meta(ge=0, le=16_384)] = 2_048  # a longer one is kept as its digest
    waiters: Annotated[int, Meta(ge=1)] = 8  # front ends that wait for one call's answer


class ReplicationSettings(Struct, frozen=True):
    """The one file that switches replicated state on. Relative paths are from its own folder."""

    version: int
    members: str
    listen: str = ""  # where it differs from the member's `state`
    folder: str = ""  # for what a keeper grants, so that it knows after a restart; none: in memory alone
    zones: Annotated[int, Meta(ge=1, le=5)] = 3  # that keep each call, by one front end each
    per_zone: Annotated[int, Meta(ge=1, le=8)] = 1  # front ends of a zone that share its calls
    modes: dict[Name, ClaimMode] = {}  # by class; at most once 'before', keyed 'after', idempotent 'off'
    unkept: Literal["refuse", "serve"] = "refuse"  # what becomes of a 'before' that can't be kept
    wait_part: Fraction = 0.25  # of a class's promise, for keepers to answer
    wait_most_ms: DurationMs = 500.0
    call_most_ms: DurationMs = 5_000.0  # the longest that a client waits
    window_ms: DurationMs = 6_000.0  # beyond that, in which a call's repeats are known
    skew: Annotated[float, Meta(ge=0.0, le=0.5)] = 0.1  # by which clocks' rates may differ
    quiet_ms: DurationMs = 1_500.0  # without a word for so long a front end is held to be gone
    compare_ms: DurationMs = 2_000.0  # pace at which keepers compare what they hold
    shares: bool = True  # tenants' quotas are divided by what comes to each front end
    hints: bool = False  # scorers that several front ends hold bad rest at the others too
    hints_ms: DurationMs = 250.0  # pace at which those are told
    use_ms: DurationMs = 500.0  # pace at which that is told
    elsewhere: bool = False  # sends to cold scorers, loads under way and proved copies are told
    elsewhere_ms: DurationMs = 250.0  # pace at which those are told
    cold_told_ms: DurationMs = 100.0  # while a scorer is cold, or a load under way
    word_ms: DurationMs = 1_000.0  # a word on sends and loads counts for so long
    copies_ms: DurationMs = (
        3_000.0  # a copy counts for so long after its proof, and for half its idle life at most
    )
    bounds: StoreLimits = msgspec.field(default_factory=StoreLimits)

    @property
    def longest_ms(self) -> float:
        """After so long nothing that was asked before counts."""
        return self.call_most_ms + self.window_ms


def parse_settings(data: bytes) -> ReplicationSettings:
    found: ReplicationSettings = decode_versioned_file(data, ReplicationSettings, "settings", VERSION)
    if found.zones not in KEEPER_ZONES:
        raise SettingsFileError(f"zones: {found.zones}, and it takes 1, 3 or 5")
    if found.quiet_ms < 2 * found.wait_most_ms:
        raise SettingsFileError("quiet_ms: less than twice wait_most_ms")
    if found.window_ms < 2 * found.wait_most_ms:
        raise SettingsFileError("window_ms: less than twice wait_most_ms")
    if found.cold_told_ms > found.elsewhere_ms:
        raise SettingsFileError("cold_told_ms: more than elsewhere_ms")
    if found.word_ms < 3 * found.elsewhere_ms:
        raise SettingsFileError("word_ms: less than three times elsewhere_ms")
    if found.copies_ms < found.word_ms:
        raise SettingsFileError("copies_ms: less than word_ms")
    return found


def check_members(members: Membership, settings: ReplicationSettings) -> None:
    """Whether this fleet can keep state as the settings ask; raises FileFault."""
    able = {member.zone for member in members.members if member.state}
    if len(able) < settings.zones:
        raise SettingsFileError(
            f"members: {len(able)} zones with a `state` address, and zones asks {settings.zones}"
        )
