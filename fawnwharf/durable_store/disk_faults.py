"""Why the disk fails, and when it is tried again. Pure."""

from fawnwharf.durable_store.file_format import StoreLimits

_MAX_DOUBLINGS = 16


class DiskFaults:
    """Owns the reason why nothing is durable now, and the exponential backoff of attempts."""

    def __init__(self, limits: StoreLimits) -> None:
        self.reason = ""  # empty while the disk works
        self.retry_ms = 0.0  # no attempt before this time
        self._limits = limits
        self._failures = 0

    def record(self, now_ms: float, why: str) -> None:
        """Note a failed job."""
        self.reason = why
        backoff_ms = self._limits.retry_ms * 2 ** min(self._failures, _MAX_DOUBLINGS)
        self.retry_ms = now_ms + min(backoff_ms, self._limits.retry_most_ms)
        self._failures += 1

    def clear(self) -> None:
        """Note that the disk works again."""
        self.reason = ""
        self._failures = 0
