"""The admin service of a running front end, which carries out admin commands."""

from fawnwharf import interface as io
from fawnwharf.admin import draining
from fawnwharf.admin.admin_listener import AdminListener
from fawnwharf.admin.command_handler import (
    CommandHandler,
    CommandResult,
    EnterMaintenance,
    EnterStandby,
    ExitMaintenance,
    ExitStandby,
    command_of,
)
from fawnwharf.admin.handoff_messages import OperatorCommand
from fawnwharf.admin.handoff_request import InheritedState
from fawnwharf.admin.hot_restart import HotRestart, HotRestartCallbacks
from fawnwharf.admin.http import AdminRequest, AdminResponse
from fawnwharf.admin.learned_state import HandedOverState, is_fresh
from fawnwharf.admin.learned_state_capture import restart_times_ms
from fawnwharf.config import Address, ConfigError
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.roster_overlay import RosterFilter
from fawnwharf.net.timer_wheel import monotonic_ms

OVERDUE_CHECK_INTERVAL_MS = 250.0  # between checks for requests that are not complete in time
ROSTER_FILTER_NAME = "operators"  # of the filter that removes scorers in maintenance from the roster
CALL_LIMIT_NAME = "operators"  # of the limit by which a draining front end rejects calls
OK = 200  # the status of a response that says yes
MAX_SCORER_LIST_CHARACTERS = 200  # of the list of scorers in maintenance in a log line


class AdminService:
    """Owns the admin listener, draining, and hot restart."""

    def __init__(self, front: FrontEnd, address: Address, inherited: InheritedState | None = None) -> None:
        """Listens on the admin address; `inherited` is the state from the predecessor.

        Raises ConfigError if it can't listen on the address.
        """
        self.front = front
        self.commands = CommandHandler(lambda scorer_id: scorer_id in front.roster_overlay.members)
        try:
            self.listener = AdminListener(front.loop, address, front.deployment.sockets, self.handle)
        except OSError as error:
            raise ConfigError(f"control: {error.strerror}: {address}") from None
        self._draining_since_ms: float | None = None
        self._rejecting = False
        callbacks = HotRestartCallbacks(
            on_command=self._on_answered_command,
            scorers_in_maintenance=lambda: self.commands.scorers_in_maintenance,
            is_ready_to_serve=lambda: self.is_ready_to_serve,
        )
        self.hot_restart = HotRestart(front, inherited or InheritedState(), callbacks)
        self._inherited = self.hot_restart.decoded_learned_state()
        if self._inherited is not None:
            self._restore_maintenance(self._inherited.scorers_in_maintenance)
            self._restore_restart_times(self._inherited)
        front.admin = self
        self._close_overdue()

    def _restore_maintenance(self, scorer_ids: list[str]) -> None:
        if not scorer_ids:
            return
        listed = ", ".join(scorer_ids)[:MAX_SCORER_LIST_CHARACTERS]
        self.front.log(f"in maintenance since before this process: {listed}")
        self.commands.scorers_in_maintenance.update(scorer_ids)
        self.front.apply_filtered_roster(
            self.front.roster_overlay.set_filter(ROSTER_FILTER_NAME, self._maintenance_filter())
        )

    def _restore_restart_times(self, learned: HandedOverState) -> None:
        """Continue the slow start of scorers that operators have brought back, also of unlisted ones."""
        if not is_fresh(learned, monotonic_ms()):
            return
        times_ms = restart_times_ms(learned, self.front.loop.clock.now_ms(), monotonic_ms())
        self.front.apply_filtered_roster(self.front.roster_overlay.set_restart_times(times_ms))

    def start(self) -> None:
        """Called when the front end starts: takes over from the predecessor, if there is one.

        Raises nothing: if the socket for a successor can't be created, the front end runs without hot
        restart.
        """
        self.hot_restart.start(self._inherited)
        self._inherited = None

    def handle(self, request: AdminRequest) -> AdminResponse:
        """Handles a command that an operator sent to this process, and forwards it.

        What another process has answered to before is handled first, so that the operator's last call counts.
        A command that changes nothing here is forwarded, too: the other process may be in another state.
        """
        self.hot_restart.read_pending()
        self.commands.is_serving = self.front.started and not self.front.client_port.not_ready_reasons
        self.commands.is_shutting_down = self.front.shutting_down
        result = self.commands.handle(request)
        if request.method != "GET":
            self._carry_out(request.path, result)
            if result.response.status == OK:
                self.hot_restart.forward_command(command_of(request))
        return result.response

    def _on_answered_command(self, command: OperatorCommand) -> None:
        """Handles a command to which another process of this front end has answered yes."""
        result = self.commands.apply_answered(command)
        if result is not None:
            self._carry_out(command.path, result)

    def _carry_out(self, path: str, result: CommandResult) -> None:
        """Logs a command's response and carries out its effect."""
        response, effect = result
        self.front.log(f"admin command {path}: {response.status} {response.text}")
        if effect is None:
            return
        if isinstance(effect, EnterMaintenance | ExitMaintenance):
            self._update_roster(effect)
        elif isinstance(effect, EnterStandby):
            self._draining_since_ms = monotonic_ms()
            self._drain()
        elif isinstance(effect, ExitStandby):
            self._draining_since_ms = None
            self._set_rejecting(on=False)
        if not self.is_replaced:  # else readiness checks here are meant for the successor
            self.front.client_port.ready = self.is_ready_to_serve

    def _maintenance_filter(self) -> RosterFilter:
        in_maintenance = frozenset(self.commands.scorers_in_maintenance)
        return lambda member: member.id in in_maintenance

    def _update_roster(self, effect: EnterMaintenance | ExitMaintenance) -> None:
        overlay = self.front.roster_overlay
        changes = overlay.set_filter(ROSTER_FILTER_NAME, self._maintenance_filter())
        if isinstance(effect, ExitMaintenance):
            changes = overlay.mark_restarted([effect.scorer_id], self.front.loop.clock.now_ms())
        self.front.apply_filtered_roster(changes)
        self.hot_restart.write_learned_state()

    @property
    def is_ready_to_serve(self) -> bool:
        """Whether readiness checks should succeed: started, not on standby and not shutting down."""
        return self.front.started and not self.front.shutting_down and not self.commands.is_on_standby

    @property
    def will_take_over(self) -> bool:
        """Whether this process is about to take over from a running predecessor."""
        return self.hot_restart.will_take_over

    @property
    def is_replaced(self) -> bool:
        """Whether a successor accepts connections and gets those of this process."""
        return self.hot_restart.is_replaced

    @property
    def has_handoff_in_progress(self) -> bool:
        """Whether a hand-off is in progress, so that this process must not end yet."""
        return self.hot_restart.has_handoff_in_progress

    def shut_down(self) -> None:
        """Begins the hand-off as the front end shuts down; `close` follows at the end of the shutdown."""
        self.hot_restart.shut_down()

    # --- draining -------------------------------------------------------------------------------

    def _drain(self) -> None:
        if self._draining_since_ms is None or self.front.shutting_down:
            return
        # Schedules the next check first: an error in this one must not end the drain.
        self.front.loop.timers.after(draining.TICK_INTERVAL_MS, self._drain)
        if self.is_replaced:  # the successor gets the connections: none is closed, and no request rejected
            self._set_rejecting(on=False)
            return
        step = draining.drain_step(monotonic_ms() - self._draining_since_ms)
        if step >= draining.DrainStep.CLOSING_IDLE:
            self.front.client_port.end_idle()
        self._set_rejecting(on=step >= draining.DrainStep.REJECTING_REQUESTS)

    def _set_rejecting(self, *, on: bool) -> None:
        if on != self._rejecting:
            self._rejecting = on
            self.front.limit_calls(CALL_LIMIT_NAME, 0.0 if on else io.UNLIMITED_RPS)

    # --- periodic work --------------------------------------------------------------------------

    def _close_overdue(self) -> None:
        # Schedules the next check first: an error in this one must not end the checks.
        self.front.loop.timers.after(OVERDUE_CHECK_INTERVAL_MS, self._close_overdue)
        self.listener.close_overdue()
        self.hot_restart.follow_newer_process()

    def close(self) -> None:
        """Closes the admin listener and the hot restart channels as the front end ends."""
        self.hot_restart.close()
        self.listener.close()
