"""What a front end's process leaves for the next one: the placements that it went by.

Pure but for the file, and the store that outlives a loss of power, where there is one. Without it a process
that takes another's place sends each session's first call to where the session was before it was moved. What
is left stays true: a number stands for one placement, and whoever is told of it learns of a larger one.
"""

import contextlib
from collections.abc import Iterable
from itertools import islice
from pathlib import Path
from typing import Any, Protocol

import msgspec
from msgspec import Struct

from fawnwharf.migration.router import Router
from fawnwharf.session_types import Placement, Session

VERSION = 1
LEFT_MOST = 20_000  # those that were used last
STORED_MOST, STORED_A_LOOK = 5_000, 100  # of these in the store; changes that one look writes
STORE_MS = 500.0  # pace of those looks
AGAIN_PART = 0.25  # of a session's time to be still, after which it is written that it is in use


class _One(Struct, frozen=True, array_like=True, gc=False):
    org: str
    row: str
    site: str
    number: int
    used_ms: float  # Unix time


class _Left(Struct, frozen=True):
    version: int
    homes: list[_One]


def _moved(router: Router, now_ms: float, unix_ms: float, most: int) -> list[_One]:
    """Sessions that were handed over, those used last first."""
    moved = (seen for seen in reversed(router.homes.values()) if seen.home.number)
    return [
        _One(home.session.org, home.session.row, home.site, home.number, seen.used_ms - now_ms + unix_ms)
        for seen in islice(moved, most)
        if (home := seen.home)
    ]


def left(router: Router, now_ms: float, unix_ms: float) -> bytes:
    """The placements of sessions that were moved, as they are known here."""
    return msgspec.json.encode(_Left(VERSION, _moved(router, now_ms, unix_ms, LEFT_MOST)))


def take(router: Router, data: bytes, sites: set[str], now_ms: float, unix_ms: float) -> int:
    """Take what a process left; how many placements were taken, none where it can't be read.

    Sessions that are over by now, or placed where no zone is any more, are ignored.
    """
    try:
        found = msgspec.json.decode(data, type=_Left)
    except msgspec.DecodeError:
        return 0
    homes = reversed(found.homes) if found.version == VERSION else ()
    return _taken(router, homes, sites, now_ms, unix_ms)


def _taken(router: Router, homes: Iterable[_One], sites: set[str], now_ms: float, unix_ms: float) -> int:
    taken = 0
    for one in homes:
        still_ms = unix_ms - one.used_ms
        if one.number > 0 and one.site in sites and 0.0 <= still_ms < router.settings.still_ms:
            router.meet(now_ms - still_ms, Placement(Session(one.org, one.row), one.site, one.number))
            taken += 1
    return taken


class Store(Protocol):
    """A store that outlives a loss of power; its contents may be some milliseconds old then."""

    def homes(self) -> list[tuple[str, Any]]:
        """The entries found at the start, by key."""

    def keep_home(self, key: str, value: Any | None) -> bool:
        """Store an entry, None to remove it; False where it was refused, and nothing has changed."""


class Left:
    """The file and the store; without a file, as after a loss of power, the next process learns anew."""

    def __init__(self, path: Path, store: Store | None = None) -> None:
        self.path, self._store = path, store
        self._stored: dict[str, _One] = {}
        self._look_ms = float("-inf")

    def take(self, router: Router, sites: set[str], now_ms: float, unix_ms: float) -> None:
        """Take what the last process left, in the file and in the store."""
        with contextlib.suppress(OSError):
            take(router, self.path.read_bytes(), sites, now_ms, unix_ms)
        for key, value in self._store.homes() if self._store else ():
            with contextlib.suppress(msgspec.ValidationError):
                self._stored[key] = msgspec.convert(value, _One)
        _taken(router, list(self._stored.values()), sites, now_ms, unix_ms)

    def leave(self, router: Router, now_ms: float, unix_ms: float) -> None:
        """Write the file for the next process; failures are ignored."""
        beside = self.path.with_suffix(".new")
        with contextlib.suppress(OSError):
            beside.parent.mkdir(parents=True, exist_ok=True)  # there only where operators asked for something
            beside.write_bytes(left(router, now_ms, unix_ms))
            beside.rename(self.path)

    def look(self, router: Router, now_ms: float, unix_ms: float) -> None:
        """Store what changed since the last call, and remove what is not known any more."""
        if self._store is None or now_ms - self._look_ms < STORE_MS:
            return
        self._look_ms = now_ms
        again_ms = AGAIN_PART * router.settings.still_ms
        known = {f"{one.row}/{one.org}": one for one in _moved(router, now_ms, unix_ms, STORED_MOST)}
        for key in [key for key in self._stored if key not in known][:STORED_A_LOOK]:
            if self._store.keep_home(key, None):
                del self._stored[key]
        changed = [
            (key, one)
            for key, one in known.items()
            if (held := self._stored.get(key)) is None
            or (held.number, held.site) != (one.number, one.site)
            or abs(one.used_ms - held.used_ms) >= again_ms
        ]
        for key, one in changed[:STORED_A_LOOK]:
            if self._store.keep_home(key, msgspec.to_builtins(one)):
                self._stored[key] = one
