"""Runs a store in the event loop: after each iteration, at its due times, and when its writer replies."""

from collections.abc import Callable
from typing import Any, BinaryIO

from fawnwharf.durable_store.store import CommitCallback, Store
from fawnwharf.net.event_loop import READ, EventLoop
from fawnwharf.net.timer_wheel import Timer, monotonic_ms

FULL_PIPE_RETRY_MS = 4.0  # retry interval while the pipe to the writer process is full

LogCallback = Callable[[str, dict[str, Any]], None]

_EVENTS = {"failing": "not durable now", "slow": "the disk is slow", "": "durable again"}


class EventLoopStore:
    """Owns the store's timer and its watch in the event loop; logs when durability is lost and restored."""

    def __init__(self, loop: EventLoop, store: Store, log: LogCallback) -> None:
        self.loop = loop
        self.store = store
        self._log = log
        self._timer: Timer | None = None
        self._logged = ""  # the key of the last event logged
        runner = store.runner
        runner.on_output_opened = self._watch
        runner.on_output_closing = self.loop.unwatch
        if runner.output is not None:
            self._watch(runner.output)
        loop.schedule_flush(self)

    def put(self, kind: str, key: str, value: Any, callback: CommitCallback | None = None) -> None:
        """Call `Store.put`; changes of one iteration are committed together. Raises ChangeRejectedError."""
        self.store.put(monotonic_ms(), kind, key, value, callback)
        self.loop.schedule_flush(self)

    def flush(self) -> None:
        """Advance the store. The loop calls this at the end of an iteration."""
        self.store.advance(monotonic_ms())
        now_ms = monotonic_ms()
        self._log_changes(now_ms)
        self._schedule(now_ms)

    def close(self, within_ms: float) -> bool:
        """Call `Store.close`, which blocks the event loop for at most `within_ms`."""
        runner = self.store.runner
        if runner.output is not None:
            self.loop.unwatch(runner.output)
        runner.on_output_opened = _ignore
        runner.on_output_closing = _ignore
        if self._timer is not None:
            self._timer.cancel()
        return self.store.close(monotonic_ms, within_ms)

    def _watch(self, output: BinaryIO) -> None:
        self.loop.watch(output, READ, lambda _mask: self._wake())

    def _wake(self) -> None:
        self.loop.schedule_flush(self)

    def _schedule(self, now_ms: float) -> None:
        core = self.store.core
        due_ms = self.store.due_ms()
        times = [] if due_ms is None else [due_ms]
        if core.job_in_progress:
            times.append(now_ms + core.limits.slow_ms)  # to report a slow job
        if self.store.runner.unsent:
            times.append(now_ms + FULL_PIPE_RETRY_MS)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if times:
            self._timer = self.loop.timers.after(max(0.0, min(times) - now_ms), self._wake)

    def _log_changes(self, now_ms: float) -> None:
        status = self.store.status(now_ms)
        event = "failing" if status.failing else "slow" if status.slow_ms else ""
        if event != self._logged:
            self._logged = event
            self._log(_EVENTS[event], {"why": status.failing, "behind_ms": round(status.behind_ms)})


def _ignore(_output: BinaryIO) -> None:
    pass
