"""Agents of sessions in virtual time, on a star of logs: replicas follow all, the others follow replicas."""

import heapq
import itertools
import random

from fawnwharf.interface import ClassSpec
from fawnwharf.migration.settings import DrainSettings
from fawnwharf.migration.settings import Settings as Handover
from fawnwharf.replication.placement import ReplicaPlacement
from fawnwharf.session_types import PrefetchRelease, Session
from fawnwharf.sessions import settings as s
from fawnwharf.sessions import words as w
from fawnwharf.sessions.agent import Agent
from fawnwharf.sessions.effects import Copies, Note, Words
from fawnwharf.zones.settings import MemberEntry, Membership

CLASSES = {"view": ClassSpec("view", priority_weight=1.0, deadline_ms=800.0)}
RULES = s.Settings(
    1,
    handover=Handover(
        give_up_ms=800.0, settle_ms=4_000.0, still_ms=8_000.0, stage_ms=2_000.0, lapse_ms=4_000.0
    ),
    drain=DrainSettings(dwell_ms=1_000.0, dwell_most_ms=4_000.0),
)
QUIET_MS = 600.0


class Front:
    """One front end, and what became of its calls and copies."""

    def __init__(self, name, site):
        self.name, self.site, self.agent, self.life = name, site, None, 0
        self.heard, self.open, self.waiting, self.let_go, self.staged = {}, {}, {}, [], []
        self.placement = None  # by which it goes


class Fleet:
    """Front ends a0, a1, b0, ...; the replica of each zone is whoever the placement takes."""

    def __init__(self, seed=1, zones="abc", per_zone=2, rules=RULES, fresh=True):
        self.chance, self.rules, self.now = random.Random(seed), rules, 0.0
        self.fronts = {f"{zone}{n}": Front(f"{zone}{n}", zone) for zone in zones for n in range(per_zone)}
        entries = [
            MemberEntry(name, front.site, "127.0.0.1:1", replication_address=f"127.0.0.1:{n + 2}")
            for n, (name, front) in enumerate(self.fronts.items())
        ]
        self.entries, self.placement = entries, ReplicaPlacement(Membership(1, "f", 1, entries), 3, 1)
        self.events, self.order = [], itertools.count()
        self.notes, self.bytes, self.lines, self.delay_ms = [], 0, 0, (1.0, 10.0)
        self.closed, self.stands, self.cut = {}, True, set()
        self.wrong = []
        for front in self.fronts.values():
            self.start(front, fresh)
        self.run(600.0)

    def keepers(self):
        """The front ends that are replicas."""
        return [self.fronts[name] for name in self.placement.replicas]

    def others(self):
        """The front ends that are no replicas."""
        return [front for name, front in self.fronts.items() if name not in self.placement.replicas]

    def sites(self):
        """The zones of all front ends."""
        return {name: front.site for name, front in self.fronts.items()}

    def start(self, front, fresh=False, life=None):
        """Start a front end in a new incarnation."""
        front.life = life or self.chance.getrandbits(52) | 1
        front.heard, front.open, front.waiting = {}, {}, {}
        front.placement = placed = self.placement
        front.agent = Agent(
            front.name, front.life, self.sites(), placed.replicas,
            lambda key: front.placement.replicas_of(key), self.rules, CLASSES, self.now, fresh, placed.number,
        )  # fmt: skip
        self.soon(self.chance.uniform(0.0, 50.0), self.look, front, front.life)
        self.soon(0.0, self.pulse, front, front.life)

    def relist(self, without):
        """Take one front end off the list of replicas; all go by that within half a second."""
        entries = [entry for entry in self.entries if entry.name != without]
        self.placement = ReplicaPlacement(Membership(1, "f", self.placement.number + 1, entries), 3, 1)
        for front in self.fronts.values():
            self.soon(self.chance.uniform(0.0, 500.0), self.adopt, front, self.placement)

    def adopt(self, front, placement):
        """Let a front end go by a list of members."""
        front.placement = placement
        front.agent.place(self.now, self.sites(), placement.replicas, placement.number)
        self.carry(front)

    def kill(self, *names):
        """Kill front ends."""
        for name in names:
            self.fronts[name].agent = None

    def soon(self, delay_ms, what, *about):
        """Plan an event."""
        heapq.heappush(self.events, (self.now + delay_ms, next(self.order), what, about))

    def run(self, span_ms):
        """Let milliseconds pass."""
        until = self.now + span_ms
        while self.events[0][0] <= until:
            self.now, _, what, about = heapq.heappop(self.events)
            what(*about)
        self.now = until

    def until(self, condition, most_ms=60_000.0):
        """Run until a condition holds; the milliseconds it took. Fails where it takes too long."""
        began = self.now
        while not condition():
            assert self.now - began < most_ms, "it did not come"
            self.run(20.0)
        return self.now - began

    # --- logs -----------------------------------------------------------------------------------

    def follows(self, one, other):
        """Whether one front end follows another one's log."""
        return one.name in self.placement.replicas or other.name in self.placement.replicas

    def pulse(self, front, life):
        """Send a heartbeat to those that follow a front end."""
        if front.agent is None or front.life != life:
            return
        for other in self.fronts.values():
            if other is not front and self.follows(other, front) and (front.name, other.name) not in self.cut:
                other.heard[front.name] = life, self.now
        self.soon(200.0, self.pulse, front, life)

    def look(self, front, life):
        """Tick a front end's agent."""
        if front.agent is None or front.life != life:
            return
        alive = {name: life for name, (life, at) in front.heard.items() if self.now - at <= QUIET_MS}
        front.agent.room = dict.fromkeys({f.site for f in self.fronts.values()}, 1_000)
        front.agent.close(self.now, self.closed)
        front.agent.tick(self.now, alive, front.open.__contains__)
        self.carry(front, True)
        self.soon(front.agent.pace_ms(), self.look, front, life)

    def carry(self, front, all_words=False):
        """Carry out the effects of a front end's agent."""
        for effect in front.agent.take():
            if isinstance(effect, Words):
                self.say(front, effect)
            elif isinstance(effect, Copies):
                front.staged.append(effect.row)
                self.soon(self.chance.uniform(20.0, 120.0), self.stood, front, front.life, effect.key)
            elif isinstance(effect, PrefetchRelease):
                front.let_go.append((effect.row, effect.site))
                self.check_let_go(effect)
            elif isinstance(effect, Note):
                self.notes.append((effect.event, {"at": front.name, **effect.fields}))

    def check_let_go(self, effect):
        """Note a release of copies in the zone where a session is placed."""
        homes = self.homes(Session("acme", effect.row))
        if homes and homes[max(homes)] == {effect.site}:
            self.wrong.append(f"the home of {effect.row} was let go")

    def say(self, front, words):
        """Send messages; those to front ends that don't follow are noted as wrong."""
        data = w.msgspec.json.encode(w.Hands((words.message,)))
        for name in words.to:
            other = self.fronts[name]
            if not self.follows(other, front):
                self.wrong.append(f"{front.name} says {words.message!r} to {name}, which does not follow it")
            self.lines, self.bytes = self.lines + 1, self.bytes + len(data)
            self.soon(self.chance.uniform(*self.delay_ms), self.arrive, front.name, front.life, other, data)

    def arrive(self, sender, life, other, data):
        """Deliver a line."""
        if other.agent is not None and (sender, other.name) not in self.cut:
            word = w.word_from(w.msgspec.json.decode(data))
            other.agent.hear(self.now, sender, life, word.words)
            self.carry(other)

    def stood(self, front, life, key):
        """Tell an agent whether copies stand."""
        if front.agent is not None and front.life == life:
            front.agent.stood(self.now, key, self.stands)
            self.carry(front)

    # --- calls ----------------------------------------------------------------------------------

    def call(self, front, session, took_ms=60.0):
        """Make a call at a front end; the placement that it goes by."""
        name = f"r{next(self.order)}"
        front.open[name] = session
        home = front.agent.begun(self.now, name, session, "view", 1, 300.0, 800.0)
        self.carry(front)
        self.soon(took_ms, self.answer, front, front.life, name)
        return home

    def answer(self, front, life, name):
        """Answer a call."""
        if front.agent is not None and front.life == life and front.open.pop(name, None):
            front.agent.ended(self.now, name, True)
            self.carry(front)

    def calls(self, front, session, each_ms=150.0):
        """Make calls until the front end is killed, then at another one of its zone, or any."""
        if front.agent is None:
            up = [f for f in self.fronts.values() if f.agent is not None]
            front = next((f for f in up if f.site == front.site), up[0])
        self.call(front, session)
        self.soon(each_ms, self.calls, front, session, each_ms)

    def homes(self, session):
        """The zones of a session by number, of all that are up and know it."""
        found = {}
        for front in self.fronts.values():
            home = front.agent.router.home(session) if front.agent else None
            if home is not None:
                found.setdefault(home.number, set()).add(home.site)
        return found

    def home(self, session):
        """The zone where all that know a session place it; None where they differ."""
        homes = self.homes(session)
        return next(iter(homes[max(homes)])) if len(homes) == 1 and len(homes[max(homes)]) == 1 else None

    def moved(self):
        """The fields of all notes of migrations."""
        return [fields for event, fields in self.notes if event == "session moved"]

    def ends(self):
        """The fields of all notes of ended migrations."""
        return [fields for event, fields in self.notes if event == "hand-over ended"]

    def check(self):
        """One placement a number, each number decided once, nothing sent to whom it can't reach."""
        assert not self.wrong, self.wrong
        decided = {}
        for fields in self.moved():
            key = fields["row"], fields["number"]
            assert decided.setdefault(key, fields["site"]) == fields["site"], f"two homes of {key}"
        for front in self.fronts.values():
            for session, seen in front.agent.router.homes.items() if front.agent else ():
                if seen.home.number:
                    assert decided[session.row, seen.home.number] == seen.home.site
