"""Call rates by session and zone, computed from merged counters of all front ends. No I/O.

The counters form a grow-only map (a G-counter, Shapiro et al. 2011). A front end's counter for a session in a
zone is a pair (since, calls), and the larger pair wins, so messages may arrive late, twice or in any order.
Rates are computed from the increase of counters between two passes (`beat`), not from the arrival times of
messages: two front ends that received the same messages before a pass have the same rates. A pass may run in
slices (`look`); calls and messages may arrive between slices.
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

_CALLS_BITS = 31
_CALLS_MASK = (1 << _CALLS_BITS) - 1
MIN_MOVED_SHARE = 0.6  # share of a session's recent calls in a new zone that counts as a move
MIN_RECENT_CALLS = 0.2  # decayed calls in the fast window; a zone with fewer had no recent calls
MAX_OWNERS = 512  # incarnations of front ends with counters
MAX_ZONES = 8  # zones of one session; a session that calls in more has no meaningful moves
INCREASES_PER_SLICE = 150
ZONE_UPDATES_PER_SLICE = 80
ENDS_PER_SLICE = 40
MAX_INCREASES = 20_000  # increased counters in one pass; the others are left to the next passes
MAX_ENDS = 5_000  # ended sessions in one pass


# gc=False: the garbage collector would traverse all sessions in one go, and they are in no reference cycle.
class Flow(Struct, eq=False, gc=False):
    """Calls of a session in a zone, in two decaying windows."""

    session: Session
    site: str
    at_ms: float
    fast: float = 0.0
    slow: float = 0.0
    since_ms: float = 0.0  # start of the current run of calls


class SessionRate(Struct, eq=False, gc=False):
    """A session: its current zone, its previous zone, and its flows by zone."""

    began_ms: float
    last_ms: float
    site: str = ""
    was: str = ""  # previous zone
    chunk_index: int = 0  # chunk in the map of all sessions
    level: int = 0  # activity: binary exponent of its recent calls, as of the last pass with a call
    flows: tuple[Flow, ...] = ()

    def rate_ps(self, settings: PrefetchSettings, now_ms: float) -> float:
        """Return calls per second in all zones, over the slow window or the session's age if shorter."""
        span = min(settings.slow_ms, max(2 * settings.beat_ms, now_ms - self.began_ms))
        return (
            1000.0 * sum(f.slow * math.exp((f.at_ms - now_ms) / settings.slow_ms) for f in self.flows) / span
        )


class SessionGroup:
    """Sessions by level of activity, so that the busiest are found without a scan of all sessions."""

    __slots__ = ("_levels", "_size")

    def __init__(self) -> None:
        self._levels: dict[int, dict[Session, SessionRate]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __contains__(self, session: Session) -> bool:
        return any(session in sessions for sessions in self._levels.values())

    def add(self, session: Session, track: SessionRate) -> None:
        """Add a session at its track's level."""
        sessions = self._levels.setdefault(track.level, {})
        self._size += session not in sessions
        sessions[session] = track

    def remove(self, session: Session, track: SessionRate) -> None:
        """Remove a session from its track's level, if it is there."""
        sessions = self._levels.get(track.level, {})
        if sessions.pop(session, None) is not None:
            self._size -= 1
            if not sessions:
                del self._levels[track.level]

    def one(self) -> SessionRate:
        """Return any session of the group."""
        return next(iter(next(iter(self._levels.values())).values()))

    def busiest(self, most: int) -> dict[Session, None]:
        """Return at most `most` sessions, the busiest first, ordered to within a factor of two.

        The result is a dict, as the garbage collector would traverse a list.
        """
        levels = (self._levels[level] for level in sorted(self._levels, reverse=True))
        return dict.fromkeys(islice(chain.from_iterable(levels), most))


GroupKey = TypeVar("GroupKey")


def _leave_group(
    groups: dict[GroupKey, SessionGroup], key: GroupKey, session: Session, track: SessionRate
) -> None:
    """Remove a session from a group, and remove the group if it is then empty."""
    group = groups.get(key)
    if group is not None:
        group.remove(session, track)
        if not group:
            del groups[key]


class SessionMonitor:
    """Counts the calls of one front end, merges the counters of the others, and detects moves."""

    def __init__(self, settings: PrefetchSettings, me: str = "me") -> None:
        self.settings, self.me = settings, me
        self.number = 1
        self.tracks: LruMap[Session, SessionRate] = LruMap()  # longest silent first
        self.groups: dict[tuple[str, str], SessionGroup] = {}  # by tenant and zone
        self.here: dict[str, SessionGroup] = {}  # by zone
        self.left: dict[str, SessionGroup] = {}  # by previous zone
        self.dropped: dict[str, int] = {}
        self._counters: dict[str, dict[Flow, int]] = {me: {}}
        self._latest_numbers: dict[str, int] = {}
        self._increased: dict[str, dict[Flow, int | None]] = {
            me: {}
        }  # increased counters: value at the last pass
        self._unsent: dict[Flow, None] = {}  # own counters not yet sent
        self._pass_count = 0
        self._departed_counters: list[
            dict[Flow, int] | dict[Flow, int | None]
        ] = []  # counters of departed owners, freed in slices

    def _drop(self, cause: str, count: int = 1) -> None:
        self.dropped[cause] = self.dropped.get(cause, 0) + count

    def called(self, now_ms: float, session: Session, site: str) -> None:
        """Count a call of a session that ran in a zone or was sent there."""
        flow = self._flow(now_ms, session, site)
        if flow is None:
            return
        mine = self._counters[self.me]
        before = mine.get(flow)
        self._increased[self.me].setdefault(flow, before)
        mine[flow] = (self.number << _CALLS_BITS) + 1 if before is None else before + 1
        self._unsent[flow] = None
        self._mark_active(now_ms, flow.session)

    def word(self) -> m.CounterMessage:
        """Return a message with own counters that increased since the last one.

        Counters beyond the message's limit follow in the next messages.
        """
        word = self.part(m.MAX_ENTRIES)
        self.number += 1
        return word

    def part(self, most: int) -> m.CounterMessage:
        """Return at most `most` of these counters with the current message number.

        All parts with the same number form one message.
        """
        mine, counts = self._counters[self.me], []
        for flow in list(islice(self._unsent, most)):
            del self._unsent[flow]
            counts.append(
                m.CallCounter(flow.session, flow.site, mine[flow] >> _CALLS_BITS, mine[flow] & _CALLS_MASK)
            )
        return m.CounterMessage(self.number, tuple(counts))

    @property
    def untold(self) -> int:
        """The number of own counters not yet sent."""
        return len(self._unsent)

    def _mark_active(self, now_ms: float, session: Session) -> None:
        track = self.tracks[session]
        track.last_ms = max(track.last_ms, now_ms)
        self.tracks.use(session, track)

    def heard(self, now_ms: float, owner: str, word: m.CounterMessage) -> None:
        """Merge the counters of one incarnation of another front end; only larger values have an effect."""
        held = self._counters.get(owner)
        if owner == self.me:
            self._drop("a word of my own")
            return
        if held is None:
            if len(self._counters) >= MAX_OWNERS:
                self._drop("an owner beyond the bound")
                return
            held = self._counters[owner] = {}
            self._increased[owner] = {}
        self._latest_numbers[owner] = max(word.number, self._latest_numbers.get(owner, 0))
        for count in word.counts:
            flow = self._flow(now_ms, count.session, count.site)
            if flow is None:
                continue
            value, before = (count.since << _CALLS_BITS) + count.calls, held.get(flow)
            if before is not None and value <= before:
                self._drop("an older count")
                continue
            self._increased[owner].setdefault(flow, before)
            held[flow] = value
            self._mark_active(now_ms, flow.session)

    def gone(self, owner: str) -> None:
        """Drop the counters of an ended incarnation; the rates computed from them decay."""
        if owner != self.me and (held := self._counters.pop(owner, None)) is not None:
            self._latest_numbers.pop(owner, None)
            self._departed_counters += [held, self._increased.pop(owner)]

    def beat(self, now_ms: float) -> m.ScanResult:
        """Run a whole pass at once."""
        return run_slices(self.look(now_ms))

    def look(self, now_ms: float) -> Slices[m.ScanResult]:
        """Run a pass over the increased counters in slices; return the moves, ends and calling sessions."""
        self._pass_count += 1
        # Dicts, as the garbage collector would traverse lists.
        called: dict[Flow, None] = {}
        sessions: dict[Session, None] = {}
        yield from self._count_increases(now_ms, called, sessions)
        yield
        moved = yield from self._find_moves(now_ms, sessions)
        ended: list[m.SessionEnded] = []
        while len(ended) < MAX_ENDS and (end := self._end_silent_session(now_ms)) is not None:
            ended.append(end)
            if len(ended) % ENDS_PER_SLICE == 0:
                yield
        yield from self._free_departed_counters()
        return m.ScanResult(tuple(moved), tuple(ended), called)

    def _count_increases(
        self, now_ms: float, called: dict[Flow, None], sessions: dict[Session, None]
    ) -> Slices[None]:
        """Add the increases to the windows, owner by owner; each pass begins with another owner.

        Flows and sessions with calls are added to `called` and `sessions`.
        """
        count, slice_count, owners = 0, 0, list(self._increased)
        first = self._pass_count % len(owners)
        for owner in owners[first:] + owners[:first]:
            left = min(len(self._increased.get(owner, ())), MAX_INCREASES - count)
            while left > 0 and (
                batch := list(islice(self._increased.get(owner, ()), min(left, INCREASES_PER_SLICE)))
            ):
                left, count = left - len(batch), count + len(batch)
                for flow in batch:
                    if increase := self._increase(owner, flow):
                        self._add(flow, increase, now_ms)
                        called[flow] = sessions[flow.session] = None
                slice_count += len(batch)
                if slice_count >= INCREASES_PER_SLICE:
                    slice_count = 0
                    yield

    def _add(self, flow: Flow, increase: int, now_ms: float) -> None:
        self._decay(flow, now_ms)
        if flow.fast < MIN_RECENT_CALLS:
            flow.since_ms = now_ms
        flow.fast += increase
        flow.slow += increase

    def _find_moves(self, now_ms: float, sessions: dict[Session, None]) -> Slices[list[m.SessionMoved]]:
        """Update the zones of the sessions that called, and return those that moved."""
        moved: list[m.SessionMoved] = []
        for n, session in enumerate(sessions):
            if n % ZONE_UPDATES_PER_SLICE == ZONE_UPDATES_PER_SLICE - 1:
                yield
            track = self.tracks.get(session)
            move = self._update_zone(session, track, now_ms) if track is not None else None
            if move is not None:
                moved.append(move)
        return moved

    def _free_departed_counters(self) -> Slices[None]:
        """Free the counters of departed owners, some in each slice."""
        while self._departed_counters:
            for _ in range(min(INCREASES_PER_SLICE, len(self._departed_counters[-1]))):
                self._departed_counters[-1].popitem()
            if not self._departed_counters[-1]:
                self._departed_counters.pop()
            yield

    def _increase(self, owner: str, flow: Flow) -> int:
        """Return by how much a counter increased since the last pass."""
        before, value = self._increased[owner].pop(flow), self._counters[owner][flow]
        if before is None:
            # Prevents a false burst: a session dropped here but not by its owner comes with its whole count.
            # Only a counter started within the owner's latest messages counts in full.
            new = self._latest_numbers.get(owner, self.number) - (value >> _CALLS_BITS) <= 2
            return value & _CALLS_MASK if new else min(1, value & _CALLS_MASK)
        return value - before if value >> _CALLS_BITS == before >> _CALLS_BITS else value & _CALLS_MASK

    def counters(self) -> dict[tuple[str, Session, str], tuple[int, int]]:
        """Return all counters for comparison, as (owner, session, zone) -> (since, calls)."""
        return {
            (owner, flow.session, flow.site): (value >> _CALLS_BITS, value & _CALLS_MASK)
            for owner, held in self._counters.items()
            for flow, value in held.items()
        }

    def _decay(self, flow: Flow, now_ms: float) -> None:
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

    def _update_zone(self, session: Session, track: SessionRate, now_ms: float) -> m.SessionMoved | None:
        for flow in track.flows:
            self._decay(flow, now_ms)
        total = sum(flow.fast for flow in track.flows)
        most = max(track.flows, key=lambda flow: (flow.fast, flow.site))
        level = max(0, math.frexp(sum(flow.slow for flow in track.flows))[1])
        if most.site == track.site or (track.site and most.fast < MIN_MOVED_SHARE * total):
            if level != track.level:
                self._remove_from_groups(session, track)
                track.level = level
                self._add_to_groups(session, track)
            return None
        source = track.site
        self._remove_from_groups(session, track)
        track.level = level
        if source:
            track.was = source
        track.site = most.site
        self._add_to_groups(session, track)
        return m.SessionMoved(session, source, most.site, most.since_ms) if source else None

    def _forget(self, session: Session) -> SessionRate:
        track = self.tracks[session]
        self.tracks.pop(session)
        for flow in track.flows:
            self._unsent.pop(flow, None)
            for owner, held in self._counters.items():
                if held.pop(flow, None) is not None:
                    self._increased[owner].pop(flow, None)
        self._remove_from_groups(session, track)
        return track

    def _add_to_groups(self, session: Session, track: SessionRate) -> None:
        self.groups.setdefault((session.org, track.site), SessionGroup()).add(session, track)
        self.here.setdefault(track.site, SessionGroup()).add(session, track)
        if track.was:
            self.left.setdefault(track.was, SessionGroup()).add(session, track)

    def _remove_from_groups(self, session: Session, track: SessionRate) -> None:
        _leave_group(self.groups, (session.org, track.site), session, track)
        _leave_group(self.here, track.site, session, track)
        _leave_group(self.left, track.was, session, track)

    def _end_silent_session(self, now_ms: float) -> m.SessionEnded | None:
        session = self.tracks.oldest()
        if session is None or now_ms - self.tracks[session].last_ms <= self.settings.still_ms:
            return None
        track = self._forget(session)
        return m.SessionEnded(session, track.site, track.last_ms - track.began_ms)
