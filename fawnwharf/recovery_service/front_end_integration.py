"""Connects permits, admission and load orders to a running front end's logs, decision module and requests.

This layer makes no decisions: `permit_issuing.py` issues permits, `recovery_admission.py` admits calls, and
`load_order_gate.py` filters the load orders of the decision module.
"""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

from fawnwharf import interface as io
from fawnwharf.net.front_end import FrontEnd, scorer_number
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.policy.state import Function, name_hash
from fawnwharf.recovery_core.budget import fleet_limits
from fawnwharf.recovery_core.phases import AllowedActions
from fawnwharf.recovery_core.register import PermitAssignment
from fawnwharf.recovery_service.actions import Action, LoadOrder, SendPermitMessage
from fawnwharf.recovery_service.claim_status import StoredClaims
from fawnwharf.recovery_service.hints import FunctionUse
from fawnwharf.recovery_service.load_order_gate import LoadOrderGate
from fawnwharf.recovery_service.permit_issuing import TICK_MS, PermitIssuer, PermitTiming
from fawnwharf.recovery_service.permit_messages import LoadRequest, permit_message_from
from fawnwharf.recovery_service.recovery_admission import AdmissionSettings, RecoveryAdmission
from fawnwharf.recovery_service.settings import Settings
from fawnwharf.replication.service import ReplicationService

LOG_CLIENT = "recovery-given"  # of the replication logs
NORMAL_TICK_MS = 250.0  # in normal operation the only receivers are front ends that still recover
USAGE_RESEND_MS = 5_000.0  # requests for functions used before the power loss expire and are sent again
MAX_HASH_ORDERS = 4_096  # functions whose hash order is cached


class AppliedPhase(NamedTuple):
    """The phase permissions that this front end applies."""

    allowed: AllowedActions
    power_loss: int
    front_ends: int  # how many share the fleet's call rate; while partitioned, those that reach each other
    assignment: PermitAssignment | None = None


class FrontEndIntegration:
    """Runs the ticks of permit issuing, and passes on messages, load orders and permits."""

    order_gate: LoadOrderGate
    _send_order: Callable[[Any], object]

    def __init__(
        self, front: FrontEnd, state: ReplicationService, settings: Settings, incarnation: int
    ) -> None:
        """Insert admission and the load order gate into the front end; nothing is admitted before `apply`."""
        self.front = front
        self.state = state
        self.limits = fleet_limits(front.deployment.settings, settings.fetches, settings.scorer_rps)
        self.issuer = PermitIssuer(
            state.member.name,
            incarnation,
            self.limits,
            self._hash_order,
            PermitTiming(announcement_valid_ms=settings.timing.alone_ms),
            self._orders_left,
        )
        self.bad_messages = 0
        self._applied = AppliedPhase(AllowedActions(), 0, 1)
        self._earlier_use: Mapping[FunctionUse, float] = {}  # calls a second before the power loss
        self._use_requested_ms = float("-inf")
        self._functions: dict[str, Function] = {}  # with their cached hash orders
        self._scorers_up_ms: dict[int, float | None] = {}  # Unix time; None: long ago
        self._timer: Timer | None = None
        self._stopped = False
        admission_settings = AdmissionSettings(
            front.deployment.settings.classes, self.limits, settings.timing.window_ms
        )
        claims = StoredClaims(state.gate, state.core) if state.gate is not None else None
        self.admission = RecoveryAdmission(
            front.loop.timers, front.client_port.requests, admission_settings, claims
        )
        front.intercept(io.OrderCopies, self._insert_gate)
        state.log_clients[LOG_CLIENT] = self._receive
        self.update_roster()
        self._tick()

    def close(self) -> None:
        """Stop issuing and requesting permits; waiting calls are rejected, except in normal operation."""
        self._stopped = True
        self.state.log_clients.pop(LOG_CLIENT, None)
        if self._timer is not None:
            self._timer.cancel()
        self.front.intercept(io.OrderCopies, lambda _own: self._send_order)
        if not self._applied.allowed.spill:
            self.admission.apply(AllowedActions(), 0.0, self.issuer)  # clients may retry at another front end

    def _insert_gate(self, send_order: Callable[[Any], object]) -> Callable[[Any], object]:
        front = self.front
        self._send_order = send_order
        self.order_gate = LoadOrderGate(
            send_order, front.scorer_pool.send_load_order, front.loop.enqueue, front.requests.open
        )
        return self.order_gate.carry

    # --- what is allowed ------------------------------------------------------------------------

    def apply(self, applied: AppliedPhase) -> None:
        """Apply the permissions of a phase."""
        self._applied = applied
        self._update(monotonic_ms())

    def request_earlier_use(self, use: Mapping[FunctionUse, float]) -> None:
        """Request copies of the functions called before the power loss, once loads are allowed.

        `use` has the calls per second by function and class.
        """
        self._earlier_use = use

    def _update(self, now_ms: float) -> None:
        allowed, power_loss, front_ends, assignment = self._applied
        reachable = frozenset(self.state.live_members(now_ms)) | {self.state.member.name}
        replicas = self.state.core.placement.replicas
        self.issuer.update(now_ms, reachable, replicas, allowed, power_loss, assignment)
        fleet_rps = self.limits.fall_multiple * self.limits.calls_rps(self.scorer_ages_ms())
        self.admission.apply(allowed, allowed.part * fleet_rps / front_ends, self.issuer)
        self.order_gate.apply(allowed, self.issuer)
        if allowed.own_loads:
            self._earlier_use = {}
        elif allowed.loads and now_ms - self._use_requested_ms >= USAGE_RESEND_MS:
            self._request_use(now_ms)

    def _request_use(self, now_ms: float) -> None:
        if not self._earlier_use:
            return
        self._use_requested_ms = now_ms
        classes = self.front.deployment.settings.classes
        for (function, class_name), rps in self._earlier_use.items():
            if class_name in classes:
                weight_ps = rps * classes[class_name].priority_weight
                self.issuer.request_copy(now_ms, LoadRequest(function, class_name, weight_ps))

    # --- scorers --------------------------------------------------------------------------------

    def update_roster(self) -> None:
        """Pass scorers that appeared in or left the roster on to the permit issuer."""
        now_ms = monotonic_ms()
        scorers_up_ms = {
            scorer_number(member.id): member.up_since_ms or None
            for member in self.front.roster_overlay.members.values()
            if member.phase == "in_service"
        }
        for scorer in [scorer for scorer in self._scorers_up_ms if scorer not in scorers_up_ms]:
            self._carry_out(self.issuer.scorer_gone(scorer))
        self._scorers_up_ms = scorers_up_ms
        for scorer in scorers_up_ms:
            self.issuer.scorer_seen(now_ms, scorer, self.age_ms(scorer))

    def age_ms(self, scorer: int) -> float:
        """How long a scorer has been up, in milliseconds; an unknown one counts as warm."""
        up_ms = self._scorers_up_ms.get(scorer)
        return float("inf") if up_ms is None else max(0.0, self.front.loop.clock.now_ms() - up_ms)

    def scorer_ages_ms(self) -> list[float]:
        """How long each scorer has been up, in milliseconds."""
        return [self.age_ms(scorer) for scorer in self._scorers_up_ms]

    def _hash_order(self, function: str) -> list[int]:
        """A function's scorers that accept calls, in the decision module's hash order."""
        cached = self._functions.get(function)
        if cached is None:
            while len(self._functions) >= MAX_HASH_ORDERS:
                del self._functions[next(iter(self._functions))]
            cached = self._functions[function] = Function(function, "", 1, None, name_hash(function))
        order = self.front.router._ordered(cached)
        return [scorer.id for scorer in order if scorer.suspect_since_ms is None]

    def _orders_left(self) -> float:
        """How many `PrefetchRequested` orders fit into the load rate limit, after those for waiting calls."""
        router = self.front.router
        waiting = sum(len(function.queue) for function in router.functions.values())
        return router._load_rate_left() - waiting if router.settings.load_orders_allowed else 0.0

    # --- ticks, messages and answers ------------------------------------------------------------

    def _tick(self) -> None:
        if self._stopped:
            return
        now_ms = monotonic_ms()
        self._update(now_ms)
        self._carry_out(self.issuer.tick(now_ms))
        interval_ms = NORMAL_TICK_MS if self._applied.allowed.spill else TICK_MS
        self._timer = self.front.loop.timers.after(interval_ms, self._tick)

    def _receive(self, now_ms: float, sender: str, _incarnation: int, data: Any) -> None:
        try:
            message = permit_message_from(data)
        except msgspec.ValidationError:
            self.bad_messages += 1
            return
        self._carry_out(self.issuer.receive(now_ms, sender, message))

    def events(self, now_ms: float, events: list[io.Event]) -> None:
        """Handle a batch of the decision module's events."""
        self._carry_out(self.order_gate.events(now_ms, events))

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendPermitMessage):
                self.state.send_message(LOG_CLIENT, action.to, msgspec.to_builtins(action.message))
            elif not isinstance(action, LoadOrder):
                self.admission.notify(action)
            elif isinstance(action.event, io.OrderCopies):
                self.front.requests.send_load_order(action.event)
            else:
                self.front.loop.enqueue(action.event)
