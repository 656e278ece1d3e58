"""One connection to a scorer: the streams open on it, and the frames sent and received."""

from functools import partial
from typing import TYPE_CHECKING

from fawnwharf.net import scorer_frames as frames
from fawnwharf.net.connection import Connection
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.scorer_streams import Attempt, Stream
from fawnwharf.net.timer_wheel import Timer, monotonic_ms

if TYPE_CHECKING:
    from fawnwharf.net.scorer_pool import Scorer, ScorerPool

STALL_MS = 250.0  # an incomplete frame that makes no progress for this long counts as truncated
# A frame that stays partially written for this long ends its connection. Otherwise the rest would be sent
# after the client may have gone and the remaining time in the frame has passed. The limit is 100 ms, less the
# time that an event loop iteration may take.
MAX_PARTIAL_WRITE_MS = 80.0
MAX_USED_IDS = 1_024  # remembered for each connection, as late or duplicate answers may still arrive
MAX_ANSWERED_IDS = 64  # remembered after an answer with code OK; a duplicate of that arrives soon, if at all
MAX_UNWRITTEN_BYTES = 256 * 1024  # with more queued, the scorer is not reading and gets no new streams


class ScorerConnection:
    """One connection to a scorer, and the streams that are open on it; names call it a link for short.

    `connection`: the TCP connection; the pool sets it when the dial has begun.
    """

    connection: Connection

    def __init__(self, pool: "ScorerPool", scorer: "Scorer") -> None:
        self.pool = pool
        self.scorer = scorer
        self.streams: dict[bytes, Stream] = {}
        self.retired = False  # gets no new streams, and is closed after the last one
        self._reader = frames.FrameReader()
        self._used_ids: dict[bytes, None] = {}  # must not be used again on this connection
        self._answered_ids: dict[bytes, None] = {}  # as _used_ids, but fewer are remembered
        self._expired: list[Stream] = []  # expired before their first byte was written
        self._stall_timer: Timer | None = None
        self._busy_since_ms = 0.0  # since when it has had open streams
        self._idle_before_ms = 0.0  # how long it was idle before that
        self._last_cancel_ms = 0.0

    @property
    def up(self) -> bool:
        """Whether the connection is established and open."""
        return self.connection.up and not self.connection.closed

    def is_silent(self, span_ms: float) -> bool:
        """Whether streams are open and nothing was received for `span_ms`.

        Detects a machine that has failed: its connections stay open without any error.
        """
        since_ms = max(self.connection.last_received_ms, self._busy_since_ms)
        return bool(self.streams) and monotonic_ms() - since_ms > span_ms

    def was_silent_at_cancel(self, span_ms: float) -> bool:
        """Whether nothing had been received for `span_ms` when the last stream was cancelled."""
        since_ms = max(self.connection.last_received_ms, self._busy_since_ms)
        return self._last_cancel_ms - since_ms > span_ms

    def accepts(self, request_id: bytes) -> bool:
        """Whether a stream with this id may be started: capacity is left and the id is not in use here."""
        has_capacity = len(self.streams) < self.pool.wire.streams_per_conn
        is_unused = (
            request_id not in self.streams
            and request_id not in self._used_ids
            and request_id not in self._answered_ids
        )
        return has_capacity and is_unused and self.connection.unwritten_bytes < MAX_UNWRITTEN_BYTES

    def idle_ms(self) -> float:
        """For how long it has had no open stream."""
        return 0.0 if self.streams else monotonic_ms() - self.connection.used_ms

    def stale_idle_ms(self, end: EndReason, within_ms: float) -> float | None:
        """How long it was idle before its last use, if the peer ended it within `within_ms` of that use."""
        broke = end in (EndReason.RESET_BY_PEER, EndReason.CLOSED_BY_PEER) and self.streams
        return self._idle_before_ms if broke and monotonic_ms() - self._busy_since_ms < within_ms else None

    def start(self, stream: Stream) -> None:
        """Open a stream on this connection and queue its frame."""
        if not self.streams:
            self._idle_before_ms = self.idle_ms()
            self._busy_since_ms = monotonic_ms()
        self.streams[stream.id] = stream
        make_frame = partial(self._frame_of, stream)
        stream.link = self
        stream.buffer = self.connection.write_deferred(make_frame, stream.estimated_size())

    def _frame_of(self, stream: Stream) -> bytes | None:
        """The frame with the time that remains as it is sent; None if the stream has expired."""
        if stream.is_expired():
            self._expired.append(stream)
            return None
        return stream.frame()

    def withdraw(self, stream: Stream) -> None:
        """Remove a stream, and cancel it at the scorer if that may have received some of it."""
        self.streams.pop(stream.id, None)
        if stream.buffer is None or self.connection.withdraw(stream.buffer):
            return
        self._last_cancel_ms = monotonic_ms()
        if isinstance(stream, Attempt):
            self.connection.write(frames.abandon(stream.id))
        self._remember(self._used_ids, MAX_USED_IDS, stream.id)

    def _remember(self, ids: dict[bytes, None], max_ids: int, request_id: bytes) -> None:
        ids[request_id] = None
        if len(ids) > max_ids:
            del ids[next(iter(ids))]

    def unwritten(self) -> list[Stream]:
        """The open streams of which no byte has been written."""
        return [stream for stream in self.streams.values() if not stream.begun]

    # --- ConnectionOwner callbacks ------------------------------------------------------------

    def on_up(self) -> None:
        """Let the pool assign waiting streams to this connection."""
        self.pool.link_up(self)

    def on_data(self, data: bytes) -> None:
        """Match the answers in the received bytes to the open streams."""
        for frame in self._reader.feed(data):
            # Ignored: an answer to a stream that is no longer open, and an answer to a stream that is not
            # completely written yet, which must be for an earlier stream with the same id.
            stream = self.streams.get(frame.id)
            if stream is not None and stream.complete:
                del self.streams[frame.id]
                if frame.code == frames.OK:  # a duplicate answer must not end a later stream
                    self._remember(self._answered_ids, MAX_ANSWERED_IDS, frame.id)
                else:
                    self._remember(self._used_ids, MAX_USED_IDS, frame.id)
                self.pool.answered(stream, frame)
        if self._reader.fault:
            self.pool.log(f"scorer {self.scorer.id}: bad frame: {self._reader.fault}")
            self.connection.close(EndReason.PROTOCOL_ERROR)
        elif self._reader.has_partial_frame and self._stall_timer is None:
            self._stall_timer = self.pool.loop.timers.after(STALL_MS, self._check_stall)

    def _check_stall(self) -> None:
        self._stall_timer = None
        if not self._reader.has_partial_frame or self.connection.closed:
            return
        remaining_ms = STALL_MS - (monotonic_ms() - self.connection.last_received_ms)
        if remaining_ms > 0:
            self._stall_timer = self.pool.loop.timers.after(remaining_ms, self._check_stall)
        else:
            self.pool.log(f"scorer {self.scorer.id}: truncated frame")
            self.connection.close(EndReason.SILENT)

    def on_flushed(self) -> None:
        """End the streams that had expired before they were written."""
        expired = self._expired
        self._expired = []
        for stream in expired:
            self.streams.pop(stream.id, None)
            self.pool.expired(stream)

    def on_end(self, end: EndReason) -> None:
        """Let the pool end or reassign the open streams."""
        self.pool.link_ended(self, end)
