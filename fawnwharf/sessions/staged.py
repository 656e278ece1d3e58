"""What movers want staged at this site for sessions to come, until it stands and its time is over. Pure;
milliseconds. Bounded: the oldest go first."""

from collections import Counter
from dataclasses import dataclass

from fawnwharf.handover import messages as m
from fawnwharf.sessions.effects import Copies, Dropped, Key, Out

STAGES_MOST = 4_096


@dataclass(slots=True)
class Stage:
    sender: str
    receive: m.Receive
    until_ms: float
    stands: bool = False


class Staged:
    """Owns the stages of one front end, by session and turn."""

    def __init__(self, counts: Counter[str]) -> None:
        self.counts = counts
        self.stages: dict[Key, Stage] = {}

    def want(
        self, now_ms: float, sender: str, receive: m.Receive, facts: m.Facts | None
    ) -> tuple[list[Out], bool]:
        """A mover wants copies here; it asks until they stand, which is told back where they do."""
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
        """What became of one that is wanted still."""
        stage = self.stages.get(key) if stands else self.stages.pop(key, None)
        if stage is not None:
            stage.stands = stands
        return stage

    def drop(self, key: Key) -> list[Out]:
        return [Dropped(key)] if self.stages.pop(key, None) is not None else []

    def over(self, now_ms: float) -> list[Out]:
        late = [key for key, stage in self.stages.items() if now_ms >= stage.until_ms]
        return [out for key in late for out in self.drop(key)]
