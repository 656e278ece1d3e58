"""One connection to a scorer: what is open on it, its frames in both directions, and its end."""

from functools import partial
from typing import TYPE_CHECKING

from fawnwharf.net import scorer_frames as frames
from fawnwharf.net.connection import Connection
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.scorer_streams import Attempt, Stream
from fawnwharf.net.timer_wheel import Timer, monotonic_ms

if TYPE_CHECKING:
    from fawnwharf.net.scorer_pool import Scorer, ScorerPool

STALL_MS = 250.0  # half a frame that goes no further for this long was cut off: nothing after it can be read
# A frame that stays written in part for this long ends its link: what would be completed later was made for a
# client that may have gone, and passes on a time that has run out. Below 100 ms by what a turn may take.
MAX_PARTIAL_WRITE_MS = 80.0
MAX_USED_IDS = 1_024  # ids remembered on one link, as late answers or second copies may still come
MAX_ANSWERED_IDS = 64  # and of those answered well, whose second copies come at once if at all
MAX_UNWRITTEN_BYTES = 256 * 1024  # unwritten on one link: a scorer that does not read gets no more


class ScorerConnection:
    """One connection to a scorer, and what is open on it."""

    def __init__(self, pool: "ScorerPool", scorer: "Scorer") -> None:
        self.pool, self.scorer = pool, scorer
        self.connection: Connection | None = None
        self.streams: dict[bytes, Stream] = {}
        self.retired = False  # gets nothing new, and is closed once empty
        self._reader = frames.FrameReader()
        self._spent: dict[bytes, None] = {}  # ids that may not be used again here
        self._answered: dict[bytes, None] = {}  # nor these, for a while
        self._late: list[Stream] = []  # that were too late when they were to be written
        self._stall: Timer | None = None
        self._owed_ms = 0.0  # since when something is open
        self._gap_ms = 0.0  # for how long it had been idle by then
        self._last_gave_up_ms = 0.0

    @property
    def up(self) -> bool:
        return self.connection is not None and self.connection.up and not self.connection.closed

    def quiet(self, span_ms: float) -> bool:
        """Whether it has owed an answer in silence for so long.

        Guards against a machine that vanished: its connections stay open and say nothing."""
        since = max(self.connection.heard_ms, self._owed_ms)
        return bool(self.streams) and monotonic_ms() - since > span_ms

    def given_up_unheard(self, span_ms: float) -> bool:
        """All that was open was given up, and the scorer had been silent for so long by then."""
        return self._last_gave_up_ms - max(self.connection.heard_ms, self._owed_ms) > span_ms

    def takes(self, id: bytes) -> bool:
        room = len(self.streams) < self.pool.wire.streams_per_conn
        fresh = id not in self.streams and id not in self._spent and id not in self._answered
        return room and fresh and self.connection.waiting_bytes < MAX_UNWRITTEN_BYTES

    def idle_ms(self) -> float:
        return 0.0 if self.streams else monotonic_ms() - self.connection.used_ms

    def stale_after_ms(self, end: EndReason, within_ms: float) -> float | None:
        """How long it was idle, where it broke so soon after it was used again."""
        broke = end in (EndReason.RESET_BY_PEER, EndReason.CLOSED_BY_PEER) and self.streams
        return self._gap_ms if broke and monotonic_ms() - self._owed_ms < within_ms else None

    def start(self, stream: Stream) -> None:
        if not self.streams:
            self._gap_ms, self._owed_ms = self.idle_ms(), monotonic_ms()
        self.streams[stream.id] = stream
        make = partial(self._frame_of, stream)
        stream.link, stream.piece = self, self.connection.write_late(make, stream.rough_size())

    def _frame_of(self, stream: Stream) -> bytes | None:
        """Its frame as it leaves, so that the time passed on is the time left by then."""
        if stream.too_late():
            self._late.append(stream)
            return None
        return stream.frame()

    def withdraw(self, stream: Stream) -> None:
        """Take a stream off the link, telling the scorer where it may have heard of it."""
        self.streams.pop(stream.id, None)
        if self.connection.take_back(stream.piece):
            return
        self._last_gave_up_ms = monotonic_ms()
        if isinstance(stream, Attempt):
            self.connection.write(frames.abandon(stream.id))
        self._spend(stream.id)

    def _spend(self, id: bytes, good: bool = False) -> None:
        spent, most = (self._answered, MAX_ANSWERED_IDS) if good else (self._spent, MAX_USED_IDS)
        spent[id] = None
        if len(spent) > most:
            del spent[next(iter(spent))]

    def unwritten(self) -> list[Stream]:
        return [stream for stream in self.streams.values() if not stream.begun]

    # --- from the connection ----------------------------------------------------------------

    def on_up(self) -> None:
        self.pool.link_up(self)

    def on_data(self, data: bytes) -> None:
        for frame in self._reader.feed(data):
            # An answer to what is no longer open here comes too late and says nothing. Neither does one to
            # what the scorer can't have yet: it is for an earlier stream of that id.
            stream = self.streams.get(frame.id)
            if stream is not None and stream.whole:
                del self.streams[frame.id]
                self._spend(frame.id, frame.code == frames.OK)  # a second copy must not end a later one
                self.pool.answered(stream, frame)
        if self._reader.fault:
            self.pool.log(f"scorer {self.scorer.id}: bad frame: {self._reader.fault}")
            self.connection.close(EndReason.BAD_BYTES)
        elif self._reader.waits and self._stall is None:
            self._stall = self.pool.loop.timers.after(STALL_MS, self._stalled)

    def _stalled(self) -> None:
        self._stall = None
        if not self._reader.waits or self.connection.closed:
            return
        left = STALL_MS - (monotonic_ms() - self.connection.heard_ms)
        if left > 0:
            self._stall = self.pool.loop.timers.after(left, self._stalled)
        else:
            self.pool.log(f"scorer {self.scorer.id}: truncated frame")
            self.connection.close(EndReason.SILENT)

    def on_flushed(self) -> None:
        late, self._late = self._late, []
        for stream in late:
            self.streams.pop(stream.id, None)
            self.pool.expired(stream)

    def on_end(self, end: EndReason) -> None:
        self.pool.link_ended(self, end)
