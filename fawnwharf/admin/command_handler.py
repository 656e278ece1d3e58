"""The meaning of the operators' commands: scorers in maintenance and this front end on standby. No I/O."""

from collections.abc import Callable
from dataclasses import dataclass, field

from fawnwharf.admin.http import MAX_TARGET_LENGTH, AdminRequest, AdminResponse


@dataclass(slots=True, frozen=True)
class EnterMaintenance:
    """No new request may be sent to this scorer, whatever the change log reports."""

    scorer_id: str


@dataclass(slots=True, frozen=True)
class ExitMaintenance:
    """This scorer may serve again, beginning with a slow start."""

    scorer_id: str


@dataclass(slots=True, frozen=True)
class EnterStandby:
    """This front end drains its client connections."""


@dataclass(slots=True, frozen=True)
class ExitStandby:
    """This front end serves again."""


Effect = EnterMaintenance | ExitMaintenance | EnterStandby | ExitStandby
Result = tuple[AdminResponse, Effect | None]


@dataclass(slots=True)
class CommandHandler:
    """Decides the response to each command and its effect, which the caller carries out."""

    is_known: Callable[[str], bool]  # whether the roster has a scorer of this id
    in_maintenance: set[str] = field(default_factory=set)
    standby: bool = False
    serving: bool = False  # it has started and can answer requests
    shutting_down: bool = False

    def handle(self, request: AdminRequest) -> Result:
        """The response to a command, and the effect that it is to have."""
        route = ROUTES.get(request.path)
        if route is None:
            return AdminResponse(404, "no such call"), None
        method, handle = route
        if request.method != method:
            return AdminResponse(405, f"this is called with {method}"), None
        return handle(self, request)

    def _status(self, _request: AdminRequest) -> Result:
        if self.serving and not self.standby and not self.shutting_down:
            return AdminResponse(200, "ready"), None
        state = "leaving" if self.shutting_down else "on standby" if self.standby else "starting"
        return AdminResponse(503, f"not ready: {state}"), None

    def _enter_maintenance(self, request: AdminRequest) -> Result:
        scorer_id = _target(request)
        if isinstance(scorer_id, AdminResponse):
            return scorer_id, None
        if scorer_id in self.in_maintenance:
            return AdminResponse(200, f"{scorer_id} is out already"), None
        if not self.is_known(scorer_id):
            return AdminResponse(404, f"no scorer {scorer_id}"), None
        self.in_maintenance.add(scorer_id)
        return AdminResponse(200, f"{scorer_id} is out"), EnterMaintenance(scorer_id)

    def _exit_maintenance(self, request: AdminRequest) -> Result:
        scorer_id = _target(request)
        if isinstance(scorer_id, AdminResponse):
            return scorer_id, None
        if scorer_id in self.in_maintenance:
            self.in_maintenance.discard(scorer_id)
            return AdminResponse(200, f"{scorer_id} may serve again"), ExitMaintenance(scorer_id)
        if not self.is_known(scorer_id):
            return AdminResponse(404, f"no scorer {scorer_id}"), None
        return AdminResponse(200, f"{scorer_id} was not out"), None

    def _enter_standby(self, _request: AdminRequest) -> Result:
        if self.shutting_down:
            return AdminResponse(409, "it is leaving"), None
        effect = None if self.standby else EnterStandby()
        self.standby = True
        return AdminResponse(200, "draining"), effect

    def _exit_standby(self, _request: AdminRequest) -> Result:
        if self.shutting_down:
            return AdminResponse(409, "it is leaving"), None
        effect = ExitStandby() if self.standby else None
        self.standby = False
        return AdminResponse(200, "back to work"), effect


def _target(request: AdminRequest) -> str | AdminResponse:
    targets = [value for name, value in request.query if name == "target"]
    if len(targets) != 1 or not 0 < len(targets[0]) <= MAX_TARGET_LENGTH:
        return AdminResponse(400, "one target is wanted: ?target=ID")
    return targets[0]


ROUTES: dict[str, tuple[str, Callable[[CommandHandler, AdminRequest], Result]]] = {
    "/status": ("GET", CommandHandler._status),
    "/maintenance/enter": ("POST", CommandHandler._enter_maintenance),
    "/maintenance/exit": ("POST", CommandHandler._exit_maintenance),
    "/standby": ("POST", CommandHandler._enter_standby),
    "/active": ("POST", CommandHandler._exit_standby),
}
