"""One state of a call's claim for the model checker: three replicas, two owners, clocks and power losses.

What a replica does at a start is decided by `trust`, as in a front end; `Rules` holds those functions so that
mutants can be tried. The call may run by two grants to one incarnation of an owner, none used for longer than
a tick; then no other owner may run it before `WINDOW` ticks are over by true time.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from fawnwharf.recovery_core import trust

REPLICAS = (0, 1, 2)
OWNERS = ("x", "y")
QUORUM = 2
WINDOW = 2  # ticks
TICK_MS = 1_000.0
SKEW = 0.1
# The duration of a grant, by the slowest clock: it may be used for a tick, and then the window follows.
GRANT_MS = (WINDOW + 1) * TICK_MS * (1 + SKEW) / (1 - SKEW)
CLOCK_RATES = (1 + SKEW, 1 - SKEW, 1.0)  # of the replicas' monotonic clocks
# What wall clocks read after a power loss; whether the first disk is moved to another machine.
RETURNS = ((-1e7, False), (1e7, False), (0.0, True))
BOOT_MS = 5.0  # reading of the monotonic clock when a boot is first seen
LONG_UP_MS = 1e6  # the same on a machine that has been up for long, to which a disk may be moved


@dataclass(frozen=True, slots=True)
class Rules:
    """What a replica does at a start; a mutant replaces one of these."""

    remaining_ms: Callable[[trust.ClockReading, trust.ClockReading, float], float] = trust.remaining_ms
    knows_all_grants: Callable[[trust.StoreCondition], bool] = trust.knows_all_grants
    writes_before_granting: bool = True
    stores_doubt: bool = True  # its disk says that it did not know all grants, until it does


class StoredGrant(NamedTuple):
    """A grant on disk."""

    owner: str
    written: trust.ClockReading
    duration_ms: float


class Grant(NamedTuple):
    """A grant that an owner has received."""

    owner: str
    replica: int
    tick: int


@dataclass(frozen=True, slots=True)
class Replica:
    """A replica's machine, by what its clocks read."""

    boot: int = 0
    start_ms: float = BOOT_MS  # of its machine's monotonic clock, as this boot was first seen
    start_tick: int = 0
    wall_ms: float = 0.0
    disk: StoredGrant | None = None
    granted: tuple[str, float] | None = None  # the owner, and until when by its clock
    doubt_until_ms: float = 0.0  # until then it does not know all that it granted, and its disk says so

    def clock(self, place: int, tick: int) -> trust.ClockReading:
        """The reading of its clocks at a tick."""
        mono_ms = self.start_ms + CLOCK_RATES[place] * (tick - self.start_tick) * TICK_MS
        return trust.ClockReading(str(self.boot), mono_ms, self.wall_ms + mono_ms)

    def can_grant(self, now_ms: float) -> bool:
        """Whether it may grant the claim to another owner."""
        if now_ms < self.doubt_until_ms:
            return False
        return self.granted is None or now_ms >= self.granted[1]


@dataclass(frozen=True, slots=True)
class ClaimState:
    """One state of the model; frozen, so that equal states are found."""

    replicas: tuple[Replica, ...]
    grants: frozenset[Grant] = frozenset()
    runs: tuple[int, ...] = ()  # the ticks of the last runs
    tick: int = 0
    ticks: int = 4  # that may pass on one path
    power_losses: int = 1  # that may still happen
    lost_disks: int = 0  # that may still come back empty, and are known to be partial
    broken: str = field(default="", compare=False)

    @classmethod
    def start(cls, **bounds: int) -> "ClaimState":
        """The first state of a search with these bounds: `ticks`, `power_losses`, `lost_disks`."""
        return cls(tuple(Replica() for _ in REPLICAS), **bounds)

    def steps(self, rules: Rules) -> Iterator[tuple[str, "ClaimState"]]:
        """Everything that may happen next: a label each, and the state after it."""
        if self.tick < self.ticks:
            yield "a turn", self._after_tick()
        known = {grant.owner for grant in self.grants}
        known |= {replica.disk.owner for replica in self.replicas if replica.disk}
        for owner in OWNERS if known else OWNERS[:1]:  # they are alike until one of them was granted it
            yield from self._owner_steps(rules, owner)
        if self.power_losses and known:
            yield from self._power_loss_steps(rules, "")
        for place in REPLICAS:
            replica = self._restarted(rules, place, self.replicas[place], trust.StoreCondition.INTACT)
            if replica != self.replicas[place]:
                yield f"{place} is restarted", self._with_replica(place, replica)

    def _after_tick(self) -> "ClaimState":
        usable = frozenset(grant for grant in self.grants if grant.tick >= self.tick)
        return replace(self, tick=self.tick + 1, grants=usable)

    def _owner_steps(self, rules: Rules, owner: str) -> Iterator[tuple[str, "ClaimState"]]:
        """An owner runs the call, or a further replica grants it."""
        granting = {grant.replica for grant in self.grants if grant.owner == owner}
        if len(granting) >= QUORUM:
            yield f"{owner} runs it", self._run(owner)
        for place in set(REPLICAS) - granting:
            replica = self.replicas[place]
            clock = replica.clock(place, self.tick)
            if not replica.can_grant(clock.mono_ms):
                continue
            label = f"{owner} is granted it by {place}"
            stored = StoredGrant(owner, clock, GRANT_MS)
            after = replace(replica, disk=stored, granted=(owner, clock.mono_ms + GRANT_MS))
            grants = self.grants | {Grant(owner, place, self.tick)}
            yield label, replace(self._with_replica(place, after), grants=grants)
            if self.power_losses and not rules.writes_before_granting:
                # It was granted and used, and not written.
                used = self._run(owner) if granting else self
                yield from used._power_loss_steps(rules, label)

    def _run(self, owner: str) -> "ClaimState":
        others = frozenset(grant for grant in self.grants if grant.owner != owner)
        early = [tick for tick in self.runs if self.tick - tick < WINDOW]
        broken = f"it runs at turn {self.tick}, and ran at {early[0]}" if early else ""
        return replace(self, grants=others, runs=(*self.runs, self.tick)[-2:], broken=broken)

    def _power_loss_steps(self, rules: Rules, label: str) -> Iterator[tuple[str, "ClaimState"]]:
        """Power losses of all machines.

        Wall clocks come back with anything; the first replica's disk may come back on a machine that has been
        up for long, the last one's empty.
        """
        for wall_ms, moved in RETURNS:
            for lost in range(self.lost_disks + 1):
                how = f"{label} power is lost; walls {wall_ms:+.0f}{', 0 moved' * moved}{', 2 empty' * lost}"
                after = replace(
                    self,
                    replicas=tuple(
                        self._booted(rules, place, wall_ms, moved=moved, lost=bool(lost))
                        for place in REPLICAS
                    ),
                    grants=frozenset(),
                    power_losses=self.power_losses - 1,
                    lost_disks=self.lost_disks - lost,
                )
                yield how.strip(), after

    def _booted(self, rules: Rules, place: int, wall_ms: float, *, moved: bool, lost: bool) -> Replica:
        before = self.replicas[place]
        is_empty = lost and place == REPLICAS[-1]
        in_doubt = before.clock(place, self.tick).mono_ms < before.doubt_until_ms
        is_partial = is_empty or (rules.stores_doubt and in_doubt)
        replica = Replica(
            boot=before.boot + 1,
            start_ms=LONG_UP_MS if moved and place == 0 else BOOT_MS,
            start_tick=self.tick,
            wall_ms=wall_ms,
            disk=None if is_empty else before.disk,
        )
        store = trust.StoreCondition.PARTIAL if is_partial else trust.StoreCondition.INTACT
        return self._restarted(rules, place, replica, store)

    def _restarted(self, rules: Rules, place: int, replica: Replica, store: trust.StoreCondition) -> Replica:
        """A replica after a restart of its process, by what its disk says."""
        read = replica.clock(place, self.tick)
        granted = None
        if replica.disk is not None:
            owner, written, duration_ms = replica.disk
            remaining_ms = rules.remaining_ms(written, read, duration_ms)
            age = trust.StateAge.FRESH if remaining_ms > 0 else trust.StateAge.EXPIRED
            same_boot = trust.same_boot(written, read)
            found = trust.StoredState(trust.StateKind.GRANT, age, False, same_boot, store=store)
            if trust.trust_level(found) is trust.TrustLevel.NOW:
                granted = owner, read.mono_ms + remaining_ms
        if rules.knows_all_grants(store):
            return replace(replica, granted=granted)
        return replace(replica, granted=granted, doubt_until_ms=read.mono_ms + GRANT_MS)

    def _with_replica(self, place: int, replica: Replica) -> "ClaimState":
        replicas = (*self.replicas[:place], replica, *self.replicas[place + 1 :])
        return replace(self, replicas=replicas)
