"""The event loop: each iteration collects events, decides on them in one batch, executes and flushes."""

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

SLOW_ITERATION_MS = 80.0  # a longer iteration endangers answers that are due

# With this many events the collection of an iteration ends: other ready sockets wait for the next iteration
# and are served first there. Protects timers and final answers when many clients send at the same time.
MAX_EVENTS = 64
# What can end a request (an answer, a withdrawal, a close) is read before what can only bring new requests.
# Each of the two groups has at least its share of the events of an iteration.
ACTIVE_SHARE, IDLE_SHARE = 0.5, 0.25

# After an iteration has taken this long, the sockets of the first priority are read again before anything is
# written: nothing new may be sent to a scorer later than 250 ms after its drain was announced.
REREAD_AFTER_MS = 50.0

# Bytes without a trusted timestamp count as old as they can be, where that is more than this: the time budget
# that is forwarded may exceed what the client has left by 150 ms at most.
STALL_THRESHOLD_MS = 50.0
MIN_WAIT_MS = 1.0  # after a shorter wait, something was ready before the selector was called

MAX_AGE_MS = 60_000.0
# Paused reads, and more bytes than one iteration reads, make some timestamps old although the clocks agree.
TIMESTAMP_TOLERANCE_MS, MAX_MISMATCHES = 1_000.0, 3

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
ReadySocket = tuple[selectors.SelectorKey, int]


class ReadPriority(IntEnum):
    """The order in which sockets that are ready in the same iteration are served."""

    FIRST = 0  # operators, change log, hot restart: few sockets that never wait
    ACTIVE = 1  # a request may be open on it
    IDLE = 2  # nothing is open on it: it can only bring new requests or connections


class Flushable(Protocol):
    """A component with output to write at the end of an iteration."""

    def flush(self) -> None:
        """Write what is queued."""


class ReceiveTimestampCheck:
    """Checks whether the kernel's receive timestamps agree with the clock that the program reads.

    Bytes of a connection that was read in the previous iteration arrived since then. Protects deadlines where
    the timestamps come from a different clock: each call would seem to have waited for the difference.
    """

    def __init__(self) -> None:
        self._matches = 0
        self._mismatches = 0

    @property
    def trusted(self) -> bool:
        """Whether all but a few timestamps have agreed so far."""
        return self._mismatches <= MAX_MISMATCHES + self._matches // 8

    def age_ms(self, age_ms: float, gap_ms: float, previously_read: bool) -> float:
        """The age to use for bytes just read, in milliseconds; 0 where it is not trusted.

        `age_ms`: by the timestamp; `gap_ms`: time since the previous iteration; `previously_read`: whether
        the connection was read before, so that the age can be checked against the gap.
        """
        if previously_read:
            matches = -TIMESTAMP_TOLERANCE_MS <= age_ms <= gap_ms + TIMESTAMP_TOLERANCE_MS
            self._matches += matches
            self._mismatches += not matches
        return age_ms if self.trusted and 0 < age_ms < MAX_AGE_MS else 0.0


class HasFileno(Protocol):
    """What the selector can watch: a socket or one end of a pipe."""

    def fileno(self) -> int:
        """The file descriptor; -1 once it is closed."""


class EventLoop:
    """Owns the selector, the timers and the events collected for the next batch."""

    def __init__(self, decide: Callable[[float, list[io.Event]], None], log: Callable[[str], None]) -> None:
        self.timers = TimerWheel()
        self.clock = Clock()
        self.running = True
        # When this iteration began, on both clocks, and when the previous one did.
        self.iteration_ms = monotonic_ms()
        self.iteration_unix_ms = unix_ms()
        self.previous_iteration_ms = self.iteration_ms
        self.stall_ms = 0.0  # how long bytes may have waited because the process was not running
        self.timestamps = ReceiveTimestampCheck()
        self._decide = decide
        self._log = log
        self._selector = selectors.DefaultSelector()
        self.timers.on_fault = self.log_exception
        self._batch: dict[int, io.Event] = {}  # by event number, in order
        self._event_ids = itertools.count()
        self._deferred: set[int] = set()  # descriptors that were ready but not served in the last iteration
        self._priorities: dict[
            int, Callable[[], ReadPriority]
        ] = {}  # by descriptor; Order.OPEN for all others
        self._last_empty_ms: dict[int, float] = {}  # by deferred descriptor
        self._dirty: dict[Flushable, None] = {}
        self._wakeup_sockets: tuple[socket.socket, socket.socket] | None = None

    # --- interface of the components ----------------------------------------------------------

    def watch(
        self,
        sock: HasFileno,
        mask: int,
        ready: Callable[[int], None],
        first: bool = False,
        order: Callable[[], ReadPriority] | None = None,
    ) -> None:
        """Call `ready` with the events of a socket whenever it has any of `mask`.

        `first`: serve it before all others in each iteration. `order`: returns the priority where that
        changes; it is called in each iteration in which the socket is ready.
        """
        self._selector.register(sock, mask, ready)
        if first:
            self._priorities[sock.fileno()] = lambda: ReadPriority.FIRST
        elif order is not None:
            self._priorities[sock.fileno()] = order

    def modify(self, sock: HasFileno, mask: int, ready: Callable[[int], None]) -> None:
        """Watch a socket for other events. Raises OSError; the socket is then no longer watched."""
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

        Until the batch is decided, the number can be passed to `discard`. Events that arise while a batch is
        executed wait for the following batch.
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
        """Whether a socket was ready in this iteration but left for the next one."""
        return sock.fileno() in self._deferred

    def schedule_flush(self, component: Flushable) -> None:
        """Have a component flushed at the end of this iteration, or of the next one if none is under way."""
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
        # Everything in an iteration happens at the time at which it began, however long it takes.
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
        """The longest time that bytes read now may have waited because the process was not running.

        What was ready when the wait began may have arrived since the previous iteration read; what arrived
        during the wait ended it at once, unless the process was stalled meanwhile.
        """
        waited_ms = self.iteration_ms - wait_began_ms
        if waited_ms < MIN_WAIT_MS:
            stalled = wait_began_ms - self.previous_iteration_ms > STALL_THRESHOLD_MS
            return self.iteration_ms - self.previous_iteration_ms if stalled else 0.0
        late_ms = 0.0 if wait_s is None else waited_ms - wait_s * 1000.0
        return waited_ms if late_ms > STALL_THRESHOLD_MS else 0.0

    def empty_ms(self, fd: int) -> float:
        """When a watched descriptor was last known to have nothing unread, on the monotonic clock."""
        return self._last_empty_ms.get(fd, self.previous_iteration_ms)

    def ready_since_ms(self, fd: int) -> float:
        """The earliest time since when a descriptor that is ready in this iteration may have been ready."""
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
        """The batch size that ends a group which has at least this share of the events to itself."""
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
        """Read the sockets of the first priority once more before anything is written.

        Protects drains: one that was announced during a long iteration applies to what is about to be sent.
        """
        for key, mask in self._selector.select(0):
            if self._priority(key.fd) is ReadPriority.FIRST and self._selector.get_map().get(key.fd) is key:
                self.run_guarded(key.data, mask)

    def _flush(self) -> None:
        dirty, self._dirty = self._dirty, {}
        for component in dirty:
            self.run_guarded(component.flush)

    def run_guarded(self, call: Callable[..., object], *arguments: object) -> None:
        """Call it and log any exception, so that an error in one component does not end the others."""
        try:
            call(*arguments)
        except Exception:
            self.log_exception(getattr(call, "__qualname__", "a component"))

    def log_exception(self, where: str) -> None:
        """Log the exception that is being handled, on one line."""
        self._log(f"fault in {where}: " + traceback.format_exc(limit=-3).replace("\n", " | "))

    def _wait_s(self, max_wait_s: float | None) -> float | None:
        """How long the selector may wait; None: until a socket is ready."""
        if self._batch or self._dirty:
            return 0.0
        until_timer_s = self.timers.idle_s()
        if until_timer_s is None:
            return max_wait_s
        return until_timer_s if max_wait_s is None else min(until_timer_s, max_wait_s)

    def run(self) -> None:
        """Run iterations until `running` is false."""
        while self.running:
            self.run_iteration()

    def handle_signals(self, handlers: dict[int, Callable[[], None]]) -> None:
        """Handle these signals inside the loop: a socket pair wakes the selector."""
        near, far = socket.socketpair()
        near.setblocking(False)
        far.setblocking(False)
        self._wakeup_sockets = near, far
        signal.set_wakeup_fd(far.fileno(), warn_on_full_buffer=False)
        for number in handlers:
            signal.signal(number, lambda *_: None)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, handlers)  # one that arrived during the start is taken now

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
