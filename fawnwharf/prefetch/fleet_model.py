"""A small model of a fleet in virtual time, for the trial: zones of scorers, their copies, and the store.

The model omits what does not affect the comparison: cores and queues of scorers (a call runs at once when its
copy is loaded), several front ends (one sees everything), and lost messages. It includes the resources that
prefetching uses: the store's fetches, which slow each other down; concurrent loads of a scorer; memory, where
the least recently used copy is evicted; the idle life of copies; and the load rate limit. Equal seeds give
equal sessions and calls, whatever is prefetched.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

from fawnwharf.interface import Settings
from fawnwharf.prefetch.copy_value import FunctionProfile, mean_worth
from fawnwharf.prefetch.settings import Prices
from fawnwharf.replication.placement import rendezvous_weight
from fawnwharf.session_types import Session

MAX_LOADS = 4  # concurrent loads of a scorer
FETCH_PART = 0.6  # fraction of a load's time that the fetch takes
MAX_STORE_FETCHES = 5  # concurrent fetches of the store; others wait in a queue
CORE_PART = 0.08  # fraction of a load's time that uses a core


@dataclass(slots=True)
class Copy:
    """A loaded copy of a function at a scorer."""

    row: str
    ready_ms: float
    used_ms: float
    memory_mb: float
    prefetched: bool  # prefetched, and not used by a call yet


@dataclass(slots=True)
class Scorer:
    """A scorer with its memory and copies."""

    name: str
    site: str
    memory_mb: float
    copies: dict[str, Copy] = field(default_factory=dict)
    cold_until_ms: float = 0.0

    def held_mb(self) -> float:
        """Return the memory of its copies, in megabytes."""
        return sum(copy.memory_mb for copy in self.copies.values())


@dataclass(slots=True)
class Call:
    """A call of a session at a zone."""

    at_ms: float
    session: Session
    site: str
    run_ms: float
    after_move_ms: float | None  # time since the session's last move; None if it has not moved
    first: bool  # first call of the session in the zone since that move


@dataclass(slots=True)
class Tally:
    """Results of one run, as values and counts."""

    worth: float = 0.0  # priority weight of all calls
    served: float = 0.0  # the part of it that was earned
    # Seconds after a move -> [served, worth] of the calls in that time.
    spans: dict[int, list[float]] = field(
        default_factory=lambda: {1: [0.0, 0.0], 5: [0.0, 0.0], 20: [0.0, 0.0]}
    )
    first_calls: int = 0
    found: int = 0
    calls: int = 0
    fetches: int = 0
    prefetch_loads: int = 0  # loads that a prefetch order started
    orders: int = 0  # prefetch orders
    wasted: int = 0  # prefetched copies that served no call
    wasted_ms: float = 0.0  # core time of the loads of these copies

    def add(self, call: Call, worth: float, served: float, found: bool) -> None:
        """Count a call: its priority weight, the part that was earned, and whether it found a loaded copy."""
        self.calls += 1
        self.worth += worth
        self.served += served
        self.first_calls += call.first
        self.found += call.first and found
        for span_s, row in self.spans.items():
            if call.after_move_ms is not None and call.after_move_ms < 1000.0 * span_s:
                row[0] += served
                row[1] += worth

    def service(self, span_s: int | None = None) -> float:
        """Return the earned fraction of the worth of all calls, or of calls up to `span_s` s after a move."""
        part, whole = (self.served, self.worth) if span_s is None else self.spans[span_s]
        return part / whole if whole else 1.0

    def price(self, prices: Prices, run_ms: float) -> float:
        """Return the service minus the cost per call of fetches, orders and wasted work."""
        spent = prices.origin * self.fetches + prices.probe * self.orders
        return self.service() - (spent + prices.waste * self.wasted_ms / run_ms) / max(1, self.calls)


class FleetModel:
    """Owns scorers and copies; `call` serves a call, and `stage` carries out a prefetch order."""

    def __init__(
        self,
        site: Settings,
        sites: Iterable[str],
        scorers_per_zone: int,
        memory_mb: float,
        facts: dict[str, FunctionProfile],
    ) -> None:
        self.settings, self.facts = site, facts
        self.scorers = {
            name: [Scorer(f"{name}/{n}", name, memory_mb) for n in range(scorers_per_zone)]
            for name in sorted(sites)
        }
        self.by_name = {scorer.name: scorer for some in self.scorers.values() for scorer in some}
        self.tally = Tally()  # the whole run
        self.window = Tally()  # calls of the measured part
        self.measures = False
        self.mean = mean_worth(site.classes)
        self.store = [0.0] * MAX_STORE_FETCHES  # heap: when each concurrent fetch ends
        self.arrivals_ms: list[float] = []  # calls in the window of the load rate limit
        self.orders_ms: list[float] = []  # prefetch orders in that window
        self.down: set[str] = set()
        self.waits_until_ms: list[float] = []  # when each call that waits for a load stops waiting
        self._orders: dict[tuple[str, str], list[Scorer]] = {}

    def order(self, row: str, site: str) -> list[Scorer]:
        """Return the scorers of a zone in the hash order in which a function's calls look for copies."""
        key = (row, site)
        if key not in self._orders:
            self._orders[key] = sorted(
                self.scorers[site], key=lambda s: rendezvous_weight(s.name, row), reverse=True
            )
        return self._orders[key]

    def standing(self, now_ms: float, row: str, site: str) -> int:
        """Return the number of copies of a function that are loaded or loading in a zone."""
        return sum(self._copy(now_ms, scorer, row) is not None for scorer in self.scorers[site])

    def ration(self, now_ms: float) -> tuple[float, float]:
        """Return the load orders that the load rate limit still allows, and its total for the window."""
        settings = self.settings
        since = now_ms - settings.load_window_ms
        self.arrivals_ms = [at for at in self.arrivals_ms if at > since]
        self.orders_ms = [at for at in self.orders_ms if at > since]
        most = settings.free_loads + settings.loads_per_arrival * len(self.arrivals_ms)
        return most - len(self.orders_ms), most

    def spare_mb(self, now_ms: float, site: str) -> float:
        """Remove the expired copies of a zone and return its free memory, in megabytes."""
        for scorer in self.scorers[site]:
            for row in list(scorer.copies):
                self._copy(now_ms, scorer, row)
        return sum(scorer.memory_mb - scorer.held_mb() for scorer in self.scorers[site])

    def call(self, call: Call) -> None:
        """Serve a call with the copy that is ready first, or load one at the first scorer and wait for it."""
        now, row = call.at_ms, call.session.row
        facts, tally = self.facts[row], self.tally
        spec = self.settings.classes[facts.class_name]
        self.arrivals_ms.append(now)
        copies = [self._copy(now, scorer, row) for scorer in self.order(row, call.site)]
        copy = min((c for c in copies if c is not None), key=lambda c: max(now, c.ready_ms), default=None)
        found = copy is not None and copy.ready_ms <= now
        if copy is None:
            copy = self._load(now, self.order(row, call.site)[0], facts, row, prefetched=False)
        wait = (max(now, copy.ready_ms) - now) if copy is not None else spec.deadline_ms
        if wait > 0:
            self.waits_until_ms.append(now + wait)
        if copy is not None:
            copy.prefetched = False
            copy.used_ms = max(copy.used_ms, now + wait + call.run_ms)
        took = wait + call.run_ms
        part = 1.0 if took <= spec.latency_target_ms else spec.late_share if took <= spec.deadline_ms else 0.0
        for one in (tally, self.window) if self.measures else (tally,):
            one.add(call, spec.priority_weight, spec.priority_weight * part, found)

    def stage(self, now_ms: float, row: str, scorer: Scorer) -> bool:
        """Order a copy; return False if the load rate limit allows none.

        The limit counts the order even if a copy is already loaded.
        """
        if self.ration(now_ms)[0] < 1:
            return False
        self.orders_ms.append(now_ms)
        self.tally.orders += 1
        copy = self._copy(now_ms, scorer, row)
        if copy is not None:
            copy.used_ms = max(copy.used_ms, now_ms)
        elif self._load(now_ms, scorer, self.facts[row], row, prefetched=True) is not None:
            self.tally.prefetch_loads += 1
        return True

    def lose(self, site: str) -> None:
        """Remove all copies of a zone."""
        for scorer in self.scorers[site]:
            for copy in list(scorer.copies.values()):
                self._drop(scorer, copy)

    def end(self) -> tuple[Tally, Tally]:
        """End the run and return the tallies of the whole run and of the measured part."""
        for some in self.scorers.values():
            for scorer in some:
                for copy in list(scorer.copies.values()):
                    self._drop(scorer, copy)
        return self.tally, self.window

    def _drop(self, scorer: Scorer, copy: Copy) -> None:
        del scorer.copies[copy.row]
        if copy.prefetched:
            self.tally.wasted += 1
            self.tally.wasted_ms += CORE_PART * self.facts[copy.row].load_ms

    def _copy(self, now_ms: float, scorer: Scorer, row: str) -> Copy | None:
        copy = scorer.copies.get(row)
        if copy is not None and now_ms > max(copy.used_ms, copy.ready_ms) + self.settings.idle_lifetime_ms:
            self._drop(scorer, copy)
            return None
        return copy

    def _load(
        self, now_ms: float, scorer: Scorer, facts: FunctionProfile, row: str, prefetched: bool
    ) -> Copy | None:
        while scorer.held_mb() + facts.memory_mb > scorer.memory_mb:
            idle = [copy for copy in scorer.copies.values() if max(copy.used_ms, copy.ready_ms) <= now_ms]
            if not idle:
                return None
            self._drop(scorer, min(idle, key=lambda copy: (copy.used_ms, copy.row)))
        loading = sorted(copy.ready_ms for copy in scorer.copies.values() if copy.ready_ms > now_ms)
        begins = loading[-MAX_LOADS] if len(loading) >= MAX_LOADS else now_ms
        begins = max(begins, self.store[0])
        fetch = FETCH_PART * facts.load_ms
        heapq.heapreplace(self.store, begins + fetch)
        self.tally.fetches += 1
        ready = begins + fetch + (1 - FETCH_PART) * facts.load_ms
        copy = scorer.copies[row] = Copy(row, ready, ready, facts.memory_mb, prefetched)
        return copy
