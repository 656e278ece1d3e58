"""The coordinator of migrations: one front end for each session, by hash, or its backup when that is gone.

Pure; times are milliseconds of its own clock. Nothing that it knows is needed by others: whoever takes over
asks the replicas and goes on from what they hold. So a coordinator may stop, or be killed, at any step, and
may give up whenever it likes: until front ends are told, the session is whole at its old zone, and after that
at the new one. A switch that may be decided but is not known to be is not undone: the next ballot completes
it.
"""

from collections.abc import Callable, Iterable
from functools import reduce

from fawnwharf.migration import messages as m
from fawnwharf.migration.hand import ASKING, SETTLING, STAGING, SWITCHING, UNSTAGED, Hand
from fawnwharf.migration.homes import is_open, key_of, merged
from fawnwharf.migration.settings import Settings
from fawnwharf.replication.placement import rendezvous_weight
from fawnwharf.session_types import Placement, PredictedMove, Session

HANDS_MOST = 20_000
LOST_IN_HASTE = ("quota spent since it was last told", "rate of calls", "calls under way without a claim")
LOST_ADOPTED = ("context, unless it was staged before",)


class Mover:
    """Owns the migrations of one front end, by session."""

    def __init__(
        self,
        name: str,
        settings: Settings,
        keepers_of: Callable[[str], tuple[str, ...]],
        now_ms: float,
        life: int = 1,
    ) -> None:
        """`keepers_of` gives the replicas of a key, a zone each (`replication.placement`).

        `life` differs with each start, so that no ballot is used twice.
        """
        self.name, self.settings, self.keepers_of = name, settings, keepers_of
        self.life, self.list = life, 0
        # Counts of turns that are known here: the first ask need not be one that keepers have passed.
        self.turns: Callable[[Session], int] = lambda _session: 0
        self.hands: dict[Session, Hand] = {}
        self.seen: dict[str, tuple[str, bool, float]] = {}  # site of each front end, heard or not, since when
        self.lives: dict[str, int] = {}
        self.counts: dict[str, int] = {}
        self._begun_ms = now_ms

    def _count(self, cause: str) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + 1

    def heard(
        self,
        now_ms: float,
        fronts: dict[str, str],
        members: dict[str, str] | None = None,
        lives: dict[str, int] | None = None,
    ) -> list[m.Out]:
        """Take the front ends that are heard, all members with their zones, and their incarnations.

        A receiver that is gone is replaced; one that restarted has acknowledged nothing, as it may know less.
        """
        for name, life in (lives or {}).items():
            self._lives(name, life)
        for name, site in {**(members or {}), **fronts}.items():
            before = self.seen.get(name)
            if before is None or before[1] != (name in fronts) or before[0] != site:
                self.seen[name] = (site, name in fronts, now_ms)
        for name, (site, was, _) in list(self.seen.items()):
            if was and name not in fronts:
                self.seen[name] = (site, False, now_ms)
        found: list[m.Out] = []
        for hand in list(self.hands.values()):
            gone = hand.receiver and hand.receiver not in fronts
            if hand.step == STAGING and gone:
                found += self._receive(now_ms, hand)
        return found

    def placed_anew(self, now_ms: float, number: int) -> list[m.Out]:
        """Take that another list of members chooses the replicas.

        What is not decided begins a ballot with the new ones, as promises of the earlier ones don't bind
        them.
        """
        self.list = number
        found: list[m.Out] = []
        for hand in list(self.hands.values()):
            if hand.step != SETTLING:
                hand.tries = 0
                found += self._ask(now_ms, hand)
        return found

    def _lives(self, name: str, life: int) -> bool:
        """Whether this is its last life that is known here."""
        known = self.lives.get(name, 0)
        if life > known:
            self.lives[name] = life
            for hand in self.hands.values():
                hand.left -= {name}
                hand.others -= {name}
        return life >= known

    def _at(self, site: str, key: str) -> str:
        """The front end of a site that speaks for it in a session's matters."""
        names = sorted(n for n, (at, heard, _) in self.seen.items() if at == site and heard)
        return max(names, key=lambda name: rendezvous_weight("receiver", name, key), default="")

    # --- beginning --------------------------------------------------------------------------------

    def begin(
        self, now_ms: float, move: PredictedMove, number: int = 0, copies: int = 1, haste: bool = False
    ) -> list[m.Out]:
        """Begin a migration.

        `number` is that of the placement known here, `haste` says that its zone is dead.
        """
        known = Placement(move.session, move.source, number)
        if move.session in self.hands or len(self.hands) >= HANDS_MOST:
            return [m.Ended(known, "one is in hand" if move.session in self.hands else "too many")]
        hand = Hand(move.session, move.source, move.destination, known, m.Turn(), copies, haste)
        self.hands[move.session] = hand
        return self._ask(now_ms, hand)

    def resume(self, now_ms: float, sender: str, resume: m.Resume) -> list[m.Out]:
        """Go on with what replicas hold of a session whose coordinator is gone."""
        if resume.session in self.hands or len(self.hands) >= HANDS_MOST:
            return []
        hand = Hand(resume.session, "", "", Placement(resume.session, "", 0), m.Turn())
        self.hands[resume.session] = hand
        return self._ask(now_ms, hand)

    def _ask(self, now_ms: float, hand: Hand) -> list[m.Out]:
        """A turn of its own, larger than any that it met."""
        hand.step, hand.round_ms, hand.words, hand.records = ASKING, now_ms, {}, {}
        met = max(hand.higher, hand.turn.count, self.turns(hand.session))
        hand.turn = m.Turn(met + 1, f"{self.name}#{self.life}")
        hand.tries += 1
        known = hand.known if hand.known.site else None
        ask = m.Ask(hand.session, hand.turn, known, hand.destination, self.list)
        return [m.Say(self.keepers_of(key_of(hand.session)), ask)]

    # --- keepers' words ---------------------------------------------------------------------------

    def word(self, now_ms: float, sender: str, word: m.Word) -> list[m.Out]:
        """Take a replica's promise, grant or refusal."""
        hand = self.hands.get(word.session)
        keepers = self.keepers_of(key_of(word.session))
        if hand is None or word.turn != hand.turn or sender not in keepers:
            return []
        hand.higher = max(hand.higher, word.record.promised.count)
        late = now_ms - hand.round_ms > self.settings.wait_ms
        step = SWITCHING if word.number else ASKING
        if late or hand.step != step:
            return []
        hand.words[sender] = word.yes or hand.words.get(sender, False)
        if step == SWITCHING and word.record.number > hand.base.number:
            return self._beaten(now_ms, hand, word.record)
        if word.yes:
            hand.records[sender] = word.record
        if len(hand.records) < self._enough(keepers):
            return []
        return self._based(now_ms, hand) if step == ASKING else self._decided(now_ms, hand)

    def _enough(self, keepers: tuple[str, ...]) -> int:
        return len(keepers) // 2 + 1

    def _based(self, now_ms: float, hand: Hand) -> list[m.Out]:
        """It has its turn: go on from what most keepers hold."""
        base = hand.base = reduce(merged, hand.records.values())
        if base.number or base.site:
            hand.known = Placement(hand.session, base.site, base.number)
        if base.grant is not None:  # it may be decided: nothing else can be, by this number
            wish = hand.destination
            hand.source, hand.destination, hand.adopted = base.grant.source, base.grant.site, True
            self._count(
                "completed its own switch" if wish == hand.destination else "completed another's switch"
            )
            return [*self._receive(now_ms, hand), *self._switch(now_ms, hand)]
        if is_open(base) and base.step is not m.Step.RELEASED and not hand.haste:
            hand.home, hand.source, hand.destination = hand.known, base.source, hand.known.site
            return self._settle(now_ms, hand)
        if not hand.destination and base.offer is not None:
            hand.source, hand.destination = hand.known.site, base.offer.destination
        if not hand.destination or hand.destination == hand.known.site:
            if base.number:  # one keeper may not have heard how far it is
                told = m.Told(hand.known, base.source, base.step)
                end = self._end(hand, "nothing is under way", done=bool(hand.destination))
                keepers = self.keepers_of(key_of(hand.session))
                drop = m.Drop(hand.session, hand.turn)
                return [m.Say(keepers, told), m.Say(keepers, drop), *end]
            return self._end(hand, "nothing is under way", done=bool(hand.destination))
        if hand.source != hand.known.site:
            return self._end(hand, "it is at home elsewhere")
        hand.step, hand.step_ms = STAGING, now_ms
        return [*self._receive(now_ms, hand), *self._wanted(now_ms, hand)]

    def _beaten(self, now_ms: float, hand: Hand, record: m.Record) -> list[m.Out]:
        """Another mover's switch was decided: nothing is done in the name of a smaller number."""
        home = Placement(hand.session, record.site, record.number)
        hand.known = home
        return self._end(hand, "a larger number was met")

    # --- staging ----------------------------------------------------------------------------------

    def _receive(self, now_ms: float, hand: Hand) -> list[m.Out]:
        """Have copies stand at the new site, by one of its front ends."""
        hand.receiver, hand.stands = self._at(hand.destination, key_of(hand.session)), False
        hand.has = False
        if not hand.receiver:
            return self._end(hand, "the new site is not heard") if hand.step == STAGING else []
        return self._stage(hand)

    def _stage(self, hand: Hand) -> list[m.Out]:
        lapse = self.settings.lapse_ms
        receive = m.Receive(hand.session, hand.turn, hand.base.number + 1, hand.copies, lapse, hand.context)
        return [m.Say((hand.receiver,), receive)]

    def _wanted(self, now_ms: float, hand: Hand) -> list[m.Out]:
        """Ask the old site for the context; where it is dead, do without."""
        hand.round_ms = now_ms
        old = "" if hand.haste or hand.context else self._at(hand.source, key_of(hand.session))
        return [m.Say((old,), m.Give(hand.session, hand.turn))] if old else []

    def given(self, now_ms: float, sender: str, given: m.Given) -> list[m.Out]:
        """Take a session's context from its old zone."""
        hand = self.hands.get(given.session)
        if hand is None or given.turn != hand.turn or hand.step != STAGING or hand.context is not None:
            return []
        hand.context, hand.copies = given.context, max(hand.copies, given.context.copies)
        return self._stage(hand) if hand.receiver else []

    def ready(self, now_ms: float, sender: str, ready: m.Ready) -> list[m.Out]:
        """Take that copies stand, or can't, at the new zone."""
        hand = self.hands.get(ready.session)
        if hand is None or ready.turn != hand.turn or hand.step != STAGING or sender != hand.receiver:
            return []
        hand.stands, hand.has = ready.stands, hand.has or ready.has
        without = hand.haste or not self._at(hand.source, key_of(hand.session))
        if hand.stands and (hand.has or without):
            return self._switch(now_ms, hand)
        return []

    # --- the switch -------------------------------------------------------------------------------

    def _switch(self, now_ms: float, hand: Hand) -> list[m.Out]:
        if hand.step != SWITCHING:
            hand.step, hand.step_ms = SWITCHING, now_ms
        hand.round_ms, hand.words, hand.records, hand.open = now_ms, {}, {}, True
        hand.tries += 1
        before = Placement(hand.session, hand.source, hand.base.number)
        switch = m.Switch(hand.session, hand.turn, before, hand.destination, self.list)
        return [m.Say(self.keepers_of(key_of(hand.session)), switch)]

    def _decided(self, now_ms: float, hand: Hand) -> list[m.Out]:
        """Two keepers have granted it: from here on it is told, and never taken back."""
        hand.home = hand.known = Placement(hand.session, hand.destination, hand.base.number + 1)
        hand.base = m.Record(hand.home.number, hand.home.site, hand.source, m.Step.SWITCHED)
        self._count("switched")
        lost = () if hand.has else LOST_ADOPTED if hand.adopted else LOST_IN_HASTE
        return [m.Moved(hand.home, hand.source, lost), *self._settle(now_ms, hand)]

    # --- after it ---------------------------------------------------------------------------------

    def _tell(self, hand: Hand, to: Iterable[str], step: m.Step) -> list[m.Out]:
        names = tuple(sorted(to))
        return [m.Say(names, m.Told(hand.home, hand.source, step))] if names else []

    def _settle(self, now_ms: float, hand: Hand) -> list[m.Out]:
        hand.step, hand.step_ms, hand.round_ms = SETTLING, now_ms, now_ms
        hand.left = hand.others = frozenset()
        to = {*self.keepers_of(key_of(hand.session)), *self.seen}
        return [*self._tell(hand, to, m.Step.SWITCHED), *self._look(now_ms, hand)]

    def left(self, now_ms: float, sender: str, left: m.Left) -> list[m.Out]:
        """Take how many calls a front end still has in flight by smaller numbers."""
        hand = self.hands.get(left.session)
        if not self._lives(sender, left.life) or hand is None or hand.step != SETTLING:
            return []
        if left.number > hand.home.number:
            self._count("overtaken")
            return self._end(hand, "a larger number was met")
        if left.number < hand.home.number or left.under_way:
            return []
        hand.left |= {sender}
        hand.others = hand.others | {sender} if left.others else hand.others - {sender}
        return self._look(now_ms, hand)

    def _pending(self, now_ms: float, hand: Hand) -> set[str]:
        """Front ends that may have calls in flight by a smaller number.

        The calls of a silent one are given up by their classes' rules; that it goes by the number, only its
        own message proves.
        """
        over = self.settings.give_up_ms * self.settings.stretch
        return {
            name
            for name, (_, heard, since) in self.seen.items()
            if name not in hand.left and (heard or now_ms - max(since, hand.step_ms) < over)
        }

    def _look(self, now_ms: float, hand: Hand) -> list[m.Out]:
        """Whether all has settled; then the old site may let go, unless others use what stands there."""
        if self._pending(now_ms, hand):
            return []
        return self._settled(now_ms, hand)

    def _settled(self, now_ms: float, hand: Hand) -> list[m.Out]:
        self._count("settled")
        keepers = self.keepers_of(key_of(hand.session))
        found = self._tell(hand, keepers, m.Step.SETTLED)
        old = self._at(hand.source, key_of(hand.session))  # that is told of what is staged there, too
        if old and not hand.others and hand.source != hand.home.site:
            found.append(m.Say((old,), m.Release(hand.session, hand.home.number)))
        found += self._tell(hand, keepers, m.Step.RELEASED)
        return found + self._end(hand, "used by others there" if hand.others else "released", done=True)

    # --- ends -------------------------------------------------------------------------------------

    def _end(self, hand: Hand, why: str, done: bool = False) -> list[m.Out]:
        """Nothing more is done. What was staged goes, but where a switch to it may be granted."""
        self.hands.pop(hand.session, None)
        self._count(f"ended: {why}")
        found: list[m.Out] = []
        if not hand.open and hand.home is None and not done:
            to = (*self.keepers_of(key_of(hand.session)), *([hand.receiver] if hand.receiver else []))
            found.append(m.Say(to, m.Drop(hand.session, hand.turn)))
        return [*found, m.Ended(hand.known, why, done)]

    def met(self, now_ms: float, sender: str, told: m.Told) -> list[m.Out]:
        """Take a placement that somebody uses.

        One with a larger number ends the migration in progress here.
        """
        hand = self.hands.get(told.home.session)
        at = hand.home.number if hand and hand.home else hand.base.number if hand else 0
        if hand is None or told.home.number <= at or (hand.step == ASKING and not hand.open):
            return []
        return self._beaten(now_ms, hand, m.Record(told.home.number, told.home.site))

    # --- time -------------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[m.Out]:
        """Do what is due: time-outs and repeats."""
        found: list[m.Out] = []
        for hand in list(self.hands.values()):
            found += {ASKING: self._late, STAGING: self._unstaged, SWITCHING: self._late}.get(
                hand.step, self._unsettled
            )(now_ms, hand)
        return found

    def _pause(self, hand: Hand) -> float:
        """Before keepers are asked again: spread, so that two movers do not meet for ever."""
        spread = rendezvous_weight(self.name, key_of(hand.session), str(hand.turn.count)) / 2**64
        return self.settings.again_ms * (1.0 + spread)

    def _late(self, now_ms: float, hand: Hand) -> list[m.Out]:
        if now_ms - hand.round_ms <= max(self.settings.wait_ms, self._pause(hand)):
            return []
        if hand.tries >= 2 * self.settings.tries:
            return self._end(hand, "in doubt: keepers did not answer" if hand.open else "too few keepers")
        return self._ask(now_ms, hand)

    def _unstaged(self, now_ms: float, hand: Hand) -> list[m.Out]:
        if now_ms - hand.step_ms > self.settings.stage_ms:
            return self._end(hand, UNSTAGED)
        if now_ms - hand.round_ms <= self.settings.again_ms:
            return []
        if not self._at(hand.source, key_of(hand.session)) and hand.stands:
            return self._switch(now_ms, hand)  # the old site died meanwhile
        return [*self._stage(hand), *self._wanted(now_ms, hand)]

    def _unsettled(self, now_ms: float, hand: Hand) -> list[m.Out]:
        found = self._look(now_ms, hand)
        if not found and now_ms - hand.step_ms > self.settings.settle_ms:
            return self._end(hand, "left to settle by the next")
        if found or now_ms - hand.round_ms <= self.settings.again_ms:
            return found
        hand.round_ms = now_ms
        to = {*self._pending(now_ms, hand), *self.keepers_of(key_of(hand.session))}
        return self._tell(hand, to, m.Step.SWITCHED)

    def due_ms(self) -> float:
        """When `tick` is wanted next; infinite where nothing is in progress."""
        wait = min(self.settings.wait_ms, self.settings.again_ms)
        return min((hand.round_ms + wait for hand in self.hands.values()), default=float("inf"))

    def receive(self, now_ms: float, sender: str, message: m.Message) -> list[m.Out]:
        """Take any message; those that are not for a coordinator are dropped."""
        takes: Callable | None = {
            m.Word: self.word,
            m.Given: self.given,
            m.Ready: self.ready,
            m.Left: self.left,
            m.Told: self.met,
            m.Resume: self.resume,
        }.get(type(message))
        return takes(now_ms, sender, message) if takes else []
