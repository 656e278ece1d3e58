"""The failure state of the disk, and the time of the next attempt. Does no I/O."""

from fawnwharf.durable_store.file_format import StoreLimits

_MAX_DOUBLINGS = 16  # of the retry interval


class DiskFaults:
    """Owns the cause of the current failure, and the exponential backoff between attempts."""

    def __init__(self, limits: StoreLimits) -> None:
        self.reason = ""  # empty while the disk works
        self.retry_ms = 0.0  # no attempt before this time
        self._limits = limits
        self._failures = 0

    def record(self, now_ms: float, why: str) -> None:
        """Record a failed job, and schedule the next attempt."""
        self.reason = why
        backoff_ms = self._limits.retry_ms * 2 ** min(self._failures, _MAX_DOUBLINGS)
        self.retry_ms = now_ms + min(backoff_ms, self._limits.retry_most_ms)
        self._failures += 1

    def clear(self) -> None:
        """Record that the disk works again."""
        self.reason = ""
        self._failures = 0
