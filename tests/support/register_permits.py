"""Front ends that divide load permits by a register, in virtual time.

Some are told of a later register as late as may be, and go by the one before meanwhile; from `VALID` of that
time on at half the budget.
"""

from fawnwharf.recovery_core.phases import AllowedActions, RecoveryPhase, allowed_in_phase
from fawnwharf.recovery_core.register import PermitAssignment
from fawnwharf.recovery_service.actions import LoadOrder, SendPermitMessage
from fawnwharf.recovery_service.permit_issuing import PermitIssuer
from fawnwharf.recovery_service.permit_messages import LoadRequest
from fawnwharf.replication.placement import rendezvous_weight
from support.load_permits import LIMITS, WORTHS, Fleet
from support.recovery_agents import STEP_S, Agents

WORD_MS, VALID = 1_500.0, 0.4
OPEN_MS = 1_000.0  # `worth` is entered
REST = allowed_in_phase(RecoveryPhase.ALL_CALLS, WORTHS)


class DealtFleet(Fleet):
    """`word_ms` is the wait that front ends reckon with; others go by a register for `WORD_MS` more."""

    def __init__(self, seed=1, lost=0.0, word_ms=WORD_MS):
        self.word_ms, self.goes, self.dealt = word_ms, {}, PermitAssignment(("n0",), 1, 0)
        super().__init__(seed, lost=lost)
        self.at(OPEN_MS, self._deal)

    def start(self, name):
        """Start a front end."""
        super().start(name)
        self.fronts[name].announcement_valid_ms = self.word_ms

    def _changed(self, new=None):
        """Tell one that starts of the last register, and decide a new one a little after a loss."""
        if new is not None:
            self.goes[new] = (AllowedActions(), None)
            self.at(self.chance.uniform(0.0, 100.0), lambda: self._told(new, self.dealt))
        elif self.dealt.deals:
            self.at(self.chance.uniform(50.0, 300.0), self._deal)

    def _deal(self):
        keepers = tuple(name for name in self.keepers if name in self.up)
        if keepers and not (self.dealt.deals and set(self.dealt.givers) <= self.up):
            before, self.dealt = self.dealt, PermitAssignment(keepers, 1, self.dealt.deals + 1)
            for name in sorted(self.up):
                late = self.chance.random() < 0.4
                delay = self.chance.uniform(0.8, 1.0) * WORD_MS if late else self.chance.uniform(0.0, 100.0)
                if late and before.deals:
                    self.at(VALID * WORD_MS, lambda name=name: self._stale(name, before))
                self.at(delay, lambda name=name, dealt=self.dealt: self._told(name, dealt))

    def _stale(self, name, before):
        if name in self.up and self.goes[name][1] == before:
            self.goes[name] = (allowed_in_phase(RecoveryPhase.ALL_CALLS, WORTHS, 0.5), before)

    def _told(self, name, dealt):
        known = self.goes[name][1]
        if name in self.up and (known is None or known.deals < dealt.deals):
            self.goes[name] = (REST if dealt.deals else AllowedActions(), dealt)
            self._go(name)

    def _go(self, name):
        may, dealt = self.goes[name]
        self.fronts[name].update(self.now, self.up, self.keepers, may, 1, dealt)

    def _turns(self):
        for name in sorted(self.up):
            self._go(name)
        super()._turns()

    def gives(self, name):
        """Whether a front end hands out permits."""
        return name in self.up and self.goes[name][0].loads


class GivingAgents(Agents):
    """Agents that hand out permits as well; messages and answers come with the next step."""

    def __init__(self, *args, **kwargs):
        self.issuer, self.orders, self.entered = {}, [], {}
        super().__init__(*args, **kwargs)

    def start(self, name, identity, seed=99):
        """Start a member, its agent, and what it hands out."""
        super().start(name, identity, seed)
        order = lambda function: sorted(range(3), key=lambda s: rendezvous_weight(str(s), function))  # noqa: E731
        self.issuer[name] = PermitIssuer(name, self.lives[name], LIMITS, order)

    def run(self, seconds):
        """Let seconds pass, while each member that may load wants thirty functions."""
        for _ in range(round(seconds / STEP_S)):
            super().run(STEP_S)
            for name in sorted(self.up):
                agent, issuer = self.agents[name], self.issuer[name]
                may, dealt = agent.allowed(self.now), agent.follower.permit_assignment(self.now)
                issuer.update(self.now, self.up, agent.lists.replicas, may, agent.power_loss, dealt)
                if may.loads and not may.spill:
                    self.entered.setdefault(name, self.now)
                    for n in range(30):
                        issuer.request_copy(self.now, LoadRequest(f"f{n}", "view", 1.0))
                for out in issuer.tick(self.now):
                    if isinstance(out, LoadOrder):
                        self.orders.append((self.now, name, out.event))
                    elif isinstance(out, SendPermitMessage):
                        for to in [to for to in out.to or self.up if to != name and to in self.up]:
                            self.issuer[to].receive(self.now, name, out.message)
        return self
