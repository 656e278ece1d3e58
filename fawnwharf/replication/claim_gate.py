"""The gate where calls wait for their claims, between the client port and the request table.

A call of a claimed class proceeds when a quorum of its replicas has granted it. A repeat of an earlier call,
made here or at another front end, gets the stored answer, waits for the running call, fails, or is rejected.
Each client gets exactly one reply. When its last client leaves, a call is withdrawn. Only an attempt of an
at-most-once call that is out already may complete, so that its answer is stored when the client retries.
"""

import base64
import hashlib
import itertools
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from fawnwharf.interface import ClassSpec, DeduplicationGroup, Effect
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.requests import Call, Failed, Outcome, Rejected, RequestTable, Succeeded
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.replication.call_identity import call_content, call_key
from fawnwharf.replication.call_owner import (
    AnswerCall,
    FailCall,
    LimitRun,
    OwnerAction,
    RejectCall,
    RunCall,
)
from fawnwharf.replication.claims import ClaimPhase
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.replication.counters import ReplicationCounter
from fawnwharf.replication.owned_call import CallTerms
from fawnwharf.replication.settings import ClaimMode, ReplicationSettings

MAX_HELD_BYTES = 8 * 1024 * 1024  # bodies of calls that wait for their claims
MAX_HELD_CALLS = 4_096
OVERLOAD_PUSHBACK_MS = 250.0
KEY_IN_USE_PUSHBACK_MS = 250.0
# The final reply must reach the client before its deadline. A call that waits for another owner ends
# WAIT_MARGIN_MS before the deadline, and every call ends at the latest DEADLINE_MARGIN_MS before it. The
# decision module ends calls between these two times.
WAIT_MARGIN_MS, DEADLINE_MARGIN_MS = 60.0, 20.0
MAX_WAIT_SAMPLES = 500  # the latest calls, for the percentiles shown to operators

CallAction = RunCall | LimitRun | AnswerCall | FailCall | RejectCall
MODE_BY_EFFECT: dict[Effect, ClaimMode] = {
    Effect.AT_MOST_ONCE: "before",
    Effect.DEDUPLICATED: "after",
    Effect.IDEMPOTENT: "off",
}


class WaitingClient(NamedTuple):
    """A client that waits for a call: its reply, and the check whether it has ended."""

    reply: Callable[[Outcome], None]
    check: Callable[[], None]


@dataclass(slots=True, eq=False)
class HeldCall:
    """One call and all clients that wait for it here."""

    key: str
    content: str
    call: Call
    effect: Effect
    arrived_ms: float
    waiting: dict[str, WaitingClient] = field(default_factory=dict)  # by port key
    timers: dict[str, Timer] = field(default_factory=dict)
    running: bool = False
    table_key: str | None = None  # set while the call is in the request table
    begin_by_ms: float = math.inf  # on the monotonic clock; no attempt may begin later


def fleet_effect(spec: ClassSpec) -> Effect:
    """The effect of a second run of a class's call by another front end.

    A front end sends the attempts of one request to scorers that drop each other's duplicates. It does not
    know to which scorers another one has sent a call. So unless all scorers drop each other's duplicates, it
    must not run that call again.
    """
    is_shared = spec.group is DeduplicationGroup.ALL
    return Effect.AT_MOST_ONCE if spec.effect is Effect.DEDUPLICATED and not is_shared else spec.effect


def claim_mode(spec: ClassSpec, settings: ReplicationSettings) -> ClaimMode:
    """How calls of a class are claimed: by the settings, else by the default for its effect."""
    return settings.modes.get(spec.name, MODE_BY_EFFECT[fleet_effect(spec)])


class ClaimGate:
    """Manages claimed calls from arrival to result; has the interface of the request table."""

    def __init__(
        self,
        loop: EventLoop,
        table: RequestTable,
        core: ReplicationCore,
        settings: ReplicationSettings,
        classes: dict[str, ClassSpec],
        carry_out: Callable[[list[OwnerAction]], None],
    ) -> None:
        """`carry_out` executes the core's actions and passes those that concern calls to `apply`."""
        self._loop, self._table, self._core = loop, table, core
        self._settings, self._classes, self._carry_out = settings, classes, carry_out
        self.modes = {name: claim_mode(spec, settings) for name, spec in classes.items()}
        self._numbers = itertools.count(1)
        self._held_bytes = 0
        self.calls: dict[str, HeldCall] = {}  # by call key
        self._by_port_key: dict[str, HeldCall] = {}
        self._waits_ms: deque[float] = deque(maxlen=MAX_WAIT_SAMPLES)  # of the latest calls that ran
        self._answer_by_ms = math.inf  # on the monotonic clock; the end of a graceful shutdown

    def change_rules(self, classes: dict[str, ClassSpec], modes: dict[str, ClaimMode]) -> None:
        """Replace the classes and modes for calls that arrive from now on."""
        self._classes, self.modes = classes, modes

    def shut_down(self, within_ms: float) -> None:
        """Answer all calls within this time from now, open ones and those still to arrive."""
        self._answer_by_ms = min(self._answer_by_ms, monotonic_ms() + within_ms)
        self._loop.timers.after(max(1.0, within_ms - DEADLINE_MARGIN_MS), self._fail_waiting)

    def _fail_waiting(self) -> None:
        """Fail the calls that still wait: another owner may be running them."""
        for port_key, held in list(self._by_port_key.items()):
            self._deadline_passed(held, port_key)

    def _remaining_ms(self, call: Call) -> float:
        """How long a call that arrives now may wait for its answer."""
        return max(1.0, min(call.budget_ms, self._answer_by_ms - monotonic_ms()))

    # --- from the client port -----------------------------------------------------------------

    def take(self, call: Call) -> str | None:
        """Accept a call, as the request table does; returns its key, or None if it was answered at once."""
        mode = self.modes[call.class_name]
        if mode == "off":
            return self._table.take(call)
        if len(self.calls) >= MAX_HELD_CALLS or self._held_bytes + len(call.body) > MAX_HELD_BYTES:
            call.reply(Rejected(OVERLOAD_PUSHBACK_MS))
            return None
        key, port_key = call_key(call), f"g{next(self._numbers)}"
        held = self.calls.get(key)
        if held is None:
            self._hold(key, port_key, call, mode)
        elif held.content == call_content(call):
            self._add_client(held, port_key, call)
        else:
            self._reject_key_in_use(call)
        return port_key if port_key in self._by_port_key else None  # a stored answer was already sent

    def _reject_key_in_use(self, call: Call) -> None:
        """Reject a call that has the key of an open one but asks for something else: it does not run."""
        self._core.call_owner.counts[ReplicationCounter.REJECTED_KEY_IN_USE] += 1
        call.reply(Rejected(KEY_IN_USE_PUSHBACK_MS))

    def _hold(self, key: str, port_key: str, call: Call, mode: ClaimMode) -> None:
        """Hold a new call and request its claim."""
        spec = self._classes[call.class_name]
        # In mode `after` a call runs without a claim, and only the scorers' window limits its repeats.
        effect = fleet_effect(spec) if mode == "before" else spec.effect
        held = self.calls[key] = HeldCall(key, call_content(call), call, effect, monotonic_ms())
        self._held_bytes += len(call.body)
        self._add_client(held, port_key, call)
        terms = CallTerms(
            effect,
            latency_target_ms=spec.latency_target_ms,
            budget_ms=max(1.0, self._remaining_ms(call) - WAIT_MARGIN_MS),
            dedup_window_ms=spec.dedup_window_ms,
            claim_required=mode == "before",
            content=held.content,
        )
        self._carry_out(self._core.begin_call(monotonic_ms(), key, terms))

    def _add_client(self, held: HeldCall, port_key: str, call: Call) -> None:
        """Add a client that waits for this call until its own deadline, or the end of a shutdown."""
        held.waiting[port_key] = WaitingClient(call.reply, call.check_client)
        self._by_port_key[port_key] = held
        remaining_ms = max(1.0, self._remaining_ms(call) - DEADLINE_MARGIN_MS)
        held.timers[port_key] = self._loop.timers.after(
            remaining_ms, lambda: self._deadline_passed(held, port_key)
        )

    def _deadline_passed(self, held: HeldCall, port_key: str) -> None:
        """Fail the call for this client at its deadline: the call may have run."""
        if (client := self._remove_waiting(held, port_key)) is not None:
            client.reply(Failed())

    def _remove_waiting(self, held: HeldCall, port_key: str) -> WaitingClient | None:
        self._by_port_key.pop(port_key, None)
        if timer := held.timers.pop(port_key, None):
            timer.cancel()
        client = held.waiting.pop(port_key, None)
        if not held.waiting:
            self._last_client_left(held)
        return client

    def withdraw(self, key: str) -> None:
        """Withdraw a call whose client left, as the request table does."""
        held = self._by_port_key.get(key)
        if held is None:
            self._table.withdraw(key)
        else:
            self._remove_waiting(held, key)

    def _last_client_left(self, held: HeldCall) -> None:
        """Release or withdraw a call for which no client waits any more."""
        if self.calls.get(held.key) is not held:
            return
        if not held.running:
            self._remove(held)
            self._carry_out(self._core.client_left(monotonic_ms(), held.key))
        elif held.effect is Effect.AT_MOST_ONCE:
            self._withdraw_unsent(held)
        elif held.table_key is not None:
            self._withdraw(held, held.table_key, ClaimPhase.FAILED)

    def _withdraw_unsent(self, held: HeldCall) -> None:
        """Withdraw an at-most-once call that no client waits for, unless an attempt of it is out.

        The attempt may have ended in this iteration of the loop, before the router has failed the call.
        """
        key = held.table_key
        if key is None or self._table.has_attempt_out(key):
            return
        phase = ClaimPhase.FAILED if self._table.may_have_run(key) else ClaimPhase.RELEASED
        self._withdraw(held, key, phase)

    def _withdraw(self, held: HeldCall, table_key: str, phase: ClaimPhase) -> None:
        self._table.withdraw(table_key)
        self._remove(held)
        self._carry_out(self._core.call_ended(monotonic_ms(), held.key, phase))

    def _before_attempt(self, held: HeldCall) -> None:
        """Called before each attempt and load order: removes clients that have ended.

        Without any client, or after its window, no further attempt is sent.
        """
        for client in list(held.waiting.values()):
            client.check()
        if self.calls.get(held.key) is not held:
            return
        if held.waiting:
            self._check_window(held)
        else:
            self._withdraw_unsent(held)

    # --- from the core ------------------------------------------------------------------------

    def apply(self, action: CallAction) -> None:
        """Run, answer, fail or reject a call."""
        held = self.calls.get(action.key)
        if held is None:
            return
        if isinstance(action, RunCall):
            self._run(held, action.window_ms)
        elif isinstance(action, LimitRun):
            self._limit(held, action.window_ms)
        elif isinstance(action, AnswerCall):
            if held.table_key is not None:  # it is running, but was answered elsewhere
                self._table.withdraw(held.table_key)
            answer = action.answer
            self._finish(held, Failed() if answer is None else Succeeded(base64.b64decode(answer)))
        elif isinstance(action, FailCall):
            self._finish(held, Failed())
        else:
            self._finish(held, Rejected(action.pushback_ms))

    def _run(self, held: HeldCall, window_ms: float) -> None:
        waited_ms = monotonic_ms() - held.arrived_ms
        self._waits_ms.append(waited_ms)
        held.running = True
        call = replace(
            held.call,
            budget_ms=max(1.0, held.call.budget_ms - waited_ms),
            reply=lambda outcome: self._call_ended(held, outcome),
            check_client=lambda: self._before_attempt(held),
        )
        held.table_key = self._table.take(call)
        self._limit(held, window_ms)

    def _limit(self, held: HeldCall, window_ms: float) -> None:
        """Let no attempt begin later than `window_ms` from now, as an earlier one may have run."""
        begin_by_ms = monotonic_ms() + window_ms
        if held.table_key is None or begin_by_ms >= held.begin_by_ms:
            return
        held.begin_by_ms = begin_by_ms
        self._table.limit_begin(held.table_key, begin_by_ms)
        self._loop.timers.after(max(0.0, window_ms), lambda: self._check_window(held))

    def _check_window(self, held: HeldCall) -> None:
        """Fail a call that may not be sent any more, unless an attempt of it is out."""
        key = held.table_key
        if key is None or monotonic_ms() < held.begin_by_ms or self._table.has_attempt_out(key):
            return
        self._table.withdraw(key)
        held.table_key = None
        self._finish(held, Failed())
        self._carry_out(self._core.call_ended(monotonic_ms(), held.key, ClaimPhase.FAILED))

    def _call_ended(self, held: HeldCall, outcome: Outcome) -> None:
        """Pass the table's outcome to all waiting clients and report it to the replicas."""
        key, held.table_key = held.table_key, None
        digest, answer = "", None
        if isinstance(outcome, Succeeded):
            phase = ClaimPhase.ANSWERED
            digest = hashlib.blake2b(outcome.body, digest_size=16).hexdigest()
            if len(outcome.body) <= self._settings.limits.max_single_answer_bytes:
                answer = base64.b64encode(outcome.body).decode()
        else:
            never_ran = isinstance(outcome, Rejected) and (key is None or not self._table.may_have_run(key))
            phase = ClaimPhase.RELEASED if never_ran else ClaimPhase.FAILED
        self._finish(held, outcome)
        self._carry_out(self._core.call_ended(monotonic_ms(), held.key, phase, digest, answer))

    def _remove(self, held: HeldCall) -> None:
        if self.calls.pop(held.key, None) is not None:
            self._held_bytes -= len(held.call.body)

    def _finish(self, held: HeldCall, outcome: Outcome) -> None:
        self._remove(held)
        for port_key, client in list(held.waiting.items()):
            self._by_port_key.pop(port_key, None)
            held.timers.pop(port_key).cancel()
            client.reply(outcome)
        held.waiting.clear()

    def wait_percentiles_ms(self) -> tuple[float, float]:
        """How long the latest calls waited before they ran: median and 99th percentile."""
        ranked = sorted(self._waits_ms)
        if not ranked:
            return 0.0, 0.0
        index_99 = min(len(ranked) - 1, len(ranked) * 99 // 100)
        return round(ranked[len(ranked) // 2], 2), round(ranked[index_99], 2)

    @property
    def busy(self) -> bool:
        """Whether a client still waits for an answer."""
        return bool(self._by_port_key)
