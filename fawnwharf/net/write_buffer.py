"""What is queued on a connection: bytes, or what is made as it leaves; and how long one may stay in part."""

import math
from collections import deque
from collections.abc import Callable

from fawnwharf.net.timer_wheel import Timer, TimerWheel, monotonic_ms


class WriteBuffer:
    """Bytes to be written, and how many have been.

    With `make` they are made anew for each write until the first of them has left, and `size` is an estimate
    before that; None from `make` means that the piece must not leave any more."""

    __slots__ = ("begun_ms", "data", "make", "size", "written")

    def __init__(self, data: bytes, make: Callable[[], bytes | None] | None = None, size: int = 0) -> None:
        self.data, self.written, self.make = data, 0, make
        self.size = size if make else len(data)
        self.begun_ms = 0.0  # when its first byte left

    @property
    def begun(self) -> bool:
        return self.written > 0

    @property
    def whole(self) -> bool:
        return self.make is None and self.written == self.size

    def advance(self, count: int, now_ms: float) -> int:
        """Count so many bytes as written, as far as there are any; how many are left of the count."""
        step = min(count, self.size - self.written)
        if step and not self.begun:
            self.begun_ms, self.make = now_ms, None
        self.written += step
        return count - step


class PartialWriteLimit:
    """Guards what is passed on against being completed long after it was made: a first piece that stays
    written in part for too long is reported. `pieces` is the connection's own queue."""

    def __init__(self, wheel: TimerWheel, pieces: deque[WriteBuffer], most_ms: float) -> None:
        self._wheel, self._pieces, self._most_ms = wheel, pieces, most_ms
        self._timer: Timer | None = None

    def _left_ms(self) -> float:
        piece = self._pieces[0] if self._pieces else None
        if piece is None or not piece.begun:
            return math.inf
        return piece.begun_ms + self._most_ms - monotonic_ms()

    def overdue(self) -> bool:
        """Whether the first piece has been in part for too long, so that no more of it may be written."""
        return self._left_ms() <= 0

    def watch(self, on_overdue: Callable[[], None]) -> None:
        """Report the first piece, if it is in part, once it has been so for too long."""
        left = self._left_ms()
        if self._timer is None and left < math.inf:
            self._timer = self._wheel.after(left, lambda: self._look(on_overdue))

    def _look(self, on_overdue: Callable[[], None]) -> None:
        self._timer = None
        if self.overdue():
            on_overdue()
        else:
            self.watch(on_overdue)
