"""Where calls are let in while the fleet returns: a table between the clients' port and what stands below.

By the stage that is allowed: repeats of promised calls, classes worth most, calls whose function has a copy,
and calls to cold scorers by tickets. The rest is refused at once, with the time before which nothing can be
free as advice; a call is held only while its promise may still be kept. Whatever comes, each call has one
final answer.
"""

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from fawnwharf.interface import ClassSpec, Effect
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.requests import Call, Outcome, Rejected
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.recovery_core import partitioned
from fawnwharf.recovery_core.budget import AdmissionRateLimiter, FleetLimits, priority_classes
from fawnwharf.recovery_core.phases import AllowedActions
from fawnwharf.recovery_service.actions import CopyAvailable, SlowStartPermit
from fawnwharf.recovery_service.permit_issuing import PermitIssuer
from fawnwharf.replication.claim_gate import ClaimGate, call_key
from fawnwharf.replication.claims import ClaimPhase
from fawnwharf.replication.core import ReplicationCore

MAX_WAITING_CALLS, MAX_WAITING_BYTES = 4_096, 8 * 1024 * 1024
WAIT_FRACTION, CLIENT_MARGIN_MS = (
    0.6,
    100.0,
)  # of a promise; and so long before the client gives up, at the least
RESERVED_FRACTION = 0.3  # of the burst, for the classes worth most
CLASS_REJECTED_MS = 1_000.0  # a class that is not taken yet: not before
MAX_RATES, RATE_MS = 4_096, 5_000.0  # functions whose calls are counted, and for how long


class RequestSink(Protocol):
    """What takes calls and withdraws them: the table, or what stands before it."""

    def take(self, call: Call) -> str | None: ...

    def withdraw(self, key: str) -> None: ...


class ClaimStatus(Protocol):
    def repeat(self, call: Call) -> bool:
        """Whether a call has its answer, or none for good, by what is kept here."""

    def asks(self, class_name: str) -> bool:
        """Whether calls of the class run only with their keepers' grants."""


class NoClaims:
    """Where there is no gate."""

    def repeat(self, call: Call) -> bool:
        return False

    def asks(self, class_name: str) -> bool:
        return False


class StoredClaims:
    """What the gate and this front end's own shelf tell of a call, without asking anybody."""

    def __init__(self, gate: ClaimGate, core: ReplicationCore) -> None:
        self._gate, self._core = gate, core

    def repeat(self, call: Call) -> bool:
        """It is under way here; or it was answered; or it may run but once, and may have. One that is kept by
        others alone can't be told from a new one."""
        if self._gate.modes.get(call.class_name, "off") == "off":
            return False
        name, keeper = call_key(call), self._core.replica
        if name in self._gate.calls:
            return True
        entry = keeper.claim_store.calls.get(name) if keeper else None
        claims = entry.active_claims() if entry else []
        if any(claim.phase is ClaimPhase.ANSWERED for claim in claims):
            return True
        return bool(claims) and self._gate.modes[call.class_name] == "before"

    def asks(self, class_name: str) -> bool:
        return self._gate.modes.get(class_name) == "before"


@dataclass(slots=True, eq=False)
class _WaitingCall:
    """One call that was not let through at once, to its end."""

    key: str
    call: Call
    reply: Callable[[Outcome], None]
    came_ms: float
    until_ms: float
    end: Timer | None = None
    turn: Timer | None = None
    ticket: bool = False  # it waits for one
    passed: bool = False
    below: str | None = None  # as what stands below knows it


class RecoveryAdmission:
    """Owns the calls that wait here for a copy, a ticket or a turn; takes and withdraws as the table does."""

    def __init__(
        self,
        loop: EventLoop,
        below: RequestSink,
        classes: dict[str, ClassSpec],
        limits: FleetLimits,
        promises: ClaimStatus | None = None,
        window_ms: float = 13_500.0,
        clock: Callable[[], float] = monotonic_ms,
    ) -> None:
        """`window_ms`: for so long after a start a repeat of a keyed call may come that its scorer forgot."""
        self._loop, self.below, self._classes, self._clock = loop, below, classes, clock
        self._promises = promises or NoClaims()
        self._window_ms, self._began_ms = window_ms, clock()
        self.open = False  # calm: all is passed on as it comes
        self.doors = AdmissionRateLimiter(limits, refilled_ms=clock())
        self.counts: dict[str, int] = {}
        self._since: dict[str, int] = {}
        self._may = AllowedActions()
        self._giving: PermitIssuer | None = None
        self._first = frozenset[str]()
        self._numbers = itertools.count(1)
        self._held: dict[str, _WaitingCall] = {}
        self._bytes = 0
        self._rows: dict[str, dict[str, None]] = {}  # keys that wait for a function's copy
        self._rates: dict[str, list[float]] = {}  # functions: since when, worth

    def _count(self, cause: str) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + 1
        if not self.open:
            self._since[cause] = self._since.get(cause, 0) + 1

    def since(self) -> dict[str, int]:
        """What became of calls since the last such question, by cause; how many are held now. Nothing while
        it is open."""
        found, self._since = self._since, {}
        return found | {"held": len(self._held)} if found else {}

    def go_by(self, allowed: AllowedActions, rate_ps: float, giving: PermitIssuer | None) -> None:
        """To be told at each change. `rate_ps`: calls a second that are let in here."""
        now = self._clock()
        self._may, self._giving, self.open = allowed, giving, allowed.spill
        self._first = priority_classes({name: spec.priority_weight for name, spec in self._classes.items()})
        self.doors.set_rate(now, rate_ps)
        for held in [held for held in self._held.values() if not held.passed]:
            if self.open:
                self._pass(held)
            elif not self._takes(held.call.class_name):
                self._refuse(held, CLASS_REJECTED_MS)
        if self.open:
            self._rates.clear()
        for row in list(self._rows) if allowed.own_loads else ():  # the module orders what they need
            self.told(CopyAvailable(row))

    # --- from the port ----------------------------------------------------------------------------

    def take(self, call: Call) -> str | None:
        """As RequestTable.take: the key of a new request, None where it had its answer at once."""
        if self.open:
            return self.below.take(call)
        return self._weigh(call)

    def withdraw(self, key: str) -> None:
        """The client waits no more."""
        held = self._held.get(key) if self._held else None
        if held is None:
            self.below.withdraw(key)
        else:
            self._end(held)
            if held.below is not None:
                self.below.withdraw(held.below)

    @property
    def busy(self) -> bool:
        """Whether somebody still waits for an answer."""
        return bool(self._held) or getattr(self.below, "busy", False)

    # --- what becomes of a call -------------------------------------------------------------------

    def _takes(self, class_name: str) -> bool:
        """Alone only what stays right if all others serve as well."""
        if class_name not in self._may.classes:
            return False
        if not self._may.alone:
            return True
        effect = self._classes[class_name].effect
        granted = effect is Effect.AT_MOST_ONCE and self._promises.asks(class_name)  # its keepers are asked
        standing = partitioned.CallKnowledge(granted=granted, since_start_ms=self._clock() - self._began_ms)
        return partitioned.decide_call(effect, standing, self._window_ms) is partitioned.CallDecision.SERVE

    def _weigh(self, call: Call) -> str | None:
        now = self._clock()
        if self._may.repeats and self._promises.repeat(call):
            self._count("repeats")
            return self.below.take(call)
        if not self._takes(call.class_name):
            return self._turn_away(call, "class", CLASS_REJECTED_MS)
        hold_ms = min(
            WAIT_FRACTION * self._classes[call.class_name].latency_target_ms,
            call.budget_ms - CLIENT_MARGIN_MS,
        )
        bare = self._bare(call.function)
        if bare:
            self._want(now, call)
            if (eta_ms := self._giving.eta_ms(now, call.function)) > hold_ms:
                return self._turn_away(call, "copy", eta_ms)
        if not self.doors.try_admit(now, 0.0 if call.class_name in self._first else RESERVED_FRACTION):
            return self._turn_away(call, "pace")
        if len(self._held) >= MAX_WAITING_CALLS or self._bytes + len(call.body) > MAX_WAITING_BYTES:
            return self._turn_away(call, "room")
        return self._place(now, call, hold_ms)

    def _turn_away(self, call: Call, cause: str, not_before_ms: float = 0.0) -> None:
        self._count(f"refused: {cause}")
        call.reply(Rejected(self.doors.retry_after_ms(self._clock(), call.id.hex(), not_before_ms)))

    def _bare(self, row: str) -> bool:
        """No copy of it stands, and the module may order none."""
        return self._giving is not None and not self._may.own_loads and self._giving.place(row) is None

    def _want(self, now: float, call: Call) -> None:
        """Its loader is to know, by what its calls of the last seconds were worth."""
        worth = self._classes[call.class_name].priority_weight
        rate = self._rates.get(call.function)
        if rate is None or now - rate[0] > RATE_MS:
            if rate is None and len(self._rates) >= MAX_RATES:
                self._rates.clear()  # they are counted anew
            rate = self._rates[call.function] = [now, 0.0]
        rate[1] += worth
        worth_ps = 1_000.0 * rate[1] / max(1_000.0, now - rate[0])
        row, kind = call.function, call.class_name
        self._giving.want(now, row, worth_ps, kind, call.lanes, call.load_ms)

    def _place(self, now: float, call: Call, hold_ms: float) -> str | None:
        """It may go as far as its class and the pace have it: to its copy, at once or when there is one."""
        key, row = f"d{next(self._numbers)}", call.function
        bare, free_ms = self._bare(row), None
        if not bare:
            free_ms = self._ask(now, row, key)
            if free_ms == 0.0:
                self._count("let in")
                return self.below.take(call)
            if free_ms is not None and free_ms > hold_ms:
                return self._turn_away(call, "ticket", free_ms)
        held = self._held[key] = _WaitingCall(key, call, call.reply, now, now + hold_ms)
        self._bytes += len(call.body)
        call.reply = lambda outcome: self._replied(held, outcome)
        held.end = self._loop.timers.after(hold_ms, lambda: self._overdue(held))
        if bare:
            self._rows.setdefault(row, {})[key] = None
        elif free_ms is None:
            held.ticket = True
        else:
            held.turn = self._loop.timers.after(free_ms, lambda: self._try(held))
        return key

    def _ask(self, now: float, row: str, key: str) -> float | None:
        """As Giving.ask, at the place of its copy."""
        place = self._giving.place(row) if self._giving is not None else None
        return 0.0 if place is None else self._giving.ask(now, place, key)

    def _try(self, held: _WaitingCall) -> None:
        """Pass it on, or have it wait for what it lacks, or refuse it, if that comes too late."""
        now, row = self._clock(), held.call.function
        left_ms = held.until_ms - now
        if self._bare(row):
            self._want(now, held.call)
            if (eta_ms := self._giving.eta_ms(now, row)) > left_ms:
                self._refuse(held, eta_ms)
            else:
                self._rows.setdefault(row, {})[held.key] = None
            return
        free_ms = self._ask(now, row, held.key)
        held.ticket = free_ms is None
        if free_ms is not None:
            self._turn(held, free_ms)

    def _turn(self, held: _WaitingCall, free_ms: float) -> None:
        if free_ms <= 0.0:
            self._pass(held)
        elif free_ms > held.until_ms - self._clock():
            self._refuse(held, free_ms)
        else:
            held.turn = self._loop.timers.after(free_ms, lambda: self._try(held))

    def _overdue(self, held: _WaitingCall) -> None:
        now, row = self._clock(), held.call.function
        self._refuse(held, self._giving.eta_ms(now, row) if self._bare(row) else 0.0)

    def told(self, out: SlowStartPermit | CopyAvailable) -> None:
        """What `Giving` says of calls that wait here."""
        if isinstance(out, CopyAvailable):
            for key in self._rows.pop(out.row, ()):
                if (held := self._held.get(key)) is not None:
                    self._try(held)
        elif (held := self._held.get(out.key)) is not None and held.ticket:
            held.ticket = False
            self._turn(held, out.free_ms)

    def _pass(self, held: _WaitingCall) -> None:
        if held.key not in self._held:
            return
        self._rest(held)
        held.call.budget_ms = max(1.0, held.call.budget_ms - (self._clock() - held.came_ms))
        held.passed = True
        self._count("let in after a wait")
        held.below = self.below.take(held.call)
        if held.below is None:  # it was answered at once
            self._end(held)

    def _refuse(self, held: _WaitingCall, not_before_ms: float) -> None:
        """It never went further than here, so that to try again is harmless."""
        self._count("refused: waited")
        wait_ms = self.doors.retry_after_ms(self._clock(), held.call.id.hex(), not_before_ms)
        self._replied(held, Rejected(wait_ms))

    def _replied(self, held: _WaitingCall, outcome: Outcome) -> None:
        if self._end(held):
            held.reply(outcome)

    def _rest(self, held: _WaitingCall) -> None:
        """It waits for nothing here any more."""
        for timer in (held.end, held.turn):
            if timer is not None:
                timer.cancel()
        held.end = held.turn = None
        if held.ticket and self._giving is not None:
            self._giving.drop(held.key)
        held.ticket = False
        if (keys := self._rows.get(held.call.function)) is not None:
            keys.pop(held.key, None)
            if not keys:
                del self._rows[held.call.function]

    def _end(self, held: _WaitingCall) -> bool:
        """Once each."""
        if self._held.pop(held.key, None) is None:
            return False
        self._bytes -= len(held.call.body)
        self._rest(held)
        return True
