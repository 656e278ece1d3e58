"""The operators' files for zones: settings, members and requests. Pure.

Each is JSON, taken whole or not at all; a faulty one raises FileFault, whose text names the key. Durations
are milliseconds, shares are parts of one.
"""

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

VERSION = 1
MAX_MEMBERS = 2_000
VOTER_COUNTS = (1, 3, 5, 7)  # one alone is for trials: nothing is decided while it is away

Name = Annotated[str, Meta(min_length=1, max_length=48, pattern=r"^[0-9A-Za-z_.:-]+$")]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]
DurationMs = Annotated[float, Meta(gt=0.0, le=3_600_000.0)]
HostPort = Annotated[str, Meta(min_length=3, max_length=64, pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]


class SettingsFileError(ValueError):
    """A file that can't be taken; the text names the key."""


class MemberEntry(Struct, frozen=True):
    """One front end: the address of its log, and of its ballots where it votes."""

    name: Name
    zone: Name
    address: HostPort
    region: Annotated[str, Meta(max_length=48)] = ""
    ballots: HostPort | None = None  # voters have one
    state: HostPort | None = None  # where its log of replicated state is, where it keeps any


class Membership(Struct, frozen=True):
    """The members of the fleet; a later file has a larger number."""

    version: int
    fleet: Name
    number: Annotated[int, Meta(ge=1)]
    members: Annotated[list[MemberEntry], Meta(min_length=1, max_length=MAX_MEMBERS)]

    @property
    def voters(self) -> list[MemberEntry]:
        """The members that vote."""
        return [member for member in self.members if member.ballots]

    @property
    def zones(self) -> dict[str, str]:
        """Each zone and its region."""
        return {member.zone: member.region for member in self.members}

    def named(self, name: str) -> MemberEntry | None:
        """The member of this name; None for an unknown one."""
        return next((member for member in self.members if member.name == name), None)


class EvidenceSettings(Struct, frozen=True):
    """When evidence on a zone counts, and for what."""

    window_ms: DurationMs = 2_000.0  # what was seen longer ago is forgotten
    least: Annotated[int, Meta(ge=1)] = 3  # signs that a view of a zone rests on
    dead_share: Fraction = 0.8  # of the signs bad: the zone is dead for this observer
    slow_share: Fraction = 0.5  # of the answers slow
    report_ms: DurationMs = 300.0  # pace of reports
    report_life_ms: DurationMs = 1_200.0  # and how long one counts
    quiet_ms: DurationMs = 400.0  # with no good sign for so long, `least` bad scorers are enough
    hush_ms: DurationMs = 700.0  # a front end without a report for so long does not speak for its zone
    witnesses: Annotated[int, Meta(ge=1)] = 2  # observers that a zone's word takes, where it has so many


class DampingSettings(Struct, frozen=True):
    """How long evidence has to last before anything follows from it."""

    out_ms: DurationMs = 1_500.0
    sure_ms: DurationMs = 400.0  # the same where nobody in the zone is heard, and all that see others agree
    slow_ms: DurationMs = 5_000.0
    back_ms: DurationMs = 3_000.0  # and twice that for each time it went out lately
    back_most_ms: DurationMs = 60_000.0
    flap_ms: DurationMs = 600_000.0  # for so long a time out counts
    leave_ms: DurationMs = 3_000.0  # from leaving to out


class RampSettings(Struct, frozen=True):
    """How a zone returns: what parts of its scorers, and for how long each."""

    shares: Annotated[tuple[Fraction, ...], Meta(min_length=1, max_length=20)] = (0.25, 0.5, 0.75)
    step_ms: DurationMs = 3_000.0


class SpilloverSettings(Struct, frozen=True):
    """What a zone may be sent from others' front ends, as a part of its size."""

    share: Fraction = 0.5
    zones: dict[str, Fraction] = {}  # where it differs


class ConsensusSettings(Struct, frozen=True):
    """Times of the consensus protocol, and the part by which clocks' rates may differ."""

    beat_ms: DurationMs = 150.0
    election_ms: DurationMs = 1_000.0
    skew: Annotated[float, Meta(ge=0.0, le=0.5)] = 0.1
    fresh_ms: DurationMs = 500.0  # pace at which a leader says that its plan is the last one
    valid_ms: DurationMs = 2_000.0  # without hearing so for this long a plan is old


class ZoneSettings(Struct, frozen=True):
    """The file that switches zones on; relative paths are from its own folder."""

    version: int
    members: str
    folder: str  # for terms, votes and decisions; it has to outlive the process
    wishes: str = ""  # what operators ask of this member; in `folder` where it is not said
    listen: str = ""  # where it differs from the member's address
    listen_ballots: str = ""
    evidence: EvidenceSettings = msgspec.field(default_factory=EvidenceSettings)
    damping: DampingSettings = msgspec.field(default_factory=DampingSettings)
    ramp: RampSettings = msgspec.field(default_factory=RampSettings)
    spill: SpilloverSettings = msgspec.field(default_factory=SpilloverSettings)
    voting: ConsensusSettings = msgspec.field(default_factory=ConsensusSettings)


class OperatorRequest(Struct, frozen=True):
    """An operator's request: these zones drained. A later one has a larger number."""

    version: int = VERSION
    number: Annotated[int, Meta(ge=0)] = 0
    drained: Annotated[tuple[Name, ...], Meta(max_length=64)] = ()


def decode_versioned_file(data: bytes, kind: type, what: str, version: int) -> Any:
    """Decode a file of JSON by its type, whose `version` has to be this one.

    Raises FileFault with the key at fault, or `what` for the whole file.
    """
    try:
        found = msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        raise SettingsFileError(f"{place.rstrip('`').lstrip('.') or what}: {text}") from None
    except (msgspec.DecodeError, RecursionError) as error:
        raise SettingsFileError(f"{what}: not JSON: {error}") from None
    if found.version != version:
        raise SettingsFileError(f"version: {found.version}, and this program knows {version}")
    return found


def _read(data: bytes | Any, kind: type, what: str) -> Any:
    try:
        value = msgspec.json.decode(data) if isinstance(data, bytes) else data
    except (msgspec.DecodeError, RecursionError) as error:
        raise SettingsFileError(f"{what}: not JSON: {error}") from None
    if isinstance(value, dict) and value.get("version") != VERSION:
        raise SettingsFileError(f"version: {value.get('version')!r}, and this program knows {VERSION}")
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        raise SettingsFileError(f"{place.rstrip('`').lstrip('.') or what}: {text}") from None


def membership_from(data: bytes | Any) -> Membership:
    """Parse a file of members and check it; raises FileFault.

    Voters are spread: no zone goes without one while another has two.
    """
    members: Membership = _read(data, Membership, "members")
    seen: dict[str, int] = {}
    used: dict[str, int] = {}
    regions: dict[str, str] = {}
    for n, member in enumerate(members.members):
        if member.name in seen:
            raise SettingsFileError(f"members[{n}].name: {member.name} stands twice")
        seen[member.name] = n
        for key in ("address", "ballots", "state"):
            place = getattr(member, key)
            if place is not None and place in used:
                raise SettingsFileError(f"members[{n}].{key}: {place} stands twice")
            used[place] = n
        if regions.setdefault(member.zone, member.region) != member.region:
            raise SettingsFileError(f"members[{n}].region: zone {member.zone} stands in two")
    voters = members.voters
    if len(voters) not in VOTER_COUNTS:
        raise SettingsFileError(f"members: {len(voters)} voters, and it takes 3, 5 or 7")
    counts = {zone: sum(voter.zone == zone for voter in voters) for zone in regions}
    bare = [zone for zone, count in counts.items() if count == 0]
    if bare and max(counts.values()) > 1:
        raise SettingsFileError(f"members: zone {bare[0]} has no voter, and another has two")
    return members


def settings_from(data: bytes | Any) -> ZoneSettings:
    """Parse and check the settings; raises FileFault."""
    settings: ZoneSettings = _read(data, ZoneSettings, "settings")
    if list(settings.ramp.shares) != sorted(settings.ramp.shares):
        raise SettingsFileError("ramp.shares: not in rising order")
    if settings.evidence.report_life_ms < 2 * settings.evidence.report_ms:
        raise SettingsFileError("evidence.report_life_ms: less than two reports")
    if settings.evidence.hush_ms < 2 * settings.evidence.report_ms:
        raise SettingsFileError("evidence.hush_ms: less than two reports")
    if settings.damping.sure_ms > settings.damping.out_ms:
        raise SettingsFileError("damping.sure_ms: longer than damping.out_ms")
    if settings.voting.beat_ms * 3 > settings.voting.election_ms:
        raise SettingsFileError("voting.beat_ms: three do not fit into voting.election_ms")
    if settings.voting.fresh_ms * 2 > settings.voting.valid_ms:
        raise SettingsFileError("voting.fresh_ms: two do not fit into voting.valid_ms")
    return settings


def operator_request_from(data: bytes | Any, zones: set[str]) -> OperatorRequest:
    """Parse requests: they may name zones of the fleet, and have to leave one that serves.

    Raises FileFault.
    """
    wishes: OperatorRequest = _read(data, OperatorRequest, "wishes")
    for n, zone in enumerate(wishes.drained):
        if zone not in zones:
            raise SettingsFileError(f"drained[{n}]: no zone {zone}")
    if zones and set(wishes.drained) >= zones:
        raise SettingsFileError("drained: all zones would be out")
    return wishes
