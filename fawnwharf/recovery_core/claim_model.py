"""One state of a call's claim for the model checker: three replicas, two owners, clocks and power losses.

As in a front end, `trust` decides what a replica does when it starts. `Rules` holds these functions, so a
mutant can replace one of them. An owner may run the call with two grants from different replicas to one
incarnation of that owner, and may use a grant for one tick. After a run, the call must not run again before
`WINDOW_TICKS` ticks of true time have passed.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from fawnwharf.recovery_core import trust

REPLICAS = (0, 1, 2)
OWNERS = ("x", "y")
QUORUM = 2
WINDOW_TICKS = 2  # ticks
TICK_MS = 1_000.0
CLOCK_SKEW = 0.1
# Duration of a grant as measured by the slowest clock: one tick in which it may be used, then the window.
GRANT_MS = (WINDOW_TICKS + 1) * TICK_MS * (1 + CLOCK_SKEW) / (1 - CLOCK_SKEW)
CLOCK_RATES = (1 + CLOCK_SKEW, 1 - CLOCK_SKEW, 1.0)  # of the replicas' monotonic clocks
# Pairs: the wall clocks' offset in ms after a power loss, and whether the first disk is moved to another
# machine.
POWER_LOSS_OUTCOMES = ((-1e7, False), (1e7, False), (0.0, True))
BOOT_MS = 5.0  # monotonic clock of a machine when its replica first starts after a boot
LONG_UPTIME_MS = 1e6  # the same for a moved disk, on a machine that has been up for a long time


@dataclass(frozen=True, slots=True)
class Rules:
    """What a replica does when it starts; a mutant replaces one of these rules."""

    remaining_ms: Callable[[trust.ClockReading, trust.ClockReading, float], float] = trust.remaining_ms
    knows_all_grants: Callable[[trust.StoreCondition], bool] = trust.knows_all_grants
    writes_before_granting: bool = True
    # Whether a replica that does not know all its grants records this on its disk until it knows them again.
    stores_unknown_grants: bool = True


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
    """A replica and its machine; times are readings of its own clocks."""

    boot: int = 0  # number of boots of the machine
    start_ms: float = BOOT_MS  # monotonic clock when the replica first started in this boot
    start_tick: int = 0  # tick of that start
    wall_ms: float = 0.0  # wall clock minus monotonic clock
    disk: StoredGrant | None = None
    granted: tuple[str, float] | None = None  # the owner, and the monotonic time at which the grant ends
    # Until this monotonic time the replica does not know all its grants, and its disk says so.
    grants_unknown_until_ms: float = 0.0

    def clock(self, replica_id: int, tick: int) -> trust.ClockReading:
        """The readings of its clocks at a tick."""
        mono_ms = self.start_ms + CLOCK_RATES[replica_id] * (tick - self.start_tick) * TICK_MS
        return trust.ClockReading(str(self.boot), mono_ms, self.wall_ms + mono_ms)

    def can_grant(self, now_ms: float) -> bool:
        """Whether it may grant the claim now."""
        if now_ms < self.grants_unknown_until_ms:
            return False
        return self.granted is None or now_ms >= self.granted[1]


@dataclass(frozen=True, slots=True)
class ClaimState:
    """One state of the model; frozen and hashable, so the search recognizes states it has seen."""

    replicas: tuple[Replica, ...]
    grants: frozenset[Grant] = frozenset()
    run_ticks: tuple[int, ...] = ()  # ticks of the last two runs
    tick: int = 0
    ticks: int = 4  # maximum number of ticks on one path
    power_losses: int = 1  # power losses that may still happen
    lost_disks: int = 0  # disks that may still come back empty; the replica then knows its store is partial
    broken: str = field(default="", compare=False)  # the invariant violation; empty if there is none

    @classmethod
    def start(cls, **bounds: int) -> "ClaimState":
        """The initial state of a search with the bounds `ticks`, `power_losses` and `lost_disks`."""
        return cls(tuple(Replica() for _ in REPLICAS), **bounds)

    def steps(self, rules: Rules) -> Iterator[tuple[str, "ClaimState"]]:
        """All possible next steps: the label of each step and the state after it."""
        if self.tick < self.ticks:
            yield "a tick passes", self._after_tick()
        owners_seen = {grant.owner for grant in self.grants}
        owners_seen |= {replica.disk.owner for replica in self.replicas if replica.disk}
        for owner in OWNERS if owners_seen else OWNERS[:1]:  # they are symmetric until one has a grant
            yield from self._owner_steps(rules, owner)
        if self.power_losses and owners_seen:
            yield from self._power_loss_steps(rules, "")
        for replica_id in REPLICAS:
            replica = self._restart_replica(
                rules, replica_id, self.replicas[replica_id], trust.StoreCondition.INTACT
            )
            if replica != self.replicas[replica_id]:
                yield f"replica {replica_id} restarts", self._with_replica(replica_id, replica)

    def _after_tick(self) -> "ClaimState":
        usable = frozenset(grant for grant in self.grants if grant.tick >= self.tick)
        return replace(self, tick=self.tick + 1, grants=usable)

    def _owner_steps(self, rules: Rules, owner: str) -> Iterator[tuple[str, "ClaimState"]]:
        """The owner runs the call, or another replica grants it the call."""
        granting = {grant.replica for grant in self.grants if grant.owner == owner}
        if len(granting) >= QUORUM:
            yield f"owner {owner} runs the call", self._run(owner)
        for replica_id in set(REPLICAS) - granting:
            replica = self.replicas[replica_id]
            clock = replica.clock(replica_id, self.tick)
            if not replica.can_grant(clock.mono_ms):
                continue
            label = f"replica {replica_id} grants the call to owner {owner}"
            stored = StoredGrant(owner, clock, GRANT_MS)
            after = replace(replica, disk=stored, granted=(owner, clock.mono_ms + GRANT_MS))
            grants = self.grants | {Grant(owner, replica_id, self.tick)}
            yield label, replace(self._with_replica(replica_id, after), grants=grants)
            if self.power_losses and not rules.writes_before_granting:
                # The grant was sent and possibly used before it was written to disk.
                used = self._run(owner) if granting else self
                yield from used._power_loss_steps(rules, label)

    def _run(self, owner: str) -> "ClaimState":
        others = frozenset(grant for grant in self.grants if grant.owner != owner)
        earlier_runs = [tick for tick in self.run_ticks if self.tick - tick < WINDOW_TICKS]
        broken = f"the call ran at tick {earlier_runs[0]} and at tick {self.tick}" if earlier_runs else ""
        return replace(self, grants=others, run_ticks=(*self.run_ticks, self.tick)[-2:], broken=broken)

    def _power_loss_steps(self, rules: Rules, label: str) -> Iterator[tuple[str, "ClaimState"]]:
        """Power losses of all machines.

        Afterwards wall clocks may show any time. The first replica's disk may be moved to a machine that has
        been up for a long time, and the last replica's disk may be empty.
        """
        for wall_ms, moved in POWER_LOSS_OUTCOMES:
            for lost_disk in range(self.lost_disks + 1):
                details = f"{', disk 0 moved' * moved}{', disk 2 empty' * lost_disk}"
                full_label = f"{label} power is lost; wall clocks {wall_ms:+.0f} ms{details}"
                after = replace(
                    self,
                    replicas=tuple(
                        self._boot_replica(rules, replica_id, wall_ms, moved=moved, lost_disk=bool(lost_disk))
                        for replica_id in REPLICAS
                    ),
                    grants=frozenset(),
                    power_losses=self.power_losses - 1,
                    lost_disks=self.lost_disks - lost_disk,
                )
                yield full_label.strip(), after

    def _boot_replica(
        self, rules: Rules, replica_id: int, wall_ms: float, *, moved: bool, lost_disk: bool
    ) -> Replica:
        before = self.replicas[replica_id]
        is_empty = lost_disk and replica_id == REPLICAS[-1]
        has_unknown_grants = before.clock(replica_id, self.tick).mono_ms < before.grants_unknown_until_ms
        is_partial = is_empty or (rules.stores_unknown_grants and has_unknown_grants)
        replica = Replica(
            boot=before.boot + 1,
            start_ms=LONG_UPTIME_MS if moved and replica_id == 0 else BOOT_MS,
            start_tick=self.tick,
            wall_ms=wall_ms,
            disk=None if is_empty else before.disk,
        )
        store = trust.StoreCondition.PARTIAL if is_partial else trust.StoreCondition.INTACT
        return self._restart_replica(rules, replica_id, replica, store)

    def _restart_replica(
        self, rules: Rules, replica_id: int, replica: Replica, store: trust.StoreCondition
    ) -> Replica:
        """The replica after a restart of its process, with the state that it restores from its disk."""
        read = replica.clock(replica_id, self.tick)
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
        return replace(replica, granted=granted, grants_unknown_until_ms=read.mono_ms + GRANT_MS)

    def _with_replica(self, replica_id: int, replica: Replica) -> "ClaimState":
        replicas = (*self.replicas[:replica_id], replica, *self.replicas[replica_id + 1 :])
        return replace(self, replicas=replicas)
