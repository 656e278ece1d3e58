"""Parses the files that operators write for zones: settings, membership and operator requests.

Each file is JSON, and is either accepted or rejected completely. A faulty file raises SettingsFileError with
the key in its text. Durations are in milliseconds, fractions are between 0 and 1. The module does no I/O.
"""

from collections.abc import Collection
from pathlib import Path
from typing import Annotated, Any, Protocol, TypeVar

import msgspec
from msgspec import Meta, Struct

VERSION = 1
MAX_MEMBERS = 2_000
VOTER_COUNTS = (1, 3, 5, 7)  # a single voter is for tests only: nothing is decided while it is down

Name = Annotated[str, Meta(min_length=1, max_length=48, pattern=r"^[0-9A-Za-z_.:-]+$")]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]
DurationMs = Annotated[float, Meta(gt=0.0, le=3_600_000.0)]
HostPort = Annotated[str, Meta(min_length=3, max_length=64, pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]


class SettingsFileError(ValueError):
    """A file that cannot be accepted; the text names the key."""


class MemberEntry(Struct, frozen=True):
    """One front end of the fleet, as the membership file names it."""

    name: Name
    zone: Name
    address: HostPort  # of its member log
    region: Annotated[str, Meta(max_length=48)] = ""
    # The address of its voter log; only voters have one.
    voter_address: HostPort | None = msgspec.field(name="ballots", default=None)
    # The address of its log of replicated state; only members that keep such state have one.
    replication_address: HostPort | None = msgspec.field(name="state", default=None)


class Membership(Struct, frozen=True):
    """The members of the fleet; a later membership file has a larger number."""

    version: int
    fleet: Name
    number: Annotated[int, Meta(ge=1)]
    members: Annotated[list[MemberEntry], Meta(min_length=1, max_length=MAX_MEMBERS)]

    @property
    def voters(self) -> list[MemberEntry]:
        """The members that are voters."""
        return [member for member in self.members if member.voter_address]

    @property
    def zones(self) -> dict[str, str]:
        """The region of each zone, by the zone's name."""
        return {member.zone: member.region for member in self.members}

    def find_member(self, name: str) -> MemberEntry | None:
        """The member with this name, or None."""
        return next((member for member in self.members if member.name == name), None)


class EvidenceSettings(Struct, frozen=True):
    """How much health evidence determines a view of a zone, and how long it counts."""

    # Evidence older than this is discarded.
    window_ms: DurationMs = 2_000.0
    # The minimum number of observations, or of failing scorers, for a view of a zone.
    min_observations: Annotated[int, Meta(ge=1)] = msgspec.field(name="least", default=3)
    # A zone is dead for an observer if failures reach this fraction of all observations.
    dead_fraction: Fraction = msgspec.field(name="dead_share", default=0.8)
    # A zone is slow for an observer if slow responses reach this fraction of all responses.
    slow_fraction: Fraction = msgspec.field(name="slow_share", default=0.5)
    # The interval between a member's reports.
    report_interval_ms: DurationMs = msgspec.field(name="report_ms", default=300.0)
    # A report older than this is ignored, whether it shows a zone as alive or as dead.
    report_ttl_ms: DurationMs = msgspec.field(name="report_life_ms", default=1_200.0)
    # A zone with `min_observations` failing scorers is dead after this time without a success.
    no_success_ms: DurationMs = msgspec.field(name="quiet_ms", default=400.0)
    # A front end that has not reported for this long counts as silent. A zone is lost if at least half of its
    # front ends are silent and the other zones find it dead.
    reporter_silence_ms: DurationMs = msgspec.field(name="hush_ms", default=700.0)
    # The minimum number of observers behind a zone's opinion, or all of them if the zone has fewer.
    min_observers: Annotated[int, Meta(ge=1)] = msgspec.field(name="witnesses", default=2)


class DampingSettings(Struct, frozen=True):
    """How long a condition must last before the plan changes."""

    # For a lost zone; and a shorter delay if no zone finds it alive and all of its front ends are silent.
    failover_delay_ms: DurationMs = msgspec.field(name="out_ms", default=1_500.0)
    unanimous_failover_delay_ms: DurationMs = msgspec.field(name="sure_ms", default=400.0)
    slow_delay_ms: DurationMs = msgspec.field(name="slow_ms", default=5_000.0)
    # Before a zone recovers; doubled for each recent failure after the first, up to the maximum.
    recovery_delay_ms: DurationMs = msgspec.field(name="back_ms", default=3_000.0)
    max_recovery_delay_ms: DurationMs = msgspec.field(name="back_most_ms", default=60_000.0)
    # After this time in service, one recent failure is no longer counted.
    flap_memory_ms: DurationMs = msgspec.field(name="flap_ms", default=600_000.0)
    # How long a zone drains before it is out.
    drain_ms: DurationMs = msgspec.field(name="leave_ms", default=3_000.0)


class RampSettings(Struct, frozen=True):
    """How a zone recovers: the fractions of its scorers that are opened, and the time between two steps."""

    fractions: Annotated[tuple[Fraction, ...], Meta(min_length=1, max_length=20)] = msgspec.field(
        name="shares", default=(0.25, 0.5, 0.75)
    )
    step_ms: DurationMs = 3_000.0


class SpilloverSettings(Struct, frozen=True):
    """How much load of other zones a zone accepts, as a fraction of its size."""

    fraction: Fraction = msgspec.field(name="share", default=0.5)
    # The fractions of zones that differ from it, by zone.
    fraction_by_zone: dict[str, Fraction] = msgspec.field(name="zones", default_factory=dict)


class ConsensusSettings(Struct, frozen=True):
    """Timing of the consensus protocol."""

    heartbeat_ms: DurationMs = msgspec.field(name="beat_ms", default=150.0)
    election_timeout_ms: DurationMs = msgspec.field(name="election_ms", default=1_000.0)
    # The fraction of any time span by which a clock may drift.
    max_clock_drift_ratio: Annotated[float, Meta(ge=0.0, le=0.5)] = msgspec.field(name="skew", default=0.1)
    # How often a leader confirms that its plan is the latest one.
    confirmation_interval_ms: DurationMs = msgspec.field(name="fresh_ms", default=500.0)
    # A plan expires if it has not been confirmed to be the latest one for this long.
    plan_validity_ms: DurationMs = msgspec.field(name="valid_ms", default=2_000.0)


class ZoneSettings(Struct, frozen=True):
    """The settings file, which switches zones on; relative paths in it start at its own folder."""

    version: int
    membership_file: str = msgspec.field(name="members")
    # The folder of the voter's persistent state, which must outlive the process.
    state_folder: str = msgspec.field(name="folder")
    # The file of operator requests to this member; if empty, `wishes.json` in the state folder.
    operator_request_file: str = msgspec.field(name="wishes", default="")
    # Addresses to listen at, where they differ from those in the membership file.
    listen: str = ""
    listen_voter_address: str = msgspec.field(name="listen_ballots", default="")
    evidence: EvidenceSettings = msgspec.field(default_factory=EvidenceSettings)
    damping: DampingSettings = msgspec.field(default_factory=DampingSettings)
    ramp: RampSettings = msgspec.field(default_factory=RampSettings)
    spillover: SpilloverSettings = msgspec.field(name="spill", default_factory=SpilloverSettings)
    consensus: ConsensusSettings = msgspec.field(name="voting", default_factory=ConsensusSettings)

    def operator_request_path(self, base: Path) -> Path:
        """The path of the operator requests to this member; `base` is the folder of the settings file."""
        if self.operator_request_file:
            return base / self.operator_request_file
        return base / self.state_folder / "wishes.json"


class DrainRequest(Struct, frozen=True):
    """An operator's request to drain these zones; a later request has a larger number."""

    version: int = VERSION
    number: Annotated[int, Meta(ge=0)] = 0
    drained: Annotated[tuple[Name, ...], Meta(max_length=64)] = ()


class VersionedFile(Protocol):
    """A decoded file with a format version."""

    @property
    def version(self) -> int:
        """The version of the file's format."""


VersionedT = TypeVar("VersionedT", bound=VersionedFile)
FileT = TypeVar("FileT")


def decode_versioned_file(data: bytes, kind: type[VersionedT], what: str, version: int) -> VersionedT:
    """Decode a JSON file into its type and check its version.

    Raises SettingsFileError, which names the faulty key, or `what` if the file as a whole is faulty.
    """
    try:
        decoded = msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as error:
        raise _validation_error(error, what) from None
    except (msgspec.DecodeError, RecursionError) as error:
        raise SettingsFileError(f"{what}: not JSON: {error}") from None
    if decoded.version != version:
        raise SettingsFileError(f"version: {decoded.version}, and this program knows {version}")
    return decoded


def _validation_error(error: msgspec.ValidationError, what: str) -> SettingsFileError:
    """The error for a value that fails validation; its text starts with the key."""
    text, _, path = str(error).partition(" - at `$")
    key = path.rstrip("`").lstrip(".")
    return SettingsFileError(f"{key or what}: {text}")


def _decode(data: bytes | Any, kind: type[FileT], what: str) -> FileT:
    """Decode a file or an already decoded value; checks the version before all other keys."""
    try:
        value = msgspec.json.decode(data) if isinstance(data, bytes) else data
    except (msgspec.DecodeError, RecursionError) as error:
        raise SettingsFileError(f"{what}: not JSON: {error}") from None
    if isinstance(value, dict) and value.get("version") != VERSION:
        raise SettingsFileError(f"version: {value.get('version')!r}, and this program knows {VERSION}")
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise _validation_error(error, what) from None


def membership_from(data: bytes | Any) -> Membership:
    """Parse a membership file and check it; raises SettingsFileError.

    Voters must be spread over the zones: no zone may lack a voter while another one has two.
    """
    membership = _decode(data, Membership, "members")
    _check_entries(membership.members)
    _check_voters(membership)
    return membership


def _check_entries(entries: list[MemberEntry]) -> None:
    """Check that names and addresses are unique, and that each zone is in one region."""
    names: set[str] = set()
    addresses: set[str] = set()
    regions: dict[str, str] = {}
    for index, entry in enumerate(entries):
        if entry.name in names:
            raise SettingsFileError(f"members[{index}].name: {entry.name} is used twice")
        names.add(entry.name)
        for key, address in (
            ("address", entry.address),
            ("ballots", entry.voter_address),
            ("state", entry.replication_address),
        ):
            if address is None:
                continue
            if address in addresses:
                raise SettingsFileError(f"members[{index}].{key}: {address} is used twice")
            addresses.add(address)
        if regions.setdefault(entry.zone, entry.region) != entry.region:
            raise SettingsFileError(f"members[{index}].region: zone {entry.zone} is in two regions")


def _check_voters(membership: Membership) -> None:
    """Check that the number of voters is allowed, and that they are spread over the zones."""
    voters = membership.voters
    if len(voters) not in VOTER_COUNTS:
        raise SettingsFileError(f"members: {len(voters)} voters, but 3, 5 or 7 are required")
    counts = {zone: sum(voter.zone == zone for voter in voters) for zone in membership.zones}
    zones_without = [zone for zone, count in counts.items() if count == 0]
    if zones_without and max(counts.values()) > 1:
        raise SettingsFileError(f"members: zone {zones_without[0]} has no voter, but another zone has two")


def settings_from(data: bytes | Any) -> ZoneSettings:
    """Parse and check the settings; raises SettingsFileError."""
    settings = _decode(data, ZoneSettings, "settings")
    evidence, damping, consensus = settings.evidence, settings.damping, settings.consensus
    fractions = list(settings.ramp.fractions)
    checks = (
        (fractions == sorted(fractions), "ramp.shares: not in ascending order"),
        (
            evidence.report_ttl_ms >= 2 * evidence.report_interval_ms,
            "evidence.report_life_ms: less than twice evidence.report_ms",
        ),
        (
            evidence.reporter_silence_ms >= 2 * evidence.report_interval_ms,
            "evidence.hush_ms: less than twice evidence.report_ms",
        ),
        (
            damping.unanimous_failover_delay_ms <= damping.failover_delay_ms,
            "damping.sure_ms: longer than damping.out_ms",
        ),
        (
            consensus.heartbeat_ms * 3 <= consensus.election_timeout_ms,
            "voting.beat_ms: more than a third of voting.election_ms",
        ),
        (
            consensus.confirmation_interval_ms * 2 <= consensus.plan_validity_ms,
            "voting.fresh_ms: more than half of voting.valid_ms",
        ),
    )
    for holds, text in checks:
        if not holds:
            raise SettingsFileError(text)
    return settings


def operator_request_from(data: bytes | Any, zones: Collection[str]) -> DrainRequest:
    """Parse an operator request; raises SettingsFileError.

    It may only name zones of the fleet, and must leave at least one zone in service.
    """
    request = _decode(data, DrainRequest, "wishes")
    for index, zone in enumerate(request.drained):
        if zone not in zones:
            raise SettingsFileError(f"drained[{index}]: no zone {zone}")
    if zones and set(request.drained) >= set(zones):
        raise SettingsFileError("drained: all zones would be out")
    return request
