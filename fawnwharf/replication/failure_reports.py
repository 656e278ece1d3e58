"""Failing scorers: each front end's own results, the reports of several front ends, and ejections. No I/O.

A front end reports to the replicas the scorers whose recent attempts have all failed. Replicas tell all front
ends which scorers several front ends report. A front end that receives such a scorer, and has had no recent
success with it, ejects it for a limited time, which doubles each time the scorer is soon reported again. At
most a fraction of a zone's scorers is ejected: if many are reported, the scorers are not the cause. Ejections
only advise routing, and they expire.
"""

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from fawnwharf.interface import AttemptResult, Warmth
from fawnwharf.replication import messages as m
from fawnwharf.replication.counters import ReplicationCounter
from fawnwharf.replication.replica import front_end_of

FAILURE_WINDOW_MS = 2_000.0  # older failures are ignored
REPORT_LIFETIME_MS = 1_000.0
MIN_REPORTERS = 3  # front ends that must report a scorer; in a small fleet a third of it, but at least two
SUCCESS_VALID_MS = 600.0  # how long a front end's own last success prevents an ejection
EJECTION_MS, MAX_EJECTION_MS = 2_000.0, 16_000.0
REPEAT_WINDOW_MS = 6_000.0  # a scorer reported again this soon after its ejection is ejected twice as long
MAX_EJECTED_FRACTION = 0.25  # of the scorers of a zone
MAX_REPORTED_SCORERS = 64
MIN_LATE_ANSWERS = 2  # before a scorer is reported: a single late answer may have waited for a load
HISTORY_LIFETIME_MS = 60_000.0  # since the last success of a scorer without failures
NEVER_MS = -1e12

_FAILURE_RESULTS = (AttemptResult.TIMEOUT, AttemptResult.CONNECT_FAILED, AttemptResult.RESET)
_FAILURE_RESULTS_IF_LATE = (AttemptResult.CANCELLED, AttemptResult.GOOD)
_SUCCESS_RESULTS = (AttemptResult.GOOD, AttemptResult.ERROR, AttemptResult.FULL, AttemptResult.MISS)
_WAITED_FOR_LOAD = (Warmth.STARTED_LOAD, Warmth.WAITED_FOR_LOAD)


def min_reporters(fleet_size: int) -> int:
    """How many front ends must report a scorer before others eject it."""
    return max(2, min(MIN_REPORTERS, fleet_size // 3))


@dataclass(slots=True)
class _ScorerHistory:
    """This front end's results with one scorer."""

    last_success_ms: float = NEVER_MS
    failures_ms: list[float] = field(default_factory=list)  # since the last success
    hard_failure: bool = False  # at least one was a timeout or connection failure, not just a late answer


class FailureTracker:
    """Tracks a front end's own results with each scorer."""

    def __init__(self, latency_target_ms: float) -> None:
        self._latency_target_ms = latency_target_ms
        self._histories: dict[int, _ScorerHistory] = {}
        self._last_number = 0

    def record(
        self,
        now_ms: float,
        scorer: int,
        result: AttemptResult,
        took_ms: float,
        warmth: Warmth = Warmth.NOT_REPORTED,
    ) -> None:
        """Record how an attempt or a load order ended.

        An attempt that was cancelled or answered after the latency target is also a failure, because it was
        of no use. It is not a failure if the answer shows that it waited for a load.
        """
        history = self._histories.setdefault(scorer, _ScorerHistory())
        late = took_ms > self._latency_target_ms and warmth not in _WAITED_FOR_LOAD
        hard = result in _FAILURE_RESULTS
        if hard or (late and result in _FAILURE_RESULTS_IF_LATE):
            history.failures_ms.append(now_ms)
            history.hard_failure = history.hard_failure or hard
        elif result in _SUCCESS_RESULTS:
            history.last_success_ms = now_ms
            history.hard_failure = False
            history.failures_ms.clear()

    def last_success_ms(self, scorer: int) -> float:
        """When a scorer last succeeded; NEVER_MS if it never did."""
        history = self._histories.get(scorer)
        return history.last_success_ms if history else NEVER_MS

    def report(self, now_ms: float) -> m.FailureReport:
        """Report the scorers with failures since their last success, those with the most failures first."""
        failing: dict[int, int] = {}
        for scorer, history in list(self._histories.items()):
            history.failures_ms = [at for at in history.failures_ms if now_ms - at <= FAILURE_WINDOW_MS]
            if len(history.failures_ms) >= (1 if history.hard_failure else MIN_LATE_ANSWERS):
                failing[scorer] = min(100, len(history.failures_ms))
            elif not history.failures_ms and now_ms - history.last_success_ms > HISTORY_LIFETIME_MS:
                del self._histories[scorer]
        self._last_number += 1
        worst = sorted(failing, key=lambda scorer: (-failing[scorer], scorer))[:MAX_REPORTED_SCORERS]
        return m.FailureReport(self._last_number, {str(scorer): failing[scorer] for scorer in worst})


class _ReceivedReport(NamedTuple):
    received_ms: float
    report: m.FailureReport


class FailureReportStore:
    """A replica's store of the failure reports of all owners."""

    def __init__(self) -> None:
        self._owners: dict[str, _ReceivedReport] = {}
        self.dropped: Counter[ReplicationCounter] = Counter()

    def receive(self, now_ms: float, owner: str, report: m.FailureReport) -> None:
        """Store an owner's report if it is later than the last one."""
        known = self._owners.get(owner)
        if known is not None and report.number <= known.report.number:
            self.dropped[ReplicationCounter.FAILURE_REPORTS_OUTDATED] += 1
            return
        self._owners[owner] = _ReceivedReport(now_ms, report)

    def outliers(self, now_ms: float, fleet_size: int) -> m.ReportedOutliers:
        """The scorers that enough front ends report, with the number of those front ends."""
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
        return m.ReportedOutliers(dict(list(outliers.items())[:MAX_REPORTED_SCORERS]))


@dataclass(slots=True)
class _Ejection:
    until_ms: float
    duration_ms: float


class OutlierEjections:
    """The scorers that a front end has ejected because other front ends report them."""

    def __init__(self) -> None:
        self._ejections: dict[int, _Ejection] = {}
        self.refused = 0  # ejections prevented by the limit of a zone

    def apply(
        self,
        now_ms: float,
        outliers: m.ReportedOutliers,
        tracker: FailureTracker,
        zones: dict[int, str],
        zone_sizes: dict[str, int],
    ) -> None:
        """Eject reported scorers that are in service; `zones` is the zone of each of these, by number."""
        for text in outliers.scorers:
            scorer = int(text)
            if scorer not in zones or now_ms - tracker.last_success_ms(scorer) <= SUCCESS_VALID_MS:
                continue
            earlier = self._ejections.get(scorer)
            if earlier is not None and now_ms < earlier.until_ms:
                continue
            ejected = sum(zones.get(other) == zones[scorer] for other in self.ejected(now_ms))
            if ejected + 1 > MAX_EJECTED_FRACTION * zone_sizes[zones[scorer]]:
                self.refused += 1
                continue
            duration_ms = EJECTION_MS
            if earlier is not None and now_ms - earlier.until_ms <= REPEAT_WINDOW_MS:
                duration_ms = min(MAX_EJECTION_MS, 2.0 * earlier.duration_ms)
            self._ejections[scorer] = _Ejection(now_ms + duration_ms, duration_ms)

    def ejected(self, now_ms: float) -> set[int]:
        """The scorers that are ejected now."""
        self._ejections = {
            scorer: ejection
            for scorer, ejection in self._ejections.items()
            if now_ms - ejection.until_ms <= REPEAT_WINDOW_MS
        }
        return {scorer for scorer, ejection in self._ejections.items() if now_ms < ejection.until_ms}
