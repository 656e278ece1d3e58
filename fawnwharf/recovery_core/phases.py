"""The order in which service returns, decided together: a register in the consensus log, and who goes by it.

Pure; times are milliseconds of the own monotonic clock, and none is written down. The leader tells the phase
(`Conductor`); each front end goes by it (`Follower`) while a leader's message that it is the last one is
fresh, and without one by what is safe alone (`alone.py`).

| phase | is left, for the next one, once |
| --- | --- |
| listening | most members are heard, and nine in ten of these have ended asking; or `listen_ms` are over |
| repeats | nine in ten replicas know all that they granted; or the windows of that are over |
| worth | nine in ten calls of the classes worth most are served, for `hold_ms`; or `most_ms` are over |
| rest | the same of all calls |
| renewal | the same |
| spill | never: this is the normal state, 'calm' |

Listening is entered, from any phase, when a majority of the voters is in another boot than the register says.
A phase overruns when loads take `slow` times their usual time for `over_ms`, or a cold scorer falls. It then
steps back with half the budget, and the next tries are longer.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
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
from fawnwharf.recovery_core.trust import RestartScope, restart_scope

MIN_BUDGET_SHARE = 0.125
MAX_STEPS_BACK = 3  # times that a hold doubles


@dataclass(frozen=True, slots=True)
class FleetObservation:
    """What the leader's front end knows of the fleet in the last second or so; parts of one."""

    members: int  # on the list
    heard: int
    asked: int  # of these, that have ended their asking
    sure: float = 1.0  # of the keepers on the list, as far as calls need them
    first: float = 1.0  # of the calls of the classes worth most: served in time
    served: float = 1.0  # of all calls
    slow: float = 1.0  # loads, as a multiple of what they take in calm
    fell: int = 0  # cold scorers that fell since the last look
    givers: tuple[str, ...] = ()  # keepers that are heard, in order, at most GIVERS_MOST
    gave: bool = False  # one that is heard gave out loads or calls lately, and by no stage


@dataclass(frozen=True, slots=True)
class PhaseTiming:
    """Times and thresholds of the phases."""

    listen_ms: float = 3_000.0
    window_ms: float = 13_500.0  # after which no promise from before counts
    hold_ms: float = 1_000.0
    most_ms: float = 8_000.0
    over_ms: float = 1_000.0
    settle_ms: float = 30_000.0  # for so long a minority's new boots stand before they are noted in calm
    valid_ms: float = 2_000.0  # a leader's word that this is the last one
    alone_ms: float = 5_000.0  # without one for so long a front end does what is safe alone
    good: float = 0.9
    slow: float = 2.5


# --- what is done by the owner --------------------------------------------------------------


class ProposeRegister(Struct, frozen=True):
    """Effect: propose this register, once; `Conductor.decided` or `not_put` tells what came of it."""

    register: str


class LogEvent(Struct, frozen=True):
    """Effect: a line for the operators' log."""

    event: str
    fields: dict[str, Any]


Effect = ProposeRegister | LogEvent


@dataclass(slots=True)
class RecoveryCoordinator:
    """The recovery coordinator at the leader.

    Owns since when a phase lasts, and what speaks for leaving it.
    """

    timing: PhaseTiming
    voters: tuple[str, ...] = ()
    leads: bool = False
    register: RecoveryRegister = field(default_factory=RecoveryRegister)
    asked: RecoveryRegister | None = None  # put to the vote, and not decided yet
    since_ms: float = 0.0  # the stage stands here; a new leader begins anew
    good_ms: float | None = None
    slow_ms: float | None = None
    calm_ms: float | None = None  # boots of a minority differ since then
    backs: int = 0
    lost_ms: float | None = None  # the givers ought to be others since then

    def lead(self, now_ms: float, text: str, voters: tuple[str, ...]) -> list[Effect]:
        """Begin a term, as `Steward.lead`: nothing in this log is undecided."""
        self.rest()
        try:
            self.register = parse_register(text)
        except RegisterError as error:
            return [LogEvent("recovery not read", {"why": str(error)})]
        self.leads, self.voters, self.backs = True, voters, 0
        self._entered(now_ms)
        return []

    def rest(self) -> None:
        """End the term."""
        self.leads, self.asked, self.calm_ms = False, None, None

    def not_put(self) -> None:
        """Take that what was proposed certainly never came into the log."""
        self.asked = None

    def decided(self, now_ms: float, text: str) -> list[Effect]:
        """Take a decided register. Raises RegisterError for a malformed text; what it asked for never is."""
        register = parse_register(text)
        if not self.leads or register.number <= self.register.number:
            return []
        before, self.register, self.asked = self.register, register, None
        if (register.cut, register.stage) != (before.cut, before.stage):
            self.backs = 0 if register.cut != before.cut else self.backs
            self._entered(now_ms)
        fields = {
            "cut": register.cut,
            "stage": RecoveryPhase(register.stage).label,
            "why": register.why,
        }
        return [LogEvent("stage", fields)]

    def _entered(self, now_ms: float) -> None:
        self.since_ms, self.good_ms, self.slow_ms = now_ms, None, None

    def tick(
        self, now_ms: float, seen: FleetObservation, boots: Mapping[str, str], fresh: bool
    ) -> list[Effect]:
        """Do what is due.

        `boots` are the boot marks of the voters that are heard, its own among them. `fresh` is `Voter.fresh`.
        """
        if not self.leads or not fresh or self.asked is not None:
            return []
        if restart_scope(True, self.voters, self.register.boots, boots) is RestartScope.FLEET:
            cut = self.register.cut + 1
            return self._put(RecoveryPhase.LISTENING, seen, boots, "power loss", cut=cut, part=1.0)
        register, stage = self.register, RecoveryPhase(self.register.stage)
        if effects := self._back(now_ms, stage, seen, boots):
            return effects
        if stage is RecoveryPhase.NORMAL:
            return self._calm(now_ms, seen, boots)
        if why := self._exit(now_ms, stage, seen):
            part = min(1.0, 1.5 * register.part) if stage >= RecoveryPhase.PRIORITY_CALLS else register.part
            part = 1.0 if stage is RecoveryPhase.COPY_REFRESH else part
            return self._put(RecoveryPhase(stage + 1), seen, boots, why, part=part)
        if abs(seen.heard - register.fronts) * 4 > max(1, register.fronts):
            return self._put(stage, seen, boots, "front ends came or went")
        if not register.deals or self._givers(seen) == register.givers:
            self.lost_ms = None
        elif self.lost_ms is None:
            self.lost_ms = now_ms
        elif now_ms - self.lost_ms >= self.timing.over_ms:
            return self._put(stage, seen, boots, "keepers came or went", anew=True)
        return []

    def _givers(self, seen: FleetObservation) -> tuple[str, ...]:
        """The members that hand out permits.

        Each change costs a wait, so replicas that come later are taken only when one is lost, or when they
        outnumber those that hand out now.
        """
        now = self.register.givers
        if not set(now) <= set(seen.givers):
            return seen.givers
        return seen.givers if len(seen.givers) > 2 * len(now) else now

    def _exit(self, now_ms: float, stage: RecoveryPhase, seen: FleetObservation) -> str:
        """Why the stage is left; empty: it is not."""
        timing, stood_ms = self.timing, now_ms - self.since_ms
        if stage is RecoveryPhase.LISTENING:
            ready = 2 * seen.heard > seen.members and seen.asked >= timing.good * seen.heard
            return "asked" if ready else "no more came" if stood_ms >= timing.listen_ms else ""
        if stage is RecoveryPhase.RETRIES:
            held = stood_ms >= timing.hold_ms * 2**self.backs if self.backs else True
            if seen.sure >= timing.good and held:
                return "keepers know all"
            return "windows are over" if stood_ms >= timing.window_ms else ""
        good = seen.first if stage is RecoveryPhase.PRIORITY_CALLS else seen.served
        self.good_ms = None if good < timing.good else now_ms if self.good_ms is None else self.good_ms
        if self.good_ms is not None and now_ms - self.good_ms >= timing.hold_ms * 2**self.backs:
            return "served"
        late = stood_ms >= timing.most_ms * 2**self.backs and self.slow_ms is None
        return "takes long, and nothing is crowded" if late else ""

    def _back(
        self, now_ms: float, stage: RecoveryPhase, seen: FleetObservation, boots: Mapping[str, str]
    ) -> list[Effect]:
        slow = seen.slow >= self.timing.slow
        self.slow_ms = None if not slow else now_ms if self.slow_ms is None else self.slow_ms
        crowded = self.slow_ms is not None and now_ms - self.slow_ms >= self.timing.over_ms
        # Calm may be crowded for other reasons than a power loss: it is stepped back only while it is new.
        new = stage is not RecoveryPhase.NORMAL or now_ms - self.since_ms < self.timing.most_ms
        if stage < RecoveryPhase.PRIORITY_CALLS or not new or not (crowded or seen.fell):
            return []
        if stage is RecoveryPhase.NORMAL and not self.register.cut:
            return []
        self.backs = min(MAX_STEPS_BACK, self.backs + 1)
        why = f"{seen.fell} scorers fell" if seen.fell else "the store is crowded"
        part = max(MIN_BUDGET_SHARE, self.register.part / 2)
        return self._put(RecoveryPhase(stage - 1), seen, boots, why, part=part)

    def _calm(self, now_ms: float, seen: FleetObservation, boots: Mapping[str, str]) -> list[Effect]:
        """In the normal state, note new boots of a minority, so that they do not add up to a power loss.

        Members of which no boot was noted are noted at once: until then a loss of theirs would not be seen.
        """
        noted = self.register.boots
        news = [n for n, mark in boots.items() if n in self.voters and noted.get(n) != mark]
        if not news:
            self.calm_ms = None
            return []
        self.calm_ms = now_ms if self.calm_ms is None else self.calm_ms
        if any(name in noted for name in news) and now_ms - self.calm_ms < self.timing.settle_ms:
            return []
        return self._put(RecoveryPhase.NORMAL, seen, boots, "boots noted", part=1.0)

    def _put(
        self,
        stage: RecoveryPhase,
        seen: FleetObservation,
        boots: Mapping[str, str],
        why: str,
        part: float | None = None,
        cut: int | None = None,
        anew: bool = False,
    ) -> list[Effect]:
        """`anew`: the givers, whose change costs a wait; else they stay from `worth` on."""
        now = self.register
        known = now.boots if cut is None else {}  # who is not heard may be in another boot by now
        marks = {n: boots.get(n, known.get(n, "")) for n in self.voters}
        begun = now.deals if cut is None else 0
        givers, deals = (seen.givers if anew or not begun else now.givers or seen.givers), begun
        if stage is RecoveryPhase.NORMAL:
            givers = ()
        elif begun:
            deals += givers != now.givers
        elif stage >= RecoveryPhase.PRIORITY_CALLS:
            deals = 2 if seen.gave else 1  # the first of the cut; where one gave before, all wait
        self.lost_ms = None if anew or not begun else self.lost_ms
        self.asked = RecoveryRegister(
            number=now.number + 1,
            cut=now.cut if cut is None else cut,
            stage=int(stage),
            part=now.part if part is None else part,
            fronts=seen.heard,
            boots={name: mark for name, mark in marks.items() if mark},
            why=why,
            givers=givers,
            deals=deals,
        )
        return [ProposeRegister(self.asked.encode())]


# --- each front end -------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class AllowedActions:
    """What a front end does now."""

    status: bool = False  # `status` is good
    repeats: bool = False  # repeats of promised calls get their answer, or are told that there is none
    classes: frozenset[str] = frozenset()  # whose new calls are taken
    loads: bool = False  # first copies, by loaders
    own_loads: bool = False  # further copies, by whoever needs them: the race
    renewal: bool = False
    spill: bool = False  # into other zones, beyond what serves no zone of its own
    part: float = 1.0  # of the fleet's budgets
    alone: bool = False


def allowed_in_phase(stage: RecoveryPhase, worths: Mapping[str, float], part: float = 1.0) -> AllowedActions:
    """What a phase allows, the same at every front end."""
    some = priority_classes(worths) if stage is RecoveryPhase.PRIORITY_CALLS else frozenset(worths)
    return AllowedActions(
        status=stage >= RecoveryPhase.PRIORITY_CALLS,
        repeats=stage >= RecoveryPhase.RETRIES,
        classes=some if stage >= RecoveryPhase.PRIORITY_CALLS else frozenset(),
        loads=stage >= RecoveryPhase.PRIORITY_CALLS,
        own_loads=stage >= RecoveryPhase.COPY_REFRESH,
        renewal=stage >= RecoveryPhase.COPY_REFRESH,
        spill=stage >= RecoveryPhase.NORMAL,
        part=part,
    )


@dataclass(slots=True)
class PhaseFollower:
    """Owns by which register this front end goes.

    An incarnation begins at listening, whatever its disk says.
    """

    timing: PhaseTiming
    began_ms: float
    register: RecoveryRegister | None = None  # the last that it was told in this life
    word_ms: float = float("-inf")  # a leader said so that long ago, counted from its own question
    lone: bool = False  # it was alone when it was last asked for its stage
    up_in: int = -1  # the cut in which it was told of calm: it went on serving through later ones

    def told(self, text: str, asked_ms: float) -> list[Effect]:
        """Take a leader's message, under its lease, that this is the last register.

        The same for the answer to a question that was asked at `asked_ms`. One with a smaller number changes
        nothing, but the message itself counts then for nothing as well.
        """
        try:
            register = parse_register(text)
        except RegisterError as error:
            return [LogEvent("recovery not read", {"why": str(error)})]
        if self.register is not None and register.number < self.register.number:
            return []
        if register.stage == RecoveryPhase.NORMAL:
            self.up_in = register.cut
        self.register, self.word_ms = register, max(self.word_ms, asked_ms)
        return []

    def stage(self, now_ms: float) -> RecoveryPhase | None:
        """The phase by which it goes; None without a leader.

        Where the normal state was the last message, it stays: a fleet without a leader is no fleet that has
        lost its power. In a recovery the last phase holds for `alone_ms`, as a new leader is on its way. What
        is safe alone stays so: a front end without a leader goes on that way until a phase allows more.
        """
        register = self.register
        if register is None:
            found = RecoveryPhase.LISTENING if now_ms - self.began_ms < self.timing.alone_ms else None
        elif register.stage == RecoveryPhase.NORMAL or now_ms - self.word_ms < self.timing.alone_ms:
            found = RecoveryPhase(register.stage)
        else:
            found = None
        self.lone = found is None or (self.lone and found < RecoveryPhase.PRIORITY_CALLS)
        return None if self.lone else found

    def dealt(self, now_ms: float) -> PermitAssignment | None:
        """How permits and scorers are divided by the register.

        None where it goes by what is heard: without a leader, in the normal state, or where nothing was told.
        """
        stage, register = self.stage(now_ms), self.register
        if stage is None or stage is RecoveryPhase.NORMAL or register is None or not register.givers:
            return None
        return PermitAssignment(register.givers, register.cut, register.deals)

    def fresh(self, now_ms: float) -> bool:
        """Whether a leader's message is recent enough."""
        return self.register is not None and now_ms - self.word_ms < self.timing.valid_ms

    def allowed(self, now_ms: float, worths: Mapping[str, float]) -> AllowedActions | None:
        """What is allowed; None without a leader.

        One that served through the power loss of others goes on, without what costs others.
        """
        stage = self.stage(now_ms)
        if stage is None:
            return None
        part = self.register.part if self.register else MIN_BUDGET_SHARE
        if not self.fresh(now_ms) and stage is not RecoveryPhase.NORMAL:
            part /= 2  # it may have been stepped back since
        if (
            self.register is not None
            and 0 <= self.up_in < self.register.cut
            and stage < RecoveryPhase.COPY_REFRESH
        ):
            return allowed_in_phase(RecoveryPhase.ALL_CALLS, worths, part)
        return allowed_in_phase(stage, worths, part)
