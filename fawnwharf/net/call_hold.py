"""Holds the calls that arrive while this process may not run them, and watches the time of each.

A process holds calls while another process of the same front end takes over what calls need, such as
replicated state. Clients are read meanwhile: a withdrawal or a disconnect ends a held call, and a call whose
time runs out is rejected, as it was never sent.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from fawnwharf.net import thrift
from fawnwharf.net.connection_handoff import ReceivedCall
from fawnwharf.net.requests import FULL_RETRY_AFTER_MS, Call, Rejected
from fawnwharf.net.timer_wheel import Timer, TimerWheel, monotonic_ms

if TYPE_CHECKING:
    from fawnwharf.net.clients import ClientConnection

MAX_HELD_CALLS = 4_096
MAX_HELD_BYTES = 8 * 1024 * 1024  # of their bodies: part of the memory limit
# The rejection must reach the client before its deadline.
REJECT_MARGIN_MS = 60.0
# A call that may run here does so once it has waited for this share of its time.
RUN_AFTER_SHARE = 0.25


@dataclass(slots=True, eq=False)
class HeldCall:
    """A call that waits on a client connection until a process may run it."""

    hold: "CallHold"
    client: "ClientConnection"
    received: ReceivedCall
    call: Call
    deadline_ms: float  # on the monotonic clock
    timer: Timer | None = None

    def withdraw(self) -> None:
        """Remove it; its client gets no answer."""
        self.hold.remove(self)

    def reject(self) -> None:
        """Answer it as rejected: it was never sent."""
        self.hold.remove(self)
        self.call.reply(Rejected(FULL_RETRY_AFTER_MS))


class CallHold:
    """Owns the held calls of all client connections."""

    def __init__(self, timers: TimerWheel, may_run: Callable[[float], bool]) -> None:
        """`may_run` says whether this process may run a call that ends within a time in milliseconds."""
        self._timers = timers
        self._may_run = may_run
        self._calls: dict[HeldCall, None] = {}  # in the order of their arrival
        self._body_bytes = 0

    def add(
        self, client: "ClientConnection", message: thrift.Handle, call: Call, age_ms: float
    ) -> HeldCall | None:
        """Hold a call that has waited for `age_ms`; None if it was rejected for lack of room."""
        if len(self._calls) >= MAX_HELD_CALLS or self._body_bytes + len(call.body) > MAX_HELD_BYTES:
            call.reply(Rejected(FULL_RETRY_AFTER_MS))
            return None
        now_ms = monotonic_ms()
        received = ReceivedCall(message.seqid, message.fields, message.body, now_ms - age_ms)
        held = HeldCall(self, client, received, call, now_ms + call.budget_ms)
        self._calls[held] = None
        self._body_bytes += len(call.body)
        held.timer = self._timers.after(RUN_AFTER_SHARE * call.budget_ms, lambda: self._check(held))
        return held

    def remove(self, held: HeldCall) -> None:
        """Forget a call."""
        if held.timer is not None:
            held.timer.cancel()
        if held in self._calls:
            del self._calls[held]
            self._body_bytes -= len(held.call.body)

    def run_all(self) -> None:
        """Run all held calls here, in the order of their arrival."""
        for held in list(self._calls):
            self._run(held)

    def _check(self, held: HeldCall) -> None:
        """Run the call if that is allowed, or else reject it when its time has nearly passed."""
        remaining_ms = held.deadline_ms - monotonic_ms()
        if self._may_run(remaining_ms):
            self._run(held)
        elif remaining_ms > REJECT_MARGIN_MS:
            held.timer = self._timers.after(remaining_ms - REJECT_MARGIN_MS, lambda: self._check(held))
        else:
            held.reject()

    def _run(self, held: HeldCall) -> None:
        self.remove(held)
        budget_ms = max(0.0, held.deadline_ms - monotonic_ms())
        held.client.run_held(held.received.seqid, replace(held.call, budget_ms=budget_ms))
