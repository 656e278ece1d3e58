"""Outcomes of calls as they are counted: stands before recovery admission and sees how each call ends."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from fawnwharf import interface as io
from fawnwharf.net.requests import Call, Outcome, Succeeded
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.recovery_service.request_sink import RequestSink


@dataclass(slots=True)
class _OpenCall:
    class_name: str
    arrived_ms: float
    sink_key: str | None = None  # as the request sink knows it


class CallOutcomeRecorder:
    """Owns what is known of each call that arrived while calls are counted."""

    def __init__(
        self,
        sink: RequestSink,
        classes: Mapping[str, io.ClassSpec],
        ended: Callable[[float, str, bool], None],
    ) -> None:
        """`ended` receives the time, the class, and whether the call was served within its promise."""
        self.sink = sink
        self.classes = classes
        self.counting = True
        self._ended = ended
        self._open: dict[str, _OpenCall] = {}
        self._number = 0

    def take(self, call: Call) -> str | None:
        """Take a call, as `RequestTable.take`."""
        if not self.counting:
            return self.sink.take(call)
        self._number += 1
        key = f"n{self._number}"
        reply = call.reply
        self._open[key] = _OpenCall(call.class_name, monotonic_ms())

        def replied(outcome: Outcome) -> None:
            self._close(key, served=isinstance(outcome, Succeeded))
            reply(outcome)

        call.reply = replied
        sink_key = self.sink.take(call)
        if key not in self._open:
            return None
        if sink_key is None:  # the sink has dropped it without an answer
            del self._open[key]
            return None
        self._open[key].sink_key = sink_key
        return key

    def _close(self, key: str, *, served: bool) -> None:
        call = self._open.pop(key, None)
        if call is None:
            return
        now_ms = monotonic_ms()
        in_time = served and now_ms - call.arrived_ms <= self.classes[call.class_name].latency_target_ms
        self._ended(now_ms, call.class_name, in_time)

    def withdraw(self, key: str) -> None:
        """Forget a call whose client waits no more.

        Before its promise was over that says nothing of how calls are served, and it is not counted.
        """
        call = self._open.get(key)
        if call is None:
            self.sink.withdraw(key)
            return
        if monotonic_ms() - call.arrived_ms > self.classes[call.class_name].latency_target_ms:
            self._close(key, served=False)
        else:
            del self._open[key]
        if call.sink_key is not None:
            self.sink.withdraw(call.sink_key)
