"""A simulated front end with the real decision module, and optionally real admission, gate and permits."""

from collections.abc import Callable
from functools import partial
from typing import Protocol

from fawnwharf import interface as io
from fawnwharf.net.requests import Call, Failed, Rejected, Succeeded
from fawnwharf.net.scorer_streams import Answer, LoadOrder
from fawnwharf.net.timer_wheel import TimerWheel
from fawnwharf.policy import Router
from fawnwharf.recovery_core.budget import FleetLimits
from fawnwharf.recovery_core.phases import AllowedActions
from fawnwharf.recovery_service.actions import Action
from fawnwharf.recovery_service.load_order_gate import LoadOrderGate
from fawnwharf.recovery_service.permit_issuing import PermitIssuer
from fawnwharf.recovery_service.recovery_admission import AdmissionSettings, RecoveryAdmission
from fawnwharf.recovery_service.request_sink import RequestSink
from fawnwharf.recovery_service.simulated_scorers import LANES, EventQueue, SimulatedScorers

DECIDE_MS = 0.5  # events within this time form one batch for the decision module


class Network(Protocol):
    """Carries a front end's actions to the other front ends."""

    def carry_out(self, front_end: "SimulatedFrontEnd", actions: list[Action]) -> None:
        """Carry out actions of permit issuing."""

    def hash_order(self, function: str) -> list[int]:
        """A function's scorers that are up, by its hash order."""


class RequestTable:
    """A simple request table between admission and the decision module."""

    def __init__(
        self, settings: io.Settings, queue: EventQueue, scorers: SimulatedScorers, number: int
    ) -> None:
        self.router = Router(settings, number)
        self.open: dict[str, Call] = {}
        self.carry_order: Callable[[io.OrderCopies], None] = self.order
        self.before_decision: Callable[[list[io.Event]], None] | None = None
        self._queue = queue
        self._scorers = scorers
        self._inbox: list[io.Event] = []
        self._attempts: dict[str, int] = {}
        self._count = 0

    def notify(self, event: io.Event) -> None:
        """Add an event to the decision module's next batch."""
        if not self._inbox:
            self._queue.after(DECIDE_MS, self._decide)
        self._inbox.append(event)

    def _decide(self) -> None:
        events, self._inbox = self._inbox, []
        if self.before_decision is not None:
            self.before_decision(events)
        for action in self.router.handle(self._queue.now_ms, events):
            self._carry_out(action)

    def _carry_out(self, action: io.Action) -> None:
        if isinstance(action, io.Send):
            self._send(action)
        elif isinstance(action, io.OrderCopies):
            self.carry_order(action)
        elif isinstance(action, io.SetTimer):
            self._queue.after(action.delay_ms, partial(self.notify, io.TimerDue(action.token)))
        elif isinstance(action, io.Reject) and (call := self.open.pop(action.request, None)):
            call.reply(Rejected(action.hold_off_ms))
        elif isinstance(action, io.Fail) and (call := self.open.pop(action.request, None)):
            call.reply(Failed())

    def take(self, call: Call) -> str:
        """Accept a call, as the real table does."""
        self._count += 1
        key = f"r{self._count}"
        self.open[key] = call
        self._attempts[key] = 0
        self.notify(io.RequestArrived(key, call.function, call.class_name, "t", call.budget_ms, LANES))
        return key

    def withdraw(self, key: str) -> None:
        """Forget a call."""
        self.open.pop(key, None)

    def _send(self, action: io.Send) -> None:
        key, scorer = action.request, action.scorer
        call = self.open.get(key)
        if call is None:
            self.notify(io.AttemptEnded(key, 0, scorer, io.AttemptResult.NOT_SENT, 0.0, closed=True))
            return
        attempt = self._attempts[key]
        self._attempts[key] += 1
        began_ms = self._queue.now_ms

        def ended(result: io.AttemptResult, _copies: int) -> None:
            if result is io.AttemptResult.GOOD and (call := self.open.pop(key, None)):
                call.reply(Succeeded(b""))
            took_ms = self._queue.now_ms - began_ms
            self.notify(io.AttemptEnded(key, attempt, scorer, result, took_ms, key not in self.open))

        self._scorers.run_call(scorer, call.function, ended)

    def order(self, action: io.OrderCopies) -> None:
        """Send an order of the decision module to its scorer."""
        began_ms = self._queue.now_ms

        def ended(result: io.AttemptResult, copies: int) -> None:
            took_ms = self._queue.now_ms - began_ms
            self.notify(io.LoadOrderAnswered(action.scorer, action.function, result, copies, took_ms))

        self._scorers.order(action.scorer, action.function, action.copies, ended)

    def query(self, order: LoadOrder) -> None:
        """Ask a scorer how many copies it has."""

        def ended(result: io.AttemptResult, copies: int) -> None:
            order.ended(order, None, Answer(result, b"", io.Warmth.NOT_REPORTED, 0, copies))

        self._scorers.order(order.scorer, order.function, 0, ended)


class SimulatedFrontEnd:
    """A front end that consists only of a request table and the decision module."""

    def __init__(
        self, name: str, incarnation: int, settings: io.Settings, queue: EventQueue, scorers: SimulatedScorers
    ) -> None:
        self.name = name
        self.table = RequestTable(settings, queue, scorers, incarnation)
        self.sink: RequestSink = self.table

    def scorer_seen(self, scorer: int, up_ms: float, _now_ms: float) -> None:
        """Record that a scorer came up."""
        self.table.notify(io.RosterChanged([io.ScorerEntry(scorer, up_since_ms=up_ms)], False))


class CoordinatedFrontEnd(SimulatedFrontEnd):
    """A front end that also issues permits and admits calls by them."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        settings: io.Settings,
        scorers: SimulatedScorers,
        limits: FleetLimits,
        network: Network,
    ) -> None:
        queue = scorers.queue
        super().__init__(name, incarnation, settings, queue, scorers)
        table = self.table
        self.wheel = TimerWheel(lambda: queue.now_ms)
        self.issuer = PermitIssuer(name, incarnation, limits, network.hash_order)
        self.gate = LoadOrderGate(table.order, table.query, table.notify, {}, lambda: queue.now_ms)
        self.admission = RecoveryAdmission(
            self.wheel, table, AdmissionSettings(settings.classes, limits), clock=lambda: queue.now_ms
        )
        self.sink = self.admission
        table.carry_order = self.gate.carry
        table.before_decision = lambda events: network.carry_out(self, self.gate.events(queue.now_ms, events))

    def scorer_seen(self, scorer: int, up_ms: float, now_ms: float) -> None:
        """Record that a scorer came up."""
        super().scorer_seen(scorer, up_ms, now_ms)
        self.issuer.scorer_seen(now_ms, scorer, now_ms - up_ms)

    def set_reachable(self, now_ms: float, names: list[str], allowed: AllowedActions) -> None:
        """Set the reachable front ends and the permissions."""
        self.issuer.update(now_ms, names, names, allowed, 1)
        self.gate.apply(allowed, self.issuer)

    def set_admitted_rate(self, allowed: AllowedActions, rate_ps: float) -> None:
        """Set the admitted rate, in calls per second."""
        self.admission.apply(allowed, rate_ps, self.issuer)
