"""What a front end keeps of changes of policy on its disk: the last register that it knew, its life.

Nothing of the protocol rests on it but that a life is larger than the one before, and that only while the
system's clock was set back, as a loss of power may set it: what is written is synced.
"""

import contextlib
from pathlib import Path

import msgspec
from msgspec import Struct

from fawnwharf.durable.folder import replace_file

VERSION = 1


class Kept(Struct, frozen=True):
    version: int = VERSION
    life: int = 0
    register: str = ""


def read(path: Path) -> Kept:
    """What is there; nothing where there is none, or where it can't be read."""
    with contextlib.suppress(OSError, msgspec.MsgspecError, RecursionError):
        found = msgspec.json.decode(path.read_bytes(), type=Kept)
        if found.version == VERSION and 0 <= found.life < 2**52:
            return found
    return Kept()


def write(path: Path, kept: Kept) -> None:
    """Whole or not at all, and on disk when this returns; raises OSError."""
    path.parent.mkdir(parents=True, exist_ok=True)
    replace_file(path, msgspec.json.encode(kept))
