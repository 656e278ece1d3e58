"""Replicated state in a running front end: its log, the logs it follows, its files and the claim gate."""

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

import msgspec

from fawnwharf import interface as io
from fawnwharf.config import ConfigError, Deployment, Fleet, address_from
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.requests import RequestTable
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.replication import messages as m
from fawnwharf.replication.call_owner import OwnerAction
from fawnwharf.replication.claim_gate import ClaimGate
from fawnwharf.replication.core import InvalidLineError, ReplicationCore
from fawnwharf.replication.counters import ReplicationCounter
from fawnwharf.replication.directed_log import DirectedLogServer
from fawnwharf.replication.event_log import EventLog, LogEvent
from fawnwharf.replication.followed_logs import FollowedLogs
from fawnwharf.replication.grant_storage import GrantStorageFactory, open_grant_storage
from fawnwharf.replication.load_reporting import LoadReporting
from fawnwharf.replication.outlier_ejection import OutlierEjector
from fawnwharf.replication.periodic_reports import PeriodicReports
from fawnwharf.replication.service_files import load_service_files
from fawnwharf.replication.usage import QuotaShares
from fawnwharf.zones.settings import SettingsFileError

FILE_CHECK_INTERVAL_MS = 500.0
STATUS_INTERVAL_MS = 2_000.0
MAX_FLUSH_MS = 500.0  # how long a graceful shutdown waits for unsent lines
EXTRA_READERS = 16  # readers of the log in addition to the members, for operators
DEFAULT_LATENCY_TARGET_MS = 1_000.0  # if no class is configured

LogClient = Callable[[float, str, int, Any], None]  # now, sender, its incarnation, the message


@dataclass(slots=True)
class _RunningParts:
    """The parts that exist only while the front end runs."""

    front_end: FrontEnd
    gate: ClaimGate
    log_server: DirectedLogServer
    followed_logs: FollowedLogs
    periodic_reports: PeriodicReports | None = None


class ReplicationService:
    """Runs replicated state in this front end, as an extension of it."""

    def __init__(
        self,
        deployment: Deployment,
        path: str | Path,
        log_event: LogEvent,
        *,
        fresh: bool = False,
        grant_storage_factory: GrantStorageFactory | None = None,
    ) -> None:
        """Read and check the files; raises ConfigError with a one-line message.

        `fresh` states that the fleet is new and no call was ever granted in it. The factory, if any, replaces
        the replica's own grant log.
        """
        self.deployment, self.log_event = deployment, log_event
        self._event_log = EventLog(log_event)
        files = load_service_files(deployment, Path(path))
        self.settings, self.folder = files.settings, files.folder
        self._membership_file = files.membership_file
        self.member = self._membership_file.own_entry
        self.incarnation = secrets.randbits(52) | 1
        self.core = ReplicationCore(
            self.member.name,
            self.incarnation,
            self._membership_file.membership,
            self.settings,
            monotonic_ms(),
            fresh=fresh,
        )
        self._switch_on_reports()
        self._grant_storage_factory = grant_storage_factory
        self.grant_storage = open_grant_storage(self.core, self.folder, grant_storage_factory, log_event)
        # Called with the time and the name of each member that starts to follow this log.
        self.follower_callbacks: list[Callable[[float, str], None]] = []
        self.log_clients: dict[str, LogClient] = {}  # other subsystems that use these logs, by name
        self._parts: _RunningParts | None = None
        self._timer: Timer | None = None
        self._timer_ms = 0.0
        self._stopped = False
        self._idle_since_ms: float | None = None  # since when no client waits, in a graceful shutdown

    def _switch_on_reports(self) -> None:
        """Set up the reports that the settings enable."""
        module_settings = self.deployment.settings
        if self.settings.quota_shares:
            # A copy of the configured quotas, because the module writes the limits it receives into its own.
            self.core.quota_shares = QuotaShares(dict(module_settings.quotas_rps), module_settings.fleet_size)
        latency_targets_ms = (spec.latency_target_ms for spec in module_settings.classes.values())
        self.outlier_ejector = OutlierEjector(
            min(latency_targets_ms, default=DEFAULT_LATENCY_TARGET_MS), self.log_event
        )
        self.load_reporting: LoadReporting | None = None
        if self.settings.load_reports:
            self.load_reporting = LoadReporting(self.core, module_settings, self.log_event)

    # --- life cycle ---------------------------------------------------------------------------

    def attach(self, front_end: FrontEnd) -> None:
        """Start on the front end's loop; raises ConfigError if the log's address can't be bound."""
        log_server = self._listen(front_end)
        gate = ClaimGate(
            front_end.loop,
            front_end.requests,
            self.core,
            self.settings,
            self.deployment.settings.classes,
            self._carry_out,
        )
        followed_logs = FollowedLogs(front_end.loop, self._receive_line, self._line_dropped, self._send_hello)
        self._parts = _RunningParts(front_end, gate, log_server, followed_logs)
        front_end.client_port.requests = cast(RequestTable, gate)  # the gate has the table's interface
        self._follow_logs()
        self._check_files()
        self._publish_status()
        reports = PeriodicReports(self.core, front_end, self.outlier_ejector, self._carry_out)
        self._parts.periodic_reports = reports
        reports.begin()
        if self.load_reporting:
            self.load_reporting.attach(front_end, self._carry_out)
        self._tick()
        self._event_log.started(self.core, self.grant_storage)

    def _listen(self, front_end: FrontEnd) -> DirectedLogServer:
        place = self.settings.listen or self._membership_file.own_address
        max_readers = len(self.core.membership.members) + EXTRA_READERS
        try:
            server = DirectedLogServer(
                front_end.loop, address_from(place, "state.listen"), self.incarnation, max_readers
            )
        except OSError as error:
            raise ConfigError(f"state.listen: {error.strerror}: {place}") from None
        server.on_follower = self._notify_follower
        return server

    def close(self) -> None:
        """Stop and close all parts."""
        self._stopped = True
        if self.load_reporting:
            self.load_reporting.close()
        if self._parts:
            if self._parts.periodic_reports:
                self._parts.periodic_reports.close()
            self._parts.followed_logs.close()
            self._parts.log_server.close()
        if self.grant_storage:
            self.grant_storage.close()

    @property
    def _running(self) -> _RunningParts:
        if self._parts is None:
            raise RuntimeError("replication: not attached to a front end")
        return self._parts

    @property
    def gate(self) -> ClaimGate:
        """The gate where calls wait for their claims; only after `attach`."""
        return self._running.gate

    def on_fleet(self, fleet: Fleet) -> None:
        """Do nothing: the events also report the changes of the change log."""

    def on_events(self, events: list[io.Event]) -> None:
        """Count arriving calls, record the results of attempts and load orders, and follow a shutdown."""
        for event in events:
            if isinstance(event, io.ShutdownStarted):
                self.gate.shut_down(event.within_ms)
        if self.core.quota_shares:
            self.core.quota_shares.count_calls(
                event.tenant for event in events if isinstance(event, io.RequestArrived)
            )
        self.outlier_ejector.events(monotonic_ms(), events)
        if self.load_reporting:
            self.load_reporting.events(events)

    @property
    def busy(self) -> bool:
        """Whether a client waits or, for at most MAX_FLUSH_MS after that, lines are still unsent."""
        if self.gate.busy:
            self._idle_since_ms = None
            return True
        if self._idle_since_ms is None:
            self._idle_since_ms = monotonic_ms()
        idle_ms = monotonic_ms() - self._idle_since_ms
        return idle_ms < MAX_FLUSH_MS and self._running.log_server.has_unsent_bytes()

    # --- other subsystems ---------------------------------------------------------------------

    def send_message(self, client: str, recipients: tuple[str, ...], message: Any) -> None:
        """Send a subsystem's message to these members, or to all followers of this log if none is named.

        Only replicas are followed by all members, and only replicas follow all members.
        """
        self._carry_out(self.core.send_client_message(m.ClientMessage(client, message), recipients))

    def publish(self, client: str, message: Any) -> None:
        """Send a message to all followers, and to new ones until the subsystem publishes the next message."""
        self._write(m.Send((), m.ClientMessage(client, message)), counts_as=f"ride {client}")

    def live_members(self, now_ms: float) -> dict[str, int]:
        """The followed members heard within the silence timeout, with their incarnations."""
        self._record_heartbeats()
        timeout_ms = self.settings.silence_timeout_ms
        return {
            name: incarnation
            for name, (incarnation, heard_ms) in self.core.last_heard.items()
            if now_ms - heard_ms <= timeout_ms
        }

    def _record_heartbeats(self) -> None:
        if self._parts is None:
            return
        for name, incarnation, heard_ms in self._parts.followed_logs.heartbeats():
            self.core.record_sign_of_life(heard_ms, name, incarnation)

    def _deliver_client_messages(self) -> None:
        received, self.core.client_messages = self.core.client_messages, []
        for sender, incarnation, carried in received:
            if client := self.log_clients.get(carried.client):
                client(monotonic_ms(), sender, incarnation, carried.message)

    # --- the core's actions -------------------------------------------------------------------

    def _carry_out(self, actions: list[OwnerAction]) -> None:
        """Execute actions; those that depend on grants follow once the grants are stored."""
        if self.grant_storage is not None:
            actions = self.grant_storage.persist(actions, self._carry_out_stored)
        self._carry_out_stored(actions)
        self._deliver_client_messages()

    def _carry_out_stored(self, actions: list[OwnerAction]) -> None:
        for action in actions:
            if isinstance(action, m.Send):
                self._write(action)
            else:
                self.gate.apply(action)
        self._set_timer()

    def _write(self, send: m.Send, counts_as: str | None = None) -> None:
        """Write a line to this member's log."""
        line = msgspec.to_builtins(self.core.log_line(send))
        self._running.log_server.send(line, send.recipients, counts_as)

    def _tick(self) -> None:
        if self._stopped:
            return
        now_ms = monotonic_ms()
        self._record_heartbeats()
        self._carry_out(self.core.tick(now_ms))
        if self.core.replica is not None:
            self._event_log.replica_checked(now_ms, self.core.replica)

    def _set_timer(self) -> None:
        """Schedule the next tick, unless one is already scheduled early enough."""
        now_ms = monotonic_ms()
        due_ms = max(self.core.due_ms(), now_ms + 1.0)
        if self._timer is not None and self._timer.callback and self._timer_ms <= due_ms:
            return
        if self._timer is not None:
            self._timer.cancel()
        if due_ms == float("inf"):
            return
        self._timer_ms = due_ms
        self._timer = self._running.front_end.loop.timers.after(due_ms - now_ms, self._tick)

    def _publish_status(self) -> None:
        if self._stopped:
            return
        host = self._running
        status = msgspec.structs.replace(
            self.core.status(monotonic_ms()),
            wait_ms=host.gate.wait_percentiles_ms(),
            sent_bytes=host.log_server.sent_bytes,
        )
        self._write(m.Send((), status), counts_as="status")
        host.front_end.loop.timers.after(STATUS_INTERVAL_MS, self._publish_status)

    # --- members' logs ------------------------------------------------------------------------

    def _follow_logs(self) -> None:
        """Follow all members if this is a replica, otherwise only the replicas."""
        members = self.core.membership.members
        names = set(self.core.placement.replicas)
        if self.core.replica:
            names |= {member.name for member in members}
        places = {
            member.name: member.replication_address
            for member in members
            if member.replication_address and member.name in names and member.name != self.member.name
        }
        for name in self._running.followed_logs.follow(places):
            self._running.log_server.withdraw_hello(name)

    def _receive_line(self, name: str, line: Any) -> None:
        """Handle a line of a member's log; raises InvalidLineError for a line that no member writes."""
        try:
            actions = self.core.receive_line(monotonic_ms(), name, line)
        except InvalidLineError:
            self.core.counts[ReplicationCounter.MALFORMED_LINES] += 1
            raise
        for sender, reader_number in self.core.received_hellos:
            self._running.log_server.register_reader(sender, reader_number)
        self.core.received_hellos.clear()
        self._carry_out(actions)
        if self.load_reporting:
            self.load_reporting.lines_received()

    def _send_hello(self, name: str, reader_number: int) -> None:
        line = self.core.log_line(m.Send((name,), m.Hello(reader_number)))
        self._running.log_server.publish_hello(name, msgspec.to_builtins(line))

    def _notify_follower(self, name: str) -> None:
        for callback in self.follower_callbacks:
            callback(monotonic_ms(), name)

    def _line_dropped(self, reason: str) -> None:
        self._event_log.line_dropped(reason, self.core.counts)

    # --- files --------------------------------------------------------------------------------

    def _check_files(self) -> None:
        """Apply a changed membership file, and reconnect silent logs."""
        if self._stopped:
            return
        if self._membership_file.changed():
            self._reload_membership()
        self._running.followed_logs.run_maintenance()
        self._running.front_end.loop.timers.after(FILE_CHECK_INTERVAL_MS, self._check_files)

    def _reload_membership(self) -> None:
        try:
            membership = self._membership_file.read()
        except (OSError, SettingsFileError) as error:
            self._event_log.membership_ignored(error)
            return
        self.core.change_membership(monotonic_ms(), membership)
        if self._grant_storage_factory is not None and self.grant_storage is None:
            self.grant_storage = open_grant_storage(
                self.core, self.folder, self._grant_storage_factory, self.log_event
            )
        self._follow_logs()
        self._event_log.membership_taken(membership, self.core.placement.replicas)
