"""Starts of scorers, by this front end's clock. Pure.

The change log tells a start as Unix time, by the clock of whoever saw it, and nobody vouches that two agree.
A start that lies ahead of now would hold a scorer cold and empty until the own clock has come there; one told
as long past would let a cold scorer have all. What is known without any clock: nothing is told before it was,
and a change that comes while the log is followed is not older than the log may be late.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from fawnwharf.config import Fleet, Member

# What there is to tell counts as told that much later at the most: a start that is told as longer past was
# told by a clock that is apart from this one.
MAX_DELAY_MS = 7_000.0
CLOCK_DIFFERENCE_MS = 1_000.0  # ahead of now: less than that is no news
MAX_SCORERS = 10_000  # scorers, those told last; gone ones among them, as they may be listed again


@dataclass(slots=True)
class ScorerStartTimes:
    """Keeps of each scorer its start as it was told and as it is gone by, in Unix milliseconds."""

    apart: int = 0  # starts that were not gone by as told
    _known: dict[str, tuple[float, float]] = field(default_factory=dict)

    def own(self, fleet: Fleet, now_ms: float, unheard_ms: float) -> Fleet:
        """The list, or these changes of it, with starts as this front end is to go by them. `unheard_ms`: for
        how long before now the log may have had something untold; infinite where it was not followed yet."""
        late_ms = MAX_DELAY_MS + (float("inf") if fleet.complete else unheard_ms)
        return msgspec.structs.replace(fleet, members=list(self._members(fleet.members, now_ms, late_ms)))

    def _members(self, members: Iterable[Member], now_ms: float, late_ms: float) -> Iterable[Member]:
        for member in members:
            told_ms = member.up_since_ms
            if not told_ms:  # long past, by whatever clock
                yield member
                continue
            before = self._known.pop(member.id, None)
            if before is not None and before[0] == told_ms:
                start_ms = before[1]
            else:
                old = now_ms - told_ms > late_ms
                start_ms = now_ms if old else min(told_ms, now_ms)
                self.apart += old or told_ms - now_ms > CLOCK_DIFFERENCE_MS
            self._known[member.id] = told_ms, start_ms
            yield msgspec.structs.replace(member, up_since_ms=start_ms)
        while len(self._known) > MAX_SCORERS:
            del self._known[next(iter(self._known))]


@dataclass(slots=True)
class ClockStepCorrection:
    """Tells starts on the clock that takes no steps. After the system's clock was set back, a start may be
    told by it or by one that was not: it counts as the later of the two, so that no cold scorer passes for a
    warmer one. Set forward, a start lies ahead of now at the most, which `Starts` sees to."""

    _known: dict[str, tuple[float, float]] = field(default_factory=dict)  # as told, as counted

    def own(self, fleet: Fleet, stepped_by_ms: float) -> Fleet:
        """The list with the starts moved on by what the clock was set back in sum; one told before stays."""
        return msgspec.structs.replace(fleet, members=[self._own(m, stepped_by_ms) for m in fleet.members])

    def _own(self, member: Member, stepped_by_ms: float) -> Member:
        told_ms = member.up_since_ms
        if not told_ms:
            return member
        known = self._known.pop(member.id, None)
        counted_ms = known[1] if known and known[0] == told_ms else told_ms - min(0.0, stepped_by_ms)
        self._known[member.id] = told_ms, counted_ms
        if len(self._known) > MAX_SCORERS:
            del self._known[next(iter(self._known))]
        return member if counted_ms == told_ms else msgspec.structs.replace(member, up_since_ms=counted_ms)
