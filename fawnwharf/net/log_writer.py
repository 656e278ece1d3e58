"""Lines on standard error, without floods."""

import sys
from collections.abc import Callable
from typing import TextIO

from fawnwharf.net.timer_wheel import monotonic_ms

MAX_LINES_PER_SECOND = 20
MAX_LINE_LENGTH = 600


class LogWriter:
    """Guards against peers that make the program write: so many lines a second, the rest is counted.

    Each source has its share, so that what clients do wrong does not hide what scorers do."""

    def __init__(self, name: str, out: TextIO | None = None, steady: Callable[[], float] = monotonic_ms):
        self._name, self._out, self._steady = name, out or sys.stderr, steady
        self._second, self._left_out = 0, 0
        self._lines: dict[str, int] = {}  # of this second

    def __call__(self, text: str, source: str = "") -> None:
        second = int(self._steady() // 1000)
        if second != self._second:
            if self._left_out:
                self._write(f"{self._left_out} lines left out")
            self._second, self._lines, self._left_out = second, {}, 0
        self._lines[source] = self._lines.get(source, 0) + 1
        if self._lines[source] > MAX_LINES_PER_SECOND:
            self._left_out += 1
            return
        self._write(text)

    def _write(self, text: str) -> None:
        line = "".join(char if char.isprintable() else "?" for char in text[:MAX_LINE_LENGTH])
        try:
            self._out.write(f"{self._name}: {line}\n")
            self._out.flush()
        except OSError:  # nobody reads the log: no reason to stop serving
            pass
