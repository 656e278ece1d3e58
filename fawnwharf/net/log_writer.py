"""Writes log lines to standard error, with a rate limit."""

import contextlib
import sys
from collections.abc import Callable
from typing import TextIO

from fawnwharf.net.timer_wheel import monotonic_ms

MAX_LINES_PER_SECOND = 20  # per source
MAX_LINE_LENGTH = 600  # characters; a longer line is cut off


class LogWriter:
    """Writes a limited number of log lines per second, and counts the lines that it omits.

    Faulty peers can't flood the log this way. Each source has its own limit, so that errors of clients do not
    hide those of scorers.
    """

    def __init__(
        self, name: str, out: TextIO | None = None, read_monotonic_ms: Callable[[], float] = monotonic_ms
    ) -> None:
        """`name` begins each line; `out` is standard error by default."""
        self._name = name
        self._out = out or sys.stderr
        self._read_monotonic_ms = read_monotonic_ms
        self._second = 0
        self._left_out = 0
        self._lines: dict[str, int] = {}  # by source, in the current second

    def __call__(self, text: str, source: str = "") -> None:
        """Write a line, unless its source has reached its limit in this second."""
        second = int(self._read_monotonic_ms() // 1000)
        if second != self._second:
            if self._left_out:
                self._write(f"{self._left_out} lines left out")
            self._second = second
            self._lines = {}
            self._left_out = 0
        self._lines[source] = self._lines.get(source, 0) + 1
        if self._lines[source] > MAX_LINES_PER_SECOND:
            self._left_out += 1
            return
        self._write(text)

    def _write(self, text: str) -> None:
        line = "".join(char if char.isprintable() else "?" for char in text[:MAX_LINE_LENGTH])
        with contextlib.suppress(OSError):  # the front end continues to serve if the log can't be written
            self._out.write(f"{self._name}: {line}\n")
            self._out.flush()
