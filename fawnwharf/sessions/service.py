"""Sessions in a running front end: placements of the calls that come, migrations, prefetched copies."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from fawnwharf import interface as io
from fawnwharf.config import ConfigError, Deployment, Fleet
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.timer_wheel import Timer, monotonic_ms, unix_ms
from fawnwharf.session_types import PrefetchRelease, Session
from fawnwharf.sessions import words as w
from fawnwharf.sessions.agent import Agent
from fawnwharf.sessions.effects import Copies, Dropped, Note, Out, Words
from fawnwharf.sessions.left import Left
from fawnwharf.sessions.outbox import Outbox
from fawnwharf.sessions.places import Places
from fawnwharf.sessions.settings import Settings, Wishes, by_classes, settings_from, wishes_from, wishes_place
from fawnwharf.sessions.stages import Orders, Stages
from fawnwharf.sessions.status import status_of
from fawnwharf.sessions.trace import Trace
from fawnwharf.zones.files import WatchedFile, load_file
from fawnwharf.zones.plan import DRAINING, OUT, RECOVERING
from fawnwharf.zones.settings import SettingsFileError

STATUS_MS, WISH_LIFE_MS = 1_000.0, 5_000.0  # pace of words on oneself; how long others' wishes count,
WISH_GONE_MS = 600_000.0  # and those of a member that is not heard: its process may only be replaced
FILES_MS = 500.0
LINE_S = 1.0  # one note a second of each kind
WARM = {io.Warmth.FOUND: True, io.Warmth.STARTED_LOAD: False, io.Warmth.WAITED_FOR_LOAD: False}

Write = Callable[[str, dict[str, Any]], None]


class Sessions:
    """Owns this front end's part in moving sessions between zones; a Seam of the front end."""

    def __init__(
        self,
        deployment: Deployment,
        path: str | Path,
        write: Write,
        made: dict[str, Any],
        fresh: bool = False,
    ) -> None:
        """Read and check the file; raises ConfigError with one line.

        `made` has the part that replicates calls, and that of zones where there is one. `fresh`: this fleet
        begins, nobody has promised anything yet.
        """
        self.deployment, self.note = deployment, write
        self.state, self.zones = made["state"], made.get("zones")
        place = Path(path)
        read = load_file(place, settings_from, "sessions")
        self.settings: Settings = by_classes(read, deployment.settings.classes)
        self.site = self._own_zone()
        self.agent = self._made_agent(fresh)
        module = deployment.settings
        self.stages = Stages(
            self._order, module.load_orders_allowed, module.idle_lifetime_ms, self._is_loading
        )
        self._wishes_file = WatchedFile(wishes_place(read, place, self.state.folder))
        self.wishes = Wishes()
        self._left = Left(self._wishes_file.path.with_name("homes"), made.get("kept"))
        self._drained: dict[str, tuple[float, tuple[str, ...]]] = {}  # others' wishes, and when they came
        self.places: Places | None = None
        self._placed: Any = self.state.core.placement
        self._out: dict[str, str] = {}  # sites whose scorers the plan closes: no call is near to them
        self._outbox = Outbox(self.state)
        self._noted: dict[str, float] = {}
        self._status_ms = self._files_ms = 0.0
        self._was_sure: bool | None = None
        self._timer: Timer | None = None
        self._timer_ms = 0.0
        self._stopped = False
        self.front: FrontEnd | None = None
        self.trace = self._open_trace(place.parent, read.trace)
        self.foreseen = self._made_foreseen(place, made) if read.foresight is not None else None

    def _made_foreseen(self, place: Path, made: dict[str, Any]) -> Any:
        from fawnwharf.sessions.foreseen import Foreseen

        memory, policies = self._wishes_file.path.with_name("learnt"), made.get("policy")
        return Foreseen(self.deployment, place, self.state, self.agent, self.zones, memory, policies)

    def _own_zone(self) -> str:
        """This front end's zone; raises ConfigError where the file of members says another one."""
        entry, zone = self.state.member, self.deployment.settings.zone
        if entry.zone != zone:
            told = f"{entry.name} is of zone {entry.zone}, and its configuration says {zone}"
            raise ConfigError(f"sessions: {told}")
        return zone

    def _made_agent(self, fresh: bool) -> Agent:
        core = self.state.core
        agent = Agent(
            self.state.member.name,
            self.state.incarnation,
            self._sites(),
            core.placement.replicas,
            lambda key: self.state.core.placement.replicas_of(key),
            self.settings,
            self.deployment.settings.classes,
            monotonic_ms(),
            fresh,
            core.placement.number,
        )
        agent.spent = lambda org: core.quota_shares.counts.get(org, 0) if core.quota_shares else 0
        return agent

    def _open_trace(self, folder: Path, name: str) -> Trace | None:
        """The trace of this name; raises ConfigError where it can't be written."""
        if not name:
            return None
        try:
            return Trace(folder / name)
        except OSError as error:
            raise ConfigError(f"sessions: trace: {name}: {error.strerror}") from None

    def _sites(self) -> dict[str, str]:
        return {
            entry.name: entry.zone
            for entry in self.state.core.membership.members
            if entry.replication_address
        }

    # --- life -----------------------------------------------------------------------------------

    def attach(self, front: FrontEnd) -> None:
        """Begin on the front end's loop."""
        self.front, self.places = front, Places(front, self.site)
        self.agent.router.uses = self.places.uses
        self.state.log_clients[w.RIDER] = self._heard
        self.state.follower_callbacks.append(self.agent.followed)
        self._left.take(self.agent.router, set(self.agent.sites.values()), monotonic_ms(), unix_ms())
        if (data := self._wishes_file.changed()) is not None:
            self._wished(data, begin=False)  # what was asked of an earlier process was begun there
        keeps = self.agent.keeper is not None
        self.note("sessions on", {"member": self.agent.name, "site": self.site, "keeper": keeps})
        self._look()
        if self.foreseen is not None:
            self.foreseen.attach(front)

    def close(self) -> None:
        """Stop, and leave the placements for the next process."""
        if self.front is not None and not self._stopped:
            self._left.leave(self.agent.router, monotonic_ms(), unix_ms())
        self._stopped = True
        self._outbox.close()
        self.state.log_clients.pop(w.RIDER, None)
        if self.trace is not None:
            self.trace.close()
            self.trace = None
        if self.foreseen is not None:
            self.foreseen.close()
        if self._timer is not None:
            self._timer.cancel()

    def on_fleet(self, fleet: Fleet) -> None:
        """Changes of the roster matter nothing here."""

    @property
    def busy(self) -> bool:
        """Never: whoever takes a migration over asks the replicas."""
        return False

    # --- what happens here ----------------------------------------------------------------------

    def on_events(self, events: list[io.Event]) -> None:
        """Set the placement of each call that came, and take how calls and load orders ended."""
        now = monotonic_ms()
        if self.foreseen is not None:
            self.foreseen.events(now, events)
        for event in events:
            if isinstance(event, io.RequestArrived):
                self._came(now, event)
            elif isinstance(event, io.AttemptEnded):
                self._ended(now, event)
            elif isinstance(event, io.RequestCancelled):
                self.agent.ended(now, event.request)
            elif isinstance(event, io.LoadOrderAnswered):
                if event.result is io.AttemptResult.GOOD and event.copies and event.took_ms > 0:
                    self.agent.known.loaded(event.function, event.took_ms)
                self._tell(self.stages.answered(now, event))
                self._staged(now)
        self._carry_out(now)

    def _came(self, now_ms: float, event: io.RequestArrived) -> None:
        if not event.tenant or not event.function:
            return
        home = self.agent.begun(
            now_ms,
            event.request,
            Session(event.tenant, event.function),
            event.class_name,
            event.lanes,
            event.load_ms,
            event.budget_ms,
        )
        if self.trace is not None:
            self.trace.taken(event.request, home)
        event.site = home.site if home.site != self.site and home.site not in self._out else ""

    def _ended(self, now_ms: float, event: io.AttemptEnded) -> None:
        call = self.agent.router.calls.get(event.request)
        if call is None:
            return
        if event.result is io.AttemptResult.GOOD:
            row = call.session.row
            if event.warmth in (io.Warmth.FOUND, io.Warmth.NOT_REPORTED):
                self.agent.known.ran(row, event.took_ms)
            worker = self.front.router.scorers.get(event.scorer)
            if worker is not None and worker.entry.zone == self.site:
                self.stages.seen(now_ms, row, event.scorer, 1)
        if event.closed:
            self.agent.ended(now_ms, event.request, WARM.get(event.warmth))

    def _order(self, row: str) -> list[int]:
        return self.places.order(row) if self.places else []

    def _tell(self, orders: Orders) -> None:
        for order in orders:
            if isinstance(order, io.OrderCopies):
                self._ask(order)
            else:
                self.front.loop.enqueue(order)

    def _ask(self, question: io.OrderCopies) -> None:
        """Probe a scorer for copies of a function.

        The module hears the answer too, and so what it believed wrongly. It takes an answer for that of its
        own order, so where one is in progress that is waited for.
        """
        if not self._is_loading(question.scorer, question.function):
            self.front.requests.send_load_order(question)

    def _is_loading(self, worker: int, row: str) -> bool:
        """Whether the module has an order for a function there."""
        fn = self.front.router.functions.get(row)
        return bool(fn and (held := fn.copies_by_scorer.get(worker)) and held.order_ms is not None)

    def _staged(self, now_ms: float) -> None:
        came, self.stages.came = self.stages.came, []
        for key, stands in came:
            self.agent.stood(now_ms, key, stands)

    # --- what the agent says --------------------------------------------------------------------

    def _carry_out(self, now_ms: float, all_words: bool = False) -> None:
        while out := self.agent.take():
            for effect in out:
                self._carry_out_one(now_ms, effect)
            self._staged(now_ms)
        if all_words:
            self._outbox.hurry()
        if self._outbox.urgent:
            self.front.loop.schedule_flush(self._outbox)
        if self.agent.pace_ms() < self._timer_ms - now_ms:
            self._set_timer(now_ms)

    def _carry_out_one(self, now_ms: float, effect: Out) -> None:
        if isinstance(effect, Words):
            self._outbox.add(effect)
        elif isinstance(effect, Copies):
            self._tell(self.stages.want(now_ms, effect))
        elif isinstance(effect, Dropped):
            self.stages.drop(effect.key)
        elif isinstance(effect, PrefetchRelease):
            self._let_go(now_ms, effect)
        elif isinstance(effect, Note):
            self.note(effect.event, effect.fields)

    def _let_go(self, now_ms: float, effect: PrefetchRelease) -> None:
        if not self.settings.handover.unload or not self.deployment.settings.load_orders_allowed:
            return
        try:
            for worker in self.stages.where(now_ms, effect.row):
                if self.front.scorer_pool.unload(worker, effect.row):
                    self._ask(io.OrderCopies(worker, effect.row, 0))
        except ValueError as error:
            self._once("not let go", {"why": str(error)})
        self.stages.let_go(effect.row)

    # --- others' words --------------------------------------------------------------------------

    def _heard(self, now_ms: float, sender: str, life: int, data: Any) -> None:
        try:
            word = w.word_from(data)
        except msgspec.ValidationError as error:
            self.agent.counts["bad line"] += 1
            self._once("line dropped", {"why": f"not a word of sessions: {error}", "sender": sender})
            return
        if isinstance(word, w.Status):
            self._drained[sender] = now_ms, word.drained
            return
        if self.trace is not None:
            self.trace.received(word.words)
        self.agent.hear(now_ms, sender, life, word.words)
        self._carry_out(now_ms)

    def _once(self, what: str, fields: dict[str, Any]) -> None:
        now = monotonic_ms()
        if now - self._noted.get(what, -1e9) >= LINE_S * 1_000.0:
            self._noted[what] = now
            self.note(what, fields)

    # --- time -----------------------------------------------------------------------------------

    def _look(self) -> None:
        if self._stopped:
            return
        now, agent = monotonic_ms(), self.agent
        if (placed := self.state.core.placement) is not self._placed:
            self._placed = placed
            agent.place(now, self._sites(), placed.replicas, placed.number)
        self._left.look(agent.router, now, unix_ms())
        if now - self._files_ms >= FILES_MS:
            self._files_ms = now
            if (data := self._wishes_file.changed()) is not None:
                self._wished(data)
        agent.close(now, self._closed(now), self._shares())
        agent.room = self._room()
        agent.tick(now, self.state.live_members(now), self.front.requests.open.__contains__)
        self._tell(self.stages.tick(now))
        self._staged(now)
        if (sure := agent.sure(now)) != self._was_sure and agent.keeper is not None:
            self._was_sure = sure
            self.note("homes", {"sure": sure, "kept": len(agent.keeper.records)})
        if now - self._status_ms >= STATUS_MS:
            self._status(now)
        self._carry_out(now, all_words=True)
        self._set_timer(now)

    def _set_timer(self, now_ms: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        pace = self.agent.pace_ms()
        self._timer_ms = now_ms + pace
        self._timer = self.front.loop.timers.after(pace, self._look)

    def _closed(self, now_ms: float) -> dict[str, str]:
        """Sites that are to be empty: by the decided plan, and by operators' words here and elsewhere."""
        found = {}
        for sender, (at_ms, _) in list(self._drained.items()):
            life_ms = WISH_LIFE_MS if sender in self.agent.alive else WISH_GONE_MS
            if now_ms - at_ms > life_ms or sender not in self.agent.sites:
                del self._drained[sender]
        for drained in [self.wishes.drained, *(drained for _, drained in self._drained.values())]:
            found |= dict.fromkeys(drained, "operators")
        plan = self.zones.core.plan if self.zones is not None else None
        zones = plan.zones.items() if plan else ()
        self._out = {name: zone.state for name, zone in zones if zone.state in (DRAINING, OUT)}
        return found | self._out

    def _shares(self) -> dict[str, float]:
        plan = self.zones.core.plan if self.zones is not None else None
        zones = plan.zones.items() if plan else ()
        return {name: zone.fraction for name, zone in zones if zone.state == RECOVERING}

    def _room(self) -> dict[str, int]:
        """Sessions that sites can take from elsewhere, by the scorers that this front end may use."""
        units: dict[str, float] = {}
        for worker in self.front.router.ready:
            units[worker.entry.zone] = units.get(worker.entry.zone, 0.0) + worker.entry.units
        return {site: int(self.settings.drain.per_unit * size) for site, size in units.items()}

    # --- operators ------------------------------------------------------------------------------

    def _wished(self, data: bytes, begin: bool = True) -> None:
        """`begin`: moves of a file that came while this process serves."""
        try:
            wishes = wishes_from(data, set(self.agent.sites.values()))
        except SettingsFileError as error:
            self.note("moves left aside, the old ones go on", {"fault": str(error)})
            return
        later, self.wishes = wishes.number > self.wishes.number, wishes
        if begin and later:
            now = monotonic_ms()
            fields = {"number": wishes.number, "moves": len(wishes.moves), "drained": list(wishes.drained)}
            self.note("moves taken", fields)
            self.agent.ask(now, [(asked.session, asked.site) for asked in wishes.moves])
            self._carry_out(now, all_words=True)
            self._status(now)

    def _status(self, now_ms: float) -> None:
        self._status_ms = now_ms
        self.state.publish(w.RIDER, status_of(now_ms, self.agent, self.wishes, self.foreseen))
