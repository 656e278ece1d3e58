"""What one front end knows of scorers, copies and functions, as far as prefetching needs it. Pure.

Times are milliseconds of the monotonic clock and are handed in. Scorers are named by the decision module's
numbers. Hash order, slow start, its limit and the load rate limit are computed by the decision module's own
functions on a roster and on arrivals alone, so that none of it is written twice.
"""

from dataclasses import replace
from typing import Annotated

from msgspec import Meta, Struct

from fawnwharf import interface as io
from fawnwharf.policy import Router
from fawnwharf.policy.state import Function, Scorer, mark
from fawnwharf.prefetch.copy_value import FunctionProfile
from fawnwharf.prefetch.lru_map import LruMap
from fawnwharf.session_types import Identifier

MAX_HASH_ORDERS = 512  # hash orders kept in mind
MAX_PLACES = 20_000  # functions with copies, of a site
REST_MS = 5_000.0  # a scorer that was full, or bad, is not staged at for so long
SMOOTHING = 0.2  # weight of one run or load in what is held of a function
# Guesses where nothing was observed or reported.
RUN_MS = 200.0
LOAD_MS = 1_000.0
MEMORY_MB = 256.0


class ScorerView(Router):
    """The decision module, fed with the roster and with the number of arrivals and orders.

    No call ever comes to it.
    """

    def __init__(self, site: io.Settings) -> None:
        super().__init__(replace(site, quotas_rps=dict(site.quotas_rps), classes=dict(site.classes)), 0)
        self._kept: dict[str, Function] = {}
        self._resting_until_ms: dict[int, float] = {}

    def roster(self, now_ms: float, behind_ms: float, told: io.RosterChanged) -> None:
        """Take a change of the roster.

        `behind_ms` is this clock less the Unix time in which scorers tell their start.
        """
        entries = [
            replace(e, up_since_ms=None if e.up_since_ms is None else e.up_since_ms + behind_ms)
            for e in told.entries
        ]
        self.handle(now_ms, [io.RosterChanged(entries, told.complete)])

    def at(self, now_ms: float) -> None:
        """Set the moment that later questions are about."""
        self.handle(now_ms, [])
        self._load_rate_left()  # what is past its window goes
        self._resting_until_ms = {
            worker: until for worker, until in self._resting_until_ms.items() if until > now_ms
        }

    def arrived(self, now_ms: float) -> None:
        """Count an arrival for the load rate limit."""
        self.arrivals_ms.append(now_ms)

    def rest(self, now_ms: float, worker: int) -> None:
        """Give no prefetch order to a scorer for `RESTS_MS`: it was full, or failed."""
        self._resting_until_ms[worker] = now_ms + REST_MS

    def zone(self, worker: int) -> str:
        """The zone of a scorer; empty where it is unknown."""
        found = self.scorers.get(worker)
        return found.entry.zone if found else ""

    def takes(self, worker: int) -> Scorer | None:
        """The scorer if it may be given something new, else None."""
        found = self.scorers.get(worker)
        return found if found and found.takes_new() else None

    def sites(self) -> list[str]:
        """Zones with a scorer that takes calls."""
        return sorted({worker.entry.zone for worker in self.ready})

    def units(self, site: str | None = None) -> float:
        """Capacity units of the scorers that take calls, in one zone or in all."""
        return sum(worker.entry.units for worker in self.ready if site is None or worker.entry.zone == site)

    def order(self, row: str, site: str) -> list[int]:
        """The scorers of a zone in the hash order in which a function's calls look for copies."""
        if row not in self._kept and len(self._kept) >= MAX_HASH_ORDERS:
            self._kept.clear()
        fn = self._kept.setdefault(row, Function(row, "", 1, None, mark(row)))
        return [
            w.id for w in self._ordered(fn) if w.entry.zone == site and w.id not in self._resting_until_ms
        ]

    def cold_room(self, worker: int) -> float:
        """Loads that a scorer may be given now.

        Infinite, or at most one within its limit while in slow start.
        """
        found = self.takes(worker)
        if found is None:
            return 0.0
        if self._warmth(found) >= 1.0:
            return float("inf")
        return 1.0 if self._within_slow_start_limit(found) else 0.0

    def gave(self, now_ms: float, worker: int) -> None:
        """Count a call or load that was given to a scorer, if it is in slow start."""
        found = self.takes(worker)
        if found and self._warmth(found) < 1.0:
            found.slow_start_sends.append(now_ms)

    def ration(self, orders: float | None, told: int) -> tuple[float, float]:
        """What the load rate limit leaves now, and would leave if no order had been given.

        `orders` are the orders of the window as the decision module counted them; where it did not say, every
        answer to an order or a probe counts, which is more. `told` were ordered here and are not counted
        there yet.
        """
        settings = self.settings
        if settings.load_window_ms <= 0:
            return float("inf"), float("inf")
        left = self._load_rate_left()
        most = left + len(self.load_orders_ms)
        return most - (len(self.load_orders_ms) if orders is None else orders) - told, most

    def rate_ps(self) -> float:
        """Own arrivals a second, over the window of the load rate limit."""
        return 1_000.0 * len(self.arrivals_ms) / max(1.0, self.stretch_ms)


MAX_AMOUNT = 1e9
Amount = Annotated[float, Meta(ge=0.0, le=MAX_AMOUNT)]


class FunctionReport(Struct, frozen=True, array_like=True, gc=False):
    """What a front end tells the others of a function."""

    row: Identifier
    class_name: Identifier
    lanes: Annotated[int, Meta(ge=1, le=1_024)]
    memory_mb: Amount | None
    load_ms: Amount | None
    run_ms: Amount | None


class _Fact(Struct, eq=False, gc=False):
    class_name: str
    lanes: int
    own: bool = False  # calls of it came here
    memory_mb: float | None = None
    load_ms: float | None = None
    run_ms: float | None = None
    told_ms: float = float("-inf")
    chunk_index: int = 0


class FunctionTable:
    """What calls and answers told of each function; the `most` functions heard of last are kept."""

    def __init__(self, most: int, tell_ms: float = 60_000.0) -> None:
        self.most, self.tell_ms = most, tell_ms
        self._facts: LruMap[str, _Fact] = LruMap()
        self._due: dict[str, None] = {}  # to be told
        self.memory_mb, self.load_ms, self.run_ms = MEMORY_MB, LOAD_MS, RUN_MS  # means of all

    def __len__(self) -> int:
        return len(self._facts)

    def arrived(self, now_ms: float, event: io.RequestArrived) -> None:
        """Take what a call's arrival tells of its function."""
        fact = self._fact(event.function, event.class_name, max(1, event.lanes))
        fact.class_name, fact.lanes, fact.own = event.class_name, min(1_024, max(1, event.lanes)), True
        if event.memory_mb is not None:
            fact.memory_mb = min(MAX_AMOUNT, max(0.0, event.memory_mb))
            self.memory_mb += 0.02 * (fact.memory_mb - self.memory_mb)
        if event.load_ms is not None and fact.load_ms is None:
            fact.load_ms = min(MAX_AMOUNT, max(0.0, event.load_ms))
        if now_ms - fact.told_ms >= self.tell_ms:
            self._due[event.function] = None

    def ran(self, row: str, took_ms: float) -> None:
        """Take the duration of a run, in milliseconds."""
        if (fact := self._facts.get(row)) is not None:
            fact.run_ms = _toward(fact.run_ms, took_ms)
            self.run_ms = _toward(self.run_ms, took_ms)

    def loaded(self, row: str, took_ms: float) -> None:
        """Take the duration of a load, in milliseconds."""
        if (fact := self._facts.get(row)) is not None:
            fact.load_ms = _toward(fact.load_ms, took_ms)
            self.load_ms = _toward(self.load_ms, took_ms)

    def heard(self, told: FunctionReport) -> None:
        """Take what another front end tells of a function; what was seen here has priority."""
        fact = self._fact(told.row, told.class_name, max(1, told.lanes))
        if not fact.own:
            fact.class_name, fact.lanes = told.class_name, max(1, told.lanes)
        for name in ("memory_mb", "load_ms", "run_ms"):
            if getattr(fact, name) is None or not fact.own:
                setattr(fact, name, getattr(told, name))

    def last(self, most: int) -> list[FunctionReport]:
        """At most `most` functions heard of last, the latest at the end."""
        return [self._tell(row) for row in reversed(self._facts.latest(most))]

    def _tell(self, row: str) -> FunctionReport:
        fact = self._facts[row]
        return FunctionReport(row, fact.class_name, fact.lanes, fact.memory_mb, fact.load_ms, fact.run_ms)

    def tells(self, now_ms: float, most: int) -> tuple[FunctionReport, ...]:
        """What is to be told to others now; the rest follows in later calls."""
        found: list[FunctionReport] = []
        while self._due and len(found) < most:
            row = next(iter(self._due))
            del self._due[row]
            fact = self._facts.get(row)
            if fact is not None:
                fact.told_ms = now_ms
                found.append(self._tell(row))
        return tuple(found)

    def facts(self, row: str) -> FunctionProfile | None:
        """What is known of a function; None where nobody told its class.

        What was not told is guessed as the mean of the functions that did.
        """
        fact = self._facts.get(row)
        if fact is None:
            return None
        memory = self.memory_mb if fact.memory_mb is None else fact.memory_mb
        return FunctionProfile(
            fact.class_name, memory, fact.load_ms or self.load_ms, fact.run_ms or self.run_ms, fact.lanes
        )

    def _fact(self, row: str, class_name: str, lanes: int) -> _Fact:
        fact = self._facts.get(row) or _Fact(class_name, lanes)
        self._facts.use(row, fact)
        if len(self._facts) > self.most:
            oldest = self._facts.oldest()
            if oldest is not None:
                self._facts.pop(oldest)
                self._due.pop(oldest, None)
        return fact


def _toward(held: float | None, seen: float) -> float:
    return seen if held is None else held + SMOOTHING * (seen - held)


class _Place(Struct, eq=False, gc=False):
    at_ms: float = 0.0
    memory_mb: float = 0.0  # as counted
    copies: dict[int, int] = {}  # by scorer
    seen_ms: dict[int, float] = {}  # when that was seen
    used_ms: float = float("-inf")  # a call of others ran, wherever it stands
    chunk_index: int = 0


class CopyTable:
    """Where copies of functions stand, by answers and by other front ends' messages.

    The places seen last are kept. What nobody used or refreshed for an idle life counts as expired.
    """

    def __init__(self, scorers: ScorerView, functions: FunctionTable, idle_ms: float) -> None:
        self.scorers, self.functions, self.idle_ms = scorers, functions, idle_ms
        self._sites: dict[str, LruMap[str, _Place]] = {}
        self._held_mb: dict[str, float] = {}

    def __len__(self) -> int:
        return sum(map(len, self._sites.values()))

    def seen(self, now_ms: float, row: str, worker: int, copies: int) -> None:
        """Take an answer that told how many copies stand at a scorer."""
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
        """Take a call that ran in a zone; `worker` is None where only others know at which scorer."""
        place = self._place(now_ms, row, site)
        if worker is not None:
            place.copies[worker] = max(1, place.copies.get(worker, 0))
            place.seen_ms[worker] = now_ms
        else:
            place.used_ms = now_ms
        self._count(row, site, place)

    def standing(self, now_ms: float, row: str, site: str) -> int:
        """The number of copies that are held to stand in a zone."""
        place = self._sites[site].get(row) if site in self._sites else None
        if place is None or now_ms - place.at_ms > self.idle_ms:
            return 0
        able = 0
        for worker, copies in place.copies.items():
            found, at_ms = self.scorers.takes(worker), place.seen_ms[worker]
            if found and now_ms - at_ms <= self.idle_ms and found.started_ms < at_ms:
                able += copies
        return max(able, int(now_ms - place.used_ms <= self.idle_ms))

    def held_mb(self, site: str) -> float:
        """Memory that copies in a zone take, in megabytes, as far as is known."""
        return self._held_mb.get(site, 0.0)

    def sweep(self, now_ms: float, most: int = 200) -> bool:
        """Forget at most `most` expired places; True where there may be more."""
        gone = 0
        for site, rows in self._sites.items():
            while (row := rows.oldest()) is not None and now_ms - rows[row].at_ms > self.idle_ms:
                if gone >= most:
                    return True
                self._drop(row, site)
                gone += 1
        return False

    def _place(self, now_ms: float, row: str, site: str) -> _Place:
        rows = self._sites.setdefault(site, LruMap())
        place = rows.get(row)
        if place is None:
            oldest = rows.oldest()
            if oldest is not None and len(rows) >= MAX_PLACES:
                self._drop(oldest, site)
            place = _Place()
        rows.use(row, place)
        place.at_ms = max(place.at_ms, now_ms)
        return place

    def _count(self, row: str, site: str, place: _Place) -> None:
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
