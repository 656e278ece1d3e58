"""The core of one member of the fleet: handles lines of other members' logs and writes its own.

The core does no I/O. Its inputs are lines, evidence, ticks and operators' files, each with the time; it
returns effects, which its owner carries out in order. The state of a SaveVoterState must be on disk before
any later effect of the same list is carried out. The same core runs in `serve` and in simulations.

Each member has a log that all members may follow, with reports, decided plans and the leader's confirmations
that its plan is the latest one. A voter has a second log for the other voters, with consensus messages.
"""

from typing import Any

import msgspec

from fawnwharf.consensus.voter import Voter
from fawnwharf.zones.effects import Effect, MessagesReceived, PublishLine
from fawnwharf.zones.evidence import ZoneEvidence
from fawnwharf.zones.log_events import (
    MalformedMessages,
    MembershipIgnored,
    MembershipLoaded,
    OperatorRequestLoaded,
)
from fawnwharf.zones.log_lines import (
    POLICY,
    RECOVERY,
    ConsensusStatus,
    DropCause,
    LogLine,
    LogLineError,
    messages_for,
)
from fawnwharf.zones.member_state import MemberState
from fawnwharf.zones.plan import Plan, PlanError
from fawnwharf.zones.report import Report
from fawnwharf.zones.settings import DrainRequest, Membership, ZoneSettings
from fawnwharf.zones.voter_role import VoterRole, VoterStart, voter_message_of


class MemberCore:
    """Owns a member's state; a member that is a voter also has a voter role."""

    def __init__(
        self,
        name: str,
        membership: Membership,
        settings: ZoneSettings,
        now_ms: float,
        voter: VoterStart | None = None,
    ) -> None:
        """`voter` is the initial state of a member that is a voter, None for other members."""
        self.name = name
        self.state = MemberState(name, membership, settings, now_ms)
        self.identity = voter.identity if voter else ""
        self.voter_role = VoterRole(self.state, voter, now_ms) if voter else None
        self._report_number = 0
        self._report_due_ms = now_ms
        self._operator_request = DrainRequest()

    @property
    def membership(self) -> Membership:
        """The membership in use."""
        return self.state.membership

    @property
    def plan(self) -> Plan:
        """The last decided plan that this member knows."""
        return self.state.plan_tracker.plan

    @property
    def plan_index(self) -> int:
        """The index of that plan in the consensus log; 0 before the first."""
        return self.state.plan_tracker.index

    @property
    def voter(self) -> Voter | None:
        """This member's voter; None if it has none."""
        return self.voter_role.voter if self.voter_role else None

    @property
    def zone(self) -> str:
        """This member's zone; empty if it is not in the membership."""
        entry = self.membership.find_member(self.name)
        return entry.zone if entry else ""

    def is_plan_valid(self, now_ms: float) -> bool:
        """Whether the plan was confirmed to be the latest one within its validity period."""
        return self.state.plan_tracker.is_valid(now_ms)

    def stop_voting(self) -> None:
        """Drop the voter for good, because its state could not be saved."""
        self.voter_role = None

    # --- lines of other members -----------------------------------------------------------------

    def receive_line(self, now_ms: float, sender: str, data: Any) -> list[Effect]:
        """Handle a line of a member's log; raises LogLineError for one that no correct member writes."""
        line = self._decode_line(sender, data)
        if not self._is_member(sender):
            return []
        if line.report is not None:
            if line.report.name != sender:
                raise LogLineError(f"report of {line.report.name} in a line from {sender}")
            self.state.planner.receive(now_ms, line.report)
        if line.plan is not None:
            self._update_plan(line.index, line.plan)
        if line.confirms_plan:
            self._confirm_plan(now_ms, line.index)
        return [*self.state.plan_updates(now_ms), *self._client_messages(sender, line)]

    def receive_voter_line(self, now_ms: float, sender: str, data: Any) -> list[Effect]:
        """Handle a line of a voter's log; raises LogLineError for one that no correct member writes."""
        line = self._decode_line(sender, data)
        if not self._is_member(sender):
            return []
        message = voter_message_of(line)
        if self.voter_role is None:
            self.state.drop_counts.add(DropCause.NON_VOTER)
            return []
        return self.voter_role.receive(now_ms, line, message)

    def _decode_line(self, sender: str, data: Any) -> LogLine:
        """Decode a line; raises LogLineError if it is malformed or of another fleet or sender."""
        try:
            line = msgspec.convert(data, LogLine)
        except msgspec.ValidationError as error:
            raise LogLineError(f"malformed log line: {error}") from None
        if line.fleet != self.membership.fleet:
            raise LogLineError(f"line of fleet {line.fleet}, not of {self.membership.fleet}")
        if line.sender != sender:
            raise LogLineError(f"line of {line.sender} in the log of {sender}")
        return line

    def _is_member(self, sender: str) -> bool:
        """Whether the sender is in the membership; if not, the line is counted as dropped."""
        if self.membership.find_member(sender) is not None:
            return True
        self.state.drop_counts.add(DropCause.UNKNOWN_MEMBER)
        return False

    def _update_plan(self, index: int, text: str) -> None:
        try:
            self.state.plan_tracker.learn(index, text)
        except PlanError as error:
            raise LogLineError(f"malformed plan: {error}") from None

    def _confirm_plan(self, now_ms: float, index: int) -> None:
        """Handle a leader's confirmation that the plan with this index is the latest one."""
        if index == self.plan_index:
            self.state.plan_tracker.confirmed_ms = now_ms
        elif index < self.plan_index:
            self.state.drop_counts.add(DropCause.OLDER_PLAN)
        else:
            self.state.drop_counts.add(DropCause.UNKNOWN_PLAN)

    def _client_messages(self, sender: str, line: LogLine) -> list[Effect]:
        """The messages and the status in the line for each log client that it concerns."""
        try:
            messages = messages_for(self.name, line.messages) if line.messages is not None else {}
        except msgspec.ValidationError:
            self.state.drop_counts.add(DropCause.MALFORMED_MESSAGES)
            return [MalformedMessages(sender, dict(self.state.drop_counts.dropped))]
        statuses = {POLICY: line.policy, RECOVERY: line.recovery}
        with_status = [client for client, status in statuses.items() if status is not None]
        return [
            MessagesReceived(sender, messages.get(client, ()), statuses.get(client), client)
            for client in dict.fromkeys([*messages, *with_status])
        ]

    # --- operators' files -----------------------------------------------------------------------

    def apply_membership(self, membership: Membership) -> list[Effect]:
        """Use a later membership file; an older one, or one of another fleet, is ignored."""
        if membership.fleet != self.membership.fleet:
            return [MembershipIgnored(membership.number, "of another fleet")]
        if membership.number <= self.membership.number:
            return [MembershipIgnored(membership.number, "not later than the one in use")]
        self.state.membership = membership
        return [MembershipLoaded(membership.number, len(membership.members))]

    def apply_operator_request(self, request: DrainRequest) -> list[Effect]:
        """Use a later operator request and report it at once; an older one is ignored."""
        if request.number <= self._operator_request.number:
            return []
        self._operator_request = request
        self._report_due_ms = 0.0
        return [OperatorRequestLoaded(request.number, request.drained)]

    # --- time -----------------------------------------------------------------------------------

    def due_ms(self) -> float:
        """The time at which `tick` must be called next."""
        due_ms = self._report_due_ms
        if self.voter_role:
            due_ms = min(due_ms, self.voter_role.due_ms)
        expires_ms = self.state.plan_tracker.expires_ms
        return due_ms if expires_ms is None else min(due_ms, expires_ms)

    def tick(
        self, now_ms: float, evidence: dict[str, ZoneEvidence], sizes: dict[str, float], roster_age_ms: float
    ) -> list[Effect]:
        """Do what is due; `evidence`, `sizes` and `roster_age_ms` are for the next report."""
        effects: list[Effect] = []
        if now_ms >= self._report_due_ms:
            effects.append(self._report(now_ms, evidence, sizes, roster_age_ms))
        if self.voter_role:
            effects += self.voter_role.tick(now_ms)
        return effects + self.state.plan_updates(now_ms)

    def make_report_due(self, now_ms: float) -> None:
        """Send the next report early, because this front end's view of a zone has changed.

        A `tick` sends it after at most a third of the report interval.
        """
        soon_ms = now_ms + self.state.settings.evidence.report_interval_ms / 3
        self._report_due_ms = min(self._report_due_ms, soon_ms)

    def _report(
        self, now_ms: float, evidence: dict[str, ZoneEvidence], sizes: dict[str, float], roster_age_ms: float
    ) -> PublishLine:
        self._report_number += 1
        self._report_due_ms = now_ms + self.state.settings.evidence.report_interval_ms
        report = Report(
            name=self.name,
            zone=self.zone,
            number=self._report_number,
            evidence=evidence,
            sizes=sizes,
            roster_age_ms=max(0.0, roster_age_ms),
            voter_identity=self.identity,
            operator_request=self._operator_request,
        )
        self.state.planner.receive(now_ms, report)
        return PublishLine(self.state.make_line(report=report))

    # --- registers of log clients ---------------------------------------------------------------

    def consensus_status(self, now_ms: float) -> ConsensusStatus:
        """The voter's status, for log clients that change registers."""
        return self.voter_role.status(now_ms) if self.voter_role else ConsensusStatus()

    def propose_register(self, now_ms: float, text: str, kind: str = POLICY) -> tuple[bool, list[Effect]]:
        """Propose a register to the consensus log.

        Returns whether the register entered this voter's log, and the effects to carry out in either case. A
        register in the log is not decided yet: `RegisterDecided` follows if it is committed. It does not
        enter the log if there is no voter, the voter is not the leader, or the log is full.
        """
        if self.voter_role is None:
            return False, []
        return self.voter_role.propose_register(now_ms, text, kind)
