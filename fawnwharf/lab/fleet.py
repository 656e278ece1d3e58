"""A fleet on loopback: real processes of `serve`, stand-ins for all they talk to, and a relay on each path.

The one loop of this process drives the stand-ins, the relays and the clients; the front ends are processes
of their own, which can be killed, stopped and started again. Each zone has its own loopback addresses.
"""

import contextlib
import fcntl
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import termios
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import msgspec

from fawnwharf.config import Address
from fawnwharf.lab.scenario import Scenario
from fawnwharf.net.loop import READ, Loop
from fawnwharf.net.wheel import monotonic_ms, unix_ms
from fawnwharf.standins.changelog import ChangeLogServer
from fawnwharf.standins.clients import Clients, Kind
from fawnwharf.standins.relay import Relay
from fawnwharf.standins.scorers import Arrival, Nature, Scorer, Store

PATIENCE_S = 40.0
READ_BYTES = 65536
LINES_KEPT = 200  # of a life
SLOTS = 24  # labs that may run side by side on one machine
PORT, PUBLIC, BALLOTS, STATE = 4100, 4101, 4102, 4103

KINDS = [
    Kind("points-view", "idempotent", 400.0, 1_500.0, 1.0, 0.7),
    Kind("lineup-save", "deduplicated", 500.0, 2_000.0, 3.0, 0.15),
    Kind("transfer-settle", "at_most_once", 600.0, 2_000.0, 5.0, 0.15),
]
TENANTS = ["medijska-hisa", "klub-sever"]
DEDUP_MS = 3_000.0
RULES = {"cold": 4_000.0, "cold_share": 0.2, "fall": 1_500.0, "fall_multiple": 2.0, "drain_grace": 250.0}
STATE_RULES = {"call_most_ms": 2_500.0, "window_ms": 4_000.0}
RATION = {"load_window": 5_000.0, "free_loads": 8.0, "load_part": 0.3}


class LabFault(RuntimeError):
    """The ground itself gave way; no verdict."""


@dataclass(frozen=True, slots=True)
class Noted:
    """A line of a front end's structured log."""

    at_ms: float
    front: str
    event: str
    fields: dict[str, Any]


@dataclass(slots=True, eq=False)
class Front:
    """One front end's process and its files."""

    name: str
    zone: str
    host: str
    voter: bool
    folder: Path
    log: ChangeLogServer
    process: subprocess.Popen | None = None
    pipe: "_Pipe | None" = None  # of the last life
    lines: deque[str] = field(default_factory=lambda: deque(maxlen=LINES_KEPT))  # what that wrote last
    ready: bool = False
    stopped: bool = False
    lives: list[list[float]] = field(default_factory=list)  # [from, until], in milliseconds
    halts: list[list[float]] = field(default_factory=list)
    index: int = 0
    plan: dict[str, str] | None = None  # states that it follows; None: on its own
    apart: list[Any] = field(default_factory=list)
    role: str = ""
    status: int | None = None  # of the last life that ended by itself

    @property
    def alive(self) -> bool:
        return self.process is not None

    @property
    def last_line(self) -> str:
        return self.lines[-1] if self.lines else "it wrote nothing"

    def well(self, since_ms: float, until_ms: float) -> bool:
        """Whether it lived and ran through all of a stretch."""
        lived = any(start <= since_ms and until_ms <= end for start, end in self.lives)
        return lived and not any(start <= until_ms and since_ms <= end for start, end in self.halts)


class Slot:
    """A range of loopback addresses of its own, held while the lab lives."""

    def __init__(self) -> None:
        first = random.SystemRandom().randrange(SLOTS)
        for n in range(SLOTS):
            self.base = 16 + 9 * ((first + n) % SLOTS)
            self._lock = socket.socket()
            try:
                self._lock.bind((f"127.{self.base}.255.1", 4099))
                return
            except OSError:
                self._lock.close()
        raise LabFault("no free range of loopback addresses")

    def host(self, zone: int, part: int, number: int) -> str:
        return f"127.{self.base + zone}.{part}.{number + 1}"

    def close(self) -> None:
        self._lock.close()


class _Pipe:
    """What one life of a process writes to its standard error, line by line."""

    def __init__(self, fleet: "Fleet", front: Front) -> None:
        self.fleet, self.front, self.buffer = fleet, front, bytearray()
        # Unbuffered: who reads the file finds all that was read so far.
        self.file = open(front.folder / "log.txt", "ab", buffering=0)  # noqa: SIM115
        self.pipe = front.process.stderr
        os.set_blocking(self.pipe.fileno(), False)
        fleet.loop.watch(self.pipe, READ, self.read)

    def read(self, _mask: int) -> None:
        self._take(READ_BYTES)

    def _take(self, most: int) -> int:
        """Read once; how many bytes came."""
        try:
            data = os.read(self.pipe.fileno(), most)
        except BlockingIOError:
            return 0
        if not data:
            self.close()
            return 0
        self.file.write(data)
        self.buffer += data
        *lines, rest = self.buffer.split(b"\n")
        self.buffer = bytearray(rest)
        for line in lines:
            self._line(line)
        return len(data)

    def _line(self, line: bytes) -> None:
        self.fleet.wrote(self.front, line.decode(errors="replace"))

    def finish(self) -> None:
        """Once the process has ended: take what it left in its pipe, however many reads that is.

        All that it wrote is in there by then. Nothing is waited for: a child of it that keeps the pipe open
        can add to it, and never end it."""
        if self.file.closed:
            return
        left = struct.unpack("i", fcntl.ioctl(self.pipe.fileno(), termios.FIONREAD, b"\0" * 4))[0]
        while left > 0 and (taken := self._take(min(left, READ_BYTES))):
            left -= taken
        self.close()

    def close(self) -> None:
        if self.file.closed:
            return
        self.fleet.loop.forget(self.pipe)
        self.pipe.close()
        self.file.close()
        if rest := bytes(self.buffer):  # a last line without its end
            self.buffer.clear()
            self._line(rest)


class Fleet:
    """Owns everything of one run: processes, stand-ins, relays, files, and what was noted."""

    def __init__(self, scenario: Scenario, seed: int, folder: Path | None = None) -> None:
        self.scenario, self.seed = scenario, seed
        self.folder = folder or Path(tempfile.mkdtemp(prefix="fawnwharf-lab-"))
        self._temporary = folder is None
        self.loop = Loop(lambda now_ms, events: None, lambda text: self.complaints.append(text))
        self.complaints: list[str] = []
        self.slot = Slot()
        self.notes: list[Noted] = []
        self.arrivals: list[Arrival] = []
        self.fronts: dict[str, Front] = {}
        self.scorers: dict[str, Scorer] = {}
        self.scorer_zone: dict[str, str] = {}
        self.phase: dict[str, str] = {}
        self.up_since: dict[str, float] = {}
        self.relays: dict[tuple[str, str, str], Relay] = {}  # from, to, what for
        self._senders: dict[Address, str] = {}
        self.store = Store(self.loop)
        self.zones = list(scenario.zones)
        self.clients: Clients | None = None
        self.marks: dict[str, float] = {}
        try:
            self._build()
        except BaseException:
            self.close()
            raise

    # --- building -------------------------------------------------------------------------------

    def _build(self) -> None:
        chance = random.Random(self.seed)
        nature = msgspec.convert(self.scenario.nature, dict[str, float])
        kind = Nature(**{**_usual(), **{k: type(_usual()[k])(v) for k, v in nature.items()}})
        number = 0
        for place, (zone, spec) in enumerate(self.scenario.zones.items()):
            for n in range(spec.scorers):
                id = f"s-{zone}{n}"
                host = self.slot.host(place, 2, n)
                seed = chance.getrandbits(32)
                self.scorers[id] = Scorer(
                    self.loop,
                    id,
                    host,
                    kind,
                    self.store,
                    seed,
                    self._sender,
                    self.arrivals.append,
                    self._listens,
                )
                self.scorer_zone[id], self.phase[id], self.up_since[id] = zone, "in_service", 0.0
            for n in range(spec.front_ends):
                name, host = f"n{number}", self.slot.host(place, 1, n)
                folder = self.folder / name
                folder.mkdir(parents=True, exist_ok=True)
                log = ChangeLogServer(self.loop, self.slot.host(place, 4, n))
                self.fronts[name] = Front(name, zone, host, n < spec.voters, folder, log)
                number += 1
        for front in self.fronts.values():
            self._relays_of(front)
        parts = self.scenario.parts
        kinds = [replace(kind, part=parts.get(kind.name, kind.part)) for kind in KINDS]
        rates = {zone: spec.rps for zone, spec in self.scenario.zones.items() if spec.rps}
        self.clients = Clients(
            self.loop,
            self.seed,
            kinds,
            rates,
            self.scenario.functions,
            TENANTS,
            self._for_clients,
            comeback=self.scenario.comeback,
            twice=self.scenario.twice,
            tenant_of=self.scenario.tenants,
        )

    def _relay(self, source: str, target: str, what: str, host: str, address: Address) -> None:
        def dialled(own: Address) -> None:
            self._senders[own] = source

        seed = hash_of(f"{self.seed}/{source}/{target}/{what}")
        self.relays[source, target, what] = Relay(self.loop, host, address, seed, dialled)

    def _relays_of(self, front: Front) -> None:
        place = self.zones.index(front.zone)
        here = self.slot.host(place, 3, 0)
        for id, scorer in self.scorers.items():
            self._relay(front.name, id, "calls", here, scorer.address)
        self._relay(front.name, "changelog", "roster", here, front.log.address)
        for zone in self.zones:
            self._relay(f"clients-{zone}", front.name, "clients", here, (front.host, PORT))
        for other in self.fronts.values():
            if other is not front and self.scenario.state is not None:
                self._relay(front.name, other.name, "state", here, (other.host, STATE))
        if not self.scenario.decide:
            return
        for other in self.fronts.values():
            if other is not front and (front.voter or other.voter):
                self._relay(front.name, other.name, "public", here, (other.host, PUBLIC))
                if front.voter and other.voter:
                    self._relay(front.name, other.name, "ballots", here, (other.host, BALLOTS))

    def _listens(self, party: str, on: bool) -> None:
        """A dial to who does not listen is refused, by the relays too."""
        for (_, target, _), relay in self.relays.items():
            if target == party:
                relay.refuse(not on)

    def _sender(self, peer: Address) -> str:
        return self._senders.get(peer, "?")

    def _for_clients(self) -> dict[str, tuple[str, Address]]:
        """Each front end as the clients of its own zone reach it."""
        return {
            name: (front.zone, self.relays[f"clients-{front.zone}", name, "clients"].address)
            for name, front in self.fronts.items()
        }

    # --- files ----------------------------------------------------------------------------------

    def members(self, viewer: Front, number: int = 1, voters: set[str] | None = None) -> dict[str, Any]:
        """The file of members as one front end reaches the others."""
        entries = []
        for front in self.fronts.values():
            votes = front.voter if voters is None else front.name in voters
            entry = {"name": front.name, "zone": front.zone, "region": self.scenario.zones[front.zone].region}
            entry["address"] = self._reached(viewer, front, "public", PUBLIC)
            if self.scenario.state is not None:
                entry["state"] = self._reached(viewer, front, "state", STATE)
            if votes:
                entry["ballots"] = self._reached(viewer, front, "ballots", BALLOTS)
            entries.append(entry)
        return {"version": 1, "fleet": "lab", "number": number, "members": entries}

    def _reached(self, viewer: Front, front: Front, what: str, port: int) -> str:
        relay = self.relays.get((viewer.name, front.name, what))
        return relay.host_port if relay else f"{front.host}:{port}"

    def write_members(self, number: int, voters: set[str] | None = None) -> None:
        for front in self.fronts.values():
            write_whole(front.folder / "members.json", self.members(front, number, voters))

    def _write_files(self, front: Front) -> None:
        settings = {
            "version": 1,
            "members": "members.json",
            "folder": "state",
            "listen": f"{front.host}:{PUBLIC}",
            "listen_ballots": f"{front.host}:{BALLOTS}",
            **self.scenario.settings,
        }
        write_whole(front.folder / "zones.json", settings)
        if self.scenario.state is not None:
            state = {"version": 1, "members": "members.json", "listen": f"{front.host}:{STATE}"}
            state["folder"] = "kept"
            write_whole(front.folder / "state.json", {**state, **STATE_RULES, **self.scenario.state})
        if not front.lives or not (front.folder / "members.json").exists():  # a folder of an earlier run
            write_whole(front.folder / "members.json", self.members(front))

    def entries(self, front: Front) -> list[dict[str, Any]]:
        return [self.entry(front, id) for id in self.scorers if self.phase[id] != "terminated"]

    def entry(self, front: Front, id: str) -> dict[str, Any]:
        return {
            "id": id,
            "host_port": self.relays[front.name, id, "calls"].host_port,
            "locality": self.scorer_zone[id],
            "phase": self.phase[id],
            "size": float(self.scorers[id].nature.cores),
            "up_since_ms": self.up_since[id],
        }

    def _config(self, front: Front) -> dict[str, Any]:
        sold = sum(spec.rps for spec in self.scenario.zones.values()) * 1.25
        classes = [
            {
                "name": kind.name,
                "effect": kind.effect,
                "promise": kind.promise_ms,
                "give_up": kind.give_up_ms,
                "group": "all",
                "dedup_window": DEDUP_MS if kind.effect == "deduplicated" else 0.0,
                "worth": kind.worth,
            }
            for kind in KINDS
        ]
        return {
            "name": front.name,
            "listen": f"{front.host}:{PORT}",
            "changelog": self.relays[front.name, "changelog", "roster"].host_port,
            "seed": f"{hash_of(f'{self.seed}/{front.name}/{len(front.lives)}'):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": front.log.begin(self.entries(front)),
            "settings": {
                "classes": classes,
                "tenants": [
                    {"name": name, "quota_rps": self.scenario.quotas.get(name, sold / len(TENANTS))}
                    for name in TENANTS
                ],
                "bounds": {
                    "max_attempts": 3,
                    "cancel": True,
                    "second_copies": True,
                    "dial_timeout": 250.0,
                    "retry_after": True,
                    "max_retry_after": self.scenario.pushback_ms,
                },
                "family_info": {
                    "may_order": True,
                    "not_loaded": "load",
                    "notes_peers_in_hand": True,
                    "idle_life": 9_000.0,
                    **RATION,
                },
                "invariants": RULES,
                "fleet_size": len(self.fronts),
                "locality": front.zone,
                "weight_source": "nominal",
            },
        }

    # --- processes ------------------------------------------------------------------------------

    def found(self) -> None:
        """One voter begins the fleet, by the operators' own command."""
        first = next(front for front in self.fronts.values() if front.voter)
        self._write_files(first)
        command = [sys.executable, "-m", "fawnwharf", "zones", "found", first.name, "--zones", "zones.json"]
        try:
            done = subprocess.run(
                command, cwd=first.folder, capture_output=True, text=True, timeout=PATIENCE_S
            )
        except subprocess.TimeoutExpired:
            raise LabFault(f"zones found: not done within {PATIENCE_S:g} s") from None
        if done.returncode:
            raise LabFault(f"zones found: {done.stderr.strip()}")

    def start(self, front: Front) -> None:
        if front.alive:
            return
        write_whole(front.folder / "config.json", self._config(front))
        if self.scenario.decide or self.scenario.state is not None:
            self._write_files(front)
        environment = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        environment["ROUTER_CONFIG"] = "config.json"
        front.process = subprocess.Popen(
            self.command(front), cwd=front.folder, env=environment, stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL, stderr=subprocess.PIPE,
        )  # fmt: skip
        front.ready, front.plan, front.index, front.role = False, None, 0, ""
        front.lines.clear()
        self._listens(front.name, False)
        front.pipe = _Pipe(self, front)

    def command(self, front: Front) -> list[str]:
        command = [sys.executable, "-m", "fawnwharf", "serve"]
        if self.scenario.decide:
            command += ["--zones", "zones.json"]
        if self.scenario.state is not None:
            command += ["--state", "state.json"] + ([] if front.lives else ["--fresh"])
        return command

    def wrote(self, front: Front, line: str) -> None:
        now = monotonic_ms()
        front.lines.append(line)
        if "serving on" in line:
            front.ready = True
            self._listens(front.name, True)
            front.lives.append([now, float("inf")])
        if not line.startswith("{"):
            return
        try:
            fields = json.loads(line)
        except ValueError:
            return
        event = fields.pop("event", "")
        self.notes.append(Noted(now, front.name, event, fields))
        if event == "following":
            front.plan, front.index = fields.get("zones", {}), fields.get("index", 0)
            front.apart = fields.get("apart", [])
        elif event == "on its own":
            front.plan = None
        elif event == "role":
            front.role = fields.get("role", "")

    def reap(self) -> None:
        """Notice processes that have ended by themselves."""
        for front in self.fronts.values():
            self._reap(front)

    def _reap(self, front: Front) -> None:
        if front.process is not None and (status := front.process.poll()) is not None:
            front.status = status
            self._ended(front)

    def _ended(self, front: Front) -> None:
        """The end is seen only together with all that was written before it: a line that were read later
        would be taken for one of the next life, or not be there for who looks why it ended."""
        front.pipe.finish()
        front.process = None
        if front.lives and front.lives[-1][1] == float("inf"):
            front.lives[-1][1] = monotonic_ms()
        if front.halts and front.halts[-1][1] == float("inf"):
            front.halts[-1][1] = monotonic_ms()
        front.ready, front.plan, front.apart, front.role, front.stopped = False, None, [], "", False
        self._listens(front.name, False)

    def kill(self, front: Front) -> None:
        self._reap(front)  # one that had ended by itself was not killed, and is judged by its status
        if front.process is None:
            return
        front.process.send_signal(signal.SIGKILL)
        front.process.wait()
        self._ended(front)

    def stop(self, front: Front) -> None:
        if front.process is not None and not front.stopped:
            front.process.send_signal(signal.SIGSTOP)
            front.stopped = True
            front.halts.append([monotonic_ms(), float("inf")])

    def go_on(self, front: Front) -> None:
        if front.process is not None and front.stopped:
            front.process.send_signal(signal.SIGCONT)
            front.stopped = False
            front.halts[-1][1] = monotonic_ms()

    def used(self) -> dict[str, tuple[float, float]]:
        """Processor seconds and megabytes of memory of each front end that lives, from the system."""
        found = {}
        tick, page = os.sysconf("SC_CLK_TCK"), os.sysconf("SC_PAGE_SIZE")
        for front in self.fronts.values():
            if front.process is None:
                continue
            with contextlib.suppress(OSError):
                stat = Path(f"/proc/{front.process.pid}/stat").read_text().rpartition(")")[2].split()
                resident = int(Path(f"/proc/{front.process.pid}/statm").read_text().split()[1])
                seconds = (int(stat[11]) + int(stat[12])) / tick
                found[front.name] = (seconds, resident * page / 2**20)
        return found

    def between_members(self) -> int:
        """Bytes that have passed between members."""
        links = (
            relay for (_, _, what), relay in self.relays.items() if what in ("public", "ballots", "state")
        )
        return sum(sum(relay.bytes.values()) for relay in links)

    # --- scorers and the roster -----------------------------------------------------------------

    def tell(self, ids: list[str]) -> None:
        """Each change log tells of these scorers as they are now."""
        for front in self.fronts.values():
            if front.alive:
                front.log.add([self.entry(front, id) for id in ids])

    def scorers_up(self, ids: list[str], told: bool = True) -> None:
        for id in ids:
            self.scorers[id].start()
            self.up_since[id] = unix_ms()
            self.phase[id] = "in_service"
        if told:
            self.tell(ids)

    # --- turning --------------------------------------------------------------------------------

    def turn(self, most_s: float = 0.02) -> None:
        self.loop.turn(most_s)
        self.reap()

    def until(self, condition: Callable[[], bool], what: str, within_s: float = PATIENCE_S) -> None:
        end = monotonic_ms() + 1000.0 * within_s
        while not condition():
            if monotonic_ms() > end:
                raise LabFault(f"waited {within_s:g} s in vain for {what}")
            self.turn()

    def until_ready(self, fronts: list[Front], what: str) -> None:
        """One that ends before it serves is told at once, by its last line."""

        def ready() -> bool:
            for front in fronts:
                if not front.alive:
                    raise LabFault(f"{front.name} ended with {front.status}: {front.last_line}")
            return all(front.ready for front in fronts)

        self.until(ready, what)

    def rest(self, seconds: float) -> None:
        end = monotonic_ms() + 1000.0 * seconds
        while monotonic_ms() < end:
            self.turn()

    def close(self) -> None:
        for front in self.fronts.values():
            if front.process is not None:
                with contextlib.suppress(OSError):
                    front.process.send_signal(signal.SIGCONT)
                self.kill(front)
        for relay in self.relays.values():
            relay.close()
        for scorer in self.scorers.values():
            scorer.stop()
        for front in self.fronts.values():
            front.log.close()
        self.slot.close()
        self.loop.close()
        if self._temporary:
            shutil.rmtree(self.folder, ignore_errors=True)


def hash_of(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def _usual() -> dict[str, Any]:
    usual = Nature()
    return {name: getattr(usual, name) for name in Nature.__slots__}


def write_whole(path: Path, data: Any) -> None:
    """Beside it first, then in its place: a reader finds all of it or the one before."""
    beside = path.with_suffix(".new")
    beside.write_bytes(msgspec.json.format(msgspec.json.encode(data), indent=1))
    os.rename(beside, path)
