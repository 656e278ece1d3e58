"""The replication core of one front end: its own calls, its replica if it is one, and its reports.

No I/O: lines, calls and ticks come in with the current time, and actions are returned in order. The same core
runs in `serve` and, with many instances, in simulations with virtual time.
"""

from collections import Counter
from typing import Any, NamedTuple

import msgspec

from fawnwharf import interface as io
from fawnwharf.replication import messages as m
from fawnwharf.replication.call_owner import CallOwner, OwnerAction
from fawnwharf.replication.claims import ClaimPhase
from fawnwharf.replication.counters import ReplicationCounter
from fawnwharf.replication.failure_reports import FailureReportStore, FailureTracker
from fawnwharf.replication.load_report import LoadReporter
from fawnwharf.replication.load_report_store import LoadReportStore
from fawnwharf.replication.owned_call import CallTerms
from fawnwharf.replication.placement import ReplicaPlacement, rendezvous_weight
from fawnwharf.replication.remote_loads import RemoteLoads
from fawnwharf.replication.replica import Replica
from fawnwharf.replication.settings import ReplicationSettings
from fawnwharf.replication.usage import QuotaShares, UsageTable
from fawnwharf.zones.settings import Membership

TICK_MS = 100.0
MAX_RECIPIENTS = 16  # the limit of `LogLine.recipients`


class InvalidLineError(ValueError):
    """A line that no member writes. It ends the connection to its sender; the text is the reason."""


class ReceivedClientMessage(NamedTuple):
    """A message of another subsystem with its sender and the sender's incarnation."""

    sender: str
    incarnation: int
    message: m.ClientMessage


class ReplicationCore:
    """Manages a front end's open calls, its replica if it is one, and its reports."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        membership: Membership,
        settings: ReplicationSettings,
        now_ms: float,
        *,
        fresh: bool = False,
    ) -> None:
        """`incarnation` differs at each start. `fresh` states that no call was ever granted in this fleet."""
        self.name, self.incarnation = name, incarnation
        self.membership, self.settings = membership, settings
        self.placement = ReplicaPlacement(membership, settings.replica_zones, settings.replicas_per_zone)
        self.owner_id = f"{name}#{incarnation}"
        self.counts: Counter[ReplicationCounter] = Counter()
        self.call_owner = CallOwner(self.owner_id, self.placement, settings)
        self.replica: Replica | None = None
        if name in self.placement.replicas:
            self.replica = Replica(name, self.placement, settings, now_ms, incarnation, complete=fresh)
        self.last_heard: dict[str, tuple[int, float]] = {}  # incarnation and time, by member
        self.statuses: dict[str, m.Status] = {}
        self._tick_due_ms = now_ms
        # Received since the host last read these lists; the host clears them.
        self.received_hellos: list[tuple[str, int]] = []  # member and its reader number
        self.reported_outliers: list[m.ReportedOutliers] = []
        self.client_messages: list[ReceivedClientMessage] = []
        # Reports; None if the settings disable them.
        self.usage_table = UsageTable()
        self.quota_shares: QuotaShares | None = None
        self.failure_reports = FailureReportStore()
        self._reported_failures = False  # in the last failure report
        self.load_reporter: LoadReporter | None = None
        lifetimes_ms = settings.load_report_lifetime_ms, settings.copy_lifetime_ms
        self.load_report_store = LoadReportStore(*lifetimes_ms, incarnation)
        self.remote_loads = RemoteLoads(*lifetimes_ms)

    # --- calls --------------------------------------------------------------------------------

    def begin_call(self, now_ms: float, key: str, terms: CallTerms) -> list[OwnerAction]:
        """Claim a call, and run it at once if its terms require no quorum."""
        return self._deliver_locally(now_ms, self.call_owner.begin(now_ms, key, terms))

    def call_ended(
        self, now_ms: float, key: str, phase: ClaimPhase, digest: str = "", answer: str | None = None
    ) -> list[OwnerAction]:
        """Report the result of a call that ran to the replicas; the answer is base64."""
        return self._deliver_locally(now_ms, self.call_owner.call_ended(key, phase, digest, answer))

    def client_left(self, now_ms: float, key: str) -> list[OwnerAction]:
        """Release a call whose client left before it ran."""
        return self._deliver_locally(now_ms, self.call_owner.client_left(key))

    def revoke_grant(self, now_ms: float, key: str, number: int) -> list[OwnerAction]:
        """Revoke the local replica's grant to an own call, because it could not be stored."""
        return self._deliver_locally(now_ms, self.call_owner.revoke_grant(now_ms, key, number, self.name))

    # --- lines --------------------------------------------------------------------------------

    def receive_line(self, now_ms: float, sender: str, data: Any) -> list[OwnerAction]:
        """Handle one line of a member's log; raises InvalidLineError for a line that no member writes."""
        try:
            line = m.parse_line(data)
        except msgspec.ValidationError as error:
            raise InvalidLineError(f"invalid line of replicated state: {error}") from None
        if line.fleet != self.membership.fleet:
            raise InvalidLineError(f"line is from fleet {line.fleet}")
        if line.sender != sender:
            raise InvalidLineError(f"line from {sender} names {line.sender} as its sender")
        if self.membership.find_member(sender) is None:
            self.counts[ReplicationCounter.LINES_NOT_FROM_MEMBER] += 1
            return []
        self.last_heard[sender] = line.incarnation, now_ms
        if self._receive_broadcast(now_ms, line) or self.name not in line.recipients:
            return []
        return self._deliver_locally(now_ms, self._receive(now_ms, sender, line.incarnation, line.message))

    def _receive_broadcast(self, now_ms: float, line: m.LogLine) -> bool:
        """Handle a message for all followers of the log; False if it is for some members only."""
        message = line.message
        if isinstance(message, m.Status):
            self.statuses[line.sender] = message
        elif isinstance(message, m.UsageRates):
            if self.quota_shares and line.sender in self.placement.replicas:
                self.quota_shares.receive(now_ms, line.sender, message)
        elif isinstance(message, m.ReportedOutliers):
            if line.sender in self.placement.replicas:
                self.reported_outliers.append(message)
        elif isinstance(message, m.ClientMessage) and not line.recipients:
            self.client_messages.append(ReceivedClientMessage(line.sender, line.incarnation, message))
        else:
            return False
        return True

    def _receive(self, now_ms: float, sender: str, incarnation: int, message: m.Message) -> list[OwnerAction]:
        """Dispatch a message for this member by its type."""
        if isinstance(message, m.ClaimReply):
            return self.call_owner.receive_reply(now_ms, sender, message)
        if isinstance(message, m.RemoteLoadReport):
            self._receive_remote_load_report(sender, incarnation, message)
        elif isinstance(message, m.Hello):
            self.received_hellos.append((sender, message.reader_number))
        elif isinstance(message, m.ClientMessage):
            self.client_messages.append(ReceivedClientMessage(sender, incarnation, message))
        elif self.replica is None:
            self.counts[ReplicationCounter.NOT_A_REPLICA] += 1
        elif isinstance(message, m.UsageCounters | m.FailureReport | m.LoadReport):
            return self._receive_report(now_ms, sender, f"{sender}#{incarnation}", message)
        else:
            return self._receive_as_replica(now_ms, self.replica, (sender, incarnation), message)
        return []

    def _receive_remote_load_report(self, sender: str, incarnation: int, report: m.RemoteLoadReport) -> None:
        own = self.load_reporter is not None and report.incarnation == self.incarnation
        if own and sender in self.placement.replicas:
            self.remote_loads.receive(sender, incarnation, report)
        else:
            self.counts[ReplicationCounter.LOAD_ANSWERS_UNEXPECTED] += 1

    def _receive_report(
        self, now_ms: float, sender: str, owner: str, report: m.UsageCounters | m.FailureReport | m.LoadReport
    ) -> list[OwnerAction]:
        """Store an owner's report, as a replica."""
        if isinstance(report, m.UsageCounters):
            self.usage_table.receive(now_ms, owner, report)
        elif isinstance(report, m.FailureReport):
            self.failure_reports.receive(now_ms, owner, report)
        elif self.load_reporter is not None:
            answer = self.load_report_store.receive(now_ms, self.name, owner, report)
            return [m.Send((sender,), answer)] if answer else []
        return []

    def _receive_as_replica(
        self, now_ms: float, replica: Replica, origin: tuple[str, int], message: m.Message
    ) -> list[OwnerAction]:
        """Handle a message about claims; `origin` is the sender and its incarnation."""
        sender, incarnation = origin
        sends: list[m.Send] = []
        if isinstance(message, m.ClaimRequest):
            if message.owner != f"{sender}#{incarnation}":
                raise InvalidLineError(f"claim request for owner {message.owner} from {sender}#{incarnation}")
            replica.live_owners.add(message.owner)
            sends = replica.handle_claim_request(now_ms, message)
        elif isinstance(message, m.ClaimUpdate):
            if message.claim.owner != f"{sender}#{incarnation}":
                raise InvalidLineError(f"claim of owner {message.claim.owner} from {sender}#{incarnation}")
            sends = replica.handle_claim_update(now_ms, message)
        elif isinstance(message, m.StateRequest):
            replica.handle_state_request(sender, message)
        elif isinstance(message, m.StateChunk):
            sends = replica.handle_state_chunk(now_ms, sender, message)
        elif isinstance(message, m.StoreDigests):
            sends = replica.handle_store_digests(now_ms, sender, message)
        return list(sends)

    def _deliver_locally(self, now_ms: float, actions: list[OwnerAction]) -> list[OwnerAction]:
        """Deliver messages to this member itself at once, and return all other actions in order."""
        outgoing: list[OwnerAction] = []
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if not isinstance(action, m.Send):
                outgoing.append(action)
                continue
            others = tuple(name for name in action.recipients if name != self.name)
            if others:
                outgoing.append(m.Send(others, action.message))
            if len(others) < len(action.recipients):
                pending[:0] = self._receive(now_ms, self.name, self.incarnation, action.message)
        return outgoing

    def _send_to_replicas(self, now_ms: float, message: m.Message) -> list[OwnerAction]:
        recipients = tuple(self.placement.replicas[:MAX_RECIPIENTS])
        return self._deliver_locally(now_ms, [m.Send(recipients, message)])

    def log_line(self, send: m.Send) -> m.LogLine:
        """The line of this member's log that carries this message."""
        return m.LogLine(self.membership.fleet, self.name, self.incarnation, send.recipients, send.message)

    def send_client_message(self, message: m.ClientMessage, recipients: tuple[str, ...]) -> list[OwnerAction]:
        """Send to these members, possibly including this one; without recipients, to all followers."""
        send = m.Send(recipients, message)
        return self._deliver_locally(0.0, [send]) if recipients else [send]

    # --- status -------------------------------------------------------------------------------

    def status(self, now_ms: float) -> m.Status:
        """The status of this front end for operators and for the followers of its log."""
        counts = {**self.counts, **self.call_owner.counts, **self._load_report_counts(now_ms)}
        lags_ms = {
            name: round(max(0.0, now_ms - heard_ms), 1)
            for name, (_, heard_ms) in sorted(self.last_heard.items())
        }
        status = m.Status(_counts_by_label(counts), open_calls=len(self.call_owner.calls), lags_ms=lags_ms)
        if self.replica is None:
            return status
        store = self.replica.claim_store
        own_digests = self.name in self.placement.replicas
        return msgspec.structs.replace(
            status,
            counts=_counts_by_label(counts | store.counts),
            is_replica=True,
            complete=self.replica.is_complete(now_ms),
            calls=len(store.calls),
            answer_bytes=store.answer_bytes,
            membership_number=self.placement.number,
            buckets=store.bucket_digests(now_ms, self.name) if own_digests else {},
        )

    def _load_report_counts(self, now_ms: float) -> dict[ReplicationCounter, int]:
        if self.load_reporter is None:
            return {}
        return {
            **self.load_report_store.counts,
            **self.remote_loads.counts,
            ReplicationCounter.LOAD_REPORTS_SENT: self.load_reporter.number,
            ReplicationCounter.LOAD_REPORTS_OMITTED: self.load_reporter.omitted,
            ReplicationCounter.LOAD_FRONT_ENDS: self.remote_sends_known(now_ms, 0)[1],
            ReplicationCounter.LOAD_COPIES_KNOWN: self.remote_loads.known_copies,
        }

    # --- reports ------------------------------------------------------------------------------

    def send_usage(self, now_ms: float) -> list[OwnerAction]:
        """Send this front end's usage counters to the replicas; a replica also sends the rates to all."""
        actions: list[OwnerAction] = []
        if self.quota_shares:
            actions = self._send_to_replicas(now_ms, self.quota_shares.next_counters(now_ms))
        if self.replica:
            rates = self.usage_table.rates(now_ms)
            if self.quota_shares:
                self.quota_shares.receive(now_ms, self.name, rates)
            actions.append(m.Send((), rates))
        return actions

    def send_failure_report(self, now_ms: float, tracker: FailureTracker) -> list[OwnerAction]:
        """Report failing scorers to the replicas; a replica also sends the reported outliers to all."""
        report = tracker.report(now_ms)
        actions: list[OwnerAction] = []
        if report.failures or self._reported_failures:
            actions = self._send_to_replicas(now_ms, report)
        self._reported_failures = bool(report.failures)
        if self.replica:
            outliers = self.failure_reports.outliers(now_ms, len(self.membership.members))
            if outliers.scorers:
                self.reported_outliers.append(outliers)
                actions.append(m.Send((), outliers))
        return actions

    def send_load_report(
        self, now_ms: float, reporter: LoadReporter, front_ends: int = 0
    ) -> list[OwnerAction]:
        """Report this front end's load to the replicas, one of which answers with the load of the others.

        A replica chooses itself. Other front ends rank the replicas by a hash, which spreads the answers
        evenly. `front_ends` is the configured fleet size, or 0 if none is configured.
        """
        candidates = sorted(
            self.placement.replicas[:MAX_RECIPIENTS],
            key=lambda replica: (
                replica != self.name,
                rendezvous_weight("work", self.name, replica),
            ),
        )
        full_answer_from, since = self.remote_loads.choose_replica(
            now_ms, candidates, self._fleet_size(front_ends)
        )
        report = reporter.next_report(now_ms, self.remote_loads.last_answers(), full_answer_from, since)
        self.remote_loads.report_sent(now_ms, report.number)
        return self._send_to_replicas(now_ms, report)

    def remote_load_events(
        self, now_ms: float, reporter: LoadReporter, front_ends: int
    ) -> list[io.RemoteLoadReport]:
        """The events that update the decision module on the load of other front ends."""
        slow_start = reporter.scorers_in_slow_start(now_ms)
        return self.remote_loads.changes(now_ms, slow_start, reporter.scorers, self._fleet_size(front_ends))

    def remote_sends_known(self, now_ms: float, front_ends: int) -> tuple[bool, int]:
        """Whether the others' sends to scorers in slow start are known, and how many front ends report."""
        best = self.remote_loads.best_answer(now_ms)
        known = self.remote_loads.sends_known(now_ms, self._fleet_size(front_ends))
        return known, best.report.front_ends if best else 0

    def _fleet_size(self, front_ends: int) -> int:
        return max(front_ends, sum(bool(member.replication_address) for member in self.membership.members))

    # --- members ------------------------------------------------------------------------------

    def record_sign_of_life(self, now_ms: float, name: str, incarnation: int) -> None:
        """Record that a member's log sent something, if only its line number."""
        if incarnation > 0:
            self.last_heard[name] = incarnation, now_ms

    def change_membership(self, now_ms: float, membership: Membership) -> None:
        """Adopt a later membership; one of another fleet or with an older number is ignored."""
        if membership.fleet != self.membership.fleet or membership.number <= self.membership.number:
            self.counts[ReplicationCounter.MEMBERSHIPS_IGNORED] += 1
            return
        before = self.placement
        self.membership = membership
        self.placement = ReplicaPlacement(
            membership, self.settings.replica_zones, self.settings.replicas_per_zone
        )
        self.call_owner.placement = self.placement
        self.remote_loads.forget_replicas(set(before.replicas) - set(self.placement.replicas))
        if self.replica is None and self.name in self.placement.replicas:
            self.replica = Replica(self.name, before, self.settings, now_ms, self.incarnation)
        if self.replica:
            self.replica.change_placement(now_ms, self.placement)

    # --- time ---------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[OwnerAction]:
        """Perform the timed work that is due."""
        actions: list[OwnerAction] = list(self.call_owner.tick(now_ms))
        if self.replica and now_ms >= min(self._tick_due_ms, self.replica.due_ms()):
            self._tick_due_ms = now_ms + TICK_MS
            actions += self.replica.change_live_owners(now_ms, self._live_owners(now_ms))
            actions += self.replica.tick(now_ms)
        return self._deliver_locally(now_ms, actions)

    def _live_owners(self, now_ms: float) -> set[str]:
        """This owner and the current incarnations of all members heard within the silence timeout."""
        timeout_ms = self.settings.silence_timeout_ms
        heard = {
            f"{name}#{incarnation}"
            for name, (incarnation, heard_ms) in self.last_heard.items()
            if now_ms - heard_ms <= timeout_ms
        }
        return heard | {self.owner_id}

    def due_ms(self) -> float:
        """When `tick` must be called next; infinite if nothing is due."""
        due_ms = self.call_owner.due_ms()
        if self.replica:
            due_ms = min(due_ms, self._tick_due_ms, self.replica.due_ms())
        return due_ms


def _counts_by_label(counts: dict[ReplicationCounter, int]) -> dict[str, int]:
    """The counters by the labels that operators read."""
    return {str(counter): count for counter, count in counts.items()}
