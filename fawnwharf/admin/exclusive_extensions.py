"""What speaks for a member of the fleet (zones, replicated state), in a replacement of its process.

One process at a time speaks for the member and has its disks: the old one lets go of them before the new one
has them, and takes them back where the new one is gone before it took the place. Nothing is read from clients
in between, as without these parts a call could run without its promise.
"""

from collections.abc import Callable
from enum import Enum, auto

from fawnwharf.config import ConfigError
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.timer_wheel import monotonic_ms

POLL_INTERVAL_MS = 5.0
# What is open ends by itself. The new process owes a yes within 6 s: a call that takes longer than this goes
# on here, and its claim then reads as one that may have run.
DRAIN_TIMEOUT_MS = 3_500.0
REACQUIRE_TIMEOUT_MS = 10_000.0


class ExtensionState(Enum):
    HERE = auto()
    EMPTYING = auto()  # still here, until what is open has ended
    AWAY = auto()  # let go of: the other process may have them
    RETURNING = auto()


class ExclusiveExtensions:
    """Owns where the parts of this process are."""

    def __init__(self, front: FrontEnd) -> None:
        self.front, self.where = front, ExtensionState.HERE
        self._since_ms = 0.0

    @property
    def any(self) -> bool:
        return self.front.seam is not None

    @property
    def here(self) -> bool:
        return self.where is ExtensionState.HERE

    def let_go(self, done: Callable[[], None]) -> None:
        """Read no further, let what is open end, and let go of the parts."""
        self.where, self._since_ms = ExtensionState.EMPTYING, monotonic_ms()
        self.front.port.accept(False)
        self.front.port.pause(True)
        self._look(done)

    def _look(self, done: Callable[[], None]) -> None:
        front = self.front
        if self.where is not ExtensionState.EMPTYING:
            return
        busy = front.table.open or front.port.unwritten() or front.seam.busy
        if busy and monotonic_ms() - self._since_ms < DRAIN_TIMEOUT_MS:
            front.loop.wheel.after(POLL_INTERVAL_MS, lambda: self._look(done))
            return
        front.loop.guarded(front.seam.release)  # after a fault, too: nobody is read until this has ended
        self.where = ExtensionState.AWAY
        took_ms = monotonic_ms() - self._since_ms
        front.log(f"let go of what only one process may have, {took_ms:.0f} ms after it was asked")
        done()

    def take_back(self, done: Callable[[], None]) -> None:
        """The other process is gone: go on as before."""
        if self.where is ExtensionState.EMPTYING:
            self.where = ExtensionState.HERE
            done()
        elif self.where is ExtensionState.AWAY:
            self.where, self._since_ms = ExtensionState.RETURNING, monotonic_ms()
            self._try(done)

    def _try(self, done: Callable[[], None]) -> None:
        """The system frees the disks and addresses of a process that ends one by one: the first try may be
        too early. Where they stay another's, that one serves, and this one must not."""
        front = self.front
        why = "calls of before are open"
        if not any(client.open for client in front.port.clients):
            try:
                front.seam.take_back(front)
            except Exception as error:  # any fault: without another try no client would be read again
                if not isinstance(error, ConfigError):
                    front.loop.fault("taking parts back")
                why = str(error)
            else:
                self.where = ExtensionState.HERE
                front.log("taken back what only one process may have")
                done()
                return
        if monotonic_ms() - self._since_ms > REACQUIRE_TIMEOUT_MS:
            front.log(f"not taken back, this process ends: {why}")
            front.loop.running = False
        else:
            front.loop.wheel.after(POLL_INTERVAL_MS, lambda: self._try(done))
