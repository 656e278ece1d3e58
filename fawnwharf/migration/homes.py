"""One replica of session placements: what it promises and accepts, and when it may do so at all.

Pure; times are milliseconds of its own clock, which is never compared with another's. Each number of a
session is decided by single-decree Paxos (Lamport 1998) among the session's three replicas, a zone each: a
coordinator with two promises may ask for the switch, and two grants decide it. What two replicas may have
granted already, the next ballot finds at one of them and completes, so a number is decided once, whoever
asks.

That holds as long as no replica forgets. One that has restarted neither promises nor grants until nobody may
depend on its former answers any more and it has then received all that the other replicas hold; or, where
they forgot as well, until every placement in use was reported again by the front ends that use it
(`window_ms`).

Replicas are chosen by a list of members, and grant by that list alone: a ballot by another list is ignored.
After a change of the list they receive the state of the replicas before it, each once it has changed over
itself. Where all of them in most zones did, no two of a session's three are left that could grant by the
earlier list, and what was granted by it is held by at least one of those that were heard.
"""

from collections.abc import Callable, Iterable
from itertools import islice

from msgspec.structs import replace

from fawnwharf.migration import messages as m
from fawnwharf.migration.settings import Settings
from fawnwharf.replication.placement import rendezvous_weight
from fawnwharf.session_types import Placement, Session

Before = tuple[int, dict[str, str], int]  # a list: number, its keepers' zones, zones that may be silent

EMPTY = m.Record()
UNSURE_PAUSE = 5  # times `again_ms`, before a fellow is asked again that did not know all itself
LOOKS = 200  # records that are looked at in one tick for what is over, or open and without a mover


def key_of(session: Session) -> str:
    """The key by which a session's replicas and its coordinator are placed."""
    return f"{session.org}\0{session.row}"


def mover_of(session: Session, fronts: Iterable[str]) -> str:
    """The front end that coordinates a session's migration, of those that are heard; else its backup."""
    return max(sorted(fronts), key=lambda name: rendezvous_weight("mover", name, key_of(session)), default="")


def merged(one: m.Record, other: m.Record) -> m.Record:
    """The join of two records of a session.

    Each part is the larger one, and what is of a number that was decided since is dropped: a join of a
    semilattice, so commutative, associative and idempotent. Two placements under one number are a fault; the
    one that is later in the order of all records stands, the same at every replica.
    """
    first = max(one, other, key=lambda record: (record.number, record.site, record.source, record.step))
    offers = [r.offer for r in (one, other) if r.offer and r.offer.number > first.number]
    grants = [r.grant for r in (one, other) if r.grant and r.grant.number > first.number]
    return m.Record(
        first.number,
        first.site,
        first.source,
        first.step,
        max(one.promised, other.promised),
        max(offers, default=None),
        max(grants, default=None),
    )


def contradicts(one: m.Record, other: m.Record) -> bool:
    """Whether one number has two placements, which must never be."""
    return one.number == other.number > 0 and one.site != other.site


def is_open(record: m.Record) -> bool:
    """Whether somebody has to go on with the migration."""
    return bool(record.offer or record.grant) or record.step is not m.Step.RELEASED


class Keeper:
    """Owns the placements that this front end stores for the fleet."""

    def __init__(
        self,
        name: str,
        fellows: Iterable[str],
        settings: Settings,
        now_ms: float,
        life: int,
        fresh: bool = False,
    ) -> None:
        """`fellows` are the other replicas of anything stored here.

        `fresh`: nothing was ever promised under this name that is not here.
        """
        self.name, self.settings, self.life = name, settings, life
        self.fellows = frozenset(fellows) - {name}
        self.records: dict[Session, tuple[m.Record, float]] = {}  # and when it was used: the oldest first
        self.counts: dict[str, int] = {}
        self._since_ms, self._sure = now_ms, fresh
        self.is_quorum = False  # one keeper decides alone, and no other one knows what it promised
        self._missing = set() if fresh else set(self.fellows)
        self.list = self.earlier = 0  # of members: that it goes by; the one before, if it knew all by that
        self._old: Before = (0, {}, 0)
        self._vouched: set[str] = set()  # keepers by the list before, which have changed over and told all
        self._hearing: dict[str, tuple[int, int, float]] = {}  # number of the want, next part, when
        self._telling: dict[str, tuple[int, int, int, list[Session]]] = {}
        self._wants = 0
        self._looked = 0
        self._open: dict[Session, float] = {}  # what somebody has to go on with, and since when it is so
        self._letting: dict[Session, float] = {}  # until when; about in the order of time
        self._of_row: dict[str, set[Session]] = {}  # of `records`, by function

    def _count(self, cause: str) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + 1

    # --- whether it may ---------------------------------------------------------------------------

    def _lapsed(self, now_ms: float) -> bool:
        """Whether nobody may rest on a word of its former life any more."""
        return now_ms - self._since_ms > self.settings.wait_ms * self.settings.stretch

    def sure(self, now_ms: float) -> bool:
        """Whether it knows all that it ever promised or granted and that still counts."""
        if not self._sure and self._lapsed(now_ms):
            over = now_ms - self._since_ms >= self.settings.window_ms
            heard = not self._missing and not self.is_quorum
            self._sure = heard or self._is_vouched() or over
        return self._sure

    def _is_vouched(self) -> bool:
        """Whether enough of the keepers before are heard: all in all zones but as many as may be silent."""
        _, zones, spare = self._old
        return bool(zones) and len({zones[name] for name in zones.keys() - self._vouched}) <= spare

    def placed_anew(
        self,
        now_ms: float,
        fellows: Iterable[str],
        number: int = 0,
        before: Before = (0, {}, 0),
    ) -> None:
        """Take that replicas are now chosen by the list of this number.

        By the list `before`, some may have been granted that this replica was never asked for: until it has
        heard that list's replicas, it neither promises nor grants; where too few of them are left, until
        every placement in use was reported again.
        """
        sure = self.sure(now_ms)
        self.list, self.earlier, self._old = number, before[0] if sure else 0, before
        self._vouched = {self.name} if sure else set()
        self.fellows = frozenset(fellows) - {self.name}
        self._since_ms, self._sure, self._missing = now_ms, False, set(self.fellows)
        self._hearing.clear()
        self._telling.clear()

    # --- what is held -----------------------------------------------------------------------------

    def record(self, session: Session) -> m.Record:
        """The record of a session; an empty one for an unknown session."""
        return self.records.get(session, (EMPTY, 0.0))[0]

    def _put(self, now_ms: float, session: Session, record: m.Record) -> bool:
        """Hold it; False where there is no room: sessions that are over go, live ones never do."""
        if session not in self.records and len(self.records) >= self.settings.sessions:
            self._forget(now_ms)
            if len(self.records) >= self.settings.sessions:
                self._count("no room")
                return False
        before, _ = self.records.pop(session, (None, 0.0))
        self.records[session] = (record, now_ms)
        if before is None:
            self._of_row.setdefault(session.row, set()).add(session)
        if record != before or session not in self._open:
            self._open.pop(session, None)
            if is_open(record):
                self._open[session] = now_ms
        return True

    def _forget(self, now_ms: float) -> None:
        """Sessions that nobody has used for longer than any front end knows them."""
        over = now_ms - 2 * self.settings.window_ms
        for session in [s for s, (_, used) in islice(self.records.items(), LOOKS) if used < over]:
            del self.records[session]
            self._open.pop(session, None)
            self._of_row[session.row].discard(session)
            if not self._of_row[session.row]:
                del self._of_row[session.row]
            self._count("forgotten")

    def _take(self, now_ms: float, session: Session, record: m.Record) -> bool:
        """What somebody else says of a session."""
        before = self.record(session)
        if contradicts(before, record):
            self._count("two homes under one number")
        return self._put(now_ms, session, merged(before, record))

    def _known(self, now_ms: float, home: Placement | None) -> None:
        """A home that somebody goes by was decided: nobody goes by any other."""
        if home is None:
            return
        mine = self.record(home.session)
        if home.number > mine.number or (home.number == 0 and not mine.site):
            step = m.Step.SWITCHED if home.number else m.Step.RELEASED
            self._take(now_ms, home.session, m.Record(home.number, home.site, "", step))

    # --- movers -----------------------------------------------------------------------------------

    def ask(self, now_ms: float, sender: str, ask: m.Ask) -> list[m.Say]:
        """Promise that nothing of an earlier ballot will be granted, and report what is held."""
        self._known(now_ms, ask.known)
        mine, sure = self.record(ask.session), self.sure(now_ms)
        yes = sure and ask.turn > mine.promised and not self._letting_go(now_ms, ask.session)
        if yes:
            offer = m.Offer(mine.number + 1, ask.turn, ask.destination) if ask.destination else mine.offer
            yes = self._put(now_ms, ask.session, replace(mine, promised=ask.turn, offer=offer))
        return [self._word(sender, ask.session, ask.turn, 0, yes, sure, mine)]

    def switch(self, now_ms: float, sender: str, switch: m.Switch) -> list[m.Say]:
        """Grant a number to a zone, but not by a ballot that is over, and no number twice.

        The number before it was decided, or nobody could ask for this one.
        """
        self._known(now_ms, switch.before)
        mine, sure = self.record(switch.session), self.sure(now_ms)
        number = switch.before.number + 1
        yes = sure and self._may(mine, switch, number)
        if yes:
            grant = m.Grant(number, switch.turn, switch.site, switch.before.site)
            granted = replace(mine, promised=max(switch.turn, mine.promised), grant=grant)
            yes = self._put(now_ms, switch.session, granted)
        held = self.record(switch.session)
        return [self._word(sender, switch.session, switch.turn, number, yes, sure, held)]

    def _may(self, mine: m.Record, switch: m.Switch, number: int) -> bool:
        return number == mine.number + 1 and switch.turn >= mine.promised

    def _word(
        self, to: str, session: Session, turn: m.Turn, number: int, yes: bool, sure: bool, record: m.Record
    ) -> m.Say:
        return m.Say((to,), m.Word(session, turn, number, yes, sure, record))

    def let(self, now_ms: float, sender: str, may: m.MayLetGo) -> list[m.Say]:
        """Let old copies go, if nothing brings the session back there; until then no ballot begins."""
        session = may.home.session
        self._known(now_ms, may.home)
        mine = self.record(session)
        back = mine.offer is not None and mine.offer.destination == may.site
        back = back or mine.grant is not None or mine.site == may.site
        yes = self.sure(now_ms) and mine.number == may.home.number and not back
        if yes:
            self._letting[session] = now_ms + self.settings.wait_ms * self.settings.stretch
        return [m.Say((sender,), m.Let(session, may.home.number, yes, self._used_there(now_ms, may)))]

    def _used_there(self, now_ms: float, may: m.MayLetGo) -> bool:
        """Whether another session of the function is placed there and in use.

        Front ends report that each quarter of `still_ms`.
        """
        still_ms = 1.25 * self.settings.still_ms
        for session in self._of_row.get(may.home.session.row, ()):
            record, used_ms = self.records[session]
            if session != may.home.session and record.site == may.site and now_ms - used_ms < still_ms:
                return True
        return False

    def _letting_go(self, now_ms: float, session: Session) -> bool:
        while self._letting and next(iter(self._letting.values())) < now_ms:
            del self._letting[next(iter(self._letting))]
        return session in self._letting

    def drop(self, now_ms: float, sender: str, drop: m.Drop) -> list[m.Say]:
        """Take that a coordinator withdraws its offer: no backup goes on with it."""
        mine = self.record(drop.session)
        if mine.offer is not None and mine.offer.turn == drop.turn:
            self._put(now_ms, drop.session, replace(mine, offer=None))
        return []

    def told(self, now_ms: float, sender: str, told: m.Told) -> list[m.Say]:
        """Take what was decided; a sender that knows less than is known here is told."""
        home, mine = told.home, self.record(told.home.session)
        if home.number < mine.number:
            return [m.Say((sender,), self._tell(home.session, mine))]
        self._take(now_ms, home.session, m.Record(home.number, home.site, told.source, told.step))
        return []

    def met(self, now_ms: float, sender: str, met: m.Met) -> list[m.Say]:
        """Take that a front end uses a session: it stays known on both sides, by the larger number."""
        self._known(now_ms, met.home)
        mine = self.record(met.home.session)
        if met.home.session in self.records:
            self._put(now_ms, met.home.session, mine)
        if mine.number > met.home.number:
            return [m.Say((sender,), self._tell(met.home.session, mine))]
        return []

    def _tell(self, session: Session, mine: m.Record) -> m.Told:
        return m.Told(Placement(session, mine.site, mine.number), mine.source, mine.step)

    # --- among keepers ----------------------------------------------------------------------------

    def tick(self, now_ms: float, fronts: Iterable[str] = ()) -> list[m.Say]:
        """Do what is due: chunks and requests of state, and open migrations that have lost their coordinator.

        `fronts` are the front ends that are heard; without them no backup is called.
        """
        found: list[m.Say] = []
        if not self.sure(now_ms) and self._lapsed(now_ms):
            unheard = self._missing | (self._old[1].keys() - self._vouched - {self.name})
            found += [say for name in sorted(unheard) for say in self._want(now_ms, name)]
        sure = self.sure(now_ms)
        for name, (life, number, part, left) in list(self._telling.items()):
            taken, left = left[: m.PIECE_MOST], left[m.PIECE_MOST :]
            held = tuple(m.Held(s, self.records[s][0]) for s in taken if s in self.records)
            piece = m.Piece(life, number, part, not left, sure, held, self.list, self.earlier)
            found.append(m.Say((name,), piece))
            if left:
                self._telling[name] = (life, number, part + 1, left)
            else:
                del self._telling[name]
        return found + self._orphans(now_ms, frozenset(fronts))

    def _orphans(self, now_ms: float, fronts: frozenset[str]) -> list[m.Say]:
        if not fronts or not self._open:
            return []
        self._looked = self._looked % len(self._open)
        looked = list(islice(self._open.items(), self._looked, self._looked + LOOKS))
        self._looked += LOOKS
        found = []
        for session, since in looked:
            record = self.record(session)
            late = now_ms - since > self.settings.settle_ms * self.settings.stretch
            # An offer alone may be in the hands of one that is heard for as long as that takes it.
            late = late and (record.grant is not None or record.step is not m.Step.RELEASED)
            if is_open(record) and (late or record.promised.mover.partition("#")[0] not in fronts):
                found.append(m.Say((mover_of(session, fronts),), m.Resume(session)))
        return found

    def _want(self, now_ms: float, name: str) -> list[m.Say]:
        heard = self._hearing.get(name)
        if heard is not None and now_ms - heard[2] <= self.settings.again_ms:
            return []
        self._wants += 1
        self._hearing[name] = (self._wants, 0, now_ms)
        return [m.Say((name,), m.Want(self.life, self._wants))]

    def want(self, now_ms: float, sender: str, want: m.Want) -> list[m.Say]:
        """Take another replica's request for all state; a later request replaces an earlier one."""
        if sender in self.fellows:
            self._telling[sender] = (want.life, want.number, 0, list(self.records))
        return []

    def piece(self, now_ms: float, sender: str, piece: m.Piece) -> list[m.Say]:
        """Take a chunk of state.

        One that is missing, repeated or of another incarnation ends nothing and adds nothing.
        """
        number, part, _ = self._hearing.get(sender, (0, 0, 0.0))
        if piece.life != self.life or (piece.number, piece.part) != (number, part):
            self._count("a piece out of place")
            return []
        self._hearing[sender] = (number, part + 1, now_ms)
        room = all([self._take(now_ms, held.session, held.record) for held in piece.held])
        if piece.last or not room:
            # Guards two that wait for each other against telling all they hold over and over.
            self._hearing[sender] = (-1, 0, now_ms + (UNSURE_PAUSE - 1) * self.settings.again_ms)
        if piece.last and room and piece.list == self.list:
            if piece.earlier and piece.earlier == self._old[0]:
                self._vouched.add(sender)
            if piece.sure:
                del self._hearing[sender]
                self._missing.discard(sender)
        return []

    def _goes_by(self, message: m.Message) -> bool:
        """Whether who says it goes by the same list of members, where that matters."""
        return not isinstance(message, m.Ask | m.Switch | m.MayLetGo) or message.list == self.list

    def receive(self, now_ms: float, sender: str, message: m.Message) -> list[m.Say]:
        """Take any message; those that are not for a replica are dropped."""
        if not self._goes_by(message):
            self._count("asked by another list")
            return []
        takes: Callable | None = {
            m.Ask: self.ask,
            m.Switch: self.switch,
            m.Told: self.told,
            m.Met: self.met,
            m.Drop: self.drop,
            m.MayLetGo: self.let,
            m.Want: self.want,
            m.Piece: self.piece,
        }.get(type(message))
        return takes(now_ms, sender, message) if takes else []
