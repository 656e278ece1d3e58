"""Gate between the decision module and the request table for load orders after a power loss.

The decision module orders loads for waiting calls and refreshes copies that were used. Until the recovery
phase allows such orders, the gate does not send them and answers NOT_SENT. That leaves the module's state
unchanged, and the module does not try the scorer again for a second. If a coordinator's copy is known, the
gate queries its scorer, so that the module learns of the copy. Orders that a coordinator requested from the
module are sent. In normal operation the gate costs one extra condition for each order.

For calls that wait for a lane, the module tries one scorer after the other. If each order were rejected at
once, then with a thousand scorers the module would spend all its time on rejections. So after the first few
rejections in a second, the answer to the next order is delayed until that second ends. Meanwhile the module
counts it among its concurrent loads.
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

QUERY_INTERVAL_MS = 1_000.0  # least interval between two queries about one function
MAX_QUERIED_FUNCTIONS = 4_096
MAX_IMMEDIATE_REJECTIONS = 4  # orders for a function that are rejected without delay in one window
WINDOW_MS = 1_000.0


@dataclass(slots=True)
class _Rejections:
    """Counts the rejected orders for one function in one window."""

    since_ms: float
    count: int = 0


class _DelayedAnswer(NamedTuple):
    due_ms: float
    event: io.LoadOrderAnswered


class LoadOrderGate:
    """Sends or rejects the decision module's load orders by the current permissions."""

    def __init__(
        self,
        send_order: Callable[[io.OrderCopies], object],
        query: Callable[[LoadOrder], None],
        notify_module: Callable[[io.Event], object],
        requests: Mapping[str, OpenRequest],
        clock: Callable[[], float] = monotonic_ms,
    ) -> None:
        """`query` sends a query to a scorer; `requests` has the table's open requests by key."""
        self._send_order = send_order
        self._query = query
        self._notify_module = notify_module
        self._requests = requests
        self._clock = clock
        self.normal_operation = False  # True: all orders are sent
        self.own_loads = False
        self.issuer: PermitIssuer | None = None
        self.rejected = 0
        self._queried_ms: dict[str, float] = {}  # by function
        self._rejections: dict[str, _Rejections] = {}  # by function
        self._delayed: list[_DelayedAnswer] = []

    def apply(self, allowed: AllowedActions, issuer: PermitIssuer | None) -> None:
        """Apply the current permissions; call this at each change."""
        self.normal_operation = allowed.spill or issuer is None
        self.issuer = issuer
        self.own_loads = allowed.own_loads
        self._release(float("inf") if self.normal_operation or self.own_loads else self._clock())
        if self.normal_operation:
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
        """Send or reject an order of the decision module; replaces `RequestTable.order`."""
        if self.normal_operation or self.issuer is None or not action.copies:
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
        """Pass on what a batch of events tells about copies: answers to orders, and calls without a copy."""
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
