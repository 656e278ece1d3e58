"""Release of exclusive extensions (zones, replicated state) from the old to the new process in a hot restart.

Only one process at a time may act for the fleet member and have its disks open. The old process releases the
extensions before the new one acquires them. If the new one ends before it is ready, the old process
reacquires them. No process runs a call in between, as that call would have no grant, which these extensions
record. The old process reads its clients all the time and holds their calls (`net.call_hold`).
"""

from collections.abc import Callable
from enum import Enum, auto

from fawnwharf.config import ConfigError
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.timer_wheel import monotonic_ms

CHECK_INTERVAL_MS = 5.0  # between checks for open requests, and between attempts to reacquire
# Maximum time for which the release waits for open requests; after it the extensions are released anyway.
# The new process must be ready within 6 s. A request that takes longer continues in this process, and its
# claim then counts as one that may have run.
RELEASE_DRAIN_TIMEOUT_MS = 3_500.0
REACQUIRE_TIMEOUT_MS = 10_000.0  # for all attempts to reacquire; after that this process ends


class ExtensionState(Enum):
    """Which process holds the extensions."""

    HELD = auto()
    DRAINING = auto()  # still held, until the open requests have ended
    RELEASED = auto()  # the other process may hold them
    REACQUIRING = auto()


class ExclusiveExtensions:
    """Owns the state of this process's exclusive extensions, such as zones with the voter's directory.

    Of the old and the new process of one front end on one machine, only one holds them at a time.
    """

    def __init__(self, front: FrontEnd) -> None:
        """Starts in the state HELD."""
        self.front = front
        self.state = ExtensionState.HELD
        self._since_ms = 0.0

    @property
    def exist(self) -> bool:
        """Whether this front end has any."""
        return self.front.extension is not None

    @property
    def are_held(self) -> bool:
        """Whether this process acts for the fleet member."""
        return self.state is ExtensionState.HELD

    def release(self, on_released: Callable[[], None]) -> None:
        """Holds new calls, waits for open ones, and releases the extensions.

        Only for a front end that has extensions. `on_released` is called once, after RELEASE_DRAIN_TIMEOUT_MS
        at the latest, also after an error in the extensions; never if `reacquire` is called before that.
        """
        self.state = ExtensionState.DRAINING
        self._since_ms = monotonic_ms()
        self.front.client_port.hold_calls(self._may_run)
        self._drain(on_released)

    def _may_run(self, budget_ms: float) -> bool:
        """Whether a call that ends within `budget_ms` has ended before the extensions are released."""
        remaining_ms = self._since_ms + RELEASE_DRAIN_TIMEOUT_MS - monotonic_ms()
        return self.state is ExtensionState.DRAINING and budget_ms < remaining_ms

    def _drain(self, on_released: Callable[[], None]) -> None:
        front = self.front
        extension = front.extension
        if self.state is not ExtensionState.DRAINING or extension is None:
            return
        busy = front.requests.open or front.client_port.has_unwritten() or extension.busy
        if busy and monotonic_ms() - self._since_ms < RELEASE_DRAIN_TIMEOUT_MS:
            front.loop.timers.after(CHECK_INTERVAL_MS, lambda: self._drain(on_released))
            return
        # Continues after an error: no process runs new calls until the extensions are released.
        front.loop.run_guarded(extension.suspend)
        self.state = ExtensionState.RELEASED
        elapsed_ms = monotonic_ms() - self._since_ms
        front.log(f"hot restart: released the exclusive extensions, {elapsed_ms:.0f} ms after the request")
        on_released()

    def reacquire(self, on_reacquired: Callable[[], None]) -> None:
        """Reacquires the extensions after the other process has ended.

        `on_reacquired` is called when they are held again, at once if they were not released yet. If they
        can't be reacquired within REACQUIRE_TIMEOUT_MS, it is not called and this process ends.
        """
        if self.state is ExtensionState.DRAINING:
            self.state = ExtensionState.HELD
            on_reacquired()
        elif self.state is ExtensionState.RELEASED:
            self.state = ExtensionState.REACQUIRING
            self._since_ms = monotonic_ms()
            self._try_reacquire(on_reacquired)

    def _try_reacquire(self, on_reacquired: Callable[[], None]) -> None:
        """Tries to reacquire until it succeeds, at intervals of CHECK_INTERVAL_MS.

        The disks and addresses of an ended process become free one by one. If they stay in use, another
        process is serving, and this one must not.
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
        """Tries once to reacquire; returns why that failed, None on success."""
        front = self.front
        if front.client_port.has_running_calls:
            return "requests from before the release are still open"
        try:
            if front.extension is not None:
                front.extension.resume(front)
        except ConfigError as error:
            return str(error)
        except Exception as error:  # must lead to another attempt: until then no call is run
            front.loop.log_exception("reacquiring the exclusive extensions")
            return str(error)
        return None
