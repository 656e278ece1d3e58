"""Measures migrations in virtual time: six front ends at three zones, 1 to 5 ms between any two.

The sessions of one drain are moved, 32 at a time, beside calls to them. CPU is that of all six front ends and
of the simulation, on one core; bytes are those of messages as JSON, each copy counted.
"""

import time
import tracemalloc
from dataclasses import replace

import msgspec

from fawnwharf.migration import messages as m
from fawnwharf.migration.homes import Keeper
from fawnwharf.migration.router import Router
from fawnwharf.migration.settings import Settings
from fawnwharf.migration.walk import CALM, Walk
from fawnwharf.session_types import Placement, PredictedMove, Session

AT_ONCE = 32
LINKS = replace(CALM, delay_ms=(1.0, 5.0))


def _part(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] if values else 0.0


class _Timed(Walk):
    """A walk that hands sessions over and notes how long all takes."""

    def __init__(self, known: int, moved: int) -> None:
        self.bytes = self.lines = 0
        self.begun: dict[Session, float] = {}
        self.switched: dict[Session, float] = {}
        self.done: dict[Session, float] = {}
        self.taken: dict[str, float] = {}
        self.waits: list[float] = []
        self.rerouted = 0
        super().__init__(1, LINKS, sessions=known)
        self.stage_fails = 0.0
        self.left = list(self.sessions[:moved])
        self.sessions = []  # nothing is checked: the walks do

    def _send(self, sender: str, to: str, message: m.Message) -> None:
        if sender != to:
            self.bytes += len(msgspec.json.encode(message))
            self.lines += 1
        super()._send(sender, to, message)

    def _carry_out(self, node, out: list[m.Out]) -> None:
        super()._carry_out(node, out)
        for effect in out:
            if isinstance(effect, m.Moved):
                self.switched[effect.home.session] = self.now
            elif isinstance(effect, m.Ended):
                self.done[effect.home.session] = self.now
                self._next()
            elif isinstance(effect, m.Reroute) and effect.call in self.taken:
                self.rerouted += 1

    def _next(self) -> None:
        if not self.left:
            return
        session = self.left.pop()
        node = self.nodes[f"{self.sites[len(self.left) % 3]}1"]
        self.begun[session] = self.now
        move = PredictedMove(session, "x", "y", 0.0, 1.0, "measure")
        self._carry_out(node, node.mover.begin(self._clock(node), move))
        for n in range(8):  # calls come while it is under way, at any front end
            self._soon(n * 5.0, self._comes, session, self.chance.choice(sorted(self.nodes)))

    def _comes(self, session: Session, name: str) -> None:
        """A call of a class that keeps calls: it is sent when two keepers have answered."""
        node, call = self.nodes[name], f"c{next(self.calls)}"
        now = self._clock(node)
        self._carry_out(node, node.router.begin(now, call, session, now + 5_000.0))
        self.taken[call] = self.now
        trips = sorted(sum(self.chance.uniform(*self.weather.delay_ms) for _ in "to") for _ in self.keepers)
        self._soon(trips[1], self._goes, node, call)

    def _goes(self, node, call: str) -> None:
        self.waits.append(self.now - self.taken.pop(call))
        node.router.sent(call)
        self._soon(self.chance.uniform(5.0, 60.0), self._over, node, node.life, call)

    def all(self) -> float:
        """Seconds of one core."""
        self.until(100.0)  # all are heard
        began = time.process_time()
        for _ in range(AT_ONCE):
            self._next()
        wanted = len(self.left) + len(self.begun)
        while len(self.done) < wanted and self.now < 3_600_000.0:
            self.until(self.now + 50.0)
        return time.process_time() - began


def memory(count: int) -> tuple[float, float]:
    """Bytes per session at a replica, and at a front end that knows it."""
    tracemalloc.start()
    rules = Settings()
    keeper = Keeper("k", ("a", "b"), rules, 0.0, 1, fresh=True)
    router = Router("f", "x", rules, lambda _: ("k", "a", "b"), 0.0, fresh=True)
    homes = [Placement(Session(f"org{n}", f"row{n}"), "y", 1) for n in range(count)]
    base = tracemalloc.get_traced_memory()[0]
    for home in homes:
        told = m.Told(home, "x", m.Step.RELEASED)
        keeper.told(0.0, "a", told)
    middle = tracemalloc.get_traced_memory()[0]
    for home in homes:
        router.meet(0.0, home, "x")
    last = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (middle - base) / count, (last - middle) / count


def figures(known: int, moved: int) -> dict[str, float]:
    """What a drain of `moved` of `known` sessions takes: milliseconds, bytes, migrations a second."""
    walk = _Timed(known, moved)
    core_s = walk.all()
    took = [walk.switched[s] - walk.begun[s] for s in walk.switched]
    whole = [walk.done[s] - walk.begun[s] for s in walk.switched]
    keeper, router = memory(known)
    return {
        "moved": len(took),
        "a second": len(took) / ((walk.now - 100.0) / 1000.0),
        "a core second": len(took) / core_s,
        "to switched, median": _part(took, 0.5),
        "to switched, 99 %": _part(took, 0.99),
        "to released, 99 %": _part(whole, 0.99),
        "call's wait, median": _part(walk.waits, 0.5),
        "call's wait, 99 %": _part(walk.waits, 0.99),
        "rerouted": walk.rerouted / max(1, len(walk.waits)),
        "lines each": walk.lines / max(1, len(took)),
        "bytes each": walk.bytes / max(1, len(took)),
        "keeper's bytes": keeper,
        "front end's bytes": router,
    }


def table() -> str:
    """The figures at 1,000, 10,000 and 100,000 sessions, a line each."""
    lines = []
    for known, moved in ((1_000, 1_000), (10_000, 3_000), (100_000, 3_000)):
        found = figures(known, moved)
        lines.append(f"{known}: " + ", ".join(f"{name} {value:.4g}" for name, value in found.items()))
    return "\n".join(lines)
