"""The recovery coordinator, which runs at the leader and decides when the recovery phase changes. Pure."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from fawnwharf.recovery_core.phases import (
    MIN_BUDGET_SHARE,
    Effect,
    FleetObservation,
    LogEvent,
    PhaseTiming,
    ProposeRegister,
)
from fawnwharf.recovery_core.register import RecoveryPhase, RecoveryRegister, RegisterError, parse_register
from fawnwharf.recovery_core.trust import RestartScope, restart_scope

MAX_STEPS_BACK = 3  # steps back that double the hold time; later ones don't
_BUDGET_GROWTH = 1.5  # factor of the budget share from one phase to the next


@dataclass(frozen=True, slots=True)
class _TickInput:
    """The arguments of one tick."""

    now_ms: float
    observation: FleetObservation
    boots: Mapping[str, str]  # boot marks of the voters that are heard


@dataclass(slots=True)
class RecoveryCoordinator:
    """Owns the last decided register and proposes the next one when its phase has to change.

    Times are milliseconds of the monotonic clock.
    """

    timing: PhaseTiming
    voters: tuple[str, ...] = ()
    leads: bool = False
    register: RecoveryRegister = field(default_factory=RecoveryRegister)
    proposed: RecoveryRegister | None = None  # proposed and not decided yet
    since_ms: float = 0.0  # start of the phase, or of the leader's term if that is later
    steps_back: int = 0  # in this term and power loss, at most MAX_STEPS_BACK
    _served_since_ms: float | None = None  # since then enough calls are served to leave the phase
    _slow_since_ms: float | None = None  # since then loads are slow
    _boots_differ_since_ms: float | None = None  # since then voters have boots that are not in the register
    issuers_differ_since_ms: float | None = None  # since then other members should issue permits

    def begin_term(self, now_ms: float, text: str, voters: tuple[str, ...]) -> list[Effect]:
        """Begin a leader's term with the register from its log, whose entries are all decided."""
        self.end_term()
        try:
            self.register = parse_register(text)
        except RegisterError as error:
            return [LogEvent("recovery not read", {"why": str(error)})]
        self.leads = True
        self.voters = voters
        self.steps_back = 0
        self._start_phase(now_ms)
        return []

    def end_term(self) -> None:
        """End the leader's term."""
        self.leads = False
        self.proposed = None
        self._boots_differ_since_ms = None

    def proposal_failed(self) -> None:
        """Note that the proposed register was certainly not added to the log."""
        self.proposed = None

    def decided(self, now_ms: float, text: str) -> list[Effect]:
        """Apply a decided register. Raises RegisterError for a malformed text."""
        register = parse_register(text)
        if not self.leads or register.number <= self.register.number:
            return []
        before = self.register
        self.register = register
        self.proposed = None
        if (register.cut, register.stage) != (before.cut, before.stage):
            if register.cut != before.cut:
                self.steps_back = 0
            self._start_phase(now_ms)
        phase = RecoveryPhase(register.stage)
        return [LogEvent("stage", {"cut": register.cut, "stage": phase.label, "why": register.why})]

    def _start_phase(self, now_ms: float) -> None:
        self.since_ms = now_ms
        self._served_since_ms = None
        self._slow_since_ms = None

    def tick(
        self, now_ms: float, observation: FleetObservation, boots: Mapping[str, str], *, holds_lease: bool
    ) -> list[Effect]:
        """Propose the next register if one is due.

        `boots` holds the boot marks of the voters that are heard, including this one. `holds_lease` tells
        whether the leader's lease is valid.
        """
        if not self.leads or not holds_lease or self.proposed is not None:
            return []
        tick_input = _TickInput(now_ms, observation, boots)
        if restart_scope(True, self.voters, self.register.boots, boots) is RestartScope.FLEET:
            return self._propose_power_loss(tick_input)
        phase = RecoveryPhase(self.register.stage)
        if effects := self._step_back(tick_input, phase):
            return effects
        if phase is RecoveryPhase.NORMAL:
            return self._note_boots(tick_input)
        if reason := self._reason_to_leave(tick_input, phase):
            return self._propose(tick_input, RecoveryPhase(phase + 1), reason, self._next_share(phase))
        if abs(observation.heard - self.register.fronts) * 4 > max(1, self.register.fronts):
            return self._propose(tick_input, phase, "front ends came or went")
        return self._replace_issuers(tick_input, phase)

    # --- reasons to leave a phase -----------------------------------------------------------------

    def _next_share(self, phase: RecoveryPhase) -> float:
        """The budget share of the phase after this one."""
        if phase is RecoveryPhase.COPY_REFRESH:
            return 1.0
        if phase >= RecoveryPhase.PRIORITY_CALLS:
            return min(1.0, _BUDGET_GROWTH * self.register.part)
        return self.register.part

    def _reason_to_leave(self, tick_input: _TickInput, phase: RecoveryPhase) -> str:
        """The reason to enter the next phase; empty if the phase stays."""
        observation = tick_input.observation
        elapsed_ms = tick_input.now_ms - self.since_ms
        if phase is RecoveryPhase.LISTENING:
            ready = (
                2 * observation.heard > observation.members
                and observation.asked >= self.timing.good * observation.heard
            )
            if ready:
                return "asked"
            return "no more came" if elapsed_ms >= self.timing.listen_ms else ""
        if phase is RecoveryPhase.RETRIES:
            held = not self.steps_back or elapsed_ms >= self._scaled_hold_ms
            if observation.sure >= self.timing.good and held:
                return "keepers know all"
            return "windows are over" if elapsed_ms >= self.timing.window_ms else ""
        served = observation.first if phase is RecoveryPhase.PRIORITY_CALLS else observation.served
        if self._is_served(tick_input.now_ms, served):
            return "served"
        too_long = elapsed_ms >= self.timing.most_ms * 2**self.steps_back and self._slow_since_ms is None
        return "takes long, and nothing is crowded" if too_long else ""

    @property
    def _scaled_hold_ms(self) -> float:
        factor: int = 2**self.steps_back
        return self.timing.hold_ms * factor

    def _is_served(self, now_ms: float, served: float) -> bool:
        """Whether enough calls have been served during the whole hold time."""
        if served < self.timing.good:
            self._served_since_ms = None
            return False
        if self._served_since_ms is None:
            self._served_since_ms = now_ms
        return now_ms - self._served_since_ms >= self._scaled_hold_ms

    def _step_back(self, tick_input: _TickInput, phase: RecoveryPhase) -> list[Effect]:
        """Return to the previous phase with half the budget if loads are slow or a cold scorer crashed."""
        observation = tick_input.observation
        overloaded = self._is_overloaded(tick_input.now_ms, observation)
        # In the normal phase overload may have other causes than the recovery, so the fleet steps back from
        # it only soon after it was entered.
        is_new = tick_input.now_ms - self.since_ms < self.timing.most_ms
        is_normal = phase is RecoveryPhase.NORMAL
        if phase < RecoveryPhase.PRIORITY_CALLS or not (overloaded or observation.fell):
            return []
        if is_normal and not (is_new and self.register.cut):
            return []
        self.steps_back = min(MAX_STEPS_BACK, self.steps_back + 1)
        reason = f"{observation.fell} scorers fell" if observation.fell else "the store is crowded"
        share = max(MIN_BUDGET_SHARE, self.register.part / 2)
        return self._propose(tick_input, RecoveryPhase(phase - 1), reason, share)

    def _is_overloaded(self, now_ms: float, observation: FleetObservation) -> bool:
        """Whether loads have been slow for at least `over_ms`."""
        if observation.slow < self.timing.slow:
            self._slow_since_ms = None
            return False
        if self._slow_since_ms is None:
            self._slow_since_ms = now_ms
        return now_ms - self._slow_since_ms >= self.timing.over_ms

    # --- boots and permit issuers -----------------------------------------------------------------

    def _note_boots(self, tick_input: _TickInput) -> list[Effect]:
        """Note new boots of a minority in the normal phase.

        Otherwise separate restarts of voters would add up to a majority and count as a power loss. They are
        noted after `settle_ms`. If no changed voter has a boot in the register, they are noted at once,
        because a power loss of these voters can't be detected until then.
        """
        noted = self.register.boots
        changed = [
            name for name, mark in tick_input.boots.items() if name in self.voters and noted.get(name) != mark
        ]
        if not changed:
            self._boots_differ_since_ms = None
            return []
        if self._boots_differ_since_ms is None:
            self._boots_differ_since_ms = tick_input.now_ms
        settled = tick_input.now_ms - self._boots_differ_since_ms >= self.timing.settle_ms
        if not settled and any(name in noted for name in changed):
            return []
        return self._propose(tick_input, RecoveryPhase.NORMAL, "boots noted", 1.0)

    def _replace_issuers(self, tick_input: _TickInput, phase: RecoveryPhase) -> list[Effect]:
        """Assign the permits to other members once other issuers have been wanted for `over_ms`."""
        if not self.register.deals or self._wanted_issuers(tick_input.observation) == self.register.givers:
            self.issuers_differ_since_ms = None
            return []
        if self.issuers_differ_since_ms is None:
            self.issuers_differ_since_ms = tick_input.now_ms
        if tick_input.now_ms - self.issuers_differ_since_ms < self.timing.over_ms:
            return []
        return self._propose(tick_input, phase, "keepers came or went", replace_issuers=True)

    def _wanted_issuers(self, observation: FleetObservation) -> tuple[str, ...]:
        """The members that should issue permits.

        After each change the new issuers wait before they issue permits. So replicas that came later become
        issuers only if an issuer is lost, or if they outnumber the present issuers.
        """
        current = self.register.givers
        if not set(current) <= set(observation.givers):
            return observation.givers
        return observation.givers if len(observation.givers) > 2 * len(current) else current

    # --- proposals --------------------------------------------------------------------------------

    def _propose_power_loss(self, tick_input: _TickInput) -> list[Effect]:
        """Propose the first phase after another power loss.

        The boots noted before are dropped, because a voter that is not heard may have booted since.
        """
        self.issuers_differ_since_ms = None
        return self._set_proposal(
            RecoveryRegister(
                number=self.register.number + 1,
                cut=self.register.cut + 1,
                stage=int(RecoveryPhase.LISTENING),
                part=1.0,
                fronts=tick_input.observation.heard,
                boots=self._boot_marks(tick_input.boots, {}),
                why="power loss",
                givers=tick_input.observation.givers,
                deals=0,
            )
        )

    def _propose(
        self,
        tick_input: _TickInput,
        phase: RecoveryPhase,
        reason: str,
        share: float | None = None,
        *,
        replace_issuers: bool = False,
    ) -> list[Effect]:
        """Propose a phase; if `share` is None, the budget share stays.

        After the first assignment the permit issuers stay the same unless `replace_issuers` is set. New
        issuers wait before they issue permits.
        """
        current = self.register
        issuers, assignment = self._issuers(tick_input.observation, phase, replace=replace_issuers)
        if replace_issuers or not current.deals:
            self.issuers_differ_since_ms = None
        return self._set_proposal(
            msgspec.structs.replace(
                current,
                number=current.number + 1,
                stage=int(phase),
                part=current.part if share is None else share,
                fronts=tick_input.observation.heard,
                boots=self._boot_marks(tick_input.boots, current.boots),
                why=reason,
                givers=issuers,
                deals=assignment,
            )
        )

    def _issuers(
        self, observation: FleetObservation, phase: RecoveryPhase, *, replace: bool
    ) -> tuple[tuple[str, ...], int]:
        """The members that issue permits in a phase, and the number of the assignment."""
        current = self.register
        if phase is RecoveryPhase.NORMAL:
            return (), current.deals
        if current.deals:
            issuers = observation.givers if replace else current.givers or observation.givers
            return issuers, current.deals + (issuers != current.givers)
        if phase >= RecoveryPhase.PRIORITY_CALLS:
            # The first assignment after this power loss. Number 2 makes all issuers wait, because a member
            # has already issued permits.
            return observation.givers, 2 if observation.gave else 1
        return observation.givers, 0

    def _boot_marks(self, heard: Mapping[str, str], known: Mapping[str, str]) -> dict[str, str]:
        marks = {name: heard.get(name, known.get(name, "")) for name in self.voters}
        return {name: mark for name, mark in marks.items() if mark}

    def _set_proposal(self, register: RecoveryRegister) -> list[Effect]:
        self.proposed = register
        return [ProposeRegister(register.encode())]
