"""Front ends whose load permits are assigned by a register, in virtual time.

Some receive a later register as late as is possible and follow the previous one meanwhile. After the fraction
`VALID_FRACTION` of that time they use half the budget.
"""

from fawnwharf.recovery_core.phases import AllowedActions, RecoveryPhase, allowed_in_phase
from fawnwharf.recovery_core.register import PermitAssignment
from fawnwharf.recovery_service.actions import LoadOrder, SendPermitMessage
from fawnwharf.recovery_service.permit_issuing import PermitIssuer
from fawnwharf.recovery_service.permit_messages import LoadRequest
from fawnwharf.replication.placement import rendezvous_weight
from support.load_permits import LIMITS, WEIGHTS, Fleet
from support.recovery_agents import STEP_S, Agents

ANNOUNCEMENT_MS, VALID_FRACTION = 1_500.0, 0.4
FIRST_ASSIGNMENT_MS = 1_000.0  # start of the phase `PRIORITY_CALLS`
FULL_PERMISSIONS = allowed_in_phase(RecoveryPhase.ALL_CALLS, WEIGHTS)


class AssignedPermitFleet(Fleet):
    """Front ends that follow permit assignments of a register.

    They assume that others follow an old register for `announcement_ms`; in fact it is `ANNOUNCEMENT_MS`.
    """

    def __init__(self, seed=1, lost=0.0, announcement_ms=ANNOUNCEMENT_MS):
        self.announcement_ms, self.followed, self.assignment = (
            announcement_ms,
            {},
            PermitAssignment(("n0",), 1, 0),
        )
        super().__init__(seed, lost=lost)
        self.at(FIRST_ASSIGNMENT_MS, self._assign_permits)

    def start(self, name):
        """Start a front end."""
        super().start(name)
        self.fronts[name].announcement_valid_ms = self.announcement_ms

    def _changed(self, new=None):
        """Send the last register to a starting front end; decide a new one shortly after one stops."""
        if new is not None:
            self.followed[new] = (AllowedActions(), None)
            self.at(self.chance.uniform(0.0, 100.0), lambda: self._receive_assignment(new, self.assignment))
        elif self.assignment.deals:
            self.at(self.chance.uniform(50.0, 300.0), self._assign_permits)

    def _assign_permits(self):
        replicas = tuple(name for name in self.replicas if name in self.up)
        if replicas and not (self.assignment.deals and set(self.assignment.givers) <= self.up):
            before, self.assignment = (
                self.assignment,
                PermitAssignment(replicas, 1, self.assignment.deals + 1),
            )
            for name in sorted(self.up):
                late = self.chance.random() < 0.4
                delay = (
                    self.chance.uniform(0.8, 1.0) * ANNOUNCEMENT_MS
                    if late
                    else self.chance.uniform(0.0, 100.0)
                )
                if late and before.deals:
                    self.at(VALID_FRACTION * ANNOUNCEMENT_MS, lambda name=name: self._stale(name, before))
                self.at(
                    delay,
                    lambda name=name, assignment=self.assignment: self._receive_assignment(name, assignment),
                )

    def _stale(self, name, before):
        if name in self.up and self.followed[name][1] == before:
            self.followed[name] = (allowed_in_phase(RecoveryPhase.ALL_CALLS, WEIGHTS, 0.5), before)

    def _receive_assignment(self, name, assignment):
        known = self.followed[name][1]
        if name in self.up and (known is None or known.deals < assignment.deals):
            self.followed[name] = (FULL_PERMISSIONS if assignment.deals else AllowedActions(), assignment)
            self._update(name)

    def _update(self, name):
        allowed, assignment = self.followed[name]
        self.fronts[name].update(self.now, self.up, self.replicas, allowed, 1, assignment)

    def _tick(self):
        for name in sorted(self.up):
            self._update(name)
        super()._tick()

    def may_issue(self, name):
        """Whether a front end may issue permits."""
        return name in self.up and self.followed[name][0].loads


class PermitIssuingAgents(Agents):
    """Agents that also issue permits; messages and answers arrive in the next step."""

    def __init__(self, *args, **kwargs):
        self.issuer, self.orders, self.entered = {}, [], {}
        super().__init__(*args, **kwargs)

    def start(self, name, identity, seed=99):
        """Start a member, its agent and its permit issuer."""
        super().start(name, identity, seed)
        order = lambda function: sorted(range(3), key=lambda s: rendezvous_weight(str(s), function))  # noqa: E731
        self.issuer[name] = PermitIssuer(name, self.incarnations[name], LIMITS, order)

    def run(self, seconds):
        """Advance the time by seconds while each member that may load requests thirty functions."""
        for _ in range(round(seconds / STEP_S)):
            super().run(STEP_S)
            for name in sorted(self.up):
                agent, issuer = self.agents[name], self.issuer[name]
                allowed, assignment = agent.allowed(self.now), agent.follower.permit_assignment(self.now)
                issuer.update(self.now, self.up, agent.lists.replicas, allowed, agent.power_loss, assignment)
                if allowed.loads and not allowed.spill:
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
