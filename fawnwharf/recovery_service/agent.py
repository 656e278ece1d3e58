"""Recovery of one member after a power loss: its startup queries, its phase and, on the leader, the fleet's.

This module does no I/O. It takes messages of other members, decisions of the consensus log and ticks, each
with a time, and returns effects in order. The caller proposes each `ProposeRegister` to the consensus log at
once, with the kind `recovery`. Every message may be lost.

A front end follows a leader's announcements only after that voter has answered one of its queries in this
incarnation. The front end reports its boot before it sends a query, and a log preserves order. So the leader
knew of this incarnation when it sent the announcement.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

import msgspec

from fawnwharf.recovery_core import partitioned
from fawnwharf.recovery_core.phases import AllowedActions, LogEvent, PhaseFollower
from fawnwharf.recovery_core.queries import Answer, Query, QueryState, QueryTarget, QueryTopic
from fawnwharf.recovery_core.register import RecoveryPhase, RegisterError
from fawnwharf.recovery_service.agent_actions import (
    ApplyPhase,
    DropReason,
    Effect,
    LocalStatus,
    PositionReported,
    SendMessage,
)
from fawnwharf.recovery_service.agent_queries import CHANGE_LOG, answer_query, create_startup_queries
from fawnwharf.recovery_service.agent_settings import NORMAL_INTERVAL_FACTOR, AgentIdentity, AgentSettings
from fawnwharf.recovery_service.folder_positions import FolderPositions
from fawnwharf.recovery_service.messages import (
    BootReport,
    KnownPosition,
    PhaseAnnouncement,
    RecoveryMessage,
    StatusReport,
)
from fawnwharf.recovery_service.recovery_leader import LeaderTiming, MemberLists, RecoveryLeader
from fawnwharf.zones.log_lines import ConsensusStatus

TICK_MS = 50.0
NORMAL_TICK_MS = 250.0
PARTITIONED_PERMIT_USE_MS = 2_000.0  # loads and calls with permits of a partitioned member end within this


class _LeaderDelay(NamedTuple):
    """The smallest delay seen in a leader's announcements: an estimate of the offset between the clocks."""

    incarnation: int = 0
    least_ms: float = 0.0


class RecoveryAgent:
    """Runs the startup queries of one incarnation, follows the recovery phase, and leads where elected."""

    def __init__(
        self,
        identity: AgentIdentity,
        settings: AgentSettings,
        lists: MemberLists,
        consensus_status: Callable[[float], ConsensusStatus],
        status: LocalStatus,
        now_ms: float,
    ) -> None:
        """Create the startup queries; the first `tick` sends them."""
        self.identity = identity
        self.settings = settings
        self.lists = lists
        self.status = status
        self.consensus_status = consensus_status
        self.drops = Counter[DropReason]()
        self.queries = create_startup_queries(identity, settings, lists, status, now_ms)
        self.follower = PhaseFollower(settings.timing, now_ms)
        timing = LeaderTiming(
            settings.normal_report_valid_ms, settings.report_valid_ms, settings.announce_interval_ms
        )
        self.leader = RecoveryLeader(settings.timing, lists, timing)
        self._positions = FolderPositions()
        self._delays: dict[str, _LeaderDelay] = {}  # by leader
        self._voters_heard_ms: dict[str, float] = {}
        self._term = 0  # the highest term of a leader that was followed
        self._applied: ApplyPhase | None = None
        # When loads were last allowed here without a phase announced by a leader.
        self._issued_while_partitioned_ms = float("-inf")
        self._report_due_ms = now_ms
        self._query_leader_due_ms = now_ms  # when a leader that has not answered yet may be queried
        self._queries_logged = False

    @property
    def queries_done(self) -> bool:
        """Whether every startup query was answered or has timed out."""
        return self.queries.finished

    @property
    def power_loss(self) -> int:
        """The number of the last power loss in the register that is followed; 0 without one."""
        return self.follower.register.cut if self.follower.register is not None else 0

    def phase(self, now_ms: float) -> RecoveryPhase | None:
        """The recovery phase of this front end; None while partitioned."""
        return self.follower.phase(now_ms)

    def allowed(self, now_ms: float) -> AllowedActions:
        """What this front end may do now."""
        allowed = self.follower.allowed(now_ms, self.settings.weights)
        if allowed is None:
            share = partitioned.budget_share(self.status.reachable, len(self.lists.members))
            allowed = partitioned.allowed_when_partitioned(
                self.settings.weights,
                share,
                has_roster=self.status.has_scorers,
                queries_finished=self.queries_done,
            )
        return allowed if self.queries_done else replace(allowed, status=False)

    def voters_heard(self, now_ms: float) -> tuple[str, ...]:
        """Voters from which a message arrived recently, sorted."""
        valid_ms = self.settings.normal_report_valid_ms
        heard = self._voters_heard_ms.items()
        return tuple(sorted(name for name, at_ms in heard if now_ms - at_ms < valid_ms))

    def store_confirmed(self) -> bool:
        """Whether other members have supplied everything that the store may have lost.

        A majority of the voters has this membership or an earlier one, and the local replica knows all its
        grants.
        """
        lists = self.lists
        if self.queries.state(QueryTopic.MEMBERS) is not QueryState.ANSWERED:
            return False
        if not (self.status.knows_grants and self.status.settled):
            return False
        answers = self.queries.queries[QueryTopic.MEMBERS].answers.values()
        return all(
            answer.number < lists.number or (answer.number, answer.digest) == (lists.number, lists.digest)
            for answer in answers
        )

    def _drop(self, reason: DropReason) -> list[Effect]:
        self.drops[reason] += 1
        return []

    # --- messages -------------------------------------------------------------------------------

    def receive_by_zones(self, now_ms: float, sender: str, message: RecoveryMessage) -> list[Effect]:
        """Handle a message from the zones log of a member."""
        if sender not in self.lists.members:
            return self._drop(DropReason.UNKNOWN_MEMBER)
        if sender in self.lists.voters:
            self._voters_heard_ms[sender] = now_ms
        if isinstance(message, Query):
            return self._answer(now_ms, sender, message, by_zones=True)
        if isinstance(message, Answer):
            return self._answered(now_ms, sender, message, QueryTarget.VOTERS)
        if isinstance(message, BootReport):
            return self._receive_boot(now_ms, sender, message)
        if isinstance(message, KnownPosition):
            if message.incarnation != self.identity.incarnation:
                return self._drop(DropReason.OTHER_INCARNATION)
            return [PositionReported(message.position)]
        if isinstance(message, StatusReport):
            if not self.leader.receive_status(now_ms, sender, message):
                return self._drop(DropReason.EARLIER_INCARNATION)
            return []
        return self._receive_announcement(now_ms, sender, message)

    def receive_by_replication(self, now_ms: float, sender: str, message: RecoveryMessage) -> list[Effect]:
        """Handle a message from the replication log of a member: a query to replicas or an answer to one."""
        if sender not in self.lists.members:
            return self._drop(DropReason.UNKNOWN_MEMBER)
        if isinstance(message, Query):
            return self._answer(now_ms, sender, message, by_zones=False)
        if isinstance(message, Answer):
            return self._answered(now_ms, sender, message, QueryTarget.REPLICAS)
        return self._drop(DropReason.WRONG_LOG)

    def _answer(self, now_ms: float, sender: str, query: Query, *, by_zones: bool) -> list[Effect]:
        topic = QueryTopic(query.topic)
        if query.fleet != self.identity.fleet:
            return self._drop(DropReason.OTHER_FLEET)
        asks_voters = topic in (QueryTopic.MEMBERS, QueryTopic.PLAN)
        if asks_voters is not by_zones or topic is QueryTopic.ROSTER:
            return self._drop(DropReason.WRONG_LOG)
        if self.identity.name not in (self.lists.voters if by_zones else self.lists.replicas):
            return []
        is_leased = topic is QueryTopic.PLAN and self.consensus_status(now_ms).holds_read_lease
        answer = answer_query(query, self.identity.incarnation, self.lists, self.status, is_leased=is_leased)
        return [SendMessage((sender,), answer, by_zones)]

    def _answered(self, now_ms: float, sender: str, answer: Answer, target: QueryTarget) -> list[Effect]:
        if (
            answer.topic > QueryTopic.USAGE
            or self.queries.steps[QueryTopic(answer.topic)].target is not target
        ):
            return self._drop(DropReason.WRONG_LOG)
        self.queries.receive(now_ms, sender, answer)
        return self._apply(now_ms)

    def _receive_boot(self, now_ms: float, sender: str, report: BootReport) -> list[Effect]:
        self.leader.receive_boot(now_ms, sender, report)
        earlier = self._positions.receive(sender, report)
        if earlier is None or sender == self.identity.name:
            return []
        self._positions.reminded(sender, report)
        return [SendMessage((sender,), KnownPosition(report.incarnation, earlier))]

    def _receive_announcement(
        self, now_ms: float, sender: str, announcement: PhaseAnnouncement
    ) -> list[Effect]:
        if sender not in self.lists.voters or announcement.term < self._term:
            return self._drop(DropReason.NO_LEADER)
        if self.queries.incarnations.get(sender, 0) > announcement.incarnation:
            return self._drop(DropReason.EARLIER_INCARNATION)
        has_answered = sender == self.identity.name or sender in self.queries.incarnations
        if self.follower.register is None and not has_answered:
            return self._query_leader(now_ms, sender)
        delay_ms = now_ms - announcement.sent_ms
        known = self._delays.get(sender, _LeaderDelay())
        if known.incarnation == announcement.incarnation:
            delay_ms = min(known.least_ms, delay_ms)
        self._delays[sender] = _LeaderDelay(announcement.incarnation, delay_ms)
        self._term = announcement.term
        effects = self.follower.receive(announcement.register, announcement.sent_ms + delay_ms)
        return [*effects, *self._apply(now_ms)]

    def _query_leader(self, now_ms: float, sender: str) -> list[Effect]:
        """Query a leader that may not know this incarnation yet, after reporting the boot to it."""
        if now_ms < self._query_leader_due_ms:
            return []
        self._query_leader_due_ms = now_ms + self.settings.query_pace.again_ms
        query = self.queries.query_one(sender, QueryTopic.MEMBERS).message
        return [self._boot_message(), SendMessage((sender,), query)]

    # --- the consensus log ----------------------------------------------------------------------

    def decided(self, now_ms: float, text: str) -> list[Effect]:
        """Handle a register that the consensus log decided, whichever voter proposed it."""
        try:
            effects = self.leader.decided(now_ms, text)
        except RegisterError as error:
            return [LogEvent("recovery not read", {"why": str(error)})]
        return [*effects, *self._lead(now_ms)]

    def proposal_dropped(self) -> None:
        """Handle that a proposed register certainly never entered the log."""
        self.leader.coordinator.proposal_failed()

    def update_term(self, now_ms: float) -> list[Effect]:
        """Handle that the local voter may have gained or lost the leadership."""
        return [*self.leader.update_term(now_ms, self.consensus_status(now_ms))]

    def update_members(self, now_ms: float, lists: MemberLists) -> list[Effect]:
        """Use a later version of the membership file."""
        self.lists = lists
        self.leader.update_members(lists)
        self.queries.lists |= {QueryTarget.VOTERS: lists.voters, QueryTarget.REPLICAS: lists.replicas}
        self._positions.retain(lists.members)
        return self._apply(now_ms)

    # --- time -----------------------------------------------------------------------------------

    @property
    def _is_normal(self) -> bool:
        return self._applied is not None and self._applied.phase is RecoveryPhase.NORMAL

    def due_ms(self, now_ms: float) -> float:
        """When to call `tick` next."""
        interval_ms = NORMAL_TICK_MS if self._is_normal and not self.leader.term else TICK_MS
        due_ms = min(now_ms + interval_ms, self._report_due_ms)
        queries_due_ms = self.queries.due_ms()
        return due_ms if queries_due_ms is None else min(due_ms, queries_due_ms)

    def tick(self, now_ms: float, status: LocalStatus) -> list[Effect]:
        """Send due queries, reports and announcements; call this no later than `due_ms`.

        `status` is used until the next call.
        """
        self.status = status
        if status.knows_grants:
            self.queries.answer_by_itself(now_ms, QueryTopic.GRANTS)
        if status.roster_received:
            self._roster_received(now_ms)
        effects: list[Effect] = self.update_term(now_ms)
        effects += self._due_queries(now_ms)
        if any(isinstance(effect, SendMessage) for effect in effects):
            effects.insert(0, self._boot_message())  # so that a voter knows this boot before it answers
        effects += self._apply(now_ms)
        report = self._status_report(now_ms)
        if now_ms >= self._report_due_ms:
            factor = NORMAL_INTERVAL_FACTOR if self._is_normal else 1
            self._report_due_ms = now_ms + self.settings.report_interval_ms * factor
            effects += [self._boot_message(), SendMessage((), report)]
        self.leader.receive_boot(now_ms, self.identity.name, self._boot_report())
        self.leader.receive_status(now_ms, self.identity.name, report)
        return [*effects, *self._lead(now_ms)]

    def _roster_received(self, now_ms: float) -> None:
        if self.queries.state(QueryTopic.ROSTER) in (QueryState.NOT_ASKED, QueryState.ANSWERED):
            return
        identity = self.identity
        answer = Answer(
            identity.fleet, identity.incarnation, self.queries.sequence, int(QueryTopic.ROSTER), 1, True
        )
        self.queries.receive(now_ms, CHANGE_LOG, answer)

    def _due_queries(self, now_ms: float) -> list[SendMessage]:
        messages = []
        for query in self.queries.tick(now_ms):
            if query.to != CHANGE_LOG:
                target = self.queries.steps[QueryTopic(query.message.topic)].target
                messages.append(SendMessage((query.to,), query.message, target is QueryTarget.VOTERS))
        return messages

    def _boot_report(self) -> BootReport:
        return BootReport(self.identity.incarnation, self.identity.boot, self.status.position)

    def _boot_message(self) -> SendMessage:
        return SendMessage((), self._boot_report())

    def _status_report(self, now_ms: float) -> StatusReport:
        report = self.status.report or StatusReport(0, False, False)
        return msgspec.structs.replace(
            report,
            incarnation=self.identity.incarnation,
            queries_done=self.queries_done,
            knows_grants=self.status.knows_grants,
            issued_while_partitioned=now_ms - self._issued_while_partitioned_ms < PARTITIONED_PERMIT_USE_MS,
        )

    def _lead(self, now_ms: float) -> list[Effect]:
        """Evaluate the reports and announce the phase to all members and to this one, if it leads."""
        effects: list[Effect] = [*self.leader.tick(now_ms, self.consensus_status(now_ms))]
        register = self.leader.announcement(now_ms, self.consensus_status(now_ms))
        if register is not None:
            announcement = PhaseAnnouncement(self.identity.incarnation, self.leader.term, now_ms, register)
            effects.append(SendMessage((), announcement))
            effects += self._receive_announcement(now_ms, self.identity.name, announcement)
        return effects

    def _apply(self, now_ms: float) -> list[Effect]:
        """Return the phase and permissions to apply if they have changed, with their log events."""
        effects: list[Effect] = []
        if self.queries_done and not self._queries_logged:
            self._queries_logged = True
            missing = list(self.queries.fallbacks().values())
            effects.append(LogEvent("startup queries done", {"missing": missing}))
        applied = self._phase_to_apply(now_ms)
        allowed = applied.allowed
        by_leader = applied.phase is not None and applied.phase >= RecoveryPhase.PRIORITY_CALLS
        if allowed.loads and not allowed.spill and not by_leader:
            self._issued_while_partitioned_ms = now_ms
        before = self._applied
        if applied == before:
            return effects
        self._applied = applied
        effects.append(applied)
        if before is None or _logged_fields(before) != _logged_fields(applied):
            fields = _logged_fields(applied) | {"status": allowed.status}
            effects.append(LogEvent("recovery phase", fields))
        if before is not None and before.phase is not applied.phase:
            self._report_due_ms = min(self._report_due_ms, now_ms)  # the report interval has changed
        return effects

    def _phase_to_apply(self, now_ms: float) -> ApplyPhase:
        phase = self.phase(now_ms)
        register = self.follower.register
        front_ends = self.status.reachable if phase is None or register is None else register.fronts
        return ApplyPhase(
            self.allowed(now_ms),
            phase,
            self.power_loss,
            max(1, front_ends),
            self.follower.permit_assignment(now_ms),
        )


def _logged_fields(applied: ApplyPhase) -> dict[str, object]:
    """The fields to log when a phase changes."""
    phase = "partitioned" if applied.phase is None else applied.phase.label
    return {"phase": phase, "power_loss": applied.power_loss, "share": applied.allowed.part}
