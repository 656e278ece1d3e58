"""Stand-in clients: calls that come at their own pace whatever becomes of them, with retries as clients make
them.

Each logical request has its tries; a try goes to a front end of the client's own zone where one is believed
up. A refusal is tried again after its `pushback`, a failure where its class allows it, until the client
gives up. Times are milliseconds.
"""

import random
from collections.abc import Callable
from dataclasses import replace

from fawnwharf.config import Address
from fawnwharf.fakes.asking import Asking
from fawnwharf.fakes.calls import LATE_MS, Kind, Request, Try, message, read, withdrawal
from fawnwharf.fakes.lines import DIAL_MS, Line, Probe
from fawnwharf.net import thrift
from fawnwharf.net.connection import Connection
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.timer_wheel import monotonic_ms

PROBE_MS = 500.0  # pace of dials to a front end that is down; no call goes there until one comes up
OPEN_MOST = 32


class Clients:
    """Owns the load: when which request comes, where its tries go, and what came of them."""

    def __init__(
        self,
        loop: EventLoop,
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
        self._lines: dict[str, list[Line]] = {}
        self._ids = random.Random(seed + 1)
        self.running = False
        self.open = 0

    # --- load -----------------------------------------------------------------------------------

    def start(self) -> None:
        self.running = True
        for zone in self.rates:
            self._next(zone)
        for front in self._fronts() if self._asks else ():
            self._asking.append(Asking(self.loop, front, self._fronts()[front][1], self.unready))

    def stop(self) -> None:
        self.running = False
        for asking in self._asking:
            asking.stop()

    def rush(self, factor: float, for_ms: float) -> None:
        """All come again at once: for so long at so many times their rates."""
        before, self.factor = self.factor, factor

        def over() -> None:
            self.factor = before

        self.loop.timers.after(for_ms, over)

    def _next(self, zone: str) -> None:
        rate = self.rates[zone] * self.factor
        if self.running and rate > 0:
            self.loop.timers.after(self.chance.expovariate(rate) * 1000.0, lambda: self._arrive(zone))

    def _arrive(self, zone: str) -> None:
        if not self.running:
            return
        self._next(zone)
        chance = self.chance
        kind = chance.choices(self.kinds, [kind.part for kind in self.kinds])[0]
        function = chance.choices(self.functions, self.weights)[0]
        tenant = self._tenant_of.get(zone) or chance.choice(self.tenants)
        self._ask(kind, zone, tenant, function)

    def _ask(self, kind: Kind, zone: str, tenant: str, function: str) -> Request:
        chance, now = self.chance, monotonic_ms()
        request = Request(
            len(self.requests), kind, zone, tenant, function, now, f"{self._ids.getrandbits(128):032x}"
        )
        self._add(request)
        if self._twice and kind.effect == "at_most_once" and chance.random() < self._twice:
            request.call_id = f"{self._ids.getrandbits(64):016x}"
            self._try(self._again(request, chance.choice(sorted(self.rates))))
        self._try(request)
        return request

    def _again(self, request: Request, zone: str) -> Request:
        """The same, under the same keys, as it is asked for from another zone too."""
        twin = replace(
            request, number=len(self.requests), zone=zone, began_ms=monotonic_ms(), tries=[], outcome="",
            ended_ms=0.0, timer=None,
        )  # fmt: skip
        self._add(twin)
        return twin

    def ask_again(self, since_ms: float) -> None:
        """At-most-once calls that began since then are asked for by their ids once more, answered or not, as
        by clients who lost what they had heard. Those that share no id between their tries are left out."""
        for request in [r for r in self.requests if r.began_ms >= since_ms and r.call_id]:
            if request.kind.effect == "at_most_once":
                self._try(self._again(request, request.zone))

    def _add(self, request: Request) -> None:
        self.requests.append(request)
        self.open += 1

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
        data = message(request, attempt)
        if line.connection.up:
            line.connection.write(data)
        else:
            line.waiting.append(data)
        request.timer = self.loop.timers.after(left + LATE_MS, lambda: self._overdue(line, request, attempt))

    def _choose(self, zone: str) -> str | None:
        fronts = self._fronts()
        up = [name for name in fronts if name not in self._down and name not in self.unready]
        near = [name for name in up if fronts[name][0] == zone]
        names = near or up
        return self.chance.choice(sorted(names)) if names else None

    # --- lines ----------------------------------------------------------------------------------

    def _line(self, front: str) -> Line | None:
        lines = self._lines.setdefault(front, [])
        for line in lines:
            if not line.connection.closed and len(line.open) < OPEN_MOST // 4:
                return line
        if len(lines) >= 8:
            return min(lines, key=lambda line: len(line.open))
        line = Line(self, front)
        made = Connection.dial(self.loop, self._fronts()[front][1], line, DIAL_MS)
        if isinstance(made, EndReason):
            self._is_down(front)
            return None
        line.connection = made
        lines.append(line)
        return line

    def line_ended(self, line: Line) -> None:
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
        self.loop.timers.after(PROBE_MS, lambda: self._probe(front))

    def _probe(self, front: str) -> None:
        if not self.running:
            return
        probe = Probe(self, front)
        made = Connection.dial(self.loop, self._fronts()[front][1], probe, DIAL_MS)
        if isinstance(made, EndReason):
            self.probed(front, False)
        else:
            probe.connection = made

    def probed(self, front: str, good: bool) -> None:
        if good:
            self._down.discard(front)
        else:
            self.loop.timers.after(PROBE_MS, lambda: self._probe(front))

    def _overdue(self, line: Line, request: Request, attempt: Try) -> None:
        if line.open.pop(attempt.seqid, None) is None:
            return
        if line.connection.up and line.connection.last_received_ms < attempt.sent_ms:
            # Nothing at all came since: it is held to be gone, as by what stands before front ends.
            self._ended(request, attempt, "late")
            self._is_down(line.front)
            for _, other in line.open.values():
                other.left = True
            line.connection.close(EndReason.SILENT)
            return
        if not line.connection.closed and line.connection.up:
            line.connection.write(withdrawal(attempt))
        self._ended(request, attempt, "late")

    # --- answers --------------------------------------------------------------------------------

    def answered(self, line: Line, data: bytes) -> None:
        kind, _, seqid, at = thrift._head(data)
        found = line.open.pop(seqid, None)
        if found is None:
            return
        request, attempt = found
        self._ended(request, attempt, read(request, attempt, data, kind, at))

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
        self.loop.timers.after(wait, lambda: self._try(request))

    def _close(self, request: Request, outcome: str) -> None:
        if not request.outcome:
            request.outcome, request.ended_ms = outcome, monotonic_ms()
            self.open -= 1
