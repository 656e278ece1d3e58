"""The event loop: each iteration collects events, passes them on as one batch, and flushes the output."""

import itertools
import selectors
import signal
import socket
import traceback
from collections.abc import Callable
from enum import IntEnum
from typing import Protocol

from fawnwharf import interface as io
from fawnwharf.net.timer_wheel import Clock, TimerWheel, monotonic_ms, unix_ms

SLOW_ITERATION_MS = 80.0  # a longer iteration is logged: it can delay answers past their deadline

# An iteration stops collecting at this many events. The remaining ready sockets are served first in the next
# iteration. Keeps timers and final answers on time when many clients send at once.
MAX_EVENTS = 64
# Sockets that can end a request (by an answer, a withdrawal or a close) are read before those that can only
# bring new requests. Each of the two groups gets at least this share of an iteration's events.
ACTIVE_SHARE, IDLE_SHARE = 0.5, 0.25

# If an iteration has taken this long, the sockets with priority FIRST are read again before anything is
# written: nothing new may be sent to a scorer later than 250 ms after its drain was announced.
REREAD_AFTER_MS = 50.0

# Bytes without a trusted timestamp are assumed to be as old as possible if that is more than this: the
# forwarded time budget may exceed the client's remaining time by 150 ms at most.
STALL_THRESHOLD_MS = 50.0
MIN_WAIT_MS = 1.0  # a shorter wait means that a socket was ready before the selector was called

MAX_AGE_MS = 60_000.0  # an older receive timestamp is ignored
# A few timestamps are old although the clocks agree: reads may be paused, and one iteration may not read all.
TIMESTAMP_TOLERANCE_MS, MAX_MISMATCHES = 1_000.0, 3

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
ReadySocket = tuple[selectors.SelectorKey, int]


class ReadPriority(IntEnum):
    """The order in which sockets that are ready in the same iteration are served."""

    FIRST = 0  # admin interface, change log and hot restart: few sockets, never deferred
    ACTIVE = 1  # may have an open request
    IDLE = 2  # has no open request: can only bring new requests or connections


class Flushable(Protocol):
    """A component with output to write at the end of an iteration."""

    def flush(self) -> None:
        """Write what is queued."""


class ReceiveTimestampCheck:
    """Checks whether the kernel's receive timestamps agree with the clock that the program reads.

    If a connection was read in the previous iteration, its new bytes must have arrived since then. With
    timestamps of a different clock, each call would seem to have waited for the difference.
    """

    def __init__(self) -> None:
        self._matches = 0
        self._mismatches = 0

    @property
    def trusted(self) -> bool:
        """Whether all but a few timestamps have agreed so far."""
        return self._mismatches <= MAX_MISMATCHES + self._matches // 8

    def age_ms(self, age_ms: float, gap_ms: float, previously_read: bool) -> float:
        """Return the age to use for bytes just read, in milliseconds; 0 if it is not trusted.

        `age_ms` is the age by the timestamp. `gap_ms` is the time since the previous iteration.
        `previously_read` says whether the connection was read before, so that the age can be checked against
        the gap.
        """
        if previously_read:
            matches = -TIMESTAMP_TOLERANCE_MS <= age_ms <= gap_ms + TIMESTAMP_TOLERANCE_MS
            self._matches += matches
            self._mismatches += not matches
        return age_ms if self.trusted and 0 < age_ms < MAX_AGE_MS else 0.0


class HasFileno(Protocol):
    """An object that the selector can watch: a socket or one end of a pipe."""

    def fileno(self) -> int:
        """The file descriptor; -1 once it is closed."""


class EventLoop:
    """Owns the selector, the timers and the events collected for the next batch.

    Passes each batch to `decide`, with the time in Unix milliseconds.
    """

    def __init__(self, decide: Callable[[float, list[io.Event]], None], log: Callable[[str], None]) -> None:
        self.timers = TimerWheel()
        self.clock = Clock()
        self.running = True
        # Start times of this iteration (on both clocks) and of the previous one.
        self.iteration_ms = monotonic_ms()
        self.iteration_unix_ms = unix_ms()
        self.previous_iteration_ms = self.iteration_ms
        self.stall_ms = 0.0  # how long bytes may have waited unread because the process was not running
        self.timestamps = ReceiveTimestampCheck()
        self._decide = decide
        self._log = log
        self._selector = selectors.DefaultSelector()
        self.timers.on_error = self.log_exception
        self._batch: dict[int, io.Event] = {}  # by event number, in order
        self._event_ids = itertools.count()
        self._deferred: set[int] = set()  # descriptors that were ready but not served in the last iteration
        # By descriptor; all others have ReadPriority.ACTIVE.
        self._priorities: dict[int, Callable[[], ReadPriority]] = {}
        self._last_empty_ms: dict[int, float] = {}  # by deferred descriptor
        self._dirty: dict[Flushable, None] = {}
        self._wakeup_sockets: tuple[socket.socket, socket.socket] | None = None

    # --- called by the components -------------------------------------------------------------

    def watch(
        self,
        sock: HasFileno,
        mask: int,
        ready: Callable[[int], None],
        first: bool = False,
        order: Callable[[], ReadPriority] | None = None,
    ) -> None:
        """Call `ready` with the selector's event mask whenever the socket has any of the events in `mask`.

        `first` gives the socket the priority FIRST. `order` returns the priority of a socket whose priority
        changes; it is called in each iteration in which the socket is ready.
        """
        self._selector.register(sock, mask, ready)
        if first:
            self._priorities[sock.fileno()] = lambda: ReadPriority.FIRST
        elif order is not None:
            self._priorities[sock.fileno()] = order

    def modify(self, sock: HasFileno, mask: int, ready: Callable[[int], None]) -> None:
        """Change the events for which a socket is watched.

        Raises OSError if that fails; the socket is then no longer watched.
        """
        self._selector.modify(sock, mask, ready)

    def watches(self, sock: HasFileno) -> bool:
        """Whether a socket is watched."""
        return sock.fileno() in self._selector.get_map()

    def unwatch(self, sock: HasFileno) -> None:
        """Stop watching a socket, if it is watched."""
        if self.watches(sock):
            self._selector.unregister(sock)
        self._priorities.pop(sock.fileno(), None)

    def enqueue(self, event: io.Event) -> int:
        """Add an event to the next batch and return its number.

        The number can be passed to `discard` until the batch is decided on. An event that is added while the
        actions of a batch are executed belongs to the following batch.
        """
        number = next(self._event_ids)
        self._batch[number] = event
        return number

    def discard(self, number: int) -> None:
        """Remove an event from the next batch."""
        del self._batch[number]

    @property
    def batch_full(self) -> bool:
        """Whether the next batch has as many events as one iteration may collect."""
        return len(self._batch) >= MAX_EVENTS

    def was_deferred(self, sock: HasFileno) -> bool:
        """Whether a socket was ready in this iteration but was deferred to the next one."""
        return sock.fileno() in self._deferred

    def schedule_flush(self, component: Flushable) -> None:
        """Flush a component at the end of this iteration, or of the next one if none is running."""
        self._dirty[component] = None

    # --- iterations -------------------------------------------------------------------------

    def run_iteration(self, max_wait_s: float | None = None) -> None:
        """Wait for ready sockets or due timers, then collect, decide, execute and flush once."""
        wait_s = self._wait_s(max_wait_s)
        wait_began_ms = monotonic_ms()
        ready = self._selector.select(wait_s)
        self.previous_iteration_ms = self.iteration_ms
        self.iteration_ms = monotonic_ms()
        self.iteration_unix_ms = unix_ms()
        self.stall_ms = self._stall_ms(wait_began_ms, wait_s)
        now_ms = self.clock.now_ms()
        self._collect(ready)
        # Timers use the start time of the iteration, however long the iteration takes.
        self.timers.advance(self.iteration_ms)
        self._decide_batch(now_ms)
        if monotonic_ms() - self.iteration_ms > REREAD_AFTER_MS:
            self._reread_first()
        self._flush()
        self._last_empty_ms = {
            fd: self._last_empty_ms.get(fd, self.previous_iteration_ms) for fd in self._deferred
        }
        if (took_ms := monotonic_ms() - self.iteration_ms) > SLOW_ITERATION_MS:
            self._log(f"slow event loop iteration: {took_ms:.0f} ms for {len(ready)} sockets")

    def _stall_ms(self, wait_began_ms: float, wait_s: float | None) -> float:
        """Return the longest time that bytes read now may have waited because the process was not running.

        Bytes that were ready before the wait may have arrived at any time since the previous iteration read.
        Bytes that arrived during the wait ended it at once, unless the process was stalled.
        """
        waited_ms = self.iteration_ms - wait_began_ms
        if waited_ms < MIN_WAIT_MS:
            stalled = wait_began_ms - self.previous_iteration_ms > STALL_THRESHOLD_MS
            return self.iteration_ms - self.previous_iteration_ms if stalled else 0.0
        late_ms = 0.0 if wait_s is None else waited_ms - wait_s * 1000.0
        return waited_ms if late_ms > STALL_THRESHOLD_MS else 0.0

    def empty_ms(self, fd: int) -> float:
        """Return when a watched descriptor was last known to have nothing unread, on the monotonic clock."""
        return self._last_empty_ms.get(fd, self.previous_iteration_ms)

    def ready_since_ms(self, fd: int) -> float:
        """Return the earliest time at which a descriptor that is ready now may have become ready."""
        return self._last_empty_ms.get(fd, self.iteration_ms - self.stall_ms)

    def _collect(self, ready: list[ReadySocket]) -> None:
        groups: dict[ReadPriority, list[ReadySocket]] = {priority: [] for priority in ReadPriority}
        for item in sorted(ready, key=lambda item: item[0].fd not in self._deferred):
            groups[self._priority(item[0].fd)].append(item)
        self._deferred = set()
        self._serve_ready(groups[ReadPriority.FIRST], None)
        self._serve_ready(groups[ReadPriority.ACTIVE], self._event_limit(ACTIVE_SHARE))
        self._serve_ready(groups[ReadPriority.IDLE], self._event_limit(IDLE_SHARE))

    def _priority(self, fd: int) -> ReadPriority:
        priority = self._priorities.get(fd)
        return ReadPriority.ACTIVE if priority is None else priority()

    def _event_limit(self, share: float) -> int:
        """Return the batch size at which a group with this guaranteed share of the events is cut off."""
        return max(MAX_EVENTS, len(self._batch) + max(1, int(share * MAX_EVENTS)))

    def _serve_ready(self, ready: list[ReadySocket], max_events: int | None) -> None:
        for position, (key, mask) in enumerate(ready):
            if max_events is not None and len(self._batch) >= max_events:
                self._deferred |= {key.fd for key, _ in ready[position:]}
                return
            # A socket that was closed earlier in this iteration is no longer registered under its key.
            if self._selector.get_map().get(key.fd) is key:
                self.run_guarded(key.data, mask)

    def _decide_batch(self, now_ms: float) -> None:
        if self._batch:
            events, self._batch = self._batch, {}
            self._decide(now_ms, list(events.values()))

    def _reread_first(self) -> None:
        """Read the sockets with priority FIRST once more before anything is written.

        A drain that was announced during a long iteration then applies to what is about to be sent.
        """
        for key, mask in self._selector.select(0):
            if self._priority(key.fd) is ReadPriority.FIRST and self._selector.get_map().get(key.fd) is key:
                self.run_guarded(key.data, mask)

    def _flush(self) -> None:
        dirty, self._dirty = self._dirty, {}
        for component in dirty:
            self.run_guarded(component.flush)

    def run_guarded(self, call: Callable[..., object], *arguments: object) -> None:
        """Call a function and log any exception, so that an error in one component affects no other."""
        try:
            call(*arguments)
        except Exception:
            self.log_exception(getattr(call, "__qualname__", "a component"))

    def log_exception(self, where: str) -> None:
        """Log the exception that is being handled, on one line."""
        self._log(f"fault in {where}: " + traceback.format_exc(limit=-3).replace("\n", " | "))

    def _wait_s(self, max_wait_s: float | None) -> float | None:
        """Return how long the selector may wait; None means until a socket is ready."""
        if self._batch or self._dirty:
            return 0.0
        until_timer_s = self.timers.seconds_until_due()
        if until_timer_s is None:
            return max_wait_s
        return until_timer_s if max_wait_s is None else min(until_timer_s, max_wait_s)

    def run(self) -> None:
        """Run iterations until `running` is false."""
        while self.running:
            self.run_iteration()

    def handle_signals(self, handlers: dict[int, Callable[[], None]]) -> None:
        """Handle these signals inside the loop; a socket pair wakes the selector."""
        near, far = socket.socketpair()
        near.setblocking(False)
        far.setblocking(False)
        self._wakeup_sockets = near, far
        signal.set_wakeup_fd(far.fileno(), warn_on_full_buffer=False)
        for number in handlers:
            signal.signal(number, lambda *_: None)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, handlers)  # signals that arrived during startup come now

        def ready(_mask: int) -> None:
            for number in near.recv(64):
                if handler := handlers.get(number):
                    handler()

        self.watch(near, READ, ready)

    def close(self) -> None:
        """Close the selector and the wake-up sockets; the components close their own sockets."""
        if self._wakeup_sockets:
            signal.set_wakeup_fd(-1)
            for wakeup_socket in self._wakeup_sockets:
                wakeup_socket.close()
        self._selector.close()
