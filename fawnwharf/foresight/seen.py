"""Calls by session and site: counters by owner, merged by law, and the fading windows that they amount to.

Pure. Counters are a grow-only map (a G-counter, Shapiro et al. 2011): a session's at a site of one owner is a
pair (since, calls) of which the larger one holds, so that words may come late, twice or in any order. Rates
are made of what counters rose by from one look (`beat`) to the next, not of when words came: two front ends
that heard the same words by a look have the same rates.
"""

import math
from collections import OrderedDict
from collections.abc import Iterator

from fawnwharf.foresight import messages as m
from fawnwharf.foresight.settings import Foresight
from fawnwharf.sites import Session

_BITS = 31
_MASK = (1 << _BITS) - 1
MOVED_SHARE = 0.6  # of a session's calls of late, for a site to be held where it is
BEGAN = 0.2  # of a call in the fast window: a site with less had none of late
OWNERS_MOST = 512
SITES_MOST = 8  # of one session: one that calls everywhere moves nowhere


class Flow:
    """Calls of a session at a site."""

    __slots__ = ("at_ms", "fast", "session", "since_ms", "site", "slow")

    def __init__(self, session: Session, site: str) -> None:
        self.session, self.site = session, site
        self.fast = self.slow = self.at_ms = self.since_ms = 0.0


class Track:
    """A session: where it is, where it was before, and its flows by site."""

    __slots__ = ("began_ms", "flows", "last_ms", "site", "was")

    def __init__(self, now_ms: float) -> None:
        self.began_ms = self.last_ms = now_ms
        self.site = self.was = ""
        self.flows: tuple[Flow, ...] = ()

    def rate_ps(self, settings: Foresight, now_ms: float) -> float:
        """Calls a second at all sites, by the slow window, or by its life where that is shorter."""
        span = min(settings.slow_ms, max(2 * settings.beat_ms, now_ms - self.began_ms))
        return (
            1000.0 * sum(f.slow * math.exp((f.at_ms - now_ms) / settings.slow_ms) for f in self.flows) / span
        )


class Watcher:
    """A front end's: own calls are counted in, others' words heard; `beat` looks at what rose."""

    def __init__(self, settings: Foresight, me: str = "me") -> None:
        self.settings, self.me = settings, me
        self.number = 1
        self.tracks: OrderedDict[Session, Track] = OrderedDict()  # those still for longest first
        self.groups: dict[tuple[str, str], dict[Session, Track]] = {}  # by tenant and site
        self.left: dict[str, dict[Session, Track]] = {}  # by the site that they were at before
        self.dropped: dict[str, int] = {}
        self._counters: dict[str, dict[Flow, int]] = {me: {}}
        self._numbers: dict[str, int] = {}
        self._rose: dict[tuple[str, Flow], int | None] = {}  # what stood before, since the last look
        self._told: dict[Flow, None] = {}  # own counters that are to be told

    def _drop(self, cause: str, count: int = 1) -> None:
        self.dropped[cause] = self.dropped.get(cause, 0) + count

    def called(self, now_ms: float, session: Session, site: str) -> None:
        """A call of a session ran, or was sent, at a site."""
        flow = self._flow(now_ms, session, site)
        if flow is None:
            return
        mine = self._counters[self.me]
        before = mine.get(flow)
        self._rose.setdefault((self.me, flow), before)
        mine[flow] = (self.number << _BITS) + 1 if before is None else before + 1
        self._told[flow] = None

    def word(self) -> m.Word:
        """The own counters that rose since the last word; what is over its bound follows in the next ones."""
        chosen = list(self._told)[: m.ENTRIES_MOST]
        mine, counts = self._counters[self.me], []
        for flow in chosen:
            del self._told[flow]
            counts.append(m.Count(flow.session, flow.site, mine[flow] >> _BITS, mine[flow] & _MASK))
        word = m.Word(self.number, tuple(counts))
        self.number += 1
        return word

    def heard(self, now_ms: float, owner: str, word: m.Word) -> None:
        """Counters of one life of another front end. What is not larger changes nothing."""
        held = self._counters.get(owner)
        if owner == self.me:
            self._drop("a word of my own")
            return
        if held is None:
            if len(self._counters) >= OWNERS_MOST:
                self._drop("an owner beyond the bound")
                return
            held = self._counters[owner] = {}
        self._numbers[owner] = max(word.number, self._numbers.get(owner, 0))
        for count in word.counts:
            flow = self._flow(now_ms, count.session, count.site)
            if flow is None:
                continue
            value, before = (count.since << _BITS) + count.calls, held.get(flow)
            if before is not None and value <= before:
                self._drop("an older count")
                continue
            self._rose.setdefault((owner, flow), before)
            held[flow] = value

    def gone(self, owner: str) -> None:
        """A front end's life is over: its counters count no more, what they amounted to fades."""
        if owner != self.me:
            self._counters.pop(owner, None)
            self._numbers.pop(owner, None)
            self._rose = {key: before for key, before in self._rose.items() if key[0] != owner}

    def beat(self, now_ms: float) -> m.Beat:
        """Takes what rose since the last look; tells moves, ends, and who called where."""
        called: dict[Flow, int] = {}
        for (owner, flow), before in self._rose.items():
            value = self._counters[owner][flow]
            if before is None:
                # Guards against a burst that was none: a session dropped here, but not by its owner, comes
                # with all its past. Only what is counted since the latest words is news.
                new = self._numbers.get(owner, self.number) - (value >> _BITS) <= 2
                rise = value & _MASK if new else min(1, value & _MASK)
            else:
                same = value >> _BITS == before >> _BITS
                rise = value - before if same else value & _MASK
            if rise:
                called[flow] = called.get(flow, 0) + rise
        self._rose = {}
        moved: list[m.Moved] = []
        for session in {flow.session: None for flow in called}:
            self.tracks[session].last_ms = now_ms
            self.tracks.move_to_end(session)
        for flow, rise in called.items():
            self._fade(flow, now_ms)
            if flow.fast < BEGAN:
                flow.since_ms = now_ms
            flow.fast += rise
            flow.slow += rise
        for session in {flow.session: None for flow in called}:
            move = self._place(session, self.tracks[session], now_ms)
            if move is not None:
                moved.append(move)
        ended = tuple(self._end_still(now_ms))
        pairs = tuple((flow.session, flow.site) for flow in called)
        return m.Beat(tuple(sorted(moved, key=lambda move: move.session)), ended, pairs)

    def counters(self) -> dict[tuple[str, Session, str], tuple[int, int]]:
        """All counters, to compare: (owner, session, site) to (since, calls)."""
        return {
            (owner, flow.session, flow.site): (value >> _BITS, value & _MASK)
            for owner, held in self._counters.items()
            for flow, value in held.items()
        }

    def _fade(self, flow: Flow, now_ms: float) -> None:
        span, flow.at_ms = flow.at_ms - now_ms, now_ms
        flow.fast *= math.exp(span / self.settings.fast_ms)
        flow.slow *= math.exp(span / self.settings.slow_ms)

    def _flow(self, now_ms: float, session: Session, site: str) -> Flow | None:
        track = self.tracks.get(session)
        if track is None:
            while len(self.tracks) >= self.settings.sessions:
                oldest = next(iter(self.tracks))
                self._forget(oldest)
                self._drop("a session beyond the bound")
            track = self.tracks[session] = Track(now_ms)
        for flow in track.flows:
            if flow.site == site:
                return flow
        if len(track.flows) >= SITES_MOST:
            self._drop("a site beyond the bound")
            return None
        flow = Flow(session, site)
        flow.at_ms = now_ms
        track.flows += (flow,)
        return flow

    def _place(self, session: Session, track: Track, now_ms: float) -> m.Moved | None:
        for flow in track.flows:
            self._fade(flow, now_ms)
        total = sum(flow.fast for flow in track.flows)
        most = max(track.flows, key=lambda flow: (flow.fast, flow.site))
        if most.site == track.site or (track.site and most.fast < MOVED_SHARE * total):
            return None
        whence = track.site
        if whence:
            self._leave(session, track)
            track.was = whence
            self.left.setdefault(whence, {})[session] = track
        track.site = most.site
        self.groups.setdefault((session.org, most.site), {})[session] = track
        return m.Moved(session, whence, most.site, most.since_ms) if whence else None

    def _forget(self, session: Session) -> Track:
        track = self.tracks.pop(session)
        for flow in track.flows:
            self._told.pop(flow, None)
            for owner, held in self._counters.items():
                if held.pop(flow, None) is not None:
                    self._rose.pop((owner, flow), None)
        self._leave(session, track)
        return track

    def _leave(self, session: Session, track: Track) -> None:
        for table, key in ((self.groups, (session.org, track.site)), (self.left, track.was)):
            group = table.get(key)
            if group is not None:
                group.pop(session, None)
                if not group:
                    del table[key]

    def _end_still(self, now_ms: float) -> Iterator[m.Ended]:
        while self.tracks:
            session, track = next(iter(self.tracks.items()))
            if now_ms - track.last_ms <= self.settings.still_ms:
                return
            self._forget(session)
            yield m.Ended(session, track.site, track.last_ms - track.began_ms)
