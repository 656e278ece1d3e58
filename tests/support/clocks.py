"""Clocks that a test sets: the monotonic one moves only when told to, the wall clock can be stepped."""

from collections.abc import Iterator
from contextlib import contextmanager
from types import SimpleNamespace
from unittest import mock

from fawnwharf.net import timer_wheel


class SettableClock:
    """Stands in for the `time` module that `fawnwharf.net.timer_wheel` reads; all times in milliseconds."""

    def __init__(self, monotonic_ms: float = 1_000_000.0, wall_ms: float = 1_764_662_400_000.0) -> None:
        self.monotonic_ms, self.wall_ms = monotonic_ms, wall_ms

    def advance(self, span_ms: float) -> None:
        """Let time pass: both clocks move on alike."""
        self.monotonic_ms += span_ms
        self.wall_ms += span_ms

    def step_wall(self, by_ms: float) -> None:
        """Set the wall clock forwards or backwards; the monotonic one does not notice."""
        self.wall_ms += by_ms

    @contextmanager
    def installed(self) -> Iterator["SettableClock"]:
        """Every part that takes its time from `fawnwharf.net.timer_wheel` sees this clock."""
        module = SimpleNamespace(
            monotonic=lambda: self.monotonic_ms / 1_000.0, time=lambda: self.wall_ms / 1_000.0
        )
        with mock.patch.object(timer_wheel, "time", module):
            yield self
