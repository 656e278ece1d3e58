"""Health evidence: what one front end observes of each zone, and the health that follows from it.

The module does no I/O. Times are in milliseconds.
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
    """Successes and failures of one zone's scorers within the window, as one front end observed them."""

    # Responses of any kind, and probes that connected.
    responses: Count = msgspec.field(name="heard", default=0)
    # Those of the responses that took longer than the latency target.
    slow_responses: Count = msgspec.field(name="slow", default=0)
    timeouts: Count = msgspec.field(name="silent", default=0)
    connect_failures: Count = msgspec.field(name="refused", default=0)
    # Connections that were closed during a call.
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
        """The number of successes and failures, which is the sample size of a view."""
        return self.responses + self.failures


class ZoneHealth(Enum):
    """The view that one front end has of a zone."""

    UNKNOWN = "unknown"
    GOOD = "good"
    SLOW = "slow"
    DEAD = "dead"


def zone_health(evidence: ZoneEvidence | None, settings: EvidenceSettings) -> ZoneHealth:
    """Derive a front end's view of a zone from its evidence.

    Failures of several scorers without a success in between show that a zone is dead long before its earlier
    successes leave the window.
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


# The kinds of observations, as indexes into a list of counts: plain numbers for speed, because an observation
# is counted for each event.
_RESPONSE = 0
_SLOW_RESPONSE = 1
_TIMEOUT = 2
_CONNECT_FAILURE = 3
_RESET = 4
_KIND_COUNT = 5

_KIND_OF_RESULT = {
    AttemptResult.GOOD: _RESPONSE,
    AttemptResult.ERROR: _RESPONSE,
    AttemptResult.FULL: _RESPONSE,
    AttemptResult.MISS: _RESPONSE,
    AttemptResult.TIMEOUT: _TIMEOUT,
    AttemptResult.CONNECT_FAILED: _CONNECT_FAILURE,
    AttemptResult.RESET: _RESET,
}

_SLICE_COUNT = 4  # the window is divided into this many slices; evidence expires one slice at a time


@dataclass(slots=True)
class _Slice:
    """The number of observations of each kind in one slice of the window, by zone."""

    start_ms: float
    counts: dict[str, list[int]] = field(default_factory=dict)


@dataclass(slots=True)
class _FailureRun:
    """The scorers of a zone that failed since the last success of any of them."""

    success_ms: float
    failing_scorers: set[int] = field(default_factory=set)


class EvidenceCollector:
    """Counts health evidence by zone within a sliding window."""

    def __init__(self, settings: EvidenceSettings, latency_target_ms: float) -> None:
        self._settings = settings
        self._latency_target_ms = latency_target_ms
        self._slices: deque[_Slice] = deque()
        self._failure_runs: dict[str, _FailureRun] = {}

    def record_ending(
        self, now_ms: float, zone: str, scorer: int, result: AttemptResult, took_ms: float
    ) -> None:
        """Record the result of an attempt or of a load order.

        A cancelled one counts as a timeout if it took longer than the latency target, and is not counted
        otherwise.
        """
        if result is AttemptResult.CANCELLED and took_ms > self._latency_target_ms:
            self._record_observation(now_ms, zone, scorer, _TIMEOUT)
        elif (kind := _KIND_OF_RESULT.get(result)) is not None:
            self._record_observation(now_ms, zone, scorer, kind)
            if kind == _RESPONSE and took_ms > self._latency_target_ms:
                self._count(now_ms, zone, _SLOW_RESPONSE)

    def record_probe(self, now_ms: float, zone: str, scorer: int, *, connected: bool) -> None:
        """Record the result of a probe."""
        self._record_observation(now_ms, zone, scorer, _RESPONSE if connected else _CONNECT_FAILURE)

    def _record_observation(self, now_ms: float, zone: str, scorer: int, kind: int) -> None:
        self._count(now_ms, zone, kind)
        run = self._failure_runs.setdefault(zone, _FailureRun(now_ms))
        if kind == _RESPONSE:
            run.success_ms = now_ms
            run.failing_scorers.clear()
        else:
            run.failing_scorers.add(scorer)

    def since_success_ms(self, now_ms: float, zone: str) -> float:
        """The time since the last success of a zone; infinite for a zone without evidence."""
        run = self._failure_runs.get(zone)
        return now_ms - run.success_ms if run else float("inf")

    def _count(self, now_ms: float, zone: str, kind: int) -> None:
        self._forget_old(now_ms)
        if not self._slices or now_ms - self._slices[-1].start_ms >= self._settings.window_ms / _SLICE_COUNT:
            self._slices.append(_Slice(now_ms))
        counts = self._slices[-1].counts.get(zone)
        if counts is None:
            counts = self._slices[-1].counts[zone] = [0] * _KIND_COUNT
        counts[kind] += 1

    def _forget_old(self, now_ms: float) -> None:
        while self._slices and now_ms - self._slices[0].start_ms > self._settings.window_ms:
            self._slices.popleft()

    def evidence(self, now_ms: float) -> dict[str, ZoneEvidence]:
        """The evidence of the window, by zone."""
        self._forget_old(now_ms)
        totals: dict[str, list[int]] = {}
        for window_slice in self._slices:
            for zone, counts in window_slice.counts.items():
                total = totals.setdefault(zone, [0] * _KIND_COUNT)
                for kind, count in enumerate(counts):
                    total[kind] += count
        return {zone: self._zone_evidence(now_ms, zone, counts) for zone, counts in totals.items()}

    def _zone_evidence(self, now_ms: float, zone: str, counts: list[int]) -> ZoneEvidence:
        run = self._failure_runs[zone]
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
