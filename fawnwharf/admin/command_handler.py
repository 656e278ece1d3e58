"""Decides the effects of admin commands: maintenance of scorers and standby of this front end. No I/O."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from fawnwharf.admin import command_paths as paths
from fawnwharf.admin.handoff_messages import OperatorCommand
from fawnwharf.admin.http import MAX_SCORER_ID_CHARACTERS, AdminRequest, AdminResponse


@dataclass(slots=True, frozen=True)
class EnterMaintenance:
    """The scorer with this id gets no new request, whatever the change log reports.

    The id is the one in the roster, such as `s-1`.
    """

    scorer_id: str


@dataclass(slots=True, frozen=True)
class ExitMaintenance:
    """The scorer with this id gets requests again, beginning with a slow start."""

    scorer_id: str


@dataclass(slots=True, frozen=True)
class EnterStandby:
    """This front end fails its readiness checks and drains its client connections, but keeps running."""


@dataclass(slots=True, frozen=True)
class ExitStandby:
    """This front end serves again; operators send this command as `/active`."""


CommandEffect = EnterMaintenance | ExitMaintenance | EnterStandby | ExitStandby


class CommandResult(NamedTuple):
    """The response to a command, and the effect that the caller carries out; None if nothing changes.

    The handler has already recorded the effect in its own attributes.
    """

    response: AdminResponse
    effect: CommandEffect | None = None


@dataclass(slots=True)
class CommandHandler:
    """Decides the response to each command and its effect, which the caller carries out.

    - `scorers_in_maintenance` (ids) and `is_on_standby` record the effects of commands. They are changed by
      `handle`, and at the start by what the process inherits from its predecessor.
    - `is_serving` and `is_shutting_down` are set by the caller before each command. `is_serving`: the front
      end has started and no component reports that it is not ready.

    The status is ready while the front end is serving, not on standby and not shutting down.
    """

    is_known_scorer: Callable[[str], bool]  # whether the roster has a scorer with this id
    scorers_in_maintenance: set[str] = field(default_factory=set)
    is_on_standby: bool = False
    is_serving: bool = False
    is_shutting_down: bool = False

    def handle(self, request: AdminRequest) -> CommandResult:
        """Decides the response to a command and its effect."""
        route = ROUTES.get(request.path)
        if route is None:
            return CommandResult(AdminResponse(404, "no such call"))
        method, handle = route
        if request.method != method:
            return CommandResult(AdminResponse(405, f"this is called with {method}"))
        return handle(self, request)

    def _status(self, _request: AdminRequest) -> CommandResult:
        if self.is_serving and not self.is_on_standby and not self.is_shutting_down:
            return CommandResult(AdminResponse(200, "ready"))
        state = "leaving" if self.is_shutting_down else "on standby" if self.is_on_standby else "starting"
        return CommandResult(AdminResponse(503, f"not ready: {state}"))

    def _enter_maintenance(self, request: AdminRequest) -> CommandResult:
        scorer_id = _target(request)
        if isinstance(scorer_id, AdminResponse):
            return CommandResult(scorer_id)
        if scorer_id not in self.scorers_in_maintenance and not self.is_known_scorer(scorer_id):
            return CommandResult(AdminResponse(404, f"no scorer {scorer_id}"))
        return self._enter(scorer_id)

    def _enter(self, scorer_id: str) -> CommandResult:
        if scorer_id in self.scorers_in_maintenance:
            return CommandResult(AdminResponse(200, f"{scorer_id} is out already"))
        self.scorers_in_maintenance.add(scorer_id)
        return CommandResult(AdminResponse(200, f"{scorer_id} is out"), EnterMaintenance(scorer_id))

    def _exit_maintenance(self, request: AdminRequest) -> CommandResult:
        scorer_id = _target(request)
        if isinstance(scorer_id, AdminResponse):
            return CommandResult(scorer_id)
        if scorer_id not in self.scorers_in_maintenance and not self.is_known_scorer(scorer_id):
            return CommandResult(AdminResponse(404, f"no scorer {scorer_id}"))
        return self._exit(scorer_id)

    def _exit(self, scorer_id: str) -> CommandResult:
        if scorer_id not in self.scorers_in_maintenance:
            return CommandResult(AdminResponse(200, f"{scorer_id} was not out"))
        self.scorers_in_maintenance.discard(scorer_id)
        return CommandResult(AdminResponse(200, f"{scorer_id} may serve again"), ExitMaintenance(scorer_id))

    def _enter_standby(self, _request: AdminRequest) -> CommandResult:
        if self.is_shutting_down:
            return CommandResult(AdminResponse(409, "it is leaving"))
        return self._set_standby(on=True)

    def _exit_standby(self, _request: AdminRequest) -> CommandResult:
        if self.is_shutting_down:
            return CommandResult(AdminResponse(409, "it is leaving"))
        return self._set_standby(on=False)

    def _set_standby(self, *, on: bool) -> CommandResult:
        changes = on != self.is_on_standby
        self.is_on_standby = on
        if on:
            return CommandResult(AdminResponse(200, "draining"), EnterStandby() if changes else None)
        return CommandResult(AdminResponse(200, "back to work"), ExitStandby() if changes else None)

    def apply_answered(self, command: OperatorCommand) -> CommandResult | None:
        """Apply a command to which another process has answered yes; None for an unknown one.

        That process knows a scorer that may not be listed here yet, or not any more, and a process that is
        shutting down may serve on if its successor is lost.
        """
        match command.path:
            case paths.ENTER_MAINTENANCE if command.scorer_id:
                return self._enter(command.scorer_id)
            case paths.EXIT_MAINTENANCE if command.scorer_id:
                return self._exit(command.scorer_id)
            case paths.STANDBY:
                return self._set_standby(on=True)
            case paths.ACTIVE:
                return self._set_standby(on=False)
        return None


def command_of(request: AdminRequest) -> OperatorCommand:
    """The command that tells another process of a request which was answered with yes."""
    target = _target(request) if request.path in (paths.ENTER_MAINTENANCE, paths.EXIT_MAINTENANCE) else ""
    return OperatorCommand(request.path, target if isinstance(target, str) else "")


def _target(request: AdminRequest) -> str | AdminResponse:
    targets = [value for name, value in request.query if name == "target"]
    if len(targets) != 1 or not 0 < len(targets[0]) <= MAX_SCORER_ID_CHARACTERS:
        return AdminResponse(400, "one target is wanted: ?target=ID")
    return targets[0]


ROUTES: dict[str, tuple[str, Callable[[CommandHandler, AdminRequest], CommandResult]]] = {
    paths.STATUS: ("GET", CommandHandler._status),
    paths.ENTER_MAINTENANCE: ("POST", CommandHandler._enter_maintenance),
    paths.EXIT_MAINTENANCE: ("POST", CommandHandler._exit_maintenance),
    paths.STANDBY: ("POST", CommandHandler._enter_standby),
    paths.ACTIVE: ("POST", CommandHandler._exit_standby),
}
