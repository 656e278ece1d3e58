"""What a starting front end may believe of the state on its disk: one table, one pure function.

Two rules stand above the table. No state gains trust by being older, by a writer that was killed, by another
boot or by a store that is not intact. And no clock shortens a grant: its time is counted by the monotonic
clock within one boot, and again in full from its reading in any other one. A wall clock says how old a hint
may be, and decides nothing that is relied on.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, IntEnum


class StateKind(Enum):
    """State that outlives a front end on its disk, or might."""

    TERM = "term and vote"
    PLAN = "plan"
    POLICY = "policy register"
    GRANT = "grant to a call that may have run"
    ROSTER = "roster"
    USAGE = "usage by window"
    COPIES = "where copies were loaded"
    LOADS = "load counts"
    PLACEMENTS = "placements of sessions"


class TrustLevel(IntEnum):
    """What a piece of state may be used for."""

    GONE = 0  # discarded
    HINT = 1  # where to look and what to expect first; nothing relies on it
    MAJORITY = 2  # once a majority confirms it, and a hint until then
    NOW = 3  # at once


class StateAge(IntEnum):
    """How old a piece of state is."""

    FRESH = 0  # younger than `AgeLimits.fresh_ms`
    STALE = 1  # younger than `AgeLimits.lifetime_ms`
    EXPIRED = 2


class MajorityAnswer(Enum):
    """What a majority says: of the voters on a plan, of a call's replicas on a grant."""

    NO_ANSWER = "no majority answered"
    CONFIRMED = "this is the last one"
    NEWER = "there is a later one"
    CONFLICTING = "it is not as this disk says"  # other content of the same number; a write it does not know


class StoreCondition(Enum):
    """Whether the store is intact; the values appear in a log line."""

    INTACT = "whole"  # everything ever reported is there: synced, checked, by its number the newest known
    PARTIAL = "in part"  # damaged, an older copy, not synced before another boot, or another disk's


@dataclass(frozen=True, slots=True)
class ClockReading:
    """One reading of a machine's clocks, in milliseconds."""

    boot: str  # marks a boot of the machine; empty if the system does not tell
    mono_ms: float  # the monotonic clock, which continues across processes within a boot
    wall_ms: float  # may be hours off, and may step


@dataclass(frozen=True, slots=True)
class AgeLimits:
    """The limits of age of one kind, in milliseconds."""

    fresh_ms: float
    lifetime_ms: float


@dataclass(frozen=True, slots=True)
class StoredState:
    """One piece of state as it is found on disk."""

    kind: StateKind
    age: StateAge
    closed_cleanly: bool  # its writer shut down gracefully
    same_boot: bool
    majority: MajorityAnswer = MajorityAnswer.NO_ANSWER
    store: StoreCondition = StoreCondition.INTACT


_LEVEL_BY_LETTER = {
    "G": TrustLevel.GONE,
    "H": TrustLevel.HINT,
    "M": TrustLevel.MAJORITY,
    "N": TrustLevel.NOW,
}

# Three letters each: fresh, stale, expired. A grant is expired once its window is over (`remaining_ms`).
#                          same boot              another boot
#                      closed   killed          closed   killed
TRUST_TABLE: Mapping[StateKind, tuple[str, str, str, str]] = {
    StateKind.TERM: ("NNN", "NNN", "NNN", "NNN"),
    StateKind.PLAN: ("NMM", "NMM", "MMM", "MMM"),  # it stays decided; whether it is the last, others know
    StateKind.POLICY: ("MMM", "MMM", "MMM", "MMM"),  # applied only under a lease of this incarnation
    StateKind.GRANT: ("NNG", "NNG", "NNG", "NNG"),
    StateKind.ROSTER: (
        "NHG",
        "NHG",
        "HHG",
        "HHG",
    ),  # scorers come back with new ids, the log renumbered
    StateKind.USAGE: ("NHG", "HHG", "HHG", "HHG"),  # what was used most before is what will be wanted first
    StateKind.COPIES: ("HHG", "HGG", "GGG", "GGG"),  # scorers are empty
    StateKind.LOADS: ("HGG", "GGG", "GGG", "GGG"),
    StateKind.PLACEMENTS: ("NMH", "NMH", "MMH", "MMH"),  # a number is never given twice, however old
}

# The most that a partial store leaves of each kind. What is found there was reported; what is missing may
# have been reported as well. So nothing is left that relies on "and nothing else": no vote, no number.
PARTIAL_STORE_TRUST: Mapping[StateKind, TrustLevel] = {
    StateKind.TERM: TrustLevel.HINT,  # the smallest possible term; this identity votes no more
    StateKind.PLAN: TrustLevel.MAJORITY,
    StateKind.POLICY: TrustLevel.MAJORITY,
    StateKind.GRANT: TrustLevel.NOW,
    StateKind.ROSTER: TrustLevel.HINT,
    StateKind.USAGE: TrustLevel.HINT,
    StateKind.COPIES: TrustLevel.GONE,
    StateKind.LOADS: TrustLevel.GONE,
    StateKind.PLACEMENTS: TrustLevel.HINT,
}

# The most that is left once a majority contradicts; kinds that are not named are discarded.
_NEWER_TRUST = {
    StateKind.TERM: TrustLevel.NOW,  # a later term replaces it by the voters' rules
    StateKind.GRANT: TrustLevel.NOW,
}
_CONFLICTING_TRUST = {
    StateKind.TERM: TrustLevel.HINT,
    StateKind.GRANT: TrustLevel.NOW,  # of two statements on a call the stricter counts
}


def trust_level(state: StoredState) -> TrustLevel:
    """What a piece of state may be used for; defined for everything that can be found."""
    column = (0 if state.same_boot else 2) + (0 if state.closed_cleanly else 1)
    level = _LEVEL_BY_LETTER[TRUST_TABLE[state.kind][column][state.age]]
    if state.store is StoreCondition.PARTIAL:
        level = min(level, PARTIAL_STORE_TRUST[state.kind])
    match state.majority:
        case MajorityAnswer.NEWER:
            return min(level, _NEWER_TRUST.get(state.kind, TrustLevel.GONE))
        case MajorityAnswer.CONFLICTING:
            return min(level, _CONFLICTING_TRUST.get(state.kind, TrustLevel.GONE))
        case MajorityAnswer.CONFIRMED if level is TrustLevel.MAJORITY:
            return TrustLevel.NOW
        case _:
            return level


def may_vote(term: TrustLevel) -> bool:
    """Whether this disk's voter may continue under its identity; else it comes back as a new one."""
    return term is TrustLevel.NOW


def knows_all_grants(store: StoreCondition) -> bool:
    """Whether a replica knows all that it ever granted, and may grant at once.

    One that does not queries every other replica, or waits until all that it may have granted is over.
    """
    return store is StoreCondition.INTACT


# --- clocks and boots -----------------------------------------------------------------------


def same_boot(written: ClockReading, read: ClockReading) -> bool:
    """Whether only the process restarted; a reading from the future of a clock is another clock's."""
    return bool(written.boot) and written.boot == read.boot and written.mono_ms <= read.mono_ms


def remaining_ms(written: ClockReading, read: ClockReading, duration_ms: float) -> float:
    """For how long a grant still counts from `read`, at the least; 0 if it is over.

    `duration_ms` is its duration when it was written, by the slowest clock. In another boot the duration
    starts again. Rejected: to subtract the time since this boot, as a disk may be moved to a machine that has
    been up for long.
    """
    elapsed_ms = read.mono_ms - written.mono_ms if same_boot(written, read) else 0.0
    return max(0.0, duration_ms - elapsed_ms)


def age_of(kind: StateKind, written: ClockReading, read: ClockReading, limits: AgeLimits) -> StateAge:
    """The age of a piece of state.

    By the monotonic clock within a boot; in another one by the wall clocks, except for grants. A clock that
    went back makes it fresh, and nothing that is fresh in another boot is more than a hint until other
    members confirm it.
    """
    if kind is StateKind.GRANT:
        is_valid = remaining_ms(written, read, limits.lifetime_ms) > 0
        return StateAge.FRESH if is_valid else StateAge.EXPIRED
    if same_boot(written, read):
        age_ms = read.mono_ms - written.mono_ms
    else:
        age_ms = max(0.0, read.wall_ms - written.wall_ms)
    if age_ms < limits.fresh_ms:
        return StateAge.FRESH
    return StateAge.STALE if age_ms < limits.lifetime_ms else StateAge.EXPIRED


@dataclass(frozen=True, slots=True)
class AgeSettings:
    """Ages of all kinds, from the current settings; milliseconds."""

    valid_ms: float = 2_000.0  # zones: for how long a leader's message counts that a plan is the last one
    window_ms: float = 13_500.0  # state: a call's duration and idempotency window, by the slowest clock
    fresh_ms: float = 1_000.0  # counts and estimates
    copy_idle_ms: float = 10_000.0  # an idle copy expires
    roster_ms: float = 600_000.0
    usage_ms: float = 3_600_000.0
    session_idle_ms: float = 30_000.0

    def of(self, kind: StateKind) -> AgeLimits:
        """The limits of age of a kind."""
        return {
            StateKind.TERM: AgeLimits(0.0, 0.0),
            StateKind.PLAN: AgeLimits(self.valid_ms, self.valid_ms),
            StateKind.POLICY: AgeLimits(0.0, 0.0),
            StateKind.GRANT: AgeLimits(self.window_ms, self.window_ms),
            StateKind.ROSTER: AgeLimits(self.fresh_ms, self.roster_ms),
            StateKind.USAGE: AgeLimits(self.fresh_ms, self.usage_ms),
            StateKind.COPIES: AgeLimits(self.fresh_ms, self.copy_idle_ms),
            StateKind.LOADS: AgeLimits(self.fresh_ms, self.fresh_ms),
            StateKind.PLACEMENTS: AgeLimits(self.valid_ms, self.session_idle_ms),
        }[kind]


class RestartScope(Enum):
    """What has restarted together with this front end."""

    PROCESS = "the process alone"
    MACHINE = "the machine, and most of the others continue"
    FLEET = "the fleet: a majority of the voters is in another boot"
    UNKNOWN = "no majority of the voters was heard"


def restart_scope(
    same_boot_here: bool, voters: tuple[str, ...], boots: Mapping[str, str], current: Mapping[str, str]
) -> RestartScope:
    """What a restart is part of.

    `boots` are the boot marks of voters as decided last, `current` those received since this start. Voters
    that were not heard count on neither side.
    """
    majority = len(voters) // 2 + 1
    changed = sum(name in current and current[name] != boots.get(name, current[name]) for name in voters)
    if changed >= majority:
        return RestartScope.FLEET
    if same_boot_here:
        return RestartScope.PROCESS
    heard = sum(name in current for name in voters)
    return RestartScope.UNKNOWN if heard < majority else RestartScope.MACHINE
