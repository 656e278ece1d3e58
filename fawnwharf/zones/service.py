"""Zones in a running front end.

Its part in the fleet's logs, its disk and files, and the seam to the module.
"""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from fawnwharf import interface as io
from fawnwharf.config import ConfigError, Deployment, Fleet, address_from
from fawnwharf.consensus.voter_store import DiskError, VoterStore
from fawnwharf.net.front_end import FrontEnd, scorer_number
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.zones import roster_closing
from fawnwharf.zones import settings as s
from fawnwharf.zones.effects import (
    Effect,
    FollowPlan,
    MessagesReceived,
    PublishLine,
    RegisterDecided,
    SaveVoterState,
    SendVoterMessage,
)
from fawnwharf.zones.evidence import EvidenceCollector
from fawnwharf.zones.files import WatchedFile, load_file
from fawnwharf.zones.log_client import LogClient
from fawnwharf.zones.log_events import LogEvent
from fawnwharf.zones.log_lines import POLICY, ClientMessage, ConsensusStatus, DropCause, LogLine, LogLineError
from fawnwharf.zones.member_core import MemberCore
from fawnwharf.zones.member_log import LogServer, MemberLogFollower
from fawnwharf.zones.plan import Plan, limit_spillover
from fawnwharf.zones.probes import Probes
from fawnwharf.zones.voter_role import VoterStart

FILES_MS = 500.0  # pace of the look at the files
READERS_SPARE = 16  # beyond the members, for operators
LINE_S = 1.0  # one line a second for each cause of dropped lines
CLOSER = LIMIT = "zones"

Write = Callable[[str, dict[str, Any]], None]


class ZoneService:
    """Owns this front end's membership.

    The core, its servers and feeds, its timers; a Seam of the front end.
    """

    def __init__(self, deployment: Deployment, path: str | Path, write: Write) -> None:
        """Reads and checks all files; raises ConfigError with one line. `write` takes structured notes."""
        self.deployment, self._write = deployment, write
        place = Path(path)
        self.settings = load_file(place, s.settings_from, "zones")
        base = place.parent
        self._members_file = WatchedFile(base / self.settings.membership_file)
        folder = base / self.settings.state_folder
        wishes = (
            base / self.settings.operator_request_file
            if self.settings.operator_request_file
            else folder / "wishes.json"
        )
        self._wishes_file = WatchedFile(wishes)
        members = load_file(self._members_file.path, s.membership_from, "zones")
        self._members_file.changed()
        self.entry, self.folder = self._own_entry(members), folder
        self.disk = self._open_disk(members.fleet) if self.entry.ballots else None
        now = monotonic_ms()
        identity = self.disk.identity.voter_identity if self.disk else ""
        voter = (
            VoterStart(identity, deployment.seed, self.disk.saved, self.disk.record_number)
            if self.disk
            else None
        )
        self.core = MemberCore(self.entry.name, members, self.settings, now, voter)
        promise = min((c.latency_target_ms for c in deployment.settings.classes.values()), default=1_000.0)
        self.evidence_collector = EvidenceCollector(self.settings.evidence, promise)
        self._sold = sum(deployment.settings.quotas_rps.values())  # before any limit stands among them
        self._spill: dict[str, float] = {}  # the most that a policy lets zones take of others' calls
        self._followed: FollowPlan | None = None
        self.log_clients: dict[str, LogClient] = {}  # by the kinds of their registers
        self._zone_of: dict[int, str] = {}
        self._told_ms = now
        self._life = time.time_ns() // 1_000
        self._feeds: dict[tuple[str, bool], MemberLogFollower] = {}
        self._noted: dict[str, float] = {}
        self._timer: Timer | None = None
        self._timer_ms = 0.0
        self._stopped = False
        self._failed = False  # the disk: no part in votes any more
        self.front: FrontEnd | None = None
        self.probes: Probes | None = None
        self.public: LogServer | None = None
        self.ballots: LogServer | None = None

    def _own_entry(self, members: s.Membership) -> s.MemberEntry:
        """This front end among the members; raises ConfigError where it is none, or of another zone."""
        deployment = self.deployment
        entry = members.named(deployment.name)
        if entry is None:
            place = self._members_file.path
            raise ConfigError(f"zones: {deployment.name} is not among the members of {place}")
        if entry.zone != deployment.settings.zone:
            zones = f"zone {entry.zone}, and its configuration says {deployment.settings.zone}"
            raise ConfigError(f"zones: {entry.name} is of {zones}")
        return entry

    def _open_disk(self, fleet: str) -> VoterStore:
        try:
            return VoterStore(self.folder, fleet, self.entry.name)
        except DiskError as error:
            raise ConfigError(f"zones: {error}") from None

    # --- life -----------------------------------------------------------------------------------

    def attach(self, front: FrontEnd) -> None:
        """Begin on the front end's loop."""
        self.front = front
        most = len(self.core.membership.members) + READERS_SPARE
        self.public = self._server("listen", self.settings.listen or self.entry.address, most)
        if self.entry.ballots:
            place = self.settings.listen_voter_address or self.entry.ballots
            self.ballots = self._server("listen_ballots", place, most)
        self._follow_members()
        self._look_at_files()
        self.probes = Probes(
            front,
            self.evidence_collector,
            self.settings.evidence,
            self.entry.name,
            lambda: self.core.membership.zones,
            self._turned,
        )
        self.probes.look()
        self._tick()
        self.note(
            "zones on", {"member": self.entry.name, "zone": self.entry.zone, "voter": self.disk is not None}
        )

    def _server(self, key: str, place: str, most: int) -> LogServer:
        try:
            return LogServer(self.front.loop, address_from(place, f"zones.{key}"), self._life, most)
        except OSError as error:
            raise ConfigError(f"zones.{key}: {error.strerror}: {place}") from None

    def close(self) -> None:
        """Stop: close the probes, feeds, servers and the disk."""
        self._stopped = True
        if self.probes:
            self.probes.close()
        for feed in self._feeds.values():
            feed.close()
        for server in (self.public, self.ballots):
            if server:
                server.close()
        if self.disk:
            self.disk.close()

    def note(self, event: str, fields: dict[str, Any]) -> None:
        """Write an event to the operators' log."""
        self._write(event, fields)

    # --- the seam -------------------------------------------------------------------------------

    def on_fleet(self, fleet: Fleet) -> None:
        """Take changes of the roster, as the change log tells them."""
        self._told_ms = monotonic_ms()
        for member in fleet.members:
            if member.locality:
                self._zone_of[scorer_number(member.id)] = member.locality

    @property
    def busy(self) -> bool:
        """Nothing here keeps a leaving front end up."""
        return False

    def on_events(self, events: list[io.Event]) -> None:
        """Take the batch's evidence on zones."""
        now = monotonic_ms()
        for event in events:
            if isinstance(event, io.AttemptEnded | io.LoadOrderAnswered) and event.scorer in self._zone_of:
                zone = self._zone_of[event.scorer]
                self.evidence_collector.record_ending(now, zone, event.scorer, event.result, event.took_ms)

    def apply_policy_limits(self, sold_rps: float, spill: dict[str, float]) -> None:
        """Take a policy's total quota and spillover by zone.

        They count where they are stricter than the plan.
        """
        if (sold_rps, spill) != (self._sold, self._spill):
            self._sold, self._spill = sold_rps, spill
            if self._followed is not None:
                self._go_by(self._followed)

    def _go_by(self, effect: FollowPlan) -> None:
        self._followed = effect
        if effect.plan is not None and self._spill:
            effect = FollowPlan(limit_spillover(effect.plan, self._spill), effect.index)
        overlay, zone = self.front.roster_overlay, self.entry.zone
        changes = overlay.set_filter(CLOSER, roster_closing.plan_closer(effect.plan, zone))
        if changes.members:
            self.front.apply_fleet(changes)
        part = roster_closing.admitted_fraction(effect.plan, zone)
        limited = part < 1.0 and self._sold > 0
        rps = part * self._sold / self.deployment.settings.fleet_size * self._carried(effect.plan)
        self.front.limit_calls(LIMIT, rps if limited else io.UNLIMITED_RPS)
        fields = {"index": effect.index, "scorers changed": len(changes.members), "admission": round(part, 3)}
        if effect.plan is None:
            self.note("on its own", fields)
        else:
            states = {name: f"{zone.state} {zone.fraction:g}" for name, zone in effect.plan.zones.items()}
            self.note(
                "following",
                fields | {"number": effect.plan.number, "zones": states, "apart": effect.plan.unreachable},
            )

    def _carried(self, plan: Plan | None) -> float:
        """How many front ends' calls each of this zone's has: more than one where others of it are gone."""
        zone = plan.zones.get(self.entry.zone) if plan else None
        members = sum(member.zone == self.entry.zone for member in self.core.membership.members)
        return max(1.0, members / zone.front_ends) if zone and zone.front_ends else 1.0

    # --- time -----------------------------------------------------------------------------------

    def _tick(self) -> None:
        if self._stopped:
            return
        now = monotonic_ms()
        sizes = roster_closing.zone_sizes(self.front.roster_overlay.members.values())
        self._carry_out(
            self.core.tick(now, self.evidence_collector.evidence(now), sizes, now - self._told_ms)
        )
        self._set_timer()

    def _turned(self, now_ms: float) -> None:
        """This front end's view of a zone has: it is told before its time."""
        self.core.report_soon(now_ms)
        self._set_timer()

    def _set_timer(self) -> None:
        due = max(self.core.due_ms(), monotonic_ms() + 1.0)
        if self._timer is not None and self._timer.callback and self._timer_ms <= due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_ms = due
        self._timer = self.front.loop.timers.after(due - monotonic_ms(), self._tick)

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SaveVoterState):
                if not self._keep(effect):
                    return  # nothing that rests on it may be said
            elif isinstance(effect, PublishLine | SendVoterMessage):
                self._write_out(effect)
            elif isinstance(effect, FollowPlan):
                self._go_by(effect)
            elif isinstance(effect, LogEvent):
                self._note_once(effect)
            elif isinstance(effect, MessagesReceived | RegisterDecided):
                self._pass_on(effect)
        for rider in list(self.log_clients.values()):
            rider.on_role_changed()

    def _write_out(self, effect: PublishLine | SendVoterMessage) -> None:
        line = effect.line
        if isinstance(effect, PublishLine):
            kind = "plan" if line.plan is not None else "report" if line.report is not None else None
            self.public.write(msgspec.to_builtins(line), counts_as=kind)
        elif self.ballots:
            self.ballots.write(msgspec.to_builtins(line))

    def _pass_on(self, effect: MessagesReceived | RegisterDecided) -> None:
        """Hand a client of the logs what is for it."""
        if isinstance(effect, MessagesReceived):
            if rider := self.log_clients.get(effect.client):
                rider.on_messages(effect.sender, effect.messages, effect.status)
        elif rider := self.log_clients.get(effect.kind):
            rider.on_register_decided(effect.text)

    # --- for riders -----------------------------------------------------------------------------

    def send_messages(self, words: list[ClientMessage]) -> None:
        """Send a client's messages by this member's log: voters hear all, the others hear the voters."""
        self._write_line(messages=words)

    def publish_status(self, standing: Any, rider: str = POLICY) -> None:
        """Tell a client's status, to whoever comes, until its next one."""
        self._write_line(rider, **{rider: standing})

    def _write_line(self, counts_as: str | None = None, **parts: Any) -> None:
        if not self._stopped and self.public is not None:
            line = LogLine(self.core.membership.fleet, self.entry.name, **parts)
            self.public.write(msgspec.to_builtins(line), counts_as=counts_as)

    def consensus_status(self, now_ms: float) -> ConsensusStatus:
        """The state of this member's voter; a blank one after its disk has failed."""
        return ConsensusStatus() if self._failed else self.core.consensus_status(now_ms)

    def propose_register(self, text: str, kind: str = POLICY) -> bool:
        """Propose a register to the consensus log; False where it never came into the log."""
        put, effects = self.core.propose_register(monotonic_ms(), text, kind)
        self._carry_out(effects)
        self._set_timer()
        return put

    def _keep(self, effect: SaveVoterState) -> bool:
        try:
            if not self._failed:
                self.disk.save(effect.saved)
        except DiskError as error:
            self._failed = True
            self.note("disk failed: no part in votes until a restart", {"why": str(error)})
            self.core.stop_voting()
        return not self._failed

    def _note_once(self, note: LogEvent) -> None:
        now = monotonic_ms()
        if note.rate_limited:
            if now - self._noted.get(note.event, -1e9) < LINE_S * 1000:
                return
            self._noted[note.event] = now
        self.note(note.event, note.fields)

    # --- others' logs ---------------------------------------------------------------------------

    def _follow_members(self) -> None:
        """Voters follow all, the others follow the voters; who is no member any more is left."""
        wanted: dict[tuple[str, bool], str] = {}
        for member in self.core.membership.members:
            if member.name == self.entry.name:
                continue
            if self.entry.ballots or member.ballots:
                wanted[member.name, False] = member.address
            if self.entry.ballots and member.ballots:
                wanted[member.name, True] = member.ballots
        for key in [key for key in self._feeds if key not in wanted]:
            self._feeds.pop(key).close()
        for key, place in wanted.items():
            address = address_from(place, "members.address")
            if key in self._feeds:
                self._feeds[key].move(address)
                continue
            feed = MemberLogFollower(self.front.loop, address, self._taker(*key), self._dropped)
            self._feeds[key] = feed
            feed.connect()

    def _taker(self, name: str, ballots: bool) -> Callable[[Any], None]:
        def take(line: Any) -> None:
            try:
                receive = self.core.receive_voter_line if ballots else self.core.receive_line
                effects = receive(monotonic_ms(), name, line)
            except LogLineError:
                self.core.state.drop_counts.add(DropCause.MALFORMED_LINE)
                raise
            self._carry_out(effects)
            self._set_timer()

        return take

    def _dropped(self, text: str) -> None:
        now = monotonic_ms()
        if now - self._noted.get("line", -1e9) >= LINE_S * 1000:
            self._noted["line"] = now
            self.note("line dropped", {"why": text, "counts": dict(self.core.state.drop_counts.dropped)})

    # --- files ----------------------------------------------------------------------------------

    def _look_at_files(self) -> None:
        if self._stopped:
            return
        if (data := self._members_file.changed()) is not None:
            self._take(data, "members", lambda: self._new_members(s.membership_from(data)))
        if (data := self._wishes_file.changed()) is not None:
            zones = set(self.core.membership.zones)
            self._take(
                data,
                "wishes",
                lambda: self._carry_out(
                    self.core.take_operator_request(s.operator_request_from(data, zones))
                ),
            )
        for feed in self._feeds.values():
            feed.run_maintenance()
        self._set_timer()
        self.front.loop.timers.after(FILES_MS, self._look_at_files)

    def _take(self, data: bytes, what: str, take: Callable[[], None]) -> None:
        try:
            take()
        except s.SettingsFileError as error:
            self.note(f"{what} left aside, the old ones go on", {"fault": str(error)})

    def _new_members(self, members: s.Membership) -> None:
        now = members.named(self.entry.name)
        if now is None or now.zone != self.entry.zone:
            self.note(
                "members left aside, the old ones go on", {"fault": f"{self.entry.name} is not as it was"}
            )
            return
        self._carry_out(self.core.take_membership(members))
        self._follow_members()
        for rider in list(self.log_clients.values()):
            rider.on_membership_changed()
