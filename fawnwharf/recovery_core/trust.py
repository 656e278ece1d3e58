"""What a starting front end may believe of what it finds on its disk: one table, one pure function.

Two rules stand above the table. Nothing gets more trust by being older, by a writer that was killed, by
another boot or by a store that is not intact. And no clock makes a promise shorter: it is counted by the
monotonic clock within one boot, and anew and in full from its reading in any other one. A wall clock says how
old a hint may be, and decides nothing that is relied on.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, IntEnum


class Kind(Enum):
    """What outlives a front end on its disk, or might."""

    TERM = "term and vote"
    PLAN = "plan"
    POLICY = "policy register"
    PROMISE = "promise on a call that may have run"
    ROSTER = "roster"
    USE = "use by window"
    COPIES = "where copies stood"
    LOADS = "load counts"
    HOMES = "homes of sessions"


class Trust(IntEnum):
    """For what a piece of state may be used."""

    GONE = 0  # thrown away
    HINT = 1  # where to look and what to expect first; nothing rests on it
    MAJORITY = 2  # once a majority confirms it, and a hint until then
    NOW = 3  # at once


class Age(IntEnum):
    """How old a piece of state is."""

    FRESH = 0  # younger than `Span.fresh_ms`
    LIFE = 1  # younger than `Span.life_ms`
    OLD = 2


class Others(Enum):
    """What a majority says: of the voters on a plan, of a call's replicas on a promise."""

    SILENT = "no majority answered"
    SAME = "this is the last one"
    LATER = "there is a later one"
    OTHER = "it is not as this disk says"  # another content under one number; a write it does not know of


class Store(Enum):
    """Whether the store is intact."""

    WHOLE = "whole"  # all that was ever told is there: synced, checked, by its number the newest known
    PART = "in part"  # damaged in the middle, an older copy, not synced before another boot, not of this disk


@dataclass(frozen=True, slots=True)
class Clock:
    """One reading; `boot` marks a boot of the machine, and is empty where the system does not tell."""

    boot: str
    mono_ms: float  # of the monotonic clock, which goes on from process to process within a boot
    wall_ms: float  # anything: hours off, stepping


@dataclass(frozen=True, slots=True)
class Span:
    """The ages of one kind, in milliseconds."""

    fresh_ms: float
    life_ms: float


@dataclass(frozen=True, slots=True)
class Found:
    """One piece of state as it is found."""

    kind: Kind
    age: Age
    in_order: bool  # its writer said so at its end
    same_boot: bool
    others: Others = Others.SILENT
    store: Store = Store.WHOLE


_LETTERS = {"G": Trust.GONE, "H": Trust.HINT, "M": Trust.MAJORITY, "N": Trust.NOW}

# Three letters each: fresh, within its life, old. A promise is old once its window is over (`left_ms`).
#                    same boot          another boot
#                in order  killed   in order  killed
TABLE: Mapping[Kind, tuple[str, str, str, str]] = {
    Kind.TERM: ("NNN", "NNN", "NNN", "NNN"),
    Kind.PLAN: ("NMM", "NMM", "MMM", "MMM"),  # decided it is for good; whether it is the last, others know
    Kind.POLICY: ("MMM", "MMM", "MMM", "MMM"),  # nobody acts by one without a lease of this life
    Kind.PROMISE: ("NNG", "NNG", "NNG", "NNG"),
    Kind.ROSTER: ("NHG", "NHG", "HHG", "HHG"),  # scorers come back with new ids, the log with new numbers
    Kind.USE: ("NHG", "HHG", "HHG", "HHG"),  # what was wanted most before is what will be wanted first
    Kind.COPIES: ("HHG", "HGG", "GGG", "GGG"),  # scorers are empty
    Kind.LOADS: ("HGG", "GGG", "GGG", "GGG"),
    Kind.HOMES: ("NMH", "NMH", "MMH", "MMH"),  # a number is never given twice, however old
}

# What is left of each kind where the store is not whole. What stands there was said; what is missing may
# have been said as well, so nothing that rests on 'and nothing else' is left: no vote, no number.
PART: Mapping[Kind, Trust] = {
    Kind.TERM: Trust.HINT,  # the least term there was; the disk votes no more under this identity
    Kind.PLAN: Trust.MAJORITY,
    Kind.POLICY: Trust.MAJORITY,
    Kind.PROMISE: Trust.NOW,
    Kind.ROSTER: Trust.HINT,
    Kind.USE: Trust.HINT,
    Kind.COPIES: Trust.GONE,
    Kind.LOADS: Trust.GONE,
    Kind.HOMES: Trust.HINT,
}

# A majority's word that there is a later one, or that it is not so. What is not named is gone then.
_LATER = {Kind.TERM: Trust.NOW, Kind.PROMISE: Trust.NOW}  # a later term takes its place by the voters' rules
_OTHER = {Kind.TERM: Trust.HINT, Kind.PROMISE: Trust.NOW}  # of two words on a call the stricter stands


def trust(found: Found) -> Trust:
    """The table: total over all that can be found."""
    column = (0 if found.same_boot else 2) + (0 if found.in_order else 1)
    held = _LETTERS[TABLE[found.kind][column][found.age]]
    if found.store is Store.PART:
        held = min(held, PART[found.kind])
    if found.others is Others.LATER:
        return min(held, _LATER.get(found.kind, Trust.GONE))
    if found.others is Others.OTHER:
        return min(held, _OTHER.get(found.kind, Trust.GONE))
    if found.others is Others.SAME and held is Trust.MAJORITY:
        return Trust.NOW
    return held


def may_vote(term: Trust) -> bool:
    """Whether this disk's voter may go on under its identity; else it comes back as a new one."""
    return term is Trust.NOW


def knows_all(store: Store) -> bool:
    """Whether a replica knows all that it ever promised, and may grant at once.

    One that does not hears every other replica that does, or waits until all that it may have granted is
    over.
    """
    return store is Store.WHOLE


# --- clocks and boots -----------------------------------------------------------------------


def same_boot(written: Clock, read: Clock) -> bool:
    """Whether only the process restarted; a reading from the future of a clock is another clock's."""
    return bool(written.boot) and written.boot == read.boot and written.mono_ms <= read.mono_ms


def left_ms(written: Clock, read: Clock, whole_ms: float) -> float:
    """For how long a promise still counts from `read`, at the least; 0 where it is over.

    `whole_ms` is what it counted for when it was written, by the slowest clock. In another boot it begins
    anew. Rejected: to subtract the time since this boot, as a disk may be moved to a machine that is up for
    long.
    """
    gone_ms = read.mono_ms - written.mono_ms if same_boot(written, read) else 0.0
    return max(0.0, whole_ms - gone_ms)


def age_of(kind: Kind, written: Clock, read: Clock, span: Span) -> Age:
    """The age of a piece of state.

    By the monotonic clock within a boot. In another one by the wall clocks, where that is no promise; a clock
    that went back makes it fresh, and nothing that is fresh in another boot is more than a hint until others
    confirm it.
    """
    if kind is Kind.PROMISE:
        return Age.FRESH if left_ms(written, read, span.life_ms) > 0 else Age.OLD
    if same_boot(written, read):
        age_ms = read.mono_ms - written.mono_ms
    else:
        age_ms = max(0.0, read.wall_ms - written.wall_ms)
    return Age.FRESH if age_ms < span.fresh_ms else Age.LIFE if age_ms < span.life_ms else Age.OLD


@dataclass(frozen=True, slots=True)
class Spans:
    """The ages by kind, from the current settings; milliseconds."""

    valid_ms: float = 2_000.0  # zones: a leader's word that a plan is the last one
    window_ms: float = 13_500.0  # state: a call's time and window, by the slowest clock
    fresh_ms: float = 1_000.0  # counts and beliefs
    idle_life_ms: float = 10_000.0  # of a copy
    roster_ms: float = 600_000.0
    use_ms: float = 3_600_000.0
    still_ms: float = 30_000.0  # sessions

    def of(self, kind: Kind) -> Span:
        """The ages of a kind."""
        return {
            Kind.TERM: Span(0.0, 0.0),
            Kind.PLAN: Span(self.valid_ms, self.valid_ms),
            Kind.POLICY: Span(0.0, 0.0),
            Kind.PROMISE: Span(self.window_ms, self.window_ms),
            Kind.ROSTER: Span(self.fresh_ms, self.roster_ms),
            Kind.USE: Span(self.fresh_ms, self.use_ms),
            Kind.COPIES: Span(self.fresh_ms, self.idle_life_ms),
            Kind.LOADS: Span(self.fresh_ms, self.fresh_ms),
            Kind.HOMES: Span(self.valid_ms, self.still_ms),
        }[kind]


class Scope(Enum):
    """What has ended with this front end's last incarnation."""

    PROCESS = "the process alone"
    MACHINE = "the machine, and most of the others go on"
    FLEET = "the fleet: a majority of the voters is in another boot"
    UNKNOWN = "no majority of the voters was heard"


def scope(
    mine_same: bool, voters: tuple[str, ...], boots: Mapping[str, str], now: Mapping[str, str]
) -> Scope:
    """What a restart is part of.

    `boots` are the marks of voters' boots as decided last, `now` those heard since this start, by voter.
    Voters that are not heard are in neither half.
    """
    most = len(voters) // 2 + 1
    changed = sum(name in now and now[name] != boots.get(name, now[name]) for name in voters)
    if changed >= most:
        return Scope.FLEET
    if sum(name in now for name in voters) < most:
        return Scope.PROCESS if mine_same else Scope.UNKNOWN
    return Scope.PROCESS if mine_same else Scope.MACHINE
