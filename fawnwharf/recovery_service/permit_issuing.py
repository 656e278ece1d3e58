"""Issues and requests permits for first copies and for calls to warming scorers after a power loss.

This module does no I/O: it takes times, messages and answers, and returns actions (`actions.py`). Load
coordinators and slow start coordinators are chosen among the reachable replicas, as only replicas receive
messages from all members. If no replica is reachable, a front end issues permits to itself within its share.
Load requests are sent to a function's coordinator once a tick and repeated until they have a result. The
coordinator answers each of them, so a lost message only costs time.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from fawnwharf import interface as io
from fawnwharf.recovery_core.budget import FleetLimits, start_offset_ms
from fawnwharf.recovery_core.phases import AllowedActions
from fawnwharf.recovery_core.register import PermitAssignment
from fawnwharf.recovery_service import permit_messages as m
from fawnwharf.recovery_service.actions import Action, CopyAvailable, SendPermitMessage
from fawnwharf.recovery_service.coordinated_slow_start import CoordinatedSlowStart
from fawnwharf.recovery_service.copy_reports import CopyReports
from fawnwharf.recovery_service.delegated_loads import DELEGATION_MS, DelegatedLoadExecutor
from fawnwharf.recovery_service.load_coordination import (
    COUNTING_RESULTS,
    MIN_ETA_MS,
    RETRY_MS,
    LoadCoordination,
    LoadEnvironment,
)
from fawnwharf.recovery_service.load_permits import LoadPermits
from fawnwharf.recovery_service.local_load_requests import LocalLoadRequests
from fawnwharf.recovery_service.permit_view import AssignmentNumber, PermitView

TICK_MS = 50.0  # messages are batched for this time
VIEW_LAG_MS = 1_750.0  # all front ends agree on reachability after this: the silence timeout plus one scan
TYPICAL_LOAD_MS = 2_000.0  # loads usually take no longer
SPREAD_MS = 1_000.0  # coordinators chosen by reachability start at different times within this
ANNOUNCEMENT_VALID_MS = 5_000.0  # a front end follows an announced register this long: `PhaseTiming.alone_ms`
EXPIRY_SCAN_MS = 250.0  # the longest delay until a front end notices that its register has expired
MAX_PLACEMENTS = 20_000


class PermitEvent(StrEnum):
    """Counted events of load requests and copy reports; the values name the counters."""

    TOO_MANY_REQUESTS = "load requests beyond the limit"
    TOO_MANY_RECEIVED = "load requests of others beyond the limit"
    OTHER_COORDINATOR = "load requests for another coordinator"
    LATE_REPORT = "copy reports that came late"
    TOO_MANY_PLACEMENTS = "copies beyond the limit"


class _KnownCopy(NamedTuple):
    scorer: int
    reporter: str


@dataclass(frozen=True, slots=True)
class PermitTiming:
    """Durations of permit issuing in milliseconds; all front ends of a fleet use the same values."""

    view_lag_ms: float = VIEW_LAG_MS
    typical_load_ms: float = TYPICAL_LOAD_MS
    announcement_valid_ms: float = ANNOUNCEMENT_VALID_MS


class PermitIssuer:
    """Handles the load requests sent and received by this front end, and the known first copies."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        limits: FleetLimits,
        hash_order: Callable[[str], Sequence[int]],
        timing: PermitTiming | None = None,
        orders_left: Callable[[], float] = lambda: math.inf,
    ) -> None:
        """Begin without any known copy.

        `incarnation` differs at each start. `hash_order` returns a function's scorers that accept calls, in
        its hash order. `orders_left` returns how many orders the decision module may still make.
        """
        timing = timing or PermitTiming()
        self.name = name
        self.incarnation = incarnation
        self.limits = limits
        self.announcement_valid_ms = timing.announcement_valid_ms
        self.slow_start = CoordinatedSlowStart(name, incarnation, limits, timing.view_lag_ms)
        self.permits = LoadPermits(name, limits, timing.view_lag_ms, timing.typical_load_ms + DELEGATION_MS)
        self.copies: dict[str, _KnownCopy] = {}  # by function
        environment = LoadEnvironment(hash_order, self.copies.__contains__, orders_left)
        self.coordination = LoadCoordination(name, self.permits, environment)
        self.delegated = DelegatedLoadExecutor(incarnation)
        self.reports = CopyReports(incarnation)
        self._orders_left = orders_left
        self._counts = Counter[PermitEvent]()
        self._allowed = AllowedActions()
        self._power_loss = -1
        # The power loss whose phases were followed here before any permit was issued in it; -1: none.
        self._observed_power_loss = -1
        self._reachable: frozenset[str] = frozenset()
        self.requests = LocalLoadRequests()

    @property
    def counts(self) -> dict[str, int]:
        """Counts of dropped and late messages and requests, by cause."""
        counts: dict[str, int] = {}
        counts.update(self._counts.items())
        counts.update(self.coordination.counts.items())
        counts.update(self.slow_start.counts.items())
        counts.update(self.delegated.counts.items())
        if dropped := self.coordination.queue.dropped:
            counts[PermitEvent.TOO_MANY_RECEIVED] = dropped
        return counts

    # --- who issues permits -----------------------------------------------------------------------

    def update(
        self,
        now_ms: float,
        reachable: Iterable[str],
        replicas: Iterable[str],
        allowed: AllowedActions,
        power_loss: int,
        assignment: PermitAssignment | None = None,
    ) -> None:
        """Use the current view of the fleet; call this at each change.

        `reachable` has the members that sent a message recently. `assignment` is the permit assignment in the
        register that is followed.

        A front end uses the first assignment after a power loss at once if it followed that recovery before
        loads were allowed, as then none of its earlier incarnations issued permits since. A front end that
        joins the recovery later waits as for any other assignment.
        """
        now_reachable = frozenset(reachable) | {self.name}
        view = self._view(now_reachable & frozenset(replicas), allowed, power_loss, assignment)
        self.permits.update(now_ms, view)
        self.slow_start.update(now_ms, view)
        if allowed.loads:
            self._allow_loads(now_ms, view, now_reachable)
        self.reports.retain(now_reachable)
        self.coordination.spare_rates.retain(now_reachable)
        self._allowed = allowed
        self._power_loss = power_loss
        self._reachable = now_reachable
        if allowed.spill:
            self.requests.clear()
            self.coordination.reset()

    def _view(
        self,
        replicas: frozenset[str],
        allowed: AllowedActions,
        power_loss: int,
        assignment: PermitAssignment | None,
    ) -> PermitView:
        if assignment is not None and assignment.deals:
            number = AssignmentNumber(assignment.cut, assignment.deals)
            is_first = assignment.deals == 1 and self._observed_power_loss == assignment.cut
            lag_ms = 0.0 if is_first else self.announcement_valid_ms + EXPIRY_SCAN_MS
            return PermitView(assignment.givers, allowed.part, power_loss, number, lag_ms, is_first)
        if allowed.loads:
            self._observed_power_loss = -1  # this front end is partitioned, or only others lost power
        elif assignment is not None:
            self._observed_power_loss = assignment.cut
        return PermitView(tuple(sorted(replicas)) or (self.name,), allowed.part, power_loss)

    def _allow_loads(self, now_ms: float, view: PermitView, reachable: frozenset[str]) -> None:
        if not self._allowed.loads or view.power_loss != self._power_loss:
            spread_ms = SPREAD_MS if view.assignment is None else 0.0
            offset_ms = start_offset_ms(self.name, view.power_loss, spread_ms)
            self.coordination.queue.begins_ms = now_ms + offset_ms
        for name in sorted(reachable - self._reachable - {self.name}):  # they receive all local reports
            own = [function for function, copy in self.copies.items() if copy.reporter == self.name]
            self.reports.add_for(name, own)

    def scorer_seen(self, now_ms: float, scorer: int, age_ms: float) -> None:
        """Record that a scorer is up and for how long; a scorer that restarted has no copies."""
        known_ms = self.slow_start.age_ms(now_ms, scorer)
        if known_ms is not None and age_ms < known_ms - RETRY_MS:
            self._forget_copies(scorer)
        self.slow_start.scorer_seen(now_ms, scorer, age_ms)

    def scorer_gone(self, scorer: int) -> list[Action]:
        """Forget a scorer; calls that waited for its permits retry and may find another scorer."""
        self._forget_copies(scorer)
        return [*self.slow_start.scorer_gone(scorer)]

    def _forget_copies(self, scorer: int) -> None:
        for function in [function for function, copy in self.copies.items() if copy.scorer == scorer]:
            self.copy_lost(function, scorer)

    # --- calls here -------------------------------------------------------------------------------

    def request_copy(self, now_ms: float, request: m.LoadRequest) -> None:
        """Record that local calls need a copy, or will need it, judging by usage before the power loss."""
        if request.function not in self.copies and not self.requests.add(now_ms, request):
            self._counts[PermitEvent.TOO_MANY_REQUESTS] += 1

    def place(self, function: str) -> int | None:
        """The scorer that has the function's first copy; None if no copy is known."""
        copy = self.copies.get(function)
        return None if copy is None else copy.scorer

    def copy_lost(self, function: str, scorer: int) -> None:
        """Record that a scorer no longer has its copy, according to an answer or the roster."""
        copy = self.copies.get(function)
        if copy is None or copy.scorer != scorer:
            return
        del self.copies[function]
        if copy.reporter == self.name:
            self.reports.add_for_all(function)
        self.coordination.queue.remove(function)
        self.requests.copy_lost(function, scorer)

    def eta_ms(self, now_ms: float, function: str) -> float:
        """The milliseconds until a copy is expected; 0 if one is known."""
        if function in self.copies:
            return 0.0
        if self.permits.coordinator(function) == self.name:
            return self.coordination.eta_ms(now_ms, function)
        due_ms = self.requests.due_ms(function)
        if due_ms is None:
            return self.coordination.queue.fetch_ms + 2 * TICK_MS
        return max(MIN_ETA_MS, due_ms - now_ms)

    def request_permit(self, now_ms: float, scorer: int, key: str) -> float | None:
        """Request a slow start permit for a call, as `CoordinatedSlowStart.request` does."""
        return self.slow_start.request(now_ms, scorer, key)

    def cancel_permit(self, key: str) -> None:
        """Forget a call that no longer needs a permit."""
        self.slow_start.cancel(key)

    # --- messages ---------------------------------------------------------------------------------

    def receive(self, now_ms: float, sender: str, message: m.PermitMessage) -> list[Action]:
        """Handle a message from another front end."""
        if isinstance(message, m.LoadRequests):
            self._receive_requests(now_ms, sender, message.requests)
        elif isinstance(message, m.CopyReport):
            return self._receive_report(now_ms, sender, message)
        elif isinstance(message, m.PermitRequest):
            return [*self.slow_start.answer_request(now_ms, sender, message)]
        elif isinstance(message, m.SpareRate):
            self.coordination.spare_rates.receive(now_ms, sender, message)
        elif isinstance(message, m.DelegatedLoadOrder):
            return self.delegated.accept(now_ms, sender, message, loads_allowed=self._may_load)
        elif isinstance(message, m.DelegatedLoadReport):
            if self.coordination.receive_report(now_ms, sender, message):
                return self._loaded(now_ms, message.function, message.scorer)
        else:
            return [*self.slow_start.receive_response(now_ms, message)]
        return []

    def _receive_requests(self, now_ms: float, sender: str, requests: Iterable[m.LoadRequest]) -> None:
        """Handle requests to this coordinator; the next tick answers each, also if a copy exists."""
        for request in requests:
            function = request.function
            if self.permits.coordinator(function) != self.name:
                self._counts[PermitEvent.OTHER_COORDINATOR] += 1
                continue
            if request.lost is not None:
                self.copy_lost(function, request.lost)
            if sender != self.name:
                self.reports.add_for(sender, [function])
            if function not in self.copies:
                self.coordination.request(now_ms, request)

    def _receive_report(self, now_ms: float, sender: str, report: m.CopyReport) -> list[Action]:
        actions: list[Action] = []
        for placement in report.placements:
            function = placement.function
            if not self.reports.is_new(function, sender, report):
                self._counts[PermitEvent.LATE_REPORT] += 1
                continue
            if placement.eta_ms == 0.0:
                actions += self._note_copy(function, placement.scorer, sender)
                continue
            copy = self.copies.get(function)
            if copy is not None and sender in (copy.reporter, self.permits.coordinator(function)):
                del self.copies[function]
            if placement.eta_ms is not None:
                self.requests.expect(function, now_ms + placement.eta_ms)
        return actions

    def _note_copy(self, function: str, scorer: int, reporter: str) -> list[CopyAvailable]:
        """Record where a copy is; return a notification for waiting calls if the place is new."""
        if function not in self.copies and len(self.copies) >= MAX_PLACEMENTS:
            self._counts[PermitEvent.TOO_MANY_PLACEMENTS] += 1
            return []
        is_new = self.place(function) != scorer
        self.copies[function] = _KnownCopy(scorer, reporter)
        self.requests.copy_found(function)
        return [CopyAvailable(function)] if is_new else []

    # --- loads ------------------------------------------------------------------------------------

    def ordered(self, now_ms: float, scorer: int, function: str) -> None:
        """Record that the decision module made an order; call this for each order that is sent."""
        self.coordination.ordered(now_ms, scorer, function)
        self.delegated.ordered(scorer, function)

    def is_own(self, scorer: int, function: str) -> bool:
        """Whether an order is made for a coordinator: this one, or one that delegated the order."""
        return self.coordination.is_own(scorer, function) or self.delegated.is_own(scorer, function)

    def answered(self, now_ms: float, event: io.LoadOrderAnswered) -> list[Action]:
        """Handle a scorer's answer to any order or query."""
        counts_copies = event.result in COUNTING_RESULTS
        if counts_copies and not event.copies:
            self.copy_lost(event.function, event.scorer)
        actions: list[Action] = [*self.delegated.answered(event, counts_copies=counts_copies)]
        if self.coordination.answered(now_ms, event):
            actions += self._loaded(now_ms, event.function, event.scorer)
        return actions

    def _loaded(self, now_ms: float, function: str, scorer: int) -> list[Action]:
        """Report a new copy that was ordered here, and use the freed permit."""
        self.reports.add_for_all(function)
        actions: list[Action] = [*self._note_copy(function, scorer, self.name)]
        if self._may_load:  # the permit is free again
            actions += self.coordination.orders(now_ms)
        return actions

    @property
    def _may_load(self) -> bool:
        return self._allowed.loads and not self._allowed.spill

    # --- ticks ------------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[Action]:
        """Return the due orders, requests and reports; call this every `TICK_MS`."""
        actions: list[Action] = [*self.coordination.overdue(now_ms), *self.delegated.tick(now_ms)]
        if self._may_load:
            actions += self._send_requests(now_ms)
            actions += self._report_spare_rate(now_ms)
            actions += self.coordination.orders(now_ms)
        actions += self.reports.tick(lambda function: self._placement(now_ms, function))
        return [*actions, *self.slow_start.tick(now_ms)]

    def _report_spare_rate(self, now_ms: float) -> list[SendPermitMessage]:
        """Offer spare orders to the coordinators that this front end waits for."""
        coordinators = self.requests.coordinators() - {self.name}
        if not coordinators:
            return []
        return self.delegated.report_spare_rate(
            now_ms, coordinators, self._orders_left(), len(self._reachable)
        )

    def _send_requests(self, now_ms: float) -> list[SendPermitMessage]:
        """Send the due load requests to their coordinators, largest weight first."""
        messages = []
        for coordinator, requests in self.requests.take_due(now_ms, self.permits.coordinator):
            if coordinator == self.name:
                self._receive_requests(now_ms, self.name, requests)
            else:
                messages.append(SendPermitMessage((coordinator,), m.LoadRequests(tuple(requests))))
        return messages

    def _placement(self, now_ms: float, function: str) -> m.CopyPlacement:
        """This front end's current report about a function's first copy."""
        if (scorer := self.place(function)) is not None:
            return m.CopyPlacement(function, scorer)
        if self.coordination.knows(function) and self.permits.coordinator(function) == self.name:
            return m.CopyPlacement(function, 0, max(1.0, self.coordination.eta_ms(now_ms, function)))
        return m.CopyPlacement(function, 0, None)
