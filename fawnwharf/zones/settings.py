"""The operators' files for zones: settings, members and requests. Pure.

Each is JSON, taken whole or not at all; a faulty one raises FileFault, whose text names the key. Durations
are milliseconds, shares are parts of one.
"""

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

VERSION = 1
MEMBERS_MOST = 2_000
VOTER_COUNTS = (1, 3, 5, 7)  # one alone is for trials: nothing is decided while it is away

Name = Annotated[str, Meta(min_length=1, max_length=48, pattern=r"^[0-9A-Za-z_.:-]+$")]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Span = Annotated[float, Meta(gt=0.0, le=3_600_000.0)]
HostPort = Annotated[str, Meta(min_length=3, max_length=64, pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]


class FileFault(ValueError):
    """A file that can't be taken; the text names the key."""


class MemberEntry(Struct, frozen=True):
    """One front end: the address of its log, and of its ballots where it votes."""

    name: Name
    zone: Name
    address: HostPort
    region: Annotated[str, Meta(max_length=48)] = ""
    ballots: HostPort | None = None  # voters have one
    state: HostPort | None = None  # where its log of replicated state is, where it keeps any


class Members(Struct, frozen=True):
    """The members of the fleet; a later file has a larger number."""

    version: int
    fleet: Name
    number: Annotated[int, Meta(ge=1)]
    members: Annotated[list[MemberEntry], Meta(min_length=1, max_length=MEMBERS_MOST)]

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


class Evidence(Struct, frozen=True):
    """When evidence on a zone counts, and for what."""

    window_ms: Span = 2_000.0  # what was seen longer ago is forgotten
    least: Annotated[int, Meta(ge=1)] = 3  # signs that a view of a zone rests on
    dead_share: Share = 0.8  # of the signs bad: the zone is dead for this observer
    slow_share: Share = 0.5  # of the answers slow
    report_ms: Span = 300.0  # pace of reports
    report_life_ms: Span = 1_200.0  # and how long one counts
    quiet_ms: Span = 400.0  # with no good sign for so long, `least` bad scorers are enough
    hush_ms: Span = 700.0  # a front end without a report for so long does not speak for its zone
    witnesses: Annotated[int, Meta(ge=1)] = 2  # observers that a zone's word takes, where it has so many


class Damping(Struct, frozen=True):
    """How long evidence has to last before anything follows from it."""

    out_ms: Span = 1_500.0
    sure_ms: Span = 400.0  # the same where nobody in the zone is heard, and all that see others agree
    slow_ms: Span = 5_000.0
    back_ms: Span = 3_000.0  # and twice that for each time it went out lately
    back_most_ms: Span = 60_000.0
    flap_ms: Span = 600_000.0  # for so long a time out counts
    leave_ms: Span = 3_000.0  # from leaving to out


class Ramp(Struct, frozen=True):
    """How a zone returns: what parts of its scorers, and for how long each."""

    shares: Annotated[tuple[Share, ...], Meta(min_length=1, max_length=20)] = (0.25, 0.5, 0.75)
    step_ms: Span = 3_000.0


class Spill(Struct, frozen=True):
    """What a zone may be sent from others' front ends, as a part of its size."""

    share: Share = 0.5
    zones: dict[str, Share] = {}  # where it differs


class Voting(Struct, frozen=True):
    """Times of the consensus protocol, and the part by which clocks' rates may differ."""

    beat_ms: Span = 150.0
    election_ms: Span = 1_000.0
    skew: Annotated[float, Meta(ge=0.0, le=0.5)] = 0.1
    fresh_ms: Span = 500.0  # pace at which a leader says that its plan is the last one
    valid_ms: Span = 2_000.0  # without hearing so for this long a plan is old


class Settings(Struct, frozen=True):
    """The file that switches zones on; relative paths are from its own folder."""

    version: int
    members: str
    folder: str  # for terms, votes and decisions; it has to outlive the process
    wishes: str = ""  # what operators ask of this member; in `folder` where it is not said
    listen: str = ""  # where it differs from the member's address
    listen_ballots: str = ""
    evidence: Evidence = msgspec.field(default_factory=Evidence)
    damping: Damping = msgspec.field(default_factory=Damping)
    ramp: Ramp = msgspec.field(default_factory=Ramp)
    spill: Spill = msgspec.field(default_factory=Spill)
    voting: Voting = msgspec.field(default_factory=Voting)


class Wishes(Struct, frozen=True):
    """An operator's request: these zones drained. A later one has a larger number."""

    version: int = VERSION
    number: Annotated[int, Meta(ge=0)] = 0
    drained: Annotated[tuple[Name, ...], Meta(max_length=64)] = ()


def file_from(data: bytes, kind: type, what: str, version: int) -> Any:
    """Decode a file of JSON by its type, whose `version` has to be this one.

    Raises FileFault with the key at fault, or `what` for the whole file.
    """
    try:
        found = msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        raise FileFault(f"{place.rstrip('`').lstrip('.') or what}: {text}") from None
    except (msgspec.DecodeError, RecursionError) as error:
        raise FileFault(f"{what}: not JSON: {error}") from None
    if found.version != version:
        raise FileFault(f"version: {found.version}, and this program knows {version}")
    return found


def _read(data: bytes | Any, kind: type, what: str) -> Any:
    try:
        value = msgspec.json.decode(data) if isinstance(data, bytes) else data
    except (msgspec.DecodeError, RecursionError) as error:
        raise FileFault(f"{what}: not JSON: {error}") from None
    if isinstance(value, dict) and value.get("version") != VERSION:
        raise FileFault(f"version: {value.get('version')!r}, and this program knows {VERSION}")
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        raise FileFault(f"{place.rstrip('`').lstrip('.') or what}: {text}") from None


def members_from(data: bytes | Any) -> Members:
    """Parse a file of members and check it; raises FileFault.

    Voters are spread: no zone goes without one while another has two.
    """
    members: Members = _read(data, Members, "members")
    seen: dict[str, int] = {}
    used: dict[str, int] = {}
    regions: dict[str, str] = {}
    for n, member in enumerate(members.members):
        if member.name in seen:
            raise FileFault(f"members[{n}].name: {member.name} stands twice")
        seen[member.name] = n
        for key in ("address", "ballots", "state"):
            place = getattr(member, key)
            if place is not None and place in used:
                raise FileFault(f"members[{n}].{key}: {place} stands twice")
            used[place] = n
        if regions.setdefault(member.zone, member.region) != member.region:
            raise FileFault(f"members[{n}].region: zone {member.zone} stands in two")
    voters = members.voters
    if len(voters) not in VOTER_COUNTS:
        raise FileFault(f"members: {len(voters)} voters, and it takes 3, 5 or 7")
    counts = {zone: sum(voter.zone == zone for voter in voters) for zone in regions}
    bare = [zone for zone, count in counts.items() if count == 0]
    if bare and max(counts.values()) > 1:
        raise FileFault(f"members: zone {bare[0]} has no voter, and another has two")
    return members


def settings_from(data: bytes | Any) -> Settings:
    """Parse and check the settings; raises FileFault."""
    settings: Settings = _read(data, Settings, "settings")
    if list(settings.ramp.shares) != sorted(settings.ramp.shares):
        raise FileFault("ramp.shares: not in rising order")
    if settings.evidence.report_life_ms < 2 * settings.evidence.report_ms:
        raise FileFault("evidence.report_life_ms: less than two reports")
    if settings.evidence.hush_ms < 2 * settings.evidence.report_ms:
        raise FileFault("evidence.hush_ms: less than two reports")
    if settings.damping.sure_ms > settings.damping.out_ms:
        raise FileFault("damping.sure_ms: longer than damping.out_ms")
    if settings.voting.beat_ms * 3 > settings.voting.election_ms:
        raise FileFault("voting.beat_ms: three do not fit into voting.election_ms")
    if settings.voting.fresh_ms * 2 > settings.voting.valid_ms:
        raise FileFault("voting.fresh_ms: two do not fit into voting.valid_ms")
    return settings


def wishes_from(data: bytes | Any, zones: set[str]) -> Wishes:
    """Parse requests: they may name zones of the fleet, and have to leave one that serves.

    Raises FileFault.
    """
    wishes: Wishes = _read(data, Wishes, "wishes")
    for n, zone in enumerate(wishes.drained):
        if zone not in zones:
            raise FileFault(f"drained[{n}]: no zone {zone}")
    if zones and set(wishes.drained) >= zones:
        raise FileFault("drained: all zones would be out")
    return wishes
