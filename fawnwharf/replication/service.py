"""Replicated state in a running front end: its log, the logs it follows, its files, the gate for calls."""

import secrets
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from fawnwharf import interface as io
from fawnwharf.config import ConfigError, Deployment, Fleet, address_from
from fawnwharf.consensus.voter_store import DiskError
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.replication import messages as m
from fawnwharf.replication.call_owner import OwnerAction
from fawnwharf.replication.claim_gate import ClaimGate
from fawnwharf.replication.core import LineError, ReplicationCore
from fawnwharf.replication.directed_log import DirectedLog, DirectedLogServer
from fawnwharf.replication.grant_storage import GrantLogStorage, GrantStorage, GrantStorageFactory
from fawnwharf.replication.load_reporting import LoadReporting
from fawnwharf.replication.messages import Hello, Send
from fawnwharf.replication.outlier_ejection import OutlierEjector
from fawnwharf.replication.settings import ReplicationSettings, check_members, parse_settings
from fawnwharf.replication.usage import QuotaShares
from fawnwharf.zones.files import load_file
from fawnwharf.zones.settings import Membership, SettingsFileError, membership_from

FILES_MS = 500.0
STATUS_MS = 2_000.0
UNWRITTEN_MS = 500.0
READERS_SPARE = 16  # beyond the members, for operators
LINE_S = 1.0  # one note a second of each kind

Write = Callable[[str, dict[str, Any]], None]
Ridden = Callable[[float, str, int, Any], None]  # now, sender, its life, the word


class ReplicationService:
    """Owns this front end's part in the state that is kept together; a Seam of the front end."""

    def __init__(
        self,
        deployment: Deployment,
        path: str | Path,
        write: Write,
        fresh: bool = False,
        kept: GrantStorageFactory | None = None,
    ) -> None:
        """Reads and checks the files; raises ConfigError with one line. `fresh`: this fleet begins, nobody
        has promised anything yet. `kept`: what grants go to in the place of a file."""
        self.deployment, self.log_event = deployment, write
        place = Path(path)
        self.settings: ReplicationSettings = load_file(place, parse_settings, "state")
        self.folder = place.parent / self.settings.folder if self.settings.folder else None
        self._members_path = place.parent / self.settings.membership_file
        members: Membership = load_file(self._members_path, membership_from, "state")
        self._members_seen = self._mark()
        entry = members.find_member(deployment.name)
        if entry is None:
            raise ConfigError(f"state: {deployment.name} is not among the members of {self._members_path}")
        if not entry.replication_address:
            raise ConfigError(f"state: {deployment.name} has no `state` in {self._members_path}")
        try:
            check_members(members, self.settings)
        except SettingsFileError as error:
            raise ConfigError(f"state: {self._members_path}: {error}") from None
        for name in self.settings.modes:
            if name not in deployment.settings.classes:
                raise ConfigError(f"state: {place}: modes.{name}: no such class")
        self.member = entry
        self.incarnation = secrets.randbits(52) | 1
        self.core = ReplicationCore(
            entry.name, self.incarnation, members, self.settings, monotonic_ms(), fresh
        )
        if self.settings.quota_shares:
            # The module adds what it is handed to the quotas: these are as they were sold.
            quotas = dict(deployment.settings.quotas_rps)
            self.core.quota_shares = QuotaShares(quotas, deployment.settings.fleet_size)
        promises = (spec.latency_target_ms for spec in deployment.settings.classes.values())
        self.outlier_ejector = OutlierEjector(min(promises, default=1_000.0), self.log_event)
        self.load_reporting: LoadReporting | None = None
        if self.settings.load_reports:
            self.load_reporting = LoadReporting(self.core, deployment.settings, self.log_event)
        self.grant_storage: GrantStorage | None = None
        self._kept = kept
        if kept and self.core.replica:
            self.grant_storage = kept.open_grant_storage(self.core, self.folder)
        elif self.folder and self.core.replica:
            try:
                self.grant_storage = GrantLogStorage(self.folder, self.core, entry.name, self.log_event)
            except DiskError as error:
                raise ConfigError(f"state.folder: {error}") from None
        self.front_end: FrontEnd | None = None
        self.gate: ClaimGate | None = None
        self.log_server: DirectedLogServer | None = None
        self._feeds: dict[str, DirectedLog] = {}
        self.follower_callbacks: list[
            Callable[[float, str], None]
        ] = []  # hear of members that follow this log anew
        self.log_clients: dict[str, Ridden] = {}  # other subsystems whose words go by these logs
        self._timer: Timer | None = None
        self._timer_ms = 0.0
        self._noted: dict[str, float] = {}
        self._stopped = False
        self._idle_ms: float | None = None  # since when nobody waits, for one that leaves
        self._was_sure: bool | None = None

    # --- life -----------------------------------------------------------------------------------

    def attach(self, front: FrontEnd) -> None:
        """Begin, on the front end's loop."""
        self.front_end = front
        place = self.settings.listen or self.member.replication_address
        try:
            self.log_server = DirectedLogServer(
                front.loop,
                address_from(place, "state.listen"),
                self.incarnation,
                len(self.core.members.members) + READERS_SPARE,
            )
        except OSError as error:
            raise ConfigError(f"state.listen: {error.strerror}: {place}") from None
        self.log_server.followed = self._followed
        self.gate = ClaimGate(
            front.loop,
            front.requests,
            self.core,
            self.settings,
            self.deployment.settings.classes,
            self._carry_out,
        )
        front.client_port.requests = self.gate
        self._follow()
        self._look_at_files()
        self._status()
        if self.settings.quota_shares:
            self._use()
        if self.settings.outlier_ejection:
            self._beliefs()
        if self.load_reporting:
            self.load_reporting.attach(front, self._carry_out)
        self._tick()
        keepers = {zone: list(names) for zone, names in self.core.placement.by_zone.items()}
        self.log_event(
            "state on", {"member": self.member.name, "owner": self.core.owner_id, "keepers": keepers}
        )
        if self.grant_storage:
            self.log_event("disk read", self.grant_storage.summary)

    def close(self) -> None:
        self._stopped = True
        if self.load_reporting:
            self.load_reporting.close()
        for feed in self._feeds.values():
            feed.close()
        if self.log_server:
            self.log_server.close()
        if self.grant_storage:
            self.grant_storage.close()

    def on_fleet(self, fleet: Fleet) -> None: ...

    def on_events(self, events: list[io.Event]) -> None:
        if self.core.quota_shares:
            self.core.quota_shares.count_calls(e.tenant for e in events if isinstance(e, io.RequestArrived))
        self.outlier_ejector.events(monotonic_ms(), events)
        if self.load_reporting:
            self.load_reporting.events(events)

    @property
    def busy(self) -> bool:
        """Somebody waits here, or what came of the last calls is not written yet; for that only so long."""
        if self.gate.busy:
            self._idle_ms = None
            return True
        if self._idle_ms is None:
            self._idle_ms = monotonic_ms()
        return monotonic_ms() - self._idle_ms < UNWRITTEN_MS and self.log_server.unwritten()

    def send_message(self, rider: str, to: tuple[str, ...], word: Any) -> None:
        """Say a word of a rider to these members, to all that follow this one's log where none is named.
        Only keepers are followed by all, and only keepers follow all."""
        self._carry_out(self.core.send_client_message(m.ClientMessage(rider, word), to))

    def publish(self, rider: str, word: Any) -> None:
        """Say a word that counts until the rider's next such one, to all that follow and whoever comes."""
        said = Send((), m.ClientMessage(rider, word))
        self.log_server.say(msgspec.to_builtins(self.core.log_line(said)), counts_as=f"ride {rider}")

    def live_members(self, now_ms: float) -> dict[str, int]:
        """Members whose logs are followed here and gave a sign within `quiet_ms`, with their lives."""
        self._hear()
        quiet = self.settings.silence_timeout_ms
        return {name: life for name, (life, at_ms) in self.core.last_heard.items() if now_ms - at_ms <= quiet}

    def _hear(self) -> None:
        for name, feed in self._feeds.items():
            if feed.up and feed.incarnation:
                self.core.record_sign_of_life(feed.heard_ms, name, feed.incarnation)

    # --- what the core says ---------------------------------------------------------------------

    def _ridden(self) -> None:
        rides, self.core.client_messages = self.core.client_messages, []
        for sender, life, ride in rides:
            if taker := self.log_clients.get(ride.client):
                taker(monotonic_ms(), sender, life, ride.message)

    def _carry_out(self, effects: list[OwnerAction]) -> None:
        if self.grant_storage is not None:
            effects = self.grant_storage.persist(effects, self._say)
        self._say(effects)
        self._ridden()

    def _say(self, effects: list[OwnerAction]) -> None:
        """Now that what they rest on is written."""
        for effect in effects:
            if isinstance(effect, Send):
                self.log_server.say(msgspec.to_builtins(self.core.log_line(effect)), effect.recipients)
            else:
                self.gate.apply(effect)
        self._set_timer()

    def _tick(self) -> None:
        if self._stopped:
            return
        now = monotonic_ms()
        self._hear()
        self._carry_out(self.core.tick(now))
        self._look_after(now)

    def _set_timer(self) -> None:
        now = monotonic_ms()
        due = max(self.core.due_ms(now), now + 1.0)
        if self._timer is not None and self._timer.callback and self._timer_ms <= due:
            return
        if self._timer is not None:
            self._timer.cancel()
        if due == float("inf"):
            return
        self._timer_ms = due
        self._timer = self.front_end.loop.timers.after(due - now, self._tick)

    def _look_after(self, now_ms: float) -> None:
        keeper = self.core.replica
        if keeper is None:
            return
        if (sure := keeper.is_complete(now_ms)) != self._was_sure:
            self._was_sure = sure
            self.log_event("keeper", {"sure": sure, "calls": len(keeper.claim_store.calls)})
        conflicts, keeper.claim_store.conflicts = keeper.claim_store.conflicts, []
        for key, one, other in conflicts:
            if self._once("conflict"):
                sides = [msgspec.to_builtins(claim) for claim in (one, other)]
                self.log_event("conflict", {"call": key, "one": sides[0], "other": sides[1]})

    def _once(self, what: str) -> bool:
        now = monotonic_ms()
        if now - self._noted.get(what, -1e9) < LINE_S * 1000.0:
            return False
        self._noted[what] = now
        return True

    def _use(self) -> None:
        """Tell what came here, and go by the shares that follow from what came to all."""
        if self._stopped:
            return
        now = monotonic_ms()
        self._carry_out(self.core.send_usage(now))
        if self.core.quota_shares:
            for tenant, rps in self.core.quota_shares.changes(now).items():
                self.front_end.loop.enqueue(io.LimitsChanged(rps, tenant))
        self.front_end.loop.timers.after(self.settings.usage_interval_ms, self._use)

    def _beliefs(self) -> None:
        """Tell which scorers are bad, and let those rest that several front ends name."""
        if self._stopped:
            return
        now = monotonic_ms()
        self._carry_out(self.core.send_failure_report(now, self.outlier_ejector.sights))
        changes = self.outlier_ejector.look(now, self.core.reported_outliers, self.front_end.roster_overlay)
        self.core.reported_outliers.clear()
        if changes.members:
            self.front_end.apply_fleet(changes)
        self.front_end.loop.timers.after(self.settings.failure_report_interval_ms, self._beliefs)

    def _status(self) -> None:
        if self._stopped:
            return
        now = monotonic_ms()
        found = msgspec.structs.replace(
            self.core.status(now), wait_ms=self.gate.wait_percentiles_ms(), sent_bytes=self.log_server.bytes
        )
        status = Send((), found)
        self.log_server.say(msgspec.to_builtins(self.core.log_line(status)), counts_as="status")
        self.front_end.loop.timers.after(STATUS_MS, self._status)

    # --- others' logs ---------------------------------------------------------------------------

    def _follow(self) -> None:
        """Keepers follow all, the others follow the keepers."""
        keepers = set(self.core.placement.replicas)
        if self.core.replica:
            keepers |= {member.name for member in self.core.members.members}
        wanted = {
            member.name: member.replication_address
            for member in self.core.members.members
            if member.replication_address and member.name in keepers and member.name != self.member.name
        }
        for name in [name for name in self._feeds if name not in wanted]:
            self._feeds.pop(name).close()
            self.log_server.forget(name)
        for name, place in wanted.items():
            address = address_from(place, "members.state")
            if name in self._feeds:
                self._feeds[name].move(address)
                continue
            feed = DirectedLog(
                self.front_end.loop, address, self._taker(name), self._dropped, self._greeter(name)
            )
            self._feeds[name] = feed
            feed.connect()

    def _taker(self, name: str) -> Callable[[Any], None]:
        def take(line: Any) -> None:
            try:
                effects = self.core.receive_line(monotonic_ms(), name, line)
            except LineError:
                self.core.counts["bad line"] = self.core.counts.get("bad line", 0) + 1
                raise
            for sender, asked in self.core.greetings:
                self.log_server.named(sender, asked)
            self.core.greetings.clear()
            self._carry_out(effects)
            if self.load_reporting:
                self.load_reporting.answered()

        return take

    def _greeter(self, name: str) -> Callable[[int], None]:
        def hello(asked: int) -> None:
            self.log_server.greet(name, msgspec.to_builtins(self.core.log_line(Send((name,), Hello(asked)))))

        return hello

    def _followed(self, name: str) -> None:
        for taker in self.follower_callbacks:
            taker(monotonic_ms(), name)

    def _dropped(self, text: str) -> None:
        if self._once("line"):
            self.log_event("line dropped", {"why": text, "counts": dict(self.core.counts)})

    # --- files ----------------------------------------------------------------------------------

    def _mark(self) -> Any:
        try:
            stat = self._members_path.stat()
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size, stat.st_ino

    def _look_at_files(self) -> None:
        if self._stopped:
            return
        mark = self._mark()
        if mark is not None and mark != self._members_seen:
            self._members_seen = mark
            self._new_members()
        for feed in self._feeds.values():
            feed.run_maintenance()
        self.front_end.loop.timers.after(FILES_MS, self._look_at_files)

    def _new_members(self) -> None:
        try:
            members = membership_from(self._members_path.read_bytes())
            check_members(members, self.settings)
            now = members.find_member(self.member.name)
            if now is None or now.replication_address != self.member.replication_address:
                raise SettingsFileError(f"members: {self.member.name} is not as it was")
        except (OSError, SettingsFileError) as error:
            self.log_event("members left aside, the old ones go on", {"fault": str(error)})
            return
        self.core.change_members(monotonic_ms(), members)
        if self._kept and self.core.replica and self.grant_storage is None:
            self.grant_storage = self._kept.open_grant_storage(self.core, self.folder)
        self._follow()
        self.log_event("members taken", {"number": members.number, "keepers": self.core.placement.replicas})
