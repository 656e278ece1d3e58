"""How far a starting front end may trust the state on its disk: one table and one pure function.

Two rules hold for the whole table. First, state never gains trust by being older, by being written by a
process that was killed, by being from another boot, or by a store that is not intact. Second, no clock
shortens a grant. Within a boot the monotonic clock measures its remaining time. In any other boot its full
duration starts again when it is read. The wall clock only tells how old a hint may be; nothing that must be
correct depends on it.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, IntEnum


class StateKind(Enum):
    """Kinds of state that may remain on disk when a front end ends."""

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
    """What a piece of state may be used for; a larger value means more trust."""

    GONE = 0  # for nothing; it is discarded
    HINT = 1  # as a hint where to look first; correctness must not depend on it
    MAJORITY = 2  # as a hint, and without restriction once a majority confirms it
    NOW = 3  # without restriction, at once


class StateAge(IntEnum):
    """How old a piece of state is."""

    FRESH = 0  # younger than `AgeLimits.fresh_ms`
    STALE = 1  # younger than `AgeLimits.lifetime_ms`
    EXPIRED = 2


class MajorityAnswer(Enum):
    """What a majority answers: of the voters about a plan, of a call's replicas about a grant."""

    NO_ANSWER = "no majority answered"
    CONFIRMED = "this is the last one"
    NEWER = "there is a later one"
    # Other content with the same number, or a write that this disk does not have.
    CONFLICTING = "it is not as this disk says"


class StoreCondition(Enum):
    """Whether the store is intact; the values appear in a log line and must not change."""

    # Everything that was ever reported as stored is there. It is synced and verified, and its number is the
    # newest that is known.
    INTACT = "whole"
    PARTIAL = "in part"  # damaged, an older copy, not synced before another boot, or from another disk


@dataclass(frozen=True, slots=True)
class ClockReading:
    """One reading of a machine's clocks, in milliseconds."""

    boot: str  # identifies the boot of the machine; empty if the system does not provide it
    mono_ms: float  # monotonic clock, which continues across processes within a boot
    wall_ms: float  # wall clock, which may be hours off and may jump


@dataclass(frozen=True, slots=True)
class AgeLimits:
    """The age limits of one kind of state, in milliseconds."""

    fresh_ms: float
    lifetime_ms: float


@dataclass(frozen=True, slots=True)
class StoredState:
    """One piece of state that was found on disk."""

    kind: StateKind
    age: StateAge
    closed_cleanly: bool  # its writer shut down gracefully
    same_boot: bool  # it was written in the present boot
    majority: MajorityAnswer = MajorityAnswer.NO_ANSWER
    store: StoreCondition = StoreCondition.INTACT


_LEVEL_BY_LETTER = {
    "G": TrustLevel.GONE,
    "H": TrustLevel.HINT,
    "M": TrustLevel.MAJORITY,
    "N": TrustLevel.NOW,
}

# Each cell has three letters, for fresh, stale and expired state. A grant has expired once its remaining time
# is 0 (`remaining_ms`). Columns:
#    same boot                   another boot
#    closed cleanly, killed      closed cleanly, killed
TRUST_TABLE: Mapping[StateKind, tuple[str, str, str, str]] = {
    StateKind.TERM: ("NNN", "NNN", "NNN", "NNN"),
    StateKind.PLAN: ("NMM", "NMM", "MMM", "MMM"),  # stays decided, but only others know if it is the last
    StateKind.POLICY: ("MMM", "MMM", "MMM", "MMM"),  # applied only under a lease of this incarnation
    StateKind.GRANT: ("NNG", "NNG", "NNG", "NNG"),
    # After a power loss scorers come back with new ids, and the change log is renumbered.
    StateKind.ROSTER: ("NHG", "NHG", "HHG", "HHG"),
    StateKind.USAGE: ("NHG", "HHG", "HHG", "HHG"),  # functions used most before are requested first again
    StateKind.COPIES: ("HHG", "HGG", "GGG", "GGG"),  # after a power loss scorers have no copies
    StateKind.LOADS: ("HGG", "GGG", "GGG", "GGG"),
    StateKind.PLACEMENTS: ("NMH", "NMH", "MMH", "MMH"),  # a placement number is never reused, however old
}

# The highest trust in each kind of state from a partial store. State that is found there was reported as
# stored, but state that is missing may have been reported as well. So no state is trusted for a use that
# requires it to be complete: a vote, or a placement number.
PARTIAL_STORE_TRUST: Mapping[StateKind, TrustLevel] = {
    StateKind.TERM: TrustLevel.HINT,  # a lower bound of the term; this identity never votes again
    StateKind.PLAN: TrustLevel.MAJORITY,
    StateKind.POLICY: TrustLevel.MAJORITY,
    StateKind.GRANT: TrustLevel.NOW,
    StateKind.ROSTER: TrustLevel.HINT,
    StateKind.USAGE: TrustLevel.HINT,
    StateKind.COPIES: TrustLevel.GONE,
    StateKind.LOADS: TrustLevel.GONE,
    StateKind.PLACEMENTS: TrustLevel.HINT,
}

# The highest trust in state that a majority contradicts; kinds that are missing here are discarded.
_NEWER_TRUST = {
    StateKind.TERM: TrustLevel.NOW,  # the consensus rules replace it with a later term
    StateKind.GRANT: TrustLevel.NOW,
}
_CONFLICTING_TRUST = {
    StateKind.TERM: TrustLevel.HINT,
    StateKind.GRANT: TrustLevel.NOW,  # of two statements about a call the stricter one counts
}


def trust_level(state: StoredState) -> TrustLevel:
    """What a piece of state may be used for; defined for every possible `StoredState`."""
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
    """Whether this disk's voter may keep its identity; otherwise it joins as a new voter."""
    return term is TrustLevel.NOW


def knows_all_grants(store: StoreCondition) -> bool:
    """Whether a replica knows all its earlier grants, so that it may grant at once.

    Otherwise it queries every other replica, or waits until all grants that it may have made have expired.
    """
    return store is StoreCondition.INTACT


# --- clocks and boots -----------------------------------------------------------------------


def same_boot(written: ClockReading, read: ClockReading) -> bool:
    """Whether both readings are from the same boot.

    A monotonic reading later than the present one must come from another clock.
    """
    return bool(written.boot) and written.boot == read.boot and written.mono_ms <= read.mono_ms


def remaining_ms(written: ClockReading, read: ClockReading, duration_ms: float) -> float:
    """The minimum remaining time of a grant at `read`, in milliseconds; 0 if it has expired.

    `duration_ms` is its duration when it was written, measured by the slowest clock. In another boot the full
    duration starts again. The time since this boot must not be subtracted, because a disk may be moved to a
    machine that has been up for a long time.
    """
    elapsed_ms = read.mono_ms - written.mono_ms if same_boot(written, read) else 0.0
    return max(0.0, duration_ms - elapsed_ms)


def age_of(kind: StateKind, written: ClockReading, read: ClockReading, limits: AgeLimits) -> StateAge:
    """The age of a piece of state.

    The monotonic clock measures it within a boot, the wall clock across boots. Grants are measured by their
    remaining time. If the wall clock went back, the state counts as fresh. This is harmless, because fresh
    state from another boot is at most a hint until other members confirm it.
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
    """The settings, in milliseconds, from which the age limits of all kinds follow."""

    valid_ms: float = 2_000.0  # zones: for which a leader's confirmation that a plan is the last one is valid
    window_ms: float = 13_500.0  # state: a call's duration and idempotency window, by the slowest clock
    fresh_ms: float = 1_000.0  # for which counts and estimates are fresh
    copy_idle_ms: float = 10_000.0  # after which an idle copy expires
    roster_ms: float = 600_000.0  # lifetime of a stored roster
    usage_ms: float = 3_600_000.0  # lifetime of stored usage
    session_idle_ms: float = 30_000.0  # after which an idle session expires

    def of(self, kind: StateKind) -> AgeLimits:
        """The age limits of a kind of state."""
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
    """What restarted together with this front end."""

    PROCESS = "the process alone"
    MACHINE = "the machine, and most of the others continue"
    FLEET = "the fleet: a majority of the voters is in another boot"
    UNKNOWN = "no majority of the voters was heard"


def restart_scope(
    same_boot_here: bool, voters: tuple[str, ...], boots: Mapping[str, str], current: Mapping[str, str]
) -> RestartScope:
    """The scope of a restart.

    `boots` holds the last decided boot marks of the voters, `current` those received since this front end
    started. Voters that were not heard count neither as changed nor as unchanged.
    """
    majority = len(voters) // 2 + 1
    changed = sum(name in current and current[name] != boots.get(name, current[name]) for name in voters)
    if changed >= majority:
        return RestartScope.FLEET
    if same_boot_here:
        return RestartScope.PROCESS
    heard = sum(name in current for name in voters)
    return RestartScope.UNKNOWN if heard < majority else RestartScope.MACHINE
