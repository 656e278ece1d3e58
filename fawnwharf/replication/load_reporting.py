"""Load reporting in a running front end: collects events, times the reports, and updates the module.

The logic is in `load_report.py`, `load_report_store.py` and `remote_loads.py`.
"""

from collections.abc import Callable
from typing import Any

from fawnwharf import interface as io
from fawnwharf.net.front_end import FrontEnd, scorer_number
from fawnwharf.net.scorer_streams import Attempt, LoadOrder
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.replication.call_owner import OwnerAction
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.replication.load_report import CopyLocation, LoadReporter

COALESCE_MS = 4.0  # replicas answer at nearly the same time, so their answers are passed on together


class LoadReporting:
    """Times the load reports; an observer of the front end's request table."""

    def __init__(
        self, core: ReplicationCore, settings: io.Settings, log_event: Callable[[str, dict[str, Any]], None]
    ) -> None:
        """Enable load reports in this core."""
        self._core, self._log_event = core, log_event
        copy_lifetime_ms = min(core.settings.copy_lifetime_ms, settings.idle_lifetime_ms / 2)
        self.reporter = LoadReporter(settings.slow_start_ms, settings.slow_start_window_ms, copy_lifetime_ms)
        core.load_reporter = self.reporter
        self._fleet_size = settings.fleet_size
        self._running: _Running | None = None
        self._update_planned = False
        self._last_event_ms = 0.0  # when the module was last updated
        self._sends_known: bool | None = None

    def attach(self, front_end: FrontEnd, carry_out: Callable[[list[OwnerAction]], None]) -> None:
        """Start reporting on the front end's loop."""
        self._running = _Running(front_end, carry_out)
        front_end.requests.observer = self
        entries = [
            io.ScorerEntry(scorer_number(member.id), up_since_ms=member.up_since_ms or None)
            for member in front_end.roster_overlay.members.values()
        ]
        unix_ms = front_end.loop.clock.now_ms()
        self.reporter.roster_changed(monotonic_ms(), unix_ms, entries, complete=True)
        self._report()

    def close(self) -> None:
        """Stop reporting."""
        if self._running is not None:
            self._running.front_end.requests.observer = None
            self._running.cancel()
            self._running = None

    # --- observed events ----------------------------------------------------------------------

    def events(self, events: list[io.Event]) -> None:
        """Handle roster changes."""
        for event in events:
            if isinstance(event, io.RosterChanged) and self._running is not None:
                unix_ms = self._running.front_end.loop.clock.now_ms()
                self.reporter.roster_changed(monotonic_ms(), unix_ms, event.entries, complete=event.complete)
                self._expedite_report()

    def sent(self, attempt: Attempt) -> None:
        """Record an attempt that was sent."""
        self.reporter.attempt_sent(monotonic_ms(), attempt.scorer)

    def ended(self, attempt: Attempt, ending: io.AttemptResult, warmth: io.Warmth) -> None:
        """Record an attempt that ended."""
        location = CopyLocation(attempt.scorer, attempt.function)
        self.reporter.attempt_ended(monotonic_ms(), location, ending, warmth)

    def ordered(self, order: LoadOrder) -> None:
        """Record a load order or probe that was sent."""
        self.reporter.order_sent(monotonic_ms(), CopyLocation(order.scorer, order.function), order.copies)
        if order.copies:
            self._expedite_report()

    def order_ended(self, order: LoadOrder, ending: io.AttemptResult, copies: int) -> None:
        """Record a load order or probe that ended."""
        location = CopyLocation(order.scorer, order.function)
        self.reporter.order_ended(monotonic_ms(), location, order.copies, ending, copies)
        if order.copies:
            self._expedite_report()

    # --- reports ------------------------------------------------------------------------------

    def _report(self) -> None:
        """Send the next report and schedule the one after it."""
        if self._running is None:
            return
        now_ms = self._running.reported_ms = monotonic_ms()
        self._running.carry_out(self._core.send_load_report(now_ms, self.reporter, self._fleet_size))
        known, front_ends = self._core.remote_sends_known(now_ms, self._fleet_size)
        if known != self._sends_known:
            self._sends_known = known
            self._log_event("remote load", {"known": known, "front_ends": front_ends})
        settings = self._core.settings
        if now_ms - self._last_event_ms > settings.load_report_lifetime_ms:
            self._send_updates()  # no replica answers: withdraw what the module was told
        frequent = self.reporter.has_pending_loads or self.reporter.scorers_in_slow_start(now_ms)
        interval_ms = settings.slow_start_report_interval_ms if frequent else settings.load_report_interval_ms
        self._running.schedule(now_ms + interval_ms, self._report)

    def _expedite_report(self) -> None:
        """Reschedule the next report to the short interval, because something changed."""
        if self._running is None:
            return
        due_ms = self._running.reported_ms + self._core.settings.slow_start_report_interval_ms
        if due_ms < self._running.due_ms:
            self._running.cancel()
            self._running.schedule(due_ms, self._report)

    def lines_received(self) -> None:
        """Schedule an update of the module if a received line had a replica's answer."""
        if self._core.remote_loads.answered and not self._update_planned and self._running is not None:
            self._update_planned = True
            self._running.front_end.loop.timers.after(COALESCE_MS, self._send_updates)

    def _send_updates(self) -> None:
        """Send the module an event for each change."""
        self._update_planned = self._core.remote_loads.answered = False
        if self._running is not None:
            self._last_event_ms = monotonic_ms()
            for event in self._core.remote_load_events(self._last_event_ms, self.reporter, self._fleet_size):
                self._running.front_end.loop.enqueue(event)


class _Running:
    """The parts that exist while the front end runs, and the timer of the next report."""

    def __init__(self, front_end: FrontEnd, carry_out: Callable[[list[OwnerAction]], None]) -> None:
        self.front_end, self.carry_out = front_end, carry_out
        self.reported_ms = self.due_ms = 0.0
        self._timer: Timer | None = None

    def schedule(self, due_ms: float, report: Callable[[], None]) -> None:
        """Schedule the next report."""
        self.due_ms = due_ms
        self._timer = self.front_end.loop.timers.after(max(0.0, due_ms - monotonic_ms()), report)

    def cancel(self) -> None:
        """Cancel the scheduled report."""
        if self._timer is not None:
            self._timer.cancel()
