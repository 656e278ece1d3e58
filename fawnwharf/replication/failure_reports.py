"""Failing scorers: what a front end sees, what several report, and which are ejected. Pure.

A front end reports to the replicas the scorers of which it has seen only failures of late; replicas send to
all those that several front ends report. A front end that receives such a scorer, and has seen no success of
it itself, ejects it for a while, for longer each time it is reported again. Never more than a part of a
zone's scorers are ejected: where many are reported, the fault lies elsewhere. All of this only advises
routing, and expires.
"""

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from fawnwharf.interface import AttemptResult, Warmth
from fawnwharf.replication import messages as m
from fawnwharf.replication.counters import ReplicationCounter
from fawnwharf.replication.replica import front_end_of

FAILURE_WINDOW_MS = 2_000.0  # earlier failures are forgotten
REPORT_LIFETIME_MS = 1_000.0
MIN_REPORTERS = 3  # front ends that have to report a scorer; a third of a small fleet, two at the least
SUCCESS_VALID_MS = 600.0  # a front end relies on its own last success for so long
EJECTION_MS, MAX_EJECTION_MS = 2_000.0, 16_000.0
REPEAT_WINDOW_MS = (
    6_000.0  # reported again within so long of its last ejection, a scorer stays out twice as long
)
MAX_EJECTED_PART = 0.25  # of a zone's scorers
MAX_REPORTED = 64
MIN_LATE_ANSWERS = 2  # to report a scorer: a single late answer may have waited for a load
FORGET_MS = 60_000.0  # a scorer without failures is forgotten so long after its last success
NEVER_MS = -1e12

_FAILURES = (AttemptResult.TIMEOUT, AttemptResult.CONNECT_FAILED, AttemptResult.RESET)
_FAILURES_IF_LATE = (AttemptResult.CANCELLED, AttemptResult.GOOD)
_SUCCESSES = (AttemptResult.GOOD, AttemptResult.ERROR, AttemptResult.FULL, AttemptResult.MISS)
_WAITED_FOR_LOAD = (Warmth.BEGAN_LOAD, Warmth.WAITED_FOR_LOAD)


def min_reporters(fleet_size: int) -> int:
    """How many front ends have to report a scorer before it is ejected elsewhere."""
    return max(2, min(MIN_REPORTERS, fleet_size // 3))


@dataclass(slots=True)
class _ScorerHistory:
    """What this front end has seen of one scorer."""

    last_success_ms: float = NEVER_MS
    failures_ms: list[float] = field(default_factory=list)  # since the last success
    hard_failure: bool = False  # one of them was silence or a broken connection, not mere lateness


class FailureTracker:
    """A front end's own results of each scorer."""

    def __init__(self, latency_objective_ms: float) -> None:
        self._latency_objective_ms = latency_objective_ms
        self._histories: dict[int, _ScorerHistory] = {}
        self._last_number = 0

    def record(
        self,
        now_ms: float,
        scorer: int,
        result: AttemptResult,
        took_ms: float,
        warmth: Warmth = Warmth.UNTOLD,
    ) -> None:
        """Record how an attempt or a load order ended.

        One that was cancelled or answered after the latency objective is a failure, too, as it was of no use;
        but not where the answer shows that it waited for a load.
        """
        history = self._histories.setdefault(scorer, _ScorerHistory())
        late = took_ms > self._latency_objective_ms and warmth not in _WAITED_FOR_LOAD
        hard = result in _FAILURES
        if hard or (late and result in _FAILURES_IF_LATE):
            history.failures_ms.append(now_ms)
            history.hard_failure = history.hard_failure or hard
        elif result in _SUCCESSES:
            history.last_success_ms = now_ms
            history.hard_failure = False
            history.failures_ms.clear()

    def last_success_ms(self, scorer: int) -> float:
        """When a scorer last succeeded; long ago where it never did."""
        history = self._histories.get(scorer)
        return history.last_success_ms if history else NEVER_MS

    def report(self, now_ms: float) -> m.FailureReport:
        """The scorers with failures only, those with the most failures first."""
        failing: dict[int, int] = {}
        for scorer, history in list(self._histories.items()):
            history.failures_ms = [at for at in history.failures_ms if now_ms - at <= FAILURE_WINDOW_MS]
            if len(history.failures_ms) >= (1 if history.hard_failure else MIN_LATE_ANSWERS):
                failing[scorer] = min(100, len(history.failures_ms))
            elif not history.failures_ms and now_ms - history.last_success_ms > FORGET_MS:
                del self._histories[scorer]
        self._last_number += 1
        worst = sorted(failing, key=lambda scorer: (-failing[scorer], scorer))[:MAX_REPORTED]
        return m.FailureReport(self._last_number, {str(scorer): failing[scorer] for scorer in worst})


class _ReceivedReport(NamedTuple):
    received_ms: float
    report: m.FailureReport


class FailureReportStore:
    """A replica's table of which owner reports which scorer."""

    def __init__(self) -> None:
        self._owners: dict[str, _ReceivedReport] = {}
        self.dropped: Counter[ReplicationCounter] = Counter()

    def receive(self, now_ms: float, owner: str, report: m.FailureReport) -> None:
        """Take an owner's report, unless it is not later than the last one."""
        known = self._owners.get(owner)
        if known is not None and report.number <= known.report.number:
            self.dropped[ReplicationCounter.FAILURE_REPORTS_OUTDATED] += 1
            return
        self._owners[owner] = _ReceivedReport(now_ms, report)

    def outliers(self, now_ms: float, fleet_size: int) -> m.ReportedOutliers:
        """The scorers that enough front ends report, and how many do."""
        self._owners = {
            owner: received
            for owner, received in self._owners.items()
            if now_ms - received.received_ms <= REPORT_LIFETIME_MS
        }
        reporters: dict[str, set[str]] = {}
        for owner, received in self._owners.items():
            for scorer in received.report.failures:
                reporters.setdefault(scorer, set()).add(front_end_of(owner))
        enough = min_reporters(fleet_size)
        outliers = {
            scorer: len(front_ends)
            for scorer, front_ends in sorted(reporters.items())
            if len(front_ends) >= enough
        }
        return m.ReportedOutliers(dict(list(outliers.items())[:MAX_REPORTED]))


@dataclass(slots=True)
class _Ejection:
    until_ms: float
    span_ms: float


class OutlierEjections:
    """A front end's table of scorers that are ejected because others report them."""

    def __init__(self) -> None:
        self._ejections: dict[int, _Ejection] = {}
        self.refused = 0  # scorers that were not ejected, as too many of their zone are

    def apply(
        self,
        now_ms: float,
        outliers: m.ReportedOutliers,
        tracker: FailureTracker,
        zones: dict[int, str],
        zone_sizes: dict[str, int],
    ) -> None:
        """Eject reported scorers that are in service: `zones` has the zone of each, by number."""
        for text in outliers.scorers:
            scorer = int(text)
            if scorer not in zones or now_ms - tracker.last_success_ms(scorer) <= SUCCESS_VALID_MS:
                continue
            earlier = self._ejections.get(scorer)
            if earlier is not None and now_ms < earlier.until_ms:
                continue
            ejected = sum(zones.get(other) == zones[scorer] for other in self.ejected(now_ms))
            if ejected + 1 > MAX_EJECTED_PART * zone_sizes[zones[scorer]]:
                self.refused += 1
                continue
            span_ms = EJECTION_MS
            if earlier is not None and now_ms - earlier.until_ms <= REPEAT_WINDOW_MS:
                span_ms = min(MAX_EJECTION_MS, 2.0 * earlier.span_ms)
            self._ejections[scorer] = _Ejection(now_ms + span_ms, span_ms)

    def ejected(self, now_ms: float) -> set[int]:
        """The scorers that are ejected now."""
        self._ejections = {
            scorer: ejection
            for scorer, ejection in self._ejections.items()
            if now_ms - ejection.until_ms <= REPEAT_WINDOW_MS
        }
        return {scorer for scorer, ejection in self._ejections.items() if now_ms < ejection.until_ms}
