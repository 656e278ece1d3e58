"""The recovery coordinator at the leader: when the fleet enters the next phase or steps back. Pure."""

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

MAX_STEPS_BACK = 3  # how often the hold time is doubled
_BUDGET_GROWTH = 1.5  # of the budget share, with each phase


@dataclass(frozen=True, slots=True)
class _Situation:
    """What is known at one tick."""

    now_ms: float
    seen: FleetObservation
    boots: Mapping[str, str]  # boot marks of the voters that are heard


@dataclass(slots=True)
class RecoveryCoordinator:
    """Owns the register as last decided, since when its phase lasts, and what is a reason to leave it."""

    timing: PhaseTiming
    voters: tuple[str, ...] = ()
    leads: bool = False
    register: RecoveryRegister = field(default_factory=RecoveryRegister)
    proposed: RecoveryRegister | None = None  # not decided yet
    since_ms: float = 0.0  # start of the phase; a new leader counts again
    steps_back: int = 0
    _served_since_ms: float | None = None
    _slow_since_ms: float | None = None
    _boots_differ_since_ms: float | None = None  # of a minority, in the normal state
    issuers_differ_since_ms: float | None = None  # other members ought to issue permits since then

    def begin_term(self, now_ms: float, text: str, voters: tuple[str, ...]) -> list[Effect]:
        """Begin a leader's term with the register in its log; nothing in this log is undecided."""
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
        """Note that what was proposed certainly never entered the log."""
        self.proposed = None

    def decided(self, now_ms: float, text: str) -> list[Effect]:
        """Take a decided register. Raises RegisterError for a malformed text."""
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
        self, now_ms: float, seen: FleetObservation, boots: Mapping[str, str], *, holds_lease: bool
    ) -> list[Effect]:
        """Do what is due.

        `boots` are the boot marks of the voters that are heard, its own among them; `holds_lease` is whether
        the leader's lease is valid.
        """
        if not self.leads or not holds_lease or self.proposed is not None:
            return []
        situation = _Situation(now_ms, seen, boots)
        if restart_scope(True, self.voters, self.register.boots, boots) is RestartScope.FLEET:
            return self._propose_power_loss(situation)
        phase = RecoveryPhase(self.register.stage)
        if effects := self._step_back(situation, phase):
            return effects
        if phase is RecoveryPhase.NORMAL:
            return self._note_boots(situation)
        if why := self._reason_to_leave(situation, phase):
            return self._propose(situation, RecoveryPhase(phase + 1), why, self._next_share(phase))
        if abs(seen.heard - self.register.fronts) * 4 > max(1, self.register.fronts):
            return self._propose(situation, phase, "front ends came or went")
        return self._replace_issuers(situation, phase)

    # --- reasons to leave a phase -----------------------------------------------------------------

    def _next_share(self, phase: RecoveryPhase) -> float:
        """The share of the budgets in the next phase."""
        if phase is RecoveryPhase.COPY_REFRESH:
            return 1.0
        if phase >= RecoveryPhase.PRIORITY_CALLS:
            return min(1.0, _BUDGET_GROWTH * self.register.part)
        return self.register.part

    def _reason_to_leave(self, situation: _Situation, phase: RecoveryPhase) -> str:
        """Why the phase is left for the next one; empty if it is not."""
        seen = situation.seen
        elapsed_ms = situation.now_ms - self.since_ms
        if phase is RecoveryPhase.LISTENING:
            ready = 2 * seen.heard > seen.members and seen.asked >= self.timing.good * seen.heard
            if ready:
                return "asked"
            return "no more came" if elapsed_ms >= self.timing.listen_ms else ""
        if phase is RecoveryPhase.RETRIES:
            held = not self.steps_back or elapsed_ms >= self._hold_ms
            if seen.sure >= self.timing.good and held:
                return "keepers know all"
            return "windows are over" if elapsed_ms >= self.timing.window_ms else ""
        served = seen.first if phase is RecoveryPhase.PRIORITY_CALLS else seen.served
        if self._is_served(situation.now_ms, served):
            return "served"
        too_long = elapsed_ms >= self.timing.most_ms * 2**self.steps_back and self._slow_since_ms is None
        return "takes long, and nothing is crowded" if too_long else ""

    @property
    def _hold_ms(self) -> float:
        factor: int = 2**self.steps_back
        return self.timing.hold_ms * factor

    def _is_served(self, now_ms: float, served: float) -> bool:
        """Whether enough calls have been served for the hold time."""
        if served < self.timing.good:
            self._served_since_ms = None
            return False
        if self._served_since_ms is None:
            self._served_since_ms = now_ms
        return now_ms - self._served_since_ms >= self._hold_ms

    def _step_back(self, situation: _Situation, phase: RecoveryPhase) -> list[Effect]:
        """Return to the phase before with half the budget, if loads are slow or a cold scorer fell."""
        seen = situation.seen
        crowded = self._is_crowded(situation.now_ms, seen)
        # The normal state may be crowded for other reasons than a power loss: only a new one is left.
        is_new = situation.now_ms - self.since_ms < self.timing.most_ms
        is_normal = phase is RecoveryPhase.NORMAL
        if phase < RecoveryPhase.PRIORITY_CALLS or not (crowded or seen.fell):
            return []
        if is_normal and not (is_new and self.register.cut):
            return []
        self.steps_back = min(MAX_STEPS_BACK, self.steps_back + 1)
        why = f"{seen.fell} scorers fell" if seen.fell else "the store is crowded"
        share = max(MIN_BUDGET_SHARE, self.register.part / 2)
        return self._propose(situation, RecoveryPhase(phase - 1), why, share)

    def _is_crowded(self, now_ms: float, seen: FleetObservation) -> bool:
        """Whether loads have been slow for long."""
        if seen.slow < self.timing.slow:
            self._slow_since_ms = None
            return False
        if self._slow_since_ms is None:
            self._slow_since_ms = now_ms
        return now_ms - self._slow_since_ms >= self.timing.over_ms

    # --- boots and permit issuers -----------------------------------------------------------------

    def _note_boots(self, situation: _Situation) -> list[Effect]:
        """In the normal state, note new boots of a minority, so that they do not add up to a power loss.

        Voters of which no boot was noted are noted at once: until then their loss would not be seen.
        """
        noted = self.register.boots
        changed = [
            name for name, mark in situation.boots.items() if name in self.voters and noted.get(name) != mark
        ]
        if not changed:
            self._boots_differ_since_ms = None
            return []
        if self._boots_differ_since_ms is None:
            self._boots_differ_since_ms = situation.now_ms
        settled = situation.now_ms - self._boots_differ_since_ms >= self.timing.settle_ms
        if not settled and any(name in noted for name in changed):
            return []
        return self._propose(situation, RecoveryPhase.NORMAL, "boots noted", 1.0)

    def _replace_issuers(self, situation: _Situation, phase: RecoveryPhase) -> list[Effect]:
        """Let other members issue permits, once that has been due for long."""
        if not self.register.deals or self._wanted_issuers(situation.seen) == self.register.givers:
            self.issuers_differ_since_ms = None
            return []
        if self.issuers_differ_since_ms is None:
            self.issuers_differ_since_ms = situation.now_ms
        if situation.now_ms - self.issuers_differ_since_ms < self.timing.over_ms:
            return []
        return self._propose(situation, phase, "keepers came or went", replace_issuers=True)

    def _wanted_issuers(self, seen: FleetObservation) -> tuple[str, ...]:
        """The members that ought to issue permits.

        Each change costs a wait, so replicas that come later are taken only when one is lost, or when they
        outnumber those that issue permits now.
        """
        current = self.register.givers
        if not set(current) <= set(seen.givers):
            return seen.givers
        return seen.givers if len(seen.givers) > 2 * len(current) else current

    # --- proposals --------------------------------------------------------------------------------

    def _propose_power_loss(self, situation: _Situation) -> list[Effect]:
        """Propose the first phase of a further power loss.

        Boots noted before are forgotten: a voter that is not heard may be in another one by now.
        """
        self.issuers_differ_since_ms = None
        return self._put(
            RecoveryRegister(
                number=self.register.number + 1,
                cut=self.register.cut + 1,
                stage=int(RecoveryPhase.LISTENING),
                part=1.0,
                fronts=situation.seen.heard,
                boots=self._boot_marks(situation.boots, {}),
                why="power loss",
                givers=situation.seen.givers,
                deals=0,
            )
        )

    def _propose(
        self,
        situation: _Situation,
        phase: RecoveryPhase,
        why: str,
        share: float | None = None,
        *,
        replace_issuers: bool = False,
    ) -> list[Effect]:
        """Propose a phase; without a share the present one stays.

        `replace_issuers` lets other members issue permits, which costs a wait; otherwise they stay the same
        from the first assignment on.
        """
        current = self.register
        issuers, assignment = self._issuers(situation.seen, phase, replace=replace_issuers)
        if replace_issuers or not current.deals:
            self.issuers_differ_since_ms = None
        return self._put(
            msgspec.structs.replace(
                current,
                number=current.number + 1,
                stage=int(phase),
                part=current.part if share is None else share,
                fronts=situation.seen.heard,
                boots=self._boot_marks(situation.boots, current.boots),
                why=why,
                givers=issuers,
                deals=assignment,
            )
        )

    def _issuers(
        self, seen: FleetObservation, phase: RecoveryPhase, *, replace: bool
    ) -> tuple[tuple[str, ...], int]:
        """The members that issue permits in a phase, and the number of their assignment."""
        current = self.register
        if phase is RecoveryPhase.NORMAL:
            return (), current.deals
        if current.deals:
            issuers = seen.givers if replace else current.givers or seen.givers
            return issuers, current.deals + (issuers != current.givers)
        if phase >= RecoveryPhase.PRIORITY_CALLS:
            # The first assignment of this power loss; if a member issued permits before, all wait.
            return seen.givers, 2 if seen.gave else 1
        return seen.givers, 0

    def _boot_marks(self, heard: Mapping[str, str], known: Mapping[str, str]) -> dict[str, str]:
        marks = {name: heard.get(name, known.get(name, "")) for name in self.voters}
        return {name: mark for name, mark in marks.items() if mark}

    def _put(self, register: RecoveryRegister) -> list[Effect]:
        self.proposed = register
        return [ProposeRegister(register.encode())]
