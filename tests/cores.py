"""Cores of several front ends whose lines are carried by hand, in virtual time."""

import msgspec

from fawnwharf.interface import Effect
from fawnwharf.replication import messages as m
from fawnwharf.replication import settings as s
from fawnwharf.replication.call_owner import CallTerms
from fawnwharf.replication.claims import ClaimPhase
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.testbed.promises import fleet_file

FLEET = fleet_file("abcabc")
RULES = s.ReplicationSettings(1, "members", max_call_ms=2_000.0, repeat_window_ms=4_000.0)


class Cores:
    """Front ends whose lines the test carries, drops or holds back."""

    def __init__(self, rules=RULES):
        self.now, self.rules = 1_000.0, rules
        self.cores = {
            e.name: ReplicationCore(e.name, 1, FLEET, rules, self.now, fresh=True) for e in FLEET.members
        }
        self.keepers = list(self.cores["n0"].placement.replicas)
        self.owners = [name for name in self.cores if name not in self.keepers]
        self.told, self.lost, self.held = [], set(), []
        self.hold = lambda sender, to, say: False

    def carry(self, name, effects):
        for effect in effects:
            if not isinstance(effect, m.Send):
                self.told.append((name, effect))
                continue
            line = msgspec.json.decode(msgspec.json.encode(self.cores[name].log_line(effect)))
            for to in effect.recipients:
                if self.hold(name, to, effect.message):
                    self.held.append((name, to, line))
                elif to not in self.lost and name not in self.lost:
                    self.carry(to, self.cores[to].receive_line(self.now, name, line))

    def spread(self, name):
        """What a keeper says to anybody."""
        if self.cores[name].replica:
            say = m.Send((), self.cores[name].usage_table.rates(self.now))
            line = msgspec.json.decode(msgspec.json.encode(self.cores[name].log_line(say)))
            for to, core in self.cores.items():
                if to != name:
                    core.receive_line(self.now, name, line)

    def release(self):
        held, self.held, self.hold = self.held, [], lambda sender, to, say: False
        for sender, to, line in held:
            if to in self.cores:
                self.carry(to, self.cores[to].receive_line(self.now, sender, line))

    def begin(self, name, key="k", effect=Effect.AT_MOST_ONCE, **more):
        terms = CallTerms(effect, **({"latency_target_ms": 800.0, "budget_ms": 2_000.0} | more))
        self.carry(name, self.cores[name].begin_call(self.now, key, terms))

    def end(self, name, phase=ClaimPhase.ANSWERED, answer="QQ==", key="k"):
        digest = "d" if phase is ClaimPhase.ANSWERED else ""
        kept = answer if digest else None
        self.carry(name, self.cores[name].call_ended(self.now, key, phase, digest, kept))

    def wait(self, span_ms):
        end = self.now + span_ms
        while self.now < end:
            self.now += 50.0
            for name, core in self.cores.items():
                if name in self.lost:
                    continue
                for other, peer in self.cores.items():
                    if other not in self.lost:
                        core.record_sign_of_life(self.now, other, peer.incarnation)
                self.carry(name, core.tick(self.now))

    def restart(self, name):
        self.cores[name] = ReplicationCore(
            name, self.cores[name].incarnation + 1, FLEET, self.rules, self.now
        )

    def what(self, name):
        return [effect for who, effect in self.told if who == name]
