"""Outlier ejection at this front end: its own results, reported scorers, and the roster filter. No I/O.

The filter applies to the roster together with those of other subsystems (`net/roster_overlay.py`). A scorer
that another subsystem takes out of service needs no ejection and does not count among its zone's scorers.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from fawnwharf import interface as io
from fawnwharf.config import Fleet
from fawnwharf.net.front_end import scorer_number
from fawnwharf.net.roster_overlay import RosterFilter, RosterOverlay
from fawnwharf.replication.failure_reports import FailureTracker, OutlierEjections
from fawnwharf.replication.messages import ReportedOutliers

FILTER_NAME = "state"

LogEvent = Callable[[str, dict[str, Any]], None]


def excluding(ids: frozenset[str]) -> RosterFilter | None:
    """A roster filter that takes these scorers out of service; None if there are none."""
    return (lambda member: member.id in ids) if ids else None


class OutlierEjector:
    """Tracks this front end's results with scorers and ejects reported ones."""

    def __init__(self, latency_target_ms: float, log_event: LogEvent) -> None:
        """An answer that takes longer than the latency target counts as a failure."""
        self.tracker = FailureTracker(latency_target_ms)
        self.ejections = OutlierEjections()
        self.ejected_ids: frozenset[str] = frozenset()
        self._log_event = log_event

    def events(self, now_ms: float, events: list[io.Event]) -> None:
        """Record the attempts and load orders that ended."""
        for event in events:
            if isinstance(event, io.AttemptEnded):
                self.tracker.record(now_ms, event.scorer, event.result, event.took_ms, event.warmth)
            elif isinstance(event, io.LoadOrderAnswered):
                self.tracker.record(now_ms, event.scorer, event.result, event.took_ms)

    def update(self, now_ms: float, reported: Iterable[ReportedOutliers], overlay: RosterOverlay) -> Fleet:
        """Eject reported scorers and readmit those whose time is over; returns the roster changes."""
        unchanged = Fleet([], False, overlay.revision)
        reported = list(reported)
        if not reported and not self.ejected_ids and not self.ejections.ejected(now_ms):
            return unchanged  # avoids a scan of the fleet
        scorers = {scorer_number(member.id): member for member in overlay.in_service_except_for(FILTER_NAME)}
        zones = {number: member.locality for number, member in scorers.items()}
        zone_sizes = Counter(zones.values())
        for outliers in reported:
            self.ejections.apply(now_ms, outliers, self.tracker, zones, zone_sizes)
        ids = frozenset(scorers[number].id for number in self.ejections.ejected(now_ms) if number in scorers)
        if ids == self.ejected_ids:
            return unchanged
        self._log_event("scorers ejected", {"now": sorted(ids), "before": sorted(self.ejected_ids)})
        self.ejected_ids = ids
        return overlay.set_filter(FILTER_NAME, excluding(ids))
