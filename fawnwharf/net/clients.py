"""Clients: the listener, their connections, and the translation between Thrift and calls."""

import errno
import math
import re
import socket
from collections import deque
from typing import Any

from fawnwharf.config import Address
from fawnwharf.interface import ClassSpec, Effect
from fawnwharf.net import thrift
from fawnwharf.net.connection import Connection
from fawnwharf.net.endings import End, end_of
from fawnwharf.net.listener import listening
from fawnwharf.net.log import Log
from fawnwharf.net.loop import READ, Loop
from fawnwharf.net.requests import Call, Failed, Outcome, Refused, RequestTable, Served
from fawnwharf.net.wheel import monotonic_ms

READ_MOST = 16 * 1024  # bytes of one client in a turn: the smallest messages in it take some 10 ms
OPEN_MOST = 32  # requests open on one connection
ACCEPTS_MOST = 64  # in a turn, and never more than half of all, so that a first request can be read
ACCEPT_PAUSE_MS = 50.0  # where the system has no descriptor left
IDLE_MS = 30_000.0  # clients close after 4 s; one that asked and is still here holds its connection for good
# A peer is owed an answer or a close within 3 s of connecting; what a client sends comes within a round trip.
SPEAK_MS = 2_300.0  # for a first message, and for the rest of one that has begun
SKIP_MS = 6_000.0  # for the rest of an oversized one, which was refused when its head came
YOUNG_MS = 250.0  # a connection that said nothing yet may be about to: others give way first
ROOM_LOOK_MS = 50.0  # a look over all clients serves for so long: a crowd must not cost one for each accept
TTL_ROOM = 1.1  # a client waits for its class's time at the most; room for rounding
UNREAD_STOP = 64 * 1024  # bytes that wait for a client which does not read: it is not read either
UNREAD_MOST = 1024 * 1024  # and with these it is dropped
UNREAD_ALL_MOST = 32 * 1024 * 1024  # of all clients together: part of the memory limit
LANES_MOST = 4_096

_HEX16 = re.compile(r"[0-9a-fA-F]{16}\Z")
_TOKEN = re.compile(r"[0-9A-Za-z_.:-]{1,128}\Z")
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?\Z")


def _number(text: str | None, name: str) -> float | None:
    if text is None:
        return None
    if not _NUMBER.match(text):
        raise thrift.Malformed(f"{name}: not a number")
    return float(text)


def call_from(
    message: thrift.Handle, classes: dict[str, ClassSpec], tenants: frozenset[str] = frozenset()
) -> dict[str, Any]:
    """What a call's fields say; raises Malformed for what no scorer could be passed."""
    fields = message.fields
    spec, token = classes.get(fields.get("op", "")), fields.get("dedupe", "")
    if spec is None:
        raise thrift.Malformed("op: no such class")
    if tenants and fields.get("org") not in tenants:
        raise thrift.Malformed("org: no such tenant")
    for name in ("call", "row"):
        if not _HEX16.match(fields.get(name, "")):
            raise thrift.Malformed(f"{name}: not 16 hex digits")
    if (token or spec.effect is Effect.KEYED) and not _TOKEN.match(token):
        raise thrift.Malformed("dedupe: missing, or not a key")
    budget = _number(fields.get("ttl"), "ttl")
    if not budget or budget > TTL_ROOM * spec.give_up_ms:
        raise thrift.Malformed("ttl: missing, or not a time to wait")
    parts = (part.partition(":") for part in fields.get("props", "").split(";") if part)
    props = {name: value for name, _, value in parts}
    lanes = _number(props.get("lanes"), "lanes") or 1
    if lanes > LANES_MOST:
        raise thrift.Malformed("lanes: too many")
    return {
        "id": bytes.fromhex(fields["call"]),
        "class_name": spec.name,
        "tenant": fields.get("org", "")[:128],
        "function": fields["row"],
        "budget_ms": budget,
        "body": message.body,
        "token": token,
        "lanes": max(1, int(lanes)),
        "memory_mb": _number(props.get("memory_mb"), "memory_mb"),
        "load_ms": _number(props.get("load_ms"), "load_ms"),
    }


class Client:
    """One client connection and the requests open on it, by sequence number."""

    def __init__(self, port: "ClientPort", sock: socket.socket) -> None:
        self.port = port
        self.open: dict[int, str] = {}
        self.connection = Connection.accepted(port.loop, sock, self, READ_MOST)
        self._reader = thrift.FrameReader()
        self.spoke = False  # a whole message has come
        self._since_ms = monotonic_ms()  # it connected, or the message that is not whole yet began

    def on_up(self) -> None:
        pass

    def on_data(self, data: bytes) -> None:
        before = self._reader.waits
        items = self._reader.feed(data)
        if items or not before:
            self._since_ms = monotonic_ms() if items or self.spoke else self._since_ms
        self.spoke = self.spoke or bool(items)
        for item in items:
            if self.connection.closed or self.connection.finishing:
                return
            if isinstance(item, thrift.Malformed):
                self._malformed(item)
            elif isinstance(item, thrift.Handle):
                self._handle(item)
            elif isinstance(item, thrift.Withdraw):
                if (key := self.open.pop(item.seqid, None)) is not None:
                    self.port.table.withdraw(key)
            else:
                self._write(thrift.answer("status", item.seqid, b"", {}, self.port.takes_work))

    def _malformed(self, error: thrift.Malformed) -> None:
        self.port.log(f"client: {error}", "clients")
        # An exception under an open request's number would be that request's answer.
        if error.seqid is None or error.seqid in self.open:
            self._finish(End.BAD_BYTES)
        else:
            self._write(thrift.application_exception(error.seqid, str(error), error.kind))

    def _finish(self, end: End) -> None:
        """End the connection; what is open on it is failed, so that each request has its answer."""
        for seqid, key in list(self.open.items()):
            self.port.table.withdraw(key)
            self._reply(seqid, Failed())
        self.connection.finish(end)

    @property
    def idle(self) -> bool:
        return not (self.open or self.connection.waiting_bytes or self.connection.closed)

    def state(self) -> tuple[bytes, int]:
        return self._reader.state()

    def resume(self, partial: bytes, skip: int, spoke: bool, rest: bytes) -> None:
        """Go on where another process was with this connection."""
        self._reader.resume(partial, skip)
        self.spoke = spoke
        if rest:
            self.connection.write(rest)

    @property
    def begun(self) -> bool:
        """Whether a message has come in part."""
        return self._reader.waits

    def end_overdue(self) -> None:
        if self.spoke or self._reader.waits:
            self._finish(End.SILENT)
        else:
            self.close_unheard()

    def close_unheard(self) -> bool:
        """Close it, but for one whose request is just arriving."""
        if self.connection.unread() and not self.connection.finishing:
            return False
        self.connection.close(End.IDLE if self.spoke else End.SILENT)
        return True

    def overdue(self, now_ms: float) -> bool:
        """Guards descriptors against peers that say nothing, or half a message."""
        if self.open or (self.spoke and not self._reader.waits):
            return False
        most = SKIP_MS if self._reader.skips else SPEAK_MS
        return now_ms - self._since_ms > most

    def _handle(self, message: thrift.Handle) -> None:
        seqid = message.seqid
        try:
            if seqid in self.open:
                raise thrift.Malformed("a second request under an open number")
            if len(self.open) >= OPEN_MOST:
                raise thrift.Malformed("too many open requests")
            fields = call_from(message, self.port.classes, self.port.tenants)
        except thrift.Malformed as error:
            error.seqid = seqid
            self._malformed(error)
            return
        fields["budget_ms"] = max(0.0, fields["budget_ms"] - self.connection.age_ms)
        call = Call(reply=lambda outcome: self._reply(seqid, outcome), **fields)
        if (key := self.port.table.take(call)) is not None:
            self.open[seqid] = key

    def _reply(self, seqid: int, outcome: Outcome) -> None:
        self.open.pop(seqid, None)
        if isinstance(outcome, Served):
            self._write(thrift.answer("handle", seqid, outcome.body, {}, True))
        elif isinstance(outcome, Refused):
            wait = math.ceil(max(0.0, outcome.hold_off_ms))
            self._write(thrift.throttled(seqid, {"pushback": str(wait)}))
        elif isinstance(outcome, Failed):
            self._write(thrift.broken(seqid, {}))

    def _write(self, data: bytes) -> None:
        self.connection.write(data)

    def on_flushed(self) -> None:
        """After the connection's own write of this turn: what is left is what the client does not read."""
        left = self.connection.waiting_bytes
        self.connection.read_on(left < UNREAD_STOP and not self.port.paused)
        if left > UNREAD_MOST or (left > UNREAD_STOP and self.port.unread() > UNREAD_ALL_MOST):
            self.connection.close(End.STUFFED)

    def on_end(self, end: End) -> None:
        keys, self.open = list(self.open.values()), {}
        for key in keys:
            self.port.table.withdraw(key)
        self.port.ended(self)


class ClientPort:
    """Owns the listener and the client connections, within a share of the descriptors."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        table: RequestTable,
        classes: dict[str, ClassSpec],
        tenants: frozenset[str],
        most: int,
        log: Log,
        shared: bool = False,
        listener: socket.socket | None = None,
    ) -> None:
        """`shared`: another process may listen on the same address, to take this one's place. `listener`: one
        that listens already, taken over from another process; nothing is accepted until `accept` says so."""
        self.loop, self.table, self.log = loop, table, log
        self.classes, self.tenants = classes, tenants
        self.ready = False
        self.waits_for: set[str] = set()  # subsystems that have to know more before it may be ready
        self.clients: dict[Client, None] = {}
        self.most = most
        self.listener: socket.socket | None = listener or listening(address, shared)
        self.address: Address = self.listener.getsockname()[:2]
        self.paused = False  # nothing is read: what comes is another process's
        self._accepting = self._resting = False
        self._idlest: deque[tuple[Client, float]] = deque()  # whom to close first, by the last look
        self._looked_ms = 0.0
        if listener is None:
            self.accept(True)

    @property
    def takes_work(self) -> bool:
        return self.ready and not self.waits_for

    def accept(self, on: bool) -> None:
        """Accept new connections, or leave them to whoever else has the listener."""
        if self.listener is None or on == self._accepting:
            return
        self._accepting = on
        if not self._resting:
            self._watch(on)

    def _watch(self, on: bool) -> None:
        if on:
            self.loop.watch(self.listener, READ, self._accept)
        else:
            self.loop.forget(self.listener)

    def _accept(self, _mask: int) -> None:
        for _ in range(min(ACCEPTS_MOST, max(1, self.most // 2))):
            if self.listener is None or (len(self.clients) >= self.most and not self._make_room()):
                self._pause()
                return
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if end_of(error) is End.NO_DESCRIPTOR:
                    self._pause()
                    return
                if error.errno in (errno.ECONNABORTED, errno.EINTR):
                    continue
                self.log(f"accept: {error}")
                self._pause()
                return
            client = Client(self, sock)
            self.clients[client] = None

    def _make_room(self) -> bool:
        """Close one that has nothing open: one that should have spoken by now, else one that is finished
        with, else the one that has been idle for longest. What has something unread is about to ask."""
        for _ in range(2):  # from the last look, then from a new one
            while self._idlest and monotonic_ms() - self._looked_ms < ROOM_LOOK_MS:
                client, used_ms = self._idlest.popleft()
                if client.idle and client.connection.used_ms == used_ms and client.close_unheard():
                    return True
            self._idlest, self._looked_ms = self._by_idleness(), monotonic_ms()
        return False

    def _by_idleness(self) -> deque[tuple[Client, float]]:
        since = monotonic_ms() - YOUNG_MS

        def rank(client: Client) -> tuple[bool, bool, float]:
            used_ms, finishing = client.connection.used_ms, client.connection.finishing
            return client.spoke or used_ms >= since, not finishing, used_ms

        idle = sorted((client for client in self.clients if client.idle), key=rank)
        return deque((client, client.connection.used_ms) for client in idle)

    def _pause(self) -> None:
        """Leave new connections to the system's queue for a moment, rather than spin on them."""
        if self.listener is not None and not self._resting:
            self._resting = True
            self._watch(False)
            self.loop.wheel.after(ACCEPT_PAUSE_MS, self._resume)

    def _resume(self) -> None:
        self._resting = False
        if self.listener is not None and self._accepting:
            self._watch(True)

    # --- to and from another process ------------------------------------------------------------

    def give(self, client: Client) -> tuple[socket.socket, bytes, int, bytes]:
        """A connection for another process, on which nothing is open: its socket, the bytes of a message that
        is not whole, how many bytes are to be thrown away, and what is unwritten."""
        del self.clients[client]
        sock, rest = client.connection.detach()
        return sock, *client.state(), rest

    def adopt(self, sock: socket.socket, partial: bytes, skip: int, spoke: bool, rest: bytes) -> None:
        """Go on with a connection that another process had."""
        client = Client(self, sock)
        self.clients[client] = None
        client.resume(partial, skip, spoke, rest)
        client.connection.read_on(not self.paused)

    def pause(self, on: bool) -> None:
        """Read no further on any connection, or go on: what lies unread is for another process."""
        self.paused = on
        for client in self.clients:
            client.connection.read_on(not on and client.connection.waiting_bytes < UNREAD_STOP)

    def unread(self) -> int:
        return sum(client.connection.waiting_bytes for client in self.clients)

    def unwritten(self) -> bool:
        return any(client.connection.waiting_bytes for client in self.clients)

    def end_idle(self) -> None:
        """End every connection on which nothing is open and nothing has begun to arrive."""
        for client in [client for client in self.clients if client.idle and not client.begun]:
            client.close_unheard()

    def close_listener(self) -> bool:
        """Accept all that the system's queue holds, then close the listener: closing it resets what it holds.
        False while there is no room for all of it."""
        self.accept(False)
        while self.listener is not None:
            if len(self.clients) >= self.most and not self._make_room():
                return False
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                self.listener.close()
                self.listener = None
            except OSError as error:
                if error.errno not in (errno.ECONNABORTED, errno.EINTR):
                    return False
            else:
                self.clients[Client(self, sock)] = None
        return True

    def ended(self, client: Client) -> None:
        self.clients.pop(client, None)

    def tidy(self) -> None:
        now = monotonic_ms()
        self._idlest.clear()  # it must not keep those that have ended
        for client in list(self.clients):
            idle = not client.open and now - client.connection.used_ms > IDLE_MS
            if idle:
                client.connection.close(End.IDLE)
            elif client.overdue(now):
                client.end_overdue()

    def close(self) -> None:
        self.accept(False)
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for client in list(self.clients):
            if client.open:  # the loop was stopped before its time: each request has its answer all the same
                client._finish(End.STOPPED)
                client.connection.flush()
            client.connection.close(End.STOPPED)
