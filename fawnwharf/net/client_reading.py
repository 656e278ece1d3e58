"""Reads on at a client that has sent much, before its requests are answered or sent to scorers."""

from typing import TYPE_CHECKING

from fawnwharf.net.call_hold import CallHold
from fawnwharf.net.connection import PEER_CHECK_AFTER_MS
from fawnwharf.net.timer_wheel import monotonic_ms

if TYPE_CHECKING:
    from fawnwharf.net.clients import ClientConnection

# A connection with further requests behind a full read is read on in the same iteration, up to the largest
# requests that may be open on it, or this many messages.
MAX_READS_AHEAD, MAX_MESSAGES_AHEAD = 36, 64
CATCH_UP_CHECK_MS = 5.0
MAX_CATCH_UP_MS = 50.0  # an attempt may begin 100 ms after its client has gone


def _is_drained(client: "ClientConnection") -> bool:
    """Whether nothing is known to be unread or still to arrive."""
    return not (client.connection.input_full or client.has_partial_message)


def _may_run(_remaining_ms: float) -> bool:
    """A call that is held while its client's bytes are read may run at any time."""
    return True


class ClientReading:
    """Reads ahead on one connection, and holds its calls while bytes from before a stall are being read.

    A client that has closed its connection during the stall is known to have ended only behind its last byte,
    and those that did not fit into the receive buffer arrive as it is emptied.
    """

    def __init__(self) -> None:
        self.hold: CallHold | None = None  # set while it catches up after a stall
        self.messages_read = 0  # by the latest read
        self._is_reading = False
        self._catch_up_until_ms = 0.0

    def read_ahead(self, client: "ClientConnection") -> None:
        """Read on while each read is full: what a client sent at once is seen before it is answered."""
        if self._is_reading:
            return
        connection = client.connection
        self._is_reading = True
        messages_read = self.messages_read
        for _ in range(MAX_READS_AHEAD):
            is_full = connection.input_full and bool(client.open) and not client.is_skipping
            is_allowed = messages_read < MAX_MESSAGES_AHEAD and not client.port.loop.batch_full
            if not (is_full and is_allowed and connection.reads):
                break
            connection.read_once()
            messages_read += self.messages_read
        self._is_reading = False

    def note_age(self, client: "ClientConnection") -> None:
        """Hold the calls of this connection if bytes were read that are old, and more may be behind them."""
        is_old = client.connection.reads and client.connection.oldest_age_ms > PEER_CHECK_AFTER_MS
        if self.hold is not None or not is_old or _is_drained(client) or not client.port.begin_catch_up():
            return
        timers = client.port.loop.timers
        self.hold = CallHold(timers, _may_run)
        self._catch_up_until_ms = monotonic_ms() + MAX_CATCH_UP_MS
        timers.after(CATCH_UP_CHECK_MS, lambda: self._check(client))

    def _end(self, client: "ClientConnection") -> None:
        self.hold = None
        client.port.end_catch_up()

    def _check(self, client: "ClientConnection") -> None:
        """Run the held calls once everything was read, or after a while."""
        hold, connection = self.hold, client.connection
        if hold is None:
            return
        if connection.closed:
            self._end(client)
            return
        if connection.reads and not connection.finishing:
            connection.read_once()
            client.check_peer_ended()
        if _is_drained(client) or monotonic_ms() >= self._catch_up_until_ms:
            self._end(client)
            hold.run_all()
        else:
            client.port.loop.timers.after(CATCH_UP_CHECK_MS, lambda: self._check(client))
