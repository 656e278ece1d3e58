"""Timers as coarse ticks on a wheel, and the clock that the module is shown."""

import math
import time
from collections.abc import Callable

TICK_MS = 4.0
SLOTS = 512  # a turn of the wheel takes two seconds; longer timers stay on it for some turns
MIN_STEP_MS = (
    100.0  # by which the system's clocks move apart at once where its Unix time is set; drift is slower
)
MAX_READING_GAP_MS = 20.0  # between two readings that are held against each other
MAX_SLEW = 0.005  # part of the time passed by which the shown clock may run fast or slow


def monotonic_ms() -> float:
    return time.monotonic() * 1000.0


def unix_ms() -> float:
    return time.time() * 1000.0


def sleep_s(span_s: float) -> None:
    """Halt the process: only before its loop runs."""
    time.sleep(span_s)


class Clock:
    """The Unix time in milliseconds, without its steps.

    Guards against a system clock that is set while requests are open: the module's deadlines and
    windows all live on this clock. It runs with the monotonic one and closes in on the system's where that
    drifts; a step of the system's is never followed, so that spans stay exact after it.
    """

    def __init__(self, steady: Callable[[], float] = monotonic_ms, wall: Callable[[], float] = unix_ms):
        self._steady, self._wall = steady, wall
        self._at = steady()
        self._apart = wall() - self._at  # of the system's two clocks
        self._offset = self._apart
        self.stepped_ms = -math.inf  # when the last step was found, on the monotonic clock
        self.stepped_by_ms = 0.0  # all steps together: by so much the system's time is apart from this one

    def now_ms(self) -> float:
        """Now, as the module is shown it."""
        before, wall, at = self._steady(), self._wall(), self._steady()
        if at - before < MAX_READING_GAP_MS:  # held up between the readings, they say nothing of each other
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
    __slots__ = ("due_tick", "callback")

    def __init__(self, due_tick: int, callback: Callable[[], None] | None) -> None:
        self.due_tick, self.callback = due_tick, callback

    def cancel(self) -> None:  # it stays in its slot, with nothing to call
        self.callback = None


class TimerWheel:
    """Never early, and late by a tick at the most."""

    def __init__(self, steady: Callable[[], float] = monotonic_ms) -> None:
        self._steady = steady
        self._slots: list[list[Timer]] = [[] for _ in range(SLOTS)]
        self._tick = math.floor(steady() / TICK_MS)
        self.on_fault: Callable[[str], None] = lambda where: None

    def after(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        due = math.floor((self._steady() + max(0.0, delay_ms)) / TICK_MS) + 1
        timer = Timer(max(due, self._tick + 1), callback)
        self._slots[timer.due_tick % SLOTS].append(timer)
        return timer

    def advance(self, at_ms: float | None = None) -> None:
        """Call what has come due by now, or by a moment just past."""
        now = math.floor((self._steady() if at_ms is None else at_ms) / TICK_MS)
        first = max(self._tick + 1, now - SLOTS + 1)  # after a long halt, one turn of the wheel sees all
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

    def _call(self, callback: Callable[[], None]) -> None:
        """Guards the other timers against a fault in one."""
        try:
            callback()
        except Exception:
            self.on_fault("a timer")

    def idle_s(self) -> float | None:
        """How long the loop may sleep; None where no timer is set."""
        for tick in range(self._tick + 1, self._tick + 1 + SLOTS):
            slot = self._slots[tick % SLOTS]
            if any(timer.callback for timer in slot):
                return max(0.0, tick * TICK_MS - self._steady()) / 1000.0
        return None
