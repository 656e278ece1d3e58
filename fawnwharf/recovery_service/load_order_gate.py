"""Orders to load while the fleet returns: stands between the module and the table of requests.

The module orders what held calls need and renews what was used. Before the stage that allows it, such an
order does not go out: the module is told that it was not sent, which changes nothing of what it holds true,
and that place rests for a second. Where a loader's copy stands is asked instead, so that the module knows of
it. What a loader wanted of the module goes out. In calm an order costs one test more.

The module tries one place after the other for calls that wait for a lane, and is told at once of each: with a
thousand scorers that alone would take all its time. So after some the next one is left open for the rest of
the second, as an order that takes long; it counts among the module's loads at a time meanwhile.
"""

from collections.abc import Callable

from fawnwharf import interface as io
from fawnwharf.net.end_reasons import EndReason, attempt_result
from fawnwharf.net.requests import OpenRequest
from fawnwharf.net.scorer_streams import Answer, LoadOrder
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.recovery_core.phases import AllowedActions
from fawnwharf.recovery_service.actions import Action
from fawnwharf.recovery_service.permit_issuing import PermitIssuer

QUERY_INTERVAL_MS = 1_000.0  # a place is asked no sooner again
MAX_QUERIED_FUNCTIONS = 4_096  # functions
MAX_IMMEDIATE_REJECTIONS, WINDOW_MS = (
    4,
    1_000.0,
)  # orders for a function that are answered at once, of so long


class LoadOrderGate:
    """Owns what becomes of the module's orders, by what is allowed."""

    def __init__(
        self,
        below: Callable[[io.OrderCopies], None],
        ask: Callable[[LoadOrder], None],
        tell: Callable[[io.Event], object],
        open: dict[str, OpenRequest],
        clock: Callable[[], float] = monotonic_ms,
    ) -> None:
        """`below` carries an order out; `ask` puts a question to a scorer; `tell` hands the module an event;
        `open`: the table's requests, by key."""
        self._below, self._ask, self._tell, self._requests, self._clock = below, ask, tell, open, clock
        self.calm, self.own_loads = False, False
        self.giving: PermitIssuer | None = None
        self.held_back = 0
        self._asked: dict[str, float] = {}  # functions: when their place was asked
        self._rates: dict[str, list[float]] = {}  # functions: since when, how many were held back
        self._open: list[tuple[float, io.LoadOrderAnswered]] = []  # that the module is to be told, and when

    def go_by(self, allowed: AllowedActions, giving: PermitIssuer | None) -> None:
        self.calm = allowed.spill or giving is None
        self.own_loads, self.giving = allowed.own_loads, giving
        self._release(float("inf") if self.calm or self.own_loads else self._clock())
        if self.calm:
            self._asked.clear()
            self._rates.clear()

    def _release(self, now_ms: float) -> None:
        due, self._open = self._open, []
        for at_ms, event in due:
            if at_ms <= now_ms:
                self._tell(event)
            else:
                self._open.append((at_ms, event))

    def carry(self, action: io.OrderCopies) -> None:
        """As RequestTable.order, for the module's actions."""
        if self.calm or not action.copies:
            self._below(action)
            return
        if self.giving.is_own(action.scorer, action.function):
            self.giving.ordered(self._clock(), action.scorer, action.function)
            self._below(action)
        elif self.own_loads:
            self._below(action)
        else:
            self._hold_back(action)

    def _hold_back(self, action: io.OrderCopies) -> None:
        self.held_back += 1
        now, place = self._clock(), self.giving.place(action.function)
        if place is not None and now - self._asked.get(action.function, float("-inf")) >= QUERY_INTERVAL_MS:
            if len(self._asked) >= MAX_QUERIED_FUNCTIONS:
                self._asked.clear()
            self._asked[action.function] = now
            self._ask(LoadOrder(place, self._answered, action.function, 0))
        event = io.LoadOrderAnswered(action.scorer, action.function, io.AttemptResult.NOT_SENT, 0, 0.0)
        rate = self._rates.get(action.function)
        if rate is None or now - rate[0] >= WINDOW_MS:
            if rate is None and len(self._rates) >= MAX_QUERIED_FUNCTIONS:
                self._rates.clear()
            rate = self._rates[action.function] = [now, 0]
        rate[1] += 1
        if rate[1] <= MAX_IMMEDIATE_REJECTIONS:
            self._tell(event)
        else:
            self._open.append((rate[0] + WINDOW_MS, event))

    def _answered(self, order: LoadOrder, end: EndReason | None, answer: Answer | None) -> None:
        ending = answer.ending if answer else attempt_result(end or EndReason.NEVER_SENT, order.begun)
        copies, took_ms = answer.copies if answer else 0, self._clock() - order.began_ms
        self._tell(io.LoadOrderAnswered(order.scorer, order.function, ending, copies, took_ms))

    def events(self, now_ms: float, events: list[io.Event]) -> list[Action]:
        """What a batch tells of copies: scorers' answers to orders, and calls that found none."""
        self._release(now_ms)
        found: list[Action] = []
        for event in events if self.giving is not None else ():
            if isinstance(event, io.LoadOrderAnswered):
                found += self.giving.answered(now_ms, event)
            elif isinstance(event, io.AttemptEnded) and _found_none(event):
                request = self._requests.get(event.request)
                if request is not None:
                    self.giving.lost(now_ms, request.call.function, event.scorer)
        return found


def _found_none(event: io.AttemptEnded) -> bool:
    return event.result is io.AttemptResult.MISS or event.warmth is io.Warmth.LOAD_FAILED
