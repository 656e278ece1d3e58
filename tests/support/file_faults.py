"""Injects failing file calls, and simulates what a power loss leaves of one folder.

While it is installed, `FileFaults` replaces calls of `os` for the files of its folder. It counts the calls,
so that a run can fail or be killed at any of them. It also tracks what is durable: bytes after a sync of
their file, names after a sync of the folder. As on Linux, a failed sync drops the data written since the last
one and marks it as synced: the next sync of the same file reports success without writing that data.
"""

import errno
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from unittest import mock

INTERCEPTED_CALLS = ("open", "write", "fsync", "fdatasync", "rename", "replace", "ftruncate", "unlink")
ALWAYS = 10**9  # more calls, or more bytes, than any test makes


class Killed(BaseException):
    """Simulates that the process was killed at this call; the test calls `FileFaults.kill` next."""


@dataclass
class Faults:
    """The planned faults; calls are counted from 0, and -1 means never."""

    fail_at: int = -1  # the first call that fails
    fail_for: int = 1  # the number of calls that fail
    error: int = errno.EIO
    kill_at: int = -1  # the call at which the process is killed
    half: bool = False  # a write that fails or is killed still writes half of its data
    most_bytes: int = ALWAYS  # the limit of one write; a longer one is a short write


@dataclass
class _Inode:
    """The durable bytes of a file, and the ranges that were written but not synced."""

    durable_bytes: bytes = b""
    unsynced_ranges: list[tuple[int, int]] = field(default_factory=list)


class FileFaults:
    """Owns the planned faults of one folder, and tracks which of its content is durable."""

    def __init__(self, folder: Path) -> None:
        """Treats the present content of the folder as durable."""
        self.folder = folder
        self.plan = Faults()
        self.calls_made: list[str] = []  # the names of all calls so far
        self._real_calls: dict[str, Callable] = {name: getattr(os, name) for name in INTERCEPTED_CALLS}
        self._open_descriptors: set[int] = set()  # for the folder and its files
        self._inodes: dict[int, _Inode] = {}
        self._durable_names: dict[str, int] = {}  # inodes by name
        self._links_folder = folder.with_name(
            folder.name + ".inodes"
        )  # links to all files, also removed ones
        self._mark_all_durable()

    @property
    def count(self) -> int:
        """The number of calls so far."""
        return len(self.calls_made)

    def fail(self, calls: int = ALWAYS, error: int = errno.EIO) -> None:
        """Let this many calls fail from now on."""
        self.plan = Faults(fail_at=self.count, fail_for=calls, error=error)

    def works(self) -> None:
        """Let no call fail from now on."""
        self.plan = Faults()

    # --- crashes of the process and of the machine --------------------------------------------------

    def kill(self) -> None:
        """Simulate a kill of the process: close its descriptors, and keep all that it wrote."""
        self.works()
        for descriptor in self._open_descriptors:
            with suppress(OSError):
                os.close(descriptor)
        self._open_descriptors.clear()

    def cut(self, late_names: bool) -> None:
        """Simulate a power loss: keep only durable data; `late_names` keeps unsynced names as well."""
        self.kill()
        for name in self._visible_names():
            self._track_inode(self.folder / name)  # a file that these calls did not open has no durable bytes
        names = self._visible_names() if late_names else self._durable_names
        for path in list(self.folder.iterdir()):
            self._real_calls["unlink"](path)
        for name, inode in names.items():
            link = self._links_folder / str(inode)
            link.write_bytes(self._inodes[inode].durable_bytes)
            os.link(link, self.folder / name)
        self._mark_all_durable()

    def _visible_names(self) -> dict[str, int]:
        """The inodes of the files that a process finds in the folder now, by name."""
        if not self.folder.is_dir():
            return {}
        return {path.name: path.stat().st_ino for path in self.folder.iterdir() if path.is_file()}

    def _mark_all_durable(self) -> None:
        self._durable_names = self._visible_names()
        for name, inode in self._durable_names.items():
            self._track_inode(self.folder / name)
            self._inodes[inode] = _Inode((self.folder / name).read_bytes())

    def _track_inode(self, path: Path) -> None:
        """Track a file; a hard link to it prevents the system from reusing its inode number."""
        self._links_folder.mkdir(parents=True, exist_ok=True)
        inode = os.stat(path).st_ino
        if inode not in self._inodes:
            os.link(path, self._links_folder / str(inode))
            self._inodes[inode] = _Inode()

    # --- replaced calls -----------------------------------------------------------------------------

    @contextmanager
    def installed(self) -> Iterator["FileFaults"]:
        """Intercept calls for the folder and its files inside the context; end with a kill."""
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

    def _count_call(self, call: str) -> type[BaseException] | None:
        """Count a call; the type of the exception that it must raise, or None if it succeeds."""
        at, plan = self.count, self.plan
        self.calls_made.append(call)
        if at == plan.kill_at:
            return Killed
        fails = plan.fail_at >= 0 and plan.fail_at <= at < plan.fail_at + plan.fail_for
        return OSError if fails else None

    def _raise_fault(self, failure: type[BaseException]) -> None:
        if failure is Killed:
            raise Killed
        raise OSError(self.plan.error, os.strerror(self.plan.error))

    def _fail_if_planned(self, call: str) -> None:
        if failure := self._count_call(call):
            self._raise_fault(failure)

    def _is_in_folder(self, path: object) -> bool:
        if isinstance(path, int):
            return False
        return Path(path) == self.folder or Path(path).parent == self.folder

    def _inode(self, descriptor: int) -> _Inode:
        return self._inodes[os.fstat(descriptor).st_ino]

    def _open(self, path, flags, *more, **others):
        if not self._is_in_folder(path):
            return self._real_calls["open"](path, flags, *more, **others)
        self._fail_if_planned("open")
        descriptor = self._real_calls["open"](path, flags, *more, **others)
        self._open_descriptors.add(descriptor)
        if flags & os.O_CREAT:
            self._track_inode(path)
        if flags & os.O_TRUNC:
            self._inode(descriptor).unsynced_ranges = []
        return descriptor

    def _write(self, descriptor, data):
        if descriptor not in self._open_descriptors:
            return self._real_calls["write"](descriptor, data)
        failure = self._count_call("write")
        max_bytes = len(data) // 2 if failure and self.plan.half else self.plan.most_bytes
        written = (
            self._real_calls["write"](descriptor, data[:max_bytes]) if not failure or self.plan.half else 0
        )
        end = os.lseek(descriptor, 0, os.SEEK_CUR)
        self._inode(descriptor).unsynced_ranges.append((end - written, end))
        if failure:
            self._raise_fault(failure)
        return written

    def _fsync(self, descriptor):
        if descriptor not in self._open_descriptors:
            return self._real_calls["fsync"](descriptor)
        failure = self._count_call("fsync")
        folder = os.path.isdir(f"/proc/self/fd/{descriptor}")
        if not folder and failure is OSError:
            self._inode(descriptor).unsynced_ranges = []
        if failure:
            self._raise_fault(failure)
        if folder:
            self._durable_names = self._visible_names()
        else:
            self._mark_synced(descriptor)
        return None

    def _mark_synced(self, descriptor: int) -> None:
        inode = self._inode(descriptor)
        with open(f"/proc/self/fd/{descriptor}", "rb") as file:
            data = file.read()
        durable_bytes = bytearray(inode.durable_bytes[: len(data)].ljust(len(data), b"\0"))
        for start, end in inode.unsynced_ranges:
            durable_bytes[start:end] = data[start:end]
        inode.durable_bytes, inode.unsynced_ranges = bytes(durable_bytes), []

    def _rename(self, old, new, **others):
        if self._is_in_folder(old):
            self._fail_if_planned("rename")
        return self._real_calls["rename"](old, new, **others)

    def _ftruncate(self, descriptor, size):
        if descriptor in self._open_descriptors:
            self._fail_if_planned("ftruncate")
            inode = self._inode(descriptor)
            inode.unsynced_ranges = [
                (start, min(end, size)) for start, end in inode.unsynced_ranges if start < size
            ]
        return self._real_calls["ftruncate"](descriptor, size)

    def _unlink(self, path, **others):
        if self._is_in_folder(path):
            self._fail_if_planned("unlink")
        return self._real_calls["unlink"](path, **others)
