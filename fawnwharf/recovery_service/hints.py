"""Where scorers were and what calls came, for the next start: nothing rests on it. Pure.

A recorder is told what happens, and gives an entry's value when one is due. Until a start has come as far as
calm, `due` is not to be asked: what is served meanwhile says little, and would take the place of what was
served before the cut.
"""

from collections import Counter, deque
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from fawnwharf.config import Fleet, Member
from fawnwharf.recovery_core.trust import TrustLevel

ENTRY_KEY = "last"  # of the one entry of each kind
ROSTER_MS = 2_000.0
MAX_SCORERS = 5_000
WINDOW_MS, WINDOWS = 2_000.0, 5
MAX_FUNCTIONS = 2_000
MAX_COUNTED = 4 * MAX_FUNCTIONS  # rows of one window; later ones of it are not told apart, and left out

StoredEntries = list[tuple[str, Any, TrustLevel]]  # as `Kept.read` gives them


class _StoredScorer(Struct, frozen=True, array_like=True):
    id: str
    host_port: str
    locality: str
    flavor: str
    cell: int
    size: float


class _StoredUsage(Struct, frozen=True, array_like=True):
    row: str
    class_name: str
    rps: Annotated[float, Meta(ge=0.0, le=1e9)]


class RosterRecorder:
    """Owns the last roster of which nothing is kept yet."""

    def __init__(self) -> None:
        self._now: list[_StoredScorer] | None = None
        self._kept: list[_StoredScorer] = []
        self._next_ms = float("-inf")

    def told(self, fleet: Fleet) -> None:
        """The roster as it is now; one that is not whole yet says nothing."""
        if fleet.complete:
            served = [m for m in fleet.members if m.phase == "in_service" and m.host_port]
            served.sort(key=lambda m: (len(m.id), m.id))
            self._now = [
                _StoredScorer(m.id, m.host_port, m.locality, m.flavor, m.cell, m.size)
                for m in served[:MAX_SCORERS]
            ]

    def due(self, now_ms: float) -> list[Any] | None:
        """The entry's value where it changed, at most each `ROSTER_MS`; None: nothing is to be written."""
        if self._now is None or now_ms < self._next_ms or self._now == self._kept:
            return None
        self._kept, self._next_ms = self._now, now_ms + ROSTER_MS
        return msgspec.to_builtins(self._now)

    @staticmethod
    def read(rows: StoredEntries) -> list[Member]:
        """The scorers of the last roster, by their ids then; none where nothing usable was kept."""
        found = _decode(rows, list[_StoredScorer], MAX_SCORERS)
        return [Member(s.id, "in_service", s.host_port, s.locality, s.flavor, s.cell, s.size) for s in found]


class UsageRecorder:
    """Owns the counts of the last windows, by row (a function) and class."""

    def __init__(self, now_ms: float) -> None:
        self._open: Counter[tuple[str, str]] = Counter()
        self._closed: deque[Counter[tuple[str, str]]] = deque(maxlen=WINDOWS)
        self._until_ms = now_ms + WINDOW_MS
        self._due = 0  # windows until the next entry

    def came(self, now_ms: float, row: str, class_name: str, count: int = 1) -> None:
        self._turn(now_ms)
        if (row, class_name) in self._open or len(self._open) < MAX_COUNTED:
            self._open[row, class_name] += count

    def _turn(self, now_ms: float) -> None:
        """Windows that are over close; of those in which nothing came no more than all."""
        for _ in range(WINDOWS):
            if now_ms < self._until_ms:
                return
            self._closed.append(self._open)
            self._open, self._due = Counter(), self._due + 1
            self._until_ms += WINDOW_MS
        if now_ms >= self._until_ms:
            self._until_ms = now_ms + WINDOW_MS

    def due(self, now_ms: float) -> list[Any] | None:
        """Calls a second by row and class, once in `WINDOWS` windows, where any came; the `ROWS_MOST` rows
        with most calls. None: nothing is to be written."""
        self._turn(now_ms)
        if self._due < WINDOWS:
            return None
        self._due = 0
        total: Counter[tuple[str, str]] = Counter()
        for window in self._closed:
            total.update(window)
        most = sorted(total.items(), key=lambda item: (-item[1], item[0]))[:MAX_FUNCTIONS]
        span_s = WINDOWS * WINDOW_MS / 1_000.0
        return [[row, name, round(count / span_s, 3)] for (row, name), count in most] or None

    @staticmethod
    def read(rows: StoredEntries) -> dict[tuple[str, str], float]:
        """Calls a second by row and class."""
        return {
            (use.row, use.class_name): use.rps for use in _decode(rows, list[_StoredUsage], MAX_FUNCTIONS)
        }


def _decode(rows: StoredEntries, kind: Any, most: int) -> list[Any]:
    for key, value, trusted in rows:
        if key == ENTRY_KEY and trusted >= TrustLevel.HINT:
            try:
                return msgspec.convert(value, kind)[:most]
            except msgspec.ValidationError:
                return []
    return []
