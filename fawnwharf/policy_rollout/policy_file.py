"""What a front end keeps on disk of policy rollouts: the last register that it knew, and its incarnation.

The protocol depends on nothing of it, except that an incarnation is larger than the one before; and on that
only while the system's clock was set back, as a loss of power may set it: what is written is synced.
"""

import contextlib
from pathlib import Path

import msgspec
from msgspec import Struct

from fawnwharf.file_writes import replace_file

VERSION = 1


class StoredPolicy(Struct, frozen=True):
    """The contents of the file."""

    version: int = VERSION
    life: int = 0
    register: str = ""


def read_policy_file(path: Path) -> StoredPolicy:
    """The file's contents; defaults where there is no file, or it can't be read."""
    with contextlib.suppress(OSError, msgspec.MsgspecError, RecursionError):
        found = msgspec.json.decode(path.read_bytes(), type=StoredPolicy)
        if found.version == VERSION and 0 <= found.life < 2**52:
            return found
    return StoredPolicy()


def write_policy_file(path: Path, kept: StoredPolicy) -> None:
    """Write the file atomically, and on disk when this returns; raises OSError."""
    path.parent.mkdir(parents=True, exist_ok=True)
    replace_file(path, msgspec.json.encode(kept))
