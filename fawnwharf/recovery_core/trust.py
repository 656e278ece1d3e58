"""What a starting front end may believe of what it finds on its disk: one table, one pure function.

Two rules stand above the table. Nothing gets more trust by being older, by a writer that was killed, by
another boot or by a store that is not intact. And no clock makes a promise shorter: it is counted by the
monotonic clock within one boot, and anew and in full from its reading in any other one. A wall clock says how
old a hint may be, and decides nothing that is relied on.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, IntEnum


class StateKind(Enum):
    """What outlives a front end on its disk, or might."""

    TERM = "term and vote"
    PLAN = "plan"
    POLICY = "policy register"
    GRANT = "promise on a call that may have run"
    ROSTER = "roster"
    USAGE = "use by window"
    COPIES = "where copies stood"
    LOADS = "load counts"
    PLACEMENTS = "homes of sessions"


class TrustLevel(IntEnum):
    """For what a piece of state may be used."""

    GONE = 0  # thrown away
    HINT = 1  # where to look and what to expect first; nothing rests on it
    MAJORITY = 2  # once a majority confirms it, and a hint until then
    NOW = 3  # at once


class StateAge(IntEnum):
    """How old a piece of state is."""

    FRESH = 0  # younger than `Span.fresh_ms`
    STALE = 1  # younger than `Span.life_ms`
    EXPIRED = 2


class MajorityAnswer(Enum):
    """What a majority says: of the voters on a plan, of a call's replicas on a promise."""

    NO_ANSWER = "no majority answered"
    CONFIRMED = "this is the last one"
    LATER = "there is a later one"
    CONFLICTING = (
        "it is not as this disk says"  # another content under one number; a write it does not know of
    )


class StoreCondition(Enum):
    """Whether the store is intact."""

    INTACT = "whole"  # all that was ever told is there: synced, checked, by its number the newest known
    PARTIAL = (
        "in part"  # damaged in the middle, an older copy, not synced before another boot, not of this disk
    )


@dataclass(frozen=True, slots=True)
class ClockReading:
    """One reading; `boot` marks a boot of the machine, and is empty where the system does not tell."""

    boot: str
    mono_ms: float  # of the monotonic clock, which goes on from process to process within a boot
    wall_ms: float  # anything: hours off, stepping


@dataclass(frozen=True, slots=True)
class AgeLimits:
    """The ages of one kind, in milliseconds."""

    fresh_ms: float
    life_ms: float


@dataclass(frozen=True, slots=True)
class StoredState:
    """One piece of state as it is found."""

    kind: StateKind
    age: StateAge
    in_order: bool  # its writer said so at its end
    same_boot: bool
    others: MajorityAnswer = MajorityAnswer.NO_ANSWER
    store: StoreCondition = StoreCondition.INTACT


_LETTERS = {"G": TrustLevel.GONE, "H": TrustLevel.HINT, "M": TrustLevel.MAJORITY, "N": TrustLevel.NOW}

# Three letters each: fresh, within its life, old. A promise is old once its window is over (`left_ms`).
#                    same boot          another boot
#                in order  killed   in order  killed
TRUST_TABLE: Mapping[StateKind, tuple[str, str, str, str]] = {
    StateKind.TERM: ("NNN", "NNN", "NNN", "NNN"),
    StateKind.PLAN: (
        "NMM",
        "NMM",
        "MMM",
        "MMM",
    ),  # decided it is for good; whether it is the last, others know
    StateKind.POLICY: ("MMM", "MMM", "MMM", "MMM"),  # nobody acts by one without a lease of this life
    StateKind.GRANT: ("NNG", "NNG", "NNG", "NNG"),
    StateKind.ROSTER: (
        "NHG",
        "NHG",
        "HHG",
        "HHG",
    ),  # scorers come back with new ids, the log with new numbers
    StateKind.USAGE: ("NHG", "HHG", "HHG", "HHG"),  # what was wanted most before is what will be wanted first
    StateKind.COPIES: ("HHG", "HGG", "GGG", "GGG"),  # scorers are empty
    StateKind.LOADS: ("HGG", "GGG", "GGG", "GGG"),
    StateKind.PLACEMENTS: ("NMH", "NMH", "MMH", "MMH"),  # a number is never given twice, however old
}

# What is left of each kind where the store is not whole. What stands there was said; what is missing may
# have been said as well, so nothing that rests on 'and nothing else' is left: no vote, no number.
PARTIAL_STORE_TRUST: Mapping[StateKind, TrustLevel] = {
    StateKind.TERM: TrustLevel.HINT,  # the least term there was; the disk votes no more under this identity
    StateKind.PLAN: TrustLevel.MAJORITY,
    StateKind.POLICY: TrustLevel.MAJORITY,
    StateKind.GRANT: TrustLevel.NOW,
    StateKind.ROSTER: TrustLevel.HINT,
    StateKind.USAGE: TrustLevel.HINT,
    StateKind.COPIES: TrustLevel.GONE,
    StateKind.LOADS: TrustLevel.GONE,
    StateKind.PLACEMENTS: TrustLevel.HINT,
}

# A majority's word that there is a later one, or that it is not so. What is not named is gone then.
_LATER = {
    StateKind.TERM: TrustLevel.NOW,
    StateKind.GRANT: TrustLevel.NOW,
}  # a later term takes its place by the voters' rules
_OTHER = {
    StateKind.TERM: TrustLevel.HINT,
    StateKind.GRANT: TrustLevel.NOW,
}  # of two words on a call the stricter stands


def trust_level(found: StoredState) -> TrustLevel:
    """The table: total over all that can be found."""
    column = (0 if found.same_boot else 2) + (0 if found.in_order else 1)
    held = _LETTERS[TRUST_TABLE[found.kind][column][found.age]]
    if found.store is StoreCondition.PARTIAL:
        held = min(held, PARTIAL_STORE_TRUST[found.kind])
    if found.others is MajorityAnswer.LATER:
        return min(held, _LATER.get(found.kind, TrustLevel.GONE))
    if found.others is MajorityAnswer.CONFLICTING:
        return min(held, _OTHER.get(found.kind, TrustLevel.GONE))
    if found.others is MajorityAnswer.CONFIRMED and held is TrustLevel.MAJORITY:
        return TrustLevel.NOW
    return held


def may_vote(term: TrustLevel) -> bool:
    """Whether this disk's voter may go on under its identity; else it comes back as a new one."""
    return term is TrustLevel.NOW


def knows_all_grants(store: StoreCondition) -> bool:
    """Whether a replica knows all that it ever promised, and may grant at once.

    One that does not hears every other replica that does, or waits until all that it may have granted is
    over.
    """
    return store is StoreCondition.INTACT


# --- clocks and boots -----------------------------------------------------------------------


def same_boot(written: ClockReading, read: ClockReading) -> bool:
    """Whether only the process restarted; a reading from the future of a clock is another clock's."""
    return bool(written.boot) and written.boot == read.boot and written.mono_ms <= read.mono_ms


def remaining_ms(written: ClockReading, read: ClockReading, whole_ms: float) -> float:
    """For how long a promise still counts from `read`, at the least; 0 where it is over.

    `whole_ms` is what it counted for when it was written, by the slowest clock. In another boot it begins
    anew. Rejected: to subtract the time since this boot, as a disk may be moved to a machine that is up for
    long.
    """
    gone_ms = read.mono_ms - written.mono_ms if same_boot(written, read) else 0.0
    return max(0.0, whole_ms - gone_ms)


def age_of(kind: StateKind, written: ClockReading, read: ClockReading, span: AgeLimits) -> StateAge:
    """The age of a piece of state.

    By the monotonic clock within a boot. In another one by the wall clocks, where that is no promise; a clock
    that went back makes it fresh, and nothing that is fresh in another boot is more than a hint until others
    confirm it.
    """
    if kind is StateKind.GRANT:
        return StateAge.FRESH if remaining_ms(written, read, span.life_ms) > 0 else StateAge.EXPIRED
    if same_boot(written, read):
        age_ms = read.mono_ms - written.mono_ms
    else:
        age_ms = max(0.0, read.wall_ms - written.wall_ms)
    return (
        StateAge.FRESH
        if age_ms < span.fresh_ms
        else StateAge.STALE
        if age_ms < span.life_ms
        else StateAge.EXPIRED
    )


@dataclass(frozen=True, slots=True)
class AgeSettings:
    """The ages by kind, from the current settings; milliseconds."""

    valid_ms: float = 2_000.0  # zones: a leader's word that a plan is the last one
    window_ms: float = 13_500.0  # state: a call's time and window, by the slowest clock
    fresh_ms: float = 1_000.0  # counts and beliefs
    idle_life_ms: float = 10_000.0  # of a copy
    roster_ms: float = 600_000.0
    use_ms: float = 3_600_000.0
    still_ms: float = 30_000.0  # sessions

    def of(self, kind: StateKind) -> AgeLimits:
        """The ages of a kind."""
        return {
            StateKind.TERM: AgeLimits(0.0, 0.0),
            StateKind.PLAN: AgeLimits(self.valid_ms, self.valid_ms),
            StateKind.POLICY: AgeLimits(0.0, 0.0),
            StateKind.GRANT: AgeLimits(self.window_ms, self.window_ms),
            StateKind.ROSTER: AgeLimits(self.fresh_ms, self.roster_ms),
            StateKind.USAGE: AgeLimits(self.fresh_ms, self.use_ms),
            StateKind.COPIES: AgeLimits(self.fresh_ms, self.idle_life_ms),
            StateKind.LOADS: AgeLimits(self.fresh_ms, self.fresh_ms),
            StateKind.PLACEMENTS: AgeLimits(self.valid_ms, self.still_ms),
        }[kind]


class RestartScope(Enum):
    """What has ended with this front end's last incarnation."""

    PROCESS = "the process alone"
    MACHINE = "the machine, and most of the others go on"
    FLEET = "the fleet: a majority of the voters is in another boot"
    UNKNOWN = "no majority of the voters was heard"


def restart_scope(
    mine_same: bool, voters: tuple[str, ...], boots: Mapping[str, str], now: Mapping[str, str]
) -> RestartScope:
    """What a restart is part of.

    `boots` are the marks of voters' boots as decided last, `now` those heard since this start, by voter.
    Voters that are not heard are in neither half.
    """
    most = len(voters) // 2 + 1
    changed = sum(name in now and now[name] != boots.get(name, now[name]) for name in voters)
    if changed >= most:
        return RestartScope.FLEET
    if sum(name in now for name in voters) < most:
        return RestartScope.PROCESS if mine_same else RestartScope.UNKNOWN
    return RestartScope.PROCESS if mine_same else RestartScope.MACHINE
