"""Serving from a configuration file to an exit status, for the command line and the fast way in."""

import gc
import signal
import sys
from typing import Any

from fawnwharf import config
from fawnwharf import interface as io
from fawnwharf.net.front_end import FrontEnd, Seam


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
    parts: list[Any] = []
    if zones:
        from fawnwharf.zones.log import writer
        from fawnwharf.zones.service import Zones

        parts.append(Zones(deployment, zones, writer(deployment.name)))
    if state:
        from fawnwharf.replication.service import State
        from fawnwharf.zones.log import writer

        parts.append(State(deployment, state, writer(deployment.name), fresh))
    seam = Seams(parts) if len(parts) > 1 else parts[0] if parts else None
    inherited = None
    if deployment.control:
        from fawnwharf.operators.replacement import inherit

        inherited = inherit(deployment)
    listener = inherited.listener if inherited else None
    try:
        front = FrontEnd(deployment, reread=lambda: config.load(path), seam=seam, listener=listener)
    except OSError as error:
        raise config.ConfigError(f"listen: {error.strerror}: {deployment.listen}") from None
    for part in parts:
        part.attach(front)
    if deployment.control:
        from fawnwharf.operators.service import Operators

        Operators(front, deployment.control, inherited)
    return front


class Seams:
    """Several subsystems at the one seam, in their order."""

    def __init__(self, parts: list[Seam]) -> None:
        self._parts = parts

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
