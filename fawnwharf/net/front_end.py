"""The front end as an object that others can embed: the parts, wired round one Router."""

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
from fawnwharf.net.clients import ClientPort
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.graceful_shutdown import GracefulShutdown
from fawnwharf.net.log_writer import LogWriter
from fawnwharf.net.requests import RequestTable
from fawnwharf.net.roster_overlay import RosterOverlay
from fawnwharf.net.scorer_pool import ScorerPool
from fawnwharf.net.scorer_start_times import ScorerStartTimes
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.policy import Router

TIDY_MS = 250.0  # pace of the look after idle and silent connections
ROSTER = "roster"  # what a front end without a scorer in service waits for
MAX_ROSTER_WAIT_MS = 4_000.0  # ready within 6 s, where the change log is down and nobody is known
ROSTER_SCAN_MS = 20.0
CLIENT_SHARE = 0.4  # of the descriptors; clients hold a third at most
SCORER_SHARE = 0.4
# Left over by both, at small limits too: three standard streams, selector, listener, wake pair, change log,
# the operators' listener and a connection to it, the socket for a replacement and the channel to it, one to
# accept or dial with.
RESERVED_DESCRIPTORS = 13
# Keys that a reload leaves alone.
START_ONLY_KEYS = ("name", "listen", "control", "memory_mb", "sockets", "settings", "wire")
AFTER_FAULT_MS = 40.0  # the module's sweep, set again where a fault may have lost it

STATES = {
    "in_service": io.ScorerState.READY,
    "terminating": io.ScorerState.DRAINING,
    "terminated": io.ScorerState.GONE,
}


def _descriptor_share(sockets: int, share: float) -> int:
    return max(4, int(sockets * share))


def _scorer_descriptors(sockets: int, part: float = 1.0) -> int:
    """The scorers' part: what is kept for everything else comes out of it at small limits."""
    rest = sockets - _descriptor_share(sockets, CLIENT_SHARE) - RESERVED_DESCRIPTORS
    return max(4, int(part * min(sockets * SCORER_SHARE, rest)))


def scorer_number(id: str) -> int:
    """The same at every front end, so that all make the same hash orders."""
    return int.from_bytes(hashlib.blake2b(id.encode(), digest_size=4).digest(), "big")


class LifecycleComponent(Protocol):
    """What ends together with the front end."""

    def close(self) -> None:
        """The front end ends."""


class OperatorsComponent(LifecycleComponent, Protocol):
    """What operators ask, in a running front end."""

    @property
    def replaced(self) -> bool:
        """Whether another process has taken over from this one."""

    @property
    def takes_over(self) -> bool:
        """Whether this process is about to take over from another one."""

    @property
    def busy(self) -> bool:
        """Whether a hand-off is still going on."""

    def begin(self) -> None:
        """The front end starts."""

    def leave(self) -> None:
        """It was told to end."""


class Extension(LifecycleComponent, Protocol):
    """What another subsystem hears of what this front end is told, and of what comes of it. What it closes
    it lays over the roster (`Overlay.close`)."""

    def on_fleet(self, fleet: Fleet) -> None:
        """What the change log told, once it is taken."""

    def on_events(self, events: list[io.Event]) -> None:
        """A batch, before the module has it."""

    def suspend(self) -> None:
        """Another process is to have what only one may have: close it all."""

    def resume(self, front: "FrontEnd") -> None:
        """Begin anew, as that process is gone; raises ConfigError while it still has something."""

    @property
    def busy(self) -> bool:
        """Whether somebody waits for an answer of whom the table of requests does not know."""


class FrontEnd:
    """One front end: owns the loop and the parts, and carries the module's actions out."""

    def __init__(
        self,
        deployment: Deployment,
        log: LogWriter | None = None,
        reread: Callable[[], Deployment] | None = None,
        extension: Extension | None = None,
        listener: socket.socket | None = None,
    ) -> None:
        """`reread` gives the configuration anew at each SIGHUP; without it, SIGHUP changes nothing.
        `seam` hears of the roster and of each batch. `listener` is one taken over."""
        self.deployment, self._reread_configuration, self._extension = deployment, reread, extension
        self.log = log or LogWriter(deployment.name or "fawnwharf")
        settings, wire, sockets = deployment.settings, deployment.wire, deployment.sockets
        self.loop = EventLoop(self._decide, self.log)
        # A copy: the module writes what it is handed among them.
        own = replace(settings, classes=dict(settings.classes), quotas_rps=dict(settings.quotas_rps))
        self.router = Router(own, deployment.seed)
        self.scorer_pool = ScorerPool(
            self.loop, wire, _scorer_descriptors(sockets), deployment.seed, self.log
        )
        self.requests = RequestTable(self.loop, self.scorer_pool, wire, settings.classes)
        self._pending_change: io.RosterChanged | None = None  # that the next batch brings
        self.roster_overlay, self.start_times = RosterOverlay(), ScorerStartTimes()
        self._call_limits: dict[str, float] = {}  # by who sets it
        self.change_log = ChangeLog(self.loop, deployment.changelog, 0, self._on_fleet_event, self.log)
        self._apply_known_events()
        self.client_port = ClientPort(
            self.loop, deployment.listen, self.requests, settings.classes, wire.tenants,
            _descriptor_share(sockets, CLIENT_SHARE), self.log, deployment.control is not None, listener,
        )  # fmt: skip
        self._action_handlers = {
            io.Send: self.requests.send,
            io.Cancel: self.requests.cancel,
            io.Reject: self.requests.reject,
            io.Fail: self.requests.fail,
            io.OrderCopies: self.requests.start_load,
            io.SetTimer: self._set_timer,
            io.Log: lambda action: self.log(action.text),
        }
        self._shutdown: GracefulShutdown | None = None
        self._start_ms = monotonic_ms()
        self.started = False
        self.admin: OperatorsComponent | None = None

    @property
    def extension(self) -> Extension | None:
        return self._extension

    @property
    def shutting_down(self) -> bool:
        return self._shutdown is not None

    @property
    def replaced(self) -> bool:
        """Whether another process has taken this one's place."""
        return self.admin is not None and self.admin.replaced

    @property
    def address(self) -> Address:
        return self.client_port.address

    # --- life -----------------------------------------------------------------------------------

    def use_share(self, part: float) -> None:
        """Keep to a part of the descriptors: another process has the rest."""
        self.client_port.max_connections = _descriptor_share(self.deployment.sockets, part * CLIENT_SHARE)
        self.scorer_pool.max_connections = _scorer_descriptors(self.deployment.sockets, part)

    def start(self) -> None:
        if self.admin:
            self.loop.run_iteration(
                0.0
            )  # the module has its roster before it is told what another process learnt
            self.admin.begin()
        self.client_port.set_accepting(True)
        self.change_log.connect()
        self.loop.timers.after(TIDY_MS, self._run_maintenance)
        self._start_ms = monotonic_ms()
        self._wait_for_roster()
        self.started = self.client_port.ready = True

    def serve(self) -> None:
        """Serve until SIGTERM or SIGINT, then until all that was taken has its answer."""
        self.start()  # signals that come before are taken after: the start would undo what they bring
        calls = {signal.SIGTERM: self.shut_down, signal.SIGINT: self.shut_down, signal.SIGHUP: self.reload}
        # Each by itself: a fault in a reload must not swallow the signal that was read along with it.
        self.loop.handle_signals(
            {number: partial(self.loop.run_guarded, call) for number, call in calls.items()}
        )
        self.log(f"serving on {self.address[0]}:{self.address[1]}")
        try:
            self.loop.run()
        finally:
            self.close()

    def reload(self) -> None:
        """Read the configuration again. The change log moves; requests and links stay as they are."""
        if self._reread_configuration is None:
            return
        try:
            read = self._reread_configuration()
        except ConfigError as error:
            self.log(f"configuration not taken over: {error}")
            return
        at_start = [key for key in START_ONLY_KEYS if getattr(read, key) != getattr(self.deployment, key)]
        rest = f"; changed, but read at a start only: {', '.join(at_start)}" if at_start else ""
        self.log(f"configuration read again: change log at {read.changelog[0]}:{read.changelog[1]}{rest}")
        self.change_log.move(read.changelog)

    def shut_down(self) -> None:
        """Begin to end: keep accepting and serving until late arrivals are in and all is answered. Told
        again, it goes on as it was."""
        if self._shutdown is not None:
            return
        self.log("leaving")
        self._shutdown = GracefulShutdown(self)
        if self.admin:
            self.loop.run_guarded(self.admin.leave)
        self.client_port.ready = self.replaced  # the front asks for the other process's sake, too
        self._shutdown.look()

    def close(self) -> None:
        for part in (self.admin, self._extension):
            if part:
                part.close()
        self.client_port.close()
        self.change_log.close()
        self.scorer_pool.close()
        self.loop.close()

    def _run_maintenance(self) -> None:
        # First, and each part by itself: a fault in one must not end the tidying of all.
        self.loop.timers.after(TIDY_MS, self._run_maintenance)
        for part in (self.change_log, self.scorer_pool, self.client_port):
            self.loop.run_guarded(part.run_maintenance)

    # --- the roster -----------------------------------------------------------------------------

    def _apply_known_events(self) -> None:
        """Take the events of the start. A faulty one costs itself alone, as a refused start costs all; where
        nothing can be read, the configuration is another one's."""
        events = self.deployment.known_events
        taken = [self.change_log.event(event, of_start=True) for event in events]
        faulty = [event for event, sound in zip(events, taken, strict=True) if not sound]
        for event in faulty:
            if len(faulty) == len(events):
                raise ConfigError(f"known.results: not an event: {str(event)[:80]}")
            self.log(f"known.results: passed over, not an event: {str(event)[:80]}")
        if faulty and not taken[0]:  # what came first, the whole list, is to be told by the log
            self.change_log.seq = 0
        else:
            self.change_log.seq = max(self.change_log.seq, self.deployment.known_seq)

    def _wait_for_roster(self) -> None:
        """Take no work while no scorer in service is known, unless the log has nothing more to tell: it would
        all be refused. Bounded, as a front end that never says that it is ready serves nobody."""
        told = self.change_log.told_all_ms is not None
        known = any(scorer.state is io.ScorerState.READY for scorer in self.scorer_pool.scorers.values())
        if told or known or monotonic_ms() - self._start_ms > MAX_ROSTER_WAIT_MS:
            self.client_port.not_ready_reasons.discard(ROSTER)
        else:
            self.client_port.not_ready_reasons.add(ROSTER)
            self.loop.timers.after(ROSTER_SCAN_MS, self._wait_for_roster)

    def _on_fleet_event(self, fleet: Fleet) -> None:
        heard_ms, before = self.change_log.told_all_ms, self.start_times.apart
        unheard_ms = float("inf") if heard_ms is None else monotonic_ms() - heard_ms
        fleet = self.start_times.own(fleet, self.loop.clock.now_ms(), unheard_ms)
        if self.start_times.apart > before:
            self.log("starts of scorers are told by a clock that is apart from this one", "clock")
        self.receive_fleet(fleet)
        if self._extension:
            self._extension.on_fleet(fleet)

    def receive_fleet(self, fleet: Fleet) -> None:
        """Take this roster, or these changes of it, and go by what is laid over it."""
        self.apply_fleet(self.roster_overlay.apply(fleet))

    def intercept(self, kind: type, part: Callable[[Callable[[Any], None]], Callable[[Any], None]]) -> None:
        """Have a part carry out all actions of a kind from now on; it is handed what did so before."""
        self._action_handlers[kind] = part(self._action_handlers[kind])

    def limit_calls(self, who: str, calls_rps: float) -> None:
        """No more than so many calls a second are to be taken here, as `who` has it; the least counts."""
        before = min(self._call_limits.values(), default=io.UNLIMITED_RPS)
        self._call_limits[who] = calls_rps
        if (least := min(self._call_limits.values())) != before:
            self.loop.enqueue(io.LimitsChanged(least))

    def apply_fleet(self, fleet: Fleet) -> None:
        """Go by this roster, or by these changes of it, from now on."""
        entries = [self._entry(member) for member in fleet.members]
        for entry, address in entries:
            self.scorer_pool.update(entry.scorer, address, entry.state, entry.up_since_ms or 0.0)
        if fleet.complete:
            self.scorer_pool.remove_unlisted({entry.scorer for entry, _ in entries})
        told = io.RosterChanged([entry for entry, _ in entries], fleet.complete)
        if self._pending_change is not None and not told.complete:
            self._pending_change.entries += (
                told.entries
            )  # the same in sum, and the module goes over its fleet once
        else:
            self._pending_change = told
            self.loop.enqueue(told)

    def _entry(self, member: Member) -> tuple[io.ScorerEntry, Address | None]:
        address = address_from(member.host_port, "host_port") if member.host_port else None
        return io.ScorerEntry(
            scorer=scorer_number(member.id),
            state=STATES[member.phase],
            kind=member.flavor,
            zone=member.locality,
            cell=member.cell,
            units=member.size,
            up_since_ms=member.up_since_ms or None,
        ), address

    # --- decisions ------------------------------------------------------------------------------

    def _decide(self, now_ms: float, events: list[io.Event]) -> None:
        self._pending_change = None
        self.requests.begin_batch()
        if self._extension:
            self.loop.run_guarded(self._extension.on_events, events)
        try:
            actions: list[Any] = self.router.handle(now_ms, events)
        except Exception:
            # A fault in the decisions must not take down what is open: each request has its backstop.
            self.loop.log_exception("the decisions")
            self.loop.timers.after(AFTER_FAULT_MS, lambda: self.loop.enqueue(io.TimerDue(0)))
            return
        for action in actions:
            self.loop.run_guarded(self._action_handlers[type(action)], action)  # a fault costs that one alone

    def _set_timer(self, action: io.SetTimer) -> None:
        self.loop.timers.after(action.delay_ms, lambda: self.loop.enqueue(io.TimerDue(action.token)))
