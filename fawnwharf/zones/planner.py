"""Zone planner: decides what the next plan should be.

The planner does no I/O. Each member has one and passes all members' reports to it, but only the leader's
planner makes plans. It tracks for how long its member has observed each condition without interruption. A
new leader can therefore act on what it observed as a follower, and a planner that was paused starts counting
again. Times are milliseconds on its member's clock.
"""

from dataclasses import dataclass, field

import msgspec

from fawnwharf.zones import settings as s
from fawnwharf.zones.failure_detector import FailureDetector, ZoneVerdict
from fawnwharf.zones.plan import DRAINING, OUT, RECOVERING, SERVING, Plan, PlannedZone, ZoneState
from fawnwharf.zones.report import Report, ReportStore

DRAINED_REASON = "drained by an operator"  # the reason of a drained zone, which is part of stored plans
MAX_RECOVERY_DELAY_DOUBLINGS = 20  # each recent failure doubles the recovery delay, up to this many times


@dataclass(slots=True)
class _Condition:
    """Tracks since when a condition holds."""

    since_ms: float | None = None  # None while the condition does not hold

    def update(self, now_ms: float, *, holds: bool) -> None:
        """Record whether the condition holds now."""
        if not holds:
            self.since_ms = None
        elif self.since_ms is None:
            self.since_ms = now_ms

    def has_lasted(self, now_ms: float, duration_ms: float) -> bool:
        """Whether the condition has held for at least this duration."""
        return self.since_ms is not None and now_ms - self.since_ms >= duration_ms


@dataclass(slots=True)
class _UnreachablePeriod:
    """When a zone was first and last observed to be unreachable from another zone."""

    first_ms: float
    last_ms: float


@dataclass(slots=True)
class _ZoneHistory:
    """The state of a zone in the plan, and since when this planner has observed each condition of it."""

    state: ZoneState
    fraction: float
    state_since_ms: float
    dead: _Condition = field(default_factory=_Condition)
    unanimous: _Condition = field(default_factory=_Condition)
    slow: _Condition = field(default_factory=_Condition)
    healthy: _Condition = field(default_factory=_Condition)
    unreachable_periods: dict[str, _UnreachablePeriod] = field(default_factory=dict)  # by source zone


@dataclass(slots=True, frozen=True)
class _StateChange:
    """The state that a zone should change to."""

    state: ZoneState
    fraction: float
    reason: str
    recent_failures: int


@dataclass(slots=True, frozen=True)
class _ZoneContext:
    """Everything that a change of one zone's state depends on."""

    now_ms: float
    planned: PlannedZone
    history: _ZoneHistory
    verdict: ZoneVerdict
    drained: bool  # an operator requests that the zone be drained

    @property
    def in_state_ms(self) -> float:
        """How long the zone has been in its state."""
        return self.now_ms - self.history.state_since_ms


class ZonePlanner:
    """Derives the next plan from the members' reports."""

    def __init__(self, settings: s.ZoneSettings, now_ms: float) -> None:
        self.settings = settings
        self.observing_since_ms = now_ms  # without interruption
        # Zones that stay open only because all zones would be out otherwise, and the reason as text.
        self.rejected_changes: dict[str, str] = {}
        self.reports = ReportStore()
        self._detector = FailureDetector(settings.evidence)
        self._histories: dict[str, _ZoneHistory] = {}
        self._operator_request = s.DrainRequest()
        self._sizes: dict[str, float] = {}
        self._last_observed_ms = now_ms

    def receive(self, now_ms: float, report: Report) -> None:
        """Store a member's report and its operator request."""
        self.reports.receive(now_ms, report)
        if report.operator_request.number > self._operator_request.number:
            self._operator_request = report.operator_request

    def current_reports(self, now_ms: float, membership: s.Membership) -> dict[str, Report]:
        """The reports that have not expired, by member."""
        return self.reports.current(now_ms, membership, self.settings.evidence.report_ttl_ms)

    # --- observing ------------------------------------------------------------------------------

    def update_verdicts(self, now_ms: float, membership: s.Membership, plan: Plan) -> dict[str, ZoneVerdict]:
        """Compute the verdicts on all zones, and update since when each condition holds.

        Starts counting again if the last call was longer ago than the lifetime of a report.
        """
        if now_ms - self._last_observed_ms > self.settings.evidence.report_ttl_ms:
            self._histories.clear()
            self.observing_since_ms = now_ms
        self._last_observed_ms = now_ms
        reports = self.current_reports(now_ms, membership)
        self._update_sizes(membership, reports)
        silence_ms = self.settings.evidence.reporter_silence_ms
        present = self.reports.received_within(now_ms, reports, silence_ms)
        verdicts = self._detector.verdicts(membership, reports, present)
        for name, verdict in verdicts.items():
            self._update_history(now_ms, name, plan.zones.get(name, PlannedZone()), verdict)
        return verdicts

    def _update_sizes(self, membership: s.Membership, reports: dict[str, Report]) -> None:
        """Use the median of the reported sizes of each zone; a zone that shrinks keeps its largest size."""
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
            history.unreachable_periods.setdefault(
                source, _UnreachablePeriod(now_ms, now_ms)
            ).last_ms = now_ms
        recovery_ms = self.settings.damping.recovery_delay_ms
        history.unreachable_periods = {
            source: period
            for source, period in history.unreachable_periods.items()
            if now_ms - period.last_ms < recovery_ms
        }

    # --- the next plan --------------------------------------------------------------------------

    def next_plan(self, now_ms: float, membership: s.Membership, plan: Plan) -> Plan | None:
        """The plan that should replace the decided one; None if no change is needed."""
        verdicts = self.update_verdicts(now_ms, membership, plan)
        reports = self.current_reports(now_ms, membership).values()
        zones: dict[str, PlannedZone] = {}
        for name, region in sorted(membership.zones.items()):
            before = plan.zones.get(name, PlannedZone(region=region))
            after = self._next_zone(now_ms, name, region, before, verdicts[name])
            reporting = sum(report.zone == name for report in reports)
            front_ends = _front_end_count(after, before, reporting)
            zones[name] = msgspec.structs.replace(after, front_ends=front_ends)
        self._keep_one_zone_open(plan, zones)
        unreachable = self._unreachable_pairs(plan, verdicts)
        if zones == plan.zones and unreachable == plan.unreachable_pairs:
            return None
        return Plan(number=plan.number + 1, zones=zones, unreachable_pairs=unreachable)

    def _next_zone(
        self, now_ms: float, name: str, region: str, before: PlannedZone, verdict: ZoneVerdict
    ) -> PlannedZone:
        """The planned state of one zone in the next plan."""
        spillover = self.settings.spillover.fraction_by_zone.get(name, self.settings.spillover.fraction)
        history = self._histories[name]
        if history.slow.has_lasted(now_ms, self.settings.damping.slow_delay_ms):
            spillover = 0.0
        size = max(before.size, self._sizes.get(name, 0.0))
        after = msgspec.structs.replace(before, spillover=spillover, size=size, region=region)
        drained = name in self._operator_request.drained
        change = self._state_change(_ZoneContext(now_ms, before, history, verdict, drained))
        if change is None:
            return after
        return msgspec.structs.replace(
            after,
            state=change.state,
            fraction=change.fraction,
            reason=change.reason,
            recent_failures=change.recent_failures,
        )

    def _state_change(self, zone: _ZoneContext) -> _StateChange | None:
        """The state that a zone should change to; None for no change."""
        planned = zone.planned
        if planned.state == DRAINING:
            return self._end_drain(zone)
        if planned.state == OUT:
            return None if zone.drained else self._begin_recovery(zone)
        if zone.drained:
            return _StateChange(DRAINING, 0.0, DRAINED_REASON, planned.recent_failures)
        if self._is_lost(zone):
            return _StateChange(OUT, 0.0, zone.verdict.reason, planned.recent_failures + 1)
        if planned.state == RECOVERING:
            return self._ramp_up(zone) if zone.verdict.healthy else None
        if planned.recent_failures and zone.in_state_ms >= self.settings.damping.flap_memory_ms:
            zone.history.state_since_ms = zone.now_ms  # the next failure is forgotten after the same time
            return _StateChange(SERVING, 1.0, planned.reason, planned.recent_failures - 1)
        return None

    def _end_drain(self, zone: _ZoneContext) -> _StateChange | None:
        planned = zone.planned
        if not zone.drained:
            return _StateChange(SERVING, 1.0, "", planned.recent_failures)
        if zone.in_state_ms >= self.settings.damping.drain_ms:
            return _StateChange(OUT, 0.0, planned.reason, planned.recent_failures)
        return None

    def _is_lost(self, zone: _ZoneContext) -> bool:
        """Whether a zone has been lost for long enough to be taken out."""
        damping = self.settings.damping
        delay_ms = damping.failover_delay_ms
        if zone.planned.state == RECOVERING:
            delay_ms /= 2  # it was lost a short time ago
        # Both delays run at the same time, because silence is only noticed after `reporter_silence_ms`.
        unanimous = zone.history.unanimous.has_lasted(zone.now_ms, damping.unanimous_failover_delay_ms)
        return zone.verdict.lost and (unanimous or zone.history.dead.has_lasted(zone.now_ms, delay_ms))

    def _begin_recovery(self, zone: _ZoneContext) -> _StateChange | None:
        planned = zone.planned
        first_fraction = self.settings.ramp.fractions[0]
        if planned.reason == DRAINED_REASON and not zone.verdict.lost:
            return _StateChange(
                RECOVERING, first_fraction, "restored by an operator", planned.recent_failures
            )
        if zone.history.healthy.has_lasted(zone.now_ms, self._recovery_delay_ms(planned)):
            return _StateChange(RECOVERING, first_fraction, "seen well again", planned.recent_failures)
        return None

    def _ramp_up(self, zone: _ZoneContext) -> _StateChange | None:
        ramp, planned = self.settings.ramp, zone.planned
        if zone.in_state_ms < ramp.step_ms:
            return None
        later_fractions = [fraction for fraction in ramp.fractions if fraction > planned.fraction]
        if later_fractions and later_fractions[0] < 1.0:
            return _StateChange(RECOVERING, later_fractions[0], planned.reason, planned.recent_failures)
        return _StateChange(SERVING, 1.0, "", planned.recent_failures)

    def _recovery_delay_ms(self, zone: PlannedZone) -> float:
        """How long a zone must be healthy before it recovers; doubles with each failure after the first."""
        damping = self.settings.damping
        doublings = min(MAX_RECOVERY_DELAY_DOUBLINGS, max(0, zone.recent_failures - 1))
        return min(damping.max_recovery_delay_ms, damping.recovery_delay_ms * 2.0**doublings)

    def _keep_one_zone_open(self, plan: Plan, zones: dict[str, PlannedZone]) -> None:
        """Keep one zone open in any case, because with all zones out no call could be served."""
        self.rejected_changes = {}
        closing = [
            name
            for name, zone in sorted(zones.items())
            if zone.open_fraction == 0 and plan.zones.get(name, PlannedZone()).open_fraction > 0
        ]
        while closing and not any(zone.open_fraction > 0 for zone in zones.values()):
            name = closing.pop()
            before = plan.zones.get(name, PlannedZone(region=zones[name].region))
            self.rejected_changes[name] = f"zone {name} stays open: all zones would be out"
            zones[name] = msgspec.structs.replace(
                zones[name], state=before.state, fraction=before.fraction, reason=before.reason
            )

    def _unreachable_pairs(self, plan: Plan, verdicts: dict[str, ZoneVerdict]) -> tuple[tuple[str, str], ...]:
        """The pairs of a source zone and a target zone that the source can't reach.

        A pair is added after the failover delay. It is removed when the target has been reachable for the
        recovery delay.
        """
        pairs = set()
        for target, history in self._histories.items():
            for source, period in history.unreachable_periods.items():
                lasted_ms = period.last_ms - period.first_ms
                lasted_long_enough = lasted_ms >= self.settings.damping.failover_delay_ms
                is_known = source in verdicts and target in verdicts
                if is_known and (lasted_long_enough or (source, target) in plan.unreachable_pairs):
                    pairs.add((source, target))
        return tuple(sorted(pairs))


def _front_end_count(after: PlannedZone, before: PlannedZone, reporting: int) -> int:
    """The reporting front ends of a zone that does not serve; smaller changes than a quarter are ignored."""
    if after.state == SERVING:
        return 0
    return reporting if abs(reporting - before.front_ends) * 4 > before.front_ends else before.front_ends
