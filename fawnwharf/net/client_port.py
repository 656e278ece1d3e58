"""The port that clients connect to: its listener, its connections and its connection limit."""

import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from fawnwharf.config import Address
from fawnwharf.interface import ClassSpec
from fawnwharf.net import thrift
from fawnwharf.net.acceptor import Acceptor
from fawnwharf.net.call_hold import CallHold
from fawnwharf.net.cause_log import CauseLog
from fawnwharf.net.client_calls import OpenCall, TableCall
from fawnwharf.net.clients import ClientConnection
from fawnwharf.net.connection_handoff import HandedOffConnection
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.idle_connections import IdleConnectionReleaser
from fawnwharf.net.listener import open_listener
from fawnwharf.net.log_writer import LogWriter
from fawnwharf.net.memory_shares import MemoryShares
from fawnwharf.net.open_request_limit import MAX_OPEN_REQUESTS
from fawnwharf.net.partial_messages import PartialMessages
from fawnwharf.net.request_ids import RequestContents
from fawnwharf.net.requests import Call, RequestTable
from fawnwharf.net.slow_clients import SlowClients
from fawnwharf.net.timer_wheel import monotonic_ms

# Clients normally close their idle connections after 4 s; this closes those of clients that do not.
IDLE_TIMEOUT_MS = 30_000.0
MAX_OPEN_BYTES = MAX_OPEN_REQUESTS * thrift.MAX_BODY_BYTES  # of the requests on one connection


def _no_remote_call(_seqid: int) -> None:
    """Default of `take_over` for a connection without remote calls."""


@dataclass(frozen=True, slots=True)
class ClientPortSettings:
    """The configuration of a client port.

    `address` is where it listens. `classes` has the known classes by name. `tenants` has the known tenants;
    if it is empty, any tenant is accepted. `max_connections` limits the simultaneous connections. `shared`
    allows another process to listen on the same address, to replace this one. `memory` limits what the bytes
    of clients take.
    """

    address: Address
    classes: dict[str, ClassSpec]
    tenants: frozenset[str]
    max_connections: int
    shared: bool = False
    memory: MemoryShares = field(default_factory=MemoryShares)


class ClientPort:
    """Owns the listener and the client connections, which may use a share of the descriptors."""

    def __init__(
        self,
        loop: EventLoop,
        settings: ClientPortSettings,
        requests: RequestTable,
        log: LogWriter,
        listener: socket.socket | None = None,
    ) -> None:
        """Listen on the configured address; raises OSError if it is not available.

        `listener` is an open listener taken over from another process; no connection is accepted from it
        before `set_accepting` is called.
        """
        self.loop = loop
        self.requests = requests
        self.log = log
        self.causes = CauseLog(log)
        self.classes = settings.classes
        self.tenants = settings.tenants
        self.ready = False
        self.not_ready_reasons: set[str] = set()  # names of subsystems that are not ready for requests
        self.clients: dict[ClientConnection, None] = {}
        self.max_connections = settings.max_connections
        self.contents = RequestContents()
        opened = listener or open_listener(settings.address, settings.shared)
        self._acceptor = Acceptor(loop, opened, self._admit, self._capacity, log)
        self.address: Address = opened.getsockname()[:2]
        self.slow_clients = SlowClients(loop, self.clients, settings.memory.unsent_bytes)
        self.partial_messages = PartialMessages(loop, self.causes, settings.memory.partial_bytes)
        self._idle_releaser = IdleConnectionReleaser(loop, self.clients)
        self._hold: CallHold | None = None  # set while calls are held
        self._catching_up = 0  # connections
        self._max_catching_up = max(1, settings.memory.body_bytes // (2 * MAX_OPEN_BYTES))
        if listener is None:
            self.set_accepting(True)

    @property
    def paused(self) -> bool:
        """Whether reading is paused, because unread bytes belong to another process."""
        return self.slow_clients.paused

    @property
    def listener(self) -> socket.socket | None:
        """The listening socket; None once the port is closed."""
        return self._acceptor.listener

    @property
    def accepts_requests(self) -> bool:
        """Whether readiness checks are answered positively."""
        return self.ready and not self.not_ready_reasons

    # --- new connections and the capacity for them ----------------------------------------------

    def set_accepting(self, on: bool) -> None:
        """Accept new connections, or leave them to another process that has the same listener."""
        self._acceptor.set_accepting(on)

    def _admit(self, sock: socket.socket, waiting_since_ms: float) -> None:
        client = ClientConnection(self, sock)
        client.connection.assume_unread_since(waiting_since_ms)
        self.clients[client] = None

    def _capacity(self) -> int:
        """Return how many connections to accept now.

        At most half of the limit, so that the first requests of accepted connections can be read meanwhile.
        At the limit, idle connections are closed; their capacity is free once they have lingered.
        """
        if len(self.clients) >= self.max_connections:
            self._idle_releaser.release_some(self.max_connections)
        free = self.max_connections - len(self.clients)
        return max(0, min(free, max(1, self.max_connections // 2)))

    def begin_catch_up(self) -> bool:
        """Whether one more connection may hold its calls while it is read after a stall; counts it."""
        if self._catching_up >= self._max_catching_up:
            return False
        self._catching_up += 1
        return True

    def end_catch_up(self) -> None:
        """A connection for which `begin_catch_up` was true holds its calls no longer."""
        self._catching_up -= 1

    # --- calls ----------------------------------------------------------------------------------

    def open_call(
        self, client: ClientConnection, message: thrift.Handle, call: Call, age_ms: float
    ) -> OpenCall | None:
        """Run or hold a call that a client has sent `age_ms` ago; None if it was answered at once."""
        hold = self._hold or client.reading.hold
        if hold is not None:
            return hold.add(client, message, call, age_ms)
        return self.run_call(call)

    def run_call(self, call: Call) -> OpenCall | None:
        """Pass a call to the request table; None if it was answered at once."""
        table = self.requests
        key = table.take(call)
        return None if key is None else TableCall(table, key)

    def hold_calls(self, may_run: Callable[[float], bool]) -> None:
        """Hold the calls that arrive from now on, because another process is about to run them.

        A call that has waited for long is run all the same if `may_run` allows it; its argument is the time
        in milliseconds that the call has left.
        """
        if self._hold is None:
            self._hold = CallHold(self.loop.timers, may_run)

    def run_held_calls(self) -> None:
        """Run the held calls, and hold no further ones."""
        if (hold := self._hold) is not None:
            self._hold = None
            hold.run_all()

    @property
    def has_running_calls(self) -> bool:
        """Whether any call of a client runs in this process."""
        return any(isinstance(call, TableCall) for client in self.clients for call in client.open.values())

    # --- hand-off to and from another process ---------------------------------------------------

    def hand_off(self, client: ClientConnection) -> HandedOffConnection:
        """Detach a connection and return it for another process, with the calls that are held on it.

        Calls that run here remain open on `client`; the caller forwards their answers to the other process.
        """
        del self.clients[client]
        self.partial_messages.forget(client)
        empty_ms = client.connection.empty_ms
        sock, unwritten = client.connection.detach()
        partial, skip = client.state()
        waiting = client.take_held()
        running = tuple(client.open)
        return HandedOffConnection(
            sock,
            partial,
            skip,
            client.has_sent,
            unwritten,
            empty_ms,
            waiting,
            running,
            client.numbers.highest,
        )

    def take_over(
        self, handed: HandedOffConnection, withdraw_remote: Callable[[int], None] = _no_remote_call
    ) -> ClientConnection | None:
        """Continue a connection of another process; it is closed, and None returned, if it is not usable.

        `withdraw_remote` gets the sequence number of a remote call that the client has withdrawn.
        """
        try:
            client = ClientConnection(self, handed.sock)
        except OSError as error:
            self.log(f"connection handed off by another process is not usable: {error}")
            handed.sock.close()
            for seqid in handed.remote_calls:
                withdraw_remote(seqid)
            return None
        self.clients[client] = None
        if handed.empty_ms is not None:
            client.connection.assume_unread_since(handed.empty_ms)
        client.resume(handed, withdraw_remote)
        self.slow_clients.regulate(client)
        return client

    def set_paused(self, on: bool) -> None:
        """Pause reading on all connections, or resume it: unread bytes belong to another process."""
        self.slow_clients.pause(on)

    def has_unwritten(self) -> bool:
        """Whether answers to any client are not completely written yet."""
        return any(client.connection.unwritten_bytes for client in self.clients)

    # --- closing --------------------------------------------------------------------------------

    def end_idle(self) -> None:
        """Close every connection with no open request and no partial message."""
        for client in [client for client in self.clients if client.idle and not client.has_partial_message]:
            if self.loop.batch_full:  # requests were read just now; the next call closes the others
                return
            client.release()

    def close_listener(self) -> bool:
        """Accept all queued connections and stop listening; return False while some remain in the queue."""
        return self._acceptor.drain()

    def ended(self, client: ClientConnection) -> None:
        """Remove a connection that has ended, which frees capacity for a new one."""
        self.clients.pop(client, None)
        self.partial_messages.forget(client)
        self._acceptor.resume()

    def run_maintenance(self) -> None:
        """Close connections that have been idle, silent or blocked for too long."""
        now_ms = monotonic_ms()
        self.causes.flush()
        self._idle_releaser.clear()
        for client in list(self.clients):
            if self.loop.batch_full:  # requests were read just now; the next call checks the others
                return
            unused = not client.open and now_ms - client.connection.used_ms > IDLE_TIMEOUT_MS
            if unused and client.connection.unwritten_bytes:
                client.connection.close(EndReason.PEER_NOT_READING)
            elif unused:
                client.release()
            elif client.is_overdue(now_ms):
                client.close_overdue()

    def close(self) -> None:
        """Close the listener and all connections; open requests get their final answer."""
        self._acceptor.close()
        for client in list(self.clients):
            if client.open:  # the loop was stopped early, but each request still gets its answer
                client.fail_open()
                client.connection.flush()
            client.connection.close(EndReason.STOPPED)
