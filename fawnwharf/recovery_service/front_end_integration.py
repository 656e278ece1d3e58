"""First copies, cold scorers' calls and the door, joined to a running front end: logs, the module, the table.

Thin: what is given out is decided in `giving.py`, who is let in at `door.py`, what the module may order in
`holds.py`.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from fawnwharf import interface as io
from fawnwharf.net.front_end import FrontEnd, scorer_number
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.policy.state import Function, mark
from fawnwharf.recovery_core.budget import FleetLimits, fleet_limits
from fawnwharf.recovery_core.phases import AllowedActions
from fawnwharf.recovery_core.register import PermitAssignment
from fawnwharf.recovery_service import actions
from fawnwharf.recovery_service import permit_messages as g
from fawnwharf.recovery_service.load_order_gate import LoadOrderGate
from fawnwharf.recovery_service.permit_issuing import TICK_MS, PermitIssuer
from fawnwharf.recovery_service.recovery_admission import RecoveryAdmission, StoredClaims
from fawnwharf.recovery_service.settings import Settings
from fawnwharf.replication.service import ReplicationService

LOG_CLIENT = "recovery-given"  # by the logs of state
CALM_TICK_MS = 250.0  # in calm little is to be said, and that to others that are not yet
USAGE_RESEND_MS = 5_000.0  # what was used before the cut is wanted again, as a want that stands for long ends
MAX_HASH_ORDERS = 4_096  # functions whose hash order is kept in mind


def create_admission(
    front: FrontEnd, state: ReplicationService, settings: Settings, limits: FleetLimits
) -> RecoveryAdmission:
    """The door, before whatever stands there."""
    classes, promises = front.deployment.settings.classes, StoredClaims(state.gate, state.core)
    return RecoveryAdmission(
        front.loop, front.client_port.requests, classes, limits, promises, settings.timing.window_ms
    )


class FrontEndIntegration:
    """Owns the pace at which things are given out, and the way of words, orders and tickets."""

    def __init__(
        self,
        front: FrontEnd,
        state: ReplicationService,
        settings: Settings,
        life: int,
        door: Callable[
            [FrontEnd, ReplicationService, Settings, FleetLimits], RecoveryAdmission
        ] = create_admission,
    ) -> None:
        self.front, self.state = front, state
        self.limits = fleet_limits(front.deployment.settings, settings.fetches, settings.scorer_rps)
        self.giving = PermitIssuer(state.member.name, life, self.limits, self._order, room=self._room)
        self.giving.word_ms = settings.timing.alone_ms
        self.counts: dict[str, int] = {}
        self._going: tuple[AllowedActions, int, int, PermitAssignment | None] = (AllowedActions(), 0, 1, None)
        self._used: dict[tuple[str, str], float] = {}  # calls a second before the cut, by function and class
        self._used_ms = float("-inf")
        self._heard: frozenset[str] = frozenset()
        self._orders: dict[str, Function] = {}
        self._up_ms: dict[int, float | None] = {}  # Unix; None: long past
        self._timer: Timer | None = None
        self._stopped = False
        self.door = door(front, state, settings, self.limits)
        self.holds: LoadOrderGate | None = None
        self._order_out: Callable[[io.OrderCopies], None] | None = None
        front.intercept(io.OrderCopies, self._between)
        state.log_clients[LOG_CLIENT] = self._ridden
        self.roster()
        self._turn()

    def close(self) -> None:
        self._stopped = True
        self.state.log_clients.pop(LOG_CLIENT, None)
        if self._timer is not None:
            self._timer.cancel()
        self.front.intercept(io.OrderCopies, lambda _own: self._order_out)
        if not self._going[0].spill:
            self.door.go_by(AllowedActions(), 0.0, self.giving)  # what waits may be asked for again elsewhere

    def _between(self, below: Callable[[io.OrderCopies], None]) -> Callable[[io.OrderCopies], None]:
        front, self._order_out = self.front, below
        self.holds = LoadOrderGate(
            below, front.scorer_pool.start_load, front.loop.enqueue, front.requests.open
        )
        return self.holds.carry

    # --- what is allowed ------------------------------------------------------------------------

    def go_by(
        self, allowed: AllowedActions, cut: int, fronts: int, dealt: PermitAssignment | None = None
    ) -> None:
        """`fronts`: among how many front ends the fleet's calls are divided; alone, among those that hear
        each other, whose part of the budgets `allowed` has."""
        self._going = (allowed, cut, fronts, dealt)
        self._set(monotonic_ms())

    def use_before(self, used: dict[tuple[str, str], float]) -> None:
        """Calls a second before the cut, by function and class: that these will be wanted first."""
        self._used = used

    def _set(self, now_ms: float) -> None:
        allowed, cut, fronts, dealt = self._going
        self._heard = frozenset(self.state.live_members(now_ms)) | {self.state.member.name}
        self.giving.set(now_ms, self._heard, self.state.core.placement.replicas, allowed, cut, dealt)
        rate_ps = allowed.part * self.limits.fall_multiple * self.limits.calls_rps(self.ages()) / fronts
        self.door.go_by(allowed, rate_ps, self.giving)
        self.holds.go_by(allowed, self.giving)
        if allowed.own_loads:
            self._used = {}
        elif allowed.loads and self._used and now_ms - self._used_ms >= USAGE_RESEND_MS:
            self._used_ms = now_ms
            classes = self.front.deployment.settings.classes
            for (row, name), rps in self._used.items():
                if name in classes:
                    self.giving.want(now_ms, row, rps * classes[name].priority_weight, name)

    # --- scorers --------------------------------------------------------------------------------

    def roster(self) -> None:
        """The roster as it is told by now."""
        now, found = monotonic_ms(), {}
        for member in self.front.roster_overlay.members.values():
            if member.phase == "in_service":
                found[scorer_number(member.id)] = member.up_since_ms or None
        for id in [id for id in self._up_ms if id not in found]:
            self._carry_out(self.giving.gone(now, id))
        self._up_ms = found
        for id in found:
            self.giving.scorer(now, id, self.age_ms(id))

    def age_ms(self, worker: int) -> float:
        """One that is not known counts as warm: nothing of it is given out."""
        up_ms = self._up_ms.get(worker)
        return float("inf") if up_ms is None else max(0.0, self.front.loop.clock.now_ms() - up_ms)

    def ages(self) -> list[float]:
        return [self.age_ms(id) for id in self._up_ms]

    def _order(self, row: str) -> list[int]:
        """A function's scorers that take calls, as the module's own order has them."""
        fn = self._orders.get(row)
        if fn is None:
            while len(self._orders) >= MAX_HASH_ORDERS:
                del self._orders[next(iter(self._orders))]
            fn = self._orders[row] = Function(row, "", 1, None, mark(row))
        return [one.id for one in self.front.router._ordered(fn) if one.suspect_ms is None]

    def _room(self) -> float:
        """Orders that the module would make of `CopiesWanted`: one is left for each held call."""
        router = self.front.router
        held = sum(len(fn.queue) for fn in router.functions.values())
        return router._load_rate_left() - held if router.settings.load_orders_allowed else 0.0

    # --- turns, words and answers ---------------------------------------------------------------

    def _turn(self) -> None:
        if self._stopped:
            return
        now = monotonic_ms()
        self._set(now)
        self._carry_out(self.giving.tick(now))
        calm = self._going[0].spill
        self._timer = self.front.loop.timers.after(CALM_TICK_MS if calm else TICK_MS, self._turn)

    def _ridden(self, now_ms: float, sender: str, _life: int, data: Any) -> None:
        try:
            word = g.permit_message_from(data)
        except msgspec.ValidationError:
            self.counts["bad word"] = self.counts.get("bad word", 0) + 1
            return
        self._carry_out(self.giving.hear(now_ms, sender, word))

    def events(self, now_ms: float, events: list[io.Event]) -> None:
        self._carry_out(self.holds.events(now_ms, events))

    def _carry_out(self, found: list[actions.Action]) -> None:
        for out in found:
            if isinstance(out, actions.SendPermitMessage):
                self.state.send_message(LOG_CLIENT, out.to, msgspec.to_builtins(out.word))
            elif isinstance(out, actions.LoadOrder):
                if isinstance(out.what, io.OrderCopies):
                    self.front.requests.start_load(out.what)
                else:
                    self.front.loop.enqueue(out.what)
            else:
                self.door.told(out)
