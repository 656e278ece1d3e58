"""Runs a member of the fleet in a front end: its core, logs, disk, files and timers."""

import time
from pathlib import Path
from typing import Any

import msgspec

from fawnwharf import interface as io
from fawnwharf.config import ConfigError, Deployment, Fleet, address_from
from fawnwharf.consensus.records import DiskError
from fawnwharf.consensus.voter_store import VoterStore
from fawnwharf.net.front_end import FrontEnd, scorer_number
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.zones import log_events
from fawnwharf.zones.effects import (
    ApplyPlan,
    Effect,
    MessagesReceived,
    PublishLine,
    RegisterDecided,
    SaveVoterState,
    SendVoterMessage,
)
from fawnwharf.zones.evidence import EvidenceCollector
from fawnwharf.zones.files import WatchedFile, load_file
from fawnwharf.zones.log_client import LogClient
from fawnwharf.zones.log_events import ZoneLogEvent
from fawnwharf.zones.log_lines import POLICY, ClientMessage, ConsensusStatus, DropCause, LogLineError
from fawnwharf.zones.member_core import MemberCore
from fawnwharf.zones.member_feeds import LogName, MemberFeeds
from fawnwharf.zones.member_log import LogServer
from fawnwharf.zones.operator_log import WriteEvent
from fawnwharf.zones.plan_application import PlanApplication
from fawnwharf.zones.probes import ZoneProber
from fawnwharf.zones.roster_filter import zone_sizes
from fawnwharf.zones.settings import (
    MemberEntry,
    Membership,
    SettingsFileError,
    membership_from,
    operator_request_from,
    settings_from,
)
from fawnwharf.zones.voter_role import VoterStart

FILE_CHECK_INTERVAL_MS = 500.0
OPERATOR_READERS = 16  # readers of a log in addition to the members
EVENT_INTERVAL_MS = 1_000.0  # between two rate-limited events of the same name
DEFAULT_LATENCY_TARGET_MS = 1_000.0  # used if no class of calls is configured


class ZoneService:
    """Extension of the front end that makes it a member of the fleet.

    Owns the member's core, its log servers, the connections to other members' logs, and its timers.
    """

    def __init__(self, deployment: Deployment, path: str | Path, write: WriteEvent) -> None:
        """Read and check all files; `write` is called with events. Raises ConfigError with one line."""
        settings_path = Path(path)
        base = settings_path.parent
        self.deployment = deployment
        self.settings = load_file(settings_path, settings_from, "zones")
        self.folder = base / self.settings.state_folder
        self._membership_file = WatchedFile(base / self.settings.membership_file)
        self._request_file = WatchedFile(self.settings.operator_request_path(base))
        membership = load_file(self._membership_file.path, membership_from, "zones")
        self._membership_file.changed()
        self.entry = self._own_entry(membership)
        self.disk = self._open_disk(membership.fleet) if self.entry.voter_address else None
        now_ms = monotonic_ms()
        self.core = MemberCore(self.entry.name, membership, self.settings, now_ms, self._voter_start())
        latency_targets_ms = [spec.latency_target_ms for spec in deployment.settings.classes.values()]
        latency_target_ms = min(latency_targets_ms, default=DEFAULT_LATENCY_TARGET_MS)
        self.evidence_collector = EvidenceCollector(self.settings.evidence, latency_target_ms)
        self.plan_application = PlanApplication(deployment, self.entry.zone, lambda: self.core.membership)
        self.log_clients: dict[str, LogClient] = {}  # by the kind of their registers
        self.log_server: LogServer | None = None
        self.voter_log_server: LogServer | None = None
        self._front: FrontEnd | None = None
        self._feeds: MemberFeeds | None = None
        self._prober: ZoneProber | None = None
        self._write = write
        self._last_written_ms: dict[str, float] = {}  # of rate-limited events, by event name
        self._zone_of_scorer: dict[int, str] = {}
        self._roster_updated_ms = now_ms  # when the change log last reported scorers
        self._incarnation = time.time_ns() // 1_000
        self._timer: Timer | None = None
        self._timer_due_ms = 0.0
        self._stopped = False
        self._disk_failed = False

    def _own_entry(self, membership: Membership) -> MemberEntry:
        """This front end's entry; raises ConfigError if there is none or its zone differs."""
        name, zone = self.deployment.name, self.deployment.settings.zone
        entry = membership.find_member(name)
        if entry is None:
            raise ConfigError(f"zones: {name} is not among the members of {self._membership_file.path}")
        if entry.zone != zone:
            raise ConfigError(f"zones: {name} is in zone {entry.zone}, but its configuration says {zone}")
        return entry

    def _open_disk(self, fleet: str) -> VoterStore:
        try:
            return VoterStore(self.folder, fleet, self.entry.name)
        except DiskError as error:
            raise ConfigError(f"zones: {error}") from None

    def _voter_start(self) -> VoterStart | None:
        if self.disk is None:
            return None
        return VoterStart(
            identity=self.disk.identity.voter_identity,
            seed=self.deployment.seed,
            saved=self.disk.saved,
            disk_writes=self.disk.record_number,
        )

    # --- start and stop -------------------------------------------------------------------------

    @property
    def front(self) -> FrontEnd:
        """The front end that this service is attached to."""
        if self._front is None:
            raise RuntimeError("zones: not attached to a front end")
        return self._front

    def attach(self, front: FrontEnd) -> None:
        """Start on the front end's event loop."""
        self._front = front
        max_readers = len(self.core.membership.members) + OPERATOR_READERS
        listen = self.settings.listen or self.entry.address
        self.log_server = self._open_log_server("listen", listen, max_readers)
        if self.entry.voter_address:
            listen = self.settings.listen_voter_address or self.entry.voter_address
            self.voter_log_server = self._open_log_server("listen_ballots", listen, max_readers)
        self._feeds = MemberFeeds(front.loop, self.entry, self._receive, self._on_line_rejected)
        self._feeds.follow(self.core.membership)
        self._check_files()
        self._prober = ZoneProber(
            front,
            self.evidence_collector,
            self.settings.evidence,
            lambda: self.core.membership.zones,
            self._on_view_changed,
        )
        self._prober.run()
        self._tick()
        self._log(log_events.ZonesEnabled(self.entry.name, self.entry.zone, self.disk is not None))

    def _open_log_server(self, key: str, host_port: str, max_readers: int) -> LogServer:
        address = address_from(host_port, f"zones.{key}")
        try:
            return LogServer(self.front.loop, address, self._incarnation, max_readers)
        except OSError as error:
            raise ConfigError(f"zones.{key}: {error.strerror}: {host_port}") from None

    def close(self) -> None:
        """Stop probing, and close all connections, the log servers and the disk."""
        self._stopped = True
        for component in (self._prober, self._feeds, self.log_server, self.voter_log_server, self.disk):
            if component is not None:
                component.close()

    def _log(self, event: ZoneLogEvent) -> None:
        """Write an event to the operators' log; a rate-limited one only after EVENT_INTERVAL_MS."""
        if event.rate_limited:
            now_ms = monotonic_ms()
            if now_ms - self._last_written_ms.get(event.event, float("-inf")) < EVENT_INTERVAL_MS:
                return
            self._last_written_ms[event.event] = now_ms
        self._write(event.event, event.fields)

    # --- extension of the front end -------------------------------------------------------------

    def on_fleet(self, fleet: Fleet) -> None:
        """Record the zone of each scorer in a change of the roster, as the change log reports it.

        The front end calls it. `fleet` contains scorers, whereas `Membership` contains front ends.
        """
        self._roster_updated_ms = monotonic_ms()
        for member in fleet.members:
            if member.locality:
                self._zone_of_scorer[scorer_number(member.id)] = member.locality

    @property
    def busy(self) -> bool:
        """Always False: a graceful shutdown does not wait for zones."""
        return False

    def on_events(self, events: list[io.Event]) -> None:
        """Record the evidence on zones in a batch of events."""
        now_ms = monotonic_ms()
        for event in events:
            if (
                isinstance(event, io.AttemptEnded | io.LoadOrderAnswered)
                and event.scorer in self._zone_of_scorer
            ):
                zone = self._zone_of_scorer[event.scorer]
                self.evidence_collector.record_ending(now_ms, zone, event.scorer, event.result, event.took_ms)

    def apply_policy_limits(self, total_quota_rps: float, spillover_limits: dict[str, float]) -> None:
        """Apply a policy's total quota (calls per second) and its spillover limits by zone."""
        event = self.plan_application.set_policy_limits(self.front, total_quota_rps, spillover_limits)
        if event is not None:
            self._log(event)

    # --- time -----------------------------------------------------------------------------------

    def _tick(self) -> None:
        if self._stopped:
            return
        now_ms = monotonic_ms()
        sizes = zone_sizes(self.front.roster_overlay.members.values())
        evidence = self.evidence_collector.evidence(now_ms)
        self._carry_out(self.core.tick(now_ms, evidence, sizes, now_ms - self._roster_updated_ms))
        self._set_timer()

    def _on_view_changed(self, now_ms: float) -> None:
        """Send a report early, because this front end's view of a zone has changed."""
        self.core.make_report_due(now_ms)
        self._set_timer()

    def _set_timer(self) -> None:
        """Set the timer for the next tick, unless an earlier one is set."""
        due_ms = max(self.core.due_ms(), monotonic_ms() + 1.0)
        if self._timer is not None:
            if self._timer.callback and self._timer_due_ms <= due_ms:
                return
            self._timer.cancel()
        self._timer_due_ms = due_ms
        self._timer = self.front.loop.timers.after(due_ms - monotonic_ms(), self._tick)

    # --- effects --------------------------------------------------------------------------------

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SaveVoterState):
                if not self._save(effect):
                    return  # no later effect may be carried out
            elif isinstance(effect, PublishLine | SendVoterMessage):
                self._write_line(effect)
            elif isinstance(effect, ApplyPlan):
                self._log(self.plan_application.apply(self.front, effect))
            elif isinstance(effect, ZoneLogEvent):
                self._log(effect)
            else:
                self._dispatch_to_client(effect)
        for client in list(self.log_clients.values()):
            client.on_role_changed()

    def _save(self, effect: SaveVoterState) -> bool:
        """Write the voter's state to disk; False once the disk has failed."""
        if self.disk is None or self._disk_failed:
            return False
        try:
            self.disk.save(effect.saved)
        except DiskError as error:
            self._disk_failed = True
            self._log(log_events.DiskFailed(str(error)))
            self.core.stop_voting()
        return not self._disk_failed

    def _write_line(self, effect: PublishLine | SendVoterMessage) -> None:
        line = msgspec.to_builtins(effect.line)
        if isinstance(effect, SendVoterMessage):
            if self.voter_log_server is not None:
                self.voter_log_server.write(line)
        elif self.log_server is not None:
            current = next((key for key in ("plan", "report") if key in line), None)
            self.log_server.write(line, counts_as=current)

    def _dispatch_to_client(self, effect: MessagesReceived | RegisterDecided) -> None:
        """Pass messages or a register on to its log client."""
        if isinstance(effect, MessagesReceived):
            if client := self.log_clients.get(effect.client):
                client.on_messages(effect.sender, effect.messages, effect.status)
        elif client := self.log_clients.get(effect.kind):
            client.on_register_decided(effect.text)

    # --- for log clients ------------------------------------------------------------------------

    def send_messages(self, messages: list[ClientMessage]) -> None:
        """Send messages by this member's log; members that do not vote receive only those of voters."""
        self._publish(None, messages=messages)

    def publish_status(self, status: Any, client: str = POLICY) -> None:
        """Publish a client's status; new readers get it too, until the next status replaces it."""
        self._publish(client, **{client: status})

    def _publish(self, counts_as: str | None, **fields: Any) -> None:
        if not self._stopped and self.log_server is not None:
            line = self.core.state.make_line(**fields)
            self.log_server.write(msgspec.to_builtins(line), counts_as=counts_as)

    def consensus_status(self, now_ms: float) -> ConsensusStatus:
        """The status of this member's voter; the default one after the disk has failed."""
        return self.core.consensus_status(now_ms)

    def propose_register(self, text: str, kind: str = POLICY) -> bool:
        """Propose a register to the consensus log; False if it did not enter the log."""
        entered, effects = self.core.propose_register(monotonic_ms(), text, kind)
        self._carry_out(effects)
        self._set_timer()
        return entered

    # --- other members' logs --------------------------------------------------------------------

    def _receive(self, name: LogName, line: Any) -> None:
        """Handle a line of another member's log; raises LogLineError for one that no member writes."""
        receive = self.core.receive_voter_line if name.is_voter_log else self.core.receive_line
        try:
            effects = receive(monotonic_ms(), name.member, line)
        except LogLineError:
            self.core.state.drop_counts.add(DropCause.MALFORMED_LINE)
            raise
        self._carry_out(effects)
        self._set_timer()

    def _on_line_rejected(self, reason: str) -> None:
        self._log(log_events.LogLineRejected(reason, dict(self.core.state.drop_counts.dropped)))

    # --- files ----------------------------------------------------------------------------------

    def _check_files(self) -> None:
        """Apply files that have changed, now and at each interval."""
        if self._stopped:
            return
        membership_data = self._membership_file.changed()
        if membership_data is not None:
            self._apply_membership_file(membership_data)
        request_data = self._request_file.changed()
        if request_data is not None:
            self._apply_request_file(request_data)
        if self._feeds is not None:
            self._feeds.check_silence()
        self._set_timer()
        self.front.loop.timers.after(FILE_CHECK_INTERVAL_MS, self._check_files)

    def _apply_membership_file(self, data: bytes) -> None:
        try:
            membership = membership_from(data)
        except SettingsFileError as error:
            self._log(log_events.MembershipRejected(str(error)))
            return
        entry = membership.find_member(self.entry.name)
        if entry is None or entry.zone != self.entry.zone:
            self._log(log_events.MembershipRejected(f"{self.entry.name} is missing or in another zone"))
            return
        self._carry_out(self.core.apply_membership(membership))
        if self._feeds is not None:
            self._feeds.follow(self.core.membership)
        for client in list(self.log_clients.values()):
            client.on_membership_changed()

    def _apply_request_file(self, data: bytes) -> None:
        try:
            request = operator_request_from(data, set(self.core.membership.zones))
        except SettingsFileError as error:
            self._log(log_events.OperatorRequestRejected(str(error)))
            return
        self._carry_out(self.core.apply_operator_request(request))
