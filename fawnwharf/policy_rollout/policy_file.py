"""The file in which a front end stores its incarnation, its last register and its replication rules.

The protocol relies on the file only to make each incarnation number differ from the previous one, and only
if the system's clock was set back. A power failure may set the clock back, so writes are synced to disk. The
rules are those in effect. They may be stricter than the policy for some time, and a process that is started
within that time continues with them.
"""

import contextlib
import time
from pathlib import Path

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from fawnwharf.file_writes import replace_file
from fawnwharf.policy_rollout.delayed_relaxation import ReplicationRule
from fawnwharf.policy_rollout.document import MODES_BY_STRICTNESS

VERSION = 1
INCARNATION_LIMIT = 2**52  # larger numbers are not accepted


class StoredPolicy(Struct, frozen=True):
    """The contents of the file."""

    version: int = VERSION
    incarnation: int = field(default=0, name="life")
    register: str = ""
    rules: dict[str, ReplicationRule] | UnsetType = field(default=UNSET, name="replication")  # by class


def read_policy_file(path: Path) -> StoredPolicy:
    """The contents of the file; defaults if there is no file or it can't be read."""
    with contextlib.suppress(OSError, msgspec.MsgspecError, RecursionError):
        stored = msgspec.json.decode(path.read_bytes(), type=StoredPolicy)
        if stored.version == VERSION and 0 <= stored.incarnation < INCARNATION_LIMIT:
            return stored
    return StoredPolicy()


def write_policy_file(path: Path, stored: StoredPolicy) -> None:
    """Write the file atomically and sync it to disk; raises OSError."""
    path.parent.mkdir(parents=True, exist_ok=True)
    replace_file(path, msgspec.json.encode(stored))


def _valid_rules(rules: dict[str, ReplicationRule]) -> dict[str, ReplicationRule]:
    """The rules without those of a mode that this version does not know."""
    return {name: rule for name, rule in rules.items() if rule.mode in MODES_BY_STRICTNESS}


class PolicyFile:
    """Owns the file of one process; its creation starts a new incarnation of the member."""

    def __init__(self, path: Path) -> None:
        """Read the file and store the new incarnation; raises OSError if it can't be written."""
        stored = read_policy_file(path)
        self.path = path
        self.register = stored.register
        self.rules = _valid_rules(stored.rules or {})
        self.incarnation = max(time.time_ns() // 1_000, stored.incarnation + 1)
        self.store(self.register)

    def store(self, register: str) -> None:
        """Store a new register; raises OSError."""
        self.register = register
        self._write()

    def store_rules(self, rules: dict[str, ReplicationRule]) -> None:
        """Store the replication rules in effect if they have changed; raises OSError."""
        if rules != self.rules:
            self.rules = rules
            self._write()

    def _write(self) -> None:
        rules = self.rules or UNSET  # as in files of versions without rules
        stored = StoredPolicy(incarnation=self.incarnation, register=self.register, rules=rules)
        write_policy_file(self.path, stored)
