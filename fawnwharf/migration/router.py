"""A front end's view of placements.

Where a session's new calls go, what is in flight, what is prefetched here.

Pure; times are milliseconds of its own clock. It goes by the largest number that it met, from whomever, and
keeps the old zone until it is told of a later one. It begins no call by a number when it has met a larger
one: a call that was taken and not yet sent is taken again for the new placement. Calls that were sent end
where they are, or are given up when their class's time is over. That a call runs at most once does not depend
on placements at all: its claim is stored by call, not by zone (`replication.claims`), so two front ends that
go by different numbers still need two of the same three replicas for the same call.
"""

from collections.abc import Callable, Iterable

from fawnwharf.migration import messages as m
from fawnwharf.migration.homes import key_of
from fawnwharf.migration.in_use import OpenCall, Seen, spent
from fawnwharf.migration.settings import Settings
from fawnwharf.session_types import Placement, PrefetchOrder, PrefetchRelease, Session

CALLS_MOST = 50_000
LOOKS = 200  # sessions that are told of anew in one tick


class Router:
    """Owns this front end's placements, calls and prefetched copies."""

    def __init__(
        self,
        name: str,
        site: str,
        settings: Settings,
        keepers_of: Callable[[str], tuple[str, ...]],
        now_ms: float,
        fresh: bool = False,
        life: int = 1,
    ) -> None:
        """`fresh`: nothing was prefetched by this name before.

        One that may have forgotten releases nothing until what it had prefetched has expired.
        """
        self.name, self.site, self.settings, self.keepers_of = name, site, settings, keepers_of
        self.life = life
        self.homes: dict[Session, Seen] = {}  # the one still for longest first
        self.calls: dict[str, OpenCall] = {}
        self.staged: dict[
            str, dict[tuple[Session, m.Turn], tuple[float, int]]
        ] = {}  # function: until, number
        self.contexts: dict[Session, m.Context] = {}
        self.at_home: dict[tuple[str, str], int] = {}  # sessions by function and site
        self.elsewhere = 0  # of all, those at home at other sites
        self.counts: dict[str, int] = {}
        # Asked when, who said yes, and whose word on other sessions is waited for.
        self._lets: dict[Session, tuple[float, frozenset[str], frozenset[str]]] = {}
        self.heard_keepers: Callable[[], Iterable[str]] = lambda: ()  # of all sessions
        # Whether calls from here are at a site's scorers of a function, wherever their sessions are at home.
        self.uses: Callable[[str, str], bool] = lambda _row, _site: False
        self._settling: dict[str, dict[Session, float]] = {}  # by function: hand-overs that may wait, until
        self._touched: dict[str, float] = {}  # of these functions: calls came since, until they are over
        self._anew_ms, self._untold = float("-inf"), list[Session]()
        self._sure_ms = now_ms if fresh else now_ms + settings.lapse_ms * settings.stretch

    def _count(self, cause: str) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + 1

    # --- homes ------------------------------------------------------------------------------------

    def home(self, session: Session) -> Placement | None:
        """The placement of a session.

        None where none is known: calls are served where they came, and replicas asked.
        """
        seen = self.homes.get(session)
        return seen.home if seen else None

    def _goes_by(self, now_ms: float, home: Placement) -> Seen:
        seen = self.homes.pop(home.session, None)
        if seen is None:
            if len(self.homes) >= self.settings.sessions:
                self._drop(next(iter(self.homes)))
            seen = Seen(home, now_ms, float("-inf"))
            self._at(home, 1)
        elif home.number > seen.home.number:
            self._at(seen.home, -1)
            self._at(home, 1)
            seen.home = home
        seen.used_ms = now_ms
        self.homes[home.session] = seen
        return seen

    def _at(self, home: Placement, by: int) -> None:
        place = (home.session.row, home.site)
        self.elsewhere += by * (home.site != self.site)
        self.at_home[place] = self.at_home.get(place, 0) + by
        if not self.at_home[place]:
            del self.at_home[place]

    def _drop(self, session: Session) -> None:
        seen = self.homes.pop(session)
        self._at(seen.home, -1)
        self.contexts.pop(session, None)

    def followed(self, now_ms: float) -> None:
        """Take that a replica receives this front end's messages from now on.

        It may not know earlier ones.
        """
        self._anew_ms, self._untold = now_ms, list(self.homes)

    def meet(self, now_ms: float, home: Placement, source: str = "") -> list[m.Out]:
        """Take a placement that somebody goes by.

        If its number is larger, so does this front end from now on.
        """
        before = self.home(home.session)
        if before is not None and home.number <= before.number:
            return []
        seen = self._goes_by(now_ms, home)
        seen.source = source
        claims = self.staged.get(home.session.row, {})
        for claim in [c for c, (_, n) in claims.items() if c[0] == home.session and n <= home.number]:
            del claims[claim]  # it is at home, or that hand-over is over
        found: list[m.Out] = []
        for name, call in self.calls.items() if seen.under_way else ():
            if call.session == home.session and not call.sent:
                self._move(seen, call, home.number)
                found.append(m.Reroute(name, home))
        return found

    # --- calls ------------------------------------------------------------------------------------

    def begin(self, now_ms: float, call: str, session: Session, until_ms: float) -> list[m.Out]:
        """Take a call: a Reroute says its placement, and replicas hear that the session is in use.

        The call is not sent yet: with a class whose calls are claimed, the replicas' answers come before
        that.
        """
        found: list[m.Out] = []
        home = self.home(session)
        seen = self._goes_by(now_ms, home or Placement(session, self.site, 0))
        if session.row in self._settling:
            self._touched[session.row] = max(until_ms, self._touched.get(session.row, until_ms))
            found += self._used_since(now_ms, session.row)
        # A quarter, so that keepers and fellows know it for as long as anybody does.
        if now_ms - seen.told_ms >= self.settings.still_ms / 4 or seen.told_ms <= self._anew_ms:
            found.append(self._tell(now_ms, seen))
        if len(self.calls) < CALLS_MOST:
            self.calls[call] = OpenCall(session, seen.home.number, until_ms)
            self._under(seen, seen.home.number, 1)
        else:
            self._count("too many calls")
        return [m.Reroute(call, seen.home), *found]

    def _tell(self, now_ms: float, seen: Seen) -> m.Say:
        seen.told_ms = now_ms
        return m.Say(self.keepers_of(key_of(seen.home.session)), m.Met(seen.home))

    def sent(self, call: str) -> None:
        """Take that a call was sent."""
        if call in self.calls:
            self.calls[call].sent = True

    def _under(self, seen: Seen, number: int, by: int) -> None:
        counts = seen.under_way = seen.under_way or {}
        counts[number] = counts.get(number, 0) + by
        if counts[number] <= 0:
            del counts[number]
        if not counts:
            seen.under_way = None

    def _move(self, seen: Seen, call: OpenCall, number: int) -> None:
        self._under(seen, call.number, -1)
        call.number = number
        self._under(seen, number, 1)

    def ended(self, now_ms: float, call: str) -> list[m.Out]:
        """Take that a call was answered, failed, or given up."""
        gone = self.calls.pop(call, None)
        seen = self.homes.get(gone.session) if gone else None
        if gone is None or seen is None:
            return []
        self._under(seen, gone.number, -1)
        if gone.number < seen.home.number and seen.asks and not self._older(seen):
            return self._left(gone.session, seen)
        return []

    def _older(self, seen: Seen) -> int:
        return sum(n for number, n in (seen.under_way or {}).items() if number < seen.home.number)

    # --- a mover's messages -----------------------------------------------------------------------

    def told(self, now_ms: float, sender: str, told: m.Told) -> list[m.Out]:
        """Take a decided placement.

        A coordinator that settles it hears what is in flight by smaller numbers.
        """
        found = self.meet(now_ms, told.home, told.source)
        seen = self.homes.get(told.home.session)
        if seen is None or told.step is not m.Step.SWITCHED:
            return found
        seen.asks, seen.source, seen.used_there = sender, told.source, False
        waits = self._settling.setdefault(told.home.session.row, {})
        waits[told.home.session] = now_ms + self.settings.settle_ms * self.settings.stretch
        return [*found, *self._left(told.home.session, seen)]

    def _left(self, session: Session, seen: Seen) -> list[m.Out]:
        others = self._others(session, seen.source)
        seen.used_there = others > 0
        left = m.Left(session, seen.home.number, self._older(seen), others, self.life)
        return [m.Say((seen.asks,), left)]

    def _used_since(self, now_ms: float, row: str) -> list[m.Out]:
        """Movers that may still wait hear of a use of the old site that began after this one's last word."""
        found: list[m.Out] = []
        for session in self._settling[row]:
            seen = self.homes.get(session)
            if seen and not seen.used_there and self._others(session, seen.source):
                found += self._left(session, seen)
        return found

    def _others(self, session: Session, site: str) -> int:
        """Who uses what stands at a site of this session's function, but the session itself."""
        count = self.at_home.get((session.row, site), 0)
        mine = self.homes.get(session)
        count -= bool(mine and mine.home.site == site)
        count += self.uses(session.row, site)
        return count + (len(self.staged.get(session.row, ())) if site == self.site else 0)

    def give(self, now_ms: float, sender: str, give: m.Give) -> list[m.Out]:
        """Give the context of a session, for its new zone."""
        context = self.contexts.get(give.session, m.Context())
        return [m.Say((sender,), m.Given(give.session, give.turn, context))]

    def take(self, now_ms: float, sender: str, receive: m.Receive) -> list[m.Out]:
        """Prefetch a session's copies, and hold its context; `stood` is called when the copies stand."""
        claims = self.staged.setdefault(receive.session.row, {})
        claims[receive.session, receive.turn] = (now_ms + receive.until_ms, receive.number)
        if receive.context is not None:
            mine = self.contexts.get(receive.session, m.Context())
            both = spent(mine.spent, receive.context.spent)
            context = m.Context(receive.context.rate, receive.context.copies, both)
            self.contexts[receive.session] = context
        row, why = receive.session.row, f"hand-over by {sender}"
        return [PrefetchOrder(row, self.site, receive.copies, receive.until_ms, why)]

    def stood(self, now_ms: float, to: str, receive: m.Receive, stands: bool) -> list[m.Out]:
        """Take that the copies which `receive` asked for stand, by their scorers' own answers, or can't."""
        has = receive.context is not None
        return [m.Say((to,), m.Ready(receive.session, receive.turn, stands, has))]

    def drop(self, now_ms: float, sender: str, drop: m.Drop) -> list[m.Out]:
        """Release what was prefetched and will not be used.

        Others' copies stand, and those in use elsewhere.
        """
        claims = self.staged.get(drop.session.row, {})
        if claims.pop((drop.session, drop.turn), None) is None:
            return []
        home = self.home(drop.session)
        if claims or home is None or home.site == self.site:
            return []  # others use it, or it lapses
        return self._ask_keepers(now_ms, home)

    def release(self, now_ms: float, sender: str, release: m.Release) -> list[m.Out]:
        """Release the old copies, if they are the old ones by all that is known here and at two replicas."""
        home = self.home(release.session)
        if home is None or home.number != release.number or home.site == self.site:
            return []
        return self._ask_keepers(now_ms, home)

    def _ask_keepers(self, now_ms: float, home: Placement) -> list[m.Out]:
        """Ask the replicas whether copies may be released.

        Another front end of this zone may know more, or have prefetched them for another coordinator; and
        only their own replicas know the sessions of the function that others serve there.
        """
        own, heard = self.keepers_of(key_of(home.session)), frozenset(self.heard_keepers())
        self._lets[home.session] = (now_ms, frozenset(), heard)
        return [m.Say((*own, *sorted(heard - set(own))), m.MayLetGo(home, self.site))]

    def let(self, now_ms: float, sender: str, let: m.Let) -> list[m.Out]:
        """Take a replica's answer on a release; it counts no longer than replicas hold ballots back."""
        none: frozenset[str] = frozenset()
        asked_ms, names, waits = self._lets.get(let.session, (float("-inf"), none, none))
        home, keepers = self.home(let.session), self.keepers_of(key_of(let.session))
        if now_ms - asked_ms > self.settings.wait_ms or home is None or home.number != let.number:
            self._lets.pop(let.session, None)
            return []
        if let.used:
            del self._lets[let.session]
            self._count("kept: others use it, or may")
            return []
        names |= {sender} if let.yes and sender in keepers else set()
        waits -= {sender}
        self._lets[let.session] = (asked_ms, names, waits)
        if waits or len(names) < len(keepers) // 2 + 1:
            return []
        del self._lets[let.session]
        self.contexts.pop(let.session, None)
        return self._let_go(now_ms, let.session)

    def _let_go(self, now_ms: float, session: Session) -> list[m.Out]:
        used = self.at_home.get((session.row, self.site), 0) or self.staged.get(session.row)
        used = used or self.uses(session.row, self.site)
        if used or now_ms < self._sure_ms:
            self._count("kept: others use it, or may")
            return []
        return [PrefetchRelease(session.row, self.site)]

    # --- time -------------------------------------------------------------------------------------

    @property
    def watches(self) -> bool:
        """Whether calls here may begin to use a zone whose copies a coordinator is about to release."""
        return bool(self._touched)

    def tick(self, now_ms: float) -> list[m.Out]:
        """Do what is due: give up late calls, expire prefetched copies, forget sessions without calls."""
        found: list[m.Out] = []
        for name in [name for name, call in self.calls.items() if now_ms >= call.until_ms]:
            self._count("given up")
            found += self.ended(now_ms, name)
        self._expire_staged(now_ms)
        for row, until_ms in list(self._touched.items()):
            found += self._used_since(now_ms, row)
            if now_ms >= until_ms:
                del self._touched[row]
        self._expire_settling(now_ms)
        for session in [s for s, (at, *_) in self._lets.items() if now_ms - at > self.settings.wait_ms]:
            del self._lets[session]
        found += self._tell_untold(now_ms)
        self._forget_still(now_ms)
        return found

    def _expire_staged(self, now_ms: float) -> None:
        for row, claims in list(self.staged.items()):
            for claim in [claim for claim, (until, _) in claims.items() if now_ms >= until]:
                del claims[claim]
            if not claims:
                del self.staged[row]

    def _expire_settling(self, now_ms: float) -> None:
        for row in [row for row, waits in self._settling.items() if min(waits.values()) <= now_ms]:
            waits = {s: until for s, until in self._settling[row].items() if until > now_ms}
            self._settling[row] = waits
            if not waits:
                del self._settling[row]
                self._touched.pop(row, None)

    def _tell_untold(self, now_ms: float) -> list[m.Out]:
        """Tell replicas of placements in use that they may not know, some in each tick."""
        found: list[m.Out] = []
        for session in self._untold[-LOOKS:]:
            seen = self.homes.get(session)
            if seen is not None and seen.told_ms <= self._anew_ms:
                found.append(self._tell(now_ms, seen))
        del self._untold[-LOOKS:]
        return found

    def _forget_still(self, now_ms: float) -> None:
        """Forget sessions without calls, the oldest first."""
        while self.homes:
            session, seen = next(iter(self.homes.items()))
            if now_ms - seen.used_ms < self.settings.still_ms or seen.under_way:
                break
            self._drop(session)

    def receive(self, now_ms: float, sender: str, message: m.Message) -> list[m.Out]:
        """Take any message; those that are not for a router are dropped.

        After a Stage that comes back from a Receive, its copies' state goes to `stood`.
        """
        takes: Callable | None = {
            m.Told: self.told,
            m.Give: self.give,
            m.Receive: self.take,
            m.Drop: self.drop,
            m.Release: self.release,
            m.Let: self.let,
        }.get(type(message))
        return takes(now_ms, sender, message) if takes else []
