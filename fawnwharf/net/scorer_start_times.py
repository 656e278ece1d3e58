"""Start times of scorers by the clock of this front end. Pure.

The change log states start times as Unix time by the clock of whoever observed the start, and nothing ensures
that two clocks agree. A start time in the future would keep a scorer warming up, and without work, until the
local clock has reached it; a start time too far in the past would give a scorer that is still warming up its
full load. What is known without any clock: no event is written before what it reports, and a change that
arrives while the log is followed is no older than the log may lag.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from fawnwharf.config import Fleet, Member

# The longest that the log may lag: a start that is reported as further in the past was reported by a clock
# that differs from this one.
MAX_DELAY_MS = 7_000.0
CLOCK_DIFFERENCE_MS = 1_000.0  # a start that lies less than this in the future is not counted as corrected
MAX_SCORERS = 10_000  # remembered, the most recent ones; removed ones too, as they may be listed again


@dataclass(slots=True)
class ScorerStartTimes:
    """Remembers of each scorer its reported and its corrected start time, in Unix milliseconds.

    `corrected_starts` counts the start times that could not be used as reported.
    """

    corrected_starts: int = 0
    _known: dict[str, tuple[float, float]] = field(default_factory=dict)  # reported, corrected

    def correct(self, fleet: Fleet, now_ms: float, unheard_ms: float) -> Fleet:
        """Return the list, or changes of it, with start times by the clock of this front end.

        `now_ms`: Unix milliseconds. `unheard_ms`: for how many milliseconds before now the log may have had
        events that were not received; infinite where it was not followed yet.
        """
        late_ms = MAX_DELAY_MS + (float("inf") if fleet.complete else unheard_ms)
        return msgspec.structs.replace(fleet, members=list(self._members(fleet.members, now_ms, late_ms)))

    def _members(self, members: Iterable[Member], now_ms: float, late_ms: float) -> Iterable[Member]:
        for member in members:
            reported_ms = member.up_since_ms
            if not reported_ms:  # long ago, by whatever clock
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
        """A newly reported start time as it is used from now on."""
        too_old = now_ms - reported_ms > late_ms
        self.corrected_starts += too_old or reported_ms - now_ms > CLOCK_DIFFERENCE_MS
        return now_ms if too_old else min(reported_ms, now_ms)


@dataclass(slots=True)
class ClockStepCorrection:
    """Converts start times to a clock without steps.

    After the system's clock was set back, a start may be reported by the clock before or after that step: the
    later of the two is used, so that no scorer counts as further warmed up than it is. After it was set
    forward, a start lies in the future at most, which `ScorerStartTimes` corrects.
    """

    _known: dict[str, tuple[float, float]] = field(default_factory=dict)  # reported, corrected

    def correct(self, fleet: Fleet, stepped_by_ms: float) -> Fleet:
        """Return the list with start times moved forward by what the clock was set back in total.

        `stepped_by_ms`: the sum of the clock's steps, negative where it was set back. A start time that was
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
