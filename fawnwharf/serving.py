"""Serving from a configuration file to an exit status, for the command line and the fast way in."""

import gc
import signal
import sys

from fawnwharf import config
from fawnwharf.net.front_end import FrontEnd


def serve(path: str | None = None, zones: str | None = None) -> int:
    """Serve until SIGTERM; 0 when all that was taken is answered, 2 with the key's name on a bad start.

    `zones` names the settings of failover between zones, which is off, and not even imported, without
    them."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # until the loop has its handlers
    try:
        deployment = config.load(path)
        front = _bound(deployment, path, zones)
    except config.ConfigError as error:
        print(f"fawnwharf: {error}", file=sys.stderr)
        return 2
    gc.freeze()  # what the start has made stays: no collection needs to walk it
    front.serve()
    return 0


def _bound(deployment: config.Deployment, path: str | None, zones: str | None) -> FrontEnd:
    seam = None
    if zones:
        from fawnwharf.zones.log import writer
        from fawnwharf.zones.service import Zones

        seam = Zones(deployment, zones, writer(deployment.name))
    try:
        front = FrontEnd(deployment, reread=lambda: config.load(path), seam=seam)
    except OSError as error:
        raise config.ConfigError(f"listen: {error.strerror}: {deployment.listen}") from None
    if seam:
        seam.attach(front)
    return front
