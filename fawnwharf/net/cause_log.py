"""Log lines about single requests and connections: one line for each cause and second, with a count.

A client that sends thousands of unsound requests causes one line and one count a second, so that the other
causes remain visible. The totals by cause are logged from time to time.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from fawnwharf.net.timer_wheel import monotonic_ms

MAX_CAUSES = 64  # further ones are counted together
OTHER_CAUSES = "other causes"
TOTALS_MS = 10_000.0  # between two lines with the totals


@dataclass(slots=True)
class _Second:
    """The events of one cause in one second: `number` of that second, and how many were not logged."""

    number: int
    suppressed: int = 0


def _discard(_text: str, _source: str) -> None:
    """Log nothing."""


class CauseLog:
    """Logs the first event of a cause in each second, and counts the others."""

    def __init__(
        self,
        log: Callable[[str, str], None] = _discard,
        read_monotonic_ms: Callable[[], float] = monotonic_ms,
    ) -> None:
        """`log` gets a line and the source under which its rate is limited, which is its cause."""
        self.totals: Counter[str] = Counter()  # events since the start, by cause
        self._log = log
        self._read_monotonic_ms = read_monotonic_ms
        self._seconds: dict[str, _Second] = {}  # by cause
        self._totals_ms = read_monotonic_ms()
        self._logged_total = 0

    def note(self, cause: str, describe: Callable[[], str]) -> None:
        """Log or count an event; `describe` returns what it concerns, such as ids."""
        if cause not in self.totals and len(self.totals) >= MAX_CAUSES:
            cause = OTHER_CAUSES
        self.totals[cause] += 1
        number = int(self._read_monotonic_ms() // 1000)
        second = self._seconds.get(cause)
        if second is not None and second.number == number:
            second.suppressed += 1
            return
        if second is not None:
            self._log_suppressed(cause, second)
        self._seconds[cause] = _Second(number)
        self._log(f"{cause}: {describe()}", cause)

    def flush(self) -> None:
        """Log the counts of seconds that are over, and the totals if it is time; call it often."""
        now_ms = self._read_monotonic_ms()
        for cause, second in list(self._seconds.items()):
            if second.number < int(now_ms // 1000):
                self._log_suppressed(cause, second)
                del self._seconds[cause]
        total = self.totals.total()
        if total != self._logged_total and now_ms - self._totals_ms >= TOTALS_MS:
            self._totals_ms, self._logged_total = now_ms, total
            counts = ", ".join(f"{cause} {count}" for cause, count in self.totals.most_common())
            self._log(f"totals since the start: {counts}", "totals")

    def _log_suppressed(self, cause: str, second: _Second) -> None:
        if second.suppressed:
            self._log(f"{cause}: {second.suppressed} more in the same second", cause)
