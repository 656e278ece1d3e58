"""Clients: their connections, the translation between Thrift and calls, and the port that owns them."""

import math
import socket

from fawnwharf.config import Address
from fawnwharf.interface import ClassSpec
from fawnwharf.net import thrift
from fawnwharf.net.acceptor import Acceptor
from fawnwharf.net.calls import call_from
from fawnwharf.net.connection import Connection
from fawnwharf.net.connection_handoff import HandedOffConnection
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.event_loop import EventLoop, ReadPriority
from fawnwharf.net.idle_connections import IdleConnectionReleaser
from fawnwharf.net.listener import open_listener
from fawnwharf.net.log_writer import LogWriter
from fawnwharf.net.requests import Failed, Outcome, Rejected, RequestTable, Succeeded
from fawnwharf.net.slow_clients import SlowClients
from fawnwharf.net.timer_wheel import monotonic_ms

MAX_READ_BYTES = 16 * 1024  # bytes of one client in a turn: the smallest messages in it take some 10 ms
MAX_OPEN_REQUESTS = 32  # requests open on one connection
IDLE_TIMEOUT_MS = (
    30_000.0  # clients close after 4 s; one that asked and is still here holds its connection for good
)
# A peer is owed an answer or a close within 3 s of connecting; what a client sends comes within a round trip.
MESSAGE_TIMEOUT_MS = 2_300.0  # for a first message, and for the rest of one that has begun
OVERSIZED_TIMEOUT_MS = 6_000.0  # for the rest of an oversized one, which was refused when its head came
MIN_SILENT_MS = 50.0  # where room is made, one that said nothing yet is spared at first: it may be about to
# One with half a message is ended last, and only if nothing came for so long: more than a round trip, and
# short enough that half messages which hold all connections keep nobody out for long.
PARTIAL_MESSAGE_MS = 100.0
# A client sends again what crosses a close within 50 ms; the rest is for the way and for ticks.
IDLE_LINGER_MS = 60.0
MAX_RELEASE_READS = 4  # of an idle connection, before it is ended
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # with these it is dropped: 32 of the longest answers


class ClientConnection:
    """One client connection and the requests open on it, by sequence number."""

    def __init__(self, port: "ClientPort", sock: socket.socket) -> None:
        self.port = port
        self.open: dict[int, str] = {}
        self.gone = False  # the client has ended its output: nothing is begun for it any more
        self.spoke = False  # a whole message has come
        self._age_ms = 0.0  # how long the message that is acted on has waited to be read
        self._reader = thrift.FrameReader()
        self._since_ms = monotonic_ms()  # it connected, or the message that is not whole yet began
        self.connection = Connection.accepted(
            port.loop, sock, self, MAX_READ_BYTES, order=self._order, half_close=True
        )

    def _order(self) -> ReadPriority:
        return ReadPriority.ACTIVE if self.open else ReadPriority.IDLE

    def on_up(self) -> None:
        pass

    def on_data(self, data: bytes) -> None:
        before = self._reader.waits
        items = self._reader.feed(data)
        if items or not before:
            self._since_ms = monotonic_ms() if items or self.spoke else self._since_ms
        self.spoke = self.spoke or bool(items)
        if self.connection.input_full and self.open:
            self.port.slow_clients.look_later(self)
        withdrawn = {item.seqid for item in items if isinstance(item, thrift.Withdraw)}
        for place, item in enumerate(items):
            is_newest = place == len(items) - 1 and not self._reader.waits
            self._age_ms = self.connection.age_ms if is_newest else self.connection.oldest_age_ms
            try:
                end = self._take(item, withdrawn)
            except Exception:  # a fault here costs the connection, but no request on it its answer
                self.port.loop.log_exception("reading")
                end = EndReason.BAD_BYTES
            if end is not None:
                self._end_amid(items[place:], end)
                return
        if self.open:  # also behind what was no request: an attempt may wait for its connection
            self.check()

    def _take(
        self, item: thrift.Message | thrift.MalformedMessageError, withdrawn: set[int]
    ) -> EndReason | None:
        """Act on one message; why the connection has to end, where it has to. `withdrawn`: requests whose
        withdrawal was read along with it."""
        if isinstance(item, thrift.MalformedMessageError):
            return self._malformed(item)
        if isinstance(item, thrift.Handle):
            return self._handle(item, withdrawn)
        if isinstance(item, thrift.Withdraw):
            self._withdraw(item.seqid)
        else:
            self._write(thrift.answer("status", item.seqid, b"", {}, self.port.accepts_requests))
        return None

    def _withdraw(self, seqid: int) -> None:
        if (key := self.open.pop(seqid, None)) is not None:
            self.port.requests.withdraw(key)

    def _malformed(self, error: thrift.MalformedMessageError) -> EndReason | None:
        self.port.log(f"client: {error}", "clients")
        # An exception under an open request's number would be that request's answer.
        if error.seqid is None or error.seqid in self.open:
            return EndReason.BAD_BYTES
        self._write(thrift.application_exception(error.seqid, str(error), error.kind))
        return None

    def _end_amid(self, items: list[thrift.Message | thrift.MalformedMessageError], end: EndReason) -> None:
        """End the connection at the first of these messages. Requests that were read whole after it are
        failed too: they were taken, and only their bytes' neighbour was bad."""
        for item in items:
            if isinstance(item, thrift.Withdraw):
                self._withdraw(item.seqid)
        failed = set(self.open)
        self.fail_open()
        for item in items:
            if isinstance(item, thrift.Handle) and item.seqid not in failed:
                failed.add(item.seqid)
                self._reply(item.seqid, Failed())
        self._finish(end)

    def _finish(self, end: EndReason) -> None:
        """End the connection; what is open on it is failed, so that each request has its answer."""
        self.fail_open()
        self.connection.finish(end)

    def fail_open(self) -> None:
        """Give each open request its final answer: failed."""
        for seqid, key in list(self.open.items()):
            self.port.requests.withdraw(key)
            self._reply(seqid, Failed())

    # --- the client's end -----------------------------------------------------------------------

    def check(self) -> None:
        """Withdraw what is open where the client has ended its output behind bytes that are unread yet.

        Costs nothing where this turn's reads have seen all that came."""
        if self.connection.may_have_ended() and self.connection.peer_ended():
            self.on_half_close()

    def on_half_close(self) -> None:
        """A client that ends its output may have closed, or may still read: nothing is begun for it any more,
        and what is open gets its one final answer now."""
        self.gone = True
        self.fail_open()

    # --- where nothing is open ------------------------------------------------------------------

    @property
    def idle(self) -> bool:
        """Whether nothing is open on it or unwritten, and it has not begun to end."""
        connection = self.connection
        return not (self.open or connection.waiting_bytes or connection.closed or connection.finishing)

    def state(self) -> tuple[bytes, int]:
        return self._reader.state()

    def resume(self, handed: HandedOffConnection) -> None:
        """Go on where another process was with this connection."""
        self._reader.resume(handed.partial, handed.skip)
        self.spoke = handed.spoke
        if handed.unwritten:
            self.connection.write(handed.unwritten)

    @property
    def begun(self) -> bool:
        """Whether a message has come in part."""
        return self._reader.waits

    def may_give_way(self, now_ms: float) -> bool:
        """Whether it may be ended for another's sake: nothing that it sends is likely to be under way."""
        unused_ms = now_ms - self.connection.used_ms
        if self.begun:
            return unused_ms > PARTIAL_MESSAGE_MS
        return self.spoke or unused_ms > MIN_SILENT_MS

    def end_overdue(self) -> None:
        """End one that has said nothing, or half a message, for too long, unless the rest lies unread."""
        if self._read_all() and self.overdue(monotonic_ms()):
            self._finish(EndReason.SILENT)

    def _read_all(self) -> bool:
        """Read and handle what has come; whether that is all, and the connection is still there."""
        if self.port.paused:
            return False  # what lies unread is for another process
        for _ in range(MAX_RELEASE_READS):
            if self.connection.read_now():
                return not (self.connection.closed or self.connection.finishing)
        return False

    def release(self) -> bool:
        """End it in order, if there is nothing to do on it once all that came is read; whether it ends.

        What comes after that read crosses the close, and is thrown away: the client sends it again."""
        used_ms = self.connection.used_ms
        if not self._read_all() or self.connection.used_ms != used_ms or not self.idle:
            return self.connection.closed
        self.connection.finish(EndReason.IDLE if self.spoke else EndReason.SILENT, IDLE_LINGER_MS)
        return True

    def overdue(self, now_ms: float) -> bool:
        """Guards descriptors against peers that say nothing, or half a message."""
        if self.open or (self.spoke and not self._reader.waits):
            return False
        most = OVERSIZED_TIMEOUT_MS if self._reader.skips else MESSAGE_TIMEOUT_MS
        return now_ms - self._since_ms > most

    def _handle(self, message: thrift.Handle, withdrawn: set[int]) -> EndReason | None:
        seqid = message.seqid
        try:
            if seqid in self.open:
                raise thrift.MalformedMessageError("a second request under an open number")
            if len(self.open) >= MAX_OPEN_REQUESTS:
                raise thrift.MalformedMessageError("too many open requests")
            parsed = call_from(message, self.port.classes, self.port.tenants)
        except thrift.MalformedMessageError as error:
            error.seqid = seqid
            return self._malformed(error)
        self.check()
        if self.gone:
            if seqid not in withdrawn:
                self._reply(seqid, Failed())
            return None
        call = parsed.open(self._age_ms, lambda outcome: self._reply(seqid, outcome), self.check)
        if (key := self.port.requests.take(call)) is not None:
            self.open[seqid] = key
        return None

    def _reply(self, seqid: int, outcome: Outcome) -> None:
        self.open.pop(seqid, None)
        if isinstance(outcome, Succeeded):
            self._write(thrift.answer("handle", seqid, outcome.body, {}, True))
        elif isinstance(outcome, Rejected):
            wait = math.ceil(max(0.0, outcome.hold_off_ms))
            self._write(thrift.throttled(seqid, {"pushback": str(wait)}))
        elif isinstance(outcome, Failed):
            self._write(thrift.broken(seqid, {}))

    def _write(self, data: bytes) -> None:
        self.connection.write(data)

    def on_flushed(self) -> None:
        """After the connection's own write of this turn: what is left is what the client does not read."""
        if self.connection.waiting_bytes > MAX_UNSENT_BYTES:
            self.connection.close(EndReason.STUFFED)
            return
        self.port.slow_clients.regulate(self)
        if not self.connection.reads:
            self.port.slow_clients.shed()

    def on_end(self, end: EndReason) -> None:
        keys, self.open = list(self.open.values()), {}
        for key in keys:
            self.port.requests.withdraw(key)
        self.port.ended(self)


class ClientPort:
    """Owns the listener and the client connections, within a share of the descriptors."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        table: RequestTable,
        classes: dict[str, ClassSpec],
        tenants: frozenset[str],
        most: int,
        log: LogWriter,
        shared: bool = False,
        listener: socket.socket | None = None,
    ) -> None:
        """`shared`: another process may listen on the same address, to take this one's place. `listener`: one
        that listens already, taken over from another process; nothing is accepted until `accept` says so."""
        self.loop, self.requests, self.log = loop, table, log
        self.classes, self.tenants = classes, tenants
        self.ready = False
        self.not_ready_reasons: set[str] = set()  # subsystems that have to know more before it may be ready
        self.clients: dict[ClientConnection, None] = {}
        self.max_connections = most
        self._acceptor = Acceptor(
            loop, listener or open_listener(address, shared), self._admit, self._room, log
        )
        self.address: Address = self.listener.getsockname()[:2]
        self.slow_clients = SlowClients(loop, self.clients)
        self._room_maker = IdleConnectionReleaser(loop, self.clients)
        if listener is None:
            self.set_accepting(True)

    @property
    def paused(self) -> bool:
        """Whether nothing is read, as what comes is another process's."""
        return self.slow_clients.paused

    @property
    def listener(self) -> socket.socket | None:
        """The listening socket; None once the port is closed."""
        return self._acceptor.socket

    @property
    def accepts_requests(self) -> bool:
        return self.ready and not self.not_ready_reasons

    # --- new connections and room for them ------------------------------------------------------

    def set_accepting(self, on: bool) -> None:
        """Accept new connections, or leave them to whoever else has the listener."""
        self._acceptor.accept(on)

    def _admit(self, sock: socket.socket, waiting_ms: float) -> None:
        client = ClientConnection(self, sock)
        client.connection.assume_unread_since(waiting_ms)
        self.clients[client] = None

    def _room(self) -> int:
        """How many connections to accept now: never more than half of all, so that a first request can be
        read. Where there is no room, some is made, which takes until the connections have lingered."""
        if len(self.clients) >= self.max_connections:
            self._room_maker.make(self.max_connections)
        free = self.max_connections - len(self.clients)
        return max(0, min(free, max(1, self.max_connections // 2)))

    # --- to and from another process ------------------------------------------------------------

    def hand_off(self, client: ClientConnection) -> HandedOffConnection:
        """A connection for another process, on which nothing is open; this port has it no more."""
        del self.clients[client]
        empty_ms = client.connection.empty_ms
        sock, unwritten = client.connection.detach()
        partial, skip = client.state()
        return HandedOffConnection(sock, partial, skip, client.spoke, unwritten, empty_ms)

    def take_over(self, handed: HandedOffConnection) -> None:
        """Go on with a connection that another process had."""
        try:
            client = ClientConnection(self, handed.sock)
        except OSError as error:
            self.log(f"connection handed off by another process not usable: {error}")
            handed.sock.close()
            return
        self.clients[client] = None
        if handed.empty_ms is not None:
            client.connection.assume_unread_since(handed.empty_ms)
        client.resume(handed)
        self.slow_clients.regulate(client)

    def set_paused(self, on: bool) -> None:
        """Read no further on any connection, or go on: what lies unread is for another process."""
        self.slow_clients.pause(on)

    def has_unwritten(self) -> bool:
        return any(client.connection.waiting_bytes for client in self.clients)

    # --- ends -----------------------------------------------------------------------------------

    def end_idle(self) -> None:
        """End every connection on which nothing is open and nothing has begun to arrive."""
        for client in [client for client in self.clients if client.idle and not client.begun]:
            if self.loop.batch_full:  # by requests that were read just now: the rest at the next look
                return
            client.release()

    def close_listener(self) -> bool:
        """Accept all that the system's queue holds and stop listening; False while some is left there."""
        return self._acceptor.drain()

    def ended(self, client: ClientConnection) -> None:
        self.clients.pop(client, None)
        self._acceptor.go_on()

    def run_maintenance(self) -> None:
        """End connections that have been idle, silent or stuck for too long."""
        now = monotonic_ms()
        self._room_maker.forget()
        for client in list(self.clients):
            if self.loop.batch_full:  # by requests that were read just now: the rest at the next look
                return
            unused = not client.open and now - client.connection.used_ms > IDLE_TIMEOUT_MS
            if unused and client.connection.waiting_bytes:
                client.connection.close(EndReason.STUFFED)
            elif unused:
                client.release()
            elif client.overdue(now):
                client.end_overdue()

    def close(self) -> None:
        self._acceptor.close()
        for client in list(self.clients):
            if client.open:  # the loop was stopped before its time: each request has its answer all the same
                client.fail_open()
                client.connection.flush()
            client.connection.close(EndReason.STOPPED)
