"""Binds each call to the policy that applies when it arrives.

`CallPolicyBinding` receives calls before the request table or the replication gate. A call is bound to the
current policy when it is submitted and keeps that policy until its final answer, even if the policy changes
meanwhile. The policy's deadline limits the call's budget.

The decision module applies the version of a class that is current when a call reaches it. If the class
changed while a call waited in the replication gate, the call is passed on between two class changes: one to
the version that the call is bound to, and one back to the current version.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from fawnwharf import interface as io
from fawnwharf.net.requests import Call, Outcome, Rejected
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.policy_rollout.document import Document
from fawnwharf.policy_rollout.messages import ActivePolicy

# A call that arrives before a leader has sent the policy in force waits for at most this fraction of its
# budget and at most `MAX_WAIT_MS`; then it is rejected.
MAX_WAIT_FRACTION_OF_BUDGET = 0.5
MAX_WAIT_MS = 2_000.0
MAX_WAITING_CALLS = 1_024
MAX_WAITING_BYTES = 8 * 1024 * 1024
PUSHBACK_MS = 250.0  # how long the client of a rejected call must wait before it retries


class CallTable(Protocol):
    """Where calls are submitted and cancelled: `net.requests.RequestTable`, or a layer in front of it."""

    def take(self, call: Call) -> str | None:
        """Submit a call; returns the key to cancel it, or None if it was answered at once."""
        ...

    def withdraw(self, key: str) -> None:
        """Cancel a submitted call by its key, because its client no longer waits."""
        ...


class PolicySource(Protocol):
    """The source of the current policy, to which calls are bound."""

    def bind(self, call: str) -> ActivePolicy:
        """Bind a call to the current policy, which applies until the call ends."""
        ...

    def release_call(self, call: str) -> None:
        """Forget the policy of a call that has ended or that waits without a policy."""
        ...

    def record_call_end(self, call: bytes, policy: ActivePolicy, bound_unix_ms: float) -> None:
        """Record the end of a call, given by the client's id; `bound_unix_ms` is when it was bound."""
        ...


@dataclass(slots=True, eq=False)
class _BoundCall:
    """One open call. It waits, without an applicable policy, while the policy in force is not known."""

    call: Call
    reply: Callable[[Outcome], None]
    policy: ActivePolicy
    bound_unix_ms: float  # Unix time at which the call was bound to its policy
    arrival_ms: float  # monotonic time
    key: str | None = None  # the call's key in the inner table
    timer: Timer | None = None  # rejects the call when it has waited too long


class CallPolicyBinding:
    """Owns the binding of each open call to its policy, from the call's arrival to its end."""

    def __init__(
        self,
        inner: CallTable,
        policies: PolicySource,
        unix_ms: Callable[[], float],
        after: Callable[[float, Callable[[], None]], Timer],
    ) -> None:
        """`inner` receives the bound calls, `unix_ms` reads the clock, `after` starts a timer."""
        self.inner = inner
        self._policies = policies
        self._unix_ms = unix_ms
        self._after = after
        self._open: dict[str, _BoundCall] = {}
        self._waiting: dict[str, _BoundCall] = {}
        self._waiting_bytes = 0
        self._last_key = 0
        self._last_policy: ActivePolicy | None = None  # the policy of the last submitted call
        self._deadline_ms_by_class: dict[str, float] = {}  # the deadlines in `_last_policy`

    def __len__(self) -> int:
        return len(self._open)

    @property
    def waiting(self) -> int:
        """The number of calls that wait until the policy in force is known."""
        return len(self._waiting)

    def take(self, call: Call) -> str | None:
        """Bind a call to a policy and submit it; returns the key to cancel it, or None if it was answered."""
        self._last_key += 1
        key = f"p{self._last_key}"
        bound_unix_ms = self._unix_ms()
        policy = self._policies.bind(key)
        bound = _BoundCall(call, call.reply, policy, bound_unix_ms, monotonic_ms())
        self._open[key] = bound
        call.reply = lambda outcome: self._reply(key, outcome)
        if policy.basis != "waiting":
            self._submit(key, bound)
        elif self._has_capacity_for(call):
            self._enqueue(key, bound)
        else:
            call.reply(Rejected(PUSHBACK_MS))
        return key if key in self._open else None

    def _has_capacity_for(self, call: Call) -> bool:
        """Whether this call may wait, by the number of waiting calls and their bytes."""
        if len(self._waiting) >= MAX_WAITING_CALLS:
            return False
        return self._waiting_bytes + len(call.body) <= MAX_WAITING_BYTES

    def _enqueue(self, key: str, bound: _BoundCall) -> None:
        """Queue a call until the policy in force is known, or until it has waited too long."""
        call = bound.call
        self._policies.release_call(key)
        self._waiting[key] = bound
        self._waiting_bytes += len(call.body)
        wait_ms = min(MAX_WAIT_MS, MAX_WAIT_FRACTION_OF_BUDGET * call.budget_ms)
        bound.timer = self._after(wait_ms, lambda: call.reply(Rejected(PUSHBACK_MS)))

    def _submit(self, key: str, bound: _BoundCall) -> None:
        """Submit a call to the inner table, with the deadline of its policy."""
        call = bound.call
        call.context = bound.policy
        if bound.policy is not self._last_policy:
            self._last_policy = bound.policy
            self._deadline_ms_by_class = _deadlines_by_class(bound.policy.document)
        deadline_ms = self._deadline_ms_by_class.get(call.class_name)
        if deadline_ms is not None:
            call.budget_ms = min(call.budget_ms, deadline_ms)
        bound.key = self.inner.take(call)
        if bound.key is None:  # the call was answered at once, or the inner table dropped it
            self._release(key)

    def submit_waiting(self) -> None:
        """Bind the waiting calls to the policy that is now known, and submit them to the inner table."""
        for key, bound in list(self._waiting.items()):
            if key not in self._waiting:  # submitting an earlier call may have released all others
                continue
            self._stop_waiting(key, bound)
            bound.bound_unix_ms = self._unix_ms()
            bound.policy = self._policies.bind(key)
            waited_ms = monotonic_ms() - bound.arrival_ms
            bound.call.budget_ms = max(1.0, bound.call.budget_ms - waited_ms)
            self._submit(key, bound)

    def reject_waiting(self) -> None:
        """Reject the waiting calls because this front end stops; clients may retry at another one."""
        for bound in list(self._waiting.values()):
            bound.call.reply(Rejected(PUSHBACK_MS))

    def _stop_waiting(self, key: str, bound: _BoundCall) -> None:
        if self._waiting.pop(key, None) is None:
            return
        self._waiting_bytes -= len(bound.call.body)
        if bound.timer is not None:
            bound.timer.cancel()

    def withdraw(self, key: str) -> None:
        """Cancel a call by its key, here and in the inner table; an unknown key changes nothing."""
        bound = self._release(key)
        if bound is not None and bound.key is not None:
            self.inner.withdraw(bound.key)

    def _reply(self, key: str, outcome: Outcome) -> None:
        bound = self._release(key)
        if bound is not None:
            bound.reply(outcome)

    def _release(self, key: str) -> _BoundCall | None:
        """Remove a call, release its policy and record its end; None if the call is unknown."""
        bound = self._open.pop(key, None)
        if bound is None:
            return None
        self._stop_waiting(key, bound)
        self._policies.release_call(key)
        self._policies.record_call_end(bound.call.id, bound.policy, bound.bound_unix_ms)
        return bound


def _deadlines_by_class(document: Document) -> dict[str, float]:
    """The deadlines in a document by class, in milliseconds."""
    return {
        path[1]: float(value)
        for path, value in document.values
        if path[0] == "classes" and path[-1] == "give_up_ms"
    }


def class_spec_for_document(base: io.ClassSpec, document: Document) -> io.ClassSpec:
    """The configured class `base` with the latency target and deadline that a document sets for it."""
    latency_target_ms = document.limit("classes", base.name, "promise_ms")
    deadline_ms = document.limit("classes", base.name, "give_up_ms")
    return replace(
        base,
        latency_target_ms=base.latency_target_ms if latency_target_ms is None else latency_target_ms,
        deadline_ms=base.deadline_ms if deadline_ms is None else deadline_ms,
    )


def with_bound_classes(
    events: list[io.Event],
    classes: dict[str, io.ClassSpec],
    bound_spec: Callable[[io.RequestArrived], io.ClassSpec | None],
) -> list[io.Event]:
    """Return the events with class changes added, so that each call is decided by the class it is bound to.

    A call that is bound to another version of its class than the decision module has is placed between two
    class changes: one to its own version and one back. `classes` holds the decision module's classes by name
    and is updated in place. `bound_spec` returns the class that a call is bound to, or None if it is unknown.
    """
    result: list[io.Event] = []
    for event in events:
        if isinstance(event, io.ClassChanged):
            classes[event.spec.name] = event.spec
        elif isinstance(event, io.RequestArrived):
            spec = bound_spec(event)
            present = classes.get(event.class_name)
            if spec is not None and present is not None and spec != present:
                result += [io.ClassChanged(spec), event, io.ClassChanged(present)]
                continue
        result.append(event)
    return result
