"""Streams: the attempts and load orders that are sent to a scorer, and their answers."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from fawnwharf.interface import AttemptResult, Warmth
from fawnwharf.net import scorer_frames as frames
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.net.write_buffer import WriteBuffer

if TYPE_CHECKING:
    from fawnwharf.net.scorer_connection import ScorerConnection

WARMTH_BY_FIELD = {
    "reused": Warmth.FOUND,
    "init": Warmth.STARTED_LOAD,
    "shared_init": Warmth.WAITED_FOR_LOAD,
    "init_error": Warmth.LOAD_FAILED,
}
ATTEMPT_RESULT_BY_CODE = {
    frames.OK: AttemptResult.GOOD,
    frames.MISS: AttemptResult.MISS,
    frames.FULL: AttemptResult.FULL,
    frames.EXPIRED: AttemptResult.NOT_SENT,
}
# A load order that could not be sent within this time is dropped. The router counts an order against the load
# rate limit from its decision, the scorer from its arrival, and the difference has to stay small.
LOAD_ORDER_WAIT_MS = 100.0
LOAD_ORDER_RESULT_BY_CODE = {frames.OK: AttemptResult.GOOD, frames.FULL: AttemptResult.FULL}
MAX_COUNT_DIGITS = 9


@dataclass(slots=True)
class Answer:
    """A scorer's answer to a stream.

    `concurrency`: the number of requests that the scorer reported to be running; `copies`: the number of
    copies of the function that it reported.
    """

    ending: AttemptResult
    body: bytes
    warmth: Warmth
    concurrency: int
    copies: int


@dataclass(slots=True, eq=False)
class Stream:
    """An attempt or a load order. It ends exactly once: with an answer or for an `EndReason`.

    `scorer`: the number of the scorer; `ended`: called at the end with the stream, the end reason and the
    answer, of which one is None; `began_ms`: creation time on the monotonic clock; `over`: it has ended.
    """

    scorer: int
    ended: Callable[[Any, EndReason | None, Answer | None], None]
    began_ms: float = field(default_factory=monotonic_ms, init=False)
    link: "ScorerConnection | None" = field(default=None, init=False)
    buffer: WriteBuffer | None = field(default=None, init=False)
    timer: Timer | None = field(default=None, init=False)
    wait_timer: Timer | None = field(default=None, init=False)  # set while it waits for a connection
    over: bool = field(default=False, init=False)
    id: bytes = field(default=b"", kw_only=True)

    @property
    def begun(self) -> bool:
        """Whether some of its bytes were written, so that they may have arrived."""
        return self.buffer is not None and self.buffer.begun

    @property
    def complete(self) -> bool:
        """Whether all of its bytes were written, so that they may have arrived."""
        return self.buffer is not None and self.buffer.complete

    @property
    def is_new_work(self) -> bool:
        """Whether it gives the scorer work, so that a draining scorer must not receive it."""
        raise NotImplementedError

    def stop_waiting(self) -> None:
        """Stop the timer that limits the wait for a connection."""
        if self.wait_timer:
            self.wait_timer.cancel()
        self.wait_timer = None

    def is_expired(self) -> bool:
        """Whether it is too late to begin to write it."""
        return False

    def estimated_size(self) -> int:
        """About how many bytes its frame will have."""
        raise NotImplementedError

    def frame(self) -> bytes:
        """Its frame, encoded now."""
        raise NotImplementedError

    def result_of(self, code: int) -> AttemptResult:
        """The result that an answer with this code means."""
        raise NotImplementedError


@dataclass(slots=True, eq=False)
class Attempt(Stream):
    """One attempt of a request at a scorer."""

    class_name: str = ""
    function: str = ""
    token: str = ""
    body: bytes = b""
    deadline_ms: float = 0.0  # on the monotonic clock
    # On the monotonic clock. The first byte must be sent before it, even if the deadline is later.
    begin_by_ms: float = math.inf

    is_new_work = True

    def is_expired(self) -> bool:
        """Whether it is too late to begin to write it."""
        return monotonic_ms() >= min(self.deadline_ms, self.begin_by_ms)

    def estimated_size(self) -> int:
        """About how many bytes its frame will have."""
        return frames.APPROXIMATE_HEADER_BYTES + len(self.token) + len(self.body)

    def frame(self) -> bytes:
        """Its frame, with the time that remains until the deadline."""
        remaining_ms = self.deadline_ms - monotonic_ms()
        return frames.run(self.id, self.class_name, self.function, remaining_ms, self.token, self.body)

    def result_of(self, code: int) -> AttemptResult:
        """The result that an answer with this code means; ERROR for an unknown code, as it may have run."""
        return ATTEMPT_RESULT_BY_CODE.get(code, AttemptResult.ERROR)


@dataclass(slots=True, eq=False)
class LoadOrder(Stream):
    """An order to load copies of a function; with `copies` 0, a query for their number."""

    function: str = ""
    copies: int = 0
    begin_by_ms: float = math.inf  # on the monotonic clock; the order may not be sent later

    def is_expired(self) -> bool:
        """Whether it is too late to begin to write it; a query never expires."""
        begin_by_ms = min(self.begin_by_ms, self.began_ms + LOAD_ORDER_WAIT_MS)
        return self.is_new_work and monotonic_ms() >= begin_by_ms

    @property
    def is_new_work(self) -> bool:
        """Whether it orders copies, rather than querying their number."""
        return self.copies > 0

    def estimated_size(self) -> int:
        """About how many bytes its frame will have."""
        return frames.APPROXIMATE_HEADER_BYTES

    def frame(self) -> bytes:
        """Its frame."""
        return frames.load(self.id, self.function, self.copies)

    def result_of(self, code: int) -> AttemptResult:
        """The result that an answer with this code means."""
        return LOAD_ORDER_RESULT_BY_CODE.get(code, AttemptResult.ERROR)


def parse_count(text: str | None) -> int:
    """Parse a number in an answer's field; 0 where it is absent or not a number of at most 9 digits."""
    return int(text) if text and text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS else 0
