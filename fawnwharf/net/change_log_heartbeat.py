"""When the change log wrote a heartbeat, at the earliest. Pure.

The log writes the number of its last event every second. A heartbeat proves that no further event existed
when it was written, and that may be long before it is read: a slow path holds back more and more lines, a
process that was stopped reads old ones. The lines carry no time, but they can be counted. The first one was
written after the request that it answers; each of the others a second after the one before it, but for the
second one, as the first may be written at once and the others at whole seconds.
"""

from dataclasses import dataclass
from typing import Any

PERIOD_MS = 1_000.0  # between two heartbeats


@dataclass(slots=True)
class HeartbeatAge:
    """Counts the heartbeats of one connection; times are milliseconds on the monotonic clock."""

    _requested_ms: float = 0.0
    _count: int = 0

    def begin(self, now_ms: float) -> None:
        """Begin anew, as the log's events are requested on a new connection."""
        self._requested_ms = now_ms
        self._count = 0

    def received(self, now_ms: float) -> float:
        """Count one more heartbeat, read now; returns when it was written at the earliest."""
        periods = max(0, self._count - 1)
        self._count += 1
        return min(now_ms, self._requested_ms + periods * PERIOD_MS)


def heartbeat_number(read: Any) -> int | None:
    """The number of the last event in a heartbeat, `7` or `{"seq":7}`; None for other lines."""
    number = read["seq"] if isinstance(read, dict) and read.keys() == {"seq"} else read
    return number if type(number) is int else None
