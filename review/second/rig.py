"""Stand-ins for clients, scorers and the change log, and the front ends under test.

Everything runs on loopback addresses and on the real clock. Each party notes what it sends, gets and runs in
one `Record`, which a case writes to `record.txt`.

A request's body tells the scorers what to do with it, as `key=value` pairs: `work` (milliseconds), `end`
(`good` or `error`, good when absent), `size` (bytes of the answer). Scorers run each request that they read,
and note when it begins.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import secrets
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
LOGGING = Path(__file__).resolve().parent / "logging_library"
HEADER = struct.Struct(">BBHI8s")
RUN, GIVE_UP, LOAD = 1, 2, 5
OK, MISS, FULL, ERROR = 0, 2, 3, 4
STOP, BOOL, I32, STRING, STRUCT, MAP = 0, 2, 8, 11, 12, 13
READY_S = 15.0
HOST = "127.0.0.1"


def now_ms() -> float:
    """Unix time in milliseconds."""
    return time.time() * 1000.0


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self) -> None:
        self.began_ms = now_ms()
        self.lines: list[str] = []
        # By idempotency key, or by request where there is none: when and where it began to run.
        self.runs: dict[str, list[tuple[float, str]]] = {}

    def note(self, who: str, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{now_ms() - self.began_ms:10.1f} {who:8} {text}")

    def ran(self, request: str, scorer: str) -> None:
        """Note that a request begins to run."""
        self.runs.setdefault(request, []).append((now_ms(), scorer))
        self.note(scorer, f"RUNS {request}")

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self.lines) + "\n")


def free_port() -> int:
    """A port on which nobody listens now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


# --- the change log -------------------------------------------------------------------------------


class ChangeLog:
    """Numbered events of the list of scorers, and a heartbeat each second."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.port = 0
        self._readers: set[asyncio.StreamWriter] = set()
        self._tasks: list[Any] = []

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]
        self._tasks += [server, asyncio.create_task(self._beat())]

    def tell(self, members: list[dict[str, Any]], complete: bool = False) -> None:
        """Add an event."""
        number = len(self.events) + 1
        self.events.append(
            {"seq": number, "fleet": {"revision": number, "complete": complete, "members": members}}
        )
        for reader in self._readers:
            reader.write(json.dumps(self.events[-1]).encode() + b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = (await reader.readline()).split()
        if len(line) != 2:
            writer.close()
            return
        for event in self.events[int(line[1]) :]:
            writer.write(json.dumps(event).encode() + b"\n")
        self._readers.add(writer)
        with contextlib.suppress(OSError):
            await reader.read()
        self._readers.discard(writer)
        writer.close()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for reader in self._readers:
                reader.write(b"%d\n" % len(self.events))


# --- scorers --------------------------------------------------------------------------------------


def answer_of(request: str, body: bytes) -> bytes:
    """The body that a scorer answers with."""
    made = hashlib.sha256(request.encode() + body).hexdigest().encode()
    return made * max(1, int(wishes_of(body).get("size", "1")) // len(made))


def wishes_of(body: bytes) -> dict[str, str]:
    """What a request's body asks of its scorer."""
    return dict(part.split("=", 1) for part in body.decode().split() if "=" in part)


class Scorer:
    """Runs each request that it reads; `drops_ms`: for so long it drops repeats under one key."""

    def __init__(
        self,
        name: str,
        record: Record,
        keys: dict[str, float],
        drops_ms: float = 1500.0,
        misses: bool = False,
    ) -> None:
        """`misses`: without a copy it answers a request with a miss, and loads nothing by itself."""
        self.name, self.record, self.keys, self.drops_ms = name, record, keys, drops_ms
        self.misses = misses
        self.port = 0
        self.copies: dict[str, int] = {}
        self.held: dict[str, int] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def member(self, zone: str, phase: str = "in_service") -> dict[str, Any]:
        """Its entry in the change log."""
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": zone,
            "flavor": "std-4",
            "cell": 0,
            "phase": phase,
            "size": 1,
            "up_since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks: dict[bytes, asyncio.Task[None]] = {}
        try:
            while True:
                head = await reader.readexactly(HEADER.size)
                mark, code, field_bytes, body_bytes, ident = HEADER.unpack(head)
                content = await reader.readexactly(field_bytes + body_bytes)
                (check,) = struct.unpack(">I", await reader.readexactly(4))
                if mark != 128 or check != zlib.crc32(content):
                    break
                text = content[:field_bytes].decode()
                fields = dict(part.split("=", 1) for part in text.split(",") if part)
                if code == RUN:
                    body = content[field_bytes:]
                    task = asyncio.create_task(self._run(writer, ident, fields, body))
                    tasks[ident] = task
                elif code == LOAD:
                    self._load(writer, ident, fields)
                elif code in (3, 4):
                    self._answer(writer, 6, ident)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    def _answer(
        self, writer: asyncio.StreamWriter, code: int, ident: bytes, fields: str = "", body: bytes = b""
    ) -> None:
        data = fields.encode()
        check = struct.pack(">I", zlib.crc32(data + body))
        with contextlib.suppress(OSError, RuntimeError):
            writer.write(HEADER.pack(129, code, len(data), len(body), ident) + data + body + check)

    def _load(self, writer: asyncio.StreamWriter, ident: bytes, fields: dict[str, str]) -> None:
        function = fields["obj"]
        wanted = int(fields["slots_up"])
        if wanted:
            self.copies[function] = max(wanted, self.copies.get(function, 0))
        self._answer(writer, OK, ident, f"slots_up={self.copies.get(function, 0)}")

    async def _run(
        self, writer: asyncio.StreamWriter, ident: bytes, fields: dict[str, str], body: bytes
    ) -> None:
        request = ident.hex()
        wishes = wishes_of(body)
        function, token = fields["obj"], fields.get("token", "")
        if self.misses and not self.copies.get(function):
            self.record.note(self.name, f"answers MISS to {request}")
            self._answer(writer, MISS, ident)
            return
        note = "reused" if self.copies.get(function) else "init"
        self.copies.setdefault(function, 1)
        company = self.held.get(function, 0)
        self.held[function] = company + 1
        if token and now_ms() - self.keys.get(token, -1e18) < self.drops_ms:
            self.record.note(self.name, f"drops a repeat of key {token}")
        else:
            if token:
                self.keys[token] = now_ms()
            self.record.ran(token or request, self.name)
        await asyncio.sleep(float(wishes.get("work", "20")) / 1000.0)
        self.held[function] -= 1
        more = f"res={note},company={company}"
        if wishes.get("end") == "error":
            self.record.note(self.name, f"answers ERROR to {request}")
            self._answer(writer, ERROR, ident)
        else:
            self.record.note(self.name, f"answers OK to {request}")
            self._answer(writer, OK, ident, more, answer_of(request, body))


# --- clients --------------------------------------------------------------------------------------


def _text(data: bytes) -> bytes:
    return struct.pack(">I", len(data)) + data


def _message(kind: int, name: bytes, seqid: int, arguments: bytes) -> bytes:
    return _text(struct.pack(">I", 0x80010000 | kind) + _text(name) + struct.pack(">i", seqid) + arguments)


class Answer:
    """What a front end answered: `kind` is served, refused, failed, ready, unready, lost or none."""

    def __init__(self, kind: str, body: bytes = b"", pushback_ms: float = 0.0) -> None:
        self.kind, self.body, self.pushback_ms = kind, body, pushback_ms
        self.at_ms = now_ms()

    def __repr__(self) -> str:
        return f"{self.kind} {self.body[:16].decode('ascii', 'replace')}".strip()


class _Reader:
    """Reads the values of one Thrift message."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, form: str) -> Any:
        (value,) = struct.unpack_from(form, self.data, self.at)
        self.at += struct.calcsize(form)
        return value

    def text(self) -> bytes:
        length = self.take(">I")
        self.at += length
        return self.data[self.at - length : self.at]

    def struct(self) -> dict[int, Any]:
        found: dict[int, Any] = {}
        while (kind := self.take(">b")) != STOP:
            number = self.take(">h")
            found[number] = self.value(kind)
        return found

    def value(self, kind: int) -> Any:
        if kind == STRING:
            return self.text()
        if kind == BOOL:
            return bool(self.take(">b"))
        if kind == I32:
            return self.take(">i")
        if kind == STRUCT:
            return self.struct()
        if kind == MAP:
            self.take(">b")
            self.take(">b")
            return {self.text().decode(): self.text().decode() for _ in range(self.take(">i"))}
        raise ValueError(f"a value of kind {kind}")


class Client:
    """One client connection."""

    def __init__(self, record: Record, name: str, port: int, org: str = "") -> None:
        """`org` is its tenant."""
        self.record, self.name, self.port, self.org = record, name, port, org
        self.last = 0
        self.closed = False
        self.waits: dict[int, asyncio.Future[Answer]] = {}
        self._ids: dict[int, str] = {}
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> "Client":
        """Connect; raises OSError."""
        reader, self._writer = await asyncio.open_connection(HOST, self.port)
        self._task = asyncio.create_task(self._read(reader))
        return self

    def call(
        self, op: str, ident: str, ttl: float, row: str, body: str, **more: str
    ) -> asyncio.Future[Answer]:
        """Send a request; the future gets its answer."""
        fields = {"op": op, "call": ident, "ttl": str(int(ttl)), "row": row, **more}
        fields.setdefault("org", self.org)
        fields.setdefault("props", "memory_mb:256;lanes:8;load_ms:100")
        pairs = b"".join(_text(name.encode()) + _text(value.encode()) for name, value in fields.items())
        arguments = struct.pack(">bh", MAP, 1) + struct.pack(">bbi", STRING, STRING, len(fields)) + pairs
        arguments += struct.pack(">bh", STRING, 2) + _text(body.encode()) + b"\0"
        self.record.note(self.name, f"asks {op} {ident} ttl {ttl:.0f}")
        return self._send(1, b"handle", arguments, ident)

    def status(self) -> asyncio.Future[Answer]:
        """Ask whether the front end is ready."""
        return self._send(1, b"status", struct.pack(">bhb", BOOL, 1, 0) + b"\0", "status")

    def withdraw(self, seqid: int) -> None:
        """Take a request back."""
        self.record.note(self.name, f"withdraws {self._ids.get(seqid)}")
        self.waits.pop(seqid, None)
        self.last += 1
        arguments = struct.pack(">bhi", I32, 1, seqid) + b"\0"
        if self._writer is not None:
            self._writer.write(_message(4, b"withdraw", self.last, arguments))

    def reset(self) -> None:
        """Reset the connection, as the network does."""
        self.record.note(self.name, "its connection is reset")
        self.closed = True
        self.waits.clear()
        if self._writer is not None:
            self._writer.transport.abort()

    def close(self) -> None:
        """Close the connection: this client has gone."""
        if not self.closed and self._writer is not None:
            self.record.note(self.name, "closes its connection")
            self.closed = True
            self.waits.clear()
            self._writer.close()

    def _send(self, kind: int, name: bytes, arguments: bytes, ident: str) -> asyncio.Future[Answer]:
        self.last += 1
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.waits[self.last] = future
        self._ids[self.last] = ident
        if self._writer is None or self.closed:
            future.set_result(Answer("lost"))
        else:
            self._writer.write(_message(kind, name, self.last, arguments))
        return future

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                (size,) = struct.unpack(">I", await reader.readexactly(4))
                self._take(_Reader(await reader.readexactly(size)))
        if not self.closed:
            self.record.note(self.name, "its connection was closed by the front end")
        self.closed = True
        for future in self.waits.values():
            if not future.done():
                future.set_result(Answer("lost"))

    def _take(self, data: _Reader) -> None:
        kind = data.take(">I") & 0xFF
        name, seqid = data.text(), data.take(">i")
        answer = Answer("failed")
        if kind == 2:
            answer = self._answer_of(name, data.struct())
        if name != b"status":
            self.record.note(self.name, f"gets {answer!r} for {self._ids.get(seqid)}")
        future = self.waits.pop(seqid, None)
        if future is not None and not future.done():
            future.set_result(answer)

    def _answer_of(self, name: bytes, read: dict[int, Any]) -> Answer:
        if 0 in read:
            good = read[0].get(3, False)
            if name == b"status":
                return Answer("ready" if good else "unready")
            return Answer("served" if good else "failed", read[0].get(1, b""))
        if 1 in read:
            return Answer("refused", b"", float(read[1].get(1, {}).get("pushback", "0")))
        return Answer("failed")


def new_id() -> str:
    """An id that no other request has."""
    return secrets.token_hex(8)


async def wait_for(future: asyncio.Future[Answer], within_s: float) -> Answer:
    """The answer, or one of kind `none`."""
    try:
        return await asyncio.wait_for(asyncio.shield(future), max(0.0, within_s))
    except TimeoutError:
        return Answer("none")


# --- front ends -----------------------------------------------------------------------------------

LJUBLJANA: dict[str, Any] = {
    "classes": [
        {"name": "points-view", "effect": "idempotent", "give_up": 3000, "promise": 800, "worth": 1.0},
        {
            "name": "lineup-save",
            "effect": "deduplicated",
            "group": "all",
            "dedup_window": 1500,
            "give_up": 2500,
            "promise": 600,
            "worth": 5.0,
        },
        {"name": "transfer-settle", "effect": "at_most_once", "give_up": 2000, "promise": 800, "worth": 5.0},
    ],
    "tenants": [
        {"name": "medijska-hisa", "quota_rps": 122.0, "share": 0.61},
        {"name": "klub-sever", "quota_rps": 78.0, "share": 0.39},
    ],
    "bounds": {
        "cancel": True,
        "second_copies": True,
        "max_attempts": 3,
        "retry_after": True,
        "max_retry_after": 1000.0,
        "dial_timeout": 250.0,
        "keepalive": 15000.0,
        "streams_per_conn": 32,
    },
    "family_info": {
        "may_order": True,
        "idle_life": 9300.0,
        "load_window": 5000.0,
        "free_loads": 6.0,
        "load_part": 0.3,
        "load_wait": 10000.0,
        "not_loaded": "load",
        "notes_peers_in_hand": True,
        "says_warm": True,
    },
    "invariants": {
        "cold": 14000.0,
        "cold_share": 0.15,
        "drain_grace": 250.0,
        "fall": 1500.0,
        "fall_multiple": 2.0,
    },
}
BILBAO: dict[str, Any] = {
    "classes": [
        {"name": "preview", "effect": "idempotent", "give_up": 3000, "promise": 600, "worth": 1.0},
        {
            "name": "ad-stitch",
            "effect": "deduplicated",
            "group": "zone",
            "dedup_window": 1500,
            "give_up": 2500,
            "promise": 750,
            "worth": 3.0,
        },
        {"name": "publish", "effect": "at_most_once", "give_up": 3000, "promise": 800, "worth": 5.0},
    ],
    "tenants": [
        {"name": "cantabrico-media", "quota_rps": 48.0, "share": 0.37},
        {"name": "voces-del-norte", "quota_rps": 44.0, "share": 0.34},
        {"name": "ria-sonora", "quota_rps": 38.0, "share": 0.29},
    ],
    "bounds": {**LJUBLJANA["bounds"], "max_attempts": 4},
    "family_info": {
        **LJUBLJANA["family_info"],
        "load_part": 0.15,
        "not_loaded": "miss",
        "notes_peers_in_hand": False,
        "says_warm": False,
    },
    "invariants": {
        "cold": 16000.0,
        "cold_share": 0.16,
        "drain_grace": 500.0,
        "fall": 3000.0,
        "fall_multiple": 4.0,
    },
}


def settings(site: dict[str, Any], front_ends: int, zone: str, number: int) -> dict[str, Any]:
    """The settings of a small deployment of a site."""
    return {
        **site,
        "fleet_size": front_ends,
        "locality": zone,
        "me": number,
        "tick": 4.0,
        "weight_source": "rough",
    }


def run_command() -> str:
    """The command of the deploy file that starts a front end."""
    command: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return command


class FrontEnd:
    """One front end, as the deploy file starts it."""

    def __init__(self, name: str, zone: str, folder: Path, record: Record, more: str = "") -> None:
        """`more` is added to the deploy file's command, as pages say for what is off by default."""
        self.name, self.zone, self.record, self.more = name, zone, record, more
        self.folder = folder / name
        self.port, self.control = free_port(), 0
        self.processes: list[asyncio.subprocess.Process] = []

    def configure(
        self, site: dict[str, Any], changelog: ChangeLog, front_ends: int, number: int, **more: Any
    ) -> None:
        """Write its configuration file."""
        (self.folder / "tmp").mkdir(parents=True, exist_ok=True)
        known = {"seq": len(changelog.events), "results": changelog.events}
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "changelog": f"{HOST}:{changelog.port}",
            "known": known,
            "settings": settings(site, front_ends, self.zone, number),
            **more,
        }
        (self.folder / "config.json").write_text(json.dumps(config))

    async def start(self, control: int = 0, more: str | None = None) -> None:
        """Start a process, and wait until it answers that it is ready."""
        env = {name: value for name, value in os.environ.items() if not name.startswith("ROUTER_")}
        env |= {"ROUTER_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder / "tmp")}
        env |= {"PYTHONDONTWRITEBYTECODE": "1", "PYTHONPATH": str(LOGGING)}
        if control:
            env["ROUTER_CONTROL"] = f"{HOST}:{control}"
            self.control = control
        command = f"{run_command()} {self.more if more is None else more}"
        with open(self.folder / "log.txt", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.processes.append(process)
        self.record.note(self.name, f"process {len(self.processes)} starts")

    async def ready(self, within_s: float = READY_S) -> bool:
        """Wait until it answers a status request with yes."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            client = Client(self.record, "probe", self.port)
            try:
                await client.connect()
                answer = await wait_for(client.status(), 1.0)
            except OSError:
                answer = Answer("lost")
            with contextlib.suppress(Exception):
                client.closed = True
                if client._writer is not None:
                    client._writer.close()
            if answer.kind == "ready":
                self.record.note(self.name, "is ready")
                return True
            await asyncio.sleep(0.05)
        return False

    def signal(self, number: int, index: int = -1) -> None:
        """Send a signal to one of its processes."""
        process = self.processes[index]
        if process.returncode is None:
            self.record.note(self.name, f"gets {signal.Signals(number).name}")
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(number)

    async def end(self) -> None:
        """End all its processes."""
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
            await process.wait()


class World:
    """A change log, scorers and front ends in a folder of their own; ends all of them."""

    def __init__(self, site: dict[str, Any]) -> None:
        self.site = site
        self.record = Record()
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.changelog = ChangeLog(self.record)
        self.keys: dict[str, dict[str, float]] = {}  # that scorers share, by zone where they do by zone
        self.scorers: list[Scorer] = []
        self.fronts: list[FrontEnd] = []

    async def add_scorers(self, zones: list[str]) -> None:
        """Start the change log, and one scorer in each of these zones."""
        await self.changelog.start()
        for number, zone in enumerate(zones):
            misses = self.site["family_info"]["not_loaded"] == "miss"
            by_zone = any(each.get("group") == "zone" for each in self.site["classes"])
            keys = self.keys.setdefault(zone if by_zone else "all", {})
            scorer = Scorer(f"s-{number}", self.record, keys, misses=misses)
            await scorer.start()
            self.scorers.append(scorer)
            self.changelog.events or self.changelog.tell([], complete=True)
            self.changelog.tell([scorer.member(zone)])

    def add_fronts(self, zones: list[str], more: str = "", **config: Any) -> None:
        """Configure front ends, one in each of these zones."""
        for number, zone in enumerate(zones):
            front = FrontEnd(f"n{number}", zone, self.folder, self.record, more)
            front.configure(self.site, self.changelog, len(zones), number, **config)
            self.fronts.append(front)

    def members(self, ballots: bool = False) -> dict[str, Any]:
        """The file of members, with a `state` address for each front end."""
        found = []
        for front in self.fronts:
            entry = {"name": front.name, "zone": front.zone, "region": "east"}
            entry |= {"address": f"{HOST}:{free_port()}", "state": f"{HOST}:{free_port()}"}
            if ballots:
                entry["ballots"] = f"{HOST}:{free_port()}"
            found.append(entry)
        return {"version": 1, "fleet": "main", "number": 1, "members": found}

    async def client(self, name: str, front: FrontEnd) -> Client:
        """A client of the site's first tenant, connected to a front end."""
        org = self.site["tenants"][0]["name"]
        return await Client(self.record, name, front.port, org).connect()

    async def close(self) -> None:
        """End all processes, and remove the folder."""
        for front in self.fronts:
            await front.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(play: Callable[[World], Any], folder: Path, site: dict[str, Any]) -> int:
    """Play a case with the settings of a site, and write `record.txt`.

    Returns 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
    """

    async def whole() -> int:
        world = World(site)
        status = 2
        try:
            status = await asyncio.wait_for(play(world), 110.0)
        except Exception as error:
            world.record.note("case", f"could not run: {error!r}")
        finally:
            world.record.write(folder / "record.txt")
            if os.environ.get("KEEP_LOGS"):
                for front in world.fronts:
                    shutil.copy(front.folder / "log.txt", f"{os.environ['KEEP_LOGS']}-{front.name}.txt")
            await world.close()
        return status

    return asyncio.run(whole())
