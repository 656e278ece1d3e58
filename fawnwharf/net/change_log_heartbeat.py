"""The earliest time at which the change log wrote a heartbeat. No I/O.

The log writes the number of its last event every second. A heartbeat proves that no further event existed
when it was written. That may be long before it is read, as the network may delay it and this process may be
stopped. Heartbeats contain no time, but they can be counted. The first one was written after the request for
events. Each later one was written a second after the one before it, except for the second one: the first may
be written at once, and the others at whole seconds.
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
        """Reset for a new connection, on which events are requested at `now_ms`."""
        self._requested_ms = now_ms
        self._count = 0

    def received(self, now_ms: float) -> float:
        """Count a heartbeat that is read at `now_ms`; return the earliest time at which it was written."""
        periods = max(0, self._count - 1)
        self._count += 1
        return min(now_ms, self._requested_ms + periods * PERIOD_MS)


def heartbeat_number(read: Any) -> int | None:
    """The event number in a heartbeat, which is `7` or `{"seq":7}`; None for other lines."""
    number = read["seq"] if isinstance(read, dict) and read.keys() == {"seq"} else read
    return number if type(number) is int else None
