"""The order in which service returns after a power loss: phases, what each allows, and who follows them.

Pure; times are milliseconds of the own monotonic clock, and none is stored. The leader decides the phase
(`coordinator.py`) in a register of the consensus log. Each front end follows it (`PhaseFollower`) while a
leader's message that it is the last one is recent; without one it does what is safe alone (`partitioned.py`).

| phase | is left for the next one when |
| --- | --- |
| listening | most members are heard, and nine in ten of them have ended their queries; or after `listen_ms` |
| retries | nine in ten replicas know all that they granted; or their windows are over |
| priority calls | nine in ten calls of the priority classes are served, for `hold_ms`; or after `most_ms` |
| all calls | the same of all calls |
| copy refresh | the same |
| normal | never |

Listening is entered, from any phase, when a majority of the voters is in another boot than the register says.
A phase is overloaded when loads take `slow` times their usual time for `over_ms`, or a cold scorer falls. The
fleet then steps back with half the budget, and the next attempts take longer.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from msgspec import Struct

from fawnwharf.recovery_core.budget import priority_classes
from fawnwharf.recovery_core.register import (
    PermitAssignment,
    RecoveryPhase,
    RecoveryRegister,
    RegisterError,
    parse_register,
)

MIN_BUDGET_SHARE = 0.125


@dataclass(frozen=True, slots=True)
class FleetObservation:
    """What the leader's front end knows of the fleet in the last second or so; shares are parts of one."""

    members: int  # on the list
    heard: int
    asked: int  # of these, that have finished their queries
    sure: float = 1.0  # share of the replicas on the list that know all grants, as far as calls need them
    first: float = 1.0  # share of the calls of the priority classes that are served in time
    served: float = 1.0  # the same of all calls
    slow: float = 1.0  # duration of loads, as a multiple of the usual one
    fell: int = 0  # cold scorers that fell since the last observation
    givers: tuple[str, ...] = ()  # replicas that are heard, in order, at most MAX_PERMIT_ISSUERS
    gave: bool = False  # a member that is heard issued permits lately without a phase that allows it


@dataclass(frozen=True, slots=True)
class PhaseTiming:
    """Times and thresholds of the phases. The names of the fields are keys of the recovery settings."""

    listen_ms: float = 3_000.0
    window_ms: float = 13_500.0  # after which no earlier grant counts
    hold_ms: float = 1_000.0
    most_ms: float = 8_000.0
    over_ms: float = 1_000.0
    settle_ms: float = 30_000.0  # new boots of a minority are noted after this time in the normal state
    valid_ms: float = 2_000.0  # validity of a leader's message that this is the last register
    alone_ms: float = 5_000.0  # without such a message for this time a front end does what is safe alone
    good: float = 0.9
    slow: float = 2.5


# --- actions of the owner -------------------------------------------------------------------


class ProposeRegister(Struct, frozen=True):
    """Action: propose this register, once; the coordinator is notified of the result."""

    register: str


class LogEvent(Struct, frozen=True):
    """Action: a line for the operators' log."""

    event: str
    fields: dict[str, Any]


Effect = ProposeRegister | LogEvent


# --- each front end -------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class AllowedActions:
    """What a front end does now."""

    status: bool = False  # `status` is good
    repeats: bool = False  # retries of granted calls are answered, or told that there is no answer
    classes: frozenset[str] = frozenset()  # whose new calls are admitted
    loads: bool = False  # first copies, by load coordinators
    own_loads: bool = False  # further copies, by any front end: speculative loads
    renewal: bool = False  # copy refreshes
    spill: bool = False  # spillover into zones beyond what serves no zone of its own
    part: float = 1.0  # share of the fleet's budgets
    alone: bool = False  # partitioned


def allowed_in_phase(
    phase: RecoveryPhase, weights: Mapping[str, float], share: float = 1.0
) -> AllowedActions:
    """What a phase allows, the same at every front end; `weights` are the classes' priority weights."""
    admitted = priority_classes(weights) if phase is RecoveryPhase.PRIORITY_CALLS else frozenset(weights)
    serves = phase >= RecoveryPhase.PRIORITY_CALLS
    return AllowedActions(
        status=serves,
        repeats=phase >= RecoveryPhase.RETRIES,
        classes=admitted if serves else frozenset(),
        loads=serves,
        own_loads=phase >= RecoveryPhase.COPY_REFRESH,
        renewal=phase >= RecoveryPhase.COPY_REFRESH,
        spill=phase >= RecoveryPhase.NORMAL,
        part=share,
    )


@dataclass(slots=True)
class PhaseFollower:
    """Owns the register that this front end follows.

    An incarnation begins with listening, whatever its disk says.
    """

    timing: PhaseTiming
    began_ms: float
    register: RecoveryRegister | None = None  # the last one received by this incarnation
    confirmed_ms: float = float("-inf")  # when it was asked for that a leader last confirmed
    partitioned: bool = False  # at the last call of `phase`
    normal_in: int = -1  # the power loss in which it reached normal: it went on serving through later ones

    def receive(self, text: str, asked_ms: float) -> list[Effect]:
        """Take a leader's message, under its lease, that this is the last register.

        The same for the answer to a query that was sent at `asked_ms`. One with a smaller number changes
        nothing, and confirms nothing.
        """
        try:
            register = parse_register(text)
        except RegisterError as error:
            return [LogEvent("recovery not read", {"why": str(error)})]
        if self.register is not None and register.number < self.register.number:
            return []
        if register.stage == RecoveryPhase.NORMAL:
            self.normal_in = register.cut
        self.register = register
        self.confirmed_ms = max(self.confirmed_ms, asked_ms)
        return []

    def phase(self, now_ms: float) -> RecoveryPhase | None:
        """The phase that it follows; None without a leader.

        The normal state stays: a fleet without a leader is no fleet that has lost its power. In a recovery
        the last phase holds for `alone_ms`, as a new leader may be elected. A partitioned front end stays so
        until a phase allows more than what is safe alone.
        """
        phase = self._last_phase(now_ms)
        stays_partitioned = self.partitioned and phase is not None and phase < RecoveryPhase.PRIORITY_CALLS
        self.partitioned = phase is None or stays_partitioned
        return None if self.partitioned else phase

    def _last_phase(self, now_ms: float) -> RecoveryPhase | None:
        register = self.register
        if register is None:
            is_recent = now_ms - self.began_ms < self.timing.alone_ms
            return RecoveryPhase.LISTENING if is_recent else None
        if register.stage == RecoveryPhase.NORMAL or now_ms - self.confirmed_ms < self.timing.alone_ms:
            return RecoveryPhase(register.stage)
        return None

    def permit_assignment(self, now_ms: float) -> PermitAssignment | None:
        """How permits are divided by the register.

        None if they are divided by what is heard: without a leader, in the normal state, or if the register
        says nothing.
        """
        phase = self.phase(now_ms)
        register = self.register
        if phase is None or phase is RecoveryPhase.NORMAL or register is None or not register.givers:
            return None
        return PermitAssignment(register.givers, register.cut, register.deals)

    def fresh(self, now_ms: float) -> bool:
        """Whether a leader's message is recent enough."""
        return self.register is not None and now_ms - self.confirmed_ms < self.timing.valid_ms

    def allowed(self, now_ms: float, weights: Mapping[str, float]) -> AllowedActions | None:
        """What is allowed; None without a leader.

        A front end that served through the power loss of others continues, without what costs others.
        """
        phase = self.phase(now_ms)
        if phase is None:
            return None
        share = self.register.part if self.register else MIN_BUDGET_SHARE
        if not self.fresh(now_ms) and phase is not RecoveryPhase.NORMAL:
            share /= 2  # the fleet may have stepped back since
        if self._served_through(phase):
            return allowed_in_phase(RecoveryPhase.ALL_CALLS, weights, share)
        return allowed_in_phase(phase, weights, share)

    def _served_through(self, phase: RecoveryPhase) -> bool:
        if self.register is None or phase >= RecoveryPhase.COPY_REFRESH:
            return False
        return 0 <= self.normal_in < self.register.cut
