"""The file in which a front end stores the last register that it knew, and its incarnation.

The protocol depends on nothing in it, except that an incarnation differs from the one before; and on that
only while the system's clock was set back, as a loss of power may set it: what is written is synced.
"""

import contextlib
import time
from pathlib import Path

import msgspec
from msgspec import Struct, field

from fawnwharf.file_writes import replace_file

VERSION = 1
INCARNATION_LIMIT = 2**52  # larger numbers are not accepted


class StoredPolicy(Struct, frozen=True):
    """The contents of the file."""

    version: int = VERSION
    incarnation: int = field(default=0, name="life")
    register: str = ""


def read_policy_file(path: Path) -> StoredPolicy:
    """The contents of the file; defaults where there is no file, or it can't be read."""
    with contextlib.suppress(OSError, msgspec.MsgspecError, RecursionError):
        stored = msgspec.json.decode(path.read_bytes(), type=StoredPolicy)
        if stored.version == VERSION and 0 <= stored.incarnation < INCARNATION_LIMIT:
            return stored
    return StoredPolicy()


def write_policy_file(path: Path, stored: StoredPolicy) -> None:
    """Write the file atomically, and on disk when this returns; raises OSError."""
    path.parent.mkdir(parents=True, exist_ok=True)
    replace_file(path, msgspec.json.encode(stored))


class PolicyFile:
    """Owns the file of one process, and begins an incarnation of the member in it."""

    def __init__(self, path: Path) -> None:
        """Read the file and write the new incarnation; raises OSError where it can't be written."""
        stored = read_policy_file(path)
        self.path = path
        self.register = stored.register
        self.incarnation = max(time.time_ns() // 1_000, stored.incarnation + 1)
        self.store(self.register)

    def store(self, register: str) -> None:
        """Store another register; raises OSError."""
        self.register = register
        write_policy_file(self.path, StoredPolicy(incarnation=self.incarnation, register=register))
