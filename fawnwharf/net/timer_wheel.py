"""A timer wheel with coarse ticks, and a Unix clock without steps for the decisions."""

import math
import time
from collections.abc import Callable

TICK_MS = 4.0
SLOTS = 512  # one round of the wheel takes two seconds; longer timers stay on it for several rounds
MIN_STEP_MS = 100.0  # a smaller change between the system's clocks is drift, a larger one a step
MAX_READING_GAP_MS = 20.0  # between two readings that are compared with each other
MAX_SLEW = 0.005  # share of elapsed time by which this clock may run fast or slow


def monotonic_ms() -> float:
    """The monotonic clock in milliseconds."""
    return time.monotonic() * 1000.0


def unix_ms() -> float:
    """The system's Unix time in milliseconds."""
    return time.time() * 1000.0


def sleep_s(span_s: float) -> None:
    """Block the process; allowed only before the event loop runs."""
    time.sleep(span_s)


class Clock:
    """The Unix time in milliseconds, without its steps.

    Protects against a system clock that is set while requests are open: the router's deadlines and windows
    all use this clock. It runs with the monotonic clock and slews towards the system's Unix time where that
    drifts; it never follows a step, so that durations stay exact after one.
    """

    def __init__(self, steady: Callable[[], float] = monotonic_ms, wall: Callable[[], float] = unix_ms):
        self._steady, self._wall = steady, wall
        self._at = steady()
        self._apart = wall() - self._at  # of the system's two clocks
        self._offset = self._apart
        self.stepped_ms = -math.inf  # when the last step was detected, on the monotonic clock
        self.stepped_by_ms = 0.0  # sum of all steps: the difference between the system's time and this clock

    def now_ms(self) -> float:
        """The current time for the decisions, in Unix milliseconds."""
        before, wall, at = self._steady(), self._wall(), self._steady()
        if at - before < MAX_READING_GAP_MS:  # a stall between the readings makes them incomparable
            self._follow(at, wall - at)
        self._at = at
        return at + self._offset

    def _follow(self, at: float, apart: float) -> None:
        step, self._apart = apart - self._apart, apart
        if abs(step) >= MIN_STEP_MS:
            self.stepped_ms, self.stepped_by_ms = at, self.stepped_by_ms + step
        most = MAX_SLEW * (at - self._at)
        self._offset += max(-most, min(most, apart - self.stepped_by_ms - self._offset))


class Timer:
    """A callback that is due at a tick, until it is cancelled."""

    __slots__ = ("callback", "due_tick")

    def __init__(self, due_tick: int, callback: Callable[[], object] | None) -> None:
        self.due_tick = due_tick
        self.callback = callback

    def cancel(self) -> None:
        """Cancel it; it stays in its slot with nothing to call."""
        self.callback = None


def _ignore(_where: str) -> None:
    """Report errors of timers to nobody."""


class TimerWheel:
    """Calls timers never early, and late by at most one tick."""

    def __init__(self, steady: Callable[[], float] = monotonic_ms) -> None:
        self._steady = steady
        self._slots: list[list[Timer]] = [[] for _ in range(SLOTS)]
        self._tick = math.floor(steady() / TICK_MS)
        self.on_fault: Callable[[str], None] = _ignore

    def after(self, delay_ms: float, callback: Callable[[], object]) -> Timer:
        """Call `callback` once, this many milliseconds from now."""
        due = math.floor((self._steady() + max(0.0, delay_ms)) / TICK_MS) + 1
        timer = Timer(max(due, self._tick + 1), callback)
        self._slots[timer.due_tick % SLOTS].append(timer)
        return timer

    def advance(self, at_ms: float | None = None) -> None:
        """Call every timer that is due now, or at a given time just past."""
        now = math.floor((self._steady() if at_ms is None else at_ms) / TICK_MS)
        first = max(
            self._tick + 1, now - SLOTS + 1
        )  # after a long stall, one round of the wheel covers every slot
        self._tick = max(self._tick, now)
        due: list[Timer] = []
        for tick in range(first, now + 1):
            slot = self._slots[tick % SLOTS]
            if slot:
                due += [timer for timer in slot if timer.due_tick <= now]
                slot[:] = [timer for timer in slot if timer.due_tick > now and timer.callback]
        for timer in sorted(due, key=lambda timer: timer.due_tick):
            if (callback := timer.callback) is not None:
                timer.callback = None
                self._call(callback)

    def _call(self, callback: Callable[[], object]) -> None:
        """Protect the other timers from an error in one."""
        try:
            callback()
        except Exception:
            self.on_fault("a timer")

    def idle_s(self) -> float | None:
        """How long the loop may wait, in seconds; None if no timer is set."""
        for tick in range(self._tick + 1, self._tick + 1 + SLOTS):
            slot = self._slots[tick % SLOTS]
            if any(timer.callback for timer in slot):
                return max(0.0, tick * TICK_MS - self._steady()) / 1000.0
        return None
