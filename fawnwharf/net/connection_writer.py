"""The output side of a connection: the write queue, one write in each iteration, retries after errors."""

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
WRITE_PAUSE_MS = 20.0  # after a write that failed with a transient error of this machine


class ConnectionWriter:
    """The output side of a `Connection`, which owns the socket and defines how the connection ends."""

    loop: EventLoop
    owner: ConnectionOwner
    up: bool
    closed: bool
    used_ms: float
    unwritten_bytes: int
    before_write: Callable[[], None] | None  # called before each write of queued output
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
        """Queue bytes for the write at the end of this iteration."""
        return self._queue(WriteBuffer(data))

    def write_deferred(self, make: Callable[[], bytes | None], estimated_size: int) -> WriteBuffer:
        """Queue output that is produced just before its first byte is sent, so that it is not outdated.

        `make`: returns the bytes, or None if they must no longer be sent; `estimated_size`: in bytes.
        """
        return self._queue(WriteBuffer(b"", make, estimated_size))

    def limit_partial_writes(self, max_partial_ms: float) -> None:
        """End the connection if a buffer stays partially written for longer than `max_partial_ms`."""
        self._partial_limit = PartialWriteLimit(self.loop.timers, self._outbox, max_partial_ms)

    def _queue(self, buffer: WriteBuffer) -> WriteBuffer:
        if not self.closed:
            self._outbox.append(buffer)
            self.unwritten_bytes += buffer.size
            self.loop.schedule_flush(self)
        return buffer

    def withdraw(self, buffer: WriteBuffer) -> bool:
        """Remove an unwritten buffer from the queue; return False if it is too late for that."""
        if buffer.begun or buffer not in self._outbox:
            return False
        self._outbox.remove(buffer)
        self.unwritten_bytes -= buffer.size
        buffer.make = None  # breaks a reference cycle between the buffer and its owner
        return True

    def flush(self) -> None:
        """Write as much of the queue as the system accepts, and notify the owner."""
        able = self.up and not self.closed and not self._blocked and self._write_pause is None
        if able and self._outbox:
            if self.before_write is not None:
                self.before_write()
            self._write_out()
        if self._finishing and not self.closed and not self._outbox:
            self._end_output(self._finishing)
        if not self.closed:
            self.owner.on_flushed()

    def _write_out(self) -> None:
        if self._partial_limit and self._partial_limit.is_overdue():
            self._on_partial_overdue()
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
        self.unwritten_bytes -= count
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
            self._partial_limit.watch(self._on_partial_overdue)

    def _prepare(self, buffer: WriteBuffer) -> bool:
        """Produce a deferred buffer's bytes for this write; return False if it was withdrawn instead."""
        if buffer.make is None:
            return True
        data = buffer.make()
        if data is None:
            self.withdraw(buffer)
            return False
        self.unwritten_bytes += len(data) - buffer.size
        buffer.data = data
        buffer.size = len(data)
        return True

    def _write_failed(self, end: EndReason) -> None:
        """Retry after a pause if the error is a transient one of this machine; otherwise end the connection.

        Received bytes are read before the end, as an answer may have arrived since this iteration's reads.
        """
        if end not in LOCAL_REASONS:
            if self._reading:
                self._read()
            self.close(end)
            return
        self._write_pause = self.loop.timers.after(WRITE_PAUSE_MS, self._resume_writing)

    def _on_partial_overdue(self) -> None:
        self.close(EndReason.LOCAL_FAULT if self._write_pause else EndReason.PEER_NOT_READING)

    def _resume_writing(self) -> None:
        self._write_pause = None
        if not self.closed:
            self.loop.schedule_flush(self)
