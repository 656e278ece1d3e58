"""Effects that an agent of sessions asks of its host. Values alone."""

from typing import Any

from msgspec import Struct

from fawnwharf.migration import messages as m
from fawnwharf.session_types import PrefetchRelease, Session

Key = tuple[Session, m.Turn]


class Words(Struct, frozen=True):
    """Messages to these members; what is not `urgent` may wait for others that go the same way."""

    to: tuple[str, ...]
    message: m.Message
    urgent: bool = True


class Copies(Struct, frozen=True):
    """So many copies are to stand in this zone; the outcome goes to `Agent.stood`."""

    key: Key
    row: str
    count: int
    facts: m.Facts | None
    until_ms: float


class Dropped(Struct, frozen=True):
    """The copies are not wanted any more."""

    key: Key


class Note(Struct, frozen=True):
    """A line for the operators' log."""

    event: str
    fields: dict[str, Any]


Out = Words | Copies | Dropped | PrefetchRelease | Note


def named(session: Session) -> dict[str, Any]:
    """A session in the fields of a note."""
    return {"org": session.org, "row": session.row}
