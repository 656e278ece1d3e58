"""A simulated fleet: member cores in virtual time, with links that a test can cut."""

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
    """Member cores in virtual time; lines on a cut link, or to a stopped member, are lost."""

    def __init__(self, file, seed=1, **more):
        self.file, self.settings, self.now = file, settings(**more), 0.0
        self.event_numbers, self.event_queue = itertools.count(), []
        self.cut, self.dead = set(), set()
        self.evidence_for = lambda _member, _zone: GOOD
        self.disks, self.cores, self.zone_events, self.sent_lines = {}, {}, [], 0
        self.applied_plans = {}
        for n, entry in enumerate(file.members):
            if entry.voter_address:
                self.disks[entry.name] = bootstrap_state(entry.name + "#0") if n == 0 else PersistentState()
            self.start(entry.name, f"{entry.name}#0", seed + n)

    def start(self, name, identity, seed=99):
        """Start a member for the first time, or restart it with the state on its disk."""
        entry = self.file.find_member(name)
        voter = (
            VoterStart(identity, seed, self.disks.get(name) or PersistentState())
            if entry.voter_address
            else None
        )
        core = MemberCore(name, self.file, self.settings, self.now, voter)
        self.cores[name] = core
        self.dead.discard(name)
        self.schedule_tick(name, core)

    def schedule_tick(self, name, core):
        """Schedule the member's next tick."""
        heapq.heappush(
            self.event_queue, (max(core.due_ms(), self.now + 1.0), next(self.event_numbers), name, core, None)
        )

    def run(self, seconds):
        """Advance the virtual time by this many seconds."""
        end = self.now + 1000.0 * seconds
        while self.event_queue and self.event_queue[0][0] <= end:
            self.now, _, name, core, line = heapq.heappop(self.event_queue)
            if self.cores[name] is not core or name in self.dead:
                continue
            if line is None:
                entry = self.file.find_member(name)
                evidence_by_zone = {zone: self.evidence_for(entry, zone) for zone in self.file.zones}
                evidence_by_zone = {zone: evidence for zone, evidence in evidence_by_zone.items() if evidence}
                self.do(name, core.tick(self.now, evidence_by_zone, dict.fromkeys(self.file.zones, 8.0), 0.0))
                self.schedule_tick(name, core)
            else:
                sender, data, is_voter_line = line
                receive = core.receive_voter_line if is_voter_line else core.receive_line
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
                self.applied_plans[name] = effect
            elif isinstance(effect, ZoneLogEvent):
                self.zone_events.append((self.now, name, effect))

    def send(self, name, to, line, is_voter_line):
        """Deliver a line after a varying delay, unless the link is cut or the recipient is stopped."""
        self.sent_lines += 1
        if (name, to) in self.cut or to not in self.cores or to in self.dead:
            return
        data = msgspec.json.decode(msgspec.json.encode(line))
        delay = 2.0 + (self.sent_lines * 7919 % 13)
        heapq.heappush(
            self.event_queue,
            (self.now + delay, next(self.event_numbers), to, self.cores[to], (name, data, is_voter_line)),
        )

    def part(self, zone):
        """Cut all links between a zone's members and the other members, in both directions."""
        inside = {member.name for member in self.file.members if member.zone == zone}
        names = {member.name for member in self.file.members}
        self.cut |= {(a, b) for a in names for b in names if (a in inside) != (b in inside)}

    def leaders(self):
        """The running members whose voters are leaders."""
        return [
            n for n, core in self.cores.items() if n not in self.dead and core.voter and core.voter.is_leader
        ]

    def members_with_valid_plan(self):
        """The names of the running members whose plan is valid."""
        return {
            name
            for name, core in self.cores.items()
            if name not in self.dead and core.is_plan_valid(self.now)
        }

    def zone_state(self, name, zone):
        """The state of a zone in the plan that a member knows."""
        return self.cores[name].plan.zones[zone].state
