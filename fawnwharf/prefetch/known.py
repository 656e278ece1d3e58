"""What one front end knows about scorers, copies and functions, as far as prefetching needs it. No I/O.

Times are milliseconds of the monotonic clock and are passed in. Scorers are identified by the decision
module's numbers. Hash order, slow start, its limit and the load rate limit are computed by the decision
module's own functions from the roster and the arrivals, so that the logic is not duplicated.
"""

from dataclasses import replace
from typing import Annotated

from msgspec import Meta, Struct

from fawnwharf import interface as io
from fawnwharf.policy import Router
from fawnwharf.policy.state import Function, Scorer, name_hash
from fawnwharf.prefetch.copy_value import FunctionProfile
from fawnwharf.prefetch.lru_map import LruMap
from fawnwharf.session_types import Identifier

MAX_HASH_ORDERS = 512  # cached hash orders, one per function
MAX_ENTRIES_PER_ZONE = 20_000  # functions with copies, per zone
REST_MS = 5_000.0  # a scorer that was full or failed gets no prefetch order for this time
SMOOTHING_FACTOR = 0.2  # weight of one run or load in a function's moving averages
MEMORY_SMOOTHING_FACTOR = 0.02  # weight of one call's memory in the mean of all functions
# Defaults until something is observed or reported.
RUN_MS = 200.0
LOAD_MS = 1_000.0
MEMORY_MB = 256.0


class ScorerView(Router):
    """A decision module that gets the roster, arrivals and orders, but no calls.

    It answers which scorers accept loads, and how many loads the limits allow.
    """

    def __init__(self, site: io.Settings) -> None:
        super().__init__(replace(site, quotas_rps=dict(site.quotas_rps), classes=dict(site.classes)), 0)
        self._functions_by_name: dict[str, Function] = {}
        self._resting_until_ms: dict[int, float] = {}

    def roster(self, now_ms: float, behind_ms: float, told: io.RosterChanged) -> None:
        """Apply a change of the roster.

        `behind_ms` is the monotonic clock minus the Unix clock; scorers report their start in Unix time.
        """
        entries = [
            replace(e, up_since_ms=None if e.up_since_ms is None else e.up_since_ms + behind_ms)
            for e in told.entries
        ]
        self.handle(now_ms, [io.RosterChanged(entries, told.complete)])

    def at(self, now_ms: float) -> None:
        """Set the current time, which later queries use."""
        self.handle(now_ms, [])
        self._load_rate_left()  # removes the arrivals and orders that left the window
        self._resting_until_ms = {
            worker: until for worker, until in self._resting_until_ms.items() if until > now_ms
        }

    def arrived(self, now_ms: float) -> None:
        """Count an arrival for the load rate limit."""
        self.arrivals_ms.append(now_ms)

    def rest(self, now_ms: float, worker: int) -> None:
        """Exclude a scorer that was full or failed from prefetch orders for `REST_MS`."""
        self._resting_until_ms[worker] = now_ms + REST_MS

    def zone(self, worker: int) -> str:
        """Return the zone of a scorer, or an empty string if the scorer is unknown."""
        found = self.scorers.get(worker)
        return found.entry.zone if found else ""

    def takes(self, worker: int) -> Scorer | None:
        """Return the scorer if it accepts new calls and loads, else None."""
        found = self.scorers.get(worker)
        return found if found and found.takes_new() else None

    def sites(self) -> list[str]:
        """Return the zones that have a scorer accepting calls."""
        return sorted({worker.entry.zone for worker in self.ready})

    def units(self, site: str | None = None) -> float:
        """Return the capacity units of the scorers that accept calls, in one zone or in all."""
        return sum(worker.entry.units for worker in self.ready if site is None or worker.entry.zone == site)

    def order(self, row: str, site: str) -> list[int]:
        """Return the scorers of a zone in the hash order in which a function's calls look for copies."""
        if row not in self._functions_by_name and len(self._functions_by_name) >= MAX_HASH_ORDERS:
            self._functions_by_name.clear()
        fn = self._functions_by_name.setdefault(row, Function(row, "", 1, None, name_hash(row)))
        return [
            w.id for w in self._ordered(fn) if w.entry.zone == site and w.id not in self._resting_until_ms
        ]

    def cold_room(self, worker: int) -> float:
        """Return how many loads a scorer accepts now.

        This is infinite for a warm scorer, and at most one for a scorer in slow start.
        """
        found = self.takes(worker)
        if found is None:
            return 0.0
        if self._capacity_share(found) >= 1.0:
            return float("inf")
        return 1.0 if self._within_slow_start_limit(found) else 0.0

    def gave(self, now_ms: float, worker: int) -> None:
        """Count a call or load that was sent to a scorer, if the scorer is in slow start."""
        found = self.takes(worker)
        if found and self._capacity_share(found) < 1.0:
            found.slow_start_sends.append(now_ms)

    def ration(self, orders: float | None, told: int) -> tuple[float, float]:
        """Return the load orders that the load rate limit still allows, and its total for the window.

        `orders` is the decision module's count of orders in the window. If it is None, every response to an
        order or a probe counts, which is an overestimate. `told` is the number of orders sent from here that
        the decision module has not counted yet.
        """
        settings = self.settings
        if settings.load_window_ms <= 0:
            return float("inf"), float("inf")
        left = self._load_rate_left()
        most = left + len(self.load_orders_ms)
        return most - (len(self.load_orders_ms) if orders is None else orders) - told, most

    def rate_ps(self) -> float:
        """Return this front end's arrivals per second over the window of the load rate limit."""
        return 1_000.0 * len(self.arrivals_ms) / max(1.0, self.arrival_window_ms)


MAX_AMOUNT = 1e9
Amount = Annotated[float, Meta(ge=0.0, le=MAX_AMOUNT)]


class FunctionReport(Struct, frozen=True, array_like=True, gc=False):
    """A front end's message to the others about one function."""

    row: Identifier
    class_name: Identifier
    lanes: Annotated[int, Meta(ge=1, le=1_024)]
    memory_mb: Amount | None
    load_ms: Amount | None
    run_ms: Amount | None


class _FunctionEntry(Struct, eq=False, gc=False):
    class_name: str
    lanes: int
    own: bool = False  # calls of the function arrived at this front end
    memory_mb: float | None = None
    load_ms: float | None = None
    run_ms: float | None = None
    reported_ms: float = float("-inf")
    chunk_index: int = 0


class FunctionTable:
    """Profiles of functions, from calls and responses; keeps the `most` functions used most recently."""

    def __init__(self, most: int, tell_ms: float = 60_000.0) -> None:
        self.most, self.tell_ms = most, tell_ms
        self._facts: LruMap[str, _FunctionEntry] = LruMap()
        self._unreported: dict[str, None] = {}  # functions to report to the other front ends
        self.memory_mb, self.load_ms, self.run_ms = MEMORY_MB, LOAD_MS, RUN_MS  # means of all functions

    def __len__(self) -> int:
        return len(self._facts)

    def arrived(self, now_ms: float, event: io.RequestArrived) -> None:
        """Update a function from the arrival of a call."""
        fact = self._fact(event.function, event.class_name, max(1, event.lanes))
        fact.class_name, fact.lanes, fact.own = event.class_name, min(1_024, max(1, event.lanes)), True
        if event.memory_mb is not None:
            fact.memory_mb = min(MAX_AMOUNT, max(0.0, event.memory_mb))
            self.memory_mb += MEMORY_SMOOTHING_FACTOR * (fact.memory_mb - self.memory_mb)
        if event.load_ms is not None and fact.load_ms is None:
            fact.load_ms = min(MAX_AMOUNT, max(0.0, event.load_ms))
        if now_ms - fact.reported_ms >= self.tell_ms:
            self._unreported[event.function] = None

    def ran(self, row: str, took_ms: float) -> None:
        """Record the duration of a run, in milliseconds."""
        if (fact := self._facts.get(row)) is not None:
            fact.run_ms = _moving_average(fact.run_ms, took_ms)
            self.run_ms = _moving_average(self.run_ms, took_ms)

    def loaded(self, row: str, took_ms: float) -> None:
        """Record the duration of a load, in milliseconds."""
        if (fact := self._facts.get(row)) is not None:
            fact.load_ms = _moving_average(fact.load_ms, took_ms)
            self.load_ms = _moving_average(self.load_ms, took_ms)

    def heard(self, told: FunctionReport) -> None:
        """Merge another front end's report about a function; own observations have priority."""
        fact = self._fact(told.row, told.class_name, max(1, told.lanes))
        if not fact.own:
            fact.class_name, fact.lanes = told.class_name, max(1, told.lanes)
        for name in ("memory_mb", "load_ms", "run_ms"):
            if getattr(fact, name) is None or not fact.own:
                setattr(fact, name, getattr(told, name))

    def last(self, most: int) -> list[FunctionReport]:
        """Return reports of the `most` functions used most recently, the latest one last."""
        return [self._report(row) for row in reversed(self._facts.latest(most))]

    def _report(self, row: str) -> FunctionReport:
        fact = self._facts[row]
        return FunctionReport(row, fact.class_name, fact.lanes, fact.memory_mb, fact.load_ms, fact.run_ms)

    def tells(self, now_ms: float, most: int) -> tuple[FunctionReport, ...]:
        """Return at most `most` reports that are due; later calls return the rest."""
        found: list[FunctionReport] = []
        while self._unreported and len(found) < most:
            row = next(iter(self._unreported))
            del self._unreported[row]
            fact = self._facts.get(row)
            if fact is not None:
                fact.reported_ms = now_ms
                found.append(self._report(row))
        return tuple(found)

    def facts(self, row: str) -> FunctionProfile | None:
        """Return the profile of a function, or None if its class is unknown.

        Values that nobody reported are replaced by the mean over the functions that have them.
        """
        fact = self._facts.get(row)
        if fact is None:
            return None
        memory = self.memory_mb if fact.memory_mb is None else fact.memory_mb
        return FunctionProfile(
            fact.class_name, memory, fact.load_ms or self.load_ms, fact.run_ms or self.run_ms, fact.lanes
        )

    def _fact(self, row: str, class_name: str, lanes: int) -> _FunctionEntry:
        fact = self._facts.get(row) or _FunctionEntry(class_name, lanes)
        self._facts.use(row, fact)
        if len(self._facts) > self.most:
            oldest = self._facts.oldest()
            if oldest is not None:
                self._facts.pop(oldest)
                self._unreported.pop(oldest, None)
        return fact


def _moving_average(held: float | None, seen: float) -> float:
    return seen if held is None else held + SMOOTHING_FACTOR * (seen - held)


class _CopyEntry(Struct, eq=False, gc=False):
    at_ms: float = 0.0
    memory_mb: float = 0.0  # as counted in the zone's total
    copies: dict[int, int] = {}  # scorer -> number of copies
    seen_ms: dict[int, float] = {}  # scorer -> time of that observation
    used_ms: float = float("-inf")  # last call reported by another front end; its scorer is unknown
    chunk_index: int = 0


class CopyTable:
    """Where copies of functions are loaded, from responses and from other front ends' messages.

    The table keeps the entries seen most recently. A copy that was not used or refreshed for an idle life
    counts as expired.
    """

    def __init__(self, scorers: ScorerView, functions: FunctionTable, idle_ms: float) -> None:
        self.scorers, self.functions, self.idle_ms = scorers, functions, idle_ms
        self._sites: dict[str, LruMap[str, _CopyEntry]] = {}
        self._held_mb: dict[str, float] = {}

    def __len__(self) -> int:
        return sum(map(len, self._sites.values()))

    def seen(self, now_ms: float, row: str, worker: int, copies: int) -> None:
        """Record a response that reports how many copies a scorer has."""
        site = self.scorers.zone(worker)
        if copies <= 0:
            place = self._sites[site].get(row) if site in self._sites else None
            if place is not None and place.copies.pop(worker, 0):
                self._count(row, site, place)
            return
        place = self._place(now_ms, row, site)
        if now_ms >= place.seen_ms.get(worker, now_ms):
            place.copies[worker], place.seen_ms[worker] = copies, now_ms
        self._count(row, site, place)

    def used(self, now_ms: float, row: str, site: str, worker: int | None = None) -> None:
        """Record a call that ran in a zone; `worker` is None if another front end reported it."""
        place = self._place(now_ms, row, site)
        if worker is not None:
            place.copies[worker] = max(1, place.copies.get(worker, 0))
            place.seen_ms[worker] = now_ms
        else:
            place.used_ms = now_ms
        self._count(row, site, place)

    def standing(self, now_ms: float, row: str, site: str) -> int:
        """Return the number of copies believed to be loaded in a zone."""
        place = self._sites[site].get(row) if site in self._sites else None
        if place is None or now_ms - place.at_ms > self.idle_ms:
            return 0
        usable = 0
        for worker, copies in place.copies.items():
            found, at_ms = self.scorers.takes(worker), place.seen_ms[worker]
            if found and now_ms - at_ms <= self.idle_ms and found.started_ms < at_ms:
                usable += copies
        return max(usable, int(now_ms - place.used_ms <= self.idle_ms))

    def held_mb(self, site: str) -> float:
        """Return the memory of the known copies in a zone, in megabytes."""
        return self._held_mb.get(site, 0.0)

    def sweep(self, now_ms: float, most: int = 200) -> bool:
        """Remove at most `most` expired entries; return True if there may be more."""
        removed = 0
        for site, rows in self._sites.items():
            while (row := rows.oldest()) is not None and now_ms - rows[row].at_ms > self.idle_ms:
                if removed >= most:
                    return True
                self._drop(row, site)
                removed += 1
        return False

    def _place(self, now_ms: float, row: str, site: str) -> _CopyEntry:
        rows = self._sites.setdefault(site, LruMap())
        place = rows.get(row)
        if place is None:
            oldest = rows.oldest()
            if oldest is not None and len(rows) >= MAX_ENTRIES_PER_ZONE:
                self._drop(oldest, site)
            place = _CopyEntry()
        rows.use(row, place)
        place.at_ms = max(place.at_ms, now_ms)
        return place

    def _count(self, row: str, site: str, place: _CopyEntry) -> None:
        facts = self.functions.facts(row)
        copies = max(1, sum(place.copies.values()))
        mb = copies * (facts.memory_mb if facts else self.functions.memory_mb)
        self._held_mb[site] = self._held_mb.get(site, 0.0) + mb - place.memory_mb
        place.memory_mb = mb

    def _drop(self, row: str, site: str) -> None:
        place = self._sites[site].pop(row)
        if place is None:
            return
        self._held_mb[site] = max(0.0, self._held_mb.get(site, 0.0) - place.memory_mb)
