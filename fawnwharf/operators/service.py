"""Operators in a running front end: what their calls bring about."""

from fawnwharf import interface as io
from fawnwharf.config import Address, ConfigError
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.wheel import monotonic_ms
from fawnwharf.operators import drain
from fawnwharf.operators.desk import BringBack, Desk, Effect, Resume, StandBy, TakeOut
from fawnwharf.operators.http import Answer, Asked
from fawnwharf.operators.port import ControlPort

TIDY_MS = 250.0
CLOSER = LIMIT = "operators"


class Operators:
    """Owns the second address, and carries out what is asked there."""

    def __init__(self, front: FrontEnd, address: Address) -> None:
        """Raises ConfigError where the address can't be listened on."""
        self.front = front
        self.desk = Desk(lambda id: id in front.overlay.members)
        try:
            self.port = ControlPort(front.loop, address, front.deployment.sockets, self.take)
        except OSError as error:
            raise ConfigError(f"control: {error.strerror}: {address}") from None
        self._draining_ms: float | None = None
        self._refusing = False
        front.operators = self
        self._tidy()

    def take(self, asked: Asked) -> Answer:
        self.desk.serving, self.desk.leaving = self.front.started, self.front.leaving
        answer, effect = self.desk.take(asked)
        if asked.method != "GET":
            self.front.log(f"operators: {asked.path}: {answer.status} {answer.text}")
        if effect is not None:
            self._carry_out(effect)
        return answer

    def _carry_out(self, effect: Effect) -> None:
        if isinstance(effect, TakeOut | BringBack):
            out = frozenset(self.desk.out)
            changes = self.front.overlay.close(CLOSER, lambda member: member.id in out)
            if isinstance(effect, BringBack):
                changes = self.front.overlay.returned([effect.id], self.front.loop.clock.now_ms())
            self.front.go_by(changes)
        elif isinstance(effect, StandBy):
            self._draining_ms = monotonic_ms()
            self._look()
        elif isinstance(effect, Resume):
            self._draining_ms = None
            self._refuse(False)
        self.front.port.ready = self.ready

    @property
    def ready(self) -> bool:
        """Whether the front end is to say that it takes work."""
        return self.front.started and not self.front.leaving and not self.desk.standby

    # --- draining -------------------------------------------------------------------------------

    def _look(self) -> None:
        if self._draining_ms is None or self.front.leaving:
            return
        step = drain.step(monotonic_ms() - self._draining_ms)
        if step >= drain.Step.EMPTYING:
            self.front.port.end_idle()
        self._refuse(step >= drain.Step.REFUSING)
        self.front.loop.wheel.after(drain.LOOK_MS, self._look)

    def _refuse(self, on: bool) -> None:
        if on != self._refusing:
            self._refusing = on
            self.front.limit(LIMIT, 0.0 if on else io.UNLIMITED_RPS)

    # --- now and then ---------------------------------------------------------------------------

    def _tidy(self) -> None:
        self.port.tidy()
        self.front.loop.wheel.after(TIDY_MS, self._tidy)

    def close(self) -> None:
        self.port.close()
