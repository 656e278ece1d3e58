"""Whose turn it is to order first copies: seats among the loaders, and which functions are whose.

Pure. There are as many seats as the store takes fetches at a time, dealt to the loaders (`budget.loaders`)
by what is heard, or by the register (`stages.Dealt`). Who gains a seat waits until whoever had it has seen
that it has it no more, and until what that one had under way has ended; who loses one orders nothing by it
from then on. So where views differ for no longer than `lag_ms`, and loads take no longer than `usual_ms`, no
more fetches are under way than there are seats: those under way now were begun by seats that were held by one
view, `lag_ms` and `usual_ms` ago.

By the register: the first dealing of a cut waits for nothing, as nobody ordered by a stage of that cut before
it. One that still goes by dealing d does so until a word of it is `alone_ms` old, and no such word is said
once d+1 is decided; whoever is told of d+1 is so later than that. So a seat that is gained by d+1 is used
from `alone_ms` and `usual_ms` after that one was told of it, and by then nothing that was begun by d goes on.
At half the budget, from `valid_ms` on, one uses some of the seats that it has by d, so this holds as well. A
seat is kept from d to d+1 alone: one that missed a dealing may have had seats since that were others' in it.
"""

from collections import deque
from collections.abc import Iterable

from fawnwharf.recovery_core.budget import FleetLimits, choose_load_coordinators, load_coordinator_of

MAX_COORDINATORS = 20_000  # functions whose loader is kept in mind


def _permit_holder(seat: str) -> str:
    return seat.rstrip("\0")


def continues_deal(before: tuple[int, int] | None, deal: tuple[int, int] | None) -> bool:
    """Whether what was one's own by the dealing before is so still: none was missed between."""
    if before is None or deal is None:
        return before == deal
    return before[0] == deal[0] and deal[1] - before[1] in (0, 1)


class LoadPermits:
    """Owns the own seats, from when each may be used, and the last views."""

    def __init__(self, me: str, limits: FleetLimits, lag_ms: float, usual_ms: float) -> None:
        self.me, self.limits, self.lag_ms, self.usual_ms = me, limits, lag_ms, usual_ms
        self.dealt: tuple[str, ...] = ()  # all seats, as `_holder` reads them
        self.rest = 1.0  # parts of one seat, where the budget is below one
        self._from: list[float] = []  # of each own seat, the oldest first
        self._before: deque[tuple[float, tuple[str, ...]]] = deque(maxlen=64)  # until when, who
        self._owners: dict[str, str] = {}
        self._deal: tuple[int, int] | None = None  # cut and number of it
        self._gained_ms = 0.0  # seats that are gained by it may be used from then

    def set(
        self,
        now_ms: float,
        givers: Iterable[str],
        part: float,
        cut: int,
        deal: tuple[int, int] | None = None,
        lag_ms: float = 0.0,
        first: bool = False,
    ) -> None:
        """`givers`: who may be a loader; `part`: of the fleet's budgets. `deal`: cut and number, by which
        others may go for `lag_ms` more once there is a later one; `first`: nobody gave in the cut before."""
        if deal != self._deal:
            if not continues_deal(self._deal, deal):
                self._from.clear()
            self._deal, self._gained_ms = deal, now_ms + lag_ms + self.usual_ms
            if first:
                self.dealt, self._gained_ms = (), now_ms
                self._before.clear()
        fetches = self.limits.fetches * part
        most = max(1, int(fetches))
        self.rest = min(1.0, max(1e-3, fetches))
        chosen = choose_load_coordinators(givers, most, cut)
        # The first seat of a loader has its name alone; functions are dealt by seats, so that all are used.
        dealt = tuple(chosen[n % len(chosen)] + "\0" * (n // len(chosen)) for n in range(most))
        if dealt != self.dealt:
            if self.dealt:
                self._before.append((now_ms + self.usual_ms, self.dealt))
            self.dealt = dealt
            self._owners.clear()
        gained_ms = now_ms + self.lag_ms + self.usual_ms if deal is None else self._gained_ms
        mine = sum(_permit_holder(seat) == self.me for seat in dealt)
        del self._from[mine:]
        self._from += [gained_ms] * (mine - len(self._from))

    def ready(self, now_ms: float) -> int:
        """Own seats that may be used."""
        return sum(from_ms <= now_ms for from_ms in self._from)

    @property
    def mine(self) -> int:
        return len(self._from)

    def first_ms(self, now_ms: float) -> float:
        """When one may be used."""
        return max(now_ms, self._from[0]) if self._from else now_ms

    def owner(self, row: str) -> str:
        """The loader of a function; empty: there is none."""
        found = self._owners.get(row)
        if found is None:
            if len(self._owners) >= MAX_COORDINATORS:
                self._owners.clear()
            found = self._owners[row] = _permit_holder(load_coordinator_of(row, self.dealt))
        return found

    def due_ms(self, now_ms: float, row: str) -> float:
        """When this front end may order a function that is its own: another one may have had it under way."""
        while self._before and self._before[0][0] <= now_ms:
            self._before.popleft()
        others = (
            until for until, was in self._before if _permit_holder(load_coordinator_of(row, was)) != self.me
        )
        return max(others, default=now_ms)
