"""A disk in memory that does what disks do when the power goes: cuts, forgets, reorders, fills, fails, lies.

It counts its operations, so that a run can be cut at each of them. What was not synced may be there
afterwards in any part: the blocks of a file each for themselves, and the changes of the folder each for
itself, but every name's in their order. Chance is handed in.
"""

import errno
import os
from dataclasses import dataclass, field
from random import Random

BLOCK = 64  # bytes that are on the disk together; small, so that short records are torn too


class PowerCut(Exception):
    """The power went: only `reboot` is of use now."""


@dataclass(slots=True)
class _File:
    inode: int
    kept: bytes = b""  # on the disk
    data: bytes = b""  # as it is read before a cut
    lost: bool = False  # a sync of it failed: what was not on the disk then never will be


@dataclass(slots=True)
class Plan:
    """What goes wrong, by the number of the operation; -1: never."""

    cut_at: int = -1
    cut_byte: int = -1  # of the append that is cut: so many of its bytes were taken; -1: before it
    fail_at: int = -1  # fails with EIO, an append half done
    fail_for: int = 1  # so many operations
    room: int = -1  # bytes that the disk holds
    lies_from: int = -1  # syncs, of files and of the folder, say yes and do nothing


@dataclass(slots=True)
class MemoryDisk:
    """One folder on it, in the form of `durable_store.operations.FileSystem`."""

    plan: Plan = field(default_factory=Plan)
    count: int = 0  # operations so far
    marks: list[tuple[str, int]] = field(default_factory=list)  # of each: what, and bytes of an append
    _names: dict[str, _File] = field(default_factory=dict)
    _kept: dict[str, _File] = field(default_factory=dict)  # names on the disk
    _changes: list[dict[str, _File | None]] = field(default_factory=list)  # of names, not synced
    _next: int = 1

    def _step(self, what: str, size: int = 0) -> None:
        at, self.count = self.count, self.count + 1
        self.marks.append((what, size))
        if at == self.plan.cut_at and not (what == "append" and self.plan.cut_byte >= 0):
            raise PowerCut
        if self.plan.fail_at <= at < self.plan.fail_at + self.plan.fail_for and what != "append":
            raise OSError(errno.EIO, os.strerror(errno.EIO))

    def _fails(self) -> bool:
        return self.plan.fail_at <= self.count - 1 < self.plan.fail_at + self.plan.fail_for

    def _lies(self) -> bool:
        return 0 <= self.plan.lies_from < self.count

    def begin(self, name: str) -> int:
        self._step("begin")
        self._names[name] = _File(self._next)
        self._next += 1
        self._changes.append({name: self._names[name]})
        return self._names[name].inode

    def append(self, name: str, data: bytes) -> None:
        self._step("append", len(data))
        file, plan = self._names[name], self.plan
        if self.count - 1 == plan.cut_at:
            file.data += data[: plan.cut_byte]
            raise PowerCut
        if self._fails():
            file.data += data[: len(data) // 2]
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        if plan.room >= 0:
            left = plan.room - sum(len(each.data) for each in self._names.values())
            if left < len(data):
                file.data += data[: max(left, 0)]
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        file.data += data

    def sync(self, name: str) -> None:
        file = self._names[name]
        try:
            self._step("sync")
        except OSError:
            file.lost = True  # as Linux does: the next sync says yes
            raise
        if not self._lies() and not file.lost:
            file.kept = file.data

    def rename(self, old: str, new: str) -> None:
        self._step("rename")
        self._names[new] = self._names.pop(old)
        self._changes.append({new: self._names[new], old: None})

    def sync_directory(self) -> None:
        self._step("folder")
        if not self._lies():
            self._kept, self._changes = dict(self._names), []

    def remove(self, name: str) -> None:
        self._step("remove")
        if self._names.pop(name, None) is not None:
            self._changes.append({name: None})

    def names(self) -> dict[str, int]:
        return {name: len(file.data) for name, file in self._names.items()}

    def read(self, name: str) -> tuple[bytes, int]:
        file = self._names[name]
        return file.data, file.inode

    # --- what happens to it -------------------------------------------------------------------------

    def reboot(self, chance: Random, share: float) -> "MemoryDisk":
        """The disk as it is found after the power went: each block and each change of a name that was not
        synced is there with this chance; 0 and 1 are the two ends."""
        names: dict[str, _File | None] = dict(self._kept)
        for change in self._changes:
            if chance.random() < share:
                names.update(change)
        found = MemoryDisk(_next=self._next)
        torn: dict[int, _File] = {}
        for name, file in names.items():
            if file is not None:
                data = torn.setdefault(file.inode, _File(file.inode, *[_torn(file, chance, share)] * 2))
                found._names[name] = data
        found._kept = dict(found._names)
        return found

    def restart(self) -> "MemoryDisk":
        """The same after a kill of the process alone: all that was written is read, and is no more on the
        disk than before."""
        self.plan = Plan()
        return self

    def copy(self, same_inodes: bool = True) -> "MemoryDisk":
        """An older copy, to be put back later: byte for byte, or file by file under new inodes."""
        found = MemoryDisk(_next=self._next + 1_000)
        for place, (name, file) in enumerate(sorted(self._names.items())):
            inode = file.inode if same_inodes else self._next + 1 + place
            found._names[name] = _File(inode, file.data, file.data)
        found._kept = dict(found._names)
        return found

    def flip(self, name: str, bit: int) -> None:
        """One bit of a file is another, on the disk."""
        data = bytearray(self._names[name].data)
        data[bit // 8] ^= 1 << (bit % 8)
        self._names[name].data = self._names[name].kept = bytes(data)


def _torn(file: _File, chance: Random, share: float) -> bytes:
    """What of a file is there: all that was synced, and some blocks of the rest, zeros before them."""
    data, size = bytearray(file.kept), len(file.kept)
    if file.lost or not file.data.startswith(file.kept):
        return file.kept
    for at in range(size - size % BLOCK, len(file.data), BLOCK):
        start, end = max(at, size), min(at + BLOCK, len(file.data))
        if start < end and chance.random() < share:
            data += bytes(max(0, start - len(data)))
            data[start:end] = file.data[start:end]
    return bytes(data)
