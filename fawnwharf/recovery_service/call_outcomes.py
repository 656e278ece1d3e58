"""Calls as they are counted: stands before the door, and sees how each ends."""

from collections.abc import Callable, Mapping
from typing import Protocol

from fawnwharf import interface as io
from fawnwharf.net.requests import Call, Outcome, Succeeded
from fawnwharf.net.timer_wheel import monotonic_ms


class RequestSink(Protocol):
    """What takes calls and withdraws them: the table, or what stands before it."""

    def take(self, call: Call) -> str | None: ...

    def withdraw(self, key: str) -> None: ...


class CallOutcomeRecorder:
    """Owns what is known of each call that came while calls are counted."""

    def __init__(
        self,
        below: RequestSink,
        classes: Mapping[str, io.ClassSpec],
        ended: Callable[[float, str, bool], None],
    ) -> None:
        """`ended` gets the time, the class, and whether the call was served within its promise."""
        self.below, self.classes, self._ended = below, classes, ended
        self.counting = True
        self._open: dict[str, tuple[str, float, str | None]] = {}  # class, when, key of what stands below
        self._number = 0

    def take(self, call: Call) -> str | None:
        """As RequestTable.take."""
        if not self.counting:
            return self.below.take(call)
        self._number += 1
        number, reply = f"n{self._number}", call.reply
        self._open[number] = call.class_name, monotonic_ms(), None

        def replied(outcome: Outcome) -> None:
            self._over(number, isinstance(outcome, Succeeded))
            reply(outcome)

        call.reply = replied
        key = self.below.take(call)
        if number not in self._open:
            return None
        if key is None:  # what stands below has let go of it, without a word
            del self._open[number]
            return None
        self._open[number] = (*self._open[number][:2], key)
        return number

    def _over(self, number: str, served: bool) -> str | None:
        """The key of what stands below."""
        found = self._open.pop(number, None)
        if found is None:
            return None
        name, came_ms, key = found
        now = monotonic_ms()
        self._ended(now, name, served and now - came_ms <= self.classes[name].latency_target_ms)
        return key

    def withdraw(self, number: str) -> None:
        """The client waits no more. Before its promise was over that says nothing of how calls are served."""
        found = self._open.get(number)
        if found is None:
            self.below.withdraw(number)
            return
        name, came_ms, key = found
        if monotonic_ms() - came_ms > self.classes[name].latency_target_ms:
            self._over(number, False)
        else:
            del self._open[number]
        if key is not None:
            self.below.withdraw(key)
