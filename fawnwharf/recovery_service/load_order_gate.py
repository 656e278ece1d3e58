"""Load orders of the decision module after a power loss: stands between the module and the request table.

The decision module orders what waiting calls need and renews what was used. Before the phase that allows it,
such an order is not sent: the module receives that it was not sent, which changes nothing of its state, and
it leaves that scorer alone for a second. The scorer of a coordinator's copy is queried instead, so that the
module learns of the copy. What a coordinator wanted of the module is sent. In calm an order costs one test
more.

The module tries one scorer after the other for calls that wait for a lane, and receives each rejection at
once: with a thousand scorers that alone would take all its time. So after some the next one is left open for
the rest of the second, as an order that takes long; it counts among the module's concurrent loads meanwhile.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from fawnwharf import interface as io
from fawnwharf.net.end_reasons import EndReason, attempt_result
from fawnwharf.net.requests import OpenRequest
from fawnwharf.net.scorer_streams import Answer, LoadOrder, Stream
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.recovery_core.phases import AllowedActions
from fawnwharf.recovery_service.actions import Action
from fawnwharf.recovery_service.permit_issuing import PermitIssuer

QUERY_INTERVAL_MS = 1_000.0  # a function's scorer is queried no sooner again
MAX_QUERIED_FUNCTIONS = 4_096
MAX_IMMEDIATE_REJECTIONS = 4  # orders for a function that are answered at once
WINDOW_MS = 1_000.0  # within so long


@dataclass(slots=True)
class _Rejections:
    """The orders for one function that were rejected in a window."""

    since_ms: float
    count: int = 0


class _DelayedAnswer(NamedTuple):
    due_ms: float
    event: io.LoadOrderAnswered


class LoadOrderGate:
    """Owns what becomes of the decision module's load orders, by what is allowed."""

    def __init__(
        self,
        send_order: Callable[[io.OrderCopies], object],
        query: Callable[[LoadOrder], None],
        notify_module: Callable[[io.Event], object],
        requests: Mapping[str, OpenRequest],
        clock: Callable[[], float] = monotonic_ms,
    ) -> None:
        """`query` sends a query to a scorer; `requests` are the table's open requests, by key."""
        self._send_order = send_order
        self._query = query
        self._notify_module = notify_module
        self._requests = requests
        self._clock = clock
        self.calm = False  # all orders are sent
        self.own_loads = False
        self.issuer: PermitIssuer | None = None
        self.rejected = 0
        self._queried_ms: dict[str, float] = {}  # by function
        self._rejections: dict[str, _Rejections] = {}  # by function
        self._delayed: list[_DelayedAnswer] = []

    def apply(self, allowed: AllowedActions, issuer: PermitIssuer | None) -> None:
        """Go by what is allowed now; to be called at each change."""
        self.calm = allowed.spill or issuer is None
        self.issuer = issuer
        self.own_loads = allowed.own_loads
        self._release(float("inf") if self.calm or self.own_loads else self._clock())
        if self.calm:
            self._queried_ms.clear()
            self._rejections.clear()

    def _release(self, now_ms: float) -> None:
        delayed, self._delayed = self._delayed, []
        for answer in delayed:
            if answer.due_ms <= now_ms:
                self._notify_module(answer.event)
            else:
                self._delayed.append(answer)

    def carry(self, action: io.OrderCopies) -> None:
        """Send an order of the decision module or reject it, in the place of `RequestTable.order`."""
        if self.calm or self.issuer is None or not action.copies:
            self._send_order(action)
        elif self.issuer.is_own(action.scorer, action.function):
            self.issuer.ordered(self._clock(), action.scorer, action.function)
            self._send_order(action)
        elif self.own_loads:
            self._send_order(action)
        else:
            self._reject(action, self.issuer)

    def _reject(self, action: io.OrderCopies, issuer: PermitIssuer) -> None:
        self.rejected += 1
        now_ms = self._clock()
        self._query_copy(now_ms, action.function, issuer)
        event = io.LoadOrderAnswered(action.scorer, action.function, io.AttemptResult.NOT_SENT, 0, 0.0)
        rejections = self._rejections.get(action.function)
        if rejections is None or now_ms - rejections.since_ms >= WINDOW_MS:
            if rejections is None and len(self._rejections) >= MAX_QUERIED_FUNCTIONS:
                self._rejections.clear()
            rejections = self._rejections[action.function] = _Rejections(now_ms)
        rejections.count += 1
        if rejections.count <= MAX_IMMEDIATE_REJECTIONS:
            self._notify_module(event)
        else:
            self._delayed.append(_DelayedAnswer(rejections.since_ms + WINDOW_MS, event))

    def _query_copy(self, now_ms: float, function: str, issuer: PermitIssuer) -> None:
        """Query the scorer of the function's copy, so that the decision module learns of it."""
        scorer = issuer.place(function)
        if scorer is None or now_ms - self._queried_ms.get(function, float("-inf")) < QUERY_INTERVAL_MS:
            return
        if len(self._queried_ms) >= MAX_QUERIED_FUNCTIONS:
            self._queried_ms.clear()
        self._queried_ms[function] = now_ms

        def answered(query: Stream, end: EndReason | None, answer: Answer | None) -> None:
            self._answered(function, query, end, answer)

        self._query(LoadOrder(scorer, answered, function, 0))

    def _answered(self, function: str, query: Stream, end: EndReason | None, answer: Answer | None) -> None:
        ending = answer.ending if answer else attempt_result(end or EndReason.NEVER_SENT, query.begun)
        copies = answer.copies if answer else 0
        took_ms = self._clock() - query.began_ms
        self._notify_module(io.LoadOrderAnswered(query.scorer, function, ending, copies, took_ms))

    def events(self, now_ms: float, events: list[io.Event]) -> list[Action]:
        """Take what a batch says of copies: answers to orders, and calls that found no copy."""
        self._release(now_ms)
        if self.issuer is None:
            return []
        actions: list[Action] = []
        for event in events:
            if isinstance(event, io.LoadOrderAnswered):
                actions += self.issuer.answered(now_ms, event)
            elif isinstance(event, io.AttemptEnded) and _found_no_copy(event):
                request = self._requests.get(event.request)
                if request is not None:
                    self.issuer.copy_lost(request.call.function, event.scorer)
        return actions


def _found_no_copy(event: io.AttemptEnded) -> bool:
    return event.result is io.AttemptResult.MISS or event.warmth is io.Warmth.LOAD_FAILED
