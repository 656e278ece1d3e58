"""Which migrations a coordinator begins: emptied zones, returning sessions, predicted moves.

Pure; milliseconds of one clock. Each coordinator looks after the sessions that are its own by hash, with its
part of the budgets. A zone is emptied for as long as it is closed: what comes later is moved later. Nothing
here decides a placement; `handover.mover` is told what to begin, and this module what came of it.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import islice

from msgspec.structs import replace

from fawnwharf.migration.homes import key_of
from fawnwharf.migration.many import Begin, Drain, Dwell, Leave, Live
from fawnwharf.migration.messages import Record
from fawnwharf.migration.settings import DrainSettings
from fawnwharf.migration.windows import Windows
from fawnwharf.replication.placement import rendezvous_weight
from fawnwharf.session_types import Placement, PredictedMove, Session

LOOKS, HASHES = 2_000, 150  # records, and placements worked out, in one look
BATCH = 256  # sessions that are emptied in the order of their worth; the next ones when these are done
AGAIN_MS = 1_000.0  # from one look over all records to the next
REST_MS = 10_000.0  # one that was left is not tried again before
WAIT_MOST = 20_000  # sessions that wait to return, or as expected
PARK_MS = 5_000.0  # before it is looked at again whether another one's return is this mover's by now
WINDOW_MS = 3_000.0  # those to one site that were under way together shorten what is begun there once
EXPECTED_MS = 30_000.0  # a move that could not begin for so long is forgotten


def place_of(session: Session, site: str) -> float:
    """A session's place from 0 to 1: while its zone returns, sessions below the open part go back to it."""
    return rendezvous_weight("return", site, key_of(session)) / 2**64


def target(session: Session, room: dict[str, int]) -> str:
    """Of the zones with room, the one that a session goes to; empty where there is none.

    By weighted rendezvous hashing (Schindelhauer and Schomaker 2005), so the same for all that see the same
    room.
    """
    key = key_of(session)
    drawn = {
        site: room / -math.log((rendezvous_weight("target", site, key) + 1) / (2**64 + 1))
        for site, room in room.items()
        if room > 0
    }
    return max(sorted(drawn), key=lambda site: drawn[site], default="")


@dataclass(slots=True)
class View:
    """What a coordinator sees."""

    records: dict[Session, tuple[Record, float]]  # of its keeper
    mine: Callable[[Session], bool]
    live: Callable[[Session], Live]
    room: dict[str, int]  # sessions that each site can take; by the sizes of its scorers
    alive: frozenset[str]  # sites of which a front end is heard
    busy: Callable[[Session], bool]  # one is in hand
    movers: int = 1  # that share the budgets


@dataclass(slots=True)
class _Closed:
    """One site that is closed."""

    why: str
    keys: list[Session] | None = None  # yet to be looked at
    found: list[Session] = field(default_factory=list)
    next_ms: float = 0.0
    drain: Drain | None = None


@dataclass(slots=True)
class _Wanted:
    source: str
    destination: str
    by: str
    until_ms: float
    place: float = 0.0  # it goes once so much of the site is open
    next_ms: float = 0.0  # not before
    tries: int = 0


class Moves:
    """Owns the migrations that were begun, and when a session may move again."""

    def __init__(self, rules: DrainSettings) -> None:
        self.rules, self.dwell = rules, Dwell(rules)
        self.windows = Windows(rules.at_once, WINDOW_MS)
        self.closed: dict[str, _Closed] = {}
        self.shares: dict[str, float] = {}  # parts of sites that are open, where they return
        self.away: dict[Session, str] = {}  # from which site they were taken; they return there
        self.wanted: dict[Session, _Wanted] = {}
        self.counts: dict[str, int] = {}
        self.notes: list[tuple[str, dict]] = []
        self._rests: dict[Session, float] = {}
        self._tokens, self._filled_ms = float(rules.burst), 0.0
        self._under_way: dict[Session, _Wanted] = {}  # begun for these

    def _count(self, cause: str) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + 1

    # --- sites ------------------------------------------------------------------------------------

    def close(self, now_ms: float, closed: dict[str, str], shares: dict[str, float]) -> None:
        """Take the closed zones, each with its cause; the others are open, or open in part."""
        self.shares = shares
        for site in [site for site in self.closed if site not in closed]:
            del self.closed[site]
            self._opened(now_ms, site)
        for site, why in closed.items():
            if site not in self.closed:
                self.closed[site] = _Closed(why, next_ms=now_ms)
                for other in self.closed.values():
                    if other.drain is not None:
                        other.drain.room.pop(site, None)  # its own sessions move on from there
            self.closed[site].why = why
        for session in [s for s, wanted in self.wanted.items() if wanted.destination in self.closed]:
            wanted = self.wanted.pop(session)
            if wanted.by == "return":
                self._away(session, wanted.destination)

    def _opened(self, now_ms: float, site: str) -> None:
        """It is open again: its sessions may return, each when its dwell is over."""
        for session in [s for s, at in self.away.items() if at == site]:
            del self.away[session]
            self._return(now_ms, session, site)

    def _return(self, now_ms: float, session: Session, site: str) -> None:
        until_ms = now_ms + 2 * self.rules.dwell_most_ms
        self._want(session, _Wanted("", site, "return", until_ms, place_of(session, site)))

    def _away(self, session: Session, site: str) -> None:
        if session in self.away or len(self.away) < WAIT_MOST:
            self.away.setdefault(session, site)

    def source(self, session: Session) -> str:
        """The zone to which a session is to return, once that is open; empty where there is none."""
        wanted = self.wanted.get(session) or self._under_way.get(session)
        return self.away.get(session, wanted.destination if wanted and wanted.by == "return" else "")

    def taken_from(self, now_ms: float, session: Session, site: str) -> None:
        """Take from another replica that a session is to return there.

        This one restarted and did not see it.
        """
        if self.source(session):
            return
        self.dwell.moved(now_ms, session, site, "")  # which sites are closed need not be known here yet
        if site in self.closed:
            self._away(session, site)
        else:
            self._return(now_ms, session, site)

    def _want(self, session: Session, wanted: _Wanted) -> None:
        if len(self.wanted) < WAIT_MOST:
            self.wanted[session] = wanted

    def expected(self, now_ms: float, moves: Iterable[PredictedMove]) -> None:
        """Take predicted moves; one that is not all but certain changes no placement."""
        for move in moves:
            known = (
                move.session in self.wanted or move.source in self.closed or move.destination in self.closed
            )
            if move.probability >= self.rules.sure and not known:
                until_ms = now_ms + move.within_ms + EXPECTED_MS
                self._want(move.session, _Wanted(move.source, move.destination, move.predictor, until_ms))

    # --- what to begin ----------------------------------------------------------------------------

    def tick(self, now_ms: float, view: View) -> list[Begin]:
        """The migrations to begin now."""
        found: list[Begin] = []
        room = {site: room for site, room in view.room.items() if site not in self.closed and room > 0}
        for site, closed in self.closed.items():
            self._look(now_ms, site, closed, view, room)
            if closed.drain is not None:
                found += self._drained(now_ms, site, closed, closed.drain.tick(now_ms))
        return found + self._others(now_ms, view)

    def _look(self, now_ms: float, site: str, closed: _Closed, view: View, room: dict[str, int]) -> None:
        """Go over the records, a part at a time: whoever is at home there, and this mover's."""
        if closed.drain is not None and not closed.drain.done:
            return
        if closed.keys is None:
            if now_ms < closed.next_ms:
                return
            closed.keys, closed.found = list(view.records), []
        hashes = looks = 0
        while closed.keys and looks < LOOKS and hashes < HASHES:
            session, looks = closed.keys.pop(), looks + 1
            if (held := view.records.get(session)) is None or held[0].site != site:
                continue
            rests = now_ms < self._rests.get(session, 0.0) or view.busy(session)
            hashes += not rests
            if not rests and view.mine(session):
                closed.found.append(session)
        if not closed.keys:
            closed.keys, closed.next_ms = None, now_ms + AGAIN_MS
        if closed.found and (closed.keys is None or len(closed.found) >= BATCH):
            closed.drain = self._drain(now_ms, site, closed, view, room)

    def _drain(self, now_ms: float, site: str, closed: _Closed, view: View, room: dict[str, int]) -> Drain:
        """With this mover's part of the budgets."""
        rules, movers = self.rules, max(1, view.movers)
        part = replace(
            rules,
            at_once=max(1, rules.at_once // movers),
            starts_per_s=rules.starts_per_s / movers,
            burst=max(1, rules.burst // movers),
        )
        rooms = {other: max(1, count // movers) for other, count in room.items()}
        haste = site not in view.alive
        sessions = [(view.live(session), view.records[session][0].number) for session in closed.found]
        drain = Drain(
            site, now_ms, rules.within_ms, sessions, rooms, part, self.dwell, haste,
            lambda session: target(session, room), self.windows,
        )  # fmt: skip
        note = {"site": site, "why": closed.why, "sessions": len(closed.found), "haste": haste}
        self.notes.append(("site emptied", note))
        closed.found = []
        return drain

    def _drained(self, now_ms: float, site: str, closed: _Closed, out: list[Begin | Leave]) -> list[Begin]:
        for effect in out:
            if isinstance(effect, Leave):
                self._left(now_ms, effect)
        begun = [effect for effect in out if isinstance(effect, Begin)]
        for begin in begun:
            self._count(f"begun: {begin.move.predictor}")
        return begun

    def _left(self, now_ms: float, leave: Leave) -> None:
        self._count(f"left: {leave.why}")
        self._rests.pop(leave.session, None)
        self._rests[leave.session] = now_ms + REST_MS

    def _others(self, now_ms: float, view: View) -> list[Begin]:
        """Returns and expected moves, within the same pace; each when its dwell is over."""
        while self._rests and next(iter(self._rests.values())) < now_ms:
            del self._rests[next(iter(self._rests))]
        rules, movers = self.rules, max(1, view.movers)
        passed = (now_ms - self._filled_ms) / 1_000.0
        self._tokens = min(float(rules.burst), self._tokens + rules.starts_per_s / movers * passed)
        self._filled_ms = now_ms
        found: list[Begin] = []
        hashes = 0
        for session in list(islice(self.wanted, LOOKS)):
            if self._tokens < 1.0 or len(self._under_way) >= max(1, rules.at_once // movers):
                break
            wanted = self.wanted.pop(session)
            record, _ = view.records.get(session, (Record(), 0.0))
            there = record.site in ("", wanted.destination) or (
                wanted.source and record.site != wanted.source
            )
            if there or now_ms >= wanted.until_ms:
                continue
            self.wanted[session] = wanted  # behind the others
            early = wanted.place >= self.shares.get(wanted.destination, 1.0) or now_ms < wanted.next_ms
            if early or self.dwell.left_ms(now_ms, session) or not self.windows.may(wanted.destination):
                continue
            if hashes >= HASHES:
                break
            hashes += 1
            if view.busy(session):
                continue
            if not view.mine(session):
                wanted.next_ms = now_ms + PARK_MS
                if wanted.by != "return":
                    del self.wanted[session]
                continue
            del self.wanted[session]
            self._tokens -= 1.0
            self._under_way[session] = wanted
            self.windows.begun(session, wanted.destination)
            self._count(f"begun: {wanted.by}")
            move = PredictedMove(session, record.site, wanted.destination, 0.0, 1.0, wanted.by)
            found.append(Begin(move, record.number, False))
        return found

    # --- what came of it --------------------------------------------------------------------------

    def switched(self, now_ms: float, home: Placement, source: str) -> None:
        """Take that a switch is decided: it uses no budget any more, though it has yet to settle."""
        self.windows.ended(now_ms, home.session, "switched")
        for site, closed in self.closed.items():
            if closed.drain is not None and home.session in closed.drain.going:
                self._over(now_ms, site, closed.drain, home, "switched")
                return
        self.seen(now_ms, home, source)
        self._under_way.pop(home.session, None)

    def seen(self, now_ms: float, home: Placement, source: str) -> None:
        """Take a decided switch, whoever drove it: another coordinator may have to bring the session back."""
        self.dwell.moved(now_ms, home.session, source, home.site)
        if source in self.closed and self.source(home.session) != home.site:
            if home.site not in self.closed:
                self._away(home.session, source)
        elif home.site not in self.closed:
            self.away.pop(home.session, None)
            self.wanted.pop(home.session, None)

    def ended(self, now_ms: float, home: Placement, why: str) -> None:
        """Take that a migration ended."""
        self.windows.ended(now_ms, home.session, why)
        for site, closed in self.closed.items():
            if closed.drain is not None and home.session in closed.drain.going:
                self._over(now_ms, site, closed.drain, home, why)
                return
        wanted = self._under_way.pop(home.session, None)
        if wanted is None:
            return
        wanted.tries += 1
        if home.site != wanted.destination and wanted.tries < self.rules.tries:
            wanted.next_ms = now_ms + AGAIN_MS
            self._want(home.session, wanted)

    def _over(self, now_ms: float, site: str, drain: Drain, home: Placement, why: str) -> None:
        for leave in drain.ended(now_ms, home, why):
            self._left(now_ms, leave)
        if home.session in drain.moved:
            self._away(home.session, site)

    def waiting(self) -> dict[str, int]:
        """The zones that are emptied, and the sessions that are yet to begin, or to be switched."""
        return {
            site: len(closed.drain.waiting) + len(closed.drain.going) if closed.drain else 0
            for site, closed in self.closed.items()
        }

    @property
    def busy(self) -> bool:
        """Whether anything is left to begin."""
        return bool(self.wanted) or any(
            closed.keys is not None or (closed.drain is not None and not closed.drain.done)
            for closed in self.closed.values()
        )
