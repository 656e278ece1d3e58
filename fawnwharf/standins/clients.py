"""Stand-in clients: calls that come at their own pace whatever becomes of them, with retries as clients make
them.

Each logical request has its tries; a try goes to a front end of the client's own zone where one is believed
up. A refusal is tried again after its `pushback`, a failure where its class allows it, until the client
gives up. Times are milliseconds.
"""

import random
import struct
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from fawnwharf.config import Address
from fawnwharf.net import thrift
from fawnwharf.net.connection import Connection
from fawnwharf.net.endings import End
from fawnwharf.net.loop import Loop
from fawnwharf.net.wheel import Timer, monotonic_ms
from fawnwharf.standins.asking import Asking

PROBE_MS = 500.0  # pace of dials to a front end that is down; no call goes there until one comes up
DIAL_MS = 400.0
OPEN_MOST = 32
# A try is listened for beyond its end before it is held to have no answer: for as long as a busy machine, on
# which all run, may hold up the front end or this process.
LATE_MS = 400.0


@dataclass(frozen=True, slots=True)
class Kind:
    """A class of calls, as the settings have it."""

    name: str
    effect: str = "idempotent"
    promise_ms: float = 400.0
    give_up_ms: float = 1_500.0
    worth: float = 1.0
    part: float = 1.0  # of all calls


@dataclass(slots=True, eq=False)
class Try:
    call_id: str
    front: str
    sent_ms: float
    ttl_ms: float
    seqid: int = 0
    outcome: str = ""  # served, refused, failed, lost (the connection ended), late (nothing in time)
    ended_ms: float = 0.0
    pushback_ms: float = 0.0
    answers: int = 0
    body_good: bool = True
    left: bool = False  # the client itself ended the connection, as another try on it was late


@dataclass(slots=True, eq=False)
class Request:
    """One thing that a client wants, with all its tries."""

    number: int
    kind: Kind
    zone: str
    tenant: str
    function: str
    began_ms: float
    token: str
    tries: list[Try] = field(default_factory=list)
    outcome: str = ""
    ended_ms: float = 0.0
    timer: Timer | None = None
    call_id: str = ""  # of all its tries, where they share one

    @property
    def on_time(self) -> bool:
        return self.outcome == "served" and self.ended_ms - self.began_ms <= self.kind.promise_ms


class _Line:
    """One connection to a front end."""

    def __init__(self, crowd: "Clients", front: str) -> None:
        self.crowd, self.front = crowd, front
        self.connection: Connection | None = None
        self.seqid = 0
        self.open: dict[int, tuple[Request, Try]] = {}
        self.waiting: list[bytes] = []
        self._buffer = bytearray()

    def on_up(self) -> None:
        for data in self.waiting:
            self.connection.write(data)
        self.waiting.clear()

    def on_data(self, data: bytes) -> None:
        self._buffer += data
        while len(self._buffer) >= 4:
            (size,) = struct.unpack_from(">I", self._buffer)
            if len(self._buffer) < 4 + size:
                return
            message = bytes(self._buffer[4 : 4 + size])
            del self._buffer[: 4 + size]
            self.crowd.answered(self, message)

    def on_flushed(self) -> None:
        pass

    def on_end(self, end: End) -> None:
        self.crowd.line_ended(self)


class _Probe:
    """Asks a front end whether it is ready; the answer, or the end of the connection, tells."""

    def __init__(self, crowd: "Clients", front: str) -> None:
        self.crowd, self.front, self.told = crowd, front, False
        self.connection: Connection | None = None

    def on_up(self) -> None:
        payload = struct.pack(">bhbb", thrift.BOOL, 1, 1, 0)
        self.connection.write(thrift._frame(thrift.CALL, b"status", 1, payload))
        self.crowd.loop.wheel.after(DIAL_MS, lambda: self.connection.close(End.SILENT))

    def on_data(self, data: bytes) -> None:
        self._tell(True)
        self.connection.close(End.IDLE)

    def on_flushed(self) -> None:
        pass

    def on_end(self, end: End) -> None:
        self._tell(False)

    def _tell(self, good: bool) -> None:
        if not self.told:
            self.told = True
            self.crowd.probed(self.front, good)


class Clients:
    """Owns the load: when which request comes, where its tries go, and what came of them."""

    def __init__(
        self,
        loop: Loop,
        seed: int,
        kinds: list[Kind],
        rates: dict[str, float],
        functions: int,
        tenants: list[str],
        fronts: Callable[[], dict[str, tuple[str, Address]]],
        most_tries: int = 4,
        comeback: bool = False,
        twice: float = 0.0,
        tenant_of: dict[str, str] | None = None,
        asks: bool = False,
    ) -> None:
        """`rates` are calls a second by zone; `fronts` gives each front end's zone and address for
        clients. `comeback`: an at-most-once call whose connection was lost is asked for again, by its id,
        at whatever front end is up: right only where front ends keep such calls together. `twice`: so many
        of the at-most-once calls are asked for at two front ends at the same moment, by one id. `tenant_of`
        tells the tenant of a zone's clients, where it is not drawn. `asks`: what stands before front ends
        asks each, and sends nothing new to one that says it is not ready."""
        self.loop, self.chance, self.kinds, self.rates = loop, random.Random(seed), kinds, rates
        self.functions = [f"{n + 1:016x}" for n in range(functions)]
        self.weights = [1.0 / (n + 2) for n in range(functions)]
        self.tenants, self._fronts, self._most = tenants, fronts, most_tries
        self._comeback, self._twice, self._tenant_of = comeback, twice, tenant_of or {}
        self.requests: list[Request] = []
        self.by_call: dict[str, Request] = {}
        self.factor = 1.0  # of the rates
        self._down: set[str] = set()
        self.unready: set[str] = set()  # that said so; new calls go elsewhere
        self._asks, self._asking = asks, list[Asking]()
        self._lines: dict[str, list[_Line]] = {}
        self._ids = random.Random(seed + 1)
        self._running = False
        self.open = 0

    # --- load -----------------------------------------------------------------------------------

    def start(self) -> None:
        self._running = True
        for zone in self.rates:
            self._next(zone)
        for front in self._fronts() if self._asks else ():
            self._asking.append(Asking(self.loop, front, self._fronts()[front][1], self.unready))

    def stop(self) -> None:
        self._running = False
        for asking in self._asking:
            asking.stop()

    def _next(self, zone: str) -> None:
        rate = self.rates[zone] * self.factor
        if self._running and rate > 0:
            self.loop.wheel.after(self.chance.expovariate(rate) * 1000.0, lambda: self._arrive(zone))

    def _arrive(self, zone: str) -> None:
        if not self._running:
            return
        self._next(zone)
        chance = self.chance
        kind = chance.choices(self.kinds, [kind.part for kind in self.kinds])[0]
        function = chance.choices(self.functions, self.weights)[0]
        tenant = self._tenant_of.get(zone) or chance.choice(self.tenants)
        request = Request(
            len(self.requests),
            kind,
            zone,
            tenant,
            function,
            monotonic_ms(),
            f"{self._ids.getrandbits(128):032x}",
        )
        self.requests.append(request)
        self.open += 1
        if self._twice and kind.effect == "at_most_once" and chance.random() < self._twice:
            request.call_id = f"{self._ids.getrandbits(64):016x}"
            zone = chance.choice(sorted(self.rates))
            twin = replace(request, number=len(self.requests), zone=zone, tries=[])
            self.requests.append(twin)
            self.open += 1
            self._try(twin)
        self._try(request)

    def _try(self, request: Request) -> None:
        left = request.kind.give_up_ms - (monotonic_ms() - request.began_ms)
        front = self._choose(request.zone)
        if left < 20.0 or front is None or len(request.tries) >= self._most:
            last = request.tries[-1].outcome if request.tries else "no front end"
            self._close(request, last)
            return
        call_id = request.call_id or f"{self._ids.getrandbits(64):016x}"
        if self._comeback and request.kind.effect == "at_most_once":
            request.call_id = call_id
        attempt = Try(call_id, front, monotonic_ms(), left)
        request.tries.append(attempt)
        self.by_call.setdefault(attempt.call_id, request)
        line = self._line(front)
        if line is None:
            self._ended(request, attempt, "lost")
            return
        line.seqid += 1
        attempt.seqid = line.seqid
        line.open[line.seqid] = request, attempt
        data = self._message(request, attempt, left)
        if line.connection.up:
            line.connection.write(data)
        else:
            line.waiting.append(data)
        request.timer = self.loop.wheel.after(left + LATE_MS, lambda: self._overdue(line, request, attempt))

    def _choose(self, zone: str) -> str | None:
        fronts = self._fronts()
        up = [name for name in fronts if name not in self._down and name not in self.unready]
        near = [name for name in up if fronts[name][0] == zone]
        names = near or up
        return self.chance.choice(sorted(names)) if names else None

    def _message(self, request: Request, attempt: Try, left: float) -> bytes:
        kind = request.kind
        fields = {
            "op": kind.name,
            "call": attempt.call_id,
            "ttl": f"{left:.0f}",
            "org": request.tenant,
            "row": request.function,
            "props": "memory_mb:300;lanes:2;load_ms:400",
        }
        if kind.effect == "deduplicated":
            fields["dedupe"] = request.token
        payload = struct.pack(">bh", thrift.MAP, 1) + thrift._fields(fields)
        payload += struct.pack(">bh", thrift.STRING, 2) + thrift._text(request.token.encode()) + b"\0"
        return thrift._frame(thrift.CALL, b"handle", attempt.seqid, payload)

    # --- lines ----------------------------------------------------------------------------------

    def _line(self, front: str) -> _Line | None:
        lines = self._lines.setdefault(front, [])
        for line in lines:
            if not line.connection.closed and len(line.open) < OPEN_MOST // 4:
                return line
        if len(lines) >= 8:
            return min(lines, key=lambda line: len(line.open))
        line = _Line(self, front)
        made = Connection.dial(self.loop, self._fronts()[front][1], line, DIAL_MS)
        if isinstance(made, End):
            self._is_down(front)
            return None
        line.connection = made
        lines.append(line)
        return line

    def line_ended(self, line: _Line) -> None:
        lines = self._lines.get(line.front, [])
        if line in lines:
            lines.remove(line)
        lost, line.open = line.open, {}
        if lost or not line.connection.up:
            self._is_down(line.front)
        for request, attempt in lost.values():
            self._ended(request, attempt, "lost" if line.connection.up else "not taken")

    def _is_down(self, front: str) -> None:
        """What stands before front ends notices that one is gone, and looks whether it is back."""
        if front in self._down:
            return
        self._down.add(front)
        self.loop.wheel.after(PROBE_MS, lambda: self._probe(front))

    def _probe(self, front: str) -> None:
        if not self._running:
            return
        probe = _Probe(self, front)
        made = Connection.dial(self.loop, self._fronts()[front][1], probe, DIAL_MS)
        if isinstance(made, End):
            self.probed(front, False)
        else:
            probe.connection = made

    def probed(self, front: str, good: bool) -> None:
        if good:
            self._down.discard(front)
        else:
            self.loop.wheel.after(PROBE_MS, lambda: self._probe(front))

    def _overdue(self, line: _Line, request: Request, attempt: Try) -> None:
        if line.open.pop(attempt.seqid, None) is None:
            return
        if line.connection.up and line.connection.heard_ms < attempt.sent_ms:
            # Nothing at all came since: it is held to be gone, as by what stands before front ends.
            self._ended(request, attempt, "late")
            self._is_down(line.front)
            for _, other in line.open.values():
                other.left = True
            line.connection.close(End.SILENT)
            return
        if not line.connection.closed and line.connection.up:
            payload = struct.pack(">bhib", thrift.I32, 1, attempt.seqid, 0)
            line.connection.write(thrift._frame(thrift.ONEWAY, b"withdraw", 0, payload))
        self._ended(request, attempt, "late")

    # --- answers --------------------------------------------------------------------------------

    def answered(self, line: _Line, message: bytes) -> None:
        kind, _, seqid, at = thrift._head(message)
        found = line.open.pop(seqid, None)
        if found is None:
            return
        request, attempt = found
        attempt.answers += 1
        if kind == thrift.EXCEPTION:
            self._ended(request, attempt, "failed")
            return
        _, number = struct.unpack_from(">bh", message, at)
        outcome = ("served", "refused", "failed")[number]
        if number == 0:
            attempt.body_good = b"done:" + request.token.encode() in message
        elif number == 1 and (place := message.find(b"pushback")) >= 0:
            (size,) = struct.unpack_from(">i", message, place + 8)
            attempt.pushback_ms = float(message[place + 12 : place + 12 + size])
        self._ended(request, attempt, outcome)

    def _ended(self, request: Request, attempt: Try, outcome: str) -> None:
        attempt.outcome, attempt.ended_ms = outcome, monotonic_ms()
        if request.timer:
            request.timer.cancel()
        if request.outcome:
            return
        effect = request.kind.effect
        again = outcome in ("refused", "not taken") or (
            outcome in ("lost", "failed") and effect in ("idempotent", "deduplicated")
        )
        again = again or (outcome == "lost" and self._comeback)
        if outcome == "served" or not again:
            self._close(request, outcome)
            return
        wait = attempt.pushback_ms if outcome == "refused" else self.chance.uniform(5.0, 40.0)
        self.loop.wheel.after(wait, lambda: self._try(request))

    def _close(self, request: Request, outcome: str) -> None:
        if not request.outcome:
            request.outcome, request.ended_ms = outcome, monotonic_ms()
            self.open -= 1
