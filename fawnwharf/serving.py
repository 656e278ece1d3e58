"""Serving from a configuration file to an exit status, for the command line and the fast way in."""

import gc
import signal
import sys
from collections.abc import Callable
from typing import Any

from fawnwharf import config
from fawnwharf import interface as io
from fawnwharf.net.front_end import FrontEnd

LAID = "zones", "state"  # what subsystems lay over the roster, which begins anew with them


def serve(
    path: str | None = None, zones: str | None = None, state: str | None = None, fresh: bool = False
) -> int:
    """Serve until SIGTERM; 0 when all that was taken is answered, 2 with the key's name on a bad start.

    `zones` names the settings of failover between zones, `state` those of replicated state; without them
    they are off, and not even imported. `fresh`: the fleet begins, and nobody has promised anything."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # until the loop has its handlers
    try:
        deployment = config.load(path)
        front = _bound(deployment, path, zones, state, fresh)
    except config.ConfigError as error:
        print(f"fawnwharf: {error}", file=sys.stderr)
        return 2
    gc.freeze()  # what the start has made stays: no collection needs to walk it
    front.serve()
    return 0


def _bound(
    deployment: config.Deployment, path: str | None, zones: str | None, state: str | None, fresh: bool
) -> FrontEnd:
    makers: list[Callable[[bool], Any]] = []
    if zones:
        from fawnwharf.zones.log import writer
        from fawnwharf.zones.service import Zones

        makers.append(lambda first: Zones(deployment, zones, writer(deployment.name)))
    if state:
        from fawnwharf.replication.service import State
        from fawnwharf.zones.log import writer

        makers.append(lambda first: State(deployment, state, writer(deployment.name), fresh and first))
    inherited = None
    if deployment.control:
        from fawnwharf.operators.replacement import inherit

        inherited = inherit(deployment, bool(makers))  # first: the process before may have their disks
    seam = Seams(makers, not (inherited and inherited.channel)) if makers else None
    listener = inherited.listener if inherited else None
    try:
        front = FrontEnd(deployment, reread=lambda: config.load(path), seam=seam, listener=listener)
    except OSError as error:
        raise config.ConfigError(f"listen: {error.strerror}: {deployment.listen}") from None
    if seam:
        seam.attach(front)
    if deployment.control:
        from fawnwharf.operators.service import Operators

        Operators(front, deployment.control, inherited)
    return front


class Seams:
    """The subsystems at the one seam, in their order: all of them, or none while another process has them."""

    def __init__(self, makers: list[Callable[[bool], Any]], first: bool) -> None:
        """Each maker reads and checks what its subsystem needs, and raises ConfigError. `first`: no process
        before this one may have promised anything in the member's name that a fresh fleet need not know."""
        self._makers = makers
        self._parts = self._made(first)

    def _made(self, first: bool) -> list[Any]:
        parts: list[Any] = []
        try:
            for make in self._makers:
                parts.append(make(first))
        except config.ConfigError:
            for part in parts:
                part.close()
            raise
        return parts

    def attach(self, front: FrontEnd) -> None:
        for part in self._parts:
            part.attach(front)

    def release(self) -> None:
        self.close()
        self._parts = []

    def take_back(self, front: FrontEnd) -> None:
        self._parts = self._made(first=False)
        for who in LAID:
            front.go_by(front.overlay.close(who, None))
        front.limit(LAID[0], io.UNLIMITED_RPS)
        self.told(config.Fleet(list(front.overlay.members.values()), True, front.overlay.revision))
        try:
            self.attach(front)
        except config.ConfigError:
            self.release()
            raise

    def told(self, fleet: config.Fleet) -> None:
        for part in self._parts:
            part.told(fleet)

    def events(self, events: list[io.Event]) -> None:
        for part in self._parts:
            part.events(events)

    @property
    def busy(self) -> bool:
        return any(part.busy for part in self._parts)

    def close(self) -> None:
        for part in self._parts:
            part.close()
