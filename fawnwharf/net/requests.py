"""The requests that are open here: from a client's call to its one final answer.

No protocol of clients is known here: a Call brings what is asked and where the outcome goes, so that
another protocol can stand before the same decisions.
"""

import itertools
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Protocol

from fawnwharf import interface as io
from fawnwharf.config import Wire
from fawnwharf.net.end_reasons import EndReason, attempt_result
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.scorer_pool import ScorerPool
from fawnwharf.net.scorer_streams import Answer, Attempt, LoadOrder
from fawnwharf.net.timer_wheel import Timer, monotonic_ms

MAX_BODY_BYTES = 32 * 1024 * 1024  # bytes of open requests' bodies: part of the memory limit
FULL_RETRY_AFTER_MS = 250.0  # advice where this front end can hold no more; the module never saw the request
MAX_CONCURRENCY = 30


@dataclass(slots=True)
class Succeeded:
    body: bytes


@dataclass(slots=True)
class Rejected:
    hold_off_ms: float


@dataclass(slots=True)
class Failed:
    pass


Outcome = Succeeded | Rejected | Failed


def _nothing_to_check() -> None:
    pass


@dataclass(slots=True)
class Call:
    """What a client asks, free of its protocol."""

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
    # Called before each send: a client whose connection has ended behind unread bytes withdraws its requests.
    check_client: Callable[[], None] = _nothing_to_check
    judged: Any = None  # by which policy, where that may change; kept by whoever takes the call


@dataclass(slots=True, eq=False)
class OpenRequest:
    key: str
    call: Call
    deadline_ms: float  # of the monotonic clock
    backstop: Timer
    attempts: int = 0  # sent so far; the module numbers them in the same order
    left: bool = False  # its client waits no more, or its time is up


class RequestObserver(Protocol):
    """Who is told what goes to scorers and comes back, as it does."""

    def sent(self, attempt: Attempt) -> None: ...

    def ended(self, attempt: Attempt, ending: io.AttemptResult, warmth: io.Warmth) -> None: ...

    def ordered(self, order: LoadOrder) -> None: ...

    def order_ended(self, order: LoadOrder, ending: io.AttemptResult, copies: int) -> None: ...


class RequestTable:
    """Owns every open request, and sees to it that each gets exactly one outcome."""

    def __init__(
        self,
        loop: EventLoop,
        pool: ScorerPool,
        wire: Wire,
        classes: Mapping[str, io.ClassSpec] = MappingProxyType({}),
    ) -> None:
        """`classes`: what is known of each class; one that is unknown here must not run twice."""
        self._classes = classes
        self.open: dict[str, OpenRequest] = {}
        self._loop, self._pool, self._wire = loop, pool, wire
        self.observer: RequestObserver | None = None
        self._bodies = 0
        self._numbers = itertools.count(1)
        # Attempts that are out, also of requests that are over: the module may still call them off.
        self._out: dict[tuple[str, int], Attempt] = {}
        # Orders to load that are out, by function, if a request for it was open here as they were made.
        self._orders: dict[str, list[LoadOrder]] = {}
        # Tickets of arrivals that the module is yet to be handed: what ends before then it never hears of.
        self._untold: dict[str, int] = {}
        # Requests that ended while the module did not know it yet, of this batch and of the one before.
        self._ended: dict[str, OpenRequest] = {}
        self._ended_before: dict[str, OpenRequest] = {}

    # --- from clients -------------------------------------------------------------------------

    def take(self, call: Call) -> str | None:
        """The key of a new request; None where it was refused at once, untouched."""
        if len(self.open) >= self._wire.max_open or self._bodies + len(call.body) > MAX_BODY_BYTES:
            call.reply(Rejected(FULL_RETRY_AFTER_MS))
            return None
        key = f"r{next(self._numbers)}"
        self._bodies += len(call.body)
        backstop = self._loop.timers.after(call.budget_ms, lambda: self._overdue(key))
        self.open[key] = OpenRequest(key, call, self._loop.iteration_ms + call.budget_ms, backstop)
        self._untold[key] = self._loop.enqueue(
            io.RequestArrived(
                key, call.function, call.class_name, call.tenant, call.budget_ms, call.lanes,
                call.memory_mb, call.load_ms,
            )
        )  # fmt: skip
        return key

    def withdraw(self, key: str) -> None:
        """The client waits no more: no answer is owed.

        Where it left in the very turn in which it asked, the module hears of neither. Guards the ration of
        loads, which rests on requests that were taken, against clients that ask and withdraw in one go."""
        self._leave(key)

    def _overdue(self, key: str) -> None:
        """Guards the one final answer against any fault in the decisions; they end a request earlier."""
        if request := self._leave(key):
            request.call.reply(Failed())

    def _leave(self, key: str) -> OpenRequest | None:
        if request := self._close(key):
            request.left = True
            if (ticket := self._untold.pop(key, None)) is not None:
                self._loop.discard(ticket)
            else:
                self._ended[key] = request
                self._loop.enqueue(io.RequestCancelled(key))
            self._cancel_unsent_work(request)
        return request

    def _close(self, key: str) -> OpenRequest | None:
        request = self.open.pop(key, None)
        if request:
            request.backstop.cancel()
            self._bodies -= len(request.call.body)
        return request

    def _finish(self, key: str, outcome: Outcome) -> None:
        if request := self._close(key):
            self._ended[key] = request
            request.call.reply(outcome)
            self._cancel_unsent_work(request)

    def _cancel_unsent_work(self, request: OpenRequest) -> None:
        """What no byte has left of, of a request that is over: its attempts, and orders to load that were
        made for requests of its function of which none waits any more. Settings don't matter here, as no
        scorer hears of it."""
        for number in range(request.attempts):
            if attempt := self._out.get((request.key, number)):
                self._pool.cancel_unsent(attempt)
        function = request.call.function
        orders = [order for order in self._orders.get(function, ()) if not order.begun]
        if orders and not self._is_asked(function):
            for order in orders:
                self._pool.cancel_unsent(order)

    def _check_clients(self, function: str) -> None:
        """Have requests for the function withdrawn whose client has ended its connection meanwhile."""
        for request in [each for each in self.open.values() if each.call.function == function]:
            request.call.check_client()

    def _is_asked(self, function: str) -> bool:
        """Whether a request for the function is open here."""
        return any(request.call.function == function for request in self.open.values())

    # --- from the module ----------------------------------------------------------------------

    def begin_batch(self) -> None:
        self._ended_before, self._ended = self._ended, {}
        self._untold.clear()

    def send(self, action: io.Send) -> None:
        key, worker = action.request, action.scorer
        request = self.open.get(key) or self._ended.get(key) or self._ended_before.get(key)
        if request is None:
            return
        if key in self.open:
            request.call.check_client()
        number, request.attempts = request.attempts, request.attempts + 1
        if key not in self.open:  # it ended in the very batch that this answers
            self._loop.enqueue(
                io.AttemptEnded(key, number, worker, io.AttemptResult.NOT_SENT, 0.0, closed=True)
            )
            return
        call = request.call
        attempt = self._out[key, number] = Attempt(
            worker=worker,
            ended=lambda attempt, end, answer: self._attempt_ended(key, number, attempt, end, answer),
            id=call.id,
            kind=call.class_name,
            function=call.function,
            token=call.token,
            body=call.body,
            deadline_ms=request.deadline_ms,
            begin_by_ms=self._loop.iteration_ms + action.within_ms,
        )
        if self.observer:
            self.observer.sent(attempt)
        self._pool.send(attempt)

    def cancel(self, action: io.Cancel) -> None:
        if attempt := self._out.get((action.request, action.attempt)):
            self._pool.cancel(attempt)

    def reject(self, action: io.Reject) -> None:
        self._finish(action.request, Rejected(action.hold_off_ms))

    def fail(self, action: io.Fail) -> None:
        self._finish(action.request, Failed())

    # --- from scorers -------------------------------------------------------------------------

    def _attempt_ended(
        self, key: str, number: int, attempt: Attempt, end: EndReason | None, answer: Answer | None
    ) -> None:
        del self._out[key, number]
        if answer is None:
            whole = attempt.whole or not self._may_repeat(attempt)
            ending, warmth = (
                attempt_result(end or EndReason.NEVER_SENT, attempt.begun, whole),
                io.Warmth.UNTOLD,
            )
            crowd = None
        else:
            ending, warmth, crowd = answer.ending, answer.warmth, self._crowd(answer)
        good = answer is not None and ending is io.AttemptResult.GOOD
        if self.observer:
            self.observer.ended(attempt, ending, warmth)
        took = monotonic_ms() - attempt.began_ms
        closed = good or key not in self.open
        # Told before it is finished, as that ends its other attempts: the module takes ends in their order.
        self._loop.enqueue(io.AttemptEnded(key, number, attempt.worker, ending, took, closed, warmth, crowd))
        if good:
            self._finish(key, Succeeded(answer.body))

    def _may_repeat(self, attempt: Attempt) -> bool:
        """Whether what can't have run may be sent again, though some of it was written."""
        spec = self._classes.get(attempt.kind)
        return spec is not None and spec.effect is not io.Effect.AT_MOST_ONCE

    def _crowd(self, answer: Answer) -> int | None:
        if not self._wire.reports_concurrency:
            return None
        if answer.ending not in (io.AttemptResult.GOOD, io.AttemptResult.FULL):
            return None
        return min(MAX_CONCURRENCY, answer.crowd)

    def start_load(self, action: io.OrderCopies) -> None:
        order = LoadOrder(action.scorer, self._order_ended, action.function, action.copies)
        if self.observer:
            self.observer.ordered(order)
        if order.copies:
            self._check_clients(order.function)
        if order.copies and self._is_asked(order.function):
            self._orders.setdefault(order.function, []).append(order)
        elif order.copies and self._was_asked(order.function):
            self._order_ended(order, EndReason.NEVER_SENT, None)
            return
        self._pool.start_load(order)

    def _was_asked(self, function: str) -> bool:
        """Whether a client left that waited for the function in the very batch that is carried out."""
        ended = itertools.chain(self._ended.values(), self._ended_before.values())
        return any(request.left and request.call.function == function for request in ended)

    def _order_ended(self, order: LoadOrder, end: EndReason | None, answer: Answer | None) -> None:
        self._forget(order)
        took = monotonic_ms() - order.began_ms
        ending = (
            answer.ending if answer else attempt_result(end or EndReason.NEVER_SENT, order.begun, order.whole)
        )
        copies = answer.copies if answer else 0
        if self.observer:
            self.observer.order_ended(order, ending, copies)
        self._loop.enqueue(io.LoadOrderAnswered(order.worker, order.function, ending, copies, took))

    def _forget(self, order: LoadOrder) -> None:
        orders = self._orders.get(order.function, [])
        if order in orders:
            orders.remove(order)
            if not orders:
                del self._orders[order.function]
