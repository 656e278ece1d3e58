"""Randomized simulation: a fleet of replicas, coordinators and routers in virtual time, with clock skew.

Deeper than `explore.py` and with real clocks. One seed gives one run. Messages are lost, repeated, reordered
and delayed; links are cut, in one direction too; front ends are killed and come back with nothing, or are
paused without noticing. `python -m fawnwharf.migration.walk --steps 1000000`.
"""

import argparse
import heapq
import itertools
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from fawnwharf.migration import messages as m
from fawnwharf.migration.homes import Keeper, mover_of
from fawnwharf.migration.mover import Mover
from fawnwharf.migration.router import Router
from fawnwharf.migration.settings import Settings
from fawnwharf.migration.world import Kinds
from fawnwharf.session_types import Placement, PredictedMove, PrefetchRelease, Session

RULES = Settings(
    still_ms=8_000.0,
    give_up_ms=800.0,
    stage_ms=2_000.0,
    settle_ms=4_000.0,
    lapse_ms=4_000.0,
    skew=0.05,
)
BEAT_MS = 50.0
QUIET_MS = 600.0


@dataclass(frozen=True, slots=True)
class Weather:
    """Rates of faults: chances per message, or per second of true time."""

    lost: float = 0.02
    repeated: float = 0.03
    delay_ms: tuple[float, float] = (1.0, 40.0)
    late: float = 0.01  # part of the messages that take up to `late_ms`
    late_ms: float = 2_000.0
    cuts: float = 0.3
    cut_ms: float = 2_500.0  # at the most
    kills: float = 0.15
    away_ms: float = 2_000.0
    halts: float = 0.2
    halt_ms: float = 1_500.0
    moves: float = 3.0
    rivals: float = 0.3  # part of the moves that begin at another mover than the hash's
    haste: float = 0.1
    calls: float = 30.0


CALM = Weather(0.0, 0.0, late=0.0, cuts=0.0, kills=0.0, halts=0.0, moves=0.0, calls=0.0)
STORM = Weather(lost=0.12, repeated=0.1, late=0.05, cuts=1.5, kills=0.5, halts=0.8, moves=8.0)


@dataclass(slots=True)
class Outcome:
    """The result of a run; `broken` is empty where all rules held."""

    steps: int = 0
    true_ms: float = 0.0
    counts: Counter = field(default_factory=Counter)
    broken: str = ""


@dataclass(slots=True)
class _Node:
    name: str
    site: str
    rate: float
    offset_ms: float
    life: int = 0
    keeper: Keeper | None = None
    mover: Mover | None = None
    router: Router | None = None
    halted_until: float = 0.0
    met: dict[Session, int] = field(default_factory=dict)

    @property
    def up(self) -> bool:
        """Whether the process lives."""
        return self.mover is not None


class Walk:
    """One fleet, and the reference model, which knows all that was ever decided."""

    def __init__(
        self, seed: int, weather: Weather, kinds: Kinds | None = None, sessions: int = 3, per_site: int = 2
    ) -> None:
        self.kinds, self.weather, self.chance = kinds or Kinds(), weather, random.Random(seed)
        self.now, self.order, self.calls = 0.0, itertools.count(), itertools.count()
        self.events: list[tuple[float, int, Callable, tuple]] = []
        self.outcome, self.stage_fails = Outcome(), 0.02
        self.decided: dict[Session, dict[int, str]] = {}
        self.cuts: dict[tuple[str, str], tuple[float, float]] = {}
        self.sites = ("x", "y", "z")
        self.sessions = [Session("org", f"row{n}") for n in range(sessions)]
        self.nodes = {
            f"{site}{n}": _Node(
                f"{site}{n}",
                site,
                1 + self.chance.uniform(-RULES.skew, RULES.skew) / 2,
                self.chance.uniform(0, 60_000),
            )
            for site in self.sites
            for n in range(per_site)
        }
        self.keepers = tuple(f"{site}0" for site in self.sites)
        self.members = {node.name: node.site for node in self.nodes.values()}
        for node in self.nodes.values():
            self._start(node, fresh=True)
            self._soon(self.chance.uniform(0, BEAT_MS), self._beat, node)
        self._soon(0.0, self._blow)

    def run(self, steps: int) -> Outcome:
        """Run so many steps, or up to the first broken rule."""
        while self.outcome.steps < steps and not self.outcome.broken:
            self.now, _, what, about = heapq.heappop(self.events)
            self.outcome.steps += 1
            what(*about)
        self.outcome.true_ms = self.now
        return self.outcome

    def until(self, true_ms: float) -> None:
        """Go on to a moment of true time."""
        while self.events[0][0] <= true_ms and not self.outcome.broken:
            self.now, _, what, about = heapq.heappop(self.events)
            what(*about)
        self.now = true_ms

    def _soon(self, delay_ms: float, what: Callable, *about: object) -> None:
        heapq.heappush(self.events, (self.now + delay_ms, next(self.order), what, about))

    def _clock(self, node: _Node) -> float:
        return self.now * node.rate + node.offset_ms

    def _start(self, node: _Node, fresh: bool = False) -> None:
        now, kept = self._clock(node), lambda _: self.keepers
        node.life += 1
        node.met.clear()
        node.mover = self.kinds.mover(node.name, RULES, kept, now, node.life)
        node.router = self.kinds.router(node.name, node.site, RULES, kept, now, fresh, node.life)
        if node.name in self.keepers:
            node.keeper = self.kinds.keeper(node.name, self.keepers, RULES, now, node.life, fresh)
        if fresh:
            for session in self.sessions:
                node.router.meet(now, Placement(session, "x", 0))

    # --- messages ---------------------------------------------------------------------------------

    def _send(self, sender: str, to: str, message: m.Message) -> None:
        chance, weather = self.chance, self.weather
        if sender == to:
            self._soon(0.0, self._arrive, to, sender, message)
            return
        for _ in range(1 + (chance.random() < weather.repeated)):
            if chance.random() >= weather.lost:
                most = weather.late_ms if chance.random() < weather.late else weather.delay_ms[1]
                self._soon(chance.uniform(weather.delay_ms[0], most), self._arrive, to, sender, message)

    def _arrive(self, to: str, sender: str, message: m.Message) -> None:
        node, until = self.nodes[to], self.cuts.get((sender, to), (0.0, 0.0))[1]
        if until > self.now:
            return
        if node.up and node.halted_until > self.now:
            self._soon(node.halted_until - self.now, self._arrive, to, sender, message)
        elif node.up:
            now = self._clock(node)
            if isinstance(message, m.Told):
                session = message.home.session
                node.met[session] = max(node.met.get(session, 0), message.home.number)
            out = [*node.mover.receive(now, sender, message), *node.router.receive(now, sender, message)]
            if node.keeper is not None:
                out += node.keeper.receive(now, sender, message)
            if isinstance(message, m.Receive):
                out += node.router.stood(now, sender, message, self.chance.random() >= self.stage_fails)
            self._carry_out(node, out)

    def _carry_out(self, node: _Node, out: list[m.Out]) -> None:
        for effect in out:
            if isinstance(effect, m.Say):
                if isinstance(effect.message, m.Release):
                    self._settled(node, effect.message)
                for to in effect.to:
                    self._send(node.name, to, effect.message)
            elif isinstance(effect, m.Moved):
                self._decide(effect.home)
            elif isinstance(effect, PrefetchRelease):
                self._let_go(effect)
            elif isinstance(effect, m.Ended):
                self.outcome.counts[effect.why] += 1

    # --- the ghost --------------------------------------------------------------------------------

    def _decide(self, home: Placement) -> None:
        self.outcome.counts["switched"] += 1
        decided = self.decided.setdefault(home.session, {})
        if decided.setdefault(home.number, home.site) != home.site:
            self.outcome.broken = f"two homes of {home.session.row} with the number {home.number}"
        if any(n > home.number for n in decided) and decided.get(home.number) is None:
            self.outcome.broken = f"{home.number} of {home.session.row} was decided late"

    def _forgotten(self) -> None:
        """What nobody alive knows any more was lost with all that knew it, and may be decided anew."""
        for session in self.sessions:
            known = {0}
            for node in (node for node in self.nodes.values() if node.up):
                home, hand = node.router.home(session), node.mover.hands.get(session)
                known |= {one.number for one in (home, hand and hand.home) if one}
                record = node.keeper.record(session) if node.keeper else None
                known |= {one.number for one in (record, record and record.grant) if one}
            decided = self.decided.get(session, {})
            for number in [number for number in decided if number > max(known)]:
                del decided[number]
                self.outcome.counts["forgotten by all"] += 1

    def _settled(self, mover: _Node, release: m.Release) -> None:
        self.outcome.counts["said to release"] += 1
        for node in self.nodes.values():
            if not node.up or not mover.mover.seen.get(node.name, ("", False, 0.0))[1]:
                continue  # a silent one's calls are given up; it learns the number later
            if node.life > mover.mover.lives.get(node.name, 0):
                continue  # it started anew a moment ago
            home = node.router.home(release.session)
            seen = node.router.homes.get(release.session)
            if home is None or (node.life > 1 and not home.number):
                continue
            old = any(number < release.number for number in (seen.under_way or {}))
            if home.number < release.number or old:
                self.outcome.broken = f"{release.number} was released before {node.name} had left"

    def _let_go(self, effect: PrefetchRelease) -> None:
        self.outcome.counts["let go"] += 1
        session = Session("org", effect.row)
        decided = {0: "x", **self.decided.get(session, {})}
        if decided[max(decided)] == effect.site:
            self.outcome.broken = f"the home of {effect.row} was let go"

    def _check(self, node: _Node, before: dict[Session, Placement | None]) -> None:
        for session, home in before.items():
            now = node.router.home(session)
            if home and now and now.number < home.number:
                self.outcome.broken = f"the home of {session.row} went back at {node.name}"
            if now and now.number and self.decided.get(session, {}).get(now.number) != now.site:
                self.outcome.broken = f"{node.name} goes by {now}, which nobody decided"

    # --- time and weather -------------------------------------------------------------------------

    def _hears(self, node: _Node) -> dict[str, str]:
        found = {}
        for other in self.nodes.values():
            since, until = self.cuts.get((other.name, node.name), (0.0, 0.0))
            silent = until > self.now and self.now - since > QUIET_MS
            if other.up and not silent:
                found[other.name] = other.site
        return found

    def _beat(self, node: _Node) -> None:
        self._soon(BEAT_MS, self._beat, node)
        if not node.up or node.halted_until > self.now:
            return
        now, heard = self._clock(node), self._hears(node)
        lives = {name: self.nodes[name].life for name in heard}
        before = {session: node.router.home(session) for session in self.sessions}
        out = [
            *node.mover.heard(now, heard, self.members, lives),
            *node.mover.tick(now),
            *node.router.tick(now),
        ]
        if node.keeper is not None:
            out += node.keeper.tick(now, heard)
        self._carry_out(node, out)
        self._check(node, {s: h for s, h in before.items() if node.router.home(s)})

    def _blow(self) -> None:
        """Every tenth of a second of true time."""
        self._soon(100.0, self._blow)
        self._forgotten()
        chance, weather = self.chance, self.weather
        up = [node for node in self.nodes.values() if node.up and node.halted_until <= self.now]
        if chance.random() < weather.cuts / 10:
            one, other = chance.sample(sorted(self.nodes), 2)
            until = self.now + chance.uniform(0.0, weather.cut_ms)
            for pair in [(one, other), (other, one)][: chance.choice((1, 2))]:
                self.cuts[pair] = (self.now, until)
        if up and chance.random() < weather.kills / 10:
            self._kill(chance.choice(up))
        if up and chance.random() < weather.halts / 10:
            chance.choice(up).halted_until = self.now + chance.uniform(0.0, weather.halt_ms)
        awake = [node for node in up if node.up and node.halted_until <= self.now]
        for _ in range(int(weather.moves / 10 + chance.random()) if awake else 0):
            self._move(awake)
        for _ in range(int(weather.calls / 10 + chance.random()) if awake else 0):
            self._call(chance.choice(awake))

    def _move(self, awake: list[_Node]) -> None:
        chance = self.chance
        session = chance.choice(self.sessions)
        by_hash = self.nodes[mover_of(session, [node.name for node in awake])]
        node = chance.choice(awake) if chance.random() < self.weather.rivals else by_hash
        home = node.router.home(session)
        if home is None:
            return
        destination = chance.choice([site for site in self.sites if site != home.site])
        move = PredictedMove(session, home.site, destination, 0.0, 1.0, "walk")
        haste = chance.random() < self.weather.haste
        self.outcome.counts["begun"] += 1
        self._carry_out(node, node.mover.begin(self._clock(node), move, home.number, 1, haste))

    def _call(self, node: _Node) -> None:
        session, name, now = self.chance.choice(self.sessions), f"c{next(self.calls)}", self._clock(node)
        knows = node.router.home(session) is not None
        self.outcome.counts["calls"] += 1
        self._carry_out(node, node.router.begin(now, name, session, now + RULES.give_up_ms))
        call = node.router.calls.get(name)
        if call and knows and call.number < node.met.get(session, 0):
            self.outcome.broken = f"{node.name} began a call by {call.number}, having met a larger number"
        self._soon(self.chance.uniform(0.0, 60.0), self._sent, node, node.life, name)

    def _sent(self, node: _Node, life: int, name: str) -> None:
        if node.up and node.life == life:
            node.router.sent(name)
            self._soon(self.chance.uniform(5.0, 1_000.0), self._over, node, life, name)

    def _over(self, node: _Node, life: int, name: str) -> None:
        if node.up and node.life == life:
            self._carry_out(node, node.router.ended(self._clock(node), name))

    def _kill(self, node: _Node) -> None:
        self.outcome.counts["kills"] += 1
        node.keeper = node.mover = node.router = None
        self._soon(self.chance.uniform(1.0, self.weather.away_ms), self._start_anew, node)

    def _start_anew(self, node: _Node) -> None:
        if not node.up:
            node.halted_until = 0.0
            self._start(node)


def main() -> None:
    """Run the simulations and print what they came to."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--steps", type=int, default=20_000, help="of each walk")
    parser.add_argument("--walks", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1, help="of the first one")
    parser.add_argument("--storm", action="store_true")
    parser.add_argument("--measure", action="store_true", help="figures in virtual time instead")
    asked = parser.parse_args()
    if asked.measure:
        from fawnwharf.migration.measure import table

        print(table())
        return
    began, total = time.monotonic(), Counter()
    for seed in range(asked.seed, asked.seed + asked.walks):
        outcome = Walk(seed, STORM if asked.storm else Weather()).run(asked.steps)
        total += outcome.counts + Counter(steps=outcome.steps, true_s=int(outcome.true_ms / 1000))
        if outcome.broken:
            raise SystemExit(f"seed {seed}, step {outcome.steps}: {outcome.broken}")
    print(f"{dict(sorted(total.items()))}, nothing broken, {time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main()
