"""The leader's part of a recovery: merges the members' reports for the coordinator, and announces phases.

This module does no I/O. Every voter collects the reports, so a new leader knows what was reported before.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from fawnwharf.recovery_core.budget import choose_load_coordinators
from fawnwharf.recovery_core.coordinator import RecoveryCoordinator
from fawnwharf.recovery_core.phases import Effect, FleetObservation, LogEvent, PhaseTiming
from fawnwharf.recovery_core.register import MAX_PERMIT_ISSUERS, RecoveryPhase
from fawnwharf.recovery_core.trust import RestartScope, restart_scope
from fawnwharf.recovery_service.messages import BootReport, CallCounts, StatusReport
from fawnwharf.zones.log_lines import ConsensusStatus

SCAN_MS = 100.0  # interval of evaluating the reports
MIN_ZONES_TO_SKIP_ONE = 3  # with at least this many zones, the replicas of one zone are not waited for


@dataclass(frozen=True, slots=True)
class MemberLists:
    """All members in the membership file, and which of them are voters and replicas, running or not."""

    members: tuple[str, ...]
    voters: tuple[str, ...]
    replicas: tuple[str, ...]
    number: int = 0
    digest: str = ""
    by_zone: tuple[tuple[str, ...], ...] = ()  # the replicas of each zone

    def known_grants(self, knows: Callable[[str], bool]) -> float:
        """The share of the replicas that know all their grants, as far as calls need them.

        Each replica of a call is in a different zone, and a claim needs grants of a majority of them. So with
        three zones or more, a zone whose replicas don't return is not waited for: the others have the grants.
        """
        zones = [sum(map(knows, names)) / len(names) for names in self.by_zone if names]
        if len(zones) < MIN_ZONES_TO_SKIP_ONE:
            return sum(map(knows, self.replicas)) / len(self.replicas) if self.replicas else 1.0
        return min(sorted(zones)[1:])


@dataclass(frozen=True, slots=True)
class LeaderTiming:
    """Durations in milliseconds."""

    normal_report_valid_ms: float  # how long a report is valid in normal operation
    report_valid_ms: float  # how long it is valid during a recovery
    announce_interval_ms: float


class _ReportedBoot(NamedTuple):
    incarnation: int = 0
    boot: str = ""
    received_ms: float = float("-inf")


class _ReportedStatus(NamedTuple):
    report: StatusReport
    received_ms: float


class _ReportedFailures(NamedTuple):
    incarnation: int
    failures: int


class _Boots(NamedTuple):
    """Boot ids of the voters that reported recently, and how many did, including those without a boot id."""

    by_voter: dict[str, str]
    reachable: int


class _Announcement(NamedTuple):
    register_number: int = -1
    sent_ms: float = 0.0


@dataclass(slots=True)
class RecoveryLeader:
    """The members' reports, and the recovery coordinator that evaluates them."""

    phase_timing: PhaseTiming
    lists: MemberLists
    timing: LeaderTiming
    coordinator: RecoveryCoordinator = field(init=False)
    term: int = 0  # 0: this member does not lead
    boots: dict[str, _ReportedBoot] = field(default_factory=dict)
    reports: dict[str, _ReportedStatus] = field(default_factory=dict)
    _unreadable_term: int = 0  # a term that could not begin
    _failures: dict[str, _ReportedFailures] = field(default_factory=dict)  # at the last scan
    _scan_due_ms: float = 0.0
    _announced: _Announcement = field(default_factory=_Announcement)

    def __post_init__(self) -> None:
        self.coordinator = RecoveryCoordinator(self.phase_timing)

    # --- what members report --------------------------------------------------------------------

    def receive_boot(self, now_ms: float, name: str, report: BootReport) -> None:
        """Record a member's boot; ignore one of an earlier incarnation, as two links may reorder messages."""
        before = self.boots.get(name)
        if before is not None and report.incarnation < before.incarnation:
            return
        self.boots[name] = _ReportedBoot(report.incarnation, report.boot, now_ms)
        if before is not None and report.incarnation > before.incarnation:
            self.reports.pop(name, None)

    def receive_status(self, now_ms: float, name: str, report: StatusReport) -> bool:
        """Record a member's status; return False if it is of an earlier incarnation."""
        boot = self.boots.get(name)
        if boot is not None and report.incarnation < boot.incarnation:
            return False
        self.reports[name] = _ReportedStatus(report, now_ms)
        return True

    def update_members(self, lists: MemberLists) -> None:
        """Use a later membership file, and forget the reports of removed members."""
        self.lists = lists
        kept = set(lists.members)
        self.boots = {name: boot for name, boot in self.boots.items() if name in kept}
        self.reports = {name: report for name, report in self.reports.items() if name in kept}
        self._failures = {name: count for name, count in self._failures.items() if name in kept}

    def _valid_reports(self, now_ms: float) -> dict[str, StatusReport]:
        is_normal = self.coordinator.register.stage == RecoveryPhase.NORMAL
        valid_ms = self.timing.normal_report_valid_ms if is_normal else self.timing.report_valid_ms
        return {
            name: status.report
            for name, status in self.reports.items()
            if now_ms - status.received_ms < valid_ms
        }

    def reporting(self, now_ms: float) -> int:
        """How many front ends reported recently."""
        return len(self._valid_reports(now_ms))

    def observe(self, now_ms: float) -> FleetObservation:
        """Merge all valid reports; for scorers that failed since the last scan, use the largest count."""
        by_name = self._valid_reports(now_ms)
        reports = list(by_name.values())
        loads = sum(report.loads for report in reports)
        slowdown = sum(report.loads * report.slowdown for report in reports) / loads if loads else 1.0
        replicas = (name for name in self.lists.replicas if name in by_name)
        return FleetObservation(
            members=len(self.lists.members),
            heard=len(reports),
            asked=sum(report.queries_done for report in reports),
            sure=self.lists.known_grants(lambda name: name in by_name and by_name[name].knows_grants),
            first=_merged(report.priority_calls for report in reports).share,
            served=_merged(report.calls for report in reports).share,
            slow=slowdown,
            fell=self._new_failures(by_name),
            givers=tuple(sorted(choose_load_coordinators(replicas, MAX_PERMIT_ISSUERS, 0))),
            gave=any(report.issued_while_partitioned for report in reports),
        )

    def _new_failures(self, by_name: dict[str, StatusReport]) -> int:
        most = 0
        for name, report in by_name.items():
            incarnation, count = report.incarnation, report.failed_scorers
            before = self._failures.get(name, _ReportedFailures(incarnation, count))
            most = max(most, count - before.failures if before.incarnation == incarnation else count)
            self._failures[name] = _ReportedFailures(incarnation, count)
        return most

    # --- terms ----------------------------------------------------------------------------------

    def update_term(self, now_ms: float, status: ConsensusStatus) -> list[Effect]:
        """Begin or end a term.

        A term begins when the voter leads, holds the read lease, so that its last decision is the fleet's
        last, and has no undecided log entries.
        """
        if self.term and self.term != status.term:
            self.coordinator.end_term()
            self.term = 0
        may_begin = (
            status.holds_read_lease and status.fully_committed and status.term != self._unreadable_term
        )
        if self.term or not may_begin:
            return []
        effects = self.coordinator.begin_term(now_ms, status.recovery, status.voters)
        self.term = status.term if self.coordinator.leads else 0
        self._unreadable_term = 0 if self.term else status.term
        self._announced = _Announcement()
        return effects

    def decided(self, now_ms: float, text: str) -> list[LogEvent]:
        """Handle a register that the voters decided; raises `RegisterError` if it can't be decoded."""
        effects = self.coordinator.decided(now_ms, text)
        boots = len(self.coordinator.register.boots)
        return [
            LogEvent("recovery phase decided", effect.fields | {"boots": boots})
            for effect in effects
            if isinstance(effect, LogEvent)
        ]

    def _voters_boots(self, now_ms: float) -> _Boots:
        by_voter: dict[str, str] = {}
        reachable = 0
        for voter in self.coordinator.voters:
            reported = self.boots.get(voter.partition("#")[0], _ReportedBoot())
            if now_ms - reported.received_ms < self.timing.normal_report_valid_ms:
                reachable += 1
                if reported.boot:
                    by_voter[voter] = reported.boot
        return _Boots(by_voter, reachable)

    def tick(self, now_ms: float, status: ConsensusStatus) -> list[Effect]:
        """Let the coordinator evaluate the reports if this member leads and a scan is due."""
        if not self.term or self.term != status.term or now_ms < self._scan_due_ms:
            return []
        self._scan_due_ms = now_ms + SCAN_MS
        self.coordinator.voters = status.voters
        boots = self._voters_boots(now_ms)
        if 2 * boots.reachable <= len(status.voters):  # too few to tell whether the fleet lost its power
            return []
        return self.coordinator.tick(
            now_ms, self.observe(now_ms), boots.by_voter, holds_lease=status.holds_read_lease
        )

    def announcement(self, now_ms: float, status: ConsensusStatus) -> str | None:
        """The register to announce; None if no announcement is due or the register may be outdated.

        A leader does not announce without reports from a majority of the voters, nor if they show a power
        loss of the fleet that is not decided yet. Otherwise it would announce the phase `NORMAL` to returning
        members.
        """
        coordinator = self.coordinator
        register = coordinator.register
        if not self.term or not status.holds_read_lease or status.term != self.term:
            return None
        is_sent = self._announced.register_number == register.number
        if is_sent and now_ms - self._announced.sent_ms < self.timing.announce_interval_ms:
            return None
        boots = self._voters_boots(now_ms)
        scope = restart_scope(True, coordinator.voters, register.boots, boots.by_voter)
        if scope is RestartScope.FLEET or 2 * boots.reachable <= len(coordinator.voters):
            return None
        self._announced = _Announcement(register.number, now_ms)
        return register.encode()


def _merged(counts: Iterable[CallCounts]) -> CallCounts:
    in_time = total = 0
    for count in counts:
        in_time += count.in_time
        total += count.total
    return CallCounts(in_time, total)
