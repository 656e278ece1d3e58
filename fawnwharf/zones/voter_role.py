"""The voter of a member: its part in the consensus protocol, and its work as a leader.

The leader proposes plans and voter lists, and confirms that its plan is the latest one. The module does no
I/O.
"""

import msgspec
from msgspec import Struct

from fawnwharf.consensus import messages as m
from fawnwharf.consensus.timing import Timing
from fawnwharf.consensus.voter import Voter
from fawnwharf.consensus.voter_state import Role
from fawnwharf.zones.effects import Effect, PublishLine, RegisterDecided, SaveVoterState, SendVoterMessage
from fawnwharf.zones.log_events import (
    OlderVoterState,
    PlanChangeRejected,
    PlanDecided,
    PlanProposed,
    RoleChanged,
    VotersDecided,
    VotersProposed,
    ZoneChange,
)
from fawnwharf.zones.log_lines import POLICY, RECOVERY, ConsensusStatus, DropCause, LogLine, LogLineError
from fawnwharf.zones.member_state import MemberState
from fawnwharf.zones.plan import Plan, PlanError


class VoterStart(Struct, frozen=True):
    """The initial values of a voter."""

    identity: str
    seed: int  # for the random election timeouts
    saved: m.PersistentState = m.PersistentState()
    disk_writes: int = 0  # how often the state was written since the disk was created


def member_name_of_voter(identity: str) -> str:
    """The member's name in a voter identity, which is the part before `#`; the rest identifies the disk."""
    return identity.partition("#")[0]


def voter_message_of(line: LogLine) -> m.Message:
    """Decode the consensus message of a line; raises LogLineError for a malformed or forged one."""
    try:
        message = m.message_from_object(line.voter_message)
    except msgspec.ValidationError as error:
        raise LogLineError(f"malformed voter message: {error}") from None
    if member_name_of_voter(message.sender) != line.sender:
        raise LogLineError(f"voter message of {message.sender} in a line from {line.sender}")
    return message


class VoterRole:
    """Owns the voter of a member, and carries out its work as a leader."""

    def __init__(self, state: MemberState, start: VoterStart, now_ms: float) -> None:
        consensus = state.settings.consensus
        timing = Timing(
            consensus.heartbeat_ms, consensus.election_timeout_ms, consensus.max_clock_drift_ratio
        )
        self.voter = Voter(start.identity, start.saved, timing, now_ms, start.seed)
        self.disk_writes = start.disk_writes
        self.reported_disk_writes: dict[str, int] = {}  # the largest number that each voter has reported
        self._state = state
        self._role: Role | None = None  # as of the last check
        self._term = 0
        self._planning_due_ms = now_ms
        self._confirmation_due_ms = now_ms
        self._observation_due_ms = now_ms
        self._update_plan(*self.voter.plan)

    @property
    def due_ms(self) -> float:
        """The time at which `tick` must be called next."""
        if self.voter.is_leader:
            return min(self.voter.due_ms, self._confirmation_due_ms, self._planning_due_ms)
        return min(self.voter.due_ms, self._observation_due_ms)

    # --- the consensus protocol -----------------------------------------------------------------

    def receive(self, now_ms: float, line: LogLine, message: m.Message) -> list[Effect]:
        """Handle the consensus message of a line of another voter's log."""
        entry = self._state.membership.find_member(line.sender)
        if entry is None or not entry.voter_address:
            self._state.drop_counts.add(DropCause.NON_VOTER)
            return []
        reported_before = self.reported_disk_writes.get(message.sender, 0)
        if reported_before > line.disk_writes:
            # Its disk holds an older copy of its state, so it has lost votes and might vote twice in a term.
            self._state.drop_counts.add(DropCause.OLDER_DISK)
            return [OlderVoterState(message.sender, line.disk_writes, reported_before)]
        self.reported_disk_writes[message.sender] = line.disk_writes
        return self._carry_out(now_ms, self.voter.receive(now_ms, message))

    def tick(self, now_ms: float) -> list[Effect]:
        """Do what is due."""
        effects = self._carry_out(now_ms, self.voter.tick(now_ms))
        if self.voter.is_leader:
            return effects + self._tick_as_leader(now_ms)
        if now_ms >= self._observation_due_ms:
            self._observation_due_ms = now_ms + self._state.settings.evidence.report_interval_ms / 2
            self._state.planner.update_verdicts(now_ms, self._state.membership, self._state.plan_tracker.plan)
        return effects

    def status(self, now_ms: float) -> ConsensusStatus:
        """The voter's status, for log clients that change registers; the default one unless it leads."""
        voter = self.voter
        if not voter.is_leader:
            return ConsensusStatus()
        return ConsensusStatus(
            term=voter.saved.term,
            holds_read_lease=voter.holds_read_lease(now_ms),
            fully_committed=self._is_fully_committed(),
            policy=voter.last_committed(POLICY)[1],
            recovery=voter.last_committed(RECOVERY)[1],
            voters=voter.saved.voters,
        )

    def propose_register(self, now_ms: float, text: str, kind: str) -> tuple[bool, list[Effect]]:
        """Propose a register to the consensus log; the bool is False if it did not enter the log."""
        index, actions = self.voter.propose(now_ms, text, kind)
        return index is not None, self._carry_out(now_ms, actions)

    def _is_fully_committed(self) -> bool:
        return self.voter.commit_index == self.voter.saved.last_index

    def _carry_out(self, now_ms: float, actions: list[m.Action]) -> list[Effect]:
        """The effects of the voter's actions."""
        effects: list[Effect] = []
        for action in actions:
            if isinstance(action, m.Persist):
                self.disk_writes += 1
                effects.append(SaveVoterState(action.saved))
            elif isinstance(action, m.Send):
                effects.append(self._send(action.message))
            else:
                effects += self._on_committed(action)
        effects += self._role_change(now_ms)
        return effects + self._state.plan_updates(now_ms)

    def _send(self, message: m.Message) -> SendVoterMessage:
        line = self._state.make_line(voter_message=msgspec.to_builtins(message), disk_writes=self.disk_writes)
        return SendVoterMessage(member_name_of_voter(message.to), line)

    def _on_committed(self, committed: m.Committed) -> list[Effect]:
        """The effects of a committed entry."""
        if committed.kind == "voters":
            return [VotersDecided(committed.index, committed.voters)]
        if committed.kind in (POLICY, RECOVERY):
            return [RegisterDecided(committed.index, committed.text, committed.kind)]
        if committed.kind != "plan" or not self._update_plan(committed.index, committed.text):
            return []
        plan = self._state.plan_tracker.plan
        return [PlanDecided(committed.index, committed.term, describe_zones(plan))]

    def _update_plan(self, index: int, text: str) -> bool:
        """Use a committed plan; False if it is malformed or not later than the known one."""
        try:
            return self._state.plan_tracker.learn(index, text)
        except PlanError:
            self._state.drop_counts.add(DropCause.MALFORMED_PLAN)
            return False

    def _role_change(self, now_ms: float) -> list[Effect]:
        """The event to log if the voter became leader, stepped down or leads in another term."""
        role, term = self.voter.role, self.voter.saved.term
        changed = (role, term) != (self._role, self._term) and Role.LEADER in (role, self._role)
        self._role, self._term = role, term
        if not changed:
            return []
        if role is Role.LEADER:
            # If it observed as a follower for less than the lifetime of a report, it may not have received
            # the reports of all members yet. Then it waits until that time has passed.
            observed_since_ms = self._state.planner.observing_since_ms
            self._planning_due_ms = max(
                now_ms, observed_since_ms + self._state.settings.evidence.report_ttl_ms
            )
            self._confirmation_due_ms = now_ms
        return [RoleChanged(role.value, term)]

    # --- leading --------------------------------------------------------------------------------

    def _tick_as_leader(self, now_ms: float) -> list[Effect]:
        effects: list[Effect] = []
        if now_ms >= self._planning_due_ms:
            self._planning_due_ms = now_ms + self._state.settings.evidence.report_interval_ms / 2
            effects += self._propose_changes(now_ms)
        if now_ms >= self._confirmation_due_ms and self.voter.holds_read_lease(now_ms):
            self._confirmation_due_ms = now_ms + self._state.settings.consensus.confirmation_interval_ms
            effects += self._confirm_plan(now_ms)
        return effects

    def _confirm_plan(self, now_ms: float) -> list[Effect]:
        """Publish the confirmation that the last committed plan is the latest one."""
        index, _ = self.voter.plan
        if not index:
            return []
        self._state.plan_tracker.confirmed_ms = now_ms
        line = self._state.make_line(confirms_plan=True, index=index, term=self.voter.saved.term)
        return [PublishLine(line)]

    def _propose_changes(self, now_ms: float) -> list[Effect]:
        """Propose a new voter list if needed, or else a new plan if needed.

        Only one proposal is open at a time, and none is made without a read lease.
        """
        if not self._is_fully_committed() or not self.voter.holds_read_lease(now_ms):
            return []
        return self._propose_voters(now_ms) or self._propose_plan(now_ms)

    def _propose_plan(self, now_ms: float) -> list[Effect]:
        planner, membership = self._state.planner, self._state.membership
        plan = self._state.plan_tracker.plan
        next_plan = planner.next_plan(now_ms, membership, plan)
        effects: list[Effect] = [PlanChangeRejected(*item) for item in planner.rejected_changes.items()]
        if next_plan is None:
            return effects
        _, actions = self.voter.propose(now_ms, next_plan.encode())
        reports = planner.current_reports(now_ms, membership).values()
        evidence = {report.name: report.evidence for report in reports}
        effects.append(PlanProposed(next_plan.number, _zone_changes(plan, next_plan), evidence))
        return effects + self._carry_out(now_ms, actions)

    def _propose_voters(self, now_ms: float) -> list[Effect]:
        before = self.voter.saved.voters
        after = self._next_voters(now_ms)
        if after is None:
            return []
        index, actions = self.voter.propose_voters(now_ms, after)
        if index is None:
            return []
        return [VotersProposed(index, before, after), *self._carry_out(now_ms, actions)]

    def _next_voters(self, now_ms: float) -> tuple[str, ...] | None:
        """The voter list that is one voter closer to the membership; None if no change is needed.

        A member with a new disk is a new voter: it does not know the votes of the old one, whose messages may
        still be received. Therefore the old voter is removed before the new one is added.
        """
        voters = self.voter.saved.voters
        desired_voters = {member.name for member in self._state.membership.voters}
        reported_identities = self._reported_identities(now_ms, desired_voters)
        removed = [voter for voter in voters if member_name_of_voter(voter) not in desired_voters]
        replaced_disks = [
            voter for voter in voters if reported_identities.get(member_name_of_voter(voter), voter) != voter
        ]
        if (removed or replaced_disks) and len(voters) > 1:
            # The leader removes itself last.
            next_removed = min(replaced_disks + removed, key=lambda voter: voter == self.voter.identity)
            return tuple(voter for voter in voters if voter != next_removed)
        listed_members = {member_name_of_voter(voter) for voter in voters}
        missing = [
            identity for name, identity in sorted(reported_identities.items()) if name not in listed_members
        ]
        return (*voters, missing[0]) if missing else None

    def _reported_identities(self, now_ms: float, desired_voters: set[str]) -> dict[str, str]:
        """The voter identities in the current reports of members that should vote, by member."""
        reports = self._state.planner.current_reports(now_ms, self._state.membership).values()
        return {
            report.name: report.voter_identity
            for report in reports
            if report.name in desired_voters and report.voter_identity.startswith(report.name + "#")
        }


def describe_zones(plan: Plan) -> dict[str, str]:
    """The state and the fraction of each zone, as operators see them."""
    return {name: f"{zone.state} {zone.fraction:g}" for name, zone in plan.zones.items()}


def _zone_changes(before: Plan, after: Plan) -> dict[str, ZoneChange]:
    """The zones that differ between two plans."""
    changes: dict[str, ZoneChange] = {}
    for name, zone in after.zones.items():
        old_zone = before.zones.get(name)
        if zone != old_zone:
            changes[name] = ZoneChange(old_zone.state if old_zone else "", zone.state, zone.reason)
    return changes
