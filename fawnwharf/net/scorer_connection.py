"""One connection to a scorer: the streams open on it, its frames in both directions, and its end."""

from functools import partial
from typing import TYPE_CHECKING

from fawnwharf.net import scorer_frames as frames
from fawnwharf.net.connection import Connection
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.scorer_streams import Attempt, Stream
from fawnwharf.net.timer_wheel import Timer, monotonic_ms

if TYPE_CHECKING:
    from fawnwharf.net.scorer_pool import Scorer, ScorerPool

STALL_MS = 250.0  # an incomplete frame without progress for this long is truncated
# A frame that stays partially written for this long ends its link: the rest would be sent for a client that
# may have gone, with a remaining time that has passed. Below 100 ms by what an iteration may take.
MAX_PARTIAL_WRITE_MS = 80.0
MAX_USED_IDS = 1_024  # ids remembered on one link, as late or duplicate answers may still arrive
MAX_ANSWERED_IDS = 64  # of streams answered well, whose duplicate answers arrive at once if at all
MAX_UNWRITTEN_BYTES = 256 * 1024  # unwritten on one link: a scorer that does not read gets no more


class ScorerConnection:
    """A link: one connection to a scorer, and the streams that are open on it.

    `connection` is set by the pool when the dial has begun, before the link is used.
    """

    connection: Connection

    def __init__(self, pool: "ScorerPool", scorer: "Scorer") -> None:
        self.pool = pool
        self.scorer = scorer
        self.streams: dict[bytes, Stream] = {}
        self.retired = False  # gets nothing new, and is closed once empty
        self._reader = frames.FrameReader()
        self._used_ids: dict[bytes, None] = {}  # must not be used again here
        self._answered_ids: dict[bytes, None] = {}  # nor these, for a while
        self._expired: list[Stream] = []  # found expired when they were to be written
        self._stall_timer: Timer | None = None
        self._busy_since_ms = 0.0  # since when any stream is open
        self._idle_before_ms = 0.0  # for how long it had been idle by then
        self._last_cancel_ms = 0.0

    @property
    def up(self) -> bool:
        """Whether the connection is established and open."""
        return self.connection.up and not self.connection.closed

    def is_silent(self, span_ms: float) -> bool:
        """Whether answers are due and nothing was received for this long, in milliseconds.

        Protects against a machine that vanished: its connections stay open without any error.
        """
        since_ms = max(self.connection.last_received_ms, self._busy_since_ms)
        return bool(self.streams) and monotonic_ms() - since_ms > span_ms

    def cancelled_in_silence(self, span_ms: float) -> bool:
        """Whether nothing had been received for this long when the last stream was cancelled."""
        since_ms = max(self.connection.last_received_ms, self._busy_since_ms)
        return self._last_cancel_ms - since_ms > span_ms

    def accepts(self, request_id: bytes) -> bool:
        """Whether a stream with this id may be started here: there is capacity, and no trace of the id."""
        has_capacity = len(self.streams) < self.pool.wire.streams_per_conn
        is_new = (
            request_id not in self.streams
            and request_id not in self._used_ids
            and request_id not in self._answered_ids
        )
        return has_capacity and is_new and self.connection.waiting_bytes < MAX_UNWRITTEN_BYTES

    def idle_ms(self) -> float:
        """For how long nothing has been open on it."""
        return 0.0 if self.streams else monotonic_ms() - self.connection.used_ms

    def stale_idle_ms(self, end: EndReason, within_ms: float) -> float | None:
        """How long it had been idle, where it broke within this time after it was used again; else None."""
        broke = end in (EndReason.RESET_BY_PEER, EndReason.CLOSED_BY_PEER) and self.streams
        return self._idle_before_ms if broke and monotonic_ms() - self._busy_since_ms < within_ms else None

    def start(self, stream: Stream) -> None:
        """Open a stream on this link and queue its frame."""
        if not self.streams:
            self._idle_before_ms = self.idle_ms()
            self._busy_since_ms = monotonic_ms()
        self.streams[stream.id] = stream
        make = partial(self._frame_of, stream)
        stream.link = self
        stream.buffer = self.connection.write_deferred(make, stream.estimated_size())

    def _frame_of(self, stream: Stream) -> bytes | None:
        """The frame as it is sent, so that it carries the time that remains by then; None if it expired."""
        if stream.is_expired():
            self._expired.append(stream)
            return None
        return stream.frame()

    def withdraw(self, stream: Stream) -> None:
        """Take a stream off the link, and cancel it at the scorer where that may have received some of it."""
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
        """The open streams of which nothing has been written."""
        return [stream for stream in self.streams.values() if not stream.begun]

    # --- callbacks of the connection ----------------------------------------------------------

    def on_up(self) -> None:
        """Have the pool place the streams that wait for this link."""
        self.pool.link_up(self)

    def on_data(self, data: bytes) -> None:
        """Match the answers in the received bytes to the open streams."""
        for frame in self._reader.feed(data):
            # An answer to a stream that is no longer open here is late, and is ignored. So is one to a stream
            # that the scorer can't have received yet: it is for an earlier one with that id.
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
            self.connection.close(EndReason.BAD_BYTES)
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
        """End the streams that were found expired when they were to be written."""
        expired = self._expired
        self._expired = []
        for stream in expired:
            self.streams.pop(stream.id, None)
            self.pool.expired(stream)

    def on_end(self, end: EndReason) -> None:
        """Have the pool end or move the streams that are open here."""
        self.pool.link_ended(self, end)
