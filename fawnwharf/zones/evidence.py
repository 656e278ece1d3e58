"""Health evidence: what one front end observes of each zone, and the view that follows from it.

Pure; times are in milliseconds.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from fawnwharf.interface import AttemptResult
from fawnwharf.zones.settings import EvidenceSettings

Count = Annotated[int, Meta(ge=0, le=10_000_000)]


class ZoneEvidence(Struct, frozen=True):
    """Successes and failures of one zone within the window, as one front end observed them.

    A scorer is a server of the zone that calls are routed to.
    """

    # Responses of any kind, and probes that connected.
    responses: Count = msgspec.field(name="heard", default=0)
    # The responses that came later than the latency objective.
    slow_responses: Count = msgspec.field(name="slow", default=0)
    timeouts: Count = msgspec.field(name="silent", default=0)
    connect_failures: Count = msgspec.field(name="refused", default=0)
    # Connections that ended during a call.
    resets: Count = msgspec.field(name="broken", default=0)
    # Scorers that failed since the last success of any scorer of the zone, and the time since then.
    failing_scorers: Count = msgspec.field(name="run", default=0)
    since_success_ms: Annotated[float, Meta(ge=0.0)] = msgspec.field(name="quiet_ms", default=0.0)

    @property
    def failures(self) -> int:
        """The number of failures."""
        return self.timeouts + self.connect_failures + self.resets

    @property
    def observations(self) -> int:
        """The number of successes and failures: the sample that a view is based on."""
        return self.responses + self.failures


class ZoneHealth(Enum):
    """The view that one front end has of a zone."""

    UNKNOWN = "unknown"
    GOOD = "good"
    SLOW = "slow"
    DEAD = "dead"


def zone_health(evidence: ZoneEvidence | None, settings: EvidenceSettings) -> ZoneHealth:
    """The view that the evidence amounts to.

    Failures at several scorers in a row, with no success between them, show a dead zone long before the
    successes in the window are forgotten.
    """
    if evidence is None:
        return ZoneHealth.UNKNOWN
    many_failing = evidence.failing_scorers >= settings.min_observations
    if many_failing and evidence.since_success_ms >= settings.no_success_ms:
        return ZoneHealth.DEAD
    if evidence.observations < settings.min_observations:
        return ZoneHealth.UNKNOWN
    if evidence.failures >= settings.dead_fraction * evidence.observations:
        return ZoneHealth.DEAD
    if evidence.slow_responses >= settings.slow_fraction * evidence.responses:
        return ZoneHealth.SLOW
    return ZoneHealth.GOOD


# The kinds of observations, as places in a list of counts: plain numbers, since each event of a batch counts
# one.
_RESPONSE = 0
_SLOW_RESPONSE = 1
_TIMEOUT = 2
_CONNECT_FAILURE = 3
_RESET = 4
_KINDS = 5

_KIND_OF_RESULT = {
    AttemptResult.GOOD: _RESPONSE,
    AttemptResult.ERROR: _RESPONSE,
    AttemptResult.FULL: _RESPONSE,
    AttemptResult.MISS: _RESPONSE,
    AttemptResult.TIMEOUT: _TIMEOUT,
    AttemptResult.CONNECT_FAILED: _CONNECT_FAILURE,
    AttemptResult.RESET: _RESET,
}

_SLICES = 4  # of the window; evidence is forgotten one slice at a time


@dataclass(slots=True)
class _Slice:
    """The number of observations of each kind in one part of the window, by zone."""

    began_ms: float
    counts: dict[str, list[int]] = field(default_factory=dict)


@dataclass(slots=True)
class _FailureRun:
    """The scorers of a zone that failed since the last success of any of them."""

    success_ms: float
    failing_scorers: set[int] = field(default_factory=set)


class EvidenceCollector:
    """Counts health evidence by zone within a sliding window."""

    def __init__(self, settings: EvidenceSettings, latency_objective_ms: float) -> None:
        self._settings = settings
        self._latency_objective_ms = latency_objective_ms
        self._slices: deque[_Slice] = deque()
        self._runs: dict[str, _FailureRun] = {}

    def record_ending(
        self, now_ms: float, zone: str, scorer: int, ending: AttemptResult, took_ms: float
    ) -> None:
        """Record the end of an attempt or of a load order.

        A cancelled one counts as a timeout where it had taken longer than the latency objective, and as
        nothing otherwise.
        """
        if ending is AttemptResult.CANCELLED and took_ms > self._latency_objective_ms:
            self._record(now_ms, zone, scorer, _TIMEOUT)
        elif (kind := _KIND_OF_RESULT.get(ending)) is not None:
            self._record(now_ms, zone, scorer, kind)
            if kind == _RESPONSE and took_ms > self._latency_objective_ms:
                self._count(now_ms, zone, _SLOW_RESPONSE)

    def record_probe(self, now_ms: float, zone: str, scorer: int, *, connected: bool) -> None:
        """Record the result of a probe."""
        self._record(now_ms, zone, scorer, _RESPONSE if connected else _CONNECT_FAILURE)

    def _record(self, now_ms: float, zone: str, scorer: int, kind: int) -> None:
        self._count(now_ms, zone, kind)
        run = self._runs.setdefault(zone, _FailureRun(now_ms))
        if kind == _RESPONSE:
            run.success_ms = now_ms
            run.failing_scorers.clear()
        else:
            run.failing_scorers.add(scorer)

    def since_success_ms(self, now_ms: float, zone: str) -> float:
        """The time since the last success of a zone; infinite for a zone without any evidence."""
        run = self._runs.get(zone)
        return now_ms - run.success_ms if run else float("inf")

    def _count(self, now_ms: float, zone: str, kind: int) -> None:
        self._forget_old(now_ms)
        if not self._slices or now_ms - self._slices[-1].began_ms >= self._settings.window_ms / _SLICES:
            self._slices.append(_Slice(now_ms))
        counts = self._slices[-1].counts.get(zone)
        if counts is None:
            counts = self._slices[-1].counts[zone] = [0] * _KINDS
        counts[kind] += 1

    def _forget_old(self, now_ms: float) -> None:
        while self._slices and now_ms - self._slices[0].began_ms > self._settings.window_ms:
            self._slices.popleft()

    def evidence(self, now_ms: float) -> dict[str, ZoneEvidence]:
        """The evidence of the window, by zone."""
        self._forget_old(now_ms)
        totals: dict[str, list[int]] = {}
        for part in self._slices:
            for zone, counts in part.counts.items():
                total = totals.setdefault(zone, [0] * _KINDS)
                for kind, count in enumerate(counts):
                    total[kind] += count
        return {zone: self._zone_evidence(now_ms, zone, counts) for zone, counts in totals.items()}

    def _zone_evidence(self, now_ms: float, zone: str, counts: list[int]) -> ZoneEvidence:
        run = self._runs[zone]
        failing = len(run.failing_scorers)
        return ZoneEvidence(
            responses=counts[_RESPONSE],
            slow_responses=counts[_SLOW_RESPONSE],
            timeouts=counts[_TIMEOUT],
            connect_failures=counts[_CONNECT_FAILURE],
            resets=counts[_RESET],
            failing_scorers=failing,
            since_success_ms=round(now_ms - run.success_ms) if failing else 0.0,
        )
