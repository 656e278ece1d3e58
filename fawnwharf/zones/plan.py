"""Zone plans: the decided state of each zone, and what follows from a plan for a front end.

All functions are pure: front ends with the same plan compute the same results. Sizes and flows are in the
units in which scorers state their capacity; admission is a fraction.
"""

import hashlib
from typing import Annotated, Final, Literal

import msgspec
from msgspec import Meta, Struct

from fawnwharf.zones.settings import Fraction, Name

VERSION = 1

# "leaving": drains and gets no new calls. "out": is not used. "returning": recovers with some of its scorers.
ZoneState = Literal["serving", "leaving", "out", "returning"]
SERVING: Final = "serving"
DRAINING: Final = "leaving"
OUT: Final = "out"
RECOVERING: Final = "returning"

_NEGLIGIBLE = 1e-9  # a smaller displaced load is a rounding error


class PlanError(ValueError):
    """A plan that must not be followed; the text gives the reason."""


class PlannedZone(Struct, frozen=True):
    """The decided state of one zone."""

    state: ZoneState = SERVING
    # While the zone recovers, the fraction of its scorers that is open. Use `open_fraction`, which is correct
    # in each state.
    fraction: Fraction = msgspec.field(name="share", default=1.0)
    # The load that front ends of other zones may send to it, as a fraction of its size.
    spillover: Fraction = msgspec.field(name="spill", default=0.5)
    # The largest capacity in service that was reported, in the units of the scorers.
    size: Annotated[float, Meta(ge=0.0)] = 0.0
    region: Annotated[str, Meta(max_length=48)] = ""
    # The number of its front ends that still report; 0 while it serves.
    front_ends: Annotated[int, Meta(ge=0)] = msgspec.field(name="fronts", default=0)
    # How often it was lost recently.
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

    Each of the `unreachable_pairs` is a source zone and a target zone that it can't reach.
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
    """Parse a plan; raises PlanError if a front end must not follow it."""
    try:
        plan = msgspec.json.decode(text.encode(), type=Plan)
    except (msgspec.DecodeError, RecursionError) as error:
        raise PlanError(f"not a plan: {error}") from None
    if plan.version != VERSION:
        raise PlanError(f"version {plan.version}, and this program knows {VERSION}")
    if plan.zones and not any(zone.open_fraction > 0 for zone in plan.zones.values()):
        raise PlanError("all zones would be out")
    for source, target in plan.unreachable_pairs:
        if source not in plan.zones or target not in plan.zones or source == target:
            raise PlanError(f"apart: {source}, {target}: not two different zones of the plan")
    return plan


def limit_spillover(plan: Plan, limits: dict[str, float]) -> Plan:
    """The plan with the spillover of each zone no larger than its limit."""
    zones = {
        name: msgspec.structs.replace(zone, spillover=min(zone.spillover, limits.get(name, 1.0)))
        for name, zone in plan.zones.items()
    }
    return msgspec.structs.replace(plan, zones=zones)


class ReachableZones(Struct, frozen=True):
    """The open zones that a zone's front ends may send to, in order of preference.

    `own` contains the zone itself if it is open, `region` the other zones of its region, and `elsewhere` the
    zones of other regions.
    """

    own: list[str]
    region: list[str]
    elsewhere: list[str]


def reachable_zones(plan: Plan, zone: str) -> ReachableZones:
    """The open zones that the front ends of a zone may send to; the plan must name the zone."""
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


Flows = dict[str, dict[str, float]]  # load by source zone and target zone


def spillover_flows(plan: Plan) -> Flows:
    """The load that each zone that is not fully open sends to each other zone, in units of size.

    The load of the scorers that are not open is displaced. It goes to the zones of the same region first and
    then to all others. Each target zone accepts no more than its spillover limit in total. Displaced zones
    share that capacity in proportion to their load.
    """
    displaced = {
        name: zone.size * (1.0 - zone.open_fraction)
        for name, zone in plan.zones.items()
        if zone.open_fraction < 1.0
    }
    capacity = {name: _spillover_capacity(zone) for name, zone in plan.zones.items()}
    reachable = {name: reachable_zones(plan, name) for name in displaced}
    flows: Flows = {name: {} for name in displaced}
    _assign_displaced_load(
        {name: zones.region for name, zones in reachable.items()}, displaced, capacity, flows
    )
    _assign_displaced_load(
        {name: zones.elsewhere for name, zones in reachable.items()}, displaced, capacity, flows
    )
    return flows


def _spillover_capacity(zone: PlannedZone) -> float:
    """The load that a zone accepts from other zones; a recovering zone accepts none."""
    if zone.state == RECOVERING:
        return 0.0
    return zone.spillover * zone.size * zone.open_fraction


def _assign_displaced_load(
    targets: dict[str, list[str]], displaced: dict[str, float], capacity: dict[str, float], flows: Flows
) -> None:
    """Assign displaced load to the targets of each zone; updates `displaced`, `capacity` and `flows`.

    Each displaced zone divides its load among its targets in proportion to their capacity. A target that gets
    requests for more than its capacity grants the same fraction of each request.
    """
    available_targets = {
        name: [target for target in names if capacity[target] > 0] for name, names in targets.items()
    }
    requests: Flows = {}
    for name, names in available_targets.items():
        if displaced[name] > _NEGLIGIBLE and names:
            total = sum(capacity[target] for target in names)
            requests[name] = {target: displaced[name] * capacity[target] / total for target in names}
    for target in capacity:
        requested = sum(requested_by_target.get(target, 0.0) for requested_by_target in requests.values())
        if requested <= 0:
            continue
        granted = min(1.0, capacity[target] / requested)
        for name, requested_by_target in requests.items():
            if target in requested_by_target:
                flows[name][target] = requested_by_target[target] * granted
        capacity[target] -= requested * granted
    for name in requests:
        displaced[name] -= sum(flows[name].get(target, 0.0) for target in available_targets[name])


def admitted_fraction(plan: Plan | None, zone: str) -> float:
    """The fraction of a zone's calls that its front ends may admit; the rest is rejected at once.

    It is 1.0 without a plan and for a zone that the plan does not name.
    """
    if plan is None:
        return 1.0
    own = plan.zones.get(zone)
    if own is None or own.open_fraction >= 1.0 or own.size <= 0:
        return 1.0
    return min(1.0, own.open_fraction + sum(spillover_flows(plan)[zone].values()) / own.size)


def open_zones(plan: Plan, zone: str) -> set[str] | None:
    """The zones whose scorers a front end of `zone` may use; None means all, if the plan does not name it.

    A front end of a fully open zone may use all zones that it reaches: the router prefers near scorers.
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
    """Whether a scorer of a zone takes calls; True if the plan does not name its zone.

    While a zone recovers, the same scorers are open at all front ends: those whose hash, as a fraction, is
    below the zone's open fraction.
    """
    planned = plan.zones.get(zone)
    if planned is None:
        return True
    digest = hashlib.blake2b(scorer.encode(), digest_size=8).digest()
    position = int.from_bytes(digest, "big") / 2**64
    return planned.open_fraction > 0 and position < planned.open_fraction
