"""Failure detector for zones: combines the members' reports into a verdict on each zone.

The module does no I/O. Each zone has an opinion on each other zone: the majority view of its front ends. A
zone is lost when more of the other zones find it dead than alive, and its own front ends agree or are silent.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fawnwharf.zones.evidence import ZoneHealth, zone_health
from fawnwharf.zones.report import Report
from fawnwharf.zones.settings import EvidenceSettings, Membership


@dataclass(slots=True)
class ZoneVerdict:
    """The state of one zone at one moment, according to all reports."""

    # Several flags may be set: lost implies dead, and unanimous implies lost; lost excludes slow and healthy.
    dead: bool = False  # more of the other zones find it dead than alive, whatever its own front ends report
    lost: bool = False  # dead, and its own front ends agree or are silent
    slow: bool = False  # not lost, and more than half of the zones with an opinion find it slow
    unanimous: bool = False  # lost, all of its front ends are silent, and no other zone finds it alive
    healthy: bool = False  # not lost, and at least one zone finds it alive
    unreachable_from: set[str] = field(default_factory=set)  # zones that find it dead while it is not lost
    reason: str = ""  # why it is lost or dead, for operators; empty otherwise


@dataclass(slots=True, frozen=True)
class _Opinions:
    """The opinion of each source zone on each target zone."""

    by_pair: dict[tuple[str, str], ZoneHealth]

    def of(self, source: str, target: str) -> ZoneHealth:
        """The opinion of the source zone on the target zone, which may be the same zone."""
        return self.by_pair[source, target]


MemberViews = dict[str, dict[str, ZoneHealth]]  # by member and zone


class FailureDetector:
    """Combines current reports into verdicts."""

    def __init__(self, settings: EvidenceSettings) -> None:
        self._settings = settings

    def verdicts(
        self, membership: Membership, reports: dict[str, Report], present: set[str]
    ) -> dict[str, ZoneVerdict]:
        """The verdict on each zone.

        `reports` has the current reports by member. `present` names the members that reported recently enough
        to be considered running.
        """
        views: MemberViews = {
            name: {zone: zone_health(report.evidence.get(zone), self._settings) for zone in membership.zones}
            for name, report in reports.items()
        }
        trusted = {name: view for name, view in views.items() if not _is_isolated(view.values())}
        # A member's report on other zones counts until it expires. Its report on its own zone counts only
        # while the member is present.
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
        """The opinion of the source zone on the target: the view of more than half of its observers.

        Observers without a view are not counted. Dead and slow also require a minimum number of observers.
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
    """Whether an observer finds all of at least two zones dead; it is probably cut off, so not trusted."""
    known = [health for health in views if health is not ZoneHealth.UNKNOWN]
    return len(known) >= 2 and all(health is ZoneHealth.DEAD for health in known)


def _is_alive(health: ZoneHealth) -> bool:
    return health in (ZoneHealth.GOOD, ZoneHealth.SLOW)


def _verdict(zone: str, membership: Membership, present: set[str], opinions: _Opinions) -> ZoneVerdict:
    """The verdict on one zone, from the opinions of all zones."""
    opinions_of_others = {source: opinions.of(source, zone) for source in membership.zones if source != zone}
    own_opinion = opinions.of(zone, zone)
    zones_finding_it_dead = sorted(
        source for source, health in opinions_of_others.items() if health is ZoneHealth.DEAD
    )
    zones_finding_it_alive = [source for source, health in opinions_of_others.items() if _is_alive(health)]
    own_members = [member.name for member in membership.members if member.zone == zone]
    own_present_count = sum(name in present for name in own_members)
    mostly_silent = 2 * own_present_count <= len(own_members)
    confirmed = own_opinion is ZoneHealth.DEAD or (mostly_silent and own_opinion is not ZoneHealth.GOOD)

    verdict = ZoneVerdict(healthy=_is_alive(own_opinion) or bool(zones_finding_it_alive))
    verdict.dead = len(zones_finding_it_dead) > len(zones_finding_it_alive)
    if verdict.dead and confirmed:
        verdict.lost = True
        verdict.healthy = False
        verdict.unanimous = not own_present_count and not zones_finding_it_alive
        names = ", ".join(zones_finding_it_dead)
        verdict.reason = f"dead for {names}; {own_present_count} of its {len(own_members)} front ends heard"
    elif len(membership.zones) == 1 and own_opinion is ZoneHealth.DEAD:
        verdict.reason = "dead for itself, and no other zone to go to"
    elif zones_finding_it_dead:
        verdict.unreachable_from = set(zones_finding_it_dead)
    verdict.slow = not verdict.lost and _is_slow([*opinions_of_others.values(), own_opinion])
    return verdict


def _is_slow(opinions: list[ZoneHealth]) -> bool:
    """Whether more than half of the known opinions on a zone say that it is slow."""
    slow = opinions.count(ZoneHealth.SLOW)
    unknown = opinions.count(ZoneHealth.UNKNOWN)
    return 2 * slow > len(opinions) - unknown
