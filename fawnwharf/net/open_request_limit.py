"""How many requests a client had open, by its own count, when it sent a further one. No I/O.

PROTOCOL, "Clients to front ends": "Up to 32 requests may be open on one connection". For the client a request
is open until it has read the answer. So bytes that had arrived when an answer was written were sent while
the request was still open.
"""

from collections import deque
from dataclasses import dataclass

MAX_OPEN_REQUESTS = 32  # on one connection
# A client that stops waiting at the end of its time counts the request as closed. Its clock, the network and
# the timers may differ by this much.
EXPIRY_TOLERANCE_MS = 100.0


@dataclass(frozen=True, slots=True)
class _WrittenAnswer:
    """An answer that the client can have read only after it had sent `sent_bytes` of its stream."""

    sent_bytes: int
    waits_until_ms: float


class OpenRequestLimit:
    """Counts the open requests of one connection as its client does.

    Positions are bytes from the beginning of the client's stream. Times are on the monotonic clock.
    """

    def __init__(self) -> None:
        self._open: dict[int, float] = {}  # until when the client waits, by sequence number
        self._unwritten: list[float] = []  # the same, of requests whose answer is not written yet
        self._written: deque[_WrittenAnswer] = deque()

    def opened(self, seqid: int, waits_until_ms: float) -> None:
        """A request was read whose client waits until this time."""
        self._open[seqid] = waits_until_ms

    def withdrawn(self, seqid: int) -> None:
        """The client no longer waits for a request."""
        self._open.pop(seqid, None)

    def answered(self, seqid: int) -> None:
        """The answer of a request is queued."""
        if (waits_until_ms := self._open.pop(seqid, None)) is not None:
            self._unwritten.append(waits_until_ms)

    @property
    def has_unwritten(self) -> bool:
        """Whether an answer is queued for which `writing` was not called yet."""
        return bool(self._unwritten)

    def writing(self, sent_bytes: int) -> None:
        """The queued answers are about to be written; the client has sent at least `sent_bytes` by now."""
        self._written.extend(_WrittenAnswer(sent_bytes, until_ms) for until_ms in self._unwritten)
        self._unwritten.clear()

    def is_exceeded(self, end_bytes: int, now_ms: float) -> bool:
        """Whether a request that ends at this position was sent while as many were open as are allowed.

        The positions of successive calls must not decrease.
        """
        while self._written and self._written[0].sent_bytes < end_bytes:
            self._written.popleft()
        unread = [answer.waits_until_ms for answer in self._written]
        waiting = [*self._open.values(), *self._unwritten, *unread]
        if len(waiting) < MAX_OPEN_REQUESTS:
            return False
        return sum(until_ms > now_ms + EXPIRY_TOLERANCE_MS for until_ms in waiting) >= MAX_OPEN_REQUESTS
