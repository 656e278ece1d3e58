"""A connection's queued output, and the time limit for partially written buffers."""

import math
from collections import deque
from collections.abc import Callable

from fawnwharf.net.timer_wheel import Timer, TimerWheel, monotonic_ms


class WriteBuffer:
    """Bytes to be written, and the number of bytes already written.

    With `make`, the bytes are produced again for each write until the first byte has been sent; before the
    first write, `size` is an estimate in bytes. `make` returns None if the buffer must no longer be sent.
    """

    __slots__ = ("begun_ms", "data", "make", "size", "written")

    def __init__(self, data: bytes, make: Callable[[], bytes | None] | None = None, size: int = 0) -> None:
        self.data = data
        self.written = 0
        self.make = make
        self.size = size if make else len(data)
        self.begun_ms = 0.0  # when its first byte was sent, on the monotonic clock

    @property
    def begun(self) -> bool:
        """Whether any of its bytes have been written."""
        return self.written > 0

    @property
    def complete(self) -> bool:
        """Whether all of its bytes have been written."""
        return self.make is None and self.written == self.size

    def advance(self, count: int, now_ms: float) -> int:
        """Count up to `count` bytes as written; return how many of them belong to the next buffers."""
        step = min(count, self.size - self.written)
        if step and not self.begun:
            self.begun_ms = now_ms
            self.make = None
        self.written += step
        return count - step


class PartialWriteLimit:
    """Reports a buffer at the head of a write queue that stays partially written for too long.

    It prevents that a scorer receives the end of a frame long after the frame was produced. `queue`: the
    connection's write queue.
    """

    def __init__(self, timers: TimerWheel, queue: deque[WriteBuffer], max_partial_ms: float) -> None:
        self._timers = timers
        self._queue = queue
        self._max_partial_ms = max_partial_ms
        self._timer: Timer | None = None

    def _remaining_ms(self) -> float:
        head = self._queue[0] if self._queue else None
        if head is None or not head.begun:
            return math.inf
        return head.begun_ms + self._max_partial_ms - monotonic_ms()

    def is_overdue(self) -> bool:
        """Whether the first buffer has been partially written for too long to be continued."""
        return self._remaining_ms() <= 0

    def watch(self, on_overdue: Callable[[], None]) -> None:
        """Start a timer if the first buffer is partially written; `on_overdue` is called at the limit."""
        remaining_ms = self._remaining_ms()
        if self._timer is None and remaining_ms < math.inf:
            self._timer = self._timers.after(remaining_ms, lambda: self._check(on_overdue))

    def _check(self, on_overdue: Callable[[], None]) -> None:
        self._timer = None
        if self.is_overdue():
            on_overdue()
        else:
            self.watch(on_overdue)
