"""What operators' calls mean: which scorers are out, whether this front end is on standby. Pure."""

from collections.abc import Callable
from dataclasses import dataclass, field

from fawnwharf.admin.http import TARGET_MOST, Answer, Asked


@dataclass(slots=True, frozen=True)
class TakeOut:
    """Nothing new may go to this scorer, whatever the change log says."""

    id: str


@dataclass(slots=True, frozen=True)
class BringBack:
    """This scorer may serve again; it comes back cold."""

    id: str


@dataclass(slots=True, frozen=True)
class StandBy:
    pass


@dataclass(slots=True, frozen=True)
class Resume:
    pass


Effect = TakeOut | BringBack | StandBy | Resume


@dataclass(slots=True)
class Desk:
    """Takes operators' calls; what they change is carried out by whoever asks it."""

    knows: Callable[[str], bool]  # whether the roster has a scorer of this id
    out: set[str] = field(default_factory=set)
    standby: bool = False
    serving: bool = False  # it has started, and does not leave
    leaving: bool = False

    def take(self, asked: Asked) -> tuple[Answer, Effect | None]:
        """The answer to a call, and what it is to bring about."""
        route = ROUTES.get(asked.path)
        if route is None:
            return Answer(404, "no such call"), None
        method, does = route
        if asked.method != method:
            return Answer(405, f"this is called with {method}"), None
        return does(self, asked)

    def _status(self, asked: Asked) -> tuple[Answer, Effect | None]:
        if self.serving and not self.standby and not self.leaving:
            return Answer(200, "ready"), None
        state = "leaving" if self.leaving else "on standby" if self.standby else "starting"
        return Answer(503, f"not ready: {state}"), None

    def _enter(self, asked: Asked) -> tuple[Answer, Effect | None]:
        if isinstance(id := _target(asked), Answer):
            return id, None
        if id in self.out:
            return Answer(200, f"{id} is out already"), None
        if not self.knows(id):
            return Answer(404, f"no scorer {id}"), None
        self.out.add(id)
        return Answer(200, f"{id} is out"), TakeOut(id)

    def _exit(self, asked: Asked) -> tuple[Answer, Effect | None]:
        if isinstance(id := _target(asked), Answer):
            return id, None
        if id in self.out:
            self.out.discard(id)
            return Answer(200, f"{id} may serve again"), BringBack(id)
        if not self.knows(id):
            return Answer(404, f"no scorer {id}"), None
        return Answer(200, f"{id} was not out"), None

    def _standby(self, asked: Asked) -> tuple[Answer, Effect | None]:
        if self.leaving:
            return Answer(409, "it is leaving"), None
        already, self.standby = self.standby, True
        return Answer(200, "draining"), None if already else StandBy()

    def _active(self, asked: Asked) -> tuple[Answer, Effect | None]:
        if self.leaving:
            return Answer(409, "it is leaving"), None
        was, self.standby = self.standby, False
        return Answer(200, "back to work"), Resume() if was else None


def _target(asked: Asked) -> str | Answer:
    found = [value for name, value in asked.query if name == "target"]
    if len(found) != 1 or not 0 < len(found[0]) <= TARGET_MOST:
        return Answer(400, "one target is wanted: ?target=ID")
    return found[0]


ROUTES: dict[str, tuple[str, Callable[[Desk, Asked], tuple[Answer, Effect | None]]]] = {
    "/status": ("GET", Desk._status),
    "/maintenance/enter": ("POST", Desk._enter),
    "/maintenance/exit": ("POST", Desk._exit),
    "/standby": ("POST", Desk._standby),
    "/active": ("POST", Desk._active),
}
