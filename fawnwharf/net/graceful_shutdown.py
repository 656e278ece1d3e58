"""The orderly end after SIGTERM: late arrivals, the accept queue, each connection's half-close."""

from typing import TYPE_CHECKING

from fawnwharf import interface as io
from fawnwharf.interface import Settings
from fawnwharf.net import connection
from fawnwharf.net.calls import TTL_TOLERANCE
from fawnwharf.net.clients import MESSAGE_TIMEOUT_MS, ClientConnection
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.idle_connections import MIN_SILENT_AGE_MS
from fawnwharf.net.timer_wheel import monotonic_ms

if TYPE_CHECKING:
    from fawnwharf.net.front_end import FrontEnd

LATE_ARRIVAL_MS = 800.0  # after SIGTERM, connections and requests keep coming for 0.6 s
SCAN_MS = 20.0  # pace of the look after connections that have fallen idle
MIN_LIMIT_MS = 20_000.0  # for readers that are slow, and for a hand-over to another process
MARGIN_MS = 500.0  # coarse timers and long turns
# The system ends the process no earlier than so long after SIGTERM: the longest time that a class gives up
# after, taken as `KILL_DEADLINE_MOST_MS` where it is longer, and `KILL_AFTER_MS`.
MAX_KILL_DEADLINE_MS, KILL_AFTER_MS = 3_000.0, 700.0
ANSWER_MARGIN_MS = 200.0  # before that, for a long turn and the way to the client
STALLED_MS = 1_000.0  # a peer whose system took nothing of its answer for so long does not read it
LIMIT = "leaving"  # who sets the limit of calls taken


def limit_ms(settings: Settings) -> float:
    """The longest that an end may take, whatever is open: every request that was read has its answer by then.

    A request read in the last moment of the late arrivals has its whole time; one that had only begun has the
    time of a message in pieces, and is refused once it is whole."""
    longest = max((spec.deadline_ms for spec in settings.classes.values()), default=0.0)
    of_requests = max(TTL_TOLERANCE * longest, MESSAGE_TIMEOUT_MS)
    return max(MIN_LIMIT_MS, LATE_ARRIVAL_MS + of_requests + connection.LINGER_MS + MARGIN_MS)


def answer_within_ms(settings: Settings) -> float:
    """How long after SIGTERM every request has its final answer: before the system may end the process."""
    longest_ms = max((spec.deadline_ms for spec in settings.classes.values()), default=0.0)
    return min(longest_ms, MAX_KILL_DEADLINE_MS) + KILL_AFTER_MS - ANSWER_MARGIN_MS


class GracefulShutdown:
    """Ends a front end: serves on until late arrivals are in, then ends each connection as it falls idle.

    In order: all is accepted and served for `LATE_ARRIVALS_MS`. Then the accept queue is emptied and the
    listener closed, new calls are refused, and a connection on which nothing is open, begun, unread or unsent
    gets a half-close, after which it is read until its peer ends it, for a bounded time. The loop stops when
    no connection is left. While another process has this one's place, connections go to it instead."""

    def __init__(self, front: "FrontEnd") -> None:
        self._front = front
        self._since_ms = monotonic_ms()
        self._limit_ms = limit_ms(front.deployment.settings)
        self._refusing = False
        front.loop.enqueue(io.ShutdownStarted(answer_within_ms(front.deployment.settings)))
        self._unsent: dict[
            ClientConnection, tuple[int, float]
        ] = {}  # bytes at the last change, and when that was

    def look(self) -> None:
        """One look, and the next one in a while; the loop stops once all is done."""
        since_ms = monotonic_ms() - self._since_ms
        if since_ms > self._limit_ms:
            self._front.loop.running = False
            return
        # First, as a fault in this look must not be the last one.
        self._front.loop.timers.after(SCAN_MS, self.look)
        if self._front.replaced:
            done = not self._busy()
        else:
            done = since_ms > LATE_ARRIVAL_MS and self._end_connections() and not self._busy()
        if done:
            self._front.loop.running = False

    def _busy(self) -> bool:
        """Whether anybody is still to be answered or given to another process."""
        front = self._front
        if front.requests.open or front.client_port.has_unwritten():
            return True
        return bool(front.extension and front.extension.busy) or bool(
            front.admin and front.admin.has_handoff_in_progress
        )

    def _end_connections(self) -> bool:
        """Whether none is left, neither in the accept queue nor here."""
        front = self._front
        # The listener may still go to another process.
        if front.admin and front.admin.has_handoff_in_progress:
            return False
        if not self._refusing:
            self._refusing = True
            front.limit_calls(LIMIT, 0.0)
        closed = front.client_port.close_listener()
        for client in list(front.client_port.clients):
            if self._ended_with(client):
                client.connection.finish(EndReason.STOPPED)
                client.connection.flush()  # at once: nothing may be read between the look and the half-close
        return closed and not front.client_port.clients

    def _ended_with(self, client: ClientConnection) -> bool:
        """Whether a half-close costs nobody an answer: a request that crosses it is sent again."""
        link = client.connection
        if not client.idle or client.begun or link.finishing:
            return False
        if not client.spoke and monotonic_ms() - link.used_ms < MIN_SILENT_AGE_MS:
            return False
        return link.unread() is None and not self._is_being_sent(client)

    def _is_being_sent(self, client: ClientConnection) -> bool:
        """Whether the system still holds bytes for this peer, and the peer takes some now and then."""
        unsent, now = client.connection.unsent(), monotonic_ms()
        before, changed_ms = self._unsent.get(client, (None, now))
        if unsent != before:
            changed_ms = now
            self._unsent[client] = (unsent, now)
        return unsent > 0 and now - changed_ms < STALLED_MS
