"""Runs a front end's part in policy rollouts: carries out the effects of the member and keeps its timers.

Messages are sent through the members' logs of `zones`; decisions are made in its consensus log.
"""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

import msgspec

from fawnwharf import interface as io
from fawnwharf.config import Deployment
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.requests import RequestTable
from fawnwharf.net.timer_wheel import Timer, monotonic_ms, unix_ms
from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.call_binding import (
    CallPolicyBinding,
    CallTable,
    class_spec_for_document,
    with_bound_classes,
)
from fawnwharf.policy_rollout.call_trace import CallTrace
from fawnwharf.policy_rollout.delayed_relaxation import ReplicationRule
from fawnwharf.policy_rollout.document import DeploymentCapabilities, make_document
from fawnwharf.policy_rollout.message_batcher import MessageBatcher
from fawnwharf.policy_rollout.policy_applier import PolicyApplier, ReplicatedCalls
from fawnwharf.policy_rollout.policy_file import PolicyFile
from fawnwharf.policy_rollout.rate_limited_log import RateLimitedLog, WriteEntry
from fawnwharf.policy_rollout.request_file import REQUEST_FILE, RequestFile
from fawnwharf.policy_rollout.rollout_member import RolloutMember
from fawnwharf.policy_rollout.settings import RolloutSettings
from fawnwharf.policy_rollout.status_publisher import StatusPublisher
from fawnwharf.zones.service import ZoneService

NAME = "policy"
POLL_INTERVAL_MS = 200.0  # interval at which the operators' request file is read
TRACE_FLUSH_INTERVAL_MS = 100.0
# When the front end becomes ready without a lease, waiting calls wait this long for the first lease. After
# that they are submitted under the stricter policy that applies without one.
FIRST_LEASE_WAIT_MS = 50.0
# A front end that is not ready logs the reason after this time, and again after each further interval.
NOT_READY_LOG_INTERVAL_MS = 3_000.0
# For this long after a change of classes, the replication gate may still pass on calls that are bound to the
# previous classes. Each of them is placed between two changes of its class (`with_bound_classes`).
REBIND_CLASSES_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class RolloutContext:
    """What a running rollout uses but does not own."""

    deployment: Deployment
    settings: RolloutSettings
    front: FrontEnd
    zones: ZoneService
    state: ReplicatedCalls | None  # None if calls are not replicated
    file: PolicyFile
    trace: CallTrace | None
    log: WriteEntry

    @property
    def request_path(self) -> Path:
        """The operators' request file."""
        folder: Path = self.zones.folder
        return folder / REQUEST_FILE

    def member_names(self) -> tuple[str, ...]:
        """The current members of the fleet."""
        return tuple(member.name for member in self.zones.core.membership.members)


class RunningRollout:
    """Owns the rollout member, the binding of calls and the timers; a client of the members' logs."""

    def __init__(self, context: RolloutContext, capabilities: Callable[[], DeploymentCapabilities]) -> None:
        """Attach to the front end's event loop; `capabilities` returns the deployment's current ones."""
        self._context = context
        self._capabilities = capabilities
        self._front = context.front
        self._zones = context.zones
        self._log = RateLimitedLog(context.log)
        self._trace = context.trace
        self._started_ms = monotonic_ms()
        self._rebind_until_ms = 0.0
        self._timer: Timer | None = None
        self._timer_ms = 0.0
        self._stopped = False
        is_voter = context.zones.core.voter is not None
        self.member = RolloutMember(
            context.zones.entry.name,
            context.member_names(),
            capabilities(),
            context.settings.timing,
            context.file.incarnation,
            context.zones.consensus_status,
            is_voter,
            context.file.register,
            context.file.rules,
        )
        timers = self._front.loop.timers
        self._batcher = MessageBatcher(self._front.loop, context.zones, self._report_drop)
        self._publisher = StatusPublisher(timers, context.zones, self.member.status)
        self.applier = PolicyApplier(context.deployment, self._front, context.zones, context.state)
        self._decision_classes = dict(self.applier.classes)  # the classes that the decision module has
        self._front.client_port.not_ready_reasons.add(NAME)
        self.call_binding = CallPolicyBinding(self._front.client_port.requests, self, unix_ms, timers.after)
        self._set_call_table(self.call_binding)
        self._zones.log_clients[NAME] = self
        self._requests = RequestFile(context.request_path, context.log, self.member, self._carry_out)
        context.log("policy on", {"life": context.file.incarnation, "voter": is_voter})

    def start(self) -> None:
        """Start the timers."""
        self._tick()
        self._poll_files()
        self._log_not_ready()
        if self._trace is not None:
            self._flush_trace_later(self._trace)

    def close(self) -> None:
        """Stop, reject the waiting calls, and restore the configured values in the other parts."""
        self._stopped = True
        self._publisher.stop()
        self.call_binding.reject_waiting()
        table: CallTable = self._front.client_port.requests
        if table is self.call_binding:
            self._set_call_table(self.call_binding.inner)
        self._front.client_port.not_ready_reasons.discard(NAME)
        self.applier.reset_to_configured(self.member.capabilities.configured_defaults)
        if self._trace is not None:
            self._flush_trace(self._trace)

    def _set_call_table(self, table: CallTable) -> None:
        """Make the client port submit calls to this table; the port uses only the methods of `CallTable`."""
        self._front.client_port.requests = cast(RequestTable, table)

    @property
    def active_policy(self) -> m.ActivePolicy:
        """The policy that applies to calls now, with absent keys filled in from the settings."""
        return self.member.holder.policy_at(monotonic_ms())

    @property
    def ready(self) -> bool:
        """Whether a leader's coordinator has sent the last decided document."""
        return self.member.holder.ready

    # --- calls ----------------------------------------------------------------------------------

    def bind(self, call: str) -> m.ActivePolicy:
        """Bind a call to the current policy, which applies until the call ends."""
        now_ms = monotonic_ms()
        holder = self.member.holder
        if (
            now_ms >= holder.lease.expires_ms
            and holder.active is not None
            and holder.active.basis == "leased"
        ):
            self._tick()  # the lease has expired before its timer fired
        return holder.bind_call(now_ms, call)

    def release_call(self, call: str) -> None:
        """Forget the policy of a call."""
        self.member.holder.release_call(call)

    def record_call_end(self, call: bytes, policy: m.ActivePolicy, bound_unix_ms: float) -> None:
        """Add a call that ended to the call trace; `bound_unix_ms` is when its policy was bound."""
        if self._trace is not None:
            self._trace.add(call.hex(), policy, bound_unix_ms, unix_ms())

    def events(self, events: list[io.Event]) -> None:
        """Have calls that waited in the replication gate decided by the classes that they are bound to."""
        if monotonic_ms() < self._rebind_until_ms:
            events[:] = with_bound_classes(events, self._decision_classes, self._bound_class_spec)

    def _bound_class_spec(self, event: io.RequestArrived) -> io.ClassSpec | None:
        """The class of a call under its policy; None if that is unknown."""
        request = self._front.requests.open.get(event.request)
        base = self._context.deployment.settings.classes.get(event.class_name)
        if request is None or base is None or request.call.context is None:
            return None
        return class_spec_for_document(base, request.call.context.document)

    def _flush_trace_later(self, trace: CallTrace) -> None:
        """Flush the trace now and after each interval."""
        if not self._stopped:
            self._flush_trace(trace)
            self._front.loop.timers.after(TRACE_FLUSH_INTERVAL_MS, lambda: self._flush_trace_later(trace))

    def _flush_trace(self, trace: CallTrace) -> None:
        try:
            trace.flush()
        except OSError as error:
            fields = {"reason": error.strerror, "dropped": trace.dropped}
            self._log.write_limited("call trace not written", fields)

    # --- as a client of the zones' logs ---------------------------------------------------------

    def on_messages(self, sender: str, messages: tuple[Any, ...], status: Any) -> None:
        """Handle another member's messages and its status."""
        now_ms = monotonic_ms()
        dropped = sum(self.member.dropped.values())
        effects = self.member.receive(now_ms, sender, messages)
        if status is not None:
            self.member.receive_status(now_ms, sender, status)
        if sum(self.member.dropped.values()) > dropped:
            fields = {"sender": sender, "counts": dict(self.member.dropped)}
            self._log.write_limited("message dropped", fields)
        self._carry_out(effects)

    def on_register_decided(self, text: str) -> None:
        """Handle a register that the consensus log decided."""
        self._carry_out(self.member.receive_decision(monotonic_ms(), text))

    def on_role_changed(self) -> None:
        """Handle a possible gain or loss of leadership by this member's voter."""
        if not self._stopped and (effects := self.member.leadership_changed(monotonic_ms())):
            self._carry_out(effects)

    def on_membership_changed(self) -> None:
        """Handle a change of the list of members."""
        self._batcher.forget_sent_grants()
        capabilities = self._capabilities()
        before = self.member.capabilities
        # The modes are those from the start: the gate's present modes already follow the policy.
        modes = {path: value for path, value in before.configured_defaults.values if path[0] == "modes"}
        base = make_document(0, dict(capabilities.configured_defaults.values) | modes)
        changed = msgspec.structs.replace(before, zones=capabilities.zones, configured_defaults=base)
        names = self._context.member_names()
        self._carry_out(self.member.set_members(monotonic_ms(), names, changed))

    # --- time -----------------------------------------------------------------------------------

    def _tick(self) -> None:
        if not self._stopped:
            self._carry_out(self.member.tick(monotonic_ms()))

    def _set_timer(self) -> None:
        """Set the timer for the next tick, unless the present timer fires early enough."""
        now_ms = monotonic_ms()
        due_ms = max(self.member.due_ms(), now_ms + 1.0)
        if self._timer is not None:
            if self._timer.callback and now_ms < self._timer_ms <= due_ms:
                return
            self._timer.cancel()
        self._timer_ms = due_ms
        self._timer = self._front.loop.timers.after(due_ms - now_ms, self._tick)

    def _poll_files(self) -> None:
        if self._stopped:
            return
        self._requests.poll()
        self._apply_replication()  # a replica may have been created since
        self._front.loop.timers.after(POLL_INTERVAL_MS, self._poll_files)

    def _log_not_ready(self) -> None:
        """Log why this front end is not ready, and which voters publish no policy status."""
        if self._stopped:
            return
        if not self.ready and monotonic_ms() - self._started_ms >= NOT_READY_LOG_INTERVAL_MS:
            statuses = self.member.statuses
            own = self._zones.entry.name
            voters = [entry.name for entry in self._zones.core.membership.voters if entry.name != own]
            fields = {
                "reason": self.member.holder.error or "no leader's rollout coordinator has sent the policy",
                "leaders": [name for name, status in statuses.items() if status.term],
                "voters without policy status": sorted(name for name in voters if name not in statuses),
            }
            self._log.write("policy: not ready", fields)
        self._front.loop.timers.after(NOT_READY_LOG_INTERVAL_MS, self._log_not_ready)

    # --- effects --------------------------------------------------------------------------------

    def _carry_out(self, effects: list[m.Effect]) -> None:
        """Carry out effects of the member and update what depends on its state."""
        for effect in effects:
            match effect:
                case m.Send():
                    self._batcher.send(effect)
                case m.ProposeRegister():
                    if not self._zones.propose_register(effect.register):
                        self._carry_out(self.member.proposal_not_logged(monotonic_ms()))
                case m.StoreRegister():
                    self._store(effect.register)
                case m.ActivePolicy():
                    self._apply(effect)
                case m.RolloutLogEvent():
                    self._log.write(effect.event, effect.fields)
        self._apply_replication()
        self._update_readiness()
        self._publisher.publish()
        self._set_timer()

    def _update_readiness(self) -> None:
        """Update the port's not-ready reasons, and submit waiting calls once ready."""
        reasons = self._front.client_port.not_ready_reasons
        if not self.ready:
            reasons.add(NAME)
            return
        reasons.discard(NAME)
        if not self.call_binding.waiting:
            return
        if self.active_policy.basis == "leased":
            self.call_binding.submit_waiting()
        else:  # the first lease arrives one round trip later
            self._front.loop.timers.after(FIRST_LEASE_WAIT_MS, self._submit_waiting_calls)

    def _submit_waiting_calls(self) -> None:
        if self.ready and not self._stopped:
            self.call_binding.submit_waiting()

    def _apply_replication(self) -> None:
        rules = dict(self.member.holder.relaxation.effective)
        if self._context.state is not None:
            self._store_rules(rules)
        self.applier.apply_replication(rules)

    def _store_rules(self, rules: dict[str, ReplicationRule]) -> None:
        """Store the rules before a call is accepted under them."""
        try:
            self._context.file.store_rules(rules)
        except OSError as error:
            self._log.write_limited("policy not stored", {"reason": error.strerror})

    def _apply(self, policy: m.ActivePolicy) -> None:
        if self.applier.apply(policy.document):
            self._rebind_until_ms = monotonic_ms() + REBIND_CLASSES_MS
        fields = {"number": policy.number, "digest": policy.digest, "how": policy.basis, "ready": self.ready}
        self._log.write("policy", fields)

    def _store(self, register: str) -> None:
        try:
            self._context.file.store(register)
        except OSError as error:
            self._log.write_limited("policy not stored", {"reason": error.strerror})

    def _report_drop(self, reason: str) -> None:
        self._log.write_limited("messages dropped", {"reason": reason})
