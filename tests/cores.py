"""Replication cores of several front ends in virtual time; the test delivers their lines."""

import msgspec

from fawnwharf.interface import Effect
from fawnwharf.replication import messages as m
from fawnwharf.replication import settings as s
from fawnwharf.replication.claims import ClaimPhase
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.replication.owned_call import CallTerms
from fawnwharf.testbed.promises import fleet_file

FLEET = fleet_file("abcabc")
RULES = s.ReplicationSettings(1, "members", max_call_ms=2_000.0, repeat_window_ms=4_000.0)
STEP_MS = 50.0  # between two ticks of all cores


class Cores:
    """Front ends whose lines the test delivers, drops or delays.

    `keepers` are the replicas, `owners` the other front ends. `told` collects the actions on calls, with the
    front end that takes them. All lines to and from the front ends in `lost` are dropped.
    """

    def __init__(self, rules=RULES):
        self.now, self.rules = 1_000.0, rules
        self.cores = {
            e.name: ReplicationCore(e.name, 1, FLEET, rules, self.now, fresh=True) for e in FLEET.members
        }
        self.keepers = list(self.cores["n0"].placement.replicas)
        self.owners = [name for name in self.cores if name not in self.keepers]
        self.told, self.lost, self.delayed = [], set(), []
        self.delays = lambda sender, recipient, message: False

    def carry(self, name, effects):
        """Execute the actions of one core: record those on calls, and deliver or delay its messages."""
        for effect in effects:
            if not isinstance(effect, m.Send):
                self.told.append((name, effect))
                continue
            line = self._encoded_line(name, effect)
            for recipient in effect.recipients:
                if self.delays(name, recipient, effect.message):
                    self.delayed.append((name, recipient, line))
                elif recipient not in self.lost and name not in self.lost:
                    self.carry(recipient, self.cores[recipient].receive_line(self.now, name, line))

    def _encoded_line(self, name, send):
        """The log line of a message after encoding and decoding."""
        return msgspec.json.decode(msgspec.json.encode(self.cores[name].log_line(send)))

    def broadcast_rates(self, name):
        """If this front end is a replica, send its usage rates to all others."""
        if self.cores[name].replica:
            line = self._encoded_line(name, m.Send((), self.cores[name].usage_table.rates(self.now)))
            for recipient, core in self.cores.items():
                if recipient != name:
                    core.receive_line(self.now, name, line)

    def deliver_delayed(self):
        """Deliver all delayed lines, and delay no further ones."""
        delayed, self.delayed = self.delayed, []
        self.delays = lambda sender, recipient, message: False
        for sender, recipient, line in delayed:
            if recipient in self.cores:
                self.carry(recipient, self.cores[recipient].receive_line(self.now, sender, line))

    def begin(self, name, key="k", effect=Effect.AT_MOST_ONCE, **more):
        """Begin a call at this front end."""
        terms = CallTerms(effect, **({"latency_target_ms": 800.0, "budget_ms": 2_000.0} | more))
        self.carry(name, self.cores[name].begin_call(self.now, key, terms))

    def end(self, name, phase=ClaimPhase.ANSWERED, answer="QQ==", key="k"):
        """End a running call of this front end, with an answer if it is answered."""
        digest = "d" if phase is ClaimPhase.ANSWERED else ""
        stored_answer = answer if digest else None
        self.carry(name, self.cores[name].call_ended(self.now, key, phase, digest, stored_answer))

    def wait(self, span_ms):
        """Let time pass: connected cores hear each other and tick."""
        end = self.now + span_ms
        while self.now < end:
            self.now += STEP_MS
            for name, core in self.cores.items():
                if name in self.lost:
                    continue
                for other, peer in self.cores.items():
                    if other not in self.lost:
                        core.record_sign_of_life(self.now, other, peer.incarnation)
                self.carry(name, core.tick(self.now))

    def restart(self, name):
        """Replace a core by a new incarnation without any state."""
        self.cores[name] = ReplicationCore(
            name, self.cores[name].incarnation + 1, FLEET, self.rules, self.now
        )

    def what(self, name):
        """The actions on calls that this front end took."""
        return [effect for who, effect in self.told if who == name]
