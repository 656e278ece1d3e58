"""Delegated load orders: a load coordinator's permit, used within another front end's load rate limit.

This module does no I/O and holds both sides. A coordinator whose own rate limit is used up sends the order to
a front end that reported spare rate. The coordinator keeps the permit in use until the result arrives or the
typical load time is over. The delegate ignores an order that arrives too long after its report, by its own
clock. So an order begins no later than `DELEGATION_MS` after its coordinator was lost.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from fawnwharf import interface as io
from fawnwharf.recovery_service import permit_messages as m
from fawnwharf.recovery_service.actions import Action, LoadOrder, SendPermitMessage

SPARE_REPORT_MS = 200.0  # least interval between two reports of spare rate
SPARE_REPORT_PER_MEMBER_MS = 4.0  # least interval for each reachable front end, if that is longer in total
SPARE_FRESH_MS = 150.0  # a coordinator uses a report for this long
SPARE_VALID_MS = 250.0  # a delegate accepts an order for this long after its report
ORDER_MADE_MS = 100.0  # the decision module makes an order within this time or not at all
DELEGATION_MS = SPARE_VALID_MS + ORDER_MADE_MS
ORDER_TIMEOUT_MS = 10_000.0  # an order without an answer has failed after this time
MAX_SPARE_ORDERS = 8  # offered in one report, over all coordinators
MAX_SPARE_REPORTS = 8  # own reports that are remembered


class DelegationEvent(StrEnum):
    """Counted events of delegated load orders; the values name the counters."""

    LATE = "delegated load orders: late"


@dataclass(slots=True)
class _ReportedSpareRate:
    incarnation: int
    number: int
    count: int
    received_ms: float


class Delegate(NamedTuple):
    """A front end that accepts one order, and the report in which it offered that."""

    name: str
    incarnation: int
    report_number: int


class SpareRates:
    """A coordinator's view of the front ends that can make orders for it."""

    def __init__(self) -> None:
        self._reports: dict[str, _ReportedSpareRate] = {}

    def receive(self, now_ms: float, sender: str, report: m.SpareRate) -> None:
        """Record a report, unless it is older than the last one of the same incarnation."""
        known = self._reports.pop(sender, None)
        if known is not None and known.incarnation == report.incarnation and report.number <= known.number:
            self._reports[sender] = known
        else:
            self._reports[sender] = _ReportedSpareRate(
                report.incarnation, report.number, report.count, now_ms
            )

    def take(self, now_ms: float) -> Delegate | None:
        """Use up one spare order of the front end that reported last; None if there is none."""
        for name, report in reversed(self._reports.items()):
            if now_ms - report.received_ms <= SPARE_FRESH_MS and report.count > 0:
                report.count -= 1
                return Delegate(name, report.incarnation, report.number)
        return None

    def retain(self, reachable: frozenset[str]) -> None:
        """Forget the reports of all other front ends."""
        self._reports = {name: report for name, report in self._reports.items() if name in reachable}


class _Placement(NamedTuple):
    scorer: int
    function: str


@dataclass(slots=True)
class _OpenDelegatedLoad:
    coordinator: str
    since_ms: float
    made: bool = False


class DelegatedLoadExecutor:
    """Makes orders for coordinators: reports spare rate, and tracks the open delegated orders."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.counts = Counter[DelegationEvent]()
        self._number = 0
        self._reported_ms = float("-inf")
        self._report_times: dict[int, float] = {}  # by number of the report
        self._open: dict[_Placement, _OpenDelegatedLoad] = {}
        self._outbox: list[SendPermitMessage] = []

    def report_spare_rate(
        self, now_ms: float, coordinators: Iterable[str], room: float, reachable: int
    ) -> list[SendPermitMessage]:
        """Offer the orders that this front end can make, divided equally among the coordinators.

        `room` is the number of orders left within the local load rate limit. It is infinite without a rate
        limit, in which case no coordinator needs a delegate. `reachable` is the number of reachable front
        ends.
        """
        if room == float("inf"):
            return []
        to = tuple(sorted(coordinators))
        spare = min(MAX_SPARE_ORDERS, int(min(room, MAX_SPARE_ORDERS))) - len(self._open)
        interval_ms = max(SPARE_REPORT_MS, SPARE_REPORT_PER_MEMBER_MS * reachable)
        if not to or spare < len(to) or now_ms - self._reported_ms < interval_ms:
            return []
        self._number += 1
        self._reported_ms = now_ms
        self._report_times[self._number] = now_ms
        while len(self._report_times) > MAX_SPARE_REPORTS:
            del self._report_times[next(iter(self._report_times))]
        return [SendPermitMessage(to, m.SpareRate(self.incarnation, self._number, spare // len(to)))]

    def accept(
        self, now_ms: float, sender: str, order: m.DelegatedLoadOrder, *, loads_allowed: bool
    ) -> list[Action]:
        """Accept a coordinator's order, or answer that it was not made."""
        reported_ms = self._report_times.get(order.number, float("-inf"))
        if order.incarnation != self.incarnation or now_ms - reported_ms > SPARE_VALID_MS:
            self.counts[DelegationEvent.LATE] += 1
            return []  # the coordinator gives up on it after the typical load time
        placement = _Placement(order.scorer, order.function)
        if not loads_allowed or placement in self._open:
            return [self._report(sender, placement, m.DelegatedLoadResult.NOT_MADE)]
        self._open[placement] = _OpenDelegatedLoad(sender, now_ms)
        wanted = io.PrefetchRequested(
            order.scorer, order.function, order.class_name, 1, order.lanes, order.load_ms
        )
        return [LoadOrder(wanted)]

    def _report(self, to: str, placement: _Placement, result: m.DelegatedLoadResult) -> SendPermitMessage:
        report = m.DelegatedLoadReport(placement.scorer, placement.function, int(result))
        return SendPermitMessage((to,), report)

    def is_own(self, scorer: int, function: str) -> bool:
        """Whether an order for this function at this scorer is a delegated one."""
        return (scorer, function) in self._open

    def ordered(self, scorer: int, function: str) -> None:
        """Record that the decision module made the order; the next tick reports it."""
        placement = _Placement(scorer, function)
        order = self._open.get(placement)
        if order is not None and not order.made:
            order.made = True
            self._outbox.append(self._report(order.coordinator, placement, m.DelegatedLoadResult.MADE))

    def answered(self, event: io.LoadOrderAnswered, *, counts_copies: bool) -> list[SendPermitMessage]:
        """Handle a scorer's answer; `counts_copies` tells whether it states the scorer's number of copies."""
        placement = _Placement(event.scorer, event.function)
        order = self._open.get(placement)
        if order is None:
            return []
        if counts_copies and event.copies:
            del self._open[placement]
            return [self._report(order.coordinator, placement, m.DelegatedLoadResult.LOADED)]
        if not order.made or event.result is io.AttemptResult.GOOD:
            return []  # this answers a query, not the order
        del self._open[placement]
        return [self._report(order.coordinator, placement, m.DelegatedLoadResult.FAILED)]

    def tick(self, now_ms: float) -> list[SendPermitMessage]:
        """Report orders that were made, not made in time, or not answered in time."""
        messages, self._outbox = self._outbox, []
        for placement, order in list(self._open.items()):
            limit_ms = ORDER_TIMEOUT_MS if order.made else ORDER_MADE_MS
            if now_ms - order.since_ms >= limit_ms:
                del self._open[placement]
                result = m.DelegatedLoadResult.FAILED if order.made else m.DelegatedLoadResult.NOT_MADE
                messages.append(self._report(order.coordinator, placement, result))
        return messages
