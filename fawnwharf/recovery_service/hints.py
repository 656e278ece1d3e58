"""Hints for the next start: the last roster and which functions were called. Correctness needs neither.

This module does no I/O. A recorder collects observations and returns an entry's value when one is due. Call
`due` only once normal operation is reached: what is served during a recovery is not typical, and it would
replace what was served before the power loss.
"""

from collections import Counter, deque
from collections.abc import Sequence
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta, Struct

from fawnwharf.config import Fleet, Member
from fawnwharf.recovery_core.trust import TrustLevel
from fawnwharf.recovery_service.stored_state import TrustedEntry

ENTRY_KEY = "last"  # key of the only entry of each kind
ROSTER_MS = 2_000.0  # least interval between two roster entries
MAX_SCORERS = 5_000
WINDOW_MS = 2_000.0
WINDOWS = 5
MAX_FUNCTIONS = 2_000
MAX_COUNTED = 4 * MAX_FUNCTIONS  # functions and classes counted in one window; further ones are ignored

FunctionUse = tuple[str, str]  # function and class; a plain tuple is cheap to create for each call
Hint = TypeVar("Hint")


class _StoredScorer(Struct, frozen=True, array_like=True):
    id: str
    host_port: str
    locality: str
    flavor: str
    cell: int
    size: float


class _StoredUsage(Struct, frozen=True, array_like=True):
    function: str
    class_name: str
    rps: Annotated[float, Meta(ge=0.0, le=1e9)]


class RosterRecorder:
    """Tracks the last roster and the last one that was handed out to be stored."""

    def __init__(self) -> None:
        self._roster: list[_StoredScorer] | None = None
        self._stored: list[_StoredScorer] = []
        self._due_ms = float("-inf")

    @property
    def was_stored(self) -> bool:
        """Whether a roster was handed out to be stored."""
        return bool(self._stored)

    def update(self, fleet: Fleet) -> None:
        """Record the current roster; an incomplete one is ignored."""
        if not fleet.complete:
            return
        served = [member for member in fleet.members if member.phase == "in_service" and member.host_port]
        served.sort(key=lambda member: (len(member.id), member.id))
        self._roster = [
            _StoredScorer(
                member.id, member.host_port, member.locality, member.flavor, member.cell, member.size
            )
            for member in served[:MAX_SCORERS]
        ]

    def due(self, now_ms: float) -> list[Any] | None:
        """The entry's value where it changed, at most each `ROSTER_MS`; None: nothing is to be stored."""
        if self._roster is None or now_ms < self._due_ms or self._roster == self._stored:
            return None
        self._stored = self._roster
        self._due_ms = now_ms + ROSTER_MS
        value: list[Any] = msgspec.to_builtins(self._roster)
        return value


def stored_roster(entries: Sequence[TrustedEntry]) -> list[Member]:
    """The scorers of the stored roster, with their ids of that time; empty if nothing usable was stored."""
    return [
        Member(
            scorer.id,
            "in_service",
            scorer.host_port,
            scorer.locality,
            scorer.flavor,
            scorer.cell,
            scorer.size,
        )
        for scorer in _decode(entries, _StoredScorer, MAX_SCORERS)
    ]


class UsageRecorder:
    """Counts the calls of the last windows by function and class."""

    def __init__(self, now_ms: float) -> None:
        self._open: Counter[FunctionUse] = Counter()
        self._closed: deque[Counter[FunctionUse]] = deque(maxlen=WINDOWS)
        self._until_ms = now_ms + WINDOW_MS
        self._windows_since_due = 0

    def record(self, now_ms: float, function: str, class_name: str, count: int = 1) -> None:
        """Count calls that arrived."""
        self._close_windows(now_ms)
        if (function, class_name) in self._open or len(self._open) < MAX_COUNTED:
            self._open[function, class_name] += count

    def _close_windows(self, now_ms: float) -> None:
        """Close the windows that have ended, at most `WINDOWS` at a time even after a long idle period."""
        for _ in range(WINDOWS):
            if now_ms < self._until_ms:
                return
            self._closed.append(self._open)
            self._open = Counter()
            self._windows_since_due += 1
            self._until_ms += WINDOW_MS
        if now_ms >= self._until_ms:
            self._until_ms = now_ms + WINDOW_MS

    def due(self, now_ms: float) -> list[Any] | None:
        """Return calls per second by function and class to store, once in `WINDOWS` windows.

        Includes the `MAX_FUNCTIONS` pairs with the most calls. None if nothing is to be stored.
        """
        self._close_windows(now_ms)
        if self._windows_since_due < WINDOWS:
            return None
        self._windows_since_due = 0
        total: Counter[FunctionUse] = Counter()
        for window in self._closed:
            total.update(window)
        most = sorted(total.items(), key=lambda item: (-item[1], item[0]))[:MAX_FUNCTIONS]
        span_s = WINDOWS * WINDOW_MS / 1_000.0
        return [[function, name, round(count / span_s, 3)] for (function, name), count in most] or None


def stored_usage(entries: Sequence[TrustedEntry]) -> dict[FunctionUse, float]:
    """Calls per second by function and class; empty if nothing usable was stored."""
    return {
        (usage.function, usage.class_name): usage.rps
        for usage in _decode(entries, _StoredUsage, MAX_FUNCTIONS)
    }


def _decode(entries: Sequence[TrustedEntry], kind: type[Hint], limit: int) -> list[Hint]:
    """Decode the value of the only entry; empty if it may not be used or is malformed."""
    for key, value, trust in entries:
        if key == ENTRY_KEY and trust >= TrustLevel.HINT:
            try:
                return [msgspec.convert(item, kind) for item in msgspec.convert(value, list[Any])][:limit]
            except msgspec.ValidationError:
                return []
    return []
