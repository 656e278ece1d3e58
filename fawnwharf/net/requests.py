"""The open requests: from a client's call to its one final outcome.

Independent of the clients' protocol: a `Call` says what is requested and where the outcome goes, so that
another protocol can use the same request table and router.
"""

import itertools
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from fawnwharf import interface as io
from fawnwharf.config import ConnectionSettings
from fawnwharf.net.cause_log import CauseLog
from fawnwharf.net.end_reasons import EndReason, attempt_result
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.memory_shares import MAX_BYTES
from fawnwharf.net.request_ids import RunIds
from fawnwharf.net.request_observer import RequestObserver
from fawnwharf.net.scorer_pool import ScorerPool
from fawnwharf.net.scorer_streams import Answer, Attempt, LoadOrder
from fawnwharf.net.timer_wheel import Timer, monotonic_ms

FULL_RETRY_AFTER_MS = 250.0  # for requests that are rejected without the router: the front end is full
MAX_CONCURRENCY = 30  # a scorer's reported concurrency is capped at this


@dataclass(slots=True)
class Succeeded:
    """Outcome of a request that a scorer answered."""

    body: bytes


@dataclass(slots=True)
class Rejected:
    """Outcome of a request that was rejected; `hold_off_ms`: when the client should retry."""

    hold_off_ms: float


@dataclass(slots=True)
class Failed:
    """Outcome of a request that failed."""


Outcome = Succeeded | Rejected | Failed


def _nothing_to_check() -> None:
    """Default of `Call.check_client`."""


@dataclass(slots=True)
class Call:
    """What a client requests, independent of its protocol.

    `budget_ms` is how long the client still waits. `token` is the idempotency key, or empty. `load_ms` is how
    long a copy takes to load. `reply` is called exactly once, with the outcome.
    """

    id: bytes
    class_name: str
    tenant: str
    function: str
    budget_ms: float
    body: bytes
    token: str
    lanes: int
    memory_mb: float | None
    load_ms: float | None
    reply: Callable[[Outcome], None]
    # Called before each send. Withdraws the requests of a client that has disconnected behind unread bytes.
    check_client: Callable[[], None] = _nothing_to_check
    context: Any = None  # data of the component that receives the call, such as the policy that applies to it
    begin_by_ms: float = math.inf  # on the monotonic clock; no attempt may begin later


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request without a final outcome yet."""

    key: str
    call: Call
    deadline_ms: float  # on the monotonic clock
    deadline_timer: Timer
    attempts: int = 0  # sent so far; the router numbers them in the same order
    abandoned: bool = False  # the client no longer waits, or the deadline has passed
    may_have_run: bool = False  # by the end of an attempt, which the router may not know yet


class RequestTable:
    """Owns all open requests, and ensures that each gets exactly one outcome."""

    def __init__(
        self,
        loop: EventLoop,
        pool: ScorerPool,
        wire: ConnectionSettings,
        classes: Mapping[str, io.ClassSpec] = MappingProxyType({}),
    ) -> None:
        """`classes` has the specifications by class name; requests of an unknown class must not run twice."""
        self.causes = CauseLog()
        self.max_body_bytes = MAX_BYTES  # of all open requests
        self._classes = classes
        self._loop = loop
        self._pool = pool
        self._wire = wire
        self.open: dict[str, OpenRequest] = {}
        self.observer: RequestObserver | None = None
        self._body_bytes = 0
        self._key_numbers = itertools.count(1)
        # Attempts that have not ended, also of closed requests: the router may still cancel them.
        self._in_flight: dict[tuple[str, int], Attempt] = {}
        # Load orders that have not ended, by function. Only those created while a request for it was open.
        self._load_orders: dict[str, list[LoadOrder]] = {}
        # Event numbers of arrivals that the router has not received yet, by request. If the request ends
        # before that, the router receives no event for it.
        self._unreported: dict[str, int] = {}
        # Requests that ended in this batch and in the previous one. The router may not know it yet.
        self._ended: dict[str, OpenRequest] = {}
        self._previously_ended: dict[str, OpenRequest] = {}
        self.at_most_once_ids = RunIds()

    # --- from clients -------------------------------------------------------------------------

    def take(self, call: Call) -> str | None:
        """Open a request and return its key; None if it was answered at once.

        It is rejected for lack of capacity, and fails if it must not run twice and its id may have run.
        """
        if len(self.open) >= self._wire.max_open or self._body_bytes + len(call.body) > self.max_body_bytes:
            self._note("rejected, too many are open here", call)
            call.reply(Rejected(FULL_RETRY_AFTER_MS))
            return None
        if self._is_at_most_once(call) and not self.at_most_once_ids.begin(call.id, monotonic_ms()):
            self._note("failed, its id may have run", call)
            call.reply(Failed())
            return None
        key = f"r{next(self._key_numbers)}"
        self._body_bytes += len(call.body)
        deadline_timer = self._loop.timers.after(call.budget_ms, lambda: self._fail_overdue(key))
        self.open[key] = OpenRequest(key, call, self._loop.iteration_ms + call.budget_ms, deadline_timer)
        self._unreported[key] = self._loop.enqueue(
            io.RequestArrived(
                key, call.function, call.class_name, call.tenant, call.budget_ms, call.lanes,
                call.memory_mb, call.load_ms,
            )
        )  # fmt: skip
        return key

    def withdraw(self, key: str) -> None:
        """Close a request whose client no longer waits; it gets no reply.

        If it arrived in the same iteration, the router receives neither event. Otherwise clients that send
        and withdraw at once would raise the load limit, which is based on the arrived requests.
        """
        self._abandon(key)

    def has_attempt_out(self, key: str) -> bool:
        """Whether an attempt of an open request has begun to be sent and has not ended."""
        request = self.open.get(key)
        return request is not None and self._has_attempt_out(request)

    def _has_attempt_out(self, request: OpenRequest) -> bool:
        attempts = [self._in_flight.get((request.key, number)) for number in range(request.attempts)]
        return any(attempt is not None and attempt.begun for attempt in attempts)

    def may_have_run(self, key: str) -> bool:
        """Whether an attempt of a request is out, or has ended without proof that it never ran.

        The request is open, or has ended in this batch.
        """
        request = self.open.get(key) or self._ended.get(key)
        return request is not None and self._may_have_run(request)

    def _may_have_run(self, request: OpenRequest) -> bool:
        return request.may_have_run or self._has_attempt_out(request)

    def limit_begin(self, key: str, begin_by_ms: float) -> None:
        """Let no attempt of an open request begin later than `begin_by_ms`, on the monotonic clock."""
        if (request := self.open.get(key)) is None:
            return
        request.call.begin_by_ms = min(request.call.begin_by_ms, begin_by_ms)
        for number in range(request.attempts):
            if attempt := self._in_flight.get((key, number)):
                attempt.begin_by_ms = min(attempt.begin_by_ms, begin_by_ms)

    def _fail_overdue(self, key: str) -> None:
        """Fail a request whose deadline has passed.

        The router normally ends requests earlier; this guarantees the outcome if the router has an error.
        """
        if request := self._abandon(key):
            self._note("failed at its deadline", request.call)
            request.call.reply(Failed())

    def _note(self, cause: str, call: Call) -> None:
        """Log why a request is refused or fails."""
        self.causes.note(f"request {cause}", lambda: f"{call.id.hex()}, {call.class_name}")

    def _abandon(self, key: str) -> OpenRequest | None:
        if request := self._close(key):
            request.abandoned = True
            if (number := self._unreported.pop(key, None)) is not None:
                self._loop.discard(number)
            else:
                self._ended[key] = request
                self._loop.enqueue(io.RequestCancelled(key))
            self._cancel_unsent_work(request)
        return request

    def _close(self, key: str) -> OpenRequest | None:
        request = self.open.pop(key, None)
        if request:
            request.deadline_timer.cancel()
            self._body_bytes -= len(request.call.body)
            if self._is_at_most_once(request.call) and not self._may_have_run(request):
                self.at_most_once_ids.never_ran(request.call.id)
        return request

    def _is_at_most_once(self, call: Call) -> bool:
        """Whether a call must not run twice; a call of an unknown class must not."""
        spec = self._classes.get(call.class_name)
        return spec is None or spec.effect is io.Effect.AT_MOST_ONCE

    def _finish(self, key: str, outcome: Outcome) -> None:
        if request := self._close(key):
            self._ended[key] = request
            request.call.reply(outcome)
            self._cancel_unsent_work(request)

    def _cancel_unsent_work(self, request: OpenRequest) -> None:
        """Cancel the unsent attempts of a closed request, and the load orders that no request needs any more.

        The `cancel` setting does not apply, because no scorer has received anything yet.
        """
        for number in range(request.attempts):
            if attempt := self._in_flight.get((request.key, number)):
                self._pool.cancel_unsent(attempt)
        function = request.call.function
        orders = [order for order in self._load_orders.get(function, ()) if not order.begun]
        if orders and not self._is_requested(function):
            for order in orders:
                self._pool.cancel_unsent(order)

    def _check_clients(self, function: str) -> None:
        """Withdraw the requests for a function whose clients have disconnected."""
        for request in [each for each in self.open.values() if each.call.function == function]:
            request.call.check_client()

    def _is_requested(self, function: str) -> bool:
        """Whether a request for the function is open."""
        return any(request.call.function == function for request in self.open.values())

    # --- from the router ----------------------------------------------------------------------

    def begin_batch(self) -> None:
        """Record that the router receives the batch of events now."""
        self._previously_ended = self._ended
        self._ended = {}
        self._unreported.clear()

    def send(self, action: io.Send) -> None:
        """Send an attempt of a request; if the request has ended, report the attempt as not sent."""
        key = action.request
        request = self.open.get(key) or self._ended.get(key) or self._previously_ended.get(key)
        if request is None:
            return
        if key in self.open:
            request.call.check_client()
        number = request.attempts
        request.attempts += 1
        if key not in self.open:  # it ended in the batch that this action answers
            self._loop.enqueue(
                io.AttemptEnded(key, number, action.scorer, io.AttemptResult.NOT_SENT, 0.0, closed=True)
            )
            return
        call = request.call
        attempt = self._in_flight[key, number] = Attempt(
            scorer=action.scorer,
            ended=lambda attempt, end, answer: self._attempt_ended(key, number, attempt, end, answer),
            id=call.id,
            class_name=call.class_name,
            function=call.function,
            token=call.token,
            body=call.body,
            deadline_ms=request.deadline_ms,
            begin_by_ms=min(call.begin_by_ms, self._loop.iteration_ms + action.within_ms),
        )
        if self.observer:
            self.observer.sent(attempt)
        self._pool.send(attempt)

    def cancel(self, action: io.Cancel) -> None:
        """Cancel an attempt that has not ended."""
        if attempt := self._in_flight.get((action.request, action.attempt)):
            self._pool.cancel(attempt)

    def reject(self, action: io.Reject) -> None:
        """Close a request as rejected."""
        if request := self.open.get(action.request):
            self._note("rejected by the router", request.call)
        self._finish(action.request, Rejected(action.hold_off_ms))

    def fail(self, action: io.Fail) -> None:
        """Close a request as failed."""
        if request := self.open.get(action.request):
            self._note("failed by the router", request.call)
        self._finish(action.request, Failed())

    def _attempt_ended(
        self, key: str, number: int, attempt: Attempt, end: EndReason | None, answer: Answer | None
    ) -> None:
        del self._in_flight[key, number]
        if answer is None:
            complete = attempt.complete or not self._may_repeat(attempt)
            result = attempt_result(end or EndReason.NEVER_SENT, attempt.begun, complete)
            warmth = io.Warmth.NOT_REPORTED
            concurrency = None
        else:
            result = answer.ending
            warmth = answer.warmth
            concurrency = self._reported_concurrency(answer)
        good = answer is not None and result is io.AttemptResult.GOOD
        if key in self.open and result not in io.NEVER_RAN:
            self.open[key].may_have_run = True
        if result is not io.AttemptResult.GOOD:
            self.causes.note(
                f"attempt ended, {result.name.lower()}",
                lambda: f"attempt {number} of {attempt.id.hex()} at scorer {attempt.scorer}",
            )
        if self.observer:
            self.observer.ended(attempt, result, warmth)
        took_ms = monotonic_ms() - attempt.began_ms
        closed = good or key not in self.open
        # Enqueued before `_finish` ends the other attempts: the router needs the ends in this order.
        self._loop.enqueue(
            io.AttemptEnded(key, number, attempt.scorer, result, took_ms, closed, warmth, concurrency)
        )
        if answer is not None and good:
            self._finish(key, Succeeded(answer.body))

    def _may_repeat(self, attempt: Attempt) -> bool:
        """Whether an attempt may be repeated if only a part of it was written, so that it can't have run."""
        spec = self._classes.get(attempt.class_name)
        return spec is not None and spec.effect is not io.Effect.AT_MOST_ONCE

    def _reported_concurrency(self, answer: Answer) -> int | None:
        if not self._wire.reports_concurrency:
            return None
        if answer.ending not in (io.AttemptResult.GOOD, io.AttemptResult.FULL):
            return None
        return min(MAX_CONCURRENCY, answer.concurrency)

    def send_load_order(self, action: io.OrderCopies) -> None:
        """Send a load order, or a query for the number of copies, to a scorer.

        An order is reported as not sent if all clients that waited for the function have disconnected.
        """
        begin_by_ms = self._loop.iteration_ms + action.within_ms
        order = LoadOrder(action.scorer, self._order_ended, action.function, action.copies, begin_by_ms)
        if self.observer:
            self.observer.ordered(order)
        if order.copies:
            self._check_clients(order.function)
        if order.copies and self._is_requested(order.function):
            self._load_orders.setdefault(order.function, []).append(order)
        elif order.copies and self._was_requested(order.function):
            self._order_ended(order, EndReason.NEVER_SENT, None)
            return
        self._pool.send_load_order(order)

    def _was_requested(self, function: str) -> bool:
        """Whether a request for the function was abandoned in this batch or in the previous one."""
        ended = itertools.chain(self._ended.values(), self._previously_ended.values())
        return any(request.abandoned and request.call.function == function for request in ended)

    def _order_ended(self, order: LoadOrder, end: EndReason | None, answer: Answer | None) -> None:
        self._forget_order(order)
        took_ms = monotonic_ms() - order.began_ms
        if answer:
            result = answer.ending
            copies = answer.copies
        else:
            result = attempt_result(end or EndReason.NEVER_SENT, order.begun, order.complete)
            copies = 0
        if self.observer:
            self.observer.order_ended(order, result, copies)
        self._loop.enqueue(io.LoadOrderAnswered(order.scorer, order.function, result, copies, took_ms))

    def _forget_order(self, order: LoadOrder) -> None:
        orders = self._load_orders.get(order.function, [])
        if order in orders:
            orders.remove(order)
            if not orders:
                del self._load_orders[order.function]
