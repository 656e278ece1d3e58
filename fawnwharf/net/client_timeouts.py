"""How long a client connection may be silent, or keep a message incomplete. No I/O."""

# A peer must get an answer or a close within 3 s of connecting; a client's bytes arrive within a round trip.
MESSAGE_TIMEOUT_MS = 2_300.0  # for the first message, and for the rest of a partial message
OVERSIZED_TIMEOUT_MS = 6_000.0  # for the rest of an oversized message, which was rejected by its header
# A connection that has sent no message yet is not closed to make capacity before it is this old.
MIN_SILENT_MS = 50.0
# A connection with a partial message is closed last, and only if nothing has arrived for this long. That is
# more than a round trip, and short enough that partial messages on all connections don't block new clients.
PARTIAL_MESSAGE_MS = 100.0


class MessageTimeouts:
    """Decides whether a first or partial message is overdue. Times are on the monotonic clock."""

    def __init__(self, now_ms: float) -> None:
        """The client has connected now."""
        self.has_sent = False  # a complete message has been received
        self.start_ms = now_ms  # when the client connected, or when a partial message began

    def received(self, now_ms: float, *, completes_message: bool, continues_message: bool) -> None:
        """Bytes were received, which complete or continue a message."""
        begins_message = completes_message or (self.has_sent and not continues_message)
        if begins_message:
            self.start_ms = now_ms
        self.has_sent = self.has_sent or completes_message

    def may_be_released(self, unused_ms: float, has_partial_message: bool) -> bool:
        """Whether a connection that was not used for so long may be closed to make capacity."""
        if has_partial_message:
            return unused_ms > PARTIAL_MESSAGE_MS
        return self.has_sent or unused_ms > MIN_SILENT_MS

    def is_overdue(self, now_ms: float, has_partial_message: bool, is_oversized: bool) -> bool:
        """Whether the first message, or the rest of a partial one, has taken too long."""
        if self.has_sent and not has_partial_message:
            return False
        timeout_ms = OVERSIZED_TIMEOUT_MS if is_oversized else MESSAGE_TIMEOUT_MS
        return now_ms - self.start_ms > timeout_ms
