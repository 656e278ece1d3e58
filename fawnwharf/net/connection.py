"""One TCP connection: dialling, bounded reads, partial writes, and closing."""

import contextlib
import errno
import socket
from collections import deque
from collections.abc import Callable
from typing import Self, cast

from fawnwharf.config import Address
from fawnwharf.net.connection_owner import NO_OWNER, ConnectionOwner, HalfCloseOwner
from fawnwharf.net.connection_writer import ConnectionWriter
from fawnwharf.net.end_reasons import EndReason, SystemCall, end_reason_of
from fawnwharf.net.event_loop import READ, WRITE, EventLoop, ReadPriority
from fawnwharf.net.receive_age import MAX_ANCILLARY_BYTES, ReceiveAge
from fawnwharf.net.socket_inspection import discard, peek, peer_ended, unacknowledged_bytes, unread_bytes
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.net.write_buffer import PartialWriteLimit, WriteBuffer

# Read from one connection in each event loop iteration, so that none starves the others. The rest stays in
# the kernel's buffer, which slows the sender down, and is read in the next iterations.
MAX_READ_BYTES = 64 * 1024
LINGER_MS = 1_000.0  # after the output was ended: time for the peer to read it and to close its side
MAX_FINISH_MS = 10_000.0  # for writing the queued output to a peer that keeps receiving
READ_AGAIN_MS = 50.0  # pause after a read that failed for lack of memory
# After bytes were unread, or an iteration takes, longer than this, the peer may have ended its output.
PEER_CHECK_AFTER_MS = 40.0


def first_priority() -> ReadPriority:
    """The read priority of a connection that is always served first in an iteration."""
    return ReadPriority.FIRST


class Connection(ConnectionWriter, ReceiveAge):
    """One TCP connection in the event loop, from its dial or accept to its end."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        owner: ConnectionOwner,
        up: bool = True,
        max_read_bytes: int = MAX_READ_BYTES,
        order: Callable[[], ReadPriority] | None = None,
    ) -> None:
        """Watch a socket; `up`: whether it is connected already; `order`: see `accepted`."""
        self.loop = loop
        self.owner = owner
        self.up = up
        self.closed = False
        # used_ms: when bytes were last received or sent
        self.last_received_ms = self.used_ms = monotonic_ms()
        self.unwritten_bytes = 0  # queued and not written yet
        self.before_write: Callable[[], None] | None = None
        self.input_full = False  # the last read returned the maximum: there may be more
        self.age_ms = 0.0
        self.oldest_age_ms = 0.0
        self._max_read_bytes = max_read_bytes
        self._has_read = False
        self._unread_since_ms: float | None = None
        self._unread_noted_ms = 0.0
        self._sock = sock
        self._reading = True
        self._read_paused = False  # after a read that failed for lack of memory
        self._blocked = False  # the socket accepts no more output at present
        self._outbox: deque[WriteBuffer] = deque()
        self._partial_limit: PartialWriteLimit | None = None
        self._write_pause: Timer | None = None
        self._dial_timer: Timer | None = None
        self._order = order
        self._half_close = False
        self._finishing: EndReason | None = None
        self._linger_ms = LINGER_MS
        self._finish_by_ms = 0.0
        self._input_ended = False  # the peer has ended its output
        self._output_ended = False  # this side has ended its output
        self._mask = READ if up else WRITE
        loop.watch(sock, self._mask, self._ready, order=order)

    @classmethod
    def accepted(
        cls,
        loop: EventLoop,
        sock: socket.socket,
        owner: ConnectionOwner,
        max_read_bytes: int = MAX_READ_BYTES,
        order: Callable[[], ReadPriority] | None = None,
        half_close: bool = False,
    ) -> Self:
        """Create a connection on an accepted socket. If this raises OSError, the socket is not closed.

        `max_read_bytes`: the limit for one read; `order`: returns the read priority in each iteration, which
        is otherwise always ACTIVE; `half_close`: whether the peer may still read after it has ended its
        output. The owner is then a HalfCloseOwner and notified of that, and queued output is still written.
        """
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = cls(loop, sock, owner, max_read_bytes=max_read_bytes, order=order)
        connection._half_close = half_close
        return connection

    @classmethod
    def dial(
        cls, loop: EventLoop, address: Address, owner: ConnectionOwner, within_ms: float, first: bool = False
    ) -> Self | EndReason:
        """Begin to connect; return the connection, or the reason why no attempt can be made.

        `within_ms`: the time limit for the connection; `first`: whether to serve it before all others in each
        iteration.
        """
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_STREAM)
        except OSError as error:
            return end_reason_of(error, SystemCall.SOCKET)
        call = SystemCall.CONNECT
        try:
            sock.setblocking(False)
            with contextlib.suppress(OSError):  # the connection works without this option, but is slower
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = sock.connect_ex(address)
            if code not in (0, errno.EINPROGRESS):
                sock.close()
                return end_reason_of(OSError(code, "connect"), call)
            call = SystemCall.WATCH
            connection = cls(loop, sock, owner, up=False, order=first_priority if first else None)
        except OSError as error:
            sock.close()
            return end_reason_of(error, call)
        except BaseException:
            sock.close()
            raise
        timer = loop.timers.after(within_ms, lambda: connection.close(EndReason.DIAL_TIMED_OUT))
        connection._dial_timer = timer
        return connection

    # --- graceful close -------------------------------------------------------------------------

    def finish(self, end: EndReason, linger_ms: float = LINGER_MS) -> None:
        """Close gracefully: write the queued output, end the output, then discard input for `linger_ms`.

        An immediate close with unread input would send a reset, and the peer could lose the last answers. The
        descriptor stays in use until `linger_ms` have passed or the peer closes.
        """
        if self.closed or self._finishing:
            return
        self._finishing = end
        self._linger_ms = linger_ms
        if self._outbox:
            self._finish_by_ms = monotonic_ms() + MAX_FINISH_MS
            self.loop.timers.after(LINGER_MS, lambda: self._check_unwritten(end))
            self.loop.schedule_flush(self)
        else:
            self._end_output(end)

    def _check_unwritten(self, end: EndReason) -> None:
        """Close the connection if the peer has accepted no output for `LINGER_MS`."""
        if self.closed or not self._outbox:
            return
        remaining_ms = min(self.used_ms + LINGER_MS, self._finish_by_ms) - monotonic_ms()
        if remaining_ms > 0:
            self.loop.timers.after(remaining_ms, lambda: self._check_unwritten(end))
        else:
            self.close(end)

    def _end_output(self, end: EndReason) -> None:
        if self._output_ended:
            return
        self._output_ended = True
        if self._input_ended:
            self.close(end)
            return
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
        self.loop.timers.after(self._linger_ms, lambda: self.close(end))

    @property
    def finishing(self) -> bool:
        """Whether it is being closed gracefully."""
        return self._finishing is not None

    @property
    def queued_buffers(self) -> int:
        """The number of write buffers that are not completely written."""
        return len(self._outbox)

    # --- unread bytes ---------------------------------------------------------------------------

    def unread(self) -> bytes | None:
        """The first unread byte; None if nothing is unread, empty if the peer has ended its output."""
        return peek(self._sock)

    def may_have_ended(self) -> bool:
        """Whether the peer may have ended its output without this iteration's reads having noticed it."""
        if not self.reads or self.input_full or self.loop.was_deferred(self._sock):
            return True
        return max(self.age_ms, monotonic_ms() - self.loop.iteration_ms) > PEER_CHECK_AFTER_MS

    def peer_ended(self) -> bool:
        """Whether the peer has ended its output or reset the connection, even if bytes are still unread.

        False if the system can't report it.
        """
        return self.closed or self._input_ended or peer_ended(self._sock)

    # --- reading --------------------------------------------------------------------------------

    @property
    def reads(self) -> bool:
        """Whether arriving bytes are read at present."""
        return self._reading and not self._read_paused and not self._input_ended

    def read_once(self) -> bool:
        """Read once without waiting for the selector; return whether all received bytes were read."""
        if not (self.closed or self._input_ended or self._read_paused):
            self._read()
        return not (self.input_full or self._read_paused)

    def set_reading(self, enabled: bool) -> None:
        """Pause or resume reading, as backpressure on a peer that does not read its answers."""
        if self._reading != enabled and not self.closed:
            self._reading = enabled
            if not enabled:
                self._unread_since_ms = self._empty_ms()
            self._unread_noted_ms = self.loop.iteration_ms
            self._set_mask()

    def _set_mask(self) -> None:
        mask = (READ * self.reads) | (WRITE * self._blocked)
        if mask == self._mask or self.closed:
            return
        try:
            self._watch_for(mask)
        except OSError:  # the kernel lacks memory; without a retry the socket would stay unwatched
            self.loop.timers.after(READ_AGAIN_MS, self._set_mask)
            return
        self._mask = mask

    def _watch_for(self, mask: int) -> None:
        if not mask:  # a selector accepts no empty mask
            self.loop.unwatch(self._sock)
        elif not self._mask:
            self.loop.watch(self._sock, mask, self._ready, order=self._order)
        else:
            self.loop.modify(self._sock, mask, self._ready)

    def _ready(self, mask: int) -> None:
        if not self.up:
            self._dialled()
            return
        if mask & WRITE:
            self._blocked = False
            self.loop.schedule_flush(self)
        if mask & READ:
            self._read()

    def _dialled(self) -> None:
        try:
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if not code:
                self.loop.modify(self._sock, READ, self._ready)
        except OSError as error:
            self.close(end_reason_of(error, SystemCall.CONNECTED))
            return
        if code:
            self.close(end_reason_of(OSError(code, "connect"), SystemCall.CONNECTED))
            return
        self.up = True
        self._mask = READ
        if self._dial_timer:
            self._dial_timer.cancel()
        self.last_received_ms = self.used_ms = monotonic_ms()
        self.owner.on_up()

    def _read(self) -> None:
        self.input_full = False
        try:
            data, ancillary, _, _ = self._sock.recvmsg(self._max_read_bytes, MAX_ANCILLARY_BYTES)
        except BlockingIOError:
            self._unread_since_ms = None if self.reads else self.loop.iteration_ms
            return
        except InterruptedError:
            return
        except OSError as error:
            self._read_failed(error)
            return
        if not data:
            self._peer_closed()
            return
        self.input_full = len(data) >= self._max_read_bytes
        if self._finishing:
            return
        self.last_received_ms = self.used_ms = monotonic_ms()
        self.age_ms = self._age(ancillary)
        self.oldest_age_ms = max(self.age_ms, self._max_age_ms())  # the timestamp is that of the last byte
        self._has_read = True
        self._unread_since_ms = self._empty_ms() if self.input_full else None
        self._unread_noted_ms = self.loop.iteration_ms
        try:
            self.owner.on_data(data)
        except Exception:  # an error in handling a peer's bytes must end only its connection
            self.loop.log_exception("reading")
            self.close(EndReason.PROTOCOL_ERROR)

    def _read_failed(self, error: OSError) -> None:
        """Pause reading if the system lacks memory, which is transient; otherwise end the connection."""
        end = end_reason_of(error)
        if end is not EndReason.NO_DESCRIPTOR:
            self.close(end)
            return
        self._unread_since_ms = self._empty_ms()
        self._read_paused = True
        self._set_mask()
        self.loop.timers.after(READ_AGAIN_MS, self._resume_reading)

    def _resume_reading(self) -> None:
        self._read_paused = False
        self._unread_noted_ms = self.loop.iteration_ms
        self._set_mask()

    def _peer_closed(self) -> None:
        """Handle the end of the peer's output: it has closed, or may still read the queued output."""
        if self._half_close and not self._finishing:
            cast("HalfCloseOwner", self.owner).on_half_close()
        if not self._outbox or not (self._half_close or self._finishing):
            self.close(EndReason.CLOSED_BY_PEER)
            return
        self._input_ended = True  # an ended input would stay readable, so stop watching it
        self._set_mask()
        self.finish(EndReason.CLOSED_BY_PEER)

    # --- removal and close ----------------------------------------------------------------------

    def detach(self) -> tuple[socket.socket, bytes]:
        """Remove the connection from the event loop; return its socket and the unwritten bytes."""
        self.closed = True
        self.owner = NO_OWNER
        self._order = self.before_write = None
        if self._mask:
            self.loop.unwatch(self._sock)
        unwritten = b"".join(buffer.data[buffer.written :] for buffer in self._outbox)
        self._outbox.clear()
        self.unwritten_bytes = 0
        return self._sock, unwritten

    def unsent(self) -> int:
        """The number of written bytes that the peer has not acknowledged; 0 if the system can't report it."""
        return unacknowledged_bytes(self._sock)

    def unread_bytes(self) -> int:
        """The number of bytes that have arrived and are not read yet; 0 if the system can't report it."""
        return unread_bytes(self._sock)

    def _shut_down_output(self) -> None:
        """End the output and discard unread input: a reset on close could lose answers in transit."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
        discard(self._sock)

    def close(self, end: EndReason) -> None:
        """End the connection at once and notify the owner; does nothing if it has ended already."""
        if self.closed:
            return
        self.closed = True
        if self._dial_timer:
            self._dial_timer.cancel()
        if self._mask:
            self.loop.unwatch(self._sock)
        if self.up and (self._finishing or end in (EndReason.IDLE, EndReason.STOPPED)):
            self._shut_down_output()
        self._sock.close()
        self._outbox.clear()
        self.unwritten_bytes = 0
        self._order = self.before_write = None  # they may refer to the owner
        owner = self.owner
        self.owner = NO_OWNER
        owner.on_end(end)
