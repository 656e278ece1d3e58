"""Clocks that a test controls: the monotonic one only advances on command, the wall clock can be stepped."""

from collections.abc import Iterator
from contextlib import contextmanager
from types import SimpleNamespace
from unittest import mock

from fawnwharf.net import timer_wheel


class SettableClock:
    """Replaces the `time` module that `fawnwharf.net.timer_wheel` reads; all times are in milliseconds."""

    def __init__(self, monotonic_ms: float = 1_000_000.0, wall_ms: float = 1_764_662_400_000.0) -> None:
        self.monotonic_ms, self.wall_ms = monotonic_ms, wall_ms

    def advance(self, span_ms: float) -> None:
        """Advance both clocks by the same time."""
        self.monotonic_ms += span_ms
        self.wall_ms += span_ms

    def step_wall(self, by_ms: float) -> None:
        """Set the wall clock forwards or backwards; the monotonic clock is not affected."""
        self.wall_ms += by_ms

    @contextmanager
    def installed(self) -> Iterator["SettableClock"]:
        """Let everything that takes its time from `fawnwharf.net.timer_wheel` use this clock."""
        module = SimpleNamespace(
            monotonic=lambda: self.monotonic_ms / 1_000.0, time=lambda: self.wall_ms / 1_000.0
        )
        with mock.patch.object(timer_wheel, "time", module):
            yield self
