"""Peers of a front end that act only on command, and record what they receive and when.

All sockets are non-blocking and belong to the test's own thread. Loopback delivers within the sending call,
so the bytes of a peer are in the front end's receive buffer when the call returns.
"""

import json
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from peers import handle_frame, reply_from

from fawnwharf.net import scorer_frames, thrift

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
HEADER_BYTES = 16
CHECK_BYTES = 4


def reset(sock: socket.socket) -> None:
    """Reset a connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


class Channel:
    """One connection of a peer; `ended` once either side has ended it."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.ended = sock, False
        self.on_send: Callable[[], None] = lambda: None

    def received(self) -> bytes:
        """Return all bytes received since the last call."""
        data = bytearray()
        while not self.ended:
            try:
                piece = self.sock.recv(65_536)
            except BlockingIOError:
                break
            except OSError:
                piece = b""
            data += piece
            self.ended = not piece
        return bytes(data)

    def send(self, data: bytes) -> bool:
        """Send the data; return False if the connection has ended."""
        if self.ended:
            return False
        self.on_send()
        try:
            return self.sock.send(data) == len(data)
        except OSError:
            return False

    def close(self) -> None:
        """Close the connection."""
        self.ended = True
        self.sock.close()

    def reset(self) -> None:
        """Reset the connection."""
        self.ended = True
        reset(self.sock)


@dataclass(eq=False)
class Run:
    """An attempt as a scorer sees it, from its first header on."""

    id: bytes
    scorer: "ScriptedScorer"
    connection: "ScorerConnection"
    began_ms: float
    complete_ms: float | None = None
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    answered: list[int] = field(default_factory=list)  # codes, in order
    cancelled: bool = False

    @property
    def over(self) -> bool:
        """Whether the front end may know that the attempt has ended."""
        return bool(self.answered) or self.cancelled or self.connection.channel.ended


@dataclass(eq=False)
class LoadOrder:
    """A load order, or a query (`copies` is 0), as a scorer sees it."""

    id: bytes
    scorer: "ScriptedScorer"
    function: str
    copies: int
    loaded_copies: int  # copies on the scorer when the order arrived
    at_ms: float


class ScorerConnection:
    """A connection accepted by a scorer; splits what it receives into frames."""

    def __init__(self, scorer: "ScriptedScorer", sock: socket.socket) -> None:
        self.scorer, self.channel = scorer, Channel(sock)
        self._buffer = bytearray()
        self._begun: Run | None = None

    def pump(self, now_ms: float) -> bool:
        """Read and handle what has arrived; return whether anything was received."""
        data = self.channel.received()
        self._buffer += data
        while self._frame(now_ms):
            pass
        return bool(data)

    def _frame(self, now_ms: float) -> bool:
        if len(self._buffer) < HEADER_BYTES:
            return False
        _, code, fields, body, id = struct.unpack_from(">BBHI8s", self._buffer)
        if code == scorer_frames.RUN and self._begun is None:
            self._begun = Run(id, self.scorer, self, now_ms)
            self.scorer.runs.append(self._begun)
        size = HEADER_BYTES + fields + body + CHECK_BYTES
        if len(self._buffer) < size:
            return False
        [frame] = scorer_frames.FrameReader(scorer_frames.FROM_FRONT_END).feed(bytes(self._buffer[:size]))
        del self._buffer[:size]
        begun, self._begun = self._begun, None
        self.scorer.receive_frame(frame, self, begun, now_ms)
        return True


class ScriptedScorer:
    """A scorer; its mode (loaded, empty, full or mute) says how it answers load orders."""

    def __init__(self, name: str, mode: str = "loaded", zone: str = "") -> None:
        self.name, self.mode, self.zone = name, mode, zone
        self.listener: socket.socket | None = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.address = self.listener.getsockname()
        self.connections: list[ScorerConnection] = []
        self.runs: list[Run] = []
        self.orders: list[LoadOrder] = []
        self.loaded_copies: dict[str, int] = {}  # copies, by function

    def member(self, phase: str = "in_service", up_since_ms: float = 0.0) -> dict:
        """Return the entry of this scorer for an event of the change log."""
        host_port = f"{self.address[0]}:{self.address[1]}"
        member = {"id": self.name, "host_port": host_port, "phase": phase, "size": 4}
        return member | {"locality": self.zone, "up_since_ms": up_since_ms}

    def pump(self, now_ms: float) -> bool:
        """Read and handle what has arrived; return whether anything was received."""
        found = False
        while self.listener is not None:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                break
            self.connections.append(ScorerConnection(self, sock))
            found = True
        for connection in self.connections:
            found = connection.pump(now_ms) or found
        return found

    def receive_frame(
        self, frame: scorer_frames.Frame, connection: ScorerConnection, begun: Run | None, now_ms: float
    ) -> None:
        """Handle a complete frame; `begun` is the attempt that it completes, if any."""
        if begun is not None:
            begun.complete_ms, begun.fields, begun.body = now_ms, frame.fields, frame.body
        elif frame.code == scorer_frames.ABANDON:
            for run in self.runs:
                run.cancelled = run.cancelled or (run.id == frame.id and run.connection is connection)
        elif frame.code == scorer_frames.LOAD:
            self._answer_order(frame, connection, now_ms)

    def _answer_order(self, frame: scorer_frames.Frame, connection: ScorerConnection, now_ms: float) -> None:
        function, copies = frame.fields["obj"], int(frame.fields["slots_up"])
        loaded_copies = self.loaded_copies.setdefault(function, 1 if self.mode == "loaded" else 0)
        self.orders.append(LoadOrder(frame.id, self, function, copies, loaded_copies, now_ms))
        if self.mode == "mute":
            return
        code = scorer_frames.OK
        if copies > loaded_copies and self.mode == "full":
            code = scorer_frames.FULL
        else:
            self.loaded_copies[function] = max(loaded_copies, copies)
        fields = f"slots_up={self.loaded_copies[function]}"
        connection.channel.send(
            scorer_frames.encode(code, frame.id, fields, direction=scorer_frames.FROM_SCORER)
        )

    def answer(self, run: Run, code: int, body: bytes, max_bytes: int | None = None) -> None:
        """Answer an attempt, or send only the first `max_bytes` of the answer."""
        data = scorer_frames.encode(code, run.id, "res=reused", body, scorer_frames.FROM_SCORER)
        if run.connection.channel.send(data[:max_bytes]) and max_bytes is None:
            run.answered.append(code)

    def end_connections(self, by_reset: bool) -> None:
        """Close or reset all connections from front ends."""
        for connection in self.connections:
            if not connection.channel.ended:
                connection.channel.reset() if by_reset else connection.channel.close()

    def stop_listening(self) -> None:
        """Close the listener; established connections stay open."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def listen_again(self) -> None:
        """Listen on the same address as before."""
        if self.listener is None:
            self.listener = socket.create_server(self.address)
            self.listener.setblocking(False)

    def close(self) -> None:
        """Close the listener and all connections."""
        self.stop_listening()
        self.end_connections(by_reset=False)


class ScriptedLog:
    """A change log: sends each connection all events after the one that it names, and then each new event."""

    def __init__(self, events: list[dict]) -> None:
        self.events = events  # shared with the other change log
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.host_port = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self._channels: dict[Channel, int | None] = {}  # number of the last event sent; None before its query

    def pump(self) -> bool:
        """Accept connections and answer queries; return whether anything was received."""
        found = False
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                break
            self._channels[Channel(sock)] = None
            found = True
        for channel in self._channels:
            data = channel.received()
            found = found or bool(data)
            if data:
                self._channels[channel] = int(data.split()[1])
        self.send_events()
        return found

    def send_events(self) -> bool:
        """Send new events to all connections that have sent a query; return whether there are any."""
        for channel, last in list(self._channels.items()):
            if channel.ended or last is None:
                continue
            for event in self.events:
                if event["seq"] > last:
                    channel.send(json.dumps(event).encode() + b"\n")
            self._channels[channel] = self.events[-1]["seq"]
        return any(not channel.ended and last for channel, last in self._channels.items())

    def heartbeat(self) -> None:
        """Send the number of the last event to each connection that has sent its query."""
        for channel, last in self._channels.items():
            if last is not None:
                channel.send(b"%d\n" % last)

    def reset_all(self) -> None:
        """Reset all connections; the listener stays open."""
        for channel in self._channels:
            if not channel.ended:
                channel.reset()
        self._channels.clear()

    def close(self) -> None:
        """Close the listener and all connections."""
        self.listener.close()
        for channel in self._channels:
            channel.close()


class ScriptedClient:
    """A client connection; `on_answer` receives the sequence number, kind and content of each answer."""

    def __init__(self, address: tuple[str, int], on_answer: Callable[[int, str, object], None]) -> None:
        self.channel = Channel(socket.create_connection(address))
        self.seqid, self.rest = 0, b""  # `rest` has the unsent bytes of a partial message
        self.closed_by_client = False  # closed or half-closed by the client itself
        self._on_answer, self._buffer = on_answer, bytearray()

    @property
    def usable(self) -> bool:
        """Whether requests can still be sent on this connection."""
        return not (self.channel.ended or self.closed_by_client)

    def next_seqid(self) -> int:
        """Return the next unused sequence number."""
        self.seqid += 1
        return self.seqid

    def pump(self) -> bool:
        """Pass on the received answers; return whether any bytes were received."""
        data = self.channel.received()
        self._buffer += data
        while len(self._buffer) >= 4:
            size = struct.unpack_from(">I", self._buffer)[0]
            if len(self._buffer) < 4 + size:
                break
            self._on_answer(*reply_from(bytes(self._buffer[4 : 4 + size])))
            del self._buffer[: 4 + size]
        return bool(data)

    def send_request(self, seqid: int, fields: dict[str, str], body: bytes = b"") -> bool:
        """Send a complete request; return False if the connection has ended."""
        return self.channel.send(handle_frame(seqid, fields, body))

    def withdraw(self, seqid: int) -> bool:
        """Withdraw a request; return False if the connection has ended."""
        payload = struct.pack(">bhib", thrift.I32, 1, seqid, 0)
        return self.channel.send(thrift._frame(thrift.ONEWAY, b"withdraw", 99, payload))

    def half_close(self) -> None:
        """Shut down the sending side, and continue to read."""
        self.closed_by_client = True
        self.channel.sock.shutdown(socket.SHUT_WR)

    def close(self, by_reset: bool = False) -> None:
        """Close or reset the connection."""
        self.closed_by_client = True
        self.channel.reset() if by_reset else self.channel.close()
