"""Health evidence: what one front end sees of each zone, and what follows from it.

Pure; times in milliseconds.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct

from fawnwharf.interface import Ending
from fawnwharf.zones import settings as s

Count = Annotated[int, Meta(ge=0, le=10_000_000)]


class ZoneEvidence(Struct, frozen=True):
    """Successes and failures of one zone within the window."""

    heard: Count = 0  # answers of any kind, and dials that came up
    slow: Count = 0  # of those, answers past their promise
    silent: Count = 0  # nothing came in time
    refused: Count = 0  # dials that failed
    broken: Count = 0  # connections that ended under a call
    run: Count = 0  # scorers that were bad since the last good sign of any scorer there
    quiet_ms: Annotated[float, Meta(ge=0.0)] = 0.0  # since that sign, where there is a run

    @property
    def bad(self) -> int:
        """The number of failures."""
        return self.silent + self.refused + self.broken


class ZoneHealth(Enum):
    """What one front end makes of a zone."""

    UNKNOWN = "unknown"
    GOOD = "good"
    SLOW = "slow"
    DEAD = "dead"


def zone_health(seen: ZoneEvidence | None, rules: s.EvidenceSettings) -> ZoneHealth:
    """The view that the evidence amounts to.

    A run of failures at different scorers with no success between them shows a dead zone long before the
    successes of the window are forgotten.
    """
    if seen is not None and seen.run >= rules.least and seen.quiet_ms >= rules.quiet_ms:
        return ZoneHealth.DEAD
    if seen is None or seen.heard + seen.bad < rules.least:
        return ZoneHealth.UNKNOWN
    if seen.bad >= rules.dead_share * (seen.heard + seen.bad):
        return ZoneHealth.DEAD
    return ZoneHealth.SLOW if seen.slow >= rules.slow_share * seen.heard else ZoneHealth.GOOD


_SLICES = 4  # of the window

_KINDS = {
    Ending.GOOD: "heard",
    Ending.ERROR: "heard",
    Ending.FULL: "heard",
    Ending.MISS: "heard",
    Ending.TIMEOUT: "silent",
    Ending.CONNECT_FAILED: "refused",
    Ending.RESET: "broken",
}


@dataclass(slots=True)
class _Slice:
    began_ms: float
    counts: dict[str, dict[str, int]] = field(default_factory=dict)  # by zone, by kind


@dataclass(slots=True)
class _Run:
    """What came of a zone's scorers since the last good sign of any of them."""

    good_ms: float
    bad: set[int] = field(default_factory=set)


class EvidenceCollector:
    """Counts evidence by zone; what is older than the window is forgotten in quarters of it."""

    def __init__(self, rules: s.EvidenceSettings, promise_ms: float) -> None:
        self._rules, self._promise_ms = rules, promise_ms
        self._slices: deque[_Slice] = deque()
        self._runs: dict[str, _Run] = {}

    def ended(self, now_ms: float, zone: str, scorer: int, ending: Ending, took_ms: float) -> None:
        """Take the end of an attempt or a load order.

        A cancelled one tells only that nothing came for so long.
        """
        if ending is Ending.CANCELLED and took_ms > self._promise_ms:
            self.sign(now_ms, zone, scorer, "silent")
        elif kind := _KINDS.get(ending):
            self.sign(now_ms, zone, scorer, kind)
            if kind == "heard" and took_ms > self._promise_ms:
                self._count(now_ms, zone, "slow")

    def dialled(self, now_ms: float, zone: str, scorer: int, good: bool) -> None:
        """Take the result of a probe."""
        self.sign(now_ms, zone, scorer, "heard" if good else "refused")

    def sign(self, now_ms: float, zone: str, scorer: int, kind: str) -> None:
        """Count one piece of evidence; `kind` is a field of `Seen`."""
        self._count(now_ms, zone, kind)
        run = self._runs.setdefault(zone, _Run(now_ms))
        if kind == "heard":
            run.good_ms = now_ms
            run.bad.clear()
        else:
            run.bad.add(scorer)

    def quiet_ms(self, now_ms: float, zone: str) -> float:
        """The time without a success from a zone."""
        run = self._runs.get(zone)
        return now_ms - run.good_ms if run else float("inf")

    def _count(self, now_ms: float, zone: str, kind: str) -> None:
        self._forget(now_ms)
        if not self._slices or now_ms - self._slices[-1].began_ms >= self._rules.window_ms / _SLICES:
            self._slices.append(_Slice(now_ms))
        counts = self._slices[-1].counts.setdefault(zone, {})
        counts[kind] = counts.get(kind, 0) + 1

    def _forget(self, now_ms: float) -> None:
        while self._slices and now_ms - self._slices[0].began_ms > self._rules.window_ms:
            self._slices.popleft()

    def seen(self, now_ms: float) -> dict[str, ZoneEvidence]:
        """The evidence of the window, by zone."""
        self._forget(now_ms)
        sums: dict[str, dict[str, int]] = {}
        for part in self._slices:
            for zone, counts in part.counts.items():
                total = sums.setdefault(zone, {})
                for kind, count in counts.items():
                    total[kind] = total.get(kind, 0) + count
        return {zone: ZoneEvidence(**counts, **self._run(now_ms, zone)) for zone, counts in sums.items()}

    def _run(self, now_ms: float, zone: str) -> dict[str, float]:
        run = self._runs[zone]
        return {"run": len(run.bad), "quiet_ms": round(now_ms - run.good_ms)} if run.bad else {}
