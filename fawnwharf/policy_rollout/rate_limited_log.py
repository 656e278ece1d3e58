"""Writes to the operators' log with at most one entry per second and event."""

from collections.abc import Callable
from typing import Any

from fawnwharf.net.timer_wheel import monotonic_ms

WriteEntry = Callable[[str, dict[str, Any]], None]  # writes an event and its fields
INTERVAL_MS = 1_000.0


class RateLimitedLog:
    """Owns the time of the last entry of each rate-limited event."""

    def __init__(self, write: WriteEntry) -> None:
        """`write` writes an entry without a limit."""
        self.write = write
        self._written_ms: dict[str, float] = {}

    def write_limited(self, event: str, fields: dict[str, Any]) -> None:
        """Write an entry unless one of the same event was written within the interval."""
        now_ms = monotonic_ms()
        if now_ms - self._written_ms.get(event, -1e9) < INTERVAL_MS:
            return
        self._written_ms[event] = now_ms
        self.write(event, fields)
