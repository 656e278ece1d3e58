"""The graceful shutdown after SIGTERM: late arrivals, the accept queue and the end of each connection."""

from typing import TYPE_CHECKING

from fawnwharf import interface as io
from fawnwharf.interface import Settings
from fawnwharf.net import connection
from fawnwharf.net.calls import TTL_TOLERANCE
from fawnwharf.net.client_timeouts import MESSAGE_TIMEOUT_MS
from fawnwharf.net.clients import ClientConnection
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.idle_connections import MIN_SILENT_AGE_MS
from fawnwharf.net.timer_wheel import monotonic_ms

if TYPE_CHECKING:
    from fawnwharf.net.front_end import FrontEnd

LATE_ARRIVAL_MS = 800.0  # connections and requests keep arriving for 600 ms after SIGTERM
SCAN_MS = 20.0  # between two scans for connections that have become idle
MIN_LIMIT_MS = 20_000.0  # allows for clients that read slowly, and for a hand-off to another process
MARGIN_MS = 500.0  # allows for coarse timers and long iterations
# The process is killed no earlier after SIGTERM than the longest deadline of a class, of which at most
# MAX_KILL_DEADLINE_MS count, plus KILL_AFTER_MS.
MAX_KILL_DEADLINE_MS = 3_000.0
KILL_AFTER_MS = 700.0
ANSWER_MARGIN_MS = 200.0  # before the kill, for a long iteration and the transfer to the client
STALLED_MS = 1_000.0  # a peer that has acknowledged no byte of its answer for this long does not read it
CALL_LIMIT_NAME = "shutdown"  # names this component's limit of admitted calls


def limit_ms(settings: Settings) -> float:
    """Return the longest time that the shutdown may take, in milliseconds.

    Every request that was read has its answer by then. A request that is read as the last late arrival still
    has its full deadline. A partial request has the timeout of an incomplete message, and is rejected once it
    is complete.
    """
    longest_ms = max((spec.deadline_ms for spec in settings.classes.values()), default=0.0)
    requests_ms = max(TTL_TOLERANCE * longest_ms, MESSAGE_TIMEOUT_MS)
    return max(MIN_LIMIT_MS, LATE_ARRIVAL_MS + requests_ms + connection.LINGER_MS + MARGIN_MS)


def answer_within_ms(settings: Settings) -> float:
    """Return how many milliseconds after SIGTERM every request must have its final answer.

    This is before the system may kill the process.
    """
    longest_ms = max((spec.deadline_ms for spec in settings.classes.values()), default=0.0)
    return min(longest_ms, MAX_KILL_DEADLINE_MS) + KILL_AFTER_MS - ANSWER_MARGIN_MS


class GracefulShutdown:
    """Shuts down a front end: serves late arrivals, then ends each connection as it becomes idle.

    All connections and requests are accepted for `LATE_ARRIVAL_MS`. Then the accept queue is emptied, the
    listener is closed and new calls are rejected. A connection is half-closed once it has no open or partial
    request and no unread or unsent bytes. It is still read, for a limited time, until its peer ends it. The
    loop stops when all connections have ended. If another process replaces this one, connections are handed
    off to it instead.
    """

    def __init__(self, front: "FrontEnd") -> None:
        """Announce the shutdown to the router; `run_scan` starts it."""
        self._front = front
        self._since_ms = monotonic_ms()
        self._limit_ms = limit_ms(front.deployment.settings)
        self._rejects_calls = False
        front.loop.enqueue(io.ShutdownStarted(answer_within_ms(front.deployment.settings)))
        # By connection: the number of unsent bytes, and when it last changed.
        self._unsent: dict[ClientConnection, tuple[int, float]] = {}

    def run_scan(self) -> None:
        """Scan once and schedule the next scan; stop the loop when all is done or the limit is reached."""
        elapsed_ms = monotonic_ms() - self._since_ms
        if elapsed_ms > self._limit_ms:
            self._front.loop.running = False
            return
        # Scheduled first, because an error in this scan must not prevent the next one.
        self._front.loop.timers.after(SCAN_MS, self.run_scan)
        if self._front.replaced:
            done = not self._is_busy()
        else:
            done = elapsed_ms > LATE_ARRIVAL_MS and self._end_connections() and not self._is_busy()
        if done:
            self._front.loop.running = False

    def _is_busy(self) -> bool:
        """Whether any client still has to be answered or handed off to another process."""
        front = self._front
        if front.requests.open or front.client_port.has_unwritten():
            return True
        return bool(front.extension and front.extension.busy) or bool(
            front.admin and front.admin.has_handoff_in_progress
        )

    def _end_connections(self) -> bool:
        """End the connections that may end; return whether none remains, accepted or in the accept queue."""
        front = self._front
        # The listener may still be handed off to another process.
        if front.admin and front.admin.has_handoff_in_progress:
            return False
        if not self._rejects_calls:
            self._rejects_calls = True
            front.limit_calls(CALL_LIMIT_NAME, 0.0)
        closed = front.client_port.close_listener()
        for client in list(front.client_port.clients):
            if self._may_end(client):
                client.connection.finish(EndReason.STOPPED)
                client.connection.flush()  # now: no request may be read between the check and the half-close
        return closed and not front.client_port.clients

    def _may_end(self, client: ClientConnection) -> bool:
        """Whether a half-close loses no answer; a request that crosses it is retried by the client."""
        connection = client.connection
        if not client.idle or client.has_partial_message or connection.finishing:
            return False
        if not client.has_sent and monotonic_ms() - connection.used_ms < MIN_SILENT_AGE_MS:
            return False
        return connection.unread() is None and not self._is_being_sent(client)

    def _is_being_sent(self, client: ClientConnection) -> bool:
        """Whether the system has unsent bytes for this peer, and the peer has received some recently."""
        unsent_bytes = client.connection.unsent()
        now_ms = monotonic_ms()
        previous_bytes, changed_ms = self._unsent.get(client, (None, now_ms))
        if unsent_bytes != previous_bytes:
            changed_ms = now_ms
            self._unsent[client] = (unsent_bytes, now_ms)
        return unsent_bytes > 0 and now_ms - changed_ms < STALLED_MS
