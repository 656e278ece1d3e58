"""The phases in which service resumes after a power loss, and what each phase allows.

Pure. Times are milliseconds of this machine's monotonic clock, and none is stored. The leader decides the
phase (`coordinator.py`) and stores it in a register in the consensus log. A front end follows that phase
(`PhaseFollower`) as long as a leader has recently confirmed the register. Otherwise it does only what is safe
without a leader (`partitioned.py`).

| phase | the next phase begins when |
| --- | --- |
| listening | most members are heard and a `good` share of them finished its queries; or after `listen_ms` |
| retries | a `good` share of the replicas knows all its grants; or after `window_ms` |
| priority calls | a `good` share of the priority calls is served, for `hold_ms`; or after `most_ms` |
| all calls | the same for all calls |
| copy refresh | the same for all calls |
| normal | never |

In any phase, a majority of voters whose boots differ from the register starts a new recovery with listening.
A phase is overloaded when loads take `slow` times their usual time for `over_ms`, or when a cold scorer
crashes. The fleet then steps back to the previous phase with half the budget, and `hold_ms` and `most_ms` are
doubled, at most three times.
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

MIN_BUDGET_SHARE = 0.125  # lower limit of the budget share, which also applies before the first register


@dataclass(frozen=True, slots=True)
class FleetObservation:
    """What the leader's front end knows about the fleet, from the last seconds; shares are 0.0 to 1.0."""

    members: int  # front ends on the membership list
    heard: int  # front ends that are heard
    asked: int  # front ends that are heard and have finished their queries
    sure: float = 1.0  # share of the replicas on the list that know all grants that calls need
    first: float = 1.0  # share of the calls of the priority classes that are served in time
    served: float = 1.0  # share of all calls that are served in time
    slow: float = 1.0  # duration of loads, as a multiple of the usual duration
    fell: int = 0  # cold scorers that crashed since the last observation
    givers: tuple[str, ...] = ()  # replicas that are heard, in order, at most MAX_PERMIT_ISSUERS
    gave: bool = False  # a member that is heard recently issued permits that no leader's phase allowed


@dataclass(frozen=True, slots=True)
class PhaseTiming:
    """Times and thresholds of the phases; the field names are keys of the recovery settings."""

    listen_ms: float = 3_000.0  # maximum duration of the listening phase
    window_ms: float = 13_500.0  # after this time no earlier grant is valid
    hold_ms: float = 1_000.0  # for which enough calls must be served before the next phase
    most_ms: float = 8_000.0  # maximum duration of a phase without overload
    over_ms: float = 1_000.0  # how long loads must be slow, or other issuers wanted, until the leader reacts
    settle_ms: float = 30_000.0  # after which new boots of a minority are noted in the normal phase
    valid_ms: float = 2_000.0  # for which a leader's confirmation of the register is valid
    alone_ms: float = 5_000.0  # without a confirmation for this time a front end counts as partitioned
    good: float = 0.9  # share of members, replicas or calls at which the next phase may begin
    slow: float = 2.5  # multiple of the usual duration at which loads are slow


# --- actions returned to the caller ---------------------------------------------------------


class ProposeRegister(Struct, frozen=True):
    """Action: propose this register once, and report the result to the coordinator."""

    register: str


class LogEvent(Struct, frozen=True):
    """Action: write a log line for operators."""

    event: str
    fields: dict[str, Any]


Effect = ProposeRegister | LogEvent


# --- followers ------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class AllowedActions:
    """What a front end may do now."""

    status: bool = False  # report a good `status`
    repeats: bool = False  # answer retries of granted calls, or report that there is no answer
    classes: frozenset[str] = frozenset()  # classes whose new calls are admitted
    loads: bool = False  # load first copies, ordered by load coordinators
    own_loads: bool = False  # load more copies at any front end: speculative loads
    renewal: bool = False  # refresh copies
    spill: bool = False  # normal operation: no recovery limits, and calls may spill over between zones
    part: float = 1.0  # share of the fleet's budgets
    alone: bool = False  # whether the front end is partitioned


def allowed_in_phase(
    phase: RecoveryPhase, weights: Mapping[str, float], share: float = 1.0
) -> AllowedActions:
    """What a phase allows at every front end; `weights` are the priority weights of the classes."""
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

    Each incarnation starts in the listening phase, whatever its disk contains.
    """

    timing: PhaseTiming
    began_ms: float  # start of this incarnation
    register: RecoveryRegister | None = None  # the last one that this incarnation received
    confirmed_ms: float = float("-inf")  # when the last confirmation by a leader was requested
    partitioned: bool = False  # as of the last call of `phase`
    # Number of the power loss after which it last reached the normal phase. It has served through later ones.
    last_normal_power_loss: int = -1

    def receive(self, text: str, asked_ms: float) -> list[Effect]:
        """Apply a register that a leader confirmed, under its lease, to be the last one.

        It comes in a leader's message or in the answer to a query that was sent at `asked_ms`. A register
        with a smaller number than the present one changes nothing and confirms nothing.
        """
        try:
            register = parse_register(text)
        except RegisterError as error:
            return [LogEvent("recovery not read", {"why": str(error)})]
        if self.register is not None and register.number < self.register.number:
            return []
        if register.stage == RecoveryPhase.NORMAL:
            self.last_normal_power_loss = register.cut
        self.register = register
        self.confirmed_ms = max(self.confirmed_ms, asked_ms)
        return []

    def phase(self, now_ms: float) -> RecoveryPhase | None:
        """The phase that this front end follows; None if it is partitioned.

        The normal phase holds without a leader, because losing the leader is not a power loss. In a recovery
        the last phase holds for `alone_ms`, in which a new leader may be elected. A partitioned front end
        stays partitioned until a phase allows more than is safe without a leader.
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
        """The permit assignment from the register.

        None if the members that are heard determine the issuers instead. This is so without a leader, in the
        normal phase, and if the register names no issuers.
        """
        phase = self.phase(now_ms)
        register = self.register
        if phase is None or phase is RecoveryPhase.NORMAL or register is None or not register.givers:
            return None
        return PermitAssignment(register.givers, register.cut, register.deals)

    def fresh(self, now_ms: float) -> bool:
        """Whether the last confirmation by a leader is still valid."""
        return self.register is not None and now_ms - self.confirmed_ms < self.timing.valid_ms

    def allowed(self, now_ms: float, weights: Mapping[str, float]) -> AllowedActions | None:
        """What this front end may do; None if it is partitioned.

        A front end that kept serving through the power loss of others continues to admit all calls, but does
        not use the capacity of others.
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
        return 0 <= self.last_normal_power_loss < self.register.cut
