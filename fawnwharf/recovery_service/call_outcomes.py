"""Counts how calls end; a request sink in front of recovery admission that observes each reply."""

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
    sink_key: str | None = None  # its key in the request sink behind this one


class CallOutcomeRecorder:
    """Tracks each call that arrived while counting is on, until it ends."""

    def __init__(
        self,
        sink: RequestSink,
        classes: Mapping[str, io.ClassSpec],
        ended: Callable[[float, str, bool], None],
    ) -> None:
        """Pass calls on to `sink`.

        `ended` receives the time, the class, and whether the call was served within its latency target.
        """
        self.sink = sink
        self.classes = classes
        self.counting = True
        self._ended = ended
        self._open: dict[str, _OpenCall] = {}
        self._number = 0

    def take(self, call: Call) -> str | None:
        """Accept a call, as `RequestTable.take` does."""
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
        if sink_key is None:  # the sink dropped it without a reply
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
        """Forget a call whose client no longer waits.

        A call that is withdrawn within its latency target is not counted, as it does not show how well calls
        are served.
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
