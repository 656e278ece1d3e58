"""Serves from a configuration file to an exit status, with or without the command line's libraries."""

import gc
import signal
import socket
import sys
from collections.abc import Callable
from typing import Any, TypedDict, Unpack

from fawnwharf import config
from fawnwharf import interface as io
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.listener import listen_when_free, open_listener, termination_pending

ROSTER_FILTER_OWNERS = "zones", "state"  # subsystems that filter the roster; the filters go as they restart
# Options that an option needs, as its subsystem reads the logs of theirs.
REQUIRED_OPTIONS = {"policy": ("zones",), "sessions": ("state",), "recovery": ("zones", "state")}
Subsystems = dict[str, Any]  # by the names of their options
Maker = Callable[[bool, Subsystems], Any]


class SubsystemFiles(TypedDict, total=False):
    """The settings files of the subsystems; None or missing: the subsystem is off, and not even imported."""

    zones: str | None  # failover between zones
    state: str | None  # replicated state
    policy: str | None  # changes of policy
    sessions: str | None  # sessions that move between sites
    recovery: str | None  # the return from a loss of power


def serve(path: str | None = None, *, fresh: bool = False, **files: Unpack[SubsystemFiles]) -> int:
    """Serve until SIGTERM; returns the exit status.

    It is 0 when all accepted requests are answered, 2 with the key's name on standard error where the
    configuration is faulty. `path` is that of the configuration file; None: ROUTER_CONFIG gives it. `fresh`:
    the fleet begins, and no front end has promised anything.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # until the loop has its handlers
    try:
        deployment = config.load(path)
        given = {name: str(file) for name, file in files.items() if file}
        front = _open_front_end(deployment, path, given, fresh)
    except config.ConfigError as error:
        print(f"fawnwharf: {error}", file=sys.stderr)
        return 2
    if front.admin is not None and front.admin.will_take_over and termination_pending():
        front.close()  # the process that serves goes on as if this one had not started
        return 0
    gc.freeze()  # what the start has made stays: garbage collections need not visit it
    front.serve()
    return 0


def _makers(deployment: config.Deployment, files: dict[str, str], fresh: bool) -> dict[str, Maker]:
    """Makers of the subsystems by the options' names, in the order in which these are made.

    Each is imported only if its option is given. Raises `ConfigError` if an option is given without one that
    it needs.
    """
    for name, needed in REQUIRED_OPTIONS.items():
        missing = [each for each in needed if name in files and each not in files]
        if missing:
            raise config.ConfigError(f"--{name}: goes by the logs of --{missing[0]}, which is not given")
    makers: dict[str, Maker] = {}
    if files:
        from fawnwharf.zones.operator_log import writer

        write = writer(deployment.name)
    if zones_file := files.get("zones"):
        from fawnwharf.zones.service import ZoneService

        makers["zones"] = lambda _first, _made: ZoneService(deployment, zones_file, write)
    if recovery_file := files.get("recovery"):
        from fawnwharf.recovery_service.recovery_store import open_recovery_store

        makers["kept"] = lambda first, _made: open_recovery_store(
            deployment, recovery_file, files["state"], write, fleet_is_new=fresh and first
        )
    if state_file := files.get("state"):
        from fawnwharf.replication.service import ReplicationService

        makers["state"] = lambda first, made: ReplicationService(
            deployment,
            state_file,
            write,
            fresh=fresh and first,
            grant_storage_factory=made.get("kept"),
        )
    if policy_file := files.get("policy"):
        from fawnwharf.policy_rollout.service import PolicyRolloutService

        makers["policy"] = lambda _first, made: PolicyRolloutService(deployment, policy_file, write, made)
    if sessions_file := files.get("sessions"):
        from fawnwharf.sessions.service import Sessions

        makers["sessions"] = lambda first, made: Sessions(
            deployment, sessions_file, write, made, fresh and first
        )
    if recovery_file:
        from fawnwharf.recovery_service.service import RecoveryService

        makers["recovery"] = lambda _first, made: RecoveryService(deployment, recovery_file, write, made)
    return makers


def _open_front_end(
    deployment: config.Deployment, path: str | None, files: dict[str, str], fresh: bool
) -> FrontEnd:
    """A front end that listens, with its subsystems and its administration."""
    makers = _makers(deployment, files, fresh)
    inherited = None
    if deployment.control:
        from fawnwharf.admin.handoff_request import inherit_state

        # First of all: the process that still serves may have the disks of these extensions open.
        inherited = inherit_state(deployment, needs_exclusive_extensions=bool(makers))
    extension = None
    if makers:
        extension = ExtensionGroup(makers, first=not (inherited and inherited.predecessor_socket))
    listener = (inherited and inherited.listener) or _open_listener(deployment)
    front = FrontEnd(deployment, reread=lambda: config.load(path), extension=extension, listener=listener)
    if extension:
        extension.attach(front)
    if deployment.control:
        from fawnwharf.admin.service import AdminService

        AdminService(front, deployment.control, inherited)
    return front


def _open_listener(deployment: config.Deployment) -> socket.socket:
    """The socket for clients; raises `ConfigError` if the address can't be used."""
    shared = deployment.control is not None  # another process may listen there, to take this one's place
    try:
        return listen_when_free(lambda: open_listener(deployment.listen, shared))
    except OSError as error:
        raise config.ConfigError(f"listen: {error.strerror}: {deployment.listen}") from None


class ExtensionGroup:
    """The subsystems as one extension of the front end, in their order.

    All of them exist, or none while another process has them.
    """

    def __init__(self, makers: dict[str, Maker], first: bool) -> None:
        """Make the subsystems.

        Each maker reads and checks what its subsystem needs, gets those that were made before it, and raises
        `ConfigError`. `first`: no earlier process of this member may have made promises that a fresh fleet
        does not know.
        """
        self._makers = makers
        self._parts = self._made(first)

    def _made(self, first: bool) -> list[Any]:
        """The subsystems, newly made; on a faulty configuration those made so far are closed again."""
        made: Subsystems = {}
        try:
            for name, make in self._makers.items():
                made[name] = make(first, made)
        except config.ConfigError:
            for part in made.values():
                part.close()
            raise
        return list(made.values())

    def attach(self, front: FrontEnd) -> None:
        """Connect the subsystems to a front end."""
        for part in self._parts:
            part.attach(front)

    def suspend(self) -> None:
        """Close the subsystems, as another process takes them over."""
        self.close()
        self._parts = []

    def resume(self, front: FrontEnd) -> None:
        """Make the subsystems again, as the other process gave up; raises `ConfigError`."""
        self._parts = self._made(first=False)
        for owner in ROSTER_FILTER_OWNERS:
            front.apply_fleet(front.roster_overlay.set_filter(owner, None))
        front.limit_calls(ROSTER_FILTER_OWNERS[0], io.UNLIMITED_RPS)
        members = list(front.roster_overlay.members.values())
        self.on_fleet(config.Fleet(members, complete=True, revision=front.roster_overlay.revision))
        try:
            self.attach(front)
        except config.ConfigError:
            self.suspend()
            raise

    def on_fleet(self, fleet: config.Fleet) -> None:
        """Hand the scorer list of the change log on to the subsystems."""
        for part in self._parts:
            part.on_fleet(fleet)

    def on_events(self, events: list[io.Event]) -> None:
        """Hand events for decisions on to the subsystems."""
        for part in self._parts:
            part.on_events(events)

    @property
    def busy(self) -> bool:
        """Whether a subsystem still has work that a shutdown waits for."""
        return any(part.busy for part in self._parts)

    def close(self) -> None:
        """Close the subsystems."""
        for part in self._parts:
            part.close()
