"""What is sent to a scorer and gets one end: attempts and orders, and what their answers tell."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

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
# An order to load that could not leave for so long does not leave any more: the decisions count it against
# the ration from when they gave it, a scorer from when it comes.
LOAD_ORDER_WAIT_MS = 100.0
LOAD_ORDER_RESULT_BY_CODE = {frames.OK: AttemptResult.GOOD, frames.FULL: AttemptResult.FULL}


@dataclass(slots=True)
class Answer:
    ending: AttemptResult
    body: bytes
    warmth: Warmth
    crowd: int
    copies: int


@dataclass(slots=True, eq=False)
class Stream:
    """Something sent to a scorer that gets one end: by an answer or by an End."""

    worker: int
    ended: Callable[["Stream", EndReason | None, Answer | None], None]
    began_ms: float = field(default_factory=monotonic_ms, init=False)
    link: "ScorerConnection | None" = field(default=None, init=False)
    piece: WriteBuffer | None = field(default=None, init=False)
    timer: Timer | None = field(default=None, init=False)
    wait_timer: Timer | None = field(default=None, init=False)  # set while it waits for a connection
    over: bool = field(default=False, init=False)
    id: bytes = field(default=b"", kw_only=True)

    @property
    def begun(self) -> bool:  # some of its bytes may have arrived
        return self.piece is not None and self.piece.begun

    @property
    def whole(self) -> bool:  # all of them may have
        return self.piece is not None and self.piece.whole

    def wait_no_longer(self) -> None:
        """It waits for no connection any more."""
        if self.wait_timer:
            self.wait_timer.cancel()
        self.wait_timer = None

    def too_late(self) -> bool:
        """Whether it must not begin to be written any more."""
        return False


@dataclass(slots=True, eq=False)
class Attempt(Stream):
    kind: str = ""
    function: str = ""
    token: str = ""
    body: bytes = b""
    deadline_ms: float = 0.0  # of the monotonic clock, as the next
    begin_by_ms: float = math.inf  # it may not leave later, however long the client waits

    is_new_work = True

    def too_late(self) -> bool:
        """Whether it must not begin to be written any more."""
        return monotonic_ms() >= min(self.deadline_ms, self.begin_by_ms)

    def rough_size(self) -> int:
        """About how many bytes its frame will have."""
        return frames.APPROXIMATE_HEADER_BYTES + len(self.token) + len(self.body)

    def frame(self) -> bytes:
        left = self.deadline_ms - monotonic_ms()
        return frames.run(self.id, self.kind, self.function, left, self.token, self.body)

    def ending(self, code: int) -> AttemptResult:
        return ATTEMPT_RESULT_BY_CODE.get(code, AttemptResult.ERROR)  # what it can't read may have run


@dataclass(slots=True, eq=False)
class LoadOrder(Stream):
    function: str = ""
    copies: int = 0

    def too_late(self) -> bool:
        """Whether it must not begin to be written any more, as the ration counts it from when it was made."""
        return self.is_new_work and monotonic_ms() >= self.began_ms + LOAD_ORDER_WAIT_MS

    @property
    def is_new_work(self) -> bool:  # a question is none
        return self.copies > 0

    def rough_size(self) -> int:
        """About how many bytes its frame will have."""
        return frames.APPROXIMATE_HEADER_BYTES

    def frame(self) -> bytes:
        return frames.load(self.id, self.function, self.copies)

    def ending(self, code: int) -> AttemptResult:
        return LOAD_ORDER_RESULT_BY_CODE.get(code, AttemptResult.ERROR)


def parse_count(text: str | None) -> int:
    return int(text) if text and text.isascii() and text.isdigit() and len(text) < 10 else 0
