"""Many migrations at once: emptying a zone within a time, sessions left to end there, and hysteresis. Pure.

Times are milliseconds of one clock, worth and cost in one unit of the caller's choice. Nothing here decides a
placement: it says which migrations to begin, and takes how they ended. What was used of a quota goes along as
counters by who counted (`router.spent`), so that no call is counted twice.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from msgspec import Struct

from fawnwharf.migration.settings import DrainSettings
from fawnwharf.migration.windows import Windows
from fawnwharf.session_types import Placement, PredictedMove, Session

AHEAD = 32  # sessions that may begin before one whose site takes no other yet


class Live(Struct, frozen=True):
    """A session at the zone.

    What a late first call would cost, what its migration costs, how long it may last.
    """

    session: Session
    worth: float
    cost: float
    left_ms: float  # until it is likely to end by itself


class Begin(Struct, frozen=True):
    """Begin this migration; `number` is that of the placement that it has."""

    move: PredictedMove
    number: int
    haste: bool


class Leave(Struct, frozen=True):
    """The session is left to end where it is."""

    session: Session
    why: str


@dataclass(slots=True)
class _Last:
    at_ms: float
    source: str
    dwell_ms: float


class Dwell:
    """Owns when sessions were last moved, so that none bounces (hysteresis). Bounded: the oldest go first."""

    def __init__(self, settings: DrainSettings) -> None:
        self.settings = settings
        self._last: dict[Session, _Last] = {}

    def moved(self, now_ms: float, session: Session, source: str, destination: str) -> None:
        """Take a move; a session that returns within `bounce_ms` stays twice as long as the last time."""
        rules, before = self.settings, self._last.pop(session, None)
        back = before is not None and before.source == destination and now_ms - before.at_ms < rules.bounce_ms
        dwell = min(rules.dwell_most_ms, 2 * before.dwell_ms) if back else rules.dwell_ms
        while len(self._last) >= rules.memory:
            del self._last[next(iter(self._last))]
        self._last[session] = _Last(now_ms, source, dwell)

    def left_ms(self, now_ms: float, session: Session) -> float:
        """For how long a session stays where it is, except in haste."""
        last = self._last.get(session)
        return max(0.0, last.at_ms + last.dwell_ms - now_ms) if last else 0.0

    def may(self, now_ms: float, session: Session, here: float, there: float) -> bool:
        """Whether a session whose zone is not lost may move to a better one, by what each costs it."""
        better = here - there >= self.settings.margin * max(abs(here), abs(there)) and there < here
        return better and not self.left_ms(now_ms, session)


@dataclass(slots=True)
class _Going:
    live: Live
    number: int
    destination: str
    tries: int
    began_ms: float
    at: str  # where it is at home by the last word


class Drain:
    """Owns the emptying of one zone."""

    def __init__(
        self,
        site: str,
        now_ms: float,
        within_ms: float,
        sessions: Iterable[tuple[Live, int]],
        room: dict[str, int],
        settings: DrainSettings,
        dwell: Dwell,
        haste: bool = False,
        prefers: Callable[[Session], str] = lambda _session: "",
        windows: Windows | None = None,
    ) -> None:
        """`sessions` come with their placement's number; `room` is how many sessions other zones can take.

        `haste`: the zone is dead. `prefers` gives the zone that a session should go to, if there is room.
        """
        self.prefers = prefers
        self.windows = windows or Windows(settings.at_once, 0.0)
        self.site, self.settings, self.dwell, self.haste = site, settings, dwell, haste
        self.until_ms = now_ms + within_ms
        self.room = dict(room)
        self.waiting: list[_Going] = []
        self.going: dict[Session, _Going] = {}
        self.moved: dict[Session, str] = {}
        self.left: dict[Session, str] = {}
        self._tokens, self._filled_ms = float(settings.burst), now_ms
        for live, number in sessions:
            why = self._why_not(live)
            if why:
                self.left[live.session] = why
            else:
                self.waiting.append(_Going(live, number, "", 0, now_ms, site))
        self._news = [Leave(session, why) for session, why in self.left.items()]
        # By worth for cost, so that whatever the budgets leave out is worth least; the name breaks ties.
        self.waiting.sort(key=lambda g: (-g.live.worth / max(g.live.cost, 1e-9), g.live.session))

    def _why_not(self, live: Live) -> str:
        if live.left_ms < self.settings.least_left_ms:
            return "it is likely to end sooner"
        if live.cost > self.settings.dear * live.worth and not self.haste:
            return "its move costs more than it is worth"
        return ""

    @property
    def done(self) -> bool:
        """Whether nothing waits and nothing is in progress."""
        return not self.waiting and not self.going

    def tick(self, now_ms: float) -> list[Begin | Leave]:
        """What to begin now, within the budgets, and what is left there once the time is too short."""
        found: list[Begin | Leave] = list(self._news)
        self._news = []
        rules = self.settings
        passed = (now_ms - self._filled_ms) / 1000.0
        self._tokens = min(float(rules.burst), self._tokens + rules.starts_per_s * passed)
        self._filled_ms = now_ms
        if now_ms + rules.cost_ms > self.until_ms and not self.haste:
            found += [self._leave(going, "no time is left") for going in self.waiting]
            self.waiting = []
        while self.waiting and len(self.going) < rules.at_once and self._tokens >= 1.0:
            place, destination = self._next()
            if place is None:
                break
            going = self.waiting.pop(place)
            if not destination:
                found.append(self._leave(going, "no site has room"))
                continue
            self._tokens -= 1.0
            self.windows.begun(going.live.session, destination)
            self.room[destination] -= 1
            going.destination, going.tries, going.began_ms = destination, going.tries + 1, now_ms
            self.going[going.live.session] = going
            left = max(0.0, min(3_600_000.0, self.until_ms - now_ms))
            move = PredictedMove(going.live.session, going.at, destination, left, 1.0, "drain")
            found.append(Begin(move, going.number, self.haste or going.at != self.site))
        return found

    def _next(self) -> tuple[int | None, str]:
        """The place of the first one whose site takes another now, of the next few, and that site."""
        for place, going in enumerate(self.waiting[:AHEAD]):
            destination = self._where(going)
            if not destination or self.windows.may(destination):
                return place, destination
        return None, ""

    def _where(self, going: _Going) -> str:
        """The preferred zone, else the one with the most room.

        Never the zone where it is, and the one that was tried last only if there is no other.
        """
        able = [site for site, room in self.room.items() if room > 0 and site not in (self.site, going.at)]
        fresh = [site for site in able if site != going.destination] or able
        if (wish := self.prefers(going.live.session)) in fresh:
            return wish
        return max(sorted(fresh), key=lambda site: self.room[site], default="")

    def _leave(self, going: _Going, why: str) -> Leave:
        self.left[going.live.session] = why
        return Leave(going.live.session, why)

    def ended(self, now_ms: float, home: Placement, why: str) -> list[Leave]:
        """Take that a migration ended.

        The session is placed there. If that is still the zone, it is tried again.
        """
        going = self.going.pop(home.session, None)
        if going is None:
            return []
        self.windows.ended(now_ms, home.session, why)
        going.number, going.at = home.number, home.site or going.at
        if going.at != going.destination and going.destination in self.room:
            self.room[going.destination] += 1
        if going.at != self.site:
            if going.at in self.room:
                self.moved[home.session] = going.at
                self.dwell.moved(now_ms, home.session, self.site, going.at)
                return []
            self.waiting.insert(0, going)  # its new home is lost: onward from there
            return []
        if going.tries >= self.settings.tries:
            return [self._leave(going, f"tried {going.tries} times: {why}")]
        self.waiting.append(going)
        return []

    def lost(
        self, now_ms: float, site: str, stands: bool, homes: dict[Session, Placement]
    ) -> list[Begin | Leave]:
        """Take that a destination failed half-way.

        What was moved there goes on to another zone or, while the old zone `stands` and no other has room,
        back. `homes` are the last known placements. Sessions whose switch is not decided are still at the old
        zone; their migrations end by themselves.
        """
        self.room.pop(site, None)
        found: list[Begin | Leave] = []
        for session in [session for session, at in self.moved.items() if at == site]:
            del self.moved[session]
            home = homes[session]
            live = Live(session, 1.0, 0.0, self.settings.least_left_ms)
            going = _Going(live, home.number, site, 0, now_ms, home.site)
            if self._where(going):
                self.waiting.insert(0, going)
            elif stands:
                found.append(self._back(now_ms, going))
            else:
                found.append(self._leave(going, "no site has room"))
        return found

    def _back(self, now_ms: float, going: _Going) -> Begin:
        self.left[going.live.session] = "back: its new home is lost"
        move = PredictedMove(going.live.session, going.at, self.site, 0.0, 1.0, "back")
        return Begin(move, going.number, True)
