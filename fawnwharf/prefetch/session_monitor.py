"""Rates of calls by session and zone.

Counters by owner, merged, and the decaying windows made from them. Pure.

The counters are a grow-only map (a G-counter, Shapiro et al. 2011): an owner's counter for a session at a
zone is a pair (since, calls) of which the larger one wins, so messages may come late, twice or in any order.
Rates are computed from how counters rose between two passes (`beat`), not from when messages came: two front
ends that received the same messages by a pass have the same rates. A pass may be done in slices (`look`),
between which calls and messages may come in.
"""

import math
from itertools import chain, islice
from typing import TypeVar

from msgspec import Struct

from fawnwharf.prefetch import messages as m
from fawnwharf.prefetch.lru_map import LruMap
from fawnwharf.prefetch.settings import PrefetchSettings
from fawnwharf.prefetch.slices import Slices, run_slices
from fawnwharf.session_types import Session

_BITS = 31
_MASK = (1 << _BITS) - 1
MIN_MOVED_SHARE = 0.6  # of a session's calls of late, for a site to be held where it is
MIN_RECENT_CALLS = 0.2  # of a call in the fast window: a site with less had none of late
MAX_OWNERS = 512
MAX_ZONES = 8  # of one session: one that calls everywhere moves nowhere
RISES_PER_SLICE = 150
PLACES_PER_SLICE = 80
ENDS_PER_SLICE = 40
MAX_RISES = 20_000  # of one pass: what exceeds it stays for the next ones
MAX_ENDS = 5_000


# Not seen by the collector of garbage, which would walk all sessions in one go: no cycle goes through them.
class Flow(Struct, eq=False, gc=False):
    """Calls of a session at a zone, in two decaying windows."""

    session: Session
    site: str
    at_ms: float
    fast: float = 0.0
    slow: float = 0.0
    since_ms: float = 0.0


class SessionRate(Struct, eq=False, gc=False):
    """A session: its zone, the one before, and its flows by zone."""

    began_ms: float
    last_ms: float
    site: str = ""
    was: str = ""
    chunk_index: int = 0  # of the map of all sessions
    level: int = 0  # doublings of its calls of late, as of the last look that saw one
    flows: tuple[Flow, ...] = ()

    def rate_ps(self, settings: PrefetchSettings, now_ms: float) -> float:
        """Calls a second at all zones, by the slow window, or since its first call where that is shorter."""
        span = min(settings.slow_ms, max(2 * settings.beat_ms, now_ms - self.began_ms))
        return (
            1000.0 * sum(f.slow * math.exp((f.at_ms - now_ms) / settings.slow_ms) for f in self.flows) / span
        )


class SessionGroup:
    """Sessions by level of activity, so that the busiest are found without a pass over all of them."""

    __slots__ = ("_levels", "_size")

    def __init__(self) -> None:
        self._levels: dict[int, dict[Session, SessionRate]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __contains__(self, session: Session) -> bool:
        return any(session in some for some in self._levels.values())

    def add(self, session: Session, track: SessionRate) -> None:
        """Add a session at its track's level."""
        some = self._levels.setdefault(track.level, {})
        self._size += session not in some
        some[session] = track

    def remove(self, session: Session, track: SessionRate) -> None:
        """Remove a session from its track's level, if it is there."""
        some = self._levels.get(track.level, {})
        if some.pop(session, None) is not None:
            self._size -= 1
            if not some:
                del self._levels[track.level]

    def one(self) -> SessionRate:
        """Any one of them."""
        return next(iter(next(iter(self._levels.values())).values()))

    def busiest(self, most: int) -> dict[Session, None]:
        """At most `most` sessions, the busiest first, within a factor of two.

        The result is a dict, as the garbage collector would walk a list.
        """
        levels = (self._levels[level] for level in sorted(self._levels, reverse=True))
        return dict.fromkeys(islice(chain.from_iterable(levels), most))


GroupKey = TypeVar("GroupKey")


def _leave_group(
    groups: dict[GroupKey, SessionGroup], key: GroupKey, session: Session, track: SessionRate
) -> None:
    """Remove a session from one of some groups, and the group with its last session."""
    group = groups.get(key)
    if group is not None:
        group.remove(session, track)
        if not group:
            del groups[key]


class SessionMonitor:
    """The session monitor of one front end.

    Counts its own calls, merges others' counters, and finds moves.
    """

    def __init__(self, settings: PrefetchSettings, me: str = "me") -> None:
        self.settings, self.me = settings, me
        self.number = 1
        self.tracks: LruMap[Session, SessionRate] = LruMap()  # those still for longest first
        self.groups: dict[tuple[str, str], SessionGroup] = {}  # by tenant and site
        self.here: dict[str, SessionGroup] = {}  # by site
        self.left: dict[str, SessionGroup] = {}  # by the site that they were at before
        self.dropped: dict[str, int] = {}
        self._counters: dict[str, dict[Flow, int]] = {me: {}}
        self._numbers: dict[str, int] = {}
        self._rose: dict[str, dict[Flow, int | None]] = {me: {}}  # what stood before, since the last look
        self._told: dict[Flow, None] = {}  # own counters that are to be told
        self._looks = 0
        self._graves: list[
            dict[Flow, int] | dict[Flow, int | None]
        ] = []  # counters of owners that are gone, freed by and by

    def _drop(self, cause: str, count: int = 1) -> None:
        self.dropped[cause] = self.dropped.get(cause, 0) + count

    def called(self, now_ms: float, session: Session, site: str) -> None:
        """Count a call of a session that ran, or was sent, at a zone."""
        flow = self._flow(now_ms, session, site)
        if flow is None:
            return
        mine = self._counters[self.me]
        before = mine.get(flow)
        self._rose[self.me].setdefault(flow, before)
        mine[flow] = (self.number << _BITS) + 1 if before is None else before + 1
        self._told[flow] = None
        self._touch(now_ms, flow.session)

    def word(self) -> m.CounterMessage:
        """The own counters that rose since the last message.

        What exceeds its bound follows in the next ones.
        """
        word = self.part(m.MAX_ENTRIES)
        self.number += 1
        return word

    def part(self, most: int) -> m.CounterMessage:
        """At most `most` of these counters, under the current number.

        The parts with one number are one message.
        """
        mine, counts = self._counters[self.me], []
        for flow in list(islice(self._told, most)):
            del self._told[flow]
            counts.append(m.CallCounter(flow.session, flow.site, mine[flow] >> _BITS, mine[flow] & _MASK))
        return m.CounterMessage(self.number, tuple(counts))

    @property
    def untold(self) -> int:
        """The number of own counters that are still to be sent."""
        return len(self._told)

    def _touch(self, now_ms: float, session: Session) -> None:
        track = self.tracks[session]
        track.last_ms = max(track.last_ms, now_ms)
        self.tracks.use(session, track)

    def heard(self, now_ms: float, owner: str, word: m.CounterMessage) -> None:
        """Merge the counters of one incarnation of another front end; what is not larger changes nothing."""
        held = self._counters.get(owner)
        if owner == self.me:
            self._drop("a word of my own")
            return
        if held is None:
            if len(self._counters) >= MAX_OWNERS:
                self._drop("an owner beyond the bound")
                return
            held = self._counters[owner] = {}
            self._rose[owner] = {}
        self._numbers[owner] = max(word.number, self._numbers.get(owner, 0))
        for count in word.counts:
            flow = self._flow(now_ms, count.session, count.site)
            if flow is None:
                continue
            value, before = (count.since << _BITS) + count.calls, held.get(flow)
            if before is not None and value <= before:
                self._drop("an older count")
                continue
            self._rose[owner].setdefault(flow, before)
            held[flow] = value
            self._touch(now_ms, flow.session)

    def gone(self, owner: str) -> None:
        """Drop the counters of an incarnation that is over; the rates made from them decay."""
        if owner != self.me and (held := self._counters.pop(owner, None)) is not None:
            self._numbers.pop(owner, None)
            self._graves += [held, self._rose.pop(owner)]

    def beat(self, now_ms: float) -> m.ScanResult:
        """A whole pass at once."""
        return run_slices(self.look(now_ms))

    def look(self, now_ms: float) -> Slices[m.ScanResult]:
        """A pass over what rose since the last one, in slices: moves, ends, and who called where."""
        self._looks += 1
        # No lists of all of them: the garbage collector would walk them.
        called: dict[Flow, None] = {}
        sessions: dict[Session, None] = {}
        yield from self._count_rises(now_ms, called, sessions)
        yield
        moved = yield from self._find_moves(now_ms, sessions)
        ended: list[m.SessionEnded] = []
        while len(ended) < MAX_ENDS and (end := self._end_still(now_ms)) is not None:
            ended.append(end)
            if len(ended) % ENDS_PER_SLICE == 0:
                yield
        yield from self._free_graves()
        return m.ScanResult(tuple(moved), tuple(ended), called)

    def _count_rises(
        self, now_ms: float, called: dict[Flow, None], sessions: dict[Session, None]
    ) -> Slices[None]:
        """Add what rose to the windows, owner by owner; each pass begins with another owner.

        What had calls is added to `called` and `sessions`.
        """
        count, slice_, owners = 0, 0, list(self._rose)
        first = self._looks % len(owners)
        for owner in owners[first:] + owners[:first]:
            left = min(len(self._rose.get(owner, ())), MAX_RISES - count)
            while left > 0 and (some := list(islice(self._rose.get(owner, ()), min(left, RISES_PER_SLICE)))):
                left, count = left - len(some), count + len(some)
                for flow in some:
                    if rise := self._rise(owner, flow):
                        self._add(flow, rise, now_ms)
                        called[flow] = sessions[flow.session] = None
                slice_ += len(some)
                if slice_ >= RISES_PER_SLICE:
                    slice_ = 0
                    yield

    def _add(self, flow: Flow, rise: int, now_ms: float) -> None:
        self._fade(flow, now_ms)
        if flow.fast < MIN_RECENT_CALLS:
            flow.since_ms = now_ms
        flow.fast += rise
        flow.slow += rise

    def _find_moves(self, now_ms: float, sessions: dict[Session, None]) -> Slices[list[m.SessionMoved]]:
        """Place the sessions that called; those found at another zone than before have moved."""
        moved: list[m.SessionMoved] = []
        for n, session in enumerate(sessions):
            if n % PLACES_PER_SLICE == PLACES_PER_SLICE - 1:
                yield
            track = self.tracks.get(session)
            move = self._place(session, track, now_ms) if track is not None else None
            if move is not None:
                moved.append(move)
        return moved

    def _free_graves(self) -> Slices[None]:
        """Free the counters of owners that are gone, some in each slice."""
        while self._graves:
            for _ in range(min(RISES_PER_SLICE, len(self._graves[-1]))):
                self._graves[-1].popitem()
            if not self._graves[-1]:
                self._graves.pop()
            yield

    def _rise(self, owner: str, flow: Flow) -> int:
        """By how much a counter rose since the last pass."""
        before, value = self._rose[owner].pop(flow), self._counters[owner][flow]
        if before is None:
            # Guards against a burst that was none: a session dropped here, but not by its owner, comes
            # with all its past. Only what is counted since the latest words is news.
            new = self._numbers.get(owner, self.number) - (value >> _BITS) <= 2
            return value & _MASK if new else min(1, value & _MASK)
        return value - before if value >> _BITS == before >> _BITS else value & _MASK

    def counters(self) -> dict[tuple[str, Session, str], tuple[int, int]]:
        """All counters, for comparison: (owner, session, zone) to (since, calls)."""
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
                oldest = self.tracks.oldest()
                if oldest is None:
                    break
                self._forget(oldest)
                self._drop("a session beyond the bound")
            track = SessionRate(now_ms, now_ms)
            self.tracks.use(session, track)
        for flow in track.flows:
            if flow.site == site:
                return flow
        if len(track.flows) >= MAX_ZONES:
            self._drop("a site beyond the bound")
            return None
        flow = Flow(session, site, now_ms)
        track.flows += (flow,)
        return flow

    def _place(self, session: Session, track: SessionRate, now_ms: float) -> m.SessionMoved | None:
        for flow in track.flows:
            self._fade(flow, now_ms)
        total = sum(flow.fast for flow in track.flows)
        most = max(track.flows, key=lambda flow: (flow.fast, flow.site))
        level = max(0, math.frexp(sum(flow.slow for flow in track.flows))[1])
        if most.site == track.site or (track.site and most.fast < MIN_MOVED_SHARE * total):
            if level != track.level:
                self._leave(session, track)
                track.level = level
                self._join(session, track)
            return None
        source = track.site
        self._leave(session, track)
        track.level = level
        if source:
            track.was = source
        track.site = most.site
        self._join(session, track)
        return m.SessionMoved(session, source, most.site, most.since_ms) if source else None

    def _forget(self, session: Session) -> SessionRate:
        track = self.tracks[session]
        self.tracks.pop(session)
        for flow in track.flows:
            self._told.pop(flow, None)
            for owner, held in self._counters.items():
                if held.pop(flow, None) is not None:
                    self._rose[owner].pop(flow, None)
        self._leave(session, track)
        return track

    def _join(self, session: Session, track: SessionRate) -> None:
        self.groups.setdefault((session.org, track.site), SessionGroup()).add(session, track)
        self.here.setdefault(track.site, SessionGroup()).add(session, track)
        if track.was:
            self.left.setdefault(track.was, SessionGroup()).add(session, track)

    def _leave(self, session: Session, track: SessionRate) -> None:
        _leave_group(self.groups, (session.org, track.site), session, track)
        _leave_group(self.here, track.site, session, track)
        _leave_group(self.left, track.was, session, track)

    def _end_still(self, now_ms: float) -> m.SessionEnded | None:
        session = self.tracks.oldest()
        if session is None or now_ms - self.tracks[session].last_ms <= self.settings.still_ms:
            return None
        track = self._forget(session)
        return m.SessionEnded(session, track.site, track.last_ms - track.began_ms)
