"""The admin service of a running front end: carries out the operators' commands."""

from fawnwharf import interface as io
from fawnwharf.admin import draining
from fawnwharf.admin.admin_listener import AdminListener
from fawnwharf.admin.command_handler import (
    CommandHandler,
    Effect,
    EnterMaintenance,
    EnterStandby,
    ExitMaintenance,
    ExitStandby,
)
from fawnwharf.admin.handoff_request import InheritedState
from fawnwharf.admin.hot_restart import AdminHooks, HotRestart
from fawnwharf.admin.http import AdminRequest, AdminResponse
from fawnwharf.config import Address, ConfigError
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.roster_overlay import RosterFilter
from fawnwharf.net.timer_wheel import monotonic_ms

TIDY_INTERVAL_MS = 250.0
CLOSER = LIMIT = "operators"
MAX_LISTED_CHARACTERS = 200  # of scorers' ids in a log line


class AdminService:
    """Owns the operators' address, draining, and the hot restart."""

    def __init__(self, front: FrontEnd, address: Address, inherited: InheritedState | None = None) -> None:
        """Listens on the operators' address; `inherited` is what the start found of its predecessor.

        Raises ConfigError where the address can't be listened on.
        """
        self.front = front
        self.commands = CommandHandler(lambda scorer_id: scorer_id in front.roster_overlay.members)
        try:
            self.listener = AdminListener(front.loop, address, front.deployment.sockets, self.handle)
        except OSError as error:
            raise ConfigError(f"control: {error.strerror}: {address}") from None
        self._draining_since_ms: float | None = None
        self._rejecting = False
        hooks = AdminHooks(
            on_command=self._on_forwarded_command,
            in_maintenance=lambda: self.commands.in_maintenance,
            is_ready=lambda: self.ready,
        )
        self.hot_restart = HotRestart(front, inherited or InheritedState(), hooks)
        self._inherited = self.hot_restart.inherited_state()
        if self._inherited is not None:
            self._restore_maintenance(self._inherited.in_maintenance)
        front.admin = self
        self._tidy()

    def _restore_maintenance(self, scorer_ids: list[str]) -> None:
        if not scorer_ids:
            return
        listed = ", ".join(scorer_ids)[:MAX_LISTED_CHARACTERS]
        self.front.log(f"in maintenance since before this process: {listed}")
        self.commands.in_maintenance.update(scorer_ids)
        self.front.apply_fleet(self.front.roster_overlay.set_filter(CLOSER, self._closer()))

    def begin(self) -> None:
        """The front end starts: takes over from the predecessor."""
        self.hot_restart.start(self._inherited)
        inherited = set(self._inherited.in_maintenance) if self._inherited else set()
        # Commands that came here before the predecessor could receive them.
        for scorer_id in inherited ^ self.commands.in_maintenance:
            entered = scorer_id in self.commands.in_maintenance
            path = "/maintenance/enter" if entered else "/maintenance/exit"
            self.hot_restart.send_command(path, scorer_id)
        self._inherited = None

    def handle(self, request: AdminRequest) -> AdminResponse:
        """Handles a command that an operator sent to this process."""
        response, effect = self._handle(request)
        if effect is not None:
            target = effect.scorer_id if isinstance(effect, EnterMaintenance | ExitMaintenance) else ""
            self.hot_restart.send_command(request.path, target)
        return response

    def _on_forwarded_command(self, path: str, target: str) -> None:
        """Handles a command that another process received.

        Standby applies only to the process that has the clients.
        """
        if not self.replaced or target:
            self._handle(AdminRequest("POST", path, (("target", target),) if target else ()))

    def _handle(self, request: AdminRequest) -> tuple[AdminResponse, Effect | None]:
        self.commands.serving = self.front.started and not self.front.client_port.not_ready_reasons
        self.commands.shutting_down = self.front.shutting_down
        response, effect = self.commands.handle(request)
        if request.method != "GET":
            self.front.log(f"admin command {request.path}: {response.status} {response.text}")
        if effect is not None:
            self._carry_out(effect)
        return response, effect

    def _closer(self) -> RosterFilter:
        in_maintenance = frozenset(self.commands.in_maintenance)
        return lambda member: member.id in in_maintenance

    def _carry_out(self, effect: Effect) -> None:
        if isinstance(effect, EnterMaintenance | ExitMaintenance):
            self._update_roster(effect)
        elif self.replaced:
            return  # the command is passed on to the successor
        elif isinstance(effect, EnterStandby):
            self._draining_since_ms = monotonic_ms()
            self._drain()
        elif isinstance(effect, ExitStandby):
            self._draining_since_ms = None
            self._set_rejecting(on=False)
        self.front.client_port.ready = self.ready

    def _update_roster(self, effect: EnterMaintenance | ExitMaintenance) -> None:
        overlay = self.front.roster_overlay
        changes = overlay.set_filter(CLOSER, self._closer())
        if isinstance(effect, ExitMaintenance):
            changes = overlay.mark_restarted([effect.scorer_id], self.front.loop.clock.now_ms())
        self.front.apply_fleet(changes)
        self.hot_restart.write_state()

    @property
    def ready(self) -> bool:
        """Whether readiness checks are to succeed."""
        return self.front.started and not self.front.shutting_down and not self.commands.standby

    @property
    def takes_over(self) -> bool:
        """Whether there is a predecessor from which this process takes over at its start."""
        return self.hot_restart.will_take_over

    @property
    def replaced(self) -> bool:
        """Whether a successor has taken over."""
        return self.hot_restart.is_replaced

    @property
    def busy(self) -> bool:
        """Whether a hand-off is still going on."""
        return self.hot_restart.is_busy

    def leave(self) -> None:
        """The front end was told to end."""
        self.hot_restart.shut_down()

    # --- draining -------------------------------------------------------------------------------

    def _drain(self) -> None:
        if self._draining_since_ms is None or self.front.shutting_down:
            return
        self.front.loop.timers.after(
            draining.TICK_INTERVAL_MS, self._drain
        )  # first: an error must not end it
        if self.replaced:  # the connections are for the successor, which is ready: none is ended or rejected
            self._set_rejecting(on=False)
            return
        step = draining.drain_step(monotonic_ms() - self._draining_since_ms)
        if step >= draining.DrainStep.CLOSING_IDLE:
            self.front.client_port.end_idle()
        self._set_rejecting(on=step >= draining.DrainStep.REJECTING)

    def _set_rejecting(self, *, on: bool) -> None:
        if on != self._rejecting:
            self._rejecting = on
            self.front.limit_calls(LIMIT, 0.0 if on else io.UNLIMITED_RPS)

    # --- periodic work --------------------------------------------------------------------------

    def _tidy(self) -> None:
        self.front.loop.timers.after(TIDY_INTERVAL_MS, self._tidy)  # first: an error must not end it
        self.listener.tidy()

    def close(self) -> None:
        """The front end ends."""
        self.hot_restart.close()
        self.listener.close()
