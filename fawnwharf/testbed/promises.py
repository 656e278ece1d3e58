"""Randomized simulation of front ends that replicate calls, with faults: does any call run twice?

One seed gives one run. Calls come at random front ends, some at two at the same moment, some again later
elsewhere. Lines are lost, repeated, late and reordered; links are cut; front ends are killed at any step and
come back with nothing, or are paused without noticing. Clocks run at different rates, up to a minute apart.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from fawnwharf.interface import Effect
from fawnwharf.replication.call_owner import AnswerCall, FailCall, OwnerAction, RejectCall, RunCall
from fawnwharf.replication.claims import ClaimPhase
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.replication.messages import Send
from fawnwharf.replication.owned_call import CallTerms
from fawnwharf.replication.settings import ReplicationSettings
from fawnwharf.zones.settings import Membership, membership_from

PROMISE_MS, BUDGET_MS = 800.0, 2_000.0
SETTLE_MS = 1_000.0  # after the last fault, for lines that are on their way
SIGN_MS = 400.0  # pace of signs on a log with nothing to say


@dataclass(frozen=True, slots=True)
class Weather:
    """Rates of faults: chances per line, or rates per second of true time."""

    calls: float = 30.0
    again: float = 0.5  # of the calls come a second time, elsewhere
    at_once: float = 0.2  # and of those, at the same moment
    lost: float = 0.02
    repeated: float = 0.02
    late: float = 0.02
    late_ms: float = 2_500.0
    delay_ms: tuple[float, float] = (0.2, 20.0)
    cuts: float = 0.1
    cut_ms: float = 3_000.0
    kills: float = 0.15
    away_ms: float = 2_500.0
    found: float = 0.5  # of those that start again find what they kept
    halts: float = 0.1
    halt_ms: float = 4_000.0
    moves: float = 0.0  # of the list of members
    strangers: float = 0.1  # of the calls whose key another request uses for something else


STORM = Weather(lost=0.08, late=0.06, cuts=0.5, kills=0.6, halts=0.4, moves=0.02)


@dataclass(slots=True)
class Outcome:
    """The result of a run."""

    calls: int = 0
    lines: int = 0
    kills: int = 0
    ends: Counter = field(default_factory=Counter)
    runs: int = 0
    broken: str = ""
    healed_ms: float = 0.0  # from the end of all faults until all keepers held the same


@dataclass(slots=True, eq=False)
class _Front:
    name: str
    rate: float
    offset_ms: float  # of its clock
    core: ReplicationCore | None = None
    life: int = 0
    halted_until: float = 0.0
    kept: tuple[int, list[Any]] | None = None  # the list by which it knew all, and what it held, on file
    held: list[tuple[str, Any]] = field(default_factory=list)  # lines that came while it stood still


def fleet_file(zones: str, number: int = 1) -> Membership:
    """Every front end has a log of state; the first of each zone votes."""
    entries = [
        {
            "name": f"n{n}",
            "zone": zone,
            "address": f"127.0.1.{n + 1}:1",
            "state": f"127.0.1.{n + 1}:3",
            **({"ballots": f"127.0.1.{n + 1}:2"} if zone not in zones[:n] else {}),
        }
        for n, zone in enumerate(zones)
    ]
    return membership_from({"version": 1, "fleet": "f", "number": number, "members": entries})


class Walk:
    """Owns virtual time, the links and the checks."""

    def __init__(
        self,
        seed: int,
        weather: Weather,
        zones: str = "abcabc",
        make_core: Callable[..., ReplicationCore] = ReplicationCore,
        settings: ReplicationSettings | None = None,
    ) -> None:
        self.chance, self.weather = random.Random(seed), weather
        self.settings = settings or ReplicationSettings(
            1, "members", max_call_ms=BUDGET_MS, repeat_window_ms=4_000.0, compare_interval_ms=1_000.0
        )
        self.file = fleet_file(zones)
        self.make_core = make_core
        self.now, self.outcome = 0.0, Outcome()
        self.order = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.cut: dict[tuple[str, str], float] = {}
        self.keys = itertools.count(1)
        self.runs: dict[str, list[tuple[float, str, str]]] = {}  # key to time, owner, answer
        self.waiting: dict[tuple[str, str], str] = {}  # content by owner and key, until its call has ended
        self.strangers = random.Random(seed + 1)
        uniform = self.chance.uniform  # of the rates and offsets of their clocks
        names = [member.name for member in self.file.members]
        self.fronts = {name: _Front(name, uniform(0.96, 1.04), uniform(1_000.0, 60_000.0)) for name in names}
        for front in self.fronts.values():
            self._start(front, fresh=True)

    # --- time -----------------------------------------------------------------------------------

    def at(self, at: float, do: Callable[[], None]) -> None:
        """Plan an event."""
        heapq.heappush(self.events, (at, next(self.order), do))

    def clock(self, front: _Front) -> float:
        """A front end's clock, in milliseconds."""
        return self.now * front.rate + front.offset_ms

    def run(self, seconds: float, rest_s: float = 12.0) -> Outcome:
        """Run so long with faults, then without, until replicas hold the same."""
        w, end = self.weather, 1000.0 * seconds
        rates = {
            self._call: w.calls, self._cut: w.cuts, self._kill: w.kills, self._halt: w.halts, self._move:
            w.moves
        }  # fmt: skip
        for do, rate in rates.items():
            if rate:
                self._again(do, rate, end)
        self.at(SIGN_MS, self._signs)
        self._go(end)
        self.weather = Weather(again=0.0, lost=0.0, repeated=0.0, late=0.0)
        self.cut.clear()
        while not self.outcome.broken and not self.outcome.healed_ms:
            self._go(self.now + 100.0)
            if self.now - end >= SETTLE_MS and not self._apart():
                self.outcome.healed_ms = self.now - end
            elif self.now > end + 1000.0 * rest_s:
                self._break("keepers hold different things after a rest")
        return self.outcome

    def _go(self, end: float) -> None:
        while self.events and self.events[0][0] <= end and not self.outcome.broken:
            self.now, _, do = heapq.heappop(self.events)
            do()
        self.now = max(self.now, end)

    def _again(self, do: Callable[[], None], rate: float, end: float) -> None:
        def happen() -> None:
            if self.now < end:
                do()
                self.at(self.now + self.chance.expovariate(rate) * 1000.0, happen)

        self.at(self.now + self.chance.expovariate(rate) * 1000.0, happen)

    # --- front ends -----------------------------------------------------------------------------

    def _start(self, front: _Front, fresh: bool = False) -> None:
        front.life += 1
        front.held.clear()
        front.halted_until = 0.0
        core = self.make_core(
            front.name, front.life, self.file, self.settings, self.clock(front), fresh=fresh
        )
        self._read_disk(front, core)
        front.core = core
        self._tick(front, core)

    def _read_disk(self, front: _Front, core: ReplicationCore) -> None:
        """What the process before this one had on file, as `replication/disk.py` has it."""
        kept, front.kept = front.kept, None
        if core.replica is None or kept is None or self.chance.random() >= self.weather.found:
            return
        now_ms, (sure, held) = self.clock(front), kept
        for key, claim, until_ms in held:
            if until_ms > now_ms:
                entry = core.replica.claim_store.get_or_create(now_ms, key)
                core.replica.claim_store.merge(now_ms, key, entry, claim, until_ms - now_ms)
        if sure == core.placement.number:
            core.replica.mark_complete()

    def _tick(self, front: _Front, core: ReplicationCore) -> None:
        if front.core is not core:
            return
        if self.now < front.halted_until:
            self.at(front.halted_until, lambda: self._tick(front, core))
            return
        held, front.held = front.held, []
        for sender, data in held:  # as after a stop: what came first, then the timers
            self._line(front, sender, data)
        self._do(front, core.tick(self.clock(front)))
        due = (core.due_ms() - front.offset_ms) / front.rate
        self.at(max(self.now + 1.0, min(due, self.now + 100.0)), lambda: self._tick(front, core))

    def _line(self, front: _Front, sender: str, data: Any) -> None:
        self._do(front, front.core.receive_line(self.clock(front), sender, data))

    def _do(self, front: _Front, effects: list[OwnerAction]) -> None:
        core = front.core
        for effect in effects:
            if isinstance(effect, Send):
                for to in effect.recipients:
                    self._send(front.name, to, core.log_line(effect))
            else:
                self._told(front, effect)

    def _send(self, name: str, to: str, line: Any) -> None:
        w, chance = self.weather, self.chance
        self.outcome.lines += 1
        if self.cut.get((name, to), 0.0) > self.now or chance.random() < w.lost:
            return
        data = msgspec.json.decode(msgspec.json.encode(line))
        for _ in range(2 if chance.random() < w.repeated else 1):
            delay = chance.uniform(*w.delay_ms)
            if chance.random() < w.late:
                delay += chance.uniform(0.0, w.late_ms)
            self.at(self.now + delay, lambda: self._arrive(name, to, data))

    def _arrive(self, sender: str, to: str, data: Any) -> None:
        front = self.fronts[to]
        if front.core is None:
            return
        if self.now < front.halted_until:
            front.held.append((sender, data))
        else:
            self._line(front, sender, data)

    def _signs(self) -> None:
        """The number that each log tells now and then."""
        for one in self.fronts.values():
            for other in self.fronts.values():
                clear = self.cut.get((one.name, other.name), 0.0) <= self.now
                if one.core and other.core and clear and one.halted_until <= self.now >= other.halted_until:
                    other.core.record_sign_of_life(self.clock(other), one.name, one.life)
        self.at(self.now + SIGN_MS, self._signs)

    # --- calls ----------------------------------------------------------------------------------

    def _up(self) -> list[_Front]:
        return [f for f in self.fronts.values() if f.core and f.halted_until <= self.now]

    def _call(self) -> None:
        key = f"k{next(self.keys)}"
        self.outcome.calls += 1
        w, chance = self.weather, self.chance
        self._ask(key)
        if self.strangers.random() < w.strangers:
            self.at(self.now + self.strangers.uniform(0.0, 500.0), lambda: self._ask(key, "other"))
        if chance.random() < w.again:
            if chance.random() < w.at_once:
                self._ask(key)
            else:
                for _ in range(chance.randrange(1, 4)):
                    wait = chance.uniform(0.0, self.settings.repeat_window_ms * 0.9)
                    self.at(self.now + wait, lambda: self._ask(key))

    def _ask(self, key: str, content: str = "own") -> None:
        fronts = self._up()
        if not fronts:
            return
        front = self.chance.choice(fronts)
        owner = front.core.owner_id
        if (owner, key) in self.waiting or key in front.core.call_owner.calls:
            return  # the front end itself sees that it has it
        self.waiting[owner, key] = content
        terms = CallTerms(Effect.AT_MOST_ONCE, PROMISE_MS, BUDGET_MS, content=content)
        self._do(front, front.core.begin_call(self.clock(front), key, terms))
        self.at(self.now + BUDGET_MS * 1.1 + 6_000.0, lambda: self._owed(front, owner, key))

    def _owed(self, front: _Front, owner: str, key: str) -> None:
        lives = front.core is not None and front.core.owner_id == owner and front.halted_until <= self.now
        if lives and (owner, key) in self.waiting:
            self._break(f"{owner} never said what becomes of {key}")

    def _told(self, front: _Front, effect: RunCall | AnswerCall | FailCall | RejectCall) -> None:
        owner, key = front.core.owner_id, effect.key
        if (content := self.waiting.pop((owner, key), None)) is None:
            self._break(f"{owner} said twice what becomes of {key}")
            return
        self.outcome.ends[type(effect).__name__] += 1
        if isinstance(effect, RunCall):
            self._runs(front, owner, key, content)
        elif isinstance(effect, AnswerCall):
            answers = {answer for _, _, answer in self.runs.get(key, []) if answer.endswith(f"/{content}")}
            if effect.answer not in answers:
                self._break(f"{key} answered with {effect.answer}, and its runs gave {sorted(answers)}")

    def _runs(self, front: _Front, owner: str, key: str, content: str) -> None:
        answer = f"{owner}/{key}/{content}"
        runs = self.runs.setdefault(key, [])
        self.outcome.runs += 1
        for at, who, _ in runs:
            if self.now - at <= self.settings.repeat_window_ms:
                self._break(f"{key} ran at {who}, and {self.now - at:.0f} ms later at {owner}")
        runs.append((self.now, owner, answer))
        core = front.core
        if self.chance.random() < 0.1:
            self.at(self.now + BUDGET_MS, lambda: self._end(front, core, key, ClaimPhase.FAILED, ""))
        else:
            took = self.chance.uniform(2.0, 300.0)
            self.at(self.now + took, lambda: self._end(front, core, key, ClaimPhase.ANSWERED, answer))

    def _end(self, front: _Front, core: ReplicationCore, key: str, phase: ClaimPhase, answer: str) -> None:
        if front.core is not core:
            return
        if front.halted_until > self.now:
            self.at(front.halted_until, lambda: self._end(front, core, key, phase, answer))
            return
        digest = answer[-16:]
        self._do(front, core.call_ended(self.clock(front), key, phase, digest, answer or None))

    # --- faults ---------------------------------------------------------------------------------

    def _cut(self) -> None:
        one, other = self.chance.sample(sorted(self.fronts), 2)
        until = self.now + self.chance.uniform(50.0, self.weather.cut_ms)
        way = self.chance.randrange(3)
        if way != 1:
            self.cut[one, other] = until
        if way != 2:
            self.cut[other, one] = until
        if self.chance.random() < 0.3:  # all of its links
            for name in self.fronts:
                self.cut[one, name] = self.cut[name, one] = until

    def _kill(self) -> None:
        front = self.chance.choice(sorted(self._up(), key=lambda f: f.name) or [None])
        if front is None:
            return
        core, front.core = front.core, None
        if core.replica:
            now_ms = self.clock(front)
            sure = core.placement.number if core.replica.is_complete(now_ms) else 0
            front.kept = sure, core.replica.claim_store.unexpired_claims(now_ms)
        self.outcome.kills += 1
        away = self.chance.uniform(1.0, self.weather.away_ms)
        self.at(self.now + away, lambda: self._start(front))

    def _halt(self) -> None:
        up = self._up()
        if up:
            front = self.chance.choice(up)
            front.halted_until = self.now + self.chance.uniform(100.0, self.weather.halt_ms)

    def _move(self) -> None:
        """A later file: two front ends change zones' places, so that other keepers are chosen."""
        zones = [member.zone for member in self.file.members]
        self.chance.shuffle(zones)
        self.file = fleet_file("".join(zones), self.file.number + 1)
        for front in self.fronts.values():
            self._take_file(front, front.core, self.file)

    def _take_file(self, front: _Front, core: ReplicationCore | None, file: Membership) -> None:
        def take() -> None:
            if front.core is core and core is not None and front.halted_until <= self.now:
                core.change_membership(self.clock(front), file)
            elif front.core is core and core is not None:
                self.at(front.halted_until, take)

        self.at(self.now + self.chance.uniform(0.0, 1_500.0), take)

    # --- checks ---------------------------------------------------------------------------------

    def _break(self, what: str) -> None:
        self.outcome.broken = self.outcome.broken or f"{self.now:.0f} ms: {what}"

    def _apart(self) -> int:
        """Owners of whose claims two keepers hold different ones, of those that should be the same."""
        keepers = {f.name: f.core.replica for f in self.fronts.values() if f.core and f.core.replica}
        found = 0
        for one, other in itertools.combinations(sorted(keepers), 2):
            if one in keepers[other].placement.replicas and other in keepers[one].placement.replicas:
                for a, b in ((one, other), (other, one)):
                    now_ms = self.clock(self.fronts[a])
                    found += len(
                        keepers[b].claim_store.differing_ranges(
                            a, keepers[a].claim_store.bucket_digests(now_ms, b)
                        )
                    )
        return found
