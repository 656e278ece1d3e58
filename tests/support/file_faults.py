"""Failing file calls, injected at the call itself, and what a loss of power leaves of one folder.

`FileFaults` replaces calls of `os` while it is installed, for files of its folder alone. Calls are counted,
so that a run can fail or be killed at each of them. It also follows what is on the disk: bytes are after a
sync of their file, names are after a sync of the folder. A failed sync drops what was written since the last
one and marks it clean, as Linux does: the next sync of the same file reports success and writes none of it.
"""

import errno
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from unittest import mock

CALLS = ("open", "write", "fsync", "fdatasync", "rename", "replace", "ftruncate", "unlink")
ALWAYS = 10**9


class Killed(BaseException):
    """The process was killed at this call: `FileFaults.kill` is to be called next."""


@dataclass
class Faults:
    """What goes wrong, by the number of the call; -1: never."""

    fail_at: int = -1
    fail_for: int = 1  # so many calls
    error: int = errno.EIO
    kill_at: int = -1
    half: bool = False  # half of a write that fails or is killed is done
    most_bytes: int = ALWAYS  # that one write takes


@dataclass
class _Inode:
    """Its bytes on the disk, and the ranges that were written and not synced."""

    kept: bytes = b""
    dirty: list[tuple[int, int]] = field(default_factory=list)


class FileFaults:
    """Owns what is planned for one folder, and what of it is on the disk."""

    def __init__(self, folder: Path) -> None:
        """The folder as it is now is on the disk."""
        self.folder = folder
        self.plan = Faults()
        self.made: list[str] = []  # the calls so far
        self._real: dict[str, Callable] = {name: getattr(os, name) for name in CALLS}
        self._handles: set[int] = set()  # of the folder and its files
        self._inodes: dict[int, _Inode] = {}
        self._names: dict[str, int] = {}  # that are on the disk, and their inodes
        self._links = folder.with_name(folder.name + ".inodes")  # all files, also those that were removed
        self._all_on_disk()

    @property
    def count(self) -> int:
        """Calls so far."""
        return len(self.made)

    def fail(self, calls: int = ALWAYS, error: int = errno.EIO) -> None:
        """From now on so many calls fail."""
        self.plan = Faults(fail_at=self.count, fail_for=calls, error=error)

    def works(self) -> None:
        """From now on no call fails."""
        self.plan = Faults()

    # --- what happens to the process and to the machine ---------------------------------------------

    def kill(self) -> None:
        """The process is gone, and so are its descriptors and locks; what it wrote is read as it is."""
        self.works()
        for handle in self._handles:
            with suppress(OSError):
                os.close(handle)
        self._handles.clear()

    def cut(self, late_names: bool) -> None:
        """The power goes as well. `late_names`: names that were not synced are on the disk after all."""
        self.kill()
        for name in self._seen():
            self._made(self.folder / name)  # one that was not opened by these calls: nothing of it was synced
        names = self._seen() if late_names else self._names
        for path in list(self.folder.iterdir()):
            self._real["unlink"](path)
        for name, inode in names.items():
            link = self._links / str(inode)
            link.write_bytes(self._inodes[inode].kept)
            os.link(link, self.folder / name)
        self._all_on_disk()

    def _seen(self) -> dict[str, int]:
        """Names as a process finds them now, and their inodes."""
        if not self.folder.is_dir():
            return {}
        return {path.name: path.stat().st_ino for path in self.folder.iterdir() if path.is_file()}

    def _all_on_disk(self) -> None:
        self._names = self._seen()
        for name, inode in self._names.items():
            self._made(self.folder / name)
            self._inodes[inode] = _Inode((self.folder / name).read_bytes())

    def _made(self, path: Path) -> None:
        """A link to a file keeps its inode from being another's later."""
        self._links.mkdir(parents=True, exist_ok=True)
        inode = os.stat(path).st_ino
        if inode not in self._inodes:
            os.link(path, self._links / str(inode))
            self._inodes[inode] = _Inode()

    # --- the calls ----------------------------------------------------------------------------------

    @contextmanager
    def installed(self) -> Iterator["FileFaults"]:
        """All calls inside for the folder and its files can be hit."""
        calls = {
            "open": self._open,
            "write": self._write,
            "fsync": self._fsync,
            "fdatasync": self._fsync,
            "rename": self._rename,
            "replace": self._rename,
            "ftruncate": self._ftruncate,
            "unlink": self._unlink,
        }
        with mock.patch.multiple(os, **calls):
            yield self
        self.kill()

    def _hit(self, call: str) -> type[BaseException] | None:
        """Counts a call, and says how it ends before it is done, if so."""
        at, plan = self.count, self.plan
        self.made.append(call)
        if at == plan.kill_at:
            return Killed
        fails = plan.fail_at >= 0 and plan.fail_at <= at < plan.fail_at + plan.fail_for
        return OSError if fails else None

    def _end(self, how: type[BaseException]) -> None:
        if how is Killed:
            raise Killed
        raise OSError(self.plan.error, os.strerror(self.plan.error))

    def _step(self, call: str) -> None:
        if how := self._hit(call):
            self._end(how)

    def _here(self, path: object) -> bool:
        if isinstance(path, int):
            return False
        return Path(path) == self.folder or Path(path).parent == self.folder

    def _inode(self, handle: int) -> _Inode:
        return self._inodes[os.fstat(handle).st_ino]

    def _open(self, path, flags, *more, **others):
        if not self._here(path):
            return self._real["open"](path, flags, *more, **others)
        self._step("open")
        handle = self._real["open"](path, flags, *more, **others)
        self._handles.add(handle)
        if flags & os.O_CREAT:
            self._made(path)
        if flags & os.O_TRUNC:
            self._inode(handle).dirty = []
        return handle

    def _write(self, handle, data):
        if handle not in self._handles:
            return self._real["write"](handle, data)
        how = self._hit("write")
        most = len(data) // 2 if how and self.plan.half else self.plan.most_bytes
        done = self._real["write"](handle, data[:most]) if not how or self.plan.half else 0
        end = os.lseek(handle, 0, os.SEEK_CUR)
        self._inode(handle).dirty.append((end - done, end))
        if how:
            self._end(how)
        return done

    def _fsync(self, handle):
        if handle not in self._handles:
            return self._real["fsync"](handle)
        how = self._hit("fsync")
        folder = os.path.isdir(f"/proc/self/fd/{handle}")
        if not folder and how is OSError:
            self._inode(handle).dirty = []
        if how:
            self._end(how)
        if folder:
            self._names = self._seen()
        else:
            self._synced(handle)
        return None

    def _synced(self, handle: int) -> None:
        inode = self._inode(handle)
        with open(f"/proc/self/fd/{handle}", "rb") as file:
            data = file.read()
        kept = bytearray(inode.kept[: len(data)].ljust(len(data), b"\0"))
        for start, end in inode.dirty:
            kept[start:end] = data[start:end]
        inode.kept, inode.dirty = bytes(kept), []

    def _rename(self, old, new, **others):
        if self._here(old):
            self._step("rename")
        return self._real["rename"](old, new, **others)

    def _ftruncate(self, handle, size):
        if handle in self._handles:
            self._step("ftruncate")
            inode = self._inode(handle)
            inode.dirty = [(start, min(end, size)) for start, end in inode.dirty if start < size]
        return self._real["ftruncate"](handle, size)

    def _unlink(self, path, **others):
        if self._here(path):
            self._step("unlink")
        return self._real["unlink"](path, **others)
