"""One front end's part in moving sessions between zones.

Pure: calls, others' messages and times come in, effects go out in order. It joins the cores of `handover`: a
router at each front end; a replica and a coordinator where placements are stored, as replicas hear all
members and are heard by all; and the choice of migrations to begin (`moves`). A call goes by the placement
that is known when the decision module gets it, so it counts as sent from then on: nothing takes it again for
a later one.

Incarnations are counted here as they are heard of, since members' own numbers have no order.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable

from msgspec.structs import replace

from fawnwharf.incarnations import IncarnationCounter
from fawnwharf.interface import ClassSpec
from fawnwharf.migration import messages as m
from fawnwharf.migration.homes import Keeper, key_of, mover_of
from fawnwharf.migration.mover import Mover
from fawnwharf.migration.router import Router
from fawnwharf.session_types import Placement, PredictedMove, PrefetchOrder, PrefetchRelease, Session
from fawnwharf.sessions.asking import Asking, why_not
from fawnwharf.sessions.completing import context_of, filled, with_copies
from fawnwharf.sessions.effects import Key, Note, Out, Words, named
from fawnwharf.sessions.known import Firsts, Known, copies
from fawnwharf.sessions.moves import Moves, View, target
from fawnwharf.sessions.settings import Settings
from fawnwharf.sessions.staged import Staged

BUSY_MS, CALM_MS = 50.0, 250.0  # pace of looks


class Agent:
    """Owns this front end's cores, what is prefetched here, and what operators asked for."""

    def __init__(
        self,
        name: str,
        life: int,
        sites: dict[str, str],
        keepers: Iterable[str],
        keepers_of: Callable[[str], tuple[str, ...]],
        settings: Settings,
        classes: dict[str, ClassSpec],
        now_ms: float,
        fresh: bool = False,
        number: int = 0,
    ) -> None:
        """`sites` are the zones of all members, this one among them; `life` differs with each start.

        `fresh`: the fleet begins, nobody has promised anything. `number` is that of the list of members.
        """
        self.name, self.life, self.site, self.sites = name, life, sites[name], dict(sites)
        self.settings, self.rules, self.classes = settings, settings.handover, classes
        self.keepers, self.keepers_of, self.number = tuple(keepers), keepers_of, number
        self.moves = Moves(settings.drain)
        self.router = Router(name, self.site, self.rules, keepers_of, now_ms, fresh)
        self.router.heard_keepers = lambda: {n for n in self.keepers if n in self.alive or n == self.name}
        self.keeper: Keeper | None = None
        self.mover: Mover | None = None
        if name in self.keepers:
            self._keep(now_ms, fresh)
        self.known, self.firsts = Known(self.rules.sessions), Firsts()
        self.alive: dict[str, int] = {}  # members that are heard, and the life of each, counted here
        self.room: dict[str, int] = {}  # sessions that sites can take
        self.spent: Callable[[str], int] = lambda _org: 0  # of a tenant's quota, counted here
        self.counts: Counter[str] = Counter()
        self.ended_by: Counter[str] = Counter()
        self.asking = Asking()
        self._lives = IncarnationCounter()
        self._closed: dict[str, str] = {}
        self._pleased: dict[Session, str] = {}  # who wished for what is in hand here
        self._staged = Staged(self.counts)
        self._gone: set[str] = set()  # calls that were closed at the last look
        self._out: list[Out] = []

    def _keep(self, now_ms: float, fresh: bool) -> None:
        self.keeper = Keeper(self.name, self.keepers, self.rules, now_ms, self.life, fresh)
        self.mover = Mover(self.name, self.rules, self.keepers_of, now_ms, self.life)
        self.keeper.list = self.mover.list = self.number
        self.keeper.is_quorum = len(self.keepers_of("")) == 1
        self.mover.turns = lambda session: self.keeper.record(session).promised.count

    def take(self) -> list[Out]:
        """Return the effects that are to be carried out, once."""
        out, self._out = self._out, []
        return out

    # --- calls ------------------------------------------------------------------------------------

    def begun(
        self,
        now_ms: float,
        call: str,
        session: Session,
        kind: str,
        lanes: int,
        load_ms: float | None,
        budget_ms: float,
    ) -> Placement:
        """Take a call that the module is about to get; the placement that it goes by."""
        self.known.came(now_ms, session, kind, lanes, load_ms)
        urgent = self.router.home(session) is None
        if urgent and (home := self._home(session)) and home.number:
            self.router.meet(now_ms, home)  # kept here, and nobody tells it anew to who has begun anew
        home = None
        for effect in self.router.begin(now_ms, call, session, now_ms + budget_ms):
            if isinstance(effect, m.Reroute):
                home = effect.home
            else:
                self._carry(now_ms, [effect], urgent or isinstance(effect.message, m.Left))
        self.router.sent(call)
        self.firsts.begun(call, session)
        return home

    def ended(self, now_ms: float, call: str, found: bool | None = None) -> None:
        """Take that a call has its final answer, or is withdrawn.

        `found`: its copy stood; None where the end told nothing of that.
        """
        self.firsts.ended(call, found)
        self._carry(now_ms, self.router.ended(now_ms, call))

    # --- others' words ----------------------------------------------------------------------------

    def hear(self, now_ms: float, sender: str, life: int, words: Iterable[m.Message]) -> None:
        """Take messages of one member, in order."""
        if sender not in self.sites:
            self.counts["no member"] += 1
            return
        if not self._lives.observe(sender, life):
            self.counts["of an earlier life"] += 1
            return
        for word in words:
            self._carry(now_ms, self._hear(now_ms, sender, word))

    def followed(self, now_ms: float, name: str) -> None:
        """Take that a member receives this front end's messages from now on."""
        if name in self.keepers:
            self.router.followed(now_ms)

    def _hear(self, now_ms: float, sender: str, word: m.Message) -> list[m.Out]:
        if isinstance(word, m.Please):
            return self._please(now_ms, sender, word)
        if isinstance(word, m.Begun):
            self._answered(word)
            return []
        word = self._completed(now_ms, sender, word)
        found: list[m.Out] = []
        if self.mover is not None:
            found += self.mover.receive(now_ms, sender, word)
        self._note_moves(now_ms, sender, word)
        found += [
            out for out in self.router.receive(now_ms, sender, word) if not isinstance(out, PrefetchOrder)
        ]
        if self.keeper is not None:
            found += self.keeper.receive(now_ms, sender, word)
        if isinstance(word, m.Receive):
            found += self._stage(now_ms, sender, word)
        elif isinstance(word, m.Drop):
            self._out += self._staged.drop((word.session, word.turn))
        return found

    def _completed(self, now_ms: float, sender: str, word: m.Message) -> m.Message:
        """A received message with what is known here; what it tells of a session is noted."""
        if isinstance(word, m.Left):
            return replace(word, life=self._lives.last_count(sender))
        if isinstance(word, m.Met) and self.keeper is not None:
            self.known.tell(now_ms, word.home.session, word.facts, self.sites[sender])
        elif isinstance(word, m.Give):
            mine = ((f"{self.name}#{self.life}", spent),) if (spent := self.spent(word.session.org)) else ()
            self.router.contexts[word.session] = context_of(now_ms, word.session, self.known, mine)
        elif isinstance(word, m.Given):
            return with_copies(now_ms, word, self.known)
        return word

    def _note_moves(self, now_ms: float, sender: str, word: m.Message) -> None:
        """Note the switches that a message tells of, and the sessions that are to return."""
        if isinstance(word, m.Told):
            self.firsts.met(word, self.router.home(word.home.session))
            known = self.keeper.record(word.home.session).number if self.keeper else word.home.number
            if word.home.number > known and sender != self.name:
                self.moves.seen(now_ms, word.home, word.source)
        elif isinstance(word, m.Piece):
            for held in word.held:
                if held.away:
                    self.moves.taken_from(now_ms, held.session, held.away)

    # --- what is staged here ----------------------------------------------------------------------

    def _stage(self, now_ms: float, sender: str, receive: m.Receive) -> list[m.Out]:
        """A mover wants copies here; it asks until they stand."""
        facts = receive.facts or self.known.best(now_ms, receive.session)
        effects, stands = self._staged.want(now_ms, sender, receive, facts)
        self._out += effects
        return self.router.stood(now_ms, sender, receive, True) if stands else []

    def stood(self, now_ms: float, key: Key, stands: bool) -> None:
        """Take that copies stand, or can't, by their scorers' own answers."""
        if (stage := self._staged.stood(key, stands)) is not None:
            self.counts["could not be staged"] += not stands
            self._carry(now_ms, self.router.stood(now_ms, stage.sender, stage.receive, stands))

    # --- what operators and plans ask ---------------------------------------------------------------

    def mover_for(self, session: Session) -> str:
        """The coordinator of a session, of its replicas that are heard; another replica where none is."""
        heard = self.alive.keys() | {self.name}
        own = [name for name in self.keepers_of(key_of(session)) if name in heard]
        return mover_of(session, own or [name for name in self.keepers if name in heard])

    def ask(self, now_ms: float, moves: Iterable[tuple[Session, str]]) -> None:
        """Take operators' requests: these sessions are to be placed at these zones."""
        wanted = []
        for session, site in moves:
            source = getattr(self.router.home(session), "site", self.site)
            wanted.append(PredictedMove(session, source, site, 0.0, 1.0, "operator"))
        self.asking.ask(now_ms, wanted)
        self._carry(now_ms, self.asking.due(now_ms, self.mover_for))

    def _answered(self, begun: m.Begun) -> None:
        if self.asking.answered(begun) and begun.over:
            self._out.append(Note("move answered", named(begun.session) | {"why": begun.why}))

    def _please(self, now_ms: float, sender: str, please: m.Please) -> list[m.Out]:
        """Whatever home is known here: the session's keepers have the last word on it."""
        move = please.move
        if self.mover is None or self.keeper is None:
            return []
        home = self._home(move.session)
        if why := why_not(home, move.destination, self.sites.values(), self._closed):
            return [m.Say((sender,), m.Begun(move.session, home, why, True))]
        begun = m.Say((sender,), m.Begun(move.session, home, "begun", False))
        if self._pleased.get(move.session) == sender and move.session in self.mover.hands:
            return [begun]
        if move.session in self.mover.hands:
            return [m.Say((sender,), m.Begun(move.session, home, "one is in hand", True))]
        self._pleased[move.session] = sender
        return [begun, *self._begin(now_ms, replace(move, source=home.site), home.number)]

    def _home(self, session: Session) -> Placement | None:
        """The last home that is known here, as a keeper or of calls."""
        seen = self.router.home(session)
        record = self.keeper.record(session) if self.keeper else m.Record()
        if record.site and (seen is None or record.number >= seen.number):
            return Placement(session, record.site, record.number)
        return seen

    def close(self, now_ms: float, closed: dict[str, str], shares: dict[str, float] | None = None) -> None:
        """Take the zones that are to be empty, and why, and the open parts of those that return."""
        self._closed = dict(closed)
        self.moves.close(now_ms, closed, shares or {})

    def target(self, session: Session, site: str) -> str:
        """Where a session goes whose zone is closed."""
        room = {name: room for name, room in self.room.items() if name not in self._closed and name != site}
        return target(session, room)

    def expected(self, now_ms: float, moves: Iterable[PredictedMove]) -> None:
        """Take moves that are predicted."""
        self.moves.expected(now_ms, moves)

    # --- hand-overs -------------------------------------------------------------------------------

    def _begin(self, now_ms: float, move: PredictedMove, number: int, haste: bool = False) -> list[m.Out]:
        best = self.known.best(now_ms, move.session)
        return self.mover.begin(now_ms, move, number, copies(best), haste)

    def _view(self, now_ms: float) -> View:
        fronts = {self.name, *self.alive}
        return View(
            records=self.keeper.records,
            mine=lambda session: self.mover_for(session) == self.name,
            live=lambda session: self.known.live(
                now_ms, session, self.keeper.records[session][1], self.classes, self.settings
            ),
            room=self.room,
            alive=frozenset(self.sites[name] for name in fronts if name in self.sites),
            busy=lambda session: session in self.mover.hands,
            movers=sum(name in fronts for name in self.keepers),
        )

    def _carry(self, now_ms: float, effects: Iterable[m.Out], urgent: bool = True) -> None:
        """What is said to oneself is heard at once; the rest goes out, in order."""
        waiting = deque(effects)
        while waiting:
            effect = waiting.popleft()
            if isinstance(effect, m.Say):
                message = filled(now_ms, effect.message, self.known, self.moves, self.number)
                others = tuple(name for name in effect.to if name != self.name)
                if others:
                    self._out.append(Words(others, message, urgent))
                if len(others) < len(effect.to):
                    waiting.extendleft(reversed(self._hear(now_ms, self.name, message)))
            elif isinstance(effect, m.Moved):
                waiting.extendleft(reversed(self._moved(now_ms, effect)))
            elif isinstance(effect, m.Ended):
                waiting.extendleft(reversed(self._over(now_ms, effect)))
            elif isinstance(effect, PrefetchRelease):
                self.counts["let go"] += 1
                self._out.append(effect)

    def _moved(self, now_ms: float, moved: m.Moved) -> list[m.Out]:
        home = moved.home
        self.counts["moved"] += 1
        self.moves.switched(now_ms, home, moved.source)
        fields = named(home.session) | {"site": home.site, "number": home.number}
        self._out.append(Note("session moved", fields | {"whence": moved.source, "lost": list(moved.lost)}))
        return self._please_over(home, "switched")

    def _over(self, now_ms: float, ended: m.Ended) -> list[m.Out]:
        home = ended.home
        self.ended_by[ended.why] += 1
        self.moves.ended(now_ms, home, ended.why)
        fields = named(home.session) | {"site": home.site, "number": home.number}
        self._out.append(Note("hand-over ended", fields | {"why": ended.why, "done": ended.done}))
        return self._please_over(home, ended.why)

    def _please_over(self, home: Placement, why: str) -> list[m.Out]:
        wisher = self._pleased.pop(home.session, None)
        return [m.Say((wisher,), m.Begun(home.session, home, why, True))] if wisher else []

    # --- time, and who is there ---------------------------------------------------------------------

    def place(self, now_ms: float, sites: dict[str, str], keepers: Iterable[str], number: int = 0) -> None:
        """Take a later list of members."""
        zones = {name: self.sites[name] for name in self.keepers}
        kept = min(len(set(zones.values())), len(self.keepers_of("")))  # of a session: of as many zones
        before = self.number, zones, (kept - 1) // 2
        self.sites, keepers, self.number = dict(sites), tuple(keepers), number
        self._lives.retain(sites)
        if self.mover is not None:
            for name in [name for name in self.mover.seen if name not in sites]:
                del self.mover.seen[name]
        was, self.keepers = self.keepers, keepers
        if self.keeper is None and self.name in keepers:
            self._keep(now_ms, fresh=False)
        if self.keeper is None or self.mover is None:
            return
        if set(was) == set(keepers) and zones == {name: sites[name] for name in keepers}:
            self.keeper.list = self.mover.list = number
            return
        self.keeper.placed_anew(now_ms, keepers, number, before)
        self.keeper.is_quorum = len(self.keepers_of("")) == 1
        self._carry(now_ms, self.mover.placed_anew(now_ms, number))

    def tick(self, now_ms: float, alive: dict[str, int], open_calls: Callable[[str], bool]) -> None:
        """Do what is due.

        `alive` are the members that are heard, with their incarnations' numbers; `open_calls` says whether a
        call is still open here.
        """
        counted = {
            name: self._lives.observe(name, life) for name, life in alive.items() if name in self.sites
        }
        self.alive = {name: count for name, count in counted.items() if count}
        # One whose attempt has just ended is closed already, and the module is yet to be told: at the second
        # look it was refused, failed or overdue.
        gone = {call for call in self.router.calls if not open_calls(call)}
        for call in gone & self._gone:
            self.counts["calls without an answer"] += 1
            self.ended(now_ms, call)
        self._gone = gone
        self._carry(now_ms, self.router.tick(now_ms))
        self.known.forget(now_ms, 2 * self.rules.still_ms)
        self._carry(now_ms, self.asking.due(now_ms, self.mover_for))
        self._out += self._staged.over(now_ms)
        if self.keeper is None or self.mover is None:
            return
        heard = {name: self.sites[name] for name in self.alive} | {self.name: self.site}
        self._carry(now_ms, self.mover.heard(now_ms, heard, self.sites, self.alive))
        self._carry(now_ms, self.mover.tick(now_ms))
        movers = [name for name in self.keepers if name in heard]
        self._carry(now_ms, self.keeper.tick(now_ms, movers))
        for begin in self.moves.tick(now_ms, self._view(now_ms)):
            self._carry(now_ms, self._begin(now_ms, begin.move, begin.number, begin.haste))
        for event, fields in self.moves.notes:
            self._out.append(Note(event, fields))
        self.moves.notes.clear()

    def pace_ms(self) -> float:
        """How soon the next tick is wanted."""
        under_way = self.mover is not None and (self.mover.hands or self.moves.busy)
        telling = self.keeper is not None and self.keeper._telling
        return BUSY_MS if under_way or telling or self.router.watches or self.asking else CALM_MS

    def sure(self, now_ms: float) -> bool:
        """Whether the replica here knows all that it promised."""
        return self.keeper is not None and self.keeper.sure(now_ms)
