"""Correction of scorers' start times for clock differences. No I/O.

The change log states start times as Unix time by the clock of the machine that observed the start. That clock
may differ from the local one. A start time in the future would keep a scorer in slow start, and without work,
until the local clock reaches it. A start time too far in the past would end slow start too early. Two facts
hold for any clock: no event is written before the start that it reports, and a change that is received while
the log is followed is no older than the maximum delay of the log.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from fawnwharf.config import Fleet, Member

# The maximum delay of the change log. A reported start that is older comes from a clock that differs.
MAX_DELAY_MS = 7_000.0
CLOCK_DIFFERENCE_MS = 1_000.0  # a start less than this in the future is not counted as corrected
# Start times are kept for this many scorers, the most recently reported ones. Removed scorers are included,
# as they may be listed again.
MAX_SCORERS = 10_000


@dataclass(slots=True)
class ScorerStartTimes:
    """Keeps the reported and the corrected start time of each scorer, in Unix milliseconds.

    `corrected_starts`: the number of start times that could not be used as reported.
    """

    corrected_starts: int = 0
    _known: dict[str, tuple[float, float]] = field(default_factory=dict)  # reported, corrected

    def correct(self, fleet: Fleet, now_ms: float, unheard_ms: float) -> Fleet:
        """Return the list of scorers, or the changes of it, with start times by the local clock.

        `now_ms`: Unix milliseconds; `unheard_ms`: the time before now in which the log may have had events
        that were not received, infinite if it was not followed yet.
        """
        late_ms = MAX_DELAY_MS + (float("inf") if fleet.complete else unheard_ms)
        return msgspec.structs.replace(fleet, members=list(self._members(fleet.members, now_ms, late_ms)))

    def _members(self, members: Iterable[Member], now_ms: float, late_ms: float) -> Iterable[Member]:
        for member in members:
            reported_ms = member.up_since_ms
            if not reported_ms:  # 0: long ago
                yield member
                continue
            known = self._known.pop(member.id, None)
            if known is not None and known[0] == reported_ms:
                start_ms = known[1]
            else:
                start_ms = self._corrected(reported_ms, now_ms, late_ms)
            self._known[member.id] = reported_ms, start_ms
            yield msgspec.structs.replace(member, up_since_ms=start_ms)
        while len(self._known) > MAX_SCORERS:
            del self._known[next(iter(self._known))]

    def _corrected(self, reported_ms: float, now_ms: float, late_ms: float) -> float:
        """The corrected start time for a newly reported one."""
        too_old = now_ms - reported_ms > late_ms
        self.corrected_starts += too_old or reported_ms - now_ms > CLOCK_DIFFERENCE_MS
        return now_ms if too_old else min(reported_ms, now_ms)


@dataclass(slots=True)
class ClockStepCorrection:
    """Converts start times to a clock without steps.

    After the system clock was set back, a start may be reported by the clock before or after that step. The
    later of the two times is used, so that slow start is not cut short. After the clock was set forward, a
    start can only lie in the future, which `ScorerStartTimes` corrects.
    """

    _known: dict[str, tuple[float, float]] = field(default_factory=dict)  # reported, corrected

    def correct(self, fleet: Fleet, stepped_by_ms: float) -> Fleet:
        """Return the list with start times moved forward by the time that the clock was set back in total.

        `stepped_by_ms`: the sum of the clock's steps, negative if it was set back. A start time that was
        reported before keeps its correction.
        """
        members = [self._corrected(member, stepped_by_ms) for member in fleet.members]
        return msgspec.structs.replace(fleet, members=members)

    def _corrected(self, member: Member, stepped_by_ms: float) -> Member:
        reported_ms = member.up_since_ms
        if not reported_ms:
            return member
        known = self._known.pop(member.id, None)
        if known and known[0] == reported_ms:
            corrected_ms = known[1]
        else:
            corrected_ms = reported_ms - min(0.0, stepped_by_ms)
        self._known[member.id] = reported_ms, corrected_ms
        if len(self._known) > MAX_SCORERS:
            del self._known[next(iter(self._known))]
        if corrected_ms == reported_ms:
            return member
        return msgspec.structs.replace(member, up_since_ms=corrected_ms)
