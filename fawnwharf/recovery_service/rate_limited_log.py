"""Lines for the operators' log, at most one a second of each kind."""

from collections.abc import Callable, Mapping
from typing import Any

from fawnwharf.net.timer_wheel import monotonic_ms

INTERVAL_MS = 1_000.0

WriteLog = Callable[[str, dict[str, Any]], None]


class RateLimitedLog:
    """Owns when a line of each kind was written last."""

    def __init__(self, write: WriteLog) -> None:
        self.write = write
        self._written_ms: dict[str, float] = {}

    def write_limited(self, event: str, fields: Callable[[], Mapping[str, object]]) -> None:
        """Write a line where one of its kind is due and `fields`, asked for then only, are not empty."""
        now_ms = monotonic_ms()
        if now_ms - self._written_ms.get(event, float("-inf")) < INTERVAL_MS:
            return
        self._written_ms[event] = now_ms
        if found := fields():
            self.write(event, dict(found))
