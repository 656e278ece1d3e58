"""Passes confirmations of the roster to the router, and logs when they stop and resume."""

from collections.abc import Callable

from fawnwharf import interface as io
from fawnwharf.policy.roster_lease import UNCONFIRMED_MS, LeaseCounters

# A change log event counts as received after this time, whether it was received or not. The lease is shorter
# by a margin for clock differences and for the network delay to a scorer.
MAX_EVENT_DELAY_MS = 7_000.0
LEASE_MARGIN_MS = 100.0
ROSTER_LEASE_MS = MAX_EVENT_DELAY_MS - LEASE_MARGIN_MS


class RosterConfirmation:
    """Passes on the latest confirmation with each batch, and logs when the roster is unconfirmed for long.

    All times are milliseconds on the monotonic clock. `unconfirmed_spans`: the number of times without a
    confirmation that lasted longer than `UNCONFIRMED_MS`.
    """

    def __init__(self, counters: LeaseCounters, log: Callable[[str], None], now_ms: float) -> None:
        """`counters`: the router's; `now_ms`: the time since which the roster is unconfirmed."""
        self.unconfirmed_spans = 0
        self._counters = counters
        self._log = log
        self._since_ms = now_ms
        self._proved_ms: float | None = None
        self._pending: io.RosterConfirmed | None = None
        self._is_lost = False

    def confirm(self, proved_ms: float) -> io.RosterConfirmed | None:
        """Record a confirmation as of `proved_ms`; return a new event if the next batch has none."""
        self._proved_ms = proved_ms if self._proved_ms is None else max(proved_ms, self._proved_ms)
        if self._pending is not None:
            return None
        self._pending = io.RosterConfirmed(0.0)
        return self._pending

    def begin_batch(self, now_ms: float) -> None:
        """Set the age of the pending event, which the router receives now."""
        if self._pending is not None and self._proved_ms is not None:
            self._pending.age_ms = max(0.0, now_ms - self._proved_ms)
        self._pending = None

    def run_maintenance(self, now_ms: float) -> None:
        """Log once if the roster is unconfirmed for long, and once when it is confirmed again."""
        since_ms = self._since_ms if self._proved_ms is None else self._proved_ms
        is_lost = now_ms - since_ms >= UNCONFIRMED_MS
        if is_lost and not self._is_lost:
            self.unconfirmed_spans += 1
            self._log(
                f"change log: roster unconfirmed for {now_ms - since_ms:.0f} ms; "
                "a scorer is used only while its own answers show that it is in service"
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
