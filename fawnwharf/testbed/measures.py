"""Measures what became of the calls of a run, and what it took."""

import contextlib
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.replication.log_reading import fetch_status
from fawnwharf.testbed import work
from fawnwharf.testbed.checker import Verdict, judge, runs_of
from fawnwharf.testbed.fleet import Fleet
from fawnwharf.testbed.moves import Figures, figures
from fawnwharf.testbed.outage import Outage, outage
from fawnwharf.testbed.proposals import Change, changes
from fawnwharf.testbed.topology import STATE


@dataclass(slots=True)
class Second:
    """The figures of one second, by when its requests began."""

    asked: float = 0.0  # worth
    served: float = 0.0  # worth, in time
    requests: int = 0
    refused: int = 0
    failed: int = 0
    late: int = 0


@dataclass(slots=True)
class Measures:
    """The figures of one run; milliseconds, worth and counts."""

    scenario: str
    seed: int
    decided: bool
    verdict: Verdict
    seconds: list[Second]
    marks: dict[str, float]  # seconds since the load began
    outcomes: Counter
    percentiles: dict[str, float]
    crossing: float  # part of the calls that reached a scorer of another zone than their front end's
    fetches: int
    worst_fetches: int
    fell: int
    cpu: float = 0.0  # of a core, the mean front end that lived through the load
    memory_mb: float = 0.0  # the largest
    member_bytes: float = 0.0  # between members, a second and member
    acted: list[float] = field(default_factory=list)  # seconds from a zone's loss, of each that lived on
    second_runs: int = 0  # of at-most-once calls
    keyed_repeats: int = 0  # runs of keyed calls beyond their first
    by_tenant: dict[str, float] = field(default_factory=dict)  # service of each
    once_ms: tuple[float, float] = (
        0.0,
        0.0,
    )  # at-most-once calls until their answer: median, 99th percentile
    waits_ms: tuple[float, float] = (0.0, 0.0)  # for keepers: the mean median and the largest 99th percentile
    comebacks: Counter = field(default_factory=Counter)  # what became of lost at-most-once calls asked again
    complaints: list[str] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)  # of policy
    held: float = 0.0  # part of the run in which the lab's own process waited for a processor
    sessions: Figures | None = None  # where calls are those of sessions
    outage: Outage | None = None  # where power was lost
    cold_most: float = 0.0  # of a cold scorer's budget, the most that ever came within its window
    cold_used: float = 0.0  # what came in all
    asks: int = 0  # questions after copies
    orders: int = 0  # to load
    twice: int = 0  # of those, for what another front end had just ordered

    def service(self, since_s: float = 0.0, until_s: float = 1e9) -> float:
        """The worth answered in time over the worth asked."""
        part = [s for n, s in enumerate(self.seconds) if since_s <= n < until_s]
        asked = sum(s.asked for s in part)
        return sum(s.served for s in part) / asked if asked else float("nan")


class Meter:
    """Measures from the begin of the load; what was used before that is not counted."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        fleet.marks["load"] = monotonic_ms()
        self.used, self.passed = fleet.used(), fleet.between_members()
        self.disturbed: list[Any] = []  # moves of sessions that follow from a site's loss and return
        self.cuts: list[float] = []  # of power
        self.came: set[str] = set()  # front ends whose machines came back since
        self.lost: tuple[str, float] | None = None  # the first zone that was lost, and when

    def power_cut(self, fronts: set[str]) -> None:
        """Take that these front ends lost their power."""
        self.cuts.append(monotonic_ms())
        self.came -= fronts

    def power_back(self, front: str) -> None:
        """Take that a front end's power is back."""
        self.came.add(front)

    def zone_lost(self, zone: str) -> None:
        """Take that a zone was lost; the first one counts."""
        self.lost = self.lost or (zone, monotonic_ms())

    def measure(self) -> Measures:
        """The figures up to now."""
        fleet = self.fleet
        began = fleet.marks["load"]
        seconds, outcomes, times, once = self._calls(began)
        spent, used = (monotonic_ms() - began) / 1000.0, fleet.used()
        cpu = self._cpu(used, spent)
        passed = fleet.between_members() - self.passed
        live = {front.name for front in fleet.fronts.values() if front.alive and not front.stopped}
        starts = {id: scorer.cold_starts for id, scorer in fleet.scorers.items()}
        cold = work.cold_use(fleet.arrivals, starts, [r.began_ms for r in fleet.clients.requests])
        came = work.counts(fleet.arrivals)
        measures = Measures(
            scenario=fleet.scenario.name,
            seed=fleet.seed,
            decided=fleet.scenario.decide,
            verdict=judge(fleet),
            seconds=seconds,
            marks={name: (at - began) / 1000.0 for name, at in fleet.marks.items()},
            outcomes=outcomes,
            percentiles={f"p{p}": times.get_value_at_percentile(p) for p in (50, 95, 99)},
            crossing=self._crossing(),
            fetches=fleet.store.fetches,
            worst_fetches=fleet.store.worst,
            fell=sum(scorer.fallen for scorer in fleet.scorers.values()),
            cpu=sum(cpu) / len(cpu) if cpu else 0.0,
            memory_mb=max((used[name][1] for name in used), default=0.0),
            member_bytes=passed / spent / len(fleet.fronts),
            acted=self._acted(),
            second_runs=self._repeats("at_most_once"),
            keyed_repeats=self._repeats("deduplicated"),
            by_tenant=self._by_tenant(),
            once_ms=(once.get_value_at_percentile(50), once.get_value_at_percentile(99)),
            waits_ms=self._waits(),
            comebacks=self._comebacks(),
            complaints=list(fleet.complaints),
            changes=changes(fleet.notes, live),
            cold_most=cold[0],
            cold_used=cold[1],
            asks=came["ask"],
            orders=came["order"],
            twice=work.twice(fleet.arrivals),
            held=fleet.waits.between(began, monotonic_ms()) / 1000.0 / spent,
        )
        if fleet.scenario.live:
            measures.sessions = figures(fleet, self.disturbed, measures.service())
        if self.cuts:
            measures.outage = self._outage(began, measures.fell)
        return measures

    def _calls(self, began: float) -> tuple[list[Second], Counter, HdrHistogram, HdrHistogram]:
        """By second and by outcome; the times of all served calls, and of those that run at most once."""
        length = int((monotonic_ms() - began) / 1000.0) + 1
        seconds = [Second() for _ in range(length)]
        outcomes: Counter = Counter()
        times, once = HdrHistogram(1, 60_000, 3), HdrHistogram(1, 60_000, 3)
        for request in self.fleet.clients.requests:
            second = seconds[min(length - 1, int((request.began_ms - began) / 1000.0))]
            second.asked += request.kind.worth
            second.requests += 1
            second.served += request.kind.worth * request.on_time
            second.refused += request.outcome == "refused"
            second.late += request.outcome == "late" or (request.outcome == "served" and not request.on_time)
            second.failed += request.outcome in ("failed", "lost", "not taken", "no front end")
            outcomes[request.outcome] += 1
            if request.outcome == "served":
                took = max(1, int(request.ended_ms - request.began_ms))
                times.record_value(took)
                if request.kind.effect == "at_most_once":
                    once.record_value(took)
        return seconds, outcomes, times, once

    def _cpu(self, used: dict[str, tuple[float, float]], spent: float) -> list[float]:
        """Parts of a core, of each front end that lived through the run."""
        lived = [name for name in used if name in self.used and used[name][0] >= self.used[name][0]]
        return [(used[name][0] - self.used[name][0]) / spent for name in lived]

    def _crossing(self) -> float:
        """The part of runs at scorers of another zone than the front end's."""
        fleet = self.fleet
        runs = [a for a in fleet.arrivals if a.what == "run" and a.sender in fleet.fronts]
        far = sum(fleet.fronts[a.sender].zone != fleet.scorer_zone[a.scorer] for a in runs)
        return far / len(runs) if runs else 0.0

    def _comebacks(self) -> Counter:
        """Outcomes of at-most-once calls that were lost before and asked for again."""
        return Counter(
            request.outcome
            for request in self.fleet.clients.requests
            if request.kind.effect == "at_most_once"
            and any(attempt.outcome == "lost" for attempt in request.tries[:-1])
        )

    def _outage(self, began_ms: float, fell: int) -> Outage:
        fleet, requests = self.fleet, self.fleet.clients.requests
        ended_ms = max((request.began_ms for request in requests), default=began_ms)
        found = outage(began_ms, self.cuts, ended_ms, requests, fleet.store.asked)
        once = [runs for kind, runs in runs_of(fleet) if kind.effect == "at_most_once"]
        found.fell, found.second_runs = fell, sum(len(runs) - 1 for runs in once)
        found.came = len(self.came)
        found.serving = sum(fleet.fronts[name].ready for name in self.came)
        found.unheard = sum(fleet.fronts[name].log.unheard for name in self.came)
        return found

    def _by_tenant(self) -> dict[str, float]:
        asked: Counter = Counter()
        served: Counter = Counter()
        for request in self.fleet.clients.requests:
            asked[request.tenant] += request.kind.worth
            served[request.tenant] += request.kind.worth * request.on_time
        return {tenant: served[tenant] / worth for tenant, worth in sorted(asked.items())}

    def _repeats(self, effect: str) -> int:
        runs = Counter(a.id for a in self.fleet.arrivals if a.what == "run")
        by_request: Counter = Counter()
        for id, count in runs.items():
            request = self.fleet.clients.by_call.get(id)
            if request is not None and request.kind.effect == effect:
                by_request[request.token] += count
        return sum(count - 1 for count in by_request.values())

    def _waits(self) -> tuple[float, float]:
        """How long calls waited for their keepers, as the front ends that live tell."""
        if self.fleet.scenario.state is None:
            return 0.0, 0.0
        found = []
        live = [front for front in self.fleet.fronts.values() if front.alive and not front.stopped]
        for front in live:
            with contextlib.suppress(OSError, ValueError):
                found.append(fetch_status(f"{front.host}:{STATE}").wait_ms)
        if not found:
            return 0.0, 0.0
        return sum(half for half, _ in found) / len(found), max(most for _, most in found)

    def _acted(self) -> list[float]:
        """When each front end that lived on went by a plan without the zone that was lost first."""
        if self.lost is None:
            return []
        zone, lost_ms = self.lost
        found: dict[str, float] = {}
        for note in self.fleet.notes:
            told = note.event == "following" and note.at_ms >= lost_ms
            told = told and self.fleet.fronts[note.front].zone != zone
            if told and note.fields.get("zones", {}).get(zone, "").startswith("out"):
                found.setdefault(note.front, (note.at_ms - lost_ms) / 1000.0)
        return sorted(found.values())
