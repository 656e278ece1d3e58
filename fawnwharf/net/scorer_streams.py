"""Streams, which are sent to a scorer and end exactly once: attempts and load orders, and their answers."""

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
    "init": Warmth.BEGAN_LOAD,
    "shared_init": Warmth.WAITED_FOR_LOAD,
    "init_error": Warmth.LOAD_FAILED,
}
ATTEMPT_RESULT_BY_CODE = {
    frames.OK: AttemptResult.GOOD,
    frames.MISS: AttemptResult.MISS,
    frames.FULL: AttemptResult.FULL,
    frames.EXPIRED: AttemptResult.NOT_SENT,
}
# A load order that could not be sent for this long is not sent any more: the router counts it against the
# load limit from when it was decided, a scorer from when it arrives.
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
    """Something sent to a scorer that ends exactly once: by an answer or for an `EndReason`.

    `scorer`: the number of the scorer; `ended`: called with the stream (of the caller's own type) and either
    the reason or the answer, the other being None; `began_ms`: creation time on the monotonic clock.
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
        """Whether some of its bytes were written, and may have arrived."""
        return self.buffer is not None and self.buffer.begun

    @property
    def complete(self) -> bool:
        """Whether all of its bytes were written, and may have arrived."""
        return self.buffer is not None and self.buffer.complete

    @property
    def is_new_work(self) -> bool:
        """Whether it gives the scorer work to do, so that it must not be sent to a draining one."""
        raise NotImplementedError

    def stop_waiting(self) -> None:
        """Stop the timer for the wait for a connection, if it runs."""
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
        """Its frame as of now."""
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
    deadline_ms: float = 0.0  # on the monotonic clock, as the next
    begin_by_ms: float = math.inf  # it may not be sent later, however long the client waits

    is_new_work = True

    def is_expired(self) -> bool:
        """Whether it is too late to begin to write it."""
        return monotonic_ms() >= min(self.deadline_ms, self.begin_by_ms)

    def estimated_size(self) -> int:
        """About how many bytes its frame will have."""
        return frames.APPROXIMATE_HEADER_BYTES + len(self.token) + len(self.body)

    def frame(self) -> bytes:
        """Its frame, with the time that remains now."""
        remaining_ms = self.deadline_ms - monotonic_ms()
        return frames.run(self.id, self.class_name, self.function, remaining_ms, self.token, self.body)

    def result_of(self, code: int) -> AttemptResult:
        """The result that an answer with this code means; with an unknown one, it may have run."""
        return ATTEMPT_RESULT_BY_CODE.get(code, AttemptResult.ERROR)


@dataclass(slots=True, eq=False)
class LoadOrder(Stream):
    """An order to load copies of a function, or with none, a query how many there are."""

    function: str = ""
    copies: int = 0
    begin_by_ms: float = math.inf  # on the monotonic clock; an order may not be sent later

    def is_expired(self) -> bool:
        """Whether it is too late to begin to write it, as the load limit counts it from its creation."""
        begin_by_ms = min(self.begin_by_ms, self.began_ms + LOAD_ORDER_WAIT_MS)
        return self.is_new_work and monotonic_ms() >= begin_by_ms

    @property
    def is_new_work(self) -> bool:
        """Whether it orders copies; a query does not."""
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
    """The number in a field of an answer; 0 where it is absent or not a number of at most nine digits."""
    return int(text) if text and text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS else 0
