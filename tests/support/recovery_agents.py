"""Recovery agents on real zone members, in virtual time.

Messages travel through the members' logs and decisions through the consensus log. Tests cause power losses.
"""

import random

import msgspec

from fawnwharf.durable_store.folder_reader import FolderPosition
from fawnwharf.recovery_core.phases import LogEvent, PhaseTiming, ProposeRegister, RecoveryPhase
from fawnwharf.recovery_core.queries import QueryPace
from fawnwharf.recovery_service import messages as w
from fawnwharf.recovery_service.agent import RecoveryAgent
from fawnwharf.recovery_service.agent_actions import (
    ApplyPhase,
    LocalStatus,
    PlanVersion,
    PositionReported,
    SendMessage,
)
from fawnwharf.recovery_service.agent_settings import AgentIdentity, AgentSettings
from fawnwharf.recovery_service.recovery_leader import MemberLists
from fawnwharf.zones.effects import MessagesReceived, RegisterDecided
from fawnwharf.zones.log_lines import RECOVERY, ClientMessage
from support.zone_files import members
from support.zone_fleet import ZoneFleet

STEP_S = 0.02
WEIGHTS = {"view": 1.0, "save": 5.0}
TIMING = PhaseTiming(settle_ms=3_000.0)


class Agents(ZoneFleet):
    """Members with one recovery agent each."""

    def __init__(self, zones="abcab", seed=1, lost=0.0, late_ms=0.0):
        self.agents, self.chance, self.lost, self.late_ms = {}, random.Random(seed), lost, late_ms
        self.boots, self.incarnations, self.complete_stores = {}, {}, {}
        self.status_reports, self.applied_phases, self.log_events, self.reported_positions = {}, [], [], []
        self.in_transit = []  # replication messages in transit
        super().__init__(members(zones, 3), seed)

    @property
    def names(self):
        """The names of all members."""
        return [entry.name for entry in self.file.members]

    def local_status(self, name, sign=None):
        """The status that a member's agent is given."""
        core = self.cores[name]
        votes = core.voter is not None
        plan = PlanVersion(core.voter.saved.last_index if votes else 0, "")
        return LocalStatus(
            True, self.complete_stores.get(name, True), True, votes, plan,
            sign or FolderPosition(name, self.incarnations[name], 1), True, True, True, 1,
            self.status_reports.get(name),
        )  # fmt: skip

    def start(self, name, identity, seed=99):
        """Start a member and its agent."""
        super().start(name, identity, seed)
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        voters = tuple(entry.name for entry in self.file.voters)
        lists = MemberLists(tuple(self.names), voters, voters, 1, "d")
        core = self.cores[name]
        identity = AgentIdentity(name, "f", self.incarnations[name], self.boots.setdefault(name, "boot 1"))
        settings = AgentSettings(WEIGHTS, TIMING, QueryPace(), 100.0, 150.0)
        self.agents[name] = RecoveryAgent(
            identity, settings, lists, core.consensus_status, self.local_status(name), self.now
        )

    # --- power ----------------------------------------------------------------------------------

    def end(self, *names):
        """Stop members abruptly and drop their messages in transit."""
        for name in names:
            self.dead.add(name)
            self.in_transit = [word for word in self.in_transit if name not in word[1:3]]

    def begin(self, boot, *names):
        """Restart members in a boot with this id, or in the same boot if the id is empty."""
        for name in names:
            self.boots[name] = boot or self.boots[name]
            self.start(name, f"{name}#0", seed=self.chance.randrange(1_000))

    def power_loss(self, boot, *names):
        """Stop members and restart them in another boot."""
        self.end(*(names or self.names))
        self.run(0.1)
        self.begin(boot, *(names or self.names))

    # --- effects --------------------------------------------------------------------------------

    def do(self, name, effects):
        """Carry out the effects of a zone member, and pass recovery messages on to its agent."""
        super().do(name, effects)
        agent = self.agents.get(name)
        for effect in effects:
            if isinstance(effect, MessagesReceived) and effect.client == RECOVERY:
                for data in effect.messages:
                    self.carry_out(
                        name, agent.receive_by_zones(self.now, effect.sender, w.recovery_message_from(data))
                    )
            elif isinstance(effect, RegisterDecided) and effect.kind == RECOVERY:
                self.carry_out(name, agent.decided(self.now, effect.text))
        if agent is not None:
            self.carry_out(name, agent.update_term(self.now))

    def carry_out(self, name, effects):
        """Carry out the effects of a member's agent."""
        core = self.cores[name]
        for effect in effects:
            if isinstance(effect, SendMessage) and effect.by_zones:
                self._send_by_zones(name, effect)
            elif isinstance(effect, SendMessage):
                self._send_by_replication(name, effect)
            elif isinstance(effect, ProposeRegister):
                put, more = core.propose_register(self.now, effect.register, RECOVERY)
                self.do(name, more)
                if not put:
                    self.agents[name].proposal_dropped()
            elif isinstance(effect, ApplyPhase):
                self.applied_phases.append((name, effect.phase, effect.power_loss, effect.allowed))
            elif isinstance(effect, PositionReported):
                self.reported_positions.append((name, effect.position))
            elif isinstance(effect, LogEvent):
                self.log_events.append((name, effect.event, effect.fields))

    def _send_by_zones(self, name, effect):
        line = self.cores[name].state.make_line(
            messages=[ClientMessage(msgspec.to_builtins(effect.message), effect.to, RECOVERY)]
        )
        for other in self.names:
            voter = self.file.find_member(name).voter_address or self.file.find_member(other).voter_address
            if other != name and voter and self.chance.random() >= self.lost:
                self.send(name, other, line, False)

    def _send_by_replication(self, name, effect):
        for to in effect.to:
            if self.chance.random() >= self.lost:
                delay = 2.0 + self.chance.random() * self.late_ms
                self.in_transit.append((self.now + delay, name, to, msgspec.json.encode(effect.message)))

    def run(self, seconds):
        """Advance the virtual time by seconds."""
        for _ in range(round(seconds / STEP_S)):
            super().run(STEP_S)
            in_transit = [word for word in self.in_transit if word[0] <= self.now]
            self.in_transit = [word for word in self.in_transit if word[0] > self.now]
            for _, sender, to, data in in_transit:
                if to not in self.dead:
                    word = w.recovery_message_from(msgspec.json.decode(data))
                    self.carry_out(to, self.agents[to].receive_by_replication(self.now, sender, word))
            for name in self.up:
                if self.now >= self.agents[name].due_ms(self.now - 1000.0 * STEP_S):
                    self.carry_out(name, self.agents[name].tick(self.now, self.local_status(name)))
            self.check()
        return self

    def check(self):
        """Check that all agents with the same register number follow the same register."""
        phases = {n: a.follower.register for n, a in self.agents.items() if a.follower.register}
        by_number = {}
        for register in phases.values():
            assert by_number.setdefault(register.number, register) == register

    # --- observations ---------------------------------------------------------------------------

    @property
    def up(self):
        """The members that are running."""
        return [name for name in self.names if name not in self.dead]

    def phases(self, names=None):
        """The phases that the members follow."""
        return {self.agents[name].phase(self.now) for name in names or self.up}

    def until(self, condition, seconds=40.0):
        """Run until a condition holds; fails after `seconds`."""
        for _ in range(round(seconds / STEP_S)):
            if condition():
                return self
            self.run(STEP_S)
        raise AssertionError(f"condition not met in time: {self.applied_phases[-8:]} {self.log_events[-8:]}")

    def until_phase(self, stage, names=None, cut=None):
        """Run until the members follow this phase and, with `cut`, this power loss number."""

        def there():
            by = [self.agents[name] for name in names or self.up]
            return self.phases(names) == {stage} and all(cut in (None, agent.power_loss) for agent in by)

        return self.until(there)

    @property
    def leader(self):
        """The member that leads; None if there is none."""
        found = [
            n
            for n in self.up
            if self.agents[n].leader.term and self.cores[n].consensus_status(self.now).holds_read_lease
        ]
        return found[0] if found else None

    def until_normal(self):
        """Run until the fleet is in normal operation and all boots are recorded."""
        self.until(lambda: all(len(self.cores[n].voter.saved.voters) == 3 for n in self.names[:3]))
        self.until_phase(RecoveryPhase.NORMAL)
        self.until(lambda: all(agent.queries_done for agent in self.agents.values()))
        leader = self.leader
        self.until(lambda: len(self.agents[leader].leader.coordinator.register.boots) == 3)
        self.until(lambda: self.agents[leader].leader.coordinator.proposed is None)
        return self
