"""Failure detector of zones: combines the members' reports into a verdict on each zone.

Pure. Each zone has an opinion of each other one, by the majority of its observers. A zone is lost when most
other zones find it dead, and its own front ends find the same or are silent.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fawnwharf.zones.evidence import ZoneHealth, zone_health
from fawnwharf.zones.report import Report
from fawnwharf.zones.settings import EvidenceSettings, Membership


@dataclass(slots=True)
class ZoneVerdict:
    """What the reports amount to for one zone at one moment."""

    # Several may hold at once: lost implies dead, unanimous implies lost; lost excludes slow and healthy.
    dead: bool = False  # more of the other zones find it dead than alive, whatever its own front ends report
    lost: bool = False  # dead, and its own front ends agree or are silent
    slow: bool = False  # not lost, and more than half of the zones with an opinion find it slow
    unanimous: bool = False  # lost: all of its front ends are silent, and no other zone sees it alive
    healthy: bool = False  # some zone sees it alive, and it is not lost
    unreachable_from: set[str] = field(default_factory=set)  # zones that find it dead while it is not lost
    reason: str = ""  # why it is lost or dead, for operators; empty otherwise


@dataclass(slots=True, frozen=True)
class _Opinions:
    """The opinion of each zone, the source, on each zone, the target."""

    by_pair: dict[tuple[str, str], ZoneHealth]

    def of(self, source: str, target: str) -> ZoneHealth:
        """The opinion of one zone on another one, or on itself."""
        return self.by_pair[source, target]


MemberViews = dict[str, dict[str, ZoneHealth]]  # by member, by zone


class FailureDetector:
    """Combines current reports into verdicts."""

    def __init__(self, settings: EvidenceSettings) -> None:
        self._settings = settings

    def verdicts(
        self, membership: Membership, reports: dict[str, Report], present: set[str]
    ) -> dict[str, ZoneVerdict]:
        """The verdict on each zone.

        `reports` are the current ones by member; `present` names the members that reported lately enough to
        count as running.
        """
        views: MemberViews = {
            name: {zone: zone_health(report.evidence.get(zone), self._settings) for zone in membership.zones}
            for name, report in reports.items()
        }
        trusted = {name: view for name, view in views.items() if not _is_isolated(view.values())}
        # A member's last report on other zones counts for a while; its report on its own zone counts no
        # longer than it is present.
        trusted_present = {name: view for name, view in trusted.items() if name in present}
        opinions = _Opinions(
            {
                (source, target): self._opinion(
                    source, target, membership, trusted_present if source == target else trusted
                )
                for source in membership.zones
                for target in membership.zones
            }
        )
        return {zone: _verdict(zone, membership, present, opinions) for zone in membership.zones}

    def _opinion(self, source: str, target: str, membership: Membership, views: MemberViews) -> ZoneHealth:
        """One zone's opinion of another one: what more than half of its observers with a view report.

        Only enough observers make a zone dead or slow.
        """
        observers = [member.name for member in membership.members if member.zone == source]
        reported = [views[name][target] for name in observers if name in views]
        known = [health for health in reported if health is not ZoneHealth.UNKNOWN]
        min_observers = min(self._settings.min_observers, len(observers))
        for health in (ZoneHealth.DEAD, ZoneHealth.SLOW):
            if 2 * known.count(health) > len(known) and known.count(health) >= min_observers:
                return health
        alive = known.count(ZoneHealth.GOOD) + known.count(ZoneHealth.SLOW)
        return ZoneHealth.GOOD if 2 * alive > len(known) else ZoneHealth.UNKNOWN


def _is_isolated(views: Iterable[ZoneHealth]) -> bool:
    """Whether an observer finds all zones dead, two at least: then it is cut off itself, and not trusted."""
    known = [health for health in views if health is not ZoneHealth.UNKNOWN]
    return len(known) >= 2 and all(health is ZoneHealth.DEAD for health in known)


def _is_alive(health: ZoneHealth) -> bool:
    return health in (ZoneHealth.GOOD, ZoneHealth.SLOW)


def _verdict(zone: str, membership: Membership, present: set[str], opinions: _Opinions) -> ZoneVerdict:
    """The verdict on one zone, by the opinions of all."""
    others = {source: opinions.of(source, zone) for source in membership.zones if source != zone}
    own = opinions.of(zone, zone)
    find_it_dead = sorted(source for source, health in others.items() if health is ZoneHealth.DEAD)
    find_it_alive = [source for source, health in others.items() if _is_alive(health)]
    own_members = [member.name for member in membership.members if member.zone == zone]
    own_present = sum(name in present for name in own_members)
    mostly_silent = 2 * own_present <= len(own_members)
    confirmed = own is ZoneHealth.DEAD or (mostly_silent and own is not ZoneHealth.GOOD)

    verdict = ZoneVerdict(healthy=_is_alive(own) or bool(find_it_alive))
    verdict.dead = len(find_it_dead) > len(find_it_alive)
    if verdict.dead and confirmed:
        verdict.lost = True
        verdict.healthy = False
        verdict.unanimous = not own_present and not find_it_alive
        names = ", ".join(find_it_dead)
        verdict.reason = f"dead for {names}; {own_present} of its {len(own_members)} front ends heard"
    elif len(membership.zones) == 1 and own is ZoneHealth.DEAD:
        verdict.reason = "dead for itself, and no other zone to go to"
    elif find_it_dead:
        verdict.unreachable_from = set(find_it_dead)
    verdict.slow = not verdict.lost and _is_slow([*others.values(), own])
    return verdict


def _is_slow(opinions: list[ZoneHealth]) -> bool:
    """Whether more than half of the known opinions on a zone are that it is slow."""
    slow = opinions.count(ZoneHealth.SLOW)
    unknown = opinions.count(ZoneHealth.UNKNOWN)
    return 2 * slow > len(opinions) - unknown
