"""Plans: what the fleet has decided about its zones, and what follows from a plan for a front end.

Pure values and functions, with equal results at all front ends that hold the same plan. Sizes are in scorers'
units; flows and admissions are parts of one.
"""

import hashlib
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from fawnwharf.zones.settings import Fraction, Name

VERSION = 1

SERVING, DRAINING, OUT, RECOVERING = "serving", "leaving", "out", "returning"
ZoneState = Literal["serving", "leaving", "out", "returning"]


class PlanError(ValueError):
    """A plan that must not be followed; the text says why."""


class PlannedZone(Struct, frozen=True):
    """The decided state of one zone."""

    state: ZoneState = SERVING
    share: Fraction = 1.0  # of its scorers that are open; below one while it returns
    spill: Fraction = 0.5  # of its size that may come from front ends of zones that do not serve
    size: Annotated[float, Meta(ge=0.0)] = 0.0  # the largest seen lately
    region: Annotated[str, Meta(max_length=48)] = ""
    fronts: Annotated[int, Meta(ge=0)] = 0  # its front ends that are heard, while it does not serve
    flaps: Annotated[int, Meta(ge=0, le=1_000)] = 0  # times that it was lost lately
    why: Annotated[str, Meta(max_length=200)] = ""  # for people

    @property
    def open(self) -> float:
        """The part of it that takes calls."""
        return {SERVING: 1.0, RECOVERING: self.share}.get(self.state, 0.0)


class Plan(Struct, frozen=True):
    """One decision: all zones, and the pairs of zones of which the first does not reach the second."""

    version: int = VERSION
    number: Annotated[int, Meta(ge=0)] = 0
    zones: dict[Name, PlannedZone] = {}
    apart: Annotated[tuple[tuple[Name, Name], ...], Meta(max_length=400)] = ()

    def encode(self) -> str:
        """The plan as JSON text."""
        return msgspec.json.encode(self, order="sorted").decode()


def plan_from(text: str) -> Plan:
    """Parse a plan that a front end may follow; raises PlanFault."""
    try:
        plan = msgspec.json.decode(text.encode(), type=Plan)
    except (msgspec.DecodeError, RecursionError) as error:
        raise PlanError(f"not a plan: {error}") from None
    if plan.version != VERSION:
        raise PlanError(f"version {plan.version}")
    if plan.zones and not any(zone.open > 0 for zone in plan.zones.values()):
        raise PlanError("all zones would be out")
    for near, far in plan.apart:
        if near not in plan.zones or far not in plan.zones or near == far:
            raise PlanError(f"apart: {near}, {far}")
    return plan


def limit_spillover(plan: Plan, most: dict[str, float]) -> Plan:
    """The plan with no more spillover by zone than this."""
    zones = {
        name: msgspec.structs.replace(zone, spill=min(zone.spill, most.get(name, 1.0)))
        for name, zone in plan.zones.items()
    }
    return msgspec.structs.replace(plan, zones=zones)


def tiers(plan: Plan, zone: str) -> list[list[str]]:
    """The open zones that a zone's front ends may send to: its own, its region's, the world's."""
    if zone not in plan.zones:
        return [sorted(name for name, other in plan.zones.items() if other.open > 0)]
    mine = plan.zones[zone]
    apart = {far for near, far in plan.apart if near == zone}
    able = [name for name, other in sorted(plan.zones.items()) if other.open > 0 and name not in apart]
    own = [name for name in able if name == zone]
    near = [name for name in able if name != zone and plan.zones[name].region == mine.region]
    far = [name for name in able if name != zone and plan.zones[name].region != mine.region]
    return [own, near, far]


def spillover_flows(plan: Plan) -> dict[str, dict[str, float]]:
    """What each zone that does not fully serve sends to each other one, in sizes.

    The part of a zone that is not open is displaced. It goes to its region first, then to the world; each
    zone takes no more than its limit in total, and displaced zones share a tier's capacity by their needs.
    """
    need = {name: zone.size * (1.0 - zone.open) for name, zone in plan.zones.items() if zone.open < 1.0}
    room = {name: zone.spill * zone.size * zone.open for name, zone in plan.zones.items()}
    for name, zone in plan.zones.items():
        if zone.state == RECOVERING:
            room[name] = 0.0  # it is being taken back, for its own
    sent: dict[str, dict[str, float]] = {name: {} for name in need}
    for tier in (1, 2):
        wanted = {name: [t for t in tiers(plan, name)[tier] if room[t] > 0] for name in need}
        # Each asks its zones in proportion to their room; a zone that is asked for more cuts all alike.
        asked = {
            name: {t: need[name] * room[t] / sum(room[u] for u in wanted[name]) for t in wanted[name]}
            for name in need
            if need[name] > 1e-9 and wanted[name]
        }
        for target in room:
            total = sum(parts.get(target, 0.0) for parts in asked.values())
            if total <= 0:
                continue
            given = min(1.0, room[target] / total)
            for name, parts in asked.items():
                if target in parts:
                    sent[name][target] = parts[target] * given
            room[target] -= total * given
        for name in asked:
            need[name] -= sum(sent[name].get(t, 0.0) for t in wanted[name])
    return sent


def admitted_fraction(plan: Plan, zone: str) -> float:
    """The part of a zone's calls that may be served; the rest is refused at once."""
    mine = plan.zones.get(zone)
    if mine is None or mine.open >= 1.0 or mine.size <= 0:
        return 1.0
    return min(1.0, mine.open + sum(spillover_flows(plan)[zone].values()) / mine.size)


def open_zones(plan: Plan, zone: str) -> set[str] | None:
    """The zones whose scorers a front end of a zone may use; None where the plan does not name its zone."""
    mine = plan.zones.get(zone)
    if mine is None:
        return None
    own, near, far = tiers(plan, zone)
    if mine.open >= 1.0:  # it serves its own: others are used as ever, near ones before far ones
        return {*own, *near, *far}
    sent = spillover_flows(plan)[zone]
    return {*own, *(name for name in (*near, *far) if sent.get(name, 0.0) > 0)}


def is_open(plan: Plan, zone: str, scorer: str) -> bool:
    """Whether one scorer of a zone takes calls: while the zone returns, the same ones at every front end."""
    entry = plan.zones.get(zone)
    if entry is None:
        return True
    place = int.from_bytes(hashlib.blake2b(scorer.encode(), digest_size=8).digest(), "big") / 2**64
    return entry.open > 0 and place < entry.open
