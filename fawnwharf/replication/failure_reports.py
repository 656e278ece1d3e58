"""Which scorers front ends hold bad, and what the others make of it: hints, which break no rule and fade.

Pure. A front end tells the keepers which scorers have given it nothing but bad signs lately; keepers tell
everybody those that several front ends name. Who hears so, and has no good sign of its own, lets the scorer
rest for a while, longer each time it is named again. Never more than a part of a zone's scorers rest: where
many are named, the fault lies elsewhere.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fawnwharf.interface import AttemptResult, Warmth
from fawnwharf.replication import messages as m

WINDOW_MS = 2_000.0  # bad signs older than that are no reason
LIFE_MS = 1_000.0  # what an owner named counts for so long
WITNESSES = 3  # front ends that have to name a scorer, or a third of a small fleet, two at the least
GOOD_MS = 600.0  # with a good sign of its own so lately a front end goes by that
REST_MS, REST_MOST_MS = 2_000.0, 16_000.0
AGAIN_MS = 6_000.0  # named again within so long of its last rest, a scorer rests for twice as long
PART = 0.25  # of a zone's scorers may rest
NAMED_MOST = 64
SOFT_LEAST = 2  # late calls that name a scorer: one alone may have waited for a load

_BAD = (AttemptResult.TIMEOUT, AttemptResult.CONNECT_FAILED, AttemptResult.RESET)
_LOADS = (Warmth.BEGAN_LOAD, Warmth.WAITED_FOR_LOAD)
_GOOD = (AttemptResult.GOOD, AttemptResult.ERROR, AttemptResult.FULL, AttemptResult.MISS)


def min_reporters(fronts: int) -> int:
    return max(2, min(WITNESSES, fronts // 3))


@dataclass(slots=True)
class _Signs:
    good_ms: float = -1e12
    bad: list[float] = field(default_factory=list)  # since the last good one
    hard: bool = False  # one of them was silence or a broken link, no mere lateness


class FailureTracker:
    """A front end's own signs of each scorer."""

    def __init__(self) -> None:
        self._signs: dict[int, _Signs] = {}
        self._number = 0

    def ended(
        self,
        now_ms: float,
        worker: int,
        ending: AttemptResult,
        took_ms: float,
        promise_ms: float,
        warmth: Warmth = Warmth.UNTOLD,
    ) -> None:
        """An attempt or an order has ended. One that was called off, or answered, past its promise is a bad
        sign, too, as it was of no use; but not where the answer tells that a load was waited for."""
        signs = self._signs.setdefault(worker, _Signs())
        late = took_ms > promise_ms and warmth not in _LOADS
        if ending in _BAD or (late and ending in (AttemptResult.CANCELLED, AttemptResult.GOOD)):
            signs.bad.append(now_ms)
            signs.hard = signs.hard or ending in _BAD
        elif ending in _GOOD:
            signs.good_ms, signs.hard = now_ms, False
            signs.bad.clear()

    def good_ms(self, worker: int) -> float:
        signs = self._signs.get(worker)
        return signs.good_ms if signs else -1e12

    def named(self, now_ms: float) -> m.FailureReport:
        """Scorers with bad signs alone, to be told."""
        found = {}
        for worker, signs in list(self._signs.items()):
            signs.bad = [at for at in signs.bad if now_ms - at <= WINDOW_MS]
            if len(signs.bad) >= (1 if signs.hard else SOFT_LEAST):
                found[worker] = min(100, len(signs.bad))
            elif not signs.bad and now_ms - signs.good_ms > 60_000.0:
                del self._signs[worker]
        self._number += 1
        worst = sorted(found, key=lambda worker: (-found[worker], worker))[:NAMED_MOST]
        return m.FailureReport(self._number, {str(worker): found[worker] for worker in worst})


class FailureReportStore:
    """A keeper's: who names which scorer."""

    def __init__(self) -> None:
        self._owners: dict[str, tuple[int, float, m.FailureReport]] = {}
        self.dropped: dict[str, int] = {}

    def heard(self, now_ms: float, owner: str, named: m.FailureReport) -> None:
        known = self._owners.get(owner)
        if known is not None and named.number <= known[0]:
            self.dropped["an older naming"] = self.dropped.get("an older naming", 0) + 1
            return
        self._owners[owner] = named.number, now_ms, named

    def hints(self, now_ms: float, fronts: int) -> m.ReportedOutliers:
        """Scorers that enough front ends name."""
        self._owners = {o: held for o, held in self._owners.items() if now_ms - held[1] <= LIFE_MS}
        names: dict[str, set[str]] = {}
        for owner, (_, _, named) in self._owners.items():
            for worker in named.failures:
                names.setdefault(worker, set()).add(owner.partition("#")[0])
        enough = min_reporters(fronts)
        found = {worker: len(who) for worker, who in sorted(names.items()) if len(who) >= enough}
        return m.ReportedOutliers(dict(list(found.items())[:NAMED_MOST]))


@dataclass(slots=True)
class _Rest:
    until_ms: float
    span_ms: float


class OutlierEjections:
    """A front end's: which scorers rest because others hold them bad."""

    def __init__(self) -> None:
        self._rests: dict[int, _Rest] = {}
        self.refused = 0  # hints that were not gone by, as too many of a zone were named

    def heard(
        self,
        now_ms: float,
        hints: m.ReportedOutliers,
        sights: FailureTracker,
        zones: dict[int, str],
        counts: dict[str, int],
    ) -> None:
        """Take hints on scorers in service: `zones` tells the zone of each, `counts` how many it has."""
        for text in hints.scorers:
            worker = int(text)
            if worker not in zones or now_ms - sights.good_ms(worker) <= GOOD_MS:
                continue
            rest = self._rests.get(worker)
            if rest is not None and now_ms < rest.until_ms:
                continue
            resting = sum(zones.get(other) == zones[worker] for other in self.resting(now_ms))
            if resting + 1 > PART * counts[zones[worker]]:
                self.refused += 1
                continue
            again = rest is not None and now_ms - rest.until_ms <= AGAIN_MS
            span = min(REST_MOST_MS, 2.0 * rest.span_ms) if again else REST_MS
            self._rests[worker] = _Rest(now_ms + span, span)

    def resting(self, now_ms: float) -> set[int]:
        self._rests = {w: rest for w, rest in self._rests.items() if now_ms - rest.until_ms <= AGAIN_MS}
        return {worker for worker, rest in self._rests.items() if now_ms < rest.until_ms}


def counts_by(zones: Iterable[str]) -> dict[str, int]:
    found: dict[str, int] = {}
    for zone in zones:
        found[zone] = found.get(zone, 0) + 1
    return found
