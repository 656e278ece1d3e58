"""Serving from a configuration file to an exit status, for the command line and the fast way in."""

import gc
import signal
import socket
import sys
from collections.abc import Callable
from typing import Any

from fawnwharf import config
from fawnwharf import interface as io
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.listener import listen_when_free, open_listener, termination_pending

LAID = "zones", "state"  # what subsystems lay over the roster, which begins anew with them
# What goes by whose logs.
NEEDS = {"policy": ("zones",), "sessions": ("state",), "recovery": ("zones", "state")}
Made = dict[str, Any]  # subsystems by the names of their options
Maker = Callable[[bool, Made], Any]


def serve(
    path: str | None = None,
    zones: str | None = None,
    state: str | None = None,
    policy: str | None = None,
    sessions: str | None = None,
    fresh: bool = False,
    recovery: str | None = None,
) -> int:
    """Serve until SIGTERM; 0 when all that was taken is answered, 2 with the key's name on a bad start.

    `zones` names the settings of failover between zones, `state` those of replicated state, `policy` those
    of changes of policy, `sessions` those of sessions that move between sites, `recovery` those of the return
    from a loss of power; without them they are off, and not even imported. `fresh`: the fleet begins, and
    nobody has promised anything."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # until the loop has its handlers
    try:
        deployment = config.load(path)
        asked = {"zones": zones, "state": state, "policy": policy, "sessions": sessions, "recovery": recovery}
        front = _bound(deployment, path, {name: file for name, file in asked.items() if file}, fresh)
    except config.ConfigError as error:
        print(f"fawnwharf: {error}", file=sys.stderr)
        return 2
    if front.admin is not None and front.admin.takes_over and termination_pending():
        front.close()  # the process that serves goes on as if this one had not come
        return 0
    gc.freeze()  # what the start has made stays: no collection needs to walk it
    front.serve()
    return 0


def _makers(deployment: config.Deployment, files: dict[str, str], fresh: bool) -> dict[str, Maker]:
    """By the options' names, in the order in which they are made; each is imported only where it is asked
    for."""
    for name, needed in NEEDS.items():
        missing = [each for each in needed if name in files and each not in files]
        if missing:
            raise config.ConfigError(f"--{name}: goes by the logs of --{missing[0]}, which is not given")
    makers: dict[str, Maker] = {}
    if files:
        from fawnwharf.zones.operator_log import writer

        write = writer(deployment.name)
    if place := files.get("zones"):
        from fawnwharf.zones.service import ZoneService

        makers["zones"] = lambda first, made, place=place: ZoneService(deployment, place, write)
    if place := files.get("recovery"):
        from fawnwharf.recovery_service.recovery_store import open_recovery_store

        makers["kept"] = lambda first, made, place=place: open_recovery_store(
            deployment, place, files["state"], write, fleet_is_new=fresh and first
        )
    if place := files.get("state"):
        from fawnwharf.replication.service import ReplicationService

        makers["state"] = lambda first, made, place=place: ReplicationService(
            deployment,
            place,
            write,
            fresh=fresh and first,
            grant_storage_factory=made.get("kept"),
        )
    if place := files.get("policy"):
        from fawnwharf.policy_rollout.service import PolicyRolloutService

        makers["policy"] = lambda first, made, place=place: PolicyRolloutService(
            deployment, place, write, made
        )
    if place := files.get("sessions"):
        from fawnwharf.sessions.service import Sessions

        makers["sessions"] = lambda first, made, place=place: Sessions(
            deployment, place, write, made, fresh and first
        )
    if place := files.get("recovery"):
        from fawnwharf.recovery_service.service import RecoveryService

        makers["recovery"] = lambda first, made, place=place: RecoveryService(deployment, place, write, made)
    return makers


def _bound(deployment: config.Deployment, path: str | None, files: dict[str, str], fresh: bool) -> FrontEnd:
    makers = _makers(deployment, files, fresh)
    inherited = None
    if deployment.control:
        from fawnwharf.admin.handoff_request import inherit_state

        # First: the process before may have the disks of these extensions.
        inherited = inherit_state(deployment, needs_extensions=bool(makers))
    extension = ExtensionGroup(makers, not (inherited and inherited.channel)) if makers else None
    listener = (inherited and inherited.listener) or _listener(deployment)
    front = FrontEnd(deployment, reread=lambda: config.load(path), extension=extension, listener=listener)
    if extension:
        extension.attach(front)
    if deployment.control:
        from fawnwharf.admin.service import AdminService

        AdminService(front, deployment.control, inherited)
    return front


def _listener(deployment: config.Deployment) -> socket.socket:
    shared = deployment.control is not None  # another process may listen there, to take this one's place
    try:
        return listen_when_free(lambda: open_listener(deployment.listen, shared))
    except OSError as error:
        raise config.ConfigError(f"listen: {error.strerror}: {deployment.listen}") from None


class ExtensionGroup:
    """The subsystems at the one seam, in their order: all of them, or none while another process has them."""

    def __init__(self, makers: dict[str, Maker], first: bool) -> None:
        """Each maker reads and checks what its subsystem needs, of which those before it are made already,
        and raises ConfigError. `first`: no process before this one may have promised anything in the
        member's name that a fresh fleet need not know."""
        self._makers = makers
        self._parts = self._made(first)

    def _made(self, first: bool) -> list[Any]:
        made: Made = {}
        try:
            for name, make in self._makers.items():
                made[name] = make(first, made)
        except config.ConfigError:
            for part in made.values():
                part.close()
            raise
        return list(made.values())

    def attach(self, front: FrontEnd) -> None:
        for part in self._parts:
            part.attach(front)

    def suspend(self) -> None:
        self.close()
        self._parts = []

    def resume(self, front: FrontEnd) -> None:
        self._parts = self._made(first=False)
        for who in LAID:
            front.apply_fleet(front.roster_overlay.set_filter(who, None))
        front.limit_calls(LAID[0], io.UNLIMITED_RPS)
        self.on_fleet(
            config.Fleet(list(front.roster_overlay.members.values()), True, front.roster_overlay.revision)
        )
        try:
            self.attach(front)
        except config.ConfigError:
            self.suspend()
            raise

    def on_fleet(self, fleet: config.Fleet) -> None:
        for part in self._parts:
            part.on_fleet(fleet)

    def on_events(self, events: list[io.Event]) -> None:
        for part in self._parts:
            part.on_events(events)

    @property
    def busy(self) -> bool:
        return any(part.busy for part in self._parts)

    def close(self) -> None:
        for part in self._parts:
            part.close()
