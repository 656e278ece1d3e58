"""Operators in a running front end: what their calls bring about."""

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
from fawnwharf.admin.hot_restart import HotRestart, InheritedState
from fawnwharf.admin.http import AdminRequest, AdminResponse
from fawnwharf.config import Address, ConfigError
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.roster_overlay import Closer
from fawnwharf.net.timer_wheel import monotonic_ms

TIDY_INTERVAL_MS = 250.0
CLOSER = LIMIT = "operators"


class AdminService:
    """Owns the second address, and carries out what is asked there."""

    def __init__(self, front: FrontEnd, address: Address, inherited: InheritedState | None = None) -> None:
        """Raises ConfigError where the address can't be listened on. `inherited`: from the process before."""
        self.front = front
        self.desk = CommandHandler(lambda id: id in front.overlay.members)
        try:
            self.port = AdminListener(front.loop, address, front.deployment.sockets, self.take)
        except OSError as error:
            raise ConfigError(f"control: {error.strerror}: {address}") from None
        self._draining_ms: float | None = None
        self._refusing = False
        self.replacement = HotRestart(front, inherited or InheritedState(), self._heard)
        self.replacement.out = lambda: self.desk.out
        self._memory = self.replacement.remembered()
        if self._memory is not None and self._memory.out:
            front.log(f"taken out before this process: {', '.join(self._memory.out)[:200]}")
            self.desk.out.update(self._memory.out)
            front.go_by(front.overlay.close(CLOSER, self._closer()))
        front.admin = self
        self._tidy()

    def begin(self) -> None:
        self.replacement.begin(self._memory)
        told = set(self._memory.out) if self._memory else set()
        for id in told ^ self.desk.out:  # asked for here before the other process could be told
            self.replacement.tell("/maintenance/enter" if id in self.desk.out else "/maintenance/exit", id)
        self._memory = None

    def take(self, asked: AdminRequest) -> AdminResponse:
        """Take an operator's call that was made here."""
        answer, effect = self._take(asked)
        if effect is not None:
            self.replacement.tell(
                asked.path, effect.id if isinstance(effect, EnterMaintenance | ExitMaintenance) else ""
            )
        return answer

    def _heard(self, path: str, target: str) -> None:
        """Take one that was made at the other process's address. Its drain is the other's own, once that has
        the clients."""
        if not self.replaced or target:
            self._take(AdminRequest("POST", path, (("target", target),) if target else ()))

    def _take(self, asked: AdminRequest) -> tuple[AdminResponse, Effect | None]:
        waits = bool(self.front.port.waits_for)
        self.desk.serving, self.desk.leaving = self.front.started and not waits, self.front.leaving
        answer, effect = self.desk.take(asked)
        if asked.method != "GET":
            self.front.log(f"operators: {asked.path}: {answer.status} {answer.text}")
        if effect is not None:
            self._carry_out(effect)
        return answer, effect

    def _closer(self) -> Closer:
        out = frozenset(self.desk.out)
        return lambda member: member.id in out

    def _carry_out(self, effect: Effect) -> None:
        if isinstance(effect, EnterMaintenance | ExitMaintenance):
            changes = self.front.overlay.close(CLOSER, self._closer())
            if isinstance(effect, ExitMaintenance):
                changes = self.front.overlay.returned([effect.id], self.front.loop.clock.now_ms())
            self.front.go_by(changes)
            self.replacement.remember()
        elif self.replaced:
            return  # the other process was told
        elif isinstance(effect, EnterStandby):
            self._draining_ms = monotonic_ms()
            self._look()
        elif isinstance(effect, ExitStandby):
            self._draining_ms = None
            self._refuse(False)
        self.front.port.ready = self.ready

    @property
    def ready(self) -> bool:
        """Whether the front end is to say that it takes work."""
        return self.front.started and not self.front.leaving and not self.desk.standby

    @property
    def takes_over(self) -> bool:
        return self.replacement.takes_over

    @property
    def replaced(self) -> bool:
        return self.replacement.replaced

    @property
    def busy(self) -> bool:
        return self.replacement.busy

    def leave(self) -> None:
        self.replacement.leave()

    # --- draining -------------------------------------------------------------------------------

    def _look(self) -> None:
        if self._draining_ms is None or self.front.leaving:
            return
        self.front.loop.wheel.after(
            draining.TICK_INTERVAL_MS, self._look
        )  # first: a fault must not be the last look
        if self.replaced:  # its connections are the other's, which is ready: none is ended or refused
            self._refuse(False)
            return
        step = draining.drain_step(monotonic_ms() - self._draining_ms)
        if step >= draining.DrainStep.EMPTYING:
            self.front.port.end_idle()
        self._refuse(step >= draining.DrainStep.REFUSING)

    def _refuse(self, on: bool) -> None:
        if on != self._refusing:
            self._refusing = on
            self.front.limit(LIMIT, 0.0 if on else io.UNLIMITED_RPS)

    # --- now and then ---------------------------------------------------------------------------

    def _tidy(self) -> None:
        self.front.loop.wheel.after(TIDY_INTERVAL_MS, self._tidy)  # first: a fault must not be the last look
        self.port.tidy()

    def close(self) -> None:
        self.replacement.close()
        self.port.close()
