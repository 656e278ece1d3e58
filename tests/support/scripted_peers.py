"""Peers of a front end that do only what a script tells them to, and record what reaches them and when.

Every socket is non-blocking and lives in the test's own thread. Loopback delivers within the sending call, so
what a peer has sent lies in the front end's buffers when the call returns.
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
    """Close a connection by a reset."""
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
        """All that has come since the last look."""
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
        """Send; False where the connection has ended."""
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
        """End the connection by a reset."""
        self.ended = True
        reset(self.sock)


@dataclass(eq=False)
class Run:
    """An attempt as a scorer sees it, from its first bytes on."""

    id: bytes
    scorer: "ScriptedScorer"
    link: "ScorerLink"
    began_ms: float
    whole_ms: float | None = None
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    answered: list[int] = field(default_factory=list)  # codes, in order
    given_up: bool = False

    @property
    def over(self) -> bool:
        """Whether the front end can know that it has ended."""
        return bool(self.answered) or self.given_up or self.link.channel.ended


@dataclass(eq=False)
class LoadOrder:
    """An order to load, or a question (`copies` 0), as a scorer sees it."""

    id: bytes
    scorer: "ScriptedScorer"
    function: str
    copies: int
    standing: int  # copies there when it arrived
    at_ms: float


class ScorerLink:
    """Splits what comes on one connection into frames; a frame counts from its first header on."""

    def __init__(self, scorer: "ScriptedScorer", sock: socket.socket) -> None:
        self.scorer, self.channel = scorer, Channel(sock)
        self._buffer = bytearray()
        self._begun: Run | None = None

    def pump(self, now_ms: float) -> bool:
        """Take in what came; whether anything did."""
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
        self.scorer.take(frame, self, begun, now_ms)
        return True


class ScriptedScorer:
    """A scorer; its mode says how it answers orders to load: loaded, empty, full or mute."""

    def __init__(self, name: str, mode: str = "loaded", zone: str = "") -> None:
        self.name, self.mode, self.zone = name, mode, zone
        self.listener: socket.socket | None = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.address = self.listener.getsockname()
        self.links: list[ScorerLink] = []
        self.runs: list[Run] = []
        self.orders: list[LoadOrder] = []
        self.standing: dict[str, int] = {}  # copies, by function

    def member(self, phase: str = "in_service", up_since_ms: float = 0.0) -> dict:
        """The entry of this scorer in an event of the change log."""
        host_port = f"{self.address[0]}:{self.address[1]}"
        member = {"id": self.name, "host_port": host_port, "phase": phase, "size": 4}
        return member | {"locality": self.zone, "up_since_ms": up_since_ms}

    def pump(self, now_ms: float) -> bool:
        """Take in what came; whether anything did."""
        found = False
        while self.listener is not None:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                break
            self.links.append(ScorerLink(self, sock))
            found = True
        for link in self.links:
            found = link.pump(now_ms) or found
        return found

    def take(self, frame: scorer_frames.Frame, link: ScorerLink, begun: Run | None, now_ms: float) -> None:
        """Take in a whole frame; `begun` is the attempt that it completes, if it is one."""
        if begun is not None:
            begun.whole_ms, begun.fields, begun.body = now_ms, frame.fields, frame.body
        elif frame.code == scorer_frames.ABANDON:
            for run in self.runs:
                run.given_up = run.given_up or (run.id == frame.id and run.link is link)
        elif frame.code == scorer_frames.LOAD:
            self._ensure(frame, link, now_ms)

    def _ensure(self, frame: scorer_frames.Frame, link: ScorerLink, now_ms: float) -> None:
        function, copies = frame.fields["obj"], int(frame.fields["slots_up"])
        standing = self.standing.setdefault(function, 1 if self.mode == "loaded" else 0)
        self.orders.append(LoadOrder(frame.id, self, function, copies, standing, now_ms))
        if self.mode == "mute":
            return
        code = scorer_frames.OK
        if copies > standing and self.mode == "full":
            code = scorer_frames.FULL
        else:
            self.standing[function] = max(standing, copies)
        fields = f"slots_up={self.standing[function]}"
        link.channel.send(scorer_frames.encode(code, frame.id, fields, direction=scorer_frames.FROM_SCORER))

    def answer(self, run: Run, code: int, body: bytes, most_bytes: int | None = None) -> None:
        """Answer an attempt, or write only the first bytes of an answer."""
        data = scorer_frames.encode(code, run.id, "res=reused", body, scorer_frames.FROM_SCORER)
        if run.link.channel.send(data[:most_bytes]) and most_bytes is None:
            run.answered.append(code)

    def end_links(self, by_reset: bool) -> None:
        """End all connections from front ends, by a reset if so asked."""
        for link in self.links:
            if not link.channel.ended:
                link.channel.reset() if by_reset else link.channel.close()

    def stop_listening(self) -> None:
        """Close the listener; connections that are up stay."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def listen_again(self) -> None:
        """Listen at the same address as before."""
        if self.listener is None:
            self.listener = socket.create_server(self.address)
            self.listener.setblocking(False)

    def close(self) -> None:
        """Close the listener and all connections."""
        self.stop_listening()
        self.end_links(by_reset=False)


class ScriptedLog:
    """A change log: tells each connection all events after the one it names, and then each new one."""

    def __init__(self, events: list[dict]) -> None:
        self.events = events  # shared with other logs of the same site
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.host_port = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self._channels: dict[Channel, int | None] = {}  # the last event told, once it has asked

    def pump(self) -> bool:
        """Take in connections and questions, and answer them; whether anything came."""
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
        self.tell()
        return found

    def tell(self) -> bool:
        """Bring every connection that asked up to the last event; whether one has all of them."""
        for channel, last in list(self._channels.items()):
            if channel.ended or last is None:
                continue
            for event in self.events:
                if event["seq"] > last:
                    channel.send(json.dumps(event).encode() + b"\n")
            self._channels[channel] = self.events[-1]["seq"]
        return any(not channel.ended and last for channel, last in self._channels.items())

    def heartbeat(self) -> None:
        """Write the number of the last event told to each connection that has asked."""
        for channel, last in self._channels.items():
            if last is not None:
                channel.send(b"%d\n" % last)

    def reset_all(self) -> None:
        """End all connections by a reset; the listener stays."""
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
    """A client connection; `on_answer` is handed the number, kind and content of each answer."""

    def __init__(self, address: tuple[str, int], on_answer: Callable[[int, str, object], None]) -> None:
        self.channel = Channel(socket.create_connection(address))
        self.seqid, self.rest = 0, b""  # rest: of a message sent in part
        self.left = False  # closed or half-closed by the client itself
        self._on_answer, self._buffer = on_answer, bytearray()

    @property
    def usable(self) -> bool:
        """Whether requests can still be sent on this connection."""
        return not (self.channel.ended or self.left)

    def next_seqid(self) -> int:
        """The next sequence number, which counts as used."""
        self.seqid += 1
        return self.seqid

    def pump(self) -> bool:
        """Hand on the answers that came; whether any bytes did."""
        data = self.channel.received()
        self._buffer += data
        while len(self._buffer) >= 4:
            size = struct.unpack_from(">I", self._buffer)[0]
            if len(self._buffer) < 4 + size:
                break
            self._on_answer(*reply_from(bytes(self._buffer[4 : 4 + size])))
            del self._buffer[: 4 + size]
        return bool(data)

    def ask(self, seqid: int, fields: dict[str, str], body: bytes = b"") -> bool:
        """Send a request whole."""
        return self.channel.send(handle_frame(seqid, fields, body))

    def withdraw(self, seqid: int) -> bool:
        """Withdraw a request; False where the connection has ended."""
        payload = struct.pack(">bhib", thrift.I32, 1, seqid, 0)
        return self.channel.send(thrift._frame(thrift.ONEWAY, b"withdraw", 99, payload))

    def half_close(self) -> None:
        """End the output, and read on."""
        self.left = True
        self.channel.sock.shutdown(socket.SHUT_WR)

    def close(self, by_reset: bool = False) -> None:
        """Close the connection, by a reset if so asked."""
        self.left = True
        self.channel.reset() if by_reset else self.channel.close()
