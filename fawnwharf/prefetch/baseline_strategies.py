"""Baseline strategies that the prefetcher is compared with in running front ends (setting `mode`). No I/O.

*none* prefetches nothing. *react* prefetches the copies of a zone's sessions after the zone goes out of
service or returns. *everything* keeps a copy for each live session in every zone and refreshes it before it
expires. *oracle* reads each future move from a file; it is for trials only. All strategies use the same load
rate limit, fetch rates and choice of the ordering front end as the prefetcher, with two exceptions: *oracle*
has no limit on its fetch rate, and no strategy reserves a part of the load rate limit for calls.
"""

import heapq
from collections.abc import Callable, Sequence
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from fawnwharf.interface import Settings
from fawnwharf.prefetch import messages as m
from fawnwharf.prefetch.budgets import PlannerView, TokenBucket, fetch_shares, ordering_front_end
from fawnwharf.prefetch.predictors import HomeZone, NextZones
from fawnwharf.prefetch.session_monitor import SessionGroup, SessionMonitor
from fawnwharf.prefetch.settings import PrefetchSettings
from fawnwharf.prefetch.slices import Slices
from fawnwharf.session_types import Identifier, PrefetchOrder, Session
from fawnwharf.zones.settings import SettingsFileError

MAX_QUEUE = 20_000
REFRESH_FRACTION = 0.75  # fraction of a copy's idle life after which it is refreshed
ORACLE_LEAD_MS = 500.0  # the oracle's loads finish this long before the call
SESSIONS_PER_SLICE = 100
ORDERS_PER_SLICE = 20
MAX_KNOWN_MOVES = 200_000


class KnownMove(Struct, frozen=True):
    """A line of the oracle's file: from Unix time `at_ms`, the session's calls go to zone `destination`."""

    at_ms: Annotated[float, Meta(ge=0.0)]
    org: Identifier
    row: Identifier
    destination: Identifier = msgspec.field(name="whither")


def parse_known_moves(data: bytes) -> list[KnownMove]:
    """Parse JSON lines; raises SettingsFileError, which names the faulty line."""
    found: list[KnownMove] = []
    for n, line in enumerate(data.splitlines(), 1):
        if not line.strip():
            continue
        if len(found) >= MAX_KNOWN_MOVES:
            raise SettingsFileError(f"foresight.told: line {n}: more than {MAX_KNOWN_MOVES} moves")
        try:
            found.append(msgspec.json.decode(line, type=KnownMove))
        except (msgspec.DecodeError, RecursionError) as error:
            raise SettingsFileError(f"foresight.told: line {n}: {error}") from None
    return found


class BaselineStrategies:
    """Holds the queue of copies to order, and the time of the last order of each."""

    def __init__(
        self,
        bounds: PrefetchSettings,
        site: Settings,
        watch: SessionMonitor,
        destination: NextZones,
        belongs: HomeZone,
        sites: Callable[[], Sequence[str]],
    ) -> None:
        """`sites` returns the zones that have a scorer accepting calls."""
        self.sites = sites
        self.bounds, self.watch, self.destination, self.belongs = bounds, watch, destination, belongs
        self.idle_ms = site.idle_lifetime_ms
        self.fleet_size = site.fleet_size
        self.dropped = 0  # orders not queued because the queue was full
        self._queue: dict[tuple[str, str], None] = {}
        self._ordered_at_ms: dict[tuple[str, str], float] = {}
        self._previous_out: frozenset[str] = frozenset()
        self._known_moves: list[tuple[float, str, str]] = []
        self._unvisited: list[Session] = []  # sessions not yet visited in this round
        self._fleet_bucket, self._own_bucket = TokenBucket(bounds.fetches_ps), TokenBucket(bounds.pace_ps)

    def fetches(self, rate_ps: float) -> None:
        """Set the fleet's fetch rate, in fetches per second."""
        self._fleet_bucket.rate_ps = rate_ps

    def foretold(self, now_ms: float, unix_ms: float, moves: list[KnownMove]) -> None:
        """Replace the known future moves."""
        self._known_moves = [(one.at_ms - unix_ms + now_ms, one.row, one.destination) for one in moves]
        heapq.heapify(self._known_moves)

    def look(self, now_ms: float, view: PlannerView, out: frozenset[str]) -> Slices[list[m.AssignedOrder]]:
        """Run one pass in slices and return the orders of the configured strategy.

        `out` contains the zones that are out of service.
        """
        mode = self.bounds.mode
        if mode == "react":
            yield from self._react(out)
        elif mode == "everything":
            yield from self._everything(now_ms, out)
        elif mode == "oracle":
            self._oracle(now_ms, view)
        self._previous_out = out
        yield
        return (yield from self._order(now_ms, view))

    def _enqueue(self, row: str, site: str) -> None:
        if len(self._queue) >= MAX_QUEUE and (row, site) not in self._queue:
            self.dropped += 1
        else:
            self._queue[row, site] = None

    def _react(self, out: frozenset[str]) -> Slices[None]:
        watch, most = self.watch, 4 * self.bounds.most
        for site in sorted(out - self._previous_out):
            for n, session in enumerate(watch.here.get(site, SessionGroup()).busiest(most)):
                if n % SESSIONS_PER_SLICE == SESSIONS_PER_SLICE - 1:
                    yield
                for target, _ in self.destination(session, site):
                    self._enqueue(session.row, target)
        for site in sorted(self._previous_out - out):
            back = watch.left.get(site, SessionGroup()).busiest(most)
            back |= dict.fromkeys(one for one in watch.tracks.latest(most) if self.belongs(one) == site)
            for n, session in enumerate(back):
                if n % SESSIONS_PER_SLICE == SESSIONS_PER_SLICE - 1:
                    yield
                track = watch.tracks.get(session)
                if track is not None and track.site != site:
                    self._enqueue(session.row, site)

    def _everything(self, now_ms: float, out: frozenset[str]) -> Slices[None]:
        if not self._unvisited:
            self._unvisited = list(self.watch.tracks)
        sites = [site for site in self.sites() if site not in out]
        for n in range(min(len(self._unvisited), 4 * self.bounds.most)):
            if n % SESSIONS_PER_SLICE == SESSIONS_PER_SLICE - 1:
                yield
            session = self._unvisited.pop()
            track = self.watch.tracks.get(session)
            if track is None:
                continue
            for site in sites:
                key = (session.row, site)
                due = now_ms - self._ordered_at_ms.get(key, -self.idle_ms) >= REFRESH_FRACTION * self.idle_ms
                if site != track.site and due:
                    self._enqueue(*key)

    def _oracle(self, now_ms: float, view: PlannerView) -> None:
        while self._known_moves:
            at_ms, row, site = self._known_moves[0]
            facts = view.facts(row)
            load_ms = facts.load_ms if facts else 1_000.0
            if at_ms - 1.5 * load_ms - ORACLE_LEAD_MS > now_ms + self.bounds.beat_ms:
                return
            heapq.heappop(self._known_moves)
            if at_ms + ORACLE_LEAD_MS >= now_ms:
                self._enqueue(row, site)

    def _order(self, now_ms: float, view: PlannerView) -> Slices[list[m.AssignedOrder]]:
        share = fetch_shares(view, self.fleet_size)
        left = min(self._fleet_bucket.left(now_ms) / share, self._own_bucket.left(now_ms))
        free = self.bounds.mode == "oracle"
        ration, found = view.ration, []
        for n, key in enumerate(list(self._queue)):
            if n % ORDERS_PER_SLICE == ORDERS_PER_SLICE - 1:
                yield
            if n >= self.bounds.most or ration < 1.0:
                break
            row, site = key
            if (
                not view.heard
                or ordering_front_end(row, site, view.heard) != view.me
                or view.facts(row) is None
            ):
                del self._queue[key]
                continue
            fetch = view.standing(row, site) == 0
            if fetch and left < 1.0 and not free:
                continue
            scorer = next((one for one in view.order(row, site) if view.cold_room(one) >= 1.0), None)
            if scorer is None:
                continue
            del self._queue[key]
            self._ordered_at_ms.pop(key, None)
            self._ordered_at_ms[key] = now_ms
            if len(self._ordered_at_ms) > 5 * MAX_QUEUE:
                del self._ordered_at_ms[next(iter(self._ordered_at_ms))]
            ration -= 1.0
            if fetch and not free:
                left -= 1.0
                self._fleet_bucket.tokens -= share
                self._own_bucket.tokens -= 1.0
            found.append(
                m.AssignedOrder(PrefetchOrder(row, site, 1, self.idle_ms, self.bounds.mode), (scorer,))
            )
        return found
