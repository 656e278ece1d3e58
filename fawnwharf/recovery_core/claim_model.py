"""One state of a call's claim for the model checker: three replicas, two owners, clocks and power losses.

What a replica does at a start is decided by `trust`, as in a front end; `Rules` holds those functions so that
mutants can be tried. The call may run by two grants of one incarnation of an owner, none relied on for longer
than a turn; then no other may run it before `WINDOW` turns are over by true time.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from fawnwharf.recovery_core import trust as t

KEEPERS, OWNERS = (0, 1, 2), ("x", "y")
WINDOW, TURN_MS, SKEW = 2, 1_000.0, 0.1
# What a promise counts for, by the slowest clock: a grant may be rested on for a turn, and then the window.
WHOLE_MS = (WINDOW + 1) * TURN_MS * (1 + SKEW) / (1 - SKEW)
RATES = (1 + SKEW, 1 - SKEW, 1.0)  # of the keepers' monotonic clocks
BACK = ((-1e7, False), (1e7, False), (0.0, True))  # wall clocks come back so; the first disk is moved
UP_MS = 1e6  # a machine that is up for long, to which a disk may be moved


@dataclass(frozen=True, slots=True)
class Rules:
    """What a replica goes by at a start."""

    left_ms: Callable[[t.ClockReading, t.ClockReading, float], float] = t.remaining_ms
    knows_all: Callable[[t.StoreCondition], bool] = t.knows_all_grants
    writes_first: bool = True
    keeps_doubt: bool = True  # its disk says that it did not know all, until it does


Note = tuple[str, t.ClockReading, float]  # on disk: whose, when, for how long


@dataclass(frozen=True, slots=True)
class Keeper:
    """A replica's machine, by what its clocks read."""

    boot: int = 0
    start_ms: float = 5.0  # of its machine's monotonic clock, as this boot was first seen
    from_turn: int = 0
    wall_ms: float = 0.0
    disk: Note | None = None
    given: tuple[str, float] | None = None  # to whom, over when
    dumb_until: float = 0.0  # till then it does not know all that it granted, and its disk says so

    def clock(self, place: int, turn: int) -> t.ClockReading:
        """The reading of its clocks at a turn."""
        mono = self.start_ms + RATES[place] * (turn - self.from_turn) * TURN_MS
        return t.ClockReading(str(self.boot), mono, self.wall_ms + mono)


@dataclass(frozen=True, slots=True)
class Promises:
    """One frozen state."""

    keepers: tuple[Keeper, ...]
    grants: frozenset[tuple[str, int, int]] = frozenset()  # owner, keeper, turn
    runs: tuple[int, ...] = ()  # turns
    turn: int = 0
    turns: int = 4
    cuts: int = 1
    lost: int = 0  # disks that come back with nothing, and are told to be in part
    broken: str = field(default="", compare=False)

    @classmethod
    def start(cls, **bounds: int) -> "Promises":
        """The first state of a search with these bounds."""
        return cls(tuple(Keeper() for _ in KEEPERS), **bounds)

    def steps(self, rules: Rules) -> Iterator[tuple[str, "Promises"]]:
        """All that may happen next, by a label each, and the states after it."""
        if self.turn < self.turns:
            fresh = frozenset(
                g for g in self.grants if g[2] >= self.turn
            )  # a turn later it is rested on last
            yield "a turn", replace(self, turn=self.turn + 1, grants=fresh)
        known = {who for who, _, _ in self.grants} | {k.disk[0] for k in self.keepers if k.disk}
        for owner in OWNERS if known else OWNERS[:1]:  # they are alike until one of them was granted it
            mine = {place for who, place, _ in self.grants if who == owner}
            if len(mine) >= 2:
                yield f"{owner} runs it", self._run(owner)
            for place in set(KEEPERS) - mine:
                keeper = self.keepers[place]
                if not self._free(place):
                    continue
                label = f"{owner} is granted it by {place}"
                clock = keeper.clock(place, self.turn)
                note = owner, clock, WHOLE_MS
                after = replace(keeper, disk=note, given=(owner, clock.mono_ms + WHOLE_MS))
                said = self.grants | {(owner, place, self.turn)}
                yield label, replace(self, keepers=_with(self.keepers, place, after), grants=said)
                if self.cuts and not rules.writes_first:  # it was said and rested on, and not written
                    yield from self._cuts(rules, self._run(owner) if len(mine) else self, label)
        if self.cuts and known:
            yield from self._cuts(rules, self, "")
        for place in KEEPERS:
            keeper = self._reborn(rules, place, self.keepers[place], t.StoreCondition.INTACT)
            if keeper != self.keepers[place]:
                yield f"{place} is restarted", replace(self, keepers=_with(self.keepers, place, keeper))

    def _free(self, place: int) -> bool:
        keeper = self.keepers[place]
        now = keeper.clock(place, self.turn).mono_ms
        return now >= keeper.dumb_until and (keeper.given is None or now >= keeper.given[1])

    def _run(self, owner: str) -> "Promises":
        mine = frozenset(g for g in self.grants if g[0] != owner)
        early = [at for at in self.runs if self.turn - at < WINDOW]
        broken = f"it runs at turn {self.turn}, and ran at {early[0]}" if early else ""
        return replace(self, grants=mine, runs=(*self.runs, self.turn)[-2:], broken=broken)

    def _cuts(self, rules: Rules, world: "Promises", label: str) -> Iterator[tuple[str, "Promises"]]:
        """Power losses everywhere.

        Wall clocks come back with anything; the first replica's disk may come back on a machine that is up
        for long, the last one's with nothing.
        """
        for wall, moved in BACK:
            for lost in range(world.lost + 1):
                born = [self._booted(rules, world, k, wall, moved, bool(lost)) for k in KEEPERS]
                how = f"{label} power is lost; walls {wall:+.0f}{', 0 moved' * moved}{', 2 empty' * lost}"
                after = replace(world, keepers=tuple(born), grants=frozenset(), cuts=world.cuts - 1)
                yield how.strip(), replace(after, lost=world.lost - lost)

    def _booted(
        self, rules: Rules, world: "Promises", place: int, wall_ms: float, moved: bool, lost: bool
    ) -> Keeper:
        keeper, empty = world.keepers[place], lost and place == KEEPERS[-1]
        unsure = rules.keeps_doubt and keeper.clock(place, world.turn).mono_ms < keeper.dumb_until
        keeper = Keeper(
            boot=keeper.boot + 1,
            start_ms=UP_MS if moved and place == 0 else 5.0,
            from_turn=world.turn,
            wall_ms=wall_ms,
            disk=None if empty else keeper.disk,
        )
        return self._reborn(
            rules, place, keeper, t.StoreCondition.PARTIAL if empty or unsure else t.StoreCondition.INTACT
        )

    def _reborn(self, rules: Rules, place: int, keeper: Keeper, store: t.StoreCondition) -> Keeper:
        read, given = keeper.clock(place, self.turn), None
        if keeper.disk is not None:
            owner, written, whole_ms = keeper.disk
            left = rules.left_ms(written, read, whole_ms)
            age = t.StateAge.FRESH if left > 0 else t.StateAge.EXPIRED
            found = t.StoredState(t.StateKind.GRANT, age, False, t.same_boot(written, read), store=store)
            if t.trust_level(found) is t.TrustLevel.NOW:
                given = owner, read.mono_ms + left
        if rules.knows_all(store):
            return replace(keeper, given=given)
        return replace(keeper, given=given, dumb_until=read.mono_ms + WHOLE_MS)


def _with(keepers: tuple[Keeper, ...], place: int, keeper: Keeper) -> tuple[Keeper, ...]:
    return (*keepers[:place], keeper, *keepers[place + 1 :])
