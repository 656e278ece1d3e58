"""What operators' calls mean: which scorers are out, whether this front end is on standby. Pure."""

from collections.abc import Callable
from dataclasses import dataclass, field

from fawnwharf.admin.http import MAX_TARGET_LENGTH, AdminRequest, AdminResponse


@dataclass(slots=True, frozen=True)
class EnterMaintenance:
    """Nothing new may go to this scorer, whatever the change log says."""

    id: str


@dataclass(slots=True, frozen=True)
class ExitMaintenance:
    """This scorer may serve again; it comes back cold."""

    id: str


@dataclass(slots=True, frozen=True)
class EnterStandby:
    pass


@dataclass(slots=True, frozen=True)
class ExitStandby:
    pass


Effect = EnterMaintenance | ExitMaintenance | EnterStandby | ExitStandby


@dataclass(slots=True)
class CommandHandler:
    """Takes operators' calls; what they change is carried out by whoever asks it."""

    knows: Callable[[str], bool]  # whether the roster has a scorer of this id
    out: set[str] = field(default_factory=set)
    standby: bool = False
    serving: bool = False  # it has started, and does not leave
    leaving: bool = False

    def take(self, asked: AdminRequest) -> tuple[AdminResponse, Effect | None]:
        """The answer to a call, and what it is to bring about."""
        route = ROUTES.get(asked.path)
        if route is None:
            return AdminResponse(404, "no such call"), None
        method, does = route
        if asked.method != method:
            return AdminResponse(405, f"this is called with {method}"), None
        return does(self, asked)

    def _status(self, asked: AdminRequest) -> tuple[AdminResponse, Effect | None]:
        if self.serving and not self.standby and not self.leaving:
            return AdminResponse(200, "ready"), None
        state = "leaving" if self.leaving else "on standby" if self.standby else "starting"
        return AdminResponse(503, f"not ready: {state}"), None

    def _enter(self, asked: AdminRequest) -> tuple[AdminResponse, Effect | None]:
        if isinstance(id := _target(asked), AdminResponse):
            return id, None
        if id in self.out:
            return AdminResponse(200, f"{id} is out already"), None
        if not self.knows(id):
            return AdminResponse(404, f"no scorer {id}"), None
        self.out.add(id)
        return AdminResponse(200, f"{id} is out"), EnterMaintenance(id)

    def _exit(self, asked: AdminRequest) -> tuple[AdminResponse, Effect | None]:
        if isinstance(id := _target(asked), AdminResponse):
            return id, None
        if id in self.out:
            self.out.discard(id)
            return AdminResponse(200, f"{id} may serve again"), ExitMaintenance(id)
        if not self.knows(id):
            return AdminResponse(404, f"no scorer {id}"), None
        return AdminResponse(200, f"{id} was not out"), None

    def _standby(self, asked: AdminRequest) -> tuple[AdminResponse, Effect | None]:
        if self.leaving:
            return AdminResponse(409, "it is leaving"), None
        already, self.standby = self.standby, True
        return AdminResponse(200, "draining"), None if already else EnterStandby()

    def _active(self, asked: AdminRequest) -> tuple[AdminResponse, Effect | None]:
        if self.leaving:
            return AdminResponse(409, "it is leaving"), None
        was, self.standby = self.standby, False
        return AdminResponse(200, "back to work"), ExitStandby() if was else None


def _target(asked: AdminRequest) -> str | AdminResponse:
    found = [value for name, value in asked.query if name == "target"]
    if len(found) != 1 or not 0 < len(found[0]) <= MAX_TARGET_LENGTH:
        return AdminResponse(400, "one target is wanted: ?target=ID")
    return found[0]


ROUTES: dict[
    str, tuple[str, Callable[[CommandHandler, AdminRequest], tuple[AdminResponse, Effect | None]]]
] = {
    "/status": ("GET", CommandHandler._status),
    "/maintenance/enter": ("POST", CommandHandler._enter),
    "/maintenance/exit": ("POST", CommandHandler._exit),
    "/standby": ("POST", CommandHandler._standby),
    "/active": ("POST", CommandHandler._active),
}
