"""Operators' requests made here, until the sessions' coordinators have told the outcome.

Pure; milliseconds.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from fawnwharf.migration import messages as m
from fawnwharf.session_types import Placement, PredictedMove, Session
from fawnwharf.sessions.words import Answer

ANSWERS_MOST = 1_000
AGAIN_MS, MOST_MS = 1_000.0, 8_000.0  # a mover that says nothing is asked again, for so long


def why_not(home: Placement | None, destination: str, sites: Collection[str], closed: Collection[str]) -> str:
    """Why a session of this placement can't move there; empty where it can."""
    if home is None:
        return "no such session"
    if home.site == destination:
        return "at home there"
    if destination not in sites:
        return "no such site"
    return "the site is closed" if destination in closed else ""


@dataclass(slots=True)
class _Wish:
    move: PredictedMove
    asked_ms: float
    said_ms: float = field(default=float("-inf"))


class Asking:
    """Owns the latest requests and their answers."""

    def __init__(self) -> None:
        self.answers: dict[Session, Answer] = {}
        self._open: dict[Session, _Wish] = {}

    def __bool__(self) -> bool:
        return bool(self._open)

    def ask(self, now_ms: float, moves: Iterable[PredictedMove]) -> None:
        """Take requests in place of the earlier ones."""
        self.answers.clear()
        self._open.clear()
        for move in list(moves)[:ANSWERS_MOST]:
            session = move.session
            self.answers[session] = Answer(session.org, session.row, "asked")
            self._open[session] = _Wish(move, now_ms)

    def due(self, now_ms: float, mover_for: Callable[[Session], str]) -> list[m.Say]:
        """The requests that are to be sent again; old ones are given up."""
        found = []
        for session, wish in list(self._open.items()):
            if now_ms - wish.asked_ms > MOST_MS:
                del self._open[session]
                self.answers[session] = Answer(session.org, session.row, "no mover answered", over=True)
            elif now_ms - wish.said_ms >= AGAIN_MS and (name := mover_for(session)):
                wish.said_ms = now_ms
                found.append(m.Say((name,), m.Please(wish.move)))
        return found

    def answered(self, begun: m.Begun) -> bool:
        """Take a coordinator's answer; False where it is on none of these requests."""
        if begun.session not in self.answers:
            return False
        self._open.pop(begun.session, None)
        site, number = (begun.home.site, begun.home.number) if begun.home else ("", 0)
        org, row = begun.session.org, begun.session.row
        self.answers[begun.session] = Answer(org, row, begun.why, site, number, begun.over)
        return True
