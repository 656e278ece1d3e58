"""A front end's own work as its table of requests sees it, when it is told, and what its module hears of the
others'. The thin part round `elsewhere.py` and `others.py`."""

from collections.abc import Callable
from typing import Any

from fawnwharf import interface as io
from fawnwharf.net.front_end import FrontEnd, scorer_number
from fawnwharf.net.scorer_streams import Attempt, LoadOrder
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.replication.call_owner import OwnerAction
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.replication.load_report import LoadReporter

GATHER_MS = 4.0  # keepers answer at nearly the same moment: the module hears once


class LoadReporting:
    """Owns the pace at which work is told; a witness of the front end's table."""

    def __init__(
        self, core: ReplicationCore, settings: io.Settings, note: Callable[[str, dict[str, Any]], None]
    ) -> None:
        """Switches the telling on in this core."""
        self._core, self._note = core, note
        copies_ms = min(core.settings.copy_lifetime_ms, settings.idle_life_ms / 2)
        core.load_reporter = self.own = LoadReporter(
            settings.slow_start_ms, settings.slow_start_window_ms, copies_ms
        )
        self._fronts = settings.fleet_size
        self._front: FrontEnd | None = None
        self._carry_out: Callable[[list[OwnerAction]], None] | None = None
        self._timer: Timer | None = None
        self._due_ms = self._told_ms = 0.0
        self._gathers = False
        self._handed_ms = 0.0  # when the module last heard
        self._was_sure: bool | None = None

    def attach(self, front: FrontEnd, carry_out: Callable[[list[OwnerAction]], None]) -> None:
        self._front, self._carry_out = front, carry_out
        front.requests.observer = self
        entries = [
            io.ScorerEntry(scorer_number(member.id), up_since_ms=member.up_since_ms or None)
            for member in front.roster_overlay.members.values()
        ]
        self.own.roster(monotonic_ms(), front.loop.clock.now_ms(), entries, True)
        self._tell()

    def close(self) -> None:
        if self._front is not None:
            self._front.requests.observer = None
            self._timer.cancel()
            self._front = None

    # --- what is seen ---------------------------------------------------------------------------

    def events(self, events: list[io.Event]) -> None:
        for event in events:
            if isinstance(event, io.RosterChanged) and self._front is not None:
                unix_ms = self._front.loop.clock.now_ms()
                self.own.roster(monotonic_ms(), unix_ms, event.entries, event.complete)
                self._hasten()

    def sent(self, attempt: Attempt) -> None:
        self.own.sent(monotonic_ms(), attempt.worker)

    def ended(self, attempt: Attempt, ending: io.AttemptResult, warmth: io.Warmth) -> None:
        self.own.ended(monotonic_ms(), attempt.worker, attempt.function, ending, warmth)

    def ordered(self, order: LoadOrder) -> None:
        self.own.ordered(monotonic_ms(), order.worker, order.function, order.copies)
        if order.copies:
            self._hasten()

    def order_ended(self, order: LoadOrder, ending: io.AttemptResult, copies: int) -> None:
        now = monotonic_ms()
        self.own.order_ended(now, order.worker, order.function, order.copies, ending, copies)
        if order.copies:
            self._hasten()

    # --- what is told ---------------------------------------------------------------------------

    def _tell(self) -> None:
        if self._front is None:
            return
        self._told_ms = now = monotonic_ms()
        self._carry_out(self._core.send_load_report(now, self._fronts))
        sure, heard = self._core.remote_sends_known(now, self._fronts)
        if sure != self._was_sure:
            self._was_sure = sure
            self._note("work elsewhere", {"known": sure, "heard": heard})
        rules = self._core.settings
        if (
            now - self._handed_ms > rules.load_report_lifetime_ms
        ):  # no keeper answers: what was told is taken back
            self._hand_on()
        quick = bool(self.own.loads or self.own.cold(now))
        self._set(now + (rules.slow_start_report_interval_ms if quick else rules.load_report_interval_ms))

    def _hasten(self) -> None:
        """There is news: the next word goes at the quick pace."""
        due = self._told_ms + self._core.settings.slow_start_report_interval_ms
        if self._front is not None and due < self._due_ms:
            self._timer.cancel()
            self._set(due)

    def _set(self, due_ms: float) -> None:
        self._due_ms = due_ms
        self._timer = self._front.loop.timers.after(max(0.0, due_ms - monotonic_ms()), self._tell)

    def answered(self) -> None:
        """Lines came; if a keeper's answer is among them, the module hears of it in a moment."""
        if self._core.remote_loads.news and not self._gathers and self._front is not None:
            self._gathers = True
            self._front.loop.timers.after(GATHER_MS, self._hand_on)

    def _hand_on(self) -> None:
        self._gathers = self._core.remote_loads.news = False
        if self._front is not None:
            self._handed_ms = monotonic_ms()
            for event in self._core.remote_load_events(self._handed_ms, self._fronts):
                self._front.loop.enqueue(event)
