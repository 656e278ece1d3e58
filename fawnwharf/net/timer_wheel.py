"""A timer wheel with coarse ticks, and a Unix clock without steps for the router."""

import math
import time
from collections.abc import Callable

TICK_MS = 4.0
SLOTS = 512  # one round of the wheel takes two seconds; longer timers stay on it for several rounds
MIN_STEP_MS = 100.0  # a smaller change between the system's clocks counts as drift, a larger one as a step
MAX_READING_GAP_MS = 20.0  # readings of the two clocks further apart than this are not compared
MAX_SLEW = 0.005  # share of elapsed time by which `Clock` may run fast or slow


def monotonic_ms() -> float:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic() * 1000.0


def unix_ms() -> float:
    """Return the system's Unix time in milliseconds."""
    return time.time() * 1000.0


def sleep_s(duration_s: float) -> None:
    """Block the process; allowed only before the event loop runs."""
    time.sleep(duration_s)


class Clock:
    """A Unix clock in milliseconds that does not follow steps of the system clock.

    The router's deadlines and windows use this clock, so that they stay correct if the system clock is set
    while requests are open. It runs with the monotonic clock and slews towards the system's Unix time if that
    drifts.
    """

    def __init__(
        self,
        read_monotonic_ms: Callable[[], float] = monotonic_ms,
        read_unix_ms: Callable[[], float] = unix_ms,
    ) -> None:
        self._read_monotonic_ms, self._read_unix_ms = read_monotonic_ms, read_unix_ms
        self._last_reading_ms = read_monotonic_ms()
        self._difference_ms = read_unix_ms() - self._last_reading_ms  # between the system's two clocks
        self._offset_ms = self._difference_ms  # between this clock and the monotonic one
        self.stepped_ms = -math.inf  # when the last step was detected, on the monotonic clock
        self.stepped_by_ms = 0.0  # sum of all steps of the system clock

    def now_ms(self) -> float:
        """Return the current time in Unix milliseconds."""
        before_ms, system_ms, after_ms = (
            self._read_monotonic_ms(),
            self._read_unix_ms(),
            self._read_monotonic_ms(),
        )
        if after_ms - before_ms < MAX_READING_GAP_MS:  # after a stall the readings can't be compared
            self._slew(after_ms, system_ms - after_ms)
        self._last_reading_ms = after_ms
        return after_ms + self._offset_ms

    def _slew(self, reading_ms: float, difference_ms: float) -> None:
        """Detect a step between the system's clocks, and move the offset towards their difference."""
        step_ms, self._difference_ms = difference_ms - self._difference_ms, difference_ms
        if abs(step_ms) >= MIN_STEP_MS:
            self.stepped_ms, self.stepped_by_ms = reading_ms, self.stepped_by_ms + step_ms
        max_slew_ms = MAX_SLEW * (reading_ms - self._last_reading_ms)
        error_ms = difference_ms - self.stepped_by_ms - self._offset_ms
        self._offset_ms += max(-max_slew_ms, min(max_slew_ms, error_ms))


class Timer:
    """A callback that is due at a tick, until it is cancelled."""

    __slots__ = ("callback", "due_tick")

    def __init__(self, due_tick: int, callback: Callable[[], object] | None) -> None:
        self.due_tick = due_tick
        self.callback = callback

    def cancel(self) -> None:
        """Cancel the timer; it stays in its slot of the wheel without a callback."""
        self.callback = None


def _ignore(_where: str) -> None:
    """Ignore an error of a timer; the default of `TimerWheel.on_error`."""


class TimerWheel:
    """Calls timers never early, and at most one tick late."""

    def __init__(self, read_monotonic_ms: Callable[[], float] = monotonic_ms) -> None:
        self._read_monotonic_ms = read_monotonic_ms
        self._slots: list[list[Timer]] = [[] for _ in range(SLOTS)]
        self._tick = math.floor(read_monotonic_ms() / TICK_MS)
        self.on_error: Callable[[str], None] = _ignore

    def after(self, delay_ms: float, callback: Callable[[], object]) -> Timer:
        """Call `callback` once, after `delay_ms` milliseconds."""
        due_tick = math.floor((self._read_monotonic_ms() + max(0.0, delay_ms)) / TICK_MS) + 1
        timer = Timer(max(due_tick, self._tick + 1), callback)
        self._slots[timer.due_tick % SLOTS].append(timer)
        return timer

    def advance(self, at_ms: float | None = None) -> None:
        """Call every timer that is due at `at_ms` on the monotonic clock, or now."""
        now_tick = math.floor((self._read_monotonic_ms() if at_ms is None else at_ms) / TICK_MS)
        # After a long stall, one round of the wheel covers every slot.
        first_tick = max(self._tick + 1, now_tick - SLOTS + 1)
        self._tick = max(self._tick, now_tick)
        due: list[Timer] = []
        for tick in range(first_tick, now_tick + 1):
            slot = self._slots[tick % SLOTS]
            if slot:
                due += [timer for timer in slot if timer.due_tick <= now_tick]
                slot[:] = [timer for timer in slot if timer.due_tick > now_tick and timer.callback]
        for timer in sorted(due, key=lambda timer: timer.due_tick):
            if (callback := timer.callback) is not None:
                timer.callback = None
                self._call(callback)

    def _call(self, callback: Callable[[], object]) -> None:
        """Call one timer's callback; an error in it must not affect the other timers."""
        try:
            callback()
        except Exception:
            self.on_error("a timer")

    def seconds_until_due(self) -> float | None:
        """Return the seconds until the next timer is due; None if no timer is set."""
        for tick in range(self._tick + 1, self._tick + 1 + SLOTS):
            slot = self._slots[tick % SLOTS]
            if any(timer.callback for timer in slot):
                return max(0.0, tick * TICK_MS - self._read_monotonic_ms()) / 1000.0
        return None
