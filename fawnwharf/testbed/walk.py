"""Randomized simulation of voters in virtual time, with clock skew and faults of every kind.

Deeper than `explore.py` and with real clocks, so that leases are tried as well. One seed gives one run.
Messages are lost, repeated, reordered and delayed; links are cut, in one direction too; voters are killed
between any two of their actions, come back later from what they saved, and are paused without noticing.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from fawnwharf.consensus import messages as m
from fawnwharf.consensus.timing import Timing
from fawnwharf.consensus.voter import Voter, bootstrap_state
from fawnwharf.testbed.explore import replace_voters

TIMING = Timing(heartbeat_ms=100.0, election_timeout_ms=500.0, max_clock_drift_ratio=0.1)


@dataclass(frozen=True, slots=True)
class Weather:
    """Rates of faults: chances per message, or per second of true time."""

    lost: float = 0.05
    repeated: float = 0.05
    delay_ms: tuple[float, float] = (1.0, 60.0)
    late: float = 0.02  # part of the messages that take up to `late_ms`
    late_ms: float = 3_000.0
    cuts: float = 0.15  # a second: one link, one way or both
    cut_ms: float = 2_500.0  # at the most
    kills: float = 0.1
    away_ms: float = 2_000.0
    halts: float = 0.1
    halt_ms: float = 2_500.0
    plans: float = 1.0
    changes: float = 0.05  # of the list of voters


STORM = Weather(lost=0.15, late=0.05, cuts=1.5, kills=0.3, halts=0.6, plans=6.0, changes=0.3)


@dataclass(slots=True)
class Outcome:
    """The result of a run; `broken` is empty where all rules held."""

    steps: int = 0
    true_ms: float = 0.0
    decided: int = 0
    leaders: int = 0
    kills: int = 0
    fresh: int = 0  # times that a leader said its plan was the last one
    messages: int = 0
    broken: str = ""


@dataclass(slots=True)
class _Member:
    name: str
    rate: float  # of its clock
    voter: Voter | None
    disk: m.PersistentState
    halted_until: float = 0.0
    backlog: list[m.Message] = field(default_factory=list)


class Walk:
    """One fleet of voters and the reference model, which knows all that was ever decided."""

    def __init__(self, kind: type[Voter], size: int, seed: int, weather: Weather, spare: int = 0) -> None:
        """`spare` members more may be taken into the list of voters, and any may be taken off it."""
        self.kind, self.weather, self.chance = kind, weather, random.Random(seed)
        self.now, self.order = 0.0, itertools.count()
        self.events: list[tuple[float, int, str, object]] = []
        self.outcome = Outcome()
        self.decided: dict[int, str] = {}
        self.plan_index = 0  # of the last plan that is decided anywhere
        self.reigns: dict[int, str] = {}
        self.cuts: dict[tuple[str, str], float] = {}  # from, to: until then
        names = [f"v{n}" for n in range(size + spare)]
        voters = tuple(names[:size])
        self.members: dict[str, _Member] = {}
        for name in names:
            rate = 1 + self.chance.uniform(-TIMING.max_clock_drift_ratio, TIMING.max_clock_drift_ratio)
            disk = (
                replace_voters(bootstrap_state(voters[0]), voters) if name in voters else m.PersistentState()
            )
            member = self.members[name] = _Member(name, rate, None, disk)
            self._start(member)
        self._soon("weather", None, 0.0)

    # --- the walk -------------------------------------------------------------------------------

    def run(self, steps: int) -> Outcome:
        """Run so many steps, or up to the first broken rule."""
        while self.outcome.steps < steps and not self.outcome.broken:
            self.now, _, what, about = heapq.heappop(self.events)
            self.outcome.steps += 1
            getattr(self, f"_{what}")(about)
        self.outcome.true_ms = self.now
        self.outcome.decided, self.outcome.leaders = len(self.decided), len(self.reigns)
        return self.outcome

    def _soon(self, what: str, about: object, delay_ms: float) -> None:
        heapq.heappush(self.events, (self.now + delay_ms, next(self.order), what, about))

    def _clock(self, member: _Member) -> float:
        return self.now * member.rate

    def _start(self, member: _Member) -> None:
        seed = self.chance.getrandbits(40)
        member.voter = self.kind(member.name, member.disk, TIMING, self._clock(member), seed)
        self._wind(member)

    def _wind(self, member: _Member) -> None:
        left = (member.voter.due_ms - self._clock(member)) / member.rate
        self._soon("tick", (member, member.voter), max(0.01, left))

    def _tick(self, about: tuple[_Member, Voter]) -> None:
        member, voter = about
        if member.voter is not voter:
            return  # a timer of a former life
        if member.halted_until > self.now:
            self._soon("tick", about, member.halted_until - self.now + self.chance.random())
            return
        self._carry_out(member, voter.tick(self._clock(member)))
        if member.voter is voter:
            self._wind(member)

    def _arrive(self, message: m.Message) -> None:
        member = self.members[message.to]
        cut = self.cuts.get((message.sender, message.to), 0.0)
        if cut > self.now:  # the link holds it until it heals
            self._soon("arrive", message, cut - self.now + self.chance.random())
        elif member.voter is not None and member.halted_until > self.now:
            self._soon("arrive", message, member.halted_until - self.now + self.chance.random())
        elif member.voter is not None:
            self._carry_out(member, member.voter.receive(self._clock(member), message))

    def _carry_out(self, member: _Member, actions: list[m.Action]) -> None:
        voter, saves = member.voter, sum(isinstance(action, m.Persist) for action in actions)
        doomed = saves and self.chance.random() < 0.002
        last = self.chance.randrange(len(actions) + 1) if doomed else len(actions)
        if voter.is_leader:
            term = voter.saved.term
            if self.reigns.setdefault(term, voter.identity) != voter.identity:
                self.outcome.broken = f"two leaders in term {term}"
        for action in actions[:last]:
            if isinstance(action, m.Persist):
                member.disk = action.saved
            elif isinstance(action, m.Send):
                self._send(action.message)
            else:
                self._note(action)
        if doomed:
            self._kill(member)
        else:
            self._ask_fresh(member)

    def _ask_fresh(self, member: _Member) -> None:
        """What a leader holds for the last plan must be that, whenever it is asked."""
        voter = member.voter
        if voter.holds_read_lease(self._clock(member)):
            self.outcome.fresh += 1
            if voter.plan[0] < self.plan_index:
                last = f"plan {voter.plan[0]} for the last, which is {self.plan_index}"
                self.outcome.broken = f"{voter.identity} holds {last}"

    def _note(self, action: m.Committed) -> None:
        what = f"{action.kind} {action.text}{' '.join(action.voters)}"
        if self.decided.setdefault(action.index, what) != what:
            self.outcome.broken = f"two decisions with the number {action.index}"
        if action.kind == "plan":
            self.plan_index = max(self.plan_index, action.index)

    def _send(self, message: m.Message) -> None:
        self.outcome.messages += 1
        chance, weather = self.chance, self.weather
        for _ in range(1 + (chance.random() < weather.repeated)):
            if chance.random() < weather.lost:
                continue
            most = weather.late_ms if chance.random() < weather.late else weather.delay_ms[1]
            self._soon("arrive", message, chance.uniform(weather.delay_ms[0], most))

    # --- the weather ----------------------------------------------------------------------------

    def _weather(self, _: object) -> None:
        """Every tenth of a second of true time."""
        self._soon("weather", None, 100.0)
        chance, weather = self.chance, self.weather
        up = [member for member in self.members.values() if member.voter is not None]
        if chance.random() < weather.cuts / 10:
            one, other = chance.sample(sorted(self.members), 2)
            until = self.now + chance.uniform(0.0, weather.cut_ms)
            for pair in [(one, other), (other, one)][: chance.choice((1, 2))]:
                self.cuts[pair] = until
        if up and chance.random() < weather.kills / 10:
            self._kill(chance.choice(up))
        if up and chance.random() < weather.halts / 10:
            chance.choice(up).halted_until = self.now + chance.uniform(0.0, weather.halt_ms)
        awake = [member for member in up if member.voter and member.halted_until <= self.now]
        for member in awake:
            if member.voter and member.voter.is_leader:
                self._ask_fresh(member)
                self._lead(member)

    def _lead(self, member: _Member) -> None:
        chance, weather, voter = self.chance, self.weather, member.voter
        if chance.random() < weather.plans / 10:
            text = f"plan of {voter.identity} at {self.now:.3f}"
            self._carry_out(member, voter.propose(self._clock(member), text)[1])
        if member.voter is voter and chance.random() < weather.changes / 10:
            name = chance.choice(sorted(self.members))
            wanted = set(voter.saved.voters) ^ {name}
            if len(wanted) >= 3:
                actions = voter.propose_voters(self._clock(member), tuple(sorted(wanted)))[1]
                self._carry_out(member, actions)

    def _kill(self, member: _Member) -> None:
        self.outcome.kills += 1
        member.voter = None
        self._soon("return", member, self.chance.uniform(1.0, self.weather.away_ms))

    def _return(self, member: _Member) -> None:
        if member.voter is None:
            member.halted_until = 0.0
            self._start(member)
