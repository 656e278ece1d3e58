"""Model checker for migrations.

Every interleaving of messages, losses, repeats, time-outs and kills, to a depth.

The cores are the real ones: three placement replicas, and front ends of two or three zones with a coordinator
and a router each, around one session. Time is modelled in the harshest way: whoever waits may time out at any
moment; only what depends on the wait of a restarted replica (no round that it took part in before counts any
more) is kept in step with it. A lost message is one that never comes. A migration takes about twenty-five
messages, so searches go in two ways: all interleavings, less deep; and through whole migrations, with answers
that come at once or never (`at_once`).
"""

from collections.abc import Iterator
from dataclasses import fields, replace

from fawnwharf.migration import messages as m
from fawnwharf.migration.homes import Keeper
from fawnwharf.migration.in_use import OpenCall, Seen
from fawnwharf.migration.mover import ASKING, SETTLING, SWITCHING, Hand, Mover
from fawnwharf.migration.router import Router
from fawnwharf.migration.settings import Settings
from fawnwharf.migration.world import Bounds, Kinds, World, use
from fawnwharf.session_types import Placement, PredictedMove, PrefetchOrder, PrefetchRelease, Session
from fawnwharf.testbed.breadth_first import Found, search

RULES = Settings()
SESSION = Session("org", "row")
LOSABLE = (m.Ask, m.Switch, m.Receive)
ANSWERS = (m.Word, m.Given, m.Ready, m.Left)
KEEPERS = ("k0", "k1", "k2")
LATER_MS = 1e9
_FIELDS = tuple(f.name for f in fields(Hand))


def _placed(_: str) -> tuple[str, ...]:
    return KEEPERS


def _hashable(value: object) -> object:
    return tuple(sorted(value.items())) if isinstance(value, dict) else value


class Explorer:
    """Searches breadth first, so that what it finds broken comes with a shortest path."""

    def __init__(self, bounds: Bounds, sites: dict[str, str], kinds: Kinds | None = None) -> None:
        self.bounds, self.sites, self.kinds = bounds, sites, kinds or Kinds()
        self.names, self._mute = tuple(sites), False
        keepers = tuple(
            self._kept(self._keeper(n, (m.Record(), True, frozenset(), 1, None))) for n in KEEPERS
        )
        home = Placement(SESSION, "x", 0)
        fronts = tuple((1, None, self._seen_by(n), home, (), "", "", (), (), 0, True, ()) for n in self.names)
        self.start = World(keepers, fronts, standing=frozenset({"x"}))

    def search(self) -> Found:
        """Search all states within the bounds, or up to the first one that is broken."""
        return search(self.start, self._steps, self._fault, self.bounds.depth, self.bounds.states)

    def _fault(self, world: World) -> str:
        return world.broken or self._wrong(world)

    # --- out of and into states -------------------------------------------------------------------

    def _seen_by(self, _: str) -> tuple:
        return tuple((name, (site, True, 0.0)) for name, site in self.sites.items())

    def _keeper(self, name: str, frozen: tuple) -> Keeper:
        record, sure, missing, life, hearing = frozen
        keeper = self.kinds.keeper(name, KEEPERS, RULES, 0.0, life, fresh=sure)
        if record != m.Record():
            keeper.records[SESSION] = (record, 0.0)
        keeper._missing = set(missing)
        if hearing is not None:  # nobody may rest on its former words
            keeper._since_ms = -RULES.wait_ms * RULES.stretch - 1.0
            keeper._hearing = dict(hearing)
            keeper._wants = 1
        return keeper

    def _kept(self, keeper: Keeper) -> tuple:
        sure = keeper.sure(0.0)
        lapsed = not sure and keeper._since_ms < 0.0
        hearing = tuple(sorted(keeper._hearing.items())) if lapsed else None
        missing = frozenset() if sure else frozenset(keeper._missing)
        return keeper.record(SESSION), sure, missing, keeper.life, hearing

    def _front(self, name: str, frozen: tuple) -> tuple[Mover, Router]:
        life, hand, seen, home, under, asks, source, calls, staged, _, fresh, lives = frozen
        mover = self.kinds.mover(name, RULES, _placed, 0.0, life)
        mover.seen, mover.lives = dict(seen), dict(lives)
        if hand is not None:
            values = dict(zip(_FIELDS, hand, strict=True))
            values["words"], values["records"] = dict(values["words"]), dict(values["records"])
            mover.hands[SESSION] = Hand(**values)
        router = self.kinds.router(name, self.sites[name], RULES, _placed, 0.0, fresh, life)
        if home is not None:
            router.homes[SESSION] = Seen(home, 0.0, 0.0, dict(under) or None, asks, source)
            router._at(home, 1)
        router.calls = {call: OpenCall(SESSION, number, LATER_MS, True) for call, number in calls}
        if staged:
            router.staged["row"] = {(SESSION, turn): (LATER_MS, number) for turn, number in staged}
        return mover, router

    def _frozen(self, mover: Mover, router: Router, met: int) -> tuple:
        hand, seen = mover.hands.get(SESSION), router.homes.get(SESSION)
        if hand is not None:
            hand.step_ms = hand.round_ms = 0.0
            hand = tuple(_hashable(getattr(hand, name)) for name in _FIELDS)
        return (
            mover.life,
            hand,
            tuple((name, (site, heard, 0.0)) for name, (site, heard, _) in sorted(mover.seen.items())),
            seen.home if seen else None,
            _hashable(seen.under_way or {}) if seen else (),
            seen.asks if seen else "",
            seen.source if seen else "",
            tuple(sorted((name, call.number) for name, call in router.calls.items())),
            tuple(sorted((turn, number) for (_, turn), (_, number) in router.staged.get("row", {}).items())),
            max(met, seen.home.number if seen else 0),
            router._sure_ms <= 0.0,
            tuple(sorted(mover.lives.items())),
        )

    # --- steps ------------------------------------------------------------------------------------

    def _steps(self, world: World) -> Iterator[tuple[str, World]]:
        """All that may happen next, by a label each, and the states after it."""
        yield from self._arrivals(world)
        if world.wished < len(self.bounds.wishes):
            yield self._wish(world)
        for name, frozen in zip(self.names, world.fronts, strict=True):
            if frozen is not None:
                yield from self._of_front(world, name, frozen)
        for name, frozen in zip(self.names, world.fronts, strict=True):
            if frozen is None:
                yield f"{name} comes back", self._return(world, name)
        yield from self._of_keepers(world)

    def _arrivals(self, world: World) -> Iterator[tuple[str, World]]:
        repeats = world.used[4]
        for message in sorted(world.flying, key=repr):
            to, sender, what = message
            label = f"{sender} to {to}: {what!r}"
            gone = replace(world, flying=world.flying - {message})
            yield label, self._deliver(gone, to, sender, what)
            if repeats < self.bounds.repeats and self.bounds.at_once and isinstance(what, LOSABLE):
                self._mute = True
                after = self._deliver(use(gone, 4), to, sender, what)
                self._mute = False
                yield label + ", its answer is lost", after
            if repeats < self.bounds.repeats:
                yield label + ", to come again", self._deliver(use(world, 4), to, sender, what)

    def _wish(self, world: World) -> tuple[str, World]:
        name, destination, haste = self.bounds.wishes[world.wished]
        after = replace(world, wished=world.wished + 1)
        home = self._home_at(world, name)
        if home is None or home.site == destination:
            return f"{name} has nothing to wish", after
        move = PredictedMove(SESSION, home.site, destination, 0.0, 1.0, "")
        step = self._as_mover(lambda mv: mv.begin(0.0, move, home.number, 1, haste))
        return f"{name} begins {home.site} to {destination}", self._at(after, name, step)

    def _of_front(self, world: World, name: str, frozen: tuple) -> Iterator[tuple[str, World]]:
        patience, _, front_kills, calls, _ = world.used
        if patience < self.bounds.patience and frozen[1] is not None:
            step = self._as_mover(lambda mv: mv.tick(LATER_MS))
            yield f"{name} runs out of patience", self._at(use(world, 0), name, step)
        if calls < self.bounds.calls:
            yield f"{name} begins a call", self._call(use(world, 3), name, f"c{calls}")
        for call, _ in frozen[7]:
            yield f"{call} ends", self._at(world, name, lambda _mv, ro, c=call: ro.ended(0.0, c))
        if front_kills < self.bounds.front_kills:
            yield f"{name} is killed", self._kill(use(world, 2), name)
        if front_kills and frozen[1] is None and patience < self.bounds.patience:
            step = self._as_mover(lambda mv: mv.resume(0.0, "k0", m.Resume(SESSION)))
            yield f"{name} stands in", self._at(use(world, 0), name, step)

    def _of_keepers(self, world: World) -> Iterator[tuple[str, World]]:
        for place, name in enumerate(KEEPERS):
            _, sure, _, life, hearing = world.keepers[place]
            if world.used[1] < self.bounds.keeper_kills and sure:
                blank = (m.Record(), False, frozenset(KEEPERS) - {name}, life + 1, None)
                after = self._with_keeper(use(world, 1), place, self._kept(self._keeper(name, blank)))
                yield f"{name} is killed and starts anew", after
            if not sure and hearing is None:
                yield f"{name} asks its fellows", self._lapse(world, place, name)

    def _home_at(self, world: World, name: str) -> Placement | None:
        frozen = world.fronts[self.names.index(name)]
        return frozen[3] if frozen else None

    def _as_mover(self, step):
        return lambda mover, _router: step(mover)

    def _call(self, world: World, name: str, call: str) -> World:
        frozen = world.fronts[self.names.index(name)]
        met, knows = frozen[9], frozen[3] is not None

        def step(_mover: Mover, router: Router) -> list[m.Out]:
            found = router.begin(0.0, call, SESSION, LATER_MS)
            router.sent(call)
            return found

        after = self._at(world, name, step)
        begun = dict(after.fronts[self.names.index(name)][7])[call]
        if knows and begun < met:
            return replace(after, broken=f"{name} began a call by {begun} when it had met {met}")
        return after

    def _lapse(self, world: World, place: int, name: str) -> World:
        """The wait after a start: no round that was under way is rested on any more."""
        for front, frozen in zip(self.names, world.fronts, strict=True):
            if frozen is not None and frozen[1] is not None:
                step = frozen[1][_FIELDS.index("step")]
                if step in (ASKING, SWITCHING):
                    world = self._at(world, front, self._as_mover(lambda mv: mv.tick(LATER_MS)))
        keeper = self._keeper(name, (*world.keepers[place][:4], ()))
        keeper._wants = 0
        said = keeper.tick(0.0)
        return self._fly(self._with_keeper(world, place, self._kept(keeper)), name, said)

    def _kill(self, world: World, name: str) -> World:
        world = self._with_front(world, name, None)
        return self._all_hear(world)

    def _return(self, world: World, name: str) -> World:
        life = world.used[2] + 1
        fresh = (life, None, self._seen_by(name), None, (), "", "", (), (), 0, False, ())
        return self._all_hear(self._with_front(world, name, fresh))

    def _all_hear(self, world: World) -> World:
        up = {n: self.sites[n] for n, frozen in zip(self.names, world.fronts, strict=True) if frozen}
        lives = {n: world.fronts[self.names.index(n)][0] for n in up}
        for name in up:
            world = self._at(world, name, self._as_mover(lambda mv: mv.heard(0.0, up, self.sites, lives)))
        return world

    def _deliver(self, world: World, to: str, sender: str, what: m.Message) -> World:
        if to in KEEPERS:
            place = KEEPERS.index(to)
            keeper = self._keeper(to, world.keepers[place])
            before = keeper.record(SESSION)
            said = keeper.receive(0.0, sender, what)
            if isinstance(what, m.Want):
                said += keeper.tick(0.0)
            after = self._fly(self._with_keeper(world, place, self._kept(keeper)), to, said)
            if keeper.record(SESSION).number < before.number or "two homes under one number" in keeper.counts:
                return replace(after, broken=f"{to} went back, or has two homes under one number")
            return after

        def step(mover: Mover, router: Router) -> list[m.Out]:
            found = [*mover.receive(0.0, sender, what), *router.receive(0.0, sender, what)]
            if isinstance(what, m.Receive):
                found += router.stood(0.0, sender, what, True)
            return found

        met = what.home.number if isinstance(what, m.Told) else 0
        return self._at(world, to, step, met)

    def _at(self, world: World, name: str, step, met: int = 0) -> World:
        place = self.names.index(name)
        if world.fronts[place] is None:
            return world
        mover, router = self._front(name, world.fronts[place])
        before = router.home(SESSION)
        out = step(mover, router)
        frozen = self._frozen(mover, router, max(met, world.fronts[place][9]))
        after = self._fly(self._with_front(world, name, frozen), name, out)
        if before is not None and router.home(SESSION).number < before.number:
            after = replace(after, broken=f"home went back at {name}")
        return after

    def _fly(self, world: World, sender: str, out: list[m.Out]) -> World:
        decided, standing, broken = dict(world.decided), set(world.standing), world.broken
        said = [(to, sender, o.message) for o in out if isinstance(o, m.Say) for to in o.to]
        for effect in out:
            if isinstance(effect, m.Moved):
                home = effect.home
                site = home.site if decided.get(home.number, home.site) == home.site else "two"
                decided[home.number] = site
                if max(decided) > home.number and home.number not in dict(world.decided):
                    broken = f"{home.number} was decided after {max(decided)}"
            elif isinstance(effect, PrefetchOrder):
                standing.add(effect.site)
            elif isinstance(effect, PrefetchRelease):
                standing.discard(effect.site)
            elif isinstance(effect, m.Say) and isinstance(effect.message, m.Release):
                broken = broken or self._unsettled(world, effect.message.number)
        # Keepers take no turn while their word on letting go counts: that round is as if it took no time.
        at_once = (m.MayLetGo, m.Let, *(ANSWERS if self.bounds.at_once else ()))
        answers = [x for x in said if isinstance(x[2], at_once)]
        said = [x for x in said if x not in answers]
        flying: list | frozenset = world.flying | set(said)
        if len(flying) > self.bounds.flying:
            older = [*sorted(world.flying - set(said), key=repr), *said]
            # What was only told goes first: it is said again, and would drown what decides.
            older.sort(key=lambda x: not isinstance(x[2], m.Told | m.Drop))
            flying = older[-self.bounds.flying :]
        after = replace(
            world, decided=tuple(sorted(decided.items())), standing=frozenset(standing), broken=broken
        )
        after = replace(after, flying=frozenset(x for x in flying if self._matters(after, x)))
        if lets := {x for x in answers if isinstance(x[2], m.MayLetGo)}:
            return self._let(after, sender, lets)
        for to, by, what in () if self._mute else answers:
            after = self._deliver(after, to, by, what)
        return after

    def _let(self, world: World, name: str, lets: set[tuple[str, str, m.Message]]) -> World:
        """A front end's round with keepers, in one step."""
        words = []
        for to, _, what in sorted(lets, key=repr):
            keeper = self._keeper(to, world.keepers[KEEPERS.index(to)])
            words += [(to, say.message) for say in keeper.receive(0.0, name, what)]
            world = self._with_keeper(world, KEEPERS.index(to), self._kept(keeper))

        def step(_mover: Mover, router: Router) -> list[m.Out]:
            router._lets[SESSION] = (0.0, frozenset(), frozenset())
            return [o for by, word in words for o in router.receive(0.0, by, word)]

        return self._at(world, name, step)

    def _unsettled(self, world: World, number: int) -> str:
        for name, frozen in zip(self.names, world.fronts, strict=True):
            if frozen is None or frozen[3] is None:
                continue
            if frozen[3].number < number or any(n < number for n, _ in frozen[4]):
                return f"released {number} before {name} had left"
        return ""

    def _matters(self, world: World, flying: tuple[str, str, m.Message]) -> bool:
        """Words to a mover that has that in hand no more change nothing, and what is said to the dead."""
        to, _, what = flying
        if to in KEEPERS:
            return not isinstance(what, m.Piece) or world.keepers[KEEPERS.index(to)][4] is not None
        frozen = world.fronts[self.names.index(to)]
        if frozen is None:
            return False
        hand = frozen[1]
        if isinstance(what, m.Word | m.Given | m.Ready):
            return hand is not None and hand[_FIELDS.index("turn")] == what.turn
        return not isinstance(what, m.Left) or (hand is not None and hand[_FIELDS.index("step")] == SETTLING)

    def _with_keeper(self, world: World, place: int, frozen: tuple) -> World:
        return replace(world, keepers=(*world.keepers[:place], frozen, *world.keepers[place + 1 :]))

    def _with_front(self, world: World, name: str, frozen: tuple | None) -> World:
        place = self.names.index(name)
        return replace(world, fronts=(*world.fronts[:place], frozen, *world.fronts[place + 1 :]))

    # --- what must never be -----------------------------------------------------------------------

    def _wrong(self, world: World) -> str:
        decided = {0: "x", **dict(world.decided)}
        for number, site in decided.items():
            if site == "two":
                return f"two homes with the number {number}"
        if decided[max(decided)] not in world.standing:
            return f"the home by {max(decided)} does not stand"
        for name, frozen in zip(self.names, world.fronts, strict=True):
            home = frozen[3] if frozen else None
            if home is None or not home.number:
                continue
            if decided.get(home.number) != home.site:
                return f"{name} goes by {home.number} at {home.site}, which nobody decided"
            if home.site not in world.standing:
                return f"{name} goes by {home.number}, whose site does not stand"
        return ""
