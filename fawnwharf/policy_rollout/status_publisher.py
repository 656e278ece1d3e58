"""Publishes this member's status to the other members when it changes, at a limited rate."""

from collections.abc import Callable

import msgspec

from fawnwharf.net.timer_wheel import TimerWheel, monotonic_ms
from fawnwharf.policy_rollout.messages import MemberStatus
from fawnwharf.zones.service import ZoneService

INTERVAL_MS = 40.0  # the shortest time between two published statuses


class StatusPublisher:
    """Owns the last status that was published."""

    def __init__(
        self, timers: TimerWheel, zones: ZoneService, status: Callable[[float], MemberStatus]
    ) -> None:
        """`status` returns this member's status at a time in milliseconds."""
        self._timers = timers
        self._zones = zones
        self._status = status
        self._published: MemberStatus | None = None
        self._published_ms = -1e9
        self._timer_runs = False
        self._stopped = False

    def publish(self) -> None:
        """Publish the status if it has changed, now or at the end of the interval."""
        if self._stopped:
            return
        now_ms = monotonic_ms()
        status = self._status(now_ms)
        if status == self._published:
            return
        if now_ms - self._published_ms >= INTERVAL_MS:
            self._published = status
            self._published_ms = now_ms
            self._zones.publish_status(msgspec.to_builtins(status))
        elif not self._timer_runs:
            self._timer_runs = True
            self._timers.after(INTERVAL_MS, self._publish_later)

    def _publish_later(self) -> None:
        self._timer_runs = False
        self.publish()

    def stop(self) -> None:
        """Stop publishing."""
        self._stopped = True
