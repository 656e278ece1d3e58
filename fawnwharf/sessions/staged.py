"""Copies that coordinators want prefetched in this zone, until they stand and their time is over.

Pure; milliseconds. Bounded: the oldest are dropped first.
"""

from collections import Counter
from dataclasses import dataclass

from fawnwharf.migration import messages as m
from fawnwharf.sessions.effects import Copies, Dropped, Key, Out

STAGES_MOST = 4_096


@dataclass(slots=True)
class Stage:
    """One request for copies."""

    sender: str
    receive: m.Receive
    until_ms: float
    stands: bool = False


class Staged:
    """Owns the requests at one front end, by session and ballot."""

    def __init__(self, counts: Counter[str]) -> None:
        self.counts = counts
        self.stages: dict[Key, Stage] = {}

    def want(
        self, now_ms: float, sender: str, receive: m.Receive, facts: m.Facts | None
    ) -> tuple[list[Out], bool]:
        """Take a coordinator's request, which is repeated until the copies stand; that is told back."""
        key = receive.session, receive.turn
        if (stage := self.stages.get(key)) is not None:
            stage.sender, stage.receive = sender, receive
            return [], stage.stands
        found: list[Out] = []
        while len(self.stages) >= STAGES_MOST:
            found += self.drop(next(iter(self.stages)))
        until_ms = now_ms + receive.until_ms
        self.stages[key] = Stage(sender, receive, until_ms)
        self.counts["staged"] += receive.copies
        return [*found, Copies(key, receive.session.row, receive.copies, facts, until_ms)], False

    def stood(self, key: Key, stands: bool) -> Stage | None:
        """Take the outcome of a request that is still open."""
        stage = self.stages.get(key) if stands else self.stages.pop(key, None)
        if stage is not None:
            stage.stands = stands
        return stage

    def drop(self, key: Key) -> list[Out]:
        """Drop a request."""
        return [Dropped(key)] if self.stages.pop(key, None) is not None else []

    def over(self, now_ms: float) -> list[Out]:
        """Drop the requests whose time is over."""
        late = [key for key, stage in self.stages.items() if now_ms >= stage.until_ms]
        return [out for key in late for out in self.drop(key)]
