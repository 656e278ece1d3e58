"""Tells the router until when the roster was proved complete, and logs when that stops and begins again."""

from collections.abc import Callable

from fawnwharf import interface as io
from fawnwharf.policy.roster_lease import UNCONFIRMED_MS, LeaseCounters

# An event of the change log counts as received after so long, received or not. Clocks and the way to a scorer
# take a little of it.
EVENT_COUNTS_AFTER_MS = 7_000.0
LEASE_MARGIN_MS = 100.0
ROSTER_LEASE_MS = EVENT_COUNTS_AFTER_MS - LEASE_MARGIN_MS


class RosterConfirmation:
    """Passes on the latest proof with each batch, and logs losses of the change log that outlast leases.

    All times are milliseconds on the monotonic clock. `unconfirmed_spans` counts the spans without a proof
    that were longer than `UNCONFIRMED_MS`.
    """

    def __init__(self, counters: LeaseCounters, log: Callable[[str], None], now_ms: float) -> None:
        """`counters` are the router's; the span without a proof begins at `now_ms`."""
        self.unconfirmed_spans = 0
        self._counters = counters
        self._log = log
        self._since_ms = now_ms
        self._proved_ms: float | None = None
        self._pending: io.RosterConfirmed | None = None
        self._is_lost = False

    def confirm(self, proved_ms: float) -> io.RosterConfirmed | None:
        """Take a proof; returns the event for the next batch, if that has none yet."""
        self._proved_ms = proved_ms if self._proved_ms is None else max(proved_ms, self._proved_ms)
        if self._pending is not None:
            return None
        self._pending = io.RosterConfirmed(0.0)
        return self._pending

    def begin_batch(self, now_ms: float) -> None:
        """Set the age of the pending event, as the router receives it now."""
        if self._pending is not None and self._proved_ms is not None:
            self._pending.age_ms = max(0.0, now_ms - self._proved_ms)
        self._pending = None

    def run_maintenance(self, now_ms: float) -> None:
        """Log once when the roster is unconfirmed for long, and once when it is confirmed again."""
        since_ms = self._since_ms if self._proved_ms is None else self._proved_ms
        is_lost = now_ms - since_ms >= UNCONFIRMED_MS
        if is_lost and not self._is_lost:
            self.unconfirmed_spans += 1
            self._log(
                f"change log: roster unconfirmed for {now_ms - since_ms:.0f} ms; "
                "scorers are used while they prove to be in service"
            )
        elif self._is_lost and not is_lost:
            self._log(f"change log: roster confirmed again; since the start: {self.summary()}")
        self._is_lost = is_lost

    def summary(self) -> str:
        """The counters in one line."""
        counters = self._counters
        return (
            f"{self.unconfirmed_spans} unconfirmed spans, {counters.queries} state queries "
            f"({counters.rejected_queries} rejected), {counters.doubts} rejections doubted, "
            f"{counters.suspected_restarts} restarts suspected, {counters.unsent_requests} requests unsent"
        )
