"""The events of a change log that restarted its numbering, which are delivered as one list."""

from dataclasses import dataclass, field

from fawnwharf.net.roster_overlay import RosterOverlay
from fawnwharf.net.timer_wheel import Timer


@dataclass(slots=True)
class Replay:
    """The events of a new numbering, collected from its first event.

    `seq`: the last of them; `complete`: whether a complete list was among them; `timer`: set at the first
    event; the events are delivered when it expires.
    """

    overlay: RosterOverlay = field(default_factory=RosterOverlay)
    seq: int = 0
    complete: bool = False
    timer: Timer | None = None

    def cancel(self) -> None:
        """Stop the timer: the events are delivered or dropped now."""
        if self.timer:
            self.timer.cancel()
