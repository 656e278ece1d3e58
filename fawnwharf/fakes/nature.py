"""What stand-in scorers are like, the store that they load from, and what is noted of them. Milliseconds."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.timer_wheel import monotonic_ms


@dataclass(frozen=True, slots=True)
class Nature:
    """What a scorer is like."""

    cores: int = 4
    lanes: int = 2
    work_ms: float = 20.0  # the mean of a call on one core
    load_ms: float = 250.0  # of a module, besides what the store takes
    copies: int = 24  # that its memory holds
    queue: int = 32
    loads_at_once: int = 3
    keep_ms: float = 9_000.0
    cold_ms: float = 4_000.0
    cold_share: float = 0.2
    fall_ms: float = 1_500.0
    fall_multiple: float = 3.0


@dataclass(slots=True)
class Store:
    """The module store: so many fetches at full pace, slower for all when there are more."""

    loop: EventLoop
    fetch_ms: float = 120.0
    at_once: int = 12
    under_way: int = 0
    fetches: int = 0
    worst: int = 0  # under way at once
    down: bool = False
    life: int = 0
    asked: list[tuple[float, int]] = field(default_factory=list)  # of each: when, and how many then waited
    _waiting: deque[Callable[[], None]] = field(default_factory=deque)

    def fetch(self, done: Callable[[], None]) -> None:
        self.fetches += 1
        if self.down:
            self._waiting.append(done)
        else:
            self._begin(done)
        beyond = max(0, self.under_way - self.at_once)
        self.asked.append((monotonic_ms(), len(self._waiting) + beyond))

    def _begin(self, done: Callable[[], None]) -> None:
        self.under_way += 1
        self.worst = max(self.worst, self.under_way)
        crowd, life = max(1.0, self.under_way / self.at_once), self.life

        def came() -> None:
            if life == self.life:
                self.under_way -= 1
                done()

        self.loop.timers.after(self.fetch_ms * crowd, came)

    def up(self) -> None:
        self.down = False
        waiting, self._waiting = self._waiting, deque()
        for done in waiting:
            self._begin(done)

    def cut(self) -> None:
        """It loses its power, and all that is under way."""
        self.down, self.under_way, self.life = True, 0, self.life + 1
        self._waiting.clear()


@dataclass(frozen=True, slots=True)
class Arrival:
    """Something that came whole to a scorer."""

    at_ms: float
    scorer: str
    sender: str
    what: str
    # Came: run, order, ask, give_up, unload; turned (a run that was answered full), done, over (nobody waits
    # any more). Copies: load, loaded, wasted (it went, and no call had it).
    id: str
    kind: str
    function: str
    token: str
    life: int
    note: str = ""  # done: how its copy was found; of copies: order or run; unload: calls of it there
