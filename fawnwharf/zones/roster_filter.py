"""Determines which scorers a plan closes, and the scorers and sizes of zones.

A roster overlay (`net/roster_overlay.py`) applies a plan to the roster: a scorer that the plan closes appears
as draining. The decision module's rules on drains, retries and slow start therefore also hold when the plan
changes. Plans are made from the roster without the overlay, so a zone that is out keeps its size.
"""

from collections.abc import Iterable

from fawnwharf.config import Member
from fawnwharf.net.roster_overlay import RosterFilter
from fawnwharf.zones import plan as p


def roster_filter_for_plan(plan: p.Plan | None, zone: str) -> RosterFilter | None:
    """The roster filter of a plan for a front end of `zone`; None (no filter) without a plan.

    The filter returns True for each scorer that the front end must not use.
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
    """The capacity in service by zone, as the change log reports it."""
    sizes: dict[str, float] = {}
    for member in members:
        if member.phase == "in_service":
            sizes[member.locality] = sizes.get(member.locality, 0.0) + member.size
    return sizes


def in_zone(members: Iterable[Member], zone: str) -> list[Member]:
    """The zone's scorers that are in service according to the change log, ordered by id."""
    found = [member for member in members if member.locality == zone and member.phase == "in_service"]
    return sorted(found, key=lambda member: member.id)
