"""The writing half of a connection: what is queued, one write a turn, and pauses for want of memory."""

import socket
from collections import deque
from collections.abc import Callable
from itertools import islice

from fawnwharf.net.connection_owner import ConnectionOwner
from fawnwharf.net.end_reasons import LOCAL_REASONS, EndReason, SystemCall, end_reason_of
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.net.write_buffer import PartialWriteLimit, WriteBuffer

MAX_BUFFERS = 64  # in one write
WRITE_PAUSE_MS = 20.0  # after a write that failed for want of memory: the system gets time to find some


class ConnectionWriter:
    """What a `Connection` writes; it has the socket, and says how the connection ends."""

    loop: EventLoop
    owner: ConnectionOwner
    up: bool
    closed: bool
    used_ms: float
    waiting_bytes: int
    _sock: socket.socket
    _outbox: deque[WriteBuffer]
    _blocked: bool
    _part_limit: PartialWriteLimit | None
    _write_pause: Timer | None
    _finishing: EndReason | None

    def close(self, end: EndReason) -> None:
        """End the connection at once."""
        raise NotImplementedError

    def _end_output(self) -> None:
        raise NotImplementedError

    def _set_mask(self) -> None:
        raise NotImplementedError

    def write(self, data: bytes) -> WriteBuffer:
        """Queue bytes for this turn's one write."""
        return self._queue(WriteBuffer(data))

    def write_late(self, make: Callable[[], bytes | None], size: int) -> WriteBuffer:
        """Queue what is made as its first byte is about to leave, for what goes stale while it waits; `size`:
        about how many bytes that will be. None from `make`: it is not written any more."""
        return self._queue(WriteBuffer(b"", make, size))

    def limit_parts(self, most_ms: float) -> None:
        """End it where a piece stays written in part for longer than this."""
        self._part_limit = PartialWriteLimit(self.loop.timers, self._outbox, most_ms)

    def _queue(self, piece: WriteBuffer) -> WriteBuffer:
        if not self.closed:
            self._outbox.append(piece)
            self.waiting_bytes += piece.size
            self.loop.schedule_flush(self)
        return piece

    def take_back(self, piece: WriteBuffer) -> bool:
        """Unqueue a piece of which nothing has been written; False where it is too late."""
        if piece.begun or piece not in self._outbox:
            return False
        self._outbox.remove(piece)
        self.waiting_bytes -= piece.size
        piece.make = None  # it may hold its owner, which holds the piece
        return True

    def flush(self) -> None:
        able = self.up and not self.closed and not self._blocked and self._write_pause is None
        if able and self._outbox:
            self._write_out()
        if self._finishing and not self.closed and not self._outbox:
            self._end_output()
        if not self.closed:
            self.owner.on_flushed()

    def _write_out(self) -> None:
        if self._part_limit and self._part_limit.overdue():
            self._part_overdue()
            return
        pieces = [piece for piece in list(islice(self._outbox, MAX_BUFFERS)) if self._made(piece)]
        views = [memoryview(piece.data)[piece.written :] for piece in pieces]
        try:
            count = self._sock.sendmsg(views) if views else 0
        except BlockingIOError:
            count = 0
        except OSError as error:
            self._write_failed(end_reason_of(error, SystemCall.SEND))
            return
        self.waiting_bytes -= count
        now = monotonic_ms()
        self.used_ms = now if views else self.used_ms
        for piece in pieces:
            count = piece.advance(count, now)
            if not piece.whole:
                break
            self._outbox.popleft()
        self._blocked = bool(self._outbox)
        self._set_mask()
        if self._part_limit:
            self._part_limit.watch(self._part_overdue)

    def _made(self, piece: WriteBuffer) -> bool:
        """Have a piece's bytes made for the write that follows; one that must not leave is taken out."""
        if piece.make is None:
            return True
        data = piece.make()
        if data is None:
            self.take_back(piece)
            return False
        self.waiting_bytes += len(data) - piece.size
        piece.data, piece.size = data, len(data)
        return True

    def _write_failed(self, end: EndReason) -> None:
        """Try again after a pause where the fault is this machine's own and passes; else end it, once what
        the peer sent before is read: an answer may lie there that came after the turn's reads."""
        if end not in LOCAL_REASONS:
            if self._reading:
                self._read()
            self.close(end)
            return
        self._write_pause = self.loop.timers.after(WRITE_PAUSE_MS, self._write_on)

    def _part_overdue(self) -> None:
        self.close(EndReason.LOCAL_FAULT if self._write_pause else EndReason.STUFFED)

    def _write_on(self) -> None:
        self._write_pause = None
        if not self.closed:
            self.loop.schedule_flush(self)
