"""Parses the operators' settings file for replicated state.

The file is JSON and is accepted as a whole or not at all. An invalid file raises SettingsFileError, whose
text names the key. Durations are in milliseconds. The members of the fleet are listed in the membership file,
which zones also use.
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
    """Limits of the claim store. A full store first drops answers, then accepts no new calls."""

    max_calls: Annotated[int, Meta(ge=1, le=1_000_000)] = msgspec.field(default=15_000, name="calls")
    # Bytes of all stored answers. Of an answer above the limit per answer, only the digest is stored.
    max_answer_bytes: Annotated[int, Meta(ge=1_024, le=1 << 30)] = msgspec.field(
        default=4 * 1024 * 1024, name="bytes"
    )
    max_single_answer_bytes: Annotated[int, Meta(ge=0, le=16_384)] = msgspec.field(
        default=2_048, name="answer_bytes"
    )
    # Front ends that may wait for one call's answer.
    max_waiters: Annotated[int, Meta(ge=1)] = msgspec.field(default=8, name="waiters")


class ReplicationSettings(Struct, frozen=True):
    """The settings file that enables replicated state; paths are relative to its own folder."""

    version: int
    membership_file: str = msgspec.field(name="members")
    listen: str = ""  # only if it differs from the member's `state` address
    folder: str = ""  # of the grant log, so that grants survive a restart; empty: memory only
    # The number of zones that store each call, on one replica each, and the number of replicas among which a
    # zone divides its calls.
    replica_zones: Annotated[int, Meta(ge=1, le=5)] = msgspec.field(default=3, name="zones")
    replicas_per_zone: Annotated[int, Meta(ge=1, le=8)] = msgspec.field(default=1, name="per_zone")
    # By class. The defaults are 'before' for at-most-once calls, 'after' for calls that scorers deduplicate,
    # and 'off' for idempotent calls.
    modes: dict[Name, ClaimMode] = {}
    # What happens to a call of mode 'before' that gets no quorum.
    on_unclaimed: Literal["refuse", "serve"] = msgspec.field(default="refuse", name="unkept")
    # How long to wait for the replicas: this fraction of the class's latency target, up to the limit.
    wait_fraction: Fraction = msgspec.field(default=0.25, name="wait_part")
    max_wait_ms: DurationMs = msgspec.field(default=500.0, name="wait_most_ms")
    # The longest time that a client waits.
    max_call_ms: DurationMs = msgspec.field(default=5_000.0, name="call_most_ms")
    # How long a repeat of a call is recognized, in addition to the longest time of a call.
    repeat_window_ms: DurationMs = msgspec.field(default=6_000.0, name="window_ms")
    # The fraction by which the rates of two clocks may differ.
    clock_skew: Annotated[float, Meta(ge=0.0, le=0.5)] = msgspec.field(default=0.1, name="skew")
    # A front end that is silent for longer is considered dead.
    silence_timeout_ms: DurationMs = msgspec.field(default=1_500.0, name="quiet_ms")
    compare_interval_ms: DurationMs = msgspec.field(default=2_000.0, name="compare_ms")
    # Whether tenants' quotas are divided in proportion to the calls that each front end receives.
    quota_shares: bool = msgspec.field(default=True, name="shares")
    # Whether scorers that several front ends report are also ejected at the other front ends.
    outlier_ejection: bool = msgspec.field(default=False, name="hints")
    failure_report_interval_ms: DurationMs = msgspec.field(default=250.0, name="hints_ms")
    usage_interval_ms: DurationMs = msgspec.field(default=500.0, name="use_ms")
    # Whether sends to scorers in slow start, loads in flight and proven copies are reported. The second
    # interval applies while a scorer is in slow start or a load is in flight.
    load_reports: bool = msgspec.field(default=False, name="elsewhere")
    load_report_interval_ms: DurationMs = msgspec.field(default=250.0, name="elsewhere_ms")
    slow_start_report_interval_ms: DurationMs = msgspec.field(default=100.0, name="cold_told_ms")
    load_report_lifetime_ms: DurationMs = msgspec.field(default=1_000.0, name="word_ms")
    # How long a copy is assumed to exist after its proof; at most half of the idle time of copies applies.
    copy_lifetime_ms: DurationMs = msgspec.field(default=3_000.0, name="copies_ms")
    limits: ClaimStoreLimits = msgspec.field(default_factory=ClaimStoreLimits, name="bounds")

    @property
    def max_claim_lifetime_ms(self) -> float:
        """The longest time for which a claim is valid after its request, on an exact clock."""
        return self.max_call_ms + self.repeat_window_ms


def parse_settings(data: bytes) -> ReplicationSettings:
    """Decode and check the settings file; raises SettingsFileError."""
    settings: ReplicationSettings = decode_versioned_file(data, ReplicationSettings, "settings", VERSION)
    if settings.replica_zones not in ALLOWED_REPLICA_ZONES:
        raise SettingsFileError(f"zones: {settings.replica_zones} is not 1, 3 or 5")
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
