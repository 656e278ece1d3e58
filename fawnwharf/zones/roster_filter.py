"""Which scorers a plan closes, and what the roster says of each zone. Pure.

A plan is laid over the roster (`net/roster_overlay.py`): a scorer that it closes is reported as draining, so
that the decision module's own rules on drains, retries and slow start hold through every change of plan. The
plan itself is made from the roster as reported, whatever is closed at the moment: a zone that is out keeps
its size.
"""

from collections.abc import Iterable

from fawnwharf.config import Member
from fawnwharf.net.roster_overlay import RosterFilter
from fawnwharf.zones import plan as p


def roster_filter_for_plan(plan: p.Plan | None, zone: str) -> RosterFilter | None:
    """The roster filter of a plan, for a front end of a zone; None (no filter) without a plan.

    The filter is True for each scorer that the front end must not use.
    """
    if plan is None:
        return None
    open_zones = p.open_zones(plan, zone)

    def closes(member: Member) -> bool:
        planned = member.locality in plan.zones
        if planned and open_zones is not None and member.locality not in open_zones:
            return True
        return not p.is_scorer_open(plan, member.locality, member.id)

    return closes


def zone_sizes(members: Iterable[Member]) -> dict[str, float]:
    """The capacity in service in each zone, as the change log reports it."""
    sizes: dict[str, float] = {}
    for member in members:
        if member.phase == "in_service":
            sizes[member.locality] = sizes.get(member.locality, 0.0) + member.size
    return sizes


def in_zone(members: Iterable[Member], zone: str) -> list[Member]:
    """The zone's scorers in service by the change log, whatever closes them, in a fixed order."""
    found = [member for member in members if member.locality == zone and member.phase == "in_service"]
    return sorted(found, key=lambda member: member.id)
