"""Several real processes of one front end with their peers, which are driven from the test's own thread."""

import collections
import json
import os
import re
import selectors
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from peers import ROW, SETTINGS, Buffered, ClientPeer, LogPeer, ScorerPeer, handle_frame

from fawnwharf.admin.handoff_directory import HandoffDirectory
from fawnwharf.net import scorer_frames

PATIENCE_S = 40.0  # maximum wait for a condition; long enough for a busy machine
START_S = 6.0  # a successor must be ready within this time
OUGHT_S = 3.7  # a process that was told to end must have ended within this time; otherwise it is killed
TICK_S = 0.01
NAME = "fe-1"


class Port:
    """A loopback port that is reserved until the test ends: it is bound, but not listened on."""

    def __init__(self, shared=False):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.sock.bind(("127.0.0.1", 0))
        self.address = self.sock.getsockname()
        self.text = f"127.0.0.1:{self.address[1]}"


class Scorer(ScorerPeer):
    """Answers each run after a delay with the bytes of its body.

    A body that begins with `big:N:` gets N more bytes. After the first load order for a function the scorer
    has `copies` copies of it.
    """

    def __init__(self, id, delay_s=0.02, copies=4):
        super().__init__(id, copies)
        self.delay_s, self.taken, self.due, self.outboxes = delay_s, 0, collections.deque(), {}
        self.stands = set()

    def pump(self):
        super().pump()
        now = time.monotonic()
        for item in self.runs[self.taken :]:
            self.due.append((now + self.delay_s, item))
        self.taken = len(self.runs)
        for entry in [entry for entry in self.due if entry[0] <= now]:  # delays may differ
            self.due.remove(entry)
            _, (link, frame) = entry
            size = int(frame.body.split(b":")[1]) if frame.body.startswith(b"big:") else 0
            self.answer((link, frame), body=b"done:" + frame.body + b"." * size)
        for link, outbox in self.outboxes.items():
            flush(link, outbox)

    def answer(self, item, code=0, fields="res=reused", body=b""):
        link, frame = item
        if frame.code == scorer_frames.LOAD:
            if frame.fields["slots_up"] != "0":
                self.stands.add(frame.fields["obj"])
            fields = f"slots_up={self.copies * (frame.fields['obj'] in self.stands)}"
        data = scorer_frames.encode(code, frame.id, fields, body, scorer_frames.FROM_SCORER)
        self.outboxes.setdefault(link, bytearray()).extend(data)

    @property
    def loads(self):
        return [frame for _, frame in self.of(scorer_frames.LOAD) if frame.fields["slots_up"] != "0"]


def flush(link, outbox):
    """Write as much as the socket accepts; drop everything if the other end has closed the connection."""
    try:
        while outbox:
            del outbox[: link.sock.send(outbox)]
    except BlockingIOError:
        pass
    except OSError:
        link.ended = True
        outbox.clear()


class Log(LogPeer):
    """A change log that sends heartbeats, so that its silence is not taken for an outage."""

    beat_s = 0.0

    def pump(self):
        super().pump()
        if time.monotonic() - self.beat_s > 0.5:
            self.beat_s = time.monotonic()
            for link in self.links:
                flush(link, bytearray(b"1\n"))


class Caller(ClientPeer):
    """A client that checks that each of its calls gets exactly one answer, with the body of that call."""

    made = 0

    def __init__(self, address, op="view", small=False):
        Caller.made += 1
        self.number, self.op = Caller.made, op
        self.bodies, self.seen, self.faults, self.looked = {}, collections.Counter(), [], 0
        self.outbox, self.reads, self.rest = bytearray(), True, b""
        sock = socket.socket()
        if small:  # so that a long answer does not fit into the system's buffers
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 600)
        sock.settimeout(PATIENCE_S)
        sock.connect(address)
        Buffered.__init__(self, sock)
        self.answers, self.seqid = [], 0

    def frame(self, before=b"", **fields):
        """The bytes of the next call."""
        self.seqid += 1
        body = before + b"%d/%d" % (self.number, self.seqid)
        self.bodies[self.seqid] = body
        call = f"{self.number:08x}{self.seqid:08x}"
        base = {"op": self.op, "call": call, "ttl": "8000", "org": "acme", "row": ROW}
        base |= {"dedupe": f"{self.number}.{self.seqid}"} if self.op == "save" else {}
        return handle_frame(self.seqid, base | fields, body)

    def ask(self, before=b"", **fields):
        self.outbox += self.frame(before, **fields)
        flush(self, self.outbox)

    def pump(self):
        if not self.reads:
            return
        flush(self, self.outbox)
        super().pump()
        for seqid, kind, content in self.answers[self.looked :]:
            self.seen[seqid] += 1
            body = self.bodies.get(seqid)
            if body is None or kind not in ("answer", "throttled"):
                self.faults.append(f"{kind} for {seqid}")
            elif kind == "answer" and not content[1].startswith(b"done:" + body):
                self.faults.append(f"the body of another call for {seqid}: {content[1][:40]!r}")
            elif kind == "answer" and body.startswith(b"big:"):
                size = 5 + len(body) + int(body.split(b":")[1])
                if len(content[1]) != size or content[1][5 + len(body) :].strip(b"."):
                    self.faults.append(f"an incomplete answer for {seqid}")
        self.looked = len(self.answers)

    @property
    def open(self):
        return len(self.bodies) - len(self.seen)

    def verdict(self):
        """All faults so far: a closed connection, calls with no or several answers, and wrong bodies."""
        found = list(self.faults) + ["the connection ended"] * self.ended
        found += [f"{self.seen[seqid]} answers for {seqid}" for seqid in self.bodies if self.seen[seqid] != 1]
        return [f"client {self.number}: {text}" for text in found]


class Process:
    """One process of the front end, with its own admin address."""

    def __init__(self, site, env, options=(), program=("fawnwharf",)):
        self.site, self.port = site, Port()
        self.errors = tempfile.TemporaryFile(dir=site.folder)  # noqa: SIM115
        env = {**os.environ, **env, "ROUTER_CONTROL": self.port.text, "ROUTER_CONFIG": str(site.config)}
        env = {name: value for name, value in env.items() if value is not None}
        self.began, self.ended_s = time.monotonic(), None
        self.child = subprocess.Popen(
            [sys.executable, "-m", *program, "serve", *options],
            env=env,
            stdout=self.errors,
            stderr=self.errors,
        )

    @property
    def log(self):
        return os.pread(self.errors.fileno(), 1 << 20, 0).decode()

    @property
    def ended(self):
        return self.child.poll() is not None

    def signal(self, number):
        self.child.send_signal(number)

    def kill(self):
        self.child.kill()
        self.child.wait()

    def close(self):
        self.kill()
        self.errors.close()
        self.port.sock.close()


class Question(Buffered):
    """An admin command that was sent, and its response."""

    def __init__(self, process, path, method):
        super().__init__(socket.create_connection(process.port.address))
        self.sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())

    @property
    def status(self):
        return int(self.data.split(b" ")[1]) if self.ended and self.data else 0


class Site:
    """A change log, scorers, clients and the processes of one front end, with the loop for the peers."""

    def __init__(self, scorers=2, delay_s=0.02, **config):
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.log, self.listen = Log(), Port(shared=True)
        self.scorers = [Scorer(f"s-{n + 1}", delay_s) for n in range(scorers)]
        self.callers, self.gone, self.processes, self.questions, self.habits = [], [], [], [], []
        members = [scorer.member() for scorer in self.scorers]
        event = {"seq": 1, "fleet": {"complete": True, "members": members}}
        self.config = self.folder / "config.json"
        self.config.write_text(
            json.dumps(
                {
                    "name": NAME,
                    "listen": self.listen.text,
                    "changelog": self.log.host_port,
                    "seed": "7",
                    "known": {"seq": 1, "results": [event]},
                    "settings": SETTINGS,
                }
                | config
            )
        )
        (self.folder / "meet").mkdir()
        self.place = HandoffDirectory(str(self.folder / "meet"), NAME, self.listen.address)

    # --- the loop ---------------------------------------------------------------------------------

    def turn(self):
        with selectors.DefaultSelector() as selector:
            for peer in [self.log, *self.scorers]:
                if peer.listener.fileno() >= 0:  # otherwise the peer is stopped
                    selector.register(peer.listener, selectors.EVENT_READ)
            links = [link for peer in [self.log, *self.scorers] for link in peer.links]
            readers = [caller for caller in self.callers if caller.reads]
            for link in [*links, *readers, *self.questions]:
                if not link.ended:
                    selector.register(link.sock, selectors.EVENT_READ)
            selector.select(TICK_S)
        for peer in [self.log, *self.scorers, *self.callers, *self.questions]:
            peer.pump()
        for habit in list(self.habits):
            habit()

    def until(self, condition, what, patience_s=PATIENCE_S):
        end = time.monotonic() + patience_s
        while not (found := condition()):
            if time.monotonic() > end:
                logs = "\n---\n".join(process.log[-1500:] for process in self.processes)
                raise AssertionError(f"waited in vain until {what}\n{logs}")
            self.turn()
        return found

    # --- processes ----------------------------------------------------------------------------------

    def begin(self, options=(), **env):
        """Start a process, without waiting for it."""
        self.processes.append(Process(self, {"TMPDIR": str(self.place.folder)} | env, options))
        return self.processes[-1]

    def start(self, **env):
        process = self.begin(**env)
        self.until_ready(process)
        return process

    def until_ready(self, process):
        asked = []

        def ready():
            assert not process.ended, process.log
            if asked and asked[0].status == 200:
                return True
            if not asked or asked[0].ended:
                asked.clear()
                try:
                    asked.append(Question(process, "/status", "GET"))
                except OSError:
                    return False
                self.questions[:] = [q for q in self.questions if not q.ended] + asked
            return False

        self.until(ready, "the process is ready")

    def ask(self, process, path, method="POST"):
        question = Question(process, path, method)
        self.questions.append(question)
        self.until(lambda: question.ended, "the admin command is answered")
        self.questions.remove(question)
        question.sock.close()
        return question.status

    def until_logged(self, process, text):
        self.until(lambda: re.search(text, process.log), f"the process has logged {text}")

    def end(self, *processes):
        """Send SIGTERM; returns the seconds until the processes have ended. Their status must be 0."""
        began = time.monotonic()
        for process in processes:
            process.signal(signal.SIGTERM)
        self.until(lambda: all(process.ended for process in processes), "the processes have ended")
        took = time.monotonic() - began
        for process in processes:
            assert process.child.returncode == 0, process.log
        return took

    # --- clients ----------------------------------------------------------------------------------

    def caller(self, **more):
        self.callers.append(Caller(self.listen.address, **more))
        return self.callers[-1]

    def drop(self, caller):
        self.callers.remove(caller)
        self.gone.append(caller)
        caller.sock.close()

    def served(self, caller=None, **fields):
        """Make a call and wait for its answer; without a given client, on a new connection."""
        caller = caller or self.caller()
        caller.ask(**fields)
        self.until(lambda: not caller.open or caller.ended, "the call is answered")
        return caller

    def verdict(self):
        self.until(lambda: not any(c.open and not c.ended for c in self.callers), "all calls are answered")
        self.turn()  # a second answer would arrive directly after the first
        return [text for caller in [*self.callers, *self.gone] for text in caller.verdict()]

    def close(self):
        for process in self.processes:
            process.close()
        for peer in [*self.scorers, self.log]:
            peer.close()
        for caller in [*self.callers, *self.questions]:
            caller.sock.close()
        self.listen.sock.close()
        self.temporary.cleanup()


def unsent_of(listen, caller):
    """Bytes that the system has not yet delivered to a client which does not read, from /proc/net/tcp."""
    mine, theirs = caller.sock.getsockname()[1], listen[1]
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        parts = line.split()
        ports = [int(part.split(":")[1], 16) for part in parts[1:3]]
        if ports == [theirs, mine]:
            return int(parts[4].split(":")[0], 16)
    return 0


class Case(unittest.TestCase):
    def site(self, *arguments, **more):
        site = Site(*arguments, **more)
        self.addCleanup(site.close)
        return site

    def busy(self, site):
        """A client that is never idle, so that its connection is not handed off."""
        caller = site.served()

        def more():
            while caller.open < 3 and not caller.ended:
                caller.ask(ttl="1500")

        site.habits.append(more)
        more()
        return caller

    def settled(self, site):
        """Check that each call has one answer, no connection has ended, and no process has logged a fault."""
        self.assertEqual(site.verdict(), [])
        for process in site.processes:
            self.assertNotIn("fault in", process.log)
