"""Runs a front end from its configuration file to its exit status.

Imports neither the command line's libraries nor a subsystem that is off.
"""

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

ROSTER_FILTER_OWNERS = "zones", "state"  # subsystems that filter the roster; `resume` removes their filters
# Options that an option requires, because its subsystem reads the logs of their subsystems.
REQUIRED_OPTIONS = {"policy": ("zones",), "sessions": ("state",), "recovery": ("zones", "state")}
Subsystems = dict[str, Any]  # by option name
# Creates a subsystem. Arguments: whether no earlier process of the member is running, and the subsystems
# created before.
SubsystemFactory = Callable[[bool, Subsystems], Any]


class SubsystemFiles(TypedDict, total=False):
    """The settings files of the subsystems; without its file a subsystem is off and is not imported."""

    zones: str | None  # failover between zones
    state: str | None  # replicated state
    policy: str | None  # policy rollouts
    sessions: str | None  # migration of sessions between sites
    recovery: str | None  # recovery after a power loss


def serve(path: str | None = None, *, fresh: bool = False, **files: Unpack[SubsystemFiles]) -> int:
    """Serves until SIGTERM; returns the exit status.

    The status is 0 after all accepted requests were answered, and 2 if the configuration is invalid; then
    standard error names the key. `path`: the configuration file; None means the one that ROUTER_CONFIG names.
    `fresh`: the fleet is new, so no front end has granted anything before.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # until the event loop has its handlers
    try:
        deployment = config.load(path)
        option_files = {name: str(file) for name, file in files.items() if file}
        front = _open_front_end(deployment, path, option_files, fresh)
    except config.ConfigError as error:
        print(f"fawnwharf: {error}", file=sys.stderr)
        return 2
    if front.admin is not None and front.admin.will_take_over and termination_pending():
        front.close()  # the predecessor continues to serve as if this process had not started
        return 0
    gc.freeze()  # objects from the start live as long as the process: garbage collection skips them
    front.serve()
    return 0


def _subsystem_factories(
    deployment: config.Deployment, files: dict[str, str], fresh: bool
) -> dict[str, SubsystemFactory]:
    """Factories of the subsystems by option name, in the order of creation.

    A subsystem is imported only if its option is given. Raises `ConfigError` if an option is given without
    another one that it requires.
    """
    for name, needed in REQUIRED_OPTIONS.items():
        missing = [each for each in needed if name in files and each not in files]
        if missing:
            raise config.ConfigError(f"--{name}: goes by the logs of --{missing[0]}, which is not given")
    factories: dict[str, SubsystemFactory] = {}
    if files:
        from fawnwharf.zones.operator_log import writer

        write = writer(deployment.name)
    if zones_file := files.get("zones"):
        from fawnwharf.zones.service import ZoneService

        factories["zones"] = lambda _is_first_process, _created: ZoneService(deployment, zones_file, write)
    if recovery_file := files.get("recovery"):
        from fawnwharf.recovery_service.recovery_store import open_recovery_store

        factories["kept"] = lambda is_first_process, _created: open_recovery_store(
            deployment, recovery_file, files["state"], write, fleet_is_new=fresh and is_first_process
        )
    if state_file := files.get("state"):
        from fawnwharf.replication.service import ReplicationService

        factories["state"] = lambda is_first_process, created: ReplicationService(
            deployment,
            state_file,
            write,
            fresh=fresh and is_first_process,
            grant_storage_factory=created.get("kept"),
        )
    if policy_file := files.get("policy"):
        from fawnwharf.policy_rollout.service import PolicyRolloutService

        factories["policy"] = lambda _is_first_process, created: PolicyRolloutService(
            deployment, policy_file, write, created
        )
    if sessions_file := files.get("sessions"):
        from fawnwharf.sessions.service import Sessions

        factories["sessions"] = lambda is_first_process, created: Sessions(
            deployment, sessions_file, write, created, fresh and is_first_process
        )
    if recovery_file:
        from fawnwharf.recovery_service.service import RecoveryService

        factories["recovery"] = lambda _is_first_process, created: RecoveryService(
            deployment, recovery_file, write, created
        )
    return factories


def _open_front_end(
    deployment: config.Deployment, path: str | None, files: dict[str, str], fresh: bool
) -> FrontEnd:
    """Creates a listening front end with its subsystems and its admin service."""
    factories = _subsystem_factories(deployment, files, fresh)
    inherited = None
    if deployment.control:
        from fawnwharf.admin.handoff_request import inherit_state

        # Before the subsystems are created: the running predecessor may have their disks open.
        inherited = inherit_state(deployment, needs_exclusive_extensions=bool(factories))
    extension = None
    if factories:
        extension = ExtensionGroup(
            factories, is_first_process=not (inherited and inherited.predecessor_socket)
        )
    listener = (inherited and inherited.listener) or _open_listener(deployment)
    front = FrontEnd(deployment, reread=lambda: config.load(path), extension=extension, listener=listener)
    if extension:
        extension.attach(front)
    if deployment.control:
        from fawnwharf.admin.service import AdminService

        AdminService(front, deployment.control, inherited)
    return front


def _open_listener(deployment: config.Deployment) -> socket.socket:
    """Opens the listening socket for clients; raises `ConfigError` if the address can't be used."""
    shared = deployment.control is not None  # a successor may listen there during a hot restart
    try:
        return listen_when_free(lambda: open_listener(deployment.listen, shared))
    except OSError as error:
        raise config.ConfigError(f"listen: {error.strerror}: {deployment.listen}") from None


class ExtensionGroup:
    """The subsystems as one extension of the front end, called in their order of creation.

    Either all of them exist, or none while another process holds them.
    """

    def __init__(self, factories: dict[str, SubsystemFactory], is_first_process: bool) -> None:
        """Creates the subsystems; raises `ConfigError` if the settings of one are invalid.

        `is_first_process`: no earlier process of this member is running. Only then may the fleet count as
        new, because an earlier process may have granted something already.
        """
        self._factories = factories
        self._parts = self._create_subsystems(is_first_process)

    def _create_subsystems(self, is_first_process: bool) -> list[Any]:
        """Creates the subsystems; if a configuration is invalid, those created so far are closed."""
        created: Subsystems = {}
        try:
            for name, create in self._factories.items():
                created[name] = create(is_first_process, created)
        except config.ConfigError:
            for part in created.values():
                part.close()
            raise
        return list(created.values())

    def attach(self, front: FrontEnd) -> None:
        """Connects the subsystems to a front end."""
        for part in self._parts:
            part.attach(front)

    def suspend(self) -> None:
        """Closes the subsystems, because another process takes them over."""
        self.close()
        self._parts = []

    def resume(self, front: FrontEnd) -> None:
        """Creates the subsystems again after the other process has ended; raises `ConfigError`."""
        self._parts = self._create_subsystems(is_first_process=False)
        for owner in ROSTER_FILTER_OWNERS:
            front.apply_filtered_roster(front.roster_overlay.set_filter(owner, None))
        front.limit_calls(ROSTER_FILTER_OWNERS[0], io.UNLIMITED_RPS)
        members = list(front.roster_overlay.members.values())
        self.on_fleet(config.Fleet(members, complete=True, revision=front.roster_overlay.revision))
        try:
            self.attach(front)
        except config.ConfigError:
            self.suspend()
            raise

    def on_fleet(self, fleet: config.Fleet) -> None:
        """Passes the scorer list of the change log to the subsystems."""
        for part in self._parts:
            part.on_fleet(fleet)

    def on_events(self, events: list[io.Event]) -> None:
        """Passes events for the decision module to the subsystems."""
        for part in self._parts:
            part.on_events(events)

    @property
    def busy(self) -> bool:
        """Whether a subsystem has unfinished work, which a shutdown waits for."""
        return any(part.busy for part in self._parts)

    def close(self) -> None:
        """Closes the subsystems."""
        for part in self._parts:
            part.close()
