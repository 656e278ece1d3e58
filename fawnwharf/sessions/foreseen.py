"""The prefetcher in a running front end: its passes, its messages on the logs of state, its orders and moves.

Copies that it releases are left to expire: to unload them would take them from whoever uses them by now.
"""

import contextlib
from pathlib import Path
from typing import Any

import msgspec

from fawnwharf import interface as io
from fawnwharf.config import Deployment
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.timer_wheel import Timer, monotonic_ms, unix_ms
from fawnwharf.prefetch.baseline_strategies import parse_known_moves
from fawnwharf.prefetch.settings import Prices, decode_prefetch_settings
from fawnwharf.replication.service import ReplicationService
from fawnwharf.session_types import Session
from fawnwharf.sessions.agent import Agent
from fawnwharf.sessions.moves import place_of
from fawnwharf.sessions.staging import Staging, announced_from
from fawnwharf.sessions.staging_messages import Beat, Seen, Word
from fawnwharf.zones.files import WatchedFile, load_file
from fawnwharf.zones.plan import DRAINING, OUT
from fawnwharf.zones.settings import SettingsFileError

RIDER = "foresight"
TOLD_MS = 250.0  # pace of looks at the oracle's file
SEE_MS = 50.0  # pace of looks at what the module holds


class Foreseen:
    """Owns a front end's `Staging`, and gives it what it sees."""

    def __init__(
        self,
        deployment: Deployment,
        path: Path,
        state: ReplicationService,
        agent: Agent,
        zones: Any | None,
        memory: Path,
        policies: Any | None = None,
    ) -> None:
        """Read its part of the file; raises ConfigError with one line.

        `memory` is the file for the next process, `policies` the part by which policy changes.
        """
        self.state, self.agent, self.zones, self.policies = state, agent, zones, policies
        bounds = load_file(path, decode_prefetch_settings, "sessions")
        costs = deployment.costs
        self.staging = Staging(
            agent.name,
            bounds,
            deployment.settings,
            Prices(costs.origin, costs.waste, costs.probe, costs.memory),
            destination=self._next_zones,
            place=place_of,
            belongs=lambda session: agent.moves.away.get(session, ""),
        )
        self._told = WatchedFile(path.parent / bounds.told) if bounds.told else None
        self._told_ms = float("-inf")
        if bounds.told:
            load_file(path.parent / bounds.told, parse_known_moves, "sessions")
        self._memory = memory
        with contextlib.suppress(OSError):  # none was left
            self.staging.learn(monotonic_ms(), memory.read_bytes())
        self.bad = self.ordered = 0
        self._owners: dict[str, str] = {}  # the life that is heard of each member
        self._plan: Any = None
        self._seen, self._seen_ms = Seen(), float("-inf")
        self._timer: Timer | None = None
        self._stopped = False
        self.front: FrontEnd | None = None

    def _next_zones(self, session: Session, site: str) -> tuple[tuple[str, float], ...]:
        found = self.agent.target(session, site)
        return ((found, 1.0),) if found else ()

    def attach(self, front: FrontEnd) -> None:
        """Begin on the front end's loop."""
        self.front = front
        self.state.log_clients[RIDER] = self._heard
        self._beat()

    def close(self) -> None:
        """Stop, and leave what was learnt for the next process."""
        if self._stopped or self.front is None:
            return
        self._stopped = True
        self.state.log_clients.pop(RIDER, None)
        if self._timer is not None:
            self._timer.cancel()
        beside = self._memory.with_suffix(".new")
        with contextlib.suppress(OSError):  # the next process learns anew
            beside.write_bytes(self.staging.learnt(monotonic_ms()))
            beside.rename(self._memory)

    def events(self, now_ms: float, events: list[io.Event]) -> None:
        """Take a batch of events."""
        self.staging.events(now_ms, self.front.loop.clock.now_ms(), events)

    def _heard(self, now_ms: float, sender: str, life: int, data: Any) -> None:
        try:
            word = msgspec.convert(data, Word)
        except msgspec.ValidationError:
            self.bad += 1
            return
        owner = f"{sender}#{life}"
        if (before := self._owners.get(sender)) != owner:
            if before is not None:
                self.staging.gone(before)
            self._owners[sender] = owner
        self.staging.heard(now_ms, owner, word)

    # --- looks ----------------------------------------------------------------------------------

    def _beat(self) -> None:
        if self._stopped:
            return
        now = monotonic_ms()
        if now - self._seen_ms >= SEE_MS:
            self._seen, self._seen_ms = self._look(now), now
        if self.policies is not None:
            self.staging.go_by(self.policies.staging)
        beat = self.staging.beat(now, self._seen)
        self._carry_out(now, beat)
        self._timer = self.front.loop.timers.after(beat.again_ms, self._beat)

    def _foretold(self, now_ms: float) -> None:
        """A trial tells of moves as it draws them; a file that can't be read changes nothing."""
        self._told_ms = now_ms
        if (data := self._told.changed()) is not None:
            with contextlib.suppress(SettingsFileError):
                self.staging.foretold(now_ms, unix_ms(), parse_known_moves(data))

    def _look(self, now_ms: float) -> Seen:
        if self._told is not None and now_ms - self._told_ms >= TOLD_MS:
            self._foretold(now_ms)
        agent, module = self.agent, self.front.router
        plan = self.zones.core.plan if self.zones is not None else None
        if plan is not None and plan is not self._plan:
            self._plan = plan
            for announced in announced_from(plan, self.zones.settings.ramp):
                self.staging.announced(now_ms, announced)
        states = {name: zone.state for name, zone in plan.zones.items()} if plan else {}
        out_by_plan = {name for name, state in states.items() if state in (DRAINING, OUT)}
        sent = {attempt.request for attempt in module.attempts.values()}
        return Seen(
            heard=tuple(n for n in agent.keepers if n in agent.alive or n == agent.name),
            waiting=sum(request not in sent for request in module.requests),
            refused=agent.counts["calls without an answer"],
            ordered=len(module.load_orders_ms),
            disturbed=frozenset(name for name, state in states.items() if state == OUT),
            out=frozenset(out_by_plan | agent.moves.closed.keys()),
        )

    def _carry_out(self, now_ms: float, beat: Beat) -> None:
        for word in beat.words:
            self.state.send_message(RIDER, (), word)
        self.ordered += len(beat.wanted)
        for wanted in beat.wanted:
            self.front.loop.enqueue(wanted)
        if beat.moves:
            self.agent.expected(now_ms, beat.moves)

    def counts(self) -> dict[str, int]:
        """The counters, for operators."""
        planner = self.staging.core.planner
        return {
            **self.staging.counts,
            "copies wanted": self.ordered,
            "stages used": planner.used,
            "stages in vain": planner.wasted,
            "bad lines": self.bad,
            **{f"not staged: {cause}": count for cause, count in planner.skipped.items()},
        }
