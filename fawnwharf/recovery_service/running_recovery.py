"""Recovery in a running front end: carries messages, ticks and effects between the agent and other parts."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import msgspec

from fawnwharf import interface as io
from fawnwharf.config import Fleet
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.requests import RequestTable
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.recovery_core.phases import LogEvent, ProposeRegister
from fawnwharf.recovery_core.queries import QueryState, QueryTopic
from fawnwharf.recovery_core.register import RecoveryPhase
from fawnwharf.recovery_core.trust import StateKind, StoreCondition
from fawnwharf.recovery_service.agent import RecoveryAgent
from fawnwharf.recovery_service.agent_actions import (
    ApplyPhase,
    DropReason,
    Effect,
    PositionReported,
    SendMessage,
)
from fawnwharf.recovery_service.agent_settings import AgentIdentity, AgentSettings
from fawnwharf.recovery_service.call_outcomes import CallOutcomeRecorder
from fawnwharf.recovery_service.counters import FrontEndCounters
from fawnwharf.recovery_service.front_end_integration import AppliedPhase, FrontEndIntegration
from fawnwharf.recovery_service.hints import (
    ENTRY_KEY,
    RosterRecorder,
    UsageRecorder,
    stored_roster,
    stored_usage,
)
from fawnwharf.recovery_service.local_status import LocalStatusReader
from fawnwharf.recovery_service.messages import (
    LOG_CLIENT,
    DisplayedStatus,
    RecoveryMessage,
    recovery_message_from,
)
from fawnwharf.recovery_service.rate_limited_log import RateLimitedLog, WriteLog
from fawnwharf.recovery_service.recovery_store import RecoveryStore
from fawnwharf.recovery_service.settings import Settings
from fawnwharf.recovery_service.status_display import displayed_status
from fawnwharf.replication.service import ReplicationService
from fawnwharf.zones.log_lines import RECOVERY, ClientMessage
from fawnwharf.zones.service import ZoneService

DISPLAY_INTERVAL_MS = 200.0  # least interval between two status updates for operators
MAX_MESSAGES_PER_LINE = 200

Receive = Callable[[float, str, RecoveryMessage], list[Effect]]


@dataclass(frozen=True, slots=True)
class RecoveryParts:
    """The parts of the front end that recovery uses."""

    zones: ZoneService
    state: ReplicationService
    store: RecoveryStore


class RunningRecovery:
    """Runs the agent with its timer and outgoing messages; a client of the zones and replication logs."""

    def __init__(self, front: FrontEnd, parts: RecoveryParts, settings: Settings, write: WriteLog) -> None:
        """Start on the front end's event loop; the other parts must already be attached."""
        self.front = front
        self.parts = parts
        self.settings = settings
        self._log = RateLimitedLog(write)
        site = front.deployment.settings
        weights = {name: spec.priority_weight for name, spec in site.classes.items()}
        self.counters = FrontEndCounters(weights, site.slow_start_ms)
        earlier_use = stored_usage(parts.store.read(StateKind.USAGE))
        self._status = LocalStatusReader(
            parts.zones, parts.state, parts.store, self.counters, knows_earlier_use=bool(earlier_use)
        )
        self._roster_received = False
        self._earlier_roster_tried = False
        self.roster = RosterRecorder()
        self._use = UsageRecorder(monotonic_ms())
        self._normal_since_ms: float | None = None
        self._messages: list[ClientMessage] = []
        self.displayed: DisplayedStatus | None = None
        self._displayed_ms = float("-inf")
        self._timer: Timer | None = None
        self._timer_due_ms = 0.0
        self._stopped = False
        front.client_port.not_ready_reasons.add(RECOVERY)
        front.change_log.expects_renumbering = True
        self.agent = self._create_agent(weights)
        incarnation = parts.store.incarnation
        self.integration = FrontEndIntegration(front, parts.state, settings, incarnation)
        self.integration.request_earlier_use(earlier_use)
        self.calls = CallOutcomeRecorder(self.integration.admission, site.classes, self.counters.call_ended)
        # The port's annotation names the request table, but it uses only the methods of a request sink.
        front.client_port.requests = cast(RequestTable, self.calls)
        parts.zones.log_clients[RECOVERY] = self
        parts.state.log_clients[LOG_CLIENT] = self.on_replication_message
        self._log_start()
        self._tick()

    def _create_agent(self, weights: dict[str, float]) -> RecoveryAgent:
        zones, store, pace = self.parts.zones, self.parts.store, self.settings.pace
        identity = AgentIdentity(zones.entry.name, zones.core.membership.fleet, store.incarnation, store.boot)
        settings = AgentSettings(
            weights, self.settings.timing.of_phases, pace.of_queries, pace.stand_ms, pace.stage_ms
        )
        status = self._status.read(self.front, roster_received=False)
        lists = self._status.member_lists()
        return RecoveryAgent(identity, settings, lists, zones.consensus_status, status, monotonic_ms())

    def _log_start(self) -> None:
        store = self.parts.store
        fields = {
            "incarnation": store.incarnation,
            "boot": store.boot,
            "same_boot": store.same_boot,
            "store": store.condition.value,
            "why": store.doubt,
        }
        self._log.write("recovery enabled", fields)

    def close(self) -> None:
        """Stop; open calls may still be withdrawn by their keys."""
        if self._stopped:
            return
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        self.calls.counting = False
        self.integration.close()
        self.front.client_port.not_ready_reasons.discard(RECOVERY)
        self.parts.zones.log_clients.pop(RECOVERY, None)
        self.parts.state.log_clients.pop(LOG_CLIENT, None)

    # --- rosters, events and hints --------------------------------------------------------------

    def update_roster(self) -> None:
        """Handle a roster that the change log sent in this incarnation."""
        self._roster_received = True
        self.roster.update(Fleet(list(self.front.roster_overlay.members.values()), True))
        self.integration.update_roster()

    def events(self, events: list[io.Event]) -> None:
        """Handle a batch of the decision module's events."""
        if self._stopped:
            return
        now_ms = monotonic_ms()
        for event in events:
            scorer = getattr(event, "scorer", None)
            age_ms = self.integration.age_ms(scorer) if scorer is not None else 0.0
            self.counters.event(now_ms, event, age_ms)
            if isinstance(event, io.RequestArrived):
                self._use.record(now_ms, event.function, event.class_name)
            elif isinstance(event, io.ShutdownStarted):
                self.integration.admission.shut_down(event.within_ms)
        self.integration.events(now_ms, events)

    def _use_earlier_roster(self) -> None:
        """Use the scorers of the stored roster, because no roster arrived since the start.

        All of them count as just started.
        """
        self._earlier_roster_tried = True
        if self.front.roster_overlay.members:
            return
        up_ms = self.front.loop.clock.now_ms()
        members = [
            msgspec.structs.replace(member, up_since_ms=up_ms)
            for member in stored_roster(self.parts.store.read(StateKind.ROSTER))
        ]
        if members:
            self.front.apply_roster_event(Fleet(members, True))
            self.parts.zones.on_fleet(Fleet(members, True))
            self.integration.update_roster()
            self._log.write("earlier roster used", {"scorers": len(members)})

    def _store_hints(self, now_ms: float) -> None:
        roster = self.roster.due(now_ms)
        if roster is not None:
            self.parts.store.keep(StateKind.ROSTER, ENTRY_KEY, roster)
        use = self._use.due(now_ms)
        if use is not None:
            self.parts.store.keep(StateKind.USAGE, ENTRY_KEY, use)

    def _confirm_store(self) -> None:
        """Mark the store complete again once other members have confirmed it; used in normal operation."""
        if self.agent.store_confirmed():
            self.parts.store.confirm()
            self._log.write("recovery store confirmed", {})

    # --- the logs -------------------------------------------------------------------------------

    def on_messages(self, sender: str, words: tuple[Any, ...], _standing: Any) -> None:
        """Handle messages from the zones log of a member."""
        for data in words:
            self._receive(sender, data, self.agent.receive_by_zones)

    def on_replication_message(self, _now_ms: float, sender: str, _incarnation: int, data: Any) -> None:
        """Handle a message from the replication log of a member."""
        self._receive(sender, data, self.agent.receive_by_replication)

    def _receive(self, sender: str, data: Any, receive: Receive) -> None:
        if self._stopped:
            return
        drops = self.agent.drops
        before = drops.total()
        effects: list[Effect] = []
        try:
            effects = receive(monotonic_ms(), sender, recovery_message_from(data))
        except msgspec.ValidationError:
            drops[DropReason.MALFORMED] += 1
        if drops.total() > before:
            self._log.write_limited("message dropped", lambda: {"sender": sender, "counts": dict(drops)})
        self._carry_out(effects)

    def on_register_decided(self, text: str) -> None:
        """Handle a recovery register that the consensus log decided."""
        self._carry_out(self.agent.decided(monotonic_ms(), text))

    def on_role_changed(self) -> None:
        """Handle that the local voter may have gained or lost the leadership."""
        if self._stopped:
            return
        effects = self.agent.update_term(monotonic_ms())
        if effects:
            self._carry_out(effects)

    def on_membership_changed(self) -> None:
        """Use a later membership."""
        self._carry_out(self.agent.update_members(monotonic_ms(), self._status.member_lists()))

    # --- ticks and effects ----------------------------------------------------------------------

    def _tick(self) -> None:
        if self._stopped:
            return
        now_ms = monotonic_ms()
        calm_ms = 0.0 if self._normal_since_ms is None else now_ms - self._normal_since_ms
        is_normal = self._normal_since_ms is not None and calm_ms >= self.settings.timing.most_ms
        self.calls.counting = not is_normal
        self.counters.normal_operation = is_normal
        if is_normal:
            self._store_hints(now_ms)
            if self.parts.store.condition is StoreCondition.PARTIAL:
                self._confirm_store()
        roster_state = self.agent.queries.state(QueryTopic.ROSTER)
        if not self._earlier_roster_tried and roster_state is QueryState.TIMED_OUT:
            self._use_earlier_roster()
        status = self._status.read(self.front, roster_received=self._roster_received)
        self._carry_out(self.agent.tick(now_ms, status))
        self._log.write_limited("recovery admission", self.integration.admission.take_recent_counts)

    def _set_timer(self) -> None:
        now_ms = monotonic_ms()
        due_ms = max(self.agent.due_ms(now_ms), now_ms + 1.0)
        if self._timer is not None:
            if self._timer.callback and now_ms < self._timer_due_ms <= due_ms:
                return
            self._timer.cancel()
        self._timer_due_ms = due_ms
        self._timer = self.front.loop.timers.after(due_ms - now_ms, self._tick)

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                self._send(effect)
            elif isinstance(effect, ProposeRegister):
                if not self.parts.zones.propose_register(effect.register, RECOVERY):
                    self.agent.proposal_dropped()
            elif isinstance(effect, ApplyPhase):
                self._apply(effect)
            elif isinstance(effect, PositionReported):
                self.parts.store.receive_position(effect.position)
            elif isinstance(effect, LogEvent):
                self._log.write(effect.event, effect.fields)
        self._display()
        self._set_timer()

    def _apply(self, effect: ApplyPhase) -> None:
        if effect.phase is not RecoveryPhase.NORMAL:
            self._normal_since_ms = None
        elif self._normal_since_ms is None:
            self._normal_since_ms = monotonic_ms()
        if effect.allowed.status:
            self.front.client_port.not_ready_reasons.discard(RECOVERY)
        else:
            self.front.client_port.not_ready_reasons.add(RECOVERY)
        self.integration.apply(
            AppliedPhase(effect.allowed, effect.power_loss, effect.front_ends, effect.assignment)
        )

    # --- what is sent ---------------------------------------------------------------------------

    def _send(self, effect: SendMessage) -> None:
        """Send through the zones log at the end of the loop iteration, or the replication log at once."""
        message = msgspec.to_builtins(effect.message)
        if effect.by_zones:
            self._messages.append(ClientMessage(message, effect.to, RECOVERY))
            self.front.loop.schedule_flush(self)
        else:
            self.parts.state.send_message(LOG_CLIENT, effect.to, message)

    def flush(self) -> None:
        """Send the messages of this event loop iteration, in order."""
        messages, self._messages = self._messages, []
        if self._stopped:
            return
        for start in range(0, len(messages), MAX_MESSAGES_PER_LINE):
            self.parts.zones.send_messages(messages[start : start + MAX_MESSAGES_PER_LINE])

    def _display(self) -> None:
        """Publish the status for operators if it has changed and an update is due."""
        now_ms = monotonic_ms()
        if self._stopped or now_ms - self._displayed_ms < DISPLAY_INTERVAL_MS:
            return  # a later tick publishes it
        displayed = displayed_status(self.agent, now_ms)
        if displayed != self.displayed:
            self.displayed = displayed
            self._displayed_ms = now_ms
            self.parts.zones.publish_status(msgspec.to_builtins(displayed), RECOVERY)
