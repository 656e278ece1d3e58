"""Zone planner: decides what the next plan should be.

Pure. Each voter has one and passes all members' reports to it; only the leader's makes plans. What it
remembers is for how long its owner has observed a condition without a break: a new leader that has watched
as a follower can act at once, and one that was paused starts to count again. Times are milliseconds of its
owner's clock.
"""

from dataclasses import dataclass, field

import msgspec

from fawnwharf.zones import settings as s
from fawnwharf.zones.failure_detector import FailureDetector, ZoneVerdict
from fawnwharf.zones.plan import DRAINING, OUT, RECOVERING, SERVING, Plan, PlannedZone, ZoneState
from fawnwharf.zones.report import Report, ReportStore

DRAINED = "drained by an operator"  # the reason of a drained zone; it is part of stored plans
MAX_RECOVERY_DELAY_DOUBLINGS = 20  # the recovery delay doubles with each recent failure, so often at most


@dataclass(slots=True)
class _Condition:
    """Since when a condition holds; None while it does not."""

    since_ms: float | None = None

    def update(self, now_ms: float, *, holds: bool) -> None:
        """Take whether the condition holds now."""
        if not holds:
            self.since_ms = None
        elif self.since_ms is None:
            self.since_ms = now_ms

    def has_lasted(self, now_ms: float, duration_ms: float) -> bool:
        """Whether the condition has held for this long."""
        return self.since_ms is not None and now_ms - self.since_ms >= duration_ms


@dataclass(slots=True)
class _Separation:
    """When a zone was first and last observed not to be reached by another one."""

    first_ms: float
    last_ms: float


@dataclass(slots=True)
class _ZoneHistory:
    """For how long each condition has held for a zone, as far as this planner has observed."""

    state: ZoneState
    fraction: float
    state_since_ms: float
    dead: _Condition = field(default_factory=_Condition)
    unanimous: _Condition = field(default_factory=_Condition)
    slow: _Condition = field(default_factory=_Condition)
    healthy: _Condition = field(default_factory=_Condition)
    separations: dict[str, _Separation] = field(default_factory=dict)  # by the zone that does not reach it


@dataclass(slots=True, frozen=True)
class _StateChange:
    """The state that a zone should change to."""

    state: ZoneState
    fraction: float
    reason: str
    recent_failures: int


@dataclass(slots=True, frozen=True)
class _Situation:
    """All that the change of one zone's state depends on."""

    now_ms: float
    planned: PlannedZone
    history: _ZoneHistory
    verdict: ZoneVerdict
    drained: bool  # an operator requests that it be out

    @property
    def in_state_ms(self) -> float:
        """For how long the zone has been in its state."""
        return self.now_ms - self.history.state_since_ms


class ZonePlanner:
    """Combines reports zone by zone into the next plan."""

    def __init__(self, settings: s.ZoneSettings, now_ms: float) -> None:
        self.settings = settings
        self.watching_since_ms = now_ms  # without a break
        self.rejected: dict[str, str] = {}  # zones that would be out if they were not the last ones, and why
        self.reports = ReportStore()
        self._detector = FailureDetector(settings.evidence)
        self._histories: dict[str, _ZoneHistory] = {}
        self._operator_request = s.DrainRequest()
        self._sizes: dict[str, float] = {}
        self._watched_ms = now_ms

    def receive(self, now_ms: float, report: Report) -> None:
        """Take a member's report."""
        self.reports.receive(now_ms, report)
        if report.operator_request.number > self._operator_request.number:
            self._operator_request = report.operator_request

    def current_reports(self, now_ms: float, membership: s.Membership) -> dict[str, Report]:
        """The reports that are not too old, by member."""
        return self.reports.current(now_ms, membership, self.settings.evidence.report_ttl_ms)

    # --- watching -------------------------------------------------------------------------------

    def update_verdicts(self, now_ms: float, membership: s.Membership, plan: Plan) -> dict[str, ZoneVerdict]:
        """Observe all zones, note for how long each condition has lasted, and give the verdicts.

        Starts to count again where the last call is longer ago than a report counts.
        """
        if now_ms - self._watched_ms > self.settings.evidence.report_ttl_ms:
            self._histories.clear()
            self.watching_since_ms = now_ms
        self._watched_ms = now_ms
        reports = self.current_reports(now_ms, membership)
        self._update_sizes(membership, reports)
        silence_ms = self.settings.evidence.reporter_silence_ms
        present = self.reports.received_within(now_ms, reports, silence_ms)
        verdicts = self._detector.verdicts(membership, reports, present)
        for name, verdict in verdicts.items():
            self._update_history(now_ms, name, plan.zones.get(name, PlannedZone()), verdict)
        return verdicts

    def _update_sizes(self, membership: s.Membership, reports: dict[str, Report]) -> None:
        """Take the median size that is reported of each zone; a zone that shrinks keeps its largest size."""
        for zone in membership.zones:
            reported = sorted(report.sizes[zone] for report in reports.values() if zone in report.sizes)
            if reported:
                self._sizes[zone] = max(self._sizes.get(zone, 0.0), reported[len(reported) // 2])

    def _update_history(self, now_ms: float, name: str, planned: PlannedZone, verdict: ZoneVerdict) -> None:
        history = self._histories.get(name)
        if history is None:
            history = self._histories[name] = _ZoneHistory(planned.state, planned.fraction, now_ms)
        if (history.state, history.fraction) != (planned.state, planned.fraction):
            history.state = planned.state
            history.fraction = planned.fraction
            history.state_since_ms = now_ms
        history.dead.update(now_ms, holds=verdict.dead)
        history.unanimous.update(now_ms, holds=verdict.unanimous)
        history.slow.update(now_ms, holds=verdict.slow)
        history.healthy.update(now_ms, holds=verdict.healthy)
        for source in verdict.unreachable_from:
            history.separations.setdefault(source, _Separation(now_ms, now_ms)).last_ms = now_ms
        recovery_ms = self.settings.damping.recovery_delay_ms
        history.separations = {
            source: separation
            for source, separation in history.separations.items()
            if now_ms - separation.last_ms < recovery_ms
        }

    # --- the next plan --------------------------------------------------------------------------

    def next_plan(self, now_ms: float, membership: s.Membership, plan: Plan) -> Plan | None:
        """The plan that should follow the decided one; None while that one is still right."""
        verdicts = self.update_verdicts(now_ms, membership, plan)
        reports = self.current_reports(now_ms, membership).values()
        zones: dict[str, PlannedZone] = {}
        for name, region in sorted(membership.zones.items()):
            before = plan.zones.get(name, PlannedZone(region=region))
            after = self._next_zone(now_ms, name, region, before, verdicts[name])
            reporting = sum(report.zone == name for report in reports)
            front_ends = _front_end_count(after, before, reporting)
            zones[name] = msgspec.structs.replace(after, front_ends=front_ends)
        self._keep_one_open(plan, zones)
        unreachable = self._unreachable_pairs(plan, verdicts)
        if zones == plan.zones and unreachable == plan.unreachable_pairs:
            return None
        return Plan(number=plan.number + 1, zones=zones, unreachable_pairs=unreachable)

    def _next_zone(
        self, now_ms: float, name: str, region: str, before: PlannedZone, verdict: ZoneVerdict
    ) -> PlannedZone:
        """The zone as the next plan should have it."""
        spillover = self.settings.spillover.fraction_by_zone.get(name, self.settings.spillover.fraction)
        history = self._histories[name]
        if history.slow.has_lasted(now_ms, self.settings.damping.slow_delay_ms):
            spillover = 0.0
        size = max(before.size, self._sizes.get(name, 0.0))
        after = msgspec.structs.replace(before, spillover=spillover, size=size, region=region)
        drained = name in self._operator_request.drained
        change = self._state_change(_Situation(now_ms, before, history, verdict, drained))
        if change is None:
            return after
        return msgspec.structs.replace(
            after,
            state=change.state,
            fraction=change.fraction,
            reason=change.reason,
            recent_failures=change.recent_failures,
        )

    def _state_change(self, zone: _Situation) -> _StateChange | None:
        """The state that a zone changes to, if any."""
        planned = zone.planned
        if planned.state == DRAINING:
            return self._end_drain(zone)
        if planned.state == OUT:
            return None if zone.drained else self._begin_recovery(zone)
        if zone.drained:
            return _StateChange(DRAINING, 0.0, DRAINED, planned.recent_failures)
        if self._is_lost(zone):
            return _StateChange(OUT, 0.0, zone.verdict.reason, planned.recent_failures + 1)
        if planned.state == RECOVERING:
            return self._ramp_up(zone) if zone.verdict.healthy else None
        if planned.recent_failures and zone.in_state_ms >= self.settings.damping.flap_memory_ms:
            zone.history.state_since_ms = zone.now_ms  # the next one is forgotten after the same time
            return _StateChange(SERVING, 1.0, planned.reason, planned.recent_failures - 1)
        return None

    def _end_drain(self, zone: _Situation) -> _StateChange | None:
        planned = zone.planned
        if not zone.drained:
            return _StateChange(SERVING, 1.0, "", planned.recent_failures)
        if zone.in_state_ms >= self.settings.damping.drain_ms:
            return _StateChange(OUT, 0.0, planned.reason, planned.recent_failures)
        return None

    def _is_lost(self, zone: _Situation) -> bool:
        """Whether a zone has been lost for long enough to be put out."""
        damping = self.settings.damping
        delay_ms = damping.failover_delay_ms
        if zone.planned.state == RECOVERING:
            delay_ms /= 2  # it was lost a moment ago
        # The two delays run side by side: silence takes its own time to show.
        unanimous = zone.history.unanimous.has_lasted(zone.now_ms, damping.unanimous_failover_delay_ms)
        return zone.verdict.lost and (unanimous or zone.history.dead.has_lasted(zone.now_ms, delay_ms))

    def _begin_recovery(self, zone: _Situation) -> _StateChange | None:
        planned = zone.planned
        first = self.settings.ramp.fractions[0]
        if planned.reason == DRAINED and not zone.verdict.lost:
            return _StateChange(RECOVERING, first, "restored by an operator", planned.recent_failures)
        if zone.history.healthy.has_lasted(zone.now_ms, self._recovery_delay_ms(planned)):
            return _StateChange(RECOVERING, first, "seen well again", planned.recent_failures)
        return None

    def _ramp_up(self, zone: _Situation) -> _StateChange | None:
        ramp, planned = self.settings.ramp, zone.planned
        if zone.in_state_ms < ramp.step_ms:
            return None
        later = [fraction for fraction in ramp.fractions if fraction > planned.fraction]
        if later and later[0] < 1.0:
            return _StateChange(RECOVERING, later[0], planned.reason, planned.recent_failures)
        return _StateChange(SERVING, 1.0, "", planned.recent_failures)

    def _recovery_delay_ms(self, zone: PlannedZone) -> float:
        """How long a zone must be healthy before it recovers; doubled for each recent failure."""
        damping = self.settings.damping
        doublings = min(MAX_RECOVERY_DELAY_DOUBLINGS, max(0, zone.recent_failures - 1))
        return min(damping.max_recovery_delay_ms, damping.recovery_delay_ms * 2.0**doublings)

    def _keep_one_open(self, plan: Plan, zones: dict[str, PlannedZone]) -> None:
        """Keep one zone open whatever is observed: a plan that puts all zones out helps nobody."""
        self.rejected = {}
        closing = [
            name
            for name, zone in sorted(zones.items())
            if zone.open_fraction == 0 and plan.zones.get(name, PlannedZone()).open_fraction > 0
        ]
        while closing and not any(zone.open_fraction > 0 for zone in zones.values()):
            name = closing.pop()
            before = plan.zones.get(name, PlannedZone(region=zones[name].region))
            self.rejected[name] = f"zone {name} stays: all zones would be out"
            zones[name] = msgspec.structs.replace(
                zones[name], state=before.state, fraction=before.fraction, reason=before.reason
            )

    def _unreachable_pairs(self, plan: Plan, verdicts: dict[str, ZoneVerdict]) -> tuple[tuple[str, str], ...]:
        """The pairs of zones of which the first has not reached the second one for long enough.

        A pair remains until the second was reached for as long as a zone must be healthy to recover.
        """
        pairs = set()
        for target, history in self._histories.items():
            for source, separation in history.separations.items():
                lasted_ms = separation.last_ms - separation.first_ms
                lasting = lasted_ms >= self.settings.damping.failover_delay_ms
                known = source in verdicts and target in verdicts
                if known and (lasting or (source, target) in plan.unreachable_pairs):
                    pairs.add((source, target))
        return tuple(sorted(pairs))


def _front_end_count(after: PlannedZone, before: PlannedZone, reporting: int) -> int:
    """The front ends of a zone that does not serve; changed only where it differs by more than a quarter."""
    if after.state == SERVING:
        return 0
    return reporting if abs(reporting - before.front_ends) * 4 > before.front_ends else before.front_ends
