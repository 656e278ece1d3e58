"""One TCP connection: dialling, bounded reads, partial writes, and its single end."""

import contextlib
import errno
import fcntl
import socket
import struct
import termios
from collections import deque
from collections.abc import Callable

from fawnwharf.config import Address
from fawnwharf.net.connection_owner import NO_OWNER, ConnectionOwner
from fawnwharf.net.connection_writer import ConnectionWriter
from fawnwharf.net.end_reasons import EndReason, SystemCall, end_reason_of
from fawnwharf.net.event_loop import READ, STALL_THRESHOLD_MS, WRITE, EventLoop, ReadPriority
from fawnwharf.net.socket_inspection import discard, peek, peer_ended
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.net.write_buffer import PartialWriteLimit, WriteBuffer

MAX_READ_BYTES = (
    64 * 1024
)  # bytes taken from one connection in a turn, so that none starves the others; the rest
# stays in the system's buffer, which slows its sender, and is read in the turns to come
SO_TIMESTAMPNS = 35  # Linux: each read tells when its bytes came in
TIMESTAMP = struct.Struct("@qq")
MAX_ANCILLARY_BYTES = socket.CMSG_SPACE(TIMESTAMP.size)
COUNT = struct.Struct("@i")
LINGER_MS = 1_000.0  # for a peer that is being finished with: it may still read, and end by itself
MAX_FINISH_MS = 10_000.0  # for one that goes on taking what was queued for it
READ_AGAIN_MS = 50.0  # after a read for which the system had no memory
# Bytes that lay unread for this long, or a turn that runs for this long: the peer may have ended meanwhile.
FRESH_MS = 40.0


def enable_receive_timestamps(listener: socket.socket) -> None:
    """Have the system stamp what comes in; set before listening, as connections inherit it from the start."""
    with contextlib.suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


class Connection(ConnectionWriter):
    """One connection of the loop, from its dial or accept to its single end."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        owner: ConnectionOwner,
        up: bool = True,
        read_most: int = MAX_READ_BYTES,
        first: bool = False,
        order: Callable[[], ReadPriority] | None = None,
        half_close: bool = False,
    ) -> None:
        """`order`: when it is served in a turn, where that changes. `half_close`: a peer that ends its output
        may still read; the owner (a HalfCloseOwner) is told, and what is queued is written before the end."""
        self.loop, self.owner, self.up, self.closed = loop, owner, up, False
        self._read_most = read_most
        self.heard_ms = self.used_ms = monotonic_ms()
        self.waiting_bytes = 0
        self.age_ms = self.oldest_age_ms = (
            0.0  # of the last of the bytes read last; of the first, at the most
        )
        self._has_read = False  # whether any bytes were
        self._unread_since_ms: float | None = None  # where reads left something, or there were none
        self._left_ms = 0.0  # the turn in which that was noted, or reading went on
        self._sock, self._reading, self._blocked = sock, True, False
        self._outbox: deque[WriteBuffer] = deque()
        self._part_limit: PartialWriteLimit | None = None
        self._write_pause: Timer | None = None
        self._dial: Timer | None = None
        self._first, self._order, self._half_close = first, order, half_close
        self._finishing: EndReason | None = None
        self._linger_ms, self._finish_by_ms = LINGER_MS, 0.0
        self._input_over = self._output_over = False  # the peer has ended its output; this side has
        self.input_full = False  # the last read took as much as it may: there may be more
        self._resting = False  # the system had no memory for a read
        self._mask = READ if up else WRITE
        loop.watch(sock, self._mask, self._ready, first, order)

    @classmethod
    def accepted(
        cls,
        loop: EventLoop,
        sock: socket.socket,
        owner: ConnectionOwner,
        read_most: int = MAX_READ_BYTES,
        first: bool = False,
        order: Callable[[], ReadPriority] | None = None,
        half_close: bool = False,
    ) -> "Connection":
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(loop, sock, owner, read_most=read_most, first=first, order=order, half_close=half_close)

    @classmethod
    def dial(
        cls, loop: EventLoop, address: Address, owner: ConnectionOwner, within_ms: float, first: bool = False
    ) -> "Connection | EndReason":
        """A connection that comes up or ends later, or why none can be tried. `first`: see `Loop.watch`."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_STREAM)
        except OSError as error:
            return end_reason_of(error, SystemCall.SOCKET)
        call = SystemCall.CONNECT
        try:
            sock.setblocking(False)
            with contextlib.suppress(OSError):  # a connection without it is slower, and works
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = sock.connect_ex(address)
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, "connect")
            call = SystemCall.WATCH
            made = cls(loop, sock, owner, up=False, first=first)
        except OSError as error:
            sock.close()
            return end_reason_of(error, call)
        except BaseException:
            sock.close()
            raise
        made._dial = loop.timers.after(within_ms, lambda: made.close(EndReason.DIAL_TIMED_OUT))
        return made

    # --- ending ---------------------------------------------------------------------------------

    def finish(self, end: EndReason, linger_ms: float = LINGER_MS) -> None:
        """End it in order: what is queued is written, the output is ended, and what still comes is read and
        thrown away for `linger_ms`. Guards the last answers, which a close with bytes unread would reset.
        Harm: it lives on for that long, or until the peer ends it."""
        if self.closed or self._finishing:
            return
        self._finishing, self._linger_ms = end, linger_ms
        if self._outbox:
            self._finish_by_ms = monotonic_ms() + MAX_FINISH_MS
            self.loop.timers.after(LINGER_MS, self._check_unwritten)
            self.loop.schedule_flush(self)
        else:
            self._end_output()

    def _check_unwritten(self) -> None:
        """Close it where its peer has taken nothing for a while."""
        if self.closed or not self._outbox:
            return
        now = monotonic_ms()
        left = min(self.used_ms + LINGER_MS, self._finish_by_ms) - now
        if left > 0:
            self.loop.timers.after(left, self._check_unwritten)
        else:
            self.close(self._finishing)

    def _end_output(self) -> None:
        if self._output_over:
            return
        self._output_over = True
        if self._input_over:
            self.close(self._finishing)
            return
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
        self.loop.timers.after(self._linger_ms, lambda: self.close(self._finishing))

    @property
    def finishing(self) -> bool:
        return self._finishing is not None

    @property
    def waiting_pieces(self) -> int:
        """How many queued pieces are not written whole yet."""
        return len(self._outbox)

    # --- what lies unread -----------------------------------------------------------------------

    def unread(self) -> bytes | None:
        """A look at what lies unread: None where nothing does, empty where the peer has ended it."""
        return peek(self._sock)

    def may_have_ended(self) -> bool:
        """Whether the peer may have ended its output some time ago without this turn's reads showing it."""
        if not self.reads or self.input_full or self.loop.was_deferred(self._sock):
            return True
        return max(self.age_ms, monotonic_ms() - self.loop.iteration_ms) > FRESH_MS

    def peer_ended(self) -> bool:
        """Whether the peer has ended its output or reset the connection, also behind unread bytes. False
        where the system can't tell."""
        return self.closed or self._input_over or peer_ended(self._sock)

    # --- reading ------------------------------------------------------------------------------

    @property
    def reads(self) -> bool:
        """Whether it is read as bytes come."""
        return self._reading and not self._resting and not self._input_over

    def read_now(self) -> bool:
        """Read once without waiting for the selector; whether all that had come was read."""
        if not (self.closed or self._input_over or self._resting):
            self._read()
        return not (self.input_full or self._resting)

    def read_on(self, on: bool) -> None:
        """Stop or go on reading: a peer that does not read its answers is not read either."""
        if self._reading != on and not self.closed:
            self._reading = on
            if not on:
                self._unread_since_ms = self._empty_ms()
            self._left_ms = self.loop.iteration_ms
            self._set_mask()

    def _set_mask(self) -> None:
        mask = (READ * self.reads) | (WRITE * self._blocked)
        if mask == self._mask or self.closed:
            return
        try:
            self._watch_for(mask)
        except OSError:  # the selector has no memory: else it would never be read, or written, again
            self.loop.timers.after(READ_AGAIN_MS, self._set_mask)
            return
        self._mask = mask

    def _watch_for(self, mask: int) -> None:
        if not mask:  # a selector takes no empty one
            self.loop.unwatch(self._sock)
        elif not self._mask:
            self.loop.watch(self._sock, mask, self._ready, self._first, self._order)
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
            if code:
                raise OSError(code, "connect")
            self.loop.modify(self._sock, READ, self._ready)
        except OSError as error:
            self.close(end_reason_of(error, SystemCall.CONNECTED))
            return
        self.up, self._mask = True, READ
        if self._dial:
            self._dial.cancel()
        self.heard_ms = self.used_ms = monotonic_ms()
        self.owner.on_up()

    def _read(self) -> None:
        self.input_full = False
        try:
            data, notes, _, _ = self._sock.recvmsg(self._read_most, MAX_ANCILLARY_BYTES)
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
        self.input_full = len(data) >= self._read_most
        if self._finishing:
            return
        self.heard_ms = self.used_ms = monotonic_ms()
        self.age_ms = self._age(notes)
        self.oldest_age_ms = max(self.age_ms, self._age_bound_ms())  # the stamp is the last byte's
        self._has_read = True
        self._unread_since_ms = self._empty_ms() if self.input_full else None
        self._left_ms = self.loop.iteration_ms
        try:
            self.owner.on_data(data)
        except Exception:  # whatever a peer managed to send, it costs no more than its own connection
            self.loop.log_exception("reading")
            self.close(EndReason.BAD_BYTES)

    def _read_failed(self, error: OSError) -> None:
        """A want of memory here passes and says nothing of the peer; any other error ends the connection."""
        end = end_reason_of(error)
        if end is not EndReason.NO_DESCRIPTOR:
            self.close(end)
            return
        self._unread_since_ms = self._empty_ms()
        self._resting = True
        self._set_mask()
        self.loop.timers.after(READ_AGAIN_MS, self._rested)

    def _rested(self) -> None:
        self._resting, self._left_ms = False, self.loop.iteration_ms
        self._set_mask()

    def _peer_closed(self) -> None:
        """The peer has ended its output: it may have closed, or may still read what it is owed."""
        if self._half_close and not self._finishing:
            self.owner.on_half_close()
        if not self._outbox or not (self._half_close or self._finishing):
            self.close(EndReason.CLOSED_BY_PEER)
            return
        self._input_over = True  # what has ended stays readable: it is not watched any more
        self._set_mask()
        self.finish(EndReason.CLOSED_BY_PEER)

    def _empty_ms(self) -> float:
        """When nothing lay unread on it, as far as is known."""
        looked_ms = self.loop.empty_ms(self._sock.fileno())
        # Where it was watched already, a later turn that did not find it ready saw that nothing was left.
        if self._unread_since_ms is None or (self.reads and self._left_ms < looked_ms):
            return looked_ms
        return min(looked_ms, self._unread_since_ms)

    @property
    def empty_ms(self) -> float:
        """When nothing lay unread on it at the latest, by the monotonic clock."""
        if self.reads and self._unread_since_ms is None and not self.loop.was_deferred(self._sock):
            return self.loop.iteration_ms  # it was not ready as the turn began
        return self._empty_ms()

    def lay_unread(self, since_ms: float) -> None:
        """It may have bytes unread that came since this moment of the monotonic clock, before it was watched
        here: another process had the connection."""
        self._unread_since_ms, self._left_ms = since_ms, self.loop.iteration_ms

    def _age(self, notes: list[tuple[int, int, bytes]]) -> float:
        """How long the last of the bytes just read had waited when the turn began, by the system's stamp.
        Guards deadlines: a process that was held up reads late, but the client's time has run on. A stamp
        that may be of before a step of the clock is not believed; then the bytes count as old as may be."""
        loop = self.loop
        since_ms = self._empty_ms()  # they came later than that
        for level, kind, note in notes:
            if (level, kind, len(note)) != (socket.SOL_SOCKET, SO_TIMESTAMPNS, TIMESTAMP.size):
                continue
            if since_ms <= loop.clock.stepped_ms:
                break
            seconds, nanoseconds = TIMESTAMP.unpack(note)
            age = loop.iteration_unix_ms - seconds * 1e3 - nanoseconds / 1e6
            gap = loop.iteration_ms - loop.previous_iteration_ms
            believed_ms = loop.timestamps.age_ms(age, gap, previously_read=self._has_read)
            if loop.timestamps.trusted:
                return believed_ms
        return self._age_bound_ms()

    def _age_bound_ms(self) -> float:
        """The most that bytes read now may have waited; 0 where that is too little to matter."""
        loop, since_ms = self.loop, self._empty_ms()
        left_ms = loop.iteration_ms - since_ms if since_ms < loop.previous_iteration_ms else 0.0
        return max(loop.stall_ms, left_ms if left_ms > STALL_THRESHOLD_MS else 0.0)

    def detach(self) -> tuple[socket.socket, bytes]:
        """Give the socket away, with what is unwritten on it; it is no connection of this loop any more."""
        self.closed, self.owner, self._order = True, NO_OWNER, None
        if self._mask:
            self.loop.unwatch(self._sock)
        rest = b"".join(piece.data[piece.written :] for piece in self._outbox)
        self._outbox.clear()
        self.waiting_bytes = 0
        return self._sock, rest

    def unsent(self) -> int:
        """Written bytes that the peer's system has not acknowledged; 0 where this system does not tell."""
        try:
            found = fcntl.ioctl(self._sock, termios.TIOCOUTQ, bytes(COUNT.size))
        except (OSError, ValueError):
            return 0
        return max(0, COUNT.unpack(found)[0])

    def _part(self) -> None:
        """Guards answers that are still on their way: closing with unread bytes would reset them."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
        discard(self._sock)

    def close(self, end: EndReason) -> None:
        """The one way out; the owner hears of it once."""
        if self.closed:
            return
        self.closed = True
        if self._dial:
            self._dial.cancel()
        if self._mask:
            self.loop.unwatch(self._sock)
        if self.up and (self._finishing or end in (EndReason.IDLE, EndReason.STOPPED)):
            self._part()
        self._sock.close()
        self._outbox.clear()
        self.waiting_bytes = 0
        self._order = None  # it may hold the owner
        owner, self.owner = self.owner, NO_OWNER
        owner.on_end(end)
