"""Applies a plan to a front end: which scorers it may use and how many calls it admits."""

from collections.abc import Callable

from fawnwharf.config import Deployment
from fawnwharf.interface import UNLIMITED_RPS
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.zones import roster_filter
from fawnwharf.zones.effects import ApplyPlan
from fawnwharf.zones.log_events import FollowingPlan, OperatingStandalone, ZoneLogEvent
from fawnwharf.zones.plan import Plan, admitted_fraction, limit_spillover
from fawnwharf.zones.settings import Membership
from fawnwharf.zones.voter_role import describe_zones

# The keys under which this package sets its roster filter and its call limit.
ROSTER_FILTER_KEY = "zones"
ADMISSION_LIMIT_KEY = "zones"


class PlanApplication:
    """Owns the limits that the plan and the policy set for this front end."""

    def __init__(self, deployment: Deployment, zone: str, membership: Callable[[], Membership]) -> None:
        """`membership` returns the membership in use."""
        # The sum of all tenants' quotas, in calls per second over the whole fleet.
        self.total_quota_rps = sum(deployment.settings.quotas_rps.values())
        self.spillover_limits: dict[str, float] = {}  # from the policy, by zone
        self._settings = deployment.settings
        self._zone = zone
        self._membership = membership
        self._applied: ApplyPlan | None = None

    def set_policy_limits(
        self, front: FrontEnd, total_quota_rps: float, spillover_limits: dict[str, float]
    ) -> ZoneLogEvent | None:
        """Use the total quota (calls per second over the fleet) and the spillover limits of a policy.

        The plan admits a fraction of the quota. A spillover limit applies if it is stricter than the plan's.
        Returns the event of applying the plan again, or None if nothing changed or no plan was applied yet.
        """
        if (total_quota_rps, spillover_limits) == (self.total_quota_rps, self.spillover_limits):
            return None
        self.total_quota_rps = total_quota_rps
        self.spillover_limits = spillover_limits
        return self.apply(front, self._applied) if self._applied is not None else None

    def apply(self, front: FrontEnd, effect: ApplyPlan) -> ZoneLogEvent:
        """Apply a plan, or none; returns the event to log."""
        self._applied = effect
        plan = effect.plan
        if plan is not None and self.spillover_limits:
            plan = limit_spillover(plan, self.spillover_limits)
        changes = front.roster_overlay.set_filter(
            ROSTER_FILTER_KEY, roster_filter.roster_filter_for_plan(plan, self._zone)
        )
        if changes.members:
            front.apply_filtered_roster(changes)
        admission = admitted_fraction(plan, self._zone)
        front.limit_calls(ADMISSION_LIMIT_KEY, self._admitted_rps(plan, admission))
        scorers_changed, rounded = len(changes.members), round(admission, 3)
        if plan is None:
            return OperatingStandalone(effect.index, scorers_changed, rounded)
        return FollowingPlan(
            index=effect.index,
            scorers_changed=scorers_changed,
            admission=rounded,
            number=plan.number,
            zones=describe_zones(plan),
            unreachable=plan.unreachable_pairs,
        )

    def _admitted_rps(self, plan: Plan | None, admission: float) -> float:
        """The number of calls per second that this front end may admit."""
        if admission >= 1.0 or self.total_quota_rps <= 0:
            return UNLIMITED_RPS
        return admission * self.total_quota_rps / self._settings.fleet_size * self._load_factor(plan)

    def _load_factor(self, plan: Plan | None) -> float:
        """The calls at each front end of this zone, relative to normal: above 1.0 if others are missing."""
        zone = plan.zones.get(self._zone) if plan else None
        if zone is None or not zone.front_ends:
            return 1.0
        members = sum(member.zone == self._zone for member in self._membership().members)
        return max(1.0, members / zone.front_ends)
