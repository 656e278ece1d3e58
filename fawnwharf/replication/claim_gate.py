"""Where calls wait until their promise is kept: stands between the clients' port and the table of requests.

A call whose class is kept goes on when its keepers know of it; one that was here or elsewhere before gets
that answer, joins the call under way, or is failed or turned away, each exactly once. A client that leaves
takes nothing of a promised call along: that runs on, so that the answer is there when the client comes
again.
"""

import base64
import hashlib
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from fawnwharf.interface import ClassSpec, Effect
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.requests import Call, Failed, Outcome, Rejected, RequestTable, Succeeded
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.replication.call_owner import AnswerCall, FailCall, OwnerAction, RejectCall, RunCall
from fawnwharf.replication.claims import ClaimPhase
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.replication.settings import ClaimMode, ReplicationSettings

HELD_BYTES_MOST = 8 * 1024 * 1024  # bodies of calls that wait for their keepers
HELD_MOST = 4_096
FULL_PUSHBACK_MS = 250.0
# A final answer has to be there before the client leaves: one that waits for another's call ends so long
# before, and nobody here waits for longer than till the second. The module's own ends lie between the two.
WAIT_LEAD_MS, LEAD_MS = 60.0, 20.0
WAITS = 500  # of the last calls, for operators


@dataclass(slots=True, eq=False)
class _Held:
    """One call, by whoever waits for it here."""

    name: str
    call: Call
    spec: ClassSpec
    came_ms: float
    waiting: dict[str, Callable[[Outcome], None]] = field(default_factory=dict)
    timers: dict[str, Timer] = field(default_factory=dict)
    running: bool = False
    table_key: str | None = None  # while it stands in the table


def claim_mode(spec: ClassSpec, settings: ReplicationSettings) -> ClaimMode:
    """How calls of a class are kept: as the settings say, or as its effect asks."""
    by_effect: dict[Effect, ClaimMode] = {
        Effect.AT_MOST_ONCE: "before",
        Effect.DEDUPLICATED: "after",
        Effect.IDEMPOTENT: "off",
    }
    return settings.modes.get(spec.name, by_effect[spec.effect])


def call_key(call: Call) -> str:
    """The same for each try of one thing, at every front end: its key where it has one, else its id."""
    own = call.token or call.id.hex()
    digest = hashlib.blake2b(f"{call.tenant}\0{call.class_name}\0{own}".encode(), digest_size=16).hexdigest()
    return f"{call.class_name}:{digest}"


class ClaimGate:
    """Owns the calls that are kept, from their coming to what became of them; takes and withdraws as the
    table does."""

    def __init__(
        self,
        loop: EventLoop,
        table: RequestTable,
        core: ReplicationCore,
        settings: ReplicationSettings,
        classes: dict[str, ClassSpec],
        carry_out: Callable[[list[OwnerAction]], None],
    ) -> None:
        """`carry_out` does what the core says, and brings Go, Answer, GiveUp and TurnAway back here."""
        self._loop, self._table, self._core = loop, table, core
        self._settings, self._classes, self._carry_out = settings, classes, carry_out
        self.modes = {name: claim_mode(spec, settings) for name, spec in classes.items()}
        self._numbers = itertools.count(1)
        self._bytes = 0
        self.calls: dict[str, _Held] = {}  # by the call's name
        self._by_key: dict[str, _Held] = {}  # by what the port knows them by
        self._waits: deque[float] = deque(maxlen=WAITS)  # milliseconds, of the last calls that went

    def change_rules(self, classes: dict[str, ClassSpec], modes: dict[str, ClaimMode]) -> None:
        """Other classes and modes, for calls that come from now on."""
        self._classes, self.modes = classes, modes

    # --- from the port --------------------------------------------------------------------------

    def take(self, call: Call) -> str | None:
        """As RequestTable.take: the key of a new request, None where it had its answer at once."""
        mode = self.modes[call.class_name]
        if mode == "off":
            return self._table.take(call)
        if len(self.calls) >= HELD_MOST or self._bytes + len(call.body) > HELD_BYTES_MOST:
            call.reply(Rejected(FULL_PUSHBACK_MS))
            return None
        name, key = call_key(call), f"g{next(self._numbers)}"
        held = self.calls.get(name)
        if held is None:
            spec = self._classes[call.class_name]
            held = self.calls[name] = _Held(name, call, spec, monotonic_ms())
            self._bytes += len(call.body)
            self._join(held, key, call)
            effects = self._core.begin_call(
                monotonic_ms(),
                name,
                spec.effect,
                promise_ms=spec.latency_target_ms,
                budget_ms=max(1.0, call.budget_ms - WAIT_LEAD_MS),
                dedup_ms=spec.dedup_window_ms,
                must=mode == "before",
            )
            self._carry_out(effects)
        else:
            self._join(held, key, call)
        return key if key in self._by_key else None  # an answer that was kept here has gone out already

    def _join(self, held: _Held, key: str, call: Call) -> None:
        """One more that waits for this call, for as long as it says."""
        held.waiting[key] = call.reply
        self._by_key[key] = held
        left_ms = max(1.0, call.budget_ms - LEAD_MS)
        held.timers[key] = self._loop.timers.after(left_ms, lambda: self._overdue(held, key))

    def _overdue(self, held: _Held, key: str) -> None:
        """Guards the one final answer, as the table's backstop does: it may have run."""
        if (reply := self._leave(held, key)) is not None:
            reply(Failed())

    def _leave(self, held: _Held, key: str) -> Callable[[Outcome], None] | None:
        self._by_key.pop(key, None)
        if timer := held.timers.pop(key, None):
            timer.cancel()
        reply = held.waiting.pop(key, None)
        if not held.waiting:
            self._deserted(held)
        return reply

    def withdraw(self, key: str) -> None:
        """The client waits no more."""
        held = self._by_key.get(key)
        if held is None:
            self._table.withdraw(key)
        else:
            self._leave(held, key)

    def _deserted(self, held: _Held) -> None:
        """Nobody waits for it any more."""
        if self.calls.get(held.name) is not held:
            return
        if not held.running:
            self._done(held)
            self._carry_out(self._core.client_left(monotonic_ms(), held.name))
        elif held.spec.effect is not Effect.AT_MOST_ONCE and held.table_key is not None:
            self._table.withdraw(held.table_key)
            self._done(held)
            self._carry_out(self._core.call_ended(monotonic_ms(), held.name, ClaimPhase.FAILED))

    # --- from the core --------------------------------------------------------------------------

    def apply(self, effect: RunCall | AnswerCall | FailCall | RejectCall) -> None:
        """What becomes of a call."""
        held = self.calls.get(effect.key)
        if held is None:
            return
        if isinstance(effect, RunCall):
            self._go(held)
        elif isinstance(effect, AnswerCall):
            if held.table_key is not None:  # it runs, but was answered before
                self._table.withdraw(held.table_key)
            kept = effect.answer
            self._finish(held, Failed() if kept is None else Succeeded(base64.b64decode(kept)))
        elif isinstance(effect, FailCall):
            self._finish(held, Failed())
        else:
            self._finish(held, Rejected(effect.pushback_ms))

    def _go(self, held: _Held) -> None:
        now = monotonic_ms()
        waited = now - held.came_ms
        self._waits.append(waited)
        held.running = True
        call = replace(
            held.call,
            budget_ms=max(1.0, held.call.budget_ms - waited),
            reply=lambda outcome: self._outcome(held, outcome),
        )
        held.table_key = self._table.take(call)

    def _outcome(self, held: _Held, outcome: Outcome) -> None:
        """The table's final answer: the keepers are told, and so is everybody who waits here."""
        held.table_key = None
        digest, answer = "", None
        if isinstance(outcome, Succeeded):
            phase = ClaimPhase.ANSWERED
            digest = hashlib.blake2b(outcome.body, digest_size=16).hexdigest()
            if len(outcome.body) <= self._settings.limits.max_single_answer_bytes:
                answer = base64.b64encode(outcome.body).decode()
        else:
            phase = ClaimPhase.RELEASED if isinstance(outcome, Rejected) else ClaimPhase.FAILED
        self._finish(held, outcome)
        self._carry_out(self._core.call_ended(monotonic_ms(), held.name, phase, digest, answer))

    def _done(self, held: _Held) -> None:
        if self.calls.pop(held.name, None) is not None:
            self._bytes -= len(held.call.body)

    def _finish(self, held: _Held, outcome: Outcome) -> None:
        self._done(held)
        for key, reply in list(held.waiting.items()):
            self._by_key.pop(key, None)
            held.timers.pop(key).cancel()
            reply(outcome)
        held.waiting.clear()

    def wait_percentiles_ms(self) -> tuple[float, float]:
        """How long the last calls waited before they went: the median and the 99th percentile, in ms."""
        ranked = sorted(self._waits)
        if not ranked:
            return 0.0, 0.0
        return round(ranked[len(ranked) // 2], 2), round(
            ranked[min(len(ranked) - 1, len(ranked) * 99 // 100)], 2
        )

    @property
    def busy(self) -> bool:
        """Whether somebody still waits for an answer."""
        return bool(self._by_key)
