"""A store in the one loop: its turns come after the decisions of a turn, at its own times, and as its writer
answers."""

from collections.abc import Callable
from typing import Any, BinaryIO

from fawnwharf.durable_store.store import CommitCallback, Store
from fawnwharf.net.loop import READ, Loop
from fawnwharf.net.timer_wheel import Timer, monotonic_ms

FULL_PIPE_RETRY_MS = 4.0  # pace of writing on to a writer that takes no more at the moment

LogCallback = Callable[[str, dict[str, Any]], None]


class EventLoopStore:
    """Owns the store's timer and its place in the selector; says when it stops and begins to be durable."""

    def __init__(self, loop: Loop, store: Store, note: LogCallback) -> None:
        """`store` writes by a `Writer`."""
        self.loop, self.store, self._note = loop, store, note
        self._timer: Timer | None = None
        self._said = ""
        runner = store.runner
        runner.begun, runner.gone = self._watch, self.loop.forget
        if runner.incoming is not None:
            self._watch(runner.incoming)
        loop.flush_later(self)

    def put(self, kind: str, key: str, value: Any, told: CommitCallback | None = None) -> None:
        """`Store.put`, now. What comes in one turn goes to disk together. Raises Refused."""
        self.store.put(monotonic_ms(), kind, key, value, told)
        self.loop.flush_later(self)

    def flush(self) -> None:
        """Once a turn, at its end."""
        self.store.turn(monotonic_ms())
        now = monotonic_ms()
        self._say(now)
        self._plan(now)

    def close(self, within_ms: float) -> bool:
        """As `Store.close`; the loop stands still meanwhile."""
        runner = self.store.runner
        if runner.incoming is not None:
            self.loop.forget(runner.incoming)
        runner.begun = runner.gone = lambda _end: None
        if self._timer is not None:
            self._timer.cancel()
        return self.store.close(monotonic_ms, within_ms)

    def _watch(self, end: BinaryIO) -> None:
        self.loop.watch(end, READ, lambda _mask: self._again())

    def _again(self) -> None:
        self.loop.flush_later(self)

    def _plan(self, now_ms: float) -> None:
        core, due = self.store.core, self.store.due_ms()
        times = [] if due is None else [due]
        if core.job_out:
            times.append(now_ms + core.limits.slow_ms)  # to see that it is slow
        if self.store.runner.unsent:
            times.append(now_ms + FULL_PIPE_RETRY_MS)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if times:
            self._timer = self.loop.wheel.after(max(0.0, min(times) - now_ms), self._again)

    def _say(self, now_ms: float) -> None:
        standing = self.store.standing(now_ms)
        says = "failing" if standing.failing else "slow" if standing.slow_ms else ""
        if says != self._said:
            self._said = says
            text = {"failing": "not durable now", "slow": "the disk is slow", "": "durable again"}[says]
            self._note(text, {"why": standing.failing, "behind_ms": round(standing.behind_ms)})
