"""Peers of a front end (scorers, change log, clients), driven from the test's own thread on loopback."""

import json
import selectors
import socket
import struct
import time

from fawnwharf.config import deployment_from
from fawnwharf.net import scorer_frames, thrift
from fawnwharf.net.front_end import FrontEnd

PATIENCE_S = 20.0
ROW = "7f3a9c21e0b4d655"
CLASSES = [
    {"name": "view", "effect": "idempotent", "give_up": 9000.0, "promise": 8000.0},
    {"name": "save", "effect": "deduplicated", "give_up": 9000.0, "promise": 8000.0, "dedup_window": 1500.0},
    {"name": "settle", "effect": "at_most_once", "give_up": 9000.0, "promise": 8000.0},
]
SETTINGS = {
    "classes": CLASSES,
    "tenants": [{"name": "acme"}],
    "bounds": {"max_attempts": 3, "cancel": True, "second_copies": True, "dial_timeout": 5000.0},
    "family_info": {"may_order": True, "not_loaded": "load", "notes_peers_in_hand": True},
}


class Buffered:
    """A connection, and the bytes received on it that were not handled yet."""

    def __init__(self, sock):
        self.sock, self.data, self.ended = sock, bytearray(), False
        sock.setblocking(False)

    def pump(self):
        try:
            while not self.ended:
                data = self.sock.recv(65536)
                self.data += data
                self.ended = not data
        except BlockingIOError:
            pass
        except OSError:
            self.ended = True


class Listening:
    """A peer that listens; `links` has its accepted connections, oldest first."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.links = []
        self.host_port = f"127.0.0.1:{self.listener.getsockname()[1]}"

    def pump(self):
        try:
            while True:
                self.links.append(Buffered(self.listener.accept()[0]))
        except OSError:
            pass
        for link in self.links:
            link.pump()

    def close(self):
        for link in self.links:
            link.sock.close()
        self.listener.close()


class ScorerPeer(Listening):
    """A scorer that answers load orders with `copies` copies; the test answers the calls itself."""

    def __init__(self, id="s-1", copies=1):
        super().__init__()
        self.id, self.copies, self.frames, self.readers = id, copies, [], {}

    def pump(self):
        super().pump()
        for link in self.links:
            reader = self.readers.setdefault(link, scorer_frames.FrameReader(scorer_frames.FROM_FRONT_END))
            data, link.data = bytes(link.data), bytearray()
            for frame in reader.feed(data):
                self.frames.append((link, frame))
                if frame.code == scorer_frames.LOAD and self.copies is not None:
                    self.answer((link, frame), 0, f"slots_up={self.copies}")

    def answer(self, item, code=0, fields="res=reused", body=b""):
        link, frame = item
        link.sock.sendall(scorer_frames.encode(code, frame.id, fields, body, scorer_frames.FROM_SCORER))

    def of(self, code):
        return [(link, frame) for link, frame in self.frames if frame.code == code]

    @property
    def runs(self):
        return self.of(scorer_frames.RUN)

    def member(self, phase="in_service", **more):
        return {"id": self.id, "host_port": self.host_port, "phase": phase, "size": 4, **more}


class LogPeer(Listening):
    """A change log: receives the queries `since N`, and sends the lines that the test passes to `say`."""

    def asked(self):
        return [bytes(link.data).decode().split() for link in self.links if link.data]

    def say(self, line, link=-1):
        text = line if isinstance(line, bytes) else json.dumps(line).encode()
        self.links[link].sock.sendall(text + b"\n")


class ClientPeer(Buffered):
    def __init__(self, address):
        super().__init__(socket.create_connection(address))
        self.answers, self.seqid = [], 0

    def pump(self):
        super().pump()
        while len(self.data) >= 4 and len(self.data) >= 4 + (size := struct.unpack_from(">I", self.data)[0]):
            self.answers.append(reply_from(bytes(self.data[4 : 4 + size])))
            del self.data[: 4 + size]

    def call(self, op="view", body=b"", seqid=None, **fields):
        self.seqid = seqid or self.seqid + 1
        base = {"op": op, "call": f"{self.seqid:016x}", "ttl": "8000", "org": "acme", "row": ROW}
        base |= {"dedupe": "5c0f"} if op == "save" else {}
        self.sock.sendall(handle_frame(self.seqid, base | fields, body))
        return self.seqid

    def withdraw(self, seqid):
        payload = struct.pack(">bhib", thrift.I32, 1, seqid, 0)
        self.sock.sendall(thrift._frame(thrift.ONEWAY, b"withdraw", 99, payload))

    def status(self, seqid=500):
        self.sock.sendall(thrift._frame(thrift.CALL, b"status", seqid, struct.pack(">bhbb", 2, 1, 1, 0)))

    def kinds(self):
        return {seqid: kind for seqid, kind, _ in self.answers}


def handle_frame(seqid, fields, body=b"", name=b"handle", kind=thrift.CALL):
    payload = struct.pack(">bh", thrift.MAP, 1) + thrift._fields(fields)
    payload += struct.pack(">bh", thrift.STRING, 2) + thrift._text(body) + b"\0"
    return thrift._frame(kind, name, seqid, payload)


def reply_from(data):
    """Return the sequence number, kind and content of an answer."""
    kind, _, seqid, at = thrift._head(data)
    if kind == thrift.EXCEPTION:
        return seqid, "exception", data[at:]
    _, number, at = *struct.unpack_from(">bh", data, at), at + 3
    content, _ = read_struct(data, at)
    return seqid, ("answer", "throttled", "broken")[number], content


def read_struct(data, at):
    found = {}
    while data[at]:
        kind, number = struct.unpack_from(">bh", data, at)
        found[number], at = read_value(data, at + 3, kind)
    return found, at + 1


def read_value(data, at, kind):
    if kind == thrift.BOOL:
        return bool(data[at]), at + 1
    if kind == thrift.MAP:
        pairs, count = {}, struct.unpack_from(">i", data, at + 2)[0]
        at += 6
        for _ in range(count):
            name, at = read_value(data, at, thrift.STRING)
            pairs[name.decode()], at = read_value(data, at, thrift.STRING)
        return pairs, at
    length = struct.unpack_from(">i", data, at)[0]
    return data[at + 4 : at + 4 + length], at + 4 + length


class Rig:
    """A front end in this thread, with its change log, scorers and clients."""

    def __init__(self, *scorers, settings=None, limits=None, start=True):
        self.scorers, self.log, self.clients, self.lines = list(scorers), LogPeer(), [], []
        event = {"seq": 1, "fleet": {"complete": True, "members": [peer.member() for peer in scorers]}}
        config = {
            "listen": "127.0.0.1:0",
            "changelog": self.log.host_port,
            "seed": "7",
            "known": {"seq": 1, "results": [event]},
            "settings": SETTINGS | (settings or {}),
            "limits": limits or {},
        }
        log = lambda text, source="": self.lines.append(text)  # noqa: E731
        self.front = FrontEnd(deployment_from(config, {}), log=log)
        self.front.start()
        if start:
            self.until(lambda: self.log.asked(), "the front end has asked the change log")
            self.log.say(1)  # confirms the roster; without it no scorer is proved to be in service
            self.until(lambda: self.front.router.roster_confirmed_ms > 0, "the roster is confirmed")

    def client(self):
        self.clients.append(ClientPeer(self.front.address))
        return self.clients[-1]

    def until(self, condition, what="it happens"):
        """Run the loop and the peers until the condition holds; `what` describes it if the wait times out."""
        end = time.monotonic() + PATIENCE_S
        while not condition():
            assert time.monotonic() < end, f"timed out waiting until {what}"
            self.front.loop.run_iteration(0.005)
            for peer in [self.log, *self.scorers, *self.clients]:
                peer.pump()

    def settle(self, client):
        """Wait until everything sent so far is handled, by the answer to a status call."""
        seqid = 1000 + len(client.answers)
        client.status(seqid)
        self.until(lambda: seqid in client.kinds(), "the status call is answered")

    def close(self):
        self.front.close()
        for peer in [*self.scorers, self.log]:
            peer.close()
        for client in self.clients:
            client.sock.close()


def ready(sock, seconds=PATIENCE_S):
    with selectors.DefaultSelector() as selector:
        selector.register(sock, selectors.EVENT_READ)
        return bool(selector.select(seconds))
