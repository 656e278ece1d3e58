"""The events of a change log that restarted its numbering, collected until they are delivered as one list."""

from dataclasses import dataclass, field

from fawnwharf.net.roster_overlay import RosterOverlay
from fawnwharf.net.timer_wheel import Timer


@dataclass(slots=True)
class Replay:
    """The events of a new numbering that are collected from its start.

    `seq` is the last one of them, and `complete` tells whether a list of all scorers was among them. `timer`
    is set with the first event; the events are delivered when it expires.
    """

    overlay: RosterOverlay = field(default_factory=RosterOverlay)
    seq: int = 0
    complete: bool = False
    timer: Timer | None = None

    def cancel(self) -> None:
        """Stop the timer, as the events are delivered or dropped."""
        if self.timer:
            self.timer.cancel()
