"""The extensions that speak for a member of the fleet (zones, replicated state) during a hot restart.

Only one process at a time may speak for the member and have its disks. The old process releases the
extensions before the new one acquires them, and reacquires them where the new one ends before it is ready.
Nothing is read from clients in between, as a call could otherwise run without the promise that these
extensions record.
"""

from collections.abc import Callable
from enum import Enum, auto

from fawnwharf.config import ConfigError
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.timer_wheel import monotonic_ms

CHECK_INTERVAL_MS = 5.0  # between checks for open requests, and between attempts to reacquire
# Longest wait for open requests before the release, which then happens all the same. They end by themselves.
# The new process must be ready within 6 s: a request that takes longer than this goes on here, and its claim
# then reads as one that may have run.
RELEASE_DRAIN_TIMEOUT_MS = 3_500.0
REACQUIRE_TIMEOUT_MS = 10_000.0  # of attempts to reacquire; after that this process ends


class ExtensionState(Enum):
    """Which process has the extensions."""

    HELD = auto()
    DRAINING = auto()  # still held, until the open requests have ended
    RELEASED = auto()  # the other process may have them
    REACQUIRING = auto()


class ExclusiveExtensions:
    """Owns the state of this process's exclusive extensions, such as the zones with the voter's folder.

    They are exclusive between the old and the new process of one front end on one machine.
    """

    def __init__(self, front: FrontEnd) -> None:
        """Begins with the front end's extensions held."""
        self.front = front
        self.state = ExtensionState.HELD
        self._since_ms = 0.0

    @property
    def exist(self) -> bool:
        """Whether this process has any."""
        return self.front.extension is not None

    @property
    def are_held(self) -> bool:
        """Whether this process speaks for the member."""
        return self.state is ExtensionState.HELD

    def release(self, on_released: Callable[[], None]) -> None:
        """Stops reading from clients, lets open requests end, and releases the extensions.

        For a process that holds some. `on_released` is called once, after RELEASE_DRAIN_TIMEOUT_MS at the
        latest and also where the extensions report an error; not at all if `reacquire` comes first.
        """
        self.state = ExtensionState.DRAINING
        self._since_ms = monotonic_ms()
        self.front.client_port.set_accepting(False)
        self.front.client_port.set_paused(True)
        self._drain(on_released)

    def _drain(self, on_released: Callable[[], None]) -> None:
        front = self.front
        extension = front.extension
        if self.state is not ExtensionState.DRAINING or extension is None:
            return
        busy = front.requests.open or front.client_port.has_unwritten() or extension.busy
        if busy and monotonic_ms() - self._since_ms < RELEASE_DRAIN_TIMEOUT_MS:
            front.loop.timers.after(CHECK_INTERVAL_MS, lambda: self._drain(on_released))
            return
        front.loop.run_guarded(
            extension.suspend
        )  # even after an error, as no client is read until this has ended
        self.state = ExtensionState.RELEASED
        elapsed_ms = monotonic_ms() - self._since_ms
        front.log(f"hot restart: released the exclusive extensions, {elapsed_ms:.0f} ms after the request")
        on_released()

    def reacquire(self, on_reacquired: Callable[[], None]) -> None:
        """The other process has ended: goes on as before the release.

        `on_reacquired` is called once the extensions are held again: at once where they were not released
        yet. If they can't be reacquired within REACQUIRE_TIMEOUT_MS, it is not called and this process ends.
        """
        if self.state is ExtensionState.DRAINING:
            self.state = ExtensionState.HELD
            on_reacquired()
        elif self.state is ExtensionState.RELEASED:
            self.state = ExtensionState.REACQUIRING
            self._since_ms = monotonic_ms()
            self._try_reacquire(on_reacquired)

    def _try_reacquire(self, on_reacquired: Callable[[], None]) -> None:
        """Retries, as the system frees the disks and addresses of an ended process one by one.

        Where they stay in use, another process serves, and this one must not.
        """
        front = self.front
        failure = self._reacquire_failure()
        if failure is None:
            self.state = ExtensionState.HELD
            front.log("hot restart: reacquired the exclusive extensions")
            on_reacquired()
        elif monotonic_ms() - self._since_ms > REACQUIRE_TIMEOUT_MS:
            front.log(f"hot restart: exclusive extensions not reacquired, this process ends: {failure}")
            front.loop.running = False
        else:
            front.loop.timers.after(CHECK_INTERVAL_MS, lambda: self._try_reacquire(on_reacquired))

    def _reacquire_failure(self) -> str | None:
        """Tries once; the reason why it failed, None on success."""
        front = self.front
        if any(client.open for client in front.client_port.clients):
            return "requests from before are open"
        try:
            if front.extension is not None:
                front.extension.resume(front)
        except ConfigError as error:
            return str(error)
        except Exception as error:  # without another attempt no client would be read again
            front.loop.log_exception("reacquiring the exclusive extensions")
            return str(error)
        return None
