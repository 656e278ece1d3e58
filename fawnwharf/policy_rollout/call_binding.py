"""Binds each call to the policy at its arrival.

Stands before the table of requests, or before the claim gate.

A call gets the policy of the moment at which it is taken, and keeps it up to its final answer, whatever
comes; it waits no longer than that policy's deadline.

The decision module judges a call by its class as it stands when the call reaches it. A call that waited at
the claim gate through a change is therefore handed over between two changes of its class: to its own version,
and back to the present one.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from fawnwharf import interface as io
from fawnwharf.net.requests import Call, Outcome, Rejected
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.policy_rollout.document import Document
from fawnwharf.policy_rollout.messages import ActivePolicy

# A call that comes before a leader has told what is in force: for so long it is held, then refused untouched.
HOLD_PART, HOLD_MOST_MS = 0.5, 2_000.0  # of the time that its client waits, and at the most
HELD_MOST, HELD_BYTES_MOST = 1_024, 8 * 1024 * 1024
PUSHBACK_MS = 250.0


class CallTable(Protocol):
    """What takes calls and withdraws them: the table of requests, or what stands before it."""

    def take(self, call: Call) -> str | None:
        """Take a call; the key to withdraw it by, or None where it was answered at once."""
        ...

    def withdraw(self, key: str) -> None:
        """Withdraw a call by its key."""
        ...


@dataclass(slots=True, eq=False)
class _BoundCall:
    """One open call. While nobody has told what is in force it is held, and judged by nothing."""

    call: Call
    reply: Callable[[Outcome], None]
    by: ActivePolicy
    at_ms: float  # Unix, when it was judged
    came_ms: float  # of the loop's clock
    key: str | None = None  # as what stands below knows it
    timer: Timer | None = None  # of one that is held


class CallPolicyBinding:
    """Owns the policy of each open call, from its arrival to its end."""

    def __init__(
        self,
        below: CallTable,
        take: Callable[[str], ActivePolicy],
        done: Callable[[str], None],
        ended: Callable[[bytes, ActivePolicy, float], None],
        unix_ms: Callable[[], float],
        after: Callable[[float, Callable[[], None]], Timer],
    ) -> None:
        """`take` and `done` are the lease holder's; `after` sets a timer.

        `ended` gets a call's id, its policy, and when it was judged.
        """
        self.below = below
        self._take, self._done, self._told, self._unix_ms = take, done, ended, unix_ms
        self._after = after
        self._open: dict[str, _BoundCall] = {}
        self._held: dict[str, _BoundCall] = {}
        self._held_bytes = 0
        self._number = 0
        self._by: ActivePolicy | None = None  # of the last call
        self._give_up: dict[str, float | None] = {}  # by class, as that has it

    def __len__(self) -> int:
        return len(self._open)

    @property
    def held(self) -> int:
        """The number of calls that wait until somebody tells what is in force."""
        return len(self._held)

    def take(self, call: Call) -> str | None:
        """Take a call, as `RequestTable.take` does."""
        self._number += 1
        number, at_ms = f"p{self._number}", self._unix_ms()
        by = self._take(number)
        taken = self._open[number] = _BoundCall(call, call.reply, by, at_ms, monotonic_ms())
        call.reply = lambda outcome: self._replied(number, outcome)
        if by.how != "waiting":
            self._hand_down(number, taken)
        elif len(self._held) >= HELD_MOST or self._held_bytes + len(call.body) > HELD_BYTES_MOST:
            call.reply(Rejected(PUSHBACK_MS))
        else:
            self._done(number)
            self._held[number] = taken
            self._held_bytes += len(call.body)
            most_ms = min(HOLD_MOST_MS, HOLD_PART * call.budget_ms)
            taken.timer = self._after(most_ms, lambda: call.reply(Rejected(PUSHBACK_MS)))
        return number if number in self._open else None

    def _hand_down(self, number: str, taken: _BoundCall) -> None:
        call, by = taken.call, taken.by
        call.judged = by
        if by is not self._by:
            classes = by.document.nested().get("classes", {})
            self._by, self._give_up = by, {name: told.get("give_up_ms") for name, told in classes.items()}
        if (most_ms := self._give_up.get(call.class_name)) is not None:
            call.budget_ms = min(call.budget_ms, most_ms)
        taken.key = self.below.take(call)
        if taken.key is None:  # it was answered at once, or what stands below has let go of it
            self._end(number)

    def release(self) -> None:
        """Judge the held calls by the policy that is now known."""
        for number, taken in list(self._held.items()):
            if number not in self._held:  # to judge one may have released all
                continue
            self._let_go(number, taken)
            taken.at_ms, taken.by = self._unix_ms(), self._take(number)
            taken.call.budget_ms = max(1.0, taken.call.budget_ms - (monotonic_ms() - taken.came_ms))
            self._hand_down(number, taken)

    def refuse(self) -> None:
        """Refuse the held calls, as nobody will tell the policy here: they may be tried elsewhere."""
        for taken in list(self._held.values()):
            taken.call.reply(Rejected(PUSHBACK_MS))

    def _let_go(self, number: str, taken: _BoundCall) -> None:
        if self._held.pop(number, None) is not None:
            self._held_bytes -= len(taken.call.body)
            taken.timer.cancel()

    def withdraw(self, number: str) -> None:
        """Withdraw a call, as `RequestTable.withdraw` does."""
        if (taken := self._end(number)) is not None and taken.key is not None:
            self.below.withdraw(taken.key)

    def _replied(self, number: str, outcome: Outcome) -> None:
        if (taken := self._end(number)) is not None:
            taken.reply(outcome)

    def _end(self, number: str) -> _BoundCall | None:
        """Forget a call, once."""
        taken = self._open.pop(number, None)
        if taken is not None:
            self._let_go(number, taken)
            self._done(number)
            self._told(taken.call.id, taken.by, taken.at_ms)
        return taken


def class_spec_under(base: io.ClassSpec, document: Document) -> io.ClassSpec:
    """A class as the policy has it, over the settings."""
    promise, give_up = (document.value("classes", base.name, key) for key in ("promise_ms", "give_up_ms"))
    return io.ClassSpec(
        name=base.name,
        latency_target_ms=base.latency_target_ms if promise is None else float(promise),
        deadline_ms=base.deadline_ms if give_up is None else float(give_up),
        effect=base.effect,
        group=base.group,
        dedup_window_ms=base.dedup_window_ms,
        priority_weight=base.priority_weight,
        late_share=base.late_share,
    )


def with_bound_classes(
    events: list[io.Event],
    classes: dict[str, io.ClassSpec],
    own: Callable[[io.RequestArrived], io.ClassSpec | None],
) -> list[io.Event]:
    """The batch, with each call of an older version of its class put between two changes of the class.

    `classes` is what the module goes by, and is kept up to date; `own` gives the class as the call has it, or
    None where that is not known.
    """
    found: list[io.Event] = []
    for event in events:
        if isinstance(event, io.ClassChanged):
            classes[event.spec.name] = event.spec
        elif isinstance(event, io.RequestArrived) and (spec := own(event)) is not None:
            present = classes.get(event.class_name)
            if present is not None and spec != present:
                found += [io.ClassChanged(spec), event, io.ClassChanged(present)]
                continue
        found.append(event)
    return found
