"""What a front end's process leaves for the next one: the homes that it went by. Pure but for the one file.

Without it a process that takes another's place sends each session's first call to where the session was
before it was moved. What is left is true for good: a number stands for one home, and a larger one is met by
whoever is told of it.
"""

import contextlib
from itertools import islice
from pathlib import Path

import msgspec
from msgspec import Struct

from fawnwharf.handover.router import Router
from fawnwharf.sites import Home, Session

VERSION = 1
LEFT_MOST = 20_000  # those that were used last


class _One(Struct, frozen=True, array_like=True, gc=False):
    org: str
    row: str
    site: str
    number: int
    used_ms: float  # Unix time


class _Left(Struct, frozen=True):
    version: int
    homes: list[_One]


def left(router: Router, now_ms: float, unix_ms: float) -> bytes:
    """Sessions that were handed over, as they are known here."""
    moved = (seen for seen in reversed(router.homes.values()) if seen.home.number)
    homes = [
        _One(home.session.org, home.session.row, home.site, home.number, seen.used_ms - now_ms + unix_ms)
        for seen in islice(moved, LEFT_MOST)
        if (home := seen.home)
    ]
    return msgspec.json.encode(_Left(VERSION, homes))


def take(router: Router, data: bytes, sites: set[str], now_ms: float, unix_ms: float) -> int:
    """How many homes were taken from what a process left; none from what can't be read. Sessions that are
    over by now, or at home where no site is any more, are left aside."""
    try:
        found = msgspec.json.decode(data, type=_Left)
    except msgspec.DecodeError:
        return 0
    taken = 0
    for one in reversed(found.homes) if found.version == VERSION else ():
        still_ms = unix_ms - one.used_ms
        if one.number > 0 and one.site in sites and 0.0 <= still_ms < router.settings.still_ms:
            router.meet(now_ms - still_ms, Home(Session(one.org, one.row), one.site, one.number))
            taken += 1
    return taken


class Left:
    """The file; not there, or not to be written: the next process learns anew."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def take(self, router: Router, sites: set[str], now_ms: float, unix_ms: float) -> None:
        with contextlib.suppress(OSError):
            take(router, self.path.read_bytes(), sites, now_ms, unix_ms)

    def leave(self, router: Router, now_ms: float, unix_ms: float) -> None:
        beside = self.path.with_suffix(".new")
        with contextlib.suppress(OSError):
            beside.parent.mkdir(parents=True, exist_ok=True)  # there only where operators asked for something
            beside.write_bytes(left(router, now_ms, unix_ms))
            beside.rename(self.path)
