"""What an agent of sessions has its host do. Values alone."""

from typing import Any

from msgspec import Struct

from fawnwharf.handover import messages as m
from fawnwharf.sites import LetGo, Session

Key = tuple[Session, m.Turn]


class Words(Struct, frozen=True):
    """Something for these members. What is not `urgent` may wait for others that go the same way."""

    to: tuple[str, ...]
    message: m.Message
    urgent: bool = True


class Copies(Struct, frozen=True):
    """So many copies are to stand at this site; what came of it goes to `Agent.stood`."""

    key: Key
    row: str
    count: int
    facts: m.Facts | None
    until_ms: float


class Dropped(Struct, frozen=True):
    """They are not wanted any more."""

    key: Key


class Note(Struct, frozen=True):
    event: str
    fields: dict[str, Any]


Out = Words | Copies | Dropped | LetGo | Note


def named(session: Session) -> dict[str, Any]:
    """A session in the fields of a note."""
    return {"org": session.org, "row": session.row}
