"""Baseline strategies that the prefetcher is compared with in running front ends: the setting `mode`. Pure.

*none* prefetches nothing. *react* prefetches a zone's sessions once it is out or back. *everything* keeps a
copy of each live session at every zone, refreshed before it expires. *oracle* is told each move in advance
from a file, for trials only. All use the same load rate limit, choice of orderer and paces as the prefetcher,
except that *oracle* has no pace and none reserves a part of the limit for calls.
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
RENEW_PART = 0.75  # of an idle life: by then what stands idle is renewed
LEAD_MS = 500.0  # by which the oracle's loads are ready before they are needed
SESSIONS_PER_SLICE = 100
ORDERS_PER_SLICE = 20
MAX_LINES = 200_000


class KnownMove(Struct, frozen=True):
    """A line of the oracle's file: from `at_ms` (Unix) on the session's calls go to another zone."""

    at_ms: Annotated[float, Meta(ge=0.0)]
    org: Identifier
    row: Identifier
    destination: Identifier = msgspec.field(name="whither")


def parse_known_moves(data: bytes) -> list[KnownMove]:
    """Parse JSON lines; raises FileFault, which names the line."""
    found: list[KnownMove] = []
    for n, line in enumerate(data.splitlines(), 1):
        if not line.strip():
            continue
        if len(found) >= MAX_LINES:
            raise SettingsFileError(f"foresight.told: line {n}: more than {MAX_LINES}")
        try:
            found.append(msgspec.json.decode(line, type=KnownMove))
        except (msgspec.DecodeError, RecursionError) as error:
            raise SettingsFileError(f"foresight.told: line {n}: {error}") from None
    return found


class BaselineStrategies:
    """Owns what is to be ordered, and when each was ordered."""

    def __init__(
        self,
        bounds: PrefetchSettings,
        site: Settings,
        watch: SessionMonitor,
        destination: NextZones,
        belongs: HomeZone,
        sites: Callable[[], Sequence[str]],
    ) -> None:
        """`sites`: those with a scorer that takes calls."""
        self.sites = sites
        self.bounds, self.watch, self.destination, self.belongs = bounds, watch, destination, belongs
        self.idle_ms = site.idle_life_ms
        self.fleet_size = site.fleet_size
        self.dropped = 0
        self._queue: dict[tuple[str, str], None] = {}
        self._asked: dict[tuple[str, str], float] = {}
        self._out: frozenset[str] = frozenset()
        self._told: list[tuple[float, str, str]] = []
        self._turn: list[Session] = []  # sessions that are yet to be looked at, of all
        self._fleet, self._pace = TokenBucket(bounds.fetches_ps), TokenBucket(bounds.pace_ps)

    def fetches(self, rate_ps: float) -> None:
        """Set the fleet's rate of fetches."""
        self._fleet.rate_ps = rate_ps

    def foretold(self, now_ms: float, unix_ms: float, moves: list[KnownMove]) -> None:
        """Take all that is known of future moves; it replaces what was told before."""
        self._told = [(one.at_ms - unix_ms + now_ms, one.row, one.destination) for one in moves]
        heapq.heapify(self._told)

    def look(self, now_ms: float, view: PlannerView, out: frozenset[str]) -> Slices[list[m.AssignedOrder]]:
        """One pass, in slices: the orders of the strategy that is set.

        `out` are the zones without service.
        """
        mode = self.bounds.mode
        if mode == "react":
            yield from self._react(out)
        elif mode == "everything":
            yield from self._everything(now_ms, out)
        elif mode == "oracle":
            self._oracle(now_ms, view)
        self._out = out
        yield
        return (yield from self._order(now_ms, view))

    def _want(self, row: str, site: str) -> None:
        if len(self._queue) >= MAX_QUEUE and (row, site) not in self._queue:
            self.dropped += 1
        else:
            self._queue[row, site] = None

    def _react(self, out: frozenset[str]) -> Slices[None]:
        watch, most = self.watch, 4 * self.bounds.most
        for site in sorted(out - self._out):
            for n, session in enumerate(watch.here.get(site, SessionGroup()).busiest(most)):
                if n % SESSIONS_PER_SLICE == SESSIONS_PER_SLICE - 1:
                    yield
                for target, _ in self.destination(session, site):
                    self._want(session.row, target)
        for site in sorted(self._out - out):
            back = watch.left.get(site, SessionGroup()).busiest(most)
            back |= dict.fromkeys(one for one in watch.tracks.latest(most) if self.belongs(one) == site)
            for n, session in enumerate(back):
                if n % SESSIONS_PER_SLICE == SESSIONS_PER_SLICE - 1:
                    yield
                track = watch.tracks.get(session)
                if track is not None and track.site != site:
                    self._want(session.row, site)

    def _everything(self, now_ms: float, out: frozenset[str]) -> Slices[None]:
        if not self._turn:
            self._turn = list(self.watch.tracks)
        sites = [site for site in self.sites() if site not in out]
        for n in range(min(len(self._turn), 4 * self.bounds.most)):
            if n % SESSIONS_PER_SLICE == SESSIONS_PER_SLICE - 1:
                yield
            session = self._turn.pop()
            track = self.watch.tracks.get(session)
            if track is None:
                continue
            for site in sites:
                key = (session.row, site)
                late = now_ms - self._asked.get(key, -self.idle_ms) >= RENEW_PART * self.idle_ms
                if site != track.site and late:
                    self._want(*key)

    def _oracle(self, now_ms: float, view: PlannerView) -> None:
        while self._told:
            at_ms, row, site = self._told[0]
            facts = view.facts(row)
            load_ms = facts.load_ms if facts else 1_000.0
            if at_ms - 1.5 * load_ms - LEAD_MS > now_ms + self.bounds.beat_ms:
                return
            heapq.heappop(self._told)
            if at_ms + LEAD_MS >= now_ms:
                self._want(row, site)

    def _order(self, now_ms: float, view: PlannerView) -> Slices[list[m.AssignedOrder]]:
        share = fetch_shares(view, self.fleet_size)
        left = min(self._fleet.left(now_ms) / share, self._pace.left(now_ms))
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
            self._asked.pop(key, None)
            self._asked[key] = now_ms
            if len(self._asked) > 5 * MAX_QUEUE:
                del self._asked[next(iter(self._asked))]
            ration -= 1.0
            if fetch and not free:
                left -= 1.0
                self._fleet.tokens -= share
                self._pace.tokens -= 1.0
            found.append(
                m.AssignedOrder(PrefetchOrder(row, site, 1, self.idle_ms, self.bounds.mode), (scorer,))
            )
        return found
