"""Policy rollouts in a running front end.

Messages by the zones' logs, files, and what follows for its parts.
"""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from fawnwharf import interface as io
from fawnwharf.config import ConfigError, Deployment, Fleet
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.timer_wheel import Timer, monotonic_ms, unix_ms
from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout import policy_file
from fawnwharf.policy_rollout.call_binding import CallPolicyBinding, class_spec_under, with_bound_classes
from fawnwharf.policy_rollout.call_trace import CallTrace
from fawnwharf.policy_rollout.document import (
    DeploymentCapabilities,
    Document,
    document_from_object,
    find_incompatibility,
)
from fawnwharf.policy_rollout.message_batcher import MessageBatcher
from fawnwharf.policy_rollout.policy_applier import PolicyApplier, deployment_capabilities
from fawnwharf.policy_rollout.rollout_member import RolloutMember
from fawnwharf.policy_rollout.settings import RolloutSettings, decode_operator_request, decode_settings
from fawnwharf.zones.files import WatchedFile, load_file
from fawnwharf.zones.settings import SettingsFileError

NAME = "policy"
POLICY_FILE, REQUEST_FILE = "policy.json", "proposal.json"
FILES_MS = 200.0  # pace of the look at the operators' file
TRACE_MS = 100.0  # pace of writing
LEASE_MS = 50.0  # one that was told what is in force waits for so long for a lease, before it judges calls
STAND_MS = 40.0  # how this one stands is told no more often than that
ALONE_MS = 3_000.0  # without a leader's word for so long it is said who is missing, and how often
MIXED_MS = 10_000.0  # for so long after a change of classes, calls of before may come from the gate
LINE_S = 1.0  # one note a second of each kind

Write = Callable[[str, dict[str, Any]], None]


class PolicyRolloutService:
    """Owns this front end's part in policy rollouts.

    A Seam of the front end, and a client of the zones' logs.
    """

    def __init__(self, deployment: Deployment, path: str | Path, write: Write, made: dict[str, Any]) -> None:
        """Read and check the files; raises ConfigError with one line.

        `made` has the other parts by name, of which `zones` has to be there already.
        """
        self.deployment, self.note, self._made = deployment, write, made
        self.settings: RolloutSettings = load_file(Path(path), decode_settings, NAME)
        self.zones = made["zones"]
        self._kept_file = self.zones.folder / POLICY_FILE
        self._said_file = WatchedFile(self.zones.folder / REQUEST_FILE)
        before = policy_file.read_policy_file(self._kept_file)
        self._register = before.register
        self.life = max(time.time_ns() // 1_000, before.life + 1)
        try:
            policy_file.write_policy_file(
                self._kept_file, policy_file.StoredPolicy(life=self.life, register=self._register)
            )
        except OSError as error:
            raise ConfigError(f"{NAME}: {self._kept_file}: {error.strerror}") from None
        self.trace = self._open_trace(Path(path).parent)
        self.front: FrontEnd | None = None
        self.agent: RolloutMember | None = None
        self.calls: CallPolicyBinding | None = None
        self._follower: PolicyApplier | None = None
        self._module: dict[str, io.ClassSpec] = {}  # as the module has it
        self._mixed_ms = 0.0
        self._outbox: MessageBatcher | None = None
        self._told: m.MemberStatus | None = None
        self._told_ms = -1e9
        self._stands_later = False
        self._wish = 0  # the largest number of an operator's word that was read
        self._noted: dict[str, float] = {}
        self._began_ms = 0.0
        self._timer: Timer | None = None
        self._timer_ms = 0.0
        self._stopped = False

    def _open_trace(self, folder: Path) -> CallTrace | None:
        """The trace that the settings name; raises ConfigError where it can't be written."""
        if not self.settings.trace:
            return None
        place = folder / self.settings.trace
        try:
            return CallTrace(place)
        except OSError as error:
            raise ConfigError(f"{NAME}.trace: {place}: {error.strerror}") from None

    # --- what other parts read ------------------------------------------------------------------

    @property
    def in_force(self) -> m.ActivePolicy:
        """By what calls are judged at this moment, over the settings."""
        return self.agent.holder.judged_by(monotonic_ms())

    @property
    def staging(self) -> dict[str, float]:
        """Budgets of prefetching by their keys in the document; absent ones are as the settings have them."""
        return self.in_force.document.section("staging")

    def _known(self) -> DeploymentCapabilities:
        foreseen = getattr(self._made.get("sessions"), "foreseen", None)
        budgets = foreseen.staging.budgets if foreseen is not None else None
        return deployment_capabilities(self.deployment, self.zones, self._made.get("state"), budgets)

    @property
    def ready(self) -> bool:
        """Whether a leader's coordinator has told what is in force."""
        return self.agent.holder.ready

    # --- life -----------------------------------------------------------------------------------

    def attach(self, front: FrontEnd) -> None:
        """Begin on the front end's loop; zones and state are attached already."""
        self.front, self._began_ms = front, monotonic_ms()
        core, state, known = self.zones.core, self._made.get("state"), self._known()
        self.agent = RolloutMember(
            self.zones.entry.name, self._names(), known, self.settings.timing, self.life,
            self.zones.consensus_status, core.voter is not None, self._register,
        )  # fmt: skip
        self._outbox = MessageBatcher(front.loop, self.zones, self._too_much)
        self._follower = PolicyApplier(self.deployment, front, self.zones, state)
        self._module = dict(self._follower.classes)
        front.client_port.not_ready_reasons.add(NAME)
        below = front.client_port.requests
        self.calls = CallPolicyBinding(
            below, self._take, self.agent.holder.done, self._ended, unix_ms, front.loop.timers.after
        )
        front.client_port.requests = self.calls
        self.zones.log_clients[NAME] = self
        if self._said_file.changed() is not None:
            self.note("proposal left aside", {"why": "it was said before this start"})
        self.note("policy on", {"life": self.life, "voter": core.voter is not None})
        self._tick()
        self._look_at_files()
        self._look_alone()
        if self.trace:
            self._write_trace()

    def _names(self) -> tuple[str, ...]:
        return tuple(member.name for member in self.zones.core.membership.members)

    def close(self) -> None:
        """Stop, refuse the held calls, and restore the settings in the other parts."""
        self._stopped = True
        if self.front is not None:
            self.calls.refuse()
            if self.front.client_port.requests is self.calls:
                self.front.client_port.requests = self.calls.below
            self.front.client_port.not_ready_reasons.discard(NAME)
            self._follower.undo(self.agent.known.base)
        if self.trace:
            self._flush_trace()
            self.trace.close()

    # --- the seam -------------------------------------------------------------------------------

    def on_fleet(self, fleet: Fleet) -> None:
        """Changes of the roster matter nothing here."""
        ...

    def on_events(self, events: list[io.Event]) -> None:
        """Hand calls that waited at the claim gate through a change over as they are judged."""
        if monotonic_ms() < self._mixed_ms:
            events[:] = with_bound_classes(events, self._module, self._own_spec)

    @property
    def busy(self) -> bool:
        """Whether calls are held; the table and the gate know of the others."""
        return self.calls is not None and self.calls.held > 0  # the table and the gate know of the others

    def _own_spec(self, event: io.RequestArrived) -> io.ClassSpec | None:
        request = self.front.requests.open.get(event.request)
        base = self.deployment.settings.classes.get(event.class_name)
        if request is None or base is None or request.call.judged is None:
            return None
        return class_spec_under(base, request.call.judged.document)

    # --- calls ----------------------------------------------------------------------------------

    def _take(self, number: str) -> m.ActivePolicy:
        now, holder = monotonic_ms(), self.agent.holder
        if now >= holder.lease[1] and holder.last is not None and holder.last.how == "leased":
            self._tick()  # its lease is over, and the timer a moment late
        return holder.take(now, number)

    def _ended(self, id: bytes, by: m.ActivePolicy, taken_ms: float) -> None:
        if self.trace is not None:
            self.trace.call(id.hex(), by, taken_ms, unix_ms())

    def _write_trace(self) -> None:
        if not self._stopped:
            self._flush_trace()
            self.front.loop.timers.after(TRACE_MS, self._write_trace)

    def _flush_trace(self) -> None:
        try:
            self.trace.flush()
        except OSError as error:
            if self._once("trace"):
                self.note("trace not written", {"why": error.strerror, "dropped": self.trace.dropped})

    # --- the rider ------------------------------------------------------------------------------

    def on_messages(self, sender: str, words: tuple[Any, ...], standing: Any) -> None:
        """Take messages and the status of another member."""
        now = monotonic_ms()
        dropped = sum(self.agent.counts.values())
        effects = self.agent.heard(now, sender, words)
        if standing is not None:
            self.agent.standing_of(now, sender, standing)
        if sum(self.agent.counts.values()) > dropped and self._once("bad word"):
            self.note("word dropped", {"sender": sender, "counts": dict(self.agent.counts)})
        self._carry_out(effects)

    def on_register_decided(self, text: str) -> None:
        """Take a register that the consensus log decided."""
        self._carry_out(self.agent.decided(monotonic_ms(), text))

    def on_role_changed(self) -> None:
        """Take that this member's voter may have begun or ceased to lead."""
        if not self._stopped and (effects := self.agent.turned(monotonic_ms())):
            self._carry_out(effects)

    def on_membership_changed(self) -> None:
        """Take that the list of members changed."""
        self._outbox.forget_grants()
        known = self._known()
        known = msgspec.structs.replace(self.agent.known, zones=known.zones, base=self._base(known.base))
        self._carry_out(self.agent.take_members(monotonic_ms(), self._names(), known))

    def _base(self, base: Document) -> Document:
        """Modes as they were at the start, since the gate's own follow the policy by now."""
        old = {path: value for path, value in self.agent.known.base.values if path[0] == "modes"}
        return Document(0, tuple(sorted((dict(base.values) | old).items())))

    # --- time -----------------------------------------------------------------------------------

    def _tick(self) -> None:
        if not self._stopped:
            self._carry_out(self.agent.tick(monotonic_ms()))

    def _set_timer(self) -> None:
        now = monotonic_ms()
        due = max(self.agent.due_ms(), now + 1.0)
        if self._timer is not None and self._timer.callback and now < self._timer_ms <= due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_ms = due
        self._timer = self.front.loop.timers.after(due - now, self._tick)

    def _carry_out(self, effects: list[m.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, m.Send):
                self._outbox.send(effect)
            elif isinstance(effect, m.ProposeRegister):
                if not self.zones.propose_register(effect.register):
                    self._carry_out(self.agent.not_put(monotonic_ms()))
            elif isinstance(effect, m.StoreRegister):
                self._keep(effect.register)
            elif isinstance(effect, m.ActivePolicy):
                self._go_by(effect)
            elif isinstance(effect, m.LogEvent):
                self.note(effect.event, effect.fields)
        self._follower.keep_by(dict(self.agent.holder.keeping.now))
        (
            self.front.client_port.not_ready_reasons.discard
            if self.ready
            else self.front.client_port.not_ready_reasons.add
        )(NAME)
        if self.ready and self.calls.held:
            if self.in_force.how == "leased":
                self.calls.release()
            else:  # its first lease comes a round trip later
                self.front.loop.timers.after(LEASE_MS, self._release)
        self._stand()
        self._set_timer()

    def _release(self) -> None:
        if self.ready and not self._stopped:
            self.calls.release()

    def _go_by(self, effect: m.ActivePolicy) -> None:
        if self._follower.go_by(effect.document):
            self._mixed_ms = monotonic_ms() + MIXED_MS
        fields = {"number": effect.number, "digest": effect.digest, "how": effect.how}
        self.note("policy", fields | {"ready": self.ready})

    def _keep(self, register: str) -> None:
        self._register = register
        try:
            policy_file.write_policy_file(
                self._kept_file, policy_file.StoredPolicy(life=self.life, register=register)
            )
        except OSError as error:
            if self._once("keep"):
                self.note("policy not kept", {"why": error.strerror})

    def _once(self, what: str, every_ms: float = LINE_S * 1000.0) -> bool:
        now = monotonic_ms()
        if now - self._noted.get(what, -1e9) < every_ms:
            return False
        self._noted[what] = now
        return True

    # --- what is said ---------------------------------------------------------------------------

    def _too_much(self, why: str) -> None:
        if self._once("too much"):
            self.note("words not said", {"why": why})

    def _stand(self) -> None:
        """Tell this member's status, where it has changed."""
        if self._stopped:
            return
        now = monotonic_ms()
        standing = self.agent.standing(now)
        if standing == self._told:
            return
        if now - self._told_ms < STAND_MS:
            if not self._stands_later:
                self._stands_later = True
                self.front.loop.timers.after(STAND_MS, self._stand_later)
            return
        self._told, self._told_ms = standing, now
        self.zones.publish_status(msgspec.to_builtins(standing))

    def _stand_later(self) -> None:
        self._stands_later = False
        self._stand()

    def _look_alone(self) -> None:
        """Log who is missing, where no leader's coordinator tells what is in force."""
        if self._stopped:
            return
        if not self.ready and monotonic_ms() - self._began_ms >= ALONE_MS:
            voters = [e.name for e in self.zones.core.membership.voters if e.name != self.zones.entry.name]
            silent = sorted(name for name in voters if name not in self.agent.standings)
            leads = [name for name, told in self.agent.standings.items() if told.term]
            why = self.agent.holder.fault or "no leader's steward has told what is in force"
            fields = {"why": why, "leads": leads, "voters that tell nothing of policy": silent}
            self.note("policy: not ready", fields)
        self.front.loop.timers.after(ALONE_MS, self._look_alone)

    # --- the operators' file --------------------------------------------------------------------

    def _look_at_files(self) -> None:
        if self._stopped:
            return
        if (data := self._said_file.changed()) is not None:
            self._said(data)
        self._follower.keep_by(dict(self.agent.holder.keeping.now))  # a keeper may be new
        self.front.loop.timers.after(FILES_MS, self._look_at_files)

    def _said(self, data: bytes) -> None:
        """A word that can't be taken changes nothing, and is said once with its key and cause."""
        now, number = monotonic_ms(), 0
        try:
            said = decode_operator_request(data)
            number = said.number
            if number <= self._wish:
                raise SettingsFileError(
                    f"number: {number} is not larger than {self._wish}, of the word before"
                )
            if said.propose is not None:
                fault = find_incompatibility(document_from_object(said.propose), self.agent.known)
                if fault:
                    raise SettingsFileError(fault)
        except SettingsFileError as error:
            self.note("proposal left aside", {"fault": str(error)})
            if number > self._wish:
                self._wish = number
                self.agent.refuse(now, number, str(error))
                self._carry_out([])
            return
        self._wish = number
        kind = "propose" if said.propose is not None else "back" if said.back else "call off"
        self.note("proposal taken", {"number": number, "what": kind})
        self._carry_out(self.agent.ask(now, number, said))
