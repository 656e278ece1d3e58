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
from fawnwharf.net.graceful_shutdown import Leaving
from fawnwharf.net.log import Log
from fawnwharf.net.loop import Loop
from fawnwharf.net.requests import RequestTable
from fawnwharf.net.roster_overlay import Overlay
from fawnwharf.net.scorers import ScorerPool
from fawnwharf.net.starts import Starts
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.policy import Router

TIDY_MS = 250.0  # pace of the look after idle and silent connections
ROSTER = "roster"  # what a front end without a scorer in service waits for
ROSTER_MOST_MS = 4_000.0  # ready within 6 s, where the change log is down and nobody is known
ROSTER_LOOK_MS = 20.0
CLIENT_SHARE = 0.4  # of the descriptors; clients hold a third at most
SCORER_SHARE = 0.4
# Left over by both, at small limits too: three standard streams, selector, listener, wake pair, change log,
# the operators' listener and a connection to it, the socket for a replacement and the channel to it, one to
# accept or dial with.
KEPT_DESCRIPTORS = 13
# Keys that a reload leaves alone.
AT_START = ("name", "listen", "control", "memory_mb", "sockets", "settings", "wire")
AFTER_FAULT_MS = 40.0  # the module's sweep, set again where a fault may have lost it

STATES = {
    "in_service": io.ScorerState.READY,
    "terminating": io.ScorerState.DRAINING,
    "terminated": io.ScorerState.GONE,
}


def _part(sockets: int, share: float) -> int:
    return max(4, int(sockets * share))


def _scorer_part(sockets: int, part: float = 1.0) -> int:
    """The scorers' part: what is kept for everything else comes out of it at small limits."""
    rest = sockets - _part(sockets, CLIENT_SHARE) - KEPT_DESCRIPTORS
    return max(4, int(part * min(sockets * SCORER_SHARE, rest)))


def worker_number(id: str) -> int:
    """The same at every front end, so that all make the same hash orders."""
    return int.from_bytes(hashlib.blake2b(id.encode(), digest_size=4).digest(), "big")


class Part(Protocol):
    """What ends together with the front end."""

    def close(self) -> None:
        """The front end ends."""


class OperatorsPart(Part, Protocol):
    """What operators ask, in a running front end."""

    replaced: bool  # another process has taken this one's place
    takes_over: bool  # this one is about to take another process's place
    busy: bool  # something is still to be given to it

    def begin(self) -> None:
        """The front end starts."""

    def leave(self) -> None:
        """It was told to end."""


class Seam(Part, Protocol):
    """What another subsystem hears of what this front end is told, and of what comes of it. What it closes
    it lays over the roster (`Overlay.close`)."""

    def told(self, fleet: Fleet) -> None:
        """What the change log told, once it is taken."""

    def events(self, events: list[io.Event]) -> None:
        """A batch, before the module has it."""

    def release(self) -> None:
        """Another process is to have what only one may have: close it all."""

    def take_back(self, front: "FrontEnd") -> None:
        """Begin anew, as that process is gone; raises ConfigError while it still has something."""

    @property
    def busy(self) -> bool:
        """Whether somebody waits for an answer of whom the table of requests does not know."""


class FrontEnd:
    """One front end: owns the loop and the parts, and carries the module's actions out."""

    def __init__(
        self,
        deployment: Deployment,
        log: Log | None = None,
        reread: Callable[[], Deployment] | None = None,
        seam: Seam | None = None,
        listener: socket.socket | None = None,
    ) -> None:
        """`reread` gives the configuration anew at each SIGHUP; without it, SIGHUP changes nothing.
        `seam` hears of the roster and of each batch. `listener` is one taken over."""
        self.deployment, self._reread, self._seam = deployment, reread, seam
        self.log = log or Log(deployment.name or "fawnwharf")
        settings, wire, sockets = deployment.settings, deployment.wire, deployment.sockets
        self.loop = Loop(self._decide, self.log)
        # A copy: the module writes what it is handed among them.
        own = replace(settings, classes=dict(settings.classes), quotas_rps=dict(settings.quotas_rps))
        self.router = Router(own, deployment.seed)
        self.pool = ScorerPool(self.loop, wire, _scorer_part(sockets), deployment.seed, self.log)
        self.table = RequestTable(self.loop, self.pool, wire, settings.classes)
        self._news: io.RosterChanged | None = None  # that the next batch brings
        self.overlay, self.starts = Overlay(), Starts()
        self._limits: dict[str, float] = {}  # by who sets it
        self.changelog = ChangeLog(self.loop, deployment.changelog, 0, self._on_fleet, self.log)
        self._known()
        self.port = ClientPort(
            self.loop, deployment.listen, self.table, settings.classes, wire.tenants,
            _part(sockets, CLIENT_SHARE), self.log, deployment.control is not None, listener,
        )  # fmt: skip
        self._carriers = {
            io.Send: self.table.send,
            io.Cancel: self.table.cancel,
            io.Reject: self.table.refuse,
            io.Fail: self.table.fail,
            io.OrderCopies: self.table.order,
            io.SetTimer: self._set_timer,
            io.Log: lambda action: self.log(action.text),
        }
        self._leaving: Leaving | None = None
        self._start_ms = monotonic_ms()
        self.started = False
        self.admin: OperatorsPart | None = None

    @property
    def seam(self) -> Seam | None:
        return self._seam

    @property
    def leaving(self) -> bool:
        return self._leaving is not None

    @property
    def replaced(self) -> bool:
        """Whether another process has taken this one's place."""
        return self.admin is not None and self.admin.replaced

    @property
    def address(self) -> Address:
        return self.port.address

    # --- life -----------------------------------------------------------------------------------

    def keep_to(self, part: float) -> None:
        """Keep to a part of the descriptors: another process has the rest."""
        self.port.most = _part(self.deployment.sockets, part * CLIENT_SHARE)
        self.pool.links_most = _scorer_part(self.deployment.sockets, part)

    def start(self) -> None:
        if self.admin:
            self.loop.turn(0.0)  # the module has its roster before it is told what another process learnt
            self.admin.begin()
        self.port.accept(True)
        self.changelog.connect()
        self.loop.wheel.after(TIDY_MS, self._tidy)
        self._start_ms = monotonic_ms()
        self._await_roster()
        self.started = self.port.ready = True

    def serve(self) -> None:
        """Serve until SIGTERM or SIGINT, then until all that was taken has its answer."""
        self.start()  # signals that come before are taken after: the start would undo what they bring
        calls = {signal.SIGTERM: self.leave, signal.SIGINT: self.leave, signal.SIGHUP: self.reload}
        # Each by itself: a fault in a reload must not swallow the signal that was read along with it.
        self.loop.on_signals({number: partial(self.loop.guarded, call) for number, call in calls.items()})
        self.log(f"serving on {self.address[0]}:{self.address[1]}")
        try:
            self.loop.run()
        finally:
            self.close()

    def reload(self) -> None:
        """Read the configuration again. The change log moves; requests and links stay as they are."""
        if self._reread is None:
            return
        try:
            read = self._reread()
        except ConfigError as error:
            self.log(f"configuration not taken over: {error}")
            return
        at_start = [key for key in AT_START if getattr(read, key) != getattr(self.deployment, key)]
        rest = f"; changed, but read at a start only: {', '.join(at_start)}" if at_start else ""
        self.log(f"configuration read again: change log at {read.changelog[0]}:{read.changelog[1]}{rest}")
        self.changelog.move(read.changelog)

    def leave(self) -> None:
        """Begin to end: keep accepting and serving until late arrivals are in and all is answered. Told
        again, it goes on as it was."""
        if self._leaving is not None:
            return
        self.log("leaving")
        self._leaving = Leaving(self)
        if self.admin:
            self.loop.guarded(self.admin.leave)
        self.port.ready = self.replaced  # the front asks for the other process's sake, too
        self._leaving.look()

    def close(self) -> None:
        for part in (self.admin, self._seam):
            if part:
                part.close()
        self.port.close()
        self.changelog.close()
        self.pool.close()
        self.loop.close()

    def _tidy(self) -> None:
        # First, and each part by itself: a fault in one must not end the tidying of all.
        self.loop.wheel.after(TIDY_MS, self._tidy)
        for part in (self.changelog, self.pool, self.port):
            self.loop.guarded(part.tidy)

    # --- the roster -----------------------------------------------------------------------------

    def _known(self) -> None:
        """Take the events of the start. A faulty one costs itself alone, as a refused start costs all; where
        nothing can be read, the configuration is another one's."""
        events = self.deployment.known_events
        taken = [self.changelog.event(event, of_start=True) for event in events]
        faulty = [event for event, sound in zip(events, taken, strict=True) if not sound]
        for event in faulty:
            if len(faulty) == len(events):
                raise ConfigError(f"known.results: not an event: {str(event)[:80]}")
            self.log(f"known.results: passed over, not an event: {str(event)[:80]}")
        if faulty and not taken[0]:  # what came first, the whole list, is to be told by the log
            self.changelog.seq = 0
        else:
            self.changelog.seq = max(self.changelog.seq, self.deployment.known_seq)

    def _await_roster(self) -> None:
        """Take no work while no scorer in service is known, unless the log has nothing more to tell: it would
        all be refused. Bounded, as a front end that never says that it is ready serves nobody."""
        told = self.changelog.told_all_ms is not None
        known = any(scorer.state is io.ScorerState.READY for scorer in self.pool.scorers.values())
        if told or known or monotonic_ms() - self._start_ms > ROSTER_MOST_MS:
            self.port.waits_for.discard(ROSTER)
        else:
            self.port.waits_for.add(ROSTER)
            self.loop.wheel.after(ROSTER_LOOK_MS, self._await_roster)

    def _on_fleet(self, fleet: Fleet) -> None:
        heard_ms, before = self.changelog.told_all_ms, self.starts.apart
        unheard_ms = float("inf") if heard_ms is None else monotonic_ms() - heard_ms
        fleet = self.starts.own(fleet, self.loop.clock.now_ms(), unheard_ms)
        if self.starts.apart > before:
            self.log("starts of scorers are told by a clock that is apart from this one", "clock")
        self.take_fleet(fleet)
        if self._seam:
            self._seam.told(fleet)

    def take_fleet(self, fleet: Fleet) -> None:
        """Take this roster, or these changes of it, and go by what is laid over it."""
        self.go_by(self.overlay.told(fleet))

    def stand_between(
        self, kind: type, part: Callable[[Callable[[Any], None]], Callable[[Any], None]]
    ) -> None:
        """Have a part carry out all actions of a kind from now on; it is handed what did so before."""
        self._carriers[kind] = part(self._carriers[kind])

    def limit(self, who: str, calls_rps: float) -> None:
        """No more than so many calls a second are to be taken here, as `who` has it; the least counts."""
        before = min(self._limits.values(), default=io.UNLIMITED_RPS)
        self._limits[who] = calls_rps
        if (least := min(self._limits.values())) != before:
            self.loop.tell(io.LimitsChanged(least))

    def go_by(self, fleet: Fleet) -> None:
        """Go by this roster, or by these changes of it, from now on."""
        entries = [self._entry(member) for member in fleet.members]
        for entry, address in entries:
            self.pool.update(entry.scorer, address, entry.state, entry.up_since_ms or 0.0)
        if fleet.complete:
            self.pool.gone_but({entry.scorer for entry, _ in entries})
        told = io.RosterChanged([entry for entry, _ in entries], fleet.complete)
        if self._news is not None and not told.complete:
            self._news.entries += told.entries  # the same in sum, and the module goes over its fleet once
        else:
            self._news = told
            self.loop.tell(told)

    def _entry(self, member: Member) -> tuple[io.ScorerEntry, Address | None]:
        address = address_from(member.host_port, "host_port") if member.host_port else None
        return io.ScorerEntry(
            scorer=worker_number(member.id),
            state=STATES[member.phase],
            kind=member.flavor,
            zone=member.locality,
            cell=member.cell,
            units=member.size,
            up_since_ms=member.up_since_ms or None,
        ), address

    # --- decisions ------------------------------------------------------------------------------

    def _decide(self, now_ms: float, events: list[io.Event]) -> None:
        self._news = None
        self.table.begin_batch()
        if self._seam:
            self.loop.guarded(self._seam.events, events)
        try:
            actions: list[Any] = self.router.handle(now_ms, events)
        except Exception:
            # A fault in the decisions must not take down what is open: each request has its backstop.
            self.loop.fault("the decisions")
            self.loop.wheel.after(AFTER_FAULT_MS, lambda: self.loop.tell(io.TimerDue(0)))
            return
        for action in actions:
            self.loop.guarded(self._carriers[type(action)], action)  # a fault costs that one alone

    def _set_timer(self, action: io.SetTimer) -> None:
        self.loop.wheel.after(action.delay_ms, lambda: self.loop.tell(io.TimerDue(action.token)))
