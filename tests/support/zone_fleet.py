"""A fleet of members' cores in virtual time."""

import heapq
import itertools

import msgspec

from fawnwharf.consensus.messages import PersistentState
from fawnwharf.consensus.voter import bootstrap_state
from fawnwharf.zones.effects import ApplyPlan, PublishLine, SaveVoterState, SendVoterMessage
from fawnwharf.zones.log_events import ZoneLogEvent
from fawnwharf.zones.member_core import MemberCore
from fawnwharf.zones.voter_role import VoterStart
from support.zone_files import GOOD, settings


class ZoneFleet:
    """Members' cores, with links that a test can cut; lines on a cut link are lost."""

    def __init__(self, file, seed=1, **more):
        self.file, self.settings, self.now = file, settings(**more), 0.0
        self.order, self.events = itertools.count(), []
        self.cut, self.dead = set(), set()
        self.seen = lambda _member, _zone: GOOD
        self.disks, self.cores, self.notes, self.lines = {}, {}, [], 0
        self.following = {}
        for n, entry in enumerate(file.members):
            if entry.voter_address:
                self.disks[entry.name] = bootstrap_state(entry.name + "#0") if n == 0 else PersistentState()
            self.start(entry.name, f"{entry.name}#0", seed + n)

    def start(self, name, identity, seed=99):
        """Start a member, again with its disk or for the first time."""
        entry = self.file.find_member(name)
        voter = (
            VoterStart(identity, seed, self.disks.get(name) or PersistentState())
            if entry.voter_address
            else None
        )
        core = MemberCore(name, self.file, self.settings, self.now, voter)
        self.cores[name] = core
        self.dead.discard(name)
        self.push(name, core)

    def push(self, name, core):
        """Schedule the member's next tick."""
        heapq.heappush(self.events, (max(core.due_ms(), self.now + 1.0), next(self.order), name, core, None))

    def run(self, seconds):
        """Let this much virtual time pass."""
        end = self.now + 1000.0 * seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, name, core, line = heapq.heappop(self.events)
            if self.cores[name] is not core or name in self.dead:
                continue
            if line is None:
                entry = self.file.find_member(name)
                seen = {zone: self.seen(entry, zone) for zone in self.file.zones}
                seen = {zone: signs for zone, signs in seen.items() if signs}
                self.do(name, core.tick(self.now, seen, dict.fromkeys(self.file.zones, 8.0), 0.0))
                self.push(name, core)
            else:
                sender, data, ballots = line
                receive = core.receive_voter_line if ballots else core.receive_line
                self.do(name, receive(self.now, sender, data))
        self.now = end
        return self

    def do(self, name, effects):
        """Carry out a member's effects."""
        for effect in effects:
            if isinstance(effect, SaveVoterState):
                self.disks[name] = effect.saved
            elif isinstance(effect, PublishLine):
                voter = self.file.find_member(name).voter_address
                for other in self.file.members:
                    if other.name != name and (voter or other.voter_address):
                        self.send(name, other.name, effect.line, False)
            elif isinstance(effect, SendVoterMessage):
                self.send(name, effect.to, effect.line, True)
            elif isinstance(effect, ApplyPlan):
                self.following[name] = effect
            elif isinstance(effect, ZoneLogEvent):
                self.notes.append((self.now, name, effect))

    def send(self, name, to, line, ballots):
        """Deliver a line after a varying delay, unless the link is cut."""
        self.lines += 1
        if (name, to) in self.cut or to not in self.cores or to in self.dead:
            return
        data = msgspec.json.decode(msgspec.json.encode(line))
        delay = 2.0 + (self.lines * 7919 % 13)
        heapq.heappush(
            self.events, (self.now + delay, next(self.order), to, self.cores[to], (name, data, ballots))
        )

    def part(self, zone):
        """Cut a zone's members off from all others, both ways."""
        inside = {member.name for member in self.file.members if member.zone == zone}
        names = {member.name for member in self.file.members}
        self.cut |= {(a, b) for a in names for b in names if (a in inside) != (b in inside)}

    def leaders(self):
        """The running members whose voters lead."""
        return [
            n for n, core in self.cores.items() if n not in self.dead and core.voter and core.voter.is_leader
        ]

    def valid(self):
        """The running members whose plan is valid."""
        return {
            name
            for name, core in self.cores.items()
            if name not in self.dead and core.is_plan_valid(self.now)
        }

    def state(self, name, zone):
        """The state of a zone in the plan that a member knows."""
        return self.cores[name].plan.zones[zone].state
