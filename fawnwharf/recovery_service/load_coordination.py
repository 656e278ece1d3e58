"""Load coordination on one coordinator: requested functions, open load orders, and expected copy times.

This module does no I/O. Orders go through the decision module (`PrefetchRequested`), which makes them only
within its load rate limit. If an order is not made, the coordinator asks the scorer whether another order
created a copy, and then requests the load again.
"""

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from fawnwharf import interface as io
from fawnwharf.recovery_core.budget import LoadCoordinator
from fawnwharf.recovery_service.actions import LoadOrder, SendPermitMessage
from fawnwharf.recovery_service.delegated_loads import SpareRates
from fawnwharf.recovery_service.load_permits import LoadPermits
from fawnwharf.recovery_service.permit_messages import (
    DelegatedLoadOrder,
    DelegatedLoadReport,
    DelegatedLoadResult,
    LoadRequest,
)

ORDER_MS = 100.0  # the decision module makes an order within this time or not at all
UNMADE_MS = 1_000.0  # timeout of the query to the scorer of an order that was not made
ORDER_TIMEOUT_MS = 10_000.0  # an order without an answer has failed after this time
RETRY_MS = 500.0  # delay after an order that failed
UNMADE_RETRY_MS = 250.0  # delay after an order that the decision module did not make
SORT_MS = 250.0  # interval of sorting the requests by weight
MIN_ETA_MS = 50.0  # least time in which a copy is expected
MAX_FUNCTIONS = 20_000

# Results of a load order with which the scorer also states its number of copies.
COUNTING_RESULTS = (
    io.AttemptResult.GOOD,
    io.AttemptResult.FULL,
    io.AttemptResult.ERROR,
)


class LoadEvent(StrEnum):
    """Counted events of load orders; the values name the counters."""

    TOO_MANY_FUNCTIONS = "functions beyond the limit"
    DELEGATED = "load orders delegated"
    CLOSED_DELEGATION = "reports on delegated load orders that were closed"
    FAILED = "load orders failed"
    NOT_MADE = "load orders not made"


@dataclass(slots=True)
class _FunctionLoad:
    class_name: str
    lanes: int
    load_ms: float | None
    weight_ps: float = 0.0  # the largest requested weight, per second
    failed_until_ms: dict[int, float] = field(default_factory=dict)  # by scorer


@dataclass(slots=True)
class _OpenLoadOrder:
    scorer: int
    since_ms: float  # when it was passed to the decision module or, once it was sent, when it was sent
    sent: bool = False
    queried_ms: float | None = None  # when the scorer was queried because the order was not made
    delegate: str = ""  # the front end that makes the order; such an order counts as sent
    made: bool = False  # the delegate has made the order


class _Deferred(NamedTuple):
    due_ms: float
    weight_ps: float


@dataclass(frozen=True, slots=True)
class LoadEnvironment:
    """Functions of the front end that load coordination calls."""

    hash_order: Callable[[str], Sequence[int]]  # a function's scorers that accept calls, in its hash order
    has_copy: Callable[[str], bool]  # whether a copy of a function is known
    orders_left: Callable[[], float]  # the number of orders that the decision module may still make


class LoadCoordination:
    """Queues the load requests to this coordinator and tracks its load orders."""

    def __init__(self, member: str, permits: LoadPermits, environment: LoadEnvironment) -> None:
        self.member = member
        self.permits = permits
        self.spare_rates = SpareRates()
        self.queue = LoadCoordinator(max_concurrent=0)
        self.counts = Counter[LoadEvent]()
        self.open_orders: dict[str, _OpenLoadOrder] = {}
        self._environment = environment
        self._orders_left = 0.0  # at the last call of `orders`
        self._functions: dict[str, _FunctionLoad] = {}
        self._deferred: dict[str, _Deferred] = {}
        self._sorted_ms = float("-inf")
        self._sorted_weights: list[float] = []

    def reset(self) -> None:
        """Forget the requests, because each front end now orders what it needs."""
        self._deferred.clear()
        self.queue.requests = {}
        self.queue.queue = []
        self._functions = {name: load for name, load in self._functions.items() if name in self.open_orders}

    # --- requests ---------------------------------------------------------------------------------

    def request(self, now_ms: float, request: LoadRequest) -> None:
        """Queue a request for a copy."""
        function = request.function
        if function in self.open_orders:
            return
        load = self._functions.get(function)
        if load is None:
            if len(self._functions) >= MAX_FUNCTIONS:
                self.counts[LoadEvent.TOO_MANY_FUNCTIONS] += 1
                return
            load = _FunctionLoad(request.class_name, request.lanes, request.load_ms)
            self._functions[function] = load
        load.weight_ps = max(load.weight_ps, request.weight_ps)
        self.queue.remove(function)  # the request implies that there is no copy
        self._enqueue(now_ms, function, request.weight_ps)

    def knows(self, function: str) -> bool:
        """Whether the function was ever requested."""
        return function in self._functions

    def _enqueue(self, now_ms: float, function: str, weight_ps: float, not_before_ms: float = 0.0) -> None:
        """Queue a function for when it may be ordered; uses the largest weight and latest time requested."""
        due_ms = max(not_before_ms, self.permits.due_ms(now_ms, function))
        deferred = self._deferred.get(function)
        if deferred is not None:
            due_ms = max(due_ms, deferred.due_ms)
            weight_ps = max(weight_ps, deferred.weight_ps)
        if due_ms > now_ms:
            self._deferred[function] = _Deferred(due_ms, weight_ps)
        else:
            self._deferred.pop(function, None)
            self.queue.request(function, weight_ps)

    def eta_ms(self, now_ms: float, function: str) -> float:
        """The milliseconds until a copy is expected; a faster `LoadCoordinator.eta_ms` for many functions."""
        fetch_ms = self.queue.fetch_ms
        order = self.open_orders.get(function)
        if order is not None:
            return max(MIN_ETA_MS, order.since_ms + fetch_ms - now_ms)
        if now_ms - self._sorted_ms >= SORT_MS:
            self._sorted_ms = now_ms
            self._sorted_weights = sorted(self.queue.requests.values())
        deferred = self._deferred.get(function)
        weight_ps = self.queue.requests.get(function, deferred.weight_ps if deferred else 0.0)
        more_weight = len(self._sorted_weights) - bisect_right(self._sorted_weights, weight_ps)
        ahead = more_weight + len(self.open_orders)
        due_ms = deferred.due_ms if deferred else now_ms
        begins_ms = max(self.queue.begins_ms, due_ms, self.permits.first_usable_ms(now_ms))
        permits = max(1, self.permits.own_count) * self.permits.fetch_fraction
        return max(0.0, begins_ms - now_ms) + fetch_ms * (1.0 + ahead / permits)

    # --- orders -----------------------------------------------------------------------------------

    def orders(self, now_ms: float) -> list[LoadOrder | SendPermitMessage]:
        """Start as many orders as there are free permits."""
        actions: list[LoadOrder | SendPermitMessage] = []
        for function, deferred in list(self._deferred.items()):
            if deferred.due_ms <= now_ms:
                self._enqueue(now_ms, function, deferred.weight_ps)
        self.queue.max_concurrent = self.permits.ready(now_ms)
        # Counted only if there are requests, as it iterates over all functions.
        self._orders_left = self._environment.orders_left() if self.queue.requests else 0.0
        while self.queue.max_concurrent and (functions := self.queue.next_orders(now_ms)):
            for function in functions:
                self.queue.in_progress.discard(function)
                if (action := self._begin(now_ms, function)) is not None:
                    actions.append(action)
        return actions

    def _begin(self, now_ms: float, function: str) -> LoadOrder | SendPermitMessage | None:
        if self.permits.coordinator(function) != self.member or self._environment.has_copy(function):
            return None  # another coordinator is now responsible, or a copy was reported
        load = self._functions[function]
        if (due_ms := self.permits.due_ms(now_ms, function)) > now_ms:
            self._deferred[function] = _Deferred(due_ms, load.weight_ps)
            return None
        scorer = self._choose_scorer(now_ms, function, load)
        if scorer is None:
            self._deferred[function] = _Deferred(now_ms + RETRY_MS, load.weight_ps)
            return None
        self.queue.in_progress.add(function)
        if (action := self._delegate(now_ms, function, load, scorer)) is not None:
            return action
        self.open_orders[function] = _OpenLoadOrder(scorer, now_ms)
        return LoadOrder(io.PrefetchRequested(scorer, function, load.class_name, 1, load.lanes, load.load_ms))

    def _choose_scorer(self, now_ms: float, function: str, load: _FunctionLoad) -> int | None:
        """The first scorer in hash order at which no load failed recently."""
        load.failed_until_ms = {
            scorer: until_ms for scorer, until_ms in load.failed_until_ms.items() if until_ms > now_ms
        }
        order = self._environment.hash_order(function)
        return next((scorer for scorer in order if scorer not in load.failed_until_ms), None)

    def _delegate(
        self, now_ms: float, function: str, load: _FunctionLoad, scorer: int
    ) -> SendPermitMessage | None:
        """Send the order to another front end if the local decision module has no order left."""
        unmade = sum(not order.sent for order in self.open_orders.values())
        if self._orders_left - unmade >= 1.0:
            return None
        delegate = self.spare_rates.take(now_ms)
        if delegate is None:
            return None
        self.open_orders[function] = _OpenLoadOrder(scorer, now_ms, sent=True, delegate=delegate.name)
        self.counts[LoadEvent.DELEGATED] += 1
        order = DelegatedLoadOrder(
            delegate.incarnation,
            delegate.report_number,
            scorer,
            function,
            load.class_name,
            load.lanes,
            load.load_ms,
        )
        return SendPermitMessage((delegate.name,), order)

    def ordered(self, now_ms: float, scorer: int, function: str) -> None:
        """Record that the decision module made the order, so the load is in progress."""
        order = self.open_orders.get(function)
        if order is not None and order.scorer == scorer and not order.sent:
            order.sent = True
            order.since_ms = now_ms

    def is_own(self, scorer: int, function: str) -> bool:
        """Whether an order for this function at this scorer was made by this coordinator."""
        order = self.open_orders.get(function)
        return order is not None and order.scorer == scorer

    # --- results ----------------------------------------------------------------------------------

    def answered(self, now_ms: float, event: io.LoadOrderAnswered) -> bool:
        """Handle a scorer's answer to an order or query; return whether a copy ordered here now exists."""
        function = event.function
        order = self.open_orders.get(function)
        if order is None or order.scorer != event.scorer:
            return False
        if event.result in COUNTING_RESULTS and event.copies:
            self._loaded(now_ms, function, now_ms - order.since_ms if order.sent else self.queue.fetch_ms)
            return True
        if order.delegate:
            return False  # the delegate reports the result
        # A good answer without copies answers a query, maybe an earlier one of the decision module. It does
        # not end an order that was sent, nor one that the decision module may still make.
        counted = event.result is io.AttemptResult.GOOD
        if order.sent != counted and (order.sent or order.queried_ms is not None):
            self._failed(now_ms, function, order, scorer_failed=order.sent)
        return False

    def receive_report(self, now_ms: float, sender: str, report: DelegatedLoadReport) -> bool:
        """Handle the result of a delegated order; return whether the order created a copy."""
        function = report.function
        order = self.open_orders.get(function)
        result = DelegatedLoadResult(report.result)
        if order is None or (order.delegate, order.scorer) != (sender, report.scorer):
            self.counts[LoadEvent.CLOSED_DELEGATION] += 1
        elif result is DelegatedLoadResult.MADE:
            order.made = True
            order.since_ms = now_ms
        elif result is DelegatedLoadResult.LOADED:
            self._loaded(now_ms, function, now_ms - order.since_ms)
            return True
        else:
            order.sent = result is DelegatedLoadResult.FAILED
            self._failed(now_ms, function, order, scorer_failed=order.sent)
        return False

    def _loaded(self, now_ms: float, function: str, took_ms: float) -> None:
        del self.open_orders[function]
        self.queue.finish_order(function, True, took_ms)
        self._pause(now_ms, took_ms)

    def _failed(self, now_ms: float, function: str, order: _OpenLoadOrder, *, scorer_failed: bool) -> None:
        """Request the load again after an order failed or was not made.

        An order that was sent goes to the end of the queue. If its scorer failed, that scorer is avoided for
        a while. An order that was never made keeps its weight.
        """
        del self.open_orders[function]
        self.queue.in_progress.discard(function)
        load = self._functions[function]
        if scorer_failed:
            load.failed_until_ms[order.scorer] = now_ms + 2 * RETRY_MS
        if order.sent:
            self._pause(now_ms, now_ms - order.since_ms)
            load.weight_ps = 0.0
        self.counts[LoadEvent.FAILED if order.sent else LoadEvent.NOT_MADE] += 1
        retry_ms = RETRY_MS if order.sent else UNMADE_RETRY_MS
        self._enqueue(now_ms, function, load.weight_ps, now_ms + retry_ms)

    def _pause(self, now_ms: float, took_ms: float) -> None:
        """If the budget is a fraction of one fetch, pause so that loads take that fraction of the time."""
        if self.permits.fetch_fraction < 1.0:
            self.queue.begins_ms = now_ms + took_ms * (1.0 / self.permits.fetch_fraction - 1.0)

    def overdue(self, now_ms: float) -> list[LoadOrder]:
        """Fail orders without a timely result, and query the scorers of orders that were not made.

        The decision module makes no order if its rate limit is used up or if it assumes that a copy exists.
        """
        queries: list[LoadOrder] = []
        for function, order in list(self.open_orders.items()):
            waited_ms = now_ms - order.since_ms
            if order.delegate and not order.made and waited_ms >= self.permits.typical_load_ms:
                order.sent = False  # the delegate ignored it as late, or the delegate's report was lost
                self._failed(now_ms, function, order, scorer_failed=False)
            elif order.sent and waited_ms >= ORDER_TIMEOUT_MS:
                self._failed(now_ms, function, order, scorer_failed=True)
            elif not order.sent and order.queried_ms is None and waited_ms >= ORDER_MS:
                order.queried_ms = now_ms
                queries.append(LoadOrder(io.OrderCopies(order.scorer, function, 0)))
            elif not order.sent and waited_ms >= ORDER_MS + UNMADE_MS:
                self._failed(now_ms, function, order, scorer_failed=True)
        return queries
