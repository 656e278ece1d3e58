"""The output of a connection: its queue, one write an iteration, and pauses while the system lacks memory."""

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
WRITE_PAUSE_MS = 20.0  # after a write that failed for lack of memory: the system gets time to free some


class ConnectionWriter:
    """The output part of a `Connection`, which has the socket and determines how the connection ends."""

    loop: EventLoop
    owner: ConnectionOwner
    up: bool
    closed: bool
    used_ms: float
    waiting_bytes: int
    _sock: socket.socket
    _reading: bool
    _outbox: deque[WriteBuffer]
    _blocked: bool
    _partial_limit: PartialWriteLimit | None
    _write_pause: Timer | None
    _finishing: EndReason | None

    def close(self, end: EndReason) -> None:
        """End the connection at once."""
        raise NotImplementedError

    def _end_output(self, end: EndReason) -> None:
        raise NotImplementedError

    def _set_mask(self) -> None:
        raise NotImplementedError

    def _read(self) -> None:
        raise NotImplementedError

    def write(self, data: bytes) -> WriteBuffer:
        """Queue bytes for this iteration's one write."""
        return self._queue(WriteBuffer(data))

    def write_deferred(self, make: Callable[[], bytes | None], estimated_size: int) -> WriteBuffer:
        """Queue output that is produced when its first byte is about to be sent, as it would become stale.

        `make` returns the bytes, or None where they must no longer be sent; `estimated_size`: about how many
        bytes that will be.
        """
        return self._queue(WriteBuffer(b"", make, estimated_size))

    def limit_partial_writes(self, max_partial_ms: float) -> None:
        """End the connection where a buffer stays partially written for longer than this."""
        self._partial_limit = PartialWriteLimit(self.loop.timers, self._outbox, max_partial_ms)

    def _queue(self, buffer: WriteBuffer) -> WriteBuffer:
        if not self.closed:
            self._outbox.append(buffer)
            self.waiting_bytes += buffer.size
            self.loop.schedule_flush(self)
        return buffer

    def withdraw(self, buffer: WriteBuffer) -> bool:
        """Remove a buffer of which nothing has been written from the queue; False where it is too late."""
        if buffer.begun or buffer not in self._outbox:
            return False
        self._outbox.remove(buffer)
        self.waiting_bytes -= buffer.size
        buffer.make = None  # it may refer to its owner, which refers to the buffer
        return True

    def flush(self) -> None:
        """Write what is queued, as far as the system accepts it, and notify the owner."""
        able = self.up and not self.closed and not self._blocked and self._write_pause is None
        if able and self._outbox:
            self._write_out()
        if self._finishing and not self.closed and not self._outbox:
            self._end_output(self._finishing)
        if not self.closed:
            self.owner.on_flushed()

    def _write_out(self) -> None:
        if self._partial_limit and self._partial_limit.is_overdue():
            self._partial_overdue()
            return
        buffers = [buffer for buffer in list(islice(self._outbox, MAX_BUFFERS)) if self._prepare(buffer)]
        views = [memoryview(buffer.data)[buffer.written :] for buffer in buffers]
        try:
            count = self._sock.sendmsg(views) if views else 0
        except BlockingIOError:
            count = 0
        except OSError as error:
            self._write_failed(end_reason_of(error, SystemCall.SEND))
            return
        self.waiting_bytes -= count
        now_ms = monotonic_ms()
        if views:
            self.used_ms = now_ms
        for buffer in buffers:
            count = buffer.advance(count, now_ms)
            if not buffer.complete:
                break
            self._outbox.popleft()
        self._blocked = bool(self._outbox)
        self._set_mask()
        if self._partial_limit:
            self._partial_limit.watch(self._partial_overdue)

    def _prepare(self, buffer: WriteBuffer) -> bool:
        """Produce a buffer's bytes for the write that follows; False where it was withdrawn instead."""
        if buffer.make is None:
            return True
        data = buffer.make()
        if data is None:
            self.withdraw(buffer)
            return False
        self.waiting_bytes += len(data) - buffer.size
        buffer.data = data
        buffer.size = len(data)
        return True

    def _write_failed(self, end: EndReason) -> None:
        """Retry after a pause where the error is a transient one of this machine; else end the connection.

        Before the end, what the peer sent is read: it may hold an answer that arrived after the reads of this
        iteration.
        """
        if end not in LOCAL_REASONS:
            if self._reading:
                self._read()
            self.close(end)
            return
        self._write_pause = self.loop.timers.after(WRITE_PAUSE_MS, self._resume_writing)

    def _partial_overdue(self) -> None:
        self.close(EndReason.LOCAL_FAULT if self._write_pause else EndReason.STUFFED)

    def _resume_writing(self) -> None:
        self._write_pause = None
        if not self.closed:
            self.loop.schedule_flush(self)
