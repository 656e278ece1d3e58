"""The front end as an embeddable object: the network components connected to one Router."""

import hashlib
import signal
import socket
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any, Protocol

from fawnwharf import interface as io
from fawnwharf.config import Address, ConfigError, Deployment, Fleet, Member, address_from
from fawnwharf.net.change_log import ChangeLog
from fawnwharf.net.client_port import ClientPort, ClientPortSettings
from fawnwharf.net.descriptor_shares import CLIENT_SHARE, descriptor_share, scorer_descriptors
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.graceful_shutdown import GracefulShutdown
from fawnwharf.net.log_writer import LogWriter
from fawnwharf.net.memory_shares import memory_shares
from fawnwharf.net.requests import RequestTable
from fawnwharf.net.roster_confirmation import ROSTER_LEASE_MS, RosterConfirmation
from fawnwharf.net.roster_overlay import RosterOverlay
from fawnwharf.net.scorer_pool import ScorerPool
from fawnwharf.net.scorer_start_times import ScorerStartTimes
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.policy import Router

MAINTENANCE_MS = 250.0  # between checks for idle and silent connections
NOT_READY_NO_SCORER = "roster"  # the reason for not being ready while no scorer in service is known
# A front end must be ready within 6 s even if the change log is down and no scorer is known.
MAX_ROSTER_WAIT_MS = 4_000.0
ROSTER_SCAN_MS = 20.0  # between checks for the first scorer in service
# Configuration keys that a reload does not apply.
START_ONLY_KEYS = ("name", "listen", "control", "memory_mb", "sockets", "settings", "wire")
TIMER_RETRY_MS = 40.0  # until the router gets a timer event after an error that may have lost its timer

ActionHandler = Callable[[Any], object]
STATE_BY_PHASE = {
    "in_service": io.ScorerState.READY,
    "terminating": io.ScorerState.DRAINING,
    "terminated": io.ScorerState.GONE,
}


def _client_port_settings(deployment: Deployment) -> ClientPortSettings:
    return ClientPortSettings(
        address=deployment.listen,
        classes=deployment.settings.classes,
        tenants=deployment.wire.tenants,
        max_connections=descriptor_share(deployment.sockets, CLIENT_SHARE),
        shared=deployment.control is not None,
        memory=memory_shares(deployment.memory_mb),
    )


def scorer_number(name: str) -> int:
    """Return a scorer's number, which is the same at every front end so that all hash the scorers alike."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest(), "big")


class LifecycleComponent(Protocol):
    """A component that is closed together with the front end."""

    def close(self) -> None:
        """Release all resources; the front end is closing."""


class AdminInterface(LifecycleComponent, Protocol):
    """The admin interface of a running front end, with hot restart."""

    @property
    def is_replaced(self) -> bool:
        """Whether another process has taken over from this one."""

    @property
    def is_ready_to_serve(self) -> bool:
        """Whether readiness checks should succeed."""

    @property
    def will_take_over(self) -> bool:
        """Whether this process is about to take over from another one."""

    @property
    def has_handoff_in_progress(self) -> bool:
        """Whether a hand-off is still in progress."""

    def start(self) -> None:
        """Start; called once, before connections are accepted."""

    def shut_down(self) -> None:
        """Begin the graceful shutdown."""


class Extension(LifecycleComponent, Protocol):
    """A subsystem that observes the roster and every batch of events.

    It takes scorers out of service with a filter over the roster (`RosterOverlay.set_filter`).
    """

    def on_fleet(self, fleet: Fleet) -> None:
        """Handle a change of the roster, after the front end has applied it."""

    def on_events(self, events: list[io.Event]) -> None:
        """Handle a batch of events, before the router decides on it."""

    def suspend(self) -> None:
        """Close the resources that only one process may hold, because another process takes over."""

    def resume(self, front: "FrontEnd") -> None:
        """Start again after the other process has ended.

        Raises ConfigError while that process still holds a resource.
        """

    @property
    def busy(self) -> bool:
        """Whether a call is waiting that is not in the request table."""


class FrontEnd:
    """One front end: owns the event loop and the components, and executes the router's actions."""

    def __init__(
        self,
        deployment: Deployment,
        log: LogWriter | None = None,
        reread: Callable[[], Deployment] | None = None,
        extension: Extension | None = None,
        listener: socket.socket | None = None,
    ) -> None:
        """Create all components; no connection is accepted before `start`.

        `reread` reads the configuration again at each SIGHUP; without it, SIGHUP changes nothing.
        `extension` observes the roster and each batch. `listener` is inherited from another process.
        """
        self.deployment, self._reread_configuration, self._extension = deployment, reread, extension
        self.log = log or LogWriter(deployment.name or "fawnwharf")
        settings, wire, sockets = deployment.settings, deployment.wire, deployment.sockets
        self.loop = EventLoop(self._decide, self.log)
        # The router gets a copy, because it changes its settings when a class or a limit changes.
        router_settings = replace(
            settings,
            classes=dict(settings.classes),
            quotas_rps=dict(settings.quotas_rps),
            roster_lease_ms=ROSTER_LEASE_MS,
        )
        self.router = Router(router_settings, deployment.seed)
        self.scorer_pool = ScorerPool(self.loop, wire, scorer_descriptors(sockets), deployment.seed, self.log)
        self.requests = RequestTable(self.loop, self.scorer_pool, wire, settings.classes)
        self._pending_change: io.RosterChanged | None = None  # the one that is already in the next batch
        self.roster_overlay, self.start_times = RosterOverlay(), ScorerStartTimes()
        self._call_limits: dict[str, float] = {}  # calls per second, by the name of the component that set it
        self.change_log = ChangeLog(self.loop, deployment.changelog, 0, self._on_fleet_event, self.log)
        self.change_log.confirm = self._on_roster_confirmed
        self.roster_confirmation = RosterConfirmation(self.router.lease_counters, self.log, monotonic_ms())
        self._apply_known_events()
        if not settings.load_orders_allowed:
            # Without load orders no query can prove that a scorer is in service. The configuration's known
            # events, which were written for this start, are accepted as the proof.
            self._on_roster_confirmed(monotonic_ms())
        self.client_port = ClientPort(
            self.loop, _client_port_settings(deployment), self.requests, self.log, listener
        )
        self.requests.causes = self.client_port.causes
        self.requests.max_body_bytes = memory_shares(deployment.memory_mb).body_bytes
        self._action_handlers = self._default_handlers()
        self._shutdown: GracefulShutdown | None = None
        self._start_ms = monotonic_ms()
        self.started = False
        self.admin: AdminInterface | None = None

    def _default_handlers(self) -> dict[type, ActionHandler]:
        """Return the handler of each kind of action before any interception."""
        return {
            io.Send: self.requests.send,
            io.Cancel: self.requests.cancel,
            io.Reject: self.requests.reject,
            io.Fail: self.requests.fail,
            io.OrderCopies: self.requests.send_load_order,
            io.SetTimer: self._set_timer,
            io.Log: lambda action: self.log(action.text),
        }

    @property
    def extension(self) -> Extension | None:
        """The subsystem that observes this front end, if any."""
        return self._extension

    @property
    def shutting_down(self) -> bool:
        """Whether the graceful shutdown has begun."""
        return self._shutdown is not None

    @property
    def replaced(self) -> bool:
        """Whether another process has replaced this one."""
        return self.admin is not None and self.admin.is_replaced

    @property
    def address(self) -> Address:
        """The address that clients connect to."""
        return self.client_port.address

    # --- lifecycle ------------------------------------------------------------------------------

    def use_share(self, share: float) -> None:
        """Use only this share of the descriptors, because another process uses the rest."""
        self.client_port.max_connections = descriptor_share(self.deployment.sockets, share * CLIENT_SHARE)
        self.scorer_pool.max_connections = scorer_descriptors(self.deployment.sockets, share)

    def start(self) -> None:
        """Start the admin interface, accept connections and follow the change log."""
        if self.admin:
            # The router gets its roster before it receives another process's state.
            self.loop.run_iteration(0.0)
            self.admin.start()
        self.client_port.set_accepting(True)
        self.change_log.connect()
        self.loop.timers.after(MAINTENANCE_MS, self._run_maintenance)
        self._start_ms = monotonic_ms()
        self._wait_for_roster()
        self.started = True
        # An operator may have called for standby before.
        self.client_port.ready = self.admin is None or self.admin.is_ready_to_serve

    def serve(self) -> None:
        """Serve until SIGTERM or SIGINT, then until every accepted request has its answer."""
        self.start()  # signals are handled only after this, because the start would undo their effect
        handlers = {signal.SIGTERM: self.shut_down, signal.SIGINT: self.shut_down, signal.SIGHUP: self.reload}
        # Guarded one by one: an error in a reload must not lose a signal that was read together with it.
        self.loop.handle_signals(
            {number: partial(self.loop.run_guarded, handler) for number, handler in handlers.items()}
        )
        self.log(f"serving on {self.address[0]}:{self.address[1]}")
        try:
            self.loop.run()
        finally:
            self.close()

    def reload(self) -> None:
        """Reload the configuration: a new change log address is applied, other changes need a restart."""
        if self._reread_configuration is None:
            return
        try:
            new = self._reread_configuration()
        except ConfigError as error:
            self.log(f"configuration not reloaded: {error}")
            return
        changed = [key for key in START_ONLY_KEYS if getattr(new, key) != getattr(self.deployment, key)]
        ignored = f"; changed keys that need a restart: {', '.join(changed)}" if changed else ""
        self.log(f"configuration reloaded: change log at {new.changelog[0]}:{new.changelog[1]}{ignored}")
        self.change_log.move(new.changelog)

    def shut_down(self) -> None:
        """Begin the graceful shutdown; a second call changes nothing.

        Connections and requests are accepted for a short time after it, and all requests are answered.
        """
        if self._shutdown is not None:
            return
        self.log("shutting down")
        self._shutdown = GracefulShutdown(self)
        if self.admin:
            self.loop.run_guarded(self.admin.shut_down)
        self.client_port.ready = self.replaced  # readiness checks here may be meant for the other process
        self._shutdown.run_scan()

    def close(self) -> None:
        """Close all components and the event loop."""
        for part in (self.admin, self._extension):
            if part:
                part.close()
        self.client_port.close()
        self.change_log.close()
        self.scorer_pool.close()
        self.loop.close()

    def _run_maintenance(self) -> None:
        # Rescheduled first, and each component guarded: an error in one must not stop the maintenance of all.
        self.loop.timers.after(MAINTENANCE_MS, self._run_maintenance)
        for part in (self.change_log, self.scorer_pool, self.client_port):
            self.loop.run_guarded(part.run_maintenance)
        self.roster_confirmation.run_maintenance(monotonic_ms())

    # --- the roster -----------------------------------------------------------------------------

    def _apply_known_events(self) -> None:
        """Apply the known events of the configuration; raises ConfigError if none is well-formed.

        A single malformed event is skipped, because refusing to start would do more harm.
        """
        events = self.deployment.initial_change_log_events
        applied = [self.change_log.event(event, known=True) for event in events]
        malformed = [event for event, is_applied in zip(events, applied, strict=True) if not is_applied]
        for event in malformed:
            if len(malformed) == len(events):
                raise ConfigError(f"known.results: not an event: {str(event)[:80]}")
            self.log(f"known.results: skipped, not an event: {str(event)[:80]}")
        if malformed and not applied[0]:
            # The first event, which is the complete list, has to be read from the change log.
            self.change_log.seq = 0
        else:
            self.change_log.seq = max(self.change_log.seq, self.deployment.initial_change_log_seq)

    def _wait_for_roster(self) -> None:
        """Report not ready while no scorer in service is known, as every request would be rejected.

        Ends once the change log has delivered all its events, or after MAX_ROSTER_WAIT_MS.
        """
        up_to_date = self.change_log.up_to_date_ms is not None
        known = any(scorer.state is io.ScorerState.READY for scorer in self.scorer_pool.scorers.values())
        if up_to_date or known or monotonic_ms() - self._start_ms > MAX_ROSTER_WAIT_MS:
            self.client_port.not_ready_reasons.discard(NOT_READY_NO_SCORER)
        else:
            self.client_port.not_ready_reasons.add(NOT_READY_NO_SCORER)
            self.loop.timers.after(ROSTER_SCAN_MS, self._wait_for_roster)

    def _on_fleet_event(self, fleet: Fleet) -> None:
        up_to_date_ms, corrected_before = self.change_log.up_to_date_ms, self.start_times.corrected_starts
        outdated_ms = float("inf") if up_to_date_ms is None else monotonic_ms() - up_to_date_ms
        fleet = self.start_times.correct(fleet, self.loop.clock.now_ms(), outdated_ms)
        if self.start_times.corrected_starts > corrected_before:
            self.log("start times of scorers come from a clock that differs from this one", "clock")
        self.apply_roster_event(fleet)
        if self._extension:
            self._extension.on_fleet(fleet)

    def _on_roster_confirmed(self, proved_ms: float) -> None:
        if (event := self.roster_confirmation.confirm(proved_ms)) is not None:
            self.loop.enqueue(event)

    def apply_roster_event(self, fleet: Fleet) -> None:
        """Apply a complete roster or a change to it, filtered by the roster overlay."""
        self.apply_filtered_roster(self.roster_overlay.apply(fleet))

    def intercept(self, kind: type, wrap: Callable[[ActionHandler], ActionHandler]) -> None:
        """Execute all actions of a kind with `wrap(previous handler)` from now on."""
        self._action_handlers[kind] = wrap(self._action_handlers[kind])

    def limit_calls(self, who: str, calls_rps: float) -> None:
        """Set the component `who`'s limit of admitted calls per second; the lowest limit of all applies."""
        previous_rps = min(self._call_limits.values(), default=io.UNLIMITED_RPS)
        self._call_limits[who] = calls_rps
        if (lowest_rps := min(self._call_limits.values())) != previous_rps:
            self.loop.enqueue(io.LimitsChanged(lowest_rps))

    def apply_filtered_roster(self, fleet: Fleet) -> None:
        """Pass a complete roster, or a change to it, to the scorer pool and the router."""
        entries = [self._entry(member) for member in fleet.members]
        for entry, address in entries:
            self.scorer_pool.update(entry.scorer, address, entry.state, entry.up_since_ms or 0.0)
        if fleet.complete:
            self.scorer_pool.remove_unlisted({entry.scorer for entry, _ in entries})
        change = io.RosterChanged([entry for entry, _ in entries], fleet.complete)
        if self._pending_change is not None and not change.complete:
            # Merged, so that the router updates its roster only once in the batch.
            self._pending_change.entries += change.entries
        else:
            self._pending_change = change
            self.loop.enqueue(change)

    def _entry(self, member: Member) -> tuple[io.ScorerEntry, Address | None]:
        address = address_from(member.host_port, "host_port") if member.host_port else None
        return io.ScorerEntry(
            scorer=scorer_number(member.id),
            state=STATE_BY_PHASE[member.phase],
            kind=member.flavor,
            zone=member.locality,
            cell=member.cell,
            units=member.size,
            up_since_ms=member.up_since_ms or None,
        ), address

    # --- decisions ------------------------------------------------------------------------------

    def _decide(self, now_ms: float, events: list[io.Event]) -> None:
        self._pending_change = None
        self.roster_confirmation.begin_batch(self.loop.iteration_ms)
        self.requests.begin_batch()
        if self._extension:
            self.loop.run_guarded(self._extension.on_events, events)
        try:
            actions: list[Any] = self.router.handle(now_ms, events)
        except Exception:
            # An error in the router must not end open requests; each of them has its own deadline timer.
            self.loop.log_exception("the decisions")
            self.loop.timers.after(TIMER_RETRY_MS, lambda: self.loop.enqueue(io.TimerDue(0)))
            return
        for action in actions:
            # Guarded one by one: an error affects that action only.
            self.loop.run_guarded(self._action_handlers[type(action)], action)

    def _set_timer(self, action: io.SetTimer) -> None:
        self.loop.timers.after(action.delay_ms, lambda: self.loop.enqueue(io.TimerDue(action.token)))
