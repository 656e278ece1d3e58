"""The operators' settings file for replicated state: bytes in, a value or an error out.

The file is JSON and is taken complete or not at all. A faulty one raises SettingsFileError, whose text names
the key. Durations are milliseconds. The members of the fleet stand in the membership file that zones use,
too.
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
ALLOWED_REPLICA_ZONES = (1, 3, 5)

ClaimMode = Literal["before", "after", "off"]


class ClaimStoreLimits(Struct, frozen=True):
    """Limits on stored claims: when full, answers are dropped first, then new calls are not accepted."""

    max_calls: Annotated[int, Meta(ge=1, le=1_000_000)] = msgspec.field(default=15_000, name="calls")
    # Bytes of all stored answers; an answer that is longer than its own limit is stored as its digest.
    max_answer_bytes: Annotated[int, Meta(ge=1_024, le=1 << 30)] = msgspec.field(
        default=4 * 1024 * 1024, name="bytes"
    )
    max_single_answer_bytes: Annotated[int, Meta(ge=0, le=16_384)] = msgspec.field(
        default=2_048, name="answer_bytes"
    )
    # Front ends that wait for one call's answer.
    max_waiters: Annotated[int, Meta(ge=1)] = msgspec.field(default=8, name="waiters")


class ReplicationSettings(Struct, frozen=True):
    """The file that switches replicated state on; relative paths are from its own folder."""

    version: int
    membership_file: str = msgspec.field(name="members")
    listen: str = ""  # where it differs from the member's `state` address
    folder: str = ""  # for what a replica grants, so that it survives a restart; empty: memory only
    # Zones that store each call, by one front end each; front ends of a zone that divide its calls among
    # them.
    replica_zones: Annotated[int, Meta(ge=1, le=5)] = msgspec.field(default=3, name="zones")
    replicas_per_zone: Annotated[int, Meta(ge=1, le=8)] = msgspec.field(default=1, name="per_zone")
    # By class. Without an entry: at-most-once calls 'before', idempotent calls with a key 'after', others
    # 'off'.
    modes: dict[Name, ClaimMode] = {}
    # What becomes of a call of mode 'before' that gets no quorum.
    on_unclaimed: Literal["refuse", "serve"] = msgspec.field(default="refuse", name="unkept")
    # How long replicas have to answer: this part of the class's latency objective, up to the limit.
    wait_fraction: Fraction = msgspec.field(default=0.25, name="wait_part")
    max_wait_ms: DurationMs = msgspec.field(default=500.0, name="wait_most_ms")
    max_call_ms: DurationMs = msgspec.field(default=5_000.0, name="call_most_ms")  # a client waits no longer
    # Beyond the time of the call, how long a repeat of it is recognized.
    repeat_window_ms: DurationMs = msgspec.field(default=6_000.0, name="window_ms")
    # By which part the rates of two clocks may differ.
    clock_skew: Annotated[float, Meta(ge=0.0, le=0.5)] = msgspec.field(default=0.1, name="skew")
    # A front end that is silent for so long is taken to be gone.
    silence_timeout_ms: DurationMs = msgspec.field(default=1_500.0, name="quiet_ms")
    compare_interval_ms: DurationMs = msgspec.field(default=2_000.0, name="compare_ms")
    # Whether tenants' quotas are divided by the calls that come to each front end.
    quota_shares: bool = msgspec.field(default=True, name="shares")
    # Whether scorers that several front ends report are ejected at the others, too.
    outlier_ejection: bool = msgspec.field(default=False, name="hints")
    failure_report_interval_ms: DurationMs = msgspec.field(default=250.0, name="hints_ms")
    usage_interval_ms: DurationMs = msgspec.field(default=500.0, name="use_ms")
    # Whether sends to scorers in slow start, running loads and proven copies are reported; the second
    # interval holds while a scorer is in slow start or a load is running.
    load_reports: bool = msgspec.field(default=False, name="elsewhere")
    load_report_interval_ms: DurationMs = msgspec.field(default=250.0, name="elsewhere_ms")
    slow_start_report_interval_ms: DurationMs = msgspec.field(default=100.0, name="cold_told_ms")
    load_report_lifetime_ms: DurationMs = msgspec.field(default=1_000.0, name="word_ms")
    # How long a copy counts after its proof; half of the idle time of copies at the most.
    copy_lifetime_ms: DurationMs = msgspec.field(default=3_000.0, name="copies_ms")
    limits: ClaimStoreLimits = msgspec.field(default_factory=ClaimStoreLimits, name="bounds")

    @property
    def max_claim_lifetime_ms(self) -> float:
        """After so long no claim that was requested before counts, by an exact clock."""
        return self.max_call_ms + self.repeat_window_ms


def parse_settings(data: bytes) -> ReplicationSettings:
    """Decode and check the settings file; raises SettingsFileError."""
    settings: ReplicationSettings = decode_versioned_file(data, ReplicationSettings, "settings", VERSION)
    if settings.replica_zones not in ALLOWED_REPLICA_ZONES:
        raise SettingsFileError(f"zones: {settings.replica_zones}, and it takes 1, 3 or 5")
    if settings.silence_timeout_ms < 2 * settings.max_wait_ms:
        raise SettingsFileError("quiet_ms: less than twice wait_most_ms")
    if settings.repeat_window_ms < 2 * settings.max_wait_ms:
        raise SettingsFileError("window_ms: less than twice wait_most_ms")
    if settings.slow_start_report_interval_ms > settings.load_report_interval_ms:
        raise SettingsFileError("cold_told_ms: more than elsewhere_ms")
    if settings.load_report_lifetime_ms < 3 * settings.load_report_interval_ms:
        raise SettingsFileError("word_ms: less than three times elsewhere_ms")
    if settings.copy_lifetime_ms < settings.load_report_lifetime_ms:
        raise SettingsFileError("copies_ms: less than word_ms")
    return settings


def check_members(members: Membership, settings: ReplicationSettings) -> None:
    """Check that this fleet can replicate as the settings require; raises SettingsFileError."""
    zones = {member.zone for member in members.members if member.replication_address}
    if len(zones) < settings.replica_zones:
        raise SettingsFileError(
            f"members: {len(zones)} zones with a `state` address, and zones asks {settings.replica_zones}"
        )
