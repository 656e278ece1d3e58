"""Zone plans: what the fleet has decided about its zones, and what a front end has to do by a plan.

Pure values and functions: all front ends that hold the same plan compute the same results. Sizes are in the
units in which scorers state their capacity; flows are in these units too, and admission is a fraction.
"""

import hashlib
from typing import Annotated, Final, Literal

import msgspec
from msgspec import Meta, Struct

from fawnwharf.zones.settings import Fraction, Name

VERSION = 1

# "leaving": drains, no new calls. "out": not used. "returning": recovers, with a fraction of its scorers.
ZoneState = Literal["serving", "leaving", "out", "returning"]
SERVING: Final = "serving"
DRAINING: Final = "leaving"
OUT: Final = "out"
RECOVERING: Final = "returning"

_NEGLIGIBLE = 1e-9  # a displaced size below this is a rounding error


class PlanError(ValueError):
    """A plan that must not be followed; the text says why."""


class PlannedZone(Struct, frozen=True):
    """The decided state of one zone."""

    state: ZoneState = SERVING
    # The fraction of its scorers that is open while it recovers, a step of the ramp; `open_fraction` is what
    # counts in each state.
    fraction: Fraction = msgspec.field(name="share", default=1.0)
    # The fraction of its size that other zones' front ends may send to it.
    spillover: Fraction = msgspec.field(name="spill", default=0.5)
    # The largest capacity in service that was reported lately, in the units of the scorers.
    size: Annotated[float, Meta(ge=0.0)] = 0.0
    region: Annotated[str, Meta(max_length=48)] = ""
    # Its front ends that still report; 0 while it serves.
    front_ends: Annotated[int, Meta(ge=0)] = msgspec.field(name="fronts", default=0)
    # How often it was lost lately.
    recent_failures: Annotated[int, Meta(ge=0, le=1_000)] = msgspec.field(name="flaps", default=0)
    # Why it is in this state, for operators.
    reason: Annotated[str, Meta(max_length=200)] = msgspec.field(name="why", default="")

    @property
    def open_fraction(self) -> float:
        """The fraction of its scorers that takes calls."""
        if self.state == SERVING:
            return 1.0
        return self.fraction if self.state == RECOVERING else 0.0


class Plan(Struct, frozen=True):
    """One decision about all zones.

    `unreachable_pairs` has the pairs of zones of which the first does not reach the second.
    """

    version: int = VERSION
    number: Annotated[int, Meta(ge=0)] = 0
    zones: dict[Name, PlannedZone] = {}
    unreachable_pairs: Annotated[tuple[tuple[Name, Name], ...], Meta(max_length=400)] = msgspec.field(
        name="apart", default=()
    )

    def encode(self) -> str:
        """The plan as JSON text."""
        return msgspec.json.encode(self, order="sorted").decode()


def plan_from(text: str) -> Plan:
    """Parse a plan that a front end may follow; raises PlanError."""
    try:
        plan = msgspec.json.decode(text.encode(), type=Plan)
    except (msgspec.DecodeError, RecursionError) as error:
        raise PlanError(f"not a plan: {error}") from None
    if plan.version != VERSION:
        raise PlanError(f"version {plan.version}")
    if plan.zones and not any(zone.open_fraction > 0 for zone in plan.zones.values()):
        raise PlanError("all zones would be out")
    for source, target in plan.unreachable_pairs:
        if source not in plan.zones or target not in plan.zones or source == target:
            raise PlanError(f"apart: {source}, {target}")
    return plan


def limit_spillover(plan: Plan, limits: dict[str, float]) -> Plan:
    """The plan with the spillover of each zone no larger than its limit."""
    zones = {
        name: msgspec.structs.replace(zone, spillover=min(zone.spillover, limits.get(name, 1.0)))
        for name, zone in plan.zones.items()
    }
    return msgspec.structs.replace(plan, zones=zones)


class ReachableZones(Struct, frozen=True):
    """The open zones that a zone's front ends may send to, in the order of preference.

    `own` has the zone itself or nothing, `region` the other zones of its region, `elsewhere` those of all
    other regions.
    """

    own: list[str]
    region: list[str]
    elsewhere: list[str]


def reachable_zones(plan: Plan, zone: str) -> ReachableZones:
    """The open zones that the front ends of a zone of the plan may send to."""
    region = plan.zones[zone].region
    unreachable = {target for source, target in plan.unreachable_pairs if source == zone}
    names = [
        name
        for name, other in sorted(plan.zones.items())
        if other.open_fraction > 0 and name not in unreachable
    ]
    return ReachableZones(
        own=[name for name in names if name == zone],
        region=[name for name in names if name != zone and plan.zones[name].region == region],
        elsewhere=[name for name in names if name != zone and plan.zones[name].region != region],
    )


Flows = dict[str, dict[str, float]]  # from a zone, to a zone


def spillover_flows(plan: Plan) -> Flows:
    """What each zone that does not fully serve sends to each other zone, in units of size.

    The part of a zone that is not open is displaced. It goes to the zones of its region first, then to all
    others. Each zone takes no more than its limit in total, and displaced zones share the capacity in
    proportion to their needs.
    """
    displaced = {
        name: zone.size * (1.0 - zone.open_fraction)
        for name, zone in plan.zones.items()
        if zone.open_fraction < 1.0
    }
    capacity = {name: _spillover_capacity(zone) for name, zone in plan.zones.items()}
    reachable = {name: reachable_zones(plan, name) for name in displaced}
    flows: Flows = {name: {} for name in displaced}
    _assign({name: zones.region for name, zones in reachable.items()}, displaced, capacity, flows)
    _assign({name: zones.elsewhere for name, zones in reachable.items()}, displaced, capacity, flows)
    return flows


def _spillover_capacity(zone: PlannedZone) -> float:
    """What a zone takes of other zones' traffic; one that recovers takes none but its own."""
    if zone.state == RECOVERING:
        return 0.0
    return zone.spillover * zone.size * zone.open_fraction


def _assign(
    targets: dict[str, list[str]], displaced: dict[str, float], capacity: dict[str, float], flows: Flows
) -> None:
    """Assign displaced load to these targets of each zone; updates all but the targets.

    Each displaced zone requests capacity from its targets in proportion to theirs. A target that is requested
    for more than it has grants the same fraction of each request.
    """
    able = {name: [target for target in names if capacity[target] > 0] for name, names in targets.items()}
    requests: Flows = {}
    for name, names in able.items():
        if displaced[name] > _NEGLIGIBLE and names:
            total = sum(capacity[target] for target in names)
            requests[name] = {target: displaced[name] * capacity[target] / total for target in names}
    for target in capacity:
        requested = sum(parts.get(target, 0.0) for parts in requests.values())
        if requested <= 0:
            continue
        granted = min(1.0, capacity[target] / requested)
        for name, parts in requests.items():
            if target in parts:
                flows[name][target] = parts[target] * granted
        capacity[target] -= requested * granted
    for name in requests:
        displaced[name] -= sum(flows[name].get(target, 0.0) for target in able[name])


def admitted_fraction(plan: Plan | None, zone: str) -> float:
    """The fraction of a zone's calls that its front ends may admit; the rest is rejected at once.

    1.0 without a plan, and where the plan does not name the zone.
    """
    if plan is None:
        return 1.0
    own = plan.zones.get(zone)
    if own is None or own.open_fraction >= 1.0 or own.size <= 0:
        return 1.0
    return min(1.0, own.open_fraction + sum(spillover_flows(plan)[zone].values()) / own.size)


def open_zones(plan: Plan, zone: str) -> set[str] | None:
    """The zones whose scorers a front end of `zone` may use.

    None where the plan does not name its zone: then it may use all.

    A zone that fully serves may use all that it reaches: the router prefers near ones by itself.
    """
    planned = plan.zones.get(zone)
    if planned is None:
        return None
    reachable = reachable_zones(plan, zone)
    others = [*reachable.region, *reachable.elsewhere]
    if planned.open_fraction >= 1.0:
        return {*reachable.own, *others}
    flows = spillover_flows(plan)[zone]
    return {*reachable.own, *(name for name in others if flows.get(name, 0.0) > 0)}


def is_scorer_open(plan: Plan, zone: str, scorer: str) -> bool:
    """Whether one scorer of a zone takes calls; True where the plan does not name its zone.

    While a zone recovers, the same scorers are open at all front ends: those whose hash is below its open
    fraction.
    """
    planned = plan.zones.get(zone)
    if planned is None:
        return True
    digest = hashlib.blake2b(scorer.encode(), digest_size=8).digest()
    position = int.from_bytes(digest, "big") / 2**64
    return planned.open_fraction > 0 and position < planned.open_fraction
