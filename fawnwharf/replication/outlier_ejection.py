"""Scorers that rest at this front end: its own signs of them, others' hints, and what they close. No I/O.

They are laid over the roster (`net/overlay.py`) beside what others close there. What others close needs no
rest, and does not count among a zone's scorers: the part that may rest is one of those that are left.
"""

from collections.abc import Callable, Iterable
from typing import Any

from fawnwharf import interface as io
from fawnwharf.config import Fleet
from fawnwharf.net.front_end import scorer_number
from fawnwharf.net.roster_overlay import RosterFilter, RosterOverlay
from fawnwharf.replication.failure_reports import FailureTracker, OutlierEjections, counts_by
from fawnwharf.replication.messages import ReportedOutliers

CLOSER = "state"


def excluding(ids: frozenset[str]) -> RosterFilter | None:
    """Closes these; None where there are none."""
    return (lambda member: member.id in ids) if ids else None


class OutlierEjector:
    """Owns what this front end has seen of scorers, and which ones rest."""

    def __init__(self, promise_ms: float, note: Callable[[str, dict[str, Any]], None]) -> None:
        """What takes longer than `promise_ms` is a bad sign."""
        self.sights, self.rests = FailureTracker(), OutlierEjections()
        self.ids: frozenset[str] = frozenset()
        self._promise_ms, self._note = promise_ms, note

    def events(self, now_ms: float, events: list[io.Event]) -> None:
        for event in events:
            if isinstance(event, io.AttemptEnded | io.LoadOrderAnswered):
                warmth = getattr(event, "warmth", io.Warmth.UNTOLD)  # an order's answer has none
                self.sights.ended(now_ms, event.scorer, event.result, event.took_ms, self._promise_ms, warmth)

    def look(self, now_ms: float, heard: Iterable[ReportedOutliers], overlay: RosterOverlay) -> Fleet:
        """Take what was heard, and let those rest that are to; the changes that it makes to the roster."""
        nothing = Fleet([], False, overlay.revision)
        heard = list(heard)
        if not heard and not self.ids and not self.rests.resting(now_ms):
            return nothing  # spares a walk over the fleet at each look
        scorers = {scorer_number(member.id): member for member in overlay.open_except_for(CLOSER)}
        zones = {worker: member.locality for worker, member in scorers.items()}
        counts = counts_by(zones.values())
        for hints in heard:
            self.rests.heard(now_ms, hints, self.sights, zones, counts)
        ids = frozenset(scorers[worker].id for worker in self.rests.resting(now_ms) if worker in scorers)
        if ids == self.ids:
            return nothing
        self._note("scorers rest", {"now": sorted(ids), "before": sorted(self.ids)})
        self.ids = ids
        return overlay.set_filter(CLOSER, excluding(ids))
