"""Recovery in a running front end: its agent on the fleet's logs, what it counts, and what follows for its
parts."""

import hashlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from fawnwharf import interface as io
from fawnwharf.config import Deployment, Fleet
from fawnwharf.consensus.committed_log import last_including_uncommitted
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.recovery_core.phases import LogEvent, ProposeRegister, RecoveryPhase
from fawnwharf.recovery_core.queries import QueryState, QueryTopic
from fawnwharf.recovery_core.trust import StateKind, StoreCondition
from fawnwharf.recovery_service import front_end_integration, status_display
from fawnwharf.recovery_service import messages as w
from fawnwharf.recovery_service.agent import (
    ApplyPhase,
    Effect,
    LocalStatus,
    RecoveryAgent,
    SendMessage,
    SignatureReported,
)
from fawnwharf.recovery_service.call_outcomes import CallOutcomeRecorder
from fawnwharf.recovery_service.counters import FrontEndCounters
from fawnwharf.recovery_service.hints import ENTRY_KEY, RosterRecorder, UsageRecorder
from fawnwharf.recovery_service.recovery_leader import MemberLists
from fawnwharf.recovery_service.settings import Settings, settings_from
from fawnwharf.zones.files import load_file
from fawnwharf.zones.log_lines import RECOVERY, ClientMessage

DISPLAY_INTERVAL_MS = 200.0  # how this one stands is told for people no more often than that
MAX_MESSAGES_PER_LINE = 200  # in one line
LINE_S = 1.0  # one note a second of each kind

Write = Callable[[str, dict[str, Any]], None]
Join = Callable[..., front_end_integration.FrontEndIntegration]


class RecoveryService:
    """Owns this front end's part in recoveries; a Seam of the front end, and a rider of both logs."""

    def __init__(
        self,
        deployment: Deployment,
        path: str | Path,
        write: Write,
        made: dict[str, Any],
        join: Join = front_end_integration.FrontEndIntegration,
    ) -> None:
        """Reads and checks the file; raises ConfigError with one line. `made` has the other parts by name, of
        which `zones`, `kept` and `state` have to be there already."""
        self.deployment, self.note, self._join = deployment, write, join
        self.settings: Settings = load_file(Path(path), settings_from, RECOVERY)
        self.zones, self.kept, self.state = made["zones"], made["kept"], made["state"]
        self.life = self.kept.number
        self._used = UsageRecorder.read(self.kept.read(StateKind.USAGE))
        self._roster, self._use = RosterRecorder(), UsageRecorder(monotonic_ms())
        classes = deployment.settings.classes
        self.tallies = FrontEndCounters(
            {n: c.priority_weight for n, c in classes.items()}, deployment.settings.slow_start_ms
        )
        self.front: FrontEnd | None = None
        self.agent: RecoveryAgent | None = None
        self.joined: front_end_integration.FrontEndIntegration | None = None
        self.calls: CallOutcomeRecorder | None = None
        self._rostered = self._dialled = False
        self._calm_ms: float | None = None  # since when
        self._words: list[ClientMessage] = []
        self._shown: w.DisplayedStatus | None = None
        self._shown_ms = -1e9
        self._noted: dict[str, float] = {}
        self._timer: Timer | None = None
        self._timer_ms = 0.0
        self._stopped = False

    # --- life -----------------------------------------------------------------------------------

    def attach(self, front: FrontEnd) -> None:
        """Begin, on the front end's loop; the parts before this one are attached."""
        self.front, settings = front, self.settings
        front.client_port.not_ready_reasons.add(RECOVERY)
        front.change_log.may_begin_anew = True
        self.agent = RecoveryAgent(
            self.zones.entry.name, self.zones.core.membership.fleet, self.life, self.kept.boot, self._lists(),
            self._own(), self.zones.consensus_status, self.tallies.worths, settings.timing.of_stages,
            monotonic_ms(), settings.pace.of_asking, settings.pace.stand_ms, settings.pace.stage_ms,
        )  # fmt: skip
        self.joined = self._join(front, self.state, settings, self.life)
        self.joined.use_before(self._used)
        self.calls = CallOutcomeRecorder(
            self.joined.door, self.deployment.settings.classes, self.tallies.ended
        )
        front.client_port.requests = self.calls
        self.zones.log_clients[RECOVERY] = self
        self.state.log_clients[w.LOG_CLIENT] = self._heard_state
        told = {"life": self.life, "boot": self.kept.boot, "same boot": self.kept.same_boot}
        self.note("recovery on", told | {"store": self.kept.whole.value, "why": self.kept.why})
        self._tick()

    def close(self) -> None:
        if self._stopped:
            return
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self.front is None or self.joined is None:
            return
        # The tables stay where they are: what is open here may still be withdrawn, by its keys.
        self.calls.counting = False
        self.joined.close()
        self.front.client_port.not_ready_reasons.discard(RECOVERY)
        self.zones.log_clients.pop(RECOVERY, None)
        self.state.log_clients.pop(w.LOG_CLIENT, None)

    # --- the seam -------------------------------------------------------------------------------

    def on_fleet(self, fleet: Fleet) -> None:
        if self.joined is not None:
            self._rostered = True  # by the log, in this life; what the start knew came before
            self._roster.told(Fleet(list(self.front.roster_overlay.members.values()), True))
            self.joined.roster()

    def _dial_last(self) -> None:
        """No change log, and no roster of the start: the scorers of the last one are tried, all cold."""
        self._dialled = True
        if self.front.roster_overlay.members:
            return
        found = RosterRecorder.read(self.kept.read(StateKind.ROSTER))
        up_ms = self.front.loop.clock.now_ms()
        cold = [msgspec.structs.replace(member, up_since_ms=up_ms) for member in found]
        if cold:
            self.front.receive_fleet(Fleet(cold, True))
            self.zones.on_fleet(Fleet(cold, True))
            self.joined.roster()
            self.note("last roster dialled", {"scorers": len(cold)})

    def _keep_hints(self, now_ms: float) -> None:
        for kind, hint in ((StateKind.ROSTER, self._roster), (StateKind.USAGE, self._use)):
            if (value := hint.due(now_ms)) is not None:
                self.kept.keep(kind, ENTRY_KEY, value)

    def on_events(self, events: list[io.Event]) -> None:
        if self.joined is None or self._stopped:
            return
        now = monotonic_ms()
        for event in events:
            worker = getattr(event, "scorer", None)
            age_ms = self.joined.age_ms(worker) if worker is not None else 0.0
            self.tallies.event(now, event, age_ms)
            if isinstance(event, io.RequestArrived):
                self._use.came(now, event.function, event.class_name)
        self.joined.events(now, events)

    @property
    def busy(self) -> bool:
        return self.joined is not None and self.joined.door.busy

    # --- what this front end knows of itself ------------------------------------------------------

    def _lists(self) -> MemberLists:
        members = self.zones.core.membership
        names = tuple(entry.name for entry in members.members)
        # Who there is, not where: each may reach the others by other addresses, and goes by the same list.
        who = sorted(
            (e.name, e.zone, e.region, bool(e.voter_address), bool(e.replication_address))
            for e in members.members
        )
        keepers = tuple(self.state.core.placement.replicas)
        voters = tuple(entry.name for entry in members.voters)
        by_zone = tuple(map(tuple, self.state.core.placement.by_zone.values()))
        return MemberLists(names, voters, keepers, members.number, _digest(msgspec.json.encode(who)), by_zone)

    def _own(self) -> LocalStatus:
        now, keeper, voter = monotonic_ms(), self.state.core.replica, self.zones.core.voter
        number, text = last_including_uncommitted(voter.saved, "plan") if voter is not None else (0, "")
        seen = self.zones.evidence_collector.evidence(now)
        rostered = self._rostered or (
            self.front is not None and self.front.change_log.told_all_ms is not None
        )
        serves = any(m.phase == "in_service" for m in self.front.roster_overlay.members.values())
        return LocalStatus(
            settled=self.kept.settled,
            whole=self.kept.whole is StoreCondition.INTACT,
            sure=keeper is None or keeper.is_complete(now),
            votes=voter is not None,
            plan=(number, _digest(text.encode())),
            sign=self.kept.sign(),
            uses=bool(self._used or self.state.core.usage_table.owners),
            rostered=rostered,
            scorers=(rostered and serves) or self.tallies.up or any(s.responses for s in seen.values()),
            heard=len(set(self.state.live_members(now)) | {self.zones.entry.name}),
            standing=self.tallies.standing(now),
        )

    def _confirm(self) -> None:
        """A store that is in part is whole again once others have confirmed it, and the fleet is calm."""
        if self.agent.confirmed():
            self.kept.confirm()
            self.note("the store is confirmed", {})

    # --- the riders -----------------------------------------------------------------------------

    def on_messages(self, sender: str, words: tuple[Any, ...], standing: Any) -> None:
        for data in words:
            self._word(sender, data, self.agent.hear_zone)

    def _heard_state(self, _now_ms: float, sender: str, _life: int, data: Any) -> None:
        self._word(sender, data, self.agent.hear_state)

    def _word(self, sender: str, data: Any, hear: Callable[..., list[Effect]]) -> None:
        if self._stopped:
            return
        counts = self.agent.counts
        dropped = sum(counts.values())
        try:
            effects = hear(monotonic_ms(), sender, w.recovery_message_from(data))
        except msgspec.ValidationError:
            counts["bad word"] = counts.get("bad word", 0) + 1
            effects = []
        if sum(counts.values()) > dropped and self._once("word"):
            self.note("word dropped", {"sender": sender, "counts": dict(counts)})
        self._carry_out(effects)

    def on_register_decided(self, text: str) -> None:
        self._carry_out(self.agent.decided(monotonic_ms(), text))

    def on_role_changed(self) -> None:
        if not self._stopped and (effects := self.agent.turned(monotonic_ms())):
            self._carry_out(effects)

    def on_membership_changed(self) -> None:
        self._carry_out(self.agent.take_lists(monotonic_ms(), self._lists()))

    # --- time -----------------------------------------------------------------------------------

    def _tick(self) -> None:
        if self._stopped:
            return
        now = monotonic_ms()
        counting = self._calm_ms is None or now - self._calm_ms < self.settings.timing.most_ms
        self.calls.counting, self.tallies.calm = counting, not counting
        if not counting:
            self._keep_hints(now)
            if self.kept.whole is StoreCondition.PARTIAL:
                self._confirm()
        if not self._dialled and self.agent.asking.state(QueryTopic.ROSTER) is QueryState.TIMED_OUT:
            self._dial_last()
        self._carry_out(self.agent.tick(now, self._own()))
        if self._once("door") and (what := self.joined.door.since()):
            self.note("door", what)

    def _set_timer(self) -> None:
        now = monotonic_ms()
        due = max(self.agent.due_ms(now), now + 1.0)
        if self._timer is not None and self._timer.callback and now < self._timer_ms <= due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_ms = due
        self._timer = self.front.loop.timers.after(due - now, self._tick)

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                self._say(effect)
            elif isinstance(effect, ProposeRegister):
                if not self.zones.propose_register(effect.register, RECOVERY):
                    self.agent.not_put()
            elif isinstance(effect, ApplyPhase):
                self._go_by(effect)
            elif isinstance(effect, SignatureReported):
                self.kept.heard_sign(effect.sign)
            elif isinstance(effect, LogEvent):
                self.note(effect.event, effect.fields)
        self._show()
        self._set_timer()

    def _go_by(self, effect: ApplyPhase) -> None:
        allowed = effect.allowed
        if effect.stage is not RecoveryPhase.NORMAL:
            self._calm_ms = None
        elif self._calm_ms is None:
            self._calm_ms = monotonic_ms()
        waits_for = self.front.client_port.not_ready_reasons
        (waits_for.discard if allowed.status else waits_for.add)(RECOVERY)
        self.joined.go_by(allowed, effect.cut, effect.fronts, effect.dealt)

    def _once(self, what: str) -> bool:
        now = monotonic_ms()
        if now - self._noted.get(what, -1e9) < LINE_S * 1000.0:
            return False
        self._noted[what] = now
        return True

    # --- what is said ---------------------------------------------------------------------------

    def _say(self, say: SendMessage) -> None:
        """By zones' logs all that is said in a turn goes into one line, in its order; state's go at once."""
        word = msgspec.to_builtins(say.word)
        if say.zone:
            self._words.append(ClientMessage(word, say.to, RECOVERY))
            self.front.loop.schedule_flush(self)
        else:
            self.state.send_message(w.LOG_CLIENT, say.to, word)

    def flush(self) -> None:
        """The end of the turn."""
        words, self._words = self._words, []
        for at in range(0, 0 if self._stopped else len(words), MAX_MESSAGES_PER_LINE):
            self.zones.send_messages(words[at : at + MAX_MESSAGES_PER_LINE])

    def _show(self) -> None:
        """Tell how this one stands, where that is another way than before."""
        now = monotonic_ms()
        if self._stopped or now - self._shown_ms < DISPLAY_INTERVAL_MS:
            return  # the next tick tells it
        shown = status_display.displayed_status(self.agent, now)
        if shown != self._shown:
            self._shown, self._shown_ms = shown, now
            self.zones.publish_status(msgspec.to_builtins(shown), RECOVERY)


def _digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=8).hexdigest()
