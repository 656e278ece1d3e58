"""What a plan closes, and what of the roster it is made from. Pure.

The plan is laid over the roster (`net/overlay.py`): a scorer that it closes is told as one that drains, so
that the decision module's own rules on drains, repeats and slow start hold through every change of plan. The
plan itself is made from the roster as told, whatever is closed at the moment: a zone that is out keeps its
size.
"""

from collections.abc import Iterable

from fawnwharf.config import Member
from fawnwharf.net.roster_overlay import RosterFilter
from fawnwharf.zones import plan as p


def plan_closer(plan: p.Plan | None, zone: str) -> RosterFilter | None:
    """The predicate of scorers that this plan closes for a front end of this zone; None without a plan."""
    if plan is None:
        return None
    zones = p.open_zones(plan, zone)

    def closes(member: Member) -> bool:
        if zones is not None and member.locality in plan.zones and member.locality not in zones:
            return True
        return not p.is_open(plan, member.locality, member.id)

    return closes


def zone_sizes(members: Iterable[Member]) -> dict[str, float]:
    """The units in service in each zone, as the change log tells."""
    found: dict[str, float] = {}
    for member in members:
        if member.phase == "in_service":
            found[member.locality] = found.get(member.locality, 0.0) + member.size
    return found


def in_zone(members: Iterable[Member], zone: str) -> list[Member]:
    """The zone's scorers that are in service by the change log, whatever closes them, in a fixed order."""
    found = [m for m in members if m.locality == zone and m.phase == "in_service"]
    return sorted(found, key=lambda member: member.id)


def admitted_fraction(plan: p.Plan | None, zone: str) -> float:
    """The part of this front end's calls that may be served under the plan in force."""
    return 1.0 if plan is None else p.admitted_fraction(plan, zone)
