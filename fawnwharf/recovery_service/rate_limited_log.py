"""Writes to the operators' log, limited to one line per second for each event."""

from collections.abc import Callable, Mapping
from typing import Any

from fawnwharf.net.timer_wheel import monotonic_ms

INTERVAL_MS = 1_000.0

WriteLog = Callable[[str, dict[str, Any]], None]


class RateLimitedLog:
    """Tracks when a line of each event was last written."""

    def __init__(self, write: WriteLog) -> None:
        self.write = write
        self._written_ms: dict[str, float] = {}

    def write_limited(self, event: str, fields: Callable[[], Mapping[str, object]]) -> None:
        """Write a line if the event is due and has fields; `fields` is called only if the event is due."""
        now_ms = monotonic_ms()
        if now_ms - self._written_ms.get(event, float("-inf")) < INTERVAL_MS:
            return
        self._written_ms[event] = now_ms
        if found := fields():
            self.write(event, dict(found))
