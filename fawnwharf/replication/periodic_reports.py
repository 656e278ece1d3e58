"""Sends periodic usage and failure reports of a running front end, and applies those of the others."""

from collections.abc import Callable

from fawnwharf import interface as io
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.replication.call_owner import OwnerAction
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.replication.outlier_ejection import OutlierEjector


class PeriodicReports:
    """Times the usage reports and the failure reports."""

    def __init__(
        self,
        core: ReplicationCore,
        front_end: FrontEnd,
        outlier_ejector: OutlierEjector,
        carry_out: Callable[[list[OwnerAction]], None],
    ) -> None:
        self._core, self._front_end = core, front_end
        self._outlier_ejector, self._carry_out = outlier_ejector, carry_out
        self._closed = False

    def begin(self) -> None:
        """Send the first reports that the settings enable; each report schedules the next."""
        if self._core.settings.quota_shares:
            self._report_usage()
        if self._core.settings.outlier_ejection:
            self._report_failures()

    def close(self) -> None:
        """Stop reporting."""
        self._closed = True

    def _report_usage(self) -> None:
        """Report this front end's usage, and apply the quota shares that follow from the fleet's usage."""
        if self._closed:
            return
        now_ms = monotonic_ms()
        loop = self._front_end.loop
        self._carry_out(self._core.send_usage(now_ms))
        if self._core.quota_shares:
            for tenant, share_rps in self._core.quota_shares.changes(now_ms).items():
                loop.enqueue(io.LimitsChanged(share_rps, tenant))
        loop.timers.after(self._core.settings.usage_interval_ms, self._report_usage)

    def _report_failures(self) -> None:
        """Report failing scorers, and eject the scorers that several front ends report."""
        if self._closed:
            return
        now_ms = monotonic_ms()
        front_end = self._front_end
        self._carry_out(self._core.send_failure_report(now_ms, self._outlier_ejector.tracker))
        changes = self._outlier_ejector.update(now_ms, self._core.reported_outliers, front_end.roster_overlay)
        self._core.reported_outliers.clear()
        if changes.members:
            front_end.apply_filtered_roster(changes)
        front_end.loop.timers.after(self._core.settings.failure_report_interval_ms, self._report_failures)
