"""The one loop: gather all that is ready, hand it to the module in one go, carry out, flush."""

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

SLOW_ITERATION_MS = 80.0  # a process that was held up for longer endangers answers that are due

# So many events end the gathering of a turn: what else is ready waits in the system's buffers for the next
# one, and comes first there. Guards timers and final answers against a crowd that all asks at once.
MAX_EVENTS = 64
# What can end a request (an answer, a withdrawal, a close) is read before what can only bring new ones. Each
# of the two has at least its part of the events of a turn, however much the other brings.
ACTIVE_SHARE, IDLE_SHARE = 0.5, 0.25

# After so long a turn, what is looked at first is read again before the turn writes: nothing new may be sent
# to a scorer later than 250 ms after its drain was told.
REREAD_AFTER_MS = 50.0

# Bytes without a believed stamp count as old as they may be, where that is more than this: what is passed on
# may exceed what the client has left by 150 ms at the most.
STALL_THRESHOLD_MS = 50.0
MIN_WAIT_MS = 1.0  # a shorter wait for the selector was none: something was ready before

MAX_AGE_MS = 60_000.0
# Reads that are paused, and more bytes than a turn takes, make some stamps old though they fit.
TIMESTAMP_TOLERANCE_MS, MAX_MISMATCHES = 1_000.0, 3

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE


class ReadPriority(IntEnum):
    """In which order sockets that are ready together are served in a turn."""

    FIRST = 0  # operators, and the process that takes this one's place: few, and never made to wait
    OPEN = 1  # something may be open on it
    NEW = 2  # nothing is open on it: it can only bring what is new


class Flushable(Protocol):
    def flush(self) -> None: ...


class ReceiveTimestampCheck:
    """Whether the system's receive stamps fit the clock that the program reads.

    Bytes of a connection that was looked at in the turn before came in since then. Guards deadlines where the
    stamps are another clock's: each call would seem to have waited for as long as the two differ."""

    def __init__(self) -> None:
        self._fits, self._misfits = 0, 0

    @property
    def trusted(self) -> bool:
        """Whether the stamps have fitted so far, but for a few."""
        return self._misfits <= MAX_MISMATCHES + self._fits // 8

    def age_ms(self, age_ms: float, gap_ms: float, looked_at: bool) -> float:
        """The age to go by, of bytes of a connection that may have been looked at one turn ago."""
        if looked_at:
            fits = -TIMESTAMP_TOLERANCE_MS <= age_ms <= gap_ms + TIMESTAMP_TOLERANCE_MS
            self._fits, self._misfits = self._fits + fits, self._misfits + (not fits)
        return age_ms if self.trusted and 0 < age_ms < MAX_AGE_MS else 0.0


class EventLoop:
    """Owns the selector, the wheel and the events gathered for the next batch."""

    def __init__(self, decide: Callable[[float, list[io.Event]], None], log: Callable[[str], None]) -> None:
        self.timers, self.clock = TimerWheel(), Clock()
        self.running = True
        self.iteration_ms, self.iteration_unix_ms = (
            monotonic_ms(),
            unix_ms(),
        )  # when the turn began, on both clocks
        self.previous_iteration_ms = self.iteration_ms  # when the turn before began
        self.stall_ms = 0.0  # how long bytes may have waited for this turn, where the process was held up
        self.timestamps = ReceiveTimestampCheck()
        self._decide, self._log = decide, log
        self._selector = selectors.DefaultSelector()
        self.timers.on_fault = self.log_exception
        self._batch: dict[int, io.Event] = {}  # by ticket, in order
        self._event_ids = itertools.count()
        self._deferred: set[int] = set()  # descriptors that the last turn left ready
        self._priorities: dict[
            int, Callable[[], ReadPriority]
        ] = {}  # by descriptor; Order.OPEN for all others
        self._last_empty_ms: dict[
            int, float
        ] = {}  # of these, when each was last known to have nothing unread
        self._dirty: dict[Flushable, None] = {}
        self._wakeup_sockets: tuple[socket.socket, socket.socket] | None = None

    # --- what the parts use -----------------------------------------------------------------

    def watch(
        self,
        sock: socket.socket,
        mask: int,
        ready: Callable[[int], None],
        first: bool = False,
        order: Callable[[], ReadPriority] | None = None,
    ) -> None:
        """`first`: before all others in each turn, however many of these are ready. `order` tells the order
        where it changes; it is asked in each turn in which the socket is ready."""
        self._selector.register(sock, mask, ready)
        if first:
            self._priorities[sock.fileno()] = lambda: ReadPriority.FIRST
        elif order is not None:
            self._priorities[sock.fileno()] = order

    def modify(self, sock: socket.socket, mask: int, ready: Callable[[int], None]) -> None:
        """Watch a socket for something else. Raises OSError, and then it is watched no more."""
        self._selector.modify(sock, mask, ready)

    def watches(self, sock: socket.socket) -> bool:
        """Whether a socket is watched."""
        return sock.fileno() in self._selector.get_map()

    def unwatch(self, sock: socket.socket) -> None:
        """Watch a socket no more, if it is watched."""
        if self.watches(sock):
            self._selector.unregister(sock)
        self._priorities.pop(sock.fileno(), None)

    def enqueue(self, event: io.Event) -> int:
        """An event for the next batch. One that carrying out a batch brings waits for the one after.

        The ticket that comes back takes it out again, until the batch is handed over."""
        ticket = next(self._event_ids)
        self._batch[ticket] = event
        return ticket

    def discard(self, ticket: int) -> None:
        """The module is never to hear of this event, which is still to be handed over."""
        del self._batch[ticket]

    @property
    def batch_full(self) -> bool:
        """Whether the next batch has as many events as the gathering of a turn may bring."""
        return len(self._batch) >= MAX_EVENTS

    def was_deferred(self, sock: socket.socket) -> bool:
        """Whether this turn's gathering ended before a socket that was ready."""
        return sock.fileno() in self._deferred

    def schedule_flush(self, part: Flushable) -> None:
        self._dirty[part] = None

    # --- the turns --------------------------------------------------------------------------

    def run_iteration(self, most_s: float | None = None) -> None:
        sleep_s, began_ms = self._wait_s(most_s), monotonic_ms()
        ready = self._selector.select(sleep_s)
        self.previous_iteration_ms, self.iteration_ms, self.iteration_unix_ms = (
            self.iteration_ms,
            monotonic_ms(),
            unix_ms(),
        )
        self.stall_ms = self._stall_ms(began_ms, sleep_s)
        now_ms = self.clock.now_ms()
        self._process(ready, now_ms)
        self._last_empty_ms = {
            fd: self._last_empty_ms.get(fd, self.previous_iteration_ms) for fd in self._deferred
        }
        if (took := monotonic_ms() - self.iteration_ms) > SLOW_ITERATION_MS:
            self._log(f"a slow turn: {took:.0f} ms for {len(ready)} sockets")

    def _stall_ms(self, began_ms: float, sleep_s: float | None) -> float:
        """The longest that bytes may have waited which are read in this turn, where the process was held up.

        What was ready as the wait began may have come since the turn before looked; what came during the wait
        ended it at once, unless the process was held up meanwhile."""
        waited_ms = self.iteration_ms - began_ms
        if waited_ms < MIN_WAIT_MS:
            return (
                self.iteration_ms - self.previous_iteration_ms
                if began_ms - self.previous_iteration_ms > STALL_THRESHOLD_MS
                else 0.0
            )
        late_ms = 0.0 if sleep_s is None else waited_ms - sleep_s * 1000.0
        return waited_ms if late_ms > STALL_THRESHOLD_MS else 0.0

    def empty_ms(self, fd: int) -> float:
        """When a descriptor that is watched was last known to have nothing unread."""
        return self._last_empty_ms.get(fd, self.previous_iteration_ms)

    def ready_since_ms(self, fd: int) -> float:
        """The earliest moment from which on a descriptor that is ready in this turn may have been ready."""
        return self._last_empty_ms.get(fd, self.iteration_ms - self.stall_ms)

    def _process(self, ready: list[tuple[selectors.SelectorKey, int]], now_ms: float) -> None:
        # All of a turn happens at the moment at which it began, however long the process is held up in it.
        self._gather(ready)
        self.timers.advance(self.iteration_ms)
        if self._batch:
            events, self._batch = self._batch, {}
            self._decide(now_ms, list(events.values()))
        if monotonic_ms() - self.iteration_ms > REREAD_AFTER_MS:
            self._reread_first()
        dirty, self._dirty = self._dirty, {}
        for part in dirty:
            self.run_guarded(part.flush)

    def _gather(self, ready: list[tuple[selectors.SelectorKey, int]]) -> None:
        groups: dict[ReadPriority, list[tuple[selectors.SelectorKey, int]]] = {
            order: [] for order in ReadPriority
        }
        for item in sorted(ready, key=lambda item: item[0].fd not in self._deferred):
            groups[self._priority(item[0].fd)].append(item)
        self._deferred = set()
        self._serve_ready(groups[ReadPriority.FIRST], None)
        self._serve_ready(groups[ReadPriority.OPEN], self._events_until(ACTIVE_SHARE))
        self._serve_ready(groups[ReadPriority.NEW], self._events_until(IDLE_SHARE))

    def _priority(self, descriptor: int) -> ReadPriority:
        order = self._priorities.get(descriptor)
        return ReadPriority.OPEN if order is None else order()

    def _events_until(self, part: float) -> int:
        """How many events end the gathering of a group that has this part of them for itself."""
        return max(MAX_EVENTS, len(self._batch) + max(1, int(part * MAX_EVENTS)))

    def _serve_ready(self, ready: list[tuple[selectors.SelectorKey, int]], most: int | None) -> None:
        for place, (key, mask) in enumerate(ready):
            if most is not None and len(self._batch) >= most:
                self._deferred |= {key.fd for key, _ in ready[place:]}
                return
            # One that an earlier part of this turn closed is no longer registered under its key.
            if self._selector.get_map().get(key.fd) is key:
                self.run_guarded(key.data, mask)

    def _reread_first(self) -> None:
        """Read what is looked at first once more before anything is written. Guards drains: one that was told
        while the process was held up in this turn binds what the turn is about to send."""
        for key, mask in self._selector.select(0):
            if self._priority(key.fd) is ReadPriority.FIRST and self._selector.get_map().get(key.fd) is key:
                self.run_guarded(key.data, mask)

    def run_guarded(self, call: Callable[..., None], *arguments: object) -> None:
        """Guards the loop: a fault in one part must not take down what is open in all the others."""
        try:
            call(*arguments)
        except Exception:
            self.log_exception(getattr(call, "__qualname__", "a part"))

    def log_exception(self, where: str) -> None:
        """Report the exception that is being handled."""
        self._log(f"fault in {where}: " + traceback.format_exc(limit=-3).replace("\n", " | "))

    def _wait_s(self, most_s: float | None) -> float | None:
        if self._batch or self._dirty:
            return 0.0
        idle = self.timers.idle_s()
        if idle is None or most_s is None:
            return most_s if idle is None else idle
        return min(idle, most_s)

    def run(self) -> None:
        while self.running:
            self.run_iteration()

    def handle_signals(self, handlers: dict[int, Callable[[], None]]) -> None:
        """Signals wake the selector by a socket pair and are then handled in the loop like all else."""
        near, far = socket.socketpair()
        near.setblocking(False)
        far.setblocking(False)
        self._wakeup_sockets = near, far
        signal.set_wakeup_fd(far.fileno(), warn_on_full_buffer=False)
        for number in handlers:
            signal.signal(number, lambda *_: None)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, handlers)  # one that came during the start is taken now

        def ready(_mask: int) -> None:
            for number in near.recv(64):
                if handler := handlers.get(number):
                    handler()

        self.watch(near, READ, ready)

    def close(self) -> None:
        if self._wakeup_sockets:
            signal.set_wakeup_fd(-1)
            for end in self._wakeup_sockets:
                end.close()
        self._selector.close()
